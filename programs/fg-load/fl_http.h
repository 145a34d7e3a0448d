/*
 * fl_http - HTTP requests through libcurl.
 */
#ifndef FL_HTTP_H
#define FL_HTTP_H

#include <curl/curl.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct fl_http_result {
	uint32_t status; /* HTTP status; 0: no complete answer */
	bool not_sent;	 /* with status 0: the connection failed */
	GString *body;
};

struct fl_http_headers {
	const char *caller;
	const char *request_id;
	const char *key; /* NULL for none */
};

/* Both calls block until the answer is complete or timeout_ms has passed. The
 * caller releases *res with fl_http_result_clear(). Headers that are NULL are
 * omitted. */
void fl_http_get(CURL *curl, const char *addr, const char *path,
		 uint32_t timeout_ms, struct fl_http_result *res);
void fl_http_post(CURL *curl, const char *addr, const char *path,
		  const struct fl_http_headers *headers, const char *body,
		  uint32_t timeout_ms, struct fl_http_result *res);
void fl_http_result_clear(struct fl_http_result *res);

#endif
