/*
 * fg_exchange - one caller's request and its answer, between HTTP and node.
 *
 * Counted references: the HTTP connection, the table of open exchanges and a
 * running attempt each hold one. Thread safe.
 */
#ifndef FG_EXCHANGE_H
#define FG_EXCHANGE_H

#include <glib.h>
#include <microhttpd.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

struct fg_exchange {
	int refs; /* atomic */
	uint64_t id;
	struct MHD_Connection *connection;
	char *tag;  /* the caller's own id */
	bool plain; /* answer of a plain service: JSON */
	int cls;    /* enum fg_class; -1: an operator's call */
	int64_t began_ms;
	bool stream;
	bool answered;	     /* a response was queued; HTTP thread alone */
	volatile int cancel; /* set when the caller went away */
	GString *body;	     /* of the request; HTTP thread alone */
	bool too_large;
	bool submitted;
	pthread_mutex_t lock; /* guards what follows */
	bool suspended;
	bool closed; /* the connection is gone */
	bool done;   /* the answer is whole */
	uint32_t status;
	uint32_t retry_after_ms;
	uint32_t pieces;
	GString *out; /* answer not yet taken */
};

struct fg_exchange *fg_exchange_new(uint64_t id,
				    struct MHD_Connection *connection);
struct fg_exchange *fg_exchange_ref(struct fg_exchange *x);
void fg_exchange_unref(struct fg_exchange *x);

/* Suspends the connection until there is something to send. */
void fg_exchange_suspend(struct fg_exchange *x);

/* One piece of a streamed answer, a whole line. */
void fg_exchange_piece(struct fg_exchange *x, const char *line);

/* The final answer. */
void fg_exchange_finish(struct fg_exchange *x, uint32_t status,
			uint32_t retry_after_ms, const char *text);

/* The connection ended: later answers are dropped. */
void fg_exchange_close(struct fg_exchange *x);

/* The response for MHD: whole if the answer is done before any piece went
 * out, else a stream. */
struct MHD_Response *fg_exchange_response(struct fg_exchange *x,
					  uint32_t *status);

#endif
