/*
 * fg_balance - which endpoint runs a request.
 *
 * Every usable endpoint of the service gets a cost in ms: the time until it
 * would begin to answer, as far as this instance can tell. The cheapest is
 * taken. For a model request that is the prompt tokens that wait there, over
 * its speed, plus what it takes to have the adapter there (nothing, a load
 * from its own memory, a load from the weight store). For a plain request it
 * is the work waiting for a slot. Other regions, errors and ejections add to
 * the cost. Own requests in flight are known at once; those of other instances
 * as last reported.
 *
 * Loads from the weight store are scarce, and an endpoint reloads what it held
 * before in a tenth of the time. So each adapter has homes among all endpoints
 * of its service, the first ones of rendezvous hashing: two, and another for
 * each part of an endpoint's time that its requests take. A load goes elsewhere
 * only when the homes are far busier.
 *
 * Pure.
 */
#ifndef FG_BALANCE_H
#define FG_BALANCE_H

#include "base/fg_rand.h"
#include "fleet/fg_fleet.h"
#include "route/fg_route.h"

/* Figures of one deployment's engines and network. */
struct fg_balance_conf {
	double prefill_tokens_per_ms; /* an engine reads */
	uint32_t load_ms;	      /* adapter from the weight store */
	uint32_t reload_ms;	      /* adapter held before */
	uint32_t load_penalty_ms;     /* wait accepted to avoid a load */
	uint32_t non_home_penalty_ms; /* ... a load at another than its homes */
	double home_utilization; /* of an endpoint's time that one adapter may
				    take */
	uint32_t cross_region_rtt_ms;	  /* round trip to another region */
	uint32_t cross_region_penalty_ms; /* wait accepted to stay in the region
					   */
	uint32_t plain_request_ms;	  /* of a plain request */
};

struct fg_balance_query {
	const char *service;
	const struct fg_svc *svc;
	const char *region; /* of this instance */
	uint64_t adapter;   /* the bare model counts as one; 0: plain request */
	uint64_t model;	    /* its base model, which must be there */
	uint32_t prompt_tokens; /* of the prompt; 0 for plain requests */
	double tokens_per_s;	/* prompts of this adapter, all instances */
	struct fg_fleet_ep *avoid[4]; /* tried before */
	uint32_t n_avoid;
};

struct fg_balance_pick {
	struct fg_fleet_ep *ep; /* NULL: none is usable */
	uint32_t wait_ms;	/* until it begins to answer */
	bool resident;		/* it holds the adapter */
	double cost_ms;
};

/* The cheapest endpoints, cheapest first; returns how many, at most max. */
uint32_t fg_balance_rank(const struct fg_balance_conf *conf, struct fg_fleet *f,
			 fg_ms now, const struct fg_balance_query *ask,
			 struct fg_rand *rand, struct fg_balance_pick *out,
			 uint32_t max);

/* The cheapest one. */
struct fg_balance_pick fg_balance_pick(const struct fg_balance_conf *conf,
				       struct fg_fleet *f, fg_ms now,
				       const struct fg_balance_query *ask,
				       struct fg_rand *rand);

#endif
