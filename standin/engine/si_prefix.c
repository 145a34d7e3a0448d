#include <string.h>

#include "base/fg_rand.h"
#include "engine/si_engine.h"

#define CACHED_MAX 64
#define EVENTS_MAX 1024
#define EVENT_LAG_MS 500
#define EVENT_GAP 7 /* one event in EVENT_GAP is lost */
#define PREFIX_BYTES 64

struct event {
	uint64_t seq;
	fg_ms t;
	bool cached;
	uint64_t prefix;
};

struct si_prefix {
	GQueue *cached; /* uint64_t hashes, least recently used first */
	GArray *events; /* struct event, oldest first */
	uint64_t seq;
};

struct si_prefix *si_prefix_new(void)
{
	struct si_prefix *p = g_new0(struct si_prefix, 1);

	p->cached = g_queue_new();
	p->events = g_array_new(FALSE, FALSE, sizeof(struct event));
	return p;
}

void si_prefix_clear(struct si_prefix *p)
{
	g_queue_clear_full(p->cached, g_free);
}

void si_prefix_free(struct si_prefix *p)
{
	si_prefix_clear(p);
	g_queue_free(p->cached);
	g_array_free(p->events, TRUE);
	g_free(p);
}

static void publish_event(struct si_prefix *p, bool cached, uint64_t prefix)
{
	struct event ev = { ++p->seq, fg_clock_now(), cached, prefix };

	if (p->seq % EVENT_GAP == 0)
		return;
	if (p->events->len == EVENTS_MAX)
		g_array_remove_index(p->events, 0);
	g_array_append_val(p->events, ev);
}

static uint64_t hash_prefix(const struct si_run *run)
{
	char *text = g_strdup_printf("%s@%s|%.*s", run->adapter, run->version,
				     PREFIX_BYTES, run->prompt);
	uint64_t hash = fg_hash_str(text);

	g_free(text);
	return hash;
}

static gint compare_hashes(gconstpointer a, gconstpointer b)
{
	return *(const uint64_t *)a != *(const uint64_t *)b;
}

bool si_prefix_use(struct si_prefix *p, const struct si_run *run)
{
	uint64_t hash = hash_prefix(run);
	GList *link = g_queue_find_custom(p->cached, &hash, compare_hashes);

	if (link) {
		g_queue_unlink(p->cached, link);
		g_queue_push_tail_link(p->cached, link);
		return true;
	}
	if (g_queue_get_length(p->cached) == CACHED_MAX) {
		uint64_t *old = g_queue_pop_head(p->cached);

		publish_event(p, false, *old);
		g_free(old);
	}
	g_queue_push_tail(p->cached, g_memdup2(&hash, sizeof(hash)));
	publish_event(p, true, hash);
	return false;
}

static json_t *event_json(const struct event *ev)
{
	char prefix[17];

	g_snprintf(prefix, sizeof(prefix), "%016" G_GINT64_MODIFIER "x",
		   ev->prefix);
	return json_pack("{s:I, s:s, s:s}", "seq", (json_int_t)ev->seq, "event",
			 ev->cached ? "cached" : "dropped", "prefix", prefix);
}

json_t *si_prefix_events(struct si_prefix *p, uint64_t after)
{
	fg_ms newest = fg_clock_now() - EVENT_LAG_MS;
	json_t *events = json_array();

	for (guint i = 0; i < p->events->len; i++) {
		struct event *ev = &g_array_index(p->events, struct event, i);

		if (ev->seq > after && ev->t <= newest)
			json_array_append_new(events, event_json(ev));
	}
	return json_pack("{s:o}", "events", events);
}
