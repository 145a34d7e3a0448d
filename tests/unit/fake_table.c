#include "fake_table.h"

#include <string.h>

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer arg)
{
	(void)arg;
	return strcmp(a, b);
}

static void free_row(gpointer arg)
{
	struct fg_row *row = arg;

	g_free(row->value);
	g_free(row);
}

struct fake_table *fake_table_new(void)
{
	struct fake_table *t = g_new0(struct fake_table, 1);

	t->rows = g_tree_new_full(compare_keys, NULL, NULL, free_row);
	return t;
}

void fake_table_free(struct fake_table *t)
{
	g_tree_destroy(t->rows);
	g_free(t);
}

static const struct fg_row *find_row(const struct fake_table *t,
				     const char *key)
{
	return g_tree_lookup(t->rows, key);
}

const char *fake_table_get(const struct fake_table *t, const char *key)
{
	const struct fg_row *row = find_row(t, key);

	return row != NULL ? row->value : NULL;
}

void fake_table_put(struct fake_table *t, const char *key, const char *value)
{
	struct fg_row *row = g_new0(struct fg_row, 1);

	g_strlcpy(row->key, key, sizeof(row->key));
	row->row_version = ++t->last_version;
	row->value = g_strdup(value);
	g_tree_replace(t->rows, row->key, row);
}

static void apply_write(struct fake_table *t, const struct fg_write *w)
{
	if (w->value != NULL)
		fake_table_put(t, w->key, w->value);
	else
		g_tree_remove(t->rows, w->key);
}

/* Returns the first write whose check fails, NULL when all checks hold. */
static const struct fg_write *find_conflict(const struct fake_table *t,
					    const struct fg_table_op *op)
{
	for (size_t i = 0; i < op->n_writes; i++) {
		const struct fg_write *w = &op->writes[i];
		const struct fg_row *row = find_row(t, w->key);
		uint64_t have = row != NULL ? row->row_version : 0;

		if (w->expect_version != FG_ANY_VERSION &&
		    w->expect_version != have)
			return w;
	}
	return NULL;
}

static void append_row(struct fg_table_result *res, const struct fg_row *row)
{
	fg_table_result_add_row(res, row->key, row->row_version, row->value);
}

static void run_txn(struct fake_table *t, const struct fg_table_op *op,
		    struct fg_table_result *res)
{
	const struct fg_write *w = find_conflict(t, op);

	t->writes++;
	if (w != NULL) {
		res->result = FG_PF_CONFLICT;
		if (find_row(t, w->key) != NULL)
			append_row(res, find_row(t, w->key));
		else
			fg_table_result_add_row(res, w->key, 0, NULL);
		return;
	}
	for (size_t i = 0; i < op->n_writes; i++)
		apply_write(t, &op->writes[i]);
	for (size_t i = 0; i < op->n_writes; i++)
		if (find_row(t, op->writes[i].key) != NULL)
			append_row(res, find_row(t, op->writes[i].key));
		else
			fg_table_result_add_row(res, op->writes[i].key,
						t->last_version, NULL);
}

struct scan {
	const char *prefix;
	struct fg_table_result *res;
};

static gboolean append_if_matching(gpointer key, gpointer value, gpointer arg)
{
	struct scan *scan = arg;

	if (g_str_has_prefix(key, scan->prefix))
		append_row(scan->res, value);
	return FALSE;
}

static void run_op(struct fake_table *t, const struct fg_table_op *op,
		   struct fg_table_result *res)
{
	struct scan scan = { op->key, res };

	switch (op->kind) {
	case FG_OP_GET:
		t->reads++;
		if (find_row(t, op->key) != NULL)
			append_row(res, find_row(t, op->key));
		else
			res->result = FG_PF_ABSENT;
		break;
	case FG_OP_SCAN:
		t->reads++;
		g_tree_foreach(t->rows, append_if_matching, &scan);
		break;
	case FG_OP_TXN:
		run_txn(t, op, res);
		break;
	}
}

struct fg_table_result *fake_table_run(struct fake_table *t,
				       const struct fg_table_op *op)
{
	struct fg_table_result *res =
		fg_table_result_new(op->id, op->kind, FG_PF_OK);

	if (t->fault != FG_PF_DOWN)
		run_op(t, op, res);
	if (t->fault == FG_PF_OK)
		return res;
	fg_table_result_free(res);
	return fg_table_result_new(op->id, op->kind, t->fault);
}
