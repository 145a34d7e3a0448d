/*
 * fg_ledger - filings run at most once.
 *
 * Pure. Before the one dispatch of a filing, row filing/<hash of caller and
 * key> is created by a conditional insert:
 *   {"format":1,"state":"started","nonce":N,"body":H,"by":INSTANCE,"at":MS}
 * A lost answer to that write is resolved by reading the row back and looking
 * for the own nonce, never by writing again blindly. After dispatch the row
 * becomes done, failed or unknown with the answer, or not_run when it
 * provably never ran; only a not_run row may be started again. There is no
 * second dispatch, whatever happens in between. Every write requires the row
 * version it was decided on, so a write delayed on its way is void after any
 * later one. A start that is given up is made void the same way before the
 * key can be used again.
 *
 * Writes of many filings due within group_ms share one transaction of up to
 * FG_TXN_MAX rows; if it conflicts, the row in the way is settled by itself.
 * A transaction's FG_PF_OK may carry the new row versions as rows without
 * value; without them the ledger reads the row before it records an outcome.
 */
#ifndef FG_LEDGER_H
#define FG_LEDGER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/fg_clock.h"
#include "base/fg_outcome.h"
#include "platform/fg_platform.h"

#define FG_LEDGER_PREFIX "filing/" /* of the row keys */

/*
 * Bounds of what is held while the platform is out. An outcome that waits for
 * its row is never dropped: beyond either bound new keys are refused, so that
 * memory stays below HELD_BYTES_MAX plus one answer for each filing that was
 * running at that moment.
 */
#define FG_LEDGER_FILINGS_MAX 4096
#define FG_LEDGER_HELD_BYTES_MAX (8u << 20)

/* Parts of the key space that fg_ledger_sweep() takes one at a time. */
#define FG_LEDGER_SWEEP_PARTS 4096

struct fg_ledger_conf {
	uint64_t self;
	uint32_t group_ms; /* longest wait for others to share a write */
	uint32_t start_timeout_ms; /* a start not settled by then: refused */
	uint32_t record_retry_ms;  /* between tries to record an outcome */
	uint32_t retention_s; /* a row is kept this long after its outcome */
};

enum fg_ledger_act_type {
	FG_LA_TABLE = 1,    /* run op */
	FG_LA_DISPATCH = 2, /* filing `id` may be dispatched, this once */
	FG_LA_ANSWER = 3,   /* tell the caller of `id`; final */
	FG_LA_RECORDED = 4, /* outcome of `id`, once dispatched, is stored */
};

struct fg_ledger_act {
	enum fg_ledger_act_type type;
	struct fg_table_op *op; /* TABLE; owned by the receiver */
	uint64_t id;
	enum fg_outcome outcome; /* ANSWER */
	enum fg_reason reason;	 /* ANSWER */
	const char *text; /* ANSWER: recorded answer, borrowed; may be NULL */
	bool replayed;	  /* ANSWER: from an earlier request with this key */
	uint32_t retry_after_ms; /* ANSWER with NOT_RUN or IN_PROGRESS */
};

typedef void (*fg_ledger_emit)(void *arg, struct fg_ledger_act *act);

struct fg_ledger;
struct fg_ledger *fg_ledger_new(const struct fg_ledger_conf *conf,
				uint64_t seed);
void fg_ledger_free(struct fg_ledger *l);

/* Which instances are dead, asked when a started row of another instance is
 * found: then the caller is told UNKNOWN rather than IN_PROGRESS. */
void fg_ledger_set_is_dead(struct fg_ledger *l,
			   bool (*is_dead)(void *arg, uint64_t inst),
			   void *arg);

/* Wall-clock time minus `now`, for the stamps of rows. Without it nothing is
 * ever swept. Set it again when the wall clock was stepped. */
void fg_ledger_set_wall_offset(struct fg_ledger *l, int64_t wall_minus_now_ms);

/*
 * A filing arrived, id unique in this process. Ends in DISPATCH or ANSWER.
 * At most one filing per (caller, key) is in progress here: a second one is
 * answered with UNKNOWN and IN_PROGRESS, or with NOT_RUN and KEY_REUSED when
 * its body hash differs. IN_PROGRESS never comes with NOT_RUN: the filing
 * that the key names may be running.
 *
 * emit must not call back into the ledger.
 */
void fg_ledger_start(struct fg_ledger *l, fg_ms now, uint64_t id,
		     const char *caller, const char *key, uint64_t body_hash,
		     fg_ms deadline, fg_ledger_emit emit, void *arg);

/*
 * How the dispatch of `id` ended; text (answer) may be NULL. The caller is
 * answered at once, and the row is written until it succeeds. An outcome of
 * FG_NOT_RUN is answered when the row says so, since until then the key cannot
 * be started again; with the platform out, at the deadline or after
 * start_timeout_ms, whichever comes first. Ids that are not dispatched are
 * ignored.
 */
void fg_ledger_record_outcome(struct fg_ledger *l, fg_ms now, uint64_t id,
			      enum fg_outcome outcome, enum fg_reason reason,
			      const char *text, fg_ledger_emit emit, void *arg);

/* Call at least each 10 ms while filings are in progress. */
void fg_ledger_tick(struct fg_ledger *l, fg_ms now, fg_ledger_emit emit,
		    void *arg);
bool fg_ledger_handle_result(struct fg_ledger *l, fg_ms now,
			     const struct fg_table_result *res,
			     fg_ledger_emit emit, void *arg);

/* Filings that are not settled; a planned stop waits for 0. */
size_t fg_ledger_pending(const struct fg_ledger *l);

/* Earliest time at which a tick has work, FG_MS_NEVER when none. */
fg_ms fg_ledger_next_tick(const struct fg_ledger *l);

/*
 * Reads one part of the rows and deletes up to FG_TXN_MAX that are retention_s
 * older than the newest of them. One part each few seconds and region is
 * enough; a key is protected against repetition until its row is deleted.
 */
void fg_ledger_sweep(struct fg_ledger *l, fg_ms now, fg_ledger_emit emit,
		     void *arg);

/* Row key of (caller, key) into out[FG_ROW_KEY_MAX]. */
void fg_ledger_row_key(const char *caller, const char *key, char *out);

#endif
