/*
 * fg_daemon - the command line shared by the serving programs: --config,
 * --check-config, --version and --help.
 */
#ifndef FG_DAEMON_H
#define FG_DAEMON_H

#include <stdbool.h>

/* Exit statuses of the serving programs. Status 0 follows a planned stop. */
#define FG_EXIT_START 1 /* the program could not start */
#define FG_EXIT_USAGE 2 /* invalid command line or settings */

struct fg_daemon {
	const char *name; /* of the program, for messages */
	/* Reads the settings file `path` and serves until a planned stop. With
	 * check_only it validates the settings and returns. Returns the exit
	 * status. */
	int (*run)(const char *path, bool check_only);
};

/* Parses the command line, prints errors to standard error and calls d->run().
 * Returns the exit status for main(). */
int fg_daemon_main(const struct fg_daemon *d, int argc, char **argv);

#endif
