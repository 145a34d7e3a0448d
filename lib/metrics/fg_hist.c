/* Log-linear histograms with lock-free updates. */
#include "metrics/fg_hist.h"

#include <ck_pr.h>
#include <inttypes.h>

#include "metrics/fg_metrics.h"

/* Returns the position of the highest bit set; value must not be 0. */
static unsigned int highest_bit(uint64_t value)
{
	return 63 - (unsigned int)__builtin_clzll(value);
}

static unsigned int bucket_index(uint64_t value)
{
	unsigned int shift;

	if (value < FG_HIST_SUB)
		return (unsigned int)value;
	shift = highest_bit(value) - FG_HIST_SUB_BITS;
	return (shift + 1) * FG_HIST_SUB +
	       (unsigned int)(value >> shift) % FG_HIST_SUB;
}

/* Returns the smallest value of a bucket; *width is its number of values. */
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
	ck_pr_inc_64(&h->buckets[bucket_index(value)]);
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
	uint64_t cumulative = 0;
	uint64_t value = 0;

	if (total == 0)
		return 0;
	rank = CLAMP(rank, 1, total);
	for (unsigned int i = 0; i < FG_HIST_BUCKETS && cumulative < rank;
	     i++) {
		uint64_t n = ck_pr_load_64(&h->buckets[i]);
		uint64_t width;

		if (n == 0)
			continue;
		cumulative += n;
		value = bucket_low(i, &width) + width / 2;
	}
	return value;
}

static void append_bucket(GString *out, const char *name, const char *labels,
			  const char *bound, uint64_t cumulative)
{
	g_string_append_printf(out, "%s_bucket{%s%sle=\"%s\"} %" PRIu64 "\n",
			       name, labels ? labels : "", labels ? "," : "",
			       bound, cumulative);
}

static void append_total(GString *out, const char *name, const char *suffix,
			 const char *labels, uint64_t value)
{
	g_string_append_printf(out, "%s_%s%s%s%s %" PRIu64 "\n", name, suffix,
			       labels ? "{" : "", labels ? labels : "",
			       labels ? "}" : "", value);
}

/* The upper bounds are one less than a power of two. Bounds above the largest
 * value are omitted, because their counts all equal the total. */
void fg_hist_render(const struct fg_hist *h, const char *name,
		    const char *labels, GString *out)
{
	uint64_t total = fg_hist_count(h);
	uint64_t cumulative = 0;
	char bound[24];

	for (unsigned int i = 0; i < FG_HIST_BUCKETS && cumulative < total;
	     i++) {
		uint64_t width;
		uint64_t next = bucket_low(i, &width) + width;

		cumulative += ck_pr_load_64(&h->buckets[i]);
		if ((next & (next - 1)) != 0)
			continue;
		g_snprintf(bound, sizeof(bound), "%" PRIu64, next - 1);
		append_bucket(out, name, labels, bound, cumulative);
	}
	/* Other threads may have added values since `total` was read, and a
	 * cumulative bucket must not exceed the count. */
	total = MAX(total, cumulative);
	append_bucket(out, name, labels, "+Inf", total);
	append_total(out, name, "sum", labels, fg_hist_sum(h));
	append_total(out, name, "count", labels, total);
}
