#include "claim/fg_claim.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/fg_rand.h"

/* Rank added per level of nearness; above every hash. */
enum near {
	ANYWHERE = 0,
	SAME_REGION = 1,
	SAME_DC = 2
};

struct claim {
	uint64_t incarnation;	 /* of the holder; 0: no row */
	uint64_t version;	 /* of the row */
	uint64_t fenced_version; /* refused by the engine */
	fg_ms lost_at;		 /* this instance lost it; 0: never */
	bool fresh;		 /* seen in the running full read */
};

struct fg_claims {
	uint64_t self;
	GHashTable *by_ep; /* endpoint id -> struct claim * */
};

struct fg_claims *fg_claims_new(uint64_t self_incarnation)
{
	struct fg_claims *c = g_new0(struct fg_claims, 1);

	g_assert(self_incarnation != 0);
	c->self = self_incarnation;
	c->by_ep =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return c;
}

void fg_claims_free(struct fg_claims *c)
{
	if (c == NULL)
		return;
	g_hash_table_unref(c->by_ep);
	g_free(c);
}

static struct claim *claim_of(struct fg_claims *c, const char *id)
{
	struct claim *cl = g_hash_table_lookup(c->by_ep, id);

	if (cl == NULL) {
		cl = g_new0(struct claim, 1);
		g_hash_table_insert(c->by_ep, g_strdup(id), cl);
	}
	return cl;
}

/* "INCARNATION NAME", the incarnation in hexadecimal. */
char *fg_claims_value(const struct fg_claims *c, const char *self_name)
{
	return g_strdup_printf("%016" G_GINT64_MODIFIER "x %s",
			       (guint64)c->self, self_name);
}

static void set_row(struct fg_claims *c, fg_ms now, struct claim *cl,
		    uint64_t incarnation, uint64_t version)
{
	if (version < cl->version)
		return;
	if (cl->incarnation == c->self && incarnation != c->self)
		cl->lost_at = now;
	cl->incarnation = incarnation;
	cl->version = version;
}

void fg_claims_row(struct fg_claims *c, fg_ms now, const char *endpoint_id,
		   const char *value, uint64_t version)
{
	struct claim *cl = claim_of(c, endpoint_id);

	cl->fresh = true;
	if (value == NULL) {
		/* An absent row is created anew under the condition 0. */
		cl->incarnation = 0;
		cl->version = 0;
		return;
	}
	set_row(c, now, cl, g_ascii_strtoull(value, NULL, 16), version);
}

void fg_claims_read_begin(struct fg_claims *c)
{
	GHashTableIter it;
	gpointer cl;

	g_hash_table_iter_init(&it, c->by_ep);
	while (g_hash_table_iter_next(&it, NULL, &cl))
		((struct claim *)cl)->fresh = false;
}

void fg_claims_read_end(struct fg_claims *c)
{
	GHashTableIter it;
	gpointer cl;

	g_hash_table_iter_init(&it, c->by_ep);
	while (g_hash_table_iter_next(&it, NULL, &cl)) {
		if (!((struct claim *)cl)->fresh)
			g_hash_table_iter_remove(&it);
	}
}

/* ---- Candidates ---- */

static enum near nearness(const struct fg_claimant *m,
			  const struct fg_fleet_ep *ep)
{
	if (strcmp(m->dc, ep->facts.dc) == 0)
		return SAME_DC;
	if (strcmp(m->region, ep->region) == 0)
		return SAME_REGION;
	return ANYWHERE;
}

static const struct fg_claimant *first_candidate(const struct fg_fleet_ep *ep,
						 const struct fg_claimant *live,
						 uint32_t n_live)
{
	const struct fg_claimant *best = NULL;
	uint64_t best_rank = 0;
	enum near best_near = ANYWHERE;

	for (uint32_t i = 0; i < n_live; i++) {
		enum near near = nearness(&live[i], ep);
		uint64_t rank = fg_hash_mix(ep->hash, live[i].hash);

		if (best != NULL && near < best_near)
			continue;
		if (best != NULL && near == best_near && rank <= best_rank)
			continue;
		best = &live[i];
		best_rank = rank;
		best_near = near;
	}
	return best;
}

static const struct fg_claimant *
find_live(const struct fg_claimant *live, uint32_t n_live, uint64_t incarnation)
{
	for (uint32_t i = 0; i < n_live; i++) {
		if (live[i].incarnation == incarnation)
			return &live[i];
	}
	return NULL;
}

/* Should this engine get another holder, and is that this instance? */
static bool wants(const struct claim *cl, fg_ms now,
		  const struct fg_fleet_ep *ep, const struct fg_claimant *live,
		  uint32_t n_live)
{
	const struct fg_claimant *holder =
		find_live(live, n_live, cl->incarnation);
	const struct fg_claimant *first = first_candidate(ep, live, n_live);

	if (first == NULL || !first->self)
		return false;
	if (cl->lost_at != 0 && now - cl->lost_at < FG_CLAIM_BACKOFF_MS)
		return false;
	if (holder == NULL)
		return true;
	if (holder->self)
		return cl->fenced_version == cl->version;
	return nearness(first, ep) >= SAME_REGION &&
	       nearness(holder, ep) == ANYWHERE;
}

uint32_t fg_claims_wanted(struct fg_claims *c, fg_ms now,
			  struct fg_fleet_ep *const *eps, uint32_t n_eps,
			  const struct fg_claimant *live, uint32_t n_live,
			  struct fg_claim_write *out, uint32_t max)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < n_eps && n < max; i++) {
		const struct claim *cl = claim_of(c, eps[i]->facts.id);

		if (!wants(cl, now, eps[i], live, n_live))
			continue;
		g_strlcpy(out[n].endpoint_id, eps[i]->facts.id,
			  sizeof(out[n].endpoint_id));
		out[n++].expected = cl->version;
	}
	return n;
}

void fg_claims_written(struct fg_claims *c, fg_ms now,
		       const struct fg_claim_write *rows, uint32_t n,
		       uint64_t version)
{
	for (uint32_t i = 0; version != 0 && i < n; i++)
		set_row(c, now, claim_of(c, rows[i].endpoint_id), c->self,
			version);
}

uint64_t fg_claims_fence(const struct fg_claims *c, const char *endpoint_id)
{
	const struct claim *cl = g_hash_table_lookup(c->by_ep, endpoint_id);

	if (cl == NULL || cl->incarnation != c->self ||
	    cl->fenced_version == cl->version)
		return 0;
	return cl->version;
}

uint64_t fg_claims_holder(const struct fg_claims *c, const char *endpoint_id)
{
	const struct claim *cl = g_hash_table_lookup(c->by_ep, endpoint_id);

	return cl == NULL ? 0 : cl->incarnation;
}

void fg_claims_fenced(struct fg_claims *c, fg_ms now, const char *endpoint_id)
{
	struct claim *cl = claim_of(c, endpoint_id);

	if (cl->incarnation != c->self)
		return;
	cl->fenced_version = cl->version;
	cl->lost_at = now;
}
