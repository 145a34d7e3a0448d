/* Translates the submodules' actions into the node's own. */
#include "node/fg_node_internal.h"

/* Runs an operation under an id of the node's own, since the submodules number
 * their operations independently. */
static void run_op(struct fg_node *n, enum fg_submodule submodule,
		   struct fg_table_op *op)
{
	struct fg_op_origin *origin = g_new0(struct fg_op_origin, 1);

	origin->op_id = ++n->last_op_id;
	origin->submodule = submodule;
	origin->submodule_op_id = op->id;
	op->id = origin->op_id;
	g_hash_table_insert(n->ops, &origin->op_id, origin);
	n->io.run_table_op(n->io.arg, op);
}

void fg_node_pass_table_result(struct fg_node *n,
			       const struct fg_table_result *res)
{
	struct fg_table_result part_res = *res;
	struct fg_op_origin *origin = g_hash_table_lookup(n->ops, &res->id);
	enum fg_submodule submodule;

	if (origin == NULL)
		return;
	submodule = origin->submodule;
	part_res.id = origin->submodule_op_id;
	g_hash_table_remove(n->ops, &res->id);
	switch (submodule) {
	case FG_SUBMODULE_MEMBER:
		fg_member_on_table(n->member, n->now, &part_res,
				   fg_node_on_member_act, n);
		break;
	case FG_SUBMODULE_OWNER:
		fg_owner_on_table(n->owner, n->now, &part_res,
				  fg_node_on_owner_act, n);
		break;
	case FG_SUBMODULE_LEDGER:
		fg_ledger_handle_result(n->ledger, n->now, &part_res,
					fg_node_on_ledger_act, n);
		break;
	case FG_SUBMODULE_CONFIG:
		fg_confsync_on_table(n->confsync, n->now, &part_res,
				     fg_node_on_confsync_act, n);
		break;
	}
}

void fg_node_on_member_act(void *arg, struct fg_member_act *act)
{
	struct fg_node *n = arg;

	switch (act->type) {
	case FG_MA_TABLE:
		run_op(n, FG_SUBMODULE_MEMBER, act->op);
		break;
	case FG_MA_LIST:
		fg_node_request_list(n);
		break;
	case FG_MA_SEND:
		fg_node_send_and_free(n, act->to, act->msg);
		break;
	case FG_MA_UP:
		fg_owned_on_peer_up(n, act->to);
		fg_node_emit_event(
			n, "peer_up",
			json_pack("{s:I}", "id", (json_int_t)act->to));
		break;
	case FG_MA_DOWN:
		fg_owned_on_peer_dead(n, act->to);
		fg_models_on_peer_dead(n, act->to);
		fg_suspects_handle_dead_instance(n->suspects, act->to);
		fg_route_on_owner_dead(n, act->to);
		fg_node_emit_event(
			n, "peer_down",
			json_pack("{s:I}", "id", (json_int_t)act->to));
		break;
	case FG_MA_LEAVING:
		break;
	case FG_MA_STANDING:
		fg_node_emit_event(n, "standing",
				   json_pack("{s:s}", "standing",
					     fg_standing_name(act->standing)));
		break;
	}
}

static void emit_owner(struct fg_node *n, const struct fg_owner_act *act)
{
	struct fg_ep *ep = fg_ep_find(n, act->key);

	if (ep != NULL)
		fg_node_emit_event(n, "owner",
				   json_pack("{s:s,s:I,s:I}", "ep",
					     ep->info.name, "owner",
					     (json_int_t)act->owner, "fence",
					     (json_int_t)act->fence));
}

void fg_node_on_owner_act(void *arg, struct fg_owner_act *act)
{
	struct fg_node *n = arg;

	switch (act->type) {
	case FG_OA_TABLE:
		run_op(n, FG_SUBMODULE_OWNER, act->op);
		break;
	case FG_OA_GAINED:
		if (!fg_model_on_key_gained(n, act->key, act->fence))
			fg_owned_on_gained(n, act);
		break;
	case FG_OA_LOST:
		if (n->conf.switches.no_isolation)
			break;
		/* fall through */
	case FG_OA_RELEASED:
		if (!fg_model_on_key_lost(n, act->key))
			fg_owned_on_lost(n, act->key);
		break;
	case FG_OA_CHANGED:
		emit_owner(n, act);
		break;
	case FG_OA_INTENT_OK:
		fg_owned_on_intent(n, act->intent_id, true);
		break;
	case FG_OA_INTENT_FAILED:
		fg_owned_on_intent(n, act->intent_id, false);
		break;
	}
}

void fg_node_emit_revision(struct fg_node *n)
{
	fg_node_emit_event(n, "revision",
			   json_pack("{s:I,s:s}", "revision",
				     (json_int_t)fg_config_revision(n->config),
				     "preset",
				     fg_config_preset(n->config)->name));
}

static void apply_revision(struct fg_node *n)
{
	const struct fg_preset *preset = fg_config_preset(n->config);

	fg_retry_set_percent(n->retry, preset->retry_percent);
	fg_dir_set_stall_weight(n->dir, preset->stall_weight);
	fg_models_apply_config(n);
	fg_member_set_revision(n->member, fg_config_revision(n->config),
			       fg_confsync_confirm_age(n->confsync, n->now));
	/* An instance that is still catching up takes no work, and no revision
	 * is in force on it. */
	if (n->in_force)
		fg_node_emit_revision(n);
}

static void answer_change(struct fg_node *n, struct fg_confsync_act *act)
{
	if (act->status == FG_CHANGE_ACCEPTED)
		fg_node_emit_event(n, "accepted",
				   json_pack("{s:I}", "revision",
					     (json_int_t)act->revision));
	n->open_changes--;
	n->io.answer_change(n->io.arg, act->change_id, act->status,
			    act->revision, act->text);
	g_free(act->text);
}

void fg_node_on_confsync_act(void *arg, struct fg_confsync_act *act)
{
	struct fg_node *n = arg;

	switch (act->type) {
	case FG_CS_TABLE:
		run_op(n, FG_SUBMODULE_CONFIG, act->op);
		break;
	case FG_CS_SEND:
		if (n->conf.switches.no_config_push)
			fg_msg_free(act->msg);
		else
			fg_node_send_and_free(n, act->to, act->msg);
		break;
	case FG_CS_CHANGED:
		if (n->open_changes > 0)
			fg_member_request_scan(n->member, n->now);
		apply_revision(n);
		break;
	case FG_CS_ANSWER:
		answer_change(n, act);
		break;
	}
}

void fg_node_on_ledger_act(void *arg, struct fg_ledger_act *act)
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
		run_op(n, FG_SUBMODULE_LEDGER, act->op);
		break;
	case FG_LA_DISPATCH:
		g_array_append_val(n->ready_filings, act->id);
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
