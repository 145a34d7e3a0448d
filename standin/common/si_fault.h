/*
 * si_fault - the faults that stand-ins share, armed at the control address.
 *
 * Counted faults hit the next `count` answers; timed ones last `ms`.
 */
#ifndef SI_FAULT_H
#define SI_FAULT_H

#include <jansson.h>
#include <stdbool.h>

#include "common/si_proc.h"

/* Bytes that are no JSON. */
#define SI_GARBLE_TEXT "\x01\x02<garbled answer>\x03"

/* Faults that hit a number of answers and need no further argument. */
enum si_counted {
	SI_TRUNCATE = 0,
	SI_GARBLE = 1,
	SI_REFUSE = 2,
	SI_FAIL_LOAD = 3,
	SI_COUNTED_COUNT = 4,
};

struct si_fault;

struct si_fault *si_fault_new(struct si_proc *proc);
void si_fault_free(struct si_fault *fault);

/* Carries out a control operation; false when it is unknown here. */
bool si_fault_op(struct si_fault *fault, const char *op, json_t *body);

/* Waits out a freeze. Returns false when the connection must be closed: the
 * process stops, or the instance is cut off. */
bool si_fault_before_run(struct si_fault *fault, const char *instance);

/* Waits out a freeze and the delay of slow answers. Returns false when this
 * answer must be dropped and the connection closed. body is the request's. */
bool si_fault_before_answer(struct si_fault *fault, const char *path,
			    const char *body);

/* Waits out a freeze; returns false when the process stops. */
bool si_fault_thawed(struct si_fault *fault);

bool si_fault_outage(struct si_fault *fault);

/* Takes one of a counted fault; false when none is left. */
bool si_fault_take(struct si_fault *fault, enum si_counted which);

#endif
