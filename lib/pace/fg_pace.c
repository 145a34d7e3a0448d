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

static uint32_t mean_us(uint32_t events_ms, uint64_t n_gaps)
{
	return clamp_u32((uint64_t)events_ms * US_PER_MS / n_gaps);
}

static void note_gaps(struct fg_pace_gaps *gaps, fg_ms now,
		      const struct fg_pace_run *run)
{
	uint64_t n_gaps = run->n_events - 1;
	uint32_t events_ms = run->events_ms;

	fg_took_note(&gaps->all, now,
		     mean_us(events_ms, MAX(n_gaps, GAPS_MIN)));
	if (n_gaps >= GAPS_MIN)
		fg_took_note(&gaps->longs, now, mean_us(events_ms, n_gaps));
	else if (n_gaps > 0)
		fg_took_note(&gaps->shorts, now, mean_us(events_ms, n_gaps));
}

void fg_pace_note(struct fg_pace *p, struct fg_pace_gaps *endpoint, fg_ms now,
		  const struct fg_pace_run *run)
{
	uint64_t n_events = run->n_events;

	fg_took_note(&p->first, now, run->first_ms);
	if (n_events == 0)
		return;
	note_gaps(&p->gaps, now, run);
	note_gaps(endpoint, now, run);
	/* Until its end, a stream tells only that there are no fewer. */
	if (run->ended && run->tokens > 0)
		fg_took_note(&p->density, now,
			     clamp_u32(((n_events + run->n_events_before) *
						DENSITY_SCALE +
					run->tokens - 1) /
				       run->tokens));
}

/* As long as no stream has told the pace of long ones, a pause in a short one
 * may be its pace. */
static uint32_t longest_gap_us(const struct fg_pace_gaps *gaps, fg_ms now)
{
	if (fg_took_longest_ms(&gaps->longs, now, FG_PACE_UNKNOWN) ==
	    FG_PACE_UNKNOWN)
		return fg_took_longest_ms(&gaps->shorts, now, FG_PACE_UNKNOWN);
	return fg_took_longest_ms(&gaps->all, now, FG_PACE_UNKNOWN);
}

/* An endpoint may become as slow as others of its service are. */
static uint32_t gap_for(const struct fg_pace *p, fg_ms now,
			const struct fg_pace_ask *ask)
{
	uint32_t gap_us = longest_gap_us(&p->gaps, now);

	if (ask->endpoint != NULL)
		gap_us = MAX(gap_us, longest_gap_us(ask->endpoint, now));
	return gap_us;
}

uint32_t fg_pace_longest_ms(const struct fg_pace *p, fg_ms now,
			    const struct fg_pace_ask *ask)
{
	uint64_t first_ms = fg_took_longest_ms(&p->first, now, FG_PACE_UNKNOWN);
	uint64_t gap_us = gap_for(p, now, ask);
	uint64_t density =
		fg_took_longest_ms(&p->density, now, FG_PACE_UNKNOWN);
	uint64_t events;

	if (gap_us == FG_PACE_UNKNOWN || density == FG_PACE_UNKNOWN)
		return FG_PACE_UNKNOWN;
	density = MAX(density, DENSITY_SCALE / FG_PACE_EVENT_TOKENS_MAX);
	events = (ask->tokens * density + DENSITY_SCALE - 1) / DENSITY_SCALE;
	if (events > UINT32_MAX)
		return FG_PACE_UNKNOWN - 1;
	return clamp_u32(first_ms + events * gap_us / US_PER_MS);
}
