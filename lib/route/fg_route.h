/*
 * fg_route - routing table: which service serves a request, and under which
 * limits.
 *
 * A table is built once from a configuration, sealed, and then only read. It is
 * reference-counted, so that a request keeps the table that it was routed by
 * after a newer one is in force. A route matches a request by host and by path
 * prefix; the longest prefix wins.
 *
 * Does no I/O and reads no clock. Not thread-safe.
 */
#ifndef FG_ROUTE_H
#define FG_ROUTE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "workspace/fg_workspace.h"

/* A model that the engines of a service run. */
struct fg_svc_model {
	char *name;
	uint32_t adapters_max;
	uint64_t weights_kb; /* units of 1000 bytes; 0: not stated */
	uint64_t adapter_kb; /* of each adapter; 0: not stated */
};

/* A service. Strings and arrays belong to the table; the reader of the
 * configuration allocates them with GLib. */
struct fg_svc {
	char *name;
	char *health_path;
	uint32_t connections_max; /* of an endpoint, from all callers */
	bool engine;		  /* runs models; else the fields below are 0 */
	uint32_t slots;		  /* concurrent requests of an endpoint */
	uint32_t kv_capacity_tokens; /* KV cache of an endpoint */
	uint32_t adapter_slots;
	uint64_t memory_kb; /* of an endpoint for models and adapters; 0: not
			       stated, and not a limit */
	bool bad_memory;    /* a size is no number, negative or too large */
	struct fg_svc_model *models;
	uint32_t n_models;
};

/* A share of a route's requests that goes to one service. */
struct fg_route_share {
	uint32_t service; /* index into fg_routes.services */
	uint32_t weight;
};

struct fg_route {
	char *name;
	char *host;
	char *prefix;
	bool idempotent; /* a request may run more than once */
	bool streaming;
	bool resumable; /* another endpoint may continue a stream */
	bool anonymous; /* serves requests without a key */
	uint32_t timeout_ms;
	uint32_t target_latency_ms; /* an answer within it has its full value */
	uint32_t priority;	    /* 0 is the most urgent */
	uint32_t attempts_max;
	struct fg_route_share *shares;
	uint32_t n_shares;
};

/* Limits on what callers send and on how slowly they send it. 0 stands for the
 * gateway's default size, or for no time limit. */
struct fg_caller_limits {
	uint32_t head_max_bytes;
	uint64_t body_max_bytes;
	uint32_t head_timeout_ms;
	uint32_t idle_timeout_ms;
};

struct fg_routes {
	uint64_t version; /* of the configuration */
	struct fg_caller_limits limits;
	GPtrArray *services; /* struct fg_svc * */
	GPtrArray *routes;   /* struct fg_route * */
	GHashTable *by_host; /* lower-case host -> GPtrArray of routes */
	struct fg_ws_set *workspaces; /* NULL: requests carry no keys */
	int refs;
};

/* Creates an empty table with one reference; fg_routes_unref() frees it with
 * the last one and accepts NULL. */
struct fg_routes *fg_routes_new(uint64_t version);
struct fg_routes *fg_routes_ref(struct fg_routes *t);
void fg_routes_unref(struct fg_routes *t);

/* Add a zeroed entry, which belongs to the table, and return it for the caller
 * to fill in before fg_routes_seal(). */
struct fg_svc *fg_routes_add_service(struct fg_routes *t);
struct fg_route *fg_routes_add_route(struct fg_routes *t);

/* Returns the index in t->services of the service with this name, or -1. */
int fg_routes_find_service(const struct fg_routes *t, const char *name);

/*
 * Checks a table that is complete and prepares it for fg_routes_find(). Returns
 * false and sets *why to a static text when a route has no host, no prefix or
 * no service that can get requests.
 */
bool fg_routes_seal(struct fg_routes *t, const char **why);

/* Returns the route for a host, whose port is ignored, and a request target in
 * origin or absolute form; NULL when none matches. */
const struct fg_route *fg_routes_find(const struct fg_routes *t,
				      const char *host, const char *target);

/* Chooses a service by weight and returns its index in t->services. `draw` is a
 * random number; equal numbers choose equal shares. */
uint32_t fg_route_choose_service(const struct fg_route *r, uint64_t draw);

#endif
