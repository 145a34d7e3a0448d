/*
 * fg-entry - one entry instance.
 *
 * Exit codes: 0 planned stop done, 1 could not start, 2 usage or settings.
 */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <time.h>

#include "base/fg_version.h"
#include "log/fg_log.h"
#include "run/fg_run.h"

#define EXIT_START 1
#define EXIT_USAGE 2

static volatile sig_atomic_t stop_asked;

static void on_signal(int signo)
{
	(void)signo;
	stop_asked = 1;
}

static void catch_signals(void)
{
	struct sigaction stop = { .sa_handler = on_signal };
	struct sigaction ignore = { .sa_handler = SIG_IGN };

	sigaction(SIGTERM, &stop, NULL);
	sigaction(SIGINT, &stop, NULL);
	sigaction(SIGPIPE, &ignore, NULL);
}

static void sleep_ms(uint32_t ms)
{
	struct timespec ts = { ms / 1000, (long)(ms % 1000) * 1000000 };

	nanosleep(&ts, NULL);
}

static void serve(struct fg_run *run, const struct fg_settings *settings)
{
	bool stopping = false;

	while (!fg_run_stopped(run)) {
		if (stop_asked && !stopping) {
			stopping = true;
			fg_log(FG_LOG_INFO, "entry", "stopping", NULL);
			fg_run_stop(run);
		}
		fg_run_tick(run);
		sleep_ms(settings->timing.tick_ms);
	}
}

static int start(const struct fg_settings *settings)
{
	GError *error = NULL;
	struct fg_run *run;

	fg_log_open(settings->name, settings->log_level);
	catch_signals();
	run = fg_run_start(settings, &error);
	if (run == NULL) {
		fprintf(stderr, "fg-entry: %s\n", error->message);
		g_error_free(error);
		return EXIT_START;
	}
	fg_log(FG_LOG_INFO, "entry", "started", "http", settings->http, "rpc",
	       settings->rpc, NULL);
	serve(run, settings);
	fg_run_free(run);
	fg_log(FG_LOG_INFO, "entry", "stopped", NULL);
	fg_log_close();
	return 0;
}

static int load_and_start(const char *path, bool check_only)
{
	GError *error = NULL;
	struct fg_settings *settings = fg_settings_load(path, &error);
	int rc = 0;

	if (settings == NULL) {
		fprintf(stderr, "%s\n", error->message);
		g_error_free(error);
		return EXIT_USAGE;
	}
	if (check_only)
		printf("%s: settings are valid\n", path);
	else
		rc = start(settings);
	fg_settings_free(settings);
	return rc;
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
		fprintf(stderr, "fg-entry: %s\n", error->message);
		g_error_free(error);
	} else if (version) {
		printf("fg-entry %s\n", FG_VERSION);
		rc = 0;
	} else if (path == NULL) {
		fprintf(stderr, "fg-entry: --config FILE is required\n");
	} else {
		rc = load_and_start(path, check_only);
	}
	g_option_context_free(ctx);
	g_free(path);
	return rc;
}
