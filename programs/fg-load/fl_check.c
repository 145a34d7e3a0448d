#include "fl_check.h"

#include <string.h>

#include "base/fg_rand.h"

static const char *get_string(json_t *obj, const char *name)
{
	const char *s = json_string_value(json_object_get(obj, name));

	return s ? s : "";
}

static uint32_t get_number(json_t *obj, const char *name)
{
	return (uint32_t)json_integer_value(json_object_get(obj, name));
}

static char *make_expected_text(const struct fl_req *req, const char *version,
				uint32_t tokens)
{
	GString *text = g_string_new(NULL);

	for (uint32_t i = 0; i < tokens; i++) {
		char *seed = g_strdup_printf("%s@%s|%s|%u", req->adapter,
					     version, req->prompt, i);

		g_string_append_printf(text, "%s@%s:%u:%08x ", req->adapter,
				       version, i, (uint32_t)fg_hash_str(seed));
		g_free(seed);
	}
	return g_string_free(text, FALSE);
}

static bool is_whole_generation(const struct fl_conf *conf,
				const struct fl_req *req, json_t *last_line,
				const char *streamed)
{
	const char *version = get_string(last_line, "version");
	json_t *text = json_object_get(last_line, "text");
	char *expected;
	bool ok;

	if (strcmp(get_string(last_line, "adapter"), req->adapter) != 0 ||
	    (*req->version && strcmp(version, req->version) != 0) ||
	    get_number(last_line, "tokens") != conf->max_tokens)
		return false;
	expected = make_expected_text(req, version, conf->max_tokens);
	ok = text || *streamed;
	if (text)
		ok = ok && g_strcmp0(json_string_value(text), expected) == 0;
	if (conf->streamed[req->cls])
		ok = ok && strcmp(streamed, expected) == 0;
	g_free(expected);
	return ok;
}

static bool is_whole_filing(const struct fl_req *req, json_t *last_line)
{
	json_t *body = json_object_get(last_line, "body");
	char receipt[9];

	g_snprintf(receipt, sizeof(receipt), "%08x",
		   (uint32_t)fg_hash_str(req->key));
	return strcmp(get_string(body, "filed"), req->key) == 0 &&
	       strcmp(get_string(body, "receipt"), receipt) == 0;
}

static bool is_whole_status(const struct fl_req *req, json_t *last_line)
{
	json_t *body = json_object_get(last_line, "body");

	return strcmp(get_string(body, "key"), req->key) == 0 &&
	       json_is_boolean(json_object_get(body, "filed"));
}

static bool is_whole(const struct fl_conf *conf, const struct fl_req *req,
		     json_t *last_line, const char *streamed)
{
	switch (req->cls) {
	case FG_CLASS_FILING:
		return is_whole_filing(req, last_line);
	case FG_CLASS_STATUS:
		return is_whole_status(req, last_line);
	default:
		return is_whole_generation(conf, req, last_line, streamed);
	}
}

static bool parse_outcome(const char *name, enum fg_outcome *out)
{
	for (int o = FG_DONE; o <= FG_UNKNOWN; o++)
		if (strcmp(name, fg_outcome_name((enum fg_outcome)o)) == 0) {
			*out = (enum fg_outcome)o;
			return true;
		}
	return false;
}

/* Appends the pieces of a stream to `streamed`. Returns the last line, which
 * has an outcome, or NULL. */
static json_t *read_lines(const char *body, GString *streamed)
{
	char **lines = g_strsplit(body, "\n", 0);
	json_t *last_line = NULL;

	for (char **line = lines; *line && !last_line; line++) {
		json_t *obj = json_loads(*line, 0, NULL);

		if (json_object_get(obj, "outcome"))
			last_line = json_incref(obj);
		else
			g_string_append(streamed, get_string(obj, "t"));
		json_decref(obj);
	}
	g_strfreev(lines);
	return last_line;
}

void fl_check_answer(const struct fl_conf *conf, const struct fl_req *req,
		     const char *body, struct fl_answer *out)
{
	GString *streamed = g_string_new(NULL);
	json_t *last_line = read_lines(body, streamed);
	json_t *text = json_object_get(last_line, "text");

	memset(out, 0, sizeof(*out));
	out->outcome = FG_UNKNOWN;
	out->has_outcome =
		parse_outcome(get_string(last_line, "outcome"), &out->outcome);
	out->reason = g_strdup(get_string(last_line, "reason"));
	out->version = g_strdup(get_string(last_line, "version"));
	out->address = g_strdup(get_string(last_line, "address"));
	out->text =
		g_strdup(text ? get_string(last_line, "text") : streamed->str);
	out->tokens = get_number(last_line, "tokens");
	out->retry_after_ms = get_number(last_line, "retry_after_ms");
	out->replayed = json_is_true(json_object_get(last_line, "replayed"));
	out->whole = out->has_outcome && out->outcome == FG_DONE &&
		     is_whole(conf, req, last_line, streamed->str);
	if (!fl_is_generation(req->cls) && json_object_get(last_line, "body")) {
		char *dump = json_dumps(json_object_get(last_line, "body"),
					JSON_COMPACT);

		g_free(out->text);
		out->text = g_strdup(dump);
		free(dump);
	}
	json_decref(last_line);
	g_string_free(streamed, TRUE);
}

void fl_answer_clear(struct fl_answer *answer)
{
	g_free(answer->reason);
	g_free(answer->version);
	g_free(answer->text);
	g_free(answer->address);
}
