/*
 * fg-entry - an entry instance. SIGTERM and SIGINT begin a planned stop.
 *
 * Exit codes: 0 after a planned stop, 1 if the instance could not start, 2 for
 * wrong usage or invalid settings.
 */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <time.h>

#include "base/fg_daemon.h"
#include "log/fg_log.h"
#include "run/fg_run.h"

static volatile sig_atomic_t stop_requested;

static void handle_signal(int signo)
{
	(void)signo;
	stop_requested = 1;
}

static void install_signal_handlers(void)
{
	struct sigaction stop = { .sa_handler = handle_signal };
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

static void serve_until_stopped(struct fg_run *run,
				const struct fg_settings *settings)
{
	bool stopping = false;

	while (!fg_run_is_stopped(run)) {
		if (stop_requested && !stopping) {
			stopping = true;
			fg_log(FG_LOG_INFO, "entry", "stopping", NULL);
			fg_run_stop(run);
		}
		fg_run_tick(run);
		sleep_ms(settings->timing.tick_ms);
	}
}

static int run_instance(const struct fg_settings *settings)
{
	GError *error = NULL;
	struct fg_run *run;

	fg_log_open(settings->name, settings->log_level);
	install_signal_handlers();
	run = fg_run_start(settings, &error);
	if (run == NULL) {
		fprintf(stderr, "fg-entry: %s\n", error->message);
		g_error_free(error);
		return FG_EXIT_START;
	}
	fg_log(FG_LOG_INFO, "entry", "started", "http", settings->http, "rpc",
	       settings->rpc, NULL);
	serve_until_stopped(run, settings);
	fg_run_free(run);
	fg_log(FG_LOG_INFO, "entry", "stopped", NULL);
	fg_log_close();
	return 0;
}

static int load_and_run(const char *path, bool check_only)
{
	GError *error = NULL;
	struct fg_settings *settings = fg_settings_load(path, &error);
	int rc = 0;

	if (settings == NULL) {
		fprintf(stderr, "%s\n", error->message);
		g_error_free(error);
		return FG_EXIT_USAGE;
	}
	if (check_only)
		printf("%s: settings are valid\n", path);
	else
		rc = run_instance(settings);
	fg_settings_free(settings);
	return rc;
}

int main(int argc, char **argv)
{
	static const struct fg_daemon daemon = { "fg-entry", load_and_run };

	return fg_daemon_main(&daemon, argc, argv);
}
