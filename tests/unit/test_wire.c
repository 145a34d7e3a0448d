/*
 * Unit tests of the decoders of external input, with valid and invalid input:
 * HTTP messages, event streams, store rows, registry entries, datagrams of
 * other instances and the settings file.
 */
#include <errno.h>
#include <glib.h>
#include <string.h>

#include "base/fg_rand.h"
#include "fgp_json.h"
#include "fgp_wire.h"
#include "gateway/fg_events.h"
#include "gateway/fg_gwconf.h"
#include "h1/fg_h1.h"
#include "mesh/fg_mesh.h"
#include "mesh/fg_peers.h"

/* ---- HTTP messages ---- */

struct message_log {
	GString *body;
	uint32_t heads;
	uint32_t ends;
};

static bool on_head(void *ctx, const struct fg_h1_head *head)
{
	struct message_log *s = ctx;

	(void)head;
	s->heads++;
	return true;
}

static void on_body(void *ctx, const char *data, size_t len)
{
	struct message_log *s = ctx;

	g_string_append_len(s->body, data, (gssize)len);
}

static void on_end(void *ctx)
{
	struct message_log *s = ctx;

	s->ends++;
}

static const struct fg_h1_ops h1_ops = { on_head, on_body, on_end };

static void init_parser(struct fg_h1 *h, struct message_log *s, bool requests)
{
	memset(s, 0, sizeof(*s));
	s->body = g_string_new(NULL);
	fg_h1_init(h, requests, &h1_ops, s, 1024, 1000);
}

static void clear_parser(struct fg_h1 *h, struct message_log *s)
{
	fg_h1_clear(h);
	g_string_free(s->body, TRUE);
}

static void test_pipelined(void)
{
	static const char text[] = "POST /a HTTP/1.1\r\nHost: h\r\n"
				   "Content-Length: 3\r\n\r\nabcGET /b";
	struct fg_h1 h;
	struct message_log s;

	init_parser(&h, &s, true);
	/* One byte at a time, as from a slow caller. */
	for (size_t i = 0; i < sizeof(text) - 1 && !h.ended; i++)
		g_assert_cmpuint(fg_h1_feed(&h, text + i, 1), ==, 1);
	g_assert_true(h.ended);
	g_assert_cmpstr(s.body->str, ==, "abc");
	g_assert_cmpstr(fg_h1_get_field(&h.head, "HOST"), ==, "h");
	g_assert_cmpuint(fg_h1_feed(&h, "G", 1), ==, 0);
	fg_h1_reset(&h);
	g_assert_cmpuint(fg_h1_feed(&h, text, sizeof(text) - 1), ==,
			 sizeof(text) - 1 - strlen("GET /b"));
	g_assert_cmpuint(s.ends, ==, 2);
	clear_parser(&h, &s);
}

static void check_fault(const char *text, enum fg_h1_fault fault)
{
	struct fg_h1 h;
	struct message_log s;

	init_parser(&h, &s, true);
	fg_h1_feed(&h, text, strlen(text));
	g_assert_cmpint(h.fault, ==, fault);
	g_assert_cmpuint(s.ends, ==, 0);
	clear_parser(&h, &s);
}

static void test_bad_requests(void)
{
	char *big = g_strnfill(4000, 'x');
	char *text;

	check_fault("nonsense\r\n\r\n", FG_H1_MALFORMED);
	check_fault("POST / HTTP/1.1\r\nContent-Length: 3\r\n"
		    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		    FG_H1_MALFORMED);
	check_fault("POST / HTTP/1.1\r\nContent-Length: 3\r\n"
		    "Content-Length: 4\r\n\r\nabcd",
		    FG_H1_MALFORMED);
	check_fault("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz",
		    FG_H1_MALFORMED);
	check_fault("POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n",
		    FG_H1_BODY_TOO_LARGE);
	text = g_strdup_printf("GET / HTTP/1.1\r\nA: %s\r\n\r\n", big);
	check_fault(text, FG_H1_HEAD_TOO_LARGE);
	g_free(text);
	text = g_strdup_printf("POST / HTTP/1.1\r\n"
			       "Transfer-Encoding: chunked\r\n\r\n3e9\r\n%s",
			       big);
	check_fault(text, FG_H1_BODY_TOO_LARGE);
	g_free(text);
	g_free(big);
}

#define CHUNKED_HEAD "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

static enum fg_h1_fault feed_answer(const char *text, size_t piece,
				    unsigned int *status, char *bad)
{
	struct fg_h1 h;
	struct message_log s;
	enum fg_h1_fault fault;
	size_t len = strlen(text);

	init_parser(&h, &s, false);
	for (size_t i = 0; i < len && h.fault == FG_H1_OK && !h.ended;
	     i += piece)
		fg_h1_feed(&h, text + i, MIN(piece, len - i));
	fault = h.fault;
	*status = h.head.status;
	fg_h1_bad_status(&h, bad);
	clear_parser(&h, &s);
	return fault;
}

/* Guards against an answer with a status that is none: it reached the caller,
 * or was skipped like an informational one. */
static void test_bad_status(void)
{
	static const struct {
		const char *status;
		enum fg_h1_fault fault;
	} cases[] = {
		{ "200 OK", FG_H1_OK },
		{ "200", FG_H1_OK },
		{ "204 ", FG_H1_OK },
		{ "599 x", FG_H1_OK },
		{ "100 Continue", FG_H1_OK },
		{ "199 x", FG_H1_OK },
		{ "101 x", FG_H1_BAD_STATUS },
		{ "000 x", FG_H1_BAD_STATUS },
		{ "0 x", FG_H1_BAD_STATUS },
		{ "001 x", FG_H1_BAD_STATUS },
		{ "020 x", FG_H1_BAD_STATUS },
		{ "099 x", FG_H1_BAD_STATUS },
		{ "600 x", FG_H1_BAD_STATUS },
		{ "999 x", FG_H1_BAD_STATUS },
		{ "0200 x", FG_H1_BAD_STATUS },
		{ "1000 x", FG_H1_BAD_STATUS },
		{ "65736 x", FG_H1_BAD_STATUS },
		{ "-200 x", FG_H1_BAD_STATUS },
		{ "+200 x", FG_H1_BAD_STATUS },
		{ "2x0 x", FG_H1_BAD_STATUS },
		{ " 200 x", FG_H1_BAD_STATUS },
		{ "", FG_H1_BAD_STATUS },
	};
	static const size_t pieces[] = { 1, 7, 1000 };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *text = g_strdup_printf(
			"HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n",
			cases[i].status);

		for (size_t k = 0; k < G_N_ELEMENTS(pieces); k++) {
			char bad[FG_H1_STATUS_TEXT_BYTES];
			unsigned int status;

			g_assert_cmpint(
				feed_answer(text, pieces[k], &status, bad), ==,
				cases[i].fault);
			if (cases[i].fault == FG_H1_OK)
				g_assert_cmpuint(
					status, ==,
					(unsigned int)atoi(cases[i].status));
			else if (pieces[k] == 1000 && cases[i].status[0] == '0')
				g_assert_true(
					g_str_has_prefix(cases[i].status, bad));
		}
	}
}

/* Guards against a body in chunks whose framing has no end: extensions count
 * towards neither the head nor the body. */
static void test_endless_framing(void)
{
	g_autofree char *filler = g_strnfill(4000, 'x');
	g_autofree char *chunk = g_strdup_printf("1;e=%s\r\na\r\n", filler);
	size_t fed = 0;
	struct fg_h1 h;
	struct message_log s;

	init_parser(&h, &s, false);
	fg_h1_feed(&h, CHUNKED_HEAD, strlen(CHUNKED_HEAD));
	while (h.fault == FG_H1_OK && fed < (size_t)4 << 20) {
		fg_h1_feed(&h, chunk, strlen(chunk));
		fed += strlen(chunk);
	}
	g_assert_cmpint(h.fault, ==, FG_H1_MALFORMED);
	g_assert_cmpuint(fed, <, (size_t)1 << 20);
	clear_parser(&h, &s);
	/* The smallest chunks there are do not exceed it. */
	init_parser(&h, &s, false);
	fg_h1_feed(&h, CHUNKED_HEAD, strlen(CHUNKED_HEAD));
	for (int i = 0; i < 1000; i++)
		fg_h1_feed(&h, "00000001\r\na\r\n", 13);
	fg_h1_feed(&h, "0\r\n\r\n", 5);
	g_assert_true(h.ended);
	g_assert_cmpuint(s.body->len, ==, 1000);
	clear_parser(&h, &s);
}

static void test_answer_without_length(void)
{
	static const char text[] = "HTTP/1.1 200 OK\r\n\r\nall of it";
	static const char truncated[] =
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nall";
	struct fg_h1 h;
	struct message_log s;

	init_parser(&h, &s, false);
	fg_h1_feed(&h, text, sizeof(text) - 1);
	g_assert_false(h.ended);
	g_assert_true(fg_h1_eof(&h));
	g_assert_cmpstr(s.body->str, ==, "all of it");
	clear_parser(&h, &s);
	/* An answer shorter than its Content-Length is incomplete. */
	init_parser(&h, &s, false);
	fg_h1_feed(&h, truncated, sizeof(truncated) - 1);
	g_assert_false(fg_h1_eof(&h));
	clear_parser(&h, &s);
}

static void test_hop_by_hop_fields(void)
{
	static const char text[] = "GET / HTTP/1.1\r\nHost: h\r\nX-One: 1\r\n"
				   "Connection: keep-alive, x-one\r\n"
				   "X-Two: 2\r\n\r\n";
	struct fg_h1 h;
	struct message_log s;

	init_parser(&h, &s, true);
	fg_h1_feed(&h, text, sizeof(text) - 1);
	g_assert_true(h.ended);
	g_assert_false(fg_h1_is_hop_by_hop(&h.head, 0));
	g_assert_true(fg_h1_is_hop_by_hop(&h.head, 1));
	g_assert_true(fg_h1_is_hop_by_hop(&h.head, 2));
	g_assert_false(fg_h1_is_hop_by_hop(&h.head, 3));
	clear_parser(&h, &s);
}

/* ---- Requests in the platform's format ---- */

/* Header fields that only the system sets are not forwarded from a caller. */
static void test_system_fields(void)
{
	static const char text[] =
		"POST /p/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
		"Deadline-Ms: 4000\r\nModel: m/a7\r\nToken-Count: 900,80\r\n"
		"Prompt-Prefix: 5c:800,91:100\r\nHold: h1\r\nKv-From: x\r\n"
		"Pin-Ms: 4\r\nKv-Backup: y\r\nExpect-Instance: z\r\n"
		"Request-Urgency: 0\r\nLast-Event-Id: 12\r\n"
		"Content-Length: 0\r\n\r\n";
	struct fg_send_params send = { .endpoint_id = "i-1",
				       .deadline_ms = 3900,
				       .urgency = 5,
				       .resumes = true,
				       .resume_after = 14,
				       .has_body = true };
	struct fg_call call;
	struct fg_h1 h;
	struct message_log s;
	GString *out = g_string_new(NULL);

	init_parser(&h, &s, true);
	fg_h1_feed(&h, text, sizeof(text) - 1);
	g_assert_true(h.ended);
	g_assert_true(fgp_wire.call_read(&h.head, &call));
	g_assert_cmpstr(call.id, ==, "r1");
	g_assert_cmpstr(call.model, ==, "m");
	g_assert_cmpstr(call.adapter, ==, "a7");
	g_assert_cmpuint(call.prompt_tokens, ==, 900);
	g_assert_cmpuint(g_bytes_get_size(call.shared_parts), ==,
			 sizeof(uint64_t));
	g_assert_cmpuint(
		*(const uint64_t *)g_bytes_get_data(call.shared_parts, NULL),
		==, 0x5c);
	g_assert_cmpuint(call.output_tokens, ==, 80);
	g_assert_cmpuint(call.deadline_ms, ==, 4000);
	g_assert_true(call.resumes);
	g_assert_cmpuint(call.resume_after, ==, 12);
	fgp_wire.call_write(out, &h.head, &send);
	g_assert_nonnull(strstr(out->str, "\r\nRequest-Id: r1\r\n"));
	g_assert_nonnull(strstr(out->str, "\r\nDeadline-Ms: 3900\r\n"));
	g_assert_nonnull(strstr(out->str, "\r\nExpect-Instance: i-1\r\n"));
	g_assert_nonnull(strstr(out->str, "\r\nRequest-Urgency: 5\r\n"));
	g_assert_nonnull(strstr(out->str, "\r\nLast-Event-Id: 14\r\n"));
	g_assert_nonnull(strstr(out->str, "\r\nPrompt-Prefix: 5c:800,91:100"));
	g_assert_null(strstr(out->str, "Hold"));
	g_assert_null(strstr(out->str, "Kv-"));
	g_assert_null(strstr(out->str, "Pin-Ms"));
	g_assert_null(strstr(out->str, "Expect-Instance: z"));
	fg_call_clear(&call);
	g_string_free(out, TRUE);
	clear_parser(&h, &s);
}

/* Reads the head of an answer with these fields. */
static void read_reply(unsigned int status, const char *fields,
		       struct fg_wire_reply *out, int *era_error, uint64_t *era)
{
	char *text = g_strdup_printf("HTTP/1.1 %u X\r\nContent-Length: 0\r\n"
				     "%s\r\n",
				     status, fields);
	struct fg_h1 h;
	struct message_log s;

	init_parser(&h, &s, false);
	fg_h1_feed(&h, text, strlen(text));
	g_assert_true(h.ended);
	fgp_wire.reply_read(&h.head, out);
	*era_error = fgp_wire.era_read(&h.head, era);
	clear_parser(&h, &s);
	g_free(text);
}

static void test_leaving_and_pause(void)
{
	static const struct {
		unsigned int status;
		const char *fields;
		bool leaving;
		uint32_t pause_ms;
		bool bad_pause;
	} cases[] = {
		{ 200, "", false, 0, false },
		{ 200, "Server-Leaving: 1\r\n", true, 0, false },
		{ 421, "server-leaving: 1\r\n", true, 0, false },
		{ 200, "Server-Leaving: 0\r\n", false, 0, false },
		{ 503, "Retry-After: 2\r\n", false, 2000, false },
		{ 503, "Retry-After: 0.25\r\nNot-Run: 1\r\n", false, 250,
		  false },
		{ 503, "Retry-After: 0\r\n", false, 0, false },
		{ 503, "Retry-After: 1e300\r\n", false, UINT32_MAX, false },
		{ 503, "Retry-After: -1\r\n", false, 0, true },
		{ 503, "Retry-After: soon\r\n", false, 0, true },
		{ 503, "Retry-After: 2 s\r\n", false, 0, true },
		{ 503, "Retry-After: nan\r\n", false, 0, true },
		{ 503, "Retry-After:\r\n", false, 0, true },
		/* Only a refusal asks for a pause. */
		{ 200, "Retry-After: 2\r\n", false, 0, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fg_wire_reply reply;
		uint64_t era;
		int error;

		read_reply(cases[i].status, cases[i].fields, &reply, &error,
			   &era);
		g_assert_cmpint(reply.leaving, ==, cases[i].leaving);
		g_assert_cmpuint(reply.pause_ms, ==, cases[i].pause_ms);
		g_assert_cmpint(reply.bad_pause, ==, cases[i].bad_pause);
		g_assert_cmpint(error, ==, ENOENT);
	}
}

static void test_brittle(void)
{
	static const struct {
		unsigned int status;
		const char *fields;
		bool brittle;
		bool bad;
		uint32_t rejections;
	} cases[] = {
		{ 200, "", false, false, 0 },
		{ 200, "Server-Brittle: 0\r\n", true, false, 0 },
		{ 503, "Server-Brittle: 1\r\nNot-Run: 1\r\n", true, false, 1 },
		{ 200, "server-brittle: 99999999999999\r\n", true, false,
		  UINT32_MAX },
		{ 200, "Server-Brittle: soon\r\n", true, true, 0 },
		{ 200, "Server-Brittle: -3\r\n", true, true, 0 },
		{ 200, "Server-Brittle: 1.5\r\n", true, true, 0 },
		{ 200, "Server-Brittle:\r\n", true, true, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fg_wire_reply reply;
		uint64_t era;
		int error;

		read_reply(cases[i].status, cases[i].fields, &reply, &error,
			   &era);
		g_assert_cmpint(reply.brittle, ==, cases[i].brittle);
		g_assert_cmpint(reply.bad_brittle, ==, cases[i].bad);
		g_assert_cmpuint(reply.brittle_rejections, ==,
				 cases[i].rejections);
	}
}

static void test_era(void)
{
	struct fg_wire_reply reply;
	uint64_t era = 0;
	int error;

	read_reply(503, "Store-Era: 3\r\n", &reply, &error, &era);
	g_assert_cmpint(error, ==, 0);
	g_assert_cmpuint(era, ==, 3);
	read_reply(200, "store-era: x\r\n", &reply, &error, &era);
	g_assert_cmpint(error, ==, EINVAL);
	read_reply(200, "store-era: -1\r\n", &reply, &error, &era);
	g_assert_cmpint(error, ==, EINVAL);
	read_reply(200, "store-era: 3.5\r\n", &reply, &error, &era);
	g_assert_cmpint(error, ==, EINVAL);
}

/* ---- Keys of callers ---- */

#define KEY "sk-5f1e/secret+key=="

struct request_text {
	struct fg_h1 h;
	struct message_log log;
	struct fg_call call;
};

/* Reads a request with these fields besides Host; the rest of the text follows
 * its head. */
static void read_request(struct request_text *q, const char *fields,
			 const char *rest)
{
	g_autofree char *text = g_strconcat("POST /p HTTP/1.1\r\nHost: h\r\n",
					    fields, "\r\n", rest, NULL);

	init_parser(&q->h, &q->log, true);
	fg_h1_feed(&q->h, text, strlen(text));
	g_assert_true(q->h.ended);
	g_assert_true(fgp_wire.call_read(&q->h.head, &q->call));
}

static void clear_request(struct request_text *q)
{
	fg_call_clear(&q->call);
	clear_parser(&q->h, &q->log);
}

/* Returns what the endpoint gets; the caller frees it. */
static char *forward(const struct request_text *q, bool identified,
		     const char *workspace)
{
	const struct fg_send_params send = { .identified = identified,
					     .workspace = workspace,
					     .urgency = UINT32_MAX };
	GString *out = g_string_new(NULL);

	fgp_wire.call_write(out, &q->h.head, &send);
	return g_string_free(out, FALSE);
}

/* Guards against a valid key that is not found because of its spelling on the
 * wire, and against other texts that are taken for a key. */
static void test_credential(void)
{
	static const struct {
		const char *fields;
		const char *key; /* NULL: none */
		bool bad;
	} cases[] = {
		{ "", NULL, false },
		{ "X-Authorization: Bearer k\r\n", NULL, false },
		{ "Authorization: Bearer k1\r\n", "k1", false },
		{ "authorization: bearer k1\r\n", "k1", false },
		{ "AUTHORIZATION: BEARER k1\r\n", "k1", false },
		{ "aUtHoRiZaTiOn:bEaReR k1\r\n", "k1", false },
		{ "Authorization:   Bearer    k1  \r\n", "k1", false },
		{ "Authorization: Bearer k1\t \r\n", "k1", false },
		{ "Authorization: Bearer " KEY "\r\n", KEY, false },
		/* A configuration may hold keys with commas. */
		{ "Authorization: Bearer k,1\r\n", "k,1", false },
		{ "Authorization: Bearer k1,\r\n", "k1,", false },
		{ "Authorization: Bearer k1 ,\r\n", NULL, true },
		{ "Authorization:\r\n", NULL, true },
		{ "Authorization: \r\n", NULL, true },
		{ "Authorization: Bearer\r\n", NULL, true },
		{ "Authorization: Bearer \r\n", NULL, true },
		{ "Authorization: Bearer k1 k2\r\n", NULL, true },
		{ "Authorization: Bearer k1, Bearer k2\r\n", NULL, true },
		{ "Authorization: Bearer\tk1\r\n", NULL, true },
		{ "Authorization: Bearerk1\r\n", NULL, true },
		{ "Authorization: Basic azE6azI=\r\n", NULL, true },
		{ "Authorization: k1\r\n", NULL, true },
		{ "Authorization: Bearer k1\r\nAuthorization: Bearer k2\r\n",
		  "k1", true },
		{ "Authorization: Bearer k1\r\nauthorization: Basic eA==\r\n",
		  "k1", true },
		{ "authorization: Basic eA==\r\nAuthorization: Bearer k1\r\n",
		  "k1", true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct request_text q;

		read_request(&q, cases[i].fields, "");
		g_test_message("%s", cases[i].fields);
		g_assert_cmpint(q.call.bad_credential, ==, cases[i].bad);
		if (!cases[i].bad)
			g_assert_cmpstr(q.call.credential, ==, cases[i].key);
		clear_request(&q);
	}
}

/* Guards against 401 for a valid key: a field that a proxy repeated is not a
 * second, different one. */
static void test_credential_repeated(void)
{
	struct request_text q;

	read_request(&q,
		     "Authorization: Bearer k1\r\nauthorization: bearer  k1\r\n"
		     "Authorization: Bearer k1\r\n",
		     "");
	g_assert_false(q.call.bad_credential);
	g_assert_cmpstr(q.call.credential, ==, "k1");
	clear_request(&q);
	read_request(&q,
		     "Authorization: Bearer k1\r\nAuthorization: Bearer k1\r\n"
		     "Authorization: Bearer K1\r\n",
		     "");
	g_assert_true(q.call.bad_credential);
	clear_request(&q);
	read_request(&q,
		     "Authorization: Bearer k1\r\nAuthorization: Bearer k1\r\n"
		     "Authorization: Basic k1\r\n",
		     "");
	g_assert_true(q.call.bad_credential);
	clear_request(&q);
}

static const char *const identity_spellings[] = {
	"Authorization: Bearer " KEY "\r\n",
	"authorization: bearer " KEY "\r\n",
	"AUTHORIZATION: Bearer " KEY "\r\n",
	"aUTHORIZATION:Bearer " KEY "\r\n",
	"Authorization: Basic " KEY "\r\n",
	"Authorization: " KEY "\r\nauthorization: Bearer " KEY "\r\n",
	"Proxy-Authorization: Bearer " KEY "\r\n",
	"PROXY-authorization: Bearer " KEY "\r\n",
	"Tenant: " KEY "\r\n",
	"tenant: " KEY "\r\nTENANT: " KEY "\r\n",
	"Connection: X-Other\r\nAuthorization: Bearer " KEY "\r\n",
	/* As the last field of a head, before the trailer. */
	"X-Empty:\r\nAuthorization: Bearer " KEY "\r\n",
};

/* Guards against a key, or a workspace that the caller states, in what an
 * endpoint gets where the system identifies callers. */
static void test_key_not_forwarded(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(identity_spellings); i++) {
		const char *fields = identity_spellings[i];
		struct request_text q;
		char *out;

		g_test_message("%s", fields);
		read_request(&q, fields, "");
		out = forward(&q, true, "acme");
		g_assert_null(strstr(out, KEY));
		g_assert_nonnull(strstr(out, "\r\nTenant: acme\r\n"));
		g_free(out);
		out = forward(&q, true, NULL);
		g_assert_null(strstr(out, KEY));
		g_assert_null(strstr(out, "Tenant"));
		g_free(out);
		clear_request(&q);
	}
}

/* Guards against http-parser, which lets names contain spaces: endpoints that
 * trim them would get the key. No such request is read. */
static void test_spaces_in_names(void)
{
	static const char *const heads[] = {
		"Host: h\r\nAuthorization : Bearer " KEY "\r\n",
		"Host: h\r\nauthorization  : Bearer " KEY "\r\n",
		"Host: h\r\nProxy-Authorization : Bearer " KEY "\r\n",
		"Host: h\r\nTenant : " KEY "\r\n",
		" Authorization: Bearer " KEY "\r\nHost: h\r\n",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(heads); i++) {
		g_autofree char *text = g_strconcat("POST /p HTTP/1.1\r\n",
						    heads[i], "\r\n", NULL);
		struct request_text q;

		init_parser(&q.h, &q.log, true);
		fg_h1_feed(&q.h, text, strlen(text));
		g_assert_cmpint(q.h.fault, ==, FG_H1_MALFORMED);
		g_assert_cmpuint(q.log.heads, ==, 0);
		g_assert_cmpuint(q.log.ends, ==, 0);
		clear_parser(&q.h, &q.log);
	}
}

/* The same for the trailer of a chunked body. */
static void test_key_in_trailer(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(identity_spellings); i++) {
		g_autofree char *rest =
			g_strconcat("3\r\nabc\r\n0\r\n", identity_spellings[i],
				    "\r\n", NULL);
		struct request_text q;
		char *out;

		read_request(&q, "Transfer-Encoding: chunked\r\nX-Last:\r\n",
			     rest);
		out = forward(&q, true, "acme");
		g_assert_null(strstr(out, KEY));
		g_free(out);
		clear_request(&q);
	}
}

/* Guards against a key that counts although the request was decided on its
 * head: trailers do not authenticate, nor do they make a key of the head a
 * second one.
 */
static void test_trailer_is_no_credential(void)
{
	static const char rest[] = "3\r\nabc\r\n0\r\n"
				   "Authorization: Bearer k2\r\n\r\n";
	struct request_text q;

	read_request(&q, "Transfer-Encoding: chunked\r\n", rest);
	g_assert_null(q.call.credential);
	g_assert_false(q.call.bad_credential);
	clear_request(&q);
	read_request(&q,
		     "Transfer-Encoding: chunked\r\n"
		     "Authorization: Bearer k1\r\n",
		     rest);
	g_assert_cmpstr(q.call.credential, ==, "k1");
	g_assert_false(q.call.bad_credential);
	clear_request(&q);
}

/* Guards against a deployment without workspaces whose endpoints no longer get
 * what they check themselves. Proxy-Authorization is hop-by-hop everywhere. */
static void test_identity_passes_unchanged(void)
{
	struct request_text q;
	char *out;

	read_request(&q,
		     "authorization: Basic eDp5\r\nAuthorization: Bearer k\r\n"
		     "TENANT: t1\r\nTenant: t2\r\n",
		     "");
	out = forward(&q, false, NULL);
	g_assert_nonnull(strstr(out, "\r\nauthorization: Basic eDp5\r\n"
				     "Authorization: Bearer k\r\n"
				     "TENANT: t1\r\nTenant: t2\r\n"));
	g_free(out);
	out = forward(&q, false, "acme");
	g_assert_null(strstr(out, "acme"));
	g_free(out);
	clear_request(&q);
}

/* Returns the configuration with this value of "tenants"; NULL: without. */
static struct fg_routes *read_tenants(const char *value, GError **error)
{
	g_autofree char *text =
		value == NULL
			? g_strdup("{\"version\":1,\"services\":[],"
				   "\"routes\":[]}")
			: g_strdup_printf("{\"version\":1,\"services\":[],"
					  "\"routes\":[],\"tenants\":%s}",
					  value);

	return fgp_wire.config_read(text, strlen(text), error);
}

static const struct fg_workspace *find_key(const struct fg_routes *t,
					   const char *key)
{
	struct fg_ws_digest digest;

	g_assert_true(fg_ws_digest(key, &digest));
	return fg_ws_set_find(t->workspaces, &digest);
}

static void test_tenants(void)
{
	static const char text[] =
		"[{\"name\":\"a\",\"apiKeys\":[\"k1\",\"k2\"],\"priority\":2,"
		"\"unit\":\"token_count\",\"plainTokens\":300,\"ratePerS\":"
		"4200.5,\"burst\":9000},"
		"{\"name\":\"b\",\"apiKeys\":[\"k3\"],\"unit\":\"requests\","
		"\"ratePerS\":3,\"burst\":0}]";
	struct fg_routes *t = read_tenants(text, NULL);
	const struct fg_workspace *w = find_key(t, "k2");

	g_assert_nonnull(w);
	g_assert_cmpstr(w->name, ==, "a");
	g_assert_true(w->has_priority);
	g_assert_cmpuint(w->priority, ==, 2);
	g_assert_true(w->in_tokens);
	g_assert_cmpuint(w->plain_tokens, ==, 300);
	g_assert_cmpfloat(w->rate_per_s, ==, 4200.5);
	g_assert_cmpfloat(w->burst, ==, 9000);
	w = find_key(t, "k3");
	g_assert_cmpstr(w->name, ==, "b");
	g_assert_false(w->has_priority);
	g_assert_false(w->in_tokens);
	g_assert_false(fg_ws_is_limited(w));
	g_assert_cmpuint(fg_ws_set_problems(t->workspaces)->len, ==, 0);
	fg_routes_unref(t);
	/* An empty list still asks for a key; nobody has one. */
	t = read_tenants("[]", NULL);
	g_assert_nonnull(t->workspaces);
	g_assert_null(find_key(t, "k1"));
	fg_routes_unref(t);
	t = read_tenants(NULL, NULL);
	g_assert_null(t->workspaces);
	fg_routes_unref(t);
	t = read_tenants("null", NULL);
	g_assert_null(t->workspaces);
	fg_routes_unref(t);
}

/* Guards against a typing error that lets requests without a key through, and
 * keys to endpoints: the configuration before stays in force instead. */
static void test_tenants_not_a_list(void)
{
	static const char *const bad[] = { "{}", "\"a\"", "7", "true",
					   "{\"name\":\"a\"}" };

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		GError *error = NULL;

		g_assert_null(read_tenants(bad[i], &error));
		g_assert_nonnull(strstr(error->message, "tenants"));
		g_error_free(error);
	}
}

/* Guards against a faulty entry that costs other workspaces their keys, or that
 * no log line names. Each value comes between two sound ones. */
static void test_bad_tenants(void)
{
	static const char *const bad[] = {
		"7",
		"null",
		"[]",
		"{}",
		"{\"apiKeys\":[\"k9\"]}",
		"{\"name\":\"\",\"apiKeys\":[\"k9\"]}",
		"{\"name\":7,\"apiKeys\":[\"k9\"]}",
		"{\"name\":\"x\\r\\nY: z\",\"apiKeys\":[\"k9\"]}",
		"{\"name\":\"a\",\"apiKeys\":[\"k9\"]}",
		"{\"name\":\"x\"}",
		"{\"name\":\"x\",\"apiKeys\":[]}",
		"{\"name\":\"x\",\"apiKeys\":\"k9\"}",
		"{\"name\":\"x\",\"apiKeys\":[7]}",
		"{\"name\":\"x\",\"apiKeys\":[\"\"]}",
		"{\"name\":\"x\",\"apiKeys\":[\"k 9\"]}",
		"{\"name\":\"x\",\"apiKeys\":[\"k8\"],\"ratePerS\":\"9\"}",
		"{\"name\":\"x\",\"apiKeys\":[\"k8\"],\"ratePerS\":-1}",
		"{\"name\":\"x\",\"apiKeys\":[\"k8\"],\"burst\":null}",
		"{\"name\":\"x\",\"apiKeys\":[\"k8\"],\"burst\":[1]}",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		g_autofree char *list = g_strdup_printf(
			"[{\"name\":\"a\",\"apiKeys\":[\"k1\"]},%s,"
			"{\"name\":\"b\",\"apiKeys\":[\"k2\"]}]",
			bad[i]);
		struct fg_routes *t = read_tenants(list, NULL);

		g_test_message("%s", bad[i]);
		g_assert_nonnull(t);
		g_assert_cmpstr(find_key(t, "k1")->name, ==, "a");
		g_assert_cmpstr(find_key(t, "k2")->name, ==, "b");
		g_assert_null(find_key(t, "k9"));
		g_assert_cmpuint(fg_ws_set_problems(t->workspaces)->len, ==, 1);
		g_assert_null(strstr(
			fg_ws_set_problems(t->workspaces)->pdata[0], "k9"));
		fg_routes_unref(t);
	}
}

/* Guards against a bad number that counts as 0: the most urgent priority, and
 * requests that cost nothing. */
static void test_bad_tenant_numbers(void)
{
	static const char *const bad[] = { "-1",   "\"1\"",	 "null", "[]",
					   "true", "4294967296", "1e30" };
	static const char *const names[] = { "priority", "plainTokens" };

	for (size_t i = 0; i < G_N_ELEMENTS(bad) * 2; i++) {
		g_autofree char *list = g_strdup_printf(
			"[{\"name\":\"a\",\"apiKeys\":[\"k1\"],\"unit\":"
			"\"token_count\",\"%s\":%s}]",
			names[i % 2], bad[i / 2]);
		struct fg_routes *t = read_tenants(list, NULL);
		const struct fg_workspace *w = find_key(t, "k1");
		const GPtrArray *problems = fg_ws_set_problems(t->workspaces);

		g_test_message("%s", list);
		g_assert_false(w->has_priority);
		g_assert_cmpuint(problems->len, ==, 1);
		g_assert_nonnull(strstr(problems->pdata[0], names[i % 2]));
		fg_routes_unref(t);
	}
}

/* Guards against a key in the log: the message about a syntax error must not
 * quote the text. */
static void test_error_without_key(void)
{
	static const char *const bad[] = {
		"[{\"name\":\"a\",\"apiKeys\":[\"k1\" \"secret\"]}]",
		"[{\"name\":\"a\",\"apiKeys\":[secret]}]",
		"[{\"name\":\"a\",\"apiKeys\":[\"secret]}]",
		"[{\"name\":\"a\",\"apiKeys\":\"secret\"\"\"}]",
		"[{\"name\":\"a\",\"apiKeys\":[\"secret\\q\"]}]",
		"[{\"apiKeys\":[\"k\"],\"secret\" 7}]",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		GError *error = NULL;

		g_assert_null(read_tenants(bad[i], &error));
		g_test_message("%s", error->message);
		g_assert_null(strstr(error->message, "secret"));
		g_assert_nonnull(strstr(error->message, "byte"));
		g_error_free(error);
	}
}

/* Guards against requests that cost nothing because of an unreadable
 * Token-Count: they count as those without it. */
static void test_token_counts(void)
{
	static const struct {
		const char *fields;
		uint32_t cost;
	} cases[] = {
		{ "", 30 },
		{ "Token-Count: 900,80\r\n", 980 },
		{ "Token-Count: 900, 80\r\n", 980 },
		{ "token-count: 900\r\n", 900 },
		{ "Token-Count: 0,0\r\n", 0 },
		{ "Token-Count: 99999999999999999999,1\r\n", UINT32_MAX },
		{ "Token-Count:\r\n", 30 },
		{ "Token-Count: many\r\n", 30 },
		{ "Token-Count: -900,-80\r\n", 30 },
		{ "Token-Count: ,80\r\n", 30 },
	};
	const struct fg_workspace w = { .in_tokens = true, .plain_tokens = 30 };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct request_text q;

		read_request(&q, cases[i].fields, "");
		g_test_message("%s", cases[i].fields);
		g_assert_cmpuint(fg_ws_cost(&w, q.call.has_tokens,
					    q.call.prompt_tokens,
					    q.call.output_tokens),
				 ==, cases[i].cost);
		clear_request(&q);
	}
}

/* ---- Configuration, entries, rows ---- */

static const char config[] =
	"{\"version\":7,\"routes\":["
	"{\"name\":\"r1\",\"host\":\"H.example\",\"prefix\":\"/a/\",\"kind\":"
	"\"streaming\",\"timeoutMs\":12000.0,\"targetLatencyMs\":1000,"
	"\"priority\":1,\"service\":\"s1\",\"maxAttempts\":2,"
	"\"resumable\":true},"
	"{\"name\":\"r2\",\"host\":\"h.example\",\"prefix\":\"/a/b/\",\"kind\":"
	"\"safe\",\"timeoutMs\":800,\"split\":[{\"service\":\"s1\",\"weight\":"
	"90},{\"service\":\"s2\",\"weight\":10}]}],"
	"\"services\":[{\"name\":\"s1\",\"engine\":{\"slots\":64,"
	"\"adapterSlots\":6,\"models\":[{\"name\":\"m\",\"adapters\":3000}]}},"
	"{\"name\":\"s2\",\"healthPath\":\"/health\"}],"
	"\"limits\":{\"maxHeaderBytes\":16384,\"idleTimeoutMs\":15000}}";

static void test_config(void)
{
	GError *error = NULL;
	struct fg_routes *t =
		fgp_wire.config_read(config, strlen(config), &error);
	const struct fg_route *r;
	uint32_t n_second_service = 0;

	g_assert_no_error(error);
	g_assert_cmpuint(t->version, ==, 7);
	g_assert_cmpuint(t->limits.head_max_bytes, ==, 16384);
	r = fg_routes_find(t, "h.EXAMPLE:80", "/a/x?q=/a/b/");
	g_assert_cmpstr(r->name, ==, "r1");
	g_assert_true(r->resumable);
	g_assert_false(r->idempotent);
	g_assert_cmpuint(r->timeout_ms, ==, 12000);
	r = fg_routes_find(t, "h.example", "/a/b/c");
	g_assert_cmpstr(r->name, ==, "r2");
	g_assert_true(r->idempotent);
	for (uint64_t draw = 0; draw < 100; draw++)
		n_second_service += fg_route_choose_service(r, draw);
	g_assert_cmpuint(n_second_service, ==, 10);
	g_assert_null(fg_routes_find(t, "h.example", "/a"));
	g_assert_null(fg_routes_find(t, "other", "/a/"));
	g_assert_null(fg_routes_find(t, "h.example", "/x?/a/"));
	g_assert_nonnull(fg_routes_find(t, "h.example", "http://h/a/y"));
	g_assert_true(((struct fg_svc *)t->services->pdata[0])->engine);
	fg_routes_unref(t);
}

/* Sizes of engines and models: fractions, and values that make no sense. */
static void test_config_sizes(void)
{
	const struct {
		const char *memory;
		const char *weights;
		const char *adapter;
		uint64_t memory_kb;
		uint64_t weights_kb;
		uint64_t adapter_kb;
		bool bad;
	} cases[] = {
		{ "66000", "65500", "150", 66000000, 65500000, 150000, false },
		{ "66000.0009", "65099.99999999999", "12.0001", 66000000,
		  65100000, 12001, false },
		{ "0", "0", "0", 0, 0, 0, false },
		{ "0.0001", "1e-9", "1e-9", 1, 1, 1, false },
		{ "-1", "-0.5", "-1e300", 0, 0, 0, true },
		{ "\"66000\"", "null", "{}", 0, 0, 0, true },
		{ "1e300", "1", "2", FGP_JSON_KB_MAX, 1000, 2000, true },
		{ "10", "1e300", "2", 10000, FGP_JSON_KB_MAX, 2000, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *text = g_strdup_printf(
			"{\"version\":1,\"routes\":[],\"services\":[{\"name\":"
			"\"s\",\"engine\":{\"weightsMb\":%s,\"models\":[{"
			"\"name\":\"m\",\"weightsMb\":%s,\"adapterMb\":%s}]}}"
			"]}",
			cases[i].memory, cases[i].weights, cases[i].adapter);
		struct fg_routes *t =
			fgp_wire.config_read(text, strlen(text), NULL);
		const struct fg_svc *svc;

		g_assert_nonnull(t);
		svc = t->services->pdata[0];
		g_assert_cmpuint(svc->memory_kb, ==, cases[i].memory_kb);
		g_assert_cmpuint(svc->models[0].weights_kb, ==,
				 cases[i].weights_kb);
		g_assert_cmpuint(svc->models[0].adapter_kb, ==,
				 cases[i].adapter_kb);
		g_assert_cmpint(svc->bad_memory, ==, cases[i].bad);
		fg_routes_unref(t);
	}
}

static void test_bad_config(void)
{
	static const char *const bad[] = {
		"",
		"[]",
		"{\"version\":1}",
		"{\"version\":1,\"services\":[]}",
		"{\"services\":[],\"routes\":[{\"name\":\"r\"}]}",
		"{\"services\":[{}],\"routes\":[]}",
		"{\"services\":[],\"routes\":[{\"host\":\"h\",\"prefix\":"
		"\"/\",\"kind\":\"safe\",\"service\":\"none\"}]}",
		"{\"services\":[{\"name\":\"s\"}],\"routes\":[{\"host\":\"h\","
		"\"prefix\":\"x\",\"kind\":\"safe\",\"service\":\"s\"}]}",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		GError *error = NULL;

		g_assert_null(
			fgp_wire.config_read(bad[i], strlen(bad[i]), &error));
		g_assert_nonnull(error);
		g_error_free(error);
	}
}

static void test_entry(void)
{
	static const char text[] =
		"{\"service\":\"s\",\"addr\":\"10.0.0.9:80\",\"zone\":\"z\","
		"\"slots\":64,\"state\":\"ready\",\"born\":123,\"models\":[{"
		"\"name\":\"m\",\"version\":2,\"adapters\":[\"a1@3\",\"a2\"]}]"
		"}";
	static const char *const bad[] = {
		"no",
		"{}",
		"{\"service\":7,\"addr\":\"a\",\"zone\":\"z\",\"state\":"
		"\"ready\"}",
		"{\"service\":\"s\",\"addr\":\"a\",\"zone\":\"z\",\"state\":"
		"\"odd\"}",
	};
	static const struct {
		const char *json;
		const char *software;
	} versions[] = {
		{ "\"v1.1\"", "v1.1" }, { "\"\"", "" },	    { "7", "" },
		{ "null", "" },		{ "[\"v1\"]", "" },
	};
	struct fg_ep_facts facts;
	GError *error = NULL;

	g_assert_true(
		fgp_wire.entry_read("i-1", text, strlen(text), &facts, &error));
	g_assert_cmpuint(facts.born, ==, 123);
	g_assert_cmpuint(facts.n_resident, ==, 3);
	g_assert_cmpstr(facts.resident[1].adapter, ==, "a1");
	g_assert_cmpuint(facts.resident[1].version, ==, 3);
	g_assert_cmpstr(facts.software, ==, "");
	for (size_t i = 0; i < G_N_ELEMENTS(versions); i++) {
		g_autofree char *entry =
			g_strdup_printf("{\"service\":\"s\",\"addr\":"
					"\"10.0.0.9:80\",\"zone\":\"z\","
					"\"state\":\"ready\",\"version\":%s}",
					versions[i].json);

		g_assert_true(fgp_wire.entry_read("i-1", entry, strlen(entry),
						  &facts, &error));
		g_assert_cmpstr(facts.software, ==, versions[i].software);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		g_assert_false(fgp_wire.entry_read(
			"i-1", bad[i], strlen(bad[i]), &facts, &error));
		g_assert_nonnull(error);
		g_clear_error(&error);
	}
}

static void test_rows(void)
{
	static const char text[] =
		"{\"rows\":[{\"table\":\"t\",\"key\":\"k\",\"value\":"
		"\"bm9kZS0x\",\"ver\":4},{\"table\":\"t\",\"key\":\"gone\","
		"\"ver\":5,\"removed\":true},{\"odd\":1}],\"ver\":9,"
		"\"hasMore\":true}";
	struct fg_store_rows rows;
	GError *error = NULL;
	const struct fg_store_row *row;

	g_assert_true(fgp_wire.rows_read(text, strlen(text), &rows, &error));
	g_assert_cmpuint(rows.rows->len, ==, 2);
	row = rows.rows->pdata[0];
	g_assert_cmpstr(row->value, ==, "node-1");
	row = rows.rows->pdata[1];
	g_assert_true(row->removed);
	g_assert_true(rows.more);
	g_assert_cmpuint(rows.version, ==, 9);
	fg_store_rows_clear(&rows);
	g_assert_false(fgp_wire.rows_read("{}", 2, &rows, &error));
	g_clear_error(&error);
	g_assert_false(fgp_wire.rows_read("x", 1, &rows, &error));
	g_clear_error(&error);
}

/* Guards against a row of another part that stands for the one with its key. */
static void test_rows_of_other_parts(void)
{
	static const char text[] =
		"{\"rows\":[{\"table\":\"op\",\"part\":\"draft\",\"key\":"
		"\"config\",\"value\":\"bm9kZS0x\",\"ver\":4},"
		"{\"table\":\"op\",\"part\":\"draft\",\"key\":\"config\","
		"\"ver\":5,\"removed\":true},"
		"{\"table\":\"op\",\"part\":7,\"key\":\"config\",\"ver\":6},"
		"{\"table\":\"op\",\"part\":\"\",\"key\":\"config\","
		"\"value\":\"bm9kZS0x\",\"ver\":7}],\"ver\":9}";
	struct fg_store_rows rows;
	const struct fg_store_row *row;

	g_assert_true(fgp_wire.rows_read(text, strlen(text), &rows, NULL));
	g_assert_cmpuint(rows.rows->len, ==, 1);
	row = rows.rows->pdata[0];
	g_assert_cmpuint(row->version, ==, 7);
	g_assert_cmpuint(rows.version, ==, 9);
	fg_store_rows_clear(&rows);
}

static void test_order(void)
{
	struct fg_wire_order order = { .load = true,
				       .endpoint_id = "i-1",
				       .model = "m",
				       .adapter = "",
				       .expected_sequence = 4,
				       .holder = "n",
				       .fence = 41 };
	struct fg_wire_request call = fgp_wire.order_write("h", &order);

	/* An order for the base model has no adapter field. */
	g_assert_null(strstr(call.head_and_body, "adapter"));
	g_assert_nonnull(strstr(call.head_and_body, "\"fenceToken\":41"));
	g_assert_nonnull(strstr(call.head_and_body, "\"expected\":4"));
	g_free(call.head_and_body);
	order.adapter = "a1";
	order.version = 3;
	call = fgp_wire.order_write("h", &order);
	g_assert_nonnull(strstr(call.head_and_body, "\"adapter\":\"a1\""));
	g_assert_nonnull(strstr(call.head_and_body, "\"version\":3"));
	g_free(call.head_and_body);
	g_assert_cmpint(fgp_wire.order_result(412), ==, FG_WIRE_ORDER_FENCED);
	g_assert_cmpint(fgp_wire.order_result(400), ==, FG_WIRE_ORDER_REFUSED);
}

static void test_report(void)
{
	static const char text[] =
		"{\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":["
		"\"a1@1\"]}],\"busy\":true,\"sequence\":11,\"coming\":["
		"\"m/a2@2\"],\"born\":5}";
	struct fg_engine_report report;
	GError *error = NULL;

	g_assert_true(
		fgp_wire.report_read(text, strlen(text), &report, &error));
	g_assert_true(report.busy);
	g_assert_cmpuint(report.n_loading, ==, 1);
	g_assert_cmpstr(report.loading[0].adapter, ==, "a2");
	g_assert_cmpuint(report.loading[0].version, ==, 2);
	g_assert_false(fgp_wire.report_read("{}", 2, &report, &error));
	g_clear_error(&error);
}

/* ---- Events ---- */

static void test_events(void)
{
	struct fg_events e;
	gssize n;

	fg_events_init(&e);
	n = fg_events_feed(&e, "id: 4\ndata: x\n\nid: 5\nda", 23);
	g_assert_cmpint(n, ==, 15);
	g_assert_cmpuint(e.last_id, ==, 4);
	fg_events_consume(&e, (size_t)n);
	n = fg_events_feed(&e, "ta: y\r\n\r\n", 9);
	g_assert_cmpuint(e.last_id, ==, 5);
	fg_events_consume(&e, (size_t)n);
	g_assert_cmpuint(e.partial->len, ==, 0);
	g_assert_cmpuint(e.n_complete, ==, 2);
	/* A partial event is dropped when another endpoint resumes. */
	fg_events_feed(&e, "id: 6\n", 6);
	fg_events_drop_partial(&e);
	g_assert_cmpuint(e.last_id, ==, 5);
	fg_events_clear(&e);
}

/* Text that is no event of the stream, or of an earlier part of it, does not
 * get into a stream that another endpoint continues. */
static void test_events_continued(void)
{
	static const struct {
		const char *text;
		const char *passes;
	} next[] = {
		{ "id: 3\ndata: c\n\nid: 4\ndata: d\n\n",
		  "id: 3\ndata: c\n\nid: 4\ndata: d\n\n" },
		{ "id: 5\ndata: e\n\n", "id: 5\ndata: e\n\n" },
		{ ": alive\n\nid: 3\ndata: c\n\n",
		  ": alive\n\nid: 3\ndata: c\n\n" },
		{ "id: 1\ndata: a\n\nid: 3\ndata: c\n\n", "" },
		{ "id: 2\ndata: b\n\n", "" },
		{ "id: 3\ndata: c\n\nid: 3\ndata: c\n\n",
		  "id: 3\ndata: c\n\n" },
		{ "id: 3\ndata: c\n\nan error\n\nid: 4\n\n",
		  "id: 3\ndata: c\n\n" },
		{ "an error\n\n", "" },
		{ "id: -3\ndata: c\n\n", "" },
		{ "id: x\ndata: c\n\n", "" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(next); i++) {
		size_t len = strlen(next[i].passes);
		struct fg_events e;

		fg_events_init(&e);
		g_assert_cmpint(fg_events_feed(&e, "id: 1\n\nid: 2\n\nid:", 17),
				==, 14);
		fg_events_consume(&e, 14);
		fg_events_drop_partial(&e);
		g_assert_cmpint(
			fg_events_feed(&e, next[i].text, strlen(next[i].text)),
			==, (gssize)len);
		g_assert_cmpmem(e.partial->str, len, next[i].passes, len);
		g_assert_true(e.broken == (len < strlen(next[i].text)));
		fg_events_clear(&e);
	}
}

/* Nor does text of another answer get into a stream that breaks nowhere. */
static void test_events_mixed(void)
{
	static const struct {
		const char *text;
		size_t passes; /* bytes */
	} cases[] = {
		{ "id: 1\n\nid: 1\n\n", 7 },
		{ "id: 5\n\nid: 4\n\n", 7 },
		{ "id: 0\n\nid: 1\n\n", 14 },
		{ "id: 1\n\ndata: no id\n\nid: 2\n\n", 27 },
		{ "data: a\n\ndata: a\n\n", 18 },
		{ "id: 1\n\nHTTP/1.1 200 OK\r\nA: b\r\n\r\nid: 2\n\n", 7 },
		{ "HTTP/1.1 200 OK\r\n\r\n", 0 },
		{ "data: HTTP/1.1 200 OK\n\n", 23 },
		{ "id: 1\ndata: pieHTTP/1.1 200 OK\r\ncontent-type: t\r\n\r\n",
		  0 },
		{ "id: 1\ndaHTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", 0 },
		{ "weight-versions: 3\nid: 1\n\n", 26 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fg_events e;
		size_t len = strlen(cases[i].text);

		fg_events_init(&e);
		g_assert_cmpint(fg_events_feed(&e, cases[i].text, len), ==,
				(gssize)cases[i].passes);
		g_assert_true(e.broken == (cases[i].passes < len));
		fg_events_clear(&e);
	}
}

/* The same where the caller has the earlier part. */
static void test_events_continue_after(void)
{
	struct fg_events e;

	fg_events_init(&e);
	fg_events_continue_after(&e, 12);
	g_assert_cmpint(fg_events_feed(&e, "id: 13\n\n", 8), ==, 8);
	fg_events_consume(&e, 8);
	g_assert_false(e.broken);
	g_assert_cmpint(fg_events_feed(&e, "id: 13\n\n", 8), ==, 0);
	g_assert_true(e.broken);
	fg_events_clear(&e);
}

static void test_event_too_large(void)
{
	struct fg_events e;
	char *big = g_strnfill(FG_EVENT_MAX_BYTES + 1, 'x');

	fg_events_init(&e);
	g_assert_cmpint(fg_events_feed(&e, big, strlen(big)), ==, -1);
	fg_events_clear(&e);
	g_free(big);
}

/* ---- Packets between instances ---- */

static void test_packets(void)
{
	fg_mesh_packet packet = { .format = FG_MESH_FORMAT,
				  .incarnation = 77,
				  .body.kind = FG_MESH_LOAD_REQ };
	fg_mesh_packet decoded;
	char buf[FG_MESH_PACKET_BYTES];
	struct fg_rand rand;
	size_t len;

	packet.body.fg_mesh_body_u.load_req.model = (char *)"m";
	packet.body.fg_mesh_body_u.load_req.adapter = (char *)"a1";
	g_assert_true(fg_mesh_encode(&packet, buf, sizeof(buf), &len));
	g_assert_true(fg_mesh_decode(buf, len, &decoded));
	g_assert_cmpstr(decoded.body.fg_mesh_body_u.load_req.adapter, ==, "a1");
	fg_mesh_clear(&decoded);
	g_assert_false(fg_mesh_decode(buf, len - 1, &decoded));
	g_assert_false(fg_mesh_encode(&packet, buf, 10, &len));
	fg_rand_seed(&rand, 1);
	for (int i = 0; i < 2000; i++) {
		for (size_t k = 0; k < 64; k++)
			buf[k] = (char)fg_rand_next(&rand);
		if (fg_mesh_decode(buf, 64, &decoded))
			fg_mesh_clear(&decoded);
	}
}

static void test_peers(void)
{
	struct fg_peer_row self = { .incarnation = 1 };
	struct fg_peer_row row;
	struct fg_peers *p;
	fg_mesh_heartbeat hb = { .state = FG_MESH_READY };
	char *text;

	g_strlcpy(self.name, "a", sizeof(self.name));
	g_strlcpy(self.region, "r", sizeof(self.region));
	p = fg_peers_new(&self);
	g_assert_true(
		fg_peer_row_parse("b", "0a r d 10.0.0.1:1 10.0.0.1:2", &row));
	text = fg_peer_row_format(&row);
	g_assert_cmpstr(text, ==, "000000000000000a r d 10.0.0.1:1 10.0.0.1:2");
	g_free(text);
	g_assert_false(fg_peer_row_parse("b", "0a r d", &row));
	g_assert_false(fg_peer_row_parse("b", "0a r d x y", &row));
	g_assert_true(
		fg_peer_row_parse("b", "0a r d 10.0.0.1:1 10.0.0.1:2", &row));
	fg_peers_put(p, 1000, &row);
	/* An instance is not ready before its first heartbeat. */
	g_assert_false(fg_peer_is_ready(fg_peers_find(p, 10), 1000));
	fg_peers_on_heartbeat(p, 1100, 10, 1, &hb);
	g_assert_true(fg_peer_is_ready(fg_peers_find(p, 10), 1200));
	g_assert_false(fg_peer_is_ready(fg_peers_find(p, 10),
					1100 + FG_PEER_TIMEOUT_MS));
	/* A heartbeat that arrives late does not replace a newer state. */
	hb.state = FG_MESH_LEAVING;
	fg_peers_on_heartbeat(p, 1300, 10, 3, &hb);
	hb.state = FG_MESH_READY;
	fg_peers_on_heartbeat(p, 1300, 10, 2, &hb);
	g_assert_false(fg_peer_is_ready(fg_peers_find(p, 10), 1300));
	/* Heartbeats of an earlier incarnation do not count for a new one. */
	row.incarnation = 11;
	fg_peers_put(p, 1400, &row);
	g_assert_null(fg_peers_find(p, 10));
	g_assert_false(fg_peer_is_alive(fg_peers_find(p, 11), 1400));
	fg_peers_free(p);
}

/* Answers of the store can overtake each other. */
static void test_older_instance_row(void)
{
	struct fg_peer_row self = { .name = "me", .incarnation = 1 };
	struct fg_peer_row row = { .name = "other",
				   .incarnation = 11,
				   .version = 20 };
	struct fg_peers *p = fg_peers_new(&self);

	fg_peers_put(p, 1000, &row);
	row.incarnation = 10;
	row.version = 19;
	fg_peers_put(p, 1100, &row);
	g_assert_nonnull(fg_peers_find(p, 11));
	g_assert_null(fg_peers_find(p, 10));
	fg_peers_free(p);
}

/* A heartbeat that took longer than others makes its contents older. */
static void test_heartbeat_delay(void)
{
	struct fg_peer_row self = { .name = "me", .incarnation = 1 };
	struct fg_peer_row row = { .name = "other", .incarnation = 10 };
	fg_mesh_heartbeat hb = { .state = FG_MESH_READY };
	struct fg_peers *p = fg_peers_new(&self);
	struct fg_mesh_peer *peer;

	fg_peers_put(p, 1000, &row);
	/* The other clock is far behind. */
	hb.store.sent_at = 40;
	peer = fg_peers_on_heartbeat(p, 1100, 10, 1, &hb);
	g_assert_cmpint(peer->excess_delay_ms, ==, 0);
	g_assert_cmpint(peer->unproven_since, ==, 1100);
	hb.store.sent_at = 290;
	hb.store.proves = true;
	fg_peers_on_heartbeat(p, 2050, 10, 2, &hb);
	g_assert_cmpint(peer->excess_delay_ms, ==, 700);
	g_assert_cmpint(peer->unproven_since, ==, 0);
	hb.store.sent_at = 2000;
	fg_peers_on_heartbeat(p, 3050, 10, 3, &hb);
	g_assert_cmpint(peer->excess_delay_ms, ==, 0);
	/* Over days, clocks that drift apart do not look like delays. */
	for (uint32_t i = 1; i <= 300; i++) {
		fg_ms passed_ms = (fg_ms)i * 1000000;

		hb.store.sent_at = 2000 + (uint64_t)passed_ms;
		fg_peers_on_heartbeat(p, 3050 + passed_ms + passed_ms / 10000,
				      10, 3 + i, &hb);
		g_assert_cmpint(peer->excess_delay_ms, ==, 0);
	}
	fg_peers_free(p);
}

/* ---- Settings ---- */

#define VALID_SETTINGS                                                         \
	"name: n\nregion: r\ndc: d\nfront: 10.0.0.1:1\nready: 10.0.0.1:2\n"    \
	"directory: 10.0.0.1:3\nmesh: 10.0.0.1:4\nstore: 10.0.0.2:5\n"         \
	"retry_ratio: 0.2\nretry_slack: 58\nstop_grace_s: 8\n"                 \
	"data_centres:\n  - name: d\n    region: r\n"

static void test_settings(void)
{
	GError *error = NULL;
	struct fg_gwconf *c = fg_gwconf_parse("f", VALID_SETTINGS, &error);

	g_assert_no_error(error);
	g_assert_cmpuint(c->retry_percent, ==, 20);
	g_assert_cmpuint(c->stop_grace_ms, ==, 8000);
	g_assert_cmpuint(c->turn_ms, ==, 3000);
	g_assert_false(c->fences_checked);
	g_assert_cmpuint(c->caller_memory_bytes, ==, 64 * 1024 * 1024);
	g_assert_cmpuint(c->read_timeout_ms, ==, 60000);
	g_assert_cmpstr(fg_gwconf_region(c, "d"), ==, "r");
	g_assert_cmpstr(fg_gwconf_region(c, "unknown"), ==, "unknown");
	fg_gwconf_free(c);
	c = fg_gwconf_parse("f",
			    VALID_SETTINGS "turn_ms: 5000\n"
					   "fences_checked: true\n",
			    &error);
	g_assert_no_error(error);
	g_assert_cmpuint(c->turn_ms, ==, 5000);
	g_assert_true(c->fences_checked);
	fg_gwconf_free(c);
}

static void check_bad_settings(const char *extra, const char *word)
{
	char *text = g_strconcat(VALID_SETTINGS, extra, NULL);
	GError *error = NULL;

	g_assert_null(fg_gwconf_parse("f", text, &error));
	g_assert_nonnull(strstr(error->message, word));
	g_error_free(error);
	g_free(text);
}

static void test_bad_settings(void)
{
	GError *error = NULL;

	check_bad_settings("retri: 1\n", "retri");
	check_bad_settings("metrics: host:1\n", "metrics");
	check_bad_settings("lookup_ttl_s: soon\n", "lookup_ttl_s");
	check_bad_settings("log_level: loud\n", "log_level");
	check_bad_settings("version_ms: -4\n", "version_ms");
	check_bad_settings("turn_ms: long\n", "turn_ms");
	check_bad_settings("fences_checked: maybe\n", "fences_checked");
	check_bad_settings("caller_memory_mb: 0.5\n", "caller_memory_mb");
	check_bad_settings("caller_memory_mb: 4096\n", "caller_memory_mb");
	check_bad_settings("read_timeout_s: 0\n", "read_timeout_s");
	check_bad_settings("lookup_connections_max: many\n",
			   "lookup_connections_max");
	g_assert_null(fg_gwconf_parse("f", "name: n\n", &error));
	g_clear_error(&error);
	g_assert_null(fg_gwconf_load("/nonexistent/file", &error));
	g_clear_error(&error);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/h1/pipelined", test_pipelined);
	g_test_add_func("/h1/bad", test_bad_requests);
	g_test_add_func("/h1/bad_status", test_bad_status);
	g_test_add_func("/h1/endless_framing", test_endless_framing);
	g_test_add_func("/h1/no_length", test_answer_without_length);
	g_test_add_func("/h1/hop", test_hop_by_hop_fields);
	g_test_add_func("/platform/system_fields", test_system_fields);
	g_test_add_func("/platform/leaving_and_pause", test_leaving_and_pause);
	g_test_add_func("/platform/brittle", test_brittle);
	g_test_add_func("/platform/era", test_era);
	g_test_add_func("/platform/credential", test_credential);
	g_test_add_func("/platform/credential_repeated",
			test_credential_repeated);
	g_test_add_func("/platform/key_not_forwarded", test_key_not_forwarded);
	g_test_add_func("/platform/spaces_in_names", test_spaces_in_names);
	g_test_add_func("/platform/key_in_trailer", test_key_in_trailer);
	g_test_add_func("/platform/trailer_is_no_credential",
			test_trailer_is_no_credential);
	g_test_add_func("/platform/identity_passes_unchanged",
			test_identity_passes_unchanged);
	g_test_add_func("/platform/tenants", test_tenants);
	g_test_add_func("/platform/tenants_not_a_list",
			test_tenants_not_a_list);
	g_test_add_func("/platform/bad_tenants", test_bad_tenants);
	g_test_add_func("/platform/bad_tenant_numbers",
			test_bad_tenant_numbers);
	g_test_add_func("/platform/error_without_key", test_error_without_key);
	g_test_add_func("/platform/token_counts", test_token_counts);
	g_test_add_func("/platform/config", test_config);
	g_test_add_func("/platform/bad_config", test_bad_config);
	g_test_add_func("/platform/config_sizes", test_config_sizes);
	g_test_add_func("/platform/entry", test_entry);
	g_test_add_func("/platform/rows", test_rows);
	g_test_add_func("/platform/rows_of_other_parts",
			test_rows_of_other_parts);
	g_test_add_func("/platform/order", test_order);
	g_test_add_func("/platform/report", test_report);
	g_test_add_func("/events/split", test_events);
	g_test_add_func("/events/continued", test_events_continued);
	g_test_add_func("/events/mixed", test_events_mixed);
	g_test_add_func("/events/continue_after", test_events_continue_after);
	g_test_add_func("/events/too_large", test_event_too_large);
	g_test_add_func("/mesh/packets", test_packets);
	g_test_add_func("/mesh/peers", test_peers);
	g_test_add_func("/mesh/older_instance_row", test_older_instance_row);
	g_test_add_func("/mesh/heartbeat_delay", test_heartbeat_delay);
	g_test_add_func("/gwconf/good", test_settings);
	g_test_add_func("/gwconf/bad", test_bad_settings);
	return g_test_run();
}
