/*
 * si_harness - starts stand-in processes for a test and sends them requests.
 *
 * A call that does not get the expected result fails the test.
 */
#ifndef SI_HARNESS_H
#define SI_HARNESS_H

#include <glib.h>
#include <jansson.h>

#define SI_READY_TRIES 500
#define SI_READY_WAIT_US 10000

struct answer {
	long status; /* 0: no complete answer */
	GString *text;
	json_t *body; /* NULL when the answer is not JSON */
};

struct proc {
	GPid pid;
	char *addr;
	char *control;
};

/* Call first. Ports are assigned from FG_PORT_BASE + port_offset upwards. */
void si_harness_init(const char *program, int port_offset);
void si_harness_free(void);

/* Starts standin-KIND and waits until it answers. The options end with NULL;
 * the caller ends the process with stop_standin(). */
struct proc start_standin(const char *kind, const char *const *options);
struct proc start_platform(const char *option);

/* Sends SIGTERM, checks that the exit status is 0, and frees the addresses. */
void stop_standin(struct proc *proc);

/* Sends a POST when body is not NULL, else a GET, as instance n1. The caller
 * clears the answer. */
struct answer send_request(const char *addr, const char *path,
			   const char *body);
void answer_clear(struct answer *res);

/* Sends a request and checks the status. Returns the body, which the caller
 * frees with g_free(). */
char *request_text(const char *addr, const char *path, const char *body,
		   long status);
void check_status(const char *addr, const char *path, const char *body,
		  long status);

/* Checks also that the body contains part. */
void check_contains(const char *addr, const char *path, const char *body,
		    long status, const char *part);

/* Sends an operation to the control address. */
void send_control(const struct proc *proc, const char *body);

#endif
