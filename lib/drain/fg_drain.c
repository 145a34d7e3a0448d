#include "drain/fg_drain.h"

#include <glib.h>

/* A peer that takes no bytes for this long, or not all of them in this time,
 * gets no more. */
#define STALL_MS 5000
#define LONGEST_MS 60000
#define DROPPED_MAX_BYTES (16 * 1024 * 1024)

void fg_drain_begin(struct fg_drain *d, fg_ms now, uint64_t undelivered_bytes)
{
	*d = (struct fg_drain){
		.began_at = now,
		.progress_at = now,
		.undelivered_bytes = undelivered_bytes,
	};
}

enum fg_drain_state fg_drain_drop(struct fg_drain *d, uint64_t n_bytes)
{
	d->dropped_bytes += n_bytes;
	return d->dropped_bytes <= DROPPED_MAX_BYTES ? FG_DRAIN_WAITING
						     : FG_DRAIN_FLOODED;
}

enum fg_drain_state fg_drain_check(struct fg_drain *d, fg_ms now,
				   uint64_t undelivered_bytes)
{
	if (undelivered_bytes < d->undelivered_bytes)
		d->progress_at = now;
	d->undelivered_bytes = undelivered_bytes;
	if (undelivered_bytes == 0)
		return now - d->progress_at >= FG_DRAIN_KEEP_MS
			       ? FG_DRAIN_DONE
			       : FG_DRAIN_WAITING;
	if (now - d->progress_at >= STALL_MS)
		return FG_DRAIN_STALLED;
	return now - d->began_at >= LONGEST_MS ? FG_DRAIN_TOO_SLOW
					       : FG_DRAIN_WAITING;
}

const char *fg_drain_state_name(enum fg_drain_state state)
{
	static const char *const names[] = {
		[FG_DRAIN_WAITING] = "waiting",
		[FG_DRAIN_DONE] = "done",
		[FG_DRAIN_STALLED] = "stalled",
		[FG_DRAIN_TOO_SLOW] = "too_slow",
		[FG_DRAIN_FLOODED] = "peer_sends_on",
	};

	return names[state < G_N_ELEMENTS(names) ? state : 0];
}
