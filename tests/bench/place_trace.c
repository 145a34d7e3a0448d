/* Generates arrivals and computes the clairvoyant minimum of loads. */
#include "place_trace.h"

#include <glib.h>
#include <math.h>

#include "base/fg_rand.h"

#define SHIFT_PERCENT 40 /* share of adapters whose rank changes */

struct popularity {
	double cumulative[ADAPTERS];
	uint32_t by_rank[ADAPTERS];
};

static void popularity_init(struct popularity *p, double zipf,
			    struct fg_rand *rand)
{
	double sum = 0;

	for (uint32_t i = 0; i < ADAPTERS; i++) {
		sum += pow(i + 1, -zipf);
		p->cumulative[i] = sum;
		p->by_rank[i] = i + 1;
	}
	for (uint32_t i = 0; i < ADAPTERS; i++)
		p->cumulative[i] /= sum;
	for (uint32_t i = ADAPTERS - 1; i > 0; i--) {
		uint32_t j = (uint32_t)fg_rand_below(rand, i + 1);
		uint32_t swap = p->by_rank[i];

		p->by_rank[i] = p->by_rank[j];
		p->by_rank[j] = swap;
	}
}

static void popularity_shift_ranks(struct popularity *p, struct fg_rand *rand)
{
	for (uint32_t i = 0; i < ADAPTERS; i++) {
		uint32_t j = (uint32_t)fg_rand_below(rand, ADAPTERS);
		uint32_t swap = p->by_rank[i];

		/* Out of 200, not 100: each swap changes two ranks. */
		if (fg_rand_below(rand, 200) >= SHIFT_PERCENT)
			continue;
		p->by_rank[i] = p->by_rank[j];
		p->by_rank[j] = swap;
	}
}

static uint32_t popularity_draw_adapter(const struct popularity *p,
					struct fg_rand *rand)
{
	double x = fg_rand_unit(rand);
	uint32_t low = 0;
	uint32_t high = ADAPTERS - 1;

	while (low < high) {
		uint32_t mid = (low + high) / 2;

		if (p->cumulative[mid] < x)
			low = mid + 1;
		else
			high = mid;
	}
	return p->by_rank[low];
}

static uint32_t draw_between(struct fg_rand *rand, uint32_t low, uint32_t high)
{
	return low + (uint32_t)fg_rand_below(rand, high - low + 1);
}

static struct arrival draw_arrival(const struct deployment *d,
				   const struct popularity *p,
				   struct fg_rand *rand, fg_ms at)
{
	struct arrival a = { .at = at };

	a.av = (fg_av){ popularity_draw_adapter(p, rand), 1 };
	a.router = (uint32_t)fg_rand_below(rand, ROUTERS);
	a.tokens = draw_between(rand, d->tokens_min, d->tokens_max);
	a.cls = FG_CLASS_INTERACTIVE;
	a.deadline_ms = d->interactive_deadline_ms;
	if (fg_rand_below(rand, 100) < d->draft_percent) {
		a.cls = FG_CLASS_DRAFT;
		a.deadline_ms = draw_between(rand, d->draft_deadline_min_ms,
					     d->draft_deadline_max_ms);
	}
	return a;
}

void trace_generate(struct trace *t, const struct deployment *d, double zipf,
		    double rate_per_s, uint64_t seed)
{
	struct popularity p;
	struct fg_rand rand;
	GArray *list = g_array_new(FALSE, FALSE, sizeof(struct arrival));
	double at = 0;
	bool is_shifted = false;

	fg_rand_seed(&rand, seed);
	popularity_init(&p, zipf, &rand);
	for (;;) {
		struct arrival a;

		at += -log(1 - fg_rand_unit(&rand)) * FG_MS_PER_S / rate_per_s;
		if (at >= TRACE_MS)
			break;
		if (!is_shifted && at >= SHIFT_AT_MS) {
			popularity_shift_ranks(&p, &rand);
			is_shifted = true;
		}
		a = draw_arrival(d, &p, &rand, (fg_ms)at);
		g_array_append_val(list, a);
	}
	t->n = list->len;
	t->end = TRACE_MS;
	t->arrivals = (struct arrival *)(void *)g_array_free(list, FALSE);
}

void trace_free(struct trace *t)
{
	g_free(t->arrivals);
	t->arrivals = NULL;
	t->n = 0;
}

/* Returns the index of the cached adapter whose next use is latest. */
static uint32_t find_latest_use(const uint32_t *cached, uint32_t n,
				const size_t *next)
{
	uint32_t best = 0;

	for (uint32_t i = 1; i < n; i++)
		if (next[cached[i]] > next[cached[best]])
			best = i;
	return best;
}

uint64_t trace_min_loads(const struct trace *t, uint32_t slots)
{
	size_t *next_after = g_new(size_t, t->n); /* next use, per arrival */
	size_t next[ADAPTERS + 1];		  /* next use, per adapter */
	bool is_cached[ADAPTERS + 1] = { false };
	uint32_t *cached = g_new(uint32_t, slots);
	uint32_t n = 0;
	uint64_t loads = 0;

	for (uint32_t i = 0; i <= ADAPTERS; i++)
		next[i] = SIZE_MAX;
	for (size_t i = t->n; i-- > 0;) {
		next_after[i] = next[t->arrivals[i].av.adapter];
		next[t->arrivals[i].av.adapter] = i;
	}
	for (size_t i = 0; i < t->n; i++) {
		uint32_t adapter = t->arrivals[i].av.adapter;

		next[adapter] = next_after[i];
		if (is_cached[adapter])
			continue;
		loads++;
		is_cached[adapter] = true;
		if (n < slots) {
			cached[n++] = adapter;
			continue;
		}
		uint32_t victim = find_latest_use(cached, n, next);

		is_cached[cached[victim]] = false;
		cached[victim] = adapter;
	}
	g_free(next_after);
	g_free(cached);
	return loads;
}

double trace_saturation_rate(const struct deployment *d, double zipf,
			     uint64_t seed)
{
	double budget = (double)d->loads_per_s * TRACE_MS / FG_MS_PER_S;
	double low = 0.5;
	double high = 100;

	for (int i = 0; i < 8; i++) {
		double mid = sqrt(low * high);
		struct trace t;

		trace_generate(&t, d, zipf, mid, seed);
		if ((double)trace_min_loads(&t, d->eps * SLOTS) < budget)
			low = mid;
		else
			high = mid;
		trace_free(&t);
	}
	return sqrt(low * high);
}
