/*
 * fg_stutter - services whose endpoints send bytes that belong to no request.
 *
 * An endpoint may send an answer twice, the copy late. On a connection that is
 * used again, a copy can come where the next answer is due, or in its middle,
 * which ends that request without an answer. A connection that carries one
 * request cannot be hit. A service of which an endpoint was seen to do so is
 * noted for FG_STUTTER_NOTED_MS: meanwhile, requests that may not run again get
 * connections of their own, while others may be sent again and go on with
 * reuse.
 *
 * Does no I/O and reads no clock.
 */
#ifndef FG_STUTTER_H
#define FG_STUTTER_H

#include <stdbool.h>

#include "base/fg_clock.h"

#define FG_STUTTER_NOTED_MS 60000

struct fg_stutter {
	fg_ms noted_until; /* 0: never seen */
};

/* An endpoint of the service sent bytes that belong to no request. Returns
 * whether the service was not noted before. */
bool fg_stutter_note(struct fg_stutter *s, fg_ms now);

/* Returns whether a request to the service may share a connection with others.
 * `s` may be NULL: never seen. */
bool fg_stutter_allows_reuse(const struct fg_stutter *s, fg_ms now,
			     bool may_run_again);

#endif
