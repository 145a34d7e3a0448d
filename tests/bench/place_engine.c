/* Simulates engines with continuous batching, and their owners. */
#include <stdio.h>
#include <stdlib.h>

#include "place_sim.h"

/* ---- The engine ---- */

static int32_t find_slot(const struct engine *e, fg_av av)
{
	for (int32_t i = 0; i < SLOTS; i++)
		if (fg_av_equal(e->resident[i], av))
			return i;
	return -1;
}

static void send_run_end(struct sim *s, uint32_t req, bool is_done)
{
	s->reqs[req].at_engine = false;
	sim_push_event(s, (struct ev){ .at = s->now + NET_MS,
				       .type = EV_RUN_END,
				       .req = req,
				       .attempt = s->reqs[req].attempt,
				       .status = is_done });
}

static void start_step(struct sim *s, uint32_t ep)
{
	struct engine *e = &s->engines[ep];
	uint32_t n = e->running->len;

	e->active = n > 0;
	e->step_len = n;
	if (n == 0)
		return;
	s->steps++;
	s->step_requests += n;
	sim_push_event(s, (struct ev){ .at = s->now + STEP_MS +
					     STEP_FILL_MS * n / BATCH,
				       .type = EV_STEP,
				       .ep = ep,
				       .id = e->epoch });
}

void engine_on_run(struct sim *s, const struct ev *ev)
{
	struct engine *e = &s->engines[ev->ep];
	struct req *r = &s->reqs[ev->req];

	if (r->cancelled || find_slot(e, s->t->arrivals[ev->req].av) < 0) {
		send_run_end(s, ev->req, false);
		return;
	}
	g_assert_cmpuint(e->running->len, <, BATCH);
	r->at_engine = true;
	g_array_append_val(e->running, ev->req);
	if (!e->active)
		start_step(s, ev->ep);
}

void engine_finish_step(struct sim *s, uint32_t ep)
{
	struct engine *e = &s->engines[ep];
	uint32_t kept = 0;

	for (uint32_t i = 0; i < e->running->len; i++) {
		uint32_t req = g_array_index(e->running, uint32_t, i);
		struct req *r = &s->reqs[req];

		if (i < e->step_len)
			r->tokens_left--;
		if (r->cancelled || r->tokens_left == 0)
			send_run_end(s, req, r->tokens_left == 0);
		else
			g_array_index(e->running, uint32_t, kept++) = req;
	}
	g_array_set_size(e->running, kept);
	start_step(s, ep);
}

void engine_restart(struct sim *s, uint32_t ep)
{
	struct engine *e = &s->engines[ep];

	e->epoch++;
	e->active = false;
	for (uint32_t i = 0; i < SLOTS; i++)
		e->resident[i] = (fg_av){ 0, 0 };
	for (uint32_t i = 0; i < e->running->len; i++)
		send_run_end(s, g_array_index(e->running, uint32_t, i), false);
	g_array_set_size(e->running, 0);
}

/* Takes a token of the weight store's rate limit. Returns the time until the
 * store delivers the weights. */
static fg_ms take_store_token(struct sim *s)
{
	double rate = s->d->loads_per_s;

	s->store_tokens +=
		(double)(s->now - s->store_refilled_at) * rate / FG_MS_PER_S;
	s->store_tokens = MIN(s->store_tokens, rate);
	s->store_refilled_at = s->now;
	s->store_tokens -= 1;
	if (s->store_tokens >= 0)
		return 0;
	return (fg_ms)(-s->store_tokens * FG_MS_PER_S / rate);
}

static bool is_store_down(const struct sim *s)
{
	return s->now >= OUTAGE_AT_MS && s->now < OUTAGE_AT_MS + OUTAGE_MS;
}

/* Starts a load. The slot's former adapter is evicted at once. */
static void engine_start_load(struct sim *s, uint32_t ep, uint32_t slot,
			      const fg_place *place)
{
	struct engine *e = &s->engines[ep];
	struct ev ev = { .type = EV_LOADED,
			 .ep = ep,
			 .slot = slot,
			 .id = e->epoch,
			 .place = *place };
	fg_ms load_ms = LOAD_MS;

	for (uint32_t i = 0; i < e->running->len; i++) {
		uint32_t req = g_array_index(e->running, uint32_t, i);

		/* Grants must pin the slots of running requests. */
		g_assert_false(
			fg_av_equal(s->t->arrivals[req].av, e->resident[slot]));
	}
	e->resident[slot] = (fg_av){ 0, 0 };
	if (is_store_down(s)) {
		ev.at = s->now + NET_MS * 2;
		ev.status = FG_ORDER_FAILED;
		sim_push_event(s, ev);
		return;
	}
	s->loads++;
	s->loads_in_flight++;
	if (s->loads_in_flight > LOADS_IN_FLIGHT_MAX)
		load_ms = load_ms * s->loads_in_flight / LOADS_IN_FLIGHT_MAX;
	ev.at = s->now + take_store_token(s) + load_ms;
	ev.status = FG_ORDER_DONE;
	sim_push_event(s, ev);
}

/* ---- The owner ---- */

static void send_grant_rep(struct sim *s, uint32_t ep, uint32_t router,
			   uint32_t req, uint32_t attempt,
			   fg_grant_status status, uint64_t grant)
{
	fg_msg m = { .body = { .type = FG_MSG_GRANT_REP } };

	sim_count_bytes(s, &m, sim_ep_owner(ep), router);
	sim_push_event(s, (struct ev){ .at = s->now +
					     sim_net_delay_ms(sim_ep_owner(ep),
							      router),
				       .type = EV_GRANT_REP,
				       .ep = ep,
				       .router = router,
				       .req = req,
				       .attempt = attempt,
				       .status = status,
				       .id = grant });
}

struct serve_arg {
	struct sim *s;
	uint32_t ep;
};

static void on_held_reply(void *arg, const struct fg_grant_request *request,
			  fg_grant_status status, uint64_t grant)
{
	struct serve_arg *p = arg;

	send_grant_rep(p->s, p->ep, (uint32_t)request->holder - 1,
		       (uint32_t)(request->req_id >> 8),
		       (uint32_t)(request->req_id & 0xff), status, grant);
}

/* Sends RESIDENT to all instances if it has changed. */
static void broadcast_resident(struct sim *s, uint32_t ep)
{
	fg_msg m = { .body = { .type = FG_MSG_RESIDENT } };
	fg_resident *r;

	if (!fg_grants_take_changed(s->engines[ep].grants))
		return;
	r = g_new0(fg_resident, 1);
	fg_grants_fill_resident(s->engines[ep].grants, r);
	g_ptr_array_add(s->residents, r);
	m.body.fg_body_u.resident = *r;
	for (uint32_t to = 0; to < ROUTERS; to++) {
		sim_count_bytes(s, &m, sim_ep_owner(ep), to);
		sim_push_event(
			s, (struct ev){
				   .at = s->now +
					 sim_net_delay_ms(sim_ep_owner(ep), to),
				   .type = EV_RESIDENT,
				   .router = to,
				   .resident = r });
	}
}

void owner_serve_held(struct sim *s, uint32_t ep)
{
	struct serve_arg arg = { s, ep };

	fg_grants_serve_held(s->engines[ep].grants, s->now, on_held_reply,
			     &arg);
	broadcast_resident(s, ep);
}

void owner_on_grant_req(struct sim *s, const struct ev *ev)
{
	const struct arrival *a = &s->t->arrivals[ev->req];
	struct engine *e = &s->engines[ev->ep];
	struct fg_grant_request request = {
		.holder = ev->router + 1,
		.req_id = ((uint64_t)ev->req << 8) | ev->attempt,
		.av = a->av,
		.cls = a->cls,
		.budget_ms = (uint32_t)MAX(a->at + a->deadline_ms - s->now, 0),
	};
	uint64_t grant;
	fg_grant_status status;

	if (s->is_gauge && a->cls == FG_CLASS_DRAFT)
		request.hold_ms =
			fg_hold_ms(&s->d->preset, request.budget_ms,
				   s->d->service_p95_ms, 0, 1, BATCH, false);
	status = fg_grants_request(e->grants, s->now, &request, &grant);
	if (status != FG_GRANT_HELD)
		send_grant_rep(s, ev->ep, ev->router, ev->req, ev->attempt,
			       status, grant);
	/* Held drafts may now join the batch. Once the batch is nearly full,
	 * RESIDENT changes. */
	if (status == FG_GRANT_OK)
		owner_serve_held(s, ev->ep);
}

void owner_on_release(struct sim *s, const struct ev *ev)
{
	fg_grants_release(s->engines[ev->ep].grants, s->now, ev->id);
	owner_serve_held(s, ev->ep);
}

static void send_place_rep(struct sim *s, const fg_place *place, uint32_t ep,
			   fg_place_status status)
{
	fg_msg m = { .body = { .type = FG_MSG_PLACE_REP } };

	sim_count_bytes(s, &m, sim_ep_owner(ep), 0);
	sim_push_event(s,
		       (struct ev){ .at = s->now +
					  sim_net_delay_ms(sim_ep_owner(ep), 0),
				    .type = EV_PLACE_REP,
				    .ep = ep,
				    .status = status,
				    .place = *place });
}

void owner_on_place(struct sim *s, const struct ev *ev)
{
	struct engine *e = &s->engines[ev->ep];
	enum fg_load_start_result result;
	uint32_t slot;
	fg_av victim;

	result = fg_grants_start_load(e->grants, s->now, ev->place.av,
				      ev->place.victim,
				      s->is_gauge ? fg_grants_score_keep : NULL,
				      NULL, &slot, &victim);
	if (result != FG_LOAD_START_OK) {
		s->in_use_refusals += result == FG_LOAD_START_PINNED;
		send_place_rep(s, &ev->place, ev->ep,
			       result == FG_LOAD_START_PRESENT
				       ? FG_PLACE_DONE
				       : FG_PLACE_REFUSED);
		return;
	}
	broadcast_resident(s, ev->ep);
	engine_start_load(s, ev->ep, slot, &ev->place);
}

void engine_finish_load(struct sim *s, const struct ev *ev)
{
	struct engine *e = &s->engines[ev->ep];
	enum fg_order_status status = ev->status;

	if (status == FG_ORDER_DONE)
		s->loads_in_flight--;
	if (ev->id != e->epoch)
		status = FG_ORDER_LOST;
	if (status == FG_ORDER_DONE)
		e->resident[ev->slot] = ev->place.av;
	fg_grants_finish_load(e->grants, s->now, ev->slot, status, LOAD_MS * 4);
	owner_serve_held(s, ev->ep);
	send_place_rep(s, &ev->place, ev->ep,
		       status == FG_ORDER_DONE ? FG_PLACE_DONE
					       : FG_PLACE_FAILED);
}

static fg_av find_adapter(void *arg, const char *adapter, const char *version)
{
	(void)arg;
	(void)version;
	return (fg_av){ (u_int)strtoul(adapter, NULL, 10), 1 };
}

void owner_poll_engine(struct sim *s, uint32_t ep)
{
	struct fg_engine_state st = { 0 };
	struct engine *e = &s->engines[ep];

	st.epoch = e->epoch;
	st.slots = SLOTS;
	st.batch = BATCH;
	for (uint32_t i = 0; i < SLOTS; i++) {
		st.slot[i].adapter[0] = '\0';
		st.slot[i].running = 0;
		if (fg_av_is_none(e->resident[i]))
			continue;
		snprintf(st.slot[i].adapter, FG_NAME_BYTES, "%u",
			 e->resident[i].adapter);
		for (uint32_t k = 0; k < e->running->len; k++) {
			uint32_t req = g_array_index(e->running, uint32_t, k);

			if (fg_av_equal(s->t->arrivals[req].av, e->resident[i]))
				st.slot[i].running++;
		}
	}
	fg_grants_on_engine_state(e->grants, s->now, s->now, &st, find_adapter,
				  NULL);
	owner_serve_held(s, ep);
}
