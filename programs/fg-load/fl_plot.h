/*
 * fl_plot - draws stalls and batch fill over time as SVG.
 */
#ifndef FL_PLOT_H
#define FL_PLOT_H

#include "fl_stalls.h"

/* Writes exp->plot; false with a message on stderr on error. */
bool fl_plot_write(const struct fl_experiment *exp,
		   const struct fl_bucket *buckets, uint32_t n);

#endif
