#include "fl_http.h"

#include "http/fg_http_check.h"

#define CONNECT_TIMEOUT_MS 1000

static size_t append_data(char *data, size_t size, size_t n, void *arg)
{
	g_string_append_len(arg, data, (gssize)(size * n));
	return size * n;
}

static struct curl_slist *add_header(struct curl_slist *list, const char *name,
				     const char *value)
{
	char *line;

	if (!value)
		return list;
	line = g_strconcat(name, ": ", value, NULL);
	list = curl_slist_append(list, line);
	g_free(line);
	return list;
}

static void perform(CURL *curl, const char *addr, const char *path,
		    uint32_t timeout_ms, struct fl_http_result *res)
{
	char *url = g_strconcat("http://", addr, path, NULL);
	struct fg_http_check check;
	long status = 0;
	CURLcode code;

	res->body = g_string_new(NULL);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_data);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, res->body);
	fg_http_check_begin(&check, curl);
	code = curl_easy_perform(curl);
	if (code == CURLE_OK && fg_http_check_end(&check))
		curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	res->status = (uint32_t)status;
	res->not_sent = code == CURLE_COULDNT_CONNECT;
	fg_http_check_clear(&check);
	g_free(url);
}

void fl_http_get(CURL *curl, const char *addr, const char *path,
		 uint32_t timeout_ms, struct fl_http_result *res)
{
	curl_easy_reset(curl);
	perform(curl, addr, path, timeout_ms, res);
}

void fl_http_post(CURL *curl, const char *addr, const char *path,
		  const struct fl_http_headers *headers, const char *body,
		  uint32_t timeout_ms, struct fl_http_result *res)
{
	struct curl_slist *list = NULL;

	list = add_header(list, "Content-Type", "application/json");
	list = add_header(list, "X-Caller", headers->caller);
	list = add_header(list, "X-Request-Id", headers->request_id);
	list = add_header(list, "Idempotency-Key", headers->key);
	curl_easy_reset(curl);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, list);
	curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body);
	/*
	 * If a reused connection is closed without an answer, libcurl sends
	 * the request again, even a POST. A fresh connection prevents this
	 * hidden retry.
	 */
	curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(curl, CURLOPT_FORBID_REUSE, 1L);
	perform(curl, addr, path, timeout_ms, res);
	curl_slist_free_all(list);
}

void fl_http_result_clear(struct fl_http_result *res)
{
	if (res->body)
		g_string_free(res->body, TRUE);
	res->body = NULL;
}
