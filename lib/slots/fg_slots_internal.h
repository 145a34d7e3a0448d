/* What the files of lib/slots share: the state of one engine's slots. */
#ifndef FG_SLOTS_INTERNAL_H
#define FG_SLOTS_INTERNAL_H

#include <glib.h>

#include "slots/fg_slots.h"

/* A load that should be there is asked for again at this interval until the
 * engine says that it holds. */
#define FG_SLOTS_CHECK_MS 30

enum fg_slot_phase {
	COMING = 1,
	RESIDENT = 2,
	LEAVING = 3, /* ordered to unload, not yet confirmed */
};

struct fg_slot {
	uint64_t key;
	char model[FG_FLEET_NAME_BYTES];
	char adapter[FG_FLEET_NAME_BYTES];
	enum fg_slot_phase state;
	uint64_t version; /* resident, or 0 */
	uint64_t newest;  /* announced; 0: none heard of */
	fg_ms used;
	fg_ms check_at; /* COMING, LEAVING: look again */
	fg_ms begun;	/* COMING: when it was ordered */
	bool fetch;	/* COMING: from the weight store */
	bool accepted;	/* COMING: the engine took the order, and takes a repeat
			 * of it without counting it in its sequence */
};

struct fg_want {
	uint64_t key;
	char model[FG_FLEET_NAME_BYTES];
	char adapter[FG_FLEET_NAME_BYTES];
	uint64_t version;
	fg_ms since;
	fg_ms asked; /* last */
	uint32_t asks;
};

struct fg_slots {
	struct fg_slots_conf conf;
	struct fg_slot slots[FG_SLOTS_MAX];
	uint32_t n;
	GArray *wants;	       /* struct fg_want, oldest first */
	GHashTable *newest;    /* key -> announced version */
	GHashTable *held_once; /* keys that the engine loaded before */
	uint64_t sequence;
	bool synced;	 /* sequence and slots are known */
	bool known;	 /* slots were known at some time since the reset */
	fg_ms report_at; /* earliest time of the next report */
	uint64_t
		stale_sequence; /* refused as expected: reports of it are old */
	bool stale;
	/* The base model, kept apart from the slots of adapters. */
	struct fg_slot base;
	enum fg_slots_act sent; /* in flight */
	uint64_t sent_key;
	uint32_t fetched_ms; /* of the last load from the weight store */
};

struct fg_slot *fg_slot_of(const struct fg_slots *s, uint64_t key);
uint64_t fg_slots_newest(const struct fg_slots *s, uint64_t key);

/* Resident, in the newest version announced. */
bool fg_slot_is_current(const struct fg_slot *slot);

/* A slot for an adapter that has none; NULL when there is no room at all. */
struct fg_slot *fg_slots_add(struct fg_slots *s, fg_ms now, const char *model,
			     const char *adapter);
void fg_slots_drop(struct fg_slots *s, struct fg_slot *slot);

/* The adapter to evict: unused for longest, and for FG_SLOTS_MIN_IDLE_MS. */
struct fg_slot *fg_slots_victim(const struct fg_slots *s, fg_ms now);

uint32_t fg_slots_count(const struct fg_slots *s, enum fg_slot_phase phase);

/* No model is known to be there. */
void fg_slots_clear_base(struct fg_slots *s);

/* Does a load of the adapter come from the weight store? */
bool fg_slots_is_fetch(const struct fg_slots *s, uint64_t key);

#endif
