/* Unit tests of the choice of the instance that gives configuration rows. */
#include <glib.h>

#include "base/fg_rand.h"
#include "catchup/fg_catchup.h"

#define SELF 1

/* An instance with a configuration, whose last read was of version 10. */
static const struct fg_catchup_view served = {
	.enabled = true,
	.has_config = true,
	.known = 10,
};

static void report(struct fg_catchup *c, fg_ms now, uint64_t incarnation,
		   uint64_t newest, enum fg_catchup_distance distance)
{
	struct fg_catchup_report r = {
		.incarnation = incarnation,
		.newest = newest,
		.distance = distance,
	};

	fg_catchup_on_report(c, now, served.known, &r);
}

static uint64_t next_asked(struct fg_catchup *c, fg_ms now,
			   const struct fg_catchup_view *view)
{
	return fg_catchup_step(c, now, view).ask;
}

/* Fails if calls are made while no instance reports a newer row: they would
 * cost traffic between regions at all times. */
static void test_nobody_is_ahead(void)
{
	struct fg_catchup *c = fg_catchup_new(SELF);
	struct fg_catchup_view view = served;

	view.reads_fail = true;
	for (fg_ms now = 0; now < 9000; now += 100) {
		report(c, now, 2, 10, FG_CATCHUP_SAME_DC);
		report(c, now, 3, 9, FG_CATCHUP_FAR);
		g_assert_cmpuint(next_asked(c, now, &view), ==, 0);
	}
	g_assert_false(fg_catchup_is_active(c));
	fg_catchup_free(c);
}

/* Fails if an instance that the store turns away waits, or one that it serves
 * does not leave the store the time to bring the row. */
static void test_when_asked(void)
{
	struct fg_catchup *c = fg_catchup_new(SELF);
	struct fg_catchup_view view = served;
	struct fg_catchup_step step;

	report(c, 1000, 2, 11, FG_CATCHUP_SAME_DC);
	g_assert_cmpuint(next_asked(c, 1000, &view), ==, 0);
	report(c, 1300, 2, 11, FG_CATCHUP_SAME_DC);
	g_assert_cmpuint(next_asked(c, 1399, &view), ==, 0);
	step = fg_catchup_step(c, 1400, &view);
	g_assert_cmpuint(step.ask, ==, 2);
	g_assert_cmpint(step.began, ==, FG_CATCHUP_BEHIND);
	fg_catchup_free(c);

	c = fg_catchup_new(SELF);
	view.reads_fail = true;
	report(c, 1000, 2, 11, FG_CATCHUP_SAME_DC);
	step = fg_catchup_step(c, 1000, &view);
	g_assert_cmpuint(step.ask, ==, 2);
	g_assert_cmpint(step.began, ==, FG_CATCHUP_READS_FAIL);
	fg_catchup_free(c);

	/* A start while the store turns this instance away. */
	c = fg_catchup_new(SELF);
	view.has_config = false;
	view.known = 0;
	report(c, 1000, 2, 11, FG_CATCHUP_SAME_DC);
	step = fg_catchup_step(c, 1000, &view);
	g_assert_cmpuint(step.ask, ==, 2);
	g_assert_cmpint(step.began, ==, FG_CATCHUP_NO_CONFIG);
	fg_catchup_free(c);
}

/* Fails if the time behind starts again with each heartbeat or each newer row,
 * so that steady changes would put the first call off forever. */
static void test_behind_since_first_report(void)
{
	struct fg_catchup *c = fg_catchup_new(SELF);

	for (fg_ms now = 1000; now < 1400; now += 100) {
		report(c, now, 2, 11 + (uint64_t)now, FG_CATCHUP_SAME_DC);
		g_assert_cmpuint(next_asked(c, now, &served), ==, 0);
	}
	g_assert_cmpuint(next_asked(c, 1400, &served), ==, 2);
	fg_catchup_free(c);
}

/* Fails if traffic between regions is caused while a nearer instance has the
 * row, or if one that lacks it is asked. */
static void test_nearest_first(void)
{
	struct fg_catchup *c = fg_catchup_new(SELF);
	struct fg_catchup_view view = served;

	view.reads_fail = true;
	report(c, 1000, 2, 12, FG_CATCHUP_FAR);
	report(c, 1000, 3, 11, FG_CATCHUP_SAME_REGION);
	report(c, 1000, 4, 11, FG_CATCHUP_SAME_DC);
	report(c, 1000, 5, 10, FG_CATCHUP_SAME_DC);
	g_assert_cmpuint(next_asked(c, 1000, &view), ==, 4);
	fg_catchup_on_answer(c, 1010, 10, false);
	g_assert_cmpuint(next_asked(c, 1100, &view), ==, 3);
	/* It brings its row; only the far one knows a newer one. */
	view.known = 11;
	fg_catchup_on_answer(c, 1110, 11, true);
	g_assert_cmpuint(next_asked(c, 1200, &view), ==, 2);
	view.known = 12;
	fg_catchup_on_answer(c, 1210, 12, true);
	g_assert_cmpuint(next_asked(c, 1300, &view), ==, 0);
	fg_catchup_free(c);
}

/* Fails if an instance that is silent, cut, or of an older build (410) keeps
 * the others from being asked, or is asked again and again. */
static void test_next_after_failure(void)
{
	struct fg_catchup *c = fg_catchup_new(SELF);
	struct fg_catchup_view view = served;
	struct fg_catchup_step step;
	uint64_t first;
	uint64_t second;
	uint32_t calls = 0;

	view.reads_fail = true;
	report(c, 1000, 2, 11, FG_CATCHUP_SAME_DC);
	report(c, 1000, 3, 11, FG_CATCHUP_SAME_DC);
	first = next_asked(c, 1000, &view);
	g_assert_cmpuint(first, !=, 0);
	/* One call at a time. */
	g_assert_cmpuint(next_asked(c, 1000 + FG_CATCHUP_CALL_MS - 1, &view),
			 ==, 0);
	step = fg_catchup_step(c, 1000 + FG_CATCHUP_CALL_MS, &view);
	second = step.ask;
	g_assert_true(step.gave_up);
	g_assert_cmpuint(first + second, ==, 5);
	/* An answer that brings nothing newer counts as a failure. */
	fg_catchup_on_answer(c, 2010, 10, true);
	for (fg_ms now = 2100; now < 2100 + 3000; now += 100) {
		report(c, now, 2, 11, FG_CATCHUP_SAME_DC);
		report(c, now, 3, 11, FG_CATCHUP_SAME_DC);
		if (next_asked(c, now, &view) != 0) {
			calls++;
			fg_catchup_on_answer(c, now, 10, false);
		}
	}
	g_assert_cmpuint(calls, <=, 4);
	g_assert_cmpuint(calls, >=, 3);
	fg_catchup_free(c);
}

/* Fails if a configuration that takes longer than the first call allows can
 * never arrive over a busy link, or if one silent instance makes later calls
 * slow. */
static void test_slow_answers(void)
{
	struct fg_catchup *c = fg_catchup_new(SELF);
	struct fg_catchup_view view = served;
	fg_ms limits_ms[4] = { 0 };
	fg_ms begun = 0;
	guint n = 0;

	view.reads_fail = true;
	for (fg_ms now = 0; n < G_N_ELEMENTS(limits_ms); now += 100) {
		struct fg_catchup_step step;

		for (uint64_t peer = 2; peer < 10; peer++)
			report(c, now, peer, 11, FG_CATCHUP_SAME_DC);
		step = fg_catchup_step(c, now, &view);
		if (step.gave_up)
			limits_ms[n++] = now - begun;
		if (step.ask != 0)
			begun = now;
	}
	g_assert_cmpint(limits_ms[0], ==, FG_CATCHUP_CALL_MS);
	g_assert_cmpint(limits_ms[1], ==, 2 * FG_CATCHUP_CALL_MS);
	g_assert_cmpint(limits_ms[3], ==, FG_CATCHUP_CALL_MAX_MS);
	view.known = 11;
	fg_catchup_on_answer(c, begun + 3000, 11, true);
	report(c, begun + 3000, 2, 12, FG_CATCHUP_SAME_DC);
	g_assert_cmpuint(next_asked(c, begun + 3000, &view), ==, 2);
	g_assert_true(
		fg_catchup_step(c, begun + 3000 + FG_CATCHUP_CALL_MS, &view)
			.gave_up);
	fg_catchup_free(c);
}

/* Fails if instances that are down are asked. That a newer row exists stays
 * known, so that its keys get no 401. */
static void test_silent_instance(void)
{
	struct fg_catchup *c = fg_catchup_new(SELF);
	struct fg_catchup_view view = served;

	view.reads_fail = true;
	report(c, 1000, 2, 11, FG_CATCHUP_SAME_DC);
	report(c, 1000, 3, 11, FG_CATCHUP_FAR);
	g_assert_cmpuint(next_asked(c, 1000 + FG_CATCHUP_HEARD_MS, &view), ==,
			 3);
	fg_catchup_on_answer(c, 2600, 10, false);
	g_assert_cmpuint(next_asked(c, 1000 + FG_CATCHUP_HEARD_FAR_MS, &view),
			 ==, 0);
	g_assert_true(fg_catchup_is_behind(c, 10));
	g_assert_false(fg_catchup_is_behind(c, 11));
	/* What the store held later is complete. */
	fg_catchup_on_full_read(c);
	g_assert_false(fg_catchup_is_behind(c, 10));
	fg_catchup_free(c);
}

/* Fails if the end is reported while the store still turns this instance away,
 * or if it is reported twice. */
static void test_begin_and_end(void)
{
	struct fg_catchup *c = fg_catchup_new(SELF);
	struct fg_catchup_view view = served;
	struct fg_catchup_step step;

	view.reads_fail = true;
	report(c, 1000, 2, 11, FG_CATCHUP_SAME_DC);
	step = fg_catchup_step(c, 1000, &view);
	g_assert_cmpint(step.began, ==, FG_CATCHUP_READS_FAIL);
	view.known = 11;
	fg_catchup_on_answer(c, 1010, 11, true);
	step = fg_catchup_step(c, 1100, &view);
	g_assert_false(step.ended);
	report(c, 1500, 2, 12, FG_CATCHUP_SAME_DC);
	step = fg_catchup_step(c, 1500, &view);
	g_assert_cmpuint(step.ask, ==, 2);
	g_assert_cmpint(step.began, ==, FG_CATCHUP_NO_REASON);
	view.known = 12;
	fg_catchup_on_answer(c, 1510, 12, true);
	view.reads_fail = false;
	g_assert_true(fg_catchup_step(c, 1600, &view).ended);
	g_assert_false(fg_catchup_step(c, 1700, &view).ended);
	fg_catchup_free(c);
}

/* Fails if deployments without workspaces make calls. */
static void test_disabled(void)
{
	struct fg_catchup *c = fg_catchup_new(SELF);
	struct fg_catchup_view view = served;

	view.enabled = false;
	view.reads_fail = true;
	for (fg_ms now = 1000; now < 4000; now += 100) {
		report(c, now, 2, 11, FG_CATCHUP_SAME_DC);
		g_assert_cmpuint(next_asked(c, now, &view), ==, 0);
	}
	fg_catchup_free(c);
}

/* Fails if instances that are turned away together all ask the same one, whose
 * link would be too narrow for the configuration. */
static void test_calls_are_spread(void)
{
	uint32_t asked[10] = { 0 };
	struct fg_catchup_view view = served;

	view.reads_fail = true;
	for (uint64_t self = 1000; self < 1200; self++) {
		struct fg_catchup *c = fg_catchup_new(self);

		for (uint64_t peer = 1; peer <= 10; peer++)
			report(c, 1000, peer, 11, FG_CATCHUP_SAME_REGION);
		asked[next_asked(c, 1000, &view) - 1]++;
		fg_catchup_free(c);
	}
	for (guint i = 0; i < G_N_ELEMENTS(asked); i++)
		g_assert_cmpuint(asked[i], <=, 40);
}

/* Seeded: instances that report, fall silent and lose answers at random. Fails
 * if a call is made while another is in progress, to an instance that is silent
 * or has nothing newer, or if a row that a live instance with good answers
 * reports does not arrive within 5 s. */
static void run_seed(uint64_t seed)
{
	struct fg_catchup *c = fg_catchup_new(SELF);
	struct fg_catchup_view view = served;
	struct fg_rand rand;
	uint64_t newest[6] = { 0 };
	fg_ms heard_at[6] = { 0 };
	bool fails[6];
	fg_ms call_ends_at = 0;
	fg_ms lacking_since = 0;
	uint64_t called = 0;

	fg_rand_seed(&rand, seed);
	for (guint i = 0; i < 6; i++)
		fails[i] = i > 0 && fg_rand_below(&rand, 2) == 0;
	for (fg_ms now = 1000; now < 60000; now += 100) {
		struct fg_catchup_step step;

		if (fg_rand_below(&rand, 30) == 0)
			newest[0] = view.known + fg_rand_below(&rand, 4);
		if (fg_rand_below(&rand, 20) == 0)
			view.reads_fail = !view.reads_fail;
		for (uint64_t i = 0; i < 6; i++) {
			if (i > 0 && fg_rand_below(&rand, 10) != 0)
				continue;
			newest[i] = MAX(newest[i], newest[0]);
			heard_at[i] = now;
			fg_catchup_on_report(
				c, now, view.known,
				&(struct fg_catchup_report){
					.incarnation = i + 1,
					.newest = newest[i],
					.distance = (enum fg_catchup_distance)(
						i % 3) });
		}
		if (called != 0 && now >= call_ends_at) {
			bool ok = !fails[called - 1];

			if (ok)
				view.known =
					MAX(view.known, newest[called - 1]);
			fg_catchup_on_answer(c, now, view.known, ok);
			called = 0;
		}
		step = fg_catchup_step(c, now, &view);
		if (step.gave_up)
			called = 0;
		if (step.ask != 0) {
			g_assert_cmpuint(called, ==, 0);
			g_assert_cmpuint(newest[step.ask - 1], >, view.known);
			g_assert_cmpint(now - heard_at[step.ask - 1], <,
					FG_CATCHUP_HEARD_FAR_MS);
			called = step.ask;
			call_ends_at =
				now +
				(fg_ms)fg_rand_below(
					&rand, fails[called - 1] ? 3000 : 500);
		}
		if (newest[0] <= view.known)
			lacking_since = now;
		g_assert_cmpint(now - lacking_since, <, 5000);
	}
	fg_catchup_free(c);
}

static void test_seeds(void)
{
	for (uint64_t seed = 1; seed <= 500; seed++)
		run_seed(seed);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/catchup/nobody_is_ahead", test_nobody_is_ahead);
	g_test_add_func("/catchup/when_asked", test_when_asked);
	g_test_add_func("/catchup/behind_since_first_report",
			test_behind_since_first_report);
	g_test_add_func("/catchup/nearest_first", test_nearest_first);
	g_test_add_func("/catchup/next_after_failure", test_next_after_failure);
	g_test_add_func("/catchup/slow_answers", test_slow_answers);
	g_test_add_func("/catchup/silent_instance", test_silent_instance);
	g_test_add_func("/catchup/begin_and_end", test_begin_and_end);
	g_test_add_func("/catchup/disabled", test_disabled);
	g_test_add_func("/catchup/calls_are_spread", test_calls_are_spread);
	g_test_add_func("/catchup/seeds", test_seeds);
	return g_test_run();
}
