/*
 * Fuzzes requests of callers, and the decisions that their numbers go into:
 * cost against a limit, and tokens pending at an endpoint. The input is the
 * fields of two requests, separated by an empty line.
 */
#include <assert.h>
#include <stdint.h>
#include <string.h>

#include "fgp_wire.h"
#include "fleet/fg_fleet.h"
#include "workspace/fg_workspace.h"

#define CALLS_MAX 2
#define HEAD_MAX_BYTES 8192

static bool on_head(void *ctx, const struct fg_h1_head *head)
{
	(void)ctx;
	(void)head;
	return false;
}

static void on_body(void *ctx, const char *data, size_t len)
{
	(void)ctx;
	(void)data;
	(void)len;
}

static const struct fg_h1_ops h1_ops = { .on_head = on_head,
					 .on_body = on_body };

static bool read_call(const char *fields, struct fg_call *out)
{
	g_autofree char *text = g_strdup_printf(
		"POST / HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n", fields);
	struct fg_h1 h;
	bool ok;

	fg_h1_init(&h, true, &h1_ops, NULL, HEAD_MAX_BYTES, HEAD_MAX_BYTES);
	fg_h1_feed(&h, text, strlen(text));
	ok = h.ended && fgp_wire.call_read(&h.head, out);
	fg_h1_clear(&h);
	return ok;
}

static void decide(const struct fg_call *calls, size_t n)
{
	const struct fg_workspace w = { .in_tokens = true, .plain_tokens = 30 };
	struct fg_fleet_ep ep = { .slowness = 1.0 };

	for (size_t i = 0; i < n; i++) {
		const struct fg_call *c = &calls[i];
		uint64_t before = ep.pending_tokens;

		assert(fg_ws_cost(&w, c->has_tokens, c->prompt_tokens,
				  c->output_tokens) >=
		       (c->has_tokens ? c->prompt_tokens : 0));
		ep.pending_tokens += c->prompt_tokens;
		assert(ep.pending_tokens >= before);
	}
	for (size_t i = 0; i < n; i++) {
		assert(ep.pending_tokens >= calls[i].prompt_tokens);
		ep.pending_tokens -= calls[i].prompt_tokens;
	}
	assert(ep.pending_tokens == 0);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	g_autofree char *text = g_strndup((const char *)data, size);
	g_auto(GStrv) parts = g_strsplit(text, "\n\n", CALLS_MAX);
	struct fg_call calls[CALLS_MAX];
	size_t n = 0;

	for (char **part = parts; *part != NULL; part++) {
		if (read_call(*part, &calls[n]))
			n++;
	}
	decide(calls, n);
	while (n > 0)
		fg_call_clear(&calls[--n]);
	return 0;
}
