/*
 * fg_link - TCP connections of an event loop (libuv).
 *
 * A link is a connected or connecting stream. Writes are queued and never
 * block; fg_link_pending_bytes() tells how much the peer has not taken yet.
 * Links find dead peers by keep-alive probes and a limit on unacknowledged
 * data, so that a peer that falls silent ends the link in a few seconds.
 *
 * All links of a process belong to one loop: they share a buffer for reading.
 * Callbacks run on the loop's thread. After fg_link_close() no callback comes;
 * the memory is released once the loop has closed the socket.
 */
#ifndef FG_LINK_H
#define FG_LINK_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

struct fg_link;

enum fg_link_end {
	FG_LINK_EOF = 1,     /* the peer closed its side in order */
	FG_LINK_RESET = 2,   /* reset, timed out, or another error */
	FG_LINK_REFUSED = 3, /* the connection was never established */
};

struct fg_link_ops {
	void (*on_open)(void *ctx); /* of fg_link_connect() */
	void (*on_data)(void *ctx, const char *data, size_t len_bytes);
	void (*on_end)(void *ctx, enum fg_link_end end);
	void (*on_drained)(void *ctx); /* all writes were taken; may be NULL */
};

/* Connects to "IP:PORT"; NULL when the address cannot be read or no
 * descriptor is left. */
struct fg_link *fg_link_connect(uv_loop_t *loop, const char *address,
				const struct fg_link_ops *ops, void *ctx);

/* Takes a connection from a listening socket; NULL on failure. */
struct fg_link *fg_link_accept(uv_stream_t *listener,
			       const struct fg_link_ops *ops, void *ctx);

void fg_link_set_ctx(struct fg_link *l, void *ctx);

/* Queues a copy of the bytes. */
void fg_link_write(struct fg_link *l, const char *data, size_t len_bytes);

/* Bytes queued and not yet taken by the kernel. */
size_t fg_link_pending_bytes(const struct fg_link *l);

/* Stops and resumes reading. */
void fg_link_pause(struct fg_link *l);
void fg_link_resume(struct fg_link *l);

/* Closes; with `flush` queued bytes are sent first. */
void fg_link_close(struct fg_link *l, bool flush);

/* Closes so that the peer sees a reset, never the end of a message. */
void fg_link_abort(struct fg_link *l);

/* Opens a listening socket on "IP:PORT"; a negative libuv error otherwise. */
int fg_link_listen(uv_loop_t *loop, uv_tcp_t *listener, const char *address,
		   uv_connection_cb on_connection);

/* Splits "IP:PORT" of IPv4; false when malformed. */
bool fg_link_parse_address(const char *address, struct sockaddr_in *out);

#endif
