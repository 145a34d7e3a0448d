/* Start, ticks and end of the runtime. */
#include <stdlib.h>
#include <string.h>

#include "base/fg_rand.h"
#include "http/fg_http.h"
#include "log/fg_log.h"
#include "run/fg_run_internal.h"

#define STACK_BYTES (256 * 1024)
#define ORDER_THREADS_MAX 32
#define TEST_HOOKS_ON "1"

G_DEFINE_QUARK(fg_run_error_quark, fg_run_error)

void fg_run_lock(struct fg_run *run)
{
	pthread_mutex_lock(&run->node_lock);
}

void fg_run_unlock(struct fg_run *run)
{
	pthread_mutex_unlock(&run->node_lock);
}

/* ---- Open exchanges ---- */

void fg_run_add_exchange(struct fg_run *run, struct fg_exchange *x)
{
	pthread_mutex_lock(&run->exchanges_lock);
	g_hash_table_insert(run->exchanges, &x->id, fg_exchange_ref(x));
	pthread_mutex_unlock(&run->exchanges_lock);
}

struct fg_exchange *fg_run_find_exchange(struct fg_run *run, uint64_t id)
{
	struct fg_exchange *x;

	pthread_mutex_lock(&run->exchanges_lock);
	x = g_hash_table_lookup(run->exchanges, &id);
	if (x != NULL)
		fg_exchange_ref(x);
	pthread_mutex_unlock(&run->exchanges_lock);
	return x;
}

void fg_run_remove_exchange(struct fg_run *run, uint64_t id)
{
	pthread_mutex_lock(&run->exchanges_lock);
	g_hash_table_remove(run->exchanges, &id);
	pthread_mutex_unlock(&run->exchanges_lock);
}

/* ---- The node's configuration, from the settings ---- */

static void fill_self(struct fg_list_entry *self, const struct fg_settings *s)
{
	self->kind = FG_LIST_ENTRY_INSTANCE;
	g_strlcpy(self->name, s->name, sizeof(self->name));
	g_strlcpy(self->addr, s->http, sizeof(self->addr));
	g_strlcpy(self->rpc, s->rpc, sizeof(self->rpc));
	g_strlcpy(self->region, s->region, sizeof(self->region));
	g_strlcpy(self->dc, s->dc, sizeof(self->dc));
	self->id = fg_hash_str(self->name);
}

static void fill_member(struct fg_member_conf *m, const struct fg_settings *s)
{
	m->renew_ms = s->timing.renew_ms;
	m->lease_ms = s->timing.lease_ms;
	m->scan_ms = s->timing.scan_ms;
	m->list_ms = s->timing.list_ms;
	m->ping_ms = s->timing.ping_ms;
	m->suspect_ms = s->timing.suspect_ms;
	m->confirm_ms = s->timing.confirm_ms;
	m->ping_fanout = s->limits.ping_fanout;
}

static void fill_switches(struct fg_node_switches *out,
			  const struct fg_switches_settings *in)
{
	out->no_ledger = in->no_ledger_insert;
	out->no_pins = in->no_pin;
	out->no_leaving = in->no_leaving;
	out->no_drain = in->no_drain;
	out->no_answer_check = in->no_answer_check;
	out->no_config_push = in->no_push;
	out->blind_retry = in->no_retry_budget;
	out->no_intent = in->no_intent;
	out->no_suspects = in->no_suspects;
	out->no_isolation = in->no_isolation;
	out->no_fence = in->no_fence;
	out->unknown_as_not_run = in->no_run_memory;
}

static void fill_conf(struct fg_node_conf *conf, const struct fg_run *run,
		      uint64_t boot)
{
	const struct fg_settings *s = run->settings;

	fg_node_conf_defaults(conf);
	conf->member.self = run->self;
	conf->member.boot = boot;
	fill_member(&conf->member, s);
	conf->config_poll_ms = s->timing.poll_ms;
	conf->engine_poll_ms = s->timing.engine_poll_ms;
	conf->order_timeout_ms = s->timing.order_timeout_ms;
	conf->address_ttl_ms = s->timing.address_ttl_ms;
	conf->requests_max = s->limits.requests_max;
	conf->callers_max = s->limits.callers_max;
	conf->caller_rate_per_s = s->limits.caller_rate_per_s;
	conf->grant_queue_max = s->limits.grant_queue_max;
	conf->snapshot_every = s->limits.config_snapshot_every;
	conf->group_ms = s->timing.group_ms;
	conf->drain_max_ms = s->timing.stop_max_ms;
	fill_switches(&conf->switches, &s->switches);
}

/* ---- Lifetime ---- */

static void on_msg(void *arg, uint64_t from, const fg_msg *msg)
{
	struct fg_run *run = arg;

	fg_run_lock(run);
	fg_node_on_msg(run->node, fg_clock_now(), from, msg);
	fg_run_unlock(run);
}

static bool start_peer(struct fg_run *run, GError **error)
{
	struct fg_peer_conf conf = {
		.listen = run->settings->rpc,
		.self = run->self.id,
		.timeout_ms = run->settings->timing.peer_timeout_ms,
		.queue_max = run->settings->limits.peer_queue_max,
	};
	GError *cause = NULL;

	run->peer = fg_peer_start(&conf, on_msg, run, &cause);
	if (run->peer != NULL)
		return true;
	g_set_error(error, FG_RUN_ERROR, FG_RUN_ERR_LISTEN,
		    "cannot start the peer server at %s: %s",
		    run->settings->rpc, cause->message);
	g_error_free(cause);
	return false;
}

static bool open_history(struct fg_run *run, GError **error)
{
	GError *cause = NULL;

	if (run->settings->history == NULL)
		return true;
	run->history = fg_history_open(run->settings->history,
				       run->settings->name, &cause);
	if (run->history != NULL)
		return true;
	g_set_error(error, FG_RUN_ERROR, FG_RUN_ERR_HISTORY,
		    "cannot start without the history: %s", cause->message);
	g_error_free(cause);
	return false;
}

static void free_exchange(void *x)
{
	fg_exchange_unref(x);
}

static uint64_t make_boot_nonce(const struct fg_run *run)
{
	uint64_t pid = (uint64_t)getpid();

	return fg_hash_mix(run->self.id,
			   fg_hash_mix((uint64_t)fg_clock_wall(), pid)) >>
	       1;
}

static struct fg_run *create_run(const struct fg_settings *s)
{
	struct fg_run *run = g_new0(struct fg_run, 1);
	struct fg_node_conf conf = { 0 };
	struct fg_node_io io;
	uint64_t boot;

	run->settings = s;
	fill_self(&run->self, s);
	boot = make_boot_nonce(run);
	pthread_mutex_init(&run->node_lock, NULL);
	pthread_mutex_init(&run->exchanges_lock, NULL);
	run->exchanges = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, free_exchange);
	fg_web_memory_init(run);
	fg_web_conns_init(run);
	run->endpoints = &fg_endpoint_http_ops;
	fg_run_create_metrics(run);
	run->platform = fg_platform_http_new(s->platform, s->name,
					     s->timing.platform_timeout_ms);
	run->platform_pool =
		fg_pool_new(s->limits.table_in_flight_max, STACK_BYTES);
	run->engine_pool = fg_pool_new(ORDER_THREADS_MAX, STACK_BYTES);
	run->run_pool = fg_pool_new(s->limits.requests_max, STACK_BYTES);
	run->test_hooks = g_strcmp0(g_getenv(FG_TEST_ENV), TEST_HOOKS_ON) == 0;
	fg_run_fill_node_io(run, &io);
	fill_conf(&conf, run, boot);
	run->node = fg_node_new(&conf, &io, boot);
	fg_node_set_wall_offset(run->node, fg_clock_wall() - fg_clock_now());
	return run;
}

struct fg_run *fg_run_start(const struct fg_settings *settings, GError **error)
{
	struct fg_run *run;

	fg_http_init();
	run = create_run(settings);
	if (open_history(run, error) && start_peer(run, error) &&
	    fg_web_start(run, error))
		return run;
	fg_run_free(run);
	return NULL;
}

void fg_run_tick(struct fg_run *run)
{
	fg_run_lock(run);
	fg_node_tick(run->node, fg_clock_now());
	fg_run_unlock(run);
	fg_web_tick(run, fg_clock_now());
}

void fg_run_stop(struct fg_run *run)
{
	fg_run_lock(run);
	run->stop_begun_at = fg_clock_now();
	fg_node_stop(run->node, run->stop_begun_at);
	fg_run_unlock(run);
}

/* True when all answers are sent. A caller with a slow connection may still be
 * reading an answer after the node has stopped. */
static bool is_web_drained(const struct fg_run *run)
{
	const struct fg_settings *s = run->settings;

	if (s->switches.no_drain ||
	    fg_clock_now() - run->stop_begun_at >= s->timing.stop_max_ms)
		return true;
	return __atomic_load_n(&run->http_in_flight, __ATOMIC_ACQUIRE) == 0;
}

bool fg_run_is_stopped(struct fg_run *run)
{
	bool stopped;

	fg_run_lock(run);
	stopped = fg_node_is_stopped(run->node, fg_clock_now());
	fg_run_unlock(run);
	if (!stopped)
		return false;
	if (!run->quiesced)
		fg_web_quiesce(run);
	run->quiesced = true;
	return is_web_drained(run);
}

/* The pools end before the node is freed, since their jobs report to it. They
 * are freed when no peer can send the node a message any more, which may queue
 * a job. */
void fg_run_free(struct fg_run *run)
{
	uint32_t in_progress;

	if (run == NULL)
		return;
	in_progress = __atomic_load_n(&run->http_in_flight, __ATOMIC_ACQUIRE);
	fg_web_stop(run);
	fg_pool_stop(run->run_pool);
	fg_pool_stop(run->engine_pool);
	fg_pool_stop(run->platform_pool);
	if (run->peer != NULL)
		fg_peer_stop(run->peer);
	fg_pool_free(run->run_pool);
	fg_pool_free(run->engine_pool);
	fg_pool_free(run->platform_pool);
	fg_history_add(run->history, "stop_end",
		       json_pack("{s:i}", "in_progress", (int)in_progress));
	fg_node_free(run->node);
	fg_metrics_free(run->metrics);
	run->platform->ops->free(run->platform);
	g_hash_table_destroy(run->exchanges);
	fg_history_close(run->history);
	fg_web_conns_clear(run);
	fg_web_memory_clear(run);
	pthread_mutex_destroy(&run->node_lock);
	pthread_mutex_destroy(&run->exchanges_lock);
	g_free(run);
}
