/* Answers to callers as JSON text. */
#include <jansson.h>

#include "run/fg_run_internal.h"

static void set_string(json_t *o, const char *name, const char *text)
{
	if (text != NULL)
		json_object_set_new(o, name, json_string(text));
}

static void set_answer(json_t *o, bool plain, const struct fg_reply *reply)
{
	json_t *body;

	if (reply->text == NULL)
		return;
	if (!plain) {
		set_string(o, "text", reply->text);
		json_object_set_new(o, "tokens", json_integer(reply->tokens));
		return;
	}
	body = json_loads(reply->text, JSON_DECODE_ANY, NULL);
	json_object_set_new(o, "body",
			    body != NULL ? body : json_string(reply->text));
}

char *fg_web_reply_json(const char *tag, bool plain,
			const struct fg_reply *reply)
{
	json_t *o = json_pack("{s:s,s:s}", "outcome",
			      fg_outcome_name(reply->outcome), "request_id",
			      tag != NULL ? tag : "");
	char *dumped;
	char *text;

	set_string(o, "adapter", reply->adapter);
	set_string(o, "version", reply->version);
	set_answer(o, plain, reply);
	if (plain)
		json_object_set_new(o, "replayed",
				    json_boolean(reply->replayed));
	if (reply->reason != FG_R_NONE) {
		set_string(o, "reason", fg_reason_code(reply->reason));
		set_string(o, "message", fg_reason_text(reply->reason));
	}
	if (reply->retry_after_ms > 0)
		json_object_set_new(o, "retry_after_ms",
				    json_integer(reply->retry_after_ms));
	set_string(o, "address", reply->address);
	dumped = json_dumps(o, JSON_COMPACT);
	text = g_strdup(dumped);
	free(dumped);
	json_decref(o);
	return text;
}

char *fg_web_error_json(const char *tag, enum fg_reason reason,
			const char *message)
{
	json_t *o = json_pack("{s:s,s:s,s:s,s:s}", "outcome", "NOT_RUN",
			      "request_id", tag != NULL ? tag : "", "reason",
			      fg_reason_code(reason), "message", message);
	char *dumped = json_dumps(o, JSON_COMPACT);
	char *text = g_strdup(dumped);

	free(dumped);
	json_decref(o);
	return text;
}
