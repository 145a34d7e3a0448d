/*
 * fl_experiment - an experiment read from YAML: load, faults, what to plot.
 *
 *   options: "--requests 600 --rate 40 --zipf 1.1 --shift-at 300"
 *   engines:
 *     - control: 127.0.0.1:20011
 *       batch: 8
 *   faults:
 *     - at_ms: 5000
 *       control: 127.0.0.1:20011
 *       body: '{"op":"restart_empty"}'
 *   plot: stalls.svg
 *   bucket_ms: 500
 *
 * All keys but `options` may be left out. Options of the command line go
 * before those of the file.
 */
#ifndef FL_EXPERIMENT_H
#define FL_EXPERIMENT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/fg_clock.h"

struct fl_fault {
	uint32_t at_ms; /* since the first request */
	char *control;
	char *body;
};

struct fl_engine {
	char *control;
	uint32_t batch;
};

struct fl_experiment {
	char *options;
	struct fl_engine *engines;
	uint32_t engines_count;
	struct fl_fault *faults;
	uint32_t faults_count;
	char *plot;
	uint32_t bucket_ms;
};

/* NULL with a message on stderr on error. */
struct fl_experiment *fl_experiment_load(const char *path);
void fl_experiment_free(struct fl_experiment *exp);

/* Carries out the faults at their times in a thread of its own. */
struct fl_faults;
struct fl_faults *fl_faults_start(const struct fl_experiment *exp, fg_ms begin);

/* Leaves out the faults that are still to come. */
void fl_faults_stop(struct fl_faults *faults);

#endif
