/*
 * Measures what a filing costs in table transactions and processor time, by the
 * filing rate of one instance and by group window. Every table operation
 * succeeds after a fixed time and returns the versions of the rows it wrote.
 */
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <time.h>

#include "base/fg_rand.h"
#include "ledger/fg_ledger.h"

#define SEED 1
#define RUN_MS 60000
#define TABLE_MS 5    /* answer time of the table */
#define SERVICE_MS 40 /* answer time of the plain service */
#define PENDING_MAX 4096

/* A table operation or a service call in flight. */
struct pending {
	fg_ms at;		/* time of completion */
	struct fg_table_op *op; /* NULL: service call of the filing id */
	uint64_t id;
};

struct bench {
	struct fg_ledger *ledger;
	fg_ms now;
	struct pending pending[PENDING_MAX];
	size_t n_pending;
	uint64_t txns;
	uint64_t recorded;
	uint64_t dispatch_wait_ms;     /* sum over filings, start to dispatch */
	fg_ms started_at[PENDING_MAX]; /* per filing id, modulo PENDING_MAX */
	uint64_t row_version;
};

static void add_pending(struct bench *b, struct pending p)
{
	g_assert(b->n_pending < PENDING_MAX);
	b->pending[b->n_pending++] = p;
}

static void handle_act(void *arg, struct fg_ledger_act *act)
{
	struct bench *b = arg;

	switch (act->type) {
	case FG_LA_TABLE:
		b->txns++;
		add_pending(b,
			    (struct pending){ b->now + TABLE_MS, act->op, 0 });
		break;
	case FG_LA_DISPATCH:
		b->dispatch_wait_ms +=
			b->now - b->started_at[act->id % PENDING_MAX];
		add_pending(b, (struct pending){ b->now + SERVICE_MS, NULL,
						 act->id });
		break;
	case FG_LA_RECORDED:
		b->recorded++;
		break;
	case FG_LA_ANSWER:
		break;
	}
}

static void complete_pending(struct bench *b, struct pending *p)
{
	struct fg_table_result *res;

	if (p->op == NULL) {
		fg_ledger_record_outcome(b->ledger, b->now, p->id, FG_DONE,
					 FG_R_NONE, "{\"filed\":1}", handle_act,
					 b);
		return;
	}
	res = fg_table_result_new(p->op->id, p->op->kind, FG_PF_OK);
	for (size_t i = 0; i < p->op->n_writes; i++)
		fg_table_result_add_row(res, p->op->writes[i].key,
					++b->row_version, NULL);
	fg_ledger_handle_result(b->ledger, b->now, res, handle_act, b);
	fg_table_result_free(res);
	fg_table_op_free(p->op);
}

static void complete_all_due(struct bench *b)
{
	for (size_t i = 0; i < b->n_pending;) {
		struct pending p = b->pending[i];

		if (p.at > b->now) {
			i++;
			continue;
		}
		b->pending[i] = b->pending[--b->n_pending];
		complete_pending(b, &p);
	}
}

static void start_filing(struct bench *b, uint64_t id)
{
	char key[24];

	b->started_at[id % PENDING_MAX] = b->now;
	g_snprintf(key, sizeof(key), "key-%u", (unsigned int)id);
	fg_ledger_start(b->ledger, b->now, id, "caller", key, 7, b->now + 30000,
			handle_act, b);
}

static void run_case(uint32_t rate_per_s, uint32_t group_ms)
{
	struct fg_ledger_conf conf = { .self = 1,
				       .group_ms = group_ms,
				       .start_timeout_ms = 2000,
				       .record_retry_ms = 200,
				       .retention_s = 86400 };
	struct bench *b = g_new0(struct bench, 1);
	struct fg_rand rand;
	uint64_t started = 0;
	double next_ms = 0;
	clock_t cpu_start = clock();

	fg_rand_seed(&rand, SEED);
	b->ledger = fg_ledger_new(&conf, SEED);
	for (b->now = 1; b->now < RUN_MS; b->now++) {
		while (next_ms <= (double)b->now) {
			start_filing(b, ++started);
			next_ms -= log(1 - fg_rand_unit(&rand)) * FG_MS_PER_S /
				   rate_per_s;
		}
		complete_all_due(b);
		fg_ledger_tick(b->ledger, b->now, handle_act, b);
	}
	printf("%6u %6u %12.2f %12.1f %10.1f %8.1f\n", rate_per_s, group_ms,
	       (double)b->txns / b->recorded,
	       b->txns * (double)FG_MS_PER_S / RUN_MS,
	       (double)b->dispatch_wait_ms / started,
	       (double)(clock() - cpu_start) / CLOCKS_PER_SEC * 1e6 / started);
	for (size_t i = 0; i < b->n_pending; i++)
		fg_table_op_free(b->pending[i].op);
	fg_ledger_free(b->ledger);
	g_free(b);
}

int main(void)
{
	static const uint32_t rates[] = { 1, 10, 50, 150, 500 };
	static const uint32_t windows_ms[] = { 0, 5, 20, 50 };

	printf("bench_ledger: one instance, table answers in %d ms\n",
	       TABLE_MS);
	printf("%6s %6s %12s %12s %10s %8s\n", "rate/s", "group", "txn/filing",
	       "txn/s", "wait ms", "us each");
	for (size_t w = 0; w < G_N_ELEMENTS(windows_ms); w++)
		for (size_t r = 0; r < G_N_ELEMENTS(rates); r++)
			run_case(rates[r], windows_ms[w]);
	return 0;
}
