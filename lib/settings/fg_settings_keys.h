/*
 * fg_settings_keys - tables of the keys of the settings file.
 *
 * Each mapping of the file has one table. The schema for libcyaml, the
 * validation, the defaults and the error messages are derived from the tables.
 */
#ifndef FG_SETTINGS_KEYS_H
#define FG_SETTINGS_KEYS_H

#include "settings/fg_settings.h"

enum fg_key_kind {
	FG_KEY_NAME = 1, /* char[FG_NAME_BYTES] */
	FG_KEY_ADDR = 2, /* char[FG_ADDR_BYTES] */
	FG_KEY_PATH = 3, /* char *, g_malloc'ed */
	FG_KEY_U32 = 4,
	FG_KEY_BOOL = 5,
	FG_KEY_LEVEL = 6, /* enum fg_log_level */
};

struct fg_key {
	const char *name;
	enum fg_key_kind kind;
	bool required;
	size_t offset; /* in struct fg_settings */
	uint32_t min;  /* U32: smallest and largest value */
	uint32_t max;
	uint32_t default_value; /* U32 and LEVEL */
};

enum fg_section_id {
	FG_SECTION_TOP = 0,
	FG_SECTION_LIMITS,
	FG_SECTION_TIMING,
	FG_SECTION_SWITCHES,
	FG_SECTION_COUNT,
};

#define FG_SECTION_KEYS_MAX 32

struct fg_section {
	const char *name; /* NULL for the top-level mapping */
	const struct fg_key *keys;
	size_t n_keys;
};

extern const struct fg_section fg_sections[FG_SECTION_COUNT];

#endif
