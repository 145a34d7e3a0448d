/* Event loop, network and instances of the simulation. */
#include "confsync_sim.h"

#include <inttypes.h>
#include <string.h>

#include "peer/fg_msg.h"

#define TICK_MS 50
#define PING_MS 400
#define PING_FANOUT 2
#define READ_LEASES_MS 300
#define LOST_RESULT_MS 1500 /* until a lost answer is reported */

enum event_type {
	EV_TICK,
	EV_PING,
	EV_READ_LEASES,
	EV_TABLE_OP, /* an operation reaches the table */
	EV_TABLE_RESULT,
	EV_MSG,
	EV_REVISION, /* a ping or pong with the sender's revision */
};

struct event {
	fg_ms at;
	uint64_t seq;
	enum event_type type;
	size_t index; /* of the instance */
	uint64_t id; /* of the instance; the event is dropped after a restart */
	struct fg_table_op *op;
	struct fg_table_result *res;
	bool answer_lost;
	uint64_t from;
	fg_msg *msg;
	uint64_t revision;
	uint32_t age_ms;
	fg_ms sent_at;
	fg_ms ping_sent_at; /* of a pong; 0 for a ping */
};

static void run_instance_event(struct sim *m, struct event *e);

/* ---- Events ---- */

static gint compare_events(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct event *x = a;
	const struct event *y = b;

	(void)arg;
	if (x->at != y->at)
		return x->at < y->at ? -1 : 1;
	return x->seq < y->seq ? -1 : 1;
}

static struct event *event_new(struct sim *m, enum event_type type,
			       size_t index, fg_ms delay_ms)
{
	struct event *e = g_new0(struct event, 1);

	e->at = m->now + delay_ms;
	e->seq = ++m->seq;
	e->type = type;
	e->index = index;
	e->id = m->instances[index].id;
	return e;
}

/* Searches from the end of the queue, where most new events belong. */
static void event_add(struct sim *m, struct event *e)
{
	GList *i = m->events.tail;

	while (i != NULL && compare_events(i->data, e, NULL) > 0)
		i = i->prev;
	g_queue_insert_after(&m->events, i, e);
}

static void event_free(struct event *e)
{
	fg_table_op_free(e->op);
	fg_table_result_free(e->res);
	fg_msg_free(e->msg);
	g_free(e);
}

static fg_ms random_delay_ms(struct sim *m, uint32_t max_ms)
{
	return 1 + (fg_ms)fg_rand_below(&m->rand, max_ms);
}

/* Returns true with a probability of `percent`. */
static bool draw_percent(struct sim *m, uint32_t percent)
{
	return fg_rand_below(&m->rand, 100) < percent;
}

/* ---- Actions of an instance ---- */

static size_t find_instance(const struct sim *m, uint64_t id)
{
	for (size_t i = 0; i < m->n; i++)
		if (m->instances[i].id == id)
			return i;
	return m->n;
}

static void send_result(struct sim *m, size_t index, fg_ms delay_ms,
			struct fg_table_result *res)
{
	struct event *e = event_new(m, EV_TABLE_RESULT, index, delay_ms);

	e->res = res;
	event_add(m, e);
}

static void handle_table_act(struct sim *m, size_t index,
			     struct fg_table_op *op)
{
	struct event *e;

	if (m->outage || m->instances[index].cut_platform) {
		send_result(m, index, random_delay_ms(m, 20),
			    fg_table_result_new(op->id, op->kind, FG_PF_DOWN));
		fg_table_op_free(op);
		return;
	}
	e = event_new(m, EV_TABLE_OP, index,
		      random_delay_ms(m, m->conf.table_max_ms));
	e->op = op;
	if (draw_percent(m, m->conf.lost_percent)) {
		send_result(m, index, LOST_RESULT_MS,
			    fg_table_result_new(op->id, op->kind, FG_PF_LOST));
		e->answer_lost = true;
		/* Some operations take effect after they were reported lost. */
		if (draw_percent(m, 30))
			e->at += LOST_RESULT_MS + random_delay_ms(m, 1000);
		if (draw_percent(m, 30)) {
			event_free(e);
			return;
		}
	}
	event_add(m, e);
}

static void handle_send_act(struct sim *m, size_t index, uint64_t to,
			    fg_msg *msg)
{
	size_t target = find_instance(m, to);
	struct event *e;

	m->msgs++;
	if (msg->body.type == FG_MSG_CONFIG_TELL &&
	    msg->body.fg_body_u.config_tell.base == 0)
		m->snapshot_parts_sent++;
	if (target == m->n || m->instances[index].cut[target] ||
	    draw_percent(m, m->conf.drop_percent)) {
		fg_msg_free(msg);
		return;
	}
	e = event_new(m, EV_MSG, target, random_delay_ms(m, 60));
	e->from = m->instances[index].id;
	e->msg = msg;
	event_add(m, e);
}

static void handle_changed_act(struct sim *m, size_t index, uint64_t revision)
{
	struct sim_instance *inst = &m->instances[index];
	char *text = fg_config_snapshot(inst->c);
	const char *known;
	guint64 *key;

	g_assert_cmpuint(revision, ==, fg_config_revision(inst->c));
	g_assert_cmpuint(revision, >, inst->revision);
	inst->revision = revision;
	g_assert_nonnull(fg_config_preset(inst->c));
	known = g_hash_table_lookup(m->history, &revision);
	if (known != NULL) {
		g_assert_cmpstr(known, ==, text);
		g_free(text);
		return;
	}
	key = g_new(guint64, 1);
	*key = revision;
	g_hash_table_insert(m->history, key, text);
}

static bool is_serving(const struct sim *m, const struct sim_instance *inst)
{
	uint32_t age_ms;

	if (!inst->up || !inst->registered)
		return false;
	age_ms = fg_confsync_confirm_age(inst->s, m->now);
	return age_ms != UINT32_MAX &&
	       m->now - (fg_ms)age_ms >= inst->registered_at;
}

static void check_accepted(struct sim *m, uint64_t revision)
{
	for (size_t i = 0; i < m->n; i++)
		if (is_serving(m, &m->instances[i]))
			g_assert_cmpuint(fg_config_revision(m->instances[i].c),
					 >=, revision);
	g_assert_cmpuint(sim_head_revision(m), >=, revision);
}

static void handle_answer_act(struct sim *m, const struct fg_confsync_act *act)
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
	size_t index;
};

static void emit(void *arg, struct fg_confsync_act *act)
{
	struct emit_arg *ea = arg;

	switch (act->type) {
	case FG_CS_TABLE:
		handle_table_act(ea->m, ea->index, act->op);
		break;
	case FG_CS_SEND:
		handle_send_act(ea->m, ea->index, act->to, act->msg);
		break;
	case FG_CS_CHANGED:
		handle_changed_act(ea->m, ea->index, act->revision);
		break;
	case FG_CS_ANSWER:
		handle_answer_act(ea->m, act);
		break;
	}
}

/* ---- Running ---- */

static void schedule_again(struct sim *m, enum event_type type, size_t index,
			   uint32_t every_ms)
{
	event_add(m, event_new(m, type, index, every_ms));
}

/* Sends a pong to a ping that was sent at ping_sent_at or, if ping_sent_at is
 * 0, a ping. */
static void send_revision(struct sim *m, size_t index, size_t to,
			  fg_ms ping_sent_at)
{
	const struct sim_instance *inst = &m->instances[index];
	struct event *e;

	if (inst->cut[to] || draw_percent(m, m->conf.drop_percent))
		return;
	e = event_new(m, EV_REVISION, to, random_delay_ms(m, 60));
	e->from = inst->id;
	e->sent_at = m->now;
	e->ping_sent_at = ping_sent_at;
	e->revision = fg_config_revision(inst->c);
	e->age_ms = fg_confsync_confirm_age(inst->s, m->now);
	event_add(m, e);
}

static void send_pings(struct sim *m, size_t index)
{
	for (int i = 0; i < PING_FANOUT && !m->conf.no_pings; i++) {
		size_t to = fg_rand_below(&m->rand, m->n);

		if (to != index)
			send_revision(m, index, to, 0);
	}
}

static void deliver_revision(struct sim *m, struct event *e,
			     struct emit_arg *ea)
{
	struct fg_confsync *s = m->instances[e->index].s;
	size_t from = find_instance(m, e->from);

	if (e->ping_sent_at != 0) {
		fg_confsync_on_pong(s, m->now, e->ping_sent_at, e->from,
				    e->revision, e->age_ms, emit, ea);
		return;
	}
	fg_confsync_on_ping(s, m->now, e->from, e->revision, e->age_ms, emit,
			    ea);
	if (from < m->n)
		send_revision(m, e->index, from, e->sent_at);
}

/* Reads the lease rows. The first read that reaches the platform also writes
 * the lease row of the instance. */
static void read_leases(struct sim *m, size_t index)
{
	struct sim_instance *inst = &m->instances[index];
	uint64_t ids[SIM_INSTANCES_MAX];
	size_t n = 0;

	if (m->outage || inst->cut_platform)
		return;
	if (!inst->registered) {
		inst->registered = true;
		inst->registered_at = m->now;
	}
	for (size_t i = 0; i < m->n; i++)
		if (m->instances[i].up && m->instances[i].registered)
			ids[n++] = m->instances[i].id;
	fg_confsync_set_live_at(inst->s, m->now, ids, n);
}

static void run_table_op(struct sim *m, struct event *e)
{
	struct fg_table_result *res = sim_run_op(m, e->op);

	if (e->answer_lost)
		fg_table_result_free(res);
	else
		send_result(m, e->index, random_delay_ms(m, 30), res);
}

static void run_instance_event(struct sim *m, struct event *e)
{
	struct sim_instance *inst = &m->instances[e->index];
	struct emit_arg ea = { m, e->index };

	switch (e->type) {
	case EV_TICK:
		fg_confsync_tick(inst->s, m->now, emit, &ea);
		schedule_again(m, EV_TICK, e->index, TICK_MS);
		break;
	case EV_PING:
		send_pings(m, e->index);
		schedule_again(m, EV_PING, e->index, PING_MS);
		break;
	case EV_READ_LEASES:
		read_leases(m, e->index);
		schedule_again(m, EV_READ_LEASES, e->index, READ_LEASES_MS);
		break;
	case EV_TABLE_OP:
		break;
	case EV_TABLE_RESULT:
		fg_confsync_on_table(inst->s, m->now, e->res, emit, &ea);
		break;
	case EV_MSG:
		fg_confsync_on_msg(inst->s, m->now, e->from, e->msg, emit, &ea);
		break;
	case EV_REVISION:
		deliver_revision(m, e, &ea);
		break;
	}
}

static void dispatch(struct sim *m, struct event *e)
{
	const struct sim_instance *inst = &m->instances[e->index];

	/* A write in flight takes effect even if its sender has crashed. */
	if (e->type == EV_TABLE_OP) {
		run_table_op(m, e);
	} else if (inst->up && inst->id == e->id) {
		if (inst->paused_until > m->now) {
			e->at = inst->paused_until;
			e->seq = ++m->seq;
			event_add(m, e);
			return;
		}
		run_instance_event(m, e);
	}
	event_free(e);
}

/* Tests extend the deadlines of changes at paused instances and mark changes at
 * crashed instances as answered. */
static void check_deadlines(struct sim *m)
{
	for (guint i = 0; i < m->changes->len; i++) {
		const struct sim_change *ch = m->changes->pdata[i];

		g_assert_true(ch->answered || m->now <= ch->deadline);
	}
}

void sim_run(struct sim *m, fg_ms until)
{
	struct event *e;

	while ((e = g_queue_peek_head(&m->events)) != NULL && e->at <= until) {
		g_queue_pop_head(&m->events);
		m->now = MAX(m->now, e->at);
		dispatch(m, e);
	}
	m->now = until;
	check_deadlines(m);
}

/* ---- Setup and faults ---- */

void sim_start_instance(struct sim *m, size_t i)
{
	struct sim_instance *inst = &m->instances[i];
	struct fg_confsync_conf conf = {
		.poll_ms = 1000,
		.confirm_ms = 3000,
		.snapshot_every = m->conf.snapshot_every,
		.no_push = m->conf.no_push,
	};

	memset(inst, 0, sizeof(*inst));
	inst->id = fg_rand_next(&m->rand);
	inst->c = fg_config_new();
	inst->s = fg_confsync_new(inst->c, &conf, inst->id,
				  fg_rand_next(&m->rand));
	inst->up = true;
	event_add(m, event_new(m, EV_TICK, i, random_delay_ms(m, TICK_MS)));
	event_add(m, event_new(m, EV_PING, i, random_delay_ms(m, PING_MS)));
	event_add(m, event_new(m, EV_READ_LEASES, i,
			       random_delay_ms(m, READ_LEASES_MS)));
}

void sim_crash_instance(struct sim *m, size_t i)
{
	struct sim_instance *inst = &m->instances[i];

	inst->up = false;
	fg_confsync_free(inst->s);
	fg_config_free(inst->c);
	inst->s = NULL;
	inst->c = NULL;
}

struct sim *sim_new(const struct sim_conf *conf, uint64_t seed)
{
	struct sim *m = g_new0(struct sim, 1);

	m->conf = *conf;
	m->n = conf->n_instances;
	m->now = 1000;
	fg_rand_seed(&m->rand, seed);
	g_queue_init(&m->events);
	m->rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					sim_row_free);
	m->history = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   g_free);
	m->changes = g_ptr_array_new();
	for (size_t i = 0; i < m->n; i++)
		sim_start_instance(m, i);
	return m;
}

void sim_free(struct sim *m)
{
	struct event *e;

	while ((e = g_queue_pop_head(&m->events)) != NULL)
		event_free(e);
	for (size_t i = 0; i < m->n; i++)
		if (m->instances[i].up)
			sim_crash_instance(m, i);
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

struct sim_change *sim_submit_change(struct sim *m, size_t i, const char *body,
				     uint64_t expect, uint32_t wait_ms)
{
	struct sim_instance *inst = &m->instances[i];
	struct sim_change *ch = g_new0(struct sim_change, 1);
	struct emit_arg ea = { m, i };

	g_ptr_array_add(m->changes, ch);
	ch->id = m->changes->len;
	ch->deadline = m->now + wait_ms + 10 * TICK_MS;
	fg_confsync_submit_change(inst->s, m->now, ch->id, body, expect,
				  wait_ms, emit, &ea);
	return ch;
}

void sim_clear_faults(struct sim *m)
{
	m->outage = false;
	m->conf.lost_percent = 0;
	m->conf.drop_percent = 0;
	m->conf.table_max_ms = 20;
	for (size_t i = 0; i < m->n; i++) {
		m->instances[i].cut_platform = false;
		memset(m->instances[i].cut, 0, sizeof(m->instances[i].cut));
		if (!m->instances[i].up)
			sim_start_instance(m, i);
	}
}

struct sim_change *sim_add_adapter(struct sim *m, size_t i, uint64_t expect)
{
	g_autofree char *body =
		g_strdup_printf("{\"kind\":\"adapter_add\",\"base\":\"b\","
				"\"adapter\":\"c%u\"}",
				m->changes->len + 1);

	return sim_submit_change(m, i, body, expect, SIM_CHANGE_WAIT_MS);
}

uint64_t sim_instance_revision(const struct sim *m, size_t i)
{
	return fg_config_revision(m->instances[i].c);
}
