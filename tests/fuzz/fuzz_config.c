/*
 * Fuzzes changes and snapshots of the catalogue. A refused change leaves the
 * catalogue unchanged. Exactly one preset is in force at all times.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "config/fg_config.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void apply_change(struct fg_config *c, const char *text)
{
	char *before = fg_config_snapshot(c);
	char *after;
	bool ok = fg_config_apply(c, text, NULL);

	after = fg_config_snapshot(c);
	if (!ok && strcmp(before, after) != 0)
		abort();
	g_free(before);
	g_free(after);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct fg_config *c = fg_config_new();
	char *text = g_strndup((const char *)data, size);

	apply_change(c, text);
	fg_config_restore(c, text, NULL);
	if (fg_config_preset(c)->name[0] == '\0')
		abort();
	fg_config_free(c);
	g_free(text);
	return 0;
}
