/* Connections that MHD has closed while their caller may not have the whole of
 * its last answer. A copy of the descriptor keeps the socket open. */
#include <errno.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "drain/fg_drain.h"
#include "log/fg_log.h"
#include "run/fg_run_internal.h"

/* The part of the places for callers that may be kept beyond them. */
#define KEPT_DIVISOR 4
#define KEPT_MIN 16
#define WAIT_POLL_US 20000

struct kept_conn {
	int fd;
	struct fg_drain drain;
};

uint64_t fg_web_unacked_bytes(int fd)
{
	int n = 0;

	if (ioctl(fd, SIOCOUTQ, &n) != 0)
		return 0;
	return (uint64_t)MAX(n - 1, 0);
}

static void free_kept(gpointer data)
{
	struct kept_conn *kept = data;

	close(kept->fd);
	g_free(kept);
}

/* A peer that has closed its side sends nothing that would reset the
 * connection. */
static bool is_peer_open(int fd)
{
	char byte;
	ssize_t n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	return n > 0 || (n < 0 && (errno == EAGAIN || errno == EINTR));
}

static uint32_t kept_max(const struct fg_run *run)
{
	return MAX(run->settings->limits.connections_max / KEPT_DIVISOR,
		   KEPT_MIN);
}

static void log_cut(const struct kept_conn *kept, const char *reason)
{
	uint64_t unacked = fg_web_unacked_bytes(kept->fd);
	char text[24];

	if (unacked == 0)
		return;
	g_snprintf(text, sizeof(text), "%llu", (unsigned long long)unacked);
	fg_log(FG_LOG_WARN, "web", "answer_cut", "reason", reason,
	       "unacked_bytes", text, NULL);
}

/* A caller that has its whole answer loses nothing. The caller holds the
 * lock. */
static void give_up_one(struct fg_run *run)
{
	GPtrArray *all = run->kept_conns;
	guint chosen = 0;

	for (guint i = 0; i < all->len; i++) {
		const struct kept_conn *kept = all->pdata[i];

		if (fg_web_unacked_bytes(kept->fd) == 0) {
			chosen = i;
			break;
		}
	}
	log_cut(all->pdata[chosen], "descriptors");
	g_ptr_array_remove_index(all, chosen);
}

void fg_web_keep_conn(struct fg_run *run, int fd, bool was_answered)
{
	struct kept_conn *kept;
	uint64_t unacked;
	int copy;

	(void)shutdown(fd, SHUT_WR);
	unacked = fg_web_unacked_bytes(fd);
	if ((unacked == 0 && !was_answered) || !is_peer_open(fd))
		return;
	copy = dup(fd);
	if (copy < 0) {
		fg_log(FG_LOG_WARN, "web", "conn_not_kept", "reason",
		       g_strerror(errno), NULL);
		return;
	}
	kept = g_new0(struct kept_conn, 1);
	kept->fd = copy;
	fg_drain_begin(&kept->drain, fg_clock_now(), unacked);
	if (run->kept_conns->len >= kept_max(run))
		give_up_one(run);
	g_ptr_array_add(run->kept_conns, kept);
}

/* Returns whether the connection is still kept. */
static bool check_kept(struct kept_conn *kept, fg_ms now)
{
	struct linger reset = { .l_onoff = 1 };
	enum fg_drain_state state = FG_DRAIN_WAITING;
	char buf[4096];
	ssize_t n;

	while (state == FG_DRAIN_WAITING &&
	       (n = recv(kept->fd, buf, sizeof(buf), MSG_DONTWAIT)) > 0)
		state = fg_drain_drop(&kept->drain, (uint64_t)n);
	if (state == FG_DRAIN_WAITING) {
		if (n == 0)
			return false;
		if (n < 0 && errno != EAGAIN && errno != EINTR) {
			log_cut(kept, "peer_reset");
			return false;
		}
		state = fg_drain_check(&kept->drain, now,
				       fg_web_unacked_bytes(kept->fd));
	}
	if (state == FG_DRAIN_WAITING)
		return true;
	log_cut(kept, fg_drain_state_name(state));
	/* The peer must not take a part for the whole. */
	if (state == FG_DRAIN_STALLED || state == FG_DRAIN_TOO_SLOW)
		(void)setsockopt(kept->fd, SOL_SOCKET, SO_LINGER, &reset,
				 sizeof(reset));
	return false;
}

uint32_t fg_web_check_kept(struct fg_run *run, fg_ms now)
{
	uint32_t n_kept;

	pthread_mutex_lock(&run->conns_lock);
	for (guint i = run->kept_conns->len; i > 0; i--) {
		if (!check_kept(run->kept_conns->pdata[i - 1], now))
			g_ptr_array_remove_index(run->kept_conns, i - 1);
	}
	n_kept = run->kept_conns->len;
	pthread_mutex_unlock(&run->conns_lock);
	return n_kept;
}

void fg_web_wait_for_kept(struct fg_run *run, fg_ms until)
{
	while (fg_web_check_kept(run, fg_clock_now()) > 0 &&
	       fg_clock_now() < until)
		g_usleep(WAIT_POLL_US);
	for (guint i = 0; i < run->kept_conns->len; i++)
		log_cut(run->kept_conns->pdata[i], "process_ends");
}

void fg_web_kept_init(struct fg_run *run)
{
	run->kept_conns = g_ptr_array_new_with_free_func(free_kept);
}

void fg_web_kept_clear(struct fg_run *run)
{
	g_ptr_array_unref(run->kept_conns);
}
