/*
 * fg_member_internal - state shared by the parts of fg_member.
 *
 *   fg_member.c           life cycle, tick, list, queries
 *   fg_member_table.c     operations on the table and their results
 *   fg_member_lease.c     the own lease row
 *   fg_member_peers.c     other instances: rows, states, reaping
 *   fg_member_ping.c      pings, pongs, suspicions, hints
 *   fg_member_standing.c  quorums and the standing
 *   fg_member_row.c       the codec of the lease row
 */
#ifndef FG_MEMBER_INTERNAL_H
#define FG_MEMBER_INTERNAL_H

#include <glib.h>

#include "base/fg_rand.h"
#include "member/fg_member.h"

/* Marks the ids of this module's table operations. */
#define FG_MEMBER_OP_ID_TAG (UINT64_C(0x4d) << 56)
#define FG_MEMBER_KEY_PREFIX "session/"

/* The value of a lease row. */
struct fg_lease_row {
	uint64_t boot;
	bool leaving;
	uint32_t region_size; /* instances in the region, as the holder counts
			       * them */
	uint32_t total_size;  /* instances in all regions */
	struct fg_list_entry info; /* id and name come from the key */
};

/* Another instance. */
struct fg_peer_entry {
	struct fg_peer_view view; /* returned by fg_member_find() */
	uint64_t ring_pos;	  /* position on the hash ring */

	/* Lease row. */
	bool has_row;
	uint64_t row_version;
	uint32_t region_size; /* as its row states */
	uint32_t total_size;
	fg_ms version_seen_at; /* when row_version was first seen */
	fg_ms read_at;	       /* when the last read that covered it was sent */
	fg_ms absent_at; /* when a read that found no row was sent; 0 never */
	fg_ms lapsed_at; /* when the read showing the lapse was sent; 0: none */
	fg_ms reap_quorum_at; /* when the deletion quorum was met; 0: none */
	bool address_reused;  /* another instance runs at its address */
	uint64_t scan_no;     /* the latest scan when the row was last read */
	bool op_in_flight;    /* a GET or DELETE of the row has no result yet */

	/* Pings. */
	fg_ms reached_at;	/* when the newest answered ping was sent */
	fg_ms acting_at;	/* reached_at, of answers with may_act only */
	fg_ms pinged_at;	/* last ping */
	fg_ms unanswered_since; /* first ping since the last answer; 0 none */
	fg_ms hint_sent_at;	/* last hint about it */
	uint32_t unanswered;	/* pings since the last answer */
	bool suspect;		/* by pings or lease */
	fg_ms suspect_at;	/* when `suspect` changed */
	bool leaving;
};

enum fg_pending_kind {
	FG_PENDING_RENEW = 1,
	FG_PENDING_READ_OWN = 2,
	FG_PENDING_RELEASE = 3,
	FG_PENDING_SCAN = 4,
	FG_PENDING_GET = 5,
	FG_PENDING_DELETE = 6,
};

/* A table operation without a result yet. */
struct fg_pending_op {
	enum fg_pending_kind kind;
	uint64_t peer; /* GET, DELETE */
	fg_ms sent_at;
	uint32_t region_size; /* RENEW: as written */
	uint32_t total_size;
};

struct fg_own_lease {
	bool held;
	bool ever_held;
	bool superseded; /* another run uses the same name: never act again */
	bool must_read_back;   /* read the row before the next write */
	bool in_flight;	       /* an operation on the row has no result yet */
	uint64_t in_flight_op; /* its id */
	fg_ms in_flight_since;
	uint64_t version; /* of the row; 0 when absent */
	fg_ms sent_at;	  /* when the newest successful renewal was sent */
	/* When the first of the writes whose answers were lost was sent; 0
	 * none. */
	fg_ms lost_write_sent_at;
	fg_ms next_at;		/* next renewal or read */
	fg_ms early_allowed_at; /* no renewal ahead of next_at until then */
	uint64_t epoch;
	/* Sizes of the region and of all regions that the row states. A range,
	 * as long as a write has no answer. */
	uint32_t region_size_min;
	uint32_t region_size_max;
	uint32_t total_size_max;
};

struct fg_member {
	struct fg_member_conf conf;
	char lease_key[FG_ROW_KEY_MAX];
	struct fg_rand rand;
	bool started; /* a tick has run */
	fg_ms last_tick;
	fg_ms resumed_at; /* start, or end of the last pause */
	bool leaving;
	bool releasing; /* fg_member_release_lease() was called */

	struct fg_own_lease lease;
	GHashTable *peers; /* id -> struct fg_peer_entry */
	GPtrArray *ring; /* entries of the own region with a row, by ring_pos */
	bool ring_stale;
	uint64_t generation;

	GHashTable *pending_ops; /* op id -> struct fg_pending_op */
	uint64_t op_counter;
	fg_ms next_scan_at;
	bool scan_in_flight;
	bool replaced;	     /* unused */
	uint64_t scan_no;    /* number of the last scan sent */
	bool scan_requested; /* scan as soon as SCAN_MIN_MS allows */
	fg_ms scanned_at; /* when the last successful scan was sent; 0 never */
	size_t scan_rows; /* rows in its result */
	fg_ms next_list_at;
	fg_ms list_sent_at;
	size_t n_listed;      /* entries in the last list */
	fg_ms table_ok_at;    /* last answer of the table; 0 never */
	fg_ms table_up_since; /* the table has answered without a gap since */
	uint32_t tick_gets;   /* single reads sent since the last tick began */

	/* When the platform was last reached, as far as known; 0 never. */
	fg_ms own_contact_at;	  /* by this instance */
	fg_ms peer_contact_at;	  /* by a peer, according to that peer */
	fg_ms relayed_contact_at; /* by others, according to a peer */

	fg_ms next_ping_at;	   /* next pings of neighbours */
	fg_ms next_quorum_ping_at; /* next pings for a quorum */
	uint32_t quorum_ping_round;
	enum fg_standing standing; /* last emitted */

	uint64_t revision;
	uint32_t confirm_age_ms;
	fg_ms confirm_set_at;

	fg_member_emit emit; /* of the call in progress */
	void *arg;
};

/* ---- fg_member.c ---- */
struct fg_peer_entry *fg_member_find_entry(struct fg_member *m, uint64_t id);
void fg_member_emit_act(struct fg_member *m, enum fg_member_act_type type,
			uint64_t to);
bool fg_member_is_same_region(const struct fg_member *m,
			      const struct fg_peer_entry *e);

/* ---- fg_member_table.c ---- */
/* Emits op and keeps a copy of pending until the result arrives. */
void fg_member_submit(struct fg_member *m, fg_ms now, struct fg_table_op *op,
		      const struct fg_pending_op *pending);
struct fg_table_op *fg_member_new_op(struct fg_member *m, enum fg_op_kind kind,
				     const char *key);
/* Brings the next scan forward, as far as the limit on bytes read allows. */
void fg_member_scan_soon(struct fg_member *m, fg_ms now);
void fg_member_scan_tick(struct fg_member *m, fg_ms now);
/* Reads one lease row; brings a scan forward instead when this tick has sent
 * too many single reads. */
void fg_member_read_row(struct fg_member *m, fg_ms now,
			struct fg_peer_entry *e);

/* ---- fg_member_lease.c ---- */
void fg_member_lease_tick(struct fg_member *m, fg_ms now);
void fg_member_on_lease_result(struct fg_member *m, fg_ms now,
			       const struct fg_pending_op *pending,
			       const struct fg_table_result *res);
bool fg_member_is_lease_fresh(const struct fg_member *m, fg_ms now);
/* Returns when the own lease ceases to be fresh unless it is renewed. */
fg_ms fg_member_lease_end(const struct fg_member *m);

/* ---- fg_member_peers.c ---- */
/* Records a lease row that a read sent at sent_at returned. */
void fg_member_record_row(struct fg_member *m, fg_ms now, fg_ms sent_at,
			  const struct fg_row *row);
/* Records that a read sent at sent_at found no lease row of e. */
void fg_member_record_absent(struct fg_member *m, struct fg_peer_entry *e,
			     fg_ms sent_at);
/* Derives the state of e again and emits what changed. */
void fg_member_refresh_state(struct fg_member *m, struct fg_peer_entry *e);
void fg_member_set_suspect(struct fg_member *m, fg_ms now,
			   struct fg_peer_entry *e, bool suspect);
void fg_member_peers_tick(struct fg_member *m, fg_ms now);
void fg_member_on_delete_result(struct fg_member *m, fg_ms now,
				const struct fg_pending_op *pending,
				const struct fg_table_result *res);
/* Returns true while it is this instance's turn to delete a lapsed row. */
bool fg_member_is_reaping(const struct fg_member *m, fg_ms now);
/* Returns true while it is this instance's turn to delete a lapsed row whose
 * holder counted a small region and whose address no other instance uses. The
 * instances of all regions may then have to be pinged. */
bool fg_member_is_reaping_small(const struct fg_member *m, fg_ms now);

/* ---- fg_member_ping.c ---- */
void fg_member_ping_tick(struct fg_member *m, fg_ms now);
/* Tells some instances of the region to read the lease row of e, at most once
 * in HINT_INTERVAL_MS. */
void fg_member_send_hints(struct fg_member *m, fg_ms now,
			  struct fg_peer_entry *e);
void fg_member_send_ping(struct fg_member *m, fg_ms now,
			 struct fg_peer_entry *e);

/* ---- fg_member_standing.c ---- */
/* Counts of instances with a lease row, this one included. */
struct fg_tally {
	uint32_t size;	  /* without those whose address is reused */
	uint32_t reached; /* answered a ping sent after a given time */
	uint32_t acting;  /* those of `reached` that may act */
};

struct fg_tally fg_member_tally_region(const struct fg_member *m, fg_ms since);
struct fg_tally fg_member_tally_all(const struct fg_member *m, fg_ms since);
/* Returns how many of n instances must answer for the standing OUTAGE. */
uint32_t fg_member_outage_quorum(uint32_t n);
/* Returns true for a region so small that an instance cannot tell whether it
 * alone is cut off; the instances of all regions are then pinged too. */
bool fg_member_is_small_region(uint32_t region_size);
/* Returns the standing, ignoring pauses of the process. */
enum fg_standing fg_member_base_standing(const struct fg_member *m, fg_ms now);
/* Emits the standing when it has changed. */
void fg_member_update_standing(struct fg_member *m, fg_ms now);
/* Returns when the platform was last reached by any instance, as far as this
 * one knows; 0 never. */
fg_ms fg_member_last_contact(const struct fg_member *m);

/* ---- fg_member_row.c ---- */
/* Returns the row's value as JSON; the caller frees it with g_free(). */
char *fg_lease_row_encode(const struct fg_lease_row *row);
/* Returns false when key or value is not that of a lease row. */
bool fg_lease_row_decode(const char *key, const char *value,
			 struct fg_lease_row *row);

#endif
