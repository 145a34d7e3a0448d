/* Declarations shared by the files of lib/quota. */
#ifndef FG_QUOTA_PRIV_H
#define FG_QUOTA_PRIV_H

#include "quota/fg_quota.h"

#define LEASES_MAX 4
/* A view of the instances that is older than this names no holder: this
 * instance was paused, and another one may keep its accounts. */
#define VIEW_MAX_MS 500
/* Instances that are passed over for a workspace at a time. */
#define PASSED_MAX 4

struct member {
	struct fg_quota_member pub;
	fg_ms listed_at;
	fg_ms alive_at;	    /* last seen alive; 0: never */
	fg_ms gone_at;	    /* no longer listed since; 0: is listed */
	fg_ms silent_until; /* answers no asks: not a holder until then */
	fg_ms checked_at;   /* last check of whether it answers */
	uint32_t check;	    /* number of that ask; 0: it was answered */
	uint32_t check_tries;
	uint64_t check_workspace;
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
	/* The holder in view number holder_view, so that requests do not walk
	 * all instances. */
	uint64_t holder;
	uint64_t holder_view;
	bool is_busy; /* in fg_quota.busy */
	bool held;
	bool contested; /* another instance may keep it too */
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
	GPtrArray *held;	/* struct workspace *, kept here */
	GPtrArray *busy;   /* those with an ask or waiters, and some more */
	GArray *decisions; /* struct fg_quota_decision, oldest first */
	GArray *members;   /* struct member */
	fg_ms members_at;  /* of the view */
	uint64_t view;	   /* grows with each change that may move an account */
	fg_ms view_until;  /* an instance is passed over until then */
	bool complete;
	bool leaving;
	uint32_t n_alive;  /* other instances */
	double kept_back;  /* part of each rate, for instances not seen */
	fg_ms majority_at; /* more than half were last seen alive; 0: never */
	fg_ms complete_at; /* all instances were first known; 0: not yet */
	fg_ms checks_due;  /* FG_MS_NEVER: none is under way */
	uint32_t n_asks;   /* numbers of asks given out */
	struct fg_quota_stats stats;
};

struct workspace *fgq_find(const struct fg_quota *q, uint64_t id);
struct member *fgq_find_member(const struct fg_quota *q, uint64_t id);

/* True while more than half of the known instances are alive. */
bool fgq_has_majority(const struct fg_quota *q, fg_ms now);

/* Returns the instance that keeps the account in this instance's view; 0: none.
 * With `ask`, those that said they do not are passed over, and then this
 * instance is never returned unless it is the holder anyway. */
uint64_t fgq_holder(struct fg_quota *q, struct workspace *w, fg_ms now,
		    bool ask);

/* Adds what came since, up to `cap`. */
void fgq_refill(struct bucket *b, fg_ms now, double rate_per_s, double cap);

/* Begins or ends keeping the account, as fgq_holder() says. Returns whether it
 * is kept here. */
bool fgq_update_held(struct fg_quota *q, struct workspace *w, fg_ms now);

/* Grants tokens from the account kept here: `wanted`, fewer but at least
 * `need`, or none. *retry_ms is 0 when all were granted. */
uint32_t fgq_grant(struct fg_quota *q, struct workspace *w, fg_ms now,
		   uint32_t wanted, uint32_t need, uint32_t *retry_ms);

/* Recomputes whether another instance may keep the account too. */
void fgq_update_contested(const struct fg_quota *q, struct workspace *w,
			  fg_ms now);

/* Takes the tokens from this instance's own share, while no holder is reached.
 */
bool fgq_take_share(struct fg_quota *q, struct workspace *w, fg_ms now,
		    uint32_t tokens);

void fgq_credit(struct workspace *w, uint32_t tokens);

/* Keeps a decision for fg_quota_next_decision(), and counts it. */
void fgq_decide(struct fg_quota *q, uint64_t workspace,
		const struct waiter *waiter, enum fg_quota_verdict verdict,
		uint32_t retry_ms);

/* Repeats the checks that were not answered, and notes the instances that did
 * not answer several. An instance passed over for an account kept here is
 * checked again all the time, so that two accounts of a workspace are in use
 * only briefly. */
void fgq_step_checks(struct fg_quota *q, fg_ms now);

/* The instance did not answer: it is no holder for a while. */
void fgq_note_silent(struct fg_quota *q, struct member *m, fg_ms now);

#endif
