/*
 * Fuzzes the memory of several callers whose requests arrive in turn. Each
 * piece of the input is preceded by two bytes: the caller that sends it, with
 * what happens besides (bits 2 to 4), and its length.
 */
#include <stdint.h>

#include "h1/fg_h1.h"
#include "memory/fg_memory.h"

#define CALLERS 4
#define HEAD_MAX_BYTES 1024
#define BODY_MAX_BYTES 8192
#define LIMIT_BYTES 16384
#define REQUESTS_MAX_BYTES (LIMIT_BYTES / 8 * 5)
#define STEP_MS 100

struct caller {
	struct fg_memory *memory;
	struct fg_memory_holder holder;
	struct fg_h1 h1;
	GByteArray *body;
	fg_ms *now;
};

static void drop(struct caller *c)
{
	fg_h1_reset(&c->h1);
	g_byte_array_set_size(c->body, 0);
	g_assert(fg_memory_ask(c->memory, &c->holder, 0, *c->now) == NULL);
	c->holder.reading = true;
}

/* Drops answers that are not read. */
static bool make_room(struct caller *c, uint64_t more)
{
	struct fg_memory_holder *loser;

	while (fg_memory_exceeds(c->memory, more)) {
		loser = fg_memory_choose_unread(c->memory, *c->now);
		if (loser == NULL)
			return false;
		fg_memory_set_unread(c->memory, loser, 0, *c->now);
	}
	return true;
}

/* Returns whether the caller may hold that much; others are dropped for it. */
static bool ask(struct caller *c, uint64_t bytes)
{
	uint64_t held = c->holder.request_bytes;
	struct fg_memory_holder *loser;

	if (bytes > held && !make_room(c, bytes - held))
		return false;
	while ((loser = fg_memory_ask(c->memory, &c->holder, bytes, *c->now)) !=
	       NULL) {
		if (loser == &c->holder)
			return false;
		g_assert(loser->reading);
		drop(loser->owner);
	}
	return true;
}

static bool on_head(void *ctx, const struct fg_h1_head *head)
{
	(void)ctx;
	(void)head;
	return true;
}

static void on_body(void *ctx, const char *data, size_t len)
{
	struct caller *c = ctx;

	fg_memory_note_received(&c->holder, len, *c->now);
	if (ask(c, c->body->len + len))
		g_byte_array_append(c->body, (const guint8 *)data, (guint)len);
}

static void on_end(void *ctx)
{
	struct caller *c = ctx;

	c->holder.reading = false;
}

static const struct fg_h1_ops ops = { on_head, on_body, on_end };

static void check_sums(const struct fg_memory *m, const struct caller *callers)
{
	uint64_t requests = 0;
	uint64_t collected = 0;
	uint64_t unread = m->flushing_bytes;

	for (int i = 0; i < CALLERS; i++) {
		requests += callers[i].holder.request_bytes;
		collected += callers[i].holder.collected_bytes;
		unread += callers[i].holder.unread_bytes;
	}
	g_assert(m->request_bytes == requests);
	g_assert(m->collected_bytes == collected);
	g_assert(m->unread_bytes == unread);
	g_assert(requests <= REQUESTS_MAX_BYTES);
	g_assert(requests + collected + unread <= LIMIT_BYTES);
}

static void step(struct caller *c, uint8_t what, const uint8_t *data, size_t n)
{
	struct fg_memory *m = c->memory;

	if (!c->h1.ended && c->h1.fault == FG_H1_OK)
		fg_h1_feed(&c->h1, (const char *)data, n);
	if (what == 1 || c->h1.fault != FG_H1_OK)
		drop(c);
	else if (what == 2 && !fg_memory_exceeds(m, n * 16))
		fg_memory_set_unread(m, &c->holder, n * 16, *c->now);
	else if (what == 3)
		fg_memory_set_unread(m, &c->holder, 0, *c->now);
	else if (what == 4 && fg_memory_may_collect(m, n * 16) &&
		 make_room(c, n * 16))
		fg_memory_set_collected(m, &c->holder, n * 16);
	else if (what == 5)
		(void)fg_memory_choose_unread(m, *c->now);
	*c->now += (what & 1) * STEP_MS;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct fg_memory m;
	struct caller callers[CALLERS];
	fg_ms now = 1000;

	fg_memory_init(&m, LIMIT_BYTES);
	for (int i = 0; i < CALLERS; i++) {
		struct caller *c = &callers[i];

		c->memory = &m;
		c->now = &now;
		c->body = g_byte_array_new();
		fg_memory_open(&m, &c->holder, c);
		fg_h1_init(&c->h1, true, &ops, c, HEAD_MAX_BYTES,
			   BODY_MAX_BYTES);
	}
	while (size > 2) {
		size_t n = MIN((size_t)data[1], size - 2);

		step(&callers[data[0] % CALLERS], (data[0] >> 2) & 7, data + 2,
		     n);
		check_sums(&m, callers);
		data += 2 + n;
		size -= 2 + n;
	}
	for (int i = 0; i < CALLERS; i++) {
		fg_memory_close(&m, &callers[i].holder);
		fg_h1_clear(&callers[i].h1);
		g_byte_array_unref(callers[i].body);
	}
	g_assert(fg_memory_held_bytes(&m) == 0);
	fg_memory_clear(&m);
	return 0;
}
