/* Other instances: lease rows, states, the reaping of lapsed rows. */
#include <string.h>

#include "member/fg_member_internal.h"

#define REAP_RANK_MAX 6		 /* higher ranks wait as long as this one */
#define REDUCED_QUORUM_LEASES 10 /* lease_ms after the lapse */
#define DEAD_ENTRY_TTL_MS (600 * 1000)

/* ---- States ---- */

static enum fg_peer_state derive_state(const struct fg_peer_entry *e)
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
	enum fg_peer_state after = derive_state(e);
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

static struct fg_peer_entry *add_entry(struct fg_member *m, uint64_t id)
{
	struct fg_peer_entry *e = g_new0(struct fg_peer_entry, 1);

	e->view.info.id = id;
	e->view.state = FG_PEER_DEAD;
	e->ring_pos = fg_hash_mix(id, 0);
	g_hash_table_insert(m->peers, &e->view.info.id, e);
	return e;
}

static void store_new_version(struct fg_member *m, fg_ms now,
			      struct fg_peer_entry *e, const struct fg_row *row,
			      const struct fg_lease_row *lease)
{
	e->view.info = lease->info;
	e->row_version = row->row_version;
	e->region_size = lease->region_size;
	e->total_size = lease->total_size;
	e->has_row = true;
	e->version_seen_at = now;
	e->lapsed_at = 0;
	e->reap_quorum_at = 0;
	e->leaving = lease->leaving;
	/* A renewal ends the suspicion, unless pings are unanswered. */
	if (e->unanswered == 0)
		e->suspect = false;
	fg_member_refresh_state(m, e);
}

/* Marks the lease of e as lapsed when a read shows the same version again after
 * lease_ms in which the table kept answering. */
static void check_lapsed(struct fg_member *m, fg_ms now, fg_ms sent_at,
			 struct fg_peer_entry *e)
{
	fg_ms since = MAX(e->version_seen_at, m->table_up_since);

	if (e->lapsed_at != 0 || sent_at - since < (fg_ms)m->conf.lease_ms)
		return;
	e->lapsed_at = sent_at;
	fg_member_set_suspect(m, now, e, true);
}

void fg_member_record_row(struct fg_member *m, fg_ms now, fg_ms sent_at,
			  const struct fg_row *row)
{
	struct fg_lease_row lease;
	struct fg_peer_entry *e;

	if (!fg_lease_row_decode(row->key, row->value, &lease) ||
	    lease.info.id == m->conf.self.id)
		return;
	e = fg_member_find_entry(m, lease.info.id);
	if (e == NULL)
		e = add_entry(m, lease.info.id);
	e->scan_no = m->scan_no;
	if (row->row_version > e->row_version) {
		store_new_version(m, now, e, row, &lease);
	} else if (row->row_version < e->row_version || !e->has_row) {
		return; /* the read is older than what is known */
	} else {
		check_lapsed(m, now, sent_at, e);
	}
	e->read_at = MAX(e->read_at, sent_at);
}

void fg_member_record_absent(struct fg_member *m, struct fg_peer_entry *e,
			     fg_ms sent_at)
{
	if (sent_at < e->read_at)
		return; /* a later read has covered the row */
	e->absent_at = MAX(e->absent_at, sent_at);
	e->read_at = MAX(e->read_at, sent_at);
	e->has_row = false;
	e->lapsed_at = 0;
	e->reap_quorum_at = 0;
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

/* ---- Reaping of lapsed rows ---- */

/*
 * Returns true when an instance other than e has the address of e and renewed
 * its lease after the lease of e lapsed. Two processes cannot listen at one
 * address, so the process of e has ended.
 */
static bool is_address_reused(const struct fg_member *m,
			      const struct fg_peer_entry *e)
{
	if (e->lapsed_at == 0 || e->view.info.rpc[0] == '\0')
		return false;
	if (strcmp(e->view.info.rpc, m->conf.self.rpc) == 0)
		return m->lease.held && m->lease.sent_at >= e->lapsed_at;
	for (guint i = 0; i < m->ring->len; i++) {
		const struct fg_peer_entry *p = m->ring->pdata[i];

		if (p != e && p->version_seen_at >= e->lapsed_at &&
		    strcmp(p->view.info.rpc, e->view.info.rpc) == 0)
			return true;
	}
	return false;
}

/* Returns how many live instances of the region have their turn to delete the
 * row of e before this one. The turns are staggered, since one deletion is
 * enough. */
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

static bool is_reap_turn(const struct fg_member *m, fg_ms now,
			 const struct fg_peer_entry *e)
{
	fg_ms turn_ms = (fg_ms)m->conf.reachable_ms * 3 / 2;

	if (e->lapsed_at == 0 || !fg_member_is_same_region(m, e) ||
	    !fg_member_is_lease_fresh(m, now))
		return false;
	return now >= e->lapsed_at + turn_ms * reap_rank(m, e);
}

bool fg_member_is_reaping(const struct fg_member *m, fg_ms now)
{
	for (guint i = 0; i < m->ring->len; i++)
		if (is_reap_turn(m, now, m->ring->pdata[i]))
			return true;
	return false;
}

bool fg_member_is_reaping_small(const struct fg_member *m, fg_ms now)
{
	for (guint i = 0; i < m->ring->len; i++) {
		const struct fg_peer_entry *e = m->ring->pdata[i];

		if (fg_member_is_small_region(e->region_size) &&
		    !e->address_reused && is_reap_turn(m, now, e))
			return true;
	}
	return false;
}

/* Returns true when at least one instance that answered belongs to any quorum
 * that the holder may have for OUTAGE: two thirds of as many instances as its
 * row states, all of them among the instances that the scan showed. */
static bool overlaps_outage_quorum(struct fg_tally t, uint32_t stated)
{
	return t.reached + fg_member_outage_quorum(stated) > t.size;
}

/*
 * Returns true when enough instances answered a ping that was sent strictly
 * after the read that showed the lapse.
 *
 * A holder in a small region needs both the quorum of the region and that of
 * all regions, so an overlap with one of them is enough. REDUCED_QUORUM_LEASES
 * leases after the lapse, more than a third of the instances is enough: when a
 * whole region has been replaced, the old instances cannot answer.
 */
static bool has_reap_quorum(const struct fg_member *m, fg_ms now,
			    const struct fg_peer_entry *e)
{
	fg_ms reduced_after_ms =
		REDUCED_QUORUM_LEASES * (fg_ms)m->conf.lease_ms;
	struct fg_tally region = fg_member_tally_region(m, e->lapsed_at);
	struct fg_tally total = fg_member_tally_all(m, e->lapsed_at);
	bool small = fg_member_is_small_region(e->region_size);

	if (m->scanned_at < e->lapsed_at)
		return false;
	if (overlaps_outage_quorum(region, e->region_size) ||
	    (small && overlaps_outage_quorum(total, e->total_size)))
		return true;
	return now - e->lapsed_at > reduced_after_ms &&
	       3 * region.reached > region.size &&
	       (!small || 3 * total.reached > total.size);
}

static void send_delete(struct fg_member *m, fg_ms now, struct fg_peer_entry *e)
{
	struct fg_pending_op pending = { .kind = FG_PENDING_DELETE,
					 .peer = e->view.info.id };
	struct fg_table_op *op = fg_member_new_op(m, FG_OP_TXN, NULL);
	g_autofree char *key =
		g_strconcat(FG_MEMBER_KEY_PREFIX, e->view.info.name, NULL);

	e->op_in_flight = true;
	fg_table_op_add_write(op, key, e->row_version, NULL);
	fg_member_submit(m, now, op, &pending);
}

/* Takes the next step towards the deletion of the lapsed row of e; fg_member.h
 * lists the steps under "Liveness". */
static void reap_row(struct fg_member *m, fg_ms now, struct fg_peer_entry *e)
{
	if (e->address_reused) {
		if (!e->op_in_flight)
			send_delete(m, now, e);
		return;
	}
	if (e->reap_quorum_at == 0) {
		m->scan_requested |= m->scanned_at < e->lapsed_at;
		if (has_reap_quorum(m, now, e))
			e->reap_quorum_at = now;
		return;
	}
	if (now < e->reap_quorum_at + (fg_ms)m->conf.reachable_ms ||
	    e->op_in_flight)
		return;
	send_delete(m, now, e);
}

void fg_member_on_delete_result(struct fg_member *m, fg_ms now,
				const struct fg_pending_op *pending,
				const struct fg_table_result *res)
{
	struct fg_peer_entry *e = fg_member_find_entry(m, pending->peer);
	const struct fg_row *row = res->n_rows > 0 ? &res->rows[0] : NULL;

	if (e == NULL)
		return;
	e->op_in_flight = false;
	if (res->result == FG_PF_OK) {
		fg_member_record_absent(m, e, pending->sent_at);
		e->hint_sent_at = 0;
		fg_member_send_hints(m, now, e);
	} else if (res->result == FG_PF_CONFLICT && row != NULL &&
		   row->value != NULL) {
		fg_member_record_row(m, now, pending->sent_at, row);
	} else if (res->result != FG_PF_DOWN) {
		fg_member_read_row(m, now, e);
	}
}

/* ---- Tick ---- */

/* Reads the row of a suspect when the suspicion arises, and again when its
 * lease can have lapsed. */
static void read_suspect_row(struct fg_member *m, fg_ms now,
			     struct fg_peer_entry *e)
{
	fg_ms due = MAX(e->version_seen_at, m->table_up_since) +
		    (fg_ms)m->conf.lease_ms;

	if (!e->suspect || e->lapsed_at != 0)
		return;
	if (e->read_at < e->suspect_at || (now >= due && e->read_at < due))
		fg_member_read_row(m, now, e);
}

static gboolean is_expired(gpointer key, gpointer value, gpointer user_data)
{
	const struct fg_peer_entry *e = value;
	const fg_ms *now = user_data;

	(void)key;
	return !e->has_row && !e->op_in_flight &&
	       *now - MAX(e->absent_at, e->view.last_msg_at) >
		       DEAD_ENTRY_TTL_MS;
}

void fg_member_peers_tick(struct fg_member *m, fg_ms now)
{
	/* Rows of other regions are read by scans only. */
	for (guint i = 0; i < m->ring->len; i++) {
		struct fg_peer_entry *e = m->ring->pdata[i];

		read_suspect_row(m, now, e);
		e->address_reused = is_address_reused(m, e);
		if (is_reap_turn(m, now, e))
			reap_row(m, now, e);
	}
	if (g_hash_table_foreach_remove(m->peers, is_expired, &now) > 0)
		m->generation++;
}
