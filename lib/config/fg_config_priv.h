/*
 * fg_config_priv - the catalogue's tables; for lib/config alone.
 *
 * Adapters live in two sets, by name and by number, which hold pointers into
 * the same record, so that a record costs one allocation. Names of versions,
 * callers and base models are interned: they repeat over many adapters.
 */
#ifndef FG_CONFIG_PRIV_H
#define FG_CONFIG_PRIV_H

#include <jansson.h>

#include "config/fg_config.h"

/* Format number of change texts, snapshots and rows; see
 * docs/design/configuration.md before raising it. */
#define FG_CONFIG_FORMAT 1

/* Limits that keep any adapter, and all presets and services together, inside
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
	uint32_t next_ver;		 /* next version's number */
	char *base;			 /* GRefString, interned */
	struct fg_version_ent *versions; /* in order of creation */
	char **callers; /* GRefStrings, interned, sorted by strcmp() */
	uint32_t n_versions;
	uint32_t n_callers;
	char name[];
};

struct fg_config {
	uint64_t revision;
	uint32_t next_adapter;
	GHashTable *by_name;   /* set of &ent->name */
	GHashTable *by_number; /* set of &ent->number; owns the records */
	struct fg_preset presets[FG_CONFIG_PRESETS_MAX];
	size_t n_presets;
	size_t in_force; /* index of the preset in force */
	struct fg_service services[FG_CONFIG_SERVICES_MAX];
	size_t n_services;
};

struct fg_adapter_ent *fg_adapter_ent_new(uint32_t number, const char *base,
					  const char *name);
void fg_adapter_ent_free(struct fg_adapter_ent *a);

/* Find by name or number; NULL when there is none. */
struct fg_adapter_ent *fg_config_ent(const struct fg_config *c,
				     const char *name);
struct fg_adapter_ent *fg_config_ent_number(const struct fg_config *c,
					    uint32_t number);

/* Adds the record to both sets, or takes it out without freeing it. */
void fg_config_ent_insert(struct fg_config *c, struct fg_adapter_ent *a);
void fg_config_ent_steal(struct fg_config *c, struct fg_adapter_ent *a);

/* Index of a version, or n_versions when there is none. */
size_t fg_adapter_ent_version(const struct fg_adapter_ent *a, const char *name);
void fg_adapter_ent_version_insert(struct fg_adapter_ent *a, size_t index,
				   struct fg_version_ent version);
struct fg_version_ent fg_adapter_ent_version_take(struct fg_adapter_ent *a,
						  size_t index);

/* Place of a caller among the sorted ones; *found tells if it is there. */
size_t fg_adapter_ent_caller(const struct fg_adapter_ent *a, const char *caller,
			     bool *found);
void fg_adapter_ent_caller_insert(struct fg_adapter_ent *a, size_t index,
				  char *caller);
char *fg_adapter_ent_caller_take(struct fg_adapter_ent *a, size_t index);

/* Index of a preset or service, or n_presets, n_services. */
size_t fg_config_preset_index(const struct fg_config *c, const char *name);
size_t fg_config_service_index(const struct fg_config *c, const char *name);

/* Defaults of a new preset and of a service never put. */
void fg_preset_defaults(struct fg_preset *p, const char *name);
void fg_service_defaults(struct fg_service *s, const char *name);

/* Sets a preset's or service's fields from the members of obj that are
 * there; false with error set when one is out of its range. */
bool fg_preset_read(struct fg_preset *p, const json_t *obj, GError **error);
bool fg_service_read(struct fg_service *s, const json_t *obj, GError **error);

/* A name of 1 to 63 bytes, UTF-8, without control characters, '@' or '|'. */
bool fg_config_name_ok(const char *name);

/* fg_config_apply() on a parsed change. */
bool fg_config_apply_json(struct fg_config *c, const json_t *change,
			  GError **error);

/* Parses a JSON object whose "format" is FG_CONFIG_FORMAT or absent; NULL
 * with error set otherwise. */
json_t *fg_config_parse(const char *text, GError **error);
bool fg_config_format_ok(const json_t *obj, GError **error);

#endif
