#include "common/si_log.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/fg_clock.h"

/* Events beyond this size are not kept in memory. */
#define LOG_MEMORY_MAX_BYTES ((size_t)64 << 20)

struct si_log {
	pthread_mutex_t lock;
	char *proc_name;
	GString *text;
	int fd; /* -1: no file */
};

struct si_log *si_log_new(const char *proc_name, const char *path)
{
	struct si_log *log;
	int fd = -1;

	if (*path) {
		fd = open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
			  0644);
		if (fd < 0) {
			fprintf(stderr, "%s: %s\n", path, strerror(errno));
			return NULL;
		}
	}
	log = g_new0(struct si_log, 1);
	pthread_mutex_init(&log->lock, NULL);
	log->proc_name = g_strdup(proc_name);
	log->text = g_string_new(NULL);
	log->fd = fd;
	si_log_event(log, "open", NULL);
	return log;
}

void si_log_free(struct si_log *log)
{
	if (!log)
		return;
	if (log->fd >= 0)
		close(log->fd);
	g_string_free(log->text, TRUE);
	g_free(log->proc_name);
	pthread_mutex_destroy(&log->lock);
	g_free(log);
}

static void write_line(struct si_log *log, const char *line)
{
	size_t len_bytes = strlen(line);

	if (log->text->len + len_bytes <= LOG_MEMORY_MAX_BYTES)
		g_string_append_len(log->text, line, (gssize)len_bytes);
	if (log->fd >= 0 && write(log->fd, line, len_bytes) < 0)
		fprintf(stderr, "cannot write the execution log: %s\n",
			strerror(errno));
}

void si_log_event(struct si_log *log, const char *ev, json_t *fields)
{
	json_t *event;
	char *text;
	char *line;

	pthread_mutex_lock(&log->lock);
	event = json_pack("{s:I, s:s, s:s}", "t", (json_int_t)fg_clock_now(),
			  "who", log->proc_name, "ev", ev);
	json_object_update(event, fields);
	text = json_dumps(event, JSON_COMPACT);
	line = g_strconcat(text, "\n", NULL);
	write_line(log, line);
	pthread_mutex_unlock(&log->lock);
	g_free(line);
	free(text);
	json_decref(event);
	json_decref(fields);
}

char *si_log_text(struct si_log *log)
{
	char *copy;

	pthread_mutex_lock(&log->lock);
	copy = g_strdup(log->text->str);
	pthread_mutex_unlock(&log->lock);
	return copy;
}
