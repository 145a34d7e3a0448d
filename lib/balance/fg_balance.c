#include "balance/fg_balance.h"

#include <string.h>

#include "fleet/fg_brittle.h"
#include "fleet/fg_health.h"
#include "fleet/fg_limit.h"

/* Costs of ejected endpoints and of those that the request was tried at before:
 * higher than any wait at another endpoint, so that such an endpoint is chosen
 * only when there is no other. */
#define EJECTED_COST_MS 3000
#define AVOIDED_COST_MS 6000
/* Cost of an error rate that is 0.5 above the mean. */
#define ERROR_COST_MS 1200
/* Cost per running request, which slows each step of its batch a little. */
#define RUNNING_COST_MS 1.0
/* A slot whose adapter was used more recently than this is likely in use. */
#define IDLE_SLOT_MIN_MS 200
/* At a busy engine, a stream ends and may free its slot about this often. */
#define SLOT_WAIT_MS 150.0
/* Cost when a load is impossible at present: the engine has no known owner, or
 * does not hold the base model. */
#define NO_LOAD_COST_MS 5000
/* A load that was last reported as pending less than this ago is still pending
 * or has completed. */
#define PENDING_FRESH_MS 1500
/* Random addition to each cost, so that instances spread their requests. */
#define JITTER_MS 4.0

static uint32_t total_running(const struct fg_fleet_ep *ep)
{
	return ep->running + ep->peers_running;
}

static uint64_t total_pending_tokens(const struct fg_fleet_ep *ep)
{
	return ep->pending_tokens + ep->peers_pending_tokens;
}

/* Mean error rate of the service's usable endpoints. Errors that all endpoints
 * have in common are caused by the requests. */
static double mean_error_rate_of(struct fg_fleet *f, fg_ms now,
				 const char *service)
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

static bool is_avoided(const struct fg_balance_query *query,
		       const struct fg_fleet_ep *ep)
{
	for (uint32_t i = 0; i < query->n_avoid; i++) {
		if (query->avoid[i] == ep)
			return true;
	}
	return false;
}

/* Number of home endpoints of the adapter. */
static uint32_t home_count(const struct fg_balance_conf *conf,
			   const struct fg_balance_query *query)
{
	double utilization =
		query->tokens_per_s / FG_MS_PER_S / conf->prefill_tokens_per_ms;

	return 1 + (uint32_t)(utilization / conf->home_utilization);
}

/* Rank of the endpoint in the adapter's rendezvous hashing order, from 0. Ranks
 * are counted up to `limit` only. */
static uint32_t home_rank(struct fg_fleet *f, fg_ms now,
			  const struct fg_balance_query *query,
			  const struct fg_fleet_ep *ep, uint32_t limit)
{
	const GPtrArray *all = fg_fleet_all(f);
	uint64_t own_hash = fg_hash_mix(ep->hash, query->adapter);
	uint32_t before = 0;

	for (guint i = 0; i < all->len && before < limit; i++) {
		const struct fg_fleet_ep *other = all->pdata[i];

		if (fg_hash_mix(other->hash, query->adapter) > own_hash &&
		    strcmp(other->facts.service, query->service) == 0 &&
		    fg_ep_is_usable(other, now))
			before++;
	}
	return before;
}

/* Part of the non-home penalty that applies: none at a home, half at the
 * endpoint that ranks next, and all elsewhere. */
static double non_home_share(struct fg_fleet *f, fg_ms now,
			     const struct fg_balance_query *query,
			     const struct fg_fleet_ep *ep, uint32_t n_homes)
{
	uint32_t rank = home_rank(f, now, query, ep, n_homes + 1);

	if (rank < n_homes)
		return 0;
	return rank == n_homes ? 0.5 : 1;
}

static bool is_resident(struct fg_fleet_ep *ep, uint64_t key)
{
	const struct fg_ep_adapter *a = fg_ep_adapter_find(ep, key);

	return a != NULL && a->version != 0;
}

/* Cost of making the adapter resident; *load_ms is the time that this takes and
 * is part of the cost. */
static double adapter_cost(const struct fg_balance_conf *conf,
			   const struct fg_balance_query *query,
			   struct fg_fleet_ep *ep, double non_home_part,
			   uint32_t n_homes, fg_ms now, bool *resident,
			   double *load_ms)
{
	const struct fg_ep_adapter *a = fg_ep_adapter_find(ep, query->adapter);
	double cost = 0;

	*load_ms = 0;
	*resident = query->adapter == 0 || (a != NULL && a->version != 0);
	if (*resident)
		return 0;
	if (ep->owner == 0 || !is_resident(ep, query->model))
		cost += NO_LOAD_COST_MS;
	if (ep->spare_age_ms < IDLE_SLOT_MIN_MS)
		*load_ms += (ep->queue + 1) * SLOT_WAIT_MS;
	if (a != NULL && a->resident_at > 0) {
		*load_ms += conf->reload_ms;
		return cost + *load_ms;
	}
	*load_ms += conf->load_ms + ep->fetch_wait_ms;
	if (a != NULL && a->pending_at > 0 &&
	    now - a->pending_at < PENDING_FRESH_MS)
		return cost + *load_ms;
	/* At a home of an adapter with several homes, a further copy is used
	 * often enough to justify the load. */
	if (n_homes > 1 && non_home_part == 0)
		return cost + *load_ms;
	return cost + *load_ms + conf->load_penalty_ms +
	       non_home_part * conf->non_home_penalty_ms;
}

static double plain_wait_ms(const struct fg_balance_conf *conf,
			    const struct fg_fleet_ep *ep)
{
	uint32_t slots = MAX(ep->facts.slots, 1);

	return (double)total_running(ep) * conf->plain_request_ms / slots;
}

/* Expected wait and cost of one endpoint. */
struct cost {
	double wait_ms;
	double total_ms;
	bool resident;
	double load_ms; /* part of wait_ms */
	double own_wait_ms;
	double own_load_ms;
};

static struct cost estimate_cost(const struct fg_balance_conf *conf,
				 const struct fg_balance_query *query,
				 struct fg_fleet_ep *ep, double non_home_part,
				 uint32_t n_homes, fg_ms now,
				 double mean_error_rate)
{
	struct cost c = { .resident = true };
	double load_ms = 0;
	double excess = MAX(ep->error_rate - mean_error_rate, 0.0);

	if (query->svc->engine) {
		c.wait_ms = (double)(total_pending_tokens(ep) +
				     query->prompt_tokens) /
			    conf->prefill_tokens_per_ms * ep->slowness;
		c.total_ms = adapter_cost(conf, query, ep, non_home_part,
					  n_homes, now, &c.resident, &load_ms);
		c.wait_ms += load_ms;
		c.load_ms = load_ms;
		c.own_wait_ms =
			query->prompt_tokens / conf->prefill_tokens_per_ms;
		c.own_load_ms = MIN(load_ms, conf->load_ms);
		c.total_ms +=
			c.wait_ms - load_ms +
			RUNNING_COST_MS * total_running(ep) * ep->slowness;
	} else {
		c.wait_ms = plain_wait_ms(conf, ep) * ep->slowness;
		c.total_ms = c.wait_ms;
		c.own_wait_ms = conf->plain_request_ms;
	}
	if (strcmp(ep->region, query->region) != 0) {
		c.own_wait_ms += conf->cross_region_rtt_ms;
		c.wait_ms += conf->cross_region_rtt_ms;
		c.total_ms += conf->cross_region_rtt_ms +
			      conf->cross_region_penalty_ms;
	}
	c.total_ms += ERROR_COST_MS * 2 * excess;
	if (fg_health_is_ejected(ep, now))
		c.total_ms += EJECTED_COST_MS;
	if (is_avoided(query, ep))
		c.total_ms += AVOIDED_COST_MS;
	return c;
}

/* Inserts into a list of `n` entries, at most `max`, cheapest first. Returns
 * the new number of entries. */
static uint32_t insert_pick(struct fg_balance_pick *out, uint32_t n,
			    uint32_t max, const struct fg_balance_pick *p)
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
			 fg_ms now, const struct fg_balance_query *query,
			 struct fg_rand *rand, struct fg_balance_pick *out,
			 uint32_t max)
{
	const GPtrArray *all = fg_fleet_all(f);
	double mean_error_rate = mean_error_rate_of(f, now, query->service);
	uint32_t n_homes = home_count(conf, query);
	uint32_t n = 0;

	for (guint i = 0; i < all->len; i++) {
		struct fg_fleet_ep *ep = all->pdata[i];
		struct fg_balance_pick p = { .ep = ep };
		struct cost c;

		if (strcmp(ep->facts.service, query->service) != 0 ||
		    !fg_ep_accepts(ep, now) || !fg_limit_allows(ep, now) ||
		    !fg_brittle_allows(ep) ||
		    (query->software != 0 && ep->software != query->software) ||
		    (query->begins_stream && now < ep->streams_after))
			continue;
		c = estimate_cost(
			conf, query, ep,
			query->adapter == 0
				? 0
				: non_home_share(f, now, query, ep, n_homes),
			n_homes, now, mean_error_rate);
		p.wait_ms = (uint32_t)c.wait_ms;
		p.load_ms = (uint32_t)c.load_ms;
		p.own_wait_ms = (uint32_t)c.own_wait_ms;
		p.own_load_ms = (uint32_t)c.own_load_ms;
		p.resident = c.resident;
		p.cost_ms = c.total_ms + JITTER_MS * fg_rand_unit(rand);
		n = insert_pick(out, n, max, &p);
	}
	return n;
}

struct fg_balance_pick fg_balance_pick(const struct fg_balance_conf *conf,
				       struct fg_fleet *f, fg_ms now,
				       const struct fg_balance_query *query,
				       struct fg_rand *rand)
{
	struct fg_balance_pick best = { 0 };

	(void)fg_balance_rank(conf, f, now, query, rand, &best, 1);
	return best;
}
