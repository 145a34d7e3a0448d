/*
 * fg_loadgate - how many loads from the weight store run at once.
 *
 * The weight store serves a number of loads at full speed and all of them
 * slower beyond. Nobody knows that number, and each instance sees its own
 * loads alone; so each keeps a window that grows while its loads take the
 * usual time and shrinks when they take longer. Loads beyond the window wait
 * at the instance, where the most wanted goes first.
 *
 * Pure.
 */
#ifndef FG_LOADGATE_H
#define FG_LOADGATE_H

#include <stdbool.h>
#include <stdint.h>

struct fg_loadgate {
	double window;	      /* loads at once, at least 1 */
	uint32_t baseline_ms; /* what a load takes at full speed */
	double mean_ms;	      /* what loads took lately, moving average */
};

/* `usual_ms`: the time of a load as far as it is known before the first. */
void fg_loadgate_init(struct fg_loadgate *g, uint32_t usual_ms);

/* May another load begin beside `running` ones? */
bool fg_loadgate_is_open(const struct fg_loadgate *g, uint32_t running);

/* A load ended after took_ms, with `running` others still on their way. */
void fg_loadgate_record_load(struct fg_loadgate *g, uint32_t took_ms,
			     uint32_t running);

/* Expected time until one more load begins, behind `running` and `waiting`
 * ones. */
uint32_t fg_loadgate_wait_ms(const struct fg_loadgate *g, uint32_t running,
			     uint32_t waiting);

#endif
