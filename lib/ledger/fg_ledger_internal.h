/*
 * fg_ledger_internal - state and calls shared by the files of lib/ledger.
 *
 * fg_ledger.c         public calls, answers to repeats on this instance
 * fg_ledger_io.c      grouped writes, reads, and results of operations
 * fg_ledger_decide.c  the next step of a filing, given its row
 * fg_ledger_row.c     row codec
 * fg_ledger_sweep.c   deletion of rows past their retention
 */
#ifndef FG_LEDGER_INTERNAL_H
#define FG_LEDGER_INTERNAL_H

#include <glib.h>

#include "base/fg_rand.h"
#include "ledger/fg_ledger.h"

/* ---- Row codec ---- */

#define FG_LROW_FORMAT 1

enum fg_lrow_state {
	FG_LROW_STARTED = 1,
	FG_LROW_DONE = 2,
	FG_LROW_FAILED = 3,
	FG_LROW_UNKNOWN = 4,
	FG_LROW_NOT_RUN = 5,
};

enum fg_lrow_read {
	FG_LROW_OK = 0,
	FG_LROW_NEWER = 1, /* format number of a later release */
	FG_LROW_BAD = 2,   /* not a valid row */
};

struct fg_lrow {
	enum fg_lrow_state state;
	uint64_t nonce; /* of the start that owns the row */
	uint64_t body;	/* hash of the body */
	uint64_t by;	/* instance that wrote the row */
	fg_ms at;	/* wall-clock time of the write */
	enum fg_reason reason;
	char *text; /* g_malloc'ed, may be NULL */
};

/* Returns the row as JSON text. The caller frees it with g_free(). */
char *fg_lrow_encode(const struct fg_lrow *row);

/* Parses a row (NULL is BAD); unknown fields are ignored. On FG_LROW_OK the
 * caller frees row->text with g_free(). Otherwise *row is zeroed. */
enum fg_lrow_read fg_lrow_decode(const char *value, struct fg_lrow *row);

/* Returns the row state that records an outcome. */
enum fg_lrow_state fg_lrow_state_from_outcome(enum fg_outcome outcome);

/* ---- Filings ---- */

enum filing_phase {
	FILING_STARTING = 1,  /* the started row is not confirmed yet */
	FILING_RUNNING = 2,   /* dispatched, without an outcome yet */
	FILING_RECORDING = 3, /* ran; the outcome is to be stored */
	FILING_UNDOING = 4,   /* did not run; not_run is to be stored */
};

enum filing_op {
	FILING_OP_NONE = 0,
	FILING_OP_WRITE = 1,
	FILING_OP_READ = 2,
};

/*
 * `expected_version` is the row version that the next write requires. It is
 * unknown after a committed write whose result carried no version. The row is
 * then read before the next write. A lost write may still arrive late. It
 * requires the same version, so any later committed write of the row voids it.
 */
struct filing {
	GList link; /* in fg_ledger.filings, in order of arrival */
	uint64_t id;
	uint64_t nonce;
	uint64_t body_hash;
	char row_key[FG_ROW_KEY_MAX];
	enum filing_phase phase;
	enum filing_op next_op;
	fg_ms due_at;	    /* of next_op */
	bool in_flight;	    /* waits for the result of an operation */
	bool was_regrouped; /* its group conflicted on another row */
	bool solo;	    /* is written in a transaction of its own */
	bool row_may_exist; /* an insert of ours was or may have been stored */
	bool dispatched;
	bool answered;
	uint64_t expected_version;
	bool has_expected_version;
	fg_ms arrived_at;
	fg_ms deadline;
	fg_ms answer_by; /* UNDOING: answered by then, stored or not */
	enum fg_outcome outcome;
	enum fg_reason reason;
	char *text;
};

/* An operation in flight and the filings whose rows it reads or writes. */
struct batch {
	uint64_t op_id;
	enum fg_op_kind kind;
	size_t n;
	struct filing *filings[FG_TXN_MAX];
};

struct fg_ledger {
	struct fg_ledger_conf conf;
	struct fg_rand rand;
	bool (*is_dead)(void *arg, uint64_t inst);
	void *dead_arg;
	GQueue filings;
	GHashTable *by_id;  /* uint64_t id -> filing */
	GHashTable *by_row; /* row key -> filing */
	GHashTable *ops;    /* batch.op_id -> batch */
	size_t held_bytes;  /* total size of the texts not recorded yet */
	fg_ms down_until;   /* new filings are refused at once until then */
	uint32_t consecutive_lost;
	fg_ms next_tick_at;
	bool wall_known;
	int64_t wall_offset_ms;
	uint32_t sweep_part;
	uint64_t sweep_op; /* id of the sweep's operation, 0: none */

	/* Valid only during a public call. */
	fg_ms now;
	fg_ledger_emit emit;
	void *emit_arg;
};

/* Returns the wall-clock time, for the timestamps of rows. */
fg_ms ledger_wall_now(const struct fg_ledger *l);

/* Returns the time of the next attempt after a failure, jittered. */
fg_ms ledger_retry_at(struct fg_ledger *l);

/* Returns a random id that is never 0. */
uint64_t ledger_new_id(struct fg_ledger *l);

void ledger_answer(struct fg_ledger *l, uint64_t id, enum fg_outcome outcome,
		   enum fg_reason reason, const char *text, bool replayed,
		   uint32_t retry_after_ms);

/* Emits a table operation and passes on its ownership. */
void ledger_emit_op(struct fg_ledger *l, struct fg_table_op *op);

/* ---- Decisions about one filing; each may free it ---- */

void filing_schedule_op(struct fg_ledger *l, struct filing *f,
			enum filing_op op, fg_ms due_at);
void filing_remove(struct fg_ledger *l, struct filing *f);

/* Schedule the write that stores the outcome, or not_run. */
void filing_record(struct fg_ledger *l, struct filing *f, fg_ms due_at);
void filing_undo(struct fg_ledger *l, struct filing *f, fg_ms due_at);

/* Returns whether a start was not settled in time. */
bool filing_is_late(const struct fg_ledger *l, const struct filing *f);

/* Answers a late start with NOT_RUN and abandons it. */
void filing_time_out(struct fg_ledger *l, struct filing *f);
void filing_answer_not_run(struct fg_ledger *l, struct filing *f);

/* Handle the result of a write: stored, table down, or answer lost. */
void filing_handle_written(struct fg_ledger *l, struct filing *f);
void filing_handle_write_down(struct fg_ledger *l, struct filing *f);
void filing_handle_write_lost(struct fg_ledger *l, struct filing *f);

/* Handles the row of the filing, from a read or a conflict. NULL: absent. */
void filing_handle_row(struct fg_ledger *l, struct filing *f,
		       const struct fg_row *row);
void filing_handle_read_failure(struct fg_ledger *l, struct filing *f,
				enum fg_pf_result result);

/* Returns the row that the next write stores. The caller frees it with
 * g_free(). */
char *filing_encode_row(const struct fg_ledger *l, const struct filing *f);

/* ---- Input and output ---- */

/* Emits the reads and writes that are due. */
void ledger_flush(struct fg_ledger *l);

/* Recomputes l->next_tick_at. */
void ledger_update_next_tick(struct fg_ledger *l);

/* Handles the result of the sweep's operation. */
void ledger_handle_sweep_result(struct fg_ledger *l,
				const struct fg_table_result *res);

#endif
