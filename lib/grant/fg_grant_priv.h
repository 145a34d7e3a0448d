/*
 * fg_grant_priv - internals of fg_grant.h, shared by its three parts:
 *
 *   fg_grant.c          slots, loads, accessors
 *   fg_grant_request.c  grants and held requests
 *   fg_grant_recover.c  engine state and recovery
 */
#ifndef FG_GRANT_PRIV_H
#define FG_GRANT_PRIV_H

#include <glib.h>

#include "grant/fg_grant.h"

/* A holder cancels its request at the deadline; the pin stays this much longer
 * so that the cancellation reaches the engine first. */
#define FG_EXPIRE_GRACE_MS 500
/* A request sent by a holder that then died reaches the engine within this
 * time. */
#define FG_ORPHAN_GRACE_MS 500
/* Upper bound on the ended requests that are remembered. */
#define FG_ENDED_MAX 8192

/* Values of fg_grant_rec.slot that are no slot. NOT_KNOWN: the engine's state
 * has not been read yet. GONE: no slot holds the grant's adapter any more. */
#define FG_GRANT_SLOT_NOT_KNOWN (-1)
#define FG_GRANT_SLOT_GONE (-2)

struct fg_grant_slot {
	enum fg_grant_slot_state state;
	fg_av av;	/* READY: resident; LOADING: being loaded; else none */
	fg_av victim;	/* LOADING, TAINTED: resident before, if known */
	fg_av incoming; /* TAINTED: what the open order would load */
	uint32_t pins;
	fg_ms last_use;
	fg_ms since;	    /* time of the last change of state */
	fg_ms taint_until;  /* TAINTED: the open order cannot arrive later */
	bool expects_empty; /* TAINTED: the open order is an eviction */
	bool epoch_changed; /* LOADING: the engine has restarted */
	uint32_t running;   /* requests that the engine runs here */
	fg_ms running_asked_at; /* when `running` was asked for */
	fg_ms last_unpinned;	/* when `pins` last decreased */
	/* Orphaned requests, which no grant covers, may run here: those of the
	 * last owner's grants, those whose grant expired without a release, and
	 * those that fg_grants_mark_orphaned() named. They count as ended once
	 * the engine's state, asked for at this time or later, shows that
	 * nothing runs here. FG_MS_NEVER: no orphans. */
	fg_ms orphans_since;
};

struct fg_req_key {
	uint64_t holder; /* 0: req_id is the id of a grant */
	uint64_t req_id;
};

struct fg_grant_rec {
	uint64_t id;
	struct fg_req_key key;
	fg_av av;
	int32_t slot;
	fg_ms deadline; /* hard: the pin is removed then */
	bool holder_dead;
	fg_ms holder_dead_at;
};

struct fg_held_request {
	struct fg_req_key key;
	struct fg_grant_request request;
	fg_ms deadline;
	fg_ms hold_until; /* waits for a fuller batch until then */
};

struct fg_ended_request {
	struct fg_req_key key;
	fg_ms until;
};

struct fg_grants {
	struct fg_grants_conf conf;
	struct fg_grant_slot slot[FG_GRANT_SLOTS_MAX];
	uint64_t next_id;
	uint32_t in_use;	     /* sum of all pins */
	GHashTable *grants;	     /* id -> fg_grant_rec, owns */
	GHashTable *by_key;	     /* fg_req_key -> fg_grant_rec, borrows */
	GQueue held[FG_CLASS_COUNT]; /* fg_held_request, owns */
	GHashTable *held_by_key;     /* fg_req_key -> GList link in held */
	GHashTable *ended;	     /* fg_req_key -> fg_ended_request, owns */
	GQueue ended_fifo; /* fg_ended_request, borrows, oldest first */

	bool leaving;	       /* fg_grants_set_leaving() was called */
	bool engine_leaving;   /* reported by the engine */
	bool fenced;	       /* the engine has seen a higher fence */
	bool checks_fence;     /* reported by the engine */
	uint64_t engine_fence; /* highest fence that the engine has seen */

	bool have_state;     /* the slots' content is known */
	uint64_t epoch;	     /* of the engine's last state */
	fg_ms last_asked_at; /* when the last accepted state was asked for */

	bool recovering;
	bool peers_known;	   /* fg_grants_await_peers() was called */
	fg_ms recovery_end;	   /* latest end of recovery */
	GHashTable *awaited_peers; /* ids that have not reported their grants */

	uint64_t seq; /* of the RESIDENT message */
	bool changed; /* for fg_grants_take_changed() */
	bool full;    /* the batch was almost full when last announced */
};

/* Records a change that the next RESIDENT message must announce. */
void fg_grants_note_change(struct fg_grants *g);

/* Adds a grant's pin to a slot, or removes the pin. */
void fg_grants_pin_slot(struct fg_grants *g, struct fg_grant_rec *rec,
			int32_t slot);
void fg_grants_unpin_slot(struct fg_grants *g, fg_ms now,
			  struct fg_grant_rec *rec);

/* Adds a grant; takes ownership of rec. */
void fg_grants_add_grant(struct fg_grants *g, struct fg_grant_rec *rec);

/* Unpins and frees a grant, and remembers its key and id as ended. */
void fg_grants_end_grant(struct fg_grants *g, fg_ms now,
			 struct fg_grant_rec *rec);

/* Remembers that a request or grant has ended, so that a late repeat gets no
 * grant. */
void fg_grants_remember_ended(struct fg_grants *g, fg_ms now,
			      struct fg_req_key key);
bool fg_grants_has_ended(const struct fg_grants *g, struct fg_req_key key);

/* Marks all slots as possibly used by orphaned requests, after the death of
 * holders whose grants are unknown: their requests may be running, or reach the
 * engine within FG_ORPHAN_GRACE_MS. */
void fg_grants_expect_orphans(struct fg_grants *g, fg_ms now);

/* Ends recovery if it is complete. */
void fg_grants_check_recovery(struct fg_grants *g, fg_ms now);

/* True if grants are safe: the engine's state is known, and the engine obeys no
 * order of a former owner. */
bool fg_grants_can_grant(const struct fg_grants *g, fg_ms now);

/* Returns the slot in `state` (READY or LOADING) with av; -1 if none. */
int32_t fg_grants_find_slot(const struct fg_grants *g, fg_av av,
			    enum fg_grant_slot_state state);

/* True while an open order may replace a copy of av. The engine could run a
 * request on that copy, so no grant is given for the other copies either. */
bool fg_grants_is_being_replaced(const struct fg_grants *g, fg_av av);

guint fg_req_key_hash(gconstpointer p);
gboolean fg_req_key_equal(gconstpointer a, gconstpointer b);

#endif
