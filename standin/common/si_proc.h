/*
 * si_proc - main program of a stand-in: options, servers, log, faults.
 *
 * A stand-in fills a struct si_program, calls si_proc_main() from main() and
 * handles requests in its routes. Each connection has a thread; a handler may
 * block.
 */
#ifndef SI_PROC_H
#define SI_PROC_H

#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/fg_clock.h"

struct si_proc;
struct si_log;
struct si_fault;
struct si_http;
struct si_announce;
struct si_route;

enum si_kind {
	SI_PLATFORM = 1,
	SI_ENGINE = 2,
	SI_PLAIN = 4,
};

/* Options common to all stand-ins; no string is NULL after parsing. */
struct si_conf {
	char *listen;  /* "IP:port" of the service */
	char *control; /* "IP:port" of the control address */
	char *name;
	char *region;
	char *dc;
	char *service;
	char *platform; /* "IP:port"; empty for the platform itself */
	char *history;	/* file of the execution log; empty for none */
};

/* One kind of stand-in. */
struct si_program {
	enum si_kind kind;
	const char *summary;
	const GOptionEntry *options; /* in addition to the common ones */
	const struct si_route *routes;
	size_t n_routes;

	/* Allocates proc->self and starts threads; false on error. */
	bool (*start)(struct si_proc *proc);

	/* Wakes every handler and thread that waits, so that it returns. */
	void (*stop)(struct si_proc *proc);

	/* Frees proc->self, after all threads have ended. */
	void (*free)(struct si_proc *proc);

	/* Applies a control operation that si_fault does not know; returns
	 * false when it is unknown. */
	bool (*control)(struct si_proc *proc, const char *op, json_t *body);
};

struct si_proc {
	const struct si_program *program;
	struct si_conf conf;
	struct si_log *log;
	struct si_fault *fault;
	struct si_http *http;
	struct si_http *control;
	struct si_announce *announce;
	void *self; /* state of the program */
	pthread_mutex_t stop_lock;
	pthread_cond_t stop_cond;
	bool stopping;
};

/* Runs a stand-in until SIGTERM or SIGINT; returns the exit status. */
int si_proc_main(const struct si_program *program, int argc, char **argv);

/* Sleeps; returns false, at once, when the process stops. */
bool si_proc_sleep(struct si_proc *proc, fg_ms duration_ms);

bool si_proc_stopping(struct si_proc *proc);

/* Ends the process at once, without any cleanup. */
void si_proc_crash(void) __attribute__((noreturn));

/* Returns the time from_now_ms ahead, for si_cond_wait_until(). */
gint64 si_deadline_us(fg_ms from_now_ms);

/* Initialises a condition on the monotonic clock. */
void si_cond_init(pthread_cond_t *cond);

/* Waits for the condition; returns false at end_us. */
bool si_cond_wait_until(pthread_cond_t *cond, pthread_mutex_t *lock,
			gint64 end_us);

#endif
