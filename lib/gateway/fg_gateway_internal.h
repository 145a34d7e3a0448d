/*
 * fg_gateway_internal - declarations shared by the files of lib/gateway.
 *
 *   fg_gateway.c     start, periodic tick, settings, end
 *   fg_gw_stop.c     planned stop
 *   fg_gw_took.c     how long requests take
 *   fg_gw_caller.c   connections of callers
 *   fg_gw_memory.c   memory held for callers
 *   fg_gw_places.c   places of connections
 *   fg_gw_request.c  a request from its head to its final answer
 *   fg_gw_state.c    states of a request
 *   fg_gw_workspace.c whose key a request carries
 *   fg_gw_quota.c    limits of workspaces, shared with other instances
 *   fg_gw_overload.c which requests give way when room is short
 *   fg_gw_place.c    choice of an endpoint, and the wait for a load
 *   fg_gw_send.c     connections to endpoints, one send of a request
 *   fg_gw_endpoint.c what is kept of an endpoint
 *   fg_gw_answer.c   forwarding of an endpoint's answer to the caller
 *   fg_gw_sync.c     change feeds of the store's tables
 *   fg_gw_era.c      eras of the store, proofs of ownership
 *   fg_gw_rows.c     decoding and applying rows of these tables
 *   fg_gw_relay.c    rows taken from and served to neighbours
 *   fg_gw_catchup.c  configuration rows taken from any other instance
 *   fg_gw_own.c      rows that this instance writes
 *   fg_gw_retire.c   rows of instances that died
 *   fg_gw_orders.c   adapter loads of the engines that this instance orders
 *   fg_gw_mesh.c     messages sent to other instances
 *   fg_gw_receive.c  messages received from other instances
 *   fg_gw_blame.c    prompt parts that crash endpoints
 *   fg_gw_origin.c   software versions that began streams
 *   fg_gw_tunnel.c   connections of other instances to endpoints
 *   fg_gw_hop.c      connections to endpoints through another instance
 *   fg_gw_pages.c    address lookup, readiness, metrics, state dump
 *
 * A neighbour is another instance in the same data centre. Times of type fg_ms
 * are readings of fg_clock_now() unless a comment says otherwise.
 */
#ifndef FG_GATEWAY_INTERNAL_H
#define FG_GATEWAY_INTERNAL_H

#include <errno.h>
#include <uv.h>

#include "admit/fg_admit.h"
#include "admit/fg_loss.h"
#include "balance/fg_balance.h"
#include "base/fg_address.h"
#include "base/fg_clock.h"
#include "base/fg_rand.h"
#include "blame/fg_blame.h"
#include "catchup/fg_catchup.h"
#include "claim/fg_claim.h"
#include "era/fg_era.h"
#include "fleet/fg_brittle.h"
#include "fleet/fg_fleet.h"
#include "fleet/fg_health.h"
#include "fleet/fg_limit.h"
#include "fleet/fg_reach.h"
#include "fleet/fg_stutter.h"
#include "fleet/fg_uses.h"
#include "gateway/fg_events.h"
#include "gateway/fg_gw_state.h"
#include "gateway/fg_gateway.h"
#include "idle/fg_idle.h"
#include "link/fg_channel.h"
#include "link/fg_link.h"
#include "memory/fg_memory.h"
#include "mesh/fg_mesh.h"
#include "mesh/fg_peers.h"
#include "metrics/fg_metrics.h"
#include "origin/fg_origin.h"
#include "overload/fg_overload.h"
#include "pace/fg_pace.h"
#include "place/fg_popularity.h"
#include "places/fg_places.h"
#include "quota/fg_quota.h"
#include "relay/fg_relay.h"
#include "retire/fg_retire.h"
#include "route/fg_route.h"
#include "silence/fg_silence.h"
#include "slots/fg_loadgate.h"
#include "slots/fg_slots.h"
#include "stop/fg_stop.h"
#include "took/fg_took.h"

struct fg_gateway;
struct fg_caller;
struct fg_gwreq;
struct fg_ep_conn;
struct fg_tunnel;

/* What a listening socket serves. */
enum fg_port_kind {
	FG_PORT_FRONT = 0,     /* requests of callers */
	FG_PORT_READY = 1,     /* readiness check */
	FG_PORT_DIRECTORY = 2, /* address lookup */
	FG_PORT_METRICS = 3,   /* /metrics and /state */
	FG_PORT_RELAY = 4,     /* rows for other instances */
	FG_PORT_COUNT = 5,
};

struct fg_port {
	struct fg_gateway *gw;
	enum fg_port_kind kind;
	uv_tcp_t listener;
	uint32_t n_callers; /* open connections */
	bool open;
};

/* ---- Callers ---- */

/* A connection that a caller, an operator's tool or another instance opened. */
struct fg_caller {
	struct fg_gateway *gw;
	enum fg_port_kind kind;
	struct fg_link *link; /* NULL once closed */
	struct fg_h1 h1;
	GByteArray *pipelined; /* bytes received after the current request */
	GByteArray *body;      /* of the request that is being read */
	GBytes *whole_body;    /* of the request in progress, or NULL */
	struct fg_memory_holder memory;
	struct fg_gwreq *req;	  /* in progress, or NULL */
	struct fg_tunnel *tunnel; /* its bytes go to an endpoint, or NULL */
	fg_ms wait_since; /* start of the head, last byte of the body, or
			     start of the idle timeout */
	fg_ms read_since; /* first byte of the request */
	fg_ms read_until; /* it has to be complete; 0: not computed */
	fg_ms free_since; /* no request has been in progress */
	bool answered;	  /* it had an answer */
	bool malformed;	  /* its last message was refused */
	bool head_done;	  /* the head of the current request is complete */
	unsigned int refuse_status; /* what it reads is refused; 0: not */
	bool drop_input;	    /* no more requests are read from it */
	bool close_after;	    /* close the connection after the answer */
	const char *end_reason;	    /* why it ended, or NULL */
};

/* Limits of the configuration, or those that hold while none is known; sizes
 * are never 0. */
struct fg_caller_limits fg_caller_limits(const struct fg_gateway *gw);

/* libuv callback: accepts a connection of the port in listener->data. */
void fg_caller_accept(uv_stream_t *listener, int status);

/* Accepts the connections that wait at all ports, whose callers take them for
 * open: closing the listeners would reset them. */
void fg_caller_accept_queued(struct fg_gateway *gw);

/* Closes connections that exceed a time limit and frees closed ones. */
void fg_caller_sweep(struct fg_gateway *gw, fg_ms now);

/* Sends a complete answer that does not come from an endpoint. `request_id` and
 * `type` may be NULL; with `retry_ms` 0 there is no Retry-After field. */
void fg_caller_answer(struct fg_caller *c, unsigned int status,
		      const char *request_id, uint32_t retry_ms,
		      const char *type, const char *body, size_t len_bytes);

/* Returns whether the connection comes from the address of a known instance:
 * only these get rows, which hold API keys, and tunnels. */
bool fg_caller_is_instance(const struct fg_caller *c);

/* Call after the last byte of an answer was queued: closes the connection or
 * reads the next request from it. */
void fg_caller_finish_answer(struct fg_caller *c);

/* Closes the connection and cancels its request. With `flush`, queued bytes
 * are sent first. */
void fg_caller_close(struct fg_caller *c, bool flush);

/* Closes a connection on which no answer is due. A request that its caller has
 * sent meanwhile is not run, and the connection is reset. */
void fg_caller_close_idle(struct fg_caller *c);

/* Resets the connection, so that the caller cannot take a partial answer for a
 * complete one. */
void fg_caller_abort(struct fg_caller *c);

/* Returns whether a request has been read in part. */
bool fg_caller_is_reading(const struct fg_caller *c);

/* Logs how a request that was read in part ended; `reason` may be NULL. It
 * names the request's id if the head was read. */
void fg_caller_log_half_read(const struct fg_caller *c, const char *event,
			     const char *reason);

/* Refuses the request that is being read, as not run. */
void fg_caller_refuse_reading(struct fg_caller *c, const char *reason);

/* Makes a place for a new connection of the port, which is open already.
 * Returns false when none gives way. */
bool fg_gw_make_place(const struct fg_port *port);

/* ---- Memory held for callers ---- */

/* Returns whether the connection may hold `more` bytes in addition to what it
 * holds; others may be refused for that. `more` 0 only updates its charge. */
bool fg_gw_memory_ask(struct fg_caller *c, uint64_t more);

/* The request that is being read gives way: refuses it. */
void fg_gw_memory_refuse(struct fg_caller *c);

/* Returns the bytes that an array takes when it grows to `len` bytes. */
uint64_t fg_gw_memory_array_bytes(uint64_t len);

/* Bytes were written to the connection. */
void fg_gw_memory_note_written(struct fg_caller *c);

/* The connection is about to be closed once its queued bytes are sent. */
void fg_gw_memory_note_flushing(struct fg_caller *c);

/* Returns whether `more` bytes of an answer to the caller can be collected.
 * Others that do not read theirs are closed for that. */
bool fg_gw_memory_may_collect(struct fg_caller *c, uint64_t more);

/* Updates what callers have not read, and closes connections while too much is
 * held. */
void fg_gw_memory_tick(struct fg_gateway *gw, fg_ms now);

void fg_gw_memory_set_gauges(struct fg_gateway *gw);

/* Takes over the setting, and the limits of the configuration. */
void fg_gw_memory_apply_limits(struct fg_gateway *gw);

/* ---- Requests ---- */

#define FG_GWREQ_TRIED_MAX 4
/* No endpoint can answer in less time than this. */
#define FG_GWREQ_TIME_LEFT_MIN_MS 10
/* Upper bound of the Retry-After of a refusal. */
#define FG_GWREQ_RETRY_MAX_MS 2000

/* How long a request takes at most. */
struct fg_gw_estimate {
	uint32_t longest_ms;
	const char *evidence; /* for log lines */
};

struct fg_gwreq {
	struct fg_gateway *gw;
	struct fg_caller *caller;
	const struct fg_h1_head *head; /* of the caller's parser */
	struct fg_call call;
	struct fg_routes *routes; /* reference */
	const struct fg_route *route;
	const struct fg_svc *service;
	/* Reference to the configuration that decided on the caller's key: that
	 * of the arrival, or a later one. NULL before. */
	struct fg_routes *keyed_by;
	const struct fg_workspace *workspace; /* of `keyed_by`; NULL: none */
	uint32_t quota_taken; /* tokens that can be given back */
	uint64_t adapter;     /* key; 0: none */
	uint64_t fingerprint;
	uint64_t local_id; /* counts requests of this process */
	fg_ms arrived_at;
	fg_ms deadline; /* for the final answer */
	fg_ms due_at;	/* next step of the current state; FG_MS_NEVER */
	fg_ms load_wait_since;
	/* Only with the setting `overload`: */
	bool admitted;	  /* later choices refuse it by its deadline only */
	fg_ms wait_since; /* for a load or a slot; 0: does not wait */
	uint32_t load_expected_ms;   /* when that wait began */
	uint32_t load_skips;	     /* repeats of the load request left out */
	struct fg_balance_pick pick; /* last choice */
	struct fg_overload_verdict shed; /* why it was refused */
	/* For which it cannot end in time in a stop; without evidence: none. */
	struct fg_gw_estimate too_long;
	uv_timer_t *timer;
	enum fg_gwreq_state state;
	struct fg_fleet_ep *ep; /* reference; of the load or the send */
	struct fg_ep_adapter *ep_adapter; /* at `ep`, counts this request */
	struct fg_ep_conn *conn;	  /* of the current send */
	struct fg_fleet_ep *tried[FG_GWREQ_TRIED_MAX];
	uint32_t n_tried;
	uint32_t totals_pending; /* owners that have not answered yet */
	uint32_t sends;		 /* to endpoints */
	uint32_t possible_runs;	 /* ended sends that may have run */
	uint32_t expected_ms;	 /* to the first token, estimated at the send */
	uint32_t pending_tokens; /* prompt tokens counted at `ep` until the
				    first token */
	fg_ms sent_at;
	fg_ms begun_at;		  /* first part that this send brought; 0: none
				     yet */
	uint64_t n_events_before; /* complete events that earlier sends brought
				   */
	fg_ms first_at;		  /* first part of the answer; 0: none yet */
	bool may_have_run;	  /* some send may have run, or may still run */
	bool head_sent;		  /* the answer's head was sent to the caller */
	unsigned int status_sent; /* its status */
	fg_ms head_at;		  /* when this send brought a head that is no
				     refusal; 0: not yet */
	bool trial;		  /* may be sent although a part is blocked */
	bool silence_noted;	  /* of the endpoint of this send */
	bool answer_begun; /* this send brought an event or a plain head */
	struct fg_events events;
	/* Software version of the endpoint that brought the stream's first
	 * event: only such endpoints may go on. 0: no event yet;
	 * FG_SOFTWARE_NONE: unknown. */
	uint64_t software;
	uint64_t sent_software;	  /* of the endpoint of this send */
	uint32_t origins_pending; /* instances that were asked for it */
	GByteArray *answer_body;  /* of a plain answer */
	guint index;		  /* in gw->reqs */
};

/* Starts serving the request that was read from the connection. */
void fg_gwreq_start(struct fg_caller *c);

/* Drops the request: the caller closed its connection, or the process ends. */
void fg_gwreq_cancel(struct fg_gwreq *r);

/* Returns whether a byte of the request may have reached an endpoint. */
bool fg_gwreq_is_passed_on(const struct fg_gwreq *r);

/* Assigns the request to `ep` and counts it there as in flight, instead of at
 * the endpoint that it was assigned to before. */
void fg_gwreq_attach(struct fg_gwreq *r, struct fg_fleet_ep *ep);

/* Records r->ep as tried; later choices of this request avoid it. */
void fg_gwreq_mark_tried(struct fg_gwreq *r);

/* Enters a state whose next step is due at `due_at`. Where
 * fg_gwreq_may_enter() does not allow it, the request stays in its state, and
 * the fault is logged and counted; a sanitizer build ends. */
void fg_gwreq_enter_state(struct fg_gwreq *r, enum fg_gwreq_state state,
			  fg_ms due_at);

/* A wait has ended, and the next step is decided on. */
void fg_gwreq_leave_state(struct fg_gwreq *r);

/* libuv callback: runs the step that is due. */
void fg_gwreq_on_timer(uv_timer_t *timer);

/* Frees what was kept of a plain answer. */
void fg_gwreq_drop_answer_body(struct fg_gwreq *r);

/* Ends a request whose deadline passed. */
void fg_gwreq_time_out(struct fg_gwreq *r);

/* Sets the timer to the earlier of r->due_at and r->deadline. */
void fg_gwreq_arm_timer(struct fg_gwreq *r);

/* Counts the end of a request by kind of route, and also by reason unless that
 * is NULL. */
void fg_gwreq_count_outcome(const struct fg_gwreq *r, const char *outcome,
			    const char *reason);

/* The first token came: no longer counts the prompt as pending at r->ep. */
void fg_gwreq_clear_pending(struct fg_gwreq *r);

/* Write one log line with the outcome of the request, its reason and its
 * timings: fg_gwreq_log() at level warn, the other at level info. Times count
 * from the arrival of the request; -1: not yet. */
void fg_gwreq_log(const struct fg_gwreq *r, const char *event,
		  const char *reason);
void fg_gwreq_log_routine(const struct fg_gwreq *r, const char *event,
			  const char *reason);

/* Frees an answered request; the caller's connection closes or continues with
 * the next request. */
void fg_gwreq_finish(struct fg_gwreq *r);

/* Gives the final answer 503 with a Retry-After of at most
 * FG_GWREQ_RETRY_MAX_MS, or fails the request when it may have run. */
void fg_gwreq_refuse(struct fg_gwreq *r, const char *reason, uint32_t retry_ms);

/* As fg_gwreq_refuse(), with a Retry-After that is not bounded. */
void fg_gwreq_refuse_until(struct fg_gwreq *r, const char *reason,
			   uint32_t retry_ms);

/* As fg_gwreq_refuse_until(), with the final answer 429. */
void fg_gwreq_refuse_limit(struct fg_gwreq *r, const char *reason,
			   uint32_t retry_ms);

/* Gives the final answer `status`, or resets the connection when the head of
 * an answer was sent already. */
void fg_gwreq_fail(struct fg_gwreq *r, unsigned int status, const char *reason);

/* The request may run: continues after the checks of its key and of its
 * workspace's limit. */
void fg_gwreq_place_admitted(struct fg_gwreq *r);

/* Chooses an endpoint; sends the request there or waits for a load. */
void fg_gwreq_place(struct fg_gwreq *r);

/* An owner answered the request for totals of the request with this local_id
 * (its low 32 bits). */
void fg_gwreq_on_totals(struct fg_gateway *gw, uint32_t local_id);

/* The resident adapters of `ep` changed: sends the requests whose adapter is
 * there now. */
void fg_gwreq_on_resident(struct fg_gateway *gw, struct fg_fleet_ep *ep);

/* The owner of `ep` cannot load the adapter now: places the requests that wait
 * for that load elsewhere. */
void fg_gwreq_on_load_refused(struct fg_gateway *gw, struct fg_fleet_ep *ep,
			      uint64_t adapter);

/* Returns whether the request may be run more than once. */
bool fg_gwreq_may_run_again(const struct fg_gwreq *r);

/* Returns whether the request may be sent once more by its time, its number of
 * sends and the service's budget, from which nothing is taken. */
bool fg_gwreq_has_retry_budget(const struct fg_gwreq *r, fg_ms now);

/* Returns whether an endpoint that the request has not been sent to can take it
 * now. Where the best one lacks the adapter, requests its load there. */
bool fg_gwreq_prepare_other_endpoint(struct fg_gwreq *r, fg_ms now);

/* Time until the deadline; 0 after it. */
uint32_t fg_gwreq_time_left_ms(const struct fg_gwreq *r, fg_ms now);

/* Oldest version of the adapter that may serve the request now; 0: any. */
uint64_t fg_gwreq_required_version(const struct fg_gwreq *r, fg_ms now);

/* Name of the request's adapter; "" for the bare model. */
const char *fg_gwreq_adapter_name(const struct fg_gwreq *r);

/* Urgency of the request at an engine, from 0 (first) to 9 (last). */
uint32_t fg_gwreq_urgency(const struct fg_gwreq *r);

/* ---- Sends ---- */

enum fg_send_end {
	FG_SEND_NOT_SENT = 1, /* no byte reached the endpoint */
	FG_SEND_NOT_RUN = 2,  /* the endpoint reports that it did not run */
	FG_SEND_ABSENT = 3,   /* not run: model, adapter or version is absent */
	FG_SEND_ERROR = 4,    /* the endpoint answered with an error */
	FG_SEND_BROKEN = 5,   /* no complete answer: it may have run */
};

/* A connection to an endpoint. */
struct fg_ep_conn {
	struct fg_gateway *gw;
	struct fg_fleet_ep *ep; /* reference */
	struct fg_link *link;	/* NULL once closed */
	struct fg_h1 h1;
	struct fg_gwreq *req; /* NULL while idle */
	fg_ms idle_until;     /* not reused from then on */
	uint64_t unread_body; /* bytes of the request that were still queued
				 when the answer began */
	bool connected;
	bool reused;
	uint32_t n_answers; /* complete ones that it brought, of any kind */
	bool head_seen;
	bool skip_message; /* informational, or the answer to another request */
	uint32_t n_skipped;	/* such messages of the current send */
	uint64_t message_bytes; /* of the message that is read */
	uint64_t skipped_bytes; /* of answers to other requests */
	uint64_t informational_bytes;
	uint32_t doubts; /* of fg_ep_local when this connection was opened */
	GString *report; /* of a check in progress, or NULL */
	uint64_t via; /* instance that the connection goes through; 0: none */
	struct fg_h1 *hop;   /* reads what that instance sends; NULL: none */
	bool tunnel_pending; /* that instance has not answered yet */
	struct fg_wire_reply reply;
	unsigned int status;
};

/* State that this instance keeps for an endpoint, in addition to the record in
 * the fleet. `slots` to `fence` and `facts_seen` are in use only while this
 * instance orders the endpoint's adapter loads; `slots` is NULL otherwise. */
struct fg_ep_local {
	GPtrArray *idle;    /* struct fg_ep_conn *, most recently used last */
	fg_ms last_byte_at; /* last byte from the endpoint, on any connection */
	/* Events that may mean a restart which its entry does not show yet: the
	 * endpoint ended a connection, or none was open for a while. The first
	 * `doubts_cleared` were followed by a report of the same start. */
	uint32_t doubts;
	uint32_t doubts_cleared;
	uint32_t open_conns;
	fg_ms last_open_at; /* a connection was open until then */
	fg_ms probed_at;    /* last attempt to reach an endpoint in doubt */
	struct fg_losses losses;
	struct fg_ep_conn *check; /* of whether it still listens, or NULL */
	fg_ms check_until;
	struct fg_ep_conn *confirm; /* of a crash, through another instance */
	fg_ms confirm_until;
	uint32_t confirms; /* instances asked since the first refusal */
	struct fg_slots *slots;
	struct fg_uses uses; /* in flight from the other instances */
	struct fg_channel *channel;
	uv_timer_t *timer;
	uint64_t fence;
	uint64_t tenure;	 /* fg_claims_tenure() when ordering began */
	uint64_t limits_version; /* of the configuration that `slots` follows */
	struct fg_gateway *gw;
	struct fg_fleet_ep *ep;
	struct fg_ep_facts facts_seen; /* when ordering began */
};

/* Returns the local state of `ep`, created when missing. */
struct fg_ep_local *fg_ep_local_get(struct fg_gateway *gw,
				    struct fg_fleet_ep *ep);

/* Returns whether the endpoint itself sent the answer. One that states another
 * id comes from a process that took over the address. */
bool fg_ep_sent_reply(const struct fg_fleet_ep *ep,
		      const struct fg_wire_reply *reply);

/* Applies what an endpoint's answer of any kind says of the endpoint itself:
 * that it is leaving, or for how long it wants no request. */
void fg_ep_apply_reply(struct fg_gateway *gw, struct fg_fleet_ep *ep,
		       const struct fg_wire_reply *reply);

/* Applies whether a final answer says that the endpoint is brittle. */
void fg_ep_apply_brittle(struct fg_gateway *gw, struct fg_fleet_ep *ep,
			 const struct fg_wire_reply *reply);

/* Applies the limit that a final answer names. One of the endpoint's service
 * that names none ends the limit; answers to orders and reports and refusals do
 * not. */
void fg_ep_apply_limit(struct fg_gateway *gw, struct fg_fleet_ep *ep,
		       const struct fg_wire_reply *reply);

/* A connection to the endpoint failed. */
void fg_ep_note_unreached(struct fg_gateway *gw, struct fg_fleet_ep *ep,
			  const char *why);

/* The endpoint refused a connection: has another instance confirm that it ended
 * before requests that were lost there are reported as lost in a crash. */
void fg_ep_confirm_crash(struct fg_gateway *gw, struct fg_fleet_ep *ep);

/* The endpoint is known to have ended: reports a crash for each request that
 * was lost there recently. */
void fg_ep_local_report_losses(struct fg_ep_local *local);

/* A request was lost there after its answer had begun: connects, unless this is
 * in progress, to learn whether the endpoint crashed. A connection that is
 * established is kept as an idle one. */
void fg_ep_check_alive(struct fg_gateway *gw, struct fg_fleet_ep *ep);

/* Closes the connections of checks that take too long, probes endpoints in
 * doubt, and sets gw->cut. */
void fg_ep_check_tick(struct fg_gateway *gw, fg_ms now);

/* Frees the local state of `ep` and closes its idle connections. */
void fg_ep_local_free(struct fg_gateway *gw, struct fg_fleet_ep *ep);

/* A direct connection to the endpoint was established. */
void fg_ep_note_reached(struct fg_ep_conn *conn);

/* The endpoint does not answer a request: closes idle connections, which are
 * likely to be as silent, and connects to learn whether it is still reached. */
void fg_ep_note_silent(struct fg_gateway *gw, struct fg_fleet_ep *ep);

/* A connection was not established in time: as fg_ep_note_unreached(), and
 * closes idle connections. */
void fg_ep_note_no_connection(struct fg_gateway *gw, struct fg_fleet_ep *ep);

/* Results of a connection that fg_ep_confirm_crash() asked for: the instance in
 * the middle did not open it (`ended`: it does not reach the endpoint), or it
 * did. */
void fg_ep_on_confirm_failed(struct fg_ep_conn *conn, bool ended);
void fg_ep_on_confirm_denied(struct fg_ep_conn *conn);

/* Opens a connection to the endpoint, through `peer` unless that is NULL.
 * Returns NULL when it cannot be opened. */
struct fg_ep_conn *fg_ep_conn_new(struct fg_gateway *gw, struct fg_fleet_ep *ep,
				  const struct fg_mesh_peer *peer);

/* Closes the connection; its record is freed in the next iteration of the event
 * loop. */
void fg_ep_conn_close(struct fg_ep_conn *conn);

/* Closes the connection and ends the send of its request, if there is one. */
void fg_ep_conn_fail(struct fg_ep_conn *conn, enum fg_send_end end,
		     const char *why);

/* The endpoint is connected: sends the connection's request. */
void fg_ep_conn_start(struct fg_ep_conn *conn);

/* Reads bytes that the endpoint sent. */
void fg_ep_conn_feed(struct fg_ep_conn *conn, const char *data, size_t len);

/* The endpoint ended the connection, or the connection failed. */
void fg_ep_conn_end(struct fg_ep_conn *conn, enum fg_link_end end);

/* Time limit for a connection to be established. */
fg_ms fg_ep_connect_timeout_ms(const struct fg_gateway *gw);

/* Sends the request to r->ep. */
void fg_send_start(struct fg_gwreq *r);

/* The answer to the current send begins. */
void fg_send_note_first(const struct fg_gwreq *r, fg_ms now);

/* r->due_at passed during a send: the connection was not established, or no
 * part of an answer came. */
void fg_send_on_timeout(struct fg_gwreq *r, fg_ms now);

/* Ends the send by closing its connection, which the endpoint notices. */
void fg_send_cancel(struct fg_gwreq *r);

/* A send ended without an answer for the caller: sends the request again, or
 * fails or refuses it. */
void fg_gwreq_on_send_end(struct fg_gwreq *r, enum fg_send_end end,
			  const char *why);

/* Take the parts of an answer as the connection reads them. fg_answer_head()
 * always returns true. */
bool fg_answer_head(struct fg_gwreq *r, const struct fg_h1_head *head);
void fg_answer_body(struct fg_gwreq *r, const char *data, size_t len_bytes);
void fg_answer_end(struct fg_gwreq *r, const struct fg_h1_head *head);

/* ---- Store ---- */

enum fg_feed_id {
	FG_FEED_CONFIG = 0,
	FG_FEED_REGISTRY = 1,
	FG_FEED_OWN = 2, /* the instances' own rows */
	FG_FEED_COUNT = 3,
};

/* One table of the store: a full read, then its change feed. */
struct fg_feed {
	struct fg_gateway *gw;
	enum fg_feed_id id;
	const char *table;
	struct fg_channel *channel; /* to the store */
	uv_timer_t *timer;
	uint64_t synced_version; /* all rows up to this version were read */
	uint64_t newest_version; /* of the newest row that matters to others */
	struct fg_relay *relay;	 /* rows kept for neighbours */
	struct fg_channel *reader_channel; /* NULL: the store is read here */
	bool read_store_once; /* one call although a neighbour reads the store
			       */
	uint64_t full_read_version; /* of the first page of a full read */
	char *next_key;		    /* of a full read */
	bool in_full_read;
	bool restart_full_read; /* the call in flight is not part of it */
	bool full_read_done;	/* at least one is complete */
	fg_ms sent_at;		/* last call to the store */
	fg_ms read_since;	/* the same, or the first call of a full read */
	fg_ms confirmed_at; /* last answer of the store, here or at a reader */
	uint32_t failures;  /* calls that failed in a row */
	uint32_t store_calls;
};

/* Reads the store's answer to a read of rows. Returns false, with a log line,
 * when it cannot be read or has no list: an empty list means that there are no
 * rows. The caller clears *rows after true. */
bool fg_sync_read_list(const struct fg_gateway *gw, const char *table,
		       const char *body, size_t len,
		       struct fg_store_rows *rows);

/* The table of the instances' own rows, and prefixes of its keys. */
#define FG_SYNC_TABLE_OWN "fulmargauge"
#define FG_SYNC_KEY_INSTANCE "instance/"
#define FG_SYNC_KEY_FEATURES "instance_features/"
#define FG_SYNC_KEY_OWNER "owner/"
#define FG_SYNC_KEY_MARK "retired/" /* of fg_retire */
#define FG_SYNC_KEY_BLOCKED "blocked/"
#define FG_SYNC_KEY_EVIDENCE "evidence/"

void fg_sync_start(struct fg_gateway *gw);
void fg_sync_stop(struct fg_gateway *gw);

/* Follows the reader, and writes this instance's row and its claims when they
 * are due. */
void fg_sync_tick(struct fg_gateway *gw, fg_ms now);

/* In a planned stop, once all requests are answered: removes the instance's
 * row, so that it no longer counts in a majority. To be called until
 * gw->own_row_end is FG_OWN_ROW_ENDED: it is removed, or cannot be. */
void fg_sync_withdraw_own_row(struct fg_gateway *gw);

/* Writes the row that announces this instance. */
void fg_sync_write_own_row(struct fg_gateway *gw);

/* ---- Rows of instances that died ---- */

/* A mark was read, or its removal. */
void fg_gw_retire_apply_mark(struct fg_gateway *gw,
			     const struct fg_store_row *row, fg_ms now);

/* Updates which instances this one takes for dead by a mark, and decides on the
 * next transaction. */
void fg_gw_retire_tick(struct fg_gateway *gw, fg_ms now);

/* Sends the transaction that fg_gw_retire_tick() just decided on. Returns false
 * if there is none. */
bool fg_gw_retire_step(struct fg_gateway *gw);

/* ---- Rows that this instance writes ---- */

/* Pause between two transactions, which lets claims accumulate. */
#define FG_SYNC_TX_GAP_MS 250

/* Sends a transaction, as the only one at a time. */
void fg_sync_send_tx(struct fg_gateway *gw, const struct fg_tx_row *rows,
		     uint32_t n, fg_channel_done_fn done);

/* Returns whether the answer to the last transaction counts. What was written
 * in an earlier era may be lost. */
bool fg_sync_is_tx_answer_usable(const struct fg_gateway *gw,
				 unsigned int status);

/* The row of this instance's name was read, with the incarnation in it; 0: it
 * was removed. Another one than this process's is replaced, unless it is that
 * of a process that was started later. */
void fg_sync_note_own_row(struct fg_gateway *gw, uint64_t version,
			  uint64_t incarnation);

/* Reads from the store what the feed lacks, after any call in flight. */
void fg_sync_read_store(struct fg_feed *f);

/* Reads the whole table again with the next call. */
void fg_sync_start_full_read(struct fg_feed *f);

/* Applies changes of the own table that the store returned for a call sent at
 * `sent_at`. */
void fg_sync_apply_own(struct fg_gateway *gw, const struct fg_store_rows *rows,
		       fg_ms sent_at);

/* ---- Eras and proofs ---- */

/* Results of the head hook of store channels. */
enum fg_store_answer {
	FG_STORE_ANSWER_USABLE = 0,
	FG_STORE_ANSWER_REFUSED = 1,
};

/* Creates a channel to the store, whose answers are checked for their era. */
struct fg_channel *fg_gw_store_channel_new(struct fg_gateway *gw);

/* Returns whether the answer with this status may be used. */
bool fg_gw_store_answer_usable(const struct fg_channel *c, unsigned int status);

/* Another instance knows a row of this version. */
void fg_gw_era_on_version(struct fg_gateway *gw, uint64_t version);

/* All rows that the own table held at `when`, by a call of this instance, have
 * been applied. */
void fg_gw_prove(struct fg_gateway *gw, fg_ms when);

/* Returns the time since the last such call; UINT32_MAX: none in this era. */
uint32_t fg_gw_own_read_age_ms(const struct fg_gateway *gw, fg_ms now);

/* Asks the store for a proof when the last one is getting old. */
void fg_gw_proof_tick(struct fg_gateway *gw, fg_ms now);

/* Applies rows that a neighbour served. */
void fg_sync_apply_relayed(struct fg_feed *f, const struct fg_store_rows *rows,
			   fg_ms now);

/* The feed has read everything that the store held at `when`. */
void fg_sync_mark_confirmed(struct fg_feed *f, fg_ms when);

/* Applies a row of the feed's table. Returns true when neighbours need the
 * row. They do not need a registry entry in which only the list of adapters
 * changed. */
bool fg_sync_apply_row(struct fg_feed *f, const struct fg_store_row *row,
		       fg_ms now);

/* A heartbeat came from an instance whose row is not known. */
void fg_sync_on_unknown_instance(struct fg_gateway *gw, fg_ms now);

/* Another instance has read a newer row of the configuration. */
void fg_sync_on_config_behind(struct fg_gateway *gw, fg_ms now);

/* ---- Rows from a neighbour ---- */

/* Chooses who reads the store, and fetches rows from that neighbour. */
void fg_gw_relay_follow(struct fg_gateway *gw, fg_ms now);

/* A heartbeat of this peer reported the state of its feeds. */
void fg_gw_relay_on_heartbeat(struct fg_gateway *gw,
			      const struct fg_mesh_peer *peer, fg_ms now);

/* Reads the store here for a while, since heartbeats received so far may be
 * outdated. */
void fg_gw_relay_suspend(struct fg_gateway *gw, fg_ms now);

/* Fills the state of the feeds here into a heartbeat. */
void fg_gw_relay_fill_status(const struct fg_gateway *gw, fg_ms now,
			     fg_mesh_store *out);

/* Answers a neighbour's call for rows. */
void fg_gw_relay_answer_call(struct fg_caller *c);

/* Returns whether rows are read from the store here and none of its feeds
 * fails. */
bool fg_gw_relay_reads_store(const struct fg_gateway *gw);

/* ---- Configuration rows from any other instance ---- */

/* What is kept here for fg_catchup.h. */
struct fg_catchup_here {
	struct fg_catchup *decision;
	struct fg_relay *known[2];  /* rows of the configuration feed, from any
				     * source, for others */
	struct fg_channel *channel; /* to the instance asked last, or NULL */
	char address[FG_PEER_TEXT_BYTES]; /* of `channel` */
	uint64_t asked;			  /* incarnation of that instance */
	uint64_t version; /* newest row that another instance gave */
};

void fg_gw_catchup_init(struct fg_gateway *gw);
void fg_gw_catchup_free(struct fg_gateway *gw);

/* Gives up calls that take too long and asks the next instance. */
void fg_gw_catchup_tick(struct fg_gateway *gw, fg_ms now);

/* A heartbeat of this peer reported the state of its feeds. */
void fg_gw_catchup_on_heartbeat(struct fg_gateway *gw,
				const struct fg_mesh_peer *peer, fg_ms now);

/* A row of the configuration feed was applied: keeps it for others. */
void fg_gw_catchup_on_row(struct fg_gateway *gw,
			  const struct fg_store_row *row);

/* The whole configuration table was read from the store. */
void fg_gw_catchup_on_full_read(struct fg_gateway *gw);

/* The store's era rose: drops the rows of earlier ones. */
void fg_gw_catchup_on_era(struct fg_gateway *gw);

/* Appends the configuration rows known here with a version above `after` to
 * `body`. Returns false when the call `target` does not ask for them. */
bool fg_gw_catchup_answer(const struct fg_gateway *gw, const char *target,
			  int feed, uint64_t after, GString *body);

/* Version of the newest configuration row known here, from any source. */
uint64_t fg_gw_catchup_known(const struct fg_gateway *gw);

/* Returns whether another instance reported a newer row. */
bool fg_gw_catchup_is_behind(const struct fg_gateway *gw);

/* Appends a line for the state dump. */
void fg_gw_catchup_append_state(GString *out, const struct fg_gateway *gw);

/* ---- Orders ---- */

/* Starts or stops ordering loads at each engine, as claims and the registry
 * say, and refreshes what is known of the engines ordered here. */
void fg_orders_refresh(struct fg_gateway *gw, fg_ms now);

/* Adds elapsed_ms for each engine that has no live owner, and for each engine
 * owned here that may get no order now, to the metrics. */
void fg_orders_count_waits(struct fg_gateway *gw, fg_ms now, fg_ms elapsed_ms);

/* Returns whether an engine of the service can ever hold an adapter of the
 * model; true also for a model that the service does not list. */
bool fg_orders_could_hold(const struct fg_svc *service, const char *model);

/* Requests a load of the adapter at `ep`, here or from its owner. Returns the
 * state of the adapter there: FG_SLOT_PENDING also when another instance is the
 * owner and was asked, FG_SLOT_FULL also when no owner is known. */
enum fg_slot_state fg_orders_request_load(struct fg_gateway *gw,
					  struct fg_fleet_ep *ep,
					  const char *model,
					  const char *adapter,
					  uint64_t version);

/* The number of this instance's requests in flight at `ep` for one adapter
 * changed: records the use here, or reports it to the owner. */
void fg_orders_note_use(struct fg_gateway *gw, struct fg_fleet_ep *ep,
			struct fg_ep_adapter *a);

/* Another instance reported its requests in flight at an engine; ignored
 * unless the engine is ordered here. */
void fg_orders_apply_use(struct fg_gateway *gw, struct fg_fleet_ep *ep,
			 const struct fg_use *use);

/* A new version of an adapter was announced. */
void fg_orders_on_announcement(struct fg_gateway *gw, uint64_t key,
			       uint64_t version);

/* Stops ordering loads at an endpoint. */
void fg_orders_release(struct fg_ep_local *local);

/* ---- Mesh ---- */

/* A crash that is still repeated in heartbeats. */
struct fg_crash_notice {
	fg_mesh_crash crash;
	uint32_t left; /* heartbeats to other regions until it is dropped */
};

/* Opens the UDP socket; returns 0 or a libuv error. */
int fg_gw_mesh_open(struct fg_gateway *gw);

/* Closes it, if it is open; later datagrams are dropped. */
void fg_gw_mesh_close(struct fg_gateway *gw);

/* Fills the header of a packet and clears the rest. */
void fg_gw_mesh_init_packet(struct fg_gateway *gw, fg_mesh_packet *packet,
			    fg_mesh_kind kind);

/* Send one datagram; a datagram that cannot be sent now is dropped. */
void fg_gw_mesh_send(struct fg_gateway *gw, const char *address,
		     const fg_mesh_packet *packet);
void fg_gw_mesh_send_bytes(struct fg_gateway *gw, const char *address,
			   const char *bytes, size_t len);

/* Passes a crash that instance `by` reported to the suspects. */
void fg_gw_mesh_apply_crash(struct fg_gateway *gw, uint64_t by,
			    const fg_mesh_crash *crash, fg_ms now);

/* Applies a crash seen here and reports it in the next heartbeats. */
void fg_gw_mesh_report_crash(struct fg_gateway *gw, const fg_mesh_crash *crash);

/* Sends the heartbeats and reports of use that are due. */
void fg_gw_mesh_tick(struct fg_gateway *gw, fg_ms now);

/* Sends a heartbeat to the instances of this region at once. */
void fg_gw_mesh_send_heartbeat(struct fg_gateway *gw);

/* Number of tokens as a datagram carries it; a larger one is cut. */
static inline uint32_t fg_gw_pack_tokens(uint64_t tokens)
{
	return (uint32_t)MIN(tokens, UINT32_MAX);
}

/* Reports this instance's use of an adapter to the owner of `ep`. */
void fg_gw_mesh_send_use(struct fg_gateway *gw, struct fg_fleet_ep *ep,
			 struct fg_ep_adapter *a);

/* Asks the owner of `ep` for the totals in flight there; the answer comes back
 * with `local_id`. */
void fg_gw_mesh_request_totals(struct fg_gateway *gw, struct fg_fleet_ep *ep,
			       uint32_t local_id);

/* Asks `owner` to load the adapter at `ep`. */
void fg_gw_mesh_send_load_req(struct fg_gateway *gw, uint64_t owner,
			      struct fg_fleet_ep *ep, const char *model,
			      const char *adapter, uint64_t version);

/* ---- Workspaces ---- */

/* Returns whether the configuration in effect has workspaces. */
bool fg_gw_has_workspaces(const struct fg_gateway *gw);

/* Returns whether the store's answers have failed for so long that a newer
 * configuration may be in force elsewhere. */
bool fg_gw_is_config_stale(const struct fg_gateway *gw, fg_ms now);

/* Sets r->workspace by the caller's key. Returns false when the request must
 * not run; it is answered then. */
bool fg_gw_workspace_admit(struct fg_gwreq *r);

/* Returns whether the configuration in force says of the request what the one
 * that decided on its key said. */
bool fg_gw_workspace_is_current(const struct fg_gwreq *r);

/* Decides again when the configuration in force says otherwise; call it before
 * each send. A request whose key moved belongs to the new workspace then, and
 * is charged to it. Returns false when the request must not be sent now: it was
 * answered, or it waits for tokens and is placed again. */
bool fg_gw_workspace_recheck(struct fg_gwreq *r);

/* ---- Overload ----
 *
 * Without the setting `overload` these calls do nothing and return false. */

void fg_gw_overload_init(struct fg_gateway *gw);
void fg_gw_overload_free(struct fg_gateway *gw);

/* Refuses the request unless it may go on to the endpoint `p`. Returns whether
 * it did. A request that may have run is never refused. */
bool fg_gw_overload_refuse(struct fg_gwreq *r, const struct fg_balance_pick *p,
			   fg_ms now);

/* The request begins to wait for a load or a slot, unless it does already. */
void fg_gw_overload_begin_wait(struct fg_gwreq *r, fg_ms now);

/* Refuses a request whose load cannot be there in time any more. Returns
 * whether it did. */
bool fg_gw_overload_refuse_waiting(struct fg_gwreq *r, fg_ms now);

/* Returns whether the request leaves out this repeat of its load request, since
 * a more urgent one waits here for another load of the same engine. */
bool fg_gw_overload_yields(struct fg_gwreq *r);

/* The request is sent, or its answer begins, or its endpoint is full. */
void fg_gw_overload_note_send(struct fg_gwreq *r, fg_ms now);
void fg_gw_overload_note_answer(struct fg_gwreq *r, fg_ms now);
void fg_gw_overload_note_full(struct fg_gwreq *r, fg_ms now);

/* Appends a line for each service and rank, for the state dump. */
void fg_gw_overload_append_state(GString *out, const struct fg_gateway *gw,
				 fg_ms now);

/* ---- Limits of workspaces ---- */

void fg_gw_quota_init(struct fg_gateway *gw);
void fg_gw_quota_free(struct fg_gateway *gw);

/* Takes the request's tokens from its workspace's limit. Returns false when it
 * waits for tokens (FG_GWREQ_WAIT_QUOTA) or was refused;
 * fg_gwreq_place_admitted() is called once they are granted. */
bool fg_gw_quota_admit(struct fg_gwreq *r);

/* The request ends without having run: gives its tokens back, or no longer
 * waits for them. */
void fg_gw_quota_give_back(struct fg_gwreq *r);

/* Sets the metrics of limits. */
void fg_gw_quota_set_gauges(struct fg_gateway *gw);

/* Appends a line for each workspace with a limit, for the state dump. */
void fg_gw_quota_append_state(GString *out, const struct fg_gateway *gw,
			      fg_ms now);

void fg_gw_quota_tick(struct fg_gateway *gw, fg_ms now);

/* Messages of other instances. */
void fg_gw_quota_answer_ask(struct fg_gateway *gw, const fg_mesh_packet *packet,
			    const char *from);
void fg_gw_quota_apply_reply(struct fg_gateway *gw,
			     const fg_mesh_packet *packet);

/* ---- Prompt parts that crash endpoints ---- */

void fg_gw_blame_init(struct fg_gateway *gw);
void fg_gw_blame_free(struct fg_gateway *gw);

/* Returns whether the new request may be sent; it is refused otherwise. */
bool fg_gw_blame_admit(struct fg_gwreq *r);

/* Refuses the request if one of its parts was blocked after it came, or if it
 * was lost and may not be sent again. Returns whether it did. */
bool fg_gw_blame_refuse_blocked(struct fg_gwreq *r);

/* Sends the blocked parts, and losses that none explains, to one instance. */
void fg_gw_blame_send_blocked(struct fg_gateway *gw,
			      const struct fg_mesh_peer *peer, fg_ms now);

/* Applies a row of a blocked part. */
void fg_gw_blame_apply_row(struct fg_gateway *gw,
			   const struct fg_store_row *row, fg_ms now);

/* Applies the row with the evidence of a data centre. */
void fg_gw_blame_apply_evidence(struct fg_gateway *gw,
				const struct fg_store_row *row, fg_ms now);

/* Applies the notes of another instance; what was lost here at an endpoint that
 * they say died is reported as well. */
void fg_gw_blame_apply_notes(struct fg_gateway *gw,
			     const fg_mesh_packet *packet, fg_ms now);

/* Sends the notes that are due, and ends requests with blocked parts. */
void fg_gw_blame_tick(struct fg_gateway *gw, fg_ms now);

/* ---- Software versions that began streams ---- */

void fg_gw_origin_init(struct fg_gateway *gw);
void fg_gw_origin_free(struct fg_gateway *gw);

/* Notes the versions of all endpoints. Call it after changes of the registry
 * and a few times a second. */
void fg_gw_origin_refresh(struct fg_gateway *gw, fg_ms now);

/* Tells other instances of streams begun here, and drops old records. */
void fg_gw_origin_tick(struct fg_gateway *gw, fg_ms now);

/* The request takes up a stream: sets r->software. Returns false when other
 * instances are asked first, or the request was refused. */
bool fg_gw_origin_resolve(struct fg_gwreq *r);

/* No instance that was asked told the version in time: refuses the request. */
void fg_gw_origin_time_out(struct fg_gwreq *r);

/* The first event of a stream came, from an endpoint of version r->software. */
void fg_gw_origin_record(struct fg_gwreq *r);

/* Messages of other instances. */
void fg_gw_origin_apply(struct fg_gateway *gw, const fg_mesh_packet *packet);
void fg_gw_origin_answer_ask(struct fg_gateway *gw,
			     const fg_mesh_packet *packet, const char *from);
void fg_gw_origin_apply_reply(struct fg_gateway *gw,
			      const fg_mesh_packet *packet);

/* ---- Tunnels ----
 *
 * An instance that does not reach an endpoint connects to it through another
 * one: it sends "POST /tunnel/ENDPOINT" to the other's port for rows and, after
 * the answer 200, the bytes pass in both directions until either side ends. The
 * other instance decides nothing about requests and connects to the endpoint
 * itself, never through a third instance.
 *
 * An end of the connection between the instances says nothing about the
 * endpoint, since the kernel closes the connections of a killed process in an
 * orderly way. With "Tunnel-Framing: chunked" in the call, the endpoint's bytes
 * are the chunks of the answer, and its last chunk states that the endpoint
 * ended its side. Builds without that field send the bytes as they are: an
 * answer that ends with its connection is never complete through them.
 */
#define FG_GW_TUNNEL_PATH "/tunnel/"
#define FG_GW_TUNNEL_FRAMING "Tunnel-Framing"
#define FG_GW_TUNNEL_FRAMING_CHUNKED "chunked"

/* -- The instance in the middle -- */

/* Opens the tunnel that the call asks for, or refuses it. */
void fg_gw_tunnel_open(struct fg_caller *c, const char *endpoint_id);

/* The connection of the other instance brought bytes, or accepts more. */
void fg_gw_tunnel_on_data(struct fg_tunnel *t, const char *data, size_t len);
void fg_gw_tunnel_on_drained(struct fg_tunnel *t);

/* Returns what the kernel keeps of the endpoint's connection while it is not
 * read. */
uint64_t fg_gw_tunnel_unread_bytes(const struct fg_tunnel *t);

/* The connection of the other instance was closed: frees the tunnel. */
void fg_gw_tunnel_free(struct fg_tunnel *t);

/* Closes tunnels that are not established in time. */
void fg_gw_tunnel_tick(struct fg_gateway *gw, fg_ms now);

/* Another instance told what an endpoint said. */
void fg_gw_tunnel_apply_said(struct fg_gateway *gw,
			     const fg_mesh_packet *packet);

/* -- The instance that does not reach the endpoint -- */

/* Chooses an instance to go through; NULL when none can be asked now. */
struct fg_mesh_peer *fg_gw_tunnel_choose_peer(struct fg_gateway *gw, fg_ms now);

/* Tells the instance that the answer came through what the endpoint said of
 * itself, since it is bound by that as well. */
void fg_gw_tunnel_tell(struct fg_gateway *gw, uint64_t via,
		       const struct fg_fleet_ep *ep,
		       const struct fg_wire_reply *reply);

/* Makes a connection that is not yet established one through conn->via;
 * fg_hop_clear() frees what it keeps. */
void fg_hop_init(struct fg_ep_conn *conn);
void fg_hop_clear(struct fg_ep_conn *conn);

/* The other instance is connected: asks it for the tunnel. */
void fg_hop_ask(struct fg_ep_conn *conn);

/* The other instance sent bytes. */
void fg_hop_feed(struct fg_ep_conn *conn, const char *data, size_t len);

/* The connection to the other instance ended. */
void fg_hop_on_end(struct fg_ep_conn *conn, enum fg_link_end end);

/* The other instance did not open the tunnel; `by_endpoint`: because it does
 * not reach the endpoint either. */
void fg_hop_fail(struct fg_ep_conn *conn, bool by_endpoint);

/* ---- Pages ---- */

/* Answers a request on any port but the front: address lookup, readiness,
 * metrics, state dump, rows for neighbours. */
void fg_pages_answer(struct fg_caller *c);

/* True while the instance takes requests of callers. */
bool fg_gateway_ready(const struct fg_gateway *gw);

/* ---- The instance ---- */

/* Updates this instance's shares of the limits that endpoints named, and of the
 * room at brittle ones. */
void fg_gw_update_shares(struct fg_gateway *gw, fg_ms now);

/* Newest version of an adapter that operators announced. */
struct fg_announced_version {
	uint64_t key;
	uint64_t version;
	fg_ms announced_at; /* when it was read here */
};

/* The removal of the own row in a planned stop. */
enum fg_own_row_end {
	FG_OWN_ROW_KEPT = 0,
	FG_OWN_ROW_REMOVING = 1, /* no answer yet */
	FG_OWN_ROW_ENDED = 2,
};

struct fg_gateway {
	uv_loop_t loop;
	struct fg_gwconf *conf;
	char *conf_path;
	char *conf_text; /* as last read */
	const struct fg_wire_ops *wire;
	struct fg_rand rand;
	uint64_t incarnation;
	fg_ms started_at;

	struct fg_port ports[FG_PORT_COUNT];
	GPtrArray *callers; /* struct fg_caller * */
	GPtrArray *reqs;    /* struct fg_gwreq * */
	uint64_t n_requests;
	uint32_t descriptors;	 /* limit of the process */
	struct fg_memory memory; /* held for callers */
	bool trim_memory;	 /* much was held since the last trim */

	struct fg_feed feeds[FG_FEED_COUNT];
	uint64_t reader; /* neighbour that reads the store for us; 0: none */
	char reader_address[FG_PEER_TEXT_BYTES];
	fg_ms follow_after; /* the store is read here until then */
	struct fg_channel *tx_channel;
	bool own_row_written;
	enum fg_own_row_end own_row_end;
	bool own_row_exists; /* by the last version seen of it: */
	uint64_t own_row_version;
	bool own_row_listed; /* in the last full read, or the one in progress */
	uint64_t own_row_before; /* incarnation in it before the first write of
				    this process; 0: none */
	struct fg_claim_write claiming[FG_CLAIM_BATCH_MAX]; /* last claims */
	uint32_t n_claiming;
	fg_ms own_table_known_at; /* first complete read; 0: none */
	uint32_t early_reads;	  /* of that table, since then: */
	fg_ms early_reads_since;
	bool claims_current; /* the instances' table was read since the process
				was last paused; orders and claims require it */
	fg_ms next_tx_at;    /* earliest time of the next transaction */
	fg_ms tx_sent_at;    /* last transaction */
	uint64_t tx_era;     /* when it was sent */
	struct fg_era era;
	struct fg_channel *proof_channel; /* to the store */
	fg_ms proof_sent_at;		  /* last call for a proof */
	fg_ms proving_since; /* there has been a valid proof since; 0: none */
	fg_ms own_read_at;   /* last answered read of the own table; 0: none */

	struct fg_routes *routes;  /* NULL before the first configuration */
	struct fg_idle idle;	   /* limit of idle connections */
	fg_ms config_behind_since; /* another instance read more; 0: none */
	struct fg_catchup_here catchup;
	GHashTable
		*announced_versions; /* key -> struct fg_announced_version * */
	struct fg_fleet *fleet;
	struct fg_balance_conf balance;
	struct fg_loadgate loadgate;
	struct fg_claims *claims;
	struct fg_peers *peers;
	struct fg_retire *retire;
	struct fg_retire_action retiring; /* its names are valid within a tick
					   */
	enum fg_retire_step retire_sent;  /* last transaction of it */
	char retire_name[FG_PEER_TEXT_BYTES]; /* first one of it */
	uint64_t retire_row_version;
	/* Of adapters, in prompt tokens. */
	struct fg_popularity_table *popularity;
	struct fg_suspects *suspects;
	struct fg_blame *blame;
	struct fg_channel *blame_channel; /* to the store */
	GArray *notes;	     /* struct fg_blame_note, to be sent to all */
	bool blocks_changed; /* a part was blocked since the last step */
	fg_ms repair_at;     /* blocked parts were last sent to one instance */
	GPtrArray *tunnels;  /* struct fg_tunnel *, of other instances */
	bool cut;	     /* reaches endpoints only through others */
	struct fg_origins *origins;
	bool origins_started; /* the registry's first full read was noted */
	fg_ms woke_at; /* end of the last pause of this process; 0: none */
	GHashTable *retry_budgets;    /* service name -> struct fg_retry * */
	struct fg_overload *overload; /* NULL without the setting */
	struct fg_quota *quota;
	uv_timer_t *quota_timer;
	struct fg_routes *quota_routes; /* whose limits are in force */

	uv_udp_t mesh; /* its data is NULL while it is not open */
	uint32_t heartbeat_seq;
	fg_ms near_heartbeat_at;       /* last one to this region */
	fg_ms region_heartbeat_due_at; /* next one to the region's other data
					  centres */
	fg_ms far_heartbeat_due_at;    /* next one to other regions */
	bool heartbeat_due; /* something changed since the last one */
	GArray *crashes;    /* struct fg_crash_notice */

	uv_timer_t tick;
	uv_signal_t signals[3];
	fg_ms last_tick_at;
	fg_ms tick_before_at; /* the one before the last */
	struct fg_stop stop;
	bool ending;	  /* the event loop has ended; connections are closed */
	GHashTable *took; /* name of a route -> struct fg_took * */
	GHashTable *first_took;	   /* name of a service -> the same, until the
				      first byte of an answer */
	GHashTable *paces;	   /* name of a service -> struct fg_pace * */
	GHashTable *endpoint_gaps; /* id of an endpoint -> struct
				      fg_pace_gaps * */
	GHashTable *stutters; /* name of a service -> struct fg_stutter * */

	struct fg_metrics *metrics;
	struct fg_hist *hist_first;
	struct fg_hist *hist_whole;
	struct fg_hist *hist_load;
};

/* ---- Durations ---- */

/* Returns the record of that size under `name` in gw->took, gw->first_took,
 * gw->paces, gw->endpoint_gaps or gw->stutters, created as zeroes when missing;
 * valid until the next call. */
void *fg_gw_get_named(GHashTable *all, const char *name, size_t size);

/* An endpoint answered the request to its end, or works on it still
 * (`ended` false). */
void fg_gw_took_note(const struct fg_gwreq *r, fg_ms now, bool ended);

/* Returns how long the request takes at most if it is sent to `ep` now; NULL:
 * to an endpoint that is not chosen yet. */
struct fg_gw_estimate fg_gw_took_estimate(const struct fg_gwreq *r,
					  const struct fg_fleet_ep *ep,
					  fg_ms now);

/* ---- Planned stop ---- */

static inline bool fg_gw_is_stopping(const struct fg_gateway *gw)
{
	return gw->stop.phase != FG_STOP_NONE;
}

/* The signal to stop came. */
void fg_gw_stop_begin(struct fg_gateway *gw);

/* Returns the time since the signal as text, which the caller g_free()s; NULL
 * unless a stop has begun. */
char *fg_gw_stop_format_age(const struct fg_gateway *gw);

/* Returns the time until the last answers of the stop that has begun. */
fg_ms fg_gw_stop_left_ms(const struct fg_gateway *gw, fg_ms now);

/* Ends requests that cannot end in time, and moves the stop on. */
void fg_gw_stop_tick(struct fg_gateway *gw, fg_ms now);

/* Returns whether a request of this route could still end in time if it were
 * sent now; true unless a stop has begun. One whose answer has begun has time
 * until the last answers. */
bool fg_gw_stop_has_time(const struct fg_gwreq *r, fg_ms now);
/* The same at this endpoint; NULL: not chosen yet. */
bool fg_gw_stop_has_time_at(const struct fg_gwreq *r,
			    const struct fg_fleet_ep *ep, fg_ms now);

/* During a stop: ends a request that would not end in time if it were sent to
 * an endpoint now, and returns whether it did. Call it before each send. */
bool fg_gw_stop_refuse_late(struct fg_gwreq *r);

void fg_gw_close_listeners(struct fg_gateway *gw);

/* During a stop: logs that the request is taken, and on what estimate. */
void fg_gw_stop_log_taken(const struct fg_gwreq *r);

/* During a stop: logs that the request is passed on to its endpoint. Its end
 * is not logged if the process is killed. */
void fg_gw_stop_log_sent(const struct fg_gwreq *r);

/* Logs what would be cut if all connections were closed now. */
void fg_gw_log_unfinished(const struct fg_gateway *gw);

/* Returns whether a connection to an endpoint may be opened: some descriptors
 * are kept for the store and for other instances. */
bool fg_gw_has_descriptor(const struct fg_gateway *gw);

/* Adds one to the counter fg_gw_NAME_total{LABELS}. */
void fg_gw_count_event(struct fg_gateway *gw, const char *name,
		       const char *labels);

/* Counts a message that breaks a rule of HTTP. */
void fg_gw_count_malformed(struct fg_gateway *gw, const char *name,
			   enum fg_h1_rule rule);

/* Adds n to the same counter; `labels` may be NULL. */
void fg_gw_add_counter(struct fg_gateway *gw, const char *name,
		       const char *labels, uint64_t n);

/* Text of a key of 64 bits, in hexadecimal digits. */
#define FG_KEY_TEXT_BYTES 17
void fg_gw_format_key(char *out, uint64_t key);

/* Returns the keys of the parts as text, separated by commas, which the caller
 * g_free()s; NULL for NULL. */
char *fg_gw_format_parts(GBytes *shared_parts);

/* Newest announced version of an adapter, 0 when there is none. *age_ms is the
 * time since it was read. */
uint64_t fg_gw_announced_version(const struct fg_gateway *gw, uint64_t key,
				 fg_ms now, fg_ms *age_ms);

/* Adds `tokens` of a request for the adapter (0: none); returns the estimated
 * prompt tokens a second that all instances together get for it. */
double fg_gw_update_token_rate(struct fg_gateway *gw, fg_ms now,
			       uint64_t adapter, uint32_t tokens);

/* Retry budget of a service, created when missing. */
struct fg_retry *fg_gw_retry_budget(struct fg_gateway *gw, const char *service);

/* Creates a timer whose data is `data`; fg_gw_timer_free() closes and frees it
 * (NULL is allowed). */
uv_timer_t *fg_gw_timer_new(struct fg_gateway *gw, void *data);
void fg_gw_timer_free(uv_timer_t *timer);

#endif
