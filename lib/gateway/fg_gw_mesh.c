/* Heartbeats, load requests and usage reports between instances. */
#include "gateway/fg_gateway_internal.h"

#include <string.h>

/* Heartbeats inside a region: soon after something changed, at the latest each
 * NEAR_MAX_MS. With many neighbours the least interval grows, so that
 * heartbeats stay a small part of an instance's processor time. */
#define NEAR_MIN_MS 100
#define NEAR_MS_PER_PEER 8
#define NEAR_MAX_MS 250
#define FAR_MIN_MS 400
#define FAR_MS_PER_PEER 16
/* Entries of one datagram, so that it fits FG_MESH_PACKET_BYTES. */
#define OWNS_MAX 4
#define HELD_MAX 12
#define CRASHES_MAX 16
#define USES_MAX 40
/* A crash is reported in this many heartbeats, since each may be lost. */
#define CRASH_REPEATS 3

struct crash_notice {
	fg_mesh_crash crash;
	uint32_t left;
};

/* ---- Sending ---- */

static void send_bytes(struct fg_gateway *gw, const char *address,
		       const char *bytes, size_t len)
{
	struct sockaddr_in to;
	uv_buf_t out = uv_buf_init((char *)bytes, (unsigned int)len);

	if (!fg_link_parse(address, &to))
		return;
	/* A datagram that cannot be sent now counts as lost. */
	(void)uv_udp_try_send(&gw->mesh, &out, 1, (struct sockaddr *)&to);
}

static void send_packet(struct fg_gateway *gw, const char *address,
			const fg_mesh_packet *packet)
{
	char buf[FG_MESH_PACKET_BYTES];
	size_t len;

	if (!fg_mesh_encode(packet, buf, sizeof(buf), &len)) {
		fg_log(FG_LOG_ERROR, "mesh", "packet_too_large", NULL);
		return;
	}
	send_bytes(gw, address, buf, len);
}

static fg_mesh_state state_of(const struct fg_gateway *gw)
{
	if (gw->stopping)
		return FG_MESH_LEAVING;
	return fg_gateway_ready(gw) ? FG_MESH_READY : FG_MESH_STARTING;
}

struct heartbeat_lists {
	fg_mesh_own owns[OWNS_MAX];
	fg_mesh_held held[OWNS_MAX][HELD_MAX];
	fg_mesh_crash crashes[CRASHES_MAX];
};

static uint32_t put_crashes(struct fg_gateway *gw, struct heartbeat_lists *b)
{
	uint32_t n = 0;

	for (guint i = 0; i < gw->crashes->len && n < CRASHES_MAX; i++)
		b->crashes[n++] =
			g_array_index(gw->crashes, struct crash_notice, i)
				.crash;
	return n;
}

static void put_own(const struct fg_fleet_ep *ep, fg_mesh_own *own,
		    fg_mesh_held *held)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < ep->n_adapters && n < HELD_MAX; i++) {
		if (ep->adapters[i].version == 0 &&
		    (ep->adapters[i].coming == 0 ||
		     ep->adapters[i].coming != ep->resident_at))
			continue;
		held[n].adapter = ep->adapters[i].key;
		held[n++].ver = ep->adapters[i].version;
	}
	own->ep = ep->hash;
	own->running = ep->running + ep->peers_running;
	own->pending_tokens = ep->pending_tokens + ep->peers_pending_tokens;
	own->spare_age_ms = ep->spare_age_ms;
	own->queue = ep->queue;
	own->fetch_wait_ms = ep->fetch_wait_ms;
	own->held.held_len = n;
	own->held.held_val = held;
}

/* Engines ordered here from *at on; returns how many were put. */
static uint32_t put_owns(const struct fg_gateway *gw, struct heartbeat_lists *b,
			 guint *at)
{
	const GPtrArray *all = fg_fleet_all(gw->fleet);
	uint32_t n = 0;

	for (; *at < all->len && n < OWNS_MAX; (*at)++) {
		const struct fg_fleet_ep *ep = all->pdata[*at];
		const struct fg_ep_user *u = ep->user;

		if (u == NULL || u->slots == NULL)
			continue;
		put_own(ep, &b->owns[n], b->held[n]);
		n++;
	}
	return n;
}

static void send_to_peers(struct fg_gateway *gw, const fg_mesh_packet *packet,
			  bool near)
{
	const GPtrArray *peers = fg_peers_all(gw->peers);
	fg_ms now = fg_clock_now();

	for (guint i = 0; i < peers->len; i++) {
		const struct fg_mesh_peer *p = peers->pdata[i];

		if (p->near == near &&
		    (near || fg_peers_far_target(gw->peers, now, p)))
			send_packet(gw, p->row.mesh, packet);
	}
}

/* Passes a heartbeat of another region on to those of this data centre that
 * the sender left out. */
static void pass_on(struct fg_gateway *gw, const char *bytes, size_t len)
{
	const GPtrArray *peers = fg_peers_all(gw->peers);

	for (guint i = 0; i < peers->len; i++) {
		const struct fg_mesh_peer *p = peers->pdata[i];

		if (!p->store.reads && strcmp(p->row.dc, gw->conf->dc) == 0)
			send_bytes(gw, p->row.mesh, bytes, len);
	}
}

static void init_packet(struct fg_gateway *gw, fg_mesh_packet *packet,
			fg_mesh_kind kind)
{
	memset(packet, 0, sizeof(*packet));
	packet->format = FG_MESH_FORMAT;
	packet->incarnation = gw->incarnation;
	packet->body.kind = kind;
}

/* Sends one hb, in several datagrams when it has many parts. */
static void send_heartbeat(struct fg_gateway *gw, bool near)
{
	struct heartbeat_lists b;
	fg_mesh_packet packet;
	fg_mesh_heartbeat *hb = &packet.body.fg_mesh_body_u.hb;
	guint at = 0;

	init_packet(gw, &packet, FG_MESH_HEARTBEAT);
	hb->state = state_of(gw);
	fg_relay_status(gw, fg_clock_now(), &hb->store);
	hb->owns.owns_val = b.owns;
	hb->crashes.crashes_val = b.crashes;
	hb->crashes.crashes_len = put_crashes(gw, &b);
	do {
		packet.seq = ++gw->heartbeat_seq;
		hb->owns.owns_len = put_owns(gw, &b, &at);
		send_to_peers(gw, &packet, near);
		hb->crashes.crashes_len = 0;
	} while (hb->owns.owns_len == OWNS_MAX);
}

static void put_use(fg_mesh_use *use, const struct fg_fleet_ep *ep,
		    const struct fg_ep_adapter *a)
{
	use->ep = ep->hash;
	use->adapter = a->key;
	use->running = a->running;
	use->pending_tokens = a->pending_tokens;
}

void fg_mesh_send_use(struct fg_gateway *gw, struct fg_fleet_ep *ep,
		      struct fg_ep_adapter *a)
{
	const struct fg_mesh_peer *peer = fg_peers_find(gw->peers, ep->owner);
	fg_mesh_packet packet;
	fg_mesh_use use;

	if (peer == NULL)
		return;
	a->notified_at = fg_clock_now();
	put_use(&use, ep, a);
	init_packet(gw, &packet, FG_MESH_USES);
	packet.body.fg_mesh_body_u.uses.list.list_len = 1;
	packet.body.fg_mesh_body_u.uses.list.list_val = &use;
	send_packet(gw, peer->row.mesh, &packet);
}

/* Repeats to one owner the requests in flight at its engines. */
static void repeat_uses(struct fg_gateway *gw, const struct fg_mesh_peer *peer,
			fg_ms now)
{
	const GPtrArray *all = fg_fleet_all(gw->fleet);
	fg_mesh_use list[USES_MAX];
	fg_mesh_packet packet;
	uint32_t n = 0;

	for (guint i = 0; i < all->len; i++) {
		struct fg_fleet_ep *ep = all->pdata[i];

		if (ep->owner != peer->row.incarnation)
			continue;
		for (uint32_t k = 0; k < ep->n_adapters && n < USES_MAX; k++) {
			struct fg_ep_adapter *a = &ep->adapters[k];

			if (a->running == 0 ||
			    now - a->notified_at < FG_USES_REPEAT_MS)
				continue;
			a->notified_at = now;
			put_use(&list[n++], ep, a);
		}
	}
	if (n == 0)
		return;
	init_packet(gw, &packet, FG_MESH_USES);
	packet.body.fg_mesh_body_u.uses.list.list_len = n;
	packet.body.fg_mesh_body_u.uses.list.list_val = list;
	send_packet(gw, peer->row.mesh, &packet);
}

static void repeat_all_uses(struct fg_gateway *gw, fg_ms now)
{
	const GPtrArray *peers = fg_peers_all(gw->peers);

	for (guint i = 0; i < peers->len; i++)
		repeat_uses(gw, peers->pdata[i], now);
}

static void age_crashes(struct fg_gateway *gw)
{
	for (guint i = gw->crashes->len; i > 0; i--) {
		struct crash_notice *t =
			&g_array_index(gw->crashes, struct crash_notice, i - 1);

		if (--t->left == 0)
			g_array_remove_index_fast(gw->crashes, i - 1);
	}
}

static void near_heartbeat(struct fg_gateway *gw, fg_ms now)
{
	send_heartbeat(gw, true);
	gw->near_heartbeat_at = now;
	gw->heartbeat_due = false;
}

void fg_mesh_heartbeat_now(struct fg_gateway *gw)
{
	near_heartbeat(gw, fg_clock_now());
}

void fg_mesh_ask_totals(struct fg_gateway *gw, struct fg_fleet_ep *ep,
			uint32_t number)
{
	const struct fg_mesh_peer *peer = fg_peers_find(gw->peers, ep->owner);
	fg_mesh_packet packet;

	if (peer == NULL)
		return;
	init_packet(gw, &packet, FG_MESH_TOTALS_ASK);
	packet.body.fg_mesh_body_u.totals_ask.request = number;
	packet.body.fg_mesh_body_u.totals_ask.ep = ep->hash;
	send_packet(gw, peer->row.mesh, &packet);
}

void fg_mesh_send_load_req(struct fg_gateway *gw, uint64_t owner,
			   struct fg_fleet_ep *ep, const char *model,
			   const char *adapter, uint64_t version)
{
	const struct fg_mesh_peer *peer = fg_peers_find(gw->peers, owner);
	fg_mesh_packet packet;
	fg_mesh_load_req *req = &packet.body.fg_mesh_body_u.load_req;

	if (peer == NULL)
		return;
	init_packet(gw, &packet, FG_MESH_LOAD_REQ);
	req->ep = ep->hash;
	req->model = (char *)model;
	req->adapter = (char *)adapter;
	req->ver = version;
	send_packet(gw, peer->row.mesh, &packet);
}

/* ---- Receiving ---- */

static void take_uses(struct fg_gateway *gw, const fg_mesh_packet *packet,
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
			fg_orders_take_use(gw, ep, &use);
	}
}

/* Totals that an owner tells include what this instance reported to it. */
static void take_totals(struct fg_fleet_ep *ep, uint32_t running,
			uint32_t pending_tokens)
{
	ep->peers_running = running - MIN(running, ep->running);
	ep->peers_pending_tokens =
		pending_tokens - MIN(pending_tokens, ep->pending_tokens);
}

static void take_own(struct fg_gateway *gw, uint64_t sender,
		     const fg_mesh_own *own, fg_ms now)
{
	struct fg_fleet_ep *ep = fg_fleet_find_hash(gw->fleet, own->ep);
	struct fg_fleet_held held[FG_MESH_HELD_MAX];
	uint32_t n = 0;

	if (ep == NULL || fg_claims_holder(gw->claims, ep->facts.id) != sender)
		return;
	for (u_int i = 0; i < own->held.held_len; i++) {
		const fg_mesh_held *h = &own->held.held_val[i];
		struct fg_ep_adapter *a;

		if (h->ver != 0) {
			held[n].key = h->adapter;
			held[n++].version = h->ver;
			continue;
		}
		a = fg_ep_adapter_get(ep, now, h->adapter);
		if (a != NULL)
			a->coming = now;
	}
	fg_ep_set_resident(ep, now, held, n);
	ep->resident_at = now;
	ep->owner = sender;
	ep->spare_age_ms = own->spare_age_ms;
	ep->queue = own->queue;
	ep->fetch_wait_ms = own->fetch_wait_ms;
	take_totals(ep, own->running, own->pending_tokens);
	fg_gwreq_resident(gw, ep);
}

static void take_totals_ask(struct fg_gateway *gw, const fg_mesh_packet *packet,
			    const char *from)
{
	const fg_mesh_totals_ask *ask = &packet->body.fg_mesh_body_u.totals_ask;
	const struct fg_fleet_ep *ep = fg_fleet_find_hash(gw->fleet, ask->ep);
	fg_mesh_packet reply;
	fg_mesh_totals *totals = &reply.body.fg_mesh_body_u.totals;

	if (ep == NULL)
		return;
	init_packet(gw, &reply, FG_MESH_TOTALS);
	totals->request = ask->request;
	totals->ep = ask->ep;
	totals->running = ep->running + ep->peers_running;
	totals->pending_tokens = ep->pending_tokens + ep->peers_pending_tokens;
	send_packet(gw, from, &reply);
}

static void take_totals_reply(struct fg_gateway *gw,
			      const fg_mesh_packet *packet)
{
	const fg_mesh_totals *totals = &packet->body.fg_mesh_body_u.totals;
	struct fg_fleet_ep *ep = fg_fleet_find_hash(gw->fleet, totals->ep);

	if (ep != NULL && ep->owner == packet->incarnation)
		take_totals(ep, totals->running, totals->pending_tokens);
	fg_gwreq_totals(gw, totals->request);
}

static void take_crash(struct fg_gateway *gw, uint64_t by,
		       const fg_mesh_crash *crash, fg_ms now)
{
	fg_suspect ev = {
		.fingerprint = crash->fingerprint,
		.ep = crash->ep,
		.event = FG_SUSPECT_CRASH,
		.req = crash->req,
	};

	fg_suspects_event(gw->suspects, now, by, &ev);
}

static void take_heartbeat(struct fg_gateway *gw, const fg_mesh_packet *packet,
			   const uv_buf_t *bytes, fg_ms now)
{
	const fg_mesh_heartbeat *hb = &packet->body.fg_mesh_body_u.hb;
	struct fg_mesh_peer *peer =
		fg_peers_find(gw->peers, packet->incarnation);

	if (peer == NULL)
		return;
	/* Once only: two that read would send it to each other for ever. */
	if (!peer->near && gw->reader == 0 &&
	    (int32_t)(packet->seq - peer->seq) > 0)
		pass_on(gw, bytes->base, bytes->len);
	fg_peers_heartbeat(gw->peers, now, packet->incarnation, packet->seq,
			   hb);
	fg_relay_heard(gw, peer, now);
	if (hb->store.feeds[FG_FEED_CONFIG].newest >
	    gw->feeds[FG_FEED_CONFIG].newest)
		fg_sync_config_behind(gw, now);
	for (u_int i = 0; i < hb->owns.owns_len; i++)
		take_own(gw, packet->incarnation, &hb->owns.owns_val[i], now);
	for (u_int i = 0; i < hb->crashes.crashes_len; i++)
		take_crash(gw, packet->incarnation, &hb->crashes.crashes_val[i],
			   now);
}

static void take_load_req(struct fg_gateway *gw, const fg_mesh_packet *packet,
			  const char *from)
{
	const fg_mesh_load_req *req = &packet->body.fg_mesh_body_u.load_req;
	struct fg_fleet_ep *ep = fg_fleet_find_hash(gw->fleet, req->ep);
	struct fg_ep_user *u = ep == NULL ? NULL : ep->user;
	fg_mesh_packet reply;
	fg_mesh_load_rep *rep = &reply.body.fg_mesh_body_u.load_rep;

	init_packet(gw, &reply, FG_MESH_LOAD_REP);
	rep->ep = req->ep;
	rep->adapter = fg_adapter_key(req->model, req->adapter);
	rep->answer = FG_MESH_NOT_OWNER;
	if (u != NULL && u->slots != NULL) {
		switch (fg_orders_want(gw, ep, req->model, req->adapter,
				       req->ver)) {
		case FG_SLOT_RESIDENT:
			rep->answer = FG_MESH_RESIDENT;
			break;
		case FG_SLOT_COMING:
			rep->answer = FG_MESH_COMING;
			break;
		default:
			rep->answer = FG_MESH_FULL;
		}
	}
	send_packet(gw, from, &reply);
}

static void take_load_rep(struct fg_gateway *gw, const fg_mesh_packet *packet,
			  fg_ms now)
{
	const fg_mesh_load_rep *rep = &packet->body.fg_mesh_body_u.load_rep;
	struct fg_fleet_ep *ep = fg_fleet_find_hash(gw->fleet, rep->ep);
	struct fg_ep_adapter *a;

	if (ep == NULL)
		return;
	if (rep->answer == FG_MESH_RESIDENT) {
		a = fg_ep_adapter_get(ep, now, rep->adapter);
		if (a == NULL)
			return;
		a->version = MAX(a->version, 1);
		a->seen = now;
		fg_gwreq_resident(gw, ep);
	} else if (rep->answer != FG_MESH_COMING) {
		fg_gwreq_no_load(gw, ep, rep->adapter);
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
		fg_gw_count(gw, "mesh_refused", NULL);
		return;
	}
	uv_ip4_name((const struct sockaddr_in *)from, ip, sizeof(ip));
	g_snprintf(address, sizeof(address), "%s:%u", ip,
		   ntohs(((const struct sockaddr_in *)from)->sin_port));
	switch (packet.body.kind) {
	case FG_MESH_HEARTBEAT:
		take_heartbeat(gw, &packet, &bytes, fg_clock_now());
		break;
	case FG_MESH_LOAD_REQ:
		take_load_req(gw, &packet, address);
		break;
	case FG_MESH_LOAD_REP:
		take_load_rep(gw, &packet, fg_clock_now());
		break;
	case FG_MESH_USES:
		take_uses(gw, &packet, fg_clock_now());
		break;
	case FG_MESH_TOTALS_ASK:
		take_totals_ask(gw, &packet, address);
		break;
	case FG_MESH_TOTALS:
		take_totals_reply(gw, &packet);
		break;
	}
	fg_mesh_clear(&packet);
}

/* ---- Clock ---- */

void fg_mesh_tick(struct fg_gateway *gw, fg_ms now)
{
	fg_ms peers = fg_peers_all(gw->peers)->len;
	fg_ms least_ms = MAX(NEAR_MIN_MS, NEAR_MS_PER_PEER * peers);
	fg_ms far_ms = MAX(FAR_MIN_MS, FAR_MS_PER_PEER * peers);

	repeat_all_uses(gw, now);
	if (now - gw->near_heartbeat_at >= NEAR_MAX_MS ||
	    (gw->heartbeat_due && now - gw->near_heartbeat_at >= least_ms))
		near_heartbeat(gw, now);
	if (now - gw->far_heartbeat_at >= far_ms) {
		send_heartbeat(gw, false);
		gw->far_heartbeat_at = now;
		age_crashes(gw);
	}
}

void fg_mesh_report_crash(struct fg_gateway *gw, const fg_mesh_crash *crash)
{
	struct crash_notice t = { .crash = *crash, .left = CRASH_REPEATS };

	take_crash(gw, gw->incarnation, crash, fg_clock_now());
	g_array_append_val(gw->crashes, t);
	gw->heartbeat_due = true;
}

int fg_mesh_open(struct fg_gateway *gw)
{
	struct sockaddr_in at;
	int rc;

	gw->crashes = g_array_new(FALSE, FALSE, sizeof(struct crash_notice));
	if (!fg_link_parse(gw->conf->mesh, &at))
		return UV_EINVAL;
	uv_udp_init(&gw->loop, &gw->mesh);
	gw->mesh.data = gw;
	rc = uv_udp_bind(&gw->mesh, (struct sockaddr *)&at, 0);
	if (rc == 0)
		rc = uv_udp_recv_start(&gw->mesh, on_alloc, on_packet);
	return rc;
}
