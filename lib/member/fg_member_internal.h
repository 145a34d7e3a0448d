/*
 * fg_member_internal - state shared by the parts of fg_member.
 *
 *   fg_member.c           life cycle, tick, list, candidates
 *   fg_member_table.c     operations on the table and their results
 *   fg_member_lease.c     our own lease row
 *   fg_member_peers.c     what is known of other instances, reaping
 *   fg_member_ping.c      pings, pongs, suspicions, surveys
 *   fg_member_standing.c  quorums and the standing
 *   fg_member_row.c       the codec of the lease row
 */
#ifndef FG_MEMBER_INTERNAL_H
#define FG_MEMBER_INTERNAL_H

#include <glib.h>

#include "base/fg_rand.h"
#include "member/fg_member.h"

#define FG_MEMBER_OP_TAG (UINT64_C(0x4d) << 56)
#define FG_MEMBER_KEY_PREFIX "session/"

/* The value of a lease row. */
struct fg_lease_row {
	uint64_t boot;
	bool leaving;
	uint32_t region_size;  /* instances of its region that it counted */
	uint32_t total_size;   /* likewise of all regions */
	struct fg_listed info; /* id and name come from the key */
};

/* Another instance. */
struct fg_peer_entry {
	struct fg_peer_view view; /* first, fg_member_find() returns it */
	uint64_t order;		  /* place on the hash ring */

	/* Lease row. */
	bool has_row;
	uint64_t row_version;
	uint32_t region_size; /* as its row says */
	uint32_t total_size;
	fg_ms seen_at;	 /* when its version was first seen */
	fg_ms read_at;	 /* last read that covered it was sent then */
	fg_ms absent_at; /* a read sent then found no row; 0 never */
	fg_ms lapsed_at; /* the lease was seen lapsed; 0 no */
	fg_ms proven_at; /* a quorum has answered since; 0 no */
	bool replaced;	 /* another runs at its address by now */
	uint64_t scan;	 /* number of the last scan that showed the row */
	bool op_busy;	 /* a GET or DELETE of the row is under way */

	/* Pings. */
	fg_ms reach_at;	     /* the newest answered ping was sent then */
	fg_ms attest_at;     /* likewise, by an instance that may act */
	fg_ms pinged_at;     /* last ping */
	fg_ms asked_at;	     /* first ping without answer since; 0 none */
	fg_ms hinted_at;     /* last suspicion passed on */
	uint32_t unanswered; /* pings since reach_at */
	bool suspect;	     /* by pings or lease */
	fg_ms suspect_at;    /* since then */
	bool leaving;
};

enum fg_mop_kind {
	FG_MOP_RENEW = 1,
	FG_MOP_READ_OWN = 2,
	FG_MOP_QUIT = 3,
	FG_MOP_SCAN = 4,
	FG_MOP_GET = 5,
	FG_MOP_DELETE = 6,
};

/* An operation under way. */
struct fg_mop {
	enum fg_mop_kind kind;
	uint64_t peer; /* GET, DELETE */
	fg_ms sent_at;
	uint32_t region_size; /* RENEW: as written */
	uint32_t total_size;
};

struct fg_own_lease {
	bool held;
	bool ever_held;
	bool superseded;  /* another run uses our name: never act again */
	bool unsure;	  /* read the row back before the next write */
	bool busy;	  /* an operation on the row is under way */
	uint64_t busy_op; /* its id */
	fg_ms busy_since;
	uint64_t version;   /* of the row; 0 when absent */
	fg_ms sent_at;	    /* when the newest renewal that holds was sent */
	fg_ms lost_sent_at; /* when a write without answer was sent; 0 none */
	fg_ms next_at;	    /* next renewal or read */
	fg_ms early_at;	    /* none before next_at until then */
	uint64_t epoch;
	/* What our row says of the sizes of the region and of all; a range
	 * while a write has no answer yet. */
	uint32_t region_least;
	uint32_t region_most;
	uint32_t total_most;
};

struct fg_member {
	struct fg_member_conf conf;
	char key[FG_ROW_KEY_MAX];
	struct fg_rand rand;
	bool started; /* a tick has been seen */
	fg_ms last_tick;
	fg_ms resumed_at; /* start, or end of the last pause */
	bool leaving;
	bool quitting;

	struct fg_own_lease lease;
	GHashTable *peers; /* id -> struct fg_peer_entry */
	GPtrArray *ring;   /* entries of our region with a row, by order */
	bool ring_stale;
	uint64_t generation;

	GHashTable *ops; /* op id -> struct fg_mop */
	uint64_t next_op;
	fg_ms scan_at; /* next scan */
	bool scan_busy;
	bool replaced;	  /* another runs at its address by now */
	uint64_t scan;	  /* number of the scan under way */
	bool scan_due;	  /* at the next chance */
	fg_ms scanned_at; /* last whole scan was sent then; 0 never */
	size_t scan_rows; /* it showed so many */
	fg_ms list_at;	  /* next read of the list */
	fg_ms list_sent_at;
	size_t listed;	      /* entries in the last list */
	fg_ms table_ok_at;    /* last answer from the table; 0 never */
	fg_ms table_up_since; /* without a gap */
	uint32_t gets;	      /* single reads in this tick */

	fg_ms own_contact;   /* we reached the platform then; 0 never */
	fg_ms heard_contact; /* a peer said that it did */
	fg_ms relay_contact; /* a peer said that others did */

	fg_ms ping_at;	 /* next pings of neighbours */
	fg_ms survey_at; /* next pings of many */
	uint32_t survey_round;
	enum fg_standing standing; /* last emitted */

	uint64_t revision;
	uint32_t confirm_age_ms;
	fg_ms confirm_set_at;

	fg_member_emit emit; /* of the call under way */
	void *arg;
};

/* ---- fg_member.c ---- */
struct fg_peer_entry *fg_member_entry(struct fg_member *m, uint64_t id);
void fg_member_emit_act(struct fg_member *m, enum fg_member_act_type type,
			uint64_t to);
bool fg_member_same_region(const struct fg_member *m,
			   const struct fg_peer_entry *e);

/* ---- fg_member_table.c ---- */
void fg_member_submit(struct fg_member *m, fg_ms now, struct fg_table_op *op,
		      const struct fg_mop *mop);
struct fg_table_op *fg_member_op(struct fg_member *m, enum fg_op_kind kind,
				 const char *key);
void fg_member_scan_soon(struct fg_member *m, fg_ms now);
void fg_member_scan_tick(struct fg_member *m, fg_ms now);
void fg_member_get_row(struct fg_member *m, fg_ms now, struct fg_peer_entry *e);

/* ---- fg_member_lease.c ---- */
void fg_member_lease_tick(struct fg_member *m, fg_ms now);
void fg_member_lease_result(struct fg_member *m, fg_ms now,
			    const struct fg_mop *mop,
			    const struct fg_table_result *res);
bool fg_member_lease_fresh(const struct fg_member *m, fg_ms now);
fg_ms fg_member_lease_end(const struct fg_member *m);

/* ---- fg_member_peers.c ---- */
void fg_member_row_seen(struct fg_member *m, fg_ms now, fg_ms sent_at,
			const struct fg_row *row);
void fg_member_row_absent(struct fg_member *m, struct fg_peer_entry *e,
			  fg_ms sent_at);
void fg_member_refresh_state(struct fg_member *m, struct fg_peer_entry *e);
void fg_member_set_suspect(struct fg_member *m, fg_ms now,
			   struct fg_peer_entry *e, bool suspect);
void fg_member_peers_tick(struct fg_member *m, fg_ms now);
void fg_member_delete_result(struct fg_member *m, fg_ms now,
			     const struct fg_mop *mop,
			     const struct fg_table_result *res);
bool fg_member_reaping(const struct fg_member *m, fg_ms now);
bool fg_member_reaping_small(const struct fg_member *m, fg_ms now);

/* ---- fg_member_ping.c ---- */
void fg_member_ping_tick(struct fg_member *m, fg_ms now);
void fg_member_hint(struct fg_member *m, fg_ms now, struct fg_peer_entry *e);
void fg_member_ping_one(struct fg_member *m, fg_ms now,
			struct fg_peer_entry *e);

/* ---- fg_member_standing.c ---- */
/* Counts over instances with a lease row, this one included. */
struct fg_tally {
	uint32_t size;
	uint32_t reached;   /* answered a ping sent after a given time */
	uint32_t attesting; /* likewise, and may act themselves */
};

struct fg_tally fg_member_region_tally(const struct fg_member *m, fg_ms since);
struct fg_tally fg_member_total_tally(const struct fg_member *m, fg_ms since);
/* How many of n hold on together. */
uint32_t fg_member_hold_quorum(uint32_t n);
/* In a region this small, an instance that is cut off alone cannot tell, so
 * the instances of all regions are asked too. */
bool fg_member_is_small(uint32_t region_size);
/* What the standing would be without the caution after a pause. */
enum fg_standing fg_member_base_standing(const struct fg_member *m, fg_ms now);
void fg_member_standing_tick(struct fg_member *m, fg_ms now);
fg_ms fg_member_contact(const struct fg_member *m);

/* ---- fg_member_row.c ---- */
char *fg_lease_row_encode(const struct fg_lease_row *row); /* g_free() */
bool fg_lease_row_decode(const char *key, const char *value,
			 struct fg_lease_row *row);

#endif
