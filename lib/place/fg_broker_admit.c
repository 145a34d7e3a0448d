/*
 * Admission of needs. A need that cannot be met is refused on arrival, so that
 * its requests can be sent elsewhere at once. An admitted need keeps its
 * position in the load queue.
 */
#include "place/fg_place_priv.h"

#include <stdlib.h>

/* Share of the load budget that drafts may use. The draft queue reaches
 * minutes ahead; the rest is left to later needs with less time. */
#define DRAFT_PERCENT 80

static int compare_due(const void *a, const void *b)
{
	const struct fg_demand *x = *(struct fg_demand *const *)a;
	const struct fg_demand *y = *(struct fg_demand *const *)b;

	if (x->terms.due != y->terms.due)
		return x->terms.due < y->terms.due ? -1 : 1;
	return x->key < y->key ? -1 : x->key > y->key;
}

GPtrArray *fg_broker_collect_demands(const struct fg_broker *b, fg_ms now,
				     fg_demand_filter keep)
{
	GPtrArray *demands = g_ptr_array_new();
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, b->demands);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (keep(b, now, value))
			g_ptr_array_add(demands, value);
	if (demands->len > 1)
		qsort(demands->pdata, demands->len, sizeof(gpointer),
		      compare_due);
	return demands;
}

static bool is_queued(const struct fg_broker *b, fg_ms now,
		      const struct fg_demand *demand)
{
	(void)now;
	return demand->admitted && !fg_broker_is_loading(b, demand->av);
}

/* Expected end of the load at this queue position (from 1) when only `percent`
 * of the load budget may be used. */
static fg_ms estimate_done_at(const struct fg_broker *b, fg_ms now,
			      uint32_t position, uint32_t percent)
{
	uint32_t scaled = (position * 100 + percent - 1) / percent;

	return now + fg_broker_load_wait_ms(b, now, scaled) + b->conf.load_ms;
}

/*
 * True if `demand` can be loaded by `due` without making a later entry of
 * `queue` miss its due time. `queue` is sorted by due time and loaded in that
 * order (earliest deadline first).
 */
static bool fits_schedule(const struct fg_broker *b, fg_ms now,
			  const GPtrArray *queue,
			  const struct fg_demand *demand, fg_ms due,
			  enum fg_class cls)
{
	uint32_t percent = cls == FG_CLASS_DRAFT ? DRAFT_PERCENT : 100;
	uint32_t position = 1;
	bool inserted = false;

	for (guint i = 0; i < queue->len; i++) {
		const struct fg_demand *other = queue->pdata[i];
		fg_ms done;

		if (other == demand)
			continue;
		if (!inserted && other->terms.due > due) {
			if (estimate_done_at(b, now, position, percent) > due)
				return false;
			inserted = true;
			position++;
		}
		done = estimate_done_at(b, now, position, percent);
		position++;
		/* An entry over 1 s late is late even without `demand`. */
		if (inserted && done > other->terms.due &&
		    done <= other->terms.due + FG_MS_PER_S)
			return false;
	}
	return inserted || estimate_done_at(b, now, position, percent) <= due;
}

/* True if the need shares a load that is under way or due early enough, or if
 * a load of its own fits the schedule. */
static bool can_admit(const struct fg_broker *b, fg_ms now,
		      const struct fg_demand *demand,
		      const struct fg_router_need *need)
{
	/* The length of an outage is unknown, so a need may use its whole
	 * slack while the store is down. */
	bool down = b->store_failures >= FG_STORE_DOWN_FAILURES;
	fg_ms due = down ? need->terms.deadline : need->terms.due;
	GPtrArray *queue;
	bool ok;

	if (fg_broker_is_loading(b, demand->av))
		return true;
	if (demand->admitted && need->terms.due >= demand->terms.due)
		return true;
	queue = fg_broker_collect_demands(b, now, is_queued);
	ok = fits_schedule(b, now, queue, demand, due, need->terms.cls);
	g_ptr_array_free(queue, TRUE);
	return ok;
}

static void refuse_need(struct fg_demand *demand, guint i,
			fg_broker_refuse refuse, void *arg)
{
	struct fg_router_need *need =
		&g_array_index(demand->needs, struct fg_router_need, i);
	fg_place_rep rep = { .av = demand->av, .status = FG_PLACE_REFUSED };

	refuse(arg, need->router, &rep);
	if (need->admitted || need->prev_admitted.waiting == 0) {
		g_array_remove_index_fast(demand->needs, i);
		return;
	}
	need->terms = need->prev_admitted;
	need->prev_admitted.waiting = 0;
	need->admitted = true;
}

static void admit_or_refuse(struct fg_broker *b, fg_ms now,
			    struct fg_demand *demand, fg_broker_refuse refuse,
			    void *arg)
{
	for (guint i = demand->needs->len; i-- > 0;) {
		struct fg_router_need *need =
			&g_array_index(demand->needs, struct fg_router_need, i);

		if (need->admitted)
			continue;
		need->admitted = can_admit(b, now, demand, need);
		if (need->admitted)
			need->prev_admitted.waiting = 0;
		else
			refuse_need(demand, i, refuse, arg);
	}
	fg_broker_update_demand(b, demand);
}

static void refuse_late_needs(struct fg_broker *b, fg_ms now,
			      struct fg_demand *demand, fg_broker_refuse refuse,
			      void *arg)
{
	for (guint i = demand->needs->len; i-- > 0;) {
		const struct fg_router_need *need =
			&g_array_index(demand->needs, struct fg_router_need, i);

		if (now + b->conf.load_ms > need->terms.deadline)
			refuse_need(demand, i, refuse, arg);
	}
	fg_broker_update_demand(b, demand);
}

static bool is_too_late(const struct fg_broker *b, fg_ms now,
			const struct fg_demand *demand)
{
	if (now + b->conf.load_ms <= demand->terms.deadline)
		return false;
	return !fg_broker_is_loading(b, demand->av) &&
	       !fg_broker_is_resident(b, demand->av, true);
}

static bool has_unadmitted_need(const struct fg_broker *b, fg_ms now,
				const struct fg_demand *demand)
{
	(void)b;
	(void)now;
	for (guint i = 0; i < demand->needs->len; i++)
		if (!g_array_index(demand->needs, struct fg_router_need, i)
			     .admitted)
			return true;
	return false;
}

void fg_broker_refuse_needs(struct fg_broker *b, fg_ms now,
			    fg_broker_refuse refuse, void *arg)
{
	GPtrArray *demands;

	if (!b->policy->refuses_needs)
		return;
	fg_broker_refill_tokens(b, now);
	demands = fg_broker_collect_demands(b, now, is_too_late);
	for (guint i = 0; i < demands->len; i++)
		refuse_late_needs(b, now, demands->pdata[i], refuse, arg);
	g_ptr_array_free(demands, TRUE);
	demands = fg_broker_collect_demands(b, now, has_unadmitted_need);
	for (guint i = 0; i < demands->len; i++)
		admit_or_refuse(b, now, demands->pdata[i], refuse, arg);
	g_ptr_array_free(demands, TRUE);
}
