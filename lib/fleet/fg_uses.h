/*
 * fg_uses - what all instances have in flight at one engine, as its owner
 * keeps it.
 *
 * Each instance reports to the owner what it has in flight there, by adapter;
 * its newest report about an adapter replaces the one before. A report that is
 * not repeated within FG_USES_TTL_MS expires, so that a lost datagram or a
 * dead instance does not keep an adapter in use.
 *
 * Pure.
 */
#ifndef FG_USES_H
#define FG_USES_H

#include <glib.h>
#include <stdint.h>

#include "base/fg_clock.h"

/* Instances repeat theirs every 400 ms. */
#define FG_USES_REPEAT_MS 400
#define FG_USES_TTL_MS 1000

struct fg_use {
	uint64_t instance;
	uint64_t adapter;
	uint32_t running;
	uint32_t pending_tokens;
	fg_ms reported_at;
};

struct fg_uses {
	GArray *list; /* struct fg_use */
};

void fg_uses_init(struct fg_uses *u);
void fg_uses_clear(struct fg_uses *u);

/* A report of an instance; running 0 removes its entry. */
void fg_uses_put(struct fg_uses *u, const struct fg_use *use);

/* Forgets what was not repeated. */
void fg_uses_expire(struct fg_uses *u, fg_ms now);

/* Totals over all instances. */
uint32_t fg_uses_running(const struct fg_uses *u);
uint32_t fg_uses_pending_tokens(const struct fg_uses *u);

#endif
