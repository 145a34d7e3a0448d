/*
 * Fuzzes the ledger with results that a platform should not give. Whatever
 * comes, each filing is dispatched at most once and answered at most once,
 * and never dispatched after its answer.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "ledger/fg_ledger.h"

#define FILINGS_MAX 64
#define OPS_MAX 256

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

struct run {
	const uint8_t *data;
	size_t left;
	fg_ms now;
	uint64_t filings;
	bool dispatched[FILINGS_MAX + 1];
	bool answered[FILINGS_MAX + 1];
	struct fg_table_op *ops[OPS_MAX];
	size_t n_ops;
};

static uint8_t take(struct run *r)
{
	if (r->left == 0)
		return 0;
	r->left--;
	return *r->data++;
}

static void emit(void *arg, struct fg_ledger_act *act)
{
	struct run *r = arg;

	switch (act->type) {
	case FG_LA_TABLE:
		if (r->n_ops < OPS_MAX)
			r->ops[r->n_ops++] = act->op;
		else
			fg_table_op_free(act->op);
		break;
	case FG_LA_DISPATCH:
		if (r->dispatched[act->id] || r->answered[act->id])
			abort();
		r->dispatched[act->id] = true;
		break;
	case FG_LA_ANSWER:
		if (r->answered[act->id])
			abort();
		r->answered[act->id] = true;
		break;
	case FG_LA_RECORDED:
		if (!r->dispatched[act->id] || !r->answered[act->id])
			abort();
		break;
	}
}

/* The value that the operation wants to write, with one byte changed, or
 * bytes of the input. */
static char *draw_value(struct run *r, const struct fg_table_op *op)
{
	size_t len;
	char *value;

	if (op->n_writes > 0 && take(r) % 2 == 0) {
		value = g_strdup(op->writes[0].value);
		if (value != NULL && take(r) % 4 == 0)
			value[take(r) % strlen(value)] = ' ' + take(r) % 90;
		return value;
	}
	len = take(r);
	len = MIN(len, r->left);
	value = g_strndup((const char *)r->data, len);
	r->data += len;
	r->left -= len;
	return value;
}

static void answer(struct run *r, struct fg_ledger *l, size_t i)
{
	struct fg_table_op *op = r->ops[i];
	uint8_t how = take(r);
	struct fg_table_result *res = fg_table_result_new(
		op->id, op->kind, (enum fg_pf_result)(how % (FG_PF_BAD + 1)));

	r->ops[i] = r->ops[--r->n_ops];
	if (how >= 64) {
		char *value = draw_value(r, op);
		const char *key =
			op->n_writes > 0 ? op->writes[0].key : op->key;

		fg_table_result_row(res, key, take(r), value);
		g_free(value);
	}
	if (!fg_ledger_handle_result(l, r->now, res, emit, r))
		abort();
	fg_table_result_free(res);
	fg_table_op_free(op);
}

static void step(struct run *r, struct fg_ledger *l)
{
	uint8_t what = take(r);
	char key[4] = { 'a' + take(r) % 4, '\0' };

	r->now += what >> 3;
	switch (what % 5) {
	case 0:
		if (r->filings < FILINGS_MAX)
			fg_ledger_start(l, r->now, ++r->filings, "c", key,
					take(r) % 2, r->now + 200, emit, r);
		break;
	case 1:
		fg_ledger_record_outcome(l, r->now, take(r) % (FILINGS_MAX + 1),
					 1 + take(r) % FG_UNKNOWN, FG_R_NONE,
					 key, emit, r);
		break;
	case 2:
		fg_ledger_tick(l, r->now, emit, r);
		break;
	default:
		if (r->n_ops > 0)
			answer(r, l, take(r) % r->n_ops);
		break;
	}
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct fg_ledger_conf conf = { .self = 1,
				       .group_ms = 4,
				       .start_timeout_ms = 100,
				       .record_retry_ms = 20 };
	struct run r = { .data = data, .left = size, .now = 1000 };
	struct fg_ledger *l = fg_ledger_new(&conf, 1);

	fg_ledger_set_wall_offset(l, 0);
	while (r.left > 0)
		step(&r, l);
	for (size_t i = 0; i < r.n_ops; i++)
		fg_table_op_free(r.ops[i]);
	fg_ledger_free(l);
	return 0;
}
