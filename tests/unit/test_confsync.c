/* Unit tests of confsync: changes, messages, outages, pauses. */
#include <string.h>

#include "confsync_sim.h"
#include "peer/fg_msg.h"

static void test_accepted(void)
{
	struct sim_conf conf = SIM_NO_FAULTS;
	struct sim *m = sim_new(&conf, 1);
	struct sim_change *ch;

	sim_run(m, 3000);
	ch = sim_add_adapter(m, 0, 0);
	sim_run(m, 4500);
	g_assert_true(ch->answered);
	g_assert_cmpint(ch->status, ==, FG_CHANGE_ACCEPTED);
	g_assert_cmpuint(ch->revision, ==, 1);
	ch = sim_add_adapter(m, 3, 1);
	sim_run(m, 6000);
	g_assert_cmpint(ch->status, ==, FG_CHANGE_ACCEPTED);
	sim_check_final_state(m);
	sim_free(m);
}

static void test_push_without_delay(void)
{
	struct sim_conf conf = SIM_NO_FAULTS;
	struct sim_change *ch;
	struct sim *m;

	conf.no_pings = true;
	m = sim_new(&conf, 2);
	sim_run(m, 3000);
	ch = sim_add_adapter(m, 0, 0);
	sim_run(m, 3250);
	for (size_t i = 0; i < m->n; i++)
		g_assert_cmpuint(sim_instance_revision(m, i), ==, 1);
	/* Both changes are accepted before a second push is due. The first is
	 * pushed as a snapshot, the second as a delta. */
	sim_run(m, 3480);
	g_assert_cmpint(ch->status, ==, FG_CHANGE_ACCEPTED);
	ch = sim_add_adapter(m, 0, 0);
	sim_run(m, 3960);
	g_assert_cmpint(ch->status, ==, FG_CHANGE_ACCEPTED);
	sim_free(m);
}

static void test_poll_without_push(void)
{
	struct sim_conf conf = SIM_NO_FAULTS;
	struct sim *m;

	conf.no_pings = true;
	conf.no_push = true;
	m = sim_new(&conf, 3);
	sim_run(m, 3000);
	for (int i = 0; i < 12; i++) {
		sim_add_adapter(m, 0, 0);
		sim_run(m, m->now + 400);
	}
	sim_run(m, m->now + 2500);
	for (size_t i = 0; i < m->n; i++)
		g_assert_cmpuint(sim_instance_revision(m, i), ==, 12);
	sim_free(m);
}

static void test_invalid_changes(void)
{
	struct sim_conf conf = SIM_NO_FAULTS;
	struct sim *m = sim_new(&conf, 4);
	g_autofree char *large = g_strnfill(60000, ' ');
	const char *bad[] = { "x",
			      "[]",
			      "{\"kind\":\"preset_set\"}",
			      "{\"kind\":\"preset_set\",\"preset\":\"no\"}",
			      "{\"kind\":\"preset_set\",\"preset\":\"peak\","
			      "\"revision\":1}",
			      "{\"kind\":\"preset_set\",\"preset\":\"peak\","
			      "\"format\":1}" };
	struct sim_change *ch;

	sim_run(m, 3000);
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		ch = sim_submit_change(m, 1, bad[i], 0, SIM_CHANGE_WAIT_MS);
		sim_run(m, m->now + 500);
		g_assert_true(ch->answered);
		g_assert_cmpint(ch->status, ==, FG_CHANGE_INVALID);
		g_assert_nonnull(ch->text);
	}
	ch = sim_submit_change(m, 1, large, 0, SIM_CHANGE_WAIT_MS);
	g_assert_cmpint(ch->status, ==, FG_CHANGE_INVALID);
	ch = sim_add_adapter(m, 1, 7);
	sim_run(m, m->now + 500);
	g_assert_cmpint(ch->status, ==, FG_CHANGE_CONFLICT);
	g_assert_cmpuint(ch->revision, ==, 0);
	g_assert_cmpuint(sim_head_revision(m), ==, 0);
	sim_free(m);
}

/* Of two concurrent changes one is accepted; a conflict names its revision. */
static void test_concurrent_changes(void)
{
	unsigned int conflicts = 0;

	for (uint64_t seed = 1; seed <= 50; seed++) {
		struct sim_conf conf = SIM_NO_FAULTS;
		struct sim *m = sim_new(&conf, seed);
		struct sim_change *a;
		struct sim_change *b;

		sim_run(m, 3000);
		a = sim_add_adapter(m, 0, 0);
		b = sim_add_adapter(m, 1, 0);
		sim_run(m, 5000);
		if (a->status != FG_CHANGE_ACCEPTED) {
			struct sim_change *swap = a;

			a = b;
			b = swap;
		}
		g_assert_cmpint(a->status, ==, FG_CHANGE_ACCEPTED);
		if (b->status == FG_CHANGE_CONFLICT) {
			g_assert_cmpuint(b->revision, ==, a->revision);
			conflicts++;
		}
		sim_check_final_state(m);
		sim_free(m);
	}
	g_assert_cmpuint(conflicts, >, 10);
}

/* A change at an instance that lags behind is applied to the newest revision:
 * the head is read first, and there is no conflict. */
static void test_change_on_newest_revision(void)
{
	for (uint64_t seed = 1; seed <= 50; seed++) {
		struct sim_conf conf = SIM_NO_FAULTS;
		struct sim_change *ch;
		struct sim *m;

		conf.no_pings = true;
		conf.no_push = true;
		m = sim_new(&conf, seed);
		sim_run(m, 3000);
		sim_add_adapter(m, 0, 0);
		sim_run(m, 3150);
		ch = sim_add_adapter(m, 1, 0);
		sim_run(m, 8000);
		/* No instance can acknowledge the change without messages. */
		g_assert_cmpint(ch->status, ==, FG_CHANGE_PENDING);
		g_assert_cmpuint(ch->revision, ==, 2);
		sim_free(m);
	}
}

/* Writing a snapshot changes the head without a new revision. A change in
 * flight must then neither be a conflict nor overwrite those fields. */
static void test_head_fields_kept(void)
{
	for (uint64_t seed = 1; seed <= 50; seed++) {
		struct sim_conf conf = SIM_NO_FAULTS;
		struct sim *m = sim_new(&conf, seed);
		g_auto(GStrv) halves = NULL;
		g_autofree char *text = NULL;
		struct sim_change *ch;

		sim_run(m, 3000);
		sim_add_adapter(m, 0, 0);
		sim_run(m, 5000);
		ch = sim_add_adapter(m, 0, 0);
		sim_run(m, m->now + (fg_ms)(seed % 40));
		halves = g_strsplit(sim_get_row(m, "config/head"),
				    "\"old_parts\":0", 2);
		text = g_strjoinv("\"old_parts\":7", halves);
		sim_put_row(m, "config/head", text);
		sim_run(m, 9000);
		g_assert_cmpint(ch->status, ==, FG_CHANGE_ACCEPTED);
		g_assert_nonnull(strstr(sim_get_row(m, "config/head"),
					"\"old_parts\":7"));
		g_assert_cmpuint(sim_head_revision(m), ==, 2);
		sim_free(m);
	}
}

/* Answers to writes are lost, and some of those writes take effect. */
static void test_lost_answer(void)
{
	unsigned int accepted = 0;

	for (uint64_t seed = 1; seed <= 50; seed++) {
		struct sim_conf conf = SIM_NO_FAULTS;
		struct sim *m = sim_new(&conf, seed);
		struct sim_change *ch;

		sim_run(m, 3000);
		m->conf.lost_percent = 60;
		ch = sim_add_adapter(m, 0, 0);
		sim_run(m, 4000);
		m->conf.lost_percent = 0;
		sim_run(m, 9000);
		g_assert_true(ch->answered);
		accepted += ch->status == FG_CHANGE_ACCEPTED;
		g_assert_cmpint(ch->status, !=, FG_CHANGE_CONFLICT);
		sim_check_final_state(m);
		sim_free(m);
	}
	g_assert_cmpuint(accepted, >, 25);
}

/* A change answered "unknown" may have been stored. The instance that submitted
 * it must push it once it reads the delta. */
static void test_unknown_is_pushed(void)
{
	unsigned int n_pushed = 0;

	for (uint64_t seed = 1; seed <= 100; seed++) {
		struct sim_conf conf = SIM_NO_FAULTS;
		struct sim_change *ch;
		struct sim *m;

		conf.no_pings = true;
		m = sim_new(&conf, seed);
		sim_run(m, 3000);
		m->conf.lost_percent = 60;
		ch = sim_submit_change(m, 0,
				       "{\"kind\":\"preset_set\",\"preset\":"
				       "\"peak\"}",
				       0, 1000);
		sim_run(m, 4200);
		m->conf.lost_percent = 0;
		sim_run(m, 12000);
		if (ch->status == FG_CHANGE_UNKNOWN &&
		    sim_head_revision(m) == 1) {
			g_assert_cmpuint(fg_confsync_list_unacked(
						 m->instances[0].s, 1, NULL, 0),
					 ==, 0);
			n_pushed++;
		}
		sim_free(m);
	}
	g_assert_cmpuint(n_pushed, >, 10);
}

static void test_outage(void)
{
	struct sim_conf conf = SIM_NO_FAULTS;
	struct sim *m = sim_new(&conf, 6);
	struct sim_change *ch;

	sim_run(m, 3000);
	m->outage = true;
	ch = sim_add_adapter(m, 0, 0);
	sim_run(m, 8000);
	g_assert_cmpint(ch->status, ==, FG_CHANGE_DOWN);
	g_assert_cmpuint(fg_confsync_confirm_age(m->instances[0].s, m->now), >,
			 3000);
	m->outage = false;
	sim_run(m, 10000);
	g_assert_cmpuint(sim_head_revision(m), ==, 0);
	sim_check_final_state(m);
	sim_free(m);
}

static const char *name_instance(void *arg, uint64_t id)
{
	struct sim *m = arg;

	return m->instances[2].id == id ? "salto-2" : "other";
}

/* An unreachable instance makes a change pending, and the answer names it. Once
 * reachable it acknowledges the change, without another change being made. */
static void test_pending(void)
{
	struct sim_conf conf = SIM_NO_FAULTS;
	struct sim_change *ch;
	struct sim *m;

	conf.no_pings = true;
	m = sim_new(&conf, 7);

	sim_run(m, 3000);
	fg_confsync_set_name_fn(m->instances[0].s, name_instance, m);
	m->instances[2].cut_platform = true;
	for (size_t i = 0; i < m->n; i++) {
		m->instances[i].cut[2] = true;
		m->instances[2].cut[i] = true;
	}
	ch = sim_add_adapter(m, 0, 0);
	sim_run(m, 8000);
	g_assert_cmpint(ch->status, ==, FG_CHANGE_PENDING);
	g_assert_cmpstr(ch->text, ==, "salto-2");
	g_assert_cmpuint(sim_instance_revision(m, 2), ==, 0);
	g_assert_cmpuint(
		fg_confsync_list_unacked(m->instances[0].s, 1, NULL, 0), ==, 1);
	sim_clear_faults(m);
	sim_run(m, 30000);
	g_assert_cmpuint(sim_instance_revision(m, 2), ==, 1);
	g_assert_cmpuint(
		fg_confsync_list_unacked(m->instances[0].s, 1, NULL, 0), ==, 0);
	sim_check_final_state(m);
	sim_free(m);
}

/* The push backoff of a long unreachable peer must not delay the push of a new
 * change. */
static void test_push_after_cut(void)
{
	struct sim_conf conf = SIM_NO_FAULTS;
	struct sim_change *ch;
	struct sim *m;

	conf.no_pings = true;
	m = sim_new(&conf, 13);
	sim_run(m, 3000);
	for (size_t i = 0; i < m->n; i++) {
		m->instances[i].cut[2] = true;
		m->instances[2].cut[i] = true;
	}
	sim_add_adapter(m, 0, 0);
	sim_run(m, 8000);
	sim_clear_faults(m);
	ch = sim_add_adapter(m, 0, 0);
	sim_run(m, 9000);
	g_assert_cmpint(ch->status, ==, FG_CHANGE_ACCEPTED);
	sim_free(m);
}

/* During an outage a new instance gets the configuration from its peers. */
static void test_start_in_outage(void)
{
	for (uint64_t seed = 1; seed <= 10; seed++) {
		struct sim_conf conf = SIM_NO_FAULTS;
		struct sim *m = sim_new(&conf, seed);

		sim_run(m, 3000);
		for (int i = 0; i < 5; i++) {
			sim_add_adapter(m, 0, 0);
			sim_run(m, m->now + 700);
		}
		m->outage = true;
		sim_run(m, m->now + 1000);
		sim_crash_instance(m, 3);
		sim_start_instance(m, 3);
		sim_run(m, m->now + 6000);
		g_assert_cmpuint(sim_instance_revision(m, 3), ==, 5);
		sim_clear_faults(m);
		sim_run(m, m->now + 4000);
		sim_check_final_state(m);
		sim_free(m);
	}
}

static void discard_act(void *arg, struct fg_confsync_act *act)
{
	(void)arg;
	fg_table_op_free(act->op);
	fg_msg_free(act->msg);
	g_free(act->text);
}

/*
 * Guards against confirmations that look younger than they are:
 *   - a ping buffered while the process was paused must not confirm anything;
 *   - the transit time of a message must count towards the age. Otherwise an
 *     instance that has just written its lease row takes a ping's confirmation
 *     for newer than the row, and serves an old revision although the operator
 *     was told that a change was accepted.
 */
static void test_pause_and_message_delay(void)
{
	struct fg_confsync_conf conf = { .poll_ms = 1000,
					 .confirm_ms = 3000,
					 .snapshot_every = 100 };
	struct fg_config *c = fg_config_new();
	struct fg_confsync *s = fg_confsync_new(c, &conf, 1, 1);

	fg_confsync_tick(s, 1000, discard_act, NULL);
	fg_confsync_on_ping(s, 1010, 2, 0, 5, discard_act, NULL);
	g_assert_cmpuint(fg_confsync_confirm_age(s, 1010), ==,
			 5 + FG_CONFSYNC_PING_DELAY_MAX_MS);
	fg_confsync_on_pong(s, 1020, 1000, 2, 0, 5, discard_act, NULL);
	g_assert_cmpuint(fg_confsync_confirm_age(s, 1020), ==, 25);
	fg_confsync_on_ping(s, 31000, 2, 0, 0, discard_act, NULL);
	g_assert_cmpuint(fg_confsync_confirm_age(s, 31000), >, 29000);
	fg_confsync_tick(s, 31010, discard_act, NULL);
	fg_confsync_on_ping(s, 31020, 2, 0, 0, discard_act, NULL);
	g_assert_cmpuint(fg_confsync_confirm_age(s, 31020), >, 29000);
	for (fg_ms t = 31100; t <= 32500; t += 100)
		fg_confsync_tick(s, t, discard_act, NULL);
	fg_confsync_on_ping(s, 32510, 2, 0, 0, discard_act, NULL);
	g_assert_cmpuint(fg_confsync_confirm_age(s, 32510), ==,
			 FG_CONFSYNC_PING_DELAY_MAX_MS);
	fg_confsync_free(s);
	fg_config_free(c);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/confsync/accepted", test_accepted);
	g_test_add_func("/confsync/push_is_fast", test_push_without_delay);
	g_test_add_func("/confsync/poll_without_push", test_poll_without_push);
	g_test_add_func("/confsync/refused", test_invalid_changes);
	g_test_add_func("/confsync/race", test_concurrent_changes);
	g_test_add_func("/confsync/newest_first",
			test_change_on_newest_revision);
	g_test_add_func("/confsync/head_fields_kept", test_head_fields_kept);
	g_test_add_func("/confsync/lost_answer", test_lost_answer);
	g_test_add_func("/confsync/unknown_is_pushed", test_unknown_is_pushed);
	g_test_add_func("/confsync/outage", test_outage);
	g_test_add_func("/confsync/pending", test_pending);
	g_test_add_func("/confsync/push_anew", test_push_after_cut);
	g_test_add_func("/confsync/start_in_outage", test_start_in_outage);
	g_test_add_func("/confsync/pause", test_pause_and_message_delay);
	return g_test_run();
}
