#include "pace/fg_pace.h"

#include <glib.h>

#define US_PER_MS 1000
#define DENSITY_SCALE 1000
/* A shorter stream counts as one with this many gaps: a single pause in it does
 * not tell the pace of long ones. */
#define GAPS_MIN 7

static uint32_t clamp_u32(uint64_t n)
{
	return (uint32_t)MIN(n, UINT32_MAX - 1);
}

void fg_pace_note(struct fg_pace *p, fg_ms now, uint32_t first_ms,
		  uint64_t n_events, uint32_t events_ms, uint32_t tokens)
{
	fg_took_note(&p->first, now, first_ms);
	if (n_events == 0)
		return;
	fg_took_note(&p->gap, now,
		     clamp_u32((uint64_t)events_ms * US_PER_MS /
			       MAX(n_events - 1, GAPS_MIN)));
	if (tokens > 0)
		fg_took_note(&p->density, now,
			     clamp_u32((n_events * DENSITY_SCALE + tokens - 1) /
				       tokens));
}

uint32_t fg_pace_longest_ms(const struct fg_pace *p, fg_ms now, uint32_t tokens)
{
	uint64_t first_ms = fg_took_longest_ms(&p->first, now, FG_PACE_UNKNOWN);
	uint64_t gap_us = fg_took_longest_ms(&p->gap, now, FG_PACE_UNKNOWN);
	uint64_t density =
		fg_took_longest_ms(&p->density, now, FG_PACE_UNKNOWN);
	uint64_t events;

	if (gap_us == FG_PACE_UNKNOWN || density == FG_PACE_UNKNOWN)
		return FG_PACE_UNKNOWN;
	events = (tokens * density + DENSITY_SCALE - 1) / DENSITY_SCALE;
	if (events > UINT32_MAX)
		return FG_PACE_UNKNOWN - 1;
	return clamp_u32(first_ms + events * gap_us / US_PER_MS);
}
