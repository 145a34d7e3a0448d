/* Unit tests of the store's eras. */
#include <errno.h>
#include <glib.h>

#include "era/fg_era.h"
#include "wire/fg_wire.h"

#define MAX_ERA 100

static enum fg_era_verdict observe(struct fg_era *e, int error, uint64_t era)
{
	const char *reason;

	return fg_era_observe(e, error, era, MAX_ERA, &reason);
}

static void test_advance(void)
{
	struct fg_era e = { 0 };

	/* The first era stated, which need not be 0, is no return. */
	g_assert_cmpint(observe(&e, 0, 3), ==, FG_ERA_CURRENT);
	g_assert_cmpint(observe(&e, 0, 3), ==, FG_ERA_CURRENT);
	g_assert_cmpint(observe(&e, 0, 4), ==, FG_ERA_ADVANCED);
	g_assert_cmpint(observe(&e, 0, 4), ==, FG_ERA_CURRENT);
	/* Several returns may happen between two answers. */
	g_assert_cmpint(observe(&e, 0, 7), ==, FG_ERA_ADVANCED);
	/* An answer that was sent before the return. */
	g_assert_cmpint(observe(&e, 0, 6), ==, FG_ERA_REFUSED);
	g_assert_cmpuint(e.known, ==, 7);
}

static void test_bad_values(void)
{
	struct fg_era e = { 0 };
	const char *reason;

	/* A store that states no era, or none that can be read, has era 0. */
	g_assert_cmpint(observe(&e, ENOENT, 0), ==, FG_ERA_CURRENT);
	g_assert_cmpint(observe(&e, EINVAL, 0), ==, FG_ERA_CURRENT);
	g_assert_cmpint(observe(&e, 0, 2), ==, FG_ERA_CURRENT);
	/* From then on such answers cannot be dated. */
	g_assert_cmpint(fg_era_observe(&e, ENOENT, 0, MAX_ERA, &reason), ==,
			FG_ERA_REFUSED);
	g_assert_nonnull(reason);
	/* Only the first of several refusals gives a reason to log. */
	g_assert_cmpint(fg_era_observe(&e, EINVAL, 0, MAX_ERA, &reason), ==,
			FG_ERA_REFUSED);
	g_assert_null(reason);
	g_assert_cmpint(observe(&e, 0, 2), ==, FG_ERA_CURRENT);
	g_assert_cmpint(fg_era_observe(&e, 0, MAX_ERA + 1, MAX_ERA, &reason),
			==, FG_ERA_REFUSED);
	g_assert_nonnull(reason);
	g_assert_cmpuint(e.known, ==, 2);
}

/* An instance whose store states no era tells the others 0. */
static void test_other_instances(void)
{
	struct fg_era e = { 0 };

	g_assert_false(fg_era_advance(&e, 0, MAX_ERA));
	g_assert_cmpint(observe(&e, ENOENT, 0), ==, FG_ERA_CURRENT);
	g_assert_cmpint(observe(&e, 0, 2), ==, FG_ERA_CURRENT);
	g_assert_false(fg_era_advance(&e, 2, MAX_ERA));
	g_assert_false(fg_era_advance(&e, 1, MAX_ERA));
	g_assert_true(fg_era_advance(&e, 3, MAX_ERA));
	g_assert_cmpint(observe(&e, 0, 2), ==, FG_ERA_REFUSED);
	g_assert_cmpint(observe(&e, 0, 3), ==, FG_ERA_CURRENT);
	g_assert_false(fg_era_advance(&e, MAX_ERA + 1, MAX_ERA));
}

/* Versions of a later era are newer, whatever their numbers are, and stay exact
 * in a JSON reader that keeps numbers as doubles. */
static void test_versions(void)
{
	uint64_t v = fg_store_version(2, 1000);

	g_assert_cmpuint(fg_store_era(v), ==, 2);
	g_assert_cmpuint(fg_store_number(v), ==, 1000);
	g_assert_cmpuint(fg_store_version(3, 5), >, v);
	g_assert_cmpuint(fg_store_version(0, 77), ==, 77);
	g_assert_cmpuint(
		fg_store_version(FG_STORE_ERA_MAX,
				 (UINT64_C(1) << FG_STORE_NUMBER_BITS) - 1),
		<, UINT64_C(1) << 53);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/era/advance", test_advance);
	g_test_add_func("/era/bad_values", test_bad_values);
	g_test_add_func("/era/other_instances", test_other_instances);
	g_test_add_func("/era/versions", test_versions);
	return g_test_run();
}
