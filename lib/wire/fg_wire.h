/*
 * fg_wire - interface to the wire formats of a platform.
 *
 * struct fg_wire_ops is a table of functions that encode and decode the
 * messages that the gateway exchanges with callers, endpoints, engines and the
 * platform's store. An implementation holds the platform's names and formats,
 * does no I/O, reads no clock and makes no decisions; platform/ has one.
 *
 * A function that returns false or NULL with `error` set has nothing in its
 * output that the caller must free. Strings in a decoded structure are
 * allocated and owned by the structure, which is released by its fg_*_clear()
 * function; fields declared const char * are borrowed.
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
	FG_WIRE_ERR_SYNTAX, /* the message is not in the required format */
	FG_WIRE_ERR_FIELD,  /* a field is missing or has an invalid value */
};

/* ---- Requests of callers ---- */

/* Fields of a caller's request that the gateway uses. */
struct fg_call {
	char *id;   /* request id of this attempt of the caller, or NULL */
	char *host; /* NULL when absent */
	uint32_t deadline_ms; /* time that the caller waits; 0: not stated */
	char *model;	      /* NULL: the request is not for a model */
	char *adapter;	      /* of the model; NULL: the base model */
	uint32_t prompt_tokens;
	uint32_t output_tokens; /* upper bound */
	/* Keys of the prompt's parts that other requests may have too, in the
	 * order of the prompt (uint64_t[]); NULL: none. */
	GBytes *shared_parts;
	bool resumes;	       /* the caller resumes a stream */
	uint64_t resume_after; /* last event id that it has received */
	/* The key that the caller sent, NULL when there is none; bad_credential
	 * when it sent several or one of another form. */
	char *credential;
	bool bad_credential;
	bool has_tokens;  /* prompt_tokens and output_tokens were stated */
	char *resumes_id; /* id of the attempt that brought the stream's first
			     event; NULL: not stated */
};

/* Frees the strings and zeroes the structure. */
void fg_call_clear(struct fg_call *c);

/* Parameters of a request that is forwarded to an endpoint. */
struct fg_send_params {
	const char *endpoint_id; /* others refuse the request; NULL: any */
	uint32_t deadline_ms;	 /* time left for the request; 0: not stated */
	uint32_t urgency;	 /* 0 (first) to 9 (last); higher: not sent */
	uint64_t version;	 /* required adapter version; 0: any */
	bool resumes;		 /* as in struct fg_call */
	uint64_t resume_after;
	uint64_t body_bytes;
	bool has_body; /* writes Content-Length, even for 0 bytes */
	/* Replaces the caller's key and workspace by that of the request. */
	bool identified;
	const char *workspace; /* NULL: the request belongs to none */
};

/* Larger limits are cut to this. */
#define FG_WIRE_LIMIT_MAX 1e9

/* Header fields of an endpoint's answer. Strings belong to the decoded head. */
struct fg_wire_reply {
	bool not_run;	      /* states that the request did not run */
	bool misdirected;     /* wrong endpoint, or model or version absent */
	const char *endpoint; /* id of the answering endpoint; NULL: absent */
	bool from_service;    /* the application itself produced the answer */
	bool encoded;	  /* has a content coding, which is never requested */
	const char *id;	  /* of the answered request; NULL: absent */
	bool has_two_ids; /* it has heads of two answers in one */
	uint64_t version; /* of the weights; 0: absent */
	uint32_t idle_timeout_s; /* of an idle connection; 0: not stated */
	bool leaving;		 /* the endpoint ends soon */
	/* With a refusal: time in which the endpoint wants no request from this
	 * instance; 0: not stated. */
	uint32_t pause_ms;
	bool bad_pause; /* a pause is stated, but not as a number */
	/* Requests a second that the endpoint takes from all instances
	 * together. */
	double limit_per_s;
	bool has_limit;
	bool bad_limit; /* a limit is stated, but not as a number */
	/* The endpoint falls over when it has to turn more than so many
	 * requests away in a second. */
	uint32_t brittle_rejections;
	bool brittle;
	bool bad_brittle; /* it is brittle, but the number cannot be read */
};

/* ---- Rows of the platform's store ---- */

/*
 * Versions of rows. When the store returns from an older copy, its counter goes
 * back and gives numbers out again, and its era rises. A version as the gateway
 * keeps and compares it holds the era above the store's number, so that any
 * version of a later era is newer. Orders carry it as their fencing number,
 * which stays below 2^53, the largest number that all JSON readers keep exact.
 */
#define FG_STORE_NUMBER_BITS 40
#define FG_STORE_ERA_MAX 8191

static inline uint64_t fg_store_version(uint64_t era, uint64_t number)
{
	return era << FG_STORE_NUMBER_BITS | number;
}

static inline uint64_t fg_store_era(uint64_t version)
{
	return version >> FG_STORE_NUMBER_BITS;
}

static inline uint64_t fg_store_number(uint64_t version)
{
	return version & ((UINT64_C(1) << FG_STORE_NUMBER_BITS) - 1);
}

struct fg_store_row {
	char *table;
	char *key;
	char *value; /* followed by a NUL byte; NULL when removed */
	size_t value_bytes;
	uint64_t version;
	bool removed;
};

struct fg_store_rows {
	GPtrArray *rows;  /* struct fg_store_row *, owned */
	uint64_t version; /* newest version that the answer reflects */
	bool more;	  /* further rows follow the last key */
	bool listed;	  /* the answer has a list of rows, even an empty one */
};

/* Frees a row; NULL is allowed. */
void fg_store_row_free(gpointer row);

/* Turns the store's numbers in the answer into versions of that era. */
void fg_store_rows_set_era(struct fg_store_rows *rows, uint64_t era);

/* Frees the rows and zeroes the structure. */
void fg_store_rows_clear(struct fg_store_rows *rows);

/* One row of a transaction. */
struct fg_tx_row {
	const char *table;
	const char *key;
	const char *value; /* text to write; NULL removes the row */
	bool conditional;  /* the transaction requires version `expected` */
	uint64_t expected; /* 0: the row must not exist */
};

/* An encoded HTTP request of this instance. head_and_body is allocated; the
 * caller frees it or passes it to fg_channel_send(). */
struct fg_wire_request {
	char *head_and_body;
	size_t len_bytes;
};

/* ---- Orders to engines ---- */

struct fg_wire_order {
	bool load; /* false: unload */
	const char *endpoint_id;
	const char *model;
	const char *adapter;	    /* "": the base model */
	uint64_t version;	    /* to load; 0: the newest */
	uint64_t expected_sequence; /* orders accepted before this one */
	const char *holder;	    /* name of the instance that sends it */
	uint64_t fence;
};

enum fg_wire_order_result {
	FG_WIRE_ORDER_ACCEPTED = 1,	/* the engine is executing the order */
	FG_WIRE_ORDER_ALREADY_DONE = 2, /* in effect before, or at once */
	FG_WIRE_ORDER_CONFLICT = 3,	/* busy, or the sequence differs */
	FG_WIRE_ORDER_FENCED = 4,	/* a higher fencing number was seen */
	FG_WIRE_ORDER_REFUSED = 5,	/* the engine knows no such order */
	FG_WIRE_ORDER_MISDIRECTED = 6,	/* another endpoint has the address */
	FG_WIRE_ORDER_UNKNOWN = 7, /* no answer: may still take effect later */
};

/* An engine's report on its own state, a few hundred ms old. */
struct fg_engine_report {
	uint64_t sequence; /* orders accepted since the engine started */
	uint64_t born;	   /* start of the engine, as in its registry entry */
	bool busy;	   /* an order is being executed */
	struct fg_ep_resident resident[FG_FLEET_RESIDENT_MAX];
	uint32_t n_resident;
	struct fg_ep_resident loading[FG_FLEET_RESIDENT_MAX];
	uint32_t n_loading;
	uint32_t running; /* requests being run */
	uint32_t waiting; /* requests queued in the engine */
};

/* ---- Announcements of operators ---- */

/* An adapter version that operators have announced. */
struct fg_announcement {
	char *model;
	char *adapter; /* NULL: the base model */
	uint64_t version;
};

/* Frees the strings and zeroes the structure. */
void fg_announcement_clear(struct fg_announcement *a);

/* An address lookup of a caller. */
struct fg_lookup {
	char *name;   /* host; NULL when absent */
	char *region; /* of the caller; NULL when absent */
	char *dc;     /* of the caller; NULL when absent */
};

/* Frees the strings and zeroes the structure. */
void fg_lookup_clear(struct fg_lookup *l);

struct fg_wire_ops {
	/* ---- Callers and endpoints ---- */

	/* Decodes a request head. Returns false when it names no host; `out`
	 * must be cleared in both cases. */
	bool (*call_read)(const struct fg_h1_head *head, struct fg_call *out);
	/* Appends the head of the forwarded request, without hop-by-hop fields
	 * and fields that only the system sets. */
	void (*call_write)(GString *out, const struct fg_h1_head *head,
			   const struct fg_send_params *params);
	/* Decodes an answer's head, which must outlive `out`. */
	void (*reply_read)(const struct fg_h1_head *head,
			   struct fg_wire_reply *out);
	/* Appends the header fields of a refusal that the gateway itself sends.
	 * request_id may be NULL. */
	void (*refusal_write)(GString *out, const char *request_id);

	/* ---- Address lookups and readiness checks ---- */

	/* True when the request is an address lookup, which is decoded into
	 * `out`. */
	bool (*is_lookup)(const struct fg_h1_head *head, struct fg_lookup *out);
	/* Appends the answer to a lookup: n addresses, valid for ttl_s. */
	void (*lookup_write)(GString *body, const char *const *addresses,
			     uint32_t n, uint32_t ttl_s);
	bool (*is_ready_check)(const struct fg_h1_head *head);

	/* ---- Names of the store's tables ---- */

	const char *table_config; /* configuration and announcements */
	const char *table_registry;

	/* ---- The store; `host` is the value of the Host field ---- */

	/* Encodes a read of at most `limit` rows from key `from`; NULL reads
	 * from the first row. */
	struct fg_wire_request (*rows_get)(const char *host, const char *table,
					   const char *from, uint32_t limit);
	/* Encodes a long poll for rows newer than the store's number `after`,
	 * which the
	 * store answers after wait_ms at the latest. */
	struct fg_wire_request (*rows_feed)(const char *host, const char *table,
					    uint64_t after, uint32_t wait_ms);
	/* Encodes a transaction: all n rows are written, or none. */
	struct fg_wire_request (*rows_tx)(const char *host,
					  const struct fg_tx_row *rows,
					  uint32_t n);
	/* Reads the era from the head of an answer of any status. Returns 0,
	 * ENOENT when it is absent or EINVAL when it is not a number. */
	int (*era_read)(const struct fg_h1_head *head, uint64_t *out);
	/* Decodes an answer of the store, with the store's own version numbers.
	 * Rows without a table or a key are
	 * skipped. */
	bool (*rows_read)(const char *body, size_t len,
			  struct fg_store_rows *out, GError **error);

	/* ---- Rows of the tables ---- */

	bool (*is_config)(const char *key);
	bool (*is_announcement)(const char *key);
	/* Returns the routes of a configuration, or NULL with `error` set. The
	 * caller unrefs the result. */
	struct fg_routes *(*config_read)(const char *text, size_t len,
					 GError **error);
	bool (*announcement_read)(const char *text, size_t len,
				  struct fg_announcement *out, GError **error);
	/* Decodes the registry entry of an endpoint. `out` owns no memory. */
	bool (*entry_read)(const char *key, const char *text, size_t len,
			   struct fg_ep_facts *out, GError **error);

	/* ---- Engines; `host` is the value of the Host field ---- */

	struct fg_wire_request (*order_write)(
		const char *host, const struct fg_wire_order *order);
	/* Maps the HTTP status of the answer to an order. */
	enum fg_wire_order_result (*order_result)(unsigned int status);
	struct fg_wire_request (*report_get)(const char *host,
					     const char *endpoint_id);
	/* Decodes a report. `out` owns no memory. */
	bool (*report_read)(const char *text, size_t len,
			    struct fg_engine_report *out, GError **error);
};

#endif
