/*
 * Fuzzes the HTTP/1 parser and the parsers of heads and event streams. The
 * first byte selects requests of callers or replies of endpoints (bit 0) and
 * the size of the pieces that the rest is fed in. Several messages may follow
 * each other. The first of them is read byte by byte as well, with the same
 * result, and once more after it was written out.
 */
#include <stdint.h>
#include <string.h>

#include "fgp_wire.h"
#include "gateway/fg_events.h"
#include "h1/fg_h1.h"

#define HEAD_MAX_BYTES 1024
#define BODY_MAX_BYTES 2048

struct parse_state {
	struct fg_events events;
	const struct fg_h1_head *head;
	bool is_request;
};

#define WORKSPACE "w"

/* Aborts when a line of a head, with this name, identifies a caller. */
static void check_line(const char *line, size_t len)
{
	static const char own[] = "Tenant: " WORKSPACE;
	static const char *const names[] = { "authorization",
					     "proxy-authorization", "tenant" };

	if (len == sizeof(own) - 1 && memcmp(line, own, len) == 0)
		return;
	while (len > 0 && (*line == ' ' || *line == '\t')) {
		line++;
		len--;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		size_t n = strlen(names[i]);

		if (len <= n || g_ascii_strncasecmp(line, names[i], n) != 0)
			continue;
		while (n < len && (line[n] == ' ' || line[n] == '\t'))
			n++;
		g_assert(n == len || line[n] != ':');
	}
}

/* No key, and no workspace that the caller states, may be forwarded from the
 * head or the trailer of a request. */
static void check_identified(const struct fg_h1_head *head)
{
	const struct fg_send_params send = { .identified = true,
					     .workspace = WORKSPACE };
	GString *out = g_string_new(NULL);
	struct fg_ws_digest digest;
	struct fg_call call;
	size_t at;

	fgp_wire.call_read(head, &call);
	if (call.credential != NULL)
		(void)fg_ws_digest(call.credential, &digest);
	fg_call_clear(&call);
	fgp_wire.call_write(out, head, &send);
	/* The first line may hold any target. */
	for (at = strcspn(out->str, "\n"); at < out->len;) {
		size_t len = strcspn(out->str + at, "\r\n");

		check_line(out->str + at, len);
		at += len + 1;
	}
	g_string_free(out, TRUE);
}

static bool on_head(void *ctx, const struct fg_h1_head *head)
{
	struct parse_state *s = ctx;
	struct fg_send_params send = { .has_body = true };
	struct fg_wire_reply reply;
	struct fg_lookup lookup;
	struct fg_call call;
	GString *out;

	s->head = head;
	if (!s->is_request) {
		fgp_wire.reply_read(head, &reply);
		return true;
	}
	out = g_string_new(NULL);
	fgp_wire.call_read(head, &call);
	fgp_wire.call_write(out, head, &send);
	if (fgp_wire.is_lookup(head, &lookup))
		fg_lookup_clear(&lookup);
	fg_call_clear(&call);
	g_string_free(out, TRUE);
	return true;
}

static void on_body(void *ctx, const char *data, size_t len)
{
	struct parse_state *s = ctx;
	gssize n = fg_events_feed(&s->events, data, len);

	if (n > 0)
		fg_events_consume(&s->events, (size_t)n);
}

static void on_end(void *ctx)
{
	const struct parse_state *s = ctx;

	if (s->is_request)
		check_identified(s->head);
}

static const struct fg_h1_ops ops = { on_head, on_body, on_end };

/* ---- One message, read in several ways ---- */

struct message {
	struct fg_h1 h;
	GString *body;
	bool ended;
};

static bool accept_head(void *ctx, const struct fg_h1_head *head)
{
	(void)ctx;
	(void)head;
	return true;
}

static void append_body(void *ctx, const char *data, size_t len)
{
	struct message *m = ctx;

	g_string_append_len(m->body, data, (gssize)len);
}

static const struct fg_h1_ops message_ops = { .on_head = accept_head,
					      .on_body = append_body };

static void read_message(struct message *m, bool request, const char *data,
			 size_t size, size_t piece_bytes)
{
	size_t at = 0;

	m->body = g_string_new(NULL);
	fg_h1_init(&m->h, request, &message_ops, m, HEAD_MAX_BYTES,
		   BODY_MAX_BYTES);
	while (at < size && !m->h.ended && m->h.fault == FG_H1_OK)
		at += fg_h1_feed(&m->h, data + at, MIN(piece_bytes, size - at));
	m->ended = m->h.ended || fg_h1_eof(&m->h);
}

static void clear_message(struct message *m)
{
	fg_h1_clear(&m->h);
	g_string_free(m->body, TRUE);
}

static bool is_framing(const char *name)
{
	return g_ascii_strcasecmp(name, "Content-Length") == 0 ||
	       g_ascii_strcasecmp(name, "Transfer-Encoding") == 0;
}

/* Returns the lines of the head, without those that frame the body. */
static GString *write_fields(const struct fg_h1_head *head)
{
	GString *out = g_string_new(NULL);

	for (uint32_t i = 0; i < head->n_head_fields; i++) {
		if (!is_framing(fg_h1_field_name(head, i)))
			g_string_append_printf(out, "%s: %s\r\n",
					       fg_h1_field_name(head, i),
					       fg_h1_field_value(head, i));
	}
	return out;
}

static GString *write_message(const struct message *m, bool request)
{
	const struct fg_h1_head *head = &m->h.head;
	GString *fields = write_fields(head);
	GString *out = g_string_new(NULL);

	if (request)
		g_string_printf(out, "%s %s HTTP/1.1\r\n",
				http_method_str((enum http_method)head->method),
				fg_h1_target(head));
	else
		g_string_printf(out, "HTTP/1.1 %u X\r\n", head->status);
	g_string_append_len(out, fields->str, (gssize)fields->len);
	g_string_free(fields, TRUE);
	if (head->chunked)
		g_string_append(out, "Transfer-Encoding: chunked\r\n");
	else if (head->length_bytes >= 0)
		g_string_append_printf(
			out, "Content-Length: %" G_GINT64_FORMAT "\r\n",
			(gint64)head->length_bytes);
	g_string_append(out, "\r\n");
	if (head->chunked && m->body->len > 0)
		g_string_append_printf(out, "%zx\r\n", m->body->len);
	g_string_append_len(out, m->body->str, (gssize)m->body->len);
	if (head->chunked)
		g_string_append(out, m->body->len > 0 ? "\r\n0\r\n\r\n"
						      : "0\r\n\r\n");
	return out;
}

static void assert_same(const struct message *a, const struct message *b)
{
	GString *fields_a = write_fields(&a->h.head);
	GString *fields_b = write_fields(&b->h.head);

	g_assert_true(g_string_equal(fields_a, fields_b));
	g_assert_true(g_string_equal(a->body, b->body));
	g_assert_cmpuint(a->h.head.status, ==, b->h.head.status);
	g_assert_cmpuint(a->h.head.method, ==, b->h.head.method);
	g_assert_cmpint(a->h.head.chunked, ==, b->h.head.chunked);
	g_assert_cmpint(a->h.head.length_bytes, ==, b->h.head.length_bytes);
	g_string_free(fields_a, TRUE);
	g_string_free(fields_b, TRUE);
}

static void check_message(bool request, const char *data, size_t size)
{
	struct message whole;
	struct message bytes;

	read_message(&whole, request, data, size, size);
	read_message(&bytes, request, data, size, 1);
	g_assert_cmpint(whole.h.fault, ==, bytes.h.fault);
	g_assert_cmpint(whole.h.rule, ==, bytes.h.rule);
	g_assert_cmpuint(whole.h.fault_at, ==, bytes.h.fault_at);
	g_assert_cmpint(whole.ended, ==, bytes.ended);
	if (whole.ended) {
		struct message again;
		GString *text = write_message(&whole, request);

		assert_same(&whole, &bytes);
		read_message(&again, request, text->str, text->len, text->len);
		g_assert_true(again.ended);
		assert_same(&whole, &again);
		clear_message(&again);
		g_string_free(text, TRUE);
	}
	clear_message(&bytes);
	clear_message(&whole);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct parse_state s = { 0 };
	struct fg_h1 h;
	size_t offset = 1;
	size_t piece_bytes;

	if (size < 2)
		return 0;
	s.is_request = (data[0] & 1) != 0;
	piece_bytes = 1 + (data[0] >> 1);
	check_message(s.is_request, (const char *)data + 1, size - 1);
	fg_events_init(&s.events);
	fg_h1_init(&h, s.is_request, &ops, &s, HEAD_MAX_BYTES, BODY_MAX_BYTES);
	while (offset < size && h.fault == FG_H1_OK) {
		size_t n = size - offset < piece_bytes ? size - offset
						       : piece_bytes;

		offset += fg_h1_feed(&h, (const char *)data + offset, n);
		if (h.ended)
			fg_h1_reset(&h);
	}
	fg_h1_eof(&h);
	fg_h1_clear(&h);
	fg_events_clear(&s.events);
	return 0;
}
