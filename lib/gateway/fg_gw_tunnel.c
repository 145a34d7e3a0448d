/* Connections of other instances to endpoints, through this one. The other end
 * of such a tunnel is in fg_gw_hop.c. */
#include "gateway/fg_gateway_internal.h"

#include <string.h>

/* Each tunnel holds at most twice PENDING_MAX_BYTES. */
#define TUNNELS_MAX 200
#define PENDING_MAX_BYTES (32 * 1024)
#define LAST_CHUNK "0\r\n\r\n"

struct fg_tunnel {
	struct fg_gateway *gw;
	struct fg_caller *near; /* the other instance; borrowed */
	struct fg_link *far;	/* the endpoint */
	struct fg_fleet_ep *ep; /* reference */
	fg_ms connect_until;
	bool open;
	bool framed; /* bytes go to `near` in chunks, with a last one at the
		      * endpoint's end */
};

static void refuse(struct fg_caller *c, unsigned int status, const char *reason,
		   const char *endpoint_id)
{
	char labels[48];

	g_snprintf(labels, sizeof(labels), "outcome=\"%s\"", reason);
	fg_gw_count_event(c->gw, "tunnels", labels);
	fg_log_routine("tunnel", "refused", "endpoint", endpoint_id, "reason",
		       reason, NULL);
	c->close_after = true;
	fg_caller_answer(c, status, NULL, 0, NULL, "", 0);
	fg_caller_finish_answer(c);
}

static void write_text(struct fg_caller *near, const char *text)
{
	fg_link_write(near->link, text, strlen(text));
}

/* Ends the tunnel because of its far side. */
static void end_far(struct fg_tunnel *t, enum fg_link_end end)
{
	struct fg_caller *near = t->near;

	if (!t->open) {
		near->tunnel = NULL;
		if (t->gw->cut)
			refuse(near, HTTP_STATUS_SERVICE_UNAVAILABLE, "cut",
			       t->ep->facts.id);
		else
			refuse(near, HTTP_STATUS_BAD_GATEWAY, "not_reached",
			       t->ep->facts.id);
		fg_gw_tunnel_free(t);
		return;
	}
	fg_log_routine("tunnel", "ended_by_endpoint", "endpoint",
		       t->ep->facts.id, "end",
		       end == FG_LINK_EOF ? "eof" : "reset", NULL);
	if (end == FG_LINK_EOF) {
		if (t->framed)
			write_text(near, LAST_CHUNK);
		fg_caller_close(near, true);
	} else {
		/* The other instance must not take a part for the whole. */
		fg_caller_abort(near);
	}
}

static void on_open(void *ctx)
{
	struct fg_tunnel *t = ctx;

	t->open = true;
	(void)fg_reach_note_ok(t->ep);
	fg_gw_count_event(t->gw, "tunnels", "outcome=\"open\"");
	if (t->framed) {
		write_text(t->near, "HTTP/1.1 200 OK\r\n"
				    "Transfer-Encoding: chunked\r\n\r\n");
		return;
	}
	write_text(t->near, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	/* A build that does not know the framing takes an orderly end for the
	 * endpoint's. */
	fg_link_reset_on_exit(t->near->link);
}

static void write_chunk(struct fg_caller *near, const char *data, size_t len)
{
	GString *chunk = g_string_sized_new(len + 16);

	g_string_append_printf(chunk, "%zx\r\n", len);
	g_string_append_len(chunk, data, (gssize)len);
	g_string_append(chunk, "\r\n");
	fg_link_write(near->link, chunk->str, chunk->len);
	g_string_free(chunk, TRUE);
}

static void on_data(void *ctx, const char *data, size_t len)
{
	struct fg_tunnel *t = ctx;

	if (t->framed)
		write_chunk(t->near, data, len);
	else
		fg_link_write(t->near->link, data, len);
	if (fg_link_pending_bytes(t->near->link) > PENDING_MAX_BYTES)
		fg_link_pause(t->far);
}

static void on_end(void *ctx, enum fg_link_end end)
{
	struct fg_tunnel *t = ctx;

	if (end == FG_LINK_REFUSED)
		fg_ep_note_unreached(t->gw, t->ep, "refused");
	end_far(t, end);
}

static void on_drained(void *ctx)
{
	struct fg_tunnel *t = ctx;

	fg_link_resume(t->near->link);
}

static const struct fg_link_ops far_ops = {
	.on_open = on_open,
	.on_data = on_data,
	.on_end = on_end,
	.on_drained = on_drained,
};

static bool wants_framing(const struct fg_caller *c)
{
	const char *framing =
		fg_h1_get_field(&c->h1.head, FG_GW_TUNNEL_FRAMING);

	return framing != NULL &&
	       strcmp(framing, FG_GW_TUNNEL_FRAMING_CHUNKED) == 0;
}

void fg_gw_tunnel_open(struct fg_caller *c, const char *endpoint_id)
{
	struct fg_gateway *gw = c->gw;
	struct fg_fleet_ep *ep = fg_fleet_find(gw->fleet, endpoint_id);
	fg_ms now = fg_clock_now();
	struct fg_tunnel *t;

	if (!fg_caller_is_instance(c)) {
		refuse(c, HTTP_STATUS_FORBIDDEN, "not_an_instance",
		       endpoint_id);
		return;
	}
	if (fg_gw_is_stopping(gw) || gw->tunnels->len >= TUNNELS_MAX ||
	    !fg_gw_has_descriptor(gw) || c->pipelined->len > 0) {
		refuse(c, HTTP_STATUS_SERVICE_UNAVAILABLE, "busy", endpoint_id);
		return;
	}
	/* What the endpoint told this instance binds its tunnels too. */
	if (ep == NULL || !fg_ep_accepts(ep, now)) {
		refuse(c, HTTP_STATUS_SERVICE_UNAVAILABLE, "not_accepted",
		       endpoint_id);
		return;
	}
	t = g_new0(struct fg_tunnel, 1);
	t->gw = gw;
	t->near = c;
	t->framed = wants_framing(c);
	t->ep = fg_ep_ref(ep);
	t->connect_until = now + fg_ep_connect_timeout_ms(gw);
	c->tunnel = t;
	g_ptr_array_add(gw->tunnels, t);
	t->far = fg_link_connect(&gw->loop, ep->facts.address, &far_ops, t);
	if (t->far == NULL)
		end_far(t, FG_LINK_REFUSED);
}

void fg_gw_tunnel_on_data(struct fg_tunnel *t, const char *data, size_t len)
{
	fg_link_write(t->far, data, len);
	if (fg_link_pending_bytes(t->far) > PENDING_MAX_BYTES)
		fg_link_pause(t->near->link);
}

uint64_t fg_gw_tunnel_unread_bytes(const struct fg_tunnel *t)
{
	return t->far == NULL ? 0 : fg_link_unread_bytes(t->far);
}

void fg_gw_tunnel_on_drained(struct fg_tunnel *t)
{
	if (t->open)
		fg_link_resume(t->far);
}

void fg_gw_tunnel_free(struct fg_tunnel *t)
{
	if (t->far != NULL)
		fg_link_close(t->far, false);
	g_ptr_array_remove_fast(t->gw->tunnels, t);
	fg_ep_unref(t->ep);
	g_free(t);
}

void fg_gw_tunnel_tick(struct fg_gateway *gw, fg_ms now)
{
	for (guint i = gw->tunnels->len; i > 0; i--) {
		struct fg_tunnel *t = gw->tunnels->pdata[i - 1];

		if (!t->open && now >= t->connect_until) {
			fg_ep_note_unreached(gw, t->ep, "connect_timeout");
			end_far(t, FG_LINK_REFUSED);
		}
	}
}

void fg_gw_tunnel_apply_said(struct fg_gateway *gw,
			     const fg_mesh_packet *packet)
{
	const fg_mesh_ep_said *said = &packet->body.fg_mesh_body_u.ep_said;
	struct fg_fleet_ep *ep = fg_fleet_find_hash(gw->fleet, said->ep);
	struct fg_wire_reply reply = { .leaving = said->leaving != 0,
				       .pause_ms = said->pause_ms };

	if (ep != NULL && fg_peers_find(gw->peers, packet->incarnation) != NULL)
		fg_ep_apply_reply(gw, ep, &reply);
}
