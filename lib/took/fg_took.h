/*
 * fg_took - how long requests of one kind take, by those that were answered.
 *
 * Remembers the longest duration of the last FG_TOOK_KEEP_MS to 2 *
 * FG_TOOK_KEEP_MS, and that of a request that still runs counts from the moment
 * at which it exceeds all others. All durations are in ms.
 *
 * Does no I/O and reads no clock.
 */
#ifndef FG_TOOK_H
#define FG_TOOK_H

#include <stdbool.h>
#include <stdint.h>

#include "base/fg_clock.h"

#define FG_TOOK_KEEP_MS 30000

/* Zeroed memory is a valid initial state, in which nothing is known. */
struct fg_took {
	fg_ms since;		/* beginning of the current span */
	uint32_t longest_ms[2]; /* in the current span and the one before */
	bool known[2];
	uint32_t usual_ms; /* moving average of what was noted */
};

/* A request took `took_ms`, or runs for that long by now. */
void fg_took_note(struct fg_took *t, fg_ms now, uint32_t took_ms);

/* Returns the longest duration, or `unknown_ms` when none is known. */
uint32_t fg_took_longest_ms(const struct fg_took *t, fg_ms now,
			    uint32_t unknown_ms);

#endif
