/*
 * Pings. Every ping_ms the neighbours on the ring and a few random instances
 * are pinged. While the own lease is in doubt or a lapsed row is to be deleted,
 * as many instances as a quorum needs are pinged every quorum_ping_ms.
 */
#include "member/fg_member_internal.h"

#define RANDOM_PEERS 2	      /* pinged in addition to the neighbours */
#define HINT_INTERVAL_MS 8000 /* between hints about one instance */
#define HINT_FANOUT 4	      /* receivers of a hint */
#define ABSENT_READ_MS 5000   /* between reads of a row found absent */
#define SUSPECT_UNANSWERED 2  /* pings without answer before a suspicion */
#define SILENT_PING_ROUNDS 4  /* one round in 4 pings silent instances too */

/* ---- Messages ---- */

/* Returns UINT32_MAX for "never" and for any age that does not fit. */
static uint32_t age_ms(fg_ms at, fg_ms now)
{
	if (at == 0 || now - at > UINT32_MAX - 1)
		return UINT32_MAX;
	return (uint32_t)MAX(now - at, 0);
}

static void fill_ping(const struct fg_member *m, fg_ms now, fg_ping *p)
{
	fg_ms since = now - m->confirm_set_at;

	p->revision = m->revision;
	p->confirm_age_ms = m->confirm_age_ms + (uint32_t)MAX(since, 0);
	p->platform_age_ms = age_ms(m->own_contact_at, now);
	p->peer_platform_age_ms = age_ms(m->peer_contact_at, now);
	p->stopping = m->leaving;
	p->may_act = fg_may_act(fg_member_base_standing(m, now));
}

static void send_msg(struct fg_member *m, uint64_t to, fg_msg *msg)
{
	struct fg_member_act act = { .type = FG_MA_SEND, .to = to, .msg = msg };

	m->emit(m->arg, &act);
}

void fg_member_send_ping(struct fg_member *m, fg_ms now,
			 struct fg_peer_entry *e)
{
	fg_msg *msg = fg_msg_new(FG_MSG_PING);
	fg_ping *p = &msg->body.fg_body_u.ping;

	fill_ping(m, now, p);
	p->seq = (uint64_t)now; /* the pong returns it as the time of sending */
	e->pinged_at = now;
	e->unanswered++;
	if (e->unanswered_since == 0)
		e->unanswered_since = now;
	send_msg(m, e->view.info.id, msg);
}

static void send_pong(struct fg_member *m, fg_ms now, uint64_t to, uint64_t seq)
{
	fg_msg *msg = fg_msg_new(FG_MSG_PONG);
	fg_ping *p = &msg->body.fg_body_u.pong;

	fill_ping(m, now, p);
	p->seq = seq;
	send_msg(m, to, msg);
}

/* ---- Suspicions ---- */

void fg_member_send_hints(struct fg_member *m, fg_ms now,
			  struct fg_peer_entry *e)
{
	if (e->hint_sent_at != 0 && now - e->hint_sent_at < HINT_INTERVAL_MS)
		return;
	e->hint_sent_at = now;
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

static void suspect_silent_peers(struct fg_member *m, fg_ms now)
{
	for (guint i = 0; i < m->ring->len; i++) {
		struct fg_peer_entry *e = m->ring->pdata[i];

		if (e->suspect || e->unanswered_since == 0 ||
		    e->unanswered < SUSPECT_UNANSWERED ||
		    now - e->unanswered_since < (fg_ms)m->conf.suspect_ms)
			continue;
		fg_member_set_suspect(m, now, e, true);
		fg_member_send_hints(m, now, e);
	}
}

static void on_hint(struct fg_member *m, fg_ms now, uint64_t id)
{
	struct fg_peer_entry *e = fg_member_find_entry(m, id);

	if (e == NULL || !e->has_row || !fg_member_is_same_region(m, e))
		return;
	/* The row of a suspect is read again, unless it was read within the
	 * last second: a second hint may mean that the row is gone. */
	if (now - e->read_at > FG_MS_PER_S)
		fg_member_read_row(m, now, e);
	if (e->hint_sent_at == 0 || now - e->hint_sent_at >= HINT_INTERVAL_MS) {
		fg_member_send_hints(m, now, e);
		fg_member_send_ping(m, now, e);
	}
}

/* ---- Rounds ---- */

/* Returns the index of the first ring entry that follows this instance. */
static guint next_ring_index(const struct fg_member *m)
{
	uint64_t ring_pos = fg_hash_mix(m->conf.self.id, 0);
	guint i = 0;

	while (i < m->ring->len) {
		const struct fg_peer_entry *e = m->ring->pdata[i];

		if (e->ring_pos > ring_pos)
			return i;
		i++;
	}
	return 0;
}

static void ping_neighbours(struct fg_member *m, fg_ms now)
{
	guint first = next_ring_index(m);
	guint n = MIN(m->conf.ping_fanout, m->ring->len);

	for (guint i = 0; i < n; i++)
		fg_member_send_ping(m, now,
				    m->ring->pdata[(first + i) % m->ring->len]);
	for (int i = 0; i < RANDOM_PEERS && n < m->ring->len; i++) {
		guint at = (guint)fg_rand_below(&m->rand, m->ring->len);
		struct fg_peer_entry *e = m->ring->pdata[at];

		if (e->pinged_at != now)
			fg_member_send_ping(m, now, e);
	}
}

static bool is_lease_in_doubt(const struct fg_member *m, fg_ms now)
{
	fg_ms renewal_due = m->lease.sent_at + (fg_ms)m->conf.renew_ms * 3 / 2;

	return m->lease.held &&
	       (now > renewal_due || m->lease.sent_at < m->resumed_at);
}

/* Returns how many instances of the region to ping; 0 when no quorum is needed.
 */
static size_t quorum_ping_count(const struct fg_member *m, fg_ms now)
{
	uint32_t n = fg_member_tally_region(m, now).size;
	size_t spare = n / 32 + 2;

	if (is_lease_in_doubt(m, now))
		return fg_member_outage_quorum(
			       MAX(n, m->lease.region_size_max)) +
		       spare;
	if (fg_member_is_reaping(m, now))
		return n / 3 + 1 + spare;
	return 0;
}

/* Pings e, unless it is silent and this round leaves silent instances out.
 * Returns true when an answer is to be expected. */
static bool ping_for_quorum(struct fg_member *m, fg_ms now,
			    struct fg_peer_entry *e, bool ping_silent)
{
	bool silent = e->suspect || e->unanswered >= SUSPECT_UNANSWERED;

	if ((!silent || ping_silent) && e->pinged_at != now)
		fg_member_send_ping(m, now, e);
	return !silent;
}

/* The quorum of a small region includes the instances of all regions. */
static void ping_other_regions(struct fg_member *m, fg_ms now, bool ping_silent)
{
	GHashTableIter it;
	void *value;

	if (!(is_lease_in_doubt(m, now) &&
	      fg_member_is_small_region(m->lease.region_size_min)) &&
	    !fg_member_is_reaping_small(m, now))
		return;
	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct fg_peer_entry *e = value;

		if (e->has_row && !fg_member_is_same_region(m, e))
			ping_for_quorum(m, now, e, ping_silent);
	}
}

static void ping_quorum(struct fg_member *m, fg_ms now)
{
	size_t left = quorum_ping_count(m, now);
	guint first = next_ring_index(m);
	bool ping_silent = m->quorum_ping_round++ % SILENT_PING_ROUNDS == 0;

	for (guint i = 0; i < m->ring->len && left > 0; i++) {
		struct fg_peer_entry *e =
			m->ring->pdata[(first + i) % m->ring->len];

		if (ping_for_quorum(m, now, e, ping_silent))
			left--;
	}
	ping_other_regions(m, now, ping_silent);
}

void fg_member_ping_tick(struct fg_member *m, fg_ms now)
{
	if (!m->lease.ever_held)
		return;
	if (now >= m->next_ping_at) {
		m->next_ping_at = now + (fg_ms)m->conf.ping_ms;
		ping_neighbours(m, now);
	}
	if (now >= m->next_quorum_ping_at && quorum_ping_count(m, now) > 0) {
		m->next_quorum_ping_at = now + (fg_ms)m->conf.quorum_ping_ms;
		ping_quorum(m, now);
	}
	suspect_silent_peers(m, now);
}

/* ---- Receiving ---- */

/* Records when a peer, and others according to it, last reached the platform.
 * The ages in p are relative to `at`. */
static void record_contact(struct fg_member *m, fg_ms at, const fg_ping *p)
{
	if (p->platform_age_ms != UINT32_MAX)
		m->peer_contact_at =
			MAX(m->peer_contact_at, at - (fg_ms)p->platform_age_ms);
	if (p->peer_platform_age_ms != UINT32_MAX)
		m->relayed_contact_at =
			MAX(m->relayed_contact_at,
			    at - (fg_ms)p->peer_platform_age_ms);
}

static void record_peer_ping(struct fg_member *m, struct fg_peer_entry *e,
			     const fg_ping *p)
{
	e->view.revision = p->revision;
	if (p->stopping && !e->leaving) {
		e->leaving = true;
		fg_member_refresh_state(m, e);
	}
}

/* Ignores an answer that took more than half of the margin between own_lease_ms
 * and lease_ms: its contents may be too old. */
static void on_pong(struct fg_member *m, fg_ms now, struct fg_peer_entry *e,
		    const fg_ping *p)
{
	fg_ms sent_at = (fg_ms)p->seq;
	fg_ms limit_ms = (fg_ms)(m->conf.lease_ms - m->conf.own_lease_ms) / 2;

	if (sent_at > now || now - sent_at > limit_ms)
		return;
	record_contact(m, sent_at, p);
	e->reached_at = MAX(e->reached_at, sent_at);
	if (p->may_act)
		e->acting_at = MAX(e->acting_at, sent_at);
	e->unanswered_since = 0;
	e->unanswered = 0;
	record_peer_ping(m, e, p);
	if (e->lapsed_at == 0)
		fg_member_set_suspect(m, now, e, false);
}

/* Looks for the lease row of a sender whose row is not known: the sender is
 * new, or has taken its lease again. */
static void find_missing_row(struct fg_member *m, fg_ms now,
			     struct fg_peer_entry *e)
{
	if (e == NULL)
		fg_member_scan_soon(m, now);
	else if (!e->has_row && now - e->read_at > ABSENT_READ_MS)
		fg_member_read_row(m, now, e);
}

void fg_member_on_msg(struct fg_member *m, fg_ms now, uint64_t from,
		      const fg_msg *msg, fg_member_emit emit, void *arg)
{
	struct fg_peer_entry *e = fg_member_find_entry(m, from);
	const fg_body *b = &msg->body;

	m->emit = emit;
	m->arg = arg;
	if (e != NULL)
		e->view.last_msg_at = now;
	if (b->type == FG_MSG_PING) {
		record_contact(m, now, &b->fg_body_u.ping);
		if (e != NULL)
			record_peer_ping(m, e, &b->fg_body_u.ping);
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
	find_missing_row(m, now, e);
	fg_member_update_standing(m, now);
}
