/* Connections of callers: which of them gives its place to a new one, and which
 * takes too long. */
#include <sys/socket.h>

#include "drain/fg_drain.h"
#include "log/fg_log.h"
#include "run/fg_run_internal.h"

#define DELIVERY_POLL_US 20000

/* A connection, from its notification of MHD until the next one. */
struct web_conn {
	int fd;
	bool ended; /* shut down here; MHD has not closed it yet */
	struct fg_places_view place;
};

static struct web_conn *get_conn(struct MHD_Connection *c)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(c, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return info == NULL ? NULL : info->socket_context;
}

/* MHD notices the end, and reports the request in progress as ended. The caller
 * holds the lock, so that MHD has not closed the descriptor. */
static void end_conn(struct fg_run *run, struct web_conn *conn)
{
	fg_counter_add(run->places_taken, 1);
	conn->ended = true;
	(void)shutdown(conn->fd, SHUT_RDWR);
}

/* Ends connections until there is a place for the next one. The caller holds
 * the lock. */
static void keep_place_free(struct fg_web_port *port,
			    const struct web_conn *newest)
{
	for (;;) {
		struct web_conn *chosen = NULL;
		uint32_t n_open = 0;

		for (guint i = 0; i < port->conns->len; i++) {
			struct web_conn *conn = port->conns->pdata[i];

			if (conn->ended)
				continue;
			n_open++;
			if (!conn->place.busy && conn != newest &&
			    (chosen == NULL ||
			     fg_places_yields_before(&conn->place,
						     &chosen->place)))
				chosen = conn;
		}
		if (n_open < port->connections_max || chosen == NULL)
			return;
		end_conn(port->run, chosen);
	}
}

static void add_conn(struct fg_web_port *port, struct MHD_Connection *c,
		     void **context)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(c, MHD_CONNECTION_INFO_CONNECTION_FD);
	struct web_conn *conn;

	if (info == NULL)
		return;
	conn = g_new0(struct web_conn, 1);
	conn->fd = info->connect_fd;
	conn->place.waits_since = fg_clock_now();
	*context = conn;
	pthread_mutex_lock(&port->run->conns_lock);
	g_ptr_array_add(port->conns, conn);
	keep_place_free(port, conn);
	pthread_mutex_unlock(&port->run->conns_lock);
}

/* The caller may not have read the answer yet. */
static bool was_answered_lately(const struct web_conn *conn)
{
	return conn->place.answered &&
	       fg_clock_now() - conn->place.waits_since < FG_DRAIN_KEEP_MS;
}

void fg_web_on_connection(void *arg, struct MHD_Connection *c, void **context,
			  enum MHD_ConnectionNotificationCode code)
{
	struct fg_web_port *port = arg;
	struct web_conn *conn = *context;

	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		add_conn(port, c, context);
		return;
	}
	pthread_mutex_lock(&port->run->conns_lock);
	if (conn != NULL) {
		g_ptr_array_remove_fast(port->conns, conn);
		if (!conn->ended)
			fg_web_keep_conn(port->run, conn->fd,
					 was_answered_lately(conn));
	}
	pthread_mutex_unlock(&port->run->conns_lock);
	g_free(conn);
	*context = NULL;
}

void fg_web_note_busy(struct fg_run *run, struct MHD_Connection *c)
{
	struct web_conn *conn = get_conn(c);

	if (conn == NULL)
		return;
	pthread_mutex_lock(&run->conns_lock);
	conn->place.busy = true;
	pthread_mutex_unlock(&run->conns_lock);
}

void fg_web_note_answered(struct fg_run *run, struct MHD_Connection *c)
{
	struct web_conn *conn = get_conn(c);

	if (conn == NULL)
		return;
	pthread_mutex_lock(&run->conns_lock);
	conn->place.busy = false;
	conn->place.answered = true;
	conn->place.waits_since = fg_clock_now();
	pthread_mutex_unlock(&run->conns_lock);
}

void fg_web_end_slow_requests(struct fg_web_port *port, uint32_t limit_ms)
{
	fg_ms now = fg_clock_now();

	pthread_mutex_lock(&port->run->conns_lock);
	for (guint i = 0; i < port->conns->len; i++) {
		struct web_conn *conn = port->conns->pdata[i];

		if (!conn->ended && !conn->place.busy &&
		    now - conn->place.waits_since > (fg_ms)limit_ms)
			end_conn(port->run, conn);
	}
	pthread_mutex_unlock(&port->run->conns_lock);
}

static bool is_any_in_transit(struct fg_run *run)
{
	bool found = false;

	pthread_mutex_lock(&run->conns_lock);
	for (size_t i = 0; i < G_N_ELEMENTS(run->ports); i++) {
		const GPtrArray *conns = run->ports[i].conns;

		for (guint j = 0; j < conns->len && !found; j++) {
			const struct web_conn *conn = conns->pdata[j];

			found = fg_web_unacked_bytes(conn->fd) > 0;
		}
	}
	pthread_mutex_unlock(&run->conns_lock);
	return found;
}

void fg_web_wait_for_open(struct fg_run *run, fg_ms until)
{
	while (is_any_in_transit(run) && fg_clock_now() < until)
		g_usleep(DELIVERY_POLL_US);
}

void fg_web_log_gave_way(struct fg_run *run)
{
	uint64_t requests = fg_counter_get(run->gave_way);
	uint64_t places = fg_counter_get(run->places_taken);
	char text[2][24];

	if (requests + places == run->logged_gave_way)
		return;
	run->logged_gave_way = requests + places;
	g_snprintf(text[0], sizeof(text[0]), "%llu",
		   (unsigned long long)requests);
	g_snprintf(text[1], sizeof(text[1]), "%llu",
		   (unsigned long long)places);
	fg_log(FG_LOG_WARN, "web", "gave_way", "requests", text[0], "places",
	       text[1], NULL);
}

void fg_web_conns_init(struct fg_run *run)
{
	pthread_mutex_init(&run->conns_lock, NULL);
	fg_web_kept_init(run);
	for (size_t i = 0; i < G_N_ELEMENTS(run->ports); i++) {
		run->ports[i].run = run;
		run->ports[i].conns = g_ptr_array_new();
		run->ports[i].connections_max =
			run->settings->limits.connections_max;
	}
}

void fg_web_conns_clear(struct fg_run *run)
{
	for (size_t i = 0; i < G_N_ELEMENTS(run->ports); i++)
		g_ptr_array_unref(run->ports[i].conns);
	fg_web_kept_clear(run);
	pthread_mutex_destroy(&run->conns_lock);
}
