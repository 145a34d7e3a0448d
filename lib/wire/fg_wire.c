#include "wire/fg_wire.h"

#include <string.h>

GQuark fg_wire_error_quark(void)
{
	return g_quark_from_static_string("fg-wire-error");
}

void fg_call_clear(struct fg_call *c)
{
	g_free(c->id);
	g_free(c->host);
	g_free(c->model);
	g_free(c->adapter);
	g_free(c->resumes_id);
	if (c->credential != NULL)
		explicit_bzero(c->credential, strlen(c->credential));
	g_free(c->credential);
	g_clear_pointer(&c->shared_parts, g_bytes_unref);
	memset(c, 0, sizeof(*c));
}

void fg_store_row_free(gpointer p)
{
	struct fg_store_row *row = p;

	if (row == NULL)
		return;
	g_free(row->table);
	g_free(row->key);
	g_free(row->value);
	g_free(row);
}

void fg_store_rows_set_era(struct fg_store_rows *rows, uint64_t era)
{
	rows->version = fg_store_version(era, rows->version);
	for (guint i = 0; rows->rows != NULL && i < rows->rows->len; i++) {
		struct fg_store_row *row = rows->rows->pdata[i];

		row->version = fg_store_version(era, row->version);
	}
}

void fg_store_rows_clear(struct fg_store_rows *rows)
{
	if (rows->rows != NULL)
		g_ptr_array_unref(rows->rows);
	memset(rows, 0, sizeof(*rows));
}

void fg_announcement_clear(struct fg_announcement *a)
{
	g_free(a->model);
	g_free(a->adapter);
	memset(a, 0, sizeof(*a));
}

void fg_lookup_clear(struct fg_lookup *l)
{
	g_free(l->name);
	g_free(l->region);
	g_free(l->dc);
	memset(l, 0, sizeof(*l));
}
