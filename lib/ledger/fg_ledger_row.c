/*
 * Row codec of the ledger.
 *
 * 64-bit numbers are hex strings, since JSON integers are signed. A text that
 * is not valid UTF-8 is stored in base64, so that a replay is byte-identical.
 */
#include "ledger/fg_ledger_internal.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HEX_DIGITS 16

static const char *const state_names[] = {
	[FG_LROW_STARTED] = "started", [FG_LROW_DONE] = "done",
	[FG_LROW_FAILED] = "failed",   [FG_LROW_UNKNOWN] = "unknown",
	[FG_LROW_NOT_RUN] = "not_run",
};

enum fg_lrow_state fg_lrow_state_from_outcome(enum fg_outcome outcome)
{
	switch (outcome) {
	case FG_DONE:
		return FG_LROW_DONE;
	case FG_FAILED:
		return FG_LROW_FAILED;
	case FG_NOT_RUN:
		return FG_LROW_NOT_RUN;
	case FG_UNKNOWN:
		break;
	}
	return FG_LROW_UNKNOWN;
}

static void set_hex(json_t *obj, const char *name, uint64_t value)
{
	char buf[HEX_DIGITS + 1];

	snprintf(buf, sizeof(buf), "%016" PRIx64, value);
	json_object_set_new(obj, name, json_string(buf));
}

static void set_text(json_t *obj, const char *text)
{
	char *encoded;

	if (g_utf8_validate(text, -1, NULL)) {
		json_object_set_new(obj, "text", json_string(text));
		return;
	}
	encoded = g_base64_encode((const guchar *)text, strlen(text));
	json_object_set_new(obj, "text_base64", json_string(encoded));
	g_free(encoded);
}

char *fg_lrow_encode(const struct fg_lrow *row)
{
	json_t *obj = json_object();
	char *dumped;
	char *out;

	json_object_set_new(obj, "format", json_integer(FG_LROW_FORMAT));
	json_object_set_new(obj, "state", json_string(state_names[row->state]));
	set_hex(obj, "nonce", row->nonce);
	set_hex(obj, "body", row->body);
	set_hex(obj, "by", row->by);
	json_object_set_new(obj, "at", json_integer(row->at));
	if (row->reason != FG_R_NONE)
		json_object_set_new(obj, "reason",
				    json_string(fg_reason_code(row->reason)));
	if (row->text != NULL)
		set_text(obj, row->text);
	dumped = json_dumps(obj, JSON_COMPACT);
	out = g_strdup(dumped);
	free(dumped);
	json_decref(obj);
	return out;
}

static bool get_hex(const json_t *obj, const char *name, uint64_t *out)
{
	const char *s = json_string_value(json_object_get(obj, name));
	char *end;

	if (s == NULL || strlen(s) != HEX_DIGITS ||
	    strspn(s, "0123456789abcdef") != HEX_DIGITS)
		return false;
	*out = g_ascii_strtoull(s, &end, 16);
	return true;
}

static bool get_state(const json_t *obj, enum fg_lrow_state *out)
{
	const char *s = json_string_value(json_object_get(obj, "state"));

	for (size_t i = FG_LROW_STARTED; s != NULL && i <= FG_LROW_NOT_RUN;
	     i++) {
		if (strcmp(s, state_names[i]) == 0) {
			*out = i;
			return true;
		}
	}
	return false;
}

/* A reason code of a later release becomes FG_R_NONE. */
static enum fg_reason get_reason(const json_t *obj)
{
	const char *s = json_string_value(json_object_get(obj, "reason"));

	for (int r = 0; s != NULL && r < FG_R_COUNT; r++)
		if (strcmp(s, fg_reason_code(r)) == 0)
			return r;
	return FG_R_NONE;
}

static char *get_text(const json_t *obj)
{
	const char *s = json_string_value(json_object_get(obj, "text"));
	guchar *raw;
	gsize len;
	char *out;

	if (s != NULL)
		return g_strdup(s);
	s = json_string_value(json_object_get(obj, "text_base64"));
	if (s == NULL)
		return NULL;
	raw = g_base64_decode(s, &len);
	out = g_strndup((const char *)raw, len);
	g_free(raw);
	return out;
}

static enum fg_lrow_read decode_object(const json_t *obj, struct fg_lrow *row)
{
	const json_t *format = json_object_get(obj, "format");

	if (!json_is_integer(format) || json_integer_value(format) < 1)
		return FG_LROW_BAD;
	if (json_integer_value(format) > FG_LROW_FORMAT)
		return FG_LROW_NEWER;
	if (!get_state(obj, &row->state) ||
	    !get_hex(obj, "nonce", &row->nonce) ||
	    !get_hex(obj, "body", &row->body) || !get_hex(obj, "by", &row->by))
		return FG_LROW_BAD;
	row->at = json_integer_value(json_object_get(obj, "at"));
	row->reason = get_reason(obj);
	row->text = get_text(obj);
	return FG_LROW_OK;
}

enum fg_lrow_read fg_lrow_decode(const char *value, struct fg_lrow *row)
{
	json_t *obj = value != NULL ? json_loads(value, 0, NULL) : NULL;
	enum fg_lrow_read read = FG_LROW_BAD;

	memset(row, 0, sizeof(*row));
	if (json_is_object(obj))
		read = decode_object(obj, row);
	json_decref(obj);
	if (read != FG_LROW_OK)
		memset(row, 0, sizeof(*row));
	return read;
}
