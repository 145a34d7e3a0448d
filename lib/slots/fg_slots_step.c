/* The next message to an engine. */
#include "slots/fg_slots_internal.h"

/* A want of this age can still be loaded, and its prompt read, within the
 * aims of 800 ms and more that model requests have. */
#define YOUNG_MS 400

static void remember_sent(struct fg_slots *s, enum fg_slots_act act,
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

/* A load that should have ended by now, or a version to replace. */
static struct fg_slot *due_check(struct fg_slots *s, fg_ms now, fg_ms *wake)
{
	for (uint32_t i = 0; i < s->n; i++) {
		struct fg_slot *slot = &s->slots[i];

		if (slot->state == RESIDENT && !fg_slot_is_current(slot))
			return slot;
		if (slot->state == RESIDENT)
			continue;
		if (now >= slot->check_at)
			return slot;
		*wake = MIN(*wake, slot->check_at);
	}
	return NULL;
}

/* Wants that are old, or met by what a report brought. */
static void drop_wants(struct fg_slots *s, fg_ms now)
{
	for (guint i = s->wants->len; i > 0; i--) {
		const struct fg_want *w =
			&g_array_index(s->wants, struct fg_want, i - 1);

		if (now - w->asked > (fg_ms)s->conf.request_ttl_ms ||
		    (s->synced && fg_slot_of(s, w->key) != NULL))
			g_array_remove_index(s->wants, i - 1);
	}
}

/* Does `a` go before `b`? First those whose requests can still be answered
 * within their aim, then the most wanted: asks come from each waiting request
 * and grow with its wait. */
static bool goes_first(const struct fg_want *a, const struct fg_want *b,
		       fg_ms now)
{
	bool young_a = now - a->since < YOUNG_MS;
	bool young_b = now - b->since < YOUNG_MS;

	return young_a != young_b ? young_a : a->asks > b->asks;
}

static guint next_want(const struct fg_slots *s, fg_ms now, bool store_open)
{
	guint best = s->wants->len;

	for (guint i = 0; i < s->wants->len; i++) {
		const struct fg_want *w =
			&g_array_index(s->wants, struct fg_want, i);

		if (!store_open && fg_slots_is_fetch(s, w->key))
			continue;
		if (best == s->wants->len ||
		    goes_first(w,
			       &g_array_index(s->wants, struct fg_want, best),
			       now))
			best = i;
	}
	return best;
}

static void begin_load(struct fg_slots *s, fg_ms now, guint want,
		       struct fg_slots_step *step)
{
	const struct fg_want *w =
		&g_array_index(s->wants, struct fg_want, want);
	struct fg_slot *slot = fg_slots_add(s, now, w->model, w->adapter);

	g_assert(slot != NULL);
	slot->state = COMING;
	slot->check_at = now;
	slot->begun = now;
	slot->fetch = fg_slots_is_fetch(s, slot->key);
	g_array_remove_index(s->wants, want);
	remember_sent(s, FG_SLOTS_LOAD, slot, step);
}

/* Begins a want: loads it, or unloads what is in its way. */
static bool begin_want(struct fg_slots *s, fg_ms now, bool store_open,
		       struct fg_slots_step *step)
{
	guint want = next_want(s, now, store_open);
	struct fg_slot *slot;

	if (want == s->wants->len ||
	    fg_slots_count(s, COMING) >= s->conf.loads_max)
		return false;
	if (s->n < s->conf.slots) {
		begin_load(s, now, want, step);
		return true;
	}
	if (fg_slots_count(s, LEAVING) > 0)
		return false;
	slot = fg_slots_victim(s, now);
	if (slot == NULL)
		return false;
	slot->state = LEAVING;
	slot->accepted = false;
	slot->check_at = now;
	remember_sent(s, FG_SLOTS_UNLOAD, slot, step);
	return true;
}

struct fg_slots_step fg_slots_next(struct fg_slots *s, fg_ms now,
				   bool store_open)
{
	struct fg_slots_step step = { .wake_at = FG_MS_NEVER };
	struct fg_slot *slot;

	drop_wants(s, now);
	if (s->sent != FG_SLOTS_NOTHING)
		return step;
	if (!s->synced) {
		if (now >= s->report_at)
			remember_sent(s, FG_SLOTS_REPORT, NULL, &step);
		else
			step.wake_at = s->report_at;
		return step;
	}
	if (s->base.state != RESIDENT) {
		if (now >= s->base.check_at)
			remember_sent(s, FG_SLOTS_LOAD, &s->base, &step);
		else
			step.wake_at = s->base.check_at;
		return step;
	}
	slot = due_check(s, now, &step.wake_at);
	if (slot != NULL) {
		remember_sent(s,
			      slot->state == LEAVING ? FG_SLOTS_UNLOAD
						     : FG_SLOTS_LOAD,
			      slot, &step);
		return step;
	}
	if (s->wants->len > 0 && !begin_want(s, now, store_open, &step))
		step.wake_at = MIN(step.wake_at, now + FG_SLOTS_CHECK_MS);
	return step;
}
