/*
 * fg_uses - the requests that all instances have in flight at one engine, as
 * known to the engine's owner.
 *
 * Each instance reports its requests in flight to the owner, per adapter. A
 * newer report about an adapter replaces the previous one of that instance. A
 * report that is not repeated within FG_USES_TTL_MS expires, so that a lost
 * datagram or a dead instance does not keep an adapter in use.
 *
 * Does no I/O and reads no clock.
 */
#ifndef FG_USES_H
#define FG_USES_H

#include <glib.h>
#include <stdint.h>

#include "base/fg_clock.h"

/* Interval at which instances repeat their reports. */
#define FG_USES_REPEAT_MS 400
#define FG_USES_TTL_MS 1000

/* Requests of one instance for one adapter. */
struct fg_use {
	uint64_t instance;
	uint64_t adapter;
	uint32_t running;
	uint32_t pending_tokens; /* prompt tokens not yet processed */
	fg_ms reported_at;
};

struct fg_uses {
	GArray *list; /* struct fg_use */
};

/* fg_uses_clear() frees the list; fg_uses_init() is needed to use it again. */
void fg_uses_init(struct fg_uses *u);
void fg_uses_clear(struct fg_uses *u);

/* Stores a copy of a report, or removes the entry when `running` is 0. */
void fg_uses_put(struct fg_uses *u, const struct fg_use *use);

/* Removes the reports that were not repeated in time. */
void fg_uses_expire(struct fg_uses *u, fg_ms now);

/* Return the totals over all instances. */
uint32_t fg_uses_running(const struct fg_uses *u);
uint64_t fg_uses_pending_tokens(const struct fg_uses *u);

#endif
