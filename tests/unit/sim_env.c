#include "sim_env.h"

#include <glib.h>

uint64_t sim_env_number(const char *name, uint64_t fallback)
{
	const char *text = g_getenv(name);

	return text == NULL ? fallback : g_ascii_strtoull(text, NULL, 10);
}
