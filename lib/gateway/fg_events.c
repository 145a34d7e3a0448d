#include "gateway/fg_events.h"

#include <string.h>

void fg_events_init(struct fg_events *e)
{
	memset(e, 0, sizeof(*e));
	e->partial = g_string_new(NULL);
}

void fg_events_clear(struct fg_events *e)
{
	if (e->partial != NULL)
		g_string_free(e->partial, TRUE);
	e->partial = NULL;
}

void fg_events_drop_partial(struct fg_events *e)
{
	g_string_truncate(e->partial, 0);
}

/* Parses a line "id: N"; ignores all other lines. */
static void parse_id(struct fg_events *e, const char *line, size_t len)
{
	char text[24];

	if (len < 4 || strncmp(line, "id:", 3) != 0 || len >= sizeof(text))
		return;
	line += 3;
	len -= 3;
	memcpy(text, line, len);
	text[len] = '\0';
	g_strstrip(text);
	if (!g_ascii_isdigit(text[0]))
		return;
	e->has_id = true;
	e->last_id = g_ascii_strtoull(text, NULL, 10);
}

/* Length of the event at the start of `text`, including the empty line that
 * ends it; 0 when the event is incomplete. */
static size_t event_length(const char *text, size_t len)
{
	size_t at = 0;

	while (at < len) {
		const char *lf = memchr(text + at, '\n', len - at);
		size_t line;

		if (lf == NULL)
			return 0;
		line = (size_t)(lf - text) - at;
		if (line == 0 || (line == 1 && text[at] == '\r'))
			return (size_t)(lf - text) + 1;
		at = (size_t)(lf - text) + 1;
	}
	return 0;
}

static void parse_lines(struct fg_events *e, const char *text, size_t len)
{
	size_t at = 0;

	while (at < len) {
		const char *lf = memchr(text + at, '\n', len - at);
		size_t line = (size_t)(lf - text) - at;

		parse_id(e, text + at, line);
		at += line + 1;
	}
}

gssize fg_events_feed(struct fg_events *e, const char *data, size_t len_bytes)
{
	size_t complete_bytes = 0;
	size_t n;

	g_string_append_len(e->partial, data, (gssize)len_bytes);
	while ((n = event_length(e->partial->str + complete_bytes,
				 e->partial->len - complete_bytes)) > 0) {
		parse_lines(e, e->partial->str + complete_bytes, n);
		e->n_complete++;
		complete_bytes += n;
	}
	if (e->partial->len - complete_bytes > FG_EVENT_MAX_BYTES)
		return -1;
	return (gssize)complete_bytes;
}

void fg_events_consume(struct fg_events *e, size_t len_bytes)
{
	g_string_erase(e->partial, 0, (gssize)len_bytes);
}
