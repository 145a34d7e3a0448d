/* Endpoints: what the list shows, leaving, and the choice of a plain one. */
#include <string.h>

#include "node/fg_node_internal.h"

void fg_ep_free(void *arg)
{
	struct fg_ep *ep = arg;

	fg_own_free(ep->own);
	g_free(ep);
}

struct fg_ep *fg_ep_find(struct fg_node *n, uint64_t id)
{
	return g_hash_table_lookup(n->eps, &id);
}

static void tell_leaving(struct fg_node *n, uint64_t id)
{
	fg_msg *msg = fg_msg_new(FG_MSG_LEAVING);

	msg->body.fg_body_u.leaving.id = id;
	fg_node_broadcast(n, msg);
	fg_msg_free(msg);
}

static void update_dir(struct fg_node *n, const struct fg_ep *ep)
{
	if (ep->info.kind != FG_LISTED_ENGINE)
		return;
	fg_dir_set_endpoint(n->dir, ep->id, ep->info.service, ep->info.region,
			    ep->info.dc, ep->leaving);
	fg_owner_set_key(n->owner, ep->id, ep->info.region, ep->info.dc,
			 ep->leaving);
}

void fg_ep_leaving(struct fg_node *n, struct fg_ep *ep, bool tell)
{
	if (ep->leaving || n->conf.switches.no_leaving)
		return;
	ep->leaving = true;
	update_dir(n, ep);
	if (ep->own != NULL)
		fg_own_leave(n, ep->own);
	fg_node_event(n, "ep_leaving", json_pack("{s:s}", "ep", ep->info.name));
	if (tell)
		tell_leaving(n, ep->id);
}

static struct fg_ep *add_ep(struct fg_node *n, const struct fg_listed *info)
{
	struct fg_ep *ep = g_new0(struct fg_ep, 1);

	ep->id = info->id;
	ep->info = *info;
	g_hash_table_insert(n->eps, &ep->id, ep);
	if (info->kind == FG_LISTED_ENGINE)
		fg_model_get(n, info->service);
	update_dir(n, ep);
	return ep;
}

void fg_ep_listed(struct fg_node *n, const struct fg_listed *info)
{
	struct fg_ep *ep = fg_ep_find(n, info->id);

	if (ep == NULL)
		ep = add_ep(n, info);
	ep->listed_at = n->now;
	if (info->leaving)
		fg_ep_leaving(n, ep, true);
}

static bool is_gone(gpointer key, gpointer value, gpointer arg)
{
	struct fg_node *n = arg;
	struct fg_ep *ep = value;

	(void)key;
	if (n->now - ep->listed_at < FG_EP_GONE_MS || ep->sent > 0)
		return false;
	fg_dir_remove_endpoint(n->dir, ep->id);
	fg_owner_remove_key(n->owner, n->now, ep->id, fg_wire_owner, n);
	return true;
}

static gboolean remove_if_gone(gpointer key, gpointer value, gpointer arg)
{
	return is_gone(key, value, arg);
}

/*
 * While the platform cannot be asked, nothing is forgotten: the list's
 * silence then says nothing about the endpoints.
 */
void fg_eps_expire(struct fg_node *n)
{
	if (fg_member_standing(n->member, n->now) != FG_STANDING_CONFIRMED)
		return;
	g_hash_table_foreach_remove(n->eps, remove_if_gone, n);
}

static bool is_avoided(const struct fg_req *r, uint64_t ep)
{
	for (uint32_t i = 0; i < r->n_avoid; i++)
		if (r->avoid[i] == ep)
			return true;
	return false;
}

/* Lower is better: own region first, then not avoided, then least loaded. */
static uint64_t plain_rank(const struct fg_node *n, const struct fg_req *r,
			   const struct fg_ep *ep)
{
	bool remote = strcmp(ep->info.region, n->conf.member.self.region) != 0;
	uint64_t rank = ep->sent;

	rank += remote ? 1000000 : 0;
	rank += is_avoided(r, ep->id) ? 2000000 : 0;
	return rank;
}

struct fg_ep *fg_ep_pick_plain(struct fg_node *n, const struct fg_req *r)
{
	struct fg_ep *best = NULL;
	uint64_t best_rank = UINT64_MAX;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, n->eps);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct fg_ep *ep = value;
		uint64_t rank;

		if (ep->info.kind != FG_LISTED_PLAIN || ep->leaving ||
		    n->now < ep->down_until ||
		    strcmp(ep->info.service, r->service) != 0)
			continue;
		rank = plain_rank(n, r, ep);
		if (rank < best_rank ||
		    (rank == best_rank && best != NULL && ep->id < best->id)) {
			best = ep;
			best_rank = rank;
		}
	}
	return best;
}
