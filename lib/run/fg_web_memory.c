/* Memory that requests of callers hold, and the order in which large ones are
 * parsed. */
#include <malloc.h>
#include <string.h>

#include "run/fg_run_internal.h"

/* Parsed bodies take up to 50 times their size. Larger ones than this are
 * parsed one at a time. */
#define PARSED_ALONE_BYTES (64 * 1024)

/* Returns what GLib allocates for a string of that length. */
static uint64_t string_bytes(uint64_t len)
{
	return (uint64_t)1 << g_bit_storage(len + 1);
}

void fg_web_open_exchange(struct fg_run *run, struct fg_exchange *x)
{
	pthread_mutex_lock(&run->memory_lock);
	fg_memory_open(&run->memory, &x->memory, x);
	pthread_mutex_unlock(&run->memory_lock);
}

void fg_web_close_exchange(struct fg_run *run, struct fg_exchange *x)
{
	pthread_mutex_lock(&run->memory_lock);
	fg_memory_close(&run->memory, &x->memory);
	pthread_mutex_unlock(&run->memory_lock);
}

/* The caller holds the lock. */
static void drop_body(struct fg_run *run, struct fg_exchange *x)
{
	g_string_free(x->body, TRUE);
	x->body = g_string_new(NULL);
	(void)fg_memory_ask(&run->memory, &x->memory, 0, fg_clock_now());
}

/* The caller holds the lock. */
static void give_way(struct fg_run *run, struct fg_exchange *x)
{
	fg_counter_add(run->gave_way, 1);
	x->gave_way = true;
	drop_body(run, x);
}

void fg_web_append_body(struct fg_run *run, struct fg_exchange *x,
			const char *data, size_t len_bytes)
{
	fg_ms now = fg_clock_now();
	uint64_t bytes;

	pthread_mutex_lock(&run->memory_lock);
	if (x->body->len + len_bytes > run->settings->limits.body_max_bytes) {
		x->too_large = true;
		drop_body(run, x);
	}
	fg_memory_note_received(&x->memory, len_bytes, now);
	bytes = string_bytes(x->body->len + len_bytes);
	while (!x->gave_way && !x->too_large) {
		struct fg_memory_holder *loser =
			fg_memory_ask(&run->memory, &x->memory, bytes, now);

		if (loser == NULL)
			break;
		give_way(run, loser->owner);
	}
	if (!x->gave_way && !x->too_large)
		g_string_append_len(x->body, data, (gssize)len_bytes);
	pthread_mutex_unlock(&run->memory_lock);
}

bool fg_web_complete_body(struct fg_run *run, struct fg_exchange *x)
{
	bool whole;

	pthread_mutex_lock(&run->memory_lock);
	whole = !x->gave_way;
	x->memory.reading = false;
	pthread_mutex_unlock(&run->memory_lock);
	return whole;
}

bool fg_web_submit_alone(struct fg_run *run, struct fg_exchange *x,
			 const char *path, uint32_t *status, char **text)
{
	bool pending;

	if (x->body->len <= PARSED_ALONE_BYTES)
		return fg_web_submit(run, x, path, status, text);
	pthread_mutex_lock(&run->parse_lock);
	pending = fg_web_submit(run, x, path, status, text);
	(void)malloc_trim(0);
	pthread_mutex_unlock(&run->parse_lock);
	return pending;
}

void fg_web_memory_init(struct fg_run *run)
{
	pthread_mutex_init(&run->memory_lock, NULL);
	pthread_mutex_init(&run->parse_lock, NULL);
	fg_memory_init(&run->memory, run->settings->limits.caller_memory_bytes);
}

void fg_web_memory_clear(struct fg_run *run)
{
	fg_memory_clear(&run->memory);
	pthread_mutex_destroy(&run->parse_lock);
	pthread_mutex_destroy(&run->memory_lock);
}
