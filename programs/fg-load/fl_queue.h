/*
 * fl_queue - blocking queue that passes requests to the worker threads.
 */
#ifndef FL_QUEUE_H
#define FL_QUEUE_H

#include "fl_plan.h"

struct fl_queue;

struct fl_queue *fl_queue_new(void);
void fl_queue_free(struct fl_queue *q);

/* Appends a request; the queue takes ownership. */
void fl_queue_push(struct fl_queue *q, struct fl_req *req);

/* Ends the queue: no request may be pushed afterwards. */
void fl_queue_close(struct fl_queue *q);

/* Waits for the next request and returns it; the caller owns it. Returns NULL
 * once the queue is closed and empty. */
struct fl_req *fl_queue_pop(struct fl_queue *q);

#endif
