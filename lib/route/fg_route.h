/*
 * fg_route - which service serves a request, and on what terms.
 *
 * A table of routes is built once from a configuration, sealed, and then only
 * read; requests hold a reference to the table that decided them. A route is
 * found by host and by the longest prefix that begins the path.
 *
 * Pure: no I/O, no clock.
 */
#ifndef FG_ROUTE_H
#define FG_ROUTE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A model and how many adapters it has at most. */
struct fg_svc_model {
	char *name;
	uint32_t adapters_max;
};

struct fg_svc {
	char *name;
	char *health_path;
	uint32_t connections_max;    /* an endpoint accepts, from all callers */
	bool engine;		     /* runs models; the fields below are set */
	uint32_t slots;		     /* requests an endpoint runs at once */
	uint32_t kv_capacity_tokens; /* of an endpoint, for running requests */
	uint32_t adapter_slots;
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
	bool idempotent; /* may run more than once */
	bool streaming;
	bool resumable; /* a stream may go on at another endpoint */
	uint32_t timeout_ms;
	uint32_t target_latency_ms; /* answered within this, it has its full
				       worth */
	uint32_t priority;	    /* 0 is the most urgent */
	uint32_t attempts_max;
	struct fg_route_share *shares;
	uint32_t n_shares;
};

/* What callers may send, and how slowly. 0 stands for no limit. */
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
	int refs;
};

struct fg_routes *fg_routes_new(uint64_t version);
struct fg_routes *fg_routes_ref(struct fg_routes *t);
void fg_routes_unref(struct fg_routes *t);

/* Return a zeroed entry that belongs to the table. */
struct fg_svc *fg_routes_add_service(struct fg_routes *t);
struct fg_route *fg_routes_add_route(struct fg_routes *t);

/* Index of a service by name; -1 when unknown. */
int fg_routes_find_service(const struct fg_routes *t, const char *name);

/*
 * Ends building: checks the table and makes it ready for look-ups. False with
 * the reason in *why (static text) when a route has no host, no prefix or no
 * service to go to.
 */
bool fg_routes_seal(struct fg_routes *t, const char **why);

/* The route of `host` (a port is ignored) and a request target; NULL when
 * none matches. */
const struct fg_route *fg_routes_find(const struct fg_routes *t,
				      const char *host, const char *target);

/* The service for one request: `draw` is any number, the same one chooses the
 * same share. */
uint32_t fg_route_choose_service(const struct fg_route *r, uint64_t draw);

#endif
