/* Unit tests of the broker; see test_broker_sim.c for interleavings. */
#include "place_fixture.h"

#include <string.h>

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
	t->d = pfx_dir();
	t->b = fg_broker_new(&conf, t->d, policy, 1);
}

static void teardown(struct bench *t)
{
	fg_broker_free(t->b);
	fg_dir_free(t->d);
}

static void need_of(struct bench *t, fg_ms now, uint64_t from, uint32_t adapter,
		    uint32_t waiting, uint32_t slack_ms, enum fg_class cls)
{
	fg_need n = { pfx_av(adapter), waiting, slack_ms, cls };

	fg_broker_on_need(t->b, now, from, &n);
	fg_broker_refuse_needs(t->b, now, on_refusal, t);
}

static void need(struct bench *t, fg_ms now, uint64_t from, uint32_t adapter,
		 uint32_t waiting, uint32_t slack_ms)
{
	need_of(t, now, from, adapter, waiting, slack_ms, FG_CLASS_INTERACTIVE);
}

static void tick(struct bench *t, fg_ms now)
{
	fg_broker_refuse_needs(t->b, now, on_refusal, t);
	fg_broker_tick(t->b, now, on_place, t);
}

static void reply(struct bench *t, fg_ms now, fg_place_status status)
{
	fg_place_rep rep = { t->last.order, t->last.ep, t->last.av, status };

	fg_broker_on_reply(t->b, now, &rep);
}

static void heat(struct bench *t, fg_ms now, uint32_t adapter, uint32_t count)
{
	fg_heat_item item = { pfx_av(adapter), count };
	fg_heat h = { 1, { 1, &item } };

	fg_broker_on_heat(t->b, now, &h);
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
	fg_broker_on_router_gone(t.b, 2);
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
	fg_broker_set_limits(t.b, 0, 3, 250, 80);
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
			avs[s] = pfx_av(10 + (uint32_t)ep * SLOTS + s);
			heat(t, 0, avs[s].adapter, 50);
		}
		pfx_tell(t->d, ep, 2, 0, avs, SLOTS);
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
	avs[0] = pfx_av(1);
	avs[1] = pfx_av(99);
	pfx_tell(t.d, t.last.ep, 3, 0, avs, SLOTS);
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
	fg_broker_set_limits(t.b, 5, 8, 250, 0);
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
	fg_broker_set_limits(t.b, 5, 8, 250, 0);
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

/* Loads until every need is met or refused; each takes no time. */
static void drain(struct bench *t, fg_ms from, fg_ms until)
{
	for (fg_ms now = from; now < until; now += 50) {
		uint32_t before = t->orders;

		tick(t, now);
		if (t->orders > before)
			reply(t, now, FG_PLACE_DONE);
	}
}

/* An urgent request that joins admitted drafts too late is refused alone. */
static void test_tighter_refused_alone(void)
{
	struct bench t;
	uint32_t orders;

	setup(&t, "gauge");
	fg_broker_set_limits(t.b, 5, 8, 250, 0);
	for (uint32_t i = 1; i <= 24; i++)
		need(&t, 0, 1, i, 1, 5000);
	g_assert_cmpuint(t.refusals, ==, 0);
	need_of(&t, 0, 1, 99, 1, 60000, FG_CLASS_DRAFT);
	need(&t, 100, 1, 99, 2, 1000);
	need(&t, 100, 2, 99, 1, 1000);
	g_assert_cmpuint(t.refusals, ==, 2);
	orders = t.orders;
	drain(&t, 100, 20000);
	g_assert_cmpuint(t.orders - orders, ==, 25);
	g_assert_cmpuint(t.last.av.adapter, ==, 99);
	g_assert_cmpuint(t.refusals, ==, 2);
	teardown(&t);
}

/* A late queue is no reason to refuse who shares a load that is due earlier. */
static void test_joins_admitted(void)
{
	struct bench t;

	setup(&t, "gauge");
	fg_broker_set_limits(t.b, 5, 8, 250, 0);
	for (uint32_t i = 1; i <= 24; i++)
		need(&t, 0, 1, i, 1, 5000);
	need(&t, 3000, 2, 1, 1, 2500);
	g_assert_cmpuint(t.refusals, ==, 0);
	need(&t, 3000, 2, 99, 1, 2500);
	g_assert_cmpuint(t.refusals, ==, 1);
	teardown(&t);
}

/* A need told anew does not lose its place to later ones. */
static void test_due_is_kept(void)
{
	struct bench t;

	setup(&t, "gauge");
	need(&t, 0, 1, 1, 1, 20000);
	need(&t, 1000, 1, 2, 9, 20000);
	need(&t, 3500, 1, 1, 2, 16500);
	fg_broker_set_limits(t.b, 5, 1, 250, 80);
	tick(&t, 3600);
	g_assert_cmpuint(t.last.av.adapter, ==, 1);
	teardown(&t);
}

/* Failures made it hopeless: it is refused before its deadline is over. */
static void test_hopeless_refused(void)
{
	struct bench t;

	setup(&t, "gauge");
	need(&t, 0, 1, 1, 1, 3000);
	for (fg_ms now = 0; now < 2900; now += 50) {
		uint32_t before = t.orders;

		tick(&t, now);
		if (t.orders > before)
			reply(&t, now, FG_PLACE_FAILED);
	}
	g_assert_cmpuint(t.orders, >, 2);
	g_assert_cmpuint(t.refusals, ==, 1);
	g_assert_cmpuint(stats(&t).waiting, ==, 0);
	teardown(&t);
}

/* An outage of unknown length uses up the whole slack before it refuses. */
static void test_patient_while_down(void)
{
	struct bench t;

	setup(&t, "gauge");
	need(&t, 0, 1, 1, 1, 20000);
	for (fg_ms now = 0; now < 3000; now += 50) {
		uint32_t before = t.orders;

		tick(&t, now);
		if (t.orders > before)
			reply(&t, now, FG_PLACE_FAILED);
	}
	for (uint32_t i = 2; i <= 40; i++)
		need(&t, 3000, 1, i, 1, 20000);
	g_assert_cmpuint(t.refusals, ==, 0);
	teardown(&t);
}

/* Drafts leave room for those who come later with less time. */
static void test_drafts_leave_room(void)
{
	struct bench t;

	setup(&t, "gauge");
	fg_broker_set_limits(t.b, 5, 8, 250, 0);
	for (uint32_t i = 1; i <= 100; i++)
		need_of(&t, 0, 1, i, 1, 10000, FG_CLASS_DRAFT);
	g_assert_cmpuint(t.refusals, >, 100 - 45);
	t.refusals = 0;
	for (uint32_t i = 101; i <= 108; i++)
		need(&t, 0, 1, i, 1, 9000);
	g_assert_cmpuint(t.refusals, ==, 0);
	drain(&t, 0, 10000);
	g_assert_cmpuint(t.refusals, ==, 0);
	teardown(&t);
}

static void test_drafts_held(void)
{
	struct bench t;

	setup(&t, "gauge");
	fg_broker_set_limits(t.b, 5, 8, 250, 0);
	fg_broker_set_hold_max(t.b, 8000);
	need_of(&t, 0, 1, 1, 1, 60000, FG_CLASS_DRAFT);
	tick(&t, 7950);
	g_assert_cmpuint(t.orders, ==, 0);
	need_of(&t, 7950, 1, 1, 2, 52050, FG_CLASS_DRAFT);
	tick(&t, 8000);
	g_assert_cmpuint(t.orders, ==, 1);
	/* An urgent one ends the hold for all. */
	need_of(&t, 9000, 1, 2, 1, 60000, FG_CLASS_DRAFT);
	need(&t, 9100, 2, 2, 1, 10000);
	tick(&t, 9100);
	g_assert_cmpuint(t.orders, ==, 2);
	teardown(&t);
}

static void test_resident_not_loaded(void)
{
	struct bench t;
	fg_av one = pfx_av(1);

	setup(&t, "gauge");
	pfx_tell(t.d, 1, 2, 0, &one, 1);
	need(&t, 0, 1, 1, 1, 10000);
	tick(&t, 0);
	tick(&t, 500);
	g_assert_cmpuint(t.orders, ==, 0);
	teardown(&t);
}

static void test_copies(void)
{
	struct bench t;
	fg_av one = pfx_av(1);
	fg_av both[] = { pfx_av(1), pfx_av(2) };

	setup(&t, "gauge");
	heat(&t, 0, 1, 100);
	pfx_tell(t.d, 1, 2, 4, &one, 1);
	tick(&t, 0);
	g_assert_cmpuint(t.orders, ==, 0);
	pfx_tell(t.d, 1, 3, 8, &one, 1);
	tick(&t, 1000);
	g_assert_cmpuint(t.orders, ==, 1);
	g_assert_cmpuint(t.last.av.adapter, ==, 1);
	g_assert_cmpuint(t.last.ep, !=, 1);
	/* Its effect on the endpoint is awaited before the next copy. */
	reply(&t, 1200, FG_PLACE_DONE);
	heat(&t, 1200, 2, 50);
	pfx_tell(t.d, 1, 4, 8, both, 2);
	tick(&t, 3000);
	g_assert_cmpuint(t.orders, ==, 1);
	tick(&t, 12000);
	g_assert_cmpuint(t.orders, ==, 2);
	teardown(&t);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
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
	g_test_add_func("/place/tighter_alone", test_tighter_refused_alone);
	g_test_add_func("/place/joins_admitted", test_joins_admitted);
	g_test_add_func("/place/due_is_kept", test_due_is_kept);
	g_test_add_func("/place/hopeless", test_hopeless_refused);
	g_test_add_func("/place/patient_while_down", test_patient_while_down);
	g_test_add_func("/place/drafts_leave_room", test_drafts_leave_room);
	g_test_add_func("/place/drafts_held", test_drafts_held);
	g_test_add_func("/place/resident", test_resident_not_loaded);
	g_test_add_func("/place/copies", test_copies);
	return g_test_run();
}
