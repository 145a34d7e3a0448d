/* Unit tests of lib/peer, with several peers in one process. */
#include <arpa/inet.h>
#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/fg_clock.h"
#include "peer/fg_peer.h"

#define FIRST_PORT 23100
#define LAST_PORT 23900
#define PORTS 10 /* used by one run */
#define WAIT_MS 5000

/* First of the ports of this run. It stays bound during the run, so that
 * concurrent runs choose other ports. */
static int base_port;

static void reserve_ports(void)
{
	for (int port = FIRST_PORT; port < LAST_PORT; port += PORTS) {
		struct sockaddr_in sa = {
			.sin_family = AF_INET,
			.sin_port = htons((uint16_t)port),
			.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
		};
		int fd = socket(AF_INET, SOCK_STREAM, 0);

		if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) == 0) {
			base_port = port;
			return;
		}
		close(fd);
	}
	g_error("no free ports");
}

struct inbox {
	pthread_mutex_t lock;
	uint64_t n_msgs;
	uint64_t last_seq;
	uint64_t last_from;
	bool out_of_order;
	fg_ms last_at;
	size_t text_bytes;
};

static void on_receive(void *arg, uint64_t from, const fg_msg *msg)
{
	struct inbox *in = arg;

	pthread_mutex_lock(&in->lock);
	in->n_msgs++;
	in->last_from = from;
	in->last_at = fg_clock_now();
	if (msg->body.type == FG_MSG_PING) {
		uint64_t seq = msg->body.fg_body_u.ping.seq;

		in->out_of_order |= seq <= in->last_seq;
		in->last_seq = seq;
	} else if (msg->body.type == FG_MSG_CONFIG_TELL) {
		in->text_bytes += strlen(msg->body.fg_body_u.config_tell.text);
	}
	pthread_mutex_unlock(&in->lock);
}

static uint64_t inbox_msg_count(struct inbox *in)
{
	uint64_t n;

	pthread_mutex_lock(&in->lock);
	n = in->n_msgs;
	pthread_mutex_unlock(&in->lock);
	return n;
}

static void inbox_reset(struct inbox *in)
{
	pthread_mutex_lock(&in->lock);
	in->n_msgs = 0;
	pthread_mutex_unlock(&in->lock);
}

static bool wait_for_msgs(struct inbox *in, uint64_t n)
{
	fg_ms deadline = fg_clock_now() + WAIT_MS;

	while (inbox_msg_count(in) < n && fg_clock_now() < deadline)
		g_usleep(500);
	return inbox_msg_count(in) >= n;
}

static char *peer_address(int i)
{
	return g_strdup_printf("127.0.0.1:%d", base_port + i);
}

static struct fg_peer *start_peer(int i, uint32_t timeout_ms, struct inbox *in)
{
	g_autofree char *addr = peer_address(i);
	struct fg_peer_conf conf = { .listen = addr,
				     .self = (uint64_t)i,
				     .timeout_ms = timeout_ms,
				     .queue_max = 1024 };
	GError *error = NULL;
	struct fg_peer *p = fg_peer_start(&conf, on_receive, in, &error);

	g_assert_no_error(error);
	return p;
}

static void send_ping(struct fg_peer *p, int to, uint64_t seq)
{
	g_autofree char *addr = peer_address(to);
	fg_msg *m = fg_msg_new(FG_MSG_PING);

	m->body.fg_body_u.ping.seq = seq;
	fg_peer_send(p, (uint64_t)to, addr, m);
	fg_msg_free(m);
}

static void test_both_ways(void)
{
	struct inbox a = { 0 }, b = { 0 };
	struct fg_peer *pa = start_peer(1, 500, &a);
	struct fg_peer *pb = start_peer(2, 500, &b);
	struct fg_peer_counters c;

	for (uint64_t i = 1; i <= 500; i++) {
		send_ping(pa, 2, i);
		send_ping(pb, 1, i);
	}
	g_assert_true(wait_for_msgs(&a, 500));
	g_assert_true(wait_for_msgs(&b, 500));
	g_assert_cmpuint(a.n_msgs, ==, 500);
	g_assert_cmpuint(a.last_from, ==, 2);
	g_assert_cmpuint(b.last_from, ==, 1);
	g_assert_false(a.out_of_order);
	fg_peer_stop(pa);
	fg_peer_get_counters(pb, &c);
	g_assert_cmpuint(c.received_msgs, ==, 500);
	g_assert_cmpuint(c.failed_exchanges, ==, 0);
	fg_peer_stop(pb);
}

/* A message must not be delayed by the exchange before, as it would be if each
 * call waited for its reply. */
static void test_no_delay(void)
{
	struct inbox a = { 0 }, b = { 0 };
	struct fg_peer *pa = start_peer(1, 500, &a);
	struct fg_peer *pb = start_peer(2, 500, &b);
	fg_ms max_delay_ms = 0;

	for (uint64_t i = 1; i <= 100; i++) {
		fg_ms sent = fg_clock_now();

		send_ping(pa, 2, i);
		g_assert_true(wait_for_msgs(&b, i));
		max_delay_ms = MAX(max_delay_ms, b.last_at - sent);
		g_usleep(2000);
	}
	g_test_message("longest delay %d ms", (int)max_delay_ms);
	g_assert_cmpint(max_delay_ms, <=, 100);
	fg_peer_stop(pa);
	fg_peer_stop(pb);
}

static void test_large_texts(void)
{
	struct inbox a = { 0 }, b = { 0 };
	struct fg_peer *pa = start_peer(1, 2000, &a);
	struct fg_peer *pb = start_peer(2, 2000, &b);
	g_autofree char *addr = peer_address(2);
	fg_msg *m = fg_msg_new(FG_MSG_CONFIG_TELL);

	free(m->body.fg_body_u.config_tell.text);
	m->body.fg_body_u.config_tell.text = malloc(FG_TEXT_MAX + 1);
	memset(m->body.fg_body_u.config_tell.text, 'x', FG_TEXT_MAX);
	m->body.fg_body_u.config_tell.text[FG_TEXT_MAX] = '\0';
	for (int i = 0; i < 50; i++)
		fg_peer_send(pa, 2, addr, m);
	fg_msg_free(m);
	g_assert_true(wait_for_msgs(&b, 50));
	g_assert_cmpuint(b.text_bytes, ==, 50 * FG_TEXT_MAX);
	fg_peer_stop(pa);
	fg_peer_stop(pb);
}

/* A peer that cannot be reached does not delay other peers, and gets messages
 * again after it has restarted. */
static void test_reconnect(void)
{
	struct inbox a = { 0 }, b = { 0 }, c = { 0 };
	struct fg_peer *pa = start_peer(1, 300, &a);
	struct fg_peer *pc = start_peer(3, 300, &c);
	struct fg_peer *pb;
	struct fg_peer_counters cnt;
	fg_ms deadline = fg_clock_now() + WAIT_MS;
	uint64_t seq = 0;

	send_ping(pa, 2, ++seq);
	send_ping(pa, 3, 1);
	g_assert_true(wait_for_msgs(&c, 1));
	for (int restart = 0; restart < 2; restart++) {
		pb = start_peer(2, 300, &b);
		inbox_reset(&b);
		while (inbox_msg_count(&b) == 0 && fg_clock_now() < deadline) {
			send_ping(pa, 2, ++seq);
			g_usleep(20000);
		}
		g_assert_cmpuint(inbox_msg_count(&b), >, 0);
		fg_peer_stop(pb);
	}
	fg_peer_get_counters(pa, &cnt);
	g_assert_cmpuint(cnt.failed_exchanges, >, 0);
	fg_peer_stop(pa);
	fg_peer_stop(pc);
}

static void test_cut(void)
{
	struct inbox a = { 0 }, b = { 0 };
	struct fg_peer *pa = start_peer(1, 100, &a);
	struct fg_peer *pb = start_peer(2, 100, &b);

	send_ping(pa, 2, 1);
	g_assert_true(wait_for_msgs(&b, 1));
	fg_peer_set_cut(pa, 2, 1);
	for (uint64_t i = 2; i < 10; i++) {
		send_ping(pa, 2, i);
		send_ping(pb, 1, i);
	}
	g_usleep(300000);
	g_assert_cmpuint(inbox_msg_count(&a), ==, 0);
	g_assert_cmpuint(inbox_msg_count(&b), ==, 1);
	fg_peer_set_cut(pa, 2, 0);
	fg_ms deadline = fg_clock_now() + WAIT_MS;
	for (uint64_t i = 10;
	     inbox_msg_count(&a) == 0 && fg_clock_now() < deadline; i++) {
		send_ping(pb, 1, i);
		g_usleep(50000);
	}
	g_assert_cmpuint(inbox_msg_count(&a), >, 0);
	send_ping(pa, 2, 100);
	g_assert_true(wait_for_msgs(&b, 2));
	fg_peer_stop(pa);
	fg_peer_stop(pb);
}

static int connect_raw(int i)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_port = htons((uint16_t)(base_port + i)),
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	g_assert_cmpint(connect(fd, (struct sockaddr *)&sa, sizeof(sa)), ==, 0);
	return fd;
}

/* A partial record, an announced length of 2 GB and a record of garbage do not
 * affect other connections. */
static void test_invalid_records(void)
{
	static const unsigned char partial[] = { 0x80, 0, 1, 0, 0, 0, 0, 1 };
	static const unsigned char oversized[] = { 0xff, 0xff, 0xff, 0xff,
						   1,	 2,    3 };
	unsigned char garbage[512];
	struct inbox a = { 0 }, b = { 0 };
	struct fg_peer *pa = start_peer(1, 1000, &a);
	struct fg_peer *pb = start_peer(2, 1000, &b);
	int fds[3];
	char byte;

	for (size_t i = 0; i < sizeof(garbage); i++)
		garbage[i] = (unsigned char)(i * 37);
	memcpy(garbage, "\x80\0\1\xfc", 4);
	for (int i = 0; i < 3; i++)
		fds[i] = connect_raw(2);
	g_assert_cmpint(write(fds[0], partial, sizeof(partial)), ==,
			sizeof(partial));
	g_assert_cmpint(write(fds[1], oversized, sizeof(oversized)), ==,
			sizeof(oversized));
	g_assert_cmpint(write(fds[2], garbage, sizeof(garbage)), ==,
			sizeof(garbage));
	/* The server closes the connection with the oversized record. */
	g_assert_cmpint(read(fds[1], &byte, 1), <=, 0);
	fg_ms sent = fg_clock_now();
	send_ping(pa, 2, 1);
	g_assert_true(wait_for_msgs(&b, 1));
	g_assert_cmpint(b.last_at - sent, <, 500);
	for (int i = 0; i < 3; i++)
		close(fds[i]);
	fg_peer_stop(pa);
	fg_peer_stop(pb);
}

/* The server must serve more connections than FD_SETSIZE, since a large region
 * has that many peers. */
static void test_many_connections(void)
{
	enum {
		CONNECTIONS = 1100
	};
	struct inbox a = { 0 }, b = { 0 };
	struct fg_peer *pa = start_peer(1, 1000, &a);
	struct fg_peer *pb = start_peer(2, 1000, &b);
	g_autofree int *fds = g_new(int, CONNECTIONS);

	for (int i = 0; i < CONNECTIONS; i++)
		fds[i] = connect_raw(2);
	send_ping(pa, 2, 1);
	g_assert_true(wait_for_msgs(&b, 1));
	for (int i = 0; i < CONNECTIONS; i++)
		close(fds[i]);
	fg_peer_stop(pa);
	fg_peer_stop(pb);
}

static void test_errors(void)
{
	struct inbox a = { 0 };
	struct fg_peer *pa = start_peer(1, 100, &a);
	g_autofree char *used_address = peer_address(1);
	struct fg_peer_conf conf = { .listen = "localhost:23101", .self = 9 };
	GError *error = NULL;

	g_assert_null(fg_peer_start(&conf, on_receive, &a, &error));
	g_assert_error(error, FG_PEER_ERROR, FG_PEER_ERR_ADDRESS);
	g_clear_error(&error);
	conf.listen = used_address;
	g_assert_null(fg_peer_start(&conf, on_receive, &a, &error));
	g_assert_error(error, FG_PEER_ERROR, FG_PEER_ERR_BIND);
	g_clear_error(&error);
	fg_peer_stop(pa);
}

/* Messages beyond the queue's bound are dropped; removing a peer frees the
 * queued ones. */
static void test_bounded_queue(void)
{
	struct inbox a = { 0 };
	struct fg_peer *pa = start_peer(1, 100, &a);
	struct fg_peer_counters c;

	for (uint64_t i = 1; i <= 5000; i++)
		send_ping(pa, 7, i);
	fg_peer_get_counters(pa, &c);
	g_assert_cmpuint(c.dropped_msgs, >=, 5000 - 1024 - 2 * FG_BATCH_MAX);
	fg_peer_remove(pa, 7);
	fg_peer_stop(pa);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	reserve_ports();
	g_test_add_func("/peer/both_ways", test_both_ways);
	g_test_add_func("/peer/no_delay", test_no_delay);
	g_test_add_func("/peer/large_texts", test_large_texts);
	g_test_add_func("/peer/reconnect", test_reconnect);
	g_test_add_func("/peer/cut", test_cut);
	g_test_add_func("/peer/hostile", test_invalid_records);
	g_test_add_func("/peer/many_connections", test_many_connections);
	g_test_add_func("/peer/errors", test_errors);
	g_test_add_func("/peer/bounded_queue", test_bounded_queue);
	return g_test_run();
}
