/* Quorums and the standing. */
#include "member/fg_member_internal.h"

#define SMALL_REGION 2 /* instances */

/* Counts over the region or all regions, this one included. */
struct tally {
	size_t size;
	size_t reached;
	size_t attesting;
};

static void tally_add(struct tally *t, const struct fg_peer_entry *e,
		      fg_ms since)
{
	if (!e->has_row)
		return;
	t->size += e->replaced ? 0 : 1;
	t->reached += e->reach_at > since ? 1 : 0;
	t->attesting += e->attest_at > since ? 1 : 0;
}

static struct tally total_tally(const struct fg_member *m, fg_ms since)
{
	struct tally t = { 1, 1, 1 };
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, NULL, &value))
		tally_add(&t, value, since);
	return t;
}

static struct tally region_tally(const struct fg_member *m, fg_ms since)
{
	struct tally t = { 1, 1, 1 };

	for (guint i = 0; i < m->ring->len; i++)
		tally_add(&t, m->ring->pdata[i], since);
	return t;
}

size_t fg_member_total_size(const struct fg_member *m)
{
	return total_tally(m, FG_MS_NEVER).size;
}

size_t fg_member_total_reached(const struct fg_member *m, fg_ms since)
{
	return total_tally(m, since).reached;
}

bool fg_member_is_small(uint32_t region_size)
{
	return region_size <= SMALL_REGION;
}

size_t fg_member_region_size(const struct fg_member *m)
{
	return region_tally(m, FG_MS_NEVER).size;
}

size_t fg_member_reached(const struct fg_member *m, fg_ms since)
{
	return region_tally(m, since).reached;
}

bool fg_member_sees_majority(const struct fg_member *m, fg_ms now)
{
	return 2 * fg_member_reached(m, now - (fg_ms)m->conf.reach_ms) >
	       fg_member_region_size(m);
}

/*
 * Two thirds; a lease is deleted by more than a third, so they meet. An
 * instance whose own lease was deleted does not act any more by then, so only
 * those that act are counted: the region may have shrunk without our knowing.
 * Without them all are needed, whoever deleted a lease being among them.
 */
static bool holds(struct tally t)
{
	return 3 * t.attesting >= 2 * t.size || t.reached >= t.size;
}

static bool sees_hold_quorum(const struct fg_member *m, fg_ms since)
{
	if (!holds(region_tally(m, since)))
		return false;
	return !fg_member_is_small(m->lease.region_size) ||
	       holds(total_tally(m, since));
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
