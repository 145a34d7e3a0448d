/*
 * fg_owner - one owner per endpoint, with a fencing number that only grows.
 *
 * Pure. Row owner/<endpoint id, 16 hex digits> =
 *   {"format":1,"owner":"<16 hex digits>","fence":N,"intents":[...]}
 * is changed by compare-and-set on its row version alone. An instance claims
 * an endpoint of its own region when it is the candidate and the row is
 * absent, handed over (owner 0), or held by an instance whose lease row is
 * gone (fg_member_gone()). An instance that lost its own lease claims anew
 * what it had. When the candidate does not claim for FG_OWNER_FALLBACK_MS,
 * any instance of the region may. The load broker of a region and base model
 * is owned the same way, under a key of its own.
 *
 * Order intents: for an engine that ignores fencing numbers, each load or
 * eviction is written to the row before the order and removed after the
 * outcome is known. A new owner finds the open intents of its predecessor and
 * treats their slots as tainted (fg_grant.h) until the engine shows the old
 * order done or its life has passed.
 *
 * Each TABLE action must get exactly one result.
 *
 * What remains possible, for engines that ignore fencing numbers alone: see
 * docs/design/ownership.md.
 */
#ifndef FG_OWNER_H
#define FG_OWNER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/fg_clock.h"
#include "member/fg_member.h"
#include "peer/fg_msg.h"
#include "platform/fg_platform.h"

#define FG_INTENTS_MAX 16 /* open intents of one endpoint */

struct fg_intent {
	uint64_t id;
	uint32_t slot;
	fg_av victim; /* none for a load into an empty slot */
	fg_av av;     /* none for a plain eviction */
	uint64_t fence;
	uint32_t life_ms; /* the order cannot arrive later than this */
};

enum fg_own_state {
	FG_OWN_OTHER = 1,    /* somebody else, see owner */
	FG_OWN_FREE = 2,     /* nobody */
	FG_OWN_CLAIMING = 3, /* our write is on its way */
	FG_OWN_MINE = 4,
	FG_OWN_RELEASING = 5,
};

enum fg_owner_act_type {
	FG_OA_TABLE = 1,
	FG_OA_GAINED =
		2,	/* key is ours with fence; intents of the last owner */
	FG_OA_LOST = 3, /* key is no longer ours; stop orders and grants */
	FG_OA_CHANGED = 4,	 /* owner of key is now `owner` */
	FG_OA_INTENT_OK = 5,	 /* intent_id is stored: the order may go out */
	FG_OA_INTENT_FAILED = 6, /* not stored: the order must not go out */
	FG_OA_RELEASED = 7,	 /* handed over */
};

struct fg_owner_act {
	enum fg_owner_act_type type;
	struct fg_table_op *op; /* TABLE; owned by the receiver */
	uint64_t key;
	uint64_t owner;
	uint64_t fence;
	uint64_t intent_id;
	struct fg_intent intents[FG_INTENTS_MAX]; /* GAINED */
	size_t n_intents;
};

typedef void (*fg_owner_emit)(void *arg, struct fg_owner_act *act);

struct fg_owner_conf {
	uint64_t self;
	uint32_t scan_ms;  /* between reads of all owner rows; longer when there
			    * are many, see FG_OWNER_SCAN_BYTES_PER_S */
	uint32_t retry_ms; /* after a conflict or an unreachable platform */
};

/* Bound on what reading the owner rows costs one instance. */
#define FG_OWNER_SCAN_BYTES_PER_S 2000

/* A key that nobody claims is claimed by others than its candidate after this
 * long; each waits up to as long again at random. */
#define FG_OWNER_FALLBACK_MS 10000

struct fg_owner;

/* Borrows the membership, which must outlive it. */
struct fg_owner *fg_owner_new(const struct fg_owner_conf *conf,
			      const struct fg_member *member, uint64_t seed);
void fg_owner_free(struct fg_owner *o);

/* Adds or updates a key that wants an owner; `leaving` keys are kept by their
 * owner and claimed by nobody. */
void fg_owner_set_key(struct fg_owner *o, uint64_t key, const char *region,
		      const char *dc, bool leaving);

/* Forgets a key that is gone for good; deletes its row if it is ours. The id
 * must not come back, since its fencing numbers would start again. */
void fg_owner_remove_key(struct fg_owner *o, fg_ms now, uint64_t key,
			 fg_owner_emit emit, void *arg);

/* Call at least each 100 ms, and after membership changed. */
void fg_owner_tick(struct fg_owner *o, fg_ms now, fg_owner_emit emit,
		   void *arg);
bool fg_owner_on_table(struct fg_owner *o, fg_ms now,
		       const struct fg_table_result *res, fg_owner_emit emit,
		       void *arg);

/* An OWNED message or a NOT_OWNER reply: a hint, taken if its fence is
 * higher than the one known. */
void fg_owner_on_hint(struct fg_owner *o, fg_ms now, uint64_t key,
		      uint64_t owner, uint64_t fence, fg_owner_emit emit,
		      void *arg);

/* Writes an intent to the row of a key that is ours; ends in INTENT_OK or
 * INTENT_FAILED with its id. Writes due within a tick share one transaction. */
void fg_owner_store_intent(struct fg_owner *o, fg_ms now, uint64_t key,
			   const struct fg_intent *intent, fg_owner_emit emit,
			   void *arg);

/* Removes an intent; done lazily with the next write. */
void fg_owner_remove_intent(struct fg_owner *o, uint64_t key,
			    uint64_t intent_id);

/* Hands over everything that is ours: rows get owner 0, fences stay. Nothing
 * is claimed from then on. Each key ends in RELEASED or LOST. */
void fg_owner_release_all(struct fg_owner *o, fg_ms now, fg_owner_emit emit,
			  void *arg);

/* State of a key; *owner and *fence when not NULL. FG_OWN_FREE if unknown. */
enum fg_own_state fg_owner_get_state(const struct fg_owner *o, uint64_t key,
				     uint64_t *owner, uint64_t *fence);

/* True while we own the key and the standing allows acting on it. */
bool fg_owner_may_act(const struct fg_owner *o, uint64_t key, fg_ms now);

/* Calls fn for each key that is ours. */
void fg_owner_for_each_owned(const struct fg_owner *o,
			     void (*fn)(void *arg, uint64_t key,
					uint64_t fence),
			     void *arg);

#endif
