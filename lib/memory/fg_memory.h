/*
 * fg_memory - the memory that an instance holds for its callers, and which of
 * them gives way when it runs out.
 *
 * Each connection of a caller is a holder. It is charged for requests (heads,
 * bodies, bytes that follow a request in progress), for an answer that is being
 * collected, and for answers that the caller has not read. Of the limit,
 *
 *   requests           may take 5/8: holders of more than FG_MEMORY_LARGE_BYTES
 *                      3/8 together, those of more than FG_MEMORY_SMALL_BYTES
 *                      1/2, so that large bodies leave room for ordinary
 *                      requests
 *   collected answers  may take 3/8, so that requests cannot leave the answers
 *                      to them without room
 *   unread answers     may take what both leave
 *
 * Within these bounds every charge is granted. Beyond them, the holder gives
 * way that holds most and advances least. For room for requests, only holders
 * whose request is still being read give way: a complete request keeps its
 * place, and so one that was passed on keeps its promise. For room within the
 * limit, callers give way that do not read their answers.
 *
 * Does no I/O and reads no clock. Times are readings of fg_clock_now().
 */
#ifndef FG_MEMORY_H
#define FG_MEMORY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/fg_clock.h"

#define FG_MEMORY_SMALL_BYTES 8192
#define FG_MEMORY_LARGE_BYTES 65536

/* Bytes of a transfer, of which half count after each half-life. */
struct fg_memory_pace {
	uint64_t recent_bytes;
	fg_ms at;
};

/* What one connection holds. Read-only for users but for `reading`. */
struct fg_memory_holder {
	void *owner;
	bool reading; /* its request is not complete */
	uint64_t request_bytes;
	uint64_t collected_bytes; /* of an answer that is not complete */
	uint64_t unread_bytes;	  /* of answers, queued for the caller */
	struct fg_memory_pace request_pace;
	struct fg_memory_pace answer_pace;
	guint index; /* in the list of holders */
};

struct fg_memory {
	GPtrArray *holders; /* struct fg_memory_holder * */
	uint64_t limit_bytes;
	uint64_t request_bytes;	  /* of all holders */
	uint64_t collected_bytes; /* the same */
	uint64_t unread_bytes;	  /* the same, and `flushing_bytes` */
	uint64_t flushing_bytes;  /* of closed connections */
	uint64_t peak_bytes;	  /* since fg_memory_take_peak() */
};

void fg_memory_init(struct fg_memory *m, uint64_t limit_bytes);

/* Frees the list. All holders must have been closed. */
void fg_memory_clear(struct fg_memory *m);

/* A connection was opened; `h` is borrowed until fg_memory_close(). */
void fg_memory_open(struct fg_memory *m, struct fg_memory_holder *h,
		    void *owner);

/* Gives back all that the holder was charged. */
void fg_memory_close(struct fg_memory *m, struct fg_memory_holder *h);

/* Returns the largest request that is served when nothing else is held. */
uint64_t fg_memory_largest_request(const struct fg_memory *m);

/*
 * `h` wants to hold `bytes` for requests, instead of what it is charged now.
 * Returns NULL when that was granted and charged; always so for less than it
 * holds. Otherwise nothing is charged, and the result is the holder that has to
 * give way: another one, after which the call is repeated, or `h` itself.
 */
struct fg_memory_holder *fg_memory_ask(struct fg_memory *m,
				       struct fg_memory_holder *h,
				       uint64_t bytes, fg_ms now);

/* Returns whether an empty holder could hold that much for a request now, with
 * none giving way. */
bool fg_memory_has_room(const struct fg_memory *m, uint64_t bytes);

/* Bytes of the holder's request arrived, without framing. To be called before
 * fg_memory_ask() for them. */
void fg_memory_note_received(struct fg_memory_holder *h, uint64_t bytes,
			     fg_ms now);

/* Returns whether `bytes` more of an answer may be collected, once there is
 * room within the limit. */
bool fg_memory_may_collect(const struct fg_memory *m, uint64_t bytes);

/* Returns whether `bytes` more, of any kind, would exceed the limit: then
 * callers give way first that do not read their answers. */
bool fg_memory_exceeds(const struct fg_memory *m, uint64_t bytes);

/* Returns whether answers hold more than the part that requests cannot take. */
bool fg_memory_answers_crowd(const struct fg_memory *m);

/* Set what is held of answers. These charges are never refused. */
void fg_memory_set_collected(struct fg_memory *m, struct fg_memory_holder *h,
			     uint64_t bytes);
void fg_memory_set_unread(struct fg_memory *m, struct fg_memory_holder *h,
			  uint64_t bytes, fg_ms now);
void fg_memory_set_flushing(struct fg_memory *m, uint64_t bytes);

/* Returns the holder that is to be dropped first for room within the limit: it
 * has unread bytes, and takes them slowest. NULL: none has. */
struct fg_memory_holder *fg_memory_choose_unread(const struct fg_memory *m,
						 fg_ms now);

/* Returns what is held in all. */
uint64_t fg_memory_held_bytes(const struct fg_memory *m);

/* Changes the limit. If more is held, fg_memory_choose_over() and
 * fg_memory_choose_unread() say who gives way. */
void fg_memory_set_limit(struct fg_memory *m, uint64_t limit_bytes);

/* Returns the holder that gives way because more is held for requests than the
 * limit allows; NULL: not more is held, or none can give way. */
struct fg_memory_holder *fg_memory_choose_over(const struct fg_memory *m,
					       fg_ms now);

/* Returns the most that was held at a time since the last call. */
uint64_t fg_memory_take_peak(struct fg_memory *m);

#endif
