/*
 * Fuzzes the ledger with table results that a correct platform does not return.
 * Each filing must still be dispatched at most once and answered at most once,
 * and never dispatched after its answer. An outcome is recorded only for a
 * filing that was dispatched and answered.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "ledger/fg_ledger.h"

#define FILINGS_MAX 64
#define OPS_MAX 256

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

struct fuzz_case {
	const uint8_t *data; /* input not yet used */
	size_t left_bytes;
	fg_ms now;
	uint64_t n_filings;
	bool dispatched[FILINGS_MAX + 1];
	bool answered[FILINGS_MAX + 1];
	struct fg_table_op *ops[OPS_MAX]; /* without a result yet */
	size_t n_ops;
};

static uint8_t take_byte(struct fuzz_case *c)
{
	if (c->left_bytes == 0)
		return 0;
	c->left_bytes--;
	return *c->data++;
}

static void handle_act(void *arg, struct fg_ledger_act *act)
{
	struct fuzz_case *c = arg;

	switch (act->type) {
	case FG_LA_TABLE:
		if (c->n_ops < OPS_MAX)
			c->ops[c->n_ops++] = act->op;
		else
			fg_table_op_free(act->op);
		break;
	case FG_LA_DISPATCH:
		if (c->dispatched[act->id] || c->answered[act->id])
			abort();
		c->dispatched[act->id] = true;
		break;
	case FG_LA_ANSWER:
		if (c->answered[act->id])
			abort();
		c->answered[act->id] = true;
		break;
	case FG_LA_RECORDED:
		if (!c->dispatched[act->id] || !c->answered[act->id])
			abort();
		break;
	}
}

/* Returns the value that the operation writes, sometimes with one byte changed,
 * or bytes of the input. */
static char *choose_value(struct fuzz_case *c, const struct fg_table_op *op)
{
	size_t len;
	char *value;

	if (op->n_writes > 0 && take_byte(c) % 2 == 0) {
		value = g_strdup(op->writes[0].value);
		if (value != NULL && take_byte(c) % 4 == 0)
			value[take_byte(c) % strlen(value)] =
				' ' + take_byte(c) % 90;
		return value;
	}
	len = take_byte(c);
	len = MIN(len, c->left_bytes);
	value = g_strndup((const char *)c->data, len);
	c->data += len;
	c->left_bytes -= len;
	return value;
}

static void answer_op(struct fuzz_case *c, struct fg_ledger *l, size_t i)
{
	struct fg_table_op *op = c->ops[i];
	uint8_t choice = take_byte(c);
	struct fg_table_result *res = fg_table_result_new(
		op->id, op->kind,
		(enum fg_pf_result)(choice % (FG_PF_BAD_ANSWER + 1)));

	c->ops[i] = c->ops[--c->n_ops];
	if (choice >= 64) {
		char *value = choose_value(c, op);
		const char *key =
			op->n_writes > 0 ? op->writes[0].key : op->key;

		fg_table_result_add_row(res, key, take_byte(c), value);
		g_free(value);
	}
	if (!fg_ledger_handle_result(l, c->now, res, handle_act, c))
		abort();
	fg_table_result_free(res);
	fg_table_op_free(op);
}

static void run_step(struct fuzz_case *c, struct fg_ledger *l)
{
	uint8_t choice = take_byte(c);
	char key[4] = { 'a' + take_byte(c) % 4, '\0' };

	c->now += choice >> 3;
	switch (choice % 5) {
	case 0:
		if (c->n_filings < FILINGS_MAX)
			fg_ledger_start(l, c->now, ++c->n_filings, "c", key,
					take_byte(c) % 2, c->now + 200,
					handle_act, c);
		break;
	case 1:
		fg_ledger_record_outcome(l, c->now,
					 take_byte(c) % (FILINGS_MAX + 1),
					 1 + take_byte(c) % FG_UNKNOWN,
					 FG_R_NONE, key, handle_act, c);
		break;
	case 2:
		fg_ledger_tick(l, c->now, handle_act, c);
		break;
	default:
		if (c->n_ops > 0)
			answer_op(c, l, take_byte(c) % c->n_ops);
		break;
	}
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct fg_ledger_conf conf = { .self = 1,
				       .group_ms = 4,
				       .start_timeout_ms = 100,
				       .record_retry_ms = 20 };
	struct fuzz_case c = { .data = data, .left_bytes = size, .now = 1000 };
	struct fg_ledger *l = fg_ledger_new(&conf, 1);

	fg_ledger_set_wall_offset(l, 0);
	while (c.left_bytes > 0)
		run_step(&c, l);
	for (size_t i = 0; i < c.n_ops; i++)
		fg_table_op_free(c.ops[i]);
	fg_ledger_free(l);
	return 0;
}
