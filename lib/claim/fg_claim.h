/*
 * fg_claim - which instance orders the loads of which engine.
 *
 * Each engine has one row in the platform's table, written under a condition
 * by the instance that takes it over. The version of that row is the fencing
 * number of its orders, so it grows with each holder. A holder stays one
 * without renewing anything, through outages of the table too, until another
 * instance takes over: when it is no longer heard of, when it stops, or when
 * it is in another region than the engine while an instance of that region
 * is there. Candidates are ranked by rendezvous hashing, nearest first, and
 * only the first one claims.
 *
 * Pure: rows, liveness and time in, rows to write out.
 */
#ifndef FG_CLAIM_H
#define FG_CLAIM_H

#include <stdbool.h>
#include <stdint.h>

#include "base/fg_clock.h"
#include "fleet/fg_fleet.h"

/* Rows of one transaction; the store takes 100. */
#define FG_CLAIM_BATCH_MAX 40
/* An instance that lost an engine does not claim it back for this long. */
#define FG_CLAIM_BACKOFF_MS 5000

struct fg_claims;

/* One live instance, this one included. */
struct fg_claimant {
	uint64_t incarnation;
	uint64_t hash; /* of its name */
	const char *dc;
	const char *region;
	bool self;
};

struct fg_claims *fg_claims_new(uint64_t self_incarnation);
void fg_claims_free(struct fg_claims *c);

/* A row was read: its value and its version; removed: value is NULL. */
void fg_claims_row(struct fg_claims *c, fg_ms now, const char *endpoint_id,
		   const char *value, uint64_t version);

/* A full read begins: rows not seen until its end are gone. */
void fg_claims_read_begin(struct fg_claims *c);
void fg_claims_read_end(struct fg_claims *c);

struct fg_claim_write {
	char endpoint_id[FG_FLEET_NAME_BYTES];
	uint64_t expected; /* version that the row must have */
};

/* The engines that this instance should claim now; `eps` are the engines in
 * use. Returns how many were written to `out`. */
uint32_t fg_claims_wanted(struct fg_claims *c, fg_ms now,
			  struct fg_fleet_ep *const *eps, uint32_t n_eps,
			  const struct fg_claimant *live, uint32_t n_live,
			  struct fg_claim_write *out, uint32_t max);

/* The value to write: names the holder. */
char *fg_claims_value(const struct fg_claims *c, const char *self_name);

/* Result of a transaction of these rows: `version` of the rows, or 0 when it
 * failed or its end is unknown. */
void fg_claims_written(struct fg_claims *c, fg_ms now,
		       const struct fg_claim_write *rows, uint32_t n,
		       uint64_t version);

/* Fencing number under which this instance may order; 0: it may not. */
uint64_t fg_claims_fence(const struct fg_claims *c, const char *endpoint_id);

/* Incarnation of the holder; 0: none known. */
uint64_t fg_claims_holder(const struct fg_claims *c, const char *endpoint_id);

/* The engine refused the fencing number: another holder exists. Not held
 * until a newer row is seen. */
void fg_claims_fenced(struct fg_claims *c, fg_ms now, const char *endpoint_id);

#endif
