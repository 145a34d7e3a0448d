/*
 * si_log - the execution log of a stand-in: what really happened.
 *
 * Events are JSON lines as docs/PROTOCOL.md, section 6, defines them. They are
 * kept in memory for GET /control/log and, when a file is given, written to
 * it line by line, so that a crash loses none.
 */
#ifndef SI_LOG_H
#define SI_LOG_H

#include <jansson.h>

struct si_log;

/* Opens the log of `who`; path "" keeps it in memory alone. NULL when the
 * file cannot be opened. */
struct si_log *si_log_new(const char *who, const char *path);
void si_log_free(struct si_log *log);

/* Adds an event. The time is taken inside the log's lock, so that the order
 * of the lines is that of their times. Steals fields. */
void si_log_event(struct si_log *log, const char *ev, json_t *fields);

/* Copy of the whole log, g_malloc'ed. */
char *si_log_text(struct si_log *log);

#endif
