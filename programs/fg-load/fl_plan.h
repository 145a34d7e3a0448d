/*
 * fl_plan - generates the sequence of requests: class, adapter, prompt, key.
 *
 * The sequence depends only on the options and the seed, not on the answers.
 */
#ifndef FL_PLAN_H
#define FL_PLAN_H

#include <stdint.h>

#include "base/fg_clock.h"
#include "base/fg_outcome.h"
#include "fl_conf.h"

/* A request. It owns the strings that are not const. */
struct fl_req {
	uint32_t index;
	enum fg_class cls;
	const char *adapter; /* borrowed from fl_conf; "" for plain services */
	const char *version; /* "" for the newest */
	const char *service; /* borrowed from fl_conf; "" for models */
	char *prompt;	     /* of a generation, otherwise NULL */
	char *key;	     /* of a filing or status lookup, otherwise NULL */
	fg_ms due;	     /* when the request should be sent */
};

struct fl_plan;

struct fl_plan *fl_plan_new(const struct fl_conf *conf);
void fl_plan_free(struct fl_plan *plan);

/* Returns the next request; `due` is 0. The caller frees it with fl_req_free().
 */
struct fl_req *fl_plan_next(struct fl_plan *plan);
void fl_req_free(struct fl_req *req);

/* Returns true for the classes that a model serves. */
bool fl_is_generation(enum fg_class cls);

#endif
