/* Fuzzes the parsing of settings: each text gives either settings or an error,
 * never both or neither. */
#include <glib.h>
#include <stdlib.h>

#include "settings/fg_settings.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char *text = g_strndup((const char *)data, size);
	GError *error = NULL;
	struct fg_settings *s = fg_settings_parse("fuzz.yaml", text, &error);

	if ((s == NULL) != (error != NULL))
		abort();
	g_clear_error(&error);
	fg_settings_free(s);
	g_free(text);
	return 0;
}
