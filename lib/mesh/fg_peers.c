#include "mesh/fg_peers.h"

#include <stdio.h>
#include <string.h>

#include "base/fg_address.h"
#include "base/fg_rand.h"

#define INCARNATION_DIGITS 16

struct fg_peers {
	struct fg_peer_row self;
	GPtrArray *peers;     /* struct fg_mesh_peer *, owned */
	GHashTable *features; /* name -> struct features *; rows of an instance
				 come in any order */
};

/* What a build can do, by the incarnation that says so; 0: none. */
struct features {
	uint64_t forwarding;
	uint64_t binding;
};

struct fg_peers *fg_peers_new(const struct fg_peer_row *self)
{
	struct fg_peers *p = g_new0(struct fg_peers, 1);

	p->self = *self;
	p->peers = g_ptr_array_new_with_free_func(g_free);
	p->features =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return p;
}

void fg_peers_free(struct fg_peers *p)
{
	if (p == NULL)
		return;
	g_hash_table_unref(p->features);
	g_ptr_array_unref(p->peers);
	g_free(p);
}

/* ---- Rows: "INCARNATION REGION DC MESH FRONT" ---- */

char *fg_peer_row_format(const struct fg_peer_row *row)
{
	return g_strdup_printf("%016" G_GINT64_MODIFIER "x %s %s %s %s",
			       (guint64)row->incarnation, row->region, row->dc,
			       row->mesh, row->front);
}

/* Returns 0 for a text that is no hexadecimal number of 64 bits. */
static uint64_t parse_incarnation(const char *text)
{
	size_t len = strspn(text, "0123456789abcdef");

	if (len == 0 || len > INCARNATION_DIGITS || text[len] != '\0')
		return 0;
	return g_ascii_strtoull(text, NULL, 16);
}

bool fg_peer_row_parse(const char *name, const char *text,
		       struct fg_peer_row *out)
{
	g_auto(GStrv) fields = g_strsplit(text, " ", -1);

	memset(out, 0, sizeof(*out));
	if (g_strv_length(fields) != 5 || strlen(name) >= sizeof(out->name) ||
	    strlen(fields[1]) >= sizeof(out->region) ||
	    strlen(fields[2]) >= sizeof(out->dc) ||
	    !fg_address_is_valid(fields[3]) || !fg_address_is_valid(fields[4]))
		return false;
	out->incarnation = parse_incarnation(fields[0]);
	g_strlcpy(out->name, name, sizeof(out->name));
	g_strlcpy(out->region, fields[1], sizeof(out->region));
	g_strlcpy(out->dc, fields[2], sizeof(out->dc));
	g_strlcpy(out->mesh, fields[3], sizeof(out->mesh));
	g_strlcpy(out->front, fields[4], sizeof(out->front));
	return out->incarnation != 0;
}

static struct fg_mesh_peer *find_by_name(struct fg_peers *p, const char *name)
{
	for (guint i = 0; i < p->peers->len; i++) {
		struct fg_mesh_peer *peer = p->peers->pdata[i];

		if (strcmp(peer->row.name, name) == 0)
			return peer;
	}
	return NULL;
}

static void reset_heartbeat_state(struct fg_mesh_peer *peer)
{
	peer->heartbeat_at = 0;
	peer->seq = 0;
	peer->state = FG_MESH_STARTING;
	peer->store.reads = false;
	peer->has_delta = false;
	peer->unproven_since = 0;
}

static void apply_features(const struct fg_peers *p, struct fg_mesh_peer *peer,
			   const char *name)
{
	const struct features *f = g_hash_table_lookup(p->features, name);

	peer->forwarding = f == NULL ? 0 : f->forwarding;
	peer->binding = f == NULL ? 0 : f->binding;
}

void fg_peers_put(struct fg_peers *p, fg_ms now, const struct fg_peer_row *row)
{
	struct fg_mesh_peer *peer;

	if (strcmp(row->name, p->self.name) == 0)
		return;
	peer = find_by_name(p, row->name);
	if (peer == NULL) {
		peer = g_new0(struct fg_mesh_peer, 1);
		peer->hash = fg_hash_str(row->name);
		apply_features(p, peer, row->name);
		g_ptr_array_add(p->peers, peer);
	}
	peer->listed = true;
	if (row->version < peer->row.version)
		return;
	if (peer->row.incarnation != row->incarnation)
		reset_heartbeat_state(peer);
	if (peer->row.version != row->version)
		peer->row_seen_at = now;
	peer->row = *row;
	peer->same_region = strcmp(row->region, p->self.region) == 0;
	peer->same_dc = peer->same_region && strcmp(row->dc, p->self.dc) == 0;
}

void fg_peers_remove(struct fg_peers *p, const char *name)
{
	struct fg_mesh_peer *peer = find_by_name(p, name);

	if (peer != NULL)
		g_ptr_array_remove_fast(p->peers, peer);
}

void fg_peers_begin_full_read(struct fg_peers *p)
{
	for (guint i = 0; i < p->peers->len; i++) {
		struct fg_mesh_peer *peer = p->peers->pdata[i];

		peer->listed = false;
	}
}

void fg_peers_end_full_read(struct fg_peers *p)
{
	for (guint i = p->peers->len; i > 0; i--) {
		const struct fg_mesh_peer *peer = p->peers->pdata[i - 1];

		if (!peer->listed)
			g_ptr_array_remove_index_fast(p->peers, i - 1);
	}
}

struct fg_mesh_peer *fg_peers_find(struct fg_peers *p, uint64_t incarnation)
{
	for (guint i = 0; i < p->peers->len; i++) {
		struct fg_mesh_peer *peer = p->peers->pdata[i];

		if (peer->row.incarnation == incarnation)
			return peer;
	}
	return NULL;
}

/* The clocks of two machines drift apart by less than this, in ms a second. */
#define DRIFT_MAX_MS_PER_S 1

static void note_delay(struct fg_mesh_peer *peer, fg_ms now, fg_ms sent_at)
{
	fg_ms delta_ms = now - sent_at;
	fg_ms passed_s = (now - peer->delta_at) / FG_MS_PER_S;

	if (peer->has_delta && passed_s > 0) {
		peer->min_delta_ms += passed_s * DRIFT_MAX_MS_PER_S;
		peer->delta_at += passed_s * FG_MS_PER_S;
	}
	if (!peer->has_delta || delta_ms < peer->min_delta_ms) {
		peer->min_delta_ms = delta_ms;
		peer->delta_at = now;
	}
	peer->has_delta = true;
	peer->excess_delay_ms = delta_ms - peer->min_delta_ms;
}

struct fg_mesh_peer *fg_peers_on_heartbeat(struct fg_peers *p, fg_ms now,
					   uint64_t incarnation, uint32_t seq,
					   const fg_mesh_heartbeat *hb)
{
	struct fg_mesh_peer *peer = fg_peers_find(p, incarnation);

	if (peer == NULL)
		return NULL;
	peer->heartbeat_at = now;
	if ((int32_t)(seq - peer->seq) <= 0)
		return peer; /* a newer heartbeat arrived before */
	peer->seq = seq;
	peer->state = hb->state;
	peer->store = hb->store;
	peer->store_at = now;
	if (hb->store.proves)
		peer->unproven_since = 0;
	else if (peer->unproven_since == 0)
		peer->unproven_since = now;
	note_delay(peer, now, (fg_ms)hb->store.sent_at);
	return peer;
}

const GPtrArray *fg_peers_all(const struct fg_peers *p)
{
	return p->peers;
}

bool fg_peer_is_heard(const struct fg_mesh_peer *peer, fg_ms now)
{
	fg_ms timeout_ms = peer->same_region ? FG_PEER_TIMEOUT_MS
					     : FG_PEER_CROSS_REGION_TIMEOUT_MS;

	return peer->heartbeat_at != 0 && now - peer->heartbeat_at < timeout_ms;
}

bool fg_peer_is_alive(const struct fg_mesh_peer *peer, fg_ms now)
{
	return !peer->retired && fg_peer_is_heard(peer, now);
}

static bool has_fresh_rows(const struct fg_mesh_peer *peer, fg_ms now,
			   uint32_t fresh_ms)
{
	fg_ms elapsed_ms = now - peer->store_at;

	return peer->store.reads && elapsed_ms < FG_PEER_READER_TIMEOUT_MS &&
	       (fg_ms)peer->store.age_ms + elapsed_ms <= (fg_ms)fresh_ms;
}

const struct fg_mesh_peer *fg_peers_find_reader(const struct fg_peers *p,
						fg_ms now, uint32_t fresh_ms)
{
	const struct fg_mesh_peer *best = NULL;
	uint64_t own_hash = fg_hash_str(p->self.name);

	for (guint i = 0; i < p->peers->len; i++) {
		const struct fg_mesh_peer *peer = p->peers->pdata[i];

		if (peer->hash >= own_hash || !peer->same_region ||
		    strcmp(peer->row.dc, p->self.dc) != 0 ||
		    !has_fresh_rows(peer, now, fresh_ms))
			continue;
		if (best == NULL || peer->hash < best->hash)
			best = peer;
	}
	return best;
}

bool fg_peers_is_first_in_dc(const struct fg_peers *p, fg_ms now)
{
	uint64_t own_hash = fg_hash_str(p->self.name);

	for (guint i = 0; i < p->peers->len; i++) {
		const struct fg_mesh_peer *peer = p->peers->pdata[i];

		if (peer->hash < own_hash && fg_peer_is_alive(peer, now) &&
		    strcmp(peer->row.dc, p->self.dc) == 0)
			return false;
	}
	return true;
}

static bool forwards_heartbeats(const struct fg_mesh_peer *peer, fg_ms now)
{
	if (!peer->store.reads || !fg_peer_is_alive(peer, now))
		return false;
	return !peer->same_region ||
	       (peer->forwarding == peer->row.incarnation &&
		now - peer->heartbeat_at < FG_PEER_READER_TIMEOUT_MS);
}

bool fg_peers_is_target(const struct fg_peers *p, fg_ms now,
			const struct fg_mesh_peer *peer)
{
	if (forwards_heartbeats(peer, now))
		return true;
	for (guint i = 0; i < p->peers->len; i++) {
		const struct fg_mesh_peer *other = p->peers->pdata[i];

		if (forwards_heartbeats(other, now) &&
		    strcmp(other->row.dc, peer->row.dc) == 0)
			return false;
	}
	return true;
}

/* ---- Features: "INCARNATION WORD..." ---- */

#define FEATURE_FORWARDS "forwards"
#define FEATURE_BINDS "binds"

char *fg_peer_features_format(uint64_t incarnation)
{
	return g_strdup_printf("%016" G_GINT64_MODIFIER "x " FEATURE_FORWARDS
			       " " FEATURE_BINDS,
			       (guint64)incarnation);
}

void fg_peers_put_features(struct fg_peers *p, const char *name,
			   const char *text)
{
	struct fg_mesh_peer *peer = find_by_name(p, name);
	g_auto(GStrv) words = g_strsplit(text == NULL ? "" : text, " ", -1);
	struct features f = { 0 };

	if (g_strv_contains((const gchar *const *)words, FEATURE_FORWARDS))
		f.forwarding = parse_incarnation(words[0]);
	if (g_strv_contains((const gchar *const *)words, FEATURE_BINDS))
		f.binding = parse_incarnation(words[0]);
	g_hash_table_replace(p->features, g_strdup(name),
			     g_memdup2(&f, sizeof(f)));
	if (peer != NULL)
		apply_features(p, peer, name);
}

bool fg_peer_is_ready(const struct fg_mesh_peer *peer, fg_ms now)
{
	return fg_peer_is_alive(peer, now) && peer->state == FG_MESH_READY;
}

uint32_t fg_peers_count_alive(const struct fg_peers *p, fg_ms now)
{
	uint32_t n = 0;

	for (guint i = 0; i < p->peers->len; i++)
		n += fg_peer_is_alive(p->peers->pdata[i], now) ? 1 : 0;
	return n;
}
