/* Check that an engine's answer is complete and belongs to its request. */
#include "endpoint/fg_endpoint.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#define LINE_MAX_BYTES 65536

struct fg_answer {
	char id[FG_REQ_ID_BYTES];
	char *adapter;
	char *version;
	GString *line; /* incomplete last line */
	GString *text;
	uint32_t tokens;
	bool ended;  /* a valid end mark was received */
	bool broken; /* invalid, or the engine reported an error */
	bool error;  /* the engine reported an error */
};

struct fg_answer *fg_answer_new(const struct fg_run_req *req)
{
	struct fg_answer *a = g_new0(struct fg_answer, 1);

	g_strlcpy(a->id, req->id, sizeof(a->id));
	a->adapter = g_strdup(req->adapter);
	a->version = g_strdup(req->version);
	a->line = g_string_new(NULL);
	a->text = g_string_new(NULL);
	return a;
}

static bool field_equals(const json_t *o, const char *name,
			 const char *expected)
{
	return g_strcmp0(json_string_value(json_object_get(o, name)),
			 expected) == 0;
}

static bool is_end_mark_valid(const struct fg_answer *a, const json_t *o)
{
	json_t *n = json_object_get(o, "n");

	return field_equals(o, "id", a->id) &&
	       field_equals(o, "adapter", a->adapter) &&
	       field_equals(o, "version", a->version) && json_is_integer(n) &&
	       json_integer_value(n) == (json_int_t)a->tokens;
}

static bool parse_token(struct fg_answer *a, const json_t *o)
{
	json_t *i = json_object_get(o, "i");
	const char *t = json_string_value(json_object_get(o, "t"));

	if (!json_is_integer(i) || t == NULL)
		return false;
	if (json_integer_value(i) != (json_int_t)a->tokens)
		return false;
	g_string_append(a->text, t);
	a->tokens++;
	return true;
}

static bool parse_line(struct fg_answer *a)
{
	json_t *o = json_loadb(a->line->str, a->line->len, 0, NULL);
	bool ok = false;

	if (o == NULL || a->ended) {
		ok = false; /* not JSON, or a line after the end mark */
	} else if (json_object_get(o, "error") != NULL) {
		a->error = true;
	} else if (json_is_true(json_object_get(o, "end"))) {
		ok = is_end_mark_valid(a, o);
		a->ended = ok;
	} else {
		ok = parse_token(a, o);
	}
	json_decref(o);
	return ok;
}

bool fg_answer_feed(struct fg_answer *a, const char *data, size_t len_bytes)
{
	for (size_t i = 0; i < len_bytes && !a->broken; i++) {
		if (data[i] != '\n') {
			g_string_append_c(a->line, data[i]);
			a->broken = a->line->len > LINE_MAX_BYTES;
			continue;
		}
		if (a->line->len > 0)
			a->broken = !parse_line(a);
		g_string_truncate(a->line, 0);
	}
	return !a->broken;
}

bool fg_answer_is_complete(const struct fg_answer *a)
{
	return a->ended && !a->broken && a->line->len == 0;
}

bool fg_answer_has_error(const struct fg_answer *a)
{
	return a->error;
}

const char *fg_answer_text(const struct fg_answer *a)
{
	return a->text->str;
}

uint32_t fg_answer_tokens(const struct fg_answer *a)
{
	return a->tokens;
}

void fg_answer_free(struct fg_answer *a)
{
	if (a == NULL)
		return;
	g_string_free(a->line, TRUE);
	g_string_free(a->text, TRUE);
	g_free(a->adapter);
	g_free(a->version);
	g_free(a);
}
