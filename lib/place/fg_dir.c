/* Directory of resident adapters, and the choice of an endpoint. */
#include "place/fg_place_priv.h"

#include <assert.h>
#include <string.h>

/* For requests with a prefix, utilizations within 1/PREFIX_LEVELS of a batch
 * count as equal, so that the prefix hash decides. */
#define PREFIX_LEVELS 8

void fg_dir_set_stall_weight(struct fg_dir *d, uint32_t stall_weight)
{
	d->packing = stall_weight < FG_SPREAD_STALL_WEIGHT;
}

static void free_ep(gpointer p)
{
	struct fg_dir_ep *e = p;

	g_free(e->av);
	g_free(e);
}

struct fg_dir *fg_dir_new(uint64_t seed)
{
	struct fg_dir *d = g_new0(struct fg_dir, 1);

	fg_rand_seed(&d->rand, seed);
	d->by_id = g_hash_table_new_full(fg_key_hash, g_int64_equal, NULL,
					 free_ep);
	d->eps = g_ptr_array_new();
	d->by_av = g_hash_table_new_full(fg_key_hash, g_int64_equal, g_free,
					 (GDestroyNotify)g_ptr_array_unref);
	return d;
}

void fg_dir_free(struct fg_dir *d)
{
	if (d == NULL)
		return;
	g_hash_table_destroy(d->by_av);
	g_ptr_array_free(d->eps, TRUE);
	g_hash_table_destroy(d->by_id);
	g_free(d);
}

const struct fg_dir_ep *fg_dir_find_endpoint(const struct fg_dir *d,
					     uint64_t ep)
{
	return g_hash_table_lookup(d->by_id, &ep);
}

static struct fg_dir_ep *find_or_add_ep(struct fg_dir *d, uint64_t ep)
{
	struct fg_dir_ep *e = g_hash_table_lookup(d->by_id, &ep);

	if (e != NULL)
		return e;
	e = g_new0(struct fg_dir_ep, 1);
	e->id = ep;
	g_hash_table_insert(d->by_id, &e->id, e);
	g_ptr_array_add(d->eps, e);
	return e;
}

void fg_dir_set_endpoint(struct fg_dir *d, uint64_t ep, const char *service,
			 const char *region, const char *dc, bool leaving)
{
	struct fg_dir_ep *e = find_or_add_ep(d, ep);

	(void)dc;
	e->service = fg_hash_str(service);
	e->region = fg_hash_str(region);
	e->leaving = leaving;
}

/* ---- The index by adapter ---- */

static void index_add(struct fg_dir *d, struct fg_dir_ep *e, fg_av av)
{
	uint64_t key = fg_av_key(av);
	GPtrArray *eps = g_hash_table_lookup(d->by_av, &key);

	if (eps == NULL) {
		eps = g_ptr_array_new();
		g_hash_table_insert(d->by_av, g_memdup2(&key, sizeof(key)),
				    eps);
	}
	if (!g_ptr_array_find(eps, e, NULL))
		g_ptr_array_add(eps, e);
}

static void index_remove(struct fg_dir *d, struct fg_dir_ep *e, fg_av av)
{
	uint64_t key = fg_av_key(av);
	GPtrArray *eps = g_hash_table_lookup(d->by_av, &key);

	if (eps == NULL)
		return;
	g_ptr_array_remove(eps, e);
	if (eps->len == 0)
		g_hash_table_remove(d->by_av, &key);
}

static void set_resident(struct fg_dir *d, struct fg_dir_ep *e, const fg_av *av,
			 uint32_t n)
{
	for (uint32_t i = 0; i < e->n_av; i++)
		index_remove(d, e, e->av[i]);
	g_free(e->av);
	e->av = n > 0 ? g_memdup2(av, n * sizeof(*av)) : NULL;
	e->n_av = n;
	for (uint32_t i = 0; i < n; i++)
		index_add(d, e, e->av[i]);
}

void fg_dir_remove_endpoint(struct fg_dir *d, uint64_t ep)
{
	struct fg_dir_ep *e = g_hash_table_lookup(d->by_id, &ep);

	if (e == NULL)
		return;
	set_resident(d, e, NULL, 0);
	g_ptr_array_remove(d->eps, e);
	g_hash_table_remove(d->by_id, &ep);
}

static bool has_same_adapters(const struct fg_dir_ep *e, const fg_resident *r)
{
	return e->n_av == r->av.av_len &&
	       (e->n_av == 0 ||
		memcmp(e->av, r->av.av_val, e->n_av * sizeof(fg_av)) == 0);
}

bool fg_dir_on_resident(struct fg_dir *d, fg_ms now, const fg_resident *r)
{
	struct fg_dir_ep *e = find_or_add_ep(d, r->ep);
	bool changed;

	(void)now;
	if (r->av.av_len > FG_LIST_MAX || r->fence < e->fence)
		return false;
	if (r->fence == e->fence && r->seq < e->seq)
		return false;
	changed = !has_same_adapters(e, r) ||
		  e->reported_leaving != (bool)r->leaving;
	e->fence = r->fence;
	e->seq = r->seq;
	e->slots = r->slots;
	e->in_use = r->in_use;
	e->batch = r->batch;
	e->reported_leaving = r->leaving;
	e->own_grants_at_report = e->own_grants;
	if (changed)
		set_resident(d, e, r->av.av_val, r->av.av_len);
	return changed;
}

void fg_dir_add_own_grants(struct fg_dir *d, uint64_t ep, int32_t delta)
{
	struct fg_dir_ep *e = g_hash_table_lookup(d->by_id, &ep);

	if (e == NULL)
		return;
	e->own_grants += delta;
	if (e->own_grants < 0)
		e->own_grants = 0;
}

/* ---- Choice of an endpoint ---- */

uint32_t fg_dir_ep_in_use(const struct fg_dir_ep *e)
{
	int64_t in_use =
		(int64_t)e->in_use + e->own_grants - e->own_grants_at_report;

	if (in_use < e->own_grants)
		in_use = e->own_grants;
	return (uint32_t)in_use;
}

double fg_dir_ep_utilization(const struct fg_dir_ep *e)
{
	return (double)fg_dir_ep_in_use(e) / (e->batch > 0 ? e->batch : 1);
}

bool fg_dir_ep_is_usable(const struct fg_dir_ep *e, uint64_t service)
{
	return e->service == service && !e->leaving && !e->reported_leaving;
}

const GPtrArray *fg_dir_find_holders(const struct fg_dir *d, fg_av av)
{
	uint64_t key = fg_av_key(av);

	return g_hash_table_lookup(d->by_av, &key);
}

static bool is_avoided(uint64_t ep, const uint64_t *avoid, size_t n_avoid)
{
	for (size_t i = 0; i < n_avoid; i++)
		if (avoid[i] == ep)
			return true;
	return false;
}

struct candidate {
	const struct fg_dir_ep *e;
	bool in_region;
	double cost;
	uint64_t tie_break;
};

static bool is_better(const struct candidate *a, const struct candidate *b)
{
	if (b->e == NULL)
		return true;
	if (a->in_region != b->in_region)
		return a->in_region;
	if (a->cost != b->cost)
		return a->cost < b->cost;
	return a->tie_break > b->tie_break;
}

/* Returns the cost of picking e; the lowest cost wins. */
static double compute_pick_cost(const struct fg_dir *d,
				const struct fg_dir_ep *e, uint64_t prefix_hash)
{
	double utilization = fg_dir_ep_utilization(e);

	if (d->packing && utilization < FG_PACK_UTILIZATION_MAX)
		return -utilization;
	return prefix_hash != 0 ? (int)(utilization * PREFIX_LEVELS)
				: utilization;
}

struct fg_pick fg_dir_pick_endpoint(struct fg_dir *d, fg_ms now,
				    const char *service, fg_av av,
				    const char *region, bool allow_remote,
				    const uint64_t *avoid, size_t n_avoid,
				    uint64_t prefix_hash)
{
	const GPtrArray *eps = fg_dir_find_holders(d, av);
	uint64_t service_hash = fg_hash_str(service);
	uint64_t region_hash = fg_hash_str(region);
	struct candidate best = { 0 };
	struct fg_pick pick = { 0 };

	(void)now;
	for (guint i = 0; eps != NULL && i < eps->len; i++) {
		struct candidate c = { .e = eps->pdata[i] };

		c.in_region = c.e->region == region_hash;
		if (!fg_dir_ep_is_usable(c.e, service_hash) ||
		    (!c.in_region && !allow_remote) ||
		    is_avoided(c.e->id, avoid, n_avoid))
			continue;
		c.cost = compute_pick_cost(d, c.e, prefix_hash);
		c.tie_break = prefix_hash != 0
				      ? fg_hash_mix(prefix_hash, c.e->id)
				      : fg_rand_next(&d->rand);
		if (is_better(&c, &best))
			best = c;
	}
	if (best.e == NULL)
		return pick;
	pick.ep = best.e->id;
	pick.resident = true;
	pick.in_use = fg_dir_ep_in_use(best.e);
	pick.batch = best.e->batch;
	return pick;
}

void fg_dir_for_each_holder(const struct fg_dir *d, fg_av av,
			    void (*fn)(void *arg, uint64_t ep), void *arg)
{
	const GPtrArray *eps = fg_dir_find_holders(d, av);

	for (guint i = 0; eps != NULL && i < eps->len; i++)
		fn(arg, ((const struct fg_dir_ep *)eps->pdata[i])->id);
}
