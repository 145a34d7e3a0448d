/*
 * fg_peers - the other instances of the gateway: addresses and liveness.
 *
 * Each instance writes one row with its addresses to the store when it starts.
 * Liveness is learnt from heartbeats, without writes to the platform. An
 * instance whose heartbeats stop is down. An instance that has sent no
 * heartbeat since its row appeared is unknown and gets no callers.
 *
 * Does no I/O and reads no clock; the caller passes the time.
 */
#ifndef FG_PEERS_H
#define FG_PEERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/fg_clock.h"
#include "mesh/fg_mesh.h"

#define FG_PEER_TEXT_BYTES 96

/* Time without a heartbeat after which an instance is down. Heartbeats are sent
 * at least every 250 ms inside a region and every second between regions, so
 * that a few may be lost. */
#define FG_PEER_TIMEOUT_MS 1500
#define FG_PEER_CROSS_REGION_TIMEOUT_MS 3500
/* Time without a heartbeat after which rows are no longer read from an
 * instance: two heartbeats may be lost. */
#define FG_PEER_READER_TIMEOUT_MS 700

struct fg_peer_row {
	char name[FG_PEER_TEXT_BYTES];
	char region[FG_PEER_TEXT_BYTES];
	char dc[FG_PEER_TEXT_BYTES];
	char mesh[FG_PEER_TEXT_BYTES];	/* address for datagrams */
	char front[FG_PEER_TEXT_BYTES]; /* address for callers */
	uint64_t incarnation;		/* new for each start; never 0 */
	uint64_t version; /* of the row in the store; not part of its text */
};

struct fg_mesh_peer {
	struct fg_peer_row row;
	uint64_t hash; /* of the name */
	bool same_region;
	bool same_dc;
	/* Incarnation that forwards heartbeats between the data centres of a
	 * region; 0: none is known to. */
	uint64_t forwarding;
	fg_ms heartbeat_at; /* last one of this incarnation; 0: none */
	fg_ms row_seen_at;  /* when this version of its row was first read */
	/* Incarnation whose build is bound by marks of fg_retire; 0: none. */
	uint64_t binding;
	/* This instance is bound by a mark: takes it for dead whatever is heard
	 * of it, and sends it no heartbeats. */
	bool retired;
	bool listed; /* in the full read that is in progress, or the last one */
	uint32_t seq; /* of the newest heartbeat */
	fg_mesh_state state;
	fg_mesh_store store; /* as of store_at */
	fg_ms store_at;
	/* Difference between the clocks here and there plus the shortest time
	 * that a heartbeat was under way, and by how much the newest one took
	 * longer. */
	fg_ms min_delta_ms;
	fg_ms delta_at; /* min_delta_ms allows for drift since then */
	fg_ms excess_delay_ms;
	bool has_delta;
	fg_ms tunnel_failed_at; /* last tunnel through it; 0: none failed */
	fg_ms unproven_since;	/* heartbeats state no proof since then; 0: some
				 */
};

struct fg_peers;

/* Returns an empty set; `self`, the row of this instance, is copied. */
struct fg_peers *fg_peers_new(const struct fg_peer_row *self);

/* Frees the set and its peers; NULL is allowed. */
void fg_peers_free(struct fg_peers *p);

/* Returns the row as text for the store, which the caller g_free()s. */
char *fg_peer_row_format(const struct fg_peer_row *row);

/* Parses the text of a row. Returns false when it is malformed. */
bool fg_peer_row_parse(const char *name, const char *text,
		       struct fg_peer_row *out);

/* Adds or updates the instance of a row that was read from the store. The row
 * of this instance and rows older than the known one are ignored. A new
 * incarnation starts without a heartbeat. */
void fg_peers_put(struct fg_peers *p, fg_ms now, const struct fg_peer_row *row);

/* Removes and frees an instance whose row was removed. */
void fg_peers_remove(struct fg_peers *p, const char *name);

/* A read of all rows begins, and ends: instances whose rows were not put in
 * between are removed, since the read does not show removals before it. */
void fg_peers_begin_full_read(struct fg_peers *p);
void fg_peers_end_full_read(struct fg_peers *p);

/* Records a heartbeat; the state of one older than the newest is ignored.
 * Returns the sender, or NULL when no row of that incarnation is known. */
struct fg_mesh_peer *fg_peers_on_heartbeat(struct fg_peers *p, fg_ms now,
					   uint64_t incarnation, uint32_t seq,
					   const fg_mesh_heartbeat *hb);

/* Returns the instance with that incarnation, owned by the set, or NULL. */
struct fg_mesh_peer *fg_peers_find(struct fg_peers *p, uint64_t incarnation);

/* Returns all other instances (struct fg_mesh_peer *), owned by the set. */
const GPtrArray *fg_peers_all(const struct fg_peers *p);

/* Returns the number of other instances that are alive. */
uint32_t fg_peers_count_alive(const struct fg_peers *p, fg_ms now);

/* True when the last heartbeat is recent, also of an instance that is retired.
 */
bool fg_peer_is_heard(const struct fg_mesh_peer *peer, fg_ms now);

/* True when the last heartbeat is recent and the instance is not retired. One
 * that is leaving is alive until its heartbeats stop. */
bool fg_peer_is_alive(const struct fg_mesh_peer *peer, fg_ms now);

/*
 * Returns the instance that relays the rows of the store to this instance. A
 * candidate is in the same region and data centre, reads the store itself, got
 * its last answer from the registry at most fresh_ms ago, has sent a heartbeat
 * within FG_PEER_READER_TIMEOUT_MS and has a lower hash than this instance. The
 * lowest hash is chosen. Returns NULL when there is no candidate: this instance
 * then reads the store.
 */
const struct fg_mesh_peer *fg_peers_find_reader(const struct fg_peers *p,
						fg_ms now, uint32_t fresh_ms);

/* True when no live instance of the data centre has a lower hash. */
bool fg_peers_is_first_in_dc(const struct fg_peers *p, fg_ms now);

/*
 * True when heartbeats for another data centre are sent to this peer. Traffic
 * between data centres is billed by volume, so only the instances that read the
 * store get them and forward them in their data centre. While no such instance
 * is known in a data centre, all its instances get them. Inside a region this
 * holds as well as between regions, but only for an instance that is known to
 * forward heartbeats of its region and was heard within
 * FG_PEER_READER_TIMEOUT_MS.
 */
bool fg_peers_is_target(const struct fg_peers *p, fg_ms now,
			const struct fg_mesh_peer *peer);

/* Text of a row that tells what this build can do, which the caller g_free()s.
 * Builds without such a row forward no heartbeats inside their region and are
 * bound by no marks. */
char *fg_peer_features_format(uint64_t incarnation);

/* Applies the text of such a row of the instance with this name; NULL: the row
 * was removed. */
void fg_peers_put_features(struct fg_peers *p, const char *name,
			   const char *text);

/* True when callers may be sent to the instance: it is alive and its state is
 * FG_MESH_READY. */
bool fg_peer_is_ready(const struct fg_mesh_peer *peer, fg_ms now);

#endif
