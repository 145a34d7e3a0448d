/*
 * fg_metrics - counters, gauges and latency histograms of one process.
 *
 * Instruments are made once, at the start, and then updated by any thread
 * without a lock. They belong to the registry and live as long as it does.
 * Names follow the Prometheus conventions (fg_requests_total); labels are
 * given in that format (class="draft",outcome="DONE") or NULL.
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
 * Make an instrument, or return the one of the same name and labels. All
 * instruments of one name must be of one kind. Safe for several threads.
 */
struct fg_counter *fg_metrics_counter(struct fg_metrics *m, const char *name,
				      const char *labels, const char *help);
struct fg_gauge *fg_metrics_gauge(struct fg_metrics *m, const char *name,
				  const char *labels, const char *help);
struct fg_hist *fg_metrics_hist(struct fg_metrics *m, const char *name,
				const char *labels, const char *help);

/* Counters only grow. */
void fg_counter_add(struct fg_counter *c, uint64_t n);
uint64_t fg_counter_get(const struct fg_counter *c);

void fg_gauge_set(struct fg_gauge *g, int64_t value);
void fg_gauge_add(struct fg_gauge *g, int64_t change);
int64_t fg_gauge_get(const struct fg_gauge *g);

/*
 * Histograms of whole numbers, such as milliseconds. Buckets are log-linear:
 * values below 16 are exact, larger ones lie in buckets whose width is a
 * sixteenth of the power of two below them. Values above FG_HIST_MAX count as
 * FG_HIST_MAX.
 */
#define FG_HIST_MAX ((UINT64_C(1) << 40) - 1)

void fg_hist_add(struct fg_hist *h, uint64_t value);
uint64_t fg_hist_count(const struct fg_hist *h);
uint64_t fg_hist_sum(const struct fg_hist *h);

/* The value below or at which the share q (0..1) of the values lies: the
 * middle of its bucket, within 1/32 of the true value; 0 when empty. */
uint64_t fg_hist_quantile(const struct fg_hist *h, double q);

/* All instruments in the Prometheus text format; g_malloc'ed. Histograms are
 * shown with a bound at each power of two. */
char *fg_metrics_render(struct fg_metrics *m);

#endif
