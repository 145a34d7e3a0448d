/*
 * fg_brittle - this instance's share of the room at brittle endpoints.
 *
 * The endpoints of a service may be brittle for a while: one that has to turn
 * more than N requests away in a second falls over. While one of them says so,
 * all instances together send an endpoint no more requests at a time than it
 * runs, so that it has nothing to turn away: its slots are divided among the
 * live instances, and those that are left over go to the first ones in a
 * rendezvous hashing order. Instances do not ask each other. A rejection that
 * comes all the same pauses the endpoint here for FG_BRITTLE_PAUSE_MS.
 *
 * Does no I/O and reads no clock.
 */
#ifndef FG_BRITTLE_H
#define FG_BRITTLE_H

#include "fleet/fg_fleet.h"

/* Time without requests from this instance after a rejection. */
#define FG_BRITTLE_PAUSE_MS 1000

/* The endpoint said that it is brittle, or, in a final answer, did not. Return
 * whether this is new. */
bool fg_brittle_set(struct fg_fleet_ep *ep, fg_ms now);
bool fg_brittle_clear(struct fg_fleet_ep *ep);

/* Sets this instance's shares at all endpoints. `others` are the incarnations
 * of the other live instances, `self` is that of this one. Call it some times a
 * second and when an endpoint says something new. */
void fg_brittle_update(struct fg_fleet *f, fg_ms now, uint64_t self,
		       const uint64_t *others, uint32_t n_others);

/* Returns whether a further request may be assigned to the endpoint. */
bool fg_brittle_allows(const struct fg_fleet_ep *ep);

#endif
