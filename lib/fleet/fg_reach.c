#include "fleet/fg_reach.h"

bool fg_reach_note_ok(struct fg_fleet_ep *ep, fg_ms now)
{
	bool was_doubtful = fg_reach_is_doubtful(ep);

	(void)now;
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
