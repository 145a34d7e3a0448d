/*
 * fg_claim - election of the owner of each engine, the instance that orders the
 * engine's adapter loads.
 *
 * Each engine has one row in the platform's table, which names its owner and
 * the owners before it. An instance takes an engine over by writing this row
 * under the condition that its version is unchanged. The version of the row is
 * the fencing number of the owner's orders, so that the number grows with each
 * owner.
 *
 * Engines need not check fencing numbers. Two rules then keep the orders of two
 * owners apart:
 *
 * - An owner orders only while it has proof, younger than
 *   FG_CLAIM_PROOF_MAX_MS, that no one else has taken the engine over. A proof
 *   is an answer of the table and is dated at the sending of its call.
 * - A new owner sends its first order FG_CLAIM_TAKEOVER_MS after it learned of
 *   its ownership, when the proof of the former owner has expired and its last
 *   order has arrived. When this wait is over it writes the row again as
 *   settled. After a settled owner that has released the engine or has ended,
 *   the wait is only FG_CLAIM_FLIGHT_MS, and a restarted instance takes its
 *   settled engines back without a wait.
 *
 * A row is settled in one era of the table. When the table returns from an
 * older copy, no owner is settled, and proofs from before are void: another
 * owner may have been lost.
 *
 * An engine does not return to an earlier owner within `turn_ms` of that
 * owner's last order, whether engines check numbers or not.
 *
 * An owner stays the owner until another instance takes over, which happens
 * when it is no longer alive. It releases its engines when it stops, and those
 * of another region when an instance of that region is alive. Where engines
 * check fencing numbers, no release is needed: others take over from an
 * instance that says that it stops, and from one in another region than the
 * engine. Candidates are ranked by nearness and then by rendezvous hashing;
 * only the first one claims.
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
/* Age from which a proof of ownership no longer counts. */
#define FG_CLAIM_PROOF_MAX_MS 2200
/* Time in which an order that was sent has arrived, or its connection has been
 * closed because it was not answered. */
#define FG_CLAIM_FLIGHT_MS 400
/* Wait of a new owner for the proof and the last order of the former one, with
 * a margin for the time in which a relayed proof was under way. */
#define FG_CLAIM_TAKEOVER_MS 3000
/* Time after which an owner releases an engine of another region. */
#define FG_CLAIM_MOVE_AFTER_MS 5000
/* Earlier owners that a row names, the latest first. */
#define FG_CLAIM_FORMERS_MAX 3
/* An incarnation, the era in which it settled, and the names of the owner and
 * the earlier owners. */
#define FG_CLAIM_VALUE_BYTES                                                   \
	(38 + (1 + FG_CLAIM_FORMERS_MAX) * (FG_FLEET_NAME_BYTES + 1))

struct fg_claims;

struct fg_claims_conf {
	uint64_t incarnation; /* of this instance; must not be 0 */
	const char *name;     /* of this instance; borrowed */
	fg_ms started_at;
	bool fences_checked; /* engines refuse lower fencing numbers */
	uint32_t turn_ms;
};

/* A live instance, possibly this one. */
struct fg_claim_candidate {
	uint64_t incarnation;
	uint64_t hash; /* of its name */
	const char *name;
	const char *dc;
	const char *region;
	uint64_t row_version; /* of the row that it wrote when it started */
	bool self;
	bool leaving; /* keeps its engines until it releases them */
};

struct fg_claims *fg_claims_new(const struct fg_claims_conf *conf);
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

/* All rows that the table held at `when` have been applied. */
void fg_claims_prove(struct fg_claims *c, fg_ms when);

/* Returns the age of the last proof; UINT32_MAX when there is none. */
uint32_t fg_claims_proof_age_ms(const struct fg_claims *c, fg_ms now);

/* The era of the table is known. */
void fg_claims_set_era(struct fg_claims *c, uint64_t era);

/* The table came back from an older copy, in this era. */
void fg_claims_start_era(struct fg_claims *c, fg_ms now, uint64_t era);

/* Returns whether the row of the engine names an earlier start of this instance
 * as the owner. It may claim such an engine before it has heard from others. */
bool fg_claims_is_restarted_owner(struct fg_claims *c, const char *endpoint_id);

struct fg_claim_write {
	char endpoint_id[FG_FLEET_NAME_BYTES];
	uint64_t expected; /* version that the row must have; 0: no row */
	bool release;	   /* gives the engine up instead of taking it */
	bool settle;	   /* is the owner and may order from now on */
	uint32_t wait_ms;  /* from the claim to the first order */
	char value[FG_CLAIM_VALUE_BYTES]; /* of the row to write */
};

/* Selects the engines that this instance should claim, settle or release now.
 * `eps` are the usable engines, `live` are the live instances. When this
 * instance is not among them, it releases all its engines. An engine that is
 * being released gets no more orders. Writes up to `max` entries to `out` and
 * returns their number. */
uint32_t fg_claims_select(struct fg_claims *c, fg_ms now,
			  struct fg_fleet_ep *const *eps, uint32_t n_eps,
			  const struct fg_claim_candidate *live,
			  uint32_t n_live, struct fg_claim_write *out,
			  uint32_t max);

/* Handles the result of the transaction that wrote these rows and was sent at
 * `sent_at`: `version` is their new version, or 0 when it failed or its result
 * is unknown. */
void fg_claims_handle_result(struct fg_claims *c, fg_ms now,
			     const struct fg_claim_write *rows, uint32_t n,
			     uint64_t version, fg_ms sent_at);

/* Returns the fencing number of this instance's orders to the engine; 0 when
 * this instance is not its owner. */
uint64_t fg_claims_fence(const struct fg_claims *c, const char *endpoint_id);

/* Returns a number that stays the same while this instance is the owner without
 * a break, also when its fencing number changes; 0 when it is not. */
uint64_t fg_claims_tenure(const struct fg_claims *c, const char *endpoint_id);

/* Returns the time until the owner may send an order: 0 when it may now,
 * UINT32_MAX when it needs a proof first or is not the owner. */
uint32_t fg_claims_order_wait_ms(const struct fg_claims *c, fg_ms now,
				 const char *endpoint_id);

/* An order was sent to the engine. */
void fg_claims_note_order(struct fg_claims *c, fg_ms now,
			  const char *endpoint_id);

/* Returns the incarnation of the owner; 0 when none is known. */
uint64_t fg_claims_owner(const struct fg_claims *c, const char *endpoint_id);

/* Handles an engine's refusal of the fencing number, which proves that there is
 * another owner. fg_claims_fence() returns 0 until a newer row is applied. */
void fg_claims_handle_fenced(struct fg_claims *c, fg_ms now,
			     const char *endpoint_id);

#endif
