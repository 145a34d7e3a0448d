/*
 * fg_slots - manages the adapter slots of one engine, on the instance that
 * sends the engine its load and unload orders.
 *
 * fg_slots_request_load() queues a request for an adapter. fg_slots_next()
 * returns the next message to send to the engine. One message is in flight at
 * a time. Each order carries the number of orders that the engine must have
 * accepted before (its sequence). An order whose answer was lost may still
 * take effect later. The sequence and the resident adapters are then read
 * again before anything else is ordered. A late order carries an outdated
 * sequence, and the engine refuses it.
 *
 * An engine that started empty first loads its base model. Nothing else is
 * ordered until the model is resident. The base model is written as an adapter
 * with an empty name and takes no slot.
 *
 * The adapters that are resident or loading never exceed the slots, nor, with
 * the base models, the engine's memory: a load into a full engine waits until
 * the engine has confirmed an unload. The least recently used adapter is
 * evicted, but none that was used within the last FG_SLOTS_MIN_IDLE_MS. A
 * replacement by a newer version takes the room of the older one.
 *
 * Does no I/O and reads no clock: the caller passes events and the time, and
 * sends the messages.
 */
#ifndef FG_SLOTS_H
#define FG_SLOTS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/fg_clock.h"
#include "wire/fg_wire.h"

/* An adapter used within this time counts as in use and is not evicted. The
 * owner samples the requests in flight every 100 ms, and a message from another
 * region takes 12 ms. An engine unloads an adapter in use only after its runs
 * have ended, and all other loads wait for that unload. */
#define FG_SLOTS_MIN_IDLE_MS 200
#define FG_SLOTS_MAX FG_FLEET_RESIDENT_MAX

/* Memory that a base model and each of its adapters take, in units of 1000
 * bytes. */
struct fg_slots_model {
	const char *name;
	uint64_t weights_kb;
	uint64_t adapter_kb;
};

/* What an engine can hold. */
struct fg_slots_limits {
	uint32_t slots;	    /* adapters */
	uint64_t memory_kb; /* of base models and adapters; 0: not limited */
	const struct fg_slots_model *models;
	uint32_t n_models;
};

struct fg_slots_conf {
	char model[FG_FLEET_NAME_BYTES]; /* loaded when the engine has none;
					    set by limits that list models: the
					    first that fits */
	struct fg_slots_limits limits;
	uint32_t load_ms;	 /* usual time of a load from the store */
	uint32_t loads_max;	 /* concurrent loads */
	uint32_t queue_max;	 /* queued load requests */
	uint32_t request_ttl_ms; /* expiry of unrepeated requests */
};

struct fg_slots;

/* Copies `conf` and its models. The caller frees the result with
 * fg_slots_free(). */
struct fg_slots *fg_slots_new(const struct fg_slots_conf *conf);
void fg_slots_free(struct fg_slots *s);

/* Changes what the engine can hold, of which copies are made. What it holds
 * beyond that stays until it is evicted for another adapter. */
void fg_slots_set_limits(struct fg_slots *s,
			 const struct fg_slots_limits *limits);

/* Returns whether an engine with these limits could hold an adapter of the
 * model, if it held nothing but the model. A model that the limits do not list
 * fits only if the memory is not limited. */
bool fg_slots_could_hold(const struct fg_slots_limits *limits,
			 const char *model);

enum fg_slot_state {
	FG_SLOT_ABSENT = 0,
	FG_SLOT_PENDING = 1, /* queued or loading */
	FG_SLOT_RESIDENT = 2,
	FG_SLOT_FULL = 3, /* absent, and a load cannot be queued */
};

/*
 * Requests that an adapter be loaded in this version or a newer one (0: any).
 * An empty `adapter` stands for the base model. Returns the adapter's state:
 * PENDING also when the request was queued by this call, FULL when the queue
 * is full, the engine serves another model or can never hold the adapter. Call
 * it again while a request
 * waits for the adapter: the repeats raise its priority and keep it queued.
 */
enum fg_slot_state fg_slots_request_load(struct fg_slots *s, fg_ms now,
					 const char *model, const char *adapter,
					 uint64_t version);

/* A request used the adapter. */
void fg_slots_mark_used(struct fg_slots *s, fg_ms now, uint64_t key);

/* A version was announced: a resident older one is replaced. */
void fg_slots_announce_version(struct fg_slots *s, uint64_t key,
			       uint64_t version);

enum fg_slots_act {
	FG_SLOTS_NOTHING = 0,
	FG_SLOTS_REPORT = 1, /* ask the engine for a report */
	FG_SLOTS_LOAD = 2,
	FG_SLOTS_UNLOAD = 3,
};

struct fg_slots_step {
	enum fg_slots_act act;
	const char *model; /* LOAD, UNLOAD; valid until the next call */
	const char *adapter;
	uint64_t version;
	uint64_t expected_sequence;
	fg_ms wake_at; /* NOTHING: when to call again, or FG_MS_NEVER */
};

/* Returns the next message to the engine. It counts as in flight until its
 * result is passed in. Loads from the weight store start only when
 * `store_open` is set. */
struct fg_slots_step fg_slots_next(struct fg_slots *s, fg_ms now,
				   bool store_open);

/* Returns the number of loads from the weight store in progress. */
uint32_t fg_slots_count_fetching(const struct fg_slots *s);

/* Returns the number of queued loads that need the weight store. */
uint32_t fg_slots_count_fetch_queued(const struct fg_slots *s);

/* Returns the duration of the last completed load from the weight store, or 0
 * when none completed since the last call. */
uint32_t fg_slots_take_fetched_ms(struct fg_slots *s);

/* Writes the keys of the adapters that are loading or queued to `out` (room
 * for FG_SLOTS_MAX) and returns their number. */
uint32_t fg_slots_list_pending(const struct fg_slots *s, uint64_t *out);

/* Passes in the result of the LOAD or UNLOAD in flight. */
void fg_slots_handle_result(struct fg_slots *s, fg_ms now,
			    enum fg_wire_order_result result);

/* Passes in the answer to REPORT; NULL when there was none. */
void fg_slots_handle_report(struct fg_slots *s, fg_ms now,
			    const struct fg_engine_report *report);

/* Writes the resident adapters whose version is the newest announced to `out`
 * (room for FG_SLOTS_MAX + 1), the base model first. Returns their number. */
uint32_t fg_slots_list_resident(const struct fg_slots *s,
				struct fg_fleet_held *out);

/* Returns the number of queued load requests. */
uint32_t fg_slots_queue_len(const struct fg_slots *s);

/* Returns how long the next adapter to evict has been unused. UINT32_MAX: a
 * slot is free that no queued load needs. 0: no slot can be freed, or the
 * engine is not ready. */
uint32_t fg_slots_spare_age_ms(const struct fg_slots *s, fg_ms now);

/* Returns ABSENT, PENDING or RESIDENT. */
enum fg_slot_state fg_slots_state(const struct fg_slots *s, uint64_t key);

#endif
