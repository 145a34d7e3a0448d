/*
 * fg_gw_state - states of a request, and which one may follow which.
 *
 * A request is in FG_GWREQ_DECIDING between two steps. It leaves FG_GWREQ_SENT
 * only when its send has ended, so that a request that an endpoint may be
 * running never counts as one that waits, and is never refused as not run.
 */
#ifndef FG_GW_STATE_H
#define FG_GW_STATE_H

#include <stdbool.h>

enum fg_gwreq_state {
	FG_GWREQ_DECIDING = 0,
	FG_GWREQ_WAIT_TOTALS = 1, /* for totals in flight, from owners */
	FG_GWREQ_WAIT_LOAD = 2,	  /* for an adapter to be loaded at `ep` */
	FG_GWREQ_WAIT_RETRY = 3,  /* for the next choice of an endpoint */
	FG_GWREQ_SENT = 4,
	FG_GWREQ_WAIT_ORIGIN = 5, /* for the version that began its stream */
	FG_GWREQ_WAIT_QUOTA = 6,  /* for tokens of its workspace's limit */
	FG_GWREQ_STATES = 7,
};

/* Returns whether a request in `from` may enter `to`, other than by the end of
 * its send. */
bool fg_gwreq_may_enter(enum fg_gwreq_state from, enum fg_gwreq_state to);

/* Name of a state in the log. */
const char *fg_gwreq_state_name(enum fg_gwreq_state state);

#endif
