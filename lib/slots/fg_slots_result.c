/* What an engine answered: results of orders, and reports. */
#include "slots/fg_slots_internal.h"

#include <string.h>

/* The same for an unload that waits for its runs. */
#define UNLOAD_CHECK_MS 60
/* The same for a base model, whose load takes seconds. */
#define BASE_CHECK_MS 200
/* The engine's report lags by some hundred ms. */
#define REPORT_RETRY_MS 150
/* After an order that the engine does not know. */
#define REFUSED_WAIT_MS 1000
/* Reloads of an adapter that the engine held before take a tenth of a load. */
#define RELOAD_SHARE 10

/* ---- Results ---- */

static void resync(struct fg_slots *s, fg_ms now)
{
	s->synced = false;
	s->report_at = now;
}

static fg_ms load_time(const struct fg_slots *s, uint64_t key)
{
	fg_ms full_ms = s->conf.load_ms;

	if (g_hash_table_contains(s->held_once, &key))
		return full_ms / RELOAD_SHARE;
	return full_ms;
}

static void load_result(struct fg_slots *s, fg_ms now, struct fg_slot *slot,
			enum fg_order_result result)
{
	if (result == FG_ORDER_ACCEPTED && slot->accepted) {
		slot->check_at = now + (slot == &s->base ? BASE_CHECK_MS
							 : FG_SLOTS_CHECK_MS);
		return;
	}
	if (result == FG_ORDER_ACCEPTED) {
		slot->check_at = now + load_time(s, slot->key);
		slot->state = COMING;
		slot->accepted = true;
		s->sequence++;
		return;
	}
	if (slot->fetch)
		s->fetched_ms = (uint32_t)MAX(now - slot->begun, 1);
	slot->fetch = false;
	slot->accepted = false;
	slot->state = RESIDENT;
	slot->version = MAX(slot->newest, 1);
	g_hash_table_add(s->held_once,
			 g_memdup2(&slot->key, sizeof(slot->key)));
}

static void unload_result(struct fg_slots *s, fg_ms now, struct fg_slot *slot,
			  enum fg_order_result result)
{
	if (!slot->accepted)
		s->sequence++;
	if (result == FG_ORDER_ACCEPTED) {
		/* It waits for its runs. */
		slot->accepted = true;
		slot->check_at = now + UNLOAD_CHECK_MS;
		return;
	}
	fg_slots_drop(s, slot);
}

void fg_slots_handle_result(struct fg_slots *s, fg_ms now,
			    enum fg_order_result result)
{
	struct fg_slot *slot = fg_slot_of(s, s->sent_key);
	enum fg_slots_act sent = s->sent;

	s->sent = FG_SLOTS_NOTHING;
	if (slot == NULL || !s->synced)
		return;
	if (result == FG_ORDER_ACCEPTED || result == FG_ORDER_HOLDS) {
		if (sent == FG_SLOTS_LOAD)
			load_result(s, now, slot, result);
		else
			unload_result(s, now, slot, result);
		return;
	}
	if (result == FG_ORDER_CONFLICT) {
		s->stale = true;
		s->stale_sequence = s->sequence;
	}
	resync(s, result == FG_ORDER_REFUSED ? now + REFUSED_WAIT_MS : now);
}

/* ---- Reports ---- */

static void take_base(struct fg_slots *s, const struct fg_ep_resident *r,
		      enum fg_slot_phase state)
{
	if (s->base.state == RESIDENT)
		return;
	g_strlcpy(s->base.model, r->model, sizeof(s->base.model));
	s->base.key = fg_adapter_key(r->model, "");
	s->base.state = state;
	s->base.version = MAX(r->version, 1);
	s->base.accepted = state == COMING;
}

static void take_resident(struct fg_slots *s, fg_ms now,
			  const struct fg_ep_resident *r,
			  enum fg_slot_phase state, const struct fg_slot *old,
			  uint32_t n_old)
{
	struct fg_slot *slot;
	uint64_t key;

	if (r->adapter[0] == '\0') {
		take_base(s, r, state);
		return;
	}
	key = fg_adapter_key(r->model, r->adapter);
	slot = fg_slot_of(s, key);
	if (slot == NULL)
		slot = fg_slots_add(s, now, r->model, r->adapter);
	if (slot == NULL)
		return;
	slot->state = state;
	if (state == RESIDENT)
		slot->version = r->version;
	else
		slot->check_at = now + FG_SLOTS_CHECK_MS;
	slot->accepted = state == COMING;
	for (uint32_t i = 0; i < n_old; i++) {
		if (old[i].key != key)
			continue;
		slot->used = old[i].used;
		slot->begun = old[i].begun;
		slot->fetch = state == COMING && old[i].fetch;
	}
	g_hash_table_add(s->held_once, g_memdup2(&key, sizeof(key)));
}

void fg_slots_handle_report(struct fg_slots *s, fg_ms now,
			    const struct fg_report *report)
{
	struct fg_slot old[FG_SLOTS_MAX];
	uint32_t n_old = s->n;

	s->sent = FG_SLOTS_NOTHING;
	s->report_at = now + REPORT_RETRY_MS;
	if (report == NULL || s->synced || report->busy)
		return;
	/* The report may be older than the answer that started this. */
	if (s->stale && report->sequence == s->stale_sequence) {
		s->stale = false;
		return;
	}
	memcpy(old, s->slots, sizeof(old));
	s->n = 0;
	fg_slots_clear_base(s);
	for (uint32_t i = 0; i < report->n_resident; i++)
		take_resident(s, now, &report->resident[i], RESIDENT, old,
			      n_old);
	for (uint32_t i = 0; i < report->n_coming; i++)
		take_resident(s, now, &report->coming[i], COMING, old, n_old);
	s->sequence = report->sequence;
	s->stale = false;
	s->synced = true;
	s->known = true;
}
