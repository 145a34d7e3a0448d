/*
 * fg_retire - ends the membership of instances that died.
 *
 * Each instance has a row in the store, and rows count in majorities. A planned
 * stop removes the row of its instance; this module removes that of an instance
 * that can no longer do so, without a moment in which two parts of the others
 * could both be a majority:
 *
 * 1. Once an instance has been silent for FG_RETIRE_SILENT_MS, the live
 * instance with the lowest hash writes a mark that names its row's version. It
 * does so only while more than half of all instances are alive for it.
 * 2. Every instance that reads the mark is bound by it: it takes the marked
 *    instance for dead and sends it no heartbeats, until that one writes its
 * row again. An instance that still hears it first tries to remove the mark,
 * for FG_RETIRE_OBJECT_MS. The marked instance itself, if it lives and reaches
 *    the store, writes its row again, which ends the mark.
 * 3. When all instances that are alive have read all marks for
 *    FG_RETIRE_WAIT_MS, row and mark are removed in one transaction, on
 *    condition that neither has changed: those of one instance, or of several
 *    if all without a mark are alive. One that is silent without a mark must
 *    have read the removal before.
 *
 * A marked instance that lives without the store so hears fewer than half of
 * the instances that it knows, and one that is not marked counts no marked one:
 * the majorities before and after the removal meet. While half of the instances
 * or more are gone, nothing is removed.
 *
 * Does no I/O and reads no clock.
 */
#ifndef FG_RETIRE_H
#define FG_RETIRE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/fg_clock.h"

/* Silence after which an instance is marked. */
#define FG_RETIRE_SILENT_MS 10000
/* Silence after which its row may be removed: an instance that is cut off
 * admits requests from its share of limits for FG_QUOTA_SHARE_MS, once its
 * timeouts tell it of the cut. */
#define FG_RETIRE_GONE_MS 14000
/* How long an instance that hears a marked one tries to remove the mark. */
#define FG_RETIRE_OBJECT_MS 2000
/* From when all have read a mark until they are bound by it, and more. */
#define FG_RETIRE_WAIT_MS 3000
/* Rows that are removed at a time. */
#define FG_RETIRE_BATCH_MAX 8

/* Another instance, as its row and its heartbeats show it. */
struct fg_retire_member {
	const char *name;
	uint64_t hash; /* of the name */
	uint64_t row_version;
	uint64_t read;	   /* its last reported read of the table */
	fg_ms row_seen_at; /* this version of the row was first read */
	fg_ms heard_at;	   /* last heartbeat; 0: none */
	bool heard;	   /* recently enough to be alive */
	bool leaving;	   /* planned stop */
	bool binds;	   /* its build reads marks */
};

enum fg_retire_step {
	FG_RETIRE_NOTHING = 0,
	FG_RETIRE_MARK = 1,   /* write the mark of `names[0]` */
	FG_RETIRE_UNMARK = 2, /* remove the mark of `names[0]` */
	FG_RETIRE_REMOVE = 3, /* remove rows and marks of all `names` */
};

struct fg_retire_action {
	enum fg_retire_step step;
	uint32_t n;
	/* Borrowed from the members, or from the mark: valid until the next
	 * call. */
	const char *names[FG_RETIRE_BATCH_MAX];
	uint64_t row_versions[FG_RETIRE_BATCH_MAX];
	/* Of the marks; 0: there is none. */
	uint64_t mark_versions[FG_RETIRE_BATCH_MAX];
};

struct fg_retire;

struct fg_retire *fg_retire_new(uint64_t self_hash);
void fg_retire_free(struct fg_retire *r);

/* Returns the text of a mark, which the caller g_free()s. */
char *fg_retire_mark_format(uint64_t row_version);

/* A mark was read; `text` NULL: it was removed. One that cannot be read binds
 * nobody and is removed. */
void fg_retire_put_mark(struct fg_retire *r, fg_ms now, const char *name,
			const char *text, uint64_t version);

/* A read of all rows begins, and ends: marks that were not put in between are
 * removed. */
void fg_retire_begin_full_read(struct fg_retire *r);
void fg_retire_end_full_read(struct fg_retire *r, fg_ms now);

/* The removal of an instance's row was read, at this version of the table. */
void fg_retire_note_removal(struct fg_retire *r, uint64_t version);

/* Returns whether there is a mark for this version of the row. */
bool fg_retire_is_marked(const struct fg_retire *r, const char *name,
			 uint64_t row_version);

/* Returns whether this instance is bound by such a mark. */
bool fg_retire_is_bound(const struct fg_retire *r, const char *name,
			uint64_t row_version);

/* Returns whether this instance hears one that it has to take for dead, as of
 * the last fg_retire_decide(). Others that have not read the mark count that
 * one, so that this instance may keep no account meanwhile. */
bool fg_retire_is_contradicted(const struct fg_retire *r);

/* Updates what binds this instance, and returns the next transaction. To be
 * called several times a second; `members` are all other instances.
 * `may_decide` is false while this instance stops or does not know all rows:
 * it then only removes marks of those that it hears. */
struct fg_retire_action fg_retire_decide(struct fg_retire *r, fg_ms now,
					 const struct fg_retire_member *members,
					 uint32_t n, bool may_decide);

#endif
