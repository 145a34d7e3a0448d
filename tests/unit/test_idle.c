/* Idle limits that change while callers know an earlier one. */
#include <glib.h>

#include "base/fg_rand.h"
#include "idle/fg_idle.h"

#define CHANGES 200
#define LONGEST_MS 15000

static void one_limit(void)
{
	struct fg_idle i;

	fg_idle_init(&i, 1000);
	g_assert_cmpint(fg_idle_close_at(&i, 500), ==, 1500);
	fg_idle_init(&i, 0);
	g_assert_cmpint(fg_idle_close_at(&i, 500), ==, FG_MS_NEVER);
}

/* A shorter limit holds for connections whose callers know it. */
static void shorter_limit(void)
{
	struct fg_idle i;

	fg_idle_init(&i, 15000);
	fg_idle_set(&i, 100000, 1000);
	g_assert_cmpint(fg_idle_close_at(&i, 97000), ==, 112000);
	g_assert_cmpint(fg_idle_close_at(&i, 100000), ==, 115000);
	g_assert_cmpint(fg_idle_close_at(&i, 100000 + FG_IDLE_KNOWN_MS), ==,
			101000 + FG_IDLE_KNOWN_MS);
}

static void longer_limit(void)
{
	struct fg_idle i;

	fg_idle_init(&i, 1000);
	fg_idle_set(&i, 100000, 15000);
	g_assert_cmpint(fg_idle_close_at(&i, 99500), ==, 114500);
	fg_idle_set(&i, 101000, 0);
	g_assert_cmpint(fg_idle_close_at(&i, 99500), ==, FG_MS_NEVER);
	fg_idle_set(&i, 102000, 1000);
	g_assert_cmpint(fg_idle_close_at(&i, 105000), ==, FG_MS_NEVER);
	g_assert_cmpint(fg_idle_close_at(&i, 110000), ==, 111000);
}

/* Whatever the changes, a connection is not closed before the longest limit
 * that its caller may know. */
static void many_changes(void)
{
	struct fg_rand rand;

	fg_rand_seed(&rand, 65);
	for (int run = 0; run < 300; run++) {
		fg_ms at[CHANGES];
		uint32_t limit[CHANGES];
		struct fg_idle i;
		fg_ms now = 0;

		for (int k = 0; k < CHANGES; k++) {
			limit[k] =
				1 + (uint32_t)fg_rand_below(&rand, LONGEST_MS);
			at[k] = now;
			if (k == 0)
				fg_idle_init(&i, limit[k]);
			else
				fg_idle_set(&i, now, limit[k]);
			for (fg_ms since = MAX(0, now - 30000); since <= now;
			     since += 1 + (fg_ms)fg_rand_below(&rand, 700)) {
				uint32_t longest = limit[k];

				for (int e = 0; e < k; e++) {
					if (since - at[e + 1] <
					    FG_IDLE_KNOWN_MS)
						longest =
							MAX(longest, limit[e]);
				}
				g_assert_cmpint(fg_idle_close_at(&i, since), >=,
						since + (fg_ms)longest);
				g_assert_cmpint(fg_idle_close_at(&i, since), <=,
						since + LONGEST_MS);
			}
			now += 1 + (fg_ms)fg_rand_below(&rand, 3000);
		}
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/idle/one_limit", one_limit);
	g_test_add_func("/idle/shorter_limit", shorter_limit);
	g_test_add_func("/idle/longer_limit", longer_limit);
	g_test_add_func("/idle/many_changes", many_changes);
	return g_test_run();
}
