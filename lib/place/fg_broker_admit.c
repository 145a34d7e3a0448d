/*
 * Which needs are admitted. One that cannot be met is refused when it comes,
 * so that its requests can go elsewhere at once; one that is admitted keeps
 * its place in the order of loads.
 */
#include "place/fg_place_priv.h"

#include <stdlib.h>

#define DRAFT_PERCENT 80 /* of the budget that drafts are admitted to */

static int by_due(const void *a, const void *b)
{
	const struct fg_want *x = *(struct fg_want *const *)a;
	const struct fg_want *y = *(struct fg_want *const *)b;

	if (x->terms.due != y->terms.due)
		return x->terms.due < y->terms.due ? -1 : 1;
	return x->key < y->key ? -1 : x->key > y->key;
}

GPtrArray *fg_broker_collect(const struct fg_broker *b, fg_ms now,
			     fg_want_filter keep)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, b->wants);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (keep(b, now, value))
			g_ptr_array_add(list, value);
	if (list->len > 1)
		qsort(list->pdata, list->len, sizeof(gpointer), by_due);
	return list;
}

static bool is_queued(const struct fg_broker *b, fg_ms now,
		      const struct fg_want *w)
{
	(void)now;
	return w->admitted && !fg_broker_loading(b, w->av);
}

/* When the load at this place of the queue would be done, with a share of the
 * budget. */
static fg_ms done_at(const struct fg_broker *b, fg_ms now, uint32_t place,
		     uint32_t percent)
{
	uint32_t scaled = (place * 100 + percent - 1) / percent;

	return now + fg_broker_start_in(b, now, scaled) + b->conf.load_ms;
}

/*
 * Would every admitted need still be met, earliest due first, with w due by
 * `due`? `queue` is sorted by due time. The queue of drafts reaches minutes
 * ahead; they leave a part of the budget to those who come later with less
 * time.
 */
static bool fits(const struct fg_broker *b, fg_ms now, const GPtrArray *queue,
		 const struct fg_want *w, fg_ms due, enum fg_class cls)
{
	uint32_t percent = cls == FG_CLASS_DRAFT ? DRAFT_PERCENT : 100;
	uint32_t place = 1;
	bool placed = false;

	for (guint i = 0; i < queue->len; i++) {
		const struct fg_want *other = queue->pdata[i];
		fg_ms done;

		if (other == w)
			continue;
		if (!placed && other->terms.due > due) {
			if (done_at(b, now, place, percent) > due)
				return false;
			placed = true;
			place++;
		}
		done = done_at(b, now, place, percent);
		place++;
		/* One that is late already is not made so by w. */
		if (placed && done > other->terms.due &&
		    done <= other->terms.due + FG_MS_PER_S)
			return false;
	}
	return placed || done_at(b, now, place, percent) <= due;
}

/* Does the ask cost nobody anything, or can it be met? */
static bool may_admit(const struct fg_broker *b, fg_ms now,
		      const struct fg_want *w, const struct fg_want_ask *a)
{
	/* How long the store stays down is not known: time enough is left. */
	bool down = b->fails >= FG_FAILS_DOWN;
	fg_ms due = down ? a->terms.deadline : a->terms.due;
	GPtrArray *queue;
	bool ok;

	if (fg_broker_loading(b, w->av))
		return true;
	if (w->admitted && a->terms.due >= w->terms.due)
		return true;
	queue = fg_broker_collect(b, now, is_queued);
	ok = fits(b, now, queue, w, due, a->terms.cls);
	g_ptr_array_free(queue, TRUE);
	return ok;
}

static void refuse_ask(struct fg_want *w, guint i, fg_broker_refuse refuse,
		       void *arg)
{
	struct fg_want_ask *a = &g_array_index(w->asks, struct fg_want_ask, i);
	fg_place_rep rep = { .av = w->av, .status = FG_PLACE_REFUSED };

	refuse(arg, a->from, &rep);
	if (a->admitted || a->before.waiting == 0) {
		g_array_remove_index_fast(w->asks, i);
		return;
	}
	a->terms = a->before;
	a->before.waiting = 0;
	a->admitted = true;
}

static void judge(struct fg_broker *b, fg_ms now, struct fg_want *w,
		  fg_broker_refuse refuse, void *arg)
{
	for (guint i = w->asks->len; i-- > 0;) {
		struct fg_want_ask *a =
			&g_array_index(w->asks, struct fg_want_ask, i);

		if (a->admitted)
			continue;
		a->admitted = may_admit(b, now, w, a);
		if (a->admitted)
			a->before.waiting = 0;
		else
			refuse_ask(w, i, refuse, arg);
	}
	fg_broker_settle(b, w);
}

static void refuse_hopeless(struct fg_broker *b, fg_ms now, struct fg_want *w,
			    fg_broker_refuse refuse, void *arg)
{
	for (guint i = w->asks->len; i-- > 0;) {
		const struct fg_want_ask *a =
			&g_array_index(w->asks, struct fg_want_ask, i);

		if (now + b->conf.load_ms > a->terms.deadline)
			refuse_ask(w, i, refuse, arg);
	}
	fg_broker_settle(b, w);
}

static bool is_hopeless(const struct fg_broker *b, fg_ms now,
			const struct fg_want *w)
{
	if (now + b->conf.load_ms <= w->terms.deadline)
		return false;
	return !fg_broker_loading(b, w->av) &&
	       !fg_broker_resident(b, w->av, true);
}

static bool has_new(const struct fg_broker *b, fg_ms now,
		    const struct fg_want *w)
{
	(void)b;
	(void)now;
	for (guint i = 0; i < w->asks->len; i++)
		if (!g_array_index(w->asks, struct fg_want_ask, i).admitted)
			return true;
	return false;
}

void fg_broker_refuse_needs(struct fg_broker *b, fg_ms now,
			    fg_broker_refuse refuse, void *arg)
{
	GPtrArray *list;

	if (!b->policy->refuses)
		return;
	fg_broker_refill(b, now);
	list = fg_broker_collect(b, now, is_hopeless);
	for (guint i = 0; i < list->len; i++)
		refuse_hopeless(b, now, list->pdata[i], refuse, arg);
	g_ptr_array_free(list, TRUE);
	list = fg_broker_collect(b, now, has_new);
	for (guint i = 0; i < list->len; i++)
		judge(b, now, list->pdata[i], refuse, arg);
	g_ptr_array_free(list, TRUE);
}
