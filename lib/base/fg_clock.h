/*
 * fg_clock - time in milliseconds.
 *
 * All times and durations are fg_ms. Decision modules never read a clock:
 * their callers pass the time. Only the runtime calls fg_clock_now(). Its
 * clock is monotonic and keeps counting while the machine is suspended, which
 * lets a process detect how long it was paused.
 */
#ifndef FG_CLOCK_H
#define FG_CLOCK_H

#include <stdint.h>

typedef int64_t fg_ms;

#define FG_MS_PER_S 1000
#define FG_MS_NEVER INT64_MAX

/* Returns the monotonic time, including time in suspend. Never fails. */
fg_ms fg_clock_now(void);

/* Returns the wall-clock time in ms since 1970. For display and logs, never for
 * durations: the wall clock may jump. */
fg_ms fg_clock_wall(void);

#endif
