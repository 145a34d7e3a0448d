/* The workspace that a request belongs to, by the key that it carries. */
#include "gateway/fg_gateway_internal.h"

#include <string.h>

/* Retry-After while it is not known whether a key was added. */
#define UNKNOWN_RETRY_MS 300

bool fg_gw_has_workspaces(const struct fg_gateway *gw)
{
	return gw->routes != NULL && gw->routes->workspaces != NULL;
}

/* 401 is final for the caller. */
static void deny(struct fg_gwreq *r, const char *reason)
{
	static const char body[] = "no valid API key\n";

	if (!r->may_have_run)
		fg_gw_quota_give_back(r);
	fg_gwreq_log(r, "denied", reason);
	fg_gwreq_count_outcome(r, "denied", reason);
	fg_caller_answer(r->caller, HTTP_STATUS_UNAUTHORIZED, r->call.id, 0,
			 "text/plain", body, strlen(body));
	fg_gwreq_finish(r);
}

/* Returns whether a newer configuration than the one here may be in force. */
static bool may_be_behind(const struct fg_gateway *gw, fg_ms now)
{
	return fg_gw_catchup_is_behind(gw) || fg_gw_is_config_stale(gw, now);
}

/* Returns whether keys must not be accepted any more, since none of them could
 * be seen to be withdrawn. */
static bool is_too_old(const struct fg_gateway *gw, fg_ms now)
{
	return gw->conf->revoke_strict &&
	       now - gw->feeds[FG_FEED_CONFIG].confirmed_at >
		       (fg_ms)gw->conf->revoke_ms;
}

static void deny_or_defer(struct fg_gwreq *r, const char *reason)
{
	if (may_be_behind(r->gw, fg_clock_now()))
		fg_gwreq_refuse(r, "configuration_stale", UNKNOWN_RETRY_MS);
	else
		deny(r, reason);
}

bool fg_gw_workspace_admit(struct fg_gwreq *r)
{
	const struct fg_ws_set *set = r->routes->workspaces;
	bool valid;

	if (set == NULL)
		return true;
	valid = !r->call.bad_credential && r->call.credential != NULL &&
		fg_ws_digest(r->call.credential, &r->key);
	if (valid)
		r->workspace = fg_ws_set_find(set, &r->key);
	if (r->workspace == NULL && r->route->anonymous)
		return true;
	if (is_too_old(r->gw, r->arrived_at)) {
		fg_gwreq_refuse(r, "configuration_stale", UNKNOWN_RETRY_MS);
		return false;
	}
	if (r->workspace != NULL)
		return true;
	if (valid)
		deny_or_defer(r, "unknown_key");
	else
		deny(r, r->call.bad_credential ? "bad_credential" : "no_key");
	return false;
}

bool fg_gw_workspace_recheck(struct fg_gwreq *r)
{
	const struct fg_routes *current = r->gw->routes;
	const struct fg_workspace *w;

	/* An answer that has begun is finished. */
	if (r->workspace == NULL || r->head_sent || current == r->routes ||
	    current->workspaces == NULL)
		return true;
	w = fg_ws_set_find(current->workspaces, &r->key);
	if (w != NULL && strcmp(w->name, r->workspace->name) == 0)
		return true;
	deny_or_defer(r, "key_withdrawn");
	return false;
}
