/* Allocates and frees table operations and their results. */
#include "platform/fg_platform.h"

#include <glib.h>
#include <string.h>

struct fg_table_op *fg_table_op_new(uint64_t id, enum fg_op_kind kind,
				    const char *key)
{
	struct fg_table_op *op = g_new0(struct fg_table_op, 1);

	op->id = id;
	op->kind = kind;
	if (key != NULL)
		g_strlcpy(op->key, key, sizeof(op->key));
	return op;
}

void fg_table_op_add_write(struct fg_table_op *op, const char *key,
			   uint64_t expect_version, const char *value)
{
	struct fg_write *w;

	op->writes = g_renew(struct fg_write, op->writes, op->n_writes + 1);
	w = &op->writes[op->n_writes++];
	g_strlcpy(w->key, key, sizeof(w->key));
	w->expect_version = expect_version;
	w->value = g_strdup(value);
}

void fg_table_op_free(struct fg_table_op *op)
{
	if (op == NULL)
		return;
	for (size_t i = 0; i < op->n_writes; i++)
		g_free(op->writes[i].value);
	g_free(op->writes);
	g_free(op);
}

struct fg_table_result *fg_table_result_new(uint64_t id, enum fg_op_kind kind,
					    enum fg_pf_result result)
{
	struct fg_table_result *res = g_new0(struct fg_table_result, 1);

	res->id = id;
	res->kind = kind;
	res->result = result;
	return res;
}

void fg_table_result_add_row(struct fg_table_result *res, const char *key,
			     uint64_t row_version, const char *value)
{
	struct fg_row *row;

	res->rows = g_renew(struct fg_row, res->rows, res->n_rows + 1);
	row = &res->rows[res->n_rows++];
	g_strlcpy(row->key, key, sizeof(row->key));
	row->row_version = row_version;
	row->value = g_strdup(value);
}

void fg_table_result_free(struct fg_table_result *res)
{
	if (res == NULL)
		return;
	for (size_t i = 0; i < res->n_rows; i++)
		g_free(res->rows[i].value);
	g_free(res->rows);
	g_free(res);
}
