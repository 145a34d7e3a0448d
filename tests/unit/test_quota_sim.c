/*
 * Limits of workspaces under kills, freezes, cuts, lost, late and repeated
 * messages, planned stops and changes of the limit, in virtual time.
 *
 * A judge looks only at what was admitted and not given back: in any
 * WINDOW_MS, the tokens that arrived stay within the formula of
 * docs/HARD-LOAD.md, for the highest limit in force anywhere in the window.
 *
 * Environment: FG_QUOTA_SCHEDULES (150) is the number of schedules,
 * FG_QUOTA_SEED (1) the first seed, FG_QUOTA_PRINT (0) prints each broken
 * schedule's troubles, FG_QUOTA_KINDS is a mask of the kinds of trouble.
 */
#include <glib.h>
#include <string.h>

#include "base/fg_rand.h"
#include "quota/fg_quota.h"
#include "sim_env.h"

#define MACHINES_MAX 9
#define WORKSPACES 3
#define STEP_MS 5
#define START_MS 100000
#define LENGTH_MS 30000
#define WINDOW_MS 8000
#define EXCESS 0.1
#define SLACK 17000.0
#define SLOTS 2048 /* of STEP_MS, for messages under way */
#define TICK_MS 100
#define HEARTBEAT_MS 250
#define ALIVE_MS 1500
#define STOP_MS 1500
/* Bits of the cases of make_trouble(). */
#define KINDS_ALL 0x7ff
#define KINDS_UNCUT (KINDS_ALL & ~0x4e0)
/* With replacements: their last begin, the end of troubles, and when each
 * workspace has a holder again. */
#define REPLACED_MS 14000
#define LATE_MS 34000
#define LENGTH_REPLACED_MS 40000
/* Longest time without a holder, of instances that are in touch. */
#define UNKNOWN_MAX_MS 4000
/* A load is within the limit once the ideal bucket admitted all for so long. */
#define WITHIN_MS 4000

struct message {
	bool is_reply;
	uint32_t from;
	uint32_t to;
	uint64_t from_id;
	uint64_t to_id;
	struct fg_quota_ask ask;
	struct fg_quota_reply reply;
};

struct request {
	fg_ms at;
	uint32_t machine;
	uint64_t incarnation;
	uint32_t workspace;
	uint32_t tokens;
	bool admitted;	   /* and not given back */
	bool by_ideal;	   /* the ideal bucket admits it */
	bool within_limit; /* and all others of the last seconds */
	fg_ms back_at;	   /* given back; 0: it runs */
};

struct sim;

/* An instance that left for good, as the others see it. */
struct departed {
	uint64_t id;
	uint64_t hash;
	fg_ms heard_at[MACHINES_MAX];
	bool heard_leaving[MACHINES_MAX];
	fg_ms listed_until[MACHINES_MAX]; /* the removal of its row is seen */
};

struct machine {
	struct sim *sim;
	uint32_t index;
	struct fg_quota *quota; /* NULL: not running */
	uint64_t incarnation;
	fg_ms up_at;
	fg_ms listed_at; /* the table was read */
	fg_ms stop_at;	 /* planned stop, its end; 0: none */
	fg_ms frozen_until;
	uint64_t heard_id[MACHINES_MAX];
	fg_ms heard_at[MACHINES_MAX];
	bool heard_leaving[MACHINES_MAX];
	fg_ms limit_at[WORKSPACES]; /* of the next change; 0: none */
	struct fg_quota_limit limit[WORKSPACES];
};

struct load {
	fg_ms until;
	uint32_t machine; /* MACHINES_MAX: all */
	bool bursts;
	double factor;
	double due; /* tokens that are to arrive */
	uint32_t give_back_percent;
	uint32_t next_tokens;
};

struct sim {
	struct fg_rand rand;
	fg_ms now;
	uint32_t n;
	struct machine m[MACHINES_MAX];
	fg_ms cut_until[MACHINES_MAX][MACHINES_MAX];
	GArray *slots[SLOTS];
	GArray *requests;
	GArray *backs; /* guint, requests to be given back */
	struct load load[WORKSPACES];
	struct fg_quota_limit limit[WORKSPACES]; /* newest */
	struct fg_quota_limit ideal[WORKSPACES];
	double ideal_level[WORKSPACES];
	fg_ms ideal_refused_at[WORKSPACES];
	GArray *highest[WORKSPACES]; /* struct fg_quota_limit, one a step */
	uint32_t loss_percent;
	fg_ms loss_until;
	uint32_t calmness;
	uint32_t kinds; /* of troubles, bits */
	bool full_start;
	uint64_t next_incarnation;
	bool print;
	/* Replacements: each machine leaves once, and one of another name
	 * comes. */
	bool replaces;
	bool keeps_rows; /* of those that left */
	fg_ms leave_at[MACHINES_MAX];
	bool has_left[MACHINES_MAX];
	GArray *gone;			 /* struct departed */
	fg_ms unknown_since[WORKSPACES]; /* no other verdict; 0: none such */
	fg_ms longest_unknown_ms;	 /* from LATE_MS on */
};

struct result {
	double worst; /* highest part of the bound that was used */
	uint32_t n_broken;
	double ideal_tokens;
	double tokens;	       /* admitted */
	double within_tokens;  /* of loads within the limit */
	double refused_tokens; /* of those */
	fg_ms longest_unknown_ms;
};

static fg_ms below(struct sim *s, fg_ms n)
{
	return (fg_ms)fg_rand_below(&s->rand, (uint64_t)n);
}

static bool percent(struct sim *s, uint32_t p)
{
	return fg_rand_below(&s->rand, 100) < p;
}

static uint64_t workspace_id(uint32_t w)
{
	return fg_hash_mix(77, w + 1);
}

/* A machine that replaced another one has a name of its own. */
static uint64_t name_hash(const struct sim *s, uint32_t i)
{
	return fg_hash_mix(991, i + 1 + (s->has_left[i] ? MACHINES_MAX : 0));
}

/* ---- Messages ---- */

static void post_at(struct sim *s, const struct message *msg, fg_ms at)
{
	fg_ms last = s->now + (SLOTS - 2) * STEP_MS;
	guint slot =
		(guint)(CLAMP(at, s->now + STEP_MS, last) / STEP_MS % SLOTS);

	g_array_append_vals(s->slots[slot], msg, 1);
}

static void post(struct sim *s, const struct message *msg)
{
	uint32_t copies = percent(s, 2) ? 2 : 1;

	if (percent(s, s->now < s->loss_until ? s->loss_percent : 1))
		return;
	for (uint32_t i = 0; i < copies; i++) {
		fg_ms late = percent(s, 3) ? below(s, 600) : below(s, 13);

		post_at(s, msg, s->now + STEP_MS + late);
	}
}

static void on_send(void *ctx, uint64_t to, const struct fg_quota_ask *ask)
{
	struct machine *m = ctx;
	struct sim *s = m->sim;

	for (uint32_t i = 0; i < s->n; i++) {
		struct message msg = { .from = m->index,
				       .to = i,
				       .from_id = m->incarnation,
				       .to_id = to,
				       .ask = *ask };

		if (m->heard_id[i] == to && i != m->index)
			post(s, &msg);
	}
}

static void note_verdict(struct sim *s, uint32_t w,
			 enum fg_quota_verdict verdict)
{
	if (verdict == FG_QUOTA_WAITING || s->now < START_MS + LATE_MS)
		return;
	if (verdict != FG_QUOTA_UNKNOWN) {
		s->unknown_since[w] = 0;
		return;
	}
	if (s->unknown_since[w] == 0)
		s->unknown_since[w] = s->now;
	s->longest_unknown_ms =
		MAX(s->longest_unknown_ms, s->now - s->unknown_since[w]);
}

static void apply_decisions(struct machine *m)
{
	struct fg_quota_decision d;

	while (fg_quota_next_decision(m->quota, &d)) {
		struct request *r = &g_array_index(
			m->sim->requests, struct request, d.request - 1);

		note_verdict(m->sim, r->workspace, d.verdict);
		r->admitted = d.verdict == FG_QUOTA_ADMITTED;
	}
}

static void deliver(struct sim *s, const struct message *msg)
{
	struct machine *m = &s->m[msg->to];
	struct message out = { .is_reply = true };

	if (m->quota == NULL || m->incarnation != msg->to_id ||
	    s->now < s->cut_until[msg->from][msg->to])
		return;
	if (s->now < m->frozen_until) {
		post_at(s, msg, m->frozen_until);
		return;
	}
	if (msg->is_reply) {
		fg_quota_on_reply(m->quota, s->now, msg->from_id, &msg->reply);
		apply_decisions(m);
		return;
	}
	fg_quota_answer(m->quota, s->now, msg->from_id, &msg->ask, &out.reply);
	out.from = msg->to;
	out.to = msg->from;
	out.from_id = msg->to_id;
	out.to_id = msg->from_id;
	post(s, &out);
}

/* ---- Instances ---- */

static void apply_limits(struct machine *m)
{
	for (uint32_t w = 0; w < WORKSPACES; w++)
		fg_quota_set_limit(m->quota, m->sim->now, workspace_id(w),
				   &m->limit[w]);
	fg_quota_end_limits(m->quota, m->sim->now);
}

static void start(struct sim *s, uint32_t i, fg_ms at)
{
	static const struct fg_quota_ops ops = { on_send };
	struct fg_quota_conf conf = {
		.self_hash = name_hash(s, i),
		.initial_permille = s->full_start ? 1000 : 100,
		.initial_tokens = s->full_start ? 0 : (uint32_t)SLACK / 8,
	};
	struct machine *m = &s->m[i];

	*m = (struct machine){ .sim = s, .index = i, .up_at = at };
	m->incarnation = conf.self = ++s->next_incarnation;
	m->listed_at = at + 50 + below(s, 500);
	m->quota = fg_quota_new(&conf, &ops, m);
	for (guint k = 0; k < s->gone->len && !s->keeps_rows; k++)
		g_array_index(s->gone, struct departed, k).listed_until[i] = 0;
	memcpy(m->limit, s->limit, sizeof(m->limit));
	apply_limits(m);
}

static void kill_machine(struct sim *s, uint32_t i, fg_ms down_ms)
{
	fg_quota_free(s->m[i].quota);
	s->m[i].quota = NULL;
	s->m[i].stop_at = 0;
	s->m[i].up_at = s->now + down_ms;
}

static bool runs(const struct machine *m)
{
	return m->quota != NULL && m->sim->now >= m->up_at &&
	       m->sim->now >= m->frozen_until;
}

/* The end of a planned stop, after which the machine's row is removed. */
static void leave_for_good(struct sim *s, uint32_t i)
{
	struct departed d = { .id = s->m[i].incarnation,
			      .hash = name_hash(s, i) };

	for (uint32_t j = 0; j < s->n; j++) {
		struct machine *m = &s->m[j];

		if (m->heard_id[i] == d.id) {
			d.heard_at[j] = m->heard_at[i];
			d.heard_leaving[j] = m->heard_leaving[i];
		}
		m->heard_id[i] = 0;
		m->heard_at[i] = 0;
		d.listed_until[j] = s->keeps_rows
					    ? FG_MS_NEVER
					    : s->now + 20 + below(s, 2000);
	}
	g_array_append_val(s->gone, d);
	s->has_left[i] = true;
	kill_machine(s, i, 300 + below(s, 2000));
	s->m[i].incarnation = 0;
}

static uint32_t list_gone(const struct machine *m, struct fg_quota_member *list)
{
	const struct sim *s = m->sim;
	uint32_t n = 0;

	for (guint k = 0; k < s->gone->len; k++) {
		const struct departed *d =
			&g_array_index(s->gone, struct departed, k);

		if (s->now >= d->listed_until[m->index])
			continue;
		list[n++] = (struct fg_quota_member){
			.id = d->id,
			.hash = d->hash,
			.alive = d->heard_at[m->index] != 0 &&
				 s->now - d->heard_at[m->index] < ALIVE_MS &&
				 !d->heard_leaving[m->index],
		};
	}
	return n;
}

static void hear(struct machine *m, const struct machine *from)
{
	m->heard_id[from->index] = from->incarnation;
	m->heard_at[from->index] = m->sim->now;
	m->heard_leaving[from->index] = from->stop_at != 0;
}

static void tick(struct sim *s, struct machine *m)
{
	struct fg_quota_member list[2 * MACHINES_MAX];
	uint32_t n = list_gone(m, list);

	for (uint32_t i = 0; i < s->n; i++) {
		if (i == m->index)
			continue;
		/* Rows name an instance before its first heartbeat. */
		if (m->heard_id[i] == 0 && s->m[i].incarnation != 0 &&
		    s->now >= m->listed_at)
			m->heard_id[i] = s->m[i].incarnation;
		if (m->heard_id[i] == 0)
			continue;
		list[n++] = (struct fg_quota_member){
			.id = m->heard_id[i],
			.hash = name_hash(s, i),
			.alive = m->heard_at[i] != 0 &&
				 s->now - m->heard_at[i] < ALIVE_MS &&
				 !m->heard_leaving[i],
		};
	}
	fg_quota_set_members(m->quota, s->now, list, n, s->now >= m->listed_at);
	fg_quota_tick(m->quota, s->now);
}

static void step_machine(struct sim *s, struct machine *m)
{
	bool changed = false;

	if (m->quota == NULL && s->now >= m->up_at)
		start(s, m->index, s->now);
	if (m->quota == NULL)
		return;
	if (m->stop_at != 0 && s->now >= m->stop_at) {
		if (s->replaces && !s->has_left[m->index])
			leave_for_good(s, m->index);
		else
			kill_machine(s, m->index, 300 + below(s, 2000));
		return;
	}
	if (!runs(m))
		return;
	for (uint32_t w = 0; w < WORKSPACES; w++) {
		if (m->limit_at[w] == 0 || s->now < m->limit_at[w])
			continue;
		m->limit_at[w] = 0;
		m->limit[w] = s->limit[w];
		changed = true;
	}
	if (changed)
		apply_limits(m);
	if ((s->now / STEP_MS + m->index) % (HEARTBEAT_MS / STEP_MS) == 0) {
		for (uint32_t i = 0; i < s->n; i++) {
			if (i != m->index && runs(&s->m[i]) &&
			    s->now >= s->cut_until[m->index][i] &&
			    !percent(s, s->now < s->loss_until ? s->loss_percent
							       : 1))
				hear(&s->m[i], m);
		}
	}
	if ((s->now / STEP_MS + m->index) % (TICK_MS / STEP_MS) == 0)
		tick(s, m);
	else if (fg_quota_next_due(m->quota) <= s->now)
		fg_quota_tick(m->quota, s->now);
	apply_decisions(m);
}

/* ---- Callers ---- */

static void new_load(struct sim *s, uint32_t w)
{
	static const double factors[] = { 0.3, 0.7, 0.9, 0.9, 1.2, 2, 7, 7 };
	struct load *l = &s->load[w];

	l->until = s->now + 1000 + below(s, 6000);
	l->machine = percent(s, 40) ? (uint32_t)below(s, s->n) : MACHINES_MAX;
	l->bursts = percent(s, 30);
	l->factor = factors[below(s, G_N_ELEMENTS(factors))];
	l->give_back_percent = percent(s, 20) ? 30 : 1;
}

static uint32_t new_size(struct sim *s)
{
	return 200 +
	       (uint32_t)(percent(s, 30) ? below(s, 9800) : below(s, 2000));
}

static void arrive(struct sim *s, uint32_t w, uint32_t tokens)
{
	const struct load *l = &s->load[w];
	uint32_t i = l->machine < s->n ? l->machine : (uint32_t)below(s, s->n);
	struct machine *m = &s->m[i];
	struct request r = { .at = s->now,
			     .machine = i,
			     .incarnation = m->incarnation,
			     .workspace = w,
			     .tokens = tokens };
	struct request *added;
	enum fg_quota_verdict verdict;
	uint64_t id;
	uint32_t retry_ms;

	/* Without an instance there is no arrival. */
	if (!runs(m))
		return;
	if (s->ideal_level[w] >= MIN((double)tokens, s->ideal[w].burst)) {
		s->ideal_level[w] -= tokens;
		r.by_ideal = true;
		r.within_limit = s->now - s->ideal_refused_at[w] >= WITHIN_MS;
	} else {
		s->ideal_refused_at[w] = s->now;
	}
	if (percent(s, l->give_back_percent))
		r.back_at = s->now + 5 + below(s, 3000);
	g_array_append_val(s->requests, r);
	id = s->requests->len;
	if (r.back_at != 0) {
		guint index = (guint)id - 1;

		g_array_append_val(s->backs, index);
	}
	verdict = fg_quota_take(m->quota, s->now, workspace_id(w), tokens, id,
				&retry_ms);
	added = &g_array_index(s->requests, struct request, id - 1);
	note_verdict(s, w, verdict);
	if (verdict == FG_QUOTA_ADMITTED)
		added->admitted = true;
	apply_decisions(m);
}

static void load_step(struct sim *s, uint32_t w)
{
	struct load *l = &s->load[w];
	const struct fg_quota_limit *limit = &s->ideal[w];

	s->ideal_level[w] =
		MIN(s->ideal_level[w] + limit->rate_per_s * STEP_MS / 1000,
		    limit->burst);
	if (s->now >= l->until)
		new_load(s, w);
	l->due += l->factor * limit->rate_per_s * STEP_MS / 1000;
	if (l->bursts && s->now % 2000 > 50)
		return;
	if (l->next_tokens == 0)
		l->next_tokens = new_size(s);
	while (l->due >= l->next_tokens) {
		l->due -= l->next_tokens;
		arrive(s, w, l->next_tokens);
		l->next_tokens = new_size(s);
	}
}

static void give_back(struct sim *s)
{
	for (guint i = s->backs->len; i > 0; i--) {
		guint index = g_array_index(s->backs, guint, i - 1);
		struct request *r =
			&g_array_index(s->requests, struct request, index);
		struct machine *m = &s->m[r->machine];

		if (s->now < r->back_at)
			continue;
		g_array_remove_index_fast(s->backs, i - 1);
		if (!r->admitted || !runs(m) ||
		    m->incarnation != r->incarnation)
			continue;
		r->admitted = false;
		fg_quota_give_back(m->quota, s->now, workspace_id(r->workspace),
				   r->tokens);
	}
}

/* ---- Troubles ---- */

static void note(const struct sim *s, const char *what, uint32_t i, fg_ms ms)
{
	if (s->print)
		g_test_message("%d: %s %u for %d ms", (int)(s->now - START_MS),
			       what, i, (int)ms);
}

static void cut(struct sim *s, uint32_t a, uint32_t b, fg_ms until)
{
	s->cut_until[a][b] = s->cut_until[b][a] = until;
}

static void cut_group(struct sim *s, uint32_t size, fg_ms ms)
{
	uint32_t first = (uint32_t)below(s, s->n);

	note(s, "cut of a group", size, ms);
	for (uint32_t k = 0; k < size; k++) {
		for (uint32_t j = size; j < s->n; j++)
			cut(s, (first + k) % s->n, (first + j) % s->n,
			    s->now + ms);
	}
}

static void change_limit(struct sim *s)
{
	static const double factors[] = { 0.1, 0.5, 2, 1 };
	uint32_t w = (uint32_t)below(s, WORKSPACES);
	/* 4,200 a second is the lowest rate. */
	double base = w < 2 ? 42000 : 135000;

	s->limit[w].rate_per_s =
		base * factors[below(s, G_N_ELEMENTS(factors))];
	s->limit[w].burst = s->limit[w].rate_per_s;
	s->ideal[w] = s->limit[w];
	note(s, "limit of", w, (fg_ms)s->limit[w].rate_per_s);
	for (uint32_t i = 0; i < s->n; i++)
		s->m[i].limit_at[w] = s->now + 50 + below(s, 5000);
}

static void stop_machine(struct sim *s, uint32_t i)
{
	if (s->m[i].quota == NULL || s->m[i].stop_at != 0)
		return;
	note(s, "stop of", i, STOP_MS);
	s->m[i].stop_at = s->now + STOP_MS;
	fg_quota_leave(s->m[i].quota);
}

static void replace_machines(struct sim *s)
{
	for (uint32_t i = 0; i < s->n; i++) {
		if (!s->has_left[i] && s->now >= s->leave_at[i])
			stop_machine(s, i);
	}
}

static void make_trouble(struct sim *s)
{
	uint32_t i = (uint32_t)below(s, s->n);
	struct machine *m = &s->m[i];
	uint32_t kind;
	fg_ms ms;

	if (fg_rand_below(&s->rand, 500 * s->calmness / STEP_MS) != 0)
		return;
	kind = (uint32_t)below(s, 11);
	if ((s->kinds >> kind & 1) == 0)
		return;
	switch (kind) {
	case 0:
	case 1:
		if (m->quota != NULL)
			kill_machine(s, i, 200 + below(s, 3000));
		note(s, "kill of", i, 0);
		break;
	case 2:
		if (!percent(s, 30))
			break;
		note(s, "kill of all", 0, 0);
		for (i = 0; i < s->n; i++) {
			if (s->m[i].quota != NULL)
				kill_machine(s, i, 500 + below(s, 300));
		}
		break;
	case 3:
	case 4:
		ms = 50 + below(s, percent(s, 50) ? 500 : 4000);
		m->frozen_until = s->now + ms;
		note(s, "freeze of", i, ms);
		break;
	case 5:
		cut_group(s, 1, 200 + below(s, 5000));
		break;
	case 6:
		cut_group(s, 1 + (uint32_t)below(s, s->n - 1),
			  200 + below(s, 12000));
		break;
	case 7:
		s->loss_percent = 10 + (uint32_t)below(s, 60);
		s->loss_until = s->now + 500 + below(s, 3000);
		note(s, "loss of percent", s->loss_percent,
		     s->loss_until - s->now);
		break;
	case 8:
		stop_machine(s, i);
		break;
	case 9:
		change_limit(s);
		break;
	default:
		ms = 200 + below(s, 4000);
		note(s, "cut of a pair with", i, ms);
		cut(s, i, (i + 1) % s->n, s->now + ms);
		break;
	}
}

/* ---- Judge ---- */

static double bound(const struct sim *s, uint32_t w, fg_ms from, fg_ms to)
{
	double rate = 0;
	double burst = 0;

	for (fg_ms t = MAX(from, START_MS); t <= to; t += STEP_MS) {
		const struct fg_quota_limit *l =
			&g_array_index(s->highest[w], struct fg_quota_limit,
				       (t - START_MS) / STEP_MS);

		rate = MAX(rate, l->rate_per_s);
		burst = MAX(burst, l->burst);
	}
	return (rate * WINDOW_MS / 1000 + burst) * (1 + EXCESS) + SLACK;
}

static void judge(const struct sim *s, uint32_t w, struct result *result)
{
	double sum = 0;
	guint first = 0;
	bool broken = false;

	for (guint i = 0; i < s->requests->len; i++) {
		const struct request *r =
			&g_array_index(s->requests, struct request, i);
		const struct request *f =
			&g_array_index(s->requests, struct request, first);
		double most;

		if (r->workspace != w)
			continue;
		if (r->by_ideal)
			result->ideal_tokens += r->tokens;
		if (r->within_limit && r->back_at == 0) {
			result->within_tokens += r->tokens;
			result->refused_tokens += r->admitted ? 0 : r->tokens;
		}
		if (!r->admitted)
			continue;
		result->tokens += r->tokens;
		sum += r->tokens;
		while (f->at <= r->at - WINDOW_MS) {
			if (f->workspace == w && f->admitted)
				sum -= f->tokens;
			f = &g_array_index(s->requests, struct request,
					   ++first);
		}
		if (sum <= SLACK)
			continue;
		if (i + 1 < s->requests->len && f->at == r->at)
			continue;
		most = bound(s, w, r->at - WINDOW_MS + STEP_MS, r->at);
		result->worst = MAX(result->worst, sum / most);
		if (sum > most && !broken) {
			broken = true;
			if (s->print)
				g_test_message("workspace %u: %.0f of %.0f at "
					       "%d",
					       w, sum, most,
					       (int)(r->at - START_MS));
		}
	}
	result->n_broken += broken ? 1 : 0;
}

static void note_limits(struct sim *s)
{
	for (uint32_t w = 0; w < WORKSPACES; w++) {
		struct fg_quota_limit most = { 0 };

		for (uint32_t i = 0; i < s->n; i++) {
			if (s->m[i].quota == NULL)
				continue;
			most.rate_per_s = MAX(most.rate_per_s,
					      s->m[i].limit[w].rate_per_s);
			most.burst = MAX(most.burst, s->m[i].limit[w].burst);
		}
		g_array_append_val(s->highest[w], most);
	}
}

struct options {
	uint32_t kinds;
	bool full_start;
	bool replaces;
	bool keeps_rows;
	bool print;
};

static void run_schedule(uint64_t seed, struct options o, struct result *result)
{
	static const double rates[WORKSPACES] = { 4200, 30000, 270000 };
	struct sim *s = g_new0(struct sim, 1);
	fg_ms length_ms = o.replaces ? LENGTH_REPLACED_MS : LENGTH_MS;

	fg_rand_seed(&s->rand, seed);
	s->n = 3 + (uint32_t)(seed % (MACHINES_MAX - 2));
	s->calmness = 1 + (uint32_t)(seed / 7 % 6);
	s->kinds = o.kinds;
	s->full_start = o.full_start;
	s->print = o.print;
	s->replaces = o.replaces;
	s->keeps_rows = o.keeps_rows;
	s->gone = g_array_new(FALSE, FALSE, sizeof(struct departed));
	s->requests = g_array_new(FALSE, FALSE, sizeof(struct request));
	s->backs = g_array_new(FALSE, FALSE, sizeof(guint));
	for (uint32_t i = 0; i < SLOTS; i++)
		s->slots[i] = g_array_new(FALSE, FALSE, sizeof(struct message));
	s->now = START_MS;
	for (uint32_t w = 0; w < WORKSPACES; w++) {
		s->limit[w] = (struct fg_quota_limit){ rates[w], rates[w] };
		s->ideal[w] = s->limit[w];
		s->ideal_level[w] = rates[w];
		s->ideal_refused_at[w] = s->now;
		s->highest[w] = g_array_new(FALSE, FALSE,
					    sizeof(struct fg_quota_limit));
	}
	for (uint32_t i = 0; i < s->n; i++)
		start(s, i, s->now);
	for (uint32_t i = 0; i < s->n && s->replaces; i++)
		s->leave_at[i] = START_MS + 1000 + below(s, REPLACED_MS - 1000);
	for (; s->now < START_MS + length_ms; s->now += STEP_MS) {
		GArray *slot = s->slots[s->now / STEP_MS % SLOTS];

		note_limits(s);
		if (s->now > START_MS + 2000 &&
		    (!s->replaces || s->now < START_MS + REPLACED_MS))
			make_trouble(s);
		if (s->replaces)
			replace_machines(s);
		for (guint i = 0; i < slot->len; i++) {
			struct message msg =
				g_array_index(slot, struct message, i);

			deliver(s, &msg);
		}
		g_array_set_size(slot, 0);
		/* After a freeze, requests are read before the first tick. */
		for (uint32_t w = 0; w < WORKSPACES; w++)
			load_step(s, w);
		give_back(s);
		for (uint32_t i = 0; i < s->n; i++)
			step_machine(s, &s->m[i]);
	}
	for (uint32_t w = 0; w < WORKSPACES; w++) {
		judge(s, w, result);
		g_array_unref(s->highest[w]);
	}
	for (uint32_t i = 0; i < s->n; i++)
		fg_quota_free(s->m[i].quota);
	for (uint32_t i = 0; i < SLOTS; i++)
		g_array_unref(s->slots[i]);
	result->longest_unknown_ms = s->longest_unknown_ms;
	g_array_unref(s->gone);
	g_array_unref(s->requests);
	g_array_unref(s->backs);
	g_free(s);
}

static uint32_t run_all(uint64_t first, uint64_t n, struct options o)
{
	struct result total = { 0 };
	uint32_t n_broken = 0;
	uint32_t n_without_holder = 0;

	for (uint64_t seed = first; seed < first + n; seed++) {
		struct result r = { 0 };

		run_schedule(seed, o, &r);
		total.ideal_tokens += r.ideal_tokens;
		total.tokens += r.tokens;
		total.within_tokens += r.within_tokens;
		total.refused_tokens += r.refused_tokens;
		total.worst = MAX(total.worst, r.worst);
		total.longest_unknown_ms =
			MAX(total.longest_unknown_ms, r.longest_unknown_ms);
		n_without_holder +=
			r.longest_unknown_ms > UNKNOWN_MAX_MS ? 1 : 0;
		n_broken += r.n_broken > 0 ? 1 : 0;
		if (r.n_broken > 0 && !o.full_start)
			g_test_message("seed %d broken: %.3f of the bound",
				       (int)seed, r.worst);
	}
	g_test_message("%d schedules, %u broken, worst %.3f of the bound; "
		       "admitted %.4f of an ideal bucket's tokens, refused "
		       "%.4f of load within the limit",
		       (int)n, n_broken, total.worst,
		       total.tokens / total.ideal_tokens,
		       total.refused_tokens / total.within_tokens);
	if (!o.replaces)
		return n_broken;
	g_test_message("in %u schedules, a workspace has no holder at the end; "
		       "the longest time without one is %d ms",
		       n_without_holder, (int)total.longest_unknown_ms);
	return n_broken + n_without_holder;
}

static void test_calm(void)
{
	g_assert_cmpuint(run_all(1, 20, (struct options){ 0 }), ==, 0);
}

static void run_or_fail(uint32_t kinds)
{
	struct options o = {
		.kinds = (uint32_t)sim_env_number("FG_QUOTA_KINDS", kinds),
		.print = sim_env_number("FG_QUOTA_PRINT", 0) > 0,
	};

	if (run_all(sim_env_number("FG_QUOTA_SEED", 1),
		    sim_env_number("FG_QUOTA_SCHEDULES", 150), o) > 0)
		g_test_fail();
}

/* Kills, freezes, stops and changes of the limit, with 1 % lost, 3 % late and
 * 2 % repeated messages. */
static void test_bound_holds(void)
{
	run_or_fail(KINDS_UNCUT);
}

/* These and cuts of one instance, of groups and of a pair that others still
 * hear, and times with up to 70 % lost messages. */
static void test_bound_holds_in_cuts(void)
{
	run_or_fail(KINDS_ALL);
}

/* Each machine leaves in an orderly way, and one of another name comes. At the
 * end, workspaces have holders. */
static void test_replacements(void)
{
	struct options o = { .kinds = KINDS_UNCUT, .replaces = true };

	g_assert_cmpuint(run_all(sim_env_number("FG_QUOTA_SEED", 1),
				 sim_env_number("FG_QUOTA_SCHEDULES", 150), o),
			 ==, 0);
}

/* The judge notices rows that stay. */
static void test_replacements_need_removal(void)
{
	struct options o = { .replaces = true, .keeps_rows = true };

	g_assert_cmpuint(run_all(1, 20, o), ==, 20);
}

/* The judge notices accounts that start with a full burst. */
static void test_bound_needs_empty_start(void)
{
	struct options o = { .kinds = KINDS_UNCUT, .full_start = true };

	g_assert_cmpuint(run_all(1, 300, o), >, 5);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/quota_sim/calm", test_calm);
	g_test_add_func("/quota_sim/bound_holds", test_bound_holds);
	g_test_add_func("/quota_sim/bound_holds_in_cuts",
			test_bound_holds_in_cuts);
	g_test_add_func("/quota_sim/replacements", test_replacements);
	g_test_add_func("/quota_sim/replacements_need_removal",
			test_replacements_need_removal);
	g_test_add_func("/quota_sim/bound_needs_empty_start",
			test_bound_needs_empty_start);
	return g_test_run();
}
