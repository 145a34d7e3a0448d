/*
 * fg_check_internal - typed events, indexes and findings shared by the rules.
 *
 * fg_event.c          parsing of history lines
 * fg_check.c          loading, indexes, missing histories, verdicts
 * fg_check_answers.c  promises 1, 3, 4, 5
 * fg_check_engines.c  promises 2, 6
 * fg_check_control.c  promises 7, 8
 */
#ifndef FG_CHECK_INTERNAL_H
#define FG_CHECK_INTERNAL_H

#include "check/fg_check.h"

enum event_type {
	EV_OTHER = 0, /* unknown, such as from a later release; ignored */
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

/* A line of a history. The members carry the names of the JSON fields. Absent
 * strings are "", absent numbers and flags are -1. */
struct event {
	fg_ms t;
	uint32_t seq; /* loading order; sorts events of equal time */
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

/* Parses a line into an event that the caller frees with event_free(). Strings
 * are stored in `strings`. Returns NULL with *error set if the line is not an
 * event. */
struct event *event_parse(const char *line, GStringChunk *strings,
			  GError **error);
void event_free(void *ev);

/* Groups of processes whose histories a promise may depend on. */
enum source {
	SOURCE_CALLERS = 0,
	SOURCE_ENDPOINTS = 1,
	SOURCE_ENTRIES = 2,
	SOURCE_COUNT = 3,
};

struct finding {
	uint32_t n_checked;  /* events checked */
	GPtrArray *evidence; /* struct event, borrowed; empty: not violated */
	const char *reason;  /* why undecided, or "" */
};

struct fg_check {
	struct fg_check_conf conf;
	GPtrArray *events; /* owned; sorted by time in fg_check_run() */
	GStringChunk *strings;
	GHashTable *by_tag;		   /* tag -> GPtrArray of events */
	GHashTable *by_who;		   /* who -> GPtrArray of events */
	GHashTable *by_id;		   /* id -> GPtrArray of events */
	const char *missing[SOURCE_COUNT]; /* first missing history, or "" */
	fg_ms end;			   /* time of the last event */
	struct finding findings[FG_PROMISE_LAST + 1];
};

/* Counts an event as checked for p. */
void check_count_event(struct fg_check *c, enum fg_promise p);

/* Marks p as violated and adds the event to the evidence, unless it is already
 * there. */
void check_add_evidence(struct fg_check *c, enum fg_promise p,
			struct event *ev);

/* Returns the events with this key in an index; never NULL. */
const GPtrArray *check_find_events(const struct fg_check *c, GHashTable *index,
				   const char *key);

static inline struct event *event_at(const GPtrArray *events, guint i)
{
	return events->pdata[i];
}

/* Returns true if the event is the start of a request on an engine, or its
 * execution by a plain service. */
static inline bool event_is_execution(const struct event *ev)
{
	return ev->type == EV_RUN_START || ev->type == EV_EXEC;
}

/* Returns the `return` event of an invocation, or NULL. Runs with the same tag
 * belong to this invocation before the time *until, when the tag is invoked
 * again (FG_MS_NEVER if it is not). */
struct event *check_find_return(const struct fg_check *c,
				const struct event *invoke, fg_ms *until);

/* The rules. Each adds to c->findings. */
void check_answers(struct fg_check *c);
void check_engines(struct fg_check *c);
void check_stops(struct fg_check *c);
void check_revisions(struct fg_check *c);

#endif
