/* Planned stop: finish requests in progress, hand over ownership, give up the
 * lease. */
#include "node/fg_node_internal.h"

/* A lease row that is not deleted within this time is left to lapse. */
#define LEASE_RELEASE_MAX_MS 2000

static bool is_drained(const struct fg_node *n)
{
	if (n->conf.switches.no_drain)
		return true;
	return g_hash_table_size(n->reqs) == 0 &&
	       fg_ledger_pending(n->ledger) == 0;
}

static void count_owned_key(void *arg, uint64_t key, uint64_t fence)
{
	size_t *owned_keys = arg;

	(void)key;
	(void)fence;
	(*owned_keys)++;
}

/* True when no key is owned here any more, or when lease_ms have passed. Rows
 * that the platform did not accept by then are left to lapse. */
static bool is_handed_over(const struct fg_node *n)
{
	size_t owned_keys = 0;

	fg_owner_for_each_owned(n->owner, count_owned_key, &owned_keys);
	return owned_keys == 0 ||
	       n->now - n->ownership_released_at >= n->conf.member.lease_ms;
}

/*
 * Ownership is kept until no request is in progress here. A request that waits
 * for an adapter needs an owner and a broker, and in a platform outage no other
 * instance can take over either role. The lease is given up last.
 */
void fg_node_tick_stop(struct fg_node *n)
{
	if (n->stop_begun_at == 0 || n->lease_released_at != 0 ||
	    !is_drained(n))
		return;
	if (!n->ownership_released) {
		n->ownership_released = true;
		n->ownership_released_at = n->now;
		fg_owner_release_all(n->owner, n->now, fg_node_on_owner_act, n);
		return;
	}
	if (!is_handed_over(n))
		return;
	n->lease_released_at = n->now;
	n->released_lease_epoch = fg_member_epoch(n->member);
	fg_member_release_lease(n->member, n->now, fg_node_on_member_act, n);
}

void fg_node_stop(struct fg_node *n, fg_ms now)
{
	n->now = now;
	if (n->stop_begun_at != 0)
		return;
	n->stop_begun_at = now > 0 ? now : 1;
	n->next_announce_at = now;
	fg_node_emit_event(n, "stop_begin",
			   json_pack("{s:i}", "in_progress",
				     (int)g_hash_table_size(n->reqs)));
	fg_member_leave(n->member, now, fg_node_on_member_act, n);
}

bool fg_node_is_stopped(const struct fg_node *n, fg_ms now)
{
	if (n->stop_begun_at == 0)
		return false;
	if (now - n->stop_begun_at >= n->conf.drain_max_ms)
		return true;
	if (n->lease_released_at == 0)
		return false;
	return fg_member_epoch(n->member) != n->released_lease_epoch ||
	       now - n->lease_released_at >= LEASE_RELEASE_MAX_MS;
}
