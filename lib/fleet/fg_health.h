/*
 * fg_health - passive health checks of endpoints, based on their answers.
 *
 * Consecutive failures eject an endpoint for a time that doubles with each
 * further failure. An answer ends the ejection. Errors in answers and slow
 * first tokens do not eject an endpoint but lower its rank (see fg_balance.h),
 * so that an error that all endpoints share ejects none of them.
 *
 * Does no I/O and reads no clock.
 */
#ifndef FG_HEALTH_H
#define FG_HEALTH_H

#include "fleet/fg_fleet.h"

/* The endpoint answered. `error`: the answer reports a fault of the
 * endpoint. */
void fg_health_record_answer(struct fg_fleet_ep *ep, fg_ms now, bool error);

/* The endpoint could not be reached, closed the connection early or sent an
 * invalid answer. */
void fg_health_record_failure(struct fg_fleet_ep *ep, fg_ms now);

/* The first token took `took_ms` instead of the expected `expected_ms`. */
void fg_health_record_first_token(struct fg_fleet_ep *ep, uint32_t took_ms,
				  uint32_t expected_ms);

/* Returns whether the endpoint is ejected at `now`. */
bool fg_health_is_ejected(const struct fg_fleet_ep *ep, fg_ms now);

#endif
