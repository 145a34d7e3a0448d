/*
 * fake_table - the platform's table in memory, for tests of decision modules.
 *
 * Every operation is answered immediately. A test sets `fault` to lose answers
 * or to make the table unreachable.
 */
#ifndef FAKE_TABLE_H
#define FAKE_TABLE_H

#include <glib.h>

#include "platform/fg_platform.h"

struct fake_table {
	GTree *rows; /* key -> struct fg_row */
	uint64_t last_version;
	enum fg_pf_result fault; /* OK; LOST: answers only; DOWN */
	unsigned int reads;
	unsigned int writes;
};

struct fake_table *fake_table_new(void);
void fake_table_free(struct fake_table *t);

/* Runs op; the caller frees the result and op. */
struct fg_table_result *fake_table_run(struct fake_table *t,
				       const struct fg_table_op *op);

/* Returns the value of a row, which the table owns; NULL when absent. */
const char *fake_table_get(const struct fake_table *t, const char *key);

/* Writes a row whatever its version and the fault. */
void fake_table_put(struct fake_table *t, const char *key, const char *value);

#endif
