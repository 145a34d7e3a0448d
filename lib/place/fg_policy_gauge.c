/*
 * The system's own policy. The slots of all endpoints are one cache: the
 * victim is the least popular adapter anywhere, and needs are loaded by worth
 * as long as every deadline can still be met.
 */
#include "place/fg_place_priv.h"

#include <math.h>

#define SCHEDULE_MARGIN_MS 300 /* with less to spare, due times decide */
#define INTERACTIVE_WORTH 4.0  /* of a waiting person, in drafts */
#define AGE_WORTH_MS 2000      /* waiting this long is worth one request */
#define BUSY_MS 1000	       /* asked for so lately: likely still in use */
#define BUSY_COST 1000.0
#define COPY_COST 0.25 /* of an adapter that another endpoint holds as well */
#define PACKED_COPY_COST 0.01 /* when requests go to the fuller endpoint */
#define FILL_COST 0.05	      /* of a full batch, to spread new adapters */
#define PACK_GAIN 4.0 /* of joining a full batch, when they are gathered */

/* ---- Order of loads ---- */

/* Time to spare until some want is overdue if loads are made in order of due
 * time; wants are sorted so. */
static fg_ms schedule_slack(const struct fg_broker *b, fg_ms now,
			    struct fg_want **wants, size_t n)
{
	fg_ms least = FG_MS_NEVER;

	for (size_t i = 0; i < n; i++) {
		fg_ms done = now + fg_broker_start_in(b, now, (uint32_t)i + 1) +
			     b->conf.load_ms;

		least = MIN(least, wants[i]->terms.due - done);
	}
	return least;
}

/* Requests that wait, the urgent ones above all, and for how long; a time for
 * which drafts are held by choice does not count. */
static double worth(const struct fg_broker *b, fg_ms now,
		    const struct fg_want *w)
{
	double each = w->terms.cls < FG_CLASS_DRAFT ? INTERACTIVE_WORTH : 1;
	fg_ms since = MAX(w->first_at, MIN(w->terms.hold_until, now));

	return each * (w->terms.waiting +
		       (double)(now - since) / AGE_WORTH_MS) +
	       fg_heat_get(b->heat, now, w->av) / 100;
}

static struct fg_want *next_by_worth(const struct fg_broker *b, fg_ms now,
				     struct fg_want **wants, size_t n)
{
	struct fg_want *best = wants[0];
	double best_worth = worth(b, now, best);
	fg_ms margin = SCHEDULE_MARGIN_MS;

	if (b->conf.loads_per_s > 0)
		margin += FG_MS_PER_S / b->conf.loads_per_s;
	if (schedule_slack(b, now, wants, n) < margin)
		return best;
	for (size_t i = 1; i < n; i++) {
		double value = worth(b, now, wants[i]);

		if (value > best_worth) {
			best = wants[i];
			best_worth = value;
		}
	}
	return best;
}

/* ---- Place and victim ---- */

/* What is left of the cost of av on e when another endpoint holds it too. */
static double copy_share(const struct fg_broker *b, const struct fg_dir_ep *e,
			 fg_av av)
{
	bool packs = b->conf.stall_weight < FG_PACK_BELOW;
	const GPtrArray *eps = fg_dir_holders(b->dir, av);

	for (guint i = 0; eps != NULL && i < eps->len; i++) {
		const struct fg_dir_ep *other = eps->pdata[i];

		if (other == e || other->region != e->region ||
		    !fg_dir_ep_usable(other, b->service))
			continue;
		if (packs && fg_dir_ep_fill(other) < FG_PACK_FILL_MAX &&
		    fg_dir_ep_fill(other) >= fg_dir_ep_fill(e))
			return PACKED_COPY_COST;
		return COPY_COST;
	}
	return 1;
}

/* What it costs to lose av on e: the loads it saves, as far as its popularity
 * tells, and the requests that wait for it. */
static double victim_cost(const struct fg_broker *b, fg_ms now,
			  const struct fg_dir_ep *e, fg_av av)
{
	const struct fg_want *pending = fg_broker_want(b, av);
	double share = copy_share(b, e, av);
	double cost = fg_heat_get(b->heat, now, av) * share;

	if (pending != NULL)
		cost += pending->terms.waiting;
	if (share == 1 && now - fg_heat_last(b->heat, av) < BUSY_MS)
		cost += BUSY_COST;
	return cost;
}

static double best_victim(const struct fg_broker *b, fg_ms now,
			  const struct fg_dir_ep *e, fg_av *victim)
{
	double least = INFINITY;

	for (uint32_t i = 0; i < e->n_av; i++) {
		double cost;

		if (fg_broker_keeps(b, now, e, e->av[i]))
			continue;
		cost = victim_cost(b, now, e, e->av[i]);
		if (cost >= least)
			continue;
		least = cost;
		*victim = e->av[i];
	}
	return least;
}

/* Spreads new adapters, or gathers them where batches run. */
static double fill_cost(const struct fg_broker *b, const struct fg_dir_ep *e)
{
	double fill = fg_dir_ep_fill(e);

	if (b->conf.stall_weight >= FG_PACK_BELOW)
		return FILL_COST * fill;
	return fill < FG_PACK_FILL_MAX ? -PACK_GAIN * fill : 0;
}

static bool choose_least_cost(const struct fg_broker *b, fg_ms now,
			      const struct fg_want *w, fg_place *place)
{
	double least = INFINITY;

	for (guint i = 0; i < b->dir->list->len; i++) {
		const struct fg_dir_ep *e = b->dir->list->pdata[i];
		fg_av victim = { 0, 0 };
		double cost = 0;

		if (!fg_broker_ep_open(b, now, w, e))
			continue;
		if (fg_broker_free_slots(b, e) == 0)
			cost = best_victim(b, now, e, &victim);
		cost += fill_cost(b, e);
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
	.next = next_by_worth,
	.choose = choose_least_cost,
	.refuses = true,
	.copies = true,
};
