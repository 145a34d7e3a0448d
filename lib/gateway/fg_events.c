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
	e->continues = e->continues || e->n_complete > 0;
	e->broken = false;
}

void fg_events_continue_after(struct fg_events *e, uint64_t last_id)
{
	e->continues = true;
	e->last_id = last_id;
}

/* Parses a line "id: N"; returns false for all other lines. */
static bool parse_id(const char *line, size_t len, uint64_t *id)
{
	char text[24];

	if (len < 4 || strncmp(line, "id:", 3) != 0 || len >= sizeof(text))
		return false;
	line += 3;
	len -= 3;
	memcpy(text, line, len);
	text[len] = '\0';
	g_strstrip(text);
	if (!g_ascii_isdigit(text[0]))
		return false;
	*id = g_ascii_strtoull(text, NULL, 10);
	return true;
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

/* Returns whether the line is one of an answer's head: of its beginning, or a
 * field that says what its body is. One of them comes with each copy of another
 * answer, also where that begins within a line of the stream. */
static bool is_head_line(const char *line, size_t len)
{
	static const char *const begins[] = {
		"HTTP/1.",
		"Content-Type:", "Content-Length:", "Transfer-Encoding:"
	};

	for (size_t i = 0; i < G_N_ELEMENTS(begins); i++) {
		size_t n = strlen(begins[i]);

		if (len >= n && g_ascii_strncasecmp(line, begins[i], n) == 0)
			return true;
	}
	return false;
}

struct event_lines {
	bool has_head_line;
	bool has_id;
	uint64_t id;
	bool only_comments;
};

static struct event_lines parse_lines(const char *text, size_t len)
{
	struct event_lines out = { .only_comments = true };
	size_t at = 0;

	while (at < len) {
		const char *lf = memchr(text + at, '\n', len - at);
		size_t line = (size_t)(lf - text) - at;

		if (parse_id(text + at, line, &out.id))
			out.has_id = true;
		if (is_head_line(text + at, line))
			out.has_head_line = true;
		if (line > 0 && text[at] != ':' && text[at] != '\r')
			out.only_comments = false;
		at += line + 1;
	}
	return out;
}

/* Returns whether the event may follow those before it. */
static bool is_next_event(const struct fg_events *e,
			  const struct event_lines *lines)
{
	if (lines->has_head_line)
		return false;
	if (lines->only_comments)
		return true;
	if (e->continues)
		return lines->has_id && lines->id > e->last_id;
	return !e->has_id || !lines->has_id || lines->id > e->last_id;
}

/* Counts a complete event; returns false when it does not continue the stream.
 */
static bool count_event(struct fg_events *e, const char *text, size_t len)
{
	struct event_lines lines = parse_lines(text, len);

	if (!is_next_event(e, &lines)) {
		e->broken = true;
		return false;
	}
	if (lines.has_id) {
		e->has_id = true;
		e->last_id = lines.id;
	}
	e->n_complete++;
	return true;
}

gssize fg_events_feed(struct fg_events *e, const char *data, size_t len_bytes)
{
	size_t complete_bytes = 0;
	size_t n;

	g_string_append_len(e->partial, data, (gssize)len_bytes);
	while (!e->broken &&
	       (n = event_length(e->partial->str + complete_bytes,
				 e->partial->len - complete_bytes)) > 0) {
		if (count_event(e, e->partial->str + complete_bytes, n))
			complete_bytes += n;
	}
	if (!e->broken && e->partial->len - complete_bytes > FG_EVENT_MAX_BYTES)
		return -1;
	return (gssize)complete_bytes;
}

void fg_events_consume(struct fg_events *e, size_t len_bytes)
{
	g_string_erase(e->partial, 0, (gssize)len_bytes);
}
