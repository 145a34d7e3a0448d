/* Unit tests of the rules of lib/overload, one by one. */
#include <glib.h>
#include <string.h>

#include "overload/fg_overload.h"

static struct fg_rand rnd;

/* A request of which half waits for others, at a service that is full. */
static struct fg_overload_ask ask_of(uint32_t rank, uint32_t wait_ms)
{
	struct fg_overload_ask ask = {
		.service = 1,
		.rank = rank,
		.left_ms = 5000,
		.objective_ms = 1000,
		.work = 100,
		.wait_ms = wait_ms,
		.own_wait_ms = 20,
		.slots = 64,
		.slots_taken = 64,
		.waiting = 9,
		.share_per_s = 400,
	};

	return ask;
}

static enum fg_overload_why decide(struct fg_overload *o, fg_ms now,
				   struct fg_overload_ask ask)
{
	return fg_overload_decide(o, now, &ask, &rnd).why;
}

/* Asks every 100 ms in ranks 4 and 7, for 20 s; counts what is sent. */
static void ask_for_long(struct fg_overload *o, uint32_t wait_ms,
			 uint32_t sent[2])
{
	sent[0] = sent[1] = 0;
	for (fg_ms now = 1000; now < 21000; now += 100) {
		sent[0] += decide(o, now, ask_of(4, wait_ms)) == 0;
		sent[1] += decide(o, now, ask_of(7, wait_ms)) == 0;
	}
}

/* A request whose estimate exceeds its time must not wait to be refused. */
static void test_deadline(void)
{
	struct fg_overload *o = fg_overload_new();
	struct fg_overload_ask ask = ask_of(5, 3000);
	struct fg_overload_verdict v;

	ask.left_ms = 2500;
	v = fg_overload_decide(o, 1000, &ask, &rnd);
	g_assert_cmpint(v.why, ==, FG_OVERLOAD_DEADLINE);
	g_assert_cmpuint(v.estimate_ms, ==, 3000);
	g_assert_cmpuint(v.objective_ms, ==, 1000);
	g_assert_cmpuint(v.retry_ms, >=, 500);
	g_assert_cmpstr(fg_overload_reason(v.why), ==, "overload_deadline");
	fg_overload_free(o);
}

/* Without late ranks, nothing may be refused that is sent today. */
static void test_no_pressure(void)
{
	struct fg_overload *o = fg_overload_new();
	uint32_t sent[2];

	ask_for_long(o, 300, sent);
	g_assert_cmpuint(sent[0], ==, 200);
	g_assert_cmpuint(sent[1], ==, 200);
	fg_overload_free(o);
}

/* Under pressure the less urgent rank gives way, but to no less than a quarter
 * of the part of all. */
static void test_ranks(void)
{
	struct fg_overload *o = fg_overload_new();
	uint32_t sent[2];

	ask_for_long(o, 1500, sent);
	g_assert_cmpuint(sent[0] + sent[1], <, 400);
	g_assert_cmpuint(sent[0], >=, sent[1]);
	g_assert_cmpuint(sent[1] * 4, >=, (sent[0] + sent[1]) / 2);
	fg_overload_free(o);
}

/* Half of the slots free and nothing waits: a refusal would be a fault. */
static void test_room(void)
{
	struct fg_overload *o = fg_overload_new();
	struct fg_overload_ask ask = ask_of(7, 1500);
	uint32_t sent[2];

	ask_for_long(o, 1500, sent);
	ask.slots_taken = 31;
	ask.waiting = 0;
	for (int i = 0; i < 50; i++)
		g_assert_cmpint(decide(o, 21000, ask), ==, FG_OVERLOAD_SEND);
	fg_overload_free(o);
}

/* A request that was admitted is refused by its deadline only. */
static void test_admitted(void)
{
	struct fg_overload *o = fg_overload_new();
	struct fg_overload_ask ask = ask_of(7, 1500);
	uint32_t sent[2];

	ask_for_long(o, 1500, sent);
	ask.again = true;
	for (int i = 0; i < 50; i++)
		g_assert_cmpint(decide(o, 21000, ask), ==, FG_OVERLOAD_SEND);
	fg_overload_free(o);
}

/* A workspace beyond its share takes nothing from one within it. */
static void test_shares(void)
{
	struct fg_overload *o = fg_overload_new();
	uint32_t small = 0;
	uint32_t large = 0;

	for (fg_ms now = 1000; now < 21000; now += 100) {
		struct fg_overload_ask ask = ask_of(5, 1500);

		ask.workspace = 1;
		small += decide(o, now, ask) == 0;
		ask.workspace = 2;
		for (int i = 0; i < 7; i++)
			large += decide(o, now, ask) == 0;
	}
	g_assert_cmpuint(small * 7, >, large * 2);
	fg_overload_free(o);
}

/* A caller that returns at its time goes ahead of new ones, once. */
static void test_returns(void)
{
	struct fg_overload *o = fg_overload_new();
	struct fg_overload_ask ask = ask_of(7, 1500);
	struct fg_overload_verdict v;
	uint32_t sent[2];
	int promised = 0;

	ask_for_long(o, 1500, sent);
	for (uint64_t i = 0; i < 200; i++) {
		fg_ms now = 21000 + (fg_ms)i * 100;

		ask.fingerprint = 77 + i;
		v = fg_overload_decide(o, now, &ask, &rnd);
		g_assert_cmpuint(v.retry_ms, <=, FG_OVERLOAD_RETRY_MAX_MS);
		if (v.why == FG_OVERLOAD_SEND || v.retry_ms >= 1000)
			continue;
		promised++;
		g_assert_cmpint(decide(o, now + v.retry_ms, ask), ==,
				FG_OVERLOAD_SEND);
	}
	g_test_message("%d promises", promised);
	fg_overload_free(o);
}

/* A load that can no longer be there in time is refused while it waits. */
static void test_load_wait(void)
{
	struct fg_overload *o = fg_overload_new();
	struct fg_overload_ask ask = ask_of(5, 300);

	ask.load_ms = 270;
	ask.again = true;
	ask.load_waited_ms = 200;
	ask.left_ms = 1500;
	g_assert_cmpint(decide(o, 1000, ask), ==, FG_OVERLOAD_SEND);
	ask.load_waited_ms = 1200;
	ask.left_ms = 500;
	g_assert_cmpint(decide(o, 2000, ask), ==, FG_OVERLOAD_DEADLINE);
	fg_overload_free(o);
}

static void test_counts(void)
{
	struct fg_overload *o = fg_overload_new();
	struct fg_overload_view view;

	g_assert_false(fg_overload_view(o, 1000, 1, &view));
	decide(o, 1000, ask_of(5, 300));
	g_assert_true(fg_overload_view(o, 1100, 1, &view));
	g_assert_cmpuint(view.ranks[5].asked, ==, 1);
	g_assert_cmpuint(view.ranks[5].sent, ==, 1);
	g_assert_true(fg_overload_view(o, 2300, 1, &view));
	g_assert_cmpuint(view.ranks[5].asked, ==, 0);
	fg_overload_free(o);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	fg_rand_seed(&rnd, 1);
	g_test_add_func("/overload/deadline", test_deadline);
	g_test_add_func("/overload/no_pressure", test_no_pressure);
	g_test_add_func("/overload/ranks", test_ranks);
	g_test_add_func("/overload/room", test_room);
	g_test_add_func("/overload/admitted", test_admitted);
	g_test_add_func("/overload/shares", test_shares);
	g_test_add_func("/overload/returns", test_returns);
	g_test_add_func("/overload/load_wait", test_load_wait);
	g_test_add_func("/overload/counts", test_counts);
	return g_test_run();
}
