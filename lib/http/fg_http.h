/*
 * fg_http - blocking HTTP requests to an IP address, based on libcurl.
 *
 * The result of a failed request states whether any byte of it may have been
 * sent, which decides between the outcomes NOT_RUN and UNKNOWN.
 */
#ifndef FG_HTTP_H
#define FG_HTTP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum fg_http_error {
	FG_HTTP_OK = 0,	       /* a complete answer with a status arrived */
	FG_HTTP_NOT_SENT = 1,  /* no byte was sent */
	FG_HTTP_LOST = 2,      /* sent; no complete answer, one that cannot be
				  read, or on_data failed */
	FG_HTTP_TIMEOUT = 3,   /* sent; no complete answer within timeout_ms */
	FG_HTTP_CANCELLED = 4, /* sent; cancelled by the caller */
	FG_HTTP_TOO_LARGE = 5, /* the answer exceeds answer_max_bytes */
};

struct fg_http_call {
	const char *method; /* "GET", "POST" or "PUT" */
	const char *addr;   /* "IP:port" */
	const char *path;   /* "/v1/state", escaped by the caller */
	const char *body;   /* JSON; NULL: none */
	const char *header; /* one additional "Name: value" line, or NULL */
	uint32_t timeout_ms;
	size_t answer_max_bytes; /* 0: 16 MiB */
	/* Uses a connection of its own. On a reused connection, libcurl may
	 * send the request a second time. */
	bool new_connection;
	/* Receives the body of the answer in pieces; false ends the request
	 * with FG_HTTP_LOST. NULL collects the body in fg_http_answer.text. */
	bool (*on_data)(void *arg, const char *data, size_t len_bytes);
	void *arg;
	const volatile int *cancel; /* polled; not 0 cancels; may be NULL */
};

struct fg_http_answer {
	enum fg_http_error error;
	uint32_t status; /* 200 to 599; 0: none that can be read */
	char *text;	 /* body, NUL-terminated; NULL with on_data */
	size_t len_bytes;
};

/* Initializes libcurl; called once per process, before any thread starts. */
void fg_http_init(void);

/* Sends a request and waits for the answer. The caller g_free()s answer->text,
 * also after an error. May be called from several threads. */
void fg_http_perform(const struct fg_http_call *call,
		     struct fg_http_answer *answer);

#endif
