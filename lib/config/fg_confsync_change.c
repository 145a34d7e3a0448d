/*
 * Operators' changes. They are stored one at a time: read the head, check the
 * change against the newest revision, write head and delta in one transaction.
 * If the write fails or its answer is lost, head and delta are read back; the
 * nonce in the delta tells whose change made the revision. A stored change is
 * never rolled back and only waits for acknowledgements.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "config/fg_confsync_priv.h"

#define QUEUE_MAX 64 /* changes in the queue, with the active one */
#define NAMED_MAX 20 /* instances named in a pending answer */

void cs_change_free(struct cs_change *ch)
{
	json_decref(ch->body);
	g_free(ch->text);
	g_free(ch);
}

static void answer_change(struct fg_confsync *s, struct cs_change *ch,
			  enum fg_change_status status, uint64_t revision,
			  char *text)
{
	struct fg_confsync_act act = {
		.type = FG_CS_ANSWER,
		.change_id = ch->id,
		.status = status,
		.revision = revision,
		.text = text,
	};

	s->emit(s->arg, &act);
	cs_change_free(ch);
}

/* Answers the active change and removes it from the queue. */
static void finish_active(struct fg_confsync *s, enum fg_change_status status,
			  uint64_t revision, char *text)
{
	struct cs_change *ch = g_queue_pop_head(&s->changes);

	s->write.op = 0;
	s->write.retry_at = CS_NEVER;
	answer_change(s, ch, status, revision, text);
}

/* ---- Storing ---- */

static void send_write(struct fg_confsync *s, struct cs_change *ch,
		       const struct cs_head *head)
{
	struct fg_table_op *op =
		fg_table_op_new(cs_next_op_id(s), FG_OP_TXN, NULL);
	struct cs_head next = *head;
	g_autofree char *text = NULL;
	char key[FG_ROW_KEY_MAX];

	next.revision = ch->target_revision;
	text = cs_format_head(&next);
	cs_format_rev_key(key, ch->target_revision);
	fg_table_op_add_write(op, CS_HEAD_KEY, head->row_version, text);
	fg_table_op_add_write(op, key, 0, ch->text);
	ch->state = CS_CH_WRITING;
	s->write.op = op->id;
	s->write.sent_at = s->now;
	cs_send_op(s, op);
}

/* Returns whether the head was read after the change was submitted and the
 * head's revision is in force here. Requests a read of the head if necessary.
 */
static bool is_head_current(struct fg_confsync *s, const struct cs_change *ch)
{
	uint64_t revision = fg_config_revision(s->c);

	if (s->head_known && s->head_read_at >= ch->submitted_at &&
	    s->head.revision == revision)
		return true;
	if (s->fetch.op != 0 && s->fetch.type == CS_FETCH_HEAD &&
	    s->fetch.sent_at >= ch->submitted_at)
		return false;
	if (!s->head_known || s->head_read_at < ch->submitted_at) {
		s->fetch.head_wanted = true;
	} else if (s->head.revision < revision) {
		/* Peers sent newer deltas after the head was read. */
		s->fetch.head_wanted = true;
		s->write.retry_at = s->now + CS_HEAD_REREAD_MS;
	}
	return false;
}

static void store_if_current(struct fg_confsync *s, struct cs_change *ch)
{
	g_autoptr(GError) error = NULL;
	uint64_t revision = fg_config_revision(s->c);
	g_autofree char *body = NULL;
	char *dumped;

	if (!is_head_current(s, ch))
		return;
	if (ch->expect_revision != 0 && ch->expect_revision != revision) {
		finish_active(s, FG_CHANGE_CONFLICT, revision,
			      g_strdup_printf("revision is %" PRIu64
					      ", the change expects %" PRIu64,
					      revision, ch->expect_revision));
		return;
	}
	dumped = json_dumps(ch->body, JSON_COMPACT);
	body = g_strdup(dumped);
	free(dumped);
	if (!fg_config_check(s->c, body, &error)) {
		finish_active(s, FG_CHANGE_INVALID, revision,
			      g_strdup(error->message));
		return;
	}
	ch->target_revision = revision + 1;
	g_snprintf(ch->nonce, sizeof(ch->nonce), "%s%" PRIu64, s->nonce_prefix,
		   ++s->nonce_count);
	ch->text = cs_format_delta(ch->body, ch->target_revision, ch->nonce);
	send_write(s, ch, &s->head);
}

/* ---- Stored ---- */

static void on_stored(struct fg_confsync *s, struct cs_change *ch)
{
	bool ok = true;

	g_queue_pop_head(&s->changes);
	ch->state = CS_CH_AWAIT_ACKS;
	ch->stored_at = s->now;
	/* The result of the write does not contain the new row version of the
	 * head, so it must be read again. */
	s->head_known = false;
	s->fetch.head_wanted = true;
	if (fg_config_revision(s->c) < ch->target_revision)
		ok = cs_apply_delta(s, "own change", ch->text);
	g_assert(ok);
	if (fg_config_revision(s->c) == ch->target_revision)
		cs_set_confirmed_at(s, s->write.sent_at);
	s->push_revision = MAX(s->push_revision, ch->target_revision);
	g_queue_push_tail(&s->awaiting_acks, ch);
	cs_push_change(s);
	if (fg_config_revision(s->c) == s->push_revision)
		cs_snap_start_if_due(s);
}

static char *format_unacked(struct fg_confsync *s, uint64_t revision)
{
	uint64_t ids[NAMED_MAX];
	size_t n = fg_confsync_list_unacked(s, revision, ids, NAMED_MAX);
	GString *out = g_string_new(NULL);

	for (size_t i = 0; i < MIN(n, NAMED_MAX); i++) {
		const char *name =
			s->name != NULL ? s->name(s->name_arg, ids[i]) : NULL;

		if (i > 0)
			g_string_append(out, ", ");
		if (name != NULL)
			g_string_append(out, name);
		else
			g_string_append_printf(out, "%016" PRIx64, ids[i]);
	}
	if (n > NAMED_MAX)
		g_string_append_printf(out, " and %zu more", n - NAMED_MAX);
	if (n == 0)
		g_string_append(
			out,
			"unknown, live instances not read since the change");
	return g_string_free(out, FALSE);
}

static bool is_acknowledged(const struct fg_confsync *s,
			    const struct cs_change *ch)
{
	if (!s->live_known ||
	    (s->live_is_timed && s->live_read_at < ch->stored_at))
		return false;
	return fg_confsync_list_unacked(s, ch->target_revision, NULL, 0) == 0;
}

void cs_ack_step(struct fg_confsync *s)
{
	GList *i = s->awaiting_acks.head;

	while (i != NULL) {
		GList *next = i->next;
		struct cs_change *ch = i->data;

		if (is_acknowledged(s, ch)) {
			g_queue_delete_link(&s->awaiting_acks, i);
			answer_change(s, ch, FG_CHANGE_ACCEPTED,
				      ch->target_revision, NULL);
		} else if (s->now >= ch->deadline) {
			g_queue_delete_link(&s->awaiting_acks, i);
			answer_change(s, ch, FG_CHANGE_PENDING,
				      ch->target_revision,
				      format_unacked(s, ch->target_revision));
		}
		i = next;
	}
}

/* ---- Reading back ---- */

static void read_back(struct fg_confsync *s, struct cs_change *ch)
{
	struct fg_table_op *op;
	char key[FG_ROW_KEY_MAX];

	cs_format_rev_key(key, ch->target_revision);
	op = fg_table_op_new(cs_next_op_id(s), FG_OP_GET,
			     ch->state == CS_CH_VERIFY_HEAD ? CS_HEAD_KEY
							    : key);
	s->write.op = op->id;
	s->write.sent_at = s->now;
	cs_send_op(s, op);
}

/* If the head is still at the previous revision, the same write is sent again.
 * This is safe while an earlier write may be in flight: each write only holds
 * for the row version of the head that it expects, and both carry the same
 * nonce. */
static void on_head_read_back(struct fg_confsync *s, struct cs_change *ch,
			      const struct fg_table_result *res)
{
	g_autoptr(GError) error = NULL;
	struct cs_head head;

	if (!cs_parse_head(&head, res, &error)) {
		cs_set_fault(s, CS_HEAD_KEY, error);
		s->write.retry_at = s->now + CS_INVALID_ROW_RETRY_MS;
		return;
	}
	if (head.revision >= ch->target_revision)
		ch->state = CS_CH_VERIFY_REV;
	else if (head.revision + 1 == ch->target_revision)
		send_write(s, ch, &head);
	else
		s->write.retry_at = s->now + CS_RETRY_MS;
}

static void on_rev_read_back(struct fg_confsync *s, struct cs_change *ch,
			     const struct fg_table_result *res)
{
	if (res->n_rows != 1 || res->rows[0].value == NULL) {
		s->write.retry_at = s->now + CS_RETRY_MS;
		return;
	}
	if (cs_has_nonce(res->rows[0].value, ch->nonce)) {
		on_stored(s, ch);
		return;
	}
	finish_active(s, FG_CHANGE_CONFLICT, ch->target_revision,
		      g_strdup_printf("revision %" PRIu64
				      " was made by another change",
				      ch->target_revision));
}

static void on_write_result(struct fg_confsync *s, struct cs_change *ch,
			    enum fg_pf_result result)
{
	if (result == FG_PF_OK) {
		on_stored(s, ch);
		return;
	}
	if (result == FG_PF_LOST || result == FG_PF_BAD_ANSWER)
		ch->maybe_written = true;
	ch->state = CS_CH_VERIFY_HEAD;
	if (result != FG_PF_CONFLICT)
		s->write.retry_at = s->now + CS_RETRY_MS;
}

bool cs_change_on_result(struct fg_confsync *s,
			 const struct fg_table_result *res)
{
	struct cs_change *ch = g_queue_peek_head(&s->changes);

	if (s->write.op == 0 || res->id != s->write.op)
		return false;
	s->write.op = 0;
	if (ch->state == CS_CH_WRITING)
		on_write_result(s, ch, res->result);
	else if (res->result != FG_PF_OK && res->result != FG_PF_ABSENT)
		s->write.retry_at = s->now + CS_RETRY_MS;
	else if (ch->state == CS_CH_VERIFY_HEAD)
		on_head_read_back(s, ch, res);
	else
		on_rev_read_back(s, ch, res);
	return true;
}

/* ---- Progress and deadlines ---- */

static void expire_active(struct fg_confsync *s, struct cs_change *ch)
{
	bool is_uncertain = ch->maybe_written ||
			    (ch->state == CS_CH_WRITING && s->write.op != 0);

	if (is_uncertain)
		finish_active(s, FG_CHANGE_UNKNOWN, ch->target_revision,
			      g_strdup("the answer to the write was lost"));
	else if (s->fault != NULL)
		finish_active(s, FG_CHANGE_DOWN, fg_config_revision(s->c),
			      g_strdup(s->fault));
	else
		finish_active(s, FG_CHANGE_DOWN, fg_config_revision(s->c),
			      g_strdup("the platform was not reached in time"));
}

static void step_active(struct fg_confsync *s, struct cs_change *ch)
{
	if (s->write.op != 0 && s->now - s->write.sent_at >= CS_OP_TIMEOUT_MS) {
		s->write.op = 0;
		if (ch->state == CS_CH_WRITING)
			on_write_result(s, ch, FG_PF_LOST);
	}
	if (s->write.op != 0 || s->now < s->write.retry_at)
		return;
	if (ch->state == CS_CH_AWAIT_HEAD)
		store_if_current(s, ch);
	else
		read_back(s, ch);
}

/* Answers DOWN to queued changes past their deadline: no write of theirs was
 * sent. */
static void expire_waiting(struct fg_confsync *s)
{
	GList *i = s->changes.head != NULL ? s->changes.head->next : NULL;

	while (i != NULL) {
		GList *next = i->next;
		struct cs_change *ch = i->data;

		if (s->now >= ch->deadline) {
			g_queue_delete_link(&s->changes, i);
			answer_change(
				s, ch, FG_CHANGE_DOWN, fg_config_revision(s->c),
				g_strdup("earlier changes took too long"));
		}
		i = next;
	}
}

void cs_change_step(struct fg_confsync *s)
{
	struct cs_change *ch;

	expire_waiting(s);
	while ((ch = g_queue_peek_head(&s->changes)) != NULL) {
		if (s->now >= ch->deadline)
			expire_active(s, ch);
		else
			step_active(s, ch);
		if (g_queue_peek_head(&s->changes) == ch)
			break;
	}
	/* Read the head now instead of at the next tick. */
	if (s->fetch.head_wanted)
		cs_fetch_step(s);
}

/* ---- Entry point ---- */

/* Returns the first field present that confsync sets itself, NULL if none. */
static const char *find_reserved_field(const json_t *body)
{
	static const char *const reserved[] = { "revision", "nonce", "format" };

	for (size_t i = 0; i < G_N_ELEMENTS(reserved); i++)
		if (json_object_get(body, reserved[i]) != NULL)
			return reserved[i];
	return NULL;
}

/* Parses a change into *body. Returns the error text for an invalid one, NULL
 * for a valid one. */
static char *parse_submission(const struct fg_confsync *s, const char *change,
			      json_t **body)
{
	g_autoptr(GError) error = NULL;
	const char *reserved;

	if (strlen(change) > CS_CHANGE_MAX_BYTES)
		return g_strdup_printf("the change is larger than %d bytes",
				       CS_CHANGE_MAX_BYTES);
	*body = fg_config_parse(change, &error);
	if (*body == NULL)
		return g_strdup(error->message);
	reserved = find_reserved_field(*body);
	if (reserved != NULL)
		return g_strdup_printf(
			"field \"%s\" is reserved and must be left out",
			reserved);
	if (s->changes.length >= QUEUE_MAX)
		return g_strdup_printf("%d changes are already queued",
				       QUEUE_MAX);
	return NULL;
}

void fg_confsync_submit_change(struct fg_confsync *s, fg_ms now,
			       uint64_t change_id, const char *change,
			       uint64_t expect_revision, uint32_t wait_ms,
			       fg_confsync_emit emit, void *arg)
{
	struct cs_change *ch = g_new0(struct cs_change, 1);
	char *reason;

	s->now = now;
	s->emit = emit;
	s->arg = arg;
	ch->id = change_id;
	ch->expect_revision = expect_revision;
	ch->submitted_at = now;
	ch->deadline = now + wait_ms;
	ch->state = CS_CH_AWAIT_HEAD;
	reason = parse_submission(s, change, &ch->body);
	if (reason != NULL) {
		answer_change(s, ch, FG_CHANGE_INVALID,
			      fg_config_revision(s->c), reason);
		return;
	}
	g_queue_push_tail(&s->changes, ch);
	cs_change_step(s);
}
