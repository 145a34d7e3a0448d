/*
 * fg_member - which instances are live, and whether this one may act.
 *
 * Pure: events and the time go in, actions come out.
 *
 * Each instance keeps one lease row, session/<name>, in the platform's table.
 * Nobody compares clocks: a lease has lapsed for a reader that saw its row
 * unchanged in two reads lease_ms apart on its own clock. The holder counts
 * its lease as fresh for own_lease_ms only, from when it sent the renewal.
 *
 * Liveness comes from three sources: lease rows, the platform's lagging list,
 * and pings. Each instance pings `ping_fanout` neighbours on a hash ring of its
 * region and a few at random, never all, so that traffic per instance does
 * not grow with their number. A suspicion is passed on by LEAVING messages
 * that name the suspect; it decides nothing, it only brings forward the next
 * read of that one lease row.
 *
 * An instance is DEAD when its lease row is gone. A lapsed row is deleted by
 * one of the region's live instances, and only after that one
 *  - saw the lease lapse, and scanned all rows since,
 *  - had pings answered, sent after that, which tell that the platform is
 *    reachable, by so many of the region's instances that they and two thirds
 *    of those whom the holder counted cannot be apart, and
 *  - waited reachable_ms more.
 * A lapsed row whose inner address another instance uses by now needs no more
 * than the lapse: the process that held the address has ended.
 *
 * Standing, the one notion behind ownership and configuration:
 *   CONFIRMED  our own lease is fresh, and this instance, or a peer it
 *              reaches, reached the platform within confirm_ms.
 *   OUTAGE     we hold a lease, nobody is known to have reached the platform
 *              since it ceased to be fresh, and within reachable_ms two thirds
 *              of the region's instances, themselves CONFIRMED or in OUTAGE,
 *              answered a ping, or all of them whatever their standing: hold
 *              on to what we own.
 *   ISOLATED   neither: no orders, no grants, no new work.
 * Where the region has no more than two instances, holding on needs two thirds
 * of the instances of all regions as well, and the deleter may meet either.
 * So one of the two thirds has heard from the deleter of our lease, and told us
 * before the row goes. What remains is
 * in docs/design/membership.md.
 */
#ifndef FG_MEMBER_H
#define FG_MEMBER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/fg_clock.h"
#include "peer/fg_msg.h"
#include "platform/fg_platform.h"

enum fg_standing {
	FG_STANDING_CONFIRMED = 1,
	FG_STANDING_OUTAGE = 2,
	FG_STANDING_ISOLATED = 3,
	FG_STANDING_JOINING = 4, /* no lease yet */
};

struct fg_member_conf {
	struct fg_listed self; /* kind FG_LISTED_ENTRY */
	uint64_t boot;	       /* nonce of this run; a name never lives twice */
	uint32_t renew_ms;     /* between renewals of the own lease */
	uint32_t lease_ms;     /* a lease row unchanged this long has lapsed */
	uint32_t scan_ms; /* between reads of all lease rows; longer when there
			   * are many, see FG_MEMBER_SCAN_BYTES_PER_S */
	uint32_t list_ms; /* between reads of the platform's list; longer when
			   * it is long, see FG_MEMBER_LIST_BYTES_PER_S */
	uint32_t ping_ms; /* between pings of one neighbour */
	uint32_t suspect_ms;  /* no pong this long: suspect */
	uint32_t confirm_ms;  /* a contact with the platform counts this long */
	uint32_t ping_fanout; /* neighbours pinged */

	/* Derived from lease_ms when 0. */
	uint32_t own_lease_ms;	 /* our lease is fresh this long; < lease_ms */
	uint32_t reachable_ms;	 /* an answered ping counts this long */
	uint32_t quorum_ping_ms; /* between pings of one instance while many are
				  * pinged to find a quorum; <= reachable_ms / 2
				  */
	uint32_t pause_ms;	 /* a longer gap between ticks is a pause */
};

/* Bounds on what reading the lease rows and the list cost one instance. */
#define FG_MEMBER_SCAN_BYTES_PER_S 1500
#define FG_MEMBER_LIST_BYTES_PER_S 2000

/* Fills the defaults that hold for the aim's size; self is left alone. */
void fg_member_conf_defaults(struct fg_member_conf *conf);

enum fg_peer_state {
	FG_PEER_LIVE = 1,
	FG_PEER_SUSPECT = 2, /* no pong, or its lease seems to lapse */
	FG_PEER_LEAVING = 3, /* draining; gets no new ownership */
	FG_PEER_DEAD = 4,    /* its lease row is gone */
};

struct fg_peer_view {
	struct fg_listed info;
	enum fg_peer_state state;
	fg_ms heard_at;	   /* last sign of life by message */
	uint64_t revision; /* its configuration, as last said */
};

enum fg_member_act_type {
	FG_MA_TABLE = 1,    /* run op (lease write or scan) */
	FG_MA_LIST = 2,	    /* read the platform's list */
	FG_MA_SEND = 3,	    /* send msg to instance `to` */
	FG_MA_UP = 4,	    /* instance `to` became live */
	FG_MA_DOWN = 5,	    /* instance `to` became dead */
	FG_MA_LEAVING = 6,  /* instance `to` is leaving */
	FG_MA_STANDING = 7, /* the standing changed */
};

struct fg_member_act {
	enum fg_member_act_type type;
	struct fg_table_op *op; /* TABLE; owned by the receiver */
	uint64_t to;
	fg_msg *msg;		   /* SEND; owned by the receiver */
	enum fg_standing standing; /* STANDING */
};

typedef void (*fg_member_emit)(void *arg, struct fg_member_act *act);

struct fg_member;
struct fg_member *fg_member_new(const struct fg_member_conf *conf,
				uint64_t seed);
void fg_member_free(struct fg_member *m);

/* Call at least each 100 ms. A long gap since the last call means that this
 * process was paused: the standing is then ISOLATED until it is confirmed
 * anew, before anything else is emitted. */
void fg_member_tick(struct fg_member *m, fg_ms now, fg_member_emit emit,
		    void *arg);

/* Results of TABLE actions, exactly one for each; op ids not ours are ignored
 * (returns false). */
bool fg_member_on_table(struct fg_member *m, fg_ms now,
			const struct fg_table_result *res, fg_member_emit emit,
			void *arg);

/* The platform's list; n == 0 with result != OK means it was unreachable.
 * Entries that are not instances of this system are ignored. */
void fg_member_on_list(struct fg_member *m, fg_ms now, enum fg_pf_result result,
		       const struct fg_listed *list, size_t n,
		       fg_member_emit emit, void *arg);

/* PING, PONG and LEAVING messages; any other message counts as heard. */
void fg_member_on_msg(struct fg_member *m, fg_ms now, uint64_t from,
		      const fg_msg *msg, fg_member_emit emit, void *arg);

/* Our configuration's revision and its age, carried in pings. */
void fg_member_set_revision(struct fg_member *m, uint64_t revision,
			    uint32_t confirm_age_ms);

/* Reads all lease rows at the next tick, however lately that was done: after
 * a change of configuration nobody who joined before it may be overlooked. */
void fg_member_request_scan(struct fg_member *m, fg_ms now);

/* When the read of all lease rows that the view stands on was begun; 0 before
 * the first. */
fg_ms fg_member_scanned_at(const struct fg_member *m);

/* Starts draining: the lease row and pings say so. */
void fg_member_leave(struct fg_member *m, fg_ms now, fg_member_emit emit,
		     void *arg);

/* Ends our membership after draining: deletes the lease row, so that nobody
 * has to wait for it to lapse. */
void fg_member_release_lease(struct fg_member *m, fg_ms now,
			     fg_member_emit emit, void *arg);

enum fg_standing fg_member_standing(const struct fg_member *m, fg_ms now);
const char *fg_standing_name(enum fg_standing s);

/* True for the standings in which an instance acts on what it owns. */
static inline bool fg_may_act(enum fg_standing s)
{
	return s == FG_STANDING_CONFIRMED || s == FG_STANDING_OUTAGE;
}

/* True when this instance reaches more than half of the region's instances
 * that are not dead (itself included). */
bool fg_member_reaches_majority(const struct fg_member *m, fg_ms now);

/* Grows whenever our lease was lost or won. What was owned under another
 * epoch is lost and must be claimed anew. 0 while we never had a lease. */
uint64_t fg_member_epoch(const struct fg_member *m);

/* True when a read sent after `since` showed that instance id has no lease
 * row: what it owned at `since` may be taken over. */
bool fg_member_is_gone(const struct fg_member *m, uint64_t id, fg_ms since);

/* Grows whenever an instance is added, changes its state or is forgotten. */
uint64_t fg_member_generation(const struct fg_member *m);

/* Instances of the region that our lease row tells of, this one included; 0
 * without a lease. */
uint32_t fg_member_advertised_size(const struct fg_member *m);

/* Our id and region. */
uint64_t fg_member_self(const struct fg_member *m);
const char *fg_member_region(const struct fg_member *m);

/* The view of one instance; NULL when unknown. Valid until the next event. */
const struct fg_peer_view *fg_member_find(const struct fg_member *m,
					  uint64_t id);

/* Copies up to max ids of instances that are LIVE or SUSPECT, self included;
 * region NULL takes all regions. Returns how many there are. */
size_t fg_member_list_live(const struct fg_member *m, const char *region,
			   uint64_t *ids, size_t max);

/* The same, and those that are leaving: they still have requests in progress
 * and grants in use. */
size_t fg_member_list_present(const struct fg_member *m, const char *region,
			      uint64_t *ids, size_t max);

/*
 * The instance that should own `key` (an endpoint id): rendezvous hashing
 * over LIVE instances of the data centre, else of the region; 0 when none.
 */
uint64_t fg_member_candidate(const struct fg_member *m, uint64_t key,
			     const char *region, const char *dc);

#endif
