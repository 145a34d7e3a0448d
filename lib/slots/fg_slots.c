#include "slots/fg_slots_internal.h"

#include <string.h>

void fg_slots_reset_base(struct fg_slots *s)
{
	memset(&s->base, 0, sizeof(s->base));
	g_strlcpy(s->base.model, s->conf.model, sizeof(s->base.model));
	s->base.key = fg_adapter_key(s->base.model, "");
	s->base.phase = LOADING;
}

struct fg_slots *fg_slots_new(const struct fg_slots_conf *conf)
{
	struct fg_slots *s = g_new0(struct fg_slots, 1);

	s->conf = *conf;
	fg_slots_set_limits(s, &conf->limits);
	fg_slots_reset_base(s);
	s->queue = g_array_new(FALSE, TRUE, sizeof(struct fg_load_request));
	s->newest_versions = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   g_free, g_free);
	s->loaded_before = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 g_free, NULL);
	return s;
}

void fg_slots_free(struct fg_slots *s)
{
	if (s == NULL)
		return;
	fg_slots_set_limits(s, &(struct fg_slots_limits){ 0 });
	g_array_unref(s->queue);
	g_hash_table_unref(s->newest_versions);
	g_hash_table_unref(s->loaded_before);
	g_free(s);
}

struct fg_slot *fg_slot_find(const struct fg_slots *s, uint64_t key)
{
	if (s->base.key == key)
		return (struct fg_slot *)&s->base;
	for (uint32_t i = 0; i < s->n; i++) {
		if (s->slots[i].key == key)
			return (struct fg_slot *)&s->slots[i];
	}
	return NULL;
}

uint64_t fg_slots_newest_version(const struct fg_slots *s, uint64_t key)
{
	const uint64_t *v = g_hash_table_lookup(s->newest_versions, &key);

	return v == NULL ? 0 : *v;
}

bool fg_slot_is_current(const struct fg_slot *slot)
{
	return slot->phase == RESIDENT && slot->version >= slot->newest;
}

struct fg_slot *fg_slots_add(struct fg_slots *s, fg_ms now, const char *model,
			     const char *adapter)
{
	struct fg_slot *slot;

	if (s->n == FG_SLOTS_MAX ||
	    fg_slot_find(s, fg_adapter_key(model, adapter)) != NULL)
		return NULL;
	slot = &s->slots[s->n++];
	memset(slot, 0, sizeof(*slot));
	g_strlcpy(slot->model, model, sizeof(slot->model));
	g_strlcpy(slot->adapter, adapter, sizeof(slot->adapter));
	slot->key = fg_adapter_key(model, adapter);
	slot->newest = fg_slots_newest_version(s, slot->key);
	slot->used_at = now;
	return slot;
}

void fg_slots_drop(struct fg_slots *s, struct fg_slot *slot)
{
	*slot = s->slots[--s->n];
}

/* ---- Eviction ---- */

bool fg_slots_is_evictable(const struct fg_slot *slot, fg_ms now)
{
	return slot->phase == RESIDENT &&
	       now - slot->used_at >= FG_SLOTS_MIN_IDLE_MS;
}

struct fg_slot *fg_slots_find_victim(const struct fg_slots *s, fg_ms now)
{
	struct fg_slot *best = NULL;

	for (uint32_t i = 0; i < s->n; i++) {
		struct fg_slot *slot = (struct fg_slot *)&s->slots[i];

		if (!fg_slots_is_evictable(slot, now))
			continue;
		if (best == NULL || slot->used_at < best->used_at)
			best = slot;
	}
	return best;
}

uint32_t fg_slots_spare_age_ms(const struct fg_slots *s, fg_ms now)
{
	const struct fg_slot *victim;

	if (!s->synced || s->base.phase != RESIDENT)
		return 0;
	if (s->queue->len < fg_slots_count_free(s))
		return UINT32_MAX;
	victim = fg_slots_find_victim(s, now);
	return victim == NULL
		       ? 0
		       : (uint32_t)MIN(now - victim->used_at, UINT32_MAX - 1);
}

uint32_t fg_slots_count(const struct fg_slots *s, enum fg_slot_phase phase)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->n; i++)
		n += s->slots[i].phase == phase ? 1 : 0;
	return n;
}

/* ---- Load requests ---- */

static struct fg_load_request *find_request(const struct fg_slots *s,
					    uint64_t key)
{
	for (guint i = 0; i < s->queue->len; i++) {
		struct fg_load_request *r =
			&g_array_index(s->queue, struct fg_load_request, i);

		if (r->key == key)
			return r;
	}
	return NULL;
}

enum fg_slot_state fg_slots_state(const struct fg_slots *s, uint64_t key)
{
	const struct fg_slot *slot = fg_slot_find(s, key);

	if (slot != NULL && fg_slot_is_current(slot))
		return FG_SLOT_RESIDENT;
	if (slot != NULL && slot->phase != UNLOADING)
		return FG_SLOT_PENDING;
	return find_request(s, key) != NULL ? FG_SLOT_PENDING : FG_SLOT_ABSENT;
}

enum fg_slot_state fg_slots_request_load(struct fg_slots *s, fg_ms now,
					 const char *model, const char *adapter,
					 uint64_t version)
{
	struct fg_load_request r = { .created_at = now,
				     .repeated_at = now,
				     .version = version };
	struct fg_load_request *queued;
	enum fg_slot_state state;

	r.key = fg_adapter_key(model, adapter);
	if (version > fg_slots_newest_version(s, r.key))
		fg_slots_announce_version(s, r.key, version);
	queued = find_request(s, r.key);
	if (queued != NULL) {
		queued->repeats++;
		queued->repeated_at = now;
	}
	state = fg_slots_state(s, r.key);
	if (state != FG_SLOT_ABSENT) {
		fg_slots_mark_used(s, now, r.key);
		return state;
	}
	if (adapter[0] == '\0' || strcmp(model, s->base.model) != 0)
		return FG_SLOT_FULL; /* the engine serves another model */
	if (!fg_name_is_usable(adapter) ||
	    !fg_slots_could_hold(&s->conf.limits, model))
		return FG_SLOT_FULL;
	if (s->queue->len >= s->conf.queue_max)
		return FG_SLOT_FULL;
	g_strlcpy(r.model, model, sizeof(r.model));
	g_strlcpy(r.adapter, adapter, sizeof(r.adapter));
	g_array_append_val(s->queue, r);
	return FG_SLOT_PENDING;
}

void fg_slots_mark_used(struct fg_slots *s, fg_ms now, uint64_t key)
{
	struct fg_slot *slot = fg_slot_find(s, key);

	if (slot != NULL)
		slot->used_at = now;
}

void fg_slots_announce_version(struct fg_slots *s, uint64_t key,
			       uint64_t version)
{
	struct fg_slot *slot = fg_slot_find(s, key);

	if (version <= fg_slots_newest_version(s, key))
		return;
	g_hash_table_insert(s->newest_versions, g_memdup2(&key, sizeof(key)),
			    g_memdup2(&version, sizeof(version)));
	if (slot != NULL)
		slot->newest = version;
}

bool fg_slots_is_fetch(const struct fg_slots *s, uint64_t key)
{
	return !g_hash_table_contains(s->loaded_before, &key);
}

/* ---- State for the owner ---- */

uint32_t fg_slots_list_resident(const struct fg_slots *s,
				struct fg_fleet_held *out)
{
	uint32_t n = 0;

	if (s->ever_synced && s->base.phase == RESIDENT) {
		out[n].key = s->base.key;
		out[n++].version = MAX(s->base.version, 1);
	}
	for (uint32_t i = 0; s->ever_synced && i < s->n; i++) {
		if (!fg_slot_is_current(&s->slots[i]))
			continue;
		out[n].key = s->slots[i].key;
		out[n].version = MAX(s->slots[i].version, 1);
		n++;
	}
	return n;
}

uint32_t fg_slots_count_fetching(const struct fg_slots *s)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->n; i++)
		n += s->slots[i].phase == LOADING && s->slots[i].fetch ? 1 : 0;
	return n;
}

uint32_t fg_slots_take_fetched_ms(struct fg_slots *s)
{
	uint32_t ms = s->fetched_ms;

	s->fetched_ms = 0;
	return ms;
}

uint32_t fg_slots_list_pending(const struct fg_slots *s, uint64_t *out)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->n; i++) {
		if (s->slots[i].phase == LOADING)
			out[n++] = s->slots[i].key;
	}
	for (guint i = 0; i < s->queue->len && n < FG_SLOTS_MAX; i++)
		out[n++] =
			g_array_index(s->queue, struct fg_load_request, i).key;
	return n;
}

uint32_t fg_slots_queue_len(const struct fg_slots *s)
{
	return s->queue->len;
}

uint32_t fg_slots_count_fetch_queued(const struct fg_slots *s)
{
	uint32_t n = 0;

	for (guint i = 0; i < s->queue->len; i++)
		n += fg_slots_is_fetch(
			     s,
			     g_array_index(s->queue, struct fg_load_request, i)
				     .key)
			     ? 1
			     : 0;
	return n;
}
