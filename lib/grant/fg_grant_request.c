/* Grants, held requests, and the record of ended requests. */
#include "grant/fg_grant_priv.h"

#include <assert.h>

#include "base/fg_rand.h"

guint fg_req_key_hash(gconstpointer p)
{
	const struct fg_req_key *k = p;

	return (guint)fg_hash_mix(k->holder, k->req_id);
}

gboolean fg_req_key_equal(gconstpointer a, gconstpointer b)
{
	const struct fg_req_key *x = a;
	const struct fg_req_key *y = b;

	return x->holder == y->holder && x->req_id == y->req_id;
}

/* ---- Ended requests ---- */

static void forget_oldest_ended(struct fg_grants *g)
{
	struct fg_ended_request *e = g_queue_pop_head(&g->ended_fifo);

	g_hash_table_remove(g->ended, &e->key);
}

static void forget_expired_ended(struct fg_grants *g, fg_ms now)
{
	struct fg_ended_request *e;

	while ((e = g_queue_peek_head(&g->ended_fifo)) != NULL &&
	       e->until <= now)
		forget_oldest_ended(g);
}

void fg_grants_remember_ended(struct fg_grants *g, fg_ms now,
			      struct fg_req_key key)
{
	struct fg_ended_request *e;

	if (g_hash_table_contains(g->ended, &key))
		return;
	e = g_new0(struct fg_ended_request, 1);
	e->key = key;
	e->until = now + g->conf.grant_max_ms;
	g_hash_table_insert(g->ended, &e->key, e);
	g_queue_push_tail(&g->ended_fifo, e);
	if (g_queue_get_length(&g->ended_fifo) > FG_ENDED_MAX)
		forget_oldest_ended(g);
}

bool fg_grants_has_ended(const struct fg_grants *g, struct fg_req_key key)
{
	return g_hash_table_contains(g->ended, &key);
}

/* ---- Grants ---- */

/* Routers need to know when the batch becomes almost full and when it has room
 * again. Smaller changes are not announced, to save messages to all routers. */
static void update_full(struct fg_grants *g)
{
	uint32_t full_at = (g->conf.batch * 7 + 7) / 8;
	uint32_t room_at = g->conf.batch * 5 / 8;

	if (g->full ? g->in_use > room_at : g->in_use < full_at)
		return;
	g->full = !g->full;
	fg_grants_note_change(g);
}

void fg_grants_pin_slot(struct fg_grants *g, struct fg_grant_rec *rec,
			int32_t slot)
{
	assert(rec->slot < 0 && slot >= 0);
	rec->slot = slot;
	g->slot[slot].pins++;
	g->in_use++;
	update_full(g);
}

void fg_grants_unpin_slot(struct fg_grants *g, fg_ms now,
			  struct fg_grant_rec *rec)
{
	struct fg_grant_slot *s;

	if (rec->slot < 0)
		return;
	s = &g->slot[rec->slot];
	assert(s->pins > 0 && g->in_use > 0);
	s->pins--;
	s->last_unpinned = now;
	g->in_use--;
	rec->slot = FG_GRANT_SLOT_GONE;
	update_full(g);
}

void fg_grants_add_grant(struct fg_grants *g, struct fg_grant_rec *rec)
{
	g_hash_table_insert(g->grants, &rec->id, rec);
	g_hash_table_insert(g->by_key, &rec->key, rec);
}

void fg_grants_end_grant(struct fg_grants *g, fg_ms now,
			 struct fg_grant_rec *rec)
{
	fg_grants_unpin_slot(g, now, rec);
	fg_grants_remember_ended(g, now, rec->key);
	fg_grants_remember_ended(g, now, (struct fg_req_key){ 0, rec->id });
	if (g_hash_table_lookup(g->by_key, &rec->key) == rec)
		g_hash_table_remove(g->by_key, &rec->key);
	g_hash_table_remove(g->grants, &rec->id);
}

/* Grant ids contain the fence, so that they are unique across owners. */
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

static uint64_t create_grant(struct fg_grants *g, fg_ms now,
			     const struct fg_grant_request *request,
			     fg_ms deadline, int32_t slot)
{
	struct fg_grant_rec *rec = g_new0(struct fg_grant_rec, 1);
	struct fg_grant_slot *s = &g->slot[slot];

	assert(s->state == FG_GRANT_SLOT_READY &&
	       fg_av_equal(s->av, request->av));
	rec->id = new_id(g);
	rec->key = (struct fg_req_key){ request->holder, request->req_id };
	rec->av = request->av;
	rec->slot = FG_GRANT_SLOT_NOT_KNOWN;
	rec->deadline = hard_deadline(g, now, deadline);
	s->last_use = now;
	fg_grants_add_grant(g, rec);
	fg_grants_pin_slot(g, rec, slot);
	return rec->id;
}

/* ---- Held requests ---- */

static void remove_held(struct fg_grants *g, GList *link)
{
	struct fg_held_request *held = link->data;

	g_hash_table_remove(g->held_by_key, &held->key);
	g_queue_delete_link(&g->held[held->request.cls], link);
	g_free(held);
}

static fg_grant_status hold_request(struct fg_grants *g, fg_ms now,
				    const struct fg_grant_request *request)
{
	struct fg_held_request *held;
	GQueue *queue = &g->held[request->cls];

	if (fg_grants_held(g) >= g->conf.queue_max)
		return FG_GRANT_OVERLOAD;
	held = g_new0(struct fg_held_request, 1);
	held->key = (struct fg_req_key){ request->holder, request->req_id };
	held->request = *request;
	held->deadline = now + request->budget_ms;
	held->hold_until = now + request->hold_ms;
	g_queue_push_tail(queue, held);
	g_hash_table_insert(g->held_by_key, &held->key, queue->tail);
	return FG_GRANT_HELD;
}

/*
 * Number of further requests that fill half a batch, the size at which held
 * requests are started. It is not worth joining one running request: each
 * request that joins prolongs the batch, and its size stays little above one.
 */
static uint32_t count_missing_for_batch(const struct fg_grants *g)
{
	uint32_t target = (g->conf.batch + 1) / 2;

	return g->in_use < target ? target - g->in_use : 0;
}

/* True if a held request of class cls or a more urgent one could run now; it
 * precedes a new request of class cls. */
static bool has_held_before(const struct fg_grants *g, enum fg_class cls)
{
	for (int c = 0; c <= (int)cls; c++) {
		for (GList *l = g->held[c].head; l != NULL; l = l->next) {
			const struct fg_held_request *held = l->data;

			if (fg_grants_has_adapter(g, held->request.av))
				return true;
		}
	}
	return false;
}

/* Returns the status that refuses every request now; FG_GRANT_OK if none. */
static fg_grant_status get_refusal(const struct fg_grants *g, fg_ms now)
{
	if (g->fenced)
		return FG_GRANT_NOT_OWNER;
	if (g->leaving || g->engine_leaving)
		return FG_GRANT_LEAVING;
	if (!fg_grants_can_grant(g, now))
		return FG_GRANT_RECOVERING;
	return FG_GRANT_OK;
}

fg_grant_status fg_grants_request(struct fg_grants *g, fg_ms now,
				  const struct fg_grant_request *request,
				  uint64_t *grant)
{
	struct fg_req_key key = { request->holder, request->req_id };
	const struct fg_grant_rec *rec = g_hash_table_lookup(g->by_key, &key);
	fg_grant_status status;
	int32_t slot;

	assert(request->holder != 0 && request->cls < FG_CLASS_COUNT);
	*grant = 0;
	if (rec != NULL) {
		*grant = rec->id;
		return FG_GRANT_OK;
	}
	if (g_hash_table_contains(g->held_by_key, &key))
		return FG_GRANT_HELD;
	if (request->budget_ms == 0 || fg_grants_has_ended(g, key))
		return FG_GRANT_NO_TIME;
	status = get_refusal(g, now);
	if (status != FG_GRANT_OK)
		return status;
	slot = fg_grants_find_slot(g, request->av, FG_GRANT_SLOT_READY);
	if (slot < 0 &&
	    fg_grants_find_slot(g, request->av, FG_GRANT_SLOT_LOADING) < 0)
		return FG_GRANT_NOT_RESIDENT;
	if (request->hold_ms > 0 &&
	    fg_grants_held(g) + 1 < count_missing_for_batch(g))
		return hold_request(g, now, request);
	if (slot < 0 || g->in_use >= g->conf.batch ||
	    has_held_before(g, request->cls) ||
	    fg_grants_is_being_replaced(g, request->av))
		return hold_request(g, now, request);
	*grant = create_grant(g, now, request, now + request->budget_ms, slot);
	return FG_GRANT_OK;
}

void fg_grants_release(struct fg_grants *g, fg_ms now, uint64_t grant)
{
	struct fg_grant_rec *rec = g_hash_table_lookup(g->grants, &grant);

	forget_expired_ended(g, now);
	if (rec != NULL) {
		fg_grants_end_grant(g, now, rec);
		return;
	}
	/* During recovery, a holder's report sent before the release may still
	 * list the grant. */
	fg_grants_remember_ended(g, now, (struct fg_req_key){ 0, grant });
}

void fg_grants_mark_orphaned(struct fg_grants *g, fg_ms now, uint64_t grant)
{
	const struct fg_grant_rec *rec = g_hash_table_lookup(g->grants, &grant);

	if (rec != NULL && rec->slot >= 0)
		g->slot[rec->slot].orphans_since = now + FG_ORPHAN_GRACE_MS;
}

void fg_grants_cancel(struct fg_grants *g, fg_ms now, uint64_t holder,
		      uint64_t req_id)
{
	struct fg_req_key key = { holder, req_id };
	struct fg_grant_rec *rec = g_hash_table_lookup(g->by_key, &key);
	GList *link = g_hash_table_lookup(g->held_by_key, &key);

	if (rec != NULL)
		fg_grants_end_grant(g, now, rec);
	if (link != NULL)
		remove_held(g, link);
	/* The request itself may arrive after its cancellation. */
	fg_grants_remember_ended(g, now, key);
}

struct pending_reply {
	struct fg_grant_request request;
	fg_grant_status status;
	uint64_t grant;
};

/* Decides a held request; returns FG_GRANT_HELD if it stays held. */
static fg_grant_status serve_held_request(struct fg_grants *g, fg_ms now,
					  const struct fg_held_request *held,
					  bool start, uint64_t *grant)
{
	fg_grant_status status = get_refusal(g, now);
	int32_t slot;

	*grant = 0;
	if (held->deadline <= now)
		return FG_GRANT_NO_TIME;
	if (status == FG_GRANT_RECOVERING)
		return FG_GRANT_HELD;
	if (status != FG_GRANT_OK)
		return status;
	slot = fg_grants_find_slot(g, held->request.av, FG_GRANT_SLOT_READY);
	if (slot < 0)
		return fg_grants_find_slot(g, held->request.av,
					   FG_GRANT_SLOT_LOADING) < 0
			       ? FG_GRANT_NOT_RESIDENT
			       : FG_GRANT_HELD;
	if (!start || g->in_use >= g->conf.batch ||
	    fg_grants_is_being_replaced(g, held->request.av))
		return FG_GRANT_HELD;
	*grant = create_grant(g, now, &held->request, held->deadline, slot);
	return FG_GRANT_OK;
}

static void serve_class(struct fg_grants *g, fg_ms now, GQueue *queue,
			bool start, GArray *replies)
{
	GList *next;

	for (GList *l = queue->head; l != NULL; l = next) {
		const struct fg_held_request *held = l->data;
		struct pending_reply a = { .request = held->request };

		next = l->next;
		a.status = serve_held_request(g, now, held, start, &a.grant);
		if (a.status == FG_GRANT_HELD)
			continue;
		remove_held(g, l);
		g_array_append_val(replies, a);
	}
}

/* True if enough requests are held to fill half a batch, or if the hold time
 * of one that could run is over. */
static bool is_batch_due(const struct fg_grants *g, fg_ms now)
{
	if (fg_grants_held(g) >= count_missing_for_batch(g))
		return true;
	for (int c = 0; c < FG_CLASS_COUNT; c++) {
		for (GList *l = g->held[c].head; l != NULL; l = l->next) {
			const struct fg_held_request *held = l->data;

			if (held->hold_until <= now &&
			    fg_grants_has_adapter(g, held->request.av))
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
			g->slot[rec->slot].orphans_since = now;
		fg_grants_end_grant(g, now, rec);
	}
	g_ptr_array_free(due, TRUE);
}

void fg_grants_serve_held(struct fg_grants *g, fg_ms now, fg_grants_reply reply,
			  void *arg)
{
	GArray *replies;
	bool start;

	fg_grants_check_recovery(g, now);
	forget_expired_ended(g, now);
	expire_grants(g, now);
	if (fg_grants_held(g) == 0)
		return;
	/* The callback may call into g again, so replies are sent last. */
	start = is_batch_due(g, now);
	replies = g_array_new(FALSE, FALSE, sizeof(struct pending_reply));
	for (int c = 0; c < FG_CLASS_COUNT; c++)
		serve_class(g, now, &g->held[c], start, replies);
	for (guint i = 0; i < replies->len; i++) {
		const struct pending_reply *a =
			&g_array_index(replies, struct pending_reply, i);

		reply(arg, &a->request, a->status, a->grant);
	}
	g_array_free(replies, TRUE);
}

void fg_grants_on_holder_dead(struct fg_grants *g, fg_ms now, uint64_t holder)
{
	GHashTableIter it;
	gpointer value;

	for (int c = 0; c < FG_CLASS_COUNT; c++) {
		GList *next;

		for (GList *l = g->held[c].head; l != NULL; l = next) {
			const struct fg_held_request *held = l->data;

			next = l->next;
			if (held->key.holder == holder)
				remove_held(g, l);
		}
	}
	g_hash_table_iter_init(&it, g->grants);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct fg_grant_rec *rec = value;

		if (rec->key.holder != holder || rec->holder_dead)
			continue;
		rec->holder_dead = true;
		rec->holder_dead_at = now;
	}
	fg_grants_on_peer_gone(g, now, holder);
}
