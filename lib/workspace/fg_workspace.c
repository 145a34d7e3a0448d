#include "workspace/fg_workspace.h"

#include <string.h>

#include "base/fg_rand.h"

struct fg_ws_set {
	GPtrArray *all;	     /* struct fg_workspace * */
	GPtrArray *problems; /* char * */
	/* struct fg_ws_digest * -> struct fg_workspace *; NULL for a key of
	 * several workspaces. */
	GHashTable *by_key;
};

static guint digest_hash(gconstpointer p)
{
	guint h;

	memcpy(&h, p, sizeof(h));
	return h;
}

/* Takes the same time wherever two digests differ. */
static gboolean digest_equal(gconstpointer a, gconstpointer b)
{
	const uint8_t *x = a;
	const uint8_t *y = b;
	uint8_t diff = 0;

	for (size_t i = 0; i < FG_WS_DIGEST_BYTES; i++)
		diff |= x[i] ^ y[i];
	return diff == 0;
}

static void workspace_free(gpointer p)
{
	struct fg_workspace *w = p;

	g_free(w->name);
	g_free(w);
}

struct fg_ws_set *fg_ws_set_new(void)
{
	struct fg_ws_set *s = g_new0(struct fg_ws_set, 1);

	s->all = g_ptr_array_new_with_free_func(workspace_free);
	s->problems = g_ptr_array_new_with_free_func(g_free);
	s->by_key =
		g_hash_table_new_full(digest_hash, digest_equal, g_free, NULL);
	return s;
}

void fg_ws_set_free(struct fg_ws_set *s)
{
	if (s == NULL)
		return;
	g_hash_table_unref(s->by_key);
	g_ptr_array_unref(s->problems);
	g_ptr_array_unref(s->all);
	g_free(s);
}

const struct fg_workspace *fg_ws_set_find_name(const struct fg_ws_set *s,
					       const char *name)
{
	for (guint i = 0; i < s->all->len; i++) {
		const struct fg_workspace *w = s->all->pdata[i];

		if (strcmp(w->name, name) == 0)
			return w;
	}
	return NULL;
}

static bool is_printable(const char *text)
{
	for (; *text != '\0'; text++) {
		if (!g_ascii_isgraph(*text))
			return false;
	}
	return true;
}

/* Visible characters, bytes of UTF-8, and spaces between them: what RFC 9110
 * (5.5) allows in a field's value, except for tabs. */
static bool is_field_value(const char *text)
{
	size_t len = strlen(text);

	if (len == 0 || text[0] == ' ' || text[len - 1] == ' ')
		return false;
	for (size_t i = 0; i < len; i++) {
		if (g_ascii_iscntrl(text[i]))
			return false;
	}
	return true;
}

struct fg_workspace *fg_ws_set_add(struct fg_ws_set *s, const char *name)
{
	struct fg_workspace *w;

	if (!is_field_value(name) || fg_ws_set_find_name(s, name) != NULL)
		return NULL;
	w = g_new0(struct fg_workspace, 1);
	w->name = g_strdup(name);
	w->hash = fg_hash_str(name);
	g_ptr_array_add(s->all, w);
	return w;
}

void fg_ws_set_add_problem(struct fg_ws_set *s, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	g_ptr_array_add(s->problems, g_strdup_vprintf(format, args));
	va_end(args);
}

const GPtrArray *fg_ws_set_problems(const struct fg_ws_set *s)
{
	return s->problems;
}

bool fg_ws_is_key(const char *key)
{
	size_t len = strnlen(key, FG_WS_KEY_MAX_BYTES + 1);

	return len > 0 && len <= FG_WS_KEY_MAX_BYTES && is_printable(key);
}

bool fg_ws_digest(const char *key, struct fg_ws_digest *out)
{
	gsize size = sizeof(out->bytes);
	GChecksum *sum;

	if (!fg_ws_is_key(key))
		return false;
	sum = g_checksum_new(G_CHECKSUM_SHA256);
	g_checksum_update(sum, (const guchar *)key, (gssize)strlen(key));
	g_checksum_get_digest(sum, out->bytes, &size);
	g_checksum_free(sum);
	return true;
}

static void note_shared_key(struct fg_ws_set *s,
			    const struct fg_ws_digest *digest,
			    const struct fg_workspace *a,
			    const struct fg_workspace *b)
{
	fg_ws_set_add_problem(s,
			      "key %02x%02x%02x%02x of workspaces %s and %s is "
			      "accepted for neither",
			      digest->bytes[0], digest->bytes[1],
			      digest->bytes[2], digest->bytes[3],
			      a == NULL ? "(several)" : a->name, b->name);
}

bool fg_ws_set_add_key(struct fg_ws_set *s, const struct fg_workspace *w,
		       const char *key)
{
	struct fg_ws_digest digest;
	const struct fg_workspace *accepted = w;
	gpointer holder;

	if (!fg_ws_digest(key, &digest))
		return false;
	if (g_hash_table_lookup_extended(s->by_key, &digest, NULL, &holder) &&
	    holder != w) {
		note_shared_key(s, &digest, holder, w);
		accepted = NULL;
	}
	g_hash_table_replace(s->by_key, g_memdup2(&digest, sizeof(digest)),
			     (gpointer)accepted);
	return true;
}

const struct fg_workspace *fg_ws_set_find(const struct fg_ws_set *s,
					  const struct fg_ws_digest *digest)
{
	return g_hash_table_lookup(s->by_key, digest);
}

const GPtrArray *fg_ws_set_all(const struct fg_ws_set *s)
{
	return s->all;
}

uint32_t fg_ws_cost(const struct fg_workspace *w, bool has_tokens,
		    uint32_t prompt_tokens, uint32_t output_tokens)
{
	if (!w->in_tokens)
		return 1;
	if (!has_tokens)
		return w->plain_tokens;
	return prompt_tokens + MIN(output_tokens, UINT32_MAX - prompt_tokens);
}
