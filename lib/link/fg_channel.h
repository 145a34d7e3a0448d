/*
 * fg_channel - HTTP client of an event loop, for one request at a time.
 *
 * The connection to the address is opened when it is needed and reused while it
 * is healthy; it is closed after a failure or a timeout. All functions and
 * callbacks run on the thread of the loop.
 */
#ifndef FG_CHANNEL_H
#define FG_CHANNEL_H

#include <uv.h>

#include "wire/fg_wire.h"

struct fg_channel;

/*
 * Called once for each request, with the status, from 200 to 599, and body of
 * the complete answer. The body is followed by a NUL byte and valid during the
 * call. Status 0 with a NULL body: no complete answer that can be read arrived
 * in time; the server may have executed the request, or may still do so.
 */
typedef void (*fg_channel_done_fn)(void *ctx, unsigned int status,
				   const char *body, size_t len_bytes);

/* Creates an idle channel to `address` ("IP:PORT"), which is borrowed and must
 * outlive the channel. */
struct fg_channel *fg_channel_new(uv_loop_t *loop, const char *address);

/* Called with the head of each answer on the channel, before its body is read.
 */
typedef uint64_t (*fg_channel_head_fn)(void *ctx, const struct fg_channel *c,
				       const struct fg_h1_head *head);

/* Sets the function that gets the heads of answers; NULL: none. */
void fg_channel_set_head_hook(struct fg_channel *c, fg_channel_head_fn hook,
			      void *ctx);

/* Returns what the function returned for the head of the last answer. */
uint64_t fg_channel_head_result(const struct fg_channel *c);

/* From now on each request has a connection of its own: a second copy of an
 * answer that comes late cannot be taken for the answer to a later request,
 * where nothing else tells them apart. */
void fg_channel_use_once(struct fg_channel *c);

/* Drops a request in flight without a callback, closes the connection and frees
 * the channel; NULL is allowed. */
void fg_channel_free(struct fg_channel *c);

/* Closes the connection. A request in flight ends with status 0. */
void fg_channel_abort(struct fg_channel *c);

/* True while a request is in flight. */
bool fg_channel_is_busy(const struct fg_channel *c);

/* Sends a request and takes ownership of its memory. The channel must not be
 * busy. `done` is not called before the function returns. */
void fg_channel_send(struct fg_channel *c, struct fg_wire_request request,
		     uint32_t timeout_ms, fg_channel_done_fn done, void *ctx);

#endif
