/*
 * fg_ackset - which instances must acknowledge a change.
 *
 * Pure. Live instances must. One whose lease has lapsed need not, unless it
 * may still be serving: fg_member lets an instance that cannot reach the
 * platform go on while it reaches more than half of its region's instances.
 * Lapsed instances can only do so where they are more than half of their
 * region, and there all of them must acknowledge. In a region cut the changes
 * stay pending, with the names of the far side, until it is back.
 */
#ifndef FG_ACKSET_H
#define FG_ACKSET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* An instance that has a lease row, fresh or lapsed. Instances that were
 * stopped as planned have none. */
struct fg_ack_member {
	uint64_t id;
	const char *region;
	bool live; /* lease fresh */
};

/* Writes the ids that must acknowledge, at most n, to ids; returns how many
 * there are. Their order is that of m. */
size_t fg_ack_required(const struct fg_ack_member *m, size_t n, uint64_t *ids);

#endif
