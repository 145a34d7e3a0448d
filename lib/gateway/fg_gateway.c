/* Start, clock tick, planned stop and settings of an instance. */
#include "gateway/fg_gateway_internal.h"

#include <math.h>
#include <signal.h>
#include <string.h>

#define TICK_MS 100
/* A tick this late means that the process or its machine was suspended. */
#define PAUSE_MS 1000
/* A planned stop ends when no request came for this long: callers keep the
 * addresses that they looked up for a few seconds. */
#define STOP_QUIET_MS 1500
/* The end of a stop leaves this much of the time until the kill. */
#define STOP_MARGIN_MS 300
/* The settings file may change without a signal. */
#define SETTINGS_MS 2000

/* Engines of the deployments at hand: 25.8 prompt tokens a ms, 250 ms for an
 * adapter from the weight store and a tenth of it for one held before; 12 ms
 * one way between regions. The penalties are the waits accepted to avoid what
 * costs others: a load, and traffic between regions. */
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

/* Requests that crash endpoints: refused after three crashes of different
 * endpoints; kept as long as callers may come back with one. */
static const struct fg_suspects_conf suspects_conf = {
	.retention_ms = 120000,
	.refuse_crashes = 3,
	.faulty_ep_window_ms = 30000,
	.faulty_ep_deaths = 3,
	.entries_max = 4096,
};

/* Popularity follows demand within seconds; shorter, and the few requests that
 * one instance sees of an adapter would tell little. */
#define HEAT_HALF_LIFE_MS 5000

/* Part of the shared budget of repeats that is used: instances do not know
 * each other's counts, and windows slide. */
#define BUDGET_SHARE_PERCENT 70
#define BUDGET_SERVICES_MAX 64

/* ---- Small helpers ---- */

void fg_gw_count(struct fg_gateway *gw, const char *name, const char *labels)
{
	char full[64];

	g_snprintf(full, sizeof(full), "fg_gw_%s_total", name);
	fg_counter_add(fg_metrics_counter(gw->metrics, full, labels, name), 1);
}

uint64_t fg_gw_version(const struct fg_gateway *gw, uint64_t key, fg_ms now,
		       fg_ms *age_ms)
{
	const struct fg_wanted_version *w =
		g_hash_table_lookup(gw->versions, &key);

	*age_ms = w == NULL ? 0 : now - w->since;
	return w == NULL ? 0 : w->version;
}

static fg_av heat_key(uint64_t adapter)
{
	fg_av av = { .adapter = (uint32_t)(adapter >> 32),
		     .ver = (uint32_t)adapter };

	return av;
}

/* Tokens a second over all instances: callers spread over them at random. */
double fg_gw_heat(struct fg_gateway *gw, fg_ms now, uint64_t adapter,
		  uint32_t tokens)
{
	uint32_t instances = fg_peers_alive(gw->peers, now) + 1;

	if (tokens > 0)
		fg_heat_add(gw->heat, now, heat_key(adapter), tokens);
	return fg_heat_get(gw->heat, now, heat_key(adapter)) * M_LN2 *
	       FG_MS_PER_S / HEAT_HALF_LIFE_MS * instances;
}

/* The budget is one for all instances; each takes an equal part of the slack
 * and its own part of the ratio, which follows its own requests. */
struct fg_retry *fg_gw_budget(struct fg_gateway *gw, const char *service)
{
	struct fg_retry *r = g_hash_table_lookup(gw->budgets, service);
	uint32_t instances = fg_peers_all(gw->peers)->len + 1;
	struct fg_retry_conf conf = {
		.percent = gw->conf->retry_percent * BUDGET_SHARE_PERCENT / 100,
		.min_per_10s = gw->conf->retry_slack * BUDGET_SHARE_PERCENT /
			       100 / MAX(instances, 1),
		.attempts_max = UINT32_MAX,
	};

	if (r != NULL)
		return r;
	r = fg_retry_new(&conf, fg_rand_next(&gw->rand));
	g_hash_table_insert(gw->budgets, g_strdup(service), r);
	return r;
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

static void check_settings(struct fg_gateway *gw)
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
	/* Addresses and names hold until the next start. */
	gw->conf->retry_percent = conf->retry_percent;
	gw->conf->retry_slack = conf->retry_slack;
	gw->conf->stop_grace_ms = conf->stop_grace_ms;
	gw->conf->lookup_ttl_s = conf->lookup_ttl_s;
	gw->conf->version_ms = conf->version_ms;
	gw->conf->drain_ms = conf->drain_ms;
	gw->conf->connections_max = conf->connections_max;
	gw->conf->log_level = conf->log_level;
	fg_log_open(gw->conf->name, conf->log_level);
	g_hash_table_remove_all(gw->budgets);
	fg_log(FG_LOG_INFO, "settings", "reloaded", NULL);
	fg_gwconf_free(conf);
}

/* ---- Planned stop ---- */

static void start_stop(struct fg_gateway *gw)
{
	fg_ms now = fg_clock_now();

	if (gw->stopping)
		return;
	gw->stopping = true;
	gw->stopping_since = now;
	gw->stop_at = now + gw->conf->stop_grace_ms - STOP_MARGIN_MS;
	gw->quiet_since = now;
	fg_log(FG_LOG_INFO, "gateway", "stopping", NULL);
	fg_mesh_heartbeat_now(gw);
	gw->far_heartbeat_at = 0;
}

static void close_listeners(struct fg_gateway *gw)
{
	for (int i = 0; i < FG_PORT_COUNT; i++) {
		uv_handle_t *handle = (uv_handle_t *)&gw->ports[i].listener;

		if (gw->ports[i].open && !uv_is_closing(handle))
			uv_close(handle, NULL);
	}
}

/* Takes no further request. The loop goes on for one more tick: it may read
 * from connections in the very turn in which it is stopped. */
static void close_idle(struct fg_gateway *gw)
{
	gw->closing = true;
	close_listeners(gw);
	for (guint i = 0; i < gw->callers->len; i++) {
		struct fg_caller *c = gw->callers->pdata[i];

		if (c->req == NULL)
			fg_caller_close(c, true);
	}
}

static void step_stop(struct fg_gateway *gw, fg_ms now)
{
	if (gw->reqs->len > 0)
		gw->quiet_since = now;
	if (gw->closing && (gw->reqs->len == 0 || now >= gw->stop_at))
		uv_stop(&gw->loop);
	else if (now - gw->quiet_since >= STOP_QUIET_MS || now >= gw->stop_at)
		close_idle(gw);
}

/* ---- Clock ---- */

static void check_pause(struct fg_gateway *gw, fg_ms now)
{
	char ms[24];

	if (now - gw->ticked < PAUSE_MS)
		return;
	g_snprintf(ms, sizeof(ms), "%lld", (long long)(now - gw->ticked));
	fg_log(FG_LOG_WARN, "gateway", "paused", "ms", ms, NULL);
	/* Another instance may give the orders by now. */
	gw->claims_checked = false;
	fg_relay_distrust(gw, now);
	for (int i = 0; i < FG_FEED_COUNT; i++)
		fg_channel_break(gw->feeds[i].channel);
}

static void on_tick(uv_timer_t *timer)
{
	struct fg_gateway *gw = timer->data;
	fg_ms now = fg_clock_now();

	check_pause(gw, now);
	gw->ticked = now;
	fg_fleet_tick(gw->fleet, now);
	fg_caller_sweep(gw, now);
	fg_orders_check(gw, now);
	fg_sync_tick(gw, now);
	fg_mesh_tick(gw, now);
	if (gw->stopping)
		step_stop(gw, now);
}

static void on_settings_tick(uv_timer_t *timer)
{
	check_settings(timer->data);
}

static void on_signal(uv_signal_t *handle, int signo)
{
	struct fg_gateway *gw = handle->data;

	if (signo == SIGHUP)
		check_settings(gw);
	else
		start_stop(gw);
}

/* ---- Start ---- */

static const char *region_of(void *ctx, const char *dc)
{
	const struct fg_gateway *gw = ctx;

	return fg_gwconf_region(gw->conf, dc);
}

static void on_dropped(void *ctx, struct fg_fleet_ep *ep)
{
	fg_log(FG_LOG_INFO, "endpoint", "gone", "endpoint", ep->facts.id, NULL);
	fg_ep_user_drop(ctx, ep);
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
	rc = fg_mesh_open(gw);
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

static void make_parts(struct fg_gateway *gw)
{
	struct fg_peer_row self = { .incarnation = gw->incarnation };

	g_strlcpy(self.name, gw->conf->name, sizeof(self.name));
	g_strlcpy(self.region, gw->conf->region, sizeof(self.region));
	g_strlcpy(self.dc, gw->conf->dc, sizeof(self.dc));
	gw->balance = balance_defaults;
	fg_loadgate_init(&gw->loadgate, gw->balance.load_ms);
	gw->callers = g_ptr_array_new();
	gw->reqs = g_ptr_array_new();
	gw->versions = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     g_free);
	gw->fleet = fg_fleet_new(region_of, on_dropped, gw);
	gw->claims = fg_claims_new(gw->incarnation);
	gw->peers = fg_peers_new(&self);
	gw->heat = fg_heat_new(HEAT_HALF_LIFE_MS);
	gw->suspects = fg_suspects_new(&suspects_conf);
	gw->budgets = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    (GDestroyNotify)fg_retry_free);
	gw->metrics = fg_metrics_new();
	gw->hist_first =
		fg_metrics_hist(gw->metrics, "fg_gw_first_ms", NULL,
				"time until the first part of an answer");
	gw->hist_whole = fg_metrics_hist(gw->metrics, "fg_gw_whole_ms", NULL,
					 "time until the end of a request");
	gw->hist_load = fg_metrics_hist(gw->metrics, "fg_gw_load_ms", NULL,
					"time of a load from the weight store");
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
	gw->started = fg_clock_now();
	gw->ticked = gw->started;
	if (uv_random(NULL, NULL, &seed, sizeof(seed), 0, NULL) != 0)
		seed = (uint64_t)fg_clock_wall() ^ fg_hash_str(conf->name);
	fg_rand_seed(&gw->rand, seed);
	gw->incarnation = fg_rand_next(&gw->rand) | 1;
	uv_loop_init(&gw->loop);
	uv_timer_init(&gw->loop, &gw->tick);
	gw->tick.data = gw;
	make_parts(gw);
	/* A stop that comes early must not cut off what a socket let in. */
	start_signals(gw);
	if (!open_sockets(gw, error)) {
		fg_gateway_free(gw);
		return NULL;
	}
	return gw;
}

void fg_gateway_run(struct fg_gateway *gw)
{
	uv_timer_t *settings = fg_gw_timer_new(gw, gw);

	check_settings(gw);
	fg_sync_start(gw);
	uv_timer_start(&gw->tick, on_tick, TICK_MS, TICK_MS);
	uv_timer_start(settings, on_settings_tick, SETTINGS_MS, SETTINGS_MS);
	fg_log(FG_LOG_INFO, "gateway", "started", "front", gw->conf->front,
	       NULL);
	uv_run(&gw->loop, UV_RUN_DEFAULT);
	fg_log(FG_LOG_INFO, "gateway", "stopped", NULL);
	fg_gw_timer_free(settings);
}

static void close_left(uv_handle_t *handle, void *ctx)
{
	(void)ctx;
	if (!uv_is_closing(handle))
		uv_close(handle, NULL);
}

/* Stops timers, signals and listeners; closing connections remain. */
static void close_sources(struct fg_gateway *gw)
{
	close_left((uv_handle_t *)&gw->tick, NULL);
	if (gw->mesh.data != NULL)
		close_left((uv_handle_t *)&gw->mesh, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(gw->signals); i++) {
		if (gw->signals[i].data != NULL)
			close_left((uv_handle_t *)&gw->signals[i], NULL);
	}
	close_listeners(gw);
}

void fg_gateway_free(struct fg_gateway *gw)
{
	close_sources(gw);
	while (gw->callers->len > 0) {
		struct fg_caller *c = gw->callers->pdata[gw->callers->len - 1];

		fg_caller_close(c, false);
		fg_caller_sweep(gw, fg_clock_now());
	}
	if (gw->tx != NULL)
		fg_sync_stop(gw);
	fg_fleet_free(gw->fleet);
	uv_run(&gw->loop, UV_RUN_NOWAIT); /* connections closed just now */
	fg_claims_free(gw->claims);
	fg_peers_free(gw->peers);
	fg_heat_free(gw->heat);
	fg_suspects_free(gw->suspects);
	fg_routes_unref(gw->routes);
	g_hash_table_unref(gw->versions);
	g_hash_table_unref(gw->budgets);
	g_ptr_array_unref(gw->callers);
	g_ptr_array_unref(gw->reqs);
	if (gw->crashes != NULL)
		g_array_unref(gw->crashes);
	fg_metrics_free(gw->metrics);
	uv_walk(&gw->loop, close_left, NULL);
	uv_run(&gw->loop, UV_RUN_DEFAULT);
	uv_loop_close(&gw->loop);
	g_free(gw->conf_path);
	g_free(gw->conf_text);
	fg_gwconf_free(gw->conf);
	g_free(gw);
}
