/* Planned stop: finish what is in progress, hand over, give up the lease. */
#include "node/fg_node_internal.h"

#define QUIT_MAX_MS 2000 /* a lease not deleted by then is left to lapse */

static bool drained(const struct fg_node *n)
{
	if (n->conf.switches.no_drain)
		return true;
	return g_hash_table_size(n->reqs) == 0 &&
	       fg_ledger_pending(n->ledger) == 0;
}

static void count_mine(void *arg, uint64_t key, uint64_t fence)
{
	size_t *mine = arg;

	(void)key;
	(void)fence;
	(*mine)++;
}

/* Rows that the platform does not take now are left to lapse. */
static bool handed_over(const struct fg_node *n)
{
	size_t mine = 0;

	fg_owner_for_each_owned(n->owner, count_mine, &mine);
	return mine == 0 ||
	       n->now - n->release_begun >= n->conf.member.lease_ms;
}

/*
 * Ownership is kept until nothing is in progress here: requests that wait for
 * an adapter need an owner and a broker, and with the platform out nobody else
 * can become either. The lease is given up last.
 */
void fg_node_tick_stop(struct fg_node *n)
{
	if (n->stop_begun == 0 || n->quit_begun != 0 || !drained(n))
		return;
	if (!n->released) {
		n->released = true;
		n->release_begun = n->now;
		fg_owner_release_all(n->owner, n->now, fg_wire_owner, n);
		return;
	}
	if (!handed_over(n))
		return;
	n->quit_begun = n->now;
	n->quit_epoch = fg_member_epoch(n->member);
	fg_member_release_lease(n->member, n->now, fg_wire_member, n);
}

void fg_node_stop(struct fg_node *n, fg_ms now)
{
	n->now = now;
	if (n->stop_begun != 0)
		return;
	n->stop_begun = now > 0 ? now : 1;
	n->announce_next = now;
	fg_node_event(n, "stop_begin",
		      json_pack("{s:i}", "in_progress",
				(int)g_hash_table_size(n->reqs)));
	fg_member_leave(n->member, now, fg_wire_member, n);
}

bool fg_node_stopped(const struct fg_node *n, fg_ms now)
{
	if (n->stop_begun == 0)
		return false;
	if (now - n->stop_begun >= n->conf.drain_max_ms)
		return true;
	if (n->quit_begun == 0)
		return false;
	return fg_member_epoch(n->member) != n->quit_epoch ||
	       now - n->quit_begun >= QUIT_MAX_MS;
}
