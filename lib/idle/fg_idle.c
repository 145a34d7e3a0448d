#include "idle/fg_idle.h"

#include <stdbool.h>

/* Returns whether limit `a` is at least as long as `b`. */
static bool is_as_long(uint32_t a, uint32_t b)
{
	return a == 0 || (b != 0 && a >= b);
}

static uint32_t longer(uint32_t a, uint32_t b)
{
	return is_as_long(a, b) ? a : b;
}

void fg_idle_init(struct fg_idle *i, uint32_t limit_ms)
{
	*i = (struct fg_idle){ .limit_ms = limit_ms };
}

void fg_idle_set(struct fg_idle *i, fg_ms now, uint32_t limit_ms)
{
	struct fg_idle_earlier replaced = { i->limit_ms, now };

	if (limit_ms == i->limit_ms)
		return;
	i->limit_ms = limit_ms;
	/* A longer limit that was in force later covers shorter ones. */
	while (i->n_earlier > 0 &&
	       is_as_long(replaced.limit_ms,
			  i->earlier[i->n_earlier - 1].limit_ms))
		i->n_earlier--;
	if (i->n_earlier == FG_IDLE_EARLIER_MAX) {
		/* The second one is the shorter, and was in force later. */
		i->earlier[0].until = i->earlier[1].until;
		for (uint32_t k = 1; k + 1 < FG_IDLE_EARLIER_MAX; k++)
			i->earlier[k] = i->earlier[k + 1];
		i->n_earlier--;
	}
	i->earlier[i->n_earlier++] = replaced;
}

fg_ms fg_idle_close_at(const struct fg_idle *i, fg_ms since)
{
	uint32_t limit_ms = i->limit_ms;

	for (uint32_t k = 0; k < i->n_earlier; k++) {
		if (since - i->earlier[k].until < FG_IDLE_KNOWN_MS)
			limit_ms = longer(limit_ms, i->earlier[k].limit_ms);
	}
	return limit_ms == 0 ? FG_MS_NEVER : since + (fg_ms)limit_ms;
}
