/*
 * fg_events - splits a stream of events (text/event-stream) into whole ones.
 *
 * Only whole events are handed on, so that a stream that breaks in the middle
 * of one can go on elsewhere after the last whole event, with none missing and
 * none twice.
 *
 * Pure.
 */
#ifndef FG_EVENTS_H
#define FG_EVENTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* An event larger than this is refused. */
#define FG_EVENT_MAX_BYTES (256 * 1024)

struct fg_events {
	GString *partial; /* begin of an event that is not whole yet */
	bool has_id;
	uint64_t last_id;    /* of the last whole event that had one */
	uint64_t n_complete; /* events handed on */
};

void fg_events_init(struct fg_events *e);
void fg_events_clear(struct fg_events *e);

/* Forgets a begun event: another endpoint goes on. */
void fg_events_drop_partial(struct fg_events *e);

/*
 * Takes bytes; returns how many bytes of e->partial, from its start, are whole
 * events (0 when none is). The caller hands them on and then calls
 * fg_events_consume(). Returns -1 when an event is too large.
 */
gssize fg_events_feed(struct fg_events *e, const char *data, size_t len_bytes);
void fg_events_consume(struct fg_events *e, size_t len_bytes);

#endif
