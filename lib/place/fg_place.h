/*
 * fg_place - where adapters live and which endpoint serves a request.
 *
 * Pure, in three parts:
 *   fg_dir     the directory each instance keeps of what is resident where,
 *              fed by RESIDENT messages, and the choice of an endpoint.
 *   fg_heat    decayed arrival counts per adapter.
 *   fg_broker  held by one instance per region and base model: turns needs
 *              into loads within the weight store's budget.
 * Policies are tables of function pointers: "gauge" is the system's own,
 * "strong" and "naive" are baselines for `make bench`.
 */
#ifndef FG_PLACE_H
#define FG_PLACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/fg_clock.h"
#include "base/fg_outcome.h"
#include "base/fg_rand.h"
#include "config/fg_config.h"
#include "peer/fg_msg.h"
#include "place/fg_heat.h"

/* ---- Directory ---- */

struct fg_dir;
struct fg_dir *fg_dir_new(uint64_t seed);
void fg_dir_free(struct fg_dir *d);

/* The preset's weight of stalls: of endpoints that hold an adapter the least
 * loaded is picked when it is high, and the fullest with room when it is low,
 * so that batches fill. */
void fg_dir_set_stall_weight(struct fg_dir *d, uint32_t stall_weight);

/* An engine that may serve `service`; updates if known. */
void fg_dir_set_endpoint(struct fg_dir *d, uint64_t ep, const char *service,
			 const char *region, const char *dc, bool leaving);
void fg_dir_remove_endpoint(struct fg_dir *d, uint64_t ep);

/* A RESIDENT message; an older fence or seq is ignored. Returns true if it
 * was news. */
bool fg_dir_on_resident(struct fg_dir *d, fg_ms now, const fg_resident *r);

/* Own grants in flight on an endpoint; corrects the reported load. */
void fg_dir_add_own_grants(struct fg_dir *d, uint64_t ep, int32_t delta);

struct fg_pick {
	uint64_t ep; /* 0: resident at no usable endpoint */
	bool resident;
	uint32_t in_use;
	uint32_t batch;
};

/* Endpoints marked in `avoid` are not picked. Prefers the region; another
 * region only with allow_remote. Ties go to the prefix hash (0: none). */
struct fg_pick fg_dir_pick_endpoint(struct fg_dir *d, fg_ms now,
				    const char *service, fg_av av,
				    const char *region, bool allow_remote,
				    const uint64_t *avoid, size_t n_avoid,
				    uint64_t prefix_hash);

/* Calls fn for each endpoint where av is resident. */
void fg_dir_for_each_holder(const struct fg_dir *d, fg_av av,
			    void (*fn)(void *arg, uint64_t ep), void *arg);

/* ---- Broker ---- */

struct fg_broker_conf {
	uint64_t fence;
	char service[FG_NAME_BYTES];
	char region[FG_NAME_BYTES];
	uint32_t loads_per_s; /* budget; 0: no limit */
	uint32_t in_flight_max;
	uint32_t load_ms;
	uint32_t order_timeout_ms; /* no PLACE_REP this long: given up */
	uint32_t stall_weight;	   /* of the preset, 0..100 */
};

struct fg_broker;

/* Borrows the directory, which must outlive it. `policy` by name. */
struct fg_broker *fg_broker_new(const struct fg_broker_conf *conf,
				const struct fg_dir *dir, const char *policy,
				uint64_t seed);
void fg_broker_free(struct fg_broker *b);

/* New facts or weights of the configuration. */
void fg_broker_set_limits(struct fg_broker *b, uint32_t loads_per_s,
			  uint32_t in_flight_max, uint32_t load_ms,
			  uint32_t stall_weight);

/* The preset's longest hold: needs of drafts alone wait so long, by
 * fg_hold_ms(), for more requests to share their load. 0 at the start. */
void fg_broker_set_hold_max(struct fg_broker *b, uint32_t hold_max_ms);

/* A NEED from router `from`; replaces its last one for the same adapter.
 * waiting == 0 withdraws it. slack_ms is the time until the load must be
 * done, that is the time left less the service time. */
void fg_broker_on_need(struct fg_broker *b, fg_ms now, uint64_t from,
		       const fg_need *need);
void fg_broker_on_heat(struct fg_broker *b, fg_ms now, const fg_heat *heat);
void fg_broker_on_reply(struct fg_broker *b, fg_ms now,
			const fg_place_rep *rep);
void fg_broker_on_router_gone(struct fg_broker *b, uint64_t from);

/* Emits the PLACE orders that are due; the receiver sends each to the owner
 * of place->ep. Call at least each 50 ms. */
typedef void (*fg_broker_emit)(void *arg, const fg_place *place);
void fg_broker_tick(struct fg_broker *b, fg_ms now, fg_broker_emit emit,
		    void *arg);

/*
 * Emits, for each router with a need that cannot be met within its slack, a
 * reply with order 0, endpoint 0 and FG_PLACE_REFUSED. The router answers
 * NOT_RUN to those of its requests for the adapter that have no more slack
 * than its last need told, and announces the others again; they keep the
 * place that they were admitted to. A need is refused when it is new or
 * tighter; later only if failures made it hopeless. Call after needs came in,
 * and before each tick.
 */
typedef void (*fg_broker_refuse)(void *arg, uint64_t to,
				 const fg_place_rep *rep);
void fg_broker_refuse_needs(struct fg_broker *b, fg_ms now,
			    fg_broker_refuse refuse, void *arg);

/* Time until a load for av would finish if it were asked for now. */
uint32_t fg_broker_estimate_load_ms(const struct fg_broker *b, fg_ms now,
				    fg_av av);

struct fg_broker_stats {
	uint32_t waiting; /* adapters with needs */
	uint32_t in_flight;
	uint64_t ordered, done, failed, refused, timed_out;
};
void fg_broker_stats(const struct fg_broker *b, struct fg_broker_stats *out);

/* ---- Holding drafts ---- */

/*
 * How long a draft may be held before it is sent: never past the latest time
 * that still meets its deadline with service_ms (p95) and load_ms, never
 * longer than the preset's hold_max_ms, and not at all when its adapter is
 * resident on an endpoint with room in a running batch, or when `waiting`
 * requests for it already fill a batch.
 */
uint32_t fg_hold_ms(const struct fg_preset *preset, uint32_t budget_ms,
		    uint32_t service_ms, uint32_t load_ms, uint32_t waiting,
		    uint32_t batch, bool room_now);

#endif
