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
	q->decisions =
		g_array_new(FALSE, FALSE, sizeof(struct fg_quota_decision));
	q->held = g_ptr_array_new();
	q->busy = g_ptr_array_new();
	q->view = 1;
	q->view_until = FG_MS_NEVER;
	q->checks_due = FG_MS_NEVER;
	return q;
}

void fg_quota_free(struct fg_quota *q)
{
	if (q == NULL)
		return;
	g_hash_table_unref(q->workspaces);
	g_array_unref(q->members);
	g_array_unref(q->decisions);
	g_ptr_array_unref(q->held);
	g_ptr_array_unref(q->busy);
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

bool fgq_has_majority(const struct fg_quota *q, fg_ms now)
{
	return q->complete && now - q->members_at <= VIEW_MAX_MS &&
	       2 * (q->n_alive + 1) > q->members->len + 1;
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

/* Forgets all accounts kept here. */
static void drop_held(struct fg_quota *q)
{
	for (guint i = 0; i < q->held->len; i++) {
		struct workspace *w = q->held->pdata[i];

		w->held = false;
	}
	g_ptr_array_set_size(q->held, 0);
}

/* Returns whether `list` has an instance of that name, in any incarnation. */
static bool has_name(const GArray *list, uint64_t hash)
{
	for (guint i = 0; i < list->len; i++) {
		if (g_array_index(list, struct member, i).pub.hash == hash)
			return true;
	}
	return false;
}

/* An instance that is not listed any more counts as one that is not alive, as
 * long as another instance may still see it alive. Returns whether one was
 * forgotten. */
static bool keep_gone(struct fg_quota *q, fg_ms now, const GArray *old)
{
	guint n_listed = q->members->len;
	bool forgotten = false;

	for (guint i = 0; i < old->len; i++) {
		struct member m = g_array_index(old, struct member, i);

		if (find_in(q->members, i, m.pub.id) != NULL ||
		    has_name(q->members, m.pub.hash)) {
			forgotten = forgotten || m.gone_at != 0;
			continue;
		}
		if (m.gone_at == 0)
			m.gone_at = now;
		if (now - m.gone_at >= FG_QUOTA_GONE_MS) {
			forgotten = true;
			continue;
		}
		m.pub.alive = false;
		g_array_append_val(q->members, m);
	}
	return forgotten || q->members->len > n_listed;
}

void fg_quota_set_members(struct fg_quota *q, fg_ms now,
			  const struct fg_quota_member *members, uint32_t n,
			  bool complete)
{
	GArray *old = q->members;
	bool changed = complete != q->complete;

	q->members = g_array_sized_new(FALSE, TRUE, sizeof(struct member), n);
	q->n_alive = 0;
	q->complete = complete;
	for (uint32_t i = 0; i < n; i++) {
		const struct member *known = find_in(old, i, members[i].id);
		struct member m = { .listed_at = now };

		if (known != NULL)
			m = *known;
		changed = changed || known == NULL ||
			  known->pub.alive != members[i].alive ||
			  known->pub.hash != members[i].hash;
		m.pub = members[i];
		m.gone_at = 0;
		if (m.pub.alive) {
			m.alive_at = now;
			q->n_alive++;
		}
		g_array_append_val(q->members, m);
	}
	changed = keep_gone(q, now, old) || changed;
	g_array_unref(old);
	if (now - q->members_at > VIEW_MAX_MS)
		drop_held(q);
	q->members_at = now;
	q->view += changed ? 1 : 0;
	q->kept_back = unseen_part(q, now);
	if (complete && q->complete_at == 0)
		q->complete_at = now;
	if (fgq_has_majority(q, now))
		q->majority_at = now;
	/* Without this, an account that another instance kept meanwhile would
	 * be found full when its workspace is used here again. */
	for (guint i = q->held->len; i > 0; i--) {
		struct workspace *w = q->held->pdata[i - 1];

		if (fgq_update_held(q, w, now))
			fgq_update_contested(q, w, now);
	}
}

void fg_quota_leave(struct fg_quota *q)
{
	q->leaving = true;
	q->view++;
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

static uint64_t find_holder(const struct fg_quota *q, const struct workspace *w,
			    fg_ms now, bool ask)
{
	uint64_t own = q->leaving ? 0 : fg_hash_mix(q->conf.self_hash, w->id);
	uint64_t best = own;
	uint64_t holder = q->leaving ? 0 : q->conf.self;
	bool passed = false;

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

/* An instance is no longer passed over: counts as another view. */
static void end_silences(struct fg_quota *q, fg_ms now)
{
	if (now < q->view_until)
		return;
	q->view++;
	q->view_until = FG_MS_NEVER;
	for (guint i = 0; i < q->members->len; i++) {
		const struct member *m =
			&g_array_index(q->members, struct member, i);

		if (now < m->silent_until)
			q->view_until = MIN(q->view_until, m->silent_until);
	}
}

uint64_t fgq_holder(struct fg_quota *q, struct workspace *w, fg_ms now,
		    bool ask)
{
	if (!fgq_has_majority(q, now))
		return 0;
	if (ask && w->n_passed > 0)
		return find_holder(q, w, now, true);
	end_silences(q, now);
	if (w->holder_view != q->view) {
		w->holder = find_holder(q, w, now, false);
		w->holder_view = q->view;
	}
	return w->holder;
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

	(void)now;
	g_hash_table_iter_init(&iter, q->workspaces);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct workspace *w = value;

		if (!w->seen) {
			for (guint i = 0; i < w->waiters->len; i++)
				fgq_decide(q, w->id,
					   &g_array_index(w->waiters,
							  struct waiter, i),
					   FG_QUOTA_ADMITTED, 0);
			g_ptr_array_remove_fast(q->held, w);
			g_ptr_array_remove_fast(q->busy, w);
			g_hash_table_iter_remove(&iter);
			continue;
		}
		w->seen = false;
	}
}

/* ---- Decisions ---- */

void fgq_decide(struct fg_quota *q, uint64_t workspace,
		const struct waiter *waiter, enum fg_quota_verdict verdict,
		uint32_t retry_ms)
{
	struct fg_quota_decision decision = {
		.workspace = workspace,
		.request = waiter->request,
		.tokens = waiter->tokens,
		.verdict = verdict,
		.retry_ms = retry_ms,
	};

	if (verdict == FG_QUOTA_ADMITTED)
		q->stats.admitted++;
	else if (verdict == FG_QUOTA_REFUSED)
		q->stats.refused++;
	else
		q->stats.unknown++;
	g_array_append_val(q->decisions, decision);
}

bool fg_quota_has_decisions(const struct fg_quota *q)
{
	return q->decisions->len > 0;
}

bool fg_quota_next_decision(struct fg_quota *q, struct fg_quota_decision *out)
{
	if (q->decisions->len == 0)
		return false;
	*out = g_array_index(q->decisions, struct fg_quota_decision, 0);
	g_array_remove_index(q->decisions, 0);
	return true;
}

/* ---- Time ---- */

fg_ms fg_quota_next_due(const struct fg_quota *q)
{
	fg_ms due = q->checks_due;

	for (guint i = 0; i < q->busy->len; i++) {
		const struct workspace *w = q->busy->pdata[i];

		if (w->ask.to != 0)
			due = MIN(due,
				  w->ask.sent_at + FG_QUOTA_ASK_TIMEOUT_MS);
		if (w->waiters->len > 0)
			due = MIN(due, w->ask_again_at);
		if (w->waiters->len > 0)
			due = MIN(due,
				  g_array_index(w->waiters, struct waiter, 0)
						  .since +
					  FG_QUOTA_WAIT_MAX_MS);
	}
	return due;
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
			v->leased += now < w->leases[i].until
					     ? w->leases[i].tokens
					     : 0;
		v->waiting = w->waiters->len;
		v->asked_per_s = w->demand_per_s;
	}
	return g_hash_table_size(q->workspaces);
}
