#include "common/si_http.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/si_fault.h"

#define CONN_STACK_BYTES ((size_t)256 << 10)
#define CONN_LIMIT 2000
#define LISTEN_BACKLOG 512
#define BODY_MAX_BYTES ((size_t)4 << 20)

struct si_http {
	struct si_proc *proc;
	struct MHD_Daemon *daemon;
	const struct si_route *routes;
	size_t n_routes;
	bool faults_apply;
};

const char *si_query_arg(struct si_req *req, const char *name)
{
	return MHD_lookup_connection_value(req->conn, MHD_GET_ARGUMENT_KIND,
					   name);
}

const char *si_field_str(json_t *obj, const char *name)
{
	const char *s = json_string_value(json_object_get(obj, name));

	return s ? s : "";
}

int64_t si_field_int(json_t *obj, const char *name, int64_t fallback)
{
	json_t *v = json_object_get(obj, name);

	return json_is_integer(v) ? json_integer_value(v) : fallback;
}

enum MHD_Result si_close_connection(struct si_req *req)
{
	(void)req;
	return MHD_NO;
}

enum MHD_Result si_answer_response(struct si_req *req, uint32_t status,
				   struct MHD_Response *response)
{
	enum MHD_Result ret;

	MHD_add_response_header(response, "Content-Type", "application/json");
	ret = MHD_queue_response(req->conn, status, response);
	MHD_destroy_response(response);
	return ret;
}

/* A body of which only the first half is sent. */
struct truncated_body {
	char *text;
	size_t len_bytes;
};

static ssize_t read_truncated(void *arg, uint64_t pos, char *buf, size_t max)
{
	struct truncated_body *body = arg;
	size_t n = body->len_bytes / 2;

	if (pos >= n)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	n -= pos;
	if (n > max)
		n = max;
	memcpy(buf, body->text + pos, n);
	return (ssize_t)n;
}

static void free_truncated(void *arg)
{
	struct truncated_body *body = arg;

	g_free(body->text);
	g_free(body);
}

static struct MHD_Response *truncated_response(char *text)
{
	struct truncated_body *body = g_new0(struct truncated_body, 1);

	body->text = text;
	body->len_bytes = strlen(text);
	return MHD_create_response_from_callback(
		body->len_bytes, 1024, read_truncated, body, free_truncated);
}

static struct MHD_Response *text_response(char *text)
{
	struct MHD_Response *response;

	response = MHD_create_response_from_buffer(strlen(text), text,
						   MHD_RESPMEM_MUST_COPY);
	g_free(text);
	return response;
}

enum MHD_Result si_answer_text(struct si_req *req, uint32_t status, char *text)
{
	struct si_fault *fault = req->proc->fault;
	bool work = req->faults_apply && (req->route->flags & SI_ROUTE_WORK);

	if (req->faults_apply &&
	    !si_fault_before_answer(fault, req->path, req->raw->str)) {
		g_free(text);
		return si_close_connection(req);
	}
	if (work && si_fault_consume(fault, SI_FAULT_GARBLE)) {
		g_free(text);
		text = g_strdup(SI_GARBLE_TEXT);
	}
	if (work && si_fault_consume(fault, SI_FAULT_TRUNCATE))
		return si_answer_response(req, status,
					  truncated_response(text));
	return si_answer_response(req, status, text_response(text));
}

enum MHD_Result si_answer_json(struct si_req *req, uint32_t status,
			       json_t *body)
{
	char *dump = json_dumps(body, JSON_COMPACT);
	char *text = g_strdup(dump);

	free(dump);
	json_decref(body);
	return si_answer_text(req, status, text);
}

enum MHD_Result si_answer_error(struct si_req *req, uint32_t status,
				const char *code)
{
	return si_answer_json(req, status, json_pack("{s:s}", "error", code));
}

enum MHD_Result si_answer_retry_later(struct si_req *req, uint32_t status,
				      const char *code, fg_ms retry_after_ms)
{
	return si_answer_json(req, status,
			      json_pack("{s:s, s:I}", "error", code,
					"retry_after_ms",
					(json_int_t)retry_after_ms));
}

static bool route_matches(const struct si_route *route, const char *method,
			  const char *path)
{
	if (strcmp(route->method, method) != 0)
		return false;
	if (route->flags & SI_ROUTE_PREFIX)
		return g_str_has_prefix(path, route->path);
	return strcmp(route->path, path) == 0;
}

static const struct si_route *find_route(const struct si_http *http,
					 const char *method, const char *path)
{
	for (size_t i = 0; i < http->n_routes; i++)
		if (route_matches(&http->routes[i], method, path))
			return &http->routes[i];
	return NULL;
}

static enum MHD_Result run_handler(struct si_req *req)
{
	struct si_fault *fault = req->proc->fault;

	if (req->route->flags & SI_ROUTE_JSON) {
		req->body = json_loadb(req->raw->str, req->raw->len, 0, NULL);
		if (!json_is_object(req->body))
			return si_answer_error(req, 400, "bad_request");
	}
	if (req->faults_apply) {
		if (!si_fault_before_run(fault, req->instance))
			return si_close_connection(req);
		if (si_fault_is_outage(fault))
			return si_answer_error(req, 503, "outage");
		if ((req->route->flags & SI_ROUTE_WORK) &&
		    si_fault_consume(fault, SI_FAULT_REFUSE))
			return si_answer_error(req, 429, "full");
	}
	return req->route->fn(req);
}

static struct si_req *new_req(struct si_http *http, struct MHD_Connection *conn,
			      const char *path, const char *method)
{
	struct si_req *req = g_new0(struct si_req, 1);
	const char *instance;

	instance = MHD_lookup_connection_value(conn, MHD_HEADER_KIND,
					       "X-Instance");
	req->proc = http->proc;
	req->conn = conn;
	req->path = path;
	req->instance = instance ? instance : "";
	req->raw = g_string_new(NULL);
	req->faults_apply = http->faults_apply;
	req->route = find_route(http, method, path);
	return req;
}

static enum MHD_Result on_request(void *arg, struct MHD_Connection *conn,
				  const char *path, const char *method,
				  const char *http_version, const char *data,
				  size_t *len_bytes, void **state)
{
	static const struct si_route unknown = { 0 };
	struct si_req *req = *state;

	(void)http_version;
	if (!req) {
		*state = new_req(arg, conn, path, method);
		return MHD_YES;
	}
	if (*len_bytes > 0) {
		if (req->raw->len + *len_bytes > BODY_MAX_BYTES)
			return MHD_NO;
		g_string_append_len(req->raw, data, (gssize)*len_bytes);
		*len_bytes = 0;
		return MHD_YES;
	}
	if (!req->route) {
		req->route = &unknown;
		return si_answer_error(req, 404, "no_such_call");
	}
	return run_handler(req);
}

static void on_completed(void *arg, struct MHD_Connection *conn, void **state,
			 enum MHD_RequestTerminationCode code)
{
	struct si_req *req = *state;

	(void)arg;
	(void)conn;
	(void)code;
	if (!req)
		return;
	if (req->on_done)
		req->on_done(req->done_arg);
	json_decref(req->body);
	g_string_free(req->raw, TRUE);
	g_free(req);
	*state = NULL;
}

static bool parse_addr(const char *addr, struct sockaddr_in *out)
{
	char *ip = g_strdup(addr);
	char *colon = strrchr(ip, ':');
	bool ok = false;

	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	if (colon) {
		*colon = '\0';
		out->sin_port = htons((uint16_t)atoi(colon + 1));
		ok = out->sin_port != 0 &&
		     inet_pton(AF_INET, ip, &out->sin_addr) == 1;
	}
	g_free(ip);
	return ok;
}

struct si_http *si_http_start(struct si_proc *proc, const char *addr,
			      const struct si_route *routes, size_t n_routes,
			      bool faults_apply)
{
	struct si_http *http;
	struct sockaddr_in sa;

	if (!parse_addr(addr, &sa)) {
		fprintf(stderr, "%s: not an address of the form IP:port\n",
			addr);
		return NULL;
	}
	http = g_new0(struct si_http, 1);
	http->proc = proc;
	http->routes = routes;
	http->n_routes = n_routes;
	http->faults_apply = faults_apply;
	http->daemon = MHD_start_daemon(
		MHD_USE_THREAD_PER_CONNECTION |
			MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL |
			MHD_USE_ITC,
		0, NULL, NULL, on_request, http, MHD_OPTION_SOCK_ADDR, &sa,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, http,
		MHD_OPTION_THREAD_STACK_SIZE, CONN_STACK_BYTES,
		MHD_OPTION_CONNECTION_LIMIT, (unsigned int)CONN_LIMIT,
		MHD_OPTION_LISTEN_BACKLOG_SIZE, (unsigned int)LISTEN_BACKLOG,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, (unsigned int)1,
		MHD_OPTION_END);
	if (!http->daemon) {
		fprintf(stderr, "%s: cannot listen\n", addr);
		g_free(http);
		return NULL;
	}
	return http;
}

void si_http_stop(struct si_http *http)
{
	if (!http)
		return;
	MHD_stop_daemon(http->daemon);
	g_free(http);
}
