/*
 * Messages between peers. CONFIG_ASK is both a question and the
 * acknowledgement of its from_revision. CONFIG_TELL carries a JSON list of
 * deltas or, with base 0, one part of a snapshot.
 */
#include <stdlib.h>
#include <string.h>

#include "config/fg_confsync_priv.h"

#define ASK_RETRY_MS 1000 /* without progress, ask again */
#define ASK_SMALL 64	  /* revisions asked of peers while the table works */
#define PUSH_GAP_MS 500	  /* before the second push to a peer; doubles */
#define PUSH_GAP_MAX_MS 16000
#define SEND_GAP_MS 20	    /* between parts of a snapshot to one peer */
#define PEER_KEEP_MS 60000  /* a silent peer that is not live */
#define CACHE_KEEP_MS 10000 /* snapshot parts kept after their last use */

static uint64_t revision(const struct fg_confsync *s)
{
	return fg_config_revision(s->c);
}

/* ---- Peers ---- */

struct cs_peer *cs_peer(struct fg_confsync *s, uint64_t id)
{
	struct cs_peer *p = g_hash_table_lookup(s->peers, &id);

	if (p != NULL)
		return p;
	p = g_new0(struct cs_peer, 1);
	p->id = id;
	p->push_at = CS_NEVER;
	g_hash_table_insert(s->peers, &p->id, p);
	return p;
}

static void mark_live(struct fg_confsync *s, const uint64_t *ids, size_t n)
{
	for (size_t i = 0; i < n; i++)
		if (ids[i] != s->self)
			cs_peer(s, ids[i])->live = true;
}

void fg_confsync_set_live(struct fg_confsync *s, const uint64_t *ids, size_t n)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init(&it, s->peers);
	while (g_hash_table_iter_next(&it, NULL, &p))
		((struct cs_peer *)p)->live = false;
	mark_live(s, ids, n);
	g_hash_table_iter_init(&it, s->peers);
	while (g_hash_table_iter_next(&it, NULL, &p)) {
		const struct cs_peer *peer = p;

		if (peer->live || s->now - peer->heard < PEER_KEEP_MS)
			continue;
		s->n_sending -= peer->sending;
		g_hash_table_iter_remove(&it);
	}
	s->live_known = true;
}

void fg_confsync_set_live_at(struct fg_confsync *s, fg_ms asked,
			     const uint64_t *ids, size_t n)
{
	fg_confsync_set_live(s, ids, n);
	s->live_timed = true;
	s->live_asked = asked;
}

size_t fg_confsync_list_unacked(const struct fg_confsync *s, uint64_t wanted,
				uint64_t *ids, size_t max)
{
	GHashTableIter it;
	gpointer value;
	size_t n = 0;

	g_hash_table_iter_init(&it, s->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct cs_peer *p = value;

		if (!p->live || p->revision >= wanted)
			continue;
		if (n < max)
			ids[n] = p->id;
		n++;
	}
	return n;
}

/* ---- Asking ---- */

static void send_ask(struct fg_confsync *s, uint64_t to)
{
	fg_msg *m = fg_msg_new(FG_MSG_CONFIG_ASK);

	m->body.fg_body_u.config_ask.from_revision = revision(s);
	cs_send(s, to, m);
}

/* The peer with the highest revision; equal ones take turns. */
static struct cs_peer *best_peer(struct fg_confsync *s)
{
	struct cs_peer *best = NULL;
	uint64_t best_score = 0;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, s->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct cs_peer *p = value;
		uint64_t score = fg_hash_mix(p->id, s->self + s->ask_count);

		if (p->revision <= revision(s))
			continue;
		if (best != NULL &&
		    (p->revision < best->revision ||
		     (p->revision == best->revision && score <= best_score)))
			continue;
		best = p;
		best_score = score;
	}
	return best;
}

/* While the table can be read, a wide gap is closed from there. */
static void ask_step(struct fg_confsync *s)
{
	const struct cs_peer *p;

	if (s->highest <= revision(s) || s->now < s->ask_at)
		return;
	p = best_peer(s);
	if (p == NULL)
		return;
	if (cs_table_healthy(s) && p->revision - revision(s) > ASK_SMALL)
		return;
	s->ask_at = s->now + ASK_RETRY_MS;
	s->ask_count++;
	send_ask(s, p->id);
}

void cs_peer_heard(struct fg_confsync *s, uint64_t id, uint64_t heard)
{
	struct cs_peer *p = cs_peer(s, id);

	p->heard = s->now;
	s->highest = MAX(s->highest, heard);
	if (heard > p->revision)
		p->revision = heard;
}

/* ---- Telling deltas ---- */

static void send_tell(struct fg_confsync *s, uint64_t to, uint64_t base,
		      uint64_t to_revision, const char *text, bool more)
{
	fg_msg *m = fg_msg_new(FG_MSG_CONFIG_TELL);
	fg_config_tell *t = &m->body.fg_body_u.config_tell;

	t->base = base;
	t->revision = to_revision;
	t->more = more;
	free(t->text);
	t->text = strdup(text);
	if (t->text == NULL)
		abort();
	cs_send(s, to, m);
}

/* Sends the deltas after `from`, as many as one message takes; false when
 * they are no longer kept. Revision 0 has no delta: base 0 is a snapshot. */
static bool tell_deltas(struct fg_confsync *s, uint64_t to, uint64_t from)
{
	const struct cs_delta *first = g_queue_peek_head(&s->ring);
	g_autoptr(GString) text = g_string_new("[");
	uint64_t last = from;

	if (from == 0 || first == NULL || from + 1 < first->revision)
		return false;
	for (GList *i = s->ring.head; i != NULL; i = i->next) {
		const struct cs_delta *d = i->data;

		if (d->revision <= from)
			continue;
		if (last > from &&
		    text->len + strlen(d->text) + 2 > CS_PART_BYTES)
			break;
		if (last > from)
			g_string_append_c(text, ',');
		g_string_append(text, d->text);
		last = d->revision;
	}
	g_string_append_c(text, ']');
	send_tell(s, to, from, last, text->str, last < revision(s));
	return true;
}

/* ---- Telling snapshots ---- */

static void drop_cache(struct fg_confsync *s)
{
	if (s->cache != NULL)
		g_ptr_array_free(s->cache, TRUE);
	s->cache = NULL;
}

/* A cached snapshot serves as long as deltas lead on from it. */
static void fill_cache(struct fg_confsync *s)
{
	const struct cs_delta *first = g_queue_peek_head(&s->ring);
	bool usable =
		s->cache != NULL &&
		(s->cache_revision == revision(s) ||
		 (first != NULL && s->cache_revision + 1 >= first->revision));

	s->cache_used = s->now;
	if (usable)
		return;
	drop_cache(s);
	s->cache = fg_config_snapshot_parts(s->c, CS_PART_BYTES);
	s->cache_revision = revision(s);
}

static void start_sending(struct fg_confsync *s, struct cs_peer *p)
{
	fill_cache(s);
	if (!p->sending)
		s->n_sending++;
	p->sending = true;
	p->send_revision = s->cache_revision;
	p->send_part = 0;
	p->send_at = s->now;
}

static void send_part(struct fg_confsync *s, struct cs_peer *p)
{
	if (p->send_revision != s->cache_revision) {
		p->send_revision = s->cache_revision;
		p->send_part = 0;
	}
	send_tell(s, p->id, 0, s->cache_revision,
		  g_ptr_array_index(s->cache, p->send_part),
		  p->send_part + 1 < s->cache->len);
	s->cache_used = s->now;
	p->send_part++;
	p->send_at = s->now + SEND_GAP_MS;
	if (p->send_part < s->cache->len)
		return;
	p->sending = false;
	s->n_sending--;
}

static void send_step(struct fg_confsync *s)
{
	GHashTableIter it;
	gpointer value;

	if (s->n_sending > 0) {
		g_hash_table_iter_init(&it, s->peers);
		while (g_hash_table_iter_next(&it, NULL, &value)) {
			struct cs_peer *p = value;

			if (p->sending && s->now >= p->send_at)
				send_part(s, p);
		}
	} else if (s->cache != NULL && s->now - s->cache_used > CACHE_KEEP_MS) {
		drop_cache(s);
	}
}

void cs_on_ask(struct fg_confsync *s, uint64_t from, const fg_config_ask *ask)
{
	struct cs_peer *p = cs_peer(s, from);

	cs_peer_heard(s, from, ask->from_revision);
	if (ask->from_revision >= revision(s))
		return;
	if (!tell_deltas(s, from, ask->from_revision))
		start_sending(s, p);
}

/* ---- Pushing ---- */

/* The newest delta; a peer that lacks more asks for it. */
static void push_to(struct fg_confsync *s, struct cs_peer *p)
{
	p->push_gap_ms = p->push_gap_ms == 0
				 ? PUSH_GAP_MS
				 : MIN(2 * p->push_gap_ms, PUSH_GAP_MAX_MS);
	p->push_at = s->now + p->push_gap_ms;
	/* The first revision has no delta to tell, and is small. */
	if (!tell_deltas(s, p->id, revision(s) - 1) && revision(s) == 1)
		start_sending(s, p);
}

static void push_step(struct fg_confsync *s)
{
	GHashTableIter it;
	gpointer value;

	if (s->push_revision == 0 || s->conf.no_push)
		return;
	g_hash_table_iter_init(&it, s->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct cs_peer *p = value;

		if (p->live && p->revision < s->push_revision &&
		    s->now >= p->push_at)
			push_to(s, p);
	}
}

/* Starts anew with every change of ours, whatever was pushed before. */
void cs_push(struct fg_confsync *s)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, s->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct cs_peer *p = value;

		p->push_gap_ms = 0;
		p->push_at = CS_NEVER;
	}
	push_step(s);
}

/* ---- Being told ---- */

static void apply_list(struct fg_confsync *s, const char *text)
{
	json_t *list = json_loads(text, JSON_REJECT_DUPLICATES, NULL);

	for (size_t i = 0; i < json_array_size(list); i++) {
		const json_t *obj = json_array_get(list, i);
		json_int_t made =
			json_integer_value(json_object_get(obj, "revision"));
		char *one;
		bool ok;

		if (made <= 0 || (uint64_t)made <= revision(s))
			continue;
		one = json_dumps(obj, JSON_COMPACT | JSON_SORT_KEYS);
		ok = cs_apply_json(s, "delta of a peer", obj, one);
		free(one);
		if (!ok)
			break;
	}
	json_decref(list);
}

static bool load_part(struct fg_confsync *s, uint64_t from,
		      const fg_config_tell *tell)
{
	g_autoptr(GError) error = NULL;

	if (s->load != NULL && s->load_from == from &&
	    s->load_revision == tell->revision &&
	    fg_config_loader_add_part(s->load, tell->text, NULL))
		return true;
	/* Only part 0 can begin a load; any other part is a stray one. */
	fg_config_loader_free(s->load);
	s->load = fg_config_loader_new();
	s->load_from = from;
	s->load_revision = tell->revision;
	if (fg_config_loader_add_part(s->load, tell->text, &error))
		return true;
	if (error->code == FG_CONFIG_ERR_FORMAT)
		cs_set_fault(s, "snapshot of a peer", error);
	cs_drop_load(&s->load);
	return false;
}

static void told_snapshot(struct fg_confsync *s, uint64_t from,
			  const fg_config_tell *tell)
{
	if (!load_part(s, from, tell))
		return;
	s->ask_at = s->now + ASK_RETRY_MS;
	if (!fg_config_loader_is_complete(s->load))
		return;
	cs_finish_load(s, &s->load);
	send_ask(s, from);
}

void cs_on_tell(struct fg_confsync *s, uint64_t from,
		const fg_config_tell *tell)
{
	uint64_t before = revision(s);

	cs_peer_heard(s, from, tell->revision);
	if (tell->revision <= before) {
		send_ask(s, from);
		return;
	}
	if (tell->base == 0) {
		told_snapshot(s, from, tell);
		return;
	}
	/* A gap is closed by ask_step() or from the table. */
	if (tell->base <= before)
		apply_list(s, tell->text);
	if (revision(s) > before)
		send_ask(s, from);
}

void cs_peer_step(struct fg_confsync *s, bool tick)
{
	if (tick)
		push_step(s);
	ask_step(s);
	send_step(s);
}
