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

static void free_events(gpointer events)
{
	g_ptr_array_free(events, TRUE);
}

static GHashTable *index_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
				     free_events);
}

struct fg_check *fg_check_new(const struct fg_check_conf *conf)
{
	struct fg_check *c = g_new0(struct fg_check, 1);

	c->conf = *conf;
	c->events = g_ptr_array_new_with_free_func(event_free);
	c->texts = g_string_chunk_new(4096);
	c->by_tag = index_new();
	c->by_who = index_new();
	c->by_id = index_new();
	for (int i = 0; i < OF_COUNT; i++)
		c->missing[i] = "";
	for (int p = 1; p <= FG_PROMISE_LAST; p++) {
		c->findings[p].offenders = g_ptr_array_new();
		c->findings[p].reason = "";
	}
	return c;
}

void fg_check_free(struct fg_check *c)
{
	if (c == NULL)
		return;
	for (int p = 1; p <= FG_PROMISE_LAST; p++)
		g_ptr_array_free(c->findings[p].offenders, TRUE);
	g_hash_table_destroy(c->by_tag);
	g_hash_table_destroy(c->by_who);
	g_hash_table_destroy(c->by_id);
	g_ptr_array_free(c->events, TRUE);
	g_string_chunk_free(c->texts);
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
		ev = event_parse(line, c->texts, error);
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

const GPtrArray *check_find(const struct fg_check *c, GHashTable *index,
			    const char *key)
{
	static const GPtrArray none;
	const GPtrArray *events = g_hash_table_lookup(index, key);

	(void)c;
	return events != NULL ? events : &none;
}

static int by_time(gconstpointer a, gconstpointer b)
{
	const struct event *x = *(struct event *const *)a;
	const struct event *y = *(struct event *const *)b;

	if (x->t != y->t)
		return x->t < y->t ? -1 : 1;
	return x->seq < y->seq ? -1 : x->seq > y->seq;
}

static void build_indexes(struct fg_check *c)
{
	g_ptr_array_sort(c->events, by_time);
	for (guint i = 0; i < c->events->len; i++) {
		struct event *ev = event_at(c->events, i);

		index_add(c->by_tag, ev->tag, ev);
		index_add(c->by_who, ev->who, ev);
		index_add(c->by_id, ev->id, ev);
		c->end = MAX(c->end, ev->t);
	}
}

struct event *check_return_of(const struct fg_check *c,
			      const struct event *invoke, fg_ms *until)
{
	const GPtrArray *events = check_find(c, c->by_tag, invoke->tag);
	struct event *answer = NULL;

	*until = FG_MS_NEVER;
	for (guint i = 0; i < events->len; i++) {
		struct event *ev = event_at(events, i);

		if (by_time(&ev, &invoke) <= 0)
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

static void miss(struct fg_check *c, enum history_of of, const char *reason)
{
	if (*c->missing[of] == '\0')
		c->missing[of] = reason;
}

static const char *no_history_of(struct fg_check *c, const char *name)
{
	char *text = g_strdup_printf("no history of %s", name);
	const char *reason = g_string_chunk_insert_const(c->texts, text);

	g_free(text);
	return reason;
}

static void expect_process(struct fg_check *c, const struct event *live)
{
	const char *reason;

	if (g_hash_table_contains(c->by_who, live->name))
		return;
	reason = no_history_of(c, live->name);
	if (*live->kind == '\0')
		for (int i = 0; i < OF_COUNT; i++)
			miss(c, i, reason);
	else if (strcmp(live->kind, "caller") == 0)
		miss(c, OF_CALLERS, reason);
	else if (strcmp(live->kind, "entry") == 0)
		miss(c, OF_ENTRIES, reason);
	else if (strcmp(live->kind, "engine") == 0 ||
		 strcmp(live->kind, "plain") == 0)
		miss(c, OF_ENDPOINTS, reason);
}

static bool has(const GPtrArray *events, enum event_type type)
{
	for (guint i = 0; i < events->len; i++)
		if (event_at(events, i)->type == type)
			return true;
	return false;
}

static void expect_origin(struct fg_check *c, const struct event *run)
{
	if (!has(check_find(c, c->by_tag, run->tag), EV_INVOKE))
		miss(c, OF_CALLERS, "a request ran that no caller invoked");
	if (!has(check_find(c, c->by_id, run->id), EV_DISPATCH))
		miss(c, OF_ENTRIES, "a request ran that no entry dispatched");
}

static void find_missing(struct fg_check *c)
{
	bool seen[OF_COUNT] = { false };

	for (guint i = 0; i < c->events->len; i++) {
		const struct event *ev = event_at(c->events, i);

		if (ev->type == EV_LIVE)
			expect_process(c, ev);
		if (ev->type == EV_DISPATCH && *ev->ep != '\0' &&
		    !g_hash_table_contains(c->by_who, ev->ep))
			miss(c, OF_ENDPOINTS, no_history_of(c, ev->ep));
		if (event_is_run(ev))
			expect_origin(c, ev);
		seen[OF_CALLERS] |= ev->type == EV_INVOKE;
		seen[OF_ENDPOINTS] |= event_is_run(ev);
		seen[OF_ENTRIES] |=
			ev->type == EV_REVISION || ev->type == EV_DISPATCH;
		if (ev->type == EV_LOAD_START || ev->type == EV_RESTART)
			seen[OF_ENDPOINTS] = true;
	}
	if (!seen[OF_CALLERS])
		miss(c, OF_CALLERS, "no history of callers");
	if (!seen[OF_ENDPOINTS])
		miss(c, OF_ENDPOINTS, "no history of endpoints");
	if (!seen[OF_ENTRIES])
		miss(c, OF_ENTRIES, "no history of entries");
}

static const bool needs[FG_PROMISE_LAST + 1][OF_COUNT] = {
	[FG_PROMISE_RIGHT_ADAPTER] = { true, true, false },
	[FG_PROMISE_NO_EVICTION_IN_USE] = { false, true, false },
	[FG_PROMISE_WHOLE_ANSWER] = { true, true, false },
	[FG_PROMISE_NOT_RUN_TRUE] = { true, true, false },
	[FG_PROMISE_FILED_ONCE] = { false, true, false },
	[FG_PROMISE_LEAVING] = { false, true, false },
	[FG_PROMISE_PLANNED_STOP] = { true, true, true },
	[FG_PROMISE_CONFIGURATION] = { false, false, true },
};

static void apply_missing(struct fg_check *c)
{
	for (int p = 1; p <= FG_PROMISE_LAST; p++)
		for (int of = 0; of < OF_COUNT; of++)
			if (needs[p][of] && *c->findings[p].reason == '\0')
				c->findings[p].reason = c->missing[of];
}

/* ---- Verdicts ---- */

void check_count(struct fg_check *c, enum fg_promise p)
{
	c->findings[p].events++;
}

void check_offends(struct fg_check *c, enum fg_promise p, struct event *ev)
{
	GPtrArray *offenders = c->findings[p].offenders;

	if (!g_ptr_array_find(offenders, ev, NULL))
		g_ptr_array_add(offenders, ev);
}

void fg_check_run(struct fg_check *c)
{
	build_indexes(c);
	find_missing(c);
	check_answers(c);
	check_engines(c);
	check_stops(c);
	check_revisions(c);
	apply_missing(c);
	for (int p = 1; p <= FG_PROMISE_LAST; p++)
		g_ptr_array_sort(c->findings[p].offenders, by_time);
}

enum fg_verdict fg_check_verdict(const struct fg_check *c, enum fg_promise p)
{
	if (c->findings[p].offenders->len > 0)
		return FG_VERDICT_VIOLATED;
	return *c->findings[p].reason != '\0' ? FG_VERDICT_UNDECIDED
					      : FG_VERDICT_OK;
}

uint32_t fg_check_events(const struct fg_check *c, enum fg_promise p)
{
	return c->findings[p].events;
}

uint32_t fg_check_evidence_count(const struct fg_check *c, enum fg_promise p)
{
	return c->findings[p].offenders->len;
}

const char *fg_check_evidence_line(const struct fg_check *c, enum fg_promise p,
				   uint32_t i)
{
	return event_at(c->findings[p].offenders, i)->line;
}

const char *fg_check_reason(const struct fg_check *c, enum fg_promise p)
{
	if (fg_check_verdict(c, p) != FG_VERDICT_UNDECIDED)
		return "";
	return c->findings[p].reason;
}
