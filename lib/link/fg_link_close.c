/* The end of a link: flush, drain, reset. */
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "link/fg_link_priv.h"
#include "log/fg_log.h"

#define FLUSH_CHECK_MS 250

static GQueue flushing = G_QUEUE_INIT;
static uint32_t n_open; /* links that hold a descriptor */

void fg_link_count_open(void)
{
	n_open++;
}

static void on_handle_closed(uv_handle_t *handle)
{
	struct fg_link *l = handle->data;

	if (--l->open_handles == 0)
		g_free(l);
}

#define CUT_FIELDS                                                             \
	"id", l->label[0] == '\0' ? NULL : l->label, "before",                 \
		fg_link_earlier_label(l), "reason", reason, "unsent_bytes",    \
		text[0], "unacked_bytes", text[1], NULL

void fg_link_log_cut(const struct fg_link *l, const char *reason)
{
	size_t unsent = fg_link_unsent_bytes(l);
	size_t unacked = fg_link_unacked_bytes(l);
	char text[2][24];

	if (unsent + unacked == 0)
		return;
	g_snprintf(text[0], sizeof(text[0]), "%zu", unsent);
	g_snprintf(text[1], sizeof(text[1]), "%zu", unacked);
	if (l->error != 0 && l->error != UV_ETIMEDOUT)
		fg_log_routine("link", "answer_cut", CUT_FIELDS);
	else
		fg_log(FG_LOG_WARN, "link", "answer_cut", CUT_FIELDS);
}

/* A request may be among these bytes, which gets no answer. */
static void log_dropped(const struct fg_link *l, uint64_t n_bytes)
{
	char bytes[24];

	g_snprintf(bytes, sizeof(bytes), "%llu", (unsigned long long)n_bytes);
	fg_log_routine("link", "dropped_after_close", "bytes", bytes, "after",
		       l->label[0] == '\0' ? NULL : l->label, NULL);
}

/* Returns false if the handles are being closed already. */
static bool begin_closing(struct fg_link *l)
{
	if (l->closing)
		return false;
	l->closing = true;
	n_open--;
	if (l->flushing && l->drain.dropped_bytes > 0)
		log_dropped(l, l->drain.dropped_bytes);
	if (l->flushing)
		g_queue_unlink(&flushing, &l->flushing_node);
	uv_close((uv_handle_t *)&l->timer, on_handle_closed);
	return true;
}

void fg_link_close_handles(struct fg_link *l)
{
	if (begin_closing(l))
		uv_close((uv_handle_t *)&l->tcp, on_handle_closed);
}

void fg_link_set_linger(const struct fg_link *l, bool on)
{
	struct linger linger = { .l_onoff = on };
	uv_os_fd_t fd;

	/* On failure, the end is an orderly one, as without the option. */
	if (uv_fileno((const uv_handle_t *)&l->tcp, &fd) == 0)
		(void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger,
				 sizeof(linger));
}

static void reset_handles(struct fg_link *l)
{
	if (!begin_closing(l))
		return;
	/* libuv refuses to reset after a shutdown. */
	if (l->flushing)
		fg_link_set_linger(l, true);
	if (l->flushing || !l->connected ||
	    uv_tcp_close_reset(&l->tcp, on_handle_closed) != 0)
		uv_close((uv_handle_t *)&l->tcp, on_handle_closed);
}

/* What the peer has not received. */
static size_t undelivered_bytes(const struct fg_link *l)
{
	return fg_link_unsent_bytes(l) + fg_link_unacked_bytes(l);
}

static void end_early(struct fg_link *l, const char *reason)
{
	fg_link_log_cut(l, reason);
	fg_link_close_handles(l);
}

void fg_link_drop_read(struct fg_link *l, ssize_t n)
{
	enum fg_drain_state state;

	if (!l->flushing || l->closing)
		return;
	if (n > 0 && l->idle && undelivered_bytes(l) == 0) {
		log_dropped(l, (uint64_t)n);
		reset_handles(l);
		return;
	}
	if (n >= 0) {
		state = fg_drain_drop(&l->drain, (uint64_t)n);
		if (state == FG_DRAIN_WAITING)
			return;
	}
	uv_read_stop((uv_stream_t *)&l->tcp);
	l->peer_closed = n == UV_EOF;
	if (n < 0 && n != UV_EOF) {
		l->error = (int)n;
		end_early(l, fg_link_end_name(l));
	} else if (n >= 0) {
		end_early(l, fg_drain_state_name(state));
	} else if (l->sent) {
		/* The peer sends nothing more that could reset the connection:
		 * the kernel delivers the rest. */
		fg_link_close_handles(l);
	}
}

static void on_shutdown(uv_shutdown_t *req, int status)
{
	struct fg_link *l = req->data;

	if (status == UV_ECANCELED)
		return;
	if (status != 0) {
		l->error = status;
		end_early(l, fg_link_end_name(l));
		return;
	}
	l->sent = true;
	fg_link_set_linger(l, false);
	if (l->peer_closed)
		fg_link_close_handles(l);
}

/* Ends a flush that is over, or makes no progress. */
static void on_flush_timer(uv_timer_t *timer)
{
	struct fg_link *l = timer->data;
	enum fg_drain_state state = fg_drain_check(
		&l->drain, (fg_ms)uv_now(l->timer.loop), undelivered_bytes(l));

	if (fg_link_has_lost_peer(l)) {
		l->error = UV_ETIMEDOUT;
		fg_link_log_cut(l, fg_link_end_name(l));
		reset_handles(l);
		return;
	}
	if (state == FG_DRAIN_WAITING)
		return;
	if (state == FG_DRAIN_DONE) {
		if (l->sent)
			fg_link_close_handles(l);
		return;
	}
	fg_link_log_cut(l, fg_drain_state_name(state));
	/* The peer must not take a part for the whole. */
	reset_handles(l);
}

/* Returns whether there are bytes that the peer has not acknowledged, or that
 * it has sent and that were not read. */
static bool note_in_transit(struct fg_link *l)
{
	uv_os_fd_t fd;
	int unread = 0;

	if (undelivered_bytes(l) > 0) {
		l->in_transit_at_ms = uv_now(l->timer.loop);
		return true;
	}
	return uv_fileno((const uv_handle_t *)&l->tcp, &fd) == 0 &&
	       ioctl(fd, FIONREAD, &unread) == 0 && unread > 0;
}

bool fg_link_may_be_read(struct fg_link *l)
{
	return note_in_transit(l) ||
	       uv_now(l->timer.loop) - l->in_transit_at_ms < FG_DRAIN_KEEP_MS;
}

/* Reads what has arrived, since closing with unread bytes resets the
 * connection. */
static void drop_unread(struct fg_link *l)
{
	char buf[4096];
	uv_os_fd_t fd;
	ssize_t n;

	if (uv_fileno((const uv_handle_t *)&l->tcp, &fd) != 0)
		return;
	while ((n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT)) > 0 &&
	       fg_drain_drop(&l->drain, (uint64_t)n) == FG_DRAIN_WAITING)
		;
}

void fg_link_close(struct fg_link *l, bool flush)
{
	if (l->closed)
		return;
	if (flush && l->connected) {
		l->flushing = fg_link_may_be_read(l);
		if (l->flushing)
			fg_link_resume(l);
		else
			fg_link_set_linger(l, false);
	}
	l->closed = true;
	l->ctx = NULL;
	l->shutdown.data = l;
	if (!l->flushing || uv_shutdown(&l->shutdown, (uv_stream_t *)&l->tcp,
					on_shutdown) != 0) {
		l->flushing = false;
		fg_link_close_handles(l);
		return;
	}
	l->flushing_node.data = l;
	g_queue_push_tail_link(&flushing, &l->flushing_node);
	fg_drain_begin(&l->drain, (fg_ms)uv_now(l->timer.loop),
		       undelivered_bytes(l));
	uv_timer_start(&l->timer, on_flush_timer, FLUSH_CHECK_MS,
		       FLUSH_CHECK_MS);
}

void fg_link_close_idle(struct fg_link *l)
{
	l->idle = true;
	fg_link_close(l, true);
}

uint32_t fg_link_open_count(void)
{
	return n_open;
}

uint32_t fg_link_flushing_count(void)
{
	return flushing.length;
}

uint64_t fg_link_flushing_bytes(void)
{
	uint64_t bytes = 0;

	for (const GList *it = flushing.head; it != NULL; it = it->next)
		bytes += fg_link_unsent_bytes(it->data);
	return bytes;
}

bool fg_link_abort_largest_flushing(void)
{
	struct fg_link *largest = NULL;

	for (const GList *it = flushing.head; it != NULL; it = it->next) {
		struct fg_link *l = it->data;

		if (largest == NULL ||
		    fg_link_unsent_bytes(l) > fg_link_unsent_bytes(largest))
			largest = l;
	}
	if (largest == NULL || fg_link_unsent_bytes(largest) == 0)
		return false;
	fg_link_log_cut(largest, "memory");
	reset_handles(largest);
	return true;
}

static void abort_flushing(struct fg_link *l, const char *reason)
{
	fg_link_log_cut(l, reason);
	if (fg_link_unsent_bytes(l) > 0) {
		reset_handles(l);
		return;
	}
	drop_unread(l);
	/* The shutdown that turns it off may not have run yet. */
	fg_link_set_linger(l, false);
	fg_link_close_handles(l);
}

bool fg_link_end_delivered(void)
{
	for (const GList *it = flushing.head; it != NULL; it = it->next) {
		if (undelivered_bytes(it->data) > 0)
			continue;
		abort_flushing(it->data, "descriptors");
		return true;
	}
	return false;
}

bool fg_link_abort_oldest_flushing(void)
{
	if (fg_link_end_delivered())
		return true;
	if (flushing.head == NULL)
		return false;
	abort_flushing(flushing.head->data, "descriptors");
	return true;
}

void fg_link_abort_flushing(void)
{
	while (flushing.head != NULL)
		abort_flushing(flushing.head->data, "process_ends");
}

void fg_link_abort(struct fg_link *l)
{
	if (l->closed)
		return;
	l->closed = true;
	l->ctx = NULL;
	reset_handles(l);
}
