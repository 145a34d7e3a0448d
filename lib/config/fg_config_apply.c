/*
 * Applying changes. Every step notes how to undo itself, so that a change
 * that fails in its middle is rolled back, and its cost depends on its own
 * size alone, never on that of the catalogue.
 */
#include <string.h>

#include "config/fg_config_priv.h"

#define BATCH_MAX 1000

enum undo_type {
	UNDO_ADAPTER_ADD = 1,
	UNDO_ADAPTER_REMOVE,
	UNDO_VERSION_ADD,
	UNDO_VERSION_REMOVE,
	UNDO_RIGHT_GRANT,
	UNDO_RIGHT_REVOKE,
	UNDO_PRESET_SET,
	UNDO_PRESET_PUT,
	UNDO_SERVICE_PUT,
};

struct undo {
	enum undo_type type;
	struct fg_adapter_ent *a;
	size_t index;
	size_t count; /* n_presets or n_services before */
	struct fg_version_ent version;
	char *caller;
	union {
		struct fg_preset preset;
		struct fg_service service;
	} old;
};

/* A change in progress. */
struct step {
	struct fg_config *c;
	GArray *undo; /* of struct undo */
	GError **error;
};

static bool fail(struct step *st, enum fg_config_error code, const char *what,
		 const char *name)
{
	g_set_error(st->error, FG_CONFIG_ERROR, code, "%s \"%s\"", what, name);
	return false;
}

/* ---- Reading fields ---- */

static const char *get_name(struct step *st, const json_t *obj, const char *key)
{
	const char *name = json_string_value(json_object_get(obj, key));

	if (name == NULL) {
		g_set_error(st->error, FG_CONFIG_ERROR, FG_CONFIG_ERR_SYNTAX,
			    "\"%s\" missing or not a string", key);
		return NULL;
	}
	if (!fg_config_name_ok(name)) {
		g_set_error(st->error, FG_CONFIG_ERROR, FG_CONFIG_ERR_RANGE,
			    "\"%s\" must be 1 to %d bytes without control "
			    "characters, '@' or '|'",
			    key, FG_NAME_BYTES - 1);
		return NULL;
	}
	return name;
}

static struct fg_adapter_ent *get_adapter(struct step *st, const json_t *obj)
{
	const char *name = get_name(st, obj, "adapter");
	struct fg_adapter_ent *a;

	if (name == NULL)
		return NULL;
	a = fg_config_ent(st->c, name);
	if (a == NULL)
		fail(st, FG_CONFIG_ERR_UNKNOWN, "unknown adapter", name);
	return a;
}

/* ---- Kinds of change ---- */

static bool adapter_add(struct step *st, const json_t *obj)
{
	const char *base = get_name(st, obj, "base");
	const char *name = base ? get_name(st, obj, "adapter") : NULL;
	struct undo u = { .type = UNDO_ADAPTER_ADD };

	if (name == NULL)
		return false;
	if (fg_config_ent(st->c, name) != NULL)
		return fail(st, FG_CONFIG_ERR_EXISTS, "adapter exists", name);
	if (fg_config_adapter_count(st->c) >= FG_CONFIG_ADAPTERS_MAX)
		return fail(st, FG_CONFIG_ERR_RANGE, "too many adapters for",
			    name);
	u.a = fg_adapter_ent_new(st->c->next_adapter++, base, name);
	fg_config_ent_insert(st->c, u.a);
	g_array_append_val(st->undo, u);
	return true;
}

static bool adapter_remove(struct step *st, const json_t *obj)
{
	struct undo u = { .type = UNDO_ADAPTER_REMOVE };

	u.a = get_adapter(st, obj);
	if (u.a == NULL)
		return false;
	fg_config_ent_steal(st->c, u.a);
	g_array_append_val(st->undo, u);
	return true;
}

static bool version_add(struct step *st, const json_t *obj)
{
	struct undo u = { .type = UNDO_VERSION_ADD };
	const char *name;

	u.a = get_adapter(st, obj);
	name = u.a ? get_name(st, obj, "version") : NULL;
	if (name == NULL)
		return false;
	u.index = fg_adapter_ent_version(u.a, name);
	if (u.index < u.a->n_versions)
		return fail(st, FG_CONFIG_ERR_EXISTS, "version exists", name);
	if (u.index >= FG_CONFIG_VERSIONS_MAX)
		return fail(st, FG_CONFIG_ERR_RANGE, "too many versions of",
			    u.a->name);
	u.version.ver = u.a->next_ver++;
	u.version.name = g_ref_string_new_intern(name);
	fg_adapter_ent_version_insert(u.a, u.index, u.version);
	g_array_append_val(st->undo, u);
	return true;
}

static bool version_remove(struct step *st, const json_t *obj)
{
	struct undo u = { .type = UNDO_VERSION_REMOVE };
	const char *name;

	u.a = get_adapter(st, obj);
	name = u.a ? get_name(st, obj, "version") : NULL;
	if (name == NULL)
		return false;
	u.index = fg_adapter_ent_version(u.a, name);
	if (u.index == u.a->n_versions)
		return fail(st, FG_CONFIG_ERR_UNKNOWN, "unknown version", name);
	u.version = fg_adapter_ent_version_take(u.a, u.index);
	g_array_append_val(st->undo, u);
	return true;
}

static bool right_grant(struct step *st, const json_t *obj)
{
	struct undo u = { .type = UNDO_RIGHT_GRANT };
	const char *caller;
	bool found;

	u.a = get_adapter(st, obj);
	caller = u.a ? get_name(st, obj, "caller") : NULL;
	if (caller == NULL)
		return false;
	u.index = fg_adapter_ent_caller(u.a, caller, &found);
	if (found)
		return fail(st, FG_CONFIG_ERR_EXISTS, "right exists for",
			    caller);
	if (u.a->n_callers >= FG_CONFIG_CALLERS_MAX)
		return fail(st, FG_CONFIG_ERR_RANGE, "too many callers of",
			    u.a->name);
	u.caller = g_ref_string_new_intern(caller);
	fg_adapter_ent_caller_insert(u.a, u.index, u.caller);
	g_array_append_val(st->undo, u);
	return true;
}

static bool right_revoke(struct step *st, const json_t *obj)
{
	struct undo u = { .type = UNDO_RIGHT_REVOKE };
	const char *caller;
	bool found;

	u.a = get_adapter(st, obj);
	caller = u.a ? get_name(st, obj, "caller") : NULL;
	if (caller == NULL)
		return false;
	u.index = fg_adapter_ent_caller(u.a, caller, &found);
	if (!found)
		return fail(st, FG_CONFIG_ERR_UNKNOWN, "no right of", caller);
	u.caller = fg_adapter_ent_caller_take(u.a, u.index);
	g_array_append_val(st->undo, u);
	return true;
}

static bool preset_set(struct step *st, const json_t *obj)
{
	const char *name = get_name(st, obj, "preset");
	struct undo u = { .type = UNDO_PRESET_SET };
	size_t index;

	if (name == NULL)
		return false;
	index = fg_config_preset_index(st->c, name);
	if (index == st->c->n_presets)
		return fail(st, FG_CONFIG_ERR_UNKNOWN, "unknown preset", name);
	u.index = st->c->in_force;
	st->c->in_force = index;
	g_array_append_val(st->undo, u);
	return true;
}

static bool preset_put(struct step *st, const json_t *obj)
{
	const char *name = get_name(st, obj, "preset");
	struct fg_config *c = st->c;
	struct undo u = { .type = UNDO_PRESET_PUT, .count = c->n_presets };
	struct fg_preset p;

	if (name == NULL)
		return false;
	u.index = fg_config_preset_index(c, name);
	if (u.index == FG_CONFIG_PRESETS_MAX)
		return fail(st, FG_CONFIG_ERR_RANGE, "too many presets for",
			    name);
	fg_preset_defaults(&p, name);
	if (u.index < c->n_presets)
		p = c->presets[u.index];
	if (!fg_preset_read(&p, obj, st->error))
		return false;
	u.old.preset = c->presets[u.index];
	c->presets[u.index] = p;
	c->n_presets = MAX(c->n_presets, u.index + 1);
	g_array_append_val(st->undo, u);
	return true;
}

static bool service_put(struct step *st, const json_t *obj)
{
	const char *name = get_name(st, obj, "service");
	struct fg_config *c = st->c;
	struct undo u = { .type = UNDO_SERVICE_PUT, .count = c->n_services };
	struct fg_service s;

	if (name == NULL)
		return false;
	u.index = fg_config_service_index(c, name);
	if (u.index == FG_CONFIG_SERVICES_MAX)
		return fail(st, FG_CONFIG_ERR_RANGE, "too many services for",
			    name);
	fg_service_defaults(&s, name);
	if (u.index < c->n_services)
		s = c->services[u.index];
	if (!fg_service_read(&s, obj, st->error))
		return false;
	u.old.service = c->services[u.index];
	c->services[u.index] = s;
	c->n_services = MAX(c->n_services, u.index + 1);
	g_array_append_val(st->undo, u);
	return true;
}

/* ---- Undoing ---- */

static void undo_one(struct fg_config *c, struct undo *u)
{
	switch (u->type) {
	case UNDO_ADAPTER_ADD:
		fg_config_ent_steal(c, u->a);
		fg_adapter_ent_free(u->a);
		c->next_adapter--;
		break;
	case UNDO_ADAPTER_REMOVE:
		fg_config_ent_insert(c, u->a);
		break;
	case UNDO_VERSION_ADD:
		fg_adapter_ent_version_take(u->a, u->index);
		g_ref_string_release(u->version.name);
		u->a->next_ver--;
		break;
	case UNDO_VERSION_REMOVE:
		fg_adapter_ent_version_insert(u->a, u->index, u->version);
		break;
	case UNDO_RIGHT_GRANT:
		fg_adapter_ent_caller_take(u->a, u->index);
		g_ref_string_release(u->caller);
		break;
	case UNDO_RIGHT_REVOKE:
		fg_adapter_ent_caller_insert(u->a, u->index, u->caller);
		break;
	case UNDO_PRESET_SET:
		c->in_force = u->index;
		break;
	case UNDO_PRESET_PUT:
		c->presets[u->index] = u->old.preset;
		c->n_presets = u->count;
		break;
	case UNDO_SERVICE_PUT:
		c->services[u->index] = u->old.service;
		c->n_services = u->count;
		break;
	}
}

/* Frees what a change took out of the catalogue, once it cannot fail. */
static void settle_one(struct undo *u)
{
	if (u->type == UNDO_ADAPTER_REMOVE)
		fg_adapter_ent_free(u->a);
	else if (u->type == UNDO_VERSION_REMOVE)
		g_ref_string_release(u->version.name);
	else if (u->type == UNDO_RIGHT_REVOKE)
		g_ref_string_release(u->caller);
}

static void undo_all(struct step *st)
{
	for (guint i = st->undo->len; i > 0; i--)
		undo_one(st->c, &g_array_index(st->undo, struct undo, i - 1));
}

static void settle_all(struct step *st)
{
	for (guint i = 0; i < st->undo->len; i++)
		settle_one(&g_array_index(st->undo, struct undo, i));
}

/* ---- Choosing the kind ---- */

#define FIELDS_MAX 8

static const struct kind {
	const char *name;
	bool (*run)(struct step *st, const json_t *obj);
	const char *fields[FIELDS_MAX];
} kinds[] = {
	{ "adapter_add", adapter_add, { "base", "adapter" } },
	{ "adapter_remove", adapter_remove, { "adapter" } },
	{ "version_add", version_add, { "adapter", "version" } },
	{ "version_remove", version_remove, { "adapter", "version" } },
	{ "right_grant", right_grant, { "adapter", "caller" } },
	{ "right_revoke", right_revoke, { "adapter", "caller" } },
	{ "preset_set", preset_set, { "preset" } },
	{ "preset_put",
	  preset_put,
	  { "preset", "stall_weight", "hold_max_ms", "retry_percent",
	    "caller_rate", "accept_drafts" } },
	{ "service_put",
	  service_put,
	  { "service", "plain", "checks_fence", "loads_per_s",
	    "loads_in_flight", "load_ms" } },
};

/* Fields that any outermost change may have beside its own. */
static const char *const common_fields[] = { "revision", "format", "nonce" };

static bool is_common(const char *key)
{
	for (size_t i = 0; i < G_N_ELEMENTS(common_fields); i++)
		if (strcmp(key, common_fields[i]) == 0)
			return true;
	return false;
}

static bool is_field(const struct kind *k, const char *key)
{
	for (size_t i = 0; i < FIELDS_MAX && k->fields[i] != NULL; i++)
		if (strcmp(key, k->fields[i]) == 0)
			return true;
	return false;
}

static bool check_fields(struct step *st, const struct kind *k,
			 const json_t *obj, bool inner)
{
	const char *key;
	json_t *value;

	json_object_foreach((json_t *)obj, key, value)
	{
		if (strcmp(key, "kind") == 0 || is_field(k, key))
			continue;
		if (!inner && is_common(key))
			continue;
		return fail(st, FG_CONFIG_ERR_SYNTAX, "unknown field", key);
	}
	return true;
}

static bool run_kind(struct step *st, const json_t *obj, bool inner)
{
	const char *name = json_string_value(json_object_get(obj, "kind"));

	if (name == NULL)
		return fail(st, FG_CONFIG_ERR_SYNTAX, "missing field", "kind");
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		if (strcmp(kinds[i].name, name) != 0)
			continue;
		return check_fields(st, &kinds[i], obj, inner) &&
		       kinds[i].run(st, obj);
	}
	return fail(st, FG_CONFIG_ERR_SYNTAX, "unknown kind", name);
}

static bool run_batch(struct step *st, const json_t *obj)
{
	static const struct kind batch = { "batch", NULL, { "changes" } };
	const json_t *changes = json_object_get(obj, "changes");
	size_t n = json_array_size(changes);

	if (!check_fields(st, &batch, obj, false))
		return false;
	if (n == 0 || n > BATCH_MAX)
		return fail(st, FG_CONFIG_ERR_RANGE,
			    "a list of 1 to 1000 changes must be in",
			    "changes");
	for (size_t i = 0; i < n; i++) {
		if (run_kind(st, json_array_get(changes, i), true))
			continue;
		g_prefix_error(st->error, "change %zu of the batch: ", i + 1);
		return false;
	}
	return true;
}

static bool run_change(struct step *st, const json_t *obj)
{
	const char *name = json_string_value(json_object_get(obj, "kind"));

	if (name != NULL && strcmp(name, "batch") == 0)
		return run_batch(st, obj);
	return run_kind(st, obj, false);
}

/* ---- Entry points ---- */

bool fg_config_apply_json(struct fg_config *c, const json_t *change,
			  GError **error)
{
	struct step st = { c, NULL, error };
	json_int_t revision;
	bool ok;

	if (!fg_config_format_ok(change, error))
		return false;
	revision = json_integer_value(json_object_get(change, "revision"));
	if (revision <= 0 || (uint64_t)revision != c->revision + 1) {
		g_set_error(error, FG_CONFIG_ERROR, FG_CONFIG_ERR_GAP,
			    "change makes revision %" JSON_INTEGER_FORMAT
			    ", next is %" G_GUINT64_FORMAT,
			    revision, c->revision + 1);
		return false;
	}
	st.undo = g_array_new(FALSE, TRUE, sizeof(struct undo));
	ok = run_change(&st, change);
	if (ok) {
		settle_all(&st);
		c->revision++;
	} else {
		undo_all(&st);
	}
	g_array_free(st.undo, TRUE);
	return ok;
}

bool fg_config_apply(struct fg_config *c, const char *change, GError **error)
{
	json_t *obj = fg_config_parse(change, error);
	bool ok = obj != NULL && fg_config_apply_json(c, obj, error);

	json_decref(obj);
	return ok;
}

bool fg_config_check(struct fg_config *c, const char *change, GError **error)
{
	json_t *obj = fg_config_parse(change, error);
	struct step st = { c, NULL, error };
	bool ok;

	if (obj == NULL)
		return false;
	st.undo = g_array_new(FALSE, TRUE, sizeof(struct undo));
	ok = run_change(&st, obj);
	undo_all(&st);
	g_array_free(st.undo, TRUE);
	json_decref(obj);
	return ok;
}
