/*
 * fg_check - decides from histories whether what must always hold did hold.
 *
 * Pure: lines of history files (docs/PROTOCOL.md, section 6) go in, one
 * verdict for each promise comes out. All processes of a run share one clock.
 *
 * A verdict is VIOLATED if an event contradicts the promise, whatever else is
 * missing. Otherwise it is UNDECIDED if a history that the promise needs is
 * missing: without it the run shows nothing about the promise. What is missing
 * is seen from
 *   - a `live` name, or an endpoint named in a `dispatch`, of which there is
 *     no event at all (a history begins with the event `open`);
 *   - requests that ran but were never invoked or dispatched;
 *   - answers DONE while there is no endpoint's history.
 * A `live` event may carry `kind` (caller, entry, engine, plain); a process of
 * any other kind needs no history, one without a kind may be anything.
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
	FG_CHECK_ERR_LINE, /* not an event */
};

enum fg_promise {
	FG_PROMISE_RIGHT_ADAPTER = 1,
	FG_PROMISE_NO_EVICTION_IN_USE = 2,
	FG_PROMISE_WHOLE_ANSWER = 3,
	FG_PROMISE_NOT_RUN_TRUE = 4,
	FG_PROMISE_FILED_ONCE = 5,
	FG_PROMISE_LEAVING = 6,
	FG_PROMISE_PLANNED_STOP = 7,
	FG_PROMISE_CONFIGURATION = 8,
	FG_PROMISE_LAST = FG_PROMISE_CONFIGURATION,
};

enum fg_verdict {
	FG_VERDICT_OK = 0,
	FG_VERDICT_VIOLATED = 1,
	FG_VERDICT_UNDECIDED = 2,
};

struct fg_check_conf {
	uint32_t leaving_ms;  /* new work is allowed this long after the sign */
	uint32_t revision_ms; /* accepted: in force everywhere after this */
};

/* 5 s after the sign of leaving, 7 s after an acceptance. */
void fg_check_conf_defaults(struct fg_check_conf *conf);

struct fg_check;
struct fg_check *fg_check_new(const struct fg_check_conf *conf);
void fg_check_free(struct fg_check *c);

/*
 * Adds the text of one history. A last line without newline was cut off when
 * its process was killed, and is left out. Returns false on a line that is no
 * event.
 */
bool fg_check_add(struct fg_check *c, const char *text, GError **error);

/* Decides; call once, after all histories were added. */
void fg_check_run(struct fg_check *c);

enum fg_verdict fg_check_verdict(const struct fg_check *c, enum fg_promise p);

/* Events that the promise was checked against. */
uint32_t fg_check_events(const struct fg_check *c, enum fg_promise p);

/* The lines that show the violation, in order of time. */
uint32_t fg_check_evidence_count(const struct fg_check *c, enum fg_promise p);
const char *fg_check_evidence_line(const struct fg_check *c, enum fg_promise p,
				   uint32_t i);

/* Why the promise is undecided; "" otherwise. */
const char *fg_check_reason(const struct fg_check *c, enum fg_promise p);

#endif
