/*
 * node_bed - one node with fakes at its interfaces.
 *
 * The table answers at once; runs, orders and messages are recorded for the
 * test to answer. Peers are what the test says they are.
 */
#ifndef NODE_BED_H
#define NODE_BED_H

#include <glib.h>

#include "fake_table.h"
#include "node/fg_node.h"

#define BED_ENGINE "engine-1"
#define BED_PLAIN "orders-1"
#define BED_PEER "entry-2"
#define BED_SLOTS 2
#define BED_BATCH 4

struct bed_reply {
	uint64_t req;
	enum fg_outcome outcome;
	enum fg_reason reason;
	char *text;
	bool replayed;
	char *address;
};

struct bed {
	struct fake_table *table;
	struct fg_node *node;
	fg_ms now;
	GPtrArray *replies; /* struct bed_reply */
	GArray *runs;	    /* struct fg_run_cmd not yet answered */
	GArray *orders;	    /* struct fg_order_cmd not yet answered */
	GPtrArray *sent;    /* fg_msg */
	GQueue ops;	    /* struct fg_table_op to be answered */
	GArray *list;	    /* struct fg_listed, what the platform shows */
	bool state_asked;
	bool list_asked;
	bool state_fails;	     /* the engine cannot be asked */
	bool auto_state;	     /* answer engine states by themselves */
	bool auto_order;	     /* answer orders with DONE */
	char *adapter[BED_SLOTS];    /* what the engine holds */
	uint32_t running[BED_SLOTS]; /* requests it says run there */
	unsigned int accepted;	     /* changes accepted */
};

/* A node that serves: lease taken, engine owned and recovered, adapters
 * a1 to a4 of service "menus" with version v1 open to all callers. */
struct bed *bed_new(void);
void bed_free(struct bed *b);

/* Passes ms of time in steps of 10 ms, answering what is automatic. */
void bed_run(struct bed *b, fg_ms ms);

/* Shows or hides an instance or endpoint in the platform's list. */
void bed_list(struct bed *b, enum fg_listed_kind kind, const char *name,
	      bool leaving);

/* Sends requests; ids are the test's. */
void bed_generate(struct bed *b, uint64_t id, const char *adapter,
		  enum fg_class cls, uint32_t deadline_ms);
void bed_file(struct bed *b, uint64_t id, const char *key, const char *body);
void bed_status(struct bed *b, uint64_t id);

/* Ends the run with index i; removes it from runs. */
void bed_run_done(struct bed *b, guint i, enum fg_run_status status);

/* The reply to a request; NULL while there is none. Asserts that there is
 * no second one. */
const struct bed_reply *bed_reply(const struct bed *b, uint64_t id);

/* Number of messages of a type sent since the last call of bed_forget(). */
guint bed_sent(const struct bed *b, fg_msg_type type);
void bed_forget(struct bed *b);

#endif
