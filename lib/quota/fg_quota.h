/*
 * fg_quota - limits of workspaces that all instances keep together.
 *
 * Each workspace has one account, a token bucket, at its holder: the first live
 * instance in the rendezvous hashing order of the workspace. The other
 * instances ask the holder for tokens; a grant is a lease that lapses after
 * FG_QUOTA_LEASE_MS, so that tokens granted to an instance that dies are lost
 * and never granted twice. What an asker does not spend it returns with a later
 * ask.
 *
 * An instance is holder only while it sees more than half of the known
 * instances alive. One that is no longer listed is known for FG_QUOTA_GONE_MS
 * more, unless another incarnation of it is listed: by then no other instance
 * sees it alive, so that the majorities before and after its end meet. An
 * account that it did not keep before starts with
 * fg_quota_conf.initial_permille of a second's rate and initial_tokens, so that
 * ends of instances refill no burst. An instance that reaches no holder admits
 * from a share of its own, the rate divided by the number of known instances;
 * the holder keeps that share back for each instance that it does not see
 * alive. Both end FG_QUOTA_SHARE_MS after the instance was last seen.
 *
 * Does no I/O and reads no clock. The caller passes events and the time, and
 * sends the asks that it is given through fg_quota_ops, from which it must call
 * nothing here. Decisions on waiting requests are kept until the caller takes
 * them with fg_quota_next_decision(): no call here ends a request of its
 * caller.
 */
#ifndef FG_QUOTA_H
#define FG_QUOTA_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/fg_clock.h"
#include "base/fg_rand.h"

/* Validity of a lease. */
#define FG_QUOTA_LEASE_MS 500
/* An ask without an answer is repeated after this time: twice the round trip
 * between regions. */
#define FG_QUOTA_ASK_TIMEOUT_MS 50
/* Longest wait of a request for its tokens. */
#define FG_QUOTA_WAIT_MAX_MS 300
/* Time for which the share of an instance that is not seen alive is usable
 * there. */
#define FG_QUOTA_SHARE_MS 10000
/* Time for which an instance counts that is not listed any more. */
#define FG_QUOTA_GONE_MS (FG_QUOTA_SHARE_MS + FG_QUOTA_LEASE_MS)

enum fg_quota_verdict {
	FG_QUOTA_ADMITTED = 1,
	FG_QUOTA_REFUSED = 2, /* the limit is used up */
	FG_QUOTA_UNKNOWN = 3, /* no holder answers, and the share is used up */
	FG_QUOTA_WAITING = 4, /* decided later: fg_quota_next_decision() */
};

struct fg_quota_limit {
	double rate_per_s;
	double burst;
};

struct fg_quota_conf {
	uint64_t self;	    /* incarnation of this instance */
	uint64_t self_hash; /* of its name, which survives restarts */
	uint32_t initial_permille;
	uint32_t initial_tokens;
};

/* Another instance of the gateway. */
struct fg_quota_member {
	uint64_t id;   /* incarnation */
	uint64_t hash; /* of its name */
	bool alive;    /* answers asks, as far as is known */
};

struct fg_quota_ask {
	uint32_t request; /* number of the ask */
	uint64_t workspace;
	uint32_t tokens;   /* wanted; 0: a check whether the holder answers */
	uint32_t need;	   /* fewer are of no use */
	uint32_t returned; /* of earlier leases, not spent */
};

struct fg_quota_reply {
	uint32_t request;
	uint64_t workspace;
	bool holder;	   /* false: another instance keeps the account */
	uint32_t tokens;   /* granted */
	uint32_t valid_ms; /* of the grant */
	uint32_t retry_ms; /* until what was not granted can be; 0: all was */
};

struct fg_quota_ops {
	void (*send_ask)(void *ctx, uint64_t to,
			 const struct fg_quota_ask *ask);
};

/* How a request that waited is decided. */
struct fg_quota_decision {
	uint64_t workspace;
	uint64_t request; /* as passed to fg_quota_take() */
	uint32_t tokens;
	enum fg_quota_verdict verdict; /* all but FG_QUOTA_WAITING */
	uint32_t retry_ms;	       /* as by fg_quota_take() */
};

/* Totals of all workspaces since the start. */
struct fg_quota_stats {
	uint64_t asks;	   /* sent */
	uint64_t repeats;  /* asks sent again or to a further instance */
	uint64_t admitted; /* requests */
	uint64_t refused;
	uint64_t unknown;
	uint64_t by_share;	 /* requests admitted from the own share */
	uint64_t granted_tokens; /* as holder */
	uint64_t lapsed_tokens;	 /* of leases, here */
	uint64_t takeovers;	 /* accounts that this instance began to keep */
};

struct fg_quota;

/* `conf` and `ops` are copied. */
struct fg_quota *fg_quota_new(const struct fg_quota_conf *conf,
			      const struct fg_quota_ops *ops, void *ctx);

/* Frees the state; requests that wait are not decided any more. */
void fg_quota_free(struct fg_quota *q);

/* The other known instances. Call it when they changed and some times a second.
 * Before the first call, and while `complete` is false, this instance holds no
 * account. */
void fg_quota_set_members(struct fg_quota *q, fg_ms now,
			  const struct fg_quota_member *members, uint32_t n,
			  bool complete);

/* This instance stops: it no longer holds accounts, which others take over, and
 * asks them. From now on fg_quota_tick() returns unspent tokens, which no later
 * ask would. */
void fg_quota_leave(struct fg_quota *q);

/* Sets or changes the limit of a workspace. Its level stays, but is at most the
 * new burst. */
void fg_quota_set_limit(struct fg_quota *q, fg_ms now, uint64_t workspace,
			const struct fg_quota_limit *limit);

/* Removes the workspaces whose limit was not set since the last call. Requests
 * that wait for their tokens are decided: admitted. */
void fg_quota_end_limits(struct fg_quota *q, fg_ms now);

/* Takes the tokens of a request. `request` names it in its decision when the
 * result is FG_QUOTA_WAITING. With FG_QUOTA_REFUSED and
 * FG_QUOTA_UNKNOWN, *retry_ms is when the tokens will be there. A workspace
 * without a limit admits everything. */
enum fg_quota_verdict fg_quota_take(struct fg_quota *q, fg_ms now,
				    uint64_t workspace, uint32_t tokens,
				    uint64_t request, uint32_t *retry_ms);

/* Takes the oldest decision out. Returns false when there is none. */
bool fg_quota_next_decision(struct fg_quota *q, struct fg_quota_decision *out);

/* A request that waits has ended. If it is decided, and its decision was not
 * taken out, the decision is dropped and its tokens are given back. */
void fg_quota_cancel(struct fg_quota *q, fg_ms now, uint64_t workspace,
		     uint64_t request);

/* An admitted request ended without having run. */
void fg_quota_give_back(struct fg_quota *q, fg_ms now, uint64_t workspace,
			uint32_t tokens);

/* Another instance asks: fills in the answer. */
void fg_quota_answer(struct fg_quota *q, fg_ms now, uint64_t from,
		     const struct fg_quota_ask *ask,
		     struct fg_quota_reply *reply);

/* Another instance answered. */
void fg_quota_on_reply(struct fg_quota *q, fg_ms now, uint64_t from,
		       const struct fg_quota_reply *reply);

/* Repeats asks, decides requests that waited too long, and drops lapsed
 * leases. Call it at fg_quota_next_due(), or later. */
void fg_quota_tick(struct fg_quota *q, fg_ms now);

/* Returns when the next step is due; FG_MS_NEVER: none. */
fg_ms fg_quota_next_due(const struct fg_quota *q);

/* Returns whether fg_quota_next_decision() has one. */
bool fg_quota_has_decisions(const struct fg_quota *q);

void fg_quota_get_stats(const struct fg_quota *q, struct fg_quota_stats *out);

/* What this instance knows of one workspace, for operators. */
struct fg_quota_view {
	uint64_t workspace;
	uint64_t holder; /* instance asked; 0: none is known */
	bool held_here;
	double level;	    /* of the account, while held here */
	double rate_per_s;  /* in force at the holder, while held here */
	uint32_t leased;    /* tokens left of leases here */
	uint32_t waiting;   /* requests */
	double asked_per_s; /* tokens of callers' requests here */
};

/* Fills in at most `max` views; returns the number of workspaces. */
uint32_t fg_quota_list(struct fg_quota *q, fg_ms now, struct fg_quota_view *out,
		       uint32_t max);

#endif
