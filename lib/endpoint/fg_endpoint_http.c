/* Engines and plain services over HTTP; see docs/PROTOCOL.md, sections 3-4. */
#include "endpoint/fg_endpoint.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "base/fg_rand.h"
#include "http/fg_http.h"

#define ANSWER_MAX_BYTES ((size_t)8 << 20)
#define ERROR_BODY_MAX_BYTES 4096
#define CANCEL_TIMEOUT_MS 500

struct run {
	const struct fg_run_req *req;
	struct fg_answer *answer;
	void (*on_text)(void *arg, const char *piece);
	void *arg;
	uint32_t pieces;
	GString *raw; /* first bytes of the body, which is JSON in a refusal */
};

static bool on_engine_data(void *arg, const char *data, size_t len_bytes)
{
	struct run *run = arg;
	size_t old_len = strlen(fg_answer_text(run->answer));
	bool ok;

	if (run->raw->len < ERROR_BODY_MAX_BYTES)
		g_string_append_len(run->raw, data, (gssize)len_bytes);
	ok = fg_answer_feed(run->answer, data, len_bytes);
	if (run->on_text != NULL &&
	    fg_answer_text(run->answer)[old_len] != '\0') {
		run->on_text(run->arg, fg_answer_text(run->answer) + old_len);
		run->pieces++;
	}
	return ok;
}

static char *pack_engine_body(const struct fg_run_req *req)
{
	json_t *o = json_pack(
		"{s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:i}", "id", req->id, "tag",
		req->tag != NULL ? req->tag : "", "adapter", req->adapter,
		"version", req->version, "prompt", req->body, "max_tokens",
		(int)req->max_tokens, "priority", (int)req->priority,
		"timeout_ms", (int)req->timeout_ms);
	char *text = json_dumps(o, JSON_COMPACT);

	json_decref(o);
	return text;
}

static char *pack_plain_body(const struct fg_run_req *req)
{
	const char *op = req->cls == FG_CLASS_FILING ? "file" : "status";
	json_t *body = json_loads(req->body, JSON_DECODE_ANY, NULL);
	json_t *o;
	char *text;

	o = json_pack("{s:s,s:s,s:s,s:s,s:o}", "id", req->id, "tag",
		      req->tag != NULL ? req->tag : "", "op", op, "key",
		      req->key != NULL ? req->key : "", "body",
		      body != NULL ? body : json_object());
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return text;
}

/* Maps an answer with an HTTP status other than 200. */
static enum fg_run_status classify_refusal(uint32_t status, const char *text,
					   bool *leaving)
{
	json_t *o = json_loads(text != NULL ? text : "", 0, NULL);
	const char *error = json_string_value(json_object_get(o, "error"));
	enum fg_run_status st = FG_RUN_BAD_ANSWER;

	if (status == 404 && g_strcmp0(error, "not_loaded") == 0)
		st = FG_RUN_NOT_LOADED;
	else if ((status == 429 || status == 503 || status == 400) &&
		 error != NULL)
		st = FG_RUN_REFUSED;
	else if (status == 500)
		st = FG_RUN_ERROR;
	*leaving = status == 503 && g_strcmp0(error, "leaving") == 0;
	json_decref(o);
	return st;
}

static enum fg_run_status classify_http_error(enum fg_http_error error)
{
	switch (error) {
	case FG_HTTP_NOT_SENT:
		return FG_RUN_NOT_SENT;
	case FG_HTTP_TIMEOUT:
		return FG_RUN_TIMEOUT;
	case FG_HTTP_CANCELLED:
		return FG_RUN_CANCELLED;
	case FG_HTTP_TOO_LARGE:
		return FG_RUN_BAD_ANSWER;
	default:
		return FG_RUN_LOST;
	}
}

static bool is_provably_not_run(enum fg_run_status st)
{
	return st == FG_RUN_NOT_SENT || st == FG_RUN_REFUSED ||
	       st == FG_RUN_NOT_LOADED;
}

static void cancel_run(const struct fg_list_entry *ep, const char *id)
{
	char *body = g_strdup_printf("{\"id\":\"%s\"}", id);
	struct fg_http_call call = {
		.method = "POST",
		.addr = ep->addr,
		.path = "/v1/cancel",
		.body = body,
		.timeout_ms = CANCEL_TIMEOUT_MS,
	};
	struct fg_http_answer answer;

	fg_http_perform(&call, &answer);
	g_free(answer.text);
	g_free(body);
}

static enum fg_run_status
classify_engine_answer(const struct run *run,
		       const struct fg_http_answer *answer, bool *leaving)
{
	if (answer->status != 0 && answer->status != 200)
		return classify_refusal(answer->status, run->raw->str, leaving);
	if (run->req->unchecked && answer->status == 200)
		return FG_RUN_DONE;
	if (fg_answer_has_error(run->answer))
		return FG_RUN_ERROR;
	if (answer->error == FG_HTTP_OK)
		return fg_answer_is_complete(run->answer) ? FG_RUN_DONE
							  : FG_RUN_BAD_ANSWER;
	return classify_http_error(answer->error);
}

static void run_engine(const struct fg_list_entry *ep,
		       const struct fg_run_req *req,
		       void (*on_text)(void *arg, const char *piece), void *arg,
		       const volatile int *cancel, struct fg_run_result *out)
{
	struct run run = {
		.req = req,
		.answer = fg_answer_new(req),
		.on_text = on_text,
		.arg = arg,
		.raw = g_string_new(NULL),
	};
	char *body = pack_engine_body(req);
	struct fg_http_call call = {
		.method = "POST",
		.addr = ep->addr,
		.path = "/v1/run",
		.body = body,
		.timeout_ms = req->timeout_ms,
		.answer_max_bytes = ANSWER_MAX_BYTES,
		.new_connection = true,
		.on_data = on_engine_data,
		.arg = &run,
		.cancel = cancel,
	};
	struct fg_http_answer answer;

	fg_http_perform(&call, &answer);
	out->status = classify_engine_answer(&run, &answer, &out->leaving);
	if (out->status == FG_RUN_DONE) {
		out->text = g_strdup(fg_answer_text(run.answer));
		out->tokens = fg_answer_tokens(run.answer);
	}
	if (out->status == FG_RUN_TIMEOUT || out->status == FG_RUN_CANCELLED)
		cancel_run(ep, req->id);
	out->n_pieces = run.pieces;
	free(body);
	fg_answer_free(run.answer);
	g_string_free(run.raw, TRUE);
}

/* Returns the result in a plain service's answer. NULL: the answer belongs to
 * another request, or the length that it states does not match. */
static char *read_plain_result(const struct fg_run_req *req, const char *text)
{
	json_t *o = json_loads(text, 0, NULL);
	const char *id = json_string_value(json_object_get(o, "id"));
	json_t *result = json_object_get(o, "result");
	json_t *n = json_object_get(o, "n");
	char *compact = NULL;
	char *out = NULL;

	if (g_strcmp0(id, req->id) == 0 && json_is_object(result)) {
		compact = json_dumps(result, JSON_COMPACT);
		if (json_integer_value(n) == (json_int_t)strlen(compact))
			out = g_strdup(compact);
	}
	free(compact);
	json_decref(o);
	return out;
}

static void run_plain(const struct fg_list_entry *ep,
		      const struct fg_run_req *req, const volatile int *cancel,
		      struct fg_run_result *out)
{
	char *body = pack_plain_body(req);
	struct fg_http_call call = {
		.method = "POST",
		.addr = ep->addr,
		.path = "/v1/call",
		.body = body,
		.timeout_ms = req->timeout_ms,
		.answer_max_bytes = ANSWER_MAX_BYTES,
		.new_connection = true,
		/* A filing that was sent is not cancelled: its answer is
		 * awaited until the deadline. */
		.cancel = req->cls == FG_CLASS_FILING ? NULL : cancel,
	};
	struct fg_http_answer answer;

	fg_http_perform(&call, &answer);
	if (answer.status != 0 && answer.status != 200) {
		out->status = classify_refusal(answer.status, answer.text,
					       &out->leaving);
	} else if (answer.error == FG_HTTP_OK) {
		out->text = read_plain_result(req, answer.text);
		out->status =
			out->text != NULL ? FG_RUN_DONE : FG_RUN_BAD_ANSWER;
	} else {
		out->status = classify_http_error(answer.error);
	}
	g_free(answer.text);
	free(body);
}

static void http_run(const struct fg_list_entry *ep,
		     const struct fg_run_req *req,
		     void (*on_text)(void *arg, const char *piece), void *arg,
		     const volatile int *cancel, struct fg_run_result *out)
{
	fg_ms started_at = fg_clock_now();

	memset(out, 0, sizeof(*out));
	if (req->adapter != NULL)
		run_engine(ep, req, on_text, arg, cancel, out);
	else
		run_plain(ep, req, cancel, out);
	out->not_run = is_provably_not_run(out->status);
	out->service_ms = (uint32_t)(fg_clock_now() - started_at);
}

static enum fg_order_status
classify_order_answer(const struct fg_http_answer *a)
{
	if (a->error == FG_HTTP_NOT_SENT)
		return FG_ORDER_NOT_SENT;
	if (a->error != FG_HTTP_OK)
		return FG_ORDER_LOST;
	switch (a->status) {
	case 200:
		return FG_ORDER_DONE;
	case 409:
		return FG_ORDER_FENCED;
	case 429:
		return FG_ORDER_BUSY;
	default:
		return FG_ORDER_FAILED;
	}
}

static const char *get_order_path(enum fg_order_kind kind)
{
	switch (kind) {
	case FG_ORDER_LOAD:
		return "/v1/load";
	case FG_ORDER_EVICT:
		return "/v1/evict";
	case FG_ORDER_ROLE:
		return "/v1/role";
	}
	return NULL;
}

static enum fg_order_status http_send_order(const struct fg_list_entry *ep,
					    const struct fg_order *order)
{
	json_t *o = json_pack("{s:I,s:i,s:I}", "order", (json_int_t)order->id,
			      "slot", (int)order->slot, "fence",
			      (json_int_t)order->fence);
	struct fg_http_call call = {
		.method = "POST",
		.addr = ep->addr,
		.path = get_order_path(order->kind),
		.timeout_ms = order->timeout_ms,
		.new_connection = true,
	};
	struct fg_http_answer answer;
	char *body;

	if (order->kind == FG_ORDER_LOAD) {
		json_object_set_new(o, "adapter", json_string(order->adapter));
		json_object_set_new(o, "version", json_string(order->version));
	}
	if (order->kind == FG_ORDER_ROLE)
		json_object_set_new(o, "role", json_string("serve"));
	body = json_dumps(o, JSON_COMPACT);
	call.body = body;
	fg_http_perform(&call, &answer);
	g_free(answer.text);
	free(body);
	json_decref(o);
	return classify_order_answer(&answer);
}

static void parse_slots(const json_t *root, struct fg_engine_state *out)
{
	json_t *slot;
	size_t i;

	json_array_foreach(json_object_get(root, "slots"), i, slot)
	{
		struct fg_engine_slot *s = &out->slot[i];
		const char *adapter;
		const char *ver;

		if (i >= FG_LIST_MAX)
			break;
		adapter = json_string_value(json_object_get(slot, "adapter"));
		ver = json_string_value(json_object_get(slot, "version"));
		g_strlcpy(s->adapter, adapter != NULL ? adapter : "",
			  sizeof(s->adapter));
		g_strlcpy(s->version, ver != NULL ? ver : "",
			  sizeof(s->version));
		s->loading = json_is_true(json_object_get(slot, "loading"));
		s->running = (uint32_t)json_integer_value(
			json_object_get(slot, "running"));
		out->slots = (uint32_t)i + 1;
	}
}

static uint64_t read_integer(const json_t *o, const char *name)
{
	return (uint64_t)json_integer_value(json_object_get(o, name));
}

static enum fg_pf_result http_read_state(const struct fg_list_entry *ep,
					 uint32_t timeout_ms,
					 struct fg_engine_state *out)
{
	struct fg_http_call call = {
		.method = "GET",
		.addr = ep->addr,
		.path = "/v1/state",
		.timeout_ms = timeout_ms,
	};
	struct fg_http_answer answer;
	json_t *root;

	memset(out, 0, sizeof(*out));
	fg_http_perform(&call, &answer);
	root = answer.error == FG_HTTP_OK && answer.status == 200
		       ? json_loads(answer.text, 0, NULL)
		       : NULL;
	g_free(answer.text);
	if (root == NULL)
		return FG_PF_DOWN;
	out->epoch = read_integer(root, "epoch");
	out->fence = read_integer(root, "fence");
	out->batch = (uint32_t)read_integer(root, "batch");
	out->checks_fence = json_is_true(json_object_get(root, "checks_fence"));
	out->leaving = json_is_true(json_object_get(root, "leaving"));
	parse_slots(root, out);
	json_decref(root);
	return out->batch > 0 ? FG_PF_OK : FG_PF_BAD_ANSWER;
}

const struct fg_endpoint_ops fg_endpoint_http_ops = {
	.run = http_run,
	.send_order = http_send_order,
	.read_state = http_read_state,
};
