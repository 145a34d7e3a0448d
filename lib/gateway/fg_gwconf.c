#include "gateway/fg_gwconf.h"

#include <cyaml/cyaml.h>
#include <stdlib.h>
#include <string.h>

#include "base/fg_address.h"

#define DCS_MAX 256
#define MIB (1024 * 1024)
#define FILE_MAX_BYTES MIB
#define CALLER_MEMORY_MAX_MB 4095
#define CALLER_MEMORY_DEFAULT_MB 64
#define READ_TIMEOUT_DEFAULT_MS 60000

GQuark fg_gwconf_error_quark(void)
{
	return g_quark_from_static_string("fg-gwconf-error");
}

/* The file as libcyaml fills it. Scalars stay text, so that error messages can
 * show them as written. */
struct raw_settings {
	char *name, *region, *dc;
	char *front, *ready, *directory, *mesh, *metrics, *store;
	char *log_level;
	char *retry_ratio, *retry_slack, *stop_grace_s, *lookup_ttl_s;
	char *version_ms, *drain_ms, *connections_max, *caller_memory_mb;
	char *lookup_connections_max, *read_timeout_s;
	char *turn_ms, *fences_checked, *first_start;
	char *revoke_ms, *revoke_strict;
	char *quota_window_s, *quota_excess, *quota_slack, *overload;
	struct fg_gwconf_dc *dcs;
	unsigned int dcs_count;
};

#define TEXT(key)                                                              \
	CYAML_FIELD_STRING_PTR(#key, CYAML_FLAG_POINTER, struct raw_settings,  \
			       key, 0, CYAML_UNLIMITED)
#define TEXT_OPT(key)                                                          \
	CYAML_FIELD_STRING_PTR(#key, CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL, \
			       struct raw_settings, key, 0, CYAML_UNLIMITED)

static const cyaml_schema_field_t dc_fields[] = {
	CYAML_FIELD_STRING_PTR("name", CYAML_FLAG_POINTER, struct fg_gwconf_dc,
			       name, 1, CYAML_UNLIMITED),
	CYAML_FIELD_STRING_PTR("region", CYAML_FLAG_POINTER,
			       struct fg_gwconf_dc, region, 1, CYAML_UNLIMITED),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t dc_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, struct fg_gwconf_dc, dc_fields),
};

static const cyaml_schema_field_t raw_fields[] = {
	TEXT(name),
	TEXT(region),
	TEXT(dc),
	TEXT(front),
	TEXT(ready),
	TEXT(directory),
	TEXT(mesh),
	TEXT_OPT(metrics),
	TEXT(store),
	TEXT_OPT(log_level),
	TEXT_OPT(retry_ratio),
	TEXT_OPT(retry_slack),
	TEXT_OPT(stop_grace_s),
	TEXT_OPT(lookup_ttl_s),
	TEXT_OPT(version_ms),
	TEXT_OPT(drain_ms),
	TEXT_OPT(connections_max),
	TEXT_OPT(lookup_connections_max),
	TEXT_OPT(caller_memory_mb),
	TEXT_OPT(read_timeout_s),
	TEXT_OPT(turn_ms),
	TEXT_OPT(fences_checked),
	TEXT_OPT(first_start),
	TEXT_OPT(revoke_ms),
	TEXT_OPT(revoke_strict),
	TEXT_OPT(quota_window_s),
	TEXT_OPT(quota_excess),
	TEXT_OPT(quota_slack),
	TEXT_OPT(overload),
	CYAML_FIELD_SEQUENCE("data_centres", CYAML_FLAG_POINTER,
			     struct raw_settings, dcs, &dc_schema, 0, DCS_MAX),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t raw_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, struct raw_settings,
			    raw_fields),
};

static void capture_first_error(cyaml_log_t level, void *ctx, const char *fmt,
				va_list args)
{
	GString *text = ctx;

	if (level == CYAML_LOG_ERROR && text->len == 0)
		g_string_append_vprintf(text, fmt, args);
}

/* ---- Checks ---- */

static void add_error(GString *errors, const char *path, const char *key,
		      const char *found, const char *allowed)
{
	g_string_append_printf(errors, "%s: %s: found \"%s\", allowed: %s\n",
			       path, key, found == NULL ? "" : found, allowed);
}

/* Reads a number from 0 to `max` and multiplies it by `scale`. Returns
 * `fallback` when `text` is absent or bad. */
static uint32_t check_number(GString *errors, const char *path, const char *key,
			     const char *text, double scale, double max,
			     uint32_t fallback)
{
	char *end;
	double value;

	if (text == NULL || text[0] == '\0')
		return fallback;
	value = g_ascii_strtod(text, &end);
	if (*end != '\0' || !(value >= 0 && value <= max)) {
		char *allowed = g_strdup_printf("a number from 0 to %g", max);

		add_error(errors, path, key, text, allowed);
		g_free(allowed);
		return fallback;
	}
	return (uint32_t)(value * scale + 0.5);
}

/* Refuses a number, as check_number() returned it, that is below 1 as written.
 */
static void check_least(GString *errors, const char *path, const char *key,
			const char *text, uint32_t value, uint32_t least)
{
	if (value < least)
		add_error(errors, path, key, text, "1 or more");
}

static char *check_address(GString *errors, const char *path, const char *key,
			   const char *text)
{
	struct sockaddr_in addr;

	if (text == NULL || !fg_address_parse(text, &addr))
		add_error(errors, path, key, text, "IP:PORT");
	return g_strdup(text);
}

static char *check_name(GString *errors, const char *path, const char *key,
			const char *text)
{
	if (text == NULL || text[0] == '\0' || strpbrk(text, " \t\n") != NULL)
		add_error(errors, path, key, text, "a word without spaces");
	return g_strdup(text);
}

static void check_log_level(GString *errors, const char *path, const char *text,
			    enum fg_log_level *out)
{
	*out = FG_LOG_INFO;
	if (text != NULL && !fg_log_level_parse(text, out))
		add_error(errors, path, "log_level", text,
			  "error, warn, info or debug");
}

/* Reads "true" or "false"; absent or empty text counts as false. */
static bool check_bool(GString *errors, const char *path, const char *key,
		       const char *text)
{
	if (text == NULL || text[0] == '\0' || strcmp(text, "false") == 0)
		return false;
	if (strcmp(text, "true") != 0)
		add_error(errors, path, key, text, "true or false");
	return true;
}

static void check_dcs(const struct raw_settings *raw, struct fg_gwconf *c)
{
	c->dcs = g_new0(struct fg_gwconf_dc, raw->dcs_count);
	c->n_dcs = raw->dcs_count;
	for (unsigned int i = 0; i < raw->dcs_count; i++) {
		c->dcs[i].name = g_strdup(raw->dcs[i].name);
		c->dcs[i].region = g_strdup(raw->dcs[i].region);
	}
}

static void check_numbers(GString *errors, const char *path,
			  const struct raw_settings *raw, struct fg_gwconf *c)
{
	c->retry_percent = check_number(errors, path, "retry_ratio",
					raw->retry_ratio, 100, 1, 20);
	c->retry_slack = check_number(errors, path, "retry_slack",
				      raw->retry_slack, 1, 100000, 10);
	c->stop_grace_ms = check_number(errors, path, "stop_grace_s",
					raw->stop_grace_s, 1000, 3600, 8000);
	c->lookup_ttl_s = check_number(errors, path, "lookup_ttl_s",
				       raw->lookup_ttl_s, 1, 3600, 2);
	c->version_ms = check_number(errors, path, "version_ms",
				     raw->version_ms, 1, 3600000, 5000);
	c->drain_ms = check_number(errors, path, "drain_ms", raw->drain_ms, 1,
				   3600000, 2500);
	c->turn_ms = check_number(errors, path, "turn_ms", raw->turn_ms, 1,
				  3600000, 3000);
	c->fences_checked =
		check_bool(errors, path, "fences_checked", raw->fences_checked);
	c->first_start =
		check_bool(errors, path, "first_start", raw->first_start);
	c->connections_max =
		check_number(errors, path, "connections_max",
			     raw->connections_max, 1, 100000, 1024);
	c->lookup_connections_max =
		check_number(errors, path, "lookup_connections_max",
			     raw->lookup_connections_max, 1, 100000, 256);
	c->caller_memory_bytes = check_number(
		errors, path, "caller_memory_mb", raw->caller_memory_mb, MIB,
		CALLER_MEMORY_MAX_MB, CALLER_MEMORY_DEFAULT_MB * MIB);
	check_least(errors, path, "caller_memory_mb", raw->caller_memory_mb,
		    c->caller_memory_bytes, MIB);
	c->read_timeout_ms = check_number(errors, path, "read_timeout_s",
					  raw->read_timeout_s, 1000, 3600,
					  READ_TIMEOUT_DEFAULT_MS);
	check_least(errors, path, "read_timeout_s", raw->read_timeout_s,
		    c->read_timeout_ms, 1000);
	c->revoke_ms = check_number(errors, path, "revoke_ms", raw->revoke_ms,
				    1, 3600000, 5000);
	c->revoke_strict =
		check_bool(errors, path, "revoke_strict", raw->revoke_strict);
	c->quota_window_ms = check_number(errors, path, "quota_window_s",
					  raw->quota_window_s, 1000, 3600, 0);
	c->quota_excess_permille = check_number(errors, path, "quota_excess",
						raw->quota_excess, 1000, 1, 0);
	c->quota_slack = check_number(errors, path, "quota_slack",
				      raw->quota_slack, 1, 1e9, 0);
	c->overload = check_bool(errors, path, "overload", raw->overload);
}

static struct fg_gwconf *check_settings(const struct raw_settings *raw,
					const char *path, GError **error)
{
	struct fg_gwconf *c = g_new0(struct fg_gwconf, 1);
	GString *errors = g_string_new(NULL);

	c->name = check_name(errors, path, "name", raw->name);
	c->region = check_name(errors, path, "region", raw->region);
	c->dc = check_name(errors, path, "dc", raw->dc);
	c->front = check_address(errors, path, "front", raw->front);
	c->ready = check_address(errors, path, "ready", raw->ready);
	c->directory = check_address(errors, path, "directory", raw->directory);
	c->mesh = check_address(errors, path, "mesh", raw->mesh);
	c->store = check_address(errors, path, "store", raw->store);
	if (raw->metrics != NULL)
		c->metrics =
			check_address(errors, path, "metrics", raw->metrics);
	check_log_level(errors, path, raw->log_level, &c->log_level);
	check_numbers(errors, path, raw, c);
	check_dcs(raw, c);
	if (errors->len > 0) {
		g_set_error(error, FG_GWCONF_ERROR, FG_GWCONF_ERR_INVALID, "%s",
			    errors->str);
		fg_gwconf_free(c);
		c = NULL;
	}
	g_string_free(errors, TRUE);
	return c;
}

struct fg_gwconf *fg_gwconf_parse(const char *path, const char *text,
				  GError **error)
{
	GString *why = g_string_new(NULL);
	cyaml_config_t config = {
		.log_fn = capture_first_error,
		.log_ctx = why,
		.mem_fn = cyaml_mem,
		.log_level = CYAML_LOG_ERROR,
	};
	struct raw_settings *raw = NULL;
	struct fg_gwconf *c = NULL;
	cyaml_err_t rc =
		cyaml_load_data((const uint8_t *)text, strlen(text), &config,
				&raw_schema, (cyaml_data_t **)&raw, NULL);

	if (rc != CYAML_OK || raw == NULL)
		g_set_error(error, FG_GWCONF_ERROR, FG_GWCONF_ERR_SYNTAX,
			    "%s: %s: %s", path, cyaml_strerror(rc), why->str);
	else
		c = check_settings(raw, path, error);
	cyaml_free(&config, &raw_schema, raw, 0);
	g_string_free(why, TRUE);
	return c;
}

struct fg_gwconf *fg_gwconf_load(const char *path, GError **error)
{
	struct fg_gwconf *c;
	GError *why = NULL;
	char *text;
	gsize len;

	if (!g_file_get_contents(path, &text, &len, &why)) {
		g_set_error(error, FG_GWCONF_ERROR, FG_GWCONF_ERR_READ, "%s",
			    why->message);
		g_error_free(why);
		return NULL;
	}
	if (len > FILE_MAX_BYTES) {
		g_set_error(error, FG_GWCONF_ERROR, FG_GWCONF_ERR_READ,
			    "%s: larger than %d bytes", path, FILE_MAX_BYTES);
		g_free(text);
		return NULL;
	}
	c = fg_gwconf_parse(path, text, error);
	g_free(text);
	return c;
}

void fg_gwconf_free(struct fg_gwconf *c)
{
	if (c == NULL)
		return;
	g_free(c->name);
	g_free(c->region);
	g_free(c->dc);
	g_free(c->front);
	g_free(c->ready);
	g_free(c->directory);
	g_free(c->mesh);
	g_free(c->metrics);
	g_free(c->store);
	for (unsigned int i = 0; i < c->n_dcs; i++) {
		g_free(c->dcs[i].name);
		g_free(c->dcs[i].region);
	}
	g_free(c->dcs);
	g_free(c);
}

const char *fg_gwconf_region(const struct fg_gwconf *c, const char *dc)
{
	for (unsigned int i = 0; i < c->n_dcs; i++) {
		if (strcmp(c->dcs[i].name, dc) == 0)
			return c->dcs[i].region;
	}
	return dc;
}
