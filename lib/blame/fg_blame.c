#include "blame/fg_blame_priv.h"

#define OUTBOX_MAX 512
#define ANSWERS_MAX 4096
/* Each note is sent this often, since datagrams may be lost. */
#define NOTE_SENDS 3
#define NOTE_REPEAT_MS 300
/* Parts of requests that were waiting are reported after this, if they never
 * ran whole or no instance has reported a request that had begun. */
#define WAITING_DELAY_MS 400
/* Instances that know of a whole run tell it at a random time within this, and
 * not at all once another one did. */
#define WHOLE_SPREAD_MS 150
/* Requests, and different parts of them, of each of the two generations from
 * which the common parts are taken. */
#define ASKED_REQUESTS 512
#define ASKED_MAX 4096
/* In fewer requests a part is not common, however few there were. */
#define COMMON_REQUESTS_MIN 8
/* A block is saved this long after it began, since whole runs that other
 * instances know may soon lift it, and again after a while unless it is read
 * back. */
#define SAVE_AFTER_MS 500
#define SAVE_AGAIN_MS 1000

/* ---- Life cycle ---- */

static GHashTable *new_table(void)
{
	return g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

static void answer_free(gpointer p)
{
	struct fg_blame_answer *a = p;

	g_bytes_unref(a->parts);
	g_free(a);
}

struct fg_blame *fg_blame_new(const struct fg_blame_conf *conf,
			      const struct fg_blame_ops *ops, void *ctx)
{
	struct fg_blame *b = g_new0(struct fg_blame, 1);

	b->conf = *conf;
	b->ops = ops;
	b->ctx = ctx;
	fg_rand_seed(&b->rand, conf->seed);
	b->deaths = g_array_new(FALSE, TRUE, sizeof(struct fg_blame_death));
	b->named = new_table();
	b->whole[0] = new_table();
	b->whole[1] = new_table();
	b->blocked = new_table();
	b->outbox = g_array_new(FALSE, TRUE, sizeof(struct fg_blame_pending));
	b->answers = g_queue_new();
	b->started_at = INT64_MIN;
	b->saved_evidence = new_table();
	b->asked[0] = new_table();
	b->asked[1] = new_table();
	return b;
}

void fg_blame_free(struct fg_blame *b)
{
	if (b == NULL)
		return;
	g_array_unref(b->deaths);
	g_hash_table_unref(b->named);
	g_hash_table_unref(b->whole[0]);
	g_hash_table_unref(b->whole[1]);
	g_hash_table_unref(b->blocked);
	g_array_unref(b->outbox);
	g_queue_free_full(b->answers, answer_free);
	g_hash_table_unref(b->saved_evidence);
	g_hash_table_unref(b->asked[0]);
	g_hash_table_unref(b->asked[1]);
	g_free(b);
}

/* ---- Notes ---- */

static void queue_note(struct fg_blame *b, const struct fg_blame_note *note,
		       fg_ms at, fg_ms due_at)
{
	struct fg_blame_pending p = { *note, at, due_at, NOTE_SENDS };

	if (b->outbox->len >= OUTBOX_MAX)
		g_array_remove_index(b->outbox, 0);
	g_array_append_val(b->outbox, p);
}

static void queue_whole(struct fg_blame *b, fg_ms now, uint64_t part, fg_ms at)
{
	struct fg_blame_note note = { .kind = FG_BLAME_WHOLE, .part = part };

	queue_note(b, &note, at,
		   now + (fg_ms)fg_rand_below(&b->rand, WHOLE_SPREAD_MS));
}

/* Drops notes that say no more than one that another instance has sent. */
static void drop_whole_notes(struct fg_blame *b, uint64_t part, fg_ms at)
{
	const struct fg_blame_named *n = g_hash_table_lookup(b->named, &part);

	if (n != NULL && at > n->newest_death_at)
		at = INT64_MAX;
	for (guint i = b->outbox->len; i > 0; i--) {
		const struct fg_blame_pending *p = &g_array_index(
			b->outbox, struct fg_blame_pending, i - 1);

		if (p->note.kind == FG_BLAME_WHOLE && p->note.part == part &&
		    p->at <= at)
			g_array_remove_index(b->outbox, i - 1);
	}
}

/* ---- Whole runs ---- */

static const struct fg_blame_whole *find_whole(const struct fg_blame *b,
					       uint64_t part)
{
	const struct fg_blame_whole *w =
		g_hash_table_lookup(b->whole[0], &part);

	return w != NULL ? w : g_hash_table_lookup(b->whole[1], &part);
}

fg_ms fg_blame_whole_at(const struct fg_blame *b, uint64_t part)
{
	const struct fg_blame_whole *w = find_whole(b, part);

	return w == NULL ? INT64_MIN : w->at;
}

uint32_t fg_blame_whole_runs(const struct fg_blame *b, uint64_t part)
{
	const struct fg_blame_whole *w = find_whole(b, part);

	return w == NULL ? 0 : w->runs;
}

void fg_blame_store_whole(struct fg_blame *b, uint64_t part, fg_ms at,
			  uint32_t n_runs)
{
	struct fg_blame_whole *w = g_hash_table_lookup(b->whole[0], &part);
	const struct fg_blame_whole *older =
		g_hash_table_lookup(b->whole[1], &part);
	fg_ms known_at = fg_blame_whole_at(b, part);
	uint32_t runs = older == NULL ? 0 : older->runs;

	if (w == NULL) {
		if (g_hash_table_size(b->whole[0]) >= b->conf.whole_max / 2) {
			GHashTable *oldest = b->whole[1];

			g_hash_table_remove_all(oldest);
			b->whole[1] = b->whole[0];
			b->whole[0] = oldest;
		}
		w = g_new(struct fg_blame_whole, 1);
		w->part = part;
		w->runs = runs;
		g_hash_table_insert(b->whole[0], &w->part, w);
	}
	w->at = MAX(known_at, at);
	w->runs = MIN(w->runs, FG_BLAME_RUNS_MAX) + n_runs;
}

/* ---- Blocked parts ---- */

static fg_ms draw_time(struct fg_blame *b, fg_ms now, fg_ms after_ms)
{
	return now + after_ms +
	       (fg_ms)fg_rand_below(&b->rand, (uint64_t)after_ms + 1);
}

/* Sets when the block may be tried next, after a trial or at its beginning. */
static void plan_trial(struct fg_blame *b, fg_ms now, struct fg_blame_block *e)
{
	fg_ms after_ms = b->conf.trial_after_ms;
	fg_ms late_ms = b->conf.late_trial_after_ms;

	if (e->trials > 0)
		after_ms *= FG_BLAME_TRIAL_BACKOFF;
	e->trial_at = MAX(e->trial_at, draw_time(b, now, after_ms));
	e->late_trial_at =
		late_ms == 0 ? FG_MS_NEVER : draw_time(b, now, late_ms);
}

/* Returns whether a whole run speaks against a block. */
static bool is_acquitted(const struct fg_blame *b, fg_ms now, uint64_t part,
			 fg_ms first_death_at, uint32_t proven)
{
	fg_ms whole_at = fg_blame_whole_at(b, part);

	if (whole_at == INT64_MIN)
		return false;
	return whole_at > first_death_at || proven < b->conf.block_run_deaths ||
	       now - whole_at < (fg_ms)b->conf.run_quiet_ms;
}

static void evict_block(struct fg_blame *b)
{
	const struct fg_blame_block *oldest = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, b->blocked);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct fg_blame_block *e = value;

		if (oldest == NULL || e->requested_at < oldest->requested_at)
			oldest = e;
	}
	if (oldest != NULL)
		g_hash_table_remove(b->blocked, &oldest->part);
}

/* Blocks the part, or updates its block. */
static void block_part(struct fg_blame *b, fg_ms now,
		       const struct fg_blame_verdict *v)
{
	struct fg_blame_block *e = g_hash_table_lookup(b->blocked, &v->part);
	struct fg_blame_note note = { .kind = FG_BLAME_BLOCKED,
				      .part = v->part,
				      .deaths = v->deaths,
				      .proven = v->proven };

	if (e != NULL && e->deaths >= v->deaths && e->proven >= v->proven)
		return;
	if (e == NULL) {
		if (g_hash_table_size(b->blocked) >= b->conf.blocked_max)
			evict_block(b);
		e = g_new0(struct fg_blame_block, 1);
		e->part = v->part;
		e->first_death_at = v->first_death_at;
		e->requested_at = now;
		e->scattered = now - v->first_death_at > FG_BLAME_BURST_MS;
		plan_trial(b, now, e);
		e->save_at = now + SAVE_AFTER_MS;
		g_hash_table_insert(b->blocked, &e->part, e);
		b->ops->changed(b->ctx, v->part, true, v->deaths);
	}
	e->first_death_at = MIN(e->first_death_at, v->first_death_at);
	e->deaths = MAX(e->deaths, v->deaths);
	e->proven = MAX(e->proven, v->proven);
	note.trials = e->trials;
	queue_note(b, &note, e->first_death_at, now);
}

void fg_blame_lift_if_acquitted(struct fg_blame *b, fg_ms now, uint64_t part)
{
	const struct fg_blame_block *e = g_hash_table_lookup(b->blocked, &part);
	uint32_t deaths;

	if (e == NULL ||
	    !is_acquitted(b, now, part, e->first_death_at, e->proven))
		return;
	deaths = e->deaths;
	if (e->saved_deaths > 0)
		b->ops->unsave(b->ctx, part);
	g_hash_table_remove(b->blocked, &part);
	b->ops->changed(b->ctx, part, false, deaths);
}

void fg_blame_apply_verdicts(struct fg_blame *b, fg_ms now)
{
	GArray *verdicts =
		g_array_new(FALSE, FALSE, sizeof(struct fg_blame_verdict));

	fg_blame_judge(b, now, verdicts);
	for (guint i = 0; i < verdicts->len; i++)
		block_part(
			b, now,
			&g_array_index(verdicts, struct fg_blame_verdict, i));
	g_array_unref(verdicts);
}

/* ---- Deaths ---- */

static uint32_t points_of(bool begun)
{
	return begun ? FG_BLAME_POINTS_FULL : FG_BLAME_POINTS_WAITING;
}

static void forget_oldest_death(struct fg_blame *b)
{
	const struct fg_blame_death *d =
		&g_array_index(b->deaths, struct fg_blame_death, 0);

	for (uint32_t i = 0; i < d->n_members; i++) {
		struct fg_blame_named *n =
			g_hash_table_lookup(b->named, &d->members[i].part);

		if (n == NULL)
			continue;
		n->points -= MIN(n->points, points_of(d->members[i].begun));
		if (n->newest_death_at <= d->at)
			g_hash_table_remove(b->named, &n->part);
	}
	g_array_remove_index(b->deaths, 0);
}

struct fg_blame_death *fg_blame_find_death(const struct fg_blame *b,
					   uint64_t ep, fg_ms at)
{
	for (guint i = b->deaths->len; i > 0; i--) {
		struct fg_blame_death *d =
			&g_array_index(b->deaths, struct fg_blame_death, i - 1);

		if (d->ep == ep && ABS(d->at - at) <= FG_BLAME_DEATH_SPAN_MS)
			return d;
	}
	return NULL;
}

static struct fg_blame_death *find_or_add_death(struct fg_blame *b, fg_ms now,
						uint64_t ep, fg_ms at)
{
	struct fg_blame_death *d = fg_blame_find_death(b, ep, at);
	struct fg_blame_death fresh = { .ep = ep,
					.at = at,
					.reported_at = now };

	if (d != NULL)
		return d;
	if (b->deaths->len >= b->conf.deaths_max)
		forget_oldest_death(b);
	g_array_append_val(b->deaths, fresh);
	return &g_array_index(b->deaths, struct fg_blame_death,
			      b->deaths->len - 1);
}

static struct fg_blame_member *find_slot(struct fg_blame_death *d,
					 const struct fg_blame_note *note)
{
	struct fg_blame_member *waiting = NULL;

	for (uint32_t i = 0; i < d->n_members; i++) {
		if (d->members[i].part == note->part)
			return &d->members[i];
		if (!d->members[i].begun)
			waiting = &d->members[i];
	}
	if (d->n_members < FG_BLAME_MEMBERS_MAX)
		return &d->members[d->n_members++];
	return note->begun ? waiting : NULL;
}

bool fg_blame_add_member(struct fg_blame *b, fg_ms now,
			 const struct fg_blame_note *note, fg_ms at)
{
	struct fg_blame_death *d = find_or_add_death(b, now, note->ep, at);
	struct fg_blame_member *m = find_slot(d, note);
	struct fg_blame_named *known;
	struct fg_blame_named *n;

	if (m == NULL || (m->part == note->part && m->begun >= note->begun &&
			  g_hash_table_contains(b->named, &note->part)))
		return false;
	known = g_hash_table_lookup(b->named, &m->part);
	if (known != NULL) /* the slot's, from now on counted anew */
		known->points -= MIN(known->points, points_of(m->begun));
	m->part = note->part;
	m->depth = note->depth;
	m->begun = note->begun;
	d->has_begun = d->has_begun || note->begun;
	n = g_hash_table_lookup(b->named, &note->part);
	if (n == NULL) {
		n = g_new0(struct fg_blame_named, 1);
		n->part = note->part;
		n->newest_death_at = d->at;
		g_hash_table_insert(b->named, &n->part, n);
	}
	if (d->at > n->newest_death_at)
		n->told = false;
	n->newest_death_at = MAX(n->newest_death_at, d->at);
	n->points += points_of(note->begun);
	return true;
}

/* Tells the others of a whole run that they may not know of. */
static void rebut(struct fg_blame *b, fg_ms now, uint64_t part)
{
	fg_ms whole_at = fg_blame_whole_at(b, part);

	if (whole_at == INT64_MIN)
		return;
	for (guint i = 0; i < b->outbox->len; i++) {
		const struct fg_blame_pending *p =
			&g_array_index(b->outbox, struct fg_blame_pending, i);

		if (p->note.kind == FG_BLAME_WHOLE && p->note.part == part)
			return;
	}
	queue_whole(b, now, part, whole_at);
}

/* The same for a part that a death names, unless another instance did. */
static void rebut_death(struct fg_blame *b, fg_ms now, uint64_t part)
{
	struct fg_blame_named *n = g_hash_table_lookup(b->named, &part);

	if (n == NULL || n->told)
		return;
	n->told = fg_blame_whole_at(b, part) != INT64_MIN;
	rebut(b, now, part);
}

void fg_blame_on_loss(struct fg_blame *b, fg_ms now, uint64_t ep, fg_ms at,
		      bool begun, GBytes *parts)
{
	gsize size = 0;
	const uint64_t *keys =
		parts == NULL ? NULL : g_bytes_get_data(parts, &size);

	for (gsize i = 0; i < size / sizeof(*keys); i++) {
		struct fg_blame_note note = { .kind = FG_BLAME_LOSS,
					      .part = keys[i],
					      .ep = ep,
					      .depth = (uint32_t)i,
					      .begun = begun };

		if (!fg_blame_add_member(b, now, &note, at))
			continue;
		queue_note(b, &note, at, now + (begun ? 0 : WAITING_DELAY_MS));
		rebut_death(b, now, keys[i]);
	}
	b->judge_until = now + FG_BLAME_JUDGE_MS;
	fg_blame_apply_verdicts(b, now);
}

/* ---- Complete answers ---- */

void fg_blame_on_answer(struct fg_blame *b, fg_ms now, uint64_t ep,
			GBytes *parts)
{
	struct fg_blame_answer *a;

	if (parts == NULL || g_queue_get_length(b->answers) >= ANSWERS_MAX)
		return;
	a = g_new(struct fg_blame_answer, 1);
	a->ep = ep;
	a->at = now;
	a->parts = g_bytes_ref(parts);
	g_queue_push_tail(b->answers, a);
}

static bool died_after(const struct fg_blame *b,
		       const struct fg_blame_answer *a)
{
	for (guint i = b->deaths->len; i > 0; i--) {
		const struct fg_blame_death *d =
			&g_array_index(b->deaths, struct fg_blame_death, i - 1);

		if (d->ep == a->ep && d->at >= a->at &&
		    d->at - a->at < FG_BLAME_SETTLE_MS)
			return true;
	}
	return false;
}

static void note_whole_run(struct fg_blame *b, fg_ms now, uint64_t part,
			   fg_ms at)
{
	fg_ms before = fg_blame_whole_at(b, part);
	struct fg_blame_named *n = g_hash_table_lookup(b->named, &part);

	fg_blame_store_whole(b, part, at, 1);
	if (n != NULL && before <= n->newest_death_at &&
	    at > n->newest_death_at) {
		n->told = true;
		queue_whole(b, now, part, at);
	} else if (g_hash_table_contains(b->blocked, &part)) {
		queue_whole(b, now, part, at);
	}
	fg_blame_lift_if_acquitted(b, now, part);
}

static void settle_answers(struct fg_blame *b, fg_ms now)
{
	struct fg_blame_answer *a;

	while ((a = g_queue_peek_head(b->answers)) != NULL &&
	       now - a->at >= FG_BLAME_SETTLE_MS) {
		gsize size;
		const uint64_t *keys = g_bytes_get_data(a->parts, &size);
		bool whole = !died_after(b, a);

		for (gsize i = 0; whole && i < size / sizeof(*keys); i++)
			note_whole_run(b, now, keys[i], a->at);
		answer_free(g_queue_pop_head(b->answers));
	}
}

/* ---- Notes of other instances ---- */

static void apply_whole(struct fg_blame *b, fg_ms now,
			const struct fg_blame_note *note)
{
	fg_ms at = now - (fg_ms)note->age_ms;
	struct fg_blame_named *n = g_hash_table_lookup(b->named, &note->part);

	fg_blame_store_whole(b, note->part, at, 1);
	drop_whole_notes(b, note->part, at);
	if (n != NULL)
		n->told = true;
	fg_blame_lift_if_acquitted(b, now, note->part);
}

static void count_trials(struct fg_blame *b, fg_ms now, uint64_t part,
			 uint32_t trials)
{
	struct fg_blame_block *e = g_hash_table_lookup(b->blocked, &part);

	if (e == NULL || trials <= e->trials)
		return;
	e->trials = trials;
	e->deaths_at_trial = e->deaths;
	plan_trial(b, now, e);
}

static void apply_blocked(struct fg_blame *b, fg_ms now,
			  const struct fg_blame_note *note)
{
	struct fg_blame_verdict v = { note->part, note->deaths, note->proven,
				      now - (fg_ms)note->age_ms };

	if (is_acquitted(b, now, v.part, v.first_death_at, v.proven))
		rebut(b, now, v.part);
	else
		block_part(b, now, &v);
	count_trials(b, now, note->part, note->trials);
}

void fg_blame_on_note(struct fg_blame *b, fg_ms now,
		      const struct fg_blame_note *note)
{
	switch (note->kind) {
	case FG_BLAME_LOSS:
		if (!fg_blame_add_member(b, now, note,
					 now - (fg_ms)note->age_ms))
			break;
		rebut_death(b, now, note->part);
		b->judge_until = now + FG_BLAME_JUDGE_MS;
		fg_blame_apply_verdicts(b, now);
		break;
	case FG_BLAME_WHOLE:
		apply_whole(b, now, note);
		break;
	case FG_BLAME_BLOCKED:
		apply_blocked(b, now, note);
		break;
	case FG_BLAME_TRIAL:
		count_trials(b, now, note->part, note->trials);
		break;
	}
}

/* ---- Stored blocks ---- */

void fg_blame_on_stored(struct fg_blame *b, fg_ms now,
			const struct fg_blame_note *note)
{
	struct fg_blame_block *e;

	apply_blocked(b, now, note);
	e = g_hash_table_lookup(b->blocked, &note->part);
	if (e == NULL) {
		b->ops->unsave(b->ctx, note->part);
		return;
	}
	e->saved_deaths = note->deaths;
	e->saved_trials = note->trials;
}

void fg_blame_save_again(struct fg_blame *b)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, b->blocked);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct fg_blame_block *)value)->saved_deaths = 0;
	g_hash_table_remove_all(b->saved_evidence);
}

static void fill_blocked(const struct fg_blame_block *e, fg_ms now,
			 struct fg_blame_note *out)
{
	*out = (struct fg_blame_note){
		.kind = FG_BLAME_BLOCKED,
		.part = e->part,
		.deaths = e->deaths,
		.proven = e->proven,
		.trials = e->trials,
		.age_ms =
			(uint32_t)CLAMP(now - e->first_death_at, 0, UINT32_MAX),
	};
}

static void save_blocks(struct fg_blame *b, fg_ms now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, b->blocked);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct fg_blame_block *e = value;
		struct fg_blame_note note;

		if (now < e->save_at || (e->saved_deaths >= e->deaths &&
					 e->saved_trials >= e->trials))
			continue;
		e->save_at = now + SAVE_AGAIN_MS;
		fill_blocked(e, now, &note);
		b->ops->save(b->ctx, &note);
	}
}

/* ---- Requests ---- */

static struct fg_blame_block *find_block(const struct fg_blame *b,
					 uint64_t part)
{
	return g_hash_table_lookup(b->blocked, &part);
}

bool fg_blame_is_blocked(const struct fg_blame *b, GBytes *parts)
{
	gsize size = 0;
	const uint64_t *keys =
		parts == NULL ? NULL : g_bytes_get_data(parts, &size);

	if (g_hash_table_size(b->blocked) == 0)
		return false;
	for (gsize i = 0; i < size / sizeof(*keys); i++) {
		if (find_block(b, keys[i]) != NULL)
			return true;
	}
	return false;
}

static void count_asked(struct fg_blame *b, const uint64_t *keys, gsize n)
{
	if (b->n_asked[0] >= ASKED_REQUESTS ||
	    g_hash_table_size(b->asked[0]) >= ASKED_MAX) {
		GHashTable *oldest = b->asked[1];

		g_hash_table_remove_all(oldest);
		b->asked[1] = b->asked[0];
		b->n_asked[1] = b->n_asked[0];
		b->asked[0] = oldest;
		b->n_asked[0] = 0;
	}
	b->n_asked[0]++;
	for (gsize i = 0; i < n; i++) {
		struct fg_blame_asked *a =
			g_hash_table_lookup(b->asked[0], &keys[i]);

		if (a == NULL) {
			a = g_new0(struct fg_blame_asked, 1);
			a->part = keys[i];
			g_hash_table_insert(b->asked[0], &a->part, a);
		}
		a->requests++;
	}
}

bool fg_blame_is_common(const struct fg_blame *b, uint64_t part)
{
	uint32_t all = b->n_asked[0] + b->n_asked[1];
	uint32_t n = 0;

	for (int i = 0; i < 2; i++) {
		const struct fg_blame_asked *a =
			g_hash_table_lookup(b->asked[i], &part);

		n += a == NULL ? 0 : a->requests;
	}
	return n >= COMMON_REQUESTS_MIN && n >= all / FG_BLAME_COMMON_SHARE;
}

/* Returns whether one more death would block the part. */
static bool is_suspect(const struct fg_blame *b, uint64_t part)
{
	const struct fg_blame_named *n = g_hash_table_lookup(b->named, &part);

	return n != NULL &&
	       n->points >= (b->conf.block_deaths - 1) * FG_BLAME_POINTS_FULL &&
	       fg_blame_whole_at(b, part) == INT64_MIN;
}

bool fg_blame_may_resend(const struct fg_blame *b, GBytes *parts)
{
	gsize size = 0;
	const uint64_t *keys =
		parts == NULL ? NULL : g_bytes_get_data(parts, &size);

	for (gsize i = 0; i < size / sizeof(*keys); i++) {
		if (is_suspect(b, keys[i]))
			return false;
	}
	return !fg_blame_is_blocked(b, parts);
}

static bool may_try(const struct fg_blame *b, fg_ms now,
		    const struct fg_blame_block *e)
{
	bool late = e->deaths >= b->conf.final_deaths || e->scattered ||
		    (e->trials > 0 && e->deaths != e->deaths_at_trial);

	return e->trials < b->conf.trials_max &&
	       now >= (late ? e->late_trial_at : e->trial_at);
}

bool fg_blame_admit(struct fg_blame *b, fg_ms now, GBytes *parts)
{
	gsize size = 0;
	const uint64_t *keys =
		parts == NULL ? NULL : g_bytes_get_data(parts, &size);
	bool allowed = true;

	for (gsize i = 0; i < size / sizeof(*keys); i++) {
		struct fg_blame_block *e = find_block(b, keys[i]);

		if (e == NULL)
			continue;
		e->requested_at = now;
		allowed = allowed && may_try(b, now, e);
	}
	/* Without the requests that are refused, whose callers return. */
	if (allowed)
		count_asked(b, keys, size / sizeof(*keys));
	for (gsize i = 0; allowed && i < size / sizeof(*keys); i++) {
		struct fg_blame_block *e = find_block(b, keys[i]);
		struct fg_blame_note note = { .kind = FG_BLAME_TRIAL,
					      .part = keys[i] };

		if (e == NULL)
			continue;
		note.trials = ++e->trials;
		plan_trial(b, now, e);
		e->deaths_at_trial = e->deaths;
		queue_note(b, &note, now, now);
	}
	return allowed;
}

/* ---- Clock ---- */

static bool is_superseded(const struct fg_blame *b,
			  const struct fg_blame_pending *p)
{
	const struct fg_blame_death *d =
		p->note.kind == FG_BLAME_LOSS && !p->note.begun
			? fg_blame_find_death(b, p->note.ep, p->at)
			: NULL;

	return d != NULL && d->has_begun &&
	       fg_blame_whole_at(b, p->note.part) != INT64_MIN;
}

static void send_due_notes(struct fg_blame *b, fg_ms now)
{
	for (guint i = b->outbox->len; i > 0; i--) {
		struct fg_blame_pending *p = &g_array_index(
			b->outbox, struct fg_blame_pending, i - 1);

		if (now < p->due_at)
			continue;
		if (is_superseded(b, p)) {
			g_array_remove_index(b->outbox, i - 1);
			continue;
		}
		p->note.age_ms = (uint32_t)CLAMP(now - p->at, 0, UINT32_MAX);
		b->ops->send(b->ctx, &p->note);
		p->due_at = now + NOTE_REPEAT_MS;
		if (--p->sends_left == 0)
			g_array_remove_index(b->outbox, i - 1);
	}
}

void fg_blame_tick(struct fg_blame *b, fg_ms now)
{
	if (b->started_at == INT64_MIN)
		b->started_at = now;
	settle_answers(b, now);
	if (now < b->judge_until)
		fg_blame_apply_verdicts(b, now);
	save_blocks(b, now);
	fg_blame_save_evidence(b, now);
	send_due_notes(b, now);
}

/* ---- For operators and new instances ---- */

static int compare_requested(gconstpointer x, gconstpointer y)
{
	const struct fg_blame_block *a = *(struct fg_blame_block *const *)x;
	const struct fg_blame_block *c = *(struct fg_blame_block *const *)y;

	if (a->requested_at != c->requested_at)
		return a->requested_at > c->requested_at ? -1 : 1;
	return a->part < c->part ? -1 : a->part > c->part;
}

uint32_t fg_blame_list(const struct fg_blame *b, fg_ms now,
		       struct fg_blame_note *out, uint32_t max)
{
	GPtrArray *all = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;
	uint32_t n = 0;

	g_hash_table_iter_init(&iter, b->blocked);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(all, value);
	g_ptr_array_sort(all, compare_requested);
	for (; n < all->len && n < max; n++)
		fill_blocked(all->pdata[n], now, &out[n]);
	g_ptr_array_unref(all);
	return n;
}

uint32_t fg_blame_count(const struct fg_blame *b)
{
	return g_hash_table_size(b->blocked);
}
