/*
 * fg_stop - the phases of a planned stop.
 *
 *   serving    requests are taken as long as they can end in time
 *   finishing  no connection is accepted, and idle ones are closed as they
 *              become idle
 *   answering  what is still in progress is answered now, truthfully
 *   flushing   answers are delivered to callers that read slowly, and the
 *              instance withdraws its row
 *   over       the process leaves
 *
 * The phases follow from the time of the signal and the grace, after which the
 * process would be killed. Each phase begins early when nothing is left to do
 * in the one before. All times are readings of fg_clock_now(), durations are in
 * ms.
 *
 * Does no I/O and reads no clock.
 */
#ifndef FG_STOP_H
#define FG_STOP_H

#include <stdbool.h>
#include <stdint.h>

#include "base/fg_clock.h"

enum fg_stop_phase {
	FG_STOP_NONE = 0, /* no stop has begun */
	FG_STOP_SERVING = 1,
	FG_STOP_FINISHING = 2,
	FG_STOP_ANSWERING = 3,
	FG_STOP_FLUSHING = 4,
	FG_STOP_OVER = 5,
};

struct fg_stop {
	enum fg_stop_phase phase;
	fg_ms began_at;
	fg_ms quiet_since; /* no caller has used the instance since then */
	fg_ms answer_at;   /* what is in progress then is answered */
	fg_ms leave_at;	   /* the process leaves, whatever is in transit */
	fg_ms reserve_ms;  /* kept for an endpoint that falls silent */
};

/* What the instance has in progress. */
struct fg_stop_work {
	uint32_t requests; /* read, and not yet answered */
	uint32_t tunnels;
	uint32_t reading; /* connections with a part of a request */
	uint32_t unsent;  /* closed connections whose answer is not delivered */
	uint32_t in_transit; /* open ones with bytes on their way */
	bool writing;	     /* a last write to the store */
};

/* Returns the name of the phase for log lines. */
const char *fg_stop_phase_name(enum fg_stop_phase phase);

/* The signal to stop came at `signalled_at`, not after `now`. Further signals
 * change nothing. */
void fg_stop_begin(struct fg_stop *s, fg_ms signalled_at, fg_ms now,
		   uint32_t grace_ms);

/* Returns whether a request that takes `longest_ms` can still end in time. True
 * before a stop. */
bool fg_stop_has_time(const struct fg_stop *s, fg_ms now, uint32_t longest_ms);

/* Moves on to the phase that is due, at most by one, and returns true when it
 * has. The caller does what the new phase says and calls again. */
bool fg_stop_step(struct fg_stop *s, fg_ms now,
		  const struct fg_stop_work *work);

#endif
