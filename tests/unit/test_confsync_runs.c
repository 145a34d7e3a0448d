/* Runs the confsync simulation with random faults. FG_SEED is the first seed,
 * FG_RUNS the number of seeds. */
#include <stdlib.h>
#include <string.h>

#include "confsync_sim.h"

static void random_fault(struct sim *m)
{
	size_t i = fg_rand_below(&m->rand, m->n);
	size_t j = fg_rand_below(&m->rand, m->n);

	switch (fg_rand_below(&m->rand, 10)) {
	case 0:
	case 1:
		m->outage = !m->outage;
		break;
	case 2:
		m->instances[i].cut_platform = !m->instances[i].cut_platform;
		break;
	case 3:
	case 4:
		m->instances[i].cut[j] = !m->instances[i].cut[j];
		m->instances[j].cut[i] = m->instances[i].cut[j];
		break;
	case 5:
		m->conf.lost_percent = (uint32_t)fg_rand_below(&m->rand, 40);
		break;
	case 6:
		m->conf.drop_percent = (uint32_t)fg_rand_below(&m->rand, 40);
		break;
	case 7:
		m->conf.table_max_ms =
			5 + (uint32_t)fg_rand_below(&m->rand, 800);
		break;
	case 8:
		if (m->instances[i].up)
			m->instances[i].paused_until =
				m->now + (fg_ms)fg_rand_below(&m->rand, 3000);
		break;
	default:
		sim_clear_faults(m);
		break;
	}
}

/* Crashes an instance and marks the changes in progress there as answered. */
static void crash_instance(struct sim *m, size_t i, GPtrArray *change_instance)
{
	if (!m->instances[i].up)
		return;
	sim_crash_instance(m, i);
	for (guint k = 0; k < m->changes->len; k++) {
		struct sim_change *ch = m->changes->pdata[k];

		if (ch->answered ||
		    GPOINTER_TO_SIZE(change_instance->pdata[k]) != i)
			continue;
		ch->answered = true;
		ch->status = FG_CHANGE_UNKNOWN;
	}
}

/* change_instance holds, for each change, the index of the instance that it was
 * submitted at. */
static void random_step(struct sim *m, GPtrArray *change_instance)
{
	size_t i = fg_rand_below(&m->rand, m->n);
	uint64_t choice = fg_rand_below(&m->rand, 20);

	if (choice < 7)
		random_fault(m);
	else if (choice == 7)
		crash_instance(m, i, change_instance);
	else if (choice == 8 && !m->instances[i].up)
		sim_start_instance(m, i);
	else if (m->instances[i].up && m->instances[i].paused_until <= m->now) {
		uint64_t expect = choice == 9 ? sim_instance_revision(m, i) : 0;

		g_ptr_array_add(change_instance, GSIZE_TO_POINTER(i));
		sim_add_adapter(m, i, expect);
	}
}

/* A paused instance answers late: extends the deadlines beyond the pause. */
static void extend_deadlines(struct sim *m)
{
	for (guint k = 0; k < m->changes->len; k++) {
		struct sim_change *ch = m->changes->pdata[k];

		for (size_t i = 0; i < m->n && !ch->answered; i++)
			ch->deadline = MAX(ch->deadline,
					   m->instances[i].paused_until + 600);
	}
}

static void run_seed(uint64_t seed, unsigned int *statuses)
{
	struct fg_rand r;
	struct sim_conf conf = { .table_max_ms = 40 };
	GPtrArray *change_instance = g_ptr_array_new();
	struct sim *m;

	fg_rand_seed(&r, seed);
	conf.n_instances = 3 + fg_rand_below(&r, 5);
	conf.snapshot_every = 3 + (uint32_t)fg_rand_below(&r, 10);
	conf.no_push = fg_rand_below(&r, 8) == 0;
	conf.no_pings = fg_rand_below(&r, 8) == 0;
	m = sim_new(&conf, seed);
	for (int i = 0; i < 40; i++) {
		extend_deadlines(m);
		sim_run(m, m->now + 1 + (fg_ms)fg_rand_below(&m->rand, 700));
		random_step(m, change_instance);
	}
	extend_deadlines(m);
	sim_clear_faults(m);
	sim_run(m, m->now + 15000);
	sim_check_final_state(m);
	for (int i = 0; i <= FG_CHANGE_UNKNOWN; i++)
		statuses[i] += m->statuses[i];
	g_ptr_array_free(change_instance, TRUE);
	sim_free(m);
}

static void test_interleavings(void)
{
	const char *runs_text = getenv("FG_RUNS");
	const char *seed_text = getenv("FG_SEED");
	uint64_t runs = runs_text ? strtoull(runs_text, NULL, 10) : 2000;
	uint64_t first_seed = seed_text ? strtoull(seed_text, NULL, 10) : 1;
	unsigned int statuses[FG_CHANGE_UNKNOWN + 1] = { 0 };

	for (uint64_t seed = first_seed; seed < first_seed + runs; seed++) {
		g_test_message("seed %" G_GUINT64_FORMAT, seed);
		run_seed(seed, statuses);
	}
	for (int i = FG_CHANGE_ACCEPTED; i <= FG_CHANGE_UNKNOWN; i++)
		g_test_message("%s: %u", fg_change_status_name(i), statuses[i]);
	if (runs < 1000)
		return;
	/* The runs must produce every status except INVALID often enough. */
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
