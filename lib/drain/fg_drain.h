/*
 * fg_drain - how long a connection is kept after its last answer.
 *
 * A connection that is closed with unread bytes, or that gets bytes after its
 * close, is reset by the kernel, which then drops what the peer has not
 * received. So the owner of a connection ends its own side only, reads and
 * drops what still comes, and closes when fg_drain_check() says so.
 *
 * Does no I/O and reads no clock. Times are in ms, of any clock that does not
 * go back.
 */
#ifndef FG_DRAIN_H
#define FG_DRAIN_H

#include <stdbool.h>
#include <stdint.h>

#include "base/fg_clock.h"

/* How long after its last byte was acknowledged an answer may be unread by its
 * caller. */
#define FG_DRAIN_KEEP_MS 2000

enum fg_drain_state {
	FG_DRAIN_WAITING = 0,
	FG_DRAIN_DONE = 1,     /* the peer has all: close */
	FG_DRAIN_STALLED = 2,  /* it takes nothing: reset */
	FG_DRAIN_TOO_SLOW = 3, /* it takes too long: reset */
	FG_DRAIN_FLOODED = 4,  /* it sends without end: close */
};

struct fg_drain {
	fg_ms began_at;
	fg_ms progress_at;	    /* the peer took some bytes */
	uint64_t undelivered_bytes; /* at the last check */
	uint64_t dropped_bytes;	    /* received since the begin */
};

void fg_drain_begin(struct fg_drain *d, fg_ms now, uint64_t undelivered_bytes);

/* n bytes were received and dropped. Returns FG_DRAIN_WAITING or
 * FG_DRAIN_FLOODED. */
enum fg_drain_state fg_drain_drop(struct fg_drain *d, uint64_t n_bytes);

/* `undelivered_bytes`: what the peer has not acknowledged. */
enum fg_drain_state fg_drain_check(struct fg_drain *d, fg_ms now,
				   uint64_t undelivered_bytes);

/* Returns the state as the reason in log lines. */
const char *fg_drain_state_name(enum fg_drain_state state);

#endif
