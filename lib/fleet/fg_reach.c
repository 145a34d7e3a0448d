#include "fleet/fg_reach.h"

/* Time without tunnels to an endpoint that other instances did not reach. */
#define TUNNEL_RETRY_MS 1000
/* Instances that do not reach an endpoint until it counts as ended: the first
 * may be cut from it too. */
#define TUNNELS_TRIED 2
/* One endpoint in doubt tells nothing of the network. */
#define CUT_ENDPOINTS_MIN 2

bool fg_reach_note_ok(struct fg_fleet_ep *ep)
{
	bool was_doubtful = fg_reach_is_doubtful(ep);

	ep->unreached_since = 0;
	return was_doubtful;
}

bool fg_reach_note_failed(struct fg_fleet_ep *ep, fg_ms now)
{
	bool was_doubtful = fg_reach_is_doubtful(ep);

	if (!was_doubtful)
		ep->unreached_since = now;
	return !was_doubtful;
}

bool fg_reach_is_doubtful(const struct fg_fleet_ep *ep)
{
	return ep->unreached_since != 0;
}

uint32_t fg_reach_count_doubtful(const struct fg_fleet *f, fg_ms now,
				 uint32_t *usable)
{
	const GPtrArray *all = fg_fleet_all(f);
	uint32_t n = 0;

	*usable = 0;
	for (guint i = 0; i < all->len; i++) {
		const struct fg_fleet_ep *ep = all->pdata[i];

		if (!fg_ep_is_usable(ep, now))
			continue;
		(*usable)++;
		n += fg_reach_is_doubtful(ep);
	}
	return n;
}

void fg_reach_note_tunnel(struct fg_fleet_ep *ep, fg_ms now, bool ok)
{
	if (ok) {
		ep->tunneled_at = now;
		ep->tunnels_failed = 0;
	} else if (++ep->tunnels_failed >= TUNNELS_TRIED) {
		ep->tunnel_failed_at = now;
		ep->tunnels_failed = 0;
	}
}

bool fg_reach_needs_tunnel(const struct fg_fleet_ep *ep, fg_ms now, bool cut)
{
	if (!cut && !fg_reach_is_doubtful(ep))
		return false;
	return ep->tunnel_failed_at == 0 ||
	       now - ep->tunnel_failed_at >= TUNNEL_RETRY_MS;
}

static bool is_reached_by_others(const struct fg_fleet *f)
{
	const GPtrArray *all = fg_fleet_all(f);

	for (guint i = 0; i < all->len; i++) {
		const struct fg_fleet_ep *ep = all->pdata[i];

		if (fg_reach_is_doubtful(ep) &&
		    ep->tunneled_at > ep->unreached_since)
			return true;
	}
	return false;
}

bool fg_reach_is_cut(const struct fg_fleet *f, fg_ms now, bool was_cut)
{
	uint32_t usable;
	uint32_t doubtful = fg_reach_count_doubtful(f, now, &usable);

	if (doubtful < CUT_ENDPOINTS_MIN || 2 * doubtful <= usable)
		return false;
	return was_cut || is_reached_by_others(f);
}
