/* Promises about endpoints: no eviction in use, no new work when leaving. */
#include "check/fg_check_internal.h"

#include <string.h>

/* Replays the events of one endpoint in the order it wrote them. */
struct replay {
	struct fg_check *c;
	GPtrArray *running;  /* run_start events without run_end */
	struct event *leave; /* first sign of leaving, or NULL */
};

static void remove_run(struct replay *r, const struct event *end)
{
	for (guint i = 0; i < r->running->len; i++) {
		if (strcmp(event_at(r->running, i)->id, end->id) != 0)
			continue;
		g_ptr_array_remove_index(r->running, i);
		return;
	}
}

/* When a slot is emptied or loaded, neither the engine's count nor the replayed
 * events may show a run in it. */
static void check_slot_unused(struct replay *r, struct event *ev)
{
	check_count_event(r->c, FG_PROMISE_NO_EVICTION_IN_USE);
	if (ev->running > 0)
		check_add_evidence(r->c, FG_PROMISE_NO_EVICTION_IN_USE, ev);
	for (guint i = 0; i < r->running->len; i++) {
		struct event *run = event_at(r->running, i);

		if (run->slot != ev->slot)
			continue;
		check_add_evidence(r->c, FG_PROMISE_NO_EVICTION_IN_USE, run);
		check_add_evidence(r->c, FG_PROMISE_NO_EVICTION_IN_USE, ev);
	}
}

static void check_after_leaving(struct replay *r, struct event *run)
{
	if (r->leave == NULL)
		return;
	check_count_event(r->c, FG_PROMISE_LEAVING);
	if (run->t - r->leave->t <= (fg_ms)r->c->conf.leaving_ms)
		return;
	check_add_evidence(r->c, FG_PROMISE_LEAVING, r->leave);
	check_add_evidence(r->c, FG_PROMISE_LEAVING, run);
}

static void replay_event(struct replay *r, struct event *ev)
{
	if (event_is_execution(ev))
		check_after_leaving(r, ev);
	switch (ev->type) {
	case EV_RUN_START:
		g_ptr_array_add(r->running, ev);
		break;
	case EV_RUN_END:
		remove_run(r, ev);
		break;
	case EV_RESTART:
		g_ptr_array_set_size(r->running, 0);
		break;
	case EV_LOAD_START:
	case EV_EVICT:
		/* With `ok` false the engine refused the order. */
		if (ev->ok != 0)
			check_slot_unused(r, ev);
		break;
	case EV_LEAVING:
		check_count_event(r->c, FG_PROMISE_LEAVING);
		if (r->leave == NULL)
			r->leave = ev;
		break;
	default:
		break;
	}
}

void check_engines(struct fg_check *c)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->by_who);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const GPtrArray *events = value;
		struct replay r = { .c = c, .running = g_ptr_array_new() };

		for (guint i = 0; i < events->len; i++)
			replay_event(&r, event_at(events, i));
		g_ptr_array_free(r.running, TRUE);
	}
}
