#include "fleet/fg_stutter.h"

#include <stddef.h>

bool fg_stutter_note(struct fg_stutter *s, fg_ms now)
{
	bool is_new = now >= s->noted_until;

	s->noted_until = now + FG_STUTTER_NOTED_MS;
	return is_new;
}

bool fg_stutter_allows_reuse(const struct fg_stutter *s, fg_ms now,
			     bool may_run_again)
{
	return may_run_again || s == NULL || now >= s->noted_until;
}
