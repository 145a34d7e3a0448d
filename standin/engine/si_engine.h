/*
 * si_engine - the parts of the engine stand-in.
 *
 * One lock guards slots, queue and batch. Its parts:
 *   si_slots   loads and evictions, fencing, the weight fetch.
 *   si_batch   the queue by priority and the continuous batch: one thread
 *              makes a token for every running request per step.
 *   si_prefix  cached prompt prefixes and their late events with gaps.
 *   si_stream  writes a run's tokens to its connection.
 */
#ifndef SI_ENGINE_H
#define SI_ENGINE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/si_http.h"
#include "common/si_log.h"

#define SI_SLOTS_MAX 256
#define SI_NO_SLOT UINT32_MAX

struct si_slot {
	char *adapter; /* "" when empty */
	char *version;
	bool loading;
	uint32_t running;
	uint64_t load; /* number of the newest load; older ones are void */
};

enum si_run_state {
	SI_QUEUED = 1,
	SI_RUNNING = 2,
	SI_ENDED = 3,
	SI_REFUSED = 4, /* it never ran; `error` says why */
};

/* One request in the engine. Counted; guarded by the engine's lock. */
struct si_run {
	struct si_engine *engine;
	uint32_t refs;
	char *id;
	char *tag;
	char *adapter;
	char *version;
	char *prompt;
	uint32_t max_tokens;
	int64_t priority;
	uint64_t arrival; /* order among equal priorities */
	fg_ms deadline;	  /* ended as timed out after it */
	enum si_run_state state;
	uint32_t slot;
	uint32_t prefill;  /* steps before the first token */
	GPtrArray *tokens; /* texts */
	const char *error; /* NULL: ended whole */
	bool cut;	   /* its connection is closed without more */
	pthread_cond_t changed;

	/* Faults of its answer. */
	bool truncate;
	bool truncate_clean; /* the stream itself ends in order */
	bool garble;
	struct si_run *shown; /* crossed: the run whose answer goes out */
};

struct si_engine {
	struct si_proc *proc;
	pthread_mutex_t lock;
	pthread_cond_t work; /* the batch thread waits on it when idle */
	pthread_t thread;
	bool stop;

	uint64_t epoch;
	uint64_t fence;
	bool checks_fence;
	uint32_t n_slots;
	struct si_slot slots[SI_SLOTS_MAX];
	uint64_t loads; /* numbers loads */

	uint32_t batch;
	uint32_t token_ms;
	uint64_t arrivals;
	GPtrArray *queue;
	GPtrArray *running;
	struct si_prefix *prefix;

	struct { /* last load report */
		uint32_t in_use;
		uint32_t queued;
		fg_ms taken;
	} report;

	fg_ms refuse_after_ms; /* of leaving */
	char *poison;	       /* "" for none */
	bool poison_restarts;
	fg_ms late_ms; /* the next late_orders loads arrive this late */
	uint32_t late_orders;
	bool cross_armed;
	struct si_run *cross_first;
	uint32_t truncated;
};

static inline struct si_engine *si_engine_of(const struct si_req *req)
{
	return req->proc->self;
}

/* Comes back empty: all requests end, slots and cache are empty, the epoch is
 * new and the fencing number forgotten. Locked. */
void si_engine_restart(struct si_engine *e);

/* ---- si_slots; the lock must be held where said ---- */

void si_slots_init(struct si_engine *e);
void si_slots_clear(struct si_engine *e);

/* The loaded slot of an adapter with the fewest running requests, or
 * SI_NO_SLOT. Locked. */
uint32_t si_slots_find(struct si_engine *e, const char *adapter,
		       const char *version);

/* Empties all slots; loads under way come to nothing. Locked. */
void si_slots_empty(struct si_engine *e);

enum MHD_Result si_slots_load(struct si_req *req);
enum MHD_Result si_slots_evict(struct si_req *req);
enum MHD_Result si_slots_role(struct si_req *req);

/* ---- si_batch ---- */

bool si_batch_start(struct si_engine *e);
void si_batch_stop(struct si_engine *e);
void si_batch_free(struct si_engine *e);

/* Queues a run, or returns the reason why it is refused. Locked. */
const char *si_batch_add(struct si_engine *e, struct si_run *run);

/* Ends the queued or running request, if it is still there. Locked. */
void si_batch_cancel(struct si_engine *e, const char *id);
void si_batch_end(struct si_engine *e, struct si_run *run, const char *error);

/* Cuts off all running and queued requests. Locked. */
void si_batch_cut_all(struct si_engine *e);

struct si_run *si_run_new(json_t *body);
void si_run_ref(struct si_run *run);
void si_run_unref(struct si_run *run);

/* ---- si_prefix: locked ---- */

struct si_prefix *si_prefix_new(void);
void si_prefix_free(struct si_prefix *p);
void si_prefix_clear(struct si_prefix *p);

/* Notes a prompt; returns true when its prefix was cached. */
bool si_prefix_use(struct si_prefix *p, const struct si_run *run);

/* {"events":[...]} after a number. */
json_t *si_prefix_events(struct si_prefix *p, uint64_t after);

/* ---- si_stream ---- */

enum MHD_Result si_stream_run(struct si_req *req);

#endif
