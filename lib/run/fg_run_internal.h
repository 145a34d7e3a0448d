/* fg_run_internal - declarations shared by the files of lib/run only. */
#ifndef FG_RUN_INTERNAL_H
#define FG_RUN_INTERNAL_H

#include <pthread.h>

#include "history/fg_history.h"
#include "memory/fg_memory.h"
#include "metrics/fg_metrics.h"
#include "peer/fg_peer.h"
#include "places/fg_places.h"
#include "run/fg_exchange.h"
#include "run/fg_pool.h"
#include "run/fg_run.h"

/* An address of the HTTP interface. */
struct fg_web_port {
	struct fg_run *run;
	GPtrArray *conns; /* open connections */
	uint32_t connections_max;
};

enum fg_web_port_id {
	FG_WEB_CALLERS = 0,
	FG_WEB_OPERATORS = 1,
	FG_WEB_PORT_COUNT = 2,
};

struct fg_run {
	const struct fg_settings *settings;
	pthread_mutex_t node_lock; /* guards node */
	struct fg_node *node;
	struct fg_list_entry self;
	struct fg_platform *platform;
	const struct fg_endpoint_ops *endpoints;
	struct fg_peer *peer;
	struct fg_history *history;
	struct fg_metrics *metrics;
	struct fg_hist *latency_ms[FG_CLASS_COUNT];
	struct fg_pool *platform_pool;
	struct fg_pool *engine_pool; /* orders to engines, reads of state */
	struct fg_pool *run_pool;    /* attempts of requests */
	struct MHD_Daemon *daemon;
	struct MHD_Daemon *control_daemon; /* NULL without an address */
	pthread_mutex_t exchanges_lock;	   /* guards exchanges; taken after
					    * node_lock */
	GHashTable *exchanges;	    /* id -> struct fg_exchange, not answered */
	pthread_mutex_t parse_lock; /* held while a large body is parsed;
				     * taken first */
	pthread_mutex_t memory_lock; /* guards memory, and bodies that are
				      * read; taken last */
	struct fg_memory memory;     /* of requests */
	struct fg_counter *gave_way; /* requests whose body was dropped */
	pthread_mutex_t conns_lock;  /* guards the ports; taken last */
	struct fg_web_port ports[FG_WEB_PORT_COUNT];
	GPtrArray *kept_conns; /* closed ones whose answer is on its way */
	fg_ms ports_checked_at;
	struct fg_counter *places_taken; /* connections ended for others, or
					  * because they were slow */
	uint64_t logged_gave_way;	 /* with requests, when last logged */
	uint64_t last_id;		 /* atomic */
	uint32_t http_in_flight; /* atomic; POST requests whose answer is not
				  * sent yet */
	fg_ms stop_begun_at;	 /* 0: not stopping */
	bool quiesced;		 /* no more connections are accepted */
	bool test_hooks;	 /* FG_TEST=1 */
};

/* ---- fg_run.c ---- */

void fg_run_lock(struct fg_run *run);
void fg_run_unlock(struct fg_run *run);

/* Registers an exchange until it is answered. Takes a reference. */
void fg_run_add_exchange(struct fg_run *run, struct fg_exchange *x);

/* Returns a new reference, or NULL if the exchange is not registered. */
struct fg_exchange *fg_run_find_exchange(struct fg_run *run, uint64_t id);

/* Drops the reference of a registered exchange. */
void fg_run_remove_exchange(struct fg_run *run, uint64_t id);

/* ---- fg_run_io.c ---- */

/* Sets the node's callbacks, which run their work on pools of threads. */
void fg_run_fill_node_io(struct fg_run *run, struct fg_node_io *io);

/* ---- fg_web.c ---- */

/* Listens for callers and, if configured, for operators. */
bool fg_web_start(struct fg_run *run, GError **error);

/* Ends requests that take too long to be read. */
void fg_web_tick(struct fg_run *run, fg_ms now);

/* Accepts no more connections of callers. Open connections continue. */
void fg_web_quiesce(struct fg_run *run);

/* Answers open exchanges with UNKNOWN and ends the HTTP threads. */
void fg_web_stop(struct fg_run *run);

/* ---- fg_web_memory.c ---- */

/* Create and free the ledger. All requests must have ended before the latter.
 */
void fg_web_memory_init(struct fg_run *run);
void fg_web_memory_clear(struct fg_run *run);

/* A request begins, and has ended: charges its body, and gives the charge
 * back. */
void fg_web_open_exchange(struct fg_run *run, struct fg_exchange *x);
void fg_web_close_exchange(struct fg_run *run, struct fg_exchange *x);

/* Appends to the body, unless that is too large or the request gives way
 * (x->too_large, x->gave_way). Others may give way for it. */
void fg_web_append_body(struct fg_run *run, struct fg_exchange *x,
			const char *data, size_t len_bytes);

/* The body is complete. Returns false when the request gave way; else it no
 * longer does. */
bool fg_web_complete_body(struct fg_run *run, struct fg_exchange *x);

/* As fg_web_submit(), with one large body at a time. */
bool fg_web_submit_alone(struct fg_run *run, struct fg_exchange *x,
			 const char *path, uint32_t *status, char **text);

/* ---- fg_web_conns.c ---- */

/* Create and free the lists of connections. All must have ended before the
 * latter. */
void fg_web_conns_init(struct fg_run *run);
void fg_web_conns_clear(struct fg_run *run);

/* MHD callback, for the port in `arg`: keeps one place free for the next
 * connection. */
void fg_web_on_connection(void *arg, struct MHD_Connection *c, void **context,
			  enum MHD_ConnectionNotificationCode code);

/* A complete request is in progress on the connection; it was answered. */
void fg_web_note_busy(struct fg_run *run, struct MHD_Connection *c);
void fg_web_note_answered(struct fg_run *run, struct MHD_Connection *c);

/* Ends connections without a complete request for longer than that. */
void fg_web_end_slow_requests(struct fg_web_port *port, uint32_t limit_ms);

/* Waits until callers have what was sent on their open connections, or until
 * that time. */
void fg_web_wait_for_open(struct fg_run *run, fg_ms until);

/* Logs how many gave way so far, if there were more. */
void fg_web_log_gave_way(struct fg_run *run);

/* ---- fg_web_kept.c ---- */

/* Create and free the list. */
void fg_web_kept_init(struct fg_run *run);
void fg_web_kept_clear(struct fg_run *run);

/* Returns what the peer has not acknowledged, but for the end of the stream. */
uint64_t fg_web_unacked_bytes(int fd);

/* MHD is about to close the descriptor. Keeps its socket open while an answer
 * is on its way, or its caller may not have read it. `was_answered`: less than
 * FG_DRAIN_KEEP_MS ago. The caller holds conns_lock. */
void fg_web_keep_conn(struct fg_run *run, int fd, bool was_answered);

/* Reads and drops what came, and closes what is delivered. Returns how many are
 * left. */
uint32_t fg_web_check_kept(struct fg_run *run, fg_ms now);

/* Waits until none is left, or until that time. */
void fg_web_wait_for_kept(struct fg_run *run, fg_ms until);

/* ---- fg_web_calls.c ---- */

/* Handles a POST. Returns true if the exchange will be answered later.
 * Otherwise sets *status and *text (to be freed with g_free()) to the answer.
 */
bool fg_web_submit(struct fg_run *run, struct fg_exchange *x, const char *path,
		   uint32_t *status, char **text);

/* Handles a GET. Returns the answer, to be freed with g_free(), or NULL if the
 * path does not exist. */
char *fg_web_get(struct fg_run *run, struct MHD_Connection *c, const char *path,
		 uint32_t *status);

/* ---- fg_web_json.c ---- */

/* Both return JSON text, to be freed with g_free(). tag may be NULL. */
char *fg_web_reply_json(const char *tag, bool plain,
			const struct fg_reply *reply);
char *fg_web_error_json(const char *tag, enum fg_reason reason,
			const char *message);

/* ---- fg_metrics_text.c ---- */

void fg_run_create_metrics(struct fg_run *run);

/* Returns the metrics in the Prometheus text format, to be freed with
 * g_free(). */
char *fg_run_render_metrics(struct fg_run *run);

#endif
