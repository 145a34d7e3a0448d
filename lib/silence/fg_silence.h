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

/* When answers begin, as far as it is known. */
struct fg_silence_times {
	uint32_t floor_ms;    /* of the limit */
	uint32_t expected_ms; /* estimate */
	uint32_t longest_ms;  /* lately */
	uint32_t usual_ms;    /* lately, on average */
	uint32_t time_ms;     /* from the send until the deadline */
};

/* Returns the silence at which the endpoint is suspected: longer than is usual,
 * but early enough that another endpoint can usually still answer in time,
 * where the deadline leaves time for both. */
uint32_t fg_silence_limit_ms(const struct fg_silence_times *t);

enum fg_silence_verdict fg_silence_judge(const struct fg_silence_view *v);

#endif
