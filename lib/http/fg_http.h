/*
 * fg_http - blocking HTTP calls to addresses given by IP number.
 *
 * A thin layer over libcurl. Each call tells whether any byte of the request
 * may have left this process, which decides between "not run" and "unknown".
 */
#ifndef FG_HTTP_H
#define FG_HTTP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum fg_http_error {
	FG_HTTP_OK = 0,	       /* a complete answer with a status came */
	FG_HTTP_NOT_SENT = 1,  /* no byte was sent */
	FG_HTTP_LOST = 2,      /* sent, but the answer did not come whole */
	FG_HTTP_TIMEOUT = 3,   /* sent, no whole answer in time */
	FG_HTTP_CANCELLED = 4, /* sent, given up by the caller */
	FG_HTTP_TOO_LARGE = 5, /* the answer is over answer_max_bytes */
};

struct fg_http_call {
	const char *method; /* "GET", "POST" or "PUT" */
	const char *addr;   /* "IP:port" */
	const char *path;   /* "/v1/state", escaped by the caller */
	const char *body;   /* NULL for none */
	const char *header; /* one extra "Name: value" line, or NULL */
	uint32_t timeout_ms;
	size_t answer_max_bytes; /* 0: 16 MiB */
	bool new_connection; /* own connection: libcurl then never sends twice
			      */
	/* Takes the answer as it comes; false ends the call (LOST). NULL
	 * collects it in fg_http_answer.text. */
	bool (*on_data)(void *arg, const char *data, size_t len_bytes);
	void *arg;
	const volatile int *cancel; /* polled; NULL for none */
};

struct fg_http_answer {
	enum fg_http_error error;
	uint32_t status;
	char *text; /* g_malloc'ed, NUL-terminated; NULL with on_data */
	size_t len_bytes;
};

/* Once per process, before any thread. */
void fg_http_init(void);

/* Makes the call. The caller g_free()s answer->text. */
void fg_http_perform(const struct fg_http_call *call,
		     struct fg_http_answer *answer);

#endif
