/*
 * Shares of an endpoint's limit, at many instances in virtual time. A judge
 * checks the platform's rule at the endpoint: in no WINDOW_MS more than one and
 * a half times what the limit allows, and five, from CONTACT_MS after the limit
 * was named. Room at brittle endpoints: all shares together are its slots.
 */
#include <glib.h>

#include "fleet/fg_brittle.h"
#include "fleet/fg_limit.h"

#define CONTACT_MS 4000
#define WINDOW_MS 4000
#define STEP_MS 50
#define UPDATE_MS 200
#define LENGTH_MS 60000
#define NODES_MAX 600
/* Longest wait for a load between the assignment of a request and its arrival.
 */
#define DELAY_MAX_MS 2200

struct run {
	uint32_t n_nodes;
	double limit_per_s;
	uint32_t asked_permille; /* of the instances, at each step */
	fg_ms quiet_ms;		 /* no requests until then */
	uint32_t unseen;	 /* instances that each other one may not see */
	bool churn;		 /* instances end and start */
	bool shared;		 /* false: each keeps the limit for itself */
};

struct sim {
	const struct run *run;
	struct fg_rand rand;
	struct fg_fleet_ep *eps; /* one endpoint, as each instance knows it */
	uint64_t *ids;
	GArray *arrivals; /* fg_ms */
};

static void update_node(struct sim *s, fg_ms now, uint32_t node)
{
	uint64_t others[NODES_MAX];
	uint32_t n = 0;
	uint32_t hidden = s->run->unseen;

	for (uint32_t i = 0; i < s->run->n_nodes; i++) {
		if (i == node)
			continue;
		/* The view differs from second to second. */
		if (hidden > 0 && fg_hash_mix(s->ids[i] ^ s->ids[node],
					      (uint64_t)now / 3000) %
						  8 ==
					  0) {
			hidden--;
			continue;
		}
		others[n++] = s->ids[i];
	}
	fg_limit_update(&s->eps[node], now, s->ids[node], others, n, &s->rand);
}

static void name_limit(struct sim *s, uint32_t node)
{
	s->eps[node].hash = 42;
	fg_ep_set_limit(&s->eps[node], s->run->limit_per_s);
}

static void restart_node(struct sim *s, uint32_t node)
{
	s->ids[node] = fg_rand_next(&s->rand) | 1;
	s->eps[node] = (struct fg_fleet_ep){ 0 };
	name_limit(s, node);
}

/* Without shares, as if each instance were alone. */
static void update_alone(struct sim *s, fg_ms now, uint32_t node)
{
	fg_limit_update(&s->eps[node], now, s->ids[node], NULL, 0, &s->rand);
}

static void step_node(struct sim *s, fg_ms now, uint32_t node)
{
	fg_ms at = now;

	if (now % UPDATE_MS == 0)
		(s->run->shared ? update_node : update_alone)(s, now, node);
	if (s->run->churn && fg_rand_below(&s->rand, 16000) == 0)
		restart_node(s, node);
	if (now < s->run->quiet_ms ||
	    fg_rand_below(&s->rand, 1000) >= s->run->asked_permille ||
	    !fg_limit_allows(&s->eps[node], now))
		return;
	fg_limit_take(&s->eps[node], now);
	if (fg_rand_below(&s->rand, 3) == 0)
		at += (fg_ms)fg_rand_below(&s->rand, DELAY_MAX_MS);
	g_array_append_val(s->arrivals, at);
}

static int compare_times(gconstpointer a, gconstpointer b)
{
	fg_ms x = *(const fg_ms *)a;
	fg_ms y = *(const fg_ms *)b;

	return x < y ? -1 : x > y;
}

/* Returns the largest number of arrivals within a window. */
static uint32_t find_worst_window(GArray *arrivals)
{
	uint32_t worst = 0;
	guint begin = 0;

	g_array_sort(arrivals, compare_times);
	for (guint i = 0; i < arrivals->len; i++) {
		fg_ms at = g_array_index(arrivals, fg_ms, i);

		while (at - g_array_index(arrivals, fg_ms, begin) >= WINDOW_MS)
			begin++;
		if (g_array_index(arrivals, fg_ms, begin) >= CONTACT_MS)
			worst = MAX(worst, i - begin + 1);
	}
	return worst;
}

static uint32_t play(const struct run *run, uint64_t seed, uint32_t *total)
{
	struct sim s = { .run = run };
	uint32_t worst;

	fg_rand_seed(&s.rand, seed);
	s.eps = g_new0(struct fg_fleet_ep, run->n_nodes);
	s.ids = g_new0(uint64_t, run->n_nodes);
	s.arrivals = g_array_new(FALSE, FALSE, sizeof(fg_ms));
	for (uint32_t i = 0; i < run->n_nodes; i++)
		restart_node(&s, i);
	for (fg_ms now = 0; now < LENGTH_MS; now += STEP_MS) {
		for (uint32_t i = 0; i < run->n_nodes; i++)
			step_node(&s, now, i);
	}
	worst = find_worst_window(s.arrivals);
	*total = s.arrivals->len;
	g_array_unref(s.arrivals);
	g_free(s.eps);
	g_free(s.ids);
	return worst;
}

static double allowed(const struct run *run)
{
	return 1.5 * run->limit_per_s * WINDOW_MS / FG_MS_PER_S + 5;
}

static const double limits[] = { 0, 0.05, 0.5, 1, 2.5, 10, 300 };
static const uint32_t counts[] = { 1, 3, 7, 64, 195 };

static void check_runs(struct run run, uint64_t seeds)
{
	for (size_t i = 0; i < G_N_ELEMENTS(limits); i++) {
		for (size_t k = 0; k < G_N_ELEMENTS(counts); k++) {
			run.limit_per_s = limits[i];
			run.n_nodes = counts[k];
			for (uint64_t seed = 1; seed <= seeds; seed++) {
				uint32_t total;
				uint32_t worst = play(&run, seed, &total);

				if (worst > allowed(&run))
					g_error("limit %g, %u instances, seed "
						"%u: %u in a window, %g "
						"allowed",
						run.limit_per_s, run.n_nodes,
						(uint32_t)seed, worst,
						allowed(&run));
			}
		}
	}
}

static void test_steady(void)
{
	check_runs((struct run){ .asked_permille = 1000, .shared = true }, 2);
	check_runs((struct run){ .asked_permille = 30, .shared = true }, 2);
}

static void test_largest(void)
{
	struct run run = { .asked_permille = 1000,
			   .quiet_ms = 40000,
			   .limit_per_s = 1,
			   .n_nodes = NODES_MAX,
			   .shared = true };
	uint32_t total;

	g_assert_cmpuint(play(&run, 3, &total), <=, (uint32_t)allowed(&run));
}

static void test_burst_after_quiet(void)
{
	check_runs((struct run){ .asked_permille = 1000,
				 .quiet_ms = 40000,
				 .shared = true },
		   3);
}

static void test_views_differ(void)
{
	check_runs((struct run){ .asked_permille = 1000,
				 .unseen = 2,
				 .shared = true },
		   2);
}

static void test_restarts(void)
{
	check_runs((struct run){ .asked_permille = 1000,
				 .churn = true,
				 .shared = true },
		   2);
}

/* The judge finds instances that each keep the limit for themselves. */
static void test_unshared(void)
{
	struct run run = { .asked_permille = 1000,
			   .limit_per_s = 1,
			   .n_nodes = 7 };
	uint32_t total;

	g_assert_cmpuint(play(&run, 1, &total), >, (uint32_t)allowed(&run));
}

/* Under steady demand most of the limit is used. */
static void test_limit_is_used(void)
{
	struct run run = { .asked_permille = 500,
			   .limit_per_s = 10,
			   .n_nodes = 7,
			   .shared = true };
	uint32_t total;

	play(&run, 1, &total);
	g_assert_cmpuint(total, >=, 10 * LENGTH_MS / FG_MS_PER_S / 2);
}

static void test_naming(void)
{
	struct fg_fleet_ep ep = { 0 };
	struct fg_rand rand;

	fg_rand_seed(&rand, 3);
	g_assert_true(fg_limit_allows(&ep, 0));
	g_assert_true(fg_ep_set_limit(&ep, 2));
	g_assert_false(fg_ep_set_limit(&ep, 2));
	g_assert_false(fg_limit_allows(&ep, 0)); /* no share yet */
	fg_limit_update(&ep, 0, 1, NULL, 0, &rand);
	g_assert_true(fg_limit_allows(&ep, 1000));
	fg_limit_take(&ep, 1000);
	g_assert_false(fg_limit_allows(&ep, 1500));
	/* A higher limit takes effect before the old interval ends. */
	g_assert_true(fg_ep_set_limit(&ep, 100));
	fg_limit_update(&ep, 1010, 1, NULL, 0, &rand);
	g_assert_true(fg_limit_allows(&ep, 1100));
	g_assert_true(fg_ep_clear_limit(&ep));
	g_assert_false(fg_ep_clear_limit(&ep));
	g_assert_true(fg_limit_allows(&ep, 1100));
}

/* ---- Brittle endpoints ---- */

#define BRITTLE_INSTANCES 600

static const char *region_of_any(void *ctx, const char *dc)
{
	(void)ctx;
	(void)dc;
	return "r";
}

static struct fg_fleet_ep *put_brittle(struct fg_fleet *f, const char *id,
				       const char *service, uint32_t slots)
{
	struct fg_ep_facts facts = { .slots = slots };

	g_strlcpy(facts.id, id, sizeof(facts.id));
	g_strlcpy(facts.service, service, sizeof(facts.service));
	g_strlcpy(facts.address, "10.0.0.1:80", sizeof(facts.address));
	return fg_fleet_put(f, 1000, &facts);
}

/* All instances together never have more requests at an endpoint than it runs,
 * and use all of its slots, also when there are more instances than slots. */
static void test_brittle_room(void)
{
	static const uint32_t sizes[] = { 1, 3, 7, 64, BRITTLE_INSTANCES };
	static const uint32_t slots[] = { 0, 1, 6, 64, 1000 };
	struct fg_fleet *f = fg_fleet_new(region_of_any, NULL, NULL);
	uint64_t all[BRITTLE_INSTANCES];
	uint64_t others[BRITTLE_INSTANCES];

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		for (size_t k = 0; k < G_N_ELEMENTS(slots); k++) {
			struct fg_fleet_ep *ep =
				put_brittle(f, "e", "s", slots[k]);
			uint32_t sum = 0;

			fg_brittle_set(ep, 1000);
			for (uint32_t a = 0; a < sizes[i]; a++)
				all[a] = fg_hash_mix(7, a + 1);
			for (uint32_t a = 0; a < sizes[i]; a++) {
				uint32_t n = 0;

				for (uint32_t b = 0; b < sizes[i]; b++) {
					if (b != a)
						others[n++] = all[b];
				}
				fg_brittle_update(f, 1000, all[a], others, n);
				sum += ep->room;
			}
			g_assert_cmpuint(sum, ==, MAX(slots[k], 1));
		}
	}
	fg_fleet_free(f);
}

static void test_brittle_service(void)
{
	struct fg_fleet *f = fg_fleet_new(region_of_any, NULL, NULL);
	struct fg_fleet_ep *a = put_brittle(f, "a", "s", 2);
	struct fg_fleet_ep *b = put_brittle(f, "b", "s", 2);
	struct fg_fleet_ep *c = put_brittle(f, "c", "t", 2);

	a->running = b->running = c->running = 2;
	fg_brittle_update(f, 1000, 1, NULL, 0);
	g_assert_true(fg_brittle_allows(a));
	g_assert_true(fg_brittle_set(a, 1000));
	g_assert_false(fg_brittle_set(a, 1100));
	fg_brittle_update(f, 1100, 1, NULL, 0);
	/* One that has not spoken, such as one that is back, is as brittle. */
	g_assert_false(fg_brittle_allows(a));
	g_assert_false(fg_brittle_allows(b));
	g_assert_true(fg_brittle_allows(c));
	b->running = 1;
	g_assert_true(fg_brittle_allows(b));
	g_assert_true(fg_brittle_clear(a));
	g_assert_false(fg_brittle_clear(a));
	fg_brittle_update(f, 1200, 1, NULL, 0);
	g_assert_true(fg_brittle_allows(a));
	fg_brittle_set(a, 2000);
	fg_brittle_update(f, 12001, 1, NULL, 0);
	g_assert_true(fg_brittle_allows(a));
	fg_fleet_free(f);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/limit/naming", test_naming);
	g_test_add_func("/limit/steady", test_steady);
	g_test_add_func("/limit/burst_after_quiet", test_burst_after_quiet);
	g_test_add_func("/limit/largest", test_largest);
	g_test_add_func("/limit/views_differ", test_views_differ);
	g_test_add_func("/limit/restarts", test_restarts);
	g_test_add_func("/limit/unshared", test_unshared);
	g_test_add_func("/limit/used", test_limit_is_used);
	g_test_add_func("/brittle/room", test_brittle_room);
	g_test_add_func("/brittle/service", test_brittle_service);
	return g_test_run();
}
