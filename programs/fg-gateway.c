/*
 * fg-gateway - a gateway instance on the users' platform. It serves callers
 * from an event loop and uses the platform's protocol.
 *
 * Exit codes: 0 after a planned stop, 1 if the instance could not start, 2 for
 * wrong usage or invalid settings.
 */
#include <glib.h>
#include <stdio.h>

#include "base/fg_daemon.h"
#include "fgp_wire.h"
#include "gateway/fg_gateway.h"

/* At 20 requests per second and instance no line is dropped. At ten times that
 * load routine lines are dropped, and the log stays at about 25 KB/s, at some
 * 100 bytes per line. */
static const struct fg_log_rate_limits log_limits = {
	.lines_per_s = 200,
	.routine_per_s = 50,
};

static int run_instance(struct fg_gwconf *conf, const char *path)
{
	GError *error = NULL;
	struct fg_gateway *gw;

	fg_log_open(conf->name, conf->log_level);
	fg_log_limit_rate(&log_limits);
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

static int load_and_run(const char *path, bool check_only)
{
	GError *error = NULL;
	struct fg_gwconf *conf = fg_gwconf_load(path, &error);

	if (conf == NULL) {
		fprintf(stderr, "%s\n", error->message);
		g_error_free(error);
		return FG_EXIT_USAGE;
	}
	if (!check_only)
		return run_instance(conf, path);
	printf("%s: settings are valid\n", path);
	fg_gwconf_free(conf);
	return 0;
}

int main(int argc, char **argv)
{
	static const struct fg_daemon daemon = { "fg-gateway", load_and_run };

	return fg_daemon_main(&daemon, argc, argv);
}
