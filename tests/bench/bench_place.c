/*
 * Policies of placement against baselines, in virtual time.
 *
 * usage: bench_place [deployment [zipf [share of the budget [policy]]]]
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "place_sim.h"

#define SEED 20260101

static const struct deployment deployments[] = {
	{
		.name = "huerta",
		.eps = 20,
		.loads_per_s = 5,
		.preset = { .name = "ordinary",
			    .stall_weight = 80,
			    .hold_max_ms = 2000 },
		.draft_percent = 20,
		.interactive_ms = 20000,
		.draft_min_ms = 60000,
		.draft_max_ms = 120000,
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
		.interactive_ms = 20000,
		.draft_min_ms = 60000,
		.draft_max_ms = 180000,
		.tokens_min = 100,
		.tokens_max = 300,
		.service_p95_ms = 8500,
	},
};

static const double zipfs[] = { 1.0, 1.2 };
static const double shares[] = { 0.5, 0.9, 1.5 };
static const char *const policies[] = { "naive", "strong", "gauge" };

static void print_head(void)
{
	printf("%-11s %4s %4s %-6s %6s %6s %6s %6s %6s %5s %5s %6s %6s %6s "
	       "%5s %5s %5s %5s %6s %5s\n",
	       "deployment", "zipf", "load", "policy", "p50", "p95", "p99",
	       "p95i", "wait%", "loads", "l/ans", "fill", "ans%", "ansi%",
	       "ref%", "miss%", "lost%", "hold", "byte/r", "inuse");
}

/* Share of the requests that strong answered in time and this one did not. */
static double lost(const struct result *res, const struct result *strong)
{
	uint64_t n = 0;

	if (strong == NULL)
		return 0;
	for (uint64_t i = 0; i < res->n; i++)
		n += strong->met[i] && !res->met[i];
	return 100.0 * (double)n / (double)res->n;
}

static void print_row(const struct deployment *d, double zipf, double share,
		      const char *policy, const struct result *res,
		      const struct result *strong, uint64_t min_loads)
{
	double n = (double)res->n;
	double min = (double)min_loads;

	printf("%-11s %4.1f %4.1f %-6s %6.2f %6.2f %6.2f %6.2f %6.1f "
	       "%5.3f %5.2f %6.2f %6.2f %6.2f %5.1f %5.2f %5.2f %5.1f %6.0f "
	       "%5lu\n",
	       d->name, zipf, share, policy, res->stall_p50_ms / 1000,
	       res->stall_p95_ms / 1000, res->stall_p99_ms / 1000,
	       res->urgent_p95_ms / 1000, 100.0 * (double)res->waited / n,
	       (double)res->loads / min,
	       (double)res->loads / (double)res->answered / (min / n),
	       res->fill, 100.0 * (double)res->answered / n,
	       100.0 * (double)res->urgent_answered / (double)res->urgent,
	       100.0 * (double)res->refused / n,
	       100.0 * (double)res->missed / n, lost(res, strong),
	       res->hold_mean_ms / 1000, res->bytes, res->in_use_orders);
}

static void run_cell(const struct deployment *d, double zipf, double share,
		     double full_rate, const char *only)
{
	struct result res[G_N_ELEMENTS(policies)] = { 0 };
	struct trace t;
	uint64_t min_loads;

	trace_make(&t, d, zipf, full_rate * share, SEED);
	min_loads = trace_min_loads(&t, d->eps * SLOTS);
	for (size_t i = 0; i < G_N_ELEMENTS(policies); i++) {
		if (only != NULL && strcmp(only, policies[i]) != 0)
			continue;
		sim_run(d, &t, policies[i], &res[i]);
		print_row(d, zipf, share, policies[i], &res[i],
			  i == 2 && only == NULL ? &res[1] : NULL, min_loads);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(policies); i++)
		g_free(res[i].met);
	trace_free(&t);
	fflush(stdout);
}

int main(int argc, char **argv)
{
	printf("stall times in s; loads: of the clairvoyant minimum; l/ans: "
	       "loads per answer over minimum per request;\nfill: requests in "
	       "the batch (of %d) per active step; ans: within the deadline, "
	       "ansi: of the interactive; "
	       "ref: refused at once;\nmiss: neither; lost: met by strong and "
	       "not here; hold: mean of drafts in s; byte/r: inner messages "
	       "per request;\ninuse: orders refused as the victim was in use\n",
	       BATCH);
	for (size_t i = 0; i < G_N_ELEMENTS(deployments); i++) {
		const struct deployment *d = &deployments[i];

		if (argc > 1 && strcmp(argv[1], d->name) != 0)
			continue;
		for (size_t z = 0; z < G_N_ELEMENTS(zipfs); z++) {
			double rate;

			if (argc > 2 && atof(argv[2]) != zipfs[z])
				continue;
			rate = trace_full_rate(d, zipfs[z], SEED);
			printf("\n%s, zipf %.1f: the minimum of loads takes "
			       "the whole budget at %.1f requests/s\n",
			       d->name, zipfs[z], rate);
			print_head();
			for (size_t k = 0; k < G_N_ELEMENTS(shares); k++)
				if (argc <= 3 || atof(argv[3]) == shares[k])
					run_cell(d, zipfs[z], shares[k], rate,
						 argc > 4 ? argv[4] : NULL);
		}
	}
	return 0;
}
