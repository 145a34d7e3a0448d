/*
 * Retry budgets per class, over a sliding window.
 *
 * Retries are bounded by a share of the first attempts in the window, so that
 * an overloaded or failing system gets at most that share of extra load.
 */
#include "admit/fg_admit.h"

#include <glib.h>

#include "base/fg_rand.h"

#define WINDOW_SLOTS 10
#define SLOT_MS 1000
#define BACKOFF_MAX_MS 10000

struct window {
	uint32_t first[WINDOW_SLOTS];
	uint32_t again[WINDOW_SLOTS];
	int64_t slot; /* number of the newest slot */
};

struct fg_retry {
	struct fg_retry_conf conf;
	struct fg_rand rand;
	struct window window[FG_CLASS_COUNT];
};

struct fg_retry *fg_retry_new(const struct fg_retry_conf *conf, uint64_t seed)
{
	struct fg_retry *r = g_new0(struct fg_retry, 1);

	r->conf = *conf;
	fg_rand_seed(&r->rand, seed);
	return r;
}

void fg_retry_free(struct fg_retry *r)
{
	g_free(r);
}

void fg_retry_set_percent(struct fg_retry *r, uint32_t percent)
{
	r->conf.percent = percent;
}

/* Clears the slots between the newest one and that of now; returns now's. */
static uint32_t advance(struct window *w, fg_ms now)
{
	int64_t slot = MAX(now / SLOT_MS, w->slot);

	if (slot - w->slot > WINDOW_SLOTS)
		w->slot = slot - WINDOW_SLOTS;
	while (w->slot < slot) {
		w->slot++;
		w->first[w->slot % WINDOW_SLOTS] = 0;
		w->again[w->slot % WINDOW_SLOTS] = 0;
	}
	return slot % WINDOW_SLOTS;
}

static uint64_t sum(const uint32_t *slots)
{
	uint64_t total = 0;

	for (int i = 0; i < WINDOW_SLOTS; i++)
		total += slots[i];
	return total;
}

void fg_retry_count_first(struct fg_retry *r, fg_ms now, enum fg_class cls)
{
	struct window *w = &r->window[cls];

	w->first[advance(w, now)]++;
}

/* Exponential, uniform within half of it up and down. */
static uint32_t backoff(struct fg_retry *r, uint32_t attempts)
{
	uint64_t base_ms = r->conf.backoff_ms;

	for (uint32_t i = 1; i < attempts && base_ms < BACKOFF_MAX_MS; i++)
		base_ms *= 2;
	base_ms = MIN(base_ms, BACKOFF_MAX_MS);
	return base_ms / 2 + fg_rand_below(&r->rand, base_ms + 1);
}

uint32_t fg_retry_budget_left(struct fg_retry *r, fg_ms now, enum fg_class cls)
{
	struct window *w = &r->window[cls];
	uint64_t allowed = r->conf.min_per_10s;
	uint64_t used;

	advance(w, now);
	allowed += sum(w->first) * r->conf.percent / 100;
	used = sum(w->again);
	return used >= allowed ? 0 : (uint32_t)MIN(allowed - used, UINT32_MAX);
}

bool fg_retry_take(struct fg_retry *r, fg_ms now, enum fg_class cls,
		   uint32_t attempts, uint32_t left_ms, bool ran,
		   uint32_t *backoff_ms)
{
	struct window *w = &r->window[cls];
	uint32_t slot = advance(w, now);

	*backoff_ms = 0;
	if (attempts >= r->conf.attempts_max)
		return false;
	if (cls == FG_CLASS_FILING && ran)
		return false;
	if (fg_retry_budget_left(r, now, cls) == 0)
		return false;
	*backoff_ms = backoff(r, attempts);
	if (*backoff_ms >= left_ms)
		return false;
	w->again[slot]++;
	return true;
}
