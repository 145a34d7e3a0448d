/*
 * fg_popularity - popularity of adapters: arrival counts with exponential
 * decay.
 *
 * The module does no I/O and reads no clock; the caller passes the time.
 */
#ifndef FG_POPULARITY_H
#define FG_POPULARITY_H

#include <stddef.h>
#include <stdint.h>

#include "base/fg_clock.h"
#include "peer/fg_msg.h"

struct fg_popularity_table;

#define FG_POPULARITY_NEVER (INT64_MIN / 4)

/* Creates a table whose counts halve every half_life_ms (> 0). Adapters whose
 * count has become negligible are removed to bound memory. Free the table with
 * fg_popularity_free(), which accepts NULL. */
struct fg_popularity_table *fg_popularity_new(uint32_t half_life_ms);
void fg_popularity_free(struct fg_popularity_table *t);

/* Adds `count` arrivals of av. */
void fg_popularity_add(struct fg_popularity_table *t, fg_ms now, fg_av av,
		       uint32_t count);

/* Returns the decayed count of av; 0 when av is not in the table. */
double fg_popularity_get(const struct fg_popularity_table *t, fg_ms now,
			 fg_av av);

/* Returns the number of adapters in the table. */
size_t fg_popularity_size(const struct fg_popularity_table *t);

/* Returns the time of the last fg_popularity_add() for av; FG_POPULARITY_NEVER,
 * a time in the distant past, when av is not in the table. */
fg_ms fg_popularity_last(const struct fg_popularity_table *t, fg_av av);

#endif
