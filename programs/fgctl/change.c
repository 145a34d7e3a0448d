/*
 * Sends a change. The next address is tried only if the change was provably not
 * sent or not run: a change whose answer was lost may have been stored, and
 * sending it again could store it twice.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fgctl.h"

static const struct status {
	const char *name;
	int exit;
} statuses[] = {
	{ "accepted", CTL_OK },	      { "pending", CTL_PENDING },
	{ "conflict", CTL_CONFLICT }, { "invalid", CTL_REFUSED },
	{ "down", CTL_UNREACHABLE },  { "unknown", CTL_UNKNOWN },
};

static int parse_status(const char *status)
{
	for (size_t i = 0; i < G_N_ELEMENTS(statuses); i++)
		if (status != NULL && strcmp(statuses[i].name, status) == 0)
			return statuses[i].exit;
	return -1;
}

/* Returns the field `detail`, a string or any other JSON value, as text. */
static char *format_detail(const json_t *body)
{
	const json_t *detail = json_object_get(body, "detail");
	char *dumped;
	char *text;

	if (detail == NULL || json_is_null(detail))
		return g_strdup("");
	if (json_is_string(detail))
		return g_strdup(json_string_value(detail));
	dumped = json_dumps(detail, JSON_ENCODE_ANY | JSON_COMPACT);
	text = g_strdup(dumped);
	free(dumped);
	return text;
}

static void print_result(const struct ctl *c, int status, json_int_t revision,
			 const char *detail)
{
	switch (status) {
	case CTL_OK:
		printf("accepted: revision %" JSON_INTEGER_FORMAT
		       " is in force everywhere\n",
		       revision);
		break;
	case CTL_PENDING:
		printf("pending: revision %" JSON_INTEGER_FORMAT
		       " is stored and will not be taken back\n"
		       "not yet acknowledged by: %s\n"
		       "see whether they have it: fgctl revision\n",
		       revision, detail);
		break;
	case CTL_CONFLICT:
		ctl_error("conflict: revision %" JSON_INTEGER_FORMAT
			  " won the race; nothing of this change was stored\n"
			  "%s%s"
			  "look at what is in force, then run:\n"
			  "  fgctl --expect-revision %" JSON_INTEGER_FORMAT
			  " %s",
			  revision, detail, detail[0] ? "\n" : "", revision,
			  c->command);
		break;
	case CTL_REFUSED:
		ctl_error("invalid: %s; nothing was stored", detail);
		break;
	case CTL_UNREACHABLE:
		ctl_error("down: %s; nothing was stored, run it again later",
			  detail);
		break;
	default:
		ctl_error("unknown: %s; it may or may not be stored, look "
			  "before running it again: fgctl revision",
			  detail);
		break;
	}
}

/* Prints an answer that has no status of a change, such as an HTTP error 400 or
 * 503. Returns the exit status. */
static int print_unexpected_answer(const struct ctl_answer *a,
				   const char *address)
{
	const char *message =
		json_string_value(json_object_get(a->body, "message"));

	ctl_error("%s answered %ld: %s", address, a->status,
		  message != NULL ? message : "no reason given");
	if (a->status >= 400 && a->status < 500)
		return CTL_REFUSED;
	return a->status == 503 ? CTL_UNREACHABLE : CTL_UNKNOWN;
}

static int handle_answer(const struct ctl *c, const char *address,
			 const struct ctl_answer *a)
{
	const char *name =
		json_string_value(json_object_get(a->body, "status"));
	int status = parse_status(name);
	g_autofree char *detail = NULL;

	if (status < 0)
		return print_unexpected_answer(a, address);
	if (c->json) {
		ctl_print_json(a->body);
		return status;
	}
	detail = format_detail(a->body);
	print_result(c, status,
		     json_integer_value(json_object_get(a->body, "revision")),
		     detail);
	return status;
}

static char *format_request(const struct ctl *c, json_t *change)
{
	json_t *body = json_object();
	char *text;

	json_object_set_new(body, "change", change);
	if (c->expect_revision != 0)
		json_object_set_new(
			body, "expect_revision",
			json_integer((json_int_t)c->expect_revision));
	json_object_set_new(body, "wait_ms", json_integer(c->wait_ms));
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	return text;
}

/* Returns true if the instance refused the request without running it, as a
 * stopping instance does. The request may be sent to the next address. */
static bool is_not_run(const struct ctl_answer *a)
{
	const char *outcome =
		json_string_value(json_object_get(a->body, "outcome"));

	return a->status == 503 && outcome != NULL &&
	       strcmp(outcome, "NOT_RUN") == 0;
}

static int post_change(const struct ctl *c, const char *text)
{
	for (char **a = c->addresses; *a != NULL; a++) {
		struct ctl_answer answer;
		enum ctl_http_result result;
		int status;

		result = ctl_call(c, *a, "/v1/admin/change", text, &answer);
		if (result == CTL_HTTP_NOT_SENT) {
			ctl_error("%s does not answer", *a);
			continue;
		}
		if (result == CTL_HTTP_LOST) {
			ctl_error("unknown: %s gave no whole answer; the "
				  "change may or may not be stored, look "
				  "before running it again: fgctl revision",
				  *a);
			return CTL_UNKNOWN;
		}
		if (is_not_run(&answer) && a[1] != NULL) {
			ctl_answer_clear(&answer);
			continue;
		}
		status = handle_answer(c, *a, &answer);
		ctl_answer_clear(&answer);
		return status;
	}
	ctl_error("no entry instance was reached; nothing was stored");
	return CTL_UNREACHABLE;
}

int ctl_send_change(const struct ctl *c, json_t *change)
{
	char *text = format_request(c, change);
	int status = post_change(c, text);

	free(text);
	return status;
}
