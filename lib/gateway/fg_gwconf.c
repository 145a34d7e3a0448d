#include "gateway/fg_gwconf.h"

#include <cyaml/cyaml.h>
#include <stdlib.h>
#include <string.h>

#include "link/fg_link.h"

#define DCS_MAX 256
#define FILE_MAX_BYTES (1024 * 1024)

GQuark fg_gwconf_error_quark(void)
{
	return g_quark_from_static_string("fg-gwconf-error");
}

/* The file as libcyaml fills it; scalars as texts, so that the checks see
 * them as written. */
struct raw {
	char *name, *region, *dc;
	char *front, *ready, *directory, *mesh, *metrics, *store;
	char *log_level;
	char *retry_ratio, *retry_slack, *stop_grace_s, *lookup_ttl_s;
	char *version_ms, *drain_ms, *connections_max;
	struct fg_gwconf_dc *dcs;
	unsigned int dcs_count;
};

#define TEXT(key)                                                              \
	CYAML_FIELD_STRING_PTR(#key, CYAML_FLAG_POINTER, struct raw, key, 0,   \
			       CYAML_UNLIMITED)
#define TEXT_OPT(key)                                                          \
	CYAML_FIELD_STRING_PTR(#key, CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL, \
			       struct raw, key, 0, CYAML_UNLIMITED)

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
	CYAML_FIELD_SEQUENCE("data_centres", CYAML_FLAG_POINTER, struct raw,
			     dcs, &dc_schema, 0, DCS_MAX),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t raw_schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, struct raw, raw_fields),
};

static void quiet_log(cyaml_log_t level, void *ctx, const char *fmt,
		      va_list args)
{
	GString *text = ctx;

	if (level == CYAML_LOG_ERROR && text->len == 0)
		g_string_append_vprintf(text, fmt, args);
}

/* ---- Checks ---- */

static void fault(GString *faults, const char *path, const char *key,
		  const char *found, const char *allowed)
{
	g_string_append_printf(faults, "%s: %s: found \"%s\", allowed: %s\n",
			       path, key, found == NULL ? "" : found, allowed);
}

/* A number of at most `max`, multiplied by `scale`; `fallback` when absent. */
static uint32_t check_number(GString *faults, const char *path, const char *key,
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

		fault(faults, path, key, text, allowed);
		g_free(allowed);
		return fallback;
	}
	return (uint32_t)(value * scale + 0.5);
}

static char *check_address(GString *faults, const char *path, const char *key,
			   const char *text)
{
	struct sockaddr_in addr;

	if (text == NULL || !fg_link_parse(text, &addr))
		fault(faults, path, key, text, "IP:PORT");
	return g_strdup(text);
}

static char *check_name(GString *faults, const char *path, const char *key,
			const char *text)
{
	if (text == NULL || text[0] == '\0' || strpbrk(text, " \t\n") != NULL)
		fault(faults, path, key, text, "a word without spaces");
	return g_strdup(text);
}

static void check_log_level(GString *faults, const char *path, const char *text,
			    enum fg_log_level *out)
{
	*out = FG_LOG_INFO;
	if (text != NULL && !fg_log_level_parse(text, out))
		fault(faults, path, "log_level", text,
		      "error, warn, info or debug");
}

static void check_dcs(const struct raw *raw, struct fg_gwconf *c)
{
	c->dcs = g_new0(struct fg_gwconf_dc, raw->dcs_count);
	c->n_dcs = raw->dcs_count;
	for (unsigned int i = 0; i < raw->dcs_count; i++) {
		c->dcs[i].name = g_strdup(raw->dcs[i].name);
		c->dcs[i].region = g_strdup(raw->dcs[i].region);
	}
}

static void check_numbers(GString *faults, const char *path,
			  const struct raw *raw, struct fg_gwconf *c)
{
	c->retry_percent = check_number(faults, path, "retry_ratio",
					raw->retry_ratio, 100, 1, 20);
	c->retry_slack = check_number(faults, path, "retry_slack",
				      raw->retry_slack, 1, 100000, 10);
	c->stop_grace_ms = check_number(faults, path, "stop_grace_s",
					raw->stop_grace_s, 1000, 3600, 8000);
	c->lookup_ttl_s = check_number(faults, path, "lookup_ttl_s",
				       raw->lookup_ttl_s, 1, 3600, 2);
	c->version_ms = check_number(faults, path, "version_ms",
				     raw->version_ms, 1, 3600000, 5000);
	c->drain_ms = check_number(faults, path, "drain_ms", raw->drain_ms, 1,
				   3600000, 2500);
	c->connections_max =
		check_number(faults, path, "connections_max",
			     raw->connections_max, 1, 100000, 1024);
}

static struct fg_gwconf *check(const struct raw *raw, const char *path,
			       GError **error)
{
	struct fg_gwconf *c = g_new0(struct fg_gwconf, 1);
	GString *faults = g_string_new(NULL);

	c->name = check_name(faults, path, "name", raw->name);
	c->region = check_name(faults, path, "region", raw->region);
	c->dc = check_name(faults, path, "dc", raw->dc);
	c->front = check_address(faults, path, "front", raw->front);
	c->ready = check_address(faults, path, "ready", raw->ready);
	c->directory = check_address(faults, path, "directory", raw->directory);
	c->mesh = check_address(faults, path, "mesh", raw->mesh);
	c->store = check_address(faults, path, "store", raw->store);
	if (raw->metrics != NULL)
		c->metrics =
			check_address(faults, path, "metrics", raw->metrics);
	check_log_level(faults, path, raw->log_level, &c->log_level);
	check_numbers(faults, path, raw, c);
	check_dcs(raw, c);
	if (faults->len > 0) {
		g_set_error(error, FG_GWCONF_ERROR, FG_GWCONF_ERR_INVALID, "%s",
			    faults->str);
		fg_gwconf_free(c);
		c = NULL;
	}
	g_string_free(faults, TRUE);
	return c;
}

struct fg_gwconf *fg_gwconf_parse(const char *path, const char *text,
				  GError **error)
{
	GString *why = g_string_new(NULL);
	cyaml_config_t config = {
		.log_fn = quiet_log,
		.log_ctx = why,
		.mem_fn = cyaml_mem,
		.log_level = CYAML_LOG_ERROR,
	};
	struct raw *raw = NULL;
	struct fg_gwconf *c = NULL;
	cyaml_err_t rc =
		cyaml_load_data((const uint8_t *)text, strlen(text), &config,
				&raw_schema, (cyaml_data_t **)&raw, NULL);

	if (rc != CYAML_OK || raw == NULL)
		g_set_error(error, FG_GWCONF_ERROR, FG_GWCONF_ERR_SYNTAX,
			    "%s: %s: %s", path, cyaml_strerror(rc), why->str);
	else
		c = check(raw, path, error);
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
