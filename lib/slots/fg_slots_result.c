/* Handles the answers of an engine: results of orders, and reports. */
#include "slots/fg_slots_internal.h"

#include <string.h>

/* Interval at which an unload is repeated until the adapter's runs have ended.
 * The engine unloads the adapter only then. */
#define UNLOAD_CHECK_MS 60
/* Interval at which the order to load a base model is repeated. The load takes
 * seconds. */
#define BASE_CHECK_MS 200
/* Pause before another report is requested. A report lags by some hundred ms.
 */
#define REPORT_RETRY_MS 150
/* Pause after the engine refused an order that it does not support. */
#define REFUSED_WAIT_MS 1000
/* An adapter that the engine held before loads this many times faster. */
#define RELOAD_SPEEDUP 10

/* ---- Results ---- */

static void start_resync(struct fg_slots *s, fg_ms now)
{
	s->synced = false;
	s->report_at = now;
}

static fg_ms expected_load_ms(const struct fg_slots *s, uint64_t key)
{
	fg_ms full_ms = s->conf.load_ms;

	if (g_hash_table_contains(s->loaded_before, &key))
		return full_ms / RELOAD_SPEEDUP;
	return full_ms;
}

static void handle_load_result(struct fg_slots *s, fg_ms now,
			       struct fg_slot *slot,
			       enum fg_wire_order_result result)
{
	if (result == FG_WIRE_ORDER_ACCEPTED && slot->accepted) {
		slot->check_at = now + (slot == &s->base ? BASE_CHECK_MS
							 : FG_SLOTS_CHECK_MS);
		return;
	}
	if (result == FG_WIRE_ORDER_ACCEPTED) {
		slot->check_at = now + expected_load_ms(s, slot->key);
		slot->phase = LOADING;
		slot->accepted = true;
		s->sequence++;
		return;
	}
	if (slot->fetch)
		s->fetched_ms = (uint32_t)MAX(now - slot->started_at, 1);
	slot->fetch = false;
	slot->accepted = false;
	slot->phase = RESIDENT;
	slot->version = MAX(slot->newest, 1);
	g_hash_table_add(s->loaded_before,
			 g_memdup2(&slot->key, sizeof(slot->key)));
}

static void handle_unload_result(struct fg_slots *s, fg_ms now,
				 struct fg_slot *slot,
				 enum fg_wire_order_result result)
{
	if (!slot->accepted)
		s->sequence++;
	if (result == FG_WIRE_ORDER_ACCEPTED) {
		/* The engine unloads once the adapter's runs have ended. */
		slot->accepted = true;
		slot->check_at = now + UNLOAD_CHECK_MS;
		return;
	}
	fg_slots_drop(s, slot);
}

void fg_slots_handle_result(struct fg_slots *s, fg_ms now,
			    enum fg_wire_order_result result)
{
	struct fg_slot *slot = fg_slot_find(s, s->sent_key);
	enum fg_slots_act sent = s->sent;

	s->sent = FG_SLOTS_NOTHING;
	if (slot == NULL || !s->synced)
		return;
	if (result == FG_WIRE_ORDER_ACCEPTED ||
	    result == FG_WIRE_ORDER_ALREADY_DONE) {
		if (sent == FG_SLOTS_LOAD)
			handle_load_result(s, now, slot, result);
		else
			handle_unload_result(s, now, slot, result);
		return;
	}
	if (result == FG_WIRE_ORDER_CONFLICT) {
		s->has_refused = true;
		s->refused_sequence = s->sequence;
	}
	start_resync(s, result == FG_WIRE_ORDER_REFUSED ? now + REFUSED_WAIT_MS
							: now);
}

/* ---- Reports ---- */

static void set_reported_base(struct fg_slots *s,
			      const struct fg_ep_resident *r,
			      enum fg_slot_phase phase)
{
	/* Others beside the one that is served take memory as well. */
	if (s->base.phase == RESIDENT || s->base.accepted) {
		if (strcmp(s->base.model, r->model) != 0)
			s->extra_kb += fg_slots_weights_kb(s, r->model);
		return;
	}
	g_strlcpy(s->base.model, r->model, sizeof(s->base.model));
	s->base.key = fg_adapter_key(r->model, "");
	s->base.phase = phase;
	s->base.version = MAX(r->version, 1);
	s->base.accepted = phase == LOADING;
}

static void set_reported_slot(struct fg_slots *s, fg_ms now,
			      const struct fg_ep_resident *r,
			      enum fg_slot_phase phase,
			      const struct fg_slot *old, uint32_t n_old)
{
	struct fg_slot *slot;
	uint64_t key;

	if (r->adapter[0] == '\0') {
		set_reported_base(s, r, phase);
		return;
	}
	key = fg_adapter_key(r->model, r->adapter);
	slot = fg_slot_find(s, key);
	if (slot == NULL)
		slot = fg_slots_add(s, now, r->model, r->adapter);
	if (slot == NULL)
		return;
	slot->phase = phase;
	if (phase == RESIDENT)
		slot->version = r->version;
	else
		slot->check_at = now + FG_SLOTS_CHECK_MS;
	slot->accepted = phase == LOADING;
	for (uint32_t i = 0; i < n_old; i++) {
		if (old[i].key != key)
			continue;
		slot->used_at = old[i].used_at;
		slot->started_at = old[i].started_at;
		slot->fetch = phase == LOADING && old[i].fetch;
	}
	g_hash_table_add(s->loaded_before, g_memdup2(&key, sizeof(key)));
}

void fg_slots_handle_report(struct fg_slots *s, fg_ms now,
			    const struct fg_engine_report *report)
{
	struct fg_slot old[FG_SLOTS_MAX];
	uint32_t n_old = s->n;

	s->sent = FG_SLOTS_NOTHING;
	s->report_at = now + REPORT_RETRY_MS;
	if (report == NULL || s->synced || report->busy)
		return;
	/* The report may be older than the conflict that led to this resync. */
	if (s->has_refused && report->sequence == s->refused_sequence) {
		s->has_refused = false;
		return;
	}
	memcpy(old, s->slots, sizeof(old));
	s->n = 0;
	s->extra_kb = 0;
	fg_slots_reset_base(s);
	for (uint32_t i = 0; i < report->n_resident; i++)
		set_reported_slot(s, now, &report->resident[i], RESIDENT, old,
				  n_old);
	for (uint32_t i = 0; i < report->n_loading; i++)
		set_reported_slot(s, now, &report->loading[i], LOADING, old,
				  n_old);
	s->sequence = report->sequence;
	s->has_refused = false;
	s->synced = true;
	s->ever_synced = true;
}
