/*
 * si_platform - the parts of the platform stand-in.
 *
 * Table:   rows in byte order of their keys, transactions, objects.
 * Listing: list of live and leaving instances, which lags by a set time.
 * Store:   weight store with a rate limit and a limit of loads at full speed.
 *
 * Each part has a lock of its own; its functions may be called from any thread.
 * JSON values returned are new references.
 */
#ifndef SI_PLATFORM_H
#define SI_PLATFORM_H

#include <stdbool.h>
#include <stdint.h>

#include "common/si_http.h"

struct si_table;
struct si_listing;
struct si_store;

/* State of the process; proc->self points to it. */
struct si_platform {
	struct si_table *table;
	struct si_listing *listing;
	struct si_store *store;
};

/* The rates limit the table; 0 means no limit. A transaction counts as one
 * write. */
struct si_table *si_table_new(uint32_t reads_per_s, uint32_t writes_per_s);
void si_table_free(struct si_table *t);

/* Counts a read or a write. Returns false when it is over the rate;
 * *retry_after_ms is then the time to wait. */
bool si_table_may_read(struct si_table *t, fg_ms *retry_after_ms);
bool si_table_may_write(struct si_table *t, fg_ms *retry_after_ms);

/* Returns {"key","version","value"}, or NULL when the row is absent. */
json_t *si_table_get(struct si_table *t, const char *key);

/* Returns {"rows":[...],"more":bool}: up to limit rows whose key starts with
 * the prefix and comes after `after` ("" for the first). */
json_t *si_table_scan(struct si_table *t, const char *prefix, const char *after,
		      int64_t limit);

/*
 * Makes all writes if the expected version of each holds, else none; *ok is
 * true when they were made. Returns the body of the answer, or NULL when the
 * writes are malformed.
 */
json_t *si_table_txn(struct si_table *t, json_t *writes, bool *ok);

/* Returns the text of an object, which the caller frees with g_free(), or NULL
 * when it is absent. */
char *si_table_object(struct si_table *t, const char *name);
void si_table_put_object(struct si_table *t, const char *name,
			 const char *text);

/* The list shows changes lag_ms late, and an instance for ttl_ms after its last
 * announcement. */
struct si_listing *si_listing_new(uint32_t lag_ms, uint32_t ttl_ms);
void si_listing_free(struct si_listing *l);

/* Records an announcement. Returns false when the instance has no name. */
bool si_listing_announce(struct si_listing *l, json_t *instance);

/* Returns {"instances":[...]} as of lag_ms ago; during a freeze, the list that
 * was returned when the freeze began. */
json_t *si_listing_read(struct si_listing *l);

/* Keeps the list unchanged for duration_ms. */
void si_listing_freeze(struct si_listing *l, fg_ms duration_ms);

/* loads_per_s 0: no limit. A load takes load_ms; beyond in_flight_max loads at
 * once they slow each other down. */
struct si_store *si_store_new(struct si_proc *proc, uint32_t loads_per_s,
			      uint32_t load_ms, uint32_t in_flight_max);
void si_store_free(struct si_store *s);

/* Counts a load. Returns false when it is over the rate; *retry_after_ms is
 * then the time to wait. */
bool si_store_may_load(struct si_store *s, fg_ms *retry_after_ms);

/* Blocks for the duration of a load. Returns false when the process stops. */
bool si_store_load(struct si_store *s);

/* Makes all calls of si_store_load() return false. */
void si_store_stop(struct si_store *s);

#endif
