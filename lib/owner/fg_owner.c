/* Keys, hints, tick and accessors of the ownership. */
#include "owner/fg_owner.h"

#include "owner/fg_owner_internal.h"

static void free_key(gpointer data)
{
	struct fg_own_key *k = data;

	g_free(k->intents);
	g_free(k);
}

struct fg_owner *fg_owner_new(const struct fg_owner_conf *conf,
			      const struct fg_member *member, uint64_t seed)
{
	struct fg_owner *o = g_new0(struct fg_owner, 1);

	o->conf = *conf;
	o->member = member;
	fg_rand_seed(&o->rand, seed);
	o->keys = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					free_key);
	o->ops = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
				       g_free);
	return o;
}

void fg_owner_free(struct fg_owner *o)
{
	if (o == NULL)
		return;
	g_hash_table_destroy(o->ops);
	g_hash_table_destroy(o->keys);
	g_free(o);
}

struct fg_own_key *fg_owner_find_key(const struct fg_owner *o, uint64_t key)
{
	return g_hash_table_lookup(o->keys, &key);
}

/* ---- Actions ---- */

void fg_owner_emit_act(struct fg_owner *o, enum fg_owner_act_type type,
		       const struct fg_own_key *k)
{
	struct fg_owner_act act = { .type = type,
				    .key = k->key,
				    .owner = k->owner,
				    .fence = k->fence };

	if (type == FG_OA_GAINED) {
		act.n_intents = k->n_intents;
		for (size_t i = 0; i < k->n_intents; i++)
			act.intents[i] = k->intents[i].intent;
	}
	o->emit(o->arg, &act);
}

void fg_owner_emit_intent(struct fg_owner *o, enum fg_owner_act_type type,
			  const struct fg_own_key *k, uint64_t intent_id)
{
	struct fg_owner_act act = { .type = type,
				    .key = k->key,
				    .owner = k->owner,
				    .fence = k->fence,
				    .intent_id = intent_id };

	o->emit(o->arg, &act);
}

void fg_owner_lose_key(struct fg_owner *o, struct fg_own_key *k)
{
	k->state = FG_OWN_OTHER;
	fg_owner_fail_intents(o, k);
	fg_owner_emit_act(o, FG_OA_LOST, k);
}

/* ---- Keys ---- */

void fg_owner_set_key(struct fg_owner *o, uint64_t key, const char *region,
		      const char *dc, bool leaving)
{
	struct fg_own_key *k = fg_owner_find_key(o, key);

	if (k == NULL) {
		k = g_new0(struct fg_own_key, 1);
		k->key = key;
		k->state = FG_OWN_FREE;
		g_hash_table_insert(o->keys, &k->key, k);
		o->pass_at = 0;
	}
	k->region = g_intern_string(region);
	k->dc = g_intern_string(dc);
	k->leaving = leaving;
}

void fg_owner_remove_key(struct fg_owner *o, fg_ms now, uint64_t key,
			 fg_owner_emit emit, void *arg)
{
	struct fg_own_key *k = fg_owner_find_key(o, key);
	struct fg_owner_inflight inflight = { .kind = FG_OWNER_OP_DROP };
	struct fg_table_op *op;
	char name[FG_ROW_KEY_MAX];

	if (k == NULL)
		return;
	o->emit = emit;
	o->arg = arg;
	if (k->state == FG_OWN_MINE && k->row_version != 0) {
		fg_owner_format_row_key(key, name, sizeof(name));
		op = fg_owner_new_op(o, FG_OP_TXN, NULL);
		fg_table_op_add_write(op, name, k->row_version, NULL);
		fg_owner_submit_op(o, now, op, &inflight);
	}
	g_hash_table_remove(o->keys, &key);
}

void fg_owner_on_hint(struct fg_owner *o, fg_ms now, uint64_t key,
		      uint64_t owner, uint64_t fence, fg_owner_emit emit,
		      void *arg)
{
	struct fg_own_key *k = fg_owner_find_key(o, key);

	o->emit = emit;
	o->arg = arg;
	if (k == NULL || fence <= k->fence || owner == o->conf.self)
		return;
	if (k->state == FG_OWN_MINE || k->state == FG_OWN_RELEASING)
		fg_owner_lose_key(o, k);
	else if (k->state == FG_OWN_CLAIMING)
		return; /* the claim's result decides */
	k->owner = owner;
	k->fence = fence;
	k->known_since = now;
	k->from_hint = true;
	k->state = owner == 0 ? FG_OWN_FREE : FG_OWN_OTHER;
	fg_owner_emit_act(o, FG_OA_CHANGED, k);
}

/* ---- Tick ---- */

/* When this instance's lease was lost or acquired again, all owned keys are
 * lost and must be claimed again. */
static void handle_lease_change(struct fg_owner *o, fg_ms now)
{
	uint64_t epoch = fg_member_epoch(o->member);
	GHashTableIter it;
	void *value;

	if (epoch == o->epoch)
		return;
	o->epoch = epoch;
	o->pass_at = now;
	g_hash_table_iter_init(&it, o->keys);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct fg_own_key *k = value;

		if (k->state == FG_OWN_MINE || k->state == FG_OWN_RELEASING)
			fg_owner_lose_key(o, k);
	}
}

void fg_owner_tick(struct fg_owner *o, fg_ms now, fg_owner_emit emit, void *arg)
{
	o->emit = emit;
	o->arg = arg;
	handle_lease_change(o, now);
	if (fg_member_standing(o->member, now) == FG_STANDING_JOINING)
		return;
	fg_owner_scan_tick(o, now);
	fg_owner_claim_tick(o, now);
	if (!o->work_due && !o->releasing)
		return;
	o->work_due = false;
	fg_owner_read_tick(o, now);
	fg_owner_write_tick(o, now);
}

/* ---- Accessors ---- */

enum fg_own_state fg_owner_get_state(const struct fg_owner *o, uint64_t key,
				     uint64_t *owner, uint64_t *fence)
{
	const struct fg_own_key *k = fg_owner_find_key(o, key);

	if (owner != NULL)
		*owner = k != NULL ? k->owner : 0;
	if (fence != NULL)
		*fence = k != NULL ? k->fence : 0;
	return k != NULL ? k->state : FG_OWN_FREE;
}

bool fg_owner_may_act(const struct fg_owner *o, uint64_t key, fg_ms now)
{
	const struct fg_own_key *k = fg_owner_find_key(o, key);

	if (k == NULL || k->state != FG_OWN_MINE ||
	    k->claim_epoch != fg_member_epoch(o->member))
		return false;
	return fg_may_act(fg_member_standing(o->member, now));
}

void fg_owner_for_each_owned(const struct fg_owner *o,
			     void (*fn)(void *arg, uint64_t key,
					uint64_t fence),
			     void *arg)
{
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, o->keys);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct fg_own_key *k = value;

		if (k->state == FG_OWN_MINE)
			fn(arg, k->key, k->fence);
	}
}
