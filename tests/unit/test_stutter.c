/* Unit tests of the note on services whose endpoints send answers twice. */
#include <glib.h>

#include "fleet/fg_stutter.h"

static void test_note(void)
{
	struct fg_stutter s = { 0 };

	g_assert_true(fg_stutter_allows_reuse(NULL, 1, false));
	g_assert_true(fg_stutter_allows_reuse(&s, 1, false));
	g_assert_true(fg_stutter_note(&s, 1000));
	g_assert_false(fg_stutter_allows_reuse(&s, 1000, false));
	g_assert_true(fg_stutter_allows_reuse(&s, 1000, true));
	/* Each sighting extends it; only the first is new. */
	g_assert_false(fg_stutter_note(&s, 31000));
	g_assert_false(fg_stutter_allows_reuse(
		&s, 31000 + FG_STUTTER_NOTED_MS - 1, false));
	g_assert_true(fg_stutter_allows_reuse(&s, 31000 + FG_STUTTER_NOTED_MS,
					      false));
	g_assert_true(fg_stutter_note(&s, 31000 + FG_STUTTER_NOTED_MS));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/stutter/note", test_note);
	return g_test_run();
}
