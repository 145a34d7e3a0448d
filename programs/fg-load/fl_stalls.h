/*
 * fl_stalls - load stalls and batch fill, from the engines' own logs.
 *
 * The wait of a request is the time from when the caller was to send it until
 * an engine began to run it for the last time. The batch fill is the share of
 * all places in the engines' batches that were taken.
 */
#ifndef FL_STALLS_H
#define FL_STALLS_H

#include "fl_experiment.h"
#include "fl_plan.h"

struct fl_stalls;

struct fl_stalls *fl_stalls_new(const struct fl_experiment *exp);
void fl_stalls_free(struct fl_stalls *s);

/* A request was to be sent at `due`; name is its tag without the attempt. */
void fl_stalls_request(struct fl_stalls *s, const char *name, fg_ms due);

/* Reads the engines' logs; call it once, when all requests have ended. */
void fl_stalls_collect(struct fl_stalls *s);

/* One interval of bucket_ms. */
struct fl_bucket {
	uint32_t requests; /* that were due in it and began to run */
	uint32_t wait_p50_ms;
	uint32_t wait_p95_ms;
	double fill; /* 0 to 1 */
};

/* Intervals from `begin` until `end`; *n is their number. g_malloc'ed. */
struct fl_bucket *fl_stalls_buckets(struct fl_stalls *s, fg_ms begin, fg_ms end,
				    uint32_t *n);

#endif
