#include "link/fg_link.h"

#include <errno.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/fg_address.h"
#include "link/fg_link_priv.h"

/* A dead peer is detected within about 3 s. That is less than the 4 s after
 * which the platform counts an instance as reachable again. With
 * TCP_USER_TIMEOUT set, the kernel ends an idle connection at the first probe
 * that is due after that time, whatever the number of probes, and one whose
 * peer acknowledges all probes but keeps its window closed. */
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2
#define USER_TIMEOUT_MS 3000
#define PEER_CHECK_MS 1000
#define BACKLOG 512
#define READ_BYTES 16384
/* Receive buffers of a link that is paused, and of one that was paused before:
 * the kernel no longer chooses its size. */
#define PAUSED_BUFFER_BYTES (128 * 1024)
#define RESUMED_BUFFER_BYTES (256 * 1024)

struct write_req {
	uv_write_t req;
	size_t len_bytes;
	GBytes *body; /* reference; NULL: none */
	char data[];
};

/* Shared by all links, since libuv reads one link at a time. */
static char read_buffer[READ_BYTES];

/* Returns false where the kernel does not tell what fg_link_is_peer_gone()
 * needs. */
static bool read_signs(const struct fg_link *l, struct fg_link_signs *signs)
{
	struct tcp_info info = { 0 };
	socklen_t size = sizeof(info);
	uv_os_fd_t fd;

	if (uv_fileno((const uv_handle_t *)&l->tcp, &fd) != 0 ||
	    getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
	    info.tcpi_state == 0)
		return false;
	signs->since_ack_ms = info.tcpi_last_ack_recv;
	signs->probes = info.tcpi_probes;
	signs->unacked = info.tcpi_unacked;
	signs->retransmits = info.tcpi_retransmits;
	return true;
}

bool fg_link_is_peer_gone(const struct fg_link_signs *signs)
{
	return signs->since_ack_ms >= USER_TIMEOUT_MS &&
	       (signs->probes >= KEEPALIVE_PROBES ||
		(signs->unacked > 0 && signs->retransmits > 0));
}

bool fg_link_has_lost_peer(const struct fg_link *l)
{
	struct fg_link_signs signs;

	return l->watched && read_signs(l, &signs) &&
	       fg_link_is_peer_gone(&signs);
}

/* A connection to a slow reader must not end by TCP_USER_TIMEOUT. */
static void watch_peer(struct fg_link *l)
{
	struct fg_link_signs signs;
	unsigned int none = 0;
	uv_os_fd_t fd;

	if (!read_signs(l, &signs) ||
	    uv_fileno((const uv_handle_t *)&l->tcp, &fd) != 0)
		return;
	l->watched = setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &none,
				sizeof(none)) == 0;
}

static void set_options(struct fg_link *l)
{
	uv_os_fd_t fd;
	int on = 1;
	int idle = KEEPALIVE_IDLE_S;
	int interval = KEEPALIVE_INTERVAL_S;
	int probes = KEEPALIVE_PROBES;
	unsigned int timeout = USER_TIMEOUT_MS;

	/* A peer that is silent for a second gets another probe. */
	G_STATIC_ASSERT((KEEPALIVE_IDLE_S + KEEPALIVE_INTERVAL_S) * 1000 <
			USER_TIMEOUT_MS);
	if (uv_fileno((uv_handle_t *)&l->tcp, &fd) != 0)
		return;
	/* The link also works with the defaults, so errors are ignored. */
	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	(void)setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval,
			 sizeof(interval));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
			 sizeof(timeout));
}

static void notify_end(struct fg_link *l, enum fg_link_end end)
{
	if (!l->closed)
		l->ops->on_end(l->ctx, end);
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	(void)handle;
	(void)suggested;
	buf->base = read_buffer;
	buf->len = sizeof(read_buffer);
}

/*
 * libuv also reports UV_EOF when a reset arrived directly after data, without
 * another read. Reading from the socket shows which of the two it was.
 */
static bool was_reset(const struct fg_link *l)
{
	uv_os_fd_t fd;
	char byte;

	if (uv_fileno((const uv_handle_t *)&l->tcp, &fd) != 0)
		return true;
	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) != 0;
}

size_t fg_link_peek(const struct fg_link *l, char *out, size_t size)
{
	uv_os_fd_t fd;
	ssize_t n;

	if (uv_fileno((const uv_handle_t *)&l->tcp, &fd) != 0)
		return 0;
	n = recv(fd, out, size, MSG_PEEK | MSG_DONTWAIT);
	return n > 0 ? (size_t)n : 0;
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct fg_link *l = stream->data;

	if (l->closed) {
		fg_link_drop_read(l, n);
		return;
	}
	if (n > 0) {
		l->ops->on_data(l->ctx, buf->base, (size_t)n);
	} else if (n < 0) {
		uv_read_stop(stream);
		l->error = (int)n;
		if (n == UV_EOF && was_reset(l))
			l->error = UV_ECONNRESET;
		notify_end(l, l->error == UV_EOF ? FG_LINK_EOF : FG_LINK_RESET);
	}
}

static void on_peer_check(uv_timer_t *timer)
{
	struct fg_link *l = timer->data;

	if (l->closed ||
	    fg_link_unsent_bytes(l) + fg_link_unacked_bytes(l) == 0)
		return;
	if (!fg_link_has_lost_peer(l)) {
		l->in_transit_at_ms = uv_now(l->timer.loop);
		uv_timer_start(&l->timer, on_peer_check, PEER_CHECK_MS, 0);
		return;
	}
	/* The kernel would go on to send for minutes. */
	fg_link_set_linger(l, true);
	l->error = UV_ETIMEDOUT;
	notify_end(l, FG_LINK_RESET);
}

static struct fg_link *link_new(uv_loop_t *loop, const struct fg_link_ops *ops,
				void *ctx)
{
	struct fg_link *l = g_new0(struct fg_link, 1);

	l->ops = ops;
	l->ctx = ctx;
	uv_tcp_init(loop, &l->tcp);
	uv_timer_init(loop, &l->timer);
	l->tcp.data = l;
	l->timer.data = l;
	l->open_handles = 2;
	fg_link_count_open();
	return l;
}

static void on_connect(uv_connect_t *req, int status)
{
	struct fg_link *l = req->data;

	if (l->closed)
		return;
	if (status != 0) {
		notify_end(l, FG_LINK_REFUSED);
		return;
	}
	l->connected = true;
	set_options(l);
	uv_read_start((uv_stream_t *)&l->tcp, on_alloc, on_read);
	l->ops->on_open(l->ctx);
}

struct fg_link *fg_link_connect(uv_loop_t *loop, const char *address,
				const struct fg_link_ops *ops, void *ctx)
{
	struct sockaddr_in remote;
	struct fg_link *l;

	if (!fg_address_parse(address, &remote))
		return NULL;
	l = link_new(loop, ops, ctx);
	l->connect.data = l;
	if (uv_tcp_connect(&l->connect, &l->tcp, (struct sockaddr *)&remote,
			   on_connect) != 0) {
		l->closed = true;
		fg_link_close_handles(l);
		return NULL;
	}
	return l;
}

static struct fg_link *begin_accepted(struct fg_link *l, bool accepted)
{
	if (!accepted) {
		l->closed = true;
		fg_link_close_handles(l);
		return NULL;
	}
	l->connected = true;
	set_options(l);
	watch_peer(l);
	uv_read_start((uv_stream_t *)&l->tcp, on_alloc, on_read);
	return l;
}

struct fg_link *fg_link_accept(uv_stream_t *listener,
			       const struct fg_link_ops *ops, void *ctx)
{
	struct fg_link *l = link_new(listener->loop, ops, ctx);

	return begin_accepted(l,
			      uv_accept(listener, (uv_stream_t *)&l->tcp) == 0);
}

struct fg_link *fg_link_accept_queued(uv_tcp_t *listener,
				      const struct fg_link_ops *ops, void *ctx)
{
	struct fg_link *l;
	uv_os_fd_t queue;
	int fd;

	if (uv_fileno((uv_handle_t *)listener, &queue) != 0)
		return NULL;
	do
		fd = accept4(queue, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	while (fd < 0 && (errno == EINTR || errno == ECONNABORTED));
	if (fd < 0)
		return NULL;
	l = link_new(listener->loop, ops, ctx);
	if (uv_tcp_open(&l->tcp, fd) == 0)
		return begin_accepted(l, true);
	(void)close(fd);
	return begin_accepted(l, false);
}

void fg_link_peer_ip(const struct fg_link *l, char *out, size_t size)
{
	struct sockaddr_in remote;
	int len = sizeof(remote);

	out[0] = '\0';
	if (uv_tcp_getpeername(&l->tcp, (struct sockaddr *)&remote, &len) == 0)
		(void)uv_ip4_name(&remote, out, size);
}

void fg_link_reset_on_exit(const struct fg_link *l)
{
	fg_link_set_linger(l, true);
}

const char *fg_link_earlier_label(const struct fg_link *l)
{
	uint64_t undelivered =
		fg_link_unsent_bytes(l) + fg_link_unacked_bytes(l);

	if (l->earlier_label[0] == '\0' ||
	    l->written_bytes - undelivered >= l->earlier_end_bytes)
		return NULL;
	return l->earlier_label;
}

void fg_link_set_label(struct fg_link *l, const char *label)
{
	if (fg_link_earlier_label(l) == NULL) {
		g_strlcpy(l->earlier_label, l->label, sizeof(l->earlier_label));
		l->earlier_end_bytes = l->written_bytes;
	}
	g_strlcpy(l->label, label == NULL ? "" : label, sizeof(l->label));
}

const char *fg_link_end_name(const struct fg_link *l)
{
	switch (l->error) {
	case UV_EOF:
		return "closed";
	case UV_ECONNRESET:
	case UV_EPIPE:
		return "reset";
	case UV_ETIMEDOUT:
		return "timed_out";
	default:
		return "failed";
	}
}

void fg_link_set_ctx(struct fg_link *l, void *ctx)
{
	l->ctx = ctx;
}

static void write_req_free(struct write_req *w)
{
	if (w->body != NULL)
		g_bytes_unref(w->body);
	g_free(w);
}

static void on_written(uv_write_t *req, int status)
{
	struct write_req *w = (struct write_req *)req;
	struct fg_link *l = req->data;

	l->pending_bytes -= w->len_bytes;
	write_req_free(w);
	if (l->closed)
		return;
	if (status != 0 && status != UV_ECANCELED) {
		l->error = status;
		notify_end(l, FG_LINK_RESET);
		return;
	}
	if (l->pending_bytes == 0 && l->ops->on_drained != NULL)
		l->ops->on_drained(l->ctx);
}

/* Sends what the kernel accepts at once. Returns how many bytes that is. */
static size_t write_at_once(struct fg_link *l, const uv_buf_t *bufs,
			    unsigned int n)
{
	int sent;

	if (l->pending_bytes > 0 || !l->connected)
		return 0;
	sent = uv_try_write((uv_stream_t *)&l->tcp, bufs, n);
	/* uv_write() reports the same error. */
	return sent < 0 ? 0 : (size_t)sent;
}

/* Takes over `w`, of which bufs[0] points into its data. */
static void queue_write(struct fg_link *l, struct write_req *w,
			const uv_buf_t *bufs, unsigned int n)
{
	w->req.data = l;
	l->pending_bytes += w->len_bytes;
	if (uv_write(&w->req, (uv_stream_t *)&l->tcp, bufs, n, on_written) == 0)
		return;
	l->pending_bytes -= w->len_bytes;
	write_req_free(w);
}

void fg_link_write_with_body(struct fg_link *l, const char *data,
			     size_t len_bytes, GBytes *body)
{
	size_t body_bytes = 0;
	const char *body_data =
		body == NULL ? NULL : g_bytes_get_data(body, &body_bytes);
	uv_buf_t bufs[] = {
		uv_buf_init((char *)data, (unsigned int)len_bytes),
		uv_buf_init((char *)body_data, (unsigned int)body_bytes),
	};
	struct write_req *w;
	size_t sent;
	size_t head_sent;

	if (l->closed || l->closing || len_bytes + body_bytes == 0)
		return;
	l->in_transit_at_ms = uv_now(l->timer.loop);
	l->written_bytes += len_bytes + body_bytes;
	if (l->watched && !uv_is_active((uv_handle_t *)&l->timer))
		uv_timer_start(&l->timer, on_peer_check, PEER_CHECK_MS, 0);
	sent = write_at_once(l, bufs, body_bytes > 0 ? 2 : 1);
	if (sent == len_bytes + body_bytes)
		return;
	head_sent = MIN(sent, len_bytes);
	len_bytes -= head_sent;
	body_bytes -= sent - head_sent;
	w = g_malloc(sizeof(*w) + len_bytes);
	w->len_bytes = len_bytes + body_bytes;
	w->body = body_bytes > 0 ? g_bytes_ref(body) : NULL;
	memcpy(w->data, data + head_sent, len_bytes);
	bufs[0] = uv_buf_init(w->data, (unsigned int)len_bytes);
	if (body_bytes > 0)
		bufs[1] = uv_buf_init((char *)body_data + sent - head_sent,
				      (unsigned int)body_bytes);
	queue_write(l, w, bufs, body_bytes > 0 ? 2 : 1);
}

void fg_link_write(struct fg_link *l, const char *data, size_t len_bytes)
{
	fg_link_write_with_body(l, data, len_bytes, NULL);
}

size_t fg_link_pending_bytes(const struct fg_link *l)
{
	return l->pending_bytes;
}

size_t fg_link_unsent_bytes(const struct fg_link *l)
{
	return uv_stream_get_write_queue_size((const uv_stream_t *)&l->tcp);
}

size_t fg_link_unacked_bytes(const struct fg_link *l)
{
	uv_os_fd_t fd;
	int n = 0;

	if (uv_fileno((const uv_handle_t *)&l->tcp, &fd) != 0 ||
	    ioctl(fd, SIOCOUTQ, &n) != 0)
		return 0;
	/* The end of the stream counts as a byte. */
	if (l->sent)
		n--;
	return (size_t)MAX(n, 0);
}

/* The kernel counts twice the size, for its own records. */
static void set_receive_buffer(const struct fg_link *l, int size)
{
	uv_os_fd_t fd;

	size /= 2;
	/* On failure, the kernel keeps more of a paused link. */
	if (uv_fileno((const uv_handle_t *)&l->tcp, &fd) == 0)
		(void)setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size,
				 sizeof(size));
}

void fg_link_pause(struct fg_link *l)
{
	uv_read_stop((uv_stream_t *)&l->tcp);
	if (!l->paused)
		set_receive_buffer(l, PAUSED_BUFFER_BYTES);
	l->paused = true;
}

void fg_link_resume(struct fg_link *l)
{
	if (l->closed || !l->connected)
		return;
	if (l->paused)
		set_receive_buffer(l, RESUMED_BUFFER_BYTES);
	l->paused = false;
	uv_read_start((uv_stream_t *)&l->tcp, on_alloc, on_read);
}

size_t fg_link_unread_bytes(const struct fg_link *l)
{
	uv_os_fd_t fd;
	int n = 0;

	if (!l->paused || l->closed ||
	    uv_fileno((const uv_handle_t *)&l->tcp, &fd) != 0 ||
	    ioctl(fd, FIONREAD, &n) != 0)
		return 0;
	return MAX((size_t)MAX(n, 0), PAUSED_BUFFER_BYTES / 2);
}

int fg_link_listen(uv_loop_t *loop, uv_tcp_t *listener, const char *address,
		   uv_connection_cb on_connection)
{
	struct sockaddr_in local;
	int rc;

	if (!fg_address_parse(address, &local))
		return UV_EINVAL;
	uv_tcp_init(loop, listener);
	rc = uv_tcp_bind(listener, (struct sockaddr *)&local, 0);
	if (rc == 0)
		rc = uv_listen((uv_stream_t *)listener, BACKLOG, on_connection);
	return rc;
}
