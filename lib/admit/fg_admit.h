/*
 * fg_admit - who gets in, what is tried again, and what is kept out.
 *
 * Pure, in three parts: limits per caller, retry budgets, and suspects.
 */
#ifndef FG_ADMIT_H
#define FG_ADMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/fg_clock.h"
#include "base/fg_outcome.h"
#include "peer/fg_msg.h"

/* ---- Limits per caller: token buckets, forgotten when idle ---- */

struct fg_limits;

/* max_callers bounds memory; beyond it the longest idle one is forgotten. */
struct fg_limits *fg_limits_new(uint32_t max_callers);
void fg_limits_free(struct fg_limits *l);

/* Takes one of rate_per_s (burst: 2 s worth; 0: no limit). Returns true, or
 * false with the time until the next in *retry_after_ms. */
bool fg_limits_take(struct fg_limits *l, fg_ms now, const char *caller,
		    uint32_t rate_per_s, uint32_t *retry_after_ms);

/* ---- Admission by deadline ---- */

/*
 * Service times seen per class, as a decayed histogram. fg_estimate_fits()
 * says whether a request with budget_ms left can be finished when it must
 * first wait wait_ms; a class without samples always fits. On false,
 * *retry_after_ms says when the queue in front of it will be gone. A class
 * that has had no sample for a while fits too, lest refusals keep an outdated
 * estimate alive; for this, fg_estimate_tick() is called about each second.
 */
struct fg_estimate;
struct fg_estimate *fg_estimate_new(void);
void fg_estimate_free(struct fg_estimate *e);
void fg_estimate_add(struct fg_estimate *e, fg_ms now, enum fg_class cls,
		     uint32_t service_ms);
void fg_estimate_tick(struct fg_estimate *e, fg_ms now);

/* Service time that `percentile` of 100 stay below; 0 without samples. */
uint32_t fg_estimate_percentile_ms(const struct fg_estimate *e,
				   enum fg_class cls, uint32_t percentile);
bool fg_estimate_fits(const struct fg_estimate *e, enum fg_class cls,
		      uint32_t budget_ms, uint32_t wait_ms,
		      uint32_t *retry_after_ms);

/* ---- Retries ---- */

struct fg_retry_conf {
	uint32_t percent;      /* retries per 100 first attempts */
	uint32_t min_per_10s;  /* always allowed, for small sites */
	uint32_t attempts_max; /* of one request, the first included */
	uint32_t backoff_ms; /* before the second attempt; doubles, jittered */
};

struct fg_retry;
struct fg_retry *fg_retry_new(const struct fg_retry_conf *conf, uint64_t seed);
void fg_retry_free(struct fg_retry *r);
void fg_retry_set_percent(struct fg_retry *r, uint32_t percent);

/* Counts a first attempt of the class. */
void fg_retry_count_first(struct fg_retry *r, fg_ms now, enum fg_class cls);

/*
 * May a request of the class be tried again? `attempts` were made, `left_ms`
 * remain, `ran` says whether the last one may have run. Filings that may have
 * run are never repeated. Returns true with the wait in *backoff_ms, and takes
 * one from the budget.
 */
bool fg_retry_take(struct fg_retry *r, fg_ms now, enum fg_class cls,
		   uint32_t attempts, uint32_t left_ms, bool ran,
		   uint32_t *backoff_ms);

/* Repeats of the class that the budget still allows. */
uint32_t fg_retry_budget_left(struct fg_retry *r, fg_ms now, enum fg_class cls);

/* ---- Suspects: requests that crash endpoints ---- */

/*
 * A request is known by its fingerprint (adapter, version, hash of the body).
 * When an endpoint dies, every request that was running on it is under
 * suspicion; a suspect runs on at most one endpoint at a time over the whole
 * system, alone among suspects on that endpoint, and is refused after two
 * crashes of two different endpoints under it. An endpoint that dies under
 * many different fingerprints is sick: its crashes blame no request. One death
 * under a batch of many is not such a sign, several without a fingerprint in
 * common are. A request that kills one endpoint again and again is refused
 * after twice as many deaths. A suspect that ran well is cleared.
 *
 * Verdicts are computed from sets of events, so repeats and the order of
 * arrival do not matter. Two instances that start a suspect at the same moment
 * do not see each other's STARTED in time; both runs are counted.
 */
enum fg_suspect_event {
	FG_SUSPECT_CRASH = 1,	 /* endpoint died while it ran */
	FG_SUSPECT_STARTED = 2,	 /* a suspect starts to run */
	FG_SUSPECT_FINISHED = 3, /* it ended and the endpoint lives */
	FG_SUSPECT_CLEARED = 4,	 /* an operator cleared it */
	FG_SUSPECT_NOT_RUN = 5,	 /* it ended without having run */
};

enum fg_suspect_verdict {
	FG_SUSPECT_ALLOW = 1,
	FG_SUSPECT_RUN_ALONE = 2, /* may run; report STARTED and FINISHED */
	FG_SUSPECT_WAIT = 3,	  /* runs elsewhere just now; ask again */
	FG_SUSPECT_REFUSE = 4,
};

struct fg_suspects_conf {
	uint32_t retention_ms;	 /* forgotten after this long without a crash */
	uint32_t refuse_crashes; /* refused from this many crashes on */
	uint32_t faulty_ep_window_ms; /* window for telling sick endpoints */
	uint32_t faulty_ep_deaths;    /* deaths with no other sign of blame */
	uint32_t entries_max;	      /* bounds memory */
};

struct fg_suspects;
struct fg_suspects *fg_suspects_new(const struct fg_suspects_conf *conf);
void fg_suspects_free(struct fg_suspects *s);

uint64_t fg_fingerprint(fg_av av, uint64_t body_hash);

/* Takes an event, local or told by a peer (`by` is the instance, `req` makes
 * repeats harmless: its low 8 bits number the attempts of one request, the
 * rest names the request over all instances). Returns true if peers must be
 * told. */
bool fg_suspects_handle_event(struct fg_suspects *s, fg_ms now, uint64_t by,
			      const fg_suspect *ev);
enum fg_suspect_verdict fg_suspects_check(const struct fg_suspects *s,
					  fg_ms now, uint64_t fingerprint,
					  uint32_t *retry_after_ms);

/* Does any suspect run on the endpoint? Then no other may be sent there. */
bool fg_suspects_is_running_on(const struct fg_suspects *s, fg_ms now,
			       uint64_t ep);

/* An instance died: what it ran is no longer running. */
void fg_suspects_handle_dead_instance(struct fg_suspects *s, uint64_t by);

struct fg_suspect_view {
	uint64_t fingerprint;
	fg_av av;
	uint32_t crashes;
	bool refused;
	bool running;
	fg_ms last_crash_at;
};

/* Copies up to max entries, newest first; returns how many there are. */
size_t fg_suspects_list(const struct fg_suspects *s, fg_ms now,
			struct fg_suspect_view *out, size_t max);

/* An operator clears one here; returns false if it has no crash to clear.
 * Peers are told by an event CLEARED with an id of its own in `req`. */
bool fg_suspects_clear(struct fg_suspects *s, uint64_t fingerprint);

#endif
