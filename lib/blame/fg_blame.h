/*
 * fg_blame - attributes crashes of endpoints to shared parts of prompts, and
 * blocks requests that have such a part.
 *
 * A part that crashes endpoints crashes each endpoint that begins to answer a
 * request with it, whatever else the request holds. Requests with the part may
 * come at any instance, and no two need to be alike. Other requests that were
 * lost at the same endpoints have parts too, so that one crash proves nothing.
 *
 * Each death of an endpoint is kept with the parts of the requests that it was
 * answering. A part that ran whole after a death is not to blame for it: a run
 * is whole if its answer was complete and the endpoint outlived it by
 * FG_BLAME_SETTLE_MS. Parts are blamed greedily, the one that explains most
 * deaths first; the deaths that it explains count for no other part. A part is
 * blocked once it is blamed for block_deaths deaths. One that many of the
 * recent requests had (FG_BLAME_COMMON_SHARE) is in many deaths by chance, and
 * is blocked for block_run_deaths deaths. One that ran whole before needs as
 * many, and run_quiet_ms without a whole run.
 *
 * Instances exchange notes about deaths, whole runs of parts that a death
 * names, and blocked parts. Notes carry state and not changes: they may be
 * lost, repeated and reordered. An instance that starts gets the blocked parts
 * from the others.
 *
 * A blocked part that has fewer than final_deaths deaths is tried again: one
 * request with it is let through after trial_after_ms to twice that. Its whole
 * run lifts the block at all instances. If neither a whole run nor a death
 * follows there is another trial, after FG_BLAME_TRIAL_BACKOFF times as long.
 * After a death in a trial, with final_deaths deaths, or if the deaths came
 * over more than FG_BLAME_BURST_MS without a whole run in between, the next
 * trial is a late one, after late_trial_after_ms to twice that. There are up to
 * trials_max trials in all.
 *
 * Blocks are also stored, some time after the verdict, since all instances may
 * end together. So is the evidence: deaths that no block explains, and the
 * parts with most whole runs. Without it, an instance that starts would blame
 * parts that most requests carry, and a bad part would never reach its count if
 * the instances end more often than it crashes endpoints.
 *
 * Memory is bounded by the maxima of the configuration. Does no I/O, reads no
 * clock, and draws random numbers only from its seed. Calls emit through
 * struct fg_blame_ops, which must not call back into the same object.
 */
#ifndef FG_BLAME_H
#define FG_BLAME_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/fg_clock.h"

/* Time by which an endpoint must outlive a run. */
#define FG_BLAME_SETTLE_MS 1000
/* Reports of one endpoint within this time are about one death. */
#define FG_BLAME_DEATH_SPAN_MS 2500
/* Deaths within this time are one burst, in which sound parts are blamed by
 * chance. */
#define FG_BLAME_BURST_MS 8000
#define FG_BLAME_TRIAL_BACKOFF 6
/* A part is common if one in so many recent requests at the instance has it. */
#define FG_BLAME_COMMON_SHARE 8
/* Notes of stored evidence. */
#define FG_BLAME_EVIDENCE_MAX 96

struct fg_blame_conf {
	uint32_t block_deaths;	   /* of a part that never ran whole */
	uint32_t block_run_deaths; /* of a part that ran whole before */
	uint32_t run_quiet_ms;	   /* and not since this long */
	uint32_t final_deaths;	   /* not tried again from then on */
	uint32_t trial_after_ms;
	uint32_t trials_max;	      /* of a blocked part */
	uint32_t late_trial_after_ms; /* 0: no late trials */
	uint32_t keep_ms;	      /* a death counts for this long */
	uint32_t deaths_max;	      /* kept */
	uint32_t whole_max;	      /* parts whose last whole run is kept */
	uint32_t blocked_max;	      /* blocked parts */
	uint64_t seed;
};

enum fg_blame_kind {
	FG_BLAME_LOSS = 1,    /* a part of a request lost in a death */
	FG_BLAME_WHOLE = 2,   /* a request with the part ran whole */
	FG_BLAME_BLOCKED = 3, /* the part is blocked */
	FG_BLAME_TRIAL = 4,   /* one request with it was let through */
};

/* A message to the other instances. */
struct fg_blame_note {
	enum fg_blame_kind kind;
	uint64_t part;
	/* Time since the death, the run, the first death that counts, or the
	 * trial. */
	uint32_t age_ms;
	uint64_t ep;	 /* LOSS: key of the endpoint */
	uint32_t depth;	 /* LOSS: index of the part in the prompt */
	bool begun;	 /* LOSS: the endpoint had begun to answer */
	uint32_t deaths; /* BLOCKED: that the part may have caused */
	uint32_t proven; /* BLOCKED: of these, without another cause */
	uint32_t trials; /* BLOCKED, TRIAL: so far, this one included */
	/* LOSS, in stored evidence only: the endpoint had begun to answer a
	 * request. */
	bool some_begun;
	uint32_t runs; /* WHOLE, in stored evidence only: so many */
};

struct fg_blame_ops {
	/* Sends a note to all other instances. */
	void (*send)(void *ctx, const struct fg_blame_note *note);
	/* A BLOCKED note is to be stored, in place of an earlier one about the
	 * part. Repeated until fg_blame_on_stored(). */
	void (*save)(void *ctx, const struct fg_blame_note *note);
	/* The stored note about the part is to be removed. */
	void (*unsave)(void *ctx, uint64_t part);
	/* The evidence (LOSS and WHOLE notes) is to be stored, in place of the
	 * instance's earlier one. Returns false if it cannot be stored now,
	 * which includes that the stored one was not read yet. Repeated until
	 * fg_blame_on_evidence() gets it. */
	bool (*save_evidence)(void *ctx, const struct fg_blame_note *notes,
			      uint32_t n);
	/* A part was blocked or let through again. */
	void (*changed)(void *ctx, uint64_t part, bool blocked,
			uint32_t deaths);
};

struct fg_blame;

struct fg_blame *fg_blame_new(const struct fg_blame_conf *conf,
			      const struct fg_blame_ops *ops, void *ctx);

/* NULL is allowed. */
void fg_blame_free(struct fg_blame *b);

/* The endpoint `ep` died at `at` (not after `now`) under a request with these
 * parts (uint64_t[], in the order of the prompt; NULL: none). `begun`: it had
 * begun to answer it shortly before. */
void fg_blame_on_loss(struct fg_blame *b, fg_ms now, uint64_t ep, fg_ms at,
		      bool begun, GBytes *parts);

/* `ep` has given a complete answer to a request with these parts. */
void fg_blame_on_answer(struct fg_blame *b, fg_ms now, uint64_t ep,
			GBytes *parts);

/* A note of another instance. Unknown kinds are ignored. */
void fg_blame_on_note(struct fg_blame *b, fg_ms now,
		      const struct fg_blame_note *note);

/* A note that ops->save() got was read from the store. */
void fg_blame_on_stored(struct fg_blame *b, fg_ms now,
			const struct fg_blame_note *note);

/* Stored evidence was read. `own`: it is the one that save_evidence()
 * replaces. The times are those of writing, so that runs and deaths that were
 * not known before count as from before the first call for this object. */
void fg_blame_on_evidence(struct fg_blame *b, fg_ms now,
			  const struct fg_blame_note *notes, uint32_t n,
			  bool own);

/* The stored notes may be gone: all are saved again. */
void fg_blame_save_again(struct fg_blame *b);

/* Returns whether a new request with these parts may be sent to an endpoint.
 * True for a request with a blocked part begins a trial. */
bool fg_blame_admit(struct fg_blame *b, fg_ms now, GBytes *parts);

/* Returns whether one of the parts is blocked. */
bool fg_blame_is_blocked(const struct fg_blame *b, GBytes *parts);

/* Returns whether a request with these parts that was lost may be sent to
 * another endpoint: no part is blocked, and none would be with one more death.
 */
bool fg_blame_may_resend(const struct fg_blame *b, GBytes *parts);

/* Sends the notes that are due. Call it some times a second. */
void fg_blame_tick(struct fg_blame *b, fg_ms now);

/* Writes a BLOCKED note for each blocked part, at most `max`, the most recently
 * requested first. Returns their number. */
uint32_t fg_blame_list(const struct fg_blame *b, fg_ms now,
		       struct fg_blame_note *out, uint32_t max);

/* Writes LOSS notes of recent deaths that no blocked part explains, at most
 * `max`, the newest first, for an instance that missed them. Returns their
 * number. */
uint32_t fg_blame_list_open(const struct fg_blame *b, fg_ms now,
			    struct fg_blame_note *out, uint32_t max);

/* Number of blocked parts. */
uint32_t fg_blame_count(const struct fg_blame *b);

#endif
