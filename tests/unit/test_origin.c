/*
 * Unit tests of the versions that began streams, and a simulation of several
 * instances that see changes of the registry late, are cut off, pause and
 * restart. Streams are taken up at any instance; none may go on at another
 * version. FG_ORIGIN_SEED and FG_ORIGIN_SCHEDULES choose the schedules.
 */
#include <glib.h>
#include <stdlib.h>

#include "base/fg_rand.h"
#include "fleet/fg_fleet.h"
#include "origin/fg_origin.h"
#include "sim_env.h"

static const struct fg_origin_conf conf = {
	.keep_ms = 60000,
	.settle_ms = 3000,
	.view_max_ms = 1900,
	.streams_max = 4,
};

#define SERVICE 7

static struct fg_origin_record record_of(uint64_t stream, uint64_t software)
{
	struct fg_origin_record r = { stream, SERVICE, software };

	return r;
}

static void put(struct fg_origins *o, fg_ms now, uint64_t stream,
		uint64_t software)
{
	struct fg_origin_record r = record_of(stream, software);

	fg_origins_put(o, now, &r, false);
}

static uint64_t uniform_at(struct fg_origins *o, fg_ms now)
{
	fg_origins_note_view(o, now);
	return fg_origins_uniform(o, now, SERVICE);
}

static void note(struct fg_origins *o, fg_ms now, uint64_t software)
{
	fg_origins_note_view(o, now);
	fg_origins_note_version(o, now, SERVICE, software);
}

static void note_until(struct fg_origins *o, fg_ms from, fg_ms to,
		       uint64_t software)
{
	for (fg_ms now = from; now <= to; now += 1000)
		note(o, now, software);
}

static void test_uniform(void)
{
	struct fg_origins *o = fg_origins_new(&conf, 0, 0);

	fg_origins_count_at_start(o, 0, SERVICE, 1);
	fg_origins_end_start(o, 0);
	g_assert_true(fg_origins_note_version(o, 0, SERVICE, 1));
	g_assert_false(fg_origins_note_version(o, 0, SERVICE, 1));
	g_assert_cmpint(fg_origins_begin_after(o, SERVICE, 1), ==, 0);
	/* What was listed before it started is not known to it. */
	note_until(o, 1000, 59000, 1);
	g_assert_cmpuint(uniform_at(o, 59999), ==, 0);
	g_assert_cmpuint(fg_origins_uniform(o, 60000, SERVICE), ==, 1);
	g_assert_cmpuint(fg_origins_uniform(o, 60000, SERVICE + 1), ==, 0);
	/* The view is too old. */
	g_assert_cmpuint(fg_origins_uniform(o, 61900, SERVICE), ==, 0);
	note_until(o, 61000, 70000, 1);
	note(o, 70000, 2);
	g_assert_cmpuint(uniform_at(o, 70000), ==, 0);
	g_assert_cmpint(fg_origins_begin_after(o, SERVICE, 2), ==, 73000);
	g_assert_cmpint(fg_origins_begin_after(o, SERVICE, 3), ==, FG_MS_NEVER);
	/* A version that has left counts as long as its streams may live. */
	note_until(o, 71000, 129000, 2);
	g_assert_cmpuint(uniform_at(o, 129999), ==, 0);
	note(o, 130000, 2);
	g_assert_cmpuint(uniform_at(o, 130000), ==, 2);
	/* An entry without a version. */
	note(o, 130000, 0);
	g_assert_cmpuint(uniform_at(o, 130000), ==, 0);
	fg_origins_tick(o, 190001);
	g_assert_cmpint(fg_origins_begin_after(o, SERVICE, 2), ==, FG_MS_NEVER);
	fg_origins_free(o);
}

/* A version that came and went while the registry was not read may have begun
 * streams. */
static void test_gap_in_view(void)
{
	struct fg_origins *o = fg_origins_new(&conf, -60000, -60000);

	note_until(o, -59000, 0, 1);
	g_assert_cmpuint(uniform_at(o, 3000), ==, 1);
	note(o, 6000, 1);
	g_assert_cmpuint(uniform_at(o, 6000), ==, 1);
	note(o, 9001, 1);
	g_assert_cmpuint(uniform_at(o, 9001), ==, 0);
	note_until(o, 10000, 69000, 1);
	g_assert_cmpuint(uniform_at(o, 69001), ==, 1);
	fg_origins_free(o);
}

/* Without a version that most endpoints have, none counts as known to others.
 */
static void test_start(void)
{
	struct fg_origins *o = fg_origins_new(&conf, 0, 0);

	for (int i = 0; i < 5; i++)
		fg_origins_count_at_start(o, 100, SERVICE, i < 3 ? 1 : 2);
	fg_origins_count_at_start(o, 100, SERVICE + 1, 1);
	fg_origins_count_at_start(o, 100, SERVICE + 1, 2);
	fg_origins_end_start(o, 100);
	g_assert_cmpint(fg_origins_begin_after(o, SERVICE, 1), ==, 100);
	g_assert_cmpint(fg_origins_begin_after(o, SERVICE, 2), ==, 3100);
	g_assert_cmpint(fg_origins_begin_after(o, SERVICE + 1, 1), ==, 3100);
	g_assert_cmpint(fg_origins_begin_after(o, SERVICE + 1, 2), ==, 3100);
	fg_origins_free(o);
}

static void test_records(void)
{
	struct fg_origins *o = fg_origins_new(&conf, 0, 0);
	struct fg_origin_record out[8];

	put(o, 1000, 10, 1);
	put(o, 1000, 11, 2);
	put(o, 1000, 12, FG_SOFTWARE_NONE);
	g_assert_cmpuint(fg_origins_find(o, 1000, 10), ==, 1);
	g_assert_cmpuint(fg_origins_find(o, 1000, 12), ==, 0);
	g_assert_cmpuint(fg_origins_find(o, 1000, 13), ==, 0);
	/* Two records that differ leave the version unknown. */
	put(o, 1100, 11, 1);
	g_assert_cmpuint(fg_origins_find(o, 1100, 11), ==, 0);
	put(o, 1100, 11, 2);
	g_assert_cmpuint(fg_origins_find(o, 1100, 11), ==, 0);
	g_assert_cmpuint(fg_origins_find(o, 60999, 10), ==, 1);
	g_assert_cmpuint(fg_origins_find(o, 61000, 10), ==, 0);
	g_assert_cmpuint(fg_origins_take_untold(o, 2000, out, 8), ==, 1);
	g_assert_cmpuint(out[0].stream, ==, 10);
	g_assert_cmpuint(fg_origins_take_untold(o, 2000, out, 8), ==, 0);
	for (uint64_t stream = 20; stream < 24; stream++)
		put(o, 3000, stream, 1);
	g_assert_cmpuint(fg_origins_find(o, 3000, 10), ==, 0);
	g_assert_cmpuint(fg_origins_find(o, 3000, 20), ==, 1);
	fg_origins_tick(o, 70000);
	g_assert_cmpuint(fg_origins_take_untold(o, 70000, out, 8), ==, 0);
	fg_origins_free(o);
}

/* Records stay here while one version serves, and are told when another one
 * comes or the view is too old. */
static void test_untold_while_uniform(void)
{
	struct fg_origins *o = fg_origins_new(&conf, -60000, -60000);
	struct fg_origin_record out[8];

	note_until(o, -59000, 0, 1);
	put(o, 0, 10, 1);
	put(o, 0, 11, 1);
	g_assert_cmpuint(fg_origins_take_untold(o, 100, out, 8), ==, 0);
	note(o, 200, 2);
	g_assert_cmpuint(fg_origins_take_untold(o, 200, out, 1), ==, 1);
	g_assert_cmpuint(fg_origins_take_untold(o, 200, out, 8), ==, 1);
	fg_origins_free(o);
}

/* ---- Simulation ---- */

#define INSTANCES 4
#define STEP_MS 100
#define STEPS 1500
#define VERSIONS 4
#define BEGUN_MAX 64

struct instance {
	struct fg_origins *origins;
	fg_ms view_at; /* the registry as of then is known here */
	bool store_cut;
	bool mesh_cut;
	bool down;
};

struct begun {
	uint64_t stream;
	uint64_t software;
	fg_ms at;
};

struct world {
	struct fg_rand rand;
	struct instance all[INSTANCES];
	fg_ms listed_from[VERSIONS]; /* endpoints of version i + 1 */
	fg_ms listed_to[VERSIONS];
	struct begun begun[BEGUN_MAX];
	uint64_t n_begun;
	uint32_t taken_up;
	uint32_t in_touch; /* of these, without a fault at that time */
	uint32_t went_on;
	uint32_t wrong;
};

static bool is_listed(const struct world *w, int version, fg_ms at)
{
	return at >= w->listed_from[version] && at < w->listed_to[version];
}

static void start_instance(struct instance *in, fg_ms now, bool first)
{
	struct fg_origin_conf c = conf;

	c.streams_max = 1024;
	fg_origins_free(in->origins);
	in->origins = fg_origins_new(&c, first ? now - 60000 : now, now);
	in->view_at = INT64_MIN / 2;
}

/* The version that was listed first has most endpoints: each has one endpoint
 * more than those that came later. */
static void count_at_start(const struct world *w, struct instance *in,
			   fg_ms now)
{
	for (int v = 0; v < VERSIONS; v++) {
		for (int other = 0; other < VERSIONS; other++) {
			if (is_listed(w, v, in->view_at) &&
			    w->listed_from[v] <= w->listed_from[other])
				fg_origins_count_at_start(in->origins, now,
							  SERVICE,
							  (uint64_t)v + 1);
		}
	}
	fg_origins_end_start(in->origins, now);
}

static void read_registry(struct world *w, struct instance *in, fg_ms now)
{
	bool first = in->view_at < 0;

	if (!in->store_cut && (first || now - in->view_at >= 500 ||
			       fg_rand_below(&w->rand, 3) == 0))
		in->view_at = now;
	if (in->view_at < 0)
		return;
	if (first)
		count_at_start(w, in, now);
	fg_origins_note_view(in->origins, in->view_at);
	for (int v = 0; v < VERSIONS; v++) {
		if (is_listed(w, v, in->view_at))
			fg_origins_note_version(in->origins, now, SERVICE,
						(uint64_t)v + 1);
	}
}

static bool reaches(const struct world *w, int a, int b)
{
	return a != b && !w->all[a].down && !w->all[b].down &&
	       !w->all[a].mesh_cut && !w->all[b].mesh_cut;
}

static void tell(struct world *w, int from, fg_ms now)
{
	struct fg_origin_record out[16];
	struct instance *in = &w->all[from];
	uint32_t n;

	while ((n = fg_origins_take_untold(in->origins, now, out, 16)) > 0) {
		for (uint32_t i = 0; i < n; i++) {
			for (int k = 0; k < 2; k++) {
				int to = (int)((out[i].stream + (uint64_t)k) %
					       INSTANCES);

				if (reaches(w, from, to))
					fg_origins_put(w->all[to].origins, now,
						       &out[i], true);
			}
		}
	}
}

static void begin_stream(struct world *w, int at, fg_ms now)
{
	struct instance *in = &w->all[at];
	int version = (int)fg_rand_below(&w->rand, VERSIONS);
	struct begun *b = &w->begun[w->n_begun % BEGUN_MAX];

	if (!is_listed(w, version, in->view_at) ||
	    !is_listed(w, version, now) ||
	    now < fg_origins_begin_after(in->origins, SERVICE,
					 (uint64_t)version + 1))
		return;
	b->stream = 1000 + w->n_begun++;
	b->software = (uint64_t)version + 1;
	b->at = now;
	put(in->origins, now, b->stream, b->software);
	tell(w, at, now);
}

static uint64_t resolve(struct world *w, int at, fg_ms now, uint64_t stream)
{
	struct instance *in = &w->all[at];
	uint64_t software = fg_origins_find(in->origins, now, stream);

	if (software == 0)
		software = fg_origins_uniform(in->origins, now, SERVICE);
	for (int i = 0; software == 0 && i < INSTANCES; i++) {
		const struct instance *other = &w->all[i];

		if (!reaches(w, at, i) || fg_rand_below(&w->rand, 20) == 0)
			continue;
		software = fg_origins_find(other->origins, now, stream);
		if (software == 0)
			software = fg_origins_uniform(other->origins, now,
						      SERVICE);
	}
	return software;
}

static void take_up(struct world *w, int at, fg_ms now)
{
	uint64_t n = MIN(w->n_begun, BEGUN_MAX);
	const struct begun *b;
	uint64_t software;
	bool in_touch = true;

	if (n == 0)
		return;
	b = &w->begun[fg_rand_below(&w->rand, n)];
	if (now - b->at > 20000)
		return;
	software = resolve(w, at, now, b->stream);
	for (int i = 0; i < INSTANCES; i++)
		in_touch = in_touch && !w->all[i].down &&
			   !w->all[i].store_cut && !w->all[i].mesh_cut;
	w->taken_up++;
	w->in_touch += in_touch;
	w->went_on += in_touch && software == b->software;
	w->wrong += software != 0 && software != b->software;
}

static void change_faults(struct world *w, fg_ms now)
{
	struct instance *in = &w->all[fg_rand_below(&w->rand, INSTANCES)];

	switch (fg_rand_below(&w->rand, 200)) {
	case 0:
		in->store_cut = true;
		break;
	case 1:
		in->mesh_cut = true;
		break;
	case 2:
		in->down = true;
		break;
	case 3:
	case 4:
	case 5:
	case 6:
		if (in->down)
			start_instance(in, now, false);
		in->down = false;
		in->store_cut = false;
		in->mesh_cut = false;
		break;
	default:
		break;
	}
}

/* Plays one schedule; adds its counts to `total`. */
static void play(uint64_t seed, struct world *total)
{
	struct world w = { .listed_to = { INT64_MAX } };
	struct world *p = &w;

	fg_rand_seed(&w.rand, seed);
	for (int v = 1; v < VERSIONS; v++) {
		w.listed_from[v] =
			(fg_ms)fg_rand_below(&w.rand, STEPS * STEP_MS);
		w.listed_to[v] =
			w.listed_from[v] + (fg_ms)fg_rand_below(&w.rand, 60000);
	}
	if (fg_rand_below(&w.rand, 2) == 0)
		w.listed_to[0] =
			w.listed_from[1] + (fg_ms)fg_rand_below(&w.rand, 20000);
	for (int i = 0; i < INSTANCES; i++)
		start_instance(&w.all[i], 0, true);
	for (fg_ms now = 0; now < STEPS * STEP_MS; now += STEP_MS) {
		change_faults(p, now);
		for (int i = 0; i < INSTANCES; i++) {
			if (w.all[i].down)
				continue;
			read_registry(p, &w.all[i], now);
			fg_origins_tick(w.all[i].origins, now);
			tell(p, i, now);
			begin_stream(p, i, now);
			take_up(p, i, now);
		}
	}
	for (int i = 0; i < INSTANCES; i++)
		fg_origins_free(w.all[i].origins);
	if (w.wrong > 0)
		g_test_message("seed %" G_GUINT64_FORMAT ": %u wrong", seed,
			       w.wrong);
	total->taken_up += w.taken_up;
	total->in_touch += w.in_touch;
	total->went_on += w.went_on;
	total->wrong += w.wrong;
}

static void test_simulation(void)
{
	uint64_t seed = sim_env_number("FG_ORIGIN_SEED", 1);
	uint64_t n = sim_env_number("FG_ORIGIN_SCHEDULES", 100);
	struct world total = { .taken_up = 0 };

	for (uint64_t i = 0; i < n; i++)
		play(seed + i, &total);
	g_test_message("%u taken up, %u in touch, %u of these went on, "
		       "%u at a wrong version",
		       total.taken_up, total.in_touch, total.went_on,
		       total.wrong);
	g_assert_cmpuint(total.wrong, ==, 0);
	g_assert_cmpuint(total.in_touch, >, 1000);
	g_assert_cmpuint(2 * total.went_on, >=, total.in_touch);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/origin/uniform", test_uniform);
	g_test_add_func("/origin/gap_in_view", test_gap_in_view);
	g_test_add_func("/origin/start", test_start);
	g_test_add_func("/origin/records", test_records);
	g_test_add_func("/origin/untold_while_uniform",
			test_untold_while_uniform);
	g_test_add_func("/origin/simulation", test_simulation);
	return g_test_run();
}
