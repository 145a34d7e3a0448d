/*
 * Grouping writes, reads, and the fate of operations.
 *
 * A write that is due takes along others due within group_ms. When a group
 * conflicts, the filing whose row was in the way is settled by that row and
 * the others go into one new group; if that one conflicts too, each is
 * written by itself. So a write is stored or settled in three rounds.
 */
#include "ledger/fg_ledger_internal.h"

#include <assert.h>
#include <string.h>

/* Lost answers in a row from which on the table counts as unreachable. */
#define LOST_STREAK_DOWN 2

static void track(struct fg_ledger *l, struct fg_table_op *op, struct batch *b)
{
	b->op_id = ledger_id(l);
	op->id = b->op_id;
	g_hash_table_insert(l->ops, &b->op_id, b);
	ledger_emit_op(l, op);
}

static void take(struct batch *b, struct filing *f)
{
	assert(b->n < FG_TXN_MAX && !f->in_flight);
	f->in_flight = true;
	f->want = WANT_NOTHING;
	b->filings[b->n++] = f;
}

static void emit_read(struct fg_ledger *l, struct filing *f)
{
	struct batch *b = g_new0(struct batch, 1);

	b->kind = FG_OP_GET;
	take(b, f);
	track(l, fg_table_op_new(0, FG_OP_GET, f->row_key), b);
}

static void emit_writes(struct fg_ledger *l, struct batch *b)
{
	struct fg_table_op *op = fg_table_op_new(0, FG_OP_TXN, NULL);
	char *value;

	b->kind = FG_OP_TXN;
	for (size_t i = 0; i < b->n; i++) {
		struct filing *f = b->filings[i];

		assert(f->expect_known);
		value = filing_value(l, f);
		fg_table_op_write(op, f->row_key, f->expect, value);
		g_free(value);
	}
	track(l, op, b);
}

static void emit_solo(struct fg_ledger *l, struct filing *f)
{
	struct batch *b = g_new0(struct batch, 1);

	take(b, f);
	emit_writes(l, b);
}

/* While the table is down, one operation in each record_retry_ms finds out
 * whether it is back; records and reads of many filings would only add to its
 * load. Starts are few then, since new ones are refused, and are not to wait.
 */
static bool held_back(const struct fg_ledger *l, const struct filing *f)
{
	if (l->down_until == 0 || f->phase == FILING_START)
		return false;
	return l->now < l->down_until || g_hash_table_size(l->ops) > 0;
}

static bool joins_group(const struct fg_ledger *l, const struct filing *f)
{
	return f->want == WANT_WRITE && !f->solo && !held_back(l, f) &&
	       f->due - l->now <= (fg_ms)l->conf.group_ms;
}

/* One group of writes; returns false when none is due. */
static bool emit_group(struct fg_ledger *l)
{
	struct batch *b = g_new0(struct batch, 1);
	bool due = false;

	for (GList *n = l->filings.head; n != NULL; n = n->next) {
		struct filing *f = n->data;

		if (!joins_group(l, f) || b->n == FG_TXN_MAX)
			continue;
		due = due || f->due <= l->now;
		b->filings[b->n++] = f;
	}
	if (b->n < FG_TXN_MAX && !due) {
		g_free(b);
		return false;
	}
	for (size_t i = 0; i < b->n; i++) {
		b->filings[i]->in_flight = true;
		b->filings[i]->want = WANT_NOTHING;
	}
	emit_writes(l, b);
	return true;
}

void ledger_flush(struct fg_ledger *l)
{
	for (GList *n = l->filings.head; n != NULL; n = n->next) {
		struct filing *f = n->data;

		if (f->want == WANT_NOTHING || f->due > l->now ||
		    held_back(l, f))
			continue;
		if (f->want == WANT_READ)
			emit_read(l, f);
		else if (f->solo)
			emit_solo(l, f);
	}
	while (emit_group(l))
		;
}

void ledger_schedule(struct fg_ledger *l)
{
	l->next = FG_MS_NEVER;
	for (GList *n = l->filings.head; n != NULL; n = n->next) {
		const struct filing *f = n->data;

		if (f->want != WANT_NOTHING)
			l->next = MIN(l->next, f->due);
		if (f->answered)
			continue;
		if (f->phase == FILING_START) {
			l->next = MIN(l->next, f->deadline);
			l->next = MIN(l->next,
				      f->begun + l->conf.start_timeout_ms);
		}
		if (f->phase == FILING_UNDO)
			l->next = MIN(l->next, f->answer_by);
	}
}

/* ---- Results ---- */

static void note_health(struct fg_ledger *l, enum fg_pf_result result)
{
	switch (result) {
	case FG_PF_OK:
	case FG_PF_CONFLICT:
	case FG_PF_ABSENT:
		l->lost_streak = 0;
		l->down_until = 0;
		return;
	case FG_PF_LOST:
	case FG_PF_BAD:
		if (++l->lost_streak < LOST_STREAK_DOWN)
			return;
		break;
	case FG_PF_DOWN:
		break;
	}
	l->down_until = l->now + l->conf.record_retry_ms;
}

static const struct fg_row *find_row(const struct fg_table_result *res,
				     const char *key)
{
	for (size_t i = 0; i < res->n_rows; i++)
		if (strcmp(res->rows[i].key, key) == 0)
			return &res->rows[i];
	return NULL;
}

static void group_written(struct fg_ledger *l, struct batch *b,
			  const struct fg_table_result *res)
{
	for (size_t i = 0; i < b->n; i++) {
		struct filing *f = b->filings[i];
		const struct fg_row *row = find_row(res, f->row_key);

		f->expect_known = row != NULL && row->row_version != 0;
		f->expect = f->expect_known ? row->row_version : 0;
		f->solo = false;
		f->regrouped = false;
		filing_written(l, f);
	}
}

static void write_again(struct fg_ledger *l, struct filing *f, bool named)
{
	f->solo = f->solo || f->regrouped || !named;
	f->regrouped = true;
	filing_want(l, f, WANT_WRITE, l->now);
}

static void group_conflict(struct fg_ledger *l, struct batch *b,
			   const struct fg_table_result *res)
{
	bool named = false;

	for (size_t i = 0; i < b->n; i++)
		named = named || find_row(res, b->filings[i]->row_key);
	for (size_t i = 0; i < b->n; i++) {
		struct filing *f = b->filings[i];
		const struct fg_row *row = find_row(res, f->row_key);

		if (row != NULL)
			filing_saw(l, f, row);
		else if (b->n == 1)
			filing_want(l, f, WANT_READ, l->now);
		else
			write_again(l, f, named);
	}
}

static void txn_result(struct fg_ledger *l, struct batch *b,
		       const struct fg_table_result *res)
{
	if (res->result == FG_PF_OK) {
		group_written(l, b, res);
		return;
	}
	if (res->result == FG_PF_CONFLICT) {
		group_conflict(l, b, res);
		return;
	}
	for (size_t i = 0; i < b->n; i++) {
		if (res->result == FG_PF_DOWN)
			filing_write_down(l, b->filings[i]);
		else
			filing_write_lost(l, b->filings[i]);
	}
}

static void read_result(struct fg_ledger *l, struct filing *f,
			const struct fg_table_result *res)
{
	const struct fg_row *row = find_row(res, f->row_key);

	if (res->result == FG_PF_ABSENT)
		filing_saw(l, f, NULL);
	else if (res->result == FG_PF_OK && row != NULL)
		filing_saw(l, f, row);
	else
		filing_read_failed(l, f, res->result);
}

static void batch_result(struct fg_ledger *l, struct batch *b,
			 const struct fg_table_result *res)
{
	for (size_t i = 0; i < b->n; i++)
		b->filings[i]->in_flight = false;
	if (b->kind == FG_OP_GET)
		read_result(l, b->filings[0], res);
	else
		txn_result(l, b, res);
}

bool fg_ledger_handle_result(struct fg_ledger *l, fg_ms now,
			     const struct fg_table_result *res,
			     fg_ledger_emit emit, void *arg)
{
	struct batch *b = g_hash_table_lookup(l->ops, &res->id);
	bool swept = l->sweep_op != 0 && res->id == l->sweep_op;

	if (b == NULL && !swept)
		return false;
	l->now = now;
	l->emit = emit;
	l->emit_arg = arg;
	note_health(l, res->result);
	if (swept) {
		ledger_sweep_result(l, res);
		return true;
	}
	g_hash_table_steal(l->ops, &res->id);
	batch_result(l, b, res);
	g_free(b);
	ledger_flush(l);
	ledger_schedule(l);
	return true;
}
