/* The directory: what is resident where, and the choice of an endpoint. */
#include "place/fg_place_priv.h"

#include <assert.h>
#include <string.h>

/* With a prefix, loads this close (1/n of a batch) count as equal. */
#define PREFIX_LEVELS 8

void fg_dir_set_stall_weight(struct fg_dir *d, uint32_t stall_weight)
{
	d->packs = stall_weight < FG_PACK_BELOW;
}

static void ep_free(gpointer p)
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
					 ep_free);
	d->list = g_ptr_array_new();
	d->by_av = g_hash_table_new_full(fg_key_hash, g_int64_equal, g_free,
					 (GDestroyNotify)g_ptr_array_unref);
	return d;
}

void fg_dir_free(struct fg_dir *d)
{
	if (d == NULL)
		return;
	g_hash_table_destroy(d->by_av);
	g_ptr_array_free(d->list, TRUE);
	g_hash_table_destroy(d->by_id);
	g_free(d);
}

const struct fg_dir_ep *fg_dir_find(const struct fg_dir *d, uint64_t ep)
{
	return g_hash_table_lookup(d->by_id, &ep);
}

static struct fg_dir_ep *find_or_add(struct fg_dir *d, uint64_t ep)
{
	struct fg_dir_ep *e = g_hash_table_lookup(d->by_id, &ep);

	if (e != NULL)
		return e;
	e = g_new0(struct fg_dir_ep, 1);
	e->id = ep;
	g_hash_table_insert(d->by_id, &e->id, e);
	g_ptr_array_add(d->list, e);
	return e;
}

void fg_dir_set_endpoint(struct fg_dir *d, uint64_t ep, const char *service,
			 const char *region, const char *dc, bool leaving)
{
	struct fg_dir_ep *e = find_or_add(d, ep);

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

static void set_avs(struct fg_dir *d, struct fg_dir_ep *e, const fg_av *av,
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
	set_avs(d, e, NULL, 0);
	g_ptr_array_remove(d->list, e);
	g_hash_table_remove(d->by_id, &ep);
}

static bool same_avs(const struct fg_dir_ep *e, const fg_resident *r)
{
	return e->n_av == r->av.av_len &&
	       (e->n_av == 0 ||
		memcmp(e->av, r->av.av_val, e->n_av * sizeof(fg_av)) == 0);
}

bool fg_dir_on_resident(struct fg_dir *d, fg_ms now, const fg_resident *r)
{
	struct fg_dir_ep *e = find_or_add(d, r->ep);
	bool news;

	(void)now;
	if (r->av.av_len > FG_LIST_MAX || r->fence < e->fence)
		return false;
	if (r->fence == e->fence && r->seq < e->seq)
		return false;
	news = !same_avs(e, r) || e->told_leaving != (bool)r->leaving;
	e->fence = r->fence;
	e->seq = r->seq;
	e->slots = r->slots;
	e->in_use = r->in_use;
	e->batch = r->batch;
	e->told_leaving = r->leaving;
	e->own_reported = e->own;
	if (news)
		set_avs(d, e, r->av.av_val, r->av.av_len);
	return news;
}

void fg_dir_add_own_grants(struct fg_dir *d, uint64_t ep, int32_t delta)
{
	struct fg_dir_ep *e = g_hash_table_lookup(d->by_id, &ep);

	if (e == NULL)
		return;
	e->own += delta;
	if (e->own < 0)
		e->own = 0;
}

/* ---- Choice ---- */

uint32_t fg_dir_ep_load(const struct fg_dir_ep *e)
{
	int64_t load = (int64_t)e->in_use + e->own - e->own_reported;

	if (load < e->own)
		load = e->own;
	return (uint32_t)load;
}

double fg_dir_ep_fill(const struct fg_dir_ep *e)
{
	return (double)fg_dir_ep_load(e) / (e->batch > 0 ? e->batch : 1);
}

bool fg_dir_ep_usable(const struct fg_dir_ep *e, uint64_t service)
{
	return e->service == service && !e->leaving && !e->told_leaving;
}

const GPtrArray *fg_dir_holders(const struct fg_dir *d, fg_av av)
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

struct choice {
	const struct fg_dir_ep *e;
	bool near;
	double level;
	uint64_t tie;
};

static bool is_better(const struct choice *a, const struct choice *b)
{
	if (b->e == NULL)
		return true;
	if (a->near != b->near)
		return a->near;
	if (a->level != b->level)
		return a->level < b->level;
	return a->tie > b->tie;
}

/* Lower is better. */
static double level_of(const struct fg_dir *d, const struct fg_dir_ep *e,
		       uint64_t prefix_hash)
{
	double fill = fg_dir_ep_fill(e);

	if (d->packs && fill < FG_PACK_FILL_MAX)
		return -fill;
	return prefix_hash != 0 ? (int)(fill * PREFIX_LEVELS) : fill;
}

struct fg_pick fg_dir_pick_endpoint(struct fg_dir *d, fg_ms now,
				    const char *service, fg_av av,
				    const char *region, bool allow_remote,
				    const uint64_t *avoid, size_t n_avoid,
				    uint64_t prefix_hash)
{
	const GPtrArray *eps = fg_dir_holders(d, av);
	uint64_t service_hash = fg_hash_str(service);
	uint64_t region_hash = fg_hash_str(region);
	struct choice best = { 0 };
	struct fg_pick pick = { 0 };

	(void)now;
	for (guint i = 0; eps != NULL && i < eps->len; i++) {
		struct choice c = { .e = eps->pdata[i] };

		c.near = c.e->region == region_hash;
		if (!fg_dir_ep_usable(c.e, service_hash) ||
		    (!c.near && !allow_remote) ||
		    is_avoided(c.e->id, avoid, n_avoid))
			continue;
		c.level = level_of(d, c.e, prefix_hash);
		c.tie = prefix_hash != 0 ? fg_hash_mix(prefix_hash, c.e->id)
					 : fg_rand_next(&d->rand);
		if (is_better(&c, &best))
			best = c;
	}
	if (best.e == NULL)
		return pick;
	pick.ep = best.e->id;
	pick.resident = true;
	pick.in_use = fg_dir_ep_load(best.e);
	pick.batch = best.e->batch;
	return pick;
}

void fg_dir_for_each_holder(const struct fg_dir *d, fg_av av,
			    void (*fn)(void *arg, uint64_t ep), void *arg)
{
	const GPtrArray *eps = fg_dir_holders(d, av);

	for (guint i = 0; eps != NULL && i < eps->len; i++)
		fn(arg, ((const struct fg_dir_ep *)eps->pdata[i])->id);
}
