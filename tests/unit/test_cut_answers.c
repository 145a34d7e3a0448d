/*
 * Unit tests of answers and lists that end early: a part of them is never taken
 * for the whole. For each format, every proper prefix of a sample is refused.
 */
#include <string.h>

#include "fgp_wire.h"
#include "h1/fg_h1.h"
#include "mesh/fg_mesh.h"
#include "relay/fg_relay.h"

/* ---- HTTP answers whose connection ends ---- */

static bool on_head(void *ctx, const struct fg_h1_head *head)
{
	(void)ctx;
	(void)head;
	return true;
}

static void on_body(void *ctx, const char *data, size_t len)
{
	(void)ctx;
	(void)data;
	(void)len;
}

static const struct fg_h1_ops h1_ops = { .on_head = on_head,
					 .on_body = on_body };

static bool is_complete(const char *text, size_t len)
{
	struct fg_h1 h;
	bool complete;

	fg_h1_init(&h, false, &h1_ops, NULL, 1024, 1000);
	fg_h1_feed(&h, text, len);
	complete = h.ended || fg_h1_eof(&h);
	fg_h1_clear(&h);
	return complete;
}

static void check_http(const char *text, size_t complete_from)
{
	for (size_t len = 0; len <= strlen(text); len++)
		g_assert_cmpint(is_complete(text, len), ==,
				len >= complete_from);
}

static void test_http(void)
{
	static const char sized[] =
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc";
	static const char chunked[] =
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
	static const char trailer[] =
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		"3\r\nabc\r\n0\r\nX-Sum: 9\r\n\r\n";
	static const char unframed[] = "HTTP/1.1 200 OK\r\nX: 1\r\n\r\nabc";

	check_http(sized, strlen(sized));
	check_http(chunked, strlen(chunked));
	check_http(trailer, strlen(trailer));
	/* The end of the connection completes it, but not its head. */
	check_http(unframed, strlen(unframed) - strlen("abc"));
}

/* ---- Lists ---- */

static bool reads_rows(const char *text, size_t len)
{
	struct fg_store_rows rows;
	GError *error = NULL;
	bool ok = fgp_wire.rows_read(text, len, &rows, &error);

	if (ok) {
		ok = rows.listed;
		fg_store_rows_clear(&rows);
	}
	g_clear_error(&error);
	return ok;
}

static bool reads_report(const char *text, size_t len)
{
	struct fg_engine_report *report = g_new0(struct fg_engine_report, 1);
	GError *error = NULL;
	bool ok = fgp_wire.report_read(text, len, report, &error);

	g_clear_error(&error);
	g_free(report);
	return ok;
}

static bool reads_relayed(const char *text, size_t len)
{
	struct fg_store_rows rows;
	bool ok = fg_relay_decode(text, len, "t", &rows);

	if (ok)
		fg_store_rows_clear(&rows);
	return ok;
}

static bool reads_datagram(const char *text, size_t len)
{
	fg_mesh_packet packet;
	bool ok = fg_mesh_decode(text, len, &packet);

	if (ok)
		fg_mesh_clear(&packet);
	return ok;
}

static void check_list(const char *text, size_t whole,
		       bool (*reads)(const char *text, size_t len))
{
	g_assert_true(reads(text, whole));
	for (size_t len = 0; len < whole; len++) {
		/* An allocation of its own, so that a read past its end is
		 * found by the address sanitizer. */
		char *part = g_memdup2(text, MAX(len, 1));

		g_assert_false(reads(part, len));
		g_free(part);
	}
}

static void test_store_rows(void)
{
	static const char text[] =
		"{\"rows\":[{\"table\":\"t\",\"key\":\"k\",\"value\":"
		"\"bm9kZS0x\",\"ver\":4},{\"table\":\"t\",\"key\":\"l\","
		"\"value\":\"bm9kZS0y\",\"ver\":5}],\"ver\":9}";
	static const char no_list[] = "{\"ver\":9}";

	check_list(text, strlen(text), reads_rows);
	g_assert_false(reads_rows(no_list, strlen(no_list)));
}

static void test_report(void)
{
	static const char text[] =
		"{\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":"
		"[\"a@1\",\"b@2\"]}],\"sequence\":4}";

	check_list(text, strlen(text), reads_report);
}

static void test_relayed_rows(void)
{
	struct fg_relay *r = fg_relay_new();
	GString *body = g_string_new(NULL);

	fg_relay_reset(r, 0);
	for (uint64_t i = 1; i <= 3; i++) {
		char key[] = { (char)('a' + i), '\0' };
		struct fg_store_row row = { .table = (char *)"t",
					    .key = key,
					    .value = (char *)"value",
					    .value_bytes = 5,
					    .version = i };

		fg_relay_put(r, &row);
	}
	g_assert_true(fg_relay_encode(r, 0, 9, body));
	check_list(body->str, body->len, reads_relayed);
	g_string_free(body, TRUE);
	fg_relay_free(r);
}

static void test_datagrams(void)
{
	fg_mesh_engine engines[2] = { { .ep = 1 }, { .ep = 2 } };
	fg_mesh_packet packet = { .format = FG_MESH_FORMAT,
				  .incarnation = 77,
				  .body.kind = FG_MESH_HEARTBEAT };
	char buf[FG_MESH_PACKET_BYTES];
	size_t len;

	packet.body.fg_mesh_body_u.hb.state = FG_MESH_READY;
	packet.body.fg_mesh_body_u.hb.engines.engines_len = 2;
	packet.body.fg_mesh_body_u.hb.engines.engines_val = engines;
	g_assert_true(fg_mesh_encode(&packet, buf, sizeof(buf), &len));
	check_list(buf, len, reads_datagram);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cut/http", test_http);
	g_test_add_func("/cut/store_rows", test_store_rows);
	g_test_add_func("/cut/report", test_report);
	g_test_add_func("/cut/relayed_rows", test_relayed_rows);
	g_test_add_func("/cut/datagrams", test_datagrams);
	return g_test_run();
}
