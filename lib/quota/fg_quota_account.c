/* The account of a workspace at its holder. */
#include "quota/fg_quota_priv.h"

/* An instance that does not answer a check is passed over for this long. */
#define SILENT_MS 1500
/* An instance that answered a check is not checked again for this long. */
#define CHECK_GAP_MS 200
/* Checks without an answer after which an instance is passed over: at 5 % lost
 * datagrams a single one fails too often. */
#define CHECK_TRIES 2
/* An account taken over from an instance that was alive until CONTESTED_MS ago
 * gets only so much a second, as part of what it starts with: the other one, if
 * it was cut off, grants until it notices. Full refills broke the bound in 35
 * of 400 schedules with cuts of groups. */
#define CONTESTED_MS 800
#define CONTESTED_FACTOR 2
/* Longest time to come back that is told. */
#define RETRY_MAX_MS 3000

void fgq_refill(struct bucket *b, fg_ms now, double rate_per_s, double cap)
{
	if (now > b->at)
		b->level += rate_per_s * (double)(now - b->at) / FG_MS_PER_S;
	b->level = MIN(b->level, cap);
	b->at = MAX(b->at, now);
}

static double initial_level(const struct fg_quota *q, const struct workspace *w)
{
	return w->limit.rate_per_s * q->conf.initial_permille / 1000 +
	       q->conf.initial_tokens;
}

static bool precedes(const struct fg_quota *q, const struct member *m,
		     const struct workspace *w)
{
	return fg_hash_mix(m->pub.hash, w->id) >
	       fg_hash_mix(q->conf.self_hash, w->id);
}

/* True while an instance that precedes this one may still keep the account: it
 * was alive a moment ago, and may see more than half of the instances. */
static bool is_contested(const struct fg_quota *q, const struct workspace *w,
			 fg_ms now)
{
	for (guint i = 0; i < q->members->len; i++) {
		const struct member *m =
			&g_array_index(q->members, struct member, i);

		if (m->alive_at != 0 && now - m->alive_at < CONTESTED_MS &&
		    precedes(q, m, w))
			return true;
	}
	return false;
}

static double effective_rate(const struct fg_quota *q,
			     const struct workspace *w)
{
	double rate = w->limit.rate_per_s * (1 - q->kept_back);

	return w->contested ? MIN(rate, CONTESTED_FACTOR * initial_level(q, w))
			    : rate;
}

void fgq_update_contested(const struct fg_quota *q, struct workspace *w,
			  fg_ms now)
{
	w->contested = is_contested(q, w, now);
}

bool fgq_update_held(struct fg_quota *q, struct workspace *w, fg_ms now)
{
	bool held = fgq_holder(q, w, now, false) == q->conf.self;

	if (held && !w->held) {
		w->account.level = initial_level(q, w);
		w->account.at = now;
		w->promised_until = 0;
		fgq_update_contested(q, w, now);
		q->stats.takeovers++;
		g_ptr_array_add(q->held, w);
		q->checks_due = now;
	} else if (!held && w->held) {
		g_ptr_array_remove_fast(q->held, w);
	}
	w->held = held;
	if (held)
		fgq_refill(&w->account, now, effective_rate(q, w),
			   w->limit.burst);
	return held;
}

/* Time until the account has the tokens. */
static fg_ms time_to_refill_ms(const struct fg_quota *q,
			       const struct workspace *w, uint32_t tokens)
{
	double rate = MAX(effective_rate(q, w), 1.0);
	double lacking = MIN((double)tokens, w->limit.burst) - w->account.level;

	return 1 + (fg_ms)(MAX(lacking, 0.0) / rate * FG_MS_PER_S);
}

/* The times told to one refused request after the other follow each other, so
 * that not all of them come back for the same tokens. */
static uint32_t promise_ms(struct fg_quota *q, struct workspace *w, fg_ms now,
			   uint32_t tokens)
{
	double rate = MAX(effective_rate(q, w), 1.0);
	fg_ms first_at = now + time_to_refill_ms(q, w, tokens);
	fg_ms step_ms = (fg_ms)((double)tokens / rate * FG_MS_PER_S);

	w->promised_until = MAX(first_at, w->promised_until + step_ms);
	w->promised_until = MIN(w->promised_until, now + RETRY_MAX_MS);
	return (uint32_t)(MAX(w->promised_until, first_at) - now);
}

uint32_t fgq_grant(struct fg_quota *q, struct workspace *w, fg_ms now,
		   uint32_t wanted, uint32_t need, uint32_t *retry_ms)
{
	double level = MAX(w->account.level, 0.0);
	uint32_t granted;

	*retry_ms = 0;
	if (w->account.level < MIN((double)need, w->limit.burst)) {
		*retry_ms = promise_ms(q, w, now, need);
		return 0;
	}
	granted = MAX(need, (uint32_t)MIN((double)wanted, level));
	w->account.level -= granted;
	q->stats.granted_tokens += granted;
	if (granted < wanted)
		*retry_ms = (uint32_t)time_to_refill_ms(q, w, need);
	return granted;
}

void fgq_credit(struct workspace *w, uint32_t tokens)
{
	w->account.level = MIN(w->account.level + tokens, w->limit.burst);
}

/* ---- Share of an instance that reaches no holder ---- */

bool fgq_take_share(struct fg_quota *q, struct workspace *w, fg_ms now,
		    uint32_t tokens)
{
	double n = q->members->len + 1;

	fg_ms since = MAX(q->majority_at, q->complete_at);

	if (q->complete_at == 0 || fgq_has_majority(q, now) ||
	    now - since >= FG_QUOTA_SHARE_MS)
		return false;
	/* It starts empty each time that no holder is reached. */
	if (w->share.at < since)
		w->share = (struct bucket){ .at = since };
	fgq_refill(&w->share, now, w->limit.rate_per_s / n, w->limit.burst / n);
	if (w->share.level < tokens)
		return false;
	w->share.level -= tokens;
	q->stats.by_share++;
	return true;
}

/* ---- Answers to other instances ---- */

/* Forgets the answers to instances that are gone. */
static void prune_answered(const struct fg_quota *q, struct workspace *w)
{
	for (guint i = w->answered->len; i > 0; i--) {
		const struct answered *a =
			&g_array_index(w->answered, struct answered, i - 1);

		if (fgq_find_member(q, a->instance) == NULL)
			g_array_remove_index_fast(w->answered, i - 1);
	}
}

/* Returns the newest answer to the instance, an empty one when there is none.
 */
static struct answered *find_answered(const struct fg_quota *q,
				      struct workspace *w, uint64_t instance)
{
	struct answered new = { .instance = instance };

	for (guint i = 0; i < w->answered->len; i++) {
		struct answered *a =
			&g_array_index(w->answered, struct answered, i);

		if (a->instance == instance)
			return a;
	}
	if (w->answered->len > 2 * q->members->len)
		prune_answered(q, w);
	g_array_append_val(w->answered, new);
	return &g_array_index(w->answered, struct answered,
			      w->answered->len - 1);
}

void fgq_note_silent(struct fg_quota *q, struct member *m, fg_ms now)
{
	q->checks_due = now;
	q->view++;
	q->view_until = MIN(q->view_until, now + SILENT_MS);
	m->silent_until = now + SILENT_MS;
	m->check = 0;
}

static void send_check(struct fg_quota *q, struct member *m, uint64_t workspace,
		       fg_ms now)
{
	struct fg_quota_ask ask = {
		.request = ++q->n_asks,
		.workspace = workspace,
	};

	m->check = ask.request;
	m->check_workspace = workspace;
	m->checked_at = now;
	m->check_tries++;
	q->checks_due = MIN(q->checks_due, now + FG_QUOTA_ASK_TIMEOUT_MS);
	q->ops.send_ask(q->ctx, m->pub.id, &ask);
}

/* An instance that is asked although others precede it may be the next holder:
 * it checks whether those answer, and passes over the ones that do not. Returns
 * the time after which that is known, 0 when all of them answered. */
static uint32_t check_earlier(struct fg_quota *q, const struct workspace *w,
			      fg_ms now)
{
	uint32_t wait_ms = 0;

	for (guint i = 0; i < q->members->len; i++) {
		struct member *m = &g_array_index(q->members, struct member, i);

		if (!m->pub.alive || now < m->silent_until ||
		    !precedes(q, m, w))
			continue;
		if (m->check != 0) {
			wait_ms = FG_QUOTA_ASK_TIMEOUT_MS;
			continue;
		}
		if (m->checked_at != 0 && now - m->checked_at < CHECK_GAP_MS)
			continue;
		m->check_tries = 0;
		send_check(q, m, w->id, now);
		wait_ms = FG_QUOTA_ASK_TIMEOUT_MS;
	}
	return wait_ms;
}

/* Returns an account kept here that the instance precedes; NULL: none. */
static const struct workspace *find_preceded(const struct fg_quota *q,
					     const struct member *m)
{
	for (guint i = 0; i < q->held->len; i++) {
		if (precedes(q, m, q->held->pdata[i]))
			return q->held->pdata[i];
	}
	return NULL;
}

void fgq_step_checks(struct fg_quota *q, fg_ms now)
{
	if (now < q->checks_due)
		return;
	q->checks_due = FG_MS_NEVER;
	for (guint i = 0; i < q->members->len; i++) {
		struct member *m = &g_array_index(q->members, struct member, i);
		const struct workspace *w;

		if (m->check != 0 &&
		    now - m->checked_at >= FG_QUOTA_ASK_TIMEOUT_MS) {
			if (m->check_tries < CHECK_TRIES)
				send_check(q, m, m->check_workspace, now);
			else
				fgq_note_silent(q, m, now);
		}
		if (m->check != 0) {
			q->checks_due =
				MIN(q->checks_due,
				    m->checked_at + FG_QUOTA_ASK_TIMEOUT_MS);
			continue;
		}
		if (now >= m->silent_until || !m->pub.alive)
			continue;
		w = find_preceded(q, m);
		if (w == NULL)
			continue;
		m->check_tries = CHECK_TRIES - 1;
		send_check(q, m, w->id, now);
	}
}

void fg_quota_answer(struct fg_quota *q, fg_ms now, uint64_t from,
		     const struct fg_quota_ask *ask,
		     struct fg_quota_reply *reply)
{
	struct workspace *w = fgq_find(q, ask->workspace);
	struct answered *last;

	*reply = (struct fg_quota_reply){
		.request = ask->request,
		.workspace = ask->workspace,
	};
	if (w == NULL)
		return;
	fgq_step_checks(q, now);
	if (!fgq_update_held(q, w, now)) {
		if (ask->tokens > 0)
			reply->retry_ms = check_earlier(q, w, now);
		return;
	}
	reply->holder = true;
	if (ask->tokens == 0)
		return;
	/* A repeated ask gets the first answer again. */
	last = find_answered(q, w, from);
	if ((int32_t)(ask->request - last->reply.request) <= 0) {
		if (ask->request == last->reply.request)
			*reply = last->reply;
		return;
	}
	fgq_credit(w, ask->returned);
	reply->tokens =
		fgq_grant(q, w, now, ask->tokens, ask->need, &reply->retry_ms);
	reply->valid_ms = FG_QUOTA_LEASE_MS;
	last->reply = *reply;
}
