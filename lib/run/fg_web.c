/* HTTP interface for callers and operators, on libmicrohttpd. */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "run/fg_run_internal.h"

#define CONNECTION_MEMORY_BYTES (32 * 1024) /* mainly for request headers */
#define HTTP_STACK_BYTES (256 * 1024)
/* Longest wait for callers that read their last answer. */
#define FLUSH_MAX_MS 700
#define FLUSH_POLL_US 5000
/* Longest wait for callers that read slowly, at the end of the process. */
#define DELIVERY_MAX_MS 10000
#define PORTS_CHECK_MS 500
/* Retry-After of a request that gave way to others. */
#define ROOM_RETRY_S "1"

/* `retry_after`: seconds, or NULL. */
static enum MHD_Result send_response(struct MHD_Connection *c, uint32_t status,
				     const char *retry_after, char *text)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		strlen(text), text, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result rc;

	MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE,
				text[0] == '{' ? "application/json"
					       : "text/plain");
	if (retry_after != NULL)
		MHD_add_response_header(response, MHD_HTTP_HEADER_RETRY_AFTER,
					retry_after);
	rc = MHD_queue_response(c, status, response);
	MHD_destroy_response(response);
	g_free(text);
	return rc;
}

static enum MHD_Result send_exchange_response(struct fg_exchange *x)
{
	uint32_t status = MHD_HTTP_OK;
	struct MHD_Response *response = fg_exchange_create_response(x, &status);
	enum MHD_Result rc;

	x->answered = true;
	rc = MHD_queue_response(x->connection, status, response);
	MHD_destroy_response(response);
	return rc;
}

/* Submits a complete request. Its connection stays suspended until there is an
 * answer. */
static enum MHD_Result submit_exchange(struct fg_run *run,
				       struct fg_exchange *x, const char *path)
{
	uint32_t status = MHD_HTTP_BAD_REQUEST;
	char *text = NULL;

	x->submitted = true;
	/* The answer may arrive before fg_web_submit() returns, so the
	 * connection is suspended first. */
	fg_exchange_suspend(x);
	if (!fg_web_submit_alone(run, x, path, &status, &text))
		fg_exchange_finish(x, status, 0, text);
	g_free(text);
	return MHD_YES;
}

static enum MHD_Result reject_too_large(struct fg_run *run,
					struct fg_exchange *x)
{
	char *message = g_strdup_printf("the body is over %u bytes",
					run->settings->limits.body_max_bytes);
	char *text = fg_web_error_json(x->tag, FG_R_BAD_REQUEST, message);

	g_free(message);
	x->answered = true;
	return send_response(x->connection, 413, NULL, text);
}

static enum MHD_Result reject_without_room(struct fg_exchange *x)
{
	char *text = fg_web_error_json(x->tag, FG_R_OVERLOAD,
				       "requests hold too much memory");

	x->answered = true;
	return send_response(x->connection, MHD_HTTP_SERVICE_UNAVAILABLE,
			     ROOM_RETRY_S, text);
}

static enum MHD_Result on_post(struct fg_run *run, struct MHD_Connection *c,
			       const char *path, const char *data,
			       size_t *len_bytes, void **state)
{
	struct fg_exchange *x = *state;

	if (x == NULL) {
		x = fg_exchange_new(
			__atomic_add_fetch(&run->last_id, 1, __ATOMIC_RELAXED),
			c);
		__atomic_add_fetch(&run->http_in_flight, 1, __ATOMIC_RELAXED);
		fg_web_open_exchange(run, x);
		*state = x;
		return MHD_YES;
	}
	if (*len_bytes > 0) {
		fg_web_append_body(run, x, data, *len_bytes);
		*len_bytes = 0;
		return MHD_YES;
	}
	if (x->answered)
		return MHD_YES;
	if (x->submitted)
		return send_exchange_response(x);
	fg_web_note_busy(run, c);
	if (x->too_large)
		return reject_too_large(run, x);
	if (!fg_web_complete_body(run, x))
		return reject_without_room(x);
	return submit_exchange(run, x, path);
}

static enum MHD_Result on_request(void *arg, struct MHD_Connection *c,
				  const char *path, const char *method,
				  const char *version, const char *data,
				  size_t *len_bytes, void **state)
{
	struct fg_run *run = arg;
	uint32_t status = MHD_HTTP_OK;
	char *text;

	(void)version;
	if (strcmp(method, MHD_HTTP_METHOD_POST) == 0)
		return on_post(run, c, path, data, len_bytes, state);
	if (strcmp(method, MHD_HTTP_METHOD_GET) != 0) {
		text = fg_web_error_json(NULL, FG_R_BAD_REQUEST,
					 "only GET and POST are served");
		return send_response(c, MHD_HTTP_METHOD_NOT_ALLOWED, NULL,
				     text);
	}
	text = fg_web_get(run, c, path, &status);
	if (text == NULL) {
		text = fg_web_error_json(NULL, FG_R_BAD_REQUEST,
					 "no such path");
		status = MHD_HTTP_NOT_FOUND;
	}
	return send_response(c, status, NULL, text);
}

static void on_completed(void *arg, struct MHD_Connection *c, void **state,
			 enum MHD_RequestTerminationCode code)
{
	struct fg_run *run = arg;
	struct fg_exchange *x = *state;

	fg_web_note_answered(run, c);
	if (x == NULL)
		return;
	fg_web_close_exchange(run, x);
	fg_exchange_close(x);
	if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK && x->submitted) {
		x->cancel = 1;
		fg_run_remove_exchange(run, x->id);
		fg_run_lock(run);
		fg_node_on_caller_gone(run->node, fg_clock_now(), x->id);
		fg_run_unlock(run);
	}
	fg_exchange_unref(x);
	*state = NULL;
	__atomic_sub_fetch(&run->http_in_flight, 1, __ATOMIC_RELEASE);
}

/* Parses "IPv4:port". The settings module has checked the syntax. */
static bool parse_addr(const char *text, struct sockaddr_in *out)
{
	char host[FG_ADDR_BYTES];
	char *colon;

	g_strlcpy(host, text, sizeof(host));
	colon = strrchr(host, ':');
	if (colon == NULL)
		return false;
	*colon = '\0';
	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	out->sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
	return inet_pton(AF_INET, host, &out->sin_addr) == 1;
}

static struct MHD_Daemon *start_daemon(struct fg_run *run, const char *text,
				       struct fg_web_port *port,
				       uint32_t threads)
{
	const struct fg_settings *s = run->settings;
	struct sockaddr_in addr;

	if (!parse_addr(text, &addr))
		return NULL;
	return MHD_start_daemon(
		MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME |
			MHD_USE_ITC,
		0, NULL, NULL, on_request, run, MHD_OPTION_SOCK_ADDR, &addr,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, run,
		MHD_OPTION_NOTIFY_CONNECTION, fg_web_on_connection, port,
		MHD_OPTION_CONNECTION_LIMIT, s->limits.connections_max,
		MHD_OPTION_CONNECTION_TIMEOUT,
		MAX(s->limits.header_timeout_ms / 1000, 1),
		MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(size_t)CONNECTION_MEMORY_BYTES, MHD_OPTION_THREAD_POOL_SIZE,
		threads, MHD_OPTION_THREAD_STACK_SIZE, (size_t)HTTP_STACK_BYTES,
		MHD_OPTION_END);
}

/* The second address is for operators. It stays reachable while callers use all
 * connections of the first. */
bool fg_web_start(struct fg_run *run, GError **error)
{
	const struct fg_settings *s = run->settings;
	const char *failed = NULL;

	run->daemon = start_daemon(run, s->http, &run->ports[FG_WEB_CALLERS],
				   MAX(s->workers, 2));
	if (run->daemon == NULL)
		failed = s->http;
	if (s->control[0] != '\0' && failed == NULL) {
		run->control_daemon = start_daemon(
			run, s->control, &run->ports[FG_WEB_OPERATORS], 2);
		if (run->control_daemon == NULL)
			failed = s->control;
	}
	if (failed != NULL)
		g_set_error(error, FG_RUN_ERROR, FG_RUN_ERR_LISTEN,
			    "cannot listen at %s", failed);
	return failed == NULL;
}

static void finish_as_unknown(gpointer key, gpointer value, gpointer arg)
{
	struct fg_exchange *x = value;
	struct fg_reply reply = {
		.outcome = FG_UNKNOWN,
		.reason = FG_R_STOPPING,
	};
	char *text = fg_web_reply_json(x->tag, x->plain, &reply);

	(void)key;
	(void)arg;
	fg_exchange_finish(x, 504, 0, text);
	x->cancel = 1; /* the process does not wait for its attempt */
	g_free(text);
}

/* MHD_stop_daemon() closes connections whose answer is not sent yet. A caller
 * that does not read is waited for until the limit. */
static void wait_until_sent(const struct fg_run *run)
{
	fg_ms until = fg_clock_now() + FLUSH_MAX_MS;

	while (__atomic_load_n(&run->http_in_flight, __ATOMIC_ACQUIRE) > 0 &&
	       fg_clock_now() < until)
		g_usleep(FLUSH_POLL_US);
}

void fg_web_tick(struct fg_run *run, fg_ms now)
{
	const struct fg_limits_settings *l = &run->settings->limits;
	uint32_t limit_ms = l->header_timeout_ms + l->deadline_default_ms;

	if (now - run->ports_checked_at < PORTS_CHECK_MS)
		return;
	run->ports_checked_at = now;
	/* Requests that are read only now could not be served any more. */
	if (run->quiesced)
		limit_ms = l->header_timeout_ms;
	for (size_t i = 0; i < G_N_ELEMENTS(run->ports); i++)
		fg_web_end_slow_requests(&run->ports[i], limit_ms);
	fg_web_log_gave_way(run);
	(void)fg_web_check_kept(run, now);
}

void fg_web_quiesce(struct fg_run *run)
{
	MHD_socket fd = MHD_quiesce_daemon(run->daemon);

	if (fd != MHD_INVALID_SOCKET)
		close(fd);
}

/* The limit of the stop, with some time for callers that read slowly. */
static fg_ms last_answers_until(const struct fg_run *run)
{
	fg_ms now = fg_clock_now();
	fg_ms until = now + FLUSH_MAX_MS;

	if (run->stop_begun_at == 0)
		return until;
	until = MAX(until,
		    run->stop_begun_at + run->settings->timing.stop_max_ms);
	return MIN(until, now + DELIVERY_MAX_MS);
}

/* Exchanges are still open if a planned stop reached its time limit. */
void fg_web_stop(struct fg_run *run)
{
	bool waits = !run->settings->switches.no_drain;
	fg_ms until = last_answers_until(run);

	if (run->daemon == NULL)
		return;
	pthread_mutex_lock(&run->exchanges_lock);
	g_hash_table_foreach(run->exchanges, finish_as_unknown, NULL);
	pthread_mutex_unlock(&run->exchanges_lock);
	wait_until_sent(run);
	/* MHD_stop_daemon() ends both sides of open connections: a caller that
	 * sends more then is reset. */
	if (waits)
		fg_web_wait_for_open(run, until);
	MHD_stop_daemon(run->daemon);
	run->daemon = NULL;
	if (run->control_daemon != NULL)
		MHD_stop_daemon(run->control_daemon);
	run->control_daemon = NULL;
	if (waits)
		fg_web_wait_for_kept(run, until);
}
