/* fg_blame_priv - state shared by the files of lib/blame. */
#ifndef FG_BLAME_PRIV_H
#define FG_BLAME_PRIV_H

#include "base/fg_rand.h"
#include "blame/fg_blame.h"

/* Parts kept of one death. */
#define FG_BLAME_MEMBERS_MAX 64

/* Whole runs of a part are counted up to this. */
#define FG_BLAME_RUNS_MAX 1000000

/* Verdicts can change for this long after a report, as others arrive. */
#define FG_BLAME_JUDGE_MS 3000

struct fg_blame_member {
	uint64_t part;
	uint32_t depth;
	bool begun;
};

struct fg_blame_death {
	uint64_t ep;
	fg_ms at;
	fg_ms reported_at; /* when it became known here */
	uint32_t n_members;
	bool has_begun; /* a member has begun: the others do not count */
	bool stored;	/* known from stored evidence only: `at` is inexact */
	struct fg_blame_member members[FG_BLAME_MEMBERS_MAX];
};

/* Weight of a death for a part: of a request that had begun, or that waited at
 * an endpoint where no other had begun, and of one that waited beside some. A
 * head may be lost with the connection, so that a request that had begun looks
 * as if it had waited. */
#define FG_BLAME_POINTS_FULL 2
#define FG_BLAME_POINTS_WAITING 1

/* A part that a kept death names. */
struct fg_blame_named {
	uint64_t part;
	uint32_t points; /* of all kept deaths, FG_BLAME_POINTS_ */
	fg_ms newest_death_at;
	bool told; /* the others know of a whole run since that death became
		      known, or of the last one before */
};

struct fg_blame_whole {
	uint64_t part;
	fg_ms at;
	uint32_t runs; /* known here */
};

struct fg_blame_asked {
	uint64_t part;
	uint32_t requests;
};

struct fg_blame_block {
	uint64_t part;
	uint32_t deaths;
	uint32_t proven;
	fg_ms first_death_at; /* that counts */
	fg_ms requested_at;
	fg_ms trial_at;	     /* earliest next trial */
	fg_ms late_trial_at; /* the same of a late one */
	bool scattered;	     /* its deaths were no burst */
	uint32_t trials;
	/* As in the store; 0 deaths: not there. */
	uint32_t saved_deaths;
	uint32_t saved_trials;
	fg_ms save_at;		  /* next time to save, if it is not */
	uint32_t deaths_at_trial; /* the last one */
};

struct fg_blame_pending {
	struct fg_blame_note note;
	fg_ms at; /* of the event */
	fg_ms due_at;
	uint32_t sends_left;
};

/* A complete answer whose endpoint has yet to outlive it. */
struct fg_blame_answer {
	uint64_t ep;
	fg_ms at;
	GBytes *parts;
};

struct fg_blame {
	struct fg_blame_conf conf;
	const struct fg_blame_ops *ops;
	void *ctx;
	struct fg_rand rand;
	GArray *deaths;	   /* struct fg_blame_death, oldest first */
	GHashTable *named; /* part -> struct fg_blame_named */
	/* Two generations of part -> struct fg_blame_whole: when the newer one
	 * is full, the older one is dropped. */
	GHashTable *whole[2];
	GHashTable *blocked; /* part -> struct fg_blame_block */
	GArray *outbox;	     /* struct fg_blame_pending */
	GQueue *answers;     /* struct fg_blame_answer, oldest first */
	fg_ms judge_until;   /* evidence may still change the verdicts */
	fg_ms started_at;    /* first call; INT64_MIN: none yet */
	/* Digests of the notes of this instance's stored evidence. */
	GHashTable *saved_evidence;
	fg_ms save_losses_at; /* earliest next times */
	fg_ms save_whole_at;
	/* Parts of the recent requests -> struct fg_blame_asked, in two
	 * generations, and the number of requests of each. */
	GHashTable *asked[2];
	uint32_t n_asked[2];
};

/* Returns whether many of the recent requests had the part. */
bool fg_blame_is_common(const struct fg_blame *b, uint64_t part);

/* Returns the time of the part's last whole run, INT64_MIN when none is
 * known. */
fg_ms fg_blame_whole_at(const struct fg_blame *b, uint64_t part);

/* Returns the number of known whole runs. */
uint32_t fg_blame_whole_runs(const struct fg_blame *b, uint64_t part);

/* Takes over a number of whole runs, the last one at `at`. */
void fg_blame_store_whole(struct fg_blame *b, uint64_t part, fg_ms at,
			  uint32_t runs);

/* Returns the death of the endpoint at about that time, or NULL. */
struct fg_blame_death *fg_blame_find_death(const struct fg_blame *b,
					   uint64_t ep, fg_ms at);

/* Adds the part to the death that a LOSS note is about. Returns false when it
 * says nothing new. */
bool fg_blame_add_member(struct fg_blame *b, fg_ms now,
			 const struct fg_blame_note *note, fg_ms at);

/* Lifts the block of the part if a whole run speaks against it. */
void fg_blame_lift_if_acquitted(struct fg_blame *b, fg_ms now, uint64_t part);

/* Applies verdicts that the evidence supports. */
void fg_blame_apply_verdicts(struct fg_blame *b, fg_ms now);

/* Saves the evidence if the stored one lacks some. */
void fg_blame_save_evidence(struct fg_blame *b, fg_ms now);

/* A part that is to blame. */
struct fg_blame_verdict {
	uint64_t part;
	uint32_t deaths; /* that it may have caused */
	uint32_t proven; /* of these, without another cause */
	fg_ms first_death_at;
};

/* Appends the parts to blame to `out` (struct fg_blame_verdict). */
void fg_blame_judge(const struct fg_blame *b, fg_ms now, GArray *out);

#endif
