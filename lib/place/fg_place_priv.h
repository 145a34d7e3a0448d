/*
 * fg_place_priv - internals of fg_place.h, shared by the directory, the broker
 * and the broker's policies.
 */
#ifndef FG_PLACE_PRIV_H
#define FG_PLACE_PRIV_H

#include <glib.h>

#include "base/fg_key.h"
#include "place/fg_place.h"

/* ---- Directory ---- */

struct fg_dir_ep {
	uint64_t id;
	uint64_t service;      /* hash of the name; 0 until it is known */
	uint64_t region;       /* hash of the name */
	bool leaving;	       /* according to fg_dir_set_endpoint() */
	bool reported_leaving; /* according to the owner's RESIDENT */
	uint64_t fence;
	uint64_t seq;
	uint32_t slots;
	uint32_t in_use; /* as reported */
	uint32_t batch;
	int32_t own_grants;	      /* of this instance, in flight now */
	int32_t own_grants_at_report; /* own_grants when in_use was reported */
	fg_av *av;
	uint32_t n_av;
};

struct fg_dir {
	struct fg_rand rand;
	bool packing;	   /* prefer the fuller of two endpoints with room */
	GHashTable *by_id; /* id -> fg_dir_ep, owns */
	GPtrArray *eps;	   /* fg_dir_ep in the order they were added, borrows */
	GHashTable *by_av; /* fg_av_key -> GPtrArray of fg_dir_ep */
};

/* Endpoints where av is resident; NULL when there is none. */
const GPtrArray *fg_dir_find_holders(const struct fg_dir *d, fg_av av);

/* NULL when the endpoint is unknown. */
const struct fg_dir_ep *fg_dir_find_endpoint(const struct fg_dir *d,
					     uint64_t ep);

/* True if e serves `service` (hash of the name) and is not leaving. */
bool fg_dir_ep_is_usable(const struct fg_dir_ep *e, uint64_t service);

/* Requests running on e: the reported number plus the change of this
 * instance's own grants since the report. */
uint32_t fg_dir_ep_in_use(const struct fg_dir_ep *e);

/* Running requests relative to the batch size; 1.0 is a full batch. */
double fg_dir_ep_utilization(const struct fg_dir_ep *e);

/* ---- Broker ---- */

/* Size and timing of a need, or of all admitted needs of a demand. */
struct fg_need_terms {
	uint32_t waiting; /* requests */
	uint32_t cls;	  /* the most urgent enum fg_class among them */
	fg_ms deadline;	  /* the load must be done by this time */
	fg_ms due;	  /* the load is scheduled to be done by this time */
	fg_ms hold_until; /* not loaded before, so that more needs can join */
};

/* The need of one router for one adapter. */
struct fg_router_need {
	uint64_t router;
	struct fg_need_terms terms;
	bool admitted;
	/* Earlier terms, admitted until `terms` are; waiting 0: none. */
	struct fg_need_terms prev_admitted;
};

/* After this many consecutive failures the weight store counts as down: one
 * load at a time is tried until one succeeds. */
#define FG_STORE_DOWN_FAILURES 3

#define FG_AVOID_MAX 4 /* endpoints avoided per adapter */

/* The needs of all routers for one adapter; one load serves them all. */
struct fg_demand {
	uint64_t key; /* fg_av_key(av) */
	fg_av av;
	GArray *needs;		    /* struct fg_router_need */
	bool admitted;		    /* at least one need is admitted */
	struct fg_need_terms terms; /* admitted needs: sum, tightest times */
	fg_ms first_need_at;
	fg_ms retry_at;	   /* no load is tried before */
	uint32_t failures; /* failed loads */
	struct {
		uint64_t ep;
		fg_ms until;
	} avoid[FG_AVOID_MAX];
	uint32_t next_avoid; /* index of the entry to overwrite next */
};

/* A load order in flight. */
struct fg_load {
	uint64_t order;
	uint64_t ep;
	fg_av av;
	fg_av victim;
	fg_ms deadline; /* counts as failed from this time on */
	bool started;
};

/* Something that is not evicted or copied again before `until`. */
struct fg_cooldown {
	uint64_t key;
	fg_ms until;
};

struct fg_policy;

struct fg_broker {
	struct fg_broker_conf conf;
	uint32_t hold_max_ms; /* from the preset */
	const struct fg_dir *dir;
	const struct fg_policy *policy;
	struct fg_rand rand;
	struct fg_popularity_table *popularity;
	uint64_t service;    /* hash of the name */
	uint64_t region;     /* hash of the name */
	GHashTable *demands; /* fg_av_key -> fg_demand, owns */
	GHashTable *loads;   /* order -> fg_load, owns */
	/* hash of endpoint and adapter -> fg_cooldown, owns */
	GHashTable *victim_cooldowns;
	/* fg_av_key or endpoint id -> fg_cooldown, owns */
	GHashTable *copy_cooldowns;
	uint64_t next_order;
	double load_tokens;	 /* token bucket of the load budget */
	fg_ms refilled_at;	 /* when load_tokens was last refilled */
	uint32_t store_failures; /* consecutive, over all endpoints */
	fg_ms paused_until;	 /* backoff while the store counts as down */
	fg_ms next_copy_check;
	struct fg_broker_stats stats;
};

/* A placement policy: the order of loads, their endpoints and victims. */
struct fg_policy {
	const char *name;
	/* Returns the demand to load next. `demands` holds n > 0 entries that
	 * may be loaded, sorted by due time. */
	struct fg_demand *(*next_load)(const struct fg_broker *b, fg_ms now,
				       struct fg_demand **demands, size_t n);
	/* Sets place->ep and, to name a victim, place->victim. Returns false
	 * when no endpoint can load the adapter now. */
	bool (*choose_endpoint)(const struct fg_broker *b, fg_ms now,
				const struct fg_demand *demand,
				fg_place *place);
	bool refuses_needs;  /* refuses needs that cannot be met */
	bool copies_popular; /* loads popular adapters on more endpoints */
};

/* NULL when there is no policy of this name. */
const struct fg_policy *fg_policy_find(const char *name);

/* Stall weight from which on requests are spread over all endpoints; below,
 * they are packed on few endpoints. */
#define FG_SPREAD_STALL_WEIGHT 50
/* Packing does not prefer endpoints at or above this utilization. */
#define FG_PACK_UTILIZATION_MAX 0.9

extern const struct fg_policy fg_policy_gauge;
extern const struct fg_policy fg_policy_strong;
extern const struct fg_policy fg_policy_naive;

/* Recomputes `admitted` and `terms` from the needs. Removes and frees the
 * demand when no need is left. */
void fg_broker_update_demand(struct fg_broker *b, struct fg_demand *demand);

/* Refills the token bucket of the load budget up to now. */
void fg_broker_refill_tokens(struct fg_broker *b, fg_ms now);

typedef bool (*fg_demand_filter)(const struct fg_broker *b, fg_ms now,
				 const struct fg_demand *demand);

/* Returns the demands for which keep() holds, earliest due first. The caller
 * frees the array with g_ptr_array_free(); the demands are borrowed. */
GPtrArray *fg_broker_collect_demands(const struct fg_broker *b, fg_ms now,
				     fg_demand_filter keep);

/* Records a failed or timed-out load of av on ep, and starts the backoff. */
void fg_broker_record_load_failure(struct fg_broker *b, fg_ms now, uint64_t ep,
				   fg_av av);

/* ---- What policies read ---- */

/* True if e serves the broker's service and region, does not hold the adapter
 * yet and is not avoided for it. */
bool fg_broker_can_load_on(const struct fg_broker *b, fg_ms now,
			   const struct fg_demand *demand,
			   const struct fg_dir_ep *e);

/* Empty slots of e, less those that loads in flight will fill. */
uint32_t fg_broker_count_free_slots(const struct fg_broker *b,
				    const struct fg_dir_ep *e);

/* True while av must not be evicted from e: it was just loaded, the owner of e
 * refused to evict it because it is in use, or a load in flight already
 * replaces it. */
bool fg_broker_is_protected(const struct fg_broker *b, fg_ms now,
			    const struct fg_dir_ep *e, fg_av av);

/* NULL when no router needs av. */
const struct fg_demand *fg_broker_find_demand(const struct fg_broker *b,
					      fg_av av);

/* True while a load of av is in flight on any endpoint. */
bool fg_broker_is_loading(const struct fg_broker *b, fg_av av);

/* True if av is resident on a usable endpoint of the region. Saturated
 * endpoints count only with `include_saturated`. */
bool fg_broker_is_resident(const struct fg_broker *b, fg_av av,
			   bool include_saturated);

/* Time until the load budget allows the n-th load from now (n >= 1). */
fg_ms fg_broker_load_wait_ms(const struct fg_broker *b, fg_ms now, uint32_t n);

#endif
