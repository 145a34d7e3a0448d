/* Result of an attempt: reply, retry or failure. */
#include "node/fg_node_internal.h"

#define RETRY_AFTER_MS 1000

/* What a run status means for the request. Outcome and reason apply if the
 * request is not retried. */
struct run_effect {
	enum fg_outcome outcome;
	enum fg_reason reason;
	bool crashed; /* the endpoint may have crashed while it ran */
	bool may_retry;
};

static const struct run_effect run_effects[] = {
	[FG_RUN_DONE] = { FG_DONE, FG_R_NONE, false, false },
	[FG_RUN_NOT_SENT] = { FG_NOT_RUN, FG_R_NO_ENDPOINT, false, true },
	[FG_RUN_REFUSED] = { FG_NOT_RUN, FG_R_OVERLOAD, false, true },
	[FG_RUN_NOT_LOADED] = { FG_NOT_RUN, FG_R_OVERLOAD, false, true },
	[FG_RUN_ERROR] = { FG_FAILED, FG_R_ENDPOINT_ERROR, false, false },
	[FG_RUN_LOST] = { FG_UNKNOWN, FG_R_ENDPOINT_LOST, true, true },
	[FG_RUN_BAD_ANSWER] = { FG_UNKNOWN, FG_R_BAD_ANSWER, false, true },
	[FG_RUN_TIMEOUT] = { FG_UNKNOWN, FG_R_PAST_DEADLINE, false, false },
	[FG_RUN_CANCELLED] = { FG_UNKNOWN, FG_R_CANCELLED, false, false },
};

static void update_endpoint(struct fg_node *n, struct fg_ep *ep,
			    const struct fg_run_result *res)
{
	if (ep == NULL)
		return;
	ep->in_flight--;
	if (res->status == FG_RUN_NOT_SENT)
		ep->down_until = n->now + FG_EP_COOLDOWN_MS;
	if (res->status == FG_RUN_NOT_LOADED && ep->owned != NULL)
		ep->owned->next_state_at = n->now;
	if (res->leaving)
		fg_ep_set_leaving(n, ep, true);
}

static bool retry_if_allowed(struct fg_node *n, struct fg_req *r,
			     const struct fg_run_result *res,
			     const struct run_effect *effect)
{
	uint32_t backoff_ms = 0;
	bool ran = !res->not_run;

	if (!effect->may_retry || r->caller_gone)
		return false;
	/* Once the caller has pieces of one attempt's stream, no other attempt
	 * may continue it. */
	if (!n->conf.switches.blind_retry && r->stream && res->n_pieces > 0)
		return false;
	if (!n->conf.switches.blind_retry &&
	    !fg_retry_take(n->retry, n->now, r->cls, r->attempts,
			   fg_req_left_ms(n, r), ran, &backoff_ms))
		return false;
	fg_route_avoid_ep(r, r->ep);
	fg_node_add_counter(n, FG_NC_RETRIES, 1);
	fg_route_back_off(n, r, backoff_ms);
	return true;
}

static void finish_done(struct fg_node *n, struct fg_req *r,
			const struct fg_run_result *res)
{
	struct fg_reply reply = {
		.outcome = FG_DONE,
		.text = res->text,
		.tokens = res->tokens,
	};

	fg_estimate_add(n->estimate, n->now, r->cls, res->service_ms);
	if (r->cls != FG_CLASS_FILING || n->conf.switches.no_ledger) {
		fg_req_reply_full(n, r, &reply);
		return;
	}
	r->state = FG_REQ_FINISHING;
	fg_ledger_record_outcome(n->ledger, n->now, r->id, FG_DONE, FG_R_NONE,
				 res->text, fg_node_on_ledger_act, n);
}

static enum fg_outcome failure_outcome(const struct fg_node *n,
				       const struct run_effect *effect)
{
	if (n->conf.switches.unknown_as_not_run &&
	    effect->outcome == FG_UNKNOWN)
		return FG_NOT_RUN;
	return effect->outcome;
}

void fg_node_on_run_done(struct fg_node *n, fg_ms now, uint64_t id,
			 uint32_t attempt, const struct fg_run_result *res)
{
	struct fg_req *r = fg_req_find(n, id);
	const struct run_effect *effect = &run_effects[res->status];

	n->now = now;
	if (r == NULL || r->state != FG_REQ_RUNNING || r->attempts != attempt)
		return;
	update_endpoint(n, fg_ep_find(n, r->ep), res);
	fg_suspect_on_run_end(n, r, effect->crashed, res->not_run);
	fg_route_release_grant(n, r, res->service_ms,
			       effect->outcome == FG_UNKNOWN);
	if (!res->not_run && !n->conf.switches.unknown_as_not_run)
		r->may_have_run = true;
	if (res->status == FG_RUN_DONE)
		finish_done(n, r, res);
	else if (!retry_if_allowed(n, r, res, effect))
		fg_req_fail(n, r, failure_outcome(n, effect), effect->reason,
			    effect->outcome == FG_NOT_RUN ? RETRY_AFTER_MS : 0);
	fg_node_run_deferred(n);
}
