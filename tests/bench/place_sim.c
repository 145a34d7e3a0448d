/* Event loop in virtual time, the broker, and the result. */
#include "place_sim.h"

#include <stdlib.h>
#include <string.h>

#include "peer/fg_msg.h"
#include "place/fg_place_priv.h"

#define TICK_MS 50
#define POLL_MS 1000 /* interval at which owners read their engine's state */
#define POPULARITY_MS 2000 /* interval of POPULARITY messages */
#define GRANT_MAX_MS 60000
#define ORDER_TIMEOUT_MS 5000
#define DRAIN_MS 300000 /* time after the last arrival for requests to end */

/* ---- Events ---- */

static bool is_earlier(const struct ev *a, const struct ev *b)
{
	return a->at != b->at ? a->at < b->at : a->seq < b->seq;
}

#define HEAP_EV(s, i) (&g_array_index((s)->heap, struct ev, i))

static void swap_events(struct sim *s, guint i, guint j)
{
	struct ev tmp = *HEAP_EV(s, i);

	*HEAP_EV(s, i) = *HEAP_EV(s, j);
	*HEAP_EV(s, j) = tmp;
}

void sim_push_event(struct sim *s, struct ev ev)
{
	guint i = s->heap->len;

	ev.seq = s->seq++;
	g_array_append_val(s->heap, ev);
	while (i > 0 && is_earlier(HEAP_EV(s, i), HEAP_EV(s, (i - 1) / 2))) {
		swap_events(s, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

static struct ev pop_event(struct sim *s)
{
	struct ev first = *HEAP_EV(s, 0);
	guint i = 0;

	swap_events(s, 0, s->heap->len - 1);
	g_array_set_size(s->heap, s->heap->len - 1);
	for (;;) {
		guint least = i;

		for (guint c = 2 * i + 1; c <= 2 * i + 2; c++)
			if (c < s->heap->len &&
			    is_earlier(HEAP_EV(s, c), HEAP_EV(s, least)))
				least = c;
		if (least == i)
			return first;
		swap_events(s, i, least);
		i = least;
	}
}

fg_ms sim_net_delay_ms(uint32_t from, uint32_t to)
{
	return from == to ? 0 : NET_MS;
}

void sim_count_bytes(struct sim *s, const fg_msg *m, uint32_t from, uint32_t to)
{
	if (from != to)
		s->msg_bytes += fg_msg_wire_bytes(m);
}

/* ---- The broker ---- */

static void send_place(void *arg, const fg_place *place)
{
	struct sim *s = arg;
	uint32_t ep = (uint32_t)place->ep - 1;
	fg_msg m = { .body = { .type = FG_MSG_PLACE } };

	sim_count_bytes(s, &m, 0, sim_ep_owner(ep));
	sim_push_event(s,
		       (struct ev){ .at = s->now +
					  sim_net_delay_ms(0, sim_ep_owner(ep)),
				    .type = EV_PLACE,
				    .ep = ep,
				    .place = *place });
}

static void send_refusal(void *arg, uint64_t to, const fg_place_rep *rep)
{
	struct sim *s = arg;
	fg_msg m = { .body = { .type = FG_MSG_PLACE_REP } };

	sim_count_bytes(s, &m, 0, (uint32_t)to);
	sim_push_event(s, (struct ev){ .at = s->now +
					     sim_net_delay_ms(0, (uint32_t)to),
				       .type = EV_REFUSAL,
				       .router = (uint32_t)to,
				       .place = { .av = rep->av } });
}

static void run_broker(struct sim *s)
{
	fg_broker_refuse_needs(s->broker, s->now, send_refusal, s);
	fg_broker_tick(s->broker, s->now, send_place, s);
}

static void on_place_rep(struct sim *s, const struct ev *ev)
{
	fg_place_rep rep = { ev->place.order, ev->place.ep, ev->place.av,
			     ev->status };

	fg_broker_on_reply(s->broker, s->now, &rep);
	run_broker(s);
}

static void run_tick(struct sim *s)
{
	uint32_t n = (uint32_t)(s->now / TICK_MS);

	for (uint32_t ep = 0; ep < s->d->eps; ep++) {
		/* Spreads the polls over the interval. */
		if ((n + ep) % (POLL_MS / TICK_MS) == 0)
			owner_poll_engine(s, ep);
		else if (fg_grants_held(s->engines[ep].grants) > 0)
			owner_serve_held(s, ep);
	}
	for (uint32_t r = 0; r < ROUTERS; r++)
		if ((n + r * 5) % (POPULARITY_MS / TICK_MS) == 0)
			router_send_popularity(s, r);
	run_broker(s);
	if (s->now < s->t->end + DRAIN_MS)
		sim_push_event(s, (struct ev){ .at = s->now + TICK_MS,
					       .type = EV_TICK });
}

/* ---- Start and end ---- */

static void add_endpoints(struct sim *s, struct fg_dir *dir)
{
	for (uint32_t ep = 0; ep < s->d->eps; ep++) {
		fg_resident r;

		fg_dir_set_endpoint(dir, sim_ep_id(ep), "model", "region", "dc",
				    false);
		fg_grants_fill_resident(s->engines[ep].grants, &r);
		fg_dir_on_resident(dir, 0, &r);
		free(r.av.av_val);
	}
}

static void setup_broker(struct sim *s, const char *policy)
{
	struct fg_broker_conf conf = {
		.fence = 1,
		.service = "model",
		.region = "region",
		.loads_per_s = s->d->loads_per_s,
		.in_flight_max = LOADS_IN_FLIGHT_MAX,
		.load_ms = LOAD_MS,
		.order_timeout_ms = ORDER_TIMEOUT_MS,
		.stall_weight = s->d->preset.stall_weight,
	};

	s->broker_dir = fg_dir_new(1);
	add_endpoints(s, s->broker_dir);
	s->broker = fg_broker_new(&conf, s->broker_dir, policy, 1);
	fg_broker_set_hold_max(s->broker, s->d->preset.hold_max_ms);
}

static void setup(struct sim *s, const char *policy)
{
	s->is_gauge = strcmp(policy, "gauge") == 0;
	s->heap = g_array_new(FALSE, FALSE, sizeof(struct ev));
	s->reqs = g_new0(struct req, s->t->n);
	s->engines = g_new0(struct engine, s->d->eps);
	s->residents = g_ptr_array_new();
	s->store_tokens = s->d->loads_per_s;
	for (uint32_t ep = 0; ep < s->d->eps; ep++) {
		struct fg_grants_conf conf = {
			.ep = sim_ep_id(ep),
			.fence = 1,
			.slots = SLOTS,
			.batch = BATCH,
			.grant_max_ms = GRANT_MAX_MS,
			.queue_max = 256,
		};

		s->engines[ep].running =
			g_array_new(FALSE, FALSE, sizeof(uint32_t));
		s->engines[ep].epoch = 1;
		s->engines[ep].grants = fg_grants_new(&conf, 0, false);
	}
	for (uint32_t r = 0; r < ROUTERS; r++) {
		s->routers[r].dir = fg_dir_new(r + 2);
		if (s->is_gauge)
			fg_dir_set_stall_weight(s->routers[r].dir,
						s->d->preset.stall_weight);
		add_endpoints(s, s->routers[r].dir);
		s->routers[r].queues =
			g_hash_table_new(fg_key_hash, g_int64_equal);
		s->routers[r].arrivals = g_hash_table_new_full(
			fg_key_hash, g_int64_equal, NULL, g_free);
	}
	setup_broker(s, policy);
}

static void teardown(struct sim *s)
{
	for (uint32_t ep = 0; ep < s->d->eps; ep++) {
		g_array_free(s->engines[ep].running, TRUE);
		fg_grants_free(s->engines[ep].grants);
	}
	for (uint32_t r = 0; r < ROUTERS; r++)
		router_free(&s->routers[r]);
	fg_broker_free(s->broker);
	fg_dir_free(s->broker_dir);
	for (guint i = 0; i < s->residents->len; i++) {
		fg_resident *r = s->residents->pdata[i];

		free(r->av.av_val);
		g_free(r);
	}
	g_ptr_array_free(s->residents, TRUE);
	g_array_free(s->heap, TRUE);
	g_free(s->engines);
	g_free(s->reqs);
}

static void handle_event(struct sim *s, const struct ev *ev)
{
	switch (ev->type) {
	case EV_ARRIVE:
		if (ev->req + 1 < s->t->n)
			sim_push_event(
				s, (struct ev){
					   .at = s->t->arrivals[ev->req + 1].at,
					   .type = EV_ARRIVE,
					   .req = ev->req + 1 });
		router_on_arrival(s, ev->req);
		break;
	case EV_GRANT_REQ:
		owner_on_grant_req(s, ev);
		break;
	case EV_GRANT_REP:
		router_on_grant_rep(s, ev);
		break;
	case EV_RUN:
		engine_on_run(s, ev);
		break;
	case EV_RUN_END:
		router_on_run_end(s, ev);
		break;
	case EV_RELEASE:
		owner_on_release(s, ev);
		break;
	case EV_NEED:
		fg_broker_on_need(s->broker, s->now, ev->router, &ev->need);
		run_broker(s);
		break;
	case EV_REFUSAL:
		router_on_refusal(s, ev);
		break;
	case EV_PLACE:
		owner_on_place(s, ev);
		break;
	case EV_PLACE_REP:
		on_place_rep(s, ev);
		break;
	case EV_RESIDENT:
		router_on_resident(s, ev);
		break;
	case EV_LOADED:
		engine_finish_load(s, ev);
		break;
	case EV_STEP:
		if (ev->id == s->engines[ev->ep].epoch)
			engine_finish_step(s, ev->ep);
		break;
	case EV_DEADLINE:
		router_on_deadline(s, ev->req);
		break;
	case EV_TICK:
		run_tick(s);
		break;
	case EV_RESTART:
		engine_restart(s, ev->ep);
		break;
	}
}

/* ---- Result ---- */

static int compare_ms(const void *a, const void *b)
{
	fg_ms x = *(const fg_ms *)a;
	fg_ms y = *(const fg_ms *)b;

	return x < y ? -1 : x > y;
}

static double percentile(fg_ms *values, size_t n, size_t percent)
{
	qsort(values, n, sizeof(*values), compare_ms);
	return n > 0 ? (double)values[n * percent / 100] : 0;
}

static void summarize(struct sim *s)
{
	struct result *res = s->result;
	fg_ms *stalls = g_new(fg_ms, s->t->n);
	fg_ms *interactive_stalls = g_new(fg_ms, s->t->n);
	uint64_t n_drafts = 0;
	double hold_sum_ms = 0;
	size_t n = 0;
	size_t n_interactive = 0;

	for (size_t i = 0; i < s->t->n; i++) {
		const struct req *r = &s->reqs[i];

		g_assert_cmpint(r->state, ==, REQ_ENDED);
		if (s->t->arrivals[i].cls == FG_CLASS_DRAFT) {
			n_drafts++;
			hold_sum_ms += (double)r->hold_ms;
		}
		if (s->t->arrivals[i].cls != FG_CLASS_DRAFT) {
			res->interactive++;
			res->interactive_answered += res->in_time[i];
		}
		if (r->stall_ms < 0)
			continue;
		stalls[n++] = r->stall_ms;
		if (s->t->arrivals[i].cls != FG_CLASS_DRAFT)
			interactive_stalls[n_interactive++] = r->stall_ms;
		res->waited += r->stall_ms > 0;
	}
	res->n_requests = s->t->n;
	res->stall_p50_ms = percentile(stalls, n, 50);
	res->stall_p95_ms = percentile(stalls, n, 95);
	res->stall_p99_ms = percentile(stalls, n, 99);
	res->interactive_stall_p95_ms =
		percentile(interactive_stalls, n_interactive, 95);
	res->draft_hold_mean_ms =
		n_drafts > 0 ? hold_sum_ms / (double)n_drafts : 0;
	res->loads = s->loads;
	res->batch_fill = (double)s->step_requests / (double)s->steps;
	res->msg_bytes_per_request = (double)s->msg_bytes / (double)s->t->n;
	res->in_use_refusals = s->in_use_refusals;
	g_free(stalls);
	g_free(interactive_stalls);
}

void sim_run(const struct deployment *d, const struct trace *t,
	     const char *policy, struct result *result)
{
	struct sim s = { .d = d, .t = t, .result = result };

	memset(result, 0, sizeof(*result));
	result->in_time = g_new0(bool, t->n);
	setup(&s, policy);
	sim_push_event(
		&s, (struct ev){ .at = t->arrivals[0].at, .type = EV_ARRIVE });
	sim_push_event(&s, (struct ev){ .type = EV_TICK });
	sim_push_event(&s,
		       (struct ev){ .at = RESTART_AT_MS, .type = EV_RESTART });
	while (s.heap->len > 0) {
		struct ev ev = pop_event(&s);

		s.now = ev.at;
		handle_event(&s, &ev);
	}
	summarize(&s);
	teardown(&s);
}
