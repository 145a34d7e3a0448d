/*
 * fg_ledger_internal - what the files of lib/ledger share.
 *
 * fg_ledger.c         public calls and the answer of local repeats
 * fg_ledger_io.c      grouping writes, reads, and the fate of operations
 * fg_ledger_decide.c  what one filing does next, given what its row says
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
	FG_LROW_NEWER = 1, /* format number above ours */
	FG_LROW_BAD = 2,   /* not a row of this kind */
};

struct fg_lrow {
	enum fg_lrow_state state;
	uint64_t nonce; /* of the start that owns the row */
	uint64_t body;	/* hash */
	uint64_t by;	/* instance */
	fg_ms at;	/* wall clock of the write */
	enum fg_reason reason;
	char *text; /* g_malloc'ed, may be NULL */
};

/* The row as JSON text; g_malloc'ed. */
char *fg_lrow_encode(const struct fg_lrow *row);

/* Reads a row; unknown fields are ignored. On FG_LROW_OK the caller frees
 * row->text with g_free(); otherwise *row is zeroed. */
enum fg_lrow_read fg_lrow_decode(const char *value, struct fg_lrow *row);

/* Row state that records an outcome. */
enum fg_lrow_state fg_lrow_of_outcome(enum fg_outcome outcome);

/* ---- Filings ---- */

enum filing_phase {
	FILING_START = 1,  /* the started row is not confirmed yet */
	FILING_RUN = 2,	   /* dispatched; the outcome is awaited */
	FILING_RECORD = 3, /* ran; the row must say how it ended */
	FILING_UNDO = 4,   /* never dispatched; the row must say not_run */
};

enum filing_want {
	WANT_NOTHING = 0,
	WANT_WRITE = 1,
	WANT_READ = 2,
};

/*
 * expect is the row version that the next write requires. It is unknown
 * after a committed write whose result named no version; a read precedes the
 * next write then. A write lost on its way may still arrive: it requires
 * `expect` too, so any later committed write of the row makes it void.
 */
struct filing {
	GList link; /* in fg_ledger.filings, in order of arrival */
	uint64_t id;
	uint64_t nonce;
	uint64_t body;
	char row_key[FG_ROW_KEY_MAX];
	enum filing_phase phase;
	enum filing_want want;
	fg_ms due;	/* of what it wants */
	bool in_flight; /* an operation of it has no result yet */
	bool regrouped; /* was in a group that conflicted elsewhere */
	bool solo;	/* is written by itself */
	bool may_exist; /* an insert of ours was, or may have been, stored */
	bool dispatched;
	bool answered;
	uint64_t expect;
	bool expect_known;
	fg_ms begun;
	fg_ms deadline;
	fg_ms answer_by; /* UNDO: answered by then, stored or not */
	enum fg_outcome outcome;
	enum fg_reason reason;
	char *text;
};

/* An operation in flight and the filings whose rows it touches. */
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
	size_t held_bytes;  /* texts waiting to be recorded */
	fg_ms down_until;   /* starts are refused at once until then */
	uint32_t lost_streak;
	fg_ms next; /* no tick has work before */
	bool wall_known;
	int64_t wall_offset_ms;
	uint32_t sweep_part;
	uint64_t sweep_op; /* id of the sweep's operation, 0: none */

	/* Valid during a public call alone. */
	fg_ms now;
	fg_ledger_emit emit;
	void *emit_arg;
};

/* Wall-clock time for row stamps. */
fg_ms ledger_wall(const struct fg_ledger *l);

/* Time until the next try after a failure, jittered. */
fg_ms ledger_retry_at(struct fg_ledger *l);

/* Random id that is never 0. */
uint64_t ledger_id(struct fg_ledger *l);

void ledger_answer(struct fg_ledger *l, uint64_t id, enum fg_outcome outcome,
		   enum fg_reason reason, const char *text, bool replayed,
		   uint32_t retry_after_ms);

/* Emits a table operation; *id is filled in. */
void ledger_emit_op(struct fg_ledger *l, struct fg_table_op *op);

/* ---- Decisions about one filing; each may free it ---- */

void filing_want(struct fg_ledger *l, struct filing *f, enum filing_want want,
		 fg_ms due);
void filing_drop(struct fg_ledger *l, struct filing *f);

/* The next step of f is to make its row say how it ended. */
void filing_record(struct fg_ledger *l, struct filing *f, fg_ms due);
void filing_undo(struct fg_ledger *l, struct filing *f, fg_ms due);

/* A start that is not settled in time. */
bool filing_late(const struct fg_ledger *l, const struct filing *f);
void filing_give_up(struct fg_ledger *l, struct filing *f);
void filing_answer_not_run(struct fg_ledger *l, struct filing *f);

/* Fate of f's write. */
void filing_written(struct fg_ledger *l, struct filing *f);
void filing_write_down(struct fg_ledger *l, struct filing *f);
void filing_write_lost(struct fg_ledger *l, struct filing *f);

/* What its row says: read, or found in the way. NULL: absent. */
void filing_saw(struct fg_ledger *l, struct filing *f,
		const struct fg_row *row);
void filing_read_failed(struct fg_ledger *l, struct filing *f,
			enum fg_pf_result result);

/* The value that f's next write stores; g_malloc'ed. */
char *filing_value(const struct fg_ledger *l, const struct filing *f);

/* ---- Input and output ---- */

/* Emits the reads and writes that are due. */
void ledger_flush(struct fg_ledger *l);

/* Recomputes l->next. */
void ledger_schedule(struct fg_ledger *l);

/* The sweep's share of fg_ledger_handle_result(). */
void ledger_sweep_result(struct fg_ledger *l,
			 const struct fg_table_result *res);

#endif
