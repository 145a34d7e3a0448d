#include "stop/fg_stop.h"

#include <glib.h>

/* Callers keep using the addresses that they looked up for a few seconds. */
#define QUIET_MS 1500
/* Parts of the grace that are kept, at least: for the last answers and their
 * flush, and for the end of the process. */
#define ANSWER_MARGIN_MS 700
#define LEAVE_MARGIN_MS 200
/* A short grace is divided in proportion. */
#define SHORT_GRACE_MS 4000
/* Least margins. The steps of a stop come up to a tick late. */
#define ANSWER_MARGIN_MIN_MS 250
#define LEAVE_MARGIN_MIN_MS 100
/* An endpoint may fall silent for this long while the request is there. */
#define RESERVE_MS 1500

const char *fg_stop_phase_name(enum fg_stop_phase phase)
{
	static const char *const names[] = {
		[FG_STOP_NONE] = "none",
		[FG_STOP_SERVING] = "serving",
		[FG_STOP_FINISHING] = "finishing",
		[FG_STOP_ANSWERING] = "answering",
		[FG_STOP_FLUSHING] = "flushing",
		[FG_STOP_OVER] = "over",
	};

	return names[phase];
}

/* Scales a margin to the grace, which it does not exceed. */
static fg_ms scale_margin(fg_ms grace_ms, fg_ms margin_ms, fg_ms least_ms)
{
	fg_ms part = MIN(grace_ms, SHORT_GRACE_MS);

	return MIN(grace_ms, MAX(least_ms, part * margin_ms / SHORT_GRACE_MS));
}

void fg_stop_begin(struct fg_stop *s, fg_ms signalled_at, fg_ms now,
		   uint32_t grace_ms)
{
	if (s->phase != FG_STOP_NONE)
		return;
	s->phase = FG_STOP_SERVING;
	s->began_at = signalled_at;
	s->quiet_since = now;
	s->answer_at =
		signalled_at + grace_ms -
		scale_margin(grace_ms, ANSWER_MARGIN_MS, ANSWER_MARGIN_MIN_MS);
	s->leave_at =
		signalled_at + grace_ms -
		scale_margin(grace_ms, LEAVE_MARGIN_MS, LEAVE_MARGIN_MIN_MS);
	s->reserve_ms = scale_margin(grace_ms, RESERVE_MS, 0);
}

bool fg_stop_has_time(const struct fg_stop *s, fg_ms now, uint32_t longest_ms)
{
	if (s->phase == FG_STOP_NONE)
		return true;
	return s->phase < FG_STOP_ANSWERING &&
	       now + longest_ms + s->reserve_ms <= s->answer_at;
}

static bool is_busy(const struct fg_stop_work *work)
{
	return work->requests + work->tunnels + work->reading > 0;
}

static enum fg_stop_phase next_phase(const struct fg_stop *s, fg_ms now,
				     const struct fg_stop_work *work)
{
	switch (s->phase) {
	case FG_STOP_SERVING:
		return now >= s->answer_at || now - s->quiet_since >= QUIET_MS
			       ? FG_STOP_FINISHING
			       : FG_STOP_SERVING;
	case FG_STOP_FINISHING:
		return now >= s->answer_at ||
				       (!is_busy(work) && work->in_transit == 0)
			       ? FG_STOP_ANSWERING
			       : FG_STOP_FINISHING;
	case FG_STOP_ANSWERING:
		return FG_STOP_FLUSHING;
	case FG_STOP_FLUSHING:
		return now >= s->leave_at ||
				       (work->unsent + work->in_transit == 0 &&
					!work->writing)
			       ? FG_STOP_OVER
			       : FG_STOP_FLUSHING;
	default:
		return s->phase;
	}
}

bool fg_stop_step(struct fg_stop *s, fg_ms now, const struct fg_stop_work *work)
{
	enum fg_stop_phase next;

	if (is_busy(work))
		s->quiet_since = now;
	next = next_phase(s, now, work);
	if (next == s->phase)
		return false;
	s->phase = next;
	return true;
}
