/* How long a connection is kept after its last answer. */
#include <glib.h>

#include "drain/fg_drain.h"

#define BEGIN_MS 1000
#define STEP_MS 250
#define NEVER_MS 120000

/* Returns when the connection is closed, of a peer that takes `per_step` of
 * `bytes` each STEP_MS, from `pause_ms` on. */
static fg_ms play(uint64_t bytes, uint64_t per_step, fg_ms pause_ms,
		  enum fg_drain_state *state)
{
	struct fg_drain d;

	fg_drain_begin(&d, BEGIN_MS, bytes);
	for (fg_ms t = STEP_MS; t < NEVER_MS; t += STEP_MS) {
		if (t > pause_ms)
			bytes -= MIN(bytes, per_step);
		*state = fg_drain_check(&d, BEGIN_MS + t, bytes);
		if (*state != FG_DRAIN_WAITING)
			return t;
	}
	return NEVER_MS;
}

static void delivered_is_kept_for_a_while(void)
{
	enum fg_drain_state state;

	g_assert_cmpint(play(0, 0, 0, &state), ==, FG_DRAIN_KEEP_MS);
	g_assert_cmpint(state, ==, FG_DRAIN_DONE);
	g_assert_cmpint(play(1000, 100, 0, &state), ==,
			10 * STEP_MS + FG_DRAIN_KEEP_MS);
	g_assert_cmpint(state, ==, FG_DRAIN_DONE);
}

/* A pause of 4 s is no stall. */
static void slow_reader_gets_all(void)
{
	enum fg_drain_state state;

	g_assert_cmpint(play(1000, 100, 4000, &state), ==,
			4000 + 10 * STEP_MS + FG_DRAIN_KEEP_MS);
	g_assert_cmpint(state, ==, FG_DRAIN_DONE);
	g_assert_cmpint(play(1000, 5, 0, &state), ==,
			200 * STEP_MS + FG_DRAIN_KEEP_MS);
	g_assert_cmpint(state, ==, FG_DRAIN_DONE);
}

static void stalled_and_endless_readers_end(void)
{
	enum fg_drain_state state;

	g_assert_cmpint(play(1000, 0, 0, &state), ==, 5000);
	g_assert_cmpint(state, ==, FG_DRAIN_STALLED);
	g_assert_cmpint(play(1000, 1, 0, &state), ==, 60000);
	g_assert_cmpint(state, ==, FG_DRAIN_TOO_SLOW);
}

static void flood_ends(void)
{
	struct fg_drain d;

	fg_drain_begin(&d, BEGIN_MS, 0);
	for (int i = 0; i < 16; i++)
		g_assert_cmpint(fg_drain_drop(&d, 1024 * 1024), ==,
				FG_DRAIN_WAITING);
	g_assert_cmpint(fg_drain_drop(&d, 1), ==, FG_DRAIN_FLOODED);
	g_assert_cmpstr(fg_drain_state_name(FG_DRAIN_FLOODED), ==,
			"peer_sends_on");
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/drain/delivered_is_kept_for_a_while",
			delivered_is_kept_for_a_while);
	g_test_add_func("/drain/slow_reader_gets_all", slow_reader_gets_all);
	g_test_add_func("/drain/stalled_and_endless_readers_end",
			stalled_and_endless_readers_end);
	g_test_add_func("/drain/flood_ends", flood_ends);
	return g_test_run();
}
