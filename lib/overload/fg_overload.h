/*
 * fg_overload - which requests give way when a service has too little room.
 *
 * One object serves all services of an instance, which decides alone and for
 * its own requests. fg_overload_decide() is called when a request is about to
 * be placed, and again before each later choice of an endpoint. The other calls
 * pass in what was measured. docs/design/overload.md has the rules and why they
 * were chosen.
 *
 * Ranks are urgencies as sent to engines, from 0 (most urgent) to
 * FG_OVERLOAD_RANKS - 1. Work is the tokens of a request, or 1 where requests
 * have none; it must be above 0.
 *
 * Does no I/O and reads no clock: the caller passes the time, which must not go
 * back, and the random generator. Not thread-safe.
 */
#ifndef FG_OVERLOAD_H
#define FG_OVERLOAD_H

#include <stdbool.h>
#include <stdint.h>

#include "base/fg_clock.h"
#include "base/fg_rand.h"

#define FG_OVERLOAD_RANKS 10
/* Longest retry time that is given out. */
#define FG_OVERLOAD_RETRY_MAX_MS 2000

struct fg_overload;

struct fg_overload *fg_overload_new(void);
void fg_overload_free(struct fg_overload *o); /* NULL is allowed */

/* A request, and the service as it is estimated at the cheapest endpoint. */
struct fg_overload_ask {
	uint64_t service; /* hash of the name */
	uint32_t rank;
	uint64_t workspace;    /* hash of the name; 0: none */
	uint64_t fingerprint;  /* equal for a caller's repeated request */
	uint32_t waited_ms;    /* since its arrival */
	uint32_t left_ms;      /* until its deadline */
	uint32_t objective_ms; /* for its first token; 0: its deadline */
	uint32_t work;
	uint32_t wait_ms; /* estimated time to the first token */
	uint32_t load_ms; /* part of wait_ms that makes the adapter resident */
	/* Parts of these that no other request causes. */
	uint32_t own_wait_ms;
	uint32_t own_load_ms;
	bool needs_load; /* the adapter is neither resident nor being loaded */
	uint32_t load_waited_ms; /* time waited so far for a load or a slot */
	uint32_t slots;		 /* of the service; 0: unknown */
	uint32_t slots_taken;
	uint32_t waiting; /* requests or loads that wait at the service */
	/* At a service of which this instance knows only its own requests:
	 * their number and that of instances, which are taken to have as many
	 * each. 0 instances: wait_ms counts those of all. */
	uint32_t own_running;
	uint32_t instances;
	double share_per_s; /* work a second that is this instance's equal
			       share of the service */
	double loads_per_s; /* the same of loads */
	bool again;	    /* it was admitted before */
};

enum fg_overload_why {
	FG_OVERLOAD_SEND = 0,	  /* also: wait for the load */
	FG_OVERLOAD_DEADLINE = 1, /* cannot be answered in its time */
	FG_OVERLOAD_RANK = 2,	  /* gave way to another rank or its own */
	FG_OVERLOAD_SHARE = 3,	  /* its workspace is beyond its share */
	FG_OVERLOAD_WHY_COUNT = 4,
};

struct fg_overload_verdict {
	enum fg_overload_why why;
	uint32_t retry_ms;    /* unless SEND: when to come back */
	uint32_t estimate_ms; /* corrected time to the first token */
	uint32_t objective_ms;
	uint32_t gave_way_to; /* rank */
};

/* Returns the reason code for log lines and counters; NULL for SEND. */
const char *fg_overload_reason(enum fg_overload_why why);

struct fg_overload_verdict fg_overload_decide(struct fg_overload *o, fg_ms now,
					      const struct fg_overload_ask *ask,
					      struct fg_rand *rand);

/* An answer began (or, plain, ended). */
struct fg_overload_answer {
	uint64_t service;
	uint32_t rank;
	uint32_t work;
	uint32_t expected_ms; /* from the send, without a load */
	uint32_t took_ms;     /* from the send */
	uint32_t whole_ms;    /* from the arrival */
	uint32_t objective_ms;
};
void fg_overload_note_answer(struct fg_overload *o, fg_ms now,
			     const struct fg_overload_answer *answer);

/* An endpoint refused a request as full. */
void fg_overload_note_full(struct fg_overload *o, fg_ms now, uint64_t service,
			   uint32_t rank);

/* A wait for a load that was estimated as `expected_ms` ended. If it ended
 * without the load, `took_ms` is less than the load takes and is used only when
 * it exceeds the estimate. */
void fg_overload_note_load(struct fg_overload *o, fg_ms now, uint64_t service,
			   uint32_t expected_ms, uint32_t took_ms, bool loaded);

/* One rank of a service in the last second. */
struct fg_overload_counts {
	uint32_t asked;
	uint32_t sent;
	uint32_t refused;
	uint32_t late; /* answers after their objective */
};

struct fg_overload_view {
	uint64_t service;
	double run_pressure; /* above 1: too little room */
	double load_pressure;
	/* Part of the work asked that is sent; 1: nothing is shed. */
	double run_part;
	double load_part;
	struct fg_overload_counts ranks[FG_OVERLOAD_RANKS];
};

/* Fills *out for a service. Returns false when nothing was asked of it. */
bool fg_overload_view(struct fg_overload *o, fg_ms now, uint64_t service,
		      struct fg_overload_view *out);

#endif
