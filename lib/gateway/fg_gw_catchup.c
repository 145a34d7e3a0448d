/*
 * Configuration rows taken from and served to any other instance.
 *
 * lib/catchup decides when and whom to ask. Rows that others gave are applied
 * like those of the store, but they do not advance the feed: after the store
 * answers again, everything after the feed's version is read from it, so that
 * rows from others hide none of the store's.
 */
#include "gateway/fg_gateway_internal.h"

#include <string.h>

/* Added to a target for rows by callers that also take an incomplete answer.
 * Builds without this part do not read the suffix and answer as to neighbours:
 * with all rows, or 410. */
#define KNOWN_SUFFIX "?known"
/* The decision ends a call before its channel does. */
#define CHANNEL_MARGIN_MS 500

enum {
	CACHE_CONFIG = 0, /* the configuration itself, which is always kept */
	CACHE_OTHERS = 1, /* announcements, dropped when there are many */
};

void fg_gw_catchup_init(struct fg_gateway *gw)
{
	struct fg_catchup_here *h = &gw->catchup;

	h->decision = fg_catchup_new(gw->incarnation);
	for (size_t i = 0; i < G_N_ELEMENTS(h->known); i++) {
		h->known[i] = fg_relay_new();
		fg_relay_reset(h->known[i], 0);
	}
}

void fg_gw_catchup_free(struct fg_gateway *gw)
{
	struct fg_catchup_here *h = &gw->catchup;

	fg_channel_free(h->channel);
	h->channel = NULL;
	fg_catchup_free(h->decision);
	for (size_t i = 0; i < G_N_ELEMENTS(h->known); i++)
		fg_relay_free(h->known[i]);
}

static bool is_enabled(const struct fg_gateway *gw)
{
	return gw->routes == NULL || fg_gw_has_workspaces(gw);
}

uint64_t fg_gw_catchup_known(const struct fg_gateway *gw)
{
	const struct fg_feed *f = &gw->feeds[FG_FEED_CONFIG];

	return MAX(MAX(f->newest_version, f->synced_version),
		   gw->catchup.version);
}

bool fg_gw_catchup_is_behind(const struct fg_gateway *gw)
{
	return fg_catchup_is_behind(gw->catchup.decision,
				    fg_gw_catchup_known(gw));
}

/* ---- Serving ---- */

void fg_gw_catchup_on_row(struct fg_gateway *gw, const struct fg_store_row *row)
{
	int cache = gw->wire->is_config(row->key) ? CACHE_CONFIG : CACHE_OTHERS;

	fg_relay_put(gw->catchup.known[cache], row);
}

void fg_gw_catchup_on_era(struct fg_gateway *gw)
{
	uint64_t floor = fg_store_version(gw->era.known, 0);

	for (size_t i = 0; i < G_N_ELEMENTS(gw->catchup.known); i++)
		fg_relay_reset(gw->catchup.known[i], floor);
}

bool fg_gw_catchup_answer(const struct fg_gateway *gw, const char *target,
			  int feed, uint64_t after, GString *body)
{
	return feed == FG_FEED_CONFIG &&
	       g_str_has_suffix(target, KNOWN_SUFFIX) &&
	       fg_relay_encode_known(
		       (const struct fg_relay *const *)gw->catchup.known,
		       G_N_ELEMENTS(gw->catchup.known), after, body);
}

/* ---- Taking ---- */

static void apply_row(struct fg_gateway *gw, const struct fg_store_row *row,
		      fg_ms now)
{
	fg_gw_era_on_version(gw, row->version);
	/* Lost when the store returned from an older copy. */
	if (fg_store_era(row->version) < gw->era.known)
		return;
	fg_sync_apply_row(&gw->feeds[FG_FEED_CONFIG], row, now);
	gw->catchup.version = MAX(gw->catchup.version, row->version);
}

static const char *peer_name(const struct fg_gateway *gw, uint64_t incarnation)
{
	const struct fg_mesh_peer *peer = fg_peers_find(gw->peers, incarnation);

	return peer == NULL ? "unknown" : peer->row.name;
}

static void log_taken(const struct fg_gateway *gw, uint64_t before)
{
	char version[24];
	char configuration[24];

	if (gw->catchup.version <= before)
		return;
	g_snprintf(version, sizeof(version), "%llu",
		   (unsigned long long)gw->catchup.version);
	g_snprintf(configuration, sizeof(configuration), "%llu",
		   (unsigned long long)(gw->routes == NULL
						? 0
						: gw->routes->version));
	fg_log(FG_LOG_INFO, "sync", "configuration_taken", "instance",
	       peer_name(gw, gw->catchup.asked), "row", version,
	       "configuration", configuration, NULL);
}

static void on_answer(void *ctx, unsigned int status, const char *body,
		      size_t len)
{
	struct fg_gateway *gw = ctx;
	const struct fg_feed *f = &gw->feeds[FG_FEED_CONFIG];
	uint64_t before = gw->catchup.version;
	fg_ms now = fg_clock_now();
	struct fg_store_rows rows;
	bool ok = status == HTTP_STATUS_OK &&
		  fg_relay_decode(body, len, f->table, &rows);

	if (ok) {
		for (guint i = 0; i < rows.rows->len; i++)
			apply_row(gw, rows.rows->pdata[i], now);
		fg_store_rows_clear(&rows);
		fg_orders_refresh(gw, now);
		log_taken(gw, before);
	}
	fg_gw_count_event(gw, "config_fetches",
			  ok ? "result=\"rows\"" : "result=\"failed\"");
	fg_catchup_on_answer(gw->catchup.decision, now, fg_gw_catchup_known(gw),
			     ok);
}

static void ask(struct fg_gateway *gw, uint64_t incarnation, fg_ms now)
{
	const struct fg_mesh_peer *peer = fg_peers_find(gw->peers, incarnation);
	struct fg_catchup_here *h = &gw->catchup;
	struct fg_wire_request call;

	if (peer == NULL) { /* its row was removed */
		fg_catchup_on_answer(h->decision, now, fg_gw_catchup_known(gw),
				     false);
		return;
	}
	fg_channel_free(h->channel);
	h->asked = incarnation;
	g_strlcpy(h->address, peer->row.mesh, sizeof(h->address));
	h->channel = fg_channel_new(&gw->loop, h->address);
	/* From the feed's version, since others may lack some of the rows that
	 * one instance gives. */
	call.head_and_body = g_strdup_printf(
		"GET /rows/%d/%llu%s HTTP/1.1\r\nHost: %s\r\n\r\n",
		(int)FG_FEED_CONFIG,
		(unsigned long long)gw->feeds[FG_FEED_CONFIG].synced_version,
		KNOWN_SUFFIX, h->address);
	call.len_bytes = strlen(call.head_and_body);
	fg_channel_send(h->channel, call,
			FG_CATCHUP_CALL_MAX_MS + CHANNEL_MARGIN_MS, on_answer,
			gw);
}

static void log_begin(const struct fg_gateway *gw,
		      enum fg_catchup_reason reason, fg_ms now)
{
	const struct fg_feed *f = &gw->feeds[FG_FEED_CONFIG];
	char failures[12];
	char age[24];

	g_snprintf(failures, sizeof(failures), "%u", f->failures);
	g_snprintf(age, sizeof(age), "%lld",
		   (long long)(now - f->confirmed_at));
	fg_log(FG_LOG_WARN, "sync", "configuration_from_others", "reason",
	       fg_catchup_reason_name(reason), "failures", failures,
	       "confirmed_ms_ago", age, NULL);
}

void fg_gw_catchup_tick(struct fg_gateway *gw, fg_ms now)
{
	const struct fg_feed *f = &gw->feeds[FG_FEED_CONFIG];
	struct fg_catchup_view view = {
		.enabled = is_enabled(gw),
		.has_config = gw->routes != NULL,
		.reads_fail = f->failures > 0,
		.known = fg_gw_catchup_known(gw),
	};
	struct fg_catchup_step step =
		fg_catchup_step(gw->catchup.decision, now, &view);

	if (step.gave_up)
		fg_gw_count_event(gw, "config_fetches", "result=\"timeout\"");
	if (step.ended)
		fg_log(FG_LOG_INFO, "sync", "configuration_from_store",
		       "reason", view.enabled ? "store_answers" : "disabled",
		       NULL);
	if (step.began != FG_CATCHUP_NO_REASON)
		log_begin(gw, step.began, now);
	if (step.ask != 0)
		ask(gw, step.ask, now);
}

void fg_gw_catchup_on_full_read(struct fg_gateway *gw)
{
	fg_catchup_on_full_read(gw->catchup.decision);
}

/* ---- Heartbeats ---- */

static enum fg_catchup_distance distance_of(const struct fg_gateway *gw,
					    const struct fg_mesh_peer *peer)
{
	if (!peer->same_region)
		return FG_CATCHUP_FAR;
	return strcmp(peer->row.dc, gw->conf->dc) == 0 ? FG_CATCHUP_SAME_DC
						       : FG_CATCHUP_SAME_REGION;
}

/* A sender that reads the store and knows no newer row confirms what is known
 * here, as of the store's last answer to it. Heartbeats that were queued while
 * this process was paused confirm nothing. */
static void take_confirmation(struct fg_gateway *gw,
			      const struct fg_mesh_peer *peer, fg_ms now)
{
	struct fg_feed *f = &gw->feeds[FG_FEED_CONFIG];
	fg_ms when = now - (fg_ms)peer->store.age_ms - peer->excess_delay_ms;

	if (gw->routes == NULL || f->failures == 0 || now < gw->follow_after ||
	    !peer->store.reads || peer->store.age_ms == FG_MESH_STORE_LOST ||
	    fg_gw_catchup_is_behind(gw))
		return;
	f->confirmed_at = MAX(f->confirmed_at, when);
}

void fg_gw_catchup_on_heartbeat(struct fg_gateway *gw,
				const struct fg_mesh_peer *peer, fg_ms now)
{
	struct fg_catchup_report report = {
		.incarnation = peer->row.incarnation,
		.newest = peer->store.feeds[FG_FEED_CONFIG].newest,
		.distance = distance_of(gw, peer),
	};

	if (peer->store_at != now) /* an older heartbeat that came late */
		return;
	fg_catchup_on_report(gw->catchup.decision, now, fg_gw_catchup_known(gw),
			     &report);
	if (is_enabled(gw))
		take_confirmation(gw, peer, now);
}

void fg_gw_catchup_append_state(GString *out, const struct fg_gateway *gw)
{
	const struct fg_catchup *c = gw->catchup.decision;

	g_string_append_printf(
		out,
		"configuration_rows known=%llu reported=%llu from_others=%d "
		"taken=%llu last_asked=%s\n",
		(unsigned long long)fg_gw_catchup_known(gw),
		(unsigned long long)fg_catchup_reported(c),
		fg_catchup_is_active(c),
		(unsigned long long)gw->catchup.version,
		gw->catchup.asked == 0 ? "none"
				       : peer_name(gw, gw->catchup.asked));
}
