/*
 * fg_origin - software versions that began streams.
 *
 * Endpoints of several software versions may serve one service side by side. A
 * stream goes on only at the version that brought its first event; callers take
 * streams up at any instance and name the attempt that began them.
 *
 * While one version serves, no record is needed. A service is uniform at an
 * instance when, for keep_ms, all its endpoints have had one version there, and
 * the instance's view of the registry is recent. This is safe because no stream
 * begins at a version that is new to the service before settle_ms have passed
 * since the instance learned of it: an instance whose view is at most
 * view_max_ms old, where view_max_ms < settle_ms, knows each version that may
 * have begun a stream.
 *
 * Otherwise a stream's version is recorded where it begins, and by some other
 * instances that follow from the stream's key, so that it is known after the
 * end of the first instance. What is not recorded is unknown.
 *
 * Versions, services and streams are keys of 64 bits; 0 is no valid version.
 * Does no I/O and reads no clock: the caller passes events and the time.
 */
#ifndef FG_ORIGIN_H
#define FG_ORIGIN_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/fg_clock.h"

struct fg_origin_conf {
	uint32_t keep_ms;     /* streams are not taken up later than this */
	uint32_t settle_ms;   /* before streams begin at a new version */
	uint32_t view_max_ms; /* age of a recent view of the registry */
	uint32_t streams_max; /* records kept; the oldest are dropped */
};

struct fg_origin_record {
	uint64_t stream;
	uint64_t service;
	uint64_t software;
};

struct fg_origins;

/* Returns a set that is created at `now` and knows of nothing before `since`:
 * `now`, or earlier when no stream can have begun in between. `conf` is copied.
 */
struct fg_origins *fg_origins_new(const struct fg_origin_conf *conf,
				  fg_ms since, fg_ms now);

/* Frees the set; NULL is allowed. */
void fg_origins_free(struct fg_origins *o);

/* The registry was read completely as of `view_at`. After a gap that is longer
 * than settle_ms, versions that came and went in it are not known, so that the
 * set then knows of nothing before view_at. Call it before
 * fg_origins_note_version(). */
void fg_origins_note_view(struct fg_origins *o, fg_ms view_at);

/* The first complete read of the registry lists an endpoint of that version.
 * fg_origins_end_start() follows the last one: streams may begin at once at the
 * version that most endpoints of a service have, since the instances that were
 * running then knew it. */
void fg_origins_count_at_start(struct fg_origins *o, fg_ms now,
			       uint64_t service, uint64_t software);
void fg_origins_end_start(struct fg_origins *o, fg_ms now);

/* An endpoint of the service is listed with that version, 0 when its entry
 * states none. Call it for all endpoints a few times a second. Returns whether
 * it is the first call for the version. */
bool fg_origins_note_version(struct fg_origins *o, fg_ms now, uint64_t service,
			     uint64_t software);

/* Returns the time from which streams may begin at the version; FG_MS_NEVER
 * while it is not known. */
fg_ms fg_origins_begin_after(const struct fg_origins *o, uint64_t service,
			     uint64_t software);

/* Returns the only version that can have begun a stream of the service, or 0.
 */
uint64_t fg_origins_uniform(const struct fg_origins *o, fg_ms now,
			    uint64_t service);

/* Records the version of a stream. FG_SOFTWARE_NONE and 0 are not recorded. A
 * second record with another version makes the stream's version unknown.
 * `told`: other instances have the record too. */
void fg_origins_put(struct fg_origins *o, fg_ms now,
		    const struct fg_origin_record *record, bool told);

/* Returns the recorded version of the stream, or 0. */
uint64_t fg_origins_find(const struct fg_origins *o, fg_ms now,
			 uint64_t stream);

/* Takes up to `max` records of services that are not uniform and that other
 * instances do not have, and marks them as told. Returns their number. */
uint32_t fg_origins_take_untold(struct fg_origins *o, fg_ms now,
				struct fg_origin_record *out, uint32_t max);

/* Drops what is older than keep_ms. */
void fg_origins_tick(struct fg_origins *o, fg_ms now);

/* Orders keys of instances by how early each of them keeps the stream's record,
 * highest first: the holders of a record are the first ones in this order. */
uint64_t fg_origin_holder_rank(uint64_t stream, uint64_t instance);

#endif
