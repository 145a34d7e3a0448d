/* State of fg_overload; shared by its files. */
#ifndef FG_OVERLOAD_PRIV_H
#define FG_OVERLOAD_PRIV_H

#include "overload/fg_overload.h"

#define RANKS FG_OVERLOAD_RANKS
#define SERVICES_MAX 16
#define SHARES_MAX 64
#define PROMISES_MAX 256
#define BUCKETS 10
/* Time constant of the work asked. */
#define DEMAND_TAU_MS 4000.0

/* A mean that forgets, and returns to 0 when nothing is added. */
struct fg_ov_mean {
	double sum;
	double n;
	fg_ms at;
};

enum {
	ON_TIME = 0,
	LATE = 1,
	CLASSES = 2
};
enum {
	RUN = 0,
	LOAD = 1,
	GATES = 2
};

struct fg_ov_gate {
	struct fg_ov_mean pressure[RANKS];
	fg_ms confirmed_at;	      /* last sample that shows pressure */
	double asked[RANKS][CLASSES]; /* decayed work */
	double sent[RANKS];	      /* decayed work */
	double served;		      /* decayed work */
	double returned;	      /* decayed work of promised requests */
	double room;		      /* decayed work; 0: open */
	double share;		      /* as `room`, of this instance */
	fg_ms stepped_at;
	fg_ms shrunk_at;
	double wait_ms;	   /* of the last sample that shows pressure */
	double next_place; /* time of the next retry to promise */
};

/* Work that a workspace asked in one rank. */
struct fg_ov_share {
	uint64_t workspace;
	uint32_t rank;
	fg_ms used_at; /* 0: free */
	double asked[GATES];
};

struct fg_ov_svc {
	uint64_t service;
	fg_ms used_at;
	fg_ms decayed_at;
	struct fg_ov_gate gates[GATES];
	struct fg_ov_share shares[SHARES_MAX];
	struct fg_ov_mean excess[RANKS]; /* measured beyond estimated time */
	double least_ms; /* a recent answer at least took; 0: unknown */
	fg_ms least_at;
	double load_took; /* decayed sums */
	double load_expected;
	struct fg_overload_counts counts[BUCKETS][RANKS];
	int64_t bucket; /* number of the newest */
};

struct fg_ov_promise {
	uint64_t fingerprint;
	fg_ms at; /* 0: free */
};

struct fg_overload {
	struct fg_ov_svc *svcs[SERVICES_MAX];
	uint32_t n_svcs;
	struct fg_ov_promise promises[PROMISES_MAX];
};

/* Returns the state of a service or NULL; fg_ov_svc_get() creates it and drops
 * the least recently used one when there are too many. */
struct fg_ov_svc *fg_ov_svc_find(const struct fg_overload *o, uint64_t service);
struct fg_ov_svc *fg_ov_svc_get(struct fg_overload *o, fg_ms now,
				uint64_t service);

/* Brings decayed sums and the counts of the last second up to `now`. */
void fg_ov_svc_refresh(struct fg_ov_svc *s, fg_ms now);

/* Counts of the current tenth of a second. */
struct fg_overload_counts *fg_ov_counts_now(struct fg_ov_svc *s, uint32_t rank);

/* Entry of a workspace in a rank; replaces the least recently used one. */
struct fg_ov_share *fg_ov_share_get(struct fg_ov_svc *s, fg_ms now,
				    uint64_t workspace, uint32_t rank);

void fg_ov_mean_add(struct fg_ov_mean *m, fg_ms now, double x);
double fg_ov_mean_get(const struct fg_ov_mean *m, fg_ms now);

/* Decayed work asked, of all ranks. */
double fg_ov_gate_demand(const struct fg_ov_gate *g);

/* Most urgent rank that is late; RANKS when none is. */
uint32_t fg_ov_gate_late_rank(const struct fg_ov_gate *g, fg_ms now);

/* Adds how long a request of a rank waits, in ms and relative to the time it
 * can. */
void fg_ov_gate_sample(struct fg_ov_gate *g, fg_ms now, uint32_t rank, double x,
		       double wait_ms);

/* Adjusts the room; call it before each use. */
void fg_ov_gate_step(struct fg_ov_gate *g, fg_ms now);

/* Whether requests are shed now. */
bool fg_ov_gate_sheds(const struct fg_ov_gate *g, fg_ms now);

/* Parts of each rank that are sent, and those that are sent at least. */
void fg_ov_gate_parts(const struct fg_ov_gate *g, double parts[RANKS],
		      double floors[RANKS]);

/* Part of the requests like this one that is sent; *by_share tells that its
 * workspace gets less than its rank. */
double fg_ov_part(const struct fg_ov_svc *s, int gate, uint32_t rank,
		  uint64_t workspace, int class, bool *by_share);

#endif
