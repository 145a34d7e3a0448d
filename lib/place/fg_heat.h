/*
 * fg_heat - popularity of adapters: arrival counts with exponential decay.
 *
 * The module does no I/O and reads no clock; the caller passes the time.
 */
#ifndef FG_HEAT_H
#define FG_HEAT_H

#include <stddef.h>
#include <stdint.h>

#include "base/fg_clock.h"
#include "peer/fg_msg.h"

struct fg_heat_table;

#define FG_HEAT_NEVER (INT64_MIN / 4)

/* Creates a table whose counts halve every half_life_ms (> 0). Adapters whose
 * count has become negligible are removed to bound memory. Free the table with
 * fg_heat_free(), which accepts NULL. */
struct fg_heat_table *fg_heat_new(uint32_t half_life_ms);
void fg_heat_free(struct fg_heat_table *h);

/* Adds `count` arrivals of av. */
void fg_heat_add(struct fg_heat_table *h, fg_ms now, fg_av av, uint32_t count);

/* Returns the decayed count of av; 0 when av is not in the table. */
double fg_heat_get(const struct fg_heat_table *h, fg_ms now, fg_av av);

/* Returns the number of adapters in the table. */
size_t fg_heat_size(const struct fg_heat_table *h);

/* Returns the time of the last fg_heat_add() for av; FG_HEAT_NEVER, a time in
 * the distant past, when av is not in the table. */
fg_ms fg_heat_last(const struct fg_heat_table *h, fg_av av);

#endif
