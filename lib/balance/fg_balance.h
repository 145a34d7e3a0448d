/*
 * fg_balance - choice of the endpoint that runs a request.
 *
 * Each usable endpoint of the service gets a cost in ms, and the cheapest one
 * is chosen. The cost is the estimated time until the endpoint begins to
 * answer, plus penalties.
 *
 * For a model request, the time is that of reading the prompt tokens pending at
 * the endpoint and those of the request, plus the time to make the adapter
 * resident: none, a reload from the engine's own memory, or a load from the
 * weight store. For a plain request, it is the time of the work that waits for
 * a slot. Another region, an error rate above the mean, ejection and an earlier
 * attempt of the same request add penalties. Requests in flight from this
 * instance count at once, those from other instances as last reported.
 *
 * Loads from the weight store are scarce, and an endpoint reloads an adapter
 * that it held before in a tenth of the time. Each adapter therefore has home
 * endpoints, the first ones of its rendezvous hashing order over all endpoints
 * of the service. The number of homes grows with the adapter's load: one, and
 * another for each home_utilization of an endpoint's time that its requests
 * take. The next endpoint in the order gets half the penalty of the others, as
 * a second choice. An adapter is loaded elsewhere only when its homes are much
 * busier.
 *
 * Does no I/O and reads no clock; the caller passes the time.
 */
#ifndef FG_BALANCE_H
#define FG_BALANCE_H

#include "base/fg_rand.h"
#include "fleet/fg_fleet.h"
#include "route/fg_route.h"

/* Performance of a deployment's engines and network, and penalties. A penalty
 * is the wait that a request accepts in order to avoid something. */
struct fg_balance_conf {
	double prefill_tokens_per_ms; /* of an engine */
	uint32_t load_ms;	      /* load from the weight store */
	uint32_t reload_ms;	      /* load of an adapter held before */
	uint32_t load_penalty_ms; /* to avoid a load from the weight store */
	uint32_t non_home_penalty_ms; /* to avoid one at a non-home endpoint */
	/* Part of an endpoint's time, 0..1, that the requests of one adapter
	 * may take before the adapter gets another home. */
	double home_utilization;
	uint32_t cross_region_rtt_ms;
	uint32_t cross_region_penalty_ms; /* to avoid another region */
	uint32_t plain_request_ms;	  /* duration of a plain request */
};

struct fg_balance_query {
	const char *service;
	const struct fg_svc *svc;
	const char *region; /* of this instance */
	uint64_t adapter;   /* key; also of the bare model. 0: plain request */
	uint64_t model;	    /* key of its base model, which must be resident */
	uint32_t prompt_tokens; /* 0 for plain requests */
	double tokens_per_s;	/* prompts of the adapter, at all instances */
	uint64_t software;	/* only endpoints of this version; 0: any */
	bool begins_stream;	/* respects fg_fleet_ep.streams_after */
	struct fg_fleet_ep *avoid[4]; /* endpoints tried before */
	uint32_t n_avoid;
};

struct fg_balance_pick {
	struct fg_fleet_ep *ep; /* NULL: none is usable */
	uint32_t wait_ms;	/* estimated, until the answer begins */
	/* Part of wait_ms that makes the adapter resident, and the parts of
	 * both that no other request causes. */
	uint32_t load_ms;
	uint32_t own_wait_ms;
	uint32_t own_load_ms;
	bool resident; /* the adapter is resident, or none is needed */
	double cost_ms;
};

/* Writes the cheapest endpoints to `out`, cheapest first, at most `max`.
 * Returns the number written. `rand` breaks ties between similar costs. */
uint32_t fg_balance_rank(const struct fg_balance_conf *conf, struct fg_fleet *f,
			 fg_ms now, const struct fg_balance_query *query,
			 struct fg_rand *rand, struct fg_balance_pick *out,
			 uint32_t max);

/* Returns the cheapest endpoint, or one with `ep` NULL when none is usable. */
struct fg_balance_pick fg_balance_pick(const struct fg_balance_conf *conf,
				       struct fg_fleet *f, fg_ms now,
				       const struct fg_balance_query *query,
				       struct fg_rand *rand);

#endif
