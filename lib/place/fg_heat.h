/*
 * fg_heat - popularity of adapters: arrival counts with exponential decay.
 *
 * Pure.
 */
#ifndef FG_HEAT_H
#define FG_HEAT_H

#include <stddef.h>
#include <stdint.h>

#include "base/fg_clock.h"
#include "peer/fg_msg.h"

struct fg_heat_table;

#define FG_HEAT_NEVER (INT64_MIN / 4)

/* Counts halve every half_life_ms; adapters below a small floor are dropped,
 * so that idle ones cost nothing. */
struct fg_heat_table *fg_heat_new(uint32_t half_life_ms);
void fg_heat_free(struct fg_heat_table *h);
void fg_heat_add(struct fg_heat_table *h, fg_ms now, fg_av av, uint32_t count);
double fg_heat_get(const struct fg_heat_table *h, fg_ms now, fg_av av);
size_t fg_heat_size(const struct fg_heat_table *h);

/* Time of the last count; FG_HEAT_NEVER, long past, when there is none. */
fg_ms fg_heat_last(const struct fg_heat_table *h, fg_av av);

#endif
