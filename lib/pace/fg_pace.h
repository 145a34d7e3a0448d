/*
 * fg_pace - how long a stream takes at most, by the length that its request
 * allows and the pace of the streams before it.
 *
 * Keeps, for FG_TOOK_KEEP_MS to 2 * FG_TOOK_KEEP_MS, the longest time to a
 * first event, the longest time between events, of a service and of each of its
 * endpoints, and the most events that a token of the allowed length brought.
 * Streams that still run count as well, but for the last. Unlike the durations
 * of earlier streams, this also tells of one that is longer than all of them.
 *
 * A stream that brings fewer events than one for FG_PACE_EVENT_TOKENS_MAX
 * tokens has ended before its allowed length, and tells nothing of one that
 * uses all of it. Nothing here bounds a stream whose endpoint changes its pace.
 *
 * Does no I/O and reads no clock.
 */
#ifndef FG_PACE_H
#define FG_PACE_H

#include <stdbool.h>
#include <stdint.h>

#include "took/fg_took.h"

#define FG_PACE_UNKNOWN UINT32_MAX
/* Endpoints send at most this many tokens in an event. */
#define FG_PACE_EVENT_TOKENS_MAX 4

/* Zeroed memory is a valid initial state of both, in which nothing is known. */
struct fg_pace_gaps {
	struct fg_took all;    /* us between events, the mean of a stream */
	struct fg_took longs;  /* the same of streams that tell the pace */
	struct fg_took shorts; /* and of those that are too short to */
};

struct fg_pace {
	struct fg_took first; /* ms until the first event */
	struct fg_pace_gaps gaps;
	struct fg_took density; /* events per 1,000 tokens */
};

/* What was seen of a stream since it was sent to its endpoint. */
struct fg_pace_run {
	uint32_t first_ms;  /* until its first event, or none so far */
	uint32_t events_ms; /* from then on */
	uint64_t n_events;
	uint32_t tokens; /* its stated length */
	bool ended;
	uint64_t n_events_before; /* from other endpoints */
};

/* A stream that is to be sent. */
struct fg_pace_ask {
	uint32_t tokens; /* its stated length */
	/* Of the endpoint that gets it; NULL: not chosen yet. */
	const struct fg_pace_gaps *endpoint;
};

/* To be called at the end of a stream, and also before. `endpoint` sent it. */
void fg_pace_note(struct fg_pace *p, struct fg_pace_gaps *endpoint, fg_ms now,
		  const struct fg_pace_run *run);

/* Returns the longest time in ms that the stream takes, or FG_PACE_UNKNOWN,
 * also if nothing is known of its endpoint. */
uint32_t fg_pace_longest_ms(const struct fg_pace *p, fg_ms now,
			    const struct fg_pace_ask *ask);

#endif
