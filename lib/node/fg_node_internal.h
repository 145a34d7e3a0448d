/* fg_node_internal - declarations shared by the files of lib/node only. */
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
#define FG_EP_EXPIRE_MS 30000  /* after its last appearance in the list */
#define FG_EP_COOLDOWN_MS 1000 /* not tried after it refused a connection */

/* An endpoint known from the platform's list. */
struct fg_ep {
	uint64_t id;
	struct fg_list_entry info;
	bool leaving;
	fg_ms listed_at; /* last seen in the list */
	fg_ms down_until;
	uint32_t in_flight;	       /* this instance's attempts on it */
	struct fg_owned_engine *owned; /* NULL unless this instance owns it */
};

/* A load ordered by this instance as the engine's owner. */
struct fg_pending_load {
	uint64_t order_id;
	uint64_t place_order; /* the broker's id of its PLACE order */
	uint64_t broker;      /* instance that sent the PLACE order */
	uint32_t slot;
	fg_av av;
	fg_av victim;
	bool sent; /* false while the intent is being stored */
};

/* An engine owned by this instance. */
struct fg_owned_engine {
	struct fg_ep *ep;
	uint64_t fence;
	struct fg_grants *grants; /* NULL until the first engine state */
	struct fg_intent intents[FG_INTENTS_MAX]; /* of the previous owner */
	size_t n_intents;
	bool checks_fence;
	uint64_t fence_order_id; /* order that raises the engine's fence; 0:
				  * none pending */
	fg_ms state_asked_at;	 /* 0: no read in progress */
	fg_ms next_state_at;
	fg_ms silent_since; /* first failed read of its state; 0: it answers */
	bool reported_silent; /* RESIDENT messages say that it has no slots */
	fg_ms next_resident_at;
	fg_ms next_grants_ask_at; /* GRANTS_ASK to instances that have not
				   * answered */
	GPtrArray *loads;	  /* struct fg_pending_load */
};

enum fg_req_state {
	FG_REQ_LEDGER = 1,  /* filing: start row is being written */
	FG_REQ_ADAPTER = 3, /* waiting until its adapter is resident */
	FG_REQ_GRANT = 4,   /* GRANT_REQ sent to the owner */
	FG_REQ_RUNNING = 5,
	FG_REQ_BACKOFF = 6,   /* routed again at retry_at */
	FG_REQ_FINISHING = 7, /* filing: the ledger is storing its outcome */
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
	fg_ms arrived_at;
	fg_ms deadline;
	fg_ms retry_at;		 /* BACKOFF */
	fg_ms asked_at;		 /* GRANT: the last GRANT_REQ */
	fg_ms stalled_since;	 /* 0 unless it waits for its adapter */
	uint32_t attempts;	 /* dispatches so far */
	uint32_t grant_requests; /* so far; part of their id */
	uint64_t ep;		 /* GRANT and RUNNING */
	uint64_t grant;		 /* 0: none held */
	uint64_t owner;		 /* the owner that was asked for the grant */
	uint64_t fence;
	uint64_t avoid[FG_AVOID_MAX]; /* endpoints, oldest first */
	uint32_t n_avoid;
	bool may_have_run; /* in one of its attempts */
	bool suspect;	   /* must run alone; its start is reported */
	bool caller_gone;
	bool in_dir_load; /* counted in the directory as load on ep */
};

/* Requests of this instance that wait for one adapter. */
struct fg_waiters {
	uint64_t key; /* fg_av_key() */
	fg_av av;
	char *service;
	GPtrArray *reqs; /* struct fg_req, borrowed */

	/* Contents of the last NEED sent to the broker. */
	fg_ms need_sent_at;
	uint32_t need_waiting;
	enum fg_class need_cls;
	fg_ms need_due_at; /* when its slack ends */
};

/* A base model, the region whose engines serve it for this instance, and the
 * broker of both. */
struct fg_model {
	char *service;
	char region[FG_NAME_BYTES]; /* own, or the first by name with engines */
	uint64_t broker_key;	    /* ownership key of the broker role */
	struct fg_broker *broker; /* NULL unless this instance is the broker */
	struct fg_broker *fallback; /* used while no broker is known */
	GHashTable *arrivals;	    /* av key -> count since the last report */
	uint64_t popularity_seq;
};

/* Submodules that use the table. Each numbers its operations independently. */
enum fg_submodule {
	FG_SUBMODULE_MEMBER = 1,
	FG_SUBMODULE_OWNER = 2,
	FG_SUBMODULE_LEDGER = 3,
	FG_SUBMODULE_CONFIG = 4,
};

/* Maps the node's id of a table operation to the submodule's. */
struct fg_op_origin {
	uint64_t op_id;
	enum fg_submodule submodule;
	uint64_t submodule_op_id;
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
	GHashTable *eps;     /* id -> struct fg_ep */
	GHashTable *reqs;    /* id -> struct fg_req */
	GHashTable *waiters; /* av key -> struct fg_waiters */
	GHashTable *models;  /* service -> struct fg_model */
	GHashTable *ops;     /* op_id -> struct fg_op_origin */
	uint64_t last_op_id;
	GQueue loopback;       /* fg_msg from this instance to itself */
	GArray *ready_filings; /* uint64_t ids, cleared for dispatch */
	bool running_deferred; /* inside fg_node_run_deferred() */
	uint64_t next_order_seq;
	fg_ms now;	       /* of the event being handled */
	uint32_t open_changes; /* operators' changes not yet answered */
	fg_ms joined_at;       /* start of a good standing; 0 outside one */
	bool in_force; /* since joined_at: revision confirmed and list read */
	fg_ms list_asked_at;
	bool list_pending;
	fg_ms list_read_at; /* when the last list received was asked for */
	fg_ms next_popularity_at;
	fg_ms next_second_at; /* next once-a-second work */
	fg_ms next_sweep_at;
	uint64_t n_cleared; /* suspects cleared here; numbers the events */
	fg_ms next_announce_at;
	fg_ms stop_begun_at; /* 0: not stopping */
	bool ownership_released;
	fg_ms ownership_released_at; /* rows may still be written after that */
	fg_ms lease_released_at;     /* 0: not yet; its row may still be deleted
				      * after that */
	uint64_t released_lease_epoch;
	uint64_t counters[FG_NC_COUNT];
};

/* ---- fg_node.c ---- */

void fg_node_add_counter(struct fg_node *n, enum fg_node_counter c,
			 uint64_t by);

/* Takes ownership of fields. */
void fg_node_emit_event(struct fg_node *n, const char *name, json_t *fields);

/* Sends a message to an instance, which may be this one. Drops it if the
 * instance is unknown. */
void fg_node_send(struct fg_node *n, uint64_t to, const fg_msg *msg);

/* Like fg_node_send(), and frees msg. */
void fg_node_send_and_free(struct fg_node *n, uint64_t to, fg_msg *msg);

/* Sends to all present instances of the own region except this one. */
void fg_node_broadcast(struct fg_node *n, const fg_msg *msg);

/* Other instances of the own region: the live ones, or all present ones. The
 * latter include leaving instances, which may still hold grants. Write up to
 * max ids and return their number. */
size_t fg_node_live_peers(struct fg_node *n, uint64_t *ids, size_t max);
size_t fg_node_present_peers(struct fg_node *n, uint64_t *ids, size_t max);

/* True while new work may be taken. */
bool fg_node_may_serve(struct fg_node *n);

/* Reads the platform's list unless a read is in progress. */
void fg_node_request_list(struct fg_node *n);

/* ---- fg_node_stop.c ---- */

/* Takes the next step of a planned stop that is in progress. */
void fg_node_tick_stop(struct fg_node *n);

/* ---- fg_node_msg.c ---- */

/* Handles messages of this instance to itself, and filings that the ledger
 * cleared for dispatch. Both are deferred because a submodule must not be
 * called back while it is running. Event handlers call this last. */
void fg_node_run_deferred(struct fg_node *n);

/* ---- fg_node_wire.c: actions of the submodules ---- */

/* Passes a result to the submodule that issued the operation. */
void fg_node_pass_table_result(struct fg_node *n,
			       const struct fg_table_result *res);

/* Emit callbacks of the submodules; arg is the node. */
void fg_node_on_member_act(void *arg, struct fg_member_act *act);
void fg_node_on_owner_act(void *arg, struct fg_owner_act *act);
void fg_node_on_confsync_act(void *arg, struct fg_confsync_act *act);
void fg_node_on_ledger_act(void *arg, struct fg_ledger_act *act);

/* Emits the event that the current revision is in force on this instance. */
void fg_node_emit_revision(struct fg_node *n);

/* ---- fg_node_eps.c: endpoints ---- */

/* Returns NULL if the endpoint is not known. */
struct fg_ep *fg_ep_find(struct fg_node *n, uint64_t id);

/* Marks the endpoint as leaving; `notify_peers`: also tells the region's peers.
 */
void fg_ep_set_leaving(struct fg_node *n, struct fg_ep *ep, bool notify_peers);

/* Adds the endpoint if it is new, and notes that the platform's list shows
 * it. */
void fg_ep_on_list_entry(struct fg_node *n, const struct fg_list_entry *info);

/* Removes endpoints that the list has not shown for FG_EP_EXPIRE_MS. */
void fg_eps_expire(struct fg_node *n);
void fg_ep_free(void *ep);

/* Returns the best endpoint of the request's plain service, or NULL. */
struct fg_ep *fg_ep_pick_plain(struct fg_node *n, const struct fg_req *r);

/* ---- fg_node_req.c: requests ---- */
void fg_req_free(void *req);

/* Returns NULL if the request was answered. */
struct fg_req *fg_req_find(struct fg_node *n, uint64_t id);

/* Answers the request and frees it. NOT_RUN becomes UNKNOWN if an attempt may
 * have run. */
void fg_req_reply(struct fg_node *n, struct fg_req *r, enum fg_outcome outcome,
		  enum fg_reason reason, uint32_t retry_after_ms);

/* Answers the request with a whole reply and frees it. The outcome is sent as
 * given. */
void fg_req_reply_full(struct fg_node *n, struct fg_req *r,
		       struct fg_reply *reply);

/* Ends a request without an answer from an endpoint: through the ledger if it
 * is a filing, otherwise immediately. NOT_RUN becomes UNKNOWN if an attempt
 * may have run. */
void fg_req_fail(struct fg_node *n, struct fg_req *r, enum fg_outcome outcome,
		 enum fg_reason reason, uint32_t retry_after_ms);

/* Time left before the deadline. */
uint32_t fg_req_left_ms(const struct fg_node *n, const struct fg_req *r);

/* Ends requests past their deadline and takes up those whose retry is due. */
void fg_reqs_tick(struct fg_node *n);

/* ---- fg_node_route.c: choice of an endpoint, grant, dispatch ---- */

/* Dispatches the request, asks an owner for a grant, or lets it wait for its
 * adapter. May answer and free the request. */
void fg_route_req(struct fg_node *n, struct fg_req *r);

/* Handles an owner's answer to a grant request. */
void fg_route_on_grant_rep(struct fg_node *n, uint64_t from,
			   const fg_grant_rep *rep);

/* Sends the GRANT_REQ again if its reply is overdue. */
void fg_route_repeat_grant_req(struct fg_node *n, struct fg_req *r);

/* Adds an endpoint to those that the request avoids. */
void fg_route_avoid_ep(struct fg_req *r, uint64_t ep);

/* Routes the request again after wait_ms. */
void fg_route_back_off(struct fg_node *n, struct fg_req *r, uint32_t wait_ms);

/* Releases the request's grant, or cancels its grant request. `orphaned`: the
 * endpoint may still be running the request. */
void fg_route_release_grant(struct fg_node *n, struct fg_req *r,
			    uint32_t service_ms, bool orphaned);

/* Reports the grants that this instance holds on an endpoint to its new
 * owner. */
void fg_route_on_grants_ask(struct fg_node *n, uint64_t from,
			    const fg_grants_ask *ask);

/* Routes requests again that wait for a grant of the dead owner. */
void fg_route_on_owner_dead(struct fg_node *n, uint64_t owner);

/* ---- fg_node_wait.c: requests whose adapter is not resident ---- */

/* Lets the request wait for its adapter. Sends a NEED if the last one does not
 * cover the request. */
void fg_wait_add(struct fg_node *n, struct fg_req *r);

/* Does nothing if the request is not waiting for its adapter. */
void fg_wait_remove(struct fg_node *n, struct fg_req *r);

/* The adapter became resident: its requests are routed again. */
void fg_wait_on_resident(struct fg_node *n, fg_av av);

/* The broker refused the NEED: requests due no later than the NEED stated
 * are answered, the others are announced again. */
void fg_wait_on_refused(struct fg_node *n, fg_av av);

/* Repeats NEEDs that are due. */
void fg_wait_tick(struct fg_node *n);
void fg_waiters_free(void *waiters);

/* ---- fg_node_broker.c: the broker role ---- */

/* Returns the base model's entry, created if absent. */
struct fg_model *fg_model_get(struct fg_node *n, const char *service);
void fg_model_free(void *model);

/* Sends POPULARITY reports and runs the brokers of this instance. */
void fg_models_tick(struct fg_node *n);

/* Counts a request for the adapter, for the next POPULARITY report. */
void fg_model_count_arrival(struct fg_node *n, const char *service, fg_av av);

/* Passes a need of instance `from` to the broker, or to the fallback broker
 * while none is known. */
void fg_model_send_need(struct fg_node *n, uint64_t from, const fg_need *need,
			const char *service);

/* Messages of other instances to the broker, and replies of owners to it. */
void fg_model_on_need(struct fg_node *n, uint64_t from, const fg_need *need);
void fg_model_on_popularity(struct fg_node *n, const fg_popularity *popularity);
void fg_model_on_place_rep(struct fg_node *n, const fg_place_rep *rep);

/* This instance won or lost an ownership key. Both return false if the key
 * names no broker role. */
bool fg_model_on_key_gained(struct fg_node *n, uint64_t key, uint64_t fence);
bool fg_model_on_key_lost(struct fg_node *n, uint64_t key);

/* Applies a new revision to the brokers. */
void fg_models_apply_config(struct fg_node *n);

/* Withdraws the dead instance's needs. */
void fg_models_on_peer_dead(struct fg_node *n, uint64_t id);

/* ---- fg_node_own.c: endpoints owned by this instance ---- */

/* This instance won or lost the ownership of an endpoint. */
void fg_owned_on_gained(struct fg_node *n, const struct fg_owner_act *act);
void fg_owned_on_lost(struct fg_node *n, uint64_t key);
void fg_owned_free(struct fg_owned_engine *owned);

/* Returns NULL if this instance does not own the endpoint. */
struct fg_owned_engine *fg_owned_find(struct fg_node *n, uint64_t ep_id);

/* True while the lease allows orders to the engine and grants on it. */
bool fg_owned_may_act(struct fg_node *n, const struct fg_owned_engine *owned);

/* Gives no more grants on an engine that is leaving. */
void fg_owned_on_leaving(struct fg_node *n, struct fg_owned_engine *owned);

/* Reads the engine's state when due, answers grant requests that were held, and
 * sends RESIDENT messages. */
void fg_owned_tick(struct fg_node *n, struct fg_owned_engine *owned);

/* Messages of instances that use or used a grant. */
void fg_owned_on_grant_req(struct fg_node *n, uint64_t from,
			   const fg_grant_req *req);
void fg_owned_on_release(struct fg_node *n, uint64_t from,
			 const fg_release *rel);
void fg_owned_on_grants_tell(struct fg_node *n, uint64_t from,
			     const fg_grants_tell *tell);

/* Tells all owned engines' grants that their holder `id` died. */
void fg_owned_on_peer_dead(struct fg_node *n, uint64_t id);

/* Sends the instance what all owned engines hold. */
void fg_owned_on_peer_up(struct fg_node *n, uint64_t id);

/* ---- fg_node_resident.c: RESIDENT messages of owned engines ---- */

/* Sends to instance `to`, or to the whole region if `to` is 0. */
void fg_owned_send_resident(struct fg_node *n, struct fg_owned_engine *owned,
			    uint64_t to);

/* Sends to the whole region, and to all regions if there are few instances.
 * Sets the time of the next repeat. */
void fg_owned_repeat_resident(struct fg_node *n, struct fg_owned_engine *owned);

/* Records whether the last read of the engine's state failed. */
void fg_owned_note_silence(struct fg_node *n, struct fg_owned_engine *owned,
			   bool silent);

/* ---- fg_node_load.c: loads ordered by an owner ---- */

/* Returns an id that is unique over all owners: engines and stored intents
 * identify an order by it. */
uint64_t fg_owned_new_order_id(struct fg_node *n,
			       const struct fg_owned_engine *owned);

/* The write of an intent ended; the order goes out only if it is stored. */
void fg_owned_on_intent(struct fg_node *n, uint64_t intent_id, bool stored);

/* Starts the load that a broker ordered, or refuses it. */
void fg_owned_on_place(struct fg_node *n, uint64_t from, const fg_place *place);

/* ---- fg_node_suspect.c: requests that crash endpoints ---- */

/* Returns true if the request may run now. Otherwise it was answered, or is
 * routed again later. */
bool fg_suspect_admit(struct fg_node *n, struct fg_req *r);

/* Report the start and the end of an attempt to the region's instances. */
void fg_suspect_on_run_start(struct fg_node *n, struct fg_req *r);
void fg_suspect_on_run_end(struct fg_node *n, struct fg_req *r, bool crashed,
			   bool not_run);

/* True if the request is a suspect and another suspect runs on the endpoint:
 * a crash there could not be attributed to one of them. */
bool fg_suspect_has_conflict(struct fg_node *n, const struct fg_req *r,
			     uint64_t ep);

/* Handles a report of another instance. */
void fg_suspect_on_msg(struct fg_node *n, uint64_t from, const fg_suspect *ev);

#endif
