/* Parses a line of a history into a typed event. */
#include "check/fg_check_internal.h"

#include <jansson.h>
#include <stddef.h>
#include <string.h>

static const char *const type_names[EV_TYPES] = {
	[EV_OTHER] = "",
	[EV_OPEN] = "open",
	[EV_INVOKE] = "invoke",
	[EV_RETURN] = "return",
	[EV_RUN_START] = "run_start",
	[EV_RUN_END] = "run_end",
	[EV_LOAD_START] = "load_start",
	[EV_LOAD_END] = "load_end",
	[EV_EVICT] = "evict",
	[EV_RESTART] = "restart",
	[EV_EXEC] = "exec",
	[EV_LEAVING] = "leaving",
	[EV_DISPATCH] = "dispatch",
	[EV_GRANT] = "grant",
	[EV_RELEASE] = "release",
	[EV_REVISION] = "revision",
	[EV_ACCEPTED] = "accepted",
	[EV_STOP_BEGIN] = "stop_begin",
	[EV_STOP_END] = "stop_end",
	[EV_LIVE] = "live",
	[EV_DEAD] = "dead",
};

struct field {
	const char *name;
	size_t offset;
};

#define FIELD(member)                                                          \
	{                                                                      \
#member, offsetof(struct event, member)                        \
	}

static const struct field text_fields[] = {
	FIELD(who),	     FIELD(tag),	  FIELD(id),
	FIELD(class),	     FIELD(adapter),	  FIELD(version),
	FIELD(slot_adapter), FIELD(slot_version), FIELD(key),
	FIELD(service),	     FIELD(entry),	  FIELD(outcome),
	FIELD(reason),	     FIELD(ep),		  FIELD(op),
	FIELD(preset),	     FIELD(name),	  FIELD(kind),
	FIELD(addr),
};

static const struct field number_fields[] = {
	FIELD(slot),
	FIELD(running),
	FIELD(revision),
	FIELD(in_progress),
};

static const struct field flag_fields[] = {
	FIELD(ok),
	FIELD(whole),
	FIELD(replayed),
};

static enum event_type parse_type(const char *name)
{
	for (int i = EV_OPEN; name != NULL && i < EV_TYPES; i++)
		if (strcmp(name, type_names[i]) == 0)
			return i;
	return EV_OTHER;
}

/* Returns a string field, or "" if the value is neither a string nor a number.
 * Ids may be written as numbers. */
static const char *get_string(const json_t *value, GStringChunk *strings)
{
	char number[24];

	if (json_is_string(value))
		return g_string_chunk_insert_const(strings,
						   json_string_value(value));
	if (!json_is_integer(value))
		return "";
	g_snprintf(number, sizeof(number), "%" JSON_INTEGER_FORMAT,
		   json_integer_value(value));
	return g_string_chunk_insert_const(strings, number);
}

static void read_fields(struct event *ev, const json_t *obj,
			GStringChunk *strings)
{
	char *base = (char *)ev;

	for (size_t i = 0; i < G_N_ELEMENTS(text_fields); i++) {
		const struct field *f = &text_fields[i];

		*(const char **)(base + f->offset) =
			get_string(json_object_get(obj, f->name), strings);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(number_fields); i++) {
		const struct field *f = &number_fields[i];
		const json_t *value = json_object_get(obj, f->name);

		*(int64_t *)(base + f->offset) =
			json_is_integer(value) ? json_integer_value(value) : -1;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(flag_fields); i++) {
		const struct field *f = &flag_fields[i];
		const json_t *value = json_object_get(obj, f->name);

		*(int *)(base + f->offset) =
			json_is_boolean(value) ? json_is_true(value) : -1;
	}
}

struct event *event_parse(const char *line, GStringChunk *strings,
			  GError **error)
{
	json_error_t json_error;
	json_t *obj = json_loads(line, 0, &json_error);
	const json_t *t = json_object_get(obj, "t");
	const char *name = json_string_value(json_object_get(obj, "ev"));
	struct event *ev = NULL;

	if (json_is_integer(t) && name != NULL &&
	    json_is_string(json_object_get(obj, "who"))) {
		ev = g_new0(struct event, 1);
		ev->t = json_integer_value(t);
		ev->type = parse_type(name);
		ev->line = g_strdup(line);
		read_fields(ev, obj, strings);
	} else {
		g_set_error(error, FG_CHECK_ERROR, FG_CHECK_ERR_LINE,
			    "not an event: %.120s", line);
	}
	json_decref(obj);
	return ev;
}

void event_free(void *ev)
{
	g_free(((struct event *)ev)->line);
	g_free(ev);
}
