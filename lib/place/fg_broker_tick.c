/* The broker's orders: budget, admission of needs, loads and copies. */
#include "place/fg_place_priv.h"

#include <assert.h>
#include <stdlib.h>

#define BURST_MS 1000	  /* unused budget that may be saved up */
#define RETRY_PLACE_MS 50 /* no place found: tried again after this */
#define NEWS_MS 1000	  /* by then a router has heard what is resident */
#define COPY_CHECK_MS 500
#define COPY_GAP_MS 10000 /* between copies of an adapter or endpoint */
#define SATURATED 0.85	  /* load relative to the batch */

/* ---- Budget ---- */

void fg_broker_refill(struct fg_broker *b, fg_ms now)
{
	double most = (double)b->conf.loads_per_s * BURST_MS / FG_MS_PER_S;

	if (b->refilled == FG_MS_NEVER)
		b->refilled = now;
	b->tokens +=
		(double)(now - b->refilled) * b->conf.loads_per_s / FG_MS_PER_S;
	b->tokens = MIN(b->tokens, MAX(most, 1));
	b->refilled = now;
}

static bool may_start(const struct fg_broker *b, fg_ms now)
{
	uint32_t in_flight = g_hash_table_size(b->loads);

	if (b->paused_until > now)
		return false;
	if (b->fails >= FG_FAILS_DOWN && in_flight > 0)
		return false;
	if (b->conf.in_flight_max > 0 && in_flight >= b->conf.in_flight_max)
		return false;
	return b->conf.loads_per_s == 0 || b->tokens >= 1;
}

static void expire_loads(struct fg_broker *b, fg_ms now)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, b->loads);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct fg_load *l = value;

		if (l->deadline > now)
			continue;
		b->stats.timed_out++;
		fg_broker_load_failed(b, now, l->ep, l->av);
		g_hash_table_iter_remove(&it);
	}
}

static gboolean mark_is_over(gpointer key, gpointer value, gpointer now)
{
	const struct fg_mark *m = value;

	(void)key;
	return m->until <= *(const fg_ms *)now;
}

/* ---- What may be loaded ---- */

bool fg_broker_resident(const struct fg_broker *b, fg_av av, bool full_too)
{
	const GPtrArray *eps = fg_dir_holders(b->dir, av);

	for (guint i = 0; eps != NULL && i < eps->len; i++) {
		const struct fg_dir_ep *e = eps->pdata[i];

		if (!fg_dir_ep_usable(e, b->service) || e->region != b->region)
			continue;
		if (full_too || fg_dir_ep_fill(e) < SATURATED)
			return true;
	}
	return false;
}

/*
 * A need for what is resident with room is about to be withdrawn: its router
 * hears of it as well. Only when it lasts is another copy loaded.
 */
static bool is_eligible(const struct fg_broker *b, fg_ms now,
			const struct fg_want *w)
{
	if (w->not_before > now || fg_broker_loading(b, w->av))
		return false;
	if (!w->admitted)
		return false;
	if (b->policy->refuses && w->terms.hold_until > now)
		return false;
	if (now - w->first_at >= NEWS_MS)
		return true;
	return !fg_broker_resident(b, w->av, !b->policy->copies);
}

/* ---- Orders ---- */

static void order(struct fg_broker *b, fg_ms now, fg_place *place,
		  fg_broker_emit emit, void *arg)
{
	struct fg_load *l = g_new0(struct fg_load, 1);

	b->next_order++;
	place->order = (b->conf.fence << 32) | (b->next_order & UINT32_MAX);
	place->broker_fence = b->conf.fence;
	l->order = place->order;
	l->ep = place->ep;
	l->av = place->av;
	l->victim = place->victim;
	l->deadline = now + b->conf.order_timeout_ms;
	g_hash_table_insert(b->loads, &l->order, l);
	b->tokens -= 1;
	b->stats.ordered++;
	emit(arg, place);
}

static void start_loads(struct fg_broker *b, fg_ms now, fg_broker_emit emit,
			void *arg)
{
	GPtrArray *list;

	if (!may_start(b, now))
		return;
	list = fg_broker_collect(b, now, is_eligible);
	while (list->len > 0 && may_start(b, now)) {
		struct fg_want *w = b->policy->next(
			b, now, (struct fg_want **)list->pdata, list->len);
		fg_place place = { .av = w->av };

		if (b->policy->choose(b, now, w, &place))
			order(b, now, &place, emit, arg);
		else
			w->not_before = now + RETRY_PLACE_MS;
		g_ptr_array_remove(list, w);
	}
	g_ptr_array_free(list, TRUE);
}

/* ---- Copies of hot adapters ---- */

static bool copied_lately(const struct fg_broker *b, fg_ms now, uint64_t key)
{
	const struct fg_mark *m = g_hash_table_lookup(b->replicated, &key);

	return m != NULL && m->until > now;
}

static void note_copy(struct fg_broker *b, fg_ms now, uint64_t key)
{
	struct fg_mark *m = g_new0(struct fg_mark, 1);

	m->key = key;
	m->until = now + COPY_GAP_MS;
	g_hash_table_replace(b->replicated, &m->key, m);
}

/* The most popular adapter of a saturated endpoint that has no room
 * anywhere; none if all have. */
static fg_av hottest(const struct fg_broker *b, fg_ms now,
		     const struct fg_dir_ep *e)
{
	fg_av best = { 0, 0 };
	double most = 0;

	for (uint32_t i = 0; i < e->n_av; i++) {
		double heat = fg_heat_get(b->heat, now, e->av[i]);

		if (heat <= most ||
		    copied_lately(b, now, fg_av_key(e->av[i])) ||
		    fg_broker_loading(b, e->av[i]) ||
		    fg_broker_resident(b, e->av[i], false))
			continue;
		best = e->av[i];
		most = heat;
	}
	return best;
}

/* One copy at a time: its effect on the endpoint is awaited. */
static bool copy_from(struct fg_broker *b, fg_ms now, const struct fg_dir_ep *e,
		      fg_broker_emit emit, void *arg)
{
	struct fg_want w = { .av = hottest(b, now, e) };
	fg_place place = { .av = w.av };

	if (fg_av_none(w.av) || !b->policy->choose(b, now, &w, &place))
		return false;
	note_copy(b, now, fg_av_key(w.av));
	note_copy(b, now, e->id);
	order(b, now, &place, emit, arg);
	return true;
}

/* At most one copy per check, so that needs keep most of the budget. */
static void start_copies(struct fg_broker *b, fg_ms now, fg_broker_emit emit,
			 void *arg)
{
	if (!b->policy->copies || now < b->next_copy_check ||
	    !may_start(b, now))
		return;
	b->next_copy_check = now + COPY_CHECK_MS;
	for (guint i = 0; i < b->dir->list->len; i++) {
		const struct fg_dir_ep *e = b->dir->list->pdata[i];

		if (!fg_dir_ep_usable(e, b->service) ||
		    e->region != b->region || fg_dir_ep_fill(e) < SATURATED ||
		    copied_lately(b, now, e->id))
			continue;
		if (copy_from(b, now, e, emit, arg))
			return;
	}
}

void fg_broker_tick(struct fg_broker *b, fg_ms now, fg_broker_emit emit,
		    void *arg)
{
	fg_broker_refill(b, now);
	expire_loads(b, now);
	g_hash_table_foreach_remove(b->marks, mark_is_over, &now);
	g_hash_table_foreach_remove(b->replicated, mark_is_over, &now);
	start_copies(b, now, emit, arg);
	start_loads(b, now, emit, arg);
}
