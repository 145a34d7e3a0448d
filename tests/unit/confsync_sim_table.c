/* The in-memory table of the simulation. */
#include "confsync_sim.h"

#include <string.h>

struct sim_row {
	uint64_t version;
	char *value; /* NULL: deleted */
};

static struct sim_row *get_or_add_row(struct sim *m, const char *key)
{
	struct sim_row *row = g_hash_table_lookup(m->rows, key);

	if (row == NULL) {
		row = g_new0(struct sim_row, 1);
		g_hash_table_insert(m->rows, g_strdup(key), row);
	}
	return row;
}

void sim_row_free(gpointer p)
{
	g_free(((struct sim_row *)p)->value);
	g_free(p);
}

const char *sim_get_row(struct sim *m, const char *key)
{
	const struct sim_row *row = g_hash_table_lookup(m->rows, key);

	return row != NULL ? row->value : NULL;
}

void sim_put_row(struct sim *m, const char *key, const char *value)
{
	struct sim_row *row = get_or_add_row(m, key);

	g_free(row->value);
	row->value = g_strdup(value);
	row->version = ++m->row_version;
}

static struct fg_table_result *run_get(struct sim *m,
				       const struct fg_table_op *op)
{
	const struct sim_row *row = g_hash_table_lookup(m->rows, op->key);
	bool exists = row != NULL && row->value != NULL;
	struct fg_table_result *res = fg_table_result_new(
		op->id, op->kind, exists ? FG_PF_OK : FG_PF_ABSENT);

	m->reads++;
	if (exists)
		fg_table_result_add_row(res, op->key, row->version, row->value);
	return res;
}

static struct fg_table_result *run_scan(struct sim *m,
					const struct fg_table_op *op)
{
	struct fg_table_result *res =
		fg_table_result_new(op->id, op->kind, FG_PF_OK);
	GHashTableIter it;
	gpointer key;
	gpointer value;

	m->reads++;
	g_hash_table_iter_init(&it, m->rows);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		const struct sim_row *row = value;

		if (row->value != NULL && g_str_has_prefix(key, op->key))
			fg_table_result_add_row(res, key, row->version,
						row->value);
	}
	return res;
}

static bool check_holds(struct sim *m, const struct fg_write *w)
{
	const struct sim_row *row = g_hash_table_lookup(m->rows, w->key);
	uint64_t version = row != NULL && row->value != NULL ? row->version : 0;

	return w->expect_version == FG_ANY_VERSION ||
	       w->expect_version == version;
}

static struct fg_table_result *run_txn(struct sim *m,
				       const struct fg_table_op *op)
{
	g_assert_cmpuint(op->n_writes, <=, FG_TXN_MAX);
	m->writes += op->n_writes;
	for (size_t i = 0; i < op->n_writes; i++)
		if (!check_holds(m, &op->writes[i]))
			return fg_table_result_new(op->id, op->kind,
						   FG_PF_CONFLICT);
	for (size_t i = 0; i < op->n_writes; i++)
		sim_put_row(m, op->writes[i].key, op->writes[i].value);
	return fg_table_result_new(op->id, op->kind, FG_PF_OK);
}

struct fg_table_result *sim_run_op(struct sim *m, const struct fg_table_op *op)
{
	if (op->kind == FG_OP_GET)
		return run_get(m, op);
	if (op->kind == FG_OP_SCAN)
		return run_scan(m, op);
	return run_txn(m, op);
}

uint64_t sim_head_field(struct sim *m, const char *name)
{
	const char *text = sim_get_row(m, "config/head");
	g_autofree char *quoted = g_strdup_printf("\"%s\":", name);
	const char *at = text != NULL ? strstr(text, quoted) : NULL;

	return at != NULL ? g_ascii_strtoull(at + strlen(quoted), NULL, 10) : 0;
}

uint64_t sim_head_revision(struct sim *m)
{
	return sim_head_field(m, "revision");
}
