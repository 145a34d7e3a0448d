/* Parses what changes and snapshots share: format numbers, names, fields. */
#include <string.h>

#include "config/fg_config_priv.h"

bool fg_config_is_valid_name(const char *name)
{
	size_t len = strlen(name);

	if (len == 0 || len >= FG_NAME_BYTES)
		return false;
	for (size_t i = 0; i < len; i++) {
		unsigned char ch = (unsigned char)name[i];

		if (ch < 0x20 || ch == 0x7f || ch == '@' || ch == '|')
			return false;
	}
	return g_utf8_validate(name, (gssize)len, NULL);
}

bool fg_config_check_format(const json_t *obj, GError **error)
{
	const json_t *format = json_object_get(obj, "format");

	if (!json_is_object(obj)) {
		g_set_error(error, FG_CONFIG_ERROR, FG_CONFIG_ERR_SYNTAX,
			    "not a JSON object");
		return false;
	}
	if (format == NULL || json_integer_value(format) == FG_CONFIG_FORMAT)
		return true;
	g_set_error(error, FG_CONFIG_ERROR, FG_CONFIG_ERR_FORMAT,
		    "format %" JSON_INTEGER_FORMAT
		    " cannot be read, this release reads format %d",
		    json_integer_value(format), FG_CONFIG_FORMAT);
	return false;
}

json_t *fg_config_parse(const char *text, GError **error)
{
	json_error_t json_err;
	json_t *obj = json_loads(text, JSON_REJECT_DUPLICATES, &json_err);

	if (obj == NULL) {
		g_set_error(error, FG_CONFIG_ERROR, FG_CONFIG_ERR_SYNTAX,
			    "not JSON: %s", json_err.text);
		return NULL;
	}
	if (fg_config_check_format(obj, error))
		return obj;
	json_decref(obj);
	return NULL;
}

/* Name, destination and range of a field of a preset or service. */
struct field_spec {
	const char *name;
	void *value; /* uint32_t * or, when max is 0, bool * */
	uint32_t min;
	uint32_t max;
};

static bool parse_field(const struct field_spec *f, const json_t *obj,
			GError **error)
{
	const json_t *v = json_object_get(obj, f->name);
	json_int_t number = json_integer_value(v);

	if (v == NULL)
		return true;
	if (f->max == 0 && json_is_boolean(v)) {
		*(bool *)f->value = json_is_true(v);
		return true;
	}
	if (f->max == 0) {
		g_set_error(error, FG_CONFIG_ERROR, FG_CONFIG_ERR_RANGE,
			    "\"%s\" must be true or false", f->name);
		return false;
	}
	if (json_is_integer(v) && number >= f->min && number <= f->max) {
		*(uint32_t *)f->value = (uint32_t)number;
		return true;
	}
	g_set_error(error, FG_CONFIG_ERROR, FG_CONFIG_ERR_RANGE,
		    "\"%s\" must be a whole number from %u to %u", f->name,
		    f->min, f->max);
	return false;
}

static bool parse_fields(const struct field_spec *f, size_t n,
			 const json_t *obj, GError **error)
{
	for (size_t i = 0; i < n; i++)
		if (!parse_field(&f[i], obj, error))
			return false;
	return true;
}

bool fg_preset_parse(struct fg_preset *p, const json_t *obj, GError **error)
{
	const struct field_spec fields[] = {
		{ "stall_weight", &p->stall_weight, 0, 100 },
		{ "hold_max_ms", &p->hold_max_ms, 0, 600000 },
		{ "retry_percent", &p->retry_percent, 0, 100 },
		{ "caller_rate", &p->caller_rate, 0, 1000000 },
		{ "accept_drafts", &p->accept_drafts, 0, 0 },
	};

	return parse_fields(fields, G_N_ELEMENTS(fields), obj, error);
}

bool fg_service_parse(struct fg_service *s, const json_t *obj, GError **error)
{
	const struct field_spec fields[] = {
		{ "plain", &s->plain, 0, 0 },
		{ "checks_fence", &s->checks_fence, 0, 0 },
		{ "loads_per_s", &s->loads_per_s, 1, 10000 },
		{ "loads_in_flight", &s->loads_in_flight, 1, 10000 },
		{ "load_ms", &s->load_ms, 1, 600000 },
	};

	return parse_fields(fields, G_N_ELEMENTS(fields), obj, error);
}
