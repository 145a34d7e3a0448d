/*
 * fg_link - TCP connections of an event loop (libuv).
 *
 * A link is a connected or connecting stream. Writes never block; what the
 * kernel does not accept at once is queued, and fg_link_pending_bytes() returns
 * how much that is. Keep-alive probes and a time limit for unacknowledged data
 * end a link in a few seconds when its peer no longer answers; one that was
 * accepted outlasts a peer that answers and reads slowly.
 *
 * All links of a process must belong to one loop, since they share a buffer for
 * reading. Callbacks run on the thread of the loop. The user releases each link
 * by fg_link_close() or fg_link_abort(), also after on_end, and must not use it
 * any more. No callback follows; the memory is freed once the loop has closed
 * the socket.
 */
#ifndef FG_LINK_H
#define FG_LINK_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

struct fg_link;

#define FG_LINK_LABEL_BYTES 72

enum fg_link_end {
	FG_LINK_EOF = 1,     /* the peer closed its side in an orderly way */
	FG_LINK_RESET = 2,   /* reset, timeout or another error */
	FG_LINK_REFUSED = 3, /* the connection was not established */
};

struct fg_link_ops {
	/* Connected. Not called for links of fg_link_accept(). */
	void (*on_open)(void *ctx);
	/* `data` is valid during the call. */
	void (*on_data)(void *ctx, const char *data, size_t len_bytes);
	/* The peer ended the stream, or the link failed. The callee closes the
	 * link. */
	void (*on_end)(void *ctx, enum fg_link_end end);
	/* The kernel has accepted all queued bytes. May be NULL. */
	void (*on_drained)(void *ctx);
};

/* Starts to connect to "IP:PORT". `ops` is borrowed for the life of the link.
 * Returns NULL when the address is invalid or no descriptor is left. */
struct fg_link *fg_link_connect(uv_loop_t *loop, const char *address,
				const struct fg_link_ops *ops, void *ctx);

/* Accepts a connection from a listening socket; NULL on failure. */
struct fg_link *fg_link_accept(uv_stream_t *listener,
			       const struct fg_link_ops *ops, void *ctx);

/* Accepts a connection that waits in the listening socket's queue, before the
 * loop tells of it; NULL if there is none, or on failure. */
struct fg_link *fg_link_accept_queued(uv_tcp_t *listener,
				      const struct fg_link_ops *ops, void *ctx);

/* Writes the IPv4 address of the other side without its port; "" if unknown. */
void fg_link_peer_ip(const struct fg_link *l, char *out, size_t size);

/* From now on the kernel resets the connection when the process ends or the
 * link is closed, instead of ending it in an orderly way, unless
 * fg_link_close() with `flush` has sent all bytes. */
void fg_link_reset_on_exit(const struct fg_link *l);

/* Names the answer that is written from now on, for log lines about the end of
 * the link. The text is copied, up to FG_LINK_LABEL_BYTES - 1; NULL: none. */
void fg_link_set_label(struct fg_link *l, const char *label);

/* Returns how the link ended, after on_end(): "closed" by the peer, "reset",
 * "timed_out" because the peer did not answer, or "failed". */
const char *fg_link_end_name(const struct fg_link *l);

/* Logs that the link ends with bytes that its peer has not received, if there
 * are any: at level info when the peer ended it, else at warn. */
void fg_link_log_cut(const struct fg_link *l, const char *reason);

/* Copies bytes that have arrived and were not read yet, without reading them.
 * Returns how many, at most `size`. */
size_t fg_link_peek(const struct fg_link *l, char *out, size_t size);

/* Replaces the argument of the callbacks. */
void fg_link_set_ctx(struct fg_link *l, void *ctx);

/* Sends the bytes; those that the kernel does not accept are copied and queued.
 * Does not block. */
void fg_link_write(struct fg_link *l, const char *data, size_t len_bytes);

/* As fg_link_write(), followed by the bytes of `body`, which are not copied:
 * the link holds a reference until they were sent. NULL: none. */
void fg_link_write_with_body(struct fg_link *l, const char *data,
			     size_t len_bytes, GBytes *body);

/* Returns the number of queued bytes that the kernel has not accepted. */
size_t fg_link_pending_bytes(const struct fg_link *l);

/* Returns the number of bytes that the kernel has not accepted. Unlike
 * fg_link_pending_bytes(), this also falls within a write. */
size_t fg_link_unsent_bytes(const struct fg_link *l);

/* Returns the number of bytes that the kernel has accepted and the peer has not
 * acknowledged; 0 where the kernel does not tell. */
size_t fg_link_unacked_bytes(const struct fg_link *l);

/* Returns whether the peer may still be reading: bytes are on their way in
 * either direction, or were less than 2 s ago. Closing the descriptor now could
 * reset the connection before it has read all. */
bool fg_link_may_be_read(struct fg_link *l);

/* What the kernel knows of a connection's peer. */
struct fg_link_signs {
	uint32_t since_ack_ms; /* since its last acknowledgement */
	uint32_t probes;      /* unanswered, of a closed window or keep-alive */
	uint32_t unacked;     /* packets */
	uint32_t retransmits; /* of the oldest of them, unanswered */
};

/* Returns whether the peer no longer answers. One that reads slowly does: it
 * acknowledges packets, and probes while its window is closed. */
bool fg_link_is_peer_gone(const struct fg_link_signs *signs);

/* Stop and resume reading. The kernel keeps little of a link that is not read,
 * besides what it had received by then. */
void fg_link_pause(struct fg_link *l);
void fg_link_resume(struct fg_link *l);

/* Returns what the kernel keeps of a link that is not read, or may soon; 0 for
 * one that is. */
size_t fg_link_unread_bytes(const struct fg_link *l);

/*
 * Closes the link. With `flush`, what was written is delivered first, within
 * 60 s, as long as the peer takes some of it every 5 s; otherwise the link is
 * reset. Meanwhile, and for 2 s after the peer has acknowledged all, what it
 * sends is read and dropped, up to 16 MiB, until it closes its side: bytes that
 * are unread, or come later, would reset the connection and destroy what the
 * peer has not read yet (RFC 9112, section 9.6).
 */
void fg_link_close(struct fg_link *l, bool flush);

/* As fg_link_close() with `flush`, for a link on which the peer has no answer
 * to come. Once it has acknowledged all, bytes that it sends reset the link, so
 * that it does not wait for an answer to them. */
void fg_link_close_idle(struct fg_link *l);

/* Returns how many links there are that hold a descriptor, also closed ones
 * that are not freed yet. */
uint32_t fg_link_open_count(void);

/* Returns how many closed links wait for their peers to receive all, or to
 * close their side. */
uint32_t fg_link_flushing_count(void);

/* Bytes that these links have not sent yet. */
uint64_t fg_link_flushing_bytes(void);

/* Resets the one of these links that has the most bytes left to send. Returns
 * false when none has any. */
bool fg_link_abort_largest_flushing(void);

/* Ends the one of these links that was closed first, of those whose peer has
 * acknowledged all. Returns false when there is none. */
bool fg_link_end_delivered(void);

/* Ends the one of these links that was closed first, of those whose peer has
 * acknowledged all, if there are any: by a reset, unless the kernel has
 * accepted all. Returns false when there is none. */
bool fg_link_abort_oldest_flushing(void);

/* Ends these links: resets those with queued bytes, and drops what the others
 * have not read, so that the kernel delivers the rest. To be called before
 * their event loop is torn down. */
void fg_link_abort_flushing(void);

/* Closes the link by a reset, so that the peer cannot take the end of the
 * stream for the end of a message. */
void fg_link_abort(struct fg_link *l);

/* Listens on "IP:PORT". Returns 0 or a negative libuv error. */
int fg_link_listen(uv_loop_t *loop, uv_tcp_t *listener, const char *address,
		   uv_connection_cb on_connection);

#endif
