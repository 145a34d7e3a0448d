/* What the engines of this owner hold, told to those who route and place. */
#include <string.h>

#include "node/fg_node_internal.h"

/* Bounds repeats of RESIDENT over all peers. */
#define REFRESH_PER_PEER_MS 300
#define SILENT_MS 1000 /* without an answer: its adapters count for nothing */
#define REMOTE_PEERS_MAX 16 /* small sites: other regions are told as well */
#define PEERS_MAX 1024

static bool is_silent(const struct fg_node *n, const struct fg_own *own)
{
	return own->silent_since != 0 &&
	       n->now - own->silent_since >= SILENT_MS;
}

/* An engine that does not answer is told of as one without slots, so that
 * requests go elsewhere and no load is placed on it. */
static void fill_resident(const struct fg_node *n, const struct fg_own *own,
			  fg_resident *out)
{
	if (own->grants != NULL)
		fg_grants_fill_resident(own->grants, out);
	out->ep = own->ep->id;
	out->fence = own->fence;
	if (!is_silent(n, own))
		return;
	fg_msg_set_avs(out, NULL, 0);
	out->slots = 0;
}

void fg_own_resident(struct fg_node *n, struct fg_own *own, uint64_t to)
{
	fg_msg *msg;

	if (own->grants == NULL && !is_silent(n, own))
		return;
	msg = fg_msg_new(FG_MSG_RESIDENT);
	fill_resident(n, own, &msg->body.fg_body_u.resident);
	if (to != 0) {
		fg_node_send(n, to, msg);
	} else {
		fg_node_send(n, n->self, msg);
		fg_node_broadcast(n, msg);
	}
	fg_msg_free(msg);
}

static void tell_other_regions(struct fg_node *n, struct fg_own *own)
{
	uint64_t ids[PEERS_MAX];
	size_t total = fg_member_list_live(n->member, NULL, ids, PEERS_MAX);

	if (total > REMOTE_PEERS_MAX)
		return;
	for (size_t i = 0; i < total; i++) {
		const struct fg_peer_view *peer =
			fg_member_find(n->member, ids[i]);

		if (peer != NULL && ids[i] != n->self &&
		    strcmp(peer->info.region, n->conf.member.self.region) != 0)
			fg_own_resident(n, own, ids[i]);
	}
}

void fg_own_repeat_resident(struct fg_node *n, struct fg_own *own)
{
	uint64_t ids[PEERS_MAX];
	size_t peers = fg_node_region_peers(n, ids, PEERS_MAX);
	uint32_t spread_ms = (uint32_t)peers * REFRESH_PER_PEER_MS;

	own->resident_next = n->now + MAX(n->conf.resident_ms, spread_ms);
	fg_own_resident(n, own, 0);
	tell_other_regions(n, own);
}

void fg_own_note_silence(struct fg_node *n, struct fg_own *own, bool silent)
{
	bool was_silent = own->told_silent;

	if (!silent)
		own->silent_since = 0;
	else if (own->silent_since == 0)
		own->silent_since = n->now;
	own->told_silent = is_silent(n, own);
	if (own->told_silent && n->now >= own->resident_next)
		fg_own_repeat_resident(n, own);
	if (own->told_silent == was_silent)
		return;
	fg_node_event(n, own->told_silent ? "engine_silent" : "engine_answers",
		      json_pack("{s:s}", "ep", own->ep->info.name));
	fg_own_resident(n, own, 0);
}
