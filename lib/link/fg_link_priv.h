/* Parts of a link that the files of lib/link share. */
#ifndef FG_LINK_PRIV_H
#define FG_LINK_PRIV_H

#include "drain/fg_drain.h"
#include "link/fg_link.h"

struct fg_link {
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_shutdown_t shutdown;
	uv_timer_t timer; /* checks the peer, or a close with flush */
	const struct fg_link_ops *ops;
	void *ctx; /* NULL after fg_link_close() */
	size_t pending_bytes;
	GList flushing_node;	   /* in `flushing` */
	struct fg_drain drain;	   /* while flushing; in the loop's time */
	uint64_t in_transit_at_ms; /* last write, or check that saw bytes on
				      their way; both in the loop's time */
	int open_handles;	   /* tcp and timer; at 0 the link is freed */
	bool closed;		   /* by the user: no further callbacks */
	bool closing;		   /* the handles are being closed */
	bool connected;
	bool watched;	  /* see fg_link_has_lost_peer() */
	bool paused;	  /* is not read */
	bool flushing;	  /* closed, waits until the peer has all bytes */
	bool idle;	  /* closed while the peer had no answer to come */
	bool sent;	  /* the kernel has accepted all of them */
	bool peer_closed; /* its side, since then */
	int error;	  /* libuv's, that ended the link; 0: none */
	char label[FG_LINK_LABEL_BYTES];
	/* Of an answer before it that had not arrived when it was set, and its
	 * end in the bytes written. */
	char earlier_label[FG_LINK_LABEL_BYTES];
	uint64_t earlier_end_bytes;
	uint64_t written_bytes;
};

/* The link holds a descriptor from now on. */
void fg_link_count_open(void);

/* Returns whether a peer to which bytes are on their way has not answered for
 * too long. A closed window alone is no sign of that. */
bool fg_link_has_lost_peer(const struct fg_link *l);

/* Returns the label of the oldest answer that has not arrived and is followed
 * by another one; NULL: there is none. */
const char *fg_link_earlier_label(const struct fg_link *l);

/* Releases the descriptor, without another callback. */
void fg_link_close_handles(struct fg_link *l);

/* A closed link received n bytes; below 0: its peer's end. */
void fg_link_drop_read(struct fg_link *l, ssize_t n);

/* With `on`, closing the descriptor resets the connection. */
void fg_link_set_linger(const struct fg_link *l, bool on);

#endif
