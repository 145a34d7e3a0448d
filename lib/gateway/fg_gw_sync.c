/* Change feeds of the store's tables. */
#include "gateway/fg_gateway_internal.h"

#include <string.h>

/* Rows of one answer of a full read; the store gives at most 500. */
#define PAGE_ROWS 500
/* The store answers a read in 4 ms, and under load in tens of them. */
#define READ_TIMEOUT_MS 1500
/* How long a feed waits for a change; a connection that fell silent is noticed
 * after FEED_GRACE_MS more. The configuration must be in force 2.5 s after its
 * change, and few instances read it for all. */
#define CONFIG_WAIT_MS 1500
#define OWN_WAIT_MS 8000
#define FEED_GRACE_MS 900
/* A feed that is behind another instance's for this long is asked anew; it is
 * longer than the pause between two calls. */
#define BEHIND_MS 700
/* Least time between two answers of a feed: each call has its price, and
 * changes come in bursts, the own table's with the number of instances. The
 * registry's is a part of the time in which a leaving endpoint must be left
 * alone; the rest is for the answer's way. Its answers show neighbours that the
 * store can be reached, so that none comes later than another such part after
 * the one before, changes or not. */
#define CONFIG_GAP_MS 400
#define OWN_GAP_MS 300
#define OWN_GAP_MS_PER_PEER 10
#define REGISTRY_GAP_PERCENT 50
#define REGISTRY_WAIT_PERCENT 40
#define REGISTRY_AGE_PERCENT 60
/* After failures; the last is well below the time in which entries must be
 * back after an outage. */
#define BACKOFF_MIN_MS 100
#define BACKOFF_MAX_MS 800
/* ... for all but the first instance of a data centre, which the others follow
 * once it is answered; and for all feeds but the registry's, whose answer has
 * the others asked at once. Refused calls have their price as well. */
#define BACKOFF_OTHERS_MS 2400

static void send_next(struct fg_feed *f);

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
	/* What was removed before is not told by a full read. Instances compare
	 * the configuration's rows, none of which is missed when removed. */
	if (f->id != FG_FEED_CONFIG)
		f->newest = f->read_version;
	fg_relay_reset(f->relay, f->read_version);
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
	for (guint i = 0; i < rows->rows->len; i++) {
		const struct fg_store_row *row = rows->rows->pdata[i];

		fg_sync_take_row(f, row, now);
		f->newest = MAX(f->newest, row->version);
	}
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
	for (guint i = 0; i < rows->rows->len; i++) {
		const struct fg_store_row *row = rows->rows->pdata[i];

		if (!fg_sync_take_row(f, row, now))
			continue;
		f->newest = MAX(f->newest, row->version);
		if (f->from_reader == NULL)
			fg_relay_put(f->relay, row);
	}
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

static fg_ms backoff_max(const struct fg_feed *f, fg_ms now)
{
	const struct fg_gateway *gw = f->gw;

	if (f->id != FG_FEED_REGISTRY &&
	    gw->feeds[FG_FEED_REGISTRY].failures > 0)
		return BACKOFF_OTHERS_MS;
	return fg_peers_first_in_dc(gw->peers, now) ? BACKOFF_MAX_MS
						    : BACKOFF_OTHERS_MS;
}

static void failed(struct fg_feed *f, unsigned int status, fg_ms now)
{
	fg_ms delay_ms = BACKOFF_MIN_MS;
	fg_ms max_ms = backoff_max(f, now);
	char code[12];

	f->failures++;
	for (uint32_t i = 1; i < f->failures && delay_ms < max_ms; i++)
		delay_ms *= 2;
	if (f->failures == 1) {
		g_snprintf(code, sizeof(code), "%u", status);
		fg_log(FG_LOG_WARN, "sync", "store_lost", "table", f->table,
		       "status", code, NULL);
	}
	fg_gw_count(f->gw, "store_failures", NULL);
	if (f->id == FG_FEED_REGISTRY)
		fg_fleet_registry_down(f->gw->fleet, now);
	delay_ms = MIN(delay_ms, max_ms);
	again_after(f, delay_ms / 2 + (fg_ms)fg_rand_below(&f->gw->rand,
							   (uint64_t)delay_ms));
}

/* The store answers again: feeds that wait after a failure ask at once. */
static void ask_failed(struct fg_gateway *gw)
{
	for (int i = 0; i < FG_FEED_COUNT; i++) {
		if (gw->feeds[i].failures > 0 &&
		    gw->feeds[i].from_reader == NULL)
			fg_sync_ask(&gw->feeds[i]);
	}
}

void fg_sync_confirmed(struct fg_feed *f, fg_ms when)
{
	struct fg_gateway *gw = f->gw;

	if (f->failures > 0)
		fg_log(FG_LOG_INFO, "sync", "store_regained", "table", f->table,
		       NULL);
	f->failures = 0;
	f->confirmed = when;
	if (f->id == FG_FEED_REGISTRY) {
		fg_fleet_registry_up(gw->fleet, fg_clock_now());
		ask_failed(gw);
	}
	if (f->id == FG_FEED_OWN && f->complete) {
		if (gw->own_since == 0)
			gw->own_since = when;
		gw->claims_checked = true;
	}
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
	fg_sync_confirmed(f, now);
	fg_orders_check(f->gw, now);
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
	if (f->id == FG_FEED_REGISTRY)
		fg_fleet_registry_up(f->gw->fleet, now);
	if (f->reading)
		take_page(f, &rows, now);
	else
		take_changes(f, &rows, now);
	fg_store_rows_clear(&rows);
	after_rows(f, now);
}

static uint32_t registry_wait(const struct fg_feed *f, fg_ms now)
{
	fg_ms drain_ms = f->gw->conf->drain_ms;
	fg_ms left_ms =
		drain_ms * REGISTRY_AGE_PERCENT / 100 - (now - f->confirmed);

	return (uint32_t)CLAMP(left_ms, 0,
			       drain_ms * REGISTRY_WAIT_PERCENT / 100);
}

/* How long the store may wait for a change. */
static uint32_t wait_of(const struct fg_feed *f)
{
	/* After a failure the first answer only has to tell what was missed. */
	if (f->failures > 0 || f->ask_once)
		return 0;
	switch (f->id) {
	case FG_FEED_CONFIG:
		return CONFIG_WAIT_MS;
	case FG_FEED_REGISTRY:
		return registry_wait(f, fg_clock_now());
	default:
		return OWN_WAIT_MS;
	}
}

static void send_next(struct fg_feed *f)
{
	const struct fg_gateway *gw = f->gw;
	uint32_t wait_ms = wait_of(f);

	if (fg_channel_busy(f->channel) ||
	    (f->from_reader != NULL && !f->reading && !f->ask_once))
		return;
	f->ask_once = false;
	f->sent_at = fg_clock_now();
	f->calls++;
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
				wait_ms == 0 ? READ_TIMEOUT_MS
					     : wait_ms + FEED_GRACE_MS,
				on_rows, f);
}

void fg_sync_ask(struct fg_feed *f)
{
	f->ask_once = true;
	send_next(f);
}

void fg_sync_take_relayed(struct fg_feed *f, const struct fg_store_rows *rows,
			  fg_ms now)
{
	/* Removals that an outage brought are lapses. */
	if (f->id == FG_FEED_REGISTRY)
		fg_fleet_registry_up(f->gw->fleet, now);
	take_changes(f, rows, now);
	fg_orders_check(f->gw, now);
}

void fg_sync_config_behind(struct fg_gateway *gw, fg_ms now)
{
	struct fg_feed *f = &gw->feeds[FG_FEED_CONFIG];

	if (gw->config_behind == 0)
		gw->config_behind = now;
	/* A feed that failed is asked anew in any case, and must be let answer:
	 * broken off each time, a slow store would never be heard. */
	if (f->failures > 0 ||
	    now - MAX(gw->config_behind, f->sent_at) < BEHIND_MS)
		return;
	fg_log(FG_LOG_WARN, "sync", "configuration_behind", NULL);
	gw->config_behind = now;
	if (fg_channel_busy(f->channel))
		fg_channel_break(f->channel);
	else
		fg_sync_ask(f);
}

void fg_sync_start(struct fg_gateway *gw)
{
	const char *tables[FG_FEED_COUNT] = {
		[FG_FEED_CONFIG] = gw->wire->table_config,
		[FG_FEED_REGISTRY] = gw->wire->table_registry,
		[FG_FEED_OWN] = FG_SYNC_TABLE_OWN,
	};

	gw->tx = fg_channel_new(&gw->loop, gw->conf->store);
	for (int i = 0; i < FG_FEED_COUNT; i++) {
		struct fg_feed *f = &gw->feeds[i];

		f->gw = gw;
		f->id = (enum fg_feed_id)i;
		f->table = tables[i];
		f->channel = fg_channel_new(&gw->loop, gw->conf->store);
		f->relay = fg_relay_new();
		f->timer = fg_gw_timer_new(gw, f);
		start_full_read(f);
		send_next(f);
	}
	fg_sync_write_self(gw);
}

void fg_sync_stop(struct fg_gateway *gw)
{
	for (int i = 0; i < FG_FEED_COUNT; i++) {
		struct fg_feed *f = &gw->feeds[i];

		fg_channel_free(f->channel);
		fg_channel_free(f->from_reader);
		fg_relay_free(f->relay);
		fg_gw_timer_free(f->timer);
		g_free(f->from);
	}
	fg_channel_free(gw->tx);
}
