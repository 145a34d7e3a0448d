/* Decisions for requests, and what was measured. */
#include "overload/fg_overload.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "overload/fg_overload_priv.h"

/* Measured load waits count from this much on; less is the estimate's. */
#define LOAD_PRIOR_MS 500.0
#define LOAD_RATIO_MIN 0.5
#define LOAD_RATIO_MAX 6.0
/* Part of its length so far that a wait is expected to last on, once it has
 * lasted longer than estimated. */
#define OVERDUE_PART 2
/* Shortest retry time; the situation is not another one before. */
#define RETRY_MIN_MS 50
/* Part of a gate's room that is promised to refused callers. */
#define PROMISED_PART 0.25
/* A caller is back at its time if it comes this much earlier or later. */
#define RETURN_EARLY_MS 20
#define RETURN_LATE_MS 1500
/* Measured waits may have grown by this much since. */
#define GUESS_TRUST 2
/* Time after which the least duration of an answer is forgotten by half. */
#define LEAST_GROW_MS 20000.0
/* Requests are not shed below this part of the service's slots. The page says
 * half; the rest covers what ends while the numbers are on their way. */
#define ROOM_PART 0.62
/* A measured wait of this part of the objective is none, when slots are free.
 */
#define WAIT_FREE_PART 4
#define GUESS_FREE_PART 2

struct fg_overload *fg_overload_new(void)
{
	return g_new0(struct fg_overload, 1);
}

void fg_overload_free(struct fg_overload *o)
{
	if (o == NULL)
		return;
	for (uint32_t i = 0; i < o->n_svcs; i++)
		g_free(o->svcs[i]);
	g_free(o);
}

const char *fg_overload_reason(enum fg_overload_why why)
{
	static const char *const names[FG_OVERLOAD_WHY_COUNT] = {
		[FG_OVERLOAD_DEADLINE] = "overload_deadline",
		[FG_OVERLOAD_RANK] = "overload_rank",
		[FG_OVERLOAD_SHARE] = "overload_share",
	};

	return names[why];
}

/* ---- Promises ---- */

static void promise(struct fg_overload *o, fg_ms at, uint64_t fingerprint)
{
	struct fg_ov_promise *oldest = &o->promises[0];

	for (uint32_t i = 1; i < PROMISES_MAX; i++) {
		if (o->promises[i].at < oldest->at)
			oldest = &o->promises[i];
	}
	oldest->fingerprint = fingerprint;
	oldest->at = at;
}

/* Returns whether the request comes back at its time; a promise holds once. */
static bool take_promise(struct fg_overload *o, fg_ms now, uint64_t fingerprint)
{
	for (uint32_t i = 0; i < PROMISES_MAX; i++) {
		struct fg_ov_promise *p = &o->promises[i];

		if (p->fingerprint != fingerprint ||
		    now < p->at - RETURN_EARLY_MS ||
		    now > p->at + RETURN_LATE_MS)
			continue;
		p->at = 0;
		return true;
	}
	return false;
}

/* Time of the next free place in the part of the room that is promised. */
static uint32_t next_retry_ms(struct fg_overload *o, struct fg_ov_gate *g,
			      fg_ms now, double work, uint64_t fingerprint,
			      struct fg_rand *rand)
{
	double spacing_ms = work * FG_MS_PER_S / (g->room * PROMISED_PART);
	double place = fmax(g->next_place, (double)(now + RETRY_MIN_MS));

	if (place + spacing_ms > (double)(now + FG_OVERLOAD_RETRY_MAX_MS))
		return FG_OVERLOAD_RETRY_MAX_MS / 2 +
		       (uint32_t)fg_rand_below(rand,
					       FG_OVERLOAD_RETRY_MAX_MS / 2);
	g->next_place = place + spacing_ms;
	place += spacing_ms * fg_rand_unit(rand);
	promise(o, (fg_ms)place, fingerprint);
	return (uint32_t)(place - (double)now);
}

/* ---- Estimates ---- */

/* Measured beyond the estimate. Less than 0 for ranks that pass those whose
 * prompts the estimate counts; otherwise at least that of more urgent ones. */
static double excess_ms(const struct fg_ov_svc *s, fg_ms now, uint32_t rank)
{
	double most = fg_ov_mean_get(&s->excess[rank], now);

	if (most < 0)
		return most;

	for (uint32_t r = 0; r <= rank; r++)
		most = fmax(most, fg_ov_mean_get(&s->excess[r], now));
	return most;
}

static double load_estimate_ms(const struct fg_ov_svc *s,
			       const struct fg_overload_ask *ask)
{
	double ratio = (s->load_took + LOAD_PRIOR_MS) /
		       (s->load_expected + LOAD_PRIOR_MS);
	double waited = ask->load_waited_ms;
	double ms;

	ms = ask->load_ms * CLAMP(ratio, LOAD_RATIO_MIN, LOAD_RATIO_MAX);
	if (waited == 0)
		return ms;
	return fmax(ms - waited, waited / OVERDUE_PART);
}

struct estimate {
	double run_ms;
	double load_ms;
	double objective_ms;
};

static double guess_ms(const struct fg_ov_svc *s,
		       const struct fg_overload_ask *ask)
{
	return s->least_ms * ask->own_running * ask->instances / ask->slots;
}

/* Time to the answer, without a load. What was measured is as old as the answer
 * took; the number of requests in flight is of now, but says little about other
 * instances. The lesser of both neither sheds for a wait that has ended nor for
 * requests that came here alone. */
static double run_estimate_ms(const struct fg_ov_svc *s, fg_ms now,
			      const struct fg_overload_ask *ask)
{
	double ms = ask->wait_ms - MIN(ask->load_ms, ask->wait_ms);
	double excess = excess_ms(s, now, ask->rank);
	if (ask->instances == 0 || ask->slots == 0)
		return fmax(ms + excess, ask->own_wait_ms);
	return fmax(ms, fmin(guess_ms(s, ask), ms + GUESS_TRUST * excess));
}

static struct estimate make_estimate(const struct fg_ov_svc *s, fg_ms now,
				     const struct fg_overload_ask *ask)
{
	struct estimate e = {
		.run_ms = run_estimate_ms(s, now, ask),
		.load_ms = load_estimate_ms(s, ask),
		.objective_ms = ask->objective_ms,
	};

	if (ask->objective_ms == 0)
		e.objective_ms = (double)ask->waited_ms + ask->left_ms;
	return e;
}

/* Wait that other requests cause, relative to the time that is left for it. */
static double wait_ratio(double ms, double own_ms, double objective_ms)
{
	return (ms - own_ms) / fmax(objective_ms - own_ms, objective_ms / 4);
}

static void sample_estimate(struct fg_ov_svc *s, fg_ms now,
			    const struct fg_overload_ask *ask,
			    const struct estimate *e)
{
	fg_ov_gate_sample(
		&s->gates[RUN], now, ask->rank,
		wait_ratio(e->run_ms, ask->own_wait_ms, e->objective_ms),
		e->run_ms);
	if (ask->needs_load)
		fg_ov_gate_sample(&s->gates[LOAD], now, ask->rank,
				  wait_ratio(e->load_ms, ask->own_load_ms,
					     fmax(e->objective_ms - e->run_ms,
						  e->objective_ms / 4)),
				  e->load_ms);
}

/* ---- Decision ---- */

/* An admitted request is refused after all. */
static void take_back_sent(struct fg_ov_svc *s,
			   const struct fg_overload_ask *ask)
{
	double *run = &s->gates[RUN].sent[ask->rank];
	double *load = &s->gates[LOAD].sent[ask->rank];

	*run = fmax(*run - ask->work, 0);
	if (ask->load_waited_ms > 0)
		*load = fmax(*load - 1, 0);
}

static bool has_room(const struct fg_ov_svc *s, fg_ms now,
		     const struct fg_overload_ask *ask,
		     const struct estimate *e)
{
	if (ask->slots == 0 || ask->waiting > 0)
		return false;
	if (ask->instances > 0)
		return guess_ms(s, ask) < e->objective_ms / GUESS_FREE_PART;
	return ask->slots_taken < ask->slots * ROOM_PART &&
	       excess_ms(s, now, ask->rank) < e->objective_ms / WAIT_FREE_PART;
}

static void count_asked(struct fg_ov_svc *s, fg_ms now,
			const struct fg_overload_ask *ask, int class,
			bool returned)
{
	struct fg_ov_share *w =
		fg_ov_share_get(s, now, ask->workspace, ask->rank);
	double work[GATES] = { ask->work, ask->needs_load ? 1 : 0 };

	for (int k = 0; k < GATES; k++) {
		struct fg_ov_gate *g = &s->gates[k];

		g->asked[ask->rank][class] += work[k];
		w->asked[k] += work[k];
		if (returned)
			g->returned += work[k];
	}
	s->gates[RUN].share = ask->share_per_s * DEMAND_TAU_MS / FG_MS_PER_S;
	s->gates[LOAD].share = ask->loads_per_s * DEMAND_TAU_MS / FG_MS_PER_S;
}

static void count_sent(struct fg_ov_svc *s, const struct fg_overload_ask *ask)
{
	s->gates[RUN].sent[ask->rank] += ask->work;
	s->gates[LOAD].sent[ask->rank] += ask->needs_load ? 1 : 0;
	fg_ov_counts_now(s, ask->rank)->sent++;
}

static uint32_t rank_before(const struct fg_ov_gate *g, uint32_t rank)
{
	for (uint32_t r = 0; r < rank; r++) {
		if (g->asked[r][ON_TIME] + g->asked[r][LATE] > 0.01)
			return r;
	}
	return rank;
}

/* Draws whether the request gives way; one number for both gates, so that a
 * request that needs a load is not shed twice. */
static void shed(struct fg_overload *o, struct fg_ov_svc *s, fg_ms now,
		 const struct fg_overload_ask *ask, int class,
		 struct fg_rand *rand, struct fg_overload_verdict *v)
{
	double draw = fg_rand_unit(rand);

	for (int k = 0; k < GATES && v->why == FG_OVERLOAD_SEND; k++) {
		struct fg_ov_gate *g = &s->gates[k];
		bool by_share;

		if ((k == LOAD && !ask->needs_load) ||
		    !fg_ov_gate_sheds(g, now))
			continue;
		if (draw < fg_ov_part(s, k, ask->rank, ask->workspace, class,
				      &by_share))
			continue;
		v->why = by_share ? FG_OVERLOAD_SHARE : FG_OVERLOAD_RANK;
		v->gave_way_to =
			by_share ? ask->rank : rank_before(g, ask->rank);
		v->retry_ms = next_retry_ms(o, g, now,
					    (k == RUN ? ask->work : 1) *
						    DEMAND_TAU_MS / FG_MS_PER_S,
					    ask->fingerprint, rand);
	}
}

/* Callers come back once the estimate fits, spread over half of that time. */
static void refuse_deadline(struct fg_overload *o, fg_ms now,
			    const struct fg_overload_ask *ask, double ms,
			    struct fg_rand *rand, struct fg_overload_verdict *v)
{
	double excess = CLAMP(ms - ask->left_ms, RETRY_MIN_MS,
			      FG_OVERLOAD_RETRY_MAX_MS / 3 * 2);

	v->why = FG_OVERLOAD_DEADLINE;
	v->gave_way_to = ask->rank;
	v->retry_ms = (uint32_t)excess +
		      (uint32_t)fg_rand_below(rand, (uint64_t)excess / 2 + 1);
	promise(o, now + v->retry_ms, ask->fingerprint);
}

struct fg_overload_verdict fg_overload_decide(struct fg_overload *o, fg_ms now,
					      const struct fg_overload_ask *ask,
					      struct fg_rand *rand)
{
	struct fg_ov_svc *s = fg_ov_svc_get(o, now, ask->service);
	struct estimate e = make_estimate(s, now, ask);
	double ms = e.run_ms + e.load_ms;
	bool room = has_room(s, now, ask, &e);
	int class = ask->waited_ms + ms <= e.objective_ms ? ON_TIME : LATE;
	struct fg_overload_verdict v = {
		.estimate_ms = (uint32_t)ms,
		.objective_ms = (uint32_t)e.objective_ms,
		.gave_way_to = ask->rank,
	};
	bool returned = !ask->again && take_promise(o, now, ask->fingerprint);

	if (!ask->again) {
		sample_estimate(s, now, ask, &e);
		count_asked(s, now, ask, class, returned);
		fg_ov_counts_now(s, ask->rank)->asked++;
	}
	for (int k = 0; k < GATES; k++)
		fg_ov_gate_step(&s->gates[k], now);
	if (room && ask->load_waited_ms == 0)
		ms = ask->wait_ms;
	if (ms >= ask->left_ms)
		refuse_deadline(o, now, ask, ms, rand, &v);
	else if (!ask->again && !returned && !room)
		shed(o, s, now, ask, class, rand, &v);
	if (v.why != FG_OVERLOAD_SEND && ask->again)
		take_back_sent(s, ask);
	if (v.why != FG_OVERLOAD_SEND)
		fg_ov_counts_now(s, ask->rank)->refused++;
	else if (!ask->again)
		count_sent(s, ask);
	return v;
}

/* ---- Measured ---- */

void fg_overload_note_answer(struct fg_overload *o, fg_ms now,
			     const struct fg_overload_answer *answer)
{
	struct fg_ov_svc *s = fg_ov_svc_get(o, now, answer->service);
	double age_ms = (double)(now - s->least_at);

	fg_ov_mean_add(&s->excess[answer->rank], now,
		       (double)answer->took_ms - answer->expected_ms);
	s->gates[RUN].served += answer->work;
	s->least_ms *= 1 + age_ms / LEAST_GROW_MS;
	if (s->least_ms == 0 || answer->took_ms < s->least_ms)
		s->least_ms = answer->took_ms;
	s->least_at = now;
	if (answer->objective_ms > 0 && answer->whole_ms > answer->objective_ms)
		fg_ov_counts_now(s, answer->rank)->late++;
}

void fg_overload_note_full(struct fg_overload *o, fg_ms now, uint64_t service,
			   uint32_t rank)
{
	struct fg_ov_svc *s = fg_ov_svc_get(o, now, service);

	fg_ov_gate_sample(&s->gates[RUN], now, rank, 2, 0);
}

void fg_overload_note_load(struct fg_overload *o, fg_ms now, uint64_t service,
			   uint32_t expected_ms, uint32_t took_ms, bool loaded)
{
	struct fg_ov_svc *s = fg_ov_svc_get(o, now, service);

	if (!loaded && took_ms <= expected_ms)
		return;
	s->gates[LOAD].served += loaded ? 1 : 0;
	s->load_took += took_ms;
	s->load_expected += expected_ms;
}

/* ---- For operators ---- */

static double most_pressure(const struct fg_ov_gate *g, fg_ms now)
{
	double most = 0;

	for (uint32_t r = 0; r < RANKS; r++)
		most = fmax(most, fg_ov_mean_get(&g->pressure[r], now));
	return most;
}

static double sent_part(const struct fg_ov_gate *g, fg_ms now)
{
	double demand = fg_ov_gate_demand(g);

	if (!fg_ov_gate_sheds(g, now) || demand <= 0)
		return 1;
	return fmin(g->room / demand, 1);
}

bool fg_overload_view(struct fg_overload *o, fg_ms now, uint64_t service,
		      struct fg_overload_view *out)
{
	struct fg_ov_svc *s = fg_ov_svc_find(o, service);

	if (s == NULL)
		return false;
	fg_ov_svc_refresh(s, now);
	*out = (struct fg_overload_view){
		.service = service,
		.run_pressure = most_pressure(&s->gates[RUN], now),
		.load_pressure = most_pressure(&s->gates[LOAD], now),
		.run_part = sent_part(&s->gates[RUN], now),
		.load_part = sent_part(&s->gates[LOAD], now),
	};
	for (int b = 0; b < BUCKETS; b++) {
		for (uint32_t r = 0; r < RANKS; r++) {
			const struct fg_overload_counts *c = &s->counts[b][r];

			out->ranks[r].asked += c->asked;
			out->ranks[r].sent += c->sent;
			out->ranks[r].refused += c->refused;
			out->ranks[r].late += c->late;
		}
	}
	return true;
}
