/* Unit tests of engine ownership: rows, live instances and races. */
#include <glib.h>
#include <string.h>

#include "base/fg_rand.h"
#include "claim/fg_claim.h"

static struct fg_fleet_ep *new_endpoint(const char *id, const char *dc)
{
	struct fg_fleet_ep *ep = g_new0(struct fg_fleet_ep, 1);

	g_strlcpy(ep->facts.id, id, sizeof(ep->facts.id));
	g_strlcpy(ep->facts.dc, dc, sizeof(ep->facts.dc));
	g_strlcpy(ep->region, dc, sizeof(ep->region));
	ep->hash = fg_hash_str(id);
	return ep;
}

static struct fg_claim_candidate new_candidate(uint64_t incarnation,
					       const char *name,
					       const char *region, bool self)
{
	struct fg_claim_candidate c = { .incarnation = incarnation,
					.hash = fg_hash_str(name),
					.dc = region,
					.region = region,
					.self = self };

	return c;
}

static uint32_t select_one(struct fg_claims *c, fg_ms now,
			   struct fg_fleet_ep *ep,
			   const struct fg_claim_candidate *live, uint32_t n,
			   struct fg_claim_write *out)
{
	return fg_claims_select(c, now, &ep, 1, live, n, out, 1);
}

static void test_take_over(void)
{
	struct fg_claims *c = fg_claims_new(1);
	struct fg_fleet_ep *ep = new_endpoint("e", "r1");
	struct fg_claim_candidate live[] = { new_candidate(1, "a", "r1", true),
					     new_candidate(2, "b", "r2",
							   false) };
	struct fg_claim_write w;

	/* There is no row: the claim requires that none exists. */
	g_assert_cmpuint(select_one(c, 1000, ep, live, 2, &w), ==, 1);
	g_assert_cmpuint(w.expected, ==, 0);
	g_assert_cmpuint(fg_claims_fence(c, "e"), ==, 0);
	fg_claims_handle_result(c, 1000, &w, 1, 50);
	g_assert_cmpuint(fg_claims_fence(c, "e"), ==, 50);
	g_assert_cmpuint(select_one(c, 1100, ep, live, 2, &w), ==, 0);
	/* Another instance took over: no orders, and no claim for a while. */
	fg_claims_apply_row(c, 2000, "e", "0000000000000002 b", 60);
	g_assert_cmpuint(fg_claims_fence(c, "e"), ==, 0);
	g_assert_cmpuint(fg_claims_owner(c, "e"), ==, 2);
	g_assert_cmpuint(select_one(c, 2100, ep, live, 2, &w), ==, 0);
	/* The new owner is in another region: the engine is claimed later. */
	g_assert_cmpuint(
		select_one(c, 2000 + FG_CLAIM_BACKOFF_MS, ep, live, 2, &w), ==,
		1);
	g_assert_cmpuint(w.expected, ==, 60);
	fg_claims_free(c);
	g_free(ep);
}

/* An earlier incarnation of an instance counts as another owner. */
static void test_incarnation(void)
{
	struct fg_claims *c = fg_claims_new(9);
	struct fg_fleet_ep *ep = new_endpoint("e", "r1");
	struct fg_claim_candidate live[] = { new_candidate(9, "a", "r1",
							   true) };
	struct fg_claim_write w;

	fg_claims_apply_row(c, 1000, "e", "0000000000000008 a", 40);
	g_assert_cmpuint(fg_claims_fence(c, "e"), ==, 0);
	g_assert_cmpuint(select_one(c, 1000, ep, live, 1, &w), ==, 1);
	g_assert_cmpuint(w.expected, ==, 40);
	/* The result of the write is unknown until the row is read. */
	fg_claims_handle_result(c, 1000, &w, 1, 0);
	g_assert_cmpuint(fg_claims_fence(c, "e"), ==, 0);
	fg_claims_apply_row(c, 1100, "e", "0000000000000009 a", 41);
	g_assert_cmpuint(fg_claims_fence(c, "e"), ==, 41);
	/* An older row that arrives late changes nothing. */
	fg_claims_apply_row(c, 1200, "e", "0000000000000008 a", 40);
	g_assert_cmpuint(fg_claims_fence(c, "e"), ==, 41);
	fg_claims_free(c);
	g_free(ep);
}

static void test_fenced(void)
{
	struct fg_claims *c = fg_claims_new(1);
	struct fg_fleet_ep *ep = new_endpoint("e", "r1");
	struct fg_claim_candidate live[] = { new_candidate(1, "a", "r1",
							   true) };
	struct fg_claim_write w;

	fg_claims_apply_row(c, 1000, "e", "0000000000000001 a", 40);
	fg_claims_handle_fenced(c, 1000, "e");
	g_assert_cmpuint(fg_claims_fence(c, "e"), ==, 0);
	g_assert_cmpuint(select_one(c, 1100, ep, live, 1, &w), ==, 0);
	g_assert_cmpuint(
		select_one(c, 1000 + FG_CLAIM_BACKOFF_MS, ep, live, 1, &w), ==,
		1);
	fg_claims_handle_result(c, 7000, &w, 1, 90);
	g_assert_cmpuint(fg_claims_fence(c, "e"), ==, 90);
	fg_claims_free(c);
	g_free(ep);
}

static void test_full_read(void)
{
	struct fg_claims *c = fg_claims_new(1);

	fg_claims_apply_row(c, 1000, "e", "0000000000000001 a", 40);
	fg_claims_begin_full_read(c);
	fg_claims_end_full_read(c);
	g_assert_cmpuint(fg_claims_fence(c, "e"), ==, 0);
	fg_claims_free(c);
}

/* ---- Seeded races over one table ---- */

#define INSTANCES 4

struct table {
	uint64_t version;
	uint64_t row_version;
	char *value;
};

/* Instances see each other only some of the time, read late and lose answers.
 * At any time at most one of them holds the newest fencing number. */
static void run_seed(uint64_t seed)
{
	struct fg_claims *c[INSTANCES];
	struct fg_fleet_ep *ep = new_endpoint("e", "r1");
	struct table t = { 0 };
	struct fg_rand rand;
	uint64_t n_held = 0;

	fg_rand_seed(&rand, seed);
	for (uint32_t i = 0; i < INSTANCES; i++)
		c[i] = fg_claims_new(i + 1);
	for (fg_ms now = 1000; now < 60000; now += 100) {
		uint32_t i = (uint32_t)fg_rand_below(&rand, INSTANCES);
		struct fg_claim_candidate live[INSTANCES];
		struct fg_claim_write w;
		uint32_t n = 0;
		uint32_t n_newest = 0;

		for (uint32_t k = 0; k < INSTANCES; k++) {
			char name[4] = { (char)('a' + k), '\0' };

			if (k == i || fg_rand_below(&rand, 3) > 0)
				live[n++] = new_candidate(k + 1, name, "r1",
							  k == i);
		}
		if (t.value != NULL && fg_rand_below(&rand, 3) > 0)
			fg_claims_apply_row(c[i], now, "e", t.value,
					    t.row_version);
		if (select_one(c[i], now, ep, live, n, &w) == 1 &&
		    w.expected == t.row_version) {
			g_free(t.value);
			t.value = fg_claims_format_value(c[i], "x");
			t.row_version = ++t.version;
			fg_claims_handle_result(c[i], now, &w, 1,
						fg_rand_below(&rand, 4) == 0
							? 0
							: t.row_version);
		}
		for (uint32_t k = 0; k < INSTANCES; k++)
			n_newest +=
				fg_claims_fence(c[k], "e") == t.row_version &&
						t.row_version != 0
					? 1
					: 0;
		g_assert_cmpuint(n_newest, <=, 1);
		n_held += n_newest;
	}
	g_assert_cmpuint(n_held, >, 100);
	for (uint32_t i = 0; i < INSTANCES; i++)
		fg_claims_free(c[i]);
	g_free(t.value);
	g_free(ep);
}

static void test_random_races(void)
{
	for (uint64_t seed = 1; seed <= 200; seed++)
		run_seed(seed);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/claim/take_over", test_take_over);
	g_test_add_func("/claim/incarnation", test_incarnation);
	g_test_add_func("/claim/fenced", test_fenced);
	g_test_add_func("/claim/full_read", test_full_read);
	g_test_add_func("/claim/seeds", test_random_races);
	return g_test_run();
}
