/*
 * Reads the table: the head every poll_ms, then the deltas or the snapshot up
 * to the head's revision. One operation is in flight at a time.
 */
#include <string.h>

#include "config/fg_confsync_priv.h"

/* With fewer deltas missing, each is read by its key instead of by a scan. */
#define SCAN_MIN_DELTAS 4

static uint64_t revision(const struct fg_confsync *s)
{
	return fg_config_revision(s->c);
}

bool cs_is_table_healthy(const struct fg_confsync *s)
{
	return s->fetch.failures == 0 &&
	       (s->head_known || s->fetch.polled_at != CS_NEVER);
}

/* ---- Reads ---- */

static void send_read(struct fg_confsync *s, enum cs_fetch_type type,
		      enum fg_op_kind kind, const char *key)
{
	struct fg_table_op *op = fg_table_op_new(cs_next_op_id(s), kind, key);

	s->fetch.type = type;
	s->fetch.sent_at = s->now;
	s->fetch.op = op->id;
	cs_send_op(s, op);
}

static void read_head(struct fg_confsync *s)
{
	uint32_t poll_ms = s->conf.poll_ms;

	s->fetch.head_wanted = false;
	s->fetch.polled_at = s->now;
	/* Up to a tenth less than poll_ms, at random: instances must not read
	 * at the same time. */
	s->fetch.poll_gap_ms =
		poll_ms - poll_ms / 10 +
		(uint32_t)fg_rand_below(&s->rand, poll_ms / 10 + 1);
	send_read(s, CS_FETCH_HEAD, FG_OP_GET, CS_HEAD_KEY);
}

static bool needs_snapshot(const struct fg_confsync *s)
{
	const struct cs_head *h = &s->head;

	if (h->snapshot <= revision(s))
		return false;
	return s->fetch.delta_missing || revision(s) + 1 < h->deltas_from ||
	       h->revision - revision(s) > s->conf.snapshot_every;
}

static void read_part(struct fg_confsync *s)
{
	struct cs_fetch *f = &s->fetch;
	char key[FG_ROW_KEY_MAX];

	if (f->loader == NULL || f->loader_revision != s->head.snapshot) {
		fg_config_loader_free(f->loader);
		f->loader = fg_config_loader_new();
		f->loader_revision = s->head.snapshot;
	}
	cs_format_part_key(key, f->loader_revision,
			   fg_config_loader_next_part(f->loader));
	send_read(s, CS_FETCH_PART, FG_OP_GET, key);
}

static void read_deltas(struct fg_confsync *s)
{
	char key[FG_ROW_KEY_MAX];
	uint64_t next = revision(s) + 1;

	if (s->head.revision - revision(s) >= SCAN_MIN_DELTAS) {
		cs_format_block_prefix(key, next);
		send_read(s, CS_FETCH_BLOCK, FG_OP_SCAN, key);
		return;
	}
	cs_format_rev_key(key, next);
	send_read(s, CS_FETCH_DELTA, FG_OP_GET, key);
}

static bool is_head_read_due(const struct fg_confsync *s)
{
	const struct cs_fetch *f = &s->fetch;

	return f->head_wanted || f->polled_at == CS_NEVER ||
	       s->now - f->polled_at >= f->poll_gap_ms;
}

void cs_fetch_step(struct fg_confsync *s)
{
	struct cs_fetch *f = &s->fetch;

	if (f->op != 0 && s->now - f->sent_at < CS_OP_TIMEOUT_MS)
		return;
	if (s->now < f->retry_at)
		return;
	if (s->head_known && s->head.revision <= revision(s)) {
		cs_drop_loader(&f->loader);
		f->delta_missing = false;
	}
	if (!s->head_known || s->head.revision <= revision(s)) {
		if (is_head_read_due(s))
			read_head(s);
		return;
	}
	if (needs_snapshot(s))
		read_part(s);
	else
		read_deltas(s);
}

/* ---- Results ---- */

static void record_failure(struct fg_confsync *s, uint32_t wait_ms)
{
	s->fetch.failures++;
	s->fetch.retry_at = s->now + wait_ms;
}

/* Called when a row named by the head is missing: the head has changed since
 * it was read. */
static void invalidate_head(struct fg_confsync *s)
{
	s->head_known = false;
	s->fetch.head_wanted = true;
	s->fetch.retry_at = s->now + CS_RETRY_MS;
}

static void on_head(struct fg_confsync *s, const struct fg_table_result *res)
{
	g_autoptr(GError) error = NULL;
	struct cs_head h;

	if (!cs_parse_head(&h, res, &error)) {
		cs_set_fault(s, CS_HEAD_KEY, error);
		record_failure(s, CS_INVALID_ROW_RETRY_MS);
		return;
	}
	s->head = h;
	s->head_known = true;
	s->head_read_at = s->fetch.sent_at;
	if (h.revision <= revision(s))
		cs_set_confirmed_at(s, s->head_read_at);
}

/* Confirms the revision as of the head's read once it has been reached. */
static void confirm_if_caught_up(struct fg_confsync *s)
{
	if (s->head_known && revision(s) >= s->head.revision)
		cs_set_confirmed_at(s, s->head_read_at);
}

static bool apply_row(struct fg_confsync *s, const struct fg_row *row)
{
	if (cs_apply_delta(s, row->key, row->value))
		return true;
	record_failure(s, CS_INVALID_ROW_RETRY_MS);
	return false;
}

/* Returns the row of the next revision in a result, NULL when absent. */
static const struct fg_row *find_next_row(const struct fg_confsync *s,
					  const struct fg_table_result *res)
{
	char key[FG_ROW_KEY_MAX];

	cs_format_rev_key(key, revision(s) + 1);
	for (size_t i = 0; i < res->n_rows; i++)
		if (strcmp(res->rows[i].key, key) == 0 &&
		    res->rows[i].value != NULL)
			return &res->rows[i];
	return NULL;
}

static void on_deltas(struct fg_confsync *s, const struct fg_table_result *res)
{
	const struct fg_row *row = find_next_row(s, res);

	if (row == NULL && s->head.revision > revision(s)) {
		/* The delta was deleted, or peers sent newer ones during the
		 * read. */
		s->fetch.delta_missing = s->head.snapshot > revision(s);
		invalidate_head(s);
		return;
	}
	while (row != NULL && apply_row(s, row))
		row = find_next_row(s, res);
	confirm_if_caught_up(s);
}

static void on_part(struct fg_confsync *s, const struct fg_table_result *res)
{
	struct cs_fetch *f = &s->fetch;
	g_autoptr(GError) error = NULL;

	if (res->n_rows != 1 || res->rows[0].value == NULL) {
		cs_drop_loader(&f->loader);
		invalidate_head(s);
		return;
	}
	if (!fg_config_loader_add_part(f->loader, res->rows[0].value, &error)) {
		cs_set_fault(s, res->rows[0].key, error);
		cs_drop_loader(&f->loader);
		record_failure(s, CS_INVALID_ROW_RETRY_MS);
		return;
	}
	if (!fg_config_loader_is_complete(f->loader))
		return;
	cs_finish_loader(s, &f->loader);
	f->delta_missing = false;
	confirm_if_caught_up(s);
}

bool cs_fetch_on_result(struct fg_confsync *s,
			const struct fg_table_result *res)
{
	struct cs_fetch *f = &s->fetch;

	if (f->op == 0 || res->id != f->op)
		return false;
	f->op = 0;
	if (res->result != FG_PF_OK && res->result != FG_PF_ABSENT) {
		record_failure(s, CS_RETRY_MS);
		return true;
	}
	f->failures = 0;
	if (f->type == CS_FETCH_HEAD)
		on_head(s, res);
	else if (f->type == CS_FETCH_PART)
		on_part(s, res);
	else
		on_deltas(s, res);
	return true;
}
