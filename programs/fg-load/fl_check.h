/*
 * fl_check - is an answer whole, and the one that was asked for?
 *
 * The stand-ins' answers follow from the request alone (docs/PROTOCOL.md,
 * sections 3 and 4), so that every token can be checked.
 */
#ifndef FL_CHECK_H
#define FL_CHECK_H

#include <jansson.h>
#include <stdbool.h>

#include "fl_plan.h"

/* What the last line of an answer says. */
struct fl_answer {
	bool readable; /* false: no such line */
	enum fg_outcome outcome;
	char *reason;
	char *version;
	char *text;
	char *address; /* where to go instead; "" for nowhere */
	uint32_t tokens;
	uint32_t retry_after_ms;
	bool replayed;
	bool whole; /* DONE, whole and from the right adapter and version */
};

/* Reads the body of an answer. */
void fl_check_answer(const struct fl_conf *conf, const struct fl_req *req,
		     const char *body, struct fl_answer *out);
void fl_answer_clear(struct fl_answer *answer);

#endif
