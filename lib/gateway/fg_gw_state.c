/* States of a request. */
#include "gateway/fg_gw_state.h"

#include <stdint.h>

#define BIT(state) (1u << (state))
#define PLACING                                                                \
	(BIT(FG_GWREQ_DECIDING) | BIT(FG_GWREQ_WAIT_TOTALS) |                  \
	 BIT(FG_GWREQ_WAIT_LOAD) | BIT(FG_GWREQ_WAIT_RETRY))

struct state {
	const char *name;
	uint32_t from; /* states that it may follow */
};

/* A key that was withdrawn is decided on again before a send, so that a request
 * that is being placed may wait for the limit of another workspace. */
static const struct state states[FG_GWREQ_STATES] = {
	[FG_GWREQ_DECIDING] = { "deciding", PLACING |
						    BIT(FG_GWREQ_WAIT_ORIGIN) |
						    BIT(FG_GWREQ_WAIT_QUOTA) },
	[FG_GWREQ_WAIT_TOTALS] = { "wait_totals",
				   PLACING | BIT(FG_GWREQ_WAIT_ORIGIN) },
	[FG_GWREQ_WAIT_LOAD] = { "wait_load",
				 PLACING | BIT(FG_GWREQ_WAIT_ORIGIN) },
	[FG_GWREQ_WAIT_RETRY] = { "wait_retry",
				  PLACING | BIT(FG_GWREQ_WAIT_ORIGIN) },
	[FG_GWREQ_SENT] = { "sent", PLACING | BIT(FG_GWREQ_WAIT_ORIGIN) },
	[FG_GWREQ_WAIT_ORIGIN] = { "wait_origin", PLACING },
	[FG_GWREQ_WAIT_QUOTA] = { "wait_quota",
				  PLACING | BIT(FG_GWREQ_WAIT_ORIGIN) },
};

bool fg_gwreq_may_enter(enum fg_gwreq_state from, enum fg_gwreq_state to)
{
	return from < FG_GWREQ_STATES && to < FG_GWREQ_STATES &&
	       (states[to].from & BIT(from)) != 0;
}

const char *fg_gwreq_state_name(enum fg_gwreq_state state)
{
	return state < FG_GWREQ_STATES ? states[state].name : "unknown";
}
