#include "link/fg_channel.h"

#include "link/fg_link.h"
#include "log/fg_log.h"

#define HEAD_MAX_BYTES 16384
/* The store limits an answer to 1 MB, so that 500 rows of 64 KiB in base64
 * cannot occur. */
#define BODY_MAX_BYTES (4 * 1024 * 1024)
/* A server that sends more informational answers sends without end. */
#define INFORMATIONAL_MAX 32
#define INFORMATIONAL_MAX_BYTES HEAD_MAX_BYTES

struct fg_channel {
	uv_loop_t *loop;
	const char *address;
	struct fg_link *link; /* NULL: not connected */
	struct fg_h1 h1;
	GString *body;
	uv_timer_t *timer;
	fg_channel_done_fn done; /* NULL: idle */
	void *ctx;
	fg_channel_head_fn hook;
	void *hook_ctx;
	uint64_t head_result; /* of the hook */
	struct fg_wire_request request;
	uint32_t n_informational; /* before the answer to the request */
	size_t informational_bytes;
	bool open;     /* link is connected */
	bool use_once; /* a connection for each request */
};

static void close_link(struct fg_channel *c)
{
	if (c->link == NULL)
		return;
	fg_link_close(c->link, false);
	c->link = NULL;
	c->open = false;
	fg_h1_reset(&c->h1);
}

/* Ends the request in flight, if any, and reports it to its sender. */
static void end_request(struct fg_channel *c, unsigned int status)
{
	fg_channel_done_fn done = c->done;

	if (done == NULL)
		return;
	uv_timer_stop(c->timer);
	c->done = NULL;
	g_free(c->request.head_and_body);
	c->request.head_and_body = NULL;
	done(c->ctx, status, status == 0 ? NULL : c->body->str,
	     status == 0 ? 0 : c->body->len);
}

static void fail_request(struct fg_channel *c)
{
	close_link(c);
	end_request(c, 0);
}

static bool on_head(void *ctx, const struct fg_h1_head *head)
{
	struct fg_channel *c = ctx;

	g_string_truncate(c->body, 0);
	if (c->hook != NULL && c->done != NULL &&
	    !fg_h1_is_informational(head->status))
		c->head_result = c->hook(c->hook_ctx, c, head);
	return true;
}

static void on_body(void *ctx, const char *data, size_t len)
{
	struct fg_channel *c = ctx;

	g_string_append_len(c->body, data, (gssize)len);
}

static const struct fg_h1_ops h1_ops = {
	.on_head = on_head,
	.on_body = on_body,
};

static void on_open(void *ctx)
{
	struct fg_channel *c = ctx;

	c->open = true;
	fg_link_write(c->link, c->request.head_and_body, c->request.len_bytes);
}

/* Handles a complete answer. The connection is not reusable when it has ended,
 * or when bytes follow that belong to no request. */
static void handle_answer(struct fg_channel *c, bool reusable)
{
	unsigned int status = c->h1.head.status;

	if (!reusable || !c->h1.head.keep_alive || c->use_once)
		close_link(c);
	else
		fg_h1_reset(&c->h1);
	end_request(c, status);
}

/* What the server sends is no answer. `rule`: that it breaks, if it does. */
static void fail_answer(struct fg_channel *c, const char *reason,
			enum fg_h1_rule rule)
{
	char status[FG_H1_STATUS_TEXT_BYTES];
	char at[FG_H1_AT_TEXT_BYTES];
	bool malformed = rule != FG_H1_RULE_NONE;

	fg_h1_bad_status(&c->h1, status);
	fg_h1_format_fault_at(&c->h1, at);
	fg_log(FG_LOG_WARN, "channel", "unreadable_answer", "address",
	       c->address, "reason", reason, "status",
	       c->h1.fault == FG_H1_BAD_STATUS ? status : NULL, "rule",
	       malformed ? fg_h1_rule_name(rule) : NULL, "at_byte",
	       malformed ? at : NULL, NULL);
	fail_request(c);
}

static void on_data(void *ctx, const char *data, size_t len)
{
	struct fg_channel *c = ctx;

	if (c->done == NULL) {
		close_link(c);
		return;
	}
	while (len > 0 && c->link != NULL) {
		size_t used = fg_h1_feed(&c->h1, data, len);

		if (c->h1.fault != FG_H1_OK) {
			fail_answer(c,
				    c->h1.fault == FG_H1_BAD_STATUS
					    ? "bad_status"
					    : "malformed_answer",
				    c->h1.rule);
			return;
		}
		len -= used;
		data += used;
		if (!c->h1.ended)
			return;
		if (!fg_h1_is_informational(c->h1.head.status)) {
			if (!fg_h1_may_begin_answer(data, len)) {
				fail_answer(c, "malformed_answer",
					    FG_H1_RULE_REST);
				return;
			}
			handle_answer(c, len == 0);
			return;
		}
		c->informational_bytes += used;
		if (++c->n_informational > INFORMATIONAL_MAX ||
		    c->informational_bytes > INFORMATIONAL_MAX_BYTES) {
			fail_answer(c, "endless_answers", FG_H1_RULE_NONE);
			return;
		}
		fg_h1_reset(&c->h1);
	}
}

static void on_end(void *ctx, enum fg_link_end end)
{
	struct fg_channel *c = ctx;

	if (end == FG_LINK_EOF && c->done != NULL && fg_h1_eof(&c->h1)) {
		handle_answer(c, false);
		return;
	}
	fail_request(c);
}

static const struct fg_link_ops link_ops = {
	.on_open = on_open,
	.on_data = on_data,
	.on_end = on_end,
};

static void on_timeout(uv_timer_t *timer)
{
	fail_request(timer->data);
}

struct fg_channel *fg_channel_new(uv_loop_t *loop, const char *address)
{
	struct fg_channel *c = g_new0(struct fg_channel, 1);

	c->loop = loop;
	c->address = address;
	c->body = g_string_new(NULL);
	c->timer = g_new0(uv_timer_t, 1);
	uv_timer_init(loop, c->timer);
	c->timer->data = c;
	fg_h1_init(&c->h1, false, &h1_ops, c, HEAD_MAX_BYTES, BODY_MAX_BYTES);
	return c;
}

static void on_timer_closed(uv_handle_t *handle)
{
	g_free(handle);
}

void fg_channel_free(struct fg_channel *c)
{
	if (c == NULL)
		return;
	close_link(c);
	uv_close((uv_handle_t *)c->timer, on_timer_closed);
	fg_h1_clear(&c->h1);
	g_string_free(c->body, TRUE);
	g_free(c->request.head_and_body);
	g_free(c);
}

void fg_channel_set_head_hook(struct fg_channel *c, fg_channel_head_fn hook,
			      void *ctx)
{
	c->hook = hook;
	c->hook_ctx = ctx;
}

void fg_channel_use_once(struct fg_channel *c)
{
	c->use_once = true;
}

uint64_t fg_channel_head_result(const struct fg_channel *c)
{
	return c->head_result;
}

void fg_channel_abort(struct fg_channel *c)
{
	fail_request(c);
}

bool fg_channel_is_busy(const struct fg_channel *c)
{
	return c->done != NULL;
}

/* Reports the failure from the loop, never from within fg_channel_send(). */
static void schedule_failure(struct fg_channel *c)
{
	uv_timer_start(c->timer, on_timeout, 0, 0);
}

void fg_channel_send(struct fg_channel *c, struct fg_wire_request request,
		     uint32_t timeout_ms, fg_channel_done_fn done, void *ctx)
{
	g_assert(c->done == NULL);
	c->done = done;
	c->ctx = ctx;
	c->request = request;
	c->n_informational = 0;
	c->informational_bytes = 0;
	uv_timer_start(c->timer, on_timeout, timeout_ms, 0);
	if (c->link != NULL) {
		fg_link_write(c->link, request.head_and_body,
			      request.len_bytes);
		return;
	}
	c->link = fg_link_connect(c->loop, c->address, &link_ops, c);
	if (c->link == NULL)
		schedule_failure(c);
}
