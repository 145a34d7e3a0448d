#include "fleet/fg_uses.h"

void fg_uses_init(struct fg_uses *u)
{
	u->list = g_array_new(FALSE, FALSE, sizeof(struct fg_use));
}

void fg_uses_clear(struct fg_uses *u)
{
	if (u->list != NULL)
		g_array_unref(u->list);
	u->list = NULL;
}

static struct fg_use *entry_at(const struct fg_uses *u, guint i)
{
	return &g_array_index(u->list, struct fg_use, i);
}

void fg_uses_put(struct fg_uses *u, const struct fg_use *use)
{
	for (guint i = 0; i < u->list->len; i++) {
		struct fg_use *old = entry_at(u, i);

		if (old->instance != use->instance ||
		    old->adapter != use->adapter)
			continue;
		if (use->running == 0)
			g_array_remove_index_fast(u->list, i);
		else
			*old = *use;
		return;
	}
	if (use->running > 0)
		g_array_append_val(u->list, *use);
}

void fg_uses_expire(struct fg_uses *u, fg_ms now)
{
	for (guint i = u->list->len; i > 0; i--) {
		if (now - entry_at(u, i - 1)->reported_at > FG_USES_TTL_MS)
			g_array_remove_index_fast(u->list, i - 1);
	}
}

uint32_t fg_uses_running(const struct fg_uses *u)
{
	uint32_t sum = 0;

	for (guint i = 0; i < u->list->len; i++)
		sum += entry_at(u, i)->running;
	return sum;
}

uint64_t fg_uses_pending_tokens(const struct fg_uses *u)
{
	uint64_t sum = 0;

	for (guint i = 0; i < u->list->len; i++)
		sum += entry_at(u, i)->pending_tokens;
	return sum;
}
