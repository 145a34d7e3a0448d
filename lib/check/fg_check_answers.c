/* Promises about answers: right adapter, whole, truly not run, filed once. */
#include "check/fg_check_internal.h"

#include <string.h>

static bool same(const char *a, const char *b)
{
	return strcmp(a, b) == 0;
}

/* The invocation that a run belongs to: the last one of its tag before it. */
static struct event *invoke_of(const struct fg_check *c,
			       const struct event *run)
{
	const GPtrArray *events = check_find(c, c->by_tag, run->tag);
	struct event *invoke = NULL;

	for (guint i = 0; i < events->len; i++) {
		struct event *ev = event_at(events, i);

		if (ev->type == EV_INVOKE &&
		    (invoke == NULL || ev->t <= run->t))
			invoke = ev;
	}
	return invoke;
}

/* An invocation without version takes any. */
static void check_adapter(struct fg_check *c, struct event *run)
{
	struct event *invoke = invoke_of(c, run);

	check_count(c, FG_PROMISE_RIGHT_ADAPTER);
	if (!same(run->adapter, run->slot_adapter) ||
	    !same(run->version, run->slot_version))
		check_offends(c, FG_PROMISE_RIGHT_ADAPTER, run);
	if (invoke == NULL)
		return;
	if (same(run->adapter, invoke->adapter) &&
	    (*invoke->version == '\0' || same(run->version, invoke->version)))
		return;
	check_offends(c, FG_PROMISE_RIGHT_ADAPTER, invoke);
	check_offends(c, FG_PROMISE_RIGHT_ADAPTER, run);
}

static bool ran_well(const struct event *ev)
{
	return (ev->type == EV_RUN_END || ev->type == EV_EXEC) && ev->ok == 1;
}

/* Some run that ended well stands behind the answer. */
static bool has_source(const struct fg_check *c, const struct event *invoke,
		       const struct event *answer)
{
	const GPtrArray *events = check_find(c, c->by_tag, invoke->tag);

	for (guint i = 0; i < events->len; i++)
		if (ran_well(event_at(events, i)))
			return true;
	if (answer->replayed != 1)
		return false;
	for (guint i = 0; i < c->events->len; i++) {
		const struct event *ev = event_at(c->events, i);

		if (ran_well(ev) && *ev->key != '\0' &&
		    same(ev->key, invoke->key) && ev->t <= answer->t)
			return true;
	}
	return false;
}

static void check_whole(struct fg_check *c, struct event *invoke,
			struct event *answer)
{
	bool complete = *c->missing[OF_ENDPOINTS] == '\0';

	if (!same(answer->outcome, "DONE"))
		return;
	check_count(c, FG_PROMISE_WHOLE_ANSWER);
	if (answer->whole == 1 && (!complete || has_source(c, invoke, answer)))
		return;
	check_offends(c, FG_PROMISE_WHOLE_ANSWER, invoke);
	check_offends(c, FG_PROMISE_WHOLE_ANSWER, answer);
}

/* An invocation has one answer, and an answer has an invocation. */
static void check_own(struct fg_check *c, struct event *answer)
{
	const struct event *invoke = invoke_of(c, answer);
	fg_ms until;

	if (invoke != NULL && check_return_of(c, invoke, &until) == answer)
		return;
	check_offends(c, FG_PROMISE_WHOLE_ANSWER, answer);
}

static void check_not_run(struct fg_check *c, struct event *invoke,
			  struct event *answer, fg_ms until)
{
	const GPtrArray *events = check_find(c, c->by_tag, invoke->tag);

	if (!same(answer->outcome, "NOT_RUN"))
		return;
	check_count(c, FG_PROMISE_NOT_RUN_TRUE);
	for (guint i = 0; i < events->len; i++) {
		struct event *ev = event_at(events, i);

		if (!event_is_run(ev) || ev->t < invoke->t || ev->t >= until)
			continue;
		check_offends(c, FG_PROMISE_NOT_RUN_TRUE, answer);
		check_offends(c, FG_PROMISE_NOT_RUN_TRUE, ev);
	}
}

/* Keys belong to a caller; a run whose caller is not known may be anybody's,
 * so it is compared by key alone. */
static bool same_filing(const struct fg_check *c, const struct event *a,
			const struct event *b)
{
	const struct event *x = invoke_of(c, a);
	const struct event *y = invoke_of(c, b);

	if (!same(a->key, b->key))
		return false;
	return x == NULL || y == NULL || same(x->who, y->who);
}

static void check_filed(struct fg_check *c, GHashTable *by_key,
			struct event *exec)
{
	GPtrArray *earlier = g_hash_table_lookup(by_key, exec->key);

	check_count(c, FG_PROMISE_FILED_ONCE);
	if (earlier == NULL) {
		earlier = g_ptr_array_new();
		g_hash_table_insert(by_key, (gpointer)exec->key, earlier);
	}
	for (guint i = 0; i < earlier->len; i++) {
		if (!same_filing(c, event_at(earlier, i), exec))
			continue;
		check_offends(c, FG_PROMISE_FILED_ONCE, event_at(earlier, i));
		check_offends(c, FG_PROMISE_FILED_ONCE, exec);
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
			answer = check_return_of(c, ev, &until);
		if (answer != NULL) {
			check_whole(c, ev, answer);
			check_not_run(c, ev, answer, until);
		}
		if (ev->type == EV_RETURN)
			check_own(c, ev);
		if (ev->type == EV_RUN_START)
			check_adapter(c, ev);
		if (ev->type == EV_EXEC && same(ev->op, "file"))
			check_filed(c, by_key, ev);
	}
	g_hash_table_destroy(by_key);
}
