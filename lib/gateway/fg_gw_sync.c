/* What is read from the store by change feeds, and the rows written there. */
#include "gateway/fg_gateway_internal.h"

#include <string.h>

#define TABLE_OWN "fulmargauge"
#define KEY_INSTANCE "instance/"
#define KEY_OWNER "owner/"

/* Rows of one answer of a full read; the store gives at most 500. */
#define PAGE_ROWS 500
#define READ_TIMEOUT_MS 1500
/* How long a feed waits for a change; a connection that fell silent is noticed
 * after FEED_GRACE_MS more. Keep-alive notices sooner, and for the
 * configuration the beats of others, which name the newest row that they have
 * read. */
#define CONFIG_WAIT_MS 10000
#define REGISTRY_WAIT_MS 2900
#define OWN_WAIT_MS 15000
#define FEED_GRACE_MS 900
/* A feed that is behind another instance's for this long is asked anew; it is
 * longer than the pause between two calls. */
#define BEHIND_MS 700
/* Least time between two answers of a feed: each call has its price, and
 * changes come in bursts; the own table's with the number of instances. Of the
 * registry, this part of the time in which a
 * leaving endpoint must be left alone; the rest is for the answer's way. */
#define CONFIG_GAP_MS 400
#define OWN_GAP_MS 300
#define OWN_GAP_MS_PER_PEER 10
#define REGISTRY_GAP_PERCENT 50
#define BACKOFF_MIN_MS 100
#define BACKOFF_MAX_MS 800
#define TX_TIMEOUT_MS 1500
#define TX_GAP_MS 250
/* Time for the other instances to be heard of before engines are claimed. */
#define CLAIM_AFTER_MS 700

static void send_next(struct fg_feed *f);

/* ---- Rows ---- */

static void log_row(const char *event, const struct fg_store_row *row,
		    const GError *why)
{
	fg_log(FG_LOG_WARN, "sync", event, "table", row->table, "key", row->key,
	       "reason", why == NULL ? NULL : why->message, NULL);
}

static void take_config(struct fg_gateway *gw, const struct fg_store_row *row)
{
	GError *why = NULL;
	struct fg_routes *t =
		gw->wire->config_read(row->value, row->value_bytes, &why);
	char version[24];

	if (t == NULL) {
		log_row("configuration_refused", row, why);
		g_error_free(why);
		return;
	}
	if (gw->routes != NULL && t->version <= gw->routes->version) {
		fg_routes_unref(t);
		return;
	}
	g_snprintf(version, sizeof(version), "%llu",
		   (unsigned long long)t->version);
	fg_log(FG_LOG_INFO, "sync", "configuration", "version", version, NULL);
	fg_routes_unref(gw->routes);
	gw->routes = t;
	fg_gw_count(gw, "configurations", NULL);
}

static void take_announcement(struct fg_gateway *gw,
			      const struct fg_store_row *row, fg_ms now)
{
	struct fg_announcement a;
	struct fg_wanted_version *w;
	GError *why = NULL;
	uint64_t key;
	char version[24];

	if (!gw->wire->announcement_read(row->value, row->value_bytes, &a,
					 &why)) {
		log_row("announcement_refused", row, why);
		g_error_free(why);
		return;
	}
	if (a.adapter == NULL) {
		fg_announcement_clear(&a);
		return; /* of a base model: loads fetch the newest */
	}
	key = fg_adapter_key(a.model, a.adapter);
	w = g_hash_table_lookup(gw->versions, &key);
	if (w == NULL) {
		w = g_new0(struct fg_wanted_version, 1);
		w->key = key;
		g_hash_table_insert(gw->versions, &w->key, w);
	}
	if (a.version > w->version) {
		w->version = a.version;
		w->since = now;
		g_snprintf(version, sizeof(version), "%llu",
			   (unsigned long long)a.version);
		fg_log(FG_LOG_INFO, "sync", "version_announced", "adapter",
		       a.adapter, "version", version, NULL);
		fg_orders_announced(gw, key, a.version);
	}
	fg_announcement_clear(&a);
}

static void take_config_row(struct fg_gateway *gw,
			    const struct fg_store_row *row, fg_ms now)
{
	gw->config_version = MAX(gw->config_version, row->version);
	gw->config_behind = 0;
	if (row->removed || row->value == NULL)
		return;
	if (gw->wire->is_config(row->key))
		take_config(gw, row);
	else if (gw->wire->is_announcement(row->key))
		take_announcement(gw, row, now);
}

/* What the endpoint itself lists counts while no owner tells. */
#define TOLD_FRESH_MS 3000

static void take_listed(struct fg_fleet_ep *ep, fg_ms now)
{
	struct fg_fleet_held held[FG_FLEET_RESIDENT_MAX];
	uint32_t n = 0;

	if (ep->told != 0 && now - ep->told < TOLD_FRESH_MS)
		return;
	for (uint32_t i = 0; i < ep->facts.n_resident; i++) {
		const struct fg_ep_resident *r = &ep->facts.resident[i];

		held[n].key = fg_adapter_key(r->model, r->adapter);
		held[n++].version = MAX(r->version, 1);
	}
	fg_ep_set_resident(ep, now, held, n);
}

static void take_entry_row(struct fg_gateway *gw,
			   const struct fg_store_row *row, fg_ms now)
{
	struct fg_ep_facts facts;
	GError *why = NULL;
	struct fg_fleet_ep *ep = fg_fleet_find(gw->fleet, row->key);
	bool was_usable = ep != NULL && fg_ep_usable(ep, now);

	if (row->removed || row->value == NULL) {
		fg_fleet_remove(gw->fleet, now, row->key);
	} else if (!gw->wire->entry_read(row->key, row->value, row->value_bytes,
					 &facts, &why)) {
		log_row("entry_refused", row, why);
		g_error_free(why);
		fg_fleet_remove(gw->fleet, now, row->key);
	} else {
		ep = fg_fleet_put(gw->fleet, now, &facts);
		take_listed(ep, now);
	}
	if (ep == NULL || was_usable == fg_ep_usable(ep, now))
		return;
	fg_log(FG_LOG_INFO, "endpoint", was_usable ? "leaving" : "usable",
	       "endpoint", row->key, "address", ep->facts.address, "service",
	       ep->facts.service, NULL);
}

static void take_own_row(struct fg_gateway *gw, const struct fg_store_row *row,
			 fg_ms now)
{
	struct fg_peer_row peer;

	if (g_str_has_prefix(row->key, KEY_OWNER)) {
		fg_claims_row(gw->claims, now, row->key + strlen(KEY_OWNER),
			      row->removed ? NULL : row->value, row->version);
		return;
	}
	if (!g_str_has_prefix(row->key, KEY_INSTANCE))
		return;
	if (row->removed || row->value == NULL)
		fg_peers_remove(gw->peers, row->key + strlen(KEY_INSTANCE));
	else if (fg_peer_row_read(row->key + strlen(KEY_INSTANCE), row->value,
				  &peer))
		fg_peers_put(gw->peers, now, &peer);
	else
		log_row("instance_row_refused", row, NULL);
}

static void take_row(struct fg_feed *f, const struct fg_store_row *row,
		     fg_ms now)
{
	switch (f->id) {
	case FG_FEED_CONFIG:
		take_config_row(f->gw, row, now);
		break;
	case FG_FEED_REGISTRY:
		take_entry_row(f->gw, row, now);
		break;
	default:
		take_own_row(f->gw, row, now);
	}
}

/* ---- Feeds ---- */

static void read_begins(struct fg_feed *f)
{
	if (f->id == FG_FEED_REGISTRY)
		fg_fleet_read_begin(f->gw->fleet);
	else if (f->id == FG_FEED_OWN)
		fg_claims_read_begin(f->gw->claims);
}

static void read_ended(struct fg_feed *f, fg_ms now)
{
	f->reading = false;
	f->complete = true;
	f->after = f->read_version;
	if (f->id == FG_FEED_REGISTRY)
		fg_fleet_read_end(f->gw->fleet, now);
	else if (f->id == FG_FEED_OWN)
		fg_claims_read_end(f->gw->claims);
}

static void take_page(struct fg_feed *f, const struct fg_store_rows *rows,
		      fg_ms now)
{
	const struct fg_store_row *last;

	if (f->from == NULL) {
		f->read_version = rows->version;
		read_begins(f);
	}
	for (guint i = 0; i < rows->rows->len; i++)
		take_row(f, rows->rows->pdata[i], now);
	if (!rows->more || rows->rows->len == 0) {
		g_free(f->from);
		f->from = NULL;
		read_ended(f, now);
		return;
	}
	/* The smallest key behind the last one read. */
	last = rows->rows->pdata[rows->rows->len - 1];
	g_free(f->from);
	f->from = g_strconcat(last->key, "\x01", NULL);
}

static void take_changes(struct fg_feed *f, const struct fg_store_rows *rows,
			 fg_ms now)
{
	for (guint i = 0; i < rows->rows->len; i++)
		take_row(f, rows->rows->pdata[i], now);
	f->after = MAX(f->after, rows->version);
}

static void on_timer(uv_timer_t *timer)
{
	send_next(timer->data);
}

static void again_after(struct fg_feed *f, fg_ms delay_ms)
{
	uv_timer_start(f->timer, on_timer, (uint64_t)MAX(delay_ms, 0), 0);
}

static void start_full_read(struct fg_feed *f)
{
	f->reading = true;
	g_free(f->from);
	f->from = NULL;
}

static void failed(struct fg_feed *f, unsigned int status, fg_ms now)
{
	fg_ms delay_ms = BACKOFF_MIN_MS;
	char code[12];

	f->failures++;
	for (uint32_t i = 1; i < f->failures && delay_ms < BACKOFF_MAX_MS; i++)
		delay_ms *= 2;
	if (f->failures == 1) {
		g_snprintf(code, sizeof(code), "%u", status);
		fg_log(FG_LOG_WARN, "sync", "store_lost", "table", f->table,
		       "status", code, NULL);
	}
	fg_gw_count(f->gw, "store_failures", NULL);
	if (f->id == FG_FEED_REGISTRY)
		fg_fleet_registry_down(f->gw->fleet, now);
	delay_ms = MIN(delay_ms, BACKOFF_MAX_MS);
	again_after(f, delay_ms / 2 + (fg_ms)fg_rand_below(&f->gw->rand,
							   (uint64_t)delay_ms));
}

static void answered(struct fg_feed *f, fg_ms now)
{
	if (f->failures > 0)
		fg_log(FG_LOG_INFO, "sync", "store_regained", "table", f->table,
		       NULL);
	f->failures = 0;
	f->confirmed = now;
	if (f->id == FG_FEED_REGISTRY)
		fg_fleet_registry_up(f->gw->fleet, now);
}

static fg_ms gap_of(const struct fg_feed *f)
{
	switch (f->id) {
	case FG_FEED_CONFIG:
		return CONFIG_GAP_MS;
	case FG_FEED_REGISTRY:
		return (fg_ms)f->gw->conf->drain_ms * REGISTRY_GAP_PERCENT /
		       100;
	default:
		return MAX(OWN_GAP_MS,
			   OWN_GAP_MS_PER_PEER *
				   (fg_ms)fg_peers_all(f->gw->peers)->len);
	}
}

static void after_rows(struct fg_feed *f, fg_ms now)
{
	struct fg_gateway *gw = f->gw;

	if (f->id == FG_FEED_OWN && f->complete) {
		if (gw->own_since == 0)
			gw->own_since = now;
		gw->claims_checked = true;
	}
	fg_orders_check(gw, now);
	if (f->reading)
		send_next(f);
	else
		again_after(f, f->sent_at + gap_of(f) - now);
}

static void on_rows(void *ctx, unsigned int status, const char *body,
		    size_t len)
{
	struct fg_feed *f = ctx;
	fg_ms now = fg_clock_now();
	struct fg_store_rows rows;
	GError *why = NULL;

	if (status == HTTP_STATUS_GONE) {
		fg_log(FG_LOG_INFO, "sync", "history_dropped", "table",
		       f->table, NULL);
		start_full_read(f);
		send_next(f);
		return;
	}
	if (status != HTTP_STATUS_OK) {
		failed(f, status, now);
		return;
	}
	if (!f->gw->wire->rows_read(body, len, &rows, &why)) {
		fg_log(FG_LOG_WARN, "sync", "answer_refused", "table", f->table,
		       "reason", why->message, NULL);
		g_error_free(why);
		failed(f, status, now);
		return;
	}
	answered(f, now);
	if (f->reading)
		take_page(f, &rows, now);
	else
		take_changes(f, &rows, now);
	fg_store_rows_clear(&rows);
	after_rows(f, now);
}

static void send_next(struct fg_feed *f)
{
	const struct fg_gateway *gw = f->gw;
	static const uint32_t waits[FG_FEED_COUNT] = {
		[FG_FEED_CONFIG] = CONFIG_WAIT_MS,
		[FG_FEED_REGISTRY] = REGISTRY_WAIT_MS,
		[FG_FEED_OWN] = OWN_WAIT_MS,
	};
	/* After a failure the first answer only has to tell what was missed. */
	uint32_t wait_ms = f->failures > 0 ? 0 : waits[f->id];

	if (fg_channel_busy(f->channel))
		return;
	f->sent_at = fg_clock_now();
	fg_gw_count(f->gw, "store_calls", NULL);
	if (f->reading)
		fg_channel_send(f->channel,
				gw->wire->rows_get(gw->conf->store, f->table,
						   f->from, PAGE_ROWS),
				READ_TIMEOUT_MS, on_rows, f);
	else
		fg_channel_send(f->channel,
				gw->wire->rows_feed(gw->conf->store, f->table,
						    f->after, wait_ms),
				wait_ms + FEED_GRACE_MS, on_rows, f);
}

void fg_sync_config_behind(struct fg_gateway *gw, fg_ms now)
{
	struct fg_feed *f = &gw->feeds[FG_FEED_CONFIG];

	if (gw->config_behind == 0)
		gw->config_behind = now;
	if (now - gw->config_behind < BEHIND_MS || !fg_channel_busy(f->channel))
		return;
	fg_log(FG_LOG_WARN, "sync", "configuration_behind", NULL);
	gw->config_behind = now;
	fg_channel_break(f->channel);
}

/* ---- Own rows ---- */

static void on_self_written(void *ctx, unsigned int status, const char *body,
			    size_t len)
{
	struct fg_gateway *gw = ctx;

	(void)body;
	(void)len;
	gw->tx_at = fg_clock_now() + TX_GAP_MS;
	gw->announced_self = status == HTTP_STATUS_OK;
	if (!gw->announced_self)
		fg_log(FG_LOG_WARN, "sync", "own_row_not_written", NULL);
}

static void send_tx(struct fg_gateway *gw, const struct fg_tx_row *rows,
		    uint32_t n, fg_channel_done done)
{
	fg_gw_count(gw, "store_calls", NULL);
	fg_channel_send(gw->tx, gw->wire->rows_tx(gw->conf->store, rows, n),
			TX_TIMEOUT_MS, done, gw);
}

static void write_self(struct fg_gateway *gw)
{
	struct fg_peer_row self = { .incarnation = gw->incarnation };
	struct fg_tx_row row = { .table = TABLE_OWN };
	char *key = g_strconcat(KEY_INSTANCE, gw->conf->name, NULL);
	char *value;

	g_strlcpy(self.region, gw->conf->region, sizeof(self.region));
	g_strlcpy(self.dc, gw->conf->dc, sizeof(self.dc));
	g_strlcpy(self.mesh, gw->conf->mesh, sizeof(self.mesh));
	g_strlcpy(self.front, gw->conf->front, sizeof(self.front));
	value = fg_peer_row_write(&self);
	row.key = key;
	row.value = value;
	send_tx(gw, &row, 1, on_self_written);
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

	gw->tx_at = now + TX_GAP_MS;
	if (status == HTTP_STATUS_OK &&
	    gw->wire->rows_read(body, len, &rows, NULL))
		fg_claims_written(gw->claims, now, gw->claiming, gw->n_claiming,
				  rows.version);
	fg_store_rows_clear(&rows);
	g_snprintf(count, sizeof(count), "%u", gw->n_claiming);
	g_snprintf(code, sizeof(code), "%u", status);
	fg_log(FG_LOG_INFO, "orders", "claimed", "engines", count, "status",
	       code, NULL);
	fg_orders_check(gw, now);
}

static uint32_t live_claimants(struct fg_gateway *gw, fg_ms now,
			       struct fg_claimant *out, uint32_t max)
{
	const GPtrArray *peers = fg_peers_all(gw->peers);
	uint32_t n = 0;

	if (!gw->stopping) {
		out[n++] = (struct fg_claimant){
			.incarnation = gw->incarnation,
			.hash = fg_hash_str(gw->conf->name),
			.dc = gw->conf->dc,
			.region = gw->conf->region,
			.self = true,
		};
	}
	for (guint i = 0; i < peers->len && n < max; i++) {
		const struct fg_mesh_peer *p = peers->pdata[i];

		if (!fg_peer_alive(p, now) || p->state == FG_MESH_LEAVING)
			continue;
		out[n++] = (struct fg_claimant){
			.incarnation = p->row.incarnation,
			.hash = p->hash,
			.dc = p->row.dc,
			.region = p->row.region,
		};
	}
	return n;
}

/* Engines that may be given orders. */
static GPtrArray *engines(struct fg_gateway *gw, fg_ms now)
{
	const GPtrArray *all = fg_fleet_all(gw->fleet);
	GPtrArray *out = g_ptr_array_new();

	for (guint i = 0; i < all->len; i++) {
		struct fg_fleet_ep *ep = all->pdata[i];
		int service = gw->routes == NULL
				      ? -1
				      : fg_routes_service(gw->routes,
							  ep->facts.service);
		const struct fg_svc *s =
			service < 0 ? NULL
				    : gw->routes->services->pdata[service];

		if (s != NULL && s->engine && fg_ep_usable(ep, now))
			g_ptr_array_add(out, ep);
	}
	return out;
}

#define CLAIMANTS_MAX 1024

static void claim(struct fg_gateway *gw, fg_ms now)
{
	struct fg_claimant *live = g_new(struct fg_claimant, CLAIMANTS_MAX);
	uint32_t n_live = live_claimants(gw, now, live, CLAIMANTS_MAX);
	GPtrArray *eps = engines(gw, now);
	struct fg_tx_row rows[FG_CLAIM_BATCH_MAX];
	char *value = fg_claims_value(gw->claims, gw->conf->name);

	gw->n_claiming = fg_claims_wanted(
		gw->claims, now, (struct fg_fleet_ep *const *)eps->pdata,
		eps->len, live, n_live, gw->claiming, FG_CLAIM_BATCH_MAX);
	for (uint32_t i = 0; i < gw->n_claiming; i++) {
		rows[i] = (struct fg_tx_row){
			.table = TABLE_OWN,
			.key = g_strconcat(KEY_OWNER,
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

	if (fg_channel_busy(gw->tx) || now < gw->tx_at)
		return;
	if (!gw->announced_self) {
		write_self(gw);
		return;
	}
	if (gw->own_since == 0 || now - gw->own_since < CLAIM_AFTER_MS ||
	    !gw->claims_checked || own->failures > 0 || gw->stopping)
		return;
	claim(gw, now);
}

void fg_sync_start(struct fg_gateway *gw)
{
	const char *tables[FG_FEED_COUNT] = {
		[FG_FEED_CONFIG] = gw->wire->table_config,
		[FG_FEED_REGISTRY] = gw->wire->table_registry,
		[FG_FEED_OWN] = TABLE_OWN,
	};

	gw->tx = fg_channel_new(&gw->loop, gw->conf->store);
	for (int i = 0; i < FG_FEED_COUNT; i++) {
		struct fg_feed *f = &gw->feeds[i];

		f->gw = gw;
		f->id = (enum fg_feed_id)i;
		f->table = tables[i];
		f->channel = fg_channel_new(&gw->loop, gw->conf->store);
		f->timer = fg_gw_timer_new(gw, f);
		start_full_read(f);
		send_next(f);
	}
	write_self(gw);
}

void fg_sync_stop(struct fg_gateway *gw)
{
	for (int i = 0; i < FG_FEED_COUNT; i++) {
		struct fg_feed *f = &gw->feeds[i];

		fg_channel_free(f->channel);
		fg_gw_timer_free(f->timer);
		g_free(f->from);
	}
	fg_channel_free(gw->tx);
}
