/*
 * What one filing does next, given what its row says.
 *
 * Invariants: a filing is dispatched only from filing_confirm(), which a
 * filing reaches once, with its own nonce seen in a started row; every write
 * requires a row version, so that a write delayed on its way is void after
 * any later one; nobody writes over a started row but the owner of its nonce.
 */
#include "ledger/fg_ledger_internal.h"

#include <assert.h>
#include <string.h>

/* A caller told "in progress" asks again after this. */
#define ASK_AGAIN_MS 500

/* Between tries to read a row back while a start waits for it. */
#define READ_RETRY_MS 50

void filing_want(struct fg_ledger *l, struct filing *f, enum filing_want want,
		 fg_ms due)
{
	f->want = want;
	f->due = due;
	l->next = MIN(l->next, due);
}

void filing_drop(struct fg_ledger *l, struct filing *f)
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

static void want_conditional_write(struct fg_ledger *l, struct filing *f,
				   fg_ms due)
{
	filing_want(l, f, f->expect_known ? WANT_WRITE : WANT_READ, due);
}

void filing_record(struct fg_ledger *l, struct filing *f, fg_ms due)
{
	f->phase = FILING_RECORD;
	want_conditional_write(l, f, due);
}

void filing_undo(struct fg_ledger *l, struct filing *f, fg_ms due)
{
	assert(f->phase == FILING_START || f->outcome == FG_NOT_RUN);
	f->phase = FILING_UNDO;
	f->outcome = FG_NOT_RUN;
	want_conditional_write(l, f, due);
}

bool filing_late(const struct fg_ledger *l, const struct filing *f)
{
	return l->now >= f->deadline ||
	       l->now - f->begun >= (fg_ms)l->conf.start_timeout_ms;
}

static void answer_start(struct fg_ledger *l, struct filing *f,
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
	answer_start(l, f, FG_NOT_RUN, reason, l->conf.record_retry_ms);
}

void filing_answer_not_run(struct fg_ledger *l, struct filing *f)
{
	assert(f->outcome == FG_NOT_RUN);
	if (!f->answered)
		ledger_answer(l, f->id, FG_NOT_RUN, f->reason, NULL, false,
			      l->conf.record_retry_ms);
	f->answered = true;
}

/* Ends a start that will never be dispatched. A row of it that may exist, or
 * may come to exist when a delayed insert arrives, is made void first. */
static void abandon(struct fg_ledger *l, struct filing *f, fg_ms due)
{
	assert(f->answered);
	if (f->may_exist)
		filing_undo(l, f, due);
	else
		filing_drop(l, f);
}

void filing_give_up(struct fg_ledger *l, struct filing *f)
{
	answer_late(l, f);
	if (!f->in_flight)
		abandon(l, f, l->now);
}

/* The started row with our nonce is stored. */
static void filing_confirm(struct fg_ledger *l, struct filing *f)
{
	struct fg_ledger_act act = { .type = FG_LA_DISPATCH, .id = f->id };

	assert(f->phase == FILING_START && !f->dispatched);
	if (f->answered || filing_late(l, f)) {
		answer_late(l, f);
		filing_undo(l, f, l->now);
		return;
	}
	f->phase = FILING_RUN;
	f->want = WANT_NOTHING;
	f->dispatched = true;
	l->emit(l->emit_arg, &act);
}

/* The row says how the filing ended, or can never say that it started. */
static void filing_settled(struct fg_ledger *l, struct filing *f)
{
	struct fg_ledger_act act = { .type = FG_LA_RECORDED, .id = f->id };

	if (f->phase == FILING_UNDO)
		filing_answer_not_run(l, f);
	if (f->dispatched)
		l->emit(l->emit_arg, &act);
	filing_drop(l, f);
}

void filing_written(struct fg_ledger *l, struct filing *f)
{
	if (f->phase == FILING_START) {
		f->may_exist = true;
		filing_confirm(l, f);
		return;
	}
	filing_settled(l, f);
}

void filing_write_down(struct fg_ledger *l, struct filing *f)
{
	if (f->phase != FILING_START) {
		filing_want(l, f, WANT_WRITE, ledger_retry_at(l));
		return;
	}
	answer_start(l, f, FG_NOT_RUN, FG_R_LEDGER_DOWN,
		     l->conf.record_retry_ms);
	f->reason = FG_R_LEDGER_DOWN;
	abandon(l, f, ledger_retry_at(l));
}

void filing_write_lost(struct fg_ledger *l, struct filing *f)
{
	if (f->phase != FILING_START) {
		/* The same write again: if the lost one was stored, this one
		 * conflicts and finds our nonce in its way. */
		filing_want(l, f, WANT_WRITE, ledger_retry_at(l));
		return;
	}
	f->may_exist = true;
	if (f->answered)
		abandon(l, f, ledger_retry_at(l));
	else
		filing_want(l, f, WANT_READ, l->now);
}

void filing_read_failed(struct fg_ledger *l, struct filing *f,
			enum fg_pf_result result)
{
	if (f->phase != FILING_START) {
		filing_want(l, f, WANT_READ, ledger_retry_at(l));
		return;
	}
	if (result == FG_PF_DOWN)
		answer_start(l, f, FG_NOT_RUN, FG_R_LEDGER_DOWN,
			     l->conf.record_retry_ms);
	if (f->answered)
		abandon(l, f, ledger_retry_at(l));
	else
		filing_want(l, f, WANT_READ, l->now + READ_RETRY_MS);
}

/* ---- What the row says ---- */

struct seen {
	bool absent;
	uint64_t row_version;
	enum fg_lrow_read read;
	struct fg_lrow row;
};

static bool is_ours(const struct filing *f, const struct seen *s)
{
	return !s->absent && s->read == FG_LROW_OK && s->row.nonce == f->nonce;
}

static void write_over(struct fg_ledger *l, struct filing *f,
		       const struct seen *s)
{
	f->expect = s->absent ? 0 : s->row_version;
	f->expect_known = true;
	filing_want(l, f, WANT_WRITE, l->now);
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

/* Somebody else's start, not ended as far as the row says. A dead instance
 * cannot end it any more; one that is only paused may still record it, which
 * a later repeat of the key then finds. */
static void answer_started(struct fg_ledger *l, struct filing *f, uint64_t by)
{
	bool dead = l->is_dead != NULL && l->is_dead(l->dead_arg, by);

	if (dead || by == l->conf.self)
		answer_start(l, f, FG_UNKNOWN, FG_R_ENDPOINT_LOST, 0);
	else
		answer_start(l, f, FG_UNKNOWN, FG_R_IN_PROGRESS, ASK_AGAIN_MS);
}

/* Another start holds the key for good. */
static void answer_from_row(struct fg_ledger *l, struct filing *f,
			    const struct fg_lrow *row)
{
	if (row->body != f->body) {
		answer_start(l, f, FG_NOT_RUN, FG_R_KEY_REUSED, 0);
		return;
	}
	if (row->state == FG_LROW_STARTED) {
		answer_started(l, f, row->by);
		return;
	}
	ledger_answer(l, f->id, outcome_of_state(row->state), row->reason,
		      row->text, true, 0);
	f->answered = true;
}

static void start_saw(struct fg_ledger *l, struct filing *f,
		      const struct seen *s)
{
	if (is_ours(f, s) && s->row.state == FG_LROW_STARTED) {
		f->may_exist = true;
		f->expect = s->row_version;
		f->expect_known = true;
		filing_confirm(l, f);
		return;
	}
	if (f->answered) {
		abandon(l, f, l->now);
		return;
	}
	if (s->absent) {
		/* The lost insert may still be on its way: the same nonce
		 * makes it and this one the same start. */
		write_over(l, f, s);
		return;
	}
	if (s->read != FG_LROW_OK) {
		/* Only a later release can tell how this key ended. */
		answer_start(l, f, FG_UNKNOWN, FG_R_LEDGER_DOWN, 0);
		filing_drop(l, f);
		return;
	}
	if (s->row.state == FG_LROW_NOT_RUN && s->row.body == f->body) {
		write_over(l, f, s);
		return;
	}
	answer_from_row(l, f, &s->row);
	filing_drop(l, f);
}

static void record_saw(struct fg_ledger *l, struct filing *f,
		       const struct seen *s)
{
	bool started = is_ours(f, s) && s->row.state == FG_LROW_STARTED;

	if (s->absent || started)
		write_over(l, f, s);
	else
		filing_settled(l, f);
}

static void undo_saw(struct fg_ledger *l, struct filing *f,
		     const struct seen *s)
{
	uint64_t version = s->absent ? 0 : s->row_version;
	bool started = is_ours(f, s) && s->row.state == FG_LROW_STARTED;
	bool unmoved = f->expect_known && version == f->expect;

	/* Unmoved: a delayed insert of ours could still be stored, so the row
	 * must be written once even though it does not name us. */
	if (started || unmoved)
		write_over(l, f, s);
	else
		filing_settled(l, f);
}

void filing_saw(struct fg_ledger *l, struct filing *f, const struct fg_row *row)
{
	struct seen s = { .absent = row == NULL || row->value == NULL };

	if (!s.absent) {
		s.row_version = row->row_version;
		s.read = fg_lrow_decode(row->value, &s.row);
	}
	if (f->phase == FILING_START)
		start_saw(l, f, &s);
	else if (f->phase == FILING_RECORD)
		record_saw(l, f, &s);
	else
		undo_saw(l, f, &s);
	g_free(s.row.text);
}

char *filing_value(const struct fg_ledger *l, const struct filing *f)
{
	struct fg_lrow row = {
		.state = f->phase == FILING_START
				 ? FG_LROW_STARTED
				 : fg_lrow_of_outcome(f->outcome),
		.nonce = f->nonce,
		.body = f->body,
		.by = l->conf.self,
		.at = ledger_wall(l),
		.reason = f->reason,
		.text = f->text,
	};

	return fg_lrow_encode(&row);
}
