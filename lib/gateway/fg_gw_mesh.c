/* Messages to other instances: heartbeats, requests, reports. */
#include "gateway/fg_gateway_internal.h"

#include <string.h>

/* Heartbeats inside a data centre are sent soon after a change, and at least
 * every NEAR_MAX_MS; those to other data centres of the region every REGION_MS.
 * The minimum intervals grow with the number of peers, so that heartbeats take
 * a small part of an instance's CPU time. */
#define NEAR_MIN_MS 100
#define NEAR_MS_PER_PEER 8
#define NEAR_MAX_MS 250
#define REGION_MS 300
#define FAR_MIN_MS 400
#define FAR_MS_PER_PEER 16
/* Longest interval of those that read the store, when there are workspaces:
 * from these heartbeats other regions learn within 5 s that a key was
 * withdrawn. There is one such instance in each data centre. */
#define FAR_READER_MAX_MS 1100
/* List entries of one datagram, chosen to fit FG_MESH_PACKET_BYTES. */
#define OWNED_MAX 4
#define HELD_MAX 12
#define CRASHES_MAX 16
#define USES_MAX 40
/* Number of heartbeats to other regions that carry a crash, since each may be
 * lost. Those to this region carry it for the same time. */
#define CRASH_REPEATS 3

/* ---- Sending ---- */

void fg_gw_mesh_send_bytes(struct fg_gateway *gw, const char *address,
			   const char *bytes, size_t len)
{
	struct sockaddr_in to;
	uv_buf_t out = uv_buf_init((char *)bytes, (unsigned int)len);

	/* libuv binds a new socket to a handle that is being closed. */
	if (gw->mesh.data == NULL || !fg_address_parse(address, &to))
		return;
	/* A datagram that cannot be sent now is dropped. */
	(void)uv_udp_try_send(&gw->mesh, &out, 1, (struct sockaddr *)&to);
}

void fg_gw_mesh_send(struct fg_gateway *gw, const char *address,
		     const fg_mesh_packet *packet)
{
	char buf[FG_MESH_PACKET_BYTES];
	size_t len;

	if (!fg_mesh_encode(packet, buf, sizeof(buf), &len)) {
		fg_log(FG_LOG_ERROR, "mesh", "packet_too_large", NULL);
		return;
	}
	fg_gw_mesh_send_bytes(gw, address, buf, len);
}

static fg_mesh_state heartbeat_state(const struct fg_gateway *gw)
{
	if (fg_gw_is_stopping(gw))
		return FG_MESH_LEAVING;
	if (!fg_gateway_ready(gw))
		return FG_MESH_STARTING;
	return gw->cut ? FG_MESH_CUT : FG_MESH_READY;
}

struct heartbeat_lists {
	fg_mesh_engine owns[OWNED_MAX];
	fg_mesh_adapter held[OWNED_MAX][HELD_MAX];
	fg_mesh_crash crashes[CRASHES_MAX];
};

static uint32_t fill_crashes(struct fg_gateway *gw, struct heartbeat_lists *b)
{
	uint32_t n = 0;

	for (guint i = 0; i < gw->crashes->len && n < CRASHES_MAX; i++)
		b->crashes[n++] =
			g_array_index(gw->crashes, struct fg_crash_notice, i)
				.crash;
	return n;
}

static void fill_owned_engine(const struct fg_fleet_ep *ep, fg_mesh_engine *own,
			      fg_mesh_adapter *held)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < ep->n_adapters && n < HELD_MAX; i++) {
		if (ep->adapters[i].version == 0 &&
		    (ep->adapters[i].pending_at == 0 ||
		     ep->adapters[i].pending_at != ep->resident_at))
			continue;
		held[n].adapter = ep->adapters[i].key;
		held[n++].ver = ep->adapters[i].version;
	}
	own->ep = ep->hash;
	own->running = ep->running + ep->peers_running;
	own->pending_tokens = fg_gw_pack_tokens(ep->pending_tokens +
						ep->peers_pending_tokens);
	own->spare_age_ms = ep->spare_age_ms;
	own->queue = ep->queue;
	own->fetch_wait_ms = ep->fetch_wait_ms;
	own->adapters.adapters_len = n;
	own->adapters.adapters_val = held;
}

/* Fills in up to OWNED_MAX engines ordered here, beginning at index *at of the
 * fleet, and advances *at. Returns how many were filled in. */
static uint32_t fill_owned_engines(const struct fg_gateway *gw,
				   struct heartbeat_lists *b, guint *at)
{
	const GPtrArray *all = fg_fleet_all(gw->fleet);
	uint32_t n = 0;

	for (; *at < all->len && n < OWNED_MAX; (*at)++) {
		const struct fg_fleet_ep *ep = all->pdata[*at];
		const struct fg_ep_local *local = ep->user;

		if (local == NULL || local->slots == NULL)
			continue;
		fill_owned_engine(ep, &b->owns[n], b->held[n]);
		n++;
	}
	return n;
}

/* Who gets a heartbeat. */
enum reach {
	REACH_DC,
	REACH_REGION, /* the other data centres of the region */
	REACH_FAR,    /* the other regions */
};

static enum reach reach_of(const struct fg_mesh_peer *p)
{
	if (p->same_dc)
		return REACH_DC;
	return p->same_region ? REACH_REGION : REACH_FAR;
}

static void send_to_peers(struct fg_gateway *gw, const fg_mesh_packet *packet,
			  enum reach reach)
{
	const GPtrArray *peers = fg_peers_all(gw->peers);
	fg_ms now = fg_clock_now();

	for (guint i = 0; i < peers->len; i++) {
		const struct fg_mesh_peer *p = peers->pdata[i];

		if (reach_of(p) == reach && !p->retired &&
		    (reach == REACH_DC ||
		     fg_peers_is_target(gw->peers, now, p)))
			fg_gw_mesh_send(gw, p->row.mesh, packet);
	}
}

void fg_gw_mesh_init_packet(struct fg_gateway *gw, fg_mesh_packet *packet,
			    fg_mesh_kind kind)
{
	memset(packet, 0, sizeof(*packet));
	packet->format = FG_MESH_FORMAT;
	packet->incarnation = gw->incarnation;
	packet->body.kind = kind;
}

/* Sends one heartbeat, in several datagrams when it lists many engines. */
static void send_heartbeat(struct fg_gateway *gw, enum reach reach)
{
	struct heartbeat_lists b;
	fg_mesh_packet packet;
	fg_mesh_heartbeat *hb = &packet.body.fg_mesh_body_u.hb;
	guint at = 0;

	fg_gw_mesh_init_packet(gw, &packet, FG_MESH_HEARTBEAT);
	hb->state = heartbeat_state(gw);
	fg_gw_relay_fill_status(gw, fg_clock_now(), &hb->store);
	hb->engines.engines_val = b.owns;
	hb->crashes.crashes_val = b.crashes;
	hb->crashes.crashes_len = fill_crashes(gw, &b);
	do {
		packet.seq = ++gw->heartbeat_seq;
		hb->engines.engines_len = fill_owned_engines(gw, &b, &at);
		send_to_peers(gw, &packet, reach);
		hb->crashes.crashes_len = 0;
	} while (hb->engines.engines_len == OWNED_MAX);
}

static void fill_use(fg_mesh_use *use, const struct fg_fleet_ep *ep,
		     const struct fg_ep_adapter *a)
{
	use->ep = ep->hash;
	use->adapter = a->key;
	use->running = a->running;
	use->pending_tokens = fg_gw_pack_tokens(a->pending_tokens);
}

void fg_gw_mesh_send_use(struct fg_gateway *gw, struct fg_fleet_ep *ep,
			 struct fg_ep_adapter *a)
{
	const struct fg_mesh_peer *peer = fg_peers_find(gw->peers, ep->owner);
	fg_mesh_packet packet;
	fg_mesh_use use;

	if (peer == NULL)
		return;
	a->notified_at = fg_clock_now();
	fill_use(&use, ep, a);
	fg_gw_mesh_init_packet(gw, &packet, FG_MESH_USES);
	packet.body.fg_mesh_body_u.uses.list.list_len = 1;
	packet.body.fg_mesh_body_u.uses.list.list_val = &use;
	fg_gw_mesh_send(gw, peer->row.mesh, &packet);
}

/* Reports to one owner again what is in flight at its engines. */
static void resend_uses(struct fg_gateway *gw, const struct fg_mesh_peer *peer,
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
			fill_use(&list[n++], ep, a);
		}
	}
	if (n == 0)
		return;
	fg_gw_mesh_init_packet(gw, &packet, FG_MESH_USES);
	packet.body.fg_mesh_body_u.uses.list.list_len = n;
	packet.body.fg_mesh_body_u.uses.list.list_val = list;
	fg_gw_mesh_send(gw, peer->row.mesh, &packet);
}

static void resend_all_uses(struct fg_gateway *gw, fg_ms now)
{
	const GPtrArray *peers = fg_peers_all(gw->peers);

	for (guint i = 0; i < peers->len; i++)
		resend_uses(gw, peers->pdata[i], now);
}

static void expire_crashes(struct fg_gateway *gw)
{
	for (guint i = gw->crashes->len; i > 0; i--) {
		struct fg_crash_notice *notice = &g_array_index(
			gw->crashes, struct fg_crash_notice, i - 1);

		if (--notice->left == 0)
			g_array_remove_index_fast(gw->crashes, i - 1);
	}
}

static void send_near_heartbeat(struct fg_gateway *gw, fg_ms now)
{
	send_heartbeat(gw, REACH_DC);
	gw->near_heartbeat_at = now;
	gw->heartbeat_due = false;
}

void fg_gw_mesh_send_heartbeat(struct fg_gateway *gw)
{
	send_near_heartbeat(gw, fg_clock_now());
	send_heartbeat(gw, REACH_REGION);
}

void fg_gw_mesh_request_totals(struct fg_gateway *gw, struct fg_fleet_ep *ep,
			       uint32_t local_id)
{
	const struct fg_mesh_peer *peer = fg_peers_find(gw->peers, ep->owner);
	fg_mesh_packet packet;

	if (peer == NULL)
		return;
	fg_gw_mesh_init_packet(gw, &packet, FG_MESH_TOTALS_ASK);
	packet.body.fg_mesh_body_u.totals_ask.request = local_id;
	packet.body.fg_mesh_body_u.totals_ask.ep = ep->hash;
	fg_gw_mesh_send(gw, peer->row.mesh, &packet);
}

void fg_gw_mesh_send_load_req(struct fg_gateway *gw, uint64_t owner,
			      struct fg_fleet_ep *ep, const char *model,
			      const char *adapter, uint64_t version)
{
	const struct fg_mesh_peer *peer = fg_peers_find(gw->peers, owner);
	fg_mesh_packet packet;
	fg_mesh_load_req *req = &packet.body.fg_mesh_body_u.load_req;

	if (peer == NULL)
		return;
	fg_gw_mesh_init_packet(gw, &packet, FG_MESH_LOAD_REQ);
	req->ep = ep->hash;
	req->model = (char *)model;
	req->adapter = (char *)adapter;
	req->ver = version;
	fg_gw_mesh_send(gw, peer->row.mesh, &packet);
}

/* ---- Periodic tick ---- */

/* Instances that start together would send together forever, and what one of
 * them forwards of all the others would exceed a narrow link. */
static fg_ms random_around(struct fg_gateway *gw, fg_ms mean_ms)
{
	return mean_ms / 2 + (fg_ms)fg_rand_below(&gw->rand, (uint64_t)mean_ms);
}

static fg_ms random_far_interval_ms(struct fg_gateway *gw)
{
	fg_ms peers = fg_peers_all(gw->peers)->len;

	if (fg_gw_has_workspaces(gw) && fg_gw_relay_reads_store(gw))
		return FAR_MIN_MS +
		       (fg_ms)fg_rand_below(&gw->rand,
					    FAR_READER_MAX_MS - FAR_MIN_MS);
	return random_around(gw, MAX(FAR_MIN_MS, FAR_MS_PER_PEER * peers));
}

void fg_gw_mesh_tick(struct fg_gateway *gw, fg_ms now)
{
	fg_ms peers = fg_peers_all(gw->peers)->len;
	fg_ms near_interval_ms = MAX(NEAR_MIN_MS, NEAR_MS_PER_PEER * peers);

	resend_all_uses(gw, now);
	if (now - gw->near_heartbeat_at >= NEAR_MAX_MS ||
	    (gw->heartbeat_due &&
	     now - gw->near_heartbeat_at >= near_interval_ms))
		send_near_heartbeat(gw, now);
	if (now >= gw->region_heartbeat_due_at) {
		send_heartbeat(gw, REACH_REGION);
		gw->region_heartbeat_due_at =
			now + random_around(gw, REGION_MS);
	}
	if (now >= gw->far_heartbeat_due_at) {
		send_heartbeat(gw, REACH_FAR);
		gw->far_heartbeat_due_at = now + random_far_interval_ms(gw);
		expire_crashes(gw);
	}
}

void fg_gw_mesh_report_crash(struct fg_gateway *gw, const fg_mesh_crash *crash)
{
	struct fg_crash_notice notice = { .crash = *crash,
					  .left = CRASH_REPEATS };

	fg_gw_mesh_apply_crash(gw, gw->incarnation, crash, fg_clock_now());
	g_array_append_val(gw->crashes, notice);
	gw->heartbeat_due = true;
}
