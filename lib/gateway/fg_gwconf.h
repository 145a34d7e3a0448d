/*
 * fg_gwconf - settings of one gateway process, read from a YAML file.
 *
 * Either every value is in its range or the file is refused. The error then has
 * a line for each bad value, with the key, the value found and the values
 * allowed. Unknown keys are refused.
 */
#ifndef FG_GWCONF_H
#define FG_GWCONF_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "log/fg_log.h"

#define FG_GWCONF_ERROR (fg_gwconf_error_quark())
GQuark fg_gwconf_error_quark(void);

enum fg_gwconf_error {
	FG_GWCONF_ERR_READ,
	FG_GWCONF_ERR_SYNTAX,
	FG_GWCONF_ERR_INVALID,
};

struct fg_gwconf_dc {
	char *name;
	char *region;
};

struct fg_gwconf {
	char *name;
	char *region;
	char *dc;
	char *front;	 /* address for callers */
	char *ready;	 /* address of the readiness check */
	char *directory; /* address of the address lookup */
	char *mesh;	 /* UDP address for other instances */
	char *metrics;	 /* address of /metrics and /state, or NULL */
	char *store;	 /* address of the platform's store */
	enum fg_log_level log_level;
	struct fg_gwconf_dc *dcs;
	unsigned int n_dcs;
	uint32_t retry_percent; /* retries per 100 requests of a service */
	uint32_t retry_slack;	/* retries in 10 s in addition to these */
	uint32_t stop_grace_ms; /* from the stop signal to the kill */
	uint32_t lookup_ttl_s;	/* lifetime of a looked-up address */
	uint32_t version_ms; /* from an announcement until it must be in use */
	uint32_t drain_ms; /* from a leaving notice until no request is sent */
	uint32_t turn_ms;  /* until an engine may return to an earlier owner */
	bool first_start;  /* no instance ran before */
	bool fences_checked;	  /* engines refuse lower fencing numbers */
	uint32_t connections_max; /* open ones from callers, at most */
	uint32_t lookup_connections_max; /* the same, for address lookups */
	uint32_t caller_memory_bytes;	 /* held for callers, at most */
	uint32_t read_timeout_ms;	 /* for a request to be read whole */
	/* Time limit for a withdrawn key to lose its effect, and whether an
	 * instance that hears from no one refuses all keys after it. */
	uint32_t revoke_ms;
	bool revoke_strict;
	/* Tolerance of the workspaces' limits: in any window, `quota_excess`
	 * in 1000 of the limit and `quota_slack` tokens. A window of 0: limits
	 * are not enforced. */
	uint32_t quota_window_ms;
	uint32_t quota_excess_permille;
	uint32_t quota_slack;
	bool overload; /* rank decides who gives way when room is short */
};

/* Read settings from a file, or from `text` with `path` as its name in errors.
 * Return NULL and set *error when the file cannot be read or is refused. The
 * caller frees the settings with fg_gwconf_free(). */
struct fg_gwconf *fg_gwconf_load(const char *path, GError **error);
struct fg_gwconf *fg_gwconf_parse(const char *path, const char *text,
				  GError **error);
void fg_gwconf_free(struct fg_gwconf *c);

/* Region of a data centre; `dc` itself when the settings do not list it. The
 * string belongs to the settings or to the caller. */
const char *fg_gwconf_region(const struct fg_gwconf *c, const char *dc);

#endif
