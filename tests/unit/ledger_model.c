#include "ledger_model.h"

#include <stdio.h>
#include <string.h>

#define DELAY_MAX_MS 2000
#define STEP_MAX_MS 6

enum event_kind {
	EV_APPLY,  /* an operation reaches the table */
	EV_RESULT, /* the result reaches the instance */
	EV_OUTCOME
};

struct event {
	fg_ms at;
	enum event_kind kind;
	uint32_t inst;
	struct fg_table_op *op; /* APPLY */
	bool answer;		/* APPLY */
	struct fg_table_result *res;
	uint64_t id; /* OUTCOME */
};

struct instance {
	struct model *m;
	uint32_t index;
	struct fg_ledger *ledger; /* NULL: dead */
	fg_ms paused_until;
};

struct stored_row {
	uint64_t row_version;
	char *value;
};

struct model {
	uint64_t seed;
	struct fg_rand rand;
	fg_ms now;
	struct model_faults faults;
	bool faults_enabled;
	uint32_t n;
	struct instance inst[MODEL_INSTANCES];
	GHashTable *table;
	GArray *events;
	GArray *filings;
	fg_ms outage_until;
	enum fg_outcome outcome;
	bool lose_next;
	fg_ms effect_ms;
	uint32_t ops[FG_OP_TXN + 1];
	bool any_dead;
};

#define MODEL_ASSERT(m, cond)                                                  \
	do {                                                                   \
		if (!(cond))                                                   \
			g_error("seed %" G_GUINT64_FORMAT ": " #cond,          \
				(m)->seed);                                    \
	} while (0)

static bool draw_fault(struct model *m, uint32_t of_1000)
{
	return m->faults_enabled && fg_rand_below(&m->rand, 1000) < of_1000;
}

static struct model_filing *filing(const struct model *m, uint64_t id)
{
	return &g_array_index(m->filings, struct model_filing, id - 1);
}

const struct model_filing *model_filing(const struct model *m, uint64_t id)
{
	return filing(m, id);
}

/* ---- Table ---- */

static struct stored_row *find_or_add_row(struct model *m, const char *key)
{
	struct stored_row *s = g_hash_table_lookup(m->table, key);

	if (s == NULL) {
		s = g_new0(struct stored_row, 1);
		g_hash_table_insert(m->table, g_strdup(key), s);
	}
	return s;
}

static struct fg_table_result *apply_txn(struct model *m,
					 const struct fg_table_op *op)
{
	struct fg_table_result *res;

	for (size_t i = 0; i < op->n_writes; i++) {
		const struct fg_write *w = &op->writes[i];
		struct stored_row *s = find_or_add_row(m, w->key);
		uint64_t has = s->value != NULL ? s->row_version : 0;

		MODEL_ASSERT(m, w->expect_version != FG_ANY_VERSION);
		if (has == w->expect_version)
			continue;
		res = fg_table_result_new(op->id, op->kind, FG_PF_CONFLICT);
		fg_table_result_add_row(res, w->key, has, s->value);
		return res;
	}
	res = fg_table_result_new(op->id, op->kind, FG_PF_OK);
	for (size_t i = 0; i < op->n_writes; i++) {
		const struct fg_write *w = &op->writes[i];
		struct stored_row *s = find_or_add_row(m, w->key);

		s->row_version++;
		g_free(s->value);
		s->value = g_strdup(w->value);
		if (m->faults.versions)
			fg_table_result_add_row(res, w->key, s->row_version,
						NULL);
	}
	return res;
}

static struct fg_table_result *apply_op(struct model *m,
					const struct fg_table_op *op)
{
	struct fg_table_result *res;
	GHashTableIter iter;
	gpointer key, value;

	if (op->kind == FG_OP_TXN)
		return apply_txn(m, op);
	res = fg_table_result_new(op->id, op->kind, FG_PF_OK);
	g_hash_table_iter_init(&iter, m->table);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct stored_row *s = value;
		bool matches = op->kind == FG_OP_GET
				       ? strcmp(key, op->key) == 0
				       : g_str_has_prefix(key, op->key);

		if (matches && s->value != NULL)
			fg_table_result_add_row(res, key, s->row_version,
						s->value);
	}
	if (op->kind == FG_OP_GET && res->n_rows == 0)
		res->result = FG_PF_ABSENT;
	return res;
}

static void schedule_event(struct model *m, struct event ev, fg_ms delay_ms)
{
	ev.at = m->now + delay_ms;
	g_array_append_val(m->events, ev);
}

static void schedule_failure(struct model *m, uint32_t inst,
			     const struct fg_table_op *op,
			     enum fg_pf_result result)
{
	struct event ev = { .kind = EV_RESULT, .inst = inst };

	ev.res = fg_table_result_new(op->id, op->kind, result);
	schedule_event(m, ev, 1 + fg_rand_below(&m->rand, 40));
}

static void lose_answer(struct model *m, uint32_t inst, struct fg_table_op *op,
			fg_ms effect_ms)
{
	struct event ev = { .kind = EV_APPLY, .inst = inst, .op = op };

	schedule_failure(m, inst, op, FG_PF_LOST);
	if (effect_ms < 0)
		fg_table_op_free(op);
	else
		schedule_event(m, ev, effect_ms);
}

static void handle_op(struct model *m, uint32_t inst, struct fg_table_op *op)
{
	struct event ev = { .kind = EV_APPLY, .inst = inst, .op = op };

	m->ops[op->kind]++;
	ev.answer = true;
	if (m->lose_next) {
		m->lose_next = false;
		lose_answer(m, inst, op, m->effect_ms);
	} else if (m->now < m->outage_until) {
		schedule_failure(m, inst, op, FG_PF_DOWN);
		fg_table_op_free(op);
	} else if (draw_fault(m, m->faults.request_lost)) {
		lose_answer(m, inst, op, -1);
	} else if (draw_fault(m, m->faults.answer_lost)) {
		lose_answer(m, inst, op, 1);
	} else if (draw_fault(m, m->faults.delayed)) {
		lose_answer(m, inst, op, fg_rand_below(&m->rand, DELAY_MAX_MS));
	} else {
		schedule_event(m, ev, 1 + fg_rand_below(&m->rand, 10));
	}
}

/* ---- Invariants ---- */

static void handle_dispatch(struct model *m, uint64_t id)
{
	struct model_filing *f = filing(m, id);
	struct event ev = { .kind = EV_OUTCOME, .inst = f->inst, .id = id };

	MODEL_ASSERT(m, !f->answered && !f->dispatched);
	for (uint64_t other = 1; other <= m->filings->len; other++) {
		const struct model_filing *o = filing(m, other);

		if (o->key == f->key && o->dispatched)
			MODEL_ASSERT(m, o->ended && o->outcome == FG_NOT_RUN);
	}
	f->dispatched = true;
	schedule_event(m, ev, fg_rand_below(&m->rand, 200));
}

/* Returns the only dispatch of a key that ran or may have run, or NULL. */
static const struct model_filing *find_run(const struct model *m, uint32_t key)
{
	for (uint64_t id = 1; id <= m->filings->len; id++) {
		const struct model_filing *f = filing(m, id);

		if (f->key == key && f->dispatched &&
		    !(f->ended && f->outcome == FG_NOT_RUN))
			return f;
	}
	return NULL;
}

static void check_replay(struct model *m, const struct model_filing *f,
			 const struct fg_ledger_act *act)
{
	const struct model_filing *first = find_run(m, f->key);

	MODEL_ASSERT(m, first != NULL && first->ended);
	MODEL_ASSERT(m, first->body == f->body);
	MODEL_ASSERT(m, first->outcome == act->outcome);
	if (act->outcome == FG_DONE)
		MODEL_ASSERT(m, g_strcmp0(act->text, first->text) == 0);
}

static void handle_answer(struct model *m, const struct fg_ledger_act *act)
{
	struct model_filing *f = filing(m, act->id);

	MODEL_ASSERT(m, !f->answered);
	if (act->replayed)
		check_replay(m, f, act);
	else if (act->outcome == FG_DONE)
		MODEL_ASSERT(m, f->ended && f->outcome == FG_DONE);
	if (act->outcome == FG_NOT_RUN)
		MODEL_ASSERT(m, !f->dispatched ||
					(f->ended && f->outcome == FG_NOT_RUN));
	if (act->reason == FG_R_IN_PROGRESS)
		MODEL_ASSERT(m, act->outcome == FG_UNKNOWN);
	f->answered = true;
	f->answered_outcome = act->outcome;
	f->reason = act->reason;
	f->replayed = act->replayed;
}

static void emit(void *arg, struct fg_ledger_act *act)
{
	struct instance *inst = arg;
	struct model *m = inst->m;

	switch (act->type) {
	case FG_LA_TABLE:
		handle_op(m, inst->index, act->op);
		break;
	case FG_LA_DISPATCH:
		handle_dispatch(m, act->id);
		break;
	case FG_LA_ANSWER:
		handle_answer(m, act);
		break;
	case FG_LA_RECORDED:
		MODEL_ASSERT(m, filing(m, act->id)->answered);
		filing(m, act->id)->recorded = true;
		break;
	}
}

/* ---- Instances ---- */

/* A paused instance is reported dead with a probability of one half. */
static bool is_dead(void *arg, uint64_t inst)
{
	struct model *m = arg;
	const struct instance *in = &m->inst[inst - 1];

	if (in->ledger == NULL)
		return true;
	return m->now < in->paused_until && fg_rand_below(&m->rand, 2);
}

struct model *model_new(uint64_t seed, uint32_t instances,
			const struct model_faults *faults)
{
	struct model *m = g_new0(struct model, 1);

	m->seed = seed;
	fg_rand_seed(&m->rand, seed);
	m->now = 1000;
	m->faults = *faults;
	m->n = instances;
	m->table = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	m->events = g_array_new(FALSE, TRUE, sizeof(struct event));
	m->filings = g_array_new(FALSE, TRUE, sizeof(struct model_filing));
	for (uint32_t i = 0; i < instances; i++) {
		struct fg_ledger_conf conf = {
			.self = i + 1,
			.group_ms = 4,
			.start_timeout_ms = 300,
			.record_retry_ms = 60,
			.retention_s = 7200,
		};

		m->inst[i] = (struct instance){ .m = m, .index = i };
		m->inst[i].ledger = fg_ledger_new(&conf, seed);
		fg_ledger_set_is_dead(m->inst[i].ledger, is_dead, m);
	}
	return m;
}

void model_free(struct model *m)
{
	GHashTableIter iter;
	gpointer value;

	for (uint32_t i = 0; i < m->n; i++)
		fg_ledger_free(m->inst[i].ledger);
	for (guint i = 0; i < m->events->len; i++) {
		struct event *ev = &g_array_index(m->events, struct event, i);

		fg_table_op_free(ev->op);
		fg_table_result_free(ev->res);
	}
	g_hash_table_iter_init(&iter, m->table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		g_free(((struct stored_row *)value)->value);
		g_free(value);
	}
	g_hash_table_destroy(m->table);
	g_array_free(m->events, TRUE);
	g_array_free(m->filings, TRUE);
	g_free(m);
}

uint64_t model_start(struct model *m, uint32_t inst, uint32_t key,
		     uint64_t body)
{
	struct model_filing f = { .key = key, .body = body, .inst = inst };
	char name[16];

	snprintf(name, sizeof(name), "key-%u", key);
	g_array_append_val(m->filings, f);
	fg_ledger_start(m->inst[inst].ledger, m->now, m->filings->len, "caller",
			name, body, m->now + 5000, emit, &m->inst[inst]);
	return m->filings->len;
}

static void end_dispatch(struct model *m, struct instance *inst, uint64_t id)
{
	struct model_filing *f = filing(m, id);

	f->outcome = m->outcome != 0 ? m->outcome
				     : 1 + fg_rand_below(&m->rand, FG_UNKNOWN);
	f->ended = true;
	snprintf(f->text, sizeof(f->text), "answer-%u", (unsigned int)id);
	fg_ledger_record_outcome(
		inst->ledger, m->now, id, f->outcome, FG_R_NONE,
		f->outcome == FG_DONE ? f->text : NULL, emit, inst);
}

static void handle_event(struct model *m, struct event *ev)
{
	struct instance *inst = &m->inst[ev->inst];
	struct event next = { .kind = EV_RESULT, .inst = ev->inst };

	if (ev->kind == EV_APPLY) {
		next.res = apply_op(m, ev->op);
		if (ev->answer)
			schedule_event(m, next,
				       1 + fg_rand_below(&m->rand, 10));
		else
			fg_table_result_free(next.res);
		fg_table_op_free(ev->op);
		return;
	}
	if (inst->ledger != NULL && m->now < inst->paused_until) {
		schedule_event(m, *ev, inst->paused_until - m->now);
		return;
	}
	if (inst->ledger != NULL && ev->kind == EV_RESULT)
		fg_ledger_handle_result(inst->ledger, m->now, ev->res, emit,
					inst);
	else if (inst->ledger != NULL)
		end_dispatch(m, inst, ev->id);
	fg_table_result_free(ev->res);
}

static void handle_due_events(struct model *m)
{
	for (guint i = 0; i < m->events->len;) {
		struct event ev = g_array_index(m->events, struct event, i);

		if (ev.at > m->now) {
			i++;
			continue;
		}
		g_array_remove_index_fast(m->events, i);
		handle_event(m, &ev);
	}
}

static void draw_faults(struct model *m)
{
	uint32_t i = fg_rand_below(&m->rand, m->n);

	if (draw_fault(m, m->faults.pause))
		model_pause(m, i, fg_rand_below(&m->rand, 800));
	if (draw_fault(m, m->faults.outage))
		model_outage(m, fg_rand_below(&m->rand, 600));
	if (draw_fault(m, m->faults.death) && i > 0)
		model_kill(m, i);
}

void model_run(struct model *m, fg_ms ms, bool faults)
{
	fg_ms end = m->now + ms;

	m->faults_enabled = faults;
	while (m->now < end) {
		m->now += 1 + fg_rand_below(&m->rand, STEP_MAX_MS);
		draw_faults(m);
		handle_due_events(m);
		for (uint32_t i = 0; i < m->n; i++) {
			struct instance *in = &m->inst[i];

			if (in->ledger != NULL && m->now >= in->paused_until)
				fg_ledger_tick(in->ledger, m->now, emit, in);
		}
	}
	m->faults_enabled = false;
}

void model_set_outcome(struct model *m, enum fg_outcome outcome)
{
	m->outcome = outcome;
}

void model_lose_next_op(struct model *m, fg_ms effect_ms)
{
	m->lose_next = true;
	m->effect_ms = effect_ms;
}

void model_outage(struct model *m, fg_ms ms)
{
	m->outage_until = m->now + ms;
}

void model_pause(struct model *m, uint32_t inst, fg_ms ms)
{
	m->inst[inst].paused_until = m->now + ms;
}

void model_kill(struct model *m, uint32_t inst)
{
	fg_ledger_free(m->inst[inst].ledger);
	m->inst[inst].ledger = NULL;
	m->any_dead = true;
}

uint32_t model_dispatches(const struct model *m, uint32_t key)
{
	uint32_t n = 0;

	for (uint64_t id = 1; id <= m->filings->len; id++)
		n += filing(m, id)->key == key && filing(m, id)->dispatched;
	return n;
}

uint32_t model_ops(const struct model *m, enum fg_op_kind kind)
{
	return m->ops[kind];
}

size_t model_pending(const struct model *m)
{
	size_t n = 0;

	for (uint32_t i = 0; i < m->n; i++)
		if (m->inst[i].ledger != NULL)
			n += fg_ledger_pending(m->inst[i].ledger);
	return n;
}

struct fg_ledger *model_ledger(struct model *m, uint32_t inst)
{
	return m->inst[inst].ledger;
}

const char *model_row(struct model *m, uint32_t key)
{
	char name[16];
	char row_key[FG_ROW_KEY_MAX];

	snprintf(name, sizeof(name), "key-%u", key);
	fg_ledger_row_key("caller", name, row_key);
	return find_or_add_row(m, row_key)->value;
}

/* ---- Interleavings ---- */

/* Checks a key after all faults: a repeat gets the outcome of the run, and a
 * key without a run can be started again. */
static void check_key_settled(struct model *m, uint32_t key)
{
	const struct model_filing *run = find_run(m, key);
	bool has_run = run != NULL;
	struct model_filing first = { 0 };
	const struct model_filing *f;
	uint64_t id;

	if (has_run)
		first = *run; /* model_start() may move the array */
	id = model_start(m, 0, key, 7);
	model_set_outcome(m, FG_DONE);
	model_run(m, 3000, false);
	f = filing(m, id);
	MODEL_ASSERT(m, f->answered);
	if (!has_run)
		MODEL_ASSERT(m, f->dispatched || m->any_dead);
	else if (first.recorded)
		MODEL_ASSERT(m, f->replayed &&
					f->answered_outcome == first.outcome);
	else if (f->replayed) /* stored, and the instance died at once */
		MODEL_ASSERT(m, m->any_dead &&
					f->answered_outcome == first.outcome);
	else
		MODEL_ASSERT(m,
			     m->any_dead && f->answered_outcome == FG_UNKNOWN);
}

void model_interleaving(uint64_t seed, const struct model_faults *faults)
{
	struct model *m = model_new(seed, 2 + seed % 3, faults);

	for (int i = 0; i < 14; i++) {
		uint32_t inst = fg_rand_below(&m->rand, m->n);
		uint32_t key = fg_rand_below(&m->rand, MODEL_KEYS);

		if (m->inst[inst].ledger != NULL)
			model_start(m, inst, key, 7);
		model_run(m, fg_rand_below(&m->rand, 250), true);
	}
	model_outage(m, 0);
	model_run(m, 6000, false);
	MODEL_ASSERT(m, model_pending(m) == 0);
	for (uint64_t id = 1; id <= m->filings->len; id++)
		MODEL_ASSERT(m, filing(m, id)->answered ||
					m->inst[filing(m, id)->inst].ledger ==
						NULL);
	for (uint32_t key = 0; key < MODEL_KEYS; key++)
		check_key_settled(m, key);
	model_free(m);
}
