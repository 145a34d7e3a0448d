#include "h1/fg_h1.h"

#include <inttypes.h>
#include <string.h>

/* ---- Heads ---- */

const char *fg_h1_target(const struct fg_h1_head *head)
{
	return head->text->str + head->target_at;
}

const char *fg_h1_field_name(const struct fg_h1_head *head, uint32_t i)
{
	return head->text->str + head->name_at[i];
}

const char *fg_h1_field_value(const struct fg_h1_head *head, uint32_t i)
{
	return head->text->str + head->value_at[i];
}

const char *fg_h1_get_field(const struct fg_h1_head *head, const char *name)
{
	for (uint32_t i = 0; i < head->n_head_fields; i++) {
		if (g_ascii_strcasecmp(fg_h1_field_name(head, i), name) == 0)
			return fg_h1_field_value(head, i);
	}
	return NULL;
}

static const char *const hop_fields[] = {
	"Connection",
	"Keep-Alive",
	"Proxy-Connection",
	"Transfer-Encoding",
	"TE",
	"Trailer",
	"Upgrade",
	"Proxy-Authenticate",
	"Expect",
	"HTTP2-Settings",
	"Content-Length",
	"Proxy-Authorization",
};

/* True when a comma-separated list contains `name`, in any case. */
static bool list_contains(const char *list, const char *name)
{
	size_t len = strlen(name);

	while (*list != '\0') {
		list += strspn(list, " \t,");
		if (g_ascii_strncasecmp(list, name, len) == 0 &&
		    strchr(" \t,", list[len]) != NULL)
			return true;
		list += strcspn(list, ",");
	}
	return false;
}

bool fg_h1_is_hop_by_hop(const struct fg_h1_head *head, uint32_t i)
{
	const char *name = fg_h1_field_name(head, i);

	for (size_t k = 0; k < G_N_ELEMENTS(hop_fields); k++) {
		if (g_ascii_strcasecmp(name, hop_fields[k]) == 0)
			return true;
	}
	for (uint32_t k = 0; k < head->n_head_fields; k++) {
		if (g_ascii_strcasecmp(fg_h1_field_name(head, k),
				       "Connection") == 0 &&
		    list_contains(fg_h1_field_value(head, k), name))
			return true;
	}
	return false;
}

/* ---- Callbacks of http-parser ---- */

static struct fg_h1 *get_h1(http_parser *p)
{
	return p->data;
}

static int fail_parse(struct fg_h1 *h, enum fg_h1_fault fault)
{
	h->fault = fault;
	return -1;
}

static int append_text(struct fg_h1 *h, const char *data, size_t len)
{
	if (h->head.text->len + len > h->head_max_bytes)
		return fail_parse(h, FG_H1_HEAD_TOO_LARGE);
	g_string_append_len(h->head.text, data, (gssize)len);
	return 0;
}

static int on_url(http_parser *p, const char *data, size_t len)
{
	return append_text(get_h1(p), data, len);
}

static bool is_blank(char c)
{
	return c == ' ' || c == '\t';
}

/* Removes blanks behind the value that was read last, which are not part of it
 * (RFC 9112 section 5.1). */
static void trim_value(struct fg_h1 *h)
{
	const struct fg_h1_head *head = &h->head;
	gsize len = head->text->len;

	while (len > head->value_at[head->n_fields - 1] &&
	       is_blank(head->text->str[len - 1]))
		len--;
	g_string_truncate(head->text, len);
}

static int on_field(http_parser *p, const char *data, size_t len)
{
	struct fg_h1 *h = get_h1(p);
	struct fg_h1_head *head = &h->head;

	if (h->in_value || head->n_fields == 0) {
		if (head->n_fields == FG_H1_FIELDS_MAX)
			return fail_parse(h, FG_H1_HEAD_TOO_LARGE);
		if (h->in_value)
			trim_value(h);
		g_string_append_c(head->text, '\0');
		head->name_at[head->n_fields] = (uint32_t)head->text->len;
		head->value_at[head->n_fields] = (uint32_t)head->text->len;
		head->n_fields++;
		h->in_value = false;
	}
	return append_text(h, data, len);
}

static int on_value(http_parser *p, const char *data, size_t len)
{
	struct fg_h1 *h = get_h1(p);
	struct fg_h1_head *head = &h->head;

	if (!h->in_value) {
		g_string_append_c(head->text, '\0');
		head->value_at[head->n_fields - 1] = (uint32_t)head->text->len;
		h->in_value = true;
	}
	return append_text(h, data, len);
}

static void break_rule(struct fg_h1 *h, enum fg_h1_rule rule)
{
	h->fault = FG_H1_MALFORMED;
	h->rule = rule;
}

/* Returns how many fields have that name, and the value of the last one. */
static uint32_t find_fields(const struct fg_h1_head *head, const char *name,
			    const char **value)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < head->n_fields; i++) {
		if (g_ascii_strcasecmp(fg_h1_field_name(head, i), name) != 0)
			continue;
		*value = fg_h1_field_value(head, i);
		n++;
	}
	return n;
}

/*
 * Returns the rule that the fields break which say how long the body is. A
 * coding other than chunked cannot be read here, and its length is not known
 * (RFC 9112 section 6.3). Where http-parser understood these fields in another
 * way, the message has no one meaning either.
 */
static enum fg_h1_rule check_framing(const struct fg_h1 *h)
{
	const struct fg_h1_head *head = &h->head;
	const char *coding = "";
	const char *length = "";
	uint32_t n_codings = find_fields(head, "Transfer-Encoding", &coding);
	uint32_t n_lengths = find_fields(head, "Content-Length", &length);
	size_t digits = strspn(length, "0123456789");

	if (n_codings > 1 ||
	    (n_codings == 1 && g_ascii_strcasecmp(coding, "chunked") != 0) ||
	    head->chunked != (n_codings == 1))
		return FG_H1_RULE_CODING;
	if (n_lengths + n_codings > 1 ||
	    (n_lengths == 1 && (digits == 0 || length[digits] != '\0')) ||
	    (head->length_bytes >= 0) != (n_lengths == 1))
		return FG_H1_RULE_LENGTH;
	return FG_H1_RULE_NONE;
}

/* Results of on_headers(), as http-parser defines them. */
enum {
	HAS_BODY = 0,
	NO_BODY = 1
};

static int on_headers(http_parser *p)
{
	struct fg_h1 *h = get_h1(p);
	struct fg_h1_head *head = &h->head;
	enum fg_h1_rule rule;

	/* Without a call of on_value(), value_at of the last field still points
	 * at its name; the value is empty. */
	if (head->n_fields > 0 && !h->in_value) {
		g_string_append_c(head->text, '\0');
		head->value_at[head->n_fields - 1] = (uint32_t)head->text->len;
	} else if (h->in_value) {
		trim_value(h);
	}
	g_string_append_c(head->text, '\0');
	head->n_head_fields = head->n_fields;
	head->method = p->method;
	head->status = p->status_code;
	head->http_minor = p->http_minor;
	head->chunked = (p->flags & F_CHUNKED) != 0;
	head->length_bytes = (p->flags & F_CONTENTLENGTH) != 0
				     ? (int64_t)p->content_length
				     : -1;
	head->keep_alive = http_should_keep_alive(p) != 0;
	rule = check_framing(h);
	if (rule != FG_H1_RULE_NONE) {
		break_rule(h, rule);
		return -1;
	}
	if (head->length_bytes > 0 &&
	    (uint64_t)head->length_bytes > h->body_max_bytes)
		return fail_parse(h, FG_H1_BODY_TOO_LARGE);
	if (!h->ops->on_head(h->ctx, head))
		return NO_BODY;
	return HAS_BODY;
}

static int on_body(http_parser *p, const char *data, size_t len)
{
	struct fg_h1 *h = get_h1(p);

	h->body_bytes += len;
	if (h->body_bytes > h->body_max_bytes)
		return fail_parse(h, FG_H1_BODY_TOO_LARGE);
	h->ops->on_body(h->ctx, data, len);
	return 0;
}

static int on_complete(http_parser *p)
{
	struct fg_h1 *h = get_h1(p);

	h->ended = true;
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_url = on_url,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_headers,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

/* ---- Status lines ---- */

#define STATUS_AT 9
#define STATUS_SWITCHING "101"

static bool is_expected(char c, size_t at)
{
	/* d: a digit, f: the first one of a status, e: after the status */
	static const char form[] = "HTTP/d.d fdde";

	switch (form[at]) {
	case 'd':
		return g_ascii_isdigit(c);
	case 'f':
		return c >= '1' && c <= '5';
	case 'e':
		return c == ' ' || c == '\r' || c == '\n';
	default:
		return c == form[at];
	}
}

enum fg_h1_line fg_h1_check_status_line(const char *line, size_t len_bytes)
{
	for (size_t i = 0; i < MIN(len_bytes, FG_H1_STATUS_LINE_BYTES); i++) {
		if (!is_expected(line[i], i))
			return i < STATUS_AT ? FG_H1_LINE_MALFORMED
					     : FG_H1_LINE_BAD_STATUS;
	}
	if (len_bytes < FG_H1_STATUS_LINE_BYTES)
		return FG_H1_LINE_PARTIAL;
	if (strncmp(line + STATUS_AT, STATUS_SWITCHING,
		    strlen(STATUS_SWITCHING)) == 0)
		return FG_H1_LINE_BAD_STATUS;
	return FG_H1_LINE_OK;
}

bool fg_h1_is_informational(unsigned int status)
{
	return status < HTTP_STATUS_OK;
}

bool fg_h1_may_begin_answer(const char *data, size_t len_bytes)
{
	return fg_h1_check_status_line(data, len_bytes) != FG_H1_LINE_MALFORMED;
}

void fg_h1_bad_status(const struct fg_h1 *h, char out[FG_H1_STATUS_TEXT_BYTES])
{
	uint32_t n = 0;

	for (uint32_t i = STATUS_AT; i < h->line_len; i++) {
		if (h->line[i] == ' ' || h->line[i] == '\r')
			break;
		out[n++] = g_ascii_isgraph(h->line[i]) ? h->line[i] : '?';
	}
	out[n] = '\0';
}

void fg_h1_format_fault_at(const struct fg_h1 *h, char out[FG_H1_AT_TEXT_BYTES])
{
	uint64_t at =
		h->fault == FG_H1_MALFORMED ? h->fault_at : h->message_bytes;

	g_snprintf(out, FG_H1_AT_TEXT_BYTES, "%" PRIu64, at);
}

/* Checks the beginning of an answer as it arrives. Returns false on a fault. */
static bool check_line(struct fg_h1 *h, const char *data, size_t len)
{
	enum fg_h1_line line = FG_H1_LINE_PARTIAL;

	for (size_t i = 0; i < len && h->line_len < FG_H1_STATUS_LINE_BYTES;
	     i++) {
		/* Empty lines before an answer are skipped. */
		if (h->line_len == 0 && (data[i] == '\r' || data[i] == '\n'))
			continue;
		h->line[h->line_len++] = data[i];
		line = fg_h1_check_status_line(h->line, h->line_len);
		if (line == FG_H1_LINE_MALFORMED) {
			break_rule(h, FG_H1_RULE_START_LINE);
			h->fault_at = h->message_bytes + i;
			return false;
		}
	}
	if (line == FG_H1_LINE_BAD_STATUS)
		h->fault = FG_H1_BAD_STATUS;
	return h->fault == FG_H1_OK;
}

/* ---- Parser ---- */

/* Bytes beside the body of a message: those of its head, its trailer and one
 * extension of a chunk, each of which http-parser limits to 80 KiB, and for
 * each byte of the body those of a chunk of its own, its size written with
 * leading zeros. */
#define FRAMING_MAX_BYTES (256 * 1024)
#define FRAMING_PER_BODY_BYTE 16

static bool has_endless_framing(const struct fg_h1 *h)
{
	return h->message_bytes - h->body_bytes >
	       FRAMING_MAX_BYTES + FRAMING_PER_BODY_BYTE * h->body_bytes;
}

/* An idle connection keeps no more than this of its last head. */
#define KEPT_HEAD_BYTES 4096

static void reset_head(struct fg_h1 *h)
{
	if (h->head.text->allocated_len > KEPT_HEAD_BYTES) {
		g_string_free(h->head.text, TRUE);
		h->head.text = g_string_new(NULL);
	}
	g_string_truncate(h->head.text, 0);
	h->head.n_fields = 0;
	h->head.n_head_fields = 0;
	h->head.target_at = 0;
	h->body_bytes = 0;
	h->message_bytes = 0;
	h->line_len = 0;
	h->in_value = false;
	h->ended = false;
	h->started = false;
	h->fault = FG_H1_OK;
	h->rule = FG_H1_RULE_NONE;
	h->fault_at = 0;
	fg_h1_check_reset(&h->check, h->parser.type == HTTP_REQUEST);
}

void fg_h1_init(struct fg_h1 *h, bool requests, const struct fg_h1_ops *ops,
		void *ctx, uint32_t head_max_bytes, uint64_t body_max_bytes)
{
	memset(h, 0, sizeof(*h));
	http_parser_init(&h->parser, requests ? HTTP_REQUEST : HTTP_RESPONSE);
	h->parser.data = h;
	h->ops = ops;
	h->ctx = ctx;
	h->head_max_bytes = head_max_bytes;
	h->body_max_bytes = body_max_bytes;
	h->head.text = g_string_new(NULL);
	reset_head(h);
}

void fg_h1_clear(struct fg_h1 *h)
{
	if (h->head.text != NULL)
		g_string_free(h->head.text, TRUE);
	h->head.text = NULL;
}

static void notify_end(struct fg_h1 *h)
{
	if (h->ops->on_end != NULL)
		h->ops->on_end(h->ctx);
}

/* Finds out whether the bytes that were parsed last end the message by a fault.
 * That of a callback, or of http-parser, lies before that of the check. */
static void note_fault(struct fg_h1 *h)
{
	enum http_errno error = HTTP_PARSER_ERRNO(&h->parser);

	if (h->fault == FG_H1_OK && error == HPE_HEADER_OVERFLOW)
		h->fault = FG_H1_HEAD_TOO_LARGE;
	else if (h->fault == FG_H1_OK &&
		 (error != HPE_OK || h->parser.upgrade ||
		  has_endless_framing(h)))
		break_rule(h, FG_H1_RULE_SYNTAX);
	else if (h->fault == FG_H1_OK && h->check.broken != FG_H1_RULE_NONE)
		break_rule(h, h->check.broken);
	if (h->fault == FG_H1_MALFORMED)
		h->fault_at = h->message_bytes;
}

/* Parses bytes that the check allowed. Returns the number of bytes consumed. */
static size_t parse_bytes(struct fg_h1 *h, const char *data, size_t len)
{
	size_t n_consumed = 0;

	/* http-parser takes 0 bytes for the end of the connection. */
	if (len > 0)
		n_consumed = http_parser_execute(&h->parser, &parser_settings,
						 data, len);
	h->message_bytes += n_consumed;
	if (!h->ended)
		note_fault(h);
	return n_consumed;
}

/* Returns whether the bytes are a tab that http-parser refuses where RFC 9112
 * allows blanks: beside a length, a coding, or the size of a chunk. */
static bool is_refused_tab(const struct fg_h1 *h, const char *data, size_t len)
{
	const struct fg_h1_head *head = &h->head;
	const char *name;

	if (len != 1 || *data != '\t')
		return false;
	if (h->check.state != FG_H1_CHECK_VALUE || !h->in_value)
		return h->check.state == FG_H1_CHECK_CHUNK_BLANK;
	name = fg_h1_field_name(head, head->n_fields - 1);
	return g_ascii_strcasecmp(name, "Content-Length") == 0 ||
	       g_ascii_strcasecmp(name, "Transfer-Encoding") == 0;
}

size_t fg_h1_feed(struct fg_h1 *h, const char *data, size_t len_bytes)
{
	size_t used = 0;

	if (h->ended || h->fault != FG_H1_OK || len_bytes == 0)
		return 0;
	h->started = true;
	if (h->parser.type == HTTP_RESPONSE && !check_line(h, data, len_bytes))
		return 0;
	while (used < len_bytes && !h->ended && h->fault == FG_H1_OK) {
		const char *bytes = data + used;
		size_t n = fg_h1_check_feed(&h->check, bytes, len_bytes - used);

		if (is_refused_tab(h, bytes, n))
			bytes = " ";
		used += parse_bytes(h, bytes, n);
		if (h->check.state == FG_H1_CHECK_HEAD_END)
			fg_h1_check_begin_body(&h->check, h->head.chunked);
	}
	if (h->ended)
		notify_end(h);
	return used;
}

bool fg_h1_eof(struct fg_h1 *h)
{
	if (h->ended || h->fault != FG_H1_OK || !h->started)
		return false;
	http_parser_execute(&h->parser, &parser_settings, NULL, 0);
	if (!h->ended)
		return false;
	notify_end(h);
	return true;
}

void fg_h1_reset(struct fg_h1 *h)
{
	http_parser_init(&h->parser, (enum http_parser_type)h->parser.type);
	h->parser.data = h;
	reset_head(h);
}
