/*
 * Limits per caller: token buckets, the longest idle one forgotten first.
 *
 * A bucket that was idle for BURST_S is full again, so forgetting it changes
 * nothing. Forgetting a younger one grants its caller one burst too many.
 */
#include "admit/fg_admit.h"

#include <glib.h>

#define BURST_S 2
#define MILLI 1000 /* a request is this many units of a bucket */

struct bucket {
	GList link; /* in fg_limits.idle, longest idle first */
	char *caller;
	int64_t milli;
	fg_ms last;
};

struct fg_limits {
	uint32_t max_callers;
	GHashTable *buckets; /* caller -> bucket */
	GQueue idle;
};

static void bucket_free(gpointer data)
{
	struct bucket *b = data;

	g_free(b->caller);
	g_free(b);
}

struct fg_limits *fg_limits_new(uint32_t max_callers)
{
	struct fg_limits *l = g_new0(struct fg_limits, 1);

	l->max_callers = MAX(max_callers, 1);
	l->buckets = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   bucket_free);
	g_queue_init(&l->idle);
	return l;
}

void fg_limits_free(struct fg_limits *l)
{
	if (l == NULL)
		return;
	g_hash_table_destroy(l->buckets);
	g_free(l);
}

static void forget_idlest(struct fg_limits *l)
{
	struct bucket *b = l->idle.head->data;

	g_queue_unlink(&l->idle, &b->link);
	g_hash_table_remove(l->buckets, b->caller);
}

static struct bucket *bucket_of(struct fg_limits *l, fg_ms now,
				const char *caller, int64_t full_milli)
{
	struct bucket *b = g_hash_table_lookup(l->buckets, caller);

	if (b != NULL) {
		g_queue_unlink(&l->idle, &b->link);
		g_queue_push_tail_link(&l->idle, &b->link);
		return b;
	}
	while (l->idle.length >= l->max_callers)
		forget_idlest(l);
	b = g_new0(struct bucket, 1);
	b->link.data = b;
	b->caller = g_strdup(caller);
	b->milli = full_milli;
	b->last = now;
	g_hash_table_insert(l->buckets, b->caller, b);
	g_queue_push_tail_link(&l->idle, &b->link);
	return b;
}

static void refill(struct bucket *b, fg_ms now, uint32_t rate_per_s,
		   int64_t full_milli)
{
	fg_ms elapsed = CLAMP(now - b->last, 0, BURST_S * FG_MS_PER_S);

	b->milli = MIN(b->milli + elapsed * rate_per_s, full_milli);
	b->last = MAX(b->last, now);
}

bool fg_limits_take(struct fg_limits *l, fg_ms now, const char *caller,
		    uint32_t rate_per_s, uint32_t *retry_after_ms)
{
	int64_t full_milli = (int64_t)rate_per_s * BURST_S * MILLI;
	struct bucket *b;

	*retry_after_ms = 0;
	if (rate_per_s == 0)
		return true;
	b = bucket_of(l, now, caller, full_milli);
	refill(b, now, rate_per_s, full_milli);
	if (b->milli >= MILLI) {
		b->milli -= MILLI;
		return true;
	}
	*retry_after_ms = (MILLI - b->milli + rate_per_s - 1) / rate_per_s;
	return false;
}
