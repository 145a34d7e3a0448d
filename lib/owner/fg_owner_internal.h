/*
 * fg_owner_internal - internals shared by the parts of fg_owner.
 *
 *   fg_owner.c         keys, tick, public functions
 *   fg_owner_claim.c   which keys to claim, and claiming them
 *   fg_owner_write.c   writes to owned rows: intents and releases
 *   fg_owner_table.c   table operations, scans, applying rows that were read
 *   fg_owner_row.c     codec of the owner row
 *
 * "This instance" is the one that runs the module (fg_owner_conf.self).
 */
#ifndef FG_OWNER_INTERNAL_H
#define FG_OWNER_INTERNAL_H

#include <glib.h>
#include <inttypes.h>

#include "base/fg_rand.h"
#include "owner/fg_owner.h"

/* Top byte of the ids of this module's table operations. */
#define FG_OWNER_OP_ID_TAG (UINT64_C(0x4f) << 56)
#define FG_OWNER_PREFIX "owner/"

/* Decoded value of an owner row. */
struct fg_owner_row {
	uint64_t owner;
	uint64_t fence;
	struct fg_intent intents[FG_INTENTS_MAX];
	size_t n_intents;
};

enum fg_intent_state {
	FG_INTENT_NEW = 1,     /* to be written */
	FG_INTENT_WRITING = 2, /* write in flight, or its outcome unknown */
	FG_INTENT_STORED = 3,
};

struct fg_own_intent {
	struct fg_intent intent;
	enum fg_intent_state state;
	uint32_t attempts; /* failed writes */
};

struct fg_own_key {
	uint64_t key;
	const char *region; /* interned */
	const char *dc;	    /* interned */
	bool leaving;

	enum fg_own_state state;
	uint64_t owner; /* according to the row; 0: none */
	uint64_t fence;
	uint64_t row_version; /* 0: absent or never read */
	fg_ms known_since;    /* when this row version was first known */
	uint64_t claim_epoch; /* epoch of this instance's lease at the claim */
	uint64_t last_scan;   /* number of the last scan that listed the row */
	bool from_hint;	      /* owner known from a hint only: read the row
			       * before a claim */

	bool op_in_flight;     /* an operation on the row is in flight */
	bool write_alone;      /* the next write gets its own transaction */
	bool read_due;	       /* the row is read before any other operation */
	fg_ms retry_at;	       /* no claim, release or read before */
	fg_ms claimable_since; /* with random jitter; 0: not claimable */
	uint64_t claim_fence;  /* CLAIMING: fence that the claim writes */

	/* Owned key: the intents that its row is to hold. Other key: those that
	 * its row holds. NULL when there are none. */
	struct fg_own_intent *intents;
	size_t n_intents;
};

enum fg_owner_op_kind {
	FG_OWNER_OP_SCAN = 1,
	FG_OWNER_OP_READ = 2,
	FG_OWNER_OP_CLAIM = 3,
	FG_OWNER_OP_RELEASE = 4,
	FG_OWNER_OP_INTENTS = 5,
	FG_OWNER_OP_DROP = 6,
};

/* A table operation in flight. */
struct fg_owner_inflight {
	enum fg_owner_op_kind kind;
	fg_ms sent_at;
	uint64_t epoch; /* of this instance's lease at the submission */
	size_t n;
	uint64_t keys[FG_TXN_MAX]; /* in order of the writes */
};

struct fg_owner {
	struct fg_owner_conf conf;
	const struct fg_member *member;
	struct fg_rand rand;
	GHashTable *keys; /* key -> struct fg_own_key, owns */
	GHashTable *ops;  /* op id -> struct fg_owner_inflight, owns */
	uint64_t next_op;
	uint64_t epoch; /* of this instance's lease, at the last tick */
	bool releasing;

	bool scan_in_flight;
	bool scan_done; /* a scan has succeeded */
	uint64_t scan_number;
	size_t scan_rows; /* in the last scan */
	fg_ms next_scan_at;

	bool work_due;	     /* a key needs a write or a read */
	fg_ms pass_at;	     /* next claim pass over all keys */
	uint64_t generation; /* of the membership at the last claim pass */
	uint32_t claims_in_flight; /* transactions */

	fg_owner_emit emit; /* callback of the current call, with its arg */
	void *arg;
};

/* ---- fg_owner.c ---- */

/* NULL when the key is unknown. */
struct fg_own_key *fg_owner_find_key(const struct fg_owner *o, uint64_t key);
void fg_owner_emit_act(struct fg_owner *o, enum fg_owner_act_type type,
		       const struct fg_own_key *k);
void fg_owner_emit_intent(struct fg_owner *o, enum fg_owner_act_type type,
			  const struct fg_own_key *k, uint64_t intent_id);

/* The key is no longer owned: fails the pending intents and emits LOST. */
void fg_owner_lose_key(struct fg_owner *o, struct fg_own_key *k);

/* ---- fg_owner_claim.c ---- */

void fg_owner_claim_tick(struct fg_owner *o, fg_ms now);
void fg_owner_on_claim_result(struct fg_owner *o, fg_ms now,
			      const struct fg_owner_inflight *inflight,
			      const struct fg_table_result *res);

/* The claim of k took effect with row_version (0: version unknown). `epoch` is
 * the epoch of this instance's lease at the claim. */
void fg_owner_apply_claim(struct fg_owner *o, fg_ms now, struct fg_own_key *k,
			  uint64_t row_version, uint64_t epoch);

/* ---- fg_owner_write.c ---- */

void fg_owner_write_tick(struct fg_owner *o, fg_ms now);
void fg_owner_on_write_result(struct fg_owner *o, fg_ms now,
			      const struct fg_owner_inflight *inflight,
			      const struct fg_table_result *res);

/* Removes the intents that are not stored and emits INTENT_FAILED for each. */
void fg_owner_fail_intents(struct fg_owner *o, struct fg_own_key *k);

/* The release of k took effect with row_version (0: version unknown). */
void fg_owner_apply_release(struct fg_owner *o, fg_ms now, struct fg_own_key *k,
			    uint64_t row_version);

/* Settles the intents whose write had an unknown outcome: confirms those that
 * the row read back holds, and retries the others. */
void fg_owner_resolve_intents(struct fg_owner *o, fg_ms now,
			      struct fg_own_key *k,
			      const struct fg_owner_row *row);

/* ---- fg_owner_table.c ---- */

/* Creates a table operation with an id of this module. */
struct fg_table_op *fg_owner_new_op(struct fg_owner *o, enum fg_op_kind kind,
				    const char *key);

/* Emits the operation, which the receiver owns, and records it in flight. */
void fg_owner_submit_op(struct fg_owner *o, fg_ms now, struct fg_table_op *op,
			const struct fg_owner_inflight *inflight);

/* Writes "owner/" and the key's 16 hex digits to out. */
void fg_owner_format_row_key(uint64_t key, char *out, size_t len_bytes);

/* Adds a write of k's row with this owner and fence to op and inflight. */
void fg_owner_add_write(struct fg_table_op *op,
			struct fg_owner_inflight *inflight,
			struct fg_own_key *k, uint64_t owner, uint64_t fence);
void fg_owner_scan_tick(struct fg_owner *o, fg_ms now);
void fg_owner_read_tick(struct fg_owner *o, fg_ms now);

/* Applies a row that was read; NULL: the row is absent. */
void fg_owner_apply_row(struct fg_owner *o, fg_ms now, struct fg_own_key *k,
			const struct fg_row *row);

/* A write conflicted: applies the conflicting row, or has it read if the result
 * does not contain it. Returns false if the row belongs to another key. */
bool fg_owner_apply_conflict(struct fg_owner *o, fg_ms now,
			     struct fg_own_key *k,
			     const struct fg_table_result *res);

/* ---- fg_owner_row.c ---- */

/* Returns the JSON value of the row; free it with g_free(). */
char *fg_owner_row_encode(const struct fg_owner_row *row);

/* Returns false if value is NULL or no valid owner row. */
bool fg_owner_row_decode(const char *value, struct fg_owner_row *row);

#endif
