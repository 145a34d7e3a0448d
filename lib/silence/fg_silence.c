#include "silence/fg_silence.h"

#include <glib.h>

/* Part of the longest duration by which the next answer may exceed it. */
#define MARGIN_DIVISOR 4

uint32_t fg_silence_limit_ms(uint32_t floor_ms, uint32_t expected_ms,
			     uint32_t longest_ms)
{
	uint32_t margin_ms = longest_ms / MARGIN_DIVISOR;
	uint32_t limit_ms = MAX(floor_ms, expected_ms);

	if (longest_ms > UINT32_MAX - margin_ms)
		return UINT32_MAX;
	return MAX(limit_ms, longest_ms + margin_ms);
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
