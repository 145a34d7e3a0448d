#include "fleet/fg_health.h"

/* One failure can be a single broken connection; two in a row rarely are. */
#define FAILURES_TO_EJECT 2
/* An endpoint restarts within a few seconds. The first retry comes earlier. */
#define EJECT_MIN_MS 500
#define EJECT_MAX_MS 4000
/* Weights of the newest sample in the moving averages. */
#define ERROR_GAIN 0.1
#define SLOWNESS_GAIN 0.1
#define SLOWNESS_MIN 0.5
#define SLOWNESS_MAX 10.0
/* The network dominates times below this. */
#define EXPECTED_FLOOR_MS 60

void fg_health_record_answer(struct fg_fleet_ep *ep, fg_ms now, bool error)
{
	(void)now;
	ep->error_rate += ERROR_GAIN * ((error ? 1.0 : 0.0) - ep->error_rate);
	ep->failures_in_row = 0;
	ep->ejected_until = 0;
}

void fg_health_record_failure(struct fg_fleet_ep *ep, fg_ms now)
{
	fg_ms eject_ms = EJECT_MIN_MS;

	ep->failures_in_row++;
	ep->error_rate += ERROR_GAIN * (1.0 - ep->error_rate);
	if (ep->failures_in_row < FAILURES_TO_EJECT ||
	    fg_health_is_ejected(ep, now))
		return;
	for (uint32_t i = FAILURES_TO_EJECT;
	     i < ep->failures_in_row && eject_ms < EJECT_MAX_MS; i++)
		eject_ms *= 2;
	ep->ejected_until = now + MIN(eject_ms, EJECT_MAX_MS);
}

void fg_health_record_first_token(struct fg_fleet_ep *ep, uint32_t took_ms,
				  uint32_t expected_ms)
{
	double ratio = (double)MAX(took_ms, EXPECTED_FLOOR_MS) /
		       MAX(expected_ms, EXPECTED_FLOOR_MS);

	ratio = CLAMP(ratio, SLOWNESS_MIN, SLOWNESS_MAX);
	ep->slowness += SLOWNESS_GAIN * (ratio - ep->slowness);
}

bool fg_health_is_ejected(const struct fg_fleet_ep *ep, fg_ms now)
{
	return now < ep->ejected_until;
}
