#include "slots/fg_loadgate.h"

#include <glib.h>

#define WINDOW_START 2.0
#define WINDOW_MIN 1.0
#define WINDOW_MAX 64.0
/* Added once per window of loads that took the usual time. */
#define WINDOW_INCREASE 0.5
#define WINDOW_DECREASE 0.75
/* The end of a load is noticed some tens of ms late. A longer delay means that
 * loads queue at the weight store. */
#define SLOW_LOAD_FACTOR 1.35
/* Weight of the newest load in the moving average. */
#define MEAN_GAIN 0.2

void fg_loadgate_init(struct fg_loadgate *g, uint32_t usual_ms)
{
	g->window = WINDOW_START;
	g->baseline_ms = usual_ms;
	g->mean_ms = usual_ms;
}

bool fg_loadgate_is_open(const struct fg_loadgate *g, uint32_t running)
{
	return running < (uint32_t)g->window;
}

void fg_loadgate_record_load(struct fg_loadgate *g, uint32_t took_ms,
			     uint32_t running)
{
	g->mean_ms += MEAN_GAIN * (took_ms - g->mean_ms);
	if (took_ms > g->baseline_ms * SLOW_LOAD_FACTOR)
		g->window *= WINDOW_DECREASE;
	else if (running + 1 >= (uint32_t)g->window)
		g->window += WINDOW_INCREASE / g->window;
	g->window = CLAMP(g->window, WINDOW_MIN, WINDOW_MAX);
}

uint32_t fg_loadgate_wait_ms(const struct fg_loadgate *g, uint32_t running,
			     uint32_t waiting)
{
	double excess = (double)running + waiting + 1 - g->window;

	if (excess <= 0)
		return 0;
	return (uint32_t)(excess / g->window * g->mean_ms);
}
