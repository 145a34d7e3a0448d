#include "relay/fg_relay.h"

#include <string.h>

#include "mesh/fg_mesh.h"

struct fg_relay {
	GHashTable *rows; /* key -> struct fg_store_row * */
	uint64_t floor;
	uint64_t newest;
};

struct fg_relay *fg_relay_new(void)
{
	struct fg_relay *r = g_new0(struct fg_relay, 1);

	r->rows = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					fg_store_row_free);
	r->floor = UINT64_MAX;
	return r;
}

void fg_relay_free(struct fg_relay *r)
{
	if (r == NULL)
		return;
	g_hash_table_unref(r->rows);
	g_free(r);
}

void fg_relay_reset(struct fg_relay *r, uint64_t floor)
{
	g_hash_table_remove_all(r->rows);
	r->floor = floor;
	r->newest = floor;
}

void fg_relay_put(struct fg_relay *r, const struct fg_store_row *row)
{
	const struct fg_store_row *known =
		g_hash_table_lookup(r->rows, row->key);
	struct fg_store_row *copy;

	/* Answers to two calls for the same rows may overtake each other. */
	if (row->version <= r->floor ||
	    (known != NULL && known->version > row->version))
		return;
	r->newest = MAX(r->newest, row->version);
	if (g_hash_table_size(r->rows) >= FG_RELAY_ROWS_MAX) {
		fg_relay_reset(r, r->newest);
		return;
	}
	copy = g_new0(struct fg_store_row, 1);
	copy->table = g_strdup(row->table);
	copy->key = g_strdup(row->key);
	copy->version = row->version;
	copy->removed = row->removed;
	if (row->value != NULL) {
		copy->value = g_malloc(row->value_bytes + 1);
		memcpy(copy->value, row->value, row->value_bytes);
		copy->value[row->value_bytes] = '\0';
		copy->value_bytes = row->value_bytes;
	}
	g_hash_table_replace(r->rows, copy->key, copy);
}

/* ---- Encoding ---- */

static gint compare_versions(gconstpointer a, gconstpointer b)
{
	const fg_mesh_row *x = a;
	const fg_mesh_row *y = b;

	return x->ver < y->ver ? -1 : x->ver > y->ver;
}

static void append_rows_after(const struct fg_relay *r, uint64_t after,
			      GArray *out)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->rows);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct fg_store_row *row = value;
		fg_mesh_row m = {
			.key = row->key,
			.ver = row->version,
			.removed = row->removed,
		};

		if (row->version <= after)
			continue;
		m.value.value_val = row->value;
		m.value.value_len = (u_int)row->value_bytes;
		g_array_append_val(out, m);
	}
}

/* Frees `rows`. */
static bool encode_rows(GArray *rows, uint64_t read_version, GString *out)
{
	fg_mesh_rows m = { .read = read_version };
	XDR xdr;
	gsize old_len = out->len;
	gsize size;
	bool ok;

	g_array_sort(rows, compare_versions);
	m.rows.rows_len = rows->len;
	m.rows.rows_val = (fg_mesh_row *)(void *)rows->data;
	size = xdr_sizeof((xdrproc_t)xdr_fg_mesh_rows, &m);
	g_string_set_size(out, old_len + size);
	xdrmem_create(&xdr, out->str + old_len, (u_int)size, XDR_ENCODE);
	ok = xdr_fg_mesh_rows(&xdr, &m);
	xdr_destroy(&xdr);
	g_array_unref(rows);
	if (!ok)
		g_string_set_size(out, old_len);
	return ok;
}

bool fg_relay_encode(const struct fg_relay *r, uint64_t after,
		     uint64_t read_version, GString *out)
{
	GArray *rows;

	if (after < r->floor)
		return false;
	rows = g_array_new(FALSE, TRUE, sizeof(fg_mesh_row));
	append_rows_after(r, after, rows);
	return encode_rows(rows, read_version, out);
}

bool fg_relay_encode_known(const struct fg_relay *const *caches, size_t n,
			   uint64_t after, GString *out)
{
	GArray *rows = g_array_new(FALSE, TRUE, sizeof(fg_mesh_row));

	for (size_t i = 0; i < n; i++)
		append_rows_after(caches[i], after, rows);
	return encode_rows(rows, after, out);
}

static struct fg_store_row *row_from_mesh(const char *table,
					  const fg_mesh_row *m)
{
	struct fg_store_row *row = g_new0(struct fg_store_row, 1);

	row->table = g_strdup(table);
	row->key = g_strdup(m->key);
	row->version = m->ver;
	row->removed = m->removed;
	if (m->removed)
		return row;
	row->value_bytes = m->value.value_len;
	row->value = g_malloc(row->value_bytes + 1);
	if (row->value_bytes > 0) /* an empty value has no bytes to copy from */
		memcpy(row->value, m->value.value_val, row->value_bytes);
	row->value[row->value_bytes] = '\0';
	return row;
}

bool fg_relay_decode(const char *body, size_t len_bytes, const char *table,
		     struct fg_store_rows *out)
{
	fg_mesh_rows m = { 0 };
	XDR xdr;
	bool ok;

	memset(out, 0, sizeof(*out));
	xdrmem_create(&xdr, (char *)body, (u_int)len_bytes, XDR_DECODE);
	ok = xdr_fg_mesh_rows(&xdr, &m) && xdr_getpos(&xdr) == len_bytes;
	xdr_destroy(&xdr);
	if (ok) {
		out->rows = g_ptr_array_new_with_free_func(fg_store_row_free);
		out->version = m.read;
		for (u_int i = 0; i < m.rows.rows_len; i++)
			g_ptr_array_add(
				out->rows,
				row_from_mesh(table, &m.rows.rows_val[i]));
	}
	xdr_free((xdrproc_t)xdr_fg_mesh_rows, (char *)&m);
	return ok;
}
