/* One send of a request to an endpoint, and the connections to endpoints. */
#include "gateway/fg_gateway_internal.h"

#include <string.h>

#define HEAD_MAX_BYTES 65536
#define ANSWER_MAX_BYTES (16 * 1024 * 1024)
/* An idle connection is not reused in the last part of the time for which its
 * endpoint keeps it. */
#define IDLE_MARGIN_MS 700
/* How long an idle connection is reused when the endpoint does not state its
 * timeout. The field counts in seconds, so an unstated timeout may be shorter
 * than one. */
#define IDLE_DEFAULT_MS 300
#define IDLE_MAX_MS 30000
/* Time limit for a connection to be established, in addition to two round trips
 * between regions. */
#define CONNECT_TIMEOUT_MS 400
/* Shortest silence on all connections of this instance at which an endpoint is
 * suspected. For a plain service this is many times the duration of a request.
 * For an engine it exceeds the wait of a prompt at a busy engine, from which
 * one of many instances rarely receives anything. */
#define SILENCE_ENGINE_MS 2000
#define SILENCE_PLAIN_MS 500
/* Interval at which another endpoint is looked for after that. */
#define OTHER_CHECK_MS 250

fg_ms fg_ep_connect_timeout_ms(const struct fg_gateway *gw)
{
	return CONNECT_TIMEOUT_MS + 2 * gw->balance.cross_region_rtt_ms;
}

/* ---- Connections ---- */

static void conn_free(struct fg_ep_conn *conn)
{
	if (conn->report != NULL)
		g_string_free(conn->report, TRUE);
	fg_hop_clear(conn);
	fg_h1_clear(&conn->h1);
	fg_ep_unref(conn->ep);
	g_free(conn);
}

/* Frees a closed connection in the next iteration of the event loop, since
 * functions that called fg_ep_conn_close() may still read the record. */
static void on_free_timer(uv_timer_t *timer)
{
	conn_free(timer->data);
	fg_gw_timer_free(timer);
}

void fg_ep_conn_close(struct fg_ep_conn *conn)
{
	struct fg_ep_local *local = conn->ep->user;

	if (conn->link == NULL)
		return;
	if (conn->connected && local != NULL && local->open_conns > 0) {
		local->open_conns--;
		local->last_open_at = fg_clock_now();
	}
	fg_link_close(conn->link, false);
	conn->link = NULL;
	uv_timer_start(fg_gw_timer_new(conn->gw, conn), on_free_timer, 0, 0);
}

static void remove_idle(struct fg_ep_conn *conn)
{
	struct fg_ep_local *local = conn->ep->user;

	if (local != NULL)
		g_ptr_array_remove(local->idle, conn);
}

/* ---- Bytes that belong to no request ---- */

/* Notes that the endpoint sent such bytes; `where` says when. */
static void note_stutter(const struct fg_ep_conn *conn, const char *where)
{
	const char *service = conn->ep->facts.service;
	struct fg_stutter *s = fg_gw_get_named(conn->gw->stutters, service,
					       sizeof(struct fg_stutter));

	if (!fg_stutter_note(s, fg_clock_now()))
		return;
	fg_gw_count_event(conn->gw, "stutters", NULL);
	fg_log(FG_LOG_WARN, "endpoint", "stutters", "endpoint",
	       conn->ep->facts.id, "service", service, "where", where, NULL);
}

/* Returns whether the request may share a connection with others. */
static bool allows_reuse(const struct fg_gwreq *r, fg_ms now)
{
	const struct fg_stutter *s =
		g_hash_table_lookup(r->gw->stutters, r->service->name);

	return fg_stutter_allows_reuse(s, now, fg_gwreq_may_run_again(r));
}

/*
 * Returns whether other bytes than those of a further answer follow a complete
 * one: its length, or its last chunk, was wrong, and the body is a part of what
 * the endpoint sent. Where no byte came with the answer, some may have arrived
 * since; through another instance, the socket does not show them.
 */
static bool has_rest(const struct fg_ep_conn *conn, const char *data,
		     size_t len)
{
	char next[FG_H1_STATUS_LINE_BYTES];

	if (conn->skip_message || conn->report != NULL)
		return false;
	if (len > 0 || conn->hop != NULL)
		return !fg_h1_may_begin_answer(data, len);
	len = fg_link_peek(conn->link, next, sizeof(next));
	return !fg_h1_may_begin_answer(next, len);
}

/* Returns whether the rest that came with an answer may be that of a copy of an
 * earlier answer on the connection, a piece of which is within the body. */
static bool may_be_rest_of_copy(const struct fg_ep_conn *conn, size_t len)
{
	return len > 0 && conn->n_answers > 0 &&
	       conn->h1.head.length_bytes >= 0;
}

/* ---- Reading answers ---- */

static void write_request(struct fg_ep_conn *conn);
static void arm_silence_timeout(struct fg_gwreq *r, fg_ms now);
static void fail_answer(struct fg_ep_conn *conn, const char *why);

void fg_ep_conn_fail(struct fg_ep_conn *conn, enum fg_send_end end,
		     const char *why)
{
	struct fg_gwreq *r = conn->req;

	conn->req = NULL;
	fg_ep_conn_close(conn);
	if (r == NULL)
		return;
	r->conn = NULL;
	fg_gwreq_on_send_end(r, end, why);
}

/* An endpoint that sends more than this before its answer sends without end.
 * An informational answer is a head; an answer to another request may be as
 * large as any. */
#define SKIPPED_MAX 32
#define INFORMATIONAL_MAX_BYTES HEAD_MAX_BYTES
#define SKIPPED_MAX_BYTES ANSWER_MAX_BYTES

/* Counts a message that was skipped. Returns false when there were too many. */
static bool count_skipped(struct fg_ep_conn *conn)
{
	if (fg_h1_is_informational(conn->h1.head.status))
		conn->informational_bytes += conn->message_bytes;
	else
		conn->skipped_bytes += conn->message_bytes;
	conn->message_bytes = 0;
	return ++conn->n_skipped <= SKIPPED_MAX &&
	       conn->informational_bytes <= INFORMATIONAL_MAX_BYTES &&
	       conn->skipped_bytes <= SKIPPED_MAX_BYTES;
}

/* A send begins on the connection. */
static void reset_skipped(struct fg_ep_conn *conn)
{
	conn->skip_message = false;
	conn->n_skipped = 0;
	conn->message_bytes = 0;
	conn->skipped_bytes = 0;
	conn->informational_bytes = 0;
}

/* A longer report is cut off and cannot be read. */
#define REPORT_MAX_BYTES (256 * 1024)

static void append_report(struct fg_ep_conn *conn, const char *data, size_t len)
{
	size_t room = REPORT_MAX_BYTES - conn->report->len;

	g_string_append_len(conn->report, data, (gssize)MIN(len, room));
}

static bool on_head(void *ctx, const struct fg_h1_head *head)
{
	struct fg_ep_conn *conn = ctx;
	struct fg_gwreq *r = conn->req;
	bool has_body = r == NULL || r->head->method != HTTP_HEAD;

	if (conn->report != NULL) {
		conn->status = head->status;
		conn->skip_message = fg_h1_is_informational(head->status);
		return true;
	}
	if (r == NULL)
		return has_body;
	conn->gw->wire->reply_read(head, &conn->reply);
	if (conn->reply.has_two_ids) {
		note_stutter(conn, "in_head");
		fg_ep_conn_fail(conn, FG_SEND_BROKEN, "answer_mixed");
		return true;
	}
	fg_ep_apply_reply(conn->gw, conn->ep, &conn->reply);
	if (conn->via != 0)
		fg_gw_tunnel_tell(conn->gw, conn->via, conn->ep, &conn->reply);
	conn->status = head->status;
	conn->skip_message = fg_h1_is_informational(head->status) ||
			     (conn->reply.id != NULL && r->call.id != NULL &&
			      strcmp(conn->reply.id, r->call.id) != 0);
	if (conn->skip_message) {
		if (!fg_h1_is_informational(head->status))
			note_stutter(conn, "before_answer");
		return has_body;
	}
	fg_ep_apply_limit(conn->gw, conn->ep, &conn->reply);
	fg_ep_apply_brittle(conn->gw, conn->ep, &conn->reply);
	conn->head_seen = true;
	conn->unread_body = fg_link_pending_bytes(conn->link);
	return fg_answer_head(r, head) && has_body;
}

static void on_body(void *ctx, const char *data, size_t len)
{
	struct fg_ep_conn *conn = ctx;

	if (conn->report != NULL && !conn->skip_message)
		append_report(conn, data, len);
	else if (conn->req != NULL && !conn->skip_message)
		fg_answer_body(conn->req, data, len);
}

static const struct fg_h1_ops h1_ops = {
	.on_head = on_head,
	.on_body = on_body,
};

static void keep_idle(struct fg_ep_conn *conn, fg_ms now)
{
	fg_ms idle_ms = IDLE_DEFAULT_MS;

	if (conn->reply.idle_timeout_s > 0)
		idle_ms = (fg_ms)conn->reply.idle_timeout_s * FG_MS_PER_S -
			  IDLE_MARGIN_MS;
	conn->idle_until = now + MIN(idle_ms, IDLE_MAX_MS);
	fg_h1_reset(&conn->h1);
	g_ptr_array_add(fg_ep_local_get(conn->gw, conn->ep)->idle, conn);
}

/* Returns whether the report is of the start that the endpoint's entry states.
 */
static bool is_same_start(const struct fg_ep_conn *conn)
{
	struct fg_engine_report report;
	GError *why = NULL;

	if (conn->status != HTTP_STATUS_OK)
		return false;
	if (!conn->gw->wire->report_read(conn->report->str, conn->report->len,
					 &report, &why)) {
		fg_log(FG_LOG_WARN, "endpoint", "report_refused", "endpoint",
		       conn->ep->facts.id, "reason", why->message, NULL);
		g_error_free(why);
		return false;
	}
	return report.born != 0 && report.born == conn->ep->facts.born;
}

/* The report that was asked for before the request is complete. */
static void end_report(struct fg_ep_conn *conn, bool reusable)
{
	struct fg_gwreq *r = conn->req;
	bool same = reusable && is_same_start(conn);

	g_string_free(conn->report, TRUE);
	conn->report = NULL;
	fg_h1_reset(&conn->h1);
	reset_skipped(conn);
	if (same) {
		struct fg_ep_local *local = conn->ep->user;

		local->doubts_cleared =
			MAX(local->doubts_cleared, conn->doubts);
	} else {
		fg_gwreq_log(r, "start_not_confirmed", NULL);
	}
	if (!fg_gw_workspace_is_current(r)) {
		fg_ep_conn_fail(conn, FG_SEND_NOT_SENT, "key_changed");
		return;
	}
	/* On a connection in use again, it may have been a late second copy of
	 * an earlier answer. Without an id, the answer to the request could not
	 * be told from a copy of the report. */
	if (!reusable || r->call.id == NULL ||
	    (!same && (r->software != 0 || conn->reused))) {
		fg_ep_conn_fail(conn, FG_SEND_NOT_SENT, "start_not_confirmed");
		return;
	}
	write_request(conn);
	if (!same)
		r->sent_software = 0;
	arm_silence_timeout(r, fg_clock_now());
}

/* Handles the end of a complete message. `clean`: no bytes follow it. */
static void finish_message(struct fg_ep_conn *conn, bool clean)
{
	struct fg_gwreq *r = conn->req;
	bool reusable = clean && conn->h1.head.keep_alive &&
			fg_link_pending_bytes(conn->link) == 0 &&
			conn->unread_body == 0;

	if (!fg_h1_is_informational(conn->h1.head.status))
		conn->n_answers++;
	if (conn->skip_message) {
		conn->skip_message = false;
		if (count_skipped(conn))
			fg_h1_reset(&conn->h1);
		else
			fail_answer(conn, "endless_answers");
		return;
	}
	if (conn->report != NULL) {
		end_report(conn, reusable);
		return;
	}
	/* A tunnel would occupy the other instance while it is idle. */
	reusable =
		reusable && conn->via == 0 && allows_reuse(r, fg_clock_now());
	conn->req = NULL;
	r->conn = NULL;
	fg_answer_end(r, &conn->h1.head);
	if (reusable && fg_ep_is_usable(conn->ep, fg_clock_now()))
		keep_idle(conn, fg_clock_now());
	else
		fg_ep_conn_close(conn);
}

/* Returns whether an answer is expected: to a request, or to the call for a
 * tunnel. */
static bool awaits_answer(const struct fg_ep_conn *conn)
{
	return conn->link != NULL &&
	       (conn->req != NULL || conn->tunnel_pending);
}

static void log_bad_status(const struct fg_ep_conn *conn)
{
	char status[FG_H1_STATUS_TEXT_BYTES];

	fg_h1_bad_status(&conn->h1, status);
	fg_gw_count_event(conn->gw, "bad_statuses", NULL);
	fg_log(FG_LOG_WARN, "endpoint", "bad_status", "endpoint",
	       conn->ep->facts.id, "service", conn->ep->facts.service, "status",
	       status, NULL);
}

/* Counts and logs that the endpoint broke a rule of HTTP, at that byte of its
 * message. The bytes themselves may hold a caller's data. */
static void log_malformed(const struct fg_ep_conn *conn, enum fg_h1_rule rule)
{
	char at[FG_H1_AT_TEXT_BYTES];

	fg_h1_format_fault_at(&conn->h1, at);
	fg_gw_count_malformed(conn->gw, "malformed_answers", rule);
	fg_log(FG_LOG_WARN, "endpoint", "malformed_answer", "endpoint",
	       conn->ep->facts.id, "service", conn->ep->facts.service, "rule",
	       fg_h1_rule_name(rule), "at_byte", at, NULL);
}

static const char *fault_reason(const struct fg_h1 *h1)
{
	return h1->fault == FG_H1_BAD_STATUS ? "bad_status"
					     : "malformed_answer";
}

/* The endpoint sends something that is no answer. */
static void fail_answer(struct fg_ep_conn *conn, const char *why)
{
	if (conn->reused)
		note_stutter(conn, "in_answer");
	fg_health_record_failure(conn->ep, fg_clock_now());
	fg_ep_conn_fail(
		conn, conn->report == NULL ? FG_SEND_BROKEN : FG_SEND_NOT_SENT,
		why);
}

void fg_ep_conn_feed(struct fg_ep_conn *conn, const char *data, size_t len)
{
	/* Here and not where bytes of the connection arrive: through another
	 * instance, some of these are not from the endpoint. */
	fg_ep_local_get(conn->gw, conn->ep)->last_byte_at = fg_clock_now();
	while (len > 0 && awaits_answer(conn)) {
		size_t used = fg_h1_feed(&conn->h1, data, len);

		if (!awaits_answer(conn))
			return;
		if (conn->h1.fault == FG_H1_BAD_STATUS)
			log_bad_status(conn);
		if (conn->h1.fault == FG_H1_MALFORMED)
			log_malformed(conn, conn->h1.rule);
		if (conn->h1.fault != FG_H1_OK) {
			fail_answer(conn, fault_reason(&conn->h1));
			return;
		}
		conn->message_bytes += used;
		data += used;
		len -= used;
		if (!conn->h1.ended)
			continue;
		if (len > 0 && !conn->skip_message)
			note_stutter(conn, "after_answer");
		if (!has_rest(conn, data, len)) {
			finish_message(conn, len == 0);
			continue;
		}
		if (may_be_rest_of_copy(conn, len)) {
			fg_ep_conn_fail(conn, FG_SEND_BROKEN, "answer_mixed");
			return;
		}
		log_malformed(conn, FG_H1_RULE_REST);
		fail_answer(conn, "malformed_answer");
		return;
	}
}

static void on_data(void *ctx, const char *data, size_t len)
{
	struct fg_ep_conn *conn = ctx;

	if (!awaits_answer(conn)) {
		/* An idle connection must not receive anything. */
		note_stutter(conn, "idle");
		remove_idle(conn);
		fg_ep_conn_close(conn);
		return;
	}
	if (conn->hop != NULL)
		fg_hop_feed(conn, data, len);
	else
		fg_ep_conn_feed(conn, data, len);
}

/* The end of a connection that carries no request. */
static void end_unused(struct fg_ep_conn *conn, enum fg_link_end end)
{
	struct fg_ep_local *local = conn->ep->user;

	remove_idle(conn);
	fg_ep_conn_close(conn);
	if (local != NULL)
		local->doubts++;
	if (local == NULL || local->check != conn)
		return;
	local->check = NULL;
	if (end == FG_LINK_REFUSED)
		fg_ep_confirm_crash(conn->gw, conn->ep);
}

void fg_ep_conn_end(struct fg_ep_conn *conn, enum fg_link_end end)
{
	bool connected = conn->connected;

	if (conn->req == NULL) {
		end_unused(conn, end);
		return;
	}
	if (end == FG_LINK_EOF && fg_h1_eof(&conn->h1) && !conn->skip_message) {
		finish_message(conn, false);
		return;
	}
	if (!conn->reused)
		fg_health_record_failure(conn->ep, fg_clock_now());
	fg_ep_local_get(conn->gw, conn->ep)->doubts++;
	if (end == FG_LINK_REFUSED) {
		fg_ep_note_unreached(conn->gw, conn->ep, "refused");
		fg_ep_confirm_crash(conn->gw, conn->ep);
	}
	if (conn->report != NULL) {
		fg_ep_conn_fail(conn, FG_SEND_NOT_SENT, "connection_lost");
		return;
	}
	fg_ep_conn_fail(
		conn, connected ? FG_SEND_BROKEN : FG_SEND_NOT_SENT,
		connected ? (conn->head_seen ? "answer_cut" : "connection_lost")
			  : "connect_failed");
}

static void on_end(void *ctx, enum fg_link_end end)
{
	struct fg_ep_conn *conn = ctx;

	if (conn->hop != NULL)
		fg_hop_on_end(conn, end);
	else
		fg_ep_conn_end(conn, end);
}

/* ---- Sending ---- */

/* `continues`: this answer brought events before, from another send. */
static void log_resume(const struct fg_ep_conn *conn,
		       const struct fg_send_params *send)
{
	const struct fg_gwreq *r = conn->req;
	char after[24];

	g_snprintf(after, sizeof(after), "%" G_GUINT64_FORMAT,
		   (guint64)send->resume_after);
	fg_log_routine("request", "resume_sent", "id", r->call.id, "begun_by",
		       r->call.resumes_id, "continues",
		       r->events.has_id ? "yes" : "no", "after", after,
		       "endpoint", conn->ep->facts.id, "software",
		       conn->ep->facts.software, NULL);
}

static void write_request(struct fg_ep_conn *conn)
{
	struct fg_gwreq *r = conn->req;
	fg_ms now = fg_clock_now();
	GBytes *body = r->caller->whole_body;
	GString *out = g_string_sized_new(1024);
	struct fg_send_params send = {
		.endpoint_id = conn->ep->facts.id,
		.deadline_ms = MAX(fg_gwreq_time_left_ms(r, now), 1),
		.urgency =
			r->service->engine ? fg_gwreq_urgency(r) : UINT32_MAX,
		.version = fg_gwreq_required_version(r, now),
		.resumes = r->call.resumes || r->events.has_id,
		.resume_after = r->events.has_id ? r->events.last_id
						 : r->call.resume_after,
		.body_bytes = g_bytes_get_size(body),
		.has_body = g_bytes_get_size(body) > 0 ||
			    r->head->length_bytes >= 0 || r->head->chunked,
		.identified = r->keyed_by->workspaces != NULL ||
			      conn->gw->routes->workspaces != NULL,
		.workspace = r->workspace == NULL ? NULL : r->workspace->name,
	};

	if (send.resumes)
		log_resume(conn, &send);
	conn->gw->wire->call_write(out, r->head, &send);
	r->sent_at = now;
	r->sent_software = conn->ep->software;
	conn->ep->sends++;
	fg_gw_stop_log_sent(r);
	fg_link_write_with_body(conn->link, out->str, out->len, body);
	g_string_free(out, TRUE);
}

static struct fg_took *first_took(const struct fg_gwreq *r)
{
	return fg_gw_get_named(r->gw->first_took, r->service->name,
			       sizeof(struct fg_took));
}

void fg_send_note_first(const struct fg_gwreq *r, fg_ms now)
{
	fg_took_note(first_took(r), now, (uint32_t)(now - r->sent_at));
}

static uint32_t silence_limit_ms(const struct fg_gwreq *r, fg_ms now)
{
	const struct fg_took *took = first_took(r);
	uint32_t expected_ms = MIN(r->expected_ms, UINT32_MAX / 4);
	struct fg_silence_times times = {
		.floor_ms = r->service->engine ? SILENCE_ENGINE_MS
					       : SILENCE_PLAIN_MS,
		.expected_ms = (r->service->engine ? 2 : 4) * expected_ms,
		.longest_ms = fg_took_longest_ms(took, now, 0),
		.usual_ms = took->usual_ms,
		.time_ms = (uint32_t)MAX(r->deadline - r->sent_at, 0),
	};

	return fg_silence_limit_ms(&times);
}

static void arm_silence_timeout(struct fg_gwreq *r, fg_ms now)
{
	if (r->answer_begun || !fg_gwreq_may_run_again(r))
		r->due_at = FG_MS_NEVER;
	else
		r->due_at = now + silence_limit_ms(r, now);
	fg_gwreq_arm_timer(r);
}

/* Returns whether the endpoint may have restarted, with another version of its
 * software, since its entry was written. Only streams depend on the version. */
static bool needs_report(const struct fg_ep_conn *conn)
{
	const struct fg_ep_local *local = conn->ep->user;

	return conn->req->route->resumable && conn->req->service->engine &&
	       conn->doubts > local->doubts_cleared;
}

/* Sends the request of the connection, after a report if the endpoint's start
 * has to be confirmed. */
static void send_request(struct fg_ep_conn *conn)
{
	struct fg_gateway *gw = conn->gw;
	struct fg_wire_request call;

	if (!needs_report(conn)) {
		write_request(conn);
		arm_silence_timeout(conn->req, fg_clock_now());
		return;
	}
	fg_gw_count_event(gw, "starts_checked", NULL);
	conn->report = g_string_new(NULL);
	call = gw->wire->report_get(conn->ep->facts.address,
				    conn->ep->facts.id);
	fg_link_write(conn->link, call.head_and_body, call.len_bytes);
	g_free(call.head_and_body);
	conn->req->due_at = fg_clock_now() + fg_ep_connect_timeout_ms(gw);
	fg_gwreq_arm_timer(conn->req);
}

static void keep_checked(struct fg_ep_conn *conn)
{
	struct fg_ep_local *local = fg_ep_local_get(conn->gw, conn->ep);
	fg_ms now = fg_clock_now();

	if (local->check != conn)
		return;
	local->check = NULL;
	if (fg_ep_is_usable(conn->ep, now))
		keep_idle(conn, now);
	else
		fg_ep_conn_close(conn);
}

static void on_open(void *ctx)
{
	struct fg_ep_conn *conn = ctx;

	if (conn->hop != NULL) {
		fg_hop_ask(conn);
		return;
	}
	fg_ep_note_reached(conn);
	fg_ep_conn_start(conn);
}

void fg_ep_conn_start(struct fg_ep_conn *conn)
{
	conn->connected = true;
	fg_ep_local_get(conn->gw, conn->ep)->open_conns++;
	if (conn->req == NULL) {
		keep_checked(conn);
		return;
	}
	/* It may have said that it leaves while the connection was opened. */
	if (!fg_ep_accepts(conn->ep, fg_clock_now())) {
		fg_ep_conn_fail(conn, FG_SEND_NOT_SENT, "endpoint_closed");
		return;
	}
	/* Its entry may have changed since it was chosen. */
	if (conn->req->software != 0 &&
	    conn->req->software != conn->ep->software) {
		fg_ep_conn_fail(conn, FG_SEND_NOT_SENT, "other_software");
		return;
	}
	/* So may the key, which is decided on again at the next placement. */
	if (!fg_gw_workspace_is_current(conn->req)) {
		fg_ep_conn_fail(conn, FG_SEND_NOT_SENT, "key_changed");
		return;
	}
	send_request(conn);
}

static const struct fg_link_ops link_ops = {
	.on_open = on_open,
	.on_data = on_data,
	.on_end = on_end,
};

static struct fg_ep_conn *take_idle(struct fg_ep_local *local, fg_ms now)
{
	while (local->idle->len > 0) {
		struct fg_ep_conn *conn = g_ptr_array_steal_index_fast(
			local->idle, local->idle->len - 1);

		if (now < conn->idle_until)
			return conn;
		fg_ep_conn_close(conn);
	}
	return NULL;
}

/* A restart takes longer than this. */
#define RESTART_MIN_MS 1000

static uint32_t count_doubts(struct fg_ep_local *local)
{
	if (local->open_conns == 0 &&
	    fg_clock_now() - local->last_open_at > RESTART_MIN_MS)
		local->doubts++;
	return local->doubts;
}

/* `peer` is the instance to go through, or NULL. */
struct fg_ep_conn *fg_ep_conn_new(struct fg_gateway *gw, struct fg_fleet_ep *ep,
				  const struct fg_mesh_peer *peer)
{
	struct fg_ep_conn *conn;

	if (!fg_gw_has_descriptor(gw))
		return NULL;
	conn = g_new0(struct fg_ep_conn, 1);
	conn->gw = gw;
	conn->ep = fg_ep_ref(ep);
	fg_h1_init(&conn->h1, false, &h1_ops, conn, HEAD_MAX_BYTES,
		   ANSWER_MAX_BYTES);
	conn->via = peer == NULL ? 0 : peer->row.incarnation;
	if (peer != NULL)
		fg_hop_init(conn);
	conn->link = fg_link_connect(
		&gw->loop, peer == NULL ? ep->facts.address : peer->row.mesh,
		&link_ops, conn);
	if (conn->link == NULL) {
		conn_free(conn);
		return NULL;
	}
	conn->doubts = count_doubts(fg_ep_local_get(gw, ep));
	fg_gw_count_event(gw, "connections", NULL);
	return conn;
}

void fg_send_start(struct fg_gwreq *r)
{
	struct fg_gateway *gw = r->gw;
	fg_ms now = fg_clock_now();
	struct fg_ep_conn *conn = NULL;
	struct fg_mesh_peer *peer = NULL;

	g_assert(r->conn == NULL);
	r->sends++;
	r->head_at = 0;
	r->answer_begun = false;
	r->begun_at = 0;
	r->n_events_before = r->events.n_complete;
	r->silence_noted = false;
	r->sent_at = now;
	fg_gwreq_drop_answer_body(r);
	/* Only an id tells the answer from a late copy of an earlier one. */
	if (r->call.id != NULL && allows_reuse(r, now))
		conn = take_idle(fg_ep_local_get(gw, r->ep), now);
	if (conn != NULL) {
		conn->reused = true;
		conn->head_seen = false;
		reset_skipped(conn);
		conn->req = r;
		r->conn = conn;
		send_request(conn);
		return;
	}
	if (fg_reach_needs_tunnel(r->ep, now, gw->cut))
		peer = fg_gw_tunnel_choose_peer(gw, now);
	conn = fg_ep_conn_new(gw, r->ep, peer);
	if (conn == NULL) {
		fg_gwreq_on_send_end(r, FG_SEND_NOT_SENT, "no_connection");
		return;
	}
	conn->req = r;
	r->conn = conn;
	r->due_at = now + fg_ep_connect_timeout_ms(gw);
	fg_gwreq_arm_timer(r);
}

static enum fg_silence_verdict judge_silence(struct fg_gwreq *r, fg_ms now)
{
	const struct fg_ep_local *local = fg_ep_local_get(r->gw, r->ep);
	struct fg_silence_view view = {
		.limit_ms = silence_limit_ms(r, now),
		.silent_ms = now - MAX(local->last_byte_at, r->sent_at),
		.may_run_again = fg_gwreq_may_run_again(r),
		.has_budget = fg_gwreq_has_retry_budget(r, now),
		.other_endpoint = true,
	};

	if (r->possible_runs + 1 < r->route->attempts_max)
		view.runs_left = r->route->attempts_max - r->possible_runs - 1;
	if (fg_silence_judge(&view) == FG_SILENCE_WITHDRAW)
		view.other_endpoint = fg_gwreq_prepare_other_endpoint(r, now);
	return fg_silence_judge(&view);
}

/* New requests avoid the endpoint until it sends something again. */
static void suspect_endpoint(struct fg_gwreq *r, fg_ms now)
{
	if (r->silence_noted)
		return;
	r->silence_noted = true;
	fg_health_record_failure(r->ep, now);
	fg_ep_note_silent(r->gw, r->ep);
}

void fg_send_on_timeout(struct fg_gwreq *r, fg_ms now)
{
	enum fg_silence_verdict verdict;

	if (r->conn->tunnel_pending) {
		fg_hop_fail(r->conn, false);
		return;
	}
	if (!r->conn->connected || r->conn->report != NULL) {
		fg_health_record_failure(r->ep, now);
		fg_ep_note_no_connection(r->gw, r->ep);
		fg_send_cancel(r);
		fg_gwreq_on_send_end(r, FG_SEND_NOT_SENT, "connect_timeout");
		return;
	}
	verdict = r->answer_begun ? FG_SILENCE_WAIT : judge_silence(r, now);
	if (verdict != FG_SILENCE_WAIT)
		suspect_endpoint(r, now);
	if (verdict == FG_SILENCE_WAIT) {
		arm_silence_timeout(r, now);
	} else if (verdict == FG_SILENCE_SUSPECT) {
		r->due_at = now + OTHER_CHECK_MS;
		fg_gwreq_arm_timer(r);
	} else {
		fg_send_cancel(r);
		fg_gwreq_on_send_end(r, FG_SEND_BROKEN, "endpoint_silent");
	}
}

void fg_send_cancel(struct fg_gwreq *r)
{
	struct fg_ep_conn *conn = r->conn;

	if (conn == NULL)
		return;
	r->conn = NULL;
	conn->req = NULL;
	fg_ep_conn_close(conn);
}
