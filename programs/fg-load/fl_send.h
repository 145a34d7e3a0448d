/*
 * fl_send - sends one request until it has its last answer.
 *
 * Sent again is only what the answer calls NOT_RUN with a time to come back,
 * what never reached an instance, and repeatable work whose connection broke.
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

/* Blocks until the request has its last answer, which goes to the record. */
void fl_send(struct fl_sender *sender, CURL *curl, const struct fl_req *req);

#endif
