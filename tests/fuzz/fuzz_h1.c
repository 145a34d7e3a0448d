/*
 * Fuzzes the HTTP/1 parser and the parsers of heads and event streams. The
 * first byte selects requests of callers or replies of endpoints (bit 0) and
 * the size of the pieces that the rest is fed in. Several messages may follow
 * each other.
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
