/*
 * fg_loadgate - limits how many loads from the weight store run at once.
 *
 * The weight store serves a certain number of loads at full speed and slows
 * all of them down beyond it. The number is not known, and each instance sees
 * only its own loads. Each instance therefore keeps a window (additive
 * increase, multiplicative decrease) that grows while its loads take the usual
 * time and shrinks when they take longer. Loads beyond the window are queued
 * at the instance, where the most requested adapter is loaded first.
 *
 * Does no I/O and reads no clock.
 */
#ifndef FG_LOADGATE_H
#define FG_LOADGATE_H

#include <stdbool.h>
#include <stdint.h>

struct fg_loadgate {
	double window;	      /* concurrent loads allowed, at least 1 */
	uint32_t baseline_ms; /* duration of a load at full speed */
	double mean_ms;	      /* duration of recent loads, moving average */
};

/* `usual_ms` is the expected duration of a load at full speed. */
void fg_loadgate_init(struct fg_loadgate *g, uint32_t usual_ms);

/* Returns whether another load may start beside `running` ones. */
bool fg_loadgate_is_open(const struct fg_loadgate *g, uint32_t running);

/* Adjusts the window after a load that ended after `took_ms`, with `running`
 * other loads still in progress. */
void fg_loadgate_record_load(struct fg_loadgate *g, uint32_t took_ms,
			     uint32_t running);

/* Returns the expected time until one more load can start, behind `running`
 * loads in progress and `waiting` queued ones. */
uint32_t fg_loadgate_wait_ms(const struct fg_loadgate *g, uint32_t running,
			     uint32_t waiting);

#endif
