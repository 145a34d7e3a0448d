#include "check/fg_check_internal.h"

#include <string.h>

GQuark fg_check_error_quark(void)
{
	return g_quark_from_static_string("fg-check-error");
}

void fg_check_conf_defaults(struct fg_check_conf *conf)
{
	conf->leaving_ms = 5000;
	conf->revision_ms = 7000;
}

static void free_array(gpointer events)
{
	g_ptr_array_free(events, TRUE);
}

static GHashTable *index_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_array);
}

struct fg_check *fg_check_new(const struct fg_check_conf *conf)
{
	struct fg_check *c = g_new0(struct fg_check, 1);

	c->conf = *conf;
	c->events = g_ptr_array_new_with_free_func(event_free);
	c->strings = g_string_chunk_new(4096);
	c->by_tag = index_new();
	c->by_who = index_new();
	c->by_id = index_new();
	for (int i = 0; i < SOURCE_COUNT; i++)
		c->missing[i] = "";
	for (int p = 1; p <= FG_PROMISE_LAST; p++) {
		c->findings[p].evidence = g_ptr_array_new();
		c->findings[p].reason = "";
	}
	return c;
}

void fg_check_free(struct fg_check *c)
{
	if (c == NULL)
		return;
	for (int p = 1; p <= FG_PROMISE_LAST; p++)
		g_ptr_array_free(c->findings[p].evidence, TRUE);
	g_hash_table_destroy(c->by_tag);
	g_hash_table_destroy(c->by_who);
	g_hash_table_destroy(c->by_id);
	g_ptr_array_free(c->events, TRUE);
	g_string_chunk_free(c->strings);
	g_free(c);
}

bool fg_check_add(struct fg_check *c, const char *text, GError **error)
{
	const char *end;

	for (; (end = strchr(text, '\n')) != NULL; text = end + 1) {
		char *line;
		struct event *ev;

		if (end == text)
			continue;
		line = g_strndup(text, end - text);
		ev = event_parse(line, c->strings, error);
		g_free(line);
		if (ev == NULL)
			return false;
		ev->seq = c->events->len;
		g_ptr_array_add(c->events, ev);
	}
	return true;
}

/* ---- Indexes ---- */

static void index_add(GHashTable *index, const char *key, struct event *ev)
{
	GPtrArray *events = g_hash_table_lookup(index, key);

	if (*key == '\0')
		return;
	if (events == NULL) {
		events = g_ptr_array_new();
		g_hash_table_insert(index, (gpointer)key, events);
	}
	g_ptr_array_add(events, ev);
}

const GPtrArray *check_find_events(const struct fg_check *c, GHashTable *index,
				   const char *key)
{
	static const GPtrArray none;
	const GPtrArray *events = g_hash_table_lookup(index, key);

	(void)c;
	return events != NULL ? events : &none;
}

static int compare_by_time(gconstpointer a, gconstpointer b)
{
	const struct event *x = *(struct event *const *)a;
	const struct event *y = *(struct event *const *)b;

	if (x->t != y->t)
		return x->t < y->t ? -1 : 1;
	return x->seq < y->seq ? -1 : x->seq > y->seq;
}

static void build_indexes(struct fg_check *c)
{
	g_ptr_array_sort(c->events, compare_by_time);
	for (guint i = 0; i < c->events->len; i++) {
		struct event *ev = event_at(c->events, i);

		index_add(c->by_tag, ev->tag, ev);
		index_add(c->by_who, ev->who, ev);
		index_add(c->by_id, ev->id, ev);
		c->end = MAX(c->end, ev->t);
	}
}

struct event *check_find_return(const struct fg_check *c,
				const struct event *invoke, fg_ms *until)
{
	const GPtrArray *events = check_find_events(c, c->by_tag, invoke->tag);
	struct event *answer = NULL;

	*until = FG_MS_NEVER;
	for (guint i = 0; i < events->len; i++) {
		struct event *ev = event_at(events, i);

		if (compare_by_time(&ev, &invoke) <= 0)
			continue;
		if (ev->type == EV_INVOKE) {
			*until = ev->t;
			break;
		}
		if (ev->type == EV_RETURN && answer == NULL)
			answer = ev;
	}
	return answer;
}

/* ---- Missing histories ---- */

static void mark_missing(struct fg_check *c, enum source source,
			 const char *reason)
{
	if (*c->missing[source] == '\0')
		c->missing[source] = reason;
}

static const char *format_no_history(struct fg_check *c, const char *name)
{
	char *text = g_strdup_printf("no history of %s", name);
	const char *reason = g_string_chunk_insert_const(c->strings, text);

	g_free(text);
	return reason;
}

static void require_history(struct fg_check *c, const struct event *live)
{
	const char *reason;

	if (g_hash_table_contains(c->by_who, live->name))
		return;
	reason = format_no_history(c, live->name);
	if (*live->kind == '\0')
		for (int i = 0; i < SOURCE_COUNT; i++)
			mark_missing(c, i, reason);
	else if (strcmp(live->kind, "caller") == 0)
		mark_missing(c, SOURCE_CALLERS, reason);
	else if (strcmp(live->kind, "entry") == 0)
		mark_missing(c, SOURCE_ENTRIES, reason);
	else if (strcmp(live->kind, "engine") == 0 ||
		 strcmp(live->kind, "plain") == 0)
		mark_missing(c, SOURCE_ENDPOINTS, reason);
}

static bool has_event_of_type(const GPtrArray *events, enum event_type type)
{
	for (guint i = 0; i < events->len; i++)
		if (event_at(events, i)->type == type)
			return true;
	return false;
}

static void require_origin(struct fg_check *c, const struct event *run)
{
	if (!has_event_of_type(check_find_events(c, c->by_tag, run->tag),
			       EV_INVOKE))
		mark_missing(c, SOURCE_CALLERS,
			     "a request ran that no caller invoked");
	if (!has_event_of_type(check_find_events(c, c->by_id, run->id),
			       EV_DISPATCH))
		mark_missing(c, SOURCE_ENTRIES,
			     "a request ran that no entry dispatched");
}

static void find_missing(struct fg_check *c)
{
	bool seen[SOURCE_COUNT] = { false };

	for (guint i = 0; i < c->events->len; i++) {
		const struct event *ev = event_at(c->events, i);

		if (ev->type == EV_LIVE)
			require_history(c, ev);
		if (ev->type == EV_DISPATCH && *ev->ep != '\0' &&
		    !g_hash_table_contains(c->by_who, ev->ep))
			mark_missing(c, SOURCE_ENDPOINTS,
				     format_no_history(c, ev->ep));
		if (event_is_execution(ev))
			require_origin(c, ev);
		seen[SOURCE_CALLERS] |= ev->type == EV_INVOKE;
		seen[SOURCE_ENDPOINTS] |= event_is_execution(ev);
		seen[SOURCE_ENTRIES] |=
			ev->type == EV_REVISION || ev->type == EV_DISPATCH;
		if (ev->type == EV_LOAD_START || ev->type == EV_RESTART)
			seen[SOURCE_ENDPOINTS] = true;
	}
	if (!seen[SOURCE_CALLERS])
		mark_missing(c, SOURCE_CALLERS, "no history of callers");
	if (!seen[SOURCE_ENDPOINTS])
		mark_missing(c, SOURCE_ENDPOINTS, "no history of endpoints");
	if (!seen[SOURCE_ENTRIES])
		mark_missing(c, SOURCE_ENTRIES, "no history of entries");
}

static const bool required[FG_PROMISE_LAST + 1][SOURCE_COUNT] = {
	[FG_PROMISE_RIGHT_ADAPTER] = { true, true, false },
	[FG_PROMISE_NO_EVICTION_IN_USE] = { false, true, false },
	[FG_PROMISE_WHOLE_ANSWER] = { true, true, false },
	[FG_PROMISE_NOT_RUN_TRUE] = { true, true, false },
	[FG_PROMISE_FILED_ONCE] = { false, true, false },
	[FG_PROMISE_LEAVING] = { false, true, false },
	[FG_PROMISE_PLANNED_STOP] = { true, true, true },
	[FG_PROMISE_CONFIGURATION] = { false, false, true },
};

static void set_undecided_reasons(struct fg_check *c)
{
	for (int p = 1; p <= FG_PROMISE_LAST; p++)
		for (int source = 0; source < SOURCE_COUNT; source++)
			if (required[p][source] &&
			    *c->findings[p].reason == '\0')
				c->findings[p].reason = c->missing[source];
}

/* ---- Verdicts ---- */

void check_count_event(struct fg_check *c, enum fg_promise p)
{
	c->findings[p].n_checked++;
}

void check_add_evidence(struct fg_check *c, enum fg_promise p, struct event *ev)
{
	GPtrArray *evidence = c->findings[p].evidence;

	if (!g_ptr_array_find(evidence, ev, NULL))
		g_ptr_array_add(evidence, ev);
}

void fg_check_run(struct fg_check *c)
{
	build_indexes(c);
	find_missing(c);
	check_answers(c);
	check_engines(c);
	check_stops(c);
	check_revisions(c);
	set_undecided_reasons(c);
	for (int p = 1; p <= FG_PROMISE_LAST; p++)
		g_ptr_array_sort(c->findings[p].evidence, compare_by_time);
}

enum fg_verdict fg_check_verdict(const struct fg_check *c, enum fg_promise p)
{
	if (c->findings[p].evidence->len > 0)
		return FG_VERDICT_VIOLATED;
	return *c->findings[p].reason != '\0' ? FG_VERDICT_UNDECIDED
					      : FG_VERDICT_OK;
}

uint32_t fg_check_events(const struct fg_check *c, enum fg_promise p)
{
	return c->findings[p].n_checked;
}

uint32_t fg_check_evidence_count(const struct fg_check *c, enum fg_promise p)
{
	return c->findings[p].evidence->len;
}

const char *fg_check_evidence_line(const struct fg_check *c, enum fg_promise p,
				   uint32_t i)
{
	return event_at(c->findings[p].evidence, i)->line;
}

const char *fg_check_reason(const struct fg_check *c, enum fg_promise p)
{
	if (fg_check_verdict(c, p) != FG_VERDICT_UNDECIDED)
		return "";
	return c->findings[p].reason;
}
