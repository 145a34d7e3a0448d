/*
 * Suspects: requests that crash endpoints.
 *
 * Each fingerprint has two sets, keyed by the id of the attempt: its crashes,
 * and its attempts with whether they started and ended. Verdicts are computed
 * from the sets, so the order of events does not matter and a repeated event
 * has no effect. The sets are small rings that overwrite their oldest member.
 *
 * Crashes on one endpoint within DEATH_SPAN_MS are one death: every request of
 * the batch reports a crash, and a batch must not make the endpoint look
 * faulty. A death is unexplained if none of its fingerprints is in another
 * death. An endpoint with faulty_ep_deaths unexplained deaths around a crash
 * was faulty at that time, and the crash blames no request.
 */
#include "admit/fg_admit.h"

#include <glib.h>
#include <stdlib.h>

#include "base/fg_rand.h"

#define CRASHES_MAX 8  /* per fingerprint */
#define ATTEMPTS_MAX 8 /* per fingerprint */
#define DEATH_SPAN_MS 2000
#define CHECK_AGAIN_MS 500

/* An attempt that was never reported as ended stops counting as running after
 * the longest deadline that a request can have. */
#define RUNNING_MAX_MS 600000

/* A request is refused after refuse_crashes times this many deaths of a single
 * endpoint, since a site may have no second endpoint. */
#define SAME_EP_FACTOR 2

struct crash {
	uint64_t req; /* 0: empty */
	uint64_t ep;
	fg_ms at;
};

struct attempt {
	uint64_t req; /* 0: empty */
	uint64_t by;
	uint64_t ep;
	fg_ms at;
	bool started;
	bool ended;
	bool crashed;
};

struct entry {
	uint64_t fingerprint;
	fg_av av;
	struct crash crashes[CRASHES_MAX];
	struct attempt attempts[ATTEMPTS_MAX];
	uint32_t next_crash;
	uint32_t next_attempt;
	fg_ms last_event_at;
	fg_ms last_crash_at; /* INT64_MIN / 2: none */
	fg_ms cleared_at;    /* earlier crashes do not count */
};

struct fg_suspects {
	struct fg_suspects_conf conf;
	GHashTable *entries; /* uint64_t fingerprint -> entry */
};

struct fg_suspects *fg_suspects_new(const struct fg_suspects_conf *conf)
{
	struct fg_suspects *s = g_new0(struct fg_suspects, 1);

	s->conf = *conf;
	s->entries = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   g_free);
	return s;
}

void fg_suspects_free(struct fg_suspects *s)
{
	if (s == NULL)
		return;
	g_hash_table_destroy(s->entries);
	g_free(s);
}

uint64_t fg_fingerprint(fg_av av, uint64_t body_hash)
{
	return fg_hash_mix(fg_av_key(av), body_hash);
}

/* ---- Deaths and faulty endpoints ---- */

/* Attempts of one request run one after another, so they belong to different
 * deaths even if the endpoint restarts at once. */
static bool is_same_death(const struct crash *a, const struct crash *b)
{
	if (a->req != b->req && a->req >> 8 == b->req >> 8)
		return false;
	return a->ep == b->ep && llabs(a->at - b->at) <= DEATH_SPAN_MS;
}

/* Returns whether crash i is the first one kept of its death. */
static bool is_first_of_death(const struct entry *e, int i)
{
	for (int j = 0; j < i; j++)
		if (e->crashes[j].req != 0 &&
		    is_same_death(&e->crashes[j], &e->crashes[i]))
			return false;
	return e->crashes[i].req != 0;
}

static uint32_t count_deaths(const struct entry *e)
{
	uint32_t n = 0;

	for (int i = 0; i < CRASHES_MAX; i++)
		n += is_first_of_death(e, i);
	return n;
}

struct death_member {
	fg_ms at;
	bool in_other_death; /* the fingerprint has another death too */
};

static int compare_times(gconstpointer a, gconstpointer b)
{
	const struct death_member *x = a;
	const struct death_member *y = b;

	return x->at < y->at ? -1 : x->at > y->at;
}

/* Collects all crashes on the same endpoint within the window around a crash,
 * sorted by time. */
static GArray *collect_members(const struct fg_suspects *s,
			       const struct crash *around)
{
	GArray *members =
		g_array_new(FALSE, FALSE, sizeof(struct death_member));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct entry *e = value;
		bool in_other_death = count_deaths(e) > 1;

		for (int i = 0; i < CRASHES_MAX; i++) {
			const struct crash *c = &e->crashes[i];
			struct death_member m = { c->at, in_other_death };

			if (c->req == 0 || c->ep != around->ep ||
			    llabs(c->at - around->at) >
				    s->conf.faulty_ep_window_ms)
				continue;
			g_array_append_val(members, m);
		}
	}
	g_array_sort(members, compare_times);
	return members;
}

static uint32_t count_unexplained_deaths(const GArray *members)
{
	uint32_t n = 0;
	guint i = 0;

	while (i < members->len) {
		fg_ms begin = g_array_index(members, struct death_member, i).at;
		bool explained = false;

		for (; i < members->len; i++) {
			struct death_member m =
				g_array_index(members, struct death_member, i);

			if (m.at - begin > DEATH_SPAN_MS)
				break;
			explained = explained || m.in_other_death;
		}
		n += !explained;
	}
	return n;
}

static bool was_ep_faulty(const struct fg_suspects *s, const struct crash *c)
{
	GArray *members = collect_members(s, c);
	uint32_t unexplained = count_unexplained_deaths(members);

	g_array_free(members, TRUE);
	return unexplained >= s->conf.faulty_ep_deaths;
}

/* ---- Verdicts ---- */

struct blame {
	uint32_t deaths;
	uint32_t endpoints;
};

static bool is_blamed(const struct fg_suspects *s, const struct entry *e, int i)
{
	const struct crash *c = &e->crashes[i];

	return c->req != 0 && c->at > e->cleared_at &&
	       is_first_of_death(e, i) && !was_ep_faulty(s, c);
}

static struct blame compute_blame(const struct fg_suspects *s,
				  const struct entry *e)
{
	struct blame blame = { 0 };
	bool blamed[CRASHES_MAX] = { false };

	for (int i = 0; i < CRASHES_MAX; i++) {
		bool new_ep = true;

		blamed[i] = is_blamed(s, e, i);
		if (!blamed[i])
			continue;
		for (int j = 0; j < i; j++)
			if (blamed[j] && e->crashes[j].ep == e->crashes[i].ep)
				new_ep = false;
		blame.deaths++;
		blame.endpoints += new_ep;
	}
	return blame;
}

static bool is_refused(const struct fg_suspects *s, const struct blame *blame)
{
	uint32_t needed = s->conf.refuse_crashes;

	return blame->endpoints >= needed ||
	       blame->deaths >= needed * SAME_EP_FACTOR;
}

static bool is_expired(const struct fg_suspects *s, const struct entry *e,
		       fg_ms now)
{
	return now - MAX(e->last_crash_at, e->cleared_at) >=
	       (fg_ms)s->conf.retention_ms;
}

static bool is_running(const struct attempt *a, fg_ms now)
{
	return a->started && !a->ended && now - a->at < RUNNING_MAX_MS;
}

static bool has_running_attempt(const struct entry *e, fg_ms now)
{
	for (int i = 0; i < ATTEMPTS_MAX; i++)
		if (is_running(&e->attempts[i], now))
			return true;
	return false;
}

/* Returns whether an attempt ended and the endpoint survived. */
static bool has_clean_run(const struct entry *e)
{
	for (int i = 0; i < ATTEMPTS_MAX; i++) {
		const struct attempt *a = &e->attempts[i];

		if (a->req != 0 && a->ended && !a->crashed)
			return true;
	}
	return false;
}

enum fg_suspect_verdict fg_suspects_check(const struct fg_suspects *s,
					  fg_ms now, uint64_t fingerprint,
					  uint32_t *retry_after_ms)
{
	const struct entry *e = g_hash_table_lookup(s->entries, &fingerprint);
	struct blame blame;

	*retry_after_ms = 0;
	if (e == NULL || is_expired(s, e, now))
		return FG_SUSPECT_ALLOW;
	blame = compute_blame(s, e);
	if (is_refused(s, &blame))
		return FG_SUSPECT_REFUSE;
	if (blame.deaths == 0 || has_clean_run(e))
		return FG_SUSPECT_ALLOW;
	if (has_running_attempt(e, now)) {
		*retry_after_ms = CHECK_AGAIN_MS;
		return FG_SUSPECT_WAIT;
	}
	return FG_SUSPECT_RUN_ALONE;
}

bool fg_suspects_is_running_on(const struct fg_suspects *s, fg_ms now,
			       uint64_t ep)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct entry *e = value;

		for (int i = 0; i < ATTEMPTS_MAX; i++)
			if (e->attempts[i].ep == ep &&
			    is_running(&e->attempts[i], now))
				return true;
	}
	return false;
}

/* ---- Events ---- */

/* Entries with a single death are evicted first, since they are not refused
 * yet, and among equals the least recently updated. */
static bool is_evicted_before(const struct entry *a, const struct entry *b)
{
	bool recurred_a = count_deaths(a) > 1;
	bool recurred_b = count_deaths(b) > 1;

	return recurred_a != recurred_b ? recurred_b
					: a->last_event_at < b->last_event_at;
}

static void evict_entries(struct fg_suspects *s, fg_ms now)
{
	const struct entry *victim = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct entry *e = value;

		if (now - e->last_event_at >= (fg_ms)s->conf.retention_ms)
			g_hash_table_iter_remove(&iter);
		else if (victim == NULL || is_evicted_before(e, victim))
			victim = e;
	}
	if (victim != NULL &&
	    g_hash_table_size(s->entries) >= MAX(s->conf.entries_max, 1))
		g_hash_table_remove(s->entries, &victim->fingerprint);
}

static struct entry *find_or_add_entry(struct fg_suspects *s, fg_ms now,
				       const fg_suspect *ev)
{
	struct entry *e = g_hash_table_lookup(s->entries, &ev->fingerprint);

	if (e != NULL)
		return e;
	evict_entries(s, now);
	e = g_new0(struct entry, 1);
	e->fingerprint = ev->fingerprint;
	e->av = ev->av;
	e->cleared_at = INT64_MIN / 2;
	e->last_crash_at = INT64_MIN / 2;
	g_hash_table_insert(s->entries, &e->fingerprint, e);
	return e;
}

static struct attempt *find_or_add_attempt(struct entry *e, fg_ms now,
					   uint64_t by, const fg_suspect *ev)
{
	struct attempt *a;

	for (int i = 0; i < ATTEMPTS_MAX; i++)
		if (e->attempts[i].req == ev->req)
			return &e->attempts[i];
	a = &e->attempts[e->next_attempt];
	e->next_attempt = (e->next_attempt + 1) % ATTEMPTS_MAX;
	*a = (struct attempt){ .req = ev->req, .by = by, .ep = ev->ep };
	a->at = now;
	return a;
}

static bool add_crash(struct entry *e, fg_ms now, uint64_t by,
		      const fg_suspect *ev)
{
	struct attempt *a = find_or_add_attempt(e, now, by, ev);
	struct crash *c = &e->crashes[e->next_crash];

	if (a->crashed)
		return false;
	a->ended = true;
	a->crashed = true;
	e->next_crash = (e->next_crash + 1) % CRASHES_MAX;
	*c = (struct crash){ .req = ev->req, .ep = ev->ep, .at = now };
	e->last_crash_at = now;
	return true;
}

static bool add_attempt(struct entry *e, fg_ms now, uint64_t by,
			const fg_suspect *ev)
{
	struct attempt *a = find_or_add_attempt(e, now, by, ev);
	bool *flag = ev->event == FG_SUSPECT_STARTED ? &a->started : &a->ended;
	bool is_new = !*flag;

	*flag = true;
	return is_new;
}

/* The attempt is no crash, and no evidence that the endpoint survives the
 * request either: `crashed` keeps it from counting as a clean run. */
static bool add_not_run(struct entry *e, fg_ms now, uint64_t by,
			const fg_suspect *ev)
{
	struct attempt *a = find_or_add_attempt(e, now, by, ev);

	if (a->ended)
		return false;
	a->ended = true;
	a->crashed = true;
	return true;
}

static bool add_cleared(struct entry *e, fg_ms now, uint64_t by,
			const fg_suspect *ev)
{
	struct attempt *a = find_or_add_attempt(e, now, by, ev);

	/* The event is stored as an attempt, so that a repeat of it does not
	 * clear later crashes. */
	if (a->started)
		return false;
	a->started = true;
	a->ended = true;
	a->crashed = true;
	e->cleared_at = now;
	return true;
}

bool fg_suspects_handle_event(struct fg_suspects *s, fg_ms now, uint64_t by,
			      const fg_suspect *ev)
{
	struct entry *e;

	if (ev->req == 0 || ev->event < FG_SUSPECT_CRASH ||
	    ev->event > FG_SUSPECT_NOT_RUN)
		return false;
	e = find_or_add_entry(s, now, ev);
	e->last_event_at = now;
	if (ev->event == FG_SUSPECT_CRASH)
		return add_crash(e, now, by, ev);
	if (ev->event == FG_SUSPECT_CLEARED)
		return add_cleared(e, now, by, ev);
	if (ev->event == FG_SUSPECT_NOT_RUN)
		return add_not_run(e, now, by, ev);
	return add_attempt(e, now, by, ev);
}

void fg_suspects_handle_dead_instance(struct fg_suspects *s, uint64_t by)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct entry *e = value;

		/* The result is unknown: neither running nor a clean run. */
		for (int i = 0; i < ATTEMPTS_MAX; i++)
			if (e->attempts[i].by == by && !e->attempts[i].ended)
				e->attempts[i].started = false;
	}
}

/* ---- For operators ---- */

static int compare_newest_first(gconstpointer a, gconstpointer b)
{
	const struct fg_suspect_view *x = a;
	const struct fg_suspect_view *y = b;

	if (x->last_crash_at != y->last_crash_at)
		return x->last_crash_at > y->last_crash_at ? -1 : 1;
	return x->fingerprint < y->fingerprint ? -1 : 1;
}

size_t fg_suspects_list(const struct fg_suspects *s, fg_ms now,
			struct fg_suspect_view *out, size_t max)
{
	GArray *all = g_array_new(FALSE, TRUE, sizeof(*out));
	GHashTableIter iter;
	gpointer value;
	size_t n;

	g_hash_table_iter_init(&iter, s->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct entry *e = value;
		struct blame blame = compute_blame(s, e);
		struct fg_suspect_view v = {
			.fingerprint = e->fingerprint,
			.av = e->av,
			.crashes = blame.deaths,
			.refused = is_refused(s, &blame),
			.running = has_running_attempt(e, now),
			.last_crash_at = e->last_crash_at,
		};

		if (blame.deaths > 0 && !is_expired(s, e, now))
			g_array_append_val(all, v);
	}
	g_array_sort(all, compare_newest_first);
	n = all->len;
	for (size_t i = 0; i < n && i < max; i++)
		out[i] = g_array_index(all, struct fg_suspect_view, i);
	g_array_free(all, TRUE);
	return n;
}

bool fg_suspects_clear(struct fg_suspects *s, uint64_t fingerprint)
{
	struct entry *e = g_hash_table_lookup(s->entries, &fingerprint);

	if (e == NULL || e->last_crash_at <= e->cleared_at)
		return false;
	e->cleared_at = e->last_crash_at;
	return true;
}
