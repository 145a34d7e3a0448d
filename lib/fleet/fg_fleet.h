/*
 * fg_fleet - the endpoints of all services as one instance knows them.
 *
 * Endpoints write their entries into a registry. The caller passes the entries
 * in the order of the registry's versions. An endpoint gets no new request from
 * the moment its entry says that it is leaving or the entry is removed.
 *
 * Entries can lapse while the registry is unavailable. For
 * FG_FLEET_LAPSE_GRACE_MS after its return, a removal is taken for such a lapse
 * and the endpoint stays usable. An endpoint that has not written its entry
 * again by then is dropped.
 *
 * Leaving is final for the life of an endpoint: an entry of the same start that
 * no longer says so, as in a registry restored from an older copy, does not
 * make it usable again. Removals are remembered for FG_FLEET_DEPARTED_MS: an
 * entry of the same or an earlier start that is read from such a copy is not
 * used until it is written again, or for FG_FLEET_RETURNED_MS, after which a
 * registry has dropped the entry of an endpoint that is gone.
 *
 * The record of an endpoint also holds what this instance measures: requests
 * in flight, failures and speed. fg_balance.h describes how they are used.
 *
 * Does no I/O and reads no clock: the caller passes events and the time.
 */
#ifndef FG_FLEET_H
#define FG_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/fg_clock.h"

#define FG_FLEET_NAME_BYTES 96
#define FG_FLEET_ADDR_BYTES 24
#define FG_FLEET_SOFTWARE_BYTES 64
/* As the required software version of a request: no endpoint has it. */
#define FG_SOFTWARE_NONE UINT64_MAX
#define FG_FLEET_RESIDENT_MAX 32

/* Time that endpoints have to write their entries again after an outage of the
 * registry. The platform's documentation states about two seconds. */
#define FG_FLEET_LAPSE_GRACE_MS 2200

/* Removals are remembered for this long, and at most so many. */
#define FG_FLEET_DEPARTED_MS 120000
#define FG_FLEET_DEPARTED_MAX 4096
#define FG_FLEET_RETURNED_MS 15000

/* An adapter of a model, or the model itself when `adapter` is empty. */
struct fg_ep_resident {
	char model[FG_FLEET_NAME_BYTES];
	char adapter[FG_FLEET_NAME_BYTES];
	uint64_t version; /* 0: unknown */
};

/* Contents of an endpoint's entry. */
struct fg_ep_facts {
	char id[FG_FLEET_NAME_BYTES];
	char service[FG_FLEET_NAME_BYTES];
	char address[FG_FLEET_ADDR_BYTES];
	char dc[FG_FLEET_NAME_BYTES];
	char software[FG_FLEET_SOFTWARE_BYTES]; /* its version; "": unknown */
	uint32_t slots;				/* concurrent requests */
	bool draining;
	uint64_t born; /* start time by its own clock; 0: unknown */
	struct fg_ep_resident resident[FG_FLEET_RESIDENT_MAX];
	uint32_t n_resident;
};

/* An adapter that is or was at the endpoint, as known to this instance. */
struct fg_ep_adapter {
	uint64_t key;	   /* fg_adapter_key() */
	uint64_t version;  /* 0 when not resident */
	fg_ms used_at;	   /* last use by any instance, as far as known */
	fg_ms resident_at; /* last time it was resident; 0: never */
	fg_ms pending_at;  /* last time it was queued or loading; 0: never */
	uint32_t running;  /* requests in flight from this instance */
	uint64_t pending_tokens; /* their prompt tokens not yet processed */
	fg_ms notified_at;	 /* last report to the owner */
};

#define FG_EP_ADAPTERS_MAX 48

struct fg_fleet_ep {
	struct fg_ep_facts facts;
	uint64_t hash;	     /* of the id; identifies it between instances */
	uint64_t software;   /* key of facts.software; 0: unknown */
	fg_ms streams_after; /* resumable streams may begin from then on */
	char region[FG_FLEET_NAME_BYTES];
	bool listed;	      /* its entry exists */
	bool unreadable;      /* its entry exists, but cannot be read */
	fg_ms returned_until; /* not used until: its entry was removed and came
				 back from an older copy; 0: no */
	fg_ms lapsed_until;   /* usable until, after a lapse of its entry */
	bool addr_taken;      /* another endpoint answers at its address */
	bool leaving;	      /* said so in an answer or in its entry */
	fg_ms paused_until;   /* it asked for no request until then; 0: never */
	bool limited;	      /* it named a limit */
	double limit_per_s;   /* requests from all instances together */
	/* This instance's share; fg_limit.h updates it. */
	bool limit_shared; /* the rest is set */
	fg_ms limit_interval_ms;
	fg_ms limit_next_at; /* earliest next request */
	uint64_t sends;	     /* requests sent there from here */
	fg_ms known_since;

	/* In flight from this instance. */
	uint32_t running;
	uint64_t pending_tokens; /* prompt tokens not yet processed */
	/* In flight from other instances, as last reported. */
	uint32_t peers_running;
	uint64_t peers_pending_tokens;

	/* fg_brittle.h updates these. */
	fg_ms brittle_at; /* it last said that it is brittle; 0: it does not */
	bool shared_room; /* its service is brittle */
	uint32_t room;	  /* requests at a time from this instance, then */

	/* fg_reach.h updates these; 0: never, or not. */
	fg_ms unreached_since;
	fg_ms tunneled_at;	 /* last connection through another instance */
	fg_ms tunnel_failed_at;	 /* another instance did not reach it */
	uint32_t tunnels_failed; /* in a row */

	/* Failures and speed as measured here; fg_health.h updates them. */
	uint32_t failures_in_row;
	fg_ms ejected_until;
	double error_rate; /* moving average, 0..1 */
	double slowness;   /* measured / expected time, moving average */

	struct fg_ep_adapter adapters[FG_EP_ADAPTERS_MAX];
	uint32_t n_adapters;
	/* Reported by the owner, the instance that orders its loads. */
	uint64_t owner;		/* its incarnation; 0: none known */
	fg_ms resident_at;	/* last report of its resident adapters */
	uint32_t spare_age_ms;	/* idle time of the next adapter to evict */
	uint32_t queue;		/* load requests queued at the owner */
	uint32_t fetch_wait_ms; /* until a load from the store can start */

	void *user; /* data of the caller: connections */
	int refs;
};

struct fg_fleet;

typedef const char *(*fg_region_of)(void *ctx, const char *dc);
typedef void (*fg_ep_dropped)(void *ctx, struct fg_fleet_ep *ep);

/* `region_of` maps a data centre to its region and never returns NULL.
 * `dropped` (may be NULL) is called before the fleet gives up its reference to
 * an endpoint. Both get `ctx`. */
struct fg_fleet *fg_fleet_new(fg_region_of region_of, fg_ep_dropped dropped,
			      void *ctx);
void fg_fleet_free(struct fg_fleet *f);

/* The registry answered at `answered_at`, which may be earlier than `now` when
 * another instance got the answer. */
void fg_fleet_registry_up(struct fg_fleet *f, fg_ms now, fg_ms answered_at);

/* A call to the registry failed. The outage began after its last answer. */
void fg_fleet_registry_down(struct fg_fleet *f, fg_ms now);

/* The registry came back from an older copy. Entries that it lost count as
 * lapsed. */
void fg_fleet_registry_restored(struct fg_fleet *f, fg_ms now);

/* An entry was written or removed. A change of `born` or of the address means a
 * restart and resets what was measured. The record returned is borrowed. */
struct fg_fleet_ep *fg_fleet_put(struct fg_fleet *f, fg_ms now,
				 const struct fg_ep_facts *facts);
void fg_fleet_remove(struct fg_fleet *f, fg_ms now, const char *id);

/* An entry was written that cannot be read. A known endpoint gets no new
 * request until an entry is put that can be; what was known of it is kept until
 * then, or until the entry is removed. */
void fg_fleet_put_unreadable(struct fg_fleet *f, const char *id);

/* Brackets a full read of the registry: an endpoint that is not put between
 * begin and end counts as removed. */
void fg_fleet_read_begin(struct fg_fleet *f);
void fg_fleet_read_end(struct fg_fleet *f, fg_ms now);

/* Drops removed endpoints that have no request in flight from here. Call it a
 * few times a second. */
void fg_fleet_tick(struct fg_fleet *f, fg_ms now);

/* Return a borrowed record, or NULL. */
struct fg_fleet_ep *fg_fleet_find(struct fg_fleet *f, const char *id);
struct fg_fleet_ep *fg_fleet_find_hash(struct fg_fleet *f, uint64_t hash);

/* Returns all endpoints (struct fg_fleet_ep *) in no particular order. Owned by
 * the fleet. */
const GPtrArray *fg_fleet_all(const struct fg_fleet *f);

/* Returns whether the endpoint is a member of its service: neither leaving nor
 * removed, and alone at its address. */
bool fg_ep_is_usable(const struct fg_fleet_ep *ep, fg_ms now);

/* Returns whether a new request may be sent to the endpoint: it is usable and
 * has not asked for a pause. */
bool fg_ep_accepts(const struct fg_fleet_ep *ep, fg_ms now);

/* The endpoint said in an answer that it is leaving. It gets no further
 * request, also when its registry entry does not say so, until it restarts.
 * Returns false when this was known. */
bool fg_ep_mark_leaving(struct fg_fleet_ep *ep);

/* Longest pause that an endpoint may ask for. */
#define FG_EP_PAUSE_MAX_MS 60000

/* The endpoint asked, in a refusal, for no request within `pause_ms`, which is
 * cut to FG_EP_PAUSE_MAX_MS. A later end replaces an earlier one. Returns false
 * when the pause does not extend the known one. */
bool fg_ep_pause(struct fg_fleet_ep *ep, fg_ms now, uint32_t pause_ms);

/* The endpoint named a limit of requests a second, from all instances together.
 * Returns false when it is the known one. */
bool fg_ep_set_limit(struct fg_fleet_ep *ep, double per_s);

/* The endpoint no longer names a limit. Returns false when none was known. */
bool fg_ep_clear_limit(struct fg_fleet_ep *ep);

/* Returns the rank of the instance `self` in the endpoint's rendezvous hashing
 * order of the instances, from 0. */
uint32_t fg_ep_instance_rank(const struct fg_fleet_ep *ep, uint64_t self,
			     const uint64_t *others, uint32_t n_others);

/* Returns the time until an endpoint of the service accepts requests again, 0
 * when one does now, UINT32_MAX when none is usable. */
uint32_t fg_fleet_pause_left_ms(const struct fg_fleet *f, fg_ms now,
				const char *service);

/* A reference keeps the record alive after the fleet has dropped it. */
struct fg_fleet_ep *fg_ep_ref(struct fg_fleet_ep *ep);
void fg_ep_unref(struct fg_fleet_ep *ep);

/* Returns whether the name of a model or an adapter can be kept and put into an
 * order: valid UTF-8 of 1 to FG_FLEET_NAME_BYTES - 1 bytes. */
bool fg_name_is_usable(const char *name);

/* Returns the key of an adapter, or of the model when `adapter` is empty. */
uint64_t fg_adapter_key(const char *model, const char *adapter);

/* Returns the record of an adapter at the endpoint, NULL if there is none. */
struct fg_ep_adapter *fg_ep_adapter_find(struct fg_fleet_ep *ep, uint64_t key);

/* Returns the record, created when missing. A full table evicts the least
 * recently used record that is neither resident nor in use. Returns NULL if
 * there is no such record. */
struct fg_ep_adapter *fg_ep_adapter_find_or_add(struct fg_fleet_ep *ep,
						fg_ms now, uint64_t key);

/* A resident adapter. */
struct fg_fleet_held {
	uint64_t key;
	uint64_t version;
};

/* Replaces the set of resident adapters. */
void fg_ep_set_resident(struct fg_fleet_ep *ep, fg_ms now,
			const struct fg_fleet_held *held, uint32_t n);

#endif
