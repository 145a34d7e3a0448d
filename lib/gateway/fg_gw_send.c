/* One sending of a request to an endpoint, and the connections for it. */
#include "gateway/fg_gateway_internal.h"

#include <string.h>

#define HEAD_MAX_BYTES 65536
#define ANSWER_MAX_BYTES (16 * 1024 * 1024)
/* An idle connection is left alone this long before its endpoint closes it. */
#define IDLE_MARGIN_MS 700
/* When the endpoint does not say how long it keeps idle connections: less than
 * a second, or it would have said. */
#define IDLE_UNSAID_MS 300
#define IDLE_MAX_MS 30000
/* Time to establish a connection, beside a round trip. */
#define CONNECT_MS 400
/* Silence of an endpoint, over all connections of this instance to it, that
 * shows that it does not work: many times the work of a plain request, and
 * longer than prompts wait at a busy engine, which one of many instances hears
 * from rarely. */
#define SILENT_ENGINE_MS 2000
#define SILENT_PLAIN_MS 500

/* ---- Endpoints ---- */

struct fg_ep_user *fg_ep_user_of(struct fg_gateway *gw, struct fg_fleet_ep *ep)
{
	struct fg_ep_user *u = ep->user;

	if (u == NULL) {
		u = g_new0(struct fg_ep_user, 1);
		u->gw = gw;
		u->ep = ep;
		u->idle = g_ptr_array_new();
		ep->user = u;
	}
	return u;
}

static void up_free(struct fg_up *u)
{
	fg_h1_clear(&u->h1);
	fg_ep_unref(u->ep);
	g_free(u);
}

/* Closes; the record is freed with its endpoint's reference at the next turn
 * of the loop, since callbacks further up the stack may look at it. */
static void on_garbage(uv_timer_t *timer)
{
	up_free(timer->data);
	fg_gw_timer_free(timer);
}

static void up_close(struct fg_up *u)
{
	if (u->link == NULL)
		return;
	fg_link_close(u->link, false);
	u->link = NULL;
	uv_timer_start(fg_gw_timer_new(u->gw, u), on_garbage, 0, 0);
}

static void forget_idle(struct fg_up *u)
{
	struct fg_ep_user *user = u->ep->user;

	if (user != NULL)
		g_ptr_array_remove(user->idle, u);
}

void fg_ep_user_died(struct fg_ep_user *u)
{
	struct fg_loss lost[FG_LOSS_MAX];
	uint32_t n = fg_losses_take(&u->losses, fg_clock_now(), lost);

	for (uint32_t i = 0; i < n; i++) {
		fg_mesh_crash crash = {
			.fingerprint = lost[i].fingerprint,
			.ep = u->ep->hash,
			.req = lost[i].request,
		};

		fg_mesh_report_crash(u->gw, &crash);
	}
}

void fg_ep_user_drop(struct fg_gateway *gw, struct fg_fleet_ep *ep)
{
	struct fg_ep_user *user = ep->user;

	(void)gw;
	if (user == NULL)
		return;
	while (user->idle->len > 0) {
		struct fg_up *u = g_ptr_array_steal_index_fast(user->idle, 0);

		up_close(u);
	}
	fg_ep_user_died(user);
	fg_orders_drop(user);
	g_ptr_array_unref(user->idle);
	g_free(user);
	ep->user = NULL;
}

/* ---- Reading answers ---- */

/* The request that the connection served so far goes on elsewhere or fails. */
static void lose(struct fg_up *u, enum fg_send_end end, const char *why)
{
	struct fg_gwreq *r = u->req;

	u->req = NULL;
	up_close(u);
	if (r == NULL)
		return;
	r->up = NULL;
	fg_gwreq_send_ended(r, end, why);
}

static bool is_informational(unsigned int status)
{
	return status < 200;
}

static bool on_head(void *ctx, const struct fg_h1_head *head)
{
	struct fg_up *u = ctx;
	struct fg_gwreq *r = u->req;
	bool has_body = r == NULL || r->head->method != HTTP_HEAD;

	if (r == NULL)
		return has_body;
	u->gw->wire->reply_read(head, &u->reply);
	u->status = head->status;
	u->skip = is_informational(head->status) ||
		  (u->reply.id != NULL && r->call.id != NULL &&
		   strcmp(u->reply.id, r->call.id) != 0);
	if (u->skip)
		return has_body;
	u->head_seen = true;
	u->unread_body = fg_link_pending(u->link);
	return fg_answer_head(r, head) && has_body;
}

static void on_body(void *ctx, const char *data, size_t len)
{
	struct fg_up *u = ctx;

	if (u->req != NULL && !u->skip)
		fg_answer_body(u->req, data, len);
}

static void on_message_end(void *ctx)
{
	(void)ctx;
}

static const struct fg_h1_ops h1_ops = {
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_message_end,
};

static void keep(struct fg_up *u, fg_ms now)
{
	fg_ms idle_ms = IDLE_UNSAID_MS;

	if (u->reply.idle_s > 0)
		idle_ms = (fg_ms)u->reply.idle_s * FG_MS_PER_S - IDLE_MARGIN_MS;
	u->idle_until = now + MIN(idle_ms, IDLE_MAX_MS);
	fg_h1_next(&u->h1);
	g_ptr_array_add(fg_ep_user_of(u->gw, u->ep)->idle, u);
}

/* A whole answer was read. */
static void message_done(struct fg_up *u, bool clean)
{
	struct fg_gwreq *r = u->req;
	bool reusable = clean && u->h1.head.keep_alive &&
			fg_link_pending(u->link) == 0 && u->unread_body == 0;

	if (u->skip) {
		u->skip = false;
		fg_h1_next(&u->h1);
		return;
	}
	u->req = NULL;
	r->up = NULL;
	fg_answer_end(r, &u->h1.head);
	if (reusable && fg_ep_is_usable(u->ep, fg_clock_now()))
		keep(u, fg_clock_now());
	else
		up_close(u);
}

static void feed(struct fg_up *u, const char *data, size_t len)
{
	while (len > 0 && u->req != NULL && u->link != NULL) {
		size_t used = fg_h1_feed(&u->h1, data, len);

		if (u->req == NULL || u->link == NULL)
			return;
		if (u->h1.fault != FG_H1_OK) {
			fg_health_record_failure(u->ep, fg_clock_now());
			lose(u, FG_SEND_BROKEN, "malformed_answer");
			return;
		}
		data += used;
		len -= used;
		if (u->h1.ended)
			message_done(u, len == 0);
	}
}

static void on_data(void *ctx, const char *data, size_t len)
{
	struct fg_up *u = ctx;

	fg_ep_user_of(u->gw, u->ep)->heard = fg_clock_now();
	if (u->req == NULL) {
		/* Bytes that belong to no request. */
		forget_idle(u);
		up_close(u);
		return;
	}
	feed(u, data, len);
}

static void on_end(void *ctx, enum fg_link_end end)
{
	struct fg_up *u = ctx;
	bool connected = u->connected;

	if (u->req == NULL) {
		forget_idle(u);
		up_close(u);
		return;
	}
	if (end == FG_LINK_EOF && fg_h1_eof(&u->h1) && !u->skip) {
		message_done(u, false);
		return;
	}
	if (!u->reused)
		fg_health_record_failure(u->ep, fg_clock_now());
	if (end == FG_LINK_REFUSED)
		fg_ep_user_died(fg_ep_user_of(u->gw, u->ep));
	lose(u, connected ? FG_SEND_BROKEN : FG_SEND_NOT_SENT,
	     connected ? (u->head_seen ? "answer_cut" : "connection_lost")
		       : "connect_failed");
}

/* ---- Sending ---- */

static void write_request(struct fg_up *u)
{
	struct fg_gwreq *r = u->req;
	fg_ms now = fg_clock_now();
	const GByteArray *body = r->caller->body;
	GString *out = g_string_sized_new(1024 + body->len);
	struct fg_send send = {
		.endpoint_id = u->ep->facts.id,
		.deadline_ms = MAX(fg_gwreq_left_ms(r, now), 1),
		.urgency =
			r->service->engine ? fg_gwreq_urgency(r) : UINT32_MAX,
		.version = fg_gwreq_version(r, now),
		.resumes = r->call.resumes || r->events.has_id,
		.resume_after = r->events.has_id ? r->events.last_id
						 : r->call.resume_after,
		.body_bytes = body->len,
		.has_body = body->len > 0 || r->head->length_bytes >= 0 ||
			    r->head->chunked,
	};

	u->gw->wire->call_write(out, r->head, &send);
	g_string_append_len(out, (const char *)body->data, body->len);
	r->sent_at = now;
	fg_link_write(u->link, out->str, out->len);
	g_string_free(out, TRUE);
}

/* When a request that may run elsewhere is taken from a silent endpoint; an
 * endpoint that works sends something to one of its callers long before. */
static fg_ms silence_limit(const struct fg_gwreq *r)
{
	if (r->service->engine)
		return MAX(SILENT_ENGINE_MS, 2 * (fg_ms)r->expected_ms);
	return MAX(SILENT_PLAIN_MS, 4 * (fg_ms)r->expected_ms);
}

static void watch_silence(struct fg_gwreq *r, fg_ms now)
{
	if (r->first_seen || !(r->route->idempotent || r->route->resumable))
		r->step_at = FG_MS_NEVER;
	else
		r->step_at = now + silence_limit(r);
	fg_gwreq_arm(r);
}

static void on_open(void *ctx)
{
	struct fg_up *u = ctx;

	u->connected = true;
	if (u->req == NULL)
		return;
	write_request(u);
	watch_silence(u->req, fg_clock_now());
}

static const struct fg_link_ops link_ops = {
	.on_open = on_open,
	.on_data = on_data,
	.on_end = on_end,
};

static struct fg_up *take_idle(struct fg_ep_user *user, fg_ms now)
{
	while (user->idle->len > 0) {
		struct fg_up *u = g_ptr_array_steal_index_fast(
			user->idle, user->idle->len - 1);

		if (now < u->idle_until)
			return u;
		up_close(u);
	}
	return NULL;
}

static struct fg_up *up_new(struct fg_gateway *gw, struct fg_fleet_ep *ep)
{
	struct fg_up *u = g_new0(struct fg_up, 1);

	u->gw = gw;
	u->ep = fg_ep_ref(ep);
	fg_h1_init(&u->h1, false, &h1_ops, u, HEAD_MAX_BYTES, ANSWER_MAX_BYTES);
	u->link = fg_link_connect(&gw->loop, ep->facts.address, &link_ops, u);
	if (u->link == NULL) {
		up_free(u);
		return NULL;
	}
	fg_gw_count(gw, "connections", NULL);
	return u;
}

void fg_send_start(struct fg_gwreq *r)
{
	struct fg_gateway *gw = r->gw;
	fg_ms now = fg_clock_now();
	struct fg_up *u = take_idle(fg_ep_user_of(gw, r->ep), now);

	g_assert(r->up == NULL);
	r->sends++;
	r->first_seen = false;
	r->sent_at = now;
	if (r->answer != NULL)
		g_string_truncate(r->answer, 0);
	if (u != NULL) {
		u->reused = true;
		u->head_seen = false;
		u->skip = false;
		u->req = r;
		r->up = u;
		write_request(u);
		watch_silence(r, now);
		return;
	}
	u = up_new(gw, r->ep);
	if (u == NULL) {
		fg_gwreq_send_ended(r, FG_SEND_NOT_SENT, "no_connection");
		return;
	}
	u->req = r;
	r->up = u;
	r->step_at = now + CONNECT_MS + 2 * gw->balance.cross_region_rtt_ms;
	fg_gwreq_arm(r);
}

void fg_send_overdue(struct fg_gwreq *r, fg_ms now)
{
	const struct fg_ep_user *user = fg_ep_user_of(r->gw, r->ep);

	if (!r->up->connected) {
		fg_health_record_failure(r->ep, now);
		fg_send_cancel(r);
		fg_gwreq_send_ended(r, FG_SEND_NOT_SENT, "connect_timeout");
		return;
	}
	if (r->first_seen || user->heard > r->sent_at) {
		watch_silence(r, now);
		return;
	}
	fg_health_record_failure(r->ep, now);
	fg_send_cancel(r);
	fg_gwreq_send_ended(r, FG_SEND_BROKEN, "endpoint_silent");
}

void fg_send_cancel(struct fg_gwreq *r)
{
	struct fg_up *u = r->up;

	if (u == NULL)
		return;
	r->up = NULL;
	u->req = NULL;
	up_close(u);
}
