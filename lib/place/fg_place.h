/*
 * fg_place - placement: on which endpoints adapters are resident, and which
 * endpoint serves a request.
 *
 *   fg_dir         each instance's directory of resident adapters, updated by
 *                  RESIDENT messages; picks the endpoint of a request.
 *   fg_popularity  popularity of adapters (fg_popularity.h).
 *   fg_broker      runs on one instance per region and base model; turns the
 *                  routers' needs into load orders within the budget of the
 *                  weight store.
 *
 * A policy decides the order of loads, their endpoints and victims. "gauge" is
 * the default; "strong" and "naive" are baselines for `make bench`.
 *
 * The module does no I/O and reads no clock; the caller passes the time.
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
#include "place/fg_popularity.h"

/* ---- Directory ---- */

struct fg_dir;

/* `seed` breaks ties between equal endpoints. Free the directory with
 * fg_dir_free(), which accepts NULL. */
struct fg_dir *fg_dir_new(uint64_t seed);
void fg_dir_free(struct fg_dir *d);

/* Sets the preset's stall weight (0..100). With a high weight the least loaded
 * endpoint that holds the adapter is picked; with a low weight the fullest one
 * with room, so that batches fill. */
void fg_dir_set_stall_weight(struct fg_dir *d, uint32_t stall_weight);

/* Adds or updates an endpoint that serves `service`. A leaving endpoint is not
 * picked. The strings are not kept. */
void fg_dir_set_endpoint(struct fg_dir *d, uint64_t ep, const char *service,
			 const char *region, const char *dc, bool leaving);

/* Removes an endpoint; unknown ones are ignored. */
void fg_dir_remove_endpoint(struct fg_dir *d, uint64_t ep);

/* Applies a RESIDENT message. One with an older fence, or with an older seq of
 * the same fence, is ignored. Returns true if the list of adapters or the
 * owner's leaving flag changed. */
bool fg_dir_on_resident(struct fg_dir *d, fg_ms now, const fg_resident *r);

/* Adds `delta` to the number of this instance's grants in flight on an
 * endpoint. They correct the load that its owner reported last. */
void fg_dir_add_own_grants(struct fg_dir *d, uint64_t ep, int32_t delta);

struct fg_pick {
	uint64_t ep; /* 0: resident on no usable endpoint */
	bool resident;
	uint32_t in_use; /* requests running, as far as known */
	uint32_t batch;	 /* requests that fit in a batch */
};

/* Picks an endpoint where av is resident, none of those in `avoid`. Endpoints
 * of `region` are preferred, others are picked only with allow_remote.
 * Requests with equal prefix_hash get the same endpoint while loads are about
 * equal; 0: no prefix. */
struct fg_pick fg_dir_pick_endpoint(struct fg_dir *d, fg_ms now,
				    const char *service, fg_av av,
				    const char *region, bool allow_remote,
				    const uint64_t *avoid, size_t n_avoid,
				    uint64_t prefix_hash);

/* Calls fn for each endpoint where av is resident, usable or not. */
void fg_dir_for_each_holder(const struct fg_dir *d, fg_av av,
			    void (*fn)(void *arg, uint64_t ep), void *arg);

/* ---- Broker ---- */

struct fg_broker_conf {
	uint64_t fence; /* fencing number of the broker's ownership */
	char service[FG_NAME_BYTES];
	char region[FG_NAME_BYTES];
	uint32_t loads_per_s;	   /* load budget; 0: no limit */
	uint32_t in_flight_max;	   /* loads in flight; 0: no limit */
	uint32_t load_ms;	   /* expected duration of a load */
	uint32_t order_timeout_ms; /* an order without PLACE_REP fails then */
	uint32_t stall_weight;	   /* of the preset, 0..100 */
};

struct fg_broker;

/* Borrows the directory, which must outlive the broker. `policy` is the name
 * of a known policy. Free the broker with fg_broker_free(), which accepts
 * NULL. */
struct fg_broker *fg_broker_new(const struct fg_broker_conf *conf,
				const struct fg_dir *dir, const char *policy,
				uint64_t seed);
void fg_broker_free(struct fg_broker *b);

/* Replaces these values of struct fg_broker_conf after a change of the
 * configuration. */
void fg_broker_set_limits(struct fg_broker *b, uint32_t loads_per_s,
			  uint32_t in_flight_max, uint32_t load_ms,
			  uint32_t stall_weight);

/* Sets the preset's longest hold time (0 at the start). A need of drafts alone
 * waits up to fg_hold_ms() for more requests that share its load. */
void fg_broker_set_hold_max(struct fg_broker *b, uint32_t hold_max_ms);

/* Applies a NEED message. It replaces the router's last need for the same
 * adapter; waiting == 0 withdraws the need. slack_ms is the time until the load
 * must be done: the time left to the deadline less the service time. */
void fg_broker_on_need(struct fg_broker *b, fg_ms now, uint64_t router,
		       const fg_need *need);

/* Adds the arrival counts of a POPULARITY message. */
void fg_broker_on_popularity(struct fg_broker *b, fg_ms now,
			     const fg_popularity *popularity);

/* Applies the reply to a load order; unknown orders are ignored. */
void fg_broker_on_reply(struct fg_broker *b, fg_ms now,
			const fg_place_rep *rep);

/* Withdraws all needs of a router. */
void fg_broker_on_router_gone(struct fg_broker *b, uint64_t router);

/* Emits the PLACE orders that are due; the callback sends each to the owner of
 * place->ep. Call it at least every 50 ms. */
typedef void (*fg_broker_emit)(void *arg, const fg_place *place);
void fg_broker_tick(struct fg_broker *b, fg_ms now, fg_broker_emit emit,
		    void *arg);

/*
 * Refuses needs that cannot be met within their slack: emits a reply with
 * order 0, endpoint 0 and FG_PLACE_REFUSED to the router. The router answers
 * NOT_RUN to those of its requests for the adapter whose slack is at most that
 * of its last need, and sends a new need for the others. Needs that were
 * admitted keep their position.
 *
 * A need is refused when it is new or has become tighter and cannot be met. An
 * admitted need is refused only when a load begun now would end too late, as
 * after failed loads, and the adapter is neither resident nor being loaded.
 * Call this function after needs have arrived and before each fg_broker_tick().
 */
typedef void (*fg_broker_refuse)(void *arg, uint64_t to,
				 const fg_place_rep *rep);
void fg_broker_refuse_needs(struct fg_broker *b, fg_ms now,
			    fg_broker_refuse refuse, void *arg);

/* Estimates the time until a load of av would finish if it were needed now. */
uint32_t fg_broker_estimate_load_ms(const struct fg_broker *b, fg_ms now,
				    fg_av av);

struct fg_broker_stats {
	uint32_t waiting;   /* adapters with needs */
	uint32_t in_flight; /* loads */
	/* Loads since the start. */
	uint64_t ordered, done, failed, refused, timed_out;
};
void fg_broker_stats(const struct fg_broker *b, struct fg_broker_stats *out);

/* ---- Holding drafts ---- */

/*
 * Returns how long a draft may be held before it is sent. The hold ends early
 * enough to meet the draft's deadline (budget_ms from now) with service_ms
 * (p95) and load_ms, and lasts hold_max_ms of the preset at most. It is 0 when
 * the adapter is resident on an endpoint with room in a running batch
 * (room_now), or when the `waiting` requests for it already fill a batch.
 */
uint32_t fg_hold_ms(const struct fg_preset *preset, uint32_t budget_ms,
		    uint32_t service_ms, uint32_t load_ms, uint32_t waiting,
		    uint32_t batch, bool room_now);

#endif
