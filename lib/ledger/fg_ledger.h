/*
 * fg_ledger - runs each filing at most once.
 *
 * Before the only dispatch of a filing, the row filing/<hash of caller and key>
 * is created by a conditional insert:
 *   {"format":1,"state":"started","nonce":N,"body":H,"by":INSTANCE,"at":MS}
 * If the answer to that write is lost, the ledger reads the row back and looks
 * for its own nonce. It never repeats the insert without reading. After the
 * dispatch the row becomes done, failed or unknown, with the answer, or not_run
 * if the filing provably never ran. Only a not_run row may be started again. No
 * fault in between leads to a second dispatch.
 *
 * Every write requires the row version that its decision was based on, so a
 * delayed write has no effect after any later one. An abandoned start is voided
 * in this way before its key can be used again.
 *
 * Writes of several filings due within group_ms share one transaction of up to
 * FG_TXN_MAX rows. If it conflicts, the conflicting row settles its filing, and
 * the others are written again. The FG_PF_OK of a transaction may carry the new
 * row versions as rows without a value. Without them the ledger reads the row
 * before it records an outcome.
 *
 * Does no I/O and reads no clock: the caller passes events and the time, and
 * carries out the emitted acts.
 */
#ifndef FG_LEDGER_H
#define FG_LEDGER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/fg_clock.h"
#include "base/fg_outcome.h"
#include "platform/fg_platform.h"

#define FG_LEDGER_PREFIX "filing/" /* prefix of the row keys */

/*
 * Memory bounds for an outage of the platform. An outcome that is not recorded
 * yet is never dropped. New keys are refused beyond either bound instead, so
 * memory stays below HELD_BYTES_MAX plus one answer for each filing that was
 * running when the bound was reached.
 */
#define FG_LEDGER_FILINGS_MAX 4096
#define FG_LEDGER_HELD_BYTES_MAX (8u << 20)

/* fg_ledger_sweep() reads one of this many parts of the key space per call. */
#define FG_LEDGER_SWEEP_PARTS 4096

struct fg_ledger_conf {
	uint64_t self;		   /* this instance */
	uint32_t group_ms;	   /* longest wait to share a write */
	uint32_t start_timeout_ms; /* an unsettled start is refused then */
	uint32_t record_retry_ms;  /* between attempts to record an outcome */
	uint32_t retention_s; /* rows are kept this long after the outcome */
};

enum fg_ledger_act_type {
	FG_LA_TABLE = 1,    /* run op */
	FG_LA_DISPATCH = 2, /* dispatch filing `id`; sent at most once */
	FG_LA_ANSWER = 3,   /* answer the caller of `id`; final */
	FG_LA_RECORDED = 4, /* outcome of dispatched filing `id` is stored */
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

/* Receives each act during a call into the ledger, with the `arg` of that call.
 * Must not call the ledger. */
typedef void (*fg_ledger_emit)(void *arg, struct fg_ledger_act *act);

struct fg_ledger;
struct fg_ledger *fg_ledger_new(const struct fg_ledger_conf *conf,
				uint64_t seed);
void fg_ledger_free(struct fg_ledger *l);

/* `is_dead` tells whether an instance is dead. It is called with the
 * instance that wrote a started row. A repeat of a filing that a dead instance
 * started, or this one without having it in progress, is answered with
 * ENDPOINT_LOST instead of IN_PROGRESS. */
void fg_ledger_set_is_dead(struct fg_ledger *l,
			   bool (*is_dead)(void *arg, uint64_t inst),
			   void *arg);

/* Passes in the wall-clock time minus `now`, for the timestamps of rows. Rows
 * are not swept before the first call. Call it again after the wall clock was
 * stepped. */
void fg_ledger_set_wall_offset(struct fg_ledger *l, int64_t wall_minus_now_ms);

/*
 * A filing arrived. `id` is unique in this process. DISPATCH or ANSWER is
 * emitted, now or in a later call. At most one filing per (caller, key) is in
 * progress on this instance. A second one is answered with NOT_RUN and
 * KEY_REUSED if its body hash differs. Otherwise it is answered with the
 * outcome while that is being stored, with NOT_RUN and LEDGER_DOWN once the
 * first filing can no longer run, and else with UNKNOWN and IN_PROGRESS.
 * IN_PROGRESS is never combined with NOT_RUN, since the first filing may be
 * running.
 */
void fg_ledger_start(struct fg_ledger *l, fg_ms now, uint64_t id,
		     const char *caller, const char *key, uint64_t body_hash,
		     fg_ms deadline, fg_ledger_emit emit, void *arg);

/*
 * The dispatch of `id` ended. `text` is the answer, copied, and may be NULL.
 * The caller is answered at once, and the write of the row is retried until it
 * succeeds. FG_NOT_RUN is answered only when the row is not_run, since the key
 * cannot be started again before that. If the platform is unavailable, it is
 * answered at the deadline or start_timeout_ms after this call, whichever comes
 * first.
 * Ids that are not dispatched are ignored.
 */
void fg_ledger_record_outcome(struct fg_ledger *l, fg_ms now, uint64_t id,
			      enum fg_outcome outcome, enum fg_reason reason,
			      const char *text, fg_ledger_emit emit, void *arg);

/* Handles timeouts and due operations. Call it at least every 10 ms while
 * filings are in progress. */
void fg_ledger_tick(struct fg_ledger *l, fg_ms now, fg_ledger_emit emit,
		    void *arg);

/* Passes in the result of a TABLE act; `res` stays the caller's. Returns false
 * if the ledger has no such operation in flight. */
bool fg_ledger_handle_result(struct fg_ledger *l, fg_ms now,
			     const struct fg_table_result *res,
			     fg_ledger_emit emit, void *arg);

/* Returns the number of unsettled filings. A planned stop waits for 0. */
size_t fg_ledger_pending(const struct fg_ledger *l);

/* Returns the earliest time at which a tick has work, or FG_MS_NEVER. */
fg_ms fg_ledger_next_tick(const struct fg_ledger *l);

/*
 * Reads one part of the rows and deletes up to FG_TXN_MAX of them whose
 * timestamp is retention_s older than both the wall clock and the newest
 * timestamp read. One part every few seconds per region is enough. A key is
 * protected against a second run until its row is deleted.
 */
void fg_ledger_sweep(struct fg_ledger *l, fg_ms now, fg_ledger_emit emit,
		     void *arg);

/* Writes the row key of (caller, key) to out[FG_ROW_KEY_MAX]. */
void fg_ledger_row_key(const char *caller, const char *key, char *out);

#endif
