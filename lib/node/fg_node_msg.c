/* Inner messages, each to the part that it is for. */
#include "node/fg_node_internal.h"

static void take_resident(struct fg_node *n, const fg_resident *r)
{
	struct fg_ep *ep = fg_ep_find(n, r->ep);

	if (!fg_dir_on_resident(n->dir, n->now, r))
		return;
	if (r->leaving && ep != NULL)
		fg_ep_leaving(n, ep, false);
	for (u_int i = 0; i < r->av.av_len; i++)
		fg_wait_resident(n, r->av.av_val[i]);
}

static void take_leaving(struct fg_node *n, const fg_leaving *leaving)
{
	struct fg_ep *ep = fg_ep_find(n, leaving->id);

	if (ep != NULL)
		fg_ep_leaving(n, ep, false);
}

/* The seq of a pong is the time at which we sent the ping. */
static void take_pong(struct fg_node *n, uint64_t from, const fg_ping *pong)
{
	fg_confsync_on_pong(n->confsync, n->now, (fg_ms)pong->seq, from,
			    pong->revision, pong->confirm_age_ms,
			    fg_wire_confsync, n);
}

static void take_ping(struct fg_node *n, uint64_t from, const fg_ping *ping)
{
	fg_confsync_on_ping(n->confsync, n->now, from, ping->revision,
			    ping->confirm_age_ms, fg_wire_confsync, n);
}

static void dispatch_msg(struct fg_node *n, uint64_t from, const fg_msg *msg)
{
	const fg_body *b = &msg->body;

	switch (b->type) {
	case FG_MSG_PING:
		take_ping(n, from, &b->fg_body_u.ping);
		break;
	case FG_MSG_PONG:
		take_pong(n, from, &b->fg_body_u.pong);
		break;
	case FG_MSG_GRANT_REQ:
		fg_own_grant_req(n, from, &b->fg_body_u.grant_req);
		break;
	case FG_MSG_GRANT_REP:
		fg_route_grant_reply(n, from, &b->fg_body_u.grant_rep);
		break;
	case FG_MSG_RELEASE:
		fg_own_release(n, from, &b->fg_body_u.release);
		break;
	case FG_MSG_NEED:
		fg_model_msg_need(n, from, &b->fg_body_u.need);
		break;
	case FG_MSG_PLACE:
		fg_own_place(n, from, &b->fg_body_u.place);
		break;
	case FG_MSG_PLACE_REP:
		fg_model_place_rep(n, &b->fg_body_u.place_rep);
		break;
	case FG_MSG_RESIDENT:
		take_resident(n, &b->fg_body_u.resident);
		break;
	case FG_MSG_GRANTS_ASK:
		fg_route_grants_ask(n, from, &b->fg_body_u.grants_ask);
		break;
	case FG_MSG_GRANTS_TELL:
		fg_own_tell(n, from, &b->fg_body_u.grants_tell);
		break;
	case FG_MSG_HEAT:
		fg_model_msg_heat(n, &b->fg_body_u.heat);
		break;
	case FG_MSG_CONFIG_ASK:
	case FG_MSG_CONFIG_TELL:
		fg_confsync_on_msg(n->confsync, n->now, from, msg,
				   fg_wire_confsync, n);
		break;
	case FG_MSG_SUSPECT:
		fg_suspect_msg(n, from, &b->fg_body_u.suspect);
		break;
	case FG_MSG_LEAVING:
		take_leaving(n, &b->fg_body_u.leaving);
		break;
	case FG_MSG_OWNED:
		fg_owner_on_hint(n->owner, n->now, b->fg_body_u.owned.ep,
				 b->fg_body_u.owned.owner,
				 b->fg_body_u.owned.fence, fg_wire_owner, n);
		break;
	}
}

static void dispatch_ready(struct fg_node *n)
{
	while (n->ready->len > 0) {
		uint64_t id = g_array_index(n->ready, uint64_t, 0);
		struct fg_req *r = fg_req_find(n, id);

		g_array_remove_index(n->ready, 0);
		if (r != NULL)
			fg_route(n, r);
		else
			/* Answered meanwhile; the row must not stay open. */
			fg_ledger_record_outcome(n->ledger, n->now, id,
						 FG_NOT_RUN, FG_R_CANCELLED,
						 NULL, fg_wire_ledger, n);
	}
}

void fg_node_drain(struct fg_node *n)
{
	fg_msg *msg;

	if (n->draining)
		return;
	n->draining = true;
	do {
		dispatch_ready(n);
		msg = g_queue_pop_head(&n->loopback);
		if (msg != NULL)
			dispatch_msg(n, n->self, msg);
		fg_msg_free(msg);
	} while (msg != NULL || n->ready->len > 0);
	n->draining = false;
}

void fg_node_msg(struct fg_node *n, fg_ms now, uint64_t from, const fg_msg *msg)
{
	n->now = now;
	fg_member_on_msg(n->member, now, from, msg, fg_wire_member, n);
	dispatch_msg(n, from, msg);
	fg_node_drain(n);
}
