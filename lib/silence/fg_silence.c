#include "silence/fg_silence.h"

#include <glib.h>

/* Part of the longest duration by which the next answer may exceed it. */
#define MARGIN_DIVISOR 4

/* A wait of this many times the usual one is enough for most answers. */
#define USUAL_FACTOR 2

uint32_t fg_silence_limit_ms(const struct fg_silence_times *t)
{
	uint64_t longest_ms =
		(uint64_t)t->longest_ms + t->longest_ms / MARGIN_DIVISOR;
	uint64_t least_ms = MAX(t->floor_ms, t->expected_ms);
	uint64_t limit_ms = MAX(least_ms, longest_ms);
	/* What most answers take, here or at the next endpoint. */
	uint64_t once_ms = MAX(least_ms, (uint64_t)USUAL_FACTOR * t->usual_ms);

	if (t->time_ms >= 2 * once_ms)
		limit_ms = MIN(limit_ms, t->time_ms - once_ms);
	return (uint32_t)MIN(limit_ms, UINT32_MAX);
}

enum fg_silence_verdict fg_silence_judge(const struct fg_silence_view *v)
{
	if (v->silent_ms < (fg_ms)v->limit_ms)
		return FG_SILENCE_WAIT;
	if (!v->may_run_again || v->runs_left == 0 || !v->has_budget ||
	    !v->other_endpoint)
		return FG_SILENCE_SUSPECT;
	return FG_SILENCE_WITHDRAW;
}
