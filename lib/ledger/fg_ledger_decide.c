/*
 * Decides the next step of a filing from the contents of its row.
 *
 * Invariants: a filing is dispatched only by filing_dispatch(), at most once,
 * after a started row with its own nonce was stored. Every write requires a row
 * version, so a delayed write has no effect after any later one. Only the
 * filing whose nonce a started row carries overwrites that row.
 */
#include "ledger/fg_ledger_internal.h"

#include <assert.h>
#include <string.h>

/* Retry hint of an IN_PROGRESS answer. */
#define IN_PROGRESS_RETRY_MS 500

/* Pause between attempts to read a row back during a start. */
#define READ_RETRY_MS 50

void filing_schedule_op(struct fg_ledger *l, struct filing *f,
			enum filing_op op, fg_ms due_at)
{
	f->next_op = op;
	f->due_at = due_at;
	l->next_tick_at = MIN(l->next_tick_at, due_at);
}

void filing_remove(struct fg_ledger *l, struct filing *f)
{
	assert(!f->in_flight);
	g_hash_table_remove(l->by_id, &f->id);
	g_hash_table_remove(l->by_row, f->row_key);
	g_queue_unlink(&l->filings, &f->link);
	if (f->text != NULL)
		l->held_bytes -= strlen(f->text);
	g_free(f->text);
	g_free(f);
}

static void schedule_conditional_write(struct fg_ledger *l, struct filing *f,
				       fg_ms due_at)
{
	filing_schedule_op(l, f,
			   f->has_expected_version ? FILING_OP_WRITE
						   : FILING_OP_READ,
			   due_at);
}

void filing_record(struct fg_ledger *l, struct filing *f, fg_ms due_at)
{
	f->phase = FILING_RECORDING;
	schedule_conditional_write(l, f, due_at);
}

void filing_undo(struct fg_ledger *l, struct filing *f, fg_ms due_at)
{
	assert(f->phase == FILING_STARTING || f->outcome == FG_NOT_RUN);
	f->phase = FILING_UNDOING;
	f->outcome = FG_NOT_RUN;
	schedule_conditional_write(l, f, due_at);
}

bool filing_is_late(const struct fg_ledger *l, const struct filing *f)
{
	return l->now >= f->deadline ||
	       l->now - f->arrived_at >= (fg_ms)l->conf.start_timeout_ms;
}

static void answer_undispatched(struct fg_ledger *l, struct filing *f,
				enum fg_outcome outcome, enum fg_reason reason,
				uint32_t retry_after_ms)
{
	assert(!f->dispatched);
	if (!f->answered)
		ledger_answer(l, f->id, outcome, reason, NULL, false,
			      retry_after_ms);
	f->answered = true;
}

static void answer_late(struct fg_ledger *l, struct filing *f)
{
	enum fg_reason reason =
		l->now >= f->deadline ? FG_R_PAST_DEADLINE : FG_R_LEDGER_DOWN;

	f->reason = reason;
	answer_undispatched(l, f, FG_NOT_RUN, reason, l->conf.record_retry_ms);
}

void filing_answer_not_run(struct fg_ledger *l, struct filing *f)
{
	assert(f->outcome == FG_NOT_RUN);
	if (!f->answered)
		ledger_answer(l, f->id, FG_NOT_RUN, f->reason, NULL, false,
			      l->conf.record_retry_ms);
	f->answered = true;
}

/* Ends a start that will never be dispatched. If its row may exist, or may be
 * created by a delayed insert, the row is voided first. */
static void abandon_start(struct fg_ledger *l, struct filing *f, fg_ms due_at)
{
	assert(f->answered);
	if (f->row_may_exist)
		filing_undo(l, f, due_at);
	else
		filing_remove(l, f);
}

void filing_time_out(struct fg_ledger *l, struct filing *f)
{
	answer_late(l, f);
	if (!f->in_flight)
		abandon_start(l, f, l->now);
}

/* Dispatches a filing whose started row is stored. A late filing is undone
 * instead. */
static void filing_dispatch(struct fg_ledger *l, struct filing *f)
{
	struct fg_ledger_act act = { .type = FG_LA_DISPATCH, .id = f->id };

	assert(f->phase == FILING_STARTING && !f->dispatched);
	if (f->answered || filing_is_late(l, f)) {
		answer_late(l, f);
		filing_undo(l, f, l->now);
		return;
	}
	f->phase = FILING_RUNNING;
	f->next_op = FILING_OP_NONE;
	f->dispatched = true;
	l->emit(l->emit_arg, &act);
}

/* Ends a filing whose outcome is stored or whose start is void for good. */
static void filing_settle(struct fg_ledger *l, struct filing *f)
{
	struct fg_ledger_act act = { .type = FG_LA_RECORDED, .id = f->id };

	if (f->phase == FILING_UNDOING)
		filing_answer_not_run(l, f);
	if (f->dispatched)
		l->emit(l->emit_arg, &act);
	filing_remove(l, f);
}

void filing_handle_written(struct fg_ledger *l, struct filing *f)
{
	if (f->phase == FILING_STARTING) {
		f->row_may_exist = true;
		filing_dispatch(l, f);
		return;
	}
	filing_settle(l, f);
}

void filing_handle_write_down(struct fg_ledger *l, struct filing *f)
{
	if (f->phase != FILING_STARTING) {
		filing_schedule_op(l, f, FILING_OP_WRITE, ledger_retry_at(l));
		return;
	}
	answer_undispatched(l, f, FG_NOT_RUN, FG_R_LEDGER_DOWN,
			    l->conf.record_retry_ms);
	f->reason = FG_R_LEDGER_DOWN;
	abandon_start(l, f, ledger_retry_at(l));
}

void filing_handle_write_lost(struct fg_ledger *l, struct filing *f)
{
	if (f->phase != FILING_STARTING) {
		/* Repeat the write. If the lost one was stored, the repeat
		 * conflicts with a row that carries our nonce. */
		filing_schedule_op(l, f, FILING_OP_WRITE, ledger_retry_at(l));
		return;
	}
	f->row_may_exist = true;
	if (f->answered)
		abandon_start(l, f, ledger_retry_at(l));
	else
		filing_schedule_op(l, f, FILING_OP_READ, l->now);
}

void filing_handle_read_failure(struct fg_ledger *l, struct filing *f,
				enum fg_pf_result result)
{
	if (f->phase != FILING_STARTING) {
		filing_schedule_op(l, f, FILING_OP_READ, ledger_retry_at(l));
		return;
	}
	if (result == FG_PF_DOWN)
		answer_undispatched(l, f, FG_NOT_RUN, FG_R_LEDGER_DOWN,
				    l->conf.record_retry_ms);
	if (f->answered)
		abandon_start(l, f, ledger_retry_at(l));
	else
		filing_schedule_op(l, f, FILING_OP_READ,
				   l->now + READ_RETRY_MS);
}

/* ---- Contents of the row ---- */

struct seen_row {
	bool absent;
	uint64_t row_version;
	enum fg_lrow_read decode_result;
	struct fg_lrow row;
};

static bool has_own_nonce(const struct filing *f, const struct seen_row *s)
{
	return !s->absent && s->decode_result == FG_LROW_OK &&
	       s->row.nonce == f->nonce;
}

static void overwrite_row(struct fg_ledger *l, struct filing *f,
			  const struct seen_row *s)
{
	f->expected_version = s->absent ? 0 : s->row_version;
	f->has_expected_version = true;
	filing_schedule_op(l, f, FILING_OP_WRITE, l->now);
}

static enum fg_outcome outcome_of_state(enum fg_lrow_state state)
{
	switch (state) {
	case FG_LROW_DONE:
		return FG_DONE;
	case FG_LROW_FAILED:
		return FG_FAILED;
	case FG_LROW_NOT_RUN:
		return FG_NOT_RUN;
	default:
		return FG_UNKNOWN;
	}
}

/* Answers from a row that another start left in state started. A dead instance
 * cannot finish the filing, nor can this one, which no longer has it. An
 * instance that was only paused may still record the outcome, which a later
 * repeat of the key then finds. */
static void answer_from_started_row(struct fg_ledger *l, struct filing *f,
				    uint64_t by)
{
	bool dead = l->is_dead != NULL && l->is_dead(l->dead_arg, by);

	if (dead || by == l->conf.self)
		answer_undispatched(l, f, FG_UNKNOWN, FG_R_ENDPOINT_LOST, 0);
	else
		answer_undispatched(l, f, FG_UNKNOWN, FG_R_IN_PROGRESS,
				    IN_PROGRESS_RETRY_MS);
}

/* Answers from a row that belongs to another start and cannot be replaced. */
static void answer_from_row(struct fg_ledger *l, struct filing *f,
			    const struct fg_lrow *row)
{
	if (row->body != f->body_hash) {
		answer_undispatched(l, f, FG_NOT_RUN, FG_R_KEY_REUSED, 0);
		return;
	}
	if (row->state == FG_LROW_STARTED) {
		answer_from_started_row(l, f, row->by);
		return;
	}
	ledger_answer(l, f->id, outcome_of_state(row->state), row->reason,
		      row->text, true, 0);
	f->answered = true;
}

static void handle_row_starting(struct fg_ledger *l, struct filing *f,
				const struct seen_row *s)
{
	if (has_own_nonce(f, s) && s->row.state == FG_LROW_STARTED) {
		f->row_may_exist = true;
		f->expected_version = s->row_version;
		f->has_expected_version = true;
		filing_dispatch(l, f);
		return;
	}
	if (f->answered) {
		abandon_start(l, f, l->now);
		return;
	}
	if (s->absent) {
		/* The lost insert may still arrive. The nonce is the same, so
		 * both inserts are the same start. */
		overwrite_row(l, f, s);
		return;
	}
	if (s->decode_result != FG_LROW_OK) {
		/* Only a later release can read how this filing ended. */
		answer_undispatched(l, f, FG_UNKNOWN, FG_R_LEDGER_DOWN, 0);
		filing_remove(l, f);
		return;
	}
	if (s->row.state == FG_LROW_NOT_RUN && s->row.body == f->body_hash) {
		overwrite_row(l, f, s);
		return;
	}
	answer_from_row(l, f, &s->row);
	filing_remove(l, f);
}

static void handle_row_recording(struct fg_ledger *l, struct filing *f,
				 const struct seen_row *s)
{
	bool is_own_start =
		has_own_nonce(f, s) && s->row.state == FG_LROW_STARTED;

	if (s->absent || is_own_start)
		overwrite_row(l, f, s);
	else
		filing_settle(l, f);
}

static void handle_row_undoing(struct fg_ledger *l, struct filing *f,
			       const struct seen_row *s)
{
	uint64_t version = s->absent ? 0 : s->row_version;
	bool is_own_start =
		has_own_nonce(f, s) && s->row.state == FG_LROW_STARTED;
	bool is_unchanged =
		f->has_expected_version && version == f->expected_version;

	/* While the version is unchanged, a delayed insert of ours could still
	 * be stored. One write voids it, even if the row is not ours. */
	if (is_own_start || is_unchanged)
		overwrite_row(l, f, s);
	else
		filing_settle(l, f);
}

void filing_handle_row(struct fg_ledger *l, struct filing *f,
		       const struct fg_row *row)
{
	struct seen_row s = { .absent = row == NULL || row->value == NULL };

	if (!s.absent) {
		s.row_version = row->row_version;
		s.decode_result = fg_lrow_decode(row->value, &s.row);
	}
	if (f->phase == FILING_STARTING)
		handle_row_starting(l, f, &s);
	else if (f->phase == FILING_RECORDING)
		handle_row_recording(l, f, &s);
	else
		handle_row_undoing(l, f, &s);
	g_free(s.row.text);
}

char *filing_encode_row(const struct fg_ledger *l, const struct filing *f)
{
	struct fg_lrow row = {
		.state = f->phase == FILING_STARTING
				 ? FG_LROW_STARTED
				 : fg_lrow_state_from_outcome(f->outcome),
		.nonce = f->nonce,
		.body = f->body_hash,
		.by = l->conf.self,
		.at = ledger_wall_now(l),
		.reason = f->reason,
		.text = f->text,
	};

	return fg_lrow_encode(&row);
}
