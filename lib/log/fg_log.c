/* Log lines of key=value fields on standard error. */
#include "log/fg_log.h"

#include <stdarg.h>
#include <stdio.h>

static enum fg_log_level max_level = FG_LOG_INFO;

void fg_log_open(const char *who, enum fg_log_level level)
{
	(void)who;
	max_level = level;
}

void fg_log_close(void)
{
}

bool fg_log_enabled(enum fg_log_level level)
{
	return level <= max_level;
}

void fg_log(enum fg_log_level level, const char *module, const char *event, ...)
{
	const char *name;
	const char *value;
	va_list args;

	if (!fg_log_enabled(level))
		return;
	flockfile(stderr);
	fprintf(stderr, "level=%s module=%s event=%s", fg_log_level_name(level),
		module, event);
	va_start(args, event);
	while ((name = va_arg(args, const char *)) != NULL) {
		value = va_arg(args, const char *);
		if (value != NULL)
			fprintf(stderr, " %s=%s", name, value);
	}
	va_end(args);
	fputc('\n', stderr);
	funlockfile(stderr);
}
