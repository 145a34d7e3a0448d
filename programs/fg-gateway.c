/*
 * fg-gateway - one instance on the users' platform: an event loop that serves
 * callers, with the platform's protocol.
 *
 * Exit codes: 0 planned stop done, 1 could not start, 2 usage or settings.
 */
#include <glib.h>
#include <stdio.h>

#include "base/fg_daemon.h"
#include "fgp_wire.h"
#include "gateway/fg_gateway.h"

/* At twenty requests a second and instance all lines fit; under ten times the
 * load routine ones are dropped, at some 100 bytes a line and 25 KB/s. */
static const struct fg_log_rate_limits log_bounds = {
	.lines_per_s = 200,
	.routine_per_s = 50,
};

static int start(struct fg_gwconf *conf, const char *path)
{
	GError *error = NULL;
	struct fg_gateway *gw;

	fg_log_open(conf->name, conf->log_level);
	fg_log_limit_rate(&log_bounds);
	gw = fg_gateway_new(conf, path, &fgp_wire, &error);
	if (gw == NULL) {
		fprintf(stderr, "fg-gateway: %s\n", error->message);
		g_error_free(error);
		return FG_EXIT_START;
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
		return FG_EXIT_USAGE;
	}
	if (!check_only)
		return start(conf, path);
	printf("%s: settings are valid\n", path);
	fg_gwconf_free(conf);
	return 0;
}

int main(int argc, char **argv)
{
	static const struct fg_daemon daemon = { "fg-gateway", load_and_start };

	return fg_daemon_main(&daemon, argc, argv);
}
