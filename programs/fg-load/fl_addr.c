#include "fl_addr.h"

#include <jansson.h>
#include <pthread.h>
#include <string.h>

#include "fl_http.h"

#define LOOKUP_TIMEOUT_MS 2000
#define TTL_DEFAULT_MS 1000

struct answer {
	char **addresses;
	guint n;
	fg_ms expires;
};

struct fl_addr {
	const struct fl_conf *conf;
	pthread_mutex_t lock;
	GHashTable *answers; /* "adapter|service" to struct answer */
	guint n_configured;
	guint next; /* configured address to ask next */
};

static void free_answer(void *arg)
{
	struct answer *answer = arg;

	g_strfreev(answer->addresses);
	g_free(answer);
}

struct fl_addr *fl_addr_new(const struct fl_conf *conf)
{
	struct fl_addr *a = g_new0(struct fl_addr, 1);

	a->conf = conf;
	pthread_mutex_init(&a->lock, NULL);
	a->answers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   free_answer);
	a->n_configured = g_strv_length(conf->addresses);
	return a;
}

void fl_addr_free(struct fl_addr *a)
{
	g_hash_table_destroy(a->answers);
	pthread_mutex_destroy(&a->lock);
	g_free(a);
}

static char *make_name(const struct fl_req *req)
{
	return g_strdup_printf("%s|%s", req->adapter, req->service);
}

/* The address at a position of a kept answer, or NULL. */
static char *kept(struct fl_addr *a, const char *name, uint32_t attempt)
{
	struct answer *answer;
	char *addr = NULL;

	pthread_mutex_lock(&a->lock);
	answer = g_hash_table_lookup(a->answers, name);
	if (answer && answer->expires > fg_clock_now() && attempt < answer->n)
		addr = g_strdup(answer->addresses[attempt]);
	pthread_mutex_unlock(&a->lock);
	return addr;
}

static char *configured(struct fl_addr *a)
{
	char *addr;

	pthread_mutex_lock(&a->lock);
	addr = g_strdup(a->conf->addresses[a->next % a->n_configured]);
	a->next++;
	pthread_mutex_unlock(&a->lock);
	return addr;
}

static struct answer *parse_answer(const char *text)
{
	json_t *body = json_loads(text, 0, NULL);
	json_t *list = json_object_get(body, "addresses");
	json_t *ttl = json_object_get(body, "ttl_ms");
	struct answer *answer = g_new0(struct answer, 1);

	answer->addresses = g_new0(char *, json_array_size(list) + 1);
	for (size_t i = 0; i < json_array_size(list); i++) {
		const char *addr = json_string_value(json_array_get(list, i));

		if (addr)
			answer->addresses[answer->n++] = g_strdup(addr);
	}
	answer->expires =
		fg_clock_now() + (json_is_integer(ttl) ? json_integer_value(ttl)
						       : TTL_DEFAULT_MS);
	json_decref(body);
	return answer;
}

/* Asks one configured instance; returns false when it did not answer. */
static bool look_up(struct fl_addr *a, CURL *curl, const struct fl_req *req,
		    const char *name)
{
	struct fl_http_result res = { 0 };
	char *addr = configured(a);
	char *path = g_strdup_printf("/v1/address?adapter=%s&service=%s",
				     req->adapter, req->service);
	bool ok;

	fl_http_get(curl, addr, path, LOOKUP_TIMEOUT_MS, &res);
	ok = res.status == 200;
	if (ok) {
		pthread_mutex_lock(&a->lock);
		g_hash_table_replace(a->answers, g_strdup(name),
				     parse_answer(res.body->str));
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
	char *name = make_name(req);
	char *addr = kept(a, name, attempt);

	/* The lookup passes over instances that are gone. */
	for (guint i = 0; !addr && i < a->n_configured; i++)
		if (look_up(a, curl, req, name)) {
			addr = kept(a, name, 0);
			break;
		}
	g_free(name);
	return addr ? addr : configured(a);
}

static gboolean names_address(gpointer key, gpointer value, gpointer arg)
{
	struct answer *answer = value;

	(void)key;
	return g_strv_contains((const char *const *)answer->addresses, arg);
}

void fl_addr_failed(struct fl_addr *a, const char *addr)
{
	pthread_mutex_lock(&a->lock);
	g_hash_table_foreach_remove(a->answers, names_address, (void *)addr);
	pthread_mutex_unlock(&a->lock);
}
