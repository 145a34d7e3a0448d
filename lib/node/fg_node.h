/*
 * fg_node - one entry instance: every decision it takes.
 *
 * Pure: events and the time go in by function calls, actions come out through
 * the table struct fg_node_io. Nothing here reads a clock, does I/O, takes a
 * lock or starts a thread; calls must not overlap. The runtime (lib/run) feeds
 * a node from sockets, tests and benches feed it directly.
 *
 * What an instance does:
 *   entry   takes requests, finds an endpoint, asks its owner for a grant,
 *           runs the request there and tells the caller the outcome
 *   owner   of some endpoints: counts slots, gives grants, orders loads
 *   broker  of a region and base model: spends the weight store's budget
 */
#ifndef FG_NODE_H
#define FG_NODE_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/fg_clock.h"
#include "base/fg_outcome.h"
#include "config/fg_config.h"
#include "endpoint/fg_endpoint.h"
#include "member/fg_member.h"
#include "peer/fg_msg.h"
#include "platform/fg_platform.h"

/* Mechanisms that a test may switch off to see what they prevent. */
struct fg_node_switches {
	bool no_ledger;	     /* dispatch filings without a ledger row */
	bool no_pins;	     /* evict without regard to grants */
	bool no_leaving;     /* ignore signs of leaving */
	bool no_drain;	     /* a planned stop does not wait */
	bool no_check;	     /* pass on answers unchecked */
	bool no_config_push; /* learn revisions by nothing but polls */
	bool blind_retry;    /* try again whatever may have run */
	bool no_intent;	     /* order without an intent */
	bool no_suspects;    /* never keep a request out */
	bool no_isolation;   /* serve and give orders in any standing */
	bool no_fence;	     /* do not wait until the engine knows the fence */
	bool forget_runs;    /* an attempt of unknown end counts as not run */
};

struct fg_node_conf {
	struct fg_member_conf member; /* with self */
	uint32_t config_poll_ms;
	uint32_t state_ms;	  /* between reads of an owned engine's state */
	uint32_t resident_ms;	  /* between repeats of RESIDENT messages */
	uint32_t heat_ms;	  /* between HEAT reports */
	uint32_t grant_repeat_ms; /* an unanswered GRANT_REQ is sent again */
	uint32_t need_repeat_ms;
	uint32_t order_timeout_ms;
	uint32_t address_ttl_ms;
	uint32_t requests_max;	  /* in progress here at most */
	uint32_t callers_max;	  /* whose rate is tracked */
	uint32_t caller_rate;	  /* requests a second; 0: by preset */
	uint32_t grant_queue_max; /* asks held per endpoint */
	uint32_t group_ms;	  /* filings share one write so long */
	uint32_t snapshot_every;  /* revisions between snapshots */
	uint32_t drain_max_ms;	  /* a planned stop takes at most this long */
	char place_policy[FG_NAME_BYTES]; /* "gauge", "strong" or "naive" */
	struct fg_node_switches switches;
};

/* Fills the defaults; member.self is left alone. */
void fg_node_conf_defaults(struct fg_node_conf *conf);

/* ---- What goes in ---- */

/* A request of a caller. Strings are borrowed for the call. */
struct fg_request {
	uint64_t id;	 /* unique in this process */
	const char *tag; /* the caller's own id; may be "" */
	enum fg_class cls;
	const char *caller;
	const char *adapter; /* models */
	const char *version; /* models; NULL or "" takes the newest */
	const char *service; /* plain services */
	const char *key;     /* filings */
	const char *body;    /* prompt, or JSON */
	uint32_t max_tokens;
	uint32_t deadline_ms; /* from now */
	bool stream;
};

/* ---- What comes out ---- */

struct fg_reply {
	enum fg_outcome outcome;
	enum fg_reason reason;
	const char *adapter; /* names as served; NULL if none */
	const char *version;
	const char *text; /* answer; NULL unless DONE */
	uint32_t tokens;
	bool replayed;
	uint32_t retry_after_ms;
	const char *address; /* another instance to go to; NULL if none */
};

/* One attempt to run. The runtime passes the result to fg_node_run_done(). */
struct fg_run_cmd {
	uint64_t req; /* fg_request.id */
	uint32_t attempt;
	struct fg_listed ep;
	struct fg_run_req run; /* strings valid until run_done */
};

struct fg_order_cmd {
	struct fg_listed ep;
	struct fg_order order; /* strings valid during the call alone */
};

/* Actions. None may block or call back into the node. */
struct fg_node_io {
	void (*reply)(void *arg, uint64_t req, const struct fg_reply *reply);
	void (*run)(void *arg, const struct fg_run_cmd *cmd);
	void (*order)(void *arg, const struct fg_order_cmd *cmd);
	void (*state)(void *arg, const struct fg_listed *ep);
	/* Takes the operation over. */
	void (*table)(void *arg, struct fg_table_op *op);
	void (*list)(void *arg);
	void (*announce)(void *arg, bool leaving);
	void (*send)(void *arg, const struct fg_listed *to, const fg_msg *msg);
	void (*change_answer)(void *arg, uint64_t change_id,
			      enum fg_change_status status, uint64_t revision,
			      const char *text);
	/* A change of state, for logs and histories; fields are owned by the
	 * callee and freed with json_decref(). */
	void (*event)(void *arg, const char *name, json_t *fields);
	void *arg;
};

/* ---- Life ---- */

struct fg_node;

/* Copies conf and io. The seed gives all randomness. */
struct fg_node *fg_node_new(const struct fg_node_conf *conf,
			    const struct fg_node_io *io, uint64_t seed);
void fg_node_free(struct fg_node *n);

/* Call each 10 to 50 ms. */
void fg_node_tick(struct fg_node *n, fg_ms now);

/* ---- Events ---- */

/* Ends in exactly one reply for the id. */
void fg_node_request(struct fg_node *n, fg_ms now,
		     const struct fg_request *req);

/* The caller of a request went away. */
void fg_node_caller_gone(struct fg_node *n, fg_ms now, uint64_t req);

void fg_node_run_done(struct fg_node *n, fg_ms now, uint64_t req,
		      uint32_t attempt, const struct fg_run_result *res);

void fg_node_order_done(struct fg_node *n, fg_ms now, uint64_t ep,
			uint64_t order_id, enum fg_order_status status);

/* st NULL: the engine could not be asked. */
void fg_node_engine_state(struct fg_node *n, fg_ms now, uint64_t ep,
			  fg_ms asked_at, const struct fg_engine_state *st);

void fg_node_table_done(struct fg_node *n, fg_ms now,
			const struct fg_table_result *res);
void fg_node_list_done(struct fg_node *n, fg_ms now, enum fg_pf_result result,
		       const struct fg_listed *list, size_t n_list);
void fg_node_msg(struct fg_node *n, fg_ms now, uint64_t from,
		 const fg_msg *msg);

/* An operator's change; ends in one change_answer. */
void fg_node_change(struct fg_node *n, fg_ms now, uint64_t change_id,
		    const char *change, uint64_t expect_revision,
		    uint32_t wait_ms);

/* Wall-clock time minus `now`, for the stamps of stored rows. Set at the start
 * and when the wall clock was stepped. */
void fg_node_set_wall(struct fg_node *n, int64_t wall_minus_now_ms);

/* ---- Planned stop ---- */

/* No new work from now on. */
void fg_node_stop(struct fg_node *n, fg_ms now);

/* True when nothing is in progress and ownership is handed over. */
bool fg_node_stopped(const struct fg_node *n, fg_ms now);

/* ---- Reading ---- */

/* Addresses for a caller, best first; up to max. Returns how many. adapter
 * and service may be NULL. */
size_t fg_node_address(struct fg_node *n, fg_ms now, const char *adapter,
		       const char *service, char (*out)[FG_ADDR_BYTES],
		       size_t max);

uint32_t fg_node_address_ttl_ms(const struct fg_node *n);

/* The state dump; the caller frees it with json_decref(). */
json_t *fg_node_dump(struct fg_node *n, fg_ms now);

/* Snapshot of the catalogue; g_malloc'ed. */
char *fg_node_catalogue(const struct fg_node *n);

bool fg_node_suspect_clear(struct fg_node *n, uint64_t fingerprint);

/* Counters, in the order of fg_node_counter_name(). */
enum fg_node_counter {
	FG_NC_REQUESTS,
	FG_NC_DONE,
	FG_NC_FAILED,
	FG_NC_NOT_RUN,
	FG_NC_UNKNOWN,
	FG_NC_RETRIES,
	FG_NC_GRANTS_LOCAL,
	FG_NC_GRANTS_REMOTE,
	FG_NC_GRANTS_GIVEN,
	FG_NC_NEEDS,
	FG_NC_LOADS,
	FG_NC_LOADS_FAILED,
	FG_NC_STALLED,	/* requests that waited for their adapter */
	FG_NC_STALL_MS, /* sum of those waits */
	FG_NC_MSGS_OUT,
	FG_NC_MSG_BYTES_OUT,
	FG_NC_COUNT,
};
uint64_t fg_node_counter(const struct fg_node *n, enum fg_node_counter c);
const char *fg_node_counter_name(enum fg_node_counter c);

#endif
