/*
 * What the files of lib/gateway share.
 *
 *   fg_gateway.c     start, clock tick, planned stop, settings
 *   fg_gw_caller.c   connections of callers
 *   fg_gw_request.c  a request from its head to its final answer
 *   fg_gw_place.c    where it runs, and its wait for a load
 *   fg_gw_send.c     one sending of a request to an endpoint
 *   fg_gw_answer.c   an endpoint's answer on its way to the caller
 *   fg_gw_sync.c     change feeds of the store's tables
 *   fg_gw_rows.c     what their rows mean
 *   fg_gw_relay.c    taking rows from a neighbour, and giving them
 *   fg_gw_own.c      the rows that this instance writes
 *   fg_gw_orders.c   adapter loads of the engines that this instance orders
 *   fg_gw_mesh.c     heartbeats and messages to other instances
 *   fg_gw_hear.c     ... and from them
 *   fg_gw_pages.c    address lookup, readiness, metrics, state
 */
#ifndef FG_GATEWAY_INTERNAL_H
#define FG_GATEWAY_INTERNAL_H

#include <uv.h>

#include "admit/fg_admit.h"
#include "admit/fg_loss.h"
#include "balance/fg_balance.h"
#include "base/fg_clock.h"
#include "base/fg_rand.h"
#include "claim/fg_claim.h"
#include "fleet/fg_fleet.h"
#include "fleet/fg_health.h"
#include "fleet/fg_uses.h"
#include "gateway/fg_events.h"
#include "gateway/fg_gateway.h"
#include "link/fg_channel.h"
#include "link/fg_link.h"
#include "mesh/fg_mesh.h"
#include "mesh/fg_peers.h"
#include "metrics/fg_metrics.h"
#include "place/fg_heat.h"
#include "relay/fg_relay.h"
#include "route/fg_route.h"
#include "slots/fg_loadgate.h"
#include "slots/fg_slots.h"

struct fg_gateway;
struct fg_caller;
struct fg_gwreq;
struct fg_up;

/* What a listening socket serves. */
enum fg_port_kind {
	FG_PORT_FRONT = 0,
	FG_PORT_READY = 1,
	FG_PORT_DIRECTORY = 2,
	FG_PORT_METRICS = 3,
	FG_PORT_RELAY = 4, /* for other instances */
	FG_PORT_COUNT = 5,
};

struct fg_port {
	struct fg_gateway *gw;
	enum fg_port_kind kind;
	uv_tcp_t listener;
	bool open;
};

/* ---- Callers ---- */

struct fg_caller {
	struct fg_gateway *gw;
	enum fg_port_kind kind;
	struct fg_link *link;
	struct fg_h1 h1;
	GByteArray *unread; /* bytes behind the current request */
	GByteArray *body;
	struct fg_gwreq *req; /* in progress */
	fg_ms since;	      /* begin of the current wait: head or idle */
	bool bad;	      /* its last message was refused as malformed */
	bool last;	      /* no further request on this connection */
};

void fg_caller_accept(uv_stream_t *listener, int status);
void fg_caller_sweep(struct fg_gateway *gw, fg_ms now);

/* A final answer of the gateway's own. `retry_ms` 0: no Retry-After. */
void fg_caller_answer(struct fg_caller *c, unsigned int status,
		      const char *request_id, uint32_t retry_ms,
		      const char *type, const char *body, size_t len_bytes);

/* The answer is complete: the connection goes on or closes. */
void fg_caller_done(struct fg_caller *c);

/* Closes with or without sending what is queued. */
void fg_caller_close(struct fg_caller *c, bool flush);
void fg_caller_abort(struct fg_caller *c);

/* ---- Requests ---- */

enum fg_gwreq_state {
	FG_GWREQ_WAIT_TOTALS = 1, /* for what is in flight at engines */
	FG_GWREQ_WAIT_LOAD = 2,	  /* for an adapter at `ep` */
	FG_GWREQ_WAIT_RETRY = 3,
	FG_GWREQ_SENT = 4,
};

#define FG_GWREQ_TRIED_MAX 4
/* Without this much time left no endpoint can answer. */
#define FG_GWREQ_LEFT_MIN_MS 10
/* A refused caller is asked back within this. */
#define FG_GWREQ_RETRY_MAX_MS 2000

struct fg_gwreq {
	struct fg_gateway *gw;
	struct fg_caller *caller;
	const struct fg_h1_head *head; /* of the caller's parser */
	struct fg_call call;
	struct fg_routes *routes; /* reference */
	const struct fg_route *route;
	const struct fg_svc *service;
	uint64_t adapter; /* key; 0: none */
	uint64_t fingerprint;
	uint64_t number; /* of this process */
	fg_ms arrived;
	fg_ms end_at;	  /* final answer at the latest */
	fg_ms step_at;	  /* of the state; FG_MS_NEVER */
	fg_ms load_since; /* begin of the wait for a load */
	uv_timer_t *timer;
	enum fg_gwreq_state state;
	struct fg_fleet_ep *ep;	   /* reference; of the load or the send */
	struct fg_ep_adapter *use; /* counted as running there */
	struct fg_up *up;	   /* of the send */
	struct fg_fleet_ep *tried[FG_GWREQ_TRIED_MAX];
	uint32_t n_tried;
	uint32_t asked;		 /* engines whose totals are awaited */
	uint32_t sends;		 /* to endpoints */
	uint32_t runs;		 /* sends that may have run */
	uint32_t expected_ms;	 /* until the first token, at the send */
	uint32_t pending_tokens; /* counted at ep while nothing came */
	fg_ms sent_at;
	fg_ms first_at;	 /* first part of the answer; 0: none came */
	bool unsure;	 /* a send may have run, or may run still */
	bool head_sent;	 /* the answer's head went to the caller */
	bool first_seen; /* the first event or the head of a plain answer came
			  */
	struct fg_events events;
	GString *answer; /* body of a plain answer */
	guint index;	 /* in gw->reqs */
};

/* The caller's request is whole. */
void fg_gwreq_start(struct fg_caller *c);

/* The caller left. */
void fg_gwreq_cancel(struct fg_gwreq *r);

/* Counts the request as in flight at an endpoint, in place of the one before.
 */
void fg_gwreq_attach(struct fg_gwreq *r, struct fg_fleet_ep *ep);

/* Its endpoint is avoided from now on. */
void fg_gwreq_note_tried(struct fg_gwreq *r);

/* Enters a state; its step is due at step_at. */
void fg_gwreq_wait(struct fg_gwreq *r, enum fg_gwreq_state state,
		   fg_ms step_at);
void fg_gwreq_on_timer(uv_timer_t *timer);

/* Its time is over. */
void fg_gwreq_time_out(struct fg_gwreq *r);

/* Sets the timer to the next of r->step_at and r->end_at. */
void fg_gwreq_arm(struct fg_gwreq *r);

/* Counts the end of a request, by kind of route, and by reason unless NULL. */
void fg_gwreq_count(const struct fg_gwreq *r, const char *outcome,
		    const char *reason);

/* Its first token came: its prompt waits no longer at the endpoint. */
void fg_gwreq_no_longer_pending(struct fg_gwreq *r);

/* One log line about the request: the outcome, its reason, and what led to it.
 * Times count from its arrival; -1: not yet. */
void fg_gwreq_log(const struct fg_gwreq *r, const char *event,
		  const char *reason);
void fg_gwreq_log_routine(const struct fg_gwreq *r, const char *event,
			  const char *reason);

/* Ends the request; with `give_back` the caller's connection goes on. */
void fg_gwreq_end(struct fg_gwreq *r);

/* A final answer that the request was not run, or failed. */
void fg_gwreq_refuse(struct fg_gwreq *r, const char *reason, uint32_t retry_ms);
void fg_gwreq_fail(struct fg_gwreq *r, unsigned int status, const char *reason);

/* Chooses an endpoint and goes on: sends, or waits for a load. */
void fg_gwreq_place(struct fg_gwreq *r);

/* The totals that a request asked for came. */
void fg_gwreq_totals(struct fg_gateway *gw, uint32_t number);

/* The adapters at `ep` changed: requests that wait for them go on. */
void fg_gwreq_resident(struct fg_gateway *gw, struct fg_fleet_ep *ep);

/* The instance that orders `ep` cannot load the adapter now. */
void fg_gwreq_no_load(struct fg_gateway *gw, struct fg_fleet_ep *ep,
		      uint64_t adapter);

uint32_t fg_gwreq_left_ms(const struct fg_gwreq *r, fg_ms now);

/* The version that the request's adapter must have by now; 0: any. */
uint64_t fg_gwreq_version(const struct fg_gwreq *r, fg_ms now);

/* Name of its adapter; the bare model is one without a name. */
const char *fg_gwreq_adapter_name(const struct fg_gwreq *r);

/* Urgency of the request at an engine. */
uint32_t fg_gwreq_urgency(const struct fg_gwreq *r);

/* ---- Sends ---- */

enum fg_send_end {
	FG_SEND_NOT_SENT = 1, /* no byte reached the endpoint */
	FG_SEND_NOT_RUN = 2,  /* the endpoint says that it did not run it */
	FG_SEND_ABSENT = 3, /* ... since model, adapter or version is absent */
	FG_SEND_ERROR = 4,  /* the endpoint failed it */
	FG_SEND_BROKEN = 5, /* no whole answer: it may have run */
};

struct fg_up {
	struct fg_gateway *gw;
	struct fg_fleet_ep *ep; /* reference */
	struct fg_link *link;
	struct fg_h1 h1;
	struct fg_gwreq *req; /* NULL while idle */
	fg_ms idle_until;
	uint64_t unread_body; /* of the request, when the answer began */
	bool connected;
	bool reused;
	bool head_seen;
	bool skip; /* this answer belongs to no request */
	struct fg_wire_reply reply;
	unsigned int status;
};

/* What this instance keeps of an endpoint beside its record in the fleet. */
struct fg_ep_user {
	GPtrArray *idle; /* struct fg_up *, latest last */
	fg_ms heard;	 /* last byte from it */
	struct fg_losses losses;
	/* As the one that orders its loads; NULL otherwise. */
	struct fg_slots *slots;
	struct fg_uses uses; /* of all instances but this one */
	struct fg_channel *channel;
	uv_timer_t *timer;
	uint64_t fence;
	struct fg_gateway *gw;
	struct fg_fleet_ep *ep;
	struct fg_ep_facts facts_seen; /* as of the last reset */
};

struct fg_ep_user *fg_ep_user_of(struct fg_gateway *gw, struct fg_fleet_ep *ep);
/* The endpoint proved to have ended: requests lost there may be why. */
void fg_ep_user_died(struct fg_ep_user *u);

void fg_ep_user_drop(struct fg_gateway *gw, struct fg_fleet_ep *ep);

/* Sends the request to r->ep. */
void fg_send_start(struct fg_gwreq *r);

/* The time r->step_at passed while the request is sent: no connection, or no
 * first part of an answer. */
void fg_send_overdue(struct fg_gwreq *r, fg_ms now);

/* Takes the request off its connection; the endpoint sees it closed. */
void fg_send_cancel(struct fg_gwreq *r);

/* The request's sending ended without an answer for the caller. */
void fg_gwreq_send_ended(struct fg_gwreq *r, enum fg_send_end end,
			 const char *why);

/* The answer's parts, from the connection; false: it is no proper answer. */
bool fg_answer_head(struct fg_gwreq *r, const struct fg_h1_head *head);
void fg_answer_body(struct fg_gwreq *r, const char *data, size_t len_bytes);
void fg_answer_end(struct fg_gwreq *r, const struct fg_h1_head *head);

/* ---- Store ---- */

enum fg_feed_id {
	FG_FEED_CONFIG = 0,
	FG_FEED_REGISTRY = 1,
	FG_FEED_OWN = 2,
	FG_FEED_COUNT = 3,
};

struct fg_feed {
	struct fg_gateway *gw;
	enum fg_feed_id id;
	const char *table;
	struct fg_channel *channel;
	uv_timer_t *timer;
	uint64_t after;			/* version read so far */
	uint64_t newest;		/* of the newest row that matters */
	struct fg_relay *relay;		/* such rows, for neighbours */
	struct fg_channel *from_reader; /* NULL: this instance reads itself */
	bool ask_once;	       /* ask the store although a neighbour reads it */
	uint64_t read_version; /* of the first page of a full read */
	char *from;	       /* next key of a full read */
	bool reading;	       /* full read, else feed */
	bool complete;	       /* one full read is done */
	fg_ms sent_at;
	fg_ms confirmed; /* last answer */
	uint32_t failures;
	uint32_t calls; /* to the store */
};

/* The table of the instances' own rows, and its keys. */
#define FG_SYNC_TABLE_OWN "fulmargauge"
#define FG_SYNC_KEY_INSTANCE "instance/"
#define FG_SYNC_KEY_OWNER "owner/"

void fg_sync_start(struct fg_gateway *gw);
void fg_sync_stop(struct fg_gateway *gw);
void fg_sync_tick(struct fg_gateway *gw, fg_ms now);
void fg_sync_write_self(struct fg_gateway *gw);

/* Asks the store for what the feed lacks, unless a call is in flight. */
void fg_sync_ask(struct fg_feed *f);

/* Rows that a neighbour passed on. */
void fg_sync_take_relayed(struct fg_feed *f, const struct fg_store_rows *rows,
			  fg_ms now);

/* The feed has read all that there was at `when`. */
void fg_sync_confirmed(struct fg_feed *f, fg_ms when);

/* A row was read from the feed's table. True when it matters to others: a
 * registry entry that tells only of loaded adapters does not. */
bool fg_sync_take_row(struct fg_feed *f, const struct fg_store_row *row,
		      fg_ms now);

/* Another instance has read a newer row of the configuration. */
void fg_sync_config_behind(struct fg_gateway *gw, fg_ms now);

/* ---- Rows from a neighbour ---- */

/* Chooses who reads the store, and takes rows from that neighbour. */
void fg_relay_follow(struct fg_gateway *gw, fg_ms now);

/* A heartbeat of this peer told of its feeds. */
void fg_relay_heard(struct fg_gateway *gw, const struct fg_mesh_peer *peer,
		    fg_ms now);

/* What was heard of the neighbours may be old: asks the store for a while. */
void fg_relay_distrust(struct fg_gateway *gw, fg_ms now);

/* What heartbeats tell of the feeds here. */
void fg_relay_status(const struct fg_gateway *gw, fg_ms now,
		     fg_mesh_store *out);

/* A neighbour's call for rows. */
void fg_relay_answer(struct fg_caller *c);

/* ---- Orders ---- */

void fg_orders_check(struct fg_gateway *gw, fg_ms now);

/* Have the adapter loaded at the endpoint, here or by its owner. */
enum fg_slot_state fg_orders_want(struct fg_gateway *gw, struct fg_fleet_ep *ep,
				  const char *model, const char *adapter,
				  uint64_t version);

/* What this instance has in flight there, of one adapter, changed. */
void fg_orders_used(struct fg_gateway *gw, struct fg_fleet_ep *ep,
		    struct fg_ep_adapter *a);

/* Another instance reported what it has in flight at an engine ordered here. */
void fg_orders_take_use(struct fg_gateway *gw, struct fg_fleet_ep *ep,
			const struct fg_use *use);
void fg_orders_announced(struct fg_gateway *gw, uint64_t key, uint64_t version);
void fg_orders_drop(struct fg_ep_user *u);

/* ---- Mesh ---- */

/* A crash that heartbeats still tell. */
struct fg_crash_notice {
	fg_mesh_crash crash;
	uint32_t left; /* heartbeats */
};

int fg_mesh_open(struct fg_gateway *gw);
void fg_mesh_init_packet(struct fg_gateway *gw, fg_mesh_packet *packet,
			 fg_mesh_kind kind);
void fg_mesh_send(struct fg_gateway *gw, const char *address,
		  const fg_mesh_packet *packet);
void fg_mesh_send_bytes(struct fg_gateway *gw, const char *address,
			const char *bytes, size_t len);
void fg_mesh_take_crash(struct fg_gateway *gw, uint64_t by,
			const fg_mesh_crash *crash, fg_ms now);
void fg_mesh_report_crash(struct fg_gateway *gw, const fg_mesh_crash *crash);
void fg_mesh_tick(struct fg_gateway *gw, fg_ms now);
void fg_mesh_heartbeat_now(struct fg_gateway *gw);
void fg_mesh_send_use(struct fg_gateway *gw, struct fg_fleet_ep *ep,
		      struct fg_ep_adapter *a);
void fg_mesh_ask_totals(struct fg_gateway *gw, struct fg_fleet_ep *ep,
			uint32_t number);
void fg_mesh_send_load_req(struct fg_gateway *gw, uint64_t owner,
			   struct fg_fleet_ep *ep, const char *model,
			   const char *adapter, uint64_t version);

/* ---- Pages ---- */

void fg_pages_answer(struct fg_caller *c);
bool fg_gateway_ready(const struct fg_gateway *gw);

/* ---- The instance ---- */

/* A version of an adapter that operators announced. */
struct fg_wanted_version {
	uint64_t key;
	uint64_t version;
	fg_ms since;
};

struct fg_gateway {
	uv_loop_t loop;
	struct fg_gwconf *conf;
	char *conf_path;
	char *conf_text;
	const struct fg_wire_ops *wire;
	struct fg_rand rand;
	uint64_t incarnation;
	fg_ms started;

	struct fg_port ports[FG_PORT_COUNT];
	GPtrArray *callers;
	GPtrArray *reqs;
	uint64_t requests;

	struct fg_feed feeds[FG_FEED_COUNT];
	uint64_t reader; /* neighbour that reads the store for us; 0: none */
	char reader_address[FG_PEER_TEXT_BYTES];
	fg_ms follow_at; /* takes no rows from neighbours before */
	struct fg_channel *tx;
	bool announced_self;
	struct fg_claim_write claiming[FG_CLAIM_BATCH_MAX];
	uint32_t n_claiming;
	fg_ms own_since; /* first time that the own table was known; 0: never */
	bool claims_checked; /* ... and since the last pause of the process */
	fg_ms tx_at;	     /* no transaction before */

	struct fg_routes *routes; /* NULL before the first configuration */
	fg_ms config_behind;	  /* another instance has read more; 0: none */
	GHashTable *versions;	  /* key -> struct fg_wanted_version * */
	struct fg_fleet *fleet;
	struct fg_balance_conf balance;
	struct fg_loadgate loadgate;
	struct fg_claims *claims;
	struct fg_peers *peers;
	struct fg_heat_table *heat;
	struct fg_suspects *suspects;
	GHashTable *budgets; /* service name -> struct fg_retry * */

	uv_udp_t mesh;
	uint32_t heartbeat_seq;
	fg_ms near_heartbeat_at;
	fg_ms far_heartbeat_at;
	bool heartbeat_due;
	GArray *crashes; /* struct fg_crash_notice */

	uv_timer_t tick;
	uv_signal_t signals[3];
	fg_ms ticked;
	bool stopping;
	bool closing; /* no caller is left, or will be */
	fg_ms stopping_since;
	fg_ms stop_at;	   /* exits at the latest */
	fg_ms quiet_since; /* no request since, while stopping */

	struct fg_metrics *metrics;
	struct fg_hist *hist_first;
	struct fg_hist *hist_whole;
	struct fg_hist *hist_load;
};

/* Counts one event: fg_gw_NAME_total{LABELS}. */
void fg_gw_count(struct fg_gateway *gw, const char *name, const char *labels);

/* Newest announced version of an adapter; 0 when none was. *age_ms tells how
 * long ago it was read. */
uint64_t fg_gw_version(const struct fg_gateway *gw, uint64_t key, fg_ms now,
		       fg_ms *age_ms);

/* Counts `tokens` of a request for the adapter; returns the tokens a second
 * that all instances get for it. */
double fg_gw_heat(struct fg_gateway *gw, fg_ms now, uint64_t adapter,
		  uint32_t tokens);

struct fg_retry *fg_gw_budget(struct fg_gateway *gw, const char *service);

/* Closes and frees a timer made by fg_gw_timer_new(). */
uv_timer_t *fg_gw_timer_new(struct fg_gateway *gw, void *data);
void fg_gw_timer_free(uv_timer_t *timer);

#endif
