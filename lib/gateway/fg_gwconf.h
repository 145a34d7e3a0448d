/*
 * fg_gwconf - settings of one gateway process, read from a YAML file.
 *
 * The file is checked as a whole; fg_gwconf_parse() returns settings in which
 * every value is in its range, or an error that names the key, what was found
 * and what is allowed. Unknown keys are refused.
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
	char *metrics;	 /* address of /metrics and /state */
	char *store;	 /* address of the platform's store */
	enum fg_log_level log_level;
	struct fg_gwconf_dc *dcs;
	unsigned int n_dcs;
	uint32_t retry_percent; /* repeats per 100 requests of a service */
	uint32_t retry_slack;	/* ... and so many more in a window */
	uint32_t stop_grace_ms; /* from the stop signal to the kill */
	uint32_t lookup_ttl_s;	/* callers keep an address so long */
	uint32_t version_ms;	/* an announced version is in use by then */
	uint32_t drain_ms; /* a leaving endpoint gets no request after that */
	uint32_t connections_max; /* from callers */
};

struct fg_gwconf *fg_gwconf_load(const char *path, GError **error);
struct fg_gwconf *fg_gwconf_parse(const char *path, const char *text,
				  GError **error);
void fg_gwconf_free(struct fg_gwconf *c);

/* Region of a data centre; its own name when the settings do not say. */
const char *fg_gwconf_region(const struct fg_gwconf *c, const char *dc);

#endif
