#include "node_fixture.h"

#include <string.h>

#include "base/fg_rand.h"

#define STEP_MS 10
#define START_MS 1000000
#define STARTUP_MS 30000

/* ---- Callbacks of the node ---- */

static void io_reply(void *arg, uint64_t req, const struct fg_reply *reply)
{
	struct node_fixture *fx = arg;
	struct nfx_reply *r = g_new0(struct nfx_reply, 1);

	r->req = req;
	r->outcome = reply->outcome;
	r->reason = reply->reason;
	r->text = g_strdup(reply->text);
	r->replayed = reply->replayed;
	r->address = g_strdup(reply->address);
	g_ptr_array_add(fx->replies, r);
}

static void io_start_run(void *arg, const struct fg_run_cmd *cmd)
{
	struct node_fixture *fx = arg;

	g_array_append_val(fx->runs, *cmd);
}

static void io_send_order(void *arg, const struct fg_order_cmd *cmd)
{
	struct node_fixture *fx = arg;
	struct fg_order_cmd copy = *cmd;

	copy.order.adapter = g_strdup(cmd->order.adapter);
	copy.order.version = g_strdup(cmd->order.version);
	g_array_append_val(fx->orders, copy);
}

static void io_read_state(void *arg, const struct fg_list_entry *ep)
{
	struct node_fixture *fx = arg;

	(void)ep;
	fx->state_asked = true;
}

static void io_run_table_op(void *arg, struct fg_table_op *op)
{
	struct node_fixture *fx = arg;

	g_queue_push_tail(&fx->ops, op);
}

static void io_read_list(void *arg)
{
	struct node_fixture *fx = arg;

	fx->list_asked = true;
}

static void io_announce(void *arg, bool leaving)
{
	(void)arg;
	(void)leaving;
}

static void io_send_msg(void *arg, const struct fg_list_entry *to,
			const fg_msg *msg)
{
	struct node_fixture *fx = arg;

	(void)to;
	g_ptr_array_add(fx->sent, fg_msg_dup(msg));
}

static void io_answer_change(void *arg, uint64_t id,
			     enum fg_change_status status, uint64_t revision,
			     const char *text)
{
	struct node_fixture *fx = arg;

	(void)id;
	(void)revision;
	(void)text;
	if (status == FG_CHANGE_ACCEPTED)
		fx->changes_accepted++;
}

static void io_record_event(void *arg, const char *name, json_t *fields)
{
	(void)arg;
	(void)name;
	json_decref(fields);
}

/* ---- Automatic answers ---- */

static void answer_ops(struct node_fixture *fx)
{
	struct fg_table_op *op;

	while ((op = g_queue_pop_head(&fx->ops)) != NULL) {
		struct fg_table_result *res = fake_table_run(fx->table, op);

		fg_node_on_table_done(fx->node, fx->now, res);
		fg_table_result_free(res);
		fg_table_op_free(op);
	}
}

static void answer_list(struct node_fixture *fx)
{
	if (!fx->list_asked)
		return;
	fx->list_asked = false;
	if (fx->table->fault == FG_PF_OK)
		fg_node_on_list_done(fx->node, fx->now, FG_PF_OK,
				     (struct fg_list_entry *)fx->list->data,
				     fx->list->len);
	else
		fg_node_on_list_done(fx->node, fx->now, FG_PF_DOWN, NULL, 0);
}

static void answer_state(struct node_fixture *fx)
{
	struct fg_engine_state *st;

	if (!fx->state_asked || !fx->auto_state)
		return;
	fx->state_asked = false;
	if (fx->state_fails) {
		fg_node_on_engine_state(fx->node, fx->now,
					fg_hash_str(NFX_ENGINE), fx->now, NULL);
		return;
	}
	st = g_new0(struct fg_engine_state, 1);
	st->epoch = 1;
	st->slots = NFX_SLOTS;
	st->batch = NFX_BATCH;
	for (int i = 0; i < NFX_SLOTS; i++) {
		if (fx->adapter[i] == NULL)
			continue;
		g_strlcpy(st->slot[i].adapter, fx->adapter[i], FG_NAME_BYTES);
		g_strlcpy(st->slot[i].version, "v1", FG_NAME_BYTES);
		st->slot[i].running = fx->running[i];
	}
	fg_node_on_engine_state(fx->node, fx->now, fg_hash_str(NFX_ENGINE),
				fx->now, st);
	g_free(st);
}

static void answer_orders(struct node_fixture *fx)
{
	while (fx->auto_order && fx->orders->len > 0) {
		struct fg_order_cmd cmd =
			g_array_index(fx->orders, struct fg_order_cmd, 0);

		g_array_remove_index(fx->orders, 0);
		if (cmd.order.kind == FG_ORDER_LOAD) {
			g_free(fx->adapter[cmd.order.slot]);
			fx->adapter[cmd.order.slot] =
				g_strdup(cmd.order.adapter);
		}
		fg_node_on_order_done(fx->node, fx->now, cmd.ep.id,
				      cmd.order.id, FG_ORDER_DONE);
		g_free((char *)cmd.order.adapter);
		g_free((char *)cmd.order.version);
	}
}

void nfx_advance(struct node_fixture *fx, fg_ms ms)
{
	for (fg_ms end = fx->now + ms; fx->now < end; fx->now += STEP_MS) {
		answer_ops(fx);
		answer_list(fx);
		answer_state(fx);
		answer_orders(fx);
		fg_node_tick(fx->node, fx->now);
	}
	answer_ops(fx);
}

void nfx_set_list_entry(struct node_fixture *fx, enum fg_list_entry_kind kind,
			const char *name, bool leaving)
{
	struct fg_list_entry item = { .kind = kind, .leaving = leaving };

	g_strlcpy(item.name, name, sizeof(item.name));
	g_strlcpy(item.addr, "127.0.0.1:1", sizeof(item.addr));
	g_strlcpy(item.rpc, "127.0.0.1:2", sizeof(item.rpc));
	g_strlcpy(item.region, "coast", sizeof(item.region));
	g_strlcpy(item.dc, "north", sizeof(item.dc));
	g_strlcpy(item.service,
		  kind == FG_LIST_ENTRY_PLAIN ? "orders" : "menus",
		  sizeof(item.service));
	item.id = fg_hash_str(name);
	for (guint i = 0; i < fx->list->len; i++)
		if (g_array_index(fx->list, struct fg_list_entry, i).id ==
		    item.id) {
			g_array_remove_index(fx->list, i);
			break;
		}
	g_array_append_val(fx->list, item);
}

/* ---- Requests ---- */

void nfx_send_generate(struct node_fixture *fx, uint64_t id,
		       const char *adapter, enum fg_class cls,
		       uint32_t deadline_ms)
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

	fg_node_on_request(fx->node, fx->now, &req);
}

void nfx_send_filing(struct node_fixture *fx, uint64_t id, const char *key,
		     const char *body)
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

	fg_node_on_request(fx->node, fx->now, &req);
}

void nfx_send_status(struct node_fixture *fx, uint64_t id)
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

	fg_node_on_request(fx->node, fx->now, &req);
}

void nfx_finish_run(struct node_fixture *fx, guint i, enum fg_run_status status)
{
	struct fg_run_cmd cmd;
	struct fg_run_result res = { .status = status, .service_ms = 100 };

	g_assert_cmpuint(i, <, fx->runs->len);
	cmd = g_array_index(fx->runs, struct fg_run_cmd, i);
	g_array_remove_index(fx->runs, i);
	res.not_run = status == FG_RUN_NOT_SENT || status == FG_RUN_REFUSED ||
		      status == FG_RUN_NOT_LOADED;
	if (status == FG_RUN_DONE)
		res.text = cmd.run.adapter != NULL ? "text" : "{\"ok\":1}";
	fg_node_on_run_done(fx->node, fx->now, cmd.req, cmd.attempt, &res);
}

const struct nfx_reply *nfx_find_reply(const struct node_fixture *fx,
				       uint64_t id)
{
	const struct nfx_reply *found = NULL;

	for (guint i = 0; i < fx->replies->len; i++) {
		const struct nfx_reply *r = g_ptr_array_index(fx->replies, i);

		if (r->req != id)
			continue;
		g_assert_null(found);
		found = r;
	}
	return found;
}

guint nfx_count_sent(const struct node_fixture *fx, fg_msg_type type)
{
	guint count = 0;

	for (guint i = 0; i < fx->sent->len; i++) {
		const fg_msg *m = g_ptr_array_index(fx->sent, i);

		count += m->body.type == type;
	}
	return count;
}

void nfx_clear_sent(struct node_fixture *fx)
{
	g_ptr_array_set_size(fx->sent, 0);
}

/* ---- Lifetime ---- */

static void free_reply(void *arg)
{
	struct nfx_reply *r = arg;

	g_free(r->text);
	g_free(r->address);
	g_free(r);
}

static void free_msg(void *msg)
{
	fg_msg_free(msg);
}

static void create_node(struct node_fixture *fx)
{
	struct fg_node_conf conf = { 0 };
	struct fg_node_io io = {
		.reply = io_reply,
		.start_run = io_start_run,
		.send_order = io_send_order,
		.read_state = io_read_state,
		.run_table_op = io_run_table_op,
		.read_list = io_read_list,
		.announce = io_announce,
		.send_msg = io_send_msg,
		.answer_change = io_answer_change,
		.record_event = io_record_event,
		.arg = fx,
	};
	struct fg_list_entry *self = &conf.member.self;

	fg_node_conf_defaults(&conf);
	self->kind = FG_LIST_ENTRY_INSTANCE;
	g_strlcpy(self->name, "entry-1", sizeof(self->name));
	g_strlcpy(self->addr, "127.0.0.1:3", sizeof(self->addr));
	g_strlcpy(self->rpc, "127.0.0.1:4", sizeof(self->rpc));
	g_strlcpy(self->region, "coast", sizeof(self->region));
	g_strlcpy(self->dc, "north", sizeof(self->dc));
	self->id = fg_hash_str(self->name);
	conf.member.boot = 7;
	fx->node = fg_node_new(&conf, &io, 42);
}

static void add_catalogue(struct node_fixture *fx)
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

	fg_node_on_change(fx->node, fx->now, 1, change, 0, 5000);
	nfx_advance(fx, 3000);
	g_assert_cmpuint(fx->changes_accepted, ==, 1);
}

struct node_fixture *nfx_new(void)
{
	struct node_fixture *fx = g_new0(struct node_fixture, 1);

	fx->table = fake_table_new();
	fx->replies = g_ptr_array_new_with_free_func(free_reply);
	fx->sent = g_ptr_array_new_with_free_func(free_msg);
	fx->runs = g_array_new(FALSE, TRUE, sizeof(struct fg_run_cmd));
	fx->orders = g_array_new(FALSE, TRUE, sizeof(struct fg_order_cmd));
	fx->list = g_array_new(FALSE, TRUE, sizeof(struct fg_list_entry));
	fx->auto_state = true;
	fx->auto_order = true;
	fx->now = START_MS;
	create_node(fx);
	nfx_set_list_entry(fx, FG_LIST_ENTRY_INSTANCE, "entry-1", false);
	nfx_set_list_entry(fx, FG_LIST_ENTRY_ENGINE, NFX_ENGINE, false);
	nfx_set_list_entry(fx, FG_LIST_ENTRY_PLAIN, NFX_PLAIN, false);
	nfx_advance(fx, STARTUP_MS);
	add_catalogue(fx);
	return fx;
}

void nfx_free(struct node_fixture *fx)
{
	fg_node_free(fx->node);
	g_queue_clear_full(&fx->ops, (GDestroyNotify)fg_table_op_free);
	g_ptr_array_free(fx->replies, TRUE);
	g_ptr_array_free(fx->sent, TRUE);
	g_array_free(fx->runs, TRUE);
	for (guint i = 0; i < fx->orders->len; i++) {
		struct fg_order_cmd *cmd =
			&g_array_index(fx->orders, struct fg_order_cmd, i);

		g_free((char *)cmd->order.adapter);
		g_free((char *)cmd->order.version);
	}
	g_array_free(fx->orders, TRUE);
	g_array_free(fx->list, TRUE);
	for (int i = 0; i < NFX_SLOTS; i++)
		g_free(fx->adapter[i]);
	fake_table_free(fx->table);
	g_free(fx);
}
