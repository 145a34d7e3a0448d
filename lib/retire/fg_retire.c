#include "retire/fg_retire.h"

#include <glib.h>

#define UNMARK_MIN_MS 500
#define UNMARK_SPREAD_MS 1000

struct mark {
	uint64_t row_version; /* 0: the text cannot be read */
	uint64_t version;
	fg_ms seen_at;
	fg_ms heard_since; /* its instance is heard since then; 0: it is not */
	fg_ms ended_at;	   /* it was removed; 0: it is in force */
	bool bound;
	bool listed; /* in the full read that is in progress, or the last one */
};

struct fg_retire {
	uint64_t self_hash;
	GHashTable *marks; /* name -> struct mark * */
	/* All instances have read what they must for a removal since then; 0:
	 * not all have. */
	fg_ms all_read_at;
	uint64_t all_read_version; /* of the newest of those marks */
	uint64_t removed_version;  /* of the last row that was removed */
	bool contradicted;
};

struct fg_retire *fg_retire_new(uint64_t self_hash)
{
	struct fg_retire *r = g_new0(struct fg_retire, 1);

	r->self_hash = self_hash;
	r->marks =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return r;
}

void fg_retire_free(struct fg_retire *r)
{
	if (r == NULL)
		return;
	g_hash_table_unref(r->marks);
	g_free(r);
}

/* ---- Marks: the text is the row's version ---- */

char *fg_retire_mark_format(uint64_t row_version)
{
	return g_strdup_printf("%" G_GUINT64_FORMAT, (guint64)row_version);
}

/* Returns 0 for a text that is no version. */
static uint64_t parse_mark(const char *text)
{
	guint64 row_version;

	return g_ascii_string_to_unsigned(text, 10, 1, G_MAXUINT64,
					  &row_version, NULL)
		       ? row_version
		       : 0;
}

void fg_retire_put_mark(struct fg_retire *r, fg_ms now, const char *name,
			const char *text, uint64_t version)
{
	struct mark *known = g_hash_table_lookup(r->marks, name);
	struct mark *m;

	if (text == NULL) {
		if (known != NULL && version >= known->version) {
			known->version = version;
			known->ended_at = now;
		}
		return;
	}
	if (known != NULL)
		known->listed = true;
	if (known != NULL && version <= known->version)
		return;
	m = g_new0(struct mark, 1);
	m->listed = true;
	m->version = version;
	m->seen_at = now;
	m->row_version = parse_mark(text);
	g_hash_table_replace(r->marks, g_strdup(name), m);
}

static void unlist(gpointer name, gpointer value, gpointer ctx)
{
	struct mark *m = value;

	(void)name;
	(void)ctx;
	m->listed = false;
}

static void end_unlisted(gpointer name, gpointer value, gpointer ctx)
{
	const fg_ms *now = ctx;
	struct mark *m = value;

	(void)name;
	if (!m->listed && m->ended_at == 0)
		m->ended_at = *now;
}

/* How long ago a mark ended matters until its instance may be marked again. */
static gboolean is_forgotten(gpointer name, gpointer value, gpointer ctx)
{
	const fg_ms *now = ctx;
	const struct mark *m = value;

	(void)name;
	return m->ended_at != 0 && *now - m->ended_at >= FG_RETIRE_SILENT_MS;
}

void fg_retire_begin_full_read(struct fg_retire *r)
{
	g_hash_table_foreach(r->marks, unlist, NULL);
}

void fg_retire_end_full_read(struct fg_retire *r, fg_ms now)
{
	g_hash_table_foreach(r->marks, end_unlisted, &now);
}

void fg_retire_note_removal(struct fg_retire *r, uint64_t version)
{
	r->removed_version = MAX(r->removed_version, version);
}

static const struct mark *find_mark(const struct fg_retire *r, const char *name,
				    uint64_t row_version)
{
	const struct mark *m;

	if (g_hash_table_size(r->marks) == 0)
		return NULL;
	m = g_hash_table_lookup(r->marks, name);
	return m != NULL && m->ended_at == 0 && row_version != 0 &&
			       m->row_version == row_version
		       ? m
		       : NULL;
}

bool fg_retire_is_marked(const struct fg_retire *r, const char *name,
			 uint64_t row_version)
{
	return find_mark(r, name, row_version) != NULL;
}

bool fg_retire_is_bound(const struct fg_retire *r, const char *name,
			uint64_t row_version)
{
	const struct mark *m = find_mark(r, name, row_version);

	return m != NULL && m->bound;
}

bool fg_retire_is_contradicted(const struct fg_retire *r)
{
	return r->contradicted;
}

/* ---- Decisions ---- */

static const struct mark *mark_of(const struct fg_retire *r,
				  const struct fg_retire_member *p)
{
	return find_mark(r, p->name, p->row_version);
}

static void add(struct fg_retire_action *a, enum fg_retire_step step,
		const struct fg_retire_member *p, const struct mark *m)
{
	a->step = step;
	a->names[a->n] = p->name;
	a->row_versions[a->n] = p->row_version;
	a->mark_versions[a->n] = m == NULL ? 0 : m->version;
	a->n++;
}

/* Most marked instances that live end their mark themselves, and one of the
 * others is enough. */
static fg_ms unmark_after_ms(const struct fg_retire *r)
{
	return UNMARK_MIN_MS + (fg_ms)(r->self_hash % UNMARK_SPREAD_MS);
}

/* Binds this instance, and removes the mark of an instance that it hears. */
static void follow_marks(struct fg_retire *r, fg_ms now,
			 const struct fg_retire_member *members, uint32_t n,
			 struct fg_retire_action *out)
{
	r->contradicted = false;
	if (g_hash_table_size(r->marks) == 0)
		return;
	for (uint32_t i = 0; i < n; i++) {
		const struct fg_retire_member *p = &members[i];
		struct mark *m = g_hash_table_lookup(r->marks, p->name);

		if (m == NULL || m != mark_of(r, p))
			continue;
		if (!p->heard || now - m->seen_at >= FG_RETIRE_OBJECT_MS)
			m->bound = true;
		if (!p->heard)
			m->heard_since = 0;
		else if (m->heard_since == 0)
			m->heard_since = now;
		if (p->heard && out->n == 0 &&
		    now - m->heard_since >= unmark_after_ms(r))
			add(out, FG_RETIRE_UNMARK, p, m);
		r->contradicted = r->contradicted || (p->heard && m->bound);
	}
}

static bool is_alive(const struct fg_retire *r,
		     const struct fg_retire_member *p)
{
	const struct mark *m = mark_of(r, p);

	return p->heard && (m == NULL || !m->bound);
}

/* Returns whether this instance decides: more than half are alive, and none of
 * them comes before it. */
static bool decides(const struct fg_retire *r,
		    const struct fg_retire_member *members, uint32_t n)
{
	uint32_t n_alive = 1;

	for (uint32_t i = 0; i < n; i++) {
		if (!is_alive(r, &members[i]))
			continue;
		n_alive++;
		if (!members[i].leaving && members[i].hash < r->self_hash)
			return false;
	}
	return 2 * n_alive > n + 1;
}

/* Removes a mark whose row is gone or was written again. */
static void drop_stale(const struct fg_retire *r,
		       const struct fg_retire_member *members, uint32_t n,
		       struct fg_retire_action *out)
{
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&iter, r->marks);
	while (out->n == 0 && g_hash_table_iter_next(&iter, &name, &value)) {
		const struct mark *m = value;
		struct fg_retire_member p = { .name = name };
		uint32_t i = 0;

		if (m->ended_at != 0)
			continue;
		while (i < n && (g_strcmp0(members[i].name, name) != 0 ||
				 m != mark_of(r, &members[i])))
			i++;
		if (i == n)
			add(out, FG_RETIRE_UNMARK, &p, m);
	}
}

static void mark_silent(const struct fg_retire *r, fg_ms now,
			const struct fg_retire_member *members, uint32_t n,
			struct fg_retire_action *out)
{
	for (uint32_t i = 0; i < n && out->n == 0; i++) {
		const struct fg_retire_member *p = &members[i];
		const struct mark *m = g_hash_table_lookup(r->marks, p->name);
		fg_ms since = MAX(p->heard_at, p->row_seen_at);

		if (m != NULL)
			since = MAX(since, m->ended_at);
		if (!p->heard && (m == NULL || m->ended_at != 0) &&
		    now - since >= FG_RETIRE_SILENT_MS)
			add(out, FG_RETIRE_MARK, p, NULL);
	}
}

static uint64_t newest_mark(const struct fg_retire *r,
			    const struct fg_retire_member *members, uint32_t n)
{
	uint64_t newest = 0;

	for (uint32_t i = 0; i < n; i++) {
		const struct mark *m = mark_of(r, &members[i]);

		newest = MAX(newest, m == NULL ? 0 : m->version);
	}
	return newest;
}

/* Returns how many rows may be removed now: none, one or a batch. */
static uint32_t count_removable(struct fg_retire *r, fg_ms now,
				const struct fg_retire_member *members,
				uint32_t n)
{
	uint64_t newest = newest_mark(r, members, n);
	bool all_alive = true;
	bool known = newest != 0;

	for (uint32_t i = 0; i < n; i++) {
		const struct fg_retire_member *p = &members[i];

		if (mark_of(r, p) != NULL)
			continue;
		all_alive = all_alive && p->heard;
		known = known && p->binds &&
			p->read >= (p->heard ? newest : r->removed_version);
	}
	if (!known) {
		r->all_read_at = 0;
		return 0;
	}
	if (newest != r->all_read_version || r->all_read_at == 0) {
		r->all_read_version = newest;
		r->all_read_at = now;
	}
	if (now - r->all_read_at < FG_RETIRE_WAIT_MS)
		return 0;
	return all_alive ? FG_RETIRE_BATCH_MAX : 1;
}

static void remove_marked(const struct fg_retire *r, fg_ms now,
			  const struct fg_retire_member *members, uint32_t n,
			  uint32_t max, struct fg_retire_action *out)
{
	for (uint32_t i = 0; i < n && out->n < max; i++) {
		const struct fg_retire_member *p = &members[i];
		const struct mark *m = mark_of(r, p);

		if (m != NULL && m->bound && !p->heard &&
		    now - MAX(p->heard_at, p->row_seen_at) >= FG_RETIRE_GONE_MS)
			add(out, FG_RETIRE_REMOVE, p, m);
	}
}

struct fg_retire_action fg_retire_decide(struct fg_retire *r, fg_ms now,
					 const struct fg_retire_member *members,
					 uint32_t n, bool may_decide)
{
	struct fg_retire_action out = { .step = FG_RETIRE_NOTHING };
	uint32_t removable;

	g_hash_table_foreach_remove(r->marks, is_forgotten, &now);
	follow_marks(r, now, members, n, &out);
	if (!may_decide || !decides(r, members, n)) {
		r->all_read_at = 0;
		return out;
	}
	if (out.n == 0)
		drop_stale(r, members, n, &out);
	if (out.n == 0)
		mark_silent(r, now, members, n, &out);
	removable = count_removable(r, now, members, n);
	if (out.n == 0)
		remove_marked(r, now, members, n, removable, &out);
	return out;
}
