#include "common/si_proc.h"

#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <unistd.h>

#include "common/si_announce.h"
#include "common/si_control.h"
#include "common/si_fault.h"
#include "common/si_http.h"
#include "common/si_log.h"

#define CRASH_STATUS 134

gint64 si_deadline_us(fg_ms from_now_ms)
{
	return g_get_monotonic_time() + from_now_ms * 1000;
}

void si_cond_init(pthread_cond_t *cond)
{
	pthread_condattr_t attr;

	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(cond, &attr);
	pthread_condattr_destroy(&attr);
}

bool si_cond_wait_until(pthread_cond_t *cond, pthread_mutex_t *lock,
			gint64 end_us)
{
	struct timespec end = {
		.tv_sec = end_us / G_USEC_PER_SEC,
		.tv_nsec = end_us % G_USEC_PER_SEC * 1000,
	};

	return pthread_cond_timedwait(cond, lock, &end) == 0;
}

bool si_proc_stopping(struct si_proc *proc)
{
	bool stopping;

	pthread_mutex_lock(&proc->stop_lock);
	stopping = proc->stopping;
	pthread_mutex_unlock(&proc->stop_lock);
	return stopping;
}

bool si_proc_sleep(struct si_proc *proc, fg_ms duration_ms)
{
	gint64 end = si_deadline_us(duration_ms);
	bool stopping;

	pthread_mutex_lock(&proc->stop_lock);
	while (!proc->stopping)
		if (!si_cond_wait_until(&proc->stop_cond, &proc->stop_lock,
					end))
			break;
	stopping = proc->stopping;
	pthread_mutex_unlock(&proc->stop_lock);
	return !stopping;
}

void si_proc_crash(void)
{
	_exit(CRASH_STATUS);
}

static bool parse_options(struct si_proc *proc, int argc, char **argv)
{
	struct si_conf *conf = &proc->conf;
	const GOptionEntry shared[] = {
		{ "listen", 0, 0, G_OPTION_ARG_STRING, &conf->listen,
		  "Address of the service", "IP:PORT" },
		{ "control", 0, 0, G_OPTION_ARG_STRING, &conf->control,
		  "Address for fault injection and the log", "IP:PORT" },
		{ "name", 0, 0, G_OPTION_ARG_STRING, &conf->name,
		  "Unique name of this process", "NAME" },
		{ "region", 0, 0, G_OPTION_ARG_STRING, &conf->region, "Region",
		  "NAME" },
		{ "dc", 0, 0, G_OPTION_ARG_STRING, &conf->dc, "Data centre",
		  "NAME" },
		{ "service", 0, 0, G_OPTION_ARG_STRING, &conf->service,
		  "Base model or plain service", "NAME" },
		{ "platform", 0, 0, G_OPTION_ARG_STRING, &conf->platform,
		  "Address of the platform", "IP:PORT" },
		{ "history", 0, 0, G_OPTION_ARG_STRING, &conf->history,
		  "Append the execution log to a file", "FILE" },
		{ 0 },
	};
	GOptionContext *ctx = g_option_context_new(NULL);
	GError *error = NULL;
	bool ok;

	g_option_context_set_summary(ctx, proc->program->summary);
	g_option_context_add_main_entries(ctx, shared, NULL);
	if (proc->program->options)
		g_option_context_add_main_entries(ctx, proc->program->options,
						  NULL);
	ok = g_option_context_parse(ctx, &argc, &argv, &error);
	if (!ok) {
		fprintf(stderr, "%s\n", error->message);
		g_clear_error(&error);
	} else if (!conf->listen || !conf->control || !conf->name) {
		fprintf(stderr, "--listen, --control and --name are needed\n");
		ok = false;
	} else if (proc->program->kind != SI_PLATFORM && !conf->platform) {
		fprintf(stderr, "--platform is needed\n");
		ok = false;
	}
	g_option_context_free(ctx);
	return ok;
}

static void set_default_empty(char **s)
{
	if (!*s)
		*s = g_strdup("");
}

static void fill_defaults(struct si_conf *conf)
{
	set_default_empty(&conf->region);
	set_default_empty(&conf->dc);
	set_default_empty(&conf->service);
	set_default_empty(&conf->platform);
	set_default_empty(&conf->history);
}

static void free_conf(struct si_conf *conf)
{
	g_free(conf->listen);
	g_free(conf->control);
	g_free(conf->name);
	g_free(conf->region);
	g_free(conf->dc);
	g_free(conf->service);
	g_free(conf->platform);
	g_free(conf->history);
}

static bool start_servers(struct si_proc *proc)
{
	const struct si_program *program = proc->program;

	if (program->kind != SI_PLATFORM)
		proc->announce = si_announce_start(proc);
	proc->http = si_http_start(proc, proc->conf.listen, program->routes,
				   program->n_routes, true);
	if (!proc->http)
		return false;
	proc->control = si_control_start(proc);
	return proc->control != NULL;
}

static void stop_all(struct si_proc *proc)
{
	pthread_mutex_lock(&proc->stop_lock);
	proc->stopping = true;
	pthread_cond_broadcast(&proc->stop_cond);
	pthread_mutex_unlock(&proc->stop_lock);
	if (proc->self)
		proc->program->stop(proc);
	si_http_stop(proc->control);
	si_http_stop(proc->http);
	si_announce_stop(proc->announce);
}

static void wait_for_signal(const sigset_t *set)
{
	int sig;

	while (sigwait(set, &sig) != 0)
		;
}

int si_proc_main(const struct si_program *program, int argc, char **argv)
{
	struct si_proc proc = { .program = program };
	sigset_t set;
	bool ok;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	pthread_mutex_init(&proc.stop_lock, NULL);
	si_cond_init(&proc.stop_cond);

	ok = parse_options(&proc, argc, argv);
	if (ok) {
		fill_defaults(&proc.conf);
		proc.log = si_log_new(proc.conf.name, proc.conf.history);
		proc.fault = si_fault_new(&proc);
		ok = proc.log && program->start(&proc) && start_servers(&proc);
		if (ok)
			wait_for_signal(&set);
		stop_all(&proc);
		if (proc.self)
			program->free(&proc);
	}
	si_fault_free(proc.fault);
	si_log_free(proc.log);
	free_conf(&proc.conf);
	curl_global_cleanup();
	return ok ? 0 : 1;
}
