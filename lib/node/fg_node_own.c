/* Endpoints that this instance owns: grants, state, recovery. */
#include <string.h>

#include "node/fg_node_internal.h"

#define ASK_REPEAT_MS 500 /* between asks of one peer for its grants */
#define STATE_RETRY_MS 500
#define RECOVER_MAX_MS 600000 /* longest deadline of any request */
#define PEERS_MAX 1024

void fg_own_free(struct fg_own *own)
{
	if (own == NULL)
		return;
	fg_grants_free(own->grants);
	g_ptr_array_free(own->loads, TRUE);
	g_free(own);
}

struct fg_own *fg_own_of(struct fg_node *n, uint64_t ep_id)
{
	struct fg_ep *ep = fg_ep_find(n, ep_id);

	return ep != NULL ? ep->own : NULL;
}

bool fg_own_may_act(struct fg_node *n, const struct fg_own *own)
{
	return n->conf.switches.no_isolation ||
	       fg_owner_may_act(n->owner, own->ep->id, n->now);
}

/* ---- Gaining and losing ---- */

/* Asks whoever has not told its grants yet, until all have: the first ask is
 * lost on a peer that does not know this instance yet. */
static void ask_grants(struct fg_node *n, struct fg_own *own)
{
	uint64_t ids[PEERS_MAX];
	size_t peers = fg_grants_awaited_peers(own->grants, ids, PEERS_MAX);
	fg_msg *msg;

	own->ask_next = n->now + ASK_REPEAT_MS;
	if (peers == 0)
		return;
	msg = fg_msg_new(FG_MSG_GRANTS_ASK);
	msg->body.fg_body_u.grants_ask.ep = own->ep->id;
	msg->body.fg_body_u.grants_ask.fence = own->fence;
	for (size_t i = 0; i < peers; i++)
		fg_node_send(n, ids[i], msg);
	fg_msg_free(msg);
}

static void expect_grants(struct fg_node *n, struct fg_own *own)
{
	uint64_t ids[PEERS_MAX];
	size_t peers = fg_node_region_present(n, ids, PEERS_MAX - 1);

	/* This instance's own grants count like those of any other. */
	ids[peers++] = n->self;
	fg_grants_await_peers(own->grants, ids, peers);
	ask_grants(n, own);
}

void fg_own_gained(struct fg_node *n, const struct fg_owner_act *act)
{
	struct fg_ep *ep = fg_ep_find(n, act->key);
	struct fg_own *own;
	fg_msg *msg;

	if (ep == NULL)
		return;
	fg_own_free(ep->own);
	own = g_new0(struct fg_own, 1);
	own->ep = ep;
	own->fence = act->fence;
	own->loads = g_ptr_array_new_with_free_func(g_free);
	own->n_intents = act->n_intents;
	memcpy(own->intents, act->intents,
	       act->n_intents * sizeof(act->intents[0]));
	own->state_next = n->now;
	ep->own = own;
	msg = fg_msg_new(FG_MSG_OWNED);
	msg->body.fg_body_u.owned.ep = ep->id;
	msg->body.fg_body_u.owned.fence = own->fence;
	msg->body.fg_body_u.owned.owner = n->self;
	fg_node_broadcast(n, msg);
	fg_msg_free(msg);
	fg_node_event(n, "owned",
		      json_pack("{s:s,s:I}", "ep", ep->info.name, "fence",
				(json_int_t)own->fence));
}

void fg_own_lost(struct fg_node *n, uint64_t key)
{
	struct fg_ep *ep = fg_ep_find(n, key);

	if (ep == NULL || ep->own == NULL)
		return;
	fg_own_free(ep->own);
	ep->own = NULL;
	fg_node_event(n, "own_lost", json_pack("{s:s}", "ep", ep->info.name));
}

void fg_own_leave(struct fg_node *n, struct fg_own *own)
{
	(void)n;
	if (own->grants != NULL)
		fg_grants_set_leaving(own->grants);
}

/* ---- The engine's state ---- */

static fg_av find_av(void *arg, const char *adapter, const char *version)
{
	return fg_config_find_version(arg, adapter, version);
}

static void first_state(struct fg_node *n, struct fg_own *own,
			const struct fg_engine_state *st)
{
	struct fg_grants_conf conf = {
		.ep = own->ep->id,
		.fence = own->fence,
		.slots = CLAMP(st->slots, 1, FG_SLOTS_MAX),
		.batch = MAX(st->batch, 1),
		.grant_max_ms = RECOVER_MAX_MS,
		.queue_max = n->conf.grant_queue_max,
		.no_pins = n->conf.switches.no_pins,
	};

	own->checks_fence = st->checks_fence;
	own->grants = fg_grants_new(&conf, n->now, true);
	if (!st->checks_fence)
		fg_grants_taint_slots(own->grants, n->now, own->intents,
				      own->n_intents);
	expect_grants(n, own);
	if (own->ep->leaving)
		fg_grants_set_leaving(own->grants);
}

/* Orders of the last owner pass until the engine has seen our fence. */
static void raise_fence(struct fg_node *n, struct fg_own *own)
{
	struct fg_order_cmd cmd = {
		.ep = own->ep->info,
		.order = {
			.kind = FG_ORDER_ROLE,
			.fence = own->fence,
			.timeout_ms = n->conf.order_timeout_ms,
		},
	};

	if (own->role_order != 0 || !fg_grants_needs_fence(own->grants) ||
	    !fg_own_may_act(n, own))
		return;
	own->role_order = fg_own_order_id(n, own);
	cmd.order.id = own->role_order;
	n->io.order(n->io.arg, &cmd);
}

void fg_node_engine_state(struct fg_node *n, fg_ms now, uint64_t ep,
			  fg_ms asked_at, const struct fg_engine_state *st)
{
	struct fg_own *own = fg_own_of(n, ep);
	struct fg_engine_state seen;

	n->now = now;
	if (own == NULL)
		return;
	own->state_asked = 0;
	own->state_next =
		now + (st != NULL ? n->conf.state_ms : STATE_RETRY_MS);
	fg_own_note_silence(n, own, st == NULL);
	if (st == NULL)
		return;
	seen = *st;
	if (n->conf.switches.no_leaving)
		seen.leaving = false;
	if (seen.leaving)
		fg_ep_leaving(n, own->ep, true);
	if (own->grants == NULL)
		first_state(n, own, st);
	if (n->conf.switches.no_fence)
		seen.checks_fence = false;
	if (fg_grants_on_engine_state(own->grants, now, asked_at, &seen,
				      find_av, n->config))
		fg_node_event(n, "engine_restarted",
			      json_pack("{s:s}", "ep", own->ep->info.name));
	raise_fence(n, own);
	fg_node_drain(n);
}

/* ---- Grants ---- */

static void reply_grant(struct fg_node *n, const struct fg_own *own,
			const struct fg_grant_request *ask, uint64_t ep,
			fg_grant_status status, uint64_t grant)
{
	fg_msg *msg = fg_msg_new(FG_MSG_GRANT_REP);
	fg_grant_rep *rep = &msg->body.fg_body_u.grant_rep;

	rep->req = ask->req_id;
	rep->ep = ep;
	rep->status = status;
	rep->grant = grant;
	rep->fence = own != NULL ? own->fence : 0;
	if (own == NULL)
		fg_owner_get_state(n->owner, ep, &rep->owner, &rep->fence);
	if (status == FG_GRANT_OK) {
		fg_node_count(n, FG_NC_GRANTS_GIVEN, 1);
		fg_node_event(n, "grant",
			      json_pack("{s:I,s:s,s:i,s:i,s:I}", "grant",
					(json_int_t)grant, "ep",
					own->ep->info.name, "adapter",
					(int)ask->av.adapter, "version",
					(int)ask->av.ver, "holder",
					(json_int_t)ask->holder));
	}
	fg_node_send_free(n, ask->holder, msg);
	if (status == FG_GRANT_OK && n->conf.switches.no_pins)
		fg_grants_release(own->grants, n->now, grant);
}

void fg_own_grant_req(struct fg_node *n, uint64_t from, const fg_grant_req *req)
{
	struct fg_own *own = fg_own_of(n, req->ep);
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

	if (own == NULL) {
		reply_grant(n, NULL, &ask, req->ep, FG_GRANT_NOT_OWNER, 0);
		return;
	}
	if (own->grants == NULL || !fg_own_may_act(n, own)) {
		reply_grant(n, own, &ask, req->ep, FG_GRANT_RECOVERING, 0);
		return;
	}
	status = fg_grants_request(own->grants, n->now, &ask, &grant);
	if (status == FG_GRANT_NOT_RESIDENT)
		fg_own_resident(n, own, from);
	reply_grant(n, own, &ask, req->ep, status, grant);
}

void fg_own_release(struct fg_node *n, uint64_t from, const fg_release *rel)
{
	struct fg_own *own = fg_own_of(n, rel->ep);

	if (own == NULL || own->grants == NULL)
		return;
	if (rel->crashed) {
		fg_grants_mark_orphaned(own->grants, n->now, rel->grant);
		own->state_next = n->now;
	}
	if (rel->grant != 0)
		fg_grants_release(own->grants, n->now, rel->grant);
	else
		fg_grants_cancel(own->grants, n->now, from, rel->req);
}

void fg_own_tell(struct fg_node *n, uint64_t from, const fg_grants_tell *tell)
{
	struct fg_own *own = fg_own_of(n, tell->ep);

	if (own == NULL || own->grants == NULL || tell->fence != own->fence)
		return;
	fg_grants_on_peer_grants(own->grants, n->now, from,
				 tell->grants.grants_val,
				 tell->grants.grants_len);
}

static void each_own(struct fg_node *n,
		     void (*fn)(struct fg_node *n, struct fg_own *own,
				uint64_t id),
		     uint64_t id)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, n->eps);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct fg_ep *ep = value;

		if (ep->own != NULL && ep->own->grants != NULL)
			fn(n, ep->own, id);
	}
}

static void peer_dead(struct fg_node *n, struct fg_own *own, uint64_t id)
{
	fg_grants_on_holder_dead(own->grants, n->now, id);
	fg_grants_on_peer_gone(own->grants, n->now, id);
}

void fg_own_peer_dead(struct fg_node *n, uint64_t id)
{
	each_own(n, peer_dead, id);
}

void fg_own_peer_up(struct fg_node *n, uint64_t id)
{
	each_own(n, fg_own_resident, id);
}

/* ---- Time ---- */

struct pump_arg {
	struct fg_node *n;
	struct fg_own *own;
};

static void on_pumped(void *arg, const struct fg_grant_request *ask,
		      fg_grant_status status, uint64_t grant)
{
	struct pump_arg *p = arg;

	reply_grant(p->n, p->own, ask, p->own->ep->id, status, grant);
}

void fg_own_tick(struct fg_node *n, struct fg_own *own)
{
	struct pump_arg p = { n, own };

	if (own->state_asked == 0 && n->now >= own->state_next) {
		own->state_asked = n->now;
		n->io.state(n->io.arg, &own->ep->info);
	}
	if (own->grants != NULL && n->now >= own->ask_next)
		ask_grants(n, own);
	if (own->grants == NULL || !fg_own_may_act(n, own))
		return;
	fg_grants_serve_held(own->grants, n->now, on_pumped, &p);
	if (fg_grants_take_changed(own->grants))
		fg_own_resident(n, own, 0);
	if (n->now >= own->resident_next)
		fg_own_repeat_resident(n, own);
}
