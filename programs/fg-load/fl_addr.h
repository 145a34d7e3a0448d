/*
 * fl_addr - which entry instance to ask: the callers' side of GET /v1/address.
 *
 * An answer is kept for its ttl_ms. Addresses that could not be reached go to
 * the end; the configured ones are asked when no other is left.
 */
#ifndef FL_ADDR_H
#define FL_ADDR_H

#include <curl/curl.h>

#include "fl_plan.h"

struct fl_addr;

struct fl_addr *fl_addr_new(const struct fl_conf *conf);
void fl_addr_free(struct fl_addr *a);

/*
 * Address for the attempt-th try (0 is the first) of a request, g_malloc'ed.
 * Asks for the list when none is kept. Never NULL.
 */
char *fl_addr_pick(struct fl_addr *a, CURL *curl, const struct fl_req *req,
		   uint32_t attempt);

/* An address could not be reached: forgets the answers that name it. */
void fl_addr_failed(struct fl_addr *a, const char *addr);

#endif
