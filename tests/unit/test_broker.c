/* Unit tests of the broker; test_broker_sim.c covers random interleavings. */
#include "place_fixture.h"

#include <string.h>

struct fixture {
	struct fg_dir *d;
	struct fg_broker *b;
	fg_place last;
	uint32_t orders, refusals;
};

static void on_place(void *arg, const fg_place *place)
{
	struct fixture *t = arg;

	t->last = *place;
	t->orders++;
}

static void on_refusal(void *arg, uint64_t to, const fg_place_rep *rep)
{
	struct fixture *t = arg;

	g_assert_cmpuint(to, !=, 0);
	g_assert_cmpint(rep->status, ==, FG_PLACE_REFUSED);
	t->refusals++;
}

static void setup(struct fixture *t, const char *policy)
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
	t->d = pfx_new_dir();
	t->b = fg_broker_new(&conf, t->d, policy, 1);
}

static void teardown(struct fixture *t)
{
	fg_broker_free(t->b);
	fg_dir_free(t->d);
}

static void send_class_need(struct fixture *t, fg_ms now, uint64_t router,
			    uint32_t adapter, uint32_t waiting,
			    uint32_t slack_ms, enum fg_class cls)
{
	fg_need n = { pfx_av(adapter), waiting, slack_ms, cls };

	fg_broker_on_need(t->b, now, router, &n);
	fg_broker_refuse_needs(t->b, now, on_refusal, t);
}

static void send_need(struct fixture *t, fg_ms now, uint64_t router,
		      uint32_t adapter, uint32_t waiting, uint32_t slack_ms)
{
	send_class_need(t, now, router, adapter, waiting, slack_ms,
			FG_CLASS_INTERACTIVE);
}

static void run_tick(struct fixture *t, fg_ms now)
{
	fg_broker_refuse_needs(t->b, now, on_refusal, t);
	fg_broker_tick(t->b, now, on_place, t);
}

static void send_reply(struct fixture *t, fg_ms now, fg_place_status status)
{
	fg_place_rep rep = { t->last.order, t->last.ep, t->last.av, status };

	fg_broker_on_reply(t->b, now, &rep);
}

static void send_popularity(struct fixture *t, fg_ms now, uint32_t adapter,
			    uint32_t count)
{
	fg_popularity_item item = { pfx_av(adapter), count };
	fg_popularity popularity = { 1, { 1, &item } };

	fg_broker_on_popularity(t->b, now, &popularity);
}

static struct fg_broker_stats get_stats(const struct fixture *t)
{
	struct fg_broker_stats st;

	fg_broker_stats(t->b, &st);
	return st;
}

static void test_needs_share_load(void)
{
	struct fixture t;

	setup(&t, "gauge");
	send_need(&t, 0, 1, 7, 1, 10000);
	send_need(&t, 0, 2, 7, 3, 10000);
	run_tick(&t, 0);
	run_tick(&t, 1000);
	g_assert_cmpuint(t.orders, ==, 1);
	send_reply(&t, 1200, FG_PLACE_DONE);
	run_tick(&t, 1300);
	g_assert_cmpuint(t.orders, ==, 1);
	g_assert_cmpuint(get_stats(&t).waiting, ==, 0);
	teardown(&t);
}

static void test_withdrawn_needs(void)
{
	struct fixture t;

	setup(&t, "gauge");
	send_need(&t, 0, 1, 7, 1, 10000);
	send_need(&t, 0, 1, 7, 0, 0);
	send_need(&t, 0, 2, 8, 1, 10000);
	fg_broker_on_router_gone(t.b, 2);
	run_tick(&t, 0);
	g_assert_cmpuint(t.orders, ==, 0);
	teardown(&t);
}

static void test_load_budget(void)
{
	struct fixture t;

	setup(&t, "strong");
	for (uint32_t i = 1; i <= 100; i++)
		send_need(&t, 0, 1, i, 1, 60000);
	for (fg_ms now = 0; now <= 10000; now += 50) {
		run_tick(&t, now);
		if (get_stats(&t).in_flight > 0)
			send_reply(&t, now, FG_PLACE_DONE);
	}
	g_assert_cmpuint(t.orders, <=, 10 * 5 + 5);
	g_assert_cmpuint(t.orders, >=, 10 * 5);
	teardown(&t);
}

static void test_loads_in_flight_max(void)
{
	struct fixture t;

	setup(&t, "gauge");
	fg_broker_set_limits(t.b, 0, 3, 250, 80);
	for (uint32_t i = 1; i <= 8; i++)
		send_need(&t, 0, 1, i, 1, 60000);
	run_tick(&t, 0);
	g_assert_cmpuint(t.orders, ==, 3);
	teardown(&t);
}

static void test_deadline_first(void)
{
	struct fixture t;

	setup(&t, "gauge");
	send_need(&t, 0, 1, 1, 9, 20000);
	send_need(&t, 0, 1, 2, 1, 300);
	run_tick(&t, 0);
	g_assert_cmpuint(t.last.av.adapter, ==, 2);
	teardown(&t);
}

/* Fills all slots with distinct adapters, numbered from 12 by endpoint. */
static void fill_all_slots(struct fixture *t)
{
	for (uint64_t ep = 1; ep <= EPS; ep++) {
		fg_av avs[SLOTS];

		for (uint32_t s = 0; s < SLOTS; s++) {
			avs[s] = pfx_av(10 + (uint32_t)ep * SLOTS + s);
			send_popularity(t, 0, avs[s].adapter, 50);
		}
		pfx_report_resident(t->d, ep, 2, 0, avs, SLOTS);
	}
}

static void test_least_popular_victim(void)
{
	struct fixture t;

	setup(&t, "gauge");
	fill_all_slots(&t);
	send_popularity(&t, 1000, 15, 0);
	for (uint32_t i = 12; i < 20; i++)
		send_popularity(&t, 1000, i, i == 15 ? 0 : 50);
	send_need(&t, 20000, 1, 1, 1, 10000);
	run_tick(&t, 20000);
	g_assert_cmpuint(t.last.victim.adapter, ==, 15);
	g_assert_cmpuint(t.last.ep, ==, 2);
	teardown(&t);
}

/* An adapter that was just loaded is not evicted, so that the requests that
 * waited for it can use it. */
static void test_new_adapter_not_evicted(void)
{
	struct fixture t;
	fg_av avs[SLOTS];

	setup(&t, "gauge");
	fill_all_slots(&t);
	send_need(&t, 20000, 1, 1, 1, 10000);
	run_tick(&t, 20000);
	send_reply(&t, 20200, FG_PLACE_DONE);
	avs[0] = pfx_av(1);
	avs[1] = pfx_av(99);
	pfx_report_resident(t.d, t.last.ep, 3, 0, avs, SLOTS);
	send_popularity(&t, 0, 99, 100);
	send_need(&t, 20400, 1, 2, 1, 10000);
	run_tick(&t, 20400);
	g_assert_cmpuint(t.last.av.adapter, ==, 2);
	g_assert_cmpuint(t.last.victim.adapter, !=, 1);
	teardown(&t);
}

static void test_refused_order_moves(void)
{
	struct fixture t;
	fg_place first;

	setup(&t, "gauge");
	fill_all_slots(&t);
	send_need(&t, 20000, 1, 1, 1, 10000);
	run_tick(&t, 20000);
	first = t.last;
	send_reply(&t, 20010, FG_PLACE_REFUSED);
	run_tick(&t, 20050);
	g_assert_cmpuint(t.orders, ==, 2);
	g_assert_cmpuint(t.last.ep, !=, first.ep);
	/* A victim refused as in use is not chosen for other adapters either.
	 */
	send_need(&t, 20300, 1, 2, 1, 10000);
	run_tick(&t, 20300);
	g_assert_cmpuint(t.orders, ==, 3);
	g_assert_cmpuint(t.last.victim.adapter, !=, first.victim.adapter);
	teardown(&t);
}

static void test_backoff_after_failure(void)
{
	struct fixture t;
	uint64_t first;

	setup(&t, "gauge");
	send_need(&t, 0, 1, 1, 1, 10000);
	run_tick(&t, 0);
	first = t.last.ep;
	send_reply(&t, 300, FG_PLACE_FAILED);
	run_tick(&t, 350);
	g_assert_cmpuint(t.orders, ==, 1);
	run_tick(&t, 600);
	g_assert_cmpuint(t.orders, ==, 2);
	g_assert_cmpuint(t.last.ep, !=, first);
	teardown(&t);
}

static void test_order_timeout(void)
{
	struct fixture t;

	setup(&t, "gauge");
	send_need(&t, 0, 1, 1, 1, 10000);
	run_tick(&t, 0);
	run_tick(&t, 1999);
	g_assert_cmpuint(get_stats(&t).in_flight, ==, 1);
	run_tick(&t, 2000);
	run_tick(&t, 2300);
	g_assert_cmpuint(get_stats(&t).timed_out, ==, 1);
	g_assert_cmpuint(t.orders, ==, 2);
	teardown(&t);
}

/* While the weight store is down, one load at a time is tried. */
static void test_store_down(void)
{
	struct fixture t;

	setup(&t, "gauge");
	for (uint32_t i = 1; i <= 20; i++)
		send_need(&t, 0, 1, i, 1, 60000);
	for (fg_ms now = 0; now < 20000; now += 50) {
		uint32_t before = t.orders;

		run_tick(&t, now);
		if (now > 2000)
			g_assert_cmpuint(t.orders - before, <=, 1);
		if (t.orders > before)
			send_reply(&t, now, FG_PLACE_FAILED);
	}
	g_assert_cmpuint(t.orders, <, 30);
	send_reply(&t, 20000, FG_PLACE_FAILED);
	run_tick(&t, 25000);
	send_reply(&t, 25200, FG_PLACE_DONE);
	run_tick(&t, 25250);
	g_assert_cmpuint(get_stats(&t).in_flight, >, 1);
	teardown(&t);
}

static void test_refusal_on_arrival(void)
{
	struct fixture t;

	setup(&t, "gauge");
	fg_broker_set_limits(t.b, 5, 8, 250, 0);
	for (uint32_t i = 1; i <= 40; i++)
		send_need(&t, 0, 1, i, 1, 3000);
	g_assert_cmpuint(t.refusals, >=, 40 - 3 * 5 - 1);
	g_assert_cmpuint(t.refusals, <=, 40 - 2 * 5);
	for (fg_ms now = 0; now < 3000; now += 50) {
		uint32_t before = t.orders;

		run_tick(&t, now);
		if (t.orders > before)
			send_reply(&t, now, FG_PLACE_DONE);
	}
	/* Every admitted need was met. */
	g_assert_cmpuint(t.orders, ==, 40 - t.refusals);
	teardown(&t);
}

/* A higher stall weight leaves less of the slack for waiting, so that more
 * needs are refused. */
static void test_refusal_by_stall_weight(void)
{
	struct fixture t;
	uint32_t refusals;

	setup(&t, "gauge");
	fg_broker_set_limits(t.b, 5, 8, 250, 0);
	for (uint32_t i = 1; i <= 40; i++)
		send_need(&t, 0, 1, i, 1, 20000);
	g_assert_cmpuint(t.refusals, ==, 0);
	teardown(&t);
	setup(&t, "gauge");
	for (uint32_t i = 1; i <= 40; i++)
		send_need(&t, 0, 1, i, 1, 20000);
	refusals = t.refusals;
	g_assert_cmpuint(refusals, >, 40 - 5 * 5);
	g_assert_cmpuint(refusals, <, 40 - 3 * 5);
	teardown(&t);
}

/* Runs the broker for a time; each load succeeds at once. */
static void run_until(struct fixture *t, fg_ms from, fg_ms until)
{
	for (fg_ms now = from; now < until; now += 50) {
		uint32_t before = t->orders;

		run_tick(t, now);
		if (t->orders > before)
			send_reply(t, now, FG_PLACE_DONE);
	}
}

/* An urgent request that joins admitted drafts too late is refused; the drafts
 * stay admitted. */
static void test_tighter_refused_alone(void)
{
	struct fixture t;
	uint32_t orders;

	setup(&t, "gauge");
	fg_broker_set_limits(t.b, 5, 8, 250, 0);
	for (uint32_t i = 1; i <= 24; i++)
		send_need(&t, 0, 1, i, 1, 5000);
	g_assert_cmpuint(t.refusals, ==, 0);
	send_class_need(&t, 0, 1, 99, 1, 60000, FG_CLASS_DRAFT);
	send_need(&t, 100, 1, 99, 2, 1000);
	send_need(&t, 100, 2, 99, 1, 1000);
	g_assert_cmpuint(t.refusals, ==, 2);
	orders = t.orders;
	run_until(&t, 100, 20000);
	g_assert_cmpuint(t.orders - orders, ==, 25);
	g_assert_cmpuint(t.last.av.adapter, ==, 99);
	g_assert_cmpuint(t.refusals, ==, 2);
	teardown(&t);
}

/* A need that shares an admitted load due early enough is admitted, even when
 * the queue is too long for a load of its own. */
static void test_join_admitted_load(void)
{
	struct fixture t;

	setup(&t, "gauge");
	fg_broker_set_limits(t.b, 5, 8, 250, 0);
	for (uint32_t i = 1; i <= 24; i++)
		send_need(&t, 0, 1, i, 1, 5000);
	send_need(&t, 3000, 2, 1, 1, 2500);
	g_assert_cmpuint(t.refusals, ==, 0);
	send_need(&t, 3000, 2, 99, 1, 2500);
	g_assert_cmpuint(t.refusals, ==, 1);
	teardown(&t);
}

/* A need that is sent again keeps its position ahead of later needs. */
static void test_renewed_need_keeps_due(void)
{
	struct fixture t;

	setup(&t, "gauge");
	send_need(&t, 0, 1, 1, 1, 20000);
	send_need(&t, 1000, 1, 2, 9, 20000);
	send_need(&t, 3500, 1, 1, 2, 16500);
	fg_broker_set_limits(t.b, 5, 1, 250, 80);
	run_tick(&t, 3600);
	g_assert_cmpuint(t.last.av.adapter, ==, 1);
	teardown(&t);
}

/* A need that failed loads made impossible to meet is refused before its
 * deadline has passed. */
static void test_hopeless_refused(void)
{
	struct fixture t;

	setup(&t, "gauge");
	send_need(&t, 0, 1, 1, 1, 3000);
	for (fg_ms now = 0; now < 2900; now += 50) {
		uint32_t before = t.orders;

		run_tick(&t, now);
		if (t.orders > before)
			send_reply(&t, now, FG_PLACE_FAILED);
	}
	g_assert_cmpuint(t.orders, >, 2);
	g_assert_cmpuint(t.refusals, ==, 1);
	g_assert_cmpuint(get_stats(&t).waiting, ==, 0);
	teardown(&t);
}

/* The length of an outage is unknown, so needs with slack left are not refused
 * while the weight store is down. */
static void test_no_refusal_while_down(void)
{
	struct fixture t;

	setup(&t, "gauge");
	send_need(&t, 0, 1, 1, 1, 20000);
	for (fg_ms now = 0; now < 3000; now += 50) {
		uint32_t before = t.orders;

		run_tick(&t, now);
		if (t.orders > before)
			send_reply(&t, now, FG_PLACE_FAILED);
	}
	for (uint32_t i = 2; i <= 40; i++)
		send_need(&t, 3000, 1, i, 1, 20000);
	g_assert_cmpuint(t.refusals, ==, 0);
	teardown(&t);
}

/* Drafts leave part of the load budget to later needs with less time. */
static void test_drafts_leave_room(void)
{
	struct fixture t;

	setup(&t, "gauge");
	fg_broker_set_limits(t.b, 5, 8, 250, 0);
	for (uint32_t i = 1; i <= 100; i++)
		send_class_need(&t, 0, 1, i, 1, 10000, FG_CLASS_DRAFT);
	g_assert_cmpuint(t.refusals, >, 100 - 45);
	t.refusals = 0;
	for (uint32_t i = 101; i <= 108; i++)
		send_need(&t, 0, 1, i, 1, 9000);
	g_assert_cmpuint(t.refusals, ==, 0);
	run_until(&t, 0, 10000);
	g_assert_cmpuint(t.refusals, ==, 0);
	teardown(&t);
}

static void test_drafts_held(void)
{
	struct fixture t;

	setup(&t, "gauge");
	fg_broker_set_limits(t.b, 5, 8, 250, 0);
	fg_broker_set_hold_max(t.b, 8000);
	send_class_need(&t, 0, 1, 1, 1, 60000, FG_CLASS_DRAFT);
	run_tick(&t, 7950);
	g_assert_cmpuint(t.orders, ==, 0);
	send_class_need(&t, 7950, 1, 1, 2, 52050, FG_CLASS_DRAFT);
	run_tick(&t, 8000);
	g_assert_cmpuint(t.orders, ==, 1);
	/* An urgent need ends the hold of the drafts for the same adapter. */
	send_class_need(&t, 9000, 1, 2, 1, 60000, FG_CLASS_DRAFT);
	send_need(&t, 9100, 2, 2, 1, 10000);
	run_tick(&t, 9100);
	g_assert_cmpuint(t.orders, ==, 2);
	teardown(&t);
}

static void test_resident_not_loaded(void)
{
	struct fixture t;
	fg_av one = pfx_av(1);

	setup(&t, "gauge");
	pfx_report_resident(t.d, 1, 2, 0, &one, 1);
	send_need(&t, 0, 1, 1, 1, 10000);
	run_tick(&t, 0);
	run_tick(&t, 500);
	g_assert_cmpuint(t.orders, ==, 0);
	teardown(&t);
}

static void test_copies_of_popular(void)
{
	struct fixture t;
	fg_av one = pfx_av(1);
	fg_av both[] = { pfx_av(1), pfx_av(2) };

	setup(&t, "gauge");
	send_popularity(&t, 0, 1, 100);
	pfx_report_resident(t.d, 1, 2, 4, &one, 1);
	run_tick(&t, 0);
	g_assert_cmpuint(t.orders, ==, 0);
	pfx_report_resident(t.d, 1, 3, 8, &one, 1);
	run_tick(&t, 1000);
	g_assert_cmpuint(t.orders, ==, 1);
	g_assert_cmpuint(t.last.av.adapter, ==, 1);
	g_assert_cmpuint(t.last.ep, !=, 1);
	/* An endpoint causes no second copy before the first one has had time
	 * to take effect. */
	send_reply(&t, 1200, FG_PLACE_DONE);
	send_popularity(&t, 1200, 2, 50);
	pfx_report_resident(t.d, 1, 4, 8, both, 2);
	run_tick(&t, 3000);
	g_assert_cmpuint(t.orders, ==, 1);
	run_tick(&t, 12000);
	g_assert_cmpuint(t.orders, ==, 2);
	teardown(&t);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/place/coalesce", test_needs_share_load);
	g_test_add_func("/place/withdrawn", test_withdrawn_needs);
	g_test_add_func("/place/budget", test_load_budget);
	g_test_add_func("/place/in_flight", test_loads_in_flight_max);
	g_test_add_func("/place/deadline_first", test_deadline_first);
	g_test_add_func("/place/victim", test_least_popular_victim);
	g_test_add_func("/place/victim_not_new", test_new_adapter_not_evicted);
	g_test_add_func("/place/refused_elsewhere", test_refused_order_moves);
	g_test_add_func("/place/failed_backoff", test_backoff_after_failure);
	g_test_add_func("/place/timeout", test_order_timeout);
	g_test_add_func("/place/store_down", test_store_down);
	g_test_add_func("/place/refused_at_once", test_refusal_on_arrival);
	g_test_add_func("/place/refused_by_weight",
			test_refusal_by_stall_weight);
	g_test_add_func("/place/tighter_alone", test_tighter_refused_alone);
	g_test_add_func("/place/joins_admitted", test_join_admitted_load);
	g_test_add_func("/place/due_is_kept", test_renewed_need_keeps_due);
	g_test_add_func("/place/hopeless", test_hopeless_refused);
	g_test_add_func("/place/patient_while_down",
			test_no_refusal_while_down);
	g_test_add_func("/place/drafts_leave_room", test_drafts_leave_room);
	g_test_add_func("/place/drafts_held", test_drafts_held);
	g_test_add_func("/place/resident", test_resident_not_loaded);
	g_test_add_func("/place/copies", test_copies_of_popular);
	return g_test_run();
}
