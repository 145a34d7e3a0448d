/* Unit tests of what silence of an endpoint means for a request. */
#include <glib.h>

#include "silence/fg_silence.h"

static const struct fg_silence_view can_move = {
	.limit_ms = 500,
	.silent_ms = 500,
	.may_run_again = true,
	.runs_left = 1,
	.has_budget = true,
	.other_endpoint = true,
};

static void test_withdraw(void)
{
	struct fg_silence_view v = can_move;

	g_assert_cmpint(fg_silence_judge(&v), ==, FG_SILENCE_WITHDRAW);
	v.silent_ms = 499;
	g_assert_cmpint(fg_silence_judge(&v), ==, FG_SILENCE_WAIT);
}

/* A request that cannot go on elsewhere is never ended by silence. */
static void test_last_send(void)
{
	struct fg_silence_view views[] = { can_move, can_move, can_move,
					   can_move };

	views[0].may_run_again = false;
	views[1].runs_left = 0;
	views[2].has_budget = false;
	views[3].other_endpoint = false;
	for (size_t i = 0; i < G_N_ELEMENTS(views); i++) {
		views[i].silent_ms = 1000000;
		g_assert_cmpint(fg_silence_judge(&views[i]), ==,
				FG_SILENCE_SUSPECT);
	}
}

static void test_limit(void)
{
	struct fg_silence_times t = { .floor_ms = 500, .time_ms = 12000 };

	g_assert_cmpuint(fg_silence_limit_ms(&t), ==, 500);
	t.expected_ms = 900;
	t.longest_ms = 100;
	g_assert_cmpuint(fg_silence_limit_ms(&t), ==, 900);
	/* Answers that took longer raise it. */
	t.longest_ms = 2000;
	g_assert_cmpuint(fg_silence_limit_ms(&t), >, 2000);
	t.time_ms = 0;
	t.longest_ms = UINT32_MAX;
	g_assert_cmpuint(fg_silence_limit_ms(&t), ==, UINT32_MAX);
}

/* One answer that took long does not hold others at a hung endpoint until their
 * deadline; where answers usually take long, none is given up early. */
static void test_limit_by_deadline(void)
{
	struct fg_silence_times t = { .floor_ms = 500,
				      .longest_ms = 1400,
				      .usual_ms = 100,
				      .time_ms = 1500 };

	g_assert_cmpuint(fg_silence_limit_ms(&t), ==, 1000);
	t.usual_ms = 350;
	g_assert_cmpuint(fg_silence_limit_ms(&t), ==, 800);
	t.usual_ms = 400;
	g_assert_cmpuint(fg_silence_limit_ms(&t), ==, 1750);
	t.usual_ms = 100;
	t.time_ms = 900;
	g_assert_cmpuint(fg_silence_limit_ms(&t), ==, 1750);
	t.time_ms = 4000;
	g_assert_cmpuint(fg_silence_limit_ms(&t), ==, 1750);
	t.usual_ms = UINT32_MAX;
	g_assert_cmpuint(fg_silence_limit_ms(&t), ==, 1750);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/silence/withdraw", test_withdraw);
	g_test_add_func("/silence/last_send", test_last_send);
	g_test_add_func("/silence/limit", test_limit);
	g_test_add_func("/silence/limit_by_deadline", test_limit_by_deadline);
	return g_test_run();
}
