/*
 * si_harness - starts stand-ins for a test and asks them.
 *
 * Every call that does not get what it expects fails the test.
 */
#ifndef SI_HARNESS_H
#define SI_HARNESS_H

#include <glib.h>
#include <jansson.h>

#define SI_READY_TRIES 500
#define SI_READY_WAIT_US 10000

struct answer {
	long status; /* 0: no whole answer */
	GString *text;
	json_t *body; /* NULL when it is not JSON */
};

struct proc {
	GPid pid;
	char *addr;
	char *control;
};

/* Call it first; ports are taken from FG_PORT_BASE + offset on. */
void si_harness_init(const char *program, int port_offset);
void si_harness_free(void);

/* Starts standin-KIND and waits until it answers. Options end with NULL. */
struct proc start(const char *kind, const char *const *options);
struct proc start_platform(const char *option);

/* Ends it with SIGTERM and checks that its exit status is 0. */
void stop(struct proc *proc);

/* POST when body is not NULL, else GET, in the name of instance n1. */
struct answer ask(const char *addr, const char *path, const char *body);
void answer_clear(struct answer *res);

/* Asks and checks the status; returns the body's text. */
char *ask_text(const char *addr, const char *path, const char *body,
	       long status);
void ask_status(const char *addr, const char *path, const char *body,
		long status);

/* Checks that the body has the part in it. */
void ask_contains(const char *addr, const char *path, const char *body,
		  long status, const char *part);

/* An operation at the control address. */
void control(const struct proc *proc, const char *body);

#endif
