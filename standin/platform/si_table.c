#include <stdlib.h>
#include <string.h>

#include "platform/si_bucket.h"
#include "platform/si_platform.h"

#define WRITES_MAX 32
#define KEY_MAX_BYTES 160
#define SCAN_MAX 1000

struct row {
	uint64_t version;
	char *value;
};

struct si_table {
	pthread_mutex_t lock;
	GTree *rows;	     /* key to struct row, in byte order */
	GHashTable *objects; /* name to text */
	uint64_t version;    /* of the last write to any row */
	struct si_bucket read_bucket;
	struct si_bucket write_bucket;
};

static void free_row(void *arg)
{
	struct row *row = arg;

	g_free(row->value);
	g_free(row);
}

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer arg)
{
	(void)arg;
	return strcmp(a, b);
}

struct si_table *si_table_new(uint32_t reads_per_s, uint32_t writes_per_s)
{
	struct si_table *t = g_new0(struct si_table, 1);

	pthread_mutex_init(&t->lock, NULL);
	t->rows = g_tree_new_full(compare_keys, NULL, g_free, free_row);
	t->objects =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	si_bucket_init(&t->read_bucket, reads_per_s, fg_clock_now());
	si_bucket_init(&t->write_bucket, writes_per_s, fg_clock_now());
	return t;
}

void si_table_free(struct si_table *t)
{
	g_tree_destroy(t->rows);
	g_hash_table_destroy(t->objects);
	pthread_mutex_destroy(&t->lock);
	g_free(t);
}

static bool take_token(struct si_table *t, struct si_bucket *b,
		       fg_ms *retry_after_ms)
{
	bool ok;

	pthread_mutex_lock(&t->lock);
	ok = si_bucket_take(b, fg_clock_now(), retry_after_ms);
	pthread_mutex_unlock(&t->lock);
	return ok;
}

bool si_table_may_read(struct si_table *t, fg_ms *retry_after_ms)
{
	return take_token(t, &t->read_bucket, retry_after_ms);
}

bool si_table_may_write(struct si_table *t, fg_ms *retry_after_ms)
{
	return take_token(t, &t->write_bucket, retry_after_ms);
}

static json_t *row_json(const char *key, const struct row *row)
{
	return json_pack("{s:s, s:I, s:s?}", "key", key, "version",
			 (json_int_t)(row ? row->version : 0), "value",
			 row ? row->value : NULL);
}

json_t *si_table_get(struct si_table *t, const char *key)
{
	struct row *row;
	json_t *res = NULL;

	pthread_mutex_lock(&t->lock);
	row = g_tree_lookup(t->rows, key);
	if (row)
		res = row_json(key, row);
	pthread_mutex_unlock(&t->lock);
	return res;
}

static GTreeNode *scan_start(struct si_table *t, const char *prefix,
			     const char *after)
{
	if (strcmp(after, prefix) >= 0 && *after)
		return g_tree_upper_bound(t->rows, after);
	return g_tree_lower_bound(t->rows, prefix);
}

json_t *si_table_scan(struct si_table *t, const char *prefix, const char *after,
		      int64_t limit)
{
	json_t *rows = json_array();
	bool more = false;
	GTreeNode *node;

	if (limit < 1 || limit > SCAN_MAX)
		limit = SCAN_MAX;
	pthread_mutex_lock(&t->lock);
	for (node = scan_start(t, prefix, after); node;
	     node = g_tree_node_next(node)) {
		const char *key = g_tree_node_key(node);

		if (!g_str_has_prefix(key, prefix))
			break;
		if ((int64_t)json_array_size(rows) == limit) {
			more = true;
			break;
		}
		json_array_append_new(rows,
				      row_json(key, g_tree_node_value(node)));
	}
	pthread_mutex_unlock(&t->lock);
	return json_pack("{s:o, s:b}", "rows", rows, "more", more);
}

static bool is_write_valid(json_t *write)
{
	json_t *value = json_object_get(write, "value");
	json_t *expect = json_object_get(write, "expect");
	const char *key = si_field_str(write, "key");

	if (!*key || strlen(key) >= KEY_MAX_BYTES)
		return false;
	if (expect && !json_is_integer(expect))
		return false;
	return json_is_string(value) || json_is_null(value);
}

static bool are_writes_valid(json_t *writes)
{
	size_t n = json_array_size(writes);

	if (n < 1 || n > WRITES_MAX)
		return false;
	for (size_t i = 0; i < n; i++)
		if (!is_write_valid(json_array_get(writes, i)))
			return false;
	return true;
}

/* Returns the row that conflicts with a write, or NULL when there is none. */
static json_t *find_conflict(struct si_table *t, json_t *write)
{
	const char *key = si_field_str(write, "key");
	json_t *expect = json_object_get(write, "expect");
	struct row *row = g_tree_lookup(t->rows, key);
	uint64_t version = row ? row->version : 0;

	if (!expect || (uint64_t)json_integer_value(expect) == version)
		return NULL;
	return row_json(key, row);
}

static void apply_write(struct si_table *t, json_t *write, json_t *versions)
{
	json_t *value = json_object_get(write, "value");
	const char *key = si_field_str(write, "key");
	struct row *row;

	t->version++;
	json_array_append_new(versions, json_integer((json_int_t)t->version));
	if (json_is_null(value)) {
		g_tree_remove(t->rows, key);
		return;
	}
	row = g_new0(struct row, 1);
	row->version = t->version;
	row->value = g_strdup(json_string_value(value));
	g_tree_replace(t->rows, g_strdup(key), row);
}

json_t *si_table_txn(struct si_table *t, json_t *writes, bool *ok)
{
	json_t *conflict = NULL;
	json_t *versions;
	size_t n = json_array_size(writes);

	*ok = false;
	if (!are_writes_valid(writes))
		return NULL;
	versions = json_array();
	pthread_mutex_lock(&t->lock);
	for (size_t i = 0; i < n && !conflict; i++)
		conflict = find_conflict(t, json_array_get(writes, i));
	for (size_t i = 0; i < n && !conflict; i++)
		apply_write(t, json_array_get(writes, i), versions);
	pthread_mutex_unlock(&t->lock);
	if (conflict) {
		json_decref(versions);
		return json_pack("{s:b, s:o}", "ok", 0, "conflict", conflict);
	}
	*ok = true;
	return json_pack("{s:b, s:o}", "ok", 1, "versions", versions);
}

char *si_table_object(struct si_table *t, const char *name)
{
	char *text;

	pthread_mutex_lock(&t->lock);
	text = g_strdup(g_hash_table_lookup(t->objects, name));
	pthread_mutex_unlock(&t->lock);
	return text;
}

void si_table_put_object(struct si_table *t, const char *name, const char *text)
{
	pthread_mutex_lock(&t->lock);
	g_hash_table_replace(t->objects, g_strdup(name), g_strdup(text));
	pthread_mutex_unlock(&t->lock);
}
