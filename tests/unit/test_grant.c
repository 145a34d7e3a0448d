/* Unit tests of grants, held requests and slots; test_grant_sim.c covers
 * random interleavings. */
#include "grant_fixture.h"

#include <stdlib.h>
#include <string.h>

static void test_pins_block_eviction(void)
{
	struct fg_grants *g = gfx_new_loaded();
	uint64_t a, b, again;

	g_assert_cmpint(gfx_request(g, 10, 1, 1, 1, &a), ==, FG_GRANT_OK);
	g_assert_cmpint(gfx_request(g, 10, 1, 2, 2, &b), ==, FG_GRANT_OK);
	g_assert_cmpint(gfx_request(g, 11, 1, 2, 2, &again), ==, FG_GRANT_OK);
	g_assert_cmpuint(again, ==, b);
	g_assert_cmpuint(fg_grants_in_use(g), ==, 2);
	g_assert_cmpint(gfx_start_load(g, 12, 3), ==, FG_LOAD_START_PINNED);
	fg_grants_release(g, 13, b);
	fg_grants_release(g, 13, b);
	g_assert_cmpuint(fg_grants_in_use(g), ==, 1);
	g_assert_cmpint(gfx_start_load(g, 14, 3), ==, FG_LOAD_START_OK);
	g_assert_false(fg_grants_has_adapter(g, gfx_av(2)));
	g_assert_true(fg_grants_has_adapter(g, gfx_av(1)));
	g_assert_cmpint(gfx_start_load(g, 14, 3), ==, FG_LOAD_START_PRESENT);
	fg_grants_free(g);
}

/* A late repeat of a request that has ended must not pin a slot that nothing
 * would release. */
static void test_late_repeat_refused(void)
{
	struct fg_grants *g = gfx_new_loaded();
	uint64_t id;

	gfx_request(g, 10, 1, 1, 1, &id);
	fg_grants_release(g, 11, id);
	g_assert_cmpint(gfx_request(g, 12, 1, 1, 1, &id), ==, FG_GRANT_NO_TIME);
	fg_grants_cancel(g, 13, 1, 2);
	g_assert_cmpint(gfx_request(g, 14, 1, 2, 1, &id), ==, FG_GRANT_NO_TIME);
	g_assert_cmpuint(fg_grants_in_use(g), ==, 0);
	fg_grants_free(g);
}

/* Grant ids are unique across owners, so that a late release cannot end a
 * grant of the next owner. */
static void test_ids_unique_across_owners(void)
{
	struct fg_grants_conf next = grant_conf;
	struct fg_grants *g = gfx_new_loaded();
	uint64_t a, b;

	gfx_request(g, 10, 1, 1, 1, &a);
	fg_grants_free(g);
	next.fence++;
	g = fg_grants_new(&next, 20, false);
	gfx_load_adapter(g, 21, 1);
	gfx_request(g, 22, 1, 2, 1, &b);
	fg_grants_release(g, 23, a);
	g_assert_cmpuint(fg_grants_in_use(g), ==, 1);
	fg_grants_free(g);
}

static void test_held_requests(void)
{
	struct fg_grants *g = gfx_new_loaded();
	uint32_t counts[8] = { 0 };
	struct fg_grant_request draft = { 9,   9, gfx_av(1), FG_CLASS_DRAFT,
					  100, 0 };
	uint64_t a, b, id;

	gfx_request(g, 10, 1, 1, 1, &a);
	gfx_request(g, 10, 1, 2, 2, &b);
	g_assert_cmpint(fg_grants_request(g, 10, &draft, &id), ==,
			FG_GRANT_HELD);
	g_assert_cmpint(gfx_request(g, 10, 1, 3, 1, &id), ==, FG_GRANT_HELD);
	g_assert_cmpint(gfx_request(g, 10, 1, 3, 1, &id), ==, FG_GRANT_HELD);
	g_assert_cmpint(gfx_request(g, 10, 1, 4, 1, &id), ==, FG_GRANT_HELD);
	g_assert_cmpint(gfx_request(g, 10, 1, 5, 1, &id), ==,
			FG_GRANT_OVERLOAD);
	fg_grants_release(g, 20, a);
	fg_grants_release(g, 20, b);
	/* Held requests precede new ones of the same class. */
	fg_grants_cancel(g, 20, 1, 4);
	g_assert_cmpint(gfx_request(g, 20, 1, 6, 1, &id), ==, FG_GRANT_HELD);
	fg_grants_serve_held(g, 21, gfx_count_reply, counts);
	g_assert_cmpuint(counts[FG_GRANT_OK], ==, 2);
	g_assert_cmpint(gfx_request(g, 21, 1, 6, 1, &id), ==, FG_GRANT_OK);
	fg_grants_serve_held(g, 110, gfx_count_reply, counts);
	g_assert_cmpuint(counts[FG_GRANT_NO_TIME], ==, 1);
	g_assert_cmpuint(fg_grants_held(g), ==, 0);
	fg_grants_free(g);
}

/* Drafts are held until half a batch is full or their hold time is over. */
static void test_drafts_held_for_batch(void)
{
	struct fg_grants_conf wide = grant_conf;
	struct fg_grant_request draft = { 9,	1,   gfx_av(1), FG_CLASS_DRAFT,
					  9000, 1000 };
	uint32_t counts[8] = { 0 };
	struct fg_grants *g;
	uint64_t id;

	wide.batch = 6;
	g = fg_grants_new(&wide, 0, false);
	gfx_load_adapter(g, 1, 1);
	g_assert_cmpint(fg_grants_request(g, 10, &draft, &id), ==,
			FG_GRANT_HELD);
	fg_grants_serve_held(g, 1009, gfx_count_reply, counts);
	g_assert_cmpuint(fg_grants_held(g), ==, 1);
	fg_grants_serve_held(g, 1010, gfx_count_reply, counts);
	g_assert_cmpuint(counts[FG_GRANT_OK], ==, 1);
	draft.req_id = 2;
	g_assert_cmpint(fg_grants_request(g, 1020, &draft, &id), ==,
			FG_GRANT_HELD);
	g_assert_cmpint(gfx_request(g, 1030, 1, 1, 1, &id), ==, FG_GRANT_OK);
	fg_grants_serve_held(g, 1030, gfx_count_reply, counts);
	g_assert_cmpuint(counts[FG_GRANT_OK], ==, 2);
	draft.req_id = 3;
	g_assert_cmpint(fg_grants_request(g, 1040, &draft, &id), ==,
			FG_GRANT_OK);
	fg_grants_free(g);
}

/* An unpinned slot that a held request waits for is not evicted. */
static void test_held_request_keeps_slot(void)
{
	struct fg_grants *g = gfx_new_loaded();
	uint64_t a, b, id;

	gfx_request(g, 10, 1, 1, 2, &a);
	gfx_request(g, 10, 1, 2, 2, &b);
	gfx_request(g, 10, 1, 3, 1, &id);
	g_assert_cmpint(gfx_start_load(g, 11, 3), ==, FG_LOAD_START_PINNED);
	fg_grants_cancel(g, 12, 1, 3);
	g_assert_cmpint(gfx_start_load(g, 12, 3), ==, FG_LOAD_START_OK);
	fg_grants_free(g);
}

static void test_leaving(void)
{
	struct fg_grants *g = gfx_new_loaded();
	uint32_t counts[8] = { 0 };
	uint64_t a, id;

	gfx_request(g, 10, 1, 1, 1, &a);
	gfx_request(g, 10, 1, 2, 1, &id);
	gfx_request(g, 10, 1, 3, 1, &id);
	fg_grants_set_leaving(g);
	fg_grants_serve_held(g, 11, gfx_count_reply, counts);
	g_assert_cmpuint(counts[FG_GRANT_LEAVING], ==, 1);
	g_assert_cmpint(gfx_request(g, 12, 1, 4, 1, &id), ==, FG_GRANT_LEAVING);
	g_assert_cmpint(gfx_start_load(g, 12, 3), ==, FG_LOAD_START_LEAVING);
	g_assert_cmpuint(fg_grants_in_use(g), ==, 2);
	fg_grants_free(g);
}

static void test_resident_message(void)
{
	struct fg_grants *g = gfx_new_loaded();
	fg_resident r;
	uint64_t seq;

	g_assert_true(fg_grants_take_changed(g));
	g_assert_false(fg_grants_take_changed(g));
	fg_grants_fill_resident(g, &r);
	g_assert_cmpuint(r.av.av_len, ==, 2);
	seq = r.seq;
	free(r.av.av_val);
	g_assert_cmpint(gfx_start_load(g, 10, 3), ==, FG_LOAD_START_OK);
	g_assert_true(fg_grants_take_changed(g));
	fg_grants_fill_resident(g, &r);
	g_assert_cmpuint(r.av.av_len, ==, 1);
	g_assert_cmpuint(r.seq, >, seq);
	free(r.av.av_val);
	fg_grants_free(g);
}

/* A batch that becomes full, or has room again, is announced to routers. */
static void test_full_batch_is_announced(void)
{
	struct fg_grants *g = gfx_new_loaded();
	uint64_t a, b;

	fg_grants_take_changed(g);
	gfx_request(g, 10, 1, 1, 1, &a);
	g_assert_false(fg_grants_take_changed(g));
	gfx_request(g, 10, 1, 2, 2, &b);
	g_assert_true(fg_grants_take_changed(g));
	fg_grants_release(g, 11, a);
	g_assert_true(fg_grants_take_changed(g));
	fg_grants_release(g, 12, b);
	g_assert_false(fg_grants_take_changed(g));
	fg_grants_free(g);
}

static void test_preferred_victim(void)
{
	struct fg_grants *g = gfx_new_loaded();
	uint32_t slot;
	fg_av victim;
	uint64_t id;

	gfx_request(g, 10, 1, 1, 1, &id);
	g_assert_cmpint(fg_grants_start_load(g, 11, gfx_av(3), gfx_av(1),
					     fg_grants_score_keep, NULL, &slot,
					     &victim),
			==, FG_LOAD_START_PINNED);
	g_assert_cmpint(fg_grants_start_load(g, 11, gfx_av(3), gfx_av(2),
					     fg_grants_score_keep, NULL, &slot,
					     &victim),
			==, FG_LOAD_START_OK);
	g_assert_cmpuint(victim.adapter, ==, 2);
	fg_grants_free(g);
}

/* A new owner learns the slots' content from the first accepted engine state,
 * whatever time passes between asking and answer, and loads into no slot that
 * it wrongly takes for empty. */
static void test_first_state_of_new_owner(void)
{
	for (fg_ms asked_at = 990; asked_at <= 1000; asked_at++) {
		struct fg_grants *g = fg_grants_new(&grant_conf, 1000, true);
		struct fg_engine_state st = gfx_engine_state(1, 2, 1);

		fg_grants_await_peers(g, NULL, 0);
		fg_grants_on_engine_state(g, 1000, asked_at, &st, gfx_find_av,
					  NULL);
		g_assert_cmpint(gfx_start_load(g, 1000, 3), !=,
				FG_LOAD_START_OK);
		fg_grants_free(g);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/grant/pins", test_pins_block_eviction);
	g_test_add_func("/grant/late_repeat", test_late_repeat_refused);
	g_test_add_func("/grant/ids_of_owners", test_ids_unique_across_owners);
	g_test_add_func("/grant/held", test_held_requests);
	g_test_add_func("/grant/held_for_batch", test_drafts_held_for_batch);
	g_test_add_func("/grant/held_keeps_slot", test_held_request_keeps_slot);
	g_test_add_func("/grant/leave", test_leaving);
	g_test_add_func("/grant/resident_message", test_resident_message);
	g_test_add_func("/grant/first_state", test_first_state_of_new_owner);
	g_test_add_func("/grant/full_is_news", test_full_batch_is_announced);
	g_test_add_func("/grant/preferred_victim", test_preferred_victim);
	return g_test_run();
}
