/* Leases of an instance, and the requests that wait for one. */
#include "quota/fg_quota_priv.h"

#include <math.h>

/* Tokens are asked for ahead of need once callers use so many requests' worth
 * in PREFETCH_MS. */
#define PREFETCH_MS 200
#define PREFETCH_REQUESTS 3
/* The next ask goes out when less than this is left of what was fetched. */
#define LOW_MS 60
/* Half-life of the measured demand. */
#define DEMAND_HALF_LIFE_MS 700.0
/* An instance that said it is not the holder is not asked again for this long:
 * some heartbeats bring the views of two instances together. */
#define PASS_MS 300
#define TRIES_MAX 2
/* After a refusal no ask goes out for the time until tokens can be granted, but
 * for no longer than this, plus some for each instance that asks too. */
#define REFUSED_MIN_MS 20.0
#define REFUSED_MS_PER_INSTANCE 0.5
/* Retry-After while no holder answers: by then the next one has taken over. */
#define UNKNOWN_RETRY_MS 400
/* Time from the start of all instances until they have heard of each other. */
#define START_MS 1200

static void note_demand(struct workspace *w, fg_ms now, uint32_t tokens)
{
	double passed = (double)MAX(now - w->demand_at, 0);
	double gain = M_LN2 / DEMAND_HALF_LIFE_MS;

	w->demand_per_s *= exp(-gain * passed);
	w->demand_per_s += tokens * gain * FG_MS_PER_S;
	w->demand_at = now;
}

/* ---- Leases ---- */

static void remove_lease(struct workspace *w, uint32_t i)
{
	w->n_leases--;
	for (; i < w->n_leases; i++)
		w->leases[i] = w->leases[i + 1];
}

static void drop_lapsed(struct fg_quota *q, struct workspace *w, fg_ms now)
{
	for (uint32_t i = w->n_leases; i > 0; i--) {
		if (now < w->leases[i - 1].until)
			continue;
		w->unspent += w->leases[i - 1].tokens;
		q->stats.lapsed_tokens += w->leases[i - 1].tokens;
		remove_lease(w, i - 1);
	}
}

static uint32_t leased(const struct workspace *w)
{
	uint32_t sum = 0;

	for (uint32_t i = 0; i < w->n_leases; i++)
		sum += w->leases[i].tokens;
	return sum;
}

static void add_lease(struct workspace *w, fg_ms until, uint32_t tokens)
{
	if (tokens == 0)
		return;
	if (w->n_leases == LEASES_MAX) {
		w->leases[LEASES_MAX - 1].tokens += tokens;
		return;
	}
	w->leases[w->n_leases++] =
		(struct lease){ .tokens = tokens, .until = until };
}

/* Spends from the lease that lapses first. */
static bool spend(struct workspace *w, uint32_t tokens)
{
	if (leased(w) < tokens)
		return false;
	while (tokens > 0) {
		uint32_t part = MIN(tokens, w->leases[0].tokens);

		w->leases[0].tokens -= part;
		tokens -= part;
		if (w->leases[0].tokens == 0)
			remove_lease(w, 0);
	}
	return true;
}

/* ---- Share of an instance that reaches no holder ---- */

static uint32_t unknown_retry_ms(const struct fg_quota *q, fg_ms now)
{
	if (q->majority_at != 0)
		return UNKNOWN_RETRY_MS;
	if (q->complete_at == 0)
		return START_MS;
	return (uint32_t)MAX(q->complete_at + START_MS - now, UNKNOWN_RETRY_MS);
}

/* ---- Asks ---- */

static const struct waiter *first_waiter(const struct workspace *w)
{
	return &g_array_index(w->waiters, struct waiter, 0);
}

static void send_ask(struct fg_quota *q, struct workspace *w, fg_ms now)
{
	struct fg_quota_ask ask = {
		.request = w->ask.request,
		.workspace = w->id,
		.tokens = w->ask.wanted,
		.returned = w->ask.returned,
	};

	if (w->waiters->len > 0)
		ask.need = first_waiter(w)->tokens;
	w->ask.sent_at = now;
	w->ask.tries++;
	q->ops.send_ask(q->ctx, w->ask.to, &ask);
}

/* What callers will use within PREFETCH_MS, unless it is too little to be worth
 * a lease of its own. */
static uint32_t prefetch(const struct workspace *w, uint32_t per_request)
{
	double ahead = w->demand_per_s * PREFETCH_MS / FG_MS_PER_S;

	if (ahead < (double)PREFETCH_REQUESTS * per_request)
		return 0;
	return (uint32_t)MIN(ahead, w->limit.burst);
}

static uint32_t waiting_tokens(const struct workspace *w)
{
	uint32_t sum = 0;

	for (guint i = 0; i < w->waiters->len; i++)
		sum += g_array_index(w->waiters, struct waiter, i).tokens;
	return sum;
}

static void decide_first(struct fg_quota *q, struct workspace *w,
			 enum fg_quota_verdict verdict, uint32_t retry_ms)
{
	fgq_decide(q, w->id, first_waiter(w), verdict, retry_ms);
	g_array_remove_index(w->waiters, 0);
}

/* Admits waiting requests, oldest first, while leases cover them. */
static void serve_waiters(struct fg_quota *q, struct workspace *w)
{
	while (w->waiters->len > 0 && spend(w, first_waiter(w)->tokens))
		decide_first(q, w, FG_QUOTA_ADMITTED, 0);
}

static void hold_off(struct fg_quota *q, struct workspace *w, fg_ms now,
		     uint32_t retry_ms)
{
	double most = REFUSED_MIN_MS +
		      REFUSED_MS_PER_INSTANCE * (q->members->len + 1);

	w->refused_until = now + (fg_ms)MIN((double)retry_ms, most);
	w->retry_at = now + retry_ms;
}

/* Serves the waiting requests from the account kept here. */
static void serve_from_account(struct fg_quota *q, struct workspace *w,
			       fg_ms now)
{
	while (w->waiters->len > 0) {
		uint32_t tokens = first_waiter(w)->tokens;
		uint32_t retry;

		fgq_credit(w, w->unspent);
		w->unspent = 0;
		if (fgq_grant(q, w, now, tokens, tokens, &retry) == tokens)
			decide_first(q, w, FG_QUOTA_ADMITTED, 0);
		else
			decide_first(q, w, FG_QUOTA_REFUSED, retry);
	}
}

static void note_busy(struct fg_quota *q, struct workspace *w)
{
	if (!w->is_busy)
		g_ptr_array_add(q->busy, w);
	w->is_busy = true;
}

/* Asks the holder for what the waiting requests need. */
static void start_ask(struct fg_quota *q, struct workspace *w, fg_ms now)
{
	uint32_t need = waiting_tokens(w);
	uint64_t to;

	if (w->ask.to != 0)
		return;
	w->ask_again_at = FG_MS_NEVER;
	if (fgq_update_held(q, w, now)) {
		serve_from_account(q, w, now);
		return;
	}
	to = fgq_holder(q, w, now, true);
	if (to == 0) {
		w->ask_again_at = now + FG_QUOTA_ASK_TIMEOUT_MS;
		return;
	}
	w->ask = (struct ask){
		.to = to,
		.request = ++q->n_asks,
		.returned = w->unspent,
	};
	w->unspent = 0;
	w->ask.wanted = need + prefetch(w, need / MAX(w->waiters->len, 1));
	q->stats.asks++;
	note_busy(q, w);
	send_ask(q, w, now);
}

/* Returns unspent tokens to the holder, which credits them only with an ask for
 * one token or more. That one is not worth another ask. */
static void return_unspent(struct fg_quota *q, struct workspace *w, fg_ms now)
{
	uint64_t to;

	drop_lapsed(q, w, now);
	if (w->unspent <= 1 || w->ask.to != 0 || w->waiters->len > 0)
		return;
	to = fgq_holder(q, w, now, true);
	if (to == 0)
		return;
	w->ask = (struct ask){
		.to = to,
		.request = ++q->n_asks,
		.returned = w->unspent,
		.wanted = 1,
	};
	w->unspent = 0;
	q->stats.asks++;
	note_busy(q, w);
	send_ask(q, w, now);
}

static void return_all_unspent(struct fg_quota *q, fg_ms now)
{
	GHashTableIter it;
	gpointer w;

	g_hash_table_iter_init(&it, q->workspaces);
	while (g_hash_table_iter_next(&it, NULL, &w))
		return_unspent(q, w, now);
}

static void refill_ahead(struct fg_quota *q, struct workspace *w, fg_ms now,
			 uint32_t tokens)
{
	uint32_t ahead = prefetch(w, tokens);

	if (ahead == 0 || w->ask.to != 0 || now < w->refused_until || w->held ||
	    leased(w) > w->demand_per_s * LOW_MS / FG_MS_PER_S)
		return;
	start_ask(q, w, now);
}

/* ---- Requests ---- */

static enum fg_quota_verdict refuse(struct fg_quota *q, struct workspace *w,
				    fg_ms now, uint32_t *retry_ms)
{
	*retry_ms = (uint32_t)MAX(w->retry_at - now, 1);
	q->stats.refused++;
	return FG_QUOTA_REFUSED;
}

static enum fg_quota_verdict take_from_account(struct fg_quota *q,
					       struct workspace *w, fg_ms now,
					       uint32_t tokens,
					       uint32_t *retry_ms)
{
	if (fgq_grant(q, w, now, tokens, tokens, retry_ms) == tokens) {
		q->stats.admitted++;
		return FG_QUOTA_ADMITTED;
	}
	q->stats.refused++;
	return FG_QUOTA_REFUSED;
}

enum fg_quota_verdict fg_quota_take(struct fg_quota *q, fg_ms now, uint64_t id,
				    uint32_t tokens, uint64_t request,
				    uint32_t *retry_ms)
{
	struct workspace *w = fgq_find(q, id);
	struct waiter waiter = { .request = request,
				 .tokens = tokens,
				 .since = now };

	*retry_ms = 0;
	if (w == NULL || tokens == 0)
		return FG_QUOTA_ADMITTED;
	note_demand(w, now, tokens);
	drop_lapsed(q, w, now);
	if (w->waiters->len == 0 && spend(w, tokens)) {
		q->stats.admitted++;
		refill_ahead(q, w, now, tokens);
		return FG_QUOTA_ADMITTED;
	}
	if (fgq_update_held(q, w, now) && w->waiters->len == 0)
		return take_from_account(q, w, now, tokens, retry_ms);
	if (now < w->refused_until)
		return refuse(q, w, now, retry_ms);
	if (fgq_holder(q, w, now, false) == 0) {
		if (fgq_take_share(q, w, now, tokens)) {
			q->stats.admitted++;
			return FG_QUOTA_ADMITTED;
		}
		*retry_ms = unknown_retry_ms(q, now);
		q->stats.unknown++;
		return FG_QUOTA_UNKNOWN;
	}
	g_array_append_val(w->waiters, waiter);
	note_busy(q, w);
	start_ask(q, w, now);
	return FG_QUOTA_WAITING;
}

void fg_quota_cancel(struct fg_quota *q, fg_ms now, uint64_t id,
		     uint64_t request)
{
	struct workspace *w = fgq_find(q, id);

	for (guint i = 0; i < q->decisions->len; i++) {
		struct fg_quota_decision d = g_array_index(
			q->decisions, struct fg_quota_decision, i);

		if (d.workspace != id || d.request != request)
			continue;
		g_array_remove_index(q->decisions, i);
		if (d.verdict == FG_QUOTA_ADMITTED)
			fg_quota_give_back(q, now, id, d.tokens);
		return;
	}
	for (guint i = 0; w != NULL && i < w->waiters->len; i++) {
		if (g_array_index(w->waiters, struct waiter, i).request ==
		    request) {
			g_array_remove_index(w->waiters, i);
			return;
		}
	}
}

void fg_quota_give_back(struct fg_quota *q, fg_ms now, uint64_t id,
			uint32_t tokens)
{
	struct workspace *w = fgq_find(q, id);

	if (w == NULL)
		return;
	if (fgq_update_held(q, w, now))
		fgq_credit(w, tokens);
	else
		w->unspent += tokens;
}

/* ---- Answers and time ---- */

static void pass_over(struct workspace *w, uint64_t instance, fg_ms now)
{
	uint32_t at = 0;

	while (at < w->n_passed && w->passed[at] != instance)
		at++;
	if (at == PASSED_MAX) {
		for (uint32_t i = 0; i + 1 < PASSED_MAX; i++) {
			w->passed[i] = w->passed[i + 1];
			w->passed_until[i] = w->passed_until[i + 1];
		}
		at = PASSED_MAX - 1;
	} else if (at == w->n_passed) {
		w->n_passed++;
	}
	w->passed[at] = instance;
	w->passed_until[at] = now + PASS_MS;
}

void fg_quota_on_reply(struct fg_quota *q, fg_ms now, uint64_t from,
		       const struct fg_quota_reply *reply)
{
	struct workspace *w = fgq_find(q, reply->workspace);
	struct member *m = fgq_find_member(q, from);

	if (m != NULL) {
		q->view += m->silent_until != 0 ? 1 : 0;
		m->silent_until = 0;
		if (m->check == reply->request)
			m->check = 0;
	}
	if (w == NULL || w->ask.to != from || w->ask.request != reply->request)
		return;
	w->ask.to = 0;
	if (!reply->holder) {
		w->unspent += w->ask.returned;
		if (reply->retry_ms > 0) {
			/* It may be the holder once it has checked others. */
			w->ask_again_at = now + reply->retry_ms;
			return;
		}
		pass_over(w, from, now);
		if (w->waiters->len > 0)
			start_ask(q, w, now);
		return;
	}
	add_lease(w, w->ask.sent_at + reply->valid_ms, reply->tokens);
	drop_lapsed(q, w, now);
	if (reply->retry_ms > 0)
		hold_off(q, w, now, reply->retry_ms);
	serve_waiters(q, w);
	while (reply->retry_ms > 0 && w->waiters->len > 0)
		decide_first(q, w, FG_QUOTA_REFUSED, reply->retry_ms);
	if (w->waiters->len > 0)
		start_ask(q, w, now);
}

/* The instance asked did not answer: asks it again, or the next one. */
static void repeat_ask(struct fg_quota *q, struct workspace *w, fg_ms now)
{
	struct member *m;

	q->stats.repeats++;
	if (w->ask.tries < TRIES_MAX) {
		send_ask(q, w, now);
		return;
	}
	/* Its answer may be lost, and with it what it granted or took back. */
	m = fgq_find_member(q, w->ask.to);
	if (m != NULL)
		fgq_note_silent(q, m, now);
	w->ask.to = 0;
	if (w->waiters->len > 0)
		start_ask(q, w, now);
}

/* Decides the requests that have waited too long. */
static void end_waits(struct fg_quota *q, struct workspace *w, fg_ms now)
{
	while (w->waiters->len > 0 &&
	       now - first_waiter(w)->since >= FG_QUOTA_WAIT_MAX_MS)
		decide_first(q, w,
			     fgq_take_share(q, w, now, first_waiter(w)->tokens)
				     ? FG_QUOTA_ADMITTED
				     : FG_QUOTA_UNKNOWN,
			     UNKNOWN_RETRY_MS);
}

static void tick_workspace(struct fg_quota *q, struct workspace *w, fg_ms now)
{
	drop_lapsed(q, w, now);
	if (w->ask.to != 0 && now - w->ask.sent_at >= FG_QUOTA_ASK_TIMEOUT_MS)
		repeat_ask(q, w, now);
	if (w->waiters->len > 0 && now >= w->ask_again_at)
		start_ask(q, w, now);
	end_waits(q, w, now);
}

void fg_quota_tick(struct fg_quota *q, fg_ms now)
{
	guint n;

	fgq_step_checks(q, now);
	if (q->leaving)
		return_all_unspent(q, now);
	n = q->busy->len;
	for (guint i = 0; i < n; i++)
		tick_workspace(q, q->busy->pdata[i], now);
	for (guint i = q->busy->len; i > 0; i--) {
		struct workspace *w = q->busy->pdata[i - 1];

		if (w->ask.to != 0 || w->waiters->len > 0)
			continue;
		w->is_busy = false;
		g_ptr_array_remove_index_fast(q->busy, i - 1);
	}
}
