#include "admit/fg_loss.h"

#include <string.h>

void fg_losses_add(struct fg_losses *l, fg_ms now, uint64_t fingerprint,
		   uint64_t request)
{
	struct fg_loss *loss = &l->list[l->next];

	loss->fingerprint = fingerprint;
	loss->request = request;
	loss->at = now;
	l->next = (l->next + 1) % FG_LOSS_MAX;
	if (l->n < FG_LOSS_MAX)
		l->n++;
}

uint32_t fg_losses_take(struct fg_losses *l, fg_ms now, struct fg_loss *out)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < l->n; i++) {
		if (now - l->list[i].at <= FG_LOSS_KEEP_MS)
			out[n++] = l->list[i];
	}
	memset(l, 0, sizeof(*l));
	return n;
}
