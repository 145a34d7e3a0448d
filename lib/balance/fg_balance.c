#include "balance/fg_balance.h"

#include <string.h>

#include "fleet/fg_health.h"

/* Costs of endpoints that are out of order, or were tried before: above every
 * wait that a request could have elsewhere, and below that of none. */
#define EJECTED_COST_MS 3000
#define AVOIDED_COST_MS 6000
/* An endpoint that fails as many as half of its requests costs this much. */
#define ERROR_COST_MS 1200
/* A running request slows each step of its batch a little. */
#define RUNNING_COST_MS 1.0
/* A slot whose adapter was used this recently is likely to be in use. */
#define SPARE_MIN_MS 200
/* At a busy engine a stream ends, and may free its slot, about this often. */
#define SLOT_WAIT_MS 150.0
/* No instance is known that could have it loaded there, or its base model is
 * not there. */
#define NO_LOAD_COST_MS 5000
/* What was on its way this long ago still is, or has arrived. */
#define COMING_FRESH_MS 1500
/* Costs differ by up to this at random, so that instances spread. */
#define TIE_MS 4.0

static uint32_t running(const struct fg_fleet_ep *ep)
{
	return ep->running + ep->peers_running;
}

static uint32_t pending(const struct fg_fleet_ep *ep)
{
	return ep->pending_tokens + ep->peers_pending_tokens;
}

/* Mean error rate of the service's usable endpoints: what they share is the
 * requests' own. */
static double mean_errors(struct fg_fleet *f, fg_ms now, const char *service)
{
	const GPtrArray *all = fg_fleet_all(f);
	double sum = 0;
	uint32_t n = 0;

	for (guint i = 0; i < all->len; i++) {
		const struct fg_fleet_ep *ep = all->pdata[i];

		if (strcmp(ep->facts.service, service) != 0 ||
		    !fg_ep_is_usable(ep, now))
			continue;
		sum += ep->error_rate;
		n++;
	}
	return n == 0 ? 0 : sum / n;
}

static bool avoided(const struct fg_balance_query *ask,
		    const struct fg_fleet_ep *ep)
{
	for (uint32_t i = 0; i < ask->n_avoid; i++) {
		if (ask->avoid[i] == ep)
			return true;
	}
	return false;
}

/* How many endpoints the adapter's requests are spread over. */
static uint32_t homes_wanted(const struct fg_balance_conf *conf,
			     const struct fg_balance_query *ask)
{
	double busy =
		ask->tokens_per_s / FG_MS_PER_S / conf->prefill_tokens_per_ms;

	return 1 + (uint32_t)(busy / conf->home_utilization);
}

/* Place of the endpoint in the adapter's order of rendezvous hashing, from 0;
 * places from `enough` on are not distinguished. */
static uint32_t rank_of(struct fg_fleet *f, fg_ms now,
			const struct fg_balance_query *ask,
			const struct fg_fleet_ep *ep, uint32_t enough)
{
	const GPtrArray *all = fg_fleet_all(f);
	uint64_t own = fg_hash_mix(ep->hash, ask->adapter);
	uint32_t before = 0;

	for (guint i = 0; i < all->len && before < enough; i++) {
		const struct fg_fleet_ep *other = all->pdata[i];

		if (fg_hash_mix(other->hash, ask->adapter) > own &&
		    strcmp(other->facts.service, ask->service) == 0 &&
		    fg_ep_is_usable(other, now))
			before++;
	}
	return before;
}

/* Part of the stray penalty: none at a home, half at the next one. */
static double stray_share(struct fg_fleet *f, fg_ms now,
			  const struct fg_balance_query *ask,
			  const struct fg_fleet_ep *ep, uint32_t homes)
{
	uint32_t rank = rank_of(f, now, ask, ep, homes + 1);

	if (rank < homes)
		return 0;
	return rank == homes ? 0.5 : 1;
}

static bool holds(struct fg_fleet_ep *ep, uint64_t key)
{
	const struct fg_ep_adapter *a = fg_ep_adapter_find(ep, key);

	return a != NULL && a->version != 0;
}

/* What it costs to have the adapter there: the load itself in *load_ms. */
static double adapter_cost(const struct fg_balance_conf *conf,
			   const struct fg_balance_query *ask,
			   struct fg_fleet_ep *ep, double stray, uint32_t homes,
			   fg_ms now, bool *resident, double *load_ms)
{
	const struct fg_ep_adapter *a = fg_ep_adapter_find(ep, ask->adapter);
	double cost = 0;

	*load_ms = 0;
	*resident = ask->adapter == 0 || (a != NULL && a->version != 0);
	if (*resident)
		return 0;
	if (ep->owner == 0 || !holds(ep, ask->model))
		cost += NO_LOAD_COST_MS;
	if (ep->spare_age_ms < SPARE_MIN_MS)
		*load_ms += (ep->queue + 1) * SLOT_WAIT_MS;
	if (a != NULL && a->resident_at > 0) {
		*load_ms += conf->reload_ms;
		return cost + *load_ms;
	}
	*load_ms += conf->load_ms + ep->fetch_wait_ms;
	if (a != NULL && a->pending_at > 0 &&
	    now - a->pending_at < COMING_FRESH_MS)
		return cost + *load_ms;
	/* A copy for an adapter with several homes is used often. */
	if (homes > 1 && stray == 0)
		return cost + *load_ms;
	return cost + *load_ms + conf->load_penalty_ms +
	       stray * conf->non_home_penalty_ms;
}

static double plain_wait(const struct fg_balance_conf *conf,
			 const struct fg_fleet_ep *ep)
{
	uint32_t slots = MAX(ep->facts.slots, 1);

	return (double)running(ep) * conf->plain_request_ms / slots;
}

/* Expected wait and cost of one endpoint. */
struct cost {
	double wait_ms;
	double total_ms;
	bool resident;
};

static struct cost cost_of(const struct fg_balance_conf *conf,
			   const struct fg_balance_query *ask,
			   struct fg_fleet_ep *ep, double stray, uint32_t homes,
			   fg_ms now, double errors)
{
	struct cost c = { 0, 0, true };
	double load_ms = 0;
	double excess = MAX(ep->error_rate - errors, 0.0);

	if (ask->svc->engine) {
		c.wait_ms = (pending(ep) + ask->prompt_tokens) /
			    conf->prefill_tokens_per_ms * ep->slowness;
		c.total_ms = adapter_cost(conf, ask, ep, stray, homes, now,
					  &c.resident, &load_ms);
		c.wait_ms += load_ms;
		c.total_ms += c.wait_ms - load_ms +
			      RUNNING_COST_MS * running(ep) * ep->slowness;
	} else {
		c.wait_ms = plain_wait(conf, ep) * ep->slowness;
		c.total_ms = c.wait_ms;
	}
	if (strcmp(ep->region, ask->region) != 0) {
		c.wait_ms += conf->cross_region_rtt_ms;
		c.total_ms += conf->cross_region_rtt_ms +
			      conf->cross_region_penalty_ms;
	}
	c.total_ms += ERROR_COST_MS * 2 * excess;
	if (fg_health_is_ejected(ep, now))
		c.total_ms += EJECTED_COST_MS;
	if (avoided(ask, ep))
		c.total_ms += AVOIDED_COST_MS;
	return c;
}

/* Inserts into a list of at most max entries, cheapest first. */
static uint32_t insert(struct fg_balance_pick *out, uint32_t n, uint32_t max,
		       const struct fg_balance_pick *p)
{
	uint32_t at = n < max ? n : max;

	while (at > 0 && out[at - 1].cost_ms > p->cost_ms) {
		if (at < max)
			out[at] = out[at - 1];
		at--;
	}
	if (at < max)
		out[at] = *p;
	return MIN(n + 1, max);
}

uint32_t fg_balance_rank(const struct fg_balance_conf *conf, struct fg_fleet *f,
			 fg_ms now, const struct fg_balance_query *ask,
			 struct fg_rand *rand, struct fg_balance_pick *out,
			 uint32_t max)
{
	const GPtrArray *all = fg_fleet_all(f);
	double errors = mean_errors(f, now, ask->service);
	uint32_t homes = homes_wanted(conf, ask);
	uint32_t n = 0;

	for (guint i = 0; i < all->len; i++) {
		struct fg_fleet_ep *ep = all->pdata[i];
		struct fg_balance_pick p = { .ep = ep };
		struct cost c;

		if (strcmp(ep->facts.service, ask->service) != 0 ||
		    !fg_ep_is_usable(ep, now))
			continue;
		c = cost_of(conf, ask, ep,
			    ask->adapter == 0
				    ? 0
				    : stray_share(f, now, ask, ep, homes),
			    homes, now, errors);
		p.wait_ms = (uint32_t)c.wait_ms;
		p.resident = c.resident;
		p.cost_ms = c.total_ms + TIE_MS * fg_rand_unit(rand);
		n = insert(out, n, max, &p);
	}
	return n;
}

struct fg_balance_pick fg_balance_pick(const struct fg_balance_conf *conf,
				       struct fg_fleet *f, fg_ms now,
				       const struct fg_balance_query *ask,
				       struct fg_rand *rand)
{
	struct fg_balance_pick best = { 0 };

	(void)fg_balance_rank(conf, f, now, ask, rand, &best, 1);
	return best;
}
