/*
 * fg_metrics - counters, gauges and latency histograms of one process.
 *
 * Instruments are created at startup and then updated by any thread without a
 * lock. The registry owns its instruments; they stay valid until
 * fg_metrics_free(). Names follow the Prometheus conventions, such as
 * fg_requests_total. Labels use the Prometheus format, such as
 * class="draft",outcome="DONE", or are NULL.
 */
#ifndef FG_METRICS_H
#define FG_METRICS_H

#include <stdint.h>

struct fg_metrics;
struct fg_counter;
struct fg_gauge;
struct fg_hist;

struct fg_metrics *fg_metrics_new(void);
void fg_metrics_free(struct fg_metrics *m);

/*
 * Return the instrument with this name and these labels, and create it if it
 * does not exist. All instruments of one name must be of the same kind and
 * share the help text of the first one. The strings are copied. Thread-safe.
 */
struct fg_counter *fg_metrics_counter(struct fg_metrics *m, const char *name,
				      const char *labels, const char *help);
struct fg_gauge *fg_metrics_gauge(struct fg_metrics *m, const char *name,
				  const char *labels, const char *help);
struct fg_hist *fg_metrics_hist(struct fg_metrics *m, const char *name,
				const char *labels, const char *help);

/* Counters only increase. */
void fg_counter_add(struct fg_counter *c, uint64_t n);
uint64_t fg_counter_get(const struct fg_counter *c);

void fg_gauge_set(struct fg_gauge *g, int64_t value);
void fg_gauge_add(struct fg_gauge *g, int64_t change);
int64_t fg_gauge_get(const struct fg_gauge *g);

/*
 * Histograms of unsigned integers, such as milliseconds. Buckets are
 * log-linear: values below 16 have a bucket each, and each larger power of two
 * is divided into 16 buckets of equal width. Values above FG_HIST_MAX are
 * clamped to FG_HIST_MAX.
 */
#define FG_HIST_MAX ((UINT64_C(1) << 40) - 1)

void fg_hist_add(struct fg_hist *h, uint64_t value);
uint64_t fg_hist_count(const struct fg_hist *h);
uint64_t fg_hist_sum(const struct fg_hist *h);

/* Returns the quantile q (0..1) of the values: the middle of its bucket, within
 * 1/32 of the true value. Returns 0 if the histogram is empty. */
uint64_t fg_hist_quantile(const struct fg_hist *h, double q);

/* Returns all instruments in the Prometheus text format. Histograms have one
 * bucket bound per power of two. The caller frees the text with g_free(). */
char *fg_metrics_render(struct fg_metrics *m);

#endif
