/*
 * si_http - an HTTP server with a route table, and helpers for answers.
 *
 * One thread per connection. A handler returns what one of the si_answer
 * functions or si_close() returned.
 */
#ifndef SI_HTTP_H
#define SI_HTTP_H

#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/si_proc.h"

struct si_route;

struct si_req {
	struct si_proc *proc;
	struct MHD_Connection *conn;
	const struct si_route *route;
	const char *path;
	const char *instance; /* X-Instance, or "" */
	GString *raw;	      /* body as it came */
	json_t *body;	      /* parsed, when the route asks for it */
	bool faulty;	      /* faults apply: not the control address */

	/* Called with done_arg when the connection is through with this
	 * request, whole or not; NULL for none. */
	void (*on_done)(void *arg);
	void *done_arg;
};

typedef enum MHD_Result (*si_handler)(struct si_req *req);

enum si_route_flag {
	SI_PREFIX = 1, /* path is a prefix */
	SI_JSON = 2,   /* the body must be a JSON object */
	SI_WORK = 4,   /* refuse, garble and truncate apply */
};

struct si_route {
	const char *method;
	const char *path;
	uint32_t flags; /* enum si_route_flag */
	si_handler fn;
};

struct si_http;

/* Listens on "IP:port"; NULL with a message on stderr on error. */
struct si_http *si_http_start(struct si_proc *proc, const char *addr,
			      const struct si_route *routes, size_t n_routes,
			      bool faulty);
void si_http_stop(struct si_http *http);

/* Answers with JSON; steals body. */
enum MHD_Result si_answer(struct si_req *req, uint32_t status, json_t *body);

/* Answers {"error":code}. */
enum MHD_Result si_answer_error(struct si_req *req, uint32_t status,
				const char *code);

/* Answers {"error":code,"retry_after_ms":ms}. */
enum MHD_Result si_answer_later(struct si_req *req, uint32_t status,
				const char *code, fg_ms retry_after_ms);

/* Answers with text; steals it (g_malloc'ed). */
enum MHD_Result si_answer_text(struct si_req *req, uint32_t status, char *text);

/* Queues a response that the caller made; drops its reference. */
enum MHD_Result si_answer_response(struct si_req *req, uint32_t status,
				   struct MHD_Response *response);

/* Closes the connection without an answer. */
enum MHD_Result si_close(struct si_req *req);

/* Argument of the query string, or NULL. */
const char *si_query(struct si_req *req, const char *name);

/* Fields of an object; "" or fallback when absent or of another type. */
const char *si_field_str(json_t *obj, const char *name);
int64_t si_field_int(json_t *obj, const char *name, int64_t fallback);

#endif
