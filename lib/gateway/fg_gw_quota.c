/* Limits of workspaces, kept by all instances together. */
#include "gateway/fg_gateway_internal.h"

#include <string.h>

/* What an account starts with at a new holder: so many times the tolerated part
 * of one second's rate, and a part of the tolerated tokens. A window tolerates
 * nine times that part where the burst is one second's rate, of which a holder
 * that ends and comes back uses two thirds. */
#define INITIAL_EXCESS_FACTOR 3
#define INITIAL_SLACK_DIVISOR 8
/* Callers that are refused together come back spread over this part of their
 * waiting time, or over this time. */
#define SPREAD_DIVISOR 4
#define SPREAD_MIN_MS 20
#define VIEWS_MAX 64

static void apply_decision(struct fg_gateway *gw,
			   const struct fg_quota_decision *decision);
static void arm_timer(struct fg_gateway *gw, fg_ms now);

/* Decisions are applied here only, with no frame above that uses a request. */
static void on_timer(uv_timer_t *timer)
{
	struct fg_gateway *gw = timer->data;
	fg_ms now = fg_clock_now();
	struct fg_quota_decision decision;

	if (now >= fg_quota_next_due(gw->quota))
		fg_quota_tick(gw->quota, now);
	while (fg_quota_next_decision(gw->quota, &decision))
		apply_decision(gw, &decision);
	arm_timer(gw, now);
}

/* The next step is due, or a decision is to be applied. */
static void arm_timer(struct fg_gateway *gw, fg_ms now)
{
	fg_ms due = fg_quota_next_due(gw->quota);
	uint64_t wait_ms = 0;

	if (!fg_quota_has_decisions(gw->quota)) {
		if (due == FG_MS_NEVER)
			return;
		wait_ms = (uint64_t)MAX(due - now, 1);
	}
	uv_update_time(&gw->loop);
	uv_timer_start(gw->quota_timer, on_timer, wait_ms, 0);
}

/* ---- Actions ---- */

static void send_ask(void *ctx, uint64_t to, const struct fg_quota_ask *ask)
{
	struct fg_gateway *gw = ctx;
	const struct fg_mesh_peer *peer = fg_peers_find(gw->peers, to);
	fg_mesh_packet packet;
	fg_mesh_quota_ask *m = &packet.body.fg_mesh_body_u.quota_ask;

	if (peer == NULL)
		return;
	fg_gw_mesh_init_packet(gw, &packet, FG_MESH_QUOTA_ASK);
	m->request = ask->request;
	m->workspace = ask->workspace;
	m->tokens = ask->tokens;
	m->need = ask->need;
	m->returned = ask->returned;
	fg_gw_mesh_send(gw, peer->row.mesh, &packet);
}

static uint32_t spread(struct fg_gateway *gw, uint32_t retry_ms)
{
	uint32_t range = MAX(retry_ms / SPREAD_DIVISOR, SPREAD_MIN_MS);

	return retry_ms + (uint32_t)fg_rand_below(&gw->rand, range);
}

static void refuse(struct fg_gwreq *r, enum fg_quota_verdict verdict,
		   uint32_t retry_ms)
{
	retry_ms = spread(r->gw, retry_ms);
	if (verdict == FG_QUOTA_REFUSED)
		fg_gwreq_refuse_limit(r, "limit", retry_ms);
	else
		fg_gwreq_refuse(r, "limit_unknown", retry_ms);
}

static uint32_t cost(const struct fg_gwreq *r)
{
	return fg_ws_cost(r->workspace, r->call.has_tokens,
			  r->call.prompt_tokens, r->call.output_tokens);
}

static struct fg_gwreq *find_waiting(const struct fg_gateway *gw,
				     const struct fg_quota_decision *d)
{
	for (guint i = 0; i < gw->reqs->len; i++) {
		struct fg_gwreq *r = gw->reqs->pdata[i];

		if (r->local_id == d->request &&
		    r->state == FG_GWREQ_WAIT_QUOTA)
			return r;
	}
	return NULL;
}

static void apply_decision(struct fg_gateway *gw,
			   const struct fg_quota_decision *d)
{
	struct fg_gwreq *r = find_waiting(gw, d);

	if (r == NULL) {
		if (d->verdict == FG_QUOTA_ADMITTED)
			fg_quota_give_back(gw->quota, fg_clock_now(),
					   d->workspace, d->tokens);
		return;
	}
	fg_gwreq_leave_state(r);
	if (d->verdict != FG_QUOTA_ADMITTED) {
		refuse(r, d->verdict, d->retry_ms);
		return;
	}
	r->quota_taken = d->tokens;
	fg_gwreq_place_admitted(r);
}

/* ---- Limits and instances ---- */

/* Puts the limits of the configuration in force. */
static void update_limits(struct fg_gateway *gw, fg_ms now)
{
	const GPtrArray *all;

	if (gw->quota_routes == gw->routes || gw->routes == NULL)
		return;
	fg_routes_unref(gw->quota_routes);
	gw->quota_routes = fg_routes_ref(gw->routes);
	if (gw->routes->workspaces != NULL && gw->conf->quota_window_ms > 0) {
		all = fg_ws_set_all(gw->routes->workspaces);
		for (guint i = 0; i < all->len; i++) {
			const struct fg_workspace *w = all->pdata[i];
			struct fg_quota_limit limit = { w->rate_per_s,
							w->burst };

			if (fg_ws_is_limited(w))
				fg_quota_set_limit(gw->quota, now, w->hash,
						   &limit);
		}
	}
	fg_quota_end_limits(gw->quota, now);
}

static void update_members(struct fg_gateway *gw, fg_ms now)
{
	const GPtrArray *peers = fg_peers_all(gw->peers);
	const struct fg_feed *own = &gw->feeds[FG_FEED_OWN];
	struct fg_quota_member *list =
		g_new(struct fg_quota_member, peers->len + 1);

	for (guint i = 0; i < peers->len; i++) {
		const struct fg_mesh_peer *p = peers->pdata[i];

		list[i].id = p->row.incarnation;
		list[i].hash = p->hash;
		list[i].alive =
			fg_peer_is_alive(p, now) && p->state != FG_MESH_LEAVING;
	}
	fg_quota_set_members(gw->quota, now, list, peers->len,
			     own->full_read_done &&
				     !fg_retire_is_contradicted(gw->retire));
	g_free(list);
}

void fg_gw_quota_tick(struct fg_gateway *gw, fg_ms now)
{
	if (gw->conf->quota_window_ms == 0)
		return;
	update_limits(gw, now);
	update_members(gw, now);
	fg_quota_tick(gw->quota, now);
	arm_timer(gw, now);
}

/* ---- Requests ---- */

bool fg_gw_quota_admit(struct fg_gwreq *r)
{
	struct fg_gateway *gw = r->gw;
	fg_ms now = fg_clock_now();
	uint32_t retry_ms;
	enum fg_quota_verdict verdict;

	if (r->workspace == NULL || gw->conf->quota_window_ms == 0)
		return true;
	update_limits(gw, now);
	verdict = fg_quota_take(gw->quota, now, r->workspace->hash, cost(r),
				r->local_id, &retry_ms);
	if (verdict == FG_QUOTA_WAITING)
		fg_gwreq_enter_state(r, FG_GWREQ_WAIT_QUOTA, FG_MS_NEVER);
	if (verdict == FG_QUOTA_WAITING || fg_quota_has_decisions(gw->quota))
		arm_timer(gw, now);
	if (verdict == FG_QUOTA_WAITING)
		return false;
	if (verdict == FG_QUOTA_ADMITTED) {
		r->quota_taken = cost(r);
		return true;
	}
	refuse(r, verdict, retry_ms);
	return false;
}

void fg_gw_quota_give_back(struct fg_gwreq *r)
{
	if (r->state == FG_GWREQ_WAIT_QUOTA)
		fg_quota_cancel(r->gw->quota, fg_clock_now(),
				r->workspace->hash, r->local_id);
	if (r->quota_taken > 0)
		fg_quota_give_back(r->gw->quota, fg_clock_now(),
				   r->workspace->hash, r->quota_taken);
	r->quota_taken = 0;
}

/* ---- Messages ---- */

void fg_gw_quota_answer_ask(struct fg_gateway *gw, const fg_mesh_packet *packet,
			    const char *from)
{
	const fg_mesh_quota_ask *m = &packet->body.fg_mesh_body_u.quota_ask;
	struct fg_quota_ask ask = {
		.request = m->request,
		.workspace = m->workspace,
		.tokens = m->tokens,
		.need = m->need,
		.returned = m->returned,
	};
	struct fg_quota_reply reply;
	fg_mesh_packet out;
	fg_mesh_quota_rep *rep = &out.body.fg_mesh_body_u.quota_rep;

	fg_quota_answer(gw->quota, fg_clock_now(), packet->incarnation, &ask,
			&reply);
	fg_gw_mesh_init_packet(gw, &out, FG_MESH_QUOTA_REP);
	rep->request = reply.request;
	rep->workspace = reply.workspace;
	rep->answer = !reply.holder ? FG_MESH_QUOTA_NOT_HOLDER
		      : reply.tokens == 0 && reply.retry_ms > 0
			      ? FG_MESH_QUOTA_REFUSED
			      : FG_MESH_QUOTA_GRANTED;
	rep->tokens = reply.tokens;
	rep->valid_ms = reply.valid_ms;
	rep->retry_ms = reply.retry_ms;
	fg_gw_mesh_send(gw, from, &out);
	arm_timer(gw, fg_clock_now());
}

void fg_gw_quota_apply_reply(struct fg_gateway *gw,
			     const fg_mesh_packet *packet)
{
	const fg_mesh_quota_rep *m = &packet->body.fg_mesh_body_u.quota_rep;
	struct fg_quota_reply reply = {
		.request = m->request,
		.workspace = m->workspace,
		.holder = m->answer != FG_MESH_QUOTA_NOT_HOLDER,
		.tokens = m->tokens,
		.valid_ms = MIN(m->valid_ms, FG_QUOTA_LEASE_MS),
		.retry_ms = m->retry_ms,
	};

	fg_quota_on_reply(gw->quota, fg_clock_now(), packet->incarnation,
			  &reply);
	arm_timer(gw, fg_clock_now());
}

/* ---- For operators ---- */

void fg_gw_quota_append_state(GString *out, const struct fg_gateway *gw,
			      fg_ms now)
{
	struct fg_quota_view views[VIEWS_MAX];
	uint32_t n = fg_quota_list(gw->quota, now, views, VIEWS_MAX);

	for (uint32_t i = 0; i < MIN(n, VIEWS_MAX); i++)
		g_string_append_printf(
			out,
			"limit workspace=%016llx holder=%016llx here=%d "
			"level=%.0f rate_per_s=%.0f leased=%u waiting=%u "
			"asked_per_s=%.0f\n",
			(unsigned long long)views[i].workspace,
			(unsigned long long)views[i].holder, views[i].held_here,
			views[i].level, views[i].rate_per_s, views[i].leased,
			views[i].waiting, views[i].asked_per_s);
}

void fg_gw_quota_set_gauges(struct fg_gateway *gw)
{
	struct fg_quota_stats stats;

	fg_quota_get_stats(gw->quota, &stats);
	const struct {
		const char *name;
		const char *help;
		uint64_t value;
	} totals[] = {
		{ "fg_gw_limit_asks_total", "asks for tokens", stats.asks },
		{ "fg_gw_limit_repeats_total", "asks sent again or elsewhere",
		  stats.repeats },
		{ "fg_gw_limit_admitted_total", "requests within limits",
		  stats.admitted },
		{ "fg_gw_limit_refused_total", "requests beyond limits",
		  stats.refused },
		{ "fg_gw_limit_unknown_total", "requests without a holder",
		  stats.unknown },
		{ "fg_gw_limit_by_share_total", "requests by the own share",
		  stats.by_share },
		{ "fg_gw_limit_granted_tokens_total", "tokens granted here",
		  stats.granted_tokens },
		{ "fg_gw_limit_lapsed_tokens_total", "tokens not spent in time",
		  stats.lapsed_tokens },
		{ "fg_gw_limit_takeovers_total", "accounts taken over",
		  stats.takeovers },
	};

	for (guint i = 0; i < G_N_ELEMENTS(totals); i++)
		fg_gauge_set(fg_metrics_gauge(gw->metrics, totals[i].name, NULL,
					      totals[i].help),
			     (int64_t)totals[i].value);
}

/* ---- Start and end ---- */

void fg_gw_quota_init(struct fg_gateway *gw)
{
	const struct fg_quota_ops ops = { send_ask };
	struct fg_quota_conf conf = {
		.self = gw->incarnation,
		.self_hash = fg_hash_str(gw->conf->name),
		.initial_permille =
			INITIAL_EXCESS_FACTOR * gw->conf->quota_excess_permille,
		.initial_tokens = gw->conf->quota_slack / INITIAL_SLACK_DIVISOR,
	};

	gw->quota = fg_quota_new(&conf, &ops, gw);
	gw->quota_timer = fg_gw_timer_new(gw, gw);
}

void fg_gw_quota_free(struct fg_gateway *gw)
{
	fg_quota_free(gw->quota);
	fg_routes_unref(gw->quota_routes);
	fg_gw_timer_free(gw->quota_timer);
}
