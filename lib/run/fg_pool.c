#include "run/fg_pool.h"

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <time.h>

#define THREAD_IDLE_S 10

struct job {
	void (*fn)(void *arg);
	void *arg;
};

struct fg_pool {
	pthread_mutex_t lock; /* guards all members below; innermost lock */
	pthread_cond_t job_ready;
	pthread_cond_t thread_ended;
	GQueue jobs;
	uint32_t threads;
	uint32_t idle;
	uint32_t threads_max;
	uint32_t stack_bytes;
	bool stopping;
};

struct fg_pool *fg_pool_new(uint32_t threads_max, uint32_t stack_bytes)
{
	struct fg_pool *p = g_new0(struct fg_pool, 1);

	pthread_mutex_init(&p->lock, NULL);
	pthread_cond_init(&p->job_ready, NULL);
	pthread_cond_init(&p->thread_ended, NULL);
	g_queue_init(&p->jobs);
	p->threads_max = threads_max;
	p->stack_bytes = stack_bytes;
	return p;
}

/* Returns the next job, or NULL if this thread should end. Caller holds the
 * lock. */
static struct job *wait_for_job(struct fg_pool *p)
{
	struct timespec until;
	struct job *job;
	int rc = 0;

	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += THREAD_IDLE_S;
	p->idle++;
	while ((job = g_queue_pop_head(&p->jobs)) == NULL && !p->stopping &&
	       rc == 0)
		rc = pthread_cond_timedwait(&p->job_ready, &p->lock, &until);
	p->idle--;
	return job;
}

static void *run_worker(void *arg)
{
	struct fg_pool *p = arg;
	struct job *job;

	pthread_mutex_lock(&p->lock);
	while ((job = wait_for_job(p)) != NULL) {
		pthread_mutex_unlock(&p->lock);
		job->fn(job->arg);
		g_free(job);
		pthread_mutex_lock(&p->lock);
	}
	p->threads--;
	pthread_cond_signal(&p->thread_ended);
	pthread_mutex_unlock(&p->lock);
	return NULL;
}

/* If no thread can be started, the other threads run the job. Caller holds the
 * lock. */
static void start_thread(struct fg_pool *p)
{
	pthread_attr_t attr;
	pthread_t thread;

	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, p->stack_bytes);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&thread, &attr, run_worker, p) == 0)
		p->threads++;
	pthread_attr_destroy(&attr);
}

bool fg_pool_submit(struct fg_pool *p, void (*fn)(void *arg), void *arg)
{
	struct job *job;

	pthread_mutex_lock(&p->lock);
	if (p->stopping && p->threads == 0) {
		pthread_mutex_unlock(&p->lock);
		return false;
	}
	job = g_new0(struct job, 1);
	job->fn = fn;
	job->arg = arg;
	g_queue_push_tail(&p->jobs, job);
	if (g_queue_get_length(&p->jobs) > p->idle &&
	    p->threads < p->threads_max)
		start_thread(p);
	pthread_cond_signal(&p->job_ready);
	pthread_mutex_unlock(&p->lock);
	return true;
}

void fg_pool_stop(struct fg_pool *p)
{
	if (p == NULL)
		return;
	pthread_mutex_lock(&p->lock);
	p->stopping = true;
	pthread_cond_broadcast(&p->job_ready);
	while (p->threads > 0)
		pthread_cond_wait(&p->thread_ended, &p->lock);
	pthread_mutex_unlock(&p->lock);
}

void fg_pool_free(struct fg_pool *p)
{
	if (p == NULL)
		return;
	fg_pool_stop(p);
	pthread_mutex_destroy(&p->lock);
	pthread_cond_destroy(&p->job_ready);
	pthread_cond_destroy(&p->thread_ended);
	g_free(p);
}
