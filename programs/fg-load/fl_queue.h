/*
 * fl_queue - hands requests from the planner to the workers.
 */
#ifndef FL_QUEUE_H
#define FL_QUEUE_H

#include "fl_plan.h"

struct fl_queue;

struct fl_queue *fl_queue_new(void);
void fl_queue_free(struct fl_queue *q);

void fl_queue_push(struct fl_queue *q, struct fl_req *req);

/* Nothing more is pushed. */
void fl_queue_close(struct fl_queue *q);

/* Blocks for the next request; NULL once the queue is closed and empty. */
struct fl_req *fl_queue_pop(struct fl_queue *q);

#endif
