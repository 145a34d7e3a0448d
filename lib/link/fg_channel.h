/*
 * fg_channel - HTTP calls of this instance, one at a time, from an event loop.
 *
 * One call at a time per channel. A call ends with exactly one callback: with
 * the status and body of the answer, or with status 0 when no whole answer
 * came in time; it may then have been carried out, now or later. A connection
 * that failed or went silent is not used again.
 */
#ifndef FG_CHANNEL_H
#define FG_CHANNEL_H

#include <uv.h>

#include "wire/fg_wire.h"

struct fg_channel;

/* `body` is NUL-terminated behind len_bytes; NULL when status is 0. */
typedef void (*fg_channel_done_fn)(void *ctx, unsigned int status,
				   const char *body, size_t len_bytes);

/* `address` must stay valid. */
struct fg_channel *fg_channel_new(uv_loop_t *loop, const char *address);

/* Gives up a call in flight without a callback. */
void fg_channel_free(struct fg_channel *c);

/* Ends a call in flight as if its connection had failed. */
void fg_channel_abort(struct fg_channel *c);

bool fg_channel_is_busy(const struct fg_channel *c);

/* Sends a call (its memory is taken over). The channel must be idle. */
void fg_channel_send(struct fg_channel *c, struct fg_wire_request call,
		     uint32_t timeout_ms, fg_channel_done_fn done, void *ctx);

#endif
