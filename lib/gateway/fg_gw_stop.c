/* Planned stop: which requests are still taken, and what ends what is left. */
#include "gateway/fg_gateway_internal.h"

/* A stop that is noticed after a pause of the process began at an unknown time
 * of it. Ticks this far apart tell of one. */
#define PAUSE_MIN_MS 250
/* After a pause, a tick can come this long before the signal is noticed. */
#define SIGNAL_LATE_MS 100
/* Period of ticks from the answers on, so that the process leaves soon. */
#define LAST_TICKS_MS 20
/* Other instances can serve the caller at once. */
#define RETRY_MS 50

/* ---- Requests ---- */

static bool has_time_for(const struct fg_gwreq *r,
			 const struct fg_gw_estimate *e, fg_ms now)
{
	const struct fg_stop *stop = &r->gw->stop;

	/* An answer that has begun cannot be refused any more, only cut. */
	if (r->head_sent)
		return stop->phase < FG_STOP_ANSWERING;
	return fg_stop_has_time(stop, now, e->longest_ms);
}

bool fg_gw_stop_has_time_at(const struct fg_gwreq *r,
			    const struct fg_fleet_ep *ep, fg_ms now)
{
	struct fg_gw_estimate e;

	if (!fg_gw_is_stopping(r->gw))
		return true;
	e = fg_gw_took_estimate(r, ep, now);
	return has_time_for(r, &e, now);
}

bool fg_gw_stop_has_time(const struct fg_gwreq *r, fg_ms now)
{
	return fg_gw_stop_has_time_at(r, r->ep, now);
}

fg_ms fg_gw_stop_left_ms(const struct fg_gateway *gw, fg_ms now)
{
	return gw->stop.answer_at - now;
}

char *fg_gw_stop_format_age(const struct fg_gateway *gw)
{
	if (!fg_gw_is_stopping(gw))
		return NULL;
	return g_strdup_printf("%lld",
			       (long long)(fg_clock_now() - gw->stop.began_at));
}

void fg_gw_stop_log_taken(const struct fg_gwreq *r)
{
	fg_ms now = fg_clock_now();
	struct fg_gw_estimate e;
	char *age;
	char text[2][24];

	if (!fg_gw_is_stopping(r->gw))
		return;
	e = fg_gw_took_estimate(r, r->ep, now);
	age = fg_gw_stop_format_age(r->gw);
	g_snprintf(text[0], sizeof(text[0]), "%u", e.longest_ms);
	g_snprintf(text[1], sizeof(text[1]), "%lld",
		   (long long)fg_gw_stop_left_ms(r->gw, now));
	fg_log(FG_LOG_INFO, "request", "taken_in_stop", "id", r->call.id,
	       "route", r->route->name, "after_ms", age, "assumed_ms", text[0],
	       "evidence", e.evidence, "left_ms", text[1], NULL);
	g_free(age);
}

void fg_gw_stop_log_sent(const struct fg_gwreq *r)
{
	if (fg_gw_is_stopping(r->gw))
		fg_gwreq_log_routine(r, "sent_in_stop", NULL);
}

/* Ends the request with what is known of it: it has not run, or it may have. */
static void end_request(struct fg_gwreq *r)
{
	if (fg_gwreq_is_passed_on(r) || r->head_sent)
		fg_gwreq_fail(r, HTTP_STATUS_GATEWAY_TIMEOUT, "stopping");
	else
		fg_gwreq_refuse(r, "stopping", RETRY_MS);
}

static bool end_if_late(struct fg_gwreq *r, fg_ms now)
{
	struct fg_gw_estimate e;

	if (!fg_gw_is_stopping(r->gw))
		return false;
	e = fg_gw_took_estimate(r, r->ep, now);
	if (has_time_for(r, &e, now))
		return false;
	r->too_long = e;
	end_request(r);
	return true;
}

bool fg_gw_stop_refuse_late(struct fg_gwreq *r)
{
	return end_if_late(r, fg_clock_now());
}

/* Calls `f` for each request, which may end it and others. */
static void for_each_request(struct fg_gateway *gw,
			     void (*f)(struct fg_gwreq *r, fg_ms now),
			     fg_ms now)
{
	for (guint i = gw->reqs->len; i > 0; i--) {
		if (i <= gw->reqs->len)
			f(gw->reqs->pdata[i - 1], now);
	}
}

/* Requests that wait and cannot end in time any more are refused, so that their
 * callers still have time to go elsewhere. */
static void check_request(struct fg_gwreq *r, fg_ms now)
{
	if (r->route == NULL)
		return;
	if (fg_gwreq_is_passed_on(r))
		fg_gw_took_note(r, now, false);
	else
		(void)end_if_late(r, now);
}

static void answer_request(struct fg_gwreq *r, fg_ms now)
{
	(void)now;
	end_request(r);
}

/* ---- Connections ---- */

static bool has_work(const struct fg_caller *c)
{
	return c->req != NULL || c->tunnel != NULL || fg_caller_is_reading(c);
}

/* Returns whether closing the connection could lose an answer that its caller
 * has not read, or a request that its caller sends before it sees the end. */
static bool is_in_transit(const struct fg_caller *c)
{
	return c->link != NULL && !has_work(c) && fg_link_may_be_read(c->link);
}

static void close_idle_callers(struct fg_gateway *gw)
{
	for (guint i = 0; i < gw->callers->len; i++) {
		struct fg_caller *c = gw->callers->pdata[i];

		if (!has_work(c) && !is_in_transit(c))
			fg_caller_close_idle(c);
	}
}

static void refuse_half_read(struct fg_gateway *gw)
{
	for (guint i = 0; i < gw->callers->len; i++) {
		struct fg_caller *c = gw->callers->pdata[i];

		if (!fg_caller_is_reading(c))
			continue;
		fg_caller_log_half_read(c, "refused_half_read", NULL);
		fg_caller_answer(c, HTTP_STATUS_SERVICE_UNAVAILABLE, NULL,
				 RETRY_MS, NULL, "", 0);
		fg_caller_close(c, true);
	}
}

/* Answers what is in progress. A connection with bytes in transit stays open:
 * what its caller sends next is refused. */
static void answer_all(struct fg_gateway *gw, fg_ms now)
{
	/* Each end has a line, and so has each answer that is cut later. */
	fg_log_allow_burst(gw->reqs->len + gw->callers->len);
	for_each_request(gw, answer_request, now);
	refuse_half_read(gw);
	for (guint i = 0; i < gw->callers->len; i++) {
		struct fg_caller *c = gw->callers->pdata[i];

		if (c->tunnel != NULL)
			fg_caller_abort(c);
	}
	close_idle_callers(gw);
}

/* ---- What is in progress ---- */

static struct fg_stop_work count_work(const struct fg_gateway *gw)
{
	struct fg_stop_work work = {
		.requests = gw->reqs->len,
		.tunnels = gw->tunnels->len,
		.unsent = fg_link_flushing_count(),
		.writing = gw->own_row_end != FG_OWN_ROW_ENDED,
	};

	for (guint i = 0; i < gw->callers->len; i++) {
		work.reading += fg_caller_is_reading(gw->callers->pdata[i]);
		work.in_transit += is_in_transit(gw->callers->pdata[i]);
	}
	return work;
}

void fg_gw_log_unfinished(const struct fg_gateway *gw)
{
	struct fg_stop_work work = count_work(gw);
	uint64_t unsent = fg_link_flushing_bytes();
	guint n_passed_on = 0;
	uint64_t unacked = 0;
	char text[6][24];

	for (guint i = 0; i < gw->callers->len; i++) {
		const struct fg_caller *c = gw->callers->pdata[i];

		if (c->link == NULL)
			continue;
		unsent += fg_link_pending_bytes(c->link);
		unacked += fg_link_unacked_bytes(c->link);
	}
	for (guint i = 0; i < gw->reqs->len; i++)
		n_passed_on += fg_gwreq_is_passed_on(gw->reqs->pdata[i]);
	if (work.requests + work.tunnels + work.reading + unsent + unacked == 0)
		return;
	g_snprintf(text[0], sizeof(text[0]), "%u", work.requests);
	g_snprintf(text[1], sizeof(text[1]), "%u", n_passed_on);
	g_snprintf(text[2], sizeof(text[2]), "%u", work.tunnels);
	g_snprintf(text[3], sizeof(text[3]), "%llu",
		   (unsigned long long)unsent);
	g_snprintf(text[4], sizeof(text[4]), "%u", work.reading);
	g_snprintf(text[5], sizeof(text[5]), "%llu",
		   (unsigned long long)unacked);
	fg_log(FG_LOG_WARN, "gateway", "unfinished", "requests", text[0],
	       "passed_on", text[1], "tunnels", text[2], "unsent_bytes",
	       text[3], "unacked_bytes", text[5], "half_read", text[4], NULL);
}

/* ---- Phases ---- */

/* Returns the earliest time at which a signal that is noticed now can have
 * come. */
static fg_ms signalled_since(const struct fg_gateway *gw, fg_ms now)
{
	fg_ms since = now - gw->last_tick_at < SIGNAL_LATE_MS
			      ? gw->tick_before_at
			      : gw->last_tick_at;

	return now - since >= PAUSE_MIN_MS ? since : now;
}

void fg_gw_stop_begin(struct fg_gateway *gw)
{
	fg_ms now = fg_clock_now();

	if (fg_gw_is_stopping(gw))
		return;
	fg_stop_begin(&gw->stop, signalled_since(gw, now), now,
		      gw->conf->stop_grace_ms);
	fg_quota_leave(gw->quota);
	fg_log(FG_LOG_INFO, "gateway", "stopping", NULL);
	fg_gw_mesh_send_heartbeat(gw);
	gw->far_heartbeat_due_at = now;
	/* Releases engines at once. */
	gw->next_tx_at = now;
	fg_sync_tick(gw, now);
}

static void log_phase(const struct fg_gateway *gw,
		      const struct fg_stop_work *work)
{
	char *age = fg_gw_stop_format_age(gw);
	char text[5][12];

	g_snprintf(text[0], sizeof(text[0]), "%u", work->requests);
	g_snprintf(text[1], sizeof(text[1]), "%u", work->tunnels);
	g_snprintf(text[2], sizeof(text[2]), "%u", work->reading);
	g_snprintf(text[3], sizeof(text[3]), "%u", work->unsent);
	g_snprintf(text[4], sizeof(text[4]), "%u", work->in_transit);
	fg_log(FG_LOG_INFO, "gateway", "stop_phase", "phase",
	       fg_stop_phase_name(gw->stop.phase), "after_ms", age, "requests",
	       text[0], "tunnels", text[1], "half_read", text[2], "in_transit",
	       text[4], "being_sent", text[3], NULL);
	g_free(age);
}

/* Moves on by one phase, if it is due, and returns true when it has. */
static bool advance(struct fg_gateway *gw, fg_ms now)
{
	struct fg_stop_work work = count_work(gw);

	if (!fg_stop_step(&gw->stop, now, &work))
		return false;
	log_phase(gw, &work);
	if (gw->stop.phase == FG_STOP_FINISHING) {
		fg_caller_accept_queued(gw);
		fg_gw_close_listeners(gw);
		close_idle_callers(gw);
	} else if (gw->stop.phase == FG_STOP_ANSWERING) {
		fg_gw_log_unfinished(gw);
		answer_all(gw, now);
		uv_timer_set_repeat(&gw->tick, LAST_TICKS_MS);
		uv_timer_again(&gw->tick);
	} else if (gw->stop.phase == FG_STOP_OVER) {
		refuse_half_read(gw);
		uv_stop(&gw->loop);
	}
	return true;
}

void fg_gw_stop_tick(struct fg_gateway *gw, fg_ms now)
{
	if (!fg_gw_is_stopping(gw))
		return;
	for_each_request(gw, check_request, now);
	if (gw->stop.phase >= FG_STOP_FINISHING)
		close_idle_callers(gw);
	if (gw->stop.phase >= FG_STOP_FLUSHING)
		fg_sync_withdraw_own_row(gw);
	/* The process leaves in a later tick than the one of the answers: the
	 * event loop may still read from connections in the iteration in which
	 * they are closed. */
	while (advance(gw, now)) {
		if (gw->stop.phase == FG_STOP_ANSWERING)
			break;
	}
}
