/*
 * fg_fleet - the endpoints of all services as one instance knows them.
 *
 * Facts come from the registry that endpoints write themselves into, in the
 * order of its versions. An endpoint is used while its entry says so; one that
 * announces that it leaves, or whose entry is removed, gets no new request
 * from that moment on. Entries can lapse while the registry is out: for
 * FG_FLEET_LAPSE_GRACE_MS after its return a removal is taken for such a lapse
 * and the endpoint stays usable; if it has not written itself back by then, it
 * is gone.
 *
 * What this instance measures of an endpoint (requests in flight, failures,
 * speed) is in the same record; see fg_balance.h for its use.
 *
 * Pure: events and the time in, no I/O.
 */
#ifndef FG_FLEET_H
#define FG_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/fg_clock.h"

#define FG_FLEET_NAME_BYTES 96
#define FG_FLEET_ADDR_BYTES 24
#define FG_FLEET_RESIDENT_MAX 32

/* How long entries may take to come back after an outage of the registry; the
 * platform's pages give about two seconds. */
#define FG_FLEET_LAPSE_GRACE_MS 2200

/* An adapter of a model, or the model itself when `adapter` is empty. */
struct fg_ep_resident {
	char model[FG_FLEET_NAME_BYTES];
	char adapter[FG_FLEET_NAME_BYTES];
	uint64_t version; /* 0: unknown */
};

/* What an endpoint's entry says. */
struct fg_ep_facts {
	char id[FG_FLEET_NAME_BYTES];
	char service[FG_FLEET_NAME_BYTES];
	char address[FG_FLEET_ADDR_BYTES];
	char dc[FG_FLEET_NAME_BYTES];
	uint32_t slots;
	bool draining;
	uint64_t born; /* when it started, in its own time; 0: unknown */
	struct fg_ep_resident resident[FG_FLEET_RESIDENT_MAX];
	uint32_t n_resident;
};

/* An adapter that the endpoint holds or held, as seen from this instance. */
struct fg_ep_adapter {
	uint64_t key;		 /* fg_adapter_key() */
	uint64_t version;	 /* 0 when not resident */
	fg_ms used_at;		 /* last use by any instance heard of */
	fg_ms resident_at;	 /* last time it was resident; 0: never */
	fg_ms pending_at;	 /* last time it was on its way; 0: never */
	uint32_t running;	 /* own requests in flight */
	uint32_t pending_tokens; /* of these, to be read before a first token */
	fg_ms notified_at;	 /* last report of them to the owner */
};

#define FG_EP_ADAPTERS_MAX 48

struct fg_fleet_ep {
	struct fg_ep_facts facts;
	uint64_t hash; /* of the id; names it between instances */
	char region[FG_FLEET_NAME_BYTES];
	bool listed;	    /* its entry exists */
	fg_ms lapsed_until; /* entry removed in an outage: usable until */
	bool addr_taken;    /* another endpoint answers at its address */
	fg_ms known_since;

	/* In flight from this instance. */
	uint32_t running;
	uint32_t pending_tokens; /* to be read before the first token */
	/* The same from other instances, as last reported. */
	uint32_t peers_running;
	uint32_t peers_pending_tokens;

	/* Failures and speed as measured here; see fg_health.h. */
	uint32_t failures_in_row;
	fg_ms ejected_until;
	double error_rate; /* moving average, 0..1 */
	double slowness;   /* measured over expected time, moving average */

	struct fg_ep_adapter adapters[FG_EP_ADAPTERS_MAX];
	uint32_t n_adapters;
	/* Reported by the instance that orders its loads. */
	uint64_t owner;		/* 0: none known */
	fg_ms resident_at;	/* last report of its resident adapters */
	uint32_t spare_age_ms;	/* idle time of the slot that would be freed */
	uint32_t queue;		/* adapters that wait for a slot or a load */
	uint32_t fetch_wait_ms; /* until a load from the weight store begins */

	void *user; /* of the runtime: connections */
	int refs;
};

struct fg_fleet;

typedef const char *(*fg_region_of)(void *ctx, const char *dc);
typedef void (*fg_ep_dropped)(void *ctx, struct fg_fleet_ep *ep);

/* `region_of` maps a data centre to its region (never NULL); `dropped` is
 * called when an endpoint leaves the fleet for good. */
struct fg_fleet *fg_fleet_new(fg_region_of region_of, fg_ep_dropped dropped,
			      void *ctx);
void fg_fleet_free(struct fg_fleet *f);

/* The registry answered or failed. */
void fg_fleet_registry_up(struct fg_fleet *f, fg_ms now);
void fg_fleet_registry_down(struct fg_fleet *f, fg_ms now);

/* An entry was written or removed. */
struct fg_fleet_ep *fg_fleet_put(struct fg_fleet *f, fg_ms now,
				 const struct fg_ep_facts *facts);
void fg_fleet_remove(struct fg_fleet *f, fg_ms now, const char *id);

/* A full read: every endpoint that is not put between begin and end counts
 * as removed. */
void fg_fleet_read_begin(struct fg_fleet *f);
void fg_fleet_read_end(struct fg_fleet *f, fg_ms now);

/* Forgets endpoints that are gone; call it a few times a second. */
void fg_fleet_tick(struct fg_fleet *f, fg_ms now);

struct fg_fleet_ep *fg_fleet_find(struct fg_fleet *f, const char *id);
struct fg_fleet_ep *fg_fleet_find_hash(struct fg_fleet *f, uint64_t hash);

/* All endpoints, in no order (struct fg_fleet_ep *). */
const GPtrArray *fg_fleet_all(const struct fg_fleet *f);

/* May a new request be sent to it? */
bool fg_ep_is_usable(const struct fg_fleet_ep *ep, fg_ms now);

/* References keep a record that was dropped alive. */
struct fg_fleet_ep *fg_ep_ref(struct fg_fleet_ep *ep);
void fg_ep_unref(struct fg_fleet_ep *ep);

uint64_t fg_adapter_key(const char *model, const char *adapter);

/* The record of an adapter at the endpoint; NULL when it never was there. */
struct fg_ep_adapter *fg_ep_adapter_find(struct fg_fleet_ep *ep, uint64_t key);

/* The same, created when missing; evicts the one unused for longest. */
struct fg_ep_adapter *fg_ep_adapter_find_or_add(struct fg_fleet_ep *ep,
						fg_ms now, uint64_t key);

/* Replaces what is resident. */
struct fg_fleet_held {
	uint64_t key;
	uint64_t version;
};
void fg_ep_set_resident(struct fg_fleet_ep *ep, fg_ms now,
			const struct fg_fleet_held *held, uint32_t n);

#endif
