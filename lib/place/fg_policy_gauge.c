/*
 * The default policy "gauge". It treats the slots of all endpoints as one
 * cache and evicts the least popular adapter of all. Demands are loaded by
 * priority as long as every due time can be met, otherwise by due time.
 */
#include "place/fg_place_priv.h"

#include <math.h>

/* With less schedule slack than this, demands are loaded by due time. */
#define SCHEDULE_MARGIN_MS 300
#define INTERACTIVE_WEIGHT 4.0	 /* of an interactive request; draft: 1 */
#define WAIT_PER_REQUEST_MS 2000 /* this wait counts as one more request */
/* An adapter requested within this time is probably still in use. */
#define RECENT_USE_MS 1000
#define RECENT_USE_COST 1000.0
/* Factor on the cost of an adapter that another endpoint holds as well. */
#define COPY_COST_FACTOR 0.25
/* The factor when packing sends requests to the other endpoint anyway. */
#define PACKED_COPY_COST_FACTOR 0.01
#define SPREAD_COST 0.05 /* cost of a full batch when load is spread */
#define PACK_BONUS 4.0	 /* bonus of a full batch when load is packed */

/* ---- Order of loads ---- */

/* Returns the least slack of any demand if they are loaded in the given order,
 * which is by due time. */
static fg_ms min_schedule_slack(const struct fg_broker *b, fg_ms now,
				struct fg_demand **demands, size_t n)
{
	fg_ms least = FG_MS_NEVER;

	for (size_t i = 0; i < n; i++) {
		fg_ms done = now +
			     fg_broker_load_wait_ms(b, now, (uint32_t)i + 1) +
			     b->conf.load_ms;

		least = MIN(least, demands[i]->terms.due - done);
	}
	return least;
}

/* Combines the number of waiting requests, their class, the time waited and
 * the adapter's popularity. Time that drafts are held does not count. */
static double compute_priority(const struct fg_broker *b, fg_ms now,
			       const struct fg_demand *demand)
{
	double weight =
		demand->terms.cls < FG_CLASS_DRAFT ? INTERACTIVE_WEIGHT : 1;
	fg_ms since =
		MAX(demand->first_need_at, MIN(demand->terms.hold_until, now));

	return weight * (demand->terms.waiting +
			 (double)(now - since) / WAIT_PER_REQUEST_MS) +
	       fg_popularity_get(b->popularity, now, demand->av) / 100;
}

static struct fg_demand *next_by_priority(const struct fg_broker *b, fg_ms now,
					  struct fg_demand **demands, size_t n)
{
	struct fg_demand *best = demands[0];
	double best_priority = compute_priority(b, now, best);
	fg_ms margin = SCHEDULE_MARGIN_MS;

	if (b->conf.loads_per_s > 0)
		margin += FG_MS_PER_S / b->conf.loads_per_s;
	if (min_schedule_slack(b, now, demands, n) < margin)
		return best;
	for (size_t i = 1; i < n; i++) {
		double priority = compute_priority(b, now, demands[i]);

		if (priority > best_priority) {
			best = demands[i];
			best_priority = priority;
		}
	}
	return best;
}

/* ---- Endpoint and victim ---- */

/* Factor on the eviction cost of av on e; below 1 when another endpoint holds
 * av as well. */
static double copy_cost_factor(const struct fg_broker *b,
			       const struct fg_dir_ep *e, fg_av av)
{
	bool packing = b->conf.stall_weight < FG_SPREAD_STALL_WEIGHT;
	const GPtrArray *eps = fg_dir_find_holders(b->dir, av);

	for (guint i = 0; eps != NULL && i < eps->len; i++) {
		const struct fg_dir_ep *other = eps->pdata[i];

		if (other == e || other->region != e->region ||
		    !fg_dir_ep_is_usable(other, b->service))
			continue;
		if (packing &&
		    fg_dir_ep_utilization(other) < FG_PACK_UTILIZATION_MAX &&
		    fg_dir_ep_utilization(other) >= fg_dir_ep_utilization(e))
			return PACKED_COPY_COST_FACTOR;
		return COPY_COST_FACTOR;
	}
	return 1;
}

/* Estimates the cost of evicting av from e: the later loads that av saves
 * (its popularity) and the requests that wait for it. */
static double compute_victim_cost(const struct fg_broker *b, fg_ms now,
				  const struct fg_dir_ep *e, fg_av av)
{
	const struct fg_demand *pending = fg_broker_find_demand(b, av);
	double copy_factor = copy_cost_factor(b, e, av);
	double cost = fg_popularity_get(b->popularity, now, av) * copy_factor;

	if (pending != NULL)
		cost += pending->terms.waiting;
	if (copy_factor == 1 &&
	    now - fg_popularity_last(b->popularity, av) < RECENT_USE_MS)
		cost += RECENT_USE_COST;
	return cost;
}

/* Sets *victim and returns its cost; INFINITY if all of e is protected. */
static double find_cheapest_victim(const struct fg_broker *b, fg_ms now,
				   const struct fg_dir_ep *e, fg_av *victim)
{
	double least = INFINITY;

	for (uint32_t i = 0; i < e->n_av; i++) {
		double cost;

		if (fg_broker_is_protected(b, now, e, e->av[i]))
			continue;
		cost = compute_victim_cost(b, now, e, e->av[i]);
		if (cost >= least)
			continue;
		least = cost;
		*victim = e->av[i];
	}
	return least;
}

/* Spreads new adapters over endpoints, or packs them where batches run. */
static double compute_utilization_cost(const struct fg_broker *b,
				       const struct fg_dir_ep *e)
{
	double utilization = fg_dir_ep_utilization(e);

	if (b->conf.stall_weight >= FG_SPREAD_STALL_WEIGHT)
		return SPREAD_COST * utilization;
	return utilization < FG_PACK_UTILIZATION_MAX ? -PACK_BONUS * utilization
						     : 0;
}

static bool choose_least_cost(const struct fg_broker *b, fg_ms now,
			      const struct fg_demand *demand, fg_place *place)
{
	double least = INFINITY;

	for (guint i = 0; i < b->dir->eps->len; i++) {
		const struct fg_dir_ep *e = b->dir->eps->pdata[i];
		fg_av victim = { 0, 0 };
		double cost = 0;

		if (!fg_broker_can_load_on(b, now, demand, e))
			continue;
		if (fg_broker_count_free_slots(b, e) == 0)
			cost = find_cheapest_victim(b, now, e, &victim);
		cost += compute_utilization_cost(b, e);
		if (cost >= least)
			continue;
		least = cost;
		place->ep = e->id;
		place->victim = victim;
	}
	return least < INFINITY;
}

const struct fg_policy fg_policy_gauge = {
	.name = "gauge",
	.next_load = next_by_priority,
	.choose_endpoint = choose_least_cost,
	.refuses_needs = true,
	.copies_popular = true,
};
