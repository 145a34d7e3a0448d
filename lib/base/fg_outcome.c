#include "base/fg_outcome.h"

#include <glib.h>
#include <string.h>

struct reason_info {
	const char *code;
	uint32_t status;
	const char *text;
};

static const struct reason_info reasons[FG_R_COUNT] = {
	[FG_R_NONE] = { "none", 200, "no error" },
	[FG_R_BAD_REQUEST] = { "bad_request", 400, "the request is malformed" },
	[FG_R_NO_KEY] = { "no_key", 400,
			  "a filing needs an Idempotency-Key header" },
	[FG_R_KEY_REUSED] = { "key_reused", 422,
			      "this key was used with another body" },
	[FG_R_IN_PROGRESS] = { "in_progress", 409,
			       "the first request with this key is running" },
	[FG_R_NO_RIGHT] = { "no_right", 403,
			    "the caller may not use this adapter" },
	[FG_R_UNKNOWN_ADAPTER] = { "unknown_adapter", 404,
				   "no adapter of this name" },
	[FG_R_UNKNOWN_VERSION] = { "unknown_version", 404,
				   "the adapter has no such version" },
	[FG_R_PAST_DEADLINE] = { "past_deadline", 503,
				 "the deadline passed before it could run" },
	[FG_R_NO_TIME] = { "no_time", 503,
			   "it cannot be finished before its deadline" },
	[FG_R_OVERLOAD] = { "overload", 429,
			    "too many requests at the moment" },
	[FG_R_SUSPECT] = { "suspect", 422,
			   "this request crashed endpoints before" },
	[FG_R_LEDGER_DOWN] = { "ledger_down", 503,
			       "the filing ledger cannot be reached" },
	[FG_R_NO_ENDPOINT] = { "no_endpoint", 503,
			       "no live endpoint can run it" },
	[FG_R_STOPPING] = { "stopping", 503,
			    "this instance is stopping, use another address" },
	[FG_R_ISOLATED] = { "isolated", 503,
			    "this instance cannot confirm its state" },
	[FG_R_LOAD_FAILED] = { "load_failed", 503,
			       "the adapter could not be loaded" },
	[FG_R_ENDPOINT_LOST] = { "endpoint_lost", 504,
				 "the endpoint was lost while it ran" },
	[FG_R_BAD_ANSWER] = { "bad_answer", 502,
			      "the endpoint's answer was not whole" },
	[FG_R_ENDPOINT_ERROR] = { "endpoint_error", 502,
				  "the endpoint reported an error" },
	[FG_R_CANCELLED] = { "cancelled", 499, "the caller went away" },
};

const char *fg_outcome_name(enum fg_outcome o)
{
	switch (o) {
	case FG_DONE:
		return "DONE";
	case FG_FAILED:
		return "FAILED";
	case FG_NOT_RUN:
		return "NOT_RUN";
	case FG_UNKNOWN:
		return "UNKNOWN";
	}
	return "INVALID";
}

static const char *const class_names[FG_CLASS_COUNT] = {
	[FG_CLASS_FILING] = "filing",
	[FG_CLASS_STATUS] = "status",
	[FG_CLASS_INTERACTIVE] = "interactive",
	[FG_CLASS_DRAFT] = "draft",
};

const char *fg_class_name(enum fg_class c)
{
	return c < FG_CLASS_COUNT ? class_names[c] : "invalid";
}

int fg_class_parse(const char *name)
{
	for (int i = 0; i < FG_CLASS_COUNT; i++)
		if (strcmp(name, class_names[i]) == 0)
			return i;
	return -1;
}

const char *fg_reason_code(enum fg_reason r)
{
	return r < FG_R_COUNT ? reasons[r].code : "invalid";
}

const char *fg_reason_text(enum fg_reason r)
{
	return r < FG_R_COUNT ? reasons[r].text : "invalid reason";
}

uint32_t fg_http_status(enum fg_outcome o, enum fg_reason r)
{
	if (o == FG_DONE)
		return 200;
	if (r != FG_R_NONE && r < FG_R_COUNT)
		return reasons[r].status;
	return o == FG_NOT_RUN ? 503 : o == FG_UNKNOWN ? 504 : 502;
}
