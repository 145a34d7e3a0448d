/*
 * node_fixture - one node with fakes at its interfaces.
 *
 * The table answers at once; runs, orders and messages are recorded for the
 * test to answer. Peers are what the test says they are.
 */
#ifndef NODE_FIXTURE_H
#define NODE_FIXTURE_H

#include <glib.h>

#include "fake_table.h"
#include "node/fg_node.h"

#define NFX_ENGINE "engine-1"
#define NFX_PLAIN "orders-1"
#define NFX_PEER "entry-2"
#define NFX_SLOTS 2
#define NFX_BATCH 4

struct nfx_reply {
	uint64_t req;
	enum fg_outcome outcome;
	enum fg_reason reason;
	char *text;
	bool replayed;
	char *address;
};

struct node_fixture {
	struct fake_table *table;
	struct fg_node *node;
	fg_ms now;
	GPtrArray *replies; /* struct nfx_reply */
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
	char *adapter[NFX_SLOTS];    /* what the engine holds */
	uint32_t running[NFX_SLOTS]; /* requests it says run there */
	unsigned int changes_accepted;
};

/* A node that serves: lease taken, engine owned and recovered, adapters
 * a1 to a4 of service "menus" with version v1 open to all callers. */
struct node_fixture *nfx_new(void);
void nfx_free(struct node_fixture *fx);

/* Passes ms of time in steps of 10 ms, answering what is automatic. */
void nfx_advance(struct node_fixture *fx, fg_ms ms);

/* Shows or hides an instance or endpoint in the platform's list. */
void nfx_set_listed(struct node_fixture *fx, enum fg_listed_kind kind,
		    const char *name, bool leaving);

/* Sends requests; ids are the test's. */
void nfx_send_generate(struct node_fixture *fx, uint64_t id,
		       const char *adapter, enum fg_class cls,
		       uint32_t deadline_ms);
void nfx_send_filing(struct node_fixture *fx, uint64_t id, const char *key,
		     const char *body);
void nfx_send_status(struct node_fixture *fx, uint64_t id);

/* Ends the run with index i; removes it from runs. */
void nfx_finish_run(struct node_fixture *fx, guint i,
		    enum fg_run_status status);

/* The reply to a request; NULL while there is none. Asserts that there is
 * no second one. */
const struct nfx_reply *nfx_find_reply(const struct node_fixture *fx,
				       uint64_t id);

/* Number of messages of a type sent since the last call of nfx_clear_sent(). */
guint nfx_count_sent(const struct node_fixture *fx, fg_msg_type type);
void nfx_clear_sent(struct node_fixture *fx);

#endif
