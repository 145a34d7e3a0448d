#include "slots/fg_loadgate.h"

#include <glib.h>

#define WINDOW_START 2.0
#define WINDOW_MIN 1.0
#define WINDOW_MAX 64.0
/* Growth for each window of loads that took the usual time. */
#define WINDOW_STEP 0.5
#define WINDOW_CUT 0.75
/* Loads are seen to end some tens of ms late; more than this is a queue. */
#define SLOW_FACTOR 1.35
/* Share of the newest load in the moving average. */
#define RECENT_GAIN 0.2

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
	g->mean_ms += RECENT_GAIN * (took_ms - g->mean_ms);
	if (took_ms > g->baseline_ms * SLOW_FACTOR)
		g->window *= WINDOW_CUT;
	else if (running + 1 >= (uint32_t)g->window)
		g->window += WINDOW_STEP / g->window;
	g->window = CLAMP(g->window, WINDOW_MIN, WINDOW_MAX);
}

uint32_t fg_loadgate_wait_ms(const struct fg_loadgate *g, uint32_t running,
			     uint32_t waiting)
{
	double ahead = (double)running + waiting + 1 - g->window;

	if (ahead <= 0)
		return 0;
	return (uint32_t)(ahead / g->window * g->mean_ms);
}
