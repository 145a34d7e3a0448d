/* Operations on the table: numbering, scans, single reads, results. */
#include "member/fg_member_internal.h"

#define ROW_BYTES 230 /* of one lease row in an answer, about */
#define SCAN_MIN_MS 2000
#define SCAN_SOON_PART 8 /* an early scan comes after 1/8 of the interval */
#define GETS_MAX 4	 /* single reads sent in one tick */

struct fg_table_op *fg_member_op(struct fg_member *m, enum fg_op_kind kind,
				 const char *key)
{
	m->next_op++;
	return fg_table_op_new(FG_MEMBER_OP_TAG | m->next_op, kind, key);
}

void fg_member_submit(struct fg_member *m, fg_ms now, struct fg_table_op *op,
		      const struct fg_mop *mop)
{
	struct fg_mop *copy = g_memdup2(mop, sizeof(*mop));
	struct fg_member_act act = { .type = FG_MA_TABLE, .op = op };

	copy->sent_at = now;
	g_hash_table_insert(m->ops, g_memdup2(&op->id, sizeof(op->id)), copy);
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
	m->scan_at = MIN(m->scan_at, now);
}

fg_ms fg_member_scanned_at(const struct fg_member *m)
{
	return m->scanned_at;
}

void fg_member_scan_soon(struct fg_member *m, fg_ms now)
{
	fg_ms earliest = m->scanned_at +
			 MAX(SCAN_MIN_MS, scan_interval_ms(m) / SCAN_SOON_PART);

	m->scan_at = MIN(m->scan_at, MAX(now, earliest));
}

void fg_member_scan_tick(struct fg_member *m, fg_ms now)
{
	struct fg_mop mop = { .kind = FG_MOP_SCAN };

	if (m->scan_due && now >= m->scanned_at + SCAN_MIN_MS)
		m->scan_at = now;
	if (m->scan_busy || now < m->scan_at)
		return;
	m->scan_due = false;
	m->scan_busy = true;
	m->scan++;
	m->scan_at = now + scan_interval_ms(m);
	fg_member_submit(m, now,
			 fg_member_op(m, FG_OP_SCAN, FG_MEMBER_KEY_PREFIX),
			 &mop);
}

/* Those who had a row before the scan was sent and are not in it. */
static void note_missing(struct fg_member *m, fg_ms sent_at)
{
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, m->peers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct fg_peer_entry *e = value;

		if (e->scan != m->scan && e->read_at < sent_at)
			fg_member_row_absent(m, e, sent_at);
	}
}

static void scan_result(struct fg_member *m, fg_ms now,
			const struct fg_mop *mop,
			const struct fg_table_result *res)
{
	m->scan_busy = false;
	if (res->result != FG_PF_OK) {
		m->scan_at = MIN(m->scan_at, now + SCAN_MIN_MS);
		return;
	}
	m->scanned_at = mop->sent_at;
	m->scan_rows = res->n_rows;
	for (size_t i = 0; i < res->n_rows; i++)
		fg_member_row_seen(m, now, mop->sent_at, &res->rows[i]);
	note_missing(m, mop->sent_at);
}

/* ---- Single reads ---- */

void fg_member_get_row(struct fg_member *m, fg_ms now, struct fg_peer_entry *e)
{
	struct fg_mop mop = { .kind = FG_MOP_GET, .peer = e->view.info.id };
	g_autofree char *key = NULL;

	if (e->op_busy)
		return;
	if (m->gets >= GETS_MAX) {
		fg_member_scan_soon(m, now);
		return;
	}
	m->gets++;
	e->op_busy = true;
	key = g_strconcat(FG_MEMBER_KEY_PREFIX, e->view.info.name, NULL);
	fg_member_submit(m, now, fg_member_op(m, FG_OP_GET, key), &mop);
}

static void get_result(struct fg_member *m, fg_ms now, const struct fg_mop *mop,
		       const struct fg_table_result *res)
{
	struct fg_peer_entry *e = fg_member_entry(m, mop->peer);

	if (e == NULL)
		return;
	e->op_busy = false;
	if (res->result == FG_PF_OK && res->n_rows > 0)
		fg_member_row_seen(m, now, mop->sent_at, &res->rows[0]);
	else if (res->result == FG_PF_OK || res->result == FG_PF_ABSENT)
		fg_member_row_absent(m, e, mop->sent_at);
}

/* ---- Results ---- */

/* Notes whether the table answers, and since when without a gap. */
static void note_contact(struct fg_member *m, fg_ms now,
			 const struct fg_mop *mop, enum fg_pf_result result)
{
	if (result != FG_PF_OK && result != FG_PF_CONFLICT &&
	    result != FG_PF_ABSENT)
		return;
	if (m->table_ok_at == 0 ||
	    now - m->table_ok_at > 2 * (fg_ms)m->conf.renew_ms)
		m->table_up_since = now;
	m->table_ok_at = now;
	m->own_contact = MAX(m->own_contact, mop->sent_at);
}

static void dispatch(struct fg_member *m, fg_ms now, const struct fg_mop *mop,
		     const struct fg_table_result *res)
{
	switch (mop->kind) {
	case FG_MOP_RENEW:
	case FG_MOP_READ_OWN:
	case FG_MOP_QUIT:
		fg_member_lease_result(m, now, mop, res);
		break;
	case FG_MOP_SCAN:
		scan_result(m, now, mop, res);
		break;
	case FG_MOP_GET:
		get_result(m, now, mop, res);
		break;
	case FG_MOP_DELETE:
		fg_member_delete_result(m, now, mop, res);
		break;
	}
}

bool fg_member_on_table(struct fg_member *m, fg_ms now,
			const struct fg_table_result *res, fg_member_emit emit,
			void *arg)
{
	struct fg_mop *mop = g_hash_table_lookup(m->ops, &res->id);
	struct fg_mop copy;

	if (mop == NULL)
		return false;
	copy = *mop;
	g_hash_table_remove(m->ops, &res->id);
	m->emit = emit;
	m->arg = arg;
	note_contact(m, now, &copy, res->result);
	dispatch(m, now, &copy, res);
	fg_member_standing_tick(m, now);
	return true;
}
