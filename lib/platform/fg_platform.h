/*
 * fg_platform - the platform as the system sees it.
 *
 * Part 1 holds the plain data of table operations, which decision modules
 * put into their actions and get back as results. Part 2 is the interface
 * that the runtime calls; an adapter to another platform fills the table of
 * function pointers. lib/platform/fg_platform_http.c speaks the HTTP protocol
 * of docs/PROTOCOL.md, which standin/platform serves.
 */
#ifndef FG_PLATFORM_H
#define FG_PLATFORM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/fg_clock.h"

/* ---- Part 1: table operations ---- */

#define FG_ROW_KEY_MAX 160 /* bytes, with NUL */
#define FG_TXN_MAX 32	   /* checks or writes in one transaction */

/* Result of any platform call. */
enum fg_pf_result {
	FG_PF_OK = 0,
	FG_PF_CONFLICT = 1, /* a check did not hold; nothing was written */
	FG_PF_ABSENT = 2,   /* no such row or object */
	FG_PF_LOST = 3,	    /* no answer: it may or may not have taken effect */
	FG_PF_DOWN = 4,	    /* refused or unreachable: it had no effect */
	FG_PF_BAD_ANSWER = 5, /* the platform answered something unreadable */
};

/* A row. The value is a JSON text; row_version grows with every write. */
struct fg_row {
	char key[FG_ROW_KEY_MAX];
	uint64_t row_version;
	char *value; /* owned by the row, NULL when deleted */
};

enum fg_op_kind {
	FG_OP_GET = 1,	/* key */
	FG_OP_SCAN = 2, /* all rows whose key starts with key */
	FG_OP_TXN = 3,	/* all writes if all checks hold, else none */
};

/*
 * One write, made only if the row's version is expect_version; 0 expects that
 * the row is absent; FG_ANY_VERSION expects nothing.
 */
#define FG_ANY_VERSION UINT64_MAX

struct fg_write {
	char key[FG_ROW_KEY_MAX];
	uint64_t expect_version;
	char *value; /* owned; NULL deletes the row */
};

struct fg_table_op {
	uint64_t id; /* chosen by the decision module, echoed in the result */
	enum fg_op_kind kind;
	char key[FG_ROW_KEY_MAX]; /* GET and SCAN */
	struct fg_write *writes;  /* TXN; owned */
	size_t n_writes;
};

struct fg_table_result {
	uint64_t id;
	enum fg_op_kind kind;
	enum fg_pf_result result;
	struct fg_row *rows; /* GET: one; SCAN: all; TXN: one per write, in
			      * order, with its new version and no value; TXN
			      * conflict: the row in the way, with version 0
			      * and no value when it is absent; owned */
	size_t n_rows;
};

/* Allocates an operation without writes. Never NULL. */
struct fg_table_op *fg_table_op_new(uint64_t id, enum fg_op_kind kind,
				    const char *key);

/* Appends a write; takes a copy of value (NULL deletes). */
void fg_table_op_add_write(struct fg_table_op *op, const char *key,
			   uint64_t expect_version, const char *value);

/* Frees the operation and all it owns; NULL is allowed. */
void fg_table_op_free(struct fg_table_op *op);

/* Allocates a result without rows. Never NULL. */
struct fg_table_result *fg_table_result_new(uint64_t id, enum fg_op_kind kind,
					    enum fg_pf_result result);

/* Appends a row; takes a copy of value. */
void fg_table_result_add_row(struct fg_table_result *res, const char *key,
			     uint64_t row_version, const char *value);

/* Frees the result and all it owns; NULL is allowed. */
void fg_table_result_free(struct fg_table_result *res);

/* ---- What the platform's list says of an instance or endpoint ---- */

enum fg_listed_kind {
	FG_LISTED_ENTRY = 1, /* an instance of this system */
	FG_LISTED_ENGINE = 2,
	FG_LISTED_PLAIN = 3,
};

#define FG_NAME_BYTES 64
#define FG_ADDR_BYTES 48

struct fg_listed {
	uint64_t id; /* fg_hash_str(name) */
	enum fg_listed_kind kind;
	char name[FG_NAME_BYTES]; /* unique, new for every replacement */
	char addr[FG_ADDR_BYTES]; /* HTTP, "127.0.0.1:8080" */
	char rpc[FG_ADDR_BYTES];  /* inner protocol; entries alone */
	char region[FG_NAME_BYTES];
	char dc[FG_NAME_BYTES];
	char service[FG_NAME_BYTES]; /* base model or plain service served */
	bool leaving;
};

/* ---- Part 2: the interface the runtime calls; all calls block ---- */

struct fg_platform;

struct fg_platform_ops {
	/* Runs op; the caller frees the result with fg_table_result_free().
	 * Never NULL. */
	struct fg_table_result *(*run_op)(struct fg_platform *p,
					  const struct fg_table_op *op);
	/* Reads the list; *out is a g_malloc'ed array of *n. */
	enum fg_pf_result (*read_list)(struct fg_platform *p,
				       struct fg_listed **out, size_t *n);
	/* Tells the platform that this instance is live or leaving. */
	enum fg_pf_result (*announce)(struct fg_platform *p,
				      const struct fg_listed *self);
	/* Objects: *text is g_malloc'ed. */
	enum fg_pf_result (*object_get)(struct fg_platform *p, const char *name,
					char **text);
	enum fg_pf_result (*object_put)(struct fg_platform *p, const char *name,
					const char *text);
	void (*free)(struct fg_platform *p);
};

struct fg_platform {
	const struct fg_platform_ops *ops;
};

/*
 * Connects to the platform at addr ("127.0.0.1:9000"), naming this instance
 * as `name`. Safe for use by several threads. timeout_ms bounds every call.
 */
struct fg_platform *fg_platform_http_new(const char *addr, const char *name,
					 uint32_t timeout_ms);

#endif
