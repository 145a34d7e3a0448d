/* Unit tests of lib/base: names of classes and reasons, random numbers,
 * hashes. */
#include <glib.h>

#include "base/fg_outcome.h"
#include "base/fg_rand.h"

static void test_class_names(void)
{
	for (int c = 0; c < FG_CLASS_COUNT; c++)
		g_assert_cmpint(fg_class_parse(fg_class_name(c)), ==, c);
	g_assert_cmpint(fg_class_parse("nonsense"), ==, -1);
}

static void test_reasons_are_complete(void)
{
	for (int r = 0; r < FG_R_COUNT; r++) {
		g_assert_nonnull(fg_reason_code(r));
		g_assert_nonnull(fg_reason_text(r));
		g_assert_cmpuint(fg_http_status(FG_NOT_RUN, r), >=, 200);
	}
	g_assert_cmpuint(fg_http_status(FG_DONE, FG_R_NONE), ==, 200);
	g_assert_cmpuint(fg_http_status(FG_UNKNOWN, FG_R_NONE), ==, 504);
}

static void test_rand_is_reproducible(void)
{
	struct fg_rand a, b;

	fg_rand_seed(&a, 7);
	fg_rand_seed(&b, 7);
	for (int i = 0; i < 1000; i++) {
		uint64_t x = fg_rand_below(&a, 10);

		g_assert_cmpuint(x, <, 10);
		g_assert_cmpuint(x, ==, fg_rand_below(&b, 10));
		g_assert_cmpfloat(fg_rand_unit(&a), <, 1.0);
		fg_rand_unit(&b);
	}
}

static void test_hash_is_stable(void)
{
	/* Stored ids contain these hashes: after a change of the functions
	 * existing rows would not be found. */
	g_assert_cmphex(fg_hash_str("owner"), ==, fg_hash_bytes("owner", 5));
	g_assert_cmphex(fg_hash_mix(1, 2), !=, fg_hash_mix(2, 1));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/base/class_names", test_class_names);
	g_test_add_func("/base/reasons_complete", test_reasons_are_complete);
	g_test_add_func("/base/rand_repeats", test_rand_is_reproducible);
	g_test_add_func("/base/hash_stable", test_hash_is_stable);
	return g_test_run();
}
