/*
 * fg_history - the event history of a process, the input of fg_check.
 *
 * Each event is one JSON line, {"t":MS,"who":NAME,"ev":EVENT,...}, with the
 * fields of docs/PROTOCOL.md section 6. Each line is one write(2) to a file
 * opened for appending: several processes may share a file, and a killed
 * process leaves at most its last line incomplete. Thread-safe. The lines of
 * one history are in the order of their times.
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

/* Opens `path` for appending and writes the event `open`, which shows that this
 * process kept a history. `who` is the name of the process; it is copied.
 * Returns NULL and sets *error if the file cannot be opened. */
struct fg_history *fg_history_open(const char *path, const char *who,
				   GError **error);

/* Closes the file and frees h; NULL is allowed. */
void fg_history_close(struct fg_history *h);

/*
 * Appends event `ev` with the members of the JSON object `fields`, which may be
 * NULL. Takes ownership of the reference to `fields`. If h is NULL, nothing is
 * appended: callers need not check whether a history is kept.
 */
void fg_history_add(struct fg_history *h, const char *ev, json_t *fields);

/* Like fg_history_add(), with fields in the format of json_pack(), such as
 * fg_history_log(h, "release", "{s:I}", "grant", id). Optional strings use
 * "s?". A format that does not match its arguments aborts the program. */
void fg_history_log(struct fg_history *h, const char *ev, const char *format,
		    ...);

/* Returns how many lines were lost or written incompletely since the file was
 * opened. */
uint64_t fg_history_failures(struct fg_history *h);

#endif
