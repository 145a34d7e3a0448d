/* Instances, limits, and who keeps an account. */
#include "quota/fg_quota_priv.h"

#include <string.h>

static void workspace_free(gpointer p)
{
	struct workspace *w = p;

	g_array_unref(w->answered);
	g_array_unref(w->waiters);
	g_free(w);
}

struct fg_quota *fg_quota_new(const struct fg_quota_conf *conf,
			      const struct fg_quota_ops *ops, void *ctx)
{
	struct fg_quota *q = g_new0(struct fg_quota, 1);

	q->conf = *conf;
	q->ops = *ops;
	q->ctx = ctx;
	q->workspaces = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      workspace_free);
	q->members = g_array_new(FALSE, TRUE, sizeof(struct member));
	return q;
}

void fg_quota_free(struct fg_quota *q)
{
	if (q == NULL)
		return;
	g_hash_table_unref(q->workspaces);
	g_array_unref(q->members);
	g_free(q);
}

struct workspace *fgq_find(const struct fg_quota *q, uint64_t id)
{
	return g_hash_table_lookup(q->workspaces, &id);
}

/* ---- Instances ---- */

struct member *fgq_find_member(const struct fg_quota *q, uint64_t id)
{
	for (guint i = 0; i < q->members->len; i++) {
		struct member *m = &g_array_index(q->members, struct member, i);

		if (m->pub.id == id)
			return m;
	}
	return NULL;
}

bool fgq_has_majority(const struct fg_quota *q)
{
	return q->complete && 2 * (q->n_alive + 1) > q->members->len + 1;
}

/* Part of each rate that instances which are not seen alive, or not yet, may be
 * admitting from their shares. */
static double unseen_part(const struct fg_quota *q, fg_ms now)
{
	uint32_t n = 0;

	for (guint i = 0; i < q->members->len; i++) {
		const struct member *m =
			&g_array_index(q->members, struct member, i);

		if (!m->pub.alive &&
		    now - MAX(m->alive_at, m->listed_at) <
			    FG_QUOTA_SHARE_MS + FG_QUOTA_LEASE_MS)
			n++;
	}
	return (double)n / (q->members->len + 1);
}

/* `at` is where it is expected: the order changes seldom. */
static const struct member *find_in(const GArray *list, guint at, uint64_t id)
{
	for (guint k = 0; k < list->len; k++) {
		const struct member *m = &g_array_index(list, struct member,
							(at + k) % list->len);

		if (m->pub.id == id)
			return m;
	}
	return NULL;
}

void fg_quota_set_members(struct fg_quota *q, fg_ms now,
			  const struct fg_quota_member *members, uint32_t n,
			  bool complete)
{
	GArray *old = q->members;

	q->members = g_array_sized_new(FALSE, TRUE, sizeof(struct member), n);
	q->n_alive = 0;
	q->complete = complete;
	for (uint32_t i = 0; i < n; i++) {
		const struct member *known = find_in(old, i, members[i].id);
		struct member m = { .listed_at = now };

		if (known != NULL)
			m = *known;
		m.pub = members[i];
		if (m.pub.alive) {
			m.alive_at = now;
			q->n_alive++;
		}
		g_array_append_val(q->members, m);
	}
	g_array_unref(old);
	q->kept_back = unseen_part(q, now);
	if (complete && q->complete_at == 0)
		q->complete_at = now;
	if (fgq_has_majority(q))
		q->majority_at = now;
}

void fg_quota_leave(struct fg_quota *q)
{
	q->leaving = true;
}

/* ---- Holder ---- */

static bool is_passed(const struct workspace *w, uint64_t id, fg_ms now)
{
	for (uint32_t i = 0; i < w->n_passed; i++) {
		if (w->passed[i] == id && now < w->passed_until[i])
			return true;
	}
	return false;
}

uint64_t fgq_holder(const struct fg_quota *q, const struct workspace *w,
		    fg_ms now, bool ask)
{
	uint64_t own = q->leaving ? 0 : fg_hash_mix(q->conf.self_hash, w->id);
	uint64_t best = own;
	uint64_t holder = q->leaving ? 0 : q->conf.self;
	bool passed = false;

	if (!fgq_has_majority(q))
		return 0;
	for (guint i = 0; i < q->members->len; i++) {
		const struct member *m =
			&g_array_index(q->members, struct member, i);
		uint64_t rank = fg_hash_mix(m->pub.hash, w->id);

		if (!m->pub.alive || now < m->silent_until || rank <= best)
			continue;
		if (ask && is_passed(w, m->pub.id, now)) {
			passed = passed || rank > own;
			continue;
		}
		best = rank;
		holder = m->pub.id;
	}
	return holder == q->conf.self && passed ? 0 : holder;
}

/* ---- Limits ---- */

void fg_quota_set_limit(struct fg_quota *q, fg_ms now, uint64_t id,
			const struct fg_quota_limit *limit)
{
	struct workspace *w = fgq_find(q, id);

	if (w == NULL) {
		w = g_new0(struct workspace, 1);
		w->id = id;
		w->answered =
			g_array_new(FALSE, FALSE, sizeof(struct answered));
		w->ask_again_at = FG_MS_NEVER;
		w->waiters = g_array_new(FALSE, FALSE, sizeof(struct waiter));
		w->share.at = now;
		w->demand_at = now;
		g_hash_table_insert(q->workspaces, &w->id, w);
	}
	w->limit = *limit;
	w->seen = true;
	w->account.level = MIN(w->account.level, limit->burst);
	w->share.level = MIN(w->share.level, limit->burst);
}

void fg_quota_end_limits(struct fg_quota *q, fg_ms now)
{
	GHashTableIter iter;
	gpointer value;
	GArray *freed = g_array_new(FALSE, FALSE, sizeof(struct waiter));

	(void)now;
	g_hash_table_iter_init(&iter, q->workspaces);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct workspace *w = value;

		if (!w->seen) {
			g_array_append_vals(freed, w->waiters->data,
					    w->waiters->len);
			g_hash_table_iter_remove(&iter);
			continue;
		}
		w->seen = false;
	}
	for (guint i = 0; i < freed->len; i++)
		q->ops.decided(q->ctx,
			       g_array_index(freed, struct waiter, i).request,
			       FG_QUOTA_ADMITTED, 0);
	g_array_unref(freed);
}

/* ---- For operators ---- */

void fg_quota_get_stats(const struct fg_quota *q, struct fg_quota_stats *out)
{
	*out = q->stats;
}

uint32_t fg_quota_list(struct fg_quota *q, fg_ms now, struct fg_quota_view *out,
		       uint32_t max)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t n = 0;

	g_hash_table_iter_init(&iter, q->workspaces);
	while (g_hash_table_iter_next(&iter, NULL, &value) && n < max) {
		struct workspace *w = value;
		struct fg_quota_view *v = &out[n++];

		memset(v, 0, sizeof(*v));
		v->workspace = w->id;
		v->holder = fgq_holder(q, w, now, false);
		v->held_here = fgq_update_held(q, w, now);
		v->level = v->held_here ? w->account.level : 0;
		v->rate_per_s = w->limit.rate_per_s * (1 - q->kept_back);
		for (uint32_t i = 0; i < w->n_leases; i++)
			v->leased += w->leases[i].tokens;
		v->waiting = w->waiters->len;
		v->asked_per_s = w->demand_per_s;
	}
	return g_hash_table_size(q->workspaces);
}
