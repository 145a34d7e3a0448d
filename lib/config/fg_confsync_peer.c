/*
 * Messages between peers. CONFIG_ASK requests the deltas after its
 * from_revision and acknowledges that revision. CONFIG_TELL carries a JSON list
 * of deltas or, with base 0, one part of a snapshot.
 */
#include <stdlib.h>
#include <string.h>

#include "config/fg_confsync_priv.h"

#define ASK_RETRY_MS 1000 /* until the next CONFIG_ASK, without progress */
#define ASK_MAX_GAP 64	  /* wider gaps are read from the table if healthy */

/* Time before the second push of a change to a peer; doubles with each push. */
#define PUSH_BACKOFF_MS 500
#define PUSH_BACKOFF_MAX_MS 16000

#define SEND_PART_INTERVAL_MS 20 /* between parts of a snapshot to one peer */
#define PEER_KEEP_MS 60000	 /* after the last message, if not live */
#define CACHE_IDLE_MS 10000	 /* unused snapshot parts are freed */

static uint64_t revision(const struct fg_confsync *s)
{
	return fg_config_revision(s->c);
}

/* ---- Peers ---- */

struct cs_peer *cs_get_peer(struct fg_confsync *s, uint64_t id)
{
	struct cs_peer *p = g_hash_table_lookup(s->peers, &id);

	if (p != NULL)
		return p;
	p = g_new0(struct cs_peer, 1);
	p->id = id;
	p->next_push_at = CS_NEVER;
	g_hash_table_insert(s->peers, &p->id, p);
	return p;
}

static void mark_live(struct fg_confsync *s, const uint64_t *ids, size_t n)
{
	for (size_t i = 0; i < n; i++)
		if (ids[i] != s->self)
			cs_get_peer(s, ids[i])->live = true;
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

		if (peer->live || s->now - peer->last_msg_at < PEER_KEEP_MS)
			continue;
		s->n_sending -= peer->sending_snapshot;
		g_hash_table_iter_remove(&it);
	}
	s->live_known = true;
}

void fg_confsync_set_live_at(struct fg_confsync *s, fg_ms read_at,
			     const uint64_t *ids, size_t n)
{
	fg_confsync_set_live(s, ids, n);
	s->live_is_timed = true;
	s->live_read_at = read_at;
}

size_t fg_confsync_list_unacked(const struct fg_confsync *s,
				uint64_t min_revision, uint64_t *ids,
				size_t max)
{
	GHashTableIter it;
	gpointer value;
	size_t n = 0;

	g_hash_table_iter_init(&it, s->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct cs_peer *p = value;

		if (!p->live || p->revision >= min_revision)
			continue;
		if (n < max)
			ids[n] = p->id;
		n++;
	}
	return n;
}

/* ---- Sending CONFIG_ASK ---- */

static void send_ask(struct fg_confsync *s, uint64_t to)
{
	fg_msg *m = fg_msg_new(FG_MSG_CONFIG_ASK);

	m->body.fg_body_u.config_ask.from_revision = revision(s);
	cs_send_msg(s, to, m);
}

/* Returns a peer with the highest revision. The choice between equal ones
 * varies with ask_count. */
static struct cs_peer *find_best_peer(struct fg_confsync *s)
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

/* Asks a peer when one has a newer revision. A gap of more than ASK_MAX_GAP is
 * left to the table while it can be read. */
static void ask_step(struct fg_confsync *s)
{
	const struct cs_peer *p;

	if (s->highest_reported <= revision(s) || s->now < s->next_ask_at)
		return;
	p = find_best_peer(s);
	if (p == NULL)
		return;
	if (cs_is_table_healthy(s) && p->revision - revision(s) > ASK_MAX_GAP)
		return;
	s->next_ask_at = s->now + ASK_RETRY_MS;
	s->ask_count++;
	send_ask(s, p->id);
}

void cs_record_peer_revision(struct fg_confsync *s, uint64_t id,
			     uint64_t reported)
{
	struct cs_peer *p = cs_get_peer(s, id);

	p->last_msg_at = s->now;
	s->highest_reported = MAX(s->highest_reported, reported);
	if (reported > p->revision)
		p->revision = reported;
}

/* ---- Sending deltas ---- */

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
	cs_send_msg(s, to, m);
}

/* Sends the deltas after `from` that fit in one message. Returns false when
 * they are no longer kept. Deltas after revision 0 cannot be sent, since base 0
 * marks a snapshot. */
static bool send_deltas(struct fg_confsync *s, uint64_t to, uint64_t from)
{
	const struct cs_delta *first = g_queue_peek_head(&s->deltas);
	g_autoptr(GString) text = g_string_new("[");
	uint64_t last = from;

	if (from == 0 || first == NULL || from + 1 < first->revision)
		return false;
	for (GList *i = s->deltas.head; i != NULL; i = i->next) {
		const struct cs_delta *d = i->data;

		if (d->revision <= from)
			continue;
		if (last > from &&
		    text->len + strlen(d->text) + 2 > CS_PART_MAX_BYTES)
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

/* ---- Sending snapshots ---- */

static void drop_part_cache(struct fg_confsync *s)
{
	if (s->part_cache != NULL)
		g_ptr_array_free(s->part_cache, TRUE);
	s->part_cache = NULL;
}

/* Refreshes the cached snapshot unless the kept deltas lead from it to the
 * current revision. */
static void fill_part_cache(struct fg_confsync *s)
{
	const struct cs_delta *first = g_queue_peek_head(&s->deltas);
	bool usable = s->part_cache != NULL &&
		      (s->part_cache_revision == revision(s) ||
		       (first != NULL &&
			s->part_cache_revision + 1 >= first->revision));

	s->part_cache_used_at = s->now;
	if (usable)
		return;
	drop_part_cache(s);
	s->part_cache = fg_config_snapshot_parts(s->c, CS_PART_MAX_BYTES);
	s->part_cache_revision = revision(s);
}

static void start_snapshot_send(struct fg_confsync *s, struct cs_peer *p)
{
	fill_part_cache(s);
	if (!p->sending_snapshot)
		s->n_sending++;
	p->sending_snapshot = true;
	p->send_revision = s->part_cache_revision;
	p->send_part = 0;
	p->send_at = s->now;
}

static void send_snapshot_part(struct fg_confsync *s, struct cs_peer *p)
{
	if (p->send_revision != s->part_cache_revision) {
		p->send_revision = s->part_cache_revision;
		p->send_part = 0;
	}
	send_tell(s, p->id, 0, s->part_cache_revision,
		  g_ptr_array_index(s->part_cache, p->send_part),
		  p->send_part + 1 < s->part_cache->len);
	s->part_cache_used_at = s->now;
	p->send_part++;
	p->send_at = s->now + SEND_PART_INTERVAL_MS;
	if (p->send_part < s->part_cache->len)
		return;
	p->sending_snapshot = false;
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

			if (p->sending_snapshot && s->now >= p->send_at)
				send_snapshot_part(s, p);
		}
	} else if (s->part_cache != NULL &&
		   s->now - s->part_cache_used_at > CACHE_IDLE_MS) {
		drop_part_cache(s);
	}
}

void cs_on_ask(struct fg_confsync *s, uint64_t from, const fg_config_ask *ask)
{
	struct cs_peer *p = cs_get_peer(s, from);

	cs_record_peer_revision(s, from, ask->from_revision);
	if (ask->from_revision >= revision(s))
		return;
	if (!send_deltas(s, from, ask->from_revision))
		start_snapshot_send(s, p);
}

/* ---- Pushing changes ---- */

/* Sends the newest delta; a peer that misses earlier ones asks for them. */
static void push_to_peer(struct fg_confsync *s, struct cs_peer *p)
{
	p->push_backoff_ms =
		p->push_backoff_ms == 0
			? PUSH_BACKOFF_MS
			: MIN(2 * p->push_backoff_ms, PUSH_BACKOFF_MAX_MS);
	p->next_push_at = s->now + p->push_backoff_ms;
	/* Revision 1 cannot be sent as a delta; its snapshot is small. */
	if (!send_deltas(s, p->id, revision(s) - 1) && revision(s) == 1)
		start_snapshot_send(s, p);
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
		    s->now >= p->next_push_at)
			push_to_peer(s, p);
	}
}

/* Pushes a change just stored here. Resets the backoff, so that the change is
 * pushed at once also to peers that did not acknowledge earlier ones. */
void cs_push_change(struct fg_confsync *s)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, s->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct cs_peer *p = value;

		p->push_backoff_ms = 0;
		p->next_push_at = CS_NEVER;
	}
	push_step(s);
}

/* ---- Receiving CONFIG_TELL ---- */

static void apply_peer_deltas(struct fg_confsync *s, const char *text)
{
	json_t *list = json_loads(text, JSON_REJECT_DUPLICATES, NULL);

	for (size_t i = 0; i < json_array_size(list); i++) {
		const json_t *obj = json_array_get(list, i);
		json_int_t made_revision =
			json_integer_value(json_object_get(obj, "revision"));
		char *delta;
		bool ok;

		if (made_revision <= 0 ||
		    (uint64_t)made_revision <= revision(s))
			continue;
		delta = json_dumps(obj, JSON_COMPACT | JSON_SORT_KEYS);
		ok = cs_apply_delta_json(s, "delta from a peer", obj, delta);
		free(delta);
		if (!ok)
			break;
	}
	json_decref(list);
}

static bool add_peer_part(struct fg_confsync *s, uint64_t from,
			  const fg_config_tell *tell)
{
	g_autoptr(GError) error = NULL;

	if (s->loader != NULL && s->loader_from == from &&
	    s->loader_revision == tell->revision &&
	    fg_config_loader_add_part(s->loader, tell->text, NULL))
		return true;
	/* Start over: only part 0 is accepted by a new loader. */
	fg_config_loader_free(s->loader);
	s->loader = fg_config_loader_new();
	s->loader_from = from;
	s->loader_revision = tell->revision;
	if (fg_config_loader_add_part(s->loader, tell->text, &error))
		return true;
	if (error->code == FG_CONFIG_ERR_FORMAT)
		cs_set_fault(s, "snapshot from a peer", error);
	cs_drop_loader(&s->loader);
	return false;
}

static void on_snapshot_part(struct fg_confsync *s, uint64_t from,
			     const fg_config_tell *tell)
{
	if (!add_peer_part(s, from, tell))
		return;
	s->next_ask_at = s->now + ASK_RETRY_MS;
	if (!fg_config_loader_is_complete(s->loader))
		return;
	cs_finish_loader(s, &s->loader);
	send_ask(s, from);
}

void cs_on_tell(struct fg_confsync *s, uint64_t from,
		const fg_config_tell *tell)
{
	uint64_t before = revision(s);

	cs_record_peer_revision(s, from, tell->revision);
	if (tell->revision <= before) {
		send_ask(s, from);
		return;
	}
	if (tell->base == 0) {
		on_snapshot_part(s, from, tell);
		return;
	}
	/* Deltas that do not connect are dropped; ask_step() or the table
	 * provides the missing ones. */
	if (tell->base <= before)
		apply_peer_deltas(s, tell->text);
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
