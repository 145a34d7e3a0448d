/*
 * fg_wire - what the gateway needs of a platform's protocol, as a table of
 * functions, and the typed messages they read and write.
 *
 * An adapter knows names, formats and calls; it decides nothing. Each message
 * is decoded once, here, into fields that say what they hold. Strings that a
 * decoder returns are g_malloc'ed and belong to the structure; each structure
 * has a clear function.
 */
#ifndef FG_WIRE_H
#define FG_WIRE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "fleet/fg_fleet.h"
#include "h1/fg_h1.h"
#include "route/fg_route.h"

#define FG_WIRE_ERROR (fg_wire_error_quark())
GQuark fg_wire_error_quark(void);

enum fg_wire_error {
	FG_WIRE_ERR_SYNTAX, /* not the format that the message must have */
	FG_WIRE_ERR_FIELD,  /* a field is missing or holds what it may not */
};

/* ---- Requests of callers ---- */

struct fg_call {
	char *id;   /* of this attempt of the caller; NULL when absent */
	char *host; /* NULL when absent */
	uint32_t deadline_ms; /* the caller waits this long; 0: not said */
	char *model;	      /* NULL: not a model request */
	char *adapter;	      /* of that model; NULL: the bare model */
	uint32_t prompt_tokens;
	uint32_t output_tokens;	     /* at most */
	uint64_t prompt_prefix_hash; /* hash of the first shared prompt part; 0:
					none */
	bool resumes;		     /* the caller goes on with a stream */
	uint64_t resume_after;	     /* ... after the event of this id */
};

void fg_call_clear(struct fg_call *c);

/* How a request is sent to an endpoint. */
struct fg_send_params {
	const char *endpoint_id; /* no other endpoint may run it */
	uint32_t deadline_ms;	 /* left for it; 0: not said */
	uint32_t urgency;	 /* 0 first .. 9 last */
	uint64_t version;	 /* the adapter must have it; 0: any */
	bool resumes;
	uint64_t resume_after;
	uint64_t body_bytes;
	bool has_body; /* a length is sent, also of 0 bytes */
};

/* What the head of an endpoint's answer says beside its status. */
struct fg_wire_reply {
	bool not_run;		 /* the endpoint never ran the request */
	bool misdirected;	 /* it has not the endpoint, model or version */
	const char *endpoint;	 /* id of the endpoint; NULL: not said */
	bool from_service;	 /* an answer of the application itself */
	bool encoded;		 /* a content coding that nobody asked for */
	const char *id;		 /* of the request it answers; NULL: not said */
	uint64_t version;	 /* of the weights; 0: not said */
	uint32_t idle_timeout_s; /* idle connections are kept so long; 0: not
				    said */
};

/* ---- Rows of the platform's store ---- */

struct fg_store_row {
	char *table;
	char *key;
	char *value; /* NUL-terminated behind value_bytes; NULL when removed */
	size_t value_bytes;
	uint64_t version;
	bool removed;
};

struct fg_store_rows {
	GPtrArray *rows;  /* struct fg_store_row * */
	uint64_t version; /* newest version that the answer reflects */
	bool more;	  /* further rows follow after the last key */
};

void fg_store_row_free(gpointer row);
void fg_store_rows_clear(struct fg_store_rows *rows);

struct fg_tx_row {
	const char *table;
	const char *key;
	const char *value; /* NULL: remove the row */
	bool conditional;  /* only if the row's version is `expected` */
	uint64_t expected; /* 0: the row does not exist */
};

/* A call of this instance, ready for an HTTP connection. */
struct fg_wire_request {
	char *head_and_body;
	size_t len_bytes;
};

/* ---- Orders to engines ---- */

struct fg_wire_order {
	bool load; /* otherwise unload */
	const char *endpoint_id;
	const char *model;
	const char *adapter; /* "": the model itself */
	uint64_t version;    /* to load; 0: the newest */
	uint64_t expected_sequence;
	const char *holder;
	uint64_t fence;
};

enum fg_wire_order_result {
	FG_WIRE_ORDER_ACCEPTED = 1,	/* is being carried out */
	FG_WIRE_ORDER_ALREADY_DONE = 2, /* holds already, or was done at once */
	FG_WIRE_ORDER_CONFLICT = 3,	/* busy, or the sequence differs */
	FG_WIRE_ORDER_FENCED = 4,	/* a higher fencing number was seen */
	FG_WIRE_ORDER_REFUSED = 5,	/* no such order here */
	FG_WIRE_ORDER_MISDIRECTED = 6,	/* another endpoint answers there */
	FG_WIRE_ORDER_UNKNOWN = 7,	/* no answer: it may act now or later */
};

/* An engine's report on itself; some hundred ms old. */
struct fg_engine_report {
	uint64_t sequence; /* orders accepted since it started */
	uint64_t born;
	bool busy;
	struct fg_ep_resident resident[FG_FLEET_RESIDENT_MAX];
	uint32_t n_resident;
	struct fg_ep_resident loading[FG_FLEET_RESIDENT_MAX];
	uint32_t n_loading;
	uint32_t running;
	uint32_t waiting;
};

/* ---- What operators announce ---- */

struct fg_announcement {
	char *model;
	char *adapter;
	uint64_t version;
};

void fg_announcement_clear(struct fg_announcement *a);

/* A caller's question for an address. */
struct fg_lookup {
	char *name; /* host; NULL when absent */
	char *region;
	char *dc;
};

void fg_lookup_clear(struct fg_lookup *l);

struct fg_wire_ops {
	/* Callers and endpoints. */
	bool (*call_read)(const struct fg_h1_head *head, struct fg_call *out);
	void (*call_write)(GString *out, const struct fg_h1_head *head,
			   const struct fg_send_params *send);
	void (*reply_read)(const struct fg_h1_head *head,
			   struct fg_wire_reply *out);
	/* Head fields of a refusal that the gateway itself gives. */
	void (*refusal_write)(GString *out, const char *request_id);

	/* Addresses and readiness. */
	bool (*is_lookup)(const struct fg_h1_head *head, struct fg_lookup *out);
	void (*lookup_write)(GString *body, const char *const *addresses,
			     uint32_t n, uint32_t ttl_s);
	bool (*is_ready_check)(const struct fg_h1_head *head);

	/* Names of the store's tables. */
	const char *table_config; /* configuration and announcements */
	const char *table_registry;

	/* The store. `host` goes into the head. */
	struct fg_wire_request (*rows_get)(const char *host, const char *table,
					   const char *from, uint32_t limit);
	struct fg_wire_request (*rows_feed)(const char *host, const char *table,
					    uint64_t after, uint32_t wait_ms);
	struct fg_wire_request (*rows_tx)(const char *host,
					  const struct fg_tx_row *rows,
					  uint32_t n);
	bool (*rows_read)(const char *body, size_t len,
			  struct fg_store_rows *out, GError **error);

	/* Rows of the tables. */
	bool (*is_config)(const char *key);
	bool (*is_announcement)(const char *key);
	struct fg_routes *(*config_read)(const char *text, size_t len,
					 GError **error);
	bool (*announcement_read)(const char *text, size_t len,
				  struct fg_announcement *out, GError **error);
	bool (*entry_read)(const char *key, const char *text, size_t len,
			   struct fg_ep_facts *out, GError **error);

	/* Engines. */
	struct fg_wire_request (*order_write)(
		const char *host, const struct fg_wire_order *order);
	enum fg_wire_order_result (*order_result)(unsigned int status);
	struct fg_wire_request (*report_get)(const char *host,
					     const char *endpoint_id);
	bool (*report_read)(const char *text, size_t len,
			    struct fg_engine_report *out, GError **error);
};

#endif
