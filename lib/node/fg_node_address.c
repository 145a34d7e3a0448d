/* The answer to a caller's question which address to use. */
#include <string.h>

#include "node/fg_node_internal.h"

#define CANDIDATES_MAX 8

struct address_list {
	struct fg_node *n;
	char (*out)[FG_ADDR_BYTES];
	size_t len;
	size_t max;
};

static const struct fg_listed *info_of(struct fg_node *n, uint64_t inst)
{
	const struct fg_peer_view *peer;

	if (inst == n->self)
		return n->stop_begun == 0 ? &n->conf.member.self : NULL;
	peer = fg_member_find(n->member, inst);
	if (peer == NULL || peer->state != FG_PEER_LIVE)
		return NULL;
	return &peer->info;
}

static void add(struct address_list *list, uint64_t inst)
{
	const struct fg_listed *info = info_of(list->n, inst);

	if (info == NULL || list->len == list->max)
		return;
	for (size_t i = 0; i < list->len; i++)
		if (strcmp(list->out[i], info->addr) == 0)
			return;
	g_strlcpy(list->out[list->len++], info->addr, FG_ADDR_BYTES);
}

static void add_owner(void *arg, uint64_t ep)
{
	struct address_list *list = arg;
	const struct fg_ep *at = fg_ep_find(list->n, ep);
	uint64_t owner = 0;

	if (at == NULL || at->leaving)
		return;
	fg_owner_get_state(list->n->owner, ep, &owner, NULL);
	if (owner != 0)
		add(list, owner);
}

/* Owners of endpoints that hold the adapter: their grants cost no message. */
static void add_owners(struct address_list *list, const char *adapter)
{
	fg_av av = fg_config_find_version(list->n->config, adapter, NULL);

	if (!fg_av_is_none(av))
		fg_dir_for_each_holder(list->n->dir, av, add_owner, list);
}

/* Others of the region, in an order that differs between keys, so that
 * callers spread over the instances. */
static void add_spread(struct address_list *list, const char *key)
{
	uint64_t ids[256];
	size_t total = fg_member_list_live(list->n->member,
					   list->n->conf.member.self.region,
					   ids, G_N_ELEMENTS(ids));
	uint64_t seed = fg_hash_str(key);
	size_t start;

	total = MIN(total, G_N_ELEMENTS(ids));
	if (total == 0)
		return;
	start = seed % total;
	for (size_t i = 0; i < total && i < CANDIDATES_MAX; i++)
		add(list, ids[(start + i) % total]);
}

size_t fg_node_address(struct fg_node *n, fg_ms now, const char *adapter,
		       const char *service, char (*out)[FG_ADDR_BYTES],
		       size_t max)
{
	struct address_list list = { n, out, 0, max };
	char spread[32];

	n->now = now;
	if (adapter != NULL)
		add_owners(&list, adapter);
	g_snprintf(spread, sizeof(spread), "%" PRIx64, fg_rand_next(&n->rand));
	add_spread(&list, adapter != NULL ? adapter : spread);
	(void)service;
	return list.len;
}
