/* Start, periodic tick, settings and end of an instance. */
#include "gateway/fg_gateway_internal.h"

#include <math.h>
#include <signal.h>
#include <string.h>
#include <sys/resource.h>

#define TICK_MS 100
/* A tick this late means that the process or its machine was suspended. */
#define PAUSE_MIN_MS 1000
/* Interval at which the settings file is checked for changes, since it may
 * change without a SIGHUP. */
#define SETTINGS_CHECK_MS 2000

/* Current engines read 25.8 prompt tokens a ms, and load an adapter in 250 ms
 * from the weight store or in a tenth of that when they held it before. One way
 * between regions takes 12 ms. The penalties are the waits that a request
 * accepts to avoid costs for others: a load, and traffic between regions. */
static const struct fg_balance_conf balance_defaults = {
	.prefill_tokens_per_ms = 25.8,
	.load_ms = 250,
	.reload_ms = 30,
	.load_penalty_ms = 300,
	.non_home_penalty_ms = 200,
	.home_utilization = 0.3,
	.cross_region_rtt_ms = 26,
	.cross_region_penalty_ms = 30,
	.plain_request_ms = 30,
};

/* A request that crashed three different endpoints is refused. Suspects are
 * remembered as long as callers may retry such a request. */
static const struct fg_suspects_conf suspects_conf = {
	.retention_ms = 120000,
	.refuse_crashes = 3,
	.faulty_ep_window_ms = 30000,
	.faulty_ep_deaths = 3,
	.entries_max = 4096,
};

/* Popularity follows demand within seconds. With a shorter half-life, the few
 * requests that one instance gets for an adapter would be a poor sample. */
#define POPULARITY_HALF_LIFE_MS 5000

/* Share of the configured retry budget that is used. The rest is a margin: the
 * instances do not know each other's counts, and their windows slide. */
#define BUDGET_USED_PERCENT 70
#define BUDGET_SERVICES_MAX 64

/* ---- Helpers ---- */

void fg_gw_add_counter(struct fg_gateway *gw, const char *name,
		       const char *labels, uint64_t n)
{
	char full[64];

	g_snprintf(full, sizeof(full), "fg_gw_%s_total", name);
	fg_counter_add(fg_metrics_counter(gw->metrics, full, labels, name), n);
}

void fg_gw_count_event(struct fg_gateway *gw, const char *name,
		       const char *labels)
{
	fg_gw_add_counter(gw, name, labels, 1);
}

void fg_gw_count_malformed(struct fg_gateway *gw, const char *name,
			   enum fg_h1_rule rule)
{
	g_autofree char *label =
		g_strdup_printf("rule=\"%s\"", fg_h1_rule_name(rule));

	fg_gw_count_event(gw, name, label);
}

void fg_gw_format_key(char *out, uint64_t key)
{
	g_snprintf(out, FG_KEY_TEXT_BYTES, "%" G_GINT64_MODIFIER "x",
		   (guint64)key);
}

char *fg_gw_format_parts(GBytes *shared_parts)
{
	GString *text;
	const uint64_t *keys;
	gsize len;

	if (shared_parts == NULL)
		return NULL;
	text = g_string_new(NULL);
	keys = g_bytes_get_data(shared_parts, &len);
	for (gsize i = 0; i < len / sizeof(*keys); i++)
		g_string_append_printf(text, "%s%" G_GINT64_MODIFIER "x",
				       i == 0 ? "" : ",", (guint64)keys[i]);
	return g_string_free(text, FALSE);
}

uint64_t fg_gw_announced_version(const struct fg_gateway *gw, uint64_t key,
				 fg_ms now, fg_ms *age_ms)
{
	const struct fg_announced_version *announced =
		g_hash_table_lookup(gw->announced_versions, &key);

	*age_ms = announced == NULL ? 0 : now - announced->announced_at;
	return announced == NULL ? 0 : announced->version;
}

static fg_av popularity_key(uint64_t adapter)
{
	fg_av av = { .adapter = (uint32_t)(adapter >> 32),
		     .ver = (uint32_t)adapter };

	return av;
}

/* Scales the local rate by the number of instances, since callers choose an
 * instance at random. */
double fg_gw_update_token_rate(struct fg_gateway *gw, fg_ms now,
			       uint64_t adapter, uint32_t tokens)
{
	uint32_t instances = fg_peers_count_alive(gw->peers, now) + 1;

	if (tokens > 0)
		fg_popularity_add(gw->popularity, now, popularity_key(adapter),
				  tokens);
	return fg_popularity_get(gw->popularity, now, popularity_key(adapter)) *
	       M_LN2 * FG_MS_PER_S / POPULARITY_HALF_LIFE_MS * instances;
}

/* The configured budget applies to all instances together. Each takes an equal
 * part of the slack, and the ratio of its own requests. */
struct fg_retry *fg_gw_retry_budget(struct fg_gateway *gw, const char *service)
{
	struct fg_retry *r = g_hash_table_lookup(gw->retry_budgets, service);
	uint32_t instances = fg_peers_all(gw->peers)->len + 1;
	struct fg_retry_conf conf = {
		.percent = gw->conf->retry_percent * BUDGET_USED_PERCENT / 100,
		.min_per_10s = gw->conf->retry_slack * BUDGET_USED_PERCENT /
			       100 / MAX(instances, 1),
		.attempts_max = UINT32_MAX,
	};

	if (r != NULL)
		return r;
	r = fg_retry_new(&conf, fg_rand_next(&gw->rand));
	g_hash_table_insert(gw->retry_budgets, g_strdup(service), r);
	return r;
}

bool fg_gw_has_descriptor(const struct fg_gateway *gw)
{
	while (fg_link_open_count() >=
	       fg_places_for_endpoints(gw->descriptors)) {
		if (!fg_link_end_delivered())
			return false;
	}
	return true;
}

uv_timer_t *fg_gw_timer_new(struct fg_gateway *gw, void *data)
{
	uv_timer_t *timer = g_new0(uv_timer_t, 1);

	uv_timer_init(&gw->loop, timer);
	timer->data = data;
	return timer;
}

static void on_timer_closed(uv_handle_t *handle)
{
	g_free(handle);
}

void fg_gw_timer_free(uv_timer_t *timer)
{
	if (timer != NULL)
		uv_close((uv_handle_t *)timer, on_timer_closed);
}

/* ---- Settings ---- */

static void reload_settings(struct fg_gateway *gw)
{
	struct fg_gwconf *conf;
	GError *why = NULL;
	char *text;
	bool first;
	bool same;

	if (!g_file_get_contents(gw->conf_path, &text, NULL, &why)) {
		fg_log(FG_LOG_WARN, "settings", "not_read", "reason",
		       why->message, NULL);
		g_error_free(why);
		return;
	}
	first = gw->conf_text == NULL;
	same = g_strcmp0(text, gw->conf_text) == 0;
	g_free(gw->conf_text);
	gw->conf_text = text;
	if (first || same)
		return;
	conf = fg_gwconf_parse(gw->conf_path, text, &why);
	if (conf == NULL) {
		fg_log(FG_LOG_ERROR, "settings", "refused", "reason",
		       why->message, NULL);
		g_error_free(why);
		return;
	}
	/* Addresses and names change only at the next start. */
	gw->conf->retry_percent = conf->retry_percent;
	gw->conf->retry_slack = conf->retry_slack;
	gw->conf->stop_grace_ms = conf->stop_grace_ms;
	gw->conf->lookup_ttl_s = conf->lookup_ttl_s;
	gw->conf->version_ms = conf->version_ms;
	gw->conf->drain_ms = conf->drain_ms;
	gw->conf->connections_max = conf->connections_max;
	gw->conf->lookup_connections_max = conf->lookup_connections_max;
	gw->conf->caller_memory_bytes = conf->caller_memory_bytes;
	gw->conf->read_timeout_ms = conf->read_timeout_ms;
	gw->conf->revoke_ms = conf->revoke_ms;
	gw->conf->revoke_strict = conf->revoke_strict;
	gw->conf->log_level = conf->log_level;
	fg_log_open(gw->conf->name, conf->log_level);
	g_hash_table_remove_all(gw->retry_budgets);
	fg_gw_memory_apply_limits(gw);
	fg_log(FG_LOG_INFO, "settings", "reloaded", NULL);
	fg_gwconf_free(conf);
}

/* ---- Periodic tick ---- */

static void check_pause(struct fg_gateway *gw, fg_ms now)
{
	char ms[24];

	if (now - gw->last_tick_at < PAUSE_MIN_MS)
		return;
	g_snprintf(ms, sizeof(ms), "%lld", (long long)(now - gw->last_tick_at));
	fg_log(FG_LOG_WARN, "gateway", "paused", "ms", ms, NULL);
	/* Another instance may have taken over engines during the pause. */
	gw->claims_current = false;
	gw->woke_at = now;
	fg_gw_relay_suspend(gw, now);
	for (int i = 0; i < FG_FEED_COUNT; i++)
		fg_channel_abort(gw->feeds[i].channel);
}

void fg_gw_update_shares(struct fg_gateway *gw, fg_ms now)
{
	const GPtrArray *all = fg_fleet_all(gw->fleet);
	const GPtrArray *peers = fg_peers_all(gw->peers);
	uint64_t *live = g_new(uint64_t, peers->len + 1);
	uint32_t n = 0;

	for (guint i = 0; i < peers->len; i++) {
		const struct fg_mesh_peer *peer = peers->pdata[i];

		if (fg_peer_is_alive(peer, now))
			live[n++] = peer->row.incarnation;
	}
	for (guint i = 0; i < all->len; i++)
		fg_limit_update(all->pdata[i], now, gw->incarnation, live, n,
				&gw->rand);
	fg_brittle_update(gw->fleet, now, gw->incarnation, live, n);
	g_free(live);
}

static void on_tick(uv_timer_t *timer)
{
	struct fg_gateway *gw = timer->data;
	fg_ms now = fg_clock_now();

	check_pause(gw, now);
	fg_orders_count_waits(gw, now, now - gw->last_tick_at);
	gw->tick_before_at = gw->last_tick_at;
	gw->last_tick_at = now;
	fg_fleet_tick(gw->fleet, now);
	fg_gw_update_shares(gw, now);
	fg_caller_sweep(gw, now);
	fg_gw_memory_tick(gw, now);
	fg_orders_refresh(gw, now);
	fg_sync_tick(gw, now);
	fg_gw_catchup_tick(gw, now);
	fg_gw_mesh_tick(gw, now);
	fg_gw_blame_tick(gw, now);
	fg_gw_origin_refresh(gw, now);
	fg_gw_origin_tick(gw, now);
	fg_gw_tunnel_tick(gw, now);
	fg_gw_quota_tick(gw, now);
	fg_gw_stop_tick(gw, now);
}

static void on_settings_tick(uv_timer_t *timer)
{
	reload_settings(timer->data);
}

static void on_signal(uv_signal_t *handle, int signo)
{
	struct fg_gateway *gw = handle->data;

	if (signo == SIGHUP)
		reload_settings(gw);
	else
		fg_gw_stop_begin(gw);
}

/* ---- Start ---- */

static const char *dc_region(void *ctx, const char *dc)
{
	const struct fg_gateway *gw = ctx;

	return fg_gwconf_region(gw->conf, dc);
}

static void on_endpoint_dropped(void *ctx, struct fg_fleet_ep *ep)
{
	struct fg_gateway *gw = ctx;

	if (!gw->ending)
		fg_log(FG_LOG_INFO, "endpoint", "gone", "endpoint",
		       ep->facts.id, NULL);
	fg_ep_local_free(gw, ep);
}

static bool open_port(struct fg_gateway *gw, enum fg_port_kind kind,
		      const char *address, GError **error)
{
	struct fg_port *port = &gw->ports[kind];
	int rc;

	port->gw = gw;
	port->kind = kind;
	port->listener.data = port;
	if (address == NULL)
		return true;
	rc = fg_link_listen(&gw->loop, &port->listener, address,
			    fg_caller_accept);
	port->open = true;
	if (rc == 0)
		return true;
	g_set_error(error, FG_GWCONF_ERROR, FG_GWCONF_ERR_INVALID,
		    "cannot listen on %s: %s", address, uv_strerror(rc));
	return false;
}

static bool open_sockets(struct fg_gateway *gw, GError **error)
{
	const struct fg_gwconf *conf = gw->conf;
	int rc;

	if (!open_port(gw, FG_PORT_FRONT, conf->front, error) ||
	    !open_port(gw, FG_PORT_READY, conf->ready, error) ||
	    !open_port(gw, FG_PORT_DIRECTORY, conf->directory, error) ||
	    !open_port(gw, FG_PORT_METRICS, conf->metrics, error) ||
	    !open_port(gw, FG_PORT_RELAY, conf->mesh, error))
		return false;
	rc = fg_gw_mesh_open(gw);
	if (rc == 0)
		return true;
	g_set_error(error, FG_GWCONF_ERROR, FG_GWCONF_ERR_INVALID,
		    "cannot bind %s: %s", conf->mesh, uv_strerror(rc));
	return false;
}

static void start_signals(struct fg_gateway *gw)
{
	static const int signals[] = { SIGTERM, SIGINT, SIGHUP };

	signal(SIGPIPE, SIG_IGN);
	for (size_t i = 0; i < G_N_ELEMENTS(signals); i++) {
		uv_signal_init(&gw->loop, &gw->signals[i]);
		gw->signals[i].data = gw;
		uv_signal_start(&gw->signals[i], on_signal, signals[i]);
	}
}

static void init_members(struct fg_gateway *gw)
{
	struct fg_peer_row self = { .incarnation = gw->incarnation };
	struct fg_claims_conf claims = {
		.incarnation = gw->incarnation,
		.name = gw->conf->name,
		.started_at = gw->started_at,
		.fences_checked = gw->conf->fences_checked,
		.turn_ms = gw->conf->turn_ms,
	};

	g_strlcpy(self.name, gw->conf->name, sizeof(self.name));
	g_strlcpy(self.region, gw->conf->region, sizeof(self.region));
	g_strlcpy(self.dc, gw->conf->dc, sizeof(self.dc));
	gw->balance = balance_defaults;
	fg_loadgate_init(&gw->loadgate, gw->balance.load_ms);
	gw->callers = g_ptr_array_new();
	fg_idle_init(&gw->idle, fg_caller_limits(gw).idle_timeout_ms);
	fg_memory_init(&gw->memory, gw->conf->caller_memory_bytes);
	gw->reqs = g_ptr_array_new();
	gw->tunnels = g_ptr_array_new();
	gw->announced_versions = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, NULL, g_free);
	gw->fleet = fg_fleet_new(dc_region, on_endpoint_dropped, gw);
	gw->claims = fg_claims_new(&claims);
	gw->peers = fg_peers_new(&self);
	gw->retire = fg_retire_new(fg_hash_str(gw->conf->name));
	fg_gw_catchup_init(gw);
	gw->popularity = fg_popularity_new(POPULARITY_HALF_LIFE_MS);
	gw->suspects = fg_suspects_new(&suspects_conf);
	fg_gw_blame_init(gw);
	fg_gw_origin_init(gw);
	fg_gw_quota_init(gw);
	fg_gw_overload_init(gw);
	gw->took =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	gw->first_took =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	gw->paces =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	gw->endpoint_gaps =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	gw->stutters =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	gw->retry_budgets = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, (GDestroyNotify)fg_retry_free);
	gw->metrics = fg_metrics_new();
	gw->hist_first =
		fg_metrics_hist(gw->metrics, "fg_gw_first_ms", NULL,
				"time until the first part of an answer");
	gw->hist_whole = fg_metrics_hist(gw->metrics, "fg_gw_whole_ms", NULL,
					 "time until the end of a request");
	gw->hist_load = fg_metrics_hist(gw->metrics, "fg_gw_load_ms", NULL,
					"time of a load from the weight store");
}

/* Returns false when the process may open too few descriptors. */
static bool read_descriptor_limit(struct fg_gateway *gw, GError **error)
{
	struct rlimit limit = { .rlim_cur = FG_PLACES_DESCRIPTORS_MIN };

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
		fg_log(FG_LOG_WARN, "gateway", "descriptors_unknown", "reason",
		       g_strerror(errno), NULL);
	gw->descriptors = (uint32_t)MIN(limit.rlim_cur, UINT32_MAX);
	if (gw->descriptors >= FG_PLACES_DESCRIPTORS_MIN)
		return true;
	g_set_error(error, FG_GWCONF_ERROR, FG_GWCONF_ERR_INVALID,
		    "%u descriptors are too few, %u are needed",
		    gw->descriptors, FG_PLACES_DESCRIPTORS_MIN);
	return false;
}

struct fg_gateway *fg_gateway_new(struct fg_gwconf *conf, const char *path,
				  const struct fg_wire_ops *wire,
				  GError **error)
{
	struct fg_gateway *gw = g_new0(struct fg_gateway, 1);
	uint64_t seed;

	gw->conf = conf;
	gw->conf_path = g_strdup(path);
	gw->wire = wire;
	gw->started_at = fg_clock_now();
	gw->last_tick_at = gw->started_at;
	gw->tick_before_at = gw->started_at;
	if (uv_random(NULL, NULL, &seed, sizeof(seed), 0, NULL) != 0)
		seed = (uint64_t)fg_clock_wall() ^ fg_hash_str(conf->name);
	fg_rand_seed(&gw->rand, seed);
	gw->incarnation = fg_rand_next(&gw->rand) | 1;
	uv_loop_init(&gw->loop);
	uv_timer_init(&gw->loop, &gw->tick);
	gw->tick.data = gw;
	init_members(gw);
	/* Signals come before sockets: a stop right after the start must not
	 * cut off a request that a socket already accepted. */
	start_signals(gw);
	if (!read_descriptor_limit(gw, error) || !open_sockets(gw, error)) {
		fg_gateway_free(gw);
		return NULL;
	}
	return gw;
}

void fg_gateway_run(struct fg_gateway *gw)
{
	uv_timer_t *settings = fg_gw_timer_new(gw, gw);
	char *age;

	reload_settings(gw);
	fg_sync_start(gw);
	uv_timer_start(&gw->tick, on_tick, TICK_MS, TICK_MS);
	uv_timer_start(settings, on_settings_tick, SETTINGS_CHECK_MS,
		       SETTINGS_CHECK_MS);
	fg_log(FG_LOG_INFO, "gateway", "started", "front", gw->conf->front,
	       NULL);
	uv_run(&gw->loop, UV_RUN_DEFAULT);
	age = fg_gw_stop_format_age(gw);
	fg_log(FG_LOG_INFO, "gateway", "stopped", "after_ms", age, NULL);
	g_free(age);
	fg_gw_timer_free(settings);
}

void fg_gw_close_listeners(struct fg_gateway *gw)
{
	for (int i = 0; i < FG_PORT_COUNT; i++) {
		uv_handle_t *handle = (uv_handle_t *)&gw->ports[i].listener;

		if (gw->ports[i].open && !uv_is_closing(handle))
			uv_close(handle, NULL);
	}
}

static void close_handle(uv_handle_t *handle, void *ctx)
{
	(void)ctx;
	if (!uv_is_closing(handle))
		uv_close(handle, NULL);
}

/* Closes the tick, signals and listeners; connections stay open. */
static void close_event_sources(struct fg_gateway *gw)
{
	close_handle((uv_handle_t *)&gw->tick, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(gw->signals); i++) {
		if (gw->signals[i].data != NULL)
			close_handle((uv_handle_t *)&gw->signals[i], NULL);
	}
	fg_gw_close_listeners(gw);
}

void fg_gateway_free(struct fg_gateway *gw)
{
	gw->ending = true;
	fg_gw_log_unfinished(gw);
	close_event_sources(gw);
	while (gw->callers->len > 0) {
		struct fg_caller *c = gw->callers->pdata[gw->callers->len - 1];

		fg_caller_close(c, c->req == NULL && c->tunnel == NULL);
		fg_caller_sweep(gw, fg_clock_now());
	}
	fg_link_abort_flushing();
	/* The ends of requests were reported to owners until here. */
	fg_gw_mesh_close(gw);
	if (gw->tx_channel != NULL)
		fg_sync_stop(gw);
	fg_gw_catchup_free(gw);
	fg_fleet_free(gw->fleet);
	uv_run(&gw->loop, UV_RUN_NOWAIT); /* frees closed connections */
	fg_claims_free(gw->claims);
	fg_retire_free(gw->retire);
	fg_peers_free(gw->peers);
	fg_popularity_free(gw->popularity);
	fg_suspects_free(gw->suspects);
	fg_gw_blame_free(gw);
	fg_gw_origin_free(gw);
	fg_gw_quota_free(gw);
	fg_gw_overload_free(gw);
	fg_routes_unref(gw->routes);
	g_hash_table_unref(gw->announced_versions);
	g_hash_table_unref(gw->retry_budgets);
	g_hash_table_unref(gw->took);
	g_hash_table_unref(gw->first_took);
	g_hash_table_unref(gw->paces);
	g_hash_table_unref(gw->endpoint_gaps);
	g_hash_table_unref(gw->stutters);
	g_ptr_array_unref(gw->callers);
	fg_memory_clear(&gw->memory);
	g_ptr_array_unref(gw->reqs);
	g_ptr_array_unref(gw->tunnels);
	if (gw->crashes != NULL)
		g_array_unref(gw->crashes);
	fg_metrics_free(gw->metrics);
	uv_walk(&gw->loop, close_handle, NULL);
	uv_run(&gw->loop, UV_RUN_DEFAULT);
	uv_loop_close(&gw->loop);
	g_free(gw->conf_path);
	g_free(gw->conf_text);
	fg_gwconf_free(gw->conf);
	g_free(gw);
}
