/*
 * fgctl - the operators' command.
 *
 *   main.c      options, choice of the command, exit status
 *   commands.c  one function for each noun and verb
 *   change.c    sending a change and telling its answer
 *   http.c      calls to the entry instances
 *   print.c     tables for people, JSON for machines
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
	CTL_REFUSED = 1, /* invalid, or refused by the entry */
	CTL_USAGE = 2,
	CTL_CONFLICT = 3,    /* another change won the race */
	CTL_PENDING = 4,     /* stored, not yet in force everywhere */
	CTL_UNREACHABLE = 5, /* no entry answered, or its platform is down */
	CTL_UNKNOWN = 6,     /* the change may or may not have been stored */
};

/* What the command line asked for. */
struct ctl {
	char **addresses; /* "IP:port", NULL-terminated */
	bool json;
	uint64_t expect_revision; /* 0: whatever is newest */
	uint32_t wait_ms;
	uint32_t timeout_ms;
	char *again; /* the command without options, for hints */
	char **args; /* after noun and verb */
	int n_args;
};

/* http.c */
enum ctl_http_result {
	CTL_HTTP_OK = 0,
	CTL_HTTP_NOT_SENT, /* no connection: nothing was asked */
	CTL_HTTP_LOST,	   /* sent, but no whole answer came */
};

struct ctl_answer {
	long status;
	json_t *body; /* NULL when it is no JSON */
};

void ctl_answer_clear(struct ctl_answer *a);

/* One call to one address; post NULL means GET. */
enum ctl_http_result ctl_call(const struct ctl *c, const char *address,
			      const char *path, const char *post,
			      struct ctl_answer *out);

/* GET from the first address that answers 200; NULL after a message. */
json_t *ctl_get(const struct ctl *c, const char *path);

/* GET of a text; NULL after a message. g_free() it. */
char *ctl_get_text(const struct ctl *c, const char *address, const char *path);

/* change.c: sends the change, tells the answer, returns the exit status.
 * Takes the reference to change. */
int ctl_change(const struct ctl *c, json_t *change);

/* print.c */
struct ctl_table;
struct ctl_table *ctl_table_new(const char *const *titles);
void ctl_table_row(struct ctl_table *t, const char *const *cells);
void ctl_table_print(struct ctl_table *t); /* frees it as well */
void ctl_print_json(const json_t *value);
/* A list of JSON objects: a table of their plain members, or JSON. */
void ctl_print_objects(const struct ctl *c, const json_t *list);
void ctl_error(const char *fmt, ...) G_GNUC_PRINTF(1, 2);

/* commands.c */
int ctl_run(struct ctl *c, char **words, int n_words);
extern const char ctl_commands_help[];

#endif
