/*
 * si_http - an HTTP server with a route table, and helpers for answers.
 *
 * Each connection has a thread; a handler may block. A handler calls one of the
 * si_answer functions or si_close_connection() and returns its result.
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
	GString *raw;	      /* body as received */
	json_t *body;	      /* parsed body, with SI_ROUTE_JSON */
	bool faults_apply;    /* false at the control address */

	/* Called with done_arg when the request has ended, completely answered
	 * or not; may be NULL. */
	void (*on_done)(void *arg);
	void *done_arg;
};

typedef enum MHD_Result (*si_handler)(struct si_req *req);

enum si_route_flag {
	SI_ROUTE_PREFIX = 1, /* path is a prefix of the paths served */
	SI_ROUTE_JSON = 2,   /* the body must be a JSON object */
	SI_ROUTE_WORK = 4,   /* the faults refuse, garble and truncate apply */
};

struct si_route {
	const char *method;
	const char *path;
	uint32_t flags; /* enum si_route_flag */
	si_handler fn;
};

struct si_http;

/* Listens on addr, "IP:port". Returns NULL and writes to stderr on error. The
 * routes must outlive the server. With faults_apply, the faults of proc apply
 * to requests and answers. */
struct si_http *si_http_start(struct si_proc *proc, const char *addr,
			      const struct si_route *routes, size_t n_routes,
			      bool faults_apply);
/* Ends all connections and frees http. NULL is allowed. */
void si_http_stop(struct si_http *http);

/* Answers with JSON; takes over the reference to body. */
enum MHD_Result si_answer_json(struct si_req *req, uint32_t status,
			       json_t *body);

/* Answers {"error":code}. */
enum MHD_Result si_answer_error(struct si_req *req, uint32_t status,
				const char *code);

/* Answers {"error":code,"retry_after_ms":ms}. */
enum MHD_Result si_answer_retry_later(struct si_req *req, uint32_t status,
				      const char *code, fg_ms retry_after_ms);

/* Answers with text, which it frees with g_free(). */
enum MHD_Result si_answer_text(struct si_req *req, uint32_t status, char *text);

/* Answers with a response that the caller made; takes over the reference. */
enum MHD_Result si_answer_response(struct si_req *req, uint32_t status,
				   struct MHD_Response *response);

/* Closes the connection without an answer. */
enum MHD_Result si_close_connection(struct si_req *req);

/* Returns an argument of the query string, or NULL. */
const char *si_query_arg(struct si_req *req, const char *name);

/* Return a field of an object; "" or fallback when it is absent or of another
 * type. */
const char *si_field_str(json_t *obj, const char *name);
int64_t si_field_int(json_t *obj, const char *name, int64_t fallback);

#endif
