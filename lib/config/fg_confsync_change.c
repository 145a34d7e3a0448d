/*
 * Operators' changes. They are stored one at a time: read the head, check the
 * change on the newest revision, write head and delta in one transaction. A
 * lost or refused answer is resolved by reading back: the nonce in the row
 * says whose change made the revision. A change once stored is never taken
 * back; it only waits for acknowledgements.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "config/fg_confsync_priv.h"

#define QUEUE_MAX 64 /* changes waiting at one instance */
#define NAMED_MAX 20 /* instances named in a pending answer */

void cs_change_free(struct cs_change *ch)
{
	json_decref(ch->body);
	g_free(ch->text);
	g_free(ch);
}

static void answer(struct fg_confsync *s, struct cs_change *ch,
		   enum fg_change_status status, uint64_t revision, char *text)
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

/* Answers the active change and makes room for the next one. */
static void finish(struct fg_confsync *s, enum fg_change_status status,
		   uint64_t revision, char *text)
{
	struct cs_change *ch = g_queue_pop_head(&s->changes);

	s->write.op = 0;
	s->write.retry_at = CS_NEVER;
	answer(s, ch, status, revision, text);
}

/* ---- Storing ---- */

static void send_write(struct fg_confsync *s, struct cs_change *ch,
		       const struct cs_head *head)
{
	struct fg_table_op *op = fg_table_op_new(cs_op_id(s), FG_OP_TXN, NULL);
	struct cs_head next = *head;
	g_autofree char *text = NULL;
	char key[FG_ROW_KEY_MAX];

	next.revision = ch->target;
	text = cs_head_text(&next);
	cs_rev_key(key, ch->target);
	fg_table_op_write(op, CS_HEAD_KEY, head->row_version, text);
	fg_table_op_write(op, key, 0, ch->text);
	ch->state = CS_CH_WRITE;
	s->write.op = op->id;
	s->write.asked = s->now;
	cs_table(s, op);
}

/* True when the head was read after the change came and is in force here. */
static bool head_is_ours(struct fg_confsync *s, const struct cs_change *ch)
{
	uint64_t revision = fg_config_revision(s->c);

	if (s->head_known && s->head_asked >= ch->started &&
	    s->head.revision == revision)
		return true;
	if (s->fetch.op != 0 && s->fetch.what == CS_FETCH_HEAD &&
	    s->fetch.asked >= ch->started)
		return false;
	if (!s->head_known || s->head_asked < ch->started) {
		s->fetch.want_head = true;
	} else if (s->head.revision < revision) {
		/* A peer told us more than the table did when it was read. */
		s->fetch.want_head = true;
		s->write.retry_at = s->now + CS_HEAD_WAIT_MS;
	}
	return false;
}

static void try_store(struct fg_confsync *s, struct cs_change *ch)
{
	g_autoptr(GError) error = NULL;
	uint64_t revision = fg_config_revision(s->c);
	g_autofree char *body = NULL;
	char *dumped;

	if (!head_is_ours(s, ch))
		return;
	if (ch->expect != 0 && ch->expect != revision) {
		finish(s, FG_CHANGE_CONFLICT, revision,
		       g_strdup_printf("revision is %" PRIu64
				       ", the change expects %" PRIu64,
				       revision, ch->expect));
		return;
	}
	dumped = json_dumps(ch->body, JSON_COMPACT);
	body = g_strdup(dumped);
	free(dumped);
	if (!fg_config_check(s->c, body, &error)) {
		finish(s, FG_CHANGE_INVALID, revision,
		       g_strdup(error->message));
		return;
	}
	ch->target = revision + 1;
	g_snprintf(ch->nonce, sizeof(ch->nonce), "%s%" PRIu64, s->nonce_prefix,
		   ++s->nonce_count);
	ch->text = cs_change_text(ch->body, ch->target, ch->nonce);
	send_write(s, ch, &s->head);
}

/* ---- Stored ---- */

static void stored(struct fg_confsync *s, struct cs_change *ch)
{
	bool ok = true;

	g_queue_pop_head(&s->changes);
	ch->state = CS_CH_ACK;
	ch->committed = s->now;
	/* The write's result does not tell the head's new row version. */
	s->head_known = false;
	s->fetch.want_head = true;
	if (fg_config_revision(s->c) < ch->target)
		ok = cs_apply(s, "own change", ch->text);
	g_assert(ok);
	if (fg_config_revision(s->c) == ch->target)
		cs_confirm(s, s->write.asked);
	s->push_revision = MAX(s->push_revision, ch->target);
	g_queue_push_tail(&s->acking, ch);
	cs_push(s);
	if (fg_config_revision(s->c) == s->push_revision)
		cs_snap_consider(s);
}

static char *missing_names(struct fg_confsync *s, uint64_t revision)
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
		g_string_append(out, "the list of live instances");
	return g_string_free(out, FALSE);
}

static bool acknowledged(const struct fg_confsync *s,
			 const struct cs_change *ch)
{
	if (!s->live_known || (s->live_timed && s->live_asked < ch->committed))
		return false;
	return fg_confsync_list_unacked(s, ch->target, NULL, 0) == 0;
}

void cs_ack_step(struct fg_confsync *s)
{
	GList *i = s->acking.head;

	while (i != NULL) {
		GList *next = i->next;
		struct cs_change *ch = i->data;

		if (acknowledged(s, ch)) {
			g_queue_delete_link(&s->acking, i);
			answer(s, ch, FG_CHANGE_ACCEPTED, ch->target, NULL);
		} else if (s->now >= ch->deadline) {
			g_queue_delete_link(&s->acking, i);
			answer(s, ch, FG_CHANGE_PENDING, ch->target,
			       missing_names(s, ch->target));
		}
		i = next;
	}
}

/* ---- Reading back ---- */

static void read_back(struct fg_confsync *s, struct cs_change *ch)
{
	struct fg_table_op *op;
	char key[FG_ROW_KEY_MAX];

	cs_rev_key(key, ch->target);
	op = fg_table_op_new(cs_op_id(s), FG_OP_GET,
			     ch->state == CS_CH_RESOLVE_HEAD ? CS_HEAD_KEY
							     : key);
	s->write.op = op->id;
	s->write.asked = s->now;
	cs_table(s, op);
}

/* Not there yet: the same write may be sent again, since it and any earlier
 * one still under way are bound to the head they were made for, and carry
 * the same nonce. */
static void read_head_back(struct fg_confsync *s, struct cs_change *ch,
			   const struct fg_table_result *res)
{
	g_autoptr(GError) error = NULL;
	struct cs_head head;

	if (!cs_head_read(&head, res, &error)) {
		cs_set_fault(s, CS_HEAD_KEY, error);
		s->write.retry_at = s->now + CS_FAULT_RETRY_MS;
		return;
	}
	if (head.revision >= ch->target)
		ch->state = CS_CH_RESOLVE_REV;
	else if (head.revision + 1 == ch->target)
		send_write(s, ch, &head);
	else
		s->write.retry_at = s->now + CS_RETRY_MS;
}

static void read_rev_back(struct fg_confsync *s, struct cs_change *ch,
			  const struct fg_table_result *res)
{
	if (res->n_rows != 1 || res->rows[0].value == NULL) {
		s->write.retry_at = s->now + CS_RETRY_MS;
		return;
	}
	if (cs_nonce_is(res->rows[0].value, ch->nonce)) {
		stored(s, ch);
		return;
	}
	finish(s, FG_CHANGE_CONFLICT, ch->target,
	       g_strdup_printf("revision %" PRIu64
			       " was made by another change",
			       ch->target));
}

static void write_result(struct fg_confsync *s, struct cs_change *ch,
			 enum fg_pf_result result)
{
	if (result == FG_PF_OK) {
		stored(s, ch);
		return;
	}
	if (result == FG_PF_LOST || result == FG_PF_BAD)
		ch->maybe_written = true;
	ch->state = CS_CH_RESOLVE_HEAD;
	if (result != FG_PF_CONFLICT)
		s->write.retry_at = s->now + CS_RETRY_MS;
}

bool cs_change_result(struct fg_confsync *s, const struct fg_table_result *res)
{
	struct cs_change *ch = g_queue_peek_head(&s->changes);

	if (s->write.op == 0 || res->id != s->write.op)
		return false;
	s->write.op = 0;
	if (ch->state == CS_CH_WRITE)
		write_result(s, ch, res->result);
	else if (res->result != FG_PF_OK && res->result != FG_PF_ABSENT)
		s->write.retry_at = s->now + CS_RETRY_MS;
	else if (ch->state == CS_CH_RESOLVE_HEAD)
		read_head_back(s, ch, res);
	else
		read_rev_back(s, ch, res);
	return true;
}

/* ---- Steps ---- */

static void expire(struct fg_confsync *s, struct cs_change *ch)
{
	bool unsure = ch->maybe_written ||
		      (ch->state == CS_CH_WRITE && s->write.op != 0);

	if (unsure)
		finish(s, FG_CHANGE_UNKNOWN, ch->target,
		       g_strdup("the answer to the write was lost"));
	else if (s->fault != NULL)
		finish(s, FG_CHANGE_DOWN, fg_config_revision(s->c),
		       g_strdup(s->fault));
	else
		finish(s, FG_CHANGE_DOWN, fg_config_revision(s->c),
		       g_strdup("the platform was not reached in time"));
}

static void step_one(struct fg_confsync *s, struct cs_change *ch)
{
	if (s->write.op != 0 && s->now - s->write.asked >= CS_OP_LOST_MS) {
		s->write.op = 0;
		if (ch->state == CS_CH_WRITE)
			write_result(s, ch, FG_PF_LOST);
	}
	if (s->write.op != 0 || s->now < s->write.retry_at)
		return;
	if (ch->state == CS_CH_HEAD)
		try_store(s, ch);
	else
		read_back(s, ch);
}

/* Changes behind the active one have not been written: theirs is DOWN. */
static void expire_waiting(struct fg_confsync *s)
{
	GList *i = s->changes.head != NULL ? s->changes.head->next : NULL;

	while (i != NULL) {
		GList *next = i->next;
		struct cs_change *ch = i->data;

		if (s->now >= ch->deadline) {
			g_queue_delete_link(&s->changes, i);
			answer(s, ch, FG_CHANGE_DOWN, fg_config_revision(s->c),
			       g_strdup("other changes took too long"));
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
			expire(s, ch);
		else
			step_one(s, ch);
		if (g_queue_peek_head(&s->changes) == ch)
			break;
	}
	/* A head wanted just now is read at once, not at the next tick. */
	if (s->fetch.want_head)
		cs_fetch_step(s);
}

/* ---- Entry point ---- */

/* The fields that confsync sets itself; NULL or which one was given. */
static const char *reserved_field(const json_t *body)
{
	static const char *const reserved[] = { "revision", "nonce", "format" };

	for (size_t i = 0; i < G_N_ELEMENTS(reserved); i++)
		if (json_object_get(body, reserved[i]) != NULL)
			return reserved[i];
	return NULL;
}

static char *refusal(const struct fg_confsync *s, const char *change,
		     json_t **body)
{
	g_autoptr(GError) error = NULL;
	const char *reserved;

	if (strlen(change) > CS_CHANGE_MAX_BYTES)
		return g_strdup_printf("the change is over %d bytes",
				       CS_CHANGE_MAX_BYTES);
	*body = fg_config_parse(change, &error);
	if (*body == NULL)
		return g_strdup(error->message);
	reserved = reserved_field(*body);
	if (reserved != NULL)
		return g_strdup_printf("\"%s\" may not be given", reserved);
	if (s->changes.length >= QUEUE_MAX)
		return g_strdup_printf("%d changes are waiting already",
				       QUEUE_MAX);
	return NULL;
}

void fg_confsync_submit_change(struct fg_confsync *s, fg_ms now,
			       uint64_t change_id, const char *change,
			       uint64_t expect_revision, uint32_t wait_ms,
			       fg_confsync_emit emit, void *arg)
{
	struct cs_change *ch = g_new0(struct cs_change, 1);
	char *why;

	s->now = now;
	s->emit = emit;
	s->arg = arg;
	ch->id = change_id;
	ch->expect = expect_revision;
	ch->started = now;
	ch->deadline = now + wait_ms;
	ch->state = CS_CH_HEAD;
	why = refusal(s, change, &ch->body);
	if (why != NULL) {
		answer(s, ch, FG_CHANGE_INVALID, fg_config_revision(s->c), why);
		return;
	}
	g_queue_push_tail(&s->changes, ch);
	cs_change_step(s);
}
