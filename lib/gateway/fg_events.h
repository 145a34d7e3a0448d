/*
 * fg_events - incremental parser for event streams (text/event-stream).
 *
 * The parser finds the boundaries of complete events and the id of the last
 * one. A gateway that forwards only complete events can continue a stream that
 * breaks in the middle of an event at another endpoint: after the last
 * complete event, without losing or repeating one.
 *
 * Does no I/O and reads no clock.
 */
#ifndef FG_EVENTS_H
#define FG_EVENTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* fg_events_feed() refuses an event larger than this. */
#define FG_EVENT_MAX_BYTES (256 * 1024)

struct fg_events {
	GString *partial; /* received and not yet consumed */
	bool has_id;
	uint64_t last_id;    /* of the last complete event that had one */
	uint64_t n_complete; /* complete events so far */
	bool continues;	     /* events before last_id came from elsewhere */
	bool broken;	     /* an event does not continue the stream */
};

/* Initializes a parser; fg_events_clear() frees what it holds. */
void fg_events_init(struct fg_events *e);
void fg_events_clear(struct fg_events *e);

/* Drops the bytes of an incomplete event; last_id stays. Call this before
 * another endpoint sends the stream. If there were complete events, the next
 * ones have to continue them. */
void fg_events_drop_partial(struct fg_events *e);

/* The stream has to continue after the event `last_id`, which the caller had
 * from elsewhere. */
void fg_events_continue_after(struct fg_events *e, uint64_t last_id);

/*
 * Appends bytes of the stream to e->partial. Returns how many bytes at the
 * start of e->partial form complete events (0 when there is none), or -1 when
 * the incomplete event behind them exceeds FG_EVENT_MAX_BYTES. The caller
 * forwards the complete events and then passes their size to
 * fg_events_consume(), which removes them.
 *
 * An id must be higher than the one before it, and no line may be one of an
 * answer's head: a copy of another answer may lie within the stream. In a
 * stream that has to continue an earlier one, each event must also have an id.
 * The first event that breaks these rules, and all behind it, are not counted,
 * and e->broken is set. Blocks of comments alone are no events.
 */
gssize fg_events_feed(struct fg_events *e, const char *data, size_t len_bytes);
void fg_events_consume(struct fg_events *e, size_t len_bytes);

#endif
