/* The routers: queues per adapter, holding, needs and grants. */
#include <stdlib.h>

#include "place_sim.h"

#define BROKER_AT 0 /* the instance that is the broker */
#define RETRY_MS 50

static fg_ms deadline_of(const struct sim *s, uint32_t req)
{
	return s->t->a[req].at + s->t->a[req].deadline_ms;
}

static struct queue *get_queue(struct sim *s, uint32_t req)
{
	const struct arrival *a = &s->t->a[req];
	GHashTable *queues = s->routers[a->router].queues;
	uint64_t key = fg_av_key(a->av);
	struct queue *q = g_hash_table_lookup(queues, &key);

	if (q != NULL)
		return q;
	q = g_new0(struct queue, 1);
	q->key = key;
	q->waiting = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	g_hash_table_insert(queues, &q->key, q);
	return q;
}

/* The wait for a load, less what the broker holds a draft by choice. */
static void end_wait(struct sim *s, uint32_t req)
{
	struct req *r = &s->reqs[req];
	fg_ms wait = s->now - r->wait_from;
	fg_ms held = 0;

	if (s->own && s->t->a[req].cls == FG_CLASS_DRAFT)
		held = fg_hold_ms(
			&s->d->preset,
			(uint32_t)(deadline_of(s, req) - r->wait_from),
			s->d->service_p95_ms, LOAD_MS, 1, BATCH, false);
	held = MIN(held, wait);
	r->hold_ms += held;
	r->stall_ms += wait - held;
}

static void remove_req(GArray *list, uint32_t req)
{
	for (guint i = 0; i < list->len; i++) {
		if (g_array_index(list, uint32_t, i) == req) {
			g_array_remove_index(list, i);
			return;
		}
	}
}

static void finish(struct sim *s, uint32_t req, bool answered)
{
	struct req *r = &s->reqs[req];
	bool in_time = s->now <= deadline_of(s, req);

	g_assert_cmpint(r->state, !=, REQ_OVER);
	r->state = REQ_OVER;
	if (answered && in_time) {
		s->result->answered++;
		s->result->met[req] = true;
	} else if (!answered && s->now - s->t->a[req].at <= REFUSED_NOW_MS) {
		s->result->refused++;
		r->stall_ms = -1;
	} else {
		s->result->missed++;
	}
}

/* ---- Needs ---- */

/* Tells the broker when it helps: first, when the queue has doubled, when a
 * deadline came closer, and when nobody waits any more. */
static void tell_need(struct sim *s, uint32_t router, struct queue *q)
{
	fg_msg m = { .body = { .type = FG_MSG_NEED } };
	fg_need *need = &m.body.fg_body_u.need;
	fg_ms first = FG_MS_NEVER;

	need->av = (fg_av){ (u_int)(q->key >> 32), (u_int)q->key };
	need->waiting = q->waiting->len;
	need->cls = FG_CLASS_COUNT;
	for (guint i = 0; i < q->waiting->len; i++) {
		uint32_t req = g_array_index(q->waiting, uint32_t, i);

		first = MIN(first, deadline_of(s, req));
		need->cls = MIN(need->cls, (u_int)s->t->a[req].cls);
	}
	if (q->waiting->len == q->announced ||
	    (q->announced > 0 && q->waiting->len > 0 &&
	     q->waiting->len < 2 * q->announced && first >= q->told_deadline &&
	     need->cls >= q->told_cls))
		return;
	q->announced = q->waiting->len;
	q->told_deadline = first;
	q->told_cls = need->cls;
	if (need->waiting > 0)
		need->slack_ms =
			(u_int)MAX(first - s->now - s->d->service_p95_ms, 0);
	sim_count(s, &m, router, BROKER_AT);
	sim_push(s, (struct ev){ .at = s->now + sim_net_ms(router, BROKER_AT),
				 .type = EV_NEED,
				 .router = router,
				 .need = *need });
}

/* ---- Dispatch ---- */

static void ask_grant(struct sim *s, uint32_t req, uint32_t ep)
{
	fg_msg m = { .body = { .type = FG_MSG_GRANT_REQ } };
	struct req *r = &s->reqs[req];
	uint32_t router = s->t->a[req].router;

	r->state = REQ_ASKED;
	r->ep = ep;
	r->attempt++;
	fg_dir_add_own_grants(s->routers[router].dir, sim_ep_id(ep), 1);
	sim_count(s, &m, router, sim_owner(ep));
	sim_push(s,
		 (struct ev){ .at = s->now + sim_net_ms(router, sim_owner(ep)),
			      .type = EV_GRANT_REQ,
			      .ep = ep,
			      .router = router,
			      .req = req,
			      .attempt = r->attempt });
}

static struct fg_pick pick(struct sim *s, uint32_t req, uint64_t avoid)
{
	const struct arrival *a = &s->t->a[req];

	return fg_dir_pick_endpoint(s->routers[a->router].dir, s->now, "model",
				    a->av, "region", false, &avoid, 1, 0);
}

static void dispatch(struct sim *s, uint32_t req, uint64_t avoid)
{
	struct fg_pick p = pick(s, req, avoid);
	struct req *r = &s->reqs[req];
	struct queue *q;

	if (p.resident) {
		ask_grant(s, req, (uint32_t)p.ep - 1);
		return;
	}
	q = get_queue(s, req);
	r->state = REQ_WAITING;
	r->wait_from = s->now;
	g_array_append_val(q->waiting, req);
	tell_need(s, s->t->a[req].router, q);
}

void router_arrive(struct sim *s, uint32_t req)
{
	const struct arrival *a = &s->t->a[req];
	struct router *r = &s->routers[a->router];
	uint64_t key = fg_av_key(a->av);
	uint64_t *count = g_hash_table_lookup(r->counts, &key);

	if (count == NULL) {
		count = g_new0(uint64_t, 2);
		count[0] = key;
		g_hash_table_insert(r->counts, count, count);
	}
	count[1]++;
	s->reqs[req].tokens_left = a->tokens;
	sim_push(s, (struct ev){ .at = deadline_of(s, req),
				 .type = EV_DEADLINE,
				 .req = req });
	dispatch(s, req, 0);
}

/* ---- Answers ---- */

void router_grant_rep(struct sim *s, const struct ev *ev)
{
	struct req *r = &s->reqs[ev->req];
	struct router *router = &s->routers[ev->router];

	if (ev->status != FG_GRANT_OK) {
		fg_dir_add_own_grants(router->dir, sim_ep_id(ev->ep), -1);
		if (r->state != REQ_ASKED || r->attempt != ev->attempt)
			return;
		if (ev->status == FG_GRANT_NO_TIME)
			finish(s, ev->req, false);
		else
			dispatch(s, ev->req, sim_ep_id(ev->ep));
		return;
	}
	r->grant = ev->id;
	r->cancelled = r->state != REQ_ASKED;
	if (r->state == REQ_ASKED)
		r->state = REQ_RUNNING;
	sim_push(s, (struct ev){ .at = s->now + NET_MS,
				 .type = EV_RUN,
				 .ep = ev->ep,
				 .req = ev->req });
}

void router_run_end(struct sim *s, const struct ev *ev)
{
	struct req *r = &s->reqs[ev->req];
	uint32_t router = s->t->a[ev->req].router;
	fg_msg m = { .body = { .type = FG_MSG_RELEASE } };

	fg_dir_add_own_grants(s->routers[router].dir, sim_ep_id(r->ep), -1);
	sim_count(s, &m, router, sim_owner(r->ep));
	sim_push(s, (struct ev){ .at = s->now +
				       sim_net_ms(router, sim_owner(r->ep)),
				 .type = EV_RELEASE,
				 .ep = r->ep,
				 .id = r->grant });
	if (r->state == REQ_OVER)
		return;
	if (ev->status) {
		finish(s, ev->req, true);
		return;
	}
	r->tokens_left = s->t->a[ev->req].tokens;
	dispatch(s, ev->req, sim_ep_id(r->ep));
}

static void serve_waiting(struct sim *s, uint32_t router, struct queue *q)
{
	GArray *waiting = q->waiting;

	q->waiting = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	for (guint i = 0; i < waiting->len; i++) {
		uint32_t req = g_array_index(waiting, uint32_t, i);

		end_wait(s, req);
		dispatch(s, req, 0);
	}
	g_array_free(waiting, TRUE);
	tell_need(s, router, q);
}

void router_resident(struct sim *s, const struct ev *ev)
{
	struct router *r = &s->routers[ev->router];

	if (ev->router == BROKER_AT)
		fg_dir_on_resident(s->broker_dir, s->now, ev->resident);
	if (!fg_dir_on_resident(r->dir, s->now, ev->resident))
		return;
	for (u_int i = 0; i < ev->resident->av.av_len; i++) {
		uint64_t key = fg_av_key(ev->resident->av.av_val[i]);
		struct queue *q = g_hash_table_lookup(r->queues, &key);

		if (q != NULL && q->waiting->len > 0)
			serve_waiting(s, ev->router, q);
	}
}

/* Answers those with the least slack; the others are announced again. */
void router_refusal(struct sim *s, const struct ev *ev)
{
	struct router *r = &s->routers[ev->router];
	uint64_t key = fg_av_key(ev->place.av);
	struct queue *q = g_hash_table_lookup(r->queues, &key);
	guint kept = 0;

	if (q == NULL)
		return;
	for (guint i = 0; i < q->waiting->len; i++) {
		uint32_t req = g_array_index(q->waiting, uint32_t, i);

		if (deadline_of(s, req) > q->told_deadline) {
			g_array_index(q->waiting, uint32_t, kept++) = req;
			continue;
		}
		end_wait(s, req);
		finish(s, req, false);
	}
	g_array_set_size(q->waiting, kept);
	q->announced = 0;
	tell_need(s, ev->router, q);
}

void router_deadline(struct sim *s, uint32_t req)
{
	struct req *r = &s->reqs[req];
	struct queue *q;

	if (r->state == REQ_OVER)
		return;
	r->cancelled = true;
	if (r->state == REQ_WAITING) {
		q = get_queue(s, req);
		end_wait(s, req);
		remove_req(q->waiting, req);
		tell_need(s, s->t->a[req].router, q);
	}
	finish(s, req, false);
}

void router_heat(struct sim *s, uint32_t router)
{
	struct router *r = &s->routers[router];
	fg_msg m = { .body = { .type = FG_MSG_HEAT } };
	fg_heat *heat = &m.body.fg_body_u.heat;
	fg_heat_item items[FG_LIST_MAX];
	GHashTableIter it;
	gpointer value;

	heat->items.items_val = items;
	g_hash_table_iter_init(&it, r->counts);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const uint64_t *count = value;
		fg_heat_item *item = &items[heat->items.items_len++];

		item->av = (fg_av){ (u_int)(count[0] >> 32), (u_int)count[0] };
		item->count = (u_int)count[1];
		g_hash_table_iter_remove(&it);
		if (heat->items.items_len == FG_LIST_MAX)
			break;
	}
	if (heat->items.items_len == 0)
		return;
	sim_count(s, &m, router, BROKER_AT);
	fg_broker_on_heat(s->broker, s->now, heat);
}

static void queue_free(gpointer p)
{
	struct queue *q = p;

	g_array_free(q->waiting, TRUE);
	g_free(q);
}

void router_free(struct router *r)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, r->queues);
	while (g_hash_table_iter_next(&it, NULL, &value))
		queue_free(value);
	g_hash_table_destroy(r->queues);
	g_hash_table_destroy(r->counts);
	fg_dir_free(r->dir);
}
