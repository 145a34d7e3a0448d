/*
 * fg_exchange - one request over HTTP and its answer.
 *
 * Connects the HTTP thread, which owns the connection, with the threads that
 * produce the answer. Reference counted: the HTTP connection, the table of open
 * exchanges and a running attempt hold one reference each. All functions are
 * thread safe.
 */
#ifndef FG_EXCHANGE_H
#define FG_EXCHANGE_H

#include <glib.h>
#include <microhttpd.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "memory/fg_memory.h"

struct fg_exchange {
	int refs; /* atomic */
	uint64_t id;
	struct MHD_Connection *connection;
	char *tag;  /* the caller's own id */
	bool plain; /* request to a plain service: the answer is JSON */
	int cls;    /* enum fg_class; -1: an operator's call */
	int64_t began_ms;
	bool stream;
	bool answered;	     /* a response was queued; HTTP thread only */
	volatile int cancel; /* set when the caller closes the connection */
	GString *body;	     /* of the request; HTTP thread only, and guarded
				by fg_run.memory_lock while it is read */
	struct fg_memory_holder memory; /* guarded by the same */
	bool gave_way;			/* the same: its body was dropped */
	bool too_large;
	bool submitted;
	pthread_mutex_t lock; /* guards all members below */
	bool suspended;
	bool closed; /* the connection has ended */
	bool done;   /* the answer is complete */
	uint32_t status;
	uint32_t retry_after_ms;
	uint32_t pieces;
	GString *pending_text; /* of the answer, not yet passed to MHD */
};

/* Returns an exchange with one reference. Borrows the connection. */
struct fg_exchange *fg_exchange_new(uint64_t id,
				    struct MHD_Connection *connection);
struct fg_exchange *fg_exchange_ref(struct fg_exchange *x);

/* Drops a reference; NULL is allowed. */
void fg_exchange_unref(struct fg_exchange *x);

/* Suspends the connection until part of the answer is available. */
void fg_exchange_suspend(struct fg_exchange *x);

/* Appends one piece of a streamed answer. It must be a complete line. */
void fg_exchange_add_piece(struct fg_exchange *x, const char *line);

/* Appends the final part of the answer and completes it. Later calls have no
 * effect. retry_after_ms 0: no Retry-After header. */
void fg_exchange_finish(struct fg_exchange *x, uint32_t status,
			uint32_t retry_after_ms, const char *text);

/* The connection ended: all further parts of the answer are dropped. */
void fg_exchange_close(struct fg_exchange *x);

/* Creates the response for MHD and sets *status. The response has the whole
 * text if the answer is complete and without pieces; otherwise it is a
 * stream. */
struct MHD_Response *fg_exchange_create_response(struct fg_exchange *x,
						 uint32_t *status);

#endif
