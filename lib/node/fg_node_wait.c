/* Requests whose adapter is not resident, grouped by adapter. */
#include "node/fg_node_internal.h"

#define RETRY_AFTER_MS 1000

void fg_waiters_free(void *arg)
{
	struct fg_waiters *w = arg;

	g_ptr_array_free(w->reqs, TRUE);
	g_free(w->service);
	g_free(w);
}

static struct fg_waiters *find_waiters(struct fg_node *n, fg_av av)
{
	uint64_t key = fg_av_key(av);

	return g_hash_table_lookup(n->waiters, &key);
}

static struct fg_waiters *get_waiters(struct fg_node *n, const struct fg_req *r)
{
	struct fg_waiters *w = find_waiters(n, r->av);

	if (w != NULL)
		return w;
	w = g_new0(struct fg_waiters, 1);
	w->key = fg_av_key(r->av);
	w->av = r->av;
	w->service = g_strdup(r->service);
	w->reqs = g_ptr_array_new();
	g_hash_table_insert(n->waiters, &w->key, w);
	return w;
}

/* Time left until the adapter must be resident for the request to meet its
 * deadline. */
static uint32_t slack_ms(struct fg_node *n, const struct fg_req *r)
{
	uint32_t service_ms =
		fg_estimate_percentile_ms(n->estimate, r->cls, 95);
	uint32_t left_ms = fg_req_left_ms(n, r);

	return left_ms > service_ms ? left_ms - service_ms : 0;
}

/* Sums up the needs of all requests that wait for one adapter. A need with 0
 * waiting withdraws the last one. */
static fg_need sum_up_need(struct fg_node *n, const struct fg_waiters *w)
{
	fg_need need = {
		.av = w->av,
		.waiting = w->reqs->len,
		.slack_ms = UINT32_MAX,
		.cls = FG_CLASS_DRAFT,
	};

	for (guint i = 0; i < w->reqs->len; i++) {
		const struct fg_req *r = g_ptr_array_index(w->reqs, i);

		need.slack_ms = MIN(need.slack_ms, slack_ms(n, r));
		need.cls = MIN(need.cls, r->cls);
	}
	return need;
}

static void send_need(struct fg_node *n, struct fg_waiters *w)
{
	fg_need need = sum_up_need(n, w);

	w->need_sent_at = n->now;
	w->need_waiting = need.waiting;
	w->need_cls = (enum fg_class)need.cls;
	w->need_due_at = n->now + need.slack_ms;
	fg_node_add_counter(n, FG_NC_NEEDS, 1);
	fg_model_send_need(n, n->self, &need, w->service);
}

/* Sends a new NEED when the broker might decide differently: the number of
 * requests has doubled, one is due sooner, or a more urgent class joined. */
static void update_need(struct fg_node *n, struct fg_waiters *w)
{
	fg_need need = sum_up_need(n, w);

	if (need.waiting >= 2 * w->need_waiting ||
	    need.cls < (u_int)w->need_cls ||
	    n->now + need.slack_ms < w->need_due_at)
		send_need(n, w);
}

void fg_wait_add(struct fg_node *n, struct fg_req *r)
{
	struct fg_waiters *w = get_waiters(n, r);

	if (r->state == FG_REQ_ADAPTER)
		return;
	r->state = FG_REQ_ADAPTER;
	if (r->stalled_since == 0) {
		r->stalled_since = n->now;
		fg_node_add_counter(n, FG_NC_STALLED, 1);
	}
	g_ptr_array_add(w->reqs, r);
	update_need(n, w);
}

void fg_wait_remove(struct fg_node *n, struct fg_req *r)
{
	struct fg_waiters *w;

	if (r->state != FG_REQ_ADAPTER)
		return;
	w = find_waiters(n, r->av);
	if (w == NULL || !g_ptr_array_remove(w->reqs, r))
		return;
	if (w->reqs->len > 0)
		return;
	send_need(n, w);
	g_hash_table_remove(n->waiters, &w->key);
}

void fg_wait_on_resident(struct fg_node *n, fg_av av)
{
	struct fg_waiters *w = find_waiters(n, av);

	if (w == NULL)
		return;
	/* The next tick routes each request. The endpoints that it avoided are
	 * cleared because they date from before the load. */
	for (guint i = 0; i < w->reqs->len; i++) {
		struct fg_req *r = g_ptr_array_index(w->reqs, i);

		r->state = FG_REQ_BACKOFF;
		r->retry_at = n->now;
		r->n_avoid = 0;
	}
	g_ptr_array_set_size(w->reqs, 0);
	send_need(n, w);
	g_hash_table_remove(n->waiters, &w->key);
}

/* Returns the requests due no later than the last NEED stated. */
static GPtrArray *find_due_reqs(struct fg_node *n, const struct fg_waiters *w)
{
	GPtrArray *due = g_ptr_array_new();

	for (guint i = 0; i < w->reqs->len; i++) {
		struct fg_req *r = g_ptr_array_index(w->reqs, i);

		if (n->now + slack_ms(n, r) <= w->need_due_at)
			g_ptr_array_add(due, r);
	}
	return due;
}

void fg_wait_on_refused(struct fg_node *n, fg_av av)
{
	struct fg_waiters *w = find_waiters(n, av);
	GPtrArray *due;

	if (w == NULL)
		return;
	due = find_due_reqs(n, w);
	for (guint i = 0; i < due->len; i++)
		fg_req_fail(n, g_ptr_array_index(due, i), FG_NOT_RUN,
			    FG_R_NO_TIME, RETRY_AFTER_MS);
	g_ptr_array_free(due, TRUE);
	w = find_waiters(n, av);
	if (w != NULL)
		send_need(n, w);
}

void fg_wait_tick(struct fg_node *n)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, n->waiters);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct fg_waiters *w = value;

		if (n->now - w->need_sent_at >= n->conf.need_repeat_ms)
			send_need(n, w);
	}
}
