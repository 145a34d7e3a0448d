/* Quorums and the standing. */
#include "member/fg_member_internal.h"

size_t fg_member_region_size(const struct fg_member *m)
{
	size_t n = 1;

	for (guint i = 0; i < m->ring->len; i++) {
		const struct fg_peer_entry *e = m->ring->pdata[i];

		if (!e->replaced)
			n++;
	}
	return n;
}

size_t fg_member_reached(const struct fg_member *m, fg_ms since)
{
	size_t n = 1;

	for (guint i = 0; i < m->ring->len; i++) {
		const struct fg_peer_entry *e = m->ring->pdata[i];

		if (e->reach_at > since)
			n++;
	}
	return n;
}

bool fg_member_sees_majority(const struct fg_member *m, fg_ms now)
{
	return 2 * fg_member_reached(m, now - (fg_ms)m->conf.reach_ms) >
	       fg_member_region_size(m);
}

static size_t attesting(const struct fg_member *m, fg_ms since)
{
	size_t n = 1;

	for (guint i = 0; i < m->ring->len; i++) {
		const struct fg_peer_entry *e = m->ring->pdata[i];

		if (e->attest_at > since)
			n++;
	}
	return n;
}

/*
 * Two thirds; a lease is deleted by more than a third, so they meet. An
 * instance whose own lease was deleted does not act any more by then, so only
 * those that act are counted: the region may have shrunk without our knowing.
 * Without them all are needed, whoever deleted a lease being among them.
 */
static bool sees_hold_quorum(const struct fg_member *m, fg_ms since)
{
	size_t n = fg_member_region_size(m);

	return 3 * attesting(m, since) >= 2 * n ||
	       fg_member_reached(m, since) >= n;
}

fg_ms fg_member_contact(const struct fg_member *m)
{
	return MAX(m->own_contact, MAX(m->heard_contact, m->relay_contact));
}

/* `since`: earlier renewals and answers do not count. */
static enum fg_standing standing_since(const struct fg_member *m, fg_ms now,
				       fg_ms since)
{
	fg_ms contact = fg_member_contact(m);
	fg_ms reach = MAX(now - (fg_ms)m->conf.reach_ms, since - 1);

	if (!m->lease.ever_held)
		return FG_STANDING_JOINING;
	if (!m->lease.held || m->lease.superseded || m->quitting)
		return FG_STANDING_ISOLATED;
	if (m->lease.sent_at >= since && now < fg_member_lease_end(m) &&
	    now - contact <= (fg_ms)m->conf.confirm_ms)
		return FG_STANDING_CONFIRMED;
	if (contact < fg_member_lease_end(m) && sees_hold_quorum(m, reach))
		return FG_STANDING_OUTAGE;
	return FG_STANDING_ISOLATED;
}

enum fg_standing fg_member_base_standing(const struct fg_member *m, fg_ms now)
{
	return standing_since(m, now, 0);
}

enum fg_standing fg_member_standing(const struct fg_member *m, fg_ms now)
{
	if (m->lease.ever_held && now - m->last_tick > (fg_ms)m->conf.pause_ms)
		return FG_STANDING_ISOLATED;
	return standing_since(m, now, m->resumed_at);
}

void fg_member_standing_tick(struct fg_member *m, fg_ms now)
{
	enum fg_standing s = fg_member_standing(m, now);
	struct fg_member_act act = { .type = FG_MA_STANDING, .standing = s };

	if (s == m->standing)
		return;
	m->standing = s;
	m->emit(m->arg, &act);
}

const char *fg_standing_name(enum fg_standing s)
{
	switch (s) {
	case FG_STANDING_CONFIRMED:
		return "confirmed";
	case FG_STANDING_OUTAGE:
		return "outage";
	case FG_STANDING_ISOLATED:
		return "isolated";
	case FG_STANDING_JOINING:
		return "joining";
	}
	return "invalid";
}
