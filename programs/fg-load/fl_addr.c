#include "fl_addr.h"

#include <jansson.h>
#include <pthread.h>
#include <string.h>

#include "fl_http.h"

#define LOOKUP_TIMEOUT_MS 2000
#define TTL_DEFAULT_MS 1000

struct address_list {
	char **addresses;
	guint n;
	fg_ms expires;
};

struct fl_addr {
	const struct fl_conf *conf;
	pthread_mutex_t lock;
	GHashTable *cache; /* "adapter|service" -> struct address_list */
	guint n_configured;
	guint next; /* configured address to use next */
};

static void free_list(void *arg)
{
	struct address_list *list = arg;

	g_strfreev(list->addresses);
	g_free(list);
}

struct fl_addr *fl_addr_new(const struct fl_conf *conf)
{
	struct fl_addr *a = g_new0(struct fl_addr, 1);

	a->conf = conf;
	pthread_mutex_init(&a->lock, NULL);
	a->cache = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 free_list);
	a->n_configured = g_strv_length(conf->addresses);
	return a;
}

void fl_addr_free(struct fl_addr *a)
{
	g_hash_table_destroy(a->cache);
	pthread_mutex_destroy(&a->lock);
	g_free(a);
}

static char *make_cache_key(const struct fl_req *req)
{
	return g_strdup_printf("%s|%s", req->adapter, req->service);
}

/* Returns the address for an attempt from a cached list, or NULL. */
static char *find_cached(struct fl_addr *a, const char *name, uint32_t attempt)
{
	struct address_list *list;
	char *addr = NULL;

	pthread_mutex_lock(&a->lock);
	list = g_hash_table_lookup(a->cache, name);
	if (list && list->expires > fg_clock_now() && attempt < list->n)
		addr = g_strdup(list->addresses[attempt]);
	pthread_mutex_unlock(&a->lock);
	return addr;
}

static char *next_configured(struct fl_addr *a)
{
	char *addr;

	pthread_mutex_lock(&a->lock);
	addr = g_strdup(a->conf->addresses[a->next % a->n_configured]);
	a->next++;
	pthread_mutex_unlock(&a->lock);
	return addr;
}

static struct address_list *parse_list(const char *text)
{
	json_t *body = json_loads(text, 0, NULL);
	json_t *items = json_object_get(body, "addresses");
	json_t *ttl = json_object_get(body, "ttl_ms");
	struct address_list *list = g_new0(struct address_list, 1);

	list->addresses = g_new0(char *, json_array_size(items) + 1);
	for (size_t i = 0; i < json_array_size(items); i++) {
		const char *addr = json_string_value(json_array_get(items, i));

		if (addr)
			list->addresses[list->n++] = g_strdup(addr);
	}
	list->expires =
		fg_clock_now() + (json_is_integer(ttl) ? json_integer_value(ttl)
						       : TTL_DEFAULT_MS);
	json_decref(body);
	return list;
}

/* Asks one configured instance and caches its list. Returns false if the
 * instance does not answer. */
static bool lookup_addresses(struct fl_addr *a, CURL *curl,
			     const struct fl_req *req, const char *name)
{
	struct fl_http_result res = { 0 };
	char *addr = next_configured(a);
	char *path = g_strdup_printf("/v1/address?adapter=%s&service=%s",
				     req->adapter, req->service);
	bool ok;

	fl_http_get(curl, addr, path, LOOKUP_TIMEOUT_MS, &res);
	ok = res.status == 200;
	if (ok) {
		pthread_mutex_lock(&a->lock);
		g_hash_table_replace(a->cache, g_strdup(name),
				     parse_list(res.body->str));
		pthread_mutex_unlock(&a->lock);
	}
	fl_http_result_clear(&res);
	g_free(path);
	g_free(addr);
	return ok;
}

char *fl_addr_pick(struct fl_addr *a, CURL *curl, const struct fl_req *req,
		   uint32_t attempt)
{
	char *name = make_cache_key(req);
	char *addr = find_cached(a, name, attempt);

	/* Tries each configured instance once, to skip those that are gone. */
	for (guint i = 0; !addr && i < a->n_configured; i++)
		if (lookup_addresses(a, curl, req, name)) {
			addr = find_cached(a, name, 0);
			break;
		}
	g_free(name);
	return addr ? addr : next_configured(a);
}

static gboolean contains_address(gpointer key, gpointer value, gpointer arg)
{
	struct address_list *list = value;

	(void)key;
	return g_strv_contains((const char *const *)list->addresses, arg);
}

void fl_addr_mark_failed(struct fl_addr *a, const char *addr)
{
	pthread_mutex_lock(&a->lock);
	g_hash_table_foreach_remove(a->cache, contains_address, (void *)addr);
	pthread_mutex_unlock(&a->lock);
}
