#include "places/fg_places.h"

#include <glib.h>

/* For listening sockets, the event loop, signals and files. */
#define OWN_DESCRIPTORS 24
/* Parts of the others: for callers, for each other port, and for what endpoints
 * and callers leave to the rest. */
#define CALLERS_DIVISOR 2
#define OTHER_PORT_DIVISOR 8
#define KEPT_DIVISOR 8

static uint32_t connection_descriptors(uint32_t descriptors)
{
	return descriptors - MIN(descriptors, OWN_DESCRIPTORS);
}

bool fg_places_yields_before(const struct fg_places_view *a,
			     const struct fg_places_view *b)
{
	if (a->answered != b->answered)
		return !a->answered;
	return a->waits_since < b->waits_since;
}

static struct fg_places_bound bound_of(uint32_t descriptors, uint32_t divisor,
				       uint32_t connections_max)
{
	uint32_t part = connection_descriptors(descriptors) / divisor;
	struct fg_places_bound bound = {
		.connections_max = MIN(connections_max, part),
		.descriptors_max = fg_places_for_endpoints(descriptors),
	};

	return bound;
}

struct fg_places_bound fg_places_for_callers(uint32_t descriptors,
					     uint32_t connections_max)
{
	return bound_of(descriptors, CALLERS_DIVISOR, connections_max);
}

struct fg_places_bound fg_places_for_other(uint32_t descriptors,
					   uint32_t connections_max)
{
	return bound_of(descriptors, OTHER_PORT_DIVISOR, connections_max);
}

uint32_t fg_places_for_endpoints(uint32_t descriptors)
{
	uint32_t n = connection_descriptors(descriptors);

	return n - n / KEPT_DIVISOR;
}
