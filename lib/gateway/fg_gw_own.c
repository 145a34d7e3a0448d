/* Rows that this instance writes: its own row, and its claims and releases of
 * engines. */
#include "gateway/fg_gateway_internal.h"

/* A transaction takes 5 ms; after this timeout its result counts as
 * unknown. */
#define TX_TIMEOUT_MS 1500
/* Wait before the first claim, in which heartbeats of the other instances
 * arrive. Only engines that an earlier start of this instance owned are claimed
 * without it, since no other instance claims these while this one lives. */
#define CLAIM_AFTER_MS 700
/* Time without a proof after which an instance loses its engines. */
#define UNPROVEN_MAX_MS 2000

bool fg_sync_is_tx_answer_usable(const struct fg_gateway *gw,
				 unsigned int status)
{
	return gw->tx_era == gw->era.known &&
	       fg_gw_store_answer_usable(gw->tx_channel, status);
}

static void on_own_row_written(void *ctx, unsigned int status, const char *body,
			       size_t len)
{
	struct fg_gateway *gw = ctx;
	fg_ms now = fg_clock_now();
	struct fg_store_rows rows = { 0 };
	bool conflict = status == HTTP_STATUS_PRECONDITION_FAILED;

	gw->next_tx_at = now + FG_SYNC_TX_GAP_MS;
	if ((status == HTTP_STATUS_OK || conflict) &&
	    fg_sync_is_tx_answer_usable(gw, status) &&
	    gw->wire->rows_read(body, len, &rows, NULL)) {
		fg_store_rows_set_era(&rows, gw->era.known);
		gw->own_row_exists = !conflict;
		gw->own_row_version = conflict ? 0 : rows.version;
		gw->own_row_written = !conflict;
		/* The answer to a conflict has the row as it is now. */
		for (guint i = 0; conflict && i < rows.rows->len; i++)
			fg_sync_apply_row(&gw->feeds[FG_FEED_OWN],
					  rows.rows->pdata[i], now);
	}
	fg_store_rows_clear(&rows);
	if (!gw->own_row_written)
		fg_log(FG_LOG_WARN, "sync", "own_row_not_written", "reason",
		       conflict ? "conflict" : "no_answer", NULL);
}

void fg_sync_note_own_row(struct fg_gateway *gw, uint64_t version,
			  uint64_t incarnation)
{
	char found[FG_KEY_TEXT_BYTES];

	gw->own_row_listed = gw->own_row_listed || incarnation != 0;
	if (version < gw->own_row_version)
		return;
	gw->own_row_version = version;
	gw->own_row_exists = incarnation != 0;
	if (incarnation == gw->incarnation) {
		gw->own_row_written = true;
		return;
	}
	if (!gw->own_row_written) {
		gw->own_row_before = incarnation;
		return;
	}
	fg_gw_format_key(found, incarnation);
	/* An unknown incarnation is a process that was started after this one:
	 * the row is its own. */
	gw->own_row_written =
		incarnation != 0 && incarnation != gw->own_row_before;
	fg_log(FG_LOG_WARN, "sync", "own_row_replaced", "incarnation", found,
	       "by", gw->own_row_written ? "successor" : "late_write", NULL);
}

void fg_sync_send_tx(struct fg_gateway *gw, const struct fg_tx_row *rows,
		     uint32_t n, fg_channel_done_fn done)
{
	fg_gw_count_event(gw, "store_calls", NULL);
	gw->tx_sent_at = fg_clock_now();
	gw->tx_era = gw->era.known;
	fg_channel_send(gw->tx_channel,
			gw->wire->rows_tx(gw->conf->store, rows, n),
			TX_TIMEOUT_MS, done, gw);
}

void fg_sync_write_own_row(struct fg_gateway *gw)
{
	struct fg_peer_row self = { .incarnation = gw->incarnation };
	struct fg_tx_row rows[2] = { { .table = FG_SYNC_TABLE_OWN },
				     { .table = FG_SYNC_TABLE_OWN } };
	char *key = g_strconcat(FG_SYNC_KEY_INSTANCE, gw->conf->name, NULL);
	char *features_key =
		g_strconcat(FG_SYNC_KEY_FEATURES, gw->conf->name, NULL);
	char *features = fg_peer_features_format(gw->incarnation);
	char *value;

	g_strlcpy(self.region, gw->conf->region, sizeof(self.region));
	g_strlcpy(self.dc, gw->conf->dc, sizeof(self.dc));
	g_strlcpy(self.mesh, gw->conf->mesh, sizeof(self.mesh));
	g_strlcpy(self.front, gw->conf->front, sizeof(self.front));
	value = fg_peer_row_format(&self);
	rows[0].key = key;
	rows[0].value = value;
	/* A write of an earlier process, or an earlier one of this process, can
	 * be performed late. */
	rows[0].conditional = true;
	rows[0].expected =
		gw->own_row_exists ? fg_store_number(gw->own_row_version) : 0;
	rows[1].key = features_key;
	rows[1].value = features;
	fg_sync_send_tx(gw, rows, G_N_ELEMENTS(rows), on_own_row_written);
	g_free(key);
	g_free(value);
	g_free(features_key);
	g_free(features);
}

static void on_own_row_removed(void *ctx, unsigned int status, const char *body,
			       size_t len)
{
	struct fg_gateway *gw = ctx;
	char code[12];

	(void)body;
	(void)len;
	gw->own_row_end = FG_OWN_ROW_ENDED;
	g_snprintf(code, sizeof(code), "%u", status);
	fg_log(FG_LOG_INFO, "sync", "own_row_withdrawn", "status", code, NULL);
}

static void remove_own_row(struct fg_gateway *gw)
{
	char *key = g_strconcat(FG_SYNC_KEY_INSTANCE, gw->conf->name, NULL);
	struct fg_tx_row row = {
		.table = FG_SYNC_TABLE_OWN,
		.key = key,
		/* A removal that is performed late finds another version. */
		.conditional = true,
		.expected = fg_store_number(gw->own_row_version),
	};

	gw->own_row_end = FG_OWN_ROW_REMOVING;
	gw->own_row_written = false;
	fg_sync_send_tx(gw, &row, 1, on_own_row_removed);
	g_free(key);
}

void fg_sync_withdraw_own_row(struct fg_gateway *gw)
{
	if (gw->own_row_end != FG_OWN_ROW_KEPT)
		return;
	if (!gw->own_row_written || gw->feeds[FG_FEED_OWN].failures > 0)
		gw->own_row_end = FG_OWN_ROW_ENDED;
	else if (!fg_channel_is_busy(gw->tx_channel))
		remove_own_row(gw);
}

static const char *claim_event(const struct fg_claim_write *w)
{
	if (w->release)
		return "released";
	return w->settle ? "settled" : "claimed";
}

static void log_claim(const struct fg_gateway *gw,
		      const struct fg_claim_write *w, unsigned int status,
		      fg_ms now)
{
	char code[12];
	char wait[12];
	char proof[12];
	char took[24];

	g_snprintf(code, sizeof(code), "%u", status);
	g_snprintf(wait, sizeof(wait), "%u", w->wait_ms);
	g_snprintf(proof, sizeof(proof), "%u",
		   fg_claims_proof_age_ms(gw->claims, now));
	g_snprintf(took, sizeof(took), "%lld",
		   (long long)(now - gw->tx_sent_at));
	fg_log(FG_LOG_INFO, "orders", claim_event(w), "endpoint",
	       w->endpoint_id, "status", code, "row", w->value, "wait_ms", wait,
	       "proof_age_ms", proof, "took_ms", took, NULL);
}

static void count_claim(struct fg_gateway *gw, const struct fg_claim_write *w,
			unsigned int status)
{
	char labels[64];

	g_snprintf(labels, sizeof(labels), "event=\"%s\",outcome=\"%s\"",
		   claim_event(w),
		   status == HTTP_STATUS_OK		       ? "written"
		   : status == HTTP_STATUS_PRECONDITION_FAILED ? "conflict"
							       : "unknown");
	fg_gw_count_event(gw, "claims", labels);
}

static void on_claims_written(void *ctx, unsigned int status, const char *body,
			      size_t len)
{
	struct fg_gateway *gw = ctx;
	fg_ms now = fg_clock_now();
	struct fg_store_rows rows = { 0 };
	bool written = status == HTTP_STATUS_OK;
	bool conflict = status == HTTP_STATUS_PRECONDITION_FAILED;

	gw->next_tx_at = now + FG_SYNC_TX_GAP_MS;
	if ((written || conflict) && fg_sync_is_tx_answer_usable(gw, status) &&
	    gw->wire->rows_read(body, len, &rows, NULL)) {
		fg_store_rows_set_era(&rows, gw->era.known);
		if (written)
			fg_claims_handle_result(gw->claims, now, gw->claiming,
						gw->n_claiming, rows.version,
						gw->tx_sent_at);
		/* The answer to a conflict has the rows as they are now. */
		for (guint i = 0; conflict && i < rows.rows->len; i++)
			fg_sync_apply_row(&gw->feeds[FG_FEED_OWN],
					  rows.rows->pdata[i], now);
	}
	fg_store_rows_clear(&rows);
	for (uint32_t i = 0; i < gw->n_claiming; i++) {
		log_claim(gw, &gw->claiming[i], status, now);
		count_claim(gw, &gw->claiming[i], status);
	}
	fg_orders_refresh(gw, now);
}

/* Where fencing numbers are not checked, an instance without proofs may not
 * order. It no longer counts as the owner of its engines when it stays without
 * proofs while this instance has them. */
static bool can_order(const struct fg_gateway *gw, const struct fg_mesh_peer *p,
		      fg_ms now)
{
	if (gw->conf->fences_checked || p->unproven_since == 0 ||
	    gw->proving_since == 0)
		return true;
	return now - MAX(p->unproven_since, gw->proving_since) <
	       UNPROVEN_MAX_MS;
}

static uint32_t list_candidates(struct fg_gateway *gw, fg_ms now,
				struct fg_claim_candidate *out, uint32_t max)
{
	const GPtrArray *peers = fg_peers_all(gw->peers);
	uint32_t n = 0;

	/* An instance that is cut cannot order. */
	if (!fg_gw_is_stopping(gw) && !gw->cut) {
		out[n++] = (struct fg_claim_candidate){
			.incarnation = gw->incarnation,
			.hash = fg_hash_str(gw->conf->name),
			.name = gw->conf->name,
			.dc = gw->conf->dc,
			.region = gw->conf->region,
			.self = true,
		};
	}
	for (guint i = 0; i < peers->len && n < max; i++) {
		const struct fg_mesh_peer *p = peers->pdata[i];

		if (!fg_peer_is_alive(p, now) || !can_order(gw, p, now))
			continue;
		out[n++] = (struct fg_claim_candidate){
			.incarnation = p->row.incarnation,
			.hash = p->hash,
			.name = p->row.name,
			.dc = p->row.dc,
			.region = p->row.region,
			.row_version = p->row.version,
			.leaving = p->state == FG_MESH_LEAVING ||
				   p->state == FG_MESH_CUT,
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

static void keep_restarted(struct fg_gateway *gw, GPtrArray *eps)
{
	for (guint i = eps->len; i > 0; i--) {
		const struct fg_fleet_ep *ep = eps->pdata[i - 1];

		if (!fg_claims_is_restarted_owner(gw->claims, ep->facts.id))
			g_ptr_array_remove_index(eps, i - 1);
	}
}

static void claim_engines(struct fg_gateway *gw, fg_ms now)
{
	struct fg_claim_candidate *live =
		g_new(struct fg_claim_candidate, CANDIDATES_MAX);
	uint32_t n_live = list_candidates(gw, now, live, CANDIDATES_MAX);
	GPtrArray *eps = usable_engines(gw, now);
	struct fg_tx_row rows[FG_CLAIM_BATCH_MAX];

	if (now - gw->own_table_known_at < CLAIM_AFTER_MS)
		keep_restarted(gw, eps);
	gw->n_claiming = fg_claims_select(
		gw->claims, now, (struct fg_fleet_ep *const *)eps->pdata,
		eps->len, live, n_live, gw->claiming, FG_CLAIM_BATCH_MAX);
	for (uint32_t i = 0; i < gw->n_claiming; i++) {
		rows[i] = (struct fg_tx_row){
			.table = FG_SYNC_TABLE_OWN,
			.key = g_strconcat(FG_SYNC_KEY_OWNER,
					   gw->claiming[i].endpoint_id, NULL),
			.value = gw->claiming[i].value,
			.conditional = true,
			.expected = fg_store_number(gw->claiming[i].expected),
		};
	}
	if (gw->n_claiming > 0)
		fg_sync_send_tx(gw, rows, gw->n_claiming, on_claims_written);
	for (uint32_t i = 0; i < gw->n_claiming; i++)
		g_free((char *)rows[i].key);
	g_ptr_array_unref(eps);
	g_free(live);
}

void fg_sync_tick(struct fg_gateway *gw, fg_ms now)
{
	const struct fg_feed *own = &gw->feeds[FG_FEED_OWN];

	fg_gw_relay_follow(gw, now);
	fg_gw_proof_tick(gw, now);
	fg_gw_retire_tick(gw, now);
	if (fg_channel_is_busy(gw->tx_channel) || now < gw->next_tx_at)
		return;
	if (!gw->own_row_written && !fg_gw_is_stopping(gw)) {
		if (gw->own_table_known_at != 0)
			fg_sync_write_own_row(gw);
		return;
	}
	if (gw->own_table_known_at == 0 || !gw->claims_current ||
	    own->failures > 0 || own->in_full_read)
		return;
	if (!fg_gw_retire_step(gw))
		claim_engines(gw, now);
}
