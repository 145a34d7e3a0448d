/*
 * fg_places - how many connections each port of an instance keeps open, and
 * which of them gives its place to a new one.
 *
 * Each port has places of its own, so that callers who fill one cannot shut out
 * those of another. A new connection takes the place of the one that keeps it
 * with the least use: first those that never had an answer, then those that had
 * one; among these, the one that has waited longest without a complete request.
 * Connections with a request in progress keep their place; their time limits
 * end them.
 *
 * Descriptors bound all connections together: callers may use half of them, and
 * callers and endpoints leave an eighth to connections to the store and to
 * other instances.
 *
 * Does no I/O and reads no clock.
 */
#ifndef FG_PLACES_H
#define FG_PLACES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/fg_clock.h"

/* Fewest descriptors with which an instance can serve. */
#define FG_PLACES_DESCRIPTORS_MIN 64

/* A connection, as far as it matters for its place. */
struct fg_places_view {
	bool busy;	   /* a request is in progress, or it is a tunnel */
	bool answered;	   /* it had an answer before */
	fg_ms waits_since; /* without a complete request */
};

/* Returns whether `a` gives its place before `b`. Neither is busy. */
bool fg_places_yields_before(const struct fg_places_view *a,
			     const struct fg_places_view *b);

/* What a port may use. */
struct fg_places_bound {
	uint32_t connections_max; /* of the port */
	uint32_t descriptors_max; /* of the process, with a new connection */
};

/* Bounds of the port of callers, and of another port with `connections_max`
 * places, in a process that may open `descriptors` of them. */
struct fg_places_bound fg_places_for_callers(uint32_t descriptors,
					     uint32_t connections_max);
struct fg_places_bound fg_places_for_other(uint32_t descriptors,
					   uint32_t connections_max);

/* Returns how many descriptors may be in use after a connection to an endpoint
 * is opened. */
uint32_t fg_places_for_endpoints(uint32_t descriptors);

#endif
