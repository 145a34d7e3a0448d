/*
 * fl_plot - plots waiting times and batch fill over time as SVG.
 */
#ifndef FL_PLOT_H
#define FL_PLOT_H

#include "fl_stalls.h"

/* Writes the file exp->plot. Returns false if it cannot be written. */
bool fl_plot_write(const struct fl_experiment *exp,
		   const struct fl_bucket *buckets, uint32_t n);

#endif
