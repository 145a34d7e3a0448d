/* Heads and bodies of callers and endpoints, in pieces, with what follows. */
#include <stdint.h>
#include <string.h>

#include "fgp_wire.h"
#include "gateway/fg_events.h"
#include "h1/fg_h1.h"

#define HEAD_MAX_BYTES 1024
#define BODY_MAX_BYTES 2048

struct seen {
	struct fg_events events;
	bool requests;
};

static bool on_head(void *ctx, const struct fg_h1_head *head)
{
	const struct seen *s = ctx;
	struct fg_send send = { .has_body = true };
	struct fg_wire_reply reply;
	struct fg_lookup lookup;
	struct fg_call call;
	GString *out;

	if (!s->requests) {
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
	struct seen *s = ctx;
	gssize n = fg_events_feed(&s->events, data, len);

	if (n > 0)
		fg_events_consume(&s->events, (size_t)n);
}

static void on_end(void *ctx)
{
	(void)ctx;
}

static const struct fg_h1_ops ops = { on_head, on_body, on_end };

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct seen s = { 0 };
	struct fg_h1 h;
	size_t at = 1;
	size_t piece;

	if (size < 2)
		return 0;
	s.requests = (data[0] & 1) != 0;
	piece = 1 + (data[0] >> 1);
	fg_events_init(&s.events);
	fg_h1_init(&h, s.requests, &ops, &s, HEAD_MAX_BYTES, BODY_MAX_BYTES);
	while (at < size && h.fault == FG_H1_OK) {
		size_t n = size - at < piece ? size - at : piece;

		at += fg_h1_feed(&h, (const char *)data + at, n);
		if (h.ended)
			fg_h1_next(&h);
	}
	fg_h1_eof(&h);
	fg_h1_clear(&h);
	fg_events_clear(&s.events);
	return 0;
}
