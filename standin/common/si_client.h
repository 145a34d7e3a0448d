/*
 * si_client - one HTTP request with a JSON body, through libcurl.
 */
#ifndef SI_CLIENT_H
#define SI_CLIENT_H

#include <curl/curl.h>
#include <stdint.h>

#include "common/si_proc.h"

/*
 * Posts body to http://addr/path in the name of the process. Returns the
 * status, or 0 when there was no whole answer. `curl` may be kept between
 * calls of one thread. Ends early when the process stops.
 */
uint32_t si_client_post(struct si_proc *proc, CURL *curl, const char *addr,
			const char *path, json_t *body, uint32_t timeout_ms);

#endif
