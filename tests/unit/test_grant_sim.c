/*
 * Seeded simulation of lib/grant with a small engine: grants, releases, loads
 * with lost outcomes, late engine states, engine restarts, deaths of holders
 * and changes of the owner.
 *
 * Invariants: the engine never replaces an adapter that a request runs on; a
 * grant is given only for a READY slot with its adapter; the slots' pins add up
 * to the total; every held request is answered exactly once.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "base/fg_rand.h"
#include "grant/fg_grant.h"

#define SEEDS 3000
#define STEPS 500
#define SLOTS 3
#define BATCH 6
#define HOLDERS 4
#define ADAPTERS 8
#define LIFE_MS 400
#define GRANT_MAX_MS 3000
#define BUDGET_MS 2000
#define FLIGHT_MS 300 /* longest time of a request on its way to the engine */

struct job {
	uint64_t holder, req, grant;
	fg_av av;
	fg_ms starts, ends; /* at the engine; starts is -1 when none is due */
	bool running, held, holder_dead;
	int32_t slot;
};

struct order {
	uint32_t slot;
	fg_av av, victim;
	uint64_t fence, id;
	fg_ms at; /* when the engine applies the order; -1: never */
	fg_ms expires_at;
	bool owner_informed; /* the outcome was reported to the owner */
};

struct poll {
	bool open;
	fg_ms asked;
	struct fg_engine_state st;
};

struct world {
	struct fg_rand rand;
	struct fg_grants *g;
	fg_ms now;
	uint64_t fence, engine_fence, epoch, next_req, next_order;
	bool checks_fence;
	fg_av content[SLOTS];
	GArray *jobs, *orders;
	uint64_t holder[HOLDERS]; /* ids; replaced when the holder dies */
	struct poll poll;
	uint32_t granted, answered, held;
};

static uint64_t random_below(struct world *w, uint64_t n)
{
	return fg_rand_below(&w->rand, n);
}

#define JOB(w, i) (&g_array_index((w)->jobs, struct job, i))
#define ORDER(w, i) (&g_array_index((w)->orders, struct order, i))

static struct job *find_job(struct world *w, uint64_t holder, uint64_t req)
{
	for (guint i = 0; i < w->jobs->len; i++)
		if (JOB(w, i)->holder == holder && JOB(w, i)->req == req)
			return JOB(w, i);
	return NULL;
}

/* ---- The engine ---- */

static void apply_order(struct world *w, const struct order *o)
{
	if (w->checks_fence && o->fence < w->engine_fence)
		return;
	w->engine_fence = MAX(w->engine_fence, o->fence);
	for (guint i = 0; i < w->jobs->len; i++)
		if (JOB(w, i)->running && JOB(w, i)->slot == (int32_t)o->slot)
			g_error("slot %u was replaced while in use", o->slot);
	w->content[o->slot] = o->av;
}

static void start_run(struct world *w, struct job *j)
{
	j->starts = -1;
	for (int s = 0; s < SLOTS; s++) {
		if (!fg_av_equal(w->content[s], j->av))
			continue;
		j->slot = s;
		j->running = true;
	}
}

static struct fg_engine_state engine_state(struct world *w)
{
	struct fg_engine_state st = { .epoch = w->epoch,
				      .slots = SLOTS,
				      .batch = BATCH,
				      .checks_fence = w->checks_fence,
				      .fence = w->engine_fence };

	for (int s = 0; s < SLOTS; s++)
		if (!fg_av_is_none(w->content[s]))
			snprintf(st.slot[s].adapter, FG_NAME_BYTES, "%u",
				 w->content[s].adapter);
	for (guint i = 0; i < w->jobs->len; i++)
		if (JOB(w, i)->running)
			st.slot[JOB(w, i)->slot].running++;
	return st;
}

static fg_av find_av(void *arg, const char *adapter, const char *version)
{
	(void)arg;
	(void)version;
	return (fg_av){ (u_int)g_ascii_strtoull(adapter, NULL, 10), 1 };
}

static void restart_engine(struct world *w)
{
	w->epoch++;
	w->engine_fence = 0;
	memset(w->content, 0, sizeof(w->content));
	for (guint i = 0; i < w->jobs->len; i++)
		JOB(w, i)->running = false;
}

/* ---- Holders ---- */

static void on_grant(struct world *w, struct job *j, uint64_t grant)
{
	bool ready = false;

	for (uint32_t s = 0; s < SLOTS; s++) {
		struct fg_grant_slot_view v = fg_grants_view_slot(w->g, s);

		if (v.state == FG_GRANT_SLOT_READY && fg_av_equal(v.av, j->av))
			ready = ready || v.pins > 0;
	}
	g_assert_true(ready);
	j->grant = grant;
	j->held = false;
	j->starts = w->now + (fg_ms)random_below(w, FLIGHT_MS);
	j->ends = j->starts + (fg_ms)random_below(w, 800);
	w->granted++;
}

static void on_reply(void *arg, const struct fg_grant_request *request,
		     fg_grant_status status, uint64_t grant)
{
	struct world *w = arg;
	struct job *j = find_job(w, request->holder, request->req_id);

	g_assert_nonnull(j);
	g_assert_true(j->held);
	w->answered++;
	if (status == FG_GRANT_OK)
		on_grant(w, j, grant);
	j->held = false;
}

static void do_request(struct world *w)
{
	struct job j = { .holder = w->holder[random_below(w, HOLDERS)],
			 .req = ++w->next_req,
			 .av = { 1 + (u_int)random_below(w, ADAPTERS), 1 },
			 .starts = -1 };
	struct fg_grant_request request = {
		j.holder,  j.req,
		j.av,	   FG_CLASS_INTERACTIVE + random_below(w, 2),
		BUDGET_MS, random_below(w, 3) == 0 ? 500 : 0
	};
	fg_grant_status status;
	uint64_t grant;

	g_array_append_val(w->jobs, j);
	status = fg_grants_request(w->g, w->now, &request, &grant);
	if (status == FG_GRANT_OK)
		on_grant(w, find_job(w, j.holder, j.req), grant);
	else if (status == FG_GRANT_HELD)
		find_job(w, j.holder, j.req)->held = true;
	w->held += status == FG_GRANT_HELD;
	/* A repeated request gets the same grant. */
	if (status == FG_GRANT_OK && random_below(w, 4) == 0) {
		uint64_t again;

		g_assert_cmpint(
			fg_grants_request(w->g, w->now, &request, &again), ==,
			FG_GRANT_OK);
		g_assert_cmpuint(again, ==, grant);
	}
}

static void do_cancel(struct world *w)
{
	struct job *j;

	if (w->jobs->len == 0)
		return;
	j = JOB(w, random_below(w, w->jobs->len));
	if (j->running || j->holder_dead || j->starts >= 0)
		return;
	fg_grants_cancel(w->g, w->now, j->holder, j->req);
	w->answered += j->held;
	j->held = false;
	j->grant = 0;
}

static void do_holder_dead(struct world *w)
{
	uint64_t *slot = &w->holder[random_below(w, HOLDERS)];

	for (guint i = 0; i < w->jobs->len; i++) {
		struct job *j = JOB(w, i);

		if (j->holder != *slot)
			continue;
		j->holder_dead = true;
		w->answered += j->held;
		j->held = false;
	}
	fg_grants_on_holder_dead(w->g, w->now, *slot);
	*slot += HOLDERS;
}

/* ---- The owner ---- */

static void do_load(struct world *w)
{
	struct order o = { .av = { 1 + (u_int)random_below(w, ADAPTERS), 1 },
			   .fence = w->fence };

	if (fg_grants_start_load(w->g, w->now, o.av, (fg_av){ 0, 0 }, NULL,
				 NULL, &o.slot, &o.victim) != FG_LOAD_START_OK)
		return;
	o.id = ++w->next_order;
	o.expires_at = w->now + LIFE_MS;
	o.at = random_below(w, 8) == 0
		       ? -1
		       : w->now + (fg_ms)random_below(w, LIFE_MS);
	g_array_append_val(w->orders, o);
}

/* Reports DONE after the order was applied, or LOST at any time. */
static void report_outcome(struct world *w, struct order *o, bool applied)
{
	bool done = applied && random_below(w, 3) > 0;

	if (o->owner_informed || (!done && random_below(w, 10) > 0))
		return;
	o->owner_informed = true;
	fg_grants_finish_load(w->g, w->now, o->slot,
			      done ? FG_ORDER_DONE : FG_ORDER_LOST, LIFE_MS);
}

static void run_orders(struct world *w)
{
	for (guint i = w->orders->len; i-- > 0;) {
		struct order *o = ORDER(w, i);
		bool applied = false;

		if (o->at >= 0 && o->at <= w->now) {
			applied =
				!w->checks_fence || o->fence >= w->engine_fence;
			apply_order(w, o);
			o->at = -1;
		}
		report_outcome(w, o, applied);
		if (o->expires_at < w->now && o->at < 0 && !o->owner_informed) {
			o->owner_informed = true;
			fg_grants_finish_load(w->g, w->now, o->slot,
					      FG_ORDER_LOST, LIFE_MS);
		}
		if (o->owner_informed && o->at < 0)
			g_array_remove_index_fast(w->orders, i);
	}
}

static void report_grants(struct world *w, uint64_t holder)
{
	fg_grant_info infos[64];
	size_t n = 0;

	for (guint i = 0; i < w->jobs->len && n < 64; i++) {
		const struct job *j = JOB(w, i);

		if (j->holder == holder && j->grant != 0 && !j->holder_dead)
			infos[n++] = (fg_grant_info){ j->grant, j->req, j->av,
						      BUDGET_MS };
	}
	fg_grants_on_peer_grants(w->g, w->now, holder, infos, n);
}

/* The owner dies and the next one starts in recovery. The grants of holders
 * that died with the old owner are unknown to the new one. */
static void do_new_owner(struct world *w)
{
	struct fg_intent in[FG_INTENTS_MAX];
	size_t n = 0;

	for (guint i = 0; i < w->jobs->len; i++) {
		struct job *j = JOB(w, i);

		w->answered += j->held;
		j->held = false;
	}
	for (guint i = 0; i < w->orders->len; i++) {
		struct order *o = ORDER(w, i);

		o->owner_informed = true;
		if (w->checks_fence || n == FG_INTENTS_MAX)
			continue;
		in[n++] = (struct fg_intent){ o->id, o->slot,  o->victim,
					      o->av, o->fence, LIFE_MS };
	}
	struct fg_grants_conf conf = { 7,     ++w->fence,   SLOTS,
				       BATCH, GRANT_MAX_MS, 8,
				       false };

	fg_grants_free(w->g);
	w->g = fg_grants_new(&conf, w->now, true);
	w->poll.open = false;
	fg_grants_taint_slots(w->g, w->now, in, n);
	fg_grants_await_peers(w->g, w->holder, HOLDERS);
}

static void do_poll(struct world *w)
{
	if (!w->poll.open) {
		w->poll.open = true;
		w->poll.asked = w->now;
		w->poll.st = engine_state(w);
		return;
	}
	/* The state may be newer than the time it was asked for. */
	if (random_below(w, 2) == 0)
		w->poll.st = engine_state(w);
	w->poll.open = false;
	fg_grants_on_engine_state(w->g, w->now, w->poll.asked, &w->poll.st,
				  find_av, NULL);
}

static void raise_fence(struct world *w)
{
	if (fg_grants_needs_fence(w->g))
		w->engine_fence = MAX(w->engine_fence, w->fence);
}

/* ---- Time ---- */

static void run_jobs(struct world *w)
{
	for (guint i = w->jobs->len; i-- > 0;) {
		struct job *j = JOB(w, i);

		if (j->starts >= 0 && j->starts <= w->now)
			start_run(w, j);
		if (j->held || j->starts >= 0 ||
		    (j->running && j->ends > w->now))
			continue;
		if (!j->holder_dead && j->grant != 0) {
			fg_grants_release(w->g, w->now, j->grant);
			fg_grants_release(w->g, w->now, j->grant);
		}
		g_array_remove_index_fast(w->jobs, i);
	}
}

static void check_pins(struct world *w)
{
	uint32_t pins = 0;

	for (uint32_t s = 0; s < SLOTS; s++) {
		struct fg_grant_slot_view v = fg_grants_view_slot(w->g, s);

		pins += v.pins;
		if (v.state == FG_GRANT_SLOT_LOADING)
			g_assert_cmpuint(v.pins, ==, 0);
	}
	g_assert_cmpuint(pins, ==, fg_grants_in_use(w->g));
}

static void run_step(struct world *w)
{
	w->now += (fg_ms)random_below(w, 40);
	run_orders(w);
	run_jobs(w);
	switch (random_below(w, 40)) {
	case 0:
		do_holder_dead(w);
		break;
	case 1:
		do_new_owner(w);
		break;
	case 2:
		if (random_below(w, 4) == 0)
			restart_engine(w);
		break;
	case 3 ... 6:
		report_grants(w, w->holder[random_below(w, HOLDERS)]);
		break;
	case 7 ... 8:
		raise_fence(w);
		break;
	case 9 ... 15:
		do_load(w);
		break;
	case 16 ... 17:
		do_cancel(w);
		break;
	case 18 ... 25:
		do_poll(w);
		break;
	default:
		do_request(w);
		break;
	}
	fg_grants_serve_held(w->g, w->now, on_reply, w);
	check_pins(w);
}

static void run_seed(uint64_t seed, uint32_t *granted)
{
	struct fg_grants_conf conf = { 7, 1,	SLOTS, BATCH, GRANT_MAX_MS,
				       8, false };
	struct world w = { .now = 1000, .fence = 1, .epoch = 1 };

	fg_rand_seed(&w.rand, seed);
	w.checks_fence = seed % 2 == 0;
	w.jobs = g_array_new(FALSE, FALSE, sizeof(struct job));
	w.orders = g_array_new(FALSE, FALSE, sizeof(struct order));
	for (int h = 0; h < HOLDERS; h++)
		w.holder[h] = (uint64_t)h + 1;
	w.g = fg_grants_new(&conf, w.now, false);
	for (int i = 0; i < STEPS; i++)
		run_step(&w);
	w.now += BUDGET_MS;
	fg_grants_serve_held(w.g, w.now, on_reply, &w);
	g_assert_cmpuint(fg_grants_held(w.g), ==, 0);
	g_assert_cmpuint(w.answered, ==, w.held);
	*granted += w.granted;
	fg_grants_free(w.g);
	g_array_free(w.jobs, TRUE);
	g_array_free(w.orders, TRUE);
}

static void test_interleavings(void)
{
	uint32_t granted = 0;

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		g_test_message("seed %" G_GUINT64_FORMAT, seed);
		run_seed(seed, &granted);
	}
	/* Too few grants would leave the invariants untested. */
	g_assert_cmpuint(granted, >, SEEDS * 10);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/grant/interleavings", test_interleavings);
	return g_test_run();
}
