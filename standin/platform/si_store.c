#include "platform/si_bucket.h"
#include "platform/si_platform.h"

/*
 * Loads share the throughput of the store. Up to in_flight_max loads run at
 * full speed; with n > in_flight_max in flight, each runs at the fraction
 * in_flight_max / n. progress_ms is the progress that a load in flight since
 * the start would have made.
 */
struct si_store {
	struct si_proc *proc;
	pthread_mutex_t lock;
	pthread_cond_t changed;
	struct si_bucket load_bucket;
	uint32_t load_ms;
	uint32_t in_flight_max;
	uint32_t in_flight;
	double progress_ms;
	gint64 progress_at_us; /* when progress_ms was last updated */
	bool stop;
};

struct si_store *si_store_new(struct si_proc *proc, uint32_t loads_per_s,
			      uint32_t load_ms, uint32_t in_flight_max)
{
	struct si_store *s = g_new0(struct si_store, 1);

	s->proc = proc;
	pthread_mutex_init(&s->lock, NULL);
	si_cond_init(&s->changed);
	si_bucket_init(&s->load_bucket, loads_per_s, fg_clock_now());
	s->load_ms = load_ms;
	s->in_flight_max = in_flight_max > 0 ? in_flight_max : 1;
	s->progress_at_us = g_get_monotonic_time();
	return s;
}

void si_store_free(struct si_store *s)
{
	pthread_mutex_destroy(&s->lock);
	pthread_cond_destroy(&s->changed);
	g_free(s);
}

bool si_store_may_load(struct si_store *s, fg_ms *retry_after_ms)
{
	bool ok;

	pthread_mutex_lock(&s->lock);
	ok = si_bucket_take(&s->load_bucket, fg_clock_now(), retry_after_ms);
	pthread_mutex_unlock(&s->lock);
	return ok;
}

/* Speed of each load, 1 for full speed. */
static double load_speed(const struct si_store *s)
{
	if (s->in_flight <= s->in_flight_max)
		return 1;
	return (double)s->in_flight_max / s->in_flight;
}

static void advance_progress(struct si_store *s)
{
	gint64 now_us = g_get_monotonic_time();

	s->progress_ms +=
		(double)(now_us - s->progress_at_us) / 1000 * load_speed(s);
	s->progress_at_us = now_us;
}

static void adjust_in_flight(struct si_store *s, int32_t delta)
{
	advance_progress(s);
	s->in_flight = (uint32_t)((int32_t)s->in_flight + delta);
	pthread_cond_broadcast(&s->changed);
}

bool si_store_load(struct si_store *s)
{
	double target_ms;
	bool ok;

	pthread_mutex_lock(&s->lock);
	adjust_in_flight(s, 1);
	target_ms = s->progress_ms + s->load_ms;
	while (!s->stop && s->progress_ms < target_ms) {
		double left_ms = (target_ms - s->progress_ms) / load_speed(s);

		si_cond_wait_until(&s->changed, &s->lock,
				   si_deadline_us((fg_ms)left_ms + 1));
		advance_progress(s);
	}
	adjust_in_flight(s, -1);
	ok = !s->stop;
	pthread_mutex_unlock(&s->lock);
	return ok;
}

void si_store_stop(struct si_store *s)
{
	pthread_mutex_lock(&s->lock);
	s->stop = true;
	pthread_cond_broadcast(&s->changed);
	pthread_mutex_unlock(&s->lock);
}
