/*
 * fg_idle - how long a connection may stay idle while its limit changes.
 *
 * A caller applies the limit that it knows, and learns of a change some time
 * after the change is in force here. A connection therefore keeps the longest
 * limit that was in force at any time from FG_IDLE_KNOWN_MS before it became
 * idle: a shorter limit does not close a connection whose caller may still use
 * it.
 *
 * Does no I/O and reads no clock.
 */
#ifndef FG_IDLE_H
#define FG_IDLE_H

#include <stdint.h>

#include "base/fg_clock.h"

/* Callers know a limit that has been in force for this long. */
#define FG_IDLE_KNOWN_MS 7000
/* Earlier limits that are kept. With more changes, the oldest ones count as the
 * longest of them. */
#define FG_IDLE_EARLIER_MAX 8

struct fg_idle_earlier {
	uint32_t limit_ms;
	fg_ms until; /* when it was replaced */
};

struct fg_idle {
	uint32_t limit_ms; /* in force; 0: none */
	/* Oldest first; each one is longer than those behind it. */
	struct fg_idle_earlier earlier[FG_IDLE_EARLIER_MAX];
	uint32_t n_earlier;
};

/* The first limit. */
void fg_idle_init(struct fg_idle *i, uint32_t limit_ms);

/* `limit_ms` is in force from now on; 0: connections may stay idle. */
void fg_idle_set(struct fg_idle *i, fg_ms now, uint32_t limit_ms);

/* Returns when a connection that has been idle since `since` may be closed;
 * FG_MS_NEVER: not while this limit is in force. */
fg_ms fg_idle_close_at(const struct fg_idle *i, fg_ms since);

#endif
