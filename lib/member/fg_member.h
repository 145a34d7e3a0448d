/*
 * fg_member - membership: which instances are live, and whether this instance
 * may act on what it owns.
 *
 * The module does no I/O and reads no clock. The caller passes events and the
 * time (fg_ms of its own clock), and runs the actions that each call emits.
 *
 * Leases
 *
 * Each instance keeps one lease row, session/<name>, in the platform's table.
 * The clocks of two instances are never compared: for a reader, a lease has
 * lapsed when two reads at least lease_ms apart on the reader's clock show the
 * same version of its row and the table kept answering in between. The holder
 * considers its lease fresh only for own_lease_ms after it sent the renewal.
 *
 * Liveness
 *
 * Liveness has three sources: the lease rows, the platform's list, which lags,
 * and pings. Each instance pings `ping_fanout` neighbours on a hash ring of
 * its region and a few random instances, never all of them, so that the
 * traffic per instance does not grow with the number of instances. An instance
 * that suspects another, or has deleted its row, sends hints: LEAVING messages
 * that name the other instance. A hint decides nothing; its receiver only reads
 * that one lease row earlier, and passes the hint on.
 *
 * An instance is DEAD when its lease row is gone. One of the region's live
 * instances deletes ("reaps") a lapsed row, after it
 *  - saw the lease lapse, and scanned all rows since,
 *  - received answers to pings that it sent after it saw the lapse; these pings
 *    tell the other instances that the platform is reachable. Enough of the
 *    region's instances must answer that any two thirds of the instances that
 *    the holder counted include one of them (ten leases after the lapse, more
 *    than a third of the region's instances is enough), and
 *  - waited reachable_ms more.
 * When another instance already uses the inner address of a lapsed row, the
 * lapse alone is enough: the process that held the address has ended.
 *
 * Standing
 *
 * Ownership and configuration both depend on the standing of this instance:
 *   CONFIRMED  The own lease is fresh, and this instance, or another one as
 *              its peers report, reached the platform within confirm_ms.
 *   OUTAGE     This instance holds a lease. As far as it knows, no instance has
 *              reached the platform since the lease ceased to be fresh. Within
 *              reachable_ms a ping was answered either by two thirds of the
 *              region's instances, all of them CONFIRMED or in OUTAGE, or by
 *              all of the region's instances, whatever their standing. The
 *              instance keeps acting on what it owns.
 *   ISOLATED   Neither: no orders, no grants, no new work.
 * In a region of at most two instances, OUTAGE also needs two thirds of the
 * instances of all regions, and for the deletion of a row it is enough that the
 * answers overlap with one of the two quorums. In each case one of the
 * instances that answer a holder in OUTAGE has also answered the instance that
 * deletes the holder's row, and tells the holder that the platform is reachable
 * before the row is deleted. docs/design/membership.md lists the cases that
 * remain.
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
	FG_STANDING_JOINING = 4, /* has never held a lease */
};

struct fg_member_conf {
	/* kind must be FG_LIST_ENTRY_INSTANCE; fg_member_new() derives id from
	 * name. */
	struct fg_list_entry self;
	uint64_t boot; /* nonce of this run; no second run uses the same name */
	uint32_t renew_ms; /* between renewals of the own lease */
	uint32_t lease_ms; /* a lease row unchanged this long has lapsed */
	uint32_t scan_ms;  /* between scans of the lease rows; longer with many
			    * rows, see FG_MEMBER_SCAN_BYTES_PER_S */
	uint32_t list_ms;  /* between reads of the platform's list; longer when
			    * it is long, see FG_MEMBER_LIST_BYTES_PER_S */
	uint32_t ping_ms;  /* between pings of one neighbour */
	uint32_t suspect_ms;  /* an instance becomes suspect after this
			       * time without a pong */
	uint32_t confirm_ms;  /* how long a contact with the platform counts */
	uint32_t ping_fanout; /* neighbours pinged */

	/* fg_member_new() replaces 0 by the value in brackets. */
	uint32_t own_lease_ms;	 /* how long the holder considers its lease
				  * fresh; < lease_ms [5/6 of lease_ms] */
	uint32_t reachable_ms;	 /* how long an answered ping counts
				  * [2/3 of lease_ms] */
	uint32_t quorum_ping_ms; /* between pings of one instance while a quorum
				  * is sought; <= reachable_ms / 2
				  * [reachable_ms / 2] */
	uint32_t pause_ms; /* ticks further apart mean that the process was
			    * paused [1000] */
};

/* Limits, per instance, on the bytes read by scans and from the list. */
#define FG_MEMBER_SCAN_BYTES_PER_S 1500
#define FG_MEMBER_LIST_BYTES_PER_S 2000

/* Sets all fields but self to defaults for the size of installation that the
 * system is designed for. boot becomes 0: the caller sets it. */
void fg_member_conf_defaults(struct fg_member_conf *conf);

enum fg_peer_state {
	FG_PEER_LIVE = 1,
	FG_PEER_SUSPECT = 2, /* answers no pings, or its lease has lapsed */
	FG_PEER_LEAVING = 3, /* draining; takes no new ownership */
	FG_PEER_DEAD = 4,    /* its lease row is gone */
};

struct fg_peer_view {
	struct fg_list_entry info;
	enum fg_peer_state state;
	fg_ms last_msg_at; /* when its last message arrived; 0 never */
	uint64_t revision; /* of its configuration, as last received */
};

enum fg_member_act_type {
	FG_MA_TABLE = 1,    /* run op on the platform's table */
	FG_MA_LIST = 2,	    /* read the platform's list */
	FG_MA_SEND = 3,	    /* send msg to instance `to` */
	FG_MA_UP = 4,	    /* the lease row of instance `to` appeared */
	FG_MA_DOWN = 5,	    /* instance `to` became DEAD */
	FG_MA_LEAVING = 6,  /* instance `to` is leaving */
	FG_MA_STANDING = 7, /* the standing of this instance changed */
};

struct fg_member_act {
	enum fg_member_act_type type;
	struct fg_table_op *op; /* TABLE; owned by the receiver */
	uint64_t to;
	fg_msg *msg;		   /* SEND; owned by the receiver */
	enum fg_standing standing; /* STANDING */
};

/* Receives one action. It is called before the call that emits the action
 * returns; act is valid only until the callback returns. */
typedef void (*fg_member_emit)(void *arg, struct fg_member_act *act);

struct fg_member;

/* Copies conf; seed drives all random choices. The settings must satisfy
 * renew_ms < own_lease_ms < lease_ms and 2 * quorum_ping_ms <= reachable_ms,
 * else the process aborts. Free the result with fg_member_free(). */
struct fg_member *fg_member_new(const struct fg_member_conf *conf,
				uint64_t seed);
void fg_member_free(struct fg_member *m);

/* Runs all periodic work; call it at least every 100 ms. A gap of more than
 * pause_ms since the last call means that the process was paused: the standing
 * then becomes ISOLATED, before any other action is emitted, and stays so
 * until a later renewal or answer proves otherwise. */
void fg_member_tick(struct fg_member *m, fg_ms now, fg_member_emit emit,
		    void *arg);

/* Takes the result of a TABLE action; the caller passes exactly one for each
 * and keeps ownership of res. Returns false, and does nothing, when the op id
 * is not one of this module. */
bool fg_member_on_table(struct fg_member *m, fg_ms now,
			const struct fg_table_result *res, fg_member_emit emit,
			void *arg);

/* Takes the result of a LIST action; the list stays the caller's. Any result
 * but FG_PF_OK means that the platform was unreachable; list and n are then
 * ignored. Entries of a kind other than FG_LIST_ENTRY_INSTANCE are ignored. */
void fg_member_on_list(struct fg_member *m, fg_ms now, enum fg_pf_result result,
		       const struct fg_list_entry *list, size_t n,
		       fg_member_emit emit, void *arg);

/* Takes a message from instance `from`; the caller keeps msg. PING, PONG and
 * LEAVING messages are handled; any other message only updates last_msg_at. A
 * message from an instance whose lease row is not known causes a read. */
void fg_member_on_msg(struct fg_member *m, fg_ms now, uint64_t from,
		      const fg_msg *msg, fg_member_emit emit, void *arg);

/* Sets what pings and pongs report about the own configuration: its revision,
 * and the time since it was last confirmed, as of the last tick. */
void fg_member_set_revision(struct fg_member *m, uint64_t revision,
			    uint32_t confirm_age_ms);

/* Schedules a scan of all lease rows for the next tick, however recent the last
 * scan is. The caller needs it after a change of configuration, so as not to
 * miss an instance that joined before the change. */
void fg_member_request_scan(struct fg_member *m, fg_ms now);

/* Returns when the last successful scan of all lease rows was sent; 0 before
 * the first. */
fg_ms fg_member_scanned_at(const struct fg_member *m);

/* Starts draining: tells the region's instances by LEAVING messages; from then
 * on the lease row, pings and pongs say so too. */
void fg_member_leave(struct fg_member *m, fg_ms now, fg_member_emit emit,
		     void *arg);

/* Ends the membership after draining: deletes the own lease row, so that the
 * other instances need not wait for the lease to lapse. It is final: the
 * standing becomes ISOLATED, and no lease is taken again. The caller keeps
 * ticking; the epoch grows when the row is gone. */
void fg_member_release_lease(struct fg_member *m, fg_ms now,
			     fg_member_emit emit, void *arg);

/* Returns the standing at `now`. It reports a pause even before the first tick
 * after the pause. */
enum fg_standing fg_member_standing(const struct fg_member *m, fg_ms now);
/* Returns the name in lower case, such as "confirmed"; a static string. */
const char *fg_standing_name(enum fg_standing s);

/* Returns true for the standings in which an instance acts on what it owns. */
static inline bool fg_may_act(enum fg_standing s)
{
	return s == FG_STANDING_CONFIRMED || s == FG_STANDING_OUTAGE;
}

/* Returns true when more than half of the region's instances that are not DEAD,
 * this one included, answered a ping within reachable_ms. */
bool fg_member_reaches_majority(const struct fg_member *m, fg_ms now);

/* Returns a number that grows whenever the own lease is won or lost; 0 before
 * the first lease. Whatever was owned under another epoch is lost and must be
 * claimed again. */
uint64_t fg_member_epoch(const struct fg_member *m);

/* Returns true when a read sent after `since` showed that instance id has no
 * lease row: what it owned at `since` may be taken over. Always false for this
 * instance. */
bool fg_member_is_gone(const struct fg_member *m, uint64_t id, fg_ms since);

/* Returns a number that grows whenever another instance appears, changes its
 * state or is dropped from the view. */
uint64_t fg_member_generation(const struct fg_member *m);

/* Returns how many instances of the region, this one included, the own lease
 * row states; the smallest possible number while a write has no answer yet. 0
 * without a lease. */
uint32_t fg_member_advertised_size(const struct fg_member *m);

/* The id and the region of this instance. */
uint64_t fg_member_self(const struct fg_member *m);
const char *fg_member_region(const struct fg_member *m);

/* Returns the view of another instance, NULL when it is unknown. The pointer is
 * valid until the next call that takes an event. */
const struct fg_peer_view *fg_member_find(const struct fg_member *m,
					  uint64_t id);

/* Copies to ids the ids of up to max instances that are LIVE or SUSPECT, and of
 * this instance. region NULL means all regions. Returns how many there are,
 * which may be more than max. */
size_t fg_member_list_live(const struct fg_member *m, const char *region,
			   uint64_t *ids, size_t max);

/* Like fg_member_list_live(), but includes LEAVING instances: they still have
 * requests in progress and grants in use. */
size_t fg_member_list_present(const struct fg_member *m, const char *region,
			      uint64_t *ids, size_t max);

/*
 * Returns the instance that should own `key` (an endpoint id): rendezvous
 * hashing over the LIVE instances of the data centre, or of the region when the
 * data centre has none; 0 when the region has none either. This instance takes
 * part while it holds a lease and is not leaving.
 */
uint64_t fg_member_candidate(const struct fg_member *m, uint64_t key,
			     const char *region, const char *dc);

#endif
