/* One node with fakes at its interfaces: whole requests and their failures. */
#include "node_bed.h"

#include <string.h>

#include "admit/fg_admit.h"
#include "base/fg_rand.h"

static void assert_outcome(const struct bed *b, uint64_t id,
			   enum fg_outcome outcome, enum fg_reason reason)
{
	const struct bed_reply *r = bed_reply(b, id);

	g_assert_nonnull(r);
	g_assert_cmpstr(fg_outcome_name(r->outcome), ==,
			fg_outcome_name(outcome));
	g_assert_cmpstr(fg_reason_code(r->reason), ==, fg_reason_code(reason));
}

static const struct fg_run_cmd *run_at(const struct bed *b, guint i)
{
	g_assert_cmpuint(i, <, b->runs->len);
	return &g_array_index(b->runs, struct fg_run_cmd, i);
}

/* An adapter that is not resident is loaded, then the request runs. */
static void test_generate(void)
{
	struct bed *b = bed_new();

	bed_generate(b, 10, "a1", FG_CLASS_INTERACTIVE, 10000);
	bed_run(b, 1000);
	g_assert_cmpuint(b->runs->len, ==, 1);
	g_assert_cmpstr(run_at(b, 0)->run.adapter, ==, "a1");
	g_assert_cmpstr(run_at(b, 0)->run.version, ==, "v1");
	g_assert_null(bed_reply(b, 10));
	bed_run_done(b, 0, FG_RUN_DONE);
	assert_outcome(b, 10, FG_DONE, FG_R_NONE);
	/* Resident now: the next one needs no load and no wait. */
	bed_generate(b, 11, "a1", FG_CLASS_INTERACTIVE, 10000);
	g_assert_cmpuint(b->runs->len, ==, 1);
	bed_free(b);
}

static void test_refusals(void)
{
	struct bed *b = bed_new();

	bed_generate(b, 10, "nobody", FG_CLASS_INTERACTIVE, 10000);
	assert_outcome(b, 10, FG_NOT_RUN, FG_R_UNKNOWN_ADAPTER);
	bed_generate(b, 11, "a1", FG_CLASS_INTERACTIVE, 0);
	assert_outcome(b, 11, FG_NOT_RUN, FG_R_PAST_DEADLINE);
	bed_file(b, 12, NULL, "{}");
	assert_outcome(b, 12, FG_NOT_RUN, FG_R_NO_KEY);
	g_assert_cmpuint(b->runs->len, ==, 0);
	bed_free(b);
}

/* Slots in use are not given up: the third adapter waits for one. */
static void test_pinned_slots(void)
{
	struct bed *b = bed_new();

	bed_generate(b, 10, "a1", FG_CLASS_INTERACTIVE, 20000);
	bed_generate(b, 11, "a2", FG_CLASS_INTERACTIVE, 20000);
	bed_run(b, 3000);
	g_assert_cmpuint(b->runs->len, ==, BED_SLOTS);
	bed_generate(b, 12, "a3", FG_CLASS_INTERACTIVE, 20000);
	bed_run(b, 3000);
	g_assert_cmpuint(b->runs->len, ==, BED_SLOTS);
	g_assert_cmpstr(b->adapter[0], !=, "a3");
	g_assert_cmpstr(b->adapter[1], !=, "a3");
	bed_run_done(b, 0, FG_RUN_DONE);
	bed_run(b, 6000);
	g_assert_cmpuint(b->runs->len, ==, BED_SLOTS);
	g_assert_cmpstr(run_at(b, 1)->run.adapter, ==, "a3");
	bed_free(b);
}

/* A lost attempt of repeatable work is tried again, as another attempt; the
 * result of the first one, should it come again, is ignored. */
static void test_retry(void)
{
	struct bed *b = bed_new();
	struct fg_run_cmd first;
	struct fg_run_result late = { .status = FG_RUN_DONE, .text = "late" };

	bed_generate(b, 10, "a1", FG_CLASS_INTERACTIVE, 10000);
	bed_run(b, 1000);
	first = *run_at(b, 0);
	bed_run_done(b, 0, FG_RUN_LOST);
	bed_run(b, 3000);
	g_assert_cmpuint(b->runs->len, ==, 1);
	g_assert_cmpuint(run_at(b, 0)->attempt, ==, 2);
	g_assert_cmpstr(run_at(b, 0)->run.id, !=, first.run.id);
	fg_node_run_done(b->node, b->now, 10, first.attempt, &late);
	g_assert_null(bed_reply(b, 10));
	bed_run_done(b, 0, FG_RUN_DONE);
	assert_outcome(b, 10, FG_DONE, FG_R_NONE);
	bed_free(b);
}

/* A request that ran once is not said to be NOT_RUN when the broker can no
 * longer serve its next attempt. */
static void test_ran_then_refused(void)
{
	struct bed *b = bed_new();
	fg_msg *msg = fg_msg_new(FG_MSG_PLACE_REP);

	bed_generate(b, 10, "a1", FG_CLASS_INTERACTIVE, 10000);
	bed_run(b, 1000);
	bed_run_done(b, 0, FG_RUN_LOST);
	/* Its adapter is gone from the engine, and is not loaded again. */
	b->auto_order = false;
	g_clear_pointer(&b->adapter[0], g_free);
	g_clear_pointer(&b->adapter[1], g_free);
	bed_run(b, 3000);
	msg->body.fg_body_u.place_rep.av = (fg_av){ 1, 1 };
	msg->body.fg_body_u.place_rep.status = FG_PLACE_REFUSED;
	fg_node_msg(b->node, b->now, fg_hash_str("entry-1"), msg);
	assert_outcome(b, 10, FG_UNKNOWN, FG_R_NO_TIME);
	fg_msg_free(msg);
	bed_free(b);
}

/* A filing runs once: a repeat gets the recorded answer, a lost one is
 * UNKNOWN and stays so. */
static void test_filing(void)
{
	struct bed *b = bed_new();

	bed_file(b, 10, "k1", "{\"crates\":3}");
	bed_run(b, 100);
	g_assert_cmpuint(b->runs->len, ==, 1);
	g_assert_cmpstr(run_at(b, 0)->run.key, ==, "k1");
	bed_run_done(b, 0, FG_RUN_DONE);
	bed_run(b, 100);
	assert_outcome(b, 10, FG_DONE, FG_R_NONE);
	bed_file(b, 11, "k1", "{\"crates\":3}");
	bed_run(b, 100);
	assert_outcome(b, 11, FG_DONE, FG_R_NONE);
	g_assert_true(bed_reply(b, 11)->replayed);
	bed_file(b, 12, "k1", "{\"crates\":4}");
	bed_run(b, 100);
	assert_outcome(b, 12, FG_NOT_RUN, FG_R_KEY_REUSED);
	g_assert_cmpuint(b->runs->len, ==, 0);
	bed_free(b);
}

static void test_filing_lost(void)
{
	struct bed *b = bed_new();

	bed_file(b, 10, "k1", "{}");
	bed_run(b, 100);
	bed_run_done(b, 0, FG_RUN_LOST);
	bed_run(b, 2000);
	assert_outcome(b, 10, FG_UNKNOWN, FG_R_ENDPOINT_LOST);
	bed_file(b, 11, "k1", "{}");
	bed_run(b, 2000);
	g_assert_nonnull(bed_reply(b, 11));
	g_assert_cmpint(bed_reply(b, 11)->outcome, ==, FG_UNKNOWN);
	g_assert_cmpuint(b->runs->len, ==, 0);
	bed_free(b);
}

/* With the table out a filing is refused at once, and it did not run. */
static void test_filing_outage(void)
{
	struct bed *b = bed_new();

	b->table->fault = FG_PF_DOWN;
	bed_file(b, 10, "k1", "{}");
	bed_run(b, 200);
	assert_outcome(b, 10, FG_NOT_RUN, FG_R_LEDGER_DOWN);
	g_assert_cmpuint(b->runs->len, ==, 0);
	bed_free(b);
}

/* Model work goes on while the platform is out. */
static void test_outage(void)
{
	struct bed *b = bed_new();

	bed_generate(b, 10, "a1", FG_CLASS_INTERACTIVE, 10000);
	bed_run(b, 1000);
	bed_run_done(b, 0, FG_RUN_DONE);
	b->table->fault = FG_PF_DOWN;
	bed_run(b, 120000);
	bed_generate(b, 11, "a1", FG_CLASS_INTERACTIVE, 10000);
	bed_run(b, 1000);
	g_assert_cmpuint(b->runs->len, ==, 1);
	bed_free(b);
}

static void test_leaving_plain(void)
{
	struct bed *b = bed_new();

	bed_list(b, FG_LISTED_PLAIN, BED_PLAIN, true);
	bed_run(b, 5000);
	bed_status(b, 10);
	assert_outcome(b, 10, FG_NOT_RUN, FG_R_NO_ENDPOINT);
	g_assert_cmpuint(b->runs->len, ==, 0);
	bed_free(b);
}

/* Gives the peer a lease row; state is "live" or "leaving". */
static void put_peer(struct bed *b, const char *state)
{
	char row[256];

	g_snprintf(row, sizeof(row),
		   "{\"format\":1,\"boot\":9,\"http\":\"127.0.0.1:1\","
		   "\"rpc\":\"127.0.0.1:2\",\"region\":\"coast\","
		   "\"dc\":\"north\",\"state\":\"%s\"}",
		   state);
	fake_table_put(b->table, "session/" BED_PEER, row);
}

/* A refusal because it is leaving is a sign like any other, whatever the list
 * shows: the request goes elsewhere, peers are told, and it gets no more. */
static void test_leaving_refused(void)
{
	struct bed *b = bed_new();
	struct fg_run_result res = {
		.status = FG_RUN_REFUSED,
		.not_run = true,
		.leaving = true,
	};
	struct fg_run_cmd cmd;

	bed_list(b, FG_LISTED_ENTRY, BED_PEER, false);
	put_peer(b, "live");
	bed_run(b, 6000);
	bed_forget(b);
	bed_status(b, 10);
	cmd = *run_at(b, 0);
	g_array_set_size(b->runs, 0);
	fg_node_run_done(b->node, b->now, 10, cmd.attempt, &res);
	g_assert_cmpuint(bed_sent(b, FG_MSG_LEAVING), ==, 1);
	bed_run(b, 2000);
	assert_outcome(b, 10, FG_NOT_RUN, FG_R_NO_ENDPOINT);
	bed_status(b, 11);
	assert_outcome(b, 11, FG_NOT_RUN, FG_R_NO_ENDPOINT);
	g_assert_cmpuint(b->runs->len, ==, 0);
	bed_free(b);
}

/* A request that is waiting when its endpoint leaves is not sent there. */
static void test_leaving_engine(void)
{
	struct bed *b = bed_new();

	bed_generate(b, 10, "a1", FG_CLASS_INTERACTIVE, 10000);
	bed_run(b, 1000);
	bed_run_done(b, 0, FG_RUN_DONE);
	bed_list(b, FG_LISTED_ENGINE, BED_ENGINE, true);
	bed_run(b, 5000);
	bed_generate(b, 11, "a1", FG_CLASS_INTERACTIVE, 3000);
	bed_run(b, 4000);
	g_assert_cmpuint(b->runs->len, ==, 0);
	g_assert_cmpint(bed_reply(b, 11)->outcome, ==, FG_NOT_RUN);
	bed_free(b);
}

/* A planned stop waits for what runs and takes nothing more. */
static void test_stop(void)
{
	struct bed *b = bed_new();

	bed_generate(b, 10, "a1", FG_CLASS_INTERACTIVE, 10000);
	bed_run(b, 1000);
	fg_node_stop(b->node, b->now);
	bed_run(b, 2000);
	g_assert_false(fg_node_stopped(b->node, b->now));
	bed_generate(b, 11, "a1", FG_CLASS_INTERACTIVE, 10000);
	assert_outcome(b, 11, FG_NOT_RUN, FG_R_STOPPING);
	bed_run_done(b, 0, FG_RUN_DONE);
	assert_outcome(b, 10, FG_DONE, FG_R_NONE);
	bed_run(b, 2000);
	g_assert_true(fg_node_stopped(b->node, b->now));
	bed_free(b);
}

/* A stop that ends leaves no lease row, which the others would have to wait
 * for, and would count in their quorums. */
static void test_stop_quits(void)
{
	struct bed *b = bed_new();

	fg_node_stop(b->node, b->now);
	bed_run(b, 2000);
	g_assert_true(fg_node_stopped(b->node, b->now));
	g_assert_null(fake_table_get(b->table, "session/entry-1"));
	bed_free(b);
}

/* An instance that is leaving still has requests, which wait for adapters: it
 * must hear what becomes resident. */
static void test_leaving_peer_told(void)
{
	struct bed *b = bed_new();

	bed_list(b, FG_LISTED_ENTRY, BED_PEER, false);
	put_peer(b, "leaving");
	bed_run(b, 6000);
	bed_forget(b);
	bed_generate(b, 10, "a1", FG_CLASS_INTERACTIVE, 10000);
	bed_run(b, 1000);
	g_assert_cmpuint(b->runs->len, ==, 1);
	g_assert_cmpuint(bed_sent(b, FG_MSG_RESIDENT), >=, 1);
	bed_free(b);
}

/* A new owner asks again whoever has not told its grants: the peer may not
 * have known it yet, and it may evict nothing before. */
static void test_grants_ask_repeat(void)
{
	struct bed *b = bed_new();
	struct fg_engine_state st = {
		.epoch = 1,
		.checks_fence = true,
		.slots = BED_SLOTS,
		.batch = BED_BATCH,
	};

	bed_list(b, FG_LISTED_ENTRY, BED_PEER, false);
	put_peer(b, "leaving");
	bed_run(b, 6000);
	bed_forget(b);
	bed_list(b, FG_LISTED_ENGINE, "engine-2", false);
	bed_run(b, 8000);
	fg_node_engine_state(b->node, b->now, fg_hash_str("engine-2"), b->now,
			     &st);
	bed_run(b, 2000);
	g_assert_cmpuint(bed_sent(b, FG_MSG_GRANTS_ASK), >, 1);
	bed_free(b);
}

/* A grant that comes after its request ended is given back at once. */
static void test_stray_grant(void)
{
	struct bed *b = bed_new();
	fg_msg *msg = fg_msg_new(FG_MSG_GRANT_REP);

	bed_list(b, FG_LISTED_ENTRY, BED_PEER, false);
	put_peer(b, "live");
	bed_run(b, 6000);
	bed_forget(b);
	msg->body.fg_body_u.grant_rep.req = 77 << 8;
	msg->body.fg_body_u.grant_rep.ep = fg_hash_str(BED_ENGINE);
	msg->body.fg_body_u.grant_rep.status = FG_GRANT_OK;
	msg->body.fg_body_u.grant_rep.grant = 5;
	fg_node_msg(b->node, b->now, fg_hash_str(BED_PEER), msg);
	g_assert_cmpuint(bed_sent(b, FG_MSG_RELEASE), ==, 1);
	fg_msg_free(msg);
	bed_free(b);
}

/* The address lookup names no version. */
static void test_address(void)
{
	struct bed *b = bed_new();
	char out[2][FG_ADDR_BYTES];

	g_assert_cmpuint(fg_node_address(b->node, b->now, "a1", NULL, out, 2),
			 ==, 1);
	g_assert_cmpstr(out[0], ==, "127.0.0.1:3");
	bed_free(b);
}

/* A caller that goes away frees what waits for it. */
static void test_caller_gone(void)
{
	struct bed *b = bed_new();

	b->auto_order = false;
	bed_generate(b, 10, "a1", FG_CLASS_INTERACTIVE, 10000);
	bed_run(b, 500);
	fg_node_caller_gone(b->node, b->now, 10);
	assert_outcome(b, 10, FG_NOT_RUN, FG_R_CANCELLED);
	bed_free(b);
}

static int slot_holding(const struct bed *b, const char *adapter)
{
	for (int i = 0; i < BED_SLOTS; i++)
		if (g_strcmp0(b->adapter[i], adapter) == 0)
			return i;
	return -1;
}

/*
 * An attempt whose end nobody saw may still run in the engine: its slot is
 * kept until the engine says that it runs nothing there.
 */
static void test_unseen_end_keeps_slot(void)
{
	static const enum fg_run_status unseen[] = {
		FG_RUN_LOST,
		FG_RUN_BAD_ANSWER,
		FG_RUN_TIMEOUT,
		FG_RUN_CANCELLED,
	};

	for (guint i = 0; i < G_N_ELEMENTS(unseen); i++) {
		struct bed *b = bed_new();
		int slot;

		bed_generate(b, 10, "a1", FG_CLASS_INTERACTIVE, 60000);
		bed_generate(b, 11, "a2", FG_CLASS_INTERACTIVE, 60000);
		bed_run(b, 2000);
		g_assert_cmpuint(b->runs->len, ==, 2);
		slot = slot_holding(b, run_at(b, 0)->run.adapter);
		b->running[slot] = 1;
		/* Nobody takes its answer any more. */
		fg_node_caller_gone(b->node, b->now, run_at(b, 0)->req);
		bed_run_done(b, 0, unseen[i]);
		bed_generate(b, 12, "a3", FG_CLASS_INTERACTIVE, 60000);
		bed_run(b, 5000);
		g_assert_cmpint(slot_holding(b, "a3"), ==, -1);
		b->running[slot] = 0;
		bed_run(b, 5000);
		g_assert_cmpint(slot_holding(b, "a3"), ==, slot);
		bed_free(b);
	}
}

/* Once an attempt may have run, nobody is told NOT_RUN: not when the adapter
 * cannot be loaded in time any more ... */
static void test_ran_then_no_adapter(void)
{
	struct bed *b = bed_new();
	fg_msg *msg = fg_msg_new(FG_MSG_PLACE_REP);

	/* Without known service times nothing is refused for its estimate. */
	for (uint64_t id = 100; id < 150; id++) {
		bed_generate(b, id, "a1", FG_CLASS_INTERACTIVE, 10000);
		bed_run(b, 200);
		bed_run_done(b, 0, FG_RUN_DONE);
	}
	bed_generate(b, 10, "a1", FG_CLASS_INTERACTIVE, 10000);
	bed_run(b, 1000);
	msg->body.fg_body_u.place_rep.av = (fg_av){ 1, 1 };
	msg->body.fg_body_u.place_rep.status = FG_PLACE_REFUSED;
	g_free(b->adapter[slot_holding(b, "a1")]);
	b->adapter[0] = NULL;
	b->adapter[1] = NULL;
	b->auto_order = false;
	bed_run_done(b, 0, FG_RUN_LOST);
	bed_run(b, 4000);
	g_assert_null(bed_reply(b, 10));
	fg_node_msg(b->node, b->now, fg_hash_str(BED_PEER), msg);
	fg_msg_free(msg);
	g_assert_nonnull(bed_reply(b, 10));
	g_assert_cmpstr(fg_outcome_name(bed_reply(b, 10)->outcome), ==,
			fg_outcome_name(FG_UNKNOWN));
	bed_free(b);
}

/* ... nor when the caller goes away before the next attempt. */
static void test_ran_then_caller_gone(void)
{
	struct bed *b = bed_new();

	bed_generate(b, 10, "a1", FG_CLASS_INTERACTIVE, 10000);
	bed_run(b, 1000);
	bed_run_done(b, 0, FG_RUN_LOST);
	fg_node_caller_gone(b->node, b->now, 10);
	assert_outcome(b, 10, FG_UNKNOWN, FG_R_CANCELLED);
	bed_free(b);
}

static const fg_msg *first_sent(const struct bed *b, fg_msg_type type)
{
	for (guint i = 0; i < b->sent->len; i++) {
		const fg_msg *m = g_ptr_array_index(b->sent, i);

		if (m->body.type == type)
			return m;
	}
	return NULL;
}

/* Two instances number their requests alike; a crash told by one must not be
 * taken for a repeat of one told by the other. */
static void test_suspect_ids_differ(void)
{
	struct bed *b = bed_new();
	fg_msg *msg;

	bed_list(b, FG_LISTED_ENTRY, BED_PEER, false);
	put_peer(b, "live");
	bed_run(b, 6000);
	bed_generate(b, 10, "a1", FG_CLASS_INTERACTIVE, 60000);
	bed_run(b, 1000);
	bed_forget(b);
	bed_run_done(b, 0, FG_RUN_LOST);
	g_assert_nonnull(first_sent(b, FG_MSG_SUSPECT));
	/* The peer tells of a crash of its request 10, elsewhere. */
	msg = fg_msg_dup(first_sent(b, FG_MSG_SUSPECT));
	g_assert_cmpint(msg->body.fg_body_u.suspect.event, ==,
			FG_SUSPECT_CRASH);
	msg->body.fg_body_u.suspect.req = 10 << 8 | 1;
	msg->body.fg_body_u.suspect.ep = 1234;
	fg_node_msg(b->node, b->now, fg_hash_str(BED_PEER), msg);
	fg_msg_free(msg);
	bed_run(b, 3000);
	assert_outcome(b, 10, FG_FAILED, FG_R_SUSPECT);
	bed_free(b);
}

/* What an engine holds counts for nothing while it does not answer, so that
 * its adapters are loaded elsewhere. */
static void test_silent_engine(void)
{
	struct bed *b = bed_new();

	bed_generate(b, 10, "a1", FG_CLASS_INTERACTIVE, 60000);
	bed_run(b, 1000);
	bed_run_done(b, 0, FG_RUN_DONE);
	b->state_fails = true;
	bed_run(b, 5000);
	bed_generate(b, 11, "a1", FG_CLASS_INTERACTIVE, 60000);
	bed_run(b, 3000);
	g_assert_cmpuint(b->runs->len, ==, 0);
	g_assert_null(bed_reply(b, 11));
	b->state_fails = false;
	bed_run(b, 3000);
	g_assert_cmpuint(b->runs->len, ==, 1);
	bed_free(b);
}

/* While an endpoint refuses connections, nothing is spent on trying it. */
static void test_refused_connection(void)
{
	struct bed *b = bed_new();

	bed_generate(b, 10, "a1", FG_CLASS_INTERACTIVE, 60000);
	bed_run(b, 1000);
	bed_run_done(b, 0, FG_RUN_NOT_SENT);
	bed_run(b, 800);
	g_assert_cmpuint(b->runs->len, ==, 0);
	bed_run(b, 1000);
	g_assert_cmpuint(b->runs->len, ==, 1);
	bed_free(b);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/node/generate", test_generate);
	g_test_add_func("/node/refusals", test_refusals);
	g_test_add_func("/node/pinned_slots", test_pinned_slots);
	g_test_add_func("/node/retry", test_retry);
	g_test_add_func("/node/ran_then_refused", test_ran_then_refused);
	g_test_add_func("/node/filing", test_filing);
	g_test_add_func("/node/filing_lost", test_filing_lost);
	g_test_add_func("/node/filing_outage", test_filing_outage);
	g_test_add_func("/node/outage", test_outage);
	g_test_add_func("/node/leaving_plain", test_leaving_plain);
	g_test_add_func("/node/leaving_refused", test_leaving_refused);
	g_test_add_func("/node/leaving_engine", test_leaving_engine);
	g_test_add_func("/node/stop", test_stop);
	g_test_add_func("/node/stop_quits", test_stop_quits);
	g_test_add_func("/node/leaving_peer_told", test_leaving_peer_told);
	g_test_add_func("/node/grants_ask_repeat", test_grants_ask_repeat);
	g_test_add_func("/node/stray_grant", test_stray_grant);
	g_test_add_func("/node/address", test_address);
	g_test_add_func("/node/caller_gone", test_caller_gone);
	g_test_add_func("/node/unseen_end_keeps_slot",
			test_unseen_end_keeps_slot);
	g_test_add_func("/node/ran_then_no_adapter", test_ran_then_no_adapter);
	g_test_add_func("/node/ran_then_caller_gone",
			test_ran_then_caller_gone);
	g_test_add_func("/node/suspect_ids_differ", test_suspect_ids_differ);
	g_test_add_func("/node/refused_connection", test_refused_connection);
	g_test_add_func("/node/silent_engine", test_silent_engine);
	return g_test_run();
}
