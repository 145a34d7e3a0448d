/*
 * fg_h1 - incremental HTTP/1.1 messages, on top of http-parser.
 *
 * One parser reads the messages of one connection, one after the other. It
 * keeps the head of the current message and hands its body on in pieces. After
 * a whole message it stops, so that bytes of the next one stay with the caller
 * until fg_h1_reset().
 *
 * Heads are kept byte for byte: names in the case in which they arrived, in
 * their order, repeated fields as separate entries.
 */
#ifndef FG_H1_H
#define FG_H1_H

#include <glib.h>
#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define FG_H1_FIELDS_MAX 64

struct fg_h1_head {
	GString *text; /* holds target and fields, each ended by a NUL */
	uint32_t target_at;
	uint32_t name_at[FG_H1_FIELDS_MAX];
	uint32_t value_at[FG_H1_FIELDS_MAX];
	uint32_t n_fields;
	unsigned int method; /* enum http_method; of requests */
	unsigned int status; /* of answers */
	bool keep_alive;
	bool chunked;
	int64_t length_bytes; /* of the body; -1 when not announced */
};

/* Value of the first field of that name in any case; NULL when absent. */
const char *fg_h1_get_field(const struct fg_h1_head *head, const char *name);

const char *fg_h1_target(const struct fg_h1_head *head);
const char *fg_h1_field_name(const struct fg_h1_head *head, uint32_t i);
const char *fg_h1_field_value(const struct fg_h1_head *head, uint32_t i);

/* True for fields that concern one connection alone and are not forwarded,
 * those that `Connection` of this head names included. */
bool fg_h1_is_hop_by_hop(const struct fg_h1_head *head, uint32_t i);

enum fg_h1_fault {
	FG_H1_OK = 0,
	FG_H1_MALFORMED = 1,
	FG_H1_HEAD_TOO_LARGE = 2,
	FG_H1_BODY_TOO_LARGE = 3,
};

struct fg_h1;

/* Called while fg_h1_feed() runs. on_head may return false to say that an
 * answer has no body (to a HEAD request). */
struct fg_h1_ops {
	bool (*on_head)(void *ctx, const struct fg_h1_head *head);
	void (*on_body)(void *ctx, const char *data, size_t len_bytes);
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
	uint32_t head_bytes;
	enum fg_h1_fault fault;
	bool in_value;
	bool ended;   /* the message is whole; fg_h1_reset() goes on */
	bool started; /* a byte of the current message was seen */
};

/* `requests` reads requests, otherwise answers. */
void fg_h1_init(struct fg_h1 *h, bool requests, const struct fg_h1_ops *ops,
		void *ctx, uint32_t head_max_bytes, uint64_t body_max_bytes);
void fg_h1_clear(struct fg_h1 *h);

/* Reads; returns how many bytes were used, fewer than len_bytes after a whole
 * message or a fault (h->fault). */
size_t fg_h1_feed(struct fg_h1 *h, const char *data, size_t len_bytes);

/* The connection ended. True if that completes the message: an answer without
 * a length whose head was read. */
bool fg_h1_eof(struct fg_h1 *h);

/* Makes the parser ready for the next message of the connection. */
void fg_h1_reset(struct fg_h1 *h);

#endif
