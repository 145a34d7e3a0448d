/*
 * si_log - the execution log of a stand-in, against which answers are checked.
 *
 * Events are JSON lines as docs/PROTOCOL.md, section 6, defines them. They are
 * kept in memory for GET /control/log. With a file, each line is also written
 * at once and unbuffered, so that a crash loses none.
 */
#ifndef SI_LOG_H
#define SI_LOG_H

#include <jansson.h>

struct si_log;

/* Opens the log of a process and appends to the file at path, if it is not "".
 * Returns NULL and writes to stderr when the file cannot be opened. */
struct si_log *si_log_new(const char *proc_name, const char *path);
void si_log_free(struct si_log *log);

/* Adds an event; takes over the reference to fields, which may be NULL. The
 * time is taken under the log's lock, so that lines are in order of time. */
void si_log_event(struct si_log *log, const char *ev, json_t *fields);

/* Returns a copy of the log in memory; the caller frees it with g_free(). */
char *si_log_text(struct si_log *log);

#endif
