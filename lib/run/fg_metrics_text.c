/* Counters and latencies in the Prometheus text format. */
#include <inttypes.h>

#include "run/fg_run_internal.h"

#define PREFIX "fulmargauge_"
#define NAME_BYTES 64

void fg_run_make_metrics(struct fg_run *run)
{
	run->metrics = fg_metrics_new();
	for (int c = 0; c < FG_CLASS_COUNT; c++) {
		char labels[NAME_BYTES];

		g_snprintf(labels, sizeof(labels), "class=\"%s\"",
			   fg_class_name(c));
		run->latency[c] =
			fg_metrics_hist(run->metrics, PREFIX "latency_ms",
					labels, "Time from request to answer");
	}
}

/* Counters of the node and its peers count by themselves; they are only
 * carried over when somebody asks. */
static void carry(struct fg_run *run, const char *name, uint64_t value)
{
	char full[NAME_BYTES];
	struct fg_counter *c;
	uint64_t had;

	g_snprintf(full, sizeof(full), PREFIX "%s_total", name);
	c = fg_metrics_counter(run->metrics, full, NULL, name);
	had = fg_counter_get(c);
	if (value > had)
		fg_counter_add(c, value - had);
}

static void carry_peer(struct fg_run *run)
{
	struct fg_peer_counters c;

	fg_peer_get_counters(run->peer, &c);
	carry(run, "peer_sent_msgs", c.sent_msgs);
	carry(run, "peer_sent_bytes", c.sent_bytes);
	carry(run, "peer_received_msgs", c.received_msgs);
	carry(run, "peer_received_bytes", c.received_bytes);
	carry(run, "peer_dropped_msgs", c.dropped_msgs);
	carry(run, "peer_exchanges", c.exchanges);
	carry(run, "peer_failed_exchanges", c.failed_exchanges);
}

char *fg_run_metrics(struct fg_run *run)
{
	char *text;

	fg_run_lock(run);
	for (int c = 0; c < FG_NC_COUNT; c++)
		carry(run, fg_node_counter_name(c),
		      fg_node_counter(run->node, c));
	carry_peer(run);
	text = fg_metrics_render(run->metrics);
	fg_run_unlock(run);
	return text;
}
