/* Quorums and the standing. */
#include "member/fg_member_internal.h"

#define SMALL_REGION 2 /* instances */

static void tally_add(struct fg_tally *t, const struct fg_peer_entry *e,
		      fg_ms since)
{
	if (!e->has_row)
		return;
	t->size += e->replaced ? 0 : 1;
	t->reached += e->reach_at > since ? 1 : 0;
	t->attesting += e->attest_at > since ? 1 : 0;
}

struct fg_tally fg_member_total_tally(const struct fg_member *m, fg_ms since)
{
	struct fg_tally t = { 1, 1, 1 };
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, NULL, &value))
		tally_add(&t, value, since);
	return t;
}

struct fg_tally fg_member_region_tally(const struct fg_member *m, fg_ms since)
{
	struct fg_tally t = { 1, 1, 1 };

	for (guint i = 0; i < m->ring->len; i++)
		tally_add(&t, m->ring->pdata[i], since);
	return t;
}

uint32_t fg_member_hold_quorum(uint32_t n)
{
	return (2 * n + 2) / 3;
}

bool fg_member_is_small(uint32_t region_size)
{
	return region_size <= SMALL_REGION;
}

bool fg_member_reaches_majority(const struct fg_member *m, fg_ms now)
{
	struct fg_tally t =
		fg_member_region_tally(m, now - (fg_ms)m->conf.reachable_ms);

	return 2 * t.reached > t.size;
}

/*
 * Two thirds of what our lease row says, so that whoever deletes it can tell
 * how many are left to meet one of them. An instance whose own lease was
 * deleted does not act any more by then, so only those that act are counted:
 * the region may have shrunk without our knowing. Without them all are needed,
 * whoever deleted a lease being among them.
 */
static bool holds(struct fg_tally t, uint32_t said)
{
	uint32_t n = MAX(t.size, said);

	return t.attesting >= fg_member_hold_quorum(n) || t.reached >= n;
}

static bool sees_hold_quorum(const struct fg_member *m, fg_ms since)
{
	const struct fg_own_lease *l = &m->lease;

	if (!holds(fg_member_region_tally(m, since), l->region_most))
		return false;
	return !fg_member_is_small(l->region_least) ||
	       holds(fg_member_total_tally(m, since), l->total_most);
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
	fg_ms reach = MAX(now - (fg_ms)m->conf.reachable_ms, since - 1);

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
