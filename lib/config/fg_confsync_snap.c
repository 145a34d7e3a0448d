/*
 * Writing snapshots. The instance that stores the change which makes one due
 * claims it in the head (draft), writes the parts, deletes the rows that are
 * no longer needed and points the head at the new snapshot. Should it die in
 * between, the next one that is due takes over and deletes its parts. The
 * snapshot before the newest is kept for those who are reading it.
 */
#include <string.h>

#include "config/fg_confsync_priv.h"

#define FAILURES_MAX 20 /* calls that failed in a row before giving up */

void cs_snap_drop(struct fg_confsync *s)
{
	if (s->snap.parts != NULL)
		g_ptr_array_free(s->snap.parts, TRUE);
	if (s->snap.doomed != NULL)
		g_ptr_array_free(s->snap.doomed, TRUE);
	memset(&s->snap, 0, sizeof(s->snap));
}

/* Called after a change of ours was stored as the newest revision; the head
 * is the one it was made for. */
void cs_snap_consider(struct fg_confsync *s)
{
	const struct cs_head *h = &s->head;
	uint64_t revision = fg_config_revision(s->c);
	uint64_t last = MAX(h->snapshot, h->draft);

	if (s->snap.phase != CS_SNAP_IDLE || revision < last ||
	    revision - last < s->conf.snapshot_every)
		return;
	s->snap.phase = CS_SNAP_CLAIM;
	s->snap.reading = true;
	s->snap.revision = revision;
	s->snap.parts = fg_config_snapshot_parts(s->c, CS_PART_BYTES);
	s->snap.doomed = g_ptr_array_new_with_free_func(g_free);
	s->snap.retry_at = s->now;
}

/* ---- Writes ---- */

static void doom_parts(GPtrArray *doomed, uint64_t snapshot, uint64_t parts)
{
	char key[FG_ROW_KEY_MAX];

	for (guint i = 0; snapshot != 0 && i < parts; i++) {
		cs_part_key(key, snapshot, i);
		g_ptr_array_add(doomed, g_strdup(key));
	}
}

/* Deltas up to the snapshot that becomes the old one, the parts of the one
 * before it, and those of a draft that was never published. */
static void doom(struct cs_snap *sn, const struct cs_head *h)
{
	char key[FG_ROW_KEY_MAX];

	g_ptr_array_set_size(sn->doomed, 0);
	doom_parts(sn->doomed, h->old_snapshot, h->old_parts);
	if (h->draft != h->snapshot && h->draft != sn->revision)
		doom_parts(sn->doomed, h->draft, h->draft_parts);
	for (uint64_t r = h->deltas_from; r <= h->snapshot; r++) {
		cs_rev_key(key, r);
		g_ptr_array_add(sn->doomed, g_strdup(key));
	}
}

static struct fg_table_op *head_op(struct fg_confsync *s)
{
	struct cs_snap *sn = &s->snap;
	struct fg_table_op *op = fg_table_op_new(cs_op_id(s), FG_OP_TXN, NULL);
	struct cs_head next = sn->head;
	g_autofree char *text = NULL;

	if (sn->phase == CS_SNAP_CLAIM) {
		doom(sn, &sn->head);
		next.draft = sn->revision;
		next.draft_parts = sn->parts->len;
	} else {
		next.old_snapshot = sn->head.snapshot;
		next.old_parts = sn->head.parts;
		next.deltas_from = sn->head.snapshot + 1;
		next.snapshot = sn->revision;
		next.parts = sn->parts->len;
		next.draft = 0;
		next.draft_parts = 0;
	}
	text = cs_head_text(&next);
	fg_table_op_write(op, CS_HEAD_KEY, sn->head.row_version, text);
	return op;
}

static struct fg_table_op *part_op(struct fg_confsync *s)
{
	struct cs_snap *sn = &s->snap;
	struct fg_table_op *op = fg_table_op_new(cs_op_id(s), FG_OP_TXN, NULL);
	char key[FG_ROW_KEY_MAX];

	cs_part_key(key, sn->revision, sn->next_part);
	fg_table_op_write(op, key, FG_ANY_VERSION,
			  g_ptr_array_index(sn->parts, sn->next_part));
	return op;
}

static struct fg_table_op *delete_op(struct fg_confsync *s)
{
	struct cs_snap *sn = &s->snap;
	struct fg_table_op *op = fg_table_op_new(cs_op_id(s), FG_OP_TXN, NULL);
	guint end = MIN(sn->next_doomed + FG_TXN_MAX, sn->doomed->len);

	for (guint i = sn->next_doomed; i < end; i++)
		fg_table_op_write(op, g_ptr_array_index(sn->doomed, i),
				  FG_ANY_VERSION, NULL);
	return op;
}

void cs_snap_step(struct fg_confsync *s)
{
	struct cs_snap *sn = &s->snap;
	struct fg_table_op *op;

	if (sn->phase == CS_SNAP_IDLE || s->now < sn->retry_at)
		return;
	if (sn->op != 0 && s->now - sn->asked < CS_OP_LOST_MS)
		return;
	if (sn->reading)
		op = fg_table_op_new(cs_op_id(s), FG_OP_GET, CS_HEAD_KEY);
	else if (sn->phase == CS_SNAP_PARTS)
		op = part_op(s);
	else if (sn->phase == CS_SNAP_DELETE || sn->phase == CS_SNAP_UNDO)
		op = delete_op(s);
	else
		op = head_op(s);
	sn->op = op->id;
	sn->asked = s->now;
	cs_table(s, op);
}

/* ---- Results ---- */

static void snap_failed(struct fg_confsync *s)
{
	struct cs_snap *sn = &s->snap;

	sn->retry_at = s->now + CS_RETRY_MS;
	if (++sn->failures > FAILURES_MAX)
		cs_snap_drop(s);
}

/* Another instance claimed meanwhile. It has deleted our parts, but perhaps
 * before the last of them was written. */
static void undo_parts(struct cs_snap *sn)
{
	sn->phase = CS_SNAP_UNDO;
	sn->next_doomed = 0;
	g_ptr_array_set_size(sn->doomed, 0);
	doom_parts(sn->doomed, sn->revision, sn->parts->len);
}

/* Another instance may have claimed or published meanwhile. A draft of just
 * this revision is our own: one instance alone stored it. */
static void snap_head_read(struct fg_confsync *s,
			   const struct fg_table_result *res)
{
	struct cs_snap *sn = &s->snap;

	if (!cs_head_read(&sn->head, res, NULL)) {
		cs_snap_drop(s);
		return;
	}
	sn->reading = false;
	if (sn->head.snapshot == sn->revision ||
	    sn->head.old_snapshot == sn->revision)
		cs_snap_drop(s);
	else if (sn->phase == CS_SNAP_CLAIM &&
		 (sn->head.snapshot > sn->revision ||
		  sn->head.draft > sn->revision))
		cs_snap_drop(s);
	else if (sn->phase == CS_SNAP_PUBLISH && sn->head.draft != sn->revision)
		undo_parts(sn);
}

static void snap_next_phase(struct fg_confsync *s)
{
	struct cs_snap *sn = &s->snap;

	switch (sn->phase) {
	case CS_SNAP_CLAIM:
		sn->phase = CS_SNAP_PARTS;
		return;
	case CS_SNAP_PARTS:
		sn->next_part++;
		if (sn->next_part < sn->parts->len)
			return;
		sn->phase = CS_SNAP_DELETE;
		break;
	case CS_SNAP_DELETE:
	case CS_SNAP_UNDO:
		sn->next_doomed += FG_TXN_MAX;
		break;
	case CS_SNAP_IDLE:
	case CS_SNAP_PUBLISH:
		cs_snap_drop(s);
		return;
	}
	if (sn->next_doomed < sn->doomed->len)
		return;
	if (sn->phase == CS_SNAP_UNDO) {
		cs_snap_drop(s);
		return;
	}
	sn->phase = CS_SNAP_PUBLISH;
	sn->reading = true;
}

bool cs_snap_result(struct fg_confsync *s, const struct fg_table_result *res)
{
	struct cs_snap *sn = &s->snap;
	bool head = sn->phase == CS_SNAP_CLAIM || sn->phase == CS_SNAP_PUBLISH;

	if (sn->op == 0 || res->id != sn->op)
		return false;
	sn->op = 0;
	if (sn->reading &&
	    (res->result == FG_PF_OK || res->result == FG_PF_ABSENT)) {
		snap_head_read(s, res);
		return true;
	}
	if (!sn->reading && res->result == FG_PF_OK) {
		sn->failures = 0;
		snap_next_phase(s);
		return true;
	}
	/* The head may have changed, or the lost write taken effect. */
	if (head)
		sn->reading = true;
	snap_failed(s);
	return true;
}
