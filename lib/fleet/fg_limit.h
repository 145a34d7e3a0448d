/*
 * fg_limit - this instance's share of the limit that an endpoint named.
 *
 * An endpoint in need names the requests a second that it takes from all
 * instances together. The instances do not coordinate each request. For each
 * such endpoint, the first ones in a rendezvous hashing order of the live
 * instances send in turn: each at most one request in an interval, by which
 * they use FG_LIMIT_USED of the limit together. How many these are grows with
 * the limit, so that the sum stays below what the endpoint tolerates even if
 * all of them send at once after a quiet time. The others send one now and
 * then, by which they learn when the limit ends.
 *
 * Nothing is saved up: after an interval without a request, one may be sent,
 * and turns of the others pass unless they are used soon. Instances that
 * disagree for some seconds on which instances live are covered by the part of
 * the limit that is not used.
 *
 * Does no I/O and reads no clock.
 */
#ifndef FG_LIMIT_H
#define FG_LIMIT_H

#include "base/fg_rand.h"
#include "fleet/fg_fleet.h"

/* Parts of the limit that the first instances and the others use. */
#define FG_LIMIT_USED 0.7
#define FG_LIMIT_USED_BY_OTHERS 0.15
/* A lower limit counts as this one: it is how the end of a limit of 0 is
 * noticed. Endpoints tolerate some requests beside any limit. */
#define FG_LIMIT_MIN_PER_S 0.1

/* Sets this instance's interval at an endpoint. `others` are the incarnations
 * of the other live instances, `self` is that of this one. Call it some times a
 * second; without a limit it has no effect. The first interval after a limit
 * was named begins at a random point. */
void fg_limit_update(struct fg_fleet_ep *ep, fg_ms now, uint64_t self,
		     const uint64_t *others, uint32_t n_others,
		     struct fg_rand *rand);

/* Returns whether a request may be assigned to the endpoint now. True without a
 * limit. */
bool fg_limit_allows(const struct fg_fleet_ep *ep, fg_ms now);

/* A request was assigned to the endpoint: uses up the interval. */
void fg_limit_take(struct fg_fleet_ep *ep, fg_ms now);

#endif
