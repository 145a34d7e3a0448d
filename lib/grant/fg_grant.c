/* Slots, loads and accessors; fg_grant_priv.h lists the other parts. */
#include "grant/fg_grant_priv.h"

#include <assert.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

void fg_grants_expect_orphans(struct fg_grants *g, fg_ms now)
{
	for (uint32_t i = 0; i < g->conf.slots; i++)
		g->slot[i].orphans_since = now + FG_ORPHAN_GRACE_MS;
}

struct fg_grants *fg_grants_new(const struct fg_grants_conf *conf, fg_ms now,
				bool recovering)
{
	struct fg_grants *g = g_new0(struct fg_grants, 1);

	assert(conf->slots >= 1 && conf->slots <= FG_GRANT_SLOTS_MAX);
	g->conf = *conf;
	g->grants = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					  g_free);
	g->by_key = g_hash_table_new(fg_req_key_hash, fg_req_key_equal);
	g->held_by_key = g_hash_table_new(fg_req_key_hash, fg_req_key_equal);
	g->ended = g_hash_table_new_full(fg_req_key_hash, fg_req_key_equal,
					 NULL, g_free);
	g->awaited_peers = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 g_free, NULL);
	for (int c = 0; c < FG_CLASS_COUNT; c++)
		g_queue_init(&g->held[c]);
	g_queue_init(&g->ended_fifo);
	g->recovering = recovering;
	g->have_state = !recovering;
	g->last_asked_at = now - 1;
	if (recovering)
		g->recovery_end = now + conf->grant_max_ms;
	/* The slots are older than any engine state that is accepted (asked for
	 * at last_asked_at or later), so that no slot counts as empty before
	 * the engine has reported it. */
	for (uint32_t i = 0; i < conf->slots; i++) {
		g->slot[i].since = g->last_asked_at - 1;
		g->slot[i].last_unpinned = now - 1;
		g->slot[i].orphans_since = FG_MS_NEVER;
	}
	if (recovering)
		fg_grants_expect_orphans(g, now);
	fg_grants_note_change(g);
	return g;
}

void fg_grants_free(struct fg_grants *g)
{
	if (g == NULL)
		return;
	for (int c = 0; c < FG_CLASS_COUNT; c++)
		g_queue_clear_full(&g->held[c], g_free);
	g_queue_clear(&g->ended_fifo);
	g_hash_table_destroy(g->by_key);
	g_hash_table_destroy(g->held_by_key);
	g_hash_table_destroy(g->grants);
	g_hash_table_destroy(g->ended);
	g_hash_table_destroy(g->awaited_peers);
	g_free(g);
}

void fg_grants_note_change(struct fg_grants *g)
{
	g->seq++;
	g->changed = true;
}

int32_t fg_grants_find_slot(const struct fg_grants *g, fg_av av,
			    enum fg_grant_slot_state state)
{
	for (uint32_t i = 0; i < g->conf.slots; i++)
		if (g->slot[i].state == state && fg_av_equal(g->slot[i].av, av))
			return (int32_t)i;
	return -1;
}

/* ---- Loads ---- */

static bool has_held_request(const struct fg_grants *g, fg_av av)
{
	for (int c = 0; c < FG_CLASS_COUNT; c++) {
		for (GList *l = g->held[c].head; l != NULL; l = l->next) {
			const struct fg_held_request *held = l->data;

			if (fg_av_equal(held->request.av, av))
				return true;
		}
	}
	return false;
}

/*
 * True if any grant is for av. A request names an adapter, not a slot: the
 * engine may run it on any slot that holds the adapter. The request may also
 * arrive late, under a grant whose slot was lost in an engine restart.
 */
static bool is_granted(const struct fg_grants *g, fg_av av)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, g->grants);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (fg_av_equal(((const struct fg_grant_rec *)value)->av, av))
			return true;
	return false;
}

/*
 * True if neither a known grant nor an orphaned request can use the slot. A
 * holder that died together with the last owner cannot report its grants, so
 * only the engine's state shows that its requests have ended.
 */
static bool is_unused(const struct fg_grants *g, const struct fg_grant_slot *s)
{
	if (g->conf.no_pins)
		return true;
	if (s->pins > 0)
		return false;
	if (!fg_av_is_none(s->av) && is_granted(g, s->av))
		return false;
	if (s->orphans_since != FG_MS_NEVER)
		return false;
	return s->running == 0 || s->running_asked_at <= s->last_unpinned;
}

bool fg_grants_is_being_replaced(const struct fg_grants *g, fg_av av)
{
	for (uint32_t i = 0; i < g->conf.slots; i++) {
		const struct fg_grant_slot *s = &g->slot[i];

		if ((s->state == FG_GRANT_SLOT_LOADING ||
		     s->state == FG_GRANT_SLOT_TAINTED) &&
		    fg_av_equal(s->victim, av))
			return true;
	}
	return false;
}

static bool can_evict(const struct fg_grants *g, const struct fg_grant_slot *s)
{
	return s->state == FG_GRANT_SLOT_READY && is_unused(g, s) &&
	       !has_held_request(g, s->av);
}

static int32_t pick_empty_slot(const struct fg_grants *g)
{
	for (uint32_t i = 0; i < g->conf.slots; i++)
		if (g->slot[i].state == FG_GRANT_SLOT_EMPTY &&
		    g->slot[i].running == 0)
			return (int32_t)i;
	return -1;
}

static int32_t pick_victim(const struct fg_grants *g, fg_av prefer,
			   double (*score)(void *arg, fg_av av), void *arg)
{
	int32_t best = -1;
	double best_score = INFINITY;

	for (uint32_t i = 0; i < g->conf.slots; i++) {
		const struct fg_grant_slot *s = &g->slot[i];
		double value;

		if (!can_evict(g, s))
			continue;
		if (!fg_av_is_none(prefer) && fg_av_equal(s->av, prefer))
			return (int32_t)i;
		value = score ? score(arg, s->av) : (double)s->last_use;
		if (value < best_score) {
			best = (int32_t)i;
			best_score = value;
		}
	}
	return best;
}

double fg_grants_score_keep(void *arg, fg_av av)
{
	(void)arg;
	(void)av;
	return INFINITY;
}

enum fg_load_start_result
fg_grants_start_load(struct fg_grants *g, fg_ms now, fg_av av, fg_av prefer,
		     double (*score)(void *arg, fg_av av), void *arg,
		     uint32_t *slot, fg_av *victim)
{
	struct fg_grant_slot *s;
	int32_t i;

	assert(!fg_av_is_none(av));
	if (g->leaving || g->engine_leaving || g->fenced)
		return FG_LOAD_START_LEAVING;
	if (fg_grants_is_recovering(g, now))
		return FG_LOAD_START_RECOVERING;
	if (fg_grants_find_slot(g, av, FG_GRANT_SLOT_READY) >= 0 ||
	    fg_grants_find_slot(g, av, FG_GRANT_SLOT_LOADING) >= 0)
		return FG_LOAD_START_PRESENT;
	i = pick_empty_slot(g);
	if (i < 0)
		i = pick_victim(g, prefer, score, arg);
	if (i < 0)
		return FG_LOAD_START_PINNED;
	s = &g->slot[i];
	assert(s->pins == 0 || g->conf.no_pins);
	*slot = (uint32_t)i;
	*victim = s->av;
	s->victim = s->av;
	if (s->state == FG_GRANT_SLOT_READY)
		fg_grants_note_change(g);
	s->state = FG_GRANT_SLOT_LOADING;
	s->av = av;
	s->since = now;
	s->epoch_changed = false;
	return FG_LOAD_START_OK;
}

static void taint_slot(struct fg_grant_slot *s, fg_ms now, fg_ms until)
{
	s->state = FG_GRANT_SLOT_TAINTED;
	s->incoming = s->av;
	s->av = (fg_av){ 0, 0 };
	s->expects_empty = false;
	s->since = now;
	s->taint_until = until;
}

void fg_grants_finish_load(struct fg_grants *g, fg_ms now, uint32_t slot,
			   enum fg_order_status status, uint32_t life_ms)
{
	struct fg_grant_slot *s;

	assert(slot < g->conf.slots);
	s = &g->slot[slot];
	if (s->state != FG_GRANT_SLOT_LOADING)
		return;
	if (status == FG_ORDER_FENCED)
		g->fenced = true;
	if (status == FG_ORDER_DONE && g->engine_fence < g->conf.fence)
		g->engine_fence = g->conf.fence;
	if (status == FG_ORDER_LOST) {
		taint_slot(s, now, now + life_ms);
		return;
	}
	/* After an engine restart during the load, DONE may refer to the time
	 * before it; the next engine state shows what the slot holds. */
	if (status != FG_ORDER_DONE || s->epoch_changed) {
		taint_slot(s, now, now);
		return;
	}
	s->state = FG_GRANT_SLOT_READY;
	s->victim = (fg_av){ 0, 0 };
	s->since = now;
	s->last_use = now;
	s->running = 0;
	s->running_asked_at = now;
	s->orphans_since = FG_MS_NEVER;
	fg_grants_note_change(g);
}

/* ---- Leaving and accessors ---- */

void fg_grants_set_leaving(struct fg_grants *g)
{
	if (g->leaving)
		return;
	g->leaving = true;
	fg_grants_note_change(g);
}

uint32_t fg_grants_in_use(const struct fg_grants *g)
{
	return g->in_use;
}

uint32_t fg_grants_held(const struct fg_grants *g)
{
	return g_hash_table_size(g->held_by_key);
}

uint32_t fg_grants_slot_count(const struct fg_grants *g)
{
	return g->conf.slots;
}

struct fg_grant_slot_view fg_grants_view_slot(const struct fg_grants *g,
					      uint32_t slot)
{
	const struct fg_grant_slot *s;
	struct fg_grant_slot_view view = { 0 };

	assert(slot < g->conf.slots);
	s = &g->slot[slot];
	view.state = s->state;
	view.av = s->state == FG_GRANT_SLOT_TAINTED ? s->incoming : s->av;
	view.pins = s->pins;
	view.last_use = s->last_use;
	view.since = s->since;
	return view;
}

bool fg_grants_has_adapter(const struct fg_grants *g, fg_av av)
{
	return fg_grants_find_slot(g, av, FG_GRANT_SLOT_READY) >= 0;
}

void fg_grants_fill_resident(const struct fg_grants *g, fg_resident *out)
{
	fg_av av[FG_GRANT_SLOTS_MAX];
	size_t n = 0;

	memset(out, 0, sizeof(*out));
	out->ep = g->conf.ep;
	out->fence = g->conf.fence;
	out->seq = g->seq;
	out->slots = g->conf.slots;
	out->in_use = g->in_use;
	out->batch = g->conf.batch;
	out->leaving = g->leaving || g->engine_leaving;
	for (uint32_t i = 0; i < g->conf.slots; i++)
		if (g->slot[i].state == FG_GRANT_SLOT_READY)
			av[n++] = g->slot[i].av;
	fg_msg_set_avs(out, av, n);
}

bool fg_grants_take_changed(struct fg_grants *g)
{
	bool changed = g->changed;

	g->changed = false;
	return changed;
}
