/*
 * fl_check - checks whether an answer is complete and correct.
 *
 * The answers of the stand-ins depend only on the request (docs/PROTOCOL.md,
 * sections 3 and 4). Every token can therefore be checked.
 */
#ifndef FL_CHECK_H
#define FL_CHECK_H

#include <jansson.h>
#include <stdbool.h>

#include "fl_plan.h"

/* The last line of an answer; an answer that is not streamed has only this
 * line. The strings are owned and never NULL. */
struct fl_answer {
	bool has_outcome; /* false: no line with a known outcome */
	enum fg_outcome outcome;
	char *reason;
	char *version;
	char *text;
	char *address; /* instance to send the request to instead, or "" */
	uint32_t tokens;
	uint32_t retry_after_ms;
	bool replayed;
	bool whole; /* DONE, complete, and from the right adapter and version */
};

/* Parses and checks the body of an answer. Without an outcome, out->outcome is
 * FG_UNKNOWN. The caller releases *out with fl_answer_clear(). */
void fl_check_answer(const struct fl_conf *conf, const struct fl_req *req,
		     const char *body, struct fl_answer *out);
void fl_answer_clear(struct fl_answer *answer);

#endif
