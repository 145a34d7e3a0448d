/*
 * place_trace - deployments and seeded arrivals for bench_place, and the
 * minimum number of loads that serves them.
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
#define SLOTS 8	 /* per engine */
#define BATCH 16 /* requests that an engine runs at once */

struct deployment {
	const char *name;
	uint32_t eps; /* endpoints, each with one engine */
	uint32_t loads_per_s;
	struct fg_preset preset;
	uint32_t draft_percent;
	uint32_t interactive_deadline_ms;
	uint32_t draft_deadline_min_ms;
	uint32_t draft_deadline_max_ms;
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
	struct arrival *arrivals;
	size_t n;
	fg_ms end;
};

#define TRACE_MS 2400000
#define RESTART_AT_MS 600000 /* engine 0 restarts with empty slots */
#define SHIFT_AT_MS 1200000  /* popularity changes */
#define OUTAGE_AT_MS 1800000 /* the weight store is down for OUTAGE_MS */
#define OUTAGE_MS 20000

/* Generates Poisson arrivals at rate_per_s. The popularity of adapters follows
 * a Zipf distribution with the exponent `zipf`. Free the trace with
 * trace_free(). */
void trace_generate(struct trace *t, const struct deployment *d, double zipf,
		    double rate_per_s, uint64_t seed);
void trace_free(struct trace *t);

/* Returns the loads of a clairvoyant cache (Belady) that pools all slots and
 * serves the requests in order of arrival. */
uint64_t trace_min_loads(const struct trace *t, uint32_t slots);

/* Returns the arrival rate, in requests/s, at which the clairvoyant minimum of
 * loads uses the whole load budget. */
double trace_saturation_rate(const struct deployment *d, double zipf,
			     uint64_t seed);

#endif
