/*
 * fg_history - a history of what a process did, for checking runs.
 *
 * One JSON line per event, {"t":MS,"who":NAME,"ev":EVENT,...}, with the
 * fields of docs/PROTOCOL.md section 6. Each line is one write(2) to a file
 * opened for appending, so that several processes may share a file and a
 * killed process leaves at most its last line incomplete. Thread safe; the
 * order of lines is the order of their times within one history.
 */
#ifndef FG_HISTORY_H
#define FG_HISTORY_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

#define FG_HISTORY_ERROR (fg_history_error_quark())
GQuark fg_history_error_quark(void);

enum fg_history_error {
	FG_HISTORY_ERR_OPEN, /* the file cannot be opened for appending */
};

struct fg_history;

/* Opens path for appending and writes the event `open`, by which a checker
 * sees that this process kept a history; who names the process. NULL with
 * *error set when that fails. */
struct fg_history *fg_history_open(const char *path, const char *who,
				   GError **error);

/* Closes; NULL is allowed. */
void fg_history_close(struct fg_history *h);

/*
 * Appends event ev with the fields of the JSON object `fields`, which may be
 * NULL; takes over the reference. A NULL h is allowed and appends nothing, so
 * that callers need no check of whether a history is kept.
 */
void fg_history_add(struct fg_history *h, const char *ev, json_t *fields);

/* The same, with fields by the format of json_pack(), such as
 * fg_history_log(h, "release", "{s:I}", "grant", id). A format that does not
 * fit its arguments is a fault of the program and ends it; optional strings
 * are "s?". */
void fg_history_log(struct fg_history *h, const char *ev, const char *format,
		    ...);

/* Lines that could not be written whole since the opening. */
uint64_t fg_history_failures(struct fg_history *h);

#endif
