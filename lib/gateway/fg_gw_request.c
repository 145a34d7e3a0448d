/* A request from its head to its final answer. */
#include "gateway/fg_gateway_internal.h"

#include <string.h>

/* Time limit when neither the route nor the caller sets one. */
#define DEFAULT_TIMEOUT_MS 30000
/* Shortest Retry-After of a refusal. The state of loads and of short queues
 * changes within this time, so that a caller that comes back then may find
 * another situation. */
#define RETRY_MIN_MS 50
/* Maximum sends of one request, including those that did not run. */
#define SENDS_MAX 6
/* Urgency of a route of priority 0. The engines' default is 5, which is that of
 * priority 1. */
#define URGENCY_BASE 4
#define URGENCY_MAX 9
/* Priorities of workspaces are this far apart, so that those of routes order
 * the requests of one workspace. A workspace of priority 1 counts like none. */
#define URGENCY_PER_WORKSPACE_PRIORITY 3
/* While calls to the store fail, the configuration counts as current for this
 * long after the store's last answer. */
#define CONFIG_STALE_MS 3000

uint32_t fg_gwreq_time_left_ms(const struct fg_gwreq *r, fg_ms now)
{
	return now >= r->deadline ? 0 : (uint32_t)(r->deadline - now);
}

uint32_t fg_gwreq_urgency(const struct fg_gwreq *r)
{
	const uint32_t step = URGENCY_PER_WORKSPACE_PRIORITY;

	if (r->workspace == NULL || !r->workspace->has_priority)
		return URGENCY_BASE +
		       MIN(r->route->priority, URGENCY_MAX - URGENCY_BASE);
	return MIN(URGENCY_BASE - step +
			   step * MIN(r->workspace->priority, step) +
			   MIN(r->route->priority, step - 1),
		   URGENCY_MAX);
}

/* ---- Log ---- */

static const char *format_ms(char *buf, size_t size, fg_ms ms)
{
	g_snprintf(buf, size, "%lld", (long long)ms);
	return buf;
}

/* Values that all log lines about a request carry. */
struct log_fields {
	char took[24];
	char sent[24];
	char first[24];
	char sends[12];
	char after[24];	 /* since the signal to stop; else empty */
	const char *via; /* instance that the send goes through, or NULL */
	/* Of a refusal by lib/overload; else empty. */
	char gave_way_to[12];
	char estimate[12];
	char objective[12];
	/* Of a request that cannot end in time in a stop; else empty. */
	char assumed[12];
	char left[24];
};

static const char *name_via(const struct fg_gwreq *r)
{
	const struct fg_mesh_peer *peer;

	if (r->conn == NULL || r->conn->via == 0)
		return NULL;
	peer = fg_peers_find(r->gw->peers, r->conn->via);
	return peer == NULL ? "unknown" : peer->row.name;
}

static void fill_estimate(const struct fg_gwreq *r, struct log_fields *f)
{
	f->assumed[0] = '\0';
	if (r->too_long.evidence == NULL)
		return;
	g_snprintf(f->assumed, sizeof(f->assumed), "%u",
		   r->too_long.longest_ms);
	format_ms(f->left, sizeof(f->left),
		  fg_gw_stop_left_ms(r->gw, fg_clock_now()));
}

static void fill_log_fields(const struct fg_gwreq *r, struct log_fields *f)
{
	format_ms(f->took, sizeof(f->took), fg_clock_now() - r->arrived_at);
	format_ms(f->sent, sizeof(f->sent),
		  r->sent_at == 0 ? -1 : r->sent_at - r->arrived_at);
	format_ms(f->first, sizeof(f->first),
		  r->first_at == 0 ? -1 : r->first_at - r->arrived_at);
	g_snprintf(f->sends, sizeof(f->sends), "%u", r->sends);
	f->after[0] = '\0';
	if (fg_gw_is_stopping(r->gw))
		format_ms(f->after, sizeof(f->after),
			  fg_clock_now() - r->gw->stop.began_at);
	f->via = name_via(r);
	fill_estimate(r, f);
	f->gave_way_to[0] = '\0';
	if (r->shed.why == FG_OVERLOAD_SEND)
		return;
	g_snprintf(f->gave_way_to, sizeof(f->gave_way_to), "%u",
		   r->shed.gave_way_to);
	g_snprintf(f->estimate, sizeof(f->estimate), "%u", r->shed.estimate_ms);
	g_snprintf(f->objective, sizeof(f->objective), "%u",
		   r->shed.objective_ms);
}

#define OVERLOAD_FIELD(f, name) ((f).gave_way_to[0] == '\0' ? NULL : (f).name)

#define ESTIMATE_FIELD(f, value) ((f).assumed[0] == '\0' ? NULL : (value))

#define LOG_FIELDS(r, f, reason)                                               \
	"id", (r)->call.id, "route",                                           \
		(r)->route == NULL ? NULL : (r)->route->name, "reason",        \
		reason, "took_ms", (f).took, "sent_ms", (f).sent, "first_ms",  \
		(f).first, "sends", (f).sends, "after_ms",                     \
		(f).after[0] == '\0' ? NULL : (f).after, "endpoint",           \
		(r)->ep == NULL ? NULL : (r)->ep->facts.id, "software",        \
		(r)->ep == NULL ? NULL : (r)->ep->facts.software, "adapter",   \
		(r)->call.adapter, "via", (f).via, "gave_way_to",              \
		OVERLOAD_FIELD(f, gave_way_to), "estimate_ms",                 \
		OVERLOAD_FIELD(f, estimate), "objective_ms",                   \
		OVERLOAD_FIELD(f, objective), "assumed_ms",                    \
		ESTIMATE_FIELD(f, (f).assumed), "evidence",                    \
		(r)->too_long.evidence, "left_ms",                             \
		ESTIMATE_FIELD(f, (f).left), NULL

void fg_gwreq_log(const struct fg_gwreq *r, const char *event,
		  const char *reason)
{
	struct log_fields f;

	if (!fg_log_enabled(FG_LOG_WARN))
		return;
	fill_log_fields(r, &f);
	fg_log(FG_LOG_WARN, "request", event, LOG_FIELDS(r, f, reason));
}

void fg_gwreq_log_routine(const struct fg_gwreq *r, const char *event,
			  const char *reason)
{
	struct log_fields f;

	if (!fg_log_enabled(FG_LOG_INFO))
		return;
	fill_log_fields(r, &f);
	if (fg_gw_is_stopping(r->gw))
		fg_log(FG_LOG_INFO, "request", event, LOG_FIELDS(r, f, reason));
	else
		fg_log_routine("request", event, LOG_FIELDS(r, f, reason));
}

/* ---- Assignment to an endpoint ---- */

static void adjust_pending(struct fg_gwreq *r, int sign)
{
	if (sign > 0) {
		r->ep->pending_tokens += r->pending_tokens;
		if (r->ep_adapter != NULL)
			r->ep_adapter->pending_tokens += r->pending_tokens;
		return;
	}
	g_assert(r->ep->pending_tokens >= r->pending_tokens);
	r->ep->pending_tokens -= r->pending_tokens;
	if (r->ep_adapter != NULL)
		r->ep_adapter->pending_tokens -=
			MIN(r->pending_tokens, r->ep_adapter->pending_tokens);
	r->pending_tokens = 0;
}

void fg_gwreq_clear_pending(struct fg_gwreq *r)
{
	adjust_pending(r, -1);
}

static void detach_endpoint(struct fg_gwreq *r)
{
	if (r->ep == NULL)
		return;
	g_assert(r->ep->running > 0);
	r->ep->running--;
	adjust_pending(r, -1);
	if (r->ep_adapter != NULL && r->ep_adapter->running > 0) {
		r->ep_adapter->running--;
		fg_orders_note_use(r->gw, r->ep, r->ep_adapter);
	}
	r->ep_adapter = NULL;
	fg_ep_unref(r->ep);
	r->ep = NULL;
}

void fg_gwreq_attach(struct fg_gwreq *r, struct fg_fleet_ep *ep)
{
	detach_endpoint(r);
	r->ep = fg_ep_ref(ep);
	ep->running++;
	if (r->adapter != 0)
		r->ep_adapter = fg_ep_adapter_find_or_add(ep, fg_clock_now(),
							  r->adapter);
	r->pending_tokens = r->service->engine ? r->call.prompt_tokens : 0;
	adjust_pending(r, 1);
	if (r->ep_adapter == NULL)
		return;
	r->ep_adapter->running++;
	fg_orders_note_use(r->gw, ep, r->ep_adapter);
}

void fg_gwreq_mark_tried(struct fg_gwreq *r)
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

void fg_gwreq_arm_timer(struct fg_gwreq *r)
{
	fg_ms now = fg_clock_now();
	fg_ms at = MIN(r->deadline, r->due_at);

	uv_update_time(&r->gw->loop);
	uv_timer_start(r->timer, fg_gwreq_on_timer,
		       at <= now ? 0 : (uint64_t)(at - now), 0);
}

/* Returns whether the request may enter the state. */
static bool check_state(struct fg_gwreq *r, enum fg_gwreq_state state)
{
	if (fg_gwreq_may_enter(r->state, state))
		return true;
#ifdef FG_DEBUG_CHECKS
	g_error("request in %s enters %s", fg_gwreq_state_name(r->state),
		fg_gwreq_state_name(state));
#endif
	fg_gw_count_event(r->gw, "state_faults", NULL);
	fg_log(FG_LOG_ERROR, "request", "state_fault", "id", r->call.id, "from",
	       fg_gwreq_state_name(r->state), "to", fg_gwreq_state_name(state),
	       NULL);
	return false;
}

void fg_gwreq_enter_state(struct fg_gwreq *r, enum fg_gwreq_state state,
			  fg_ms due_at)
{
	if (!check_state(r, state))
		return;
	r->state = state;
	r->due_at = due_at;
	fg_gwreq_arm_timer(r);
}

void fg_gwreq_leave_state(struct fg_gwreq *r)
{
	if (check_state(r, FG_GWREQ_DECIDING))
		r->state = FG_GWREQ_DECIDING;
}

/* ---- Final answers ---- */

static const char *route_kind(const struct fg_gwreq *r)
{
	if (r->route == NULL)
		return "none";
	if (r->route->streaming)
		return "streaming";
	return r->route->idempotent ? "safe" : "unsafe";
}

void fg_gwreq_count_outcome(const struct fg_gwreq *r, const char *outcome,
			    const char *reason)
{
	char labels[96];

	g_snprintf(labels, sizeof(labels), "kind=\"%s\",outcome=\"%s\"",
		   route_kind(r), outcome);
	fg_gw_count_event(r->gw, "requests", labels);
	if (reason == NULL)
		return;
	g_snprintf(labels, sizeof(labels), "outcome=\"%s\",reason=\"%s\"",
		   outcome, reason);
	fg_gw_count_event(r->gw, "reasons", labels);
}

void fg_gwreq_drop_answer_body(struct fg_gwreq *r)
{
	if (r->answer_body == NULL)
		return;
	if (r->caller != NULL)
		fg_memory_set_collected(&r->gw->memory, &r->caller->memory, 0);
	g_byte_array_unref(r->answer_body);
	r->answer_body = NULL;
}

static void req_free(struct fg_gwreq *r)
{
	fg_gw_timer_free(r->timer);
	fg_call_clear(&r->call);
	fg_events_clear(&r->events);
	fg_gwreq_drop_answer_body(r);
	fg_routes_unref(r->keyed_by);
	fg_routes_unref(r->routes);
	g_free(r);
}

static void req_remove(struct fg_gwreq *r)
{
	struct fg_gateway *gw = r->gw;
	struct fg_gwreq *moved;

	fg_send_cancel(r);
	detach_endpoint(r);
	moved = gw->reqs->pdata[gw->reqs->len - 1];
	gw->reqs->pdata[r->index] = moved;
	moved->index = r->index;
	g_ptr_array_set_size(gw->reqs, (gint)gw->reqs->len - 1);
	req_free(r);
}

void fg_gwreq_finish(struct fg_gwreq *r)
{
	struct fg_caller *c = r->caller;

	fg_hist_add(r->gw->hist_whole,
		    (uint64_t)(fg_clock_now() - r->arrived_at));
	req_remove(r);
	if (c != NULL)
		fg_caller_finish_answer(c);
}

bool fg_gwreq_is_passed_on(const struct fg_gwreq *r)
{
	return r->may_have_run || (r->conn != NULL && r->conn->connected &&
				   r->conn->report == NULL);
}

/* How far the request had got when this process ended it. */
static const char *stop_phase(const struct fg_gwreq *r)
{
	if (r->head_sent)
		return "answer_begun";
	return fg_gwreq_is_passed_on(r) ? "passed_on" : "not_passed_on";
}

void fg_gwreq_cancel(struct fg_gwreq *r)
{
	if (r->gw->ending) {
		fg_gwreq_log(r, "cut_by_stop", stop_phase(r));
		fg_gwreq_count_outcome(r, "cut_by_stop", stop_phase(r));
	} else {
		fg_gwreq_log_routine(r, "caller_left", r->caller->end_reason);
		fg_gwreq_count_outcome(r, "caller_left", NULL);
	}
	r->caller = NULL;
	if (r->state != FG_GWREQ_SENT && !r->may_have_run)
		fg_gw_quota_give_back(r);
	req_remove(r);
}

void fg_gwreq_fail(struct fg_gwreq *r, unsigned int status, const char *reason)
{
	fg_gwreq_log(r, "failed", reason);
	fg_gwreq_count_outcome(r, "failed", reason);
	if (r->head_sent) {
		struct fg_caller *c = r->caller;

		/* A reset tells the caller that the answer is incomplete. */
		r->caller = NULL;
		c->req = NULL;
		req_remove(r);
		fg_caller_abort(c);
		return;
	}
	fg_caller_answer(r->caller, status, r->call.id, 0, NULL, "", 0);
	fg_gwreq_finish(r);
}

static void refuse_with_status(struct fg_gwreq *r, unsigned int status,
			       const char *reason, uint32_t retry_ms)
{
	if (r->may_have_run || r->head_sent || fg_gwreq_is_passed_on(r)) {
		fg_gwreq_fail(r, HTTP_STATUS_BAD_GATEWAY, reason);
		return;
	}
	fg_gw_quota_give_back(r);
	fg_gwreq_log(r, "refused", reason);
	fg_gwreq_count_outcome(r, "refused", reason);
	fg_caller_answer(r->caller, status, r->call.id, retry_ms, NULL, "", 0);
	fg_gwreq_finish(r);
}

void fg_gwreq_refuse_until(struct fg_gwreq *r, const char *reason,
			   uint32_t retry_ms)
{
	refuse_with_status(r, HTTP_STATUS_SERVICE_UNAVAILABLE, reason,
			   retry_ms);
}

void fg_gwreq_refuse_limit(struct fg_gwreq *r, const char *reason,
			   uint32_t retry_ms)
{
	refuse_with_status(r, HTTP_STATUS_TOO_MANY_REQUESTS, reason, retry_ms);
}

void fg_gwreq_refuse(struct fg_gwreq *r, const char *reason, uint32_t retry_ms)
{
	fg_gwreq_refuse_until(
		r, reason,
		CLAMP(retry_ms, RETRY_MIN_MS, FG_GWREQ_RETRY_MAX_MS));
}

void fg_gwreq_time_out(struct fg_gwreq *r)
{
	if (r->state == FG_GWREQ_SENT || r->may_have_run || r->head_sent)
		fg_gwreq_fail(r, HTTP_STATUS_GATEWAY_TIMEOUT, "time_limit");
	else
		fg_gwreq_refuse(r, "time_limit", RETRY_MIN_MS);
}

/* ---- Retries ---- */

bool fg_gwreq_may_run_again(const struct fg_gwreq *r)
{
	return r->route->idempotent || r->route->resumable;
}

/* Returns whether the request's time and its number of sends allow another. */
static bool has_send_left(const struct fg_gwreq *r, fg_ms now)
{
	return r->sends < SENDS_MAX &&
	       fg_gwreq_time_left_ms(r, now) >= FG_GWREQ_TIME_LEFT_MIN_MS;
}

bool fg_gwreq_has_retry_budget(const struct fg_gwreq *r, fg_ms now)
{
	return has_send_left(r, now) &&
	       fg_retry_budget_left(fg_gw_retry_budget(r->gw, r->service->name),
				    now, FG_CLASS_STATUS) > 0;
}

/* Takes one retry from the service's budget; false when it is used up. */
static bool take_retry_budget(struct fg_gwreq *r, fg_ms now)
{
	uint32_t backoff_ms;
	bool ok = fg_retry_take(fg_gw_retry_budget(r->gw, r->service->name),
				now, FG_CLASS_STATUS, 1, UINT32_MAX, false,
				&backoff_ms);

	fg_gw_count_event(r->gw, "repeats",
			  ok ? "outcome=\"taken\"" : "outcome=\"no_budget\"");
	return ok;
}

static bool may_send_again(struct fg_gwreq *r, enum fg_send_end end, fg_ms now)
{
	if (!has_send_left(r, now))
		return false;
	/* Without ids, another endpoint would send the same events again. */
	if (r->head_sent && !r->events.has_id)
		return false;
	if (end == FG_SEND_NOT_SENT)
		return true;
	if (end == FG_SEND_ERROR || end == FG_SEND_BROKEN) {
		if (!fg_gwreq_may_run_again(r) ||
		    r->possible_runs >= r->route->attempts_max)
			return false;
	}
	return take_retry_budget(r, now);
}

/* A request that crashes endpoints does so soon after its answer begins. */
#define BEGUN_MAX_MS 1500

static bool is_long_answered(const struct fg_gwreq *r, fg_ms now)
{
	return r->head_at != 0 && now - r->head_at > BEGUN_MAX_MS;
}

/* Keeps the request that was lost at r->ep, in case the endpoint crashed. */
static void record_loss(struct fg_gwreq *r, fg_ms now)
{
	struct fg_loss loss = {
		.fingerprint = r->fingerprint,
		.request = (r->gw->incarnation ^ r->local_id) << 8 | r->sends,
		.shared_parts = r->call.shared_parts,
		.phase = r->head_at != 0 ? FG_LOSS_BEGUN : FG_LOSS_WAITING,
		.at = now,
	};

	if (r->call.id != NULL)
		g_strlcpy(loss.id, r->call.id, sizeof(loss.id));
	fg_losses_add(&fg_ep_local_get(r->gw, r->ep)->losses, &loss);
	if (loss.phase == FG_LOSS_BEGUN)
		fg_ep_check_alive(r->gw, r->ep);
}

void fg_gwreq_on_send_end(struct fg_gwreq *r, enum fg_send_end end,
			  const char *why)
{
	fg_ms now = fg_clock_now();

	r->state = FG_GWREQ_DECIDING;
	if (end == FG_SEND_BROKEN || end == FG_SEND_ERROR) {
		r->possible_runs++;
		r->may_have_run = true;
	}
	if (end == FG_SEND_BROKEN && r->ep != NULL && !is_long_answered(r, now))
		record_loss(r, now);
	if (end == FG_SEND_ABSENT && r->ep_adapter != NULL)
		r->ep_adapter->version = 0;
	fg_gwreq_log(r, "send_ended", why);
	/* The endpoint may be reached through another instance. */
	if (end != FG_SEND_NOT_SENT || r->ep == NULL ||
	    !fg_reach_needs_tunnel(r->ep, now, r->gw->cut) ||
	    fg_gw_tunnel_choose_peer(r->gw, now) == NULL)
		fg_gwreq_mark_tried(r);
	r->trial =
		r->trial && (end == FG_SEND_NOT_SENT ||
			     end == FG_SEND_NOT_RUN || end == FG_SEND_ABSENT);
	if (end == FG_SEND_ABSENT)
		r->n_tried = 0; /* the same endpoint can load the adapter */
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

bool fg_gw_is_config_stale(const struct fg_gateway *gw, fg_ms now)
{
	const struct fg_feed *f = &gw->feeds[FG_FEED_CONFIG];

	return f->failures > 0 && now - f->confirmed_at > CONFIG_STALE_MS;
}

/* More than any engine holds. */
#define TOKENS_MAX 1000000000

/* No engine of the service can ever hold the prompt. */
static bool is_larger_than_engine(const struct fg_gwreq *r)
{
	uint32_t capacity = r->service->kv_capacity_tokens;

	return r->service->engine &&
	       r->call.prompt_tokens >
		       (capacity == 0 ? TOKENS_MAX : MIN(capacity, TOKENS_MAX));
}

static struct fg_gwreq *req_new(struct fg_caller *c)
{
	struct fg_gateway *gw = c->gw;
	struct fg_gwreq *r = g_new0(struct fg_gwreq, 1);

	r->gw = gw;
	r->caller = c;
	r->head = &c->h1.head;
	r->arrived_at = fg_clock_now();
	r->deadline = r->arrived_at + DEFAULT_TIMEOUT_MS;
	r->due_at = FG_MS_NEVER;
	r->local_id = ++gw->n_requests;
	r->timer = fg_gw_timer_new(gw, r);
	fg_events_init(&r->events);
	r->index = gw->reqs->len;
	g_ptr_array_add(gw->reqs, r);
	c->req = r;
	return r;
}

static uint64_t request_fingerprint(const struct fg_gwreq *r)
{
	gsize len;
	const void *data = g_bytes_get_data(r->caller->whole_body, &len);
	uint64_t body = fg_hash_bytes(data, len);

	return fg_hash_mix(fg_hash_str(fg_h1_target(r->head)), body);
}

/* Sets r->route. Returns false when there is none; the request is answered
 * then. */
static bool find_route_or_answer(struct fg_gwreq *r)
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
	if (fg_gw_is_config_stale(gw, r->arrived_at)) {
		fg_gwreq_refuse(r, "configuration_stale",
				FG_GWREQ_RETRY_MAX_MS / 2);
		return false;
	}
	fg_gwreq_fail(r, HTTP_STATUS_NOT_FOUND, "no_route");
	return false;
}

static void set_service_and_limits(struct fg_gwreq *r)
{
	uint32_t limit_ms = r->route->timeout_ms;
	uint32_t service =
		fg_route_choose_service(r->route, fg_rand_next(&r->gw->rand));

	r->service = r->routes->services->pdata[service];
	if (limit_ms == 0)
		limit_ms = DEFAULT_TIMEOUT_MS;
	r->deadline = r->arrived_at + limit_ms;
	/* The caller waits since it began to send. */
	if (r->call.deadline_ms > 0)
		r->deadline = MIN(r->deadline,
				  r->caller->read_since + r->call.deadline_ms);
	if (r->service->engine && r->call.model != NULL)
		r->adapter =
			fg_adapter_key(r->call.model, fg_gwreq_adapter_name(r));
}

/* Refuses a request for a model or an adapter that no order could name. Returns
 * false if it was answered. */
static bool check_names(struct fg_gwreq *r)
{
	if (!r->service->engine || r->call.model == NULL ||
	    (fg_name_is_usable(r->call.model) &&
	     (r->call.adapter == NULL || fg_name_is_usable(r->call.adapter))))
		return true;
	fg_gwreq_fail(r, HTTP_STATUS_BAD_REQUEST, "unusable_name");
	return false;
}

void fg_gwreq_place_admitted(struct fg_gwreq *r)
{
	struct fg_gateway *gw = r->gw;

	if (r->adapter != 0)
		fg_gw_update_token_rate(gw, r->arrived_at, r->adapter,
					r->call.prompt_tokens);
	fg_retry_count_first(fg_gw_retry_budget(gw, r->service->name),
			     r->arrived_at, FG_CLASS_STATUS);
	if (fg_gw_origin_resolve(r))
		fg_gwreq_place(r);
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
	if (!find_route_or_answer(r) || !fg_gw_workspace_admit(r))
		return;
	set_service_and_limits(r);
	if (!check_names(r))
		return;
	if (r->call.resumes && r->route->resumable)
		fg_events_continue_after(&r->events, r->call.resume_after);
	if (fg_gw_stop_refuse_late(r))
		return;
	fg_gw_stop_log_taken(r);
	if (is_larger_than_engine(r)) {
		fg_gwreq_refuse(r, "larger_than_engine", FG_GWREQ_RETRY_MAX_MS);
		return;
	}
	r->fingerprint = request_fingerprint(r);
	if (fg_suspects_check(gw->suspects, r->arrived_at, r->fingerprint,
			      &retry_ms) == FG_SUSPECT_REFUSE) {
		fg_gwreq_refuse(r, "crashes_endpoints", FG_GWREQ_RETRY_MAX_MS);
		return;
	}
	if (!fg_gw_blame_admit(r))
		return;
	if (fg_gw_quota_admit(r))
		fg_gwreq_place_admitted(r);
}
