/*
 * fg-entry - one entry instance.
 *
 * Exit codes: 0 planned stop done, 1 could not start, 2 usage or settings.
 */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <time.h>

#include "base/fg_daemon.h"
#include "log/fg_log.h"
#include "run/fg_run.h"

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

	while (!fg_run_is_stopped(run)) {
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
		return FG_EXIT_START;
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
		return FG_EXIT_USAGE;
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
	static const struct fg_daemon daemon = { "fg-entry", load_and_start };

	return fg_daemon_main(&daemon, argc, argv);
}
