/*
 * fg_admit - admission control: rate limits per caller, admission by deadline,
 * retry budgets, and refusal of requests that crash endpoints.
 *
 * Does no I/O and reads no clock: the caller passes the time. A _new() result
 * is owned by the caller and freed with the _free() of the same type.
 */
#ifndef FG_ADMIT_H
#define FG_ADMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/fg_clock.h"
#include "base/fg_outcome.h"
#include "peer/fg_msg.h"

/* ---- Limits per caller: token buckets ---- */

struct fg_limits;

/* `max_callers` bounds memory: beyond it the bucket that has been idle for
 * longest is evicted. */
struct fg_limits *fg_limits_new(uint32_t max_callers);
void fg_limits_free(struct fg_limits *l);

/* Takes one token from the caller's bucket, which refills at rate_per_s (0: no
 * limit) and holds 2 s worth of tokens. Returns false if the bucket is empty,
 * with the time until the next token in *retry_after_ms. */
bool fg_limits_take(struct fg_limits *l, fg_ms now, const char *caller,
		    uint32_t rate_per_s, uint32_t *retry_after_ms);

/* ---- Admission by deadline ---- */

/* Estimates service times per class from a decayed histogram of samples. */
struct fg_estimate;
struct fg_estimate *fg_estimate_new(void);
void fg_estimate_free(struct fg_estimate *e);

/* Adds a measured service time. */
void fg_estimate_add(struct fg_estimate *e, fg_ms now, enum fg_class cls,
		     uint32_t service_ms);

/* Decays the histograms. Call it about once a second. */
void fg_estimate_tick(struct fg_estimate *e, fg_ms now);

/* Returns the service time at `percentile` (0..100), 0 without samples. */
uint32_t fg_estimate_percentile_ms(const struct fg_estimate *e,
				   enum fg_class cls, uint32_t percentile);

/*
 * Returns whether a request with `budget_ms` until its deadline can finish if
 * it waits `wait_ms` first. On false, *retry_after_ms is the time until the
 * queue ahead of the request is gone, at least 1 s. A class without recent
 * samples always fits: refused requests give no samples, so refusals would
 * otherwise keep an outdated estimate alive.
 */
bool fg_estimate_fits(const struct fg_estimate *e, enum fg_class cls,
		      uint32_t budget_ms, uint32_t wait_ms,
		      uint32_t *retry_after_ms);

/* ---- Retries ---- */

struct fg_retry_conf {
	uint32_t percent;      /* retries per 100 first attempts */
	uint32_t min_per_10s;  /* always allowed, for sites with low traffic */
	uint32_t attempts_max; /* per request, including the first */
	uint32_t backoff_ms; /* before the second attempt; doubles, jittered */
};

struct fg_retry;
struct fg_retry *fg_retry_new(const struct fg_retry_conf *conf, uint64_t seed);
void fg_retry_free(struct fg_retry *r);
void fg_retry_set_percent(struct fg_retry *r, uint32_t percent);

/* Counts a first attempt of the class. */
void fg_retry_count_first(struct fg_retry *r, fg_ms now, enum fg_class cls);

/*
 * Takes one retry from the budget of the class. `attempts` is the number of
 * attempts made so far, `left_ms` the time until the deadline, `ran` whether
 * the last attempt may have run. Returns true with the time to wait before the
 * retry in *backoff_ms. Returns false, and takes nothing, if the budget or
 * the attempts are used up, if the deadline comes before the retry, or for a
 * filing that may have run.
 */
bool fg_retry_take(struct fg_retry *r, fg_ms now, enum fg_class cls,
		   uint32_t attempts, uint32_t left_ms, bool ran,
		   uint32_t *backoff_ms);

/* Returns how many retries the budget of the class still allows. */
uint32_t fg_retry_budget_left(struct fg_retry *r, fg_ms now, enum fg_class cls);

/* ---- Suspects: requests that crash endpoints ---- */

/*
 * A request is identified by its fingerprint (adapter, version, hash of the
 * body). When an endpoint crashes, every request that was running on it becomes
 * a suspect. A suspect runs on at most one endpoint at a time in the whole
 * system, and an endpoint runs at most one suspect at a time. A suspect is
 * refused after refuse_crashes crashes of different endpoints. A request that
 * crashes a single endpoint repeatedly is refused after twice as many. A
 * suspect that ended without a crash is cleared.
 *
 * An endpoint that crashes under many different fingerprints is faulty, and its
 * crashes blame no request. One crash under a large batch does not make it
 * faulty. Several crashes without a fingerprint in common do.
 *
 * Verdicts are computed from sets of events, so repeats and the order of
 * arrival do not matter. Two instances that start a suspect at the same moment
 * do not receive each other's STARTED in time, and both runs are counted.
 */
enum fg_suspect_event {
	FG_SUSPECT_CRASH = 1,	 /* endpoint died while the request ran */
	FG_SUSPECT_STARTED = 2,	 /* a suspect was dispatched */
	FG_SUSPECT_FINISHED = 3, /* request ended, endpoint is alive */
	FG_SUSPECT_CLEARED = 4,	 /* an operator cleared the suspect */
	FG_SUSPECT_NOT_RUN = 5,	 /* request ended without having run */
};

enum fg_suspect_verdict {
	FG_SUSPECT_ALLOW = 1,
	FG_SUSPECT_RUN_ALONE = 2, /* may run; report STARTED and FINISHED */
	FG_SUSPECT_WAIT = 3,	  /* runs elsewhere; check again later */
	FG_SUSPECT_REFUSE = 4,
};

struct fg_suspects_conf {
	uint32_t retention_ms;	      /* kept this long after the last crash */
	uint32_t refuse_crashes;      /* refused from this many crashes on */
	uint32_t faulty_ep_window_ms; /* to detect faulty endpoints */
	uint32_t faulty_ep_deaths;    /* with no fingerprint in common */
	uint32_t entries_max;	      /* bounds memory */
};

struct fg_suspects;
struct fg_suspects *fg_suspects_new(const struct fg_suspects_conf *conf);
void fg_suspects_free(struct fg_suspects *s);

/* Returns the fingerprint of a request. */
uint64_t fg_fingerprint(fg_av av, uint64_t body_hash);

/* Records an event of this instance or of a peer. `by` is the instance. The
 * low 8 bits of `req` number the attempts of one request, the other bits
 * identify the request across all instances, so that a repeated event has no
 * effect. Returns true if the event is new and peers must be notified. */
bool fg_suspects_handle_event(struct fg_suspects *s, fg_ms now, uint64_t by,
			      const fg_suspect *ev);

/* Returns what to do with a request. WAIT sets *retry_after_ms, every other
 * verdict sets it to 0. */
enum fg_suspect_verdict fg_suspects_check(const struct fg_suspects *s,
					  fg_ms now, uint64_t fingerprint,
					  uint32_t *retry_after_ms);

/* Returns whether a suspect is running on the endpoint. No other suspect may be
 * sent there then. */
bool fg_suspects_is_running_on(const struct fg_suspects *s, fg_ms now,
			       uint64_t ep);

/* An instance died: its attempts without a reported end no longer count as
 * running, and their results are unknown. */
void fg_suspects_handle_dead_instance(struct fg_suspects *s, uint64_t by);

struct fg_suspect_view {
	uint64_t fingerprint;
	fg_av av;
	uint32_t crashes;
	bool refused;
	bool running;
	fg_ms last_crash_at;
};

/* Copies up to `max` suspects, the most recent crash first. Returns the total
 * number of suspects, which may exceed `max`. */
size_t fg_suspects_list(const struct fg_suspects *s, fg_ms now,
			struct fg_suspect_view *out, size_t max);

/* An operator clears a suspect on this instance. Returns false if there is no
 * crash to clear. The caller notifies peers by an event CLEARED with a unique
 * `req`. */
bool fg_suspects_clear(struct fg_suspects *s, uint64_t fingerprint);

#endif
