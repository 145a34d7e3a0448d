/* Table operations, scans, and applying rows that were read. */
#include <string.h>

#include "owner/fg_owner_internal.h"

#define ROW_BYTES 150 /* approximate size of an owner row in a scan */
#define SCAN_RETRY_MS 1000
#define READS_MAX 8 /* single reads sent in one tick */
#define ROW_KEY_BYTES (sizeof(FG_OWNER_PREFIX) + 16)

struct fg_table_op *fg_owner_new_op(struct fg_owner *o, enum fg_op_kind kind,
				    const char *key)
{
	o->next_op++;
	return fg_table_op_new(FG_OWNER_OP_ID_TAG | o->next_op, kind, key);
}

void fg_owner_submit_op(struct fg_owner *o, fg_ms now, struct fg_table_op *op,
			const struct fg_owner_inflight *inflight)
{
	struct fg_owner_inflight *copy = g_memdup2(inflight, sizeof(*inflight));
	struct fg_owner_act act = { .type = FG_OA_TABLE, .op = op };

	copy->sent_at = now;
	copy->epoch = fg_member_epoch(o->member);
	g_hash_table_insert(o->ops, g_memdup2(&op->id, sizeof(op->id)), copy);
	o->emit(o->arg, &act);
}

void fg_owner_format_row_key(uint64_t key, char *out, size_t len_bytes)
{
	g_snprintf(out, (gulong)len_bytes, FG_OWNER_PREFIX "%016" PRIx64, key);
}

void fg_owner_add_write(struct fg_table_op *op,
			struct fg_owner_inflight *inflight,
			struct fg_own_key *k, uint64_t owner, uint64_t fence)
{
	struct fg_owner_row row = { .owner = owner,
				    .fence = fence,
				    .n_intents = k->n_intents };
	char name[ROW_KEY_BYTES];
	char *value;

	g_assert(inflight->n < FG_TXN_MAX && !k->op_in_flight);
	for (size_t i = 0; i < k->n_intents; i++)
		row.intents[i] = k->intents[i].intent;
	fg_owner_format_row_key(k->key, name, sizeof(name));
	value = fg_owner_row_encode(&row);
	fg_table_op_add_write(op, name, k->row_version, value);
	g_free(value);
	inflight->keys[inflight->n++] = k->key;
	k->op_in_flight = true;
}

/* ---- Rows ---- */

static void set_intents(struct fg_own_key *k, const struct fg_owner_row *row)
{
	g_free(k->intents);
	k->intents = NULL;
	k->n_intents = row->n_intents;
	if (row->n_intents > 0)
		k->intents = g_new0(struct fg_own_intent, row->n_intents);
	for (size_t i = 0; i < row->n_intents; i++) {
		k->intents[i].intent = row->intents[i];
		k->intents[i].state = FG_INTENT_STORED;
	}
}

/* Applies a row that this instance does not own. */
static void apply_foreign_row(struct fg_owner *o, fg_ms now,
			      struct fg_own_key *k, uint64_t version,
			      const struct fg_owner_row *row)
{
	uint64_t prev_owner = k->owner;

	if (version != k->row_version || k->known_since == 0)
		k->known_since = now;
	k->row_version = version;
	k->owner = row->owner;
	if (row->fence > k->fence)
		k->fence = row->fence;
	k->from_hint = false;
	k->state = row->owner == 0 ? FG_OWN_FREE : FG_OWN_OTHER;
	set_intents(k, row);
	if (prev_owner != k->owner)
		fg_owner_emit_act(o, FG_OA_CHANGED, k);
}

/* Applies a row that shows that this instance still owns k. */
static void confirm_own_row(struct fg_owner *o, fg_ms now, struct fg_own_key *k,
			    uint64_t version, const struct fg_owner_row *row)
{
	k->row_version = version;
	k->known_since = now;
	fg_owner_resolve_intents(o, now, k, row);
}

static void apply_parsed_row(struct fg_owner *o, fg_ms now,
			     struct fg_own_key *k, uint64_t version,
			     const struct fg_owner_row *row)
{
	bool self = row->owner == o->conf.self;

	if (k->state == FG_OWN_CLAIMING && self &&
	    row->fence == k->claim_fence) {
		set_intents(k, row);
		fg_owner_apply_claim(o, now, k, version, k->claim_epoch);
		return;
	}
	if (k->state == FG_OWN_RELEASING && row->owner == 0 &&
	    row->fence == k->fence) {
		fg_owner_apply_release(o, now, k, version);
		return;
	}
	if ((k->state == FG_OWN_MINE || k->state == FG_OWN_RELEASING) && self &&
	    row->fence == k->fence) {
		confirm_own_row(o, now, k, version, row);
		return;
	}
	if (k->state == FG_OWN_MINE || k->state == FG_OWN_RELEASING)
		fg_owner_lose_key(o, k);
	apply_foreign_row(o, now, k, version, row);
}

void fg_owner_apply_row(struct fg_owner *o, fg_ms now, struct fg_own_key *k,
			const struct fg_row *row)
{
	struct fg_owner_row parsed = { 0 };
	uint64_t version = 0;

	if (row != NULL && row->value != NULL) {
		if (row->row_version < k->row_version ||
		    !fg_owner_row_decode(row->value, &parsed)) {
			/* The read is outdated, or the row is not valid. */
			if (k->state == FG_OWN_CLAIMING)
				k->state = FG_OWN_OTHER;
			return;
		}
		version = row->row_version;
	}
	apply_parsed_row(o, now, k, version, &parsed);
}

bool fg_owner_apply_conflict(struct fg_owner *o, fg_ms now,
			     struct fg_own_key *k,
			     const struct fg_table_result *res)
{
	char name[ROW_KEY_BYTES];

	fg_owner_format_row_key(k->key, name, sizeof(name));
	if (res->n_rows == 0) {
		k->read_due = true;
		o->work_due = true;
		return true;
	}
	if (strcmp(res->rows[0].key, name) != 0)
		return false;
	fg_owner_apply_row(o, now, k, &res->rows[0]);
	return true;
}

/* ---- Scans ---- */

static uint32_t scan_interval_ms(const struct fg_owner *o)
{
	uint64_t ms = (uint64_t)o->scan_rows * ROW_BYTES * FG_MS_PER_S /
		      FG_OWNER_SCAN_BYTES_PER_S;

	return (uint32_t)MAX(ms, o->conf.scan_ms);
}

void fg_owner_scan_tick(struct fg_owner *o, fg_ms now)
{
	struct fg_owner_inflight inflight = { .kind = FG_OWNER_OP_SCAN };

	if (o->scan_in_flight || now < o->next_scan_at)
		return;
	o->scan_in_flight = true;
	o->scan_number++;
	o->next_scan_at = now + scan_interval_ms(o);
	fg_owner_submit_op(o, now,
			   fg_owner_new_op(o, FG_OP_SCAN, FG_OWNER_PREFIX),
			   &inflight);
}

static void apply_scanned_row(struct fg_owner *o, fg_ms now,
			      const struct fg_row *row)
{
	struct fg_own_key *k;
	guint64 key;

	if (!g_str_has_prefix(row->key, FG_OWNER_PREFIX) ||
	    !g_ascii_string_to_unsigned(row->key + strlen(FG_OWNER_PREFIX), 16,
					0, UINT64_MAX, &key, NULL))
		return;
	k = fg_owner_find_key(o, key);
	if (k == NULL)
		return;
	k->last_scan = o->scan_number;
	/* While an operation on the row is in flight, its result decides. */
	if (!k->op_in_flight && row->row_version > k->row_version)
		fg_owner_apply_row(o, now, k, row);
}

static void apply_missing_rows(struct fg_owner *o, fg_ms now, fg_ms sent_at)
{
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, o->keys);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct fg_own_key *k = value;

		if (k->last_scan != o->scan_number && !k->op_in_flight &&
		    k->row_version != 0 && k->known_since < sent_at)
			fg_owner_apply_row(o, now, k, NULL);
	}
}

static void on_scan_result(struct fg_owner *o, fg_ms now,
			   const struct fg_owner_inflight *inflight,
			   const struct fg_table_result *res)
{
	o->scan_in_flight = false;
	if (res->result != FG_PF_OK) {
		o->next_scan_at = MIN(o->next_scan_at, now + SCAN_RETRY_MS);
		return;
	}
	o->scan_done = true;
	o->scan_rows = res->n_rows;
	for (size_t i = 0; i < res->n_rows; i++)
		apply_scanned_row(o, now, &res->rows[i]);
	apply_missing_rows(o, now, inflight->sent_at);
	o->pass_at = now;
}

/* ---- Single reads ---- */

void fg_owner_read_tick(struct fg_owner *o, fg_ms now)
{
	GHashTableIter it;
	uint32_t sent = 0;
	void *value;

	g_hash_table_iter_init(&it, o->keys);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct fg_own_key *k = value;
		struct fg_owner_inflight inflight = { .kind = FG_OWNER_OP_READ,
						      .n = 1 };
		char name[ROW_KEY_BYTES];

		if (!k->read_due || k->op_in_flight)
			continue;
		if (now < k->retry_at || sent >= READS_MAX) {
			o->work_due = true;
			continue;
		}
		sent++;
		k->op_in_flight = true;
		inflight.keys[0] = k->key;
		fg_owner_format_row_key(k->key, name, sizeof(name));
		fg_owner_submit_op(o, now, fg_owner_new_op(o, FG_OP_GET, name),
				   &inflight);
	}
}

static void on_read_result(struct fg_owner *o, fg_ms now,
			   const struct fg_owner_inflight *inflight,
			   const struct fg_table_result *res)
{
	struct fg_own_key *k = fg_owner_find_key(o, inflight->keys[0]);

	if (k == NULL)
		return;
	k->op_in_flight = false;
	o->work_due = true;
	if (res->result == FG_PF_OK || res->result == FG_PF_ABSENT) {
		k->read_due = false;
		fg_owner_apply_row(o, now, k,
				   res->result == FG_PF_OK && res->n_rows > 0
					   ? &res->rows[0]
					   : NULL);
	} else {
		k->retry_at = now + (fg_ms)o->conf.retry_ms;
	}
}

/* ---- Results ---- */

bool fg_owner_on_table(struct fg_owner *o, fg_ms now,
		       const struct fg_table_result *res, fg_owner_emit emit,
		       void *arg)
{
	struct fg_owner_inflight *inflight =
		g_hash_table_lookup(o->ops, &res->id);
	struct fg_owner_inflight copy;

	if (inflight == NULL)
		return false;
	copy = *inflight;
	g_hash_table_remove(o->ops, &res->id);
	o->emit = emit;
	o->arg = arg;
	switch (copy.kind) {
	case FG_OWNER_OP_SCAN:
		on_scan_result(o, now, &copy, res);
		break;
	case FG_OWNER_OP_READ:
		on_read_result(o, now, &copy, res);
		break;
	case FG_OWNER_OP_CLAIM:
		fg_owner_on_claim_result(o, now, &copy, res);
		break;
	case FG_OWNER_OP_RELEASE:
	case FG_OWNER_OP_INTENTS:
		fg_owner_on_write_result(o, now, &copy, res);
		break;
	case FG_OWNER_OP_DROP:
		break;
	}
	return true;
}
