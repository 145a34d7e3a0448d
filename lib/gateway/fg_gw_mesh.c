/* Beats and asks between instances. */
#include "gateway/fg_gateway_internal.h"

#include <string.h>

/* Beats inside a region: soon after something changed, at the latest each
 * NEAR_MAX_MS. With many neighbours the least interval grows, so that beats
 * stay a small part of an instance's processor time. */
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
/* A crash is told in this many beats, since each may be lost. */
#define CRASH_REPEATS 3

struct told_crash {
	fg_mesh_crash crash;
	uint32_t left;
};

/* ---- Sending ---- */

static void send_packet(struct fg_gateway *gw, const char *address,
			const fg_mesh_packet *packet)
{
	char buf[FG_MESH_PACKET_BYTES];
	struct sockaddr_in to;
	uv_buf_t out;
	size_t len;

	if (!fg_link_parse(address, &to))
		return;
	if (!fg_mesh_encode(packet, buf, sizeof(buf), &len)) {
		fg_log(FG_LOG_ERROR, "mesh", "packet_too_large", NULL);
		return;
	}
	out = uv_buf_init(buf, (unsigned int)len);
	/* A datagram that cannot be sent now counts as lost. */
	(void)uv_udp_try_send(&gw->mesh, &out, 1, (struct sockaddr *)&to);
}

static fg_mesh_state state_of(const struct fg_gateway *gw)
{
	if (gw->stopping)
		return FG_MESH_LEAVING;
	return fg_gateway_ready(gw) ? FG_MESH_READY : FG_MESH_STARTING;
}

struct beat {
	fg_mesh_own owns[OWNS_MAX];
	fg_mesh_held held[OWNS_MAX][HELD_MAX];
	fg_mesh_crash crashes[CRASHES_MAX];
};

static uint32_t put_crashes(struct fg_gateway *gw, struct beat *b)
{
	uint32_t n = 0;

	for (guint i = 0; i < gw->crashes->len && n < CRASHES_MAX; i++)
		b->crashes[n++] =
			g_array_index(gw->crashes, struct told_crash, i).crash;
	return n;
}

static void put_own(const struct fg_fleet_ep *ep, fg_mesh_own *own,
		    fg_mesh_held *held)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < ep->n_adapters && n < HELD_MAX; i++) {
		if (ep->adapters[i].version == 0 &&
		    (ep->adapters[i].coming == 0 ||
		     ep->adapters[i].coming != ep->told))
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
static uint32_t put_owns(const struct fg_gateway *gw, struct beat *b, guint *at)
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

static void beat_peers(struct fg_gateway *gw, const fg_mesh_packet *packet,
		       bool near)
{
	const GPtrArray *peers = fg_peers_all(gw->peers);

	for (guint i = 0; i < peers->len; i++) {
		const struct fg_mesh_peer *p = peers->pdata[i];

		if (p->near == near)
			send_packet(gw, p->row.mesh, packet);
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

/* Sends one beat, in several datagrams when it has many parts. */
static void send_beat(struct fg_gateway *gw, bool near)
{
	struct beat b;
	fg_mesh_packet packet;
	fg_mesh_beat *beat = &packet.body.fg_mesh_body_u.beat;
	guint at = 0;

	init_packet(gw, &packet, FG_MESH_BEAT);
	beat->state = state_of(gw);
	beat->config = gw->config_version;
	beat->owns.owns_val = b.owns;
	beat->crashes.crashes_val = b.crashes;
	beat->crashes.crashes_len = put_crashes(gw, &b);
	do {
		packet.seq = ++gw->beat_seq;
		beat->owns.owns_len = put_owns(gw, &b, &at);
		beat_peers(gw, &packet, near);
		beat->crashes.crashes_len = 0;
	} while (beat->owns.owns_len == OWNS_MAX);
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
	a->told = fg_clock_now();
	put_use(&use, ep, a);
	init_packet(gw, &packet, FG_MESH_USES);
	packet.body.fg_mesh_body_u.uses.list.list_len = 1;
	packet.body.fg_mesh_body_u.uses.list.list_val = &use;
	send_packet(gw, peer->row.mesh, &packet);
}

/* Repeats to one owner what is in flight at its engines. */
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
			    now - a->told < FG_USES_REPEAT_MS)
				continue;
			a->told = now;
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
		struct told_crash *t =
			&g_array_index(gw->crashes, struct told_crash, i - 1);

		if (--t->left == 0)
			g_array_remove_index_fast(gw->crashes, i - 1);
	}
}

static void near_beat(struct fg_gateway *gw, fg_ms now)
{
	send_beat(gw, true);
	gw->near_beat_at = now;
	gw->beat_dirty = false;
}

void fg_mesh_beat_now(struct fg_gateway *gw)
{
	near_beat(gw, fg_clock_now());
}

void fg_mesh_send_ask(struct fg_gateway *gw, uint64_t owner,
		      struct fg_fleet_ep *ep, const char *model,
		      const char *adapter, uint64_t version)
{
	const struct fg_mesh_peer *peer = fg_peers_find(gw->peers, owner);
	fg_mesh_packet packet;
	fg_mesh_ask *ask = &packet.body.fg_mesh_body_u.ask;

	if (peer == NULL)
		return;
	init_packet(gw, &packet, FG_MESH_ASK);
	ask->ep = ep->hash;
	ask->model = (char *)model;
	ask->adapter = (char *)adapter;
	ask->ver = version;
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
			.told = now,
		};

		if (ep != NULL)
			fg_orders_take_use(gw, ep, &use);
	}
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
	ep->told = now;
	ep->owner = sender;
	ep->spare_age_ms = own->spare_age_ms;
	ep->queue = own->queue;
	ep->fetch_wait_ms = own->fetch_wait_ms;
	/* The totals hold what this instance told the owner. */
	ep->peers_running = own->running - MIN(own->running, ep->running);
	ep->peers_pending_tokens = own->pending_tokens -
				   MIN(own->pending_tokens, ep->pending_tokens);
	fg_gwreq_resident(gw, ep);
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

static void take_beat(struct fg_gateway *gw, const fg_mesh_packet *packet,
		      fg_ms now)
{
	const fg_mesh_beat *beat = &packet->body.fg_mesh_body_u.beat;
	struct fg_mesh_peer *peer =
		fg_peers_find(gw->peers, packet->incarnation);

	if (peer == NULL)
		return;
	fg_peers_beat(gw->peers, now, packet->incarnation, packet->seq, beat);
	if (beat->config > gw->config_version)
		fg_sync_config_behind(gw, now);
	for (u_int i = 0; i < beat->owns.owns_len; i++)
		take_own(gw, packet->incarnation, &beat->owns.owns_val[i], now);
	for (u_int i = 0; i < beat->crashes.crashes_len; i++)
		take_crash(gw, packet->incarnation,
			   &beat->crashes.crashes_val[i], now);
}

static void take_ask(struct fg_gateway *gw, const fg_mesh_packet *packet,
		     const char *from)
{
	const fg_mesh_ask *ask = &packet->body.fg_mesh_body_u.ask;
	struct fg_fleet_ep *ep = fg_fleet_find_hash(gw->fleet, ask->ep);
	struct fg_ep_user *u = ep == NULL ? NULL : ep->user;
	fg_mesh_packet reply;
	fg_mesh_told *told = &reply.body.fg_mesh_body_u.told;

	init_packet(gw, &reply, FG_MESH_TOLD);
	told->ep = ask->ep;
	told->adapter = fg_adapter_key(ask->model, ask->adapter);
	told->answer = FG_MESH_NOT_OWNER;
	if (u != NULL && u->slots != NULL) {
		switch (fg_orders_want(gw, ep, ask->model, ask->adapter,
				       ask->ver)) {
		case FG_SLOT_RESIDENT:
			told->answer = FG_MESH_RESIDENT;
			break;
		case FG_SLOT_COMING:
			told->answer = FG_MESH_COMING;
			break;
		default:
			told->answer = FG_MESH_FULL;
		}
	}
	send_packet(gw, from, &reply);
}

static void take_told(struct fg_gateway *gw, const fg_mesh_packet *packet,
		      fg_ms now)
{
	const fg_mesh_told *told = &packet->body.fg_mesh_body_u.told;
	struct fg_fleet_ep *ep = fg_fleet_find_hash(gw->fleet, told->ep);
	struct fg_ep_adapter *a;

	if (ep == NULL)
		return;
	if (told->answer == FG_MESH_RESIDENT) {
		a = fg_ep_adapter_get(ep, now, told->adapter);
		if (a == NULL)
			return;
		a->version = MAX(a->version, 1);
		a->seen = now;
		fg_gwreq_resident(gw, ep);
	} else if (told->answer != FG_MESH_COMING) {
		fg_gwreq_no_load(gw, ep, told->adapter);
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
	case FG_MESH_BEAT:
		take_beat(gw, &packet, fg_clock_now());
		break;
	case FG_MESH_ASK:
		take_ask(gw, &packet, address);
		break;
	case FG_MESH_TOLD:
		take_told(gw, &packet, fg_clock_now());
		break;
	case FG_MESH_USES:
		take_uses(gw, &packet, fg_clock_now());
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
	if (now - gw->near_beat_at >= NEAR_MAX_MS ||
	    (gw->beat_dirty && now - gw->near_beat_at >= least_ms))
		near_beat(gw, now);
	if (now - gw->far_beat_at >= far_ms) {
		send_beat(gw, false);
		gw->far_beat_at = now;
		age_crashes(gw);
	}
}

void fg_mesh_tell_crash(struct fg_gateway *gw, const fg_mesh_crash *crash)
{
	struct told_crash t = { .crash = *crash, .left = CRASH_REPEATS };

	take_crash(gw, gw->incarnation, crash, fg_clock_now());
	g_array_append_val(gw->crashes, t);
	gw->beat_dirty = true;
}

int fg_mesh_open(struct fg_gateway *gw)
{
	struct sockaddr_in at;
	int rc;

	gw->crashes = g_array_new(FALSE, FALSE, sizeof(struct told_crash));
	if (!fg_link_parse(gw->conf->mesh, &at))
		return UV_EINVAL;
	uv_udp_init(&gw->loop, &gw->mesh);
	gw->mesh.data = gw;
	rc = uv_udp_bind(&gw->mesh, (struct sockaddr *)&at, 0);
	if (rc == 0)
		rc = uv_udp_recv_start(&gw->mesh, on_alloc, on_packet);
	return rc;
}
