/*
 * fg_peer_internal - shared by the sender and the server part of fg_peer.
 *
 * Lock order: fg_peer.lock, then the service lock of fg_peer_server.c. The
 * receive function is called with no lock held.
 */
#ifndef FG_PEER_INTERNAL_H
#define FG_PEER_INTERNAL_H

#include <netinet/in.h>
#include <pthread.h>
#include <stdbool.h>
#include <sys/socket.h>

#include "peer/fg_peer.h"

#define FG_PEER_BATCH_BYTES 65536   /* a larger message is sent alone */
#define FG_PEER_RECORD_BYTES 131072 /* largest RPC record accepted */
#define FG_RPC_CALL_BYTES 44	    /* record mark and call header */
#define FG_RPC_REPLY_BYTES 28	    /* record mark and reply header */

struct fg_peer_addr {
	struct sockaddr_storage sa;
	socklen_t len_bytes;
};

struct fg_listener;

struct fg_peer {
	uint64_t self;
	uint32_t timeout_ms;
	uint32_t queue_max;
	fg_peer_receive_fn receive;
	void *arg;
	struct fg_listener *listener;
	struct fg_peer_counters counters; /* updated by ck_pr_add_64() */

	pthread_mutex_t lock;	     /* guards the fields below */
	pthread_cond_t sender_ended; /* a sender thread has ended */
	GHashTable *senders;	     /* id -> struct fg_sender */
	GHashTable *cut_ids;	     /* set of instance ids */
	uint32_t n_sender_threads;
	bool stopping;
};

/* Parses "IP:port" or "[IP]:port"; false for anything else, host names
 * included. */
bool fg_peer_addr_parse(const char *text, struct fg_peer_addr *out);

/* True while messages to and from instance `id` are dropped. */
bool fg_peer_is_cut(struct fg_peer *p, uint64_t id);

/* Counts a received batch and passes its messages to the receive function. A
 * batch of another format, for another instance or from an instance that is cut
 * is dropped. header_bytes is the size of the RPC header. */
void fg_peer_deliver(struct fg_peer *p, const fg_batch *batch,
		     size_t header_bytes);

/* Listens on addr until fg_listener_stop(). Returns NULL with `error` set when
 * that fails. */
struct fg_listener *fg_listener_start(struct fg_peer *p,
				      const struct fg_peer_addr *addr,
				      GError **error);

/* Closes the listener and its connections and waits for that. Must not be
 * called by the receive function. */
void fg_listener_stop(struct fg_listener *l);

/* Blocks SIGPIPE in the calling thread, since a write to a closed connection
 * would otherwise end the process. */
void fg_peer_block_sigpipe(void);

/* Removes all senders and waits for their threads. */
void fg_senders_stop(struct fg_peer *p);

#endif
