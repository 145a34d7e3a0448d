#include "platform/si_bucket.h"
#include "platform/si_platform.h"

/*
 * Loads share the store: each makes progress at the full pace while at most
 * in_flight_max are in flight, and at in_flight_max / n of it beyond. `work`
 * is the progress in ms that a load in flight since the start would have made.
 */
struct si_store {
	struct si_proc *proc;
	pthread_mutex_t lock;
	pthread_cond_t changed;
	struct si_bucket loads;
	uint32_t load_ms;
	uint32_t in_flight_max;
	uint32_t in_flight;
	double work;
	gint64 counted_us;
	bool stop;
};

struct si_store *si_store_new(struct si_proc *proc, uint32_t loads_per_s,
			      uint32_t load_ms, uint32_t in_flight)
{
	struct si_store *s = g_new0(struct si_store, 1);

	s->proc = proc;
	pthread_mutex_init(&s->lock, NULL);
	si_cond_init(&s->changed);
	si_bucket_init(&s->loads, loads_per_s, fg_clock_now());
	s->load_ms = load_ms;
	s->in_flight_max = in_flight > 0 ? in_flight : 1;
	s->counted_us = g_get_monotonic_time();
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
	ok = si_bucket_take(&s->loads, fg_clock_now(), retry_after_ms);
	pthread_mutex_unlock(&s->lock);
	return ok;
}

/* Share of the full pace that each load gets. */
static double pace(const struct si_store *s)
{
	if (s->in_flight <= s->in_flight_max)
		return 1;
	return (double)s->in_flight_max / s->in_flight;
}

static void count_work(struct si_store *s)
{
	gint64 now_us = g_get_monotonic_time();

	s->work += (double)(now_us - s->counted_us) / 1000 * pace(s);
	s->counted_us = now_us;
}

static void change_in_flight(struct si_store *s, int32_t delta)
{
	count_work(s);
	s->in_flight = (uint32_t)((int32_t)s->in_flight + delta);
	pthread_cond_broadcast(&s->changed);
}

bool si_store_load(struct si_store *s)
{
	double done_at;
	bool ok;

	pthread_mutex_lock(&s->lock);
	change_in_flight(s, 1);
	done_at = s->work + s->load_ms;
	while (!s->stop && s->work < done_at) {
		double left_ms = (done_at - s->work) / pace(s);

		si_cond_wait_until(&s->changed, &s->lock,
				   si_wait_until((fg_ms)left_ms + 1));
		count_work(s);
	}
	change_in_flight(s, -1);
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
