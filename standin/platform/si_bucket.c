#include "platform/si_bucket.h"

static double capacity(const struct si_bucket *b)
{
	return b->rate_per_s < 1 ? 1 : b->rate_per_s;
}

void si_bucket_init(struct si_bucket *b, double rate_per_s, fg_ms now)
{
	b->rate_per_s = rate_per_s;
	b->tokens = capacity(b);
	b->refilled_at = now;
}

bool si_bucket_take(struct si_bucket *b, fg_ms now, fg_ms *retry_after_ms)
{
	if (b->rate_per_s <= 0)
		return true;
	b->tokens +=
		(double)(now - b->refilled_at) * b->rate_per_s / FG_MS_PER_S;
	if (b->tokens > capacity(b))
		b->tokens = capacity(b);
	b->refilled_at = now;
	if (b->tokens < 1) {
		*retry_after_ms = 1 + (fg_ms)((1 - b->tokens) * FG_MS_PER_S /
					      b->rate_per_s);
		return false;
	}
	b->tokens -= 1;
	return true;
}
