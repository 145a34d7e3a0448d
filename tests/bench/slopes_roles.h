/*
 * slopes_roles - shared parts of the files that measure the roles of a node.
 */
#ifndef BENCH_SLOPES_ROLES_H
#define BENCH_SLOPES_ROLES_H

#include "place/fg_place.h"
#include "slopes.h"

#define SERVICE "model"
#define REGION "region"
#define ENGINES 725 /* per region */
#define SLOTS 8
#define BATCH 64
#define ADAPTERS 16000 /* per base model */
#define RUN_MS 60000   /* virtual time of a run */

static inline double slopes_thread_cpu_us(void)
{
	return slopes_cpu_us(CLOCK_THREAD_CPUTIME_ID);
}

/* Returns the i-th adapter; i wraps around at ADAPTERS. */
static inline fg_av slopes_av(uint32_t i)
{
	return (fg_av){ i % ADAPTERS + 1, 1 };
}

/* Returns a directory of n engines whose slots are all filled. The caller frees
 * it with fg_dir_free(). */
struct fg_dir *slopes_new_dir(uint32_t n);

/* Measure at one size (needs per second, engines, filings per second) and set
 * y[idx] of each series. */
void slopes_measure_broker(struct series *s, int idx, int per_s);
void slopes_measure_broker_engines(struct series *s, int idx, int engines);
void slopes_measure_ledger(struct series *s, int idx, int per_s);

#endif
