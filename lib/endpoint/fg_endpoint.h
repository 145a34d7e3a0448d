/*
 * fg_endpoint - model engines and plain services as the system sees them.
 *
 * The interface is a table of function pointers; fg_endpoint_http.c fills it
 * with the HTTP protocol of docs/PROTOCOL.md, which standin/engine and
 * standin/plain serve. fg_answer_check() is the pure check that an answer is
 * whole and belongs to its request; it is the only way to a DONE.
 */
#ifndef FG_ENDPOINT_H
#define FG_ENDPOINT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/fg_clock.h"
#include "base/fg_outcome.h"
#include "peer/fg_proto.h"
#include "platform/fg_platform.h"

#define FG_REQ_ID_BYTES 40

/* One attempt at one endpoint. Strings are borrowed for the call. */
struct fg_run_req {
	char id[FG_REQ_ID_BYTES]; /* unique to the attempt */
	const char *tag; /* the caller's own id, passed through; or NULL */
	enum fg_class cls;
	const char *adapter; /* names; NULL for plain services */
	const char *version;
	const char *body; /* prompt, or the JSON body of a plain call */
	const char *key;  /* idempotency key of a filing, else NULL */
	uint32_t max_tokens;
	uint32_t priority;   /* 0 is most urgent */
	uint32_t timeout_ms; /* hard deadline of the attempt */
	uint64_t fence;
	bool unchecked; /* tests alone: any answer counts as whole */
	bool stream;	/* on_text wants pieces as they come */
};

enum fg_run_status {
	FG_RUN_DONE = 0,       /* whole answer, checked */
	FG_RUN_NOT_SENT = 1,   /* no byte reached the endpoint */
	FG_RUN_REFUSED = 2,    /* endpoint refused before running it */
	FG_RUN_NOT_LOADED = 3, /* refused: adapter or version not loaded */
	FG_RUN_ERROR = 4,      /* it ran and the endpoint reported an error */
	FG_RUN_LOST = 5,       /* connection or endpoint died after sending */
	FG_RUN_BAD_ANSWER = 6, /* answer truncated, crossed or garbled */
	FG_RUN_TIMEOUT = 7,    /* no whole answer before the hard deadline */
	FG_RUN_CANCELLED = 8,
};

struct fg_run_result {
	enum fg_run_status status;
	char *text; /* the whole answer, g_malloc'ed; NULL unless DONE */
	uint32_t tokens;
	uint32_t service_ms;
	uint32_t n_pieces; /* passed to on_text */
	bool not_run;	   /* with a failure: provably never ran */
	bool leaving;	   /* with REFUSED: because the endpoint is leaving */
};

/* What an engine says of itself, read by its owner. */
struct fg_engine_state {
	uint64_t epoch; /* new after each restart of the engine */
	uint64_t fence; /* highest seen; 0 if it does not check */
	bool checks_fence;
	bool leaving;
	uint32_t slots;
	uint32_t batch;
	struct fg_engine_slot {
		char adapter[FG_NAME_BYTES]; /* "" when empty */
		char version[FG_NAME_BYTES];
		bool loading;
		uint32_t running; /* requests in the batch on this slot */
	} slot[FG_LIST_MAX];
};

enum fg_order_kind {
	FG_ORDER_LOAD = 1,
	FG_ORDER_EVICT = 2,
	FG_ORDER_ROLE = 3, /* changes no slot, raises the fencing number */
};

/* An order to an engine, given by its owner alone. */
struct fg_order {
	uint64_t id;
	enum fg_order_kind kind;
	uint32_t slot;
	const char *adapter;
	const char *version;
	uint64_t fence;
	uint32_t timeout_ms;
};

enum fg_order_status {
	FG_ORDER_DONE = 0,
	FG_ORDER_FENCED = 1, /* refused: a higher fence was seen */
	FG_ORDER_FAILED = 2, /* the engine says that it failed */
	FG_ORDER_LOST = 3,   /* no answer; it may still take effect */
	FG_ORDER_NOT_SENT = 4,
	FG_ORDER_BUSY = 5, /* refused: the slot is in use */
};

struct fg_endpoint_ops {
	/*
	 * Runs one request to its end. Blocks. on_text, when not NULL, gets
	 * pieces of a streamed answer as they come. `cancel`, when not NULL,
	 * is polled; once true the attempt is cancelled at the endpoint.
	 */
	void (*run)(const struct fg_listed *ep, const struct fg_run_req *req,
		    void (*on_text)(void *arg, const char *piece), void *arg,
		    const volatile int *cancel, struct fg_run_result *out);
	enum fg_order_status (*send_order)(const struct fg_listed *ep,
					   const struct fg_order *order);
	enum fg_pf_result (*read_state)(const struct fg_listed *ep,
					uint32_t timeout_ms,
					struct fg_engine_state *out);
};

/* HTTP to engines and plain services through libcurl; thread safe. */
extern const struct fg_endpoint_ops fg_endpoint_http_ops;

/* ---- The pure check ---- */

/*
 * Feeds an engine's answer line by line (newline-delimited JSON). The id,
 * adapter and version of the end mark must be those asked for, the token
 * indexes must run from 0 without gap, and the end mark must count them.
 */
struct fg_answer;

struct fg_answer *fg_answer_new(const struct fg_run_req *req);

/* Takes len bytes; returns false once the answer can no longer be whole. */
bool fg_answer_feed(struct fg_answer *a, const char *data, size_t len_bytes);

/* True when the end mark came and all of it holds. */
bool fg_answer_is_whole(const struct fg_answer *a);

/* True when the engine reported that the request ran and failed. */
bool fg_answer_has_error(const struct fg_answer *a);

/* The text so far; owned by the answer. */
const char *fg_answer_text(const struct fg_answer *a);
uint32_t fg_answer_tokens(const struct fg_answer *a);
void fg_answer_free(struct fg_answer *a);

#endif
