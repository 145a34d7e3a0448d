/* Messages from other instances: heartbeats, requests, reports. */
#include "gateway/fg_gateway_internal.h"

#include <string.h>

/* Forwards a heartbeat of another data centre to the neighbours that do not
 * read the store, to which the sender does not send it. */
static void forward_heartbeat(struct fg_gateway *gw, const char *bytes,
			      size_t len)
{
	const GPtrArray *peers = fg_peers_all(gw->peers);

	for (guint i = 0; i < peers->len; i++) {
		const struct fg_mesh_peer *p = peers->pdata[i];

		if (!p->store.reads && !p->retired &&
		    strcmp(p->row.dc, gw->conf->dc) == 0)
			fg_gw_mesh_send_bytes(gw, p->row.mesh, bytes, len);
	}
}

static void apply_uses(struct fg_gateway *gw, const fg_mesh_packet *packet,
		       fg_ms now)
{
	const fg_mesh_uses *uses = &packet->body.fg_mesh_body_u.uses;

	for (u_int i = 0; i < uses->list.list_len; i++) {
		const fg_mesh_use *m = &uses->list.list_val[i];
		struct fg_fleet_ep *ep = fg_fleet_find_hash(gw->fleet, m->ep);
		struct fg_use use = {
			.instance = packet->incarnation,
			.adapter = m->adapter,
			.running = m->running,
			.pending_tokens = m->pending_tokens,
			.reported_at = now,
		};

		if (ep != NULL)
			fg_orders_apply_use(gw, ep, &use);
	}
}

/* Subtracts what this instance has in flight from the totals that an owner
 * reports, since they include it. */
static void apply_totals(struct fg_fleet_ep *ep, uint32_t running,
			 uint32_t pending_tokens)
{
	ep->peers_running = running - MIN(running, ep->running);
	ep->peers_pending_tokens =
		pending_tokens - MIN(pending_tokens, ep->pending_tokens);
}

static void apply_owned_engine(struct fg_gateway *gw, uint64_t sender,
			       const fg_mesh_engine *own, fg_ms now)
{
	struct fg_fleet_ep *ep = fg_fleet_find_hash(gw->fleet, own->ep);
	struct fg_fleet_held held[FG_MESH_ADAPTERS_MAX];
	uint32_t n = 0;

	if (ep == NULL || fg_claims_owner(gw->claims, ep->facts.id) != sender)
		return;
	for (u_int i = 0; i < own->adapters.adapters_len; i++) {
		const fg_mesh_adapter *h = &own->adapters.adapters_val[i];
		struct fg_ep_adapter *a;

		if (h->ver != 0) {
			held[n].key = h->adapter;
			held[n++].version = h->ver;
			continue;
		}
		a = fg_ep_adapter_find_or_add(ep, now, h->adapter);
		if (a != NULL)
			a->pending_at = now;
	}
	fg_ep_set_resident(ep, now, held, n);
	ep->resident_at = now;
	ep->owner = sender;
	ep->spare_age_ms = own->spare_age_ms;
	ep->queue = own->queue;
	ep->fetch_wait_ms = own->fetch_wait_ms;
	apply_totals(ep, own->running, own->pending_tokens);
	fg_gwreq_on_resident(gw, ep);
}

static void answer_totals_request(struct fg_gateway *gw,
				  const fg_mesh_packet *packet,
				  const char *from)
{
	const fg_mesh_totals_ask *ask = &packet->body.fg_mesh_body_u.totals_ask;
	const struct fg_fleet_ep *ep = fg_fleet_find_hash(gw->fleet, ask->ep);
	fg_mesh_packet reply;
	fg_mesh_totals *totals = &reply.body.fg_mesh_body_u.totals;

	if (ep == NULL)
		return;
	fg_gw_mesh_init_packet(gw, &reply, FG_MESH_TOTALS);
	totals->request = ask->request;
	totals->ep = ask->ep;
	totals->running = ep->running + ep->peers_running;
	totals->pending_tokens = fg_gw_pack_tokens(ep->pending_tokens +
						   ep->peers_pending_tokens);
	fg_gw_mesh_send(gw, from, &reply);
}

static void apply_totals_reply(struct fg_gateway *gw,
			       const fg_mesh_packet *packet)
{
	const fg_mesh_totals *totals = &packet->body.fg_mesh_body_u.totals;
	struct fg_fleet_ep *ep = fg_fleet_find_hash(gw->fleet, totals->ep);

	if (ep != NULL && ep->owner == packet->incarnation)
		apply_totals(ep, totals->running, totals->pending_tokens);
	fg_gwreq_on_totals(gw, totals->request);
}

static void log_crash(const struct fg_gateway *gw, uint64_t by,
		      const fg_mesh_crash *crash)
{
	const struct fg_mesh_peer *peer = fg_peers_find(gw->peers, by);
	const struct fg_fleet_ep *ep = fg_fleet_find_hash(gw->fleet, crash->ep);
	char key[FG_KEY_TEXT_BYTES];

	fg_gw_format_key(key, crash->fingerprint);
	fg_log_routine("suspects", "crash_counted", "request_key", key,
		       "endpoint", ep == NULL ? NULL : ep->facts.id, "by",
		       peer == NULL ? gw->conf->name : peer->row.name, NULL);
}

void fg_gw_mesh_apply_crash(struct fg_gateway *gw, uint64_t by,
			    const fg_mesh_crash *crash, fg_ms now)
{
	fg_suspect ev = {
		.fingerprint = crash->fingerprint,
		.ep = crash->ep,
		.event = FG_SUSPECT_CRASH,
		.req = crash->req,
	};

	if (!fg_suspects_handle_event(gw->suspects, now, by, &ev))
		return;
	fg_gw_count_event(gw, "crash_reports",
			  by == gw->incarnation ? "from=\"here\""
						: "from=\"peer\"");
	log_crash(gw, by, crash);
}

static void apply_heartbeat(struct fg_gateway *gw, const fg_mesh_packet *packet,
			    const uv_buf_t *bytes, fg_ms now)
{
	const fg_mesh_heartbeat *hb = &packet->body.fg_mesh_body_u.hb;
	struct fg_mesh_peer *peer =
		fg_peers_find(gw->peers, packet->incarnation);

	if (peer == NULL) {
		fg_sync_on_unknown_instance(gw, now);
		return;
	}
	if (peer->heartbeat_at == 0)
		fg_gw_blame_send_blocked(gw, peer, now);
	/* Only a newer heartbeat is forwarded: two instances that both read the
	 * store would forward it to each other forever. */
	if (!peer->same_dc && gw->reader == 0 &&
	    (int32_t)(packet->seq - peer->seq) > 0)
		forward_heartbeat(gw, bytes->base, bytes->len);
	fg_peers_on_heartbeat(gw->peers, now, packet->incarnation, packet->seq,
			      hb);
	fg_gw_relay_on_heartbeat(gw, peer, now);
	fg_gw_catchup_on_heartbeat(gw, peer, now);
	/* A full read does not show a row that was removed before it. */
	if (hb->store.feeds[FG_FEED_CONFIG].newest >
	    MAX(gw->feeds[FG_FEED_CONFIG].newest_version,
		gw->feeds[FG_FEED_CONFIG].synced_version))
		fg_sync_on_config_behind(gw, now);
	for (u_int i = 0; i < hb->engines.engines_len; i++)
		apply_owned_engine(gw, packet->incarnation,
				   &hb->engines.engines_val[i], now);
	for (u_int i = 0; i < hb->crashes.crashes_len; i++)
		fg_gw_mesh_apply_crash(gw, packet->incarnation,
				       &hb->crashes.crashes_val[i], now);
}

static void answer_load_request(struct fg_gateway *gw,
				const fg_mesh_packet *packet, const char *from)
{
	const fg_mesh_load_req *req = &packet->body.fg_mesh_body_u.load_req;
	struct fg_fleet_ep *ep = fg_fleet_find_hash(gw->fleet, req->ep);
	struct fg_ep_local *local = ep == NULL ? NULL : ep->user;
	fg_mesh_packet reply;
	fg_mesh_load_rep *rep = &reply.body.fg_mesh_body_u.load_rep;

	fg_gw_mesh_init_packet(gw, &reply, FG_MESH_LOAD_REP);
	rep->ep = req->ep;
	rep->adapter = fg_adapter_key(req->model, req->adapter);
	rep->answer = FG_MESH_NOT_OWNER;
	if (local != NULL && local->slots != NULL) {
		switch (fg_orders_request_load(gw, ep, req->model, req->adapter,
					       req->ver)) {
		case FG_SLOT_RESIDENT:
			rep->answer = FG_MESH_RESIDENT;
			break;
		case FG_SLOT_PENDING:
			rep->answer = FG_MESH_PENDING;
			break;
		default:
			rep->answer = FG_MESH_FULL;
		}
	}
	fg_gw_mesh_send(gw, from, &reply);
}

static void apply_load_reply(struct fg_gateway *gw,
			     const fg_mesh_packet *packet, fg_ms now)
{
	const fg_mesh_load_rep *rep = &packet->body.fg_mesh_body_u.load_rep;
	struct fg_fleet_ep *ep = fg_fleet_find_hash(gw->fleet, rep->ep);
	struct fg_ep_adapter *a;

	if (ep == NULL)
		return;
	if (rep->answer == FG_MESH_RESIDENT) {
		a = fg_ep_adapter_find_or_add(ep, now, rep->adapter);
		if (a == NULL)
			return;
		a->version = MAX(a->version, 1);
		a->resident_at = now;
		fg_gwreq_on_resident(gw, ep);
	} else if (rep->answer != FG_MESH_PENDING) {
		fg_gwreq_on_load_refused(gw, ep, rep->adapter);
	}
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	static char bytes[4096];

	(void)handle;
	(void)suggested;
	buf->base = bytes;
	buf->len = sizeof(bytes);
}

static void on_packet(uv_udp_t *udp, ssize_t n, const uv_buf_t *buf,
		      const struct sockaddr *from, unsigned int flags)
{
	struct fg_gateway *gw = udp->data;
	uv_buf_t bytes = uv_buf_init(buf->base, (unsigned int)MAX(n, 0));
	fg_mesh_packet packet;
	char ip[INET_ADDRSTRLEN];
	char address[FG_PEER_TEXT_BYTES];

	if (n <= 0 || from == NULL || (flags & UV_UDP_PARTIAL) != 0)
		return;
	if (!fg_mesh_decode(buf->base, (size_t)n, &packet)) {
		fg_gw_count_event(gw, "mesh_refused", NULL);
		return;
	}
	uv_ip4_name((const struct sockaddr_in *)from, ip, sizeof(ip));
	g_snprintf(address, sizeof(address), "%s:%u", ip,
		   ntohs(((const struct sockaddr_in *)from)->sin_port));
	switch (packet.body.kind) {
	case FG_MESH_HEARTBEAT:
		apply_heartbeat(gw, &packet, &bytes, fg_clock_now());
		break;
	case FG_MESH_LOAD_REQ:
		answer_load_request(gw, &packet, address);
		break;
	case FG_MESH_LOAD_REP:
		apply_load_reply(gw, &packet, fg_clock_now());
		break;
	case FG_MESH_USES:
		apply_uses(gw, &packet, fg_clock_now());
		break;
	case FG_MESH_TOTALS_ASK:
		answer_totals_request(gw, &packet, address);
		break;
	case FG_MESH_TOTALS:
		apply_totals_reply(gw, &packet);
		break;
	case FG_MESH_NOTES:
		fg_gw_blame_apply_notes(gw, &packet, fg_clock_now());
		break;
	case FG_MESH_ORIGINS:
		fg_gw_origin_apply(gw, &packet);
		break;
	case FG_MESH_ORIGIN_ASK:
		fg_gw_origin_answer_ask(gw, &packet, address);
		break;
	case FG_MESH_EP_SAID:
		fg_gw_tunnel_apply_said(gw, &packet);
		break;
	case FG_MESH_ORIGIN_REP:
		fg_gw_origin_apply_reply(gw, &packet);
		break;
	case FG_MESH_QUOTA_ASK:
		fg_gw_quota_answer_ask(gw, &packet, address);
		break;
	case FG_MESH_QUOTA_REP:
		fg_gw_quota_apply_reply(gw, &packet);
		break;
	}
	fg_mesh_clear(&packet);
}

int fg_gw_mesh_open(struct fg_gateway *gw)
{
	struct sockaddr_in at;
	int rc;

	gw->crashes = g_array_new(FALSE, FALSE, sizeof(struct fg_crash_notice));
	if (!fg_address_parse(gw->conf->mesh, &at))
		return UV_EINVAL;
	uv_udp_init(&gw->loop, &gw->mesh);
	gw->mesh.data = gw;
	rc = uv_udp_bind(&gw->mesh, (struct sockaddr *)&at, 0);
	if (rc == 0)
		rc = uv_udp_recv_start(&gw->mesh, on_alloc, on_packet);
	return rc;
}

void fg_gw_mesh_close(struct fg_gateway *gw)
{
	if (gw->mesh.data != NULL)
		uv_close((uv_handle_t *)&gw->mesh, NULL);
	gw->mesh.data = NULL;
}
