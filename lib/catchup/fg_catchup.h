/*
 * fg_catchup - whether an instance takes the configuration from another
 * instance, and from which one.
 *
 * The store may turn an instance away while it serves others. Heartbeats name
 * the newest configuration row that their sender knows. An instance that lacks
 * such a row asks one live sender after the other until it has it: those of its
 * data centre first, then those of its region, then the rest. Within each of
 * these groups the order is by rendezvous hashing of both instances, so that
 * many instances that are turned away together do not all ask the same one.
 *
 * Nothing is asked while no instance reports a newer row, and at most one call
 * is in progress. Versions include the era of the store (fg_store_version()).
 *
 * Does no I/O and reads no clock; the caller passes events and the time, and
 * carries out what fg_catchup_step() returns.
 */
#ifndef FG_CATCHUP_H
#define FG_CATCHUP_H

#include <stdbool.h>
#include <stdint.h>

#include "base/fg_clock.h"

/* An instance whose reads do not fail waits this long for a newer row to come
 * from the store or from its reader, which usually take 0.1 to 0.4 s. */
#define FG_CATCHUP_BEHIND_MS 400
/* An instance that has not answered for this long is given up and the next one
 * is asked. A configuration of 10,000 keys takes about 0.4 s at 10 Mbit/s.
 * After each call in a row that was given up the time is doubled, up to
 * FG_CATCHUP_CALL_MAX_MS, so that a larger one arrives over a busy link. */
#define FG_CATCHUP_CALL_MS 1000
#define FG_CATCHUP_CALL_MAX_MS 4000
/* An instance whose call failed, or brought nothing newer, is not asked again
 * for this long. */
#define FG_CATCHUP_RETRY_MS 1500
/* A report of an instance not heard of for this long is dropped, in its region
 * and in others. These are the times after which an instance is down. */
#define FG_CATCHUP_HEARD_MS 1500
#define FG_CATCHUP_HEARD_FAR_MS 3500

enum fg_catchup_distance {
	FG_CATCHUP_SAME_DC = 0,
	FG_CATCHUP_SAME_REGION = 1,
	FG_CATCHUP_FAR = 2,
};

enum fg_catchup_reason {
	FG_CATCHUP_NO_REASON = 0,
	FG_CATCHUP_NO_CONFIG = 1,  /* no configuration is known here */
	FG_CATCHUP_READS_FAIL = 2, /* the store turns this instance away */
	FG_CATCHUP_BEHIND = 3,	   /* the row has not come from the store */
};

/* The newest configuration row that another instance reported. */
struct fg_catchup_report {
	uint64_t incarnation; /* never 0 */
	uint64_t newest;
	enum fg_catchup_distance distance;
};

/* State of this instance at a step. */
struct fg_catchup_view {
	bool enabled;	 /* false: nothing is asked */
	bool has_config; /* some configuration is in effect */
	bool reads_fail; /* the last read of the configuration failed */
	uint64_t known;	 /* newest configuration row known, from any source */
};

struct fg_catchup_step {
	/* The instance begins to take rows from others, for this reason. */
	enum fg_catchup_reason began;
	/* It ends that: its reads succeed and it lacks nothing. */
	bool ended;
	/* Incarnation of the instance to ask now; 0: none. A call that is still
	 * in progress is dropped. */
	uint64_t ask;
	/* The call in progress took too long and was given up. */
	bool gave_up;
};

struct fg_catchup;

/* `self` is the incarnation of this instance. */
struct fg_catchup *fg_catchup_new(uint64_t self);

/* NULL is allowed. */
void fg_catchup_free(struct fg_catchup *c);

/* A heartbeat of another instance; `known` is as in struct fg_catchup_view. */
void fg_catchup_on_report(struct fg_catchup *c, fg_ms now, uint64_t known,
			  const struct fg_catchup_report *report);

/* The call in progress ended, after its rows were applied. `ok` is false when
 * it brought no usable answer. */
void fg_catchup_on_answer(struct fg_catchup *c, fg_ms now, uint64_t known,
			  bool ok);

/* This instance has read the whole table from the store: earlier reports no
 * longer count. */
void fg_catchup_on_full_read(struct fg_catchup *c);

/* Returns what is to be done now; call it a few times a second. */
struct fg_catchup_step fg_catchup_step(struct fg_catchup *c, fg_ms now,
				       const struct fg_catchup_view *view);

/* Returns whether some instance has reported a row newer than `known`, also
 * when it is not heard of any more. */
bool fg_catchup_is_behind(const struct fg_catchup *c, uint64_t known);

/* Returns whether rows are being taken from others. */
bool fg_catchup_is_active(const struct fg_catchup *c);

/* Returns the newest version that was reported; 0: none. */
uint64_t fg_catchup_reported(const struct fg_catchup *c);

/* Returns the name of the reason for the log; "none" for none. */
const char *fg_catchup_reason_name(enum fg_catchup_reason reason);

#endif
