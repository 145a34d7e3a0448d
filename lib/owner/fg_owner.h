/*
 * fg_owner - ownership: one owner instance per endpoint, with a fencing number
 * that only increases.
 *
 * The row owner/<endpoint id, 16 hex digits> holds
 *   {"format":1,"owner":"<16 hex digits>","fence":N,"intents":[...]}
 * and is changed only by compare-and-set on its row version. An instance claims
 * an endpoint of its own region when it is the candidate and the row is absent,
 * handed over (owner 0), or held by an instance whose lease row is gone
 * (fg_member_is_gone()). An instance that lost its own lease claims its former
 * keys again. When the candidate does not claim for FG_OWNER_FALLBACK_MS, any
 * instance of the region may. The load broker of a region and base model is
 * owned in the same way, under its own key.
 *
 * Order intents: for an engine that ignores fencing numbers, the owner writes
 * an intent to the row before each load or eviction order, and removes it when
 * the outcome is known. A new owner reads the open intents of its predecessor
 * and treats their slots as tainted (fg_grant.h) until the engine shows the old
 * order's effect or the order's life has passed. docs/design/ownership.md
 * describes the failures that remain possible; they affect only engines that
 * ignore fencing numbers.
 *
 * The module does no I/O and reads no clock. It emits actions through a
 * callback; the caller passes the time. Each TABLE action must get exactly one
 * result, passed to fg_owner_on_table().
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
	uint32_t life_ms; /* time after which the order can no longer arrive */
};

enum fg_own_state {
	FG_OWN_OTHER = 1,    /* another instance is the owner */
	FG_OWN_FREE = 2,     /* no owner */
	FG_OWN_CLAIMING = 3, /* this instance's claim is in flight */
	FG_OWN_MINE = 4,     /* this instance is the owner */
	FG_OWN_RELEASING = 5,
};

enum fg_owner_act_type {
	/* Run `op` and pass its result to fg_owner_on_table(). */
	FG_OA_TABLE = 1,
	/* This instance owns `key` with `fence`; `intents` are the open ones
	 * of the last owner. */
	FG_OA_GAINED = 2,
	/* `key` is no longer owned: send no more orders and grants for it. */
	FG_OA_LOST = 3,
	FG_OA_CHANGED = 4,	 /* the owner of `key` is now `owner` */
	FG_OA_INTENT_OK = 5,	 /* intent stored: the order may be sent */
	FG_OA_INTENT_FAILED = 6, /* intent not stored: send no order */
	FG_OA_RELEASED = 7,	 /* `key` was handed over */
};

struct fg_owner_act {
	enum fg_owner_act_type type;
	struct fg_table_op *op; /* TABLE; the callback takes ownership */
	uint64_t key;
	uint64_t owner;
	uint64_t fence;
	uint64_t intent_id;
	struct fg_intent intents[FG_INTENTS_MAX]; /* GAINED */
	size_t n_intents;
};

typedef void (*fg_owner_emit)(void *arg, struct fg_owner_act *act);

struct fg_owner_conf {
	uint64_t self;	   /* id of this instance */
	uint32_t scan_ms;  /* interval of scans of all owner rows; longer when
			    * there are many, see FG_OWNER_SCAN_BYTES_PER_S */
	uint32_t retry_ms; /* pause after a failed table operation */
};

/* Bounds the cost of scans: the average rate at which one instance reads owner
 * rows. */
#define FG_OWNER_SCAN_BYTES_PER_S 2000

/* Instances other than the candidate claim an unclaimed key after this time
 * plus a random time of up to the same length. */
#define FG_OWNER_FALLBACK_MS 10000

struct fg_owner;

/* Borrows the membership, which must outlive the object. Free the object with
 * fg_owner_free(), which accepts NULL. */
struct fg_owner *fg_owner_new(const struct fg_owner_conf *conf,
			      const struct fg_member *member, uint64_t seed);
void fg_owner_free(struct fg_owner *o);

/* Adds or updates a key that needs an owner. A `leaving` key keeps its owner,
 * but no instance claims it. The strings are interned. */
void fg_owner_set_key(struct fg_owner *o, uint64_t key, const char *region,
		      const char *dc, bool leaving);

/* Removes a key for good and deletes its row if this instance owns it. The id
 * must not be used again, because its fencing numbers would start over. */
void fg_owner_remove_key(struct fg_owner *o, fg_ms now, uint64_t key,
			 fg_owner_emit emit, void *arg);

/* Scans, claims and writes what is due. Call it at least every 100 ms, and
 * after the membership changed. */
void fg_owner_tick(struct fg_owner *o, fg_ms now, fg_owner_emit emit,
		   void *arg);

/* Applies the result of a TABLE action. Returns false if the operation is not
 * one of this module. */
bool fg_owner_on_table(struct fg_owner *o, fg_ms now,
		       const struct fg_table_result *res, fg_owner_emit emit,
		       void *arg);

/* Applies the owner and fence named by an OWNED message or a NOT_OWNER reply.
 * They are a hint: accepted only if the fence is higher than the known one, and
 * checked against the row before a claim. */
void fg_owner_on_hint(struct fg_owner *o, fg_ms now, uint64_t key,
		      uint64_t owner, uint64_t fence, fg_owner_emit emit,
		      void *arg);

/* Writes an intent to the row of an owned key and emits INTENT_OK or
 * INTENT_FAILED with the intent's id. Writes due in the same tick share one
 * transaction. */
void fg_owner_store_intent(struct fg_owner *o, fg_ms now, uint64_t key,
			   const struct fg_intent *intent, fg_owner_emit emit,
			   void *arg);

/* Removes a stored intent; the row changes with its next write. */
void fg_owner_remove_intent(struct fg_owner *o, uint64_t key,
			    uint64_t intent_id);

/* Hands over all owned keys: their rows get owner 0 and keep their fence. This
 * instance claims no keys from then on. RELEASED or LOST is emitted for each
 * key. */
void fg_owner_release_all(struct fg_owner *o, fg_ms now, fg_owner_emit emit,
			  void *arg);

/* Returns the state of a key, FG_OWN_FREE if the key is unknown. Sets *owner
 * and *fence (0 if unknown) unless they are NULL. */
enum fg_own_state fg_owner_get_state(const struct fg_owner *o, uint64_t key,
				     uint64_t *owner, uint64_t *fence);

/* True while this instance owns the key and its standing allows acting on it.
 */
bool fg_owner_may_act(const struct fg_owner *o, uint64_t key, fg_ms now);

/* Calls fn for each owned key (FG_OWN_MINE). */
void fg_owner_for_each_owned(const struct fg_owner *o,
			     void (*fn)(void *arg, uint64_t key,
					uint64_t fence),
			     void *arg);

#endif
