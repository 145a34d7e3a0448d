#include "took/fg_took.h"

#include <glib.h>

/* Part of the newest duration in the moving average. */
#define USUAL_DIVISOR 4

/* Number of spans that have ended since the current one began. */
static fg_ms spans_ended(const struct fg_took *t, fg_ms now)
{
	return (now - t->since) / FG_TOOK_KEEP_MS;
}

void fg_took_note(struct fg_took *t, fg_ms now, uint32_t took_ms)
{
	fg_ms ended = spans_ended(t, now);

	if (ended > 0 || t->since == 0) {
		t->known[1] = ended == 1 && t->known[0];
		t->longest_ms[1] = t->longest_ms[0];
		t->known[0] = false;
		t->longest_ms[0] = 0;
		t->since = now;
	}
	if (!t->known[0] && !t->known[1])
		t->usual_ms = took_ms;
	t->usual_ms += took_ms / USUAL_DIVISOR - t->usual_ms / USUAL_DIVISOR;
	t->longest_ms[0] = MAX(t->longest_ms[0], took_ms);
	t->known[0] = true;
}

uint32_t fg_took_longest_ms(const struct fg_took *t, fg_ms now,
			    uint32_t unknown_ms)
{
	fg_ms ended = spans_ended(t, now);
	uint32_t longest_ms = 0;
	bool known = false;

	if (t->known[0] && ended < 2) {
		longest_ms = t->longest_ms[0];
		known = true;
	}
	if (t->known[1] && ended < 1) {
		longest_ms = MAX(longest_ms, t->longest_ms[1]);
		known = true;
	}
	return known ? longest_ms : unknown_ms;
}
