/* State of one engine's slots, shared by the files of lib/slots. */
#ifndef FG_SLOTS_INTERNAL_H
#define FG_SLOTS_INTERNAL_H

#include <glib.h>

#include "slots/fg_slots.h"

/* Once a load should be complete, the order is repeated at this interval until
 * the engine confirms that it holds the adapter. */
#define FG_SLOTS_CHECK_MS 30

enum fg_slot_phase {
	LOADING = 1,
	RESIDENT = 2,
	UNLOADING = 3, /* unload ordered, not yet confirmed */
};

struct fg_slot {
	uint64_t key;
	char model[FG_FLEET_NAME_BYTES];
	char adapter[FG_FLEET_NAME_BYTES];
	enum fg_slot_phase phase;
	uint64_t version; /* resident, or 0 */
	uint64_t newest;  /* highest announced version; 0: none */
	fg_ms used_at;
	fg_ms check_at;	  /* LOADING, UNLOADING: when to repeat the order */
	fg_ms started_at; /* LOADING: when the load was ordered */
	bool fetch;	  /* LOADING: from the weight store */
	bool accepted;	  /* the engine accepted the order; it accepts a repeat
			   * without counting it in its sequence */
};

/* A queued request to load an adapter. */
struct fg_load_request {
	uint64_t key;
	char model[FG_FLEET_NAME_BYTES];
	char adapter[FG_FLEET_NAME_BYTES];
	uint64_t version;
	fg_ms created_at;
	fg_ms repeated_at;
	uint32_t repeats;
};

struct fg_slots {
	struct fg_slots_conf conf;
	struct fg_slots_model *models; /* of conf.limits; names are owned */
	uint64_t extra_kb;	       /* base models reported beside `base` */
	struct fg_slot slots[FG_SLOTS_MAX];
	uint32_t n;
	GArray *queue;		     /* struct fg_load_request, oldest first */
	GHashTable *newest_versions; /* key -> announced version */
	GHashTable *loaded_before;   /* keys that the engine has loaded once */
	uint64_t sequence;
	bool synced;	  /* sequence and slots are current */
	bool ever_synced; /* slots were current at some time */
	fg_ms report_at;  /* earliest time of the next report */
	/* After a conflict: a report that still shows the refused sequence may
	 * be older than the conflict and is ignored once. */
	uint64_t refused_sequence;
	bool has_refused;
	struct fg_slot base;	/* the base model, which takes no slot */
	enum fg_slots_act sent; /* in flight */
	uint64_t sent_key;
	uint32_t fetched_ms; /* duration of the last load from the store */
};

/* Returns the slot of an adapter or of the base model; NULL: none. */
struct fg_slot *fg_slot_find(const struct fg_slots *s, uint64_t key);

/* Returns the highest version announced, 0 if none was. */
uint64_t fg_slots_newest_version(const struct fg_slots *s, uint64_t key);

/* Returns whether the slot is resident in the newest announced version. */
bool fg_slot_is_current(const struct fg_slot *slot);

/* Adds a slot for an adapter. Returns NULL if it has one, or the table is full.
 */
struct fg_slot *fg_slots_add(struct fg_slots *s, fg_ms now, const char *model,
			     const char *adapter);
void fg_slots_drop(struct fg_slots *s, struct fg_slot *slot);

/* Returns the least recently used resident adapter that has been idle for
 * FG_SLOTS_MIN_IDLE_MS, NULL if there is none. */
struct fg_slot *fg_slots_find_victim(const struct fg_slots *s, fg_ms now);

uint32_t fg_slots_count(const struct fg_slots *s, enum fg_slot_phase phase);

/* Resets the base model to the configured one, not yet loaded. */
void fg_slots_reset_base(struct fg_slots *s);

/* Returns whether the engine can take a further adapter of the model, beside
 * all that it holds, loads or may still be unloading. */
bool fg_slots_fits(const struct fg_slots *s, const char *model);

/* As fg_slots_fits(), once all adapters were evicted that may be. */
bool fg_slots_fits_after_evictions(const struct fg_slots *s, fg_ms now,
				   const char *model);

/* Returns how many further adapters of the base model fit. */
uint32_t fg_slots_count_free(const struct fg_slots *s);

/* Returns whether the engine can hold the base model that it lacks. */
bool fg_slots_base_fits(const struct fg_slots *s);

/* Returns the memory of a base model; more than any engine has for one that the
 * limits do not list. */
uint64_t fg_slots_weights_kb(const struct fg_slots *s, const char *model);

/* Returns whether the adapter is resident and idle for long enough. */
bool fg_slots_is_evictable(const struct fg_slot *slot, fg_ms now);

/* Returns whether a load of the adapter would use the weight store. */
bool fg_slots_is_fetch(const struct fg_slots *s, uint64_t key);

#endif
