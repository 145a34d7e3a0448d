/* Unit tests of lib/grant, one promise each; see test_grant_sim.c for seeded
 * interleavings. */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "grant/fg_grant.h"

#define LIFE_MS 3000
#define GRANT_MAX_MS 10000

static const struct fg_grants_conf conf = {
	.ep = 77,
	.fence = 5,
	.slots = 2,
	.batch = 2,
	.grant_max_ms = GRANT_MAX_MS,
	.queue_max = 3,
};

static fg_av av(uint32_t adapter)
{
	return (fg_av){ adapter, 1 };
}

/* Adapters are named by their number in the fake engine's state. */
static fg_av find(void *arg, const char *adapter, const char *version)
{
	(void)arg;
	(void)version;
	return av((uint32_t)g_ascii_strtoull(adapter, NULL, 10));
}

static struct fg_engine_state engine(uint32_t a, uint32_t b, uint32_t running_a)
{
	struct fg_engine_state st = { .epoch = 1, .slots = 2, .batch = 2 };

	if (a != 0)
		snprintf(st.slot[0].adapter, FG_NAME_BYTES, "%u", a);
	if (b != 0)
		snprintf(st.slot[1].adapter, FG_NAME_BYTES, "%u", b);
	st.slot[0].running = running_a;
	return st;
}

static void see(struct fg_grants *g, fg_ms now, struct fg_engine_state st)
{
	fg_grants_engine(g, now, now, &st, find, NULL);
}

static fg_grant_status ask_as(struct fg_grants *g, fg_ms now, uint64_t holder,
			      uint64_t req, uint32_t adapter, uint64_t *grant)
{
	struct fg_grant_ask ask = { .holder = holder,
				    .req = req,
				    .av = av(adapter),
				    .cls = FG_CLASS_INTERACTIVE,
				    .budget_ms = 5000 };

	return fg_grants_request(g, now, &ask, grant);
}

static enum fg_load_start load_only(struct fg_grants *g, fg_ms now, uint32_t a)
{
	uint32_t slot;
	fg_av victim;

	return fg_grants_load_start(g, now, av(a), av(0), NULL, NULL, &slot,
				    &victim);
}

static void load(struct fg_grants *g, fg_ms now, uint32_t adapter)
{
	uint32_t slot;
	fg_av victim;

	g_assert_cmpint(fg_grants_load_start(g, now, av(adapter), av(0), NULL,
					     NULL, &slot, &victim),
			==, FG_LOAD_START_OK);
	fg_grants_load_done(g, now, slot, FG_ORDER_DONE, LIFE_MS);
}

/* Two slots with adapters 1 and 2. */
static struct fg_grants *loaded(void)
{
	struct fg_grants *g = fg_grants_new(&conf, 0, false);

	load(g, 1, 1);
	load(g, 2, 2);
	return g;
}

static void count_reply(void *arg, const struct fg_grant_ask *ask,
			fg_grant_status status, uint64_t grant)
{
	uint32_t *counts = arg;

	(void)ask;
	g_assert_true((status == FG_GRANT_OK) == (grant != 0));
	counts[status]++;
}

static void test_pins(void)
{
	struct fg_grants *g = loaded();
	uint64_t a, b, again;

	g_assert_cmpint(ask_as(g, 10, 1, 1, 1, &a), ==, FG_GRANT_OK);
	g_assert_cmpint(ask_as(g, 10, 1, 2, 2, &b), ==, FG_GRANT_OK);
	g_assert_cmpint(ask_as(g, 11, 1, 2, 2, &again), ==, FG_GRANT_OK);
	g_assert_cmpuint(again, ==, b);
	g_assert_cmpuint(fg_grants_in_use(g), ==, 2);
	g_assert_cmpint(load_only(g, 12, 3), ==, FG_LOAD_START_PINNED);
	fg_grants_release(g, 13, b);
	fg_grants_release(g, 13, b);
	g_assert_cmpuint(fg_grants_in_use(g), ==, 1);
	g_assert_cmpint(load_only(g, 14, 3), ==, FG_LOAD_START_OK);
	g_assert_false(fg_grants_has(g, av(2)));
	g_assert_true(fg_grants_has(g, av(1)));
	g_assert_cmpint(load_only(g, 14, 3), ==, FG_LOAD_START_PRESENT);
	fg_grants_free(g);
}

/* A late repeat of an ask that ended must not pin a slot for nobody. */
static void test_late_repeat(void)
{
	struct fg_grants *g = loaded();
	uint64_t id;

	ask_as(g, 10, 1, 1, 1, &id);
	fg_grants_release(g, 11, id);
	g_assert_cmpint(ask_as(g, 12, 1, 1, 1, &id), ==, FG_GRANT_NO_TIME);
	fg_grants_cancel(g, 13, 1, 2);
	g_assert_cmpint(ask_as(g, 14, 1, 2, 1, &id), ==, FG_GRANT_NO_TIME);
	g_assert_cmpuint(fg_grants_in_use(g), ==, 0);
	fg_grants_free(g);
}

/* Ids of two owners never meet, so a late release cannot hit the wrong one. */
static void test_ids_of_owners(void)
{
	struct fg_grants_conf next = conf;
	struct fg_grants *g = loaded();
	uint64_t a, b;

	ask_as(g, 10, 1, 1, 1, &a);
	fg_grants_free(g);
	next.fence++;
	g = fg_grants_new(&next, 20, false);
	load(g, 21, 1);
	ask_as(g, 22, 1, 2, 1, &b);
	fg_grants_release(g, 23, a);
	g_assert_cmpuint(fg_grants_in_use(g), ==, 1);
	fg_grants_free(g);
}

static void test_held(void)
{
	struct fg_grants *g = loaded();
	uint32_t counts[8] = { 0 };
	struct fg_grant_ask draft = { 9, 9, av(1), FG_CLASS_DRAFT, 100, 0 };
	uint64_t a, b, id;

	ask_as(g, 10, 1, 1, 1, &a);
	ask_as(g, 10, 1, 2, 2, &b);
	g_assert_cmpint(fg_grants_request(g, 10, &draft, &id), ==,
			FG_GRANT_HELD);
	g_assert_cmpint(ask_as(g, 10, 1, 3, 1, &id), ==, FG_GRANT_HELD);
	g_assert_cmpint(ask_as(g, 10, 1, 3, 1, &id), ==, FG_GRANT_HELD);
	g_assert_cmpint(ask_as(g, 10, 1, 4, 1, &id), ==, FG_GRANT_HELD);
	g_assert_cmpint(ask_as(g, 10, 1, 5, 1, &id), ==, FG_GRANT_OVERLOAD);
	fg_grants_release(g, 20, a);
	fg_grants_release(g, 20, b);
	/* Held asks go before new ones of their class. */
	fg_grants_cancel(g, 20, 1, 4);
	g_assert_cmpint(ask_as(g, 20, 1, 6, 1, &id), ==, FG_GRANT_HELD);
	fg_grants_pump(g, 21, count_reply, counts);
	g_assert_cmpuint(counts[FG_GRANT_OK], ==, 2);
	g_assert_cmpint(ask_as(g, 21, 1, 6, 1, &id), ==, FG_GRANT_OK);
	fg_grants_pump(g, 110, count_reply, counts);
	g_assert_cmpuint(counts[FG_GRANT_NO_TIME], ==, 1);
	g_assert_cmpuint(fg_grants_held(g), ==, 0);
	fg_grants_free(g);
}

/* Drafts wait until half a batch is full, or their time is over. */
static void test_held_for_batch(void)
{
	struct fg_grants_conf wide = conf;
	struct fg_grant_ask draft = { 9, 1, av(1), FG_CLASS_DRAFT, 9000, 1000 };
	uint32_t counts[8] = { 0 };
	struct fg_grants *g;
	uint64_t id;

	wide.batch = 6;
	g = fg_grants_new(&wide, 0, false);
	load(g, 1, 1);
	g_assert_cmpint(fg_grants_request(g, 10, &draft, &id), ==,
			FG_GRANT_HELD);
	fg_grants_pump(g, 1009, count_reply, counts);
	g_assert_cmpuint(fg_grants_held(g), ==, 1);
	fg_grants_pump(g, 1010, count_reply, counts);
	g_assert_cmpuint(counts[FG_GRANT_OK], ==, 1);
	draft.req = 2;
	g_assert_cmpint(fg_grants_request(g, 1020, &draft, &id), ==,
			FG_GRANT_HELD);
	g_assert_cmpint(ask_as(g, 1030, 1, 1, 1, &id), ==, FG_GRANT_OK);
	fg_grants_pump(g, 1030, count_reply, counts);
	g_assert_cmpuint(counts[FG_GRANT_OK], ==, 2);
	draft.req = 3;
	g_assert_cmpint(fg_grants_request(g, 1040, &draft, &id), ==,
			FG_GRANT_OK);
	fg_grants_free(g);
}

/* A slot that held asks wait for stays, though nobody pins it. */
static void test_held_keeps_slot(void)
{
	struct fg_grants *g = loaded();
	uint64_t a, b, id;

	ask_as(g, 10, 1, 1, 2, &a);
	ask_as(g, 10, 1, 2, 2, &b);
	ask_as(g, 10, 1, 3, 1, &id);
	g_assert_cmpint(load_only(g, 11, 3), ==, FG_LOAD_START_PINNED);
	fg_grants_cancel(g, 12, 1, 3);
	g_assert_cmpint(load_only(g, 12, 3), ==, FG_LOAD_START_OK);
	fg_grants_free(g);
}

static void test_leave(void)
{
	struct fg_grants *g = loaded();
	uint32_t counts[8] = { 0 };
	uint64_t a, id;

	ask_as(g, 10, 1, 1, 1, &a);
	ask_as(g, 10, 1, 2, 1, &id);
	ask_as(g, 10, 1, 3, 1, &id);
	fg_grants_leave(g);
	fg_grants_pump(g, 11, count_reply, counts);
	g_assert_cmpuint(counts[FG_GRANT_LEAVING], ==, 1);
	g_assert_cmpint(ask_as(g, 12, 1, 4, 1, &id), ==, FG_GRANT_LEAVING);
	g_assert_cmpint(load_only(g, 12, 3), ==, FG_LOAD_START_LEAVING);
	g_assert_cmpuint(fg_grants_in_use(g), ==, 2);
	fg_grants_free(g);
}

static void test_dead_holder(void)
{
	struct fg_grants *g = loaded();
	uint64_t a, b;

	ask_as(g, 10, 1, 1, 1, &a);
	ask_as(g, 10, 2, 1, 2, &b);
	fg_grants_holder_dead(g, 20, 1);
	/* Its request may still be on its way to the engine. */
	see(g, 21, engine(1, 2, 0));
	g_assert_cmpint(load_only(g, 22, 3), ==, FG_LOAD_START_PINNED);
	see(g, 2000, engine(1, 2, 1));
	g_assert_cmpint(load_only(g, 2001, 3), ==, FG_LOAD_START_PINNED);
	see(g, 3000, engine(1, 2, 0));
	g_assert_cmpint(load_only(g, 3001, 3), ==, FG_LOAD_START_OK);
	fg_grants_free(g);
}

/* The pin goes at the hard deadline, but what the engine still runs stays. */
static void test_hard_deadline(void)
{
	struct fg_grants *g = loaded();
	uint32_t counts[8] = { 0 };
	uint64_t a, b;

	ask_as(g, 10, 1, 1, 1, &a);
	ask_as(g, 10, 2, 1, 2, &b);
	fg_grants_holder_dead(g, 20, 1);
	fg_grants_pump(g, 5509, count_reply, counts);
	g_assert_cmpuint(fg_grants_in_use(g), ==, 2);
	fg_grants_pump(g, 5510, count_reply, counts);
	g_assert_cmpuint(fg_grants_in_use(g), ==, 0);
	see(g, 5600, engine(1, 2, 1));
	load(g, 5601, 3);
	g_assert_true(fg_grants_has(g, av(1)));
	fg_grants_free(g);
}

static void test_lost_order(void)
{
	struct fg_grants *g = loaded();
	uint32_t slot;
	fg_av victim;
	uint64_t id;

	fg_grants_load_start(g, 10, av(3), av(1), NULL, NULL, &slot, &victim);
	g_assert_cmpuint(victim.adapter, ==, 1);
	fg_grants_load_done(g, 20, slot, FG_ORDER_LOST, LIFE_MS);
	g_assert_cmpint(fg_grants_slot(g, slot).state, ==, FG_SLOT_TAINTED);
	/* Still the old content: the order may yet arrive. */
	see(g, 30, engine(1, 2, 0));
	g_assert_cmpint(ask_as(g, 31, 1, 1, 1, &id), ==, FG_GRANT_NOT_RESIDENT);
	see(g, 20 + LIFE_MS, engine(1, 2, 0));
	g_assert_cmpint(ask_as(g, 3021, 1, 2, 1, &id), ==, FG_GRANT_OK);
	fg_grants_free(g);
}

static void test_lost_order_seen_done(void)
{
	struct fg_grants *g = loaded();
	uint32_t slot;
	fg_av victim;

	fg_grants_load_start(g, 10, av(3), av(1), NULL, NULL, &slot, &victim);
	fg_grants_load_done(g, 20, slot, FG_ORDER_LOST, LIFE_MS);
	see(g, 30, engine(3, 2, 0));
	g_assert_true(fg_grants_has(g, av(3)));
	fg_grants_free(g);
}

/* A run that its holder gave up may take the engine a while to end. */
static void test_runs_without_pin(void)
{
	struct fg_grants *g = loaded();
	uint64_t id;

	ask_as(g, 10, 1, 1, 1, &id);
	fg_grants_release(g, 20, id);
	ask_as(g, 21, 1, 2, 2, &id);
	fg_grants_release(g, 22, id);
	see(g, 30, engine(1, 2, 1));
	load(g, 31, 3);
	g_assert_true(fg_grants_has(g, av(1)));
	fg_grants_free(g);
}

static void test_states_out_of_order(void)
{
	struct fg_grants *g = loaded();
	struct fg_engine_state older = engine(9, 2, 0);

	see(g, 30, engine(1, 2, 0));
	fg_grants_engine(g, 31, 20, &older, find, NULL);
	g_assert_true(fg_grants_has(g, av(1)));
	fg_grants_free(g);
}

static void test_failed_load(void)
{
	struct fg_grants *g = loaded();
	uint32_t slot;
	fg_av victim;

	fg_grants_load_start(g, 10, av(3), av(1), NULL, NULL, &slot, &victim);
	fg_grants_load_done(g, 20, slot, FG_ORDER_FAILED, LIFE_MS);
	g_assert_false(fg_grants_has(g, av(1)));
	see(g, 30, engine(1, 2, 0));
	g_assert_true(fg_grants_has(g, av(1)));
	fg_grants_free(g);
}

static void test_restart_empty(void)
{
	struct fg_grants *g = loaded();
	struct fg_engine_state st = engine(0, 0, 0);
	uint64_t id;

	see(g, 5, engine(1, 2, 0));
	ask_as(g, 10, 1, 1, 1, &id);
	st.epoch = 2;
	g_assert_true(fg_grants_engine(g, 20, 20, &st, find, NULL));
	g_assert_cmpint(ask_as(g, 21, 1, 2, 1, &id), ==, FG_GRANT_NOT_RESIDENT);
	g_assert_cmpuint(fg_grants_in_use(g), ==, 0);
	load(g, 30, 3);
	/* A state asked for before the load does not undo it. */
	fg_grants_engine(g, 31, 25, &st, find, NULL);
	g_assert_true(fg_grants_has(g, av(3)));
	fg_grants_free(g);
}

/* DONE may tell of the engine's last life. */
static void test_restart_while_loading(void)
{
	struct fg_grants *g = loaded();
	struct fg_engine_state st = engine(0, 0, 0);
	uint32_t slot;
	fg_av victim;

	see(g, 5, engine(1, 2, 0));
	fg_grants_load_start(g, 10, av(3), av(1), NULL, NULL, &slot, &victim);
	st.epoch = 2;
	see(g, 20, st);
	fg_grants_load_done(g, 21, slot, FG_ORDER_DONE, LIFE_MS);
	g_assert_false(fg_grants_has(g, av(3)));
	see(g, 30, st);
	g_assert_cmpint(fg_grants_slot(g, slot).state, ==, FG_SLOT_EMPTY);
	fg_grants_free(g);
}

static void test_recovery(void)
{
	struct fg_grants *g = fg_grants_new(&conf, 100, true);
	const uint64_t peers[] = { 1, 2 };
	const fg_grant_info told = { (4ULL << 32) | 7, 70, { 1, 1 }, 4000 };
	uint64_t id;

	g_assert_cmpint(ask_as(g, 100, 3, 1, 1, &id), ==, FG_GRANT_RECOVERING);
	fg_grants_expect(g, peers, 2);
	fg_grants_told(g, 101, 1, &told, 1);
	fg_grants_told(g, 101, 1, &told, 1);
	see(g, 102, engine(1, 2, 0));
	g_assert_cmpuint(fg_grants_in_use(g), ==, 1);
	g_assert_cmpint(load_only(g, 103, 3), ==, FG_LOAD_START_RECOVERING);
	see(g, 700, engine(1, 2, 0));
	fg_grants_peer_gone(g, 800, 2);
	g_assert_false(fg_grants_recovering(g, 800));
	/* Peer 2 died untold: what it sent may be on its way to slot 1. */
	see(g, 801, engine(1, 2, 0));
	g_assert_cmpint(load_only(g, 802, 3), ==, FG_LOAD_START_PINNED);
	see(g, 1400, engine(1, 2, 0));
	load(g, 1401, 3);
	g_assert_true(fg_grants_has(g, av(1)));
	fg_grants_release(g, 1402, told.grant);
	g_assert_cmpuint(fg_grants_in_use(g), ==, 0);
	fg_grants_free(g);
}

static void test_recovery_by_time(void)
{
	struct fg_grants *g = fg_grants_new(&conf, 0, true);
	const uint64_t peer = 1;

	fg_grants_expect(g, &peer, 1);
	see(g, 1, engine(1, 2, 0));
	g_assert_true(fg_grants_recovering(g, GRANT_MAX_MS - 1));
	see(g, GRANT_MAX_MS - 1, engine(1, 2, 0));
	g_assert_cmpint(load_only(g, GRANT_MAX_MS, 3), ==, FG_LOAD_START_OK);
	fg_grants_free(g);
}

/* A release that overtakes the telling leaves no pin behind. */
static void test_release_before_told(void)
{
	struct fg_grants *g = fg_grants_new(&conf, 0, true);
	const fg_grant_info told = { (4ULL << 32) | 7, 70, { 1, 1 }, 4000 };

	fg_grants_expect(g, NULL, 0);
	see(g, 1, engine(1, 2, 0));
	fg_grants_release(g, 2, told.grant);
	fg_grants_told(g, 3, 1, &told, 1);
	g_assert_cmpuint(fg_grants_in_use(g), ==, 0);
	fg_grants_free(g);
}

static void test_tainted_by_intent(void)
{
	struct fg_grants *g = fg_grants_new(&conf, 0, true);
	const struct fg_intent in[] = {
		{ 8, 0, { 1, 1 }, { 3, 1 }, 4, LIFE_MS },
		{ 7, 0, { 9, 1 }, { 1, 1 }, 4, LIFE_MS },
	};
	uint64_t id;

	fg_grants_taint(g, 0, in, 2);
	fg_grants_expect(g, NULL, 0);
	see(g, 1, engine(1, 2, 0));
	g_assert_cmpint(ask_as(g, 2, 1, 1, 1, &id), ==, FG_GRANT_NOT_RESIDENT);
	g_assert_cmpint(ask_as(g, 2, 1, 2, 2, &id), ==, FG_GRANT_OK);
	/* The pinned slot 1 and the tainted slot 0 are both kept. */
	g_assert_cmpint(load_only(g, 3, 4), ==, FG_LOAD_START_PINNED);
	see(g, 4, engine(3, 2, 0));
	g_assert_cmpint(ask_as(g, 5, 1, 3, 3, &id), ==, FG_GRANT_OK);
	fg_grants_free(g);
}

/* An engine that has not seen our fence still obeys the last owner. */
static void test_fence_wanted(void)
{
	struct fg_grants *g = fg_grants_new(&conf, 0, true);
	struct fg_engine_state st = engine(1, 2, 0);
	uint64_t id;

	st.checks_fence = true;
	st.fence = 4;
	fg_grants_expect(g, NULL, 0);
	see(g, 1, st);
	g_assert_true(fg_grants_fence_wanted(g));
	g_assert_cmpint(ask_as(g, 2, 1, 1, 1, &id), ==, FG_GRANT_RECOVERING);
	st.fence = 5;
	see(g, 3, st);
	g_assert_cmpint(ask_as(g, 4, 1, 1, 1, &id), ==, FG_GRANT_OK);
	st.fence = 6;
	see(g, 5, st);
	g_assert_cmpint(ask_as(g, 6, 1, 2, 1, &id), ==, FG_GRANT_NOT_OWNER);
	fg_grants_free(g);
}

static void test_resident_message(void)
{
	struct fg_grants *g = loaded();
	fg_resident r;
	uint64_t seq;

	g_assert_true(fg_grants_changed(g));
	g_assert_false(fg_grants_changed(g));
	fg_grants_resident(g, &r);
	g_assert_cmpuint(r.av.av_len, ==, 2);
	seq = r.seq;
	free(r.av.av_val);
	g_assert_cmpint(load_only(g, 10, 3), ==, FG_LOAD_START_OK);
	g_assert_true(fg_grants_changed(g));
	fg_grants_resident(g, &r);
	g_assert_cmpuint(r.av.av_len, ==, 1);
	g_assert_cmpuint(r.seq, >, seq);
	free(r.av.av_val);
	fg_grants_free(g);
}

static void test_preferred_victim(void)
{
	struct fg_grants *g = loaded();
	uint32_t slot;
	fg_av victim;
	uint64_t id;

	ask_as(g, 10, 1, 1, 1, &id);
	g_assert_cmpint(fg_grants_load_start(g, 11, av(3), av(1),
					     fg_grants_keep, NULL, &slot,
					     &victim),
			==, FG_LOAD_START_PINNED);
	g_assert_cmpint(fg_grants_load_start(g, 11, av(3), av(2),
					     fg_grants_keep, NULL, &slot,
					     &victim),
			==, FG_LOAD_START_OK);
	g_assert_cmpuint(victim.adapter, ==, 2);
	fg_grants_free(g);
}

/* A new owner knows the slots from the first state that it counts, whatever
 * the time between asking and answer: it takes none for empty before that. */
static void test_first_state(void)
{
	for (fg_ms asked_at = 990; asked_at <= 1000; asked_at++) {
		struct fg_grants *g = fg_grants_new(&conf, 1000, true);
		struct fg_engine_state st = engine(1, 2, 1);

		fg_grants_expect(g, NULL, 0);
		fg_grants_engine(g, 1000, asked_at, &st, find, NULL);
		g_assert_cmpint(load_only(g, 1000, 3), !=, FG_LOAD_START_OK);
		fg_grants_free(g);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/grant/pins", test_pins);
	g_test_add_func("/grant/late_repeat", test_late_repeat);
	g_test_add_func("/grant/ids_of_owners", test_ids_of_owners);
	g_test_add_func("/grant/held", test_held);
	g_test_add_func("/grant/held_for_batch", test_held_for_batch);
	g_test_add_func("/grant/held_keeps_slot", test_held_keeps_slot);
	g_test_add_func("/grant/leave", test_leave);
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
	g_test_add_func("/grant/resident_message", test_resident_message);
	g_test_add_func("/grant/first_state", test_first_state);
	g_test_add_func("/grant/preferred_victim", test_preferred_victim);
	return g_test_run();
}
