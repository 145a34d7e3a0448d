/* Seeded interleavings of confsync instances; FG_SEED and FG_RUNS choose the
 * first seed and how many. */
#include <stdlib.h>
#include <string.h>

#include "confsync_sim.h"

/* ---- Interleavings ---- */

static void random_fault(struct sim *m)
{
	size_t i = fg_rand_below(&m->r, m->n);
	size_t j = fg_rand_below(&m->r, m->n);

	switch (fg_rand_below(&m->r, 10)) {
	case 0:
	case 1:
		m->outage = !m->outage;
		break;
	case 2:
		m->node[i].cut_platform = !m->node[i].cut_platform;
		break;
	case 3:
	case 4:
		m->node[i].cut[j] = !m->node[i].cut[j];
		m->node[j].cut[i] = m->node[i].cut[j];
		break;
	case 5:
		m->conf.lost_percent = (uint32_t)fg_rand_below(&m->r, 40);
		break;
	case 6:
		m->conf.drop_percent = (uint32_t)fg_rand_below(&m->r, 40);
		break;
	case 7:
		m->conf.table_max_ms = 5 + (uint32_t)fg_rand_below(&m->r, 800);
		break;
	case 8:
		if (m->node[i].up)
			m->node[i].paused_until =
				m->now + (fg_ms)fg_rand_below(&m->r, 3000);
		break;
	default:
		sim_heal(m);
		break;
	}
}

/* A crash ends the changes that wait at the instance without an answer. */
static void crash(struct sim *m, size_t i, GPtrArray *at)
{
	if (!m->node[i].up)
		return;
	sim_crash(m, i);
	for (guint k = 0; k < m->changes->len; k++) {
		struct sim_change *ch = m->changes->pdata[k];

		if (ch->answered || GPOINTER_TO_SIZE(at->pdata[k]) != i)
			continue;
		ch->answered = true;
		ch->status = FG_CHANGE_UNKNOWN;
	}
}

static void random_step(struct sim *m, GPtrArray *at)
{
	size_t i = fg_rand_below(&m->r, m->n);
	uint64_t dice = fg_rand_below(&m->r, 20);

	if (dice < 7)
		random_fault(m);
	else if (dice == 7)
		crash(m, i, at);
	else if (dice == 8 && !m->node[i].up)
		sim_start(m, i);
	else if (m->node[i].up && m->node[i].paused_until <= m->now) {
		uint64_t expect = dice == 9 ? sim_revision(m, i) : 0;

		g_ptr_array_add(at, GSIZE_TO_POINTER(i));
		sim_add(m, i, expect);
	}
}

/* Changes of a paused instance are answered late; push their deadline. */
static void allow_pauses(struct sim *m)
{
	for (guint k = 0; k < m->changes->len; k++) {
		struct sim_change *ch = m->changes->pdata[k];

		for (size_t i = 0; i < m->n && !ch->answered; i++)
			ch->deadline = MAX(ch->deadline,
					   m->node[i].paused_until + 600);
	}
}

static void one_run(uint64_t seed, unsigned int *statuses)
{
	struct fg_rand r;
	struct sim_conf conf = { .table_max_ms = 40 };
	GPtrArray *at = g_ptr_array_new();
	struct sim *m;

	fg_rand_seed(&r, seed);
	conf.nodes = 3 + fg_rand_below(&r, 5);
	conf.snapshot_every = 3 + (uint32_t)fg_rand_below(&r, 10);
	conf.no_push = fg_rand_below(&r, 8) == 0;
	conf.no_pings = fg_rand_below(&r, 8) == 0;
	m = sim_new(&conf, seed);
	for (int i = 0; i < 40; i++) {
		allow_pauses(m);
		sim_run(m, m->now + 1 + (fg_ms)fg_rand_below(&m->r, 700));
		random_step(m, at);
	}
	allow_pauses(m);
	sim_heal(m);
	sim_run(m, m->now + 15000);
	sim_check_end(m);
	for (int i = 0; i <= FG_CHANGE_UNKNOWN; i++)
		statuses[i] += m->statuses[i];
	g_ptr_array_free(at, TRUE);
	sim_free(m);
}

static void test_interleavings(void)
{
	const char *runs_text = getenv("FG_RUNS");
	const char *seed_text = getenv("FG_SEED");
	uint64_t runs = runs_text ? strtoull(runs_text, NULL, 10) : 2000;
	uint64_t first = seed_text ? strtoull(seed_text, NULL, 10) : 1;
	unsigned int statuses[FG_CHANGE_UNKNOWN + 1] = { 0 };

	for (uint64_t seed = first; seed < first + runs; seed++) {
		g_test_message("seed %" G_GUINT64_FORMAT, seed);
		one_run(seed, statuses);
	}
	for (int i = FG_CHANGE_ACCEPTED; i <= FG_CHANGE_UNKNOWN; i++)
		g_test_message("%s: %u", fg_change_status_name(i), statuses[i]);
	if (runs < 1000)
		return;
	/* All kinds of answers but INVALID were met. */
	g_assert_cmpuint(statuses[FG_CHANGE_ACCEPTED], >, 1000);
	g_assert_cmpuint(statuses[FG_CHANGE_PENDING], >, 100);
	g_assert_cmpuint(statuses[FG_CHANGE_CONFLICT], >, 100);
	g_assert_cmpuint(statuses[FG_CHANGE_DOWN], >, 100);
	g_assert_cmpuint(statuses[FG_CHANGE_UNKNOWN], >, 50);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/confsync/interleavings", test_interleavings);
	return g_test_run();
}
