/* fg_blame_priv - state shared by the files of lib/blame. */
#ifndef FG_BLAME_PRIV_H
#define FG_BLAME_PRIV_H

#include "base/fg_rand.h"
#include "blame/fg_blame.h"

/* Parts kept of one death. */
#define FG_BLAME_MEMBERS_MAX 64

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
	struct fg_blame_member members[FG_BLAME_MEMBERS_MAX];
};

/* A part that a kept death names. */
struct fg_blame_named {
	uint64_t part;
	fg_ms newest_death_at;
	bool told; /* the others know of a whole run since that death became
		      known, or of the last one before */
};

struct fg_blame_whole {
	uint64_t part;
	fg_ms at;
};

struct fg_blame_block {
	uint64_t part;
	uint32_t deaths;
	uint32_t proven;
	fg_ms first_death_at; /* that counts */
	fg_ms requested_at;
	fg_ms trial_at; /* earliest next trial */
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
};

/* Returns the time of the part's last whole run, INT64_MIN when none is
 * known. */
fg_ms fg_blame_whole_at(const struct fg_blame *b, uint64_t part);

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
