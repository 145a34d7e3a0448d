/*
 * fg_reach - which endpoints this instance reaches itself.
 *
 * An endpoint to which the last connection failed is in doubt: it may have
 * ended, or the network between it and this instance may be cut. Silence on
 * connections that are established does not put it in doubt. A connection to it
 * through another instance (a relayed one) tells the two apart.
 *
 * Does no I/O and reads no clock.
 */
#ifndef FG_REACH_H
#define FG_REACH_H

#include "fleet/fg_fleet.h"

/* A connection was established. Returns true when the endpoint was in doubt. */
bool fg_reach_note_ok(struct fg_fleet_ep *ep);

/* A connection was refused or not established in time. Returns true when the
 * endpoint was not in doubt. */
bool fg_reach_note_failed(struct fg_fleet_ep *ep, fg_ms now);

/* Returns whether the endpoint is in doubt. */
bool fg_reach_is_doubtful(const struct fg_fleet_ep *ep);

/* Another instance established a connection to the endpoint, or could not. */
void fg_reach_note_tunnel(struct fg_fleet_ep *ep, fg_ms now, bool ok);

/* Returns whether the next connection to the endpoint goes through another
 * instance. `cut` is the result of fg_reach_is_cut(). */
bool fg_reach_needs_tunnel(const struct fg_fleet_ep *ep, fg_ms now, bool cut);

/* Returns whether this instance is cut from its endpoints: most of them are in
 * doubt, and others reach at least one of these. `was_cut`: the former result,
 * which stays until most endpoints are reached. */
bool fg_reach_is_cut(const struct fg_fleet *f, fg_ms now, bool was_cut);

/* Returns how many usable endpoints are in doubt; *usable is the number of all
 * usable ones. */
uint32_t fg_reach_count_doubtful(const struct fg_fleet *f, fg_ms now,
				 uint32_t *usable);

#endif
