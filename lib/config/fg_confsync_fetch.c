/*
 * Reading from the table: the head every poll_ms, then the deltas or the
 * snapshot that are missing. One call at a time is outstanding.
 */
#include <string.h>

#include "config/fg_confsync_priv.h"

/* From this many missing deltas on, a scan reads a block of them at once. */
#define SCAN_FROM 4

static uint64_t revision(const struct fg_confsync *s)
{
	return fg_config_revision(s->c);
}

bool cs_table_healthy(const struct fg_confsync *s)
{
	return s->fetch.failures == 0 &&
	       (s->head_known || s->fetch.polled != CS_NEVER);
}

/* ---- Asking ---- */

static void ask(struct fg_confsync *s, enum cs_fetch_what what,
		enum fg_op_kind kind, const char *key)
{
	struct fg_table_op *op = fg_table_op_new(cs_op_id(s), kind, key);

	s->fetch.what = what;
	s->fetch.asked = s->now;
	s->fetch.op = op->id;
	cs_table(s, op);
}

static void ask_head(struct fg_confsync *s)
{
	uint32_t poll_ms = s->conf.poll_ms;

	s->fetch.want_head = false;
	s->fetch.polled = s->now;
	/* Spread over a tenth, so that instances do not read in step. */
	s->fetch.poll_gap_ms =
		poll_ms - poll_ms / 10 +
		(uint32_t)fg_rand_below(&s->rand, poll_ms / 10 + 1);
	ask(s, CS_FETCH_HEAD, FG_OP_GET, CS_HEAD_KEY);
}

static bool wants_snapshot(const struct fg_confsync *s)
{
	const struct cs_head *h = &s->head;

	if (h->snapshot <= revision(s))
		return false;
	return s->fetch.delta_absent || revision(s) + 1 < h->deltas_from ||
	       h->revision - revision(s) > s->conf.snapshot_every;
}

static void ask_part(struct fg_confsync *s)
{
	struct cs_fetch *f = &s->fetch;
	char key[FG_ROW_KEY_MAX];

	if (f->load == NULL || f->load_revision != s->head.snapshot) {
		fg_config_loader_free(f->load);
		f->load = fg_config_loader_new();
		f->load_revision = s->head.snapshot;
	}
	cs_part_key(key, f->load_revision, fg_config_loader_next_part(f->load));
	ask(s, CS_FETCH_PART, FG_OP_GET, key);
}

static void ask_deltas(struct fg_confsync *s)
{
	char key[FG_ROW_KEY_MAX];
	uint64_t next = revision(s) + 1;

	if (s->head.revision - revision(s) >= SCAN_FROM) {
		cs_block_prefix(key, next);
		ask(s, CS_FETCH_BLOCK, FG_OP_SCAN, key);
		return;
	}
	cs_rev_key(key, next);
	ask(s, CS_FETCH_DELTA, FG_OP_GET, key);
}

static bool head_due(const struct fg_confsync *s)
{
	const struct cs_fetch *f = &s->fetch;

	return f->want_head || f->polled == CS_NEVER ||
	       s->now - f->polled >= f->poll_gap_ms;
}

void cs_fetch_step(struct fg_confsync *s)
{
	struct cs_fetch *f = &s->fetch;

	if (f->op != 0 && s->now - f->asked < CS_OP_LOST_MS)
		return;
	if (s->now < f->retry_at)
		return;
	if (s->head_known && s->head.revision <= revision(s)) {
		cs_drop_load(&f->load);
		f->delta_absent = false;
	}
	if (!s->head_known || s->head.revision <= revision(s)) {
		if (head_due(s))
			ask_head(s);
		return;
	}
	if (wants_snapshot(s))
		ask_part(s);
	else
		ask_deltas(s);
}

/* ---- Results ---- */

static void fetch_failed(struct fg_confsync *s, uint32_t wait_ms)
{
	s->fetch.failures++;
	s->fetch.retry_at = s->now + wait_ms;
}

/* A row that should be there is not: the head has moved on meanwhile. */
static void read_head_again(struct fg_confsync *s)
{
	s->head_known = false;
	s->fetch.want_head = true;
	s->fetch.retry_at = s->now + CS_RETRY_MS;
}

static void got_head(struct fg_confsync *s, const struct fg_table_result *res)
{
	g_autoptr(GError) error = NULL;
	struct cs_head h;

	if (!cs_head_read(&h, res, &error)) {
		cs_set_fault(s, CS_HEAD_KEY, error);
		fetch_failed(s, CS_FAULT_RETRY_MS);
		return;
	}
	s->head = h;
	s->head_known = true;
	s->head_asked = s->fetch.asked;
	if (h.revision <= revision(s))
		cs_confirm(s, s->head_asked);
}

/* Once all that the head named is in force, the head's age is ours. */
static void caught_up(struct fg_confsync *s)
{
	if (s->head_known && revision(s) >= s->head.revision)
		cs_confirm(s, s->head_asked);
}

static bool take_row(struct fg_confsync *s, const struct fg_row *row)
{
	if (cs_apply(s, row->key, row->value))
		return true;
	fetch_failed(s, CS_FAULT_RETRY_MS);
	return false;
}

/* The row of the next revision in a result; NULL when it is not there. */
static const struct fg_row *next_row(const struct fg_confsync *s,
				     const struct fg_table_result *res)
{
	char key[FG_ROW_KEY_MAX];

	cs_rev_key(key, revision(s) + 1);
	for (size_t i = 0; i < res->n_rows; i++)
		if (strcmp(res->rows[i].key, key) == 0 &&
		    res->rows[i].value != NULL)
			return &res->rows[i];
	return NULL;
}

static void got_deltas(struct fg_confsync *s, const struct fg_table_result *res)
{
	const struct fg_row *row = next_row(s, res);

	if (row == NULL && s->head.revision > revision(s)) {
		/* Deleted, or learnt from a peer while this was read. */
		s->fetch.delta_absent = s->head.snapshot > revision(s);
		read_head_again(s);
		return;
	}
	while (row != NULL && take_row(s, row))
		row = next_row(s, res);
	caught_up(s);
}

static void got_part(struct fg_confsync *s, const struct fg_table_result *res)
{
	struct cs_fetch *f = &s->fetch;
	g_autoptr(GError) error = NULL;

	if (res->n_rows != 1 || res->rows[0].value == NULL) {
		cs_drop_load(&f->load);
		read_head_again(s);
		return;
	}
	if (!fg_config_loader_add_part(f->load, res->rows[0].value, &error)) {
		cs_set_fault(s, res->rows[0].key, error);
		cs_drop_load(&f->load);
		fetch_failed(s, CS_FAULT_RETRY_MS);
		return;
	}
	if (!fg_config_loader_is_complete(f->load))
		return;
	cs_finish_load(s, &f->load);
	f->delta_absent = false;
	caught_up(s);
}

bool cs_fetch_result(struct fg_confsync *s, const struct fg_table_result *res)
{
	struct cs_fetch *f = &s->fetch;

	if (f->op == 0 || res->id != f->op)
		return false;
	f->op = 0;
	if (res->result != FG_PF_OK && res->result != FG_PF_ABSENT) {
		fetch_failed(s, CS_RETRY_MS);
		return true;
	}
	f->failures = 0;
	if (f->what == CS_FETCH_HEAD)
		got_head(s, res);
	else if (f->what == CS_FETCH_PART)
		got_part(s, res);
	else
		got_deltas(s, res);
	return true;
}
