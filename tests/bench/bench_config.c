/*
 * Measures the cost of the configuration at its target size: 65,000 adapters
 * and 600 instances. Prints one figure per line.
 */
#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "config/fg_config.h"
#include "peer/fg_msg.h"

#define ADAPTERS 65000
#define PEERS 599
#define CHANGES 200
#define SNAPSHOT_PART_BYTES 60000
#define TICK_MS 20
#define IDLE_S 60

static double cpu_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec * 1e3 + (double)ts.tv_nsec / 1e6;
}

static size_t heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

static struct fg_config *new_catalogue(void)
{
	struct fg_config *c = fg_config_new();

	for (unsigned int i = 0; i < ADAPTERS; i++) {
		g_autofree char *text = g_strdup_printf(
			"{\"revision\":%u,\"kind\":\"batch\",\"changes\":["
			"{\"kind\":\"adapter_add\",\"base\":\"base-%u\","
			"\"adapter\":\"school-menu-%05u\"},"
			"{\"kind\":\"version_add\",\"adapter\":"
			"\"school-menu-%05u\",\"version\":\"1\"},"
			"{\"kind\":\"right_grant\",\"adapter\":"
			"\"school-menu-%05u\",\"caller\":\"grower-%u\"}]}",
			i + 1, i % 7, i, i, i, i % 300);

		if (!fg_config_apply(c, text, NULL))
			g_error("cannot apply change %u", i);
	}
	return c;
}

/* Stands in for the table and the peers of one confsync: answers its table
 * operations at once and counts what it emits. */
struct harness {
	struct fg_confsync *s;
	GQueue ops;
	uint64_t sent_msgs;
	uint64_t sent_bytes;
	uint64_t revision;
	unsigned int accepted;
	unsigned int reads;
	unsigned int writes;
};

static void handle_act(void *arg, struct fg_confsync_act *act)
{
	struct harness *h = arg;

	if (act->type == FG_CS_TABLE)
		g_queue_push_tail(&h->ops, act->op);
	if (act->type == FG_CS_SEND) {
		h->sent_msgs++;
		h->sent_bytes += fg_msg_wire_bytes(act->msg);
		fg_msg_free(act->msg);
	}
	if (act->type == FG_CS_ANSWER) {
		h->accepted += act->status == FG_CHANGE_ACCEPTED;
		g_free(act->text);
	}
}

static void answer_op(struct harness *h, fg_ms now, struct fg_table_op *op)
{
	struct fg_table_result *res =
		fg_table_result_new(op->id, op->kind, FG_PF_OK);

	if (op->kind == FG_OP_TXN) {
		h->writes += op->n_writes;
		h->revision++;
	} else {
		g_autofree char *head = g_strdup_printf(
			"{\"format\":1,\"revision\":%" G_GUINT64_FORMAT
			",\"snapshot\":0,\"parts\":0,\"old_snapshot\":0,"
			"\"old_parts\":0,\"draft\":0,\"draft_parts\":0,"
			"\"deltas_from\":1}",
			h->revision);

		h->reads++;
		fg_table_result_add_row(res, op->key, h->revision, head);
	}
	fg_confsync_on_table(h->s, now, res, handle_act, h);
	fg_table_result_free(res);
	fg_table_op_free(op);
}

static void answer_ops(struct harness *h, fg_ms now)
{
	struct fg_table_op *op;

	while ((op = g_queue_pop_head(&h->ops)) != NULL)
		answer_op(h, now, op);
}

static void acknowledge_revision(struct harness *h, fg_ms now,
				 const uint64_t *ids)
{
	fg_msg *ask = fg_msg_new(FG_MSG_CONFIG_ASK);

	ask->body.fg_body_u.config_ask.from_revision = h->revision;
	for (int i = 0; i < PEERS; i++)
		fg_confsync_on_msg(h->s, now, ids[i], ask, handle_act, h);
	fg_msg_free(ask);
}

static void bench_changes(struct harness *h, fg_ms now, const uint64_t *ids)
{
	double start_ms = cpu_ms();

	for (unsigned int i = 0; i < CHANGES; i++) {
		fg_confsync_submit_change(h->s, now, i + 1,
					  i % 2 ? "{\"kind\":\"preset_set\","
						  "\"preset\":\"peak\"}"
						: "{\"kind\":\"preset_set\","
						  "\"preset\":\"ordinary\"}",
					  0, 7000, handle_act, h);
		answer_ops(h, now);
		fg_confsync_tick(h->s, now, handle_act, h);
		acknowledge_revision(h, now, ids);
		now += TICK_MS;
	}
	fg_confsync_tick(h->s, now, handle_act, h);
	printf("change_at_writer_ms %.3f\n", (cpu_ms() - start_ms) / CHANGES);
	printf("change_sent_msgs %.0f\n", (double)h->sent_msgs / CHANGES);
	printf("change_sent_bytes %.0f\n", (double)h->sent_bytes / CHANGES);
	printf("change_row_writes %.1f\n", (double)h->writes / CHANGES);
	printf("change_accepted %u of %d\n", h->accepted, CHANGES);
}

/* Measures the cost without changes: ticks, polls, and pongs of eight peers
 * twice a second. */
static void bench_idle(struct harness *h, fg_ms now, const uint64_t *ids)
{
	double start_ms = cpu_ms();
	unsigned int reads = h->reads;
	fg_ms end = now + IDLE_S * 1000;

	for (; now < end; now += TICK_MS) {
		fg_confsync_tick(h->s, now, handle_act, h);
		answer_ops(h, now);
		for (int i = 0; i < 8 && now % 500 < TICK_MS; i++)
			fg_confsync_on_pong(h->s, now, now - 5, ids[i],
					    h->revision, 100, handle_act, h);
	}
	printf("idle_core_percent %.4f\n",
	       (cpu_ms() - start_ms) / (IDLE_S * 1000.0) * 100);
	printf("idle_reads_per_s %.3f\n", (double)(h->reads - reads) / IDLE_S);
}

static void bench_confsync(struct fg_config *c)
{
	struct fg_confsync_conf conf = { .poll_ms = 2000,
					 .confirm_ms = 6000,
					 .snapshot_every = 1000000 };
	struct harness h = { .revision = fg_config_revision(c) };
	size_t before_bytes = heap_bytes();
	uint64_t ids[PEERS];

	g_queue_init(&h.ops);
	h.s = fg_confsync_new(c, &conf, 1, 1);
	for (int i = 0; i < PEERS; i++)
		ids[i] = (uint64_t)i + 100;
	fg_confsync_tick(h.s, 1000, handle_act, &h);
	answer_ops(&h, 1000);
	fg_confsync_set_live(h.s, ids, PEERS);
	bench_changes(&h, 2000, ids);
	bench_idle(&h, 10000, ids);
	printf("confsync_state_bytes %zu\n", heap_bytes() - before_bytes);
	fg_confsync_free(h.s);
}

static void bench_snapshot(struct fg_config *c)
{
	struct fg_config_loader *l = fg_config_loader_new();
	struct fg_config *copy = fg_config_new();
	double start_ms = cpu_ms();
	GPtrArray *parts = fg_config_snapshot_parts(c, SNAPSHOT_PART_BYTES);
	double made_ms = cpu_ms();
	size_t bytes = 0;

	for (guint i = 0; i < parts->len; i++) {
		bytes += strlen(g_ptr_array_index(parts, i));
		if (!fg_config_loader_add_part(l, g_ptr_array_index(parts, i),
					       NULL))
			g_error("cannot load part %u", i);
	}
	fg_config_loader_finish(l, copy);
	printf("snapshot_parts %u\n", parts->len);
	printf("snapshot_bytes %zu\n", bytes);
	printf("snapshot_make_ms %.1f\n", made_ms - start_ms);
	printf("snapshot_load_ms %.1f\n", cpu_ms() - made_ms);
	g_ptr_array_free(parts, TRUE);
	fg_config_free(copy);
}

int main(void)
{
	size_t before_bytes = heap_bytes();
	struct fg_config *c = new_catalogue();

	printf("catalogue_bytes_per_adapter %zu\n",
	       (heap_bytes() - before_bytes) / ADAPTERS);
	bench_snapshot(c);
	bench_confsync(c);
	fg_config_free(c);
	return 0;
}
