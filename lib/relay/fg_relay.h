/*
 * fg_relay - cache of the newest rows of one table of the platform's store,
 * kept by an instance that reads the table on behalf of its neighbours.
 *
 * The reader puts every row that matters to neighbours as it reads it. A
 * neighbour that has read all rows up to some version asks for the later ones.
 * The newest row of each key is sufficient, since a row holds a state and not a
 * change. The cache is complete for versions above its floor; a neighbour that
 * has read less than the floor must read the store itself.
 *
 * Does no I/O and reads no clock.
 */
#ifndef FG_RELAY_H
#define FG_RELAY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "wire/fg_wire.h"

/* Maximum number of rows kept. A further put drops all rows and raises the
 * floor to the newest version. One answer carries all rows, of which the
 * protocol allows FG_MESH_ROWS_MAX. */
#define FG_RELAY_ROWS_MAX 1024

struct fg_relay;

/* Returns an empty cache that cannot answer anyone until fg_relay_reset(). */
struct fg_relay *fg_relay_new(void);
void fg_relay_free(struct fg_relay *r);

/* Drops all rows and sets the floor: every row with a version above `floor` is
 * put from now on. With UINT64_MAX the cache answers no one. */
void fg_relay_reset(struct fg_relay *r, uint64_t floor);

/* Stores a copy of the row; a removed row is stored too. Rows with a version up
 * to the floor are ignored. */
void fg_relay_put(struct fg_relay *r, const struct fg_store_row *row);

/*
 * Appends an answer to `out`: the rows with a version above `after`, in the
 * order of their versions, and `read_version`, up to which the reader has read
 * the table. Returns false and leaves `out` unchanged when `after` is below the
 * floor, or when the answer cannot be encoded.
 */
bool fg_relay_encode(const struct fg_relay *r, uint64_t after,
		     uint64_t read_version, GString *out);

/*
 * Appends an answer with the rows above `after` that the `n` caches hold,
 * whatever their floors are. Rows may be missing from it, so it claims that the
 * rows were read up to `after` only. No key may be in two of the caches.
 * Returns false and leaves `out` unchanged when the answer cannot be encoded.
 */
bool fg_relay_encode_known(const struct fg_relay *const *caches, size_t n,
			   uint64_t after, GString *out);

/*
 * Decodes such an answer into `out`, which the caller clears with
 * fg_store_rows_clear(). The rows get the name `table`. Returns false, with
 * *out zeroed, when the answer is malformed or followed by other bytes.
 */
bool fg_relay_decode(const char *body, size_t len_bytes, const char *table,
		     struct fg_store_rows *out);

#endif
