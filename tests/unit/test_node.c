/* Unit tests of one node with fake callbacks: whole requests and failures. */
#include "node_fixture.h"

#include <string.h>

#include "admit/fg_admit.h"
#include "base/fg_rand.h"

static void assert_outcome(const struct node_fixture *fx, uint64_t id,
			   enum fg_outcome outcome, enum fg_reason reason)
{
	const struct nfx_reply *r = nfx_find_reply(fx, id);

	g_assert_nonnull(r);
	g_assert_cmpstr(fg_outcome_name(r->outcome), ==,
			fg_outcome_name(outcome));
	g_assert_cmpstr(fg_reason_code(r->reason), ==, fg_reason_code(reason));
}

static const struct fg_run_cmd *run_at(const struct node_fixture *fx, guint i)
{
	g_assert_cmpuint(i, <, fx->runs->len);
	return &g_array_index(fx->runs, struct fg_run_cmd, i);
}

/* A request for an adapter that is not resident runs after the load. */
static void test_generate(void)
{
	struct node_fixture *fx = nfx_new();

	nfx_send_generate(fx, 10, "a1", FG_CLASS_INTERACTIVE, 10000);
	nfx_advance(fx, 1000);
	g_assert_cmpuint(fx->runs->len, ==, 1);
	g_assert_cmpstr(run_at(fx, 0)->run.adapter, ==, "a1");
	g_assert_cmpstr(run_at(fx, 0)->run.version, ==, "v1");
	g_assert_null(nfx_find_reply(fx, 10));
	nfx_finish_run(fx, 0, FG_RUN_DONE);
	assert_outcome(fx, 10, FG_DONE, FG_R_NONE);
	/* The adapter is resident: the next request runs at once. */
	nfx_send_generate(fx, 11, "a1", FG_CLASS_INTERACTIVE, 10000);
	g_assert_cmpuint(fx->runs->len, ==, 1);
	nfx_free(fx);
}

static void test_refusals(void)
{
	struct node_fixture *fx = nfx_new();

	nfx_send_generate(fx, 10, "nobody", FG_CLASS_INTERACTIVE, 10000);
	assert_outcome(fx, 10, FG_NOT_RUN, FG_R_UNKNOWN_ADAPTER);
	nfx_send_generate(fx, 11, "a1", FG_CLASS_INTERACTIVE, 0);
	assert_outcome(fx, 11, FG_NOT_RUN, FG_R_PAST_DEADLINE);
	nfx_send_filing(fx, 12, NULL, "{}");
	assert_outcome(fx, 12, FG_NOT_RUN, FG_R_NO_KEY);
	g_assert_cmpuint(fx->runs->len, ==, 0);
	nfx_free(fx);
}

/* Slots with grants are not evicted: a third adapter waits for a free one. */
static void test_pinned_slots(void)
{
	struct node_fixture *fx = nfx_new();

	nfx_send_generate(fx, 10, "a1", FG_CLASS_INTERACTIVE, 20000);
	nfx_send_generate(fx, 11, "a2", FG_CLASS_INTERACTIVE, 20000);
	nfx_advance(fx, 3000);
	g_assert_cmpuint(fx->runs->len, ==, NFX_SLOTS);
	nfx_send_generate(fx, 12, "a3", FG_CLASS_INTERACTIVE, 20000);
	nfx_advance(fx, 3000);
	g_assert_cmpuint(fx->runs->len, ==, NFX_SLOTS);
	g_assert_cmpstr(fx->adapter[0], !=, "a3");
	g_assert_cmpstr(fx->adapter[1], !=, "a3");
	nfx_finish_run(fx, 0, FG_RUN_DONE);
	nfx_advance(fx, 6000);
	g_assert_cmpuint(fx->runs->len, ==, NFX_SLOTS);
	g_assert_cmpstr(run_at(fx, 1)->run.adapter, ==, "a3");
	nfx_free(fx);
}

/* A lost attempt of a model request is retried under another attempt id. A late
 * result of the first attempt is ignored. */
static void test_retry(void)
{
	struct node_fixture *fx = nfx_new();
	struct fg_run_cmd first;
	struct fg_run_result late = { .status = FG_RUN_DONE, .text = "late" };

	nfx_send_generate(fx, 10, "a1", FG_CLASS_INTERACTIVE, 10000);
	nfx_advance(fx, 1000);
	first = *run_at(fx, 0);
	nfx_finish_run(fx, 0, FG_RUN_LOST);
	nfx_advance(fx, 3000);
	g_assert_cmpuint(fx->runs->len, ==, 1);
	g_assert_cmpuint(run_at(fx, 0)->attempt, ==, 2);
	g_assert_cmpstr(run_at(fx, 0)->run.id, !=, first.run.id);
	fg_node_on_run_done(fx->node, fx->now, 10, first.attempt, &late);
	g_assert_null(nfx_find_reply(fx, 10));
	nfx_finish_run(fx, 0, FG_RUN_DONE);
	assert_outcome(fx, 10, FG_DONE, FG_R_NONE);
	nfx_free(fx);
}

/* A request whose first attempt may have run is answered UNKNOWN, not NOT_RUN,
 * when the broker refuses the load for its next attempt. */
static void test_ran_then_refused(void)
{
	struct node_fixture *fx = nfx_new();
	fg_msg *msg = fg_msg_new(FG_MSG_PLACE_REP);

	nfx_send_generate(fx, 10, "a1", FG_CLASS_INTERACTIVE, 10000);
	nfx_advance(fx, 1000);
	nfx_finish_run(fx, 0, FG_RUN_LOST);
	/* The engine no longer holds the adapter, and no load succeeds. */
	fx->auto_order = false;
	g_clear_pointer(&fx->adapter[0], g_free);
	g_clear_pointer(&fx->adapter[1], g_free);
	nfx_advance(fx, 3000);
	msg->body.fg_body_u.place_rep.av = (fg_av){ 1, 1 };
	msg->body.fg_body_u.place_rep.status = FG_PLACE_REFUSED;
	fg_node_on_msg(fx->node, fx->now, fg_hash_str("entry-1"), msg);
	assert_outcome(fx, 10, FG_UNKNOWN, FG_R_NO_TIME);
	fg_msg_free(msg);
	nfx_free(fx);
}

/* A filing runs once. A repeat gets the recorded answer, and the same key with
 * another body is refused. */
static void test_filing(void)
{
	struct node_fixture *fx = nfx_new();

	nfx_send_filing(fx, 10, "k1", "{\"crates\":3}");
	nfx_advance(fx, 100);
	g_assert_cmpuint(fx->runs->len, ==, 1);
	g_assert_cmpstr(run_at(fx, 0)->run.key, ==, "k1");
	nfx_finish_run(fx, 0, FG_RUN_DONE);
	nfx_advance(fx, 100);
	assert_outcome(fx, 10, FG_DONE, FG_R_NONE);
	nfx_send_filing(fx, 11, "k1", "{\"crates\":3}");
	nfx_advance(fx, 100);
	assert_outcome(fx, 11, FG_DONE, FG_R_NONE);
	g_assert_true(nfx_find_reply(fx, 11)->replayed);
	nfx_send_filing(fx, 12, "k1", "{\"crates\":4}");
	nfx_advance(fx, 100);
	assert_outcome(fx, 12, FG_NOT_RUN, FG_R_KEY_REUSED);
	g_assert_cmpuint(fx->runs->len, ==, 0);
	nfx_free(fx);
}

/* A lost filing is UNKNOWN and is not run again under the same key. */
static void test_filing_lost(void)
{
	struct node_fixture *fx = nfx_new();

	nfx_send_filing(fx, 10, "k1", "{}");
	nfx_advance(fx, 100);
	nfx_finish_run(fx, 0, FG_RUN_LOST);
	nfx_advance(fx, 2000);
	assert_outcome(fx, 10, FG_UNKNOWN, FG_R_ENDPOINT_LOST);
	nfx_send_filing(fx, 11, "k1", "{}");
	nfx_advance(fx, 2000);
	g_assert_nonnull(nfx_find_reply(fx, 11));
	g_assert_cmpint(nfx_find_reply(fx, 11)->outcome, ==, FG_UNKNOWN);
	g_assert_cmpuint(fx->runs->len, ==, 0);
	nfx_free(fx);
}

/* While the table is unreachable a filing is refused at once and not run. */
static void test_filing_outage(void)
{
	struct node_fixture *fx = nfx_new();

	fx->table->fault = FG_PF_DOWN;
	nfx_send_filing(fx, 10, "k1", "{}");
	nfx_advance(fx, 200);
	assert_outcome(fx, 10, FG_NOT_RUN, FG_R_LEDGER_DOWN);
	g_assert_cmpuint(fx->runs->len, ==, 0);
	nfx_free(fx);
}

/* Model requests are served during a platform outage. */
static void test_outage(void)
{
	struct node_fixture *fx = nfx_new();

	nfx_send_generate(fx, 10, "a1", FG_CLASS_INTERACTIVE, 10000);
	nfx_advance(fx, 1000);
	nfx_finish_run(fx, 0, FG_RUN_DONE);
	fx->table->fault = FG_PF_DOWN;
	nfx_advance(fx, 120000);
	nfx_send_generate(fx, 11, "a1", FG_CLASS_INTERACTIVE, 10000);
	nfx_advance(fx, 1000);
	g_assert_cmpuint(fx->runs->len, ==, 1);
	nfx_free(fx);
}

static void test_leaving_plain(void)
{
	struct node_fixture *fx = nfx_new();

	nfx_set_list_entry(fx, FG_LIST_ENTRY_PLAIN, NFX_PLAIN, true);
	nfx_advance(fx, 5000);
	nfx_send_status(fx, 10);
	assert_outcome(fx, 10, FG_NOT_RUN, FG_R_NO_ENDPOINT);
	g_assert_cmpuint(fx->runs->len, ==, 0);
	nfx_free(fx);
}

/* Writes the peer's lease row; state is "live" or "leaving". */
static void put_peer(struct node_fixture *fx, const char *state)
{
	char row[256];

	g_snprintf(row, sizeof(row),
		   "{\"format\":1,\"boot\":9,\"http\":\"127.0.0.1:1\","
		   "\"rpc\":\"127.0.0.1:2\",\"region\":\"coast\","
		   "\"dc\":\"north\",\"state\":\"%s\"}",
		   state);
	fake_table_put(fx->table, "session/" NFX_PEER, row);
}

/* An endpoint that refuses a request because it is leaving counts as leaving
 * even if the list does not say so: the request is not sent there again, peers
 * are informed, and later requests avoid the endpoint. */
static void test_leaving_refused(void)
{
	struct node_fixture *fx = nfx_new();
	struct fg_run_result res = {
		.status = FG_RUN_REFUSED,
		.not_run = true,
		.leaving = true,
	};
	struct fg_run_cmd cmd;

	nfx_set_list_entry(fx, FG_LIST_ENTRY_INSTANCE, NFX_PEER, false);
	put_peer(fx, "live");
	nfx_advance(fx, 6000);
	nfx_clear_sent(fx);
	nfx_send_status(fx, 10);
	cmd = *run_at(fx, 0);
	g_array_set_size(fx->runs, 0);
	fg_node_on_run_done(fx->node, fx->now, 10, cmd.attempt, &res);
	g_assert_cmpuint(nfx_count_sent(fx, FG_MSG_LEAVING), ==, 1);
	nfx_advance(fx, 2000);
	assert_outcome(fx, 10, FG_NOT_RUN, FG_R_NO_ENDPOINT);
	nfx_send_status(fx, 11);
	assert_outcome(fx, 11, FG_NOT_RUN, FG_R_NO_ENDPOINT);
	g_assert_cmpuint(fx->runs->len, ==, 0);
	nfx_free(fx);
}

/* No request is sent to an engine that the list shows as leaving. */
static void test_leaving_engine(void)
{
	struct node_fixture *fx = nfx_new();

	nfx_send_generate(fx, 10, "a1", FG_CLASS_INTERACTIVE, 10000);
	nfx_advance(fx, 1000);
	nfx_finish_run(fx, 0, FG_RUN_DONE);
	nfx_set_list_entry(fx, FG_LIST_ENTRY_ENGINE, NFX_ENGINE, true);
	nfx_advance(fx, 5000);
	nfx_send_generate(fx, 11, "a1", FG_CLASS_INTERACTIVE, 3000);
	nfx_advance(fx, 4000);
	g_assert_cmpuint(fx->runs->len, ==, 0);
	g_assert_cmpint(nfx_find_reply(fx, 11)->outcome, ==, FG_NOT_RUN);
	nfx_free(fx);
}

/* A planned stop waits for running requests and refuses new ones. */
static void test_stop(void)
{
	struct node_fixture *fx = nfx_new();

	nfx_send_generate(fx, 10, "a1", FG_CLASS_INTERACTIVE, 10000);
	nfx_advance(fx, 1000);
	fg_node_stop(fx->node, fx->now);
	nfx_advance(fx, 2000);
	g_assert_false(fg_node_is_stopped(fx->node, fx->now));
	nfx_send_generate(fx, 11, "a1", FG_CLASS_INTERACTIVE, 10000);
	assert_outcome(fx, 11, FG_NOT_RUN, FG_R_STOPPING);
	nfx_finish_run(fx, 0, FG_RUN_DONE);
	assert_outcome(fx, 10, FG_DONE, FG_R_NONE);
	nfx_advance(fx, 2000);
	g_assert_true(fg_node_is_stopped(fx->node, fx->now));
	nfx_free(fx);
}

/* A completed stop deletes the lease row. A row left behind would count in the
 * other instances' quorums until it lapsed. */
static void test_stop_deletes_lease(void)
{
	struct node_fixture *fx = nfx_new();

	fg_node_stop(fx->node, fx->now);
	nfx_advance(fx, 2000);
	g_assert_true(fg_node_is_stopped(fx->node, fx->now));
	g_assert_null(fake_table_get(fx->table, "session/entry-1"));
	nfx_free(fx);
}

/* A leaving instance may still have requests that wait for adapters, so it must
 * receive RESIDENT messages. */
static void test_resident_to_leaving_peer(void)
{
	struct node_fixture *fx = nfx_new();

	nfx_set_list_entry(fx, FG_LIST_ENTRY_INSTANCE, NFX_PEER, false);
	put_peer(fx, "leaving");
	nfx_advance(fx, 6000);
	nfx_clear_sent(fx);
	nfx_send_generate(fx, 10, "a1", FG_CLASS_INTERACTIVE, 10000);
	nfx_advance(fx, 1000);
	g_assert_cmpuint(fx->runs->len, ==, 1);
	g_assert_cmpuint(nfx_count_sent(fx, FG_MSG_RESIDENT), >=, 1);
	nfx_free(fx);
}

/* A new owner repeats GRANTS_ASK to a peer that has not reported its grants. A
 * peer that did not know the new owner drops the first GRANTS_ASK, and the
 * owner may not evict anything before the report. */
static void test_grants_ask_repeat(void)
{
	struct node_fixture *fx = nfx_new();
	struct fg_engine_state st = {
		.epoch = 1,
		.checks_fence = true,
		.slots = NFX_SLOTS,
		.batch = NFX_BATCH,
	};

	nfx_set_list_entry(fx, FG_LIST_ENTRY_INSTANCE, NFX_PEER, false);
	put_peer(fx, "leaving");
	nfx_advance(fx, 6000);
	nfx_clear_sent(fx);
	nfx_set_list_entry(fx, FG_LIST_ENTRY_ENGINE, "engine-2", false);
	nfx_advance(fx, 8000);
	fg_node_on_engine_state(fx->node, fx->now, fg_hash_str("engine-2"),
				fx->now, &st);
	nfx_advance(fx, 2000);
	g_assert_cmpuint(nfx_count_sent(fx, FG_MSG_GRANTS_ASK), >, 1);
	nfx_free(fx);
}

/* A grant that arrives after its request ended is released at once. */
static void test_late_grant(void)
{
	struct node_fixture *fx = nfx_new();
	fg_msg *msg = fg_msg_new(FG_MSG_GRANT_REP);

	nfx_set_list_entry(fx, FG_LIST_ENTRY_INSTANCE, NFX_PEER, false);
	put_peer(fx, "live");
	nfx_advance(fx, 6000);
	nfx_clear_sent(fx);
	msg->body.fg_body_u.grant_rep.req = 77 << 8;
	msg->body.fg_body_u.grant_rep.ep = fg_hash_str(NFX_ENGINE);
	msg->body.fg_body_u.grant_rep.status = FG_GRANT_OK;
	msg->body.fg_body_u.grant_rep.grant = 5;
	fg_node_on_msg(fx->node, fx->now, fg_hash_str(NFX_PEER), msg);
	g_assert_cmpuint(nfx_count_sent(fx, FG_MSG_RELEASE), ==, 1);
	fg_msg_free(msg);
	nfx_free(fx);
}

/* The address lookup names no version. */
static void test_address(void)
{
	struct node_fixture *fx = nfx_new();
	char out[2][FG_ADDR_BYTES];

	g_assert_cmpuint(
		fg_node_find_addresses(fx->node, fx->now, "a1", NULL, out, 2),
		==, 1);
	g_assert_cmpstr(out[0], ==, "127.0.0.1:3");
	nfx_free(fx);
}

/* A waiting request is cancelled when its caller goes away. */
static void test_caller_gone(void)
{
	struct node_fixture *fx = nfx_new();

	fx->auto_order = false;
	nfx_send_generate(fx, 10, "a1", FG_CLASS_INTERACTIVE, 10000);
	nfx_advance(fx, 500);
	fg_node_on_caller_gone(fx->node, fx->now, 10);
	assert_outcome(fx, 10, FG_NOT_RUN, FG_R_CANCELLED);
	nfx_free(fx);
}

static int slot_holding(const struct node_fixture *fx, const char *adapter)
{
	for (int i = 0; i < NFX_SLOTS; i++)
		if (g_strcmp0(fx->adapter[i], adapter) == 0)
			return i;
	return -1;
}

/* An attempt that was not observed to end may still be running. Its slot is not
 * evicted until the engine reports that nothing runs there. */
static void test_orphaned_run_keeps_slot(void)
{
	static const enum fg_run_status unobserved[] = {
		FG_RUN_LOST,
		FG_RUN_BAD_ANSWER,
		FG_RUN_TIMEOUT,
		FG_RUN_CANCELLED,
	};

	for (guint i = 0; i < G_N_ELEMENTS(unobserved); i++) {
		struct node_fixture *fx = nfx_new();
		int slot;

		nfx_send_generate(fx, 10, "a1", FG_CLASS_INTERACTIVE, 60000);
		nfx_send_generate(fx, 11, "a2", FG_CLASS_INTERACTIVE, 60000);
		nfx_advance(fx, 2000);
		g_assert_cmpuint(fx->runs->len, ==, 2);
		slot = slot_holding(fx, run_at(fx, 0)->run.adapter);
		fx->running[slot] = 1;
		/* Without a caller the request is not retried. */
		fg_node_on_caller_gone(fx->node, fx->now, run_at(fx, 0)->req);
		nfx_finish_run(fx, 0, unobserved[i]);
		nfx_send_generate(fx, 12, "a3", FG_CLASS_INTERACTIVE, 60000);
		nfx_advance(fx, 5000);
		g_assert_cmpint(slot_holding(fx, "a3"), ==, -1);
		fx->running[slot] = 0;
		nfx_advance(fx, 5000);
		g_assert_cmpint(slot_holding(fx, "a3"), ==, slot);
		nfx_free(fx);
	}
}

/* Once an attempt may have run, the reply is not NOT_RUN when the adapter can
 * no longer be loaded in time. */
static void test_ran_then_no_adapter(void)
{
	struct node_fixture *fx = nfx_new();
	fg_msg *msg = fg_msg_new(FG_MSG_PLACE_REP);

	/* Fill the service time estimate: without samples no request is refused
	 * for lack of time. */
	for (uint64_t id = 100; id < 150; id++) {
		nfx_send_generate(fx, id, "a1", FG_CLASS_INTERACTIVE, 10000);
		nfx_advance(fx, 200);
		nfx_finish_run(fx, 0, FG_RUN_DONE);
	}
	nfx_send_generate(fx, 10, "a1", FG_CLASS_INTERACTIVE, 10000);
	nfx_advance(fx, 1000);
	msg->body.fg_body_u.place_rep.av = (fg_av){ 1, 1 };
	msg->body.fg_body_u.place_rep.status = FG_PLACE_REFUSED;
	g_free(fx->adapter[slot_holding(fx, "a1")]);
	fx->adapter[0] = NULL;
	fx->adapter[1] = NULL;
	fx->auto_order = false;
	nfx_finish_run(fx, 0, FG_RUN_LOST);
	nfx_advance(fx, 4000);
	g_assert_null(nfx_find_reply(fx, 10));
	fg_node_on_msg(fx->node, fx->now, fg_hash_str(NFX_PEER), msg);
	fg_msg_free(msg);
	g_assert_nonnull(nfx_find_reply(fx, 10));
	g_assert_cmpstr(fg_outcome_name(nfx_find_reply(fx, 10)->outcome), ==,
			fg_outcome_name(FG_UNKNOWN));
	nfx_free(fx);
}

/* Once an attempt may have run, the reply is not NOT_RUN when the caller goes
 * away before the next attempt. */
static void test_ran_then_caller_gone(void)
{
	struct node_fixture *fx = nfx_new();

	nfx_send_generate(fx, 10, "a1", FG_CLASS_INTERACTIVE, 10000);
	nfx_advance(fx, 1000);
	nfx_finish_run(fx, 0, FG_RUN_LOST);
	fg_node_on_caller_gone(fx->node, fx->now, 10);
	assert_outcome(fx, 10, FG_UNKNOWN, FG_R_CANCELLED);
	nfx_free(fx);
}

static const fg_msg *first_sent(const struct node_fixture *fx, fg_msg_type type)
{
	for (guint i = 0; i < fx->sent->len; i++) {
		const fg_msg *m = g_ptr_array_index(fx->sent, i);

		if (m->body.type == type)
			return m;
	}
	return NULL;
}

/* Instances number their requests independently, so the same request id occurs
 * on several. A crash reported by one instance must not be taken for a repeat
 * of a crash reported by another. */
static void test_suspect_ids_differ(void)
{
	struct node_fixture *fx = nfx_new();
	fg_msg *msg;

	nfx_set_list_entry(fx, FG_LIST_ENTRY_INSTANCE, NFX_PEER, false);
	put_peer(fx, "live");
	nfx_advance(fx, 6000);
	nfx_send_generate(fx, 10, "a1", FG_CLASS_INTERACTIVE, 60000);
	nfx_advance(fx, 1000);
	nfx_clear_sent(fx);
	nfx_finish_run(fx, 0, FG_RUN_LOST);
	g_assert_nonnull(first_sent(fx, FG_MSG_SUSPECT));
	/* The peer reports a crash under its own request 10 on another
	 * endpoint. */
	msg = fg_msg_dup(first_sent(fx, FG_MSG_SUSPECT));
	g_assert_cmpint(msg->body.fg_body_u.suspect.event, ==,
			FG_SUSPECT_CRASH);
	msg->body.fg_body_u.suspect.req = 10 << 8 | 1;
	msg->body.fg_body_u.suspect.ep = 1234;
	fg_node_on_msg(fx->node, fx->now, fg_hash_str(NFX_PEER), msg);
	fg_msg_free(msg);
	nfx_advance(fx, 3000);
	assert_outcome(fx, 10, FG_FAILED, FG_R_SUSPECT);
	nfx_free(fx);
}

/* Adapters of an engine that does not answer do not count as resident, so that
 * they are loaded on another engine. */
static void test_silent_engine(void)
{
	struct node_fixture *fx = nfx_new();

	nfx_send_generate(fx, 10, "a1", FG_CLASS_INTERACTIVE, 60000);
	nfx_advance(fx, 1000);
	nfx_finish_run(fx, 0, FG_RUN_DONE);
	fx->state_fails = true;
	nfx_advance(fx, 5000);
	nfx_send_generate(fx, 11, "a1", FG_CLASS_INTERACTIVE, 60000);
	nfx_advance(fx, 3000);
	g_assert_cmpuint(fx->runs->len, ==, 0);
	g_assert_null(nfx_find_reply(fx, 11));
	fx->state_fails = false;
	nfx_advance(fx, 3000);
	g_assert_cmpuint(fx->runs->len, ==, 1);
	nfx_free(fx);
}

/* After a refused connection no attempt is made on the endpoint for a while. */
static void test_refused_connection(void)
{
	struct node_fixture *fx = nfx_new();

	nfx_send_generate(fx, 10, "a1", FG_CLASS_INTERACTIVE, 60000);
	nfx_advance(fx, 1000);
	nfx_finish_run(fx, 0, FG_RUN_NOT_SENT);
	nfx_advance(fx, 800);
	g_assert_cmpuint(fx->runs->len, ==, 0);
	nfx_advance(fx, 1000);
	g_assert_cmpuint(fx->runs->len, ==, 1);
	nfx_free(fx);
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
	g_test_add_func("/node/stop_deletes_lease", test_stop_deletes_lease);
	g_test_add_func("/node/resident_to_leaving_peer",
			test_resident_to_leaving_peer);
	g_test_add_func("/node/grants_ask_repeat", test_grants_ask_repeat);
	g_test_add_func("/node/late_grant", test_late_grant);
	g_test_add_func("/node/address", test_address);
	g_test_add_func("/node/caller_gone", test_caller_gone);
	g_test_add_func("/node/orphaned_run_keeps_slot",
			test_orphaned_run_keeps_slot);
	g_test_add_func("/node/ran_then_no_adapter", test_ran_then_no_adapter);
	g_test_add_func("/node/ran_then_caller_gone",
			test_ran_then_caller_gone);
	g_test_add_func("/node/suspect_ids_differ", test_suspect_ids_differ);
	g_test_add_func("/node/refused_connection", test_refused_connection);
	g_test_add_func("/node/silent_engine", test_silent_engine);
	return g_test_run();
}
