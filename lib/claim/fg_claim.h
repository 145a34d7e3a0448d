/*
 * fg_claim - election of the owner of each engine, the instance that orders the
 * engine's adapter loads.
 *
 * Each engine has one row in the platform's table. An instance takes an engine
 * over by writing this row under the condition that its version is unchanged.
 * The new version of the row is the fencing number of the owner's orders, so
 * that the number grows with each owner.
 *
 * An owner renews nothing and stays the owner, also while the table is
 * unavailable, until another instance takes over. That happens when the owner
 * is no longer alive, when it stops, or when it is in another region than the
 * engine and an instance of that region is alive. Candidates are ranked by
 * nearness and then by rendezvous hashing; only the first one claims.
 *
 * Does no I/O and reads no clock: the caller passes rows, live instances and
 * the time, and writes the rows that fg_claims_select() returns.
 */
#ifndef FG_CLAIM_H
#define FG_CLAIM_H

#include <stdbool.h>
#include <stdint.h>

#include "base/fg_clock.h"
#include "fleet/fg_fleet.h"

/* Maximum rows of one transaction; the store allows 100. */
#define FG_CLAIM_BATCH_MAX 40
/* An instance that lost an engine does not claim that engine for this long. */
#define FG_CLAIM_BACKOFF_MS 5000

struct fg_claims;

/* A live instance, possibly this one. */
struct fg_claim_candidate {
	uint64_t incarnation;
	uint64_t hash; /* of its name */
	const char *dc;
	const char *region;
	bool self;
};

/* `self_incarnation` must not be 0. */
struct fg_claims *fg_claims_new(uint64_t self_incarnation);
void fg_claims_free(struct fg_claims *c);

/* Applies a row that was read. `value` is NULL for a removed row, which is
 * always applied. Another row that is older than the known one is ignored. */
void fg_claims_apply_row(struct fg_claims *c, fg_ms now,
			 const char *endpoint_id, const char *value,
			 uint64_t version);

/* Begin and end a full read. The end forgets the engines whose rows were not
 * applied since the beginning. */
void fg_claims_begin_full_read(struct fg_claims *c);
void fg_claims_end_full_read(struct fg_claims *c);

struct fg_claim_write {
	char endpoint_id[FG_FLEET_NAME_BYTES];
	uint64_t expected; /* version that the row must have; 0: no row */
};

/* Selects the engines that this instance should claim now. `eps` are the usable
 * engines, `live` are the live instances. Writes up to `max` entries to `out`
 * and returns their number. */
uint32_t fg_claims_select(struct fg_claims *c, fg_ms now,
			  struct fg_fleet_ep *const *eps, uint32_t n_eps,
			  const struct fg_claim_candidate *live,
			  uint32_t n_live, struct fg_claim_write *out,
			  uint32_t max);

/* Returns the value of the rows to write, which names the owner. The caller
 * frees it with g_free(). */
char *fg_claims_format_value(const struct fg_claims *c, const char *self_name);

/* Handles the result of the transaction that wrote these rows: `version` is
 * their new version, or 0 when it failed or its result is unknown. */
void fg_claims_handle_result(struct fg_claims *c, fg_ms now,
			     const struct fg_claim_write *rows, uint32_t n,
			     uint64_t version);

/* Returns the fencing number of this instance's orders to the engine; 0 when
 * this instance may not order. */
uint64_t fg_claims_fence(const struct fg_claims *c, const char *endpoint_id);

/* Returns the incarnation of the owner; 0 when none is known. */
uint64_t fg_claims_owner(const struct fg_claims *c, const char *endpoint_id);

/* Handles an engine's refusal of the fencing number, which proves that there is
 * another owner. fg_claims_fence() returns 0 until a newer row is applied. */
void fg_claims_handle_fenced(struct fg_claims *c, fg_ms now,
			     const char *endpoint_id);

#endif
