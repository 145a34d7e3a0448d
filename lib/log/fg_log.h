/*
 * fg_log - structured logging in key=value fields, through log4c.
 *
 * Lines go to standard error, or rate-limited to standard output after
 * fg_log_limit_rate(). Every line has the same layout:
 *   time=2026-01-31T07:15:02.123Z level=info module=owner event=gained ep=...
 * Empty values and values with a space, a quote, '=', a backslash, a control
 * character or a byte outside ASCII are quoted. Control characters are
 * escaped, so that a field never spans lines. Values over 1024 bytes are
 * truncated.
 *
 * Callers must not log bodies of requests or answers, nor idempotency keys.
 * All functions are thread-safe.
 */
#ifndef FG_LOG_H
#define FG_LOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum fg_log_level {
	FG_LOG_ERROR = 1, /* an operator must act */
	FG_LOG_WARN = 2,  /* a failure that the program handled */
	FG_LOG_INFO = 3,  /* a change of state */
	FG_LOG_DEBUG = 4, /* a single message or request */
};

/* Returns the lower-case name, such as "warn"; never NULL. */
const char *fg_log_level_name(enum fg_log_level level);

/* Stores the level with the given fg_log_level_name() in *level. Returns false
 * if the name is unknown. */
bool fg_log_level_parse(const char *name, enum fg_log_level *level);

/* Opens the log for lines up to `level`. Every line gets the field who=, unless
 * `who` is NULL; the string is copied. Another call changes name and level.
 * Lines logged before the first call are dropped. */
void fg_log_open(const char *who, enum fg_log_level level);

struct fg_log_rate_limits {
	uint32_t lines_per_s;	/* from fg_log(); 0 disables both limits */
	uint32_t routine_per_s; /* from fg_log_routine() */
};

/*
 * Redirects the log to standard output, makes standard output non-blocking and
 * limits the lines in each second of the monotonic clock. A line over its limit
 * or one that cannot be written immediately is dropped. In a later second, the
 * next line is preceded by a line module=log event=dropped with the number of
 * dropped lines for each module and event.
 */
void fg_log_limit_rate(const struct fg_log_rate_limits *limits);

/* Allows n lines of fg_log() beyond the limit, at any time from now on. */
void fg_log_allow_burst(uint32_t n);

/* Closes the log; later lines are dropped until fg_log_open(). Writes how many
 * lines were dropped since that was last said, and waits up to 50 ms for room
 * to do so. */
void fg_log_close(void);

/* Returns true if lines of this level are written. */
bool fg_log_enabled(enum fg_log_level level);

/*
 * Writes one line. `event` is followed by pairs of a field name and its value,
 * both strings, and a final NULL. A pair whose value is NULL is omitted.
 */
void fg_log(enum fg_log_level level, const char *module, const char *event, ...)
	__attribute__((sentinel));

/* Writes a line of level info about normal operation, such as a completed
 * request. A limit of their own makes these lines the first to be dropped. */
void fg_log_routine(const char *module, const char *event, ...)
	__attribute__((sentinel));

/* Returns the text that fg_log() writes after time= and who=, without a
 * newline. The caller frees it with g_free(). For tests. */
char *fg_log_format(enum fg_log_level level, const char *module,
		    const char *event, ...) __attribute__((sentinel));

#endif
