/* Change feeds of the store's tables. */
#include "gateway/fg_gateway_internal.h"

#include <string.h>

/* Rows of one page of a full read; the store returns at most 500. */
#define PAGE_ROWS 500
/* The store answers a read in 4 ms, or in tens of ms under load. */
#define READ_TIMEOUT_MS 1500
/* Long-poll times: how long the store may wait for a change before it answers.
 * A hung connection is detected FEED_GRACE_MS later. The configuration must be
 * in force 2.5 s after a change, which bounds CONFIG_WAIT_MS; the calls remain
 * few because one instance reads for all of a data centre. */
#define CONFIG_WAIT_MS 1500
#define OWN_WAIT_MS 8000
#define FEED_GRACE_MS 900
/* When the configuration here stays behind another instance's for this long,
 * its feed is read again at once. This is longer than CONFIG_GAP_MS. */
#define BEHIND_MS 700
/* Minimum time between two calls of a feed. Each call has a cost, and changes
 * come in bursts, which in the instances' table grow with the number of
 * instances. The registry's gap is a part of drain_ms, the time within which a
 * leaving endpoint must get no more requests; the rest is for the answer to
 * arrive. The registry's answers also prove to neighbours that the store is
 * reachable, so that the feed gets one at least every REGISTRY_AGE_PERCENT of
 * drain_ms, even without a change. */
#define CONFIG_GAP_MS 400
#define OWN_GAP_MS 300
#define OWN_GAP_MS_PER_PEER 10
#define REGISTRY_GAP_PERCENT 50
#define REGISTRY_WAIT_PERCENT 40
#define REGISTRY_AGE_PERCENT 60
/* Backoff after failed calls. The maximum is well below the time within
 * which endpoints must be registered again after an outage. */
#define BACKOFF_MIN_MS 100
#define BACKOFF_MAX_MS 800
/* Maximum backoff of all but the first instance of a data centre, which the
 * others follow once the store answers it. While the registry's feed fails too,
 * also the maximum of the other feeds, which are read as soon as the registry
 * answers. Refused calls have a cost as well. */
#define BACKOFF_OTHERS_MS 2400

/* While unknown instances are heard, the instances' table is read after
 * OWN_GAP_MS already, at most this often: all instances that start together are
 * then known within a second. */
#define EARLY_READS_MAX 20
#define EARLY_READS_PERIOD_MS 10000

static void send_next(struct fg_feed *f);

static void begin_own_full_read(struct fg_gateway *gw)
{
	fg_claims_begin_full_read(gw->claims);
	fg_peers_begin_full_read(gw->peers);
	fg_retire_begin_full_read(gw->retire);
	gw->own_row_listed = false;
}

static void end_own_full_read(struct fg_gateway *gw, uint64_t version)
{
	fg_claims_end_full_read(gw->claims);
	fg_peers_end_full_read(gw->peers);
	fg_retire_end_full_read(gw->retire, fg_clock_now());
	/* Which rows were removed before it is not known. */
	fg_retire_note_removal(gw->retire, version);
	if (!gw->own_row_listed)
		fg_sync_note_own_row(gw, version, 0);
}

static void begin_full_read(struct fg_feed *f)
{
	if (f->id == FG_FEED_REGISTRY)
		fg_fleet_read_begin(f->gw->fleet);
	else if (f->id == FG_FEED_OWN)
		begin_own_full_read(f->gw);
}

static void end_full_read(struct fg_feed *f, fg_ms now)
{
	f->in_full_read = false;
	f->full_read_done = true;
	f->synced_version = f->full_read_version;
	/* A full read does not show removals, so its version stands in for the
	 * newest of them. The configuration keeps the version of its newest
	 * row: instances compare that version to detect that they are behind,
	 * and no one needs its removals. */
	if (f->id != FG_FEED_CONFIG)
		f->newest_version = f->full_read_version;
	else
		fg_gw_catchup_on_full_read(f->gw);
	fg_relay_reset(f->relay, f->full_read_version);
	if (f->id == FG_FEED_REGISTRY)
		fg_fleet_read_end(f->gw->fleet, now);
	else if (f->id == FG_FEED_OWN)
		end_own_full_read(f->gw, f->full_read_version);
}

/* Applies a row that the store or the reader returned. */
static bool apply_row(struct fg_feed *f, const struct fg_store_row *row,
		      fg_ms now)
{
	if (f->id == FG_FEED_CONFIG)
		f->gw->config_behind_since = 0;
	return fg_sync_apply_row(f, row, now);
}

/* U+FFFD: stands for what cannot be read in a key. */
#define UNREADABLE "\xef\xbf\xbd"

/* Continues a full read after the smallest key that follows the last one read,
 * or the last one that is known exactly. Rows after that are read again. */
static void set_next_key(struct fg_feed *f, const struct fg_store_rows *rows)
{
	const struct fg_store_row *last;
	guint n = rows->rows->len;

	do
		last = rows->rows->pdata[--n];
	while (n > 0 && strstr(last->key, UNREADABLE) != NULL);
	if (strstr(last->key, UNREADABLE) != NULL)
		last = rows->rows->pdata[rows->rows->len - 1];
	g_free(f->next_key);
	f->next_key = g_strconcat(last->key, "\x01", NULL);
}

static void apply_page(struct fg_feed *f, const struct fg_store_rows *rows,
		       fg_ms now)
{
	if (f->next_key == NULL) {
		f->full_read_version = rows->version;
		begin_full_read(f);
	}
	for (guint i = 0; i < rows->rows->len; i++) {
		const struct fg_store_row *row = rows->rows->pdata[i];

		apply_row(f, row, now);
		f->newest_version = MAX(f->newest_version, row->version);
	}
	if (!rows->more || rows->rows->len == 0) {
		g_free(f->next_key);
		f->next_key = NULL;
		end_full_read(f, now);
		return;
	}
	set_next_key(f, rows);
}

static void apply_changes(struct fg_feed *f, const struct fg_store_rows *rows,
			  fg_ms now)
{
	for (guint i = 0; i < rows->rows->len; i++) {
		const struct fg_store_row *row = rows->rows->pdata[i];

		if (!apply_row(f, row, now))
			continue;
		f->newest_version = MAX(f->newest_version, row->version);
		if (f->reader_channel == NULL)
			fg_relay_put(f->relay, row);
	}
	f->synced_version = MAX(f->synced_version, rows->version);
}

static void on_timer(uv_timer_t *timer)
{
	send_next(timer->data);
}

static void schedule_next(struct fg_feed *f, fg_ms delay_ms)
{
	uv_timer_start(f->timer, on_timer, (uint64_t)MAX(delay_ms, 0), 0);
}

void fg_sync_start_full_read(struct fg_feed *f)
{
	f->in_full_read = true;
	f->restart_full_read = true;
	g_free(f->next_key);
	f->next_key = NULL;
}

static fg_ms backoff_max_ms(const struct fg_feed *f, fg_ms now)
{
	const struct fg_gateway *gw = f->gw;

	if (f->id != FG_FEED_REGISTRY &&
	    gw->feeds[FG_FEED_REGISTRY].failures > 0)
		return BACKOFF_OTHERS_MS;
	return fg_peers_is_first_in_dc(gw->peers, now) ? BACKOFF_MAX_MS
						       : BACKOFF_OTHERS_MS;
}

static void handle_failure(struct fg_feed *f, unsigned int status, fg_ms now)
{
	fg_ms delay_ms = BACKOFF_MIN_MS;
	fg_ms max_ms = backoff_max_ms(f, now);
	char code[12];

	f->failures++;
	for (uint32_t i = 1; i < f->failures && delay_ms < max_ms; i++)
		delay_ms *= 2;
	if (f->failures == 1) {
		g_snprintf(code, sizeof(code), "%u", status);
		fg_log(FG_LOG_WARN, "sync", "store_lost", "table", f->table,
		       "status", code, NULL);
	}
	fg_gw_count_event(f->gw, "store_failures", NULL);
	if (f->id == FG_FEED_REGISTRY)
		fg_fleet_registry_down(f->gw->fleet, now);
	delay_ms = MIN(delay_ms, max_ms);
	schedule_next(f,
		      delay_ms / 2 + (fg_ms)fg_rand_below(&f->gw->rand,
							  (uint64_t)delay_ms));
}

/* The store answers again: reads the feeds that are in backoff at once. */
static void read_failed_feeds(struct fg_gateway *gw)
{
	for (int i = 0; i < FG_FEED_COUNT; i++) {
		if (gw->feeds[i].failures > 0 &&
		    gw->feeds[i].reader_channel == NULL)
			fg_sync_read_store(&gw->feeds[i]);
	}
}

void fg_sync_mark_confirmed(struct fg_feed *f, fg_ms when)
{
	struct fg_gateway *gw = f->gw;

	if (f->failures > 0)
		fg_log(FG_LOG_INFO, "sync", "store_regained", "table", f->table,
		       NULL);
	f->failures = 0;
	f->confirmed_at = when;
	if (f->id == FG_FEED_REGISTRY) {
		fg_fleet_registry_up(gw->fleet, fg_clock_now(), when);
		read_failed_feeds(gw);
	}
	if (f->id == FG_FEED_OWN && f->full_read_done) {
		if (gw->own_table_known_at == 0)
			gw->own_table_known_at = when;
		gw->claims_current = true;
	}
}

static fg_ms min_gap_ms(const struct fg_feed *f)
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

static void finish_read(struct fg_feed *f, fg_ms now)
{
	fg_sync_mark_confirmed(f, now);
	if (f->id == FG_FEED_OWN && !f->in_full_read)
		fg_gw_prove(f->gw, f->read_since);
	fg_orders_refresh(f->gw, now);
	if (f->id == FG_FEED_REGISTRY)
		fg_gw_origin_refresh(f->gw, now);
	if (f->in_full_read)
		send_next(f);
	else
		schedule_next(f, f->sent_at + min_gap_ms(f) - now);
}

bool fg_sync_read_list(const struct fg_gateway *gw, const char *table,
		       const char *body, size_t len, struct fg_store_rows *rows)
{
	GError *why = NULL;

	if (gw->wire->rows_read(body, len, rows, &why) && rows->listed)
		return true;
	fg_log(FG_LOG_WARN, "sync", "answer_refused", "table", table, "reason",
	       why == NULL ? "it has no list of rows" : why->message, NULL);
	g_clear_error(&why);
	fg_store_rows_clear(rows);
	return false;
}

static void on_rows(void *ctx, unsigned int status, const char *body,
		    size_t len)
{
	struct fg_feed *f = ctx;
	fg_ms now = fg_clock_now();
	struct fg_store_rows rows;

	if (!fg_gw_store_answer_usable(f->channel, status)) {
		handle_failure(f, 0, now);
		return;
	}
	if (status == HTTP_STATUS_GONE) {
		fg_log(FG_LOG_INFO, "sync", "history_dropped", "table",
		       f->table, NULL);
		fg_sync_start_full_read(f);
		send_next(f);
		return;
	}
	if (status != HTTP_STATUS_OK) {
		handle_failure(f, status, now);
		return;
	}
	if (!fg_sync_read_list(f->gw, f->table, body, len, &rows)) {
		handle_failure(f, status, now);
		return;
	}
	if (f->id == FG_FEED_REGISTRY)
		fg_fleet_registry_up(f->gw->fleet, now, now);
	fg_store_rows_set_era(&rows, f->gw->era.known);
	if (f->restart_full_read) {
		fg_store_rows_clear(&rows);
		send_next(f);
		return;
	}
	if (f->in_full_read)
		apply_page(f, &rows, now);
	else
		apply_changes(f, &rows, now);
	fg_store_rows_clear(&rows);
	finish_read(f, now);
}

static uint32_t registry_long_poll_ms(const struct fg_feed *f, fg_ms now)
{
	fg_ms drain_ms = f->gw->conf->drain_ms;
	fg_ms left_ms =
		drain_ms * REGISTRY_AGE_PERCENT / 100 - (now - f->confirmed_at);

	return (uint32_t)CLAMP(left_ms, 0,
			       drain_ms * REGISTRY_WAIT_PERCENT / 100);
}

/* How long the store may wait for a change before it answers. */
static uint32_t long_poll_ms(const struct fg_feed *f)
{
	/* The first answer after a failure returns at once what was missed. */
	if (f->failures > 0 || f->read_store_once)
		return 0;
	switch (f->id) {
	case FG_FEED_CONFIG:
		return CONFIG_WAIT_MS;
	case FG_FEED_REGISTRY:
		return registry_long_poll_ms(f, fg_clock_now());
	default:
		return OWN_WAIT_MS;
	}
}

static void send_next(struct fg_feed *f)
{
	const struct fg_gateway *gw = f->gw;
	uint32_t wait_ms = long_poll_ms(f);

	if (fg_channel_is_busy(f->channel) ||
	    (f->reader_channel != NULL && !f->in_full_read &&
	     !f->read_store_once))
		return;
	f->read_store_once = false;
	f->restart_full_read = false;
	f->sent_at = fg_clock_now();
	if (!f->in_full_read || f->next_key == NULL)
		f->read_since = f->sent_at;
	f->store_calls++;
	fg_gw_count_event(f->gw, "store_calls", NULL);
	if (f->in_full_read)
		fg_channel_send(f->channel,
				gw->wire->rows_get(gw->conf->store, f->table,
						   f->next_key, PAGE_ROWS),
				READ_TIMEOUT_MS, on_rows, f);
	else
		fg_channel_send(
			f->channel,
			gw->wire->rows_feed(gw->conf->store, f->table,
					    fg_store_number(f->synced_version),
					    wait_ms),
			wait_ms == 0 ? READ_TIMEOUT_MS
				     : wait_ms + FEED_GRACE_MS,
			on_rows, f);
}

void fg_sync_apply_own(struct fg_gateway *gw, const struct fg_store_rows *rows,
		       fg_ms sent_at)
{
	fg_ms now = fg_clock_now();

	apply_changes(&gw->feeds[FG_FEED_OWN], rows, now);
	fg_gw_prove(gw, sent_at);
	fg_orders_refresh(gw, now);
}

void fg_sync_read_store(struct fg_feed *f)
{
	f->read_store_once = true;
	send_next(f);
}

void fg_sync_apply_relayed(struct fg_feed *f, const struct fg_store_rows *rows,
			   fg_ms now)
{
	/* The fleet must know that the registry is back before it sees
	 * removals: those that an outage caused count as lapsed entries. */
	if (f->id == FG_FEED_REGISTRY)
		fg_fleet_registry_up(f->gw->fleet, now, f->confirmed_at);
	apply_changes(f, rows, now);
	fg_orders_refresh(f->gw, now);
	if (f->id == FG_FEED_REGISTRY)
		fg_gw_origin_refresh(f->gw, now);
}

void fg_sync_on_config_behind(struct fg_gateway *gw, fg_ms now)
{
	struct fg_feed *f = &gw->feeds[FG_FEED_CONFIG];

	if (gw->config_behind_since == 0)
		gw->config_behind_since = now;
	/* A failed feed is read again anyway. Breaking off its call
	 * here each time would never let a slow store answer. */
	if (f->failures > 0 ||
	    now - MAX(gw->config_behind_since, f->sent_at) < BEHIND_MS)
		return;
	fg_log(FG_LOG_WARN, "sync", "configuration_behind", NULL);
	gw->config_behind_since = now;
	if (fg_channel_is_busy(f->channel))
		fg_channel_abort(f->channel);
	else
		fg_sync_read_store(f);
}

void fg_sync_on_unknown_instance(struct fg_gateway *gw, fg_ms now)
{
	struct fg_feed *f = &gw->feeds[FG_FEED_OWN];

	if (f->failures > 0 || f->in_full_read || f->reader_channel != NULL ||
	    fg_channel_is_busy(f->channel))
		return;
	if (now - gw->early_reads_since > EARLY_READS_PERIOD_MS) {
		gw->early_reads_since = now;
		gw->early_reads = 0;
	}
	if (gw->early_reads >= EARLY_READS_MAX)
		return;
	gw->early_reads++;
	schedule_next(f, f->sent_at + OWN_GAP_MS - now);
}

void fg_sync_start(struct fg_gateway *gw)
{
	const char *tables[FG_FEED_COUNT] = {
		[FG_FEED_CONFIG] = gw->wire->table_config,
		[FG_FEED_REGISTRY] = gw->wire->table_registry,
		[FG_FEED_OWN] = FG_SYNC_TABLE_OWN,
	};

	gw->tx_channel = fg_gw_store_channel_new(gw);
	gw->proof_channel = fg_gw_store_channel_new(gw);
	for (int i = 0; i < FG_FEED_COUNT; i++) {
		struct fg_feed *f = &gw->feeds[i];

		f->gw = gw;
		f->id = (enum fg_feed_id)i;
		f->table = tables[i];
		f->channel = fg_gw_store_channel_new(gw);
		f->relay = fg_relay_new();
		f->timer = fg_gw_timer_new(gw, f);
		fg_sync_start_full_read(f);
		send_next(f);
	}
}

void fg_sync_stop(struct fg_gateway *gw)
{
	for (int i = 0; i < FG_FEED_COUNT; i++) {
		struct fg_feed *f = &gw->feeds[i];

		fg_channel_free(f->channel);
		fg_channel_free(f->reader_channel);
		fg_relay_free(f->relay);
		fg_gw_timer_free(f->timer);
		g_free(f->next_key);
	}
	fg_channel_free(gw->tx_channel);
	fg_channel_free(gw->proof_channel);
}
