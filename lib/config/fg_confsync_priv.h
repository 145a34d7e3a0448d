/*
 * fg_confsync_priv - state shared by the files of confsync.
 *
 *   fg_confsync.c         entry points and shared functions
 *   fg_confsync_rows.c    keys and values of the table's rows
 *   fg_confsync_fetch.c   reads the head, deltas and snapshots
 *   fg_confsync_peer.c    CONFIG_ASK and CONFIG_TELL between peers
 *   fg_confsync_change.c  operators' changes
 *   fg_confsync_snap.c    writes snapshots and deletes obsolete rows
 */
#ifndef FG_CONFSYNC_PRIV_H
#define FG_CONFSYNC_PRIV_H

#include "base/fg_rand.h"
#include "config/fg_config_priv.h"
#include "peer/fg_msg.h"

#define CS_HEAD_KEY "config/head"
#define CS_RETRY_MS 300		     /* after a failed table operation */
#define CS_HEAD_REREAD_MS 50	     /* when peers are ahead of the head read */
#define CS_INVALID_ROW_RETRY_MS 5000 /* after a row that cannot be parsed */
#define CS_OP_TIMEOUT_MS 30000	     /* an operation without result is lost */
#define CS_PAUSE_MS 1000	/* gap between ticks that counts as a pause */
#define CS_PART_MAX_BYTES 60000 /* part of a snapshot, deltas in a message */
#define CS_CHANGE_MAX_BYTES 49152
#define CS_BLOCK_REVISIONS 100 /* read by one scan */
#define CS_DELTAS_MAX 256      /* recent deltas kept for peers */
#define CS_DELTAS_MAX_BYTES (1024 * 1024)

/* Value and version of the row config/head. */
struct cs_head {
	uint64_t row_version; /* 0: no row */
	uint64_t revision;
	uint64_t snapshot; /* revision of the newest snapshot; 0: none */
	uint64_t parts;
	uint64_t old_snapshot; /* previous one, kept for slow readers */
	uint64_t old_parts;
	uint64_t draft; /* snapshot being written; 0: none */
	uint64_t draft_parts;
	uint64_t deltas_from; /* first revision whose delta is kept */
};

enum cs_fetch_type {
	CS_FETCH_NONE = 0,
	CS_FETCH_HEAD,
	CS_FETCH_DELTA,
	CS_FETCH_BLOCK,
	CS_FETCH_PART,
};

/* Reads from the table; one operation at a time. */
struct cs_fetch {
	uint64_t op; /* 0: none in flight */
	enum cs_fetch_type type;
	fg_ms sent_at;
	fg_ms retry_at;
	uint32_t failures;  /* consecutive failed operations */
	bool delta_missing; /* read the snapshot instead */
	fg_ms polled_at;    /* when the last read of the head was sent */
	uint32_t poll_gap_ms;
	bool head_wanted; /* read the head without waiting for the next poll */
	struct fg_config_loader *loader;
	uint64_t loader_revision;
};

enum cs_change_state {
	CS_CH_AWAIT_HEAD = 1, /* the head must be read after submission */
	CS_CH_WRITING,	      /* transaction in flight */
	CS_CH_VERIFY_HEAD,    /* reading the head: was the change stored? */
	CS_CH_VERIFY_REV,     /* reading the delta of target_revision */
	CS_CH_AWAIT_ACKS,     /* stored; not acknowledged by all */
};

struct cs_change {
	uint64_t id;
	json_t *body;
	uint64_t expect_revision;
	fg_ms submitted_at;
	fg_ms deadline;
	enum cs_change_state state;
	bool maybe_written; /* a write was sent and its effect is unknown */
	char nonce[48];
	uint64_t target_revision; /* revision that the change makes */
	char *text;		  /* value of config/rev/<target_revision> */
	fg_ms stored_at;
};

/* Table operation of the active change, the first in the queue. */
struct cs_write {
	uint64_t op; /* 0: none in flight */
	fg_ms sent_at;
	fg_ms retry_at;
};

struct cs_peer {
	uint64_t id;
	uint64_t revision; /* highest one that the peer reported */
	bool live;
	fg_ms last_msg_at;  /* last message received */
	fg_ms next_push_at; /* earliest time of the next push */
	uint32_t push_backoff_ms;
	bool sending_snapshot;
	uint64_t send_revision;
	uint32_t send_part;
	fg_ms send_at; /* time of the next part */
};

struct cs_delta {
	uint64_t revision;
	char *text;
};

enum cs_snap_phase {
	CS_SNAP_IDLE = 0,
	CS_SNAP_CLAIM,	     /* enter the draft in the head */
	CS_SNAP_WRITE_PARTS, /* write the parts */
	CS_SNAP_DELETE,	     /* delete obsolete rows */
	CS_SNAP_PUBLISH,     /* enter the snapshot in the head */
	CS_SNAP_DISCARD,     /* superseded: delete the parts written here */
};

struct cs_snap {
	enum cs_snap_phase phase;
	uint64_t op; /* 0: none in flight */
	fg_ms sent_at;
	fg_ms retry_at;
	uint32_t failures; /* consecutive failed operations */
	bool reading_head; /* op reads the head, before this phase writes it */
	struct cs_head head;
	uint64_t revision;
	GPtrArray *parts;
	guint next_part;
	GPtrArray *obsolete_keys; /* rows to delete */
	guint next_obsolete;
};

struct fg_confsync {
	struct fg_config *c;
	struct fg_confsync_conf conf;
	uint64_t self;
	struct fg_rand rand;
	char nonce_prefix[24]; /* tells this instance's changes from others */
	uint64_t nonce_count;
	uint64_t next_op;
	fg_ms last_tick_at;
	fg_ms msgs_stale_until; /* received messages may be old until then */
	fg_ms confirmed_at;	/* last time the revision was the newest */
	uint64_t notified_revision; /* last emitted as CHANGED */
	char *fault;

	bool head_known;
	fg_ms head_read_at; /* when the read that gave head was sent */
	struct cs_head head;
	struct cs_fetch fetch;

	GQueue changes;	      /* of struct cs_change; the first is active */
	GQueue awaiting_acks; /* of struct cs_change in CS_CH_AWAIT_ACKS */
	struct cs_write write;
	struct cs_snap snap;

	GHashTable *peers; /* id -> struct cs_peer */
	bool live_known;   /* a list of live instances was set */
	bool live_is_timed;
	fg_ms live_read_at;	   /* when the read of that list was sent */
	uint64_t push_revision;	   /* newest one stored here; 0: none */
	uint64_t highest_reported; /* highest revision that any peer reported */
	fg_ms next_ask_at;	   /* earliest time of the next CONFIG_ASK */
	uint32_t ask_count;
	uint32_t n_sending;    /* peers that a snapshot is being sent to */
	GPtrArray *part_cache; /* snapshot parts for peers */
	uint64_t part_cache_revision;
	fg_ms part_cache_used_at;
	struct fg_config_loader *loader; /* snapshot received from a peer */
	uint64_t loader_from;		 /* that peer's id */
	uint64_t loader_revision;

	GQueue deltas; /* of struct cs_delta, ascending without gaps */
	size_t deltas_bytes;

	fg_confsync_name_fn name;
	void *name_arg;

	/* Arguments of the call in progress. */
	fg_ms now;
	fg_confsync_emit emit;
	void *arg;
};

#define CS_NEVER INT64_MIN

/* fg_confsync.c */
uint64_t cs_next_op_id(struct fg_confsync *s);
/* Emits the operation; returns its id. */
uint64_t cs_send_op(struct fg_confsync *s, struct fg_table_op *op);
void cs_send_msg(struct fg_confsync *s, uint64_t to, fg_msg *msg);
/* Records that the revision was the newest at `at`. */
void cs_set_confirmed_at(struct fg_confsync *s, fg_ms at);
/* `source` names the row or message in the fault. */
void cs_set_fault(struct fg_confsync *s, const char *source,
		  const GError *error);
/* Apply a delta and keep it for peers; return false with the fault set. */
bool cs_apply_delta(struct fg_confsync *s, const char *source,
		    const char *text);
bool cs_apply_delta_json(struct fg_confsync *s, const char *source,
			 const json_t *obj, const char *text);
/* Finish or free the loader and set *l to NULL. */
void cs_finish_loader(struct fg_confsync *s, struct fg_config_loader **l);
void cs_drop_loader(struct fg_config_loader **l);

/* fg_confsync_rows.c; keys have FG_ROW_KEY_MAX bytes, texts are g_malloc'ed. */
void cs_format_rev_key(char *key, uint64_t revision);
void cs_format_block_prefix(char *key, uint64_t revision);
void cs_format_part_key(char *key, uint64_t snapshot, guint part);
/* An absent row gives the head of an empty catalogue. */
bool cs_parse_head(struct cs_head *h, const struct fg_table_result *res,
		   GError **error);
char *cs_format_head(const struct cs_head *h);
char *cs_format_delta(const json_t *body, uint64_t revision, const char *nonce);
bool cs_has_nonce(const char *text, const char *nonce);

/* The _step() functions do what is due; the _on_result() functions return
 * whether the result belongs to an operation of theirs. */

/* fg_confsync_fetch.c */
void cs_fetch_step(struct fg_confsync *s);
bool cs_fetch_on_result(struct fg_confsync *s,
			const struct fg_table_result *res);
bool cs_is_table_healthy(const struct fg_confsync *s);

/* fg_confsync_peer.c */
/* Returns the peer's state, which is created when absent. */
struct cs_peer *cs_get_peer(struct fg_confsync *s, uint64_t id);
void cs_peer_step(struct fg_confsync *s, bool tick);
void cs_record_peer_revision(struct fg_confsync *s, uint64_t id,
			     uint64_t revision);
void cs_push_change(struct fg_confsync *s);
void cs_on_ask(struct fg_confsync *s, uint64_t from, const fg_config_ask *ask);
void cs_on_tell(struct fg_confsync *s, uint64_t from,
		const fg_config_tell *tell);

/* fg_confsync_change.c */
void cs_change_step(struct fg_confsync *s);
bool cs_change_on_result(struct fg_confsync *s,
			 const struct fg_table_result *res);
void cs_ack_step(struct fg_confsync *s);
void cs_change_free(struct cs_change *ch);

/* fg_confsync_snap.c */
void cs_snap_start_if_due(struct fg_confsync *s);
void cs_snap_step(struct fg_confsync *s);
bool cs_snap_on_result(struct fg_confsync *s,
		       const struct fg_table_result *res);
void cs_snap_reset(struct fg_confsync *s);

#endif
