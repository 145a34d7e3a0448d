/*
 * fl_conf - the options of fg-load.
 */
#ifndef FL_CONF_H
#define FL_CONF_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/fg_outcome.h"
#include "fl_experiment.h"

struct fl_conf {
	char **addresses; /* "IP:port" of entry instances */
	char **adapters;  /* names, the most popular first */
	char **versions;  /* beside adapters; "" asks for the newest */
	uint32_t n_adapters;
	char **services; /* plain services */
	uint32_t n_services;
	uint32_t requests;
	double rate_per_s; /* 0: each worker sends as fast as it can */
	double zipf;
	uint32_t mix[FG_CLASS_COUNT];  /* shares by class */
	bool streamed[FG_CLASS_COUNT]; /* classes asked for as a stream */
	uint32_t deadline_ms[FG_CLASS_COUNT];
	uint32_t max_tokens;
	uint32_t workers;
	uint32_t attempts; /* of one request, the first included */
	uint64_t seed;
	uint32_t shift_at; /* popularity is dealt anew at this request */
	char *caller;
	char *history; /* "" for none */
	char *summary; /* "" for none */
	uint32_t show;
	bool all_done; /* succeed only if every request was DONE and whole */
	struct fl_experiment *experiment; /* NULL for none */
};

/* Parses the command line; false with a message on stderr on error. */
bool fl_conf_parse(struct fl_conf *conf, int argc, char **argv);
void fl_conf_clear(struct fl_conf *conf);

#endif
