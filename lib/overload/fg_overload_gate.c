/* Room of a gate, and the parts of it that ranks and workspaces get. */
#include <glib.h>
#include <math.h>

#include "overload/fg_overload_priv.h"

/* Time constant of pressure and of measured times. An instance gets some five
 * requests a second; a shorter one would follow single requests. */
#define MEAN_TAU_MS 2000.0
/* Weight of a sample of 0 in each mean: one late request is no pressure. */
#define PRIOR_WEIGHT 1.0
/* Pressure lasts no longer than this without a request that sees it. */
#define CONFIRM_MS 500
#define CONFIRM_MIN 0.4
/* Mean wait, relative to the objective, from which a rank counts as late: many
 * of its requests wait longer than the mean. */
#define PRESSURE_MAX 0.6
#define SAMPLE_MAX 2.0
/* Part of the samples that still counts after a step that followed them. */
#define ACTED_PART 0.7
#define STEP_MS 250
#define STEPS_MAX 8
/* A step shows in the waits only when what was sent before has been answered.
 * Longer waits than this are not of a single step. */
#define WAIT_MAX_MS 300
#define SHRINK 0.85
#define GROW_PART 0.05
/* First room under pressure, as part of what is asked. */
#define FIRST_ROOM 0.65
/* Least room, as part of what ranks ask that are late or less urgent. */
#define LEAST_ROOM 0.15
/* A gate with this much more room than is asked opens. */
#define OPEN_PART 1.4
/* Part of a rank that is sent at least, relative to the part of all. The page
 * demands a quarter of the answers; the rest is for answers that fail. */
#define FLOOR_PART 0.4
/* The floor of each less urgent rank is lower by this, since of kinds with long
 * deadlines, which are mostly less urgent, more retries succeed. */
#define FLOOR_STEP 0.88
#define FLOOR_LEAST 0.28
/* Least room, as part of what was answered recently: an endpoint that works off
 * its queue answers as much as it can. */
#define SERVED_PART 0.6
/* A rank is sent this much less often than a more urgent one that is refused by
 * its deadlines: of kinds with longer deadlines more retries succeed. */
#define LIMIT_PART 0.85
/* A rank with a smaller part of the work says too little of how often it is
 * sent. */
#define RANK_DEMAND_MIN 0.05

static double decay(fg_ms elapsed, double tau_ms)
{
	return elapsed <= 0 ? 1 : exp(-(double)elapsed / tau_ms);
}

void fg_ov_mean_add(struct fg_ov_mean *m, fg_ms now, double x)
{
	double d = decay(now - m->at, MEAN_TAU_MS);

	m->sum = m->sum * d + x;
	m->n = m->n * d + 1;
	m->at = now;
}

double fg_ov_mean_get(const struct fg_ov_mean *m, fg_ms now)
{
	double d = decay(now - m->at, MEAN_TAU_MS);

	return m->sum * d / (m->n * d + PRIOR_WEIGHT);
}

static double rank_demand(const struct fg_ov_gate *g, uint32_t rank)
{
	return g->asked[rank][ON_TIME] + g->asked[rank][LATE];
}

double fg_ov_gate_demand(const struct fg_ov_gate *g)
{
	double sum = 0;

	for (uint32_t r = 0; r < RANKS; r++)
		sum += rank_demand(g, r);
	return sum;
}

uint32_t fg_ov_gate_late_rank(const struct fg_ov_gate *g, fg_ms now)
{
	for (uint32_t r = 0; r < RANKS; r++) {
		if (fg_ov_mean_get(&g->pressure[r], now) >= PRESSURE_MAX)
			return r;
	}
	return RANKS;
}

void fg_ov_gate_sample(struct fg_ov_gate *g, fg_ms now, uint32_t rank, double x,
		       double wait_ms)
{
	if (x >= CONFIRM_MIN) {
		g->confirmed_at = now;
		g->wait_ms = fmin(wait_ms, WAIT_MAX_MS);
	}
	fg_ov_mean_add(&g->pressure[rank], now, fmin(fmax(x, 0), SAMPLE_MAX));
}

static bool is_confirmed(const struct fg_ov_gate *g, fg_ms now)
{
	return g->confirmed_at > 0 && now - g->confirmed_at <= CONFIRM_MS;
}

/* Shedding for a late rank takes no room from more urgent ones: with this room,
 * fg_ov_gate_parts() sends these entirely and the others at the floor. */
static double least_room(const struct fg_ov_gate *g, uint32_t late_rank)
{
	double all = fg_ov_gate_demand(g);
	double urgent = 0;

	for (uint32_t r = 0; r < late_rank; r++)
		urgent += rank_demand(g, r);
	if (all <= 0)
		return 0;
	return fmax(urgent / (1 - FLOOR_PART * (all - urgent) / all),
		    all * LEAST_ROOM);
}

static void shrink(struct fg_ov_gate *g, uint32_t late_rank)
{
	double demand = fg_ov_gate_demand(g);
	double least = least_room(g, late_rank);

	/* An instance that asks less than its share sheds later than others. */
	if (g->room == 0)
		g->room = fmax(g->share, demand * FIRST_ROOM);
	else
		g->room *= SHRINK;
	g->room = fmax(g->room, fmax(least, g->served * SERVED_PART));
	for (uint32_t r = 0; r < RANKS; r++) {
		g->pressure[r].sum *= ACTED_PART;
		g->pressure[r].n *= ACTED_PART;
	}
}

void fg_ov_gate_step(struct fg_ov_gate *g, fg_ms now)
{
	uint32_t late_rank = fg_ov_gate_late_rank(g, now);
	bool late = late_rank < RANKS && is_confirmed(g, now);

	if (now - g->stepped_at > (fg_ms)STEPS_MAX * STEP_MS)
		g->stepped_at = now - (fg_ms)STEPS_MAX * STEP_MS;
	if (late && now - g->shrunk_at >= STEP_MS + (fg_ms)g->wait_ms) {
		shrink(g, late_rank);
		g->shrunk_at = now;
	}
	if (late)
		g->stepped_at = now;
	for (; now - g->stepped_at >= STEP_MS; g->stepped_at += STEP_MS) {
		if (g->room > 0)
			g->room += fmax(g->share,
					fg_ov_gate_demand(g) * LEAST_ROOM) *
				   GROW_PART;
	}
	if (!late && g->room >= fg_ov_gate_demand(g) * OPEN_PART)
		g->room = 0;
}

bool fg_ov_gate_sheds(const struct fg_ov_gate *g, fg_ms now)
{
	return g->room > 0 && is_confirmed(g, now);
}

static double sent_limit(double sent_part)
{
	return sent_part > LIMIT_PART ? 1 : sent_part * LIMIT_PART;
}

/* A rank is not sent more often than a more urgent one is, also when that one
 * is refused by its deadlines. */
static void limit_parts(const struct fg_ov_gate *g, double parts[RANKS],
			const double floors[RANKS])
{
	double least = 1;

	for (uint32_t r = 0; r < RANKS; r++) {
		double d = rank_demand(g, r);

		parts[r] = fmin(parts[r], fmax(least, floors[r]));
		if (d > RANK_DEMAND_MIN * fg_ov_gate_demand(g))
			least = fmin(least, sent_limit(g->sent[r] / d));
	}
}

void fg_ov_gate_parts(const struct fg_ov_gate *g, double parts[RANKS],
		      double floors[RANKS])
{
	double demand = fg_ov_gate_demand(g);
	double room = fmax(g->room - g->returned, g->room / 2);
	double all = demand > 0 ? fmin(room / demand, 1) : 1;
	double floor_part = FLOOR_PART;
	double rest = all * demand;

	for (uint32_t r = 0; r < RANKS; r++) {
		floors[r] = all * floor_part;
		rest -= floors[r] * rank_demand(g, r);
		if (rank_demand(g, r) > RANK_DEMAND_MIN * demand)
			floor_part = fmax(floor_part * FLOOR_STEP, FLOOR_LEAST);
	}

	for (uint32_t r = 0; r < RANKS; r++) {
		double d = rank_demand(g, r);
		double more = d > 0 ? fmin(rest / d, 1 - floors[r]) : 0;

		parts[r] = floors[r] + more;
		rest -= more * d;
	}
	limit_parts(g, parts, floors);
}

/* Level up to which the rank's workspaces get what they ask, so that together
 * they get `budget`. */
static double share_level(const struct fg_ov_svc *s, int gate, uint32_t rank,
			  double budget)
{
	double level = 0;
	double below = 0;

	for (int round = 0; round < SHARES_MAX; round++) {
		double asked_below = 0;
		uint32_t above = 0;

		for (uint32_t i = 0; i < SHARES_MAX; i++) {
			const struct fg_ov_share *w = &s->shares[i];

			if (w->used_at == 0 || w->rank != rank ||
			    w->asked[gate] <= 0)
				continue;
			if (round > 0 && w->asked[gate] <= level)
				asked_below += w->asked[gate];
			else
				above++;
		}
		if (above == 0)
			return INFINITY;
		if (round > 0 && asked_below <= below)
			return level;
		below = asked_below;
		level = fmax(budget - asked_below, 0) / above;
	}
	return level;
}

double fg_ov_part(const struct fg_ov_svc *s, int gate, uint32_t rank,
		  uint64_t workspace, int class, bool *by_share)
{
	const struct fg_ov_gate *g = &s->gates[gate];
	double parts[RANKS];
	double floors[RANKS];
	double floor_part;
	double on_time = g->asked[rank][ON_TIME];
	double late = g->asked[rank][LATE];
	double demand = on_time + late;
	double above;
	double part;
	double more;

	fg_ov_gate_parts(g, parts, floors);
	floor_part = floors[rank];
	part = parts[rank];
	above = (part - floor_part) * demand;
	*by_share = false;
	if (parts[rank] >= 1 || demand <= 0)
		return 1;
	for (uint32_t i = 0; i < SHARES_MAX; i++) {
		const struct fg_ov_share *w = &s->shares[i];
		double level;

		if (w->used_at == 0 || w->rank != rank ||
		    w->workspace != workspace || w->asked[gate] <= 0)
			continue;
		level = share_level(s, gate, rank, parts[rank] * demand);
		part = fmin(level / w->asked[gate], 1);
		*by_share = part < parts[rank] * 0.99;
		if (part >= 1)
			return 1;
		break;
	}
	/* Those in time first; together the rank gets what it would get. */
	more = on_time > 0 ? fmin(above / on_time, 1 - floor_part) : 0;
	if (class == LATE)
		more = late > 0 ? (above - more * on_time) / late : 0;
	part *= (floor_part + more) / parts[rank];
	return fmin(fmax(part, floor_part), 1);
}
