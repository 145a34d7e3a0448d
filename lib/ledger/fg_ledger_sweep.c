/*
 * Deletion of rows past their retention.
 *
 * The rows are read one part of the key space at a time, by the leading
 * digits of the hash. A row goes when its stamp is retention_s older than both
 * our wall clock and the newest stamp in its part: a clock that runs ahead on
 * one instance alone therefore deletes nothing early. Deletion requires the row
 * version that was read, so a row written meanwhile stays.
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
	/* A random part: instances that sweep do not follow one another. */
	l->sweep_part = fg_rand_below(&l->rand, FG_LEDGER_SWEEP_PARTS);
	snprintf(prefix, sizeof(prefix), FG_LEDGER_PREFIX "%03x",
		 l->sweep_part);
	l->sweep_op = ledger_id(l);
	op = fg_table_op_new(l->sweep_op, FG_OP_SCAN, prefix);
	ledger_emit_op(l, op);
}

static fg_ms stamp_of(const struct fg_row *row)
{
	struct fg_lrow lrow;

	if (fg_lrow_decode(row->value, &lrow) != FG_LROW_OK)
		return FG_MS_NEVER;
	g_free(lrow.text);
	return lrow.at;
}

static fg_ms newest_stamp(const struct fg_table_result *res)
{
	fg_ms newest = 0;

	for (size_t i = 0; i < res->n_rows; i++) {
		fg_ms at = stamp_of(&res->rows[i]);

		if (at != FG_MS_NEVER)
			newest = MAX(newest, at);
	}
	return newest;
}

static struct fg_table_op *deletions(const struct fg_ledger *l,
				     const struct fg_table_result *res)
{
	fg_ms keep_ms = (fg_ms)l->conf.retention_s * FG_MS_PER_S;
	fg_ms oldest = MIN(ledger_wall(l), newest_stamp(res)) - keep_ms;
	struct fg_table_op *op = fg_table_op_new(0, FG_OP_TXN, NULL);

	for (size_t i = 0; i < res->n_rows && op->n_writes < FG_TXN_MAX; i++) {
		const struct fg_row *row = &res->rows[i];

		if (stamp_of(row) < oldest)
			fg_table_op_write(op, row->key, row->row_version, NULL);
	}
	return op;
}

void ledger_sweep_result(struct fg_ledger *l, const struct fg_table_result *res)
{
	struct fg_table_op *op;

	l->sweep_op = 0;
	if (res->kind != FG_OP_SCAN || res->result != FG_PF_OK)
		return;
	op = deletions(l, res);
	if (op->n_writes == 0) {
		fg_table_op_free(op);
		return;
	}
	l->sweep_op = ledger_id(l);
	op->id = l->sweep_op;
	ledger_emit_op(l, op);
}
