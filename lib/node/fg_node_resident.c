/* RESIDENT messages: an owner tells other instances what its engines hold. */
#include <string.h>

#include "node/fg_node_internal.h"

/* The repeat interval grows with the number of peers, which bounds the message
 * rate of one owner. */
#define REPEAT_PER_PEER_MS 300
#define SILENT_MS 1000 /* without an engine state */

/* Other regions are told only while the whole system has no more than this many
 * live instances. */
#define ALL_REGIONS_PEERS_MAX 16
#define PEERS_MAX 1024

static bool is_silent(const struct fg_node *n,
		      const struct fg_owned_engine *owned)
{
	return owned->silent_since != 0 &&
	       n->now - owned->silent_since >= SILENT_MS;
}

/* Reports an engine that does not answer as one without slots, so that it gets
 * neither requests nor loads. */
static void fill_resident(const struct fg_node *n,
			  const struct fg_owned_engine *owned, fg_resident *out)
{
	if (owned->grants != NULL)
		fg_grants_fill_resident(owned->grants, out);
	out->ep = owned->ep->id;
	out->fence = owned->fence;
	if (!is_silent(n, owned))
		return;
	fg_msg_set_avs(out, NULL, 0);
	out->slots = 0;
}

void fg_owned_send_resident(struct fg_node *n, struct fg_owned_engine *owned,
			    uint64_t to)
{
	fg_msg *msg;

	if (owned->grants == NULL && !is_silent(n, owned))
		return;
	msg = fg_msg_new(FG_MSG_RESIDENT);
	fill_resident(n, owned, &msg->body.fg_body_u.resident);
	if (to != 0) {
		fg_node_send(n, to, msg);
	} else {
		fg_node_send(n, n->self, msg);
		fg_node_broadcast(n, msg);
	}
	fg_msg_free(msg);
}

static void send_to_other_regions(struct fg_node *n,
				  struct fg_owned_engine *owned)
{
	uint64_t ids[PEERS_MAX];
	size_t total = fg_member_list_live(n->member, NULL, ids, PEERS_MAX);

	if (total > ALL_REGIONS_PEERS_MAX)
		return;
	for (size_t i = 0; i < total; i++) {
		const struct fg_peer_view *peer =
			fg_member_find(n->member, ids[i]);

		if (peer != NULL && ids[i] != n->self &&
		    strcmp(peer->info.region, n->conf.member.self.region) != 0)
			fg_owned_send_resident(n, owned, ids[i]);
	}
}

void fg_owned_repeat_resident(struct fg_node *n, struct fg_owned_engine *owned)
{
	uint64_t ids[PEERS_MAX];
	size_t peers = fg_node_live_peers(n, ids, PEERS_MAX);
	uint32_t spread_ms = (uint32_t)peers * REPEAT_PER_PEER_MS;

	owned->next_resident_at =
		n->now + MAX(n->conf.resident_repeat_ms, spread_ms);
	fg_owned_send_resident(n, owned, 0);
	send_to_other_regions(n, owned);
}

void fg_owned_note_silence(struct fg_node *n, struct fg_owned_engine *owned,
			   bool silent)
{
	bool was_silent = owned->reported_silent;

	if (!silent)
		owned->silent_since = 0;
	else if (owned->silent_since == 0)
		owned->silent_since = n->now;
	owned->reported_silent = is_silent(n, owned);
	if (owned->reported_silent && n->now >= owned->next_resident_at)
		fg_owned_repeat_resident(n, owned);
	if (owned->reported_silent == was_silent)
		return;
	fg_node_emit_event(
		n, owned->reported_silent ? "engine_silent" : "engine_answers",
		json_pack("{s:s}", "ep", owned->ep->info.name));
	fg_owned_send_resident(n, owned, 0);
}
