/* Unit tests of lib/member. */
#include <string.h>

#include "cluster.h"
#include "member/fg_member_internal.h"

static struct cluster *start_cluster(uint64_t seed, int n)
{
	struct cluster *c = cluster_new(seed, 0, 1);

	for (int i = 0; i < n; i++)
		cluster_join(c, "coast");
	cluster_run_until(c, 8000);
	return c;
}

static enum fg_standing get_standing(const struct cluster *c, int i)
{
	const struct instance *n = &c->instances[i];

	return fg_member_standing(n->member, instance_clock(c, n));
}

static enum fg_peer_state get_state(const struct cluster *c, int of,
				    uint64_t id)
{
	const struct fg_peer_view *v =
		fg_member_find(c->instances[of].member, id);

	return v != NULL ? v->state : 0;
}

static void test_views_agree(void)
{
	struct cluster *c = start_cluster(1, 9);
	uint64_t ids[16];

	for (int i = 0; i < 9; i++) {
		g_assert_cmpint(get_standing(c, i), ==, FG_STANDING_CONFIRMED);
		g_assert_cmpuint(fg_member_list_live(c->instances[i].member,
						     "coast", ids, 16),
				 ==, 9);
		g_assert_cmpuint(fg_member_candidate(c->instances[i].member, 42,
						     "coast", "dc-1"),
				 ==,
				 fg_member_candidate(c->instances[0].member, 42,
						     "coast", "dc-1"));
	}
	cluster_free(c);
}

/* All others see a killed instance as DEAD, and its row is deleted. */
static void test_killed_instance(void)
{
	struct cluster *c = start_cluster(2, 9);
	uint64_t id = c->instances[4].self.id;

	cluster_kill(c, &c->instances[4]);
	cluster_run_until(c, c->now + 12000);
	g_assert_cmpint(g_tree_nnodes(c->table), ==, 8);
	for (int i = 0; i < 9; i++)
		if (i != 4)
			g_assert_cmpint(get_state(c, i, id), ==, FG_PEER_DEAD);
	cluster_free(c);
}

/* A lapsed row is deleted no earlier than reachable_ms after the quorum for the
 * deletion was met. */
static void test_reaping_waits(void)
{
	struct cluster *c = start_cluster(13, 6);
	uint64_t id = c->instances[5].self.id;
	fg_ms quorum_at[5] = { 0 };
	fg_ms wait_max_ms = 0;

	cluster_kill(c, &c->instances[5]);
	while (g_tree_nnodes(c->table) == 6 && c->now < 60000) {
		cluster_run_until(c, c->now + 10);
		for (int i = 0; i < 5; i++) {
			struct fg_peer_entry *e = fg_member_find_entry(
				c->instances[i].member, id);

			if (e->reap_quorum_at != 0)
				quorum_at[i] = e->reap_quorum_at;
		}
	}
	for (int i = 0; i < 5; i++)
		if (quorum_at[i] != 0)
			wait_max_ms = MAX(wait_max_ms,
					  instance_clock(c, &c->instances[i]) -
						  quorum_at[i]);
	g_assert_cmpint(g_tree_nnodes(c->table), ==, 5);
	g_assert_cmpint(wait_max_ms, >=, c->conf.lease_ms * 2 / 3);
	cluster_free(c);
}

/* Instance 1 relays to instance 0 that instance 2 reaches the platform. */
static void test_contact_is_relayed(void)
{
	struct cluster *c = start_cluster(14, 3);
	fg_ms contact;

	c->instances[0].platform_cut = true;
	c->instances[1].platform_cut = true;
	c->link_cut[0][2] = true;
	c->link_cut[2][0] = true;
	cluster_run_until(c, c->now + 10000);
	contact = fg_member_last_contact(c->instances[0].member);
	g_assert_cmpint(instance_clock(c, &c->instances[0]) - contact, <, 3000);
	cluster_free(c);
}

/* The others learn of a planned stop at once and need not wait for the lease to
 * lapse. */
static void test_leave_and_release(void)
{
	struct cluster *c = start_cluster(3, 5);
	uint64_t id = c->instances[0].self.id;

	cluster_leave(c, &c->instances[0]);
	cluster_run_until(c, c->now + 100);
	for (int i = 1; i < 5; i++)
		g_assert_cmpint(get_state(c, i, id), ==, FG_PEER_LEAVING);
	cluster_release_lease(c, &c->instances[0]);
	cluster_run_until(c, c->now + 1500);
	g_assert_cmpint(get_standing(c, 0), ==, FG_STANDING_ISOLATED);
	for (int i = 1; i < 5; i++)
		g_assert_cmpint(get_state(c, i, id), ==, FG_PEER_DEAD);
	cluster_free(c);
}

static void test_outage_standing(void)
{
	struct cluster *c = start_cluster(4, 6);

	c->outage_until = c->now + 60000;
	cluster_run_until(c, c->now + 50000);
	for (int i = 0; i < 6; i++)
		g_assert_cmpint(get_standing(c, i), ==, FG_STANDING_OUTAGE);
	cluster_run_until(c, c->now + 15000);
	for (int i = 0; i < 6; i++)
		g_assert_cmpint(get_standing(c, i), ==, FG_STANDING_CONFIRMED);
	cluster_free(c);
}

/* An instance that alone is cut off from the platform becomes ISOLATED, since
 * its peers still reach the platform. */
static void test_cut_from_platform(void)
{
	struct cluster *c = start_cluster(5, 6);

	c->instances[0].platform_cut = true;
	cluster_run_until(c, c->now + 3500);
	g_assert_cmpint(get_standing(c, 0), ==, FG_STANDING_ISOLATED);
	g_assert_cmpint(get_standing(c, 1), ==, FG_STANDING_CONFIRMED);
	cluster_clear_faults(c);
	cluster_run_until(c, c->now + 8000);
	g_assert_cmpint(get_standing(c, 0), ==, FG_STANDING_CONFIRMED);
	cluster_free(c);
}

/* A network partition during an outage: the larger part keeps the standing
 * OUTAGE, the smaller part becomes ISOLATED. */
static void test_minority_in_outage(void)
{
	struct cluster *c = start_cluster(6, 6);

	c->outage_until = c->now + 60000;
	c->instances[0].partition = 1;
	c->instances[1].partition = 1;
	cluster_run_until(c, c->now + 20000);
	g_assert_cmpint(get_standing(c, 0), ==, FG_STANDING_ISOLATED);
	g_assert_cmpint(get_standing(c, 1), ==, FG_STANDING_ISOLATED);
	for (int i = 2; i < 6; i++)
		g_assert_cmpint(get_standing(c, i), ==, FG_STANDING_OUTAGE);
	cluster_free(c);
}

static void test_pause(void)
{
	struct cluster *c = start_cluster(7, 4);
	struct instance *n = &c->instances[2];

	n->paused_until = c->now + 1200;
	cluster_run_until(c, c->now + 600);
	/* The instance itself reports the pause before its next tick. */
	g_assert_cmpint(get_standing(c, 2), ==, FG_STANDING_ISOLATED);
	cluster_run_until(c, c->now + 3000);
	g_assert_cmpint(get_standing(c, 2), ==, FG_STANDING_CONFIRMED);
	cluster_free(c);
}

/* All instances are killed and replaced at other addresses. The new ones cannot
 * tell whether the old ones are dead or cut off, so that they wait longer
 * before they delete the rows. */
static void test_region_replaced(void)
{
	struct cluster *c = start_cluster(8, 3);

	c->new_address_share = 1;
	for (int i = 0; i < 3; i++)
		cluster_kill(c, &c->instances[i]);
	for (int i = 0; i < 3; i++)
		cluster_join(c, "coast");
	cluster_run_until(c, c->now + 20000);
	g_assert_cmpint(g_tree_nnodes(c->table), ==, 6);
	cluster_run_until(c, c->now + 30000);
	g_assert_cmpint(g_tree_nnodes(c->table), ==, 3);
	for (int i = 0; i < 3; i++)
		g_assert_cmpint(get_standing(c, i), ==, FG_STANDING_CONFIRMED);
	cluster_free(c);
}

/* An instance that crashes repeatedly at one address leaves many lapsed rows.
 * They must not count for the region's size, or the quorum could not be met. */
static void test_crash_loop(void)
{
	struct cluster *c = start_cluster(12, 2);

	for (int i = 0; i < 8; i++) {
		cluster_kill(c, &c->instances[0]);
		cluster_join(c, "coast");
		cluster_run_until(c, c->now + 500);
	}
	cluster_run_until(c, c->now + 10000);
	g_assert_cmpint(g_tree_nnodes(c->table), ==, 2);
	cluster_free(c);
}

static void test_start_in_outage(void)
{
	struct cluster *c = cluster_new(9, 0, 1);

	c->outage_until = 10000;
	for (int i = 0; i < 3; i++)
		cluster_join(c, "coast");
	cluster_run_until(c, 9000);
	g_assert_cmpint(get_standing(c, 0), ==, FG_STANDING_JOINING);
	cluster_run_until(c, 20000);
	g_assert_cmpint(get_standing(c, 0), ==, FG_STANDING_CONFIRMED);
	cluster_free(c);
}

/* Another process writes the row of the same name: the instance that notices it
 * becomes ISOLATED for good. */
static void test_same_name(void)
{
	struct cluster *c = start_cluster(10, 3);
	struct fg_row *row;

	row = g_tree_lookup(c->table, "session/entry-0");
	g_assert_nonnull(row);
	row->row_version = ++c->row_version;
	char *at = strstr(row->value, "\"boot\":");
	g_assert_nonnull(at);
	at[7] = at[7] == '1' ? '2' : '1';
	cluster_run_until(c, c->now + 5000);
	g_assert_cmpint(get_standing(c, 0), ==, FG_STANDING_ISOLATED);
	cluster_free(c);
}

/* The platform adapter may answer writes without the new row versions; the
 * lease is then read back. */
static void test_writes_without_versions(void)
{
	struct cluster *c = cluster_new(11, 0, 1);

	c->no_versions = true;
	for (int i = 0; i < 3; i++)
		cluster_join(c, "coast");
	cluster_run_until(c, 20000);
	for (int i = 0; i < 3; i++)
		g_assert_cmpint(get_standing(c, i), ==, FG_STANDING_CONFIRMED);
	cluster_free(c);
}

static void test_row_codec(void)
{
	struct fg_lease_row row = { .boot = UINT64_MAX - 5, .leaving = true };
	struct fg_lease_row back;
	g_autofree char *text = NULL;

	g_strlcpy(row.info.addr, "127.0.0.1:23001", sizeof(row.info.addr));
	g_strlcpy(row.info.rpc, "127.0.0.1:23002", sizeof(row.info.rpc));
	g_strlcpy(row.info.region, "coast \"1\"", sizeof(row.info.region));
	g_strlcpy(row.info.dc, "dc-1", sizeof(row.info.dc));
	text = fg_lease_row_encode(&row);
	g_assert_true(fg_lease_row_decode("session/entry-1", text, &back));
	g_assert_cmpuint(back.boot, ==, row.boot);
	g_assert_true(back.leaving);
	g_assert_cmpstr(back.info.name, ==, "entry-1");
	g_assert_cmpstr(back.info.region, ==, row.info.region);
	g_assert_cmpuint(back.info.id, ==, fg_hash_str("entry-1"));
	g_assert_false(
		fg_lease_row_decode("session/x", "{\"format\":1}", &back));
	g_assert_false(fg_lease_row_decode("session/x", "no json", &back));
	g_assert_false(fg_lease_row_decode("session/x", NULL, &back));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/member/views_agree", test_views_agree);
	g_test_add_func("/member/killed_instance", test_killed_instance);
	g_test_add_func("/member/reaping_waits", test_reaping_waits);
	g_test_add_func("/member/contact_is_relayed", test_contact_is_relayed);
	g_test_add_func("/member/leave_and_release", test_leave_and_release);
	g_test_add_func("/member/outage_standing", test_outage_standing);
	g_test_add_func("/member/cut_from_platform", test_cut_from_platform);
	g_test_add_func("/member/minority_in_outage", test_minority_in_outage);
	g_test_add_func("/member/pause", test_pause);
	g_test_add_func("/member/region_replaced", test_region_replaced);
	g_test_add_func("/member/crash_loop", test_crash_loop);
	g_test_add_func("/member/start_in_outage", test_start_in_outage);
	g_test_add_func("/member/same_name", test_same_name);
	g_test_add_func("/member/writes_without_versions",
			test_writes_without_versions);
	g_test_add_func("/member/row_codec", test_row_codec);
	return g_test_run();
}
