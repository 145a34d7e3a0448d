/* State of the claims, shared by the files of lib/claim. */
#ifndef FG_CLAIM_INTERNAL_H
#define FG_CLAIM_INTERNAL_H

#include <glib.h>

#include "claim/fg_claim.h"

/* Contents of a row. */
struct fg_claim_owner {
	uint64_t incarnation; /* 0: none, or released by `name` */
	bool settled;
	uint64_t settled_era;
	char name[FG_FLEET_NAME_BYTES];
	char formers[FG_CLAIM_FORMERS_MAX][FG_FLEET_NAME_BYTES];
};

struct fg_claim {
	struct fg_claim_owner owner;
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
	GHashTable *by_ep; /* endpoint id -> struct fg_claim * */
};

/* Returns the claim of an engine, created when missing. */
struct fg_claim *fg_claim_find_or_add(struct fg_claims *c, const char *id);

/* Returns whether `name` is this instance's. */
bool fg_claim_is_self(const struct fg_claims *c, const char *name);

/* Returns whether an instance of that name owned the engine before, or released
 * it. */
bool fg_claim_is_former(const struct fg_claim_owner *owner, const char *name);

/* Returns whether the owner's wait for the orders of the one before is over. */
bool fg_claim_is_settled(const struct fg_claims *c,
			 const struct fg_claim_owner *owner);

/* Returns the owner that follows `old`: this instance, with `old` as the first
 * of the earlier owners. No name is listed twice. */
struct fg_claim_owner fg_claim_next_owner(const struct fg_claims *c,
					  const struct fg_claim_owner *old);

/* Writes the text of a row to `out`. */
void fg_claim_format_owner(const struct fg_claim_owner *owner, char *out,
			   size_t size);

#endif
