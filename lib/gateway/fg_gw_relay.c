/*
 * Rows of the store's tables from a neighbour, and for neighbours. In each data
 * centre one instance reads the store; the others learn from its heartbeats
 * whether they lack rows and take these from it. Whoever cannot tell that its
 * reader has read lately reads the store itself.
 */
#include "gateway/fg_gateway_internal.h"

#include <stdio.h>
#include <string.h>

/* Part of the time in which a leaving endpoint must be left alone after which
 * what a reader knows counts as old: longer than the time between two answers
 * of the registry to it, and with time left to ask the store. */
#define FRESH_PERCENT 75
/* A neighbour answers in a few ms. */
#define RELAY_TIMEOUT_MS 300
/* When neither the reader nor the store gives what is lacking, the store is
 * asked again after this; the reader at each tick. */
#define ASK_AGAIN_MS 400
/* Datagrams that waited while the process was paused are read within this. */
#define DISTRUST_MS 1000

/* ---- Taking ---- */

static void drop_channels(struct fg_gateway *gw)
{
	for (int i = 0; i < FG_FEED_COUNT; i++) {
		fg_channel_free(gw->feeds[i].from_reader);
		gw->feeds[i].from_reader = NULL;
	}
}

static void read_self(struct fg_gateway *gw)
{
	if (gw->reader == 0)
		return;
	gw->reader = 0;
	drop_channels(gw);
	fg_log(FG_LOG_INFO, "sync", "reads_store", NULL);
	for (int i = 0; i < FG_FEED_COUNT; i++) {
		struct fg_feed *f = &gw->feeds[i];

		fg_relay_reset(f->relay, f->after);
		fg_sync_ask(f);
	}
}

static void read_from(struct fg_gateway *gw, const struct fg_mesh_peer *peer)
{
	if (gw->reader == peer->row.incarnation)
		return;
	drop_channels(gw);
	gw->reader = peer->row.incarnation;
	g_strlcpy(gw->reader_address, peer->row.mesh,
		  sizeof(gw->reader_address));
	fg_log(FG_LOG_INFO, "sync", "reads_from", "instance", peer->row.name,
	       NULL);
	for (int i = 0; i < FG_FEED_COUNT; i++) {
		struct fg_feed *f = &gw->feeds[i];

		f->from_reader = fg_channel_new(&gw->loop, gw->reader_address);
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
		fg_gw_count(f->gw, "relay_failures", NULL);
		if (now - f->sent_at >= ASK_AGAIN_MS)
			fg_sync_ask(f);
		return;
	}
	fg_sync_take_relayed(f, &rows, now);
	fg_store_rows_clear(&rows);
}

static void fetch(struct fg_feed *f)
{
	struct fg_http_call call;

	call.head_and_body = g_strdup_printf(
		"GET /rows/%d/%llu HTTP/1.1\r\nHost: %s\r\n\r\n", (int)f->id,
		(unsigned long long)f->after, f->gw->reader_address);
	call.len_bytes = strlen(call.head_and_body);
	fg_gw_count(f->gw, "relay_calls", NULL);
	fg_channel_send(f->from_reader, call, RELAY_TIMEOUT_MS, on_rows, f);
}

static void follow_feed(struct fg_feed *f, const struct fg_mesh_peer *peer)
{
	const fg_mesh_feed *at = &peer->store.feeds[f->id];

	if (fg_channel_busy(f->channel) || fg_channel_busy(f->from_reader))
		return;
	if (at->newest > f->after) {
		fetch(f);
		return;
	}
	f->after = MAX(f->after, at->read);
	fg_sync_confirmed(f, peer->store_at - (fg_ms)peer->store.age_ms);
}

static bool all_read(const struct fg_gateway *gw)
{
	for (int i = 0; i < FG_FEED_COUNT; i++) {
		if (!gw->feeds[i].complete || gw->feeds[i].reading)
			return false;
	}
	return true;
}

void fg_relay_follow(struct fg_gateway *gw, fg_ms now)
{
	const struct fg_mesh_peer *peer = NULL;

	if (now >= gw->follow_at && all_read(gw))
		peer = fg_peers_reader(gw->peers, now,
				       gw->conf->drain_ms * FRESH_PERCENT /
					       100);
	if (peer == NULL) {
		read_self(gw);
		return;
	}
	read_from(gw, peer);
	for (int i = 0; i < FG_FEED_COUNT; i++)
		follow_feed(&gw->feeds[i], peer);
}

void fg_relay_heard(struct fg_gateway *gw, const struct fg_mesh_peer *peer,
		    fg_ms now)
{
	if (peer->row.incarnation != gw->reader)
		return;
	if (peer->store.age_ms == FG_MESH_STORE_LOST)
		fg_fleet_registry_down(gw->fleet, now);
	fg_relay_follow(gw, now);
}

void fg_relay_distrust(struct fg_gateway *gw, fg_ms now)
{
	gw->follow_at = now + DISTRUST_MS;
	read_self(gw);
}

/* ---- Giving ---- */

static bool any_failed(const struct fg_gateway *gw)
{
	for (int i = 0; i < FG_FEED_COUNT; i++) {
		if (gw->feeds[i].failures > 0)
			return true;
	}
	return false;
}

G_STATIC_ASSERT((int)FG_FEED_COUNT == FG_MESH_FEEDS);

void fg_relay_status(const struct fg_gateway *gw, fg_ms now, fg_mesh_store *out)
{
	const struct fg_feed *registry = &gw->feeds[FG_FEED_REGISTRY];

	out->reads = gw->reader == 0 && !gw->stopping && all_read(gw) &&
		     !any_failed(gw);
	out->age_ms = registry->failures > 0
			      ? FG_MESH_STORE_LOST
			      : (uint32_t)(now - registry->confirmed);
	for (int i = 0; i < FG_FEED_COUNT; i++) {
		out->feeds[i].newest = gw->feeds[i].newest;
		out->feeds[i].read = gw->feeds[i].after;
	}
}

void fg_relay_answer(struct fg_caller *c)
{
	const char *target = fg_h1_target(&c->h1.head);
	unsigned long long after;
	unsigned int status = HTTP_STATUS_GONE;
	int id;
	GString *body = g_string_new(NULL);

	if (sscanf(target, "/rows/%d/%llu", &id, &after) != 2 || id < 0 ||
	    id >= FG_FEED_COUNT) {
		status = HTTP_STATUS_NOT_FOUND;
	} else {
		const struct fg_feed *f = &c->gw->feeds[id];

		if (c->gw->reader == 0 &&
		    fg_relay_encode(f->relay, after, f->after, body))
			status = HTTP_STATUS_OK;
	}
	fg_caller_answer(c, status, NULL, 0, NULL, body->str, body->len);
	fg_caller_done(c);
	g_string_free(body, TRUE);
}
