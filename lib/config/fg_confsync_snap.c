/*
 * Writes snapshots. A snapshot becomes due with a change; the instance that
 * stored the change enters it in the head as draft, writes the parts, deletes
 * obsolete rows and makes the draft the newest snapshot in the head. If that
 * instance dies halfway, the next snapshot replaces the draft and its writer
 * deletes the parts. The previous snapshot is kept for instances that are
 * reading it.
 */
#include <string.h>

#include "config/fg_confsync_priv.h"

#define FAILURES_MAX 20 /* consecutive failures before giving up */

void cs_snap_reset(struct fg_confsync *s)
{
	if (s->snap.parts != NULL)
		g_ptr_array_free(s->snap.parts, TRUE);
	if (s->snap.obsolete_keys != NULL)
		g_ptr_array_free(s->snap.obsolete_keys, TRUE);
	memset(&s->snap, 0, sizeof(s->snap));
}

/* Called after a change of this instance was stored as the newest revision.
 * s->head is the head that the change was based on. */
void cs_snap_start_if_due(struct fg_confsync *s)
{
	const struct cs_head *h = &s->head;
	uint64_t revision = fg_config_revision(s->c);
	uint64_t last = MAX(h->snapshot, h->draft);

	if (s->snap.phase != CS_SNAP_IDLE || revision < last ||
	    revision - last < s->conf.snapshot_every)
		return;
	s->snap.phase = CS_SNAP_CLAIM;
	s->snap.reading_head = true;
	s->snap.revision = revision;
	s->snap.parts = fg_config_snapshot_parts(s->c, CS_PART_MAX_BYTES);
	s->snap.obsolete_keys = g_ptr_array_new_with_free_func(g_free);
	s->snap.retry_at = s->now;
}

/* ---- Writes ---- */

static void add_part_keys(GPtrArray *keys, uint64_t snapshot, uint64_t parts)
{
	char key[FG_ROW_KEY_MAX];

	for (guint i = 0; snapshot != 0 && i < parts; i++) {
		cs_format_part_key(key, snapshot, i);
		g_ptr_array_add(keys, g_strdup(key));
	}
}

/* Lists the deltas up to the snapshot that becomes the previous one, the parts
 * of the snapshot before it, and the parts of a draft that was never published.
 */
static void list_obsolete_rows(struct cs_snap *sn, const struct cs_head *h)
{
	char key[FG_ROW_KEY_MAX];

	g_ptr_array_set_size(sn->obsolete_keys, 0);
	add_part_keys(sn->obsolete_keys, h->old_snapshot, h->old_parts);
	if (h->draft != h->snapshot && h->draft != sn->revision)
		add_part_keys(sn->obsolete_keys, h->draft, h->draft_parts);
	for (uint64_t r = h->deltas_from; r <= h->snapshot; r++) {
		cs_format_rev_key(key, r);
		g_ptr_array_add(sn->obsolete_keys, g_strdup(key));
	}
}

static struct fg_table_op *new_head_op(struct fg_confsync *s)
{
	struct cs_snap *sn = &s->snap;
	struct fg_table_op *op =
		fg_table_op_new(cs_next_op_id(s), FG_OP_TXN, NULL);
	struct cs_head next = sn->head;
	g_autofree char *text = NULL;

	if (sn->phase == CS_SNAP_CLAIM) {
		list_obsolete_rows(sn, &sn->head);
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
	text = cs_format_head(&next);
	fg_table_op_add_write(op, CS_HEAD_KEY, sn->head.row_version, text);
	return op;
}

static struct fg_table_op *new_part_op(struct fg_confsync *s)
{
	struct cs_snap *sn = &s->snap;
	struct fg_table_op *op =
		fg_table_op_new(cs_next_op_id(s), FG_OP_TXN, NULL);
	char key[FG_ROW_KEY_MAX];

	cs_format_part_key(key, sn->revision, sn->next_part);
	fg_table_op_add_write(op, key, FG_ANY_VERSION,
			      g_ptr_array_index(sn->parts, sn->next_part));
	return op;
}

static struct fg_table_op *new_delete_op(struct fg_confsync *s)
{
	struct cs_snap *sn = &s->snap;
	struct fg_table_op *op =
		fg_table_op_new(cs_next_op_id(s), FG_OP_TXN, NULL);
	guint end = MIN(sn->next_obsolete + FG_TXN_MAX, sn->obsolete_keys->len);

	for (guint i = sn->next_obsolete; i < end; i++)
		fg_table_op_add_write(op,
				      g_ptr_array_index(sn->obsolete_keys, i),
				      FG_ANY_VERSION, NULL);
	return op;
}

void cs_snap_step(struct fg_confsync *s)
{
	struct cs_snap *sn = &s->snap;
	struct fg_table_op *op;

	if (sn->phase == CS_SNAP_IDLE || s->now < sn->retry_at)
		return;
	if (sn->op != 0 && s->now - sn->sent_at < CS_OP_TIMEOUT_MS)
		return;
	if (sn->reading_head)
		op = fg_table_op_new(cs_next_op_id(s), FG_OP_GET, CS_HEAD_KEY);
	else if (sn->phase == CS_SNAP_WRITE_PARTS)
		op = new_part_op(s);
	else if (sn->phase == CS_SNAP_DELETE || sn->phase == CS_SNAP_DISCARD)
		op = new_delete_op(s);
	else
		op = new_head_op(s);
	sn->op = op->id;
	sn->sent_at = s->now;
	cs_send_op(s, op);
}

/* ---- Results ---- */

static void on_failure(struct fg_confsync *s)
{
	struct cs_snap *sn = &s->snap;

	sn->retry_at = s->now + CS_RETRY_MS;
	if (++sn->failures > FAILURES_MAX)
		cs_snap_reset(s);
}

/* Deletes the parts written here after another instance replaced the draft.
 * That instance deleted them too, but perhaps before the last was written. */
static void discard_parts(struct cs_snap *sn)
{
	sn->phase = CS_SNAP_DISCARD;
	sn->next_obsolete = 0;
	g_ptr_array_set_size(sn->obsolete_keys, 0);
	add_part_keys(sn->obsolete_keys, sn->revision, sn->parts->len);
}

/* Another instance may have replaced the draft or published a snapshot since
 * the last read. A draft of sn->revision is always from this instance, since
 * only the instance that stored a revision drafts its snapshot. */
static void on_head_read(struct fg_confsync *s,
			 const struct fg_table_result *res)
{
	struct cs_snap *sn = &s->snap;

	if (!cs_parse_head(&sn->head, res, NULL)) {
		cs_snap_reset(s);
		return;
	}
	sn->reading_head = false;
	if (sn->head.snapshot == sn->revision ||
	    sn->head.old_snapshot == sn->revision)
		cs_snap_reset(s);
	else if (sn->phase == CS_SNAP_CLAIM &&
		 (sn->head.snapshot > sn->revision ||
		  sn->head.draft > sn->revision))
		cs_snap_reset(s);
	else if (sn->phase == CS_SNAP_PUBLISH && sn->head.draft != sn->revision)
		discard_parts(sn);
}

static void next_phase(struct fg_confsync *s)
{
	struct cs_snap *sn = &s->snap;

	switch (sn->phase) {
	case CS_SNAP_CLAIM:
		sn->phase = CS_SNAP_WRITE_PARTS;
		return;
	case CS_SNAP_WRITE_PARTS:
		sn->next_part++;
		if (sn->next_part < sn->parts->len)
			return;
		sn->phase = CS_SNAP_DELETE;
		break;
	case CS_SNAP_DELETE:
	case CS_SNAP_DISCARD:
		sn->next_obsolete += FG_TXN_MAX;
		break;
	case CS_SNAP_IDLE:
	case CS_SNAP_PUBLISH:
		cs_snap_reset(s);
		return;
	}
	if (sn->next_obsolete < sn->obsolete_keys->len)
		return;
	if (sn->phase == CS_SNAP_DISCARD) {
		cs_snap_reset(s);
		return;
	}
	sn->phase = CS_SNAP_PUBLISH;
	sn->reading_head = true;
}

bool cs_snap_on_result(struct fg_confsync *s, const struct fg_table_result *res)
{
	struct cs_snap *sn = &s->snap;
	bool writes_head =
		sn->phase == CS_SNAP_CLAIM || sn->phase == CS_SNAP_PUBLISH;

	if (sn->op == 0 || res->id != sn->op)
		return false;
	sn->op = 0;
	if (sn->reading_head &&
	    (res->result == FG_PF_OK || res->result == FG_PF_ABSENT)) {
		on_head_read(s, res);
		return true;
	}
	if (!sn->reading_head && res->result == FG_PF_OK) {
		sn->failures = 0;
		next_phase(s);
		return true;
	}
	/* The head may have changed, or the write whose answer was lost may
	 * have taken effect: read the head before writing it again. */
	if (writes_head)
		sn->reading_head = true;
	on_failure(s);
	return true;
}
