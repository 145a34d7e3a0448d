/*
 * si_client - sends an HTTP request with a JSON body through libcurl.
 */
#ifndef SI_CLIENT_H
#define SI_CLIENT_H

#include <curl/curl.h>
#include <stdint.h>

#include "common/si_proc.h"

/*
 * Posts body to http://addr/path, with the name of the process in X-Instance.
 * Returns the status, or 0 when no complete answer came within timeout_ms or
 * the process stops. One thread may reuse `curl` for several calls.
 */
uint32_t si_client_post(struct si_proc *proc, CURL *curl, const char *addr,
			const char *path, json_t *body, uint32_t timeout_ms);

#endif
