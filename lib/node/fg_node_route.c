/* Routing of a request: choice of endpoint, grant, dispatch, release. */
#include <string.h>

#include "node/fg_node_internal.h"

#define RETRY_AFTER_MS 1000
#define BATCH_UNKNOWN UINT32_MAX    /* only the owner knows the batch size */
#define HELD_REQUEST_REPEAT_MS 3000 /* added to grant_repeat_ms while held */
#define ROUTE_RETRY_MS 200
#define GRANT_REQUESTS_MAX 20 /* for one request of a caller */
#define PRIORITY_DRAFT 10
#define PRIORITY_INTERACTIVE 1
#define RUN_TIME_MIN_MS 50 /* with less time left a request is not sent */

/* ---- Ids of grant requests: request id and number within the request ---- */

static uint64_t grant_request_id(const struct fg_req *r)
{
	return r->id << 8 | (r->grant_requests & 0xff);
}

static struct fg_req *find_req_by_grant_request(struct fg_node *n, uint64_t id)
{
	struct fg_req *r = fg_req_find(n, id >> 8);

	return r != NULL && grant_request_id(r) == id ? r : NULL;
}

void fg_route_avoid_ep(struct fg_req *r, uint64_t ep)
{
	for (uint32_t i = 0; i < r->n_avoid; i++)
		if (r->avoid[i] == ep)
			return;
	if (r->n_avoid == FG_AVOID_MAX) {
		memmove(r->avoid, r->avoid + 1,
			(FG_AVOID_MAX - 1) * sizeof(r->avoid[0]));
		r->n_avoid--;
	}
	r->avoid[r->n_avoid++] = ep;
}

void fg_route_back_off(struct fg_node *n, struct fg_req *r, uint32_t wait_ms)
{
	r->state = FG_REQ_BACKOFF;
	r->retry_at = n->now + wait_ms;
}

/* The directory counts a request as load on its endpoint from the grant request
 * to the release. */
static void count_in_dir(struct fg_node *n, struct fg_req *r, bool counted)
{
	if (r->in_dir_load != counted)
		fg_dir_add_own_grants(n->dir, r->ep, counted ? 1 : -1);
	r->in_dir_load = counted;
}

/* ---- Release ---- */

void fg_route_release_grant(struct fg_node *n, struct fg_req *r,
			    uint32_t service_ms, bool orphaned)
{
	fg_msg *msg;

	count_in_dir(n, r, false);
	if (r->state == FG_REQ_GRANT && r->grant == 0 && r->ep != 0) {
		/* The grant request is not answered yet, and the owner must not
		 * keep a grant for it. The release names the grant request
		 * instead of a grant. */
		msg = fg_msg_new(FG_MSG_RELEASE);
		msg->body.fg_body_u.release.ep = r->ep;
		msg->body.fg_body_u.release.req = grant_request_id(r);
		fg_node_send_and_free(n, r->owner, msg);
		r->ep = 0;
		return;
	}
	if (r->grant == 0)
		return;
	msg = fg_msg_new(FG_MSG_RELEASE);
	msg->body.fg_body_u.release.ep = r->ep;
	msg->body.fg_body_u.release.grant = r->grant;
	msg->body.fg_body_u.release.req = grant_request_id(r);
	msg->body.fg_body_u.release.service_ms = service_ms;
	msg->body.fg_body_u.release.crashed = orphaned;
	r->grant = 0;
	fg_owner_get_state(n->owner, r->ep, &r->owner, NULL);
	if (r->owner != 0)
		fg_node_send_and_free(n, r->owner, msg);
	else
		fg_msg_free(msg);
}

/* ---- Dispatch ---- */

static void format_attempt_id(const struct fg_node *n, const struct fg_req *r,
			      char out[FG_REQ_ID_BYTES])
{
	uint64_t boot_id = fg_hash_mix(n->self, n->conf.member.boot);

	g_snprintf(out, FG_REQ_ID_BYTES, "%016" PRIx64 "-%" PRIx64 "-%u",
		   boot_id, r->id, r->attempts);
}

static void dispatch(struct fg_node *n, struct fg_req *r, struct fg_ep *ep)
{
	struct fg_run_cmd cmd = {
		.req = r->id,
		.ep = ep->info,
		.run = {
			.tag = r->tag,
			.cls = r->cls,
			.adapter = r->adapter,
			.version = r->version,
			.body = r->body,
			.key = r->key,
			.max_tokens = r->max_tokens,
			.priority = r->cls == FG_CLASS_DRAFT ?
					    PRIORITY_DRAFT :
					    PRIORITY_INTERACTIVE,
			.timeout_ms = fg_req_left_ms(n, r),
			.fence = r->fence,
			.stream = r->stream,
			.unchecked = n->conf.switches.no_answer_check,
		},
	};

	r->attempts++;
	r->state = FG_REQ_RUNNING;
	r->ep = ep->id;
	cmd.attempt = r->attempts;
	format_attempt_id(n, r, cmd.run.id);
	ep->in_flight++;
	fg_suspect_on_run_start(n, r);
	fg_node_emit_event(n, "dispatch",
			   json_pack("{s:s,s:s,s:s,s:i}", "id", cmd.run.id,
				     "tag", r->tag, "ep", ep->info.name,
				     "attempt", (int)r->attempts));
	n->io.start_run(n->io.arg, &cmd);
}

/* Returns true if there is time to run the request. Otherwise ends the request,
 * which may free it. */
static bool ensure_time_left(struct fg_node *n, struct fg_req *r)
{
	if (fg_req_left_ms(n, r) > RUN_TIME_MIN_MS)
		return true;
	fg_req_fail(n, r, FG_NOT_RUN, FG_R_PAST_DEADLINE, RETRY_AFTER_MS);
	return false;
}

static void dispatch_granted(struct fg_node *n, struct fg_req *r)
{
	struct fg_ep *ep = fg_ep_find(n, r->ep);

	if (!ensure_time_left(n, r))
		return;
	if (ep == NULL || ep->leaving) {
		fg_route_release_grant(n, r, 0, false);
		fg_route_back_off(n, r, 0);
		return;
	}
	if (r->stalled_since != 0) {
		fg_node_add_counter(n, FG_NC_STALL_MS,
				    (uint64_t)(n->now - r->stalled_since));
		r->stalled_since = 0;
	}
	dispatch(n, r, ep);
}

/* ---- Grants ---- */

/* Time that a draft may wait at the owner for a batch to join. */
static uint32_t draft_hold_ms(struct fg_node *n, const struct fg_req *r)
{
	if (r->cls != FG_CLASS_DRAFT)
		return 0;
	return fg_hold_ms(fg_config_preset(n->config), fg_req_left_ms(n, r),
			  fg_estimate_percentile_ms(n->estimate, r->cls, 95), 0,
			  1, BATCH_UNKNOWN, false);
}

static void send_grant_req(struct fg_node *n, struct fg_req *r)
{
	fg_msg *msg = fg_msg_new(FG_MSG_GRANT_REQ);
	fg_grant_req *req = &msg->body.fg_body_u.grant_req;

	req->req = grant_request_id(r);
	req->ep = r->ep;
	req->av = r->av;
	req->cls = r->cls;
	req->budget_ms = fg_req_left_ms(n, r);
	req->hold_ms = draft_hold_ms(n, r);
	r->asked_at = n->now;
	fg_node_send_and_free(n, r->owner, msg);
}

static void request_grant(struct fg_node *n, struct fg_req *r, uint64_t ep)
{
	uint64_t owner = 0;

	if (r->grant_requests >= GRANT_REQUESTS_MAX) {
		fg_req_fail(n, r, FG_NOT_RUN, FG_R_OVERLOAD, RETRY_AFTER_MS);
		return;
	}
	fg_owner_get_state(n->owner, ep, &owner, NULL);
	if (owner == 0) {
		fg_route_back_off(n, r, ROUTE_RETRY_MS);
		return;
	}
	r->grant_requests++;
	r->state = FG_REQ_GRANT;
	r->ep = ep;
	r->owner = owner;
	r->grant = 0;
	count_in_dir(n, r, true);
	fg_node_add_counter(
		n, owner == n->self ? FG_NC_GRANTS_LOCAL : FG_NC_GRANTS_REMOTE,
		1);
	send_grant_req(n, r);
}

/* A repeat to the same owner keeps its id, so that the owner answers with the
 * same grant. A new owner gets a new grant request. */
void fg_route_repeat_grant_req(struct fg_node *n, struct fg_req *r)
{
	uint64_t owner = 0;

	if (n->now - r->asked_at < n->conf.grant_repeat_ms)
		return;
	fg_owner_get_state(n->owner, r->ep, &owner, NULL);
	if (owner == r->owner) {
		send_grant_req(n, r);
		return;
	}
	fg_route_release_grant(n, r, 0, false);
	fg_route_req(n, r);
}

static void use_grant(struct fg_node *n, struct fg_req *r,
		      const fg_grant_rep *rep)
{
	r->grant = rep->grant;
	r->fence = rep->fence;
	dispatch_granted(n, r);
}

static void handle_refusal(struct fg_node *n, struct fg_req *r,
			   const fg_grant_rep *rep)
{
	uint64_t ep = r->ep;
	struct fg_ep *at = fg_ep_find(n, ep);

	count_in_dir(n, r, false);
	r->ep = 0;
	switch (rep->status) {
	case FG_GRANT_NOT_OWNER:
		fg_owner_on_hint(n->owner, n->now, ep, rep->owner, rep->fence,
				 fg_node_on_owner_act, n);
		fg_route_back_off(n, r, ROUTE_RETRY_MS);
		break;
	case FG_GRANT_NOT_RESIDENT:
		fg_route_avoid_ep(r, ep);
		fg_route_req(n, r);
		break;
	case FG_GRANT_LEAVING:
		if (at != NULL)
			fg_ep_set_leaving(n, at, false);
		fg_route_avoid_ep(r, ep);
		fg_route_req(n, r);
		break;
	case FG_GRANT_NO_TIME:
		fg_req_fail(n, r, FG_NOT_RUN, FG_R_NO_TIME,
			    rep->retry_after_ms);
		break;
	case FG_GRANT_OVERLOAD:
		fg_req_fail(n, r, FG_NOT_RUN, FG_R_OVERLOAD,
			    rep->retry_after_ms);
		break;
	default:
		fg_route_back_off(n, r, ROUTE_RETRY_MS);
		break;
	}
}

/* Releases a grant that arrived after its request no longer needed it. */
static void release_late_grant(struct fg_node *n, uint64_t from,
			       const fg_grant_rep *rep)
{
	fg_msg *msg;

	if (rep->status != FG_GRANT_OK)
		return;
	msg = fg_msg_new(FG_MSG_RELEASE);
	msg->body.fg_body_u.release.ep = rep->ep;
	msg->body.fg_body_u.release.grant = rep->grant;
	msg->body.fg_body_u.release.req = rep->req;
	fg_node_send_and_free(n, from, msg);
}

void fg_route_on_grant_rep(struct fg_node *n, uint64_t from,
			   const fg_grant_rep *rep)
{
	struct fg_req *r = find_req_by_grant_request(n, rep->req);

	if (r != NULL && r->grant == rep->grant && rep->grant != 0)
		return; /* a repeat of the grant that is in use */
	if (r == NULL || r->state != FG_REQ_GRANT || r->ep != rep->ep) {
		release_late_grant(n, from, rep);
		return;
	}
	if (rep->status == FG_GRANT_OK)
		use_grant(n, r, rep);
	else if (rep->status == FG_GRANT_HELD)
		r->asked_at = n->now + HELD_REQUEST_REPEAT_MS;
	else
		handle_refusal(n, r, rep);
}

/* ---- Routing ---- */

/* Prefers endpoints that the request does not avoid. If none of them holds the
 * adapter, avoided ones are used as well. */
static struct fg_pick pick_endpoint(struct fg_node *n, const struct fg_req *r)
{
	const char *region = n->conf.member.self.region;
	const struct fg_model *m = fg_model_get(n, r->service);
	bool remote = strcmp(m->region, region) != 0;
	struct fg_pick pick;

	pick = fg_dir_pick_endpoint(n->dir, n->now, r->service, r->av, region,
				    remote, r->avoid, r->n_avoid,
				    r->prefix_hash);
	if (pick.resident || r->n_avoid == 0)
		return pick;
	return fg_dir_pick_endpoint(n->dir, n->now, r->service, r->av, region,
				    remote, NULL, 0, r->prefix_hash);
}

/* Time until an endpoint that refused a connection may be tried again. */
static uint32_t cooldown_left_ms(struct fg_node *n, uint64_t id)
{
	const struct fg_ep *ep = fg_ep_find(n, id);

	return ep != NULL && n->now < ep->down_until
		       ? (uint32_t)(ep->down_until - n->now)
		       : 0;
}

static void route_model(struct fg_node *n, struct fg_req *r)
{
	struct fg_pick pick;
	uint32_t wait_ms;

	if (!fg_suspect_admit(n, r))
		return;
	pick = pick_endpoint(n, r);
	wait_ms = cooldown_left_ms(n, pick.ep);
	if (pick.ep != 0 && fg_suspect_has_conflict(n, r, pick.ep))
		wait_ms = MAX(wait_ms, ROUTE_RETRY_MS);
	if (wait_ms > 0) {
		fg_wait_remove(n, r);
		fg_route_back_off(n, r, wait_ms);
		return;
	}
	if (pick.ep != 0 && pick.resident) {
		fg_wait_remove(n, r);
		request_grant(n, r, pick.ep);
		return;
	}
	fg_wait_add(n, r);
}

static void route_plain(struct fg_node *n, struct fg_req *r)
{
	struct fg_ep *ep = fg_ep_pick_plain(n, r);

	if (ep != NULL) {
		dispatch(n, r, ep);
		return;
	}
	fg_req_fail(n, r, FG_NOT_RUN, FG_R_NO_ENDPOINT, RETRY_AFTER_MS);
}

void fg_route_req(struct fg_node *n, struct fg_req *r)
{
	if (!ensure_time_left(n, r))
		return;
	if (r->adapter != NULL)
		route_model(n, r);
	else
		route_plain(n, r);
}

/* ---- Ownership changes ---- */

static bool holds_grant_on(const struct fg_req *r, uint64_t ep)
{
	return r->ep == ep && r->grant != 0;
}

void fg_route_on_grants_ask(struct fg_node *n, uint64_t from,
			    const fg_grants_ask *ask)
{
	fg_msg *msg = fg_msg_new(FG_MSG_GRANTS_TELL);
	fg_grants_tell *tell = &msg->body.fg_body_u.grants_tell;
	fg_grant_info infos[FG_LIST_MAX];
	GHashTableIter it;
	gpointer value;

	tell->ep = ask->ep;
	tell->fence = ask->fence;
	fg_owner_on_hint(n->owner, n->now, ask->ep, from, ask->fence,
			 fg_node_on_owner_act, n);
	g_hash_table_iter_init(&it, n->reqs);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct fg_req *r = value;
		fg_grant_info *info = &infos[tell->grants.grants_len];

		if (!holds_grant_on(r, ask->ep) ||
		    tell->grants.grants_len == FG_LIST_MAX)
			continue;
		info->grant = r->grant;
		info->req = grant_request_id(r);
		info->av = r->av;
		info->left_ms = fg_req_left_ms(n, r);
		tell->grants.grants_len++;
	}
	tell->grants.grants_val = infos;
	fg_node_send(n, from, msg);
	tell->grants.grants_len = 0;
	tell->grants.grants_val = NULL;
	fg_msg_free(msg);
}

/* Requests that wait for the dead owner's answer are routed again. Grants in
 * use stay valid. */
void fg_route_on_owner_dead(struct fg_node *n, uint64_t owner)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, n->reqs);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct fg_req *r = value;

		if (r->state != FG_REQ_GRANT || r->owner != owner)
			continue;
		count_in_dir(n, r, false);
		r->ep = 0;
		fg_route_back_off(n, r, ROUTE_RETRY_MS);
	}
}
