/*
 * slopes_roles - what the files that measure the roles of a node share.
 */
#ifndef BENCH_SLOPES_ROLES_H
#define BENCH_SLOPES_ROLES_H

#include "place/fg_place.h"
#include "slopes.h"

#define SERVICE "model"
#define REGION "region"
#define ENGINES 725 /* of a region */
#define SLOTS 8
#define BATCH 64
#define ADAPTERS 16000 /* of one base model */
#define RUN_MS 60000

static inline double slopes_thread_us(void)
{
	return slopes_cpu_us(CLOCK_THREAD_CPUTIME_ID);
}

static inline fg_av slopes_av(uint32_t i)
{
	return (fg_av){ i % ADAPTERS + 1, 1 };
}

/* A directory of n engines, each with all of its slots filled. */
struct fg_dir *slopes_dir(uint32_t n);

/* Measure at one size: needs a second, engines, filings a second. */
void slopes_broker(struct series *s, int at, int per_s);
void slopes_broker_engines(struct series *s, int at, int engines);
void slopes_ledger(struct series *s, int at, int per_s);

#endif
