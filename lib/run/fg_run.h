/*
 * fg_run - the runtime of one entry instance: threads and I/O around a node.
 *
 * Lock order, outermost first:
 *   core    (fg_run)       the node; held for one event, never over I/O
 *   exchange (fg_exchange) one caller's request and its answer
 *   pool    (fg_pool)      a queue of work
 * Peers, histories and logs have locks of their own, taken last.
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
	FG_RUN_ERR_LISTEN,  /* an address of the settings cannot be used */
	FG_RUN_ERR_HISTORY, /* the history file cannot be written */
};

struct fg_run;

/* Starts everything: threads, peers, callers' interface. NULL with error set
 * when an address cannot be used. Borrows the settings. */
struct fg_run *fg_run_start(const struct fg_settings *settings, GError **error);

/* One step of the clock; the main thread calls it each tick_ms. */
void fg_run_tick(struct fg_run *run);

/* Begins a planned stop. */
void fg_run_stop(struct fg_run *run);

/* True when the planned stop is complete. */
bool fg_run_is_stopped(struct fg_run *run);

/* Ends all threads and frees. */
void fg_run_free(struct fg_run *run);

#endif
