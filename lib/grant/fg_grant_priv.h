/*
 * fg_grant_priv - the state behind fg_grant.h, shared by its three parts:
 * fg_grant.c (slots and loads), fg_grant_ask.c (grants and held asks) and
 * fg_grant_recover.c (the engine's state and recovery).
 */
#ifndef FG_GRANT_PRIV_H
#define FG_GRANT_PRIV_H

#include <glib.h>

#include "grant/fg_grant.h"

/* A holder cancels its run at the deadline; the pin outlives that message. */
#define FG_EXPIRE_GRACE_MS 500
/* A request sent by a holder that then died may still be on its way. */
#define FG_DEAD_GRACE_MS 500
/* Ended asks that are remembered at most. */
#define FG_ENDED_MAX 8192

/* Values of fg_grant_rec.slot that are no slot. */
#define FG_SLOT_NOT_KNOWN (-1) /* told before the engine's state was read */
#define FG_SLOT_GONE (-2)      /* the engine no longer holds its adapter */

struct fg_slot {
	enum fg_slot_state state;
	fg_av av;     /* READY: held; LOADING: coming; else none */
	fg_av victim; /* LOADING and TAINTED: held before, as far as known */
	fg_av want;   /* TAINTED: what the open order would put here */
	uint32_t pins;
	fg_ms last_use;
	fg_ms since;
	fg_ms taint_until;   /* TAINTED: the open order is dead from here on */
	bool expects_empty;  /* TAINTED: the open order is an eviction */
	bool epoch_changed;  /* LOADING: engine restarted meanwhile */
	uint32_t running;    /* as the engine said ... */
	fg_ms running_at;    /* ... when asked at this time */
	fg_ms last_unpinned; /* when pins last went down */
	/* Requests without a grant may run here: those of a last owner's
	 * grants, of grants that expired unreleased, or whose end nobody saw.
	 * Ends once the engine, asked at this time or later, runs nothing here;
	 * FG_MS_NEVER: none. */
	fg_ms strays_since;
};

struct fg_req_key {
	uint64_t holder; /* 0: req is the id of a grant */
	uint64_t req;
};

struct fg_grant_rec {
	uint64_t id;
	struct fg_req_key key;
	fg_av av;
	int32_t slot;
	fg_ms deadline; /* hard: the pin ends here at the latest */
	bool dead;	/* its holder died ... */
	fg_ms dead_at;	/* ... at this time */
};

struct fg_held {
	struct fg_req_key key;
	struct fg_grant_request ask;
	fg_ms deadline;
	fg_ms hold_until; /* for a batch to join */
};

struct fg_ended {
	struct fg_req_key key;
	fg_ms until;
};

struct fg_grants {
	struct fg_grants_conf conf;
	struct fg_slot slot[FG_SLOTS_MAX];
	uint64_t next_id;
	uint32_t in_use;    /* sum of all pins */
	GHashTable *grants; /* id -> fg_grant_rec, owns */
	GHashTable *by_key; /* key -> fg_grant_rec, borrows */
	GQueue held[FG_CLASS_COUNT];
	GHashTable *held_by_key; /* key -> GList link in held */
	GHashTable *ended;	 /* key -> fg_ended, owns */
	GQueue ended_fifo;	 /* fg_ended, borrowed, oldest first */

	bool leaving;	     /* told by fg_grants_set_leaving() */
	bool engine_leaving; /* said by the engine */
	bool fenced;	     /* the engine has seen a higher fence */
	bool checks_fence;
	uint64_t seen_fence; /* highest that the engine has seen */

	bool have_state;
	uint64_t epoch;
	fg_ms last_asked;

	bool recovering;
	bool expected; /* fg_grants_await_peers() was called */
	fg_ms recover_end;
	GHashTable *peers; /* ids that have yet to tell their grants */

	uint64_t seq;
	bool changed;
	bool full; /* as last told: hardly room for more */
};

/* Records a change of what is resident. */
void fg_grants_note_change(struct fg_grants *g);

/* Puts a grant's pin on a slot, or takes it off. */
void fg_grants_pin(struct fg_grants *g, struct fg_grant_rec *rec, int32_t slot);
void fg_grants_unpin(struct fg_grants *g, fg_ms now, struct fg_grant_rec *rec);

/* Adds a grant; takes ownership of rec. */
void fg_grants_insert(struct fg_grants *g, struct fg_grant_rec *rec);

/* Ends a grant and remembers its key. */
void fg_grants_end(struct fg_grants *g, fg_ms now, struct fg_grant_rec *rec);

/* Remembers that key has ended, so that a late repeat is not granted. */
void fg_grants_remember(struct fg_grants *g, fg_ms now, struct fg_req_key key);
bool fg_grants_ended(const struct fg_grants *g, struct fg_req_key key);

/* Holders whose grants are not known died: their requests may be running, or
 * reach the engine shortly. */
void fg_grants_expect_strays(struct fg_grants *g, fg_ms now);

/* Ends recovery when it is complete. */
void fg_grants_check_recovery(struct fg_grants *g, fg_ms now);

/* True when the engine's state is known and no predecessor's order can pass
 * unseen, so that grants are safe. */
bool fg_grants_safe(const struct fg_grants *g, fg_ms now);

/* READY or LOADING slot with av; -1 when there is none. */
int32_t fg_grants_find(const struct fg_grants *g, fg_av av,
		       enum fg_slot_state state);

/* True while an open order may replace a copy of av: the engine could run a
 * request on that copy, so no grant is given for any other copy either. */
bool fg_grants_replaced(const struct fg_grants *g, fg_av av);

guint fg_req_key_hash(gconstpointer p);
gboolean fg_req_key_equal(gconstpointer a, gconstpointer b);

#endif
