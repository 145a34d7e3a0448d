/* Unit tests of adapter popularity, the directory and the hold time of drafts.
 */
#include "place_fixture.h"

/* ---- Popularity ---- */

static void test_popularity_decay(void)
{
	struct fg_popularity_table *t = fg_popularity_new(1000);

	fg_popularity_add(t, 0, pfx_av(1), 8);
	g_assert_cmpfloat_with_epsilon(fg_popularity_get(t, 1000, pfx_av(1)), 4,
				       1e-9);
	fg_popularity_add(t, 2000, pfx_av(1), 1);
	g_assert_cmpfloat_with_epsilon(fg_popularity_get(t, 2000, pfx_av(1)), 3,
				       1e-9);
	g_assert_cmpint(fg_popularity_last(t, pfx_av(1)), ==, 2000);
	g_assert_cmpfloat(fg_popularity_get(t, 0, pfx_av(2)), ==, 0);
	for (uint32_t i = 10; i < 1000; i++)
		fg_popularity_add(t, 2000, pfx_av(i), 1);
	for (fg_ms now = 3000; now < 20000; now += 1000)
		fg_popularity_add(t, now, pfx_av(1), 1);
	g_assert_cmpuint(fg_popularity_size(t), ==, 1);
	fg_popularity_free(t);
}

/* ---- Directory ---- */

static uint64_t pick_ep(struct fg_dir *d, uint32_t adapter, uint64_t avoid,
			bool remote, uint64_t prefix)
{
	return fg_dir_pick_endpoint(d, 0, SERVICE, pfx_av(adapter), REGION,
				    remote, &avoid, 1, prefix)
		.ep;
}

static void test_dir_pick(void)
{
	struct fg_dir *d = pfx_new_dir();
	fg_av one = pfx_av(1);

	g_assert_cmpuint(pick_ep(d, 1, 0, false, 0), ==, 0);
	pfx_report_resident(d, 1, 2, 3, &one, 1);
	pfx_report_resident(d, 2, 2, 2, &one, 1);
	g_assert_cmpuint(pick_ep(d, 1, 0, false, 0), ==, 2);
	g_assert_cmpuint(pick_ep(d, 1, 2, false, 0), ==, 1);
	fg_dir_add_own_grants(d, 2, 2);
	g_assert_cmpuint(pick_ep(d, 1, 0, false, 0), ==, 1);
	fg_dir_add_own_grants(d, 2, -2);
	fg_dir_set_endpoint(d, 2, SERVICE, REGION, "a", true);
	g_assert_cmpuint(pick_ep(d, 1, 0, false, 0), ==, 1);
	fg_dir_set_endpoint(d, 2, SERVICE, "other", "a", false);
	g_assert_cmpuint(pick_ep(d, 1, 1, false, 0), ==, 0);
	g_assert_cmpuint(pick_ep(d, 1, 1, true, 0), ==, 2);
	g_assert_cmpuint(pick_ep(d, 1, 0, true, 0), ==, 1);
	fg_dir_remove_endpoint(d, 1);
	g_assert_cmpuint(pick_ep(d, 1, 0, false, 0), ==, 0);
	fg_dir_free(d);
}

static void test_dir_ignores_old_seq(void)
{
	struct fg_dir *d = pfx_new_dir();
	fg_av one = pfx_av(1), two = pfx_av(2);

	pfx_report_resident(d, 1, 5, 0, &one, 1);
	pfx_report_resident(d, 1, 4, 0, &two, 1);
	g_assert_cmpuint(pick_ep(d, 1, 0, false, 0), ==, 1);
	g_assert_cmpuint(pick_ep(d, 2, 0, false, 0), ==, 0);
	fg_dir_free(d);
}

static void test_dir_prefix(void)
{
	struct fg_dir *d = pfx_new_dir();
	fg_av one = pfx_av(1);
	uint64_t first;

	for (uint64_t ep = 1; ep <= EPS; ep++)
		pfx_report_resident(d, ep, 2, 0, &one, 1);
	first = pick_ep(d, 1, 0, false, 99);
	for (int i = 0; i < 20; i++)
		g_assert_cmpuint(pick_ep(d, 1, 0, false, 99), ==, first);
	pfx_report_resident(d, first, 3, 6, &one, 1);
	g_assert_cmpuint(pick_ep(d, 1, 0, false, 99), !=, first);
	fg_dir_free(d);
}

/* A low stall weight picks the fuller endpoint that has room. */
static void test_dir_packing(void)
{
	struct fg_dir *d = pfx_new_dir();
	fg_av one = pfx_av(1);

	fg_dir_set_stall_weight(d, 20);
	pfx_report_resident(d, 1, 2, 3, &one, 1);
	pfx_report_resident(d, 2, 2, 2, &one, 1);
	g_assert_cmpuint(pick_ep(d, 1, 0, false, 0), ==, 1);
	pfx_report_resident(d, 1, 3, 8, &one, 1);
	g_assert_cmpuint(pick_ep(d, 1, 0, false, 0), ==, 2);
	fg_dir_set_stall_weight(d, 80);
	pfx_report_resident(d, 1, 4, 3, &one, 1);
	g_assert_cmpuint(pick_ep(d, 1, 0, false, 0), ==, 2);
	fg_dir_free(d);
}

/* ---- Holding ---- */

static void test_hold_time(void)
{
	struct fg_preset p = { .stall_weight = 0, .hold_max_ms = 8000 };

	g_assert_cmpuint(fg_hold_ms(&p, 60000, 2000, 250, 1, 8, false), ==,
			 8000);
	g_assert_cmpuint(fg_hold_ms(&p, 60000, 2000, 250, 1, 8, true), ==, 0);
	g_assert_cmpuint(fg_hold_ms(&p, 60000, 2000, 250, 8, 8, false), ==, 0);
	g_assert_cmpuint(fg_hold_ms(&p, 3000, 2000, 250, 1, 8, false), ==, 0);
	g_assert_cmpuint(fg_hold_ms(&p, 5000, 2000, 250, 1, 8, false), <,
			 5000 - 2250);
	p.stall_weight = 100;
	g_assert_cmpuint(fg_hold_ms(&p, 60000, 2000, 250, 1, 8, false), ==, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/place/heat", test_popularity_decay);
	g_test_add_func("/place/dir_pick", test_dir_pick);
	g_test_add_func("/place/dir_order", test_dir_ignores_old_seq);
	g_test_add_func("/place/dir_prefix", test_dir_prefix);
	g_test_add_func("/place/dir_packs", test_dir_packing);
	g_test_add_func("/place/hold", test_hold_time);
	return g_test_run();
}
