/*
 * fl_stalls - waiting times and batch fill, computed from the engines' logs.
 *
 * The wait of a request is the time from when the request was due to the start
 * of its last run on an engine. The batch fill is the used share of the
 * capacity of all engines' batches. fl_stalls_request() is thread-safe.
 */
#ifndef FL_STALLS_H
#define FL_STALLS_H

#include "fl_experiment.h"
#include "fl_plan.h"

struct fl_stalls;

/* exp is borrowed. */
struct fl_stalls *fl_stalls_new(const struct fl_experiment *exp);
void fl_stalls_free(struct fl_stalls *s);

/* Registers a request that is due at `due`. `name` is its tag without the
 * number of the attempt. */
void fl_stalls_request(struct fl_stalls *s, const char *name, fg_ms due);

/* Reads the logs of the engines. Call it once, after all requests have ended.
 * An engine whose log cannot be read is reported and left out. */
void fl_stalls_collect(struct fl_stalls *s);

/* An interval of bucket_ms. */
struct fl_bucket {
	uint32_t requests; /* due in the interval and run by an engine */
	uint32_t wait_p50_ms;
	uint32_t wait_p95_ms;
	double fill; /* 0 to 1 */
};

/* Returns the intervals from `begin` to `end` and their number in *n. The
 * caller frees the array with g_free(). */
struct fl_bucket *fl_stalls_buckets(struct fl_stalls *s, fg_ms begin, fg_ms end,
				    uint32_t *n);

#endif
