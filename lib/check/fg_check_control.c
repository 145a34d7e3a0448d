/* Promises about instances: planned stops, and configuration in force. */
#include "check/fg_check_internal.h"

#include <string.h>

static struct event *find_first(const GPtrArray *events, enum event_type type,
				fg_ms from)
{
	for (guint i = 0; i < events->len; i++) {
		struct event *ev = event_at(events, i);

		if (ev->type == type && ev->t >= from)
			return ev;
	}
	return NULL;
}

/* Returns the first `live` or `dead` event that the test wrote about a process,
 * or NULL. */
static struct event *find_process_event(const struct fg_check *c,
					enum event_type type, const char *name)
{
	for (guint i = 0; i < c->events->len; i++) {
		struct event *ev = event_at(c->events, i);

		if (ev->type == type && strcmp(ev->name, name) == 0)
			return ev;
	}
	return NULL;
}

/* ---- Promise 7 ---- */

struct stop {
	struct fg_check *c;
	struct event *begin;
	struct event *end; /* NULL if the history has none */
	const char *addr;  /* of the entry; "" if unknown */
};

static bool has_successful_run(const struct fg_check *c, const char *id)
{
	const GPtrArray *events = check_find_events(c, c->by_id, id);

	for (guint i = 0; i < events->len; i++) {
		const struct event *ev = event_at(events, i);

		if ((ev->type == EV_RUN_END || ev->type == EV_EXEC) &&
		    ev->ok == 1)
			return true;
	}
	return false;
}

static const struct event *find_last_dispatch(const struct stop *s,
					      const struct event *invoke,
					      fg_ms until)
{
	const GPtrArray *events =
		check_find_events(s->c, s->c->by_tag, invoke->tag);
	const struct event *last = NULL;

	for (guint i = 0; i < events->len; i++) {
		const struct event *ev = event_at(events, i);

		if (ev->type == EV_DISPATCH && ev->t >= invoke->t &&
		    ev->t < until && strcmp(ev->who, s->begin->who) == 0)
			last = ev;
	}
	return last;
}

/*
 * Returns true if a stop cut off a request that was in progress. The request
 * was cut off if its caller got no answer, if the connection was closed (reason
 * no_answer), or if the run succeeded and the answer is not DONE.
 */
static bool is_cut_off(const struct stop *s, const struct event *dispatch,
		       const struct event *answer)
{
	if (answer == NULL || strcmp(answer->reason, "no_answer") == 0)
		return true;
	if (strcmp(answer->outcome, "DONE") == 0 || dispatch == NULL)
		return false;
	return has_successful_run(s->c, dispatch->id);
}

static void check_request(struct stop *s, struct event *invoke)
{
	const struct event *dispatch;
	struct event *answer;
	fg_ms until;

	if (invoke->t > s->begin->t)
		return;
	answer = check_find_return(s->c, invoke, &until);
	if (answer != NULL && answer->t < s->begin->t)
		return;
	dispatch = find_last_dispatch(s, invoke, until);
	if (dispatch == NULL &&
	    (*s->addr == '\0' || strcmp(invoke->entry, s->addr) != 0))
		return;
	check_count_event(s->c, FG_PROMISE_PLANNED_STOP);
	if (!is_cut_off(s, dispatch, answer))
		return;
	check_add_evidence(s->c, FG_PROMISE_PLANNED_STOP, s->begin);
	check_add_evidence(s->c, FG_PROMISE_PLANNED_STOP, invoke);
	if (answer != NULL)
		check_add_evidence(s->c, FG_PROMISE_PLANNED_STOP, answer);
}

static void check_stop(struct stop *s)
{
	struct fg_check *c = s->c;
	const struct event *dead =
		find_process_event(c, EV_DEAD, s->begin->who);

	if (s->end == NULL && dead != NULL && dead->t >= s->begin->t)
		return; /* killed during the stop: not a planned stop */
	check_count_event(c, FG_PROMISE_PLANNED_STOP);
	if (s->end == NULL) {
		c->findings[FG_PROMISE_PLANNED_STOP].reason =
			"a planned stop did not end within the history";
		return;
	}
	if (s->end->in_progress > 0)
		check_add_evidence(c, FG_PROMISE_PLANNED_STOP, s->end);
	for (guint i = 0; i < c->events->len; i++)
		if (event_at(c->events, i)->type == EV_INVOKE)
			check_request(s, event_at(c->events, i));
}

void check_stops(struct fg_check *c)
{
	for (guint i = 0; i < c->events->len; i++) {
		struct stop s = { .c = c, .begin = event_at(c->events, i) };
		const struct event *live;
		const GPtrArray *own;

		if (s.begin->type != EV_STOP_BEGIN)
			continue;
		own = check_find_events(c, c->by_who, s.begin->who);
		s.end = find_first(own, EV_STOP_END, s.begin->t);
		live = find_process_event(c, EV_LIVE, s.begin->who);
		s.addr = live != NULL ? live->addr : "";
		check_stop(&s);
	}
}

/* ---- Promise 8 ---- */

/* Returns when an entry stopped serving: when its planned stop began or when it
 * died. FG_MS_NEVER if neither happened. */
static fg_ms find_end_time(const struct fg_check *c, const char *who)
{
	const GPtrArray *own = check_find_events(c, c->by_who, who);
	const struct event *stop = find_first(own, EV_STOP_BEGIN, 0);
	const struct event *dead = find_process_event(c, EV_DEAD, who);
	fg_ms end = FG_MS_NEVER;

	if (stop != NULL)
		end = MIN(end, stop->t);
	if (dead != NULL)
		end = MIN(end, dead->t);
	return end;
}

static void check_revision_order(struct fg_check *c, const GPtrArray *own)
{
	struct event *highest = NULL;

	for (guint i = 0; i < own->len; i++) {
		struct event *ev = event_at(own, i);

		if (ev->type != EV_REVISION)
			continue;
		check_count_event(c, FG_PROMISE_CONFIGURATION);
		if (highest != NULL && ev->revision < highest->revision) {
			check_add_evidence(c, FG_PROMISE_CONFIGURATION,
					   highest);
			check_add_evidence(c, FG_PROMISE_CONFIGURATION, ev);
		}
		if (highest == NULL || ev->revision > highest->revision)
			highest = ev;
	}
}

/* Returns the event of the revision in force at an entry at time t, or NULL
 * before its first one. */
static struct event *find_revision_at(const GPtrArray *own, fg_ms t)
{
	struct event *last = NULL;

	for (guint i = 0; i < own->len; i++) {
		struct event *ev = event_at(own, i);

		if (ev->type == EV_REVISION && ev->t <= t)
			last = ev;
	}
	return last;
}

/* An entry without a revision serves no requests and is not checked. An entry
 * whose first revision comes after the time limit is checked at its first
 * revision. */
static void check_accepted(struct fg_check *c, struct event *accepted,
			   const char *who, const GPtrArray *own)
{
	fg_ms due = accepted->t + c->conf.revision_ms;
	struct event *first = find_first(own, EV_REVISION, 0);
	struct event *current;

	if (first == NULL)
		return;
	due = MAX(due, first->t);
	if (due > c->end || find_end_time(c, who) <= due)
		return;
	check_count_event(c, FG_PROMISE_CONFIGURATION);
	current = find_revision_at(own, due);
	if (current->revision >= accepted->revision)
		return;
	check_add_evidence(c, FG_PROMISE_CONFIGURATION, accepted);
	check_add_evidence(c, FG_PROMISE_CONFIGURATION, current);
}

/* All entries must have the same preset for a revision. */
static void check_presets(struct fg_check *c)
{
	GHashTable *first = g_hash_table_new(g_int64_hash, g_int64_equal);

	for (guint i = 0; i < c->events->len; i++) {
		struct event *ev = event_at(c->events, i);
		struct event *other;

		if (ev->type != EV_REVISION)
			continue;
		other = g_hash_table_lookup(first, &ev->revision);
		if (other == NULL) {
			g_hash_table_insert(first, &ev->revision, ev);
		} else if (strcmp(other->preset, ev->preset) != 0) {
			check_add_evidence(c, FG_PROMISE_CONFIGURATION, other);
			check_add_evidence(c, FG_PROMISE_CONFIGURATION, ev);
		}
	}
	g_hash_table_destroy(first);
}

static void check_entry(struct fg_check *c, const char *who,
			const GPtrArray *own)
{
	check_revision_order(c, own);
	for (guint i = 0; i < c->events->len; i++) {
		struct event *ev = event_at(c->events, i);

		if (ev->type == EV_ACCEPTED)
			check_accepted(c, ev, who, own);
	}
}

void check_revisions(struct fg_check *c)
{
	GHashTableIter iter;
	gpointer who, own;

	check_presets(c);
	g_hash_table_iter_init(&iter, c->by_who);
	while (g_hash_table_iter_next(&iter, &who, &own))
		check_entry(c, who, own);
}
