/*
 * fg_run - the runtime of one entry instance: threads and I/O around a node.
 *
 * The runtime passes events from sockets to the node (fg_node.h) and executes
 * the node's callbacks on pools of threads.
 *
 * Lock order, outermost first:
 *   node_lock  the node; held for one event, never during I/O
 *   exchange   one request over HTTP and its answer (fg_exchange.h)
 *   pool       a queue of jobs (fg_pool.h)
 * The locks of peers, histories and logs are taken after all of these.
 */
#ifndef FG_RUN_H
#define FG_RUN_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

#include "node/fg_node.h"
#include "settings/fg_settings.h"

#define FG_RUN_ERROR (fg_run_error_quark())
GQuark fg_run_error_quark(void);

enum fg_run_error {
	FG_RUN_ERR_LISTEN,  /* cannot listen at an address of the settings */
	FG_RUN_ERR_HISTORY, /* cannot write the history file */
};

struct fg_run;

/* Starts the node, its threads, and the interfaces to peers, callers and
 * operators. Returns NULL with *error set on failure. Borrows the settings,
 * which must outlive the runtime. */
struct fg_run *fg_run_start(const struct fg_settings *settings, GError **error);

/* Runs periodic work of the node. The main thread calls it every tick_ms. */
void fg_run_tick(struct fg_run *run);

/* Begins a planned stop. */
void fg_run_stop(struct fg_run *run);

/* True when the planned stop is complete and all answers are sent, or its time
 * limit has passed. Call repeatedly after fg_run_stop(): once the node has
 * stopped, no more connections are accepted. */
bool fg_run_is_stopped(struct fg_run *run);

/* Ends all threads and frees the runtime. Open requests are answered UNKNOWN.
 * NULL is allowed. */
void fg_run_free(struct fg_run *run);

#endif
