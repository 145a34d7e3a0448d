/*
 * fg_grant - the slots of one engine, as its owner counts them.
 *
 * Pure. The owner alone decides what is loaded and evicted, and who may use
 * what is loaded. A grant pins its slot until it is released; a pinned slot
 * is never evicted. A grant whose holder died keeps its pin until the engine
 * reports the request gone or its hard deadline has passed.
 *
 * A new owner starts in recovery: it evicts nothing until it has the engine's
 * state and every reachable instance has told its live grants, or until the
 * longest grant of the last owner has passed its hard deadline.
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

#define FG_SLOTS_MAX 64

enum fg_slot_state {
	FG_SLOT_EMPTY = 0,
	FG_SLOT_LOADING = 1,
	FG_SLOT_READY = 2,
	FG_SLOT_TAINTED = 3, /* an old order may still change it: no grants */
};

struct fg_slot_view {
	enum fg_slot_state state;
	fg_av av;
	uint32_t pins;
	fg_ms last_use;
	fg_ms since; /* in this state */
};

struct fg_grants_conf {
	uint64_t ep;
	uint64_t fence;
	uint32_t slots;	       /* 1..FG_SLOTS_MAX */
	uint32_t batch;	       /* grants in flight at most */
	uint32_t grant_max_ms; /* hard deadline of any grant */
	uint32_t queue_max;    /* requests waiting for a batch place */
	bool no_pins;	       /* tests: evict without regard to requests */
};

struct fg_grants;
struct fg_grants *fg_grants_new(const struct fg_grants_conf *conf, fg_ms now,
				bool recovering);
void fg_grants_free(struct fg_grants *g);

/* ---- Grants ---- */

struct fg_grant_request {
	uint64_t holder; /* instance that will run it */
	uint64_t req_id; /* its id of request and attempt; repeats are answered
			  * with the same grant */
	fg_av av;
	enum fg_class cls;
	uint32_t budget_ms;
	uint32_t hold_ms; /* may wait so long for a batch to join */
};

/*
 * Asks for a grant. An ask with hold_ms is held until what runs and what is
 * held fill half a batch, or its time is over; its slot is kept meanwhile.
 * FG_GRANT_OK sets *grant; FG_GRANT_HELD queues the
 * ask: it ends in a callback of fg_grants_serve_held(). Held asks are served by
 * class, then in order of arrival, and refused with FG_GRANT_NO_TIME once their
 * budget is spent.
 */
fg_grant_status fg_grants_request(struct fg_grants *g, fg_ms now,
				  const struct fg_grant_request *ask,
				  uint64_t *grant);

/* Ends a grant; unknown ids are ignored, so a release may be repeated. An ask
 * that ended or was cancelled is refused with FG_GRANT_NO_TIME when a late
 * repeat of it arrives. */
void fg_grants_release(struct fg_grants *g, fg_ms now, uint64_t grant);

/* Call before the release of a grant whose request may be running still: its
 * answer did not come, or was not its own. The slot is kept until the engine
 * says that it runs nothing there. */
void fg_grants_mark_orphaned(struct fg_grants *g, fg_ms now, uint64_t grant);

/* Takes back a held or granted ask of a caller that went away. */
void fg_grants_cancel(struct fg_grants *g, fg_ms now, uint64_t holder,
		      uint64_t req);

/* Serves held asks while there is room, and expires what is due. */
typedef void (*fg_grants_reply)(void *arg, const struct fg_grant_request *ask,
				fg_grant_status status, uint64_t grant);
void fg_grants_serve_held(struct fg_grants *g, fg_ms now, fg_grants_reply reply,
			  void *arg);

/* The holder is dead: its grants keep their pins until the engine says that
 * they are gone (fg_grants_on_engine_state()) or their hard deadline passes. */
void fg_grants_on_holder_dead(struct fg_grants *g, fg_ms now, uint64_t holder);

/* ---- Loads and evictions ---- */

enum fg_load_start_result {
	FG_LOAD_START_OK = 0, /* *slot and *victim are set; give the order */
	FG_LOAD_START_PRESENT = 1, /* loaded or loading already */
	FG_LOAD_START_PINNED = 2,  /* no slot can be emptied now */
	FG_LOAD_START_RECOVERING = 3,
	FG_LOAD_START_LEAVING = 4,
};

/* Chooses a slot for av: empty first, then `prefer` (if unpinned), then the
 * unpinned slot with the lowest score; score may be NULL (least recently
 * used), and keeps a slot by returning INFINITY. Slots that held asks wait
 * for are kept as well. The slot turns LOADING and gives no grants from then
 * on. */
enum fg_load_start_result
fg_grants_start_load(struct fg_grants *g, fg_ms now, fg_av av, fg_av prefer,
		     double (*score)(void *arg, fg_av av), void *arg,
		     uint32_t *slot, fg_av *victim);

/* A score that keeps every slot: then `prefer` alone may be evicted. */
double fg_grants_score_keep(void *arg, fg_av av);

/* The order's outcome. DONE makes the slot READY; FENCED, FAILED, NOT_SENT
 * and BUSY give back what the engine then holds at the next state; LOST keeps
 * the slot TAINTED until the engine's state or life_ms decide. */
void fg_grants_finish_load(struct fg_grants *g, fg_ms now, uint32_t slot,
			   enum fg_order_status status, uint32_t life_ms);

/* ---- The engine's own state, and recovery ---- */

/* Reconciles with what the engine says. `asked_at` is when the state was
 * asked for: changes ordered after that are not undone by it. `find` maps
 * names to numbers. Returns true if the engine restarted since the last. */
bool fg_grants_on_engine_state(struct fg_grants *g, fg_ms now, fg_ms asked_at,
			       const struct fg_engine_state *st,
			       fg_av (*find)(void *arg, const char *adapter,
					     const char *version),
			       void *arg);

/* Recovery: open intents of the last owner, then the peers that must tell
 * their grants (call it with n == 0 when there are none), then what each
 * tells. Of two intents for one slot the one with the higher id is newer. */
void fg_grants_taint_slots(struct fg_grants *g, fg_ms now,
			   const struct fg_intent *intents, size_t n);
void fg_grants_await_peers(struct fg_grants *g, const uint64_t *peers,
			   size_t n);
void fg_grants_on_peer_grants(struct fg_grants *g, fg_ms now, uint64_t peer,
			      const fg_grant_info *infos, size_t n);
/* Peers that have not told yet: copies up to max ids; returns how many. */
size_t fg_grants_awaited_peers(const struct fg_grants *g, uint64_t *ids,
			       size_t max);
void fg_grants_on_peer_gone(struct fg_grants *g, fg_ms now, uint64_t peer);
bool fg_grants_is_recovering(const struct fg_grants *g, fg_ms now);

/* True while the engine checks fencing numbers and has not seen ours. Orders
 * of the last owner still pass then, so asks are answered RECOVERING until
 * an order of ours (a load, or the eviction of an empty slot) has raised it,
 * or until the recovery has run its full time. */
bool fg_grants_needs_fence(const struct fg_grants *g);

/* No new grants; held asks are refused with FG_GRANT_LEAVING. */
void fg_grants_set_leaving(struct fg_grants *g);

/* ---- Reading ---- */

uint32_t fg_grants_in_use(const struct fg_grants *g);
uint32_t fg_grants_held(const struct fg_grants *g);
uint32_t fg_grants_slot_count(const struct fg_grants *g);
struct fg_slot_view fg_grants_view_slot(const struct fg_grants *g,
					uint32_t slot);
bool fg_grants_has_adapter(const struct fg_grants *g, fg_av av);

/* Fills a RESIDENT body (its list is malloc'ed); seq grows on each change. */
void fg_grants_fill_resident(const struct fg_grants *g, fg_resident *out);

/* True once after each change of what is resident, and when the batch became
 * almost full or has room again. */
bool fg_grants_take_changed(struct fg_grants *g);

#endif
