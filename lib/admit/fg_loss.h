/*
 * fg_loss - requests that were lost at an endpoint, until it is known whether
 * it died.
 *
 * A connection that breaks under a request is no crash: connections are reset
 * for many reasons. It becomes one when the endpoint proves to be gone soon
 * after, since it refuses connections or starts anew. Then every request lost
 * there within FG_LOSS_KEEP_MS is reported (see fg_suspects).
 *
 * Pure.
 */
#ifndef FG_LOSS_H
#define FG_LOSS_H

#include <stdint.h>

#include "base/fg_clock.h"

/* An entry of a crashed endpoint disappears after three missed heartbeats. */
#define FG_LOSS_KEEP_MS 6000
#define FG_LOSS_MAX 32

struct fg_loss {
	uint64_t fingerprint;
	uint64_t request;
	fg_ms at;
};

struct fg_losses {
	struct fg_loss list[FG_LOSS_MAX]; /* a ring, oldest overwritten */
	uint32_t n;
	uint32_t next;
};

/* A request was lost before the first part of its answer. */
void fg_losses_add(struct fg_losses *l, fg_ms now, uint64_t fingerprint,
		   uint64_t request);

/* The endpoint proved to be gone: moves the recent ones to `out` (room for
 * FG_LOSS_MAX) and returns how many. */
uint32_t fg_losses_take(struct fg_losses *l, fg_ms now, struct fg_loss *out);

#endif
