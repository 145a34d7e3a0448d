/* Requests that crash endpoints: admission before a run, report after it. */
#include "node/fg_node_internal.h"

#define SUSPECT_RETRY_MIN_MS 50

static void report_event(struct fg_node *n, const struct fg_req *r,
			 enum fg_suspect_event event)
{
	fg_msg *msg = fg_msg_new(FG_MSG_SUSPECT);
	fg_suspect *ev = &msg->body.fg_body_u.suspect;

	ev->fingerprint = r->fingerprint;
	ev->av = r->av;
	ev->ep = r->ep;
	ev->event = event;
	/* Request ids repeat across instances and restarts, so the id of the
	 * event includes both. */
	ev->req = fg_hash_mix(fg_hash_mix(n->self, n->conf.member.boot), r->id)
			  << 8 |
		  (r->attempts & 0xff);
	if (fg_suspects_handle_event(n->suspects, n->now, n->self, ev)) {
		fg_node_broadcast(n, msg);
		fg_node_emit_event(n, "suspect",
				   json_pack("{s:I,s:i}", "fingerprint",
					     (json_int_t)(ev->fingerprint >> 1),
					     "event", (int)event));
	}
	fg_msg_free(msg);
}

bool fg_suspect_admit(struct fg_node *n, struct fg_req *r)
{
	uint32_t retry_after_ms = 0;

	if (n->conf.switches.no_suspects)
		return true;
	switch (fg_suspects_check(n->suspects, n->now, r->fingerprint,
				  &retry_after_ms)) {
	case FG_SUSPECT_ALLOW:
		r->suspect = false;
		return true;
	case FG_SUSPECT_RUN_ALONE:
		r->suspect = true;
		return true;
	case FG_SUSPECT_WAIT:
		r->state = FG_REQ_BACKOFF;
		r->retry_at =
			n->now + MAX(retry_after_ms, SUSPECT_RETRY_MIN_MS);
		return false;
	case FG_SUSPECT_REFUSE:
		break;
	}
	fg_req_fail(n, r, r->may_have_run ? FG_FAILED : FG_NOT_RUN,
		    FG_R_SUSPECT, retry_after_ms);
	return false;
}

void fg_suspect_on_run_start(struct fg_node *n, struct fg_req *r)
{
	if (r->suspect)
		report_event(n, r, FG_SUSPECT_STARTED);
}

void fg_suspect_on_run_end(struct fg_node *n, struct fg_req *r, bool crashed,
			   bool not_run)
{
	if (r->adapter == NULL)
		return;
	if (crashed)
		report_event(n, r, FG_SUSPECT_CRASH);
	else if (r->suspect)
		report_event(n, r,
			     not_run ? FG_SUSPECT_NOT_RUN
				     : FG_SUSPECT_FINISHED);
	r->suspect = false;
}

bool fg_suspect_has_conflict(struct fg_node *n, const struct fg_req *r,
			     uint64_t ep)
{
	return r->suspect && fg_suspects_is_running_on(n->suspects, n->now, ep);
}

void fg_suspect_on_msg(struct fg_node *n, uint64_t from, const fg_suspect *ev)
{
	fg_suspects_handle_event(n->suspects, n->now, from, ev);
}
