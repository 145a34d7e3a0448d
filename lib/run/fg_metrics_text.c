/* Counters of the node and its peers in the Prometheus text format. */
#include <inttypes.h>

#include "run/fg_run_internal.h"

static void add(GString *out, const char *name, uint64_t value)
{
	g_string_append_printf(out,
			       "# TYPE fulmargauge_%s_total counter\n"
			       "fulmargauge_%s_total %" PRIu64 "\n",
			       name, name, value);
}

static void add_peer(GString *out, const struct fg_run *run)
{
	struct fg_peer_counters c;

	fg_peer_counters(run->peer, &c);
	add(out, "peer_sent_msgs", c.sent_msgs);
	add(out, "peer_sent_bytes", c.sent_bytes);
	add(out, "peer_received_msgs", c.received_msgs);
	add(out, "peer_received_bytes", c.received_bytes);
	add(out, "peer_dropped_msgs", c.dropped_msgs);
	add(out, "peer_exchanges", c.exchanges);
	add(out, "peer_failed_exchanges", c.failed_exchanges);
}

char *fg_run_metrics(struct fg_run *run)
{
	GString *out = g_string_new(NULL);

	fg_run_lock(run);
	for (int c = 0; c < FG_NC_COUNT; c++)
		add(out, fg_node_counter_name(c),
		    fg_node_counter(run->node, c));
	fg_run_unlock(run);
	add_peer(out, run);
	return g_string_free(out, FALSE);
}
