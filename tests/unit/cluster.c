/* Simulation of several instances in virtual time. */
#include "cluster.h"

#include <string.h>

#include "owner/fg_owner_internal.h"

#define TICK_MS 100
#define OP_TIMEOUT_MS 1000   /* of an operation on the table */
#define CLOCK_DRIFT_MAX 0.01 /* largest relative error of a clock rate */

enum event_type {
	EV_TICK = 1,
	EV_OP = 2,     /* an operation reaches the table */
	EV_RESULT = 3, /* its result reaches the instance */
	EV_MSG = 4,
	EV_LIST = 5,
};

struct event {
	fg_ms at;
	uint64_t number;
	enum event_type type;
	struct instance *instance; /* target */
	uint64_t instance_id; /* tells whether the array entry was reused */
	struct fg_table_op *op;
	struct fg_table_result *res;
	fg_msg *msg;
	uint64_t from;
	struct instance *from_instance;
	int from_partition;
};

/* ---- Events ---- */

static gint compare_events(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct event *x = a, *y = b;

	(void)data;
	if (x->at != y->at)
		return x->at < y->at ? -1 : 1;
	return (x->number > y->number) - (x->number < y->number);
}

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return strcmp(a, b);
}

static struct event *schedule_event(struct cluster *c, fg_ms at,
				    enum event_type type, struct instance *n)
{
	struct event *ev = g_new0(struct event, 1);

	ev->at = at;
	ev->number = c->next_event++;
	ev->type = type;
	ev->instance = n;
	ev->instance_id = n->self.id;
	g_tree_insert(c->events, ev, ev);
	return ev;
}

static void event_free(struct event *ev)
{
	fg_table_op_free(ev->op);
	fg_table_result_free(ev->res);
	fg_msg_free(ev->msg);
	g_free(ev);
}

static bool chance(struct cluster *c, double share)
{
	return fg_rand_unit(&c->rand) < share;
}

static fg_ms latency(struct cluster *c)
{
	if (chance(c, c->slow_share))
		return 20 + (fg_ms)fg_rand_below(&c->rand, 1500);
	return 1 + (fg_ms)fg_rand_below(&c->rand, 20);
}

fg_ms instance_clock(const struct cluster *c, const struct instance *n)
{
	return n->clock_offset + (fg_ms)((double)c->now * n->clock_rate);
}

/* ---- Table ---- */

static void schedule_result(struct cluster *c, struct instance *n,
			    uint64_t instance_id, struct fg_table_result *res,
			    fg_ms after)
{
	struct event *ev = schedule_event(c, c->now + after, EV_RESULT, n);

	ev->instance_id = instance_id;
	ev->res = res;
}

static struct fg_table_result *new_failed_result(const struct fg_table_op *op,
						 enum fg_pf_result result)
{
	return fg_table_result_new(op->id, op->kind, result);
}

static void deliver_op(struct cluster *c, const struct event *ev)
{
	struct instance *n = ev->instance;
	bool reachable = c->now >= c->outage_until && !n->platform_cut;
	struct fg_table_result *res;

	if (!reachable) {
		schedule_result(c, n, ev->instance_id,
				new_failed_result(ev->op, chance(c, 0.5)
								  ? FG_PF_DOWN
								  : FG_PF_LOST),
				latency(c));
		return;
	}
	res = cluster_run_table_op(c, ev->op);
	if (chance(c, c->lost_answer_share)) {
		fg_table_result_free(res);
		schedule_result(c, n, ev->instance_id,
				new_failed_result(ev->op, FG_PF_LOST),
				OP_TIMEOUT_MS);
		return;
	}
	schedule_result(c, n, ev->instance_id, res, latency(c));
}

/* ---- Instances ---- */

static struct instance *find_live_instance(struct cluster *c, uint64_t id)
{
	for (int i = 0; i < c->n_instances; i++)
		if (c->instances[i].alive && c->instances[i].self.id == id)
			return &c->instances[i];
	return NULL;
}

struct emit_ctx {
	struct cluster *c;
	struct instance *n;
};

static void submit_op(struct cluster *c, struct instance *n,
		      struct fg_table_op *op)
{
	struct event *ev = schedule_event(c, c->now + latency(c), EV_OP, n);

	ev->op = op;
}

static void send_msg(struct cluster *c, struct instance *n, uint64_t to,
		     fg_msg *msg)
{
	struct instance *dest = find_live_instance(c, to);
	struct event *ev;

	n->sent_msgs++;
	if (dest == NULL || chance(c, c->lost_msg_share)) {
		fg_msg_free(msg);
		return;
	}
	ev = schedule_event(c, c->now + latency(c), EV_MSG, dest);
	ev->msg = msg;
	ev->from = n->self.id;
	ev->from_instance = n;
	ev->from_partition = n->partition;
}

static void on_member_act(void *arg, struct fg_member_act *act)
{
	struct emit_ctx *ctx = arg;

	switch (act->type) {
	case FG_MA_TABLE:
		submit_op(ctx->c, ctx->n, act->op);
		break;
	case FG_MA_SEND:
		send_msg(ctx->c, ctx->n, act->to, act->msg);
		break;
	case FG_MA_LIST:
		schedule_event(ctx->c, ctx->c->now + latency(ctx->c), EV_LIST,
			       ctx->n);
		break;
	case FG_MA_STANDING:
		ctx->n->standing = act->standing;
		break;
	default:
		break;
	}
}

static int find_key_index(const struct cluster *c, uint64_t key)
{
	for (int i = 0; i < c->n_keys; i++)
		if (c->keys[i] == key)
			return i;
	g_assert_not_reached();
}

/* An order may only be sent once its intent is in the owner row, where every
 * later owner finds it. */
static void check_intent_stored(struct cluster *c,
				const struct fg_owner_act *act)
{
	g_autofree char *key = g_strdup_printf("owner/%016" PRIx64, act->key);
	struct fg_row *row = g_tree_lookup(c->table, key);
	struct fg_owner_row parsed;
	bool found = false;

	g_assert_nonnull(row);
	g_assert_true(fg_owner_row_decode(row->value, &parsed));
	for (size_t i = 0; i < parsed.n_intents; i++)
		found |= parsed.intents[i].id == act->intent_id;
	g_assert_true(found);
}

static void on_owner_act(void *arg, struct fg_owner_act *act)
{
	struct emit_ctx *ctx = arg;
	int k;

	switch (act->type) {
	case FG_OA_TABLE:
		submit_op(ctx->c, ctx->n, act->op);
		break;
	case FG_OA_GAINED:
		k = find_key_index(ctx->c, act->key);
		ctx->n->gained++;
		g_assert_cmpuint(act->fence, >, ctx->c->last_fence[k]);
		ctx->c->last_fence[k] = act->fence;
		break;
	case FG_OA_LOST:
		ctx->n->lost++;
		break;
	case FG_OA_INTENT_OK:
		check_intent_stored(ctx->c, act);
		ctx->n->intents_ok++;
		break;
	case FG_OA_INTENT_FAILED:
		ctx->n->intents_failed++;
		break;
	case FG_OA_RELEASED:
		ctx->n->released++;
		break;
	case FG_OA_CHANGED:
		break;
	}
}

static void run_tick(struct cluster *c, struct instance *n)
{
	struct emit_ctx ctx = { .c = c, .n = n };
	fg_ms now = instance_clock(c, n);

	fg_member_tick(n->member, now, on_member_act, &ctx);
	fg_owner_tick(n->owner, now, on_owner_act, &ctx);
	schedule_event(c, c->now + TICK_MS, EV_TICK, n);
}

static void deliver_list(struct cluster *c, struct instance *n)
{
	struct emit_ctx ctx = { .c = c, .n = n };
	struct fg_list_entry listed[INSTANCES_MAX];
	size_t count = 0;
	bool down = c->now < c->outage_until || n->platform_cut;

	for (int i = 0; i < c->n_instances && !down; i++)
		if (c->instances[i].alive)
			listed[count++] = c->instances[i].self;
	fg_member_on_list(n->member, instance_clock(c, n),
			  down ? FG_PF_DOWN : FG_PF_OK, listed, count,
			  on_member_act, &ctx);
}

static void deliver_event(struct cluster *c, struct event *ev)
{
	struct emit_ctx ctx = { .c = c, .n = ev->instance };
	fg_ms now = instance_clock(c, ev->instance);

	switch (ev->type) {
	case EV_TICK:
		run_tick(c, ev->instance);
		break;
	case EV_RESULT:
		if (!fg_member_on_table(ev->instance->member, now, ev->res,
					on_member_act, &ctx))
			fg_owner_on_table(ev->instance->owner, now, ev->res,
					  on_owner_act, &ctx);
		break;
	case EV_MSG:
		if (ev->from_partition == ev->instance->partition &&
		    !c->link_cut[ev->from_instance->index][ev->instance->index])
			fg_member_on_msg(ev->instance->member, now, ev->from,
					 ev->msg, on_member_act, &ctx);
		break;
	case EV_LIST:
		deliver_list(c, ev->instance);
		break;
	case EV_OP:
		break;
	}
}

struct instance *cluster_join(struct cluster *c, const char *region)
{
	struct instance *n = NULL;
	struct fg_member_conf mc = c->conf;
	struct fg_owner_conf oc = { .scan_ms = 2000, .retry_ms = 300 };

	for (int i = 0; i < INSTANCES_MAX && n == NULL; i++)
		if (!c->instances[i].alive)
			n = &c->instances[i];
	if (n == NULL)
		return NULL;
	c->n_instances = MAX(c->n_instances, (int)(n - c->instances) + 1);
	memset(n, 0, sizeof(*n));
	n->index = (int)(n - c->instances);
	n->alive = true;
	g_snprintf(n->self.name, sizeof(n->self.name), "entry-%d",
		   c->names_given++);
	n->self.id = fg_hash_str(n->self.name);
	n->self.kind = FG_LIST_ENTRY_INSTANCE;
	g_strlcpy(n->self.region, region, sizeof(n->self.region));
	g_strlcpy(n->self.dc, "dc-1", sizeof(n->self.dc));
	g_snprintf(n->self.rpc, sizeof(n->self.rpc), "10.0.0.1:%d",
		   chance(c, c->new_address_share)
			   ? INSTANCES_MAX + c->names_given
			   : n->index);
	n->clock_offset = (fg_ms)fg_rand_below(&c->rand, 100000000);
	n->clock_rate = 1 + CLOCK_DRIFT_MAX * (2 * fg_rand_unit(&c->rand) - 1);
	mc.self = n->self;
	mc.boot = fg_rand_next(&c->rand);
	oc.self = n->self.id;
	n->member = fg_member_new(&mc, fg_rand_next(&c->rand));
	n->owner = fg_owner_new(&oc, n->member, fg_rand_next(&c->rand));
	for (int i = 0; i < c->n_keys; i++)
		fg_owner_set_key(n->owner, c->keys[i], c->key_region[i], "dc-1",
				 false);
	schedule_event(c, c->now + (fg_ms)fg_rand_below(&c->rand, TICK_MS),
		       EV_TICK, n);
	return n;
}

void cluster_kill(struct cluster *c, struct instance *n)
{
	(void)c;
	n->alive = false;
	fg_owner_free(n->owner);
	fg_member_free(n->member);
	n->owner = NULL;
	n->member = NULL;
}

void cluster_leave(struct cluster *c, struct instance *n)
{
	struct emit_ctx ctx = { .c = c, .n = n };

	fg_member_leave(n->member, instance_clock(c, n), on_member_act, &ctx);
	fg_owner_release_all(n->owner, instance_clock(c, n), on_owner_act,
			     &ctx);
}

void cluster_release_lease(struct cluster *c, struct instance *n)
{
	struct emit_ctx ctx = { .c = c, .n = n };

	fg_member_release_lease(n->member, instance_clock(c, n), on_member_act,
				&ctx);
}

void cluster_store_intent(struct cluster *c, struct instance *n, int k,
			  uint64_t id)
{
	struct emit_ctx ctx = { .c = c, .n = n };
	struct fg_intent in = { .id = id, .slot = 1, .av = { 7, 1 } };

	in.life_ms = 1000;
	fg_owner_store_intent(n->owner, instance_clock(c, n), c->keys[k], &in,
			      on_owner_act, &ctx);
}

/* ---- Cluster ---- */

struct cluster *cluster_new(uint64_t seed, int n_keys, int n_regions)
{
	static const char *const regions[] = { "coast", "highlands", "south" };
	struct cluster *c = g_new0(struct cluster, 1);

	fg_rand_seed(&c->rand, seed);
	c->now = 1;
	c->events = g_tree_new_full(compare_events, NULL, NULL, NULL);
	c->table = g_tree_new_full(compare_keys, NULL, NULL, cluster_row_free);
	c->n_keys = n_keys;
	for (int i = 0; i < n_keys; i++) {
		c->keys[i] = fg_hash_mix(77, (uint64_t)i);
		c->key_region[i] = regions[i % n_regions];
	}
	fg_member_conf_defaults(&c->conf);
	c->conf.renew_ms = 700;
	c->conf.lease_ms = 3000;
	c->conf.scan_ms = 1000;
	c->conf.list_ms = 1500;
	c->conf.ping_ms = 300;
	c->conf.suspect_ms = 800;
	c->conf.confirm_ms = 1500;
	c->conf.ping_fanout = 3;
	c->conf.pause_ms = 400;
	c->abort_on_overlap = true;
	return c;
}

static gboolean free_tree_event(gpointer key, gpointer value, gpointer data)
{
	(void)key;
	(void)data;
	event_free(value);
	return FALSE;
}

void cluster_free(struct cluster *c)
{
	for (int i = 0; i < c->n_instances; i++)
		if (c->instances[i].alive)
			cluster_kill(c, &c->instances[i]);
	g_tree_foreach(c->events, free_tree_event, NULL);
	g_tree_destroy(c->events);
	g_tree_destroy(c->table);
	g_free(c);
}

struct instance *cluster_acting_owner(struct cluster *c, int k)
{
	struct instance *actor = NULL;

	for (int i = 0; i < c->n_instances; i++) {
		struct instance *n = &c->instances[i];

		if (!n->alive || !fg_owner_may_act(n->owner, c->keys[k],
						   instance_clock(c, n)))
			continue;
		if (actor != NULL)
			c->overlaps++;
		g_assert(actor == NULL || !c->abort_on_overlap);
		actor = n;
	}
	return actor;
}

int cluster_count_live(struct cluster *c, const char *region)
{
	int live = 0;

	for (int i = 0; i < c->n_instances; i++)
		if (c->instances[i].alive &&
		    strcmp(c->instances[i].self.region, region) == 0)
			live++;
	return live;
}

bool cluster_all_keys_owned(struct cluster *c)
{
	for (int k = 0; k < c->n_keys; k++)
		if (cluster_acting_owner(c, k) == NULL)
			return false;
	return true;
}

static void run_event(struct cluster *c, struct event *ev)
{
	struct instance *n = ev->instance;
	bool gone = !n->alive || n->self.id != ev->instance_id;

	if (ev->type == EV_OP) {
		deliver_op(c, ev);
	} else if (!gone && n->paused_until > c->now) {
		/* Postponed, in order, until the pause ends. */
		g_tree_remove(c->events, ev);
		ev->at = n->paused_until;
		g_tree_insert(c->events, ev, ev);
		return;
	} else if (!gone) {
		deliver_event(c, ev);
	}
	g_tree_remove(c->events, ev);
	event_free(ev);
}

void cluster_run_until(struct cluster *c, fg_ms until)
{
	fg_ms checked_at = 0;

	for (;;) {
		GTreeNode *first = g_tree_node_first(c->events);
		struct event *ev;

		if (first == NULL)
			break;
		ev = g_tree_node_value(first);
		if (ev->at > until)
			break;
		c->now = MAX(c->now, ev->at);
		run_event(c, ev);
		if (c->now - checked_at >= 5) {
			checked_at = c->now;
			cluster_all_keys_owned(c);
		}
	}
	c->now = until;
}

void cluster_clear_faults(struct cluster *c)
{
	c->outage_until = 0;
	c->lost_answer_share = 0;
	c->slow_share = 0;
	c->lost_msg_share = 0;
	memset(c->link_cut, 0, sizeof(c->link_cut));
	for (int i = 0; i < c->n_instances; i++) {
		c->instances[i].paused_until = 0;
		c->instances[i].platform_cut = false;
		c->instances[i].partition = 0;
	}
}
