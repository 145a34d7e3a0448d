/* Writes to rows that are ours: intents and releases. */
#include <string.h>

#include "owner/fg_owner_internal.h"

#define INTENT_TRIES_MAX 3

/* ---- Intents ---- */

static void intent_remove(struct fg_own_key *k, size_t i)
{
	k->n_intents--;
	memmove(&k->intents[i], &k->intents[i + 1],
		(k->n_intents - i) * sizeof(k->intents[0]));
	if (k->n_intents == 0) {
		g_free(k->intents);
		k->intents = NULL;
	}
}

void fg_owner_intents_fail(struct fg_owner *o, struct fg_own_key *k)
{
	for (size_t i = 0; i < k->n_intents;) {
		uint64_t id = k->intents[i].in.id;

		if (k->intents[i].step == FG_INTENT_STORED) {
			i++;
			continue;
		}
		intent_remove(k, i);
		fg_owner_emit_intent(o, FG_OA_INTENT_FAILED, k, id);
	}
}

/* Stored: the order may go out if we may still act at this moment. */
static void intent_stored(struct fg_owner *o, fg_ms now, struct fg_own_key *k,
			  size_t *i)
{
	uint64_t id = k->intents[*i].in.id;

	k->intents[*i].step = FG_INTENT_STORED;
	if (fg_owner_may_act(o, k->key, now)) {
		(*i)++;
		fg_owner_emit_intent(o, FG_OA_INTENT_OK, k, id);
	} else {
		intent_remove(k, *i);
		fg_owner_emit_intent(o, FG_OA_INTENT_FAILED, k, id);
	}
}

static void intents_stored(struct fg_owner *o, fg_ms now, struct fg_own_key *k)
{
	for (size_t i = 0; i < k->n_intents;) {
		if (k->intents[i].step == FG_INTENT_WRITING)
			intent_stored(o, now, k, &i);
		else
			i++;
	}
}

/* Not stored as far as is known: tries again, not for ever. */
static void intent_retry(struct fg_owner *o, struct fg_own_key *k, size_t *i)
{
	struct fg_own_intent *in = &k->intents[*i];
	uint64_t id = in->in.id;

	in->step = FG_INTENT_NEW;
	o->work_due = true;
	if (++in->tries < INTENT_TRIES_MAX) {
		(*i)++;
		return;
	}
	intent_remove(k, *i);
	fg_owner_emit_intent(o, FG_OA_INTENT_FAILED, k, id);
}

static void intents_retry(struct fg_owner *o, struct fg_own_key *k)
{
	for (size_t i = 0; i < k->n_intents;) {
		if (k->intents[i].step == FG_INTENT_WRITING)
			intent_retry(o, k, &i);
		else
			i++;
	}
}

static bool row_has(const struct fg_owner_row *row, uint64_t id)
{
	for (size_t i = 0; i < row->n_intents; i++)
		if (row->intents[i].id == id)
			return true;
	return false;
}

void fg_owner_intents_found(struct fg_owner *o, fg_ms now, struct fg_own_key *k,
			    const struct fg_owner_row *row)
{
	for (size_t i = 0; i < k->n_intents;) {
		if (k->intents[i].step != FG_INTENT_WRITING)
			i++;
		else if (row_has(row, k->intents[i].in.id))
			intent_stored(o, now, k, &i);
		else
			intent_retry(o, k, &i);
	}
}

void fg_owner_store_intent(struct fg_owner *o, fg_ms now, uint64_t key,
			   const struct fg_intent *intent, fg_owner_emit emit,
			   void *arg)
{
	struct fg_own_key *k = fg_owner_key(o, key);
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
		.in = *intent,
		.step = FG_INTENT_NEW,
	};
	o->work_due = true;
}

void fg_owner_remove_intent(struct fg_owner *o, uint64_t key,
			    uint64_t intent_id)
{
	struct fg_own_key *k = fg_owner_key(o, key);

	if (k == NULL || k->state != FG_OWN_MINE)
		return;
	for (size_t i = 0; i < k->n_intents; i++) {
		if (k->intents[i].in.id == intent_id &&
		    k->intents[i].step == FG_INTENT_STORED) {
			intent_remove(k, i);
			return;
		}
	}
}

/* ---- Writes ---- */

static bool has_new_intents(const struct fg_own_key *k)
{
	for (size_t i = 0; i < k->n_intents; i++)
		if (k->intents[i].step == FG_INTENT_NEW)
			return true;
	return false;
}

static bool write_due(const struct fg_own_key *k, enum fg_oop_kind kind,
		      fg_ms now)
{
	if (k->busy || k->read_due)
		return false;
	if (kind == FG_OOP_INTENTS)
		return k->state == FG_OWN_MINE && has_new_intents(k);
	return k->state == FG_OWN_RELEASING && now >= k->retry_at;
}

static void add(struct fg_owner *o, struct fg_table_op *op, struct fg_oop *oop,
		struct fg_own_key *k)
{
	bool release = oop->kind == FG_OOP_RELEASE;

	if (release)
		fg_owner_intents_fail(o, k);
	for (size_t i = 0; i < k->n_intents; i++)
		if (k->intents[i].step == FG_INTENT_NEW)
			k->intents[i].step = FG_INTENT_WRITING;
	fg_owner_add_write(op, oop, k, release ? 0 : o->conf.self, k->fence);
}

static void write_all(struct fg_owner *o, fg_ms now, enum fg_oop_kind kind)
{
	struct fg_oop oop = { .kind = kind };
	struct fg_table_op *op = NULL;
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, o->keys);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct fg_own_key *k = value;
		bool alone = k->alone;

		if (!write_due(k, kind, now))
			continue;
		if (op != NULL && (alone || oop.n == FG_TXN_MAX)) {
			fg_owner_submit(o, now, op, &oop);
			op = NULL;
			oop.n = 0;
		}
		if (op == NULL)
			op = fg_owner_op(o, FG_OP_TXN, NULL);
		k->alone = false;
		add(o, op, &oop, k);
		if (alone) {
			fg_owner_submit(o, now, op, &oop);
			op = NULL;
			oop.n = 0;
		}
	}
	if (op != NULL)
		fg_owner_submit(o, now, op, &oop);
}

void fg_owner_write_tick(struct fg_owner *o, fg_ms now)
{
	write_all(o, now, FG_OOP_INTENTS);
	write_all(o, now, FG_OOP_RELEASE);
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

void fg_owner_released(struct fg_owner *o, fg_ms now, struct fg_own_key *k,
		       uint64_t row_version)
{
	k->state = FG_OWN_FREE;
	k->owner = 0;
	k->row_version = row_version;
	k->learnt_at = now;
	fg_owner_emit_act(o, FG_OA_RELEASED, k);
}

static void written(struct fg_owner *o, fg_ms now, struct fg_own_key *k,
		    enum fg_oop_kind kind, uint64_t version)
{
	if (kind == FG_OOP_RELEASE) {
		fg_owner_released(o, now, k, version);
		return;
	}
	k->row_version = version;
	k->learnt_at = now;
	if (version == 0)
		k->read_due = true; /* to learn the version */
	intents_stored(o, now, k);
}

static void write_key_result(struct fg_owner *o, fg_ms now,
			     struct fg_own_key *k, const struct fg_oop *oop,
			     size_t i, const struct fg_table_result *res)
{
	switch (res->result) {
	case FG_PF_OK:
		written(o, now, k, oop->kind,
			i < res->n_rows ? res->rows[i].row_version : 0);
		break;
	case FG_PF_CONFLICT:
		if (!fg_owner_in_the_way(o, now, k, res))
			intents_retry(o, k);
		k->alone = oop->n > 1;
		break;
	case FG_PF_LOST:
	case FG_PF_BAD:
		k->read_due = true;
		break;
	case FG_PF_ABSENT:
	case FG_PF_DOWN:
		if (oop->kind == FG_OOP_INTENTS)
			fg_owner_intents_fail(o, k);
		k->retry_at = now + (fg_ms)o->conf.retry_ms;
		break;
	}
}

void fg_owner_write_result(struct fg_owner *o, fg_ms now,
			   const struct fg_oop *oop,
			   const struct fg_table_result *res)
{
	o->work_due = true;
	for (size_t i = 0; i < oop->n; i++) {
		struct fg_own_key *k = fg_owner_key(o, oop->keys[i]);

		if (k == NULL)
			continue;
		k->busy = false;
		/* Lost meanwhile, by a hint or with our lease. */
		if (k->state != FG_OWN_MINE && k->state != FG_OWN_RELEASING)
			k->read_due = true;
		else
			write_key_result(o, now, k, oop, i, res);
	}
}
