/* Adapter loads of the engines that this instance orders. */
#include "gateway/fg_gateway_internal.h"

#include <string.h>

/* An order without an answer for this long may act later. Engines answer at
 * once, a region's round trip is 24 ms, and everything else waits meanwhile. */
#define ORDER_TIMEOUT_MS 300
#define REPORT_TIMEOUT_MS 800
/* Loads on their way to one engine at once: the engines' own bound. */
#define COMING_MAX 4
/* A slot frees about each 150 ms at a busy engine, so that the last of these
 * still comes within the aim of its request. */
#define QUEUE_MAX 6
/* A load that nobody waits for any more. */
#define WANT_MAX_MS 1500

static void kick(struct fg_ep_user *u);

/* ---- What is resident ---- */

static void mark_coming(struct fg_ep_user *u, fg_ms now)
{
	uint64_t keys[FG_SLOTS_MAX];
	uint32_t n = fg_slots_list_pending(u->slots, keys);

	for (uint32_t i = 0; i < n; i++) {
		struct fg_ep_adapter *a =
			fg_ep_adapter_find_or_add(u->ep, now, keys[i]);

		if (a != NULL)
			a->pending_at = now;
	}
}

/* Loads from the weight store that this instance has ordered, and those that
 * wait here. */
static uint32_t fetching(const struct fg_gateway *gw, uint32_t *waiting)
{
	const GPtrArray *all = fg_fleet_all(gw->fleet);
	uint32_t n = 0;

	*waiting = 0;
	for (guint i = 0; i < all->len; i++) {
		const struct fg_fleet_ep *ep = all->pdata[i];
		const struct fg_ep_user *u = ep->user;

		if (u == NULL || u->slots == NULL)
			continue;
		n += fg_slots_count_fetching(u->slots);
		*waiting += fg_slots_count_fetch_queued(u->slots);
	}
	return n;
}

/* Takes over what the slots say; true when it changed. */
static bool publish(struct fg_ep_user *u, fg_ms now)
{
	struct fg_fleet_held held[FG_SLOTS_MAX + 1];
	uint32_t n = fg_slots_list_resident(u->slots, held);
	uint32_t same = 0;
	uint32_t before = 0;
	uint32_t running;
	uint32_t waiting;
	struct fg_fleet_ep *ep = u->ep;

	for (uint32_t i = 0; i < n; i++) {
		const struct fg_ep_adapter *a =
			fg_ep_adapter_find(ep, held[i].key);

		same += a != NULL && a->version == held[i].version ? 1 : 0;
	}
	for (uint32_t i = 0; i < ep->n_adapters; i++)
		before += ep->adapters[i].version != 0 ? 1 : 0;
	mark_coming(u, now);
	ep->resident_at = now;
	ep->spare_age_ms = fg_slots_spare_age_ms(u->slots, now);
	ep->queue = fg_slots_queue_len(u->slots);
	running = fetching(u->gw, &waiting);
	ep->fetch_wait_ms =
		fg_loadgate_wait_ms(&u->gw->loadgate, running, waiting);
	if (same == n && before == n)
		return false;
	fg_ep_set_resident(ep, now, held, n);
	return true;
}

static void changed(struct fg_ep_user *u)
{
	struct fg_gateway *gw = u->gw;
	struct fg_fleet_ep *ep = u->ep;

	if (!publish(u, fg_clock_now()))
		return;
	fg_mesh_heartbeat_now(gw);
	fg_gwreq_resident(gw, ep);
}

/* ---- Messages to the engine ---- */

static void log_order(const struct fg_ep_user *u, const char *event,
		      unsigned int status)
{
	char code[12];
	char fence[24];

	g_snprintf(code, sizeof(code), "%u", status);
	g_snprintf(fence, sizeof(fence), "%llu", (unsigned long long)u->fence);
	fg_log(FG_LOG_INFO, "orders", event, "endpoint", u->ep->facts.id,
	       "status", code, "fence", fence, NULL);
}

static void log_fetched(const struct fg_ep_user *u, uint32_t took_ms)
{
	char took[12];
	char window[12];

	g_snprintf(took, sizeof(took), "%u", took_ms);
	g_snprintf(window, sizeof(window), "%.1f", u->gw->loadgate.window);
	fg_log(FG_LOG_INFO, "orders", "fetched", "endpoint", u->ep->facts.id,
	       "took_ms", took, "window", window, NULL);
}

static void on_order(void *ctx, unsigned int status, const char *body,
		     size_t len)
{
	struct fg_ep_user *u = ctx;
	fg_ms now = fg_clock_now();
	enum fg_order_result result = FG_ORDER_UNKNOWN;
	uint32_t took_ms;
	uint32_t waiting;

	(void)body;
	(void)len;
	if (status != 0)
		result = u->gw->wire->order_result(status);
	if (result != FG_ORDER_ACCEPTED && result != FG_ORDER_HOLDS)
		log_order(u, "order_failed", status);
	if (result == FG_ORDER_MISDIRECTED) {
		u->ep->addr_taken = true;
		fg_orders_drop(u);
		return;
	}
	if (result == FG_ORDER_FENCED) {
		fg_claims_fenced(u->gw->claims, now, u->ep->facts.id);
		fg_orders_drop(u);
		return;
	}
	fg_slots_handle_result(u->slots, now, result);
	took_ms = fg_slots_take_fetched_ms(u->slots);
	if (took_ms > 0) {
		fg_loadgate_record_load(&u->gw->loadgate, took_ms,
					fetching(u->gw, &waiting));
		fg_hist_add(u->gw->hist_load, took_ms);
		log_fetched(u, took_ms);
	}
	changed(u);
	kick(u);
}

static void on_report(void *ctx, unsigned int status, const char *body,
		      size_t len)
{
	struct fg_ep_user *u = ctx;
	fg_ms now = fg_clock_now();
	struct fg_report report;
	GError *why = NULL;
	bool ok = false;

	if (status == HTTP_STATUS_OK) {
		ok = u->gw->wire->report_read(body, len, &report, &why);
		if (!ok) {
			fg_log(FG_LOG_WARN, "orders", "report_refused",
			       "endpoint", u->ep->facts.id, "reason",
			       why->message, NULL);
			g_error_free(why);
		}
	} else {
		log_order(u, "report_failed", status);
	}
	fg_slots_handle_report(u->slots, now, ok ? &report : NULL);
	changed(u);
	kick(u);
}

static void send_order(struct fg_ep_user *u, const struct fg_slots_step *step)
{
	const struct fg_gateway *gw = u->gw;
	struct fg_wire_order order = {
		.load = step->act == FG_SLOTS_LOAD,
		.endpoint_id = u->ep->facts.id,
		.model = step->model,
		.adapter = step->adapter,
		.version = step->version,
		.expected_sequence = step->expected_sequence,
		.holder = gw->conf->name,
		.fence = u->fence,
	};

	fg_gw_count(u->gw, "orders",
		    order.load ? "kind=\"load\"" : "kind=\"unload\"");
	fg_log(FG_LOG_DEBUG, "orders", order.load ? "load" : "unload",
	       "endpoint", u->ep->facts.id, "adapter", step->adapter, NULL);
	fg_channel_send(u->channel,
			gw->wire->order_write(u->ep->facts.address, &order),
			ORDER_TIMEOUT_MS, on_order, u);
}

static void on_wake(uv_timer_t *timer)
{
	kick(timer->data);
}

static void kick(struct fg_ep_user *u)
{
	fg_ms now = fg_clock_now();
	struct fg_slots_step step;
	uint32_t waiting;

	if (u->slots == NULL || fg_channel_busy(u->channel) ||
	    !u->gw->claims_checked)
		return;
	step = fg_slots_next(u->slots, now,
			     fg_loadgate_is_open(&u->gw->loadgate,
						 fetching(u->gw, &waiting)));
	switch (step.act) {
	case FG_SLOTS_REPORT:
		fg_gw_count(u->gw, "reports", NULL);
		fg_channel_send(u->channel,
				u->gw->wire->report_ask(u->ep->facts.address,
							u->ep->facts.id),
				REPORT_TIMEOUT_MS, on_report, u);
		break;
	case FG_SLOTS_LOAD:
	case FG_SLOTS_UNLOAD:
		send_order(u, &step);
		break;
	default:
		uv_timer_stop(u->timer);
		if (step.wake_at != FG_MS_NEVER)
			uv_timer_start(u->timer, on_wake,
				       (uint64_t)MAX(step.wake_at - now, 1), 0);
	}
}

/* ---- Which engines ---- */

/* Adapters with requests in flight count as used. */
static void note_running(struct fg_ep_user *u, fg_ms now)
{
	fg_uses_expire(&u->uses, now);
	for (uint32_t i = 0; i < u->ep->n_adapters; i++) {
		if (u->ep->adapters[i].running > 0)
			fg_slots_mark_used(u->slots, now,
					   u->ep->adapters[i].key);
	}
	for (guint i = 0; i < u->uses.list->len; i++)
		fg_slots_mark_used(
			u->slots, now,
			g_array_index(u->uses.list, struct fg_use, i).adapter);
	u->ep->peers_running = fg_uses_running(&u->uses);
	u->ep->peers_pending_tokens = fg_uses_pending_tokens(&u->uses);
}

void fg_orders_drop(struct fg_ep_user *u)
{
	if (u->slots == NULL)
		return;
	fg_slots_free(u->slots);
	fg_uses_clear(&u->uses);
	u->slots = NULL;
	fg_channel_free(u->channel);
	u->channel = NULL;
	fg_gw_timer_free(u->timer);
	u->timer = NULL;
	u->fence = 0;
}

static void apply_versions(struct fg_gateway *gw, struct fg_slots *slots)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, gw->versions);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct fg_wanted_version *w = value;

		fg_slots_announce_version(slots, w->key, w->version);
	}
}

static void take_up(struct fg_ep_user *u, const struct fg_svc *service,
		    uint64_t fence)
{
	struct fg_gateway *gw = u->gw;
	struct fg_slots_conf conf = {
		.slots = service->adapter_slots,
		.load_ms = gw->balance.load_ms,
		.loads_max = COMING_MAX,
		.queue_max = QUEUE_MAX,
		.request_ttl_ms = WANT_MAX_MS,
	};

	if (service->n_models > 0)
		g_strlcpy(conf.model, service->models[0].name,
			  sizeof(conf.model));
	u->slots = fg_slots_new(&conf);
	fg_uses_init(&u->uses);
	u->channel = fg_channel_new(&gw->loop, u->ep->facts.address);
	u->timer = fg_gw_timer_new(gw, u);
	u->fence = fence;
	u->facts_seen = u->ep->facts;
	apply_versions(gw, u->slots);
	log_order(u, "holds_orders", 0);
}

static bool restarted(const struct fg_ep_user *u)
{
	return u->facts_seen.born != u->ep->facts.born ||
	       strcmp(u->facts_seen.address, u->ep->facts.address) != 0;
}

static const struct fg_svc *engine_of(const struct fg_gateway *gw,
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

static void note_owner(struct fg_gateway *gw, struct fg_fleet_ep *ep, fg_ms now)
{
	uint64_t holder = fg_claims_holder(gw->claims, ep->facts.id);
	const struct fg_mesh_peer *peer = fg_peers_find(gw->peers, holder);

	if (holder == gw->incarnation ||
	    (peer != NULL && fg_peer_alive(peer, now)))
		ep->owner = holder;
	else
		ep->owner = 0;
}

void fg_orders_check(struct fg_gateway *gw, fg_ms now)
{
	const GPtrArray *all = fg_fleet_all(gw->fleet);

	for (guint i = 0; i < all->len; i++) {
		struct fg_fleet_ep *ep = all->pdata[i];
		const struct fg_svc *service = engine_of(gw, ep);
		uint64_t fence = fg_claims_fence(gw->claims, ep->facts.id);
		struct fg_ep_user *u = ep->user;

		if (service == NULL)
			continue;
		note_owner(gw, ep, now);
		if (u != NULL && u->slots != NULL &&
		    (fence != u->fence || restarted(u)))
			fg_orders_drop(u);
		if (fence == 0 || !fg_ep_is_usable(ep, now)) {
			if (u != NULL)
				fg_orders_drop(u);
			continue;
		}
		u = fg_ep_user_of(gw, ep);
		if (u->slots == NULL)
			take_up(u, service, fence);
		note_running(u, now);
		publish(u, now);
		kick(u);
	}
}

/* ---- For the other parts ---- */

enum fg_slot_state fg_orders_want(struct fg_gateway *gw, struct fg_fleet_ep *ep,
				  const char *model, const char *adapter,
				  uint64_t version)
{
	struct fg_ep_user *u = fg_ep_user_of(gw, ep);
	enum fg_slot_state state;

	if (u->slots != NULL) {
		state = fg_slots_request_load(u->slots, fg_clock_now(), model,
					      adapter, version);
		kick(u);
		return state;
	}
	if (ep->owner == 0 || ep->owner == gw->incarnation)
		return FG_SLOT_FULL;
	fg_mesh_send_load_req(gw, ep->owner, ep, model, adapter, version);
	return FG_SLOT_PENDING;
}

void fg_orders_used(struct fg_gateway *gw, struct fg_fleet_ep *ep,
		    struct fg_ep_adapter *a)
{
	const struct fg_ep_user *u = ep->user;
	fg_ms now = fg_clock_now();

	a->used_at = now;
	if (u != NULL && u->slots != NULL)
		fg_slots_mark_used(u->slots, now, a->key);
	else if (ep->owner != 0)
		fg_mesh_send_use(gw, ep, a);
}

void fg_orders_take_use(struct fg_gateway *gw, struct fg_fleet_ep *ep,
			const struct fg_use *use)
{
	struct fg_ep_user *u = ep->user;

	(void)gw;
	if (u == NULL || u->slots == NULL)
		return;
	fg_uses_put(&u->uses, use);
	fg_slots_mark_used(u->slots, use->reported_at, use->adapter);
	ep->peers_running = fg_uses_running(&u->uses);
	ep->peers_pending_tokens = fg_uses_pending_tokens(&u->uses);
}

void fg_orders_announced(struct fg_gateway *gw, uint64_t key, uint64_t version)
{
	const GPtrArray *all = fg_fleet_all(gw->fleet);

	for (guint i = 0; i < all->len; i++) {
		struct fg_fleet_ep *ep = all->pdata[i];
		struct fg_ep_user *u = ep->user;
		struct fg_ep_adapter *a = fg_ep_adapter_find(ep, key);

		if (u != NULL && u->slots != NULL) {
			fg_slots_announce_version(u->slots, key, version);
			changed(u);
			kick(u);
		} else if (a != NULL && a->version < version) {
			a->version = 0;
		}
	}
}
