#include "confsync_sim.h"

#include <inttypes.h>
#include <string.h>

#include "peer/fg_msg.h"

#define TICK_MS 50
#define PING_MS 400
#define FANOUT 2
#define LIVE_MS 300
#define TIMEOUT_MS 1500 /* a lost answer is reported after it */

enum ev_type {
	EV_TICK,
	EV_PING,
	EV_LIVE,
	EV_EFFECT, /* a call reaches the table */
	EV_RESULT,
	EV_MSG,
	EV_PEER,
};

struct ev {
	fg_ms at;
	uint64_t seq;
	enum ev_type type;
	size_t node;
	uint64_t id; /* of the node; stale events are dropped */
	struct fg_table_op *op;
	struct fg_table_result *res;
	bool lose; /* the answer */
	uint64_t from;
	fg_msg *msg;
	uint64_t revision;
	uint32_t age_ms;
	fg_ms sent;
	fg_ms asked; /* a pong: when its ping was sent */
};

static void run_event(struct sim *m, struct ev *e);

/* ---- Events ---- */

static gint ev_order(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct ev *x = a;
	const struct ev *y = b;

	(void)arg;
	if (x->at != y->at)
		return x->at < y->at ? -1 : 1;
	return x->seq < y->seq ? -1 : 1;
}

static struct ev *ev_new(struct sim *m, enum ev_type type, size_t node,
			 fg_ms delay_ms)
{
	struct ev *e = g_new0(struct ev, 1);

	e->at = m->now + delay_ms;
	e->seq = ++m->seq;
	e->type = type;
	e->node = node;
	e->id = m->node[node].id;
	return e;
}

/* Most events lie near the end, so the search starts there. */
static void ev_add(struct sim *m, struct ev *e)
{
	GList *i = m->events.tail;

	while (i != NULL && ev_order(i->data, e, NULL) > 0)
		i = i->prev;
	g_queue_insert_after(&m->events, i, e);
}

static void ev_free(struct ev *e)
{
	fg_table_op_free(e->op);
	fg_table_result_free(e->res);
	fg_msg_free(e->msg);
	g_free(e);
}

static fg_ms upto(struct sim *m, uint32_t max_ms)
{
	return 1 + (fg_ms)fg_rand_below(&m->r, max_ms);
}

static bool chance(struct sim *m, uint32_t percent)
{
	return fg_rand_below(&m->r, 100) < percent;
}

/* ---- Actions of an instance ---- */

static size_t index_of(const struct sim *m, uint64_t id)
{
	for (size_t i = 0; i < m->n; i++)
		if (m->node[i].id == id)
			return i;
	return m->n;
}

static void send_result(struct sim *m, size_t node, fg_ms delay_ms,
			struct fg_table_result *res)
{
	struct ev *e = ev_new(m, EV_RESULT, node, delay_ms);

	e->res = res;
	ev_add(m, e);
}

static void do_table(struct sim *m, size_t node, struct fg_table_op *op)
{
	struct ev *e;

	if (m->outage || m->node[node].cut_platform) {
		send_result(m, node, upto(m, 20),
			    fg_table_result_new(op->id, op->kind, FG_PF_DOWN));
		fg_table_op_free(op);
		return;
	}
	e = ev_new(m, EV_EFFECT, node, upto(m, m->conf.table_max_ms));
	e->op = op;
	if (chance(m, m->conf.lost_percent)) {
		send_result(m, node, TIMEOUT_MS,
			    fg_table_result_new(op->id, op->kind, FG_PF_LOST));
		e->lose = true;
		/* Some take effect after the caller has given up on them. */
		if (chance(m, 30))
			e->at += TIMEOUT_MS + upto(m, 1000);
		if (chance(m, 30)) {
			ev_free(e);
			return;
		}
	}
	ev_add(m, e);
}

static void do_send(struct sim *m, size_t node, uint64_t to, fg_msg *msg)
{
	size_t target = index_of(m, to);
	struct ev *e;

	m->msgs++;
	if (msg->body.type == FG_MSG_CONFIG_TELL &&
	    msg->body.fg_body_u.config_tell.base == 0)
		m->snapshots++;
	if (target == m->n || m->node[node].cut[target] ||
	    chance(m, m->conf.drop_percent)) {
		fg_msg_free(msg);
		return;
	}
	e = ev_new(m, EV_MSG, target, upto(m, 60));
	e->from = m->node[node].id;
	e->msg = msg;
	ev_add(m, e);
}

static void do_changed(struct sim *m, size_t node, uint64_t revision)
{
	struct sim_node *nd = &m->node[node];
	char *text = fg_config_snapshot(nd->c);
	const char *before;
	guint64 *key;

	g_assert_cmpuint(revision, ==, fg_config_revision(nd->c));
	g_assert_cmpuint(revision, >, nd->revision);
	nd->revision = revision;
	g_assert_nonnull(fg_config_preset(nd->c));
	before = g_hash_table_lookup(m->history, &revision);
	if (before != NULL) {
		g_assert_cmpstr(before, ==, text);
		g_free(text);
		return;
	}
	key = g_new(guint64, 1);
	*key = revision;
	g_hash_table_insert(m->history, key, text);
}

static bool serves(const struct sim *m, const struct sim_node *nd)
{
	uint32_t age_ms;

	if (!nd->up || !nd->registered)
		return false;
	age_ms = fg_confsync_confirm_age(nd->s, m->now);
	return age_ms != UINT32_MAX &&
	       m->now - (fg_ms)age_ms >= nd->registered_at;
}

static void check_accepted(struct sim *m, uint64_t revision)
{
	for (size_t i = 0; i < m->n; i++)
		if (serves(m, &m->node[i]))
			g_assert_cmpuint(fg_config_revision(m->node[i].c), >=,
					 revision);
	g_assert_cmpuint(sim_head(m), >=, revision);
}

static void do_answer(struct sim *m, const struct fg_confsync_act *act)
{
	struct sim_change *ch =
		g_ptr_array_index(m->changes, act->change_id - 1);

	g_assert_false(ch->answered);
	ch->answered = true;
	ch->status = act->status;
	ch->revision = act->revision;
	ch->text = act->text;
	m->statuses[act->status]++;
	if (act->status == FG_CHANGE_ACCEPTED)
		check_accepted(m, act->revision);
}

struct emit_arg {
	struct sim *m;
	size_t node;
};

static void emit(void *arg, struct fg_confsync_act *act)
{
	struct emit_arg *ea = arg;

	switch (act->type) {
	case FG_CS_TABLE:
		do_table(ea->m, ea->node, act->op);
		break;
	case FG_CS_SEND:
		do_send(ea->m, ea->node, act->to, act->msg);
		break;
	case FG_CS_CHANGED:
		do_changed(ea->m, ea->node, act->revision);
		break;
	case FG_CS_ANSWER:
		do_answer(ea->m, act);
		break;
	}
}

/* ---- Running ---- */

static void repeat(struct sim *m, enum ev_type type, size_t node,
		   uint32_t every_ms)
{
	ev_add(m, ev_new(m, type, node, every_ms));
}

/* Tells `to` the revision of `node`; asked is when the ping that this
 * answers was sent, or 0 for a ping. */
static void tell_peer(struct sim *m, size_t node, size_t to, fg_ms asked)
{
	const struct sim_node *nd = &m->node[node];
	struct ev *e;

	if (nd->cut[to] || chance(m, m->conf.drop_percent))
		return;
	e = ev_new(m, EV_PEER, to, upto(m, 60));
	e->from = nd->id;
	e->sent = m->now;
	e->asked = asked;
	e->revision = fg_config_revision(nd->c);
	e->age_ms = fg_confsync_confirm_age(nd->s, m->now);
	ev_add(m, e);
}

static void ping(struct sim *m, size_t node)
{
	for (int i = 0; i < FANOUT && !m->conf.no_pings; i++) {
		size_t to = fg_rand_below(&m->r, m->n);

		if (to != node)
			tell_peer(m, node, to, 0);
	}
}

static void run_peer(struct sim *m, struct ev *e, struct emit_arg *ea)
{
	struct fg_confsync *s = m->node[e->node].s;
	size_t from = index_of(m, e->from);

	if (e->asked != 0) {
		fg_confsync_on_pong(s, m->now, e->asked, e->from, e->revision,
				    e->age_ms, emit, ea);
		return;
	}
	fg_confsync_on_ping(s, m->now, e->from, e->revision, e->age_ms, emit,
			    ea);
	if (from < m->n)
		tell_peer(m, e->node, from, e->sent);
}

/* The lease rows, as read by this instance now. Its own row is written by
 * the first call that reaches the platform. */
static void read_live(struct sim *m, size_t node)
{
	struct sim_node *nd = &m->node[node];
	uint64_t ids[SIM_NODES_MAX];
	size_t n = 0;

	if (m->outage || nd->cut_platform)
		return;
	if (!nd->registered) {
		nd->registered = true;
		nd->registered_at = m->now;
	}
	for (size_t i = 0; i < m->n; i++)
		if (m->node[i].up && m->node[i].registered)
			ids[n++] = m->node[i].id;
	fg_confsync_set_live_at(nd->s, m->now, ids, n);
}

static void run_effect(struct sim *m, struct ev *e)
{
	struct fg_table_result *res = sim_run_op(m, e->op);

	if (e->lose)
		fg_table_result_free(res);
	else
		send_result(m, e->node, upto(m, 30), res);
}

static void run_event(struct sim *m, struct ev *e)
{
	struct sim_node *nd = &m->node[e->node];
	struct emit_arg ea = { m, e->node };

	switch (e->type) {
	case EV_TICK:
		fg_confsync_tick(nd->s, m->now, emit, &ea);
		repeat(m, EV_TICK, e->node, TICK_MS);
		break;
	case EV_PING:
		ping(m, e->node);
		repeat(m, EV_PING, e->node, PING_MS);
		break;
	case EV_LIVE:
		read_live(m, e->node);
		repeat(m, EV_LIVE, e->node, LIVE_MS);
		break;
	case EV_EFFECT:
		break;
	case EV_RESULT:
		fg_confsync_on_table(nd->s, m->now, e->res, emit, &ea);
		break;
	case EV_MSG:
		fg_confsync_on_msg(nd->s, m->now, e->from, e->msg, emit, &ea);
		break;
	case EV_PEER:
		run_peer(m, e, &ea);
		break;
	}
}

static void dispatch(struct sim *m, struct ev *e)
{
	const struct sim_node *nd = &m->node[e->node];

	/* A write under way takes effect even if its sender has died. */
	if (e->type == EV_EFFECT) {
		run_effect(m, e);
	} else if (nd->up && nd->id == e->id) {
		if (nd->paused_until > m->now) {
			e->at = nd->paused_until;
			e->seq = ++m->seq;
			ev_add(m, e);
			return;
		}
		run_event(m, e);
	}
	ev_free(e);
}

/* Changes at a paused or dead instance cannot be answered. */
static void check_deadlines(struct sim *m)
{
	for (guint i = 0; i < m->changes->len; i++) {
		const struct sim_change *ch = m->changes->pdata[i];

		g_assert_true(ch->answered || m->now <= ch->deadline);
	}
}

void sim_run(struct sim *m, fg_ms until)
{
	struct ev *e;

	while ((e = g_queue_peek_head(&m->events)) != NULL && e->at <= until) {
		g_queue_pop_head(&m->events);
		m->now = MAX(m->now, e->at);
		dispatch(m, e);
	}
	m->now = until;
	check_deadlines(m);
}

/* ---- Life ---- */

void sim_start(struct sim *m, size_t i)
{
	struct sim_node *nd = &m->node[i];
	struct fg_confsync_conf conf = {
		.poll_ms = 1000,
		.confirm_ms = 3000,
		.snapshot_every = m->conf.snapshot_every,
		.no_push = m->conf.no_push,
	};

	memset(nd, 0, sizeof(*nd));
	nd->id = fg_rand_next(&m->r);
	nd->c = fg_config_new();
	nd->s = fg_confsync_new(nd->c, &conf, nd->id, fg_rand_next(&m->r));
	nd->up = true;
	ev_add(m, ev_new(m, EV_TICK, i, upto(m, TICK_MS)));
	ev_add(m, ev_new(m, EV_PING, i, upto(m, PING_MS)));
	ev_add(m, ev_new(m, EV_LIVE, i, upto(m, LIVE_MS)));
}

void sim_crash(struct sim *m, size_t i)
{
	struct sim_node *nd = &m->node[i];

	nd->up = false;
	fg_confsync_free(nd->s);
	fg_config_free(nd->c);
	nd->s = NULL;
	nd->c = NULL;
}

struct sim *sim_new(const struct sim_conf *conf, uint64_t seed)
{
	struct sim *m = g_new0(struct sim, 1);

	m->conf = *conf;
	m->n = conf->nodes;
	m->now = 1000;
	fg_rand_seed(&m->r, seed);
	g_queue_init(&m->events);
	m->rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					sim_row_free);
	m->history = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   g_free);
	m->changes = g_ptr_array_new();
	for (size_t i = 0; i < m->n; i++)
		sim_start(m, i);
	return m;
}

void sim_free(struct sim *m)
{
	struct ev *e;

	while ((e = g_queue_pop_head(&m->events)) != NULL)
		ev_free(e);
	for (size_t i = 0; i < m->n; i++)
		if (m->node[i].up)
			sim_crash(m, i);
	for (guint i = 0; i < m->changes->len; i++) {
		struct sim_change *ch = m->changes->pdata[i];

		g_free(ch->text);
		g_free(ch);
	}
	g_ptr_array_free(m->changes, TRUE);
	g_hash_table_destroy(m->rows);
	g_hash_table_destroy(m->history);
	g_free(m);
}

struct sim_change *sim_change(struct sim *m, size_t i, const char *body,
			      uint64_t expect, uint32_t wait_ms)
{
	struct sim_node *nd = &m->node[i];
	struct sim_change *ch = g_new0(struct sim_change, 1);
	struct emit_arg ea = { m, i };

	g_ptr_array_add(m->changes, ch);
	ch->id = m->changes->len;
	ch->deadline = m->now + wait_ms + 10 * TICK_MS;
	fg_confsync_submit_change(nd->s, m->now, ch->id, body, expect, wait_ms,
				  emit, &ea);
	return ch;
}

void sim_heal(struct sim *m)
{
	m->outage = false;
	m->conf.lost_percent = 0;
	m->conf.drop_percent = 0;
	m->conf.table_max_ms = 20;
	for (size_t i = 0; i < m->n; i++) {
		m->node[i].cut_platform = false;
		memset(m->node[i].cut, 0, sizeof(m->node[i].cut));
		if (!m->node[i].up)
			sim_start(m, i);
	}
}

struct sim_change *sim_add(struct sim *m, size_t node, uint64_t expect)
{
	g_autofree char *body =
		g_strdup_printf("{\"kind\":\"adapter_add\",\"base\":\"b\","
				"\"adapter\":\"c%u\"}",
				m->changes->len + 1);

	return sim_change(m, node, body, expect, SIM_WAIT_MS);
}

uint64_t sim_revision(const struct sim *m, size_t i)
{
	return fg_config_revision(m->node[i].c);
}
