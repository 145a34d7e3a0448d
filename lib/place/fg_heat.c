/* Popularity with exponential decay, decayed when read. */
#include "place/fg_place_priv.h"

#include <assert.h>
#include <math.h>

#define FLOOR 0.02 /* counts below are dropped */

struct heat {
	uint64_t key;
	double value;
	fg_ms at;
};

struct fg_heat_table {
	uint32_t half_life_ms;
	fg_ms next_sweep;
	GHashTable *items; /* fg_av_key -> heat, owns */
};

struct fg_heat_table *fg_heat_new(uint32_t half_life_ms)
{
	struct fg_heat_table *h = g_new0(struct fg_heat_table, 1);

	assert(half_life_ms > 0);
	h->half_life_ms = half_life_ms;
	h->items =
		g_hash_table_new_full(fg_key_hash, g_int64_equal, NULL, g_free);
	return h;
}

void fg_heat_free(struct fg_heat_table *h)
{
	if (h == NULL)
		return;
	g_hash_table_destroy(h->items);
	g_free(h);
}

static double decayed(const struct fg_heat_table *h, fg_ms now,
		      const struct heat *item)
{
	double age = (double)(now - item->at) / h->half_life_ms;

	return age > 0 ? item->value * exp2(-age) : item->value;
}

/* Drops idle adapters, so that memory follows the active ones. */
static void sweep(struct fg_heat_table *h, fg_ms now)
{
	GHashTableIter it;
	gpointer value;

	if (now < h->next_sweep)
		return;
	h->next_sweep = now + h->half_life_ms;
	g_hash_table_iter_init(&it, h->items);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (decayed(h, now, value) < FLOOR)
			g_hash_table_iter_remove(&it);
}

void fg_heat_add(struct fg_heat_table *h, fg_ms now, fg_av av, uint32_t count)
{
	uint64_t key = fg_av_key(av);
	struct heat *item;

	sweep(h, now);
	item = g_hash_table_lookup(h->items, &key);
	if (item == NULL) {
		item = g_new0(struct heat, 1);
		item->key = key;
		item->at = now;
		g_hash_table_insert(h->items, &item->key, item);
	}
	item->value = decayed(h, now, item) + count;
	item->at = now;
}

double fg_heat_get(const struct fg_heat_table *h, fg_ms now, fg_av av)
{
	uint64_t key = fg_av_key(av);
	const struct heat *item = g_hash_table_lookup(h->items, &key);

	return item != NULL ? decayed(h, now, item) : 0;
}

size_t fg_heat_size(const struct fg_heat_table *h)
{
	return g_hash_table_size(h->items);
}

fg_ms fg_heat_last(const struct fg_heat_table *h, fg_av av)
{
	uint64_t key = fg_av_key(av);
	const struct heat *item = g_hash_table_lookup(h->items, &key);

	return item != NULL ? item->at : FG_HEAT_NEVER;
}
