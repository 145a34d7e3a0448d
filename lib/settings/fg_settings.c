/*
 * Loads and validates the settings file. The schema declares every scalar as a
 * string, because the number parser of libcyaml accepts "5s" as 5. This file
 * parses the numbers.
 */
#include "settings/fg_settings.h"

#include <arpa/inet.h>
#include <cyaml/cyaml.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "settings/fg_settings_keys.h"

#define FILE_MAX_BYTES (1024 * 1024)

GQuark fg_settings_error_quark(void)
{
	return g_quark_from_static_string("fg-settings-error");
}

/* The parsed file: one string per key, NULL if the key is absent. */
struct raw_settings {
	char *text[FG_SECTION_COUNT][FG_SECTION_KEYS_MAX];
};

/* The libcyaml schema, built from the key tables. */
struct schema {
	cyaml_schema_field_t fields[FG_SECTION_COUNT]
				   [FG_SECTION_KEYS_MAX + FG_SECTION_COUNT + 1];
	cyaml_schema_value_t top;
};

/* Collects the faults found in a file. */
struct validation {
	const char *path;
	const char *yaml; /* text of the file, to find line numbers */
	GString *faults;
};

/* ---- Schema ---- */

static cyaml_schema_value_t string_value(unsigned int flags)
{
	cyaml_schema_value_t v = { 0 };

	v.type = CYAML_STRING;
	v.flags = (enum cyaml_flag)(CYAML_FLAG_POINTER | flags);
	v.data_size = sizeof(char);
	v.string.max = CYAML_UNLIMITED;
	return v;
}

static size_t schema_add_keys(struct schema *sc, int section)
{
	const struct fg_section *s = &fg_sections[section];

	for (size_t i = 0; i < s->n_keys; i++) {
		cyaml_schema_field_t *f = &sc->fields[section][i];

		f->key = s->keys[i].name;
		f->value = string_value(CYAML_FLAG_OPTIONAL);
		f->data_offset = (uint32_t)(i * sizeof(char *));
	}
	return s->n_keys;
}

static void schema_add_mapping(struct schema *sc, int section,
			       cyaml_schema_field_t *f)
{
	f->key = fg_sections[section].name;
	f->data_offset = (uint32_t)offsetof(struct raw_settings, text[section]);
	f->value.type = CYAML_MAPPING;
	f->value.flags = CYAML_FLAG_OPTIONAL;
	f->value.data_size = sizeof(char *[FG_SECTION_KEYS_MAX]);
	f->value.mapping.fields = sc->fields[section];
}

/* A field whose key is NULL ends a table: the memset() terminates all tables.
 */
static void schema_build(struct schema *sc)
{
	size_t n;

	memset(sc, 0, sizeof(*sc));
	n = schema_add_keys(sc, FG_SECTION_TOP);
	for (int i = FG_SECTION_TOP + 1; i < FG_SECTION_COUNT; i++) {
		schema_add_keys(sc, i);
		schema_add_mapping(sc, i, &sc->fields[FG_SECTION_TOP][n++]);
	}
	sc->top.type = CYAML_MAPPING;
	sc->top.flags = CYAML_FLAG_POINTER;
	sc->top.data_size = sizeof(struct raw_settings);
	sc->top.mapping.fields = sc->fields[FG_SECTION_TOP];
}

/* ---- Faults ---- */

/* Returns true if the line starts with the key. An indented line belongs to an
 * inner mapping. */
static bool line_has_key(const char *line, const char *key, bool is_inner)
{
	size_t indent = strspn(line, " ");
	size_t len = strlen(key);

	if ((indent > 0) != is_inner)
		return false;
	line += indent;
	return strncmp(line, key, len) == 0 &&
	       line[len + strspn(line + len, " ")] == ':';
}

/* Returns the line number of section.key, or 0 if it is not found, as in YAML
 * flow style. */
static unsigned int find_line(const char *yaml, const char *section,
			      const char *key)
{
	g_auto(GStrv) lines = g_strsplit(yaml, "\n", -1);
	bool inside = section == NULL;

	for (unsigned int i = 0; lines[i] != NULL; i++) {
		if (inside && line_has_key(lines[i], key, section != NULL))
			return i + 1;
		if (section != NULL && line_has_key(lines[i], section, false))
			inside = true;
	}
	return 0;
}

static void add_fault(struct validation *v, const char *section,
		      const char *key, const char *found, const char *allowed)
{
	unsigned int line = find_line(v->yaml, section, key);

	g_string_append_printf(v->faults, "%s%s:", v->faults->len ? "\n" : "",
			       v->path);
	if (line > 0)
		g_string_append_printf(v->faults, "%u:", line);
	g_string_append_printf(v->faults, " %s%s%s: ", section ? section : "",
			       section ? "." : "", key);
	if (found != NULL)
		g_string_append_printf(v->faults, "found \"%s\", ", found);
	else
		g_string_append(v->faults, "missing, ");
	g_string_append_printf(v->faults, "allowed: %s", allowed);
}

/* ---- Values ---- */

bool fg_settings_is_address(const char *text)
{
	const char *colon = strrchr(text, ':');
	char ip[FG_ADDR_BYTES];
	unsigned char bin[sizeof(struct in6_addr)];
	guint64 port;
	size_t len;

	if (colon == NULL || strlen(text) >= FG_ADDR_BYTES)
		return false;
	if (!g_ascii_string_to_unsigned(colon + 1, 10, 1, 65535, &port, NULL))
		return false;
	len = (size_t)(colon - text);
	if (len > 2 && text[0] == '[' && text[len - 1] == ']') {
		memcpy(ip, text + 1, len - 2);
		ip[len - 2] = '\0';
		return inet_pton(AF_INET6, ip, bin) == 1;
	}
	memcpy(ip, text, len);
	ip[len] = '\0';
	return inet_pton(AF_INET, ip, bin) == 1;
}

static bool is_valid_name(const char *text)
{
	size_t len = strlen(text);

	if (len == 0 || len >= FG_NAME_BYTES)
		return false;
	for (size_t i = 0; i < len; i++)
		if (!g_ascii_isalnum(text[i]) && !strchr("-_.", text[i]))
			return false;
	return true;
}

static bool parse_bool(const char *text, bool *out)
{
	*out = strcmp(text, "true") == 0;
	return *out || strcmp(text, "false") == 0;
}

/* Parses the text into the member of the key. Returns NULL, or a description
 * of the allowed values if the text is invalid. */
static const char *parse_value(struct fg_settings *s, const struct fg_key *k,
			       const char *text, char *range,
			       size_t range_bytes)
{
	void *member = (char *)s + k->offset;
	guint64 number;

	switch (k->kind) {
	case FG_KEY_NAME:
		if (!is_valid_name(text))
			return "1 to 63 letters, digits, '-', '_' or '.'";
		g_strlcpy(member, text, FG_NAME_BYTES);
		return NULL;
	case FG_KEY_ADDR:
		if (!fg_settings_is_address(text))
			return "an IP number and port such as 192.0.2.1:7000";
		g_strlcpy(member, text, FG_ADDR_BYTES);
		return NULL;
	case FG_KEY_PATH:
		if (text[0] == '\0')
			return "a path";
		*(char **)member = g_strdup(text);
		return NULL;
	case FG_KEY_BOOL:
		return parse_bool(text, member) ? NULL : "true or false";
	case FG_KEY_LEVEL:
		return fg_log_level_parse(text, member)
			       ? NULL
			       : "error, warn, info or debug";
	case FG_KEY_U32:
		break;
	}
	snprintf(range, range_bytes, "a whole number from %u to %u", k->min,
		 k->max);
	if (!g_ascii_string_to_unsigned(text, 10, k->min, k->max, &number,
					NULL))
		return range;
	*(uint32_t *)member = (uint32_t)number;
	return NULL;
}

static void set_default(struct fg_settings *s, const struct fg_key *k)
{
	void *member = (char *)s + k->offset;

	if (k->kind == FG_KEY_U32)
		*(uint32_t *)member = k->default_value;
	else if (k->kind == FG_KEY_LEVEL)
		*(enum fg_log_level *)member =
			(enum fg_log_level)k->default_value;
}

static void parse_section(struct fg_settings *s, struct validation *v,
			  int section, char *const *text)
{
	const struct fg_section *sec = &fg_sections[section];

	for (size_t i = 0; i < sec->n_keys; i++) {
		const struct fg_key *k = &sec->keys[i];
		const char *allowed;
		char range[64];

		set_default(s, k);
		if (text[i] == NULL) {
			if (k->required)
				add_fault(v, sec->name, k->name, NULL,
					  "a value");
			continue;
		}
		allowed = parse_value(s, k, text[i], range, sizeof(range));
		if (allowed != NULL)
			add_fault(v, sec->name, k->name, text[i], allowed);
	}
}

/* ---- Rules across keys ---- */

static void check_minimum(struct validation *v, const char *section,
			  const char *key, uint32_t value, uint32_t minimum,
			  const char *reason)
{
	char found[16];
	char allowed[96];

	if (value >= minimum)
		return;
	snprintf(found, sizeof(found), "%u", value);
	snprintf(allowed, sizeof(allowed), "at least %u, %s", minimum, reason);
	add_fault(v, section, key, found, allowed);
}

static void check_rules_across_keys(const struct fg_settings *s,
				    struct validation *v)
{
	const struct fg_timing_settings *t = &s->timing;

	check_minimum(v, "timing", "lease_ms", t->lease_ms, 3 * t->renew_ms,
		      "three times renew_ms");
	/* An instance whose state is not confirmed must have stopped serving
	 * before its lease expires and others take over. */
	check_minimum(v, "timing", "lease_ms", t->lease_ms, t->confirm_ms,
		      "as confirm_ms");
	check_minimum(v, "timing", "suspect_ms", t->suspect_ms, 2 * t->ping_ms,
		      "twice ping_ms");
	check_minimum(v, "timing", "confirm_ms", t->confirm_ms, 2 * t->poll_ms,
		      "twice poll_ms");
	check_minimum(v, "limits", "caller_memory_bytes",
		      s->limits.caller_memory_bytes,
		      6 * s->limits.body_max_bytes, "six times body_max_bytes");
	check_minimum(v, "limits", "deadline_max_ms", s->limits.deadline_max_ms,
		      s->limits.deadline_default_ms, "as deadline_default_ms");
	if (s->http[0] != '\0' && strcmp(s->http, s->rpc) == 0)
		add_fault(v, NULL, "rpc", s->rpc, "another address than http");
	if (s->control[0] != '\0' && (strcmp(s->control, s->http) == 0 ||
				      strcmp(s->control, s->rpc) == 0))
		add_fault(v, NULL, "control", s->control,
			  "another address than http and rpc");
}

/* The switches disable safety mechanisms. A test file used in production by
 * mistake must not take effect, hence the environment variable. */
static void check_switches(const struct raw_settings *raw, struct validation *v)
{
	char *const *text = raw->text[FG_SECTION_SWITCHES];
	const struct fg_section *sec = &fg_sections[FG_SECTION_SWITCHES];
	const char *env = getenv(FG_TEST_ENV);

	if (env != NULL && strcmp(env, "1") == 0)
		return;
	for (size_t i = 0; i < sec->n_keys; i++)
		if (text[i] != NULL)
			add_fault(v, sec->name, sec->keys[i].name, text[i],
				  "nothing, unless the environment "
				  "has " FG_TEST_ENV "=1");
}

/* ---- Loading ---- */

/* Collects the messages of libcyaml, which contain the key and the line. */
static void collect_log_message(cyaml_log_t level, void *ctx, const char *fmt,
				va_list args)
{
	GString *out = ctx;
	g_autofree char *line = g_strdup_vprintf(fmt, args);

	(void)level;
	g_strstrip(line);
	if (strcmp(line, "Load: Backtrace:") == 0)
		return;
	if (g_str_has_prefix(line, "Load: "))
		memmove(line, line + 6, strlen(line) - 5);
	g_string_append_printf(out, "%s%s", out->len ? ", " : "", line);
}

/* Returns the names of all keys except the switches, for the error message
 * about an unknown key. */
static char *list_allowed_keys(void)
{
	GString *out = g_string_new("allowed keys:");

	for (int i = 0; i < FG_SECTION_COUNT; i++) {
		const struct fg_section *s = &fg_sections[i];

		if (i == FG_SECTION_SWITCHES)
			continue;
		if (s->name != NULL)
			g_string_append_printf(out, "; in %s:", s->name);
		for (size_t k = 0; k < s->n_keys; k++)
			g_string_append_printf(out, " %s", s->keys[k].name);
		if (i == FG_SECTION_TOP)
			g_string_append(out, " limits timing");
	}
	return g_string_free(out, FALSE);
}

static struct raw_settings *load_raw(const struct schema *sc,
				     const cyaml_config_t *cfg,
				     const char *path, const char *text,
				     GError **error)
{
	struct raw_settings *raw = NULL;
	cyaml_err_t err;

	err = cyaml_load_data((const uint8_t *)text, strlen(text), cfg,
			      &sc->top, (cyaml_data_t **)&raw, NULL);
	if (err != CYAML_OK) {
		const GString *log = cfg->log_ctx;
		g_autofree char *keys = err == CYAML_ERR_INVALID_KEY
						? list_allowed_keys()
						: NULL;

		g_set_error(error, FG_SETTINGS_ERROR, FG_SETTINGS_ERR_SYNTAX,
			    "%s: %s%s%s%s%s", path, cyaml_strerror(err),
			    log->len ? ": " : "", log->str, keys ? "; " : "",
			    keys ? keys : "");
		return NULL;
	}
	if (raw == NULL)
		g_set_error(error, FG_SETTINGS_ERROR, FG_SETTINGS_ERR_SYNTAX,
			    "%s: empty, allowed: a mapping", path);
	return raw;
}

static struct fg_settings *validate_settings(const struct raw_settings *raw,
					     const char *path, const char *text,
					     GError **error)
{
	struct fg_settings *s = g_new0(struct fg_settings, 1);
	g_autoptr(GString) faults = g_string_new(NULL);
	struct validation v = { path, text, faults };

	for (int i = 0; i < FG_SECTION_COUNT; i++)
		parse_section(s, &v, i, raw->text[i]);
	check_switches(raw, &v);
	if (faults->len == 0)
		check_rules_across_keys(s, &v);
	if (faults->len == 0)
		return s;
	g_set_error_literal(error, FG_SETTINGS_ERROR, FG_SETTINGS_ERR_INVALID,
			    faults->str);
	fg_settings_free(s);
	return NULL;
}

struct fg_settings *fg_settings_parse(const char *path, const char *text,
				      GError **error)
{
	g_autoptr(GString) log = g_string_new(NULL);
	cyaml_config_t cfg = { 0 };
	struct schema sc;
	struct fg_settings *s;
	struct raw_settings *raw;

	cfg.log_fn = collect_log_message;
	cfg.log_ctx = log;
	cfg.log_level = CYAML_LOG_ERROR;
	cfg.mem_fn = cyaml_mem;
	cfg.flags = CYAML_CFG_NO_ALIAS;
	schema_build(&sc);
	raw = load_raw(&sc, &cfg, path, text, error);
	if (raw == NULL)
		return NULL;
	s = validate_settings(raw, path, text, error);
	cyaml_free(&cfg, &sc.top, raw, 0);
	return s;
}

struct fg_settings *fg_settings_load(const char *path, GError **error)
{
	g_autofree char *text = NULL;
	g_autoptr(GError) read_error = NULL;
	gsize len = 0;

	if (!g_file_get_contents(path, &text, &len, &read_error)) {
		g_set_error_literal(error, FG_SETTINGS_ERROR,
				    FG_SETTINGS_ERR_READ, read_error->message);
		return NULL;
	}
	if (len > FILE_MAX_BYTES || strlen(text) != len) {
		g_set_error(error, FG_SETTINGS_ERROR, FG_SETTINGS_ERR_SYNTAX,
			    "%s: over %d bytes or not text", path,
			    FILE_MAX_BYTES);
		return NULL;
	}
	return fg_settings_parse(path, text, error);
}

void fg_settings_free(struct fg_settings *s)
{
	if (s == NULL)
		return;
	g_free(s->history);
	g_free(s);
}
