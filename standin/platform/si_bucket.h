/*
 * si_bucket - token bucket for the rates of the platform.
 */
#ifndef SI_BUCKET_H
#define SI_BUCKET_H

#include <stdbool.h>

#include "base/fg_clock.h"

struct si_bucket {
	double rate_per_s; /* 0: no limit */
	double tokens;
	fg_ms filled;
};

/* Holds one second's worth at most, and at least one. */
void si_bucket_init(struct si_bucket *b, double rate_per_s, fg_ms now);

/* Takes a token; on false *retry_after_ms says when the next one is there. */
bool si_bucket_take(struct si_bucket *b, fg_ms now, fg_ms *retry_after_ms);

#endif
