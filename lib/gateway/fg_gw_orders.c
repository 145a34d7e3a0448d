/* Ordering of adapter loads at the engines that this instance owns. */
#include "gateway/fg_gateway_internal.h"

#include <string.h>

/* An order without an answer for this long counts as unknown and may still take
 * effect. Engines answer at once and a round trip between regions takes 24 ms;
 * a longer timeout would delay all other messages to the engine. */
#define ORDER_TIMEOUT_MS 300
#define REPORT_TIMEOUT_MS 800
/* Concurrent loads at one engine; the engines enforce the same limit. */
#define LOADS_MAX 4
/* Adapters that may wait for a slot. A busy engine frees a slot about every
 * 150 ms, so the last one is still loaded within the target latency of its
 * request. */
#define QUEUE_MAX 6
/* A requested load is dropped when it was not requested again for this long. */
#define LOAD_REQUEST_TTL_MS 1500

/* No order is sent when the periodic tick is this late. */
#define TICK_LATE_MS 400
/* Loads are refused while the engine gets no order for longer than this. */
#define ORDER_WAIT_MAX_MS 500

static void send_next_message(struct fg_ep_local *local);

/* ---- Resident adapters ---- */

static void mark_adapters_pending(struct fg_ep_local *local, fg_ms now)
{
	uint64_t keys[FG_SLOTS_MAX];
	uint32_t n = fg_slots_list_pending(local->slots, keys);

	for (uint32_t i = 0; i < n; i++) {
		struct fg_ep_adapter *a =
			fg_ep_adapter_find_or_add(local->ep, now, keys[i]);

		if (a != NULL)
			a->pending_at = now;
	}
}

/* Number of loads from the weight store that this instance has in progress;
 * *waiting is the number of those that are queued here. */
static uint32_t count_fetches(const struct fg_gateway *gw, uint32_t *waiting)
{
	const GPtrArray *all = fg_fleet_all(gw->fleet);
	uint32_t n = 0;

	*waiting = 0;
	for (guint i = 0; i < all->len; i++) {
		const struct fg_fleet_ep *ep = all->pdata[i];
		const struct fg_ep_local *local = ep->user;

		if (local == NULL || local->slots == NULL)
			continue;
		n += fg_slots_count_fetching(local->slots);
		*waiting += fg_slots_count_fetch_queued(local->slots);
	}
	return n;
}

/* Time until orders may be sent to the engine, at most FG_CLAIM_TAKEOVER_MS. */
static uint32_t order_wait_ms(const struct fg_ep_local *local, fg_ms now)
{
	return MIN(fg_claims_order_wait_ms(local->gw->claims, now,
					   local->ep->facts.id),
		   FG_CLAIM_TAKEOVER_MS);
}

/* Copies the state of the slots into the endpoint's record. Returns true when
 * the resident adapters changed. */
static bool update_resident(struct fg_ep_local *local, fg_ms now)
{
	struct fg_fleet_held held[FG_SLOTS_MAX + 1];
	uint32_t n = fg_slots_list_resident(local->slots, held);
	uint32_t same = 0;
	uint32_t before = 0;
	uint32_t running;
	uint32_t waiting;
	struct fg_fleet_ep *ep = local->ep;

	for (uint32_t i = 0; i < n; i++) {
		const struct fg_ep_adapter *a =
			fg_ep_adapter_find(ep, held[i].key);

		same += a != NULL && a->version == held[i].version ? 1 : 0;
	}
	for (uint32_t i = 0; i < ep->n_adapters; i++)
		before += ep->adapters[i].version != 0 ? 1 : 0;
	mark_adapters_pending(local, now);
	ep->resident_at = now;
	ep->spare_age_ms = fg_slots_spare_age_ms(local->slots, now);
	ep->queue = fg_slots_queue_len(local->slots);
	running = count_fetches(local->gw, &waiting);
	ep->fetch_wait_ms =
		MAX(fg_loadgate_wait_ms(&local->gw->loadgate, running, waiting),
		    order_wait_ms(local, now));
	if (same == n && before == n)
		return false;
	fg_ep_set_resident(ep, now, held, n);
	return true;
}

static void announce_change(struct fg_ep_local *local)
{
	struct fg_gateway *gw = local->gw;
	struct fg_fleet_ep *ep = local->ep;

	if (!update_resident(local, fg_clock_now()))
		return;
	fg_gw_mesh_send_heartbeat(gw);
	fg_gwreq_on_resident(gw, ep);
}

/* ---- Messages to the engine ---- */

static void log_order(const struct fg_ep_local *local, const char *event,
		      unsigned int status)
{
	char code[12];
	char fence[24];

	g_snprintf(code, sizeof(code), "%u", status);
	g_snprintf(fence, sizeof(fence), "%llu",
		   (unsigned long long)local->fence);
	fg_log(FG_LOG_INFO, "orders", event, "endpoint", local->ep->facts.id,
	       "status", code, "fence", fence, NULL);
}

static void log_fetch(const struct fg_ep_local *local, uint32_t took_ms)
{
	char took[12];
	char window[12];

	g_snprintf(took, sizeof(took), "%u", took_ms);
	g_snprintf(window, sizeof(window), "%.1f", local->gw->loadgate.window);
	fg_log(FG_LOG_INFO, "orders", "fetched", "endpoint",
	       local->ep->facts.id, "took_ms", took, "window", window, NULL);
}

static void on_order(void *ctx, unsigned int status, const char *body,
		     size_t len)
{
	struct fg_ep_local *local = ctx;
	fg_ms now = fg_clock_now();
	enum fg_wire_order_result result = FG_WIRE_ORDER_UNKNOWN;
	uint32_t took_ms;
	uint32_t waiting;

	(void)body;
	(void)len;
	if (status != 0)
		result = local->gw->wire->order_result(status);
	if (result != FG_WIRE_ORDER_ACCEPTED &&
	    result != FG_WIRE_ORDER_ALREADY_DONE)
		log_order(local, "order_failed", status);
	if (result == FG_WIRE_ORDER_MISDIRECTED) {
		local->ep->addr_taken = true;
		fg_orders_release(local);
		return;
	}
	if (result == FG_WIRE_ORDER_FENCED) {
		fg_claims_handle_fenced(local->gw->claims, now,
					local->ep->facts.id);
		fg_orders_release(local);
		return;
	}
	fg_slots_handle_result(local->slots, now, result);
	took_ms = fg_slots_take_fetched_ms(local->slots);
	if (took_ms > 0) {
		fg_loadgate_record_load(&local->gw->loadgate, took_ms,
					count_fetches(local->gw, &waiting));
		fg_hist_add(local->gw->hist_load, took_ms);
		log_fetch(local, took_ms);
	}
	announce_change(local);
	send_next_message(local);
}

static void on_report(void *ctx, unsigned int status, const char *body,
		      size_t len)
{
	struct fg_ep_local *local = ctx;
	fg_ms now = fg_clock_now();
	struct fg_engine_report report;
	GError *why = NULL;
	bool ok = false;

	if (status == HTTP_STATUS_OK) {
		ok = local->gw->wire->report_read(body, len, &report, &why);
		if (!ok) {
			fg_log(FG_LOG_WARN, "orders", "report_refused",
			       "endpoint", local->ep->facts.id, "reason",
			       why->message, NULL);
			g_error_free(why);
		}
	} else {
		log_order(local, "report_failed", status);
	}
	if (status == 0)
		fg_ep_note_unreached(local->gw, local->ep, "no_report");
	fg_slots_handle_report(local->slots, now, ok ? &report : NULL);
	announce_change(local);
	send_next_message(local);
}

static void send_order(struct fg_ep_local *local,
		       const struct fg_slots_step *step)
{
	const struct fg_gateway *gw = local->gw;
	struct fg_wire_order order = {
		.load = step->act == FG_SLOTS_LOAD,
		.endpoint_id = local->ep->facts.id,
		.model = step->model,
		.adapter = step->adapter,
		.version = step->version,
		.expected_sequence = step->expected_sequence,
		.holder = gw->conf->name,
		.fence = local->fence,
	};

	fg_gw_count_event(local->gw, "orders",
			  order.load ? "kind=\"load\"" : "kind=\"unload\"");
	fg_claims_note_order(gw->claims, fg_clock_now(), local->ep->facts.id);
	fg_log(FG_LOG_DEBUG, "orders", order.load ? "load" : "unload",
	       "endpoint", local->ep->facts.id, "adapter", step->adapter, NULL);
	fg_channel_send(local->channel,
			gw->wire->order_write(local->ep->facts.address, &order),
			ORDER_TIMEOUT_MS, on_order, local);
}

/* The first check covers a pause of this process that no tick has noticed yet:
 * another instance may have taken the engine over meanwhile. */
static bool may_order(const struct fg_ep_local *local, fg_ms now)
{
	const struct fg_gateway *gw = local->gw;

	return now - gw->last_tick_at < TICK_LATE_MS && gw->claims_current &&
	       now >= local->ep->paused_until &&
	       fg_claims_order_wait_ms(gw->claims, now, local->ep->facts.id) ==
		       0;
}

static void on_wake_timer(uv_timer_t *timer)
{
	send_next_message(timer->data);
}

static void send_next_message(struct fg_ep_local *local)
{
	fg_ms now = fg_clock_now();
	struct fg_slots_step step;
	uint32_t waiting;

	if (local->slots == NULL || fg_channel_is_busy(local->channel) ||
	    !may_order(local, now))
		return;
	step = fg_slots_next(
		local->slots, now,
		fg_loadgate_is_open(&local->gw->loadgate,
				    count_fetches(local->gw, &waiting)));
	switch (step.act) {
	case FG_SLOTS_REPORT:
		fg_gw_count_event(local->gw, "reports", NULL);
		fg_channel_send(
			local->channel,
			local->gw->wire->report_get(local->ep->facts.address,
						    local->ep->facts.id),
			REPORT_TIMEOUT_MS, on_report, local);
		break;
	case FG_SLOTS_LOAD:
	case FG_SLOTS_UNLOAD:
		send_order(local, &step);
		break;
	default:
		uv_timer_stop(local->timer);
		if (step.wake_at != FG_MS_NEVER)
			uv_timer_start(local->timer, on_wake_timer,
				       (uint64_t)MAX(step.wake_at - now, 1), 0);
	}
}

/* ---- Choice of engines ---- */

/* Marks adapters with requests in flight as used, so that none is evicted, and
 * refreshes the totals of the other instances. */
static void update_uses(struct fg_ep_local *local, fg_ms now)
{
	fg_uses_expire(&local->uses, now);
	for (uint32_t i = 0; i < local->ep->n_adapters; i++) {
		if (local->ep->adapters[i].running > 0)
			fg_slots_mark_used(local->slots, now,
					   local->ep->adapters[i].key);
	}
	for (guint i = 0; i < local->uses.list->len; i++)
		fg_slots_mark_used(
			local->slots, now,
			g_array_index(local->uses.list, struct fg_use, i)
				.adapter);
	local->ep->peers_running = fg_uses_running(&local->uses);
	local->ep->peers_pending_tokens = fg_uses_pending_tokens(&local->uses);
}

void fg_orders_release(struct fg_ep_local *local)
{
	if (local->slots == NULL)
		return;
	fg_slots_free(local->slots);
	fg_uses_clear(&local->uses);
	local->slots = NULL;
	fg_channel_free(local->channel);
	local->channel = NULL;
	fg_gw_timer_free(local->timer);
	local->timer = NULL;
	local->fence = 0;
}

static void apply_versions(struct fg_gateway *gw, struct fg_slots *slots)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, gw->announced_versions);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct fg_announced_version *announced = value;

		fg_slots_announce_version(slots, announced->key,
					  announced->version);
	}
}

/* Answers to orders and reports say as well that the engine is leaving, or its
 * limit. */
static uint64_t on_answer_head(void *ctx, const struct fg_channel *c,
			       const struct fg_h1_head *head)
{
	struct fg_ep_local *local = ctx;
	struct fg_wire_reply reply;

	(void)c;
	local->gw->wire->reply_read(head, &reply);
	fg_ep_apply_reply(local->gw, local->ep, &reply);
	fg_ep_apply_limit(local->gw, local->ep, &reply);
	return 0;
}

static struct fg_slots_model describe_model(const struct fg_svc_model *m)
{
	return (struct fg_slots_model){
		.name = m->name,
		.weights_kb = m->weights_kb,
		.adapter_kb = m->adapter_kb,
	};
}

bool fg_orders_could_hold(const struct fg_svc *service, const char *model)
{
	struct fg_slots_limits limits = { .memory_kb = service->memory_kb,
					  .n_models = 1 };
	struct fg_slots_model described;

	for (uint32_t i = 0; i < service->n_models; i++) {
		if (strcmp(service->models[i].name, model) != 0)
			continue;
		described = describe_model(&service->models[i]);
		limits.models = &described;
		return fg_slots_could_hold(&limits, model);
	}
	return true;
}

/* Takes over what the configuration says that the engine can hold. */
static void apply_limits(struct fg_ep_local *local,
			 const struct fg_svc *service)
{
	struct fg_slots_model *models =
		g_new(struct fg_slots_model, service->n_models);
	struct fg_slots_limits limits = {
		.slots = service->adapter_slots,
		.memory_kb = service->memory_kb,
		.models = models,
		.n_models = service->n_models,
	};
	bool fits = service->n_models == 0;

	for (uint32_t i = 0; i < service->n_models; i++) {
		models[i] = describe_model(&service->models[i]);
		fits = fits || limits.memory_kb == 0 ||
		       models[i].weights_kb <= limits.memory_kb;
	}
	fg_slots_set_limits(local->slots, &limits);
	g_free(models);
	local->limits_version = local->gw->routes->version;
	if (!fits)
		fg_log(FG_LOG_ERROR, "orders", "models_larger_than_engine",
		       "endpoint", local->ep->facts.id, "service",
		       service->name, NULL);
}

static void take_over_engine(struct fg_ep_local *local,
			     const struct fg_svc *service)
{
	struct fg_gateway *gw = local->gw;
	struct fg_slots_conf conf = {
		.load_ms = gw->balance.load_ms,
		.loads_max = LOADS_MAX,
		.queue_max = QUEUE_MAX,
		.request_ttl_ms = LOAD_REQUEST_TTL_MS,
	};

	local->slots = fg_slots_new(&conf);
	apply_limits(local, service);
	fg_uses_init(&local->uses);
	local->channel = fg_channel_new(&gw->loop, local->ep->facts.address);
	local->timer = fg_gw_timer_new(gw, local);
	local->fence = fg_claims_fence(gw->claims, local->ep->facts.id);
	local->tenure = fg_claims_tenure(gw->claims, local->ep->facts.id);
	local->facts_seen = local->ep->facts;
	fg_channel_set_head_hook(local->channel, on_answer_head, local);
	fg_channel_use_once(local->channel);
	apply_versions(gw, local->slots);
	log_order(local, "holds_orders", 0);
}

static bool has_restarted(const struct fg_ep_local *local)
{
	return local->facts_seen.born != local->ep->facts.born ||
	       strcmp(local->facts_seen.address, local->ep->facts.address) != 0;
}

static const struct fg_svc *engine_service(const struct fg_gateway *gw,
					   const struct fg_fleet_ep *ep)
{
	const struct fg_svc *s;
	int i;

	if (gw->routes == NULL)
		return NULL;
	i = fg_routes_find_service(gw->routes, ep->facts.service);
	if (i < 0)
		return NULL;
	s = gw->routes->services->pdata[i];
	return s->engine ? s : NULL;
}

static void update_owner(struct fg_gateway *gw, struct fg_fleet_ep *ep,
			 fg_ms now)
{
	uint64_t owner = fg_claims_owner(gw->claims, ep->facts.id);
	const struct fg_mesh_peer *peer = fg_peers_find(gw->peers, owner);

	if (owner == gw->incarnation ||
	    (peer != NULL && fg_peer_is_alive(peer, now)))
		ep->owner = owner;
	else
		ep->owner = 0;
}

/* Returns whether the ownership in which this instance ordered at the engine
 * has ended, or the engine has started again. */
static bool has_ended(const struct fg_ep_local *local, uint64_t tenure,
		      fg_ms now)
{
	const char *reason = NULL;
	char owner[20];
	char proof[12];

	if (has_restarted(local))
		reason = "endpoint_restarted";
	else if (tenure == 0)
		reason = "not_owner";
	else if (tenure != local->tenure)
		reason = "owner_changed";
	if (reason == NULL)
		return false;
	g_snprintf(owner, sizeof(owner), "%016llx",
		   (unsigned long long)fg_claims_owner(local->gw->claims,
						       local->ep->facts.id));
	g_snprintf(proof, sizeof(proof), "%d",
		   (int)fg_claims_proof_age_ms(local->gw->claims, now));
	fg_log(FG_LOG_INFO, "orders", "orders_end", "endpoint",
	       local->ep->facts.id, "reason", reason, "owner", owner,
	       "proof_age_ms", proof, NULL);
	return true;
}

void fg_orders_count_waits(struct fg_gateway *gw, fg_ms now, fg_ms elapsed_ms)
{
	const GPtrArray *all = fg_fleet_all(gw->fleet);
	uint64_t unowned_ms = 0;
	uint64_t held_ms = 0;

	for (guint i = 0; i < all->len; i++) {
		const struct fg_fleet_ep *ep = all->pdata[i];
		const struct fg_ep_local *local = ep->user;

		if (!fg_ep_is_usable(ep, now) || engine_service(gw, ep) == NULL)
			continue;
		if (ep->owner == 0)
			unowned_ms += (uint64_t)elapsed_ms;
		else if (local != NULL && local->slots != NULL &&
			 fg_claims_order_wait_ms(gw->claims, now,
						 ep->facts.id) != 0)
			held_ms += (uint64_t)elapsed_ms;
	}
	fg_gw_add_counter(gw, "engine_unowned_ms", NULL, unowned_ms);
	fg_gw_add_counter(gw, "engine_held_ms", NULL, held_ms);
}

void fg_orders_refresh(struct fg_gateway *gw, fg_ms now)
{
	const GPtrArray *all = fg_fleet_all(gw->fleet);

	for (guint i = 0; i < all->len; i++) {
		struct fg_fleet_ep *ep = all->pdata[i];
		const struct fg_svc *service = engine_service(gw, ep);
		uint64_t fence = fg_claims_fence(gw->claims, ep->facts.id);
		struct fg_ep_local *local = ep->user;

		if (service == NULL)
			continue;
		update_owner(gw, ep, now);
		if (local != NULL && local->slots != NULL &&
		    has_ended(local, fg_claims_tenure(gw->claims, ep->facts.id),
			      now))
			fg_orders_release(local);
		if (fence == 0 || !fg_ep_is_usable(ep, now)) {
			if (local != NULL)
				fg_orders_release(local);
			continue;
		}
		local = fg_ep_local_get(gw, ep);
		if (local->slots == NULL)
			take_over_engine(local, service);
		else if (local->limits_version != gw->routes->version)
			apply_limits(local, service);
		local->fence = fence;
		update_uses(local, now);
		update_resident(local, now);
		send_next_message(local);
	}
}

/* ---- Interface to the other files ---- */

enum fg_slot_state fg_orders_request_load(struct fg_gateway *gw,
					  struct fg_fleet_ep *ep,
					  const char *model,
					  const char *adapter, uint64_t version)
{
	struct fg_ep_local *local = fg_ep_local_get(gw, ep);
	enum fg_slot_state state;

	if (local->slots != NULL) {
		fg_ms now = fg_clock_now();

		if (order_wait_ms(local, now) > ORDER_WAIT_MAX_MS &&
		    fg_slots_state(local->slots,
				   fg_adapter_key(model, adapter)) ==
			    FG_SLOT_ABSENT)
			return FG_SLOT_FULL;
		state = fg_slots_request_load(local->slots, now, model, adapter,
					      version);
		send_next_message(local);
		return state;
	}
	if (ep->owner == 0 || ep->owner == gw->incarnation)
		return FG_SLOT_FULL;
	fg_gw_mesh_send_load_req(gw, ep->owner, ep, model, adapter, version);
	return FG_SLOT_PENDING;
}

void fg_orders_note_use(struct fg_gateway *gw, struct fg_fleet_ep *ep,
			struct fg_ep_adapter *a)
{
	const struct fg_ep_local *local = ep->user;
	fg_ms now = fg_clock_now();

	a->used_at = now;
	if (local != NULL && local->slots != NULL)
		fg_slots_mark_used(local->slots, now, a->key);
	else if (ep->owner != 0)
		fg_gw_mesh_send_use(gw, ep, a);
}

void fg_orders_apply_use(struct fg_gateway *gw, struct fg_fleet_ep *ep,
			 const struct fg_use *use)
{
	struct fg_ep_local *local = ep->user;

	(void)gw;
	if (local == NULL || local->slots == NULL)
		return;
	fg_uses_put(&local->uses, use);
	fg_slots_mark_used(local->slots, use->reported_at, use->adapter);
	ep->peers_running = fg_uses_running(&local->uses);
	ep->peers_pending_tokens = fg_uses_pending_tokens(&local->uses);
}

void fg_orders_on_announcement(struct fg_gateway *gw, uint64_t key,
			       uint64_t version)
{
	const GPtrArray *all = fg_fleet_all(gw->fleet);

	for (guint i = 0; i < all->len; i++) {
		struct fg_fleet_ep *ep = all->pdata[i];
		struct fg_ep_local *local = ep->user;
		struct fg_ep_adapter *a = fg_ep_adapter_find(ep, key);

		if (local != NULL && local->slots != NULL) {
			fg_slots_announce_version(local->slots, key, version);
			announce_change(local);
			send_next_message(local);
		} else if (a != NULL && a->version < version) {
			a->version = 0;
		}
	}
}
