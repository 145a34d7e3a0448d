/* Forwarding of an endpoint's answer to the caller. */
#include "gateway/fg_gateway_internal.h"

#include <string.h>

/* Reading from the endpoint pauses while more than this is queued for the
 * caller. */
#define PENDING_MAX_BYTES (256 * 1024)

/* Ends the send because its answer is unusable, and closes the connection. */
static void abandon_send(struct fg_gwreq *r, enum fg_send_end end,
			 const char *why)
{
	fg_send_cancel(r);
	fg_gwreq_on_send_end(r, end, why);
}

static void note_answer_start(struct fg_gwreq *r)
{
	fg_ms now = fg_clock_now();

	if (r->answer_begun)
		return;
	r->answer_begun = true;
	r->begun_at = now;
	if (r->first_at == 0)
		r->first_at = now;
	fg_gwreq_clear_pending(r);
	fg_gw_overload_note_answer(r, now);
	fg_send_note_first(r, now);
	fg_hist_add(r->gw->hist_first, (uint64_t)(now - r->arrived_at));
	if (r->service->engine)
		fg_health_record_first_token(
			r->ep, (uint32_t)(now - r->sent_at), r->expected_ms);
}

static void write_head(struct fg_gwreq *r, const struct fg_h1_head *head,
		       GString *out)
{
	struct fg_caller *c = r->caller;

	fg_link_set_label(c->link, r->call.id);
	if (fg_gw_is_stopping(r->gw) || !c->h1.head.keep_alive)
		c->close_after = true;
	g_string_append_printf(out, "HTTP/1.1 %u %s\r\n", head->status,
			       http_status_str((enum http_status)head->status));
	for (uint32_t i = 0; i < head->n_head_fields; i++) {
		if (fg_h1_is_hop_by_hop(head, i))
			continue;
		g_string_append(out, fg_h1_field_name(head, i));
		g_string_append(out, ": ");
		g_string_append(out, fg_h1_field_value(head, i));
		g_string_append(out, "\r\n");
	}
	if (c->close_after)
		g_string_append(out, "Connection: close\r\n");
}

static bool is_event_stream(const struct fg_h1_head *head)
{
	const char *type = fg_h1_get_field(head, "Content-Type");

	return type != NULL && strstr(type, "event-stream") != NULL;
}

static bool is_success(unsigned int status)
{
	return status >= 200 && status < 300;
}

static bool is_streamed(const struct fg_gwreq *r, const struct fg_h1_head *head)
{
	return r->route->streaming && is_success(head->status) &&
	       is_event_stream(head);
}

/* Handles a refusal in which the endpoint states that it did not run the
 * request. */
static void handle_not_run(struct fg_gwreq *r,
			   const struct fg_wire_reply *reply, fg_ms now)
{
	struct fg_fleet_ep *ep = r->ep;

	if (!reply->misdirected) {
		if (ep->shared_room)
			fg_ep_pause(ep, now, FG_BRITTLE_PAUSE_MS);
		fg_health_record_answer(ep, now, true);
		fg_gw_overload_note_full(r, now);
		abandon_send(r, FG_SEND_NOT_RUN, "endpoint_full");
		return;
	}
	if (!fg_ep_sent_reply(ep, reply)) {
		ep->addr_taken = true;
		fg_log(FG_LOG_WARN, "endpoint", "address_reused", "endpoint",
		       ep->facts.id, "address", ep->facts.address, NULL);
		abandon_send(r, FG_SEND_NOT_RUN, "address_reused");
		return;
	}
	abandon_send(r, FG_SEND_ABSENT, "adapter_absent");
}

/* Callers take these to mean that the request has not run. */
static bool promises_no_run(unsigned int status)
{
	return status == HTTP_STATUS_REQUEST_TIMEOUT ||
	       status == HTTP_STATUS_MISDIRECTED_REQUEST ||
	       status == HTTP_STATUS_TOO_MANY_REQUESTS ||
	       status == HTTP_STATUS_SERVICE_UNAVAILABLE;
}

/*
 * Returns whether the answer is known to be of this request. A second copy of
 * an earlier answer, which may be a refusal, can arrive late, and only the id
 * tells it from the answer that is due. Answers with another id do not get
 * here.
 */
static bool is_of_request(const struct fg_gwreq *r,
			  const struct fg_h1_head *head)
{
	const struct fg_wire_reply *reply = &r->conn->reply;

	if (reply->id != NULL)
		return true;
	if (r->conn->n_answers > 0)
		return false;
	return r->call.id == NULL ||
	       !(reply->not_run || promises_no_run(head->status));
}

bool fg_answer_head(struct fg_gwreq *r, const struct fg_h1_head *head)
{
	const struct fg_wire_reply *reply = &r->conn->reply;
	fg_ms now = fg_clock_now();

	if (!is_of_request(r, head)) {
		abandon_send(r, FG_SEND_BROKEN, "answer_without_id");
		return true;
	}
	if (reply->not_run || reply->misdirected) {
		handle_not_run(r, reply, now);
		return true;
	}
	fg_health_record_answer(
		r->ep, now, head->status >= HTTP_STATUS_INTERNAL_SERVER_ERROR);
	if (is_success(head->status) &&
	    (!reply->from_service || reply->encoded)) {
		abandon_send(r, FG_SEND_BROKEN, "unsigned_answer");
		return true;
	}
	if (promises_no_run(head->status) && !fg_gwreq_may_run_again(r)) {
		abandon_send(r, FG_SEND_ERROR, "refusal_unproven");
		return true;
	}
	if (head->status >= HTTP_STATUS_INTERNAL_SERVER_ERROR &&
	    (r->head_sent || (r->route->idempotent &&
			      r->possible_runs + 1 < r->route->attempts_max))) {
		abandon_send(r, FG_SEND_ERROR, "endpoint_error");
		return true;
	}
	if (r->head_sent &&
	    (!is_streamed(r, head) || head->status != r->status_sent)) {
		abandon_send(r, FG_SEND_BROKEN, "not_resumed");
		return true;
	}
	r->head_at = now;
	if (!is_streamed(r, head)) {
		note_answer_start(r);
		if (r->answer_body == NULL)
			r->answer_body = g_byte_array_new();
	}
	return true;
}

/* Before the first event of this answer: notes the version that it came from.
 * An entry that changed since the request was sent leaves the version open. */
static void note_software(struct fg_gwreq *r)
{
	if (r->head_sent)
		return;
	if (r->software == 0) {
		bool unchanged = r->sent_software != 0 &&
				 r->sent_software == r->ep->software;

		r->software = unchanged ? r->sent_software : FG_SOFTWARE_NONE;
	}
	fg_gw_origin_record(r);
}

/* Callers of HTTP/1.0 cannot read chunks: for them, a stream ends with its
 * connection, which is reset when the stream breaks or this process ends. */
static bool takes_chunks(const struct fg_caller *c)
{
	return c->h1.head.http_minor > 0;
}

static void write_stream_head(struct fg_gwreq *r, GString *out)
{
	struct fg_caller *c = r->caller;

	if (!takes_chunks(c)) {
		c->close_after = true;
		fg_link_reset_on_exit(c->link);
	}
	write_head(r, &r->conn->h1.head, out);
	if (takes_chunks(c))
		g_string_append(out, "Transfer-Encoding: chunked\r\n");
	g_string_append(out, "\r\n");
	r->head_sent = true;
	r->status_sent = r->conn->h1.head.status;
}

/* Forwards complete events, and the answer's head before the first of them. */
static void forward_events(struct fg_gwreq *r, size_t len)
{
	GString *out = g_string_sized_new(len + 512);
	struct fg_caller *c = r->caller;

	if (!r->head_sent)
		write_stream_head(r, out);
	if (takes_chunks(c))
		g_string_append_printf(out, "%zx\r\n", len);
	g_string_append_len(out, r->events.partial->str, (gssize)len);
	if (takes_chunks(c))
		g_string_append(out, "\r\n");
	fg_events_consume(&r->events, len);
	fg_link_write(c->link, out->str, out->len);
	g_string_free(out, TRUE);
	if (fg_link_pending_bytes(c->link) > PENDING_MAX_BYTES ||
	    (fg_link_pending_bytes(c->link) > 0 &&
	     fg_memory_answers_crowd(&r->gw->memory)))
		fg_link_pause(r->conn->link);
	fg_gw_memory_note_written(c);
}

static void append_answer_body(struct fg_gwreq *r, const char *data,
			       size_t len_bytes)
{
	uint64_t bytes =
		fg_gw_memory_array_bytes(r->answer_body->len + len_bytes);
	uint64_t held = r->caller->memory.collected_bytes;

	if (bytes > held &&
	    !fg_gw_memory_may_collect(r->caller, bytes - held)) {
		abandon_send(r, FG_SEND_BROKEN, "answers_too_large");
		return;
	}
	fg_memory_set_collected(&r->gw->memory, &r->caller->memory, bytes);
	g_byte_array_append(r->answer_body, (const guint8 *)data,
			    (guint)len_bytes);
}

void fg_answer_body(struct fg_gwreq *r, const char *data, size_t len_bytes)
{
	gssize complete_bytes;

	if (!is_streamed(r, &r->conn->h1.head)) {
		append_answer_body(r, data, len_bytes);
		return;
	}
	complete_bytes = fg_events_feed(&r->events, data, len_bytes);
	if (complete_bytes > 0) {
		note_answer_start(r);
		note_software(r);
		forward_events(r, (size_t)complete_bytes);
	}
	if (r->events.broken)
		abandon_send(r, FG_SEND_BROKEN, "not_continued");
	else if (complete_bytes < 0)
		abandon_send(r, FG_SEND_BROKEN, "event_too_large");
}

static void report_answered(const struct fg_gwreq *r, unsigned int status)
{
	char code[12];

	g_snprintf(code, sizeof(code), "%u", status);
	fg_gwreq_count_outcome(r, "answered", NULL);
	fg_gwreq_log_routine(r, "answered", code);
	fg_gw_took_note(r, fg_clock_now(), true);
	if (is_success(status))
		fg_blame_on_answer(r->gw->blame, fg_clock_now(), r->ep->hash,
				   r->call.shared_parts);
}

static void finish_stream(struct fg_gwreq *r)
{
	static const char last_chunk[] = "0\r\n\r\n";

	if (r->events.partial->len > 0 || !r->head_sent) {
		fg_gwreq_on_send_end(r, FG_SEND_BROKEN, "stream_cut");
		return;
	}
	if (takes_chunks(r->caller))
		fg_link_write(r->caller->link, last_chunk,
			      sizeof(last_chunk) - 1);
	report_answered(r, HTTP_STATUS_OK);
	fg_gwreq_finish(r);
}

static void finish_plain(struct fg_gwreq *r, const struct fg_h1_head *head)
{
	GString *out = g_string_sized_new(512);
	size_t len_bytes = r->answer_body->len;
	GBytes *body;

	write_head(r, head, out);
	if (r->head->method == HTTP_HEAD && head->length_bytes >= 0)
		g_string_append_printf(
			out, "Content-Length: %" G_GINT64_FORMAT "\r\n",
			(gint64)head->length_bytes);
	else if (head->status != HTTP_STATUS_NO_CONTENT &&
		 head->status != HTTP_STATUS_NOT_MODIFIED)
		g_string_append_printf(out, "Content-Length: %zu\r\n",
				       len_bytes);
	g_string_append(out, "\r\n");
	body = g_byte_array_free_to_bytes(r->answer_body);
	r->answer_body = NULL;
	fg_memory_set_collected(&r->gw->memory, &r->caller->memory, 0);
	fg_link_write_with_body(r->caller->link, out->str, out->len, body);
	g_bytes_unref(body);
	g_string_free(out, TRUE);
	fg_gw_memory_note_written(r->caller);
	report_answered(r, head->status);
	fg_gwreq_finish(r);
}

void fg_answer_end(struct fg_gwreq *r, const struct fg_h1_head *head)
{
	if (is_streamed(r, head))
		finish_stream(r);
	else
		finish_plain(r, head);
}
