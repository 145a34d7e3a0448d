/*
 * place_sim - routers, owners, broker and engines in virtual time, around the
 * decision code that the entry instances run.
 */
#ifndef PLACE_SIM_H
#define PLACE_SIM_H

#include <glib.h>

#include "grant/fg_grant.h"
#include "place/fg_place.h"
#include "place_trace.h"

#define LOAD_MS 250
#define LOADS_AT_ONCE 8 /* more make each one slower */
#define STEP_MS 24	/* one token of each request in the batch ... */
#define STEP_FILL_MS 8	/* ... and this much more with a full batch */
#define NET_MS 1
#define REFUSED_NOW_MS 100 /* an answer this soon counts as at once */

struct result {
	uint64_t n;
	uint64_t answered;	  /* within the deadline */
	uint64_t urgent;	  /* interactive requests ... */
	uint64_t urgent_answered; /* ... within the deadline */
	uint64_t refused;	  /* at once */
	uint64_t missed;	  /* answered late, or refused after waiting */
	uint64_t waited;	  /* for a load */
	double stall_p50_ms, stall_p95_ms, stall_p99_ms;
	double urgent_p95_ms; /* of interactive requests alone */
	double hold_mean_ms;  /* of drafts */
	uint64_t loads;
	double fill;		/* requests in the batch per active step */
	double bytes;		/* of inner messages per request */
	uint64_t in_use_orders; /* orders refused as the victim was in use */
	bool *met;		/* per request */
};

/* Runs the trace under a policy; result->met is to be freed with g_free. */
void sim_run(const struct deployment *d, const struct trace *t,
	     const char *policy, struct result *result);

/* ---- Inside ---- */

enum ev_type {
	EV_ARRIVE,
	EV_GRANT_REQ,
	EV_GRANT_REP,
	EV_RUN,
	EV_RUN_END,
	EV_RELEASE,
	EV_NEED,
	EV_REFUSAL,
	EV_PLACE,
	EV_PLACE_REP,
	EV_RESIDENT,
	EV_LOADED,
	EV_STEP,
	EV_DEADLINE,
	EV_TICK,
	EV_RESTART,
};

struct ev {
	fg_ms at;
	uint64_t seq;
	enum ev_type type;
	uint32_t ep;
	uint32_t router;
	uint32_t req;
	uint32_t attempt;
	uint32_t slot;
	uint64_t id; /* grant or epoch */
	uint32_t status;
	fg_need need;
	fg_place place;
	fg_resident *resident; /* borrowed from sim.residents */
};

enum req_state {
	REQ_NEW = 0,
	REQ_WAITING, /* for a load */
	REQ_ASKED,   /* for a grant */
	REQ_RUNNING,
	REQ_OVER,
};

struct req {
	enum req_state state;
	uint32_t attempt;
	uint32_t ep;
	uint64_t grant;
	uint32_t tokens_left;
	fg_ms wait_from;
	fg_ms stall_ms;
	fg_ms hold_ms;
	bool at_engine;
	bool cancelled;
};

struct engine {
	fg_av content[SLOTS];
	uint64_t epoch;
	GArray *running;   /* uint32_t req */
	uint32_t stepping; /* members of the step in progress */
	bool active;
	struct fg_grants *grants;
	fg_resident *last; /* what was broadcast last */
};

/* What waits at one router for one adapter. */
struct queue {
	uint64_t key;
	GArray *waiting;    /* uint32_t req */
	uint32_t announced; /* waiting, as the broker was told */
	fg_ms told_deadline;
	uint32_t told_cls;
};

struct router {
	struct fg_dir *dir;
	GHashTable *queues; /* fg_av_key -> queue, owns */
	GHashTable *counts; /* fg_av_key -> arrivals since the last HEAT */
};

struct sim {
	const struct deployment *d;
	const struct trace *t;
	bool own; /* the system's own policy, with holding and victims */
	fg_ms now;
	uint64_t seq;
	GArray *heap;
	struct req *reqs;
	struct engine *engines;
	struct router routers[ROUTERS];
	struct fg_dir *broker_dir;
	struct fg_broker *broker;
	GPtrArray *residents;
	double store_tokens;
	fg_ms store_at;
	uint32_t loading;
	uint64_t steps, filled, bytes, loads, in_use_orders;
	struct result *result;
};

void sim_push(struct sim *s, struct ev ev);
void sim_count(struct sim *s, const fg_msg *m, uint32_t from, uint32_t to);
fg_ms sim_net_ms(uint32_t from, uint32_t to);

static inline uint32_t sim_owner(uint32_t ep)
{
	return ep % ROUTERS;
}

/* Endpoint ids start at 1. */
static inline uint64_t sim_ep_id(uint32_t ep)
{
	return (uint64_t)ep + 1;
}

/* place_router.c */
void router_arrive(struct sim *s, uint32_t req);
void router_grant_rep(struct sim *s, const struct ev *ev);
void router_run_end(struct sim *s, const struct ev *ev);
void router_resident(struct sim *s, const struct ev *ev);
void router_refusal(struct sim *s, const struct ev *ev);
void router_deadline(struct sim *s, uint32_t req);
void router_heat(struct sim *s, uint32_t router);
void router_free(struct router *r);

/* place_engine.c */
void engine_run(struct sim *s, const struct ev *ev);
void engine_step(struct sim *s, uint32_t ep);
void engine_restart(struct sim *s, uint32_t ep);
void engine_loaded(struct sim *s, const struct ev *ev);
void owner_grant_req(struct sim *s, const struct ev *ev);
void owner_release(struct sim *s, const struct ev *ev);
void owner_place(struct sim *s, const struct ev *ev);
void owner_pump(struct sim *s, uint32_t ep);
void owner_poll(struct sim *s, uint32_t ep);

#endif
