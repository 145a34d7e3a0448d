/* Where a request runs: choice of an endpoint, and the wait for a load. */
#include "gateway/fg_gateway_internal.h"

#include <string.h>

/* A request whose adapter has not come within this is refused; a caller with
 * four seconds still has time to come back once. */
#define LOAD_WAIT_MS 2200
/* ... after this, in which the load may end. */
#define RETRY_LOAD_MS 400
/* An ask for a load is repeated, since a datagram may be lost: several times
 * in the 250 ms that a load takes. */
#define ASK_AGAIN_MS 120
/* When no engine can load, slots free within some tens of ms. */
#define PLACE_AGAIN_MS 40
/* Engines whose totals are asked for before one is chosen, the cheapest ones by
 * what is known; those that cost this much more would not be chosen anyway. */
#define ASK_MAX 3
#define ASK_RANGE_MS 400
/* An answer takes a round trip: a few ms, or 24 ms to another region. */
#define ASK_NEAR_MS 8
#define ASK_FAR_MS 32
/* Endpoints looked at before waiting for one that can load. */
#define PLACE_TRIES 3
/* From this long after an announcement on, only the new version is used; the
 * rest of the time allowed covers what waits in an engine's queue. */
#define VERSION_MARGIN_MS 1500

uint64_t fg_gwreq_version(const struct fg_gwreq *r, fg_ms now)
{
	fg_ms age_ms = 0;
	uint64_t version;

	if (r->adapter == 0 || r->call.adapter == NULL)
		return 0;
	version = fg_gw_version(r->gw, r->adapter, now, &age_ms);
	if (age_ms + VERSION_MARGIN_MS < (fg_ms)r->gw->conf->version_ms)
		return 0;
	return version;
}

static void send_now(struct fg_gwreq *r)
{
	if (!fg_ep_is_usable(r->ep, fg_clock_now())) {
		fg_gwreq_note_tried(r);
		fg_gwreq_wait(r, FG_GWREQ_WAIT_RETRY, fg_clock_now());
		return;
	}
	r->step_at = FG_MS_NEVER;
	r->state = FG_GWREQ_SENT;
	fg_gwreq_arm(r);
	fg_send_start(r);
}

const char *fg_gwreq_adapter_name(const struct fg_gwreq *r)
{
	return r->call.adapter == NULL ? "" : r->call.adapter;
}

/* Asks for the load; true when it is resident already. */
static enum fg_slot_state ask_load(struct fg_gwreq *r, fg_ms now)
{
	fg_ms age_ms;
	uint64_t version = fg_gw_version(r->gw, r->adapter, now, &age_ms);

	return fg_orders_want(r->gw, r->ep, r->call.model,
			      fg_gwreq_adapter_name(r), version);
}

static struct fg_balance_query query(struct fg_gwreq *r, fg_ms now)
{
	struct fg_balance_query ask = {
		.service = r->service->name,
		.svc = r->service,
		.region = r->gw->conf->region,
		.adapter = r->adapter,
		.model =
			r->adapter == 0 ? 0 : fg_adapter_key(r->call.model, ""),
		.prompt_tokens = r->call.prompt_tokens,
		.tokens_per_s = r->adapter == 0
					? 0
					: fg_gw_heat(r->gw, now, r->adapter, 0),
		.n_avoid = r->n_tried,
	};

	memcpy(ask.avoid, r->tried, sizeof(ask.avoid));
	return ask;
}

static struct fg_balance_pick pick(struct fg_gwreq *r, fg_ms now)
{
	struct fg_balance_query ask = query(r, now);

	return fg_balance_pick(&r->gw->balance, r->gw->fleet, now, &ask,
			       &r->gw->rand);
}

/* Takes the cheapest endpoint: sends there, or waits for a load. */
static void choose(struct fg_gwreq *r)
{
	fg_ms now = fg_clock_now();
	uint32_t left_ms = fg_gwreq_left_ms(r, now);
	struct fg_balance_pick p;

	if (left_ms < FG_GWREQ_LEFT_MIN_MS) {
		fg_gwreq_time_out(r);
		return;
	}
	for (int i = 0; i < PLACE_TRIES; i++) {
		p = pick(r, now);
		if (p.ep == NULL) {
			fg_gwreq_refuse(r, "no_endpoint",
					FG_GWREQ_RETRY_MAX_MS / 2);
			return;
		}
		if (p.wait_ms >= left_ms && !r->head_sent) {
			fg_gwreq_refuse(r, "no_time", p.wait_ms - left_ms);
			return;
		}
		fg_gwreq_attach(r, p.ep);
		r->expected_ms = p.wait_ms;
		if (p.resident) {
			send_now(r);
			return;
		}
		switch (ask_load(r, now)) {
		case FG_SLOT_RESIDENT:
			send_now(r);
			return;
		case FG_SLOT_PENDING:
			r->load_since = now;
			fg_gwreq_wait(r, FG_GWREQ_WAIT_LOAD,
				      now + ASK_AGAIN_MS);
			return;
		default:
			fg_gwreq_note_tried(r);
		}
	}
	fg_gwreq_wait(r, FG_GWREQ_WAIT_RETRY, now + PLACE_AGAIN_MS);
}

/* Asks the owners of the engines that come into question what is in flight
 * there: heartbeats are older than most waits. False when there is nothing to
 * ask. */
static bool ask_totals(struct fg_gwreq *r, fg_ms now)
{
	struct fg_gateway *gw = r->gw;
	struct fg_balance_query ask = query(r, now);
	struct fg_balance_pick top[ASK_MAX];
	uint32_t n = fg_balance_rank(&gw->balance, gw->fleet, now, &ask,
				     &gw->rand, top, ASK_MAX);
	fg_ms wait_ms = ASK_NEAR_MS;

	r->asked = 0;
	if (n < 2 || top[1].cost_ms - top[0].cost_ms > ASK_RANGE_MS)
		return false;
	for (uint32_t i = 0; i < n; i++) {
		struct fg_fleet_ep *ep = top[i].ep;

		if (top[i].cost_ms - top[0].cost_ms > ASK_RANGE_MS ||
		    ep->owner == 0 || ep->owner == gw->incarnation)
			continue;
		fg_mesh_ask_totals(gw, ep, (uint32_t)r->number);
		fg_gw_count(gw, "totals_asked", NULL);
		r->asked++;
		if (strcmp(ep->region, gw->conf->region) != 0)
			wait_ms = ASK_FAR_MS;
	}
	if (r->asked == 0)
		return false;
	fg_gwreq_wait(r, FG_GWREQ_WAIT_TOTALS, now + wait_ms);
	return true;
}

void fg_gwreq_place(struct fg_gwreq *r)
{
	if (r->service->engine && r->adapter != 0 &&
	    ask_totals(r, fg_clock_now()))
		return;
	choose(r);
}

void fg_gwreq_totals(struct fg_gateway *gw, uint32_t number)
{
	for (guint i = 0; i < gw->reqs->len; i++) {
		struct fg_gwreq *r = gw->reqs->pdata[i];

		if ((uint32_t)r->number != number ||
		    r->state != FG_GWREQ_WAIT_TOTALS)
			continue;
		if (--r->asked == 0)
			choose(r);
		return;
	}
}

/* Waiting for a load: resident now, ask again, or give it up there. */
static void step_load(struct fg_gwreq *r)
{
	fg_ms now = fg_clock_now();
	const struct fg_ep_adapter *a = fg_ep_adapter_find(r->ep, r->adapter);

	if (now - r->load_since > LOAD_WAIT_MS) {
		fg_gwreq_refuse(r, "load_too_slow", RETRY_LOAD_MS);
		return;
	}
	if (!fg_ep_is_usable(r->ep, now)) {
		fg_gwreq_note_tried(r);
		fg_gwreq_place(r);
		return;
	}
	if (a != NULL && a->version != 0) {
		send_now(r);
		return;
	}
	switch (ask_load(r, now)) {
	case FG_SLOT_RESIDENT:
		send_now(r);
		break;
	case FG_SLOT_PENDING:
		fg_gwreq_wait(r, FG_GWREQ_WAIT_LOAD, now + ASK_AGAIN_MS);
		break;
	default:
		fg_gwreq_note_tried(r);
		fg_gwreq_place(r);
	}
}

void fg_gwreq_on_timer(uv_timer_t *timer)
{
	struct fg_gwreq *r = timer->data;
	fg_ms now = fg_clock_now();

	if (now >= r->end_at) {
		fg_gwreq_time_out(r);
	} else if (now < r->step_at) {
		fg_gwreq_arm(r);
	} else if (r->state == FG_GWREQ_WAIT_TOTALS) {
		fg_gw_count(r->gw, "totals_late", NULL);
		choose(r);
	} else if (r->state == FG_GWREQ_WAIT_LOAD) {
		step_load(r);
	} else if (r->state == FG_GWREQ_WAIT_RETRY) {
		r->n_tried = 0;
		choose(r);
	} else {
		fg_send_overdue(r, now);
	}
}

void fg_gwreq_resident(struct fg_gateway *gw, struct fg_fleet_ep *ep)
{
	for (guint i = gw->reqs->len; i > 0; i--) {
		struct fg_gwreq *r;
		const struct fg_ep_adapter *a;

		if (i > gw->reqs->len)
			continue;
		r = gw->reqs->pdata[i - 1];
		if (r->state != FG_GWREQ_WAIT_LOAD || r->ep != ep)
			continue;
		a = fg_ep_adapter_find(ep, r->adapter);
		if (a != NULL && a->version != 0)
			send_now(r);
	}
}

void fg_gwreq_no_load(struct fg_gateway *gw, struct fg_fleet_ep *ep,
		      uint64_t adapter)
{
	for (guint i = gw->reqs->len; i > 0; i--) {
		struct fg_gwreq *r;

		if (i > gw->reqs->len)
			continue;
		r = gw->reqs->pdata[i - 1];
		if (r->state != FG_GWREQ_WAIT_LOAD || r->ep != ep ||
		    r->adapter != adapter)
			continue;
		fg_gwreq_note_tried(r);
		fg_gwreq_place(r);
	}
}
