/*
 * fg_check_internal - events of histories, and the rules' common ground.
 *
 * fg_event.c          parsing
 * fg_check.c          loading, indexes, missing histories, verdicts
 * fg_check_answers.c  promises 1, 3, 4, 5
 * fg_check_engines.c  promises 2, 6
 * fg_check_control.c  promises 7, 8
 */
#ifndef FG_CHECK_INTERNAL_H
#define FG_CHECK_INTERNAL_H

#include "check/fg_check.h"

enum event_type {
	EV_OTHER = 0, /* of a later release; ignored */
	EV_OPEN,
	EV_INVOKE,
	EV_RETURN,
	EV_RUN_START,
	EV_RUN_END,
	EV_LOAD_START,
	EV_LOAD_END,
	EV_EVICT,
	EV_RESTART,
	EV_EXEC,
	EV_LEAVING,
	EV_DISPATCH,
	EV_GRANT,
	EV_RELEASE,
	EV_REVISION,
	EV_ACCEPTED,
	EV_STOP_BEGIN,
	EV_STOP_END,
	EV_LIVE,
	EV_DEAD,
	EV_TYPES,
};

/* A text field that is absent is "", a number -1, a flag -1. */
struct event {
	fg_ms t;
	uint32_t seq; /* order of loading, among events of the same time */
	enum event_type type;
	char *line;
	const char *who;
	const char *tag;
	const char *id;
	const char *class;
	const char *adapter;
	const char *version;
	const char *slot_adapter;
	const char *slot_version;
	const char *key;
	const char *service;
	const char *entry;
	const char *outcome;
	const char *reason;
	const char *ep;
	const char *op;
	const char *preset;
	const char *name;
	const char *kind;
	const char *addr;
	int64_t slot;
	int64_t running;
	int64_t revision;
	int64_t in_progress;
	int ok;
	int whole;
	int replayed;
};

/* Parses a line; texts go into the chunk. NULL with *error set. */
struct event *event_parse(const char *line, GStringChunk *texts,
			  GError **error);
void event_free(void *ev);

/* Processes whose histories a promise may need. */
enum history_of {
	OF_CALLERS = 0,
	OF_ENDPOINTS = 1,
	OF_ENTRIES = 2,
	OF_COUNT = 3,
};

struct finding {
	uint32_t events;
	GPtrArray *offenders; /* struct event, borrowed */
	const char *reason;   /* undecided, "" if not */
};

struct fg_check {
	struct fg_check_conf conf;
	GPtrArray *events; /* owned, in order of time after the run began */
	GStringChunk *texts;
	GHashTable *by_tag; /* tag -> GPtrArray of events */
	GHashTable *by_who; /* who -> GPtrArray of events */
	GHashTable *by_id;  /* id -> GPtrArray of events */
	const char *missing[OF_COUNT];
	fg_ms end; /* time of the last event */
	struct finding findings[FG_PROMISE_LAST + 1];
};

/* Counts an event as checked. */
void check_count(struct fg_check *c, enum fg_promise p);

/* Adds the event to the violation of p, once. */
void check_offends(struct fg_check *c, enum fg_promise p, struct event *ev);

/* The events under a key of an index; never NULL. */
const GPtrArray *check_find(const struct fg_check *c, GHashTable *index,
			    const char *key);

static inline struct event *event_at(const GPtrArray *events, guint i)
{
	return events->pdata[i];
}

/* It was executed: started on an engine, or by a plain service. */
static inline bool event_is_run(const struct event *ev)
{
	return ev->type == EV_RUN_START || ev->type == EV_EXEC;
}

/* The return that answers an invocation, and the time up to which runs of its
 * tag belong to it (a tag may be invoked again). NULL: none. */
struct event *check_return_of(const struct fg_check *c,
			      const struct event *invoke, fg_ms *until);

/* The rules; each fills findings. */
void check_answers(struct fg_check *c);
void check_engines(struct fg_check *c);
void check_stops(struct fg_check *c);
void check_revisions(struct fg_check *c);

#endif
