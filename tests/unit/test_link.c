/* Unit tests of the signs by which a link loses its peer. */
#include <glib.h>

#include "link/fg_link.h"

static void check(uint32_t since_ack_ms, uint32_t probes, uint32_t unacked,
		  uint32_t retransmits, bool gone)
{
	struct fg_link_signs signs = {
		.since_ack_ms = since_ack_ms,
		.probes = probes,
		.unacked = unacked,
		.retransmits = retransmits,
	};

	g_assert_cmpint(fg_link_is_peer_gone(&signs), ==, gone);
}

/* The window has been closed for a minute, and probes are answered; the next
 * one is due in some seconds. */
static void test_slow_reader(void)
{
	check(100, 0, 0, 0, false);
	check(20000, 0, 0, 0, false);
	check(20000, 1, 0, 0, false);
}

static void test_lost_peer(void)
{
	check(3000, 2, 0, 0, true);
	check(3000, 0, 4, 3, true);
	/* Too early, and not sent again yet. */
	check(2900, 2, 4, 3, false);
	check(3000, 0, 4, 0, false);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/link/slow_reader", test_slow_reader);
	g_test_add_func("/link/lost_peer", test_lost_peer);
	return g_test_run();
}
