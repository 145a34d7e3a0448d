#include "route/fg_route.h"

#include <string.h>

static void service_free(gpointer p)
{
	struct fg_svc *s = p;

	for (uint32_t i = 0; i < s->n_models; i++)
		g_free(s->models[i].name);
	g_free(s->models);
	g_free(s->name);
	g_free(s->health_path);
	g_free(s);
}

static void route_free(gpointer p)
{
	struct fg_route *r = p;

	g_free(r->name);
	g_free(r->host);
	g_free(r->prefix);
	g_free(r->shares);
	g_free(r);
}

struct fg_routes *fg_routes_new(uint64_t version)
{
	struct fg_routes *t = g_new0(struct fg_routes, 1);

	t->version = version;
	t->refs = 1;
	t->services = g_ptr_array_new_with_free_func(service_free);
	t->routes = g_ptr_array_new_with_free_func(route_free);
	t->by_host = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   (GDestroyNotify)g_ptr_array_unref);
	return t;
}

struct fg_routes *fg_routes_ref(struct fg_routes *t)
{
	t->refs++;
	return t;
}

void fg_routes_unref(struct fg_routes *t)
{
	if (t == NULL || --t->refs > 0)
		return;
	g_hash_table_unref(t->by_host);
	g_ptr_array_unref(t->routes);
	g_ptr_array_unref(t->services);
	fg_ws_set_free(t->workspaces);
	g_free(t);
}

struct fg_svc *fg_routes_add_service(struct fg_routes *t)
{
	struct fg_svc *s = g_new0(struct fg_svc, 1);

	g_ptr_array_add(t->services, s);
	return s;
}

struct fg_route *fg_routes_add_route(struct fg_routes *t)
{
	struct fg_route *r = g_new0(struct fg_route, 1);

	g_ptr_array_add(t->routes, r);
	return r;
}

int fg_routes_find_service(const struct fg_routes *t, const char *name)
{
	for (guint i = 0; i < t->services->len; i++) {
		const struct fg_svc *s = t->services->pdata[i];

		if (g_strcmp0(s->name, name) == 0)
			return (int)i;
	}
	return -1;
}

static const char *find_route_error(const struct fg_routes *t,
				    const struct fg_route *r)
{
	uint64_t total = 0;

	if (r->host == NULL || r->host[0] == '\0')
		return "a route without a host";
	if (r->prefix == NULL || r->prefix[0] != '/')
		return "a prefix that does not begin with a slash";
	if (r->n_shares == 0)
		return "a route without a service";
	for (uint32_t i = 0; i < r->n_shares; i++) {
		if (r->shares[i].service >= t->services->len)
			return "a route to an unknown service";
		total += r->shares[i].weight;
	}
	return total == 0 ? "a route whose weights are all zero" : NULL;
}

/* Orders routes by descending prefix length, so that the first match is the
 * longest. */
static gint compare_prefix_lengths(gconstpointer a, gconstpointer b)
{
	const struct fg_route *ra = *(struct fg_route *const *)a;
	const struct fg_route *rb = *(struct fg_route *const *)b;
	size_t la = strlen(ra->prefix);
	size_t lb = strlen(rb->prefix);

	return la == lb ? strcmp(ra->prefix, rb->prefix) : (la < lb ? 1 : -1);
}

bool fg_routes_seal(struct fg_routes *t, const char **why)
{
	GHashTableIter it;
	gpointer list;

	for (guint i = 0; i < t->routes->len; i++) {
		struct fg_route *r = t->routes->pdata[i];
		GPtrArray *host_routes;
		char *host;

		*why = find_route_error(t, r);
		if (*why != NULL)
			return false;
		host = g_ascii_strdown(r->host, -1);
		host_routes = g_hash_table_lookup(t->by_host, host);
		if (host_routes == NULL) {
			host_routes = g_ptr_array_new();
			g_hash_table_insert(t->by_host, g_strdup(host),
					    host_routes);
		}
		g_free(host);
		g_ptr_array_add(host_routes, r);
	}
	g_hash_table_iter_init(&it, t->by_host);
	while (g_hash_table_iter_next(&it, NULL, &list))
		g_ptr_array_sort(list, compare_prefix_lengths);
	return true;
}

/* Returns the path of a request target in origin or absolute form. */
static const char *target_path(const char *target)
{
	const char *scheme = strstr(target, "://");
	const char *slash;

	if (target[0] == '/' || scheme == NULL)
		return target;
	slash = strchr(scheme + 3, '/');
	return slash == NULL ? "/" : slash;
}

const struct fg_route *fg_routes_find(const struct fg_routes *t,
				      const char *host, const char *target)
{
	const char *path = target_path(target);
	const char *colon = strrchr(host, ':');
	char *key = g_ascii_strdown(host, colon == NULL ? -1 : colon - host);
	GPtrArray *host_routes = g_hash_table_lookup(t->by_host, key);

	g_free(key);
	for (guint i = 0; host_routes != NULL && i < host_routes->len; i++) {
		const struct fg_route *r = host_routes->pdata[i];
		size_t len = strlen(r->prefix);

		if (strncmp(path, r->prefix, len) == 0 &&
		    strcspn(path, "?#") >= len)
			return r;
	}
	return NULL;
}

uint32_t fg_route_choose_service(const struct fg_route *r, uint64_t draw)
{
	uint64_t total = 0;
	uint32_t i = 0;

	for (uint32_t k = 0; k < r->n_shares; k++)
		total += r->shares[k].weight;
	if (total == 0)
		return r->shares[0].service; /* not sealed */
	for (draw %= total; draw >= r->shares[i].weight; i++)
		draw -= r->shares[i].weight;
	g_assert(i < r->n_shares);
	return r->shares[i].service;
}
