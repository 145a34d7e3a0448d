/* The broker's state: needs, replies and estimates; see fg_broker_tick.c. */
#include "place/fg_place_priv.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define HEAT_HALF_LIFE_MS 300000
#define PROTECT_MS 1000 /* a new adapter is kept for those who waited */
#define PINNED_MS 300	/* a victim found in use is not tried again before */
#define AVOID_MS 1000	/* an endpoint that refused is not tried again before */
#define BACKOFF_MS 250	/* after a failure; doubles */
#define BACKOFF_MAX_MS 4000
#define WAIT_MAX_MS 40000 /* for a load, with a low weight of stalls */
#define HOLD_WAITING 8	  /* drafts of one router that are held no longer */
#define LOADS_WAITED 8	  /* a wait of so many loads is no reason to refuse */

struct fg_broker *fg_broker_new(const struct fg_broker_conf *conf,
				const struct fg_dir *dir, const char *policy,
				uint64_t seed)
{
	struct fg_broker *b = g_new0(struct fg_broker, 1);

	b->conf = *conf;
	b->dir = dir;
	b->policy = fg_policy_find(policy);
	assert(b->policy != NULL);
	fg_rand_seed(&b->rand, seed);
	b->heat = fg_heat_new(HEAT_HALF_LIFE_MS);
	b->service = fg_hash_str(conf->service);
	b->region = fg_hash_str(conf->region);
	b->wants = g_hash_table_new(fg_key_hash, g_int64_equal);
	b->loads =
		g_hash_table_new_full(fg_key_hash, g_int64_equal, NULL, g_free);
	b->marks =
		g_hash_table_new_full(fg_key_hash, g_int64_equal, NULL, g_free);
	b->replicated =
		g_hash_table_new_full(fg_key_hash, g_int64_equal, NULL, g_free);
	b->tokens = 1;
	b->refilled = FG_MS_NEVER;
	return b;
}

static void want_free(struct fg_want *w)
{
	g_array_free(w->asks, TRUE);
	g_free(w);
}

void fg_broker_free(struct fg_broker *b)
{
	GHashTableIter it;
	gpointer value;

	if (b == NULL)
		return;
	g_hash_table_iter_init(&it, b->wants);
	while (g_hash_table_iter_next(&it, NULL, &value))
		want_free(value);
	g_hash_table_destroy(b->wants);
	g_hash_table_destroy(b->loads);
	g_hash_table_destroy(b->marks);
	g_hash_table_destroy(b->replicated);
	fg_heat_free(b->heat);
	g_free(b);
}

void fg_broker_set_limits(struct fg_broker *b, uint32_t loads_per_s,
			  uint32_t in_flight_max, uint32_t load_ms,
			  uint32_t stall_weight)
{
	b->conf.loads_per_s = loads_per_s;
	b->conf.in_flight_max = in_flight_max;
	b->conf.load_ms = load_ms;
	b->conf.stall_weight = stall_weight;
}

void fg_broker_set_hold_max(struct fg_broker *b, uint32_t hold_max_ms)
{
	b->hold_max_ms = hold_max_ms;
}

/* ---- Needs ---- */

const struct fg_want *fg_broker_want(const struct fg_broker *b, fg_av av)
{
	uint64_t key = fg_av_key(av);

	return g_hash_table_lookup(b->wants, &key);
}

static void drop_want(struct fg_broker *b, struct fg_want *w)
{
	g_hash_table_remove(b->wants, &w->key);
	want_free(w);
}

static void tighten(struct fg_want_terms *sum, const struct fg_want_terms *t)
{
	sum->waiting += t->waiting;
	sum->cls = MIN(sum->cls, t->cls);
	sum->deadline = MIN(sum->deadline, t->deadline);
	sum->due = MIN(sum->due, t->due);
	sum->hold_until = MIN(sum->hold_until, t->hold_until);
}

void fg_broker_settle(struct fg_broker *b, struct fg_want *w)
{
	if (w->asks->len == 0) {
		drop_want(b, w);
		return;
	}
	w->admitted = false;
	w->terms = (struct fg_want_terms){ 0, FG_CLASS_COUNT, FG_MS_NEVER,
					   FG_MS_NEVER, FG_MS_NEVER };
	for (guint i = 0; i < w->asks->len; i++) {
		const struct fg_want_ask *a =
			&g_array_index(w->asks, struct fg_want_ask, i);

		if (a->admitted)
			tighten(&w->terms, &a->terms);
		else if (a->before.waiting > 0)
			tighten(&w->terms, &a->before);
		w->admitted =
			w->admitted || a->admitted || a->before.waiting > 0;
	}
}

/* Copies the ask to *old when that is not NULL. */
static bool remove_ask(struct fg_want *w, uint64_t from,
		       struct fg_want_ask *old)
{
	for (guint i = 0; i < w->asks->len; i++) {
		const struct fg_want_ask *a =
			&g_array_index(w->asks, struct fg_want_ask, i);

		if (a->from != from)
			continue;
		if (old != NULL)
			*old = *a;
		g_array_remove_index_fast(w->asks, i);
		return true;
	}
	return false;
}

static struct fg_want *find_or_add(struct fg_broker *b, fg_ms now, fg_av av)
{
	uint64_t key = fg_av_key(av);
	struct fg_want *w = g_hash_table_lookup(b->wants, &key);

	if (w != NULL)
		return w;
	w = g_new0(struct fg_want, 1);
	w->key = key;
	w->av = av;
	w->asks = g_array_new(FALSE, FALSE, sizeof(struct fg_want_ask));
	w->first_at = now;
	g_hash_table_insert(b->wants, &w->key, w);
	return w;
}

/* The more stalls weigh, the less of the slack is used up by waiting. */
static fg_ms due_in(const struct fg_broker *b, uint32_t slack_ms)
{
	uint32_t patience = 100 - MIN(b->conf.stall_weight, 100);
	fg_ms wait = (fg_ms)slack_ms * patience / 100;
	fg_ms least = (fg_ms)b->conf.load_ms * LOADS_WAITED;

	if (patience < 50)
		wait = MIN(wait, (fg_ms)WAIT_MAX_MS * patience / 100);
	return MIN(MAX(wait, least), (fg_ms)slack_ms);
}

static fg_ms hold_for(const struct fg_broker *b, const fg_need *need)
{
	struct fg_preset preset = { .stall_weight = b->conf.stall_weight,
				    .hold_max_ms = b->hold_max_ms };

	if (need->cls != FG_CLASS_DRAFT)
		return 0;
	return fg_hold_ms(&preset, need->slack_ms, 0, b->conf.load_ms,
			  need->waiting, HOLD_WAITING, false);
}

/*
 * A router's new terms take the place of its old ones. Those who waited before
 * keep their due time. Terms that are not tighter than what was admitted are
 * admitted with it; tighter ones are judged anew, and when they are refused
 * the old ones hold again.
 */
static void take_over(struct fg_want_ask *ask, const struct fg_want_ask *old)
{
	const struct fg_want_terms *was =
		old->admitted ? &old->terms : &old->before;

	if (was->waiting == 0)
		return;
	if (ask->terms.due < was->due) {
		ask->before = *was;
		return;
	}
	ask->admitted = true;
	/* With the first of them gone the others have their own time. */
	if (ask->terms.deadline > was->deadline + FG_MS_PER_S)
		return;
	ask->terms.due = was->due;
	ask->terms.hold_until = MIN(ask->terms.hold_until, was->hold_until);
}

void fg_broker_on_need(struct fg_broker *b, fg_ms now, uint64_t from,
		       const fg_need *need)
{
	struct fg_want_ask ask = { .from = from,
				   .admitted = !b->policy->refuses };
	struct fg_want_ask old;
	struct fg_want *w;

	if (fg_av_none(need->av))
		return;
	if (need->waiting == 0 && fg_broker_want(b, need->av) == NULL)
		return;
	ask.terms.waiting = need->waiting;
	ask.terms.cls = need->cls;
	ask.terms.deadline = now + need->slack_ms;
	ask.terms.due = now + due_in(b, need->slack_ms);
	ask.terms.hold_until = now + hold_for(b, need);
	w = find_or_add(b, now, need->av);
	if (remove_ask(w, from, &old))
		take_over(&ask, &old);
	if (need->waiting > 0)
		g_array_append_val(w->asks, ask);
	fg_broker_settle(b, w);
}

void fg_broker_on_router_gone(struct fg_broker *b, uint64_t from)
{
	GList *wants = g_hash_table_get_values(b->wants);

	for (GList *l = wants; l != NULL; l = l->next) {
		struct fg_want *w = l->data;

		remove_ask(w, from, NULL);
		fg_broker_settle(b, w);
	}
	g_list_free(wants);
}

void fg_broker_on_heat(struct fg_broker *b, fg_ms now, const fg_heat *heat)
{
	for (u_int i = 0; i < heat->items.items_len; i++) {
		const fg_heat_item *item = &heat->items.items_val[i];

		fg_heat_add(b->heat, now, item->av, item->count);
	}
}

/* ---- Marks on what is no victim ---- */

static uint64_t mark_key(uint64_t ep, fg_av av)
{
	return fg_hash_mix(ep, fg_av_key(av));
}

static void mark(struct fg_broker *b, uint64_t ep, fg_av av, fg_ms until)
{
	struct fg_mark *m = g_new0(struct fg_mark, 1);

	m->key = mark_key(ep, av);
	m->until = until;
	g_hash_table_replace(b->marks, &m->key, m);
}

bool fg_broker_keeps(const struct fg_broker *b, fg_ms now,
		     const struct fg_dir_ep *e, fg_av av)
{
	uint64_t key = mark_key(e->id, av);
	const struct fg_mark *m = g_hash_table_lookup(b->marks, &key);
	GHashTableIter it;
	gpointer value;

	if (m != NULL && m->until > now)
		return true;
	g_hash_table_iter_init(&it, b->loads);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct fg_load *l = value;

		if (l->ep == e->id && fg_av_equal(l->victim, av))
			return true;
	}
	return false;
}

/* ---- What policies read ---- */

bool fg_broker_loading(const struct fg_broker *b, fg_av av)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, b->loads);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (fg_av_equal(((const struct fg_load *)value)->av, av))
			return true;
	return false;
}

static bool holds(const struct fg_dir_ep *e, fg_av av)
{
	for (uint32_t i = 0; i < e->n_av; i++)
		if (fg_av_equal(e->av[i], av))
			return true;
	return false;
}

uint32_t fg_broker_free_slots(const struct fg_broker *b,
			      const struct fg_dir_ep *e)
{
	uint32_t used = e->n_av;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, b->loads);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct fg_load *l = value;

		if (l->ep != e->id || holds(e, l->av))
			continue;
		/* A victim still listed gives its slot to this load. */
		if (fg_av_none(l->victim) || !holds(e, l->victim))
			used++;
	}
	return used < e->slots ? e->slots - used : 0;
}

bool fg_broker_ep_open(const struct fg_broker *b, fg_ms now,
		       const struct fg_want *w, const struct fg_dir_ep *e)
{
	if (!fg_dir_ep_usable(e, b->service) || e->region != b->region)
		return false;
	if (e->slots == 0 || holds(e, w->av))
		return false;
	for (int i = 0; i < FG_WANT_AVOID; i++)
		if (w->avoid[i].ep == e->id && w->avoid[i].until > now)
			return false;
	return true;
}

fg_ms fg_broker_start_in(const struct fg_broker *b, fg_ms now, uint32_t n)
{
	fg_ms wait = b->paused_until > now ? b->paused_until - now : 0;
	double short_of = n - b->tokens;

	if (b->conf.loads_per_s > 0 && short_of > 0)
		wait += (fg_ms)(short_of * FG_MS_PER_S / b->conf.loads_per_s);
	return wait;
}

uint32_t fg_broker_estimate_load_ms(const struct fg_broker *b, fg_ms now,
				    fg_av av)
{
	uint32_t ahead = 1;

	if (fg_broker_loading(b, av))
		return b->conf.load_ms;
	/* Needs that share this load do not wait for one another. */
	if (fg_broker_want(b, av) == NULL)
		ahead += g_hash_table_size(b->wants);
	else
		ahead += g_hash_table_size(b->wants) / 2;
	return (uint32_t)fg_broker_start_in(b, now, ahead) + b->conf.load_ms;
}

/* ---- Replies ---- */

static void avoid(struct fg_want *w, uint64_t ep, fg_ms until)
{
	w->avoid[w->next_avoid].ep = ep;
	w->avoid[w->next_avoid].until = until;
	w->next_avoid = (w->next_avoid + 1) % FG_WANT_AVOID;
}

static uint32_t backoff_ms(uint32_t fails)
{
	uint32_t wait = BACKOFF_MS;

	for (uint32_t i = 1; i < fails && wait < BACKOFF_MAX_MS; i++)
		wait *= 2;
	return MIN(wait, BACKOFF_MAX_MS);
}

/* Failures one after the other mean that the store is down: then one load at
 * a time is tried until one succeeds. */
static void note_failure(struct fg_broker *b, fg_ms now)
{
	b->fails++;
	if (b->fails >= FG_FAILS_DOWN)
		b->paused_until =
			now + backoff_ms(b->fails - FG_FAILS_DOWN + 1);
}

void fg_broker_load_failed(struct fg_broker *b, fg_ms now, uint64_t ep,
			   fg_av av)
{
	uint64_t key = fg_av_key(av);
	struct fg_want *w = g_hash_table_lookup(b->wants, &key);

	note_failure(b, now);
	if (w == NULL)
		return;
	w->fails++;
	w->not_before = now + backoff_ms(w->fails);
	avoid(w, ep, w->not_before + AVOID_MS);
}

static void on_done(struct fg_broker *b, fg_ms now, const struct fg_load *l)
{
	uint64_t key = fg_av_key(l->av);
	struct fg_want *w = g_hash_table_lookup(b->wants, &key);

	b->stats.done++;
	b->fails = 0;
	b->paused_until = 0;
	mark(b, l->ep, l->av, now + PROTECT_MS);
	if (w != NULL)
		drop_want(b, w);
}

/* No load was spent: another place is tried at once. */
static void on_refused(struct fg_broker *b, fg_ms now, const struct fg_load *l)
{
	uint64_t key = fg_av_key(l->av);
	struct fg_want *w = g_hash_table_lookup(b->wants, &key);

	b->stats.refused++;
	b->tokens += 1;
	if (!fg_av_none(l->victim))
		mark(b, l->ep, l->victim, now + PINNED_MS);
	if (w != NULL)
		avoid(w, l->ep, now + PINNED_MS);
}

void fg_broker_on_reply(struct fg_broker *b, fg_ms now, const fg_place_rep *rep)
{
	uint64_t order = rep->order;
	struct fg_load *l = g_hash_table_lookup(b->loads, &order);

	if (l == NULL)
		return;
	switch (rep->status) {
	case FG_PLACE_STARTED:
		l->started = true;
		l->deadline = now + b->conf.order_timeout_ms;
		return;
	case FG_PLACE_DONE:
		on_done(b, now, l);
		break;
	case FG_PLACE_REFUSED:
		on_refused(b, now, l);
		break;
	case FG_PLACE_FAILED:
		b->stats.failed++;
		fg_broker_load_failed(b, now, l->ep, l->av);
		break;
	}
	g_hash_table_remove(b->loads, &order);
}

void fg_broker_stats(const struct fg_broker *b, struct fg_broker_stats *out)
{
	*out = b->stats;
	out->waiting = g_hash_table_size(b->wants);
	out->in_flight = g_hash_table_size(b->loads);
}
