/*
 * Emits grouped writes and reads, and handles the results of operations.
 *
 * A write that is due is grouped with others due within group_ms. If a group
 * conflicts, the conflicting row settles its filing and the other filings form
 * one new group. If the new group conflicts too, each filing is written in a
 * transaction of its own. A write is therefore stored or settled within three
 * rounds.
 */
#include "ledger/fg_ledger_internal.h"

#include <assert.h>
#include <string.h>

/* The table counts as unavailable after this many consecutive lost answers. */
#define CONSECUTIVE_LOST_DOWN 2

static void emit_batch(struct fg_ledger *l, struct fg_table_op *op,
		       struct batch *b)
{
	b->op_id = ledger_new_id(l);
	op->id = b->op_id;
	g_hash_table_insert(l->ops, &b->op_id, b);
	ledger_emit_op(l, op);
}

static void add_to_batch(struct batch *b, struct filing *f)
{
	assert(b->n < FG_TXN_MAX && !f->in_flight);
	f->in_flight = true;
	f->next_op = FILING_OP_NONE;
	b->filings[b->n++] = f;
}

static void emit_read(struct fg_ledger *l, struct filing *f)
{
	struct batch *b = g_new0(struct batch, 1);

	b->kind = FG_OP_GET;
	add_to_batch(b, f);
	emit_batch(l, fg_table_op_new(0, FG_OP_GET, f->row_key), b);
}

static void emit_writes(struct fg_ledger *l, struct batch *b)
{
	struct fg_table_op *op = fg_table_op_new(0, FG_OP_TXN, NULL);
	char *value;

	b->kind = FG_OP_TXN;
	for (size_t i = 0; i < b->n; i++) {
		struct filing *f = b->filings[i];

		assert(f->has_expected_version);
		value = filing_encode_row(l, f);
		fg_table_op_add_write(op, f->row_key, f->expected_version,
				      value);
		g_free(value);
	}
	emit_batch(l, op, b);
}

static void emit_solo(struct fg_ledger *l, struct filing *f)
{
	struct batch *b = g_new0(struct batch, 1);

	add_to_batch(b, f);
	emit_writes(l, b);
}

/* While the table is unavailable, one operation per record_retry_ms probes it.
 * Writes and reads of many filings would only add load. Starts are not held
 * back: few are in progress, since new ones are refused, and their callers
 * wait. */
static bool is_held_back(const struct fg_ledger *l, const struct filing *f)
{
	if (l->down_until == 0 || f->phase == FILING_STARTING)
		return false;
	return l->now < l->down_until || g_hash_table_size(l->ops) > 0;
}

static bool can_join_group(const struct fg_ledger *l, const struct filing *f)
{
	return f->next_op == FILING_OP_WRITE && !f->solo &&
	       !is_held_back(l, f) &&
	       f->due_at - l->now <= (fg_ms)l->conf.group_ms;
}

/* Emits one group of writes. Returns false if none is due. */
static bool emit_group(struct fg_ledger *l)
{
	struct batch *b = g_new0(struct batch, 1);
	bool has_due = false;

	for (GList *n = l->filings.head; n != NULL; n = n->next) {
		struct filing *f = n->data;

		if (!can_join_group(l, f) || b->n == FG_TXN_MAX)
			continue;
		has_due = has_due || f->due_at <= l->now;
		b->filings[b->n++] = f;
	}
	if (b->n < FG_TXN_MAX && !has_due) {
		g_free(b);
		return false;
	}
	for (size_t i = 0; i < b->n; i++) {
		b->filings[i]->in_flight = true;
		b->filings[i]->next_op = FILING_OP_NONE;
	}
	emit_writes(l, b);
	return true;
}

void ledger_flush(struct fg_ledger *l)
{
	for (GList *n = l->filings.head; n != NULL; n = n->next) {
		struct filing *f = n->data;

		if (f->next_op == FILING_OP_NONE || f->due_at > l->now ||
		    is_held_back(l, f))
			continue;
		if (f->next_op == FILING_OP_READ)
			emit_read(l, f);
		else if (f->solo)
			emit_solo(l, f);
	}
	while (emit_group(l))
		;
}

void ledger_update_next_tick(struct fg_ledger *l)
{
	l->next_tick_at = FG_MS_NEVER;
	for (GList *n = l->filings.head; n != NULL; n = n->next) {
		const struct filing *f = n->data;

		if (f->next_op != FILING_OP_NONE)
			l->next_tick_at = MIN(l->next_tick_at, f->due_at);
		if (f->answered)
			continue;
		if (f->phase == FILING_STARTING) {
			l->next_tick_at = MIN(l->next_tick_at, f->deadline);
			l->next_tick_at =
				MIN(l->next_tick_at,
				    f->arrived_at + l->conf.start_timeout_ms);
		}
		if (f->phase == FILING_UNDOING)
			l->next_tick_at = MIN(l->next_tick_at, f->answer_by);
	}
}

/* ---- Results ---- */

static void update_availability(struct fg_ledger *l, enum fg_pf_result result)
{
	switch (result) {
	case FG_PF_OK:
	case FG_PF_CONFLICT:
	case FG_PF_ABSENT:
		l->consecutive_lost = 0;
		l->down_until = 0;
		return;
	case FG_PF_LOST:
	case FG_PF_BAD_ANSWER:
		if (++l->consecutive_lost < CONSECUTIVE_LOST_DOWN)
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

static void handle_group_written(struct fg_ledger *l, struct batch *b,
				 const struct fg_table_result *res)
{
	for (size_t i = 0; i < b->n; i++) {
		struct filing *f = b->filings[i];
		const struct fg_row *row = find_row(res, f->row_key);

		f->has_expected_version = row != NULL && row->row_version != 0;
		f->expected_version =
			f->has_expected_version ? row->row_version : 0;
		f->solo = false;
		f->was_regrouped = false;
		filing_handle_written(l, f);
	}
}

static void retry_write(struct fg_ledger *l, struct filing *f,
			bool conflict_known)
{
	f->solo = f->solo || f->was_regrouped || !conflict_known;
	f->was_regrouped = true;
	filing_schedule_op(l, f, FILING_OP_WRITE, l->now);
}

static void handle_group_conflict(struct fg_ledger *l, struct batch *b,
				  const struct fg_table_result *res)
{
	bool conflict_known = false;

	for (size_t i = 0; i < b->n; i++)
		conflict_known =
			conflict_known || find_row(res, b->filings[i]->row_key);
	for (size_t i = 0; i < b->n; i++) {
		struct filing *f = b->filings[i];
		const struct fg_row *row = find_row(res, f->row_key);

		if (row != NULL)
			filing_handle_row(l, f, row);
		else if (b->n == 1)
			filing_schedule_op(l, f, FILING_OP_READ, l->now);
		else
			retry_write(l, f, conflict_known);
	}
}

static void handle_txn_result(struct fg_ledger *l, struct batch *b,
			      const struct fg_table_result *res)
{
	if (res->result == FG_PF_OK) {
		handle_group_written(l, b, res);
		return;
	}
	if (res->result == FG_PF_CONFLICT) {
		handle_group_conflict(l, b, res);
		return;
	}
	for (size_t i = 0; i < b->n; i++) {
		if (res->result == FG_PF_DOWN)
			filing_handle_write_down(l, b->filings[i]);
		else
			filing_handle_write_lost(l, b->filings[i]);
	}
}

static void handle_read_result(struct fg_ledger *l, struct filing *f,
			       const struct fg_table_result *res)
{
	const struct fg_row *row = find_row(res, f->row_key);

	if (res->result == FG_PF_ABSENT)
		filing_handle_row(l, f, NULL);
	else if (res->result == FG_PF_OK && row != NULL)
		filing_handle_row(l, f, row);
	else
		filing_handle_read_failure(l, f, res->result);
}

static void handle_batch_result(struct fg_ledger *l, struct batch *b,
				const struct fg_table_result *res)
{
	for (size_t i = 0; i < b->n; i++)
		b->filings[i]->in_flight = false;
	if (b->kind == FG_OP_GET)
		handle_read_result(l, b->filings[0], res);
	else
		handle_txn_result(l, b, res);
}

bool fg_ledger_handle_result(struct fg_ledger *l, fg_ms now,
			     const struct fg_table_result *res,
			     fg_ledger_emit emit, void *arg)
{
	struct batch *b = g_hash_table_lookup(l->ops, &res->id);
	bool is_sweep = l->sweep_op != 0 && res->id == l->sweep_op;

	if (b == NULL && !is_sweep)
		return false;
	l->now = now;
	l->emit = emit;
	l->emit_arg = arg;
	update_availability(l, res->result);
	if (is_sweep) {
		ledger_handle_sweep_result(l, res);
		return true;
	}
	g_hash_table_steal(l->ops, &res->id);
	handle_batch_result(l, b, res);
	g_free(b);
	ledger_flush(l);
	ledger_update_next_tick(l);
	return true;
}
