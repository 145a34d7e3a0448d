/* Loads ordered by an owner: slot, intent, order, outcome. */
#include "node/fg_node_internal.h"

/* Delay of the state read that follows a failed order. */
#define STATE_AFTER_FAILURE_MS 100

uint64_t fg_owned_new_order_id(struct fg_node *n,
			       const struct fg_owned_engine *owned)
{
	uint64_t id = fg_hash_mix(owned->fence, owned->ep->id) >> 16 << 14;

	return (id & INT64_MAX) | (n->next_order_seq++ & 0x3fff);
}

static void send_place_rep(struct fg_node *n, uint64_t broker, uint64_t order,
			   uint64_t ep, fg_av av, fg_place_status status)
{
	fg_msg *msg = fg_msg_new(FG_MSG_PLACE_REP);
	fg_place_rep *rep = &msg->body.fg_body_u.place_rep;

	rep->order = order;
	rep->ep = ep;
	rep->av = av;
	rep->status = status;
	fg_node_send_and_free(n, broker, msg);
}

/* Checks the lease a last time before the order is sent. */
static void send_load(struct fg_node *n, struct fg_owned_engine *owned,
		      struct fg_pending_load *load)
{
	struct fg_order_cmd cmd = {
		.ep = owned->ep->info,
		.order = {
			.id = load->order_id,
			.kind = FG_ORDER_LOAD,
			.slot = load->slot,
			.adapter = fg_config_adapter_name(n->config, load->av),
			.version = fg_config_version_name(n->config, load->av),
			.fence = owned->fence,
			.timeout_ms = n->conf.order_timeout_ms,
		},
	};

	if (!fg_owned_may_act(n, owned) || cmd.order.adapter == NULL ||
	    cmd.order.version == NULL) {
		fg_node_on_order_done(n, n->now, owned->ep->id, load->order_id,
				      FG_ORDER_NOT_SENT);
		return;
	}
	load->sent = true;
	fg_node_add_counter(n, FG_NC_LOADS, 1);
	n->io.send_order(n->io.arg, &cmd);
}

static void write_intent(struct fg_node *n, struct fg_owned_engine *owned,
			 const struct fg_pending_load *load)
{
	struct fg_intent intent = {
		.id = load->order_id,
		.slot = load->slot,
		.victim = load->victim,
		.av = load->av,
		.fence = owned->fence,
		.life_ms = n->conf.order_timeout_ms,
	};

	fg_owner_store_intent(n->owner, n->now, owned->ep->id, &intent,
			      fg_node_on_owner_act, n);
}

static void start_load(struct fg_node *n, struct fg_owned_engine *owned,
		       uint64_t from, const fg_place *place, uint32_t slot,
		       fg_av victim)
{
	struct fg_pending_load *load = g_new0(struct fg_pending_load, 1);

	/* Unique over all owners, see fg_owned_new_order_id(). */
	load->order_id = fg_hash_mix(owned->fence, owned->ep->id) >> 16 << 14;
	load->order_id =
		(load->order_id & INT64_MAX) | (n->next_order_seq++ & 0x3fff);
	load->place_order = place->order;
	load->broker = from;
	load->slot = slot;
	load->av = place->av;
	load->victim = victim;
	g_ptr_array_add(owned->loads, load);
	if (owned->checks_fence || n->conf.switches.no_intent)
		send_load(n, owned, load);
	else
		write_intent(n, owned, load);
}

void fg_owned_on_place(struct fg_node *n, uint64_t from, const fg_place *place)
{
	struct fg_owned_engine *owned = fg_owned_find(n, place->ep);
	enum fg_load_start_result start = FG_LOAD_START_RECOVERING;
	fg_av victim = { 0, 0 };
	uint32_t slot = 0;

	if (owned != NULL && owned->grants != NULL &&
	    fg_owned_may_act(n, owned))
		start = fg_grants_start_load(
			owned->grants, n->now, place->av, place->victim,
			fg_grants_score_keep, NULL, &slot, &victim);
	if (start == FG_LOAD_START_OK) {
		send_place_rep(n, from, place->order, place->ep, place->av,
			       FG_PLACE_STARTED);
		start_load(n, owned, from, place, slot, victim);
	} else if (start == FG_LOAD_START_PRESENT) {
		fg_owned_send_resident(n, owned, from);
		send_place_rep(n, from, place->order, place->ep, place->av,
			       FG_PLACE_DONE);
	} else {
		send_place_rep(n, from, place->order, place->ep, place->av,
			       FG_PLACE_REFUSED);
	}
}

static struct fg_pending_load *find_load(struct fg_owned_engine *owned,
					 uint64_t order_id)
{
	for (guint i = 0; i < owned->loads->len; i++) {
		struct fg_pending_load *load =
			g_ptr_array_index(owned->loads, i);

		if (load->order_id == order_id)
			return load;
	}
	return NULL;
}

void fg_owned_on_intent(struct fg_node *n, uint64_t intent_id, bool stored)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, n->eps);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct fg_ep *ep = value;
		struct fg_pending_load *load;

		if (ep->owned == NULL)
			continue;
		load = find_load(ep->owned, intent_id);
		if (load == NULL || load->sent)
			continue;
		if (stored)
			send_load(n, ep->owned, load);
		else
			fg_node_on_order_done(n, n->now, ep->id, intent_id,
					      FG_ORDER_NOT_SENT);
		return;
	}
}

static void finish_load(struct fg_node *n, struct fg_owned_engine *owned,
			struct fg_pending_load *load,
			enum fg_order_status status)
{
	bool done = status == FG_ORDER_DONE;

	fg_grants_finish_load(owned->grants, n->now, load->slot, status,
			      n->conf.order_timeout_ms);
	if (!owned->checks_fence && status != FG_ORDER_LOST)
		fg_owner_remove_intent(n->owner, owned->ep->id, load->order_id);
	if (!done) {
		fg_node_add_counter(n, FG_NC_LOADS_FAILED, 1);
		owned->next_state_at = n->now + STATE_AFTER_FAILURE_MS;
	}
	fg_node_emit_event(n, "load",
			   json_pack("{s:s,s:i,s:b}", "ep",
				     owned->ep->info.name, "slot",
				     (int)load->slot, "ok", done));
	if (done)
		fg_owned_send_resident(n, owned, 0);
	send_place_rep(n, load->broker, load->place_order, owned->ep->id,
		       load->av, done ? FG_PLACE_DONE : FG_PLACE_FAILED);
}

void fg_node_on_order_done(struct fg_node *n, fg_ms now, uint64_t ep,
			   uint64_t order_id, enum fg_order_status status)
{
	struct fg_owned_engine *owned = fg_owned_find(n, ep);
	struct fg_pending_load *load;

	n->now = now;
	if (owned == NULL)
		return;
	if (order_id == owned->fence_order_id) {
		owned->fence_order_id = 0;
		owned->next_state_at = now;
	}
	load = find_load(owned, order_id);
	if (load == NULL)
		return;
	finish_load(n, owned, load, status);
	g_ptr_array_remove(owned->loads, load);
	fg_node_run_deferred(n);
}
