/* Endpoints owned by this instance: grants, engine state, recovery. */
#include <string.h>

#include "node/fg_node_internal.h"

#define GRANTS_ASK_REPEAT_MS 500
#define STATE_RETRY_MS 500
#define GRANT_MAX_MS 600000 /* longest deadline of any request */
#define PEERS_MAX 1024

void fg_owned_free(struct fg_owned_engine *owned)
{
	if (owned == NULL)
		return;
	fg_grants_free(owned->grants);
	g_ptr_array_free(owned->loads, TRUE);
	g_free(owned);
}

struct fg_owned_engine *fg_owned_find(struct fg_node *n, uint64_t ep_id)
{
	struct fg_ep *ep = fg_ep_find(n, ep_id);

	return ep != NULL ? ep->owned : NULL;
}

bool fg_owned_may_act(struct fg_node *n, const struct fg_owned_engine *owned)
{
	return n->conf.switches.no_isolation ||
	       fg_owner_may_act(n->owner, owned->ep->id, n->now);
}

/* ---- Gaining and losing ownership ---- */

/* Asks the instances that have not reported their grants yet. Repeated until
 * all have, because an instance that does not know this one yet drops the first
 * GRANTS_ASK. */
static void send_grants_ask(struct fg_node *n, struct fg_owned_engine *owned)
{
	uint64_t ids[PEERS_MAX];
	size_t peers = fg_grants_awaited_peers(owned->grants, ids, PEERS_MAX);
	fg_msg *msg;

	owned->next_grants_ask_at = n->now + GRANTS_ASK_REPEAT_MS;
	if (peers == 0)
		return;
	msg = fg_msg_new(FG_MSG_GRANTS_ASK);
	msg->body.fg_body_u.grants_ask.ep = owned->ep->id;
	msg->body.fg_body_u.grants_ask.fence = owned->fence;
	for (size_t i = 0; i < peers; i++)
		fg_node_send(n, ids[i], msg);
	fg_msg_free(msg);
}

static void await_peer_grants(struct fg_node *n, struct fg_owned_engine *owned)
{
	uint64_t ids[PEERS_MAX];
	size_t peers = fg_node_present_peers(n, ids, PEERS_MAX - 1);

	/* This instance reports its own grants by a message to itself. */
	ids[peers++] = n->self;
	fg_grants_await_peers(owned->grants, ids, peers);
	send_grants_ask(n, owned);
}

void fg_owned_on_gained(struct fg_node *n, const struct fg_owner_act *act)
{
	struct fg_ep *ep = fg_ep_find(n, act->key);
	struct fg_owned_engine *owned;
	fg_msg *msg;

	if (ep == NULL)
		return;
	fg_owned_free(ep->owned);
	owned = g_new0(struct fg_owned_engine, 1);
	owned->ep = ep;
	owned->fence = act->fence;
	owned->loads = g_ptr_array_new_with_free_func(g_free);
	owned->n_intents = act->n_intents;
	memcpy(owned->intents, act->intents,
	       act->n_intents * sizeof(act->intents[0]));
	owned->next_state_at = n->now;
	ep->owned = owned;
	msg = fg_msg_new(FG_MSG_OWNED);
	msg->body.fg_body_u.owned.ep = ep->id;
	msg->body.fg_body_u.owned.fence = owned->fence;
	msg->body.fg_body_u.owned.owner = n->self;
	fg_node_broadcast(n, msg);
	fg_msg_free(msg);
	fg_node_emit_event(n, "owned",
			   json_pack("{s:s,s:I}", "ep", ep->info.name, "fence",
				     (json_int_t)owned->fence));
}

void fg_owned_on_lost(struct fg_node *n, uint64_t key)
{
	struct fg_ep *ep = fg_ep_find(n, key);

	if (ep == NULL || ep->owned == NULL)
		return;
	fg_owned_free(ep->owned);
	ep->owned = NULL;
	fg_node_emit_event(n, "own_lost",
			   json_pack("{s:s}", "ep", ep->info.name));
}

void fg_owned_on_leaving(struct fg_node *n, struct fg_owned_engine *owned)
{
	(void)n;
	if (owned->grants != NULL)
		fg_grants_set_leaving(owned->grants);
}

/* ---- The engine's state ---- */

static fg_av find_av(void *arg, const char *adapter, const char *version)
{
	return fg_config_find_version(arg, adapter, version);
}

static void create_grants(struct fg_node *n, struct fg_owned_engine *owned,
			  const struct fg_engine_state *st)
{
	struct fg_grants_conf conf = {
		.ep = owned->ep->id,
		.fence = owned->fence,
		.slots = CLAMP(st->slots, 1, FG_GRANT_SLOTS_MAX),
		.batch = MAX(st->batch, 1),
		.grant_max_ms = GRANT_MAX_MS,
		.queue_max = n->conf.grant_queue_max,
		.no_pins = n->conf.switches.no_pins,
	};

	owned->checks_fence = st->checks_fence;
	owned->grants = fg_grants_new(&conf, n->now, true);
	if (!st->checks_fence)
		fg_grants_taint_slots(owned->grants, n->now, owned->intents,
				      owned->n_intents);
	await_peer_grants(n, owned);
	if (owned->ep->leaving)
		fg_grants_set_leaving(owned->grants);
}

/* The engine accepts orders of the previous owner until it has seen the fence
 * of this one. */
static void raise_fence(struct fg_node *n, struct fg_owned_engine *owned)
{
	struct fg_order_cmd cmd = {
		.ep = owned->ep->info,
		.order = {
			.kind = FG_ORDER_ROLE,
			.fence = owned->fence,
			.timeout_ms = n->conf.order_timeout_ms,
		},
	};

	if (owned->fence_order_id != 0 ||
	    !fg_grants_needs_fence(owned->grants) ||
	    !fg_owned_may_act(n, owned))
		return;
	owned->fence_order_id = fg_owned_new_order_id(n, owned);
	cmd.order.id = owned->fence_order_id;
	n->io.send_order(n->io.arg, &cmd);
}

void fg_node_on_engine_state(struct fg_node *n, fg_ms now, uint64_t ep,
			     fg_ms asked_at, const struct fg_engine_state *st)
{
	struct fg_owned_engine *owned = fg_owned_find(n, ep);
	struct fg_engine_state seen;

	n->now = now;
	if (owned == NULL)
		return;
	owned->state_asked_at = 0;
	owned->next_state_at =
		now + (st != NULL ? n->conf.engine_poll_ms : STATE_RETRY_MS);
	fg_owned_note_silence(n, owned, st == NULL);
	if (st == NULL)
		return;
	seen = *st;
	if (n->conf.switches.no_leaving)
		seen.leaving = false;
	if (seen.leaving)
		fg_ep_set_leaving(n, owned->ep, true);
	if (owned->grants == NULL)
		create_grants(n, owned, st);
	if (n->conf.switches.no_fence)
		seen.checks_fence = false;
	if (fg_grants_on_engine_state(owned->grants, now, asked_at, &seen,
				      find_av, n->config))
		fg_node_emit_event(
			n, "engine_restarted",
			json_pack("{s:s}", "ep", owned->ep->info.name));
	raise_fence(n, owned);
	fg_node_run_deferred(n);
}

/* ---- Grants ---- */

static void send_grant_rep(struct fg_node *n,
			   const struct fg_owned_engine *owned,
			   const struct fg_grant_request *ask, uint64_t ep,
			   fg_grant_status status, uint64_t grant)
{
	fg_msg *msg = fg_msg_new(FG_MSG_GRANT_REP);
	fg_grant_rep *rep = &msg->body.fg_body_u.grant_rep;

	rep->req = ask->req_id;
	rep->ep = ep;
	rep->status = status;
	rep->grant = grant;
	rep->fence = owned != NULL ? owned->fence : 0;
	if (owned == NULL)
		fg_owner_get_state(n->owner, ep, &rep->owner, &rep->fence);
	if (status == FG_GRANT_OK) {
		fg_node_add_counter(n, FG_NC_GRANTS_GIVEN, 1);
		fg_node_emit_event(n, "grant",
				   json_pack("{s:I,s:s,s:i,s:i,s:I}", "grant",
					     (json_int_t)grant, "ep",
					     owned->ep->info.name, "adapter",
					     (int)ask->av.adapter, "version",
					     (int)ask->av.ver, "holder",
					     (json_int_t)ask->holder));
	}
	fg_node_send_and_free(n, ask->holder, msg);
	if (status == FG_GRANT_OK && n->conf.switches.no_pins)
		fg_grants_release(owned->grants, n->now, grant);
}

void fg_owned_on_grant_req(struct fg_node *n, uint64_t from,
			   const fg_grant_req *req)
{
	struct fg_owned_engine *owned = fg_owned_find(n, req->ep);
	struct fg_grant_request ask = {
		.holder = from,
		.req_id = req->req,
		.av = req->av,
		.cls = (enum fg_class)req->cls,
		.budget_ms = req->budget_ms,
		.hold_ms = req->hold_ms,
	};
	fg_grant_status status;
	uint64_t grant = 0;

	if (owned == NULL) {
		send_grant_rep(n, NULL, &ask, req->ep, FG_GRANT_NOT_OWNER, 0);
		return;
	}
	if (owned->grants == NULL || !fg_owned_may_act(n, owned)) {
		send_grant_rep(n, owned, &ask, req->ep, FG_GRANT_RECOVERING, 0);
		return;
	}
	status = fg_grants_request(owned->grants, n->now, &ask, &grant);
	if (status == FG_GRANT_NOT_RESIDENT)
		fg_owned_send_resident(n, owned, from);
	send_grant_rep(n, owned, &ask, req->ep, status, grant);
}

void fg_owned_on_release(struct fg_node *n, uint64_t from,
			 const fg_release *rel)
{
	struct fg_owned_engine *owned = fg_owned_find(n, rel->ep);

	if (owned == NULL || owned->grants == NULL)
		return;
	if (rel->crashed) {
		fg_grants_mark_orphaned(owned->grants, n->now, rel->grant);
		owned->next_state_at = n->now;
	}
	if (rel->grant != 0)
		fg_grants_release(owned->grants, n->now, rel->grant);
	else
		fg_grants_cancel(owned->grants, n->now, from, rel->req);
}

void fg_owned_on_grants_tell(struct fg_node *n, uint64_t from,
			     const fg_grants_tell *tell)
{
	struct fg_owned_engine *owned = fg_owned_find(n, tell->ep);

	if (owned == NULL || owned->grants == NULL ||
	    tell->fence != owned->fence)
		return;
	fg_grants_on_peer_grants(owned->grants, n->now, from,
				 tell->grants.grants_val,
				 tell->grants.grants_len);
}

static void for_each_owned(struct fg_node *n,
			   void (*fn)(struct fg_node *n,
				      struct fg_owned_engine *owned,
				      uint64_t id),
			   uint64_t id)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, n->eps);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct fg_ep *ep = value;

		if (ep->owned != NULL && ep->owned->grants != NULL)
			fn(n, ep->owned, id);
	}
}

static void on_peer_dead(struct fg_node *n, struct fg_owned_engine *owned,
			 uint64_t id)
{
	fg_grants_on_holder_dead(owned->grants, n->now, id);
	fg_grants_on_peer_gone(owned->grants, n->now, id);
}

void fg_owned_on_peer_dead(struct fg_node *n, uint64_t id)
{
	for_each_owned(n, on_peer_dead, id);
}

void fg_owned_on_peer_up(struct fg_node *n, uint64_t id)
{
	for_each_owned(n, fg_owned_send_resident, id);
}

/* ---- Ticks ---- */

struct reply_ctx {
	struct fg_node *n;
	struct fg_owned_engine *owned;
};

static void on_grant_decided(void *arg, const struct fg_grant_request *ask,
			     fg_grant_status status, uint64_t grant)
{
	struct reply_ctx *ctx = arg;

	send_grant_rep(ctx->n, ctx->owned, ask, ctx->owned->ep->id, status,
		       grant);
}

void fg_owned_tick(struct fg_node *n, struct fg_owned_engine *owned)
{
	struct reply_ctx ctx = { n, owned };

	if (owned->state_asked_at == 0 && n->now >= owned->next_state_at) {
		owned->state_asked_at = n->now;
		n->io.read_state(n->io.arg, &owned->ep->info);
	}
	if (owned->grants != NULL && n->now >= owned->next_grants_ask_at)
		send_grants_ask(n, owned);
	if (owned->grants == NULL || !fg_owned_may_act(n, owned))
		return;
	fg_grants_serve_held(owned->grants, n->now, on_grant_decided, &ctx);
	if (fg_grants_take_changed(owned->grants))
		fg_owned_send_resident(n, owned, 0);
	if (n->now >= owned->next_resident_at)
		fg_owned_repeat_resident(n, owned);
}
