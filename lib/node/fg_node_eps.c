/* Known endpoints: additions, leaving, expiry, choice for plain services. */
#include <string.h>

#include "node/fg_node_internal.h"

/* Weights above any number of attempts in flight; avoided outweighs remote. */
#define RANK_REMOTE 1000000
#define RANK_AVOIDED 2000000

void fg_ep_free(void *arg)
{
	struct fg_ep *ep = arg;

	fg_owned_free(ep->owned);
	g_free(ep);
}

struct fg_ep *fg_ep_find(struct fg_node *n, uint64_t id)
{
	return g_hash_table_lookup(n->eps, &id);
}

static void broadcast_leaving(struct fg_node *n, uint64_t id)
{
	fg_msg *msg = fg_msg_new(FG_MSG_LEAVING);

	msg->body.fg_body_u.leaving.id = id;
	fg_node_broadcast(n, msg);
	fg_msg_free(msg);
}

/* Passes an engine's facts to the directory and to the ownership module. */
static void update_routing(struct fg_node *n, const struct fg_ep *ep)
{
	if (ep->info.kind != FG_LIST_ENTRY_ENGINE)
		return;
	fg_dir_set_endpoint(n->dir, ep->id, ep->info.service, ep->info.region,
			    ep->info.dc, ep->leaving);
	fg_owner_set_key(n->owner, ep->id, ep->info.region, ep->info.dc,
			 ep->leaving);
}

void fg_ep_set_leaving(struct fg_node *n, struct fg_ep *ep, bool notify_peers)
{
	if (ep->leaving || n->conf.switches.no_leaving)
		return;
	ep->leaving = true;
	update_routing(n, ep);
	if (ep->owned != NULL)
		fg_owned_on_leaving(n, ep->owned);
	fg_node_emit_event(n, "ep_leaving",
			   json_pack("{s:s}", "ep", ep->info.name));
	if (notify_peers)
		broadcast_leaving(n, ep->id);
}

static struct fg_ep *add_ep(struct fg_node *n, const struct fg_list_entry *info)
{
	struct fg_ep *ep = g_new0(struct fg_ep, 1);

	ep->id = info->id;
	ep->info = *info;
	g_hash_table_insert(n->eps, &ep->id, ep);
	if (info->kind == FG_LIST_ENTRY_ENGINE)
		fg_model_get(n, info->service);
	update_routing(n, ep);
	return ep;
}

void fg_ep_on_list_entry(struct fg_node *n, const struct fg_list_entry *info)
{
	struct fg_ep *ep = fg_ep_find(n, info->id);

	if (ep == NULL)
		ep = add_ep(n, info);
	ep->listed_at = n->now;
	if (info->leaving)
		fg_ep_set_leaving(n, ep, true);
}

static bool expire_ep(gpointer key, gpointer value, gpointer arg)
{
	struct fg_node *n = arg;
	struct fg_ep *ep = value;

	(void)key;
	if (n->now - ep->listed_at < FG_EP_EXPIRE_MS || ep->in_flight > 0)
		return false;
	fg_dir_remove_endpoint(n->dir, ep->id);
	fg_owner_remove_key(n->owner, n->now, ep->id, fg_node_on_owner_act, n);
	return true;
}

static gboolean remove_if_expired(gpointer key, gpointer value, gpointer arg)
{
	return expire_ep(key, value, arg);
}

/* Nothing expires while the platform is unreachable: an endpoint may be missing
 * from the list only because the list could not be read. */
void fg_eps_expire(struct fg_node *n)
{
	if (fg_member_standing(n->member, n->now) != FG_STANDING_CONFIRMED)
		return;
	g_hash_table_foreach_remove(n->eps, remove_if_expired, n);
}

static bool is_avoided(const struct fg_req *r, uint64_t ep)
{
	for (uint32_t i = 0; i < r->n_avoid; i++)
		if (r->avoid[i] == ep)
			return true;
	return false;
}

/* Lower is better: not avoided first, then own region, then fewest attempts in
 * flight. */
static uint64_t rank_plain(const struct fg_node *n, const struct fg_req *r,
			   const struct fg_ep *ep)
{
	bool remote = strcmp(ep->info.region, n->conf.member.self.region) != 0;
	uint64_t rank = ep->in_flight;

	rank += remote ? RANK_REMOTE : 0;
	rank += is_avoided(r, ep->id) ? RANK_AVOIDED : 0;
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

		if (ep->info.kind != FG_LIST_ENTRY_PLAIN || ep->leaving ||
		    n->now < ep->down_until ||
		    strcmp(ep->info.service, r->service) != 0)
			continue;
		rank = rank_plain(n, r, ep);
		if (rank < best_rank ||
		    (rank == best_rank && best != NULL && ep->id < best->id)) {
			best = ep;
			best_rank = rank;
		}
	}
	return best;
}
