/*
 * fg_pool - a pool of worker threads for blocking calls.
 *
 * A thread is started when a job is queued and no thread is idle, up to a
 * limit. A thread ends after some time without jobs.
 */
#ifndef FG_POOL_H
#define FG_POOL_H

#include <stdbool.h>
#include <stdint.h>

struct fg_pool;

/* Creates a pool of at most threads_max threads with stacks of stack_bytes. */
struct fg_pool *fg_pool_new(uint32_t threads_max, uint32_t stack_bytes);

/* Queues fn(arg) to run on one of the threads. Jobs start in the order in which
 * they were queued. Does not wait for a thread. Returns false, and does
 * nothing, once fg_pool_stop() was called and no job is left. */
bool fg_pool_submit(struct fg_pool *p, void (*fn)(void *arg), void *arg);

/* Waits for all queued jobs, also those that they queue, and ends all threads.
 * NULL is allowed. */
void fg_pool_stop(struct fg_pool *p);

/* Stops the pool and frees it. Nothing may use it any more. NULL is allowed. */
void fg_pool_free(struct fg_pool *p);

#endif
