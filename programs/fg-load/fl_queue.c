#include "fl_queue.h"

#include <pthread.h>

struct fl_queue {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	GQueue *reqs;
	bool closed;
};

struct fl_queue *fl_queue_new(void)
{
	struct fl_queue *q = g_new0(struct fl_queue, 1);

	pthread_mutex_init(&q->lock, NULL);
	pthread_cond_init(&q->changed, NULL);
	q->reqs = g_queue_new();
	return q;
}

void fl_queue_free(struct fl_queue *q)
{
	g_queue_free(q->reqs);
	pthread_cond_destroy(&q->changed);
	pthread_mutex_destroy(&q->lock);
	g_free(q);
}

void fl_queue_push(struct fl_queue *q, struct fl_req *req)
{
	pthread_mutex_lock(&q->lock);
	g_queue_push_tail(q->reqs, req);
	pthread_cond_signal(&q->changed);
	pthread_mutex_unlock(&q->lock);
}

void fl_queue_close(struct fl_queue *q)
{
	pthread_mutex_lock(&q->lock);
	q->closed = true;
	pthread_cond_broadcast(&q->changed);
	pthread_mutex_unlock(&q->lock);
}

struct fl_req *fl_queue_pop(struct fl_queue *q)
{
	struct fl_req *req;

	pthread_mutex_lock(&q->lock);
	while (g_queue_is_empty(q->reqs) && !q->closed)
		pthread_cond_wait(&q->changed, &q->lock);
	req = g_queue_pop_head(q->reqs);
	pthread_mutex_unlock(&q->lock);
	return req;
}
