/*
 * fg_grant - the owner's record of one engine's slots, and the grants to use
 * them.
 *
 * Only the owner decides which adapters are loaded and evicted, and which
 * requests may use them. A grant pins its slot until it is released; a pinned
 * slot is never evicted. A grant whose holder died keeps its pin until the
 * engine reports that the request has ended, or until the hard deadline.
 *
 * A new owner starts in recovery: it evicts nothing until it has the engine's
 * state and every reachable instance has reported its live grants, or until the
 * longest grant of the last owner has passed its hard deadline.
 *
 * The module does no I/O and reads no clock; the caller passes the time.
 */
#ifndef FG_GRANT_H
#define FG_GRANT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/fg_clock.h"
#include "base/fg_outcome.h"
#include "endpoint/fg_endpoint.h"
#include "owner/fg_owner.h"
#include "peer/fg_msg.h"

#define FG_GRANT_SLOTS_MAX 64

enum fg_grant_slot_state {
	FG_GRANT_SLOT_EMPTY = 0,
	FG_GRANT_SLOT_LOADING = 1,
	FG_GRANT_SLOT_READY = 2,
	/* An open order may change the slot, so no grants are given on it. */
	FG_GRANT_SLOT_TAINTED = 3,
};

struct fg_grant_slot_view {
	enum fg_grant_slot_state state;
	fg_av av;
	uint32_t pins;
	fg_ms last_use;
	fg_ms since; /* time of the last change of state */
};

struct fg_grants_conf {
	uint64_t ep;
	uint64_t fence;
	uint32_t slots;	       /* 1..FG_GRANT_SLOTS_MAX */
	uint32_t batch;	       /* maximum of grants in flight */
	uint32_t grant_max_ms; /* longest time from grant to hard deadline */
	uint32_t queue_max;    /* maximum of held requests */
	bool no_pins;	       /* tests only: evict slots that are in use */
};

struct fg_grants;

/* `recovering` is true unless the caller knows that all slots are empty and no
 * former owner has given grants. Free the object with fg_grants_free(), which
 * accepts NULL. */
struct fg_grants *fg_grants_new(const struct fg_grants_conf *conf, fg_ms now,
				bool recovering);
void fg_grants_free(struct fg_grants *g);

/* ---- Grants ---- */

/* Decoded form of a GRANT_REQ message. */
struct fg_grant_request {
	uint64_t holder; /* instance that will run the request */
	uint64_t req_id; /* the holder's id of request and attempt */
	fg_av av;
	enum fg_class cls;
	uint32_t budget_ms; /* time left to the request's deadline */
	uint32_t hold_ms;   /* may be held this long for a fuller batch */
};

/*
 * Requests a grant. FG_GRANT_OK sets *grant. With FG_GRANT_HELD the request is
 * queued and fg_grants_serve_held() replies to it later. Other values refuse
 * the request. A repeat of a granted request gets the same grant.
 *
 * A request with hold_ms is held until running and held requests fill half a
 * batch, or until hold_ms is over. The slots of held requests are not evicted.
 * Held requests are served by class, then in order of arrival, and refused
 * with FG_GRANT_NO_TIME once their budget is spent.
 */
fg_grant_status fg_grants_request(struct fg_grants *g, fg_ms now,
				  const struct fg_grant_request *request,
				  uint64_t *grant);

/* Ends a grant. A release may be repeated: unknown ids are ignored. Late
 * repeats of a request that has ended or was cancelled are refused with
 * FG_GRANT_NO_TIME. */
void fg_grants_release(struct fg_grants *g, fg_ms now, uint64_t grant);

/* Call it before the release of a grant whose request may still be running,
 * because no answer came or the answer belonged to another request. The slot is
 * not evicted until the engine reports that it runs nothing there. */
void fg_grants_mark_orphaned(struct fg_grants *g, fg_ms now, uint64_t grant);

/* Cancels a request, held or granted, whose caller has gone. */
void fg_grants_cancel(struct fg_grants *g, fg_ms now, uint64_t holder,
		      uint64_t req_id);

/* Serves held requests while there is room, and ends expired grants. Calls
 * `reply` once for each held request that is granted or refused. */
typedef void (*fg_grants_reply)(void *arg,
				const struct fg_grant_request *request,
				fg_grant_status status, uint64_t grant);
void fg_grants_serve_held(struct fg_grants *g, fg_ms now, fg_grants_reply reply,
			  void *arg);

/* The holder has died. Its held requests are dropped. Its grants keep their
 * pins until fg_grants_on_engine_state() shows that their requests have ended,
 * or until their hard deadline. */
void fg_grants_on_holder_dead(struct fg_grants *g, fg_ms now, uint64_t holder);

/* ---- Loads and evictions ---- */

enum fg_load_start_result {
	FG_LOAD_START_OK = 0, /* *slot and *victim are set; send the order */
	FG_LOAD_START_PRESENT = 1, /* already resident or being loaded */
	FG_LOAD_START_PINNED = 2,  /* no slot is empty or can be evicted */
	FG_LOAD_START_RECOVERING = 3,
	FG_LOAD_START_LEAVING = 4,
};

/* Chooses a slot for av: an empty one, else the one with `prefer` if it may be
 * evicted, else the evictable one with the lowest score. With score NULL the
 * least recently used slot is chosen; a score of INFINITY keeps a slot. Pinned
 * slots and those that held requests wait for are not evicted. The slot becomes
 * LOADING and gives no grants. */
enum fg_load_start_result
fg_grants_start_load(struct fg_grants *g, fg_ms now, fg_av av, fg_av prefer,
		     double (*score)(void *arg, fg_av av), void *arg,
		     uint32_t *slot, fg_av *victim);

/* A score that keeps every slot, so that only `prefer` may be evicted. */
double fg_grants_score_keep(void *arg, fg_av av);

/* Sets the outcome of the load order. DONE makes the slot READY. After FENCED,
 * FAILED, NOT_SENT and BUSY the slot takes the content that the next engine
 * state shows. After LOST the slot is TAINTED until the engine's state shows
 * the order's effect, or until life_ms has passed. */
void fg_grants_finish_load(struct fg_grants *g, fg_ms now, uint32_t slot,
			   enum fg_order_status status, uint32_t life_ms);

/* ---- Engine state and recovery ---- */

/* Reconciles the slots with the engine's state, which was asked for at
 * `asked_at`; it does not undo later changes. A state older than the last one
 * is ignored. `find` maps names to an fg_av. Returns true if the engine has
 * restarted since the last state. */
bool fg_grants_on_engine_state(struct fg_grants *g, fg_ms now, fg_ms asked_at,
			       const struct fg_engine_state *st,
			       fg_av (*find)(void *arg, const char *adapter,
					     const char *version),
			       void *arg);

/* Recovery, step 1: taints the slots of the last owner's open intents. Of two
 * intents for one slot, the one with the higher id is newer. */
void fg_grants_taint_slots(struct fg_grants *g, fg_ms now,
			   const struct fg_intent *intents, size_t n);

/* Recovery, step 2: sets the peers that must report their grants. Call it with
 * n == 0 when there are none. */
void fg_grants_await_peers(struct fg_grants *g, const uint64_t *peers,
			   size_t n);

/* Recovery, step 3: takes the grants that a peer reports. */
void fg_grants_on_peer_grants(struct fg_grants *g, fg_ms now, uint64_t peer,
			      const fg_grant_info *infos, size_t n);

/* Copies up to max ids of peers that have not reported; returns how many. */
size_t fg_grants_awaited_peers(const struct fg_grants *g, uint64_t *ids,
			       size_t max);

/* A peer has died; recovery waits for it no longer. */
void fg_grants_on_peer_gone(struct fg_grants *g, fg_ms now, uint64_t peer);

bool fg_grants_is_recovering(const struct fg_grants *g, fg_ms now);

/* True while the engine checks fencing numbers and has not seen this owner's.
 * The engine then still obeys orders of the last owner, so requests are
 * answered RECOVERING until an order of this owner (a load, or the eviction of
 * an empty slot) has raised the engine's fence, or until the longest recovery
 * time has passed. */
bool fg_grants_needs_fence(const struct fg_grants *g);

/* Gives no new grants; held requests are refused with FG_GRANT_LEAVING. */
void fg_grants_set_leaving(struct fg_grants *g);

/* ---- Accessors ---- */

/* Number of pins, of held requests and of slots. */
uint32_t fg_grants_in_use(const struct fg_grants *g);
uint32_t fg_grants_held(const struct fg_grants *g);
uint32_t fg_grants_slot_count(const struct fg_grants *g);
struct fg_grant_slot_view fg_grants_view_slot(const struct fg_grants *g,
					      uint32_t slot);

/* True if av is in a READY slot. */
bool fg_grants_has_adapter(const struct fg_grants *g, fg_av av);

/* Fills the body of a RESIDENT message; seq grows with each change. The caller
 * frees out->av.av_val with free(). */
void fg_grants_fill_resident(const struct fg_grants *g, fg_resident *out);

/* Returns true once after a change that a RESIDENT message must announce: of
 * the resident adapters, of the leaving state or the batch size, and when the
 * batch became almost full or has room again. */
bool fg_grants_take_changed(struct fg_grants *g);

#endif
