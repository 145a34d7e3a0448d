#include "claim/fg_claim.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/fg_rand.h"

/* Nearness of an instance to an engine; takes precedence over the hash. */
enum near {
	ANYWHERE = 0,
	SAME_REGION = 1,
	SAME_DC = 2
};

struct claim {
	uint64_t incarnation;	 /* of the owner; 0: no row */
	uint64_t version;	 /* of the row */
	uint64_t fenced_version; /* its fence was refused by the engine */
	fg_ms lost_at;		 /* when this instance lost it; 0: never */
	bool seen;		 /* applied since the full read began */
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

static struct claim *find_or_add_claim(struct fg_claims *c, const char *id)
{
	struct claim *claim = g_hash_table_lookup(c->by_ep, id);

	if (claim == NULL) {
		claim = g_new0(struct claim, 1);
		g_hash_table_insert(c->by_ep, g_strdup(id), claim);
	}
	return claim;
}

/* "INCARNATION NAME", the incarnation in hexadecimal. */
char *fg_claims_format_value(const struct fg_claims *c, const char *self_name)
{
	return g_strdup_printf("%016" G_GINT64_MODIFIER "x %s",
			       (guint64)c->self, self_name);
}

static void apply_row(struct fg_claims *c, fg_ms now, struct claim *claim,
		      uint64_t incarnation, uint64_t version)
{
	if (version < claim->version)
		return;
	if (claim->incarnation == c->self && incarnation != c->self)
		claim->lost_at = now;
	claim->incarnation = incarnation;
	claim->version = version;
}

void fg_claims_apply_row(struct fg_claims *c, fg_ms now,
			 const char *endpoint_id, const char *value,
			 uint64_t version)
{
	struct claim *claim = find_or_add_claim(c, endpoint_id);

	claim->seen = true;
	if (value == NULL) {
		/* The condition for creating an absent row is version 0. */
		claim->incarnation = 0;
		claim->version = 0;
		return;
	}
	apply_row(c, now, claim, g_ascii_strtoull(value, NULL, 16), version);
}

void fg_claims_begin_full_read(struct fg_claims *c)
{
	GHashTableIter iter;
	gpointer claim;

	g_hash_table_iter_init(&iter, c->by_ep);
	while (g_hash_table_iter_next(&iter, NULL, &claim))
		((struct claim *)claim)->seen = false;
}

void fg_claims_end_full_read(struct fg_claims *c)
{
	GHashTableIter iter;
	gpointer claim;

	g_hash_table_iter_init(&iter, c->by_ep);
	while (g_hash_table_iter_next(&iter, NULL, &claim)) {
		if (!((struct claim *)claim)->seen)
			g_hash_table_iter_remove(&iter);
	}
}

/* ---- Candidates ---- */

static enum near nearness(const struct fg_claim_candidate *candidate,
			  const struct fg_fleet_ep *ep)
{
	if (strcmp(candidate->dc, ep->facts.dc) == 0)
		return SAME_DC;
	if (strcmp(candidate->region, ep->region) == 0)
		return SAME_REGION;
	return ANYWHERE;
}

static const struct fg_claim_candidate *
best_candidate(const struct fg_fleet_ep *ep,
	       const struct fg_claim_candidate *live, uint32_t n_live)
{
	const struct fg_claim_candidate *best = NULL;
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

static const struct fg_claim_candidate *
find_live(const struct fg_claim_candidate *live, uint32_t n_live,
	  uint64_t incarnation)
{
	for (uint32_t i = 0; i < n_live; i++) {
		if (live[i].incarnation == incarnation)
			return &live[i];
	}
	return NULL;
}

/* Returns whether this instance should take the engine over. */
static bool should_claim(const struct claim *claim, fg_ms now,
			 const struct fg_fleet_ep *ep,
			 const struct fg_claim_candidate *live, uint32_t n_live)
{
	const struct fg_claim_candidate *owner =
		find_live(live, n_live, claim->incarnation);
	const struct fg_claim_candidate *best =
		best_candidate(ep, live, n_live);

	if (best == NULL || !best->self)
		return false;
	if (claim->lost_at != 0 && now - claim->lost_at < FG_CLAIM_BACKOFF_MS)
		return false;
	if (owner == NULL)
		return true;
	if (owner->self)
		return claim->fenced_version == claim->version;
	return nearness(best, ep) >= SAME_REGION &&
	       nearness(owner, ep) == ANYWHERE;
}

uint32_t fg_claims_select(struct fg_claims *c, fg_ms now,
			  struct fg_fleet_ep *const *eps, uint32_t n_eps,
			  const struct fg_claim_candidate *live,
			  uint32_t n_live, struct fg_claim_write *out,
			  uint32_t max)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < n_eps && n < max; i++) {
		const struct claim *claim =
			find_or_add_claim(c, eps[i]->facts.id);

		if (!should_claim(claim, now, eps[i], live, n_live))
			continue;
		g_strlcpy(out[n].endpoint_id, eps[i]->facts.id,
			  sizeof(out[n].endpoint_id));
		out[n++].expected = claim->version;
	}
	return n;
}

void fg_claims_handle_result(struct fg_claims *c, fg_ms now,
			     const struct fg_claim_write *rows, uint32_t n,
			     uint64_t version)
{
	for (uint32_t i = 0; version != 0 && i < n; i++)
		apply_row(c, now, find_or_add_claim(c, rows[i].endpoint_id),
			  c->self, version);
}

uint64_t fg_claims_fence(const struct fg_claims *c, const char *endpoint_id)
{
	const struct claim *claim = g_hash_table_lookup(c->by_ep, endpoint_id);

	if (claim == NULL || claim->incarnation != c->self ||
	    claim->fenced_version == claim->version)
		return 0;
	return claim->version;
}

uint64_t fg_claims_owner(const struct fg_claims *c, const char *endpoint_id)
{
	const struct claim *claim = g_hash_table_lookup(c->by_ep, endpoint_id);

	return claim == NULL ? 0 : claim->incarnation;
}

void fg_claims_handle_fenced(struct fg_claims *c, fg_ms now,
			     const char *endpoint_id)
{
	struct claim *claim = find_or_add_claim(c, endpoint_id);

	if (claim->incarnation != c->self)
		return;
	claim->fenced_version = claim->version;
	claim->lost_at = now;
}
