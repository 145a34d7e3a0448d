/*
 * fl_addr - address lookup: the callers' side of GET /v1/address.
 *
 * The answer to a lookup is a list of addresses of entry instances for an
 * adapter or service. It is cached for its ttl_ms, or until one of its
 * addresses cannot be reached. Lookups are sent to the configured addresses in
 * turn. All functions are thread-safe except for new and free.
 */
#ifndef FL_ADDR_H
#define FL_ADDR_H

#include <curl/curl.h>

#include "fl_plan.h"

struct fl_addr;

/* conf is borrowed and must outlive the object. */
struct fl_addr *fl_addr_new(const struct fl_conf *conf);
void fl_addr_free(struct fl_addr *a);

/*
 * Returns the address for an attempt of a request, counted from 0; never NULL.
 * The caller frees it with g_free(). If the cached list has no address for this
 * attempt, looks up a new list and returns its first address. If the lookup
 * yields no address, returns a configured one.
 */
char *fl_addr_pick(struct fl_addr *a, CURL *curl, const struct fl_req *req,
		   uint32_t attempt);

/* Drops all cached lists with an address that could not be reached. */
void fl_addr_mark_failed(struct fl_addr *a, const char *addr);

#endif
