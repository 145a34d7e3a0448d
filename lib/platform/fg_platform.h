/*
 * fg_platform - interface to the platform.
 *
 * Part 1 holds table operations and their results as plain data: decision
 * modules emit operations in their actions and get the results back. Part 2 is
 * a table of blocking calls that the runtime makes. fg_platform_http_new()
 * implements it over the HTTP protocol of docs/PROTOCOL.md, which
 * standin/platform serves; an adapter to another platform fills the same table.
 */
#ifndef FG_PLATFORM_H
#define FG_PLATFORM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/fg_clock.h"

/* ---- Part 1: table operations ---- */

#define FG_ROW_KEY_MAX 160 /* bytes, including the NUL */
#define FG_TXN_MAX 32	   /* checks or writes in one transaction */

/* Result of a platform call. */
enum fg_pf_result {
	FG_PF_OK = 0,
	FG_PF_CONFLICT = 1, /* a check failed; nothing was written */
	FG_PF_ABSENT = 2,   /* no such row or object */
	FG_PF_LOST = 3,	    /* no answer: the call may have taken effect */
	FG_PF_DOWN = 4,	    /* refused or unreachable: the call had no effect */
	FG_PF_BAD_ANSWER = 5, /* the answer could not be decoded */
};

/* A row of the table. row_version increases with each write. */
struct fg_row {
	char key[FG_ROW_KEY_MAX];
	uint64_t row_version;
	char *value; /* JSON, owned by the row; NULL when deleted */
};

enum fg_op_kind {
	FG_OP_GET = 1,	/* key */
	FG_OP_SCAN = 2, /* all rows whose key starts with key */
	FG_OP_TXN = 3,	/* all writes, or none if a check fails */
};

/*
 * A write and its check: the row must have version expect_version. 0: the row
 * must be absent. FG_ANY_VERSION: no check.
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
	/*
	 * Owned. GET: the row. SCAN: all rows. TXN: one row per write, in
	 * order, with its new version and without a value. TXN with
	 * FG_PF_CONFLICT: the row whose check failed, with version 0 and
	 * without a value when it is absent.
	 */
	struct fg_row *rows;
	size_t n_rows;
};

/* Returns an operation without writes, which the caller frees. `key` may be
 * NULL. */
struct fg_table_op *fg_table_op_new(uint64_t id, enum fg_op_kind kind,
				    const char *key);

/* Appends a write; `value` is copied, NULL deletes the row. */
void fg_table_op_add_write(struct fg_table_op *op, const char *key,
			   uint64_t expect_version, const char *value);

/* Frees an operation and its writes; NULL is allowed. */
void fg_table_op_free(struct fg_table_op *op);

/* Returns a result without rows, which the caller frees. */
struct fg_table_result *fg_table_result_new(uint64_t id, enum fg_op_kind kind,
					    enum fg_pf_result result);

/* Appends a row; `value` is copied and may be NULL. */
void fg_table_result_add_row(struct fg_table_result *res, const char *key,
			     uint64_t row_version, const char *value);

/* Frees a result and its rows; NULL is allowed. */
void fg_table_result_free(struct fg_table_result *res);

/* ---- Instances and endpoints in the platform's list ---- */

enum fg_list_entry_kind {
	FG_LIST_ENTRY_INSTANCE = 1, /* an instance of this system */
	FG_LIST_ENTRY_ENGINE = 2,
	FG_LIST_ENTRY_PLAIN = 3,
};

#define FG_NAME_BYTES 64
#define FG_ADDR_BYTES 48

struct fg_list_entry {
	uint64_t id; /* fg_hash_str(name) */
	enum fg_list_entry_kind kind;
	char name[FG_NAME_BYTES]; /* unique; a replacement gets a new one */
	char addr[FG_ADDR_BYTES]; /* HTTP, "127.0.0.1:8080" */
	char rpc[FG_ADDR_BYTES];  /* RPC between instances; entries only */
	char region[FG_NAME_BYTES];
	char dc[FG_NAME_BYTES];
	char service[FG_NAME_BYTES]; /* base model or plain service served */
	bool leaving;
};

/* ---- Part 2: the interface that the runtime calls; all calls block ---- */

struct fg_platform;

struct fg_platform_ops {
	/* Executes an operation. Returns the result, never NULL, which the
	 * caller frees with fg_table_result_free(). */
	struct fg_table_result *(*run_op)(struct fg_platform *p,
					  const struct fg_table_op *op);
	/* Reads the list of instances and endpoints. *out is an array of *n
	 * items, which the caller g_free()s. */
	enum fg_pf_result (*read_list)(struct fg_platform *p,
				       struct fg_list_entry **out, size_t *n);
	/* Announces this instance to the platform as live or leaving. */
	enum fg_pf_result (*announce)(struct fg_platform *p,
				      const struct fg_list_entry *self);
	/* Reads an object; the caller g_free()s *text, which is NULL unless the
	 * result is FG_PF_OK. */
	enum fg_pf_result (*object_get)(struct fg_platform *p, const char *name,
					char **text);
	/* Writes an object. */
	enum fg_pf_result (*object_put)(struct fg_platform *p, const char *name,
					const char *text);
	void (*free)(struct fg_platform *p);
};

struct fg_platform {
	const struct fg_platform_ops *ops;
};

/*
 * Returns the platform at addr ("127.0.0.1:9000"), which the caller frees by
 * ops->free(). Each call carries `name`, the name of this instance, and ends
 * after timeout_ms. The calls may be made from several threads.
 */
struct fg_platform *fg_platform_http_new(const char *addr, const char *name,
					 uint32_t timeout_ms);

#endif
