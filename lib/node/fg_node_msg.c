/* Dispatches messages of other instances, and of this one to itself. */
#include "node/fg_node_internal.h"

static void on_resident(struct fg_node *n, const fg_resident *r)
{
	struct fg_ep *ep = fg_ep_find(n, r->ep);

	if (!fg_dir_on_resident(n->dir, n->now, r))
		return;
	if (r->leaving && ep != NULL)
		fg_ep_set_leaving(n, ep, false);
	for (u_int i = 0; i < r->av.av_len; i++)
		fg_wait_on_resident(n, r->av.av_val[i]);
}

static void on_leaving(struct fg_node *n, const fg_leaving *leaving)
{
	struct fg_ep *ep = fg_ep_find(n, leaving->id);

	if (ep != NULL)
		fg_ep_set_leaving(n, ep, false);
}

/* A pong echoes the ping's seq, the time at which this instance sent it. */
static void on_pong(struct fg_node *n, uint64_t from, const fg_ping *pong)
{
	fg_confsync_on_pong(n->confsync, n->now, (fg_ms)pong->seq, from,
			    pong->revision, pong->confirm_age_ms,
			    fg_node_on_confsync_act, n);
}

static void on_ping(struct fg_node *n, uint64_t from, const fg_ping *ping)
{
	fg_confsync_on_ping(n->confsync, n->now, from, ping->revision,
			    ping->confirm_age_ms, fg_node_on_confsync_act, n);
}

static void dispatch_msg(struct fg_node *n, uint64_t from, const fg_msg *msg)
{
	const fg_body *b = &msg->body;

	switch (b->type) {
	case FG_MSG_PING:
		on_ping(n, from, &b->fg_body_u.ping);
		break;
	case FG_MSG_PONG:
		on_pong(n, from, &b->fg_body_u.pong);
		break;
	case FG_MSG_GRANT_REQ:
		fg_owned_on_grant_req(n, from, &b->fg_body_u.grant_req);
		break;
	case FG_MSG_GRANT_REP:
		fg_route_on_grant_rep(n, from, &b->fg_body_u.grant_rep);
		break;
	case FG_MSG_RELEASE:
		fg_owned_on_release(n, from, &b->fg_body_u.release);
		break;
	case FG_MSG_NEED:
		fg_model_on_need(n, from, &b->fg_body_u.need);
		break;
	case FG_MSG_PLACE:
		fg_owned_on_place(n, from, &b->fg_body_u.place);
		break;
	case FG_MSG_PLACE_REP:
		fg_model_on_place_rep(n, &b->fg_body_u.place_rep);
		break;
	case FG_MSG_RESIDENT:
		on_resident(n, &b->fg_body_u.resident);
		break;
	case FG_MSG_GRANTS_ASK:
		fg_route_on_grants_ask(n, from, &b->fg_body_u.grants_ask);
		break;
	case FG_MSG_GRANTS_TELL:
		fg_owned_on_grants_tell(n, from, &b->fg_body_u.grants_tell);
		break;
	case FG_MSG_POPULARITY:
		fg_model_on_popularity(n, &b->fg_body_u.popularity);
		break;
	case FG_MSG_CONFIG_ASK:
	case FG_MSG_CONFIG_TELL:
		fg_confsync_on_msg(n->confsync, n->now, from, msg,
				   fg_node_on_confsync_act, n);
		break;
	case FG_MSG_SUSPECT:
		fg_suspect_on_msg(n, from, &b->fg_body_u.suspect);
		break;
	case FG_MSG_LEAVING:
		on_leaving(n, &b->fg_body_u.leaving);
		break;
	case FG_MSG_OWNED:
		fg_owner_on_hint(n->owner, n->now, b->fg_body_u.owned.ep,
				 b->fg_body_u.owned.owner,
				 b->fg_body_u.owned.fence, fg_node_on_owner_act,
				 n);
		break;
	}
}

static void route_ready_filings(struct fg_node *n)
{
	while (n->ready_filings->len > 0) {
		uint64_t id = g_array_index(n->ready_filings, uint64_t, 0);
		struct fg_req *r = fg_req_find(n, id);

		g_array_remove_index(n->ready_filings, 0);
		if (r != NULL)
			fg_route_req(n, r);
		else
			/* Already answered. Its ledger row must still get an
			 * outcome. */
			fg_ledger_record_outcome(
				n->ledger, n->now, id, FG_NOT_RUN,
				FG_R_CANCELLED, NULL, fg_node_on_ledger_act, n);
	}
}

void fg_node_run_deferred(struct fg_node *n)
{
	fg_msg *msg;

	if (n->running_deferred)
		return;
	n->running_deferred = true;
	do {
		route_ready_filings(n);
		msg = g_queue_pop_head(&n->loopback);
		if (msg != NULL)
			dispatch_msg(n, n->self, msg);
		fg_msg_free(msg);
	} while (msg != NULL || n->ready_filings->len > 0);
	n->running_deferred = false;
}

void fg_node_on_msg(struct fg_node *n, fg_ms now, uint64_t from,
		    const fg_msg *msg)
{
	n->now = now;
	fg_member_on_msg(n->member, now, from, msg, fg_node_on_member_act, n);
	dispatch_msg(n, from, msg);
	fg_node_run_deferred(n);
}
