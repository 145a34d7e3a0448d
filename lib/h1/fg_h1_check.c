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

static void expect_byte(struct fg_h1_check *c, char byte, char expected,
			enum fg_h1_check_state next, enum fg_h1_rule rule)
{
	if (byte == expected)
		c->state = next;
	else
		break_rule(c, rule);
}

static void check_byte(struct fg_h1_check *c, char byte)
{
	switch (c->state) {
	case FG_H1_CHECK_START:
		if (byte == '\r' || byte == '\n')
			break;
		c->state = FG_H1_CHECK_START_LINE;
		check_text(c, byte, FG_H1_RULE_START_LINE);
		break;
	case FG_H1_CHECK_START_LINE:
		check_text(c, byte, FG_H1_RULE_START_LINE);
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
	case FG_H1_CHECK_HEAD_END:
	case FG_H1_CHECK_BODY:
		break;
	}
}

void fg_h1_check_reset(struct fg_h1_check *c)
{
	memset(c, 0, sizeof(*c));
}

size_t fg_h1_check_feed(struct fg_h1_check *c, const char *data,
			size_t len_bytes)
{
	if (c->state == FG_H1_CHECK_BODY)
		return len_bytes;
	for (size_t i = 0; i < len_bytes; i++) {
		if (c->state == FG_H1_CHECK_VALUE && data[i] == '\t')
			return i == 0 ? 1 : i;
		check_byte(c, data[i]);
		if (c->broken != FG_H1_RULE_NONE)
			return i;
		if (c->state == FG_H1_CHECK_HEAD_END)
			return i + 1;
	}
	return len_bytes;
}

void fg_h1_check_begin_body(struct fg_h1_check *c)
{
	c->state = FG_H1_CHECK_BODY;
}
