#include "origin/fg_origin.h"

#include "base/fg_rand.h"
#include "fleet/fg_fleet.h"

/* A version of a service's software. */
struct version {
	uint64_t service;
	uint64_t software;
	fg_ms begin_after; /* streams may begin at it from then on */
	fg_ms listed_at;   /* an endpoint had it, last time */
	uint32_t at_start; /* endpoints that had it at the start */
	bool noted;
};

/* A stream that began, or was taken up, at this version. */
struct stream {
	struct fg_origin_record record;
	fg_ms put_at;
	bool told;
};

struct fg_origins {
	struct fg_origin_conf conf;
	fg_ms since;	     /* nothing is known of the time before */
	fg_ms view_at;	     /* of the registry */
	GArray *versions;    /* struct version */
	GHashTable *streams; /* key -> struct stream *, owned */
	GQueue order;	     /* struct stream *, oldest first */
	GQueue untold;	     /* the same, of those not yet told */
};

struct fg_origins *fg_origins_new(const struct fg_origin_conf *conf,
				  fg_ms since, fg_ms now)
{
	struct fg_origins *o = g_new0(struct fg_origins, 1);

	g_assert(conf->view_max_ms < conf->settle_ms);
	o->conf = *conf;
	o->since = since;
	o->view_at = now;
	o->versions = g_array_new(FALSE, FALSE, sizeof(struct version));
	o->streams = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   g_free);
	g_queue_init(&o->order);
	g_queue_init(&o->untold);
	return o;
}

void fg_origins_free(struct fg_origins *o)
{
	if (o == NULL)
		return;
	g_queue_clear(&o->order);
	g_queue_clear(&o->untold);
	g_hash_table_unref(o->streams);
	g_array_unref(o->versions);
	g_free(o);
}

/* ---- Versions ---- */

static struct version *find_version(const struct fg_origins *o,
				    uint64_t service, uint64_t software)
{
	for (guint i = 0; i < o->versions->len; i++) {
		struct version *v =
			&g_array_index(o->versions, struct version, i);

		if (v->service == service && v->software == software)
			return v;
	}
	return NULL;
}

void fg_origins_note_view(struct fg_origins *o, fg_ms view_at)
{
	if (view_at - o->view_at > (fg_ms)o->conf.settle_ms)
		o->since = view_at;
	o->view_at = MAX(o->view_at, view_at);
}

static struct version *find_or_add_version(struct fg_origins *o, fg_ms now,
					   uint64_t service, uint64_t software)
{
	struct version *v = find_version(o, service, software);
	struct version first = {
		.service = service,
		.software = software,
		.begin_after = now + (fg_ms)o->conf.settle_ms,
		.listed_at = now,
	};

	if (v != NULL)
		return v;
	g_array_append_val(o->versions, first);
	return &g_array_index(o->versions, struct version,
			      o->versions->len - 1);
}

void fg_origins_count_at_start(struct fg_origins *o, fg_ms now,
			       uint64_t service, uint64_t software)
{
	find_or_add_version(o, now, service, software)->at_start++;
}

/* Returns whether all other versions of the service had fewer endpoints. */
static bool had_most_endpoints(const struct fg_origins *o,
			       const struct version *v)
{
	for (guint i = 0; i < o->versions->len; i++) {
		const struct version *other =
			&g_array_index(o->versions, struct version, i);

		if (other != v && other->service == v->service &&
		    other->at_start >= v->at_start)
			return false;
	}
	return true;
}

void fg_origins_end_start(struct fg_origins *o, fg_ms now)
{
	for (guint i = 0; i < o->versions->len; i++) {
		struct version *v =
			&g_array_index(o->versions, struct version, i);

		if (had_most_endpoints(o, v))
			v->begin_after = now;
	}
}

bool fg_origins_note_version(struct fg_origins *o, fg_ms now, uint64_t service,
			     uint64_t software)
{
	struct version *v = find_or_add_version(o, now, service, software);
	bool first = !v->noted;

	v->listed_at = now;
	v->noted = true;
	return first;
}

fg_ms fg_origins_begin_after(const struct fg_origins *o, uint64_t service,
			     uint64_t software)
{
	const struct version *v = find_version(o, service, software);

	return v == NULL ? FG_MS_NEVER : v->begin_after;
}

static bool is_remembered(const struct fg_origins *o, const struct version *v,
			  fg_ms now)
{
	return now - v->listed_at < (fg_ms)o->conf.keep_ms;
}

uint64_t fg_origins_uniform(const struct fg_origins *o, fg_ms now,
			    uint64_t service)
{
	uint64_t software = 0;

	if (now - o->since < (fg_ms)o->conf.keep_ms ||
	    now - o->view_at > (fg_ms)o->conf.view_max_ms)
		return 0;
	for (guint i = 0; i < o->versions->len; i++) {
		const struct version *v =
			&g_array_index(o->versions, struct version, i);

		if (v->service != service || !is_remembered(o, v, now))
			continue;
		if (software != 0 || v->software == 0)
			return 0;
		software = v->software;
	}
	return software;
}

static void drop_old_versions(struct fg_origins *o, fg_ms now)
{
	for (guint i = o->versions->len; i > 0; i--) {
		if (!is_remembered(
			    o,
			    &g_array_index(o->versions, struct version, i - 1),
			    now))
			g_array_remove_index_fast(o->versions, i - 1);
	}
}

/* ---- Streams ---- */

static void drop_oldest(struct fg_origins *o)
{
	struct stream *s = g_queue_pop_head(&o->order);

	if (!s->told)
		g_queue_remove(&o->untold, s);
	g_hash_table_remove(o->streams, &s->record.stream);
}

void fg_origins_put(struct fg_origins *o, fg_ms now,
		    const struct fg_origin_record *record, bool told)
{
	struct stream *s = g_hash_table_lookup(o->streams, &record->stream);

	if (record->software == 0 || record->software == FG_SOFTWARE_NONE)
		return;
	if (s != NULL) {
		if (s->record.software != record->software)
			s->record.software = FG_SOFTWARE_NONE;
		return;
	}
	if (g_hash_table_size(o->streams) >= o->conf.streams_max)
		drop_oldest(o);
	s = g_new0(struct stream, 1);
	s->record = *record;
	s->put_at = now;
	s->told = told;
	g_hash_table_insert(o->streams, &s->record.stream, s);
	g_queue_push_tail(&o->order, s);
	if (!told)
		g_queue_push_tail(&o->untold, s);
}

uint64_t fg_origins_find(const struct fg_origins *o, fg_ms now, uint64_t stream)
{
	const struct stream *s = g_hash_table_lookup(o->streams, &stream);

	if (s == NULL || now - s->put_at >= (fg_ms)o->conf.keep_ms ||
	    s->record.software == FG_SOFTWARE_NONE)
		return 0;
	return s->record.software;
}

uint32_t fg_origins_take_untold(struct fg_origins *o, fg_ms now,
				struct fg_origin_record *out, uint32_t max)
{
	GList *next;
	uint64_t uniform_service = 0; /* the last one found to be uniform */
	uint32_t n = 0;

	for (GList *at = o->untold.head; at != NULL && n < max; at = next) {
		struct stream *s = at->data;

		next = at->next;
		if (s->record.service == uniform_service)
			continue;
		if (fg_origins_uniform(o, now, s->record.service) != 0) {
			uniform_service = s->record.service;
			continue;
		}
		s->told = true;
		g_queue_delete_link(&o->untold, at);
		if (s->record.software != FG_SOFTWARE_NONE)
			out[n++] = s->record;
	}
	return n;
}

void fg_origins_tick(struct fg_origins *o, fg_ms now)
{
	drop_old_versions(o, now);
	for (;;) {
		const struct stream *s = g_queue_peek_head(&o->order);

		if (s == NULL || now - s->put_at < (fg_ms)o->conf.keep_ms)
			return;
		drop_oldest(o);
	}
}

uint64_t fg_origin_holder_rank(uint64_t stream, uint64_t instance)
{
	return fg_hash_mix(stream, instance);
}
