#include "fleet/fg_fleet.h"

#include <string.h>

#include "base/fg_rand.h"

struct fg_fleet {
	fg_region_of region_of;
	fg_ep_dropped dropped;
	void *ctx;
	GPtrArray *eps;		/* struct fg_fleet_ep *, one reference each */
	GHashTable *by_id;	/* id -> struct fg_fleet_ep * */
	GHashTable *reread_ids; /* put since read_begin; NULL outside a read */
	GHashTable *departed;	/* id -> struct departed * */
	fg_ms restored_at;	/* FG_MS_NEVER: never */
	bool reads_copy;	/* no full read has ended since then */
	fg_ms purge_at;		/* next look for old entries of `departed` */
	bool up;
	fg_ms up_since;	   /* end of the last outage; FG_MS_NEVER: none yet */
	fg_ms answered_at; /* last answer of the registry; FG_MS_NEVER: none */
};

/* An endpoint whose entry was removed. */
struct departed {
	uint64_t born;
	fg_ms at;
};

#define PURGE_MS 1000

/* A shorter outage cannot have made entries lapse: they lapse after three
 * missed heartbeats, which take longer. */
#define OUTAGE_MIN_MS 500

struct fg_fleet *fg_fleet_new(fg_region_of region_of, fg_ep_dropped dropped,
			      void *ctx)
{
	struct fg_fleet *f = g_new0(struct fg_fleet, 1);

	f->region_of = region_of;
	f->dropped = dropped;
	f->ctx = ctx;
	f->eps = g_ptr_array_new();
	f->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	f->up = true;
	f->up_since = FG_MS_NEVER;
	f->answered_at = FG_MS_NEVER;
	f->restored_at = FG_MS_NEVER;
	f->departed =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return f;
}

/* ---- Removed endpoints ---- */

static gboolean is_old(gpointer id, gpointer value, gpointer now)
{
	const struct departed *d = value;

	(void)id;
	return *(const fg_ms *)now - d->at >= FG_FLEET_DEPARTED_MS;
}

static void remember_removal(struct fg_fleet *f, fg_ms now,
			     const struct fg_fleet_ep *ep)
{
	struct departed *d;

	if (g_hash_table_size(f->departed) >= FG_FLEET_DEPARTED_MAX ||
	    g_hash_table_contains(f->departed, ep->facts.id))
		return;
	d = g_new0(struct departed, 1);
	d->born = ep->facts.born;
	d->at = now;
	g_hash_table_insert(f->departed, g_strdup(ep->facts.id), d);
}

static void purge_removals(struct fg_fleet *f, fg_ms now)
{
	if (now < f->purge_at)
		return;
	f->purge_at = now + PURGE_MS;
	g_hash_table_foreach_remove(f->departed, is_old, &now);
}

/* Returns whether the entry was removed before the registry returned from a
 * copy that still has it. Any other entry forgets the removal. */
static bool is_from_copy(struct fg_fleet *f, const struct fg_ep_facts *facts)
{
	const struct departed *d = g_hash_table_lookup(f->departed, facts->id);

	if (d == NULL)
		return false;
	if (f->reread_ids != NULL && f->reads_copy && d->at <= f->restored_at &&
	    facts->born <= d->born)
		return true;
	g_hash_table_remove(f->departed, facts->id);
	return false;
}

static void drop_ep(struct fg_fleet *f, struct fg_fleet_ep *ep)
{
	g_hash_table_remove(f->by_id, ep->facts.id);
	g_ptr_array_remove_fast(f->eps, ep);
	if (f->dropped != NULL)
		f->dropped(f->ctx, ep);
	fg_ep_unref(ep);
}

void fg_fleet_free(struct fg_fleet *f)
{
	while (f->eps->len > 0)
		drop_ep(f, f->eps->pdata[0]);
	g_ptr_array_unref(f->eps);
	g_hash_table_unref(f->by_id);
	g_hash_table_unref(f->departed);
	if (f->reread_ids != NULL)
		g_hash_table_unref(f->reread_ids);
	g_free(f);
}

struct fg_fleet_ep *fg_ep_ref(struct fg_fleet_ep *ep)
{
	ep->refs++;
	return ep;
}

void fg_ep_unref(struct fg_fleet_ep *ep)
{
	g_assert(ep->refs > 0);
	if (--ep->refs == 0)
		g_free(ep);
}

/* ---- Availability of the registry ---- */

void fg_fleet_registry_up(struct fg_fleet *f, fg_ms now, fg_ms answered_at)
{
	/* A call in flight can end long after the outage began, so the outage
	 * counts from the answer before it. */
	if (!f->up && f->answered_at != FG_MS_NEVER &&
	    now - f->answered_at >= OUTAGE_MIN_MS)
		f->up_since = now;
	f->up = true;
	if (f->answered_at == FG_MS_NEVER || answered_at > f->answered_at)
		f->answered_at = answered_at;
}

void fg_fleet_registry_down(struct fg_fleet *f, fg_ms now)
{
	if (f->answered_at == FG_MS_NEVER)
		f->answered_at = now;
	f->up = false;
}

void fg_fleet_registry_restored(struct fg_fleet *f, fg_ms now)
{
	f->up_since = now;
	f->restored_at = now;
	f->reads_copy = true;
}

/* Returns whether a removal may be a lapse caused by a recent outage. */
static bool is_lapse_expected(const struct fg_fleet *f, fg_ms now)
{
	return f->up_since != FG_MS_NEVER &&
	       now - f->up_since < FG_FLEET_LAPSE_GRACE_MS;
}

/* ---- Entries ---- */

static struct fg_fleet_ep *add_ep(struct fg_fleet *f, fg_ms now, const char *id)
{
	struct fg_fleet_ep *ep = g_new0(struct fg_fleet_ep, 1);

	g_strlcpy(ep->facts.id, id, sizeof(ep->facts.id));
	ep->hash = fg_hash_str(id);
	ep->refs = 1;
	ep->slowness = 1.0;
	ep->known_since = now;
	g_ptr_array_add(f->eps, ep);
	g_hash_table_insert(f->by_id, ep->facts.id, ep);
	return ep;
}

/* A restarted endpoint keeps its id but none of its state. */
static void reset_state(struct fg_fleet_ep *ep)
{
	ep->n_adapters = 0;
	ep->resident_at = 0;
	ep->failures_in_row = 0;
	ep->ejected_until = 0;
	ep->error_rate = 0;
	ep->slowness = 1.0;
	ep->addr_taken = false;
	ep->leaving = false;
	ep->paused_until = 0;
	ep->unreached_since = 0;
	ep->brittle_at = 0;
	fg_ep_clear_limit(ep);
}

/* Returns whether the entry comes from an older copy of the registry: it states
 * an earlier start than the known one, soon after the registry's return. */
static bool is_of_former_start(const struct fg_fleet *f, fg_ms now,
			       const struct fg_fleet_ep *ep,
			       const struct fg_ep_facts *facts)
{
	return facts->born != 0 && facts->born < ep->facts.born &&
	       is_lapse_expected(f, now);
}

static void list_ep(struct fg_fleet *f, struct fg_fleet_ep *ep)
{
	ep->listed = true;
	ep->unreadable = false;
	ep->lapsed_until = 0;
	if (f->reread_ids != NULL)
		g_hash_table_add(f->reread_ids, g_strdup(ep->facts.id));
}

struct fg_fleet_ep *fg_fleet_put(struct fg_fleet *f, fg_ms now,
				 const struct fg_ep_facts *facts)
{
	struct fg_fleet_ep *ep = g_hash_table_lookup(f->by_id, facts->id);
	bool known = ep != NULL;

	if (!known)
		ep = add_ep(f, now, facts->id);
	ep->returned_until =
		is_from_copy(f, facts) ? now + FG_FLEET_RETURNED_MS : 0;
	if (known && is_of_former_start(f, now, ep, facts)) {
		list_ep(f, ep);
		return ep;
	}
	if (known && (ep->facts.born != facts->born ||
		      strcmp(ep->facts.address, facts->address) != 0))
		reset_state(ep);
	ep->facts = *facts;
	ep->software =
		facts->software[0] == '\0' ? 0 : fg_hash_str(facts->software);
	/* Without a start time, a restart would look the same. */
	if (facts->draining && facts->born != 0)
		ep->leaving = true;
	list_ep(f, ep);
	g_strlcpy(ep->region, f->region_of(f->ctx, facts->dc),
		  sizeof(ep->region));
	return ep;
}

void fg_fleet_put_unreadable(struct fg_fleet *f, const char *id)
{
	struct fg_fleet_ep *ep = g_hash_table_lookup(f->by_id, id);

	if (ep == NULL)
		return;
	ep->listed = false;
	ep->unreadable = true;
	ep->lapsed_until = 0;
	if (f->reread_ids != NULL)
		g_hash_table_add(f->reread_ids, g_strdup(id));
}

static void mark_removed(struct fg_fleet *f, struct fg_fleet_ep *ep, fg_ms now)
{
	ep->unreadable = false;
	if (!ep->listed)
		return;
	ep->listed = false;
	if (is_lapse_expected(f, now) && !ep->facts.draining && !ep->leaving &&
	    ep->returned_until == 0)
		ep->lapsed_until = f->up_since + FG_FLEET_LAPSE_GRACE_MS;
	else
		remember_removal(f, now, ep);
}

void fg_fleet_remove(struct fg_fleet *f, fg_ms now, const char *id)
{
	struct fg_fleet_ep *ep = g_hash_table_lookup(f->by_id, id);

	if (ep != NULL)
		mark_removed(f, ep, now);
}

void fg_fleet_read_begin(struct fg_fleet *f)
{
	if (f->reread_ids != NULL)
		g_hash_table_unref(f->reread_ids);
	f->reread_ids =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void fg_fleet_read_end(struct fg_fleet *f, fg_ms now)
{
	g_assert(f->reread_ids != NULL);
	for (guint i = 0; i < f->eps->len; i++) {
		struct fg_fleet_ep *ep = f->eps->pdata[i];

		if (!g_hash_table_contains(f->reread_ids, ep->facts.id))
			mark_removed(f, ep, now);
	}
	g_hash_table_unref(f->reread_ids);
	f->reread_ids = NULL;
	f->reads_copy = false;
}

void fg_fleet_tick(struct fg_fleet *f, fg_ms now)
{
	purge_removals(f, now);
	for (guint i = f->eps->len; i > 0; i--) {
		struct fg_fleet_ep *ep = f->eps->pdata[i - 1];

		if (!ep->listed && !ep->unreadable && now >= ep->lapsed_until &&
		    ep->running == 0) {
			remember_removal(f, now, ep);
			drop_ep(f, ep);
		}
	}
}

struct fg_fleet_ep *fg_fleet_find(struct fg_fleet *f, const char *id)
{
	return g_hash_table_lookup(f->by_id, id);
}

struct fg_fleet_ep *fg_fleet_find_hash(struct fg_fleet *f, uint64_t hash)
{
	for (guint i = 0; i < f->eps->len; i++) {
		struct fg_fleet_ep *ep = f->eps->pdata[i];

		if (ep->hash == hash)
			return ep;
	}
	return NULL;
}

const GPtrArray *fg_fleet_all(const struct fg_fleet *f)
{
	return f->eps;
}

bool fg_ep_is_usable(const struct fg_fleet_ep *ep, fg_ms now)
{
	if (ep->facts.draining || ep->leaving || ep->addr_taken ||
	    now < ep->returned_until)
		return false;
	return ep->listed || now < ep->lapsed_until;
}

bool fg_ep_accepts(const struct fg_fleet_ep *ep, fg_ms now)
{
	return fg_ep_is_usable(ep, now) && now >= ep->paused_until;
}

bool fg_ep_mark_leaving(struct fg_fleet_ep *ep)
{
	bool known = ep->leaving || ep->facts.draining;

	ep->leaving = true;
	return !known;
}

bool fg_ep_pause(struct fg_fleet_ep *ep, fg_ms now, uint32_t pause_ms)
{
	fg_ms until = now + MIN(pause_ms, FG_EP_PAUSE_MAX_MS);

	if (until <= ep->paused_until)
		return false;
	ep->paused_until = until;
	return true;
}

bool fg_ep_set_limit(struct fg_fleet_ep *ep, double per_s)
{
	if (ep->limited && ep->limit_per_s == per_s)
		return false;
	ep->limited = true;
	ep->limit_per_s = per_s;
	return true;
}

bool fg_ep_clear_limit(struct fg_fleet_ep *ep)
{
	bool was_limited = ep->limited;

	ep->limited = false;
	ep->limit_shared = false;
	ep->limit_next_at = 0;
	return was_limited;
}

uint32_t fg_ep_instance_rank(const struct fg_fleet_ep *ep, uint64_t self,
			     const uint64_t *others, uint32_t n_others)
{
	uint64_t own_hash = fg_hash_mix(ep->hash, self);
	uint32_t before = 0;

	for (uint32_t i = 0; i < n_others; i++)
		before += fg_hash_mix(ep->hash, others[i]) > own_hash;
	return before;
}

uint32_t fg_fleet_pause_left_ms(const struct fg_fleet *f, fg_ms now,
				const char *service)
{
	fg_ms left_ms = UINT32_MAX;

	for (guint i = 0; i < f->eps->len; i++) {
		const struct fg_fleet_ep *ep = f->eps->pdata[i];

		if (strcmp(ep->facts.service, service) == 0 &&
		    fg_ep_is_usable(ep, now))
			left_ms = MIN(left_ms, MAX(ep->paused_until - now, 0));
	}
	return (uint32_t)left_ms;
}

/* ---- Adapters ---- */

bool fg_name_is_usable(const char *name)
{
	size_t len = strnlen(name, FG_FLEET_NAME_BYTES);

	return len > 0 && len < FG_FLEET_NAME_BYTES &&
	       g_utf8_validate(name, (gssize)len, NULL);
}

uint64_t fg_adapter_key(const char *model, const char *adapter)
{
	return fg_hash_mix(fg_hash_str(model), fg_hash_str(adapter));
}

struct fg_ep_adapter *fg_ep_adapter_find(struct fg_fleet_ep *ep, uint64_t key)
{
	for (uint32_t i = 0; i < ep->n_adapters; i++) {
		if (ep->adapters[i].key == key)
			return &ep->adapters[i];
	}
	return NULL;
}

/* The least recently used record that is neither resident nor in use. */
static struct fg_ep_adapter *find_evictable(struct fg_fleet_ep *ep)
{
	struct fg_ep_adapter *best = NULL;

	for (uint32_t i = 0; i < ep->n_adapters; i++) {
		struct fg_ep_adapter *a = &ep->adapters[i];

		if (a->version != 0 || a->running > 0)
			continue;
		if (best == NULL || a->used_at < best->used_at)
			best = a;
	}
	return best;
}

struct fg_ep_adapter *fg_ep_adapter_find_or_add(struct fg_fleet_ep *ep,
						fg_ms now, uint64_t key)
{
	struct fg_ep_adapter *a = fg_ep_adapter_find(ep, key);

	if (a != NULL)
		return a;
	if (ep->n_adapters < FG_EP_ADAPTERS_MAX)
		a = &ep->adapters[ep->n_adapters++];
	else
		a = find_evictable(ep);
	if (a == NULL)
		return NULL;
	memset(a, 0, sizeof(*a));
	a->key = key;
	a->used_at = now;
	return a;
}

void fg_ep_set_resident(struct fg_fleet_ep *ep, fg_ms now,
			const struct fg_fleet_held *held, uint32_t n)
{
	for (uint32_t i = 0; i < ep->n_adapters; i++)
		ep->adapters[i].version = 0;
	for (uint32_t i = 0; i < n; i++) {
		struct fg_ep_adapter *a =
			fg_ep_adapter_find_or_add(ep, now, held[i].key);

		if (a == NULL)
			continue;
		a->version = held[i].version;
		a->resident_at = now;
	}
}
