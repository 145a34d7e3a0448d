/*
 * fg-gateway - one instance on the users' platform: an event loop that serves
 * callers, with the platform's protocol.
 *
 * Exit codes: 0 planned stop done, 1 could not start, 2 usage or settings.
 */
#include <glib.h>
#include <stdio.h>

#include "base/fg_version.h"
#include "fgp_wire.h"
#include "gateway/fg_gateway.h"

#define EXIT_START 1
#define EXIT_USAGE 2

/* At twenty requests a second and instance all lines fit; under ten times the
 * load routine ones are dropped, at some 100 bytes a line and 25 KB/s. */
static const struct fg_log_bounds log_bounds = {
	.lines_per_s = 200,
	.routine_per_s = 50,
};

static int start(struct fg_gwconf *conf, const char *path)
{
	GError *error = NULL;
	struct fg_gateway *gw;

	fg_log_open(conf->name, conf->log_level);
	fg_log_bound(&log_bounds);
	gw = fg_gateway_new(conf, path, &fgp_wire, &error);
	if (gw == NULL) {
		fprintf(stderr, "fg-gateway: %s\n", error->message);
		g_error_free(error);
		return EXIT_START;
	}
	fg_gateway_run(gw);
	fg_gateway_free(gw);
	fg_log_close();
	return 0;
}

static int load_and_start(const char *path, bool check_only)
{
	GError *error = NULL;
	struct fg_gwconf *conf = fg_gwconf_load(path, &error);

	if (conf == NULL) {
		fprintf(stderr, "%s\n", error->message);
		g_error_free(error);
		return EXIT_USAGE;
	}
	if (!check_only)
		return start(conf, path);
	printf("%s: settings are valid\n", path);
	fg_gwconf_free(conf);
	return 0;
}

int main(int argc, char **argv)
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
	int rc = EXIT_USAGE;

	g_option_context_add_main_entries(ctx, options, NULL);
	g_option_context_set_description(
		ctx, "Exit codes: 0 after a planned stop (SIGTERM or SIGINT), "
		     "1 could not start,\n2 wrong usage or settings.\n");
	if (!g_option_context_parse(ctx, &argc, &argv, &error)) {
		fprintf(stderr, "fg-gateway: %s\n", error->message);
		g_error_free(error);
	} else if (version) {
		printf("fg-gateway %s\n", FG_VERSION);
		rc = 0;
	} else if (path == NULL) {
		fprintf(stderr, "fg-gateway: --config FILE is required\n");
	} else {
		rc = load_and_start(path, check_only);
	}
	g_option_context_free(ctx);
	g_free(path);
	return rc;
}
