/* The broker role, and what other instances send to a broker. */
#include <string.h>

#include "node/fg_node_internal.h"

void fg_model_free(void *arg)
{
	struct fg_model *m = arg;

	fg_broker_free(m->broker);
	fg_broker_free(m->fallback);
	g_hash_table_destroy(m->arrivals);
	g_free(m->service);
	g_free(m);
}

/* ---- Brokers of a region and base model ---- */

/* `sharers` is the number of brokers that split the weight store's budget. */
static struct fg_broker *create_broker(struct fg_node *n,
				       const struct fg_model *m, uint64_t fence,
				       uint32_t sharers)
{
	const struct fg_service *service =
		fg_config_service(n->config, m->service);
	struct fg_broker_conf conf = {
		.fence = fence,
		.loads_per_s = MAX(service->loads_per_s / sharers, 1),
		.in_flight_max = MAX(service->loads_in_flight / sharers, 1),
		.load_ms = service->load_ms,
		.order_timeout_ms = n->conf.order_timeout_ms,
		.stall_weight = fg_config_preset(n->config)->stall_weight,
	};
	struct fg_broker *broker;

	g_strlcpy(conf.service, m->service, sizeof(conf.service));
	g_strlcpy(conf.region, m->region, sizeof(conf.region));
	broker = fg_broker_new(&conf, n->dir, n->conf.place_policy,
			       fg_rand_next(&n->rand));
	fg_broker_set_hold_max(broker,
			       fg_config_preset(n->config)->hold_max_ms);
	return broker;
}

/* While there is no broker, each instance of the region uses a fallback broker
 * with an equal share of the weight store's budget. */
static uint32_t count_budget_sharers(struct fg_node *n)
{
	uint64_t ids[1024];
	size_t total = fg_node_live_peers(n, ids, G_N_ELEMENTS(ids));

	return (uint32_t)total + 1;
}

/* Chooses the own region if it has engines for the service, otherwise the first
 * region by name that has some. */
static void choose_region(struct fg_node *n, struct fg_model *m)
{
	const char *own_region = n->conf.member.self.region;
	const char *best = NULL;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, n->eps);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct fg_ep *ep = value;

		if (ep->info.kind != FG_LIST_ENTRY_ENGINE || ep->leaving ||
		    strcmp(ep->info.service, m->service) != 0)
			continue;
		if (best == NULL || strcmp(ep->info.region, own_region) == 0 ||
		    (strcmp(best, own_region) != 0 &&
		     strcmp(ep->info.region, best) < 0))
			best = ep->info.region;
	}
	g_strlcpy(m->region, best != NULL ? best : own_region,
		  sizeof(m->region));
}

static uint64_t make_broker_key(const struct fg_model *m)
{
	char name[2 * FG_NAME_BYTES + 16];

	g_snprintf(name, sizeof(name), "broker/%s/%s", m->region, m->service);
	return fg_hash_str(name);
}

static void update_region(struct fg_node *n, struct fg_model *m)
{
	uint64_t key;

	choose_region(n, m);
	key = make_broker_key(m);
	if (key == m->broker_key)
		return;
	g_clear_pointer(&m->broker, fg_broker_free);
	g_clear_pointer(&m->fallback, fg_broker_free);
	m->broker_key = key;
	if (strcmp(m->region, n->conf.member.self.region) == 0)
		fg_owner_set_key(n->owner, key, m->region, "", false);
}

struct fg_model *fg_model_get(struct fg_node *n, const char *service)
{
	struct fg_model *m = g_hash_table_lookup(n->models, service);

	if (m != NULL)
		return m;
	m = g_new0(struct fg_model, 1);
	m->service = g_strdup(service);
	m->arrivals = g_hash_table_new_full(fg_key_hash, g_int64_equal, g_free,
					    g_free);
	g_hash_table_insert(n->models, m->service, m);
	update_region(n, m);
	return m;
}

static struct fg_model *find_model_by_key(struct fg_node *n, uint64_t key)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, n->models);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct fg_model *m = value;

		if (m->broker_key == key)
			return m;
	}
	return NULL;
}

bool fg_model_on_key_gained(struct fg_node *n, uint64_t key, uint64_t fence)
{
	struct fg_model *m = find_model_by_key(n, key);

	if (m == NULL)
		return false;
	fg_broker_free(m->broker);
	m->broker = create_broker(n, m, fence, 1);
	fg_node_emit_event(n, "broker",
			   json_pack("{s:s,s:s,s:I}", "service", m->service,
				     "region", m->region, "fence",
				     (json_int_t)fence));
	return true;
}

bool fg_model_on_key_lost(struct fg_node *n, uint64_t key)
{
	struct fg_model *m = find_model_by_key(n, key);

	if (m == NULL)
		return false;
	g_clear_pointer(&m->broker, fg_broker_free);
	return true;
}

static void apply_settings(struct fg_broker *b,
			   const struct fg_service *service,
			   const struct fg_preset *preset)
{
	fg_broker_set_limits(b, service->loads_per_s, service->loads_in_flight,
			     service->load_ms, preset->stall_weight);
	fg_broker_set_hold_max(b, preset->hold_max_ms);
}

void fg_models_apply_config(struct fg_node *n)
{
	const struct fg_preset *preset = fg_config_preset(n->config);
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, n->models);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct fg_model *m = value;
		const struct fg_service *service =
			fg_config_service(n->config, m->service);

		if (m->broker != NULL)
			apply_settings(m->broker, service, preset);
		g_clear_pointer(&m->fallback, fg_broker_free);
	}
}

void fg_models_on_peer_dead(struct fg_node *n, uint64_t id)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, n->models);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct fg_model *m = value;

		if (m->broker != NULL)
			fg_broker_on_router_gone(m->broker, id);
	}
}

/* ---- Needs ---- */

static uint64_t find_broker(struct fg_node *n, const struct fg_model *m)
{
	const struct fg_peer_view *peer;
	uint64_t owner = 0;

	fg_owner_get_state(n->owner, m->broker_key, &owner, NULL);
	if (owner == n->self)
		return m->broker != NULL ? owner : 0;
	peer = fg_member_find(n->member, owner);
	if (peer == NULL || peer->state == FG_PEER_DEAD)
		return 0;
	return owner;
}

void fg_model_send_need(struct fg_node *n, uint64_t from, const fg_need *need,
			const char *service)
{
	struct fg_model *m = fg_model_get(n, service);
	uint64_t broker = find_broker(n, m);
	fg_msg *msg;

	if (broker != 0) {
		msg = fg_msg_new(FG_MSG_NEED);
		msg->body.fg_body_u.need = *need;
		fg_node_send_and_free(n, broker, msg);
		return;
	}

	if (m->fallback == NULL)
		m->fallback = create_broker(n, m, 0, count_budget_sharers(n));
	fg_broker_on_need(m->fallback, n->now, from, need);
}

static struct fg_model *find_model_by_av(struct fg_node *n, fg_av av)
{
	const char *base = fg_config_adapter_base(n->config, av);

	return base != NULL ? fg_model_get(n, base) : NULL;
}

void fg_model_on_need(struct fg_node *n, uint64_t from, const fg_need *need)
{
	struct fg_model *m = find_model_by_av(n, need->av);

	if (m == NULL || m->broker == NULL)
		return;
	fg_broker_on_need(m->broker, n->now, from, need);
}

/* ---- Arrival counts, reported to the broker in POPULARITY messages ---- */

void fg_model_count_arrival(struct fg_node *n, const char *service, fg_av av)
{
	struct fg_model *m = fg_model_get(n, service);
	uint64_t key = fg_av_key(av);
	uint32_t *count = g_hash_table_lookup(m->arrivals, &key);

	if (count == NULL) {
		uint64_t *stored_key = g_new(uint64_t, 1);

		*stored_key = key;
		count = g_new0(uint32_t, 1);
		g_hash_table_insert(m->arrivals, stored_key, count);
	}
	(*count)++;
}

/* Moves up to FG_LIST_MAX counts into a message. The next report takes the
 * others. */
static fg_msg *take_arrivals(struct fg_model *m)
{
	fg_msg *msg = fg_msg_new(FG_MSG_POPULARITY);
	fg_popularity *popularity = &msg->body.fg_body_u.popularity;
	GHashTableIter it;
	gpointer key;
	gpointer count;

	popularity->seq = ++m->popularity_seq;
	popularity->items.items_val =
		calloc(FG_LIST_MAX, sizeof(fg_popularity_item));
	g_hash_table_iter_init(&it, m->arrivals);
	while (popularity->items.items_len < FG_LIST_MAX &&
	       g_hash_table_iter_next(&it, &key, &count)) {
		fg_popularity_item *item =
			&popularity->items
				 .items_val[popularity->items.items_len++];

		item->av.adapter = (u_int)(*(uint64_t *)key >> 32);
		item->av.ver = (u_int) * (uint64_t *)key;
		item->count = *(uint32_t *)count;
		g_hash_table_iter_remove(&it);
	}
	return msg;
}

static void send_arrivals(struct fg_node *n, struct fg_model *m)
{
	uint64_t broker = find_broker(n, m);
	fg_msg *msg;

	if (g_hash_table_size(m->arrivals) == 0)
		return;
	msg = take_arrivals(m);
	if (broker != 0)
		fg_node_send(n, broker, msg);
	else if (m->fallback != NULL)
		fg_broker_on_popularity(m->fallback, n->now,
					&msg->body.fg_body_u.popularity);
	fg_msg_free(msg);
}

void fg_model_on_popularity(struct fg_node *n, const fg_popularity *popularity)
{
	struct fg_model *m;

	if (popularity->items.items_len == 0)
		return;
	m = find_model_by_av(n, popularity->items.items_val[0].av);
	if (m != NULL && m->broker != NULL)
		fg_broker_on_popularity(m->broker, n->now, popularity);
}

/* ---- PLACE orders ---- */

struct emit_ctx {
	struct fg_node *n;
	struct fg_broker *broker;
};

/* Tells the broker that its order cannot be sent: the endpoint has no known
 * owner. */
static void refuse_order(struct fg_broker *broker, fg_ms now,
			 const fg_place *place)
{
	fg_place_rep rep = {
		.order = place->order,
		.ep = place->ep,
		.av = place->av,
		.status = FG_PLACE_REFUSED,
	};

	fg_broker_on_reply(broker, now, &rep);
}

static void send_place(void *arg, const fg_place *place)
{
	struct emit_ctx *e = arg;
	uint64_t owner = 0;
	fg_msg *msg;

	fg_owner_get_state(e->n->owner, place->ep, &owner, NULL);
	if (owner == 0) {
		refuse_order(e->broker, e->n->now, place);
		return;
	}
	msg = fg_msg_new(FG_MSG_PLACE);
	msg->body.fg_body_u.place = *place;
	fg_node_send_and_free(e->n, owner, msg);
}

/* The broker cannot meet a need in time. The instance that announced the need
 * answers the requests concerned. */
static void send_refusal(void *arg, uint64_t to, const fg_place_rep *rep)
{
	struct emit_ctx *e = arg;
	fg_msg *msg = fg_msg_new(FG_MSG_PLACE_REP);

	msg->body.fg_body_u.place_rep = *rep;
	fg_node_send_and_free(e->n, to, msg);
}

/* A reply does not say which broker sent the order. Each broker ignores order
 * ids that are not its own. */
void fg_model_on_place_rep(struct fg_node *n, const fg_place_rep *rep)
{
	struct fg_model *m = find_model_by_av(n, rep->av);

	if (rep->order == 0) {
		fg_wait_on_refused(n, rep->av);
		return;
	}
	if (m == NULL)
		return;
	if (m->broker != NULL)
		fg_broker_on_reply(m->broker, n->now, rep);
	if (m->fallback != NULL)
		fg_broker_on_reply(m->fallback, n->now, rep);
}

static void tick_broker(struct fg_node *n, struct fg_broker *broker)
{
	struct emit_ctx e = { n, broker };

	if (broker == NULL || !fg_node_may_serve(n))
		return;
	fg_broker_refuse_needs(broker, n->now, send_refusal, &e);
	fg_broker_tick(broker, n->now, send_place, &e);
}

static void tick_model(struct fg_node *n, struct fg_model *m,
		       bool popularity_due)
{
	update_region(n, m);
	if (popularity_due)
		send_arrivals(n, m);
	tick_broker(n, m->broker);
	if (m->fallback != NULL && find_broker(n, m) != 0)
		g_clear_pointer(&m->fallback, fg_broker_free);
	tick_broker(n, m->fallback);
}

void fg_models_tick(struct fg_node *n)
{
	bool popularity_due = n->now >= n->next_popularity_at;
	GHashTableIter it;
	gpointer value;

	if (popularity_due)
		n->next_popularity_at = n->now + n->conf.popularity_ms;
	g_hash_table_iter_init(&it, n->models);
	while (g_hash_table_iter_next(&it, NULL, &value))
		tick_model(n, value, popularity_due);
}
