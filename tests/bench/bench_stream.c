/*
 * Compares the cost of reading event streams with the gateway's own connections
 * (fg_link and fg_h1) and with libcurl's multi interface, both on a libuv loop:
 * processor time and memory of the reading thread, and the delay from sending
 * an event to reading it. The streams have the shape of the users' summaries:
 * 57 events of 45 bytes, 20 ms apart.
 */
#include <arpa/inet.h>
#include <curl/curl.h>
#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "h1/fg_h1.h"
#include "link/fg_link.h"

#define STREAMS 64	  /* open at once */
#define STREAMS_TOTAL 640 /* in one run */
#define EVENTS 57
#define EVENT_GAP_MS 20
#define BODY_MAX_BYTES (1024 * 1024)

static const char request[] = "GET / HTTP/1.1\r\nHost: bench\r\n\r\n";

static int64_t now_ns(clockid_t clock)
{
	struct timespec t;

	clock_gettime(clock, &t);
	return (int64_t)t.tv_sec * 1000000000 + t.tv_nsec;
}

/* ---- The endpoint: a thread that sends event streams ---- */

struct conn {
	uv_tcp_t tcp;
	uv_timer_t timer;
	int events_sent; /* of the current stream */
	char read_buf[1024];
};

static struct endpoint {
	uv_loop_t loop;
	uv_tcp_t listener;
	uv_async_t stop;
	uv_thread_t thread;
	uv_sem_t ready;
	char address[32];
} endpoint;

static void write_all(struct conn *c, const char *text, int len)
{
	uv_buf_t buf = uv_buf_init((char *)text, (unsigned int)len);

	g_assert_cmpint(uv_try_write((uv_stream_t *)&c->tcp, &buf, 1), ==, len);
}

static void send_event(uv_timer_t *timer)
{
	struct conn *c = timer->data;
	char event[64];
	char chunk[96];
	int n = g_snprintf(
		event, sizeof(event), "id: %02d\ndata: %020lld piece\n\n",
		c->events_sent + 1, (long long)now_ns(CLOCK_MONOTONIC));

	n = g_snprintf(chunk, sizeof(chunk), "%x\r\n%s\r\n", (unsigned int)n,
		       event);
	write_all(c, chunk, n);
	if (++c->events_sent < EVENTS)
		return;
	write_all(c, "0\r\n\r\n", 5);
	uv_timer_stop(timer);
}

static void on_conn_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

static void on_timer_closed(uv_handle_t *handle)
{
	struct conn *c = handle->data;

	uv_close((uv_handle_t *)&c->tcp, on_conn_closed);
}

/* Starts a stream for each request. Closes both handles when the connection
 * ends. */
static void on_request(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	static const char head[] = "HTTP/1.1 200 OK\r\n"
				   "Content-Type: text/event-stream\r\n"
				   "Transfer-Encoding: chunked\r\n\r\n";
	struct conn *c = stream->data;

	(void)buf;
	if (n < 0) {
		uv_close((uv_handle_t *)&c->timer, on_timer_closed);
		return;
	}
	c->events_sent = 0;
	write_all(c, head, sizeof(head) - 1);
	uv_timer_start(&c->timer, send_event, EVENT_GAP_MS, EVENT_GAP_MS);
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	struct conn *c = handle->data;

	(void)suggested;
	*buf = uv_buf_init(c->read_buf, sizeof(c->read_buf));
}

static void on_connection(uv_stream_t *listener, int status)
{
	struct conn *c = g_new0(struct conn, 1);

	g_assert_cmpint(status, ==, 0);
	uv_timer_init(&endpoint.loop, &c->timer);
	uv_tcp_init(&endpoint.loop, &c->tcp);
	c->timer.data = c;
	c->tcp.data = c;
	g_assert_cmpint(uv_accept(listener, (uv_stream_t *)&c->tcp), ==, 0);
	uv_tcp_nodelay(&c->tcp, 1);
	uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_request);
}

static void on_stop(uv_async_t *async)
{
	uv_stop(async->loop);
}

static void run_endpoint(void *arg)
{
	struct sockaddr_in addr;
	int len = sizeof(addr);

	(void)arg;
	uv_loop_init(&endpoint.loop);
	uv_async_init(&endpoint.loop, &endpoint.stop, on_stop);
	uv_tcp_init(&endpoint.loop, &endpoint.listener);
	uv_ip4_addr("127.0.0.1", 0, &addr); /* any free port */
	uv_tcp_bind(&endpoint.listener, (struct sockaddr *)&addr, 0);
	g_assert_cmpint(uv_listen((uv_stream_t *)&endpoint.listener, STREAMS,
				  on_connection),
			==, 0);
	uv_tcp_getsockname(&endpoint.listener, (struct sockaddr *)&addr, &len);
	g_snprintf(endpoint.address, sizeof(endpoint.address), "127.0.0.1:%u",
		   ntohs(addr.sin_port));
	uv_sem_post(&endpoint.ready);
	uv_run(&endpoint.loop, UV_RUN_DEFAULT);
}

/* ---- Measurements of the reader ---- */

static struct {
	int64_t delay_ns[STREAMS_TOTAL * EVENTS]; /* per event read */
	int events;
	int streams_started;
	int streams_ended;
	size_t heap_bytes; /* growth by mid-run, when all streams are open */
} stats;

static size_t heap_start_bytes;

static void record_events(const char *data, size_t len)
{
	const char *at = data;

	while ((at = memmem(at, len - (size_t)(at - data), "data: ", 6)) !=
	       NULL) {
		at += 6;
		stats.delay_ns[stats.events++] =
			now_ns(CLOCK_MONOTONIC) - g_ascii_strtoll(at, NULL, 10);
	}
	if (stats.events == STREAMS_TOTAL * EVENTS / 2)
		stats.heap_bytes = mallinfo2().uordblks - heap_start_bytes;
}

/* ---- fg_link and fg_h1 ---- */

struct reader {
	uv_loop_t *loop;
	struct fg_link *link;
	struct fg_h1 h1;
};

static bool on_head(void *ctx, const struct fg_h1_head *head)
{
	(void)ctx;
	return head->status == 200;
}

static void on_body(void *ctx, const char *data, size_t len)
{
	(void)ctx;
	record_events(data, len);
}

static void on_message_end(void *ctx)
{
	(void)ctx;
}

static const struct fg_h1_ops h1_ops = {
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_message_end,
};

static void start_next_stream(struct reader *r)
{
	if (stats.streams_started == STREAMS_TOTAL) {
		fg_link_close(r->link, false);
		return;
	}
	stats.streams_started++;
	fg_link_write(r->link, request, sizeof(request) - 1);
}

static void on_open(void *ctx)
{
	start_next_stream(ctx);
}

static void on_data(void *ctx, const char *data, size_t len)
{
	struct reader *r = ctx;

	fg_h1_feed(&r->h1, data, len);
	g_assert_cmpint(r->h1.fault, ==, FG_H1_OK);
	if (!r->h1.ended)
		return;
	stats.streams_ended++;
	fg_h1_reset(&r->h1);
	start_next_stream(r);
}

static void on_end(void *ctx, enum fg_link_end end)
{
	(void)ctx;
	g_error("connection ended: %d", (int)end);
}

static const struct fg_link_ops reader_ops = {
	.on_open = on_open,
	.on_data = on_data,
	.on_end = on_end,
};

static void read_with_link(uv_loop_t *loop)
{
	struct reader *readers = g_new0(struct reader, STREAMS);

	for (int i = 0; i < STREAMS; i++) {
		struct reader *r = &readers[i];

		fg_h1_init(&r->h1, false, &h1_ops, r, BODY_MAX_BYTES,
			   BODY_MAX_BYTES);
		r->link =
			fg_link_connect(loop, endpoint.address, &reader_ops, r);
		g_assert_nonnull(r->link);
	}
	uv_run(loop, UV_RUN_DEFAULT);
	for (int i = 0; i < STREAMS; i++)
		fg_h1_clear(&readers[i].h1);
	g_free(readers);
}

/* ---- libcurl's multi interface ---- */

static struct {
	uv_loop_t *loop;
	CURLM *multi;
	uv_timer_t timer;
	char *url;
} curl;

static size_t on_curl_body(char *data, size_t size, size_t n, void *arg)
{
	(void)arg;
	record_events(data, size * n);
	return size * n;
}

static void start_transfer(CURL *easy)
{
	stats.streams_started++;
	curl_multi_add_handle(curl.multi, easy);
}

static void finish_transfers(void)
{
	CURLMsg *msg;
	int n_left;

	while ((msg = curl_multi_info_read(curl.multi, &n_left)) != NULL) {
		CURL *easy = msg->easy_handle;

		g_assert_cmpint(msg->data.result, ==, CURLE_OK);
		stats.streams_ended++;
		curl_multi_remove_handle(curl.multi, easy);
		if (stats.streams_started < STREAMS_TOTAL)
			start_transfer(easy);
		else
			curl_easy_cleanup(easy);
	}
	if (stats.streams_ended == STREAMS_TOTAL)
		uv_stop(curl.loop);
}

static void on_poll(uv_poll_t *poll, int status, int events)
{
	int running;
	int flags = 0;
	curl_socket_t fd = GPOINTER_TO_INT(poll->data);

	(void)status;
	flags |= events & UV_READABLE ? CURL_CSELECT_IN : 0;
	flags |= events & UV_WRITABLE ? CURL_CSELECT_OUT : 0;
	curl_multi_socket_action(curl.multi, fd, flags, &running);
	finish_transfers();
}

static void on_curl_timer(uv_timer_t *timer)
{
	int running;

	(void)timer;
	curl_multi_socket_action(curl.multi, CURL_SOCKET_TIMEOUT, 0, &running);
	finish_transfers();
}

static void on_poll_closed(uv_handle_t *handle)
{
	g_free(handle);
}

static int watch_socket(CURL *easy, curl_socket_t fd, int mode, void *arg,
			void *socket_arg)
{
	uv_poll_t *poll = socket_arg;
	int events = 0;

	(void)easy;
	(void)arg;
	if (mode == CURL_POLL_REMOVE) {
		uv_poll_stop(poll);
		uv_close((uv_handle_t *)poll, on_poll_closed);
		curl_multi_assign(curl.multi, fd, NULL);
		return 0;
	}
	if (poll == NULL) {
		poll = g_new0(uv_poll_t, 1);
		uv_poll_init_socket(curl.loop, poll, fd);
		poll->data = GINT_TO_POINTER(fd);
		curl_multi_assign(curl.multi, fd, poll);
	}
	events |= mode != CURL_POLL_IN ? UV_WRITABLE : 0;
	events |= mode != CURL_POLL_OUT ? UV_READABLE : 0;
	uv_poll_start(poll, events, on_poll);
	return 0;
}

static int set_timer(CURLM *multi, long timeout_ms, void *arg)
{
	(void)multi;
	(void)arg;
	if (timeout_ms < 0)
		uv_timer_stop(&curl.timer);
	else
		uv_timer_start(&curl.timer, on_curl_timer, (uint64_t)timeout_ms,
			       0);
	return 0;
}

static void read_with_curl(uv_loop_t *loop)
{
	curl.loop = loop;
	curl.url = g_strdup_printf("http://%s/", endpoint.address);
	curl.multi = curl_multi_init();
	uv_timer_init(loop, &curl.timer);
	curl_multi_setopt(curl.multi, CURLMOPT_SOCKETFUNCTION, watch_socket);
	curl_multi_setopt(curl.multi, CURLMOPT_TIMERFUNCTION, set_timer);
	curl_multi_setopt(curl.multi, CURLMOPT_MAXCONNECTS, (long)STREAMS);
	for (int i = 0; i < STREAMS; i++) {
		CURL *easy = curl_easy_init();

		curl_easy_setopt(easy, CURLOPT_URL, curl.url);
		curl_easy_setopt(easy, CURLOPT_PROXY, "");
		curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_curl_body);
		start_transfer(easy);
	}
	uv_run(loop, UV_RUN_DEFAULT);
	curl_multi_cleanup(curl.multi);
	g_free(curl.url);
	uv_close((uv_handle_t *)&curl.timer, NULL);
}

/* ---- Runs ---- */

static int compare_ns(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

static void measure(const char *name, void (*read_streams)(uv_loop_t *loop))
{
	uv_loop_t loop;
	int64_t cpu_ns;

	memset(&stats, 0, sizeof(stats));
	uv_loop_init(&loop);
	heap_start_bytes = mallinfo2().uordblks;
	cpu_ns = now_ns(CLOCK_THREAD_CPUTIME_ID);
	read_streams(&loop);
	cpu_ns = now_ns(CLOCK_THREAD_CPUTIME_ID) - cpu_ns;
	uv_run(&loop, UV_RUN_NOWAIT);
	uv_loop_close(&loop);
	g_assert_cmpint(stats.streams_ended, ==, STREAMS_TOTAL);
	g_assert_cmpint(stats.events, ==, STREAMS_TOTAL * EVENTS);
	qsort(stats.delay_ns, (size_t)stats.events, sizeof(int64_t),
	      compare_ns);
	printf("%-6s %6.2f us an event, %5.1f KB a stream, late p50 %5.0f us, "
	       "p99 %5.0f us, most %5.0f us\n",
	       name, (double)cpu_ns / 1e3 / stats.events,
	       (double)stats.heap_bytes / 1024 / STREAMS,
	       (double)stats.delay_ns[stats.events / 2] / 1e3,
	       (double)stats.delay_ns[stats.events * 99L / 100] / 1e3,
	       (double)stats.delay_ns[stats.events - 1] / 1e3);
}

int main(void)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
	uv_sem_init(&endpoint.ready, 0);
	uv_thread_create(&endpoint.thread, run_endpoint, NULL);
	uv_sem_wait(&endpoint.ready);
	for (int i = 0; i < 2; i++) {
		measure("link", read_with_link);
		measure("curl", read_with_curl);
	}
	uv_async_send(&endpoint.stop);
	uv_thread_join(&endpoint.thread);
	return 0;
}
