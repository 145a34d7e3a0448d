/*
 * standin-engine - simulates the model engine that docs/PROTOCOL.md, section 3,
 * defines.
 */
#include <stdlib.h>
#include <string.h>

#include "base/fg_rand.h"
#include "common/si_announce.h"
#include "engine/si_engine.h"

#define REPORT_INTERVAL_MS 500
#define LEAVE_REFUSE_AFTER_MS 10000

static gint slots = 8;
static gint batch = 8;
static gint token_ms = 5;
static gboolean checks_fence;

static const GOptionEntry options[] = {
	{ "slots", 0, 0, G_OPTION_ARG_INT, &slots, "Adapter slots", "N" },
	{ "batch", 0, 0, G_OPTION_ARG_INT, &batch,
	  "Requests that run concurrently", "N" },
	{ "token-ms", 0, 0, G_OPTION_ARG_INT, &token_ms,
	  "Duration of one batch step", "MS" },
	{ "checks-fence", 0, 0, G_OPTION_ARG_NONE, &checks_fence,
	  "Refuse orders with an old fencing number", NULL },
	{ 0 },
};

void si_engine_restart(struct si_engine *e)
{
	si_batch_cut_all(e);
	si_slots_clear(e);
	si_prefix_clear(e->prefix);
	e->fence = 0;
	e->epoch++;
	si_log_event(e->proc->log, "restart",
		     json_pack("{s:I}", "epoch", (json_int_t)e->epoch));
}

static enum MHD_Result cancel_run(struct si_req *req)
{
	struct si_engine *e = si_engine_of(req);

	pthread_mutex_lock(&e->lock);
	si_batch_cancel(e, si_field_str(req->body, "id"));
	pthread_mutex_unlock(&e->lock);
	return si_answer_json(req, 200, json_pack("{s:b}", "ok", 1));
}

static json_t *slots_json(const struct si_engine *e)
{
	json_t *list = json_array();

	for (uint32_t i = 0; i < e->n_slots; i++) {
		const struct si_slot *slot = &e->slots[i];

		json_array_append_new(
			list, json_pack("{s:s, s:s, s:b, s:i}", "adapter",
					slot->adapter, "version", slot->version,
					"loading", slot->loading, "running",
					(int)slot->running));
	}
	return list;
}

static void append_runs(json_t *list, const GPtrArray *runs)
{
	for (guint i = 0; i < runs->len; i++) {
		const struct si_run *run = g_ptr_array_index(runs, i);

		json_array_append_new(list,
				      json_pack("{s:s, s:s}", "id", run->id,
						"tag", run->tag));
	}
}

static enum MHD_Result get_state(struct si_req *req)
{
	struct si_engine *e = si_engine_of(req);
	bool leaving = si_announce_leaving_ms(req->proc->announce) >= 0;
	json_t *running = json_array();
	json_t *state;

	pthread_mutex_lock(&e->lock);
	append_runs(running, e->running);
	append_runs(running, e->queue);
	state = json_pack("{s:I, s:I, s:b, s:b, s:i, s:o, s:o}", "epoch",
			  (json_int_t)e->epoch, "fence", (json_int_t)e->fence,
			  "checks_fence", e->checks_fence, "leaving", leaving,
			  "batch", (int)e->batch, "slots", slots_json(e),
			  "running", running);
	pthread_mutex_unlock(&e->lock);
	return si_answer_json(req, 200, state);
}

/* Returns the previous sample and takes a new one when it is old enough: the
 * report of an engine lags behind its load. */
static enum MHD_Result get_report(struct si_req *req)
{
	struct si_engine *e = si_engine_of(req);
	fg_ms now = fg_clock_now();
	json_t *report;

	pthread_mutex_lock(&e->lock);
	report = json_pack("{s:i, s:i, s:I}", "in_use", (int)e->report.in_use,
			   "queued", (int)e->report.queued, "age_ms",
			   (json_int_t)(now - e->report.sampled_at));
	if (now - e->report.sampled_at >= REPORT_INTERVAL_MS) {
		e->report.in_use = e->running->len;
		e->report.queued = e->queue->len;
		e->report.sampled_at = now;
	}
	pthread_mutex_unlock(&e->lock);
	return si_answer_json(req, 200, report);
}

static enum MHD_Result get_events(struct si_req *req)
{
	struct si_engine *e = si_engine_of(req);
	const char *after = si_query_arg(req, "after");
	json_t *events;

	pthread_mutex_lock(&e->lock);
	events = si_prefix_events(e->prefix,
				  after ? strtoull(after, NULL, 10) : 0);
	pthread_mutex_unlock(&e->lock);
	return si_answer_json(req, 200, events);
}

static const struct si_route routes[] = {
	{ "POST", "/v1/run", SI_ROUTE_JSON | SI_ROUTE_WORK, si_stream_run },
	{ "POST", "/v1/cancel", SI_ROUTE_JSON, cancel_run },
	{ "POST", "/v1/load", SI_ROUTE_JSON, si_slots_load },
	{ "POST", "/v1/evict", SI_ROUTE_JSON, si_slots_evict },
	{ "POST", "/v1/role", SI_ROUTE_JSON, si_slots_role },
	{ "GET", "/v1/state", 0, get_state },
	{ "GET", "/v1/report", 0, get_report },
	{ "GET", "/v1/events", 0, get_events },
};

/* Higher than the epoch of any earlier process of this name. */
static uint64_t new_epoch(void)
{
	return (uint64_t)fg_clock_wall() * 1000;
}

static bool start(struct si_proc *proc)
{
	struct si_engine *e;

	if (slots < 1 || slots > SI_SLOTS_MAX || batch < 1 || token_ms < 1)
		return false;
	e = g_new0(struct si_engine, 1);
	e->proc = proc;
	e->epoch = new_epoch();
	e->checks_fence = checks_fence;
	e->n_slots = (uint32_t)slots;
	e->batch = (uint32_t)batch;
	e->token_ms = (uint32_t)token_ms;
	e->refuse_after_ms = LEAVE_REFUSE_AFTER_MS;
	e->poison = g_strdup("");
	e->report.sampled_at = fg_clock_now();
	e->prefix = si_prefix_new();
	pthread_mutex_init(&e->lock, NULL);
	si_cond_init(&e->wakeup);
	si_slots_init(e);
	proc->self = e;
	return si_batch_start(e);
}

static void stop(struct si_proc *proc)
{
	si_batch_stop(proc->self);
}

static void free_engine(struct si_proc *proc)
{
	struct si_engine *e = proc->self;

	si_batch_free(e);
	si_slots_free(e);
	si_prefix_free(e->prefix);
	g_free(e->poison);
	pthread_mutex_destroy(&e->lock);
	pthread_cond_destroy(&e->wakeup);
	g_free(e);
}

static void op_leave(struct si_engine *e, json_t *body)
{
	e->refuse_after_ms =
		si_field_int(body, "refuse_after_ms", LEAVE_REFUSE_AFTER_MS);
	si_announce_leave(e->proc->announce);
}

static void op_poison(struct si_engine *e, json_t *body)
{
	g_free(e->poison);
	e->poison = g_strdup(si_field_str(body, "word"));
	e->poison_restarts = json_is_true(json_object_get(body, "restart"));
}

static void op_restart(struct si_engine *e, json_t *body)
{
	(void)body;
	si_engine_restart(e);
}

static void op_late_order(struct si_engine *e, json_t *body)
{
	e->order_delay_ms = si_field_int(body, "ms", 0);
	e->delayed_orders = (uint32_t)si_field_int(body, "count", 1);
}

static void op_cross(struct si_engine *e, json_t *body)
{
	(void)body;
	e->cross_armed = true;
}

static const struct {
	const char *name;
	void (*fn)(struct si_engine *e, json_t *body);
} ops[] = {
	{ "leave", op_leave },		 { "poison", op_poison },
	{ "restart_empty", op_restart }, { "late_order", op_late_order },
	{ "cross", op_cross },
};

static bool control(struct si_proc *proc, const char *op, json_t *body)
{
	struct si_engine *e = proc->self;

	for (size_t i = 0; i < G_N_ELEMENTS(ops); i++) {
		if (strcmp(ops[i].name, op) != 0)
			continue;
		pthread_mutex_lock(&e->lock);
		ops[i].fn(e, body);
		pthread_mutex_unlock(&e->lock);
		return true;
	}
	return false;
}

static const struct si_program program = {
	.kind = SI_ENGINE,
	.summary = "Stand-in for a model engine.",
	.options = options,
	.routes = routes,
	.n_routes = G_N_ELEMENTS(routes),
	.start = start,
	.stop = stop,
	.free = free_engine,
	.control = control,
};

int main(int argc, char **argv)
{
	return si_proc_main(&program, argc, argv);
}
