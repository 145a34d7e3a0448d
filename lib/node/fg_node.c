/* Lifetime and ticks of a node, and events that concern several submodules. */
#include "node/fg_node_internal.h"

#include <string.h>

#define ANNOUNCE_INTERVAL_MS 1000
/* In each region, one part of the ledger is swept at this interval. */
#define SWEEP_INTERVAL_MS 5000
#define PEERS_MAX 1024

void fg_node_conf_defaults(struct fg_node_conf *conf)
{
	fg_member_conf_defaults(&conf->member);
	conf->config_poll_ms = 2000;
	conf->engine_poll_ms = 2000;
	conf->resident_repeat_ms = 10000;
	conf->popularity_ms = 1000;
	conf->grant_repeat_ms = 400;
	conf->need_repeat_ms = 1000;
	conf->order_timeout_ms = 5000;
	conf->address_ttl_ms = 5000;
	conf->requests_max = 4096;
	conf->callers_max = 4096;
	conf->grant_queue_max = 1024;
	conf->group_ms = 5;
	conf->snapshot_every = 256;
	conf->drain_max_ms = 120000;
	g_strlcpy(conf->place_policy, "gauge", sizeof(conf->place_policy));
}

static void create_submodules(struct fg_node *n, uint64_t seed)
{
	struct fg_confsync_conf sync = {
		.poll_ms = n->conf.config_poll_ms,
		.confirm_ms = n->conf.member.confirm_ms,
		.snapshot_every = n->conf.snapshot_every,
	};
	struct fg_owner_conf owner = {
		.self = n->self,
		.scan_ms = n->conf.member.scan_ms,
		.retry_ms = 500,
	};
	struct fg_ledger_conf ledger = {
		.self = n->self,
		.group_ms = n->conf.group_ms,
		.start_timeout_ms = 5000,
		.record_retry_ms = 500,
		.retention_s = 7 * 24 * 3600,
	};
	struct fg_retry_conf retry = {
		.percent = 10,
		.min_per_10s = 20,
		.attempts_max = 4,
		.backoff_ms = 50,
	};
	struct fg_suspects_conf suspects = {
		.retention_ms = 600000,
		.refuse_crashes = 2,
		.faulty_ep_window_ms = 60000,
		.faulty_ep_deaths = 4,
		.entries_max = 4096,
	};

	n->config = fg_config_new();
	n->confsync = fg_confsync_new(n->config, &sync, n->self, seed + 1);
	n->member = fg_member_new(&n->conf.member, seed + 2);
	n->owner = fg_owner_new(&owner, n->member, seed + 3);
	n->ledger = fg_ledger_new(&ledger, seed + 4);
	n->limits = fg_limits_new(n->conf.callers_max);
	n->estimate = fg_estimate_new();
	n->retry = fg_retry_new(&retry, seed + 5);
	n->suspects = fg_suspects_new(&suspects);
	n->dir = fg_dir_new(seed + 6);
}

static const char *find_instance_name(void *arg, uint64_t inst)
{
	struct fg_node *n = arg;
	const struct fg_peer_view *peer = fg_member_find(n->member, inst);

	return peer != NULL ? peer->info.name : NULL;
}

static bool is_instance_dead(void *arg, uint64_t inst)
{
	struct fg_node *n = arg;
	const struct fg_peer_view *peer = fg_member_find(n->member, inst);

	return peer == NULL || peer->state == FG_PEER_DEAD;
}

struct fg_node *fg_node_new(const struct fg_node_conf *conf,
			    const struct fg_node_io *io, uint64_t seed)
{
	struct fg_node *n = g_new0(struct fg_node, 1);

	n->conf = *conf;
	n->io = *io;
	n->self = conf->member.self.id;
	fg_rand_seed(&n->rand, seed);
	create_submodules(n, seed);
	fg_ledger_set_is_dead(n->ledger, is_instance_dead, n);
	fg_confsync_set_name_fn(n->confsync, find_instance_name, n);
	n->eps = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
				       fg_ep_free);
	n->reqs = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					fg_req_free);
	n->waiters = g_hash_table_new_full(fg_key_hash, g_int64_equal, NULL,
					   fg_waiters_free);
	n->models = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					  fg_model_free);
	n->ops = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
				       g_free);
	n->ready_filings = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	n->next_order_seq = 1;
	return n;
}

void fg_node_free(struct fg_node *n)
{
	if (n == NULL)
		return;
	g_array_free(n->ready_filings, TRUE);
	g_queue_clear_full(&n->loopback, (GDestroyNotify)fg_msg_free);
	g_hash_table_destroy(n->waiters);
	g_hash_table_destroy(n->reqs);
	g_hash_table_destroy(n->eps);
	g_hash_table_destroy(n->models);
	g_hash_table_destroy(n->ops);
	fg_dir_free(n->dir);
	fg_suspects_free(n->suspects);
	fg_retry_free(n->retry);
	fg_estimate_free(n->estimate);
	fg_limits_free(n->limits);
	fg_ledger_free(n->ledger);
	fg_owner_free(n->owner);
	fg_member_free(n->member);
	fg_confsync_free(n->confsync);
	fg_config_free(n->config);
	g_free(n);
}

/* ---- Counters, events and messages ---- */

void fg_node_add_counter(struct fg_node *n, enum fg_node_counter c, uint64_t by)
{
	n->counters[c] += by;
}

uint64_t fg_node_counter(const struct fg_node *n, enum fg_node_counter c)
{
	return n->counters[c];
}

static const char *const counter_names[FG_NC_COUNT] = {
	[FG_NC_REQUESTS] = "requests",
	[FG_NC_DONE] = "done",
	[FG_NC_FAILED] = "failed",
	[FG_NC_NOT_RUN] = "not_run",
	[FG_NC_UNKNOWN] = "unknown",
	[FG_NC_RETRIES] = "retries",
	[FG_NC_GRANTS_LOCAL] = "grants_local",
	[FG_NC_GRANTS_REMOTE] = "grants_remote",
	[FG_NC_GRANTS_GIVEN] = "grants_given",
	[FG_NC_NEEDS] = "needs",
	[FG_NC_LOADS] = "loads",
	[FG_NC_LOADS_FAILED] = "loads_failed",
	[FG_NC_STALLED] = "stalled",
	[FG_NC_STALL_MS] = "stall_ms",
	[FG_NC_MSGS_OUT] = "msgs_out",
	[FG_NC_MSG_BYTES_OUT] = "msg_bytes_out",
};

const char *fg_node_counter_name(enum fg_node_counter c)
{
	return counter_names[c];
}

void fg_node_emit_event(struct fg_node *n, const char *name, json_t *fields)
{
	n->io.record_event(n->io.arg, name, fields);
}

void fg_node_send(struct fg_node *n, uint64_t to, const fg_msg *msg)
{
	const struct fg_peer_view *peer;

	if (to == n->self) {
		g_queue_push_tail(&n->loopback, fg_msg_dup(msg));
		return;
	}
	peer = fg_member_find(n->member, to);
	if (peer == NULL || peer->info.rpc[0] == '\0')
		return;
	fg_node_add_counter(n, FG_NC_MSGS_OUT, 1);
	fg_node_add_counter(n, FG_NC_MSG_BYTES_OUT, fg_msg_wire_bytes(msg));
	n->io.send_msg(n->io.arg, &peer->info, msg);
}

void fg_node_send_and_free(struct fg_node *n, uint64_t to, fg_msg *msg)
{
	fg_node_send(n, to, msg);
	fg_msg_free(msg);
}

/* Removes this instance from ids and returns the number that remain. */
static size_t remove_self(const struct fg_node *n, uint64_t *ids, size_t total)
{
	size_t kept = 0;

	for (size_t i = 0; i < total; i++)
		if (ids[i] != n->self)
			ids[kept++] = ids[i];
	return kept;
}

size_t fg_node_live_peers(struct fg_node *n, uint64_t *ids, size_t max)
{
	const char *region = n->conf.member.self.region;
	size_t total = fg_member_list_live(n->member, region, ids, max);

	return remove_self(n, ids, MIN(total, max));
}

size_t fg_node_present_peers(struct fg_node *n, uint64_t *ids, size_t max)
{
	const char *region = n->conf.member.self.region;
	size_t total = fg_member_list_present(n->member, region, ids, max);

	return remove_self(n, ids, MIN(total, max));
}

void fg_node_broadcast(struct fg_node *n, const fg_msg *msg)
{
	uint64_t ids[PEERS_MAX];
	size_t total = fg_node_present_peers(n, ids, PEERS_MAX);

	for (size_t i = 0; i < total; i++)
		fg_node_send(n, ids[i], msg);
}

static bool is_standing_good(const struct fg_node *n)
{
	return fg_may_act(fg_member_standing(n->member, n->now));
}

/*
 * A change is answered "accepted" once all live instances have the revision.
 * An instance that was not live then may have missed both the revision and
 * endpoints that left. After its standing turns good, it therefore takes no
 * work until its revision is confirmed and the platform's list is read again.
 * In an outage the list cannot be read and is not required.
 */
static void update_standing(struct fg_node *n)
{
	bool outage =
		fg_member_standing(n->member, n->now) == FG_STANDING_OUTAGE;
	uint32_t age_ms;

	if (!is_standing_good(n)) {
		n->joined_at = 0;
		n->in_force = false;
		return;
	}
	if (n->joined_at == 0)
		n->joined_at = n->now;
	if (n->list_read_at < n->joined_at)
		fg_node_request_list(n);
	age_ms = fg_confsync_confirm_age(n->confsync, n->now);
	if (n->in_force || n->now - (fg_ms)age_ms < n->joined_at ||
	    (!outage && n->list_read_at < n->joined_at))
		return;
	n->in_force = true;
	fg_node_emit_revision(n);
}

void fg_node_request_list(struct fg_node *n)
{
	if (n->list_pending)
		return;
	n->list_pending = true;
	n->list_asked_at = n->now;
	n->io.read_list(n->io.arg);
}

bool fg_node_may_serve(struct fg_node *n)
{
	if (n->conf.switches.no_isolation)
		return true;
	return is_standing_good(n) && n->in_force;
}

/* ---- Ticks ---- */

static void update_live_peers(struct fg_node *n)
{
	uint64_t ids[PEERS_MAX];
	size_t total = fg_member_list_live(n->member, NULL, ids, PEERS_MAX);
	size_t kept = remove_self(n, ids, MIN(total, PEERS_MAX));

	fg_confsync_set_live_at(n->confsync, fg_member_scanned_at(n->member),
				ids, kept);
}

static void tick_config(struct fg_node *n)
{
	update_live_peers(n);
	fg_confsync_tick(n->confsync, n->now, fg_node_on_confsync_act, n);
	fg_member_set_revision(n->member, fg_config_revision(n->config),
			       fg_confsync_confirm_age(n->confsync, n->now));
}

static void tick_owned_engines(struct fg_node *n)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, n->eps);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct fg_ep *ep = value;

		if (ep->owned != NULL)
			fg_owned_tick(n, ep->owned);
	}
}

static void tick_announce(struct fg_node *n)
{
	if (n->now < n->next_announce_at)
		return;
	n->next_announce_at = n->now + ANNOUNCE_INTERVAL_MS;
	n->io.announce(n->io.arg, n->stop_begun_at != 0);
}

/* One instance per region deletes ledger rows whose retention has ended. */
static void tick_sweep(struct fg_node *n)
{
	const struct fg_list_entry *self = &n->conf.member.self;
	uint64_t key = fg_hash_str("ledger sweep");

	if (n->now < n->next_sweep_at)
		return;
	n->next_sweep_at = n->now + SWEEP_INTERVAL_MS;
	if (fg_member_standing(n->member, n->now) == FG_STANDING_CONFIRMED &&
	    fg_member_candidate(n->member, key, self->region, "") == n->self)
		fg_ledger_sweep(n->ledger, n->now, fg_node_on_ledger_act, n);
}

static void tick_each_second(struct fg_node *n)
{
	if (n->now < n->next_second_at)
		return;
	n->next_second_at = n->now + FG_MS_PER_S;
	fg_estimate_tick(n->estimate, n->now);
}

void fg_node_tick(struct fg_node *n, fg_ms now)
{
	n->now = now;
	fg_member_tick(n->member, now, fg_node_on_member_act, n);
	tick_announce(n);
	tick_config(n);
	update_standing(n);
	fg_eps_expire(n);
	fg_owner_tick(n->owner, now, fg_node_on_owner_act, n);
	tick_owned_engines(n);
	fg_models_tick(n);
	fg_wait_tick(n);
	fg_reqs_tick(n);
	fg_ledger_tick(n->ledger, now, fg_node_on_ledger_act, n);
	tick_sweep(n);
	tick_each_second(n);
	fg_node_tick_stop(n);
	fg_node_run_deferred(n);
}

/* ---- Events for several submodules ---- */

void fg_node_on_table_done(struct fg_node *n, fg_ms now,
			   const struct fg_table_result *res)
{
	n->now = now;
	fg_node_pass_table_result(n, res);
	fg_node_run_deferred(n);
}

void fg_node_on_list_done(struct fg_node *n, fg_ms now,
			  enum fg_pf_result result,
			  const struct fg_list_entry *list, size_t n_list)
{
	n->now = now;
	n->list_pending = false;
	fg_member_on_list(n->member, now, result, list, n_list,
			  fg_node_on_member_act, n);
	if (result != FG_PF_OK)
		return;
	n->list_read_at = n->list_asked_at;
	for (size_t i = 0; i < n_list; i++)
		if (list[i].kind != FG_LIST_ENTRY_INSTANCE)
			fg_ep_on_list_entry(n, &list[i]);
	fg_node_run_deferred(n);
}

void fg_node_on_change(struct fg_node *n, fg_ms now, uint64_t change_id,
		       const char *change, uint64_t expect_revision,
		       uint32_t wait_ms)
{
	n->now = now;
	update_live_peers(n);
	n->open_changes++;
	fg_confsync_submit_change(n->confsync, now, change_id, change,
				  expect_revision, wait_ms,
				  fg_node_on_confsync_act, n);
	fg_node_run_deferred(n);
}

char *fg_node_catalogue(const struct fg_node *n)
{
	return fg_config_snapshot(n->config);
}

bool fg_node_clear_suspect(struct fg_node *n, uint64_t fingerprint)
{
	fg_msg *msg;
	fg_suspect *ev;

	if (!fg_suspects_clear(n->suspects, fingerprint))
		return false;
	msg = fg_msg_new(FG_MSG_SUSPECT);
	ev = &msg->body.fg_body_u.suspect;
	ev->fingerprint = fingerprint;
	ev->event = FG_SUSPECT_CLEARED;
	ev->req = fg_hash_mix(n->conf.member.boot, ++n->n_cleared);
	fg_node_broadcast(n, msg);
	fg_msg_free(msg);
	return true;
}

void fg_node_set_wall_offset(struct fg_node *n, int64_t wall_minus_now_ms)
{
	fg_ledger_set_wall_offset(n->ledger, wall_minus_now_ms);
}

uint32_t fg_node_address_ttl_ms(const struct fg_node *n)
{
	return n->conf.address_ttl_ms;
}
