/*
 * Limits per caller: token buckets in an LRU table.
 *
 * A bucket that was idle for BURST_S is full again, so its eviction changes
 * nothing. Evicting one that was idle for less grants its caller an extra
 * burst.
 */
#include "admit/fg_admit.h"

#include <glib.h>

#define BURST_S 2
#define MILLI_PER_TOKEN 1000 /* a request takes one token */

struct bucket {
	GList link; /* in fg_limits.lru, idle for longest first */
	char *caller;
	int64_t milli_tokens;
	fg_ms refilled_at;
};

struct fg_limits {
	uint32_t max_callers;
	GHashTable *buckets; /* caller -> bucket */
	GQueue lru;
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
	g_queue_init(&l->lru);
	return l;
}

void fg_limits_free(struct fg_limits *l)
{
	if (l == NULL)
		return;
	g_hash_table_destroy(l->buckets);
	g_free(l);
}

static void evict_idlest(struct fg_limits *l)
{
	struct bucket *b = l->lru.head->data;

	g_queue_unlink(&l->lru, &b->link);
	g_hash_table_remove(l->buckets, b->caller);
}

static struct bucket *find_or_add_bucket(struct fg_limits *l, fg_ms now,
					 const char *caller,
					 int64_t max_milli_tokens)
{
	struct bucket *b = g_hash_table_lookup(l->buckets, caller);

	if (b != NULL) {
		g_queue_unlink(&l->lru, &b->link);
		g_queue_push_tail_link(&l->lru, &b->link);
		return b;
	}
	while (l->lru.length >= l->max_callers)
		evict_idlest(l);
	b = g_new0(struct bucket, 1);
	b->link.data = b;
	b->caller = g_strdup(caller);
	b->milli_tokens = max_milli_tokens;
	b->refilled_at = now;
	g_hash_table_insert(l->buckets, b->caller, b);
	g_queue_push_tail_link(&l->lru, &b->link);
	return b;
}

static void refill_bucket(struct bucket *b, fg_ms now, uint32_t rate_per_s,
			  int64_t max_milli_tokens)
{
	fg_ms elapsed = CLAMP(now - b->refilled_at, 0, BURST_S * FG_MS_PER_S);

	b->milli_tokens =
		MIN(b->milli_tokens + elapsed * rate_per_s, max_milli_tokens);
	b->refilled_at = MAX(b->refilled_at, now);
}

bool fg_limits_take(struct fg_limits *l, fg_ms now, const char *caller,
		    uint32_t rate_per_s, uint32_t *retry_after_ms)
{
	int64_t max_milli_tokens =
		(int64_t)rate_per_s * BURST_S * MILLI_PER_TOKEN;
	struct bucket *b;

	*retry_after_ms = 0;
	if (rate_per_s == 0)
		return true;
	b = find_or_add_bucket(l, now, caller, max_milli_tokens);
	refill_bucket(b, now, rate_per_s, max_milli_tokens);
	if (b->milli_tokens >= MILLI_PER_TOKEN) {
		b->milli_tokens -= MILLI_PER_TOKEN;
		return true;
	}
	*retry_after_ms = (MILLI_PER_TOKEN - b->milli_tokens + rate_per_s - 1) /
			  rate_per_s;
	return false;
}
