/* Operations on the table: numbering, scans, single reads, results. */
#include "member/fg_member_internal.h"

#define ROW_BYTES 230	    /* of one lease row in an answer, approximately */
#define SCAN_MIN_MS 2000    /* between scans that were brought forward */
#define SCAN_SOON_DIVISOR 8 /* early scans wait for 1/8 of the interval */
#define GETS_MAX 4	    /* single reads sent in one tick */

struct fg_table_op *fg_member_new_op(struct fg_member *m, enum fg_op_kind kind,
				     const char *key)
{
	m->op_counter++;
	return fg_table_op_new(FG_MEMBER_OP_ID_TAG | m->op_counter, kind, key);
}

void fg_member_submit(struct fg_member *m, fg_ms now, struct fg_table_op *op,
		      const struct fg_pending_op *pending)
{
	struct fg_pending_op *copy = g_memdup2(pending, sizeof(*pending));
	struct fg_member_act act = { .type = FG_MA_TABLE, .op = op };

	copy->sent_at = now;
	g_hash_table_insert(m->pending_ops, g_memdup2(&op->id, sizeof(op->id)),
			    copy);
	m->emit(m->arg, &act);
}

/* ---- Scans ---- */

static uint32_t scan_interval_ms(const struct fg_member *m)
{
	uint64_t ms = (uint64_t)m->scan_rows * ROW_BYTES * FG_MS_PER_S /
		      FG_MEMBER_SCAN_BYTES_PER_S;

	return (uint32_t)MAX(ms, m->conf.scan_ms);
}

void fg_member_request_scan(struct fg_member *m, fg_ms now)
{
	m->next_scan_at = MIN(m->next_scan_at, now);
}

fg_ms fg_member_scanned_at(const struct fg_member *m)
{
	return m->scanned_at;
}

void fg_member_scan_soon(struct fg_member *m, fg_ms now)
{
	fg_ms earliest =
		m->scanned_at +
		MAX(SCAN_MIN_MS, scan_interval_ms(m) / SCAN_SOON_DIVISOR);

	m->next_scan_at = MIN(m->next_scan_at, MAX(now, earliest));
}

void fg_member_scan_tick(struct fg_member *m, fg_ms now)
{
	struct fg_pending_op pending = { .kind = FG_PENDING_SCAN };

	if (m->scan_requested && now >= m->scanned_at + SCAN_MIN_MS)
		m->next_scan_at = now;
	if (m->scan_in_flight || now < m->next_scan_at)
		return;
	m->scan_requested = false;
	m->scan_in_flight = true;
	m->scan_no++;
	m->next_scan_at = now + scan_interval_ms(m);
	fg_member_submit(m, now,
			 fg_member_new_op(m, FG_OP_SCAN, FG_MEMBER_KEY_PREFIX),
			 &pending);
}

/* Records as absent each row that the scan does not show, unless it was read
 * after the scan was sent. */
static void mark_missing_absent(struct fg_member *m, fg_ms sent_at)
{
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct fg_peer_entry *e = value;

		if (e->scan_no != m->scan_no && e->read_at < sent_at)
			fg_member_record_absent(m, e, sent_at);
	}
}

static void handle_scan_result(struct fg_member *m, fg_ms now,
			       const struct fg_pending_op *pending,
			       const struct fg_table_result *res)
{
	m->scan_in_flight = false;
	if (res->result != FG_PF_OK) {
		m->next_scan_at = MIN(m->next_scan_at, now + SCAN_MIN_MS);
		return;
	}
	m->scanned_at = pending->sent_at;
	m->scan_rows = res->n_rows;
	for (size_t i = 0; i < res->n_rows; i++)
		fg_member_record_row(m, now, pending->sent_at, &res->rows[i]);
	mark_missing_absent(m, pending->sent_at);
}

/* ---- Single reads ---- */

void fg_member_read_row(struct fg_member *m, fg_ms now, struct fg_peer_entry *e)
{
	struct fg_pending_op pending = { .kind = FG_PENDING_GET,
					 .peer = e->view.info.id };
	g_autofree char *key = NULL;

	if (e->op_in_flight)
		return;
	if (m->tick_gets >= GETS_MAX) {
		fg_member_scan_soon(m, now);
		return;
	}
	m->tick_gets++;
	e->op_in_flight = true;
	key = g_strconcat(FG_MEMBER_KEY_PREFIX, e->view.info.name, NULL);
	fg_member_submit(m, now, fg_member_new_op(m, FG_OP_GET, key), &pending);
}

static void handle_get_result(struct fg_member *m, fg_ms now,
			      const struct fg_pending_op *pending,
			      const struct fg_table_result *res)
{
	struct fg_peer_entry *e = fg_member_find_entry(m, pending->peer);

	if (e == NULL)
		return;
	e->op_in_flight = false;
	if (res->result == FG_PF_OK && res->n_rows > 0)
		fg_member_record_row(m, now, pending->sent_at, &res->rows[0]);
	else if (res->result == FG_PF_OK || res->result == FG_PF_ABSENT)
		fg_member_record_absent(m, e, pending->sent_at);
}

/* ---- Results ---- */

/* Records since when the table answers without a gap. */
static void record_table_answer(struct fg_member *m, fg_ms now,
				const struct fg_pending_op *pending,
				enum fg_pf_result result)
{
	if (result != FG_PF_OK && result != FG_PF_CONFLICT &&
	    result != FG_PF_ABSENT)
		return;
	if (m->table_ok_at == 0 ||
	    now - m->table_ok_at > 2 * (fg_ms)m->conf.renew_ms)
		m->table_up_since = now;
	m->table_ok_at = now;
	m->own_contact_at = MAX(m->own_contact_at, pending->sent_at);
}

static void dispatch_result(struct fg_member *m, fg_ms now,
			    const struct fg_pending_op *pending,
			    const struct fg_table_result *res)
{
	switch (pending->kind) {
	case FG_PENDING_RENEW:
	case FG_PENDING_READ_OWN:
	case FG_PENDING_RELEASE:
		fg_member_on_lease_result(m, now, pending, res);
		break;
	case FG_PENDING_SCAN:
		handle_scan_result(m, now, pending, res);
		break;
	case FG_PENDING_GET:
		handle_get_result(m, now, pending, res);
		break;
	case FG_PENDING_DELETE:
		fg_member_on_delete_result(m, now, pending, res);
		break;
	}
}

bool fg_member_on_table(struct fg_member *m, fg_ms now,
			const struct fg_table_result *res, fg_member_emit emit,
			void *arg)
{
	struct fg_pending_op *pending =
		g_hash_table_lookup(m->pending_ops, &res->id);
	struct fg_pending_op copy;

	if (pending == NULL)
		return false;
	copy = *pending;
	g_hash_table_remove(m->pending_ops, &res->id);
	m->emit = emit;
	m->arg = arg;
	record_table_answer(m, now, &copy, res->result);
	dispatch_result(m, now, &copy, res);
	fg_member_update_standing(m, now);
	return true;
}
