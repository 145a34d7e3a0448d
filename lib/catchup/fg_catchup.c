#include "catchup/fg_catchup.h"

#include <glib.h>

#include "base/fg_rand.h"

struct peer {
	uint64_t incarnation;
	uint64_t newest;
	uint64_t order; /* among those at the same distance; lowest first */
	enum fg_catchup_distance distance;
	fg_ms heard_at;
	fg_ms retry_at; /* not asked before */
};

struct fg_catchup {
	uint64_t self;
	GHashTable *peers; /* incarnation -> struct peer * */
	uint64_t reported; /* highest version reported */
	fg_ms behind_since;
	bool behind;
	uint64_t asked; /* instance of the call in progress; 0: none */
	fg_ms asked_at;
	fg_ms call_ms; /* until the call is given up */
	bool active;
};

struct fg_catchup *fg_catchup_new(uint64_t self)
{
	struct fg_catchup *c = g_new0(struct fg_catchup, 1);

	c->self = self;
	c->call_ms = FG_CATCHUP_CALL_MS;
	c->peers = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 g_free);
	return c;
}

void fg_catchup_free(struct fg_catchup *c)
{
	if (c == NULL)
		return;
	g_hash_table_unref(c->peers);
	g_free(c);
}

static void update_behind(struct fg_catchup *c, fg_ms now, uint64_t known)
{
	bool behind = fg_catchup_is_behind(c, known);

	if (behind && !c->behind)
		c->behind_since = now;
	c->behind = behind;
}

void fg_catchup_on_report(struct fg_catchup *c, fg_ms now, uint64_t known,
			  const struct fg_catchup_report *report)
{
	struct peer *p = g_hash_table_lookup(c->peers, &report->incarnation);

	if (p == NULL) {
		p = g_new0(struct peer, 1);
		p->incarnation = report->incarnation;
		p->order = fg_hash_mix(c->self, report->incarnation);
		p->retry_at = now;
		g_hash_table_insert(c->peers, &p->incarnation, p);
	}
	/* What it lacked at the last call may have come since. */
	if (report->newest > p->newest)
		p->retry_at = now;
	p->newest = report->newest;
	p->distance = report->distance;
	p->heard_at = now;
	c->reported = MAX(c->reported, report->newest);
	update_behind(c, now, known);
}

static void end_call(struct fg_catchup *c, fg_ms now, uint64_t known, bool ok)
{
	struct peer *p = g_hash_table_lookup(c->peers, &c->asked);

	if (p != NULL && (!ok || p->newest > known))
		p->retry_at = now + FG_CATCHUP_RETRY_MS;
	c->asked = 0;
	update_behind(c, now, known);
}

void fg_catchup_on_answer(struct fg_catchup *c, fg_ms now, uint64_t known,
			  bool ok)
{
	if (c->asked == 0)
		return;
	end_call(c, now, known, ok);
	c->call_ms = FG_CATCHUP_CALL_MS;
}

void fg_catchup_on_full_read(struct fg_catchup *c)
{
	c->reported = 0;
	c->behind = false;
}

static gboolean is_silent(gpointer key, gpointer value, gpointer data)
{
	const struct peer *p = value;
	const fg_ms *now = data;
	fg_ms limit_ms = p->distance == FG_CATCHUP_FAR ? FG_CATCHUP_HEARD_FAR_MS
						       : FG_CATCHUP_HEARD_MS;

	(void)key;
	return *now - p->heard_at >= limit_ms;
}

static bool comes_before(const struct peer *a, const struct peer *b)
{
	if (a->distance != b->distance)
		return a->distance < b->distance;
	return a->order < b->order;
}

static const struct peer *choose(const struct fg_catchup *c, fg_ms now,
				 uint64_t known)
{
	const struct peer *best = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer *p = value;

		if (p->newest <= known || now < p->retry_at)
			continue;
		if (best == NULL || comes_before(p, best))
			best = p;
	}
	return best;
}

static enum fg_catchup_reason reason_to_ask(const struct fg_catchup *c,
					    fg_ms now,
					    const struct fg_catchup_view *view)
{
	if (!view->enabled || !c->behind ||
	    (!view->reads_fail && now - c->behind_since < FG_CATCHUP_BEHIND_MS))
		return FG_CATCHUP_NO_REASON;
	if (!view->has_config)
		return FG_CATCHUP_NO_CONFIG;
	return view->reads_fail ? FG_CATCHUP_READS_FAIL : FG_CATCHUP_BEHIND;
}

struct fg_catchup_step fg_catchup_step(struct fg_catchup *c, fg_ms now,
				       const struct fg_catchup_view *view)
{
	struct fg_catchup_step step = { 0 };
	enum fg_catchup_reason reason;
	const struct peer *next;

	update_behind(c, now, view->known);
	if (c->asked != 0 && now - c->asked_at >= c->call_ms) {
		end_call(c, now, view->known, false);
		c->call_ms = MIN(2 * c->call_ms, FG_CATCHUP_CALL_MAX_MS);
		step.gave_up = true;
	}
	g_hash_table_foreach_remove(c->peers, is_silent, &now);
	if (c->active &&
	    (!view->enabled || (!view->reads_fail && !c->behind))) {
		c->active = false;
		step.ended = true;
	}
	reason = reason_to_ask(c, now, view);
	if (reason == FG_CATCHUP_NO_REASON || c->asked != 0)
		return step;
	next = choose(c, now, view->known);
	if (next == NULL)
		return step;
	c->asked = next->incarnation;
	c->asked_at = now;
	step.ask = next->incarnation;
	if (!c->active)
		step.began = reason;
	c->active = true;
	return step;
}

bool fg_catchup_is_behind(const struct fg_catchup *c, uint64_t known)
{
	return c->reported > known;
}

bool fg_catchup_is_active(const struct fg_catchup *c)
{
	return c->active;
}

uint64_t fg_catchup_reported(const struct fg_catchup *c)
{
	return c->reported;
}

const char *fg_catchup_reason_name(enum fg_catchup_reason reason)
{
	switch (reason) {
	case FG_CATCHUP_NO_CONFIG:
		return "no_configuration";
	case FG_CATCHUP_READS_FAIL:
		return "reads_fail";
	case FG_CATCHUP_BEHIND:
		return "behind";
	default:
		return "none";
	}
}
