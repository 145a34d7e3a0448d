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
}

void fg_caller_close(struct fg_caller *c, bool flush)
{
	if (c->link == NULL)
		return;
	fg_link_close(c->link, flush);
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
	fg_link_write(c->link, out->str, out->len);
	g_string_free(out, TRUE);
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

static const struct fg_caller_limits *
current_limits(const struct fg_gateway *gw)
{
	static const struct fg_caller_limits fallback = {
		.head_max_bytes = HEAD_MAX_BYTES,
		.body_max_bytes = BODY_MAX_BYTES,
		.head_timeout_ms = HEAD_TIMEOUT_MS,
		.idle_timeout_ms = IDLE_TIMEOUT_MS,
	};

	return gw->routes == NULL ? &fallback : &gw->routes->limits;
}

static void apply_limits(struct fg_caller *c)
{
	const struct fg_caller_limits *l = current_limits(c->gw);

	c->h1.head_max_bytes =
		l->head_max_bytes == 0 ? HEAD_MAX_BYTES : l->head_max_bytes;
	c->h1.body_max_bytes =
		l->body_max_bytes == 0 ? BODY_MAX_BYTES : l->body_max_bytes;
}

static bool on_head(void *ctx, const struct fg_h1_head *head)
{
	static const char continue_head[] = "HTTP/1.1 100 Continue\r\n\r\n";
	struct fg_caller *c = ctx;
	const char *expect = fg_h1_get_field(head, "Expect");

	/* HTTP/1.0 has no interim answers. */
	if (head->http_minor > 0 && expect != NULL &&
	    g_ascii_strcasecmp(expect, "100-continue") == 0)
		fg_link_write(c->link, continue_head,
			      sizeof(continue_head) - 1);
	return true;
}

static void on_body(void *ctx, const char *data, size_t len)
{
	struct fg_caller *c = ctx;

	g_byte_array_append(c->body, (const guint8 *)data, (guint)len);
}

static void on_request(void *ctx)
{
	struct fg_caller *c = ctx;

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
	c->malformed = true;
	fg_log(FG_LOG_WARN, "caller", "bad_request", "reason", reason, NULL);
	fg_gw_count_event(c->gw, "bad_requests", NULL);
	fg_caller_answer(c, status, NULL, 0, NULL, "", 0);
	fg_caller_close(c, true);
}

/* Feeds the parser; keeps bytes that follow a complete request. */
static void feed_parser(struct fg_caller *c, const char *data, size_t len)
{
	size_t used;

	if (!c->h1.started) {
		c->wait_since = fg_clock_now();
		apply_limits(c);
	} else if (c->body->len > 0) {
		c->wait_since = fg_clock_now(); /* the body is arriving */
	}
	used = fg_h1_feed(&c->h1, data, len);
	if (c->link == NULL)
		return;
	if (c->h1.fault != FG_H1_OK) {
		refuse_faulty_request(c);
		return;
	}
	if (used < len)
		g_byte_array_append(c->pipelined, (const guint8 *)data + used,
				    (guint)(len - used));
}

static void on_data(void *ctx, const char *data, size_t len)
{
	struct fg_caller *c = ctx;

	if (c->tunnel != NULL) {
		fg_gw_tunnel_on_data(c->tunnel, data, len);
		return;
	}
	if (c->close_after && c->req == NULL)
		return; /* the last answer is being sent */
	if (c->req == NULL && c->pipelined->len == 0) {
		feed_parser(c, data, len);
		if (c->link != NULL && c->req == NULL)
			feed_pipelined(c);
		return;
	}
	g_byte_array_append(c->pipelined, (const guint8 *)data, (guint)len);
	if (c->pipelined->len > PIPELINED_MAX_BYTES)
		fg_link_pause(c->link);
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
	(void)end;
	fg_caller_close(ctx, false);
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
	if (c->link == NULL)
		return;
	if (c->close_after) {
		fg_caller_close(c, true);
		return;
	}
	fg_h1_reset(&c->h1);
	release_request(c);
	c->wait_since = fg_clock_now();
	fg_link_resume(c->link);
	feed_pipelined(c);
}

void fg_caller_accept(uv_stream_t *listener, int status)
{
	struct fg_port *port = listener->data;
	struct fg_gateway *gw = port->gw;
	struct fg_caller *c;
	struct fg_link *link;

	if (status != 0) {
		fg_log(FG_LOG_WARN, "caller", "accept_failed", "reason",
		       uv_strerror(status), NULL);
		return;
	}
	link = fg_link_accept(listener, &link_ops, NULL);
	if (link == NULL)
		return;
	if (gw->callers->len >= gw->conf->connections_max) {
		fg_log(FG_LOG_WARN, "caller", "too_many_connections", NULL);
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
	fg_link_set_ctx(link, c);
	fg_h1_init(&c->h1, true, &h1_ops, c, HEAD_MAX_BYTES, BODY_MAX_BYTES);
	g_ptr_array_add(gw->callers, c);
}

/* ---- Time limits ---- */

static void check_time_limits(struct fg_caller *c, fg_ms now)
{
	const struct fg_caller_limits *l = current_limits(c->gw);
	fg_ms waited_ms = now - c->wait_since;

	if (c->req != NULL || c->tunnel != NULL || c->h1.ended)
		return;
	if (c->h1.started && l->head_timeout_ms > 0 &&
	    waited_ms > (fg_ms)l->head_timeout_ms) {
		c->malformed = true;
		fg_log(FG_LOG_INFO, "caller", "request_timed_out", NULL);
		fg_caller_answer(c, HTTP_STATUS_REQUEST_TIMEOUT, NULL, 0, NULL,
				 "", 0);
		fg_caller_close(c, true);
	} else if (!c->h1.started && l->idle_timeout_ms > 0 &&
		   waited_ms > (fg_ms)l->idle_timeout_ms) {
		fg_caller_close(c, true);
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
