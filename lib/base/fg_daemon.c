#include "base/fg_daemon.h"

#include <glib.h>
#include <malloc.h>
#include <stdio.h>

#include "base/fg_version.h"

/* Larger blocks are mapped one by one: they grow without a copy, and go back to
 * the system when they are freed. */
#define MAPPED_BLOCK_BYTES (128 * 1024)

int fg_daemon_main(const struct fg_daemon *d, int argc, char **argv)
{
	gchar *path = NULL;
	gboolean check_only = FALSE;
	gboolean version = FALSE;
	GOptionEntry options[] = {
		{ "config", 'c', 0, G_OPTION_ARG_FILENAME, &path,
		  "settings of this instance (YAML)", "FILE" },
		{ "check-config", 0, 0, G_OPTION_ARG_NONE, &check_only,
		  "check the settings and exit", NULL },
		{ "version", 0, 0, G_OPTION_ARG_NONE, &version,
		  "print the version and exit", NULL },
		{ 0 },
	};
	GOptionContext *ctx = g_option_context_new("- serves callers");
	GError *error = NULL;
	int rc = FG_EXIT_USAGE;

	/* Without the option, freed blocks stay with the process longer. */
	(void)mallopt(M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES);
	g_option_context_add_main_entries(ctx, options, NULL);
	g_option_context_set_description(
		ctx, "Exit codes: 0 after a planned stop (SIGTERM or SIGINT), "
		     "1 could not start,\n2 wrong usage or settings.\n");
	if (!g_option_context_parse(ctx, &argc, &argv, &error)) {
		fprintf(stderr, "%s: %s\n", d->name, error->message);
		g_error_free(error);
	} else if (version) {
		printf("%s %s\n", d->name, FG_VERSION);
		rc = 0;
	} else if (path == NULL) {
		fprintf(stderr, "%s: --config FILE is required\n", d->name);
	} else {
		rc = d->run(path, check_only);
	}
	g_option_context_free(ctx);
	g_free(path);
	return rc;
}
