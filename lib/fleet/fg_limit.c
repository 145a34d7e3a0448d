#include "fleet/fg_limit.h"

#include <math.h>

/* The number of instances that send in turn: this many, and one for each
 * 1 / SENDERS_PER_LIMIT requests a second. */
#define SENDERS_MIN 2
#define SENDERS_PER_LIMIT 1.6
#define TURN_VALID_MS 2000

static uint32_t count_senders(double per_s, uint32_t n)
{
	double senders = SENDERS_MIN + floor(per_s * SENDERS_PER_LIMIT);

	return (uint32_t)MIN(senders, n);
}

/* A turn of an instance that is not among the senders that was not used within
 * TURN_VALID_MS passes: there are many of them. */
static void pass_old_turns(struct fg_fleet_ep *ep, fg_ms now)
{
	fg_ms late_ms = now - TURN_VALID_MS - ep->limit_next_at;

	if (late_ms > 0 && ep->limit_interval_ms > 0)
		ep->limit_next_at += (late_ms / ep->limit_interval_ms + 1) *
				     ep->limit_interval_ms;
}

void fg_limit_update(struct fg_fleet_ep *ep, fg_ms now, uint64_t self,
		     const uint64_t *others, uint32_t n_others,
		     struct fg_rand *rand)
{
	double per_s = MAX(ep->limit_per_s, FG_LIMIT_MIN_PER_S);
	uint32_t n_senders = count_senders(per_s, n_others + 1);
	bool is_sender;
	fg_ms interval_ms;

	if (!ep->limited)
		return;
	is_sender = fg_ep_instance_rank(ep, self, others, n_others) < n_senders;
	interval_ms = (fg_ms)(FG_MS_PER_S *
			      (is_sender ? n_senders / FG_LIMIT_USED
					 : (n_others + 1 - n_senders) /
						   FG_LIMIT_USED_BY_OTHERS) /
			      per_s);
	if (!ep->limit_shared || interval_ms < ep->limit_interval_ms)
		ep->limit_next_at =
			MIN(ep->limit_shared ? ep->limit_next_at : FG_MS_NEVER,
			    now + (fg_ms)(fg_rand_unit(rand) * interval_ms));
	ep->limit_shared = true;
	ep->limit_interval_ms = interval_ms;
	if (!is_sender)
		pass_old_turns(ep, now);
}

bool fg_limit_allows(const struct fg_fleet_ep *ep, fg_ms now)
{
	return !ep->limited || (ep->limit_shared && now >= ep->limit_next_at);
}

void fg_limit_take(struct fg_fleet_ep *ep, fg_ms now)
{
	if (ep->limited)
		ep->limit_next_at = now + ep->limit_interval_ms;
}
