/* What this instance keeps of an endpoint: what the endpoint says of itself,
 * whether it is reached, and requests that were lost there. */
#include "gateway/fg_gateway_internal.h"

#include <string.h>

/* Others that are asked whether an endpoint has ended, when the first do not
 * know. */
#define CONFIRMS_MAX 3

/* An endpoint in doubt is probed this often, and so many are in one tick. */
#define PROBE_MS 1000
#define PROBES_PER_TICK 8

struct fg_ep_local *fg_ep_local_get(struct fg_gateway *gw,
				    struct fg_fleet_ep *ep)
{
	struct fg_ep_local *local = ep->user;

	if (local == NULL) {
		local = g_new0(struct fg_ep_local, 1);
		local->gw = gw;
		local->ep = ep;
		local->idle = g_ptr_array_new();
		ep->user = local;
	}
	return local;
}

static void close_idle(struct fg_ep_local *local)
{
	while (local->idle->len > 0)
		fg_ep_conn_close(g_ptr_array_steal_index_fast(local->idle, 0));
}

static void end_check(struct fg_ep_local *local)
{
	if (local->check != NULL)
		fg_ep_conn_close(local->check);
	local->check = NULL;
}

static void end_confirm(struct fg_ep_local *local)
{
	if (local->confirm != NULL)
		fg_ep_conn_close(local->confirm);
	local->confirm = NULL;
}

static void log_loss(const struct fg_ep_local *local,
		     const struct fg_loss *loss)
{
	char key[FG_KEY_TEXT_BYTES];
	g_autofree char *parts = fg_gw_format_parts(loss->shared_parts);

	fg_gw_format_key(key, loss->fingerprint);
	fg_log(FG_LOG_WARN, "request", "lost_in_crash", "id", loss->id,
	       "endpoint", local->ep->facts.id, "phase",
	       fg_loss_phase_name(loss->phase), "request_key", key, "parts",
	       parts, NULL);
}

void fg_ep_local_report_losses(struct fg_ep_local *local)
{
	struct fg_loss lost[FG_LOSS_MAX];
	uint32_t n = fg_losses_take(&local->losses, fg_clock_now(), lost);

	for (uint32_t i = 0; i < n; i++) {
		fg_mesh_crash crash = {
			.fingerprint = lost[i].fingerprint,
			.ep = local->ep->hash,
			.req = lost[i].request,
		};

		log_loss(local, &lost[i]);
		fg_gw_mesh_report_crash(local->gw, &crash);
		fg_blame_on_loss(local->gw->blame, fg_clock_now(),
				 local->ep->hash, lost[i].at,
				 lost[i].phase == FG_LOSS_BEGUN,
				 lost[i].shared_parts);
		fg_loss_clear(&lost[i]);
	}
}

void fg_ep_local_free(struct fg_gateway *gw, struct fg_fleet_ep *ep)
{
	struct fg_ep_local *local = ep->user;

	if (local == NULL)
		return;
	close_idle(local);
	end_check(local);
	end_confirm(local);
	/* The end of this process says nothing about the endpoint. */
	if (gw->ending)
		fg_losses_drop(&local->losses);
	else
		fg_ep_local_report_losses(local);
	fg_orders_release(local);
	g_ptr_array_unref(local->idle);
	g_free(local);
	ep->user = NULL;
}

/* ---- What the endpoint says ---- */

bool fg_ep_sent_reply(const struct fg_fleet_ep *ep,
		      const struct fg_wire_reply *reply)
{
	return reply->endpoint == NULL ||
	       strcmp(reply->endpoint, ep->facts.id) == 0;
}

static void log_pause(const struct fg_fleet_ep *ep, const char *event,
		      uint32_t pause_ms)
{
	char ms[12];

	g_snprintf(ms, sizeof(ms), "%u", pause_ms);
	fg_log(FG_LOG_INFO, "endpoint", event, "endpoint", ep->facts.id,
	       "pause_ms", ms, NULL);
}

void fg_ep_apply_reply(struct fg_gateway *gw, struct fg_fleet_ep *ep,
		       const struct fg_wire_reply *reply)
{
	if (!fg_ep_sent_reply(ep, reply))
		return;
	if (reply->leaving && fg_ep_mark_leaving(ep)) {
		fg_log(FG_LOG_INFO, "endpoint", "said_leaving", "endpoint",
		       ep->facts.id, "address", ep->facts.address, NULL);
		fg_gw_count_event(gw, "endpoints_said_leaving", NULL);
	}
	if (reply->bad_pause)
		fg_log(FG_LOG_WARN, "endpoint", "pause_refused", "endpoint",
		       ep->facts.id, "reason",
		       "Retry-After is not a number of seconds", NULL);
	if (reply->pause_ms == 0 ||
	    !fg_ep_pause(ep, fg_clock_now(), reply->pause_ms))
		return;
	log_pause(ep,
		  reply->pause_ms > FG_EP_PAUSE_MAX_MS ? "pause_cut" : "paused",
		  reply->pause_ms);
	fg_gw_count_event(gw, "endpoint_pauses", NULL);
}

void fg_ep_apply_limit(struct fg_gateway *gw, struct fg_fleet_ep *ep,
		       const struct fg_wire_reply *reply)
{
	char text[G_ASCII_DTOSTR_BUF_SIZE];

	if (!fg_ep_sent_reply(ep, reply))
		return;
	if (reply->bad_limit)
		fg_log(FG_LOG_WARN, "endpoint", "limit_refused", "endpoint",
		       ep->facts.id, "reason", "the limit is not a number",
		       NULL);
	if (reply->has_limit && fg_ep_set_limit(ep, reply->limit_per_s)) {
		g_ascii_dtostr(text, sizeof(text), reply->limit_per_s);
		fg_log(FG_LOG_INFO, "endpoint", "limit_named", "endpoint",
		       ep->facts.id, "per_s", text, NULL);
		fg_gw_count_event(gw, "endpoint_limits", "event=\"named\"");
	}
	if (reply->has_limit || reply->bad_limit || !reply->from_service ||
	    !fg_ep_clear_limit(ep))
		return;
	fg_log(FG_LOG_INFO, "endpoint", "limit_gone", "endpoint", ep->facts.id,
	       NULL);
	fg_gw_count_event(gw, "endpoint_limits", "event=\"gone\"");
}

void fg_ep_apply_brittle(struct fg_gateway *gw, struct fg_fleet_ep *ep,
			 const struct fg_wire_reply *reply)
{
	fg_ms now = fg_clock_now();
	char n[12];

	if (!fg_ep_sent_reply(ep, reply))
		return;
	if (!reply->brittle) {
		if (!reply->from_service || !fg_brittle_clear(ep))
			return;
		fg_log(FG_LOG_INFO, "endpoint", "brittle_no_more", "endpoint",
		       ep->facts.id, NULL);
		fg_gw_count_event(gw, "brittle", "event=\"gone\"");
		fg_gw_update_shares(gw, now);
		return;
	}
	if (!fg_brittle_set(ep, now))
		return;
	g_snprintf(n, sizeof(n), "%u", reply->brittle_rejections);
	fg_log(FG_LOG_WARN, "endpoint", "brittle", "endpoint", ep->facts.id,
	       "rejections", reply->bad_brittle ? "unreadable" : n, NULL);
	fg_gw_count_event(gw, "brittle", "event=\"said\"");
	fg_gw_update_shares(gw, now);
}

/* ---- Whether it is reached ---- */

static void log_reach(const struct fg_gateway *gw, const struct fg_fleet_ep *ep,
		      const char *event, const char *why)
{
	uint32_t usable;
	uint32_t doubtful =
		fg_reach_count_doubtful(gw->fleet, fg_clock_now(), &usable);
	char n[12];
	char of[12];

	g_snprintf(n, sizeof(n), "%u", doubtful);
	g_snprintf(of, sizeof(of), "%u", usable);
	fg_log(FG_LOG_WARN, "endpoint", event, "endpoint", ep->facts.id,
	       "service", ep->facts.service, "reason", why, "unreached", n,
	       "of", of, NULL);
}

void fg_ep_note_reached(struct fg_ep_conn *conn)
{
	if (fg_reach_note_ok(conn->ep))
		log_reach(conn->gw, conn->ep, "reached_again", NULL);
}

void fg_ep_note_unreached(struct fg_gateway *gw, struct fg_fleet_ep *ep,
			  const char *why)
{
	if (fg_reach_note_failed(ep, fg_clock_now()))
		log_reach(gw, ep, "unreached", why);
}

void fg_ep_note_silent(struct fg_gateway *gw, struct fg_fleet_ep *ep)
{
	close_idle(fg_ep_local_get(gw, ep));
	fg_ep_check_alive(gw, ep);
}

void fg_ep_note_no_connection(struct fg_gateway *gw, struct fg_fleet_ep *ep)
{
	fg_ep_note_unreached(gw, ep, "connect_timeout");
	close_idle(fg_ep_local_get(gw, ep));
}

void fg_ep_check_alive(struct fg_gateway *gw, struct fg_fleet_ep *ep)
{
	struct fg_ep_local *local = fg_ep_local_get(gw, ep);

	if (local->check != NULL)
		return;
	local->check = fg_ep_conn_new(gw, ep, NULL);
	local->check_until = fg_clock_now() + fg_ep_connect_timeout_ms(gw);
}

static bool probe(struct fg_gateway *gw, struct fg_fleet_ep *ep, fg_ms now)
{
	struct fg_ep_local *local;

	if (!fg_reach_is_doubtful(ep) || !fg_ep_accepts(ep, now))
		return false;
	local = fg_ep_local_get(gw, ep);
	if (now - local->probed_at < PROBE_MS || local->check != NULL)
		return false;
	local->probed_at = now;
	fg_ep_check_alive(gw, ep);
	return true;
}

static void update_cut(struct fg_gateway *gw, fg_ms now)
{
	const GPtrArray *all = fg_fleet_all(gw->fleet);
	bool cut = fg_reach_is_cut(gw->fleet, now, gw->cut);

	if (cut == gw->cut)
		return;
	gw->cut = cut;
	gw->heartbeat_due = true;
	for (guint i = 0; cut && i < all->len; i++) {
		const struct fg_fleet_ep *ep = all->pdata[i];

		if (ep->user != NULL)
			close_idle(ep->user);
	}
	fg_log(FG_LOG_WARN, "gateway", cut ? "endpoints_cut" : "endpoints_back",
	       NULL);
	fg_gw_count_event(gw, "cuts", cut ? "event=\"cut\"" : "event=\"back\"");
}

/* ---- Whether it crashed ---- */

void fg_ep_confirm_crash(struct fg_gateway *gw, struct fg_fleet_ep *ep)
{
	struct fg_ep_local *local = fg_ep_local_get(gw, ep);
	fg_ms now = fg_clock_now();
	struct fg_mesh_peer *peer;

	if (local->confirm != NULL || local->losses.n == 0)
		return;
	peer = fg_gw_tunnel_choose_peer(gw, now);
	if (peer != NULL)
		local->confirm = fg_ep_conn_new(gw, ep, peer);
	if (local->confirm == NULL) {
		local->confirms = 0;
		fg_ep_local_report_losses(local);
		return;
	}
	local->confirms++;
	local->confirm_until = now + fg_ep_connect_timeout_ms(gw);
}

/* Another instance did not reach the endpoint, or could not tell. */
void fg_ep_on_confirm_failed(struct fg_ep_conn *conn, bool ended)
{
	struct fg_ep_local *local = fg_ep_local_get(conn->gw, conn->ep);

	end_confirm(local);
	if (ended || local->confirms >= CONFIRMS_MAX) {
		local->confirms = 0;
		fg_ep_local_report_losses(local);
	} else {
		fg_ep_confirm_crash(conn->gw, conn->ep);
	}
}

/* Another instance reaches the endpoint. */
void fg_ep_on_confirm_denied(struct fg_ep_conn *conn)
{
	struct fg_ep_local *local = fg_ep_local_get(conn->gw, conn->ep);

	end_confirm(local);
	local->confirms = 0;
	fg_losses_drop(&local->losses);
	fg_log(FG_LOG_INFO, "endpoint", "not_crashed", "endpoint",
	       conn->ep->facts.id, NULL);
}

void fg_ep_check_tick(struct fg_gateway *gw, fg_ms now)
{
	const GPtrArray *all = fg_fleet_all(gw->fleet);
	uint32_t n = 0;

	for (guint i = 0; i < all->len; i++) {
		struct fg_fleet_ep *ep = all->pdata[i];
		struct fg_ep_local *local = ep->user;

		if (local != NULL && local->check != NULL &&
		    now >= local->check_until) {
			end_check(local);
			fg_ep_note_no_connection(gw, ep);
		}
		if (local != NULL && local->confirm != NULL &&
		    now >= local->confirm_until)
			fg_hop_fail(local->confirm, false);
		if (n < PROBES_PER_TICK)
			n += probe(gw, ep, now);
	}
	update_cut(gw, now);
}
