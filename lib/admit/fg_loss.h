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

#include <glib.h>
#include <stdint.h>

#include "base/fg_clock.h"

/* Long enough for the entry of a crashed endpoint to disappear, which happens
 * after three missed heartbeats. */
#define FG_LOSS_KEEP_MS 6000
#define FG_LOSS_MAX 64
#define FG_LOSS_ID_BYTES 40

/* How far the answer was when the connection broke. */
enum fg_loss_phase {
	FG_LOSS_WAITING = 0, /* no byte of an answer */
	FG_LOSS_BEGUN = 1,   /* its head came, shortly before */
};

/* Returns "waiting" or "begun". */
const char *fg_loss_phase_name(enum fg_loss_phase phase);

struct fg_loss {
	char id[FG_LOSS_ID_BYTES]; /* of the request; cut when longer */
	uint64_t fingerprint;
	uint64_t request;
	GBytes *shared_parts; /* as in struct fg_call; NULL: none */
	enum fg_loss_phase phase;
	fg_ms at;
};

/* Zero-initialized: empty. */
struct fg_losses {
	struct fg_loss list[FG_LOSS_MAX]; /* a ring, oldest overwritten */
	uint32_t n;
	uint32_t next;
};

/* A request was lost at loss->at, before its answer was under way for long. The
 * record is copied, with a reference to its parts. A full ring drops its
 * oldest entry. */
void fg_losses_add(struct fg_losses *l, const struct fg_loss *loss);

/* The endpoint lives on: what was lost there was not lost in a crash. */
void fg_losses_drop(struct fg_losses *l);

/* The endpoint crashed: moves the losses of the last FG_LOSS_KEEP_MS to `out`
 * (room for FG_LOSS_MAX), empties the ring and returns their number. The caller
 * releases each with fg_loss_clear(). */
uint32_t fg_losses_take(struct fg_losses *l, fg_ms now, struct fg_loss *out);

void fg_loss_clear(struct fg_loss *loss);

#endif
