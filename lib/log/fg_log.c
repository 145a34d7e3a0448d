/*
 * Log lines through log4c: one category, one appender, and one layout that
 * puts the time first.
 *
 * log4c_init() is not called, because it would read rc files from the working
 * directory and the home directory. log4c's tables are not thread-safe: a
 * mutex protects every call. No other lock is taken while the mutex is held.
 */
#include "log/fg_log.h"

#include <fcntl.h>
#include <glib.h>
#include <log4c/appender.h>
#include <log4c/category.h>
#include <log4c/layout.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base/fg_clock.h"

#define CATEGORY "fulmargauge"
#define VALUE_MAX_BYTES 1024 /* longer values are truncated */
#define TIME_BYTES 40
#define CLOSE_WAIT_MS 50

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static log4c_category_t *category; /* NULL until opened */
static GString *line_buf;	   /* formatted line; NULL while closed */
static char *self;		   /* value of who=; may be NULL */
static int enabled; /* highest level written; read without the lock */

/* ---- Rate limits; all protected by the lock ---- */

#define KINDS_MAX 24
#define KIND_BYTES 48

struct dropped {
	char kind[KIND_BYTES]; /* "module.event" */
	uint32_t lines;
};

static struct fg_log_rate_limits limits; /* lines_per_s 0: no limits */
static int output = STDERR_FILENO;
static int64_t current_s;  /* current second of the monotonic clock */
static uint32_t n_lines;   /* from fg_log() in this second */
static uint32_t n_routine; /* from fg_log_routine() in this second */
static uint32_t n_burst;   /* allowed beyond the limit of fg_log() */
static struct dropped dropped[KINDS_MAX];
static size_t n_dropped;

static void count_dropped(const char *module, const char *event)
{
	char kind[KIND_BYTES];
	size_t i;

	g_snprintf(kind, sizeof(kind), "%s.%s", module, event);
	for (i = 0; i < n_dropped && strcmp(dropped[i].kind, kind) != 0; i++)
		;
	/* The last entry also counts all further kinds. */
	if (i == KINDS_MAX)
		i = KINDS_MAX - 1;
	if (i == n_dropped) {
		g_strlcpy(dropped[i].kind, kind, sizeof(dropped[i].kind));
		dropped[i].lines = 0;
		n_dropped++;
	}
	dropped[i].lines++;
}

static int priority_of(enum fg_log_level level)
{
	switch (level) {
	case FG_LOG_ERROR:
		return LOG4C_PRIORITY_ERROR;
	case FG_LOG_WARN:
		return LOG4C_PRIORITY_WARN;
	case FG_LOG_INFO:
		return LOG4C_PRIORITY_INFO;
	case FG_LOG_DEBUG:
		return LOG4C_PRIORITY_DEBUG;
	}
	return LOG4C_PRIORITY_ERROR;
}

/* ---- Layout and appender ---- */

static const char *layout_format(const log4c_layout_t *layout,
				 const log4c_logging_event_t *event)
{
	time_t seconds = event->evt_timestamp.tv_sec;
	char timestamp[TIME_BYTES];
	struct tm tm;

	(void)layout;
	gmtime_r(&seconds, &tm);
	strftime(timestamp, sizeof(timestamp), "%Y-%m-%dT%H:%M:%S", &tm);
	g_string_printf(line_buf, "time=%s.%03ldZ %s\n", timestamp,
			(long)(event->evt_timestamp.tv_usec / FG_MS_PER_S),
			event->evt_msg);
	return line_buf->str;
}

static bool write_failed; /* of the last line; protected by the lock */

/* Writes each line with one write(), so that lines of several processes are
 * not interleaved. */
static int appender_append(log4c_appender_t *appender,
			   const log4c_logging_event_t *event)
{
	const char *text = event->evt_rendered_msg;
	ssize_t n = write(output, text, strlen(text));

	(void)appender;
	write_failed = n < 0;
	return n < 0 ? -1 : 0;
}

static int appender_no_op(log4c_appender_t *appender)
{
	(void)appender;
	return 0;
}

static const log4c_layout_type_t layout_type = {
	.name = "fg_fields",
	.format = layout_format,
};

static const log4c_appender_type_t appender_type = {
	.name = "fg_stderr",
	.open = appender_no_op,
	.append = appender_append,
	.close = appender_no_op,
};

static void open_category(void)
{
	log4c_layout_t *layout;
	log4c_appender_t *appender;

	log4c_layout_type_set(&layout_type);
	log4c_appender_type_set(&appender_type);
	layout = log4c_layout_get("fg_fields");
	log4c_layout_set_type(layout, &layout_type);
	appender = log4c_appender_get("fg_stderr");
	log4c_appender_set_type(appender, &appender_type);
	log4c_appender_set_layout(appender, layout);
	category = log4c_category_get(CATEGORY);
	log4c_category_set_appender(category, appender);
	log4c_category_set_additivity(category, 0);
}

void fg_log_open(const char *who, enum fg_log_level level)
{
	pthread_mutex_lock(&lock);
	if (line_buf == NULL)
		line_buf = g_string_new(NULL);
	if (category == NULL)
		open_category();
	log4c_category_set_priority(category, priority_of(level));
	g_free(self);
	self = g_strdup(who);
	__atomic_store_n(&enabled, (int)level, __ATOMIC_RELEASE);
	pthread_mutex_unlock(&lock);
}

bool fg_log_enabled(enum fg_log_level level)
{
	return (int)level <= __atomic_load_n(&enabled, __ATOMIC_ACQUIRE);
}

/* ---- Fields ---- */

static bool is_plain(const char *value)
{
	for (const char *s = value; *s != '\0'; s++) {
		unsigned char ch = (unsigned char)*s;

		if (ch <= ' ' || ch >= 0x7f || strchr("\"=\\", ch) != NULL)
			return false;
	}
	return value[0] != '\0';
}

static void append_quoted(GString *out, const char *value)
{
	size_t len = strnlen(value, VALUE_MAX_BYTES + 1);
	bool utf8 = g_utf8_validate(value, (gssize)len, NULL);

	g_string_append_c(out, '"');
	for (size_t i = 0; i < MIN(len, VALUE_MAX_BYTES); i++) {
		unsigned char ch = (unsigned char)value[i];

		if (ch == '"' || ch == '\\')
			g_string_append_printf(out, "\\%c", ch);
		else if (ch == '\n')
			g_string_append(out, "\\n");
		else if (ch < ' ' || ch == 0x7f || (ch >= 0x80 && !utf8))
			g_string_append_printf(out, "\\x%02x", ch);
		else
			g_string_append_c(out, (char)ch);
	}
	g_string_append(out, len > VALUE_MAX_BYTES ? "...\"" : "\"");
}

static void append_field(GString *out, const char *name, const char *value)
{
	if (value == NULL)
		return;
	if (out->len > 0)
		g_string_append_c(out, ' ');
	g_string_append_printf(out, "%s=", name);
	if (is_plain(value) && strlen(value) <= VALUE_MAX_BYTES)
		g_string_append(out, value);
	else
		append_quoted(out, value);
}

static char *format_fields(enum fg_log_level level, const char *module,
			   const char *event, const char *who, va_list ap)
{
	GString *out = g_string_new(NULL);
	const char *name;

	append_field(out, "level", fg_log_level_name(level));
	append_field(out, "module", module);
	append_field(out, "event", event);
	append_field(out, "who", who);
	while ((name = va_arg(ap, const char *)) != NULL)
		append_field(out, name, va_arg(ap, const char *));
	return g_string_free(out, FALSE);
}

char *fg_log_format(enum fg_log_level level, const char *module,
		    const char *event, ...)
{
	va_list ap;
	char *text;

	va_start(ap, event);
	text = format_fields(level, module, event, NULL, ap);
	va_end(ap);
	return text;
}

/* Writes how many lines were dropped. If that line cannot be written either,
 * the numbers are kept. */
static void write_dropped(void)
{
	GString *text;

	if (n_dropped == 0)
		return;
	text = g_string_new("level=warn module=log event=dropped");
	append_field(text, "who", self);
	for (size_t i = 0; i < n_dropped; i++)
		g_string_append_printf(text, " %s=%u", dropped[i].kind,
				       dropped[i].lines);
	log4c_category_log(category, LOG4C_PRIORITY_WARN, "%s", text->str);
	if (!write_failed)
		n_dropped = 0;
	g_string_free(text, TRUE);
}

/* In a new second, resets the counts and logs how many lines were dropped. */
static void start_new_second(void)
{
	int64_t now = fg_clock_now() / FG_MS_PER_S;

	if (now == current_s)
		return;
	current_s = now;
	n_lines = 0;
	n_routine = 0;
	write_dropped();
}

/* Counts one more line and returns true if the limits allow it. */
static bool allow_line(bool is_routine)
{
	if (limits.lines_per_s == 0)
		return true;
	start_new_second();
	if (is_routine && n_routine >= limits.routine_per_s)
		return false;
	if (!is_routine && n_lines >= limits.lines_per_s) {
		if (n_burst == 0)
			return false;
		n_burst--;
		return true;
	}
	if (is_routine)
		n_routine++;
	else
		n_lines++;
	return true;
}

/* A reader that has fallen behind gets a moment to take the last line. */
static void wait_for_output(void)
{
	struct pollfd fd = { .fd = output, .events = POLLOUT };

	(void)poll(&fd, 1, CLOSE_WAIT_MS);
}

void fg_log_close(void)
{
	pthread_mutex_lock(&lock);
	if (line_buf != NULL && n_dropped > 0) {
		wait_for_output();
		write_dropped();
	}
	__atomic_store_n(&enabled, 0, __ATOMIC_RELEASE);
	g_free(self);
	self = NULL;
	if (line_buf != NULL)
		g_string_free(line_buf, TRUE);
	line_buf = NULL;
	pthread_mutex_unlock(&lock);
}

static void write_line(enum fg_log_level level, bool is_routine,
		       const char *module, const char *event, va_list ap)
{
	char *text;

	if (!fg_log_enabled(level))
		return;
	pthread_mutex_lock(&lock);
	if (line_buf == NULL) {
		pthread_mutex_unlock(&lock);
		return;
	}
	if (allow_line(is_routine)) {
		text = format_fields(level, module, event, self, ap);
		log4c_category_log(category, priority_of(level), "%s", text);
		g_free(text);
		if (write_failed && limits.lines_per_s > 0)
			count_dropped(module, event);
	} else {
		count_dropped(module, event);
	}
	pthread_mutex_unlock(&lock);
}

void fg_log(enum fg_log_level level, const char *module, const char *event, ...)
{
	va_list ap;

	va_start(ap, event);
	write_line(level, false, module, event, ap);
	va_end(ap);
}

void fg_log_routine(const char *module, const char *event, ...)
{
	va_list ap;

	va_start(ap, event);
	write_line(FG_LOG_INFO, true, module, event, ap);
	va_end(ap);
}

void fg_log_allow_burst(uint32_t n)
{
	pthread_mutex_lock(&lock);
	n_burst = n;
	pthread_mutex_unlock(&lock);
}

void fg_log_limit_rate(const struct fg_log_rate_limits *new_limits)
{
	int flags;

	pthread_mutex_lock(&lock);
	limits = *new_limits;
	output = STDOUT_FILENO;
	flags = fcntl(output, F_GETFL);
	/* If O_NONBLOCK cannot be set, writes to a full pipe block. The limits
	 * still apply. */
	if (flags >= 0)
		(void)fcntl(output, F_SETFL, flags | O_NONBLOCK);
	pthread_mutex_unlock(&lock);
}
