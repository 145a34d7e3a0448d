/* Simulates the routers: queues per adapter, needs, holding and grants. */
#include <stdlib.h>

#include "place_sim.h"

#define BROKER 0 /* instance that runs the broker */
#define RETRY_MS 50

static fg_ms req_deadline(const struct sim *s, uint32_t req)
{
	return s->t->arrivals[req].at + s->t->arrivals[req].deadline_ms;
}

static struct queue *get_queue(struct sim *s, uint32_t req)
{
	const struct arrival *a = &s->t->arrivals[req];
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

/* Adds the wait for a load to the request's stall time. The broker's
 * intentional hold of a draft counts as hold time instead. */
static void end_wait(struct sim *s, uint32_t req)
{
	struct req *r = &s->reqs[req];
	fg_ms wait_ms = s->now - r->wait_start;
	fg_ms hold_ms = 0;

	if (s->is_gauge && s->t->arrivals[req].cls == FG_CLASS_DRAFT)
		hold_ms = fg_hold_ms(
			&s->d->preset,
			(uint32_t)(req_deadline(s, req) - r->wait_start),
			s->d->service_p95_ms, LOAD_MS, 1, BATCH, false);
	hold_ms = MIN(hold_ms, wait_ms);
	r->hold_ms += hold_ms;
	r->stall_ms += wait_ms - hold_ms;
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

static void end_request(struct sim *s, uint32_t req, bool answered)
{
	struct req *r = &s->reqs[req];
	bool in_time = s->now <= req_deadline(s, req);

	g_assert_cmpint(r->state, !=, REQ_ENDED);
	r->state = REQ_ENDED;
	if (answered && in_time) {
		s->result->answered++;
		s->result->in_time[req] = true;
	} else if (!answered &&
		   s->now - s->t->arrivals[req].at <= REFUSED_AT_ONCE_MS) {
		s->result->refused++;
		r->stall_ms = -1;
	} else {
		s->result->missed++;
	}
}

/* ---- Needs ---- */

/* Sends a NEED for the first waiting request, and again when the queue has
 * doubled, the earliest deadline is earlier, a class is more urgent, or no
 * request waits any longer. */
static void send_need(struct sim *s, uint32_t router, struct queue *q)
{
	fg_msg m = { .body = { .type = FG_MSG_NEED } };
	fg_need *need = &m.body.fg_body_u.need;
	fg_ms earliest = FG_MS_NEVER;

	need->av = (fg_av){ (u_int)(q->key >> 32), (u_int)q->key };
	need->waiting = q->waiting->len;
	need->cls = FG_CLASS_COUNT;
	for (guint i = 0; i < q->waiting->len; i++) {
		uint32_t req = g_array_index(q->waiting, uint32_t, i);

		earliest = MIN(earliest, req_deadline(s, req));
		need->cls = MIN(need->cls, (u_int)s->t->arrivals[req].cls);
	}
	if (q->waiting->len == q->sent_waiting ||
	    (q->sent_waiting > 0 && q->waiting->len > 0 &&
	     q->waiting->len < 2 * q->sent_waiting &&
	     earliest >= q->sent_deadline && need->cls >= q->sent_cls))
		return;
	q->sent_waiting = q->waiting->len;
	q->sent_deadline = earliest;
	q->sent_cls = need->cls;
	if (need->waiting > 0)
		need->slack_ms =
			(u_int)MAX(earliest - s->now - s->d->service_p95_ms, 0);
	sim_count_bytes(s, &m, router, BROKER);
	sim_push_event(
		s, (struct ev){ .at = s->now + sim_net_delay_ms(router, BROKER),
				.type = EV_NEED,
				.router = router,
				.need = *need });
}

/* ---- Dispatch ---- */

static void request_grant(struct sim *s, uint32_t req, uint32_t ep)
{
	fg_msg m = { .body = { .type = FG_MSG_GRANT_REQ } };
	struct req *r = &s->reqs[req];
	uint32_t router = s->t->arrivals[req].router;

	r->state = REQ_GRANT_REQUESTED;
	r->ep = ep;
	r->attempt++;
	fg_dir_add_own_grants(s->routers[router].dir, sim_ep_id(ep), 1);
	sim_count_bytes(s, &m, router, sim_ep_owner(ep));
	sim_push_event(s, (struct ev){ .at = s->now +
					     sim_net_delay_ms(router,
							      sim_ep_owner(ep)),
				       .type = EV_GRANT_REQ,
				       .ep = ep,
				       .router = router,
				       .req = req,
				       .attempt = r->attempt });
}

static struct fg_pick pick_endpoint(struct sim *s, uint32_t req, uint64_t avoid)
{
	const struct arrival *a = &s->t->arrivals[req];

	return fg_dir_pick_endpoint(s->routers[a->router].dir, s->now, "model",
				    a->av, "region", false, &avoid, 1, 0);
}

static void dispatch_request(struct sim *s, uint32_t req, uint64_t avoid)
{
	struct fg_pick p = pick_endpoint(s, req, avoid);
	struct req *r = &s->reqs[req];
	struct queue *q;

	if (p.resident) {
		request_grant(s, req, (uint32_t)p.ep - 1);
		return;
	}
	q = get_queue(s, req);
	r->state = REQ_WAITING;
	r->wait_start = s->now;
	g_array_append_val(q->waiting, req);
	send_need(s, s->t->arrivals[req].router, q);
}

void router_on_arrival(struct sim *s, uint32_t req)
{
	const struct arrival *a = &s->t->arrivals[req];
	struct router *r = &s->routers[a->router];
	uint64_t key = fg_av_key(a->av);
	uint64_t *count = g_hash_table_lookup(r->arrivals, &key);

	if (count == NULL) {
		count = g_new0(uint64_t, 2);
		count[0] = key;
		g_hash_table_insert(r->arrivals, count, count);
	}
	count[1]++;
	s->reqs[req].tokens_left = a->tokens;
	sim_push_event(s, (struct ev){ .at = req_deadline(s, req),
				       .type = EV_DEADLINE,
				       .req = req });
	dispatch_request(s, req, 0);
}

/* ---- Replies and notifications ---- */

void router_on_grant_rep(struct sim *s, const struct ev *ev)
{
	struct req *r = &s->reqs[ev->req];
	struct router *router = &s->routers[ev->router];

	if (ev->status != FG_GRANT_OK) {
		fg_dir_add_own_grants(router->dir, sim_ep_id(ev->ep), -1);
		if (r->state != REQ_GRANT_REQUESTED ||
		    r->attempt != ev->attempt)
			return;
		if (ev->status == FG_GRANT_NO_TIME)
			end_request(s, ev->req, false);
		else
			dispatch_request(s, ev->req, sim_ep_id(ev->ep));
		return;
	}
	r->grant = ev->id;
	r->cancelled = r->state != REQ_GRANT_REQUESTED;
	if (r->state == REQ_GRANT_REQUESTED)
		r->state = REQ_RUNNING;
	sim_push_event(s, (struct ev){ .at = s->now + NET_MS,
				       .type = EV_RUN,
				       .ep = ev->ep,
				       .req = ev->req });
}

void router_on_run_end(struct sim *s, const struct ev *ev)
{
	struct req *r = &s->reqs[ev->req];
	uint32_t router = s->t->arrivals[ev->req].router;
	fg_msg m = { .body = { .type = FG_MSG_RELEASE } };

	fg_dir_add_own_grants(s->routers[router].dir, sim_ep_id(r->ep), -1);
	sim_count_bytes(s, &m, router, sim_ep_owner(r->ep));
	sim_push_event(s,
		       (struct ev){ .at = s->now +
					  sim_net_delay_ms(router,
							   sim_ep_owner(r->ep)),
				    .type = EV_RELEASE,
				    .ep = r->ep,
				    .id = r->grant });
	if (r->state == REQ_ENDED)
		return;
	if (ev->status) {
		end_request(s, ev->req, true);
		return;
	}
	r->tokens_left = s->t->arrivals[ev->req].tokens;
	dispatch_request(s, ev->req, sim_ep_id(r->ep));
}

static void dispatch_waiting(struct sim *s, uint32_t router, struct queue *q)
{
	GArray *waiting = q->waiting;

	q->waiting = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	for (guint i = 0; i < waiting->len; i++) {
		uint32_t req = g_array_index(waiting, uint32_t, i);

		end_wait(s, req);
		dispatch_request(s, req, 0);
	}
	g_array_free(waiting, TRUE);
	send_need(s, router, q);
}

void router_on_resident(struct sim *s, const struct ev *ev)
{
	struct router *r = &s->routers[ev->router];

	if (ev->router == BROKER)
		fg_dir_on_resident(s->broker_dir, s->now, ev->resident);
	if (!fg_dir_on_resident(r->dir, s->now, ev->resident))
		return;
	for (u_int i = 0; i < ev->resident->av.av_len; i++) {
		uint64_t key = fg_av_key(ev->resident->av.av_val[i]);
		struct queue *q = g_hash_table_lookup(r->queues, &key);

		if (q != NULL && q->waiting->len > 0)
			dispatch_waiting(s, ev->router, q);
	}
}

/* Refuses the requests whose deadline is at most that of the last NEED, and
 * sends a new NEED for the others. */
void router_on_refusal(struct sim *s, const struct ev *ev)
{
	struct router *r = &s->routers[ev->router];
	uint64_t key = fg_av_key(ev->place.av);
	struct queue *q = g_hash_table_lookup(r->queues, &key);
	guint kept = 0;

	if (q == NULL)
		return;
	for (guint i = 0; i < q->waiting->len; i++) {
		uint32_t req = g_array_index(q->waiting, uint32_t, i);

		if (req_deadline(s, req) > q->sent_deadline) {
			g_array_index(q->waiting, uint32_t, kept++) = req;
			continue;
		}
		end_wait(s, req);
		end_request(s, req, false);
	}
	g_array_set_size(q->waiting, kept);
	q->sent_waiting = 0;
	send_need(s, ev->router, q);
}

void router_on_deadline(struct sim *s, uint32_t req)
{
	struct req *r = &s->reqs[req];
	struct queue *q;

	if (r->state == REQ_ENDED)
		return;
	r->cancelled = true;
	if (r->state == REQ_WAITING) {
		q = get_queue(s, req);
		end_wait(s, req);
		remove_req(q->waiting, req);
		send_need(s, s->t->arrivals[req].router, q);
	}
	end_request(s, req, false);
}

void router_send_popularity(struct sim *s, uint32_t router)
{
	struct router *r = &s->routers[router];
	fg_msg m = { .body = { .type = FG_MSG_POPULARITY } };
	fg_popularity *popularity = &m.body.fg_body_u.popularity;
	fg_popularity_item items[FG_LIST_MAX];
	GHashTableIter it;
	gpointer value;

	popularity->items.items_val = items;
	g_hash_table_iter_init(&it, r->arrivals);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const uint64_t *count = value;
		fg_popularity_item *item =
			&items[popularity->items.items_len++];

		item->av = (fg_av){ (u_int)(count[0] >> 32), (u_int)count[0] };
		item->count = (u_int)count[1];
		g_hash_table_iter_remove(&it);
		if (popularity->items.items_len == FG_LIST_MAX)
			break;
	}
	if (popularity->items.items_len == 0)
		return;
	sim_count_bytes(s, &m, router, BROKER);
	fg_broker_on_popularity(s->broker, s->now, popularity);
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
	g_hash_table_destroy(r->arrivals);
	fg_dir_free(r->dir);
}
