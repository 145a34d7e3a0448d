/* What becomes of an attempt: answer, another attempt, or the end. */
#include "node/fg_node_internal.h"

#define RETRY_AFTER_MS 1000

struct verdict {
	enum fg_outcome outcome;
	enum fg_reason reason;
	bool crashed; /* the endpoint may have died under it */
	bool may_retry;
};

static const struct verdict verdicts[] = {
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

/* An endpoint that refuses connections rests for a while. */
static void note_endpoint(struct fg_node *n, struct fg_ep *ep,
			  const struct fg_run_result *res)
{
	if (ep == NULL)
		return;
	ep->sent--;
	if (res->status == FG_RUN_NOT_SENT)
		ep->down_until = n->now + FG_EP_DOWN_MS;
	if (res->status == FG_RUN_NOT_LOADED && ep->own != NULL)
		ep->own->state_next = n->now;
	if (res->leaving)
		fg_ep_leaving(n, ep, true);
}

static bool try_again(struct fg_node *n, struct fg_req *r,
		      const struct fg_run_result *res, const struct verdict *v)
{
	uint32_t backoff_ms = 0;
	bool ran = !res->not_run;

	if (!v->may_retry || r->caller_gone)
		return false;
	/* Pieces of a stream are with the caller: attempts are not spliced. */
	if (!n->conf.switches.blind_retry && r->stream && res->n_pieces > 0)
		return false;
	if (!n->conf.switches.blind_retry &&
	    !fg_retry_take(n->retry, n->now, r->cls, r->attempts,
			   fg_req_left_ms(n, r), ran, &backoff_ms))
		return false;
	fg_route_avoid(r, r->ep);
	fg_node_count(n, FG_NC_RETRIES, 1);
	fg_route_back_off(n, r, backoff_ms);
	return true;
}

static void answer_done(struct fg_node *n, struct fg_req *r,
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
				 res->text, fg_wire_ledger, n);
}

static enum fg_outcome final_outcome(const struct fg_node *n,
				     const struct verdict *v)
{
	if (n->conf.switches.forget_runs && v->outcome == FG_UNKNOWN)
		return FG_NOT_RUN;
	return v->outcome;
}

void fg_node_run_done(struct fg_node *n, fg_ms now, uint64_t id,
		      uint32_t attempt, const struct fg_run_result *res)
{
	struct fg_req *r = fg_req_find(n, id);
	const struct verdict *v = &verdicts[res->status];

	n->now = now;
	if (r == NULL || r->state != FG_REQ_RUNNING || r->attempts != attempt)
		return;
	note_endpoint(n, fg_ep_find(n, r->ep), res);
	fg_suspect_end(n, r, v->crashed, res->not_run);
	fg_route_release(n, r, res->service_ms, v->outcome == FG_UNKNOWN);
	if (!res->not_run && !n->conf.switches.forget_runs)
		r->ran = true;
	if (res->status == FG_RUN_DONE)
		answer_done(n, r, res);
	else if (!try_again(n, r, res, v))
		fg_req_fail(n, r, final_outcome(n, v), v->reason,
			    v->outcome == FG_NOT_RUN ? RETRY_AFTER_MS : 0);
	fg_node_drain(n);
}
