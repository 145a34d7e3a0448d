/* Unit tests of the places of connections. */
#include <glib.h>

#include "places/fg_places.h"

/* A connection that never had an answer goes first, then the one that waits
 * longest. */
static void test_order(void)
{
	struct fg_places_view fresh = { .waits_since = 5000 };
	struct fg_places_view old = { .waits_since = 1000 };
	struct fg_places_view served = { .answered = true, .waits_since = 10 };
	struct fg_places_view served_late = { .answered = true,
					      .waits_since = 9000 };

	g_assert_true(fg_places_yields_before(&old, &fresh));
	g_assert_false(fg_places_yields_before(&fresh, &old));
	g_assert_true(fg_places_yields_before(&fresh, &served));
	g_assert_false(fg_places_yields_before(&served, &fresh));
	g_assert_true(fg_places_yields_before(&served, &served_late));
}

/* With any number of descriptors, callers leave some to endpoints, and both
 * leave some to the rest. */
static void test_descriptors(void)
{
	for (uint32_t n = FG_PLACES_DESCRIPTORS_MIN; n < 10000; n += 7) {
		struct fg_places_bound callers =
			fg_places_for_callers(n, 100000);
		struct fg_places_bound other = fg_places_for_other(n, 100000);

		g_assert_cmpuint(callers.connections_max, >, 0);
		g_assert_cmpuint(other.connections_max, >, 0);
		g_assert_cmpuint(callers.connections_max, <,
				 fg_places_for_endpoints(n));
		g_assert_cmpuint(fg_places_for_endpoints(n), <, n);
		g_assert_cmpuint(callers.descriptors_max, <=,
				 fg_places_for_endpoints(n));
	}
}

static void test_settings(void)
{
	g_assert_cmpuint(fg_places_for_callers(4100, 2000).connections_max, ==,
			 2000);
	g_assert_cmpuint(fg_places_for_callers(4100, 16).connections_max, ==,
			 16);
	g_assert_cmpuint(fg_places_for_callers(1024, 2000).connections_max, <,
			 512);
	g_assert_cmpuint(fg_places_for_other(4100, 256).connections_max, ==,
			 256);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/places/order", test_order);
	g_test_add_func("/places/descriptors", test_descriptors);
	g_test_add_func("/places/settings", test_settings);
	return g_test_run();
}
