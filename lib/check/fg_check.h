/*
 * fg_check - checks the histories of a run for violated invariants.
 *
 * A promise is an invariant that the system guarantees. The caller passes the
 * text of all history files (docs/PROTOCOL.md, section 6) and gets one verdict
 * per promise. The module does no I/O and reads no clock. The times in the
 * histories must come from one clock shared by all processes of the run.
 *
 * The verdict is VIOLATED if events contradict the promise, even if histories
 * are missing. Otherwise the verdict is UNDECIDED if a history that the promise
 * depends on is missing. A history is missing if
 *   - a process named in a `live` event, or an endpoint named in a `dispatch`,
 *     has no event at all (every history begins with the event `open`);
 *   - a request ran that no caller invoked or no entry dispatched;
 *   - the histories of all callers, all endpoints or all entries are missing.
 * A `live` event may have the field `kind` (caller, entry, engine or plain).
 * Processes of other kinds need no history. A process without `kind` may be of
 * any kind, so that every promise depends on its history.
 */
#ifndef FG_CHECK_H
#define FG_CHECK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/fg_clock.h"

#define FG_CHECK_ERROR (fg_check_error_quark())
GQuark fg_check_error_quark(void);

enum fg_check_error {
	FG_CHECK_ERR_LINE, /* a line is not an event */
};

enum fg_promise {
	/* A request runs with the adapter and version that it asks for. */
	FG_PROMISE_RIGHT_ADAPTER = 1,
	/* No slot is emptied or overwritten while requests run in it. */
	FG_PROMISE_NO_EVICTION_IN_USE = 2,
	/* An answer DONE is complete and comes from a successful run; each
	 * invocation has at most one answer. */
	FG_PROMISE_WHOLE_ANSWER = 3,
	/* A request answered with NOT_RUN never ran. */
	FG_PROMISE_NOT_RUN_TRUE = 4,
	/* A filing runs at most once per caller and idempotency key. */
	FG_PROMISE_FILED_ONCE = 5,
	/* A leaving endpoint gets no new work after leaving_ms. */
	FG_PROMISE_LEAVING = 6,
	/* A planned stop ends, and no request in progress is cut off. */
	FG_PROMISE_PLANNED_STOP = 7,
	/* An accepted revision is in force everywhere after revision_ms;
	 * revisions do not go back, and each has one preset. */
	FG_PROMISE_CONFIGURATION = 8,
	FG_PROMISE_LAST = FG_PROMISE_CONFIGURATION,
};

enum fg_verdict {
	FG_VERDICT_OK = 0,
	FG_VERDICT_VIOLATED = 1,
	FG_VERDICT_UNDECIDED = 2,
};

struct fg_check_conf {
	uint32_t leaving_ms;  /* from the sign of leaving to the last new run */
	uint32_t revision_ms; /* from acceptance to in force everywhere */
};

/* Sets leaving_ms to 5 s and revision_ms to 7 s. */
void fg_check_conf_defaults(struct fg_check_conf *conf);

/* fg_check_new() copies conf. fg_check_free() accepts NULL. */
struct fg_check;
struct fg_check *fg_check_new(const struct fg_check_conf *conf);
void fg_check_free(struct fg_check *c);

/*
 * Adds the text of one history. A last line without a newline is ignored: the
 * process was killed while writing it. Returns false and sets *error if a line
 * is not an event.
 */
bool fg_check_add(struct fg_check *c, const char *text, GError **error);

/* Computes the verdicts. Call it once, after all histories were added and
 * before the verdicts are read. */
void fg_check_run(struct fg_check *c);

enum fg_verdict fg_check_verdict(const struct fg_check *c, enum fg_promise p);

/* Returns the number of events that were checked for the promise. */
uint32_t fg_check_events(const struct fg_check *c, enum fg_promise p);

/* The history lines that show the violation, in order of time. The module owns
 * the strings. */
uint32_t fg_check_evidence_count(const struct fg_check *c, enum fg_promise p);
const char *fg_check_evidence_line(const struct fg_check *c, enum fg_promise p,
				   uint32_t i);

/* Returns why the promise is undecided, or "" if it is not. The module owns the
 * string. */
const char *fg_check_reason(const struct fg_check *c, enum fg_promise p);

#endif
