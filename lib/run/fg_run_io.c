/* The node's callbacks. Work that blocks runs on pools of threads. */
#include <string.h>

#include "log/fg_log.h"
#include "run/fg_run_internal.h"

#define STATE_TIMEOUT_MS 1000
#define ORDER_AGE_MAX_MS 1000 /* older orders are not sent */

/* ---- Requests ---- */

struct run_job {
	struct fg_run *run;
	struct fg_run_cmd cmd;
	fg_ms queued_at;
	struct fg_exchange *exchange; /* NULL if the caller was gone */
};

static void on_piece(void *arg, const char *piece)
{
	struct run_job *job = arg;
	json_t *o = json_pack("{s:s}", "t", piece);
	char *text = json_dumps(o, JSON_COMPACT);
	char *line = g_strconcat(text, "\n", NULL);

	fg_exchange_add_piece(job->exchange, line);
	g_free(line);
	free(text);
	json_decref(o);
}

/* Subtracts the time that the job waited for a thread from its time limit.
 * Returns false if none is left. */
static bool subtract_queue_time(struct run_job *job)
{
	fg_ms waited = fg_clock_now() - job->queued_at;

	if (waited >= job->cmd.run.timeout_ms)
		return false;
	job->cmd.run.timeout_ms -= (uint32_t)waited;
	return true;
}

static void free_run_job(struct run_job *job)
{
	fg_exchange_unref(job->exchange);
	g_free(job);
}

static void execute_run(void *arg)
{
	struct run_job *job = arg;
	struct fg_run *run = job->run;
	struct fg_exchange *x = job->exchange;
	bool stream = x != NULL && job->cmd.run.stream;
	struct fg_run_result res = { .status = FG_RUN_NOT_SENT,
				     .not_run = true };

	if (subtract_queue_time(job))
		run->endpoints->run(&job->cmd.ep, &job->cmd.run,
				    stream ? on_piece : NULL, job,
				    x != NULL ? &x->cancel : NULL, &res);
	fg_run_lock(run);
	fg_node_on_run_done(run->node, fg_clock_now(), job->cmd.req,
			    job->cmd.attempt, &res);
	fg_run_unlock(run);
	g_free(res.text);
	free_run_job(job);
}

static void io_start_run(void *arg, const struct fg_run_cmd *cmd)
{
	struct fg_run *run = arg;
	struct run_job *job = g_new0(struct run_job, 1);

	job->run = run;
	job->cmd = *cmd;
	job->queued_at = fg_clock_now();
	job->exchange = fg_run_find_exchange(run, cmd->req);
	if (!fg_pool_submit(run->run_pool, execute_run, job))
		free_run_job(job);
}

static void io_reply(void *arg, uint64_t id, const struct fg_reply *reply)
{
	struct fg_run *run = arg;
	struct fg_exchange *x = fg_run_find_exchange(run, id);
	char *text;

	if (reply->outcome != FG_DONE)
		fg_log(FG_LOG_INFO, "request", "ended", "outcome",
		       fg_outcome_name(reply->outcome), "reason",
		       fg_reason_code(reply->reason), NULL);
	if (x == NULL)
		return;
	if (x->cls >= 0 && reply->outcome == FG_DONE)
		fg_hist_add(run->latency_ms[x->cls],
			    (uint64_t)(fg_clock_now() - x->began_ms));
	text = fg_web_reply_json(x->tag, x->plain, reply);
	fg_exchange_finish(x, fg_http_status(reply->outcome, reply->reason),
			   reply->retry_after_ms, text);
	g_free(text);
	fg_run_remove_exchange(run, id);
	fg_exchange_unref(x);
}

/* ---- Engines: orders and reads of state ---- */

struct order_job {
	struct fg_run *run;
	struct fg_list_entry ep;
	struct fg_order order;
	fg_ms queued_at;
	char *adapter;
	char *version;
};

static void free_order_job(struct order_job *job)
{
	g_free(job->adapter);
	g_free(job->version);
	g_free(job);
}

static void execute_order(void *arg)
{
	struct order_job *job = arg;
	enum fg_order_status status;

	/* The node checked its lease when it queued the order. A process that
	 * was paused in between may have lost the lease. */
	if (fg_clock_now() - job->queued_at <= ORDER_AGE_MAX_MS)
		status = job->run->endpoints->send_order(&job->ep, &job->order);
	else
		status = FG_ORDER_NOT_SENT;
	fg_run_lock(job->run);
	fg_node_on_order_done(job->run->node, fg_clock_now(), job->ep.id,
			      job->order.id, status);
	fg_run_unlock(job->run);
	free_order_job(job);
}

static void io_send_order(void *arg, const struct fg_order_cmd *cmd)
{
	struct fg_run *run = arg;
	struct order_job *job = g_new0(struct order_job, 1);

	job->run = run;
	job->ep = cmd->ep;
	job->order = cmd->order;
	job->queued_at = fg_clock_now();
	job->adapter = g_strdup(cmd->order.adapter);
	job->version = g_strdup(cmd->order.version);
	job->order.adapter = job->adapter;
	job->order.version = job->version;
	if (run->settings->switches.no_fence)
		job->order.fence = 0;
	if (!fg_pool_submit(run->engine_pool, execute_order, job))
		free_order_job(job);
}

struct state_job {
	struct fg_run *run;
	struct fg_list_entry ep;
};

static void execute_state_read(void *arg)
{
	struct state_job *job = arg;
	struct fg_engine_state *st = g_new0(struct fg_engine_state, 1);
	fg_ms asked_at = fg_clock_now();
	enum fg_pf_result result;

	result =
		job->run->endpoints->read_state(&job->ep, STATE_TIMEOUT_MS, st);
	fg_run_lock(job->run);
	fg_node_on_engine_state(job->run->node, fg_clock_now(), job->ep.id,
				asked_at, result == FG_PF_OK ? st : NULL);
	fg_run_unlock(job->run);
	g_free(st);
	g_free(job);
}

static void io_read_state(void *arg, const struct fg_list_entry *ep)
{
	struct fg_run *run = arg;
	struct state_job *job = g_new0(struct state_job, 1);

	job->run = run;
	job->ep = *ep;
	if (!fg_pool_submit(run->engine_pool, execute_state_read, job))
		g_free(job);
}

/* ---- Platform ---- */

struct table_job {
	struct fg_run *run;
	struct fg_table_op *op;
};

static void free_table_job(struct table_job *job)
{
	fg_table_op_free(job->op);
	g_free(job);
}

static void execute_table_op(void *arg)
{
	struct table_job *job = arg;
	struct fg_platform *p = job->run->platform;
	struct fg_table_result *res = p->ops->run_op(p, job->op);

	fg_run_lock(job->run);
	fg_node_on_table_done(job->run->node, fg_clock_now(), res);
	fg_run_unlock(job->run);
	fg_table_result_free(res);
	free_table_job(job);
}

static void io_run_table_op(void *arg, struct fg_table_op *op)
{
	struct fg_run *run = arg;
	struct table_job *job = g_new0(struct table_job, 1);

	job->run = run;
	job->op = op;
	if (!fg_pool_submit(run->platform_pool, execute_table_op, job))
		free_table_job(job);
}

static void execute_list_read(void *arg)
{
	struct fg_run *run = arg;
	struct fg_list_entry *list;
	size_t n;
	enum fg_pf_result result;

	result = run->platform->ops->read_list(run->platform, &list, &n);
	fg_run_lock(run);
	fg_node_on_list_done(run->node, fg_clock_now(), result, list, n);
	fg_run_unlock(run);
	g_free(list);
}

static void io_read_list(void *arg)
{
	struct fg_run *run = arg;

	fg_pool_submit(run->platform_pool, execute_list_read, run);
}

struct announce_job {
	struct fg_run *run;
	bool leaving;
};

static void execute_announce(void *arg)
{
	struct announce_job *job = arg;
	struct fg_list_entry self = job->run->self;

	self.leaving = job->leaving;
	job->run->platform->ops->announce(job->run->platform, &self);
	g_free(job);
}

static void io_announce(void *arg, bool leaving)
{
	struct fg_run *run = arg;
	struct announce_job *job = g_new0(struct announce_job, 1);

	job->run = run;
	job->leaving = leaving;
	if (!fg_pool_submit(run->platform_pool, execute_announce, job))
		g_free(job);
}

/* ---- Messages, answers to operators, events ---- */

static void io_send_msg(void *arg, const struct fg_list_entry *to,
			const fg_msg *msg)
{
	struct fg_run *run = arg;

	fg_peer_send(run->peer, to->id, to->rpc, msg);
}

static void io_answer_change(void *arg, uint64_t id,
			     enum fg_change_status status, uint64_t revision,
			     const char *text)
{
	static const struct {
		const char *name;
		uint32_t http;
	} answers[] = {
		[FG_CHANGE_ACCEPTED] = { "accepted", 200 },
		[FG_CHANGE_PENDING] = { "pending", 202 },
		[FG_CHANGE_CONFLICT] = { "conflict", 409 },
		[FG_CHANGE_INVALID] = { "invalid", 400 },
		[FG_CHANGE_DOWN] = { "down", 503 },
		[FG_CHANGE_UNKNOWN] = { "unknown", 504 },
	};
	struct fg_run *run = arg;
	struct fg_exchange *x = fg_run_find_exchange(run, id);
	json_t *o;
	char *out;

	if (x == NULL)
		return;
	o = json_pack("{s:s,s:I,s:s}", "status", answers[status].name,
		      "revision", (json_int_t)revision, "detail",
		      text != NULL ? text : "");
	out = json_dumps(o, JSON_COMPACT);
	fg_exchange_finish(x, answers[status].http, 0, out);
	free(out);
	json_decref(o);
	fg_run_remove_exchange(run, id);
	fg_exchange_unref(x);
}

/* Events of normal request handling are logged at debug level only. The history
 * records every event. */
static bool is_routine(const char *name)
{
	return strcmp(name, "dispatch") == 0 || strcmp(name, "grant") == 0 ||
	       strcmp(name, "load") == 0;
}

static void io_record_event(void *arg, const char *name, json_t *fields)
{
	struct fg_run *run = arg;
	enum fg_log_level level = is_routine(name) ? FG_LOG_DEBUG : FG_LOG_INFO;
	char *text;

	if (fg_log_enabled(level)) {
		text = json_dumps(fields, JSON_COMPACT);
		fg_log(level, "node", name, "fields", text, NULL);
		free(text);
	}
	fg_history_add(run->history, name, fields);
}

void fg_run_fill_node_io(struct fg_run *run, struct fg_node_io *io)
{
	io->reply = io_reply;
	io->start_run = io_start_run;
	io->send_order = io_send_order;
	io->read_state = io_read_state;
	io->run_table_op = io_run_table_op;
	io->read_list = io_read_list;
	io->announce = io_announce;
	io->send_msg = io_send_msg;
	io->answer_change = io_answer_change;
	io->record_event = io_record_event;
	io->arg = run;
}
