/*
 * standin-plain - simulates the plain service that docs/PROTOCOL.md, section 4,
 * defines.
 *
 * A call takes effect and is logged before the simulated work time, so that a
 * call interrupted during that time has run.
 */
#include <stdlib.h>
#include <string.h>

#include "base/fg_rand.h"
#include "common/si_announce.h"
#include "common/si_http.h"
#include "common/si_log.h"

#define LEAVE_REFUSE_AFTER_MS 10000

static gint work_ms = 20;

static const GOptionEntry options[] = {
	{ "work-ms", 0, 0, G_OPTION_ARG_INT, &work_ms, "Duration of one call",
	  "MS" },
	{ 0 },
};

struct si_plain {
	pthread_mutex_t lock;
	GHashTable *filed; /* set of filing keys */
	fg_ms refuse_after_ms;
};

static json_t *run_filing(struct si_plain *self, const char *key)
{
	char receipt[9];

	g_snprintf(receipt, sizeof(receipt), "%08x",
		   (uint32_t)fg_hash_str(key));
	pthread_mutex_lock(&self->lock);
	g_hash_table_add(self->filed, g_strdup(key));
	pthread_mutex_unlock(&self->lock);
	return json_pack("{s:s, s:s}", "filed", key, "receipt", receipt);
}

static json_t *look_up_status(struct si_plain *self, json_t *body)
{
	const char *key = si_field_str(body, "key");
	bool filed;

	pthread_mutex_lock(&self->lock);
	filed = g_hash_table_contains(self->filed, key);
	pthread_mutex_unlock(&self->lock);
	return json_pack("{s:s, s:b}", "key", key, "filed", filed);
}

static bool is_refusing_calls(struct si_proc *proc)
{
	struct si_plain *self = proc->self;
	fg_ms leaving_ms = si_announce_leaving_ms(proc->announce);
	fg_ms refuse_after_ms;

	pthread_mutex_lock(&self->lock);
	refuse_after_ms = self->refuse_after_ms;
	pthread_mutex_unlock(&self->lock);
	return leaving_ms >= 0 && leaving_ms >= refuse_after_ms;
}

static void log_exec(struct si_req *req, bool ok)
{
	si_log_event(req->proc->log, "exec",
		     json_pack("{s:s, s:s, s:s, s:s, s:b}", "id",
			       si_field_str(req->body, "id"), "tag",
			       si_field_str(req->body, "tag"), "op",
			       si_field_str(req->body, "op"), "key",
			       si_field_str(req->body, "key"), "ok", ok));
}

static enum MHD_Result handle_call(struct si_req *req)
{
	struct si_plain *self = req->proc->self;
	const char *op = si_field_str(req->body, "op");
	bool file = strcmp(op, "file") == 0;
	json_t *result;
	char *text;
	json_int_t len_bytes;

	if (!file && strcmp(op, "status") != 0)
		return si_answer_error(req, 400, "bad_request");
	if (is_refusing_calls(req->proc))
		return si_answer_error(req, 503, "leaving");
	if (file)
		result = run_filing(self, si_field_str(req->body, "key"));
	else
		result = look_up_status(self,
					json_object_get(req->body, "body"));
	log_exec(req, true);
	si_proc_sleep(req->proc, work_ms);
	text = json_dumps(result, JSON_COMPACT);
	len_bytes = (json_int_t)strlen(text);
	free(text);
	return si_answer_json(req, 200,
			      json_pack("{s:s, s:o, s:I}", "id",
					si_field_str(req->body, "id"), "result",
					result, "n", len_bytes));
}

static const struct si_route routes[] = {
	{ "POST", "/v1/call", SI_ROUTE_JSON | SI_ROUTE_WORK, handle_call },
};

static bool start(struct si_proc *proc)
{
	struct si_plain *self = g_new0(struct si_plain, 1);

	pthread_mutex_init(&self->lock, NULL);
	self->filed =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	self->refuse_after_ms = LEAVE_REFUSE_AFTER_MS;
	proc->self = self;
	return true;
}

static void stop(struct si_proc *proc)
{
	(void)proc;
}

static void free_plain(struct si_proc *proc)
{
	struct si_plain *self = proc->self;

	g_hash_table_destroy(self->filed);
	pthread_mutex_destroy(&self->lock);
	g_free(self);
}

static bool control(struct si_proc *proc, const char *op, json_t *body)
{
	struct si_plain *self = proc->self;

	if (strcmp(op, "leave") != 0)
		return false;
	pthread_mutex_lock(&self->lock);
	self->refuse_after_ms =
		si_field_int(body, "refuse_after_ms", LEAVE_REFUSE_AFTER_MS);
	pthread_mutex_unlock(&self->lock);
	si_announce_leave(proc->announce);
	return true;
}

static const struct si_program program = {
	.kind = SI_PLAIN,
	.summary = "Stand-in for a plain service.",
	.options = options,
	.routes = routes,
	.n_routes = G_N_ELEMENTS(routes),
	.start = start,
	.stop = stop,
	.free = free_plain,
	.control = control,
};

int main(int argc, char **argv)
{
	return si_proc_main(&program, argc, argv);
}
