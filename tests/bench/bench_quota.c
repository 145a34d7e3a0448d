/*
 * bench_quota - cost of limits (lib/quota) per call, and four ways to keep a
 * limit over all instances compared, for docs/design/quotas.md.
 *
 * The comparison runs in virtual time with a one-way latency of 10 ms and no
 * loss. The chosen way and the mixture run lib/quota at each instance; fixed
 * and announced shares are modelled here.
 */
#include <math.h>

#include "base/fg_rand.h"
#include "quota/fg_quota.h"
#include "slopes.h"

#define INSTANCES 600
#define CALLS 20000

/* ---- Cost per call ---- */

static void drop_ask(void *ctx, uint64_t to, const struct fg_quota_ask *ask)
{
	(void)ctx;
	(void)to;
	(void)ask;
}

enum {
	Q_HEAP,
	Q_TAKE,
	Q_ANSWER,
	Q_TICK,
	Q_DUE,
	Q_MEMBERS,
	Q_SERIES
};

static void measure(struct series *s, int idx, int n_workspaces)
{
	const struct fg_quota_ops ops = { drop_ask };
	struct fg_quota_conf conf = { 1, 1, 100, 2125 };
	struct fg_quota_limit limit = { 1e9, 1e9 };
	struct fg_quota_member *members =
		g_new0(struct fg_quota_member, INSTANCES - 1);
	fg_ms now = 100000;
	struct fg_quota *q;
	double heap = slopes_heap_bytes();
	double start;
	uint32_t retry_ms;

	q = fg_quota_new(&conf, &ops, NULL);
	for (uint32_t i = 0; i < INSTANCES - 1; i++)
		members[i] =
			(struct fg_quota_member){ i + 2, fg_hash_mix(5, i + 2),
						  true };
	for (int i = 0; i < n_workspaces; i++)
		fg_quota_set_limit(q, now, fg_hash_mix(9, (uint64_t)i), &limit);
	fg_quota_end_limits(q, now);
	fg_quota_set_members(q, now, members, INSTANCES - 1, true);
	s[Q_HEAP].y[idx] = slopes_heap_bytes() - heap;
	for (int round = 0; round < 2; round++) {
		start = slopes_cpu_us(CLOCK_THREAD_CPUTIME_ID);
		for (int i = 0; i < CALLS; i++) {
			uint64_t w = fg_hash_mix(9, (uint64_t)(i % 1000));

			if (fg_quota_take(q, now, w, 1000, 1, &retry_ms) ==
			    FG_QUOTA_WAITING)
				fg_quota_cancel(q, now, w, 1);
		}
		s[Q_TAKE].y[idx] =
			(slopes_cpu_us(CLOCK_THREAD_CPUTIME_ID) - start) /
			CALLS;
	}
	start = slopes_cpu_us(CLOCK_THREAD_CPUTIME_ID);
	for (int i = 0; i < CALLS; i++) {
		struct fg_quota_ask ask = {
			(uint32_t)i + 1, fg_hash_mix(9, (uint64_t)(i % 1000)),
			100, 100, 0
		};
		struct fg_quota_reply reply;

		fg_quota_answer(q, now, members[i % 100].id, &ask, &reply);
	}
	s[Q_ANSWER].y[idx] =
		(slopes_cpu_us(CLOCK_THREAD_CPUTIME_ID) - start) / CALLS;
	now += 200;
	fg_quota_tick(q, now);
	now += 2000;
	fg_quota_set_members(q, now, members, INSTANCES - 1, true);
	fg_quota_tick(q, now);
	start = slopes_cpu_us(CLOCK_THREAD_CPUTIME_ID);
	for (int i = 0; i < 100; i++)
		fg_quota_tick(q, now);
	s[Q_TICK].y[idx] =
		(slopes_cpu_us(CLOCK_THREAD_CPUTIME_ID) - start) / 100;
	start = slopes_cpu_us(CLOCK_THREAD_CPUTIME_ID);
	for (int i = 0; i < 100; i++)
		fg_quota_next_due(q);
	s[Q_DUE].y[idx] =
		(slopes_cpu_us(CLOCK_THREAD_CPUTIME_ID) - start) / 100;
	start = slopes_cpu_us(CLOCK_THREAD_CPUTIME_ID);
	for (int i = 0; i < 100; i++)
		fg_quota_set_members(q, now, members, INSTANCES - 1, true);
	s[Q_MEMBERS].y[idx] =
		(slopes_cpu_us(CLOCK_THREAD_CPUTIME_ID) - start) / 100;
	fg_quota_free(q);
	g_free(members);
}

static void bench_calls(void)
{
	static const int sizes[SIZES] = { 16, 1000, 5000, 10000 };
	struct series s[Q_SERIES] = {
		[Q_HEAP] = { .name = "heap", .unit = "B" },
		[Q_TAKE] = { .name = "fg_quota_take", .unit = "us" },
		[Q_ANSWER] = { .name = "fg_quota_answer", .unit = "us" },
		[Q_TICK] = { .name = "fg_quota_tick, idle", .unit = "us" },
		[Q_DUE] = { .name = "fg_quota_next_due, idle", .unit = "us" },
		[Q_MEMBERS] = { .name = "fg_quota_set_members", .unit = "us" },
	};
	double x[SIZES];

	for (int i = 0; i < SIZES; i++) {
		x[i] = sizes[i];
		measure(s, i, sizes[i]);
	}
	slopes_print_header("quota, 600 instances", "workspaces", x);
	for (int i = 0; i < Q_SERIES; i++)
		slopes_print_series("workspaces", x, &s[i]);
}

/* ---- Comparison ---- */

#define RATE 270000.0
#define TOKENS 1500u
#define STEP_MS 10
#define WARMUP_MS 10000
#define RUN_MS 8000
#define ANNOUNCE_MS 550 /* mean interval of heartbeats */
#define HALF_LIFE_MS 700.0
/* UDP, header of the mesh and body of both messages, in bytes. */
#define ASK_AND_REPLY_BYTES (2 * (28 + 32) + 24 + 28)
/* Workspace and demand in each heartbeat to each instance. */
#define ANNOUNCE_BYTES 12

enum way {
	FIXED,
	ANNOUNCED,
	CHOSEN,
	MIXED,
	WAYS
};
enum pattern {
	ONE,
	ALL,
	BURSTS,
	SIX,
	PATTERNS
};

struct envelope {
	fg_ms at;
	uint32_t from;
	uint32_t to;
	bool is_reply;
	struct fg_quota_ask ask;
	struct fg_quota_reply reply;
};

struct node {
	struct compare *c;
	uint32_t index;
	struct fg_quota *quota;
	double level; /* of its own share */
	double demand_per_s;
	double announced_per_s;
};

struct compare {
	fg_ms now;
	uint32_t n;
	struct node *nodes;
	GQueue mail;
	uint64_t messages;
	double admitted;
	double cpu_us;
};

static void mail(struct compare *c, struct envelope e)
{
	e.at = c->now + 10;
	c->messages++;
	g_queue_push_tail(&c->mail, g_memdup2(&e, sizeof(e)));
}

static void on_ask(void *ctx, uint64_t to, const struct fg_quota_ask *ask)
{
	struct node *m = ctx;

	mail(m->c, (struct envelope){ .from = m->index,
				      .to = (uint32_t)to - 1,
				      .ask = *ask });
}

static void apply_decisions(struct node *m)
{
	struct fg_quota_decision d;

	while (fg_quota_next_decision(m->quota, &d)) {
		if (d.verdict == FG_QUOTA_ADMITTED)
			m->c->admitted += TOKENS;
	}
}

static void deliver(struct compare *c)
{
	struct envelope *e = g_queue_peek_head(&c->mail);

	while (e != NULL && e->at <= c->now) {
		struct fg_quota *q = c->nodes[e->to].quota;

		g_queue_pop_head(&c->mail);
		if (e->is_reply) {
			fg_quota_on_reply(q, c->now, e->from + 1, &e->reply);
			apply_decisions(&c->nodes[e->to]);
		} else {
			struct envelope out = { .from = e->to,
						.to = e->from,
						.is_reply = true };

			fg_quota_answer(q, c->now, e->from + 1, &e->ask,
					&out.reply);
			mail(c, out);
		}
		g_free(e);
		e = g_queue_peek_head(&c->mail);
	}
}

static bool take_level(struct node *m, double burst)
{
	/* Oversized requests leave a debt. */
	if (m->level < MIN((double)TOKENS, burst))
		return false;
	m->level -= TOKENS;
	return true;
}

static void arrive(struct compare *c, enum way way, struct node *m)
{
	uint32_t retry_ms;
	bool admitted = false;

	m->demand_per_s += TOKENS * G_LN2 / HALF_LIFE_MS * 1000;
	if (way == FIXED || way == MIXED)
		admitted = take_level(m, RATE / c->n * (way == MIXED ? .5 : 1));
	else if (way == ANNOUNCED)
		admitted = take_level(m, RATE);
	if (!admitted && m->quota != NULL)
		admitted = fg_quota_take(m->quota, c->now, 7, TOKENS, 1,
					 &retry_ms) == FG_QUOTA_ADMITTED;
	if (admitted)
		c->admitted += TOKENS;
	if (m->quota != NULL)
		apply_decisions(m);
}

static void step_node(struct compare *c, enum way way, struct node *m,
		      double sum)
{
	double s = STEP_MS / 1000.0;
	double part = 1.0 / c->n;

	if (way == ANNOUNCED)
		part = sum > 0 ? m->announced_per_s / sum : part;
	if (way == MIXED)
		part /= 2;
	/* A share that was announced away keeps no burst. */
	m->level = MIN(m->level + RATE * part * s, RATE * part);
	m->demand_per_s *= exp2(-STEP_MS / HALF_LIFE_MS);
	if ((c->now / STEP_MS + m->index) % (ANNOUNCE_MS / STEP_MS) == 0)
		m->announced_per_s = m->demand_per_s;
	if (m->quota == NULL)
		return;
	if (fg_quota_next_due(m->quota) <= c->now)
		fg_quota_tick(m->quota, c->now);
	apply_decisions(m);
}

static void set_up(struct compare *c, enum way way, uint32_t n)
{
	const struct fg_quota_ops ops = { on_ask };
	double rate = way == MIXED ? RATE / 2 : RATE;
	struct fg_quota_limit limit = { rate, rate };

	c->n = n;
	c->now = 100000;
	c->nodes = g_new0(struct node, n);
	for (uint32_t i = 0; i < n; i++) {
		struct fg_quota_conf conf = { i + 1, fg_hash_mix(5, i), 100,
					      2125 };

		c->nodes[i] = (struct node){ .c = c, .index = i };
		if (way == FIXED || way == ANNOUNCED)
			continue;
		c->nodes[i].quota = fg_quota_new(&conf, &ops, &c->nodes[i]);
		fg_quota_set_limit(c->nodes[i].quota, c->now, 7, &limit);
		fg_quota_end_limits(c->nodes[i].quota, c->now);
	}
}

static void set_members(struct compare *c)
{
	struct fg_quota_member *all = g_new(struct fg_quota_member, c->n);

	for (uint32_t i = 0; i < c->n; i++) {
		uint32_t n = 0;

		for (uint32_t j = 0; j < c->n; j++) {
			if (j != i)
				all[n++] = (struct fg_quota_member){
					j + 1, fg_hash_mix(5, j), true
				};
		}
		if (c->nodes[i].quota != NULL)
			fg_quota_set_members(c->nodes[i].quota, c->now, all, n,
					     true);
	}
	g_free(all);
}

/* Tokens that arrive in a step. */
static double arrivals(enum pattern pattern, fg_ms at)
{
	double usual = 0.9 * RATE * STEP_MS / 1000;

	if (pattern == BURSTS)
		return at % 1000 < 100 ? usual * 10 : 0;
	return pattern == SIX ? 6 * usual : usual;
}

static void compare(enum way way, enum pattern pattern, uint32_t n)
{
	static const char *const ways[] = { "fixed", "announced", "chosen",
					    "mixed" };
	static const char *const patterns[] = { "one", "all", "bursts", "six" };
	struct compare c = { 0 };
	struct fg_rand rand;
	double due = 0, ideal = 0, level = 0, bytes;

	fg_rand_seed(&rand, 1);
	set_up(&c, way, n);
	for (fg_ms at = 0; at < WARMUP_MS + RUN_MS; at += STEP_MS) {
		double sum = 0;
		double start;

		if (at % 400 == 0)
			set_members(&c);
		if (at == WARMUP_MS) {
			c.admitted = ideal = c.cpu_us = 0;
			c.messages = 0;
		}
		start = slopes_cpu_us(CLOCK_THREAD_CPUTIME_ID);
		deliver(&c);
		for (uint32_t i = 0; i < n; i++)
			sum += c.nodes[i].announced_per_s;
		for (uint32_t i = 0; i < n; i++)
			step_node(&c, way, &c.nodes[i], sum);
		level = MIN(level + RATE * STEP_MS / 1000, RATE);
		for (due += arrivals(pattern, at); due >= TOKENS;
		     due -= TOKENS) {
			uint32_t i =
				pattern == ONE
					? 3
					: (uint32_t)fg_rand_below(&rand, n);

			arrive(&c, way, &c.nodes[i]);
			if (level >= TOKENS) {
				level -= TOKENS;
				ideal += TOKENS;
			}
		}
		c.cpu_us += slopes_cpu_us(CLOCK_THREAD_CPUTIME_ID) - start;
		c.now += STEP_MS;
	}
	bytes = (double)c.messages / 2 * ASK_AND_REPLY_BYTES / n;
	if (way == ANNOUNCED)
		bytes = (double)(n - 1) * ANNOUNCE_BYTES * RUN_MS / ANNOUNCE_MS;
	g_print("%-9s %-6s %4u  %8.0f %9.0f %7.1f %8.1f\n", ways[way],
		patterns[pattern], n, c.admitted / 1000,
		(c.admitted - ideal) / 1000, bytes / (RUN_MS / 1000.0),
		c.cpu_us / n / (RUN_MS / 1000.0));
	for (uint32_t i = 0; i < n; i++)
		fg_quota_free(c.nodes[i].quota);
	g_queue_clear_full(&c.mail, g_free);
	g_free(c.nodes);
}

int main(void)
{
	static const uint32_t sizes[] = { 68, 195, 600 };

	bench_calls();
	g_print("\nOne workspace, 270,000 tokens a second, 8 s: thousands of "
		"tokens admitted,\nand more than an ideal bucket; bytes a "
		"second and us a second per instance\n");
	for (enum pattern p = ONE; p < PATTERNS; p++) {
		for (int i = 0; i < 3; i++) {
			for (enum way way = FIXED; way < WAYS; way++)
				compare(way, p, sizes[i]);
		}
	}
	return 0;
}
