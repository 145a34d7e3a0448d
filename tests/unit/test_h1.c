/*
 * Unit tests of the strict check of HTTP/1.1 messages: what breaks a rule, what
 * is unusual and allowed, and the same verdict in whatever pieces a message
 * arrives.
 */
#include <glib.h>
#include <string.h>

#include "h1/fg_h1.h"

#define HEAD_MAX_BYTES 1024
#define BODY_MAX_BYTES 1000

#define ANSWER "HTTP/1.1 200 OK\r\n"
#define CHUNKED ANSWER "Transfer-Encoding: chunked\r\n\r\n"
#define SIZED(lines) ANSWER lines "Content-Length: 4\r\n\r\nbody"

/* What became of a message. */
struct verdict {
	enum fg_h1_fault fault;
	enum fg_h1_rule rule;
	uint64_t fault_at;
	bool ended; /* by itself, or with its connection */
	uint32_t heads;
	GString *body;
};

static bool on_head(void *ctx, const struct fg_h1_head *head)
{
	struct verdict *v = ctx;

	(void)head;
	v->heads++;
	return true;
}

static void on_body(void *ctx, const char *data, size_t len)
{
	struct verdict *v = ctx;

	g_string_append_len(v->body, data, (gssize)len);
}

static const struct fg_h1_ops h1_ops = { .on_head = on_head,
					 .on_body = on_body };

/* Reads the message in two pieces, or, with `first_bytes` 0, in bytes. */
static void read_message(struct verdict *v, const char *text, size_t len,
			 size_t first_bytes, bool requests)
{
	struct fg_h1 h;
	size_t at = 0;

	memset(v, 0, sizeof(*v));
	v->body = g_string_new(NULL);
	fg_h1_init(&h, requests, &h1_ops, v, HEAD_MAX_BYTES, BODY_MAX_BYTES);
	while (at < len && !h.ended && h.fault == FG_H1_OK) {
		size_t n = first_bytes == 0 ? 1
			   : at == 0	    ? first_bytes
					    : len - at;

		at += fg_h1_feed(&h, text + at, n);
	}
	v->ended = h.ended || fg_h1_eof(&h);
	v->fault = h.fault;
	v->rule = h.rule;
	v->fault_at = h.fault_at;
	fg_h1_clear(&h);
}

static void assert_same(const struct verdict *a, const struct verdict *b)
{
	g_assert_cmpint(a->fault, ==, b->fault);
	g_assert_cmpint(a->rule, ==, b->rule);
	g_assert_cmpuint(a->fault_at, ==, b->fault_at);
	g_assert_cmpint(a->ended, ==, b->ended);
	g_assert_cmpuint(a->heads, ==, b->heads);
	g_assert_cmpstr(a->body->str, ==, b->body->str);
}

static void clear_verdict(struct verdict *v)
{
	g_string_free(v->body, TRUE);
}

/* Reads the message in one piece, in two at every offset, and byte by byte. The
 * caller clears the verdict. */
static void judge(struct verdict *v, const char *text, size_t len,
		  bool requests)
{
	read_message(v, text, len, len, requests);
	for (size_t first = 0; first < len; first++) {
		struct verdict other;

		read_message(&other, text, len, first, requests);
		assert_same(v, &other);
		clear_verdict(&other);
	}
}

static void check_broken(const char *text, bool requests, enum fg_h1_rule rule)
{
	struct verdict v;

	g_test_message("%s", text);
	judge(&v, text, strlen(text), requests);
	g_assert_cmpint(v.fault, ==, FG_H1_MALFORMED);
	g_assert_cmpstr(fg_h1_rule_name(v.rule), ==, fg_h1_rule_name(rule));
	g_assert_false(v.ended);
	clear_verdict(&v);
}

static void check_whole(const char *text, bool requests, const char *body)
{
	struct verdict v;

	g_test_message("%s", text);
	judge(&v, text, strlen(text), requests);
	g_assert_cmpint(v.fault, ==, FG_H1_OK);
	g_assert_true(v.ended);
	g_assert_cmpuint(v.heads, ==, 1);
	g_assert_cmpstr(v.body->str, ==, body);
	clear_verdict(&v);
}

static void test_names(void)
{
	static const char *const spoilt[] = {
		"X Y: v",
		"X-Y : v",
		" : v",
		"X Y : v",
		"X-Y\t: v",
		"Content-Length : 4",
		"Content Length: 4",
		"Content-Leng th: 4",
		"Content-Length\t: 4",
		"Transfer-Encoding : chunked",
		"X",
		": v",
		"X(Y: v",
		"X\"Y: v",
		"X/Y: v",
		"X\xe4: v",
		"X\x7fY: v",
		"X\x01: v",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(spoilt); i++) {
		g_autofree char *text =
			g_strconcat(ANSWER "A: b\r\n", spoilt[i],
				    "\r\nContent-Length: 4\r\n\r\nbody", NULL);

		check_broken(text, false,
			     spoilt[i][0] == ' ' ? FG_H1_RULE_FOLDING
						 : FG_H1_RULE_NAME);
	}
}

static void test_folding(void)
{
	check_broken(SIZED(" X: v\r\n"), false, FG_H1_RULE_FOLDING);
	check_broken(SIZED("A: b\r\n X: v\r\n"), false, FG_H1_RULE_FOLDING);
	check_broken(SIZED("A: b\r\n\tX: v\r\n"), false, FG_H1_RULE_FOLDING);
	check_broken(SIZED("A: b\r\n \r\n"), false, FG_H1_RULE_FOLDING);
	check_broken(ANSWER "A: b\r\n Content-Length: 4\r\n\r\nbody", false,
		     FG_H1_RULE_FOLDING);
}

static void test_values(void)
{
	check_broken(SIZED("X: a\x01"
			   "b\r\n"),
		     false, FG_H1_RULE_VALUE);
	check_broken(SIZED("X: a\x7f\r\n"), false, FG_H1_RULE_VALUE);
	check_broken(SIZED("X: a\rb\r\n"), false, FG_H1_RULE_LINE_END);
	check_broken("HTTP/1.1 200 O\x01K\r\nContent-Length: 4\r\n\r\nbody",
		     false, FG_H1_RULE_START_LINE);
	check_broken(ANSWER "A: b\r\n\rX", false, FG_H1_RULE_LINE_END);
}

/* The fault lies at the byte that no answer has there, in whatever pieces the
 * first line arrives. */
static void test_first_line(void)
{
	static const struct {
		const char *text;
		uint64_t fault_at;
	} spoilt[] = {
		{ "HTTQ/1.1 200 OK\r\n\r\n", 3 },
		{ "HTTP/x.1 200 OK\r\n\r\n", 5 },
		{ "\r\n\r\nHTTP 1.1 200 OK\r\n\r\n", 8 },
		{ "body", 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(spoilt); i++) {
		struct verdict v;

		g_test_message("%s", spoilt[i].text);
		judge(&v, spoilt[i].text, strlen(spoilt[i].text), false);
		g_assert_cmpint(v.fault, ==, FG_H1_MALFORMED);
		g_assert_cmpint(v.rule, ==, FG_H1_RULE_START_LINE);
		g_assert_cmpuint(v.fault_at, ==, spoilt[i].fault_at);
		clear_verdict(&v);
	}
}

static void test_nul(void)
{
	static const char *const parts[] = { "X", "X: a" };

	for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
		GString *text = g_string_new(ANSWER);
		struct verdict v;

		g_string_append(text, parts[i]);
		g_string_append_c(text, '\0');
		g_string_append(text, "Y: v\r\nContent-Length: 4\r\n\r\nbody");
		judge(&v, text->str, text->len, false);
		g_assert_cmpint(v.fault, ==, FG_H1_MALFORMED);
		g_assert_cmpuint(v.fault_at, ==,
				 strlen(ANSWER) + strlen(parts[i]));
		clear_verdict(&v);
		g_string_free(text, TRUE);
	}
}

static void test_codings(void)
{
	static const char *const spoilt[] = {
		"chunke",
		"xchunked",
		"chunkedchunked",
		"",
		"gzip, chunked",
		"chunked, gzip",
		"identity",
		"chunked, chunked",
		"chunked;q=1",
		"chun ked",
		"chunked\r\nTransfer-Encoding: chunked",
		"gzip\r\nTransfer-Encoding: chunked",
		"chunked\r\nTransfer-Encoding: gzip",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(spoilt); i++) {
		g_autofree char *text =
			g_strconcat(ANSWER "Transfer-Encoding: ", spoilt[i],
				    "\r\n\r\n4\r\nbody\r\n0\r\n\r\n", NULL);

		check_broken(text, false, FG_H1_RULE_CODING);
	}
}

/* Refused by http-parser, or by the check where that lets them through. */
static void test_lengths(void)
{
	static const char *const spoilt[] = {
		"4x",
		"+4",
		"4 4",
		"4,4x",
		"",
		"-4",
		"0x4",
		"4,4",
		"99999999999999999999999999",
		"4\r\nContent-Length: 5",
		"4\r\nContent-Length: 4",
		"4\t4",
		"\t",
		"4\tx",
		"4\r\nTransfer-Encoding: chunked",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(spoilt); i++) {
		g_autofree char *text =
			g_strconcat(ANSWER "Content-Length: ", spoilt[i],
				    "\r\n\r\nbody", NULL);
		struct verdict v;

		g_test_message("%s", text);
		judge(&v, text, strlen(text), false);
		g_assert_cmpint(v.fault, ==, FG_H1_MALFORMED);
		g_assert_cmpuint(v.heads, ==, 0);
		clear_verdict(&v);
	}
}

static void check_chunked(const char *after, enum fg_h1_rule rule)
{
	g_autofree char *text = g_strconcat(CHUNKED, after, NULL);

	check_broken(text, false, rule);
}

static void test_chunks(void)
{
	static const char *const sizes[] = {
		"4 4",
		"4 ",
		"4\t",
		"4\rX",
		"4;a\x01"
		"b",
		"4;a\nb",
		"4;\x7f",
		"+4",
		"0x4",
		"g",
		"",
		"-4",
		"4g",
		" 4",
		"4,",
	};
	static const char *const ends[] = { "XX", "\rX", "", "\n", "\r\r\n" };

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		g_autofree char *text =
			g_strconcat(sizes[i], "\r\nbody\r\n0\r\n\r\n", NULL);

		check_chunked(text, FG_H1_RULE_CHUNK_SIZE);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(ends); i++) {
		g_autofree char *text =
			g_strconcat("4\r\nbody", ends[i], "0\r\n\r\n", NULL);

		check_chunked(text, FG_H1_RULE_CHUNK_END);
	}
	check_chunked("4\nbody\r\n0\r\n\r\n", FG_H1_RULE_CHUNK_SIZE);
	check_chunked("11111111111111111\r\nbody", FG_H1_RULE_SYNTAX);
	check_chunked("4\r\nbody\r\n0\r\n\rX", FG_H1_RULE_LINE_END);
}

static void test_trailers(void)
{
	check_chunked("4\r\nbody\r\n0\r\nX Y: v\r\n\r\n", FG_H1_RULE_NAME);
	check_chunked("4\r\nbody\r\n0\r\nX : v\r\n\r\n", FG_H1_RULE_NAME);
	check_chunked("4\r\nbody\r\n0\r\nX\r\n\r\n", FG_H1_RULE_NAME);
	check_chunked("4\r\nbody\r\n0\r\n X: v\r\n\r\n", FG_H1_RULE_FOLDING);
	check_chunked("4\r\nbody\r\n0\r\nX: v\r\n w\r\n\r\n",
		      FG_H1_RULE_FOLDING);
	check_chunked("4\r\nbody\r\n0\r\nX: a\x01\r\n\r\n", FG_H1_RULE_VALUE);
}

static void test_requests(void)
{
	static const char *const lines[] = {
		"Content Length: 4",
		"Content-Length : 4",
		" Content-Length: 4",
		"X: a\r\n Content-Length: 4",
		"Transfer-Encoding : chunked",
		"Transfer-Encoding: gzip, chunked",
		"Transfer-Encoding: xchunked",
		"Content-Length\t: 4",
		"Content-Length: 4\r\nContent-Length: 5",
		"Content-Length: 4\r\nTransfer-Encoding: chunked",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
		for (int first = 0; first < 2; first++) {
			g_autofree char *text = g_strconcat(
				"POST / HTTP/1.1\r\n", first ? "" : "A: b\r\n",
				lines[i], "\r\n\r\nbody", NULL);
			struct verdict v;

			g_test_message("%s", text);
			judge(&v, text, strlen(text), true);
			g_assert_cmpint(v.fault, ==, FG_H1_MALFORMED);
			g_assert_cmpuint(v.heads, ==, 0);
			clear_verdict(&v);
		}
	}
	check_broken("GET /a\tb HTTP/1.1\r\n\r\n", true, FG_H1_RULE_START_LINE);
	check_broken("GET /a\x0c HTTP/1.1\r\n\r\n", true,
		     FG_H1_RULE_START_LINE);
	check_whole(
		"\r\nPOST /\xe4 HTTP/1.1\r\nContent-Length: \t4\t\r\n\r\nbody",
		true, "body");
	check_whole("POST / HTTP/1.1\r\ntransfer-encoding: CHUNKED\r\n\r\n"
		    "2;x\r\nbo\r\n2\r\ndy\r\n0\r\nX: v\r\n\r\n",
		    true, "body");
}

/* Guards against a check that is stricter than the protocol. */
static void test_unusual(void)
{
	static const char *const lines[] = {
		"X:",
		"X: ",
		"X: \t v \t ",
		"X:v",
		"X:\tv",
		"X: \xe4\xff\x80",
		"!#$%&'*+-.^_`|~09azAZ: v",
		"X: a b:c;d=\"e\"",
	};
	static const char *const chunks[] = {
		"4;a\r\nbody\r\n0\r\n\r\n",
		"4;a=b;c=\"d e\xe4\t\"\r\nbody\r\n0;x\r\n\r\n",
		"4\t ;a\r\nbody\r\n0\t;x\r\n\r\n",
		"4 ;a = b\r\nbody\r\n0\r\n\r\n",
		"0004\r\nbody\r\n000\r\n\r\n",
		"1\r\nb\r\n3\r\nody\r\n0\r\n\r\n",
		"4\r\nbody\r\n0\r\nX-Sum:\r\nX-A:\t b \t\r\n\r\n",
		"4\r\nbody\r\n0\r\nX: v\n\n",
	};
	static const char *const framings[] = {
		"Content-Length: 0004\r\n\r\nbody",
		"CONTENT-length:4 \r\n\r\nbody",
		"Content-Length: \t4 \t \r\n\r\nbody",
		"Content-Length:\t\t4\t\r\n\r\nbody",
		"Transfer-Encoding: CHUNKED\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"transfer-encoding:\tchunked \r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"Transfer-Encoding: chunked\t\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
		g_autofree char *text =
			g_strconcat(ANSWER, lines[i],
				    "\r\nContent-Length: 4\r\n\r\nbody", NULL);

		check_whole(text, false, "body");
	}
	for (size_t i = 0; i < G_N_ELEMENTS(chunks); i++) {
		g_autofree char *text = g_strconcat(CHUNKED, chunks[i], NULL);

		check_whole(text, false, "body");
	}
	for (size_t i = 0; i < G_N_ELEMENTS(framings); i++) {
		g_autofree char *text = g_strconcat(ANSWER, framings[i], NULL);

		check_whole(text, false, "body");
	}
	check_whole(ANSWER "Content-Length: 3\r\n\r\n\ta\t", false, "\ta\t");
	check_whole(CHUNKED "1\r\n\t\r\n0\r\n\r\n", false, "\t");
	check_whole("HTTP/1.1 200 \tO K\xe4\r\nContent-Length: 4\r\n\r\nbody",
		    false, "body");
	check_whole("\r\n\n" SIZED(""), false, "body");
	check_whole("HTTP/1.1 200 OK\nContent-Length: 4\n\nbody", false,
		    "body");
	check_whole("HTTP/1.0 200 OK\r\n\r\nbody", false, "body");
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/h1/names", test_names);
	g_test_add_func("/h1/folding", test_folding);
	g_test_add_func("/h1/values", test_values);
	g_test_add_func("/h1/first_line", test_first_line);
	g_test_add_func("/h1/nul", test_nul);
	g_test_add_func("/h1/codings", test_codings);
	g_test_add_func("/h1/lengths", test_lengths);
	g_test_add_func("/h1/chunks", test_chunks);
	g_test_add_func("/h1/trailers", test_trailers);
	g_test_add_func("/h1/requests", test_requests);
	g_test_add_func("/h1/unusual", test_unusual);
	return g_test_run();
}
