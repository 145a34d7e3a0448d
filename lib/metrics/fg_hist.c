/* Log-linear histograms with lock-free updates. */
#include "metrics/fg_hist.h"

#include <ck_pr.h>
#include <inttypes.h>

#include "metrics/fg_metrics.h"

/* Position of the highest bit set; value is not 0. */
static unsigned int high_bit(uint64_t value)
{
	return 63 - (unsigned int)__builtin_clzll(value);
}

static unsigned int bucket_of(uint64_t value)
{
	unsigned int shift;

	if (value < FG_HIST_SUB)
		return (unsigned int)value;
	shift = high_bit(value) - FG_HIST_SUB_BITS;
	return (shift + 1) * FG_HIST_SUB +
	       (unsigned int)(value >> shift) % FG_HIST_SUB;
}

/* Smallest value of a bucket, and how many values share it. */
static uint64_t bucket_low(unsigned int bucket, uint64_t *width)
{
	unsigned int shift;

	*width = 1;
	if (bucket < FG_HIST_SUB)
		return bucket;
	shift = bucket / FG_HIST_SUB - 1;
	*width = UINT64_C(1) << shift;
	return (uint64_t)(FG_HIST_SUB + bucket % FG_HIST_SUB) << shift;
}

void fg_hist_add(struct fg_hist *h, uint64_t value)
{
	if (value > FG_HIST_MAX)
		value = FG_HIST_MAX;
	ck_pr_inc_64(&h->buckets[bucket_of(value)]);
	ck_pr_add_64(&h->sum, value);
}

uint64_t fg_hist_count(const struct fg_hist *h)
{
	uint64_t n = 0;

	for (unsigned int i = 0; i < FG_HIST_BUCKETS; i++)
		n += ck_pr_load_64(&h->buckets[i]);
	return n;
}

uint64_t fg_hist_sum(const struct fg_hist *h)
{
	return ck_pr_load_64(&h->sum);
}

uint64_t fg_hist_quantile(const struct fg_hist *h, double q)
{
	uint64_t total = fg_hist_count(h);
	uint64_t rank = (uint64_t)(CLAMP(q, 0.0, 1.0) * (double)total);
	uint64_t seen = 0;
	uint64_t last = 0;

	if (total == 0)
		return 0;
	rank = CLAMP(rank, 1, total);
	for (unsigned int i = 0; i < FG_HIST_BUCKETS && seen < rank; i++) {
		uint64_t n = ck_pr_load_64(&h->buckets[i]);
		uint64_t width;

		if (n == 0)
			continue;
		seen += n;
		last = bucket_low(i, &width) + width / 2;
	}
	return last;
}

static void put_bucket(GString *out, const char *name, const char *labels,
		       const char *bound, uint64_t seen)
{
	g_string_append_printf(out, "%s_bucket{%s%sle=\"%s\"} %" PRIu64 "\n",
			       name, labels ? labels : "", labels ? "," : "",
			       bound, seen);
}

static void put_total(GString *out, const char *name, const char *what,
		      const char *labels, uint64_t value)
{
	g_string_append_printf(out, "%s_%s%s%s%s %" PRIu64 "\n", name, what,
			       labels ? "{" : "", labels ? labels : "",
			       labels ? "}" : "", value);
}

/* Bounds are the largest values below a power of two; those above all values
 * are left out, since they say no more than the last one. */
void fg_hist_render(const struct fg_hist *h, const char *name,
		    const char *labels, GString *out)
{
	uint64_t total = fg_hist_count(h);
	uint64_t seen = 0;
	char bound[24];

	for (unsigned int i = 0; i < FG_HIST_BUCKETS && seen < total; i++) {
		uint64_t width;
		uint64_t next = bucket_low(i, &width) + width;

		seen += ck_pr_load_64(&h->buckets[i]);
		if ((next & (next - 1)) != 0)
			continue;
		g_snprintf(bound, sizeof(bound), "%" PRIu64, next - 1);
		put_bucket(out, name, labels, bound, seen);
	}
	/* Values may have been added meanwhile; the sums must agree. */
	total = MAX(total, seen);
	put_bucket(out, name, labels, "+Inf", total);
	put_total(out, name, "sum", labels, fg_hist_sum(h));
	put_total(out, name, "count", labels, total);
}
