/* State of services: work asked, counts of the last second. */
#include <glib.h>
#include <math.h>
#include <string.h>

#include "overload/fg_overload_priv.h"

struct fg_ov_svc *fg_ov_svc_find(const struct fg_overload *o, uint64_t service)
{
	for (uint32_t i = 0; i < o->n_svcs; i++) {
		if (o->svcs[i]->service == service)
			return o->svcs[i];
	}
	return NULL;
}

static void decay_svc(struct fg_ov_svc *s, fg_ms now)
{
	double d = exp(-(double)(now - s->decayed_at) / DEMAND_TAU_MS);

	for (int k = 0; k < GATES; k++) {
		struct fg_ov_gate *g = &s->gates[k];

		for (uint32_t r = 0; r < RANKS; r++) {
			g->asked[r][ON_TIME] *= d;
			g->asked[r][LATE] *= d;
			g->sent[r] *= d;
		}
		g->returned *= d;
		g->served *= d;
	}
	for (uint32_t i = 0; i < SHARES_MAX; i++) {
		for (int k = 0; k < GATES; k++)
			s->shares[i].asked[k] *= d;
	}
	s->load_took *= d;
	s->load_expected *= d;
	s->decayed_at = now;
}

static void turn_buckets(struct fg_ov_svc *s, fg_ms now)
{
	int64_t bucket = now * BUCKETS / FG_MS_PER_S;

	if (bucket - s->bucket > BUCKETS)
		s->bucket = bucket - BUCKETS;
	while (s->bucket < bucket) {
		s->bucket++;
		memset(s->counts[s->bucket % BUCKETS], 0, sizeof(s->counts[0]));
	}
}

void fg_ov_svc_refresh(struct fg_ov_svc *s, fg_ms now)
{
	decay_svc(s, now);
	turn_buckets(s, now);
}

/* The least recently used service is dropped when there are too many. */
struct fg_ov_svc *fg_ov_svc_get(struct fg_overload *o, fg_ms now,
				uint64_t service)
{
	struct fg_ov_svc *s = fg_ov_svc_find(o, service);

	if (s == NULL) {
		uint32_t at = 0;

		if (o->n_svcs < SERVICES_MAX) {
			at = o->n_svcs++;
			o->svcs[at] = NULL;
		}
		for (uint32_t i = 1; o->svcs[at] != NULL && i < SERVICES_MAX;
		     i++) {
			if (o->svcs[i]->used_at < o->svcs[at]->used_at)
				at = i;
		}
		g_free(o->svcs[at]);
		s = o->svcs[at] = g_new0(struct fg_ov_svc, 1);
		s->service = service;
		s->decayed_at = now;
	}
	s->used_at = now;
	fg_ov_svc_refresh(s, now);
	return s;
}

struct fg_overload_counts *fg_ov_counts_now(struct fg_ov_svc *s, uint32_t rank)
{
	return &s->counts[s->bucket % BUCKETS][rank];
}

struct fg_ov_share *fg_ov_share_get(struct fg_ov_svc *s, fg_ms now,
				    uint64_t workspace, uint32_t rank)
{
	struct fg_ov_share *oldest = &s->shares[0];

	for (uint32_t i = 0; i < SHARES_MAX; i++) {
		struct fg_ov_share *w = &s->shares[i];

		if (w->used_at > 0 && w->workspace == workspace &&
		    w->rank == rank) {
			w->used_at = now;
			return w;
		}
		if (w->used_at < oldest->used_at)
			oldest = w;
	}
	*oldest = (struct fg_ov_share){ .workspace = workspace,
					.rank = rank,
					.used_at = now };
	return oldest;
}
