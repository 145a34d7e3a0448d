#include "ledger/fg_ledger_internal.h"

#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* Lower bound of the configured retention. */
#define RETENTION_MIN_S 3600

struct fg_ledger *fg_ledger_new(const struct fg_ledger_conf *conf,
				uint64_t seed)
{
	struct fg_ledger *l = g_new0(struct fg_ledger, 1);

	l->conf = *conf;
	l->conf.retention_s = MAX(conf->retention_s, RETENTION_MIN_S);
	l->conf.record_retry_ms = MAX(conf->record_retry_ms, 1);
	fg_rand_seed(&l->rand, fg_hash_mix(seed, conf->self));
	g_queue_init(&l->filings);
	l->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	l->by_row = g_hash_table_new(g_str_hash, g_str_equal);
	l->ops = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
				       g_free);
	l->next_tick_at = FG_MS_NEVER;
	return l;
}

void fg_ledger_free(struct fg_ledger *l)
{
	if (l == NULL)
		return;
	while (l->filings.head != NULL) {
		struct filing *f = l->filings.head->data;

		f->in_flight = false;
		filing_remove(l, f);
	}
	g_hash_table_destroy(l->ops);
	g_hash_table_destroy(l->by_row);
	g_hash_table_destroy(l->by_id);
	g_free(l);
}

void fg_ledger_set_is_dead(struct fg_ledger *l,
			   bool (*is_dead)(void *arg, uint64_t inst), void *arg)
{
	l->is_dead = is_dead;
	l->dead_arg = arg;
}

void fg_ledger_set_wall_offset(struct fg_ledger *l, int64_t wall_minus_now_ms)
{
	l->wall_offset_ms = wall_minus_now_ms;
	l->wall_known = true;
}

fg_ms ledger_wall_now(const struct fg_ledger *l)
{
	return l->now + l->wall_offset_ms;
}

fg_ms ledger_retry_at(struct fg_ledger *l)
{
	uint32_t base_ms = l->conf.record_retry_ms;

	return l->now + base_ms + fg_rand_below(&l->rand, base_ms / 2 + 1);
}

uint64_t ledger_new_id(struct fg_ledger *l)
{
	uint64_t id;

	do {
		id = fg_rand_next(&l->rand);
	} while (id == 0);
	return id;
}

void ledger_answer(struct fg_ledger *l, uint64_t id, enum fg_outcome outcome,
		   enum fg_reason reason, const char *text, bool replayed,
		   uint32_t retry_after_ms)
{
	struct fg_ledger_act act = {
		.type = FG_LA_ANSWER,
		.id = id,
		.outcome = outcome,
		.reason = reason,
		.text = text,
		.replayed = replayed,
		.retry_after_ms = retry_after_ms,
	};

	l->emit(l->emit_arg, &act);
}

void ledger_emit_op(struct fg_ledger *l, struct fg_table_op *op)
{
	struct fg_ledger_act act = { .type = FG_LA_TABLE, .op = op };

	l->emit(l->emit_arg, &act);
}

void fg_ledger_row_key(const char *caller, const char *key, char *out)
{
	uint64_t pair = fg_hash_mix(fg_hash_str(caller), fg_hash_str(key));
	char *joined =
		g_strdup_printf("%zu:%s:%s", strlen(caller), caller, key);

	snprintf(out, FG_ROW_KEY_MAX,
		 FG_LEDGER_PREFIX "%016" PRIx64 "%016" PRIx64, pair,
		 fg_hash_str(joined));
	g_free(joined);
}

/* ---- Start and outcome ---- */

/* Answers a repeat of a key that is in progress on this instance. A repeat is
 * never dispatched. */
static void answer_repeat(struct fg_ledger *l, const struct filing *f,
			  uint64_t id, uint64_t body_hash)
{
	uint32_t retry_after_ms = l->conf.record_retry_ms;

	if (f->body_hash != body_hash)
		ledger_answer(l, id, FG_NOT_RUN, FG_R_KEY_REUSED, NULL, false,
			      0);
	else if (f->phase == FILING_RECORDING)
		ledger_answer(l, id, f->outcome, f->reason, f->text, true, 0);
	else if (f->phase == FILING_UNDOING || f->answered)
		ledger_answer(l, id, FG_NOT_RUN, FG_R_LEDGER_DOWN, NULL, false,
			      retry_after_ms);
	else
		ledger_answer(l, id, FG_UNKNOWN, FG_R_IN_PROGRESS, NULL, false,
			      retry_after_ms);
}

static bool is_full(const struct fg_ledger *l)
{
	return l->filings.length >= FG_LEDGER_FILINGS_MAX ||
	       l->held_bytes >= FG_LEDGER_HELD_BYTES_MAX;
}

/* Returns the reason to refuse a new key, or FG_R_NONE. */
static enum fg_reason refusal_reason(const struct fg_ledger *l, fg_ms deadline)
{
	if (l->now >= deadline)
		return FG_R_PAST_DEADLINE;
	if (l->now < l->down_until)
		return FG_R_LEDGER_DOWN;
	if (is_full(l))
		return FG_R_OVERLOAD;
	return FG_R_NONE;
}

static void add_filing(struct fg_ledger *l, uint64_t id, const char *row_key,
		       uint64_t body_hash, fg_ms deadline)
{
	struct filing *f = g_new0(struct filing, 1);

	f->link.data = f;
	f->id = id;
	f->nonce = ledger_new_id(l);
	f->body_hash = body_hash;
	g_strlcpy(f->row_key, row_key, sizeof(f->row_key));
	f->phase = FILING_STARTING;
	f->expected_version = 0;
	f->has_expected_version = true;
	f->arrived_at = l->now;
	f->deadline = deadline;
	g_queue_push_tail_link(&l->filings, &f->link);
	g_hash_table_insert(l->by_id, &f->id, f);
	g_hash_table_insert(l->by_row, f->row_key, f);
	filing_schedule_op(l, f, FILING_OP_WRITE, l->now + l->conf.group_ms);
}

void fg_ledger_start(struct fg_ledger *l, fg_ms now, uint64_t id,
		     const char *caller, const char *key, uint64_t body_hash,
		     fg_ms deadline, fg_ledger_emit emit, void *arg)
{
	char row_key[FG_ROW_KEY_MAX];
	const struct filing *existing;
	enum fg_reason reason;

	assert(!g_hash_table_contains(l->by_id, &id));
	l->now = now;
	l->emit = emit;
	l->emit_arg = arg;
	fg_ledger_row_key(caller, key, row_key);
	existing = g_hash_table_lookup(l->by_row, row_key);
	if (existing != NULL) {
		answer_repeat(l, existing, id, body_hash);
		return;
	}
	reason = refusal_reason(l, deadline);
	if (reason != FG_R_NONE) {
		ledger_answer(l, id, FG_NOT_RUN, reason, NULL, false,
			      MAX(l->down_until - now,
				  (fg_ms)l->conf.record_retry_ms));
		return;
	}
	add_filing(l, id, row_key, body_hash, deadline);
	ledger_flush(l);
	ledger_update_next_tick(l);
}

void fg_ledger_record_outcome(struct fg_ledger *l, fg_ms now, uint64_t id,
			      enum fg_outcome outcome, enum fg_reason reason,
			      const char *text, fg_ledger_emit emit, void *arg)
{
	struct filing *f = g_hash_table_lookup(l->by_id, &id);

	if (f == NULL || f->phase != FILING_RUNNING)
		return;
	l->now = now;
	l->emit = emit;
	l->emit_arg = arg;
	f->outcome = outcome;
	f->reason = reason;
	if (outcome == FG_NOT_RUN) {
		f->answer_by = MIN(f->deadline, now + l->conf.start_timeout_ms);
		filing_undo(l, f, now);
	} else {
		f->text = g_strdup(text);
		l->held_bytes += text != NULL ? strlen(text) : 0;
		ledger_answer(l, id, outcome, reason, text, false, 0);
		f->answered = true;
		filing_record(l, f, now + l->conf.group_ms);
	}
	ledger_flush(l);
	ledger_update_next_tick(l);
}

/* ---- Timeouts ---- */

static void handle_timeouts(struct fg_ledger *l)
{
	GList *next;

	for (GList *n = l->filings.head; n != NULL; n = next) {
		struct filing *f = n->data;

		next = n->next;
		if (f->answered)
			continue;
		if (f->phase == FILING_STARTING && filing_is_late(l, f))
			filing_time_out(l, f);
		else if (f->phase == FILING_UNDOING && l->now >= f->answer_by)
			filing_answer_not_run(l, f);
	}
}

void fg_ledger_tick(struct fg_ledger *l, fg_ms now, fg_ledger_emit emit,
		    void *arg)
{
	if (now < l->next_tick_at)
		return;
	l->now = now;
	l->emit = emit;
	l->emit_arg = arg;
	handle_timeouts(l);
	ledger_flush(l);
	ledger_update_next_tick(l);
}

size_t fg_ledger_pending(const struct fg_ledger *l)
{
	return l->filings.length;
}

fg_ms fg_ledger_next_tick(const struct fg_ledger *l)
{
	return l->next_tick_at;
}
