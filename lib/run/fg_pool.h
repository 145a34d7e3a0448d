/*
 * fg_pool - a pool of worker threads for blocking calls.
 *
 * Threads are started when work waits and none is idle, up to a bound, and
 * end after a while without work.
 */
#ifndef FG_POOL_H
#define FG_POOL_H

#include <stdint.h>

struct fg_pool;

/* At most threads_max threads, each with a stack of stack_bytes. */
struct fg_pool *fg_pool_new(uint32_t threads_max, uint32_t stack_bytes);

/* Runs fn(arg) on some thread, in order of submission. Never blocks. */
void fg_pool_submit(struct fg_pool *p, void (*fn)(void *arg), void *arg);

/* Waits for all work submitted, ends all threads and frees. */
void fg_pool_free(struct fg_pool *p);

#endif
