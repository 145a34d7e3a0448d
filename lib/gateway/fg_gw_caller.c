/* Connections of callers: reading requests, sending answers, time limits. */
#include "gateway/fg_gateway_internal.h"

#include <string.h>

/* Limits while no configuration is known; the sizes also where it sets none. */
#define HEAD_MAX_BYTES 16384
#define BODY_MAX_BYTES (4 * 1024 * 1024)
#define HEAD_TIMEOUT_MS 3000
#define IDLE_TIMEOUT_MS 15000
/* Reading pauses when a caller has sent more than this beyond the request in
 * progress. */
#define PIPELINED_MAX_BYTES 65536
/* Connections that are accepted from a port's queue at once. */
#define QUEUED_MAX 1024
/* No page reads a body. */
#define PAGE_BODY_MAX_BYTES 4096
/* Bodies that hold memory end, or give way, within this time. */
#define REFUSED_RETRY_MS 500

static const char *http_reason(unsigned int status)
{
	return http_status_str((enum http_status)status);
}

static void empty_array(GByteArray **array)
{
	if ((*array)->data == NULL)
		return;
	g_byte_array_unref(*array);
	*array = g_byte_array_new();
}

/* Frees what was kept of the request, and not only its contents: an idle
 * connection must not hold the memory of its last body. */
static void release_request(struct fg_caller *c)
{
	empty_array(&c->body);
	if (c->whole_body != NULL)
		g_bytes_unref(c->whole_body);
	c->whole_body = NULL;
}

static void release_bytes(struct fg_caller *c)
{
	release_request(c);
	empty_array(&c->pipelined);
}

static void caller_free(gpointer p)
{
	struct fg_caller *c = p;

	fg_h1_clear(&c->h1);
	release_bytes(c);
	g_byte_array_unref(c->pipelined);
	g_byte_array_unref(c->body);
	g_free(c);
}

/* The next sweep frees the record, since callers of this function may still
 * read it. */
static void mark_closed(struct fg_caller *c)
{
	struct fg_gwreq *r = c->req;

	c->link = NULL;
	c->req = NULL;
	if (c->tunnel != NULL)
		fg_gw_tunnel_free(c->tunnel);
	c->tunnel = NULL;
	if (r != NULL)
		fg_gwreq_cancel(r);
	release_bytes(c);
	fg_memory_close(&c->gw->memory, &c->memory);
	c->gw->ports[c->kind].n_callers--;
}

void fg_caller_close(struct fg_caller *c, bool flush)
{
	if (c->link == NULL)
		return;
	if (flush)
		fg_gw_memory_note_flushing(c);
	fg_link_close(c->link, flush);
	mark_closed(c);
}

void fg_caller_close_idle(struct fg_caller *c)
{
	if (c->link == NULL)
		return;
	fg_gw_memory_note_flushing(c);
	fg_link_close_idle(c->link);
	mark_closed(c);
}

void fg_caller_abort(struct fg_caller *c)
{
	if (c->link == NULL)
		return;
	fg_link_abort(c->link);
	mark_closed(c);
}

void fg_caller_answer(struct fg_caller *c, unsigned int status,
		      const char *request_id, uint32_t retry_ms,
		      const char *type, const char *body, size_t len_bytes)
{
	GString *out;

	if (c->link == NULL)
		return;
	if (fg_gw_is_stopping(c->gw) || c->malformed || !c->h1.head.keep_alive)
		c->close_after = true;
	out = g_string_sized_new(256 + len_bytes);
	g_string_append_printf(out, "HTTP/1.1 %u %s\r\n", status,
			       http_reason(status));
	c->gw->wire->refusal_write(out, request_id);
	if (retry_ms > 0)
		g_string_append_printf(out, "Retry-After: %u.%03u\r\n",
				       retry_ms / FG_MS_PER_S,
				       retry_ms % FG_MS_PER_S);
	if (status == HTTP_STATUS_UNAUTHORIZED)
		g_string_append(out, "WWW-Authenticate: Bearer\r\n");
	if (type != NULL)
		g_string_append_printf(out, "Content-Type: %s\r\n", type);
	if (c->close_after)
		g_string_append(out, "Connection: close\r\n");
	g_string_append_printf(out, "Content-Length: %zu\r\n\r\n", len_bytes);
	if (c->h1.head.method != HTTP_HEAD)
		g_string_append_len(out, body, (gssize)len_bytes);
	fg_link_set_label(c->link, request_id);
	fg_link_write(c->link, out->str, out->len);
	g_string_free(out, TRUE);
	fg_gw_memory_note_written(c);
}

bool fg_caller_is_reading(const struct fg_caller *c)
{
	return c->link != NULL && c->req == NULL && c->tunnel == NULL &&
	       c->h1.started && !c->close_after;
}

void fg_caller_log_half_read(const struct fg_caller *c, const char *event,
			     const char *reason)
{
	struct fg_call call = { 0 };
	const char *rule = NULL;
	char at[FG_H1_AT_TEXT_BYTES];

	if (c->head_done)
		(void)c->gw->wire->call_read(&c->h1.head, &call);
	if (c->h1.fault == FG_H1_MALFORMED)
		rule = fg_h1_rule_name(c->h1.rule);
	fg_h1_format_fault_at(&c->h1, at);
	if (fg_gw_is_stopping(c->gw))
		fg_log(FG_LOG_INFO, "caller", event, "id", call.id, "reason",
		       reason, "rule", rule, "at_byte",
		       rule == NULL ? NULL : at, NULL);
	else
		fg_log_routine("caller", event, "id", call.id, "reason", reason,
			       "rule", rule, "at_byte",
			       rule == NULL ? NULL : at, NULL);
	fg_call_clear(&call);
}

bool fg_caller_is_instance(const struct fg_caller *c)
{
	const GPtrArray *peers = fg_peers_all(c->gw->peers);
	char ip[INET_ADDRSTRLEN];
	size_t len;

	fg_link_peer_ip(c->link, ip, sizeof(ip));
	len = strlen(ip);
	for (guint i = 0; len > 0 && i < peers->len; i++) {
		const struct fg_mesh_peer *p = peers->pdata[i];

		if (strncmp(p->row.mesh, ip, len) == 0 &&
		    p->row.mesh[len] == ':')
			return true;
	}
	return false;
}

/* ---- Reading ---- */

static void feed_pipelined(struct fg_caller *c);

struct fg_caller_limits fg_caller_limits(const struct fg_gateway *gw)
{
	struct fg_caller_limits l = {
		.head_timeout_ms = HEAD_TIMEOUT_MS,
		.idle_timeout_ms = IDLE_TIMEOUT_MS,
	};

	if (gw->routes != NULL)
		l = gw->routes->limits;
	if (l.head_max_bytes == 0)
		l.head_max_bytes = HEAD_MAX_BYTES;
	if (l.body_max_bytes == 0)
		l.body_max_bytes = BODY_MAX_BYTES;
	return l;
}

static void apply_limits(struct fg_caller *c)
{
	struct fg_caller_limits l = fg_caller_limits(c->gw);

	c->h1.head_max_bytes = l.head_max_bytes;
	c->h1.body_max_bytes = c->kind == FG_PORT_FRONT ? l.body_max_bytes
							: PAGE_BODY_MAX_BYTES;
}

/* Returns whether the request that is being read will be answered 404. */
static bool has_no_route(const struct fg_caller *c)
{
	const struct fg_gateway *gw = c->gw;
	struct fg_call call = { 0 };
	bool none;

	if (c->kind != FG_PORT_FRONT || gw->routes == NULL ||
	    fg_gw_is_config_stale(gw, fg_clock_now()))
		return false;
	none = gw->wire->call_read(&c->h1.head, &call) &&
	       fg_routes_find(gw->routes, call.host,
			      fg_h1_target(&c->h1.head)) == NULL;
	fg_call_clear(&call);
	return none;
}

static bool on_head(void *ctx, const struct fg_h1_head *head)
{
	static const char continue_head[] = "HTTP/1.1 100 Continue\r\n\r\n";
	struct fg_caller *c = ctx;
	const char *expect = fg_h1_get_field(head, "Expect");

	c->head_done = true;
	/* HTTP/1.0 has no interim answers. */
	if (head->http_minor == 0 || expect == NULL ||
	    g_ascii_strcasecmp(expect, "100-continue") != 0)
		return true;
	if (head->length_bytes > 0 &&
	    !fg_memory_has_room(
		    &c->gw->memory,
		    fg_gw_memory_array_bytes((uint64_t)head->length_bytes)))
		c->refuse_status = HTTP_STATUS_SERVICE_UNAVAILABLE;
	else if (has_no_route(c))
		c->refuse_status = HTTP_STATUS_NOT_FOUND;
	else
		fg_link_write(c->link, continue_head,
			      sizeof(continue_head) - 1);
	return true;
}

static void on_body(void *ctx, const char *data, size_t len)
{
	struct fg_caller *c = ctx;
	uint64_t more = fg_gw_memory_array_bytes(c->body->len + len) -
			fg_gw_memory_array_bytes(c->body->len);

	fg_memory_note_received(&c->memory, len, fg_clock_now());
	if (c->refuse_status == 0 && !fg_gw_memory_ask(c, more))
		c->refuse_status = HTTP_STATUS_SERVICE_UNAVAILABLE;
	if (c->refuse_status == 0)
		g_byte_array_append(c->body, (const guint8 *)data, (guint)len);
}

static void on_request(void *ctx)
{
	struct fg_caller *c = ctx;

	if (c->refuse_status != 0)
		return;
	c->memory.reading = false;
	c->whole_body = g_byte_array_free_to_bytes(c->body);
	c->body = g_byte_array_new();
	if (c->kind == FG_PORT_FRONT)
		fg_gwreq_start(c);
	else
		fg_pages_answer(c);
}

static const struct fg_h1_ops h1_ops = {
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_request,
};

/* No request behind the one in progress is read: the connection closes after
 * the answer, and what still arrives is dropped. */
static void drop_input(struct fg_caller *c)
{
	fg_log_routine("caller", "input_dropped", NULL);
	fg_gw_count_event(c->gw, "gave_way", "what=\"input\"");
	empty_array(&c->pipelined);
	if (c->req == NULL) {
		/* They begin a further request. */
		fg_gw_memory_refuse(c);
		return;
	}
	c->drop_input = true;
	c->close_after = true;
	fg_link_resume(c->link);
	(void)fg_gw_memory_ask(c, 0);
}

static void pause_reading(struct fg_caller *c)
{
	fg_link_pause(c->link);
	if (!fg_gw_memory_ask(c, 0))
		drop_input(c);
}

/* Answers a request that is not read to its end. */
static void refuse_and_close(struct fg_caller *c, unsigned int status,
			     uint32_t retry_ms)
{
	c->malformed = true;
	fg_caller_answer(c, status, NULL, retry_ms, NULL, "", 0);
	fg_caller_close(c, true);
}

static void refuse_faulty_request(struct fg_caller *c)
{
	unsigned int status = HTTP_STATUS_BAD_REQUEST;
	const char *reason = "malformed";

	if (c->h1.fault == FG_H1_HEAD_TOO_LARGE) {
		status = HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE;
		reason = "head_too_large";
	} else if (c->h1.fault == FG_H1_BODY_TOO_LARGE) {
		status = HTTP_STATUS_PAYLOAD_TOO_LARGE;
		reason = "body_too_large";
	}
	fg_caller_log_half_read(c, "bad_request", reason);
	fg_gw_count_event(c->gw, "bad_requests", NULL);
	if (c->h1.fault == FG_H1_MALFORMED)
		fg_gw_count_malformed(c->gw, "malformed_requests", c->h1.rule);
	refuse_and_close(c, status, 0);
}

void fg_caller_refuse_reading(struct fg_caller *c, const char *reason)
{
	fg_caller_log_half_read(c, "refused", reason);
	refuse_and_close(c, HTTP_STATUS_SERVICE_UNAVAILABLE, REFUSED_RETRY_MS);
}

/* Returns the most by which `len` bytes can grow the head. */
static uint64_t head_growth_bytes(const struct fg_caller *c, size_t len)
{
	const GString *text = c->h1.head.text;
	uint64_t most = MIN(text->len + len, (uint64_t)c->h1.head_max_bytes);
	uint64_t grown = fg_gw_memory_array_bytes(most + 2);

	return c->head_done ? 0 : grown - MIN(grown, text->allocated_len);
}

static void keep_pipelined(struct fg_caller *c, const char *data, size_t len)
{
	uint64_t more = fg_gw_memory_array_bytes(c->pipelined->len + len) -
			fg_gw_memory_array_bytes(c->pipelined->len);

	if (!fg_gw_memory_ask(c, more)) {
		drop_input(c);
		return;
	}
	g_byte_array_append(c->pipelined, (const guint8 *)data, (guint)len);
	if (c->req != NULL && c->pipelined->len > PIPELINED_MAX_BYTES)
		pause_reading(c);
}

/* Feeds the parser; keeps bytes that follow a complete request. */
static void feed_parser(struct fg_caller *c, const char *data, size_t len)
{
	guint body_bytes = c->body->len;
	size_t used;

	if (!c->h1.started) {
		c->wait_since = fg_clock_now();
		c->read_since = c->wait_since;
		c->read_until = 0;
		apply_limits(c);
	}
	if (!c->head_done)
		fg_memory_note_received(&c->memory, len, fg_clock_now());
	if (!fg_gw_memory_ask(c, head_growth_bytes(c, len))) {
		fg_gw_memory_refuse(c);
		return;
	}
	used = fg_h1_feed(&c->h1, data, len);
	if (c->link == NULL)
		return;
	if (c->body->len > body_bytes)
		c->wait_since = fg_clock_now();
	/* Fields of a trailer are counted only now. */
	if (!fg_gw_memory_ask(c, 0) && c->req == NULL)
		c->refuse_status = HTTP_STATUS_SERVICE_UNAVAILABLE;
	if (c->h1.fault != FG_H1_OK) {
		refuse_faulty_request(c);
		return;
	}
	if (c->refuse_status == HTTP_STATUS_SERVICE_UNAVAILABLE) {
		fg_gw_memory_refuse(c);
		return;
	}
	if (c->refuse_status != 0) {
		refuse_and_close(c, c->refuse_status, 0);
		return;
	}
	if (used < len)
		keep_pipelined(c, data + used, len - used);
}

static void on_data(void *ctx, const char *data, size_t len)
{
	struct fg_caller *c = ctx;

	if (c->tunnel != NULL) {
		fg_gw_tunnel_on_data(c->tunnel, data, len);
		return;
	}
	if (c->drop_input || (c->close_after && c->req == NULL))
		return; /* the last answer is being sent */
	if (c->req == NULL && c->pipelined->len == 0) {
		feed_parser(c, data, len);
		if (c->link != NULL && c->req == NULL)
			feed_pipelined(c);
		return;
	}
	keep_pipelined(c, data, len);
}

/* Reads pipelined requests, after the one before them was answered. */
static void feed_pipelined(struct fg_caller *c)
{
	while (c->link != NULL && c->req == NULL && c->pipelined->len > 0 &&
	       !c->h1.ended && !c->close_after) {
		GByteArray *bytes = c->pipelined;

		c->pipelined = g_byte_array_new();
		feed_parser(c, (const char *)bytes->data, bytes->len);
		g_byte_array_unref(bytes);
	}
}

static void on_end(void *ctx, enum fg_link_end end)
{
	struct fg_caller *c = ctx;

	c->end_reason = fg_link_end_name(c->link);
	if (end != FG_LINK_EOF && c->req == NULL && c->tunnel == NULL)
		fg_link_log_cut(c->link, c->end_reason);
	if (fg_caller_is_reading(c))
		fg_caller_log_half_read(c, "left_half_read", c->end_reason);
	/* A peer that only closed its side still reads the last answer. */
	fg_caller_close(c, end == FG_LINK_EOF && c->req == NULL &&
				   c->tunnel == NULL);
}

static void on_drained(void *ctx)
{
	struct fg_caller *c = ctx;

	if (c->tunnel != NULL)
		fg_gw_tunnel_on_drained(c->tunnel);
	if (c->req != NULL && c->req->conn != NULL &&
	    c->req->conn->link != NULL)
		fg_link_resume(c->req->conn->link);
}

static const struct fg_link_ops link_ops = {
	.on_data = on_data,
	.on_end = on_end,
	.on_drained = on_drained,
};

void fg_caller_finish_answer(struct fg_caller *c)
{
	c->req = NULL;
	c->answered = true;
	c->free_since = fg_clock_now();
	if (c->link == NULL)
		return;
	if (c->close_after) {
		fg_caller_close(c, true);
		return;
	}
	fg_h1_reset(&c->h1);
	release_request(c);
	c->head_done = false;
	c->memory.reading = true;
	c->wait_since = c->free_since;
	fg_link_resume(c->link);
	(void)fg_gw_memory_ask(c, 0);
	feed_pipelined(c);
}

/* ---- Accepting ---- */

static void take_link(struct fg_port *port, struct fg_link *link)
{
	struct fg_gateway *gw = port->gw;
	struct fg_caller *c;

	if (!fg_gw_make_place(port)) {
		fg_log_routine("caller", "too_many_connections", NULL);
		fg_gw_count_event(gw, "connections_refused", NULL);
		fg_link_abort(link);
		return;
	}
	c = g_new0(struct fg_caller, 1);
	c->gw = gw;
	c->kind = port->kind;
	c->link = link;
	c->pipelined = g_byte_array_new();
	c->body = g_byte_array_new();
	c->wait_since = fg_clock_now();
	c->free_since = c->wait_since;
	port->n_callers++;
	fg_link_set_ctx(link, c);
	fg_memory_open(&gw->memory, &c->memory, c);
	fg_h1_init(&c->h1, true, &h1_ops, c, HEAD_MAX_BYTES, BODY_MAX_BYTES);
	g_ptr_array_add(gw->callers, c);
}

void fg_caller_accept(uv_stream_t *listener, int status)
{
	struct fg_link *link;

	if (status != 0) {
		fg_log_routine("caller", "accept_failed", "reason",
			       uv_strerror(status), NULL);
		return;
	}
	link = fg_link_accept(listener, &link_ops, NULL);
	if (link != NULL)
		take_link(listener->data, link);
}

void fg_caller_accept_queued(struct fg_gateway *gw)
{
	for (int i = 0; i < FG_PORT_COUNT; i++) {
		struct fg_port *port = &gw->ports[i];
		struct fg_link *link;
		int n = 0;

		while (port->open && n++ < QUEUED_MAX &&
		       (link = fg_link_accept_queued(&port->listener, &link_ops,
						     NULL)) != NULL)
			take_link(port, link);
	}
}

/* ---- Time limits ---- */

/* Returns when the request that is being read has to be complete: its caller
 * waits no longer, or no caller waits that long. */
static fg_ms request_read_until(const struct fg_caller *c)
{
	fg_ms limit_ms = (fg_ms)c->gw->conf->read_timeout_ms;
	struct fg_call call = { 0 };

	if (c->gw->wire->call_read(&c->h1.head, &call) && call.deadline_ms > 0)
		limit_ms = MIN(limit_ms, (fg_ms)call.deadline_ms);
	fg_call_clear(&call);
	return c->read_since + limit_ms;
}

/* Returns whether the request that is being read takes too long. */
static bool is_read_too_slowly(struct fg_caller *c, uint32_t pause_max_ms,
			       fg_ms now)
{
	if (pause_max_ms > 0 && now - c->wait_since > (fg_ms)pause_max_ms)
		return true;
	if (!c->head_done)
		return false;
	if (c->read_until == 0)
		c->read_until = request_read_until(c);
	return now >= c->read_until;
}

/* Returns whether an idle connection is to be closed. One on which bytes are on
 * their way, or were a moment ago, is closed later: what its caller sends now
 * would be read and dropped. */
static bool is_idle_for_too_long(struct fg_caller *c, fg_ms now)
{
	return now > fg_idle_close_at(&c->gw->idle, c->wait_since) &&
	       !fg_link_may_be_read(c->link);
}

static void check_time_limits(struct fg_caller *c, fg_ms now)
{
	struct fg_caller_limits l = fg_caller_limits(c->gw);

	if (c->req != NULL || c->tunnel != NULL || c->h1.ended)
		return;
	if (c->h1.started && is_read_too_slowly(c, l.head_timeout_ms, now)) {
		fg_caller_log_half_read(c, "request_timed_out", NULL);
		refuse_and_close(c, HTTP_STATUS_REQUEST_TIMEOUT, 0);
	} else if (!c->h1.started && is_idle_for_too_long(c, now)) {
		fg_caller_close_idle(c);
	}
}

void fg_caller_sweep(struct fg_gateway *gw, fg_ms now)
{
	for (guint i = gw->callers->len; i > 0; i--) {
		struct fg_caller *c = gw->callers->pdata[i - 1];

		if (c->link != NULL)
			check_time_limits(c, now);
		if (c->link == NULL) {
			g_ptr_array_remove_index_fast(gw->callers, i - 1);
			caller_free(c);
		}
	}
}
