/*
 * Pings. Neighbours on the ring and a few others are pinged each ping_ms; a
 * survey pings as many as a quorum needs, while our lease is in doubt or a
 * lapsed row is to be deleted.
 */
#include "member/fg_member_internal.h"

#define RANDOM_PEERS 2	     /* pinged besides the neighbours */
#define HINT_MS 8000	     /* one suspicion is passed on once in this time */
#define HINT_FANOUT 4	     /* instances that it is passed on to */
#define STRANGER_MS 5000     /* between reads of the row of one that had none */
#define SUSPECT_UNANSWERED 2 /* pings without answer before a suspicion */
#define SILENT_ROUNDS 4	     /* a survey asks silent ones in one of these */

/* ---- Messages ---- */

static uint32_t age_ms(fg_ms at, fg_ms now)
{
	if (at == 0 || now - at > UINT32_MAX - 1)
		return UINT32_MAX;
	return (uint32_t)MAX(now - at, 0);
}

static void fill(const struct fg_member *m, fg_ms now, fg_ping *p)
{
	fg_ms since = now - m->confirm_set_at;

	p->revision = m->revision;
	p->confirm_age_ms = m->confirm_age_ms + (uint32_t)MAX(since, 0);
	p->platform_age_ms = age_ms(m->own_contact, now);
	p->heard_age_ms = age_ms(m->heard_contact, now);
	p->stopping = m->leaving;
	p->attests = fg_may_act(fg_member_base_standing(m, now));
}

static void send_msg(struct fg_member *m, uint64_t to, fg_msg *msg)
{
	struct fg_member_act act = { .type = FG_MA_SEND, .to = to, .msg = msg };

	m->emit(m->arg, &act);
}

void fg_member_ping_one(struct fg_member *m, fg_ms now, struct fg_peer_entry *e)
{
	fg_msg *msg = fg_msg_new(FG_MSG_PING);
	fg_ping *p = &msg->body.fg_body_u.ping;

	fill(m, now, p);
	p->seq = (uint64_t)now;
	e->pinged_at = now;
	e->unanswered++;
	if (e->asked_at == 0)
		e->asked_at = now;
	send_msg(m, e->view.info.id, msg);
}

static void send_pong(struct fg_member *m, fg_ms now, uint64_t to, uint64_t seq)
{
	fg_msg *msg = fg_msg_new(FG_MSG_PONG);
	fg_ping *p = &msg->body.fg_body_u.pong;

	fill(m, now, p);
	p->seq = seq;
	send_msg(m, to, msg);
}

/* ---- Suspicions ---- */

void fg_member_hint(struct fg_member *m, fg_ms now, struct fg_peer_entry *e)
{
	if (e->hinted_at != 0 && now - e->hinted_at < HINT_MS)
		return;
	e->hinted_at = now;
	for (int i = 0; i < HINT_FANOUT && m->ring->len > 0; i++) {
		guint at = (guint)fg_rand_below(&m->rand, m->ring->len);
		struct fg_peer_entry *to = m->ring->pdata[at];
		fg_msg *msg;

		if (to == e)
			continue;
		msg = fg_msg_new(FG_MSG_LEAVING);
		msg->body.fg_body_u.leaving.id = e->view.info.id;
		send_msg(m, to->view.info.id, msg);
	}
}

static void check_answers(struct fg_member *m, fg_ms now)
{
	for (guint i = 0; i < m->ring->len; i++) {
		struct fg_peer_entry *e = m->ring->pdata[i];

		if (e->suspect || e->asked_at == 0 ||
		    e->unanswered < SUSPECT_UNANSWERED ||
		    now - e->asked_at < (fg_ms)m->conf.suspect_ms)
			continue;
		fg_member_set_suspect(m, now, e, true);
		fg_member_hint(m, now, e);
	}
}

static void on_hint(struct fg_member *m, fg_ms now, uint64_t id)
{
	struct fg_peer_entry *e = fg_member_entry(m, id);

	if (e == NULL || !e->has_row || !fg_member_same_region(m, e))
		return;
	/* A suspect has been read already; a second hint may tell that its
	 * row is gone. */
	if (now - e->read_at > FG_MS_PER_S)
		fg_member_get_row(m, now, e);
	if (e->hinted_at == 0 || now - e->hinted_at >= HINT_MS) {
		fg_member_hint(m, now, e);
		fg_member_ping_one(m, now, e);
	}
}

/* ---- Rounds ---- */

/* Index of the first entry of the ring after us. */
static guint own_place(const struct fg_member *m)
{
	uint64_t order = fg_hash_mix(m->conf.self.id, 0);
	guint i = 0;

	while (i < m->ring->len) {
		const struct fg_peer_entry *e = m->ring->pdata[i];

		if (e->order > order)
			return i;
		i++;
	}
	return 0;
}

static void ping_neighbours(struct fg_member *m, fg_ms now)
{
	guint place = own_place(m);
	guint n = MIN(m->conf.ping_fanout, m->ring->len);

	for (guint i = 0; i < n; i++)
		fg_member_ping_one(m, now,
				   m->ring->pdata[(place + i) % m->ring->len]);
	for (int i = 0; i < RANDOM_PEERS && n < m->ring->len; i++) {
		guint at = (guint)fg_rand_below(&m->rand, m->ring->len);
		struct fg_peer_entry *e = m->ring->pdata[at];

		if (e->pinged_at != now)
			fg_member_ping_one(m, now, e);
	}
}

static bool lease_in_doubt(const struct fg_member *m, fg_ms now)
{
	fg_ms renewal_due = m->lease.sent_at + (fg_ms)m->conf.renew_ms * 3 / 2;

	return m->lease.held &&
	       (now > renewal_due || m->lease.sent_at < m->resumed_at);
}

/* How many instances a survey asks; 0 when none is needed. */
static size_t survey_size(const struct fg_member *m, fg_ms now)
{
	uint32_t n = fg_member_region_tally(m, now).size;
	size_t spare = n / 32 + 2;

	if (lease_in_doubt(m, now))
		return fg_member_hold_quorum(MAX(n, m->lease.region_most)) +
		       spare;
	if (fg_member_reaping(m, now))
		return n / 3 + 1 + spare;
	return 0;
}

/* Asks one unless it is silent and silent ones have no turn; true when an
 * answer is to be expected. */
static bool ask(struct fg_member *m, fg_ms now, struct fg_peer_entry *e,
		bool ask_silent)
{
	bool silent = e->suspect || e->unanswered >= SUSPECT_UNANSWERED;

	if ((!silent || ask_silent) && e->pinged_at != now)
		fg_member_ping_one(m, now, e);
	return !silent;
}

/* A small region needs the others too. */
static void survey_others(struct fg_member *m, fg_ms now, bool ask_silent)
{
	GHashTableIter it;
	void *value;

	if (!(lease_in_doubt(m, now) &&
	      fg_member_is_small(m->lease.region_least)) &&
	    !fg_member_reaping_small(m, now))
		return;
	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct fg_peer_entry *e = value;

		if (e->has_row && !fg_member_same_region(m, e))
			ask(m, now, e, ask_silent);
	}
}

static void survey(struct fg_member *m, fg_ms now)
{
	size_t left = survey_size(m, now);
	guint place = own_place(m);
	bool ask_silent = m->survey_round++ % SILENT_ROUNDS == 0;

	for (guint i = 0; i < m->ring->len && left > 0; i++) {
		struct fg_peer_entry *e =
			m->ring->pdata[(place + i) % m->ring->len];

		if (ask(m, now, e, ask_silent))
			left--;
	}
	survey_others(m, now, ask_silent);
}

void fg_member_ping_tick(struct fg_member *m, fg_ms now)
{
	if (!m->lease.ever_held)
		return;
	if (now >= m->ping_at) {
		m->ping_at = now + (fg_ms)m->conf.ping_ms;
		ping_neighbours(m, now);
	}
	if (now >= m->survey_at && survey_size(m, now) > 0) {
		m->survey_at = now + (fg_ms)m->conf.quorum_ping_ms;
		survey(m, now);
	}
	check_answers(m, now);
}

/* ---- Receiving ---- */

/* Takes over what a peer says of the platform; `at` is when it said so. */
static void learn_contact(struct fg_member *m, fg_ms at, const fg_ping *p)
{
	if (p->platform_age_ms != UINT32_MAX)
		m->heard_contact =
			MAX(m->heard_contact, at - (fg_ms)p->platform_age_ms);
	if (p->heard_age_ms != UINT32_MAX)
		m->relay_contact =
			MAX(m->relay_contact, at - (fg_ms)p->heard_age_ms);
}

static void learn_peer(struct fg_member *m, struct fg_peer_entry *e,
		       const fg_ping *p)
{
	e->view.revision = p->revision;
	if (p->stopping && !e->leaving) {
		e->leaving = true;
		fg_member_refresh_state(m, e);
	}
}

/* An answer that took long is not counted: what it says may be older than
 * the margin between own_lease_ms and lease_ms allows. */
static void on_pong(struct fg_member *m, fg_ms now, struct fg_peer_entry *e,
		    const fg_ping *p)
{
	fg_ms sent_at = (fg_ms)p->seq;
	fg_ms limit_ms = (fg_ms)(m->conf.lease_ms - m->conf.own_lease_ms) / 2;

	if (sent_at > now || now - sent_at > limit_ms)
		return;
	learn_contact(m, sent_at, p);
	e->reach_at = MAX(e->reach_at, sent_at);
	if (p->attests)
		e->attest_at = MAX(e->attest_at, sent_at);
	e->asked_at = 0;
	e->unanswered = 0;
	learn_peer(m, e, p);
	if (e->lapsed_at == 0)
		fg_member_set_suspect(m, now, e, false);
}

/* Somebody without a lease row, as far as we know: new, or back again. */
static void note_stranger(struct fg_member *m, fg_ms now,
			  struct fg_peer_entry *e)
{
	if (e == NULL)
		fg_member_scan_soon(m, now);
	else if (!e->has_row && now - e->read_at > STRANGER_MS)
		fg_member_get_row(m, now, e);
}

void fg_member_on_msg(struct fg_member *m, fg_ms now, uint64_t from,
		      const fg_msg *msg, fg_member_emit emit, void *arg)
{
	struct fg_peer_entry *e = fg_member_entry(m, from);
	const fg_body *b = &msg->body;

	m->emit = emit;
	m->arg = arg;
	if (e != NULL)
		e->view.heard_at = now;
	if (b->type == FG_MSG_PING) {
		learn_contact(m, now, &b->fg_body_u.ping);
		if (e != NULL)
			learn_peer(m, e, &b->fg_body_u.ping);
		send_pong(m, now, from, b->fg_body_u.ping.seq);
	} else if (b->type == FG_MSG_PONG && e != NULL) {
		on_pong(m, now, e, &b->fg_body_u.pong);
	} else if (b->type == FG_MSG_LEAVING) {
		uint64_t id = b->fg_body_u.leaving.id;

		if (id == 0 && e != NULL && !e->leaving) {
			e->leaving = true;
			fg_member_refresh_state(m, e);
		} else if (id != 0) {
			on_hint(m, now, id);
		}
	}
	note_stranger(m, now, e);
	fg_member_standing_tick(m, now);
}
