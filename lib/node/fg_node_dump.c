/* The state dump for operators. */
#include "node/fg_node_internal.h"

#define LIST_MAX 256

static json_t *dump_members(struct fg_node *n)
{
	static const char *const states[] = {
		[FG_PEER_LIVE] = "live",
		[FG_PEER_SUSPECT] = "suspect",
		[FG_PEER_LEAVING] = "leaving",
		[FG_PEER_DEAD] = "dead",
	};
	uint64_t ids[LIST_MAX];
	size_t total = fg_member_list_live(n->member, NULL, ids, LIST_MAX);
	json_t *out = json_object();

	for (size_t i = 0; i < MIN(total, LIST_MAX); i++) {
		const struct fg_peer_view *p =
			fg_member_find(n->member, ids[i]);

		if (p != NULL)
			json_object_set_new(
				out, p->info.name,
				json_pack("{s:s,s:s,s:s,s:I}", "state",
					  states[p->state], "region",
					  p->info.region, "addr", p->info.addr,
					  "revision", (json_int_t)p->revision));
	}
	return out;
}

static json_t *dump_slot(struct fg_node *n, const struct fg_owned_engine *owned,
			 uint32_t slot)
{
	static const char *const states[] = {
		[FG_GRANT_SLOT_EMPTY] = "empty",
		[FG_GRANT_SLOT_LOADING] = "loading",
		[FG_GRANT_SLOT_READY] = "ready",
		[FG_GRANT_SLOT_TAINTED] = "tainted",
	};
	struct fg_grant_slot_view v = fg_grants_view_slot(owned->grants, slot);
	const char *adapter = fg_config_adapter_name(n->config, v.av);
	const char *ver = fg_config_version_name(n->config, v.av);

	return json_pack("{s:s,s:s,s:s,s:i}", "state", states[v.state],
			 "adapter", adapter != NULL ? adapter : "", "version",
			 ver != NULL ? ver : "", "pins", (int)v.pins);
}

static json_t *dump_owned(struct fg_node *n,
			  const struct fg_owned_engine *owned)
{
	json_t *out = json_pack("{s:I}", "fence", (json_int_t)owned->fence);
	json_t *slots = json_array();

	if (owned->grants != NULL) {
		for (uint32_t i = 0; i < fg_grants_slot_count(owned->grants);
		     i++)
			json_array_append_new(slots, dump_slot(n, owned, i));
		json_object_set_new(
			out, "grants",
			json_integer(fg_grants_in_use(owned->grants)));
		json_object_set_new(
			out, "held",
			json_integer(fg_grants_held(owned->grants)));
		json_object_set_new(out, "recovering",
				    json_boolean(fg_grants_is_recovering(
					    owned->grants, n->now)));
	}
	json_object_set_new(out, "slots", slots);
	return out;
}

static const char *owner_name(struct fg_node *n, uint64_t owner)
{
	const struct fg_peer_view *p;

	if (owner == n->self)
		return n->conf.member.self.name;
	p = fg_member_find(n->member, owner);
	return p != NULL ? p->info.name : "";
}

static void dump_eps(struct fg_node *n, json_t *out)
{
	json_t *all = json_array();
	json_t *owned = json_object();
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, n->eps);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct fg_ep *ep = value;
		uint64_t owner = 0;
		uint64_t fence = 0;

		fg_owner_get_state(n->owner, ep->id, &owner, &fence);
		json_array_append_new(
			all,
			json_pack("{s:s,s:s,s:s,s:s,s:b,s:i,s:s,s:I}", "name",
				  ep->info.name, "addr", ep->info.addr,
				  "service", ep->info.service, "region",
				  ep->info.region, "leaving", ep->leaving,
				  "sent", (int)ep->in_flight, "owner",
				  owner_name(n, owner), "fence",
				  (json_int_t)fence));
		if (ep->owned != NULL)
			json_object_set_new(owned, ep->info.name,
					    dump_owned(n, ep->owned));
	}
	json_object_set_new(out, "endpoints", all);
	json_object_set_new(out, "owned", owned);
}

static json_t *dump_requests(struct fg_node *n)
{
	static const char *const states[] = {
		[FG_REQ_LEDGER] = "ledger",   [FG_REQ_ADAPTER] = "adapter",
		[FG_REQ_GRANT] = "grant",     [FG_REQ_RUNNING] = "running",
		[FG_REQ_BACKOFF] = "backoff", [FG_REQ_FINISHING] = "finishing",
	};
	json_t *out = json_object();
	GHashTableIter it;
	gpointer value;
	int counts[G_N_ELEMENTS(states)] = { 0 };

	g_hash_table_iter_init(&it, n->reqs);
	while (g_hash_table_iter_next(&it, NULL, &value))
		counts[((struct fg_req *)value)->state]++;
	for (size_t i = FG_REQ_LEDGER; i < G_N_ELEMENTS(states); i++)
		json_object_set_new(out, states[i], json_integer(counts[i]));
	json_object_set_new(out, "total",
			    json_integer(g_hash_table_size(n->reqs)));
	return out;
}

static json_t *dump_broker(const struct fg_broker *b)
{
	struct fg_broker_stats s;

	if (b == NULL)
		return json_null();
	fg_broker_stats(b, &s);
	return json_pack("{s:i,s:i,s:I,s:I,s:I,s:I,s:I}", "waiting",
			 (int)s.waiting, "in_flight", (int)s.in_flight,
			 "ordered", (json_int_t)s.ordered, "done",
			 (json_int_t)s.done, "failed", (json_int_t)s.failed,
			 "refused", (json_int_t)s.refused, "timed_out",
			 (json_int_t)s.timed_out);
}

static json_t *dump_models(struct fg_node *n)
{
	json_t *out = json_object();
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, n->models);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct fg_model *m = value;
		uint64_t owner = 0;

		fg_owner_get_state(n->owner, m->broker_key, &owner, NULL);
		json_object_set_new(
			out, m->service,
			json_pack("{s:s,s:s,s:o,s:o}", "region", m->region,
				  "broker_at", owner_name(n, owner), "broker",
				  dump_broker(m->broker), "fallback",
				  dump_broker(m->fallback)));
	}
	return out;
}

static json_t *dump_suspects(struct fg_node *n)
{
	struct fg_suspect_view views[LIST_MAX];
	size_t total = fg_suspects_list(n->suspects, n->now, views, LIST_MAX);
	json_t *out = json_array();

	for (size_t i = 0; i < MIN(total, LIST_MAX); i++) {
		const struct fg_suspect_view *v = &views[i];
		const char *adapter = fg_config_adapter_name(n->config, v->av);
		char hex[24];

		g_snprintf(hex, sizeof(hex), "%016" PRIx64, v->fingerprint);
		json_array_append_new(
			out,
			json_pack("{s:s,s:s,s:i,s:b,s:b}", "fingerprint", hex,
				  "adapter", adapter != NULL ? adapter : "",
				  "crashes", (int)v->crashes, "refused",
				  v->refused, "running", v->running));
	}
	return out;
}

static json_t *dump_counters(const struct fg_node *n)
{
	json_t *out = json_object();

	for (int c = 0; c < FG_NC_COUNT; c++)
		json_object_set_new(out, fg_node_counter_name(c),
				    json_integer((json_int_t)n->counters[c]));
	return out;
}

json_t *fg_node_dump(struct fg_node *n, fg_ms now)
{
	const struct fg_list_entry *self = &n->conf.member.self;
	json_t *out;

	n->now = now;
	out = json_pack(
		"{s:s,s:s,s:s,s:s,s:s,s:b,s:b,s:I,s:i,s:s,s:i,s:i}", "name",
		self->name, "region", self->region, "dc", self->dc, "addr",
		self->addr, "standing",
		fg_standing_name(fg_member_standing(n->member, now)), "serving",
		fg_node_may_serve(n), "stopping", n->stop_begun_at != 0,
		"revision", (json_int_t)fg_config_revision(n->config),
		"confirm_age_ms",
		(int)MIN(fg_confsync_confirm_age(n->confsync, now), INT32_MAX),
		"preset", fg_config_preset(n->config)->name, "ledger_pending",
		(int)fg_ledger_pending(n->ledger), "said_region_size",
		(int)fg_member_advertised_size(n->member));
	json_object_set_new(out, "members", dump_members(n));
	if (fg_confsync_fault(n->confsync) != NULL)
		json_object_set_new(
			out, "fault",
			json_string(fg_confsync_fault(n->confsync)));
	dump_eps(n, out);
	json_object_set_new(out, "requests", dump_requests(n));
	json_object_set_new(out, "models", dump_models(n));
	json_object_set_new(out, "suspects", dump_suspects(n));
	json_object_set_new(out, "counters", dump_counters(n));
	return out;
}
