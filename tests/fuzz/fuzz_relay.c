/*
 * Fuzzes the decoding of rows and packets that one instance receives from
 * another. Decoded rows can be stored and encoded again; the encoding decodes
 * to the same version and adds no rows.
 */
#include <stdlib.h>
#include <string.h>

#include "mesh/fg_mesh.h"
#include "relay/fg_relay.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void check_round_trip(const struct fg_store_rows *rows)
{
	struct fg_relay *r = fg_relay_new();
	struct fg_store_rows decoded;
	GString *body = g_string_new(NULL);

	fg_relay_reset(r, 0);
	for (guint i = 0; i < rows->rows->len; i++)
		fg_relay_put(r, rows->rows->pdata[i]);
	if (fg_relay_encode(r, 0, rows->version, body)) {
		if (!fg_relay_decode(body->str, body->len, "t", &decoded) ||
		    decoded.rows->len > rows->rows->len ||
		    decoded.version != rows->version)
			abort();
		fg_store_rows_clear(&decoded);
	}
	g_string_free(body, TRUE);
	fg_relay_free(r);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct fg_store_rows rows;
	fg_mesh_packet packet;

	if (fg_relay_decode((const char *)data, size, "t", &rows)) {
		check_round_trip(&rows);
		fg_store_rows_clear(&rows);
	}
	if (fg_mesh_decode((const char *)data, size, &packet))
		fg_mesh_clear(&packet);
	return 0;
}
