/*
 * Snapshots of the catalogue. They are written directly as text and read in
 * parts: the JSON tree of 65,000 adapters would take several times the memory
 * of the catalogue itself.
 */
#include <stdlib.h>
#include <string.h>

#include "config/fg_config_priv.h"

#define PART_END_BYTES 32 /* reserved for the end of a part */

/* ---- Writing ---- */

static void append_string(GString *out, const char *s)
{
	g_string_append_c(out, '"');
	for (; *s != '\0'; s++) {
		if (*s == '"' || *s == '\\')
			g_string_append_c(out, '\\');
		g_string_append_c(out, *s);
	}
	g_string_append_c(out, '"');
}

static const char *bool_text(bool value)
{
	return value ? "true" : "false";
}

static void append_preset(GString *out, const struct fg_preset *p)
{
	g_string_append(out, "{\"preset\":");
	append_string(out, p->name);
	g_string_append_printf(out,
			       ",\"stall_weight\":%u,\"hold_max_ms\":%u,"
			       "\"retry_percent\":%u,\"caller_rate\":%u,"
			       "\"accept_drafts\":%s}",
			       p->stall_weight, p->hold_max_ms,
			       p->retry_percent, p->caller_rate,
			       bool_text(p->accept_drafts));
}

static void append_service(GString *out, const struct fg_service *s)
{
	g_string_append(out, "{\"service\":");
	append_string(out, s->name);
	g_string_append_printf(out,
			       ",\"plain\":%s,\"checks_fence\":%s,"
			       "\"loads_per_s\":%u,\"loads_in_flight\":%u,"
			       "\"load_ms\":%u}",
			       bool_text(s->plain), bool_text(s->checks_fence),
			       s->loads_per_s, s->loads_in_flight, s->load_ms);
}

static void append_head(GString *out, const struct fg_config *c)
{
	g_string_append(out, "\"head\":{\"preset\":");
	append_string(out, fg_config_preset(c)->name);
	g_string_append_printf(out, ",\"next_adapter\":%u,\"presets\":[",
			       c->next_adapter);
	for (size_t i = 0; i < c->n_presets; i++) {
		g_string_append(out, i > 0 ? ",\n" : "\n");
		append_preset(out, &c->presets[i]);
	}
	g_string_append(out, "],\"services\":[");
	for (size_t i = 0; i < c->n_services; i++) {
		g_string_append(out, i > 0 ? ",\n" : "\n");
		append_service(out, &c->services[i]);
	}
	g_string_append(out, "]},");
}

static void append_adapter(GString *out, const struct fg_adapter_ent *a)
{
	g_string_append_printf(out, "[%u,", a->number);
	append_string(out, a->name);
	g_string_append_c(out, ',');
	append_string(out, a->base);
	g_string_append_printf(out, ",%u,[", a->next_ver);
	for (uint32_t i = 0; i < a->n_versions; i++) {
		g_string_append_printf(out, "%s[%u,", i > 0 ? "," : "",
				       a->versions[i].ver);
		append_string(out, a->versions[i].name);
		g_string_append_c(out, ']');
	}
	g_string_append(out, "],[");
	for (uint32_t i = 0; i < a->n_callers; i++) {
		if (i > 0)
			g_string_append_c(out, ',');
		append_string(out, a->callers[i]);
	}
	g_string_append(out, "]]");
}

static int compare_by_number(const void *a, const void *b)
{
	uint32_t x = **(uint32_t *const *)a;
	uint32_t y = **(uint32_t *const *)b;

	return (x > y) - (x < y);
}

static GString *begin_part(const struct fg_config *c, guint part)
{
	GString *out = g_string_new(NULL);

	g_string_append_printf(out,
			       "{\"format\":%d,\"revision\":%" G_GUINT64_FORMAT
			       ",\"part\":%u,",
			       FG_CONFIG_FORMAT, c->revision, part);
	if (part == 0)
		append_head(out, c);
	g_string_append(out, "\"adapters\":[");
	return out;
}

static void end_part(GPtrArray *parts, GString *out, bool last)
{
	g_string_append_printf(out, "],\"last\":%s}", bool_text(last));
	g_ptr_array_add(parts, g_string_free(out, FALSE));
}

GPtrArray *fg_config_snapshot_parts(const struct fg_config *c, size_t max_bytes)
{
	GPtrArray *parts = g_ptr_array_new_with_free_func(g_free);
	guint n = 0;
	gpointer *keys = g_hash_table_get_keys_as_array(c->by_number, &n);
	GString *out = begin_part(c, 0);
	GString *row = g_string_new(NULL);
	bool first = true;

	if (n > 0)
		qsort(keys, n, sizeof(*keys), compare_by_number);
	for (guint i = 0; i < n; i++) {
		const uint32_t *number = keys[i];

		g_string_truncate(row, 0);
		append_adapter(row,
			       fg_config_find_adapter_by_number(c, *number));
		if (!first &&
		    out->len + row->len + PART_END_BYTES > max_bytes) {
			end_part(parts, out, false);
			out = begin_part(c, parts->len);
			first = true;
		}
		g_string_append(out, first ? "\n" : ",\n");
		g_string_append_len(out, row->str, (gssize)row->len);
		first = false;
	}
	end_part(parts, out, true);
	g_string_free(row, TRUE);
	g_free(keys);
	return parts;
}

char *fg_config_snapshot(const struct fg_config *c)
{
	GPtrArray *parts = fg_config_snapshot_parts(c, SIZE_MAX);
	char *text = g_ptr_array_steal_index(parts, 0);

	g_ptr_array_free(parts, TRUE);
	return text;
}

/* ---- Reading ---- */

struct fg_config_loader {
	struct fg_config *c;
	uint32_t next_part;
	bool complete;
};

struct fg_config_loader *fg_config_loader_new(void)
{
	struct fg_config_loader *l = g_new0(struct fg_config_loader, 1);

	l->c = fg_config_new();
	return l;
}

void fg_config_loader_free(struct fg_config_loader *l)
{
	if (l == NULL)
		return;
	fg_config_free(l->c);
	g_free(l);
}

bool fg_config_loader_is_complete(const struct fg_config_loader *l)
{
	return l->complete;
}

uint32_t fg_config_loader_next_part(const struct fg_config_loader *l)
{
	return l->next_part;
}

static bool set_syntax_error(GError **error, const char *message)
{
	g_set_error(error, FG_CONFIG_ERROR, FG_CONFIG_ERR_SYNTAX,
		    "snapshot: %s", message);
	return false;
}

/* Returns a valid name, NULL for anything else. */
static const char *parse_name(const json_t *v)
{
	const char *name = json_string_value(v);

	return name != NULL && fg_config_is_valid_name(name) ? name : NULL;
}

static bool parse_number(const json_t *v, uint32_t *out)
{
	json_int_t number = json_integer_value(v);

	*out = (uint32_t)number;
	return json_is_integer(v) && number >= 1 && number <= UINT32_MAX;
}

static bool parse_versions(struct fg_adapter_ent *a, const json_t *versions)
{
	size_t n = json_array_size(versions);
	uint32_t last = 0;

	if (!json_is_array(versions) || n > FG_CONFIG_VERSIONS_MAX)
		return false;
	for (size_t i = 0; i < n; i++) {
		const json_t *pair = json_array_get(versions, i);
		const char *name = parse_name(json_array_get(pair, 1));
		struct fg_version_ent v;

		if (!parse_number(json_array_get(pair, 0), &v.ver) ||
		    v.ver <= last || v.ver >= a->next_ver || name == NULL ||
		    fg_adapter_ent_find_version(a, name) < a->n_versions)
			return false;
		v.name = g_ref_string_new_intern(name);
		last = v.ver;
		fg_adapter_ent_insert_version(a, i, v);
	}
	return true;
}

static bool parse_callers(struct fg_adapter_ent *a, const json_t *callers)
{
	size_t n = json_array_size(callers);

	if (!json_is_array(callers) || n > FG_CONFIG_CALLERS_MAX)
		return false;
	for (size_t i = 0; i < n; i++) {
		const char *name = parse_name(json_array_get(callers, i));
		bool found;
		size_t at;

		if (name == NULL)
			return false;
		at = fg_adapter_ent_find_caller(a, name, &found);
		if (found)
			return false;
		fg_adapter_ent_insert_caller(a, at,
					     g_ref_string_new_intern(name));
	}
	return true;
}

static bool parse_adapter(struct fg_config *c, const json_t *row)
{
	const char *name = parse_name(json_array_get(row, 1));
	const char *base = parse_name(json_array_get(row, 2));
	struct fg_adapter_ent *a;
	uint32_t number;

	if (name == NULL || base == NULL ||
	    !parse_number(json_array_get(row, 0), &number) ||
	    number >= c->next_adapter ||
	    fg_config_find_adapter(c, name) != NULL ||
	    fg_config_find_adapter_by_number(c, number) != NULL)
		return false;
	a = fg_adapter_ent_new(number, base, name);
	fg_config_insert_adapter(c, a);
	return parse_number(json_array_get(row, 3), &a->next_ver) &&
	       parse_versions(a, json_array_get(row, 4)) &&
	       parse_callers(a, json_array_get(row, 5));
}

static bool parse_presets(struct fg_config *c, const json_t *list,
			  GError **error)
{
	size_t n = json_array_size(list);

	if (n == 0 || n > FG_CONFIG_PRESETS_MAX)
		return set_syntax_error(error, "presets missing or too many");
	c->n_presets = 0;
	for (size_t i = 0; i < n; i++) {
		const json_t *obj = json_array_get(list, i);
		const char *name = parse_name(json_object_get(obj, "preset"));

		if (name == NULL || fg_config_preset_index(c, name) != i)
			return set_syntax_error(
				error,
				"preset name missing, invalid or repeated");
		fg_preset_set_defaults(&c->presets[i], name);
		if (!fg_preset_parse(&c->presets[i], obj, error))
			return false;
		c->n_presets++;
	}
	return true;
}

static bool parse_services(struct fg_config *c, const json_t *list,
			   GError **error)
{
	size_t n = json_array_size(list);

	if (!json_is_array(list) || n > FG_CONFIG_SERVICES_MAX)
		return set_syntax_error(error, "services missing or too many");
	for (size_t i = 0; i < n; i++) {
		const json_t *obj = json_array_get(list, i);
		const char *name = parse_name(json_object_get(obj, "service"));

		if (name == NULL || fg_config_service_index(c, name) != i)
			return set_syntax_error(
				error,
				"service name missing, invalid or repeated");
		fg_service_set_defaults(&c->services[i], name);
		if (!fg_service_parse(&c->services[i], obj, error))
			return false;
		c->n_services++;
	}
	return true;
}

static bool parse_head(struct fg_config *c, const json_t *head, GError **error)
{
	const char *preset = parse_name(json_object_get(head, "preset"));

	if (!parse_number(json_object_get(head, "next_adapter"),
			  &c->next_adapter))
		return set_syntax_error(error,
					"next_adapter missing or out of range");
	if (!parse_presets(c, json_object_get(head, "presets"), error) ||
	    !parse_services(c, json_object_get(head, "services"), error))
		return false;
	if (preset == NULL)
		return set_syntax_error(error, "preset in force missing");
	c->in_force = fg_config_preset_index(c, preset);
	if (c->in_force < c->n_presets)
		return true;
	c->in_force = 0;
	return set_syntax_error(error,
				"preset in force is not among the presets");
}

static bool add_part(struct fg_config_loader *l, const json_t *obj,
		     GError **error)
{
	const json_t *adapters = json_object_get(obj, "adapters");
	const json_t *part = json_object_get(obj, "part");
	json_int_t revision;

	revision = json_integer_value(json_object_get(obj, "revision"));
	if (l->complete || !json_is_integer(part) ||
	    json_integer_value(part) != l->next_part)
		return set_syntax_error(error, "part out of order");
	if (revision < 0 ||
	    (l->next_part > 0 && (uint64_t)revision != l->c->revision))
		return set_syntax_error(error,
					"part belongs to another revision");
	l->c->revision = (uint64_t)revision;
	if (l->next_part == 0 &&
	    !parse_head(l->c, json_object_get(obj, "head"), error))
		return false;
	if (!json_is_array(adapters))
		return set_syntax_error(error, "adapters missing");
	for (size_t i = 0; i < json_array_size(adapters); i++)
		if (!parse_adapter(l->c, json_array_get(adapters, i)))
			return set_syntax_error(error, "invalid adapter");
	l->next_part++;
	l->complete = json_is_true(json_object_get(obj, "last"));
	return true;
}

bool fg_config_loader_add_part(struct fg_config_loader *l, const char *part,
			       GError **error)
{
	json_t *obj = fg_config_parse(part, error);
	bool ok = obj != NULL && add_part(l, obj, error);

	json_decref(obj);
	return ok;
}

void fg_config_loader_finish(struct fg_config_loader *l, struct fg_config *c)
{
	g_assert(l->complete);
	if (l->c->revision > c->revision) {
		struct fg_config old = *c;

		*c = *l->c;
		*l->c = old;
	}
	fg_config_loader_free(l);
}

bool fg_config_restore(struct fg_config *c, const char *snapshot,
		       GError **error)
{
	struct fg_config_loader *l = fg_config_loader_new();

	if (!fg_config_loader_add_part(l, snapshot, error) || !l->complete) {
		if (error == NULL || *error == NULL)
			set_syntax_error(error, "last part missing");
		fg_config_loader_free(l);
		return false;
	}
	fg_config_loader_finish(l, c);
	return true;
}
