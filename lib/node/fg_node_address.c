/* Address lookup: which instances a caller should send its requests to. */
#include <string.h>

#include "node/fg_node_internal.h"

#define CANDIDATES_MAX 8

struct address_list {
	struct fg_node *n;
	char (*out)[FG_ADDR_BYTES];
	size_t len;
	size_t max;
};

static const struct fg_list_entry *find_live_instance(struct fg_node *n,
						      uint64_t inst)
{
	const struct fg_peer_view *peer;

	if (inst == n->self)
		return n->stop_begun_at == 0 ? &n->conf.member.self : NULL;
	peer = fg_member_find(n->member, inst);
	if (peer == NULL || peer->state != FG_PEER_LIVE)
		return NULL;
	return &peer->info;
}

static void add_instance(struct address_list *list, uint64_t inst)
{
	const struct fg_list_entry *info = find_live_instance(list->n, inst);

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
		add_instance(list, owner);
}

/* Adds the owners of endpoints that hold the adapter: an owner gives itself a
 * grant without a message. */
static void add_owners_of_adapter(struct address_list *list,
				  const char *adapter)
{
	fg_av av = fg_config_find_version(list->n->config, adapter, NULL);

	if (!fg_av_is_none(av))
		fg_dir_for_each_holder(list->n->dir, av, add_owner, list);
}

/* Adds live instances of the region. The first one depends on the key, which
 * spreads callers over the instances. */
static void add_region_instances(struct address_list *list, const char *key)
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
		add_instance(list, ids[(start + i) % total]);
}

size_t fg_node_find_addresses(struct fg_node *n, fg_ms now, const char *adapter,
			      const char *service, char (*out)[FG_ADDR_BYTES],
			      size_t max)
{
	struct address_list list = { n, out, 0, max };
	char random_key[32];

	n->now = now;
	if (adapter != NULL)
		add_owners_of_adapter(&list, adapter);
	g_snprintf(random_key, sizeof(random_key), "%" PRIx64,
		   fg_rand_next(&n->rand));
	add_region_instances(&list, adapter != NULL ? adapter : random_key);
	(void)service;
	return list.len;
}
