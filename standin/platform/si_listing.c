#include <string.h>

#include "platform/si_platform.h"

/* Content of an announcement, valid from `since` on. */
struct announced_state {
	fg_ms since;
	json_t *instance;
};

struct list_entry {
	GArray *states;	      /* struct announced_state, oldest first */
	GArray *announced_at; /* fg_ms, oldest first */
};

struct si_listing {
	pthread_mutex_t lock;
	GHashTable *entries; /* instance name to struct list_entry */
	uint32_t lag_ms;
	uint32_t ttl_ms;
	fg_ms frozen_at; /* view time during a freeze */
	fg_ms frozen_until;
};

static void clear_state(void *arg)
{
	struct announced_state *v = arg;

	json_decref(v->instance);
}

static void free_entry(void *arg)
{
	struct list_entry *e = arg;

	g_array_free(e->states, TRUE);
	g_array_free(e->announced_at, TRUE);
	g_free(e);
}

static struct list_entry *new_entry(void)
{
	struct list_entry *e = g_new0(struct list_entry, 1);

	e->states = g_array_new(FALSE, FALSE, sizeof(struct announced_state));
	g_array_set_clear_func(e->states, clear_state);
	e->announced_at = g_array_new(FALSE, FALSE, sizeof(fg_ms));
	return e;
}

struct si_listing *si_listing_new(uint32_t lag_ms, uint32_t ttl_ms)
{
	struct si_listing *l = g_new0(struct si_listing, 1);

	pthread_mutex_init(&l->lock, NULL);
	l->entries = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   free_entry);
	l->lag_ms = lag_ms;
	l->ttl_ms = ttl_ms;
	return l;
}

void si_listing_free(struct si_listing *l)
{
	g_hash_table_destroy(l->entries);
	pthread_mutex_destroy(&l->lock);
	g_free(l);
}

/* The point in time whose state the list shows. */
static fg_ms view_time(const struct si_listing *l, fg_ms now)
{
	if (now < l->frozen_until)
		return l->frozen_at;
	return now - l->lag_ms;
}

/* Drops records that are too old for any later view. */
static void prune_entry(struct list_entry *e, fg_ms view, uint32_t ttl_ms)
{
	guint old = 0;

	while (old + 1 < e->announced_at->len &&
	       g_array_index(e->announced_at, fg_ms, old + 1) <
		       view - (fg_ms)ttl_ms)
		old++;
	if (old > 0)
		g_array_remove_range(e->announced_at, 0, old);
	old = 0;
	while (old + 1 < e->states->len &&
	       g_array_index(e->states, struct announced_state, old + 1)
			       .since <= view)
		old++;
	if (old > 0)
		g_array_remove_range(e->states, 0, old);
}

static void add_state(struct list_entry *e, fg_ms now, json_t *instance)
{
	struct announced_state v = { now, json_incref(instance) };
	guint n = e->states->len;

	if (n > 0 &&
	    json_equal(g_array_index(e->states, struct announced_state, n - 1)
			       .instance,
		       instance)) {
		json_decref(instance);
		return;
	}
	g_array_append_val(e->states, v);
}

bool si_listing_announce(struct si_listing *l, json_t *instance)
{
	const char *name = si_field_str(instance, "name");
	fg_ms now = fg_clock_now();
	struct list_entry *e;

	if (!*name)
		return false;
	pthread_mutex_lock(&l->lock);
	e = g_hash_table_lookup(l->entries, name);
	if (!e) {
		e = new_entry();
		g_hash_table_insert(l->entries, g_strdup(name), e);
	}
	add_state(e, now, instance);
	g_array_append_val(e->announced_at, now);
	prune_entry(e, view_time(l, now), l->ttl_ms);
	pthread_mutex_unlock(&l->lock);
	return true;
}

static bool was_live(const struct list_entry *e, fg_ms view, uint32_t ttl_ms)
{
	for (guint i = 0; i < e->announced_at->len; i++) {
		fg_ms t = g_array_index(e->announced_at, fg_ms, i);

		if (t <= view && t > view - (fg_ms)ttl_ms)
			return true;
	}
	return false;
}

static json_t *state_at(const struct list_entry *e, fg_ms view)
{
	json_t *instance = NULL;

	for (guint i = 0; i < e->states->len; i++) {
		struct announced_state *v =
			&g_array_index(e->states, struct announced_state, i);

		if (v->since <= view)
			instance = v->instance;
	}
	return instance;
}

json_t *si_listing_read(struct si_listing *l)
{
	json_t *instances = json_array();
	GHashTableIter iter;
	gpointer value;
	fg_ms view;

	pthread_mutex_lock(&l->lock);
	view = view_time(l, fg_clock_now());
	g_hash_table_iter_init(&iter, l->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct list_entry *e = value;
		json_t *instance = state_at(e, view);

		if (instance && was_live(e, view, l->ttl_ms))
			json_array_append_new(instances,
					      json_deep_copy(instance));
	}
	pthread_mutex_unlock(&l->lock);
	return json_pack("{s:o}", "instances", instances);
}

void si_listing_freeze(struct si_listing *l, fg_ms duration_ms)
{
	fg_ms now = fg_clock_now();

	pthread_mutex_lock(&l->lock);
	l->frozen_at = view_time(l, now);
	l->frozen_until = now + duration_ms;
	pthread_mutex_unlock(&l->lock);
}
