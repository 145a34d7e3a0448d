#include "claim/fg_claim.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/fg_rand.h"

/* Margin of the wait before an engine returns to an earlier owner, for the
 * flight of both owners' orders. */
#define TURN_MARGIN_MS 500
/* No proof, and no order, was ever that old. */
#define NEVER INT64_MIN

/* Nearness of an instance to an engine; takes precedence over the hash. */
enum near {
	ANYWHERE = 0,
	SAME_REGION = 1,
	SAME_DC = 2
};

/* Contents of a row. */
struct owner {
	uint64_t incarnation; /* 0: none, or released by `name` */
	bool settled;
	uint64_t settled_era;
	char name[FG_FLEET_NAME_BYTES];
	char formers[FG_CLAIM_FORMERS_MAX][FG_FLEET_NAME_BYTES];
};

struct claim {
	struct owner owner;
	uint64_t version;	 /* of the row; 0: no row */
	uint64_t tenure;	 /* version with which the ownership began */
	uint64_t fenced_version; /* its fence was refused by the engine */
	fg_ms since;		 /* when this version was first known here */
	fg_ms lost_at;		 /* when this instance lost it; 0: never */
	fg_ms proved_at;	 /* by the write of the row; NEVER */
	fg_ms order_at;		 /* last order of this instance; NEVER */
	fg_ms turn_from;	 /* end of the turns of others; NEVER: none */
	fg_ms order_from;	 /* first order that the owner may send */
	uint64_t era;		 /* in which the row was read */
	bool releasing;		 /* by this instance, the owner */
	bool seen;		 /* applied since the full read began */
};

struct fg_claims {
	struct fg_claims_conf conf;
	fg_ms proved_at;  /* of the whole table; NEVER */
	fg_ms revoked_at; /* when the table was last restored; NEVER */
	uint64_t era;
	GHashTable *by_ep; /* endpoint id -> struct claim * */
};

struct fg_claims *fg_claims_new(const struct fg_claims_conf *conf)
{
	struct fg_claims *c = g_new0(struct fg_claims, 1);

	g_assert(conf->incarnation != 0);
	c->conf = *conf;
	c->proved_at = NEVER;
	c->revoked_at = NEVER;
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
		claim->proved_at = NEVER;
		claim->order_at = NEVER;
		g_hash_table_insert(c->by_ep, g_strdup(id), claim);
	}
	return claim;
}

static bool is_self(const struct fg_claims *c, const char *name)
{
	return strcmp(name, c->conf.name) == 0;
}

/* ---- Rows: "INCARNATION[+ERA] NAME FORMER..." ----
 *
 * The incarnation is hexadecimal. A settled row states its era.
 */

static void parse_owner(const char *value, struct owner *out)
{
	g_auto(GStrv) fields = g_strsplit(value, " ", -1);
	guint n = g_strv_length(fields);
	char *end;

	memset(out, 0, sizeof(*out));
	out->incarnation = g_ascii_strtoull(value, &end, 16);
	out->settled = *end == '+';
	if (out->settled)
		out->settled_era = g_ascii_strtoull(end + 1, NULL, 10);
	if (n > 1)
		g_strlcpy(out->name, fields[1], sizeof(out->name));
	for (guint i = 0; i + 2 < n && i < FG_CLAIM_FORMERS_MAX; i++)
		g_strlcpy(out->formers[i], fields[i + 2],
			  sizeof(out->formers[i]));
}

static void format_owner(const struct owner *owner, char *out, size_t size)
{
	g_snprintf(out, size, "%016" G_GINT64_MODIFIER "x",
		   (guint64)owner->incarnation);
	if (owner->settled)
		g_snprintf(out + strlen(out), size - strlen(out),
			   "+%" G_GUINT64_FORMAT, (guint64)owner->settled_era);
	g_strlcat(out, " ", size);
	g_strlcat(out, owner->name, size);
	for (uint32_t i = 0;
	     i < FG_CLAIM_FORMERS_MAX && owner->formers[i][0] != '\0'; i++) {
		g_strlcat(out, " ", size);
		g_strlcat(out, owner->formers[i], size);
	}
}

/* The owner that follows `old`: this instance, with `old` as the first of the
 * earlier owners. No name is listed twice. */
static struct owner next_owner(const struct fg_claims *c,
			       const struct owner *old)
{
	struct owner next = { .incarnation = c->conf.incarnation };
	uint32_t n = 0;

	g_strlcpy(next.name, c->conf.name, sizeof(next.name));
	if (old->name[0] != '\0' && !is_self(c, old->name))
		g_strlcpy(next.formers[n++], old->name,
			  sizeof(next.formers[0]));
	for (uint32_t i = 0; i < FG_CLAIM_FORMERS_MAX; i++) {
		if (n == FG_CLAIM_FORMERS_MAX || old->formers[i][0] == '\0')
			break;
		if (!is_self(c, old->formers[i]))
			g_strlcpy(next.formers[n++], old->formers[i],
				  sizeof(next.formers[0]));
	}
	return next;
}

static bool is_former(const struct owner *owner, const char *name)
{
	for (uint32_t i = 0; i < FG_CLAIM_FORMERS_MAX; i++) {
		if (strcmp(owner->formers[i], name) == 0)
			return true;
	}
	return owner->incarnation == 0 && strcmp(owner->name, name) == 0;
}

/* Time from which this instance, the owner `next` after `old`, may order
 * without taking turns with the owners since its last order. An earlier
 * incarnation may have ordered until this one started. */
static fg_ms turn_end(const struct fg_claims *c, const struct claim *claim,
		      const struct owner *old, const struct owner *next)
{
	fg_ms last = claim->order_at;
	/* The row before this one may not have been read. */
	bool old_known = strcmp(next->formers[0], old->name) == 0;

	if (next->formers[0][0] == '\0' || is_self(c, old->name))
		return NEVER;
	if (last == NEVER && (!old_known || is_former(old, c->conf.name)))
		last = c->conf.started_at;
	return last == NEVER ? NEVER
			     : last + (fg_ms)c->conf.turn_ms + TURN_MARGIN_MS;
}

static void set_owner(struct fg_claims *c, fg_ms now, struct claim *claim,
		      const struct owner *owner, uint64_t version,
		      uint32_t wait_ms)
{
	struct owner old = claim->owner;

	if (version <= claim->version)
		return;
	if (old.incarnation == c->conf.incarnation &&
	    owner->incarnation != c->conf.incarnation)
		claim->lost_at = now;
	if (old.incarnation != owner->incarnation || c->era != claim->era)
		claim->tenure = version;
	claim->era = c->era;
	claim->owner = *owner;
	claim->version = version;
	claim->since = now;
	claim->releasing = false;
	claim->proved_at = NEVER;
	claim->turn_from = owner->incarnation == c->conf.incarnation
				   ? turn_end(c, claim, &old, owner)
				   : NEVER;
	claim->order_from = MAX(now + wait_ms, claim->turn_from);
}

static bool is_settled(const struct fg_claims *c, const struct owner *owner)
{
	return owner->settled && owner->settled_era == c->era;
}

void fg_claims_apply_row(struct fg_claims *c, fg_ms now,
			 const char *endpoint_id, const char *value,
			 uint64_t version)
{
	struct claim *claim = find_or_add_claim(c, endpoint_id);
	struct owner owner;

	claim->seen = true;
	if (value == NULL) {
		/* The condition for creating an absent row is version 0. */
		memset(&claim->owner, 0, sizeof(claim->owner));
		claim->version = 0;
		claim->releasing = false;
		return;
	}
	parse_owner(value, &owner);
	/* Own rows arrive here first when the result of their write was lost.
	 * Nothing is known then of the owner before, unless the row is settled.
	 */
	set_owner(c, now, claim, &owner, version,
		  c->conf.fences_checked || is_settled(c, &owner)
			  ? 0
			  : FG_CLAIM_TAKEOVER_MS);
}

void fg_claims_begin_full_read(struct fg_claims *c)
{
	GHashTableIter iter;
	gpointer claim;

	g_hash_table_iter_init(&iter, c->by_ep);
	while (g_hash_table_iter_next(&iter, NULL, &claim))
		((struct claim *)claim)->seen = false;
}

/* An engine whose row is gone keeps the time of the last order. */
void fg_claims_end_full_read(struct fg_claims *c)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->by_ep);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct claim *claim = value;

		if (claim->seen)
			continue;
		memset(&claim->owner, 0, sizeof(claim->owner));
		claim->version = 0;
		claim->releasing = false;
		claim->proved_at = NEVER;
	}
}

/* ---- Proofs ---- */

void fg_claims_prove(struct fg_claims *c, fg_ms when)
{
	if (when > c->revoked_at)
		c->proved_at = MAX(c->proved_at, when);
}

static uint32_t age_ms(fg_ms when, fg_ms now)
{
	if (when == NEVER)
		return UINT32_MAX;
	return (uint32_t)CLAMP(now - when, 0, UINT32_MAX - 1);
}

uint32_t fg_claims_proof_age_ms(const struct fg_claims *c, fg_ms now)
{
	return age_ms(c->proved_at, now);
}

void fg_claims_set_era(struct fg_claims *c, uint64_t era)
{
	c->era = era;
}

void fg_claims_start_era(struct fg_claims *c, fg_ms now, uint64_t era)
{
	GHashTableIter iter;
	gpointer claim;

	c->era = era;

	c->proved_at = NEVER;
	c->revoked_at = now;
	g_hash_table_iter_init(&iter, c->by_ep);
	while (g_hash_table_iter_next(&iter, NULL, &claim))
		((struct claim *)claim)->proved_at = NEVER;
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
rank_candidates(const struct claim *claim, fg_ms now,
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

		if (live[i].leaving || (!with_formers && recent &&
					is_former(&claim->owner, live[i].name)))
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
best_candidate(const struct claim *claim, fg_ms now,
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
static bool should_release(const struct fg_claims *c, const struct claim *claim,
			   fg_ms now, const struct fg_fleet_ep *ep,
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
static bool should_claim(const struct fg_claims *c, const struct claim *claim,
			 fg_ms now, const struct fg_fleet_ep *ep,
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
static bool should_settle(const struct fg_claims *c, const struct claim *claim,
			  fg_ms now, const char *endpoint_id)
{
	return !c->conf.fences_checked &&
	       claim->owner.incarnation == c->conf.incarnation &&
	       !is_settled(c, &claim->owner) &&
	       fg_claims_order_wait_ms(c, now, endpoint_id) == 0;
}

/* Returns whether the owner has ended: an instance of its name lives that
 * started after the owner wrote its claim. */
static bool has_restarted(const struct claim *claim,
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
				 const struct claim *claim, fg_ms now,
				 const struct fg_claim_candidate *live,
				 uint32_t n_live)
{
	const struct owner *old = &claim->owner;
	fg_ms unknown_since = MAX(c->conf.started_at, c->revoked_at);
	fg_ms left_ms = 0;

	if (c->conf.fences_checked)
		return 0;
	if (claim->version == 0)
		/* A row that a restored table has lost looks like none. */
		return (uint32_t)CLAMP(unknown_since + FG_CLAIM_TAKEOVER_MS -
					       now,
				       0, FG_CLAIM_TAKEOVER_MS);
	if (!is_self(c, old->name) && old->incarnation != 0 &&
	    !has_restarted(claim, live, n_live))
		return FG_CLAIM_TAKEOVER_MS;
	/* The owner named last has stopped. The one before it may still order,
	 * unless the owner settled. */
	if (!is_settled(c, old))
		left_ms = CLAMP(claim->since + FG_CLAIM_TAKEOVER_MS - now, 0,
				FG_CLAIM_TAKEOVER_MS);
	if (!is_self(c, old->name))
		left_ms = MAX(left_ms, FG_CLAIM_FLIGHT_MS);
	return (uint32_t)left_ms;
}

static void fill_write(const struct claim *claim, const struct owner *owner,
		       const char *endpoint_id, struct fg_claim_write *out)
{
	memset(out, 0, sizeof(*out));
	g_strlcpy(out->endpoint_id, endpoint_id, sizeof(out->endpoint_id));
	out->expected = claim->version;
	format_owner(owner, out->value, sizeof(out->value));
}

static bool select_engine(struct fg_claims *c, fg_ms now,
			  const struct fg_fleet_ep *ep,
			  const struct fg_claim_candidate *self,
			  const struct fg_claim_candidate *live,
			  uint32_t n_live, struct fg_claim_write *out)
{
	struct claim *claim = find_or_add_claim(c, ep->facts.id);
	struct owner owner;

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
	owner = next_owner(c, &claim->owner);
	fill_write(claim, &owner, ep->facts.id, out);
	out->wait_ms = takeover_wait_ms(c, claim, now, live, n_live);
	return true;
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

void fg_claims_handle_result(struct fg_claims *c, fg_ms now,
			     const struct fg_claim_write *rows, uint32_t n,
			     uint64_t version, fg_ms sent_at)
{
	for (uint32_t i = 0; version != 0 && i < n; i++) {
		struct claim *claim = find_or_add_claim(c, rows[i].endpoint_id);
		struct owner owner;

		parse_owner(rows[i].value, &owner);
		set_owner(c, now, claim, &owner, version, rows[i].wait_ms);
		if (claim->version != version)
			continue;
		/* The row may have been read before this result came, without
		 * knowledge of the wait. */
		claim->order_from = MAX(claim->since + (fg_ms)rows[i].wait_ms,
					claim->turn_from);
		if (sent_at > c->revoked_at)
			claim->proved_at = sent_at;
	}
}

/* ---- The right to order ---- */

uint64_t fg_claims_fence(const struct fg_claims *c, const char *endpoint_id)
{
	const struct claim *claim = g_hash_table_lookup(c->by_ep, endpoint_id);

	if (claim == NULL || claim->owner.incarnation != c->conf.incarnation ||
	    claim->releasing || claim->fenced_version == claim->version)
		return 0;
	return claim->version;
}

uint64_t fg_claims_tenure(const struct fg_claims *c, const char *endpoint_id)
{
	const struct claim *claim = g_hash_table_lookup(c->by_ep, endpoint_id);

	return fg_claims_fence(c, endpoint_id) == 0 ? 0 : claim->tenure;
}

uint32_t fg_claims_order_wait_ms(const struct fg_claims *c, fg_ms now,
				 const char *endpoint_id)
{
	const struct claim *claim = g_hash_table_lookup(c->by_ep, endpoint_id);

	if (claim == NULL || fg_claims_fence(c, endpoint_id) == 0)
		return UINT32_MAX;
	if (now < claim->order_from)
		return (uint32_t)MIN(claim->order_from - now, UINT32_MAX - 1);
	if (!c->conf.fences_checked &&
	    age_ms(MAX(c->proved_at, claim->proved_at), now) >=
		    FG_CLAIM_PROOF_MAX_MS)
		return UINT32_MAX;
	return 0;
}

void fg_claims_note_order(struct fg_claims *c, fg_ms now,
			  const char *endpoint_id)
{
	find_or_add_claim(c, endpoint_id)->order_at = now;
}

uint64_t fg_claims_owner(const struct fg_claims *c, const char *endpoint_id)
{
	const struct claim *claim = g_hash_table_lookup(c->by_ep, endpoint_id);

	return claim == NULL ? 0 : claim->owner.incarnation;
}

void fg_claims_handle_fenced(struct fg_claims *c, fg_ms now,
			     const char *endpoint_id)
{
	struct claim *claim = find_or_add_claim(c, endpoint_id);

	if (claim->owner.incarnation != c->conf.incarnation)
		return;
	claim->fenced_version = claim->version;
	claim->lost_at = now;
}
