/* Declarations shared by the files of lib/quota. */
#ifndef FG_QUOTA_PRIV_H
#define FG_QUOTA_PRIV_H

#include "quota/fg_quota.h"

#define LEASES_MAX 4
/* Instances that are passed over for a workspace at a time. */
#define PASSED_MAX 4

struct member {
	struct fg_quota_member pub;
	fg_ms listed_at;
	fg_ms alive_at;	    /* last seen alive; 0: never */
	fg_ms silent_until; /* answers no asks: not a holder until then */
	fg_ms checked_at;   /* last check of whether it answers */
	uint32_t check;	    /* number of that ask; 0: it was answered */
};

struct bucket {
	double level;
	fg_ms at; /* of the level */
};

struct lease {
	uint32_t tokens;
	fg_ms until;
};

/* A request that waits for tokens. */
struct waiter {
	uint64_t request;
	uint32_t tokens;
	fg_ms since;
};

/* An ask that is under way. */
struct ask {
	uint64_t to; /* 0: none is under way */
	uint32_t request;
	uint32_t wanted;
	uint32_t returned;
	uint32_t tries; /* of this instance */
	fg_ms sent_at;
};

/* The newest ask of an instance that was answered. */
struct answered {
	uint64_t instance;
	struct fg_quota_reply reply;
};

struct workspace {
	uint64_t id;
	struct fg_quota_limit limit;
	bool seen; /* set since fg_quota_end_limits() */

	/* Account, in use while this instance is the holder. */
	bool held;
	struct bucket account;
	fg_ms promised_until; /* time told to the last refused request */
	GArray *answered;     /* struct answered */

	/* Leases. */
	struct lease leases[LEASES_MAX];
	uint32_t n_leases;
	uint32_t unspent; /* lapsed, to be returned */
	GArray *waiters;  /* struct waiter, oldest first */
	struct ask ask;
	fg_ms ask_again_at;	     /* FG_MS_NEVER: no ask is delayed */
	uint64_t passed[PASSED_MAX]; /* said that they are not the holder */
	fg_ms passed_until[PASSED_MAX];
	uint32_t n_passed;
	fg_ms refused_until; /* no ask before; nothing was left */
	fg_ms retry_at;	     /* told with that refusal */
	double demand_per_s;
	fg_ms demand_at;
	struct bucket share;
};

struct fg_quota {
	struct fg_quota_conf conf;
	struct fg_quota_ops ops;
	void *ctx;
	GHashTable *workspaces; /* id -> struct workspace * */
	GArray *members;	/* struct member */
	bool complete;
	bool leaving;
	uint32_t n_alive;  /* other instances */
	double kept_back;  /* part of each rate, for instances not seen */
	fg_ms majority_at; /* more than half were last seen alive; 0: never */
	fg_ms complete_at; /* all instances were first known; 0: not yet */
	uint32_t n_asks;   /* numbers of asks given out */
	struct fg_quota_stats stats;
};

struct workspace *fgq_find(const struct fg_quota *q, uint64_t id);
struct member *fgq_find_member(const struct fg_quota *q, uint64_t id);

/* True while more than half of the known instances are alive. */
bool fgq_has_majority(const struct fg_quota *q);

/* Returns the instance that keeps the account in this instance's view; 0: none.
 * With `ask`, those that said they do not are passed over, and then this
 * instance is never returned unless it is the holder anyway. */
uint64_t fgq_holder(const struct fg_quota *q, const struct workspace *w,
		    fg_ms now, bool ask);

/* Adds what came since, up to `cap`. */
void fgq_refill(struct bucket *b, fg_ms now, double rate_per_s, double cap);

/* Begins or ends keeping the account, as fgq_holder() says. Returns whether it
 * is kept here. */
bool fgq_update_held(struct fg_quota *q, struct workspace *w, fg_ms now);

/* Grants tokens from the account kept here: `wanted`, fewer but at least
 * `need`, or none. *retry_ms is 0 when all were granted. */
uint32_t fgq_grant(struct fg_quota *q, struct workspace *w, fg_ms now,
		   uint32_t wanted, uint32_t need, uint32_t *retry_ms);

void fgq_credit(struct workspace *w, uint32_t tokens);

/* The instance did not answer: it is no holder for a while. */
void fgq_note_silent(struct member *m, fg_ms now);

#endif
