/* Unit tests of lib/place: heat, directory, holding, and the broker. */
#include <glib.h>
#include <string.h>

#include "place/fg_place.h"

#define SERVICE "menu"
#define REGION "salto"
#define EPS 4
#define SLOTS 2

static fg_av av(uint32_t adapter)
{
	return (fg_av){ adapter, 1 };
}

/* ---- Heat ---- */

static void test_heat(void)
{
	struct fg_heat_table *h = fg_heat_new(1000);

	fg_heat_add(h, 0, av(1), 8);
	g_assert_cmpfloat_with_epsilon(fg_heat_get(h, 1000, av(1)), 4, 1e-9);
	fg_heat_add(h, 2000, av(1), 1);
	g_assert_cmpfloat_with_epsilon(fg_heat_get(h, 2000, av(1)), 3, 1e-9);
	g_assert_cmpint(fg_heat_last(h, av(1)), ==, 2000);
	g_assert_cmpfloat(fg_heat_get(h, 0, av(2)), ==, 0);
	for (uint32_t i = 10; i < 1000; i++)
		fg_heat_add(h, 2000, av(i), 1);
	for (fg_ms now = 3000; now < 20000; now += 1000)
		fg_heat_add(h, now, av(1), 1);
	g_assert_cmpuint(fg_heat_size(h), ==, 1);
	fg_heat_free(h);
}

/* ---- Directory ---- */

static void tell(struct fg_dir *d, uint64_t ep, uint64_t seq, uint32_t in_use,
		 const fg_av *avs, size_t n)
{
	fg_resident r = { .ep = ep,
			  .fence = 1,
			  .seq = seq,
			  .slots = SLOTS,
			  .in_use = in_use,
			  .batch = 8 };

	fg_msg_set_avs(&r, avs, n);
	fg_dir_resident(d, 0, &r);
	free(r.av.av_val);
}

static struct fg_dir *new_dir(void)
{
	struct fg_dir *d = fg_dir_new(1);

	for (uint64_t ep = 1; ep <= EPS; ep++) {
		fg_dir_endpoint(d, ep, SERVICE, REGION, "a", false);
		tell(d, ep, 1, 0, NULL, 0);
	}
	return d;
}

static uint64_t pick(struct fg_dir *d, uint32_t adapter, uint64_t avoid,
		     bool remote, uint64_t prefix)
{
	return fg_dir_pick(d, 0, SERVICE, av(adapter), REGION, remote, &avoid,
			   1, prefix)
		.ep;
}

static void test_dir_pick(void)
{
	struct fg_dir *d = new_dir();
	fg_av one = av(1);

	g_assert_cmpuint(pick(d, 1, 0, false, 0), ==, 0);
	tell(d, 1, 2, 3, &one, 1);
	tell(d, 2, 2, 2, &one, 1);
	g_assert_cmpuint(pick(d, 1, 0, false, 0), ==, 2);
	g_assert_cmpuint(pick(d, 1, 2, false, 0), ==, 1);
	fg_dir_sent(d, 2, 2);
	g_assert_cmpuint(pick(d, 1, 0, false, 0), ==, 1);
	fg_dir_sent(d, 2, -2);
	fg_dir_endpoint(d, 2, SERVICE, REGION, "a", true);
	g_assert_cmpuint(pick(d, 1, 0, false, 0), ==, 1);
	fg_dir_endpoint(d, 2, SERVICE, "other", "a", false);
	g_assert_cmpuint(pick(d, 1, 1, false, 0), ==, 0);
	g_assert_cmpuint(pick(d, 1, 1, true, 0), ==, 2);
	g_assert_cmpuint(pick(d, 1, 0, true, 0), ==, 1);
	fg_dir_drop(d, 1);
	g_assert_cmpuint(pick(d, 1, 0, false, 0), ==, 0);
	fg_dir_free(d);
}

static void test_dir_order(void)
{
	struct fg_dir *d = new_dir();
	fg_av one = av(1), two = av(2);

	tell(d, 1, 5, 0, &one, 1);
	tell(d, 1, 4, 0, &two, 1);
	g_assert_cmpuint(pick(d, 1, 0, false, 0), ==, 1);
	g_assert_cmpuint(pick(d, 2, 0, false, 0), ==, 0);
	fg_dir_free(d);
}

static void test_dir_prefix(void)
{
	struct fg_dir *d = new_dir();
	fg_av one = av(1);
	uint64_t first;

	for (uint64_t ep = 1; ep <= EPS; ep++)
		tell(d, ep, 2, 0, &one, 1);
	first = pick(d, 1, 0, false, 99);
	for (int i = 0; i < 20; i++)
		g_assert_cmpuint(pick(d, 1, 0, false, 99), ==, first);
	tell(d, first, 3, 6, &one, 1);
	g_assert_cmpuint(pick(d, 1, 0, false, 99), !=, first);
	fg_dir_free(d);
}

/* ---- Holding ---- */

static void test_hold(void)
{
	struct fg_preset p = { .stall_weight = 0, .hold_max_ms = 8000 };

	g_assert_cmpuint(fg_hold_ms(&p, 60000, 2000, 250, 1, 8, false), ==,
			 8000);
	g_assert_cmpuint(fg_hold_ms(&p, 60000, 2000, 250, 1, 8, true), ==, 0);
	g_assert_cmpuint(fg_hold_ms(&p, 60000, 2000, 250, 8, 8, false), ==, 0);
	g_assert_cmpuint(fg_hold_ms(&p, 3000, 2000, 250, 1, 8, false), ==, 0);
	g_assert_cmpuint(fg_hold_ms(&p, 5000, 2000, 250, 1, 8, false), <,
			 5000 - 2250);
	p.stall_weight = 100;
	g_assert_cmpuint(fg_hold_ms(&p, 60000, 2000, 250, 1, 8, false), ==, 0);
}

/* ---- Broker ---- */

struct bench {
	struct fg_dir *d;
	struct fg_broker *b;
	fg_place last;
	uint32_t orders, refusals;
};

static void on_place(void *arg, const fg_place *place)
{
	struct bench *t = arg;

	t->last = *place;
	t->orders++;
}

static void on_refusal(void *arg, uint64_t to, const fg_place_rep *rep)
{
	struct bench *t = arg;

	g_assert_cmpuint(to, !=, 0);
	g_assert_cmpint(rep->status, ==, FG_PLACE_REFUSED);
	t->refusals++;
}

static void setup(struct bench *t, const char *policy)
{
	struct fg_broker_conf conf = { .fence = 3,
				       .service = SERVICE,
				       .region = REGION,
				       .loads_per_s = 5,
				       .in_flight_max = 8,
				       .load_ms = 250,
				       .order_timeout_ms = 2000,
				       .stall_weight = 80 };

	memset(t, 0, sizeof(*t));
	t->d = new_dir();
	t->b = fg_broker_new(&conf, t->d, policy, 1);
}

static void teardown(struct bench *t)
{
	fg_broker_free(t->b);
	fg_dir_free(t->d);
}

static void need(struct bench *t, fg_ms now, uint64_t from, uint32_t adapter,
		 uint32_t waiting, uint32_t slack_ms)
{
	fg_need n = { av(adapter), waiting, slack_ms, FG_CLASS_INTERACTIVE };

	fg_broker_need(t->b, now, from, &n);
	fg_broker_refusals(t->b, now, on_refusal, t);
}

static void tick(struct bench *t, fg_ms now)
{
	fg_broker_refusals(t->b, now, on_refusal, t);
	fg_broker_tick(t->b, now, on_place, t);
}

static void reply(struct bench *t, fg_ms now, fg_place_status status)
{
	fg_place_rep rep = { t->last.order, t->last.ep, t->last.av, status };

	fg_broker_reply(t->b, now, &rep);
}

static void heat(struct bench *t, fg_ms now, uint32_t adapter, uint32_t count)
{
	fg_heat_item item = { av(adapter), count };
	fg_heat h = { 1, { 1, &item } };

	fg_broker_heat(t->b, now, &h);
}

static struct fg_broker_stats stats(const struct bench *t)
{
	struct fg_broker_stats st;

	fg_broker_stats(t->b, &st);
	return st;
}

static void test_coalesce(void)
{
	struct bench t;

	setup(&t, "gauge");
	need(&t, 0, 1, 7, 1, 10000);
	need(&t, 0, 2, 7, 3, 10000);
	tick(&t, 0);
	tick(&t, 1000);
	g_assert_cmpuint(t.orders, ==, 1);
	reply(&t, 1200, FG_PLACE_DONE);
	tick(&t, 1300);
	g_assert_cmpuint(t.orders, ==, 1);
	g_assert_cmpuint(stats(&t).waiting, ==, 0);
	teardown(&t);
}

static void test_withdrawn(void)
{
	struct bench t;

	setup(&t, "gauge");
	need(&t, 0, 1, 7, 1, 10000);
	need(&t, 0, 1, 7, 0, 0);
	need(&t, 0, 2, 8, 1, 10000);
	fg_broker_router_gone(t.b, 2);
	tick(&t, 0);
	g_assert_cmpuint(t.orders, ==, 0);
	teardown(&t);
}

static void test_budget(void)
{
	struct bench t;

	setup(&t, "strong");
	for (uint32_t i = 1; i <= 100; i++)
		need(&t, 0, 1, i, 1, 60000);
	for (fg_ms now = 0; now <= 10000; now += 50) {
		tick(&t, now);
		if (stats(&t).in_flight > 0)
			reply(&t, now, FG_PLACE_DONE);
	}
	g_assert_cmpuint(t.orders, <=, 10 * 5 + 5);
	g_assert_cmpuint(t.orders, >=, 10 * 5);
	teardown(&t);
}

static void test_in_flight(void)
{
	struct bench t;

	setup(&t, "gauge");
	fg_broker_set(t.b, 0, 3, 250, 80);
	for (uint32_t i = 1; i <= 8; i++)
		need(&t, 0, 1, i, 1, 60000);
	tick(&t, 0);
	g_assert_cmpuint(t.orders, ==, 3);
	teardown(&t);
}

static void test_deadline_first(void)
{
	struct bench t;

	setup(&t, "gauge");
	need(&t, 0, 1, 1, 9, 20000);
	need(&t, 0, 1, 2, 1, 300);
	tick(&t, 0);
	g_assert_cmpuint(t.last.av.adapter, ==, 2);
	teardown(&t);
}

/* All slots filled with adapters 10.. in order of endpoint. */
static void fill(struct bench *t)
{
	for (uint64_t ep = 1; ep <= EPS; ep++) {
		fg_av avs[SLOTS];

		for (uint32_t s = 0; s < SLOTS; s++) {
			avs[s] = av(10 + (uint32_t)ep * SLOTS + s);
			heat(t, 0, avs[s].adapter, 50);
		}
		tell(t->d, ep, 2, 0, avs, SLOTS);
	}
}

static void test_victim(void)
{
	struct bench t;

	setup(&t, "gauge");
	fill(&t);
	heat(&t, 1000, 15, 0);
	for (uint32_t i = 12; i < 20; i++)
		heat(&t, 1000, i, i == 15 ? 0 : 50);
	need(&t, 20000, 1, 1, 1, 10000);
	tick(&t, 20000);
	g_assert_cmpuint(t.last.victim.adapter, ==, 15);
	g_assert_cmpuint(t.last.ep, ==, 2);
	teardown(&t);
}

/* What was just loaded is kept for those who waited for it. */
static void test_victim_not_new(void)
{
	struct bench t;
	fg_av avs[SLOTS];

	setup(&t, "gauge");
	fill(&t);
	need(&t, 20000, 1, 1, 1, 10000);
	tick(&t, 20000);
	reply(&t, 20200, FG_PLACE_DONE);
	avs[0] = av(1);
	avs[1] = av(99);
	tell(t.d, t.last.ep, 3, 0, avs, SLOTS);
	heat(&t, 0, 99, 100);
	need(&t, 20400, 1, 2, 1, 10000);
	tick(&t, 20400);
	g_assert_cmpuint(t.last.av.adapter, ==, 2);
	g_assert_cmpuint(t.last.victim.adapter, !=, 1);
	teardown(&t);
}

static void test_refused_elsewhere(void)
{
	struct bench t;
	fg_place first;

	setup(&t, "gauge");
	fill(&t);
	need(&t, 20000, 1, 1, 1, 10000);
	tick(&t, 20000);
	first = t.last;
	reply(&t, 20010, FG_PLACE_REFUSED);
	tick(&t, 20050);
	g_assert_cmpuint(t.orders, ==, 2);
	g_assert_cmpuint(t.last.ep, !=, first.ep);
	/* What was found in use is no victim for others either. */
	need(&t, 20300, 1, 2, 1, 10000);
	tick(&t, 20300);
	g_assert_cmpuint(t.orders, ==, 3);
	g_assert_cmpuint(t.last.victim.adapter, !=, first.victim.adapter);
	teardown(&t);
}

static void test_failed_backoff(void)
{
	struct bench t;
	uint64_t first;

	setup(&t, "gauge");
	need(&t, 0, 1, 1, 1, 10000);
	tick(&t, 0);
	first = t.last.ep;
	reply(&t, 300, FG_PLACE_FAILED);
	tick(&t, 350);
	g_assert_cmpuint(t.orders, ==, 1);
	tick(&t, 600);
	g_assert_cmpuint(t.orders, ==, 2);
	g_assert_cmpuint(t.last.ep, !=, first);
	teardown(&t);
}

static void test_timeout(void)
{
	struct bench t;

	setup(&t, "gauge");
	need(&t, 0, 1, 1, 1, 10000);
	tick(&t, 0);
	tick(&t, 1999);
	g_assert_cmpuint(stats(&t).in_flight, ==, 1);
	tick(&t, 2000);
	tick(&t, 2300);
	g_assert_cmpuint(stats(&t).timed_out, ==, 1);
	g_assert_cmpuint(t.orders, ==, 2);
	teardown(&t);
}

/* While the store is down one load at a time is tried. */
static void test_store_down(void)
{
	struct bench t;

	setup(&t, "gauge");
	for (uint32_t i = 1; i <= 20; i++)
		need(&t, 0, 1, i, 1, 60000);
	for (fg_ms now = 0; now < 20000; now += 50) {
		uint32_t before = t.orders;

		tick(&t, now);
		if (now > 2000)
			g_assert_cmpuint(t.orders - before, <=, 1);
		if (t.orders > before)
			reply(&t, now, FG_PLACE_FAILED);
	}
	g_assert_cmpuint(t.orders, <, 30);
	reply(&t, 20000, FG_PLACE_FAILED);
	tick(&t, 25000);
	reply(&t, 25200, FG_PLACE_DONE);
	tick(&t, 25250);
	g_assert_cmpuint(stats(&t).in_flight, >, 1);
	teardown(&t);
}

static void test_refused_at_once(void)
{
	struct bench t;

	setup(&t, "gauge");
	fg_broker_set(t.b, 5, 8, 250, 0);
	for (uint32_t i = 1; i <= 40; i++)
		need(&t, 0, 1, i, 1, 3000);
	g_assert_cmpuint(t.refusals, >=, 40 - 3 * 5 - 1);
	g_assert_cmpuint(t.refusals, <=, 40 - 2 * 5);
	for (fg_ms now = 0; now < 3000; now += 50) {
		uint32_t before = t.orders;

		tick(&t, now);
		if (t.orders > before)
			reply(&t, now, FG_PLACE_DONE);
	}
	/* Every need that was admitted was met. */
	g_assert_cmpuint(t.orders, ==, 40 - t.refusals);
	teardown(&t);
}

/* Where stalls weigh more, less of the slack is spent waiting for a load. */
static void test_refused_by_weight(void)
{
	struct bench t;
	uint32_t refusals;

	setup(&t, "gauge");
	fg_broker_set(t.b, 5, 8, 250, 0);
	for (uint32_t i = 1; i <= 40; i++)
		need(&t, 0, 1, i, 1, 20000);
	g_assert_cmpuint(t.refusals, ==, 0);
	teardown(&t);
	setup(&t, "gauge");
	for (uint32_t i = 1; i <= 40; i++)
		need(&t, 0, 1, i, 1, 20000);
	refusals = t.refusals;
	g_assert_cmpuint(refusals, >, 40 - 5 * 5);
	g_assert_cmpuint(refusals, <, 40 - 3 * 5);
	teardown(&t);
}

static void test_resident_not_loaded(void)
{
	struct bench t;
	fg_av one = av(1);

	setup(&t, "gauge");
	tell(t.d, 1, 2, 0, &one, 1);
	need(&t, 0, 1, 1, 1, 10000);
	tick(&t, 0);
	tick(&t, 500);
	g_assert_cmpuint(t.orders, ==, 0);
	teardown(&t);
}

static void test_copies(void)
{
	struct bench t;
	fg_av one = av(1);

	setup(&t, "gauge");
	heat(&t, 0, 1, 100);
	tell(t.d, 1, 2, 4, &one, 1);
	tick(&t, 0);
	g_assert_cmpuint(t.orders, ==, 0);
	tell(t.d, 1, 3, 8, &one, 1);
	tick(&t, 1000);
	g_assert_cmpuint(t.orders, ==, 1);
	g_assert_cmpuint(t.last.av.adapter, ==, 1);
	g_assert_cmpuint(t.last.ep, !=, 1);
	teardown(&t);
}

/* ---- Seeded interleavings of the broker ---- */

#define SEEDS 300
#define STEPS 400
#define PENDING 64

struct sim {
	struct fg_rand rand;
	struct fg_dir *d;
	struct fg_broker *b;
	fg_ms now;
	fg_place pending[PENDING];
	size_t n;
	uint64_t seq;
};

static void sim_place(void *arg, const fg_place *p)
{
	struct sim *s = arg;

	g_assert_cmpuint(s->n, <, PENDING);
	for (size_t i = 0; i < s->n; i++) {
		g_assert_false(fg_av_equal(s->pending[i].av, p->av));
		/* Two loads never count on the same slot. */
		g_assert_false(s->pending[i].ep == p->ep &&
			       !fg_av_none(p->victim) &&
			       fg_av_equal(s->pending[i].victim, p->victim));
	}
	s->pending[s->n++] = *p;
}

static void sim_reply(struct sim *s)
{
	size_t i = fg_rand_below(&s->rand, s->n);
	fg_place p = s->pending[i];
	fg_place_rep rep = { p.order, p.ep, p.av,
			     FG_PLACE_DONE + fg_rand_below(&s->rand, 3) };
	fg_av avs[2] = { p.av, av(100 + (uint32_t)p.ep) };

	s->pending[i] = s->pending[--s->n];
	fg_broker_reply(s->b, s->now, &rep);
	s->seq++;
	if (rep.status == FG_PLACE_DONE)
		tell(s->d, p.ep, s->seq, (uint32_t)s->seq % 9, avs, 2);
}

static void sim_step(struct sim *s)
{
	fg_need n = { av(1 + (uint32_t)fg_rand_below(&s->rand, 30)),
		      (u_int)fg_rand_below(&s->rand, 4),
		      (u_int)fg_rand_below(&s->rand, 5000),
		      FG_CLASS_INTERACTIVE };
	struct fg_broker_stats st;
	struct bench unused = { 0 };

	s->now += (fg_ms)fg_rand_below(&s->rand, 60);
	fg_broker_need(s->b, s->now, 1 + fg_rand_below(&s->rand, 3), &n);
	if (s->n > 0 && fg_rand_below(&s->rand, 3) == 0)
		sim_reply(s);
	fg_broker_refusals(s->b, s->now, on_refusal, &unused);
	fg_broker_tick(s->b, s->now, sim_place, s);
	fg_broker_stats(s->b, &st);
	g_assert_cmpuint(st.in_flight, <=, 8);
	g_assert_cmpuint(st.in_flight, ==, s->n);
	g_assert_cmpuint(st.ordered, ==,
			 st.done + st.failed + st.refused + st.in_flight);
}

static void test_interleavings(void)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct bench t;
		struct sim s = { .seq = 10 };

		setup(&t, "gauge");
		fg_broker_free(t.b);
		s.d = t.d;
		struct fg_broker_conf conf = { 3, SERVICE, REGION,    5,
					       8, 250,	   INT32_MAX, 80 };

		s.b = fg_broker_new(&conf, s.d, "gauge", seed);
		fg_rand_seed(&s.rand, seed);
		g_test_message("seed %" G_GUINT64_FORMAT, seed);
		for (int i = 0; i < STEPS; i++)
			sim_step(&s);
		fg_broker_free(s.b);
		fg_dir_free(s.d);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/place/heat", test_heat);
	g_test_add_func("/place/dir_pick", test_dir_pick);
	g_test_add_func("/place/dir_order", test_dir_order);
	g_test_add_func("/place/dir_prefix", test_dir_prefix);
	g_test_add_func("/place/hold", test_hold);
	g_test_add_func("/place/coalesce", test_coalesce);
	g_test_add_func("/place/withdrawn", test_withdrawn);
	g_test_add_func("/place/budget", test_budget);
	g_test_add_func("/place/in_flight", test_in_flight);
	g_test_add_func("/place/deadline_first", test_deadline_first);
	g_test_add_func("/place/victim", test_victim);
	g_test_add_func("/place/victim_not_new", test_victim_not_new);
	g_test_add_func("/place/refused_elsewhere", test_refused_elsewhere);
	g_test_add_func("/place/failed_backoff", test_failed_backoff);
	g_test_add_func("/place/timeout", test_timeout);
	g_test_add_func("/place/store_down", test_store_down);
	g_test_add_func("/place/refused_at_once", test_refused_at_once);
	g_test_add_func("/place/refused_by_weight", test_refused_by_weight);
	g_test_add_func("/place/resident", test_resident_not_loaded);
	g_test_add_func("/place/copies", test_copies);
	g_test_add_func("/place/interleavings", test_interleavings);
	return g_test_run();
}
