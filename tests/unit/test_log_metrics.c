/* Unit tests of lib/log and lib/metrics. */
#include <fcntl.h>
#include <glib.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/fg_clock.h"
#include "base/fg_rand.h"
#include "log/fg_log.h"
#include "metrics/fg_metrics.h"

/* ---- Log ---- */

static void assert_formatted(const char *value, const char *want)
{
	g_autofree char *line =
		fg_log_format(FG_LOG_WARN, "owner", "gained", "ep", value,
			      "none", NULL, "last", "x", NULL);
	g_autofree char *full = g_strdup_printf(
		"level=warn module=owner event=gained ep=%s last=x", want);

	g_assert_cmpstr(line, ==, full);
}

static void test_fields(void)
{
	g_autofree char *large = g_strnfill(3000, 'l');
	g_autofree char *cut = g_strdup_printf("\"%.1024s...\"", large);

	assert_formatted("engine-1", "engine-1");
	assert_formatted("127.0.0.1:80", "127.0.0.1:80");
	assert_formatted("", "\"\"");
	assert_formatted("a b", "\"a b\"");
	assert_formatted("a=b", "\"a=b\"");
	assert_formatted("a\"b\\c", "\"a\\\"b\\\\c\"");
	assert_formatted("a\nlevel=error", "\"a\\nlevel=error\"");
	assert_formatted("a\x01\x7f", "\"a\\x01\\x7f\"");
	assert_formatted("men\xc3\xba", "\"men\xc3\xba\"");
	assert_formatted("bad\xff", "\"bad\\xff\"");
	assert_formatted(large, cut);
}

static void test_levels(void)
{
	enum fg_log_level level;

	for (int i = FG_LOG_ERROR; i <= FG_LOG_DEBUG; i++) {
		g_assert_true(fg_log_level_parse(
			fg_log_level_name((enum fg_log_level)i), &level));
		g_assert_cmpint(level, ==, i);
	}
	g_assert_false(fg_log_level_parse("loud", &level));
}

static void *log_lines(void *arg)
{
	for (int i = 0; i < 200; i++)
		fg_log(FG_LOG_INFO, "test", "line", "from", arg, NULL);
	return NULL;
}

/* The lines are written in a child process; the parent checks its standard
 * error. */
static void test_written_lines(void)
{
	g_autofree char *large = g_strnfill(1000, 'z');
	pthread_t threads[4];

	if (g_test_subprocess()) {
		fg_log(FG_LOG_ERROR, "test", "before_open", NULL);
		fg_log_open("mvd-1", FG_LOG_INFO);
		fg_log(FG_LOG_DEBUG, "test", "not_written", NULL);
		fg_log(FG_LOG_INFO, "test", "first", "a", large, NULL);
		for (int i = 0; i < 4; i++)
			pthread_create(&threads[i], NULL, log_lines, "t");
		for (int i = 0; i < 4; i++)
			pthread_join(threads[i], NULL);
		fg_log_open("mvd-1", FG_LOG_DEBUG);
		fg_log(FG_LOG_DEBUG, "test", "last", NULL);
		fg_log_close();
		fg_log(FG_LOG_ERROR, "test", "after_close", NULL);
		return;
	}
	g_test_trap_subprocess(NULL, 0, G_TEST_SUBPROCESS_DEFAULT);
	g_test_trap_assert_passed();
	g_test_trap_assert_stderr("time=20*-*-*T*:*:*.*Z level=info "
				  "module=test event=first who=mvd-1 a=zzz*");
	g_test_trap_assert_stderr("*zzz\ntime=*event=line who=mvd-1 from=t\n"
				  "time=*event=last who=mvd-1\n");
	g_test_trap_assert_stderr_unmatched("*before_open*");
	g_test_trap_assert_stderr_unmatched("*not_written*");
	g_test_trap_assert_stderr_unmatched("*after_close*");
	g_test_trap_assert_stderr_unmatched("*from=ttime*");
}

/* ---- Rate limits ---- */

#define LINES_PER_S 10
#define ROUTINE_PER_S 5
#define N_LINES 2000

static uint32_t count_matches(const char *text, const char *word)
{
	uint32_t n = 0;

	while ((text = strstr(text, word)) != NULL) {
		text += strlen(word);
		n++;
	}
	return n;
}

/* With limits, into a pipe; early in a second, so that all lines fall into the
 * same one. */
static void open_limited(int out)
{
	struct fg_log_rate_limits limits = { LINES_PER_S, ROUTINE_PER_S };

	dup2(out, STDOUT_FILENO);
	fg_log_open("me", FG_LOG_INFO);
	fg_log_limit_rate(&limits);
	while (fg_clock_now() % FG_MS_PER_S > 100)
		g_usleep(10000);
}

static void log_many(void)
{
	for (int i = 0; i < N_LINES; i++)
		fg_log_routine("test", "usual", NULL);
	for (int i = 0; i < N_LINES; i++)
		fg_log(FG_LOG_WARN, "test", "odd", NULL);
}

/* Runs in the child process. Its standard output is a pipe that is read only
 * after all lines are written: a blocking write to the full pipe would hang
 * the test. */
static void log_over_limits(int out)
{
	open_limited(out);
	log_many();
	while (fg_clock_now() % FG_MS_PER_S < 900)
		g_usleep(10000);
	g_usleep(300000);
	fg_log(FG_LOG_WARN, "test", "later", NULL);
	fg_log_close();
}

static void test_rate_limits(void)
{
	char text[65536] = "";
	int fds[2];

	if (g_test_subprocess()) {
		g_assert_cmpint(pipe(fds), ==, 0);
		log_over_limits(fds[1]);
		g_assert_cmpint(read(fds[0], text, sizeof(text) - 1), >, 0);
		g_assert_cmpuint(count_matches(text, "event=usual"), ==,
				 ROUTINE_PER_S);
		g_assert_cmpuint(count_matches(text, "event=odd"), ==,
				 LINES_PER_S);
		g_assert_cmpuint(count_matches(text, "event=later"), ==, 1);
		g_assert_nonnull(strstr(text, "event=dropped who=me "
					      "test.usual=1995 test.odd=1990"));
		return;
	}
	g_test_trap_subprocess(NULL, 0, G_TEST_SUBPROCESS_DEFAULT);
	g_test_trap_assert_passed();
}

static void test_burst(void)
{
	char text[65536] = "";
	int fds[2];

	if (g_test_subprocess()) {
		g_assert_cmpint(pipe(fds), ==, 0);
		open_limited(fds[1]);
		fg_log_allow_burst(2 * LINES_PER_S);
		log_many();
		fg_log_close();
		g_assert_cmpint(read(fds[0], text, sizeof(text) - 1), >, 0);
		g_assert_cmpuint(count_matches(text, "event=usual"), ==,
				 ROUTINE_PER_S);
		g_assert_cmpuint(count_matches(text, "event=odd"), ==,
				 3 * LINES_PER_S);
		g_assert_nonnull(strstr(text, "event=dropped who=me "
					      "test.usual=1995 test.odd=1970"));
		return;
	}
	g_test_trap_subprocess(NULL, 0, G_TEST_SUBPROCESS_DEFAULT);
	g_test_trap_assert_passed();
}

static void test_full_pipe_does_not_block(void)
{
	struct fg_log_rate_limits limits = { 1000000, 1000000 };
	int fds[2];

	if (g_test_subprocess()) {
		g_assert_cmpint(pipe(fds), ==, 0);
		dup2(fds[1], STDOUT_FILENO);
		fg_log_open("me", FG_LOG_INFO);
		fg_log_limit_rate(&limits);
		for (int i = 0; i < 20 * N_LINES; i++)
			fg_log(FG_LOG_WARN, "test", "odd", NULL);
		fg_log_close();
		return;
	}
	g_test_trap_subprocess(NULL, 20 * G_USEC_PER_SEC,
			       G_TEST_SUBPROCESS_DEFAULT);
	g_test_trap_assert_passed();
}

/* ---- Metrics ---- */

static void test_render(void)
{
	struct fg_metrics *m = fg_metrics_new();
	struct fg_counter *a = fg_metrics_counter(
		m, "fg_requests_total", "class=\"draft\"", "Requests.");
	struct fg_gauge *g =
		fg_metrics_gauge(m, "fg_in_progress", NULL, "In progress.");
	struct fg_counter *b = fg_metrics_counter(
		m, "fg_requests_total", "class=\"filing\"", "Requests.");
	struct fg_hist *h =
		fg_metrics_hist(m, "fg_wait_ms", NULL, "Waiting time.");
	g_autofree char *text = NULL;

	g_assert_true(fg_metrics_counter(m, "fg_requests_total",
					 "class=\"draft\"", "x") == a);
	fg_counter_add(a, 2);
	fg_counter_add(b, 3);
	fg_gauge_set(g, 5);
	fg_gauge_add(g, -7);
	g_assert_cmpint(fg_gauge_get(g), ==, -2);
	fg_hist_add(h, 0);
	fg_hist_add(h, 3);
	fg_hist_add(h, 20);
	text = fg_metrics_render(m);
	g_assert_cmpstr(text, ==,
			"# HELP fg_requests_total Requests.\n"
			"# TYPE fg_requests_total counter\n"
			"fg_requests_total{class=\"draft\"} 2\n"
			"fg_requests_total{class=\"filing\"} 3\n"
			"# HELP fg_in_progress In progress.\n"
			"# TYPE fg_in_progress gauge\n"
			"fg_in_progress -2\n"
			"# HELP fg_wait_ms Waiting time.\n"
			"# TYPE fg_wait_ms histogram\n"
			"fg_wait_ms_bucket{le=\"0\"} 1\n"
			"fg_wait_ms_bucket{le=\"1\"} 1\n"
			"fg_wait_ms_bucket{le=\"3\"} 2\n"
			"fg_wait_ms_bucket{le=\"7\"} 2\n"
			"fg_wait_ms_bucket{le=\"15\"} 2\n"
			"fg_wait_ms_bucket{le=\"+Inf\"} 3\n"
			"fg_wait_ms_sum 23\n"
			"fg_wait_ms_count 3\n");
	fg_metrics_free(m);
}

static int compare_values(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}

static void test_quantiles(void)
{
	static uint64_t values[20000];
	const double shares[] = { 0.01, 0.25, 0.5, 0.95, 0.99, 1.0 };
	struct fg_rand r;

	fg_rand_seed(&r, 3);
	for (int run = 0; run < 20; run++) {
		struct fg_metrics *m = fg_metrics_new();
		struct fg_hist *h = fg_metrics_hist(m, "h", NULL, "");

		for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
			values[i] = fg_rand_next(&r) >>
				    (25 + fg_rand_below(&r, 38));
			fg_hist_add(h, values[i]);
		}
		qsort(values, G_N_ELEMENTS(values), sizeof(values[0]),
		      compare_values);
		for (size_t k = 0; k < G_N_ELEMENTS(shares); k++) {
			size_t rank =
				(size_t)(shares[k] * G_N_ELEMENTS(values));
			double want = (double)values[rank - 1];
			double got = (double)fg_hist_quantile(h, shares[k]);

			g_assert_cmpfloat(ABS(got - want), <=, want / 32 + 1);
		}
		fg_metrics_free(m);
	}
}

static void test_hist_range(void)
{
	struct fg_metrics *m = fg_metrics_new();
	struct fg_hist *h = fg_metrics_hist(m, "h", NULL, "");
	g_autofree char *text = NULL;

	g_assert_cmpuint(fg_hist_quantile(h, 0.5), ==, 0);
	fg_hist_add(h, UINT64_MAX);
	fg_hist_add(h, FG_HIST_MAX);
	g_assert_cmpuint(fg_hist_count(h), ==, 2);
	g_assert_cmpuint(fg_hist_sum(h), ==, 2 * FG_HIST_MAX);
	text = fg_metrics_render(m);
	g_assert_nonnull(strstr(text, "h_bucket{le=\"1099511627775\"} 2\n"));
	fg_metrics_free(m);
}

struct shared_metrics {
	struct fg_counter *c;
	struct fg_hist *h;
};

static void *update_metrics(void *arg)
{
	struct shared_metrics *s = arg;

	for (uint64_t i = 0; i < 50000; i++) {
		fg_counter_add(s->c, 1);
		fg_hist_add(s->h, i);
	}
	return NULL;
}

static void test_concurrent_updates(void)
{
	struct fg_metrics *m = fg_metrics_new();
	struct shared_metrics s = { fg_metrics_counter(m, "c", NULL, ""),
				    fg_metrics_hist(m, "h", NULL, "") };
	pthread_t threads[4];

	for (int i = 0; i < 4; i++)
		pthread_create(&threads[i], NULL, update_metrics, &s);
	for (int i = 0; i < 100; i++)
		g_free(fg_metrics_render(m));
	for (int i = 0; i < 4; i++)
		pthread_join(threads[i], NULL);
	g_assert_cmpuint(fg_counter_get(s.c), ==, 200000);
	g_assert_cmpuint(fg_hist_count(s.h), ==, 200000);
	fg_metrics_free(m);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/log/fields", test_fields);
	g_test_add_func("/log/levels", test_levels);
	g_test_add_func("/log/written", test_written_lines);
	g_test_add_func("/log/bounded", test_rate_limits);
	g_test_add_func("/log/burst", test_burst);
	g_test_add_func("/log/full_pipe", test_full_pipe_does_not_block);
	g_test_add_func("/metrics/render", test_render);
	g_test_add_func("/metrics/quantiles", test_quantiles);
	g_test_add_func("/metrics/bounds", test_hist_range);
	g_test_add_func("/metrics/threads", test_concurrent_updates);
	return g_test_run();
}
