/*
 * Applies changes. Every step of a change adds an undo record, by which a
 * change that fails halfway is rolled back. The cost of a change depends on its
 * own size and not on that of the catalogue.
 */
#include <string.h>

#include "config/fg_config_priv.h"

#define BATCH_CHANGES_MAX 1000

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

struct undo_rec {
	enum undo_type type;
	struct fg_adapter_ent *a;
	size_t index;
	size_t old_count; /* n_presets or n_services */
	struct fg_version_ent version;
	char *caller;
	union {
		struct fg_preset preset;
		struct fg_service service;
	} old;
};

struct apply_ctx {
	struct fg_config *c;
	GArray *undo_log; /* of struct undo_rec, one for each step */
	GError **error;
};

/* Sets the error 'message "name"' and returns false. */
static bool set_error(struct apply_ctx *ctx, enum fg_config_error code,
		      const char *message, const char *name)
{
	g_set_error(ctx->error, FG_CONFIG_ERROR, code, "%s \"%s\"", message,
		    name);
	return false;
}

/* ---- Fields ---- */

static const char *get_name(struct apply_ctx *ctx, const json_t *obj,
			    const char *key)
{
	const char *name = json_string_value(json_object_get(obj, key));

	if (name == NULL) {
		g_set_error(ctx->error, FG_CONFIG_ERROR, FG_CONFIG_ERR_SYNTAX,
			    "\"%s\" missing or not a string", key);
		return NULL;
	}
	if (!fg_config_is_valid_name(name)) {
		g_set_error(ctx->error, FG_CONFIG_ERROR, FG_CONFIG_ERR_RANGE,
			    "\"%s\" must be 1 to %d bytes without control "
			    "characters, '@' or '|'",
			    key, FG_NAME_BYTES - 1);
		return NULL;
	}
	return name;
}

static struct fg_adapter_ent *get_adapter(struct apply_ctx *ctx,
					  const json_t *obj)
{
	const char *name = get_name(ctx, obj, "adapter");
	struct fg_adapter_ent *a;

	if (name == NULL)
		return NULL;
	a = fg_config_find_adapter(ctx->c, name);
	if (a == NULL)
		set_error(ctx, FG_CONFIG_ERR_UNKNOWN, "unknown adapter", name);
	return a;
}

/* ---- Kinds of change ---- */

static bool adapter_add(struct apply_ctx *ctx, const json_t *obj)
{
	const char *base = get_name(ctx, obj, "base");
	const char *name = base ? get_name(ctx, obj, "adapter") : NULL;
	struct undo_rec u = { .type = UNDO_ADAPTER_ADD };

	if (name == NULL)
		return false;
	if (fg_config_find_adapter(ctx->c, name) != NULL)
		return set_error(ctx, FG_CONFIG_ERR_EXISTS, "adapter exists",
				 name);
	if (fg_config_adapter_count(ctx->c) >= FG_CONFIG_ADAPTERS_MAX)
		return set_error(ctx, FG_CONFIG_ERR_RANGE,
				 "too many adapters, cannot add", name);
	u.a = fg_adapter_ent_new(ctx->c->next_adapter++, base, name);
	fg_config_insert_adapter(ctx->c, u.a);
	g_array_append_val(ctx->undo_log, u);
	return true;
}

static bool adapter_remove(struct apply_ctx *ctx, const json_t *obj)
{
	struct undo_rec u = { .type = UNDO_ADAPTER_REMOVE };

	u.a = get_adapter(ctx, obj);
	if (u.a == NULL)
		return false;
	fg_config_detach_adapter(ctx->c, u.a);
	g_array_append_val(ctx->undo_log, u);
	return true;
}

static bool version_add(struct apply_ctx *ctx, const json_t *obj)
{
	struct undo_rec u = { .type = UNDO_VERSION_ADD };
	const char *name;

	u.a = get_adapter(ctx, obj);
	name = u.a ? get_name(ctx, obj, "version") : NULL;
	if (name == NULL)
		return false;
	u.index = fg_adapter_ent_find_version(u.a, name);
	if (u.index < u.a->n_versions)
		return set_error(ctx, FG_CONFIG_ERR_EXISTS, "version exists",
				 name);
	if (u.index >= FG_CONFIG_VERSIONS_MAX)
		return set_error(ctx, FG_CONFIG_ERR_RANGE,
				 "too many versions of adapter", u.a->name);
	u.version.ver = u.a->next_ver++;
	u.version.name = g_ref_string_new_intern(name);
	fg_adapter_ent_insert_version(u.a, u.index, u.version);
	g_array_append_val(ctx->undo_log, u);
	return true;
}

static bool version_remove(struct apply_ctx *ctx, const json_t *obj)
{
	struct undo_rec u = { .type = UNDO_VERSION_REMOVE };
	const char *name;

	u.a = get_adapter(ctx, obj);
	name = u.a ? get_name(ctx, obj, "version") : NULL;
	if (name == NULL)
		return false;
	u.index = fg_adapter_ent_find_version(u.a, name);
	if (u.index == u.a->n_versions)
		return set_error(ctx, FG_CONFIG_ERR_UNKNOWN, "unknown version",
				 name);
	u.version = fg_adapter_ent_remove_version(u.a, u.index);
	g_array_append_val(ctx->undo_log, u);
	return true;
}

static bool right_grant(struct apply_ctx *ctx, const json_t *obj)
{
	struct undo_rec u = { .type = UNDO_RIGHT_GRANT };
	const char *caller;
	bool found;

	u.a = get_adapter(ctx, obj);
	caller = u.a ? get_name(ctx, obj, "caller") : NULL;
	if (caller == NULL)
		return false;
	u.index = fg_adapter_ent_find_caller(u.a, caller, &found);
	if (found)
		return set_error(ctx, FG_CONFIG_ERR_EXISTS,
				 "right exists for caller", caller);
	if (u.a->n_callers >= FG_CONFIG_CALLERS_MAX)
		return set_error(ctx, FG_CONFIG_ERR_RANGE,
				 "too many callers of adapter", u.a->name);
	u.caller = g_ref_string_new_intern(caller);
	fg_adapter_ent_insert_caller(u.a, u.index, u.caller);
	g_array_append_val(ctx->undo_log, u);
	return true;
}

static bool right_revoke(struct apply_ctx *ctx, const json_t *obj)
{
	struct undo_rec u = { .type = UNDO_RIGHT_REVOKE };
	const char *caller;
	bool found;

	u.a = get_adapter(ctx, obj);
	caller = u.a ? get_name(ctx, obj, "caller") : NULL;
	if (caller == NULL)
		return false;
	u.index = fg_adapter_ent_find_caller(u.a, caller, &found);
	if (!found)
		return set_error(ctx, FG_CONFIG_ERR_UNKNOWN,
				 "no right to revoke for caller", caller);
	u.caller = fg_adapter_ent_remove_caller(u.a, u.index);
	g_array_append_val(ctx->undo_log, u);
	return true;
}

static bool preset_set(struct apply_ctx *ctx, const json_t *obj)
{
	const char *name = get_name(ctx, obj, "preset");
	struct undo_rec u = { .type = UNDO_PRESET_SET };
	size_t index;

	if (name == NULL)
		return false;
	index = fg_config_preset_index(ctx->c, name);
	if (index == ctx->c->n_presets)
		return set_error(ctx, FG_CONFIG_ERR_UNKNOWN, "unknown preset",
				 name);
	u.index = ctx->c->in_force;
	ctx->c->in_force = index;
	g_array_append_val(ctx->undo_log, u);
	return true;
}

static bool preset_put(struct apply_ctx *ctx, const json_t *obj)
{
	const char *name = get_name(ctx, obj, "preset");
	struct fg_config *c = ctx->c;
	struct undo_rec u = { .type = UNDO_PRESET_PUT,
			      .old_count = c->n_presets };
	struct fg_preset p;

	if (name == NULL)
		return false;
	u.index = fg_config_preset_index(c, name);
	if (u.index == FG_CONFIG_PRESETS_MAX)
		return set_error(ctx, FG_CONFIG_ERR_RANGE,
				 "too many presets, cannot add", name);
	fg_preset_set_defaults(&p, name);
	if (u.index < c->n_presets)
		p = c->presets[u.index];
	if (!fg_preset_parse(&p, obj, ctx->error))
		return false;
	u.old.preset = c->presets[u.index];
	c->presets[u.index] = p;
	c->n_presets = MAX(c->n_presets, u.index + 1);
	g_array_append_val(ctx->undo_log, u);
	return true;
}

static bool service_put(struct apply_ctx *ctx, const json_t *obj)
{
	const char *name = get_name(ctx, obj, "service");
	struct fg_config *c = ctx->c;
	struct undo_rec u = { .type = UNDO_SERVICE_PUT,
			      .old_count = c->n_services };
	struct fg_service s;

	if (name == NULL)
		return false;
	u.index = fg_config_service_index(c, name);
	if (u.index == FG_CONFIG_SERVICES_MAX)
		return set_error(ctx, FG_CONFIG_ERR_RANGE,
				 "too many services, cannot add", name);
	fg_service_set_defaults(&s, name);
	if (u.index < c->n_services)
		s = c->services[u.index];
	if (!fg_service_parse(&s, obj, ctx->error))
		return false;
	u.old.service = c->services[u.index];
	c->services[u.index] = s;
	c->n_services = MAX(c->n_services, u.index + 1);
	g_array_append_val(ctx->undo_log, u);
	return true;
}

/* ---- Rollback ---- */

static void undo_step(struct fg_config *c, struct undo_rec *u)
{
	switch (u->type) {
	case UNDO_ADAPTER_ADD:
		fg_config_detach_adapter(c, u->a);
		fg_adapter_ent_free(u->a);
		c->next_adapter--;
		break;
	case UNDO_ADAPTER_REMOVE:
		fg_config_insert_adapter(c, u->a);
		break;
	case UNDO_VERSION_ADD:
		fg_adapter_ent_remove_version(u->a, u->index);
		g_ref_string_release(u->version.name);
		u->a->next_ver--;
		break;
	case UNDO_VERSION_REMOVE:
		fg_adapter_ent_insert_version(u->a, u->index, u->version);
		break;
	case UNDO_RIGHT_GRANT:
		fg_adapter_ent_remove_caller(u->a, u->index);
		g_ref_string_release(u->caller);
		break;
	case UNDO_RIGHT_REVOKE:
		fg_adapter_ent_insert_caller(u->a, u->index, u->caller);
		break;
	case UNDO_PRESET_SET:
		c->in_force = u->index;
		break;
	case UNDO_PRESET_PUT:
		c->presets[u->index] = u->old.preset;
		c->n_presets = u->old_count;
		break;
	case UNDO_SERVICE_PUT:
		c->services[u->index] = u->old.service;
		c->n_services = u->old_count;
		break;
	}
}

/* Frees what a step of a successful change removed from the catalogue. */
static void free_removed(struct undo_rec *u)
{
	if (u->type == UNDO_ADAPTER_REMOVE)
		fg_adapter_ent_free(u->a);
	else if (u->type == UNDO_VERSION_REMOVE)
		g_ref_string_release(u->version.name);
	else if (u->type == UNDO_RIGHT_REVOKE)
		g_ref_string_release(u->caller);
}

static void roll_back(struct apply_ctx *ctx)
{
	for (guint i = ctx->undo_log->len; i > 0; i--)
		undo_step(ctx->c, &g_array_index(ctx->undo_log, struct undo_rec,
						 i - 1));
}

static void commit(struct apply_ctx *ctx)
{
	for (guint i = 0; i < ctx->undo_log->len; i++)
		free_removed(&g_array_index(ctx->undo_log, struct undo_rec, i));
}

/* ---- Dispatch by kind ---- */

#define FIELDS_MAX 8

static const struct change_kind {
	const char *name;
	bool (*apply)(struct apply_ctx *ctx, const json_t *obj);
	const char *fields[FIELDS_MAX];
} change_kinds[] = {
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

/* Fields allowed in any change, but not in the changes inside a batch. */
static const char *const common_fields[] = { "revision", "format", "nonce" };

static bool is_common_field(const char *key)
{
	for (size_t i = 0; i < G_N_ELEMENTS(common_fields); i++)
		if (strcmp(key, common_fields[i]) == 0)
			return true;
	return false;
}

static bool is_field_of(const struct change_kind *k, const char *key)
{
	for (size_t i = 0; i < FIELDS_MAX && k->fields[i] != NULL; i++)
		if (strcmp(key, k->fields[i]) == 0)
			return true;
	return false;
}

static bool check_fields(struct apply_ctx *ctx, const struct change_kind *k,
			 const json_t *obj, bool in_batch)
{
	const char *key;
	json_t *value;

	json_object_foreach((json_t *)obj, key, value)
	{
		if (strcmp(key, "kind") == 0 || is_field_of(k, key))
			continue;
		if (!in_batch && is_common_field(key))
			continue;
		return set_error(ctx, FG_CONFIG_ERR_SYNTAX, "unknown field",
				 key);
	}
	return true;
}

static bool apply_single(struct apply_ctx *ctx, const json_t *obj,
			 bool in_batch)
{
	const char *name = json_string_value(json_object_get(obj, "kind"));

	if (name == NULL)
		return set_error(ctx, FG_CONFIG_ERR_SYNTAX, "missing field",
				 "kind");
	for (size_t i = 0; i < G_N_ELEMENTS(change_kinds); i++) {
		if (strcmp(change_kinds[i].name, name) != 0)
			continue;
		return check_fields(ctx, &change_kinds[i], obj, in_batch) &&
		       change_kinds[i].apply(ctx, obj);
	}
	return set_error(ctx, FG_CONFIG_ERR_SYNTAX, "unknown kind", name);
}

static bool apply_batch(struct apply_ctx *ctx, const json_t *obj)
{
	static const struct change_kind batch = { "batch",
						  NULL,
						  { "changes" } };
	const json_t *changes = json_object_get(obj, "changes");
	size_t n = json_array_size(changes);

	if (!check_fields(ctx, &batch, obj, false))
		return false;
	if (n == 0 || n > BATCH_CHANGES_MAX)
		return set_error(ctx, FG_CONFIG_ERR_RANGE,
				 "a batch needs a list of 1 to 1000 changes in",
				 "changes");
	for (size_t i = 0; i < n; i++) {
		if (apply_single(ctx, json_array_get(changes, i), true))
			continue;
		g_prefix_error(ctx->error, "change %zu of the batch: ", i + 1);
		return false;
	}
	return true;
}

static bool apply_change(struct apply_ctx *ctx, const json_t *obj)
{
	const char *name = json_string_value(json_object_get(obj, "kind"));

	if (name != NULL && strcmp(name, "batch") == 0)
		return apply_batch(ctx, obj);
	return apply_single(ctx, obj, false);
}

/* ---- Entry points ---- */

bool fg_config_apply_json(struct fg_config *c, const json_t *change,
			  GError **error)
{
	struct apply_ctx ctx = { c, NULL, error };
	json_int_t revision;
	bool ok;

	if (!fg_config_check_format(change, error))
		return false;
	revision = json_integer_value(json_object_get(change, "revision"));
	if (revision <= 0 || (uint64_t)revision != c->revision + 1) {
		g_set_error(error, FG_CONFIG_ERROR, FG_CONFIG_ERR_GAP,
			    "change makes revision %" JSON_INTEGER_FORMAT
			    ", next is %" G_GUINT64_FORMAT,
			    revision, c->revision + 1);
		return false;
	}
	ctx.undo_log = g_array_new(FALSE, TRUE, sizeof(struct undo_rec));
	ok = apply_change(&ctx, change);
	if (ok) {
		commit(&ctx);
		c->revision++;
	} else {
		roll_back(&ctx);
	}
	g_array_free(ctx.undo_log, TRUE);
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
	struct apply_ctx ctx = { c, NULL, error };
	bool ok;

	if (obj == NULL)
		return false;
	ctx.undo_log = g_array_new(FALSE, TRUE, sizeof(struct undo_rec));
	ok = apply_change(&ctx, obj);
	roll_back(&ctx);
	g_array_free(ctx.undo_log, TRUE);
	json_decref(obj);
	return ok;
}
