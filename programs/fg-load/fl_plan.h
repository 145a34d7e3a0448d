/*
 * fl_plan - which requests are sent: class, adapter, prompt, key.
 *
 * One seed gives one sequence, whatever the answers are.
 */
#ifndef FL_PLAN_H
#define FL_PLAN_H

#include <stdint.h>

#include "base/fg_clock.h"
#include "base/fg_outcome.h"
#include "fl_conf.h"

/* A request to send; strings are owned. */
struct fl_req {
	uint32_t index;
	enum fg_class cls;
	const char *adapter; /* of the configuration; "" for plain services */
	const char *version; /* "" asks for the newest */
	const char *service; /* of the configuration; "" for models */
	char *prompt;	     /* of a generation, else NULL */
	char *key;	     /* of a filing, or asked for by a lookup */
	fg_ms due;	     /* when it is to be sent */
};

struct fl_plan;

struct fl_plan *fl_plan_new(const struct fl_conf *conf);
void fl_plan_free(struct fl_plan *plan);

/* The next request, without `due`. */
struct fl_req *fl_plan_next(struct fl_plan *plan);
void fl_req_free(struct fl_req *req);

/* True for requests that a model answers. */
bool fl_is_generation(enum fg_class cls);

#endif
