/* An endpoint's answer on its way to the caller. */
#include "gateway/fg_gateway_internal.h"

#include <string.h>

/* Reading from the endpoint stops while the caller leaves this much unread. */
#define PENDING_MAX_BYTES (256 * 1024)

/* What a broken or unusable answer leads to; the connection is given up. */
static void give_up(struct fg_gwreq *r, enum fg_send_end end, const char *why)
{
	fg_send_cancel(r);
	fg_gwreq_send_ended(r, end, why);
}

static void note_first(struct fg_gwreq *r)
{
	fg_ms now = fg_clock_now();

	if (r->first_seen)
		return;
	r->first_seen = true;
	if (r->first_at == 0)
		r->first_at = now;
	fg_gwreq_no_longer_pending(r);
	fg_hist_add(r->gw->hist_first, (uint64_t)(now - r->arrived));
	if (r->service->engine)
		fg_health_record_first_token(
			r->ep, (uint32_t)(now - r->sent_at), r->expected_ms);
}

static void write_head(struct fg_gwreq *r, const struct fg_h1_head *head,
		       GString *out)
{
	struct fg_caller *c = r->caller;

	if (r->gw->stopping || !c->h1.head.keep_alive)
		c->last = true;
	g_string_append_printf(out, "HTTP/1.1 %u %s\r\n", head->status,
			       http_status_str((enum http_status)head->status));
	for (uint32_t i = 0; i < head->n_fields; i++) {
		if (fg_h1_is_hop_field(head, i))
			continue;
		g_string_append(out, fg_h1_name(head, i));
		g_string_append(out, ": ");
		g_string_append(out, fg_h1_value(head, i));
		g_string_append(out, "\r\n");
	}
	if (c->last)
		g_string_append(out, "Connection: close\r\n");
}

static bool is_event_stream(const struct fg_h1_head *head)
{
	const char *type = fg_h1_get(head, "Content-Type");

	return type != NULL && strstr(type, "event-stream") != NULL;
}

static bool is_success(unsigned int status)
{
	return status >= 200 && status < 300;
}

static bool streams(const struct fg_gwreq *r, const struct fg_h1_head *head)
{
	return r->route->streaming && is_success(head->status) &&
	       is_event_stream(head);
}

/* The endpoint refused, and says that it did not run the request. */
static void refused(struct fg_gwreq *r, const struct fg_wire_reply *reply,
		    fg_ms now)
{
	struct fg_fleet_ep *ep = r->ep;

	if (!reply->misdirected) {
		fg_health_record_answer(ep, now, true);
		give_up(r, FG_SEND_NOT_RUN, "endpoint_full");
		return;
	}
	if (reply->endpoint != NULL &&
	    strcmp(reply->endpoint, ep->facts.id) != 0) {
		ep->addr_taken = true;
		fg_log(FG_LOG_WARN, "endpoint", "address_reused", "endpoint",
		       ep->facts.id, "address", ep->facts.address, NULL);
		give_up(r, FG_SEND_NOT_RUN, "address_reused");
		return;
	}
	give_up(r, FG_SEND_ABSENT, "adapter_absent");
}

bool fg_answer_head(struct fg_gwreq *r, const struct fg_h1_head *head)
{
	const struct fg_wire_reply *reply = &r->up->reply;
	fg_ms now = fg_clock_now();

	if (reply->not_run || reply->misdirected) {
		refused(r, reply, now);
		return true;
	}
	fg_health_record_answer(
		r->ep, now, head->status >= HTTP_STATUS_INTERNAL_SERVER_ERROR);
	if (is_success(head->status) &&
	    (!reply->from_service || reply->encoded)) {
		give_up(r, FG_SEND_BROKEN, "unsigned_answer");
		return true;
	}
	if (head->status >= HTTP_STATUS_INTERNAL_SERVER_ERROR &&
	    (r->head_sent ||
	     (r->route->idempotent && r->runs + 1 < r->route->attempts_max))) {
		give_up(r, FG_SEND_ERROR, "endpoint_error");
		return true;
	}
	if (r->head_sent && !streams(r, head)) {
		give_up(r, FG_SEND_BROKEN, "not_resumed");
		return true;
	}
	if (!streams(r, head)) {
		note_first(r);
		if (r->answer == NULL)
			r->answer = g_string_new(NULL);
	}
	return true;
}

/* Hands whole events on, the answer's head before the first ones. */
static void pass_events(struct fg_gwreq *r, size_t len)
{
	GString *out = g_string_sized_new(len + 512);
	struct fg_caller *c = r->caller;

	if (!r->head_sent) {
		write_head(r, &r->up->h1.head, out);
		g_string_append(out, "Transfer-Encoding: chunked\r\n\r\n");
		r->head_sent = true;
	}
	g_string_append_printf(out, "%zx\r\n", len);
	g_string_append_len(out, r->events.partial->str, (gssize)len);
	g_string_append(out, "\r\n");
	fg_events_consume(&r->events, len);
	fg_link_write(c->link, out->str, out->len);
	g_string_free(out, TRUE);
	if (fg_link_pending(c->link) > PENDING_MAX_BYTES)
		fg_link_pause(r->up->link);
}

void fg_answer_body(struct fg_gwreq *r, const char *data, size_t len_bytes)
{
	gssize whole;

	if (!streams(r, &r->up->h1.head)) {
		g_string_append_len(r->answer, data, (gssize)len_bytes);
		return;
	}
	whole = fg_events_feed(&r->events, data, len_bytes);
	if (whole < 0) {
		give_up(r, FG_SEND_BROKEN, "event_too_large");
	} else if (whole > 0) {
		note_first(r);
		pass_events(r, (size_t)whole);
	}
}

static void note_answered(const struct fg_gwreq *r, unsigned int status)
{
	char code[12];

	g_snprintf(code, sizeof(code), "%u", status);
	fg_gwreq_count(r, "answered", NULL);
	fg_gwreq_log_routine(r, "answered", code);
}

static void end_stream(struct fg_gwreq *r)
{
	static const char last_chunk[] = "0\r\n\r\n";

	if (r->events.partial->len > 0 || !r->head_sent) {
		fg_gwreq_send_ended(r, FG_SEND_BROKEN, "stream_cut");
		return;
	}
	fg_link_write(r->caller->link, last_chunk, sizeof(last_chunk) - 1);
	note_answered(r, HTTP_STATUS_OK);
	fg_gwreq_end(r);
}

static void end_plain(struct fg_gwreq *r, const struct fg_h1_head *head)
{
	GString *out = g_string_sized_new(r->answer->len + 512);

	write_head(r, head, out);
	if (r->head->method == HTTP_HEAD && head->length_bytes >= 0)
		g_string_append_printf(
			out, "Content-Length: %" G_GINT64_FORMAT "\r\n",
			(gint64)head->length_bytes);
	else if (head->status != HTTP_STATUS_NO_CONTENT &&
		 head->status != HTTP_STATUS_NOT_MODIFIED)
		g_string_append_printf(out, "Content-Length: %zu\r\n",
				       r->answer->len);
	g_string_append(out, "\r\n");
	g_string_append_len(out, r->answer->str, (gssize)r->answer->len);
	fg_link_write(r->caller->link, out->str, out->len);
	g_string_free(out, TRUE);
	note_answered(r, head->status);
	fg_gwreq_end(r);
}

void fg_answer_end(struct fg_gwreq *r, const struct fg_h1_head *head)
{
	if (streams(r, head))
		end_stream(r);
	else
		end_plain(r, head);
}
