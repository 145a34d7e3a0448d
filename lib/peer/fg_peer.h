/*
 * fg_peer - transport of messages between instances, in batches over ONC RPC.
 *
 * One thread serves incoming calls. Each peer has a bounded queue and a sender
 * thread that drains it, so that a slow peer does not delay the others. Sending
 * never blocks. A message that is lost, refused or does not fit the queue is
 * dropped and counted; decision modules repeat the messages that matter. The
 * sender thread sends as soon as it is idle; messages that were queued in the
 * meantime go as one batch. After 30 s without messages the thread and its
 * connection end until the next message.
 *
 * Apart from start and stop, the functions may be called from any thread.
 */
#ifndef FG_PEER_H
#define FG_PEER_H

#include <glib.h>
#include <stdint.h>

#include "peer/fg_msg.h"

#define FG_PEER_ERROR (fg_peer_error_quark())
GQuark fg_peer_error_quark(void);

enum fg_peer_error {
	FG_PEER_ERR_ADDRESS, /* the address is not "IP:port" */
	FG_PEER_ERR_BIND,    /* the address cannot be listened on */
};

struct fg_peer;

/* Called by the server thread or a sender thread for each message received.
 * `from` is the sender's instance id; the message is borrowed. The function
 * must not block, since that delays all other messages, and must not call
 * fg_peer_stop(). */
typedef void (*fg_peer_receive_fn)(void *arg, uint64_t from, const fg_msg *msg);

struct fg_peer_conf {
	const char *listen;  /* "127.0.0.1:7001" */
	uint64_t self;	     /* own instance id, sent as fg_batch.from */
	uint32_t timeout_ms; /* of one exchange */
	uint32_t queue_max;  /* messages queued per peer */
};

/* Starts listening. conf is copied. Returns NULL with `error` set
 * (FG_PEER_ERROR) when the address is invalid or cannot be listened on. */
struct fg_peer *fg_peer_start(const struct fg_peer_conf *conf,
			      fg_peer_receive_fn receive, void *arg,
			      GError **error);

/* Waits for all threads to end and frees p; queued messages are dropped. */
void fg_peer_stop(struct fg_peer *p);

/* Queues a copy of msg for instance `id` at address "IP:port". A running sender
 * thread keeps the address that it was started with. */
void fg_peer_send(struct fg_peer *p, uint64_t id, const char *addr,
		  const fg_msg *msg);

/* Ends the sender of an instance that has left; its queue is dropped. */
void fg_peer_remove(struct fg_peer *p, uint64_t id);

/* For tests and scenarios: while cut is not 0, drops all messages to and from
 * an instance. */
void fg_peer_set_cut(struct fg_peer *p, uint64_t id, int cut);

/* Totals since the start. A message counts as sent when it was passed to the
 * connection, since most exchanges do not wait for their reply. Bytes are those
 * of the RPC records, without the overhead of TCP. */
struct fg_peer_counters {
	uint64_t sent_msgs, sent_bytes, received_msgs, received_bytes;
	uint64_t dropped_msgs, exchanges, failed_exchanges;
};
void fg_peer_get_counters(const struct fg_peer *p,
			  struct fg_peer_counters *out);

#endif
