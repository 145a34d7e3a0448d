/*
 * fg_h1 - incremental parser for HTTP/1.1 messages, based on http-parser,
 * behind the strict check of fg_h1_check.
 *
 * One parser reads the messages of one connection one after the other. It
 * collects the head of the current message and passes on the body in pieces.
 * After a complete message it consumes no further bytes until fg_h1_reset(), so
 * that bytes of the next message stay with the caller.
 *
 * Heads are kept unchanged: field names keep their case and order, and repeated
 * fields stay separate. Does no I/O.
 */
#ifndef FG_H1_H
#define FG_H1_H

#include <glib.h>
#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "h1/fg_h1_check.h"

#define FG_H1_FIELDS_MAX 64

struct fg_h1_head {
	GString *text;	    /* target, names and values, each with a NUL */
	uint32_t target_at; /* offset in text, as are name_at and value_at */
	uint32_t name_at[FG_H1_FIELDS_MAX];
	uint32_t value_at[FG_H1_FIELDS_MAX];
	uint32_t n_fields; /* with those of the trailer, once it was read */
	uint32_t n_head_fields;	 /* without the trailer; 0 within the head */
	unsigned int method;	 /* enum http_method; requests only */
	unsigned int status;	 /* answers only */
	unsigned int http_minor; /* 0 for HTTP/1.0 */
	bool keep_alive;	 /* the connection may be reused */
	bool chunked;
	int64_t length_bytes; /* Content-Length; -1 when absent */
};

/* Strings returned belong to the head and are valid until fg_h1_reset(). */

/* Returns the value of the first field of the head with that name, in any case,
 * or NULL. Fields of the trailer are none of the head (RFC 9110 section 6.5.1).
 */
const char *fg_h1_get_field(const struct fg_h1_head *head, const char *name);

const char *fg_h1_target(const struct fg_h1_head *head);
const char *fg_h1_field_name(const struct fg_h1_head *head, uint32_t i);
const char *fg_h1_field_value(const struct fg_h1_head *head, uint32_t i);

/* True for hop-by-hop fields, which are not forwarded: those of HTTP itself,
 * and those that a `Connection` field of this head lists. */
bool fg_h1_is_hop_by_hop(const struct fg_h1_head *head, uint32_t i);

enum fg_h1_fault {
	FG_H1_OK = 0,
	FG_H1_MALFORMED = 1,
	FG_H1_HEAD_TOO_LARGE = 2,
	FG_H1_BODY_TOO_LARGE = 3,
	FG_H1_BAD_STATUS = 4, /* see fg_h1_check_status_line() */
};

enum fg_h1_line {
	FG_H1_LINE_PARTIAL = 0, /* right so far, more bytes are needed */
	FG_H1_LINE_OK = 1,
	FG_H1_LINE_MALFORMED = 2,
	FG_H1_LINE_BAD_STATUS = 3,
};

/*
 * Checks the beginning of an answer (RFC 9112 section 4): a version and a
 * status of exactly three digits, from 100 to 599. 101 counts as bad, since no
 * request asks for another protocol.
 */
enum fg_h1_line fg_h1_check_status_line(const char *line, size_t len_bytes);

/* Bytes after which fg_h1_check_status_line() knows. */
#define FG_H1_STATUS_LINE_BYTES 13

/* Returns whether an answer with that status comes before the one that answers
 * the request (RFC 9110 section 15.2). */
bool fg_h1_is_informational(unsigned int status);

/* Returns whether the bytes can be the beginning of an answer. Others that
 * follow an answer show that its length was wrong. */
bool fg_h1_may_begin_answer(const char *data, size_t len_bytes);

struct fg_h1;

/* Callbacks of fg_h1_feed() and fg_h1_eof(). */
struct fg_h1_ops {
	/* The head is complete. Returns false when the message has no body,
	 * such as the answer to a HEAD request. */
	bool (*on_head)(void *ctx, const struct fg_h1_head *head);
	/* A piece of the body, without chunk framing. */
	void (*on_body)(void *ctx, const char *data, size_t len_bytes);
	/* The message is complete. May be NULL. */
	void (*on_end)(void *ctx);
};

struct fg_h1 {
	http_parser parser;
	struct fg_h1_head head;
	const struct fg_h1_ops *ops;
	void *ctx;
	uint32_t head_max_bytes;
	uint64_t body_max_bytes;
	uint64_t body_bytes;
	uint64_t message_bytes; /* of head, body and framing */
	struct fg_h1_check check;
	enum fg_h1_fault fault;
	enum fg_h1_rule rule; /* broken, with FG_H1_MALFORMED */
	uint64_t fault_at;    /* bytes of the message before the fault */
	char line[FG_H1_STATUS_LINE_BYTES]; /* beginning of an answer */
	uint32_t line_len;
	bool in_value; /* the last header bytes were of a field's value */
	bool ended;    /* the message is complete */
	bool started;  /* a byte of the current message was read */
};

/* Initializes a parser of requests, or of answers. `ops` is borrowed. A head or
 * body over its limit is a fault, and so is more framing of chunks than a body
 * in the smallest of chunks has. */
void fg_h1_init(struct fg_h1 *h, bool requests, const struct fg_h1_ops *ops,
		void *ctx, uint32_t head_max_bytes, uint64_t body_max_bytes);

/* Frees the memory of the parser. */
void fg_h1_clear(struct fg_h1 *h);

/* Parses bytes of the connection. Returns the number of bytes consumed, which
 * may be less than len_bytes when the message is complete (h->ended) or invalid
 * (h->fault). */
size_t fg_h1_feed(struct fg_h1 *h, const char *data, size_t len_bytes);

/* Handles the end of the connection. Returns true when it completes the
 * message, as it does for an answer without a length. */
bool fg_h1_eof(struct fg_h1 *h);

/* Writes the status as it came in an answer with the fault FG_H1_BAD_STATUS,
 * cut off, to `out`: of other bytes than printable ones '?'. */
#define FG_H1_STATUS_TEXT_BYTES 8
void fg_h1_bad_status(const struct fg_h1 *h, char out[FG_H1_STATUS_TEXT_BYTES]);

/* Writes, for log lines, how many bytes of the message came before its fault;
 * all of them where the message itself has none. */
#define FG_H1_AT_TEXT_BYTES 24
void fg_h1_format_fault_at(const struct fg_h1 *h,
			   char out[FG_H1_AT_TEXT_BYTES]);

/* Prepares the parser for the next message of the connection. */
void fg_h1_reset(struct fg_h1 *h);

#endif
