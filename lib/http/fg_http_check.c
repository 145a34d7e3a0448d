#include "http/fg_http_check.h"

#include <string.h>

/* One head; the sum of those before an answer is limited elsewhere. */
#define HEAD_MAX_BYTES (256 * 1024)

static bool on_head(void *ctx, const struct fg_h1_head *head)
{
	(void)ctx;
	(void)head;
	return true;
}

static void on_body(void *ctx, const char *data, size_t len)
{
	(void)ctx;
	(void)data;
	(void)len;
}

static const struct fg_h1_ops h1_ops = {
	.on_head = on_head,
	.on_body = on_body,
};

/* Returns whether the answer that is being read is informational. */
static bool is_informational(const struct fg_http_check *c)
{
	return fg_h1_is_informational(c->h1.parser.status_code);
}

static void check_bytes(struct fg_http_check *c, const char *data, size_t len)
{
	while (len > 0 && !c->broken) {
		size_t used = fg_h1_feed(&c->h1, data, len);

		data += used;
		len -= used;
		c->broken = c->h1.fault != FG_H1_OK;
		if (c->h1.ended && is_informational(c))
			fg_h1_reset(&c->h1);
		else if (c->h1.ended)
			break;
	}
	if (c->h1.ended && !fg_h1_may_begin_answer(data, len))
		c->has_rest = true;
	c->broken = c->broken || c->has_rest;
}

static bool begins_with(const char *data, size_t size, const char *text)
{
	return size >= strlen(text) && strncmp(data, text, strlen(text)) == 0;
}

/* libcurl does not show the empty line of an informational answer, but only the
 * first line of the next one. */
static void check_header(struct fg_http_check *c, const char *line, size_t size)
{
	static const char empty_line[] = "\r\n";

	if (c->h1.started && is_informational(c) &&
	    begins_with(line, size, "HTTP/"))
		check_bytes(c, empty_line, strlen(empty_line));
	check_bytes(c, line, size);
}

/* Gets all that libcurl reads and says. Behind a body of no bytes, it says that
 * there are more, and shows none of them. */
static int on_debug(CURL *curl, curl_infotype type, char *data, size_t size,
		    void *arg)
{
	struct fg_http_check *c = arg;

	(void)curl;
	if (type == CURLINFO_HEADER_IN)
		check_header(c, data, size);
	else if (type == CURLINFO_DATA_IN)
		check_bytes(c, data, size);
	else if (type == CURLINFO_TEXT &&
		 begins_with(data, size, "Excess found:"))
		c->has_rest = true;
	return 0;
}

void fg_http_check_begin(struct fg_http_check *c, CURL *curl)
{
	memset(c, 0, sizeof(*c));
	c->curl = curl;
	fg_h1_init(&c->h1, false, &h1_ops, c, HEAD_MAX_BYTES, UINT64_MAX);
	curl_easy_setopt(curl, CURLOPT_DEBUGFUNCTION, on_debug);
	curl_easy_setopt(curl, CURLOPT_DEBUGDATA, c);
	curl_easy_setopt(curl, CURLOPT_VERBOSE, 1L);
}

bool fg_http_check_end(struct fg_http_check *c)
{
	if (!c->h1.ended && !fg_h1_eof(&c->h1))
		c->broken = true;
	c->broken = c->broken || c->has_rest;
	return !c->broken;
}

enum fg_h1_rule fg_http_check_rule(const struct fg_http_check *c)
{
	return c->has_rest ? FG_H1_RULE_REST : c->h1.rule;
}

void fg_http_check_clear(struct fg_http_check *c)
{
	/* libcurl also reports on a connection that it closes later. */
	curl_easy_setopt(c->curl, CURLOPT_VERBOSE, 0L);
	curl_easy_setopt(c->curl, CURLOPT_DEBUGDATA, NULL);
	fg_h1_clear(&c->h1);
}
