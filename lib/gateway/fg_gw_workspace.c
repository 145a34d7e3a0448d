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

/* Finds the workspace of the caller's key in the configuration. Returns false
 * when the caller sent nothing that can be a key. */
static bool find_workspace(const struct fg_gwreq *r,
			   const struct fg_routes *routes,
			   const struct fg_workspace **out)
{
	struct fg_ws_digest key;

	*out = NULL;
	if (r->call.bad_credential || r->call.credential == NULL ||
	    !fg_ws_digest(r->call.credential, &key))
		return false;
	*out = fg_ws_set_find(routes->workspaces, &key);
	return true;
}

/* Returns whether the configuration that decides on the key asks for none. The
 * request's route may be of an earlier one. */
static bool is_anonymous(const struct fg_gwreq *r)
{
	const struct fg_route *route = NULL;

	if (r->keyed_by != r->routes)
		route = fg_routes_find(r->keyed_by, r->call.host,
				       fg_h1_target(r->head));
	if (route == NULL)
		route = r->route;
	return route->anonymous;
}

/* Sets r->workspace by r->keyed_by. Returns false when the request was
 * answered, with `unknown` as the reason if no workspace has its key. */
static bool admit(struct fg_gwreq *r, const char *unknown)
{
	bool too_old;
	bool valid;

	r->workspace = NULL;
	if (r->keyed_by->workspaces == NULL)
		return true;
	valid = find_workspace(r, r->keyed_by, &r->workspace);
	too_old = is_too_old(r->gw, fg_clock_now());
	if ((r->workspace == NULL || too_old) && is_anonymous(r)) {
		r->workspace = NULL;
		return true;
	}
	if (too_old) {
		fg_gwreq_refuse(r, "configuration_stale", UNKNOWN_RETRY_MS);
		return false;
	}
	if (r->workspace != NULL)
		return true;
	if (valid)
		deny_or_defer(r, unknown);
	else
		deny(r, r->call.bad_credential ? "bad_credential" : "no_key");
	return false;
}

bool fg_gw_workspace_admit(struct fg_gwreq *r)
{
	r->keyed_by = fg_routes_ref(r->routes);
	return admit(r, "unknown_key");
}

bool fg_gw_workspace_is_current(const struct fg_gwreq *r)
{
	const struct fg_routes *current = r->gw->routes;
	const struct fg_workspace *w;

	/* An answer that has begun is finished. */
	if (r->head_sent || current == r->keyed_by ||
	    current->workspaces == NULL)
		return true;
	if (r->keyed_by->workspaces == NULL)
		return false;
	/* On a route without need for a key, one that became valid since does
	 * not matter. */
	if (r->workspace == NULL)
		return true;
	(void)find_workspace(r, current, &w);
	return w != NULL && strcmp(w->name, r->workspace->name) == 0;
}

bool fg_gw_workspace_recheck(struct fg_gwreq *r)
{
	if (fg_gw_workspace_is_current(r))
		return true;
	/* What may have run stays charged to the former workspace. */
	if (!r->may_have_run)
		fg_gw_quota_give_back(r);
	r->quota_taken = 0;
	fg_routes_unref(r->keyed_by);
	r->keyed_by = fg_routes_ref(r->gw->routes);
	return admit(r, "key_withdrawn") && fg_gw_quota_admit(r);
}
