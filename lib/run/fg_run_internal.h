/* fg_run_internal - shared by the files of lib/run alone. */
#ifndef FG_RUN_INTERNAL_H
#define FG_RUN_INTERNAL_H

#include <pthread.h>

#include "history/fg_history.h"
#include "metrics/fg_metrics.h"
#include "peer/fg_peer.h"
#include "run/fg_exchange.h"
#include "run/fg_pool.h"
#include "run/fg_run.h"

struct fg_run {
	const struct fg_settings *settings;
	pthread_mutex_t core; /* guards node */
	struct fg_node *node;
	struct fg_listed self;
	struct fg_platform *platform;
	const struct fg_endpoint_ops *endpoints;
	struct fg_peer *peer;
	struct fg_history *history;
	struct fg_metrics *metrics;
	struct fg_hist *latency[FG_CLASS_COUNT]; /* ms, by class */
	struct fg_pool *table_pool;		 /* platform calls */
	struct fg_pool *order_pool; /* orders to and states of engines */
	struct fg_pool *run_pool;   /* attempts of requests */
	struct MHD_Daemon *daemon;
	struct MHD_Daemon *control_daemon; /* NULL without an address */
	pthread_mutex_t open_lock;	   /* guards open; taken after core */
	GHashTable *open;		   /* id -> struct fg_exchange */
	uint64_t next_id;		   /* atomic */
	uint32_t in_web;  /* atomic: requests whose answer is not sent yet */
	fg_ms stop_begun; /* 0: not stopping */
	bool quiesced;	  /* no more connections are accepted */
	bool test_hooks;  /* FG_TEST=1 */
};

/* ---- fg_run.c ---- */
void fg_run_lock(struct fg_run *run);
void fg_run_unlock(struct fg_run *run);
/* Registers an exchange until its answer came. */
void fg_run_open(struct fg_run *run, struct fg_exchange *x);
/* A new reference, or NULL. */
struct fg_exchange *fg_run_find(struct fg_run *run, uint64_t id);
void fg_run_closed(struct fg_run *run, uint64_t id);

/* ---- fg_run_io.c ---- */
/* The node's actions, carried out by pools of threads. */
void fg_run_fill_io(struct fg_run *run, struct fg_node_io *io);

/* ---- fg_web.c ---- */
bool fg_web_start(struct fg_run *run, GError **error);
/* Accepts no more connections; those that are open go on. */
void fg_web_quiesce(struct fg_run *run);
void fg_web_stop(struct fg_run *run);

/* ---- fg_web_calls.c ---- */
/* A request that is answered later: submits it. Returns false with status and
 * text (g_malloc'ed) when it is refused at once. */
bool fg_web_submit(struct fg_run *run, struct fg_exchange *x, const char *path,
		   uint32_t *status, char **text);
/* A call that is answered at once; NULL when there is no such path. */
char *fg_web_read(struct fg_run *run, struct MHD_Connection *c,
		  const char *path, uint32_t *status);

/* ---- fg_web_json.c ---- */
char *fg_web_reply_json(const char *tag, bool plain,
			const struct fg_reply *reply);
char *fg_web_error_json(const char *tag, enum fg_reason reason,
			const char *message);

/* ---- fg_metrics_text.c ---- */
void fg_run_make_metrics(struct fg_run *run);
char *fg_run_metrics(struct fg_run *run);

#endif
