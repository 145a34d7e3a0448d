/*
 * fg_node - all decisions of one entry instance.
 *
 * The module does no I/O, reads no clock, takes no lock and starts no thread.
 * The caller passes each event together with the current time, and the node
 * acts through the callbacks of struct fg_node_io. Calls on one node must not
 * overlap. The runtime (lib/run) connects a node to sockets; unit tests call it
 * directly.
 *
 * Roles of an instance:
 *   entry   accepts requests, finds an endpoint for each, asks the endpoint's
 *           owner for a grant, runs the request there and reports the outcome
 *           to the caller
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

/* Safety mechanisms that a test may switch off to show what they prevent. */
struct fg_node_switches {
	bool no_ledger;	      /* dispatch filings without a ledger row */
	bool no_pins;	      /* evict adapters that grants are using */
	bool no_leaving;      /* ignore reports that an endpoint is leaving */
	bool no_drain;	      /* a planned stop does not wait for requests */
	bool no_answer_check; /* pass on answers without checking them */
	bool no_config_push;  /* learn new revisions only by polling */
	bool blind_retry;     /* retry without budget or limits, even after an
			       * attempt that may have run */
	bool no_intent;	      /* send orders without storing an intent */
	bool no_suspects;     /* neither hold back nor refuse a suspect */
	bool no_isolation;    /* serve and send orders in any standing */
	bool no_fence;	      /* do not wait until the engine knows the fence */
	bool unknown_as_not_run; /* an attempt with outcome UNKNOWN counts as
				  * not run */
};

struct fg_node_conf {
	struct fg_member_conf member; /* the caller sets member.self */
	uint32_t config_poll_ms;
	uint32_t engine_poll_ms;     /* between reads of an owned engine's
				      * state */
	uint32_t resident_repeat_ms; /* between repeats of RESIDENT messages */
	uint32_t popularity_ms;	  /* between POPULARITY reports to the broker */
	uint32_t grant_repeat_ms; /* until an unanswered GRANT_REQ is sent
				   * again */
	uint32_t need_repeat_ms;
	uint32_t order_timeout_ms;
	uint32_t address_ttl_ms;
	uint32_t requests_max;	    /* limit of requests in progress here */
	uint32_t callers_max;	    /* limit of callers whose rate is tracked */
	uint32_t caller_rate_per_s; /* requests per caller; 0: the preset's */
	uint32_t grant_queue_max;   /* grant requests queued per endpoint */
	uint32_t group_ms;	 /* filings wait this long to share one write */
	uint32_t snapshot_every; /* revisions between snapshots */
	uint32_t drain_max_ms;	 /* time limit of a planned stop */
	char place_policy[FG_NAME_BYTES]; /* "gauge", "strong" or "naive" */
	struct fg_node_switches switches;
};

/* Fills in the defaults. member.self is left unchanged. */
void fg_node_conf_defaults(struct fg_node_conf *conf);

/* ---- Input ---- */

/* A request of a caller. The strings are borrowed for the call. */
struct fg_request {
	uint64_t id;	 /* unique in this process */
	const char *tag; /* the caller's own id; may be "" */
	enum fg_class cls;
	const char *caller;
	const char *adapter; /* models only */
	const char *version; /* models only; NULL or "" selects the newest */
	const char *service; /* plain services only */
	const char *key;     /* filings only */
	const char *body;    /* prompt, or JSON for a plain service */
	uint32_t max_tokens;
	uint32_t deadline_ms; /* from now */
	bool stream;
};

/* ---- Output ---- */

struct fg_reply {
	enum fg_outcome outcome;
	enum fg_reason reason;
	const char *adapter; /* the names that were served; NULL if none */
	const char *version;
	const char *text; /* the answer; NULL unless DONE */
	uint32_t tokens;
	bool replayed;
	uint32_t retry_after_ms;
	const char *address; /* of another instance to try; NULL if none */
};

/* One attempt of a request. The runtime runs it and passes the result to
 * fg_node_on_run_done(). */
struct fg_run_cmd {
	uint64_t req; /* fg_request.id */
	uint32_t attempt;
	struct fg_list_entry ep;
	struct fg_run_req run; /* strings valid until fg_node_on_run_done() */
};

struct fg_order_cmd {
	struct fg_list_entry ep;
	struct fg_order order; /* strings valid only during the callback */
};

/* Callbacks of the node. None may block or call back into the node. Pointers
 * are borrowed for the call unless stated otherwise. */
struct fg_node_io {
	/* Answers the request `req`. */
	void (*reply)(void *arg, uint64_t req, const struct fg_reply *reply);

	/* Starts an attempt; it ends in fg_node_on_run_done(). */
	void (*start_run)(void *arg, const struct fg_run_cmd *cmd);

	/* Sends an order to an engine; it ends in fg_node_on_order_done(). */
	void (*send_order)(void *arg, const struct fg_order_cmd *cmd);

	/* Reads an engine's state; it ends in fg_node_on_engine_state(). */
	void (*read_state)(void *arg, const struct fg_list_entry *ep);

	/* Runs a table operation and takes ownership of op; it ends in
	 * fg_node_on_table_done(). */
	void (*run_table_op)(void *arg, struct fg_table_op *op);

	/* Reads the platform's list; it ends in fg_node_on_list_done(). */
	void (*read_list)(void *arg);

	/* Announces this instance to the platform. */
	void (*announce)(void *arg, bool leaving);

	/* Sends a message to another instance; it may be lost. */
	void (*send_msg)(void *arg, const struct fg_list_entry *to,
			 const fg_msg *msg);

	/* Answers an operator's change. text may be NULL. */
	void (*answer_change)(void *arg, uint64_t change_id,
			      enum fg_change_status status, uint64_t revision,
			      const char *text);

	/* Records a state change for logs and histories. The callee owns
	 * fields and frees it with json_decref(). */
	void (*record_event)(void *arg, const char *name, json_t *fields);
	void *arg;
};

/* ---- Lifetime ---- */

struct fg_node;

/* Copies conf and io. All random choices derive from the seed. */
struct fg_node *fg_node_new(const struct fg_node_conf *conf,
			    const struct fg_node_io *io, uint64_t seed);

/* Frees the node; NULL is allowed. */
void fg_node_free(struct fg_node *n);

/* Runs periodic work. Call every 10 to 50 ms. */
void fg_node_tick(struct fg_node *n, fg_ms now);

/* ---- Events ---- */

/* A request arrived. Exactly one reply follows for its id. */
void fg_node_on_request(struct fg_node *n, fg_ms now,
			const struct fg_request *req);

/* The caller of request `req` closed its connection. A filing continues, any
 * other request is cancelled. */
void fg_node_on_caller_gone(struct fg_node *n, fg_ms now, uint64_t req);

/* An attempt ended. Results of any but the latest attempt are ignored. */
void fg_node_on_run_done(struct fg_node *n, fg_ms now, uint64_t req,
			 uint32_t attempt, const struct fg_run_result *res);

/* An order to endpoint `ep` ended. */
void fg_node_on_order_done(struct fg_node *n, fg_ms now, uint64_t ep,
			   uint64_t order_id, enum fg_order_status status);

/* The state of engine `ep`, requested at asked_at. st is NULL if it could not
 * be read. */
void fg_node_on_engine_state(struct fg_node *n, fg_ms now, uint64_t ep,
			     fg_ms asked_at, const struct fg_engine_state *st);

/* A table operation ended; exactly one result for each. */
void fg_node_on_table_done(struct fg_node *n, fg_ms now,
			   const struct fg_table_result *res);

/* A read of the platform's list ended. The list is used only if result is
 * FG_PF_OK. */
void fg_node_on_list_done(struct fg_node *n, fg_ms now,
			  enum fg_pf_result result,
			  const struct fg_list_entry *list, size_t n_list);

/* A message of instance `from` arrived. */
void fg_node_on_msg(struct fg_node *n, fg_ms now, uint64_t from,
		    const fg_msg *msg);

/* An operator asked for a change (JSON). Exactly one answer_change callback
 * follows for change_id. */
void fg_node_on_change(struct fg_node *n, fg_ms now, uint64_t change_id,
		       const char *change, uint64_t expect_revision,
		       uint32_t wait_ms);

/* Sets the offset of the wall clock, that is wall-clock time minus `now`. It
 * dates stored rows. Call at the start and whenever the wall clock was
 * stepped. */
void fg_node_set_wall_offset(struct fg_node *n, int64_t wall_minus_now_ms);

/* ---- Planned stop ---- */

/* Begins a planned stop: new requests are refused from now on. */
void fg_node_stop(struct fg_node *n, fg_ms now);

/* True when the planned stop is complete: nothing is in progress, ownership is
 * handed over and the lease is given up, or a time limit has passed. */
bool fg_node_is_stopped(const struct fg_node *n, fg_ms now);

/* ---- Queries ---- */

/* Writes up to max addresses for a caller to `out`, best first, and returns
 * their number. adapter may be NULL; service is not used. */
size_t fg_node_find_addresses(struct fg_node *n, fg_ms now, const char *adapter,
			      const char *service, char (*out)[FG_ADDR_BYTES],
			      size_t max);

uint32_t fg_node_address_ttl_ms(const struct fg_node *n);

/* Returns the state dump; the caller frees it with json_decref(). */
json_t *fg_node_dump(struct fg_node *n, fg_ms now);

/* Returns a snapshot of the catalogue as JSON; the caller frees it with
 * g_free(). */
char *fg_node_catalogue(const struct fg_node *n);

/* Clears a suspect on all instances of the region, for an operator. Returns
 * false if the fingerprint has no crash to clear. */
bool fg_node_clear_suspect(struct fg_node *n, uint64_t fingerprint);

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

/* Returns the name of a counter in the state dump and in metrics. */
const char *fg_node_counter_name(enum fg_node_counter c);

#endif
