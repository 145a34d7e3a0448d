/*
 * fg_outcome - what a caller is told about its request.
 *
 * DONE     it ran and the whole answer is here.
 * FAILED   it ran, and failed; a filing must not be sent again.
 * NOT_RUN  it provably never ran; it may be sent again.
 * UNKNOWN  it may have run; a filing must not be sent again.
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

/* What a request is; decides retries, ledger and priority. */
enum fg_class {
	FG_CLASS_FILING = 0,	  /* plain service, may not be repeated */
	FG_CLASS_STATUS = 1,	  /* plain service, idempotent lookup */
	FG_CLASS_INTERACTIVE = 2, /* model, a person waits */
	FG_CLASS_DRAFT = 3, /* model, may be held until its deadline nears */
	FG_CLASS_COUNT = 4,
};

/* Why a request was not run or failed; stable, shown to callers. */
enum fg_reason {
	FG_R_NONE = 0,
	FG_R_BAD_REQUEST, /* malformed, over a limit, missing field */
	FG_R_NO_KEY,	  /* filing without an idempotency key */
	FG_R_KEY_REUSED,  /* same key, other body */
	FG_R_IN_PROGRESS, /* same key, first request still running */
	FG_R_NO_RIGHT,	  /* caller may not use the adapter */
	FG_R_UNKNOWN_ADAPTER,
	FG_R_UNKNOWN_VERSION,
	FG_R_PAST_DEADLINE, /* deadline passed before dispatch */
	FG_R_NO_TIME,	    /* cannot be finished before its deadline */
	FG_R_OVERLOAD,	    /* limit of the caller or of the system */
	FG_R_SUSPECT,	    /* crashed endpoints before */
	FG_R_LEDGER_DOWN,   /* filing ledger unreachable */
	FG_R_NO_ENDPOINT,   /* none live for it */
	FG_R_STOPPING,	    /* this instance is stopping; use another address */
	FG_R_ISOLATED,	    /* this instance cannot confirm its state */
	FG_R_LOAD_FAILED,   /* the adapter could not be loaded */
	FG_R_ENDPOINT_LOST, /* connection or endpoint died after dispatch */
	FG_R_BAD_ANSWER,    /* truncated, crossed or garbled answer */
	FG_R_ENDPOINT_ERROR, /* endpoint ran it and reported an error */
	FG_R_CANCELLED,	     /* caller went away */
	FG_R_COUNT,
};

/* Upper-case name such as "DONE"; never NULL. */
const char *fg_outcome_name(enum fg_outcome o);

/* Lower-case name such as "draft"; never NULL. */
const char *fg_class_name(enum fg_class c);

/* Parses fg_class_name(); returns -1 when the name is unknown. */
int fg_class_parse(const char *name);

/* Stable snake_case code such as "no_right"; never NULL. */
const char *fg_reason_code(enum fg_reason r);

/* One sentence for a person; never NULL. */
const char *fg_reason_text(enum fg_reason r);

/* HTTP status that carries this outcome and reason. */
uint32_t fg_http_status(enum fg_outcome o, enum fg_reason r);

#endif
