/*
 * fg_peers - the other instances: where they are and whether they live.
 *
 * Each instance writes one row when it starts; from these rows the others
 * learn its addresses. Whether it lives is learnt from its heartbeats: nobody
 * writes to the platform for that. An instance that was heard once and falls
 * silent is down; one that was never heard since its row appeared is unknown
 * and gets no callers.
 *
 * Pure.
 */
#ifndef FG_PEERS_H
#define FG_PEERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/fg_clock.h"
#include "mesh/fg_mesh.h"

#define FG_PEER_TEXT_BYTES 96

/* Heartbeats come at least each 250 ms inside a region and each second between
 * regions; these allow a few to be lost. */
#define FG_PEER_TIMEOUT_MS 1500
#define FG_PEER_CROSS_REGION_TIMEOUT_MS 3500
/* Rows are taken from a neighbour only while it is heard this lately: two
 * heartbeats may be lost. */
#define FG_PEER_READER_TIMEOUT_MS 700

struct fg_peer_row {
	char name[FG_PEER_TEXT_BYTES];
	char region[FG_PEER_TEXT_BYTES];
	char dc[FG_PEER_TEXT_BYTES];
	char mesh[FG_PEER_TEXT_BYTES];	/* address of its datagrams */
	char front[FG_PEER_TEXT_BYTES]; /* address for callers */
	uint64_t incarnation;
};

struct fg_mesh_peer {
	struct fg_peer_row row;
	uint64_t hash;	    /* of the name */
	bool same_region;   /* same region */
	fg_ms heartbeat_at; /* last heartbeat of this incarnation; 0: none */
	fg_ms row_seen_at;  /* when the row appeared */
	uint32_t seq;
	fg_mesh_state state;
	fg_mesh_store store; /* as of store_at */
	fg_ms store_at;
};

struct fg_peers;

struct fg_peers *fg_peers_new(const struct fg_peer_row *self);
void fg_peers_free(struct fg_peers *p);

/* Row of this instance as text, and back. False when it cannot be read. */
char *fg_peer_row_format(const struct fg_peer_row *row);
bool fg_peer_row_parse(const char *name, const char *text,
		       struct fg_peer_row *out);

/* A row was read, or removed. The own row is ignored. */
void fg_peers_put(struct fg_peers *p, fg_ms now, const struct fg_peer_row *row);
void fg_peers_remove(struct fg_peers *p, const char *name);

/* A heartbeat came; NULL when its sender has no row here yet. */
struct fg_mesh_peer *fg_peers_on_heartbeat(struct fg_peers *p, fg_ms now,
					   uint64_t incarnation, uint32_t seq,
					   const fg_mesh_heartbeat *hb);

struct fg_mesh_peer *fg_peers_find(struct fg_peers *p, uint64_t incarnation);

/* All others (struct fg_mesh_peer *). */
const GPtrArray *fg_peers_all(const struct fg_peers *p);

/* How many others live. */
uint32_t fg_peers_count_alive(const struct fg_peers *p, fg_ms now);

/* Heard of lately; a leaving one lives until it falls silent. */
bool fg_peer_is_alive(const struct fg_mesh_peer *peer, fg_ms now);

/*
 * The neighbour that reads the platform's store for this instance: of the same
 * data centre, reading itself, with an answer of the registry no older than
 * fresh_ms, and the first by hash. NULL when this instance comes before all of
 * them and reads for itself.
 */
const struct fg_mesh_peer *fg_peers_find_reader(const struct fg_peers *p,
						fg_ms now, uint32_t fresh_ms);

/* Is this instance the first by hash among the live ones of its data centre? */
bool fg_peers_is_first_in_dc(const struct fg_peers *p, fg_ms now);

/*
 * Should a heartbeat for another region be sent to this peer? Traffic between
 * regions is paid by volume, so that in each data centre those that read the
 * store get it and pass it on; all, while none there is known to.
 */
bool fg_peers_is_cross_region_target(const struct fg_peers *p, fg_ms now,
				     const struct fg_mesh_peer *peer);

/* May callers be sent to it? */
bool fg_peer_is_ready(const struct fg_mesh_peer *peer, fg_ms now);

#endif
