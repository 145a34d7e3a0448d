/* Arrival counts with exponential decay, computed on reading. */
#include "place/fg_place_priv.h"

#include <assert.h>
#include <math.h>

#define MIN_COUNT 0.02 /* adapters with a lower count are removed */

struct popularity {
	uint64_t key;
	double count;
	fg_ms updated_at;
};

struct fg_popularity_table {
	uint32_t half_life_ms;
	fg_ms next_sweep;
	GHashTable *items; /* fg_av_key -> popularity, owns */
};

struct fg_popularity_table *fg_popularity_new(uint32_t half_life_ms)
{
	struct fg_popularity_table *t = g_new0(struct fg_popularity_table, 1);

	assert(half_life_ms > 0);
	t->half_life_ms = half_life_ms;
	t->items =
		g_hash_table_new_full(fg_key_hash, g_int64_equal, NULL, g_free);
	return t;
}

void fg_popularity_free(struct fg_popularity_table *t)
{
	if (t == NULL)
		return;
	g_hash_table_destroy(t->items);
	g_free(t);
}

static double decayed_count(const struct fg_popularity_table *t, fg_ms now,
			    const struct popularity *item)
{
	double age = (double)(now - item->updated_at) / t->half_life_ms;

	return age > 0 ? item->count * exp2(-age) : item->count;
}

/* Bounds memory to the adapters in use. */
static void remove_idle(struct fg_popularity_table *t, fg_ms now)
{
	GHashTableIter it;
	gpointer value;

	if (now < t->next_sweep)
		return;
	t->next_sweep = now + t->half_life_ms;
	g_hash_table_iter_init(&it, t->items);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (decayed_count(t, now, value) < MIN_COUNT)
			g_hash_table_iter_remove(&it);
}

void fg_popularity_add(struct fg_popularity_table *t, fg_ms now, fg_av av,
		       uint32_t count)
{
	uint64_t key = fg_av_key(av);
	struct popularity *item;

	remove_idle(t, now);
	item = g_hash_table_lookup(t->items, &key);
	if (item == NULL) {
		item = g_new0(struct popularity, 1);
		item->key = key;
		item->updated_at = now;
		g_hash_table_insert(t->items, &item->key, item);
	}
	item->count = decayed_count(t, now, item) + count;
	item->updated_at = now;
}

double fg_popularity_get(const struct fg_popularity_table *t, fg_ms now,
			 fg_av av)
{
	uint64_t key = fg_av_key(av);
	const struct popularity *item = g_hash_table_lookup(t->items, &key);

	return item != NULL ? decayed_count(t, now, item) : 0;
}

size_t fg_popularity_size(const struct fg_popularity_table *t)
{
	return g_hash_table_size(t->items);
}

fg_ms fg_popularity_last(const struct fg_popularity_table *t, fg_av av)
{
	uint64_t key = fg_av_key(av);
	const struct popularity *item = g_hash_table_lookup(t->items, &key);

	return item != NULL ? item->updated_at : FG_POPULARITY_NEVER;
}
