/*
 * node_fixture - one node with fake callbacks, for unit tests.
 *
 * Table operations, list reads and, if automatic, engine states and orders are
 * answered while nfx_advance() runs. Runs and sent messages are recorded; the
 * test ends the runs. Other instances exist only as far as the test lists them
 * and writes their rows.
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
	GArray *runs;	    /* struct fg_run_cmd, not yet answered */
	GArray *orders;	    /* struct fg_order_cmd, not yet answered */
	GPtrArray *sent;    /* fg_msg, sent to other instances */
	GQueue ops;	    /* struct fg_table_op, not yet answered */
	GArray *list;	    /* struct fg_list_entry, the platform's list */
	bool state_asked;
	bool list_asked;
	bool state_fails;	     /* reads of the engine's state fail */
	bool auto_state;	     /* answer reads of the engine's state */
	bool auto_order;	     /* answer orders with DONE */
	char *adapter[NFX_SLOTS];    /* held by the engine; NULL: empty slot */
	uint32_t running[NFX_SLOTS]; /* running requests per slot, as the
				      * engine reports them */
	unsigned int changes_accepted;
};

/* Returns a node that serves: it has its lease, owns the engine and has
 * recovered its grants. Adapters a1 to a4 of service "menus" have version v1,
 * and all callers have the right to use them. */
struct node_fixture *nfx_new(void);
void nfx_free(struct node_fixture *fx);

/* Advances the time by ms in steps of 10 ms with a tick each, and sends the
 * automatic answers. */
void nfx_advance(struct node_fixture *fx, fg_ms ms);

/* Adds or replaces an instance or endpoint in the platform's list. */
void nfx_set_list_entry(struct node_fixture *fx, enum fg_list_entry_kind kind,
			const char *name, bool leaving);

/* Send a request under an id that the test chooses. */
void nfx_send_generate(struct node_fixture *fx, uint64_t id,
		       const char *adapter, enum fg_class cls,
		       uint32_t deadline_ms);
void nfx_send_filing(struct node_fixture *fx, uint64_t id, const char *key,
		     const char *body);
void nfx_send_status(struct node_fixture *fx, uint64_t id);

/* Ends the run with index i and removes it from runs. */
void nfx_finish_run(struct node_fixture *fx, guint i,
		    enum fg_run_status status);

/* Returns the reply to a request, or NULL while there is none. Asserts that
 * there is at most one. */
const struct nfx_reply *nfx_find_reply(const struct node_fixture *fx,
				       uint64_t id);

/* Returns the number of messages of a type in `sent`. */
guint nfx_count_sent(const struct node_fixture *fx, fg_msg_type type);

/* Empties `sent`. */
void nfx_clear_sent(struct node_fixture *fx);

#endif
