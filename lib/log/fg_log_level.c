/* Names of log levels. */
#include "log/fg_log.h"

#include <string.h>

static const char *const level_names[] = {
	[FG_LOG_ERROR] = "error",
	[FG_LOG_WARN] = "warn",
	[FG_LOG_INFO] = "info",
	[FG_LOG_DEBUG] = "debug",
};

const char *fg_log_level_name(enum fg_log_level level)
{
	if (level < FG_LOG_ERROR || level > FG_LOG_DEBUG)
		return "invalid";
	return level_names[level];
}

bool fg_log_level_parse(const char *name, enum fg_log_level *level)
{
	for (int i = FG_LOG_ERROR; i <= FG_LOG_DEBUG; i++) {
		if (strcmp(level_names[i], name) == 0) {
			*level = (enum fg_log_level)i;
			return true;
		}
	}
	return false;
}
