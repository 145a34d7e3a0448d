/* Operations on the table, scans, and rows as they are read. */
#include <string.h>

#include "owner/fg_owner_internal.h"

#define ROW_BYTES 150 /* of one owner row in an answer, about */
#define SCAN_RETRY_MS 1000
#define READS_MAX 8 /* single reads sent in one tick */
#define KEY_BYTES (sizeof(FG_OWNER_PREFIX) + 16)

struct fg_table_op *fg_owner_op(struct fg_owner *o, enum fg_op_kind kind,
				const char *key)
{
	o->next_op++;
	return fg_table_op_new(FG_OWNER_OP_TAG | o->next_op, kind, key);
}

void fg_owner_submit(struct fg_owner *o, fg_ms now, struct fg_table_op *op,
		     const struct fg_oop *oop)
{
	struct fg_oop *copy = g_memdup2(oop, sizeof(*oop));
	struct fg_owner_act act = { .type = FG_OA_TABLE, .op = op };

	copy->sent_at = now;
	copy->epoch = fg_member_epoch(o->member);
	g_hash_table_insert(o->ops, g_memdup2(&op->id, sizeof(op->id)), copy);
	o->emit(o->arg, &act);
}

void fg_owner_key_name(uint64_t key, char *out, size_t len_bytes)
{
	g_snprintf(out, (gulong)len_bytes, FG_OWNER_PREFIX "%016" PRIx64, key);
}

void fg_owner_add_write(struct fg_table_op *op, struct fg_oop *oop,
			struct fg_own_key *k, uint64_t owner, uint64_t fence)
{
	struct fg_owner_row row = { .owner = owner,
				    .fence = fence,
				    .n_intents = k->n_intents };
	char name[KEY_BYTES];
	char *value;

	g_assert(oop->n < FG_TXN_MAX && !k->busy);
	for (size_t i = 0; i < k->n_intents; i++)
		row.intents[i] = k->intents[i].in;
	fg_owner_key_name(k->key, name, sizeof(name));
	value = fg_owner_row_encode(&row);
	fg_table_op_write(op, name, k->row_version, value);
	g_free(value);
	oop->keys[oop->n++] = k->key;
	k->busy = true;
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
		k->intents[i].in = row->intents[i];
		k->intents[i].step = FG_INTENT_STORED;
	}
}

/* Takes in a row that is not ours. */
static void set_foreign(struct fg_owner *o, fg_ms now, struct fg_own_key *k,
			uint64_t version, const struct fg_owner_row *row)
{
	uint64_t before = k->owner;

	if (version != k->row_version || k->learnt_at == 0)
		k->learnt_at = now;
	k->row_version = version;
	k->owner = row->owner;
	if (row->fence > k->fence)
		k->fence = row->fence;
	k->hinted = false;
	k->state = row->owner == 0 ? FG_OWN_FREE : FG_OWN_OTHER;
	set_intents(k, row);
	if (before != k->owner)
		fg_owner_emit_act(o, FG_OA_CHANGED, k);
}

/* Our row: `row` says that it still is. */
static void confirm_own(struct fg_owner *o, fg_ms now, struct fg_own_key *k,
			uint64_t version, const struct fg_owner_row *row)
{
	k->row_version = version;
	k->learnt_at = now;
	fg_owner_intents_found(o, now, k, row);
}

static void row_known(struct fg_owner *o, fg_ms now, struct fg_own_key *k,
		      uint64_t version, const struct fg_owner_row *row)
{
	bool self = row->owner == o->conf.self;

	if (k->state == FG_OWN_CLAIMING && self &&
	    row->fence == k->claim_fence) {
		set_intents(k, row);
		fg_owner_claim_won(o, now, k, version, k->epoch);
		return;
	}
	if (k->state == FG_OWN_RELEASING && row->owner == 0 &&
	    row->fence == k->fence) {
		fg_owner_released(o, now, k, version);
		return;
	}
	if ((k->state == FG_OWN_MINE || k->state == FG_OWN_RELEASING) && self &&
	    row->fence == k->fence) {
		confirm_own(o, now, k, version, row);
		return;
	}
	if (k->state == FG_OWN_MINE || k->state == FG_OWN_RELEASING)
		fg_owner_lose(o, k);
	set_foreign(o, now, k, version, row);
}

void fg_owner_row_read(struct fg_owner *o, fg_ms now, struct fg_own_key *k,
		       const struct fg_row *row)
{
	struct fg_owner_row parsed = { 0 };
	uint64_t version = 0;

	if (row != NULL && row->value != NULL) {
		if (row->row_version < k->row_version ||
		    !fg_owner_row_decode(row->value, &parsed)) {
			/* An older read, or nothing that we understand. */
			if (k->state == FG_OWN_CLAIMING)
				k->state = FG_OWN_OTHER;
			return;
		}
		version = row->row_version;
	}
	row_known(o, now, k, version, &parsed);
}

bool fg_owner_in_the_way(struct fg_owner *o, fg_ms now, struct fg_own_key *k,
			 const struct fg_table_result *res)
{
	char name[KEY_BYTES];

	fg_owner_key_name(k->key, name, sizeof(name));
	if (res->n_rows == 0) {
		k->read_due = true;
		o->work_due = true;
		return true;
	}
	if (strcmp(res->rows[0].key, name) != 0)
		return false;
	fg_owner_row_read(o, now, k, &res->rows[0]);
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
	struct fg_oop oop = { .kind = FG_OOP_SCAN };

	if (o->scan_busy || now < o->scan_at)
		return;
	o->scan_busy = true;
	o->scan++;
	o->scan_at = now + scan_interval_ms(o);
	fg_owner_submit(o, now, fg_owner_op(o, FG_OP_SCAN, FG_OWNER_PREFIX),
			&oop);
}

static void scanned_row(struct fg_owner *o, fg_ms now, const struct fg_row *row)
{
	struct fg_own_key *k;
	guint64 key;

	if (!g_str_has_prefix(row->key, FG_OWNER_PREFIX) ||
	    !g_ascii_string_to_unsigned(row->key + strlen(FG_OWNER_PREFIX), 16,
					0, UINT64_MAX, &key, NULL))
		return;
	k = fg_owner_key(o, key);
	if (k == NULL)
		return;
	k->scan = o->scan;
	/* The operation under way will tell. */
	if (!k->busy && row->row_version > k->row_version)
		fg_owner_row_read(o, now, k, row);
}

static void note_missing(struct fg_owner *o, fg_ms now, fg_ms sent_at)
{
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, o->keys);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct fg_own_key *k = value;

		if (k->scan != o->scan && !k->busy && k->row_version != 0 &&
		    k->learnt_at < sent_at)
			fg_owner_row_read(o, now, k, NULL);
	}
}

static void scan_result(struct fg_owner *o, fg_ms now, const struct fg_oop *oop,
			const struct fg_table_result *res)
{
	o->scan_busy = false;
	if (res->result != FG_PF_OK) {
		o->scan_at = MIN(o->scan_at, now + SCAN_RETRY_MS);
		return;
	}
	o->scanned = true;
	o->scan_rows = res->n_rows;
	for (size_t i = 0; i < res->n_rows; i++)
		scanned_row(o, now, &res->rows[i]);
	note_missing(o, now, oop->sent_at);
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
		struct fg_oop oop = { .kind = FG_OOP_READ, .n = 1 };
		char name[KEY_BYTES];

		if (!k->read_due || k->busy)
			continue;
		if (now < k->retry_at || sent >= READS_MAX) {
			o->work_due = true;
			continue;
		}
		sent++;
		k->busy = true;
		oop.keys[0] = k->key;
		fg_owner_key_name(k->key, name, sizeof(name));
		fg_owner_submit(o, now, fg_owner_op(o, FG_OP_GET, name), &oop);
	}
}

static void read_result(struct fg_owner *o, fg_ms now, const struct fg_oop *oop,
			const struct fg_table_result *res)
{
	struct fg_own_key *k = fg_owner_key(o, oop->keys[0]);

	if (k == NULL)
		return;
	k->busy = false;
	o->work_due = true;
	if (res->result == FG_PF_OK || res->result == FG_PF_ABSENT) {
		k->read_due = false;
		fg_owner_row_read(o, now, k,
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
	struct fg_oop *oop = g_hash_table_lookup(o->ops, &res->id);
	struct fg_oop copy;

	if (oop == NULL)
		return false;
	copy = *oop;
	g_hash_table_remove(o->ops, &res->id);
	o->emit = emit;
	o->arg = arg;
	switch (copy.kind) {
	case FG_OOP_SCAN:
		scan_result(o, now, &copy, res);
		break;
	case FG_OOP_READ:
		read_result(o, now, &copy, res);
		break;
	case FG_OOP_CLAIM:
		fg_owner_claim_result(o, now, &copy, res);
		break;
	case FG_OOP_RELEASE:
	case FG_OOP_INTENTS:
		fg_owner_write_result(o, now, &copy, res);
		break;
	case FG_OOP_DROP:
		break;
	}
	return true;
}
