/* Unit tests of lib/grant against faults: dead holders, lost orders, restarts
 * of the engine, and new owners. */
#include "grant_fixture.h"

#include <stdlib.h>
#include <string.h>

static void test_dead_holder(void)
{
	struct fg_grants *g = gfx_loaded();
	uint64_t a, b;

	gfx_ask(g, 10, 1, 1, 1, &a);
	gfx_ask(g, 10, 2, 1, 2, &b);
	fg_grants_on_holder_dead(g, 20, 1);
	/* Its request may still be on its way to the engine. */
	gfx_see(g, 21, gfx_engine(1, 2, 0));
	g_assert_cmpint(gfx_load_start(g, 22, 3), ==, FG_LOAD_START_PINNED);
	gfx_see(g, 2000, gfx_engine(1, 2, 1));
	g_assert_cmpint(gfx_load_start(g, 2001, 3), ==, FG_LOAD_START_PINNED);
	gfx_see(g, 3000, gfx_engine(1, 2, 0));
	g_assert_cmpint(gfx_load_start(g, 3001, 3), ==, FG_LOAD_START_OK);
	fg_grants_free(g);
}

/* The pin goes at the hard deadline, but what the engine still runs stays. */
static void test_hard_deadline(void)
{
	struct fg_grants *g = gfx_loaded();
	uint32_t counts[8] = { 0 };
	uint64_t a, b;

	gfx_ask(g, 10, 1, 1, 1, &a);
	gfx_ask(g, 10, 2, 1, 2, &b);
	fg_grants_on_holder_dead(g, 20, 1);
	fg_grants_serve_held(g, 5509, gfx_count_reply, counts);
	g_assert_cmpuint(fg_grants_in_use(g), ==, 2);
	fg_grants_serve_held(g, 5510, gfx_count_reply, counts);
	g_assert_cmpuint(fg_grants_in_use(g), ==, 0);
	gfx_see(g, 5600, gfx_engine(1, 2, 1));
	gfx_load(g, 5601, 3);
	g_assert_true(fg_grants_has_adapter(g, gfx_av(1)));
	fg_grants_free(g);
}

static void test_lost_order(void)
{
	struct fg_grants *g = gfx_loaded();
	uint32_t slot;
	fg_av victim;
	uint64_t id;

	fg_grants_start_load(g, 10, gfx_av(3), gfx_av(1), NULL, NULL, &slot,
			     &victim);
	g_assert_cmpuint(victim.adapter, ==, 1);
	fg_grants_finish_load(g, 20, slot, FG_ORDER_LOST, LIFE_MS);
	g_assert_cmpint(fg_grants_view_slot(g, slot).state, ==,
			FG_SLOT_TAINTED);
	/* Still the old content: the order may yet arrive. */
	gfx_see(g, 30, gfx_engine(1, 2, 0));
	g_assert_cmpint(gfx_ask(g, 31, 1, 1, 1, &id), ==,
			FG_GRANT_NOT_RESIDENT);
	gfx_see(g, 20 + LIFE_MS, gfx_engine(1, 2, 0));
	g_assert_cmpint(gfx_ask(g, 3021, 1, 2, 1, &id), ==, FG_GRANT_OK);
	fg_grants_free(g);
}

static void test_lost_order_seen_done(void)
{
	struct fg_grants *g = gfx_loaded();
	uint32_t slot;
	fg_av victim;

	fg_grants_start_load(g, 10, gfx_av(3), gfx_av(1), NULL, NULL, &slot,
			     &victim);
	fg_grants_finish_load(g, 20, slot, FG_ORDER_LOST, LIFE_MS);
	gfx_see(g, 30, gfx_engine(3, 2, 0));
	g_assert_true(fg_grants_has_adapter(g, gfx_av(3)));
	fg_grants_free(g);
}

/* A run that its holder gave up may take the engine a while to end. */
static void test_runs_without_pin(void)
{
	struct fg_grants *g = gfx_loaded();
	uint64_t id;

	gfx_ask(g, 10, 1, 1, 1, &id);
	fg_grants_release(g, 20, id);
	gfx_ask(g, 21, 1, 2, 2, &id);
	fg_grants_release(g, 22, id);
	gfx_see(g, 30, gfx_engine(1, 2, 1));
	gfx_load(g, 31, 3);
	g_assert_true(fg_grants_has_adapter(g, gfx_av(1)));
	fg_grants_free(g);
}

static void test_states_out_of_order(void)
{
	struct fg_grants *g = gfx_loaded();
	struct fg_engine_state older = gfx_engine(9, 2, 0);

	gfx_see(g, 30, gfx_engine(1, 2, 0));
	fg_grants_on_engine_state(g, 31, 20, &older, gfx_find, NULL);
	g_assert_true(fg_grants_has_adapter(g, gfx_av(1)));
	fg_grants_free(g);
}

static void test_failed_load(void)
{
	struct fg_grants *g = gfx_loaded();
	uint32_t slot;
	fg_av victim;

	fg_grants_start_load(g, 10, gfx_av(3), gfx_av(1), NULL, NULL, &slot,
			     &victim);
	fg_grants_finish_load(g, 20, slot, FG_ORDER_FAILED, LIFE_MS);
	g_assert_false(fg_grants_has_adapter(g, gfx_av(1)));
	gfx_see(g, 30, gfx_engine(1, 2, 0));
	g_assert_true(fg_grants_has_adapter(g, gfx_av(1)));
	fg_grants_free(g);
}

static void test_restart_empty(void)
{
	struct fg_grants *g = gfx_loaded();
	struct fg_engine_state st = gfx_engine(0, 0, 0);
	uint64_t id;

	gfx_see(g, 5, gfx_engine(1, 2, 0));
	gfx_ask(g, 10, 1, 1, 1, &id);
	st.epoch = 2;
	g_assert_true(
		fg_grants_on_engine_state(g, 20, 20, &st, gfx_find, NULL));
	g_assert_cmpint(gfx_ask(g, 21, 1, 2, 1, &id), ==,
			FG_GRANT_NOT_RESIDENT);
	g_assert_cmpuint(fg_grants_in_use(g), ==, 0);
	gfx_load(g, 30, 3);
	/* A state asked for before the load does not undo it. */
	fg_grants_on_engine_state(g, 31, 25, &st, gfx_find, NULL);
	g_assert_true(fg_grants_has_adapter(g, gfx_av(3)));
	fg_grants_free(g);
}

/* DONE may tell of the engine's last life. */
static void test_restart_while_loading(void)
{
	struct fg_grants *g = gfx_loaded();
	struct fg_engine_state st = gfx_engine(0, 0, 0);
	uint32_t slot;
	fg_av victim;

	gfx_see(g, 5, gfx_engine(1, 2, 0));
	fg_grants_start_load(g, 10, gfx_av(3), gfx_av(1), NULL, NULL, &slot,
			     &victim);
	st.epoch = 2;
	gfx_see(g, 20, st);
	fg_grants_finish_load(g, 21, slot, FG_ORDER_DONE, LIFE_MS);
	g_assert_false(fg_grants_has_adapter(g, gfx_av(3)));
	gfx_see(g, 30, st);
	g_assert_cmpint(fg_grants_view_slot(g, slot).state, ==, FG_SLOT_EMPTY);
	fg_grants_free(g);
}

static void test_recovery(void)
{
	struct fg_grants *g = fg_grants_new(&grant_conf, 100, true);
	const uint64_t peers[] = { 1, 2 };
	const fg_grant_info told = { (4ULL << 32) | 7, 70, { 1, 1 }, 4000 };
	uint64_t id;

	g_assert_cmpint(gfx_ask(g, 100, 3, 1, 1, &id), ==, FG_GRANT_RECOVERING);
	fg_grants_await_peers(g, peers, 2);
	fg_grants_on_peer_grants(g, 101, 1, &told, 1);
	fg_grants_on_peer_grants(g, 101, 1, &told, 1);
	gfx_see(g, 102, gfx_engine(1, 2, 0));
	g_assert_cmpuint(fg_grants_in_use(g), ==, 1);
	g_assert_cmpint(gfx_load_start(g, 103, 3), ==,
			FG_LOAD_START_RECOVERING);
	gfx_see(g, 700, gfx_engine(1, 2, 0));
	fg_grants_on_peer_gone(g, 800, 2);
	g_assert_false(fg_grants_is_recovering(g, 800));
	/* Peer 2 died untold: what it sent may be on its way to slot 1. */
	gfx_see(g, 801, gfx_engine(1, 2, 0));
	g_assert_cmpint(gfx_load_start(g, 802, 3), ==, FG_LOAD_START_PINNED);
	gfx_see(g, 1400, gfx_engine(1, 2, 0));
	gfx_load(g, 1401, 3);
	g_assert_true(fg_grants_has_adapter(g, gfx_av(1)));
	fg_grants_release(g, 1402, told.grant);
	g_assert_cmpuint(fg_grants_in_use(g), ==, 0);
	fg_grants_free(g);
}

static void test_recovery_by_time(void)
{
	struct fg_grants *g = fg_grants_new(&grant_conf, 0, true);
	const uint64_t peer = 1;

	fg_grants_await_peers(g, &peer, 1);
	gfx_see(g, 1, gfx_engine(1, 2, 0));
	g_assert_true(fg_grants_is_recovering(g, GRANT_MAX_MS - 1));
	gfx_see(g, GRANT_MAX_MS - 1, gfx_engine(1, 2, 0));
	g_assert_cmpint(gfx_load_start(g, GRANT_MAX_MS, 3), ==,
			FG_LOAD_START_OK);
	fg_grants_free(g);
}

/* A release that overtakes the telling leaves no pin behind. */
static void test_release_before_told(void)
{
	struct fg_grants *g = fg_grants_new(&grant_conf, 0, true);
	const fg_grant_info told = { (4ULL << 32) | 7, 70, { 1, 1 }, 4000 };

	fg_grants_await_peers(g, NULL, 0);
	gfx_see(g, 1, gfx_engine(1, 2, 0));
	fg_grants_release(g, 2, told.grant);
	fg_grants_on_peer_grants(g, 3, 1, &told, 1);
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
	gfx_see(g, 1, gfx_engine(1, 2, 0));
	g_assert_cmpint(gfx_ask(g, 2, 1, 1, 1, &id), ==, FG_GRANT_NOT_RESIDENT);
	g_assert_cmpint(gfx_ask(g, 2, 1, 2, 2, &id), ==, FG_GRANT_OK);
	/* The pinned slot 1 and the tainted slot 0 are both kept. */
	g_assert_cmpint(gfx_load_start(g, 3, 4), ==, FG_LOAD_START_PINNED);
	gfx_see(g, 4, gfx_engine(3, 2, 0));
	g_assert_cmpint(gfx_ask(g, 5, 1, 3, 3, &id), ==, FG_GRANT_OK);
	fg_grants_free(g);
}

/* An engine that has not seen our fence still obeys the last owner. */
static void test_fence_wanted(void)
{
	struct fg_grants *g = fg_grants_new(&grant_conf, 0, true);
	struct fg_engine_state st = gfx_engine(1, 2, 0);
	uint64_t id;

	st.checks_fence = true;
	st.fence = 4;
	fg_grants_await_peers(g, NULL, 0);
	gfx_see(g, 1, st);
	g_assert_true(fg_grants_needs_fence(g));
	g_assert_cmpint(gfx_ask(g, 2, 1, 1, 1, &id), ==, FG_GRANT_RECOVERING);
	st.fence = 5;
	gfx_see(g, 3, st);
	g_assert_cmpint(gfx_ask(g, 4, 1, 1, 1, &id), ==, FG_GRANT_OK);
	st.fence = 6;
	gfx_see(g, 5, st);
	g_assert_cmpint(gfx_ask(g, 6, 1, 2, 1, &id), ==, FG_GRANT_NOT_OWNER);
	fg_grants_free(g);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/grant/dead_holder", test_dead_holder);
	g_test_add_func("/grant/hard_deadline", test_hard_deadline);
	g_test_add_func("/grant/lost_order", test_lost_order);
	g_test_add_func("/grant/lost_order_done", test_lost_order_seen_done);
	g_test_add_func("/grant/runs_without_pin", test_runs_without_pin);
	g_test_add_func("/grant/states_out_of_order", test_states_out_of_order);
	g_test_add_func("/grant/failed_load", test_failed_load);
	g_test_add_func("/grant/restart_empty", test_restart_empty);
	g_test_add_func("/grant/restart_loading", test_restart_while_loading);
	g_test_add_func("/grant/recovery", test_recovery);
	g_test_add_func("/grant/recovery_by_time", test_recovery_by_time);
	g_test_add_func("/grant/release_before_told", test_release_before_told);
	g_test_add_func("/grant/tainted_by_intent", test_tainted_by_intent);
	g_test_add_func("/grant/fence_wanted", test_fence_wanted);
	return g_test_run();
}
