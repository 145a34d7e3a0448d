/*
 * place_sim - simulates routers, owners, the broker and engines in virtual
 * time. They run the same decision code as the entry instances (lib/place and
 * lib/grant).
 */
#ifndef PLACE_SIM_H
#define PLACE_SIM_H

#include <glib.h>

#include "grant/fg_grant.h"
#include "place/fg_place.h"
#include "place_trace.h"

#define LOAD_MS 250
#define LOADS_IN_FLIGHT_MAX 8 /* more loads in flight slow each other down */
#define STEP_MS 24	      /* a batch step yields one token per request */
#define STEP_FILL_MS 8 /* added to a step in proportion to the batch fill */
#define NET_MS 1       /* one-way network delay */
#define REFUSED_AT_ONCE_MS 100 /* a refusal within this time is immediate */

struct result {
	uint64_t n_requests;
	uint64_t answered; /* within the deadline */
	uint64_t interactive;
	uint64_t interactive_answered; /* within the deadline */
	uint64_t refused;	       /* within REFUSED_AT_ONCE_MS */
	uint64_t missed; /* answered late, or refused after a wait */
	uint64_t waited; /* for a load */
	double stall_p50_ms, stall_p95_ms, stall_p99_ms;
	double interactive_stall_p95_ms;
	double draft_hold_mean_ms;
	uint64_t loads;
	double batch_fill; /* mean requests in the batch per active step */
	double msg_bytes_per_request; /* inner messages */
	uint64_t in_use_refusals;     /* orders refused: victim in use */
	bool *in_time;		      /* per request: answered in time */
};

/* Runs the trace under the policy named `policy`: "naive", "strong" or "gauge".
 * The caller frees result->in_time with g_free(). */
void sim_run(const struct deployment *d, const struct trace *t,
	     const char *policy, struct result *result);

/* ---- Internal to place_*.c ---- */

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
	uint64_t id;	 /* grant id or engine epoch */
	uint32_t status; /* meaning depends on type */
	fg_need need;
	fg_place place;
	fg_resident *resident; /* borrowed from sim.residents */
};

enum req_state {
	REQ_NEW = 0,
	REQ_WAITING, /* for a load */
	REQ_GRANT_REQUESTED,
	REQ_RUNNING,
	REQ_ENDED,
};

struct req {
	enum req_state state;
	uint32_t attempt;
	uint32_t ep;
	uint64_t grant;
	uint32_t tokens_left;
	fg_ms wait_start;
	fg_ms stall_ms; /* wait for loads; -1: refused at once */
	fg_ms hold_ms;	/* intentional wait of a draft */
	bool at_engine;
	bool cancelled;
};

struct engine {
	fg_av resident[SLOTS]; /* {0, 0}: empty or being loaded */
	uint64_t epoch;
	GArray *running;   /* uint32_t req */
	uint32_t step_len; /* the current step has running[0..step_len) */
	bool active;	   /* a step is in progress */
	struct fg_grants *grants;
	fg_resident *last; /* not used */
};

/* Requests that wait at one router for one adapter. */
struct queue {
	uint64_t key;
	GArray *waiting; /* uint32_t req */
	/* What the last NEED told the broker. */
	uint32_t sent_waiting;
	fg_ms sent_deadline;
	uint32_t sent_cls;
};

struct router {
	struct fg_dir *dir;
	GHashTable *queues;   /* fg_av_key -> queue, owns */
	GHashTable *arrivals; /* fg_av_key -> count since the last POPULARITY */
};

struct sim {
	const struct deployment *d;
	const struct trace *t;
	bool is_gauge; /* policy "gauge": holds drafts, chooses victims */
	fg_ms now;
	uint64_t seq;
	GArray *heap;
	struct req *reqs;
	struct engine *engines;
	struct router routers[ROUTERS];
	struct fg_dir *broker_dir;
	struct fg_broker *broker;
	GPtrArray *residents;
	double store_tokens; /* of the weight store's rate limit */
	fg_ms store_refilled_at;
	uint32_t loads_in_flight;
	uint64_t steps, step_requests, msg_bytes, loads, in_use_refusals;
	struct result *result;
};

/* Schedules the event for ev.at; events of one time run in push order. */
void sim_push_event(struct sim *s, struct ev ev);

/* Adds the message's size to the total unless it stays within one instance. */
void sim_count_bytes(struct sim *s, const fg_msg *m, uint32_t from,
		     uint32_t to);

/* Network delay between two instances; 0 within one instance. */
fg_ms sim_net_delay_ms(uint32_t from, uint32_t to);

/* Instance that owns the endpoint. */
static inline uint32_t sim_ep_owner(uint32_t ep)
{
	return ep % ROUTERS;
}

/* Endpoint ids start at 1. */
static inline uint64_t sim_ep_id(uint32_t ep)
{
	return (uint64_t)ep + 1;
}

/* place_router.c */
void router_on_arrival(struct sim *s, uint32_t req);
void router_on_grant_rep(struct sim *s, const struct ev *ev);
void router_on_run_end(struct sim *s, const struct ev *ev);
void router_on_resident(struct sim *s, const struct ev *ev);
void router_on_refusal(struct sim *s, const struct ev *ev);
void router_on_deadline(struct sim *s, uint32_t req);
void router_send_popularity(struct sim *s, uint32_t router);
void router_free(struct router *r);

/* place_engine.c */
void engine_on_run(struct sim *s, const struct ev *ev);
void engine_finish_step(struct sim *s, uint32_t ep);
void engine_restart(struct sim *s, uint32_t ep);
void engine_finish_load(struct sim *s, const struct ev *ev);
void owner_on_grant_req(struct sim *s, const struct ev *ev);
void owner_on_release(struct sim *s, const struct ev *ev);
void owner_on_place(struct sim *s, const struct ev *ev);
void owner_serve_held(struct sim *s, uint32_t ep);
void owner_poll_engine(struct sim *s, uint32_t ep);

#endif
