#include "node_bed.h"

#include <string.h>

#include "base/fg_rand.h"

#define STEP_MS 10
#define START_MS 1000000
#define READY_MS 30000

/* ---- The node's actions ---- */

static void io_reply(void *arg, uint64_t req, const struct fg_reply *reply)
{
	struct bed *b = arg;
	struct bed_reply *r = g_new0(struct bed_reply, 1);

	r->req = req;
	r->outcome = reply->outcome;
	r->reason = reply->reason;
	r->text = g_strdup(reply->text);
	r->replayed = reply->replayed;
	r->address = g_strdup(reply->address);
	g_ptr_array_add(b->replies, r);
}

static void io_run(void *arg, const struct fg_run_cmd *cmd)
{
	struct bed *b = arg;

	g_array_append_val(b->runs, *cmd);
}

static void io_order(void *arg, const struct fg_order_cmd *cmd)
{
	struct bed *b = arg;
	struct fg_order_cmd copy = *cmd;

	copy.order.adapter = g_strdup(cmd->order.adapter);
	copy.order.version = g_strdup(cmd->order.version);
	g_array_append_val(b->orders, copy);
}

static void io_state(void *arg, const struct fg_listed *ep)
{
	struct bed *b = arg;

	(void)ep;
	b->state_asked = true;
}

static void io_table(void *arg, struct fg_table_op *op)
{
	struct bed *b = arg;

	g_queue_push_tail(&b->ops, op);
}

static void io_list(void *arg)
{
	struct bed *b = arg;

	b->list_asked = true;
}

static void io_announce(void *arg, bool leaving)
{
	(void)arg;
	(void)leaving;
}

static void io_send(void *arg, const struct fg_listed *to, const fg_msg *msg)
{
	struct bed *b = arg;

	(void)to;
	g_ptr_array_add(b->sent, fg_msg_dup(msg));
}

static void io_change_answer(void *arg, uint64_t id,
			     enum fg_change_status status, uint64_t revision,
			     const char *text)
{
	struct bed *b = arg;

	(void)id;
	(void)revision;
	(void)text;
	if (status == FG_CHANGE_ACCEPTED)
		b->accepted++;
}

static void io_event(void *arg, const char *name, json_t *fields)
{
	(void)arg;
	(void)name;
	json_decref(fields);
}

/* ---- Answers of the fakes ---- */

static void answer_ops(struct bed *b)
{
	struct fg_table_op *op;

	while ((op = g_queue_pop_head(&b->ops)) != NULL) {
		struct fg_table_result *res = fake_table_run(b->table, op);

		fg_node_table_done(b->node, b->now, res);
		fg_table_result_free(res);
		fg_table_op_free(op);
	}
}

static void answer_list(struct bed *b)
{
	if (!b->list_asked)
		return;
	b->list_asked = false;
	if (b->table->fault == FG_PF_OK)
		fg_node_list_done(b->node, b->now, FG_PF_OK,
				  (struct fg_listed *)b->list->data,
				  b->list->len);
	else
		fg_node_list_done(b->node, b->now, FG_PF_DOWN, NULL, 0);
}

static void answer_state(struct bed *b)
{
	struct fg_engine_state *st;

	if (!b->state_asked || !b->auto_state)
		return;
	b->state_asked = false;
	if (b->state_fails) {
		fg_node_engine_state(b->node, b->now, fg_hash_str(BED_ENGINE),
				     b->now, NULL);
		return;
	}
	st = g_new0(struct fg_engine_state, 1);
	st->epoch = 1;
	st->slots = BED_SLOTS;
	st->batch = BED_BATCH;
	for (int i = 0; i < BED_SLOTS; i++) {
		if (b->adapter[i] == NULL)
			continue;
		g_strlcpy(st->slot[i].adapter, b->adapter[i], FG_NAME_BYTES);
		g_strlcpy(st->slot[i].version, "v1", FG_NAME_BYTES);
		st->slot[i].running = b->running[i];
	}
	fg_node_engine_state(b->node, b->now, fg_hash_str(BED_ENGINE), b->now,
			     st);
	g_free(st);
}

static void answer_orders(struct bed *b)
{
	while (b->auto_order && b->orders->len > 0) {
		struct fg_order_cmd cmd =
			g_array_index(b->orders, struct fg_order_cmd, 0);

		g_array_remove_index(b->orders, 0);
		if (cmd.order.kind == FG_ORDER_LOAD) {
			g_free(b->adapter[cmd.order.slot]);
			b->adapter[cmd.order.slot] =
				g_strdup(cmd.order.adapter);
		}
		fg_node_order_done(b->node, b->now, cmd.ep.id, cmd.order.id,
				   FG_ORDER_DONE);
		g_free((char *)cmd.order.adapter);
		g_free((char *)cmd.order.version);
	}
}

void bed_run(struct bed *b, fg_ms ms)
{
	for (fg_ms end = b->now + ms; b->now < end; b->now += STEP_MS) {
		answer_ops(b);
		answer_list(b);
		answer_state(b);
		answer_orders(b);
		fg_node_tick(b->node, b->now);
	}
	answer_ops(b);
}

void bed_list(struct bed *b, enum fg_listed_kind kind, const char *name,
	      bool leaving)
{
	struct fg_listed item = { .kind = kind, .leaving = leaving };

	g_strlcpy(item.name, name, sizeof(item.name));
	g_strlcpy(item.addr, "127.0.0.1:1", sizeof(item.addr));
	g_strlcpy(item.rpc, "127.0.0.1:2", sizeof(item.rpc));
	g_strlcpy(item.region, "coast", sizeof(item.region));
	g_strlcpy(item.dc, "north", sizeof(item.dc));
	g_strlcpy(item.service, kind == FG_LISTED_PLAIN ? "orders" : "menus",
		  sizeof(item.service));
	item.id = fg_hash_str(name);
	for (guint i = 0; i < b->list->len; i++)
		if (g_array_index(b->list, struct fg_listed, i).id == item.id) {
			g_array_remove_index(b->list, i);
			break;
		}
	g_array_append_val(b->list, item);
}

/* ---- Requests ---- */

void bed_generate(struct bed *b, uint64_t id, const char *adapter,
		  enum fg_class cls, uint32_t deadline_ms)
{
	struct fg_request req = {
		.id = id,
		.tag = "t",
		.cls = cls,
		.caller = "kitchen",
		.adapter = adapter,
		.body = "harvest",
		.max_tokens = 8,
		.deadline_ms = deadline_ms,
	};

	fg_node_request(b->node, b->now, &req);
}

void bed_file(struct bed *b, uint64_t id, const char *key, const char *body)
{
	struct fg_request req = {
		.id = id,
		.tag = "t",
		.cls = FG_CLASS_FILING,
		.caller = "kitchen",
		.service = "orders",
		.key = key,
		.body = body,
		.deadline_ms = 10000,
	};

	fg_node_request(b->node, b->now, &req);
}

void bed_status(struct bed *b, uint64_t id)
{
	struct fg_request req = {
		.id = id,
		.tag = "t",
		.cls = FG_CLASS_STATUS,
		.caller = "kitchen",
		.service = "orders",
		.body = "{}",
		.deadline_ms = 10000,
	};

	fg_node_request(b->node, b->now, &req);
}

void bed_run_done(struct bed *b, guint i, enum fg_run_status status)
{
	struct fg_run_cmd cmd;
	struct fg_run_result res = { .status = status, .service_ms = 100 };

	g_assert_cmpuint(i, <, b->runs->len);
	cmd = g_array_index(b->runs, struct fg_run_cmd, i);
	g_array_remove_index(b->runs, i);
	res.not_run = status == FG_RUN_NOT_SENT || status == FG_RUN_REFUSED ||
		      status == FG_RUN_NOT_LOADED;
	if (status == FG_RUN_DONE)
		res.text = cmd.run.adapter != NULL ? "text" : "{\"ok\":1}";
	fg_node_run_done(b->node, b->now, cmd.req, cmd.attempt, &res);
}

const struct bed_reply *bed_reply(const struct bed *b, uint64_t id)
{
	const struct bed_reply *found = NULL;

	for (guint i = 0; i < b->replies->len; i++) {
		const struct bed_reply *r = g_ptr_array_index(b->replies, i);

		if (r->req != id)
			continue;
		g_assert_null(found);
		found = r;
	}
	return found;
}

guint bed_sent(const struct bed *b, fg_msg_type type)
{
	guint count = 0;

	for (guint i = 0; i < b->sent->len; i++) {
		const fg_msg *m = g_ptr_array_index(b->sent, i);

		count += m->body.type == type;
	}
	return count;
}

void bed_forget(struct bed *b)
{
	g_ptr_array_set_size(b->sent, 0);
}

/* ---- Life ---- */

static void free_reply(void *arg)
{
	struct bed_reply *r = arg;

	g_free(r->text);
	g_free(r->address);
	g_free(r);
}

static void free_msg(void *msg)
{
	fg_msg_free(msg);
}

static void make_node(struct bed *b)
{
	struct fg_node_conf conf = { 0 };
	struct fg_node_io io = {
		.reply = io_reply,
		.run = io_run,
		.order = io_order,
		.state = io_state,
		.table = io_table,
		.list = io_list,
		.announce = io_announce,
		.send = io_send,
		.change_answer = io_change_answer,
		.event = io_event,
		.arg = b,
	};
	struct fg_listed *self = &conf.member.self;

	fg_node_conf_defaults(&conf);
	self->kind = FG_LISTED_ENTRY;
	g_strlcpy(self->name, "entry-1", sizeof(self->name));
	g_strlcpy(self->addr, "127.0.0.1:3", sizeof(self->addr));
	g_strlcpy(self->rpc, "127.0.0.1:4", sizeof(self->rpc));
	g_strlcpy(self->region, "coast", sizeof(self->region));
	g_strlcpy(self->dc, "north", sizeof(self->dc));
	self->id = fg_hash_str(self->name);
	conf.member.boot = 7;
	b->node = fg_node_new(&conf, &io, 42);
}

static void add_catalogue(struct bed *b)
{
	static const char change[] =
		"{\"kind\":\"batch\",\"changes\":["
		"{\"kind\":\"adapter_add\",\"base\":\"menus\",\"adapter\":"
		"\"a1\"},"
		"{\"kind\":\"adapter_add\",\"base\":\"menus\",\"adapter\":"
		"\"a2\"},"
		"{\"kind\":\"adapter_add\",\"base\":\"menus\",\"adapter\":"
		"\"a3\"},"
		"{\"kind\":\"adapter_add\",\"base\":\"menus\",\"adapter\":"
		"\"a4\"},"
		"{\"kind\":\"version_add\",\"adapter\":\"a1\",\"version\":"
		"\"v1\"},"
		"{\"kind\":\"version_add\",\"adapter\":\"a2\",\"version\":"
		"\"v1\"},"
		"{\"kind\":\"version_add\",\"adapter\":\"a3\",\"version\":"
		"\"v1\"},"
		"{\"kind\":\"version_add\",\"adapter\":\"a4\",\"version\":"
		"\"v1\"},"
		"{\"kind\":\"right_grant\",\"adapter\":\"a1\",\"caller\":\"*\"}"
		","
		"{\"kind\":\"right_grant\",\"adapter\":\"a2\",\"caller\":\"*\"}"
		","
		"{\"kind\":\"right_grant\",\"adapter\":\"a3\",\"caller\":\"*\"}"
		","
		"{\"kind\":\"right_grant\",\"adapter\":\"a4\",\"caller\":\"*\"}"
		"]}";

	fg_node_change(b->node, b->now, 1, change, 0, 5000);
	bed_run(b, 3000);
	g_assert_cmpuint(b->accepted, ==, 1);
}

struct bed *bed_new(void)
{
	struct bed *b = g_new0(struct bed, 1);

	b->table = fake_table_new();
	b->replies = g_ptr_array_new_with_free_func(free_reply);
	b->sent = g_ptr_array_new_with_free_func(free_msg);
	b->runs = g_array_new(FALSE, TRUE, sizeof(struct fg_run_cmd));
	b->orders = g_array_new(FALSE, TRUE, sizeof(struct fg_order_cmd));
	b->list = g_array_new(FALSE, TRUE, sizeof(struct fg_listed));
	b->auto_state = true;
	b->auto_order = true;
	b->now = START_MS;
	make_node(b);
	bed_list(b, FG_LISTED_ENTRY, "entry-1", false);
	bed_list(b, FG_LISTED_ENGINE, BED_ENGINE, false);
	bed_list(b, FG_LISTED_PLAIN, BED_PLAIN, false);
	bed_run(b, READY_MS);
	add_catalogue(b);
	return b;
}

void bed_free(struct bed *b)
{
	fg_node_free(b->node);
	g_queue_clear_full(&b->ops, (GDestroyNotify)fg_table_op_free);
	g_ptr_array_free(b->replies, TRUE);
	g_ptr_array_free(b->sent, TRUE);
	g_array_free(b->runs, TRUE);
	for (guint i = 0; i < b->orders->len; i++) {
		struct fg_order_cmd *cmd =
			&g_array_index(b->orders, struct fg_order_cmd, i);

		g_free((char *)cmd->order.adapter);
		g_free((char *)cmd->order.version);
	}
	g_array_free(b->orders, TRUE);
	g_array_free(b->list, TRUE);
	for (int i = 0; i < BED_SLOTS; i++)
		g_free(b->adapter[i]);
	fake_table_free(b->table);
	g_free(b);
}
