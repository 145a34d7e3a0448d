/*
 * fg_config_priv - tables of the catalogue; private to lib/config.
 *
 * Two hash sets, by name and by number, point into the same adapter record, so
 * that an adapter costs one allocation. The names of versions, callers and base
 * models are interned, since they repeat over many adapters.
 */
#ifndef FG_CONFIG_PRIV_H
#define FG_CONFIG_PRIV_H

#include <jansson.h>

#include "config/fg_config.h"

/* Format number of change texts, snapshots and rows; see
 * docs/design/configuration.md before raising it. */
#define FG_CONFIG_FORMAT 1

/* These limits keep any adapter, and all presets and services together, within
 * one part of a snapshot. */
#define FG_CONFIG_VERSIONS_MAX 128
#define FG_CONFIG_CALLERS_MAX 256
#define FG_CONFIG_PRESETS_MAX 32
#define FG_CONFIG_SERVICES_MAX 64
#define FG_CONFIG_ADAPTERS_MAX 1000000

struct fg_version_ent {
	char *name; /* GRefString, interned */
	uint32_t ver;
};

struct fg_adapter_ent {
	uint32_t number;
	uint32_t next_ver;		 /* number of the next version */
	char *base;			 /* GRefString, interned */
	struct fg_version_ent *versions; /* in order of creation */
	char **callers; /* GRefStrings, interned, sorted by strcmp() */
	uint32_t n_versions;
	uint32_t n_callers;
	char name[];
};

struct fg_config {
	uint64_t revision;
	uint32_t next_adapter; /* number of the next adapter */
	GHashTable *by_name;   /* set of &ent->name */
	GHashTable *by_number; /* set of &ent->number; owns the records */
	struct fg_preset presets[FG_CONFIG_PRESETS_MAX];
	size_t n_presets;
	size_t in_force; /* index of the preset in force */
	struct fg_service services[FG_CONFIG_SERVICES_MAX];
	size_t n_services;
};

/* Returns a record without versions and callers, in no catalogue yet. */
struct fg_adapter_ent *fg_adapter_ent_new(uint32_t number, const char *base,
					  const char *name);
void fg_adapter_ent_free(struct fg_adapter_ent *a);

/* Return the adapter of a name or number, NULL when there is none. */
struct fg_adapter_ent *fg_config_find_adapter(const struct fg_config *c,
					      const char *name);
struct fg_adapter_ent *
fg_config_find_adapter_by_number(const struct fg_config *c, uint32_t number);

/* Adds the record to both sets, which takes ownership. */
void fg_config_insert_adapter(struct fg_config *c, struct fg_adapter_ent *a);

/* Removes the record from both sets and returns ownership to the caller. */
void fg_config_detach_adapter(struct fg_config *c, struct fg_adapter_ent *a);

/* Returns the index of a version, n_versions when there is none. */
size_t fg_adapter_ent_find_version(const struct fg_adapter_ent *a,
				   const char *name);
void fg_adapter_ent_insert_version(struct fg_adapter_ent *a, size_t index,
				   struct fg_version_ent version);

/* Removes the version at index; the caller releases the returned name. */
struct fg_version_ent fg_adapter_ent_remove_version(struct fg_adapter_ent *a,
						    size_t index);

/* Returns the index of a caller in sorted order, or the index to insert the
 * caller at; *found tells which. */
size_t fg_adapter_ent_find_caller(const struct fg_adapter_ent *a,
				  const char *caller, bool *found);
void fg_adapter_ent_insert_caller(struct fg_adapter_ent *a, size_t index,
				  char *caller);

/* Removes the caller at index; the caller of the function releases the
 * returned name. */
char *fg_adapter_ent_remove_caller(struct fg_adapter_ent *a, size_t index);

/* Return the index of a preset or service; n_presets or n_services when there
 * is none. */
size_t fg_config_preset_index(const struct fg_config *c, const char *name);
size_t fg_config_service_index(const struct fg_config *c, const char *name);

/* Set the defaults of a new preset or service. */
void fg_preset_set_defaults(struct fg_preset *p, const char *name);
void fg_service_set_defaults(struct fg_service *s, const char *name);

/* Set the fields of a preset or service that are present in obj. Return false
 * with error set when a value is out of its range. */
bool fg_preset_parse(struct fg_preset *p, const json_t *obj, GError **error);
bool fg_service_parse(struct fg_service *s, const json_t *obj, GError **error);

/* A valid name has 1 to 63 bytes of UTF-8 without control characters, '@' or
 * '|'. */
bool fg_config_is_valid_name(const char *name);

/* Does what fg_config_apply() does, for a parsed change. */
bool fg_config_apply_json(struct fg_config *c, const json_t *change,
			  GError **error);

/* Parses a JSON object whose "format" is FG_CONFIG_FORMAT or absent. Returns
 * NULL with error set for anything else. */
json_t *fg_config_parse(const char *text, GError **error);

/* Checks the same of a parsed value: false with error set. */
bool fg_config_check_format(const json_t *obj, GError **error);

#endif
