/* Entry points of confsync and what its files share. */
#include <inttypes.h>
#include <string.h>

#include "config/fg_confsync_priv.h"

/* Operation ids of confsync have these upper bits, so that they differ from
 * those of other modules. */
#define OP_TAG (UINT64_C(0xc05f) << 48)

const char *fg_change_status_name(enum fg_change_status status)
{
	static const char *const names[] = {
		[FG_CHANGE_ACCEPTED] = "accepted",
		[FG_CHANGE_PENDING] = "pending",
		[FG_CHANGE_CONFLICT] = "conflict",
		[FG_CHANGE_INVALID] = "invalid",
		[FG_CHANGE_DOWN] = "down",
		[FG_CHANGE_UNKNOWN] = "unknown",
	};

	if (status < FG_CHANGE_ACCEPTED || status > FG_CHANGE_UNKNOWN)
		return "unknown";
	return names[status];
}

/* ---- Life ---- */

struct fg_confsync *fg_confsync_new(struct fg_config *c,
				    const struct fg_confsync_conf *conf,
				    uint64_t self, uint64_t seed)
{
	struct fg_confsync *s = g_new0(struct fg_confsync, 1);

	s->c = c;
	s->conf = *conf;
	s->self = self;
	fg_rand_seed(&s->rand, seed);
	g_snprintf(s->nonce_prefix, sizeof(s->nonce_prefix), "%016" PRIx64 "-",
		   fg_hash_mix(self, seed));
	s->last_tick = CS_NEVER;
	s->distrust_until = CS_NEVER;
	s->confirmed = CS_NEVER;
	s->fetch.polled = CS_NEVER;
	s->fetch.retry_at = CS_NEVER;
	s->write.retry_at = CS_NEVER;
	s->ask_at = CS_NEVER;
	s->told = fg_config_revision(c);
	s->peers = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 g_free);
	g_queue_init(&s->changes);
	g_queue_init(&s->acking);
	g_queue_init(&s->ring);
	return s;
}

static void delta_free(struct cs_delta *d)
{
	g_free(d->text);
	g_free(d);
}

static void ring_clear(struct fg_confsync *s)
{
	struct cs_delta *d;

	while ((d = g_queue_pop_head(&s->ring)) != NULL)
		delta_free(d);
	s->ring_bytes = 0;
}

static void free_change(gpointer ch)
{
	cs_change_free(ch);
}

void fg_confsync_free(struct fg_confsync *s)
{
	if (s == NULL)
		return;
	ring_clear(s);
	g_queue_clear_full(&s->changes, free_change);
	g_queue_clear_full(&s->acking, free_change);
	cs_snap_drop(s);
	fg_config_loader_free(s->fetch.load);
	fg_config_loader_free(s->load);
	if (s->cache != NULL)
		g_ptr_array_free(s->cache, TRUE);
	g_hash_table_destroy(s->peers);
	g_free(s->fault);
	g_free(s);
}

void fg_confsync_set_name_fn(struct fg_confsync *s, fg_confsync_name_fn name,
			     void *arg)
{
	s->name = name;
	s->name_arg = arg;
}

const char *fg_confsync_fault(const struct fg_confsync *s)
{
	return s->fault;
}

uint32_t fg_confsync_confirm_age(const struct fg_confsync *s, fg_ms now)
{
	if (s->confirmed == CS_NEVER || now - s->confirmed > UINT32_MAX)
		return UINT32_MAX;
	return now > s->confirmed ? (uint32_t)(now - s->confirmed) : 0;
}

/* ---- Shared by the files ---- */

uint64_t cs_op_id(struct fg_confsync *s)
{
	return OP_TAG | ++s->next_op;
}

uint64_t cs_table(struct fg_confsync *s, struct fg_table_op *op)
{
	struct fg_confsync_act act = { .type = FG_CS_TABLE, .op = op };
	uint64_t id = op->id;

	s->emit(s->arg, &act);
	return id;
}

void cs_send(struct fg_confsync *s, uint64_t to, fg_msg *msg)
{
	struct fg_confsync_act act = { .type = FG_CS_SEND,
				       .to = to,
				       .msg = msg };

	s->emit(s->arg, &act);
}

void cs_confirm(struct fg_confsync *s, fg_ms at)
{
	if (at > s->confirmed)
		s->confirmed = at;
}

void cs_set_fault(struct fg_confsync *s, const char *what, const GError *error)
{
	g_free(s->fault);
	s->fault = g_strdup_printf("%s: %s", what,
				   error != NULL ? error->message : "broken");
}

static void clear_fault(struct fg_confsync *s)
{
	g_free(s->fault);
	s->fault = NULL;
}

static void ring_add(struct fg_confsync *s, const char *text)
{
	struct cs_delta *d = g_new0(struct cs_delta, 1);

	d->revision = fg_config_revision(s->c);
	d->text = g_strdup(text);
	g_queue_push_tail(&s->ring, d);
	s->ring_bytes += strlen(text);
	while (s->ring.length > CS_RING_REVISIONS ||
	       s->ring_bytes > CS_RING_BYTES) {
		d = g_queue_pop_head(&s->ring);
		s->ring_bytes -= strlen(d->text);
		delta_free(d);
	}
}

/* A delta that this instance stored is pushed by it, also when the answer to
 * its write was lost and it learns of it by reading. */
static void note_own(struct fg_confsync *s, const json_t *obj)
{
	const char *nonce = json_string_value(json_object_get(obj, "nonce"));

	if (nonce != NULL && g_str_has_prefix(nonce, s->nonce_prefix))
		s->push_revision = fg_config_revision(s->c);
}

bool cs_apply_json(struct fg_confsync *s, const char *what, const json_t *obj,
		   const char *text)
{
	g_autoptr(GError) error = NULL;

	if (!fg_config_apply_json(s->c, obj, &error)) {
		cs_set_fault(s, what, error);
		return false;
	}
	clear_fault(s);
	ring_add(s, text);
	note_own(s, obj);
	return true;
}

bool cs_apply(struct fg_confsync *s, const char *what, const char *text)
{
	g_autoptr(GError) error = NULL;
	json_t *obj = fg_config_parse(text, &error);
	bool ok;

	if (obj == NULL) {
		cs_set_fault(s, what, error);
		return false;
	}
	ok = cs_apply_json(s, what, obj, text);
	json_decref(obj);
	return ok;
}

void cs_drop_load(struct fg_config_loader **l)
{
	fg_config_loader_free(*l);
	*l = NULL;
}

void cs_finish_load(struct fg_confsync *s, struct fg_config_loader **l)
{
	uint64_t before = fg_config_revision(s->c);

	fg_config_loader_finish(*l, s->c);
	*l = NULL;
	if (fg_config_revision(s->c) == before)
		return;
	ring_clear(s);
	clear_fault(s);
}

/* ---- Entry points ---- */

static void enter(struct fg_confsync *s, fg_ms now, fg_confsync_emit emit,
		  void *arg)
{
	s->now = now;
	s->emit = emit;
	s->arg = arg;
	if (s->last_tick != CS_NEVER && now - s->last_tick > CS_PAUSE_MS)
		s->distrust_until = now + CS_PAUSE_MS;
}

/* Runs what the event made possible; CHANGED comes before any answer that
 * relies on the revision being in force. What looks at every peer waits for
 * the next tick, so that hundreds of acknowledgements cost one look. */
static void settle(struct fg_confsync *s, bool tick)
{
	uint64_t revision;

	cs_fetch_step(s);
	cs_change_step(s);
	revision = fg_config_revision(s->c);
	if (revision != s->told) {
		struct fg_confsync_act act = { .type = FG_CS_CHANGED,
					       .revision = revision };

		g_assert(revision > s->told);
		s->told = revision;
		s->emit(s->arg, &act);
	}
	cs_peer_step(s, tick);
	if (tick)
		cs_ack_step(s);
	cs_snap_step(s);
}

void fg_confsync_tick(struct fg_confsync *s, fg_ms now, fg_confsync_emit emit,
		      void *arg)
{
	enter(s, now, emit, arg);
	s->last_tick = now;
	settle(s, true);
}

bool fg_confsync_on_table(struct fg_confsync *s, fg_ms now,
			  const struct fg_table_result *res,
			  fg_confsync_emit emit, void *arg)
{
	bool ours;

	enter(s, now, emit, arg);
	ours = cs_fetch_result(s, res) || cs_change_result(s, res) ||
	       cs_snap_result(s, res);
	settle(s, false);
	return ours;
}

void fg_confsync_on_msg(struct fg_confsync *s, fg_ms now, uint64_t from,
			const fg_msg *msg, fg_confsync_emit emit, void *arg)
{
	if (from == s->self)
		return;
	enter(s, now, emit, arg);
	if (msg->body.type == FG_MSG_CONFIG_ASK)
		cs_on_ask(s, from, &msg->body.fg_body_u.config_ask);
	else if (msg->body.type == FG_MSG_CONFIG_TELL)
		cs_on_tell(s, from, &msg->body.fg_body_u.config_tell);
	else
		return;
	settle(s, false);
}

/* What a peer said at `said` or later of its revision. */
static void heard(struct fg_confsync *s, fg_ms said, uint64_t peer,
		  uint64_t revision, uint32_t confirm_age_ms)
{
	if (revision == fg_config_revision(s->c) &&
	    confirm_age_ms != UINT32_MAX && said != CS_NEVER)
		cs_confirm(s, said - confirm_age_ms);
	cs_peer_heard(s, peer, revision);
	settle(s, false);
}

void fg_confsync_on_ping(struct fg_confsync *s, fg_ms now, uint64_t peer,
			 uint64_t revision, uint32_t confirm_age_ms,
			 fg_confsync_emit emit, void *arg)
{
	fg_ms said = now - FG_CONFSYNC_PING_DELAY_MAX_MS;

	if (peer == s->self)
		return;
	enter(s, now, emit, arg);
	/* During a pause the message may have waited in a buffer for longer
	 * than the doubt allows. */
	if (now < s->distrust_until)
		said = CS_NEVER;
	heard(s, said, peer, revision, confirm_age_ms);
}

void fg_confsync_on_pong(struct fg_confsync *s, fg_ms now, fg_ms asked,
			 uint64_t peer, uint64_t revision,
			 uint32_t confirm_age_ms, fg_confsync_emit emit,
			 void *arg)
{
	if (peer == s->self)
		return;
	enter(s, now, emit, arg);
	heard(s, MIN(asked, now), peer, revision, confirm_age_ms);
}
