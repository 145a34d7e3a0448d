/* Which parts the known deaths are to be blamed on. */
#include "blame/fg_blame_priv.h"

/* A death counts once other instances have had the time to tell of whole runs
 * of the parts. */
#define DEATH_COUNTS_AFTER_MS 300

/* Without a report of a request that had begun by then, there was none. */
#define NONE_BEGUN_AFTER_MS 1500

struct tally {
	uint64_t part;
	uint32_t depth;
	uint32_t deaths; /* of full weight */
	uint32_t points; /* of these, without the parts blamed before */
	fg_ms first_death_at;
	bool ran_whole;
	bool common;
	bool blamed;
};

static bool counts(const struct fg_blame *b, fg_ms now,
		   const struct fg_blame_death *d)
{
	return now - d->at < (fg_ms)b->conf.keep_ms &&
	       now - d->reported_at >= DEATH_COUNTS_AFTER_MS;
}

/* Returns the weight of the death for the part; 0: it is not to blame. */
static uint32_t weigh(const struct fg_blame *b, fg_ms now,
		      const struct fg_blame_death *d,
		      const struct fg_blame_member *m)
{
	bool none_begun =
		!d->has_begun && now - d->reported_at >= NONE_BEGUN_AFTER_MS;

	if (fg_blame_whole_at(b, m->part) > d->at)
		return 0;
	return m->begun || none_begun ? FG_BLAME_POINTS_FULL
				      : FG_BLAME_POINTS_WAITING;
}

static struct tally *find_or_add_tally(const struct fg_blame *b,
				       GHashTable *tallies,
				       const struct fg_blame_death *d,
				       const struct fg_blame_member *m)
{
	struct tally *t = g_hash_table_lookup(tallies, &m->part);

	if (t != NULL)
		return t;
	t = g_new0(struct tally, 1);
	t->part = m->part;
	t->first_death_at = d->at;
	t->ran_whole = fg_blame_whole_at(b, m->part) != INT64_MIN;
	t->common = fg_blame_is_common(b, m->part) &&
		    !g_hash_table_contains(b->blocked, &m->part);
	g_hash_table_insert(tallies, &t->part, t);
	return t;
}

static GHashTable *count_deaths(const struct fg_blame *b, fg_ms now)
{
	GHashTable *tallies = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						    NULL, g_free);

	for (guint i = 0; i < b->deaths->len; i++) {
		const struct fg_blame_death *d =
			&g_array_index(b->deaths, struct fg_blame_death, i);

		for (uint32_t k = 0; counts(b, now, d) && k < d->n_members;
		     k++) {
			const struct fg_blame_member *m = &d->members[k];
			uint32_t points = weigh(b, now, d, m);
			struct tally *t;

			if (points == 0)
				continue;
			t = find_or_add_tally(b, tallies, d, m);
			t->first_death_at = MIN(t->first_death_at, d->at);
			t->depth = MAX(t->depth, m->depth);
			t->deaths += points == FG_BLAME_POINTS_FULL;
			t->points += points;
		}
	}
	return tallies;
}

static bool is_to_blame(const struct fg_blame *b, fg_ms now,
			const struct tally *t)
{
	if (t->blamed)
		return false;
	if (t->ran_whole)
		return t->points >= b->conf.block_run_deaths *
					    FG_BLAME_POINTS_FULL &&
		       now - fg_blame_whole_at(b, t->part) >=
			       (fg_ms)b->conf.run_quiet_ms;
	if (t->common)
		return t->points >=
		       b->conf.block_run_deaths * FG_BLAME_POINTS_FULL;
	/* A part that always came together with a blamed one shows itself by
	 * the first death without that one. */
	return t->points >= b->conf.block_deaths * FG_BLAME_POINTS_FULL ||
	       (t->points > 0 && t->deaths > b->conf.block_deaths);
}

/* A part that never ran whole comes first. Of parts with the same deaths the
 * later one in the prompt is blamed, which fewer requests share. */
static bool is_blamed_before(const struct tally *x, const struct tally *y)
{
	if (x->ran_whole != y->ran_whole)
		return y->ran_whole;
	if (x->points != y->points)
		return x->points > y->points;
	if (x->depth != y->depth)
		return x->depth > y->depth;
	return x->part < y->part;
}

static struct tally *choose(const struct fg_blame *b, fg_ms now,
			    GHashTable *tallies)
{
	struct tally *best = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, tallies);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (is_to_blame(b, now, value) &&
		    (best == NULL || is_blamed_before(value, best)))
			best = value;
	}
	return best;
}

/* The deaths that the blamed part may have caused count for no other part. */
static void explain_deaths(const struct fg_blame *b, fg_ms now,
			   GHashTable *tallies, uint64_t part, bool *explained)
{
	for (guint i = 0; i < b->deaths->len; i++) {
		const struct fg_blame_death *d =
			&g_array_index(b->deaths, struct fg_blame_death, i);
		bool caused = false;

		for (uint32_t k = 0; k < d->n_members; k++)
			caused = caused ||
				 (d->members[k].part == part &&
				  weigh(b, now, d, &d->members[k]) > 0);
		if (!caused || explained[i] || !counts(b, now, d))
			continue;
		explained[i] = true;
		for (uint32_t k = 0; k < d->n_members; k++) {
			struct tally *t = g_hash_table_lookup(
				tallies, &d->members[k].part);

			if (t != NULL)
				t->points -= weigh(b, now, d, &d->members[k]);
		}
	}
}

void fg_blame_judge(const struct fg_blame *b, fg_ms now, GArray *out)
{
	GHashTable *tallies = count_deaths(b, now);
	bool *explained = g_new0(bool, b->deaths->len + 1);
	struct tally *t;

	while ((t = choose(b, now, tallies)) != NULL) {
		struct fg_blame_verdict v = { t->part, t->deaths,
					      t->points / FG_BLAME_POINTS_FULL,
					      t->first_death_at };

		t->blamed = true;
		g_array_append_val(out, v);
		explain_deaths(b, now, tallies, t->part, explained);
	}
	g_free(explained);
	g_hash_table_unref(tallies);
}
