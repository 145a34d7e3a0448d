#include "h1/fg_h1_check.h"

#include <glib.h>
#include <string.h>

const char *fg_h1_rule_name(enum fg_h1_rule rule)
{
	static const char *const names[FG_H1_RULE_COUNT] = {
		[FG_H1_RULE_NONE] = "none",
		[FG_H1_RULE_SYNTAX] = "syntax",
		[FG_H1_RULE_START_LINE] = "start_line",
		[FG_H1_RULE_NAME] = "name",
		[FG_H1_RULE_VALUE] = "value",
		[FG_H1_RULE_FOLDING] = "folding",
		[FG_H1_RULE_LINE_END] = "line_end",
		[FG_H1_RULE_LENGTH] = "length",
		[FG_H1_RULE_CODING] = "coding",
		[FG_H1_RULE_CHUNK_SIZE] = "chunk_size",
		[FG_H1_RULE_CHUNK_END] = "chunk_end",
		[FG_H1_RULE_REST] = "rest",
	};

	return names[rule];
}

/* RFC 9110 section 5.6.2 */
static bool is_token_char(char c)
{
	static const char others[] = "!#$%&'*+-.^_`|~";

	return g_ascii_isalnum(c) || (c != '\0' && strchr(others, c) != NULL);
}

static bool is_blank(char c)
{
	return c == ' ' || c == '\t';
}

/* Returns whether the byte may be in a value: visible, blank, or above 127. */
static bool is_text_char(char c)
{
	return is_blank(c) || !g_ascii_iscntrl(c);
}

static void break_rule(struct fg_h1_check *c, enum fg_h1_rule rule)
{
	c->broken = rule;
}

static void check_line_begin(struct fg_h1_check *c, char byte)
{
	if (is_blank(byte))
		break_rule(c, FG_H1_RULE_FOLDING);
	else if (byte == '\r')
		c->state = FG_H1_CHECK_LAST_LF;
	else if (byte == '\n')
		c->state = FG_H1_CHECK_HEAD_END;
	else if (is_token_char(byte))
		c->state = FG_H1_CHECK_NAME;
	else
		break_rule(c, FG_H1_RULE_NAME);
}

/* A line may end with LF alone (RFC 9112 section 2.2). */
static void check_text(struct fg_h1_check *c, char byte, enum fg_h1_rule rule)
{
	if (byte == '\r')
		c->state = FG_H1_CHECK_LINE_LF;
	else if (byte == '\n')
		c->state = FG_H1_CHECK_LINE;
	else if (!is_text_char(byte))
		break_rule(c, rule);
}

static void check_start_line(struct fg_h1_check *c, char byte)
{
	if (c->request && byte == '\t')
		break_rule(c, FG_H1_RULE_START_LINE);
	else
		check_text(c, byte, FG_H1_RULE_START_LINE);
}

static void expect_byte(struct fg_h1_check *c, char byte, char expected,
			enum fg_h1_check_state next, enum fg_h1_rule rule)
{
	if (byte == expected)
		c->state = next;
	else
		break_rule(c, rule);
}

/* http-parser limits the size to 64 bits. */
static void add_size_digit(struct fg_h1_check *c, char byte)
{
	c->chunk_bytes =
		c->chunk_bytes << 4 | (uint64_t)g_ascii_xdigit_value(byte);
	c->state = FG_H1_CHECK_CHUNK_SIZE;
}

/* Behind the size of a chunk, blanks precede extensions only (RFC 9112 section
 * 7.1.1). */
static void check_size_end(struct fg_h1_check *c, char byte)
{
	if (is_blank(byte))
		c->state = FG_H1_CHECK_CHUNK_BLANK;
	else if (byte == ';')
		c->state = FG_H1_CHECK_CHUNK_EXTENSION;
	else if (byte == '\r' && c->state == FG_H1_CHECK_CHUNK_SIZE)
		c->state = FG_H1_CHECK_CHUNK_LF;
	else
		break_rule(c, FG_H1_RULE_CHUNK_SIZE);
}

static void check_chunk_byte(struct fg_h1_check *c, char byte)
{
	switch (c->state) {
	case FG_H1_CHECK_CHUNK:
		c->chunk_bytes = 0;
		if (g_ascii_isxdigit(byte))
			add_size_digit(c, byte);
		else
			break_rule(c, FG_H1_RULE_CHUNK_SIZE);
		break;
	case FG_H1_CHECK_CHUNK_SIZE:
		if (g_ascii_isxdigit(byte))
			add_size_digit(c, byte);
		else
			check_size_end(c, byte);
		break;
	case FG_H1_CHECK_CHUNK_BLANK:
		check_size_end(c, byte);
		break;
	case FG_H1_CHECK_CHUNK_EXTENSION:
		if (byte == '\r')
			c->state = FG_H1_CHECK_CHUNK_LF;
		else if (!is_text_char(byte))
			break_rule(c, FG_H1_RULE_CHUNK_SIZE);
		break;
	case FG_H1_CHECK_CHUNK_LF:
		/* The last chunk is followed by the trailer. */
		expect_byte(c, byte, '\n',
			    c->chunk_bytes == 0 ? FG_H1_CHECK_LINE
						: FG_H1_CHECK_CHUNK_DATA,
			    FG_H1_RULE_CHUNK_SIZE);
		break;
	case FG_H1_CHECK_DATA_CR:
		expect_byte(c, byte, '\r', FG_H1_CHECK_DATA_LF,
			    FG_H1_RULE_CHUNK_END);
		break;
	case FG_H1_CHECK_DATA_LF:
		expect_byte(c, byte, '\n', FG_H1_CHECK_CHUNK,
			    FG_H1_RULE_CHUNK_END);
		break;
	default:
		break;
	}
}

static void check_byte(struct fg_h1_check *c, char byte)
{
	switch (c->state) {
	case FG_H1_CHECK_START:
		if (byte == '\r' || byte == '\n')
			break;
		c->state = FG_H1_CHECK_START_LINE;
		check_start_line(c, byte);
		break;
	case FG_H1_CHECK_START_LINE:
		check_start_line(c, byte);
		break;
	case FG_H1_CHECK_LINE:
		check_line_begin(c, byte);
		break;
	case FG_H1_CHECK_NAME:
		if (byte == ':')
			c->state = FG_H1_CHECK_VALUE;
		else if (!is_token_char(byte))
			break_rule(c, FG_H1_RULE_NAME);
		break;
	case FG_H1_CHECK_VALUE:
		check_text(c, byte, FG_H1_RULE_VALUE);
		break;
	case FG_H1_CHECK_LINE_LF:
		expect_byte(c, byte, '\n', FG_H1_CHECK_LINE,
			    FG_H1_RULE_LINE_END);
		break;
	case FG_H1_CHECK_LAST_LF:
		expect_byte(c, byte, '\n', FG_H1_CHECK_HEAD_END,
			    FG_H1_RULE_LINE_END);
		break;
	default:
		check_chunk_byte(c, byte);
	}
}

/* Passes over data of a chunk. Returns how many bytes that is. */
static size_t skip_data(struct fg_h1_check *c, size_t len_bytes)
{
	size_t n = (size_t)MIN(c->chunk_bytes, len_bytes);

	c->chunk_bytes -= n;
	if (c->chunk_bytes == 0)
		c->state = FG_H1_CHECK_DATA_CR;
	return n;
}

void fg_h1_check_reset(struct fg_h1_check *c, bool request)
{
	memset(c, 0, sizeof(*c));
	c->request = request;
}

/* Returns whether a tab is returned alone here. */
static bool comes_alone(const struct fg_h1_check *c)
{
	return c->state == FG_H1_CHECK_VALUE ||
	       c->state == FG_H1_CHECK_CHUNK_SIZE ||
	       c->state == FG_H1_CHECK_CHUNK_BLANK;
}

size_t fg_h1_check_feed(struct fg_h1_check *c, const char *data,
			size_t len_bytes)
{
	if (c->state == FG_H1_CHECK_BODY)
		return len_bytes;
	for (size_t i = 0; i < len_bytes; i++) {
		if (c->state == FG_H1_CHECK_CHUNK_DATA) {
			i += skip_data(c, len_bytes - i);
			if (i == len_bytes)
				break;
		}
		if (data[i] == '\t' && comes_alone(c)) {
			if (i > 0)
				return i;
			len_bytes = 1;
		}
		check_byte(c, data[i]);
		if (c->broken != FG_H1_RULE_NONE)
			return i;
		if (c->state == FG_H1_CHECK_HEAD_END)
			return i + 1;
	}
	return len_bytes;
}

void fg_h1_check_begin_body(struct fg_h1_check *c, bool chunked)
{
	c->state = chunked ? FG_H1_CHECK_CHUNK : FG_H1_CHECK_BODY;
}
