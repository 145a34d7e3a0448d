/* Turns the actions of the parts into the node's own. */
#include "node/fg_node_internal.h"

/* Sends out an operation under an id of the node's own, since the parts
 * number theirs independently. */
static void send_op(struct fg_node *n, enum fg_part part,
		    struct fg_table_op *op)
{
	struct fg_op_origin *origin = g_new0(struct fg_op_origin, 1);

	origin->key = ++n->next_op;
	origin->part = part;
	origin->id = op->id;
	op->id = origin->key;
	g_hash_table_insert(n->ops, &origin->key, origin);
	n->io.table(n->io.arg, op);
}

void fg_wire_table_done(struct fg_node *n, const struct fg_table_result *res)
{
	struct fg_table_result own = *res;
	struct fg_op_origin *origin = g_hash_table_lookup(n->ops, &res->id);
	enum fg_part part;

	if (origin == NULL)
		return;
	part = origin->part;
	own.id = origin->id;
	g_hash_table_remove(n->ops, &res->id);
	switch (part) {
	case FG_PART_MEMBER:
		fg_member_on_table(n->member, n->now, &own, fg_wire_member, n);
		break;
	case FG_PART_OWNER:
		fg_owner_on_table(n->owner, n->now, &own, fg_wire_owner, n);
		break;
	case FG_PART_LEDGER:
		fg_ledger_handle_result(n->ledger, n->now, &own, fg_wire_ledger,
					n);
		break;
	case FG_PART_CONFIG:
		fg_confsync_on_table(n->confsync, n->now, &own,
				     fg_wire_confsync, n);
		break;
	}
}

void fg_wire_member(void *arg, struct fg_member_act *act)
{
	struct fg_node *n = arg;

	switch (act->type) {
	case FG_MA_TABLE:
		send_op(n, FG_PART_MEMBER, act->op);
		break;
	case FG_MA_LIST:
		fg_node_ask_list(n);
		break;
	case FG_MA_SEND:
		fg_node_send_free(n, act->to, act->msg);
		break;
	case FG_MA_UP:
		fg_own_peer_up(n, act->to);
		fg_node_event(n, "peer_up",
			      json_pack("{s:I}", "id", (json_int_t)act->to));
		break;
	case FG_MA_DOWN:
		fg_own_peer_dead(n, act->to);
		fg_models_peer_gone(n, act->to);
		fg_suspects_handle_dead_instance(n->suspects, act->to);
		fg_route_owner_lost(n, act->to);
		fg_node_event(n, "peer_down",
			      json_pack("{s:I}", "id", (json_int_t)act->to));
		break;
	case FG_MA_LEAVING:
		break;
	case FG_MA_STANDING:
		fg_node_event(n, "standing",
			      json_pack("{s:s}", "standing",
					fg_standing_name(act->standing)));
		break;
	}
}

static void owner_changed(struct fg_node *n, const struct fg_owner_act *act)
{
	struct fg_ep *ep = fg_ep_find(n, act->key);

	if (ep != NULL)
		fg_node_event(n, "owner",
			      json_pack("{s:s,s:I,s:I}", "ep", ep->info.name,
					"owner", (json_int_t)act->owner,
					"fence", (json_int_t)act->fence));
}

void fg_wire_owner(void *arg, struct fg_owner_act *act)
{
	struct fg_node *n = arg;

	switch (act->type) {
	case FG_OA_TABLE:
		send_op(n, FG_PART_OWNER, act->op);
		break;
	case FG_OA_GAINED:
		if (!fg_model_gained(n, act->key, act->fence))
			fg_own_gained(n, act);
		break;
	case FG_OA_LOST:
		if (n->conf.switches.no_isolation)
			break;
		/* fall through */
	case FG_OA_RELEASED:
		if (!fg_model_lost(n, act->key))
			fg_own_lost(n, act->key);
		break;
	case FG_OA_CHANGED:
		owner_changed(n, act);
		break;
	case FG_OA_INTENT_OK:
		fg_own_intent(n, act->intent_id, true);
		break;
	case FG_OA_INTENT_FAILED:
		fg_own_intent(n, act->intent_id, false);
		break;
	}
}

/* An instance that only catches up takes no work: for it no revision is in
 * force yet. */
void fg_wire_revision_event(struct fg_node *n)
{
	fg_node_event(n, "revision",
		      json_pack("{s:I,s:s}", "revision",
				(json_int_t)fg_config_revision(n->config),
				"preset", fg_config_preset(n->config)->name));
}

static void config_changed(struct fg_node *n)
{
	const struct fg_preset *preset = fg_config_preset(n->config);

	fg_retry_set_percent(n->retry, preset->retry_percent);
	fg_dir_set_stall_weight(n->dir, preset->stall_weight);
	fg_models_config(n);
	fg_member_set_revision(n->member, fg_config_revision(n->config),
			       fg_confsync_confirm_age(n->confsync, n->now));
	if (n->in_force)
		fg_wire_revision_event(n);
}

static void change_answered(struct fg_node *n, struct fg_confsync_act *act)
{
	if (act->status == FG_CHANGE_ACCEPTED)
		fg_node_event(n, "accepted",
			      json_pack("{s:I}", "revision",
					(json_int_t)act->revision));
	n->open_changes--;
	n->io.change_answer(n->io.arg, act->change_id, act->status,
			    act->revision, act->text);
	g_free(act->text);
}

void fg_wire_confsync(void *arg, struct fg_confsync_act *act)
{
	struct fg_node *n = arg;

	switch (act->type) {
	case FG_CS_TABLE:
		send_op(n, FG_PART_CONFIG, act->op);
		break;
	case FG_CS_SEND:
		if (n->conf.switches.no_config_push)
			fg_msg_free(act->msg);
		else
			fg_node_send_free(n, act->to, act->msg);
		break;
	case FG_CS_CHANGED:
		if (n->open_changes > 0)
			fg_member_request_scan(n->member, n->now);
		config_changed(n);
		break;
	case FG_CS_ANSWER:
		change_answered(n, act);
		break;
	}
}

void fg_wire_ledger(void *arg, struct fg_ledger_act *act)
{
	struct fg_node *n = arg;
	struct fg_req *r;
	struct fg_reply reply = {
		.outcome = act->outcome,
		.reason = act->reason,
		.text = act->text,
		.replayed = act->replayed,
		.retry_after_ms = act->retry_after_ms,
	};

	switch (act->type) {
	case FG_LA_TABLE:
		send_op(n, FG_PART_LEDGER, act->op);
		break;
	case FG_LA_DISPATCH:
		g_array_append_val(n->ready, act->id);
		break;
	case FG_LA_ANSWER:
		r = fg_req_find(n, act->id);
		if (r != NULL)
			fg_req_reply_full(n, r, &reply);
		break;
	case FG_LA_RECORDED:
		break;
	}
}
