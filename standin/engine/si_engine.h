/*
 * si_engine - the parts of the engine stand-in.
 *
 *   si_slots   loads and evictions, fencing, fetching of weights.
 *   si_batch   priority queue and continuous batch: one thread makes one token
 *              per step for every running request.
 *   si_prefix  cached prompt prefixes and their events, which are reported
 *              late and with gaps.
 *   si_stream  writes the tokens of a run to its connection.
 *
 * si_engine.lock guards slots, queue, batch and runs. The caller of a function
 * marked "Locked" holds it.
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
	uint64_t load; /* number of the last load; earlier ones are void */
};

enum si_run_state {
	SI_QUEUED = 1,
	SI_RUNNING = 2,
	SI_ENDED = 3,
	SI_REFUSED = 4, /* never ran; `error` is the reason */
};

/* One generation request. Reference-counted; guarded by the engine's lock. */
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
	uint64_t arrival; /* sequence number; orders equal priorities */
	fg_ms deadline;	  /* the run ends with "timeout" after it */
	enum si_run_state state;
	uint32_t slot;
	uint32_t prefill;  /* steps before the first token */
	GPtrArray *tokens; /* strings made so far */
	const char *error; /* NULL: all tokens were made */
	bool cut_off;	   /* close the connection without an end mark */
	pthread_cond_t changed;

	/* Faults injected into the answer. */
	bool truncate;
	bool truncate_clean; /* end the HTTP body properly, but early */
	bool garble;
	struct si_run *answer_from; /* partner of a crossed run */
};

struct si_engine {
	struct si_proc *proc;
	pthread_mutex_t lock;
	pthread_cond_t wakeup; /* wakes the batch thread */
	pthread_t thread;
	bool stopping;

	uint64_t epoch;
	uint64_t fence;
	bool checks_fence;
	uint32_t n_slots;
	struct si_slot slots[SI_SLOTS_MAX];
	uint64_t last_load; /* number of the newest load */

	uint32_t batch;
	uint32_t token_ms;
	uint64_t last_arrival;
	GPtrArray *queue;
	GPtrArray *running;
	struct si_prefix *prefix;

	struct { /* last sample for /v1/report */
		uint32_t in_use;
		uint32_t queued;
		fg_ms sampled_at;
	} report;

	fg_ms refuse_after_ms; /* after the engine began to leave */
	char *poison; /* a prompt with this word ends the engine; "" for none */
	bool poison_restarts; /* restart empty instead of a crash */
	fg_ms order_delay_ms; /* of the next delayed_orders load orders */
	uint32_t delayed_orders;
	bool cross_armed;
	struct si_run *cross_waiting;
	uint32_t truncate_count;
};

static inline struct si_engine *si_engine_of(const struct si_req *req)
{
	return req->proc->self;
}

/* Simulates a restart: ends all requests, clears slots and prefix cache, starts
 * a new epoch and forgets the fencing number. Locked. */
void si_engine_restart(struct si_engine *e);

/* ---- si_slots ---- */

void si_slots_init(struct si_engine *e);

/* Frees the strings of all slots. */
void si_slots_free(struct si_engine *e);

/* Returns the slot with the fewest running requests among those that hold this
 * version of the adapter, or SI_NO_SLOT. Locked. */
uint32_t si_slots_find(struct si_engine *e, const char *adapter,
		       const char *version);

/* Empties all slots and voids the loads in progress. Locked. */
void si_slots_clear(struct si_engine *e);

enum MHD_Result si_slots_load(struct si_req *req);
enum MHD_Result si_slots_evict(struct si_req *req);
enum MHD_Result si_slots_role(struct si_req *req);

/* ---- si_batch ---- */

bool si_batch_start(struct si_engine *e);

/* Ends all requests and the batch thread. */
void si_batch_stop(struct si_engine *e);

/* Call after si_batch_stop(). */
void si_batch_free(struct si_engine *e);

/* Queues a run and takes a reference. Returns NULL, or the reason why the run
 * is refused. Locked. */
const char *si_batch_enqueue(struct si_engine *e, struct si_run *run);

/* Ends a queued or running request; does nothing when there is none. Locked. */
void si_batch_cancel(struct si_engine *e, const char *id);

/* Ends a request that is queued or running; error is NULL when all its tokens
 * were made. Drops the reference of the queue. Locked. */
void si_batch_end(struct si_engine *e, struct si_run *run, const char *error);

/* Ends all requests and closes their connections. Locked. */
void si_batch_cut_all(struct si_engine *e);

/* Returns a run with one reference, or NULL when the request is malformed. */
struct si_run *si_run_new(json_t *body);

/* Locked. */
void si_run_ref(struct si_run *run);
void si_run_unref(struct si_run *run);

/* ---- si_prefix: all functions Locked ---- */

struct si_prefix *si_prefix_new(void);
void si_prefix_free(struct si_prefix *p);
void si_prefix_clear(struct si_prefix *p);

/* Adds the prefix of the run's prompt to the cache. Returns true when it was
 * there already. */
bool si_prefix_use(struct si_prefix *p, const struct si_run *run);

/* Returns {"events":[...]} with numbers above `after`. */
json_t *si_prefix_events(struct si_prefix *p, uint64_t after);

/* ---- si_stream ---- */

enum MHD_Result si_stream_run(struct si_req *req);

#endif
