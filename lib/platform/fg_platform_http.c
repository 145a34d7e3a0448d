/* Platform over HTTP; see docs/PROTOCOL.md, section 2. */
#include "platform/fg_platform.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "base/fg_rand.h"
#include "http/fg_http.h"

#define SCAN_PAGE_ROWS 500
#define HEADER_BYTES 128

struct http_platform {
	struct fg_platform base;
	char addr[FG_ADDR_BYTES];
	char header[HEADER_BYTES];
	uint32_t timeout_ms;
};

static void call_platform(struct http_platform *p, const char *method,
			  const char *path, const char *body,
			  struct fg_http_answer *answer)
{
	struct fg_http_call call = {
		.method = method,
		.addr = p->addr,
		.path = path,
		.body = body,
		.header = p->header,
		.timeout_ms = p->timeout_ms,
		/* On a reused connection, libcurl may send a write again. The
		 * answer would then not show that the first one took effect. */
		.new_connection = body != NULL,
	};

	fg_http_perform(&call, answer);
}

/* Maps the result of an HTTP request. */
static enum fg_pf_result get_pf_result(const struct fg_http_answer *answer)
{
	if (answer->error == FG_HTTP_NOT_SENT)
		return FG_PF_DOWN;
	if (answer->error != FG_HTTP_OK)
		return FG_PF_LOST;
	switch (answer->status) {
	case 200:
		return FG_PF_OK;
	case 404:
		return FG_PF_ABSENT;
	case 409:
		return FG_PF_CONFLICT;
	case 429:
	case 503:
		return FG_PF_DOWN;
	default:
		return FG_PF_BAD_ANSWER;
	}
}

static bool add_row(struct fg_table_result *res, const json_t *row)
{
	const char *key = json_string_value(json_object_get(row, "key"));
	const char *value = json_string_value(json_object_get(row, "value"));
	json_int_t row_version =
		json_integer_value(json_object_get(row, "version"));

	if (key == NULL || strlen(key) >= FG_ROW_KEY_MAX)
		return false;
	fg_table_result_add_row(res, key, (uint64_t)row_version, value);
	return true;
}

static void get_row(struct http_platform *p, const struct fg_table_op *op,
		    struct fg_table_result *res)
{
	char *key = g_uri_escape_string(op->key, NULL, FALSE);
	char *path = g_strdup_printf("/table/row?key=%s", key);
	struct fg_http_answer answer;
	json_t *row;

	call_platform(p, "GET", path, NULL, &answer);
	res->result = get_pf_result(&answer);
	if (res->result == FG_PF_OK) {
		row = json_loads(answer.text, 0, NULL);
		if (!add_row(res, row))
			res->result = FG_PF_BAD_ANSWER;
		json_decref(row);
	}
	g_free(answer.text);
	g_free(path);
	g_free(key);
}

/* Appends the page of rows after key `after`. Returns true when more rows
 * follow. */
static bool read_page(struct http_platform *p, const char *prefix,
		      const char *after, struct fg_table_result *res)
{
	char *prefix_esc = g_uri_escape_string(prefix, NULL, FALSE);
	char *after_esc = g_uri_escape_string(after, NULL, FALSE);
	char *path = g_strdup_printf("/table/scan?prefix=%s&after=%s&limit=%d",
				     prefix_esc, after_esc, SCAN_PAGE_ROWS);
	struct fg_http_answer answer;
	json_t *page = NULL;
	json_t *row;
	size_t i;
	bool more = false;

	call_platform(p, "GET", path, NULL, &answer);
	res->result = get_pf_result(&answer);
	if (res->result == FG_PF_OK) {
		page = json_loads(answer.text, 0, NULL);
		json_array_foreach(json_object_get(page, "rows"), i,
				   row) if (!add_row(res, row)) res->result =
			FG_PF_BAD_ANSWER;
		if (!json_is_array(json_object_get(page, "rows")))
			res->result = FG_PF_BAD_ANSWER;
		more = json_is_true(json_object_get(page, "more"));
	}
	json_decref(page);
	g_free(answer.text);
	g_free(path);
	g_free(after_esc);
	g_free(prefix_esc);
	return more && res->result == FG_PF_OK;
}

static void scan_rows(struct http_platform *p, const struct fg_table_op *op,
		      struct fg_table_result *res)
{
	char after[FG_ROW_KEY_MAX] = "";

	while (read_page(p, op->key, after, res)) {
		if (res->n_rows == 0)
			break;
		g_strlcpy(after, res->rows[res->n_rows - 1].key, sizeof(after));
	}
}

static char *pack_txn_body(const struct fg_table_op *op)
{
	json_t *writes = json_array();
	json_t *root;
	char *text;

	for (size_t i = 0; i < op->n_writes; i++) {
		const struct fg_write *w = &op->writes[i];
		json_t *write = json_pack("{s:s}", "key", w->key);

		if (w->expect_version != FG_ANY_VERSION)
			json_object_set_new(
				write, "expect",
				json_integer((json_int_t)w->expect_version));
		json_object_set_new(write, "value",
				    w->value != NULL ? json_string(w->value)
						     : json_null());
		json_array_append_new(writes, write);
	}
	root = json_pack("{s:o}", "writes", writes);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

static void read_txn_answer(const struct fg_table_op *op, const char *text,
			    struct fg_table_result *res)
{
	json_t *root = json_loads(text, 0, NULL);
	json_t *versions = json_object_get(root, "versions");

	if (root == NULL) {
		res->result = FG_PF_BAD_ANSWER;
	} else if (res->result == FG_PF_CONFLICT) {
		add_row(res, json_object_get(root, "conflict"));
	} else {
		for (size_t i = 0; i < op->n_writes; i++) {
			json_int_t v =
				json_integer_value(json_array_get(versions, i));

			fg_table_result_add_row(res, op->writes[i].key,
						(uint64_t)v, NULL);
		}
	}
	json_decref(root);
}

static void run_txn(struct http_platform *p, const struct fg_table_op *op,
		    struct fg_table_result *res)
{
	char *body = pack_txn_body(op);
	struct fg_http_answer answer;

	call_platform(p, "POST", "/table/txn", body, &answer);
	res->result = get_pf_result(&answer);
	/* After an answer that cannot be decoded, it is unknown whether the
	 * writes took effect. */
	if (res->result == FG_PF_BAD_ANSWER)
		res->result = FG_PF_LOST;
	if (res->result == FG_PF_OK || res->result == FG_PF_CONFLICT)
		read_txn_answer(op, answer.text, res);
	g_free(answer.text);
	free(body);
}

static struct fg_table_result *http_run_op(struct fg_platform *base,
					   const struct fg_table_op *op)
{
	struct http_platform *p = (struct http_platform *)base;
	struct fg_table_result *res;

	res = fg_table_result_new(op->id, op->kind, FG_PF_OK);
	switch (op->kind) {
	case FG_OP_GET:
		get_row(p, op, res);
		break;
	case FG_OP_SCAN:
		scan_rows(p, op, res);
		break;
	case FG_OP_TXN:
		run_txn(p, op, res);
		break;
	}
	return res;
}

static void copy_field(const json_t *o, const char *name, char *out,
		       size_t size_bytes)
{
	const char *s = json_string_value(json_object_get(o, name));

	g_strlcpy(out, s != NULL ? s : "", size_bytes);
}

static const char *const kind_names[] = {
	[FG_LIST_ENTRY_INSTANCE] = "entry",
	[FG_LIST_ENTRY_ENGINE] = "engine",
	[FG_LIST_ENTRY_PLAIN] = "plain",
};

static bool parse_list_entry(const json_t *o, struct fg_list_entry *out)
{
	const char *kind = json_string_value(json_object_get(o, "kind"));
	const char *state = json_string_value(json_object_get(o, "state"));

	memset(out, 0, sizeof(*out));
	for (int k = FG_LIST_ENTRY_INSTANCE; k <= FG_LIST_ENTRY_PLAIN; k++)
		if (g_strcmp0(kind, kind_names[k]) == 0)
			out->kind = (enum fg_list_entry_kind)k;
	copy_field(o, "name", out->name, sizeof(out->name));
	copy_field(o, "addr", out->addr, sizeof(out->addr));
	copy_field(o, "rpc", out->rpc, sizeof(out->rpc));
	copy_field(o, "region", out->region, sizeof(out->region));
	copy_field(o, "dc", out->dc, sizeof(out->dc));
	copy_field(o, "service", out->service, sizeof(out->service));
	out->leaving = g_strcmp0(state, "leaving") == 0;
	out->id = fg_hash_str(out->name);
	return out->kind != 0 && out->name[0] != '\0';
}

static enum fg_pf_result http_read_list(struct fg_platform *base,
					struct fg_list_entry **out, size_t *n)
{
	struct http_platform *p = (struct http_platform *)base;
	struct fg_http_answer answer;
	enum fg_pf_result result;
	json_t *root = NULL;
	json_t *list;
	json_t *item;
	size_t i;

	*out = NULL;
	*n = 0;
	call_platform(p, "GET", "/instances", NULL, &answer);
	result = get_pf_result(&answer);
	if (result == FG_PF_OK) {
		root = json_loads(answer.text, 0, NULL);
		list = json_object_get(root, "instances");
		if (!json_is_array(list))
			result = FG_PF_BAD_ANSWER;
		*out = g_new0(struct fg_list_entry, json_array_size(list) + 1);
		json_array_foreach(
			list, i,
			item) if (parse_list_entry(item, &(*out)[*n]))(*n)++;
	}
	json_decref(root);
	g_free(answer.text);
	return result;
}

static enum fg_pf_result http_announce(struct fg_platform *base,
				       const struct fg_list_entry *self)
{
	struct http_platform *p = (struct http_platform *)base;
	struct fg_http_answer answer;
	json_t *o;
	char *body;

	o = json_pack("{s:s,s:s,s:s,s:s,s:s,s:s,s:s,s:s}", "name", self->name,
		      "kind", kind_names[self->kind], "addr", self->addr, "rpc",
		      self->rpc, "region", self->region, "dc", self->dc,
		      "service", self->service, "state",
		      self->leaving ? "leaving" : "live");
	body = json_dumps(o, JSON_COMPACT);
	call_platform(p, "POST", "/instances/announce", body, &answer);
	free(body);
	json_decref(o);
	g_free(answer.text);
	return get_pf_result(&answer);
}

static enum fg_pf_result http_object_get(struct fg_platform *base,
					 const char *name, char **text)
{
	struct http_platform *p = (struct http_platform *)base;
	char *path = g_strdup_printf("/object/%s", name);
	struct fg_http_answer answer;
	enum fg_pf_result result;

	call_platform(p, "GET", path, NULL, &answer);
	g_free(path);
	result = get_pf_result(&answer);
	*text = NULL;
	if (result == FG_PF_OK)
		*text = g_steal_pointer(&answer.text);
	g_free(answer.text);
	return result;
}

static enum fg_pf_result http_object_put(struct fg_platform *base,
					 const char *name, const char *text)
{
	struct http_platform *p = (struct http_platform *)base;
	char *path = g_strdup_printf("/object/%s", name);
	struct fg_http_answer answer;

	call_platform(p, "PUT", path, text, &answer);
	g_free(path);
	g_free(answer.text);
	return get_pf_result(&answer);
}

static void http_free(struct fg_platform *base)
{
	g_free(base);
}

static const struct fg_platform_ops http_ops = {
	.run_op = http_run_op,
	.read_list = http_read_list,
	.announce = http_announce,
	.object_get = http_object_get,
	.object_put = http_object_put,
	.free = http_free,
};

struct fg_platform *fg_platform_http_new(const char *addr, const char *name,
					 uint32_t timeout_ms)
{
	struct http_platform *p = g_new0(struct http_platform, 1);

	p->base.ops = &http_ops;
	p->timeout_ms = timeout_ms;
	g_strlcpy(p->addr, addr, sizeof(p->addr));
	g_snprintf(p->header, sizeof(p->header), "X-Instance: %s", name);
	return &p->base;
}
