/*
 * fl_conf - the command-line options of fg-load.
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
	char **versions;  /* version per adapter; "" for the newest */
	uint32_t n_adapters;
	char **services; /* plain services */
	uint32_t n_services;
	uint32_t requests;
	double rate_per_s; /* 0: each worker sends as fast as it can */
	double zipf;	   /* exponent of the popularity distribution */
	uint32_t mix[FG_CLASS_COUNT];  /* relative shares of the classes */
	bool streamed[FG_CLASS_COUNT]; /* classes with streamed answers */
	uint32_t deadline_ms[FG_CLASS_COUNT];
	uint32_t max_tokens;
	uint32_t workers;
	uint32_t attempts; /* of one request, including the first */
	uint64_t seed;
	uint32_t shift_at; /* reshuffles popularity at this request; 0: never */
	char *caller;
	char *history; /* path, or "" */
	char *summary; /* path, or "" */
	uint32_t show; /* answers to print per class */
	bool all_done; /* succeed only if every request was DONE and whole */
	struct fl_experiment *experiment; /* NULL for none */
};

/* Parses the command line and the options of the experiment file. On error
 * prints a message and returns false. fl_conf_clear() is required either way.
 */
bool fl_conf_parse(struct fl_conf *conf, int argc, char **argv);
void fl_conf_clear(struct fl_conf *conf);

#endif
