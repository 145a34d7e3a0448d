#include "fleet/fg_brittle.h"

#include <string.h>

/* An endpoint that has not been heard of for this long counts as sound. */
#define FORGET_MS 10000
/* Slots of an endpoint that states none. */
#define SLOTS_DEFAULT 1

bool fg_brittle_set(struct fg_fleet_ep *ep, fg_ms now)
{
	bool was_brittle = ep->brittle_at != 0;

	ep->brittle_at = now;
	return !was_brittle;
}

bool fg_brittle_clear(struct fg_fleet_ep *ep)
{
	bool was_brittle = ep->brittle_at != 0;

	ep->brittle_at = 0;
	return was_brittle;
}

static uint32_t share_of(const struct fg_fleet_ep *ep, uint64_t self,
			 const uint64_t *others, uint32_t n_others)
{
	uint32_t slots = ep->facts.slots == 0 ? SLOTS_DEFAULT : ep->facts.slots;
	uint32_t n = n_others + 1;
	bool extra =
		fg_ep_instance_rank(ep, self, others, n_others) < slots % n;

	return slots / n + extra;
}

/* An endpoint that has restarted has not said anything yet. */
static bool is_service_brittle(const GPtrArray *all, const char *service)
{
	for (guint i = 0; i < all->len; i++) {
		const struct fg_fleet_ep *ep = all->pdata[i];

		if (ep->brittle_at != 0 &&
		    strcmp(ep->facts.service, service) == 0)
			return true;
	}
	return false;
}

void fg_brittle_update(struct fg_fleet *f, fg_ms now, uint64_t self,
		       const uint64_t *others, uint32_t n_others)
{
	const GPtrArray *all = fg_fleet_all(f);
	bool any = false;

	for (guint i = 0; i < all->len; i++) {
		struct fg_fleet_ep *ep = all->pdata[i];

		if (now - ep->brittle_at > FORGET_MS)
			ep->brittle_at = 0;
		any = any || ep->brittle_at != 0;
	}
	for (guint i = 0; i < all->len; i++) {
		struct fg_fleet_ep *ep = all->pdata[i];

		ep->shared_room =
			any && is_service_brittle(all, ep->facts.service);
		if (ep->shared_room)
			ep->room = share_of(ep, self, others, n_others);
	}
}

bool fg_brittle_allows(const struct fg_fleet_ep *ep)
{
	return !ep->shared_room || ep->running < ep->room;
}
