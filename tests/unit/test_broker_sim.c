/*
 * Seeded simulation of the broker with random needs and replies. Checks that
 * no adapter has two loads in flight, no two loads in flight have the same
 * victim, and the limit of loads in flight holds.
 */
#include "place_fixture.h"

#define SEEDS 300
#define STEPS 400
#define PENDING_MAX 64

struct sim {
	struct fg_rand rand;
	struct fg_dir *d;
	struct fg_broker *b;
	fg_ms now;
	fg_place pending[PENDING_MAX];
	size_t n;
	uint64_t seq;
};

static void ignore_refusal(void *arg, uint64_t to, const fg_place_rep *rep)
{
	(void)arg;
	(void)to;
	(void)rep;
}

static void on_place(void *arg, const fg_place *p)
{
	struct sim *s = arg;

	g_assert_cmpuint(s->n, <, PENDING_MAX);
	for (size_t i = 0; i < s->n; i++) {
		g_assert_false(fg_av_equal(s->pending[i].av, p->av));
		/* Two loads in flight never replace the same victim. */
		g_assert_false(s->pending[i].ep == p->ep &&
			       !fg_av_is_none(p->victim) &&
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
	fg_av avs[2] = { p.av, pfx_av(100 + (uint32_t)p.ep) };

	s->pending[i] = s->pending[--s->n];
	fg_broker_on_reply(s->b, s->now, &rep);
	s->seq++;
	if (rep.status == FG_PLACE_DONE)
		pfx_report_resident(s->d, p.ep, s->seq, (uint32_t)s->seq % 9,
				    avs, 2);
}

static void sim_step(struct sim *s)
{
	fg_need n = { pfx_av(1 + (uint32_t)fg_rand_below(&s->rand, 30)),
		      (u_int)fg_rand_below(&s->rand, 4),
		      (u_int)fg_rand_below(&s->rand, 5000),
		      FG_CLASS_INTERACTIVE };
	struct fg_broker_stats st;

	s->now += (fg_ms)fg_rand_below(&s->rand, 60);
	fg_broker_on_need(s->b, s->now, 1 + fg_rand_below(&s->rand, 3), &n);
	if (s->n > 0 && fg_rand_below(&s->rand, 3) == 0)
		sim_reply(s);
	fg_broker_refuse_needs(s->b, s->now, ignore_refusal, NULL);
	fg_broker_tick(s->b, s->now, on_place, s);
	fg_broker_stats(s->b, &st);
	g_assert_cmpuint(st.in_flight, <=, 8);
	g_assert_cmpuint(st.in_flight, ==, s->n);
	g_assert_cmpuint(st.ordered, ==,
			 st.done + st.failed + st.refused + st.in_flight);
}

static void test_interleavings(void)
{
	const struct fg_broker_conf conf = { .fence = 3,
					     .service = SERVICE,
					     .region = REGION,
					     .loads_per_s = 5,
					     .in_flight_max = 8,
					     .load_ms = 250,
					     .order_timeout_ms = INT32_MAX,
					     .stall_weight = 80 };

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct sim s = { .seq = 10 };

		s.d = pfx_new_dir();
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
	g_test_add_func("/broker/interleavings", test_interleavings);
	return g_test_run();
}
