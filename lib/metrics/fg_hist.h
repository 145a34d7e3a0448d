/* fg_hist - histogram layout and rendering; private to lib/metrics. */
#ifndef FG_HIST_H
#define FG_HIST_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define FG_HIST_SUB_BITS 4 /* 16 buckets per power of two */
#define FG_HIST_SUB (1u << FG_HIST_SUB_BITS)
#define FG_HIST_MAX_BITS 40
#define FG_HIST_BUCKETS                                                        \
	((FG_HIST_MAX_BITS - FG_HIST_SUB_BITS + 1) * FG_HIST_SUB)

struct fg_hist {
	uint64_t buckets[FG_HIST_BUCKETS];
	uint64_t sum;
};

/* Appends the histogram to `out` in the Prometheus text format; labels may be
 * NULL. */
void fg_hist_render(const struct fg_hist *h, const char *name,
		    const char *labels, GString *out);

#endif
