/*
 * fl_experiment - an experiment from a YAML file: load options, faults to
 * inject and a plot.
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
 * All keys except `options` are optional. Options on the command line override
 * those in the file. A fault is a POST of `body` to the control address.
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
	uint32_t batch; /* largest number of concurrent runs */
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

/* Returns NULL after an error message. */
struct fl_experiment *fl_experiment_load(const char *path);
void fl_experiment_free(struct fl_experiment *exp);

/* Starts a thread that injects the faults in the order of the file, each at
 * at_ms after `begin`. exp is borrowed. */
struct fl_faults;
struct fl_faults *fl_faults_start(const struct fl_experiment *exp, fg_ms begin);

/* Cancels the remaining faults, waits for the thread and frees the object. */
void fl_faults_stop(struct fl_faults *faults);

#endif
