/*
 * The own lease row: written by compare-and-set, and read back after a lost
 * answer. When the row is gone, another instance has declared this one dead and
 * deleted the row; the next write takes the lease again under a new epoch.
 */
#include <assert.h>

#include "member/fg_member_internal.h"

#define LOST_RETRY_MS 300 /* before the next try after a failed operation */

uint32_t fg_member_advertised_size(const struct fg_member *m)
{
	return m->lease.held ? m->lease.region_size_min : 0;
}

fg_ms fg_member_lease_end(const struct fg_member *m)
{
	return m->lease.sent_at + (fg_ms)m->conf.own_lease_ms;
}

bool fg_member_is_lease_fresh(const struct fg_member *m, fg_ms now)
{
	return m->lease.held && m->lease.sent_at >= m->resumed_at &&
	       now < fg_member_lease_end(m);
}

/* ---- Operations ---- */

static void submit_lease_op(struct fg_member *m, fg_ms now,
			    struct fg_table_op *op,
			    const struct fg_pending_op *pending)
{
	m->lease.in_flight = true;
	m->lease.in_flight_op = op->id;
	m->lease.in_flight_since = now;
	fg_member_submit(m, now, op, pending);
}

static void send_read_back(struct fg_member *m, fg_ms now)
{
	struct fg_pending_op pending = { .kind = FG_PENDING_READ_OWN };

	submit_lease_op(m, now, fg_member_new_op(m, FG_OP_GET, m->lease_key),
			&pending);
}

static void send_renewal(struct fg_member *m, fg_ms now)
{
	struct fg_table_op *op = fg_member_new_op(m, FG_OP_TXN, NULL);
	uint32_t region = fg_member_tally_region(m, now).size;
	uint32_t total = fg_member_tally_all(m, now).size;
	struct fg_pending_op pending = { .kind = FG_PENDING_RENEW,
					 .region_size = region,
					 .total_size = total };
	struct fg_lease_row row = { .boot = m->conf.boot,
				    .region_size = region,
				    .total_size = total,
				    .leaving = m->leaving,
				    .info = m->conf.self };
	char *value = fg_lease_row_encode(&row);

	fg_table_op_add_write(op, m->lease_key, m->lease.version, value);
	g_free(value);
	m->lease.region_size_min = MIN(m->lease.region_size_min, region);
	m->lease.region_size_max = MAX(m->lease.region_size_max, region);
	m->lease.total_size_max = MAX(m->lease.total_size_max, total);
	submit_lease_op(m, now, op, &pending);
}

static void send_release(struct fg_member *m, fg_ms now)
{
	struct fg_table_op *op = fg_member_new_op(m, FG_OP_TXN, NULL);
	struct fg_pending_op pending = { .kind = FG_PENDING_RELEASE };

	fg_table_op_add_write(op, m->lease_key, m->lease.version, NULL);
	submit_lease_op(m, now, op, &pending);
}

/* Up to this size, a row that counts one instance too few may deny the
 * survivors the quorum to delete it. Early renewals avoid this and cost few
 * writes there. Above this size, the row is renewed early when it states less
 * than 2/3 of the instances. */
#define EXACT_SIZE_MAX 16

static bool is_size_understated(uint32_t stated, uint32_t size)
{
	if (size <= EXACT_SIZE_MAX)
		return fg_member_outage_quorum(stated) <
		       fg_member_outage_quorum(size);
	return 3 * stated < 2 * size;
}

/*
 * Returns true when the own row states fewer instances than are known now, as
 * just after the start. If this instance died, the survivors could not tell
 * whether they overlap with the quorum that it would need for OUTAGE, and would
 * delete its row only after ten leases.
 */
static bool is_row_understated(const struct fg_member *m, fg_ms now)
{
	const struct fg_own_lease *l = &m->lease;

	if (!l->held || now < l->early_allowed_at)
		return false;
	if (is_size_understated(l->region_size_max,
				fg_member_tally_region(m, now).size))
		return true;
	return fg_member_is_small_region(l->region_size_min) &&
	       is_size_understated(l->total_size_max,
				   fg_member_tally_all(m, now).size);
}

void fg_member_lease_tick(struct fg_member *m, fg_ms now)
{
	struct fg_own_lease *l = &m->lease;

	if (l->in_flight &&
	    now - l->in_flight_since > (fg_ms)m->conf.lease_ms) {
		/* An operation without any result counts as a lost answer. */
		l->in_flight = false;
		l->must_read_back = true;
	}
	if (l->in_flight || l->superseded)
		return;
	if (now < l->next_at && !is_row_understated(m, now))
		return;
	l->next_at = now + (fg_ms)m->conf.renew_ms;
	if (l->must_read_back)
		send_read_back(m, now);
	else if (!m->releasing)
		send_renewal(m, now);
	else if (l->held)
		send_release(m, now);
}

/* ---- Results ---- */

static void set_lease_held(struct fg_member *m, fg_ms now, uint64_t version,
			   fg_ms sent_at)
{
	struct fg_own_lease *l = &m->lease;

	if (!l->held) {
		l->held = true;
		l->ever_held = true;
		l->epoch++;
		l->sent_at = 0;
		fg_member_scan_soon(m, now);
	}
	l->version = version;
	l->sent_at = MAX(l->sent_at, sent_at);
	l->lost_write_sent_at = 0;
	l->must_read_back = version == 0;
	if (l->must_read_back)
		l->next_at = now;
}

static void set_lease_lost(struct fg_member *m, fg_ms now)
{
	struct fg_own_lease *l = &m->lease;

	if (l->held)
		l->epoch++;
	l->held = false;
	l->version = 0;
	l->must_read_back = false;
	l->next_at = now;
}

/* Takes over the row that a read or a conflict returned. A row with another
 * nonce belongs to another run under the same name. */
static void handle_current_row(struct fg_member *m, fg_ms now,
			       const struct fg_row *row)
{
	struct fg_lease_row found;

	if (row == NULL || row->value == NULL) {
		set_lease_lost(m, now);
		return;
	}
	if (!fg_lease_row_decode(row->key, row->value, &found) ||
	    found.boot != m->conf.boot) {
		m->lease.superseded = true;
		return;
	}
	/* A version that no answer reported comes from a write whose answer
	 * was lost; it was sent at lost_write_sent_at or later. */
	set_lease_held(m, now, row->row_version,
		       row->row_version != m->lease.version
			       ? m->lease.lost_write_sent_at
			       : 0);
	m->lease.next_at = now;
}

static void handle_renewal_result(struct fg_member *m, fg_ms now,
				  const struct fg_pending_op *pending,
				  const struct fg_table_result *res)
{
	struct fg_own_lease *l = &m->lease;

	switch (res->result) {
	case FG_PF_OK:
		l->region_size_min = pending->region_size;
		l->region_size_max = pending->region_size;
		l->total_size_max = pending->total_size;
		set_lease_held(m, now,
			       res->n_rows > 0 ? res->rows[0].row_version : 0,
			       pending->sent_at);
		break;
	case FG_PF_CONFLICT:
		handle_current_row(m, now,
				   res->n_rows > 0 ? &res->rows[0] : NULL);
		break;
	case FG_PF_LOST:
	case FG_PF_BAD_ANSWER:
		if (l->lost_write_sent_at == 0)
			l->lost_write_sent_at = pending->sent_at;
		l->must_read_back = true;
		l->next_at = now + LOST_RETRY_MS;
		break;
	case FG_PF_ABSENT:
	case FG_PF_DOWN:
		l->next_at = now + (fg_ms)m->conf.renew_ms / 2;
		break;
	}
}

static void handle_read_result(struct fg_member *m, fg_ms now,
			       const struct fg_table_result *res)
{
	if (res->result == FG_PF_OK && res->n_rows > 0)
		handle_current_row(m, now, &res->rows[0]);
	else if (res->result == FG_PF_OK || res->result == FG_PF_ABSENT)
		set_lease_lost(m, now);
	else
		m->lease.next_at = now + LOST_RETRY_MS;
}

void fg_member_on_lease_result(struct fg_member *m, fg_ms now,
			       const struct fg_pending_op *pending,
			       const struct fg_table_result *res)
{
	if (res->id != m->lease.in_flight_op || !m->lease.in_flight)
		return; /* fg_member_lease_tick() gave up waiting */
	m->lease.in_flight = false;
	if (res->result != FG_PF_OK)
		m->lease.early_allowed_at = now + LOST_RETRY_MS;
	if (pending->kind == FG_PENDING_RENEW)
		handle_renewal_result(m, now, pending, res);
	else if (pending->kind == FG_PENDING_READ_OWN)
		handle_read_result(m, now, res);
	else if (res->result == FG_PF_OK || res->result == FG_PF_CONFLICT)
		set_lease_lost(m, now);
	else
		m->lease.next_at = now + LOST_RETRY_MS;
}
