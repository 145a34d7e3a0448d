#include "history/fg_history.h"

#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/fg_clock.h"

struct fg_history {
	int fd;
	char *who;
	pthread_mutex_t lock; /* keeps the lines in the order of their times */
	uint64_t failures;
};

GQuark fg_history_error_quark(void)
{
	return g_quark_from_static_string("fg-history-error");
}

struct fg_history *fg_history_open(const char *path, const char *who,
				   GError **error)
{
	int fd = open(path, O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
	struct fg_history *h;

	if (fd < 0) {
		g_set_error(error, FG_HISTORY_ERROR, FG_HISTORY_ERR_OPEN,
			    "cannot open history %s: %s", path,
			    g_strerror(errno));
		return NULL;
	}
	h = g_new0(struct fg_history, 1);
	h->fd = fd;
	h->who = g_strdup(who);
	pthread_mutex_init(&h->lock, NULL);
	fg_history_add(h, "open", NULL);
	return h;
}

void fg_history_close(struct fg_history *h)
{
	if (h == NULL)
		return;
	close(h->fd);
	pthread_mutex_destroy(&h->lock);
	g_free(h->who);
	g_free(h);
}

static void write_line(struct fg_history *h, const json_t *line)
{
	char *text = json_dumps(line, JSON_COMPACT);
	char *terminated = g_strconcat(text != NULL ? text : "", "\n", NULL);
	ssize_t len = strlen(terminated);

	if (text == NULL || write(h->fd, terminated, len) != len)
		h->failures++;
	g_free(terminated);
	free(text);
}

void fg_history_add(struct fg_history *h, const char *ev, json_t *fields)
{
	json_t *line;

	if (h == NULL) {
		json_decref(fields);
		return;
	}
	pthread_mutex_lock(&h->lock);
	line = json_pack("{s:I,s:s,s:s}", "t", (json_int_t)fg_clock_now(),
			 "who", h->who, "ev", ev);
	if (fields != NULL)
		json_object_update_missing(line, fields);
	write_line(h, line);
	pthread_mutex_unlock(&h->lock);
	json_decref(line);
	json_decref(fields);
}

void fg_history_log(struct fg_history *h, const char *ev, const char *format,
		    ...)
{
	json_error_t error;
	json_t *fields;
	va_list args;

	if (h == NULL)
		return;
	va_start(args, format);
	fields = json_vpack_ex(&error, 0, format, args);
	va_end(args);
	if (fields == NULL)
		g_error("history event %s: %s", ev, error.text);
	fg_history_add(h, ev, fields);
}

uint64_t fg_history_failures(struct fg_history *h)
{
	uint64_t failures;

	if (h == NULL)
		return 0;
	pthread_mutex_lock(&h->lock);
	failures = h->failures;
	pthread_mutex_unlock(&h->lock);
	return failures;
}
