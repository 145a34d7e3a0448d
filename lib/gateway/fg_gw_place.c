/* Choice of an endpoint for a request, and the wait for an adapter load. */
#include "gateway/fg_gateway_internal.h"

#include <string.h>

/* A request whose adapter is not loaded within this time is refused. A caller
 * with a deadline of four seconds can then still retry once. */
#define LOAD_WAIT_MAX_MS 2200
/* Retry-After of such a refusal; the load may be complete by then. */
#define LOAD_RETRY_AFTER_MS 400
/* Interval at which a load is requested again, since a datagram may be lost:
 * two repeats within the 250 ms that a load takes. */
#define LOAD_REQUEST_REPEAT_MS 120
/* Wait before the next choice when no engine can load the adapter; slots become
 * free within some tens of ms. */
#define PLACE_RETRY_MS 40
/* Before a choice, owners are asked for the totals in flight at this many of
 * the engines that are cheapest by current knowledge. An engine that costs more
 * than the range above the cheapest would not be chosen anyway. */
#define TOTALS_ENGINES_MAX 3
#define TOTALS_COST_RANGE_MS 400
/* Time limits for the owners' answers. A round trip takes a few ms, or 24 ms to
 * another region. */
#define TOTALS_NEAR_TIMEOUT_MS 8
#define TOTALS_FAR_TIMEOUT_MS 32
/* Callers that were refused because of a pause come back within this time after
 * its end. */
#define PAUSE_SPREAD_MS 500
/* Shortest Retry-After while this instance's room at brittle endpoints is used:
 * running requests end soon. */
#define BRITTLE_RETRY_MS 100
/* Endpoints tried in one go before waiting PLACE_RETRY_MS. */
#define PLACE_TRIES 3
/* A new version is required this long before version_ms ends; the margin covers
 * requests that still wait in an engine's queue. */
#define VERSION_MARGIN_MS 1500

uint64_t fg_gwreq_required_version(const struct fg_gwreq *r, fg_ms now)
{
	fg_ms age_ms = 0;
	uint64_t version;

	if (r->adapter == 0 || r->call.adapter == NULL)
		return 0;
	version = fg_gw_announced_version(r->gw, r->adapter, now, &age_ms);
	if (age_ms + VERSION_MARGIN_MS < (fg_ms)r->gw->conf->version_ms)
		return 0;
	return version;
}

static void send_to_endpoint(struct fg_gwreq *r)
{
	if (fg_gw_blame_refuse_blocked(r) || !fg_gw_workspace_recheck(r) ||
	    fg_gw_stop_refuse_late(r))
		return;
	if (!fg_ep_accepts(r->ep, fg_clock_now()) ||
	    (r->software != 0 && r->software != r->ep->software)) {
		fg_gwreq_mark_tried(r);
		fg_gwreq_enter_state(r, FG_GWREQ_WAIT_RETRY, fg_clock_now());
		return;
	}
	fg_gw_overload_note_send(r, fg_clock_now());
	fg_gwreq_enter_state(r, FG_GWREQ_SENT, FG_MS_NEVER);
	if (r->state == FG_GWREQ_SENT && r->conn == NULL)
		fg_send_start(r);
}

const char *fg_gwreq_adapter_name(const struct fg_gwreq *r)
{
	return r->call.adapter == NULL ? "" : r->call.adapter;
}

/* Requests the load of the adapter at `ep`; returns its state there. */
static enum fg_slot_state request_load(struct fg_gwreq *r,
				       struct fg_fleet_ep *ep, fg_ms now)
{
	fg_ms age_ms;
	uint64_t version =
		fg_gw_announced_version(r->gw, r->adapter, now, &age_ms);

	return fg_orders_request_load(r->gw, ep, r->call.model,
				      fg_gwreq_adapter_name(r), version);
}

static struct fg_balance_query build_query(struct fg_gwreq *r, fg_ms now)
{
	struct fg_balance_query query = {
		.service = r->service->name,
		.svc = r->service,
		.region = r->gw->conf->region,
		.adapter = r->adapter,
		.model =
			r->adapter == 0 ? 0 : fg_adapter_key(r->call.model, ""),
		.prompt_tokens = r->call.prompt_tokens,
		.tokens_per_s = r->adapter == 0
					? 0
					: fg_gw_update_token_rate(
						  r->gw, now, r->adapter, 0),
		.software = r->software,
		.begins_stream = r->software == 0 && r->route->resumable,
		.n_avoid = r->n_tried,
	};

	memcpy(query.avoid, r->tried, sizeof(query.avoid));
	return query;
}

static struct fg_balance_pick pick_endpoint(struct fg_gwreq *r, fg_ms now)
{
	struct fg_balance_query query = build_query(r, now);
	struct fg_balance_pick pick;

	pick = fg_balance_pick(&r->gw->balance, r->gw->fleet, now, &query,
			       &r->gw->rand);
	if (pick.ep != NULL || !query.begins_stream)
		return pick;
	/* No endpoint has a version that other instances are sure to know. */
	query.begins_stream = false;
	return fg_balance_pick(&r->gw->balance, r->gw->fleet, now, &query,
			       &r->gw->rand);
}

bool fg_gwreq_prepare_other_endpoint(struct fg_gwreq *r, fg_ms now)
{
	struct fg_balance_query query = build_query(r, now);
	struct fg_balance_pick pick;

	if (query.n_avoid < G_N_ELEMENTS(query.avoid))
		query.avoid[query.n_avoid++] = r->ep;
	query.begins_stream = false;
	pick = fg_balance_pick(&r->gw->balance, r->gw->fleet, now, &query,
			       &r->gw->rand);
	if (pick.ep == NULL || pick.ep == r->ep ||
	    pick.wait_ms >= fg_gwreq_time_left_ms(r, now) ||
	    !fg_gw_stop_has_time_at(r, pick.ep, now))
		return false;
	return pick.resident ||
	       request_load(r, pick.ep, now) == FG_SLOT_RESIDENT;
}

/* Returns whether an endpoint of the version that began the stream is usable.
 */
static bool has_software(const struct fg_gwreq *r, fg_ms now)
{
	const GPtrArray *all = fg_fleet_all(r->gw->fleet);

	for (guint i = 0; i < all->len; i++) {
		const struct fg_fleet_ep *ep = all->pdata[i];

		if (ep->software == r->software && fg_ep_is_usable(ep, now) &&
		    strcmp(ep->facts.service, r->service->name) == 0)
			return true;
	}
	return false;
}

static bool is_service_brittle(const struct fg_gwreq *r)
{
	const GPtrArray *all = fg_fleet_all(r->gw->fleet);

	for (guint i = 0; i < all->len; i++) {
		const struct fg_fleet_ep *ep = all->pdata[i];

		if (ep->shared_room &&
		    strcmp(ep->facts.service, r->service->name) == 0)
			return true;
	}
	return false;
}

/* Refuses a request that no endpoint can get now. When they all asked for a
 * pause, the caller is told to come back after the shortest of the pauses. When
 * this instance's shares of the limits of those without a pause are used up,
 * another instance may serve the caller soon. The time is random so that
 * callers do not come back together. */
static void refuse_without_endpoint(struct fg_gwreq *r, fg_ms now)
{
	uint32_t pause_ms =
		fg_fleet_pause_left_ms(r->gw->fleet, now, r->service->name);
	uint32_t spread_ms =
		(uint32_t)fg_rand_below(&r->gw->rand, PAUSE_SPREAD_MS);

	if (r->software != 0 && !has_software(r, now))
		fg_gwreq_refuse(r, "software_gone",
				FG_GWREQ_RETRY_MAX_MS / 2 + spread_ms);
	else if (pause_ms == UINT32_MAX)
		fg_gwreq_refuse(r, "no_endpoint", FG_GWREQ_RETRY_MAX_MS / 2);
	else if (pause_ms == 0 && is_service_brittle(r))
		fg_gwreq_refuse(r, "endpoints_brittle",
				BRITTLE_RETRY_MS + spread_ms);
	else if (pause_ms == 0)
		fg_gwreq_refuse(r, "endpoints_limited",
				FG_GWREQ_RETRY_MAX_MS / 2 + spread_ms);
	else
		fg_gwreq_refuse_until(r, "endpoints_paused",
				      pause_ms + spread_ms);
}

/* Assigns the cheapest endpoint, and sends the request or waits for a load. */
static void choose_endpoint(struct fg_gwreq *r)
{
	fg_ms now = fg_clock_now();
	uint32_t left_ms = fg_gwreq_time_left_ms(r, now);
	struct fg_balance_pick p;
	bool is_late = false;

	if (left_ms < FG_GWREQ_TIME_LEFT_MIN_MS) {
		fg_gwreq_time_out(r);
		return;
	}
	for (int i = 0; i < PLACE_TRIES; i++) {
		p = pick_endpoint(r, now);
		if (p.ep == NULL) {
			if (!is_late || !fg_gw_stop_refuse_late(r))
				refuse_without_endpoint(r, now);
			return;
		}
		if (!fg_gw_stop_has_time_at(r, p.ep, now)) {
			is_late = true;
			fg_gwreq_attach(r, p.ep);
			fg_gwreq_mark_tried(r);
			continue;
		}
		if (!p.resident && r->call.adapter != NULL &&
		    !fg_orders_could_hold(r->service, r->call.model)) {
			fg_gwreq_refuse(r, "adapter_larger_than_engine",
					FG_GWREQ_RETRY_MAX_MS);
			return;
		}
		if (fg_gw_overload_refuse(r, &p, now))
			return;
		if (r->gw->overload == NULL && p.wait_ms >= left_ms &&
		    !r->head_sent) {
			fg_gwreq_refuse(r, "no_time", p.wait_ms - left_ms);
			return;
		}
		fg_gwreq_attach(r, p.ep);
		fg_limit_take(p.ep, now);
		r->expected_ms = p.wait_ms;
		if (p.resident) {
			send_to_endpoint(r);
			return;
		}
		switch (request_load(r, r->ep, now)) {
		case FG_SLOT_RESIDENT:
			send_to_endpoint(r);
			return;
		case FG_SLOT_PENDING:
			r->load_wait_since = now;
			fg_gw_overload_begin_wait(r, now);
			fg_gwreq_enter_state(r, FG_GWREQ_WAIT_LOAD,
					     now + LOAD_REQUEST_REPEAT_MS);
			return;
		default:
			fg_gwreq_mark_tried(r);
		}
	}
	if (is_late && fg_gw_stop_refuse_late(r))
		return;
	fg_gw_overload_begin_wait(r, now);
	fg_gwreq_enter_state(r, FG_GWREQ_WAIT_RETRY, now + PLACE_RETRY_MS);
}

/* Asks the owners of the candidate engines for the totals in flight there,
 * since the totals in heartbeats are older than most waits are long. Returns
 * false when there is no one to ask. */
static bool request_totals(struct fg_gwreq *r, fg_ms now)
{
	struct fg_gateway *gw = r->gw;
	struct fg_balance_query query = build_query(r, now);
	struct fg_balance_pick top[TOTALS_ENGINES_MAX];
	uint32_t n = fg_balance_rank(&gw->balance, gw->fleet, now, &query,
				     &gw->rand, top, TOTALS_ENGINES_MAX);
	fg_ms wait_ms = TOTALS_NEAR_TIMEOUT_MS;

	r->totals_pending = 0;
	if (n < 2 || top[1].cost_ms - top[0].cost_ms > TOTALS_COST_RANGE_MS)
		return false;
	for (uint32_t i = 0; i < n; i++) {
		struct fg_fleet_ep *ep = top[i].ep;

		if (top[i].cost_ms - top[0].cost_ms > TOTALS_COST_RANGE_MS ||
		    ep->owner == 0 || ep->owner == gw->incarnation)
			continue;
		fg_gw_mesh_request_totals(gw, ep, (uint32_t)r->local_id);
		fg_gw_count_event(gw, "totals_asked", NULL);
		r->totals_pending++;
		if (strcmp(ep->region, gw->conf->region) != 0)
			wait_ms = TOTALS_FAR_TIMEOUT_MS;
	}
	if (r->totals_pending == 0)
		return false;
	fg_gwreq_enter_state(r, FG_GWREQ_WAIT_TOTALS, now + wait_ms);
	return true;
}

void fg_gwreq_place(struct fg_gwreq *r)
{
	if (fg_gw_blame_refuse_blocked(r))
		return;
	if (r->service->engine && r->adapter != 0 &&
	    request_totals(r, fg_clock_now()))
		return;
	choose_endpoint(r);
}

void fg_gwreq_on_totals(struct fg_gateway *gw, uint32_t local_id)
{
	for (guint i = 0; i < gw->reqs->len; i++) {
		struct fg_gwreq *r = gw->reqs->pdata[i];

		if ((uint32_t)r->local_id != local_id ||
		    r->state != FG_GWREQ_WAIT_TOTALS)
			continue;
		if (--r->totals_pending == 0)
			choose_endpoint(r);
		return;
	}
}

/* While waiting for a load: sends the request when the adapter is resident,
 * otherwise requests the load again or tries another endpoint. */
static void check_load(struct fg_gwreq *r)
{
	fg_ms now = fg_clock_now();
	const struct fg_ep_adapter *a = fg_ep_adapter_find(r->ep, r->adapter);

	if (fg_gw_overload_refuse_waiting(r, now))
		return;
	if (r->gw->overload == NULL &&
	    now - r->load_wait_since > LOAD_WAIT_MAX_MS) {
		fg_gwreq_refuse(r, "load_too_slow", LOAD_RETRY_AFTER_MS);
		return;
	}
	if (!fg_ep_accepts(r->ep, now)) {
		fg_gwreq_mark_tried(r);
		fg_gwreq_place(r);
		return;
	}
	if (a != NULL && a->version != 0) {
		send_to_endpoint(r);
		return;
	}
	if (fg_gw_overload_yields(r)) {
		fg_gwreq_enter_state(r, FG_GWREQ_WAIT_LOAD,
				     now + LOAD_REQUEST_REPEAT_MS);
		return;
	}
	switch (request_load(r, r->ep, now)) {
	case FG_SLOT_RESIDENT:
		send_to_endpoint(r);
		break;
	case FG_SLOT_PENDING:
		fg_gwreq_enter_state(r, FG_GWREQ_WAIT_LOAD,
				     now + LOAD_REQUEST_REPEAT_MS);
		break;
	default:
		fg_gwreq_mark_tried(r);
		fg_gwreq_place(r);
	}
}

void fg_gwreq_on_timer(uv_timer_t *timer)
{
	struct fg_gwreq *r = timer->data;
	fg_ms now = fg_clock_now();

	if (now >= r->deadline) {
		fg_gwreq_time_out(r);
	} else if (now < r->due_at) {
		fg_gwreq_arm_timer(r);
	} else if (r->state == FG_GWREQ_WAIT_TOTALS) {
		fg_gw_count_event(r->gw, "totals_late", NULL);
		choose_endpoint(r);
	} else if (r->state == FG_GWREQ_WAIT_ORIGIN) {
		fg_gw_origin_time_out(r);
	} else if (r->state == FG_GWREQ_WAIT_LOAD) {
		check_load(r);
	} else if (r->state == FG_GWREQ_WAIT_RETRY) {
		r->n_tried = 0;
		choose_endpoint(r);
	} else {
		fg_send_on_timeout(r, now);
	}
}

void fg_gwreq_on_resident(struct fg_gateway *gw, struct fg_fleet_ep *ep)
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
			send_to_endpoint(r);
	}
}

void fg_gwreq_on_load_refused(struct fg_gateway *gw, struct fg_fleet_ep *ep,
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
		fg_gwreq_mark_tried(r);
		fg_gwreq_place(r);
	}
}
