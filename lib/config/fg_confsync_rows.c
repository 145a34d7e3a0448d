/* Keys and values of the rows that hold the configuration. */
#include <inttypes.h>
#include <string.h>

#include "config/fg_confsync_priv.h"

void cs_format_rev_key(char *key, uint64_t revision)
{
	g_snprintf(key, FG_ROW_KEY_MAX, "config/rev/%012" PRIu64, revision);
}

/* CS_BLOCK_REVISIONS revisions share the first ten of twelve digits. */
void cs_format_block_prefix(char *key, uint64_t revision)
{
	g_snprintf(key, FG_ROW_KEY_MAX, "config/rev/%010" PRIu64,
		   revision / CS_BLOCK_REVISIONS);
}

void cs_format_part_key(char *key, uint64_t snapshot, guint part)
{
	g_snprintf(key, FG_ROW_KEY_MAX, "config/snap/%012" PRIu64 "/%04u",
		   snapshot, part);
}

/* ---- The head ---- */

static const struct head_field {
	const char *name;
	size_t offset;
} head_fields[] = {
	{ "revision", offsetof(struct cs_head, revision) },
	{ "snapshot", offsetof(struct cs_head, snapshot) },
	{ "parts", offsetof(struct cs_head, parts) },
	{ "old_snapshot", offsetof(struct cs_head, old_snapshot) },
	{ "old_parts", offsetof(struct cs_head, old_parts) },
	{ "draft", offsetof(struct cs_head, draft) },
	{ "draft_parts", offsetof(struct cs_head, draft_parts) },
	{ "deltas_from", offsetof(struct cs_head, deltas_from) },
};

static bool parse_head_text(struct cs_head *h, const char *text, GError **error)
{
	json_t *obj = fg_config_parse(text, error);
	bool ok = obj != NULL;

	for (size_t i = 0; ok && i < G_N_ELEMENTS(head_fields); i++) {
		const json_t *v = json_object_get(obj, head_fields[i].name);
		json_int_t number = json_integer_value(v);
		char *at = (char *)h + head_fields[i].offset;

		ok = json_is_integer(v) && number >= 0;
		*(uint64_t *)at = (uint64_t)number;
		if (!ok)
			g_set_error(error, FG_CONFIG_ERROR,
				    FG_CONFIG_ERR_SYNTAX,
				    "\"%s\" missing or not a whole number",
				    head_fields[i].name);
	}
	json_decref(obj);
	return ok;
}

bool cs_parse_head(struct cs_head *h, const struct fg_table_result *res,
		   GError **error)
{
	memset(h, 0, sizeof(*h));
	h->deltas_from = 1;
	if (res->result == FG_PF_ABSENT)
		return true;
	if (res->n_rows != 1 || res->rows[0].value == NULL) {
		g_set_error(error, FG_CONFIG_ERROR, FG_CONFIG_ERR_SYNTAX,
			    "row has no value");
		return false;
	}
	h->row_version = res->rows[0].row_version;
	return parse_head_text(h, res->rows[0].value, error);
}

char *cs_format_head(const struct cs_head *h)
{
	GString *out = g_string_new(NULL);

	g_string_printf(out, "{\"format\":%d", FG_CONFIG_FORMAT);
	for (size_t i = 0; i < G_N_ELEMENTS(head_fields); i++) {
		const char *at = (const char *)h + head_fields[i].offset;

		g_string_append_printf(out, ",\"%s\":%" PRIu64,
				       head_fields[i].name,
				       *(const uint64_t *)at);
	}
	g_string_append_c(out, '}');
	return g_string_free(out, FALSE);
}

/* ---- Changes ---- */

char *cs_format_delta(const json_t *body, uint64_t revision, const char *nonce)
{
	json_t *obj = json_copy((json_t *)body);
	char *dumped;
	char *text;

	json_object_set_new(obj, "format", json_integer(FG_CONFIG_FORMAT));
	json_object_set_new(obj, "revision",
			    json_integer((json_int_t)revision));
	json_object_set_new(obj, "nonce", json_string(nonce));
	dumped = json_dumps(obj, JSON_COMPACT | JSON_SORT_KEYS);
	text = g_strdup(dumped);
	free(dumped);
	json_decref(obj);
	return text;
}

bool cs_has_nonce(const char *text, const char *nonce)
{
	json_t *obj = json_loads(text, 0, NULL);
	const char *found = json_string_value(json_object_get(obj, "nonce"));
	bool same = found != NULL && strcmp(found, nonce) == 0;

	json_decref(obj);
	return same;
}
