#include "fleet/fg_brittle.h"

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

/* Returns the set of services of which an endpoint says that it is brittle. */
static GHashTable *find_brittle_services(const GPtrArray *all, fg_ms now)
{
	GHashTable *services = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < all->len; i++) {
		struct fg_fleet_ep *ep = all->pdata[i];

		if (now - ep->brittle_at > FORGET_MS)
			ep->brittle_at = 0;
		if (ep->brittle_at != 0)
			g_hash_table_add(services, ep->facts.service);
	}
	return services;
}

void fg_brittle_update(struct fg_fleet *f, fg_ms now, uint64_t self,
		       const uint64_t *others, uint32_t n_others)
{
	const GPtrArray *all = fg_fleet_all(f);
	GHashTable *services = find_brittle_services(all, now);

	for (guint i = 0; i < all->len; i++) {
		struct fg_fleet_ep *ep = all->pdata[i];

		/* Also one that has restarted and has not said it yet. */
		ep->shared_room =
			g_hash_table_contains(services, ep->facts.service);
		if (ep->shared_room)
			ep->room = share_of(ep, self, others, n_others);
	}
	g_hash_table_unref(services);
}

bool fg_brittle_allows(const struct fg_fleet_ep *ep)
{
	return !ep->shared_room || ep->running < ep->room;
}
