/*
 * fg_h1_check - strict check of the bytes of HTTP/1.1 messages.
 *
 * The packaged http-parser is built in its lenient mode: it lets names hold
 * spaces and joins folded lines. This check sees each byte first and ends a
 * message at the first one that RFC 9112 does not allow there. It keeps no
 * text, and a message gets the same verdict in whatever pieces it arrives.
 *
 * Does no I/O.
 */
#ifndef FG_H1_CHECK_H
#define FG_H1_CHECK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Rule that a malformed message breaks. */
enum fg_h1_rule {
	FG_H1_RULE_NONE = 0,
	FG_H1_RULE_SYNTAX = 1,	   /* another one, found by http-parser */
	FG_H1_RULE_START_LINE = 2, /* no control bytes in the first line,
				      and no tab in that of a request */
	FG_H1_RULE_NAME = 3,	   /* a field is a token, a colon, a value */
	FG_H1_RULE_VALUE = 4,	   /* no control bytes in a field's value */
	FG_H1_RULE_FOLDING = 5,	   /* no line begins with a blank */
	FG_H1_RULE_LINE_END = 6,   /* LF follows CR */
	FG_H1_RULE_LENGTH = 7,	   /* one length of digits, or a coding */
	FG_H1_RULE_CODING = 8,	   /* no coding but chunked, once */
	FG_H1_RULE_CHUNK_SIZE = 9, /* digits, extensions, CR LF */
	FG_H1_RULE_CHUNK_END = 10, /* CR LF behind the data of a chunk */
	FG_H1_RULE_REST = 11,	   /* only another answer follows an answer */
	FG_H1_RULE_COUNT = 12,
};

/* Returns the name of a rule for log lines and metrics, such as "name". */
const char *fg_h1_rule_name(enum fg_h1_rule rule);

enum fg_h1_check_state {
	FG_H1_CHECK_START = 0, /* empty lines before a message are skipped */
	FG_H1_CHECK_START_LINE = 1,
	FG_H1_CHECK_LINE = 2, /* at the beginning of a line behind it */
	FG_H1_CHECK_NAME = 3,
	FG_H1_CHECK_VALUE = 4,
	FG_H1_CHECK_LINE_LF = 5, /* behind the CR of a line */
	FG_H1_CHECK_LAST_LF = 6, /* behind the CR of the empty line */
	FG_H1_CHECK_HEAD_END = 7,
	FG_H1_CHECK_BODY = 8,  /* any byte is allowed */
	FG_H1_CHECK_CHUNK = 9, /* at the beginning of a chunk */
	FG_H1_CHECK_CHUNK_SIZE = 10,
	FG_H1_CHECK_CHUNK_BLANK = 11, /* behind the size, before extensions */
	FG_H1_CHECK_CHUNK_EXTENSION = 12,
	FG_H1_CHECK_CHUNK_LF = 13,
	FG_H1_CHECK_CHUNK_DATA = 14,
	FG_H1_CHECK_DATA_CR = 15, /* behind the data of a chunk */
	FG_H1_CHECK_DATA_LF = 16,
};

struct fg_h1_check {
	enum fg_h1_check_state state;
	bool request;
	uint64_t chunk_bytes; /* that are left of the chunk's data */
	enum fg_h1_rule broken;
};

/* Prepares the check for the next message, a request or an answer. */
void fg_h1_check_reset(struct fg_h1_check *c, bool request);

/*
 * Checks bytes of the message. Returns how many of them may be parsed: those
 * before the first one that breaks a rule (c->broken), those of the head, or
 * of the trailer, up to its end (c->state is FG_H1_CHECK_HEAD_END), or all. A
 * tab in a value, or behind the size of a chunk, is returned alone.
 */
size_t fg_h1_check_feed(struct fg_h1_check *c, const char *data,
			size_t len_bytes);

/* The head was accepted, and its body follows, in chunks or not. The lines of a
 * trailer are checked like those of a head. */
void fg_h1_check_begin_body(struct fg_h1_check *c, bool chunked);

#endif
