/* Unit tests of lib/grant under faults: dead holders, lost orders, engine
 * restarts and new owners. */
#include "grant_fixture.h"

#include <stdlib.h>
#include <string.h>

static void test_dead_holder(void)
{
	struct fg_grants *g = gfx_new_loaded();
	uint64_t a, b;

	gfx_request(g, 10, 1, 1, 1, &a);
	gfx_request(g, 10, 2, 1, 2, &b);
	fg_grants_on_holder_dead(g, 20, 1);
	/* The dead holder's request may still be on its way to the engine. */
	gfx_report_state(g, 21, gfx_engine_state(1, 2, 0));
	g_assert_cmpint(gfx_start_load(g, 22, 3), ==, FG_LOAD_START_PINNED);
	gfx_report_state(g, 2000, gfx_engine_state(1, 2, 1));
	g_assert_cmpint(gfx_start_load(g, 2001, 3), ==, FG_LOAD_START_PINNED);
	gfx_report_state(g, 3000, gfx_engine_state(1, 2, 0));
	g_assert_cmpint(gfx_start_load(g, 3001, 3), ==, FG_LOAD_START_OK);
	fg_grants_free(g);
}

/* The pin ends at the hard deadline, but a slot where the engine still runs a
 * request is not evicted. */
static void test_hard_deadline(void)
{
	struct fg_grants *g = gfx_new_loaded();
	uint32_t counts[8] = { 0 };
	uint64_t a, b;

	gfx_request(g, 10, 1, 1, 1, &a);
	gfx_request(g, 10, 2, 1, 2, &b);
	fg_grants_on_holder_dead(g, 20, 1);
	fg_grants_serve_held(g, 5509, gfx_count_reply, counts);
	g_assert_cmpuint(fg_grants_in_use(g), ==, 2);
	fg_grants_serve_held(g, 5510, gfx_count_reply, counts);
	g_assert_cmpuint(fg_grants_in_use(g), ==, 0);
	gfx_report_state(g, 5600, gfx_engine_state(1, 2, 1));
	gfx_load_adapter(g, 5601, 3);
	g_assert_true(fg_grants_has_adapter(g, gfx_av(1)));
	fg_grants_free(g);
}

static void test_lost_order(void)
{
	struct fg_grants *g = gfx_new_loaded();
	uint32_t slot;
	fg_av victim;
	uint64_t id;

	fg_grants_start_load(g, 10, gfx_av(3), gfx_av(1), NULL, NULL, &slot,
			     &victim);
	g_assert_cmpuint(victim.adapter, ==, 1);
	fg_grants_finish_load(g, 20, slot, FG_ORDER_LOST, LIFE_MS);
	g_assert_cmpint(fg_grants_view_slot(g, slot).state, ==,
			FG_GRANT_SLOT_TAINTED);
	/* The slot shows its old content, but the order may still arrive. */
	gfx_report_state(g, 30, gfx_engine_state(1, 2, 0));
	g_assert_cmpint(gfx_request(g, 31, 1, 1, 1, &id), ==,
			FG_GRANT_NOT_RESIDENT);
	gfx_report_state(g, 20 + LIFE_MS, gfx_engine_state(1, 2, 0));
	g_assert_cmpint(gfx_request(g, 3021, 1, 2, 1, &id), ==, FG_GRANT_OK);
	fg_grants_free(g);
}

static void test_lost_order_seen_done(void)
{
	struct fg_grants *g = gfx_new_loaded();
	uint32_t slot;
	fg_av victim;

	fg_grants_start_load(g, 10, gfx_av(3), gfx_av(1), NULL, NULL, &slot,
			     &victim);
	fg_grants_finish_load(g, 20, slot, FG_ORDER_LOST, LIFE_MS);
	gfx_report_state(g, 30, gfx_engine_state(3, 2, 0));
	g_assert_true(fg_grants_has_adapter(g, gfx_av(3)));
	fg_grants_free(g);
}

/* The engine may take a while to end a request that its holder gave up; the
 * slot is not evicted before. */
static void test_running_without_pin(void)
{
	struct fg_grants *g = gfx_new_loaded();
	uint64_t id;

	gfx_request(g, 10, 1, 1, 1, &id);
	fg_grants_release(g, 20, id);
	gfx_request(g, 21, 1, 2, 2, &id);
	fg_grants_release(g, 22, id);
	gfx_report_state(g, 30, gfx_engine_state(1, 2, 1));
	gfx_load_adapter(g, 31, 3);
	g_assert_true(fg_grants_has_adapter(g, gfx_av(1)));
	fg_grants_free(g);
}

static void test_states_out_of_order(void)
{
	struct fg_grants *g = gfx_new_loaded();
	struct fg_engine_state older = gfx_engine_state(9, 2, 0);

	gfx_report_state(g, 30, gfx_engine_state(1, 2, 0));
	fg_grants_on_engine_state(g, 31, 20, &older, gfx_find_av, NULL);
	g_assert_true(fg_grants_has_adapter(g, gfx_av(1)));
	fg_grants_free(g);
}

static void test_failed_load(void)
{
	struct fg_grants *g = gfx_new_loaded();
	uint32_t slot;
	fg_av victim;

	fg_grants_start_load(g, 10, gfx_av(3), gfx_av(1), NULL, NULL, &slot,
			     &victim);
	fg_grants_finish_load(g, 20, slot, FG_ORDER_FAILED, LIFE_MS);
	g_assert_false(fg_grants_has_adapter(g, gfx_av(1)));
	gfx_report_state(g, 30, gfx_engine_state(1, 2, 0));
	g_assert_true(fg_grants_has_adapter(g, gfx_av(1)));
	fg_grants_free(g);
}

static void test_restart_empty(void)
{
	struct fg_grants *g = gfx_new_loaded();
	struct fg_engine_state st = gfx_engine_state(0, 0, 0);
	uint64_t id;

	gfx_report_state(g, 5, gfx_engine_state(1, 2, 0));
	gfx_request(g, 10, 1, 1, 1, &id);
	st.epoch = 2;
	g_assert_true(
		fg_grants_on_engine_state(g, 20, 20, &st, gfx_find_av, NULL));
	g_assert_cmpint(gfx_request(g, 21, 1, 2, 1, &id), ==,
			FG_GRANT_NOT_RESIDENT);
	g_assert_cmpuint(fg_grants_in_use(g), ==, 0);
	gfx_load_adapter(g, 30, 3);
	/* A state asked for before the load does not undo it. */
	fg_grants_on_engine_state(g, 31, 25, &st, gfx_find_av, NULL);
	g_assert_true(fg_grants_has_adapter(g, gfx_av(3)));
	fg_grants_free(g);
}

/* After an engine restart during a load, DONE may refer to the time before the
 * restart, so that the slot is not READY until the engine's state shows it. */
static void test_restart_while_loading(void)
{
	struct fg_grants *g = gfx_new_loaded();
	struct fg_engine_state st = gfx_engine_state(0, 0, 0);
	uint32_t slot;
	fg_av victim;

	gfx_report_state(g, 5, gfx_engine_state(1, 2, 0));
	fg_grants_start_load(g, 10, gfx_av(3), gfx_av(1), NULL, NULL, &slot,
			     &victim);
	st.epoch = 2;
	gfx_report_state(g, 20, st);
	fg_grants_finish_load(g, 21, slot, FG_ORDER_DONE, LIFE_MS);
	g_assert_false(fg_grants_has_adapter(g, gfx_av(3)));
	gfx_report_state(g, 30, st);
	g_assert_cmpint(fg_grants_view_slot(g, slot).state, ==,
			FG_GRANT_SLOT_EMPTY);
	fg_grants_free(g);
}

static void test_recovery(void)
{
	struct fg_grants *g = fg_grants_new(&grant_conf, 100, true);
	const uint64_t peers[] = { 1, 2 };
	const fg_grant_info reported = { (4ULL << 32) | 7, 70, { 1, 1 }, 4000 };
	uint64_t id;

	g_assert_cmpint(gfx_request(g, 100, 3, 1, 1, &id), ==,
			FG_GRANT_RECOVERING);
	fg_grants_await_peers(g, peers, 2);
	fg_grants_on_peer_grants(g, 101, 1, &reported, 1);
	fg_grants_on_peer_grants(g, 101, 1, &reported, 1);
	gfx_report_state(g, 102, gfx_engine_state(1, 2, 0));
	g_assert_cmpuint(fg_grants_in_use(g), ==, 1);
	g_assert_cmpint(gfx_start_load(g, 103, 3), ==,
			FG_LOAD_START_RECOVERING);
	gfx_report_state(g, 700, gfx_engine_state(1, 2, 0));
	fg_grants_on_peer_gone(g, 800, 2);
	g_assert_false(fg_grants_is_recovering(g, 800));
	/* Peer 2 died before it reported its grants: a request of it may be on
	 * its way to slot 1. */
	gfx_report_state(g, 801, gfx_engine_state(1, 2, 0));
	g_assert_cmpint(gfx_start_load(g, 802, 3), ==, FG_LOAD_START_PINNED);
	gfx_report_state(g, 1400, gfx_engine_state(1, 2, 0));
	gfx_load_adapter(g, 1401, 3);
	g_assert_true(fg_grants_has_adapter(g, gfx_av(1)));
	fg_grants_release(g, 1402, reported.grant);
	g_assert_cmpuint(fg_grants_in_use(g), ==, 0);
	fg_grants_free(g);
}

static void test_recovery_time_limit(void)
{
	struct fg_grants *g = fg_grants_new(&grant_conf, 0, true);
	const uint64_t peer = 1;

	fg_grants_await_peers(g, &peer, 1);
	gfx_report_state(g, 1, gfx_engine_state(1, 2, 0));
	g_assert_true(fg_grants_is_recovering(g, GRANT_MAX_MS - 1));
	gfx_report_state(g, GRANT_MAX_MS - 1, gfx_engine_state(1, 2, 0));
	g_assert_cmpint(gfx_start_load(g, GRANT_MAX_MS, 3), ==,
			FG_LOAD_START_OK);
	fg_grants_free(g);
}

/* A release that arrives before the peer's report leaves no pin behind. */
static void test_release_before_report(void)
{
	struct fg_grants *g = fg_grants_new(&grant_conf, 0, true);
	const fg_grant_info reported = { (4ULL << 32) | 7, 70, { 1, 1 }, 4000 };

	fg_grants_await_peers(g, NULL, 0);
	gfx_report_state(g, 1, gfx_engine_state(1, 2, 0));
	fg_grants_release(g, 2, reported.grant);
	fg_grants_on_peer_grants(g, 3, 1, &reported, 1);
	g_assert_cmpuint(fg_grants_in_use(g), ==, 0);
	fg_grants_free(g);
}

static void test_tainted_by_intent(void)
{
	struct fg_grants *g = fg_grants_new(&grant_conf, 0, true);
	const struct fg_intent in[] = {
		{ 8, 0, { 1, 1 }, { 3, 1 }, 4, LIFE_MS },
		{ 7, 0, { 9, 1 }, { 1, 1 }, 4, LIFE_MS },
	};
	uint64_t id;

	fg_grants_taint_slots(g, 0, in, 2);
	fg_grants_await_peers(g, NULL, 0);
	gfx_report_state(g, 1, gfx_engine_state(1, 2, 0));
	g_assert_cmpint(gfx_request(g, 2, 1, 1, 1, &id), ==,
			FG_GRANT_NOT_RESIDENT);
	g_assert_cmpint(gfx_request(g, 2, 1, 2, 2, &id), ==, FG_GRANT_OK);
	/* Neither the pinned slot 1 nor the tainted slot 0 is evicted. */
	g_assert_cmpint(gfx_start_load(g, 3, 4), ==, FG_LOAD_START_PINNED);
	gfx_report_state(g, 4, gfx_engine_state(3, 2, 0));
	g_assert_cmpint(gfx_request(g, 5, 1, 3, 3, &id), ==, FG_GRANT_OK);
	fg_grants_free(g);
}

/* An engine that has not seen this owner's fence still obeys the last owner, so
 * that no grants are given yet. */
static void test_needs_fence(void)
{
	struct fg_grants *g = fg_grants_new(&grant_conf, 0, true);
	struct fg_engine_state st = gfx_engine_state(1, 2, 0);
	uint64_t id;

	st.checks_fence = true;
	st.fence = 4;
	fg_grants_await_peers(g, NULL, 0);
	gfx_report_state(g, 1, st);
	g_assert_true(fg_grants_needs_fence(g));
	g_assert_cmpint(gfx_request(g, 2, 1, 1, 1, &id), ==,
			FG_GRANT_RECOVERING);
	st.fence = 5;
	gfx_report_state(g, 3, st);
	g_assert_cmpint(gfx_request(g, 4, 1, 1, 1, &id), ==, FG_GRANT_OK);
	st.fence = 6;
	gfx_report_state(g, 5, st);
	g_assert_cmpint(gfx_request(g, 6, 1, 2, 1, &id), ==,
			FG_GRANT_NOT_OWNER);
	fg_grants_free(g);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/grant/dead_holder", test_dead_holder);
	g_test_add_func("/grant/hard_deadline", test_hard_deadline);
	g_test_add_func("/grant/lost_order", test_lost_order);
	g_test_add_func("/grant/lost_order_done", test_lost_order_seen_done);
	g_test_add_func("/grant/runs_without_pin", test_running_without_pin);
	g_test_add_func("/grant/states_out_of_order", test_states_out_of_order);
	g_test_add_func("/grant/failed_load", test_failed_load);
	g_test_add_func("/grant/restart_empty", test_restart_empty);
	g_test_add_func("/grant/restart_loading", test_restart_while_loading);
	g_test_add_func("/grant/recovery", test_recovery);
	g_test_add_func("/grant/recovery_by_time", test_recovery_time_limit);
	g_test_add_func("/grant/release_before_told",
			test_release_before_report);
	g_test_add_func("/grant/tainted_by_intent", test_tainted_by_intent);
	g_test_add_func("/grant/fence_wanted", test_needs_fence);
	return g_test_run();
}
