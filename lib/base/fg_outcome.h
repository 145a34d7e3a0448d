/*
 * fg_outcome - outcomes, classes and reason codes of requests.
 *
 * DONE     The request ran and its answer is complete.
 * FAILED   The request ran and failed. A filing must not be sent again.
 * NOT_RUN  The request provably never ran. It may be sent again.
 * UNKNOWN  The request may have run. A filing must not be sent again.
 */
#ifndef FG_OUTCOME_H
#define FG_OUTCOME_H

#include <stdint.h>

enum fg_outcome {
	FG_DONE = 1,
	FG_FAILED = 2,
	FG_NOT_RUN = 3,
	FG_UNKNOWN = 4,
};

/* Class of a request. It decides whether the request is retried, whether it
 * goes through the ledger, and its priority. */
enum fg_class {
	FG_CLASS_FILING = 0,	  /* plain service, not idempotent */
	FG_CLASS_STATUS = 1,	  /* plain service, idempotent lookup */
	FG_CLASS_INTERACTIVE = 2, /* model, a person waits for the answer */
	FG_CLASS_DRAFT = 3, /* model, may be held until near its deadline */
	FG_CLASS_COUNT = 4,
};

/* Why a request was not run or failed. Callers see these codes; existing codes
 * do not change between releases. */
enum fg_reason {
	FG_R_NONE = 0,
	FG_R_BAD_REQUEST, /* malformed, over a limit or without a field */
	FG_R_NO_KEY,	  /* filing without an idempotency key */
	FG_R_KEY_REUSED,  /* idempotency key used before with another body */
	FG_R_IN_PROGRESS, /* first request with this key is still running */
	FG_R_NO_RIGHT,	  /* caller has no right to the adapter */
	FG_R_UNKNOWN_ADAPTER,
	FG_R_UNKNOWN_VERSION,
	FG_R_PAST_DEADLINE, /* deadline passed before dispatch */
	FG_R_NO_TIME,	    /* cannot finish before its deadline */
	FG_R_OVERLOAD,	    /* limit of the caller or of the system reached */
	FG_R_SUSPECT,	    /* an equal request crashed endpoints before */
	FG_R_LEDGER_DOWN,   /* filing ledger unreachable */
	FG_R_NO_ENDPOINT,   /* no live endpoint can serve the request */
	FG_R_STOPPING,	    /* this instance is stopping; use another address */
	FG_R_ISOLATED,	    /* this instance cannot confirm its state */
	FG_R_LOAD_FAILED,   /* the adapter could not be loaded */
	FG_R_ENDPOINT_LOST, /* connection or endpoint lost after dispatch */
	FG_R_BAD_ANSWER, /* truncated, corrupt or meant for another request */
	FG_R_ENDPOINT_ERROR, /* endpoint ran the request and failed */
	FG_R_CANCELLED,	     /* caller disconnected */
	FG_R_COUNT,
};

/* Returns the upper-case name, such as "DONE"; never NULL. */
const char *fg_outcome_name(enum fg_outcome o);

/* Returns the lower-case name, such as "draft"; never NULL. */
const char *fg_class_name(enum fg_class c);

/* Returns the class with the given fg_class_name(), or -1 if there is none. */
int fg_class_parse(const char *name);

/* Returns the snake_case code, such as "no_right"; never NULL. */
const char *fg_reason_code(enum fg_reason r);

/* Returns a one-sentence explanation for a person; never NULL. */
const char *fg_reason_text(enum fg_reason r);

/* Returns the HTTP status for an outcome and its reason. */
uint32_t fg_http_status(enum fg_outcome o, enum fg_reason r);

#endif
