/*
 * fl_send - sends a request with retries until it has a final answer.
 *
 * A request is sent again only if
 *   - the connection failed, so that the request never reached an instance;
 *   - the answer is NOT_RUN with HTTP status 409, 429 or 503, and gives a time
 *     to retry after or another address; or
 *   - no complete answer arrived, and the request is not a filing.
 * A filing that may have run is never sent again.
 */
#ifndef FL_SEND_H
#define FL_SEND_H

#include "fl_addr.h"
#include "fl_record.h"
#include "fl_stalls.h"

struct fl_sender {
	const struct fl_conf *conf;
	struct fl_addr *addr;
	struct fl_record *record;
	struct fl_stalls *stalls; /* NULL without an experiment */
};

/* Blocks until the request has its final answer and records the result. `curl`
 * must not be used by another thread meanwhile. */
void fl_send(struct fl_sender *sender, CURL *curl, const struct fl_req *req);

#endif
