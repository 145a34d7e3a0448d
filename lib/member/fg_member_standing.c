/* Quorums and the standing. */
#include "member/fg_member_internal.h"

#define SMALL_REGION_MAX 2 /* instances */

static void tally_add(struct fg_tally *t, const struct fg_peer_entry *e,
		      fg_ms since)
{
	if (!e->has_row)
		return;
	t->size += e->address_reused ? 0 : 1;
	t->reached += e->reached_at > since ? 1 : 0;
	t->acting += e->acting_at > since ? 1 : 0;
}

struct fg_tally fg_member_tally_all(const struct fg_member *m, fg_ms since)
{
	struct fg_tally t = { 1, 1, 1 };
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, NULL, &value))
		tally_add(&t, value, since);
	return t;
}

struct fg_tally fg_member_tally_region(const struct fg_member *m, fg_ms since)
{
	struct fg_tally t = { 1, 1, 1 };

	for (guint i = 0; i < m->ring->len; i++)
		tally_add(&t, m->ring->pdata[i], since);
	return t;
}

uint32_t fg_member_outage_quorum(uint32_t n)
{
	return (2 * n + 2) / 3;
}

bool fg_member_is_small_region(uint32_t region_size)
{
	return region_size <= SMALL_REGION_MAX;
}

bool fg_member_reaches_majority(const struct fg_member *m, fg_ms now)
{
	struct fg_tally t =
		fg_member_tally_region(m, now - (fg_ms)m->conf.reachable_ms);

	return 2 * t.reached > t.size;
}

/*
 * The quorum is two thirds of the size that the own lease row states, so that
 * an instance that deletes the row can tell how many answers overlap with it.
 * Only instances that may act count: the region may have shrunk without this
 * instance's knowledge, and an instance whose lease was deleted no longer acts.
 * If too few of those answer, all instances must; the instance that deleted the
 * lease is then among them.
 */
static bool meets_outage_quorum(struct fg_tally t, uint32_t stated)
{
	uint32_t n = MAX(t.size, stated);

	return t.acting >= fg_member_outage_quorum(n) || t.reached >= n;
}

static bool has_outage_quorum(const struct fg_member *m, fg_ms since)
{
	const struct fg_own_lease *l = &m->lease;

	if (!meets_outage_quorum(fg_member_tally_region(m, since),
				 l->region_size_max))
		return false;
	return !fg_member_is_small_region(l->region_size_min) ||
	       meets_outage_quorum(fg_member_tally_all(m, since),
				   l->total_size_max);
}

fg_ms fg_member_last_contact(const struct fg_member *m)
{
	return MAX(m->own_contact_at,
		   MAX(m->peer_contact_at, m->relayed_contact_at));
}

/* Renewals and pings sent before `since` do not count. */
static enum fg_standing compute_standing(const struct fg_member *m, fg_ms now,
					 fg_ms since)
{
	fg_ms contact = fg_member_last_contact(m);
	fg_ms reached_since = MAX(now - (fg_ms)m->conf.reachable_ms, since - 1);

	if (!m->lease.ever_held)
		return FG_STANDING_JOINING;
	if (!m->lease.held || m->lease.superseded || m->releasing)
		return FG_STANDING_ISOLATED;
	if (m->lease.sent_at >= since && now < fg_member_lease_end(m) &&
	    now - contact <= (fg_ms)m->conf.confirm_ms)
		return FG_STANDING_CONFIRMED;
	if (contact < fg_member_lease_end(m) &&
	    has_outage_quorum(m, reached_since))
		return FG_STANDING_OUTAGE;
	return FG_STANDING_ISOLATED;
}

enum fg_standing fg_member_base_standing(const struct fg_member *m, fg_ms now)
{
	return compute_standing(m, now, 0);
}

enum fg_standing fg_member_standing(const struct fg_member *m, fg_ms now)
{
	if (m->lease.ever_held && now - m->last_tick > (fg_ms)m->conf.pause_ms)
		return FG_STANDING_ISOLATED;
	return compute_standing(m, now, m->resumed_at);
}

void fg_member_update_standing(struct fg_member *m, fg_ms now)
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
