/*
 * Fuzzes the check of an engine's answer, which arrives in two pieces. An
 * answer is whole only if its end mark came, no piece was refused and the
 * engine reported no error.
 */
#include <stdlib.h>

#include "endpoint/fg_endpoint.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct fg_run_req req = { .id = "r", .adapter = "a", .version = "v" };
	struct fg_answer *a = fg_answer_new(&req);
	size_t half = size / 2;
	bool ok;

	ok = fg_answer_feed(a, (const char *)data, half);
	ok = fg_answer_feed(a, (const char *)data + half, size - half) && ok;
	if (fg_answer_is_complete(a) && (!ok || fg_answer_has_error(a)))
		abort();
	fg_answer_free(a);
	return 0;
}
