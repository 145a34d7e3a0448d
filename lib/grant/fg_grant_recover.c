/* Engine state, tainted slots, and the recovery of a new owner. */
#include "grant/fg_grant_priv.h"

#include <assert.h>

/* ---- Recovery ---- */

bool fg_grants_is_recovering(const struct fg_grants *g, fg_ms now)
{
	if (!g->recovering)
		return false;
	if (!g->have_state)
		return true;
	if (now >= g->recovery_end)
		return false;
	return !g->peers_known || g_hash_table_size(g->awaited_peers) > 0;
}

void fg_grants_check_recovery(struct fg_grants *g, fg_ms now)
{
	if (g->recovering && !fg_grants_is_recovering(g, now))
		g->recovering = false;
}

bool fg_grants_needs_fence(const struct fg_grants *g)
{
	return g->checks_fence && g->engine_fence < g->conf.fence;
}

bool fg_grants_can_grant(const struct fg_grants *g, fg_ms now)
{
	if (!g->have_state)
		return false;
	/* The engine obeys orders of the last owner until it has seen this
	 * owner's fence, or until such orders are too old to arrive. */
	return !fg_grants_needs_fence(g) || now >= g->recovery_end;
}

void fg_grants_await_peers(struct fg_grants *g, const uint64_t *peers, size_t n)
{
	g->peers_known = true;
	for (size_t i = 0; i < n; i++)
		g_hash_table_add(g->awaited_peers,
				 g_memdup2(&peers[i], sizeof(*peers)));
}

size_t fg_grants_awaited_peers(const struct fg_grants *g, uint64_t *ids,
			       size_t max)
{
	GHashTableIter it;
	gpointer id;
	size_t n = 0;

	g_hash_table_iter_init(&it, g->awaited_peers);
	while (n < max && g_hash_table_iter_next(&it, &id, NULL))
		ids[n++] = *(const uint64_t *)id;
	return n;
}

void fg_grants_on_peer_gone(struct fg_grants *g, fg_ms now, uint64_t peer)
{
	if (g_hash_table_remove(g->awaited_peers, &peer))
		fg_grants_expect_orphans(g, now);
	fg_grants_check_recovery(g, now);
}

/* Returns the slot that a grant for av uses; -1 if there is none. */
static int32_t find_slot_of(const struct fg_grants *g, fg_av av)
{
	for (uint32_t i = 0; i < g->conf.slots; i++) {
		const struct fg_grant_slot *s = &g->slot[i];

		if (s->state == FG_GRANT_SLOT_READY && fg_av_equal(s->av, av))
			return (int32_t)i;
		if (s->state == FG_GRANT_SLOT_TAINTED &&
		    fg_av_equal(s->victim, av))
			return (int32_t)i;
	}
	return -1;
}

static void add_peer_grant(struct fg_grants *g, fg_ms now, uint64_t peer,
			   const fg_grant_info *info)
{
	struct fg_req_key id = { 0, info->grant };
	struct fg_req_key key = { peer, info->req };
	struct fg_grant_rec *rec;
	uint64_t grant = info->grant;
	int32_t slot;

	if (g_hash_table_contains(g->grants, &grant))
		return;
	if (g_hash_table_contains(g->by_key, &key))
		return;
	if (fg_grants_has_ended(g, id) || fg_grants_has_ended(g, key))
		return;
	rec = g_new0(struct fg_grant_rec, 1);
	rec->id = info->grant;
	rec->key = key;
	rec->av = info->av;
	rec->deadline = now + info->left_ms + FG_EXPIRE_GRACE_MS;
	rec->slot = FG_GRANT_SLOT_NOT_KNOWN;
	fg_grants_add_grant(g, rec);
	slot = find_slot_of(g, info->av);
	if (slot >= 0)
		fg_grants_pin_slot(g, rec, slot);
	else if (g->have_state)
		rec->slot = FG_GRANT_SLOT_GONE;
}

void fg_grants_on_peer_grants(struct fg_grants *g, fg_ms now, uint64_t peer,
			      const fg_grant_info *infos, size_t n)
{
	for (size_t i = 0; i < n; i++)
		add_peer_grant(g, now, peer, &infos[i]);
	g_hash_table_remove(g->awaited_peers, &peer);
	fg_grants_check_recovery(g, now);
}

void fg_grants_taint_slots(struct fg_grants *g, fg_ms now,
			   const struct fg_intent *intents, size_t n)
{
	uint64_t newest[FG_GRANT_SLOTS_MAX] = { 0 };

	for (size_t i = 0; i < n; i++) {
		const struct fg_intent *in = &intents[i];
		struct fg_grant_slot *s;

		if (in->slot >= g->conf.slots)
			continue;
		s = &g->slot[in->slot];
		if (now + in->life_ms > s->taint_until)
			s->taint_until = now + in->life_ms;
		/* Orders for one slot are sent one after the other: once the
		 * newest has taken effect, the older ones have ended. */
		if (s->state == FG_GRANT_SLOT_TAINTED &&
		    in->id < newest[in->slot])
			continue;
		newest[in->slot] = in->id;
		if (s->state == FG_GRANT_SLOT_READY)
			fg_grants_note_change(g);
		s->state = FG_GRANT_SLOT_TAINTED;
		s->av = (fg_av){ 0, 0 };
		s->victim = in->victim;
		s->incoming = in->av;
		s->expects_empty = fg_av_is_none(in->av);
		s->since = now - 1;
	}
}

/* ---- The engine's state ---- */

/* Removes the slot's pins of grants for other adapters than av. */
static void unpin_others(struct fg_grants *g, fg_ms now, int32_t slot, fg_av av)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, g->grants);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct fg_grant_rec *rec = value;

		if (rec->slot == slot && !fg_av_equal(rec->av, av))
			fg_grants_unpin_slot(g, now, rec);
	}
}

static void set_slot_content(struct fg_grants *g, fg_ms now, int32_t slot,
			     fg_av av)
{
	struct fg_grant_slot *s = &g->slot[slot];
	enum fg_grant_slot_state state =
		fg_av_is_none(av) ? FG_GRANT_SLOT_EMPTY : FG_GRANT_SLOT_READY;

	if (s->state == state && fg_av_equal(s->av, av))
		return;
	unpin_others(g, now, slot, av);
	s->state = state;
	s->av = av;
	s->victim = (fg_av){ 0, 0 };
	s->incoming = (fg_av){ 0, 0 };
	s->since = now;
	s->last_use = now;
	fg_grants_note_change(g);
}

/* True if the open order on a tainted slot has taken effect, or can no longer
 * arrive. */
static bool is_taint_over(const struct fg_grant_slot *s, fg_ms asked_at,
			  bool loading, fg_av content)
{
	if (loading)
		return false;
	if (asked_at >= s->taint_until)
		return true;
	if (s->expects_empty)
		return fg_av_is_none(content);
	return !fg_av_is_none(s->incoming) && fg_av_equal(content, s->incoming);
}

static void taint_while_loading(struct fg_grants *g, fg_ms now, int32_t slot,
				fg_av incoming)
{
	struct fg_grant_slot *s = &g->slot[slot];

	if (s->state == FG_GRANT_SLOT_READY) {
		unpin_others(g, now, slot, incoming);
		fg_grants_note_change(g);
	}
	s->state = FG_GRANT_SLOT_TAINTED;
	s->av = (fg_av){ 0, 0 };
	s->victim = (fg_av){ 0, 0 };
	s->incoming = incoming;
	s->expects_empty = false;
	s->taint_until = now;
	s->since = now;
}

static void reconcile_slot(struct fg_grants *g, fg_ms now, fg_ms asked_at,
			   int32_t slot, const struct fg_engine_slot *es,
			   fg_av content)
{
	struct fg_grant_slot *s = &g->slot[slot];

	if (asked_at <= s->since)
		return;
	s->running = es->running;
	s->running_asked_at = asked_at;
	if (es->running == 0 && s->orphans_since <= asked_at)
		s->orphans_since = FG_MS_NEVER;
	switch (s->state) {
	case FG_GRANT_SLOT_LOADING:
		break;
	case FG_GRANT_SLOT_TAINTED:
		if (is_taint_over(s, asked_at, es->loading, content)) {
			set_slot_content(g, now, slot, content);
		} else if (!es->loading) {
			unpin_others(g, now, slot, content);
			s->victim = content;
		}
		break;
	default:
		if (es->loading)
			taint_while_loading(g, now, slot, content);
		else
			set_slot_content(g, now, slot, content);
		break;
	}
}

/* Pins the grants that peers reported before the slots' content was known. */
static void pin_peer_grants(struct fg_grants *g)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, g->grants);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct fg_grant_rec *rec = value;
		int32_t slot;

		if (rec->slot != FG_GRANT_SLOT_NOT_KNOWN)
			continue;
		slot = find_slot_of(g, rec->av);
		if (slot >= 0)
			fg_grants_pin_slot(g, rec, slot);
		else
			rec->slot = FG_GRANT_SLOT_GONE;
	}
}

/* Ends the grants of dead holders on slots where the engine runs nothing. */
static void end_dead_holder_grants(struct fg_grants *g, fg_ms now,
				   fg_ms asked_at)
{
	GHashTableIter it;
	gpointer value;
	GPtrArray *finished = g_ptr_array_new();

	g_hash_table_iter_init(&it, g->grants);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct fg_grant_rec *rec = value;
		const struct fg_grant_slot *s;

		if (!rec->holder_dead ||
		    asked_at < rec->holder_dead_at + FG_ORPHAN_GRACE_MS)
			continue;
		s = rec->slot >= 0 ? &g->slot[rec->slot] : NULL;
		if (s == NULL ||
		    (s->running_asked_at == asked_at && s->running == 0))
			g_ptr_array_add(finished, value);
	}
	for (guint i = 0; i < finished->len; i++)
		fg_grants_end_grant(g, now, finished->pdata[i]);
	g_ptr_array_free(finished, TRUE);
}

static void update_engine_info(struct fg_grants *g,
			       const struct fg_engine_state *st, bool restarted)
{
	g->checks_fence = st->checks_fence;
	if (restarted || st->fence > g->engine_fence)
		g->engine_fence = st->fence;
	if (st->checks_fence && st->fence > g->conf.fence)
		g->fenced = true;
	if (g->engine_leaving != st->leaving) {
		g->engine_leaving = st->leaving;
		fg_grants_note_change(g);
	}
	if (st->batch > 0 && st->batch != g->conf.batch) {
		g->conf.batch = st->batch;
		fg_grants_note_change(g);
	}
}

bool fg_grants_on_engine_state(struct fg_grants *g, fg_ms now, fg_ms asked_at,
			       const struct fg_engine_state *st,
			       fg_av (*find)(void *arg, const char *adapter,
					     const char *version),
			       void *arg)
{
	bool restarted = g->epoch != 0 && st->epoch != g->epoch;

	if (asked_at < g->last_asked_at)
		return false;
	g->last_asked_at = asked_at;
	g->epoch = st->epoch;
	update_engine_info(g, st, restarted);
	for (uint32_t i = 0; i < g->conf.slots; i++) {
		const struct fg_engine_slot *es = &st->slot[i];
		fg_av content = { 0, 0 };

		if (restarted && g->slot[i].state == FG_GRANT_SLOT_LOADING)
			g->slot[i].epoch_changed = true;
		if (i < st->slots && es->adapter[0] != '\0')
			content = find(arg, es->adapter, es->version);
		reconcile_slot(g, now, asked_at, (int32_t)i, es, content);
	}
	if (!g->have_state) {
		g->have_state = true;
		pin_peer_grants(g);
	}
	end_dead_holder_grants(g, now, asked_at);
	fg_grants_check_recovery(g, now);
	return restarted;
}
