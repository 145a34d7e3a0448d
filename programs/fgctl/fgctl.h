/*
 * fgctl - the command-line tool of the operators.
 *
 *   main.c      options, addresses, exit status
 *   commands.c  command table, one function per noun and verb
 *   change.c    sends a change and prints its result
 *   http.c      HTTP calls to the entry instances
 *   print.c     output as tables or JSON, error messages
 */
#ifndef FGCTL_H
#define FGCTL_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* Exit statuses; documented in --help and docs/OPERATIONS.md. */
enum ctl_exit {
	CTL_OK = 0,
	CTL_REFUSED = 1,     /* the change is invalid or the entry refused it */
	CTL_USAGE = 2,	     /* invalid command line */
	CTL_CONFLICT = 3,    /* another change was stored first */
	CTL_PENDING = 4,     /* stored, but not yet in force everywhere */
	CTL_UNREACHABLE = 5, /* no entry answered, or its platform is down */
	CTL_UNKNOWN = 6,     /* the change may or may not have been stored */
};

/* The parsed command line. */
struct ctl {
	char **addresses;	  /* "IP:port", NULL-terminated */
	bool json;		  /* print JSON instead of text and tables */
	uint64_t expect_revision; /* 0 for the newest revision */
	uint32_t wait_ms;	  /* for all instances to acknowledge */
	uint32_t timeout_ms;	  /* of one HTTP call */
	char *command; /* quoted command without options, for hints */
	char **args;   /* arguments after noun and verb */
	int n_args;
};

/* http.c */
enum ctl_http_result {
	CTL_HTTP_OK = 0,
	CTL_HTTP_NOT_SENT, /* no connection: the request was not sent */
	CTL_HTTP_LOST,	   /* sent, but no complete answer arrived */
};

struct ctl_answer {
	long status;  /* HTTP status */
	json_t *body; /* NULL if the body is not JSON */
};

void ctl_answer_clear(struct ctl_answer *a);

/* Calls one address with POST, or with GET if `post` is NULL. The caller
 * releases *out with ctl_answer_clear(). */
enum ctl_http_result ctl_call(const struct ctl *c, const char *address,
			      const char *path, const char *post,
			      struct ctl_answer *out);

/* Returns the JSON body from the first address that answers 200; the caller
 * owns the reference. If no address does, prints errors and returns NULL. */
json_t *ctl_get(const struct ctl *c, const char *path);

/* Returns the body of an answer 200 as text that the caller frees with
 * g_free(). Otherwise prints an error and returns NULL. */
char *ctl_get_text(const struct ctl *c, const char *address, const char *path);

/* change.c */
/* Sends the change, prints the result and returns the exit status. Takes
 * ownership of the reference to `change`. */
int ctl_send_change(const struct ctl *c, json_t *change);

/* print.c */
struct ctl_table;
/* Tables copy their strings. The titles end with NULL; a row has one cell per
 * title, and a NULL cell is empty. ctl_table_print() also frees the table. */
struct ctl_table *ctl_table_new(const char *const *titles);
void ctl_table_add_row(struct ctl_table *t, const char *const *cells);
void ctl_table_print(struct ctl_table *t);
void ctl_print_json(const json_t *value);
/* Prints a list of JSON objects as JSON (--json), or as a table of the scalar
 * members of the first object. */
void ctl_print_objects(const struct ctl *c, const json_t *list);
/* Prints "fgctl: ", the message and a newline to standard error. */
void ctl_error(const char *fmt, ...) G_GNUC_PRINTF(1, 2);

/* commands.c */
/* Runs the command named by the first words; returns the exit status. */
int ctl_run_command(struct ctl *c, char **words, int n_words);
extern const char ctl_commands_help[];

#endif
