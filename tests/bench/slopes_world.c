/* Runs one instance in virtual time against a table and peers that answer at
 * once. */
#include <inttypes.h>
#include <string.h>

#include "member/fg_member_internal.h"
#include "owner/fg_owner_internal.h"
#include "peer/fg_peer_internal.h"
#include "slopes.h"

#define TICK_MS 100
#define BATCH_HEADER_BYTES 24 /* XDR size of an empty batch */
#define ROW_JSON_BYTES 36     /* scan: {"key":"","version":N,"value":""} */

struct peer_msg {
	uint64_t from;
	fg_msg *msg;
};

static uint64_t add_row(struct fg_table_result *res, const char *key,
			uint64_t version, const char *value)
{
	fg_table_result_add_row(res, key, version, value);
	return strlen(key) + strlen(value) + ROW_JSON_BYTES;
}

static void add_lease_rows(struct world *w, struct fg_table_result *res)
{
	for (int i = 0; i < w->n_nodes; i++) {
		struct fg_lease_row row = { .boot = (uint64_t)i + 1,
					    .info = w->nodes[i] };
		g_autofree char *value = fg_lease_row_encode(&row);
		g_autofree char *key = g_strconcat(FG_MEMBER_KEY_PREFIX,
						   w->nodes[i].name, NULL);

		w->read_bytes +=
			add_row(res, key,
				i == 0 ? w->own_version : ++w->version, value);
	}
}

static void add_owner_rows(struct world *w, struct fg_table_result *res)
{
	for (int i = 0; i < w->n_keys; i++) {
		struct fg_owner_row row = { .owner =
						    w->nodes[i % w->n_nodes].id,
					    .fence = 3 };
		g_autofree char *value = fg_owner_row_encode(&row);
		g_autofree char *key =
			g_strdup_printf(FG_OWNER_PREFIX "%016" PRIx64,
					fg_hash_mix(9, (uint64_t)i));

		w->read_bytes += add_row(res, key, 5, value);
	}
}

static void answer_op(struct world *w, struct fg_table_op *op)
{
	struct fg_table_result *res =
		fg_table_result_new(op->id, op->kind, FG_PF_OK);

	if (w->outage) {
		res->result = FG_PF_DOWN;
	} else if (op->kind == FG_OP_TXN) {
		w->table_writes++;
		for (size_t i = 0; i < op->n_writes; i++)
			fg_table_result_add_row(res, op->writes[i].key,
						++w->version, NULL);
		if (g_str_has_prefix(op->writes[0].key, FG_MEMBER_KEY_PREFIX))
			w->own_version = w->version;
	} else if (op->kind == FG_OP_SCAN) {
		w->table_reads++;
		if (strcmp(op->key, FG_MEMBER_KEY_PREFIX) == 0)
			add_lease_rows(w, res);
		else
			add_owner_rows(w, res);
	} else {
		w->table_reads++;
		res->result = FG_PF_ABSENT;
	}
	fg_table_op_free(op);
	g_queue_push_tail(&w->results, res);
}

/* Counts a message as a batch of one. */
static void count_msg(struct world *w, const fg_msg *msg)
{
	w->sent_msgs++;
	w->sent_bytes +=
		fg_msg_wire_bytes(msg) + BATCH_HEADER_BYTES + FG_RPC_CALL_BYTES;
	/* The RPC reply that this side sends to the peer's answer. */
	w->sent_bytes += BATCH_HEADER_BYTES + FG_RPC_REPLY_BYTES;
}

static void answer_ping(struct world *w, uint64_t to, fg_msg *msg)
{
	struct peer_msg *pong = g_new0(struct peer_msg, 1);
	struct peer_msg *ping = g_new0(struct peer_msg, 1);

	/* The peer answers the ping and sends as many pings as it gets. */
	pong->from = to;
	pong->msg = msg;
	msg->body.type = FG_MSG_PONG;
	msg->body.fg_body_u.pong.may_act = TRUE;
	ping->from = to;
	ping->msg = fg_msg_new(FG_MSG_PING);
	ping->msg->body.fg_body_u.ping = msg->body.fg_body_u.pong;
	g_queue_push_tail(&w->peer_msgs, pong);
	g_queue_push_tail(&w->peer_msgs, ping);
}

static void on_member_act(void *arg, struct fg_member_act *act)
{
	struct world *w = arg;
	double start = slopes_cpu_us(CLOCK_THREAD_CPUTIME_ID);

	if (act->type == FG_MA_TABLE) {
		answer_op(w, act->op);
	} else if (act->type == FG_MA_SEND) {
		count_msg(w, act->msg);
		if (act->msg->body.type == FG_MSG_PING)
			answer_ping(w, act->to, act->msg);
		else
			fg_msg_free(act->msg);
	}
	/* Excludes the time spent in the simulated table and peers. */
	w->cpu_us -= slopes_cpu_us(CLOCK_THREAD_CPUTIME_ID) - start;
}

static void on_owner_act(void *arg, struct fg_owner_act *act)
{
	struct world *w = arg;
	double start = slopes_cpu_us(CLOCK_THREAD_CPUTIME_ID);

	if (act->type == FG_OA_TABLE)
		answer_op(w, act->op);
	w->cpu_us -= slopes_cpu_us(CLOCK_THREAD_CPUTIME_ID) - start;
}

static void deliver_all(struct world *w)
{
	struct fg_table_result *res;
	struct peer_msg *m;

	while ((res = g_queue_pop_head(&w->results)) != NULL) {
		double start = slopes_cpu_us(CLOCK_THREAD_CPUTIME_ID);

		if (!fg_member_on_table(w->member, w->now, res, on_member_act,
					w) &&
		    w->owner != NULL)
			fg_owner_on_table(w->owner, w->now, res, on_owner_act,
					  w);
		w->cpu_us += slopes_cpu_us(CLOCK_THREAD_CPUTIME_ID) - start;
		fg_table_result_free(res);
	}
	while ((m = g_queue_pop_head(&w->peer_msgs)) != NULL) {
		double start = slopes_cpu_us(CLOCK_THREAD_CPUTIME_ID);

		fg_member_on_msg(w->member, w->now, m->from, m->msg,
				 on_member_act, w);
		w->cpu_us += slopes_cpu_us(CLOCK_THREAD_CPUTIME_ID) - start;
		fg_msg_free(m->msg);
		g_free(m);
	}
}

void world_run(struct world *w, uint32_t duration_s)
{
	for (uint32_t i = 0; i < duration_s * FG_MS_PER_S / TICK_MS; i++) {
		double start = slopes_cpu_us(CLOCK_THREAD_CPUTIME_ID);

		w->now += TICK_MS;
		fg_member_tick(w->member, w->now, on_member_act, w);
		if (w->owner != NULL)
			fg_owner_tick(w->owner, w->now, on_owner_act, w);
		w->cpu_us += slopes_cpu_us(CLOCK_THREAD_CPUTIME_ID) - start;
		deliver_all(w);
	}
}

void world_reset_counters(struct world *w)
{
	w->sent_msgs = w->sent_bytes = 0;
	w->table_reads = w->table_writes = w->read_bytes = 0;
	w->cpu_us = 0;
}

void world_start(struct world *w, int n_nodes, int n_regions)
{
	struct fg_member_conf conf;

	memset(w, 0, sizeof(*w));
	w->now = 1000000;
	w->n_nodes = n_nodes;
	w->n_regions = n_regions;
	w->nodes = g_new0(struct fg_list_entry, (gsize)n_nodes);
	for (int i = 0; i < n_nodes; i++) {
		struct fg_list_entry *l = &w->nodes[i];

		g_snprintf(l->name, sizeof(l->name), "entry-%04d-7f3a", i);
		l->id = fg_hash_str(l->name);
		l->kind = FG_LIST_ENTRY_INSTANCE;
		g_snprintf(l->addr, sizeof(l->addr), "10.20.30.%d:8080", i);
		g_snprintf(l->rpc, sizeof(l->rpc), "10.20.30.%d:7080", i);
		g_snprintf(l->region, sizeof(l->region), "region-%d",
			   i % n_regions);
		g_snprintf(l->dc, sizeof(l->dc), "dc-%d", i % 11);
	}
	fg_member_conf_defaults(&conf);
	conf.self = w->nodes[0];
	conf.boot = 1;
	w->member = fg_member_new(&conf, 3);
}

void world_end(struct world *w)
{
	fg_owner_free(w->owner);
	fg_member_free(w->member);
	g_free(w->nodes);
}
