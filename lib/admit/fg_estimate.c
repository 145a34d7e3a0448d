/*
 * Estimates of service times per class, from decayed histograms with four
 * buckets per doubling.
 *
 * Refused requests give no samples, so an estimate that is too high would never
 * be corrected. A class without samples for STALE_MS therefore fits again until
 * its next sample.
 */
#include "admit/fg_admit.h"

#include <glib.h>
#include <math.h>

#define BUCKETS_PER_DOUBLING 4
#define BUCKETS 84 /* up to 2^21 ms, beyond the longest deadline */
#define HALF_LIFE_MS 30000
#define DECAY_STEP_MS 1000
#define STALE_MS 10000
#define WEIGHT_MIN 0.01 /* a smaller total counts as no samples */

/* Percentile of the service time that must fit into the budget. With the
 * median, an admitted request meets its deadline more often than not. A higher
 * percentile would refuse requests most of which could finish. */
#define FIT_PERCENTILE 50

/* Retry hint when the queue is empty and the service time alone is too long. */
#define RETRY_MIN_MS 1000

struct histogram {
	double weight[BUCKETS];
	double total;
	fg_ms last_sample_at;
};

struct fg_estimate {
	struct histogram hist[FG_CLASS_COUNT];
	fg_ms now;
	fg_ms decayed_at;
};

struct fg_estimate *fg_estimate_new(void)
{
	return g_new0(struct fg_estimate, 1);
}

void fg_estimate_free(struct fg_estimate *e)
{
	g_free(e);
}

static uint32_t bucket_index(uint32_t service_ms)
{
	double doublings = log2((double)service_ms + 1);
	uint32_t bucket = (uint32_t)(doublings * BUCKETS_PER_DOUBLING);

	return MIN(bucket, BUCKETS - 1);
}

/* Largest service time of a bucket. */
static uint32_t bucket_top_ms(uint32_t bucket)
{
	double top = exp2((bucket + 1.0) / BUCKETS_PER_DOUBLING) - 1;

	return (uint32_t)ceil(top);
}

static void decay_histogram(struct histogram *h, double factor)
{
	h->total = 0;
	for (int i = 0; i < BUCKETS; i++) {
		h->weight[i] *= factor;
		h->total += h->weight[i];
	}
}

void fg_estimate_tick(struct fg_estimate *e, fg_ms now)
{
	fg_ms elapsed = now - e->decayed_at;

	e->now = MAX(e->now, now);
	if (elapsed < DECAY_STEP_MS)
		return;
	for (int c = 0; c < FG_CLASS_COUNT; c++)
		decay_histogram(&e->hist[c],
				exp2(-(double)elapsed / HALF_LIFE_MS));
	e->decayed_at = now;
}

void fg_estimate_add(struct fg_estimate *e, fg_ms now, enum fg_class cls,
		     uint32_t service_ms)
{
	struct histogram *h = &e->hist[cls];

	fg_estimate_tick(e, now);
	h->weight[bucket_index(service_ms)] += 1;
	h->total += 1;
	h->last_sample_at = now;
}

uint32_t fg_estimate_percentile_ms(const struct fg_estimate *e,
				   enum fg_class cls, uint32_t percentile)
{
	const struct histogram *h = &e->hist[cls];
	double target_weight = h->total * MIN(percentile, 100) / 100;
	double weight_sum = 0;
	uint32_t top_ms = 0;

	if (h->total < WEIGHT_MIN)
		return 0;
	for (uint32_t i = 0; i < BUCKETS; i++) {
		if (h->weight[i] <= 0)
			continue;
		weight_sum += h->weight[i];
		top_ms = bucket_top_ms(i);
		if (weight_sum >= target_weight)
			break;
	}
	return top_ms;
}

bool fg_estimate_fits(const struct fg_estimate *e, enum fg_class cls,
		      uint32_t budget_ms, uint32_t wait_ms,
		      uint32_t *retry_after_ms)
{
	const struct histogram *h = &e->hist[cls];
	bool is_known =
		h->total >= WEIGHT_MIN && e->now - h->last_sample_at < STALE_MS;
	uint64_t need_ms = wait_ms;

	*retry_after_ms = 0;
	if (!is_known)
		return true;
	need_ms += fg_estimate_percentile_ms(e, cls, FIT_PERCENTILE);
	if (need_ms <= budget_ms)
		return true;
	*retry_after_ms = MAX(wait_ms, RETRY_MIN_MS);
	return false;
}
