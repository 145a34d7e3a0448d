/* Decoding and applying rows of the store's tables. */
#include "gateway/fg_gateway_internal.h"

#include <string.h>

/* Frees `why`, which may be NULL. */
static void refuse_row(struct fg_gateway *gw, const char *event,
		       const struct fg_store_row *row, GError *why)
{
	char labels[48];

	fg_log(FG_LOG_WARN, "sync", event, "table", row->table, "key", row->key,
	       "reason", why == NULL ? NULL : why->message, NULL);
	g_snprintf(labels, sizeof(labels), "event=\"%s\"", event);
	fg_gw_count_event(gw, "rows_refused", labels);
	g_clear_error(&why);
}

static void log_problems(const struct fg_ws_set *set)
{
	const GPtrArray *problems = fg_ws_set_problems(set);

	for (guint i = 0; i < problems->len; i++)
		fg_log(FG_LOG_ERROR, "workspaces", "bad_entry", "reason",
		       (const char *)problems->pdata[i], NULL);
}

static void log_bad_sizes(const struct fg_routes *t)
{
	for (guint i = 0; i < t->services->len; i++) {
		const struct fg_svc *svc = t->services->pdata[i];

		if (svc->bad_memory)
			fg_log(FG_LOG_ERROR, "sync", "bad_sizes", "service",
			       svc->name, "reason",
			       "a size of memory, model or adapter is no "
			       "number, "
			       "negative or too large",
			       NULL);
	}
}

static void apply_config(struct fg_gateway *gw, const struct fg_store_row *row)
{
	GError *why = NULL;
	struct fg_routes *t =
		gw->wire->config_read(row->value, row->value_bytes, &why);
	char version[24];

	if (t == NULL) {
		refuse_row(gw, "configuration_refused", row, why);
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
	fg_gw_memory_apply_limits(gw);
	fg_idle_set(&gw->idle, fg_clock_now(),
		    fg_caller_limits(gw).idle_timeout_ms);
	if (t->workspaces != NULL)
		log_problems(t->workspaces);
	log_bad_sizes(t);
	fg_gw_count_event(gw, "configurations", NULL);
}

static void apply_announcement(struct fg_gateway *gw,
			       const struct fg_store_row *row, fg_ms now)
{
	struct fg_announcement a;
	struct fg_announced_version *announced;
	GError *why = NULL;
	uint64_t key;
	char version[24];

	if (!gw->wire->announcement_read(row->value, row->value_bytes, &a,
					 &why)) {
		refuse_row(gw, "announcement_refused", row, why);
		return;
	}
	if (a.adapter == NULL) {
		fg_announcement_clear(&a);
		return; /* a base model: loads fetch its newest version */
	}
	key = fg_adapter_key(a.model, a.adapter);
	announced = g_hash_table_lookup(gw->announced_versions, &key);
	if (announced == NULL) {
		announced = g_new0(struct fg_announced_version, 1);
		announced->key = key;
		g_hash_table_insert(gw->announced_versions, &announced->key,
				    announced);
	}
	if (a.version > announced->version) {
		announced->version = a.version;
		announced->announced_at = now;
		g_snprintf(version, sizeof(version), "%llu",
			   (unsigned long long)a.version);
		fg_log(FG_LOG_INFO, "sync", "version_announced", "adapter",
		       a.adapter, "version", version, NULL);
		fg_orders_on_announcement(gw, key, a.version);
	}
	fg_announcement_clear(&a);
}

static void apply_config_row(struct fg_gateway *gw,
			     const struct fg_store_row *row, fg_ms now)
{
	fg_gw_catchup_on_row(gw, row);
	if (row->removed || row->value == NULL)
		return;
	if (gw->wire->is_config(row->key))
		apply_config(gw, row);
	else if (gw->wire->is_announcement(row->key))
		apply_announcement(gw, row, now);
}

/* The adapters that a registry entry lists are used only when the endpoint's
 * owner has not reported them for this long. */
#define RESIDENT_FRESH_MS 3000

static void apply_listed_resident(struct fg_fleet_ep *ep, fg_ms now)
{
	struct fg_fleet_held held[FG_FLEET_RESIDENT_MAX];
	uint32_t n = 0;

	if (ep->resident_at != 0 && now - ep->resident_at < RESIDENT_FRESH_MS)
		return;
	for (uint32_t i = 0; i < ep->facts.n_resident; i++) {
		const struct fg_ep_resident *r = &ep->facts.resident[i];

		held[n].key = fg_adapter_key(r->model, r->adapter);
		held[n++].version = MAX(r->version, 1);
	}
	fg_ep_set_resident(ep, now, held, n);
}

/* Returns whether the new entry differs from the known one only in its list of
 * adapters. */
static bool differs_in_resident_only(const struct fg_fleet_ep *ep,
				     const struct fg_ep_facts *facts)
{
	const struct fg_ep_facts *old = &ep->facts;

	return ep->listed && strcmp(old->service, facts->service) == 0 &&
	       strcmp(old->address, facts->address) == 0 &&
	       strcmp(old->dc, facts->dc) == 0 && old->slots == facts->slots &&
	       old->draining == facts->draining && old->born == facts->born &&
	       strcmp(old->software, facts->software) == 0;
}

/* The next heartbeats are sent at once instead of after their interval, those
 * to other regions spread over HEARTBEAT_SPREAD_MS, since the rows of many
 * instances that start together arrive together. */
#define HEARTBEAT_SPREAD_MS 200

static void hasten_heartbeats(struct fg_gateway *gw, fg_ms now)
{
	fg_ms due_at =
		now + (fg_ms)fg_rand_below(&gw->rand, HEARTBEAT_SPREAD_MS);

	gw->heartbeat_due = true;
	gw->far_heartbeat_due_at = MIN(gw->far_heartbeat_due_at, due_at);
}

static void log_restart(const struct fg_fleet_ep *ep,
			const char *software_before)
{
	fg_log(FG_LOG_INFO, "endpoint", "restarted", "endpoint", ep->facts.id,
	       "address", ep->facts.address, "software", ep->facts.software,
	       "software_before", software_before, NULL);
}

/* `known` is the endpoint's record, NULL when there is none. */
static struct fg_fleet_ep *put_entry(struct fg_gateway *gw, fg_ms now,
				     const struct fg_fleet_ep *known,
				     const struct fg_ep_facts *facts)
{
	bool other_start = known != NULL && known->facts.born != facts->born;
	char software[FG_FLEET_SOFTWARE_BYTES];
	struct fg_fleet_ep *ep;

	if (other_start)
		g_strlcpy(software, known->facts.software, sizeof(software));
	ep = fg_fleet_put(gw->fleet, now, facts);
	if (other_start && ep->facts.born == facts->born)
		log_restart(ep, software);
	return ep;
}

static bool apply_entry_row(struct fg_gateway *gw,
			    const struct fg_store_row *row, fg_ms now)
{
	struct fg_ep_facts facts;
	GError *why = NULL;
	struct fg_fleet_ep *ep = fg_fleet_find(gw->fleet, row->key);
	bool was_usable = ep != NULL && fg_ep_is_usable(ep, now);
	bool matters = true;

	if (row->removed || row->value == NULL) {
		fg_fleet_remove(gw->fleet, now, row->key);
	} else if (!gw->wire->entry_read(row->key, row->value, row->value_bytes,
					 &facts, &why)) {
		refuse_row(gw, "entry_refused", row, why);
		fg_fleet_put_unreadable(gw->fleet, row->key);
	} else {
		matters = ep == NULL || !differs_in_resident_only(ep, &facts);
		ep = put_entry(gw, now, ep, &facts);
		apply_listed_resident(ep, now);
	}
	if (ep == NULL || was_usable == fg_ep_is_usable(ep, now))
		return matters;
	fg_log(FG_LOG_INFO, "endpoint", was_usable ? "leaving" : "usable",
	       "endpoint", row->key, "address", ep->facts.address, "service",
	       ep->facts.service, "software", ep->facts.software, NULL);
	return matters;
}

static void apply_own_row(struct fg_gateway *gw, const struct fg_store_row *row,
			  fg_ms now)
{
	struct fg_peer_row peer;
	const char *name;

	if (g_str_has_prefix(row->key, FG_SYNC_KEY_OWNER)) {
		fg_claims_apply_row(
			gw->claims, now, row->key + strlen(FG_SYNC_KEY_OWNER),
			row->removed ? NULL : row->value, row->version);
		return;
	}
	if (g_str_has_prefix(row->key, FG_SYNC_KEY_MARK)) {
		fg_gw_retire_apply_mark(gw, row, now);
		return;
	}
	if (g_str_has_prefix(row->key, FG_SYNC_KEY_BLOCKED)) {
		fg_gw_blame_apply_row(gw, row, now);
		return;
	}
	if (g_str_has_prefix(row->key, FG_SYNC_KEY_FEATURES)) {
		fg_peers_put_features(gw->peers,
				      row->key + strlen(FG_SYNC_KEY_FEATURES),
				      row->removed ? NULL : row->value);
		return;
	}
	if (g_str_has_prefix(row->key, FG_SYNC_KEY_EVIDENCE)) {
		fg_gw_blame_apply_evidence(gw, row, now);
		return;
	}
	if (!g_str_has_prefix(row->key, FG_SYNC_KEY_INSTANCE))
		return;
	name = row->key + strlen(FG_SYNC_KEY_INSTANCE);
	if (row->removed || row->value == NULL) {
		if (strcmp(name, gw->conf->name) == 0)
			fg_sync_note_own_row(gw, row->version, 0);
		fg_peers_remove(gw->peers, name);
		fg_retire_note_removal(gw->retire, row->version);
	} else if (fg_peer_row_parse(name, row->value, &peer)) {
		peer.version = row->version;
		if (strcmp(name, gw->conf->name) == 0)
			fg_sync_note_own_row(gw, row->version,
					     peer.incarnation);
		if (fg_peers_find(gw->peers, peer.incarnation) == NULL)
			hasten_heartbeats(gw, now);
		fg_peers_put(gw->peers, now, &peer);
	} else {
		refuse_row(gw, "instance_row_refused", row, NULL);
	}
}

bool fg_sync_apply_row(struct fg_feed *f, const struct fg_store_row *row,
		       fg_ms now)
{
	switch (f->id) {
	case FG_FEED_CONFIG:
		apply_config_row(f->gw, row, now);
		/* Instances that the store turns away learn from heartbeats
		 * that a key was withdrawn. */
		if (fg_gw_has_workspaces(f->gw) &&
		    fg_gw_relay_reads_store(f->gw))
			hasten_heartbeats(f->gw, now);
		return true;
	case FG_FEED_REGISTRY:
		return apply_entry_row(f->gw, row, now);
	default:
		apply_own_row(f->gw, row, now);
		return true;
	}
}
