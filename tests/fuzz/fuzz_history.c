/* Fuzzes the history checker: each text is refused, or each promise gets a
 * valid verdict. */
#include <stdlib.h>

#include "check/fg_check.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char *text = g_strndup((const char *)data, size);
	struct fg_check_conf conf;
	struct fg_check *c;

	fg_check_conf_defaults(&conf);
	c = fg_check_new(&conf);
	if (fg_check_add(c, text, NULL)) {
		fg_check_run(c);
		for (int p = 1; p <= FG_PROMISE_LAST; p++)
			if (fg_check_verdict(c, p) > FG_VERDICT_UNDECIDED)
				abort();
	}
	fg_check_free(c);
	g_free(text);
	return 0;
}
