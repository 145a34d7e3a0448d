/* Unit tests of lib/owner in a simulated cluster: single cases and seeded runs
 * with faults. */
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "cluster.h"
#include "owner/fg_owner_internal.h"
#include "sim_env.h"

#define SEEDS 400

static uint64_t current_seed;

static struct cluster *start_cluster(uint64_t seed, int n_instances, int n_keys)
{
	struct cluster *c = cluster_new(seed, n_keys, 1);

	for (int i = 0; i < n_instances; i++)
		cluster_join(c, "coast");
	cluster_run_until(c, 10000);
	g_assert_true(cluster_all_keys_owned(c));
	return c;
}

static void test_claims_are_batched(void)
{
	struct cluster *c = cluster_new(1, KEYS_MAX, 1);
	uint64_t before;

	cluster_join(c, "coast");
	cluster_run_until(c, 500);
	before = c->table_writes;
	cluster_run_until(c, 2500);
	g_assert_true(cluster_all_keys_owned(c));
	/* One write claims all keys; the others renew the lease. */
	g_assert_cmpuint(c->table_writes - before, <=, 1 + 2000 / 700 + 1);
	cluster_free(c);
}

static void test_takeover(void)
{
	struct cluster *c = start_cluster(2, 5, 6);
	struct instance *n = cluster_acting_owner(c, 0);
	uint64_t fence = c->last_fence[0];
	fg_ms killed = c->now;

	cluster_kill(c, n);
	while (cluster_acting_owner(c, 0) == NULL && c->now < killed + 20000)
		cluster_run_until(c, c->now + 100);
	g_test_message("owned again after %d ms", (int)(c->now - killed));
	g_assert_nonnull(cluster_acting_owner(c, 0));
	g_assert_cmpuint(c->last_fence[0], >, fence);
	cluster_free(c);
}

/* Takeover time with the default settings and nine instances; docs/CAPACITY.md
 * states the time. */
static void test_takeover_defaults(void)
{
	struct cluster *c = cluster_new(20, 8, 1);
	fg_ms worst_ms = 0;

	fg_member_conf_defaults(&c->conf);
	c->new_address_share = 1;
	for (int i = 0; i < 9; i++)
		cluster_join(c, "coast");
	cluster_run_until(c, 60000);
	for (int i = 0; i < 10; i++) {
		struct instance *n = cluster_acting_owner(c, i % c->n_keys);
		fg_ms killed = c->now;

		g_assert_nonnull(n);
		cluster_kill(c, n);
		while (!cluster_all_keys_owned(c) && c->now < killed + 60000)
			cluster_run_until(c, c->now + 100);
		worst_ms = MAX(worst_ms, c->now - killed);
		cluster_join(c, "coast");
		cluster_run_until(c, c->now + 60000);
	}
	g_test_message("all owned again after at most %d ms", (int)worst_ms);
	g_assert_cmpint(worst_ms, <, 40000);
	cluster_free(c);
}

/* An instance dies before its second lease renewal. Its row already states the
 * number of instances that it knows, so that the others need not wait for ten
 * leases before they delete the row. */
static void test_killed_after_join(void)
{
	struct cluster *c = cluster_new(22, 4, 1);
	struct instance *n;
	fg_ms killed;

	fg_member_conf_defaults(&c->conf);
	cluster_join(c, "coast");
	cluster_join(c, "coast");
	n = cluster_join(c, "coast");
	cluster_run_until(c, c->now + c->conf.renew_ms * 3 / 4);
	cluster_kill(c, n);
	killed = c->now;
	while (cluster_count_dead_rows(c, "coast") > 0 &&
	       c->now < killed + 200000)
		cluster_run_until(c, c->now + 100);
	g_test_message("row gone after %d ms", (int)(c->now - killed));
	g_assert_cmpint(c->now - killed, <, 4 * (fg_ms)c->conf.lease_ms);
	cluster_free(c);
}

/*
 * Two of four instances are killed just after the last ones have joined. The
 * two that remain reach the quorum to delete both rows only if each row states
 * the true size of the region.
 */
static void test_two_of_four_killed(void)
{
	fg_ms worst_ms = 0;
	uint64_t worst_seed = 0;
	fg_ms lease_ms = 0;

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct cluster *c = cluster_new(seed, 4, 1);
		struct fg_rand rand;
		struct instance *n[4];
		fg_ms killed;

		fg_rand_seed(&rand, seed);
		fg_member_conf_defaults(&c->conf);
		lease_ms = c->conf.lease_ms;
		for (int i = 0; i < 4; i++) {
			n[i] = cluster_join(c, "coast");
			cluster_run_until(
				c, c->now + (fg_ms)fg_rand_below(&rand, 2000));
		}
		cluster_run_until(c, c->now + c->conf.scan_ms);
		cluster_kill(c, n[1]);
		cluster_run_until(c,
				  c->now + (fg_ms)fg_rand_below(&rand, 15000));
		cluster_kill(c, n[0]);
		killed = c->now;
		while (cluster_count_dead_rows(c, "coast") > 0 &&
		       c->now < killed + 20 * lease_ms)
			cluster_run_until(c, c->now + 100);
		if (c->now - killed > worst_ms) {
			worst_ms = c->now - killed;
			worst_seed = seed;
		}
		cluster_free(c);
	}
	g_test_message("rows gone after at most %d ms, seed %d", (int)worst_ms,
		       (int)worst_seed);
	g_assert_cmpint(worst_ms, <, 4 * lease_ms);
}

static void test_handover(void)
{
	struct cluster *c = start_cluster(3, 4, 6);
	struct instance *n = cluster_acting_owner(c, 0);
	fg_ms asked = c->now;
	uint64_t fence = c->last_fence[0];

	cluster_leave(c, n);
	g_assert_false(
		fg_owner_may_act(n->owner, c->keys[0], instance_clock(c, n)));
	while (cluster_acting_owner(c, 0) == NULL && c->now < asked + 20000)
		cluster_run_until(c, c->now + 50);
	g_assert_cmpint(c->now - asked, <, 5000);
	g_assert_cmpuint(n->released, >, 0);
	g_assert_cmpuint(c->last_fence[0], ==, fence + 1);
	g_assert_true(cluster_acting_owner(c, 0) != n);
	cluster_free(c);
}

struct seen {
	uint64_t ids[FG_INTENTS_MAX];
	size_t n;
};

/* The row holds the open intents, not those that were removed, and keeps them
 * for the next owner. */
static void test_intents_stored(void)
{
	struct cluster *c = start_cluster(4, 3, 2);
	struct instance *n = cluster_acting_owner(c, 0);
	g_autofree char *key = g_strdup_printf("owner/%016" PRIx64, c->keys[0]);
	struct fg_owner_row row;
	struct fg_row *stored;

	cluster_store_intent(c, n, 0, 11);
	cluster_store_intent(c, n, 0, 12);
	cluster_run_until(c, c->now + 500);
	g_assert_cmpuint(n->intents_ok, ==, 2);
	fg_owner_remove_intent(n->owner, c->keys[0], 11);
	cluster_store_intent(c, n, 0, 13);
	cluster_run_until(c, c->now + 500);
	stored = g_tree_lookup(c->table, key);
	g_assert_true(fg_owner_row_decode(stored->value, &row));
	g_assert_cmpuint(row.n_intents, ==, 2);
	g_assert_cmpuint(row.intents[0].id, ==, 12);
	g_assert_cmpuint(row.intents[1].id, ==, 13);
	cluster_kill(c, n);
	cluster_run_until(c, c->now + 15000);
	/* Intents stay in the row until the new owner removes them. */
	stored = g_tree_lookup(c->table, key);
	g_assert_true(fg_owner_row_decode(stored->value, &row));
	g_assert_cmpuint(row.n_intents, ==, 2);
	g_assert_cmpuint(row.fence, ==, c->last_fence[0]);
	cluster_free(c);
}

/* Each intent ends in exactly one of INTENT_OK and INTENT_FAILED, also when
 * results of the table are lost. */
static void test_intents_with_faults(void)
{
	struct cluster *c = start_cluster(5, 3, 1);
	struct instance *n = cluster_acting_owner(c, 0);

	c->lost_answer_share = 0.25;
	for (uint64_t id = 1; id <= 40; id++) {
		cluster_store_intent(c, n, 0, id);
		cluster_run_until(c, c->now + 400);
		fg_owner_remove_intent(n->owner, c->keys[0], id);
	}
	cluster_run_until(c, c->now + 8000);
	g_assert_cmpuint(n->intents_ok + n->intents_failed, ==, 40);
	g_assert_cmpuint(n->intents_ok, >, 10);
	cluster_free(c);
}

static void test_refused_intents(void)
{
	struct cluster *c = start_cluster(6, 3, 1);
	struct instance *n = cluster_acting_owner(c, 0);
	struct instance *other =
		n == &c->instances[0] ? &c->instances[1] : &c->instances[0];

	cluster_store_intent(c, other, 0, 1);
	g_assert_cmpuint(other->intents_failed, ==, 1);
	for (uint64_t id = 1; id <= FG_INTENTS_MAX; id++)
		cluster_store_intent(c, n, 0, id);
	cluster_store_intent(c, n, 0, 99);
	g_assert_cmpuint(n->intents_failed, ==, 1);
	cluster_run_until(c, c->now + 500);
	g_assert_cmpuint(n->intents_ok, ==, FG_INTENTS_MAX);
	cluster_free(c);
}

static void ignore_act(void *arg, struct fg_owner_act *act)
{
	(void)arg;
	fg_table_op_free(act->op);
}

/* A hint of a higher fence ends ownership; a lower one is ignored. */
static void test_ownership_hint(void)
{
	struct cluster *c = start_cluster(7, 2, 1);
	struct instance *n = cluster_acting_owner(c, 0);
	fg_ms now = instance_clock(c, n);
	uint64_t owner;

	fg_owner_on_hint(n->owner, now, c->keys[0], 5, c->last_fence[0],
			 ignore_act, NULL);
	g_assert_true(fg_owner_may_act(n->owner, c->keys[0], now));
	fg_owner_on_hint(n->owner, now, c->keys[0], 5, c->last_fence[0] + 1,
			 ignore_act, NULL);
	g_assert_false(fg_owner_may_act(n->owner, c->keys[0], now));
	g_assert_cmpint(fg_owner_get_state(n->owner, c->keys[0], &owner, NULL),
			==, FG_OWN_OTHER);
	g_assert_cmpuint(owner, ==, 5);
	cluster_free(c);
}

/*
 * An owner paused between the check of its ownership and the send of an order
 * may send the order after the next owner has taken over. The order's fence is
 * lower, so that an engine that checks fences refuses it.
 */
static void test_paused_between_check_and_send(void)
{
	struct cluster *c = start_cluster(8, 4, 1);
	struct instance *n = cluster_acting_owner(c, 0);
	uint64_t order_fence;

	g_assert_true(
		fg_owner_may_act(n->owner, c->keys[0], instance_clock(c, n)));
	fg_owner_get_state(n->owner, c->keys[0], NULL, &order_fence);
	n->paused_until = c->now + 30000;
	cluster_run_until(c, c->now + 29000);
	g_assert_nonnull(cluster_acting_owner(c, 0));
	g_assert_true(cluster_acting_owner(c, 0) != n);
	g_assert_cmpuint(order_fence, <, c->last_fence[0]);
	cluster_free(c);
}

static void cut_pair(struct cluster *c, int a, int b, bool cut)
{
	c->link_cut[a][b] = cut;
	c->link_cut[b][a] = cut;
}

/*
 * Instances 0 to 4 lose the platform and keep acting, as in an outage. Instance
 * 5 reaches the platform, but not instances 0 and 1. Instances 2 to 4 must
 * relay what they learn from instance 5, so that instances 0 and 1 stop before
 * instance 5 deletes their leases. Pings are so rare that only quorum pings
 * carry this information.
 */
static void run_relay_case(uint64_t seed)
{
	struct cluster *c = cluster_new(seed, 6, 1);

	c->conf.ping_ms = 5000;
	c->conf.suspect_ms = 20000;
	for (int i = 0; i < 6; i++)
		cluster_join(c, "coast");
	cluster_run_until(c, 10000);
	for (int i = 0; i < 5; i++)
		c->instances[i].platform_cut = true;
	for (int i = 0; i < 2; i++)
		cut_pair(c, i, 5, true);
	cluster_run_until(c, c->now + 30000);
	g_assert_cmpint(c->instances[0].standing, ==, FG_STANDING_ISOLATED);
	for (int k = 0; k < c->n_keys; k++)
		g_assert_true(cluster_acting_owner(c, k) == &c->instances[5]);
	cluster_free(c);
}

static void test_platform_news_relayed(void)
{
	for (uint64_t seed = 1; seed <= 30; seed++)
		run_relay_case(seed);
}

/* A single instance that reaches the platform takes no keys from the majority,
 * which keeps acting without the platform. */
static void test_minority_with_platform(void)
{
	struct cluster *c = start_cluster(12, 6, 6);

	for (int i = 0; i < 5; i++) {
		c->instances[i].platform_cut = true;
		cut_pair(c, i, 5, true);
	}
	cluster_run_until(c, c->now + 30000);
	g_assert_cmpint(c->instances[0].standing, ==, FG_STANDING_OUTAGE);
	cluster_clear_faults(c);
	cluster_run_until(c, c->now + 15000);
	g_assert_true(cluster_all_keys_owned(c));
	cluster_free(c);
}

/*
 * Instance x loses its lease while instances a and c (`other`) agree on that.
 * Then a is cut off from c and from the platform, and only x answers a.
 * Instance a does not know that the region has shrunk to a and c, so that c can
 * delete a's lease without the agreement of any other instance.
 */
static void run_shrunken_region_case(uint64_t seed)
{
	struct cluster *c = cluster_new(seed, 1, 1);
	struct instance *holder;
	int a, x, other;

	c->new_address_share = 1;
	for (int i = 0; i < 3; i++)
		cluster_join(c, "coast");
	cluster_run_until(c, 10000);
	holder = cluster_acting_owner(c, 0);
	g_assert_nonnull(holder);
	a = holder->index;
	x = (a + 1) % 3;
	other = (a + 2) % 3;
	c->instances[x].platform_cut = true;
	cut_pair(c, x, a, true);
	cut_pair(c, x, other, true);
	cluster_run_until(c, c->now + 4500 + (fg_ms)seed * 20);
	holder->platform_cut = true;
	cluster_run_until(c, c->now + 400);
	cut_pair(c, a, other, true);
	cut_pair(c, a, x, false);
	cluster_run_until(c, c->now + 15000);
	cluster_free(c);
}

static void test_shrunken_region(void)
{
	for (uint64_t seed = 1; seed <= 60; seed++)
		run_shrunken_region_case(seed);
}

/*
 * The only instance of a region keeps its key through an outage of the
 * platform, but not when that instance alone is cut off: a new instance that it
 * does not know may take over the key.
 */
static void test_only_instance_of_region(void)
{
	struct cluster *c = cluster_new(11, 2, 2);
	struct instance *single = cluster_join(c, c->key_region[1]);

	c->new_address_share = 1;
	for (int i = 0; i < 3; i++)
		cluster_join(c, c->key_region[0]);
	cluster_run_until(c, 10000);
	g_assert_true(cluster_acting_owner(c, 1) == single);
	c->outage_until = c->now + 20000;
	cluster_run_until(c, c->now + 15000);
	g_assert_true(cluster_acting_owner(c, 1) == single);
	cluster_run_until(c, c->now + 15000);
	single->partition = 1;
	single->platform_cut = true;
	cluster_join(c, c->key_region[1]);
	cluster_run_until(c, c->now + 20000);
	g_assert_nonnull(cluster_acting_owner(c, 1));
	g_assert_true(cluster_acting_owner(c, 1) != single);
	cluster_free(c);
}

static void test_row_codec(void)
{
	struct fg_owner_row row = { .owner = UINT64_MAX - 1, .fence = 9 };
	struct fg_owner_row back;
	g_autofree char *text = NULL;

	row.n_intents = 1;
	row.intents[0] = (struct fg_intent){ .id = UINT64_MAX,
					     .slot = 3,
					     .victim = { 4000000000u, 2 },
					     .av = { 1, 4000000000u },
					     .fence = 8,
					     .life_ms = 500 };
	text = fg_owner_row_encode(&row);
	g_assert_true(fg_owner_row_decode(text, &back));
	g_assert_cmpmem(&row, sizeof(row), &back, sizeof(back));
	g_assert_false(fg_owner_row_decode("{}", &back));
	g_assert_false(fg_owner_row_decode("[", &back));
	g_assert_false(fg_owner_row_decode(
		"{\"format\":1,\"owner\":\"x\",\"fence\":1,\"intents\":[]}",
		&back));
}

/* ---- Seeded runs ---- */

static struct instance *pick_live_instance(struct cluster *c)
{
	struct instance *n = &c->instances[fg_rand_below(
		&c->rand, (uint64_t)c->n_instances)];

	return n->alive ? n : NULL;
}

static void cut_sides(struct cluster *c, bool platform_too)
{
	uint64_t share = 1 + fg_rand_below(&c->rand, 9);
	uint64_t cut_side = fg_rand_below(&c->rand, 2);

	for (int i = 0; i < c->n_instances; i++) {
		struct instance *n = &c->instances[i];

		n->partition = fg_rand_below(&c->rand, 10) < share;
		n->platform_cut = platform_too && n->partition == (int)cut_side;
	}
}

/* Cuts random pairs of instances, both ways, so that reachability is not
 * transitive, and some instances from the platform. */
static void cut_pairs(struct cluster *c)
{
	uint64_t share = 1 + fg_rand_below(&c->rand, 8);
	uint64_t platform = fg_rand_below(&c->rand, 10);

	for (int i = 0; i < c->n_instances; i++) {
		c->instances[i].platform_cut =
			fg_rand_below(&c->rand, 10) < platform;
		for (int j = 0; j < i; j++) {
			bool cut = fg_rand_below(&c->rand, 10) < share;

			c->link_cut[i][j] = cut;
			c->link_cut[j][i] = cut;
		}
	}
}

/* Replaces an instance by a new one, after a planned stop or a crash. */
static void replace_instance(struct cluster *c, struct instance *n)
{
	const char *region = g_intern_string(n->self.region);

	if (fg_rand_below(&c->rand, 2) == 0) {
		cluster_leave(c, n);
		cluster_run_until(c, c->now + 1500);
	}
	cluster_kill(c, n);
	cluster_join(c, region);
}

static void inject_fault(struct cluster *c)
{
	struct instance *n = pick_live_instance(c);
	fg_ms length_ms = (fg_ms)fg_rand_below(&c->rand, 9000);

	switch (fg_rand_below(&c->rand, 12)) {
	case 0:
		c->outage_until = c->now + length_ms * 2;
		break;
	case 1:
		c->lost_answer_share = fg_rand_unit(&c->rand) / 2;
		break;
	case 2:
		c->slow_share = fg_rand_unit(&c->rand) / 2;
		break;
	case 3:
		c->lost_msg_share = fg_rand_unit(&c->rand) / 2;
		break;
	case 4:
		if (n != NULL)
			n->paused_until = c->now + length_ms;
		break;
	case 5:
		if (n != NULL)
			n->platform_cut = !n->platform_cut;
		break;
	case 6:
		cut_sides(c, false);
		break;
	case 7:
		cut_sides(c, true);
		break;
	case 8:
		if (n != NULL)
			replace_instance(c, n);
		break;
	case 9:
	case 10:
		cut_pairs(c);
		break;
	default:
		cluster_clear_faults(c);
		break;
	}
}

static void send_random_order(struct cluster *c)
{
	int k = (int)fg_rand_below(&c->rand, (uint64_t)c->n_keys);
	struct instance *n = cluster_acting_owner(c, k);

	if (n != NULL && n->paused_until <= c->now)
		cluster_store_intent(c, n, k,
				     fg_hash_mix(n->self.id, ++n->next_intent));
}

/* When two thirds of a region's rows or more belong to dead instances, the live
 * ones cannot delete them without new instances, by design
 * (docs/design/membership.md): adds instances. */
static void restore_quorum(struct cluster *c)
{
	for (int k = 0; k < c->n_keys; k++) {
		const char *region = c->key_region[k];

		while (cluster_count_dead_rows(c, region) >=
		       2 * cluster_count_live(c, region))
			g_assert_nonnull(cluster_join(c, region));
	}
}

static void run_seed(uint64_t seed)
{
	struct fg_rand rand;
	struct cluster *c;
	int n_regions;

	fg_rand_seed(&rand, seed * 7919 + 1);
	n_regions = 1 + (int)fg_rand_below(&rand, 2);
	c = cluster_new(seed, 4, n_regions);
	c->new_address_share = fg_rand_unit(&rand) / 2;
	for (int i = 0, n = 3 + (int)fg_rand_below(&rand, 7); i < n; i++)
		cluster_join(c, c->key_region[i % n_regions]);
	cluster_run_until(c, 4000);
	for (int i = 0; i < 25; i++) {
		uint64_t gap_ms = fg_rand_below(&rand, 5) == 0 ? 4000 : 500;

		inject_fault(c);
		for (int j = 0; j < 4; j++) {
			cluster_run_until(c, c->now + (fg_ms)fg_rand_below(
							      &rand, gap_ms));
			send_random_order(c);
		}
	}
	cluster_clear_faults(c);
	cluster_run_until(c, c->now + 5000);
	restore_quorum(c);
	/* A region whose instances were all replaced waits for ten leases. */
	for (fg_ms end = c->now + 80000;
	     c->now < end && !cluster_all_keys_owned(c);)
		cluster_run_until(c, c->now + 1000);
	cluster_run_until(c, c->now + 15000);
	if (!cluster_all_keys_owned(c))
		g_error("seed %" PRIu64 ": a key has no owner", seed);
	cluster_free(c);
}

/* FG_TEST_FIRST and FG_TEST_SEEDS select other seeds, for longer runs. */
static void test_seeds(void)
{
	uint64_t first = sim_env_number("FG_TEST_FIRST", 1);
	uint64_t n = sim_env_number("FG_TEST_SEEDS", SEEDS);

	for (uint64_t seed = first; seed < first + n; seed++) {
		current_seed = seed;
		run_seed(seed);
	}
}

/* SIGABRT handler: prints the seed of a failed assertion for a single rerun. */
static void print_failed_seed(int sig)
{
	char text[64];
	int n = g_snprintf(text, sizeof(text), "# seed %" PRIu64 "\n",
			   current_seed);
	ssize_t written = write(STDERR_FILENO, text, (size_t)n);

	(void)written;
	signal(sig, SIG_DFL);
}

int main(int argc, char **argv)
{
	signal(SIGABRT, print_failed_seed);
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/owner/claims_are_batched", test_claims_are_batched);
	g_test_add_func("/owner/takeover", test_takeover);
	g_test_add_func("/owner/takeover_defaults", test_takeover_defaults);
	g_test_add_func("/owner/killed_early", test_killed_after_join);
	g_test_add_func("/owner/two_of_four_killed", test_two_of_four_killed);
	g_test_add_func("/owner/hand_over", test_handover);
	g_test_add_func("/owner/intents", test_intents_stored);
	g_test_add_func("/owner/intents_with_faults", test_intents_with_faults);
	g_test_add_func("/owner/intent_refused", test_refused_intents);
	g_test_add_func("/owner/hint", test_ownership_hint);
	g_test_add_func("/owner/paused_between_check_and_send",
			test_paused_between_check_and_send);
	g_test_add_func("/owner/news_is_passed_on", test_platform_news_relayed);
	g_test_add_func("/owner/minority_with_platform",
			test_minority_with_platform);
	g_test_add_func("/owner/shrunken_region", test_shrunken_region);
	g_test_add_func("/owner/lone_instance", test_only_instance_of_region);
	g_test_add_func("/owner/row_codec", test_row_codec);
	g_test_add_func("/owner/seeds", test_seeds);
	return g_test_run();
}
