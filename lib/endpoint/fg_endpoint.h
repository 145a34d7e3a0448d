/*
 * fg_endpoint - interface to model engines and plain services.
 *
 * struct fg_endpoint_ops is a table of blocking calls. fg_endpoint_http_ops
 * implements it over the HTTP protocol of docs/PROTOCOL.md, which
 * standin/engine and standin/plain serve.
 *
 * struct fg_answer checks that an engine's answer is complete and belongs to
 * its request. No answer of an engine is reported as FG_RUN_DONE without that
 * check, unless a test asks for it.
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
	char id[FG_REQ_ID_BYTES]; /* unique per attempt */
	const char *tag;	  /* the caller's own id, forwarded; or NULL */
	enum fg_class cls;
	const char *adapter; /* names; NULL for plain services */
	const char *version;
	const char *body; /* prompt, or the JSON body for a plain service */
	const char *key;  /* idempotency key of a filing, else NULL */
	uint32_t max_tokens;
	uint32_t priority;   /* 0 is most urgent */
	uint32_t timeout_ms; /* hard deadline of the attempt */
	uint64_t fence;
	bool unchecked; /* for tests: skips the check of the answer */
	bool stream;	/* the answer is passed on while it arrives */
};

enum fg_run_status {
	FG_RUN_DONE = 0,       /* complete answer, checked */
	FG_RUN_NOT_SENT = 1,   /* no byte was sent to the endpoint */
	FG_RUN_REFUSED = 2,    /* refused by the endpoint before it ran */
	FG_RUN_NOT_LOADED = 3, /* refused: adapter or version not loaded */
	FG_RUN_ERROR = 4,      /* it ran, and the endpoint reported an error */
	FG_RUN_LOST = 5, /* the connection or endpoint failed after sending */
	FG_RUN_BAD_ANSWER = 6, /* truncated, of another request or garbled */
	FG_RUN_TIMEOUT = 7,    /* no complete answer before the hard deadline */
	FG_RUN_CANCELLED = 8,
};

struct fg_run_result {
	enum fg_run_status status;
	char *text; /* complete answer, freed by the caller; NULL unless DONE */
	uint32_t tokens;
	uint32_t service_ms;
	uint32_t n_pieces; /* number of calls of on_text */
	bool not_run;	   /* the request provably did not run */
	bool leaving;	   /* REFUSED because the endpoint is leaving */
};

/* State that an engine reports; only the owner of the engine reads it. */
struct fg_engine_state {
	uint64_t epoch; /* new after each restart of the engine */
	uint64_t fence; /* highest one seen; 0 if it does not check */
	bool checks_fence;
	bool leaving;
	uint32_t slots;
	uint32_t batch;
	struct fg_engine_slot {
		char adapter[FG_NAME_BYTES]; /* "" when empty */
		char version[FG_NAME_BYTES];
		bool loading;
		uint32_t running; /* requests in the batch that use the slot */
	} slot[FG_LIST_MAX];
};

enum fg_order_kind {
	FG_ORDER_LOAD = 1,
	FG_ORDER_EVICT = 2,
	FG_ORDER_ROLE = 3, /* only raises the fencing number */
};

/* An order to an engine; only the owner of the engine sends orders. */
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
	FG_ORDER_FAILED = 2, /* the engine reported a failure */
	FG_ORDER_LOST = 3,   /* no answer; may still take effect */
	FG_ORDER_NOT_SENT = 4,
	FG_ORDER_BUSY = 5, /* refused: the slot is in use */
};

struct fg_endpoint_ops {
	/*
	 * Runs one request and waits for its end. on_text, when not NULL, gets
	 * the pieces of a streamed answer as they arrive. `cancel`, when not
	 * NULL, is polled; when it is not 0, the attempt is cancelled at the
	 * endpoint. A filing that was sent is not cancelled.
	 */
	void (*run)(const struct fg_list_entry *ep,
		    const struct fg_run_req *req,
		    void (*on_text)(void *arg, const char *piece), void *arg,
		    const volatile int *cancel, struct fg_run_result *out);
	/* Sends an order and waits for the result. */
	enum fg_order_status (*send_order)(const struct fg_list_entry *ep,
					   const struct fg_order *order);
	/* Reads the state of an engine. Returns FG_PF_OK, FG_PF_DOWN when no
	 * readable answer came, or FG_PF_BAD_ANSWER when the answer has no
	 * batch size. */
	enum fg_pf_result (*read_state)(const struct fg_list_entry *ep,
					uint32_t timeout_ms,
					struct fg_engine_state *out);
};

/* Implementation over HTTP (lib/http); may be called from several threads. */
extern const struct fg_endpoint_ops fg_endpoint_http_ops;

/* ---- Check of an engine's answer ---- */

/*
 * Parses an engine's answer, newline-delimited JSON, as it arrives. The indexes
 * of the tokens must run from 0 without a gap. The end mark must repeat the
 * request's id, adapter and version, must count the tokens and must come last.
 * Does no I/O and reads no clock.
 */
struct fg_answer;

/* Returns a check of the answer to `req`, whose strings are copied. */
struct fg_answer *fg_answer_new(const struct fg_run_req *req);

/* Parses further bytes of the answer. Returns false once the answer is invalid
 * or has reported an error. */
bool fg_answer_feed(struct fg_answer *a, const char *data, size_t len_bytes);

/* True when the answer is complete and valid. */
bool fg_answer_is_complete(const struct fg_answer *a);

/* True when the engine reported that the request failed while running. */
bool fg_answer_has_error(const struct fg_answer *a);

/* Returns the text received so far, owned by the answer. */
const char *fg_answer_text(const struct fg_answer *a);

/* Returns the number of tokens received so far. */
uint32_t fg_answer_tokens(const struct fg_answer *a);

/* Frees the answer; NULL is allowed. */
void fg_answer_free(struct fg_answer *a);

#endif
