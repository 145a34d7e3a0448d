/* Chooses the engines to claim, to settle and to release. */
#include "claim/fg_claim_internal.h"

#include <string.h>

#include "base/fg_rand.h"

/* Nearness of an instance to an engine; takes precedence over the hash. */
enum near {
	ANYWHERE = 0,
	SAME_REGION = 1,
	SAME_DC = 2
};

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
find_live(const struct fg_claim_candidate *live, uint32_t n_live,
	  uint64_t incarnation)
{
	for (uint32_t i = 0; i < n_live; i++) {
		if (live[i].incarnation == incarnation)
			return &live[i];
	}
	return NULL;
}

/* Returns the live instance that has the owner's name, possibly restarted. */
static const struct fg_claim_candidate *
find_by_name(const struct fg_claim_candidate *live, uint32_t n_live,
	     const char *name)
{
	for (uint32_t i = 0; i < n_live; i++) {
		if (strcmp(live[i].name, name) == 0)
			return &live[i];
	}
	return NULL;
}

/* Ranks the candidates. `with_formers`: also those that would take turns with
 * the owners since. */
static const struct fg_claim_candidate *
rank_candidates(const struct fg_claim *claim, fg_ms now,
		const struct fg_fleet_ep *ep,
		const struct fg_claim_candidate *live, uint32_t n_live,
		bool with_formers)
{
	const struct fg_claim_candidate *best = NULL;
	bool recent = now - claim->since < FG_CLAIM_BACKOFF_MS;
	uint64_t best_rank = 0;
	enum near best_near = ANYWHERE;

	for (uint32_t i = 0; i < n_live; i++) {
		enum near near = nearness(&live[i], ep);
		uint64_t rank = fg_hash_mix(ep->hash, live[i].hash);

		if (live[i].leaving ||
		    (!with_formers && recent &&
		     fg_claim_is_former(&claim->owner, live[i].name)))
			continue;
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

/* The restarted owner takes its engine back, since no turn and no wait follow
 * from that. */
static const struct fg_claim_candidate *
best_candidate(const struct fg_claim *claim, fg_ms now,
	       const struct fg_fleet_ep *ep,
	       const struct fg_claim_candidate *live, uint32_t n_live)
{
	const struct fg_claim_candidate *best =
		claim->owner.incarnation == 0
			? NULL
			: find_by_name(live, n_live, claim->owner.name);

	if (best != NULL && !best->leaving &&
	    best->incarnation != claim->owner.incarnation)
		return best;
	best = rank_candidates(claim, now, ep, live, n_live, false);
	if (best == NULL)
		best = rank_candidates(claim, now, ep, live, n_live, true);
	return best;
}

/* ---- Selection ---- */

/* Returns whether this instance, the owner, should give the engine up. */
static bool should_release(const struct fg_claims *c,
			   const struct fg_claim *claim, fg_ms now,
			   const struct fg_fleet_ep *ep,
			   const struct fg_claim_candidate *self,
			   const struct fg_claim_candidate *live,
			   uint32_t n_live)
{
	const struct fg_claim_candidate *best;

	if (c->conf.fences_checked)
		return false;
	if (claim->releasing || self == NULL)
		return true;
	if (nearness(self, ep) != ANYWHERE ||
	    now - claim->since < FG_CLAIM_MOVE_AFTER_MS)
		return false;
	best = rank_candidates(claim, now, ep, live, n_live, false);
	return best != NULL && nearness(best, ep) != ANYWHERE;
}

/* Returns whether an owner that lives keeps the engine from `best`. Where
 * engines check fencing numbers, an instance in the region of the engine takes
 * it over from one that is stopping or in another region, without a release. */
static bool keeps_engine(const struct fg_claims *c,
			 const struct fg_claim_candidate *owner,
			 const struct fg_claim_candidate *best,
			 const struct fg_fleet_ep *ep)
{
	if (owner == NULL)
		return false;
	if (!c->conf.fences_checked)
		return true;
	return !owner->leaving && (nearness(best, ep) == ANYWHERE ||
				   nearness(owner, ep) != ANYWHERE);
}

/* Returns whether this instance should take the engine over. */
static bool should_claim(const struct fg_claims *c,
			 const struct fg_claim *claim, fg_ms now,
			 const struct fg_fleet_ep *ep,
			 const struct fg_claim_candidate *live, uint32_t n_live)
{
	const struct fg_claim_candidate *best =
		best_candidate(claim, now, ep, live, n_live);

	if (best == NULL || !best->self)
		return false;
	if (claim->lost_at != 0 && now - claim->lost_at < FG_CLAIM_BACKOFF_MS)
		return false;
	if (claim->owner.incarnation == c->conf.incarnation)
		return claim->fenced_version == claim->version;
	return !keeps_engine(
		c, find_live(live, n_live, claim->owner.incarnation), best, ep);
}

/* Returns whether this instance, the owner, may order and has not said so. */
static bool should_settle(const struct fg_claims *c,
			  const struct fg_claim *claim, fg_ms now,
			  const char *endpoint_id)
{
	return !c->conf.fences_checked &&
	       claim->owner.incarnation == c->conf.incarnation &&
	       !fg_claim_is_settled(c, &claim->owner) &&
	       fg_claims_order_wait_ms(c, now, endpoint_id) == 0;
}

/* Returns whether the owner has ended: an instance of its name lives that
 * started after the owner wrote its claim. */
static bool has_restarted(const struct fg_claim *claim,
			  const struct fg_claim_candidate *live,
			  uint32_t n_live)
{
	const struct fg_claim_candidate *same =
		find_by_name(live, n_live, claim->owner.name);

	return same != NULL && same->incarnation != claim->owner.incarnation &&
	       same->row_version > claim->version;
}

/* Time from the claim until the former owner's orders have all arrived. */
static uint32_t takeover_wait_ms(const struct fg_claims *c,
				 const struct fg_claim *claim, fg_ms now,
				 const struct fg_claim_candidate *live,
				 uint32_t n_live)
{
	const struct fg_claim_owner *old = &claim->owner;
	fg_ms unknown_since = MAX(c->conf.started_at, c->revoked_at);
	fg_ms left_ms = 0;

	if (c->conf.fences_checked)
		return 0;
	if (claim->version == 0)
		/* A row that a restored table has lost looks like none. */
		return (uint32_t)CLAMP(unknown_since + FG_CLAIM_TAKEOVER_MS -
					       now,
				       0, FG_CLAIM_TAKEOVER_MS);
	if (!fg_claim_is_self(c, old->name) && old->incarnation != 0 &&
	    !has_restarted(claim, live, n_live))
		return FG_CLAIM_TAKEOVER_MS;
	/* The owner named last has stopped. The one before it may still order,
	 * unless the owner settled. */
	if (!fg_claim_is_settled(c, old))
		left_ms = CLAMP(claim->since + FG_CLAIM_TAKEOVER_MS - now, 0,
				FG_CLAIM_TAKEOVER_MS);
	if (!fg_claim_is_self(c, old->name))
		left_ms = MAX(left_ms, FG_CLAIM_FLIGHT_MS);
	return (uint32_t)left_ms;
}

static void fill_write(const struct fg_claim *claim,
		       const struct fg_claim_owner *owner,
		       const char *endpoint_id, struct fg_claim_write *out)
{
	memset(out, 0, sizeof(*out));
	g_strlcpy(out->endpoint_id, endpoint_id, sizeof(out->endpoint_id));
	out->expected = claim->version;
	fg_claim_format_owner(owner, out->value, sizeof(out->value));
}

static bool select_engine(struct fg_claims *c, fg_ms now,
			  const struct fg_fleet_ep *ep,
			  const struct fg_claim_candidate *self,
			  const struct fg_claim_candidate *live,
			  uint32_t n_live, struct fg_claim_write *out)
{
	struct fg_claim *claim = fg_claim_find_or_add(c, ep->facts.id);
	struct fg_claim_owner owner;

	if (claim->owner.incarnation == c->conf.incarnation &&
	    should_release(c, claim, now, ep, self, live, n_live)) {
		claim->releasing = true;
		owner = claim->owner;
		owner.incarnation = 0;
		fill_write(claim, &owner, ep->facts.id, out);
		out->release = true;
		return true;
	}
	if (should_settle(c, claim, now, ep->facts.id)) {
		owner = claim->owner;
		owner.settled = true;
		owner.settled_era = c->era;
		fill_write(claim, &owner, ep->facts.id, out);
		out->settle = true;
		return true;
	}
	if (!should_claim(c, claim, now, ep, live, n_live))
		return false;
	owner = fg_claim_next_owner(c, &claim->owner);
	fill_write(claim, &owner, ep->facts.id, out);
	out->wait_ms = takeover_wait_ms(c, claim, now, live, n_live);
	return true;
}

bool fg_claims_is_restarted_owner(struct fg_claims *c, const char *endpoint_id)
{
	const struct fg_claim *claim = fg_claim_find_or_add(c, endpoint_id);

	return claim->owner.incarnation != 0 &&
	       claim->owner.incarnation != c->conf.incarnation &&
	       fg_claim_is_self(c, claim->owner.name);
}

uint32_t fg_claims_select(struct fg_claims *c, fg_ms now,
			  struct fg_fleet_ep *const *eps, uint32_t n_eps,
			  const struct fg_claim_candidate *live,
			  uint32_t n_live, struct fg_claim_write *out,
			  uint32_t max)
{
	const struct fg_claim_candidate *self =
		find_live(live, n_live, c->conf.incarnation);
	uint32_t n = 0;

	for (uint32_t i = 0; i < n_eps && n < max; i++) {
		if (select_engine(c, now, eps[i], self, live, n_live, &out[n]))
			n++;
	}
	return n;
}
