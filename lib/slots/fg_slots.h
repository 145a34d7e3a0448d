/*
 * fg_slots - the adapter slots of one engine, as the instance that orders its
 * loads keeps them.
 *
 * Requests for adapters come in with fg_slots_request_load(); fg_slots_next()
 * gives the next message to the engine, one at a time, each with the number of
 * orders that the engine must have accepted before (its sequence). An order
 * whose answer is lost may still act later: the sequence and the adapters are
 * then read anew before anything else is ordered, and an order that acts late
 * meets a sequence that has moved on and is refused by the engine.
 *
 * An engine that started empty gets its base model first; nothing else is
 * ordered until it holds that. A base model is written as an adapter with an
 * empty name, and takes no slot.
 *
 * At no time do the adapters that are resident or on their way exceed the
 * slots: room is made by an unload that the engine has confirmed. The victim
 * is the adapter unused for longest, and none that was used in the last
 * FG_SLOTS_MIN_IDLE_MS.
 *
 * Pure: events and the time in, the next message out.
 */
#ifndef FG_SLOTS_H
#define FG_SLOTS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/fg_clock.h"
#include "wire/fg_wire.h"

/* An adapter used within this time is taken to be in use: the owner looks at
 * what is in flight every 100 ms, and word from another region takes 12 ms. An
 * unload of one in use waits for its runs, and all else waits for it. */
#define FG_SLOTS_MIN_IDLE_MS 200
#define FG_SLOTS_MAX FG_FLEET_RESIDENT_MAX

struct fg_slots_conf {
	char model[FG_FLEET_NAME_BYTES]; /* for an engine that holds none */
	uint32_t slots;			 /* adapters at once */
	uint32_t load_ms;	 /* of an adapter from the weight store */
	uint32_t loads_max;	 /* loads on their way at once */
	uint32_t queue_max;	 /* adapters waiting at once */
	uint32_t request_ttl_ms; /* a want that old is dropped */
};

struct fg_slots;

struct fg_slots *fg_slots_new(const struct fg_slots_conf *conf);
void fg_slots_free(struct fg_slots *s);

enum fg_slot_state {
	FG_SLOT_ABSENT = 0,
	FG_SLOT_PENDING = 1,
	FG_SLOT_RESIDENT = 2,
	FG_SLOT_FULL = 3, /* absent, and too many wait for a slot */
};

/*
 * An adapter is wanted, in this version or a newer one (0: any). Returns its
 * state; COMING when it has been taken on. An empty name stands for the model.
 */
enum fg_slot_state fg_slots_request_load(struct fg_slots *s, fg_ms now,
					 const char *model, const char *adapter,
					 uint64_t version);

/* A request used it. */
void fg_slots_mark_used(struct fg_slots *s, fg_ms now, uint64_t key);

/* A new version was announced: older ones are replaced. */
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
	const char *model; /* valid until the next call */
	const char *adapter;
	uint64_t version;
	uint64_t expected_sequence;
	fg_ms wake_at; /* with NOTHING: when to ask again; FG_MS_NEVER */
};

/* The next message; the state counts it as sent until its result is passed in.
 * Loads from the weight store begin only with `store_open`. */
struct fg_slots_step fg_slots_next(struct fg_slots *s, fg_ms now,
				   bool store_open);

/* Loads from the weight store that are on their way. */
uint32_t fg_slots_count_fetching(const struct fg_slots *s);

/* Loads from the weight store that wait to begin. */
uint32_t fg_slots_count_fetch_queued(const struct fg_slots *s);

/* Time that the last such load took, once: 0 when none ended since. */
uint32_t fg_slots_take_fetched_ms(struct fg_slots *s);

/* Adapters on their way; `out` has room for FG_SLOTS_MAX. */
uint32_t fg_slots_list_pending(const struct fg_slots *s, uint64_t *out);

/* Result of the LOAD or UNLOAD that fg_slots_next() gave. */
void fg_slots_handle_result(struct fg_slots *s, fg_ms now,
			    enum fg_order_result result);

/* Answer to REPORT; NULL when there was none. */
void fg_slots_handle_report(struct fg_slots *s, fg_ms now,
			    const struct fg_report *report);

/* Resident adapters whose version is the newest announced; returns how many.
 * `out` has room for FG_SLOTS_MAX + 1; the base model comes first. */
uint32_t fg_slots_list_resident(const struct fg_slots *s,
				struct fg_fleet_held *out);

/* Adapters that wait for a slot or for the weight store. */
uint32_t fg_slots_queue_len(const struct fg_slots *s);

/* How long the adapter that would be evicted has been unused; UINT32_MAX when a
 * slot is free, 0 when none can be freed. */
uint32_t fg_slots_spare_age_ms(const struct fg_slots *s, fg_ms now);

enum fg_slot_state fg_slots_state(const struct fg_slots *s, uint64_t key);

#endif
