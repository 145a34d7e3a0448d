/* Broker: needs, replies to load orders, and what the policies read. */
#include "place/fg_place_priv.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define POPULARITY_HALF_LIFE_MS 300000
/* A loaded adapter is not evicted for this long, so that the requests that
 * waited for the load can use it. */
#define NEW_ADAPTER_KEEP_MS 1000
/* Time before a victim that its owner found in use, or the endpoint that
 * refused the order, is tried again. */
#define REFUSED_RETRY_MS 300
/* Added to the backoff before an endpoint whose load failed is tried again. */
#define FAILED_EP_RETRY_MS 1000
#define BACKOFF_MS 250 /* after the first failure; doubles with each one */
#define BACKOFF_MAX_MS 4000
/* Above a stall weight of 50, the wait is limited to (100 - weight) percent of
 * this. */
#define MAX_WAIT_MS 40000
#define HOLD_MAX_WAITING 8 /* a need of this many drafts is not held */
#define MIN_WAIT_LOADS 8   /* a need may always wait for this many loads */

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
	b->popularity = fg_popularity_new(POPULARITY_HALF_LIFE_MS);
	b->service = fg_hash_str(conf->service);
	b->region = fg_hash_str(conf->region);
	b->demands = g_hash_table_new(fg_key_hash, g_int64_equal);
	b->loads =
		g_hash_table_new_full(fg_key_hash, g_int64_equal, NULL, g_free);
	b->victim_cooldowns =
		g_hash_table_new_full(fg_key_hash, g_int64_equal, NULL, g_free);
	b->copy_cooldowns =
		g_hash_table_new_full(fg_key_hash, g_int64_equal, NULL, g_free);
	b->load_tokens = 1;
	b->refilled_at = FG_MS_NEVER;
	return b;
}

static void free_demand(struct fg_demand *demand)
{
	g_array_free(demand->needs, TRUE);
	g_free(demand);
}

void fg_broker_free(struct fg_broker *b)
{
	GHashTableIter it;
	gpointer value;

	if (b == NULL)
		return;
	g_hash_table_iter_init(&it, b->demands);
	while (g_hash_table_iter_next(&it, NULL, &value))
		free_demand(value);
	g_hash_table_destroy(b->demands);
	g_hash_table_destroy(b->loads);
	g_hash_table_destroy(b->victim_cooldowns);
	g_hash_table_destroy(b->copy_cooldowns);
	fg_popularity_free(b->popularity);
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

const struct fg_demand *fg_broker_find_demand(const struct fg_broker *b,
					      fg_av av)
{
	uint64_t key = fg_av_key(av);

	return g_hash_table_lookup(b->demands, &key);
}

static void remove_demand(struct fg_broker *b, struct fg_demand *demand)
{
	g_hash_table_remove(b->demands, &demand->key);
	free_demand(demand);
}

static void merge_terms(struct fg_need_terms *total,
			const struct fg_need_terms *terms)
{
	total->waiting += terms->waiting;
	total->cls = MIN(total->cls, terms->cls);
	total->deadline = MIN(total->deadline, terms->deadline);
	total->due = MIN(total->due, terms->due);
	total->hold_until = MIN(total->hold_until, terms->hold_until);
}

void fg_broker_update_demand(struct fg_broker *b, struct fg_demand *demand)
{
	if (demand->needs->len == 0) {
		remove_demand(b, demand);
		return;
	}
	demand->admitted = false;
	demand->terms = (struct fg_need_terms){ 0, FG_CLASS_COUNT, FG_MS_NEVER,
						FG_MS_NEVER, FG_MS_NEVER };
	for (guint i = 0; i < demand->needs->len; i++) {
		const struct fg_router_need *need =
			&g_array_index(demand->needs, struct fg_router_need, i);

		if (need->admitted)
			merge_terms(&demand->terms, &need->terms);
		else if (need->prev_admitted.waiting > 0)
			merge_terms(&demand->terms, &need->prev_admitted);
		demand->admitted = demand->admitted || need->admitted ||
				   need->prev_admitted.waiting > 0;
	}
}

/* Copies the removed need to *old unless old is NULL. */
static bool remove_need(struct fg_demand *demand, uint64_t router,
			struct fg_router_need *old)
{
	for (guint i = 0; i < demand->needs->len; i++) {
		const struct fg_router_need *need =
			&g_array_index(demand->needs, struct fg_router_need, i);

		if (need->router != router)
			continue;
		if (old != NULL)
			*old = *need;
		g_array_remove_index_fast(demand->needs, i);
		return true;
	}
	return false;
}

static struct fg_demand *find_or_add_demand(struct fg_broker *b, fg_ms now,
					    fg_av av)
{
	uint64_t key = fg_av_key(av);
	struct fg_demand *demand = g_hash_table_lookup(b->demands, &key);

	if (demand != NULL)
		return demand;
	demand = g_new0(struct fg_demand, 1);
	demand->key = key;
	demand->av = av;
	demand->needs =
		g_array_new(FALSE, FALSE, sizeof(struct fg_router_need));
	demand->first_need_at = now;
	g_hash_table_insert(b->demands, &demand->key, demand);
	return demand;
}

/* A higher stall weight leaves less of the slack for waiting. */
static fg_ms compute_due_ms(const struct fg_broker *b, uint32_t slack_ms)
{
	uint32_t batch_weight = 100 - MIN(b->conf.stall_weight, 100);
	fg_ms wait = (fg_ms)slack_ms * batch_weight / 100;
	fg_ms least = (fg_ms)b->conf.load_ms * MIN_WAIT_LOADS;

	if (batch_weight < 50)
		wait = MIN(wait, (fg_ms)MAX_WAIT_MS * batch_weight / 100);
	return MIN(MAX(wait, least), (fg_ms)slack_ms);
}

static fg_ms compute_hold_ms(const struct fg_broker *b, const fg_need *need)
{
	struct fg_preset preset = { .stall_weight = b->conf.stall_weight,
				    .hold_max_ms = b->hold_max_ms };

	if (need->cls != FG_CLASS_DRAFT)
		return 0;
	return fg_hold_ms(&preset, need->slack_ms, 0, b->conf.load_ms,
			  need->waiting, HOLD_MAX_WAITING, false);
}

/*
 * Carries the admission of a router's old need over to its new one. Terms that
 * are due no earlier are admitted and keep the old due time, so that requests
 * already waiting do not lose their position. Terms that are due earlier need
 * a new decision; if they are refused, the old terms apply again.
 */
static void inherit_admission(struct fg_router_need *need,
			      const struct fg_router_need *old)
{
	const struct fg_need_terms *previous =
		old->admitted ? &old->terms : &old->prev_admitted;

	if (previous->waiting == 0)
		return;
	if (need->terms.due < previous->due) {
		need->prev_admitted = *previous;
		return;
	}
	need->admitted = true;
	/* A later deadline means that the most urgent request has left; the
	 * remaining requests keep their own due time. */
	if (need->terms.deadline > previous->deadline + FG_MS_PER_S)
		return;
	need->terms.due = previous->due;
	need->terms.hold_until =
		MIN(need->terms.hold_until, previous->hold_until);
}

void fg_broker_on_need(struct fg_broker *b, fg_ms now, uint64_t router,
		       const fg_need *need)
{
	struct fg_router_need entry = { .router = router,
					.admitted = !b->policy->refuses_needs };
	struct fg_router_need old;
	struct fg_demand *demand;

	if (fg_av_is_none(need->av))
		return;
	if (need->waiting == 0 && fg_broker_find_demand(b, need->av) == NULL)
		return;
	entry.terms.waiting = need->waiting;
	entry.terms.cls = need->cls;
	entry.terms.deadline = now + need->slack_ms;
	entry.terms.due = now + compute_due_ms(b, need->slack_ms);
	entry.terms.hold_until = now + compute_hold_ms(b, need);
	demand = find_or_add_demand(b, now, need->av);
	if (remove_need(demand, router, &old))
		inherit_admission(&entry, &old);
	if (need->waiting > 0)
		g_array_append_val(demand->needs, entry);
	fg_broker_update_demand(b, demand);
}

void fg_broker_on_router_gone(struct fg_broker *b, uint64_t router)
{
	GList *demands = g_hash_table_get_values(b->demands);

	for (GList *l = demands; l != NULL; l = l->next) {
		struct fg_demand *demand = l->data;

		remove_need(demand, router, NULL);
		fg_broker_update_demand(b, demand);
	}
	g_list_free(demands);
}

void fg_broker_on_popularity(struct fg_broker *b, fg_ms now,
			     const fg_popularity *popularity)
{
	for (u_int i = 0; i < popularity->items.items_len; i++) {
		const fg_popularity_item *item =
			&popularity->items.items_val[i];

		fg_popularity_add(b->popularity, now, item->av, item->count);
	}
}

/* ---- Eviction protection ---- */

static uint64_t cooldown_key(uint64_t ep, fg_av av)
{
	return fg_hash_mix(ep, fg_av_key(av));
}

static void protect_from_eviction(struct fg_broker *b, uint64_t ep, fg_av av,
				  fg_ms until)
{
	struct fg_cooldown *cooldown = g_new0(struct fg_cooldown, 1);

	cooldown->key = cooldown_key(ep, av);
	cooldown->until = until;
	g_hash_table_replace(b->victim_cooldowns, &cooldown->key, cooldown);
}

bool fg_broker_is_protected(const struct fg_broker *b, fg_ms now,
			    const struct fg_dir_ep *e, fg_av av)
{
	uint64_t key = cooldown_key(e->id, av);
	const struct fg_cooldown *cooldown =
		g_hash_table_lookup(b->victim_cooldowns, &key);
	GHashTableIter it;
	gpointer value;

	if (cooldown != NULL && cooldown->until > now)
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

bool fg_broker_is_loading(const struct fg_broker *b, fg_av av)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, b->loads);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (fg_av_equal(((const struct fg_load *)value)->av, av))
			return true;
	return false;
}

static bool has_adapter(const struct fg_dir_ep *e, fg_av av)
{
	for (uint32_t i = 0; i < e->n_av; i++)
		if (fg_av_equal(e->av[i], av))
			return true;
	return false;
}

uint32_t fg_broker_count_free_slots(const struct fg_broker *b,
				    const struct fg_dir_ep *e)
{
	uint32_t used = e->n_av;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, b->loads);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct fg_load *l = value;

		if (l->ep != e->id || has_adapter(e, l->av))
			continue;
		/* A load with a resident victim reuses the victim's slot. */
		if (fg_av_is_none(l->victim) || !has_adapter(e, l->victim))
			used++;
	}
	return used < e->slots ? e->slots - used : 0;
}

bool fg_broker_can_load_on(const struct fg_broker *b, fg_ms now,
			   const struct fg_demand *demand,
			   const struct fg_dir_ep *e)
{
	if (!fg_dir_ep_is_usable(e, b->service) || e->region != b->region)
		return false;
	if (e->slots == 0 || has_adapter(e, demand->av))
		return false;
	for (int i = 0; i < FG_AVOID_MAX; i++)
		if (demand->avoid[i].ep == e->id &&
		    demand->avoid[i].until > now)
			return false;
	return true;
}

fg_ms fg_broker_load_wait_ms(const struct fg_broker *b, fg_ms now, uint32_t n)
{
	fg_ms wait = b->paused_until > now ? b->paused_until - now : 0;
	double missing = n - b->load_tokens;

	if (b->conf.loads_per_s > 0 && missing > 0)
		wait += (fg_ms)(missing * FG_MS_PER_S / b->conf.loads_per_s);
	return wait;
}

uint32_t fg_broker_estimate_load_ms(const struct fg_broker *b, fg_ms now,
				    fg_av av)
{
	uint32_t ahead = 1;

	if (fg_broker_is_loading(b, av))
		return b->conf.load_ms;
	/* A new adapter queues last. A need that joins a pending load shares
	 * the load's position, which is halfway on average. */
	if (fg_broker_find_demand(b, av) == NULL)
		ahead += g_hash_table_size(b->demands);
	else
		ahead += g_hash_table_size(b->demands) / 2;
	return (uint32_t)fg_broker_load_wait_ms(b, now, ahead) +
	       b->conf.load_ms;
}

/* ---- Replies ---- */

static void avoid_endpoint(struct fg_demand *demand, uint64_t ep, fg_ms until)
{
	demand->avoid[demand->next_avoid].ep = ep;
	demand->avoid[demand->next_avoid].until = until;
	demand->next_avoid = (demand->next_avoid + 1) % FG_AVOID_MAX;
}

static uint32_t compute_backoff_ms(uint32_t failures)
{
	uint32_t wait = BACKOFF_MS;

	for (uint32_t i = 1; i < failures && wait < BACKOFF_MAX_MS; i++)
		wait *= 2;
	return MIN(wait, BACKOFF_MAX_MS);
}

/* Consecutive failures mean that the weight store is down. */
static void record_store_failure(struct fg_broker *b, fg_ms now)
{
	b->store_failures++;
	if (b->store_failures >= FG_STORE_DOWN_FAILURES)
		b->paused_until =
			now + compute_backoff_ms(b->store_failures -
						 FG_STORE_DOWN_FAILURES + 1);
}

void fg_broker_record_load_failure(struct fg_broker *b, fg_ms now, uint64_t ep,
				   fg_av av)
{
	uint64_t key = fg_av_key(av);
	struct fg_demand *demand = g_hash_table_lookup(b->demands, &key);

	record_store_failure(b, now);
	if (demand == NULL)
		return;
	demand->failures++;
	demand->retry_at = now + compute_backoff_ms(demand->failures);
	avoid_endpoint(demand, ep, demand->retry_at + FAILED_EP_RETRY_MS);
}

static void on_load_done(struct fg_broker *b, fg_ms now,
			 const struct fg_load *l)
{
	uint64_t key = fg_av_key(l->av);
	struct fg_demand *demand = g_hash_table_lookup(b->demands, &key);

	b->stats.done++;
	b->store_failures = 0;
	b->paused_until = 0;
	protect_from_eviction(b, l->ep, l->av, now + NEW_ADAPTER_KEEP_MS);
	if (demand != NULL)
		remove_demand(b, demand);
}

/* Returns the unused budget token; another endpoint may be tried at once. */
static void on_load_refused(struct fg_broker *b, fg_ms now,
			    const struct fg_load *l)
{
	uint64_t key = fg_av_key(l->av);
	struct fg_demand *demand = g_hash_table_lookup(b->demands, &key);

	b->stats.refused++;
	b->load_tokens += 1;
	if (!fg_av_is_none(l->victim))
		protect_from_eviction(b, l->ep, l->victim,
				      now + REFUSED_RETRY_MS);
	if (demand != NULL)
		avoid_endpoint(demand, l->ep, now + REFUSED_RETRY_MS);
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
		on_load_done(b, now, l);
		break;
	case FG_PLACE_REFUSED:
		on_load_refused(b, now, l);
		break;
	case FG_PLACE_FAILED:
		b->stats.failed++;
		fg_broker_record_load_failure(b, now, l->ep, l->av);
		break;
	}
	g_hash_table_remove(b->loads, &order);
}

void fg_broker_stats(const struct fg_broker *b, struct fg_broker_stats *out)
{
	*out = b->stats;
	out->waiting = g_hash_table_size(b->demands);
	out->in_flight = g_hash_table_size(b->loads);
}
