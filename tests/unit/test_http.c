/* Unit tests of fg_http against a server that sends what it is given. */
#include <arpa/inet.h>
#include <glib.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/fg_http.h"

#define TIMEOUT_MS 3000
/* What fg_http reads of heads, and what the buffers of two sockets take. */
#define FLOOD_MAX_BYTES ((size_t)10 << 20)
/* The server gives up after this much. */
#define FLOOD_END_BYTES ((size_t)200 << 20)

struct server {
	int listener;
	char addr[32];
	const char *text;
	bool endless; /* sends `text` until the client closes */
	int n_more;   /* requests on the same connection, after the first */
	size_t sent_bytes;
	pthread_t thread;
};

static bool send_text(struct server *s, int fd)
{
	ssize_t n = send(fd, s->text, strlen(s->text), MSG_NOSIGNAL);

	s->sent_bytes += n > 0 ? (size_t)n : 0;
	return n > 0;
}

static void *serve(void *arg)
{
	struct server *s = arg;
	char request[4096];
	int fd = accept(s->listener, NULL, NULL);

	if (recv(fd, request, sizeof(request), 0) > 0) {
		while (send_text(s, fd) && s->endless &&
		       s->sent_bytes < FLOOD_END_BYTES)
			;
	}
	for (int i = 0; i < s->n_more; i++) {
		if (recv(fd, request, sizeof(request), 0) > 0)
			send_text(s, fd);
	}
	close(fd);
	return NULL;
}

static void start(struct server *s)
{
	struct sockaddr_in local = { .sin_family = AF_INET };
	socklen_t len = sizeof(local);

	local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	s->listener = socket(AF_INET, SOCK_STREAM, 0);
	g_assert_cmpint(bind(s->listener, (struct sockaddr *)&local, len), ==,
			0);
	g_assert_cmpint(listen(s->listener, 1), ==, 0);
	getsockname(s->listener, (struct sockaddr *)&local, &len);
	g_snprintf(s->addr, sizeof(s->addr), "127.0.0.1:%u",
		   ntohs(local.sin_port));
	pthread_create(&s->thread, NULL, serve, s);
}

static struct fg_http_answer call(struct server *s)
{
	const struct fg_http_call c = { .method = "GET",
					.path = "/",
					.timeout_ms = TIMEOUT_MS,
					.new_connection = true,
					.addr = s->addr };
	struct fg_http_answer answer;

	start(s);
	fg_http_perform(&c, &answer);
	pthread_join(s->thread, NULL);
	close(s->listener);
	g_free(answer.text);
	return answer;
}

/* Guards against an answer with a status that is none which counts as one, or
 * as an informational answer before another. */
static void test_bad_status(void)
{
	static const char *const bad[] = { "000",  "0",	   "001",   "020",
					   "099",  "101",  "600",   "999",
					   "0200", "1000", "65736", "-200",
					   "2x0",  "+200" };

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		g_autofree char *text = g_strdup_printf(
			"HTTP/1.1 %s X\r\nContent-Length: 2\r\n\r\n{}", bad[i]);
		struct server s = { .text = text };
		gint64 begin = g_get_monotonic_time();
		struct fg_http_answer a = call(&s);

		g_test_message("%s", bad[i]);
		g_assert_cmpint(a.error, ==, FG_HTTP_LOST);
		g_assert_cmpuint(a.status, ==, 0);
		g_assert_cmpint(g_get_monotonic_time() - begin, <,
				TIMEOUT_MS * 1000 / 2);
	}
}

#define OK_LINE "HTTP/1.1 200 OK\r\n"
#define CHUNKED OK_LINE "Transfer-Encoding: chunked\r\n\r\n"

/* Guards against answers that libcurl reads, and that are none. */
static void test_spoilt(void)
{
	static const char *const texts[] = {
		OK_LINE "Content-Length : 2\r\n\r\n{}",
		OK_LINE "Content Length: 2\r\n\r\n{}",
		OK_LINE "X Y: v\r\nContent-Length: 2\r\n\r\n{}",
		OK_LINE " X: v\r\nContent-Length: 2\r\n\r\n{}",
		OK_LINE "X: a\r\n Content-Length: 2\r\n\r\n{}",
		OK_LINE "X: a\x01\r\nContent-Length: 2\r\n\r\n{}",
		OK_LINE "X\r\nContent-Length: 2\r\n\r\n{}",
		OK_LINE "Content-Length: 2x\r\n\r\n{}",
		OK_LINE "Content-Length: 2\r\nContent-Length: 1\r\n\r\n{}",
		OK_LINE "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n"
			"\r\n2\r\n{}\r\n0\r\n\r\n",
		OK_LINE "Transfer-Encoding: chunke\r\n\r\n{}",
		OK_LINE "Transfer-Encoding: gzip, chunked\r\n\r\n"
			"2\r\n{}\r\n0\r\n\r\n",
		OK_LINE "Transfer-Encoding: identity\r\n\r\n{}",
		CHUNKED "2 2\r\n{}\r\n0\r\n\r\n",
		CHUNKED "2;\x01\r\n{}\r\n0\r\n\r\n",
		CHUNKED "2\r\n{}XX0\r\n\r\n",
		CHUNKED "2\r\n{}\r\n0\r\nX Y: v\r\n\r\n",
		CHUNKED "2\r\n{}\r\n0\r\n X: v\r\n\r\n",
		CHUNKED "1\r\n{\r\n0\r\n\r\n1\r\n}\r\n0\r\n\r\n",
		OK_LINE "Content-Length: 1\r\n\r\n{}",
		OK_LINE "Content-Length: 0\r\n\r\n{}",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		struct server s = { .text = texts[i] };
		struct fg_http_answer a = call(&s);

		g_test_message("%s", texts[i]);
		g_assert_cmpint(a.error, ==, FG_HTTP_LOST);
		g_assert_cmpuint(a.status, ==, 0);
	}
}

/* Guards against a check that is stricter than the protocol. */
static void test_unusual(void)
{
	static const char *const texts[] = {
		OK_LINE "Content-Length: \t02\t \r\n\r\n{}",
		OK_LINE "X:\r\nY: \xe4\r\ncontent-length:2\r\n\r\n{}",
		OK_LINE "\r\n{}",
		OK_LINE "Transfer-Encoding: CHUNKED\r\n\r\n"
			"2;a=b\r\n{}\r\n0\r\nX: v\r\n\r\n",
		OK_LINE "Content-Length: 2\r\n\r\n{}" OK_LINE,
	};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		struct server s = { .text = texts[i] };
		struct fg_http_answer a = call(&s);

		g_test_message("%s", texts[i]);
		g_assert_cmpint(a.error, ==, FG_HTTP_OK);
		g_assert_cmpuint(a.status, ==, 200);
		g_assert_cmpuint(a.len_bytes, ==, 2);
	}
}

/* Guards against a folded first line that is written to a field of the answer
 * before, whose memory is free. */
static void test_folded_first_line(void)
{
	for (int i = 0; i < 100; i++) {
		struct server sound = { .text = OK_LINE
					"Content-Length: 2\r\n\r\n{}" };
		struct server folded = { .text = OK_LINE
					 " X: v\r\nContent-Length: 2\r\n"
					 "\r\n{}" };

		g_assert_cmpint(call(&sound).error, ==, FG_HTTP_OK);
		g_assert_cmpint(call(&folded).error, ==, FG_HTTP_LOST);
	}
}

static void test_reuse(void)
{
	struct server s = { .text = OK_LINE "Content-Length: 2\r\n\r\n{}",
			    .n_more = 2 };
	const struct fg_http_call c = { .method = "GET",
					.path = "/",
					.timeout_ms = TIMEOUT_MS,
					.addr = s.addr };

	start(&s);
	for (int i = 0; i < 1 + s.n_more; i++) {
		struct fg_http_answer a;

		fg_http_perform(&c, &a);
		g_assert_cmpint(a.error, ==, FG_HTTP_OK);
		g_free(a.text);
	}
	pthread_join(s.thread, NULL);
	close(s.listener);
}

static void test_informational(void)
{
	struct server some = {
		.text = "HTTP/1.1 100 Continue\r\n\r\n"
			"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
			"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
	};
	struct fg_http_answer a = call(&some);

	g_assert_cmpint(a.error, ==, FG_HTTP_OK);
	g_assert_cmpuint(a.status, ==, 200);
}

/* Guards against informational answers, or fields, without end that are read
 * until the time limit. */
static void test_endless_heads(void)
{
	static const char *const texts[] = {
		"HTTP/1.1 100 Continue\r\n\r\n",
		"HTTP/1.1 100 Continue\r\nX-Filler: 123456789\r\n\r\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		struct server s = { .text = texts[i], .endless = true };
		struct fg_http_answer a = call(&s);

		g_assert_cmpint(a.error, ==, FG_HTTP_LOST);
		g_assert_cmpuint(a.status, ==, 0);
		g_assert_cmpuint(s.sent_bytes, <, FLOOD_MAX_BYTES);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	fg_http_init();
	g_test_add_func("/http/bad_status", test_bad_status);
	g_test_add_func("/http/spoilt", test_spoilt);
	g_test_add_func("/http/folded_first_line", test_folded_first_line);
	g_test_add_func("/http/unusual", test_unusual);
	g_test_add_func("/http/reuse", test_reuse);
	g_test_add_func("/http/informational", test_informational);
	g_test_add_func("/http/endless_heads", test_endless_heads);
	return g_test_run();
}
