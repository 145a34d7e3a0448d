/*
 * Claiming keys. Claims that are due together share transactions; after a
 * conflict, which undoes the whole transaction, its keys are claimed one by
 * one.
 */
#include <string.h>

#include "owner/fg_owner_internal.h"

#define PASS_MS 1000 /* between looks for keys to claim */
#define CLAIMS_MAX 8 /* transactions under way */

/* ---- What to claim ---- */

static bool may_be_claimed(const struct fg_owner *o, const struct fg_own_key *k)
{
	if (k->leaving || k->busy || k->read_due ||
	    strcmp(k->region, fg_member_region(o->member)) != 0)
		return false;
	if (k->state == FG_OWN_FREE)
		return true;
	/* The row names us although it is not ours: from before we lost our
	 * lease, or a claim that took effect late. */
	if (k->state == FG_OWN_OTHER)
		return k->owner == o->conf.self ||
		       fg_member_gone(o->member, k->owner, k->learnt_at);
	return false;
}

static bool is_our_turn(struct fg_owner *o, fg_ms now, struct fg_own_key *k)
{
	if (k->free_since == 0) {
		fg_ms extra_ms =
			(fg_ms)fg_rand_below(&o->rand, FG_OWNER_FALLBACK_MS);

		k->free_since = now + extra_ms;
	}
	if (k->owner == o->conf.self)
		return true;
	if (now >= k->free_since + FG_OWNER_FALLBACK_MS)
		return true;
	return fg_member_candidate(o->member, k->key, k->region, k->dc) ==
	       o->conf.self;
}

/* ---- Claims ---- */

struct batch {
	struct fg_table_op *op; /* NULL when empty */
	struct fg_oop oop;
};

static void batch_send(struct fg_owner *o, fg_ms now, struct batch *b)
{
	if (b->op == NULL)
		return;
	o->claims_busy++;
	fg_owner_submit(o, now, b->op, &b->oop);
	b->op = NULL;
	b->oop.n = 0;
}

static void batch_add(struct fg_owner *o, struct batch *b, struct fg_own_key *k)
{
	if (b->op == NULL)
		b->op = fg_owner_op(o, FG_OP_TXN, NULL);
	k->state = FG_OWN_CLAIMING;
	k->epoch = fg_member_epoch(o->member);
	k->claim_fence = k->fence + 1;
	fg_owner_add_write(b->op, &b->oop, k, o->conf.self, k->claim_fence);
}

/* Claims k, or reads it first when only a hint told of it. */
static void claim(struct fg_owner *o, fg_ms now, struct batch *b,
		  struct fg_own_key *k)
{
	struct batch one = { .oop.kind = FG_OOP_CLAIM };

	if (k->hinted) {
		k->read_due = true;
		o->work_due = true;
	} else if (k->alone) {
		k->alone = false;
		batch_add(o, &one, k);
		batch_send(o, now, &one);
	} else {
		batch_add(o, b, k);
		if (b->oop.n == FG_TXN_MAX)
			batch_send(o, now, b);
	}
}

static void pass(struct fg_owner *o, fg_ms now)
{
	struct batch b = { .oop.kind = FG_OOP_CLAIM };
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, o->keys);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct fg_own_key *k = value;

		if (!may_be_claimed(o, k)) {
			k->free_since = 0;
			continue;
		}
		if (now < k->retry_at || !is_our_turn(o, now, k))
			continue;
		if (o->claims_busy >= CLAIMS_MAX) {
			o->pass_at = now;
			break;
		}
		claim(o, now, &b, k);
	}
	batch_send(o, now, &b);
}

void fg_owner_claim_tick(struct fg_owner *o, fg_ms now)
{
	uint64_t generation = fg_member_generation(o->member);

	if (o->releasing || !o->scanned ||
	    (now < o->pass_at && generation == o->generation))
		return;
	if (fg_member_standing(o->member, now) != FG_STANDING_CONFIRMED)
		return;
	o->pass_at = now + PASS_MS;
	o->generation = generation;
	pass(o, now);
}

/* ---- Results ---- */

/* A result that comes after our lease was lost, or while we may not act, is
 * too late: another may have taken the key since. It is claimed anew. */
static bool claim_counts(const struct fg_owner *o, fg_ms now, uint64_t epoch)
{
	return epoch == fg_member_epoch(o->member) &&
	       fg_may_act(fg_member_standing(o->member, now));
}

void fg_owner_claim_won(struct fg_owner *o, fg_ms now, struct fg_own_key *k,
			uint64_t row_version, uint64_t epoch)
{
	uint64_t before = k->owner;

	k->row_version = row_version;
	k->learnt_at = now;
	k->owner = o->conf.self;
	k->fence = k->claim_fence;
	k->free_since = 0;
	k->hinted = false;
	if (!claim_counts(o, now, epoch)) {
		k->state = FG_OWN_OTHER;
		return;
	}
	k->state = o->releasing ? FG_OWN_RELEASING : FG_OWN_MINE;
	k->epoch = epoch;
	o->work_due = true;
	if (row_version == 0)
		k->read_due = true; /* to learn the version */
	if (k->state == FG_OWN_MINE)
		fg_owner_emit_act(o, FG_OA_GAINED, k);
	if (before != k->owner)
		fg_owner_emit_act(o, FG_OA_CHANGED, k);
}

/* The claim had no effect. */
static void claim_undone(struct fg_owner *o, fg_ms now, struct fg_own_key *k,
			 fg_ms pause_ms)
{
	k->state = k->owner == 0 ? FG_OWN_FREE : FG_OWN_OTHER;
	k->retry_at = now + pause_ms;
	o->pass_at = now;
}

static void claim_key_result(struct fg_owner *o, fg_ms now,
			     struct fg_own_key *k, const struct fg_oop *oop,
			     size_t i, const struct fg_table_result *res)
{
	uint64_t version = 0;

	switch (res->result) {
	case FG_PF_OK:
		if (i < res->n_rows)
			version = res->rows[i].row_version;
		fg_owner_claim_won(o, now, k, version, oop->epoch);
		break;
	case FG_PF_CONFLICT:
		k->state = k->owner == 0 ? FG_OWN_FREE : FG_OWN_OTHER;
		k->alone = oop->n > 1;
		fg_owner_in_the_way(o, now, k, res);
		o->pass_at = now;
		break;
	case FG_PF_LOST:
	case FG_PF_BAD:
		k->read_due = true;
		o->work_due = true;
		break;
	case FG_PF_ABSENT:
	case FG_PF_DOWN:
		claim_undone(o, now, k, (fg_ms)o->conf.retry_ms);
		break;
	}
}

void fg_owner_claim_result(struct fg_owner *o, fg_ms now,
			   const struct fg_oop *oop,
			   const struct fg_table_result *res)
{
	g_assert(o->claims_busy > 0);
	o->claims_busy--;
	for (size_t i = 0; i < oop->n; i++) {
		struct fg_own_key *k = fg_owner_key(o, oop->keys[i]);

		if (k == NULL)
			continue;
		k->busy = false;
		if (k->state == FG_OWN_CLAIMING)
			claim_key_result(o, now, k, oop, i, res);
		else
			k->read_due = true; /* dropped and wanted again */
	}
}
