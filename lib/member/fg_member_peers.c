/*
 * What is known of other instances: their lease rows, states, and the
 * deletion of lapsed rows.
 */
#include <string.h>

#include "member/fg_member_internal.h"

#define REAP_RANK_MAX 6 /* later candidates all wait this many turns */
#define FORGET_LEASES 10
#define FORGET_MS (600 * 1000) /* a dead instance is remembered so long */

/* ---- States ---- */

static enum fg_peer_state state_of(const struct fg_peer_entry *e)
{
	if (!e->has_row)
		return FG_PEER_DEAD;
	if (e->leaving)
		return FG_PEER_LEAVING;
	return e->suspect ? FG_PEER_SUSPECT : FG_PEER_LIVE;
}

void fg_member_refresh_state(struct fg_member *m, struct fg_peer_entry *e)
{
	enum fg_peer_state before = e->view.state;
	enum fg_peer_state after = state_of(e);
	uint64_t id = e->view.info.id;

	if (before == after)
		return;
	e->view.state = after;
	m->generation++;
	m->ring_stale = true;
	if (before == FG_PEER_DEAD)
		fg_member_emit_act(m, FG_MA_UP, id);
	if (after == FG_PEER_DEAD)
		fg_member_emit_act(m, FG_MA_DOWN, id);
	else if (after == FG_PEER_LEAVING)
		fg_member_emit_act(m, FG_MA_LEAVING, id);
}

void fg_member_set_suspect(struct fg_member *m, fg_ms now,
			   struct fg_peer_entry *e, bool suspect)
{
	if (e->suspect == suspect)
		return;
	e->suspect = suspect;
	e->suspect_at = now;
	fg_member_refresh_state(m, e);
}

/* ---- Rows ---- */

static struct fg_peer_entry *entry_new(struct fg_member *m, uint64_t id)
{
	struct fg_peer_entry *e = g_new0(struct fg_peer_entry, 1);

	e->view.info.id = id;
	e->view.state = FG_PEER_DEAD;
	e->order = fg_hash_mix(id, 0);
	g_hash_table_insert(m->peers, &e->view.info.id, e);
	return e;
}

static void row_changed(struct fg_member *m, fg_ms now, struct fg_peer_entry *e,
			const struct fg_row *row,
			const struct fg_lease_row *lease)
{
	e->view.info = lease->info;
	e->row_version = row->row_version;
	e->region_size = lease->region_size;
	e->total_size = lease->total_size;
	e->has_row = true;
	e->seen_at = now;
	e->lapsed_at = 0;
	e->proven_at = 0;
	e->leaving = lease->leaving;
	/* The lease moves on; pings alone may keep the suspicion. */
	if (e->unanswered == 0)
		e->suspect = false;
	fg_member_refresh_state(m, e);
}

/* The same version again, after lease_ms in which the table answered. */
static void check_lapsed(struct fg_member *m, fg_ms now, fg_ms sent_at,
			 struct fg_peer_entry *e)
{
	fg_ms since = MAX(e->seen_at, m->table_up_since);

	if (e->lapsed_at != 0 || sent_at - since < (fg_ms)m->conf.lease_ms)
		return;
	e->lapsed_at = sent_at;
	fg_member_set_suspect(m, now, e, true);
}

void fg_member_row_seen(struct fg_member *m, fg_ms now, fg_ms sent_at,
			const struct fg_row *row)
{
	struct fg_lease_row lease;
	struct fg_peer_entry *e;

	if (!fg_lease_row_decode(row->key, row->value, &lease) ||
	    lease.info.id == m->conf.self.id)
		return;
	e = fg_member_entry(m, lease.info.id);
	if (e == NULL)
		e = entry_new(m, lease.info.id);
	e->scan = m->scan;
	if (row->row_version > e->row_version) {
		row_changed(m, now, e, row, &lease);
	} else if (row->row_version < e->row_version || !e->has_row) {
		return; /* an older read */
	} else {
		check_lapsed(m, now, sent_at, e);
	}
	e->read_at = MAX(e->read_at, sent_at);
}

void fg_member_row_absent(struct fg_member *m, struct fg_peer_entry *e,
			  fg_ms sent_at)
{
	if (sent_at < e->read_at)
		return; /* read again since */
	e->absent_at = MAX(e->absent_at, sent_at);
	e->read_at = MAX(e->read_at, sent_at);
	e->has_row = false;
	e->lapsed_at = 0;
	e->proven_at = 0;
	fg_member_refresh_state(m, e);
}

bool fg_member_is_gone(const struct fg_member *m, uint64_t id, fg_ms since)
{
	const struct fg_peer_entry *e = g_hash_table_lookup(m->peers, &id);

	if (id == m->conf.self.id)
		return false;
	if (e == NULL)
		return m->scanned_at > since;
	return !e->has_row && e->absent_at > since;
}

/* ---- Deleting lapsed rows ---- */

/*
 * A process that listens at the address of e, and renewed its own lease after
 * that of e was seen lapsed, proves that the process behind e has ended: it
 * held the address until then.
 */
static bool is_replaced(const struct fg_member *m,
			const struct fg_peer_entry *e)
{
	if (e->lapsed_at == 0 || e->view.info.rpc[0] == '\0')
		return false;
	if (strcmp(e->view.info.rpc, m->conf.self.rpc) == 0)
		return m->lease.held && m->lease.sent_at >= e->lapsed_at;
	for (guint i = 0; i < m->ring->len; i++) {
		const struct fg_peer_entry *p = m->ring->pdata[i];

		if (p != e && p->seen_at >= e->lapsed_at &&
		    strcmp(p->view.info.rpc, e->view.info.rpc) == 0)
			return true;
	}
	return false;
}

/* How many live instances of the region come before this one in deleting
 * the row of e; one of them suffices. */
static uint32_t reap_rank(const struct fg_member *m,
			  const struct fg_peer_entry *e)
{
	uint64_t id = e->view.info.id;
	uint64_t mine = fg_hash_mix(m->conf.self.id, id);
	uint32_t rank = 0;

	for (guint i = 0; i < m->ring->len && rank < REAP_RANK_MAX; i++) {
		const struct fg_peer_entry *p = m->ring->pdata[i];

		if (p->view.state == FG_PEER_LIVE &&
		    fg_hash_mix(p->view.info.id, id) > mine)
			rank++;
	}
	return rank;
}

static bool reap_turn(const struct fg_member *m, fg_ms now,
		      const struct fg_peer_entry *e)
{
	fg_ms turn_ms = (fg_ms)m->conf.reachable_ms * 3 / 2;

	if (e->lapsed_at == 0 || !fg_member_same_region(m, e) ||
	    !fg_member_lease_fresh(m, now))
		return false;
	return now >= e->lapsed_at + turn_ms * reap_rank(m, e);
}

bool fg_member_reaping(const struct fg_member *m, fg_ms now)
{
	for (guint i = 0; i < m->ring->len; i++)
		if (reap_turn(m, now, m->ring->pdata[i]))
			return true;
	return false;
}

bool fg_member_reaping_small(const struct fg_member *m, fg_ms now)
{
	for (guint i = 0; i < m->ring->len; i++) {
		const struct fg_peer_entry *e = m->ring->pdata[i];

		if (fg_member_is_small(e->region_size) && !e->replaced &&
		    reap_turn(m, now, e))
			return true;
	}
	return false;
}

/* One of those that answered is among the ones that the holder needs: two
 * thirds of the `said` instances that it knew, all of which a scan shows. */
static bool meets_holders(struct fg_tally t, uint32_t said)
{
	return t.reached + fg_member_hold_quorum(said) > t.size;
}

/*
 * Counts answers to pings sent strictly after the read that showed the lapse.
 * The holder in a small region needs both quorums, so that meeting one is
 * enough. After FORGET_LEASES leases a third is, since a region that was
 * replaced as a whole has nobody else to answer.
 */
static bool is_proven(const struct fg_member *m, fg_ms now,
		      const struct fg_peer_entry *e)
{
	fg_ms forget_ms = FORGET_LEASES * (fg_ms)m->conf.lease_ms;
	struct fg_tally region = fg_member_region_tally(m, e->lapsed_at);
	struct fg_tally total = fg_member_total_tally(m, e->lapsed_at);
	bool small = fg_member_is_small(e->region_size);

	if (m->scanned_at < e->lapsed_at)
		return false;
	if (meets_holders(region, e->region_size) ||
	    (small && meets_holders(total, e->total_size)))
		return true;
	return now - e->lapsed_at > forget_ms &&
	       3 * region.reached > region.size &&
	       (!small || 3 * total.reached > total.size);
}

static void send_delete(struct fg_member *m, fg_ms now, struct fg_peer_entry *e)
{
	struct fg_mop mop = { .kind = FG_MOP_DELETE, .peer = e->view.info.id };
	struct fg_table_op *op = fg_member_op(m, FG_OP_TXN, NULL);
	g_autofree char *key =
		g_strconcat(FG_MEMBER_KEY_PREFIX, e->view.info.name, NULL);

	e->op_busy = true;
	fg_table_op_write(op, key, e->row_version, NULL);
	fg_member_submit(m, now, op, &mop);
}

/* Takes the steps stated in fg_member.h, in their order. */
static void reap(struct fg_member *m, fg_ms now, struct fg_peer_entry *e)
{
	if (e->replaced) {
		if (!e->op_busy)
			send_delete(m, now, e);
		return;
	}
	if (e->proven_at == 0) {
		m->scan_due |= m->scanned_at < e->lapsed_at;
		if (is_proven(m, now, e))
			e->proven_at = now;
		return;
	}
	if (now < e->proven_at + (fg_ms)m->conf.reachable_ms || e->op_busy)
		return;
	send_delete(m, now, e);
}

void fg_member_delete_result(struct fg_member *m, fg_ms now,
			     const struct fg_mop *mop,
			     const struct fg_table_result *res)
{
	struct fg_peer_entry *e = fg_member_entry(m, mop->peer);
	const struct fg_row *row = res->n_rows > 0 ? &res->rows[0] : NULL;

	if (e == NULL)
		return;
	e->op_busy = false;
	if (res->result == FG_PF_OK) {
		fg_member_row_absent(m, e, mop->sent_at);
		e->hinted_at = 0;
		fg_member_hint(m, now, e);
	} else if (res->result == FG_PF_CONFLICT && row != NULL &&
		   row->value != NULL) {
		fg_member_row_seen(m, now, mop->sent_at, row);
	} else if (res->result != FG_PF_DOWN) {
		fg_member_get_row(m, now, e);
	}
}

/* ---- Tick ---- */

/* Reads the row of a suspect at once, and when its lease would have lapsed. */
static void watch(struct fg_member *m, fg_ms now, struct fg_peer_entry *e)
{
	fg_ms due =
		MAX(e->seen_at, m->table_up_since) + (fg_ms)m->conf.lease_ms;

	if (!e->suspect || e->lapsed_at != 0)
		return;
	if (e->read_at < e->suspect_at || (now >= due && e->read_at < due))
		fg_member_get_row(m, now, e);
}

static gboolean is_forgotten(gpointer key, gpointer value, gpointer user_data)
{
	const struct fg_peer_entry *e = value;
	const fg_ms *now = user_data;

	(void)key;
	return !e->has_row && !e->op_busy &&
	       *now - MAX(e->absent_at, e->view.heard_at) > FORGET_MS;
}

void fg_member_peers_tick(struct fg_member *m, fg_ms now)
{
	/* Only the region is watched; others are learnt of by scans. */
	for (guint i = 0; i < m->ring->len; i++) {
		struct fg_peer_entry *e = m->ring->pdata[i];

		watch(m, now, e);
		e->replaced = is_replaced(m, e);
		if (reap_turn(m, now, e))
			reap(m, now, e);
	}
	if (g_hash_table_foreach_remove(m->peers, is_forgotten, &now) > 0)
		m->generation++;
}
