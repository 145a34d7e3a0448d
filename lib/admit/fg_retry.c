/*
 * Retry budgets per class, over a sliding window.
 *
 * Retries are limited to a share of the first attempts in the window, so that
 * an overloaded or failing system gets at most that share of extra load.
 */
#include "admit/fg_admit.h"

#include <glib.h>

#include "base/fg_rand.h"

#define WINDOW_BUCKETS 10
#define BUCKET_MS 1000
#define BACKOFF_MAX_MS 10000

struct window {
	uint32_t first_attempts[WINDOW_BUCKETS];
	uint32_t retries[WINDOW_BUCKETS];
	int64_t bucket; /* number of the newest bucket, counted from time 0 */
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

/* Clears the buckets between the newest one and the one of `now`. Returns the
 * index of the latter. */
static uint32_t advance_window(struct window *w, fg_ms now)
{
	int64_t bucket = MAX(now / BUCKET_MS, w->bucket);

	if (bucket - w->bucket > WINDOW_BUCKETS)
		w->bucket = bucket - WINDOW_BUCKETS;
	while (w->bucket < bucket) {
		w->bucket++;
		w->first_attempts[w->bucket % WINDOW_BUCKETS] = 0;
		w->retries[w->bucket % WINDOW_BUCKETS] = 0;
	}
	return bucket % WINDOW_BUCKETS;
}

static uint64_t sum_buckets(const uint32_t *buckets)
{
	uint64_t total = 0;

	for (int i = 0; i < WINDOW_BUCKETS; i++)
		total += buckets[i];
	return total;
}

void fg_retry_count_first(struct fg_retry *r, fg_ms now, enum fg_class cls)
{
	struct window *w = &r->window[cls];

	w->first_attempts[advance_window(w, now)]++;
}

/* Exponential backoff with a jitter of up to half of it in both directions. */
static uint32_t pick_backoff_ms(struct fg_retry *r, uint32_t attempts)
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

	advance_window(w, now);
	allowed += sum_buckets(w->first_attempts) * r->conf.percent / 100;
	used = sum_buckets(w->retries);
	return used >= allowed ? 0 : (uint32_t)MIN(allowed - used, UINT32_MAX);
}

bool fg_retry_take(struct fg_retry *r, fg_ms now, enum fg_class cls,
		   uint32_t attempts, uint32_t left_ms, bool ran,
		   uint32_t *backoff_ms)
{
	struct window *w = &r->window[cls];
	uint32_t bucket = advance_window(w, now);

	*backoff_ms = 0;
	if (attempts >= r->conf.attempts_max)
		return false;
	if (cls == FG_CLASS_FILING && ran)
		return false;
	if (fg_retry_budget_left(r, now, cls) == 0)
		return false;
	*backoff_ms = pick_backoff_ms(r, attempts);
	if (*backoff_ms >= left_ms)
		return false;
	w->retries[bucket]++;
	return true;
}
