/* A request from its head to its final answer. */
#include "gateway/fg_gateway_internal.h"

#include <string.h>

/* When a route or a caller gives no limit. */
#define DEFAULT_TIMEOUT_MS 30000
/* A caller that is refused comes back after this; loads and short queues
 * change within it. */
#define RETRY_MIN_MS 50
/* Sends of one request, those that never ran included. */
#define SENDS_MAX 6
/* Urgency 5 is the engines' default; routes rank around it. */
#define URGENCY_BASE 4
#define URGENCY_MAX 9
/* The configuration counts as confirmed for this long after the last answer
 * of the store when calls to it fail. */
#define CONFIG_STALE_MS 3000

uint32_t fg_gwreq_left_ms(const struct fg_gwreq *r, fg_ms now)
{
	return now >= r->end_at ? 0 : (uint32_t)(r->end_at - now);
}

uint32_t fg_gwreq_urgency(const struct fg_gwreq *r)
{
	return MIN(URGENCY_BASE + r->route->priority, URGENCY_MAX);
}

/* ---- Log ---- */

static const char *ms_text(char *buf, size_t size, fg_ms ms)
{
	g_snprintf(buf, size, "%lld", (long long)ms);
	return buf;
}

/* What the lines about a request have in common. */
struct line_fields {
	char took[24];
	char sent[24];
	char first[24];
	char sends[12];
};

static void fill_fields(const struct fg_gwreq *r, struct line_fields *f)
{
	ms_text(f->took, sizeof(f->took), fg_clock_now() - r->arrived);
	ms_text(f->sent, sizeof(f->sent),
		r->sent_at == 0 ? -1 : r->sent_at - r->arrived);
	ms_text(f->first, sizeof(f->first),
		r->first_at == 0 ? -1 : r->first_at - r->arrived);
	g_snprintf(f->sends, sizeof(f->sends), "%u", r->sends);
}

#define LINE_FIELDS(r, f, reason)                                              \
	"id", (r)->call.id, "route",                                           \
		(r)->route == NULL ? NULL : (r)->route->name, "reason",        \
		reason, "took_ms", (f).took, "sent_ms", (f).sent, "first_ms",  \
		(f).first, "sends", (f).sends, "endpoint",                     \
		(r)->ep == NULL ? NULL : (r)->ep->facts.id, "adapter",         \
		(r)->call.adapter, NULL

void fg_gwreq_log(const struct fg_gwreq *r, const char *event,
		  const char *reason)
{
	struct line_fields f;

	if (!fg_log_enabled(FG_LOG_WARN))
		return;
	fill_fields(r, &f);
	fg_log(FG_LOG_WARN, "request", event, LINE_FIELDS(r, f, reason));
}

void fg_gwreq_log_routine(const struct fg_gwreq *r, const char *event,
			  const char *reason)
{
	struct line_fields f;

	if (!fg_log_enabled(FG_LOG_INFO))
		return;
	fill_fields(r, &f);
	fg_log_routine("request", event, LINE_FIELDS(r, f, reason));
}

/* ---- Where it runs ---- */

static void count_pending(struct fg_gwreq *r, int sign)
{
	if (sign > 0) {
		r->ep->pending_tokens += r->pending_tokens;
		if (r->use != NULL)
			r->use->pending_tokens += r->pending_tokens;
		return;
	}
	g_assert(r->ep->pending_tokens >= r->pending_tokens);
	r->ep->pending_tokens -= r->pending_tokens;
	if (r->use != NULL)
		r->use->pending_tokens -=
			MIN(r->pending_tokens, r->use->pending_tokens);
	r->pending_tokens = 0;
}

void fg_gwreq_no_longer_pending(struct fg_gwreq *r)
{
	count_pending(r, -1);
}

static void detach(struct fg_gwreq *r)
{
	if (r->ep == NULL)
		return;
	g_assert(r->ep->running > 0);
	r->ep->running--;
	count_pending(r, -1);
	if (r->use != NULL && r->use->running > 0) {
		r->use->running--;
		fg_orders_used(r->gw, r->ep, r->use);
	}
	r->use = NULL;
	fg_ep_unref(r->ep);
	r->ep = NULL;
}

void fg_gwreq_attach(struct fg_gwreq *r, struct fg_fleet_ep *ep)
{
	detach(r);
	r->ep = fg_ep_ref(ep);
	ep->running++;
	if (r->adapter != 0)
		r->use = fg_ep_adapter_find_or_add(ep, fg_clock_now(),
						   r->adapter);
	r->pending_tokens = r->service->engine ? r->call.prompt_tokens : 0;
	count_pending(r, 1);
	if (r->use == NULL)
		return;
	r->use->running++;
	fg_orders_used(r->gw, ep, r->use);
}

void fg_gwreq_note_tried(struct fg_gwreq *r)
{
	if (r->ep == NULL)
		return;
	for (uint32_t i = 0; i < r->n_tried; i++) {
		if (r->tried[i] == r->ep)
			return;
	}
	if (r->n_tried < FG_GWREQ_TRIED_MAX)
		r->tried[r->n_tried++] = r->ep;
}

/* ---- Timer ---- */

void fg_gwreq_arm(struct fg_gwreq *r)
{
	fg_ms now = fg_clock_now();
	fg_ms at = MIN(r->end_at, r->step_at);

	uv_update_time(&r->gw->loop);
	uv_timer_start(r->timer, fg_gwreq_on_timer,
		       at <= now ? 0 : (uint64_t)(at - now), 0);
}

void fg_gwreq_wait(struct fg_gwreq *r, enum fg_gwreq_state state, fg_ms step_at)
{
	r->state = state;
	r->step_at = step_at;
	fg_gwreq_arm(r);
}

/* ---- Ends ---- */

static const char *kind_of(const struct fg_gwreq *r)
{
	if (r->route == NULL)
		return "none";
	if (r->route->streaming)
		return "streaming";
	return r->route->idempotent ? "safe" : "unsafe";
}

void fg_gwreq_count(const struct fg_gwreq *r, const char *outcome,
		    const char *reason)
{
	char labels[96];

	g_snprintf(labels, sizeof(labels), "kind=\"%s\",outcome=\"%s\"",
		   kind_of(r), outcome);
	fg_gw_count(r->gw, "requests", labels);
	if (reason == NULL)
		return;
	g_snprintf(labels, sizeof(labels), "outcome=\"%s\",reason=\"%s\"",
		   outcome, reason);
	fg_gw_count(r->gw, "reasons", labels);
}

static void req_free(struct fg_gwreq *r)
{
	fg_gw_timer_free(r->timer);
	fg_call_clear(&r->call);
	fg_events_clear(&r->events);
	if (r->answer != NULL)
		g_string_free(r->answer, TRUE);
	fg_routes_unref(r->routes);
	g_free(r);
}

static void req_remove(struct fg_gwreq *r)
{
	struct fg_gateway *gw = r->gw;
	struct fg_gwreq *moved;

	fg_send_cancel(r);
	detach(r);
	moved = gw->reqs->pdata[gw->reqs->len - 1];
	gw->reqs->pdata[r->index] = moved;
	moved->index = r->index;
	g_ptr_array_set_size(gw->reqs, (gint)gw->reqs->len - 1);
	req_free(r);
}

void fg_gwreq_end(struct fg_gwreq *r)
{
	struct fg_caller *c = r->caller;

	fg_hist_add(r->gw->hist_whole, (uint64_t)(fg_clock_now() - r->arrived));
	req_remove(r);
	if (c != NULL)
		fg_caller_done(c);
}

void fg_gwreq_cancel(struct fg_gwreq *r)
{
	fg_gwreq_log_routine(r, "caller_left", NULL);
	fg_gwreq_count(r, "caller_left", NULL);
	r->caller = NULL;
	req_remove(r);
}

void fg_gwreq_fail(struct fg_gwreq *r, unsigned int status, const char *reason)
{
	fg_gwreq_log(r, "failed", reason);
	fg_gwreq_count(r, "failed", reason);
	if (r->head_sent) {
		struct fg_caller *c = r->caller;

		/* The caller must not take the part for the whole. */
		r->caller = NULL;
		c->req = NULL;
		req_remove(r);
		fg_caller_abort(c);
		return;
	}
	fg_caller_answer(r->caller, status, r->call.id, 0, NULL, "", 0);
	fg_gwreq_end(r);
}

void fg_gwreq_refuse(struct fg_gwreq *r, const char *reason, uint32_t retry_ms)
{
	if (r->unsure || r->head_sent) {
		fg_gwreq_fail(r, HTTP_STATUS_BAD_GATEWAY, reason);
		return;
	}
	fg_gwreq_log(r, "refused", reason);
	fg_gwreq_count(r, "refused", reason);
	fg_caller_answer(r->caller, HTTP_STATUS_SERVICE_UNAVAILABLE, r->call.id,
			 CLAMP(retry_ms, RETRY_MIN_MS, FG_GWREQ_RETRY_MAX_MS),
			 NULL, "", 0);
	fg_gwreq_end(r);
}

void fg_gwreq_time_out(struct fg_gwreq *r)
{
	if (r->state == FG_GWREQ_SENT || r->unsure || r->head_sent)
		fg_gwreq_fail(r, HTTP_STATUS_GATEWAY_TIMEOUT, "time_limit");
	else
		fg_gwreq_refuse(r, "time_limit", RETRY_MIN_MS);
}

/* ---- After a send ---- */

static bool may_repeat(const struct fg_gwreq *r)
{
	return r->route->idempotent || r->route->resumable;
}

/* Takes one repeat from the service's budget. */
static bool take_budget(struct fg_gwreq *r, fg_ms now)
{
	uint32_t backoff_ms;
	bool ok = fg_retry_take(fg_gw_budget(r->gw, r->service->name), now,
				FG_CLASS_STATUS, 1, UINT32_MAX, false,
				&backoff_ms);

	fg_gw_count(r->gw, "repeats",
		    ok ? "outcome=\"taken\"" : "outcome=\"no_budget\"");
	return ok;
}

static bool may_send_again(struct fg_gwreq *r, enum fg_send_end end, fg_ms now)
{
	if (r->sends >= SENDS_MAX ||
	    fg_gwreq_left_ms(r, now) < FG_GWREQ_LEFT_MIN_MS)
		return false;
	if (end == FG_SEND_NOT_SENT)
		return true;
	if (end == FG_SEND_ERROR || end == FG_SEND_BROKEN) {
		if (!may_repeat(r) || r->runs >= r->route->attempts_max)
			return false;
	}
	return take_budget(r, now);
}

void fg_gwreq_send_ended(struct fg_gwreq *r, enum fg_send_end end,
			 const char *why)
{
	fg_ms now = fg_clock_now();

	if (end == FG_SEND_BROKEN || end == FG_SEND_ERROR) {
		r->runs++;
		r->unsure = true;
	}
	if (end == FG_SEND_BROKEN && !r->first_seen && r->ep != NULL)
		fg_losses_add(&fg_ep_user_of(r->gw, r->ep)->losses, now,
			      r->fingerprint,
			      (r->gw->incarnation ^ r->number) << 8 | r->sends);
	if (end == FG_SEND_ABSENT && r->use != NULL)
		r->use->version = 0;
	fg_gwreq_log(r, "send_ended", why);
	fg_gwreq_note_tried(r);
	if (end == FG_SEND_ABSENT)
		r->n_tried = 0; /* a load there is as good as elsewhere */
	if (may_send_again(r, end, now)) {
		fg_events_drop_partial(&r->events);
		fg_gwreq_place(r);
		return;
	}
	if (end == FG_SEND_BROKEN || end == FG_SEND_ERROR)
		fg_gwreq_fail(r, HTTP_STATUS_BAD_GATEWAY, why);
	else
		fg_gwreq_refuse(r, why, RETRY_MIN_MS);
}

/* ---- Start ---- */

/* Streams that begin this long after a planned stop may not end before it. */
#define STOP_ACCEPT_MS 2000
/* Another instance serves the caller at once. */
#define STOP_RETRY_MS 50

static bool too_late_to_start(const struct fg_gwreq *r)
{
	return r->gw->stopping && r->route->streaming &&
	       r->arrived - r->gw->stopping_since > STOP_ACCEPT_MS;
}

static bool config_is_stale(const struct fg_gateway *gw, fg_ms now)
{
	const struct fg_feed *f = &gw->feeds[FG_FEED_CONFIG];

	return f->failures > 0 && now - f->confirmed > CONFIG_STALE_MS;
}

static struct fg_gwreq *req_new(struct fg_caller *c)
{
	struct fg_gateway *gw = c->gw;
	struct fg_gwreq *r = g_new0(struct fg_gwreq, 1);

	r->gw = gw;
	r->caller = c;
	r->head = &c->h1.head;
	r->arrived = fg_clock_now();
	r->end_at = r->arrived + DEFAULT_TIMEOUT_MS;
	r->step_at = FG_MS_NEVER;
	r->number = ++gw->requests;
	r->timer = fg_gw_timer_new(gw, r);
	fg_events_init(&r->events);
	r->index = gw->reqs->len;
	g_ptr_array_add(gw->reqs, r);
	c->req = r;
	return r;
}

static uint64_t fingerprint_of(const struct fg_gwreq *r)
{
	const struct fg_caller *c = r->caller;
	uint64_t body = fg_hash_bytes(c->body->data, c->body->len);

	return fg_hash_mix(fg_hash_str(fg_h1_target(r->head)), body);
}

/* Finds the route; false when the request was answered. */
static bool find_route(struct fg_gwreq *r)
{
	struct fg_gateway *gw = r->gw;

	if (gw->routes == NULL) {
		fg_gwreq_refuse(r, "no_configuration",
				FG_GWREQ_RETRY_MAX_MS / 2);
		return false;
	}
	r->routes = fg_routes_ref(gw->routes);
	r->route =
		fg_routes_find(r->routes, r->call.host, fg_h1_target(r->head));
	if (r->route != NULL)
		return true;
	if (config_is_stale(gw, r->arrived)) {
		fg_gwreq_refuse(r, "configuration_stale",
				FG_GWREQ_RETRY_MAX_MS / 2);
		return false;
	}
	fg_gwreq_fail(r, HTTP_STATUS_NOT_FOUND, "no_route");
	return false;
}

static void set_terms(struct fg_gwreq *r)
{
	uint32_t limit_ms = r->route->timeout_ms;
	uint32_t service =
		fg_route_choose_service(r->route, fg_rand_next(&r->gw->rand));

	r->service = r->routes->services->pdata[service];
	if (limit_ms == 0)
		limit_ms = DEFAULT_TIMEOUT_MS;
	if (r->call.deadline_ms > 0)
		limit_ms = MIN(limit_ms, r->call.deadline_ms);
	r->end_at = r->arrived + limit_ms;
	if (r->service->engine && r->call.model != NULL)
		r->adapter =
			fg_adapter_key(r->call.model, fg_gwreq_adapter_name(r));
}

void fg_gwreq_start(struct fg_caller *c)
{
	struct fg_gwreq *r = req_new(c);
	struct fg_gateway *gw = c->gw;
	uint32_t retry_ms = 0;

	if (!gw->wire->call_read(r->head, &r->call)) {
		fg_gwreq_fail(r, HTTP_STATUS_BAD_REQUEST, "no_host");
		return;
	}
	if (!find_route(r))
		return;
	set_terms(r);
	if (too_late_to_start(r)) {
		fg_gwreq_refuse(r, "stopping", STOP_RETRY_MS);
		return;
	}
	r->fingerprint = fingerprint_of(r);
	if (fg_suspects_check(gw->suspects, r->arrived, r->fingerprint,
			      &retry_ms) == FG_SUSPECT_REFUSE) {
		fg_gwreq_refuse(r, "crashes_endpoints", FG_GWREQ_RETRY_MAX_MS);
		return;
	}
	if (r->adapter != 0)
		fg_gw_heat(gw, r->arrived, r->adapter, r->call.prompt_tokens);
	fg_retry_count_first(fg_gw_budget(gw, r->service->name), r->arrived,
			     FG_CLASS_STATUS);
	fg_gwreq_place(r);
}
