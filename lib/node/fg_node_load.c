/* Loads that an owner orders: slot, intent, order, outcome. */
#include "node/fg_node_internal.h"

#define STATE_SOON_MS 100 /* until the state is read after a failed order */

uint64_t fg_own_order_id(struct fg_node *n, const struct fg_own *own)
{
	/* Unique over all owners: the engine and the intents see it. */
	uint64_t id = fg_hash_mix(own->fence, own->ep->id) >> 16 << 14;

	return (id & INT64_MAX) | (n->next_order++ & 0x3fff);
}

static void reply_place(struct fg_node *n, uint64_t broker, uint64_t order,
			uint64_t ep, fg_av av, fg_place_status status)
{
	fg_msg *msg = fg_msg_new(FG_MSG_PLACE_REP);
	fg_place_rep *rep = &msg->body.fg_body_u.place_rep;

	rep->order = order;
	rep->ep = ep;
	rep->av = av;
	rep->status = status;
	fg_node_send_free(n, broker, msg);
}

/* The last look at the lease before the order leaves. */
static void send_load(struct fg_node *n, struct fg_own *own,
		      struct fg_pending_load *load)
{
	struct fg_order_cmd cmd = {
		.ep = own->ep->info,
		.order = {
			.id = load->order_id,
			.kind = FG_ORDER_LOAD,
			.slot = load->slot,
			.adapter = fg_config_adapter_name(n->config, load->av),
			.version = fg_config_version_name(n->config, load->av),
			.fence = own->fence,
			.timeout_ms = n->conf.order_timeout_ms,
		},
	};

	if (!fg_own_may_act(n, own) || cmd.order.adapter == NULL ||
	    cmd.order.version == NULL) {
		fg_node_order_done(n, n->now, own->ep->id, load->order_id,
				   FG_ORDER_NOT_SENT);
		return;
	}
	load->sent = true;
	fg_node_count(n, FG_NC_LOADS, 1);
	n->io.order(n->io.arg, &cmd);
}

static void write_intent(struct fg_node *n, struct fg_own *own,
			 const struct fg_pending_load *load)
{
	struct fg_intent intent = {
		.id = load->order_id,
		.slot = load->slot,
		.victim = load->victim,
		.av = load->av,
		.fence = own->fence,
		.life_ms = n->conf.order_timeout_ms,
	};

	fg_owner_store_intent(n->owner, n->now, own->ep->id, &intent,
			      fg_wire_owner, n);
}

static void start_load(struct fg_node *n, struct fg_own *own, uint64_t from,
		       const fg_place *place, uint32_t slot, fg_av victim)
{
	struct fg_pending_load *load = g_new0(struct fg_pending_load, 1);

	/* Unique over all owners: the engine and the intents see it. */
	load->order_id = fg_hash_mix(own->fence, own->ep->id) >> 16 << 14;
	load->order_id =
		(load->order_id & INT64_MAX) | (n->next_order++ & 0x3fff);
	load->place_order = place->order;
	load->broker = from;
	load->slot = slot;
	load->av = place->av;
	load->victim = victim;
	g_ptr_array_add(own->loads, load);
	if (own->checks_fence || n->conf.switches.no_intent)
		send_load(n, own, load);
	else
		write_intent(n, own, load);
}

void fg_own_place(struct fg_node *n, uint64_t from, const fg_place *place)
{
	struct fg_own *own = fg_own_of(n, place->ep);
	enum fg_load_start_result start = FG_LOAD_START_RECOVERING;
	fg_av victim = { 0, 0 };
	uint32_t slot = 0;

	if (own != NULL && own->grants != NULL && fg_own_may_act(n, own))
		start = fg_grants_start_load(
			own->grants, n->now, place->av, place->victim,
			fg_grants_score_keep, NULL, &slot, &victim);
	if (start == FG_LOAD_START_OK) {
		reply_place(n, from, place->order, place->ep, place->av,
			    FG_PLACE_STARTED);
		start_load(n, own, from, place, slot, victim);
	} else if (start == FG_LOAD_START_PRESENT) {
		fg_own_resident(n, own, from);
		reply_place(n, from, place->order, place->ep, place->av,
			    FG_PLACE_DONE);
	} else {
		reply_place(n, from, place->order, place->ep, place->av,
			    FG_PLACE_REFUSED);
	}
}

static struct fg_pending_load *find_load(struct fg_own *own, uint64_t order_id)
{
	for (guint i = 0; i < own->loads->len; i++) {
		struct fg_pending_load *load = g_ptr_array_index(own->loads, i);

		if (load->order_id == order_id)
			return load;
	}
	return NULL;
}

void fg_own_intent(struct fg_node *n, uint64_t intent_id, bool stored)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, n->eps);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct fg_ep *ep = value;
		struct fg_pending_load *load;

		if (ep->own == NULL)
			continue;
		load = find_load(ep->own, intent_id);
		if (load == NULL || load->sent)
			continue;
		if (stored)
			send_load(n, ep->own, load);
		else
			fg_node_order_done(n, n->now, ep->id, intent_id,
					   FG_ORDER_NOT_SENT);
		return;
	}
}

static void load_ended(struct fg_node *n, struct fg_own *own,
		       struct fg_pending_load *load,
		       enum fg_order_status status)
{
	bool done = status == FG_ORDER_DONE;

	fg_grants_finish_load(own->grants, n->now, load->slot, status,
			      n->conf.order_timeout_ms);
	if (!own->checks_fence && status != FG_ORDER_LOST)
		fg_owner_remove_intent(n->owner, own->ep->id, load->order_id);
	if (!done) {
		fg_node_count(n, FG_NC_LOADS_FAILED, 1);
		own->state_next = n->now + STATE_SOON_MS;
	}
	fg_node_event(n, "load",
		      json_pack("{s:s,s:i,s:b}", "ep", own->ep->info.name,
				"slot", (int)load->slot, "ok", done));
	if (done)
		fg_own_resident(n, own, 0);
	reply_place(n, load->broker, load->place_order, own->ep->id, load->av,
		    done ? FG_PLACE_DONE : FG_PLACE_FAILED);
}

void fg_node_order_done(struct fg_node *n, fg_ms now, uint64_t ep,
			uint64_t order_id, enum fg_order_status status)
{
	struct fg_own *own = fg_own_of(n, ep);
	struct fg_pending_load *load;

	n->now = now;
	if (own == NULL)
		return;
	if (order_id == own->role_order) {
		own->role_order = 0;
		own->state_next = now;
	}
	load = find_load(own, order_id);
	if (load == NULL)
		return;
	load_ended(n, own, load, status);
	g_ptr_array_remove(own->loads, load);
	fg_node_drain(n);
}
