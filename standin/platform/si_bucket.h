/*
 * si_bucket - token bucket that limits the rates of the platform.
 */
#ifndef SI_BUCKET_H
#define SI_BUCKET_H

#include <stdbool.h>

#include "base/fg_clock.h"

struct si_bucket {
	double rate_per_s; /* 0: no limit */
	double tokens;
	fg_ms refilled_at;
};

/* Starts full. The capacity is one second's worth of tokens, at least one. */
void si_bucket_init(struct si_bucket *b, double rate_per_s, fg_ms now);

/* Takes one token. Returns false when there is none; *retry_after_ms is then
 * the time until the next one. */
bool si_bucket_take(struct si_bucket *b, fg_ms now, fg_ms *retry_after_ms);

#endif
