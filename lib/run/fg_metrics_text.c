/* Counters and latencies in the Prometheus text format. */
#include <inttypes.h>

#include "run/fg_run_internal.h"

#define PREFIX "fulmargauge_"
#define NAME_BYTES 64

void fg_run_create_metrics(struct fg_run *run)
{
	run->metrics = fg_metrics_new();
	for (int c = 0; c < FG_CLASS_COUNT; c++) {
		char labels[NAME_BYTES];

		g_snprintf(labels, sizeof(labels), "class=\"%s\"",
			   fg_class_name(c));
		run->latency_ms[c] =
			fg_metrics_hist(run->metrics, PREFIX "latency_ms",
					labels, "Time from request to answer");
	}
	run->gave_way = fg_metrics_counter(
		run->metrics, PREFIX "callers_gave_way_total",
		"what=\"request\"", "dropped for room for others");
	run->places_taken = fg_metrics_counter(
		run->metrics, PREFIX "callers_gave_way_total", "what=\"place\"",
		"dropped for room for others");
}

/* The node and its peers keep their own counters. Each is copied into the
 * metrics when these are rendered. */
static void export_counter(struct fg_run *run, const char *name, uint64_t value)
{
	char full_name[NAME_BYTES];
	struct fg_counter *c;
	uint64_t exported;

	g_snprintf(full_name, sizeof(full_name), PREFIX "%s_total", name);
	c = fg_metrics_counter(run->metrics, full_name, NULL, name);
	exported = fg_counter_get(c);
	if (value > exported)
		fg_counter_add(c, value - exported);
}

static void export_peer_counters(struct fg_run *run)
{
	struct fg_peer_counters c;

	fg_peer_get_counters(run->peer, &c);
	export_counter(run, "peer_sent_msgs", c.sent_msgs);
	export_counter(run, "peer_sent_bytes", c.sent_bytes);
	export_counter(run, "peer_received_msgs", c.received_msgs);
	export_counter(run, "peer_received_bytes", c.received_bytes);
	export_counter(run, "peer_dropped_msgs", c.dropped_msgs);
	export_counter(run, "peer_exchanges", c.exchanges);
	export_counter(run, "peer_failed_exchanges", c.failed_exchanges);
}

char *fg_run_render_metrics(struct fg_run *run)
{
	char *text;

	fg_run_lock(run);
	for (int c = 0; c < FG_NC_COUNT; c++)
		export_counter(run, fg_node_counter_name(c),
			       fg_node_counter(run->node, c));
	export_peer_counters(run);
	text = fg_metrics_render(run->metrics);
	fg_run_unlock(run);
	return text;
}
