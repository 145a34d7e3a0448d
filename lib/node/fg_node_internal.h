/* fg_node_internal - shared by the files of lib/node alone. */
#ifndef FG_NODE_INTERNAL_H
#define FG_NODE_INTERNAL_H

#include <glib.h>
#include <inttypes.h>

#include "admit/fg_admit.h"
#include "base/fg_key.h"
#include "base/fg_rand.h"
#include "grant/fg_grant.h"
#include "ledger/fg_ledger.h"
#include "node/fg_node.h"
#include "owner/fg_owner.h"
#include "place/fg_place.h"

#define FG_AVOID_MAX 4
#define FG_EP_GONE_MS 30000 /* an unlisted endpoint is forgotten after this */
#define FG_EP_DOWN_MS 1000  /* an endpoint that refused connections rests */

/* An endpoint that the platform's list has shown. */
struct fg_ep {
	uint64_t id;
	struct fg_listed info;
	bool leaving;
	fg_ms listed_at; /* last seen in the list */
	fg_ms down_until;
	uint32_t sent;	    /* own attempts in progress on it */
	struct fg_own *own; /* NULL unless this instance owns it */
};

/* A load that this owner ordered. */
struct fg_pending_load {
	uint64_t order_id;
	uint64_t place_order;
	uint64_t broker; /* instance that asked for it */
	uint32_t slot;
	fg_av av;
	fg_av victim;
	bool sent; /* false while its intent is being written */
};

/* An engine that this instance owns. */
struct fg_own {
	struct fg_ep *ep;
	uint64_t fence;
	struct fg_grants *grants; /* NULL until the engine told its size */
	struct fg_intent intents[FG_INTENTS_MAX]; /* of the last owner */
	size_t n_intents;
	bool checks_fence;
	uint64_t role_order; /* raises the engine's fence; 0: none sent */
	fg_ms state_asked;   /* 0: none on its way */
	fg_ms state_next;
	fg_ms silent_since; /* its state could not be read; 0: it answers */
	bool told_silent;
	fg_ms resident_next;
	fg_ms ask_next;	  /* GRANTS_ASK to those that have not told */
	GPtrArray *loads; /* struct fg_pending_load */
};

enum fg_req_state {
	FG_REQ_LEDGER = 1,  /* filing: start row being written */
	FG_REQ_ADAPTER = 3, /* waiting until its adapter is resident */
	FG_REQ_GRANT = 4,   /* asked the owner */
	FG_REQ_RUNNING = 5,
	FG_REQ_BACKOFF = 6,   /* routed again at next_at */
	FG_REQ_FINISHING = 7, /* filing: outcome handed to the ledger */
};

struct fg_req {
	uint64_t id;
	enum fg_req_state state;
	enum fg_class cls;
	char *tag;
	char *caller;
	char *adapter; /* resolved name */
	char *version;
	char *service; /* base model or plain service */
	char *key;
	char *body;
	uint32_t max_tokens;
	bool stream;
	fg_av av;
	uint64_t fingerprint;
	uint64_t prefix_hash;
	fg_ms arrived;
	fg_ms deadline;
	fg_ms next_at;	   /* BACKOFF */
	fg_ms asked_at;	   /* GRANT */
	fg_ms waits_since; /* 0 unless it waits for its adapter */
	uint32_t attempts; /* dispatches so far */
	uint32_t asks;	   /* grant requests so far, part of their id */
	uint64_t ep;	   /* GRANT and RUNNING */
	uint64_t grant;	   /* 0: none held */
	uint64_t owner;	   /* of the grant */
	uint64_t fence;
	uint64_t avoid[FG_AVOID_MAX];
	uint32_t n_avoid;
	bool ran;     /* some attempt may have run */
	bool suspect; /* STARTED was told for the running attempt */
	bool caller_gone;
	bool counted; /* as sent to ep, in the directory */
};

/* Requests waiting for one adapter. */
struct fg_wait {
	uint64_t key; /* fg_av_key() */
	fg_av av;
	char *service;
	GPtrArray *reqs; /* struct fg_req, borrowed */
	fg_ms need_sent;
	uint32_t told_waiting; /* by the last NEED */
	enum fg_class told_cls;
	fg_ms told_due; /* its slack ends then */
};

/* A base model in this region, and its broker. */
struct fg_model {
	char *service;
	char region[FG_NAME_BYTES]; /* own, or the nearest with engines */
	uint64_t broker_key;	    /* ownership key of the broker role */
	struct fg_broker *broker;   /* ours; NULL when another is the broker */
	struct fg_broker *fallback; /* used while no broker is known */
	GHashTable *heat;	    /* av key -> count since the last report */
	uint64_t heat_seq;
};

/* Parts that use the table; each numbers its operations on its own. */
enum fg_part {
	FG_PART_MEMBER = 1,
	FG_PART_OWNER = 2,
	FG_PART_LEDGER = 3,
	FG_PART_CONFIG = 4,
};

struct fg_op_origin {
	uint64_t key; /* id given out */
	enum fg_part part;
	uint64_t id; /* the part's own id */
};

struct fg_node {
	struct fg_node_conf conf;
	struct fg_node_io io;
	struct fg_rand rand;
	uint64_t self;
	struct fg_config *config;
	struct fg_confsync *confsync;
	struct fg_member *member;
	struct fg_owner *owner;
	struct fg_ledger *ledger;
	struct fg_limits *limits;
	struct fg_estimate *estimate;
	struct fg_retry *retry;
	struct fg_suspects *suspects;
	struct fg_dir *dir;
	GHashTable *eps;    /* id -> struct fg_ep */
	GHashTable *reqs;   /* id -> struct fg_req */
	GHashTable *waits;  /* av key -> struct fg_wait */
	GHashTable *models; /* service -> struct fg_model */
	GHashTable *ops;    /* id given out -> struct fg_op_origin */
	uint64_t next_op;
	GQueue loopback; /* fg_msg from this instance to itself */
	GArray *ready;	 /* uint64_t, filings that may be dispatched */
	bool draining;
	uint64_t next_order;
	fg_ms now;	       /* of the event being handled */
	uint32_t open_changes; /* operators' changes not yet answered */
	fg_ms joined;	       /* standing good since; 0 while it is not */
	bool in_force;	       /* revision confirmed and list read since then */
	fg_ms list_asked;
	bool list_pending;
	fg_ms list_at; /* the list read last was asked for then */
	fg_ms heat_next;
	fg_ms second_next; /* next once-a-second work */
	fg_ms sweep_next;
	uint64_t cleared; /* suspects cleared here, numbers the events */
	fg_ms announce_next;
	fg_ms stop_begun; /* 0: not stopping */
	bool released;
	fg_ms release_begun;
	fg_ms quit_begun; /* the lease is being given up since; 0: not yet */
	uint64_t quit_epoch;
	uint64_t counters[FG_NC_COUNT];
};

/* ---- fg_node.c ---- */
void fg_node_count(struct fg_node *n, enum fg_node_counter c, uint64_t by);
void fg_node_event(struct fg_node *n, const char *name, json_t *fields);
void fg_node_send(struct fg_node *n, uint64_t to, const fg_msg *msg);
void fg_node_send_free(struct fg_node *n, uint64_t to, fg_msg *msg);
/* To all instances of the own region, self not included. */
void fg_node_broadcast(struct fg_node *n, const fg_msg *msg);
/* The live ones of the own region; all that are present, also leaving ones,
 * which may still use grants. */
size_t fg_node_region_peers(struct fg_node *n, uint64_t *ids, size_t max);
size_t fg_node_region_present(struct fg_node *n, uint64_t *ids, size_t max);
/* True while new work may be taken. */
bool fg_node_may_serve(struct fg_node *n);
void fg_node_ask_list(struct fg_node *n);

/* ---- fg_node_stop.c ---- */
void fg_node_tick_stop(struct fg_node *n);

/* ---- fg_node_msg.c ---- */
/* Handles the messages of this instance to itself, and filings that the ledger
 * has let go, since the ledger must not be called back. Called last by each
 * event, so that no part is called back while it is at work. */
void fg_node_drain(struct fg_node *n);

/* ---- fg_node_wire.c: actions of the parts, turned into ours ---- */
/* Passes a result to the part that asked. */
void fg_wire_table_done(struct fg_node *n, const struct fg_table_result *res);
void fg_wire_member(void *arg, struct fg_member_act *act);
void fg_wire_owner(void *arg, struct fg_owner_act *act);
void fg_wire_confsync(void *arg, struct fg_confsync_act *act);
void fg_wire_ledger(void *arg, struct fg_ledger_act *act);
/* Event: the revision is in force here from now on. */
void fg_wire_revision_event(struct fg_node *n);

/* ---- fg_node_eps.c: endpoints ---- */
struct fg_ep *fg_ep_find(struct fg_node *n, uint64_t id);
void fg_ep_leaving(struct fg_node *n, struct fg_ep *ep, bool tell);
void fg_ep_listed(struct fg_node *n, const struct fg_listed *info);
void fg_eps_expire(struct fg_node *n);
void fg_ep_free(void *ep);
struct fg_ep *fg_ep_pick_plain(struct fg_node *n, const struct fg_req *r);

/* ---- fg_node_req.c: requests ---- */
void fg_req_free(void *req);
struct fg_req *fg_req_find(struct fg_node *n, uint64_t id);
/* Final answer; the request is gone afterwards. NOT_RUN becomes UNKNOWN if an
 * attempt may have run. */
void fg_req_reply(struct fg_node *n, struct fg_req *r, enum fg_outcome outcome,
		  enum fg_reason reason, uint32_t retry_after_ms);
void fg_req_reply_full(struct fg_node *n, struct fg_req *r,
		       struct fg_reply *reply);
/* Ends a request without an answer from an endpoint: by the ledger if it is
 * a filing, else at once. NOT_RUN is turned into UNKNOWN if an attempt may
 * have run. */
void fg_req_fail(struct fg_node *n, struct fg_req *r, enum fg_outcome outcome,
		 enum fg_reason reason, uint32_t retry_after_ms);
uint32_t fg_req_left_ms(const struct fg_node *n, const struct fg_req *r);
void fg_reqs_tick(struct fg_node *n);

/* ---- fg_node_route.c: to an endpoint and back ---- */
void fg_route(struct fg_node *n, struct fg_req *r);
void fg_route_grant_reply(struct fg_node *n, uint64_t from,
			  const fg_grant_rep *rep);
void fg_route_repeat_ask(struct fg_node *n, struct fg_req *r);
void fg_route_avoid(struct fg_req *r, uint64_t ep);
/* Routes the request again after wait_ms. */
void fg_route_back_off(struct fg_node *n, struct fg_req *r, uint32_t wait_ms);
/* Gives back whatever grant or ask the request has. */
/* `unseen`: the endpoint may be running the request still. */
void fg_route_release(struct fg_node *n, struct fg_req *r, uint32_t service_ms,
		      bool unseen);
void fg_route_grants_ask(struct fg_node *n, uint64_t from,
			 const fg_grants_ask *ask);
void fg_route_owner_lost(struct fg_node *n, uint64_t owner);

/* ---- fg_node_wait.c: adapters that are not resident ---- */
void fg_wait_add(struct fg_node *n, struct fg_req *r);
void fg_wait_remove(struct fg_node *n, struct fg_req *r);
void fg_wait_resident(struct fg_node *n, fg_av av);
/* The broker refused the need: requests due no later than it was told are
 * answered, the rest ask again. */
void fg_wait_refused(struct fg_node *n, fg_av av);
void fg_waits_tick(struct fg_node *n);
void fg_wait_free(void *wait);

/* ---- fg_node_broker.c: broker role ---- */
struct fg_model *fg_model_get(struct fg_node *n, const char *service);
void fg_model_free(void *model);
void fg_models_tick(struct fg_node *n);
void fg_model_heat(struct fg_node *n, const char *service, fg_av av);
void fg_model_need(struct fg_node *n, uint64_t from, const fg_need *need,
		   const char *service);
void fg_model_msg_need(struct fg_node *n, uint64_t from, const fg_need *need);
void fg_model_msg_heat(struct fg_node *n, const fg_heat *heat);
void fg_model_place_rep(struct fg_node *n, const fg_place_rep *rep);
bool fg_model_gained(struct fg_node *n, uint64_t key, uint64_t fence);
bool fg_model_lost(struct fg_node *n, uint64_t key);
void fg_models_config(struct fg_node *n);
void fg_models_peer_gone(struct fg_node *n, uint64_t id);

/* ---- fg_node_own.c: endpoints that this instance owns ---- */
void fg_own_gained(struct fg_node *n, const struct fg_owner_act *act);
void fg_own_lost(struct fg_node *n, uint64_t key);
void fg_own_free(struct fg_own *own);
/* The endpoint as we own it; NULL when we do not. */
struct fg_own *fg_own_of(struct fg_node *n, uint64_t ep_id);
/* True while the lease allows orders to it and grants on it. */
bool fg_own_may_act(struct fg_node *n, const struct fg_own *own);
void fg_own_leave(struct fg_node *n, struct fg_own *own);
void fg_own_tick(struct fg_node *n, struct fg_own *own);
void fg_own_grant_req(struct fg_node *n, uint64_t from,
		      const fg_grant_req *req);
void fg_own_release(struct fg_node *n, uint64_t from, const fg_release *rel);
void fg_own_tell(struct fg_node *n, uint64_t from, const fg_grants_tell *tell);
void fg_own_peer_dead(struct fg_node *n, uint64_t id);
void fg_own_peer_up(struct fg_node *n, uint64_t id);

/* ---- fg_node_resident.c: what owned engines hold ---- */
/* Tells instance `to`; 0: the whole region. */
void fg_own_resident(struct fg_node *n, struct fg_own *own, uint64_t to);
void fg_own_repeat_resident(struct fg_node *n, struct fg_own *own);
/* The engine's state could not be read, or was. */
void fg_own_note_silence(struct fg_node *n, struct fg_own *own, bool silent);

/* ---- fg_node_load.c: loads that an owner orders ---- */
/* Unique over all owners: the engine and the intents see it. */
uint64_t fg_own_order_id(struct fg_node *n, const struct fg_own *own);
void fg_own_intent(struct fg_node *n, uint64_t intent_id, bool stored);
void fg_own_place(struct fg_node *n, uint64_t from, const fg_place *place);

/* ---- fg_node_suspect.c ---- */
bool fg_suspect_gate(struct fg_node *n, struct fg_req *r);
void fg_suspect_start(struct fg_node *n, struct fg_req *r);
void fg_suspect_end(struct fg_node *n, struct fg_req *r, bool crashed,
		    bool ran_none);
bool fg_suspect_crowded(struct fg_node *n, const struct fg_req *r, uint64_t ep);
void fg_suspect_msg(struct fg_node *n, uint64_t from, const fg_suspect *ev);

#endif
