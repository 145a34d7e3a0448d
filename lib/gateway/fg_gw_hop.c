/* This instance's end of a tunnel: a connection to an endpoint that goes
 * through another instance. */
#include "gateway/fg_gateway_internal.h"

#include <string.h>

#define HEAD_MAX_BYTES 16384
/* Time without tunnels through an instance that refused one. */
#define PEER_RETRY_MS 500
/* A datagram may be lost. */
#define TELL_COPIES 2

struct fg_mesh_peer *fg_gw_tunnel_choose_peer(struct fg_gateway *gw, fg_ms now)
{
	const GPtrArray *peers = fg_peers_all(gw->peers);
	struct fg_mesh_peer *chosen = NULL;
	uint32_t n = 0;

	for (guint i = 0; i < peers->len; i++) {
		struct fg_mesh_peer *p = peers->pdata[i];

		if (!fg_peer_is_ready(p, now) ||
		    (p->tunnel_failed_at != 0 &&
		     now - p->tunnel_failed_at < PEER_RETRY_MS))
			continue;
		if (fg_rand_below(&gw->rand, ++n) == 0)
			chosen = p;
	}
	return chosen;
}

void fg_gw_tunnel_tell(struct fg_gateway *gw, uint64_t via,
		       const struct fg_fleet_ep *ep,
		       const struct fg_wire_reply *reply)
{
	const struct fg_mesh_peer *peer = fg_peers_find(gw->peers, via);
	fg_mesh_packet packet;
	fg_mesh_ep_said *said = &packet.body.fg_mesh_body_u.ep_said;

	if (peer == NULL || (!reply->leaving && reply->pause_ms == 0) ||
	    !fg_ep_sent_reply(ep, reply))
		return;
	fg_gw_mesh_init_packet(gw, &packet, FG_MESH_EP_SAID);
	said->ep = ep->hash;
	said->leaving = reply->leaving;
	said->pause_ms = reply->pause_ms;
	for (int i = 0; i < TELL_COPIES; i++)
		fg_gw_mesh_send(gw, peer->row.mesh, &packet);
}

/* ---- Opening ---- */

void fg_hop_ask(struct fg_ep_conn *conn)
{
	g_autofree char *call = g_strdup_printf(
		"POST " FG_GW_TUNNEL_PATH
		"%s HTTP/1.1\r\nHost: tunnel\r\n" FG_GW_TUNNEL_FRAMING
		": " FG_GW_TUNNEL_FRAMING_CHUNKED "\r\n"
		"Content-Length: 0\r\n\r\n",
		conn->ep->facts.id);

	fg_link_write(conn->link, call, strlen(call));
}

void fg_hop_fail(struct fg_ep_conn *conn, bool by_endpoint)
{
	struct fg_mesh_peer *peer = fg_peers_find(conn->gw->peers, conn->via);
	fg_ms now = fg_clock_now();

	if (peer != NULL)
		peer->tunnel_failed_at = now;
	if (conn->req == NULL) {
		fg_ep_on_confirm_failed(conn, by_endpoint);
		return;
	}
	if (by_endpoint) {
		fg_reach_note_tunnel(conn->ep, now, false);
		fg_health_record_failure(conn->ep, now);
	}
	fg_ep_conn_fail(conn, FG_SEND_NOT_SENT,
			by_endpoint ? "not_reached_by_others"
				    : "tunnel_refused");
}

static void open_hop(struct fg_ep_conn *conn)
{
	conn->tunnel_pending = false;
	fg_reach_note_tunnel(conn->ep, fg_clock_now(), true);
	if (conn->req == NULL)
		fg_ep_on_confirm_denied(conn);
	else
		fg_ep_conn_start(conn);
}

/* ---- Reading ---- */

static bool on_head(void *ctx, const struct fg_h1_head *head)
{
	struct fg_ep_conn *conn = ctx;

	if (head->status == HTTP_STATUS_OK && head->chunked)
		open_hop(conn);
	return true;
}

static void on_body(void *ctx, const char *data, size_t len)
{
	struct fg_ep_conn *conn = ctx;

	if (!conn->tunnel_pending)
		fg_ep_conn_feed(conn, data, len);
}

static const struct fg_h1_ops h1_ops = {
	.on_head = on_head,
	.on_body = on_body,
};

/* The answer to the call for the tunnel is complete. One in chunks ends where
 * the endpoint ended the connection; after another one, the endpoint's bytes
 * follow without framing. */
static void end_call(struct fg_ep_conn *conn)
{
	const struct fg_h1_head *head = &conn->hop->head;

	if (!conn->tunnel_pending)
		fg_ep_conn_end(conn, FG_LINK_EOF);
	else if (head->status == HTTP_STATUS_OK && head->keep_alive)
		open_hop(conn);
	else
		fg_hop_fail(conn, head->status == HTTP_STATUS_BAD_GATEWAY);
}

void fg_hop_feed(struct fg_ep_conn *conn, const char *data, size_t len)
{
	struct fg_h1 *hop = conn->hop;
	size_t used;

	if (hop->ended) {
		fg_ep_conn_feed(conn, data, len);
		return;
	}
	used = fg_h1_feed(hop, data, len);
	if (conn->link == NULL)
		return;
	if (hop->fault != FG_H1_OK) {
		fg_hop_on_end(conn, FG_LINK_RESET);
		return;
	}
	if (!hop->ended)
		return;
	end_call(conn);
	if (conn->link != NULL && used < len)
		fg_ep_conn_feed(conn, data + used, len - used);
}

static const char *describe_framing(const struct fg_ep_conn *conn)
{
	if (!conn->head_seen)
		return "no_head";
	if (conn->h1.head.chunked)
		return "chunked";
	return conn->h1.head.length_bytes >= 0 ? "length" : "connection_end";
}

/* The tunnel of a request ended, which its answer did not end before. */
static void log_end(const struct fg_ep_conn *conn, enum fg_link_end end)
{
	const struct fg_mesh_peer *peer =
		fg_peers_find(conn->gw->peers, conn->via);

	fg_log(FG_LOG_WARN, "tunnel", "ended", "id", conn->req->call.id,
	       "endpoint", conn->ep->facts.id, "via",
	       peer == NULL ? NULL : peer->row.name, "end",
	       end == FG_LINK_EOF ? "eof" : "reset", "framing",
	       describe_framing(conn), NULL);
	fg_gw_count_event(conn->gw, "tunnel_ends",
			  end == FG_LINK_EOF ? "end=\"eof\"" : "end=\"reset\"");
}

void fg_hop_on_end(struct fg_ep_conn *conn, enum fg_link_end end)
{
	if (conn->tunnel_pending) {
		fg_hop_fail(conn, false);
		return;
	}
	if (conn->req != NULL)
		log_end(conn, end);
	fg_ep_conn_end(conn, FG_LINK_RESET);
}

/* ---- Life ---- */

void fg_hop_init(struct fg_ep_conn *conn)
{
	conn->hop = g_new0(struct fg_h1, 1);
	conn->tunnel_pending = true;
	fg_h1_init(conn->hop, false, &h1_ops, conn, HEAD_MAX_BYTES, UINT64_MAX);
}

void fg_hop_clear(struct fg_ep_conn *conn)
{
	if (conn->hop == NULL)
		return;
	fg_h1_clear(conn->hop);
	g_free(conn->hop);
	conn->hop = NULL;
}
