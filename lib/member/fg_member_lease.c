/*
 * Our own lease row: written by compare-and-set, read back after an answer
 * was lost. The row found gone means that others have given us up: the lease
 * is then taken anew under the next epoch.
 */
#include <assert.h>

#include "member/fg_member_internal.h"

#define LOST_RETRY_MS 300 /* before reading back */

uint32_t fg_member_advertised_size(const struct fg_member *m)
{
	return m->lease.held ? m->lease.region_least : 0;
}

fg_ms fg_member_lease_end(const struct fg_member *m)
{
	return m->lease.sent_at + (fg_ms)m->conf.own_lease_ms;
}

bool fg_member_lease_fresh(const struct fg_member *m, fg_ms now)
{
	return m->lease.held && m->lease.sent_at >= m->resumed_at &&
	       now < fg_member_lease_end(m);
}

/* ---- Operations ---- */

static void submit_own(struct fg_member *m, fg_ms now, struct fg_table_op *op,
		       const struct fg_mop *mop)
{
	m->lease.busy = true;
	m->lease.busy_op = op->id;
	m->lease.busy_since = now;
	fg_member_submit(m, now, op, mop);
}

static void send_read(struct fg_member *m, fg_ms now)
{
	struct fg_mop mop = { .kind = FG_MOP_READ_OWN };

	submit_own(m, now, fg_member_op(m, FG_OP_GET, m->key), &mop);
}

static void send_renewal(struct fg_member *m, fg_ms now)
{
	struct fg_table_op *op = fg_member_op(m, FG_OP_TXN, NULL);
	uint32_t region = fg_member_region_tally(m, now).size;
	uint32_t total = fg_member_total_tally(m, now).size;
	struct fg_mop mop = { .kind = FG_MOP_RENEW,
			      .region_size = region,
			      .total_size = total };
	struct fg_lease_row row = { .boot = m->conf.boot,
				    .region_size = region,
				    .total_size = total,
				    .leaving = m->leaving,
				    .info = m->conf.self };
	char *value = fg_lease_row_encode(&row);

	fg_table_op_write(op, m->key, m->lease.version, value);
	g_free(value);
	m->lease.region_least = MIN(m->lease.region_least, region);
	m->lease.region_most = MAX(m->lease.region_most, region);
	m->lease.total_most = MAX(m->lease.total_most, total);
	submit_own(m, now, op, &mop);
}

static void send_quit(struct fg_member *m, fg_ms now)
{
	struct fg_table_op *op = fg_member_op(m, FG_OP_TXN, NULL);
	struct fg_mop mop = { .kind = FG_MOP_QUIT };

	fg_table_op_write(op, m->key, m->lease.version, NULL);
	submit_own(m, now, op, &mop);
}

/* In a region this small, each instance that a row leaves out may be the one
 * that those left lack for a quorum; renewing more often costs few writes. */
#define EXACT_SIZE_MAX 16

static bool says_too_few(uint32_t said, uint32_t size)
{
	if (size <= EXACT_SIZE_MAX)
		return fg_member_hold_quorum(said) <
		       fg_member_hold_quorum(size);
	return 3 * said < 2 * size;
}

/*
 * The row says that we know fewer than there are, as it does just after the
 * start. If we died now, those that are left could not tell whether they meet
 * the quorum that we would have held on with.
 */
static bool row_understates(const struct fg_member *m, fg_ms now)
{
	const struct fg_own_lease *l = &m->lease;

	if (!l->held || now < l->early_at)
		return false;
	if (says_too_few(l->region_most, fg_member_region_tally(m, now).size))
		return true;
	return fg_member_is_small(l->region_least) &&
	       says_too_few(l->total_most, fg_member_total_tally(m, now).size);
}

void fg_member_lease_tick(struct fg_member *m, fg_ms now)
{
	struct fg_own_lease *l = &m->lease;

	if (l->busy && now - l->busy_since > (fg_ms)m->conf.lease_ms) {
		/* No result at all: treated as a lost answer. */
		l->busy = false;
		l->unsure = true;
	}
	if (l->busy || l->superseded)
		return;
	if (now < l->next_at && !row_understates(m, now))
		return;
	l->next_at = now + (fg_ms)m->conf.renew_ms;
	if (l->unsure)
		send_read(m, now);
	else if (!m->quitting)
		send_renewal(m, now);
	else if (l->held)
		send_quit(m, now);
}

/* ---- Results ---- */

static void lease_won(struct fg_member *m, fg_ms now, uint64_t version,
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
	l->lost_sent_at = 0;
	l->unsure = version == 0;
	if (l->unsure)
		l->next_at = now;
}

static void lease_gone(struct fg_member *m, fg_ms now)
{
	struct fg_own_lease *l = &m->lease;

	if (l->held)
		l->epoch++;
	l->held = false;
	l->version = 0;
	l->unsure = false;
	l->next_at = now;
}

/* The row as it is: ours after an answer was lost, or somebody else's. */
static void found_row(struct fg_member *m, fg_ms now, const struct fg_row *row)
{
	struct fg_lease_row found;

	if (row == NULL || row->value == NULL) {
		lease_gone(m, now);
		return;
	}
	if (!fg_lease_row_decode(row->key, row->value, &found) ||
	    found.boot != m->conf.boot) {
		m->lease.superseded = true;
		return;
	}
	/* A version that we never learnt of was written by the write whose
	 * answer was lost, which was sent at lost_sent_at or later. */
	lease_won(m, now, row->row_version,
		  row->row_version != m->lease.version ? m->lease.lost_sent_at
						       : 0);
	m->lease.next_at = now;
}

static void renewal_result(struct fg_member *m, fg_ms now,
			   const struct fg_mop *mop,
			   const struct fg_table_result *res)
{
	struct fg_own_lease *l = &m->lease;

	switch (res->result) {
	case FG_PF_OK:
		l->region_least = mop->region_size;
		l->region_most = mop->region_size;
		l->total_most = mop->total_size;
		lease_won(m, now,
			  res->n_rows > 0 ? res->rows[0].row_version : 0,
			  mop->sent_at);
		break;
	case FG_PF_CONFLICT:
		found_row(m, now, res->n_rows > 0 ? &res->rows[0] : NULL);
		break;
	case FG_PF_LOST:
	case FG_PF_BAD:
		if (l->lost_sent_at == 0)
			l->lost_sent_at = mop->sent_at;
		l->unsure = true;
		l->next_at = now + LOST_RETRY_MS;
		break;
	case FG_PF_ABSENT:
	case FG_PF_DOWN:
		l->next_at = now + (fg_ms)m->conf.renew_ms / 2;
		break;
	}
}

static void read_result(struct fg_member *m, fg_ms now,
			const struct fg_table_result *res)
{
	if (res->result == FG_PF_OK && res->n_rows > 0)
		found_row(m, now, &res->rows[0]);
	else if (res->result == FG_PF_OK || res->result == FG_PF_ABSENT)
		lease_gone(m, now);
	else
		m->lease.next_at = now + LOST_RETRY_MS;
}

void fg_member_lease_result(struct fg_member *m, fg_ms now,
			    const struct fg_mop *mop,
			    const struct fg_table_result *res)
{
	if (res->id != m->lease.busy_op || !m->lease.busy)
		return; /* given up before */
	m->lease.busy = false;
	if (res->result != FG_PF_OK)
		m->lease.early_at = now + LOST_RETRY_MS;
	if (mop->kind == FG_MOP_RENEW)
		renewal_result(m, now, mop, res);
	else if (mop->kind == FG_MOP_READ_OWN)
		read_result(m, now, res);
	else if (res->result == FG_PF_OK || res->result == FG_PF_CONFLICT)
		lease_gone(m, now);
	else
		m->lease.next_at = now + LOST_RETRY_MS;
}
