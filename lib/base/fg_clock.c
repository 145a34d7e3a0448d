#include "base/fg_clock.h"

#include <time.h>

static fg_ms read_clock(clockid_t id)
{
	struct timespec ts = { 0 };

	clock_gettime(id, &ts);
	return (fg_ms)ts.tv_sec * FG_MS_PER_S + ts.tv_nsec / 1000000;
}

fg_ms fg_clock_now(void)
{
	return read_clock(CLOCK_BOOTTIME);
}

fg_ms fg_clock_wall(void)
{
	return read_clock(CLOCK_REALTIME);
}
