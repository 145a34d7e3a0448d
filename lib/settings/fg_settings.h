/*
 * fg_settings - the settings of one entry instance, read from a YAML file.
 *
 * The file is checked as a whole before anything starts. fg_settings_load()
 * either returns settings in which every value is in its range, or an error
 * with one line for each fault:
 *   FILE:LINE: KEY: found "WHAT", allowed: WHAT IS
 * Unknown keys are refused. Addresses are an IP number and a port, never a
 * host name, so that no name service is needed to start.
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
	FG_SETTINGS_ERR_READ,	 /* no such file, or not readable */
	FG_SETTINGS_ERR_SYNTAX,	 /* not YAML, unknown key, wrong shape */
	FG_SETTINGS_ERR_INVALID, /* a value out of its range */
};

/* Environment variable that must be "1" for the mapping `switches`. */
#define FG_TEST_ENV "FG_TEST"

/* Mapping `limits`. */
struct fg_limits_settings {
	uint32_t body_max_bytes;	/* of a request */
	uint32_t deadline_max_ms;	/* longest deadline a caller may ask */
	uint32_t deadline_default_ms;	/* when the caller names none */
	uint32_t connections_max;	/* open connections from callers */
	uint32_t requests_max;		/* requests in progress */
	uint32_t caller_rate_per_s;	/* requests a caller; 0: by preset */
	uint32_t callers_max;		/* callers whose rate is tracked */
	uint32_t header_timeout_ms;	/* for the whole request to arrive */
	uint32_t table_in_flight_max;	/* calls to the platform at once */
	uint32_t peer_queue_max;	/* messages waiting per peer */
	uint32_t grant_queue_max;	/* requests waiting per endpoint */
	uint32_t ping_fanout;		/* neighbours pinged */
	uint32_t config_snapshot_every; /* revisions between snapshots */
};

/* Mapping `timing`. */
struct fg_timing_settings {
	uint32_t tick_ms;    /* between steps of the decision modules */
	uint32_t renew_ms;   /* between renewals of the own lease */
	uint32_t lease_ms;   /* a lease unchanged this long has lapsed */
	uint32_t scan_ms;    /* between reads of all lease rows */
	uint32_t list_ms;    /* between reads of the platform's list */
	uint32_t ping_ms;    /* between pings of one neighbour */
	uint32_t suspect_ms; /* no pong this long: suspect */
	uint32_t confirm_ms; /* a contact or revision counts this long */
	uint32_t poll_ms;    /* between reads of config/head */
	uint32_t platform_timeout_ms; /* of one call to the platform */
	uint32_t peer_timeout_ms;     /* of one exchange with a peer */
	uint32_t order_timeout_ms;    /* of a load order to an engine */
	uint32_t engine_poll_ms;      /* between reads of an engine's state */
	uint32_t group_ms;	      /* filings sharing one ledger write */
	uint32_t address_ttl_ms;      /* how long callers keep an address */
	uint32_t change_wait_ms;      /* for all to acknowledge a change */
	uint32_t stop_max_ms;	      /* longest a planned stop may take */
};

/* Mapping `switches`, refused unless FG_TEST=1: each turns one mechanism off,
 * to show that the tests notice. */
struct fg_switches_settings {
	bool no_ledger_insert; /* filings run without a ledger row */
	bool no_pin;	       /* a grant does not pin its adapter */
	bool no_fence;	       /* orders carry fencing number 0 */
	bool no_intent;	       /* no order intent is written */
	bool no_answer_check;  /* answers are passed on unchecked */
	bool no_leaving;       /* signs of leaving are ignored */
	bool no_drain;	       /* a planned stop does not wait */
	bool no_retry_budget;  /* retries are not limited */
	bool no_suspects;      /* crashing requests are not refused */
	bool no_push;	       /* configuration is not pushed to peers */
	bool no_isolation;     /* an isolated instance goes on working */
	bool no_run_memory;    /* an attempt of unknown end counts as not run */
};

struct fg_settings {
	char name[FG_NAME_BYTES];
	char region[FG_NAME_BYTES];
	char dc[FG_NAME_BYTES];
	char http[FG_ADDR_BYTES];
	char rpc[FG_ADDR_BYTES];
	char platform[FG_ADDR_BYTES];
	char control[FG_ADDR_BYTES]; /* "" when not set */
	char *history;		     /* path; NULL when not set */
	enum fg_log_level log_level;
	uint32_t workers; /* threads serving callers */
	struct fg_limits_settings limits;
	struct fg_timing_settings timing;
	struct fg_switches_settings switches;
};

/* Reads and checks the file; NULL with error set when anything is wrong. */
struct fg_settings *fg_settings_load(const char *path, GError **error);

/* As fg_settings_load() on a text; `path` only names it in errors. */
struct fg_settings *fg_settings_parse(const char *path, const char *text,
				      GError **error);

void fg_settings_free(struct fg_settings *s);

/* True for "192.0.2.1:80" and "[2001:db8::1]:80" that fit FG_ADDR_BYTES. */
bool fg_settings_is_address(const char *text);

#endif
