/* Which requests give way when a service has too little room: joins
 * lib/overload to what this instance knows of its endpoints. */
#include "gateway/fg_gateway_internal.h"

#include <string.h>

/* A load that was reported as pending less than this ago counts as begun. */
#define PENDING_FRESH_MS 1500
/* A less urgent request leaves out this many of its repeats, so that its load
 * request does not expire at the owner (1,500 ms). */
#define YIELD_REPEATS 6

void fg_gw_overload_init(struct fg_gateway *gw)
{
	if (gw->conf->overload)
		gw->overload = fg_overload_new();
}

void fg_gw_overload_free(struct fg_gateway *gw)
{
	fg_overload_free(gw->overload);
}

/* ---- Description of a request ---- */

static uint32_t work_of(const struct fg_gwreq *r)
{
	if (!r->service->engine)
		return 1;
	return fg_gw_pack_tokens(MAX(
		(uint64_t)r->call.prompt_tokens + r->call.output_tokens, 1));
}

/* Slots of the service, and requests that run or wait there. Of plain endpoints
 * this instance knows only its own requests: since callers choose an instance
 * at random, the others are taken to have as many each. */
static void describe_service(const struct fg_gwreq *r, fg_ms now,
			     struct fg_overload_ask *ask)
{
	const struct fg_gateway *gw = r->gw;
	const GPtrArray *all = fg_fleet_all(gw->fleet);
	uint32_t instances = fg_peers_count_alive(gw->peers, now) + 1;
	double per_s = 0;

	for (guint i = 0; i < all->len; i++) {
		const struct fg_fleet_ep *ep = all->pdata[i];
		uint32_t slots = r->service->engine ? r->service->slots
						    : ep->facts.slots;
		uint32_t running = ep->running + ep->peers_running;

		if (strcmp(ep->facts.service, r->service->name) != 0 ||
		    !fg_ep_accepts(ep, now))
			continue;
		if (!r->service->engine) {
			ask->own_running += ep->running;
			running = ep->running * instances;
		}
		ask->slots += slots;
		ask->slots_taken += MIN(running, slots);
		ask->waiting += running - MIN(running, slots) + ep->queue;
		per_s += r->service->engine
				 ? gw->balance.prefill_tokens_per_ms *
					   FG_MS_PER_S
				 : (double)slots * FG_MS_PER_S /
					   gw->balance.plain_request_ms;
	}
	ask->instances = r->service->engine ? 0 : instances;
	ask->share_per_s = per_s / instances;
	ask->loads_per_s = gw->loadgate.window * FG_MS_PER_S /
			   MAX(gw->loadgate.mean_ms, 1.0);
}

static bool needs_load(const struct fg_gwreq *r,
		       const struct fg_balance_pick *p, fg_ms now)
{
	const struct fg_ep_adapter *a;

	if (p->resident)
		return false;
	a = fg_ep_adapter_find(p->ep, r->adapter);
	return a == NULL || a->pending_at == 0 ||
	       now - a->pending_at >= PENDING_FRESH_MS;
}

static struct fg_overload_ask
describe(const struct fg_gwreq *r, const struct fg_balance_pick *p, fg_ms now)
{
	struct fg_overload_ask ask = {
		.service = fg_hash_str(r->service->name),
		.rank = fg_gwreq_urgency(r),
		.workspace = r->workspace == NULL ? 0 : r->workspace->hash,
		.fingerprint = r->fingerprint,
		.waited_ms = (uint32_t)(now - r->arrived_at),
		.left_ms = fg_gwreq_time_left_ms(r, now),
		.objective_ms = r->route->target_latency_ms,
		.work = work_of(r),
		.wait_ms = p->wait_ms,
		.load_ms = p->load_ms,
		.own_wait_ms = p->own_wait_ms,
		.own_load_ms = p->own_load_ms,
		.needs_load = needs_load(r, p, now),
		.again = r->admitted,
	};

	if (r->wait_since > 0 && !p->resident)
		ask.load_waited_ms = (uint32_t)(now - r->wait_since);
	describe_service(r, now, &ask);
	return ask;
}

/* ---- Refusals ---- */

static void count_refusal(const struct fg_gwreq *r)
{
	char labels[96];

	g_snprintf(labels, sizeof(labels),
		   "reason=\"%s\",rank=\"%u\",gave_way_to=\"%u\"",
		   fg_overload_reason(r->shed.why), fg_gwreq_urgency(r),
		   r->shed.gave_way_to);
	fg_gw_count_event(r->gw, "overload", labels);
}

static bool refuse_if(struct fg_gwreq *r,
		      const struct fg_overload_verdict *verdict)
{
	r->admitted = true;
	if (verdict->why == FG_OVERLOAD_SEND)
		return false;
	r->shed = *verdict;
	count_refusal(r);
	fg_gwreq_refuse(r, fg_overload_reason(verdict->why), verdict->retry_ms);
	return true;
}

/* Nothing else is to be done for a request that may have run but to go on. */
static bool may_decide(const struct fg_gwreq *r)
{
	return r->gw->overload != NULL && !r->may_have_run && !r->head_sent;
}

bool fg_gw_overload_refuse(struct fg_gwreq *r, const struct fg_balance_pick *p,
			   fg_ms now)
{
	struct fg_overload_ask ask;
	struct fg_overload_verdict verdict;

	r->pick = *p;
	if (!may_decide(r))
		return false;
	ask = describe(r, p, now);
	verdict = fg_overload_decide(r->gw->overload, now, &ask, &r->gw->rand);
	return refuse_if(r, &verdict);
}

/* ---- Waits for loads ---- */

void fg_gw_overload_begin_wait(struct fg_gwreq *r, fg_ms now)
{
	if (r->wait_since > 0)
		return;
	r->wait_since = now;
	r->load_expected_ms = r->pick.load_ms;
}

static void end_wait(struct fg_gwreq *r, fg_ms now, bool loaded)
{
	if (r->wait_since == 0)
		return;
	fg_overload_note_load(
		r->gw->overload, now, fg_hash_str(r->service->name),
		r->load_expected_ms, (uint32_t)(now - r->wait_since), loaded);
	r->wait_since = 0;
}

bool fg_gw_overload_refuse_waiting(struct fg_gwreq *r, fg_ms now)
{
	struct fg_overload_ask ask;
	struct fg_overload_verdict verdict;

	if (!may_decide(r))
		return false;
	ask = describe(r, &r->pick, now);
	verdict = fg_overload_decide(r->gw->overload, now, &ask, &r->gw->rand);
	if (verdict.why != FG_OVERLOAD_SEND)
		end_wait(r, now, false);
	return refuse_if(r, &verdict);
}

bool fg_gw_overload_yields(struct fg_gwreq *r)
{
	uint32_t rank = fg_gwreq_urgency(r);

	if (r->gw->overload == NULL)
		return false;
	for (guint i = 0; i < r->gw->reqs->len; i++) {
		const struct fg_gwreq *other = r->gw->reqs->pdata[i];

		if (other->state != FG_GWREQ_WAIT_LOAD || other->ep != r->ep ||
		    other->adapter == r->adapter ||
		    fg_gwreq_urgency(other) >= rank)
			continue;
		if (r->load_skips++ < YIELD_REPEATS)
			return true;
		break;
	}
	r->load_skips = 0;
	return false;
}

/* ---- Measured ---- */

void fg_gw_overload_note_send(struct fg_gwreq *r, fg_ms now)
{
	if (r->gw->overload != NULL)
		end_wait(r, now, true);
}

void fg_gw_overload_note_answer(struct fg_gwreq *r, fg_ms now)
{
	struct fg_overload_answer answer;

	if (r->gw->overload == NULL || r->ep == NULL || r->first_at != now)
		return;
	answer = (struct fg_overload_answer){
		.service = fg_hash_str(r->service->name),
		.rank = fg_gwreq_urgency(r),
		.work = work_of(r),
		.expected_ms =
			r->pick.wait_ms - MIN(r->pick.load_ms, r->pick.wait_ms),
		.took_ms = (uint32_t)(now - r->sent_at),
		.whole_ms = (uint32_t)(now - r->arrived_at),
		.objective_ms = r->route->target_latency_ms,
	};
	fg_overload_note_answer(r->gw->overload, now, &answer);
}

void fg_gw_overload_note_full(struct fg_gwreq *r, fg_ms now)
{
	if (r->gw->overload != NULL)
		fg_overload_note_full(r->gw->overload, now,
				      fg_hash_str(r->service->name),
				      fg_gwreq_urgency(r));
}

/* ---- For operators ---- */

static void append_service(GString *out, const char *name,
			   const struct fg_overload_view *v)
{
	g_string_append_printf(out,
			       "overload service=%s run_pressure=%.2f "
			       "load_pressure=%.2f run_part=%.2f "
			       "load_part=%.2f\n",
			       name, v->run_pressure, v->load_pressure,
			       v->run_part, v->load_part);
	for (uint32_t rank = 0; rank < FG_OVERLOAD_RANKS; rank++) {
		const struct fg_overload_counts *c = &v->ranks[rank];

		if (c->asked + c->refused + c->late == 0)
			continue;
		g_string_append_printf(out,
				       "overload_rank service=%s rank=%u "
				       "asked=%u sent=%u refused=%u late=%u\n",
				       name, rank, c->asked, c->sent,
				       c->refused, c->late);
	}
}

void fg_gw_overload_append_state(GString *out, const struct fg_gateway *gw,
				 fg_ms now)
{
	struct fg_overload_view view;

	if (gw->overload == NULL || gw->routes == NULL)
		return;
	for (guint i = 0; i < gw->routes->services->len; i++) {
		const struct fg_svc *s = gw->routes->services->pdata[i];

		if (fg_overload_view(gw->overload, now, fg_hash_str(s->name),
				     &view))
			append_service(out, s->name, &view);
	}
}
