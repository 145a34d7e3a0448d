/* Broker tick: the load budget, load orders, and copies of popular adapters. */
#include "place/fg_place_priv.h"

#include <assert.h>
#include <stdlib.h>

#define BURST_MS 1000	  /* budget of this time may accumulate */
#define RETRY_PLACE_MS 50 /* retry interval while no endpoint can load */
/* Routers receive a RESIDENT message within this time. */
#define RESIDENT_DELAY_MS 1000
#define COPY_CHECK_MS 500
/* Minimum time between two copies of an adapter, or from one endpoint. */
#define COPY_GAP_MS 10000
#define SATURATED_UTILIZATION 0.85

/* ---- Budget ---- */

void fg_broker_refill_tokens(struct fg_broker *b, fg_ms now)
{
	double max_tokens =
		(double)b->conf.loads_per_s * BURST_MS / FG_MS_PER_S;

	if (b->refilled_at == FG_MS_NEVER)
		b->refilled_at = now;
	b->load_tokens += (double)(now - b->refilled_at) * b->conf.loads_per_s /
			  FG_MS_PER_S;
	b->load_tokens = MIN(b->load_tokens, MAX(max_tokens, 1));
	b->refilled_at = now;
}

static bool can_start_load(const struct fg_broker *b, fg_ms now)
{
	uint32_t in_flight = g_hash_table_size(b->loads);

	if (b->paused_until > now)
		return false;
	if (b->store_failures >= FG_STORE_DOWN_FAILURES && in_flight > 0)
		return false;
	if (b->conf.in_flight_max > 0 && in_flight >= b->conf.in_flight_max)
		return false;
	return b->conf.loads_per_s == 0 || b->load_tokens >= 1;
}

static void expire_loads(struct fg_broker *b, fg_ms now)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, b->loads);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct fg_load *l = value;

		if (l->deadline > now)
			continue;
		b->stats.timed_out++;
		fg_broker_record_load_failure(b, now, l->ep, l->av);
		g_hash_table_iter_remove(&it);
	}
}

static gboolean is_cooldown_over(gpointer key, gpointer value, gpointer now)
{
	const struct fg_cooldown *cooldown = value;

	(void)key;
	return cooldown->until <= *(const fg_ms *)now;
}

/* ---- What may be loaded ---- */

bool fg_broker_is_resident(const struct fg_broker *b, fg_av av,
			   bool include_saturated)
{
	const GPtrArray *eps = fg_dir_find_holders(b->dir, av);

	for (guint i = 0; eps != NULL && i < eps->len; i++) {
		const struct fg_dir_ep *e = eps->pdata[i];

		if (!fg_dir_ep_is_usable(e, b->service) ||
		    e->region != b->region)
			continue;
		if (include_saturated ||
		    fg_dir_ep_utilization(e) < SATURATED_UTILIZATION)
			return true;
	}
	return false;
}

/*
 * A need for an adapter that is resident on an endpoint with room is usually
 * withdrawn soon, because its router receives the RESIDENT message as well.
 * Another copy is loaded only if the need persists.
 */
static bool is_eligible(const struct fg_broker *b, fg_ms now,
			const struct fg_demand *demand)
{
	if (demand->retry_at > now || fg_broker_is_loading(b, demand->av))
		return false;
	if (!demand->admitted)
		return false;
	if (b->policy->refuses_needs && demand->terms.hold_until > now)
		return false;
	if (now - demand->first_need_at >= RESIDENT_DELAY_MS)
		return true;
	return !fg_broker_is_resident(b, demand->av,
				      !b->policy->copies_popular);
}

/* ---- Orders ---- */

static void order_load(struct fg_broker *b, fg_ms now, fg_place *place,
		       fg_broker_emit emit, void *arg)
{
	struct fg_load *l = g_new0(struct fg_load, 1);

	b->next_order++;
	place->order = (b->conf.fence << 32) | (b->next_order & UINT32_MAX);
	place->broker_fence = b->conf.fence;
	l->order = place->order;
	l->ep = place->ep;
	l->av = place->av;
	l->victim = place->victim;
	l->deadline = now + b->conf.order_timeout_ms;
	g_hash_table_insert(b->loads, &l->order, l);
	b->load_tokens -= 1;
	b->stats.ordered++;
	emit(arg, place);
}

static void start_loads(struct fg_broker *b, fg_ms now, fg_broker_emit emit,
			void *arg)
{
	GPtrArray *demands;

	if (!can_start_load(b, now))
		return;
	demands = fg_broker_collect_demands(b, now, is_eligible);
	while (demands->len > 0 && can_start_load(b, now)) {
		struct fg_demand *demand = b->policy->next_load(
			b, now, (struct fg_demand **)demands->pdata,
			demands->len);
		fg_place place = { .av = demand->av };

		if (b->policy->choose_endpoint(b, now, demand, &place))
			order_load(b, now, &place, emit, arg);
		else
			demand->retry_at = now + RETRY_PLACE_MS;
		g_ptr_array_remove(demands, demand);
	}
	g_ptr_array_free(demands, TRUE);
}

/* ---- Copies of popular adapters ---- */

static bool was_copied_recently(const struct fg_broker *b, fg_ms now,
				uint64_t key)
{
	const struct fg_cooldown *cooldown =
		g_hash_table_lookup(b->copy_cooldowns, &key);

	return cooldown != NULL && cooldown->until > now;
}

static void record_copy(struct fg_broker *b, fg_ms now, uint64_t key)
{
	struct fg_cooldown *cooldown = g_new0(struct fg_cooldown, 1);

	cooldown->key = key;
	cooldown->until = now + COPY_GAP_MS;
	g_hash_table_replace(b->copy_cooldowns, &cooldown->key, cooldown);
}

/* Returns the most popular adapter of e that is resident on saturated
 * endpoints alone and was not copied recently; none if there is no such
 * adapter. */
static fg_av find_most_popular(const struct fg_broker *b, fg_ms now,
			       const struct fg_dir_ep *e)
{
	fg_av best = { 0, 0 };
	double highest = 0;

	for (uint32_t i = 0; i < e->n_av; i++) {
		double popularity =
			fg_popularity_get(b->popularity, now, e->av[i]);

		if (popularity <= highest ||
		    was_copied_recently(b, now, fg_av_key(e->av[i])) ||
		    fg_broker_is_loading(b, e->av[i]) ||
		    fg_broker_is_resident(b, e->av[i], false))
			continue;
		best = e->av[i];
		highest = popularity;
	}
	return best;
}

/* Copies one adapter of e. The cooldown of e leaves time to see the effect
 * before the next copy. */
static bool start_copy(struct fg_broker *b, fg_ms now,
		       const struct fg_dir_ep *e, fg_broker_emit emit,
		       void *arg)
{
	struct fg_demand demand = { .av = find_most_popular(b, now, e) };
	fg_place place = { .av = demand.av };

	if (fg_av_is_none(demand.av) ||
	    !b->policy->choose_endpoint(b, now, &demand, &place))
		return false;
	record_copy(b, now, fg_av_key(demand.av));
	record_copy(b, now, e->id);
	order_load(b, now, &place, emit, arg);
	return true;
}

/* At most one copy per check, so that needs keep most of the budget. */
static void start_due_copies(struct fg_broker *b, fg_ms now,
			     fg_broker_emit emit, void *arg)
{
	if (!b->policy->copies_popular || now < b->next_copy_check ||
	    !can_start_load(b, now))
		return;
	b->next_copy_check = now + COPY_CHECK_MS;
	for (guint i = 0; i < b->dir->eps->len; i++) {
		const struct fg_dir_ep *e = b->dir->eps->pdata[i];

		if (!fg_dir_ep_is_usable(e, b->service) ||
		    e->region != b->region ||
		    fg_dir_ep_utilization(e) < SATURATED_UTILIZATION ||
		    was_copied_recently(b, now, e->id))
			continue;
		if (start_copy(b, now, e, emit, arg))
			return;
	}
}

void fg_broker_tick(struct fg_broker *b, fg_ms now, fg_broker_emit emit,
		    void *arg)
{
	fg_broker_refill_tokens(b, now);
	expire_loads(b, now);
	g_hash_table_foreach_remove(b->victim_cooldowns, is_cooldown_over,
				    &now);
	g_hash_table_foreach_remove(b->copy_cooldowns, is_cooldown_over, &now);
	start_due_copies(b, now, emit, arg);
	start_loads(b, now, emit, arg);
}
