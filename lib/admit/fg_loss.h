/*
 * fg_loss - requests that were lost at an endpoint, kept until it is known
 * whether the endpoint crashed.
 *
 * A connection that breaks during a request does not prove a crash, since
 * connections are reset for many reasons. It counts as a crash if the endpoint
 * refuses connections or restarts soon after. Every request lost there within
 * FG_LOSS_KEEP_MS is then reported (see fg_suspects_handle_event()).
 *
 * Does no I/O and reads no clock.
 */
#ifndef FG_LOSS_H
#define FG_LOSS_H

#include <stdint.h>

#include "base/fg_clock.h"

/* Long enough for the entry of a crashed endpoint to disappear, which happens
 * after three missed heartbeats. */
#define FG_LOSS_KEEP_MS 6000
#define FG_LOSS_MAX 32

struct fg_loss {
	uint64_t fingerprint;
	uint64_t request;
	fg_ms at;
};

/* Zero-initialized: empty. */
struct fg_losses {
	struct fg_loss list[FG_LOSS_MAX]; /* a ring, oldest overwritten */
	uint32_t n;
	uint32_t next;
};

/* A request was lost before the first part of its answer arrived. A full ring
 * drops its oldest entry. */
void fg_losses_add(struct fg_losses *l, fg_ms now, uint64_t fingerprint,
		   uint64_t request);

/* The endpoint crashed: moves the losses of the last FG_LOSS_KEEP_MS to `out`
 * (room for FG_LOSS_MAX), empties the ring and returns their number. */
uint32_t fg_losses_take(struct fg_losses *l, fg_ms now, struct fg_loss *out);

#endif
