/*
 * fg_settings - the settings of one entry instance, read from a YAML file.
 *
 * The whole file is validated before the program starts. fg_settings_load()
 * returns either settings in which every value is in its range, or an error.
 * For invalid values the error has one line per fault:
 *   FILE:LINE: KEY: found "VALUE", allowed: VALUES
 * Unknown keys are refused. An address is an IP number and a port, never a host
 * name: starting must not depend on a name service.
 */
#ifndef FG_SETTINGS_H
#define FG_SETTINGS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "log/fg_log.h"
#include "platform/fg_platform.h"

#define FG_SETTINGS_ERROR (fg_settings_error_quark())
GQuark fg_settings_error_quark(void);

enum fg_settings_error {
	FG_SETTINGS_ERR_READ,	 /* the file is missing or not readable */
	FG_SETTINGS_ERR_SYNTAX,	 /* not YAML, unknown key or wrong structure */
	FG_SETTINGS_ERR_INVALID, /* value out of range or not permitted */
};

/* The mapping `switches` is refused unless this environment variable is "1". */
#define FG_TEST_ENV "FG_TEST"

/* Mapping `limits`. */
struct fg_limits_settings {
	uint32_t body_max_bytes;	/* size of a request body */
	uint32_t deadline_max_ms;	/* longest deadline of a request */
	uint32_t deadline_default_ms;	/* when the request gives none */
	uint32_t caller_memory_bytes;	/* held for requests of callers */
	uint32_t connections_max;	/* open connections of each address */
	uint32_t requests_max;		/* requests in progress */
	uint32_t caller_rate_per_s;	/* per caller; 0: from the preset */
	uint32_t callers_max;		/* callers whose rate is tracked */
	uint32_t header_timeout_ms;	/* to receive a whole request */
	uint32_t table_in_flight_max;	/* concurrent calls to the platform */
	uint32_t peer_queue_max;	/* queued messages per peer */
	uint32_t grant_queue_max;	/* queued requests per endpoint */
	uint32_t ping_fanout;		/* neighbours that are pinged */
	uint32_t config_snapshot_every; /* revisions between snapshots */
};

/* Mapping `timing`. */
struct fg_timing_settings {
	uint32_t tick_ms;    /* interval of the decision modules' steps */
	uint32_t renew_ms;   /* interval of the instance's lease renewals */
	uint32_t lease_ms;   /* a lease not renewed for this long expires */
	uint32_t scan_ms;    /* interval of reads of all lease rows */
	uint32_t list_ms;    /* interval of reads of the platform's list */
	uint32_t ping_ms;    /* interval of pings to one neighbour */
	uint32_t suspect_ms; /* a peer without pong for this long is suspect */
	uint32_t confirm_ms; /* how long a contact or revision stays valid */
	uint32_t poll_ms;    /* interval of reads of config/head */
	uint32_t platform_timeout_ms; /* of one call to the platform */
	uint32_t peer_timeout_ms;     /* of one exchange with a peer */
	uint32_t order_timeout_ms;    /* of a load order to an engine */
	uint32_t engine_poll_ms;      /* interval of reads of engine states */
	uint32_t group_ms;	      /* filings in this window share a write */
	uint32_t address_ttl_ms;      /* how long callers cache an address */
	uint32_t change_wait_ms;      /* wait for all to acknowledge a change */
	uint32_t stop_max_ms;	      /* longest duration of a planned stop */
};

/* Mapping `switches`, refused unless FG_TEST=1. Each switch disables one safety
 * mechanism, so that a test can show that it detects the missing mechanism. */
struct fg_switches_settings {
	bool no_ledger_insert; /* filings run without a ledger row */
	bool no_pin;	       /* a grant does not pin its adapter */
	bool no_fence;	       /* orders carry fencing number 0 */
	bool no_intent;	       /* no order intent is written */
	bool no_answer_check;  /* answers are passed on unchecked */
	bool no_leaving;       /* signs of leaving are ignored */
	bool no_drain;	       /* a planned stop does not wait for requests */
	bool no_retry_budget;  /* retries are not limited */
	bool no_suspects;      /* crashing requests are not refused */
	bool no_push;	       /* configuration is not pushed to peers */
	bool no_isolation;     /* an isolated instance continues to serve */
	bool no_run_memory; /* attempts of unknown outcome count as NOT_RUN */
};

struct fg_settings {
	char name[FG_NAME_BYTES];
	char region[FG_NAME_BYTES];
	char dc[FG_NAME_BYTES];
	char http[FG_ADDR_BYTES];
	char rpc[FG_ADDR_BYTES];
	char platform[FG_ADDR_BYTES];
	char control[FG_ADDR_BYTES]; /* "" if not set */
	char *history;		     /* path, owned; NULL if not set */
	enum fg_log_level log_level;
	uint32_t workers; /* threads that serve callers */
	struct fg_limits_settings limits;
	struct fg_timing_settings timing;
	struct fg_switches_settings switches;
};

/* Reads and validates the file. Returns settings that the caller frees with
 * fg_settings_free(), or NULL with *error set. */
struct fg_settings *fg_settings_load(const char *path, GError **error);

/* Like fg_settings_load(), for the text of a file; `path` is only used in error
 * messages. */
struct fg_settings *fg_settings_parse(const char *path, const char *text,
				      GError **error);

void fg_settings_free(struct fg_settings *s);

/* Returns true for an IP number and a port, such as "192.0.2.1:80" or
 * "[2001:db8::1]:80", that fits into FG_ADDR_BYTES. */
bool fg_settings_is_address(const char *text);

#endif
