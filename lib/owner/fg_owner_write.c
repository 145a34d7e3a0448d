/* Writes to owned rows: intents and releases. */
#include <string.h>

#include "owner/fg_owner_internal.h"

#define INTENT_ATTEMPTS_MAX 3

/* ---- Intents ---- */

static void remove_intent_at(struct fg_own_key *k, size_t i)
{
	k->n_intents--;
	memmove(&k->intents[i], &k->intents[i + 1],
		(k->n_intents - i) * sizeof(k->intents[0]));
	if (k->n_intents == 0) {
		g_free(k->intents);
		k->intents = NULL;
	}
}

void fg_owner_fail_intents(struct fg_owner *o, struct fg_own_key *k)
{
	for (size_t i = 0; i < k->n_intents;) {
		uint64_t id = k->intents[i].intent.id;

		if (k->intents[i].state == FG_INTENT_STORED) {
			i++;
			continue;
		}
		remove_intent_at(k, i);
		fg_owner_emit_intent(o, FG_OA_INTENT_FAILED, k, id);
	}
}

/* Intent *i is stored. Its order may be sent only if this instance may still
 * act on the key now; otherwise the intent fails. */
static void confirm_intent(struct fg_owner *o, fg_ms now, struct fg_own_key *k,
			   size_t *i)
{
	uint64_t id = k->intents[*i].intent.id;

	k->intents[*i].state = FG_INTENT_STORED;
	if (fg_owner_may_act(o, k->key, now)) {
		(*i)++;
		fg_owner_emit_intent(o, FG_OA_INTENT_OK, k, id);
	} else {
		remove_intent_at(k, *i);
		fg_owner_emit_intent(o, FG_OA_INTENT_FAILED, k, id);
	}
}

static void confirm_intents(struct fg_owner *o, fg_ms now, struct fg_own_key *k)
{
	for (size_t i = 0; i < k->n_intents;) {
		if (k->intents[i].state == FG_INTENT_WRITING)
			confirm_intent(o, now, k, &i);
		else
			i++;
	}
}

/* Intent *i is not stored as far as is known: writes it again, or fails it
 * after INTENT_ATTEMPTS_MAX writes. */
static void retry_intent(struct fg_owner *o, struct fg_own_key *k, size_t *i)
{
	struct fg_own_intent *in = &k->intents[*i];
	uint64_t id = in->intent.id;

	in->state = FG_INTENT_NEW;
	o->work_due = true;
	if (++in->attempts < INTENT_ATTEMPTS_MAX) {
		(*i)++;
		return;
	}
	remove_intent_at(k, *i);
	fg_owner_emit_intent(o, FG_OA_INTENT_FAILED, k, id);
}

static void retry_intents(struct fg_owner *o, struct fg_own_key *k)
{
	for (size_t i = 0; i < k->n_intents;) {
		if (k->intents[i].state == FG_INTENT_WRITING)
			retry_intent(o, k, &i);
		else
			i++;
	}
}

static bool row_has_intent(const struct fg_owner_row *row, uint64_t id)
{
	for (size_t i = 0; i < row->n_intents; i++)
		if (row->intents[i].id == id)
			return true;
	return false;
}

void fg_owner_resolve_intents(struct fg_owner *o, fg_ms now,
			      struct fg_own_key *k,
			      const struct fg_owner_row *row)
{
	for (size_t i = 0; i < k->n_intents;) {
		if (k->intents[i].state != FG_INTENT_WRITING)
			i++;
		else if (row_has_intent(row, k->intents[i].intent.id))
			confirm_intent(o, now, k, &i);
		else
			retry_intent(o, k, &i);
	}
}

void fg_owner_store_intent(struct fg_owner *o, fg_ms now, uint64_t key,
			   const struct fg_intent *intent, fg_owner_emit emit,
			   void *arg)
{
	struct fg_own_key *k = fg_owner_find_key(o, key);
	struct fg_owner_act act = { .type = FG_OA_INTENT_FAILED,
				    .key = key,
				    .intent_id = intent->id };

	o->emit = emit;
	o->arg = arg;
	if (k == NULL || k->n_intents >= FG_INTENTS_MAX ||
	    !fg_owner_may_act(o, key, now)) {
		emit(arg, &act);
		return;
	}
	k->intents =
		g_renew(struct fg_own_intent, k->intents, k->n_intents + 1);
	k->intents[k->n_intents++] = (struct fg_own_intent){
		.intent = *intent,
		.state = FG_INTENT_NEW,
	};
	o->work_due = true;
}

void fg_owner_remove_intent(struct fg_owner *o, uint64_t key,
			    uint64_t intent_id)
{
	struct fg_own_key *k = fg_owner_find_key(o, key);

	if (k == NULL || k->state != FG_OWN_MINE)
		return;
	for (size_t i = 0; i < k->n_intents; i++) {
		if (k->intents[i].intent.id == intent_id &&
		    k->intents[i].state == FG_INTENT_STORED) {
			remove_intent_at(k, i);
			return;
		}
	}
}

/* ---- Writes ---- */

static bool has_new_intents(const struct fg_own_key *k)
{
	for (size_t i = 0; i < k->n_intents; i++)
		if (k->intents[i].state == FG_INTENT_NEW)
			return true;
	return false;
}

static bool is_write_due(const struct fg_own_key *k, enum fg_owner_op_kind kind,
			 fg_ms now)
{
	if (k->op_in_flight || k->read_due)
		return false;
	if (kind == FG_OWNER_OP_INTENTS)
		return k->state == FG_OWN_MINE && has_new_intents(k);
	return k->state == FG_OWN_RELEASING && now >= k->retry_at;
}

static void add_key_write(struct fg_owner *o, struct fg_table_op *op,
			  struct fg_owner_inflight *inflight,
			  struct fg_own_key *k)
{
	bool release = inflight->kind == FG_OWNER_OP_RELEASE;

	if (release)
		fg_owner_fail_intents(o, k);
	for (size_t i = 0; i < k->n_intents; i++)
		if (k->intents[i].state == FG_INTENT_NEW)
			k->intents[i].state = FG_INTENT_WRITING;
	fg_owner_add_write(op, inflight, k, release ? 0 : o->conf.self,
			   k->fence);
}

static void submit_writes(struct fg_owner *o, fg_ms now,
			  enum fg_owner_op_kind kind)
{
	struct fg_owner_inflight inflight = { .kind = kind };
	struct fg_table_op *op = NULL;
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, o->keys);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct fg_own_key *k = value;
		bool alone = k->write_alone;

		if (!is_write_due(k, kind, now))
			continue;
		if (op != NULL && (alone || inflight.n == FG_TXN_MAX)) {
			fg_owner_submit_op(o, now, op, &inflight);
			op = NULL;
			inflight.n = 0;
		}
		if (op == NULL)
			op = fg_owner_new_op(o, FG_OP_TXN, NULL);
		k->write_alone = false;
		add_key_write(o, op, &inflight, k);
		if (alone) {
			fg_owner_submit_op(o, now, op, &inflight);
			op = NULL;
			inflight.n = 0;
		}
	}
	if (op != NULL)
		fg_owner_submit_op(o, now, op, &inflight);
}

void fg_owner_write_tick(struct fg_owner *o, fg_ms now)
{
	submit_writes(o, now, FG_OWNER_OP_INTENTS);
	submit_writes(o, now, FG_OWNER_OP_RELEASE);
}

void fg_owner_release_all(struct fg_owner *o, fg_ms now, fg_owner_emit emit,
			  void *arg)
{
	GHashTableIter it;
	void *value;

	o->emit = emit;
	o->arg = arg;
	o->releasing = true;
	g_hash_table_iter_init(&it, o->keys);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct fg_own_key *k = value;

		if (k->state == FG_OWN_MINE)
			k->state = FG_OWN_RELEASING;
	}
	fg_owner_write_tick(o, now);
}

/* ---- Results ---- */

void fg_owner_apply_release(struct fg_owner *o, fg_ms now, struct fg_own_key *k,
			    uint64_t row_version)
{
	k->state = FG_OWN_FREE;
	k->owner = 0;
	k->row_version = row_version;
	k->known_since = now;
	fg_owner_emit_act(o, FG_OA_RELEASED, k);
}

static void apply_write(struct fg_owner *o, fg_ms now, struct fg_own_key *k,
			enum fg_owner_op_kind kind, uint64_t version)
{
	if (kind == FG_OWNER_OP_RELEASE) {
		fg_owner_apply_release(o, now, k, version);
		return;
	}
	k->row_version = version;
	k->known_since = now;
	if (version == 0)
		k->read_due = true; /* the row version is unknown */
	confirm_intents(o, now, k);
}

static void apply_write_result(struct fg_owner *o, fg_ms now,
			       struct fg_own_key *k,
			       const struct fg_owner_inflight *inflight,
			       size_t i, const struct fg_table_result *res)
{
	switch (res->result) {
	case FG_PF_OK:
		apply_write(o, now, k, inflight->kind,
			    i < res->n_rows ? res->rows[i].row_version : 0);
		break;
	case FG_PF_CONFLICT:
		if (!fg_owner_apply_conflict(o, now, k, res))
			retry_intents(o, k);
		k->write_alone = inflight->n > 1;
		break;
	case FG_PF_LOST:
	case FG_PF_BAD_ANSWER:
		k->read_due = true;
		break;
	case FG_PF_ABSENT:
	case FG_PF_DOWN:
		if (inflight->kind == FG_OWNER_OP_INTENTS)
			fg_owner_fail_intents(o, k);
		k->retry_at = now + (fg_ms)o->conf.retry_ms;
		break;
	}
}

void fg_owner_on_write_result(struct fg_owner *o, fg_ms now,
			      const struct fg_owner_inflight *inflight,
			      const struct fg_table_result *res)
{
	o->work_due = true;
	for (size_t i = 0; i < inflight->n; i++) {
		struct fg_own_key *k = fg_owner_find_key(o, inflight->keys[i]);

		if (k == NULL)
			continue;
		k->op_in_flight = false;
		/* The key was lost meanwhile, through a hint or with this
		 * instance's lease. */
		if (k->state != FG_OWN_MINE && k->state != FG_OWN_RELEASING)
			k->read_due = true;
		else
			apply_write_result(o, now, k, inflight, i, res);
	}
}
