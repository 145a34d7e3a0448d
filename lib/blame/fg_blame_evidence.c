/* Evidence in the store, and for instances that missed notes. */
#include "blame/fg_blame_priv.h"

/* The stored evidence is a few kilobytes. It is written again at most this
 * often for new losses, and for other parts with whole runs. */
#define LOSSES_GAP_MS 2000
#define WHOLE_GAP_MS 30000
/* First time for whole runs, by which the parts that most requests carry show;
 * also the time after which a refused attempt is repeated. */
#define WHOLE_FIRST_MS 5000
/* Parts with whole runs in the evidence; another order of the first ones alone
 * is no reason to write it. */
#define WHOLE_MAX 32
#define WHOLE_CHANGED_MAX 8
/* A run or two say little about how common a part is. */
#define WHOLE_RUNS_MIN 3
/* The age of a stored death is that of writing, so that its time seems later
 * than it was, by at most this if the death is known already. */
#define STORED_SPAN_MS 60000
/* Losses are repeated to single instances for this long. */
#define OPEN_MS 60000

static uint64_t digest(const struct fg_blame_note *n)
{
	uint64_t x = n->part * 0x9e3779b97f4a7c15u;

	if (n->kind == FG_BLAME_LOSS)
		x ^= (n->ep + 1) * 0xc2b2ae3d27d4eb4fu + n->begun;
	return x ^ x >> 32;
}

static bool is_saved(const struct fg_blame *b, const struct fg_blame_note *n)
{
	uint64_t key = digest(n);

	return g_hash_table_contains(b->saved_evidence, &key);
}

/* ---- Losses ---- */

/* Returns whether a block accounts for the death. */
static bool is_explained(const struct fg_blame *b,
			 const struct fg_blame_death *d)
{
	for (uint32_t i = 0; i < d->n_members; i++) {
		const struct fg_blame_block *e =
			g_hash_table_lookup(b->blocked, &d->members[i].part);

		if (e != NULL && e->saved_deaths > 0)
			return true;
	}
	return false;
}

/* Returns whether the part may have caused the death. */
static bool is_open(const struct fg_blame *b, const struct fg_blame_death *d,
		    const struct fg_blame_member *m)
{
	fg_ms whole_at = fg_blame_whole_at(b, m->part);

	return m->begun ? whole_at <= d->at : whole_at == INT64_MIN;
}

/* A loss that may be listed. */
struct open_loss {
	struct fg_blame_note note;
	uint32_t rank; /* the higher, the more it says */
};

static int compare_rank(gconstpointer x, gconstpointer y)
{
	const struct open_loss *a = x;
	const struct open_loss *c = y;

	if (a->rank != c->rank)
		return a->rank > c->rank ? -1 : 1;
	if (a->note.age_ms != c->note.age_ms)
		return a->note.age_ms < c->note.age_ms ? -1 : 1;
	return a->note.part < c->note.part ? -1 : a->note.part > c->note.part;
}

static void add_losses(const struct fg_blame *b, fg_ms now,
		       const struct fg_blame_death *d, GArray *out)
{
	for (uint32_t k = 0; k < d->n_members; k++) {
		const struct fg_blame_member *m = &d->members[k];
		struct open_loss loss = {
			.note = { .kind = FG_BLAME_LOSS,
				  .part = m->part,
				  .age_ms = (uint32_t)CLAMP(now - d->at, 0,
							    UINT32_MAX),
				  .ep = d->ep,
				  .depth = m->depth,
				  .begun = m->begun,
				  .some_begun = d->has_begun },
		};

		if (is_open(b, d, m))
			g_array_append_val(out, loss);
	}
}

/* Parts in several deaths come first, those that ran whole before last. */
static void rank_losses(const struct fg_blame *b, GArray *losses)
{
	GHashTable *points = g_hash_table_new(g_int64_hash, g_int64_equal);

	for (guint i = 0; i < losses->len; i++) {
		struct open_loss *l =
			&g_array_index(losses, struct open_loss, i);
		guint n = GPOINTER_TO_UINT(
			g_hash_table_lookup(points, &l->note.part));

		g_hash_table_replace(
			points, &l->note.part,
			GUINT_TO_POINTER(n + (l->note.begun ? 2 : 1)));
	}
	for (guint i = 0; i < losses->len; i++) {
		struct open_loss *l =
			&g_array_index(losses, struct open_loss, i);

		l->rank = GPOINTER_TO_UINT(
			g_hash_table_lookup(points, &l->note.part));
		if (fg_blame_whole_at(b, l->note.part) == INT64_MIN)
			l->rank += 3 * b->conf.deaths_max;
	}
	g_hash_table_unref(points);
	g_array_sort(losses, compare_rank);
}

/* Lists what may have caused deaths, at most `max`. `exact`: only deaths with
 * an exact time that no block explains. */
static uint32_t list_losses(const struct fg_blame *b, fg_ms now, fg_ms keep_ms,
			    bool exact, struct fg_blame_note *out, uint32_t max)
{
	GArray *losses = g_array_new(FALSE, FALSE, sizeof(struct open_loss));
	uint32_t n;

	for (guint i = 0; i < b->deaths->len; i++) {
		const struct fg_blame_death *d =
			&g_array_index(b->deaths, struct fg_blame_death, i);

		if (now - d->at < keep_ms &&
		    !(exact && (d->stored || is_explained(b, d))))
			add_losses(b, now, d, losses);
	}
	rank_losses(b, losses);
	n = MIN(losses->len, max);
	for (uint32_t i = 0; i < n; i++)
		out[i] = g_array_index(losses, struct open_loss, i).note;
	g_array_unref(losses);
	return n;
}

uint32_t fg_blame_list_open(const struct fg_blame *b, fg_ms now,
			    struct fg_blame_note *out, uint32_t max)
{
	uint32_t n = list_losses(b, now, OPEN_MS, true, out, max);

	for (uint32_t i = 0; i < n; i++)
		out[i].some_begun = false;
	return n;
}

/* ---- Whole runs ---- */

static int compare_runs(gconstpointer x, gconstpointer y)
{
	const struct fg_blame_whole *a = *(struct fg_blame_whole *const *)x;
	const struct fg_blame_whole *c = *(struct fg_blame_whole *const *)y;

	if (a->runs != c->runs)
		return a->runs > c->runs ? -1 : 1;
	return a->part < c->part ? -1 : a->part > c->part;
}

/* Appends the parts with most whole runs. */
static uint32_t list_whole(const struct fg_blame *b, fg_ms now,
			   struct fg_blame_note *out, uint32_t max)
{
	GPtrArray *all = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;
	uint32_t n = 0;

	for (int i = 0; i < 2; i++) {
		g_hash_table_iter_init(&iter, b->whole[i]);
		while (g_hash_table_iter_next(&iter, NULL, &value)) {
			const struct fg_blame_whole *w = value;

			if (w->runs >= WHOLE_RUNS_MIN &&
			    (i == 0 ||
			     !g_hash_table_contains(b->whole[0], &w->part)))
				g_ptr_array_add(all, value);
		}
	}
	g_ptr_array_sort(all, compare_runs);
	for (; n < all->len && n < max; n++) {
		const struct fg_blame_whole *w = all->pdata[n];

		out[n] = (struct fg_blame_note){
			.kind = FG_BLAME_WHOLE,
			.part = w->part,
			.runs = w->runs,
			.age_ms = (uint32_t)CLAMP(now - w->at, 0, UINT32_MAX),
		};
	}
	g_ptr_array_unref(all);
	return n;
}

/* ---- Saving ---- */

static bool lacks(const struct fg_blame *b, const struct fg_blame_note *notes,
		  uint32_t n)
{
	for (uint32_t i = 0; i < n; i++) {
		if (!is_saved(b, &notes[i]))
			return true;
	}
	return false;
}

void fg_blame_save_evidence(struct fg_blame *b, fg_ms now)
{
	struct fg_blame_note notes[FG_BLAME_EVIDENCE_MAX];
	uint32_t n_losses;
	uint32_t n_whole;
	bool due;

	if (b->save_whole_at == 0)
		b->save_whole_at = now + WHOLE_FIRST_MS;
	if (now < b->save_losses_at)
		return;
	n_losses = list_losses(b, now, (fg_ms)b->conf.keep_ms, false, notes,
			       FG_BLAME_EVIDENCE_MAX - WHOLE_MAX);
	due = lacks(b, notes, n_losses);
	if (!due && now < b->save_whole_at)
		return;
	n_whole = list_whole(b, now, notes + n_losses, WHOLE_MAX);
	due = due || lacks(b, notes + n_losses,
			   MIN(n_whole, (uint32_t)WHOLE_CHANGED_MAX));
	b->save_whole_at = now + WHOLE_FIRST_MS;
	if (!due || !b->ops->save_evidence(b->ctx, notes, n_losses + n_whole))
		return;
	b->save_losses_at = now + LOSSES_GAP_MS;
	b->save_whole_at = now + WHOLE_GAP_MS;
}

/* ---- Reading ---- */

/* Returns how many later deaths of the same endpoint the notes name. Their
 * times are inexact by an unknown time that is the same for all. */
static uint32_t count_later(const struct fg_blame_note *notes, uint32_t n,
			    const struct fg_blame_note *of)
{
	int64_t age = of->age_ms;
	uint32_t later = 0;

	for (;;) {
		int64_t next = -1;

		for (uint32_t i = 0; i < n; i++) {
			if (notes[i].kind == FG_BLAME_LOSS &&
			    notes[i].ep == of->ep &&
			    notes[i].age_ms + FG_BLAME_DEATH_SPAN_MS < age)
				next = MAX(next, (int64_t)notes[i].age_ms);
		}
		if (next < 0)
			return later;
		age = next;
		later++;
	}
}

/* Returns the death of the endpoint with that many known later ones, NULL when
 * there is none. Only the first `n_deaths` count. */
static struct fg_blame_death *find_nth_death(const struct fg_blame *b,
					     guint n_deaths, uint64_t ep,
					     uint32_t later)
{
	struct fg_blame_death *found = NULL;
	fg_ms before = INT64_MAX;

	for (uint32_t k = 0; k <= later; k++) {
		found = NULL;
		for (guint i = 0; i < MIN(n_deaths, b->deaths->len); i++) {
			struct fg_blame_death *d = &g_array_index(
				b->deaths, struct fg_blame_death, i);

			if (d->ep == ep && d->at < before &&
			    (found == NULL || d->at > found->at))
				found = d;
		}
		if (found == NULL)
			return NULL;
		before = found->at;
	}
	return found;
}

static void apply_stored_loss(struct fg_blame *b, fg_ms now,
			      const struct fg_blame_note *note, uint32_t later,
			      guint n_deaths)
{
	fg_ms at = now - (fg_ms)note->age_ms;
	struct fg_blame_death *d = find_nth_death(b, n_deaths, note->ep, later);
	bool known = d != NULL && ABS(d->at - at) <= STORED_SPAN_MS;

	if (known)
		at = d->at;
	else
		known = fg_blame_find_death(b, note->ep, at) != NULL;
	if (fg_blame_add_member(b, now, note, at))
		b->judge_until = MAX(b->judge_until, now + FG_BLAME_JUDGE_MS);
	d = fg_blame_find_death(b, note->ep, at);
	if (d == NULL)
		return;
	d->stored = d->stored || !known;
	d->has_begun = d->has_begun || note->some_begun;
}

/* Adds the runs that are not counted here yet. The time of the last one is
 * inexact, and counts only if no run is known here. */
static void apply_stored_whole(struct fg_blame *b, fg_ms now,
			       const struct fg_blame_note *note)
{
	fg_ms at = MIN(now - (fg_ms)note->age_ms, b->started_at);
	uint32_t known = fg_blame_whole_runs(b, note->part);
	uint32_t runs = MIN(note->runs, FG_BLAME_RUNS_MAX);

	if (known > 0)
		at = fg_blame_whole_at(b, note->part);
	if (runs <= known)
		return;
	fg_blame_store_whole(b, note->part, at, runs - known);
	fg_blame_lift_if_acquitted(b, now, note->part);
}

void fg_blame_on_evidence(struct fg_blame *b, fg_ms now,
			  const struct fg_blame_note *notes, uint32_t n,
			  bool own)
{
	guint n_deaths = b->deaths->len;

	if (b->started_at == INT64_MIN)
		b->started_at = now;
	if (own)
		g_hash_table_remove_all(b->saved_evidence);
	for (uint32_t i = 0; i < n; i++) {
		const struct fg_blame_note *note = &notes[i];

		if (own) {
			uint64_t *key = g_new(uint64_t, 1);

			*key = digest(note);
			g_hash_table_replace(b->saved_evidence, key, key);
		}
		if (note->kind == FG_BLAME_LOSS) {
			apply_stored_loss(b, now, note,
					  count_later(notes, n, note),
					  n_deaths);
		} else if (note->kind == FG_BLAME_WHOLE) {
			apply_stored_whole(b, now, note);
		}
	}
	fg_blame_apply_verdicts(b, now);
}
