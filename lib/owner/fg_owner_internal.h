/*
 * fg_owner_internal - state shared by the parts of fg_owner.
 *
 *   fg_owner.c         keys, tick, public functions
 *   fg_owner_claim.c   which keys to claim, and claiming them
 *   fg_owner_write.c   intents and releases: writes to rows that are ours
 *   fg_owner_table.c   operations on the table, scans, rows as they are read
 *   fg_owner_row.c     the codec of the owner row
 */
#ifndef FG_OWNER_INTERNAL_H
#define FG_OWNER_INTERNAL_H

#include <glib.h>
#include <inttypes.h>

#include "base/fg_rand.h"
#include "owner/fg_owner.h"

#define FG_OWNER_OP_TAG (UINT64_C(0x4f) << 56)
#define FG_OWNER_PREFIX "owner/"

/* The value of an owner row. */
struct fg_owner_row {
	uint64_t owner;
	uint64_t fence;
	struct fg_intent intents[FG_INTENTS_MAX];
	size_t n_intents;
};

enum fg_intent_step {
	FG_INTENT_NEW = 1,     /* to be written */
	FG_INTENT_WRITING = 2, /* in a write under way, or without answer */
	FG_INTENT_STORED = 3,
};

struct fg_own_intent {
	struct fg_intent in;
	enum fg_intent_step step;
	uint32_t tries;
};

struct fg_own_key {
	uint64_t key;
	const char *region; /* interned */
	const char *dc;	    /* interned */
	bool leaving;

	enum fg_own_state state;
	uint64_t owner; /* as the row says, 0 nobody */
	uint64_t fence;
	uint64_t row_version; /* 0 absent or never read */
	fg_ms learnt_at;      /* when this version was first known */
	uint64_t epoch;	      /* MINE: our lease's epoch at the claim */
	uint64_t scan;	      /* number of the last scan that showed the row */
	bool hinted;	      /* known by a hint alone; read before a claim */

	bool busy;	      /* in an operation under way */
	bool alone;	      /* its next write shares no transaction */
	bool read_due;	      /* read the row back before anything else */
	fg_ms retry_at;	      /* no claim or release before */
	fg_ms free_since;     /* may be claimed since then; 0 may not */
	uint64_t claim_fence; /* CLAIMING: written by our claim */

	/* Ours: what the row shall hold. Others': what it holds. */
	struct fg_own_intent *intents; /* NULL when there are none */
	size_t n_intents;
};

enum fg_oop_kind {
	FG_OOP_SCAN = 1,
	FG_OOP_READ = 2,
	FG_OOP_CLAIM = 3,
	FG_OOP_RELEASE = 4,
	FG_OOP_INTENTS = 5,
	FG_OOP_DROP = 6,
};

/* An operation under way. */
struct fg_oop {
	enum fg_oop_kind kind;
	fg_ms sent_at;
	uint64_t epoch;
	size_t n;
	uint64_t keys[FG_TXN_MAX];
};

struct fg_owner {
	struct fg_owner_conf conf;
	const struct fg_member *member;
	struct fg_rand rand;
	GHashTable *keys; /* key -> struct fg_own_key */
	GHashTable *ops;  /* op id -> struct fg_oop */
	uint64_t next_op;
	uint64_t epoch; /* of our lease, as last seen */
	bool releasing;

	bool scan_busy;
	bool scanned; /* a scan has come back */
	uint64_t scan;
	size_t scan_rows;
	fg_ms scan_at;

	bool work_due;	      /* a key needs a write or a read */
	fg_ms pass_at;	      /* next look for keys to claim */
	uint64_t generation;  /* of the membership at the last look */
	uint32_t claims_busy; /* claims under way */

	fg_owner_emit emit; /* of the call under way */
	void *arg;
};

/* ---- fg_owner.c ---- */
struct fg_own_key *fg_owner_key(const struct fg_owner *o, uint64_t key);
void fg_owner_emit_act(struct fg_owner *o, enum fg_owner_act_type type,
		       const struct fg_own_key *k);
void fg_owner_emit_intent(struct fg_owner *o, enum fg_owner_act_type type,
			  const struct fg_own_key *k, uint64_t intent_id);
/* The key turned out not to be ours any more. */
void fg_owner_lose(struct fg_owner *o, struct fg_own_key *k);

/* ---- fg_owner_claim.c ---- */
void fg_owner_claim_tick(struct fg_owner *o, fg_ms now);
void fg_owner_claim_result(struct fg_owner *o, fg_ms now,
			   const struct fg_oop *oop,
			   const struct fg_table_result *res);
/* The claim took effect at row_version. */
void fg_owner_claim_won(struct fg_owner *o, fg_ms now, struct fg_own_key *k,
			uint64_t row_version, uint64_t epoch);

/* ---- fg_owner_write.c ---- */
void fg_owner_write_tick(struct fg_owner *o, fg_ms now);
void fg_owner_write_result(struct fg_owner *o, fg_ms now,
			   const struct fg_oop *oop,
			   const struct fg_table_result *res);
void fg_owner_intents_fail(struct fg_owner *o, struct fg_own_key *k);
void fg_owner_released(struct fg_owner *o, fg_ms now, struct fg_own_key *k,
		       uint64_t row_version);
/* The row as read back holds these intents of ours. */
void fg_owner_intents_found(struct fg_owner *o, fg_ms now, struct fg_own_key *k,
			    const struct fg_owner_row *row);

/* ---- fg_owner_table.c ---- */
struct fg_table_op *fg_owner_op(struct fg_owner *o, enum fg_op_kind kind,
				const char *key);
void fg_owner_submit(struct fg_owner *o, fg_ms now, struct fg_table_op *op,
		     const struct fg_oop *oop);
void fg_owner_key_name(uint64_t key, char *out, size_t len_bytes);
/* Adds the write of key k to op and oop. */
void fg_owner_add_write(struct fg_table_op *op, struct fg_oop *oop,
			struct fg_own_key *k, uint64_t owner, uint64_t fence);
void fg_owner_scan_tick(struct fg_owner *o, fg_ms now);
void fg_owner_read_tick(struct fg_owner *o, fg_ms now);
/* A row was read; NULL: it is absent. */
void fg_owner_row_read(struct fg_owner *o, fg_ms now, struct fg_own_key *k,
		       const struct fg_row *row);
/* A write conflicted: takes in the row in the way; true when it is k's. */
bool fg_owner_in_the_way(struct fg_owner *o, fg_ms now, struct fg_own_key *k,
			 const struct fg_table_result *res);

/* ---- fg_owner_row.c ---- */
char *fg_owner_row_encode(const struct fg_owner_row *row); /* g_free() */
bool fg_owner_row_decode(const char *value, struct fg_owner_row *row);

#endif
