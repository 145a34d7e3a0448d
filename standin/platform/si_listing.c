#include <string.h>

#include "platform/si_platform.h"

/* What an instance said of itself, in force from t on. */
struct version {
	fg_ms t;
	json_t *instance;
};

struct listed {
	GArray *versions; /* struct version, oldest first */
	GArray *seen;	  /* fg_ms of announcements, oldest first */
};

struct si_listing {
	pthread_mutex_t lock;
	GHashTable *listed; /* name to struct listed */
	uint32_t lag_ms;
	uint32_t ttl_ms;
	fg_ms frozen_at; /* the view during a freeze */
	fg_ms frozen_until;
};

static void clear_version(void *arg)
{
	struct version *v = arg;

	json_decref(v->instance);
}

static void free_listed(void *arg)
{
	struct listed *e = arg;

	g_array_free(e->versions, TRUE);
	g_array_free(e->seen, TRUE);
	g_free(e);
}

static struct listed *new_listed(void)
{
	struct listed *e = g_new0(struct listed, 1);

	e->versions = g_array_new(FALSE, FALSE, sizeof(struct version));
	g_array_set_clear_func(e->versions, clear_version);
	e->seen = g_array_new(FALSE, FALSE, sizeof(fg_ms));
	return e;
}

struct si_listing *si_listing_new(uint32_t lag_ms, uint32_t ttl_ms)
{
	struct si_listing *l = g_new0(struct si_listing, 1);

	pthread_mutex_init(&l->lock, NULL);
	l->listed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					  free_listed);
	l->lag_ms = lag_ms;
	l->ttl_ms = ttl_ms;
	return l;
}

void si_listing_free(struct si_listing *l)
{
	g_hash_table_destroy(l->listed);
	pthread_mutex_destroy(&l->lock);
	g_free(l);
}

/* The time that the list shows. */
static fg_ms view_time(const struct si_listing *l, fg_ms now)
{
	if (now < l->frozen_until)
		return l->frozen_at;
	return now - l->lag_ms;
}

/* Drops what no later view can show. */
static void prune(struct listed *e, fg_ms view, uint32_t ttl_ms)
{
	guint old = 0;

	while (old + 1 < e->seen->len &&
	       g_array_index(e->seen, fg_ms, old + 1) < view - (fg_ms)ttl_ms)
		old++;
	if (old > 0)
		g_array_remove_range(e->seen, 0, old);
	old = 0;
	while (old + 1 < e->versions->len &&
	       g_array_index(e->versions, struct version, old + 1).t <= view)
		old++;
	if (old > 0)
		g_array_remove_range(e->versions, 0, old);
}

static void add_version(struct listed *e, fg_ms now, json_t *instance)
{
	struct version v = { now, json_incref(instance) };
	guint n = e->versions->len;

	if (n > 0 &&
	    json_equal(
		    g_array_index(e->versions, struct version, n - 1).instance,
		    instance)) {
		json_decref(instance);
		return;
	}
	g_array_append_val(e->versions, v);
}

bool si_listing_announce(struct si_listing *l, json_t *instance)
{
	const char *name = si_field_str(instance, "name");
	fg_ms now = fg_clock_now();
	struct listed *e;

	if (!*name)
		return false;
	pthread_mutex_lock(&l->lock);
	e = g_hash_table_lookup(l->listed, name);
	if (!e) {
		e = new_listed();
		g_hash_table_insert(l->listed, g_strdup(name), e);
	}
	add_version(e, now, instance);
	g_array_append_val(e->seen, now);
	prune(e, view_time(l, now), l->ttl_ms);
	pthread_mutex_unlock(&l->lock);
	return true;
}

static bool was_live(const struct listed *e, fg_ms view, uint32_t ttl_ms)
{
	for (guint i = 0; i < e->seen->len; i++) {
		fg_ms t = g_array_index(e->seen, fg_ms, i);

		if (t <= view && t > view - (fg_ms)ttl_ms)
			return true;
	}
	return false;
}

static json_t *version_at(const struct listed *e, fg_ms view)
{
	json_t *instance = NULL;

	for (guint i = 0; i < e->versions->len; i++) {
		struct version *v =
			&g_array_index(e->versions, struct version, i);

		if (v->t <= view)
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
	g_hash_table_iter_init(&iter, l->listed);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct listed *e = value;
		json_t *instance = version_at(e, view);

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
