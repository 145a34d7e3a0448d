/*
 * fg_daemon - the command line that the serving programs share: --config,
 * --check-config, --version, --help.
 */
#ifndef FG_DAEMON_H
#define FG_DAEMON_H

#include <stdbool.h>

/* Exit statuses of the serving programs; 0 after a planned stop. */
#define FG_EXIT_START 1 /* could not start */
#define FG_EXIT_USAGE 2 /* wrong usage or settings */

struct fg_daemon {
	const char *name; /* of the program */
	/* Serves with the settings at `path`, or only checks them; returns the
	 * exit status. */
	int (*run)(const char *path, bool check_only);
};

/* To be returned by main(). */
int fg_daemon_main(const struct fg_daemon *d, int argc, char **argv);

#endif
