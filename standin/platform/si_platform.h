/*
 * si_platform - the parts of the platform stand-in.
 *
 * Table: rows in byte order of their keys, transactions, objects.
 * Listing: the lagging list of live and leaving instances.
 * Store: the weight store with its rate and its limit of loads in flight.
 */
#ifndef SI_PLATFORM_H
#define SI_PLATFORM_H

#include <stdbool.h>
#include <stdint.h>

#include "common/si_http.h"

struct si_table;
struct si_listing;
struct si_store;

/* What proc->self points to. */
struct si_platform {
	struct si_table *table;
	struct si_listing *listing;
	struct si_store *store;
};

/* Limits of a table; 0: no limit. A transaction counts as one write. */
struct si_table *si_table_new(uint32_t reads_per_s, uint32_t writes_per_s);
void si_table_free(struct si_table *t);

/* False when a read, or a write, is over the rate now. */
bool si_table_may_read(struct si_table *t, fg_ms *retry_after_ms);
bool si_table_may_write(struct si_table *t, fg_ms *retry_after_ms);

/* The row {"key","version","value"}, or NULL when it is absent. */
json_t *si_table_get(struct si_table *t, const char *key);

/* {"rows":[...],"more":bool}: up to limit rows with the prefix, after `after`
 * ("" for the first). */
json_t *si_table_scan(struct si_table *t, const char *prefix, const char *after,
		      int64_t limit);

/*
 * Makes all writes when every check holds, else none. *ok says which; returns
 * the answer's body, or NULL when the writes are malformed.
 */
json_t *si_table_txn(struct si_table *t, json_t *writes, bool *ok);

/* Objects share the lock of the table. NULL when absent; g_malloc'ed. */
char *si_table_object(struct si_table *t, const char *name);
void si_table_put_object(struct si_table *t, const char *name,
			 const char *text);

struct si_listing *si_listing_new(uint32_t lag_ms, uint32_t ttl_ms);
void si_listing_free(struct si_listing *l);

/* An instance announces itself; false when it has no name. */
bool si_listing_announce(struct si_listing *l, json_t *instance);

/* The list as it was lag_ms ago, or at the start of a freeze. */
json_t *si_listing_read(struct si_listing *l);

/* The list stays as it is for ms. */
void si_listing_freeze(struct si_listing *l, fg_ms duration_ms);

struct si_store *si_store_new(struct si_proc *proc, uint32_t loads_per_s,
			      uint32_t load_ms, uint32_t in_flight);
void si_store_free(struct si_store *s);

/* False when a load is over the rate now. */
bool si_store_may_load(struct si_store *s, fg_ms *retry_after_ms);

/* Takes as long as a load takes; false when the process stops. */
bool si_store_load(struct si_store *s);

/* Wakes all loads; they return false. */
void si_store_stop(struct si_store *s);

#endif
