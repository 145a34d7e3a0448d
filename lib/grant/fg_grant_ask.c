/* Grants, held asks, and what is remembered of those that ended. */
#include "grant/fg_grant_priv.h"

#include <assert.h>

#include "base/fg_rand.h"

guint fg_req_key_hash(gconstpointer p)
{
	const struct fg_req_key *k = p;

	return (guint)fg_hash_mix(k->holder, k->req);
}

gboolean fg_req_key_equal(gconstpointer a, gconstpointer b)
{
	const struct fg_req_key *x = a;
	const struct fg_req_key *y = b;

	return x->holder == y->holder && x->req == y->req;
}

/* ---- Ended asks ---- */

static void forget_oldest(struct fg_grants *g)
{
	struct fg_ended *e = g_queue_pop_head(&g->ended_fifo);

	g_hash_table_remove(g->ended, &e->key);
}

static void forget_due(struct fg_grants *g, fg_ms now)
{
	struct fg_ended *e;

	while ((e = g_queue_peek_head(&g->ended_fifo)) != NULL &&
	       e->until <= now)
		forget_oldest(g);
}

void fg_grants_remember(struct fg_grants *g, fg_ms now, struct fg_req_key key)
{
	struct fg_ended *e;

	if (g_hash_table_contains(g->ended, &key))
		return;
	e = g_new0(struct fg_ended, 1);
	e->key = key;
	e->until = now + g->conf.grant_max_ms;
	g_hash_table_insert(g->ended, &e->key, e);
	g_queue_push_tail(&g->ended_fifo, e);
	if (g_queue_get_length(&g->ended_fifo) > FG_ENDED_MAX)
		forget_oldest(g);
}

bool fg_grants_ended(const struct fg_grants *g, struct fg_req_key key)
{
	return g_hash_table_contains(g->ended, &key);
}

/* ---- Grants ---- */

/* Full and not full again are news for those who choose endpoints; what lies
 * between is not worth a message to all. */
static void note_load(struct fg_grants *g)
{
	uint32_t full_from = (g->conf.batch * 7 + 7) / 8;
	uint32_t room_to = g->conf.batch * 5 / 8;

	if (g->full ? g->in_use > room_to : g->in_use < full_from)
		return;
	g->full = !g->full;
	fg_grants_note_change(g);
}

void fg_grants_pin(struct fg_grants *g, struct fg_grant_rec *rec, int32_t slot)
{
	assert(rec->slot < 0 && slot >= 0);
	rec->slot = slot;
	g->slot[slot].pins++;
	g->in_use++;
	note_load(g);
}

void fg_grants_unpin(struct fg_grants *g, fg_ms now, struct fg_grant_rec *rec)
{
	struct fg_slot *s;

	if (rec->slot < 0)
		return;
	s = &g->slot[rec->slot];
	assert(s->pins > 0 && g->in_use > 0);
	s->pins--;
	s->last_unpinned = now;
	g->in_use--;
	rec->slot = FG_SLOT_GONE;
	note_load(g);
}

void fg_grants_insert(struct fg_grants *g, struct fg_grant_rec *rec)
{
	g_hash_table_insert(g->grants, &rec->id, rec);
	g_hash_table_insert(g->by_key, &rec->key, rec);
}

void fg_grants_end(struct fg_grants *g, fg_ms now, struct fg_grant_rec *rec)
{
	fg_grants_unpin(g, now, rec);
	fg_grants_remember(g, now, rec->key);
	fg_grants_remember(g, now, (struct fg_req_key){ 0, rec->id });
	if (g_hash_table_lookup(g->by_key, &rec->key) == rec)
		g_hash_table_remove(g->by_key, &rec->key);
	g_hash_table_remove(g->grants, &rec->id);
}

/* Ids of one owner differ from those of all others by the fence. */
static uint64_t new_id(struct fg_grants *g)
{
	g->next_id++;
	return (g->conf.fence << 32) | (g->next_id & UINT32_MAX);
}

static fg_ms hard_deadline(const struct fg_grants *g, fg_ms now, fg_ms deadline)
{
	fg_ms longest = now + g->conf.grant_max_ms;

	deadline += FG_EXPIRE_GRACE_MS;
	return deadline < longest ? deadline : longest;
}

static uint64_t give(struct fg_grants *g, fg_ms now,
		     const struct fg_grant_request *ask, fg_ms deadline,
		     int32_t slot)
{
	struct fg_grant_rec *rec = g_new0(struct fg_grant_rec, 1);
	struct fg_slot *s = &g->slot[slot];

	assert(s->state == FG_SLOT_READY && fg_av_equal(s->av, ask->av));
	rec->id = new_id(g);
	rec->key = (struct fg_req_key){ ask->holder, ask->req_id };
	rec->av = ask->av;
	rec->slot = FG_SLOT_NOT_KNOWN;
	rec->deadline = hard_deadline(g, now, deadline);
	s->last_use = now;
	fg_grants_insert(g, rec);
	fg_grants_pin(g, rec, slot);
	return rec->id;
}

/* ---- Held asks ---- */

static void drop_held(struct fg_grants *g, GList *link)
{
	struct fg_held *held = link->data;

	g_hash_table_remove(g->held_by_key, &held->key);
	g_queue_delete_link(&g->held[held->ask.cls], link);
	g_free(held);
}

static fg_grant_status hold(struct fg_grants *g, fg_ms now,
			    const struct fg_grant_request *ask)
{
	struct fg_held *held;
	GQueue *queue = &g->held[ask->cls];

	if (fg_grants_held(g) >= g->conf.queue_max)
		return FG_GRANT_OVERLOAD;
	held = g_new0(struct fg_held, 1);
	held->key = (struct fg_req_key){ ask->holder, ask->req_id };
	held->ask = *ask;
	held->deadline = now + ask->budget_ms;
	held->hold_until = now + ask->hold_ms;
	g_queue_push_tail(queue, held);
	g_hash_table_insert(g->held_by_key, &held->key, queue->tail);
	return FG_GRANT_HELD;
}

/*
 * Requests that a batch lacks to be worth running for held asks. One running
 * request is not enough to join: each that joins makes the batch last longer,
 * at hardly more than one.
 */
static uint32_t missing_to_fill(const struct fg_grants *g)
{
	uint32_t target = (g->conf.batch + 1) / 2;

	return g->in_use < target ? target - g->in_use : 0;
}

/* True when a held ask that could run now goes before one of class cls. */
static bool held_before(const struct fg_grants *g, enum fg_class cls)
{
	for (int c = 0; c <= (int)cls; c++) {
		for (GList *l = g->held[c].head; l != NULL; l = l->next) {
			const struct fg_held *held = l->data;

			if (fg_grants_has_adapter(g, held->ask.av))
				return true;
		}
	}
	return false;
}

/* The refusal that holds for every ask now; FG_GRANT_OK if there is none. */
static fg_grant_status refusal(const struct fg_grants *g, fg_ms now)
{
	if (g->fenced)
		return FG_GRANT_NOT_OWNER;
	if (g->leaving || g->engine_leaving)
		return FG_GRANT_LEAVING;
	if (!fg_grants_safe(g, now))
		return FG_GRANT_RECOVERING;
	return FG_GRANT_OK;
}

fg_grant_status fg_grants_request(struct fg_grants *g, fg_ms now,
				  const struct fg_grant_request *ask,
				  uint64_t *grant)
{
	struct fg_req_key key = { ask->holder, ask->req_id };
	const struct fg_grant_rec *rec = g_hash_table_lookup(g->by_key, &key);
	fg_grant_status status;
	int32_t slot;

	assert(ask->holder != 0 && ask->cls < FG_CLASS_COUNT);
	*grant = 0;
	if (rec != NULL) {
		*grant = rec->id;
		return FG_GRANT_OK;
	}
	if (g_hash_table_contains(g->held_by_key, &key))
		return FG_GRANT_HELD;
	if (ask->budget_ms == 0 || fg_grants_ended(g, key))
		return FG_GRANT_NO_TIME;
	status = refusal(g, now);
	if (status != FG_GRANT_OK)
		return status;
	slot = fg_grants_find(g, ask->av, FG_SLOT_READY);
	if (slot < 0 && fg_grants_find(g, ask->av, FG_SLOT_LOADING) < 0)
		return FG_GRANT_NOT_RESIDENT;
	if (ask->hold_ms > 0 && fg_grants_held(g) + 1 < missing_to_fill(g))
		return hold(g, now, ask);
	if (slot < 0 || g->in_use >= g->conf.batch ||
	    held_before(g, ask->cls) || fg_grants_replaced(g, ask->av))
		return hold(g, now, ask);
	*grant = give(g, now, ask, now + ask->budget_ms, slot);
	return FG_GRANT_OK;
}

void fg_grants_release(struct fg_grants *g, fg_ms now, uint64_t grant)
{
	struct fg_grant_rec *rec = g_hash_table_lookup(g->grants, &grant);

	forget_due(g, now);
	if (rec != NULL) {
		fg_grants_end(g, now, rec);
		return;
	}
	/* It may be told later by a holder that answered before releasing. */
	fg_grants_remember(g, now, (struct fg_req_key){ 0, grant });
}

void fg_grants_mark_orphaned(struct fg_grants *g, fg_ms now, uint64_t grant)
{
	const struct fg_grant_rec *rec = g_hash_table_lookup(g->grants, &grant);

	if (rec != NULL && rec->slot >= 0)
		g->slot[rec->slot].strays_since = now + FG_DEAD_GRACE_MS;
}

void fg_grants_cancel(struct fg_grants *g, fg_ms now, uint64_t holder,
		      uint64_t req)
{
	struct fg_req_key key = { holder, req };
	struct fg_grant_rec *rec = g_hash_table_lookup(g->by_key, &key);
	GList *link = g_hash_table_lookup(g->held_by_key, &key);

	if (rec != NULL)
		fg_grants_end(g, now, rec);
	if (link != NULL)
		drop_held(g, link);
	/* The ask itself may still be on its way. */
	fg_grants_remember(g, now, key);
}

struct answer {
	struct fg_grant_request ask;
	fg_grant_status status;
	uint64_t grant;
};

/* What becomes of a held ask now; FG_GRANT_HELD if it stays. */
static fg_grant_status serve(struct fg_grants *g, fg_ms now,
			     const struct fg_held *held, bool start,
			     uint64_t *grant)
{
	fg_grant_status status = refusal(g, now);
	int32_t slot;

	*grant = 0;
	if (held->deadline <= now)
		return FG_GRANT_NO_TIME;
	if (status == FG_GRANT_RECOVERING)
		return FG_GRANT_HELD;
	if (status != FG_GRANT_OK)
		return status;
	slot = fg_grants_find(g, held->ask.av, FG_SLOT_READY);
	if (slot < 0)
		return fg_grants_find(g, held->ask.av, FG_SLOT_LOADING) < 0
			       ? FG_GRANT_NOT_RESIDENT
			       : FG_GRANT_HELD;
	if (!start || g->in_use >= g->conf.batch ||
	    fg_grants_replaced(g, held->ask.av))
		return FG_GRANT_HELD;
	*grant = give(g, now, &held->ask, held->deadline, slot);
	return FG_GRANT_OK;
}

static void serve_class(struct fg_grants *g, fg_ms now, GQueue *queue,
			bool start, GArray *answers)
{
	GList *next;

	for (GList *l = queue->head; l != NULL; l = next) {
		const struct fg_held *held = l->data;
		struct answer a = { .ask = held->ask };

		next = l->next;
		a.status = serve(g, now, held, start, &a.grant);
		if (a.status == FG_GRANT_HELD)
			continue;
		drop_held(g, l);
		g_array_append_val(answers, a);
	}
}

/* Is it time to run what is held for a batch to fill? */
static bool batch_is_due(const struct fg_grants *g, fg_ms now)
{
	if (fg_grants_held(g) >= missing_to_fill(g))
		return true;
	for (int c = 0; c < FG_CLASS_COUNT; c++) {
		for (GList *l = g->held[c].head; l != NULL; l = l->next) {
			const struct fg_held *held = l->data;

			if (held->hold_until <= now &&
			    fg_grants_has_adapter(g, held->ask.av))
				return true;
		}
	}
	return false;
}

static void expire_grants(struct fg_grants *g, fg_ms now)
{
	GHashTableIter it;
	gpointer value;
	GPtrArray *due = NULL;

	g_hash_table_iter_init(&it, g->grants);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct fg_grant_rec *rec = value;

		if (rec->deadline > now)
			continue;
		if (due == NULL)
			due = g_ptr_array_new();
		g_ptr_array_add(due, value);
	}
	if (due == NULL)
		return;
	for (guint i = 0; i < due->len; i++) {
		struct fg_grant_rec *rec = due->pdata[i];

		if (rec->slot >= 0)
			g->slot[rec->slot].strays_since = now;
		fg_grants_end(g, now, rec);
	}
	g_ptr_array_free(due, TRUE);
}

void fg_grants_serve_held(struct fg_grants *g, fg_ms now, fg_grants_reply reply,
			  void *arg)
{
	GArray *answers;
	bool start;

	fg_grants_check_recovery(g, now);
	forget_due(g, now);
	expire_grants(g, now);
	if (fg_grants_held(g) == 0)
		return;
	/* The callback may come back to g: answers are given at the end. */
	start = batch_is_due(g, now);
	answers = g_array_new(FALSE, FALSE, sizeof(struct answer));
	for (int c = 0; c < FG_CLASS_COUNT; c++)
		serve_class(g, now, &g->held[c], start, answers);
	for (guint i = 0; i < answers->len; i++) {
		const struct answer *a =
			&g_array_index(answers, struct answer, i);

		reply(arg, &a->ask, a->status, a->grant);
	}
	g_array_free(answers, TRUE);
}

void fg_grants_on_holder_dead(struct fg_grants *g, fg_ms now, uint64_t holder)
{
	GHashTableIter it;
	gpointer value;

	for (int c = 0; c < FG_CLASS_COUNT; c++) {
		GList *next;

		for (GList *l = g->held[c].head; l != NULL; l = next) {
			const struct fg_held *held = l->data;

			next = l->next;
			if (held->key.holder == holder)
				drop_held(g, l);
		}
	}
	g_hash_table_iter_init(&it, g->grants);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct fg_grant_rec *rec = value;

		if (rec->key.holder != holder || rec->dead)
			continue;
		rec->dead = true;
		rec->dead_at = now;
	}
	fg_grants_on_peer_gone(g, now, holder);
}
