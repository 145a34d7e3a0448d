#include "admit/fg_loss.h"

#include <string.h>

const char *fg_loss_phase_name(enum fg_loss_phase phase)
{
	return phase == FG_LOSS_BEGUN ? "begun" : "waiting";
}

void fg_loss_clear(struct fg_loss *loss)
{
	g_clear_pointer(&loss->shared_parts, g_bytes_unref);
}

void fg_losses_add(struct fg_losses *l, const struct fg_loss *loss)
{
	struct fg_loss *slot = &l->list[l->next];

	fg_loss_clear(slot);
	*slot = *loss;
	if (slot->shared_parts != NULL)
		g_bytes_ref(slot->shared_parts);
	l->next = (l->next + 1) % FG_LOSS_MAX;
	if (l->n < FG_LOSS_MAX)
		l->n++;
}

void fg_losses_drop(struct fg_losses *l)
{
	for (uint32_t i = 0; i < l->n; i++)
		fg_loss_clear(&l->list[i]);
	memset(l, 0, sizeof(*l));
}

uint32_t fg_losses_take(struct fg_losses *l, fg_ms now, struct fg_loss *out)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < l->n; i++) {
		if (now - l->list[i].at <= FG_LOSS_KEEP_MS)
			out[n++] = l->list[i];
		else
			fg_loss_clear(&l->list[i]);
	}
	memset(l, 0, sizeof(*l));
	return n;
}
