/*
 * fg_peer_internal - what the sender and the server parts of fg_peer share.
 *
 * Lock order: fg_peer.lock, then the service lock of fg_peer_server.c. No
 * lock is held while a message is handed to the receiver.
 */
#ifndef FG_PEER_INTERNAL_H
#define FG_PEER_INTERNAL_H

#include <netinet/in.h>
#include <pthread.h>
#include <stdbool.h>
#include <sys/socket.h>

#include "peer/fg_peer.h"

#define FG_PEER_BATCH_BYTES 65536   /* soft limit of one batch */
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
	struct fg_peer_counters counters; /* changed by ck_pr_add_64() */

	pthread_mutex_t lock; /* guards all below */
	pthread_cond_t ended; /* a sender thread has ended */
	GHashTable *senders;  /* id -> struct fg_sender */
	GHashTable *cuts;     /* set of ids */
	uint32_t threads;     /* sender threads that run */
	bool stopping;
};

/* Parses "IP:port" or "[IP]:port"; host names are refused. */
bool fg_peer_addr_parse(const char *text, struct fg_peer_addr *out);

/* True when traffic with id is dropped. */
bool fg_peer_is_cut(struct fg_peer *p, uint64_t id);

/* Counts and hands over the messages of a batch that was received. */
void fg_peer_deliver(struct fg_peer *p, const fg_batch *batch,
		     size_t header_bytes);

/* Listens at addr and serves until fg_listener_stop(). */
struct fg_listener *fg_listener_start(struct fg_peer *p,
				      const struct fg_peer_addr *addr,
				      GError **error);

/* Ends the listener and its connections. Must not be called by a receiver. */
void fg_listener_stop(struct fg_listener *l);

/* Keeps a write to a closed connection from ending the process; for the
 * calling thread. */
void fg_peer_block_sigpipe(void);

/* Removes and frees all senders; waits for their threads. */
void fg_senders_stop(struct fg_peer *p);

#endif
