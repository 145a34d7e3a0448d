/*
 * si_fault - faults common to all stand-ins, injected at the control address.
 *
 * Counted faults affect the next `count` answers; timed ones last `ms`. All
 * functions may be called from any thread.
 */
#ifndef SI_FAULT_H
#define SI_FAULT_H

#include <jansson.h>
#include <stdbool.h>

#include "common/si_proc.h"

/* Replaces an answer, or a line of it; not valid JSON. */
#define SI_GARBLE_TEXT "\x01\x02<garbled answer>\x03"

/* Faults that affect a number of answers and have no other argument. */
enum si_counted_fault {
	SI_FAULT_TRUNCATE = 0,
	SI_FAULT_GARBLE = 1,
	SI_FAULT_REFUSE = 2,
	SI_FAULT_FAIL_LOAD = 3,
	SI_FAULT_KINDS = 4,
};

struct si_fault;

struct si_fault *si_fault_new(struct si_proc *proc);
void si_fault_free(struct si_fault *fault);

/* Applies a control operation. Returns false when this kind of stand-in does
 * not know it. */
bool si_fault_apply_op(struct si_fault *fault, const char *op, json_t *body);

/* Call before handling a request; blocks while the process is frozen. Returns
 * false when the connection must be closed without an answer: the process
 * stops, or `instance` is cut off. */
bool si_fault_before_run(struct si_fault *fault, const char *instance);

/* Call before answering; blocks during the delay of slow answers and while the
 * process is frozen. Returns false when the connection must be closed without
 * an answer. path and body are those of the request. */
bool si_fault_before_answer(struct si_fault *fault, const char *path,
			    const char *body);

/* Blocks while the process is frozen; returns false when it stops. */
bool si_fault_wait_unfrozen(struct si_fault *fault);

/* True during an outage of the platform. */
bool si_fault_is_outage(struct si_fault *fault);

/* Uses up one occurrence of a counted fault; false when none is left. */
bool si_fault_consume(struct si_fault *fault, enum si_counted_fault which);

#endif
