#include "claim/fg_claim_internal.h"

#include <stdlib.h>
#include <string.h>

/* Margin of the wait before an engine returns to an earlier owner, for the
 * flight of both owners' orders. */
#define TURN_MARGIN_MS 500
/* No proof, and no order, was ever that old. */
#define NEVER INT64_MIN

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

struct fg_claim *fg_claim_find_or_add(struct fg_claims *c, const char *id)
{
	struct fg_claim *claim = g_hash_table_lookup(c->by_ep, id);

	if (claim == NULL) {
		claim = g_new0(struct fg_claim, 1);
		claim->proved_at = NEVER;
		claim->order_at = NEVER;
		g_hash_table_insert(c->by_ep, g_strdup(id), claim);
	}
	return claim;
}

bool fg_claim_is_self(const struct fg_claims *c, const char *name)
{
	return strcmp(name, c->conf.name) == 0;
}

/* ---- Rows: "INCARNATION[+ERA] NAME FORMER..." ----
 *
 * The incarnation is hexadecimal. A settled row states its era.
 */

static void parse_owner(const char *value, struct fg_claim_owner *out)
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

void fg_claim_format_owner(const struct fg_claim_owner *owner, char *out,
			   size_t size)
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

struct fg_claim_owner fg_claim_next_owner(const struct fg_claims *c,
					  const struct fg_claim_owner *old)
{
	struct fg_claim_owner next = { .incarnation = c->conf.incarnation };
	uint32_t n = 0;

	g_strlcpy(next.name, c->conf.name, sizeof(next.name));
	if (old->name[0] != '\0' && !fg_claim_is_self(c, old->name))
		g_strlcpy(next.formers[n++], old->name,
			  sizeof(next.formers[0]));
	for (uint32_t i = 0; i < FG_CLAIM_FORMERS_MAX; i++) {
		if (n == FG_CLAIM_FORMERS_MAX || old->formers[i][0] == '\0')
			break;
		if (!fg_claim_is_self(c, old->formers[i]))
			g_strlcpy(next.formers[n++], old->formers[i],
				  sizeof(next.formers[0]));
	}
	return next;
}

bool fg_claim_is_former(const struct fg_claim_owner *owner, const char *name)
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
static fg_ms turn_end(const struct fg_claims *c, const struct fg_claim *claim,
		      const struct fg_claim_owner *old,
		      const struct fg_claim_owner *next)
{
	fg_ms last = claim->order_at;
	/* The row before this one may not have been read. */
	bool old_known = strcmp(next->formers[0], old->name) == 0;

	if (next->formers[0][0] == '\0' || fg_claim_is_self(c, old->name))
		return NEVER;
	if (last == NEVER &&
	    (!old_known || fg_claim_is_former(old, c->conf.name)))
		last = c->conf.started_at;
	return last == NEVER ? NEVER
			     : last + (fg_ms)c->conf.turn_ms + TURN_MARGIN_MS;
}

static void set_owner(struct fg_claims *c, fg_ms now, struct fg_claim *claim,
		      const struct fg_claim_owner *owner, uint64_t version,
		      uint32_t wait_ms)
{
	struct fg_claim_owner old = claim->owner;

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

bool fg_claim_is_settled(const struct fg_claims *c,
			 const struct fg_claim_owner *owner)
{
	return owner->settled && owner->settled_era == c->era;
}

/* The time of the last order stays known. */
static void forget_row(struct fg_claim *claim)
{
	memset(&claim->owner, 0, sizeof(claim->owner));
	claim->version = 0; /* the condition for creating the row */
	claim->releasing = false;
	claim->proved_at = NEVER;
}

void fg_claims_apply_row(struct fg_claims *c, fg_ms now,
			 const char *endpoint_id, const char *value,
			 uint64_t version)
{
	struct fg_claim *claim = fg_claim_find_or_add(c, endpoint_id);
	struct fg_claim_owner owner;

	claim->seen = true;
	if (value == NULL) {
		forget_row(claim);
		return;
	}
	parse_owner(value, &owner);
	/* Own rows arrive here first when the result of their write was lost.
	 * Nothing is known then of the owner before, unless the row is settled.
	 */
	set_owner(c, now, claim, &owner, version,
		  c->conf.fences_checked || fg_claim_is_settled(c, &owner)
			  ? 0
			  : FG_CLAIM_TAKEOVER_MS);
}

void fg_claims_begin_full_read(struct fg_claims *c)
{
	GHashTableIter iter;
	gpointer claim;

	g_hash_table_iter_init(&iter, c->by_ep);
	while (g_hash_table_iter_next(&iter, NULL, &claim))
		((struct fg_claim *)claim)->seen = false;
}

void fg_claims_end_full_read(struct fg_claims *c)
{
	GHashTableIter iter;
	gpointer claim;

	g_hash_table_iter_init(&iter, c->by_ep);
	while (g_hash_table_iter_next(&iter, NULL, &claim)) {
		if (!((struct fg_claim *)claim)->seen)
			forget_row(claim);
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
		((struct fg_claim *)claim)->proved_at = NEVER;
}

void fg_claims_handle_result(struct fg_claims *c, fg_ms now,
			     const struct fg_claim_write *rows, uint32_t n,
			     uint64_t version, fg_ms sent_at)
{
	for (uint32_t i = 0; version != 0 && i < n; i++) {
		struct fg_claim *claim =
			fg_claim_find_or_add(c, rows[i].endpoint_id);
		struct fg_claim_owner owner;

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
	const struct fg_claim *claim =
		g_hash_table_lookup(c->by_ep, endpoint_id);

	if (claim == NULL || claim->owner.incarnation != c->conf.incarnation ||
	    claim->releasing || claim->fenced_version == claim->version)
		return 0;
	return claim->version;
}

uint64_t fg_claims_tenure(const struct fg_claims *c, const char *endpoint_id)
{
	const struct fg_claim *claim =
		g_hash_table_lookup(c->by_ep, endpoint_id);

	return fg_claims_fence(c, endpoint_id) == 0 ? 0 : claim->tenure;
}

uint32_t fg_claims_order_wait_ms(const struct fg_claims *c, fg_ms now,
				 const char *endpoint_id)
{
	const struct fg_claim *claim =
		g_hash_table_lookup(c->by_ep, endpoint_id);

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
	fg_claim_find_or_add(c, endpoint_id)->order_at = now;
}

uint64_t fg_claims_owner(const struct fg_claims *c, const char *endpoint_id)
{
	const struct fg_claim *claim =
		g_hash_table_lookup(c->by_ep, endpoint_id);

	return claim == NULL ? 0 : claim->owner.incarnation;
}

void fg_claims_handle_fenced(struct fg_claims *c, fg_ms now,
			     const char *endpoint_id)
{
	struct fg_claim *claim = fg_claim_find_or_add(c, endpoint_id);

	if (claim->owner.incarnation != c->conf.incarnation)
		return;
	claim->fenced_version = claim->version;
	claim->lost_at = now;
}
