/*
 * fg_silence - when a request is withdrawn from an endpoint that sends nothing.
 *
 * Silence tells a hung endpoint from a slow or paused one only by its length. A
 * request that can go on at another endpoint is withdrawn once the silence is
 * longer than answers of the service lately took. One that cannot stays until
 * its deadline: to end it would lose an answer that may still come.
 *
 * Does no I/O and reads no clock. Durations are in ms.
 */
#ifndef FG_SILENCE_H
#define FG_SILENCE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/fg_clock.h"

/* What is known of a request whose endpoint sent nothing since the request. */
struct fg_silence_view {
	uint32_t limit_ms;   /* of fg_silence_limit_ms() */
	fg_ms silent_ms;     /* since it was sent */
	bool may_run_again;  /* by the kind of its route */
	uint32_t runs_left;  /* endpoints that may still get it */
	bool has_budget;     /* of retries */
	bool other_endpoint; /* one that was not tried can take it now */
};

enum fg_silence_verdict {
	FG_SILENCE_WAIT = 0,
	FG_SILENCE_SUSPECT = 1,	 /* wait, but send new requests elsewhere */
	FG_SILENCE_WITHDRAW = 2, /* the same, and send it elsewhere */
};

/* Returns the silence that is not unusual yet: answers take `expected_ms` by
 * estimate and lately began after `longest_ms` at most; not below `floor_ms`.
 */
uint32_t fg_silence_limit_ms(uint32_t floor_ms, uint32_t expected_ms,
			     uint32_t longest_ms);

enum fg_silence_verdict fg_silence_judge(const struct fg_silence_view *v);

#endif
