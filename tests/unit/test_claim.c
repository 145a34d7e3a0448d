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
					.name = name,
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

static struct fg_claims *new_claims(uint64_t incarnation, const char *name,
				    bool fences_checked)
{
	struct fg_claims_conf conf = {
		.incarnation = incarnation,
		.name = name,
		.fences_checked = fences_checked,
		.turn_ms = 3000,
	};

	return fg_claims_new(&conf);
}

static void test_take_over(void)
{
	struct fg_claims *c = new_claims(1, "a", true);
	struct fg_fleet_ep *ep = new_endpoint("e", "r1");
	struct fg_claim_candidate live[] = { new_candidate(1, "a", "r1", true),
					     new_candidate(2, "b", "r2",
							   false) };
	struct fg_claim_write w;

	/* There is no row: the claim requires that none exists. */
	g_assert_cmpuint(select_one(c, 1000, ep, live, 2, &w), ==, 1);
	g_assert_cmpuint(w.expected, ==, 0);
	g_assert_cmpuint(fg_claims_fence(c, "e"), ==, 0);
	fg_claims_handle_result(c, 1000, &w, 1, 50, 1000);
	g_assert_cmpuint(fg_claims_fence(c, "e"), ==, 50);
	g_assert_cmpuint(fg_claims_order_wait_ms(c, 1000, "e"), ==, 0);
	g_assert_cmpuint(select_one(c, 1100, ep, live, 2, &w), ==, 0);
	/* Another instance took over: no orders, and no claim for a while, also
	 * when that instance is gone. */
	fg_claims_apply_row(c, 2000, "e", "0000000000000002 b a", 60);
	g_assert_cmpuint(fg_claims_fence(c, "e"), ==, 0);
	g_assert_cmpuint(fg_claims_order_wait_ms(c, 2000, "e"), ==, UINT32_MAX);
	g_assert_cmpuint(fg_claims_owner(c, "e"), ==, 2);
	g_assert_cmpuint(select_one(c, 2100, ep, live, 1, &w), ==, 0);
	g_assert_cmpuint(
		select_one(c, 1999 + FG_CLAIM_BACKOFF_MS, ep, live, 1, &w), ==,
		0);
	/* The new owner is in another region: the engine is claimed later. */
	g_assert_cmpuint(select_one(c, 2100, ep, live, 2, &w), ==, 0);
	g_assert_cmpuint(
		select_one(c, 2000 + FG_CLAIM_BACKOFF_MS, ep, live, 2, &w), ==,
		1);
	g_assert_cmpuint(w.expected, ==, 60);
	g_assert_cmpstr(w.value, ==, "0000000000000001 a b");
	fg_claims_free(c);
	g_free(ep);
}

/* An earlier incarnation of an instance counts as another owner. */
static void test_incarnation(void)
{
	struct fg_claims *c = new_claims(9, "a", true);
	struct fg_fleet_ep *ep = new_endpoint("e", "r1");
	struct fg_claim_candidate live[] = { new_candidate(9, "a", "r1",
							   true) };
	struct fg_claim_write w;

	fg_claims_apply_row(c, 1000, "e", "0000000000000008 a", 40);
	g_assert_cmpuint(fg_claims_fence(c, "e"), ==, 0);
	g_assert_cmpuint(select_one(c, 1000, ep, live, 1, &w), ==, 1);
	g_assert_cmpuint(w.expected, ==, 40);
	/* The result of the write is unknown until the row is read. */
	fg_claims_handle_result(c, 1000, &w, 1, 0, 1000);
	g_assert_cmpuint(fg_claims_fence(c, "e"), ==, 0);
	fg_claims_apply_row(c, 1100, "e", "0000000000000009 a", 41);
	g_assert_cmpuint(fg_claims_fence(c, "e"), ==, 41);
	/* An older row that arrives late changes nothing. */
	fg_claims_apply_row(c, 1200, "e", "0000000000000008 a", 40);
	g_assert_cmpuint(fg_claims_fence(c, "e"), ==, 41);
	fg_claims_free(c);
	g_free(ep);
}

/* After all instances ended together, none had an engine back for 0.9 s, since
 * each waited for heartbeats of the others first. */
static void test_restarted_owner(void)
{
	struct fg_claims *c = new_claims(9, "a", true);
	struct fg_fleet_ep *ep = new_endpoint("e", "r1");
	struct fg_claim_candidate live[] = { new_candidate(9, "a", "r2",
							   true) };
	struct fg_claim_write w;

	g_assert_false(fg_claims_is_restarted_owner(c, "e"));
	/* Another owner, and one that has released the engine. */
	fg_claims_apply_row(c, 1000, "e", "0000000000000008 b a", 40);
	g_assert_false(fg_claims_is_restarted_owner(c, "e"));
	fg_claims_apply_row(c, 1000, "e", "0000000000000000 a b", 41);
	g_assert_false(fg_claims_is_restarted_owner(c, "e"));
	fg_claims_apply_row(c, 1000, "e", "0000000000000008 a b", 42);
	g_assert_true(fg_claims_is_restarted_owner(c, "e"));
	g_assert_cmpuint(select_one(c, 1000, ep, live, 1, &w), ==, 1);
	g_assert_cmpuint(w.expected, ==, 42);
	fg_claims_apply_row(c, 1100, "e", "0000000000000009 a b", 43);
	g_assert_false(fg_claims_is_restarted_owner(c, "e"));
	fg_claims_free(c);
	g_free(ep);
}

static void test_fenced(void)
{
	struct fg_claims *c = new_claims(1, "a", true);
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
	fg_claims_handle_result(c, 7000, &w, 1, 90, 6990);
	g_assert_cmpuint(fg_claims_fence(c, "e"), ==, 90);
	fg_claims_free(c);
	g_free(ep);
}

static void test_full_read(void)
{
	struct fg_claims *c = new_claims(1, "a", true);

	fg_claims_apply_row(c, 1000, "e", "0000000000000001 a", 40);
	fg_claims_begin_full_read(c);
	fg_claims_end_full_read(c);
	g_assert_cmpuint(fg_claims_fence(c, "e"), ==, 0);
	fg_claims_free(c);
}

/* Claims the engine from `row` at 10000; returns the wait for an order. */
static uint32_t claim_from(struct fg_claims *c, struct fg_fleet_ep *ep,
			   const char *row,
			   const struct fg_claim_candidate *live, uint32_t n)
{
	struct fg_claim_write w;

	fg_claims_apply_row(c, 1000, "e", row, 40);
	g_assert_cmpuint(select_one(c, 10000, ep, live, n, &w), ==, 1);
	fg_claims_handle_result(c, 10000, &w, 1, 50, 9990);
	return fg_claims_order_wait_ms(c, 10000, "e");
}

/* The wait for the former owner's orders, where engines check nothing. */
static void test_takeover_waits(void)
{
	static const struct {
		const char *row;
		uint32_t wait_ms;
	} cases[] = {
		{ "0000000000000002 b", FG_CLAIM_TAKEOVER_MS },
		{ "0000000000000002+0 b", FG_CLAIM_TAKEOVER_MS },
		{ "0000000000000000+0 b", FG_CLAIM_FLIGHT_MS },
		/* An earlier incarnation of this instance. */
		{ "0000000000000005+0 a", 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fg_claims *c = new_claims(1, "a", false);
		struct fg_fleet_ep *ep = new_endpoint("e", "r1");
		struct fg_claim_candidate live[] = {
			new_candidate(1, "a", "r1", true),
		};

		g_assert_cmpuint(claim_from(c, ep, cases[i].row, live, 1), ==,
				 cases[i].wait_ms);
		fg_claims_free(c);
		g_free(ep);
	}
}

/* An owner that has not settled may have taken over from one that still
 * orders. The wait counts from the time at which its row was read. */
static void test_unsettled_owner(void)
{
	struct fg_claims *c = new_claims(1, "a", false);
	struct fg_fleet_ep *ep = new_endpoint("e", "r1");
	struct fg_claim_candidate live[] = { new_candidate(1, "a", "r1",
							   true) };
	struct fg_claim_write w;

	fg_claims_apply_row(c, 9000, "e", "0000000000000005 a b", 40);
	g_assert_cmpuint(select_one(c, 10000, ep, live, 1, &w), ==, 1);
	g_assert_cmpuint(w.wait_ms, ==, FG_CLAIM_TAKEOVER_MS - 1000);
	fg_claims_free(c);
	g_free(ep);
}

/* The right to order ends with the proof and returns with the next one. */
static void test_proof_expires(void)
{
	struct fg_claims *c = new_claims(1, "a", false);
	struct fg_fleet_ep *ep = new_endpoint("e", "r1");
	struct fg_claim_candidate live[] = { new_candidate(1, "a", "r1",
							   true) };
	fg_ms end = 9990 + FG_CLAIM_PROOF_MAX_MS;

	g_assert_cmpuint(claim_from(c, ep, "0000000000000005+0 a", live, 1), ==,
			 0);
	g_assert_cmpuint(fg_claims_order_wait_ms(c, end - 1, "e"), ==, 0);
	g_assert_cmpuint(fg_claims_order_wait_ms(c, end, "e"), ==, UINT32_MAX);
	fg_claims_prove(c, end - 100);
	g_assert_cmpuint(fg_claims_order_wait_ms(c, end, "e"), ==, 0);
	/* Proofs from before the return of an older copy are void. */
	fg_claims_start_era(c, end + 10, 1);
	fg_claims_prove(c, end + 5);
	g_assert_cmpuint(fg_claims_order_wait_ms(c, end + 20, "e"), ==,
			 UINT32_MAX);
	fg_claims_free(c);
	g_free(ep);
}

/* A restored row waits again although it is settled in an earlier era. */
static void test_settled_in_earlier_era(void)
{
	struct fg_claims *c = new_claims(1, "a", false);
	struct fg_fleet_ep *ep = new_endpoint("e", "r1");
	struct fg_claim_candidate live[] = { new_candidate(1, "a", "r1",
							   true) };
	struct fg_claim_write w;

	fg_claims_set_era(c, 1);
	fg_claims_apply_row(c, 9000, "e", "0000000000000005+0 a b", 40);
	g_assert_cmpuint(select_one(c, 9000, ep, live, 1, &w), ==, 1);
	g_assert_cmpuint(w.wait_ms, ==, FG_CLAIM_TAKEOVER_MS);
	fg_claims_free(c);
	g_free(ep);
}

/* Another instance ordered since this one's last order. */
static void test_turns(void)
{
	struct fg_claims *c = new_claims(1, "a", true);
	struct fg_fleet_ep *ep = new_endpoint("e", "r1");
	struct fg_claim_candidate live[] = { new_candidate(1, "a", "r1",
							   true) };
	struct fg_claim_write w;

	g_assert_cmpuint(claim_from(c, ep, "0000000000000002 b", live, 1), ==,
			 0);
	fg_claims_note_order(c, 16000, "e");
	fg_claims_apply_row(c, 11000, "e", "0000000000000002 b a", 60);
	g_assert_cmpuint(select_one(c, 16500, ep, live, 1, &w), ==, 1);
	fg_claims_handle_result(c, 16500, &w, 1, 70, 16500);
	g_assert_cmpuint(fg_claims_order_wait_ms(c, 16500, "e"), >=, 2500);
	fg_claims_free(c);
	g_free(ep);
}

/* Earlier owners do not claim while another candidate can. */
static void test_formers_come_last(void)
{
	struct fg_claims *c = new_claims(1, "a", true);
	struct fg_fleet_ep *ep = new_endpoint("e", "r1");
	/* The former owner is nearer. */
	struct fg_claim_candidate live[] = {
		new_candidate(1, "a", "r2", true),
		new_candidate(2, "b", "r1", false),
	};
	struct fg_claim_write w;

	fg_claims_apply_row(c, 1000, "e", "0000000000000003 c b", 40);
	g_assert_cmpuint(select_one(c, 1100, ep, live, 2, &w), ==, 1);
	g_assert_cmpuint(
		select_one(c, 1000 + FG_CLAIM_BACKOFF_MS, ep, live, 2, &w), ==,
		0);
	fg_claims_free(c);
	g_free(ep);
}

/* The owner gives up an engine of another region, and all when it stops. */
static void test_release(void)
{
	struct fg_claims *c = new_claims(1, "a", false);
	struct fg_fleet_ep *ep = new_endpoint("e", "r1");
	struct fg_claim_candidate live[] = {
		new_candidate(2, "b", "r1", false),
		new_candidate(1, "a", "r2", true),
	};
	struct fg_claim_write w;

	fg_claims_apply_row(c, 1000, "e", "0000000000000001 a", 40);
	g_assert_cmpuint(select_one(c, 1100, ep, live, 2, &w), ==, 0);
	g_assert_cmpuint(
		select_one(c, 1000 + FG_CLAIM_MOVE_AFTER_MS, ep, live, 2, &w),
		==, 1);
	g_assert_true(w.release);
	g_assert_cmpstr(w.value, ==, "0000000000000000 a");
	/* No order is sent while the release is under way. */
	g_assert_cmpuint(fg_claims_fence(c, "e"), ==, 0);
	fg_claims_handle_result(c, 6100, &w, 1, 41, 6050);
	g_assert_cmpuint(fg_claims_owner(c, "e"), ==, 0);

	/* The end of a wait is written, but a stop releases in any case. */
	fg_claims_apply_row(c, 7000, "e", "0000000000000001 a", 50);
	g_assert_cmpuint(select_one(c, 7000, ep, live, 1, &w), ==, 1);
	g_assert_true(w.release);
	fg_claims_free(c);
	g_free(ep);
}

/* Settling raises the fencing number within one ownership. */
static void test_tenure(void)
{
	struct fg_claims *c = new_claims(1, "a", false);
	struct fg_fleet_ep *ep = new_endpoint("e", "r1");
	struct fg_claim_candidate live[] = { new_candidate(1, "a", "r1",
							   true) };
	struct fg_claim_write w;
	uint64_t tenure;

	claim_from(c, ep, "0000000000000002 b", live, 1);
	tenure = fg_claims_tenure(c, "e");
	g_assert_cmpuint(tenure, !=, 0);
	g_assert_cmpuint(select_one(c, 10100, ep, live, 1, &w), ==, 0);
	fg_claims_prove(c, 13000);
	g_assert_cmpuint(select_one(c, 13100, ep, live, 1, &w), ==, 1);
	g_assert_true(w.settle);
	g_assert_cmpstr(w.value, ==, "0000000000000001+0 a b");
	fg_claims_handle_result(c, 13110, &w, 1, 60, 13100);
	g_assert_cmpuint(fg_claims_fence(c, "e"), ==, 60);
	g_assert_cmpuint(fg_claims_tenure(c, "e"), ==, tenure);
	g_assert_cmpuint(fg_claims_order_wait_ms(c, 13110, "e"), ==, 0);
	/* Another owner may have been lost with what a restored table lost. */
	fg_claims_start_era(c, 14000, 1);
	fg_claims_apply_row(c, 14100, "e", "0000000000000001+0 a b",
			    UINT64_C(1) << 40 | 60);
	g_assert_cmpuint(fg_claims_tenure(c, "e"), !=, tenure);
	fg_claims_apply_row(c, 15000, "e", "0000000000000002 b a",
			    UINT64_C(1) << 40 | 70);
	g_assert_cmpuint(fg_claims_tenure(c, "e"), ==, 0);
	fg_claims_free(c);
	g_free(ep);
}

/* Where engines check fencing numbers, others need no release. */
static void test_takeover_without_release(void)
{
	struct fg_claims *c = new_claims(1, "a", true);
	struct fg_fleet_ep *ep = new_endpoint("e", "r1");
	struct fg_claim_candidate live[] = {
		new_candidate(1, "a", "r1", true),
		new_candidate(2, "b", "r1", false),
	};
	struct fg_claim_write w;

	fg_claims_apply_row(c, 1000, "e", "0000000000000002 b", 40);
	g_assert_cmpuint(select_one(c, 1100, ep, live, 2, &w), ==, 0);
	live[1].leaving = true;
	g_assert_cmpuint(select_one(c, 1100, ep, live, 2, &w), ==, 1);
	g_assert_cmpuint(w.wait_ms, ==, 0);
	live[1] = new_candidate(2, "b", "r2", false);
	g_assert_cmpuint(select_one(c, 1200, ep, live, 2, &w), ==, 1);
	/* The owner itself goes on until it reads the other row. */
	fg_claims_apply_row(c, 1300, "e", "0000000000000001 a", 50);
	live[0].region = "r2";
	live[0].dc = "r2";
	live[1] = new_candidate(2, "b", "r1", false);
	g_assert_cmpuint(select_one(c, 9000, ep, live, 2, &w), ==, 0);
	g_assert_cmpuint(fg_claims_fence(c, "e"), ==, 50);
	fg_claims_free(c);
	g_free(ep);
}

/* ---- Seeded races over one table ---- */

#define INSTANCES 4

static const char *const instance_names[INSTANCES] = { "a", "b", "c", "d" };

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
		c[i] = new_claims(i + 1, instance_names[i], true);
	for (fg_ms now = 1000; now < 60000; now += 100) {
		uint32_t i = (uint32_t)fg_rand_below(&rand, INSTANCES);
		struct fg_claim_candidate live[INSTANCES];
		struct fg_claim_write w;
		uint32_t n = 0;
		uint32_t n_newest = 0;

		for (uint32_t k = 0; k < INSTANCES; k++) {
			if (k == i || fg_rand_below(&rand, 3) > 0)
				live[n++] = new_candidate(
					k + 1, instance_names[k], "r1", k == i);
		}
		if (t.value != NULL && fg_rand_below(&rand, 3) > 0)
			fg_claims_apply_row(c[i], now, "e", t.value,
					    t.row_version);
		if (select_one(c[i], now, ep, live, n, &w) == 1 &&
		    w.expected == t.row_version) {
			g_free(t.value);
			t.value = g_strdup(w.value);
			t.row_version = ++t.version;
			fg_claims_handle_result(c[i], now, &w, 1,
						fg_rand_below(&rand, 4) == 0
							? 0
							: t.row_version,
						now);
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
	g_test_add_func("/claim/restarted_owner", test_restarted_owner);
	g_test_add_func("/claim/fenced", test_fenced);
	g_test_add_func("/claim/full_read", test_full_read);
	g_test_add_func("/claim/takeover_waits", test_takeover_waits);
	g_test_add_func("/claim/unsettled_owner", test_unsettled_owner);
	g_test_add_func("/claim/proof_expires", test_proof_expires);
	g_test_add_func("/claim/settled_in_earlier_era",
			test_settled_in_earlier_era);
	g_test_add_func("/claim/turns", test_turns);
	g_test_add_func("/claim/formers_come_last", test_formers_come_last);
	g_test_add_func("/claim/release", test_release);
	g_test_add_func("/claim/tenure", test_tenure);
	g_test_add_func("/claim/takeover_without_release",
			test_takeover_without_release);
	g_test_add_func("/claim/seeds", test_random_races);
	return g_test_run();
}
