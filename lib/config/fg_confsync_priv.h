/*
 * fg_confsync_priv - state shared by the files of confsync.
 *
 *   fg_confsync.c         entry points and what they share
 *   fg_confsync_rows.c    keys and rows of the table
 *   fg_confsync_fetch.c   reading the head, deltas and snapshots
 *   fg_confsync_peer.c    asking, telling and pushing between peers
 *   fg_confsync_submit_change.c  operators' changes
 *   fg_confsync_snap.c    writing snapshots and deleting old rows
 */
#ifndef FG_CONFSYNC_PRIV_H
#define FG_CONFSYNC_PRIV_H

#include "base/fg_rand.h"
#include "config/fg_config_priv.h"
#include "peer/fg_msg.h"

#define CS_HEAD_KEY "config/head"
#define CS_RETRY_MS 300	       /* after a failed call to the platform */
#define CS_HEAD_WAIT_MS 50     /* between requests to read the head anew */
#define CS_FAULT_RETRY_MS 5000 /* after a row that cannot be read */
#define CS_OP_LOST_MS 30000    /* a result that never came counts as lost */
#define CS_PAUSE_MS 1000       /* gap between ticks that counts as a pause */
#define CS_PART_BYTES 60000    /* of a snapshot's part or of deltas sent */
#define CS_CHANGE_MAX_BYTES 49152
#define CS_BLOCK_REVISIONS 100 /* read by one scan */
#define CS_RING_REVISIONS 256  /* deltas kept to serve peers */
#define CS_RING_BYTES (1024 * 1024)

/* The row config/head. */
struct cs_head {
	uint64_t row_version; /* 0: absent */
	uint64_t revision;
	uint64_t snapshot; /* revision of the newest snapshot; 0: none */
	uint64_t parts;
	uint64_t old_snapshot; /* the one before, kept for slow readers */
	uint64_t old_parts;
	uint64_t draft; /* snapshot being written; 0: none */
	uint64_t draft_parts;
	uint64_t deltas_from; /* first revision whose delta is kept */
};

enum cs_fetch_what {
	CS_FETCH_NONE = 0,
	CS_FETCH_HEAD,
	CS_FETCH_DELTA,
	CS_FETCH_BLOCK,
	CS_FETCH_PART,
};

/* Reading from the table; one call at a time. */
struct cs_fetch {
	uint64_t op; /* 0: none outstanding */
	enum cs_fetch_what what;
	fg_ms asked;
	fg_ms retry_at;
	uint32_t failures; /* calls that failed in a row */
	bool delta_absent; /* take the snapshot instead */
	fg_ms polled;	   /* when the head was last asked for */
	uint32_t poll_gap_ms;
	bool want_head; /* read the head at once */
	struct fg_config_loader *load;
	uint64_t load_revision;
};

enum cs_change_state {
	CS_CH_HEAD = 1,	    /* waits for a head read after its start */
	CS_CH_WRITE,	    /* transaction outstanding */
	CS_CH_RESOLVE_HEAD, /* what became of it: reads the head */
	CS_CH_RESOLVE_REV,  /* reads the revision it was to make */
	CS_CH_ACK,	    /* stored; waits for acknowledgements */
};

struct cs_change {
	uint64_t id;
	json_t *body;
	uint64_t expect;
	fg_ms started;
	fg_ms deadline;
	enum cs_change_state state;
	bool maybe_written; /* a write was sent whose effect is not known */
	char nonce[48];
	uint64_t target; /* revision that it makes */
	char *text;	 /* value of the row config/rev/<target> */
	fg_ms committed;
};

/* The one change that reads or writes rows now. */
struct cs_write {
	uint64_t op;
	fg_ms asked;
	fg_ms retry_at;
};

struct cs_peer {
	uint64_t id;
	uint64_t revision; /* highest that it was heard to have */
	bool live;
	fg_ms heard;   /* last message */
	fg_ms push_at; /* not pushed to again before */
	uint32_t push_gap_ms;
	bool sending; /* a snapshot is on its way to it */
	uint64_t send_revision;
	uint32_t send_part;
	fg_ms send_at;
};

/* A delta kept to serve peers. */
struct cs_delta {
	uint64_t revision;
	char *text;
};

enum cs_snap_phase {
	CS_SNAP_IDLE = 0,
	CS_SNAP_CLAIM,	 /* head: draft is ours */
	CS_SNAP_PARTS,	 /* parts are written */
	CS_SNAP_DELETE,	 /* rows that nobody needs are deleted */
	CS_SNAP_PUBLISH, /* head: snapshot is ours */
	CS_SNAP_UNDO,	 /* superseded: our parts are deleted */
};

struct cs_snap {
	enum cs_snap_phase phase;
	uint64_t op;
	fg_ms asked;
	fg_ms retry_at;
	uint32_t failures;
	bool reading; /* op reads the head */
	struct cs_head head;
	uint64_t revision;
	GPtrArray *parts;
	guint next_part;
	GPtrArray *doomed; /* keys to delete */
	guint next_doomed;
};

struct fg_confsync {
	struct fg_config *c;
	struct fg_confsync_conf conf;
	uint64_t self;
	struct fg_rand rand;
	char nonce_prefix[24];
	uint64_t nonce_count;
	uint64_t next_op;
	fg_ms last_tick;
	fg_ms distrust_until; /* messages may be older than they look */
	fg_ms confirmed;      /* when our revision was the newest; CS_NEVER */
	uint64_t told;	      /* revision last emitted as CHANGED */
	char *fault;

	bool head_known;
	fg_ms head_asked;
	struct cs_head head;
	struct cs_fetch fetch;

	GQueue changes; /* of struct cs_change; the first one is active */
	GQueue acking;	/* of struct cs_change in CS_CH_ACK */
	struct cs_write write;
	struct cs_snap snap;

	GHashTable *peers; /* id -> struct cs_peer */
	bool live_known;
	bool live_timed;
	fg_ms live_asked;
	uint64_t push_revision; /* newest revision stored by us; 0: none */
	uint64_t highest;	/* revision heard of from any peer */
	fg_ms ask_at;		/* no peer is asked before */
	uint32_t ask_count;
	uint32_t n_sending;
	GPtrArray *cache; /* parts of a snapshot for peers */
	uint64_t cache_revision;
	fg_ms cache_used;
	struct fg_config_loader *load; /* snapshot from a peer */
	uint64_t load_from;
	uint64_t load_revision;

	GQueue ring; /* of struct cs_delta, ascending without gaps */
	size_t ring_bytes;

	fg_confsync_name_fn name;
	void *name_arg;

	/* Of the call in progress. */
	fg_ms now;
	fg_confsync_emit emit;
	void *arg;
};

#define CS_NEVER INT64_MIN

/* fg_confsync.c */
uint64_t cs_table(struct fg_confsync *s, struct fg_table_op *op);
uint64_t cs_op_id(struct fg_confsync *s);
void cs_send(struct fg_confsync *s, uint64_t to, fg_msg *msg);
void cs_confirm(struct fg_confsync *s, fg_ms at);
void cs_set_fault(struct fg_confsync *s, const char *what, const GError *error);
bool cs_apply(struct fg_confsync *s, const char *what, const char *text);
bool cs_apply_json(struct fg_confsync *s, const char *what, const json_t *obj,
		   const char *text);
void cs_finish_load(struct fg_confsync *s, struct fg_config_loader **l);
void cs_drop_load(struct fg_config_loader **l);

/* fg_confsync_rows.c */
void cs_rev_key(char *key, uint64_t revision);
void cs_block_prefix(char *key, uint64_t revision);
void cs_part_key(char *key, uint64_t snapshot, guint part);
bool cs_head_read(struct cs_head *h, const struct fg_table_result *res,
		  GError **error);
char *cs_head_text(const struct cs_head *h);
char *cs_change_text(const json_t *body, uint64_t revision, const char *nonce);
bool cs_nonce_is(const char *text, const char *nonce);

/* fg_confsync_fetch.c */
void cs_fetch_step(struct fg_confsync *s);
bool cs_fetch_result(struct fg_confsync *s, const struct fg_table_result *res);
bool cs_table_healthy(const struct fg_confsync *s);

/* fg_confsync_peer.c */
struct cs_peer *cs_peer(struct fg_confsync *s, uint64_t id);
void cs_peer_step(struct fg_confsync *s, bool tick);
void cs_peer_heard(struct fg_confsync *s, uint64_t id, uint64_t revision);
void cs_push(struct fg_confsync *s);
void cs_on_ask(struct fg_confsync *s, uint64_t from, const fg_config_ask *ask);
void cs_on_tell(struct fg_confsync *s, uint64_t from,
		const fg_config_tell *tell);

/* fg_confsync_submit_change.c */
void cs_change_step(struct fg_confsync *s);
bool cs_change_result(struct fg_confsync *s, const struct fg_table_result *res);
void cs_ack_step(struct fg_confsync *s);
void cs_change_free(struct cs_change *ch);

/* fg_confsync_snap.c */
void cs_snap_consider(struct fg_confsync *s);
void cs_snap_step(struct fg_confsync *s);
bool cs_snap_result(struct fg_confsync *s, const struct fg_table_result *res);
void cs_snap_drop(struct fg_confsync *s);

#endif
