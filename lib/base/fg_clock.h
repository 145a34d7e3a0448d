/*
 * fg_clock - the one clock type.
 *
 * fg_ms counts milliseconds. Decision modules never read a clock: the time
 * is an argument. Only the runtime calls fg_clock_now(), which reads a
 * monotonic clock that keeps counting while the machine is suspended, so that
 * a paused process sees how long it was away.
 */
#ifndef FG_CLOCK_H
#define FG_CLOCK_H

#include <stdint.h>

typedef int64_t fg_ms;

#define FG_MS_PER_S 1000
#define FG_MS_NEVER INT64_MAX

/* Current monotonic time, suspend included. Never fails. */
fg_ms fg_clock_now(void);

/* Current wall-clock time in ms since 1970, for display and logs alone. */
fg_ms fg_clock_wall(void);

#endif
