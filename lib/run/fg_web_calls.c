/* Handlers for the paths of the HTTP interface. */
#include <stdarg.h>
#include <string.h>

#include "base/fg_rand.h"
#include "run/fg_run_internal.h"

#define TAG_MAX_BYTES 64
#define KEY_MAX_BYTES 128
#define CALLER_MAX_BYTES 63
#define ADDRESSES_MAX 4
#define TOKENS_DEFAULT 64
#define TOKENS_MAX 16384
#define CHANGE_WAIT_MAX_MS 60000

/* ---- Headers ---- */

struct header_count {
	const char *name;
	uint32_t count;
};

static enum MHD_Result count_header(void *arg, enum MHD_ValueKind kind,
				    const char *name, const char *value)
{
	struct header_count *hc = arg;

	(void)kind;
	(void)value;
	if (g_ascii_strcasecmp(name, hc->name) == 0)
		hc->count++;
	return MHD_YES;
}

/* Returns the value of a header, or NULL if absent. Sets *ok to false if the
 * header occurs more than once or its value is too long. */
static const char *read_header(struct MHD_Connection *c, const char *name,
			       size_t max_bytes, bool *ok)
{
	struct header_count hc = { name, 0 };
	const char *value;

	MHD_get_connection_values(c, MHD_HEADER_KIND, count_header, &hc);
	value = MHD_lookup_connection_value(c, MHD_HEADER_KIND, name);
	if (hc.count > 1 || (value != NULL && strlen(value) > max_bytes))
		*ok = false;
	return value;
}

/* ---- Bodies ---- */

/* A request being parsed. The strings of `req` are owned by the connection,
 * `root` and `body_text`. */
struct call {
	struct fg_run *run;
	struct fg_exchange *x;
	json_t *root;
	struct fg_request req;
	char *body_text;   /* compact JSON of a plain service's body */
	const char *error; /* the first error found; NULL if none */
};

static void __attribute__((format(printf, 2, 3)))
set_error(struct call *call, const char *format, ...)
{
	va_list args;

	if (call->error != NULL)
		return;
	va_start(args, format);
	call->error = g_strdup_vprintf(format, args);
	va_end(args);
}

/* A misspelt field must cause an error and not be ignored. */
static void reject_unknown_fields(struct call *call, const char *const *allowed)
{
	const char *name;
	json_t *value;

	json_object_foreach(call->root, name,
			    value) if (!g_strv_contains(allowed, name))
		set_error(call, "unknown field \"%s\"", name);
}

static const char *read_string(struct call *call, const char *name,
			       bool required)
{
	json_t *value = json_object_get(call->root, name);

	if (json_is_string(value))
		return json_string_value(value);
	if (value != NULL)
		set_error(call, "\"%s\" must be a string", name);
	else if (required)
		set_error(call, "\"%s\" is missing", name);
	return NULL;
}

static uint32_t read_number(struct call *call, const char *name,
			    uint32_t default_value, uint32_t max)
{
	json_t *value = json_object_get(call->root, name);
	json_int_t number;

	if (value == NULL)
		return default_value;
	number = json_integer_value(value);
	if (!json_is_integer(value) || number < 1 || number > max) {
		set_error(call, "\"%s\" must be a whole number from 1 to %u",
			  name, max);
		return default_value;
	}
	return (uint32_t)number;
}

static void parse_common(struct call *call)
{
	const struct fg_limits_settings *limits = &call->run->settings->limits;
	struct MHD_Connection *c = call->x->connection;
	bool ok = true;

	call->req.tag = read_header(c, "X-Request-Id", TAG_MAX_BYTES, &ok);
	if (call->req.tag == NULL)
		call->req.tag = "";
	call->req.caller = read_header(c, "X-Caller", CALLER_MAX_BYTES, &ok);
	call->req.key = read_header(c, "Idempotency-Key", KEY_MAX_BYTES, &ok);
	if (!ok)
		set_error(call, "X-Request-Id, X-Caller or Idempotency-Key is "
				"doubled or too long");
	if (call->req.caller == NULL || call->req.caller[0] == '\0')
		set_error(call, "header X-Caller is missing");
	call->x->tag = g_strdup(call->req.tag);
	call->req.deadline_ms =
		read_number(call, "deadline_ms", limits->deadline_default_ms,
			    limits->deadline_max_ms);
}

static void parse_generate(struct call *call)
{
	static const char *const allowed[] = {
		"adapter", "version",	  "prompt", "max_tokens",
		"class",   "deadline_ms", "stream", NULL,
	};
	const char *cls;
	json_t *stream;
	int parsed;

	reject_unknown_fields(call, allowed);
	call->req.adapter = read_string(call, "adapter", true);
	call->req.version = read_string(call, "version", false);
	call->req.body = read_string(call, "prompt", true);
	call->req.max_tokens =
		read_number(call, "max_tokens", TOKENS_DEFAULT, TOKENS_MAX);
	stream = json_object_get(call->root, "stream");
	if (stream != NULL && !json_is_boolean(stream))
		set_error(call, "\"stream\" must be true or false");
	call->req.stream = json_is_true(stream);
	cls = read_string(call, "class", false);
	parsed = cls != NULL ? fg_class_parse(cls) : FG_CLASS_INTERACTIVE;
	if (parsed != FG_CLASS_INTERACTIVE && parsed != FG_CLASS_DRAFT)
		set_error(call, "\"class\" must be interactive or draft");
	call->req.cls = (enum fg_class)parsed;
}

static void parse_plain(struct call *call, enum fg_class cls)
{
	static const char *const allowed[] = { "service", "body", "deadline_ms",
					       NULL };
	json_t *body = json_object_get(call->root, "body");

	reject_unknown_fields(call, allowed);
	call->req.cls = cls;
	call->req.service = read_string(call, "service", true);
	if (!json_is_object(body))
		set_error(call, "\"body\" must be an object");
	else
		call->body_text =
			json_dumps(body, JSON_COMPACT | JSON_SORT_KEYS);
	call->req.body = call->body_text;
	if (cls != FG_CLASS_FILING)
		call->req.key = NULL;
}

static void call_free(struct call *call)
{
	json_decref(call->root);
	free(call->body_text);
	g_free((char *)call->error);
}

static bool submit_request(struct call *call, const char *path,
			   uint32_t *status, char **text)
{
	struct fg_run *run = call->run;

	parse_common(call);
	if (strcmp(path, "/v1/generate") == 0)
		parse_generate(call);
	else
		parse_plain(call, strcmp(path, "/v1/filings") == 0
					  ? FG_CLASS_FILING
					  : FG_CLASS_STATUS);
	if (call->error != NULL) {
		*status = 400;
		*text = fg_web_error_json(call->x->tag, FG_R_BAD_REQUEST,
					  call->error);
		return false;
	}
	call->req.id = call->x->id;
	call->x->stream = call->req.stream;
	call->x->plain = call->req.adapter == NULL;
	call->x->cls = (int)call->req.cls;
	call->x->began_ms = fg_clock_now();
	fg_run_add_exchange(run, call->x);
	fg_run_lock(run);
	fg_node_on_request(run->node, fg_clock_now(), &call->req);
	fg_run_unlock(run);
	return true;
}

/* ---- Operators ---- */

static bool submit_change(struct call *call, uint32_t *status, char **text)
{
	static const char *const allowed[] = { "change", "expect_revision",
					       "wait_ms", NULL };
	struct fg_run *run = call->run;
	json_t *change = json_object_get(call->root, "change");
	json_t *expect = json_object_get(call->root, "expect_revision");
	uint32_t wait_ms = read_number(call, "wait_ms",
				       run->settings->timing.change_wait_ms,
				       CHANGE_WAIT_MAX_MS);
	char *change_text;

	reject_unknown_fields(call, allowed);
	if (!json_is_object(change))
		set_error(call, "\"change\" must be an object");
	if (call->error != NULL) {
		*status = 400;
		*text = fg_web_error_json(NULL, FG_R_BAD_REQUEST, call->error);
		return false;
	}
	change_text = json_dumps(change, JSON_COMPACT);
	fg_run_add_exchange(run, call->x);
	fg_run_lock(run);
	fg_node_on_change(run->node, fg_clock_now(), call->x->id, change_text,
			  (uint64_t)json_integer_value(expect), wait_ms);
	fg_run_unlock(run);
	free(change_text);
	return true;
}

static bool clear_suspect(struct call *call, uint32_t *status, char **text)
{
	const char *hex = read_string(call, "fingerprint", true);
	bool cleared = false;

	*status = call->error != NULL ? 400 : 200;
	if (call->error != NULL) {
		*text = fg_web_error_json(NULL, FG_R_BAD_REQUEST, call->error);
		return false;
	}
	fg_run_lock(call->run);
	cleared = fg_node_clear_suspect(call->run->node,
					g_ascii_strtoull(hex, NULL, 16));
	fg_run_unlock(call->run);
	*text = g_strdup_printf("{\"cleared\":%s}", cleared ? "true" : "false");
	return false;
}

/* Test hook: cuts or restores the link to another instance. */
static bool cut_link(struct call *call, uint32_t *status, char **text)
{
	const char *name = read_string(call, "name", true);
	bool cut = json_is_true(json_object_get(call->root, "cut"));

	*status = call->error != NULL ? 400 : 200;
	if (call->error == NULL)
		fg_peer_set_cut(call->run->peer, fg_hash_str(name), cut);
	*text = g_strdup("{}");
	return false;
}

/* ---- POST ---- */

static bool is_request_path(const char *path)
{
	return strcmp(path, "/v1/generate") == 0 ||
	       strcmp(path, "/v1/filings") == 0 ||
	       strcmp(path, "/v1/status") == 0;
}

bool fg_web_submit(struct fg_run *run, struct fg_exchange *x, const char *path,
		   uint32_t *status, char **text)
{
	struct call call = { .run = run, .x = x };
	bool pending = false;

	call.root = json_loadb(x->body->str, x->body->len,
			       JSON_REJECT_DUPLICATES, NULL);
	if (!json_is_object(call.root)) {
		*status = 400;
		*text = fg_web_error_json(NULL, FG_R_BAD_REQUEST,
					  "the body is not a JSON object");
	} else if (is_request_path(path)) {
		pending = submit_request(&call, path, status, text);
	} else if (strcmp(path, "/v1/admin/change") == 0) {
		pending = submit_change(&call, status, text);
	} else if (strcmp(path, "/v1/admin/suspects/clear") == 0) {
		pending = clear_suspect(&call, status, text);
	} else if (run->test_hooks && strcmp(path, "/v1/test/cut") == 0) {
		pending = cut_link(&call, status, text);
	} else {
		*status = 404;
		*text = fg_web_error_json(NULL, FG_R_BAD_REQUEST,
					  "no such path");
	}
	call_free(&call);
	return pending;
}

/* ---- GET ---- */

static char *dump_json(json_t *o, size_t flags)
{
	char *dumped = json_dumps(o, flags);
	char *text = g_strdup(dumped);

	free(dumped);
	json_decref(o);
	return text;
}

static char *get_addresses(struct fg_run *run, struct MHD_Connection *c)
{
	const char *adapter = MHD_lookup_connection_value(
		c, MHD_GET_ARGUMENT_KIND, "adapter");
	const char *service = MHD_lookup_connection_value(
		c, MHD_GET_ARGUMENT_KIND, "service");
	char addresses[ADDRESSES_MAX][FG_ADDR_BYTES];
	json_t *list = json_array();
	uint32_t ttl_ms;
	size_t n;

	fg_run_lock(run);
	n = fg_node_find_addresses(run->node, fg_clock_now(), adapter, service,
				   addresses, ADDRESSES_MAX);
	ttl_ms = fg_node_address_ttl_ms(run->node);
	fg_run_unlock(run);
	for (size_t i = 0; i < n; i++)
		json_array_append_new(list, json_string(addresses[i]));
	return dump_json(json_pack("{s:o,s:i}", "addresses", list, "ttl_ms",
				   (int)ttl_ms),
			 JSON_COMPACT);
}

static char *get_state(struct fg_run *run)
{
	json_t *dump;

	fg_run_lock(run);
	dump = fg_node_dump(run->node, fg_clock_now());
	fg_run_unlock(run);
	return dump_json(dump, JSON_INDENT(2));
}

static char *get_catalogue(struct fg_run *run)
{
	char *text;

	fg_run_lock(run);
	text = fg_node_catalogue(run->node);
	fg_run_unlock(run);
	return text;
}

char *fg_web_get(struct fg_run *run, struct MHD_Connection *c, const char *path,
		 uint32_t *status)
{
	*status = 200;
	if (strcmp(path, "/v1/address") == 0)
		return get_addresses(run, c);
	if (strcmp(path, "/v1/state") == 0)
		return get_state(run);
	if (strcmp(path, "/v1/admin/catalogue") == 0)
		return get_catalogue(run);
	if (strcmp(path, "/metrics") == 0)
		return fg_run_render_metrics(run);
	return NULL;
}
