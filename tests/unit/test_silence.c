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
	g_assert_cmpuint(fg_silence_limit_ms(500, 0, 0), ==, 500);
	g_assert_cmpuint(fg_silence_limit_ms(500, 900, 100), ==, 900);
	/* Answers that took longer raise it. */
	g_assert_cmpuint(fg_silence_limit_ms(500, 900, 2000), >, 2000);
	g_assert_cmpuint(fg_silence_limit_ms(500, 900, UINT32_MAX), ==,
			 UINT32_MAX);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/silence/withdraw", test_withdraw);
	g_test_add_func("/silence/last_send", test_last_send);
	g_test_add_func("/silence/limit", test_limit);
	return g_test_run();
}
