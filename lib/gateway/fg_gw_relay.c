/*
 * Rows of the store's tables, fetched from a neighbour and served to
 * neighbours.
 *
 * In each data centre one instance, the reader, reads the store. The others
 * learn from its heartbeats whether they lack rows, and fetch these from it. An
 * instance without proof that its reader has read recently reads the store
 * itself.
 */
#include "gateway/fg_gateway_internal.h"

#include <stdio.h>
#include <string.h>

/* Age at which a reader's data counts as outdated, as a part of drain_ms, the
 * time within which a leaving endpoint must get no more requests. The age is
 * longer than the interval between two answers of the registry to the reader,
 * and leaves time to read the store. */
#define FRESH_PERCENT 75
/* A neighbour usually answers in a few ms. */
#define RELAY_TIMEOUT_MS 300
/* When neither the reader nor the store provides missing rows, the store is
 * read again after this time, and the reader is asked at each tick. */
#define STORE_READ_RETRY_MS 400
/* Heartbeats that were queued while the process was paused are outdated; all of
 * them are read within this time. */
#define RELAY_SUSPEND_MS 1000

/* ---- Fetching ---- */

static void free_reader_channels(struct fg_gateway *gw)
{
	for (int i = 0; i < FG_FEED_COUNT; i++) {
		fg_channel_free(gw->feeds[i].reader_channel);
		gw->feeds[i].reader_channel = NULL;
	}
}

static void read_from_store(struct fg_gateway *gw)
{
	if (gw->reader == 0)
		return;
	gw->reader = 0;
	free_reader_channels(gw);
	fg_log(FG_LOG_INFO, "sync", "reads_store", NULL);
	for (int i = 0; i < FG_FEED_COUNT; i++) {
		struct fg_feed *f = &gw->feeds[i];

		fg_relay_reset(f->relay, f->synced_version);
		fg_sync_read_store(f);
	}
}

static void read_from_peer(struct fg_gateway *gw,
			   const struct fg_mesh_peer *peer)
{
	if (gw->reader == peer->row.incarnation)
		return;
	free_reader_channels(gw);
	gw->reader = peer->row.incarnation;
	g_strlcpy(gw->reader_address, peer->row.mesh,
		  sizeof(gw->reader_address));
	fg_log(FG_LOG_INFO, "sync", "reads_from", "instance", peer->row.name,
	       NULL);
	for (int i = 0; i < FG_FEED_COUNT; i++) {
		struct fg_feed *f = &gw->feeds[i];

		f->reader_channel =
			fg_channel_new(&gw->loop, gw->reader_address);
		fg_relay_reset(f->relay, UINT64_MAX);
	}
}

static void on_rows(void *ctx, unsigned int status, const char *body,
		    size_t len)
{
	struct fg_feed *f = ctx;
	struct fg_store_rows rows;
	fg_ms now = fg_clock_now();

	if (status != HTTP_STATUS_OK ||
	    !fg_relay_decode(body, len, f->table, &rows)) {
		fg_gw_count_event(f->gw, "relay_failures", NULL);
		if (now - f->sent_at >= STORE_READ_RETRY_MS)
			fg_sync_read_store(f);
		return;
	}
	fg_sync_apply_relayed(f, &rows, now);
	fg_store_rows_clear(&rows);
}

static void fetch_rows(struct fg_feed *f)
{
	struct fg_wire_request call;

	call.head_and_body = g_strdup_printf(
		"GET /rows/%d/%llu HTTP/1.1\r\nHost: %s\r\n\r\n", (int)f->id,
		(unsigned long long)f->synced_version, f->gw->reader_address);
	call.len_bytes = strlen(call.head_and_body);
	fg_gw_count_event(f->gw, "relay_calls", NULL);
	fg_channel_send(f->reader_channel, call, RELAY_TIMEOUT_MS, on_rows, f);
}

static void follow_reader(struct fg_feed *f, const struct fg_mesh_peer *peer)
{
	const fg_mesh_feed *reader_feed = &peer->store.feeds[f->id];

	if (fg_channel_is_busy(f->channel) ||
	    fg_channel_is_busy(f->reader_channel))
		return;
	if (reader_feed->newest > f->synced_version) {
		fetch_rows(f);
		return;
	}
	f->synced_version = MAX(f->synced_version, reader_feed->read);
	fg_sync_mark_confirmed(f, peer->store_at - (fg_ms)peer->store.age_ms);
}

static bool are_full_reads_done(const struct fg_gateway *gw)
{
	for (int i = 0; i < FG_FEED_COUNT; i++) {
		if (!gw->feeds[i].full_read_done || gw->feeds[i].in_full_read)
			return false;
	}
	return true;
}

void fg_gw_relay_follow(struct fg_gateway *gw, fg_ms now)
{
	const struct fg_mesh_peer *peer = NULL;

	if (now >= gw->follow_after && are_full_reads_done(gw))
		peer = fg_peers_find_reader(gw->peers, now,
					    gw->conf->drain_ms * FRESH_PERCENT /
						    100);
	if (peer == NULL) {
		read_from_store(gw);
		return;
	}
	read_from_peer(gw, peer);
	for (int i = 0; i < FG_FEED_COUNT; i++)
		follow_reader(&gw->feeds[i], peer);
}

/* A read of the own table by the sender proves the claims known here when all
 * rows that it returned are known here too. */
static void take_proof(struct fg_gateway *gw, const struct fg_mesh_peer *peer,
		       fg_ms now)
{
	const struct fg_feed *own = &gw->feeds[FG_FEED_OWN];

	if (!own->full_read_done || own->in_full_read ||
	    peer->store_at != now ||
	    peer->store.own_age_ms >= FG_CLAIM_PROOF_MAX_MS ||
	    peer->store.feeds[FG_FEED_OWN].newest > own->synced_version)
		return;
	fg_claims_prove(gw->claims, now - (fg_ms)peer->store.own_age_ms -
					    peer->excess_delay_ms);
}

void fg_gw_relay_on_heartbeat(struct fg_gateway *gw,
			      const struct fg_mesh_peer *peer, fg_ms now)
{
	for (int i = 0; i < FG_FEED_COUNT; i++)
		fg_gw_era_on_version(gw, peer->store.feeds[i].read);
	take_proof(gw, peer, now);
	if (peer->row.incarnation != gw->reader)
		return;
	if (peer->store.age_ms == FG_MESH_STORE_LOST)
		fg_fleet_registry_down(gw->fleet, now);
	fg_gw_relay_follow(gw, now);
}

void fg_gw_relay_suspend(struct fg_gateway *gw, fg_ms now)
{
	gw->follow_after = now + RELAY_SUSPEND_MS;
	read_from_store(gw);
}

/* ---- Serving ---- */

static bool has_failed_feed(const struct fg_gateway *gw)
{
	for (int i = 0; i < FG_FEED_COUNT; i++) {
		if (gw->feeds[i].failures > 0)
			return true;
	}
	return false;
}

G_STATIC_ASSERT((int)FG_FEED_COUNT == FG_MESH_FEEDS);

bool fg_gw_relay_reads_store(const struct fg_gateway *gw)
{
	return gw->reader == 0 && !fg_gw_is_stopping(gw) &&
	       are_full_reads_done(gw) && !has_failed_feed(gw);
}

void fg_gw_relay_fill_status(const struct fg_gateway *gw, fg_ms now,
			     fg_mesh_store *out)
{
	const struct fg_feed *registry = &gw->feeds[FG_FEED_REGISTRY];

	out->reads = fg_gw_relay_reads_store(gw);
	out->age_ms = registry->failures > 0
			      ? FG_MESH_STORE_LOST
			      : (uint32_t)(now - registry->confirmed_at);
	out->own_age_ms = fg_gw_own_read_age_ms(gw, now);
	out->proves =
		fg_claims_proof_age_ms(gw->claims, now) < FG_CLAIM_PROOF_MAX_MS;
	out->sent_at = (uint64_t)now;
	for (int i = 0; i < FG_FEED_COUNT; i++) {
		out->feeds[i].newest = gw->feeds[i].newest_version;
		out->feeds[i].read = gw->feeds[i].synced_version;
	}
	/* Neighbours fetch up to the newest row from a reader, so it must not
	 * name one that it has not read from the store. */
	if (!out->reads)
		out->feeds[FG_FEED_CONFIG].newest = MAX(
			out->feeds[FG_FEED_CONFIG].newest, gw->catchup.version);
}

void fg_gw_relay_answer_call(struct fg_caller *c)
{
	const char *target = fg_h1_target(&c->h1.head);
	unsigned long long after;
	unsigned int status = HTTP_STATUS_GONE;
	int id;
	GString *body;

	if (g_str_has_prefix(target, FG_GW_TUNNEL_PATH)) {
		fg_gw_tunnel_open(c, target + strlen(FG_GW_TUNNEL_PATH));
		return;
	}
	body = g_string_new(NULL);
	if (sscanf(target, "/rows/%d/%llu", &id, &after) != 2 || id < 0 ||
	    id >= FG_FEED_COUNT) {
		status = HTTP_STATUS_NOT_FOUND;
	} else if (!fg_caller_is_instance(c)) {
		status = HTTP_STATUS_FORBIDDEN;
	} else {
		const struct fg_feed *f = &c->gw->feeds[id];

		if (fg_gw_catchup_answer(c->gw, target, id, after, body) ||
		    (c->gw->reader == 0 &&
		     fg_relay_encode(f->relay, after, f->synced_version, body)))
			status = HTTP_STATUS_OK;
	}
	fg_caller_answer(c, status, NULL, 0, NULL, body->str, body->len);
	fg_caller_finish_answer(c);
	g_string_free(body, TRUE);
}
