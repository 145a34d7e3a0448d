/*
 * Compares the placement policy "gauge" with the baselines "strong" and
 * "naive", in virtual time.
 *
 * Usage: bench_place [DEPLOYMENT [ZIPF [SHARE [POLICY]]]]
 * SHARE is the arrival rate as a share of the rate at which the minimum of
 * loads uses the whole load budget.
 */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "place_sim.h"

#define SEED 20260101
#define THREADS 4

static const struct deployment deployments[] = {
	{
		.name = "huerta",
		.eps = 20,
		.loads_per_s = 5,
		.preset = { .name = "ordinary",
			    .stall_weight = 80,
			    .hold_max_ms = 2000 },
		.draft_percent = 20,
		.interactive_deadline_ms = 20000,
		.draft_deadline_min_ms = 60000,
		.draft_deadline_max_ms = 120000,
		.tokens_min = 30,
		.tokens_max = 90,
		.service_p95_ms = 2500,
	},
	{
		.name = "association",
		.eps = 10,
		.loads_per_s = 2,
		.preset = { .name = "ordinary",
			    .stall_weight = 20,
			    .hold_max_ms = 30000 },
		.draft_percent = 70,
		.interactive_deadline_ms = 20000,
		.draft_deadline_min_ms = 60000,
		.draft_deadline_max_ms = 180000,
		.tokens_min = 100,
		.tokens_max = 300,
		.service_p95_ms = 8500,
	},
};

static const double zipfs[] = { 1.0, 1.2 };
static const double shares[] = { 0.5, 0.9, 1.5 };
static const char *const policies[] = { "naive", "strong", "gauge" };

static void print_header(void)
{
	printf("%-11s %4s %4s %-6s %6s %6s %6s %6s %6s %5s %5s %6s %6s %6s "
	       "%5s %5s %5s %5s %6s %5s\n",
	       "deployment", "zipf", "load", "policy", "p50", "p95", "p99",
	       "p95i", "wait%", "loads", "l/ans", "fill", "ans%", "ansi%",
	       "ref%", "miss%", "lost%", "hold", "byte/r", "inuse");
}

/* Returns the percentage of requests that `strong` answered in time and `res`
 * did not; 0 without `strong`. */
static double lost_percent(const struct result *res,
			   const struct result *strong)
{
	uint64_t n = 0;

	if (strong == NULL)
		return 0;
	for (uint64_t i = 0; i < res->n_requests; i++)
		n += strong->in_time[i] && !res->in_time[i];
	return 100.0 * (double)n / (double)res->n_requests;
}

static void append_row(GString *out, const struct deployment *d, double zipf,
		       double share, const char *policy,
		       const struct result *res, const struct result *strong,
		       uint64_t min_loads)
{
	double n = (double)res->n_requests;
	double min = (double)min_loads;

	g_string_append_printf(
		out,
		"%-11s %4.1f %4.1f %-6s %6.2f %6.2f %6.2f %6.2f %6.1f "
		"%5.3f %5.2f %6.2f %6.2f %6.2f %5.1f %5.2f %5.2f %5.1f %6.0f "
		"%5lu\n",
		d->name, zipf, share, policy, res->stall_p50_ms / 1000,
		res->stall_p95_ms / 1000, res->stall_p99_ms / 1000,
		res->interactive_stall_p95_ms / 1000,
		100.0 * (double)res->waited / n, (double)res->loads / min,
		(double)res->loads / (double)res->answered / (min / n),
		res->batch_fill, 100.0 * (double)res->answered / n,
		100.0 * (double)res->interactive_answered /
			(double)res->interactive,
		100.0 * (double)res->refused / n,
		100.0 * (double)res->missed / n, lost_percent(res, strong),
		res->draft_hold_mean_ms / 1000, res->msg_bytes_per_request,
		res->in_use_refusals);
}

/* A point of the parameter grid and its output rows, one per policy. */
struct cell {
	const struct deployment *d;
	double zipf;
	double share;
	double saturation_rate;	 /* requests/s, see trace_saturation_rate() */
	const char *only_policy; /* NULL: all */
	GString *out;
};

static void run_cell(struct cell *c)
{
	struct result res[G_N_ELEMENTS(policies)] = { 0 };
	struct trace t;
	uint64_t min_loads;

	trace_generate(&t, c->d, c->zipf, c->saturation_rate * c->share, SEED);
	min_loads = trace_min_loads(&t, c->d->eps * SLOTS);
	for (size_t i = 0; i < G_N_ELEMENTS(policies); i++) {
		if (c->only_policy != NULL &&
		    strcmp(c->only_policy, policies[i]) != 0)
			continue;
		sim_run(c->d, &t, policies[i], &res[i]);
		/* "lost" compares gauge (2) with strong (1). */
		append_row(c->out, c->d, c->zipf, c->share, policies[i],
			   &res[i],
			   i == 2 && c->only_policy == NULL ? &res[1] : NULL,
			   min_loads);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(policies); i++)
		g_free(res[i].in_time);
	trace_free(&t);
}

static void find_saturation_rate(struct cell *c)
{
	c->saturation_rate = trace_saturation_rate(c->d, c->zipf, SEED);
}

struct work_queue {
	void (*fn)(struct cell *c);
	struct cell *cells;
	size_t n;
	size_t stride;
	size_t next;
	pthread_mutex_t lock; /* guards next */
};

static struct cell *take_cell(struct work_queue *w)
{
	struct cell *c = NULL;

	pthread_mutex_lock(&w->lock);
	if (w->next < w->n)
		c = &w->cells[w->next];
	w->next += w->stride;
	pthread_mutex_unlock(&w->lock);
	return c;
}

static void *run_worker(void *arg)
{
	struct work_queue *w = arg;
	struct cell *c;

	while ((c = take_cell(w)) != NULL)
		w->fn(c);
	return NULL;
}

/* Calls fn for every stride-th cell. The cells share no state, so running them
 * in parallel does not change the result. */
static void run_parallel(void (*fn)(struct cell *c), struct cell *cells,
			 size_t n, size_t stride)
{
	struct work_queue w = { fn,	cells, n,
				stride, 0,     PTHREAD_MUTEX_INITIALIZER };
	pthread_t threads[THREADS];

	for (int i = 0; i < THREADS; i++)
		if (pthread_create(&threads[i], NULL, run_worker, &w) != 0)
			abort();
	for (int i = 0; i < THREADS; i++)
		pthread_join(threads[i], NULL);
}

#define SHARES G_N_ELEMENTS(shares)
#define CELLS (G_N_ELEMENTS(deployments) * G_N_ELEMENTS(zipfs) * SHARES)

static void print_group(const struct cell *cells, const char *share)
{
	printf("\n%s, zipf %.1f: the minimum of loads takes the whole budget "
	       "at "
	       "%.1f requests/s\n",
	       cells->d->name, cells->zipf, cells->saturation_rate);
	print_header();
	for (size_t k = 0; k < SHARES; k++)
		if (share == NULL || atof(share) == shares[k])
			fputs(cells[k].out->str, stdout);
}

/* Writes the cells that the arguments select; returns how many. */
static size_t select_cells(struct cell *cells, int argc, char **argv)
{
	size_t n = 0;

	for (size_t i = 0; i < CELLS; i++) {
		struct cell c = {
			.d = &deployments[i / SHARES / G_N_ELEMENTS(zipfs)],
			.zipf = zipfs[i / SHARES % G_N_ELEMENTS(zipfs)],
			.share = shares[i % SHARES],
			.only_policy = argc > 4 ? argv[4] : NULL,
		};

		if (argc > 1 && strcmp(argv[1], c.d->name) != 0)
			continue;
		if (argc > 2 && atof(argv[2]) != c.zipf)
			continue;
		c.out = g_string_new("");
		cells[n++] = c;
	}
	return n;
}

int main(int argc, char **argv)
{
	struct cell cells[CELLS];
	size_t n = select_cells(cells, argc, argv);

	printf("stall times in s; loads: of the clairvoyant minimum; l/ans: "
	       "loads per answer over minimum per request;\nfill: requests in "
	       "the batch (of %d) per active step; ans: within the deadline, "
	       "ansi: of the interactive;\nref: refused at once; miss: "
	       "neither; lost: met by strong and not here; hold: mean of "
	       "drafts in s;\nbyte/r: inner messages per request; inuse: "
	       "orders refused as the victim was in use\n",
	       BATCH);
	run_parallel(find_saturation_rate, cells, n, SHARES);
	for (size_t i = 0; i < n; i++)
		cells[i].saturation_rate =
			cells[i - i % SHARES].saturation_rate;
	if (argc <= 3) {
		run_parallel(run_cell, cells, n, 1);
	} else {
		for (size_t i = 0; i < n; i++)
			if (atof(argv[3]) == cells[i].share)
				run_cell(&cells[i]);
	}
	for (size_t i = 0; i < n; i += SHARES)
		print_group(&cells[i], argc > 3 ? argv[3] : NULL);
	for (size_t i = 0; i < n; i++)
		g_string_free(cells[i].out, TRUE);
	return 0;
}
