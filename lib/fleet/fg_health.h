/*
 * fg_health - passive health of endpoints: what their answers say.
 *
 * Failures in a row eject an endpoint for a time that doubles; a success takes
 * it back in. Errors in answers and slow first answers lower an endpoint's
 * rank (see fg_balance.h) rather than eject it, so that an error that all
 * endpoints share takes none of them out.
 *
 * Pure.
 */
#ifndef FG_HEALTH_H
#define FG_HEALTH_H

#include "fleet/fg_fleet.h"

/* The endpoint answered; `error` tells a failure of its own. */
void fg_health_record_answer(struct fg_fleet_ep *ep, fg_ms now, bool error);

/* It could not be reached, broke off or sent what is no answer. */
void fg_health_record_failure(struct fg_fleet_ep *ep, fg_ms now);

/* The first token came after `took_ms` where `expected_ms` were foreseen. */
void fg_health_record_first_token(struct fg_fleet_ep *ep, uint32_t took_ms,
				  uint32_t expected_ms);

/* Is it ejected now? */
bool fg_health_is_ejected(const struct fg_fleet_ep *ep, fg_ms now);

#endif
