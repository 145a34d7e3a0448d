/* Requests whose adapter is resident nowhere: coalesced per adapter. */
#include "node/fg_node_internal.h"

#define RETRY_AFTER_MS 1000

void fg_wait_free(void *arg)
{
	struct fg_wait *w = arg;

	g_ptr_array_free(w->reqs, TRUE);
	g_free(w->service);
	g_free(w);
}

static struct fg_wait *find_wait(struct fg_node *n, fg_av av)
{
	uint64_t key = fg_av_key(av);

	return g_hash_table_lookup(n->waits, &key);
}

static struct fg_wait *get_wait(struct fg_node *n, const struct fg_req *r)
{
	struct fg_wait *w = find_wait(n, r->av);

	if (w != NULL)
		return w;
	w = g_new0(struct fg_wait, 1);
	w->key = fg_av_key(r->av);
	w->av = r->av;
	w->service = g_strdup(r->service);
	w->reqs = g_ptr_array_new();
	g_hash_table_insert(n->waits, &w->key, w);
	return w;
}

/* Time until its adapter must be there, for it to be done in time. */
static uint32_t slack_ms(struct fg_node *n, const struct fg_req *r)
{
	uint32_t service_ms =
		fg_estimate_percentile_ms(n->estimate, r->cls, 95);
	uint32_t left_ms = fg_req_left_ms(n, r);

	return left_ms > service_ms ? left_ms - service_ms : 0;
}

/* What all that wait for one adapter need; 0 waiting withdraws it. */
static fg_need sum_up(struct fg_node *n, const struct fg_wait *w)
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

static void send_need(struct fg_node *n, struct fg_wait *w)
{
	fg_need need = sum_up(n, w);

	w->need_sent = n->now;
	w->told_waiting = need.waiting;
	w->told_cls = (enum fg_class)need.cls;
	w->told_due = n->now + need.slack_ms;
	fg_node_count(n, FG_NC_NEEDS, 1);
	fg_model_need(n, n->self, &need, w->service);
}

/* The broker is told again when it would decide otherwise: the queue has
 * doubled, something is due sooner, or a more urgent class has joined. */
static void update_need(struct fg_node *n, struct fg_wait *w)
{
	fg_need need = sum_up(n, w);

	if (need.waiting >= 2 * w->told_waiting ||
	    need.cls < (u_int)w->told_cls ||
	    n->now + need.slack_ms < w->told_due)
		send_need(n, w);
}

void fg_wait_add(struct fg_node *n, struct fg_req *r)
{
	struct fg_wait *w = get_wait(n, r);

	if (r->state == FG_REQ_ADAPTER)
		return;
	r->state = FG_REQ_ADAPTER;
	if (r->waits_since == 0) {
		r->waits_since = n->now;
		fg_node_count(n, FG_NC_STALLED, 1);
	}
	g_ptr_array_add(w->reqs, r);
	update_need(n, w);
}

void fg_wait_remove(struct fg_node *n, struct fg_req *r)
{
	struct fg_wait *w;

	if (r->state != FG_REQ_ADAPTER)
		return;
	w = find_wait(n, r->av);
	if (w == NULL || !g_ptr_array_remove(w->reqs, r))
		return;
	if (w->reqs->len > 0)
		return;
	send_need(n, w);
	g_hash_table_remove(n->waits, &w->key);
}

void fg_wait_resident(struct fg_node *n, fg_av av)
{
	struct fg_wait *w = find_wait(n, av);

	if (w == NULL)
		return;
	/* Routed by the next step of the clock, each on its own. The list
	 * of endpoints to avoid is old news by now. */
	for (guint i = 0; i < w->reqs->len; i++) {
		struct fg_req *r = g_ptr_array_index(w->reqs, i);

		r->state = FG_REQ_BACKOFF;
		r->next_at = n->now;
		r->n_avoid = 0;
	}
	g_ptr_array_set_size(w->reqs, 0);
	send_need(n, w);
	g_hash_table_remove(n->waits, &w->key);
}

/* Those that are due no later than what the broker was told of. */
static GPtrArray *due_as_told(struct fg_node *n, const struct fg_wait *w)
{
	GPtrArray *due = g_ptr_array_new();

	for (guint i = 0; i < w->reqs->len; i++) {
		struct fg_req *r = g_ptr_array_index(w->reqs, i);

		if (n->now + slack_ms(n, r) <= w->told_due)
			g_ptr_array_add(due, r);
	}
	return due;
}

void fg_wait_refused(struct fg_node *n, fg_av av)
{
	struct fg_wait *w = find_wait(n, av);
	GPtrArray *due;

	if (w == NULL)
		return;
	due = due_as_told(n, w);
	for (guint i = 0; i < due->len; i++)
		fg_req_fail(n, g_ptr_array_index(due, i), FG_NOT_RUN,
			    FG_R_NO_TIME, RETRY_AFTER_MS);
	g_ptr_array_free(due, TRUE);
	w = find_wait(n, av);
	if (w != NULL)
		send_need(n, w);
}

void fg_waits_tick(struct fg_node *n)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, n->waits);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct fg_wait *w = value;

		if (n->now - w->need_sent >= n->conf.need_repeat_ms)
			send_need(n, w);
	}
}
