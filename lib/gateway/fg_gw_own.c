/* Rows that this instance writes: its own row, and its claims of engines. */
#include "gateway/fg_gateway_internal.h"

/* A transaction takes 5 ms; after this timeout its result counts as
 * unknown. */
#define TX_TIMEOUT_MS 1500
/* Pause between two transactions, which lets claims accumulate. */
#define TX_GAP_MS 250
/* Wait before the first claim, in which heartbeats of the other instances
 * arrive. */
#define CLAIM_AFTER_MS 700

static void on_own_row_written(void *ctx, unsigned int status, const char *body,
			       size_t len)
{
	struct fg_gateway *gw = ctx;

	(void)body;
	(void)len;
	gw->next_tx_at = fg_clock_now() + TX_GAP_MS;
	gw->own_row_written = status == HTTP_STATUS_OK;
	if (!gw->own_row_written)
		fg_log(FG_LOG_WARN, "sync", "own_row_not_written", NULL);
}

static void send_tx(struct fg_gateway *gw, const struct fg_tx_row *rows,
		    uint32_t n, fg_channel_done_fn done)
{
	fg_gw_count_event(gw, "store_calls", NULL);
	fg_channel_send(gw->tx_channel,
			gw->wire->rows_tx(gw->conf->store, rows, n),
			TX_TIMEOUT_MS, done, gw);
}

void fg_sync_write_own_row(struct fg_gateway *gw)
{
	struct fg_peer_row self = { .incarnation = gw->incarnation };
	struct fg_tx_row row = { .table = FG_SYNC_TABLE_OWN };
	char *key = g_strconcat(FG_SYNC_KEY_INSTANCE, gw->conf->name, NULL);
	char *value;

	g_strlcpy(self.region, gw->conf->region, sizeof(self.region));
	g_strlcpy(self.dc, gw->conf->dc, sizeof(self.dc));
	g_strlcpy(self.mesh, gw->conf->mesh, sizeof(self.mesh));
	g_strlcpy(self.front, gw->conf->front, sizeof(self.front));
	value = fg_peer_row_format(&self);
	row.key = key;
	row.value = value;
	send_tx(gw, &row, 1, on_own_row_written);
	g_free(key);
	g_free(value);
}

static void on_claims_written(void *ctx, unsigned int status, const char *body,
			      size_t len)
{
	struct fg_gateway *gw = ctx;
	fg_ms now = fg_clock_now();
	struct fg_store_rows rows = { 0 };
	char count[12];
	char code[12];

	gw->next_tx_at = now + TX_GAP_MS;
	if (status == HTTP_STATUS_OK &&
	    gw->wire->rows_read(body, len, &rows, NULL))
		fg_claims_handle_result(gw->claims, now, gw->claiming,
					gw->n_claiming, rows.version);
	fg_store_rows_clear(&rows);
	g_snprintf(count, sizeof(count), "%u", gw->n_claiming);
	g_snprintf(code, sizeof(code), "%u", status);
	fg_log(FG_LOG_INFO, "orders", "claimed", "engines", count, "status",
	       code, NULL);
	fg_orders_refresh(gw, now);
}

static uint32_t list_candidates(struct fg_gateway *gw, fg_ms now,
				struct fg_claim_candidate *out, uint32_t max)
{
	const GPtrArray *peers = fg_peers_all(gw->peers);
	uint32_t n = 0;

	if (!gw->stopping) {
		out[n++] = (struct fg_claim_candidate){
			.incarnation = gw->incarnation,
			.hash = fg_hash_str(gw->conf->name),
			.dc = gw->conf->dc,
			.region = gw->conf->region,
			.self = true,
		};
	}
	for (guint i = 0; i < peers->len && n < max; i++) {
		const struct fg_mesh_peer *p = peers->pdata[i];

		if (!fg_peer_is_alive(p, now) || p->state == FG_MESH_LEAVING)
			continue;
		out[n++] = (struct fg_claim_candidate){
			.incarnation = p->row.incarnation,
			.hash = p->hash,
			.dc = p->row.dc,
			.region = p->row.region,
		};
	}
	return n;
}

/* Usable endpoints of engine services. The caller frees the array. */
static GPtrArray *usable_engines(struct fg_gateway *gw, fg_ms now)
{
	const GPtrArray *all = fg_fleet_all(gw->fleet);
	GPtrArray *out = g_ptr_array_new();

	for (guint i = 0; i < all->len; i++) {
		struct fg_fleet_ep *ep = all->pdata[i];
		int service = gw->routes == NULL
				      ? -1
				      : fg_routes_find_service(
						gw->routes, ep->facts.service);
		const struct fg_svc *s =
			service < 0 ? NULL
				    : gw->routes->services->pdata[service];

		if (s != NULL && s->engine && fg_ep_is_usable(ep, now))
			g_ptr_array_add(out, ep);
	}
	return out;
}

/* More instances than any planned deployment has. */
#define CANDIDATES_MAX 1024

static void claim_engines(struct fg_gateway *gw, fg_ms now)
{
	struct fg_claim_candidate *live =
		g_new(struct fg_claim_candidate, CANDIDATES_MAX);
	uint32_t n_live = list_candidates(gw, now, live, CANDIDATES_MAX);
	GPtrArray *eps = usable_engines(gw, now);
	struct fg_tx_row rows[FG_CLAIM_BATCH_MAX];
	char *value = fg_claims_format_value(gw->claims, gw->conf->name);

	gw->n_claiming = fg_claims_select(
		gw->claims, now, (struct fg_fleet_ep *const *)eps->pdata,
		eps->len, live, n_live, gw->claiming, FG_CLAIM_BATCH_MAX);
	for (uint32_t i = 0; i < gw->n_claiming; i++) {
		rows[i] = (struct fg_tx_row){
			.table = FG_SYNC_TABLE_OWN,
			.key = g_strconcat(FG_SYNC_KEY_OWNER,
					   gw->claiming[i].endpoint_id, NULL),
			.value = value,
			.conditional = true,
			.expected = gw->claiming[i].expected,
		};
	}
	if (gw->n_claiming > 0)
		send_tx(gw, rows, gw->n_claiming, on_claims_written);
	for (uint32_t i = 0; i < gw->n_claiming; i++)
		g_free((char *)rows[i].key);
	g_free(value);
	g_ptr_array_unref(eps);
	g_free(live);
}

void fg_sync_tick(struct fg_gateway *gw, fg_ms now)
{
	const struct fg_feed *own = &gw->feeds[FG_FEED_OWN];

	fg_gw_relay_follow(gw, now);
	if (fg_channel_is_busy(gw->tx_channel) || now < gw->next_tx_at)
		return;
	if (!gw->own_row_written) {
		fg_sync_write_own_row(gw);
		return;
	}
	if (gw->own_table_known_at == 0 ||
	    now - gw->own_table_known_at < CLAIM_AFTER_MS ||
	    !gw->claims_current || own->failures > 0 || gw->stopping)
		return;
	claim_engines(gw, now);
}
