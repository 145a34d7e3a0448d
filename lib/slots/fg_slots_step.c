/* Chooses the next message to an engine. */
#include "slots/fg_slots_internal.h"

/* A load requested this recently can still complete, and the prompt be read,
 * within the latency targets of model requests, which are 800 ms and more. */
#define FRESH_REQUEST_MS 400

/* Fills in `step` and counts it as in flight. */
static void issue_step(struct fg_slots *s, enum fg_slots_act act,
		       struct fg_slot *slot, struct fg_slots_step *step)
{
	s->sent = act;
	s->sent_key = slot == NULL ? 0 : slot->key;
	step->act = act;
	step->expected_sequence = s->sequence;
	if (slot == NULL)
		return;
	step->model = slot->model;
	step->adapter = slot->adapter;
	step->version = slot->newest;
}

/* Returns a slot with an outdated version, or one whose order is to be repeated
 * because it should be complete. Lowers *wake_at to the next such time. */
static struct fg_slot *find_due_slot(struct fg_slots *s, fg_ms now,
				     fg_ms *wake_at)
{
	for (uint32_t i = 0; i < s->n; i++) {
		struct fg_slot *slot = &s->slots[i];

		if (slot->phase == RESIDENT && !fg_slot_is_current(slot))
			return slot;
		if (slot->phase == RESIDENT)
			continue;
		if (now >= slot->check_at)
			return slot;
		*wake_at = MIN(*wake_at, slot->check_at);
	}
	return NULL;
}

/* Drops the requests that expired and those whose adapter has a slot in the
 * meantime because a report listed it. */
static void drop_obsolete(struct fg_slots *s, fg_ms now)
{
	for (guint i = s->queue->len; i > 0; i--) {
		const struct fg_load_request *r =
			&g_array_index(s->queue, struct fg_load_request, i - 1);

		if (now - r->repeated_at > (fg_ms)s->conf.request_ttl_ms ||
		    (s->synced && fg_slot_find(s, r->key) != NULL))
			g_array_remove_index(s->queue, i - 1);
	}
}

/* Orders the queue: recent requests first, since theirs can still meet the
 * latency target, then by popularity. Each waiting request repeats its load
 * request, so repeats count both the waiting requests and their wait. */
static bool precedes(const struct fg_load_request *a,
		     const struct fg_load_request *b, fg_ms now)
{
	bool fresh_a = now - a->created_at < FRESH_REQUEST_MS;
	bool fresh_b = now - b->created_at < FRESH_REQUEST_MS;

	return fresh_a != fresh_b ? fresh_a : a->repeats > b->repeats;
}

static guint pick_request(const struct fg_slots *s, fg_ms now, bool store_open)
{
	guint best = s->queue->len;

	for (guint i = 0; i < s->queue->len; i++) {
		const struct fg_load_request *r =
			&g_array_index(s->queue, struct fg_load_request, i);

		if (!store_open && fg_slots_is_fetch(s, r->key))
			continue;
		if (best == s->queue->len ||
		    precedes(r,
			     &g_array_index(s->queue, struct fg_load_request,
					    best),
			     now))
			best = i;
	}
	return best;
}

static bool start_load(struct fg_slots *s, fg_ms now, guint index,
		       struct fg_slots_step *step)
{
	const struct fg_load_request *r =
		&g_array_index(s->queue, struct fg_load_request, index);
	struct fg_slot *slot = fg_slots_add(s, now, r->model, r->adapter);

	if (slot == NULL) {
		g_array_remove_index(s->queue, index);
		return false;
	}
	slot->phase = LOADING;
	slot->check_at = now;
	slot->started_at = now;
	slot->fetch = fg_slots_is_fetch(s, slot->key);
	g_array_remove_index(s->queue, index);
	issue_step(s, FG_SLOTS_LOAD, slot, step);
	return true;
}

/* Starts the load of a queued request, or the unload that it needs first. */
static bool start_request(struct fg_slots *s, fg_ms now, bool store_open,
			  struct fg_slots_step *step)
{
	guint index = pick_request(s, now, store_open);
	struct fg_slot *slot;
	const char *model;

	if (index == s->queue->len ||
	    fg_slots_count(s, LOADING) >= s->conf.loads_max)
		return false;
	model = g_array_index(s->queue, struct fg_load_request, index).model;
	if (fg_slots_fits(s, model))
		return start_load(s, now, index, step);
	if (fg_slots_count(s, UNLOADING) > 0 ||
	    !fg_slots_fits_after_evictions(s, now, model))
		return false;
	slot = fg_slots_find_victim(s, now);
	if (slot == NULL)
		return false;
	slot->phase = UNLOADING;
	slot->accepted = false;
	slot->check_at = now;
	issue_step(s, FG_SLOTS_UNLOAD, slot, step);
	return true;
}

struct fg_slots_step fg_slots_next(struct fg_slots *s, fg_ms now,
				   bool store_open)
{
	struct fg_slots_step step = { .wake_at = FG_MS_NEVER };
	struct fg_slot *slot;

	drop_obsolete(s, now);
	if (s->sent != FG_SLOTS_NOTHING)
		return step;
	if (!s->synced) {
		if (now >= s->report_at)
			issue_step(s, FG_SLOTS_REPORT, NULL, &step);
		else
			step.wake_at = s->report_at;
		return step;
	}
	if (s->base.phase != RESIDENT) {
		if (!fg_slots_base_fits(s))
			return step;
		if (now >= s->base.check_at)
			issue_step(s, FG_SLOTS_LOAD, &s->base, &step);
		else
			step.wake_at = s->base.check_at;
		return step;
	}
	slot = find_due_slot(s, now, &step.wake_at);
	if (slot != NULL) {
		issue_step(s,
			   slot->phase == UNLOADING ? FG_SLOTS_UNLOAD
						    : FG_SLOTS_LOAD,
			   slot, &step);
		return step;
	}
	if (s->queue->len > 0 && !start_request(s, now, store_open, &step))
		step.wake_at = MIN(step.wake_at, now + FG_SLOTS_CHECK_MS);
	return step;
}
