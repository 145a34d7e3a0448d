/* Unit tests of confsync: snapshots, rows of the table, format numbers. */
#include <stdlib.h>
#include <string.h>

#include "confsync_sim.h"

/* Adds enough adapters for a snapshot of several parts. */
static void add_many_adapters(struct sim *m, unsigned int n_batches,
			      unsigned int batch_size)
{
	for (unsigned int b = 0; b < n_batches; b++) {
		GString *s = g_string_new("{\"kind\":\"batch\",\"changes\":[");
		struct sim_change *ch;

		for (unsigned int i = 0; i < batch_size; i++)
			g_string_append_printf(
				s,
				"%s{\"kind\":\"adapter_add\",\"base\":\"b\","
				"\"adapter\":\"menu-%u-%u-with-a-long-name\"}",
				i > 0 ? "," : "", b, i);
		g_string_append_printf(
			s,
			",{\"kind\":\"adapter_add\",\"base\":\"b\","
			"\"adapter\":\"c%u\"}]}",
			m->changes->len + 1);
		ch = sim_submit_change(m, 0, s->str, 0, SIM_CHANGE_WAIT_MS);
		sim_run(m, m->now + 1000);
		g_assert_cmpint(ch->status, ==, FG_CHANGE_ACCEPTED);
		g_string_free(s, TRUE);
	}
}

static void test_large_from_peers(void)
{
	struct sim_conf conf = SIM_NO_FAULTS;
	struct sim *m = sim_new(&conf, 8);
	g_autofree char *left = NULL;
	g_autofree char *right = NULL;

	sim_run(m, 3000);
	add_many_adapters(m, 8, 400);
	m->outage = true;
	m->conf.drop_percent = 10;
	sim_run(m, m->now + 1000);
	sim_crash_instance(m, 3);
	sim_start_instance(m, 3);
	sim_run(m, m->now + 20000);
	g_assert_cmpuint(sim_instance_revision(m, 3), ==, 8);
	left = fg_config_snapshot(m->instances[0].c);
	right = fg_config_snapshot(m->instances[3].c);
	g_assert_cmpuint(strlen(left), >, 2 * 60000);
	g_assert_cmpstr(left, ==, right);
	sim_free(m);
}

static unsigned int count_rows(struct sim *m, const char *prefix)
{
	GHashTableIter it;
	gpointer key;
	unsigned int n = 0;

	g_hash_table_iter_init(&it, m->rows);
	while (g_hash_table_iter_next(&it, &key, NULL))
		n += g_str_has_prefix(key, prefix) &&
		     sim_get_row(m, key) != NULL;
	return n;
}

/* Snapshots limit the reads of a new instance and the rows in the table. */
static void test_snapshots(void)
{
	struct sim_conf conf = SIM_NO_FAULTS;
	struct sim *m;
	unsigned int reads;

	conf.snapshot_every = 10;
	m = sim_new(&conf, 9);
	sim_run(m, 3000);
	add_many_adapters(m, 4, 400);
	for (int i = 0; i < 100; i++) {
		sim_add_adapter(m, (size_t)i % 3, 0);
		sim_run(m, m->now + 600);
	}
	g_assert_cmpuint(sim_head_revision(m), ==, 104);
	g_assert_cmpuint(count_rows(m, "config/rev/"), <=, 25);
	g_assert_cmpuint(count_rows(m, "config/snap/"), <=, 8);
	m->conf.no_pings = true;
	sim_crash_instance(m, 3);
	sim_start_instance(m, 3);
	reads = m->reads;
	sim_run(m, m->now + 1000);
	g_assert_cmpuint(sim_instance_revision(m, 3), ==, 104);
	/* Enough for the polls of four instances, not for 104 deltas. */
	g_assert_cmpuint(m->reads - reads, <, 20);
	sim_check_final_state(m);
	sim_free(m);
}

/* Several instances write snapshots concurrently over a slow table, and some
 * crash meanwhile. The head must never name missing rows, and a later snapshot
 * must delete the parts left behind by a crash. */
static void test_concurrent_snapshots(void)
{
	for (uint64_t seed = 1; seed <= 100; seed++) {
		struct sim_conf conf = SIM_NO_FAULTS;
		struct sim *m;

		conf.snapshot_every = 1 + (uint32_t)(seed % 4);
		conf.table_max_ms = 400;
		m = sim_new(&conf, seed);
		sim_run(m, 3000);
		for (size_t i = 0; i < 12; i++) {
			sim_add_adapter(m, i % 4, 0);
			sim_run(m, m->now + 100 + (fg_ms)(seed * 7 % 900));
			if (i != 5 || seed % 2 == 0)
				continue;
			sim_run(m, m->now + 5000);
			sim_add_adapter(m, 3, 0);
			sim_run(m, m->now + (fg_ms)(seed * 11 % 2500));
			((struct sim_change *)m->changes->pdata[6])->answered =
				true;
			((struct sim_change *)m->changes->pdata[6])->status =
				FG_CHANGE_UNKNOWN;
			sim_crash_instance(m, 3);
			sim_start_instance(m, 3);
		}
		sim_run(m, m->now + 10000);
		for (size_t i = 0; i < 12; i++) {
			sim_add_adapter(m, 0, 0);
			sim_run(m, m->now + 9000);
		}
		sim_check_final_state(m);
		g_assert_cmpuint(count_rows(m, "config/snap/"), <=, 2);
		sim_free(m);
	}
}

/* Many deltas are read in blocks instead of one by one. */
static void test_block_scans(void)
{
	struct sim_conf conf = SIM_NO_FAULTS;
	struct sim *m = sim_new(&conf, 10);
	unsigned int reads;
	unsigned int parts;

	sim_run(m, 3000);
	for (int i = 0; i < 150; i++) {
		sim_add_adapter(m, 0, 0);
		sim_run(m, m->now + 400);
	}
	for (int i = 0; i < 20; i++) {
		sim_crash_instance(m, 3);
		sim_start_instance(m, 3);
		reads = m->reads;
		parts = m->snapshot_parts_sent;
		sim_run(m, m->now + 800);
		g_assert_cmpuint(sim_instance_revision(m, 3), ==, 150);
		g_assert_cmpuint(m->reads - reads, <, 12);
		/* Peers are not asked for the missing deltas. */
		g_assert_cmpuint(m->snapshot_parts_sent, ==, parts);
	}
	sim_free(m);
}

/* An idle instance only reads the head, once every poll_ms. A change costs two
 * row writes and a few reads, whatever the number of instances. */
static void test_table_load(void)
{
	struct sim_conf conf = SIM_NO_FAULTS;
	struct sim *m;
	unsigned int reads;

	conf.n_instances = 7;
	m = sim_new(&conf, 11);
	sim_run(m, 61000);
	g_test_message("%u reads of 7 instances in 60 s", m->reads);
	g_assert_cmpuint(m->reads, <=, 7 * 67);
	g_assert_cmpuint(m->writes, ==, 0);
	reads = m->reads;
	for (int i = 0; i < 60; i++) {
		sim_add_adapter(m, (size_t)i % 7, 0);
		sim_run(m, m->now + 1000);
	}
	g_test_message("%u reads and %u writes for 60 changes in 60 s",
		       m->reads - reads, m->writes);
	g_assert_cmpuint(m->writes, ==, 2 * 60);
	g_assert_cmpuint(m->reads - reads, <=, 7 * 67 + 60 * 4);
	sim_free(m);
}

/* ---- Formats ---- */

static void check_unreadable_row(const char *key, const char *value,
				 const char *why)
{
	struct sim_conf conf = SIM_NO_FAULTS;
	struct sim *m = sim_new(&conf, 12);
	struct sim_change *ch;
	const char *fault;

	sim_run(m, 3000);
	sim_add_adapter(m, 0, 0);
	sim_run(m, 4000);
	if (strcmp(key, "config/head") != 0)
		sim_put_row(m, "config/head",
			    "{\"format\":1,\"revision\":2,\"snapshot\":0,"
			    "\"parts\":0,\"old_snapshot\":0,\"old_parts\":0,"
			    "\"draft\":0,\"draft_parts\":0,\"deltas_from\":1}");
	sim_put_row(m, key, value);
	sim_run(m, 12000);
	fault = fg_confsync_fault(m->instances[1].s);
	g_assert_nonnull(fault);
	g_assert_nonnull(strstr(fault, key));
	g_assert_nonnull(strstr(fault, why));
	g_assert_cmpuint(sim_instance_revision(m, 1), ==, 1);
	g_assert_cmpuint(fg_confsync_confirm_age(m->instances[1].s, m->now), >,
			 5000);
	ch = sim_add_adapter(m, 1, 0);
	sim_run(m, 20000);
	g_assert_cmpint(ch->status, ==, FG_CHANGE_DOWN);
	g_assert_nonnull(strstr(ch->text, why));
	sim_free(m);
}

static void test_format_refused(void)
{
	const char *why = "cannot be read, this release reads format 1";

	check_unreadable_row("config/head", "{\"format\":0,\"revision\":9}",
			     why);
	check_unreadable_row("config/head", "{\"format\":2,\"revision\":9}",
			     why);
	check_unreadable_row("config/head", "garbage", "not JSON");
	check_unreadable_row(
		"config/rev/000000000002",
		"{\"format\":2,\"revision\":2,\"kind\":\"preset_set\","
		"\"preset\":\"peak\"}",
		why);
	check_unreadable_row(
		"config/rev/000000000002",
		"{\"format\":1,\"revision\":2,\"kind\":\"new_kind\"}",
		"unknown kind");
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/confsync/large_from_peers", test_large_from_peers);
	g_test_add_func("/confsync/snapshots", test_snapshots);
	g_test_add_func("/confsync/snapshot_race", test_concurrent_snapshots);
	g_test_add_func("/confsync/blocks", test_block_scans);
	g_test_add_func("/confsync/table_load", test_table_load);
	g_test_add_func("/confsync/format_refused", test_format_refused);
	return g_test_run();
}
