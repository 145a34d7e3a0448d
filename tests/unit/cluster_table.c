/* The in-memory table of the simulated cluster. */
#include <string.h>

#include "cluster.h"

void cluster_row_free(gpointer data)
{
	struct fg_row *row = data;

	g_free(row->value);
	g_free(row);
}

static uint64_t current_version(struct cluster *c, const char *key)
{
	struct fg_row *row = g_tree_lookup(c->table, key);

	return row != NULL ? row->row_version : 0;
}

static void apply_write(struct cluster *c, const struct fg_write *w)
{
	struct fg_row *row;

	c->row_version++;
	if (w->value == NULL) {
		g_tree_remove(c->table, w->key);
		return;
	}
	row = g_new0(struct fg_row, 1);
	g_strlcpy(row->key, w->key, sizeof(row->key));
	row->row_version = c->row_version;
	row->value = g_strdup(w->value);
	g_tree_replace(c->table, row->key, row);
}

static void run_txn(struct cluster *c, const struct fg_table_op *op,
		    struct fg_table_result *res)
{
	for (size_t i = 0; i < op->n_writes; i++) {
		const struct fg_write *w = &op->writes[i];
		struct fg_row *row = g_tree_lookup(c->table, w->key);

		if (w->expect_version == FG_ANY_VERSION ||
		    w->expect_version == current_version(c, w->key))
			continue;
		res->result = FG_PF_CONFLICT;
		fg_table_result_add_row(res, w->key,
					row != NULL ? row->row_version : 0,
					row != NULL ? row->value : NULL);
		return;
	}
	for (size_t i = 0; i < op->n_writes; i++) {
		apply_write(c, &op->writes[i]);
		if (!c->no_versions)
			fg_table_result_add_row(res, op->writes[i].key,
						c->row_version, NULL);
	}
	c->table_writes++;
}

struct scan_ctx {
	const char *prefix;
	struct fg_table_result *res;
};

static gboolean add_matching_row(gpointer key, gpointer value, gpointer data)
{
	struct fg_row *row = value;
	struct scan_ctx *s = data;

	if (g_str_has_prefix(key, s->prefix))
		fg_table_result_add_row(s->res, row->key, row->row_version,
					row->value);
	return FALSE;
}

struct fg_table_result *cluster_run_table_op(struct cluster *c,
					     const struct fg_table_op *op)
{
	struct fg_table_result *res =
		fg_table_result_new(op->id, op->kind, FG_PF_OK);
	struct scan_ctx s = { .prefix = op->key, .res = res };
	struct fg_row *row;

	if (op->kind == FG_OP_TXN) {
		run_txn(c, op, res);
		return res;
	}
	c->table_reads++;
	if (op->kind == FG_OP_SCAN) {
		g_tree_foreach(c->table, add_matching_row, &s);
		return res;
	}
	row = g_tree_lookup(c->table, op->key);
	if (row == NULL)
		res->result = FG_PF_ABSENT;
	else
		fg_table_result_add_row(res, row->key, row->row_version,
					row->value);
	return res;
}

struct count_ctx {
	const char *region;
	int rows;
};

static gboolean count_lease_row(gpointer key, gpointer value, gpointer data)
{
	const struct fg_row *row = value;
	struct count_ctx *count = data;

	if (g_str_has_prefix(key, "session/") &&
	    strstr(row->value, count->region) != NULL)
		count->rows++;
	return FALSE;
}

int cluster_count_dead_rows(struct cluster *c, const char *region)
{
	struct count_ctx count = { .region = region };

	g_tree_foreach(c->table, count_lease_row, &count);
	return count.rows - cluster_count_live(c, region);
}
