/* Unit tests of the states of a request. */
#include <glib.h>

#include "gateway/fg_gw_state.h"

/* Guards against a request that is marked as waiting after it was sent, and is
 * then refused as not run. */
static void test_sent_is_left_by_its_end(void)
{
	for (int to = 0; to < FG_GWREQ_STATES; to++)
		g_assert_false(fg_gwreq_may_enter(FG_GWREQ_SENT,
						  (enum fg_gwreq_state)to));
}

/* A wait for a limit or for a stream's version ends before the choice of an
 * endpoint. */
static void test_waits_before_placing(void)
{
	for (int from = 0; from < FG_GWREQ_STATES; from++) {
		enum fg_gwreq_state f = (enum fg_gwreq_state)from;

		g_assert_cmpint(fg_gwreq_may_enter(f, FG_GWREQ_WAIT_QUOTA), ==,
				f != FG_GWREQ_SENT && f != FG_GWREQ_WAIT_QUOTA);
		g_assert_cmpint(fg_gwreq_may_enter(f, FG_GWREQ_SENT), ==,
				f != FG_GWREQ_SENT && f != FG_GWREQ_WAIT_QUOTA);
	}
	g_assert_true(
		fg_gwreq_may_enter(FG_GWREQ_WAIT_QUOTA, FG_GWREQ_DECIDING));
}

static void test_values_out_of_range(void)
{
	g_assert_false(fg_gwreq_may_enter(FG_GWREQ_STATES, FG_GWREQ_SENT));
	g_assert_false(fg_gwreq_may_enter(FG_GWREQ_DECIDING, FG_GWREQ_STATES));
	g_assert_cmpstr(fg_gwreq_state_name(FG_GWREQ_STATES), ==, "unknown");
	g_assert_cmpstr(fg_gwreq_state_name(FG_GWREQ_SENT), ==, "sent");
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/gw_state/sent_is_left_by_its_end",
			test_sent_is_left_by_its_end);
	g_test_add_func("/gw_state/waits_before_placing",
			test_waits_before_placing);
	g_test_add_func("/gw_state/values_out_of_range",
			test_values_out_of_range);
	return g_test_run();
}
