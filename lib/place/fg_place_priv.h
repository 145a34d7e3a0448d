/*
 * fg_place_priv - the state behind fg_place.h, shared by the directory, the
 * broker and its policies.
 */
#ifndef FG_PLACE_PRIV_H
#define FG_PLACE_PRIV_H

#include <glib.h>

#include "base/fg_key.h"
#include "place/fg_place.h"

/* ---- Directory ---- */

struct fg_dir_ep {
	uint64_t id;
	uint64_t service; /* hash of the name; 0 until it is announced */
	uint64_t region;
	bool leaving;	   /* by the list */
	bool told_leaving; /* by its owner */
	uint64_t fence;
	uint64_t seq;
	uint32_t slots;
	uint32_t in_use; /* as reported */
	uint32_t batch;
	int32_t own;	      /* own grants in flight ... */
	int32_t own_reported; /* ... when in_use was reported */
	fg_av *av;
	uint32_t n_av;
};

struct fg_dir {
	struct fg_rand rand;
	bool packs;	   /* prefers the fuller of two endpoints with room */
	GHashTable *by_id; /* id -> fg_dir_ep, owns */
	GPtrArray *list;   /* fg_dir_ep in order of arrival, borrows */
	GHashTable *by_av; /* fg_av_key -> GPtrArray of fg_dir_ep */
};

/* Endpoints that hold av; NULL when there is none. */
const GPtrArray *fg_dir_holders(const struct fg_dir *d, fg_av av);
const struct fg_dir_ep *fg_dir_find(const struct fg_dir *d, uint64_t ep);
bool fg_dir_ep_usable(const struct fg_dir_ep *e, uint64_t service);

/* Reported load, corrected by own grants since the report. */
uint32_t fg_dir_ep_load(const struct fg_dir_ep *e);

/* Load relative to the batch. */
double fg_dir_ep_fill(const struct fg_dir_ep *e);

/* ---- Broker ---- */

/* What a need asks for. */
struct fg_want_terms {
	uint32_t waiting;
	uint32_t cls;
	fg_ms deadline;	  /* the load must be done by then ... */
	fg_ms due;	  /* ... and should be by then */
	fg_ms hold_until; /* by choice, for more to share the load */
};

/* One router's need. */
struct fg_want_ask {
	uint64_t from;
	struct fg_want_terms terms;
	bool admitted;
	struct fg_want_terms before; /* admitted earlier; waiting 0: none */
};

/* From so many failures in a row on the store counts as down: one load at a
 * time is tried. */
#define FG_FAILS_DOWN 3

#define FG_WANT_AVOID 4 /* endpoints avoided for one adapter */

/* All needs for one adapter; one load serves them. */
struct fg_want {
	uint64_t key; /* fg_av_key(av) */
	fg_av av;
	GArray *asks;		    /* struct fg_want_ask */
	bool admitted;		    /* any of its asks is */
	struct fg_want_terms terms; /* the tightest that are admitted */
	fg_ms first_at;
	fg_ms not_before; /* backoff */
	uint32_t fails;
	struct {
		uint64_t ep;
		fg_ms until;
	} avoid[FG_WANT_AVOID];
	uint32_t next_avoid;
};

/* A load that was ordered. */
struct fg_load {
	uint64_t order;
	uint64_t ep;
	fg_av av;
	fg_av victim;
	fg_ms deadline; /* given up from then on */
	bool started;
};

/* What the broker remembers of an adapter on an endpoint. */
struct fg_mark {
	uint64_t key;
	fg_ms until; /* not a victim before */
};

struct fg_policy;

struct fg_broker {
	struct fg_broker_conf conf;
	uint32_t hold_max_ms; /* of the preset */
	const struct fg_dir *dir;
	const struct fg_policy *policy;
	struct fg_rand rand;
	struct fg_heat_table *heat;
	uint64_t service;
	uint64_t region;
	GHashTable *wants; /* fg_av_key -> fg_want, owns */
	GHashTable *loads; /* order -> fg_load, owns */
	GHashTable *marks; /* hash of endpoint and adapter -> fg_mark, owns */
	GHashTable
		*replicated; /* key of adapter or endpoint -> fg_mark, owns */
	uint64_t next_order;
	double tokens; /* loads that may start now */
	fg_ms refilled;
	uint32_t fails;	    /* one after the other, over all endpoints */
	fg_ms paused_until; /* the store seems down */
	fg_ms next_copy_check;
	struct fg_broker_stats stats;
};

/*
 * A policy: in which order needs are loaded, where, and in place of what.
 * choose() fills ep and victim and returns false when there is no place now.
 */
struct fg_policy {
	const char *name;
	/* The want to load next among n that may be loaded; n > 0. */
	struct fg_want *(*next)(const struct fg_broker *b, fg_ms now,
				struct fg_want **wants, size_t n);
	bool (*choose)(const struct fg_broker *b, fg_ms now,
		       const struct fg_want *w, fg_place *place);
	bool refuses; /* refuses needs that cannot be met */
	bool copies;  /* loads hot adapters on more endpoints */
};

/* NULL when there is no policy of this name. */
const struct fg_policy *fg_policy_find(const char *name);

/* Below this weight of stalls requests are gathered on few endpoints, from it
 * on they are spread over all. */
#define FG_PACK_BELOW 50
#define FG_PACK_FILL_MAX 0.9 /* fuller endpoints get no more of them */

extern const struct fg_policy fg_policy_gauge;
extern const struct fg_policy fg_policy_strong;
extern const struct fg_policy fg_policy_naive;

/* Sums up the asks of a want; frees it when none is left. */
void fg_broker_settle(struct fg_broker *b, struct fg_want *w);

/* Fills the bucket of loads up to now. */
void fg_broker_refill(struct fg_broker *b, fg_ms now);

/* Wants for which keep() holds, earliest due first; free with
 * g_ptr_array_free(). */
typedef bool (*fg_want_filter)(const struct fg_broker *b, fg_ms now,
			       const struct fg_want *w);
GPtrArray *fg_broker_collect(const struct fg_broker *b, fg_ms now,
			     fg_want_filter keep);

/* Books a failed or lost load of av on ep. */
void fg_broker_load_failed(struct fg_broker *b, fg_ms now, uint64_t ep,
			   fg_av av);

/* ---- What policies read ---- */

/* May w be loaded on e at all? */
bool fg_broker_ep_open(const struct fg_broker *b, fg_ms now,
		       const struct fg_want *w, const struct fg_dir_ep *e);

/* Slots of e that hold nothing and that no load in flight will fill. */
uint32_t fg_broker_free_slots(const struct fg_broker *b,
			      const struct fg_dir_ep *e);

/* True while av on e must not be the victim: it was just loaded, its owner
 * said that it is in use, or a load in flight replaces it already. */
bool fg_broker_keeps(const struct fg_broker *b, fg_ms now,
		     const struct fg_dir_ep *e, fg_av av);
const struct fg_want *fg_broker_want(const struct fg_broker *b, fg_av av);
bool fg_broker_loading(const struct fg_broker *b, fg_av av);

/* True when av is held by an endpoint with room, or by any if `full_too`. */
bool fg_broker_resident(const struct fg_broker *b, fg_av av, bool full_too);

/* Time until the n-th load from now can start, n >= 1. */
fg_ms fg_broker_start_in(const struct fg_broker *b, fg_ms now, uint32_t n);

#endif
