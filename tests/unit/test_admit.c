/* Unit tests of lib/admit: limits, estimates, retry budgets, suspects. */
#include <glib.h>

#include "admit/fg_admit.h"
#include "base/fg_rand.h"

#define SEED 20240602
#define SHUFFLES 2000

/* ---- Limits ---- */

static void test_limits_rate(void)
{
	struct fg_limits *l = fg_limits_new(4);
	uint32_t retry_ms;
	int taken = 0;

	for (fg_ms now = 0; now < 10000; now += 10)
		taken += fg_limits_take(l, now, "a", 5, &retry_ms);
	g_assert_cmpint(taken, >=, 10 + 5 * 10 - 1);
	g_assert_cmpint(taken, <=, 10 + 5 * 10);
	g_assert_false(fg_limits_take(l, 9999, "a", 5, &retry_ms));
	g_assert_cmpuint(retry_ms, >, 0);
	g_assert_cmpuint(retry_ms, <=, 200);
	g_assert_true(fg_limits_take(l, 9999 + retry_ms, "a", 5, &retry_ms));
	g_assert_true(fg_limits_take(l, 9999, "b", 5, &retry_ms));
	g_assert_true(fg_limits_take(l, 9999, "a", 0, &retry_ms));
	/* An idle bucket holds one burst, not more. */
	g_assert_true(fg_limits_take(l, 90000, "b", 5, &retry_ms));
	for (taken = 1; fg_limits_take(l, 90000, "b", 5, &retry_ms); taken++)
		;
	g_assert_cmpint(taken, ==, 10);
	fg_limits_free(l);
}

static void test_limits_evict_idle(void)
{
	struct fg_limits *l = fg_limits_new(2);
	uint32_t retry_ms;

	while (fg_limits_take(l, 0, "busy", 1, &retry_ms))
		;
	g_assert_true(fg_limits_take(l, 1, "b", 1, &retry_ms));
	g_assert_false(fg_limits_take(l, 2, "busy", 1, &retry_ms));
	g_assert_true(fg_limits_take(l, 3, "c", 1, &retry_ms));
	/* "b" was idle for longest and was evicted, not "busy". */
	g_assert_false(fg_limits_take(l, 4, "busy", 1, &retry_ms));
	fg_limits_free(l);
}

/* ---- Estimates ---- */

static void test_estimate_percentiles(void)
{
	struct fg_estimate *e = fg_estimate_new();
	uint32_t retry_ms;

	g_assert_true(fg_estimate_fits(e, FG_CLASS_DRAFT, 1, 0, &retry_ms));
	for (int i = 1; i <= 100; i++)
		fg_estimate_add(e, 1000, FG_CLASS_DRAFT, i * 10);
	g_assert_cmpuint(fg_estimate_percentile_ms(e, FG_CLASS_DRAFT, 50), >=,
			 500);
	g_assert_cmpuint(fg_estimate_percentile_ms(e, FG_CLASS_DRAFT, 50), <=,
			 650);
	g_assert_cmpuint(fg_estimate_percentile_ms(e, FG_CLASS_DRAFT, 99), >=,
			 980);
	g_assert_cmpuint(fg_estimate_percentile_ms(e, FG_CLASS_FILING, 50), ==,
			 0);
	g_assert_true(fg_estimate_fits(e, FG_CLASS_DRAFT, 700, 0, &retry_ms));
	g_assert_false(
		fg_estimate_fits(e, FG_CLASS_DRAFT, 700, 5000, &retry_ms));
	g_assert_cmpuint(retry_ms, ==, 5000);
	fg_estimate_free(e);
}

/* Refused requests give no samples, so an estimate that is too high must
 * expire by itself. */
static void test_estimate_expires(void)
{
	struct fg_estimate *e = fg_estimate_new();
	uint32_t retry_ms;
	fg_ms now = 0;

	for (; now < 60000; now += 100)
		fg_estimate_add(e, now, FG_CLASS_DRAFT, 20000);
	g_assert_false(fg_estimate_fits(e, FG_CLASS_DRAFT, 2000, 0, &retry_ms));
	fg_estimate_tick(e, now + 15000);
	g_assert_true(fg_estimate_fits(e, FG_CLASS_DRAFT, 2000, 0, &retry_ms));
	/* New samples outweigh the old ones within a few half-lives. */
	for (now += 15000; now < 115000; now += 100)
		fg_estimate_add(e, now, FG_CLASS_DRAFT, 100);
	g_assert_cmpuint(fg_estimate_percentile_ms(e, FG_CLASS_DRAFT, 50), <,
			 200);
	fg_estimate_free(e);
}

/* ---- Retries ---- */

static const struct fg_retry_conf retry_conf = {
	.percent = 10,
	.min_per_10s = 3,
	.attempts_max = 4,
	.backoff_ms = 50,
};

static void test_retry_budget(void)
{
	struct fg_retry *r = fg_retry_new(&retry_conf, SEED);
	enum fg_class cls = FG_CLASS_INTERACTIVE;
	uint32_t backoff_ms;
	int retries = 0;

	for (int i = 0; i < 1000; i++) {
		fg_retry_count_first(r, i * 5, cls);
		retries += fg_retry_take(r, i * 5, cls, 1, 9999, true,
					 &backoff_ms);
	}
	g_assert_cmpint(retries, ==, 100 + 3);
	g_assert_true(fg_retry_take(r, 5000, FG_CLASS_DRAFT, 1, 9999, true,
				    &backoff_ms));
	g_assert_cmpuint(fg_retry_budget_left(r, 5000, cls), ==, 0);
	g_assert_cmpuint(fg_retry_budget_left(r, 5000, FG_CLASS_DRAFT), ==, 2);
	/* 20 s later all attempts have left the window. */
	g_assert_cmpuint(fg_retry_budget_left(r, 25000, cls), ==, 3);
	retries = 0;
	while (fg_retry_take(r, 25000, cls, 1, 9999, true, &backoff_ms))
		retries++;
	g_assert_cmpint(retries, ==, 3);
	fg_retry_free(r);
}

static void test_retry_refusals(void)
{
	struct fg_retry *r = fg_retry_new(&retry_conf, SEED);
	enum fg_class draft = FG_CLASS_DRAFT;
	uint32_t wait_ms;

	g_assert_false(
		fg_retry_take(r, 0, FG_CLASS_FILING, 1, 9999, true, &wait_ms));
	g_assert_true(
		fg_retry_take(r, 0, FG_CLASS_FILING, 1, 9999, false, &wait_ms));
	g_assert_false(fg_retry_take(r, 0, draft, 4, 9999, true, &wait_ms));
	g_assert_false(fg_retry_take(r, 0, draft, 3, 99, true, &wait_ms));
	g_assert_true(fg_retry_take(r, 0, draft, 3, 9999, true, &wait_ms));
	g_assert_cmpuint(wait_ms, >=, 100);
	g_assert_cmpuint(wait_ms, <=, 300);
	fg_retry_free(r);
}

/* ---- Suspects ---- */

static const struct fg_suspects_conf suspects_conf = {
	.retention_ms = 600000,
	.refuse_crashes = 2,
	.faulty_ep_window_ms = 120000,
	.faulty_ep_deaths = 3,
	.entries_max = 64,
};

static bool report_event(struct fg_suspects *s, fg_ms now,
			 enum fg_suspect_event type, uint64_t fingerprint,
			 uint64_t ep, uint64_t req)
{
	fg_suspect ev = {
		.fingerprint = fingerprint, .ep = ep, .event = type, .req = req
	};

	return fg_suspects_handle_event(s, now, req % 3 + 1, &ev);
}

static bool report_crash(struct fg_suspects *s, fg_ms now, uint64_t fingerprint,
			 uint64_t ep, uint64_t req)
{
	return report_event(s, now, FG_SUSPECT_CRASH, fingerprint, ep, req);
}

static enum fg_suspect_verdict check_verdict(struct fg_suspects *s, fg_ms now,
					     uint64_t fingerprint)
{
	uint32_t retry_ms;

	return fg_suspects_check(s, now, fingerprint, &retry_ms);
}

static void test_suspect_refused_after_two_crashes(void)
{
	struct fg_suspects *s = fg_suspects_new(&suspects_conf);
	struct fg_suspect_view view[4];

	g_assert_cmpint(check_verdict(s, 0, 7), ==, FG_SUSPECT_ALLOW);
	g_assert_true(report_crash(s, 10, 7, 1, 100));
	g_assert_false(report_crash(s, 5000, 7, 1, 100)); /* repeated event */
	g_assert_cmpint(check_verdict(s, 20, 7), ==, FG_SUSPECT_RUN_ALONE);
	g_assert_true(report_event(s, 30, FG_SUSPECT_STARTED, 7, 2, 101));
	g_assert_cmpint(check_verdict(s, 40, 7), ==, FG_SUSPECT_WAIT);
	g_assert_true(fg_suspects_is_running_on(s, 40, 2));
	g_assert_false(fg_suspects_is_running_on(s, 40, 1));
	g_assert_true(report_crash(s, 9000, 7, 2, 101));
	g_assert_cmpint(check_verdict(s, 9001, 7), ==, FG_SUSPECT_REFUSE);
	g_assert_cmpuint(fg_suspects_list(s, 9001, view, 4), ==, 1);
	g_assert_true(view[0].refused);
	g_assert_cmpuint(view[0].crashes, ==, 2);
	g_assert_cmpint(check_verdict(s, 609000, 7), ==, FG_SUSPECT_ALLOW);
	fg_suspects_free(s);
}

static void test_suspect_cleared_by_clean_run(void)
{
	struct fg_suspects *s = fg_suspects_new(&suspects_conf);

	report_crash(s, 10, 7, 1, 100);
	report_event(s, 20, FG_SUSPECT_STARTED, 7, 2, 101);
	report_event(s, 900, FG_SUSPECT_FINISHED, 7, 2, 101);
	g_assert_cmpint(check_verdict(s, 1000, 7), ==, FG_SUSPECT_ALLOW);
	fg_suspects_free(s);
}

static void test_suspect_crash_ends_run(void)
{
	struct fg_suspects *s = fg_suspects_new(&suspects_conf);

	report_crash(s, 10, 7, 1, 100);
	report_event(s, 20, FG_SUSPECT_STARTED, 7, 1, 101);
	report_crash(s, 9000, 7, 1, 101);
	g_assert_cmpint(check_verdict(s, 9010, 7), ==, FG_SUSPECT_RUN_ALONE);
	fg_suspects_free(s);
}

/* The instance that started a suspect died, so the result is unknown. */
static void test_suspect_instance_dies(void)
{
	struct fg_suspects *s = fg_suspects_new(&suspects_conf);

	report_crash(s, 10, 7, 1, 100);
	report_event(s, 20, FG_SUSPECT_STARTED, 7, 2, 101);
	fg_suspects_handle_dead_instance(s, 101 % 3 + 1);
	g_assert_cmpint(check_verdict(s, 30, 7), ==, FG_SUSPECT_RUN_ALONE);
	fg_suspects_free(s);
}

/* A request crashes two endpoints that run full batches of other requests. */
static void test_suspect_found_in_batches(void)
{
	struct fg_suspects *s = fg_suspects_new(&suspects_conf);

	for (uint64_t i = 0; i < 8; i++) {
		report_crash(s, 10 + i, 20 + i, 1, 100 + i);
		report_crash(s, 60010 + i, 40 + i, 2, 200 + i);
	}
	report_crash(s, 12, 7, 1, 300);
	report_crash(s, 60012, 7, 2, 301);
	g_assert_cmpint(check_verdict(s, 60020, 7), ==, FG_SUSPECT_REFUSE);
	g_assert_cmpint(check_verdict(s, 60020, 20), ==, FG_SUSPECT_RUN_ALONE);
	fg_suspects_free(s);
}

/* A request crashed two endpoints. Both endpoints then crash repeatedly under
 * different requests, which shows that they are faulty and clears the request.
 */
static void test_suspect_faulty_endpoint(void)
{
	struct fg_suspects *s = fg_suspects_new(&suspects_conf);

	report_crash(s, 10, 7, 1, 100);
	report_crash(s, 20000, 7, 2, 101);
	g_assert_cmpint(check_verdict(s, 20001, 7), ==, FG_SUSPECT_REFUSE);
	for (uint64_t i = 0; i < 3; i++)
		report_crash(s, 30000 + 10000 * i, 20 + i, 1, 200 + i);
	g_assert_cmpint(check_verdict(s, 60000, 7), ==, FG_SUSPECT_RUN_ALONE);
	for (uint64_t i = 0; i < 3; i++) {
		g_assert_cmpint(check_verdict(s, 60000, 20 + i), ==,
				FG_SUSPECT_ALLOW);
		report_crash(s, 61000 + 10000 * i, 30 + i, 2, 300 + i);
	}
	g_assert_cmpint(check_verdict(s, 90000, 7), ==, FG_SUSPECT_ALLOW);
	/* The same crashes do not make the request suspect later. */
	g_assert_cmpint(check_verdict(s, 500000, 7), ==, FG_SUSPECT_ALLOW);
	fg_suspects_free(s);
}

static void test_suspect_single_endpoint(void)
{
	struct fg_suspects *s = fg_suspects_new(&suspects_conf);

	for (uint64_t i = 0; i < 4; i++) {
		g_assert_cmpint(check_verdict(s, 1 + i * 10000, 7), !=,
				FG_SUSPECT_REFUSE);
		report_crash(s, 10 + i * 10000, 7, 1, 100 + i);
	}
	g_assert_cmpint(check_verdict(s, 50000, 7), ==, FG_SUSPECT_REFUSE);
	fg_suspects_free(s);
}

/* Attempts of one request run one after another, so each crash is a separate
 * death, however soon it follows the previous one. */
static void test_suspect_quick_restarts(void)
{
	struct fg_suspects *s = fg_suspects_new(&suspects_conf);
	uint64_t req = 5 << 8;

	for (uint64_t attempt = 1; attempt <= 3; attempt++)
		report_crash(s, 400 * (fg_ms)attempt, 7, 1, req | attempt);
	g_assert_cmpint(check_verdict(s, 1300, 7), ==, FG_SUSPECT_RUN_ALONE);
	report_crash(s, 1600, 7, 1, req | 4);
	g_assert_cmpint(check_verdict(s, 1700, 7), ==, FG_SUSPECT_REFUSE);
	fg_suspects_free(s);
}

/* An attempt that the endpoint never ran does not clear a suspect. */
static void test_suspect_attempt_not_run(void)
{
	struct fg_suspects *s = fg_suspects_new(&suspects_conf);

	report_crash(s, 10, 7, 1, 100);
	report_event(s, 20, FG_SUSPECT_STARTED, 7, 2, 301);
	g_assert_cmpint(check_verdict(s, 25, 7), ==, FG_SUSPECT_WAIT);
	report_event(s, 30, FG_SUSPECT_NOT_RUN, 7, 2, 301);
	g_assert_cmpint(check_verdict(s, 40, 7), ==, FG_SUSPECT_RUN_ALONE);
	fg_suspects_free(s);
}

static void test_suspect_cleared_by_operator(void)
{
	struct fg_suspects *s = fg_suspects_new(&suspects_conf);

	g_assert_false(fg_suspects_clear(s, 7));
	report_crash(s, 10, 7, 1, 100);
	report_crash(s, 10000, 7, 2, 101);
	g_assert_true(fg_suspects_clear(s, 7));
	g_assert_false(fg_suspects_clear(s, 7));
	report_crash(s, 11000, 7, 2, 101); /* a late repeat */
	g_assert_cmpint(check_verdict(s, 11001, 7), ==, FG_SUSPECT_ALLOW);
	report_crash(s, 20000, 7, 1, 102);
	g_assert_true(report_event(s, 21000, FG_SUSPECT_CLEARED, 7, 0, 500));
	g_assert_cmpint(check_verdict(s, 21001, 7), ==, FG_SUSPECT_ALLOW);
	report_crash(s, 30000, 7, 1, 103);
	g_assert_false(report_event(s, 31000, FG_SUSPECT_CLEARED, 7, 0, 500));
	g_assert_cmpint(check_verdict(s, 31001, 7), ==, FG_SUSPECT_RUN_ALONE);
	fg_suspects_free(s);
}

static void test_suspect_table_bound(void)
{
	struct fg_suspects *s = fg_suspects_new(&suspects_conf);

	report_crash(s, 1, 7, 1, 1);
	report_crash(s, 5000, 7, 2, 2);
	for (uint64_t i = 0; i < 1000; i++)
		report_crash(s, 6000 + i, 100 + i, 50 + i, 1000 + i);
	g_assert_cmpuint(fg_suspects_list(s, 7000, NULL, 0), ==, 64);
	g_assert_cmpint(check_verdict(s, 7000, 7), ==, FG_SUSPECT_REFUSE);
	fg_suspects_free(s);
}

/* The same events give the same verdicts in any order and with repeats. */
static void test_suspect_event_order(void)
{
	static const fg_suspect events[] = {
		{ 7, { 1, 1 }, 1, FG_SUSPECT_CRASH, 100 },
		{ 7, { 1, 1 }, 2, FG_SUSPECT_STARTED, 101 },
		{ 7, { 1, 1 }, 2, FG_SUSPECT_CRASH, 101 },
		{ 8, { 1, 1 }, 1, FG_SUSPECT_CRASH, 102 },
		{ 8, { 1, 1 }, 3, FG_SUSPECT_STARTED, 103 },
		{ 8, { 1, 1 }, 3, FG_SUSPECT_FINISHED, 103 },
		{ 9, { 1, 1 }, 2, FG_SUSPECT_CRASH, 104 },
		{ 9, { 1, 1 }, 4, FG_SUSPECT_STARTED, 105 },
	};
	struct fg_rand rand;

	fg_rand_seed(&rand, SEED);
	for (int run = 0; run < SHUFFLES; run++) {
		struct fg_suspects *s = fg_suspects_new(&suspects_conf);
		uint32_t seen = 0;

		while (seen != (1u << G_N_ELEMENTS(events)) - 1) {
			uint32_t i = fg_rand_below(&rand, G_N_ELEMENTS(events));

			fg_suspects_handle_event(s, 10, 1, &events[i]);
			seen |= 1u << i;
		}
		g_assert_cmpint(check_verdict(s, 20, 7), ==, FG_SUSPECT_REFUSE);
		g_assert_cmpint(check_verdict(s, 20, 8), ==, FG_SUSPECT_ALLOW);
		g_assert_cmpint(check_verdict(s, 20, 9), ==, FG_SUSPECT_WAIT);
		fg_suspects_free(s);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/admit/limits_rate", test_limits_rate);
	g_test_add_func("/admit/limits_forget", test_limits_evict_idle);
	g_test_add_func("/admit/estimate", test_estimate_percentiles);
	g_test_add_func("/admit/estimate_recovers", test_estimate_expires);
	g_test_add_func("/admit/retry_budget", test_retry_budget);
	g_test_add_func("/admit/retry_refusals", test_retry_refusals);
	g_test_add_func("/admit/suspect_refused",
			test_suspect_refused_after_two_crashes);
	g_test_add_func("/admit/suspect_ran_well",
			test_suspect_cleared_by_clean_run);
	g_test_add_func("/admit/suspect_crash_ends",
			test_suspect_crash_ends_run);
	g_test_add_func("/admit/suspect_holder_dead",
			test_suspect_instance_dies);
	g_test_add_func("/admit/suspect_in_batch",
			test_suspect_found_in_batches);
	g_test_add_func("/admit/suspect_sick", test_suspect_faulty_endpoint);
	g_test_add_func("/admit/suspect_one_ep", test_suspect_single_endpoint);
	g_test_add_func("/admit/suspect_clear",
			test_suspect_cleared_by_operator);
	g_test_add_func("/admit/suspect_quick_restarts",
			test_suspect_quick_restarts);
	g_test_add_func("/admit/suspect_unrun", test_suspect_attempt_not_run);
	g_test_add_func("/admit/suspect_bound", test_suspect_table_bound);
	g_test_add_func("/admit/suspect_orders", test_suspect_event_order);
	return g_test_run();
}
