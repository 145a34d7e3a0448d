/* Unit tests of lib/ledger: each mechanism, then random interleavings. */
#include <glib.h>
#include <string.h>

#include "ledger/fg_ledger_internal.h"
#include "ledger_model.h"

#define SEED 20240601
#define INTERLEAVINGS 4000
#define BODY 7

static const struct model_faults no_faults = { .versions = true };

static struct model *model_without_faults(uint32_t instances,
					  enum fg_outcome outcome)
{
	struct model *m = model_new(SEED, instances, &no_faults);

	model_set_outcome(m, outcome);
	return m;
}

static void test_repeat_is_replayed(void)
{
	struct model *m = model_without_faults(2, FG_DONE);
	uint64_t first = model_start(m, 0, 0, BODY);
	uint64_t repeat, other;

	model_run(m, 1000, false);
	repeat = model_start(m, 1, 0, BODY);
	other = model_start(m, 1, 1, BODY);
	model_run(m, 1000, false);
	g_assert_true(model_filing(m, first)->recorded);
	g_assert_true(model_filing(m, repeat)->replayed);
	g_assert_cmpint(model_filing(m, repeat)->answered_outcome, ==, FG_DONE);
	g_assert_false(model_filing(m, other)->replayed);
	g_assert_cmpuint(model_dispatches(m, 0), ==, 1);
	model_free(m);
}

static void test_key_reused_with_other_body(void)
{
	struct model *m = model_without_faults(2, FG_DONE);
	uint64_t here, there;

	model_start(m, 0, 0, BODY);
	here = model_start(m, 0, 0, BODY + 1);
	model_run(m, 500, false);
	there = model_start(m, 1, 0, BODY + 1);
	model_run(m, 500, false);
	g_assert_cmpint(model_filing(m, here)->reason, ==, FG_R_KEY_REUSED);
	g_assert_cmpint(model_filing(m, there)->reason, ==, FG_R_KEY_REUSED);
	g_assert_cmpint(model_filing(m, there)->answered_outcome, ==,
			FG_NOT_RUN);
	model_free(m);
}

static void test_concurrent_starts(void)
{
	struct model *m = model_without_faults(2, FG_DONE);
	uint64_t a = model_start(m, 0, 0, BODY);
	uint64_t b = model_start(m, 1, 0, BODY);
	uint64_t c = model_start(m, 0, 0, BODY);

	model_run(m, 1000, false);
	g_assert_cmpuint(model_dispatches(m, 0), ==, 1);
	g_assert_cmpint(model_filing(m, c)->reason, ==, FG_R_IN_PROGRESS);
	g_assert_cmpint(model_filing(m, c)->answered_outcome, ==, FG_UNKNOWN);
	g_assert_true(model_filing(m, a)->answered);
	g_assert_true(model_filing(m, b)->answered);
	model_free(m);
}

/* The insert is stored but its answer is lost: the row is read back and the
 * filing dispatched. */
static void test_lost_insert_stored(void)
{
	struct model *m = model_without_faults(1, FG_DONE);
	uint64_t id;

	model_lose_next_op(m, 1);
	id = model_start(m, 0, 0, BODY);
	model_run(m, 1000, false);
	g_assert_cmpint(model_filing(m, id)->answered_outcome, ==, FG_DONE);
	g_assert_cmpuint(model_dispatches(m, 0), ==, 1);
	model_free(m);
}

/* A start is abandoned while its insert is delayed. The insert arrives after
 * not_run was stored and is void, so the key can be used again. */
static void test_delayed_insert_is_void(void)
{
	struct model *m = model_without_faults(2, FG_DONE);
	uint64_t id, repeat;

	model_lose_next_op(m, 1500);
	id = model_start(m, 0, 0, BODY);
	model_run(m, 7, false);
	model_outage(m, 500);
	model_run(m, 800, false);
	g_assert_cmpint(model_filing(m, id)->answered_outcome, ==, FG_NOT_RUN);
	g_assert_nonnull(strstr(model_row(m, 0), "not_run"));
	model_run(m, 1500, false);
	repeat = model_start(m, 1, 0, BODY);
	model_run(m, 1000, false);
	g_assert_cmpint(model_filing(m, repeat)->answered_outcome, ==, FG_DONE);
	g_assert_cmpuint(model_dispatches(m, 0), ==, 1);
	model_free(m);
}

/* The instance is paused between the insert and the dispatch for longer than
 * start_timeout_ms. */
static void test_pause_before_dispatch(void)
{
	struct model *m = model_without_faults(2, FG_DONE);
	uint64_t id = model_start(m, 0, 0, BODY);
	uint64_t meanwhile, repeat;

	model_run(m, 7, false);
	model_pause(m, 0, 1000);
	model_run(m, 100, false);
	meanwhile = model_start(m, 1, 0, BODY);
	model_run(m, 500, false);
	g_assert_cmpint(model_filing(m, meanwhile)->answered_outcome, ==,
			FG_UNKNOWN);
	model_run(m, 1500, false);
	g_assert_cmpint(model_filing(m, id)->answered_outcome, ==, FG_NOT_RUN);
	g_assert_cmpuint(model_dispatches(m, 0), ==, 0);
	repeat = model_start(m, 1, 0, BODY);
	model_run(m, 1000, false);
	g_assert_cmpint(model_filing(m, repeat)->answered_outcome, ==, FG_DONE);
	model_free(m);
}

static void test_refuse_while_down(void)
{
	struct model *m = model_without_faults(1, FG_DONE);
	uint64_t first, second;

	model_outage(m, 1000);
	first = model_start(m, 0, 0, BODY);
	model_run(m, 60, false);
	g_assert_cmpint(model_filing(m, first)->answered_outcome, ==,
			FG_NOT_RUN);
	g_assert_cmpint(model_filing(m, first)->reason, ==, FG_R_LEDGER_DOWN);
	/* While the ledger is down, new keys cause no operation. */
	second = model_start(m, 0, 1, BODY);
	g_assert_cmpint(model_filing(m, second)->reason, ==, FG_R_LEDGER_DOWN);
	g_assert_cmpuint(model_ops(m, FG_OP_TXN), ==, 1);
	g_assert_cmpuint(model_pending(m), ==, 0);
	model_free(m);
}

/* During an outage the outcome is answered at once and stored later. Repeats on
 * the same instance get it in the meantime. */
static void test_record_after_outage(void)
{
	struct model *m = model_without_faults(2, FG_DONE);
	uint64_t id = model_start(m, 0, 0, BODY);
	uint64_t here, there;

	while (!model_filing(m, id)->dispatched)
		model_run(m, 1, false);
	model_outage(m, 3000);
	model_run(m, 400, false);
	g_assert_cmpint(model_filing(m, id)->answered_outcome, ==, FG_DONE);
	g_assert_false(model_filing(m, id)->recorded);
	here = model_start(m, 0, 0, BODY);
	g_assert_true(model_filing(m, here)->replayed);
	model_run(m, 4000, false);
	g_assert_true(model_filing(m, id)->recorded);
	there = model_start(m, 1, 0, BODY);
	model_run(m, 500, false);
	g_assert_true(model_filing(m, there)->replayed);
	model_free(m);
}

/* While many outcomes are to be recorded in an outage, the platform is probed
 * at a low rate. */
static void test_probe_while_down(void)
{
	struct model *m = model_without_faults(1, FG_DONE);
	uint32_t before;

	for (uint32_t key = 0; key < 64; key++)
		model_start(m, 0, key, BODY);
	while (!model_filing(m, 64)->dispatched)
		model_run(m, 1, false);
	model_outage(m, 2000);
	before = model_ops(m, FG_OP_TXN);
	model_run(m, 1990, false);
	g_assert_cmpuint(model_ops(m, FG_OP_TXN) - before, <=, 50);
	model_run(m, 2000, false);
	g_assert_cmpuint(model_pending(m), ==, 0);
	for (uint64_t id = 1; id <= 64; id++)
		g_assert_true(model_filing(m, id)->recorded ||
			      model_filing(m, id)->answered_outcome ==
				      FG_NOT_RUN);
	model_free(m);
}

static void test_repeat_after_starter_died(void)
{
	struct model *m = model_without_faults(2, FG_DONE);
	uint64_t id = model_start(m, 1, 0, BODY);
	uint64_t repeat;

	while (!model_filing(m, id)->dispatched)
		model_run(m, 1, false);
	model_kill(m, 1);
	repeat = model_start(m, 0, 0, BODY);
	model_run(m, 500, false);
	g_assert_cmpint(model_filing(m, repeat)->answered_outcome, ==,
			FG_UNKNOWN);
	g_assert_cmpint(model_filing(m, repeat)->reason, ==,
			FG_R_ENDPOINT_LOST);
	g_assert_cmpuint(model_dispatches(m, 0), ==, 1);
	model_free(m);
}

static void test_not_run_can_restart(void)
{
	struct model *m = model_without_faults(2, FG_NOT_RUN);
	uint64_t id = model_start(m, 0, 0, BODY);
	uint64_t repeat;

	model_run(m, 1000, false);
	g_assert_cmpint(model_filing(m, id)->answered_outcome, ==, FG_NOT_RUN);
	g_assert_true(model_filing(m, id)->recorded);
	model_set_outcome(m, FG_DONE);
	repeat = model_start(m, 1, 0, BODY);
	model_run(m, 1000, false);
	g_assert_cmpint(model_filing(m, repeat)->answered_outcome, ==, FG_DONE);
	g_assert_cmpuint(model_dispatches(m, 0), ==, 2);
	model_free(m);
}

/* Writes share a transaction. A conflicting key does not delay the others. */
static void test_grouped_writes(void)
{
	struct model *m = model_without_faults(2, FG_DONE);
	uint32_t before;

	model_start(m, 1, 0, BODY);
	model_run(m, 1000, false);
	for (uint32_t key = 10; key < 20; key++)
		model_start(m, 0, key, BODY);
	model_run(m, 30, false);
	g_assert_cmpuint(model_ops(m, FG_OP_TXN), ==, 3);
	model_run(m, 1000, false);
	for (uint32_t key = 20; key < 29; key++)
		model_start(m, 0, key, BODY);
	g_assert_cmpuint(model_start(m, 0, 0, BODY), ==, 21);
	before = model_ops(m, FG_OP_TXN);
	model_run(m, 35, false);
	/* The group, its other keys after the conflict, and first outcomes. */
	g_assert_cmpuint(model_ops(m, FG_OP_TXN) - before, <=, 6);
	g_assert_true(model_filing(m, 21)->replayed);
	for (uint32_t key = 20; key < 29; key++)
		g_assert_cmpuint(model_dispatches(m, key), ==, 1);
	model_free(m);
}

static void count_refused(void *arg, struct fg_ledger_act *act)
{
	uint32_t *refused = arg;

	if (act->type == FG_LA_TABLE)
		fg_table_op_free(act->op);
	else if (act->reason == FG_R_OVERLOAD)
		(*refused)++;
}

static void test_filings_bound(void)
{
	struct fg_ledger_conf conf = { .self = 1,
				       .group_ms = 4,
				       .start_timeout_ms = 300,
				       .record_retry_ms = 60 };
	struct fg_ledger *l = fg_ledger_new(&conf, SEED);
	uint32_t refused = 0;
	char key[16];

	for (uint64_t id = 1; id <= FG_LEDGER_FILINGS_MAX + 5; id++) {
		g_snprintf(key, sizeof(key), "k%u", (unsigned int)id);
		fg_ledger_start(l, 10, id, "caller", key, BODY, 1000,
				count_refused, &refused);
	}
	g_assert_cmpuint(refused, ==, 5);
	g_assert_cmpuint(fg_ledger_pending(l), ==, FG_LEDGER_FILINGS_MAX);
	fg_ledger_free(l);
}

static void test_row_codec(void)
{
	const char *row = "{\"format\":1,\"state\":\"done\",\"later\":[1],"
			  "\"nonce\":\"ffffffffffffffff\",\"body\":"
			  "\"0000000000000007\",\"by\":\"0000000000000001\","
			  "\"at\":5,\"reason\":\"of_later\",\"text\":\"t\"}";
	struct fg_lrow in = { FG_LROW_DONE, UINT64_MAX,	       2, 3, 4,
			      FG_R_NONE,    (char *)"\xff\x01" };
	struct fg_lrow out;
	char *text;

	g_assert_cmpint(fg_lrow_decode(row, &out), ==, FG_LROW_OK);
	g_assert_cmphex(out.nonce, ==, UINT64_MAX);
	g_assert_cmpstr(out.text, ==, "t");
	g_free(out.text);
	g_assert_cmpint(fg_lrow_decode("{\"format\":2}", &out), ==,
			FG_LROW_NEWER);
	g_assert_cmpint(fg_lrow_decode("{\"format\":1}", &out), ==,
			FG_LROW_BAD);
	g_assert_cmpint(fg_lrow_decode("[", &out), ==, FG_LROW_BAD);
	g_assert_cmpint(fg_lrow_decode(NULL, &out), ==, FG_LROW_BAD);
	text = fg_lrow_encode(&in);
	g_assert_cmpint(fg_lrow_decode(text, &out), ==, FG_LROW_OK);
	g_assert_cmpstr(out.text, ==, in.text);
	g_free(out.text);
	g_free(text);
}

struct last_op {
	struct fg_table_op *op;
};

static void capture_op(void *arg, struct fg_ledger_act *act)
{
	struct last_op *s = arg;

	if (act->type == FG_LA_TABLE)
		s->op = act->op;
}

static void add_row_at(struct fg_table_result *res, const char *key, fg_ms at)
{
	struct fg_lrow row = { .state = FG_LROW_DONE, .at = at };
	char *value = fg_lrow_encode(&row);

	fg_table_result_add_row(res, key, 3, value);
	g_free(value);
}

static void test_sweep(void)
{
	struct fg_ledger_conf conf = { .self = 1, .retention_s = 7200 };
	struct fg_ledger *l = fg_ledger_new(&conf, SEED);
	fg_ms year_ms = 31536000000;
	struct fg_table_result *res;
	struct last_op s = { NULL };

	fg_ledger_sweep(l, 10, capture_op, &s);
	g_assert_null(s.op); /* no sweep without a wall clock */
	fg_ledger_set_wall_offset(l, 5 * year_ms);
	fg_ledger_sweep(l, 10, capture_op, &s);
	g_assert_cmpint(s.op->kind, ==, FG_OP_SCAN);
	res = fg_table_result_new(s.op->id, FG_OP_SCAN, FG_PF_OK);
	add_row_at(res, "filing/1", year_ms - 7200001);
	add_row_at(res, "filing/2", year_ms - 7199999);
	add_row_at(res, "filing/3", year_ms);
	fg_table_result_add_row(res, "filing/4", 3, "{\"format\":9}");
	fg_table_op_free(s.op);
	g_assert_true(fg_ledger_handle_result(l, 20, res, capture_op, &s));
	/* The clock is years ahead of the newest row. Only rows that are older
	 * than that row by the retention are deleted. */
	g_assert_cmpuint(s.op->n_writes, ==, 1);
	g_assert_cmpstr(s.op->writes[0].key, ==, "filing/1");
	g_assert_cmpuint(s.op->writes[0].expect_version, ==, 3);
	fg_table_op_free(s.op);
	fg_table_result_free(res);
	fg_ledger_free(l);
}

static struct fg_table_op *reply_to_op(struct fg_ledger *l, struct last_op *s,
				       fg_ms now, enum fg_pf_result result)
{
	struct fg_table_result *res;

	res = fg_table_result_new(s->op->id, s->op->kind, result);
	fg_table_op_free(s->op);
	s->op = NULL;
	g_assert_true(fg_ledger_handle_result(l, now, res, capture_op, s));
	g_assert_false(fg_ledger_handle_result(l, now, res, capture_op, s));
	fg_table_result_free(res);
	if (s->op == NULL)
		fg_ledger_tick(l, now + 1000, capture_op, s);
	return s->op;
}

/* A write conflicts, but the row is absent when read. The abandoned insert
 * could still be stored, so not_run must be written. */
static void test_undo_writes_absent_row(void)
{
	struct fg_ledger_conf conf = { .self = 1,
				       .start_timeout_ms = 300,
				       .record_retry_ms = 60 };
	struct fg_ledger *l = fg_ledger_new(&conf, SEED);
	struct last_op s = { NULL };
	struct fg_table_op *op;

	fg_ledger_start(l, 10, 1, "caller", "key", BODY, 1000, capture_op, &s);
	g_assert_cmpint(reply_to_op(l, &s, 20, FG_PF_LOST)->kind, ==,
			FG_OP_GET);
	g_assert_cmpint(reply_to_op(l, &s, 30, FG_PF_DOWN)->kind, ==,
			FG_OP_TXN);
	op = reply_to_op(l, &s, 1100, FG_PF_CONFLICT);
	g_assert_cmpint(op->kind, ==, FG_OP_GET);
	op = reply_to_op(l, &s, 1200, FG_PF_ABSENT);
	g_assert_nonnull(op);
	g_assert_cmpint(op->kind, ==, FG_OP_TXN);
	g_assert_nonnull(strstr(op->writes[0].value, "not_run"));
	g_assert_null(reply_to_op(l, &s, 1300, FG_PF_OK));
	g_assert_cmpuint(fg_ledger_pending(l), ==, 0);
	fg_ledger_free(l);
}

static void run_interleavings(const char *name, struct model_faults faults)
{
	gint64 begin = g_get_monotonic_time();
	double s;

	for (uint64_t i = 0; i < INTERLEAVINGS; i++) {
		faults.versions = i % 2 == 0;
		model_interleaving(SEED + i, &faults);
	}
	s = (g_get_monotonic_time() - begin) / 1e6;
	g_test_message("%s: %d interleavings, %.0f a second", name,
		       INTERLEAVINGS, INTERLEAVINGS / s);
}

static void test_interleavings_lost_answers(void)
{
	run_interleavings("lost answers", (struct model_faults){
						  .request_lost = 80,
						  .answer_lost = 120,
						  .delayed = 120,
						  .pause = 5,
						  .outage = 3,
					  });
}

static void test_interleavings_deaths(void)
{
	run_interleavings("deaths", (struct model_faults){
					    .request_lost = 30,
					    .answer_lost = 60,
					    .delayed = 60,
					    .pause = 10,
					    .outage = 3,
					    .death = 1,
				    });
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/ledger/replay", test_repeat_is_replayed);
	g_test_add_func("/ledger/other_body", test_key_reused_with_other_body);
	g_test_add_func("/ledger/two_at_once", test_concurrent_starts);
	g_test_add_func("/ledger/lost_insert", test_lost_insert_stored);
	g_test_add_func("/ledger/late_insert", test_delayed_insert_is_void);
	g_test_add_func("/ledger/pause", test_pause_before_dispatch);
	g_test_add_func("/ledger/down", test_refuse_while_down);
	g_test_add_func("/ledger/record_outage", test_record_after_outage);
	g_test_add_func("/ledger/probe", test_probe_while_down);
	g_test_add_func("/ledger/dead_starter", test_repeat_after_starter_died);
	g_test_add_func("/ledger/not_run_again", test_not_run_can_restart);
	g_test_add_func("/ledger/group", test_grouped_writes);
	g_test_add_func("/ledger/bound", test_filings_bound);
	g_test_add_func("/ledger/row_codec", test_row_codec);
	g_test_add_func("/ledger/sweep", test_sweep);
	g_test_add_func("/ledger/undo_absent", test_undo_writes_absent_row);
	g_test_add_func("/ledger/interleavings/lost",
			test_interleavings_lost_answers);
	g_test_add_func("/ledger/interleavings/deaths",
			test_interleavings_deaths);
	return g_test_run();
}
