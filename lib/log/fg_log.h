/*
 * fg_log - log lines of key=value fields, through log4c, on standard error or,
 * bounded, on standard output.
 *
 * Every line has the same layout:
 *   time=2026-01-31T07:15:02.123Z level=info module=owner event=gained ep=...
 * A value with a space, a quote, '=' or a control character is quoted, with
 * control characters escaped, so that a field never spans lines. Callers
 * never pass request or answer bodies nor idempotency keys.
 *
 * All functions are safe for use by several threads.
 */
#ifndef FG_LOG_H
#define FG_LOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum fg_log_level {
	FG_LOG_ERROR = 1, /* an operator has to act */
	FG_LOG_WARN = 2,  /* something failed and was handled */
	FG_LOG_INFO = 3,  /* changes of state */
	FG_LOG_DEBUG = 4, /* single messages and requests */
};

/* Lower-case name such as "warn"; never NULL. */
const char *fg_log_level_name(enum fg_log_level level);

/* Parses fg_log_level_name(); false when the name is unknown. */
bool fg_log_level_parse(const char *name, enum fg_log_level *level);

/* Opens the log with `who` as the field who=, left out when NULL. May be
 * called again to change the level. Before the first call nothing is
 * written. */
void fg_log_open(const char *who, enum fg_log_level level);

/* Bounds of the lines a second. */
struct fg_log_rate_limits {
	uint32_t lines_per_s;	/* all but routine ones */
	uint32_t routine_per_s; /* of fg_log_routine() */
};

/*
 * From now on lines go to standard output, which is made non-blocking: a line
 * that cannot be written at once, or that exceeds the bounds, is dropped. The
 * first line of a later second is preceded by one that counts what was dropped
 * by module and event.
 */
void fg_log_limit_rate(const struct fg_log_rate_limits *bounds);

/* Closes the log; later lines are dropped. */
void fg_log_close(void);

/* True when a line of this level would be written. */
bool fg_log_enabled(enum fg_log_level level);

/*
 * Writes one line. After `event` follow pairs of name and value, both
 * strings, ended by NULL; a pair whose value is NULL is left out.
 */
void fg_log(enum fg_log_level level, const char *module, const char *event, ...)
	__attribute__((sentinel));

/* A line of level info that says that nothing out of the ordinary happened:
 * the first to be dropped. */
void fg_log_routine(const char *module, const char *event, ...)
	__attribute__((sentinel));

/* The line that fg_log() would write after time=, without line end;
 * g_malloc'ed. For tests. */
char *fg_log_format(enum fg_log_level level, const char *module,
		    const char *event, ...) __attribute__((sentinel));

#endif
