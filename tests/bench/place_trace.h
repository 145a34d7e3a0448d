/*
 * place_trace - deployments and seeded arrivals for bench_place, and the least
 * number of loads that they need.
 */
#ifndef PLACE_TRACE_H
#define PLACE_TRACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/fg_clock.h"
#include "base/fg_outcome.h"
#include "config/fg_config.h"
#include "peer/fg_proto.h"

#define ADAPTERS 3000
#define ROUTERS 8
#define SLOTS 8
#define BATCH 16

struct deployment {
	const char *name;
	uint32_t eps;
	uint32_t loads_per_s;
	struct fg_preset preset;
	uint32_t draft_percent;
	uint32_t interactive_ms; /* deadlines */
	uint32_t draft_min_ms;
	uint32_t draft_max_ms;
	uint32_t tokens_min;
	uint32_t tokens_max;
	uint32_t service_p95_ms;
};

struct arrival {
	fg_ms at;
	fg_av av;
	uint32_t router;
	enum fg_class cls;
	uint32_t deadline_ms;
	uint32_t tokens;
};

struct trace {
	struct arrival *a;
	size_t n;
	fg_ms end;
};

#define TRACE_MS 2400000
#define RESTART_AT_MS 600000 /* one engine restarts empty */
#define SHIFT_AT_MS 1200000  /* popularity changes */
#define OUTAGE_AT_MS 1800000 /* the store fails for OUTAGE_MS */
#define OUTAGE_MS 20000

/* Poisson arrivals at rate_per_s with Zipf popularity. */
void trace_make(struct trace *t, const struct deployment *d, double zipf,
		double rate_per_s, uint64_t seed);
void trace_free(struct trace *t);

/* Loads of a clairvoyant cache (Belady) with all slots pooled, which serves
 * the requests in order of arrival. */
uint64_t trace_min_loads(const struct trace *t, uint32_t slots);

/* Rate at which the clairvoyant minimum takes the whole load budget. */
double trace_full_rate(const struct deployment *d, double zipf, uint64_t seed);

#endif
