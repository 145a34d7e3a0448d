/*
 * Lines of key=value fields through log4c: one category, one appender, one
 * layout that puts the time in front.
 *
 * log4c_init() is not called: it would read rc files from the working
 * directory and the home directory. log4c's own tables are not safe for use
 * by several threads, so a mutex is held around every call; it is a leaf in
 * the lock order.
 */
#include "log/fg_log.h"

#include <fcntl.h>
#include <glib.h>
#include <log4c/appender.h>
#include <log4c/category.h>
#include <log4c/layout.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base/fg_clock.h"

#define CATEGORY "fulmargauge"
#define VALUE_MAX_BYTES 1024 /* longer values are cut */
#define TIME_BYTES 40

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static log4c_category_t *category; /* NULL until opened */
static GString *line;		   /* of the layout, under the lock */
static char *self;
static int enabled; /* highest level written; read without the lock */

/* ---- Bounds; all under the lock ---- */

#define KINDS_MAX 24
#define KIND_BYTES 48

struct dropped {
	char kind[KIND_BYTES]; /* "module.event" */
	uint32_t lines;
};

static struct fg_log_rate_limits bounds; /* lines_per_s 0: not bounded */
static int output = STDERR_FILENO;
static int64_t second;	 /* to which the counts belong */
static uint32_t lines;	 /* written in it */
static uint32_t routine; /* ... of these */
static struct dropped dropped[KINDS_MAX];
static size_t n_dropped;

static void count_dropped(const char *module, const char *event)
{
	char kind[KIND_BYTES];
	size_t i;

	g_snprintf(kind, sizeof(kind), "%s.%s", module, event);
	for (i = 0; i < n_dropped && strcmp(dropped[i].kind, kind) != 0; i++)
		;
	if (i == KINDS_MAX)
		i = KINDS_MAX - 1; /* the last one stands for the rest */
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
	char when[TIME_BYTES];
	struct tm tm;

	(void)layout;
	gmtime_r(&seconds, &tm);
	strftime(when, sizeof(when), "%Y-%m-%dT%H:%M:%S", &tm);
	g_string_printf(line, "time=%s.%03ldZ %s\n", when,
			(long)(event->evt_timestamp.tv_usec / FG_MS_PER_S),
			event->evt_msg);
	return line->str;
}

static bool write_failed;

/* One write for a line, so that lines of several processes do not mix. */
static int appender_append(log4c_appender_t *appender,
			   const log4c_logging_event_t *event)
{
	const char *text = event->evt_rendered_msg;
	ssize_t n = write(output, text, strlen(text));

	(void)appender;
	write_failed = n < 0;
	return n < 0 ? -1 : 0;
}

static int appender_nothing(log4c_appender_t *appender)
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
	.open = appender_nothing,
	.append = appender_append,
	.close = appender_nothing,
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
	if (line == NULL)
		line = g_string_new(NULL);
	if (category == NULL)
		open_category();
	log4c_category_set_priority(category, priority_of(level));
	g_free(self);
	self = g_strdup(who);
	__atomic_store_n(&enabled, (int)level, __ATOMIC_RELEASE);
	pthread_mutex_unlock(&lock);
}

void fg_log_close(void)
{
	pthread_mutex_lock(&lock);
	__atomic_store_n(&enabled, 0, __ATOMIC_RELEASE);
	g_free(self);
	self = NULL;
	if (line != NULL)
		g_string_free(line, TRUE);
	line = NULL;
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

static void put_quoted(GString *out, const char *value)
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

static void put_field(GString *out, const char *name, const char *value)
{
	if (value == NULL)
		return;
	if (out->len > 0)
		g_string_append_c(out, ' ');
	g_string_append_printf(out, "%s=", name);
	if (is_plain(value) && strlen(value) <= VALUE_MAX_BYTES)
		g_string_append(out, value);
	else
		put_quoted(out, value);
}

static char *format_fields(enum fg_log_level level, const char *module,
			   const char *event, const char *who, va_list ap)
{
	GString *out = g_string_new(NULL);
	const char *name;

	put_field(out, "level", fg_log_level_name(level));
	put_field(out, "module", module);
	put_field(out, "event", event);
	put_field(out, "who", who);
	while ((name = va_arg(ap, const char *)) != NULL)
		put_field(out, name, va_arg(ap, const char *));
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

/* Writes the counts of dropped lines when a new second begins. */
static void begin_second(void)
{
	GString *text;
	int64_t now = fg_clock_now() / FG_MS_PER_S;

	if (now == second)
		return;
	second = now;
	lines = 0;
	routine = 0;
	if (n_dropped == 0)
		return;
	text = g_string_new("level=warn module=log event=dropped");
	put_field(text, "who", self);
	for (size_t i = 0; i < n_dropped; i++)
		g_string_append_printf(text, " %s=%u", dropped[i].kind,
				       dropped[i].lines);
	log4c_category_log(category, LOG4C_PRIORITY_WARN, "%s", text->str);
	if (!write_failed)
		n_dropped = 0;
	g_string_free(text, TRUE);
}

/* May one more line be written in this second? */
static bool within_bounds(bool is_routine)
{
	if (bounds.lines_per_s == 0)
		return true;
	begin_second();
	if (is_routine && routine >= bounds.routine_per_s)
		return false;
	if (!is_routine && lines >= bounds.lines_per_s)
		return false;
	if (is_routine)
		routine++;
	else
		lines++;
	return true;
}

static void write_line(enum fg_log_level level, bool is_routine,
		       const char *module, const char *event, va_list ap)
{
	char *text;

	if (!fg_log_enabled(level))
		return;
	pthread_mutex_lock(&lock);
	if (line == NULL) {
		pthread_mutex_unlock(&lock);
		return;
	}
	if (within_bounds(is_routine)) {
		text = format_fields(level, module, event, self, ap);
		log4c_category_log(category, priority_of(level), "%s", text);
		g_free(text);
		if (write_failed && bounds.lines_per_s > 0)
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

void fg_log_limit_rate(const struct fg_log_rate_limits *wanted)
{
	int flags;

	pthread_mutex_lock(&lock);
	bounds = *wanted;
	output = STDOUT_FILENO;
	flags = fcntl(output, F_GETFL);
	/* Where this fails, a full pipe blocks; lines stay bounded. */
	if (flags >= 0)
		(void)fcntl(output, F_SETFL, flags | O_NONBLOCK);
	pthread_mutex_unlock(&lock);
}
