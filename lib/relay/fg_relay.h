/*
 * fg_relay - rows of one table of the platform's store, kept by an instance
 * that reads it for its neighbours.
 *
 * A reader puts every row that matters as it learns of it. A neighbour that
 * has read all rows up to a version asks for what came after; the newest row
 * of each key is enough, since rows are states and not changes. Rows are kept
 * from a floor on: whoever has read less must ask the store itself.
 *
 * Pure.
 */
#ifndef FG_RELAY_H
#define FG_RELAY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "wire/fg_wire.h"

/* Rows kept at most; with more the floor is raised. One answer carries them
 * all (FG_MESH_ROWS_MAX). */
#define FG_RELAY_ROWS_MAX 1024

struct fg_relay;

struct fg_relay *fg_relay_new(void);
void fg_relay_free(struct fg_relay *r);

/* Forgets all rows; those after `floor` will be put. */
void fg_relay_reset(struct fg_relay *r, uint64_t floor);

/* Copies a row. */
void fg_relay_put(struct fg_relay *r, const struct fg_store_row *row);

/*
 * Appends the rows newer than `after` to out, with `read`, the version up to
 * which the reader has read. False when rows that old are not kept.
 */
bool fg_relay_encode(const struct fg_relay *r, uint64_t after, uint64_t read,
		     GString *out);

/* Such an answer; rows get the name of `table`. False, with *out empty, when
 * it is malformed. */
bool fg_relay_decode(const char *body, size_t len_bytes, const char *table,
		     struct fg_store_rows *out);

#endif
