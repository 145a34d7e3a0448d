/* Entry points of confsync and functions shared by its files. */
#include <inttypes.h>
#include <string.h>

#include "config/fg_confsync_priv.h"

/* Upper bits of the operation ids of confsync; other modules use others. */
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

/* ---- Create and free ---- */

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
	s->last_tick_at = CS_NEVER;
	s->msgs_stale_until = CS_NEVER;
	s->confirmed_at = CS_NEVER;
	s->fetch.polled_at = CS_NEVER;
	s->fetch.retry_at = CS_NEVER;
	s->write.retry_at = CS_NEVER;
	s->next_ask_at = CS_NEVER;
	s->notified_revision = fg_config_revision(c);
	s->peers = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 g_free);
	g_queue_init(&s->changes);
	g_queue_init(&s->awaiting_acks);
	g_queue_init(&s->deltas);
	return s;
}

static void free_delta(struct cs_delta *d)
{
	g_free(d->text);
	g_free(d);
}

static void clear_deltas(struct fg_confsync *s)
{
	struct cs_delta *d;

	while ((d = g_queue_pop_head(&s->deltas)) != NULL)
		free_delta(d);
	s->deltas_bytes = 0;
}

static void free_change(gpointer ch)
{
	cs_change_free(ch);
}

void fg_confsync_free(struct fg_confsync *s)
{
	if (s == NULL)
		return;
	clear_deltas(s);
	g_queue_clear_full(&s->changes, free_change);
	g_queue_clear_full(&s->awaiting_acks, free_change);
	cs_snap_reset(s);
	fg_config_loader_free(s->fetch.loader);
	fg_config_loader_free(s->loader);
	if (s->part_cache != NULL)
		g_ptr_array_free(s->part_cache, TRUE);
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
	if (s->confirmed_at == CS_NEVER || now - s->confirmed_at > UINT32_MAX)
		return UINT32_MAX;
	return now > s->confirmed_at ? (uint32_t)(now - s->confirmed_at) : 0;
}

/* ---- Shared functions ---- */

uint64_t cs_next_op_id(struct fg_confsync *s)
{
	return OP_TAG | ++s->next_op;
}

uint64_t cs_send_op(struct fg_confsync *s, struct fg_table_op *op)
{
	struct fg_confsync_act act = { .type = FG_CS_TABLE, .op = op };
	uint64_t id = op->id;

	s->emit(s->arg, &act);
	return id;
}

void cs_send_msg(struct fg_confsync *s, uint64_t to, fg_msg *msg)
{
	struct fg_confsync_act act = { .type = FG_CS_SEND,
				       .to = to,
				       .msg = msg };

	s->emit(s->arg, &act);
}

void cs_set_confirmed_at(struct fg_confsync *s, fg_ms at)
{
	if (at > s->confirmed_at)
		s->confirmed_at = at;
}

void cs_set_fault(struct fg_confsync *s, const char *source,
		  const GError *error)
{
	g_free(s->fault);
	s->fault = g_strdup_printf("%s: %s", source,
				   error != NULL ? error->message : "invalid");
}

static void clear_fault(struct fg_confsync *s)
{
	g_free(s->fault);
	s->fault = NULL;
}

static void keep_delta(struct fg_confsync *s, const char *text)
{
	struct cs_delta *d = g_new0(struct cs_delta, 1);

	d->revision = fg_config_revision(s->c);
	d->text = g_strdup(text);
	g_queue_push_tail(&s->deltas, d);
	s->deltas_bytes += strlen(text);
	while (s->deltas.length > CS_DELTAS_MAX ||
	       s->deltas_bytes > CS_DELTAS_MAX_BYTES) {
		d = g_queue_pop_head(&s->deltas);
		s->deltas_bytes -= strlen(d->text);
		free_delta(d);
	}
}

/* The instance that stored a change pushes it to its peers, also when the
 * answer to the write was lost and the delta is only seen in a later read. */
static void record_own_change(struct fg_confsync *s, const json_t *obj)
{
	const char *nonce = json_string_value(json_object_get(obj, "nonce"));

	if (nonce != NULL && g_str_has_prefix(nonce, s->nonce_prefix))
		s->push_revision = fg_config_revision(s->c);
}

bool cs_apply_delta_json(struct fg_confsync *s, const char *source,
			 const json_t *obj, const char *text)
{
	g_autoptr(GError) error = NULL;

	if (!fg_config_apply_json(s->c, obj, &error)) {
		cs_set_fault(s, source, error);
		return false;
	}
	clear_fault(s);
	keep_delta(s, text);
	record_own_change(s, obj);
	return true;
}

bool cs_apply_delta(struct fg_confsync *s, const char *source, const char *text)
{
	g_autoptr(GError) error = NULL;
	json_t *obj = fg_config_parse(text, &error);
	bool ok;

	if (obj == NULL) {
		cs_set_fault(s, source, error);
		return false;
	}
	ok = cs_apply_delta_json(s, source, obj, text);
	json_decref(obj);
	return ok;
}

void cs_drop_loader(struct fg_config_loader **l)
{
	fg_config_loader_free(*l);
	*l = NULL;
}

void cs_finish_loader(struct fg_confsync *s, struct fg_config_loader **l)
{
	uint64_t before = fg_config_revision(s->c);

	fg_config_loader_finish(*l, s->c);
	*l = NULL;
	if (fg_config_revision(s->c) == before)
		return;
	clear_deltas(s);
	clear_fault(s);
}

/* ---- Entry points ---- */

static void begin_call(struct fg_confsync *s, fg_ms now, fg_confsync_emit emit,
		       void *arg)
{
	s->now = now;
	s->emit = emit;
	s->arg = arg;
	if (s->last_tick_at != CS_NEVER && now - s->last_tick_at > CS_PAUSE_MS)
		s->msgs_stale_until = now + CS_PAUSE_MS;
}

/* Does what is due after an event. CHANGED is emitted before any answer that
 * relies on the revision being in force. Steps that iterate over all peers run
 * on ticks only, so that hundreds of acknowledgements cost one iteration. */
static void run_steps(struct fg_confsync *s, bool tick)
{
	uint64_t revision;

	cs_fetch_step(s);
	cs_change_step(s);
	revision = fg_config_revision(s->c);
	if (revision != s->notified_revision) {
		struct fg_confsync_act act = { .type = FG_CS_CHANGED,
					       .revision = revision };

		g_assert(revision > s->notified_revision);
		s->notified_revision = revision;
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
	begin_call(s, now, emit, arg);
	s->last_tick_at = now;
	run_steps(s, true);
}

bool fg_confsync_on_table(struct fg_confsync *s, fg_ms now,
			  const struct fg_table_result *res,
			  fg_confsync_emit emit, void *arg)
{
	bool is_own;

	begin_call(s, now, emit, arg);
	is_own = cs_fetch_on_result(s, res) || cs_change_on_result(s, res) ||
		 cs_snap_on_result(s, res);
	run_steps(s, false);
	return is_own;
}

void fg_confsync_on_msg(struct fg_confsync *s, fg_ms now, uint64_t from,
			const fg_msg *msg, fg_confsync_emit emit, void *arg)
{
	if (from == s->self)
		return;
	begin_call(s, now, emit, arg);
	if (msg->body.type == FG_MSG_CONFIG_ASK)
		cs_on_ask(s, from, &msg->body.fg_body_u.config_ask);
	else if (msg->body.type == FG_MSG_CONFIG_TELL)
		cs_on_tell(s, from, &msg->body.fg_body_u.config_tell);
	else
		return;
	run_steps(s, false);
}

/* Handles a peer's report of its revision, made at valid_at or later; CS_NEVER
 * when the time of the report is unknown. */
static void on_peer_revision(struct fg_confsync *s, fg_ms valid_at,
			     uint64_t peer, uint64_t revision,
			     uint32_t confirm_age_ms)
{
	if (revision == fg_config_revision(s->c) &&
	    confirm_age_ms != UINT32_MAX && valid_at != CS_NEVER)
		cs_set_confirmed_at(s, valid_at - confirm_age_ms);
	cs_record_peer_revision(s, peer, revision);
	run_steps(s, false);
}

void fg_confsync_on_ping(struct fg_confsync *s, fg_ms now, uint64_t peer,
			 uint64_t revision, uint32_t confirm_age_ms,
			 fg_confsync_emit emit, void *arg)
{
	fg_ms valid_at = now - FG_CONFSYNC_PING_DELAY_MAX_MS;

	if (peer == s->self)
		return;
	begin_call(s, now, emit, arg);
	/* After a pause of this process the ping may have been buffered for
	 * longer than FG_CONFSYNC_PING_DELAY_MAX_MS. */
	if (now < s->msgs_stale_until)
		valid_at = CS_NEVER;
	on_peer_revision(s, valid_at, peer, revision, confirm_age_ms);
}

void fg_confsync_on_pong(struct fg_confsync *s, fg_ms now, fg_ms ping_sent_at,
			 uint64_t peer, uint64_t revision,
			 uint32_t confirm_age_ms, fg_confsync_emit emit,
			 void *arg)
{
	if (peer == s->self)
		return;
	begin_call(s, now, emit, arg);
	on_peer_revision(s, MIN(ping_sent_at, now), peer, revision,
			 confirm_age_ms);
}
