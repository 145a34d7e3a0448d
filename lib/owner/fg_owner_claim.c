/*
 * Claims of keys. Claims that are due together share a transaction. A conflict
 * undoes the whole transaction; its keys are then claimed one by one.
 */
#include <string.h>

#include "owner/fg_owner_internal.h"

#define CLAIM_PASS_MS 1000     /* interval of passes over all keys */
#define CLAIMS_IN_FLIGHT_MAX 8 /* transactions */

/* ---- Choice of keys to claim ---- */

static bool can_be_claimed(const struct fg_owner *o, const struct fg_own_key *k)
{
	if (k->leaving || k->op_in_flight || k->read_due ||
	    strcmp(k->region, fg_member_region(o->member)) != 0)
		return false;
	if (k->state == FG_OWN_FREE)
		return true;
	/* The row may name this instance although the key is not owned: it
	 * dates from before the lease was lost, or a claim took effect late. */
	if (k->state == FG_OWN_OTHER)
		return k->owner == o->conf.self ||
		       fg_member_is_gone(o->member, k->owner, k->known_since);
	return false;
}

static bool is_claim_due(struct fg_owner *o, fg_ms now, struct fg_own_key *k)
{
	if (k->claimable_since == 0) {
		fg_ms extra_ms =
			(fg_ms)fg_rand_below(&o->rand, FG_OWNER_FALLBACK_MS);

		k->claimable_since = now + extra_ms;
	}
	if (k->owner == o->conf.self)
		return true;
	if (now >= k->claimable_since + FG_OWNER_FALLBACK_MS)
		return true;
	return fg_member_candidate(o->member, k->key, k->region, k->dc) ==
	       o->conf.self;
}

/* ---- Claims ---- */

struct batch {
	struct fg_table_op *op; /* NULL when empty */
	struct fg_owner_inflight inflight;
};

static void send_batch(struct fg_owner *o, fg_ms now, struct batch *b)
{
	if (b->op == NULL)
		return;
	o->claims_in_flight++;
	fg_owner_submit_op(o, now, b->op, &b->inflight);
	b->op = NULL;
	b->inflight.n = 0;
}

static void add_to_batch(struct fg_owner *o, struct batch *b,
			 struct fg_own_key *k)
{
	if (b->op == NULL)
		b->op = fg_owner_new_op(o, FG_OP_TXN, NULL);
	k->state = FG_OWN_CLAIMING;
	k->claim_epoch = fg_member_epoch(o->member);
	k->claim_fence = k->fence + 1;
	fg_owner_add_write(b->op, &b->inflight, k, o->conf.self,
			   k->claim_fence);
}

/* Claims k, or reads its row first if its owner is known from a hint only. */
static void claim_key(struct fg_owner *o, fg_ms now, struct batch *b,
		      struct fg_own_key *k)
{
	struct batch one = { .inflight.kind = FG_OWNER_OP_CLAIM };

	if (k->from_hint) {
		k->read_due = true;
		o->work_due = true;
	} else if (k->write_alone) {
		k->write_alone = false;
		add_to_batch(o, &one, k);
		send_batch(o, now, &one);
	} else {
		add_to_batch(o, b, k);
		if (b->inflight.n == FG_TXN_MAX)
			send_batch(o, now, b);
	}
}

static void run_claim_pass(struct fg_owner *o, fg_ms now)
{
	struct batch b = { .inflight.kind = FG_OWNER_OP_CLAIM };
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, o->keys);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct fg_own_key *k = value;

		if (!can_be_claimed(o, k)) {
			k->claimable_since = 0;
			continue;
		}
		if (now < k->retry_at || !is_claim_due(o, now, k))
			continue;
		if (o->claims_in_flight >= CLAIMS_IN_FLIGHT_MAX) {
			o->pass_at = now;
			break;
		}
		claim_key(o, now, &b, k);
	}
	send_batch(o, now, &b);
}

void fg_owner_claim_tick(struct fg_owner *o, fg_ms now)
{
	uint64_t generation = fg_member_generation(o->member);

	if (o->releasing || !o->scan_done ||
	    (now < o->pass_at && generation == o->generation))
		return;
	if (fg_member_standing(o->member, now) != FG_STANDING_CONFIRMED)
		return;
	o->pass_at = now + CLAIM_PASS_MS;
	o->generation = generation;
	run_claim_pass(o, now);
}

/* ---- Results ---- */

/* False for a result that arrives after this instance's lease was lost, or
 * while it may not act: another instance may own the key by now, so the key
 * must be claimed again. */
static bool is_claim_valid(const struct fg_owner *o, fg_ms now, uint64_t epoch)
{
	return epoch == fg_member_epoch(o->member) &&
	       fg_may_act(fg_member_standing(o->member, now));
}

void fg_owner_apply_claim(struct fg_owner *o, fg_ms now, struct fg_own_key *k,
			  uint64_t row_version, uint64_t epoch)
{
	uint64_t prev_owner = k->owner;

	k->row_version = row_version;
	k->known_since = now;
	k->owner = o->conf.self;
	k->fence = k->claim_fence;
	k->claimable_since = 0;
	k->from_hint = false;
	if (!is_claim_valid(o, now, epoch)) {
		k->state = FG_OWN_OTHER;
		return;
	}
	k->state = o->releasing ? FG_OWN_RELEASING : FG_OWN_MINE;
	k->claim_epoch = epoch;
	o->work_due = true;
	if (row_version == 0)
		k->read_due = true; /* the row version is unknown */
	if (k->state == FG_OWN_MINE)
		fg_owner_emit_act(o, FG_OA_GAINED, k);
	if (prev_owner != k->owner)
		fg_owner_emit_act(o, FG_OA_CHANGED, k);
}

/* The claim had no effect; it is retried after pause_ms. */
static void undo_claim(struct fg_owner *o, fg_ms now, struct fg_own_key *k,
		       fg_ms pause_ms)
{
	k->state = k->owner == 0 ? FG_OWN_FREE : FG_OWN_OTHER;
	k->retry_at = now + pause_ms;
	o->pass_at = now;
}

static void apply_claim_result(struct fg_owner *o, fg_ms now,
			       struct fg_own_key *k,
			       const struct fg_owner_inflight *inflight,
			       size_t i, const struct fg_table_result *res)
{
	uint64_t version = 0;

	switch (res->result) {
	case FG_PF_OK:
		if (i < res->n_rows)
			version = res->rows[i].row_version;
		fg_owner_apply_claim(o, now, k, version, inflight->epoch);
		break;
	case FG_PF_CONFLICT:
		k->state = k->owner == 0 ? FG_OWN_FREE : FG_OWN_OTHER;
		k->write_alone = inflight->n > 1;
		fg_owner_apply_conflict(o, now, k, res);
		o->pass_at = now;
		break;
	case FG_PF_LOST:
	case FG_PF_BAD_ANSWER:
		k->read_due = true;
		o->work_due = true;
		break;
	case FG_PF_ABSENT:
	case FG_PF_DOWN:
		undo_claim(o, now, k, (fg_ms)o->conf.retry_ms);
		break;
	}
}

void fg_owner_on_claim_result(struct fg_owner *o, fg_ms now,
			      const struct fg_owner_inflight *inflight,
			      const struct fg_table_result *res)
{
	g_assert(o->claims_in_flight > 0);
	o->claims_in_flight--;
	for (size_t i = 0; i < inflight->n; i++) {
		struct fg_own_key *k = fg_owner_find_key(o, inflight->keys[i]);

		if (k == NULL)
			continue;
		k->op_in_flight = false;
		if (k->state == FG_OWN_CLAIMING)
			apply_claim_result(o, now, k, inflight, i, res);
		else
			k->read_due = true; /* removed and added again */
	}
}
