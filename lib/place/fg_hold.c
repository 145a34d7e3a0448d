/* Hold time of drafts that wait for a fuller batch. */
#include "place/fg_place.h"

#include <glib.h>

#define MARGIN_MS 500 /* reserve for messages and for a refused grant */
/* Share of the budget kept in reserve, in case the service time has grown. */
#define MARGIN_PERCENT 10

uint32_t fg_hold_ms(const struct fg_preset *preset, uint32_t budget_ms,
		    uint32_t service_ms, uint32_t load_ms, uint32_t waiting,
		    uint32_t batch, bool room_now)
{
	uint64_t batch_weight = 100 - preset->stall_weight;
	uint64_t hold = preset->hold_max_ms * batch_weight / 100;
	uint64_t needed = (uint64_t)service_ms + load_ms + MARGIN_MS +
			  (uint64_t)budget_ms * MARGIN_PERCENT / 100;

	if (room_now || waiting >= batch || preset->stall_weight > 100)
		return 0;
	if (needed >= budget_ms)
		return 0;
	return (uint32_t)MIN(hold, budget_ms - needed);
}
