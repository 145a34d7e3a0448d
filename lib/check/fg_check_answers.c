/* Promises about answers: right adapter, complete, NOT_RUN only if not run,
 * filed once. */
#include "check/fg_check_internal.h"

#include <string.h>

static bool is_equal(const char *a, const char *b)
{
	return strcmp(a, b) == 0;
}

/* Returns the invocation that a run belongs to: the last one with its tag that
 * is not later, or the first one if all are later. NULL if there is none. */
static struct event *find_invoke(const struct fg_check *c,
				 const struct event *run)
{
	const GPtrArray *events = check_find_events(c, c->by_tag, run->tag);
	struct event *invoke = NULL;

	for (guint i = 0; i < events->len; i++) {
		struct event *ev = event_at(events, i);

		if (ev->type == EV_INVOKE &&
		    (invoke == NULL || ev->t <= run->t))
			invoke = ev;
	}
	return invoke;
}

/* The slot must hold the adapter and version that the engine was asked to run.
 */
static void check_slot(struct fg_check *c, struct event *run)
{
	check_count_event(c, FG_PROMISE_RIGHT_ADAPTER);
	if (!is_equal(run->adapter, run->slot_adapter) ||
	    !is_equal(run->version, run->slot_version))
		check_add_evidence(c, FG_PROMISE_RIGHT_ADAPTER, run);
}

/* An invocation without a version accepts any version. */
static void check_adapter(struct fg_check *c, struct event *run)
{
	struct event *invoke = find_invoke(c, run);

	check_slot(c, run);
	if (invoke == NULL)
		return;
	if (is_equal(run->adapter, invoke->adapter) &&
	    (*invoke->version == '\0' ||
	     is_equal(run->version, invoke->version)))
		return;
	check_add_evidence(c, FG_PROMISE_RIGHT_ADAPTER, invoke);
	check_add_evidence(c, FG_PROMISE_RIGHT_ADAPTER, run);
}

static bool is_successful_run(const struct event *ev)
{
	return (ev->type == EV_RUN_END || ev->type == EV_EXEC) && ev->ok == 1;
}

/* Returns true if a successful run produced the answer. A replayed answer may
 * come from a run with the same idempotency key and another tag. */
static bool has_successful_run(const struct fg_check *c,
			       const struct event *invoke,
			       const struct event *answer)
{
	const GPtrArray *events = check_find_events(c, c->by_tag, invoke->tag);

	for (guint i = 0; i < events->len; i++)
		if (is_successful_run(event_at(events, i)))
			return true;
	if (answer->replayed != 1)
		return false;
	for (guint i = 0; i < c->events->len; i++) {
		const struct event *ev = event_at(c->events, i);

		if (is_successful_run(ev) && *ev->key != '\0' &&
		    is_equal(ev->key, invoke->key) && ev->t <= answer->t)
			return true;
	}
	return false;
}

static void check_complete(struct fg_check *c, struct event *invoke,
			   struct event *answer)
{
	bool have_endpoint_histories = *c->missing[SOURCE_ENDPOINTS] == '\0';

	if (!is_equal(answer->outcome, "DONE"))
		return;
	check_count_event(c, FG_PROMISE_WHOLE_ANSWER);
	if (answer->whole == 1 &&
	    (!have_endpoint_histories || has_successful_run(c, invoke, answer)))
		return;
	check_add_evidence(c, FG_PROMISE_WHOLE_ANSWER, invoke);
	check_add_evidence(c, FG_PROMISE_WHOLE_ANSWER, answer);
}

/* Each answer must belong to an invocation and be its only answer. */
static void check_belongs_to_invoke(struct fg_check *c, struct event *answer)
{
	const struct event *invoke = find_invoke(c, answer);
	fg_ms until;

	if (invoke != NULL && check_find_return(c, invoke, &until) == answer)
		return;
	check_add_evidence(c, FG_PROMISE_WHOLE_ANSWER, answer);
}

static void check_not_run(struct fg_check *c, struct event *invoke,
			  struct event *answer, fg_ms until)
{
	const GPtrArray *events = check_find_events(c, c->by_tag, invoke->tag);

	if (!is_equal(answer->outcome, "NOT_RUN"))
		return;
	check_count_event(c, FG_PROMISE_NOT_RUN_TRUE);
	for (guint i = 0; i < events->len; i++) {
		struct event *ev = event_at(events, i);

		if (!event_is_execution(ev) || ev->t < invoke->t ||
		    ev->t >= until)
			continue;
		check_add_evidence(c, FG_PROMISE_NOT_RUN_TRUE, answer);
		check_add_evidence(c, FG_PROMISE_NOT_RUN_TRUE, ev);
	}
}

/* Idempotency keys are scoped to a caller. If the caller of a run is unknown,
 * only the keys are compared. */
static bool is_same_filing(const struct fg_check *c, const struct event *a,
			   const struct event *b)
{
	const struct event *x = find_invoke(c, a);
	const struct event *y = find_invoke(c, b);

	if (!is_equal(a->key, b->key))
		return false;
	return x == NULL || y == NULL || is_equal(x->who, y->who);
}

static void check_filed_once(struct fg_check *c, GHashTable *by_key,
			     struct event *exec)
{
	GPtrArray *earlier = g_hash_table_lookup(by_key, exec->key);

	check_count_event(c, FG_PROMISE_FILED_ONCE);
	if (earlier == NULL) {
		earlier = g_ptr_array_new();
		g_hash_table_insert(by_key, (gpointer)exec->key, earlier);
	}
	for (guint i = 0; i < earlier->len; i++) {
		if (!is_same_filing(c, event_at(earlier, i), exec))
			continue;
		check_add_evidence(c, FG_PROMISE_FILED_ONCE,
				   event_at(earlier, i));
		check_add_evidence(c, FG_PROMISE_FILED_ONCE, exec);
	}
	g_ptr_array_add(earlier, exec);
}

static void free_array(gpointer array)
{
	g_ptr_array_free(array, TRUE);
}

void check_answers(struct fg_check *c)
{
	GHashTable *by_key = g_hash_table_new_full(g_str_hash, g_str_equal,
						   NULL, free_array);

	for (guint i = 0; i < c->events->len; i++) {
		struct event *ev = event_at(c->events, i);
		struct event *answer = NULL;
		fg_ms until;

		if (ev->type == EV_INVOKE)
			answer = check_find_return(c, ev, &until);
		if (answer != NULL) {
			check_complete(c, ev, answer);
			check_not_run(c, ev, answer, until);
		}
		if (ev->type == EV_RETURN)
			check_belongs_to_invoke(c, ev);
		if (ev->type == EV_RUN_START)
			check_adapter(c, ev);
		/* The slot must be unchanged at the end of a successful run.
		 * Older histories lack these fields. */
		if (ev->type == EV_RUN_END && ev->ok == 1 &&
		    *ev->slot_adapter != '\0')
			check_slot(c, ev);
		if (ev->type == EV_EXEC && is_equal(ev->op, "file"))
			check_filed_once(c, by_key, ev);
	}
	g_hash_table_destroy(by_key);
}
