/*
 * fg_peer - sends and receives batches of messages over ONC RPC.
 *
 * One server thread takes calls; one sender thread per peer drains a bounded
 * queue, so that a slow peer delays nobody else. Sending never blocks. Lost
 * and refused messages are dropped and counted: the decision modules repeat
 * what matters. A message leaves as soon as its sender thread is free; what
 * gathers meanwhile goes as one batch. A sender without messages for 30 s ends
 * its thread and connection until the next message.
 *
 * "Sent" in the counters means handed to the connection: most exchanges do
 * not wait for their reply. Bytes are those of the RPC records, without TCP.
 */
#ifndef FG_PEER_H
#define FG_PEER_H

#include <glib.h>
#include <stdint.h>

#include "peer/fg_msg.h"

#define FG_PEER_ERROR (fg_peer_error_quark())
GQuark fg_peer_error_quark(void);

enum fg_peer_error {
	FG_PEER_ERR_ADDRESS, /* not "IP:port" */
	FG_PEER_ERR_BIND,
};

struct fg_peer;

/* Called for each message received, by the server or a sender thread. The
 * message is borrowed. It must not block, since it delays all that is received,
 * and must not stop the peer. */
typedef void (*fg_peer_receive_fn)(void *arg, uint64_t from, const fg_msg *msg);

struct fg_peer_conf {
	const char *listen;  /* "127.0.0.1:7001" */
	uint64_t self;	     /* instance id, sent as fg_batch.from */
	uint32_t timeout_ms; /* of one exchange */
	uint32_t queue_max;  /* messages waiting per peer */
};

/* Starts the server thread; NULL with error set when it cannot listen. */
struct fg_peer *fg_peer_start(const struct fg_peer_conf *conf,
			      fg_peer_receive_fn receive, void *arg,
			      GError **error);

/* Stops all threads and frees; messages in the queues are dropped. */
void fg_peer_stop(struct fg_peer *p);

/* Queues a copy of msg for instance id at its inner address "IP:port". */
void fg_peer_send(struct fg_peer *p, uint64_t id, const char *addr,
		  const fg_msg *msg);

/* Ends the sender of an instance that is gone. */
void fg_peer_remove(struct fg_peer *p, uint64_t id);

/* Test and scenario hook: drops all traffic to and from an instance. */
void fg_peer_set_cut(struct fg_peer *p, uint64_t id, int cut);

struct fg_peer_counters {
	uint64_t sent_msgs, sent_bytes, received_msgs, received_bytes;
	uint64_t dropped_msgs, exchanges, failed_exchanges;
};
void fg_peer_get_counters(const struct fg_peer *p,
			  struct fg_peer_counters *out);

#endif
