/*
 * Deletion of rows past their retention.
 *
 * One part of the key space, given by the leading digits of the hash, is read
 * per sweep. A row is deleted if its timestamp is retention_s older than both
 * the wall clock and the newest timestamp in its part, so that a fast clock on
 * a single instance deletes nothing early. A deletion requires the row version
 * that was read, so a row written in the meantime is kept.
 */
#include "ledger/fg_ledger_internal.h"

#include <stdio.h>

void fg_ledger_sweep(struct fg_ledger *l, fg_ms now, fg_ledger_emit emit,
		     void *arg)
{
	struct fg_table_op *op;
	char prefix[FG_ROW_KEY_MAX];

	if (l->sweep_op != 0 || !l->wall_known || now < l->down_until)
		return;
	l->now = now;
	l->emit = emit;
	l->emit_arg = arg;
	/* Random, so that instances do not sweep the same parts in step. */
	l->sweep_part = fg_rand_below(&l->rand, FG_LEDGER_SWEEP_PARTS);
	snprintf(prefix, sizeof(prefix), FG_LEDGER_PREFIX "%03x",
		 l->sweep_part);
	l->sweep_op = ledger_new_id(l);
	op = fg_table_op_new(l->sweep_op, FG_OP_SCAN, prefix);
	ledger_emit_op(l, op);
}

static fg_ms row_timestamp(const struct fg_row *row)
{
	struct fg_lrow lrow;

	if (fg_lrow_decode(row->value, &lrow) != FG_LROW_OK)
		return FG_MS_NEVER;
	g_free(lrow.text);
	return lrow.at;
}

static fg_ms newest_timestamp(const struct fg_table_result *res)
{
	fg_ms newest = 0;

	for (size_t i = 0; i < res->n_rows; i++) {
		fg_ms at = row_timestamp(&res->rows[i]);

		if (at != FG_MS_NEVER)
			newest = MAX(newest, at);
	}
	return newest;
}

static struct fg_table_op *build_deletions(const struct fg_ledger *l,
					   const struct fg_table_result *res)
{
	fg_ms retention_ms = (fg_ms)l->conf.retention_s * FG_MS_PER_S;
	fg_ms cutoff =
		MIN(ledger_wall_now(l), newest_timestamp(res)) - retention_ms;
	struct fg_table_op *op = fg_table_op_new(0, FG_OP_TXN, NULL);

	for (size_t i = 0; i < res->n_rows && op->n_writes < FG_TXN_MAX; i++) {
		const struct fg_row *row = &res->rows[i];

		if (row_timestamp(row) < cutoff)
			fg_table_op_add_write(op, row->key, row->row_version,
					      NULL);
	}
	return op;
}

void ledger_handle_sweep_result(struct fg_ledger *l,
				const struct fg_table_result *res)
{
	struct fg_table_op *op;

	l->sweep_op = 0;
	if (res->kind != FG_OP_SCAN || res->result != FG_PF_OK)
		return;
	op = build_deletions(l, res);
	if (op->n_writes == 0) {
		fg_table_op_free(op);
		return;
	}
	l->sweep_op = ledger_new_id(l);
	op->id = l->sweep_op;
	ledger_emit_op(l, op);
}
